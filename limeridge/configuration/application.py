"""Determines what a new configuration changes in a running instance, and what requires a restart.

This module defines which settings can change live, and matches classes by name. It applies nothing itself: it
computes the configuration that is to take effect, and the instance swaps it in between two requests. A
setting that is missing from the new configuration is absent from the result, so it returns to its default.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from limeridge.config import LIST, OBJECT, SETTINGS, Setup
from limeridge.words import Value, internal_name

# Fields of Setup that are taken from the new file. `cores` is only logged.
LIVE_FIELDS = ("kernel", "ledger", "node_list", "stop", "cores", "tenants")
ADDRESSES = ("kernel", "ledger", "node_list")

# Paths in `settings` that can change live; all others of config.SETTINGS require a restart. Accounts with
# their quotas are live too, and are handled as `tenants`.
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
# Not live if the instances allot calls to the ledger among themselves: the longest deadline that they were
# given must stay valid.
FIXED_FOR_MEMBERS = frozenset({"classes.N.deadline"})
CLASS_PREFIX = "classes.N."
PER_CLASS_DEFAULTS: dict[str, Value] = {"familyInfo.classCalls": True, "familyInfo.classSkipWorth": 0.0}


@dataclass(slots=True, frozen=True)
class Revision:
    """A configuration that is to take effect, and how it differs from the previous one and from the file."""

    setup: Setup
    moved: tuple[str, ...]  # names of the addresses that changed
    needs_restart: tuple[str, ...]  # names of the settings that differ in the file and keep their old values


def plan_revision(old: Setup, new: Setup, fixed: frozenset[str] = frozenset()) -> Revision:
    """Returns `old` updated with everything in `new` that can change live, except the `fixed` settings."""
    live_paths = LIVE_SETTINGS - fixed
    plain, unchanged = _merge_settings(old, new, live_paths)
    setup = replace(old, plain=plain, **{name: getattr(new, name) for name in LIVE_FIELDS})
    restart_fields = [
        each.name for each in fields(Setup) if each.name not in (*LIVE_FIELDS, "plain", "products")
    ]
    return Revision(
        setup,
        tuple(sorted(name for name in ADDRESSES if getattr(old, name) != getattr(new, name))),
        (*(name for name in restart_fields if getattr(old, name) != getattr(new, name)), *unchanged),
    )


def _merge_settings(old: Setup, new: Setup, live_paths: frozenset[str]) -> tuple[dict[str, Value], list[str]]:
    """Returns the settings that are to take effect, and the paths of those that keep their old values."""
    plain, unchanged = dict(new.plain), []
    for path in _shared_paths():
        name = internal_name(path)
        if path not in live_paths and old.plain.get(name) != new.plain.get(name):
            _copy_setting(old.plain, name, plain, name)
            unchanged.append(f"settings.{path}")
    if old.products != new.products:
        unchanged.append("settings.classes")
        _match_classes(old, new, plain)
    for number, source in enumerate(_matching_classes(old, new)):
        for path in [] if source is None else _class_paths():
            name = _class_name(path, number)
            if path not in live_paths and old.plain.get(name) != plain.get(name):
                _copy_setting(old.plain, name, plain, name)
                unchanged.append(f"settings.{path.replace('N', str(source), 1)}")
    return plain, unchanged


def _match_classes(old: Setup, new: Setup, plain: dict[str, Value]) -> None:
    """Keeps the classes and class numbers of the old configuration in `plain`.

    Each class takes the settings of the new class of the same name, or keeps its own if there is none.
    """
    for name in [name for name in plain if name.startswith("products.")]:
        del plain[name]
    plain["products.count"] = len(old.products)
    for number, source in enumerate(_matching_classes(old, new)):
        origin, origin_number = (old, number) if source is None else (new, source)
        for path in ("classes.N.name", *_class_paths()):
            _copy_setting(origin.plain, _class_name(path, origin_number), plain, _class_name(path, number))
    for path, default in PER_CLASS_DEFAULTS.items():
        name = internal_name(path)
        if name in plain:
            plain[name] = [
                _class_value(
                    old if source is None else new, name, number if source is None else source, default
                )
                for number, source in enumerate(_matching_classes(old, new))
            ]


def _matching_classes(old: Setup, new: Setup) -> list[int | None]:
    """Returns, for each class of the old configuration, its number in the new one or None."""
    if old.products == new.products:
        return list(range(len(old.products)))
    new_numbers = {name: number for number, name in enumerate(new.products)}
    return [new_numbers.get(name) for name in old.products]


def _shared_paths() -> Iterator[str]:
    """Yields the paths of the settings that are not per class or item, including lists of plain values."""
    for path, (kind, _, _, _) in SETTINGS.items():
        has_items = f"{path}.N" in SETTINGS
        if ".N" not in path and kind != OBJECT and (kind != LIST or has_items):
            yield path


def _class_paths() -> Iterator[str]:
    for path in SETTINGS:
        if path.startswith(CLASS_PREFIX) and path != "classes.N.name":
            yield path


def _class_name(path: str, number: int) -> str:
    return internal_name(path.replace("N", str(number), 1))


def _copy_setting(source: Mapping[str, Value], name: str, target: dict[str, Value], target_name: str) -> None:
    if name in source:
        target[target_name] = source[name]
    else:
        target.pop(target_name, None)


def _class_value(setup: Setup, name: str, number: int, default: Value) -> Any:
    values = setup.plain.get(name)
    return values[number] if isinstance(values, list) and number < len(values) else default
