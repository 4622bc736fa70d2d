"""All tables of one revision, their digest, and the editor that builds the next revision.

This module defines how a change is applied to the tables, and the digest of their content. The digest is the
sum of the hashes of all entries, so a change costs one or two hashes and the order in which entries were
added does not matter. Tables are immutable once built and never left partly changed.
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
    encode_fields,
    encode_number,
    encode_text,
)
from limeridge.configuration.routes import RouteFault, RouteTable, RouteTableEditor
from limeridge.configuration.tenants import TenantFault, TenantTable, TenantTableEditor

DIGEST_BYTES = 32
DIGEST_MASK = (1 << (8 * DIGEST_BYTES)) - 1


class InapplicableChange(Exception):
    """A change refers to an entry or class that the tables do not have, or exceeds a bound."""


@dataclass(slots=True, frozen=True)
class ClassLimits:
    """The classes by number, and the share of an instance's capacity that is reserved for each."""

    names: tuple[str, ...] = ()
    shares: tuple[float, ...] = ()

    def find(self, name: str) -> int | None:
        return self.names.index(name) if name in self.names else None

    def with_share(self, number: int, share: float) -> ClassLimits:
        return ClassLimits(self.names, (*self.shares[:number], share, *self.shares[number + 1 :]))


@dataclass(slots=True, frozen=True)
class Tables:
    """The content of one revision. `digest` covers tenants, routes and class limits."""

    tenants: TenantTable
    routes: RouteTable
    limits: ClassLimits
    digest: int

    @staticmethod
    def empty(limits: ClassLimits = ClassLimits()) -> Tables:  # noqa: B008 - immutable
        return Tables(TenantTable.empty(), RouteTable.empty(), limits, limits_digest(limits))

    def class_of(self, path: str) -> str | None:
        """Returns the name of the class that a path is routed to, or None if no route matches."""
        number = self.routes.find(path)
        return None if number is None else self.limits.names[number]


class TablesEditor:
    """Builds modified tables from `tables`, one change at a time.

    The editor must not be used after InapplicableChange. `now` and `retired_until` are microseconds of the
    process' own clock, see TenantTableEditor.
    """

    def __init__(self, tables: Tables, *, now: int, retired_until: int | None = None) -> None:
        self._tenants = TenantTableEditor(tables.tenants, now=now, retired_until=retired_until)
        self._routes = RouteTableEditor(tables.routes)
        self._limits = tables.limits
        self.digest = tables.digest

    def apply(self, changes: Iterable[Change]) -> None:
        """Applies the changes in order. Raises InapplicableChange."""
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
    return _hash_as_int(encode_fields(b"tenant", encode_text(name), encode_number(quota)))


def route_digest(prefix: str, class_name: str) -> int:
    return _hash_as_int(encode_fields(b"route", encode_text(prefix), encode_text(class_name)))


def limits_digest(limits: ClassLimits) -> int:
    """Hashes all classes as one entry, because their order is significant."""
    return _hash_as_int(
        encode_fields(b"classes", *map(encode_text, limits.names), *map(encode_number, limits.shares)),
    )


def sorted_tenants(tables: Tables) -> list[tuple[str, float]]:
    """Returns tenants with quotas, sorted by name: independent of the history of the tables."""
    tenants = tables.tenants
    return sorted((tenants.name(number), tenants.quota(number)) for number in tenants.numbers())


def sorted_routes(tables: Tables) -> list[tuple[str, str]]:
    """Returns prefixes with class names, sorted by prefix: independent of the history of the tables."""
    names = tables.limits.names
    return sorted((route.prefix, names[route.class_number]) for route in tables.routes.routes())


def canonical_bytes(tables: Tables) -> Iterator[bytes]:
    """Yields the content entry by entry, as bytes that are equal if and only if the tables are."""
    yield encode_fields(*map(encode_text, tables.limits.names), *map(encode_number, tables.limits.shares))
    for name, quota in sorted_tenants(tables):
        yield encode_fields(encode_text(name), encode_number(quota))
    for prefix, class_name in sorted_routes(tables):
        yield encode_fields(encode_text(prefix), encode_text(class_name))


def _hash_as_int(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")
