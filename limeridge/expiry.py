"""A heap of items by the time at which they expire, which does not keep items that were settled before."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")
MIN_COMPACTED_SIZE = 64  # entries up to which a heap is not worth compacting


class ExpiryHeap(Generic[Item]):
    """Items by their expiry in microseconds; those of the same time in the order in which they were added.

    `is_live` tells whether an item is still to be reported. One that no longer is would stay in a plain heap
    until it reaches the top, which may be never while others expire sooner. `compact` removes these, at a
    cost that is constant for each item added.
    """

    def __init__(self, is_live: Callable[[Item], bool]) -> None:
        self.is_live = is_live
        self.entries: list[tuple[int, int, Item]] = []
        self.serial = itertools.count()

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, expires_at: int, item: Item, live_count: int) -> None:
        """Adds an item. `live_count` is an upper bound of the number of live items, this one included."""
        heapq.heappush(self.entries, (expires_at, next(self.serial), item))
        self.compact(live_count)

    def compact(self, live_count: int) -> None:
        """Removes the items that are not live once they may be more than half of all."""
        if len(self.entries) > max(MIN_COMPACTED_SIZE, 2 * live_count):
            self.entries = [entry for entry in self.entries if self.is_live(entry[2])]
            heapq.heapify(self.entries)

    def take_expired(self, until: float) -> Iterator[Item]:
        """Removes and returns the live items that expire at `until` or before, in their order."""
        while self.entries and (self.entries[0][0] <= until or not self.is_live(self.entries[0][2])):
            item = heapq.heappop(self.entries)[2]
            if self.is_live(item):
                yield item
