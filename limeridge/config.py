"""The one place where configuration is read, checked and given defaults.

It owns the file's keys with their types, ranges and defaults, and turns the settings into the brain's one
plain map. It must never act on a name of a deployment, place, product, customer or machine, and never let a
value through that the rest could trip over: `Unusable` names the key and what was expected.
"""

from __future__ import annotations

import ipaddress
import math
import os
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from limeridge.words import Value, pairs_of, settings_of


class Unusable(Exception):
    """One line: the faulty key and what was expected."""


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Setup:
    """What a service instance is told, checked."""

    name: str
    listen: Address
    kernel: Address
    ledger: Address
    node_list: Address
    seed: int
    stop: int  # microseconds from the notice to leave to the kill
    cores: float  # for the log alone: the program has one thread
    memory_mb: float
    sockets: int
    products: tuple[str, ...]  # the names that callers and the kernel use, as they stand in the file
    customers: tuple[str, ...]
    plain: Mapping[str, Value]


# Within `settings`, `N` for each item of a list: type, least, most, whether it must be there.
INT, FLOAT, BOOL = "a whole number", "a number", "true or false"
TEXT, LIST, OBJECT = "a text", "a list", "an object"
YEAR = 31_536_000_000_000  # microseconds; times beyond it are a wrong unit
SETTINGS: dict[str, tuple[str, float, float, bool]] = {
    "classes": (LIST, 1, 1_000, True),
    "classes.N.name": (TEXT, 1, 256, True),
    "classes.N.aim": (INT, 1, YEAR, True),
    "classes.N.deadline": (INT, 1, YEAR, True),
    "classes.N.idempotency": (TEXT, 1, 64, False),
    "classes.N.keyTtl": (INT, 0, YEAR, False),
    "classes.N.worth": (FLOAT, 0, 1e12, False),
    "classes.N.lateWorth": (FLOAT, 0, 1e12, False),
    "accounts": (LIST, 0, 100_000, False),
    "accounts.N.name": (TEXT, 1, 256, True),
    "accounts.N.quotaPerS": (FLOAT, 0, 1e12, False),
    "ceilings": (OBJECT, 0, 0, False),
    "ceilings.maxRetryAfter": (INT, 0, YEAR, False),
    "ceilings.retryAfter": (BOOL, 0, 0, False),
    "clients": (OBJECT, 0, 0, False),
    "clients.marksRetry": (BOOL, 0, 0, False),
    "familyInfo": (OBJECT, 0, 0, True),
    "familyInfo.cpus": (INT, 1, 100_000, True),
    "familyInfo.callers": (INT, 0, 1e9, False),
    "familyInfo.callsOut": (FLOAT, 0, 1e9, False),
    "familyInfo.callsOver": (INT, 1, YEAR, False),
    "familyInfo.classCalls": (LIST, 0, 1_000, False),
    "familyInfo.classCalls.N": (BOOL, 0, 0, False),
    "familyInfo.classSkipWorth": (LIST, 0, 1_000, False),
    "familyInfo.classSkipWorth.N": (FLOAT, 0, 1e9, False),
    "familyInfo.gauges": (LIST, 0, 64, False),
    "familyInfo.gauges.N": (TEXT, 1, 64, False),
    "familyInfo.heeded": (INT, 0, YEAR, False),
    "familyInfo.idle": (INT, 0, YEAR, False),
    "familyInfo.justStarted": (BOOL, 0, 0, False),
    "familyInfo.kbPerKey": (FLOAT, 0, 1e12, False),
    "familyInfo.linger": (INT, 0, YEAR, False),
    "familyInfo.memoryKb": (FLOAT, 1, 1e15, False),
    "familyInfo.passesDeadline": (BOOL, 0, 0, False),
    "familyInfo.preemption": (TEXT, 1, 64, False),
    "familyInfo.runFactor": (FLOAT, 1, 1e9, False),
    "familyInfo.say": (TEXT, 1, 64, False),
    "goal": (OBJECT, 0, 0, False),
    "goal.whole": (FLOAT, 0, 1e9, False),
    "goal.worstWindow": (FLOAT, 0, 1e9, False),
    "goal.worstClass": (FLOAT, 0, 1e9, False),
    "goal.worstTenant": (FLOAT, 0, 1e9, False),
    "groupSize": (INT, 0, 1e9, False),
    "guarantees": (OBJECT, 0, 0, False),
    "guarantees.answerSlack": (INT, 0, YEAR, False),
    "guarantees.coldFrom": (FLOAT, 0, 1, False),
    "guarantees.drainGrace": (INT, 0, YEAR, False),
    "guarantees.fall": (INT, 0, YEAR, False),
    "guarantees.overloadFactor": (FLOAT, 1, 1e9, False),
    "guarantees.rampTime": (INT, 0, YEAR, False),
    "overShareWorth": (FLOAT, 0, 1e9, False),
    "round": (INT, 0, YEAR, False),
    "valueBy": (TEXT, 1, 64, False),
}
TYPES: dict[str, type | tuple[type, ...]] = {
    INT: int,
    FLOAT: (int, float),
    BOOL: bool,
    TEXT: str,
    LIST: list,
    OBJECT: dict,
}


def read_bytes(path: str) -> bytes:
    return Path(path).read_bytes()


def read(path: str | None, load: Callable[[str], bytes] = read_bytes) -> Setup:
    """The file that `BALANCER_CONFIG` names; `load` raises OSError where it can't be had."""
    if not path:
        raise Unusable("BALANCER_CONFIG: expected the path of the configuration file, it is not set")
    try:
        value = orjson.loads(load(path))
    except OSError as trouble:
        raise Unusable(f"BALANCER_CONFIG: expected a file that can be read, got {trouble.strerror}") from None
    except orjson.JSONDecodeError as trouble:
        raise Unusable(f"BALANCER_CONFIG: expected JSON, got {trouble}") from None
    if not isinstance(value, dict):
        raise Unusable("BALANCER_CONFIG: expected a JSON object")
    return setup_of(value)


def setup_of(value: dict[str, Any]) -> Setup:
    seed = str(_get(value, "seed", TEXT, 1, 64))
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise Unusable("seed: expected hex digits") from None
    settings = _get(value, "settings", OBJECT, 0, 0)
    check_settings(settings)
    return Setup(
        name=str(_get(value, "name", TEXT, 1, 256)),
        listen=_address(value, "listen"),
        kernel=_address(value, "kernel"),
        ledger=_address(value, "records"),
        node_list=_address(value, "roster"),
        seed=seed_number,
        stop=int(1_000 * _get(value, "stop_ms", FLOAT, 1, 3_600_000, 3_000)),
        cores=float(_get(value, "limits.cores", FLOAT, 0.001, 1e6, 1.0)),
        memory_mb=float(_get(value, "limits.memory_mb", FLOAT, 16, 1e9, 192)),
        sockets=int(_get(value, "limits.sockets", INT, 32, 1e9, 1_024)),
        products=tuple(each["name"] for each in settings["classes"]),
        customers=tuple(each["name"] for each in settings.get("accounts") or ()),
        plain=settings_of(pairs_of(settings)),
    )


def check_settings(settings: dict[str, Any]) -> None:
    for path, (kind, least, most, needed) in SETTINGS.items():
        for name, found in _places(settings, path):
            if found is None:
                if needed:
                    raise Unusable(f"settings.{name}: expected {kind}, it is missing")
            else:
                _check(f"settings.{name}", found, kind, least, most)


def _places(value: Any, path: str, name: str = "") -> Iterator[tuple[str, Any]]:
    """Where `path` leads, with its full name; None where it is absent, nothing where its holder is."""
    part, _, rest = path.partition(".")
    if part == "N":
        inner = list(enumerate(value)) if isinstance(value, list) else []
    else:
        if not isinstance(value, dict):
            return
        inner = [(part, value.get(part))]  # type: ignore[list-item]
    for key, found in inner:
        full = f"{name}.{key}" if name else str(key)
        if part == "N" and found is None:
            raise Unusable(f"settings.{full}: expected an item, it is null")
        if not rest:
            yield full, found
        elif found is not None:
            if rest.partition(".")[0] != "N" and not isinstance(found, dict):
                raise Unusable(f"settings.{full}: expected an object")
            yield from _places(found, rest, full)


def _check(name: str, value: Any, kind: str, least: float, most: float) -> None:
    fits = isinstance(value, TYPES[kind]) and (kind == BOOL or not isinstance(value, bool))
    if not fits:
        raise Unusable(f"{name}: expected {kind}")
    if kind in (INT, FLOAT) and not (math.isfinite(value) and least <= value <= most):
        raise Unusable(f"{name}: expected {kind} from {least:g} to {most:g}")
    if kind in (TEXT, LIST) and not least <= len(value) <= most:
        raise Unusable(
            f"{name}: expected {kind} of {least:g} to {most:g} {'items' if kind == LIST else 'characters'}"
        )


def _get(value: dict[str, Any], path: str, kind: str, least: float, most: float, default: Any = None) -> Any:
    for part in path.split("."):
        if not isinstance(value, dict):
            raise Unusable(f"{path}: expected an object around {part}")
        value = value.get(part)  # type: ignore[assignment]
        if value is None:
            if default is None:
                raise Unusable(f"{path}: expected {kind}, it is missing")
            return default
    _check(path, value, kind, least, most)
    return value


def _address(value: dict[str, Any], name: str) -> Address:
    given = str(_get(value, name, TEXT, 1, 256))
    host, _, port = given.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise Unusable(f"{name}: expected an IP address and a port, as in 127.0.0.1:8443") from None
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        raise Unusable(f"{name}: expected a port from 1 to 65535 behind the address")
    return Address(host.strip("[]"), int(port))


def path_from(environ: Mapping[str, str] = os.environ) -> str | None:
    return environ.get("BALANCER_CONFIG")
