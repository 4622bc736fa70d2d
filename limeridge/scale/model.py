"""What the model of capacity is made of: rows of needs against budgets, states, messages, failures.

A row is one cost of one role. What it needs is a figure that names the series or the assumptions it rests on;
the mechanism that carries it is named by its modules.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from limeridge.scale.evidence import Assumption, Basis, Figure, Reference
from limeridge.scale.quantities import Quantity
from limeridge.scale.target import Target


class Part(enum.StrEnum):
    """The roles of the page, in its order."""

    PATH = "instance: path of requests"
    CONTROL = "instance: control"
    VOTER = "voter"
    DUTY_HOLDER = "duty holder"
    LIST_READER = "list reader"
    CONTROL_MACHINE = "each machine set aside for control"
    SERVICE_DISCOVERY = "service discovery"
    RECORDS_SERVICE = "records service"
    CALLER = "caller's side"
    OPERATOR = "operator's tools and logs"


NONE_YET = "none yet"


@dataclass(frozen=True)
class Budget:
    """What a cost may be: by a sentence of the target, by a bound in the code, or by an assumption."""

    value: Quantity
    why: str
    assumption: Assumption | None = None


@dataclass(frozen=True)
class Row:
    """One cost of one role at the size. `before`: what it was before the last mechanism that changed it."""

    part: Part
    cost: str
    needed: Figure
    budget: Budget
    mechanism: tuple[str, ...] = ()  # modules; none yet where empty
    before: Figure | None = None
    total: bool = False  # a sum of other rows, which lacks no mechanism of its own

    @property
    def ratio(self) -> float:
        """Needed over budget."""
        return (self.needed.value / self.budget.value).number

    @property
    def ratio_interval(self) -> tuple[float, float]:
        """The same at both ends of the figure's interval."""
        return (self.needed.low / self.budget.value).number, (self.needed.high / self.budget.value).number

    @property
    def ratio_before(self) -> float | None:
        """Of what it was before."""
        return None if self.before is None else (self.before.value / self.budget.value).number

    @property
    def over(self) -> bool:
        """Whether more is needed than there is."""
        return self.ratio > 1

    @property
    def uncertain(self) -> bool:
        """Whether the interval has both verdicts in it."""
        low, high = self.ratio_interval
        return low <= 1 < high

    @property
    def wanting(self) -> bool:
        """Whether it has no mechanism or is over its budget."""
        return self.over or not self.mechanism

    @property
    def carried_by(self) -> str:
        """The mechanism by name."""
        return ", ".join(self.mechanism) or NONE_YET

    @property
    def assumptions(self) -> tuple[Assumption, ...]:
        """Of the figure and of the budget."""
        own = (self.budget.assumption,) if self.budget.assumption is not None else ()
        return tuple(dict.fromkeys((*self.needed.assumptions, *own)))


@dataclass(frozen=True)
class State:
    """What a role keeps: how many entries and how much each of them takes."""

    part: Part
    what: str
    entries: Quantity
    each: Figure
    mechanism: tuple[str, ...] = ()


@dataclass(frozen=True)
class Message:
    """What one role sends to another: how often each of the senders does, and how many bytes."""

    part: Part
    what: str
    to: str
    often: Figure
    size: Figure
    mechanism: tuple[str, ...] = ()


@dataclass(frozen=True)
class Failure:
    """One kind of failure: who notices, in what time, what it costs and what stays served."""

    event: str
    how_often: str
    lost: str
    noticed_by: str
    noticed_after: Figure
    costs: tuple[tuple[str, Figure], ...]
    served: str


@dataclass(frozen=True)
class Model:
    """All that the page says of one size."""

    target: Target
    rows: tuple[Row, ...]
    states: tuple[State, ...]
    messages: tuple[Message, ...]
    failures: tuple[Failure, ...]

    @property
    def over_budget(self) -> list[Row]:
        """Rows over their budget, worst first."""
        return sorted((row for row in self.rows if row.over), key=lambda row: -row.ratio)

    @property
    def missing_first(self) -> Row | None:
        """The worst row of those without a mechanism or over their budget."""
        wanting = [row for row in self.rows if row.wanting and not row.total]
        return max(wanting, key=lambda row: row.ratio, default=None)

    @property
    def figures(self) -> Iterable[Figure]:
        """All figures that the page shows."""
        for row in self.rows:
            yield row.needed
            if row.before is not None:
                yield row.before
        yield from (state.each for state in self.states)
        for message in self.messages:
            yield from (message.often, message.size)
        for failure in self.failures:
            yield failure.noticed_after
            yield from (figure for _, figure in failure.costs)

    @property
    def assumptions(self) -> tuple[Assumption, ...]:
        """All that are named anywhere, in the order of the page."""
        of_rows = [assumption for row in self.rows for assumption in row.assumptions]
        of_figures = [assumption for figure in self.figures for assumption in figure.assumptions]
        return tuple(dict.fromkeys([*of_rows, *of_figures]))

    @property
    def references(self) -> tuple[Reference, ...]:
        """All series that are used."""
        return tuple(dict.fromkeys(source for figure in self.figures for source in figure.sources))

    @property
    def not_measured(self) -> list[Row]:
        """Rows whose series is not there."""
        return [row for row in self.rows if row.needed.basis is Basis.NOT_MEASURED]
