"""The table of tenants: names, quotas and stable numbers, in one immutable object a revision.

It owns which number a tenant has, over all revisions of a process. Two tables share all pages and index
shards that did not change between them, so that a change costs a few pages and not a copy. It must never give
a number to another tenant while requests or quota state of the earlier one may still be there, and never
change a table once it is built. Times are whole microseconds of one clock that does not go back, handed in.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterator
from dataclasses import dataclass

NAME_MOST = 256  # characters
QUOTA_MOST = 1e12  # requests a second
RETENTION = (
    3_600_000_000  # microseconds that a tenant which went keeps its number, where nothing else is told
)

PAGE_BITS = 8
PAGE_SIZE = 1 << PAGE_BITS
PAGE_MASK = PAGE_SIZE - 1
SHARD_BITS = 10
SHARDS = 1 << SHARD_BITS
SHARD_MASK = SHARDS - 1
SHARD_LEAST = 4  # slots of a shard that holds anything
TAG_BITS = 12
TAG_MASK = (1 << TAG_BITS) - 1
SHARD_MOST = 1 << TAG_BITS  # slots; the tag alone leads to a slot
NUMBER_BITS = 20
NUMBER_MASK = (1 << NUMBER_BITS) - 1
NUMBERS_MOST = NUMBER_MASK  # present and retired ones together
DROPS_PER_EDIT = 256  # retired tenants whose time has come that one edit drops; a build drops all
ENTRIES_PER_STEP = 500
DROP_COST = 5  # a drop takes as long as looking at so many entries

# A quota cell below zero is not a quota: UNUSED, or minus the time until which the tenant stays retired.
UNUSED = -math.inf


class TenantFault(Exception):
    """One entry that can't be taken: `entry` counts from 0 in the order of adding."""

    def __init__(self, entry: int, fault: str) -> None:
        super().__init__(f"tenants.{entry}: {fault}")
        self.entry = entry
        self.fault = fault


class DuplicateTenant(TenantFault):
    """The entry's name stands in an earlier entry too."""


class TooManyTenants(TenantFault):
    """All numbers are taken, by tenants that are present or not long enough gone."""


@dataclass(slots=True, frozen=True)
class NamePage:
    """The names of PAGE_SIZE numbers in one blob; each name ends where the next one begins."""

    blob: bytes
    ends: array[int]

    def get(self, place: int) -> bytes:
        return self.blob[self.ends[place - 1] if place else 0 : self.ends[place]]

    def all(self) -> list[bytes]:
        return [self.get(place) for place in range(PAGE_SIZE)]


@dataclass(slots=True, frozen=True)
class Retirement:
    """The tenants that one revision removed; each keeps its number until the time is there."""

    until: int
    numbers: array[int]


def name_page(names: list[bytes]) -> NamePage:
    ends = array("I", bytes(4 * PAGE_SIZE))
    end = 0
    for place, name in enumerate(names):
        end += len(name)
        ends[place] = end
    return NamePage(b"".join(names), ends)


def encoded_name(name: str) -> bytes:
    return name.encode("utf-8", "surrogatepass")


def decoded_name(name: bytes) -> str:
    return name.decode("utf-8", "surrogatepass")


class TenantTable:
    """The tenants of one revision.

    A number leads to a page (names, quotas), a name by its hash to a shard of the index, which is open
    addressing with linear probing. A slot is 0 where free, else number + 1 below a tag: TAG_BITS more of the
    hash, which give the slot to begin at and spare most comparisons of names. Retired tenants stay in pages
    and index until dropped.
    """

    __slots__ = ("_count", "_free", "_name_pages", "_quota_pages", "_retirements", "_shards", "_used")

    def __init__(
        self,
        name_pages: tuple[NamePage, ...],
        quota_pages: tuple[array[float], ...],
        shards: tuple[array[int], ...],
        count: int,
        used: int,
        free: array[int],
        retirements: tuple[Retirement, ...],
    ) -> None:
        self._name_pages = name_pages
        self._quota_pages = quota_pages
        self._shards = shards
        self._count = count
        self._used = used  # numbers below it have been given out at some time
        self._free = free
        self._retirements = retirements  # oldest first

    @staticmethod
    def empty() -> TenantTable:
        return TenantTable((), (), (array("I"),) * SHARDS, 0, 0, array("I"), ())

    def __len__(self) -> int:
        """Tenants that are present."""
        return self._count

    def find(self, name: str) -> int | None:
        """The tenant's number, None where it is not present."""
        number = self.number_held(name)
        if number is None or self._quota_pages[number >> PAGE_BITS][number & PAGE_MASK] < 0:
            return None
        return number

    def number_held(self, name: str) -> int | None:
        """The number of a tenant that is present or retired."""
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
                if self._name_pages[number >> PAGE_BITS].get(number & PAGE_MASK) == encoded_name(name):
                    return number
            slot = (slot + 1) & mask
        return None

    def quota(self, number: int) -> float:
        """Requests a second of the whole fleet; 0.0 where none is set, and for a tenant that is gone."""
        if not 0 <= number < self._used:
            return 0.0
        return max(0.0, self._quota_pages[number >> PAGE_BITS][number & PAGE_MASK])

    def name(self, number: int) -> str:
        """The name of a tenant that is present or retired; empty where the number has none."""
        if not 0 <= number < self._used:
            return ""
        return decoded_name(self._name_pages[number >> PAGE_BITS].get(number & PAGE_MASK))

    def names(self) -> Iterator[str]:
        """The names of the tenants that are present, by number."""
        for number in self.numbers():
            yield self.name(number)

    def numbers(self) -> Iterator[int]:
        """The numbers of the tenants that are present, ascending."""
        for page, quotas in enumerate(self._quota_pages):
            for place, quota in enumerate(quotas):
                if quota >= 0:
                    yield (page << PAGE_BITS) + place

    def retired(self) -> int:
        """Tenants that went and keep their number still."""
        return self._used - self._count - len(self._free)


class TenantTableEditor:
    """The next table after `previous`, by single changes; all that is not named stays.

    A tenant that is removed keeps its number until `retired_until`, which is `now` and RETENTION where it is
    not told. Later editors of the same chain of tables may not be handed an earlier `now`. After a fault the
    editor is of no use.
    """

    def __init__(
        self, previous: TenantTable | None = None, *, now: int = 0, retired_until: int | None = None
    ) -> None:
        table = previous if previous is not None else TenantTable.empty()
        self.now = now
        self.retired_until = now + RETENTION if retired_until is None else retired_until
        self._name_pages = list(table._name_pages)
        self._quota_pages = list(table._quota_pages)
        self._shards = list(table._shards)
        self._count = table._count
        self._used = table._used
        self._free = table._free[:]
        self._retirements = list(table._retirements)
        self._removed = array("I")  # in this edit
        self._own_quotas: set[int] = set()  # pages that are not shared with an earlier table
        self._own_shards: set[int] = set()
        self._entries: dict[int, int] = {}  # by shard, where it is our own
        self._open_page: int | None = None
        self._open_names: list[bytes] = []

    def put(self, name: str, quota: float, entry: int = 0) -> int:
        """Add a tenant or set its quota; gives its number. Raises TenantFault, which names the entry."""
        check_tenant(name, quota, entry)
        number = self.number_held(name)
        if number is None:
            number = self._new_number(entry)
            self._set_name(number, encoded_name(name))
            self._index(hash(name), number)
        if self._quota(number) < 0:
            self._count += 1
        self._set_quota(number, float(quota))
        return number

    def remove(self, name: str) -> bool:
        """Retire a tenant; False where it is not present."""
        number = self.number_held(name)
        if number is None or self._quota(number) < 0:
            return False
        self._retire(number)
        return True

    def build(self) -> TenantTable:
        """The table; the editor is of no use after it."""
        self._drop_due(DROPS_PER_EDIT)
        return self._finished()

    def number_held(self, name: str) -> int | None:
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

    def _name(self, number: int) -> bytes:
        page = number >> PAGE_BITS
        if page == self._open_page:
            return self._open_names[number & PAGE_MASK]
        return self._name_pages[page].get(number & PAGE_MASK)

    def _set_name(self, number: int, name: bytes) -> None:
        page = number >> PAGE_BITS
        if page != self._open_page:
            self._close_page()
            self._open_page = page
            self._open_names = self._name_pages[page].all()
        self._open_names[number & PAGE_MASK] = name

    def _close_page(self) -> None:
        if self._open_page is not None:
            self._name_pages[self._open_page] = name_page(self._open_names)
            self._open_page = None

    def _quota(self, number: int) -> float:
        return self._quota_pages[number >> PAGE_BITS][number & PAGE_MASK]

    def _set_quota(self, number: int, quota: float) -> None:
        page = number >> PAGE_BITS
        if page not in self._own_quotas:
            self._own_quotas.add(page)
            self._quota_pages[page] = self._quota_pages[page][:]
        self._quota_pages[page][number & PAGE_MASK] = quota

    def _new_number(self, entry: int) -> int:
        if self._free:
            return self._free.pop()
        if self._used == NUMBERS_MOST:
            gone = self._used - self._count
            raise TooManyTenants(
                entry, f"expected at most {NUMBERS_MOST} tenants, {gone} that went among them"
            )
        number = self._used
        if number & PAGE_MASK == 0:
            self._name_pages.append(name_page([b""] * PAGE_SIZE))
            self._quota_pages.append(array("d", [UNUSED]) * PAGE_SIZE)
            self._own_quotas.add(number >> PAGE_BITS)
        self._used += 1
        return number

    def _retire(self, number: int) -> None:
        self._set_quota(number, -float(max(1, self.retired_until)))
        self._removed.append(number)
        self._count -= 1

    def _own_shard(self, which: int) -> array[int]:
        if which not in self._own_shards:
            self._own_shards.add(which)
            shard = self._shards[which][:]
            self._shards[which] = shard
            self._entries[which] = len(shard) - shard.count(0)
        return self._shards[which]

    def _index(self, hashed: int, number: int) -> None:
        which = hashed & SHARD_MASK
        shard = self._own_shard(which)
        if 3 * (self._entries[which] + 1) > 2 * len(shard):
            shard = self._shards[which] = _grown(shard)
        _insert(shard, ((hashed >> SHARD_BITS) & TAG_MASK) << NUMBER_BITS | (number + 1))
        self._entries[which] += 1

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
        self._entries[which] -= 1
        slot = (slot + 1) & mask
        while entry := shard[slot]:
            shard[slot] = 0
            _insert(shard, entry)
            slot = (slot + 1) & mask

    def _drop_due(self, most: int) -> int:
        """Forget retired tenants whose time has come, oldest first; gives how many were looked at."""
        if not self._retirements or self._retirements[0].until > self.now:
            return 0
        oldest = self._retirements[0]
        numbers = oldest.numbers
        for number in numbers[-most:]:
            if self._quota(number) == -float(oldest.until):  # else it came back, or went again later
                self._drop(number)
        left = numbers[:-most]
        self._retirements[:1] = [Retirement(oldest.until, left)] if left else []
        return min(most, len(numbers))

    def _drop(self, number: int) -> None:
        self._unindex(number)
        self._set_name(number, b"")
        self._set_quota(number, UNUSED)
        self._free.append(number)

    def _finished(self) -> TenantTable:
        self._close_page()
        if self._removed:
            self._retirements.append(Retirement(max(1, self.retired_until), self._removed))
        return TenantTable(
            tuple(self._name_pages),
            tuple(self._quota_pages),
            tuple(self._shards),
            self._count,
            self._used,
            self._free,
            tuple(self._retirements),
        )


class TenantTableBuilder(TenantTableEditor):
    """The next table after `previous`, by its whole list: a tenant that is not added again is removed.

    Adding does its share of the work at once, a few microseconds an entry; what is left is done by `build`,
    or in steps by `build_steps`, after which `table` is there.
    """

    def __init__(
        self, previous: TenantTable | None = None, *, now: int = 0, retired_until: int | None = None
    ) -> None:
        super().__init__(previous, now=now, retired_until=retired_until)
        self._before = self._used
        self._added = bytearray(self._before)  # by number; grows with the numbers
        self._adds = 0
        self._table: TenantTable | None = None

    @property
    def table(self) -> TenantTable:
        """What was built. Raises RuntimeError before the last step."""
        if self._table is None:
            raise RuntimeError("the table is not built yet")
        return self._table

    def add(self, name: str, quota: float = 0.0) -> int:
        """One entry; gives its number. Raises TenantFault, which names the entry."""
        number = self.put(name, quota, self._adds)
        if number >= len(self._added):
            self._added.extend(bytes(number + 1 - len(self._added)))
        elif self._added[number]:
            raise DuplicateTenant(self._adds, f"the name {name!r} stands twice")
        self._added[number] = 1
        self._adds += 1
        return number

    def build(self) -> TenantTable:
        """All steps at once."""
        for _ in self.build_steps(ENTRIES_PER_STEP):
            pass
        return self.table

    def build_steps(self, entries_per_step: int = ENTRIES_PER_STEP) -> Iterator[None]:
        """Retire who is not there any more, and drop those whose time has come, a step at a time."""
        for first in range(0, self._before, entries_per_step):
            for number in range(first, min(self._before, first + entries_per_step)):
                if not self._added[number] and self._quota(number) >= 0:
                    self._retire(number)
            yield
        while self._drop_due(max(1, entries_per_step // DROP_COST)):
            yield
        self._table = self._finished()


def check_tenant(name: str, quota: float, entry: int) -> None:
    """Raises TenantFault where name or quota is out of bounds."""
    if not isinstance(name, str) or not 1 <= len(name) <= NAME_MOST:
        raise TenantFault(entry, f"name: expected a text of 1 to {NAME_MOST} characters")
    if isinstance(quota, bool) or not isinstance(quota, int | float) or not 0 <= quota <= QUOTA_MOST:
        raise TenantFault(entry, f"quota: expected a number from 0 to {QUOTA_MOST:g}")


def _insert(shard: array[int], entry: int) -> None:
    mask = len(shard) - 1
    slot = (entry >> NUMBER_BITS) & mask
    while shard[slot]:
        slot = (slot + 1) & mask
    shard[slot] = entry


def _grown(shard: array[int]) -> array[int]:
    slots = max(SHARD_LEAST, 2 * len(shard))
    if slots > SHARD_MOST:
        raise OverflowError("the hashes of names are too uneven for the index")
    larger = array("I", bytes(4 * slots))
    for entry in shard:
        if entry:
            _insert(larger, entry)
    return larger
