"""Names with numbers: an immutable table of texts, each with a number, found by either.

It owns how names lie in memory and how they are found. Two tables share all pages and index shards that did
not change between them, so that a change costs a few pages and not a copy. It must never change a table once
it is built. It knows nothing of what the names stand for, nor when a number may be given again.
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
MIN_SHARD_SLOTS = 4  # slots of a shard that holds anything
TAG_BITS = 12
TAG_MASK = (1 << TAG_BITS) - 1
MAX_SHARD_SLOTS = 1 << TAG_BITS  # the tag alone leads to a slot
NUMBER_BITS = 20
NUMBER_MASK = (1 << NUMBER_BITS) - 1
MAX_NUMBERS = NUMBER_MASK  # a slot holds the number and one


class IndexFull(Exception):
    """No number is left, or the names' hashes are too uneven for the index."""


@dataclass(slots=True, frozen=True)
class NamePage:
    """The names of PAGE_SIZE numbers in one blob; each name ends where the next one begins."""

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
    """The page of PAGE_SIZE names, empty where a number has none."""
    return NamePage(b"".join(names), array("I", accumulate(map(len, names))))


def encode_name(name: str) -> bytes:
    return name.encode("utf-8", "surrogatepass")


def decode_name(name: bytes) -> str:
    return name.decode("utf-8", "surrogatepass")


class NameTable:
    """The names of one revision.

    A number leads to a page, a name by its hash to a shard of the index, which is open addressing with linear
    probing. A slot is 0 where free, else number + 1 below a tag: TAG_BITS more of the hash, which give the
    slot to begin at and spare most comparisons of names.
    """

    __slots__ = ("free", "pages", "shards", "used")

    def __init__(
        self, pages: tuple[NamePage, ...], shards: tuple[array[int], ...], used: int, free: array[int]
    ) -> None:
        self.pages = pages
        self.shards = shards
        self.used = used  # numbers below it have been given out at some time
        self.free = free  # those of them that have no name now

    @staticmethod
    def empty() -> NameTable:
        return NameTable((), (array("I"),) * SHARD_COUNT, 0, array("I"))

    def __len__(self) -> int:
        return self.used - len(self.free)

    def find(self, name: str) -> int | None:
        """The name's number, None where it is not there."""
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
                # NamePage.get in place: this is on the path of every request
                stored_name = page.blob[ends[offset - 1] if offset else 0 : ends[offset]]
                if stored_name == name.encode("utf-8", "surrogatepass"):
                    return number
            slot = (slot + 1) & mask
        return None

    def name(self, number: int) -> str:
        """Empty where the number has no name."""
        if not 0 <= number < self.used:
            return ""
        return decode_name(self.pages[number >> PAGE_BITS].get(number & PAGE_MASK))

    def items(self) -> Iterator[tuple[int, str]]:
        """Numbers with their names, ascending."""
        for page_index, page in enumerate(self.pages):
            for offset, name in enumerate(page.names()):
                if name:
                    yield (page_index << PAGE_BITS) + offset, decode_name(name)


class NameTableEditor:
    """The next table after `table`. Names may not be empty."""

    def __init__(self, table: NameTable) -> None:
        self.used = table.used
        self._pages = list(table.pages)
        self._shards = list(table.shards)
        self._free = table.free[:]
        # Shards that were copied and are no longer shared with the earlier table: index to entry count.
        self._copied_shard_sizes: dict[int, int] = {}
        self._open_page: int | None = None  # the one page whose names stand in a list
        self._open_names: list[bytes] = []

    def __len__(self) -> int:
        return self.used - len(self._free)

    def find(self, name: str) -> int | None:
        """As in the table, in what is edited."""
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
        """A number for a name that is not there yet. Raises IndexFull."""
        number = self._allocate_number()
        self._set_name(number, encode_name(name))
        self._add_to_index(hash(name), number)
        return number

    def drop(self, number: int) -> None:
        """Forget the name; the number is free for another."""
        self._remove_from_index(number)
        self._set_name(number, b"")
        self._free.append(number)

    def build(self) -> NameTable:
        """The table; the editor is of no use after it."""
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
        """Remove one entry; those behind it move up, so that no probe ends too early."""
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
    """Numbers from 0 on, a byte each."""

    def __init__(self) -> None:
        self._present = bytearray()

    def __contains__(self, number: int) -> bool:
        return number < len(self._present) and self._present[number] == 1

    def add(self, number: int) -> bool:
        """False where it is there already."""
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
        raise IndexFull("the hashes of the names are too uneven")
    larger = array("I", bytes(4 * slots))
    for entry in shard:
        if entry:
            _insert_entry(larger, entry)
    return larger
