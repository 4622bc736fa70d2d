"""Snapshots: the content of one revision, in parts that are sent, checked and loaded one by one.

This module splits tables into parts and loads them in short steps. The hash in the header covers the digest
of the tables, and the digest covers all entries, so a snapshot is verified against the chain before its
tables are returned.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

from limeridge.configuration.chain import Entry, Head, has_valid_hash
from limeridge.configuration.routes import RouteFault, RouteTableBuilder
from limeridge.configuration.tables import (
    DIGEST_MASK,
    ClassLimits,
    Tables,
    limits_digest,
    route_digest,
    sorted_routes,
    sorted_tenants,
    tenant_digest,
)
from limeridge.configuration.tenants import TenantFault, TenantTableBuilder

MAX_PART_ENTRIES = 1_000
PART_CHARACTER_LIMIT = 100_000  # of names or prefixes; a part ends with the entry that reaches it
ENTRIES_PER_STEP = 50  # under a millisecond


Row = TypeVar("Row", tuple[str, float], tuple[str, str])


class SnapshotFault(Exception):
    """A part is missing or not of this snapshot, or the content does not match the hash of the chain."""


@dataclass(slots=True, frozen=True)
class SnapshotHeader:
    """The last entry that the snapshot includes, the classes, and the numbers of entries and parts."""

    entry: Entry
    limits: ClassLimits
    tenants: int
    routes: int
    parts: int

    @property
    def head(self) -> Head:
        return self.entry.head


@dataclass(slots=True, frozen=True)
class SnapshotPart:
    """One part, with its `index` from 0: tenants with quotas, and routes with the names of their classes."""

    hash: bytes
    index: int
    tenants: tuple[tuple[str, float], ...]
    routes: tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class Snapshot:
    header: SnapshotHeader
    parts: tuple[SnapshotPart, ...]


def make_snapshot(entry: Entry, tables: Tables) -> Snapshot:
    """Creates a snapshot that depends only on the content of the tables. Slow if the tables are large."""
    tenants, routes = sorted_tenants(tables), sorted_routes(tables)
    parts = [SnapshotPart(entry.hash, index, rows, ()) for index, rows in enumerate(_split(tenants))]
    parts += [
        SnapshotPart(entry.hash, index, (), rows) for index, rows in enumerate(_split(routes), len(parts))
    ]
    return Snapshot(SnapshotHeader(entry, tables.limits, len(tenants), len(routes), len(parts)), tuple(parts))


def _split(entries: list[Row]) -> Iterator[tuple[Row, ...]]:
    """Splits entries, in order, by MAX_PART_ENTRIES and PART_CHARACTER_LIMIT."""
    rows: list[Row] = []
    size = 0
    for entry in entries:
        rows.append(entry)
        size += len(entry[0])
        if len(rows) == MAX_PART_ENTRIES or size >= PART_CHARACTER_LIMIT:
            yield tuple(rows)
            rows, size = [], 0
    if rows:
        yield tuple(rows)


class SnapshotLoader:
    """Builds the tables of one snapshot; tenants of `previous` keep their numbers.

    `now` and `retired_until` are microseconds of the process' own clock, see TenantTableEditor.
    """

    def __init__(
        self,
        header: SnapshotHeader,
        previous: Tables | None,
        *,
        now: int,
        retired_until: int | None = None,
    ) -> None:
        """Raises SnapshotFault if the hash of the header does not match its content."""
        if not has_valid_hash(header.entry):
            raise SnapshotFault(f"revision {header.head.number}: hash does not match the content")
        self.header = header
        self._tenants = TenantTableBuilder(
            previous.tenants if previous else None, now=now, retired_until=retired_until
        )
        self._routes = RouteTableBuilder()
        self._digest = limits_digest(header.limits)
        self._next_part_index = 0
        self._tables: Tables | None = None

    @property
    def next_part_index(self) -> int:
        """The index of the part that is expected next; equal to the number of parts when complete."""
        return self._next_part_index

    @property
    def complete(self) -> bool:
        return self._next_part_index == self.header.parts

    @property
    def tables(self) -> Tables:
        """The loaded tables. Raises RuntimeError before the last step."""
        if self._tables is None:
            raise RuntimeError("the snapshot is not completely loaded yet")
        return self._tables

    def load_part(self, part: SnapshotPart) -> Iterator[None]:
        """Loads the next part incrementally. Raises SnapshotFault."""
        if part.hash != self.header.entry.hash or part.index != self._next_part_index or self.complete:
            raise SnapshotFault(
                f"expected part {self._next_part_index} of revision {self.header.head.number}"
            )
        self._next_part_index += 1
        for first in range(0, len(part.tenants), ENTRIES_PER_STEP):
            self._load_tenants(part.tenants[first : first + ENTRIES_PER_STEP])
            yield
        for first in range(0, len(part.routes), ENTRIES_PER_STEP):
            self._load_routes(part.routes[first : first + ENTRIES_PER_STEP])
            yield

    def finish(self) -> Iterator[None]:
        """Builds and verifies the tables incrementally, after the last part. Raises SnapshotFault."""
        if not self.complete:
            raise SnapshotFault(
                f"expected part {self._next_part_index} of revision {self.header.head.number}"
            )
        yield from self._tenants.build_steps()
        tenants, routes = self._tenants.table, self._routes.build()
        counts = len(tenants), len(routes)
        if counts != (self.header.tenants, self.header.routes) or self._digest != self.header.entry.digest:
            raise SnapshotFault(
                f"revision {self.header.head.number}: counts or digest of tables do not match"
            )
        self._tables = Tables(tenants, routes, self.header.limits, self._digest)

    def _load_tenants(self, tenants: tuple[tuple[str, float], ...]) -> None:
        try:
            for name, quota in tenants:
                self._tenants.add(name, quota)
                self._digest = (self._digest + tenant_digest(name, quota)) & DIGEST_MASK
        except TenantFault as fault:
            raise SnapshotFault(str(fault)) from None

    def _load_routes(self, routes: tuple[tuple[str, str], ...]) -> None:
        limits = self.header.limits
        try:
            for prefix, class_name in routes:
                number = limits.find(class_name)
                if number is None:
                    raise SnapshotFault(f"route {prefix!r} refers to unknown class {class_name!r}")
                self._routes.add(prefix, number)
                self._digest = (self._digest + route_digest(prefix, class_name)) & DIGEST_MASK
        except RouteFault as fault:
            raise SnapshotFault(str(fault)) from None


def load_snapshot(
    snapshot: Snapshot, previous: Tables | None = None, *, now: int = 0, retired_until: int | None = None
) -> Tables:
    """Loads a whole snapshot at once. Raises SnapshotFault."""
    loader = SnapshotLoader(snapshot.header, previous, now=now, retired_until=retired_until)
    for part in snapshot.parts:
        for _ in loader.load_part(part):
            pass
    for _ in loader.finish():
        pass
    return loader.tables
