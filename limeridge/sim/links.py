"""What the virtual network does with a packet: its delay, its loss, its splitting, and who can reach whom.

It owns delays, partitions one way or both, spoilt addresses and the bounds of a connection (window, backlog,
descriptors). It must never hold a byte or call a protocol: it is asked, and answers from the seed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

SYN_RETRY_DELAY = 200_000  # microseconds until a packet to a full backlog or over a cut way is sent again
MAX_RESEND_DELAY = (
    200_000  # the longest that a segment waits after a way is whole again: a sender probes by then
)


@dataclass(slots=True)
class NetworkConditions:
    """Ranges that a seed draws once."""

    least: int = 50  # microseconds a way
    most: int = 400
    split: float = 0.1  # share of writes that arrive in pieces
    join: float = 0.3  # share of arrivals that take along what came by then
    bandwidth: int = 20_000_000  # bytes a second
    window: int = 65_536  # bytes under way or not read, a direction
    lost: float = 0.02  # of datagrams
    doubled: float = 0.02
    late: float = 0.05  # by several delays, so that they come out of order
    backlog: int = 128


class Links:
    """Who reaches whom, and how soon."""

    def __init__(self, rng: random.Random, conditions: NetworkConditions) -> None:
        self.rng, self.conditions = rng, conditions
        self.cut_counts: dict[tuple[str, str], int] = {}  # ways from, to that are cut, and how many times
        self.extra_delays: dict[str, int] = {}  # microseconds more to and from an address
        self.extra_losses: dict[
            str, float
        ] = {}  # share of the datagrams from an address that gets lost besides

    def draw_delay(self, source: str, target: str, size: int = 0) -> int:
        """Microseconds from sending to arrival of `size` bytes."""
        conditions = self.conditions
        base = conditions.least + int(self.rng.random() * (conditions.most - conditions.least))
        extra_delay = (
            self.extra_delays.get(source, 0) + self.extra_delays.get(target, 0) if self.extra_delays else 0
        )
        return base + extra_delay + size * 1_000_000 // conditions.bandwidth

    def is_cut(self, source: str, target: str) -> bool:
        """Whether the way is cut just now."""
        return bool(self.cut_counts) and (source, target) in self.cut_counts

    def add_cut(self, source: str, target: str, both: bool) -> None:
        for path in ((source, target), (target, source))[: 1 + both]:
            self.cut_counts[path] = self.cut_counts.get(path, 0) + 1

    def remove_cut(self, source: str, target: str, both: bool) -> None:
        for path in ((source, target), (target, source))[: 1 + both]:
            remaining = self.cut_counts.get(path, 0) - 1
            if remaining > 0:
                self.cut_counts[path] = remaining
            else:
                self.cut_counts.pop(path, None)

    def draw_resend_delay(self) -> int:
        """How long after its last try a held-up segment is tried again."""
        return 1_000 + int(self.rng.random() * MAX_RESEND_DELAY)

    def draw_unsplit(self) -> bool:
        """Whether what is written now stays in one piece."""
        return self.rng.random() >= self.conditions.split

    def draw_split_offsets(self, size: int) -> list[int]:
        """Where `size` bytes are split on their way: ends of the pieces, the last one `size`."""
        if size < 2:
            return [size]
        offsets = sorted(
            {1 + int(self.rng.random() * (size - 1)) for _ in range(1 + (self.rng.random() < 0.3))}
        )
        return [*(offset for offset in offsets if offset < size), size]

    def draw_coalesces(self) -> bool:
        return self.rng.random() < self.conditions.join

    def draw_datagram_delays(self, source: str, target: str) -> list[int]:
        """Delays of the copies that arrive: none where it is lost."""
        if self.is_cut(source, target) or self.rng.random() < self.conditions.lost:
            return []
        if self.extra_losses and self.rng.random() < self.extra_losses.get(source, 0.0):
            return []
        copies = 2 if self.rng.random() < self.conditions.doubled else 1
        late_factor = 1 + 20 * (self.rng.random() < self.conditions.late)
        return [self.draw_delay(source, target) * late_factor for _ in range(copies)]
