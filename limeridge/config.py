"""The one place where configuration is read, checked and given defaults.

It owns the file's keys with their types, ranges and defaults, and turns the settings into the brain's one
plain map and the table of tenants. It must never act on a name of a deployment, place, product, customer or
machine, and never let a value through that the rest could trip over: `Unusable` names the key and what was
expected. A file is read in steps (`reading`), which a start runs through at once and a running instance a few
in each turn of its event loop.
"""

from __future__ import annotations

import ipaddress
import os
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any

from limeridge.configuration.reading import (
    BadDocument,
    ChangedDuringRead,
    Document,
    Steps,
    read_chunks,
    run_to_completion,
)
from limeridge.configuration.tenants import (
    RETENTION_US,
    DuplicateTenant,
    TenantFault,
    TenantTable,
    TenantTableBuilder,
)
from limeridge.words import Value, flatten_settings, parse_settings


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
    tenants: TenantTable
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
    "accounts": (LIST, 0, 1_000_000, False),
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
SURROGATE = re.compile("[\ud800-\udfff]")
TYPES: dict[str, type | tuple[type, ...]] = {
    INT: int,
    FLOAT: (int, float),
    BOOL: bool,
    TEXT: str,
    LIST: list,
    OBJECT: dict,
}


ACCOUNT_TERMS = ("name", "quotaPerS")
CHECKS_PER_STEP = 32  # settings that are checked at once
CHECKS_WORK = 8
PAIRS_PER_STEP = 16  # of settings that are turned into the plain map at once
PAIRS_WORK = 4
RETIREMENTS_PER_STEP = 100  # numbers of tenants that are looked at at once, for those that went
RETIREMENTS_WORK = 25


def read(path: str | None, load: Callable[[str], Iterable[bytes]] = read_chunks) -> Setup:
    """The file that `BALANCER_CONFIG` names, read in one go. Raises Unusable."""
    return run_to_completion(reading(path, load))


def reading(
    path: str | None,
    load: Callable[[str], Iterable[bytes]] = read_chunks,
    before: Setup | None = None,
    now: int = 0,
) -> Steps[Setup]:
    """The steps of reading it; `load` gives its content in pieces, and raises OSError where it can't be had.

    Tenants keep the numbers that they have in `before`. `now` are microseconds of a clock that does not go
    back. Raises Unusable.
    """
    if not path:
        raise Unusable("BALANCER_CONFIG: expected the path of the configuration file, it is not set")
    accounts = Accounts(before, now)
    try:
        value = yield from Document(load(path), {"settings.accounts": accounts.begin}).read()
    except OSError as trouble:
        raise Unusable(f"BALANCER_CONFIG: expected a file that can be read, got {trouble.strerror}") from None
    except ChangedDuringRead:
        raise Unusable("BALANCER_CONFIG: expected a file that stays while it is read, it changed") from None
    except BadDocument as trouble:
        raise Unusable(f"BALANCER_CONFIG: expected JSON, got {trouble}") from None
    if not isinstance(value, dict):
        raise Unusable("BALANCER_CONFIG: expected a JSON object")
    return (yield from _setting_up(value, accounts))


def setup_of(value: dict[str, Any]) -> Setup:
    """The same out of a value that was decoded already. Raises Unusable."""
    accounts, settings = Accounts(None, 0), value.get("settings")
    if isinstance(settings, dict) and isinstance(listed := settings.get("accounts"), list):
        take = accounts.begin()
        for item in listed:
            take(item)
        value = value | {"settings": settings | {"accounts": []}}
    return run_to_completion(_setting_up(value, accounts))


def _setting_up(value: dict[str, Any], accounts: Accounts) -> Steps[Setup]:
    seed = str(_get(value, "seed", TEXT, 1, 64))
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise Unusable("seed: expected hex digits") from None
    settings = _get(value, "settings", OBJECT, 0, 0)
    if settings.get("accounts") is None:
        accounts.begin()  # against those of a `settings` that stood before in the file
    yield from _check_settings(settings, accounts)
    plain = yield from _flattened({name: inner for name, inner in settings.items() if name != "accounts"})
    products = tuple(each["name"] for each in settings["classes"])
    accounts.keep_for(longest_memory(plain, len(products)))
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
        products=products,
        tenants=(yield from accounts.build_steps()),
        plain=plain,
    )


def longest_memory(plain: Mapping[str, Any], classes: int) -> int:
    """Microseconds for which a request, or its key, may be known after it arrived."""
    return max(
        int(plain.get(f"products.{number}.window", 0)) + 2 * int(plain.get(f"products.{number}.expiry", 0))
        for number in range(classes)
    )


class Accounts:
    """The items of `settings.accounts`, checked and put into the next table of tenants one at a time.

    The first fault is kept: it is told once it is known that the file is JSON.
    """

    def __init__(self, before: Setup | None, now: int) -> None:
        self._before = None if before is None else before.tenants
        self._now = now
        self._kept_for = RETENTION_US
        if before is not None:
            self.keep_for(longest_memory(before.plain, len(before.products)))
        self._builder: TenantTableBuilder
        self.count = 0
        self.fault: Unusable | None = None

    def begin(self) -> Callable[[Any], None]:
        """A list of accounts begins, in place of any that began before; gives what takes its items."""
        self._builder = TenantTableBuilder(self._before, now=self._now)
        self.count, self.fault = 0, None
        return self.take

    def take(self, item: Any) -> None:
        number, self.count = self.count, self.count + 1
        if self.fault is None:
            try:
                self._add(number, item)
            except Unusable as fault:
                self.fault = fault

    def _add(self, number: int, item: Any) -> None:
        """The table has the same bounds; what it refuses is looked at for what to say of it."""
        try:
            name, quota = item["name"], item.get("quotaPerS")
            self._builder.add(name, 0.0 if quota is None else quota)
            if not name.isascii():
                _check_account(number, item)
        except DuplicateTenant:
            told = f"settings.accounts.{number}.name: expected a name of its own, an earlier account has it"
            raise Unusable(told) from None
        except TenantFault as fault:
            _check_account(number, item)
            raise Unusable(f"settings.accounts.{number}: {fault.fault}") from None
        except (AttributeError, KeyError, TypeError):
            _check_account(number, item)
            raise

    def keep_for(self, span: int) -> None:
        """A tenant that goes keeps its number for at least so many microseconds."""
        self._kept_for = max(self._kept_for, span)

    def build_steps(self) -> Steps[TenantTable]:
        self._builder.retired_until = self._now + self._kept_for
        for _ in self._builder.build_steps(RETIREMENTS_PER_STEP):
            yield RETIREMENTS_WORK
        return self._builder.table


def _check_account(number: int, item: Any) -> None:
    if item is None:
        raise Unusable(f"settings.accounts.{number}: expected an item, it is null")
    if not isinstance(item, dict):
        raise Unusable(f"settings.accounts.{number}: expected an object")
    for term in ACCOUNT_TERMS:
        _check_place(f"accounts.{number}.{term}", item.get(term), *SETTINGS[f"accounts.N.{term}"])


def _flattened(settings: dict[str, Any]) -> Steps[dict[str, Value]]:
    pairs = flatten_settings(settings)
    plain: dict[str, Value] = {}
    try:
        while some := list(islice(pairs, PAIRS_PER_STEP)):
            plain |= parse_settings(some)
            yield PAIRS_WORK
    except RecursionError:
        raise Unusable("settings: expected fewer levels one in the other") from None
    return plain


def _check_settings(settings: dict[str, Any], accounts: Accounts) -> Steps[None]:
    checked = 0
    for path, (kind, least, most, needed) in SETTINGS.items():
        if path == "accounts" and accounts.count > most:
            raise Unusable(f"settings.accounts: expected {kind} of {least:g} to {most:g} items")
        if path == "accounts" and accounts.fault is not None:
            raise accounts.fault
        for name, found in _places(settings, path):
            _check_place(name, found, kind, least, most, needed)
            checked += 1
            if checked % CHECKS_PER_STEP == 0:
                yield CHECKS_WORK


def _check_place(name: str, found: Any, kind: str, least: float, most: float, needed: bool) -> None:
    if found is not None:
        _check(f"settings.{name}", found, kind, least, most)
    elif needed:
        raise Unusable(f"settings.{name}: expected {kind}, it is missing")


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
    if kind in (INT, FLOAT) and not least <= value <= most:
        raise Unusable(f"{name}: expected {kind} from {least:g} to {most:g}")
    if kind == TEXT and not value.isascii() and SURROGATE.search(value):
        raise Unusable(f"{name}: expected {kind} of whole characters, half of a pair stands alone")
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
