"""Quantities with units: what the formulas of the model of capacity are made of.

Sums and comparisons of unlike units are refused; products and quotients give a unit of their own.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


class MixedUnits(TypeError):
    """One line: the two units that can't be added, subtracted or compared."""


@dataclass(frozen=True, slots=True)
class Unit:
    """A product of powers of base units: pairs of a name and an exponent other than 0, sorted by name."""

    powers: tuple[tuple[str, int], ...] = ()

    @classmethod
    def base(cls, name: str) -> Unit:
        """A unit that is not made of others."""
        return cls(((name, 1),))

    def __mul__(self, other: Unit) -> Unit:
        return _unit(_combined(self, other, 1))

    def __truediv__(self, other: Unit) -> Unit:
        return _unit(_combined(self, other, -1))

    def __str__(self) -> str:
        above = [_power(name, exponent) for name, exponent in self.powers if exponent > 0]
        below = [_power(name, -exponent) for name, exponent in self.powers if exponent < 0]
        return "/".join([" ".join(above) or "1", *below])


def _combined(one: Unit, other: Unit, sign: int) -> dict[str, int]:
    powers = dict(one.powers)
    for name, exponent in other.powers:
        powers[name] = powers.get(name, 0) + sign * exponent
    return powers


def _unit(powers: Mapping[str, int]) -> Unit:
    return Unit(tuple(sorted((name, exponent) for name, exponent in powers.items() if exponent)))


def _power(name: str, exponent: int) -> str:
    return name if exponent == 1 else f"{name}^{exponent}"


NO_UNIT = Unit()
BYTE = Unit.base("byte")
SECOND = Unit.base("s")
CORE = Unit.base("core")  # one core in use all the time
INSTANCE = Unit.base("instance")
MACHINE = Unit.base("machine")
CALLER = Unit.base("caller")
SERVICE = Unit.base("service")
CONNECTION = Unit.base("connection")
REQUEST = Unit.base("request")
TENANT = Unit.base("tenant")
ROUTE = Unit.base("route")
CHANGE = Unit.base("change")
REPLACEMENT = Unit.base("replacement")
FAILURE = Unit.base("failure")
REGION = Unit.base("region")
ZONE = Unit.base("zone")
MESSAGE = Unit.base("message")
LINE = Unit.base("line")


@dataclass(frozen=True, slots=True)
class Quantity:
    """A number of a unit."""

    value: float
    unit: Unit = NO_UNIT

    def __add__(self, other: Quantity) -> Quantity:
        self._refuse_mixed(other, "add")
        return Quantity(self.value + other.value, self.unit)

    def __sub__(self, other: Quantity) -> Quantity:
        self._refuse_mixed(other, "subtract")
        return Quantity(self.value - other.value, self.unit)

    def __mul__(self, other: Quantity) -> Quantity:
        return Quantity(self.value * other.value, self.unit * other.unit)

    def __truediv__(self, other: Quantity) -> Quantity:
        return Quantity(self.value / other.value, self.unit / other.unit)

    def __lt__(self, other: Quantity) -> bool:
        self._refuse_mixed(other, "compare")
        return self.value < other.value

    def __le__(self, other: Quantity) -> bool:
        self._refuse_mixed(other, "compare")
        return self.value <= other.value

    def __str__(self) -> str:
        return text(self)

    @property
    def number(self) -> float:
        """The bare number of a quantity without a unit. Raises MixedUnits for one that has a unit."""
        if self.unit != NO_UNIT:
            raise MixedUnits(f"expected a number without a unit, got {self.unit}")
        return self.value

    def _refuse_mixed(self, other: Quantity, verb: str) -> None:
        if self.unit != other.unit:
            raise MixedUnits(f"can't {verb} {self.unit} and {other.unit}")


ONE = Quantity(1.0)


def total(first: Quantity, *others: Quantity) -> Quantity:
    """The sum of quantities of one unit."""
    for other in others:
        first = first + other
    return first


def share(number: float) -> Quantity:
    """A part of a whole, without a unit."""
    return Quantity(number)


# ---- makers


def of_bytes(number: float) -> Quantity:
    """An amount of memory or of a message."""
    return Quantity(number, BYTE)


def seconds(number: float) -> Quantity:
    """A time."""
    return Quantity(number, SECOND)


def microseconds(number: float) -> Quantity:
    """From what decision modules count in, to seconds."""
    return Quantity(number / 1e6, SECOND)


def bytes_per_second(number: float) -> Quantity:
    """A rate of traffic."""
    return Quantity(number, BYTE / SECOND)


def cores(number: float) -> Quantity:
    """Processor seconds per second."""
    return Quantity(number, CORE)


MINUTE = seconds(60)
HOUR = seconds(3_600)
DAY = seconds(86_400)
YEAR = seconds(365 * 86_400)

# ---- text

_SELDOM = {each / SECOND for each in (CHANGE, REPLACEMENT, FAILURE)}  # told by the day
_PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "K"))


def text(quantity: Quantity) -> str:
    """For readers: three significant digits, decimal prefixes for bytes, percent of a core."""
    if quantity.unit == CORE:
        return f"{_digits(100 * quantity.value)}% of a core"
    if quantity.unit == SECOND:
        return _time(quantity.value)
    if quantity.unit == NO_UNIT:
        return _digits(quantity.value)
    if ("byte", 1) in quantity.unit.powers:
        return _prefixed(quantity)
    if quantity.unit in _SELDOM and abs(quantity.value) < 1:
        return f"{text(Quantity(quantity.value * DAY.value, quantity.unit * SECOND))}/day"
    return f"{_digits(quantity.value)} {_suffix(quantity.unit, quantity.value)}"


def ratio_text(ratio: float) -> str:
    """A ratio for readers: two significant digits below ten, whole numbers above."""
    return f"{ratio:.2g}" if ratio < 9.95 else f"{ratio:,.0f}"


def _prefixed(quantity: Quantity) -> str:
    factor, prefix = next(
        ((factor, prefix) for factor, prefix in _PREFIXES if abs(quantity.value) >= 0.9995 * factor),
        (1.0, ""),
    )
    rest = str(quantity.unit / BYTE).removeprefix("1")
    return f"{_digits(quantity.value / factor)} {prefix}B{rest}"


def _suffix(unit: Unit, value: float) -> str:
    name = str(unit)
    head, slash, rest = name.partition("/")
    plural = head if head == "1" or value == 1 or " " in head else _plural(head)
    return plural + slash + rest


def _plural(name: str) -> str:
    return name if name == "s" else name + "s"


def _time(value: float) -> str:
    for limit, factor, name in ((86_400, 86_400, "days"), (5_400, 3_600, "h"), (600, 60, "min")):
        if value >= 2 * limit or (name != "days" and value >= limit):
            return f"{_digits(value / factor)} {name}"
    if value >= 0.9995:
        return f"{_digits(value)} s"
    return f"{_digits(1e3 * value)} ms" if value >= 0.9995e-3 or value == 0 else f"{_digits(1e6 * value)} µs"


def _digits(value: float) -> str:
    """Three significant digits, whole numbers from 100 on, with commas."""
    if abs(value) >= 99.95:
        return f"{value:,.0f}"
    return f"{value:.3g}"
