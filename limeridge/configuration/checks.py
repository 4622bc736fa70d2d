"""Checks of a draft before it is accepted: each fault with the place where it stands.

It owns what may be asked for: types and bounds, references, shadowed routes, sums of shares. It must never
change anything, and never refuse by a rule that the tables' own bounds do not need or that this page does not
state. A draft is judged as a whole: what its changes come to together is checked besides each alone.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

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
from limeridge.configuration.tenants import MAX_NAME_CHARACTERS, MAX_QUOTA

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


def check_form(draft: Draft) -> None:
    """Raises Refused for what no tables could take: types, bounds, one entry changed twice."""
    _refuse(_form_faults(draft))


def check_fit(tables: Tables, draft: Draft) -> None:
    """Raises Refused where a draft of good form can't be made to these tables: references, sums, sizes."""
    _refuse(_fit_faults(tables, draft))


def check_draft(tables: Tables, draft: Draft) -> None:
    """Raises Refused where the draft can't be made to the tables."""
    check_form(draft)
    check_fit(tables, draft)


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


def _refuse(found: Iterator[Fault]) -> None:
    faults = tuple(islice(found, FAULTS_MOST))
    if faults:
        raise Refused(faults)


def _form_faults(draft: Draft) -> Iterator[Fault]:
    alone = list(islice(_faults_alone(draft), FAULTS_MOST))
    if alone:
        yield from alone
    elif len(draft_bytes(draft)) > DRAFT_MOST:
        yield Fault("changes", f"expected at most {DRAFT_MOST} bytes in all")
    else:
        yield from _double_faults(draft)


def _faults_alone(draft: Draft) -> Iterator[Fault]:
    yield from _text_faults(draft)
    if len(draft.changes) > CHANGES_MOST:
        yield Fault("changes", f"expected at most {CHANGES_MOST}")
        return
    for index, change in enumerate(draft.changes):
        yield from _change_faults(change, f"changes.{index}")


def _fit_faults(tables: Tables, draft: Draft) -> Iterator[Fault]:
    for index, change in enumerate(draft.changes):
        yield from _reference_faults(tables, change, f"changes.{index}")
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


def _change_faults(change: Change, place: str) -> Iterator[Fault]:
    """Types and bounds of one change."""
    match change:
        case PutTenant(name, quota):
            yield from _text_fault(f"{place}.name", name, MAX_NAME_CHARACTERS)
            yield from _number_fault(f"{place}.quota", quota, MAX_QUOTA)
        case RemoveTenant(name):
            yield from _text_fault(f"{place}.name", name, MAX_NAME_CHARACTERS)
        case PutRoute(prefix, class_name):
            yield from _prefix_fault(prefix, place)
            yield from _text_fault(f"{place}.class_name", class_name, MAX_NAME_CHARACTERS)
        case RemoveRoute(prefix):
            yield from _prefix_fault(prefix, place)
        case SetClassLimit(class_name, share):
            yield from _text_fault(f"{place}.class_name", class_name, MAX_NAME_CHARACTERS)
            yield from _number_fault(f"{place}.share", share, SHARES_MOST)


def _prefix_fault(prefix: str, place: str) -> Iterator[Fault]:
    if (fault := prefix_fault(prefix)) is not None:
        yield Fault(f"{place}.prefix", fault)
    elif not _is_unicode(prefix):
        yield Fault(f"{place}.prefix", "expected Unicode, got half of a surrogate pair")


def _reference_faults(tables: Tables, change: Change, place: str) -> Iterator[Fault]:
    """Of one change to what is not there."""
    match change:
        case RemoveTenant(name):
            if tables.tenants.find(name) is None:
                yield Fault(f"{place}.name", f"there is no tenant {name!r}")
        case RemoveRoute(prefix):
            if tables.routes.get(prefix) is None:
                yield Fault(f"{place}.prefix", f"there is no route {prefix!r}")
        case PutRoute(_, class_name) | SetClassLimit(class_name, _):
            yield from _class_fault(tables.limits, class_name, place)


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
