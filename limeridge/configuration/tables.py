"""All tables of one revision, their digest, and the editor that makes the next one's.

It owns how a change acts on the tables, and the digest of what they hold: the sum of the hashes of all
entries, so that a change costs one or two of them and the order in which entries came does not matter. It
must never change tables that are built, nor leave them half changed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b

from limeridge.configuration.changes import (
    Change,
    PutRoute,
    PutTenant,
    RemoveRoute,
    RemoveTenant,
    SetClassLimit,
    number_bytes,
    packed,
    text_bytes,
)
from limeridge.configuration.routes import RouteFault, RouteTable, RouteTableEditor
from limeridge.configuration.tenants import TenantFault, TenantTable, TenantTableEditor

DIGEST_BYTES = 32
DIGEST_MASK = (1 << (8 * DIGEST_BYTES)) - 1


class InapplicableChange(Exception):
    """A change does not fit the tables that it is to be made to."""


@dataclass(slots=True, frozen=True)
class ClassLimits:
    """The classes by number, and the share of an instance's capacity that is kept for each."""

    names: tuple[str, ...] = ()
    shares: tuple[float, ...] = ()

    def find(self, name: str) -> int | None:
        return self.names.index(name) if name in self.names else None

    def with_share(self, number: int, share: float) -> ClassLimits:
        return ClassLimits(self.names, (*self.shares[:number], share, *self.shares[number + 1 :]))


@dataclass(slots=True, frozen=True)
class Tables:
    """What is in force by one revision. `digest` covers tenants, routes and class limits."""

    tenants: TenantTable
    routes: RouteTable
    limits: ClassLimits
    digest: int

    @staticmethod
    def empty(limits: ClassLimits = ClassLimits()) -> Tables:  # noqa: B008 - immutable
        return Tables(TenantTable.empty(), RouteTable.empty(), limits, limits_digest(limits))

    def class_of(self, path: str) -> str | None:
        """The name of the class that a path leads to."""
        number = self.routes.find(path)
        return None if number is None else self.limits.names[number]


class TablesEditor:
    """The tables after `tables`, a change at a time. After InapplicableChange the editor is of no use.

    `now` and `retired_until` are microseconds of the process' own clock, see TenantTableEditor.
    """

    def __init__(self, tables: Tables, *, now: int, retired_until: int | None = None) -> None:
        self._tenants = TenantTableEditor(tables.tenants, now=now, retired_until=retired_until)
        self._routes = RouteTableEditor(tables.routes)
        self._limits = tables.limits
        self.digest = tables.digest

    def apply(self, changes: Iterable[Change]) -> None:
        """Raises InapplicableChange."""
        try:
            for change in changes:
                self._apply(change)
        except (TenantFault, RouteFault) as fault:
            raise InapplicableChange(fault.fault) from None

    def build(self) -> Tables:
        return Tables(self._tenants.build(), self._routes.build(), self._limits, self.digest)

    def _apply(self, change: Change) -> None:
        match change:
            case PutTenant(name, quota):
                self._put_tenant(name, quota)
            case RemoveTenant(name):
                self._remove_tenant(name)
            case PutRoute(prefix, class_name):
                self._put_route(prefix, class_name)
            case RemoveRoute(prefix):
                self._remove_route(prefix)
            case SetClassLimit(class_name, share):
                self._set_class_limit(class_name, share)

    def _put_tenant(self, name: str, quota: float) -> None:
        previous = self._tenants.get(name)
        self._tenants.put(name, quota)
        self._update_digest(
            None if previous is None else tenant_digest(name, previous),
            tenant_digest(name, quota),
        )

    def _remove_tenant(self, name: str) -> None:
        previous = self._tenants.get(name)
        if previous is None:
            raise InapplicableChange(f"there is no tenant {name!r}")
        self._tenants.remove(name)
        self._update_digest(tenant_digest(name, previous), None)

    def _put_route(self, prefix: str, class_name: str) -> None:
        number = self._limits.find(class_name)
        if number is None:
            raise InapplicableChange(f"there is no class {class_name!r}")
        previous = self._routes.get(prefix)
        self._routes.put(prefix, number)
        self._update_digest(
            None if previous is None else route_digest(prefix, self._limits.names[previous]),
            route_digest(prefix, class_name),
        )

    def _remove_route(self, prefix: str) -> None:
        previous = self._routes.get(prefix)
        if previous is None:
            raise InapplicableChange(f"there is no route {prefix!r}")
        self._routes.remove(prefix)
        self._update_digest(route_digest(prefix, self._limits.names[previous]), None)

    def _set_class_limit(self, class_name: str, share: float) -> None:
        number = self._limits.find(class_name)
        if number is None:
            raise InapplicableChange(f"there is no class {class_name!r}")
        previous = limits_digest(self._limits)
        self._limits = self._limits.with_share(number, float(share))
        self._update_digest(previous, limits_digest(self._limits))

    def _update_digest(self, previous: int | None, updated: int | None) -> None:
        self.digest = (self.digest - (previous or 0) + (updated or 0)) & DIGEST_MASK


def tenant_digest(name: str, quota: float) -> int:
    return _hash_as_int(packed(b"tenant", text_bytes(name), number_bytes(quota)))


def route_digest(prefix: str, class_name: str) -> int:
    return _hash_as_int(packed(b"route", text_bytes(prefix), text_bytes(class_name)))


def limits_digest(limits: ClassLimits) -> int:
    """Of all classes as one, for their order counts."""
    return _hash_as_int(
        packed(b"classes", *map(text_bytes, limits.names), *map(number_bytes, limits.shares)),
    )


def sorted_tenants(tables: Tables) -> list[tuple[str, float]]:
    """The order in which tenants are told to others; the same whatever the tables went through."""
    tenants = tables.tenants
    return sorted((tenants.name(number), tenants.quota(number)) for number in tenants.numbers())


def sorted_routes(tables: Tables) -> list[tuple[str, str]]:
    names = tables.limits.names
    return sorted((route.prefix, names[route.class_number]) for route in tables.routes.routes())


def canonical_bytes(tables: Tables) -> Iterator[bytes]:
    """What the tables hold, entry by entry, as bytes to be compared: equal where the tables are."""
    yield packed(*map(text_bytes, tables.limits.names), *map(number_bytes, tables.limits.shares))
    for name, quota in sorted_tenants(tables):
        yield packed(text_bytes(name), number_bytes(quota))
    for prefix, class_name in sorted_routes(tables):
        yield packed(text_bytes(prefix), text_bytes(class_name))


def _hash_as_int(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")
