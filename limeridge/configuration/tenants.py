"""The table of tenants: names, quotas and stable numbers, in one immutable object a revision.

It owns which number a tenant has, over all revisions of a process. It must never give a number to another
tenant while requests or quota state of the earlier one may still be there, and never change a table once it
is built. Times are whole microseconds of one clock that does not go back, handed in.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterator
from dataclasses import dataclass

from limeridge.configuration.columns import PAGE_BITS, PAGE_MASK, PAGE_SIZE, ColumnEditor
from limeridge.configuration.names import IndexFull, NameTable, NameTableEditor, NumberSet

MAX_NAME_CHARACTERS = 256
MAX_QUOTA = 1e12  # requests a second
RETENTION_US = 3_600_000_000  # default time that a removed tenant keeps its number
DROPS_PER_EDIT = 256  # retired tenants whose time has come that one edit drops; a build drops all
ENTRIES_PER_STEP = 500
DROP_COST_ENTRIES = 5  # a drop takes as long as looking at so many entries

# A quota cell below zero is not a quota: UNUSED, or minus the time until which the tenant stays retired.
UNUSED = -math.inf
UNUSED_PAGE = array("d", [UNUSED]) * PAGE_SIZE


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
class Retirement:
    """The tenants that one revision removed; each keeps its number until the time is there."""

    until: int
    numbers: array[int]


class TenantTable:
    """The tenants of one revision. Retired ones stay in it until dropped."""

    __slots__ = ("_count", "_names", "_quotas", "_retirements")

    def __init__(
        self,
        names: NameTable,
        quotas: tuple[array[float], ...],
        count: int,
        retirements: tuple[Retirement, ...],
    ) -> None:
        self._names = names
        self._quotas = quotas
        self._count = count
        self._retirements = retirements  # oldest first

    @staticmethod
    def empty() -> TenantTable:
        return TenantTable(NameTable.empty(), (), 0, ())

    def __len__(self) -> int:
        """Tenants that are present."""
        return self._count

    def find(self, name: str) -> int | None:
        """The tenant's number, None where it is not present."""
        number = self._names.find(name)
        if number is None or self._quotas[number >> PAGE_BITS][number & PAGE_MASK] < 0:
            return None
        return number

    def quota(self, number: int) -> float:
        """Requests a second of the whole fleet; 0.0 where none is set, and for a tenant that is gone."""
        if not 0 <= number < self._names.used:
            return 0.0
        return max(0.0, self._quotas[number >> PAGE_BITS][number & PAGE_MASK])

    def name(self, number: int) -> str:
        """The name of a tenant that is present or retired; empty where the number has none."""
        return self._names.name(number)

    def names(self) -> Iterator[str]:
        """The names of the tenants that are present, by number."""
        for number in self.numbers():
            yield self.name(number)

    def numbers(self) -> Iterator[int]:
        """The numbers of the tenants that are present, ascending."""
        for page, quotas in enumerate(self._quotas):
            for offset, quota in enumerate(quotas):
                if quota >= 0:
                    yield (page << PAGE_BITS) + offset

    def retired_count(self) -> int:
        """Tenants that went and keep their number still."""
        return len(self._names) - self._count


class TenantTableEditor:
    """The next table after `previous`, by single changes; all that is not named stays.

    A tenant that is removed keeps its number until `retired_until`, which is `now` + RETENTION_US where it is
    not told. Later editors of the same chain of tables may not be handed an earlier `now`. After a fault the
    editor is of no use.
    """

    def __init__(
        self, previous: TenantTable | None = None, *, now: int = 0, retired_until: int | None = None
    ) -> None:
        table = previous if previous is not None else TenantTable.empty()
        self.now = now
        self.retired_until = max(1, now + RETENTION_US if retired_until is None else retired_until)
        self._names = NameTableEditor(table._names)
        self._quotas = ColumnEditor(table._quotas, UNUSED_PAGE)
        self._count = table._count
        self._retirements = list(table._retirements)
        self._removed = array("I")  # in this edit

    def put(self, name: str, quota: float, entry: int = 0) -> int:
        """Add a tenant or set its quota; gives its number. Raises TenantFault, which names the entry."""
        check_tenant(name, quota, entry)
        number = self._names.find(name)
        if number is None:
            number = self._new_number(name, entry)
            self._count += 1
        elif self._quotas.get(number) < 0:
            self._count += 1
        self._quotas.set(number, float(quota))
        return number

    def get(self, name: str) -> float | None:
        """The quota of a tenant that is present, None of one that is not."""
        number = self._names.find(name)
        if number is None:
            return None
        quota = self._quotas.get(number)
        return quota if quota >= 0 else None

    def remove(self, name: str) -> bool:
        """Retire a tenant; False where it is not present."""
        number = self._names.find(name)
        if number is None or self._quotas.get(number) < 0:
            return False
        self._retire(number)
        return True

    def build(self) -> TenantTable:
        """The table; the editor is of no use after it."""
        self._drop_expired(DROPS_PER_EDIT)
        return self._build_table()

    def _new_number(self, name: str, entry: int) -> int:
        try:
            return self._names.add(name)
        except IndexFull as error:
            retired_count = len(self._names) - self._count
            raise TooManyTenants(entry, f"{error} tenants, {retired_count} that went among them") from None

    def _retire(self, number: int) -> None:
        self._quotas.set(number, -float(self.retired_until))
        self._removed.append(number)
        self._count -= 1

    def _drop_expired(self, limit: int) -> int:
        """Forget retired tenants whose time has come, oldest first; gives how many were looked at."""
        if not self._retirements or self._retirements[0].until > self.now:
            return 0
        oldest = self._retirements[0]
        for number in oldest.numbers[-limit:]:
            if self._quotas.get(number) == -float(oldest.until):  # else it came back, or went again later
                self._names.drop(number)
                self._quotas.set(number, UNUSED)
        remaining = oldest.numbers[:-limit]
        self._retirements[:1] = [Retirement(oldest.until, remaining)] if remaining else []
        return min(limit, len(oldest.numbers))

    def _build_table(self) -> TenantTable:
        if self._removed:
            self._retirements.append(Retirement(self.retired_until, self._removed))
        return TenantTable(self._names.build(), self._quotas.build(), self._count, tuple(self._retirements))


class TenantTableBuilder(TenantTableEditor):
    """The next table after `previous`, by its whole list: a tenant that is not added again is removed.

    Adding does its share of the work at once, a few microseconds an entry; what is left is done by `build`,
    or in steps by `build_steps`, after which `table` is there.
    """

    def __init__(
        self, previous: TenantTable | None = None, *, now: int = 0, retired_until: int | None = None
    ) -> None:
        super().__init__(previous, now=now, retired_until=retired_until)
        self._previous_used = self._names.used
        self._added = NumberSet()
        self._added_count = 0
        self._table: TenantTable | None = None

    @property
    def table(self) -> TenantTable:
        """What was built. Raises RuntimeError before the last step."""
        if self._table is None:
            raise RuntimeError("the table is not built yet")
        return self._table

    def add(self, name: str, quota: float = 0.0) -> int:
        """One entry; gives its number. Raises TenantFault, which names the entry."""
        number = self.put(name, quota, self._added_count)
        if not self._added.add(number):
            raise DuplicateTenant(self._added_count, f"the name {name!r} stands twice")
        self._added_count += 1
        return number

    def build(self) -> TenantTable:
        """All steps at once."""
        for _ in self.build_steps(ENTRIES_PER_STEP):
            pass
        return self.table

    def build_steps(self, entries_per_step: int = ENTRIES_PER_STEP) -> Iterator[None]:
        """Retire who is not there any more, and drop those whose time has come, a step at a time."""
        for first in range(0, self._previous_used, entries_per_step):
            for number in range(first, min(self._previous_used, first + entries_per_step)):
                if number not in self._added and self._quotas.get(number) >= 0:
                    self._retire(number)
            yield
        while self._drop_expired(max(1, entries_per_step // DROP_COST_ENTRIES)):
            yield
        self._table = self._build_table()


def check_tenant(name: str, quota: float, entry: int) -> None:
    """Raises TenantFault where name or quota is out of bounds."""
    if not isinstance(name, str) or not 1 <= len(name) <= MAX_NAME_CHARACTERS:
        raise TenantFault(entry, f"name: expected a text of 1 to {MAX_NAME_CHARACTERS} characters")
    if isinstance(quota, bool) or not isinstance(quota, int | float) or not 0 <= quota <= MAX_QUOTA:
        raise TenantFault(entry, f"quota: expected a number from 0 to {MAX_QUOTA:g}")
