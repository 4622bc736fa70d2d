"""What happens between members: who is cut from whom, what is lost, late, doubled or out of order.

It owns the state of all links and the draw of each datagram's fate. It must never open a socket or look at
a clock.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from limeridge.trial.scenario import Act, Kind

QUEUE_MOST = 200_000  # microseconds of data that wait before a narrow way; what is more is dropped
HELD_BACK = 5_000, 60_000  # microseconds
SHARES = {Kind.LOSS: "lost", Kind.REORDER: "reordered", Kind.COPIES: "copied"}  # of all datagrams


@dataclass
class Faults:
    """Numbers name instances. Delays are microseconds."""

    instances: int
    chance: random.Random
    cuts: Counter[tuple[int, int]] = field(default_factory=Counter)  # ways from, to
    slow: Counter[int] = field(default_factory=Counter)  # on all that one sends
    lost: float = 0.0
    reordered: float = 0.0
    copied: float = 0.0
    narrow: dict[int, float] = field(default_factory=dict)  # bytes a second of all that one sends
    free_at: dict[int, int] = field(default_factory=dict)  # when its narrow way is free again
    counts: Counter[str] = field(default_factory=Counter)

    def cut(self, source: int, target: int) -> bool:
        """Whether nothing gets from one member to the other."""
        return self.cuts[(source, target)] > 0

    def datagram(self, source: int, target: int, size: int, now: int) -> list[int]:
        """Delays of the copies that arrive; none where it is lost."""
        if self.cut(source, target):
            self.counts["cut"] += 1
            return []
        if self.lost and self.chance.random() < self.lost:
            self.counts["lost"] += 1
            return []
        delay = self.slow[source]
        if source in self.narrow:
            waits = max(0, self.free_at.get(source, 0) - now)
            if waits > QUEUE_MOST:
                self.counts["queue full"] += 1
                return []
            waits += int(size * 1_000_000 / self.narrow[source])
            self.free_at[source] = now + waits
            delay += waits
        if self.reordered and self.chance.random() < self.reordered:
            self.counts["held back"] += 1
            delay += int(self.chance.uniform(*HELD_BACK))
        self.counts["passed"] += 1
        copies = 2 if self.copied and self.chance.random() < self.copied else 1
        return [delay + copy * 1_000 for copy in range(copies)]

    def whole(self, one: int, other: int) -> bool:
        """Whether a connection between them moves anything: both ways are needed."""
        return not self.cut(one, other) and not self.cut(other, one)

    # ---- faults that begin; each gives what ends it

    def sever(self, ways: Iterable[tuple[int, int]]) -> Callable[[], None]:
        """Cuts these ways; what is returned mends them."""
        chosen = list(ways)
        self.cuts.update(chosen)

        def mend() -> None:
            self.cuts.subtract(chosen)

        return mend

    def begin(self, act: Act) -> Callable[[], None] | None:
        """None for a fault that is not of links. A flap is one cut: who drives it begins it again and
        again."""
        inside = set(act.who)
        outside = set(range(self.instances)) - inside
        if act.kind in (Kind.CUT, Kind.FLAP):
            return self.sever(
                (a, b) for one in inside for other in outside for a, b in ((one, other), (other, one))
            )
        if act.kind is Kind.CUT_ONE_WAY:
            return self.sever((one, other) for one in inside for other in outside)
        if act.kind is Kind.ISLANDS:
            parts = int(act.amount)
            return self.sever(
                (a, b) for a in range(self.instances) for b in range(self.instances) if a % parts != b % parts
            )
        if act.kind in SHARES:
            name = SHARES[act.kind]
            before = getattr(self, name)
            setattr(self, name, act.amount)
            return lambda: setattr(self, name, before)
        if act.kind is Kind.BANDWIDTH:
            for number in act.who:
                self.narrow[number] = act.amount

            def widen() -> None:
                for number in act.who:
                    self.narrow.pop(number, None)

            return widen
        if act.kind is Kind.DELAY:
            more = int(act.amount * 1_000)
            for number in act.who:
                self.slow[number] += more

            def hurry() -> None:
                for number in act.who:
                    self.slow[number] -= more

            return hurry
        return None
