"""Validation of a draft before it is accepted; each fault is reported with the path of the entry.

This module defines which drafts are valid: types and bounds, references, repeated entries, sums of shares. It
modifies nothing, and it rejects a draft only for the bounds of the tables and the rules in this module. The
changes of a draft are checked one by one and for their combined effect.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from limeridge.configuration.changes import (
    MAX_AUTHOR_CHARACTERS,
    MAX_CHANGE_ID_CHARACTERS,
    MAX_CHANGES,
    MAX_DRAFT_BYTES,
    MAX_REASON_CHARACTERS,
    Change,
    Draft,
    PutRoute,
    PutTenant,
    RemoveRoute,
    RemoveTenant,
    SetClassLimit,
    encode_draft,
)
from limeridge.configuration.routes import prefix_fault
from limeridge.configuration.tables import ClassLimits, Tables
from limeridge.configuration.tenants import MAX_NAME_CHARACTERS, MAX_QUOTA

MAX_TENANTS = 500_000  # half of an instance's numbers; the rest is for recently removed tenants
MAX_ROUTES = 500_000
MAX_FAULTS = 100  # reported for one draft
MAX_SHARE_SUM = 1.0  # also the maximum of one share
SHARE_SUM_TOLERANCE = 1e-9  # rounding error of sums of fractions such as 1/3


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault in a draft; `path` locates the entry, as in `changes.3.quota`."""

    path: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.expected}"


class Refused(Exception):
    """The draft can't be accepted; `faults` has 1 to MAX_FAULTS items."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


def check_format(draft: Draft) -> None:
    """Checks what is independent of the tables: types, bounds, duplicate entries. Raises Refused."""
    _raise_if_any(_format_faults(draft))


def check_applicable(tables: Tables, draft: Draft) -> None:
    """Checks a well-formed draft against these tables: references, sums, sizes. Raises Refused."""
    _raise_if_any(_applicability_faults(tables, draft))


def check_draft(tables: Tables, draft: Draft) -> None:
    """Checks everything. Raises Refused if the draft can't be applied to the tables."""
    check_format(draft)
    check_applicable(tables, draft)


def redundant_routes(tables: Tables, draft: Draft) -> Iterator[Fault]:
    """Yields warnings for added routes whose next shorter route has the same class; they are not refused.

    `tables` must already contain the changes of the draft.
    """
    for index, change in enumerate(draft.changes):
        if isinstance(change, PutRoute):
            covering = tables.routes.covering_route(change.prefix)
            if covering is not None and tables.limits.names[covering.class_number] == change.class_name:
                yield Fault(
                    f"changes.{index}.prefix",
                    f"has no effect, {covering.prefix!r} leads to {change.class_name!r} too",
                )


def _raise_if_any(faults_found: Iterator[Fault]) -> None:
    faults = tuple(islice(faults_found, MAX_FAULTS))
    if faults:
        raise Refused(faults)


def _format_faults(draft: Draft) -> Iterator[Fault]:
    bounds_faults = list(islice(_bounds_faults(draft), MAX_FAULTS))
    if bounds_faults:
        yield from bounds_faults
    elif len(encode_draft(draft)) > MAX_DRAFT_BYTES:
        yield Fault("changes", f"expected at most {MAX_DRAFT_BYTES} bytes in all")
    else:
        yield from _duplicate_faults(draft)


def _bounds_faults(draft: Draft) -> Iterator[Fault]:
    """Checks the types and bounds of the draft and of each change on its own."""
    yield from _text_faults(draft)
    if len(draft.changes) > MAX_CHANGES:
        yield Fault("changes", f"expected at most {MAX_CHANGES}")
        return
    for index, change in enumerate(draft.changes):
        yield from _change_faults(change, f"changes.{index}")


def _applicability_faults(tables: Tables, draft: Draft) -> Iterator[Fault]:
    for index, change in enumerate(draft.changes):
        yield from _reference_faults(tables, change, f"changes.{index}")
    yield from _share_sum_faults(tables.limits, draft)
    yield from _table_size_faults(tables, draft)


def _text_faults(draft: Draft) -> Iterator[Fault]:
    for path, text, maximum in (
        ("change_id", draft.change_id, MAX_CHANGE_ID_CHARACTERS),
        ("author", draft.author, MAX_AUTHOR_CHARACTERS),
        ("reason", draft.reason, MAX_REASON_CHARACTERS),
    ):
        yield from _text_fault(path, text, maximum)


def _text_fault(path: str, text: object, maximum: int) -> Iterator[Fault]:
    if not isinstance(text, str) or not 1 <= len(text) <= maximum:
        yield Fault(path, f"expected a text of 1 to {maximum} characters")
    elif not _is_unicode(text):
        yield Fault(path, "expected Unicode, got half of a surrogate pair")


def _is_unicode(text: str) -> bool:
    """Whether the text can be sent as UTF-8."""
    return not any("\ud800" <= character <= "\udfff" for character in text)


def _number_fault(path: str, number: object, maximum: float) -> Iterator[Fault]:
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    if not is_number or not 0 <= number <= maximum:  # type: ignore[operator]
        yield Fault(path, f"expected a number from 0 to {maximum:g}")


def _change_faults(change: Change, path: str) -> Iterator[Fault]:
    """Checks the types and bounds of one change."""
    match change:
        case PutTenant(name, quota):
            yield from _text_fault(f"{path}.name", name, MAX_NAME_CHARACTERS)
            yield from _number_fault(f"{path}.quota", quota, MAX_QUOTA)
        case RemoveTenant(name):
            yield from _text_fault(f"{path}.name", name, MAX_NAME_CHARACTERS)
        case PutRoute(prefix, class_name):
            yield from _prefix_fault(prefix, path)
            yield from _text_fault(f"{path}.class_name", class_name, MAX_NAME_CHARACTERS)
        case RemoveRoute(prefix):
            yield from _prefix_fault(prefix, path)
        case SetClassLimit(class_name, share):
            yield from _text_fault(f"{path}.class_name", class_name, MAX_NAME_CHARACTERS)
            yield from _number_fault(f"{path}.share", share, MAX_SHARE_SUM)


def _prefix_fault(prefix: str, path: str) -> Iterator[Fault]:
    if (fault := prefix_fault(prefix)) is not None:
        yield Fault(f"{path}.prefix", fault)
    elif not _is_unicode(prefix):
        yield Fault(f"{path}.prefix", "expected Unicode, got half of a surrogate pair")


def _reference_faults(tables: Tables, change: Change, path: str) -> Iterator[Fault]:
    """Checks that the tenant, route or class that one change refers to exists."""
    match change:
        case RemoveTenant(name):
            if tables.tenants.find(name) is None:
                yield Fault(f"{path}.name", f"there is no tenant {name!r}")
        case RemoveRoute(prefix):
            if tables.routes.get(prefix) is None:
                yield Fault(f"{path}.prefix", f"there is no route {prefix!r}")
        case PutRoute(_, class_name) | SetClassLimit(class_name, _):
            yield from _class_fault(tables.limits, class_name, path)


def _class_fault(limits: ClassLimits, class_name: str, path: str) -> Iterator[Fault]:
    if limits.find(class_name) is None:
        yield Fault(f"{path}.class_name", f"there is no class {class_name!r}")


def _duplicate_faults(draft: Draft) -> Iterator[Fault]:
    """Finds entries that are changed twice, where the later change would hide the earlier one."""
    first_index: dict[tuple[str, str], int] = {}
    for index, change in enumerate(draft.changes):
        entry = _changed_entry(change)
        if entry in first_index:
            kind, name = entry
            yield Fault(
                f"changes.{index}",
                f"the {kind} {name!r} is changed twice, first by changes.{first_index[entry]}",
            )
        first_index.setdefault(entry, index)


def _changed_entry(change: Change) -> tuple[str, str]:
    match change:
        case PutTenant(name) | RemoveTenant(name):
            return "tenant", name
        case PutRoute(prefix) | RemoveRoute(prefix):
            return "route", prefix
        case SetClassLimit(class_name):
            return "class", class_name


def _share_sum_faults(limits: ClassLimits, draft: Draft) -> Iterator[Fault]:
    shares = dict(zip(limits.names, limits.shares, strict=True))
    last_index = -1
    for index, change in enumerate(draft.changes):
        if isinstance(change, SetClassLimit):
            shares[change.class_name] = change.share
            last_index = index
    total = math.fsum(shares.values())
    if last_index >= 0 and total > MAX_SHARE_SUM + SHARE_SUM_TOLERANCE:
        yield Fault(
            f"changes.{last_index}.share", f"all classes' shares come to {total:g}, expected at most 1"
        )


def _table_size_faults(tables: Tables, draft: Draft) -> Iterator[Fault]:
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
        for kind, count, maximum in (("tenants", tenants, MAX_TENANTS), ("routes", routes, MAX_ROUTES)):
            if count > maximum:
                yield Fault(f"changes.{index}", f"expected at most {maximum} {kind}")
                return
