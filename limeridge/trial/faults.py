"""Network faults between members: cut paths, and loss, delay, duplication and reordering of datagrams.

It owns the state of all links and the random draws for each datagram. It must not open sockets or read a
clock.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from limeridge.trial.scenario import Act, Kind

MAX_QUEUE_US = 200_000  # of data queued for a bandwidth-limited sender; datagrams beyond it are dropped
REORDER_DELAY_US = 5_000, 60_000  # range of the delay of reordered datagrams
SHARE_FIELDS = {Kind.LOSS: "lost", Kind.REORDER: "reordered", Kind.COPIES: "copied"}  # of all datagrams


@dataclass
class Faults:
    """The current faults. Instances are identified by number, delays are in microseconds."""

    instances: int
    chance: random.Random
    cut_counts: Counter[tuple[int, int]] = field(default_factory=Counter)  # active cuts by (source, target)
    delay_us: Counter[int] = field(default_factory=Counter)  # added to all traffic from an instance
    lost: float = 0.0
    reordered: float = 0.0
    copied: float = 0.0
    bandwidth: dict[int, float] = field(default_factory=dict)  # bytes per second from an instance
    free_at: dict[int, int] = field(default_factory=dict)  # end of its send queue, in microseconds
    counts: Counter[str] = field(default_factory=Counter)

    def is_cut(self, source: int, target: int) -> bool:
        """Whether traffic from `source` to `target` is blocked."""
        return self.cut_counts[(source, target)] > 0

    def delivery_delays(self, source: int, target: int, size: int, now: int) -> list[int]:
        """The delay of each delivered copy of a datagram; empty if it is lost."""
        if self.is_cut(source, target):
            self.counts["cut"] += 1
            return []
        if self.lost and self.chance.random() < self.lost:
            self.counts["lost"] += 1
            return []
        delay = self.delay_us[source]
        if source in self.bandwidth:
            wait_us = max(0, self.free_at.get(source, 0) - now)
            if wait_us > MAX_QUEUE_US:
                self.counts["queue full"] += 1
                return []
            wait_us += int(size * 1_000_000 / self.bandwidth[source])
            self.free_at[source] = now + wait_us
            delay += wait_us
        if self.reordered and self.chance.random() < self.reordered:
            self.counts["held back"] += 1
            delay += int(self.chance.uniform(*REORDER_DELAY_US))
        self.counts["passed"] += 1
        copies = 2 if self.copied and self.chance.random() < self.copied else 1
        return [delay + copy * 1_000 for copy in range(copies)]

    def is_connected(self, one: int, other: int) -> bool:
        """Whether a connection between two members can carry data, which takes both directions."""
        return not self.is_cut(one, other) and not self.is_cut(other, one)

    # ---- starting faults; each method returns the function that ends the fault

    def cut_paths(self, paths: Iterable[tuple[int, int]]) -> Callable[[], None]:
        """Cuts the given (source, target) paths. The returned function restores them."""
        chosen = list(paths)
        self.cut_counts.update(chosen)

        def restore() -> None:
            self.cut_counts.subtract(chosen)

        return restore

    def start_fault(self, act: Act) -> Callable[[], None] | None:
        """Starts a network fault; returns None for other kinds of faults. A flap is a single cut here: the
        caller repeats it."""
        inside = set(act.who)
        outside = set(range(self.instances)) - inside
        if act.kind in (Kind.CUT, Kind.FLAP):
            return self.cut_paths(
                (a, b) for one in inside for other in outside for a, b in ((one, other), (other, one))
            )
        if act.kind is Kind.CUT_ONE_WAY:
            return self.cut_paths((one, other) for one in inside for other in outside)
        if act.kind is Kind.ISLANDS:
            parts = int(act.amount)
            return self.cut_paths(
                (a, b) for a in range(self.instances) for b in range(self.instances) if a % parts != b % parts
            )
        if act.kind in SHARE_FIELDS:
            name = SHARE_FIELDS[act.kind]
            before = getattr(self, name)
            setattr(self, name, act.amount)
            return lambda: setattr(self, name, before)
        if act.kind is Kind.BANDWIDTH:
            for number in act.who:
                self.bandwidth[number] = act.amount

            def remove_bandwidth_limit() -> None:
                for number in act.who:
                    self.bandwidth.pop(number, None)

            return remove_bandwidth_limit
        if act.kind is Kind.DELAY:
            extra_us = int(act.amount * 1_000)
            for number in act.who:
                self.delay_us[number] += extra_us

            def remove_delay() -> None:
                for number in act.who:
                    self.delay_us[number] -= extra_us

            return remove_delay
        return None
