"""What the virtual network does with a packet: its delay, its loss, its splitting, and who can reach whom.

It owns delays, partitions one way or both, spoilt addresses and the bounds of a connection (window, backlog,
descriptors). It must never hold a byte or call a protocol: it is asked, and answers from the seed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

SYN_AGAIN = 200_000  # microseconds until a packet to a full backlog or over a cut way is sent again
RESEND = 200_000  # the longest that a segment waits after a way is whole again: a sender probes by then


@dataclass(slots=True)
class Weather:
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

    def __init__(self, chance: random.Random, weather: Weather) -> None:
        self.chance, self.weather = chance, weather
        self.cuts: dict[tuple[str, str], int] = {}  # ways from, to that are cut, and how many times
        self.slow: dict[str, int] = {}  # microseconds more to and from an address
        self.lossy: dict[str, float] = {}  # share of the datagrams from an address that gets lost besides

    def delay(self, source: str, target: str, size: int = 0) -> int:
        """Microseconds from sending to arrival of `size` bytes."""
        weather = self.weather
        base = weather.least + int(self.chance.random() * (weather.most - weather.least))
        more = self.slow.get(source, 0) + self.slow.get(target, 0) if self.slow else 0
        return base + more + size * 1_000_000 // weather.bandwidth

    def cut(self, source: str, target: str) -> bool:
        """Whether the way is cut just now."""
        return bool(self.cuts) and (source, target) in self.cuts

    def sever(self, source: str, target: str, both: bool) -> None:
        for way in ((source, target), (target, source))[: 1 + both]:
            self.cuts[way] = self.cuts.get(way, 0) + 1

    def mend(self, source: str, target: str, both: bool) -> None:
        for way in ((source, target), (target, source))[: 1 + both]:
            left = self.cuts.get(way, 0) - 1
            if left > 0:
                self.cuts[way] = left
            else:
                self.cuts.pop(way, None)

    def resend(self) -> int:
        """How long after its last try a held-up segment is tried again."""
        return 1_000 + int(self.chance.random() * RESEND)

    def whole(self) -> bool:
        """Whether what is written now stays in one piece."""
        return self.chance.random() >= self.weather.split

    def pieces(self, size: int) -> list[int]:
        """Where `size` bytes are split on their way: ends of the pieces, the last one `size`."""
        if size < 2:
            return [size]
        cuts = sorted(
            {1 + int(self.chance.random() * (size - 1)) for _ in range(1 + (self.chance.random() < 0.3))}
        )
        return [*(cut for cut in cuts if cut < size), size]

    def joins(self) -> bool:
        return self.chance.random() < self.weather.join

    def datagram(self, source: str, target: str) -> list[int]:
        """Delays of the copies that arrive: none where it is lost."""
        if self.cut(source, target) or self.chance.random() < self.weather.lost:
            return []
        if self.lossy and self.chance.random() < self.lossy.get(source, 0.0):
            return []
        copies = 2 if self.chance.random() < self.weather.doubled else 1
        late = 1 + 20 * (self.chance.random() < self.weather.late)
        return [self.delay(source, target) * late for _ in range(copies)]
