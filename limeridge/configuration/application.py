"""What a new configuration changes in a running instance, and what it must leave for a restart.

It owns the one table of the settings that change live, and the matching of classes by name. It must never
apply anything: it gives the configuration that is to be in force, and the instance swaps it in between two
requests. A setting that the new configuration does not have is absent then, and so goes back to its default.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from limeridge.config import LIST, OBJECT, SETTINGS, Setup
from limeridge.words import Value, internal_name

# From a new file: the addresses, the time to stop, and cores, which stand in the log alone.
LIVE_FIELDS = ("kernel", "ledger", "node_list", "stop", "cores", "tenants")
ADDRESSES = ("kernel", "ledger", "node_list")

# Paths in `settings`; all others of config.SETTINGS need a restart. Accounts are live, each with its quota.
LIVE_SETTINGS = frozenset(
    {
        "classes.N.aim",
        "classes.N.deadline",
        "classes.N.keyTtl",
        "classes.N.worth",
        "classes.N.lateWorth",
        "ceilings.maxRetryAfter",
        "ceilings.retryAfter",
        "clients.marksRetry",
        "familyInfo.callers",
        "familyInfo.callsOut",
        "familyInfo.classCalls",
        "familyInfo.classSkipWorth",
        "familyInfo.heeded",
        "familyInfo.idle",
        "familyInfo.passesDeadline",
        "goal.whole",
        "goal.worstWindow",
        "goal.worstClass",
        "goal.worstTenant",
        "groupSize",
        "guarantees.answerSlack",
        "guarantees.coldFrom",
        "guarantees.drainGrace",
        "guarantees.fall",
        "guarantees.overloadFactor",
        "guarantees.rampTime",
        "overShareWorth",
        "round",
        "valueBy",
    }
)
# Where members deal out the calls below, what they were told of the longest deadline must stay true.
FIXED_FOR_MEMBERS = frozenset({"classes.N.deadline"})
CLASS = "classes.N."
CLASS_LISTS: dict[str, Value] = {"familyInfo.classCalls": True, "familyInfo.classSkipWorth": 0.0}


@dataclass(slots=True, frozen=True)
class Revision:
    """A configuration that is to be in force, against the one before."""

    setup: Setup
    moved: tuple[str, ...]  # the addresses that are new
    needs_restart: tuple[str, ...]  # what differs in the file and stays as it was, by name


def revised(old: Setup, new: Setup, fixed: frozenset[str] = frozenset()) -> Revision:
    """`old` with all of `new` that changes live, but for the settings that are `fixed` here."""
    live = LIVE_SETTINGS - fixed
    plain, stay = _revised_settings(old, new, live)
    setup = replace(old, plain=plain, **{name: getattr(new, name) for name in LIVE_FIELDS})
    fixed_fields = [
        each.name for each in fields(Setup) if each.name not in (*LIVE_FIELDS, "plain", "products")
    ]
    return Revision(
        setup,
        tuple(sorted(name for name in ADDRESSES if getattr(old, name) != getattr(new, name))),
        (*(name for name in fixed_fields if getattr(old, name) != getattr(new, name)), *stay),
    )


def _revised_settings(old: Setup, new: Setup, live: frozenset[str]) -> tuple[dict[str, Value], list[str]]:
    """The settings that are to be in force, and the paths of those that stay as they were."""
    plain, stay = dict(new.plain), []
    for path in _single_paths():
        name = internal_name(path)
        if path not in live and old.plain.get(name) != new.plain.get(name):
            _carry(old.plain, name, plain, name)
            stay.append(f"settings.{path}")
    if old.products != new.products:
        stay.append("settings.classes")
        _match_classes(old, new, plain)
    for number, source in enumerate(_sources(old, new)):
        for path in [] if source is None else _class_paths():
            name = _class_name(path, number)
            if path not in live and old.plain.get(name) != plain.get(name):
                _carry(old.plain, name, plain, name)
                stay.append(f"settings.{path.replace('N', str(source), 1)}")
    return plain, stay


def _match_classes(old: Setup, new: Setup, plain: dict[str, Value]) -> None:
    """The classes stay those of the old configuration, under its numbers; each gets what the new one says of
    the class of its name, and stays as it was where there is none."""
    for name in [name for name in plain if name.startswith("products.")]:
        del plain[name]
    plain["products.count"] = len(old.products)
    for number, source in enumerate(_sources(old, new)):
        origin, place = (old, number) if source is None else (new, source)
        for path in ("classes.N.name", *_class_paths()):
            _carry(origin.plain, _class_name(path, place), plain, _class_name(path, number))
    for path, default in CLASS_LISTS.items():
        name = internal_name(path)
        if name in plain:
            plain[name] = [
                _item(old if source is None else new, name, number if source is None else source, default)
                for number, source in enumerate(_sources(old, new))
            ]


def _sources(old: Setup, new: Setup) -> list[int | None]:
    """For each class of the old configuration its number in the new one."""
    if old.products == new.products:
        return list(range(len(old.products)))
    places = {name: number for number, name in enumerate(new.products)}
    return [places.get(name) for name in old.products]


def _single_paths() -> Iterator[str]:
    """The settings that have one place, lists of plain values among them."""
    for path, (kind, _, _, _) in SETTINGS.items():
        inner = f"{path}.N" in SETTINGS
        if ".N" not in path and kind != OBJECT and (kind != LIST or inner):
            yield path


def _class_paths() -> Iterator[str]:
    for path in SETTINGS:
        if path.startswith(CLASS) and path != "classes.N.name":
            yield path


def _class_name(path: str, number: int) -> str:
    return internal_name(path.replace("N", str(number), 1))


def _carry(source: Mapping[str, Value], name: str, target: dict[str, Value], under: str) -> None:
    if name in source:
        target[under] = source[name]
    else:
        target.pop(under, None)


def _item(setup: Setup, name: str, number: int, default: Value) -> Any:
    values = setup.plain.get(name)
    return values[number] if isinstance(values, list) and number < len(values) else default
