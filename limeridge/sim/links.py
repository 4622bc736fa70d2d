"""Conditions of the virtual network: packet delay, loss, splitting and reachability.

This module draws delays and losses from the seed and keeps partitions (in one direction or both), extra delay
or loss per address, and the connection limits (window, backlog). It holds no data and calls no protocol.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

SYN_RETRY_DELAY = 200_000  # microseconds, after a SYN met a full backlog or a cut path
# Microseconds that a segment waits at most after a path is restored; the sender has probed by then.
MAX_RESEND_DELAY = 200_000


@dataclass(slots=True)
class NetworkConditions:
    """Network parameters, drawn once per seed; the field names are part of stored plans."""

    least: int = 50  # minimum delay in one direction, microseconds
    most: int = 400  # maximum delay in one direction, microseconds
    split: float = 0.1  # share of writes that arrive in pieces
    join: float = 0.3  # share of arrivals that are coalesced with data that arrived by then
    bandwidth: int = 20_000_000  # bytes a second
    window: int = 65_536  # bytes in flight or unread, per direction
    lost: float = 0.02  # share of datagrams
    doubled: float = 0.02  # share of datagrams
    late: float = 0.05  # share of datagrams delayed by a multiple, which reorders them
    backlog: int = 128


class Links:
    """Reachability and delays between addresses."""

    def __init__(self, rng: random.Random, conditions: NetworkConditions) -> None:
        self.rng, self.conditions = rng, conditions
        self.cut_counts: dict[tuple[str, str], int] = {}  # cuts in force, by (source, target)
        self.extra_delays: dict[str, int] = {}  # microseconds, for packets to and from an address
        self.extra_losses: dict[str, float] = {}  # additional share of lost datagrams, by source

    def draw_delay(self, source: str, target: str, size: int = 0) -> int:
        """Microseconds from sending to arrival of `size` bytes."""
        conditions = self.conditions
        base = conditions.least + int(self.rng.random() * (conditions.most - conditions.least))
        extra_delay = (
            self.extra_delays.get(source, 0) + self.extra_delays.get(target, 0) if self.extra_delays else 0
        )
        return base + extra_delay + size * 1_000_000 // conditions.bandwidth

    def is_cut(self, source: str, target: str) -> bool:
        """Whether packets from source to target are blocked."""
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
        """Microseconds from the last attempt until a blocked segment is sent again."""
        return 1_000 + int(self.rng.random() * MAX_RESEND_DELAY)

    def draw_unsplit(self) -> bool:
        """Whether a write arrives in one piece."""
        return self.rng.random() >= self.conditions.split

    def draw_split_offsets(self, size: int) -> list[int]:
        """End offsets of the pieces that `size` bytes are split into; the last one is `size`."""
        if size < 2:
            return [size]
        offsets = sorted(
            {1 + int(self.rng.random() * (size - 1)) for _ in range(1 + (self.rng.random() < 0.3))}
        )
        return [*(offset for offset in offsets if offset < size), size]

    def draw_coalesces(self) -> bool:
        """Whether an arrival is delivered together with the data that arrived by then."""
        return self.rng.random() < self.conditions.join

    def draw_datagram_delays(self, source: str, target: str) -> list[int]:
        """Delays of the copies that arrive; empty if the datagram is lost."""
        if self.is_cut(source, target) or self.rng.random() < self.conditions.lost:
            return []
        if self.extra_losses and self.rng.random() < self.extra_losses.get(source, 0.0):
            return []
        copies = 2 if self.rng.random() < self.conditions.doubled else 1
        late_factor = 1 + 20 * (self.rng.random() < self.conditions.late)
        return [self.draw_delay(source, target) * late_factor for _ in range(copies)]
