"""An immutable bidirectional mapping between names and small integer numbers.

This module defines the memory layout of the names and their hash index. Two tables share all pages and index
shards that did not change between them, so a change copies a few pages instead of the whole table. A table is
never modified after it is built. What the names denote, and when a number may be reused, is up to the caller.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate

from limeridge.configuration.columns import PAGE_BITS, PAGE_MASK, PAGE_SIZE

SHARD_BITS = 10
SHARD_COUNT = 1 << SHARD_BITS
SHARD_MASK = SHARD_COUNT - 1
MIN_SHARD_SLOTS = 4  # of a shard that is not empty
TAG_BITS = 12
TAG_MASK = (1 << TAG_BITS) - 1
MAX_SHARD_SLOTS = 1 << TAG_BITS  # the first slot to probe is taken from the tag alone
NUMBER_BITS = 20
NUMBER_MASK = (1 << NUMBER_BITS) - 1
MAX_NUMBERS = NUMBER_MASK  # a slot stores number + 1, as 0 marks a free slot


class IndexFull(Exception):
    """All numbers are in use, or the names' hashes are too unevenly distributed for the index."""


@dataclass(slots=True, frozen=True)
class NamePage:
    """The names of PAGE_SIZE consecutive numbers, concatenated; `ends` holds the end offset of each."""

    blob: bytes
    ends: array[int]

    def get(self, offset: int) -> bytes:
        return self.blob[self.ends[offset - 1] if offset else 0 : self.ends[offset]]

    def names(self) -> list[bytes]:
        names, begin = [], 0
        for end in self.ends:
            names.append(self.blob[begin:end])
            begin = end
        return names


def build_name_page(names: list[bytes]) -> NamePage:
    """Builds a page from PAGE_SIZE names; an empty name marks a number that is not in use."""
    return NamePage(b"".join(names), array("I", accumulate(map(len, names))))


def encode_name(name: str) -> bytes:
    return name.encode("utf-8", "surrogatepass")


def decode_name(name: bytes) -> str:
    return name.decode("utf-8", "surrogatepass")


class NameTable:
    """The names of one revision.

    A number selects a page and an offset in it. A name is looked up by its hash in a sharded index that uses
    open addressing with linear probing. A slot is 0 if free; otherwise it holds number + 1 in the low bits
    and a tag above them. The tag is TAG_BITS further bits of the hash: it selects the first slot to probe
    and avoids most comparisons of names.
    """

    __slots__ = ("free", "pages", "shards", "used")

    def __init__(
        self, pages: tuple[NamePage, ...], shards: tuple[array[int], ...], used: int, free: array[int]
    ) -> None:
        self.pages = pages
        self.shards = shards
        self.used = used  # all numbers below this have been allocated at some time
        self.free = free  # allocated numbers that have no name at present

    @staticmethod
    def empty() -> NameTable:
        return NameTable((), (array("I"),) * SHARD_COUNT, 0, array("I"))

    def __len__(self) -> int:
        return self.used - len(self.free)

    def find(self, name: str) -> int | None:
        """Returns the number of a name, or None if the name is not in the table."""
        name_hash = hash(name)
        shard = self.shards[name_hash & SHARD_MASK]
        if not shard:
            return None
        mask = len(shard) - 1
        tag = (name_hash >> SHARD_BITS) & TAG_MASK
        slot = tag & mask
        while entry := shard[slot]:
            if entry >> NUMBER_BITS == tag:
                number = (entry & NUMBER_MASK) - 1
                page, offset = self.pages[number >> PAGE_BITS], number & PAGE_MASK
                ends = page.ends
                # NamePage.get inlined, because every request runs this
                stored_name = page.blob[ends[offset - 1] if offset else 0 : ends[offset]]
                if stored_name == name.encode("utf-8", "surrogatepass"):
                    return number
            slot = (slot + 1) & mask
        return None

    def name(self, number: int) -> str:
        """Returns the name of a number, or an empty string if the number has none."""
        if not 0 <= number < self.used:
            return ""
        return decode_name(self.pages[number >> PAGE_BITS].get(number & PAGE_MASK))

    def items(self) -> Iterator[tuple[int, str]]:
        """Yields (number, name) pairs in ascending order of numbers."""
        for page_index, page in enumerate(self.pages):
            for offset, name in enumerate(page.names()):
                if name:
                    yield (page_index << PAGE_BITS) + offset, decode_name(name)


class NameTableEditor:
    """Builds a modified copy of `table`. Names must not be empty."""

    def __init__(self, table: NameTable) -> None:
        self.used = table.used
        self._pages = list(table.pages)
        self._shards = list(table.shards)
        self._free = table.free[:]
        # Shards that were copied and are no longer shared with the earlier table: index to entry count.
        self._copied_shard_sizes: dict[int, int] = {}
        self._open_page: int | None = None  # the one page whose names are unpacked into `_open_names`
        self._open_names: list[bytes] = []

    def __len__(self) -> int:
        return self.used - len(self._free)

    def find(self, name: str) -> int | None:
        """Like `NameTable.find`, on the edited state."""
        name_hash = hash(name)
        shard = self._shards[name_hash & SHARD_MASK]
        if not shard:
            return None
        mask = len(shard) - 1
        tag = (name_hash >> SHARD_BITS) & TAG_MASK
        slot = tag & mask
        while entry := shard[slot]:
            if entry >> NUMBER_BITS == tag:
                number = (entry & NUMBER_MASK) - 1
                if self._name(number) == encode_name(name):
                    return number
            slot = (slot + 1) & mask
        return None

    def add(self, name: str) -> int:
        """Adds a name that is not in the table yet and returns its number. Raises IndexFull."""
        number = self._allocate_number()
        self._set_name(number, encode_name(name))
        self._add_to_index(hash(name), number)
        return number

    def drop(self, number: int) -> None:
        """Removes the name of this number, which may then be allocated to another name."""
        self._remove_from_index(number)
        self._set_name(number, b"")
        self._free.append(number)

    def build(self) -> NameTable:
        """Returns the new table; the editor must not be used afterwards."""
        self._flush_open_page()
        return NameTable(tuple(self._pages), tuple(self._shards), self.used, self._free)

    def _name(self, number: int) -> bytes:
        page = number >> PAGE_BITS
        if page == self._open_page:
            return self._open_names[number & PAGE_MASK]
        return self._pages[page].get(number & PAGE_MASK)

    def _set_name(self, number: int, name: bytes) -> None:
        page = number >> PAGE_BITS
        if page != self._open_page:
            self._flush_open_page()
            self._open_page = page
            self._open_names = self._pages[page].names()
        self._open_names[number & PAGE_MASK] = name

    def _flush_open_page(self) -> None:
        if self._open_page is not None:
            self._pages[self._open_page] = build_name_page(self._open_names)
            self._open_page = None

    def _allocate_number(self) -> int:
        if self._free:
            return self._free.pop()
        if self.used == MAX_NUMBERS:
            raise IndexFull(f"expected at most {MAX_NUMBERS}")
        if self.used & PAGE_MASK == 0:
            self._pages.append(build_name_page([b""] * PAGE_SIZE))
        self.used += 1
        return self.used - 1

    def _writable_shard(self, shard_index: int) -> array[int]:
        if shard_index not in self._copied_shard_sizes:
            shard = self._shards[shard_index][:]
            self._shards[shard_index] = shard
            self._copied_shard_sizes[shard_index] = len(shard) - shard.count(0)
        return self._shards[shard_index]

    def _add_to_index(self, name_hash: int, number: int) -> None:
        shard_index = name_hash & SHARD_MASK
        shard = self._writable_shard(shard_index)
        if 3 * (self._copied_shard_sizes[shard_index] + 1) > 2 * len(shard):
            shard = self._shards[shard_index] = _grow_shard(shard)
        _insert_entry(shard, ((name_hash >> SHARD_BITS) & TAG_MASK) << NUMBER_BITS | (number + 1))
        self._copied_shard_sizes[shard_index] += 1

    def _remove_from_index(self, number: int) -> None:
        """Removes one entry and reinserts those after it, so that no probe sequence ends too early."""
        name_hash = hash(decode_name(self._name(number)))
        shard_index = name_hash & SHARD_MASK
        shard = self._writable_shard(shard_index)
        mask = len(shard) - 1
        slot = (name_hash >> SHARD_BITS) & mask
        while shard[slot] & NUMBER_MASK != number + 1:
            slot = (slot + 1) & mask
        shard[slot] = 0
        self._copied_shard_sizes[shard_index] -= 1
        slot = (slot + 1) & mask
        while entry := shard[slot]:
            shard[slot] = 0
            _insert_entry(shard, entry)
            slot = (slot + 1) & mask


class NumberSet:
    """A set of small non-negative integers, stored as one byte each."""

    def __init__(self) -> None:
        self._present = bytearray()

    def __contains__(self, number: int) -> bool:
        return number < len(self._present) and self._present[number] == 1

    def add(self, number: int) -> bool:
        """Returns False if the number was already in the set."""
        if number >= len(self._present):
            self._present.extend(bytes(number + 1 - len(self._present)))
        already_present = self._present[number] == 1
        self._present[number] = 1
        return not already_present


def _insert_entry(shard: array[int], entry: int) -> None:
    mask = len(shard) - 1
    slot = (entry >> NUMBER_BITS) & mask
    while shard[slot]:
        slot = (slot + 1) & mask
    shard[slot] = entry


def _grow_shard(shard: array[int]) -> array[int]:
    slots = max(MIN_SHARD_SLOTS, 2 * len(shard))
    if slots > MAX_SHARD_SLOTS:
        raise IndexFull("hashes of the names are too unevenly distributed")
    larger = array("I", bytes(4 * slots))
    for entry in shard:
        if entry:
            _insert_entry(larger, entry)
    return larger
