"""Checks of a draft before it is accepted: each fault with the place where it stands.

It owns what may be asked for: types and bounds, references, shadowed routes, sums of shares. It must never
change anything, and never refuse by a rule that the tables' own bounds do not need or that this page does not
state. A draft is judged as a whole: what its changes come to together is checked besides each alone.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from limeridge.configuration.changes import (
    AUTHOR_MOST,
    CHANGE_ID_MOST,
    CHANGES_MOST,
    DRAFT_MOST,
    REASON_MOST,
    Change,
    Draft,
    PutRoute,
    PutTenant,
    RemoveRoute,
    RemoveTenant,
    SetClassLimit,
    draft_bytes,
)
from limeridge.configuration.routes import prefix_fault
from limeridge.configuration.tables import ClassLimits, Tables
from limeridge.configuration.tenants import NAME_MOST, QUOTA_MOST

TENANTS_MOST = 500_000  # half of an instance's numbers: the rest is for tenants that went a short while ago
ROUTES_MOST = 500_000
FAULTS_MOST = 100  # told of one draft
SHARES_MOST = 1.0
SHARES_SLACK = 1e-9  # for sums of parts such as a third


@dataclass(slots=True, frozen=True)
class Fault:
    """`place` is the path of the entry, as in `changes.3.quota`."""

    place: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.expected}"


class Refused(Exception):
    """The draft can't be accepted; `faults` has at least one, FAULTS_MOST at most."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


def check_draft(tables: Tables, draft: Draft) -> None:
    """Raises Refused where the draft can't be made to the tables."""
    faults: list[Fault] = []
    for fault in _faults(tables, draft):
        faults.append(fault)
        if len(faults) == FAULTS_MOST:
            break
    if faults:
        raise Refused(tuple(faults))


def routes_without_effect(tables: Tables, draft: Draft) -> Iterator[Fault]:
    """Not refused, but told: a route to the class that the next shorter one leads to anyway.

    `tables` are those with the draft's changes in them.
    """
    for index, change in enumerate(draft.changes):
        if isinstance(change, PutRoute):
            covering = tables.routes.covering(change.prefix)
            if covering is not None and tables.limits.names[covering.class_number] == change.class_name:
                yield Fault(
                    f"changes.{index}.prefix",
                    f"has no effect, {covering.prefix!r} leads to {change.class_name!r} too",
                )


def _faults(tables: Tables, draft: Draft) -> Iterator[Fault]:
    text_faults = list(_text_faults(draft))
    if text_faults:
        yield from text_faults
        return
    if len(draft.changes) > CHANGES_MOST:
        yield Fault("changes", f"expected at most {CHANGES_MOST}")
        return
    whole = True  # so far each text and each change is good alone
    for index, change in enumerate(draft.changes):
        for fault in _change_faults(tables, change, f"changes.{index}"):
            whole = False
            yield fault
    if whole and len(draft_bytes(draft)) > DRAFT_MOST:
        yield Fault("changes", f"expected at most {DRAFT_MOST} bytes in all")
    elif whole:
        yield from _double_faults(draft)
        yield from _share_faults(tables.limits, draft)
        yield from _size_faults(tables, draft)


def _text_faults(draft: Draft) -> Iterator[Fault]:
    for place, text, most in (
        ("change_id", draft.change_id, CHANGE_ID_MOST),
        ("author", draft.author, AUTHOR_MOST),
        ("reason", draft.reason, REASON_MOST),
    ):
        yield from _text_fault(place, text, most)


def _text_fault(place: str, text: object, most: int) -> Iterator[Fault]:
    if not isinstance(text, str) or not 1 <= len(text) <= most:
        yield Fault(place, f"expected a text of 1 to {most} characters")
    elif not _is_unicode(text):
        yield Fault(place, "expected Unicode, got half of a surrogate pair")


def _is_unicode(text: str) -> bool:
    """Whether the text can be sent as UTF-8."""
    return not any("\ud800" <= character <= "\udfff" for character in text)


def _number_fault(place: str, number: object, most: float) -> Iterator[Fault]:
    fits = isinstance(number, int | float) and not isinstance(number, bool)
    if not fits or not 0 <= number <= most:  # type: ignore[operator]
        yield Fault(place, f"expected a number from 0 to {most:g}")


def _change_faults(tables: Tables, change: Change, place: str) -> Iterator[Fault]:
    """Types, bounds and references of one change."""
    match change:
        case PutTenant(name, quota):
            yield from _text_fault(f"{place}.name", name, NAME_MOST)
            yield from _number_fault(f"{place}.quota", quota, QUOTA_MOST)
        case RemoveTenant(name):
            if not isinstance(name, str) or tables.tenants.find(name) is None:
                yield Fault(f"{place}.name", f"there is no tenant {name!r}")
        case PutRoute(prefix, class_name):
            if (fault := prefix_fault(prefix)) is not None:
                yield Fault(f"{place}.prefix", fault)
            elif not _is_unicode(prefix):
                yield Fault(f"{place}.prefix", "expected Unicode, got half of a surrogate pair")
            yield from _class_fault(tables.limits, class_name, place)
        case RemoveRoute(prefix):
            if not isinstance(prefix, str) or tables.routes.get(prefix) is None:
                yield Fault(f"{place}.prefix", f"there is no route {prefix!r}")
        case SetClassLimit(class_name, share):
            yield from _class_fault(tables.limits, class_name, place)
            yield from _number_fault(f"{place}.share", share, SHARES_MOST)


def _class_fault(limits: ClassLimits, class_name: str, place: str) -> Iterator[Fault]:
    if limits.find(class_name) is None:
        yield Fault(f"{place}.class_name", f"there is no class {class_name!r}")


def _double_faults(draft: Draft) -> Iterator[Fault]:
    """Two changes of one entry: the later would hide the earlier."""
    first: dict[tuple[str, str], int] = {}
    for index, change in enumerate(draft.changes):
        what = _changed(change)
        if what in first:
            kind, name = what
            yield Fault(
                f"changes.{index}", f"the {kind} {name!r} is changed twice, first by changes.{first[what]}"
            )
        first.setdefault(what, index)


def _changed(change: Change) -> tuple[str, str]:
    match change:
        case PutTenant(name) | RemoveTenant(name):
            return "tenant", name
        case PutRoute(prefix) | RemoveRoute(prefix):
            return "route", prefix
        case SetClassLimit(class_name):
            return "class", class_name


def _share_faults(limits: ClassLimits, draft: Draft) -> Iterator[Fault]:
    shares = dict(zip(limits.names, limits.shares, strict=True))
    last = -1
    for index, change in enumerate(draft.changes):
        if isinstance(change, SetClassLimit):
            shares[change.class_name] = change.share
            last = index
    together = math.fsum(shares.values())
    if last >= 0 and together > SHARES_MOST + SHARES_SLACK:
        yield Fault(f"changes.{last}.share", f"all classes' shares come to {together:g}, expected at most 1")


def _size_faults(tables: Tables, draft: Draft) -> Iterator[Fault]:
    tenants, routes = len(tables.tenants), len(tables.routes)
    for index, change in enumerate(draft.changes):
        match change:
            case PutTenant(name):
                tenants += tables.tenants.find(name) is None
            case PutRoute(prefix):
                routes += tables.routes.get(prefix) is None
            case RemoveTenant():
                tenants -= 1
            case RemoveRoute():
                routes -= 1
        for kind, count, most in (("tenants", tenants, TENANTS_MOST), ("routes", routes, ROUTES_MOST)):
            if count > most:
                yield Fault(f"changes.{index}", f"expected at most {most} {kind}")
                return
