"""Reads and validates the configuration file and fills in defaults.

It owns the file's keys with their types, ranges and defaults, and turns the settings into the brain's flat
mapping and the table of tenants. It must never act on a name of a deployment, place, product, customer or
machine, nor accept a value that later code cannot handle: `ConfigError` names the key and what was expected.
A file is read in steps (`reading`): all at once at startup, a few per event loop iteration in a running
instance.
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


class ConfigError(Exception):
    """Invalid configuration; the text is one line with the key and what was expected."""


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Setup:
    """The validated configuration of a service instance."""

    name: str
    listen: Address
    kernel: Address
    ledger: Address
    node_list: Address
    seed: int
    stop: int  # microseconds from SIGTERM until the process is killed
    cores: float  # only logged: the program has one thread
    memory_mb: float
    sockets: int
    products: tuple[str, ...]  # names as in the file, which callers and the kernel use
    tenants: TenantTable
    plain: Mapping[str, Value]


# By path within `settings`, where `N` stands for each item of a list: type, minimum, maximum, required.
INT, FLOAT, BOOL = "a whole number", "a number", "true or false"
TEXT, LIST, OBJECT = "a text", "a list", "an object"
YEAR_US = 31_536_000_000_000  # maximum of all times; a longer one must have been given in a wrong unit
SETTINGS: dict[str, tuple[str, float, float, bool]] = {
    "classes": (LIST, 1, 1_000, True),
    "classes.N.name": (TEXT, 1, 256, True),
    "classes.N.aim": (INT, 1, YEAR_US, True),
    "classes.N.deadline": (INT, 1, YEAR_US, True),
    "classes.N.idempotency": (TEXT, 1, 64, False),
    "classes.N.keyTtl": (INT, 0, YEAR_US, False),
    "classes.N.worth": (FLOAT, 0, 1e12, False),
    "classes.N.lateWorth": (FLOAT, 0, 1e12, False),
    "accounts": (LIST, 0, 1_000_000, False),
    "accounts.N.name": (TEXT, 1, 256, True),
    "accounts.N.quotaPerS": (FLOAT, 0, 1e12, False),
    "ceilings": (OBJECT, 0, 0, False),
    "ceilings.maxRetryAfter": (INT, 0, YEAR_US, False),
    "ceilings.retryAfter": (BOOL, 0, 0, False),
    "clients": (OBJECT, 0, 0, False),
    "clients.marksRetry": (BOOL, 0, 0, False),
    "familyInfo": (OBJECT, 0, 0, True),
    "familyInfo.cpus": (INT, 1, 100_000, True),
    "familyInfo.callers": (INT, 0, 1e9, False),
    "familyInfo.callsOut": (FLOAT, 0, 1e9, False),
    "familyInfo.callsOver": (INT, 1, YEAR_US, False),
    "familyInfo.classCalls": (LIST, 0, 1_000, False),
    "familyInfo.classCalls.N": (BOOL, 0, 0, False),
    "familyInfo.classSkipWorth": (LIST, 0, 1_000, False),
    "familyInfo.classSkipWorth.N": (FLOAT, 0, 1e9, False),
    "familyInfo.gauges": (LIST, 0, 64, False),
    "familyInfo.gauges.N": (TEXT, 1, 64, False),
    "familyInfo.heeded": (INT, 0, YEAR_US, False),
    "familyInfo.idle": (INT, 0, YEAR_US, False),
    "familyInfo.justStarted": (BOOL, 0, 0, False),
    "familyInfo.kbPerKey": (FLOAT, 0, 1e12, False),
    "familyInfo.linger": (INT, 0, YEAR_US, False),
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
    "guarantees.answerSlack": (INT, 0, YEAR_US, False),
    "guarantees.coldFrom": (FLOAT, 0, 1, False),
    "guarantees.drainGrace": (INT, 0, YEAR_US, False),
    "guarantees.fall": (INT, 0, YEAR_US, False),
    "guarantees.overloadFactor": (FLOAT, 1, 1e9, False),
    "guarantees.rampTime": (INT, 0, YEAR_US, False),
    "overShareWorth": (FLOAT, 0, 1e9, False),
    "round": (INT, 0, YEAR_US, False),
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
CHECKS_PER_STEP = 32  # settings that are checked in one step
CHECKS_COST = 8  # cost of such a step, in the unit of `Steps`
PAIRS_PER_STEP = 16  # settings that are flattened in one step
PAIRS_COST = 4
RETIREMENTS_PER_STEP = 100  # tenant numbers that are checked in one step for removed tenants
RETIREMENTS_COST = 25


def read(path: str | None, load: Callable[[str], Iterable[bytes]] = read_chunks) -> Setup:
    """Reads the file that `BALANCER_CONFIG` names, without pauses. Raises ConfigError."""
    return run_to_completion(reading(path, load))


def reading(
    path: str | None,
    load: Callable[[str], Iterable[bytes]] = read_chunks,
    previous: Setup | None = None,
    now_us: int = 0,
) -> Steps[Setup]:
    """Reads the file in steps; `load` returns its content in chunks and raises OSError if it can't be read.

    Tenants keep the numbers that they have in `previous`. `now_us` is the time of a monotonic clock. Raises
    ConfigError.
    """
    if not path:
        raise ConfigError("BALANCER_CONFIG: expected the path of the configuration file, it is not set")
    accounts = AccountReader(previous, now_us)
    try:
        value = yield from Document(load(path), {"settings.accounts": accounts.begin}).read()
    except OSError as error:
        raise ConfigError(
            f"BALANCER_CONFIG: expected a file that can be read, got {error.strerror}"
        ) from None
    except ChangedDuringRead:
        raise ConfigError(
            "BALANCER_CONFIG: expected a file that stays while it is read, it changed"
        ) from None
    except BadDocument as error:
        raise ConfigError(f"BALANCER_CONFIG: expected JSON, got {error}") from None
    if not isinstance(value, dict):
        raise ConfigError("BALANCER_CONFIG: expected a JSON object")
    return (yield from _build_setup(value, accounts))


def parse_setup(value: dict[str, Any]) -> Setup:
    """Validates a configuration that was already decoded from JSON. Raises ConfigError."""
    accounts, settings = AccountReader(None, 0), value.get("settings")
    if isinstance(settings, dict) and isinstance(listed := settings.get("accounts"), list):
        add = accounts.begin()
        for item in listed:
            add(item)
        value = value | {"settings": settings | {"accounts": []}}
    return run_to_completion(_build_setup(value, accounts))


def _build_setup(value: dict[str, Any], accounts: AccountReader) -> Steps[Setup]:
    seed = str(_get(value, "seed", TEXT, 1, 64))
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise ConfigError("seed: expected hex digits") from None
    settings = _get(value, "settings", OBJECT, 0, 0)
    if settings.get("accounts") is None:
        accounts.begin()  # discards the accounts of an earlier, duplicate `settings` key of the file
    yield from _check_settings(settings, accounts)
    plain = yield from _flatten_settings(
        {name: inner for name, inner in settings.items() if name != "accounts"}
    )
    products = tuple(each["name"] for each in settings["classes"])
    accounts.extend_retention(max_retention_us(plain, len(products)))
    return Setup(
        name=str(_get(value, "name", TEXT, 1, 256)),
        listen=_parse_address(value, "listen"),
        kernel=_parse_address(value, "kernel"),
        ledger=_parse_address(value, "records"),
        node_list=_parse_address(value, "roster"),
        seed=seed_number,
        stop=int(1_000 * _get(value, "stop_ms", FLOAT, 1, 3_600_000, 3_000)),
        cores=float(_get(value, "limits.cores", FLOAT, 0.001, 1e6, 1.0)),
        memory_mb=float(_get(value, "limits.memory_mb", FLOAT, 16, 1e9, 192)),
        sockets=int(_get(value, "limits.sockets", INT, 32, 1e9, 1_024)),
        products=products,
        tenants=(yield from accounts.build_steps()),
        plain=plain,
    )


def max_retention_us(plain: Mapping[str, Any], classes: int) -> int:
    """Returns for how long a request or its key may be kept after it arrived."""
    return max(
        int(plain.get(f"products.{number}.window", 0)) + 2 * int(plain.get(f"products.{number}.expiry", 0))
        for number in range(classes)
    )


class AccountReader:
    """Validates the items of `settings.accounts` and adds them to the next table of tenants one at a time.

    The first error is kept in `fault`, to be raised once the whole file is known to be valid JSON.
    """

    def __init__(self, previous: Setup | None, now_us: int) -> None:
        self._previous = None if previous is None else previous.tenants
        self._now_us = now_us
        self._retention_us = RETENTION_US
        if previous is not None:
            self.extend_retention(max_retention_us(previous.plain, len(previous.products)))
        self._builder: TenantTableBuilder
        self.count = 0
        self.fault: ConfigError | None = None

    def begin(self) -> Callable[[Any], None]:
        """Starts a list of accounts, discarding any earlier one; returns the function to add its items
        with."""
        self._builder = TenantTableBuilder(self._previous, now=self._now_us)
        self.count, self.fault = 0, None
        return self.add

    def add(self, item: Any) -> None:
        number, self.count = self.count, self.count + 1
        if self.fault is None:
            try:
                self._add(number, item)
            except ConfigError as fault:
                self.fault = fault

    def _add(self, number: int, item: Any) -> None:
        """Adds an account. The table enforces the same bounds; an item that it refuses is checked again here
        for the error message."""
        try:
            name, quota = item["name"], item.get("quotaPerS")
            self._builder.add(name, 0.0 if quota is None else quota)
            if not name.isascii():
                _check_account(number, item)
        except DuplicateTenant:
            message = (
                f"settings.accounts.{number}.name: expected a name of its own, an earlier account has it"
            )
            raise ConfigError(message) from None
        except TenantFault as fault:
            _check_account(number, item)
            raise ConfigError(f"settings.accounts.{number}: {fault.fault}") from None
        except (AttributeError, KeyError, TypeError):
            _check_account(number, item)
            raise

    def extend_retention(self, span_us: int) -> None:
        """Keeps the numbers of removed tenants reserved for at least `span_us`."""
        self._retention_us = max(self._retention_us, span_us)

    def build_steps(self) -> Steps[TenantTable]:
        self._builder.retired_until = self._now_us + self._retention_us
        for _ in self._builder.build_steps(RETIREMENTS_PER_STEP):
            yield RETIREMENTS_COST
        return self._builder.table


def _check_account(number: int, item: Any) -> None:
    if item is None:
        raise ConfigError(f"settings.accounts.{number}: expected an item, it is null")
    if not isinstance(item, dict):
        raise ConfigError(f"settings.accounts.{number}: expected an object")
    for term in ACCOUNT_TERMS:
        _check_setting(f"accounts.{number}.{term}", item.get(term), *SETTINGS[f"accounts.N.{term}"])


def _flatten_settings(settings: dict[str, Any]) -> Steps[dict[str, Value]]:
    pairs = flatten_settings(settings)
    plain: dict[str, Value] = {}
    try:
        while batch := list(islice(pairs, PAIRS_PER_STEP)):
            plain |= parse_settings(batch)
            yield PAIRS_COST
    except RecursionError:
        raise ConfigError("settings: expected fewer levels one in the other") from None
    return plain


def _check_settings(settings: dict[str, Any], accounts: AccountReader) -> Steps[None]:
    checked = 0
    for path, (kind, minimum, maximum, required) in SETTINGS.items():
        if path == "accounts" and accounts.count > maximum:
            raise ConfigError(f"settings.accounts: expected {kind} of {minimum:g} to {maximum:g} items")
        if path == "accounts" and accounts.fault is not None:
            raise accounts.fault
        for name, found in _find_settings(settings, path):
            _check_setting(name, found, kind, minimum, maximum, required)
            checked += 1
            if checked % CHECKS_PER_STEP == 0:
                yield CHECKS_COST


def _check_setting(name: str, found: Any, kind: str, minimum: float, maximum: float, required: bool) -> None:
    if found is not None:
        _check_value(f"settings.{name}", found, kind, minimum, maximum)
    elif required:
        raise ConfigError(f"settings.{name}: expected {kind}, it is missing")


def _find_settings(value: Any, path: str, name: str = "") -> Iterator[tuple[str, Any]]:
    """Yields the full name and value of each setting that matches `path`: the value is None if it is absent,
    and nothing is yielded if its parent is absent."""
    part, _, rest = path.partition(".")
    if part == "N":
        inner = list(enumerate(value)) if isinstance(value, list) else []
    else:
        if not isinstance(value, dict):
            return
        inner = [(part, value.get(part))]  # type: ignore[list-item]
    for key, found in inner:
        full_name = f"{name}.{key}" if name else str(key)
        if part == "N" and found is None:
            raise ConfigError(f"settings.{full_name}: expected an item, it is null")
        if not rest:
            yield full_name, found
        elif found is not None:
            if rest.partition(".")[0] != "N" and not isinstance(found, dict):
                raise ConfigError(f"settings.{full_name}: expected an object")
            yield from _find_settings(found, rest, full_name)


def _check_value(name: str, value: Any, kind: str, minimum: float, maximum: float) -> None:
    fits = isinstance(value, TYPES[kind]) and (kind == BOOL or not isinstance(value, bool))
    if not fits:
        raise ConfigError(f"{name}: expected {kind}")
    if kind in (INT, FLOAT) and not minimum <= value <= maximum:
        raise ConfigError(f"{name}: expected {kind} from {minimum:g} to {maximum:g}")
    if kind == TEXT and not value.isascii() and SURROGATE.search(value):
        raise ConfigError(f"{name}: expected {kind} of whole characters, half of a pair stands alone")
    if kind in (TEXT, LIST) and not minimum <= len(value) <= maximum:
        unit = "items" if kind == LIST else "characters"
        raise ConfigError(f"{name}: expected {kind} of {minimum:g} to {maximum:g} {unit}")


def _get(
    value: dict[str, Any], path: str, kind: str, minimum: float, maximum: float, default: Any = None
) -> Any:
    for part in path.split("."):
        if not isinstance(value, dict):
            raise ConfigError(f"{path}: expected an object around {part}")
        value = value.get(part)  # type: ignore[assignment]
        if value is None:
            if default is None:
                raise ConfigError(f"{path}: expected {kind}, it is missing")
            return default
    _check_value(path, value, kind, minimum, maximum)
    return value


def _parse_address(value: dict[str, Any], name: str) -> Address:
    address = str(_get(value, name, TEXT, 1, 256))
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ConfigError(f"{name}: expected an IP address and a port, as in 127.0.0.1:8443") from None
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        raise ConfigError(f"{name}: expected a port from 1 to 65535 behind the address")
    return Address(host.strip("[]"), int(port))


def config_path(environ: Mapping[str, str] = os.environ) -> str | None:
    return environ.get("BALANCER_CONFIG")
