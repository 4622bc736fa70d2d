"""The file format of a measured sweep: one JSON file per sweep under `docs/results/scale/`.

A sweep measures several costs at several sizes. Each series holds one cost of one role in one situation,
against one size; each point of it holds the repeated readings at one size. Readings are in the series' unit,
unrounded. The format is versioned: a file of another schema is refused, never guessed at.
"""

from __future__ import annotations

import enum
from pathlib import Path

import msgspec

SCHEMA = 1


class Unit(enum.StrEnum):
    """The unit of a series' readings."""

    CORE_SHARE = "core share"  # processor seconds per second, of one core
    SECONDS = "s"
    BYTES = "bytes"
    BYTES_PER_SECOND = "bytes/s"
    PACKETS_PER_SECOND = "packets/s"
    COUNT = "count"


class Role(enum.StrEnum):
    """Whose cost it is."""

    MEMBER = "member"
    VOTER = "voter"
    DUTY_HOLDER = "duty holder"
    LIST_READER = "list reader"
    INSTANCE = "instance"
    PUBLISHER = "publisher"
    SERVICE_DISCOVERY = "service discovery"
    RECORDS_SERVICE = "records service"
    CALLER = "caller"


class Size(enum.StrEnum):
    """What a series is measured against."""

    MEMBERS = "members"
    TENANTS = "tenants"
    ROUTES = "routes"
    CONNECTIONS = "connections"
    REQUESTS_PER_SECOND = "requests/s"
    CHANGES = "changes"


class Situation(enum.StrEnum):
    """What goes on while it is measured."""

    REST = "at rest"
    CHURN = "replacements one by one"
    RACK = "a rack lost at once"
    ZONE = "a zone lost at once"
    CUT = "two regions cut apart"
    RETURN = "a region comes back at once"
    LOAD = "under load"
    START = "at the start"
    RELOAD = "during a reload"
    CHANGE = "at one change"


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The repeated readings at one size."""

    size: float
    readings: tuple[float, ...]


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The growth law chosen for a series: cost = intercept + slope * f(size)."""

    law: str  # "constant", "log n", "n", "n log n", "n^2", or "none" where no law fits and a line is given
    intercept: float
    slope: float
    slope_low: float  # 95% confidence interval of the slope
    slope_high: float
    worst_residual: float  # the largest distance of a point's mean from the fit, relative to the fit
    largest_size: float


class Series(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One cost of one role in one situation, against one size."""

    cost: str  # such as "processor", "bytes out", "bytes in", "packets out", "memory", "largest message"
    role: Role
    situation: Situation
    against: Size
    unit: Unit
    points: tuple[Point, ...]
    fit: Fit | None = None  # none for fewer than five sizes

    @property
    def key(self) -> str:
        """Identifies the series within its sweep."""
        return f"{self.role.value}: {self.cost}, {self.situation.value}"


class Sweep(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One sweep as it was run."""

    schema: int
    name: str
    revision: str  # of the measured code, with "+changes" where the work tree differed from it
    cores: int
    memory_gib: float
    command: str
    seconds: float  # that the whole sweep took
    series: tuple[Series, ...]
    notes: tuple[str, ...] = ()  # what was not reached, stated rounds, points left out as too busy


class UnusableResult(Exception):
    """One line: the file and what is wrong with it."""


def read(path: Path) -> Sweep:
    """Raises UnusableResult for a file that can't be read or has another schema."""
    try:
        sweep: Sweep = msgspec.json.decode(path.read_bytes(), type=Sweep)
    except OSError as trouble:
        raise UnusableResult(f"{path}: expected a result of a sweep, got {trouble.strerror}") from None
    except msgspec.MsgspecError as trouble:
        raise UnusableResult(f"{path}: expected a result of schema {SCHEMA}: {trouble}") from None
    if sweep.schema != SCHEMA:
        raise UnusableResult(f"{path}: schema: expected {SCHEMA}, got {sweep.schema}")
    return sweep


def write(path: Path, sweep: Sweep) -> None:
    """Writes the file whole, with sorted keys and one member a line, so that differences read well."""
    data = msgspec.json.format(msgspec.json.encode(sweep), indent=1)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data + b"\n")
