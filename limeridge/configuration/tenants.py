"""The table of tenants: names, quotas and stable numbers, as one immutable object per revision.

This module assigns numbers to tenants; a number stays the same over all revisions of a process. A number is
never reassigned while requests or quota state of its earlier tenant may still exist, and a table is never
modified once it is built. Times are whole microseconds of a monotonic clock and are passed in.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterator
from dataclasses import dataclass

from limeridge.configuration.columns import PAGE_BITS, PAGE_MASK, PAGE_SIZE, ColumnEditor
from limeridge.configuration.names import IndexFull, NameTable, NameTableEditor, NumberSet

MAX_NAME_CHARACTERS = 256
MAX_QUOTA = 1e12  # requests per second
RETENTION_US = 3_600_000_000  # default time that a removed tenant keeps its number
DROPS_PER_EDIT = 256  # expired tenants that an edit drops at most; a full build drops all of them
ENTRIES_PER_STEP = 500
DROP_COST_ENTRIES = 5  # dropping a tenant takes as long as examining this many entries

# A negative value in the quota column is not a quota: it is UNUSED, or the negated time at which the
# retirement of the tenant expires.
UNUSED = -math.inf
UNUSED_PAGE = array("d", [UNUSED]) * PAGE_SIZE


class TenantFault(Exception):
    """An invalid entry; `entry` is its index from 0 in the order of adding."""

    def __init__(self, entry: int, fault: str) -> None:
        super().__init__(f"tenants.{entry}: {fault}")
        self.entry = entry
        self.fault = fault


class DuplicateTenant(TenantFault):
    """The entry has the same name as an earlier one."""


class TooManyTenants(TenantFault):
    """All numbers are in use by present tenants or by removed ones that are still retained."""


@dataclass(slots=True, frozen=True)
class Retirement:
    """The tenants that one revision removed; they keep their numbers until the time `until`."""

    until: int
    numbers: array[int]


class TenantTable:
    """The tenants of one revision. Removed tenants stay in it as retired ones until they are dropped."""

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
        """Returns the number of present tenants."""
        return self._count

    def find(self, name: str) -> int | None:
        """Returns the number of a tenant, or None if it is not present."""
        number = self._names.find(name)
        if number is None or self._quotas[number >> PAGE_BITS][number & PAGE_MASK] < 0:
            return None
        return number

    def quota(self, number: int) -> float:
        """Requests per second of the whole fleet; 0.0 if none is set or the tenant was removed."""
        if not 0 <= number < self._names.used:
            return 0.0
        return max(0.0, self._quotas[number >> PAGE_BITS][number & PAGE_MASK])

    def name(self, number: int) -> str:
        """The name of a present or retired tenant; empty if the number has none."""
        return self._names.name(number)

    def names(self) -> Iterator[str]:
        """The names of the present tenants, in ascending order of their numbers."""
        for number in self.numbers():
            yield self.name(number)

    def numbers(self) -> Iterator[int]:
        """The numbers of the present tenants, ascending."""
        for page_index, quotas in enumerate(self._quotas):
            for offset, quota in enumerate(quotas):
                if quota >= 0:
                    yield (page_index << PAGE_BITS) + offset

    def retired_count(self) -> int:
        """Returns how many removed tenants keep their numbers."""
        return len(self._names) - self._count


class TenantTableEditor:
    """Builds a modified copy of `previous` by single changes; all other tenants stay as they are.

    A removed tenant keeps its number until `retired_until`, by default `now` + RETENTION_US. `now` must not
    decrease from one editor to the next along a sequence of tables. The editor must not be used after a
    fault.
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
        self._removed = array("I")  # numbers removed by this editor

    def put(self, name: str, quota: float, entry: int = 0) -> int:
        """Adds a tenant or sets its quota, and returns its number. Raises TenantFault with the entry."""
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
        """Returns the quota of a present tenant, or None if it is not present."""
        number = self._names.find(name)
        if number is None:
            return None
        quota = self._quotas.get(number)
        return quota if quota >= 0 else None

    def remove(self, name: str) -> bool:
        """Retires a tenant. Returns False if it is not present."""
        number = self._names.find(name)
        if number is None or self._quotas.get(number) < 0:
            return False
        self._retire(number)
        return True

    def build(self) -> TenantTable:
        """Returns the new table; the editor must not be used afterwards."""
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
        """Drops at most `limit` expired tenants, oldest first, and returns how many were examined."""
        if not self._retirements or self._retirements[0].until > self.now:
            return 0
        oldest = self._retirements[0]
        for number in oldest.numbers[-limit:]:
            # Differs if the tenant was added again since, even if it was then removed again.
            if self._quotas.get(number) == -float(oldest.until):
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
    """Builds a new table from a complete list: a tenant of `previous` that is not added again is removed.

    Adding takes a few microseconds per entry. The remaining work is done by `build`, or incrementally by
    `build_steps`, after which `table` is available.
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
        """The table that was built. Raises RuntimeError before the last step."""
        if self._table is None:
            raise RuntimeError("the table is not built yet")
        return self._table

    def add(self, name: str, quota: float = 0.0) -> int:
        """Adds one entry and returns its number. Raises TenantFault with the entry."""
        number = self.put(name, quota, self._added_count)
        if not self._added.add(number):
            raise DuplicateTenant(self._added_count, f"the name {name!r} stands twice")
        self._added_count += 1
        return number

    def build(self) -> TenantTable:
        """Runs all steps at once and returns the table."""
        for _ in self.build_steps(ENTRIES_PER_STEP):
            pass
        return self.table

    def build_steps(self, entries_per_step: int = ENTRIES_PER_STEP) -> Iterator[None]:
        """Retires tenants that were not added again and drops expired ones, incrementally."""
        for first in range(0, self._previous_used, entries_per_step):
            for number in range(first, min(self._previous_used, first + entries_per_step)):
                if number not in self._added and self._quotas.get(number) >= 0:
                    self._retire(number)
            yield
        while self._drop_expired(max(1, entries_per_step // DROP_COST_ENTRIES)):
            yield
        self._table = self._build_table()


def check_tenant(name: str, quota: float, entry: int) -> None:
    """Raises TenantFault if the name or the quota is out of bounds."""
    if not isinstance(name, str) or not 1 <= len(name) <= MAX_NAME_CHARACTERS:
        raise TenantFault(entry, f"name: expected a text of 1 to {MAX_NAME_CHARACTERS} characters")
    if isinstance(quota, bool) or not isinstance(quota, int | float) or not 0 <= quota <= MAX_QUOTA:
        raise TenantFault(entry, f"quota: expected a number from 0 to {MAX_QUOTA:g}")
