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
SHARDS = 1 << SHARD_BITS
SHARD_MASK = SHARDS - 1
SHARD_LEAST = 4  # slots of a shard that holds anything
TAG_BITS = 12
TAG_MASK = (1 << TAG_BITS) - 1
SHARD_MOST = 1 << TAG_BITS  # slots; the tag alone leads to a slot
NUMBER_BITS = 20
NUMBER_MASK = (1 << NUMBER_BITS) - 1
NUMBERS_MOST = NUMBER_MASK  # a slot holds the number and one


class IndexFull(Exception):
    """No number is left, or the names' hashes are too uneven for the index."""


@dataclass(slots=True, frozen=True)
class NamePage:
    """The names of PAGE_SIZE numbers in one blob; each name ends where the next one begins."""

    blob: bytes
    ends: array[int]

    def get(self, place: int) -> bytes:
        return self.blob[self.ends[place - 1] if place else 0 : self.ends[place]]

    def all(self) -> list[bytes]:
        names, begin = [], 0
        for end in self.ends:
            names.append(self.blob[begin:end])
            begin = end
        return names


def name_page(names: list[bytes]) -> NamePage:
    """The page of PAGE_SIZE names, empty where a number has none."""
    return NamePage(b"".join(names), array("I", accumulate(map(len, names))))


def encoded_name(name: str) -> bytes:
    return name.encode("utf-8", "surrogatepass")


def decoded_name(name: bytes) -> str:
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
        return NameTable((), (array("I"),) * SHARDS, 0, array("I"))

    def __len__(self) -> int:
        return self.used - len(self.free)

    def find(self, name: str) -> int | None:
        """The name's number, None where it is not there."""
        hashed = hash(name)
        shard = self.shards[hashed & SHARD_MASK]
        if not shard:
            return None
        mask = len(shard) - 1
        tag = (hashed >> SHARD_BITS) & TAG_MASK
        slot = tag & mask
        while entry := shard[slot]:
            if entry >> NUMBER_BITS == tag:
                number = (entry & NUMBER_MASK) - 1
                page, place = self.pages[number >> PAGE_BITS], number & PAGE_MASK
                ends = page.ends
                # NamePage.get in place: this is on the path of every request
                held = page.blob[ends[place - 1] if place else 0 : ends[place]]
                if held == name.encode("utf-8", "surrogatepass"):
                    return number
            slot = (slot + 1) & mask
        return None

    def name(self, number: int) -> str:
        """Empty where the number has no name."""
        if not 0 <= number < self.used:
            return ""
        return decoded_name(self.pages[number >> PAGE_BITS].get(number & PAGE_MASK))

    def items(self) -> Iterator[tuple[int, str]]:
        """Numbers with their names, ascending."""
        for page, names in enumerate(self.pages):
            for place, name in enumerate(names.all()):
                if name:
                    yield (page << PAGE_BITS) + place, decoded_name(name)


class NameTableEditor:
    """The next table after `table`. Names may not be empty."""

    def __init__(self, table: NameTable) -> None:
        self.used = table.used
        self._pages = list(table.pages)
        self._shards = list(table.shards)
        self._free = table.free[:]
        self._own_shards: dict[int, int] = {}  # those not shared with the earlier table: entries in each
        self._open_page: int | None = None  # the one page whose names stand in a list
        self._open_names: list[bytes] = []

    def __len__(self) -> int:
        return self.used - len(self._free)

    def find(self, name: str) -> int | None:
        """As in the table, in what is edited."""
        hashed = hash(name)
        shard = self._shards[hashed & SHARD_MASK]
        if not shard:
            return None
        mask = len(shard) - 1
        tag = (hashed >> SHARD_BITS) & TAG_MASK
        slot = tag & mask
        while entry := shard[slot]:
            if entry >> NUMBER_BITS == tag:
                number = (entry & NUMBER_MASK) - 1
                if self._name(number) == encoded_name(name):
                    return number
            slot = (slot + 1) & mask
        return None

    def add(self, name: str) -> int:
        """A number for a name that is not there yet. Raises IndexFull."""
        number = self._new_number()
        self._set_name(number, encoded_name(name))
        self._index(hash(name), number)
        return number

    def drop(self, number: int) -> None:
        """Forget the name; the number is free for another."""
        self._unindex(number)
        self._set_name(number, b"")
        self._free.append(number)

    def build(self) -> NameTable:
        """The table; the editor is of no use after it."""
        self._close_page()
        return NameTable(tuple(self._pages), tuple(self._shards), self.used, self._free)

    def _name(self, number: int) -> bytes:
        page = number >> PAGE_BITS
        if page == self._open_page:
            return self._open_names[number & PAGE_MASK]
        return self._pages[page].get(number & PAGE_MASK)

    def _set_name(self, number: int, name: bytes) -> None:
        page = number >> PAGE_BITS
        if page != self._open_page:
            self._close_page()
            self._open_page = page
            self._open_names = self._pages[page].all()
        self._open_names[number & PAGE_MASK] = name

    def _close_page(self) -> None:
        if self._open_page is not None:
            self._pages[self._open_page] = name_page(self._open_names)
            self._open_page = None

    def _new_number(self) -> int:
        if self._free:
            return self._free.pop()
        if self.used == NUMBERS_MOST:
            raise IndexFull(f"expected at most {NUMBERS_MOST}")
        if self.used & PAGE_MASK == 0:
            self._pages.append(name_page([b""] * PAGE_SIZE))
        self.used += 1
        return self.used - 1

    def _own_shard(self, which: int) -> array[int]:
        if which not in self._own_shards:
            shard = self._shards[which][:]
            self._shards[which] = shard
            self._own_shards[which] = len(shard) - shard.count(0)
        return self._shards[which]

    def _index(self, hashed: int, number: int) -> None:
        which = hashed & SHARD_MASK
        shard = self._own_shard(which)
        if 3 * (self._own_shards[which] + 1) > 2 * len(shard):
            shard = self._shards[which] = _grown(shard)
        _insert(shard, ((hashed >> SHARD_BITS) & TAG_MASK) << NUMBER_BITS | (number + 1))
        self._own_shards[which] += 1

    def _unindex(self, number: int) -> None:
        """Remove one entry; those behind it move up, so that no probe ends too early."""
        hashed = hash(decoded_name(self._name(number)))
        which = hashed & SHARD_MASK
        shard = self._own_shard(which)
        mask = len(shard) - 1
        slot = (hashed >> SHARD_BITS) & mask
        while shard[slot] & NUMBER_MASK != number + 1:
            slot = (slot + 1) & mask
        shard[slot] = 0
        self._own_shards[which] -= 1
        slot = (slot + 1) & mask
        while entry := shard[slot]:
            shard[slot] = 0
            _insert(shard, entry)
            slot = (slot + 1) & mask


class NumberSet:
    """Numbers from 0 on, a byte each."""

    def __init__(self) -> None:
        self._marks = bytearray()

    def __contains__(self, number: int) -> bool:
        return number < len(self._marks) and self._marks[number] == 1

    def add(self, number: int) -> bool:
        """False where it is there already."""
        if number >= len(self._marks):
            self._marks.extend(bytes(number + 1 - len(self._marks)))
        was_there = self._marks[number] == 1
        self._marks[number] = 1
        return not was_there


def _insert(shard: array[int], entry: int) -> None:
    mask = len(shard) - 1
    slot = (entry >> NUMBER_BITS) & mask
    while shard[slot]:
        slot = (slot + 1) & mask
    shard[slot] = entry


def _grown(shard: array[int]) -> array[int]:
    slots = max(SHARD_LEAST, 2 * len(shard))
    if slots > SHARD_MOST:
        raise IndexFull("the hashes of the names are too uneven")
    larger = array("I", bytes(4 * slots))
    for entry in shard:
        if entry:
            _insert(larger, entry)
    return larger
