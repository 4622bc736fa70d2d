"""What a configuration of the target's size costs, before and after it could change in a running process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from limeridge.scale import assumptions as take
from limeridge.scale.evidence import Evidence, Fallback, Figure, assumed, stated
from limeridge.scale.quantities import CHANGE, INSTANCE, REPLACEMENT, Quantity, cores
from limeridge.scale.references import (
    BYTES_OF_CHANGE,
    CONFIGURATION,
    FILE,
    LONGEST_TURN,
    MEMORY_AFTER_RELOADS,
    MEMORY_AFTER_START,
    RELOAD_PROCESSOR,
    RELOAD_TIME,
    SECOND_RELOAD,
    configuration_cost,
)
from limeridge.scale.results import Situation
from limeridge.scale.target import Target

UNCHANGED = (FILE, BYTES_OF_CHANGE)  # the same file goes to instances, before and after
ONE_CHANGE = Quantity(1, CHANGE)
ONE_REPLACEMENT_EACH = Quantity(1, REPLACEMENT / INSTANCE)


@dataclass(frozen=True)
class Configured:
    """The costs of one state of the code: `before` reads the result that was taken before the change."""

    target: Target
    evidence: Evidence
    before: bool = False

    def cost(self, named: tuple[str, Situation], fallback: Fallback) -> Figure:
        """One cost of the sweep at the target's tenants."""
        reference = configuration_cost(*named, before=self.before)
        if named in UNCHANGED and self.evidence.found(reference) is None:
            reference = configuration_cost(*named, before=True)
        if named in SECOND_RELOAD:
            second = configuration_cost(*SECOND_RELOAD[named], before=self.before)
            if self.evidence.largest_size(second) > self.evidence.largest_size(reference):
                reference = second
        return self.evidence.at(reference, self.target.tenants, fallback)

    def _with_routes(self, of_tenants: Figure) -> Figure:
        """The same with the routes, each counted as a tenant."""
        ratio = Quantity(self.target.routes.value / self.target.tenants.value)
        entries = Quantity(1) + ratio
        return of_tenants * assumed(entries, take.PROPORTIONAL_ROUTES, f"(1 + {ratio} routes a tenant)")

    @property
    def memory_at_start(self) -> Figure:
        """Held once it is read."""
        return self._with_routes(self.cost(MEMORY_AFTER_START, take.CONFIGURATION_MEMORY))

    @property
    def memory(self) -> Figure:
        """Held after two changes."""
        return self._with_routes(self.cost(MEMORY_AFTER_RELOADS, take.CONFIGURATION_MEMORY))

    @property
    def file(self) -> Figure:
        """Bytes of the whole."""
        return self._with_routes(self.cost(FILE, take.FILE_BYTES))

    @property
    def change(self) -> Figure:
        """Bytes that reach an instance for one change."""
        return self._with_routes(self.cost(BYTES_OF_CHANGE, take.FILE_BYTES))

    @property
    def change_traffic(self) -> Figure:
        """Bytes per second to one instance for the target's changes."""
        rate = self.target.change_rate / ONE_CHANGE
        return self.change * assumed(rate, take.WHOLE_FILES, f"{self.target.change_rate}")

    @property
    def start_traffic(self) -> Figure:
        """Bytes per second to one instance, in the mean, for the whole after each replacement."""
        replacements = self.target.replacement_rate / self.target.instances / ONE_REPLACEMENT_EACH
        return self.file * assumed(
            replacements,
            take.WHOLE_FILE_AT_START,
            f"({self.target.replacement_rate} / {self.target.instances})",
        )

    @property
    def reload_time(self) -> Figure:
        """From the signal until it is in force in one process that reads the whole."""
        return self._with_routes(self.cost(RELOAD_TIME, take.READ_TIME))

    @property
    def change_processor(self) -> Figure:
        """Of one instance that reads the whole at each change."""
        rate = self.target.change_rate / ONE_CHANGE
        one = self._with_routes(self.cost(RELOAD_PROCESSOR, take.READ_TIME))
        share = one * assumed(rate, take.WHOLE_FILES, f"{self.target.change_rate}")
        return share * stated(cores(1), "1 core")

    @property
    def longest_turn(self) -> Figure:
        """Of the reactor, while the whole is read."""
        return self.cost(LONGEST_TURN, take.READ_TIME)

    @property
    def time_in_force(self) -> Figure:
        """Until a change is in force everywhere: no running process takes one up in the state before."""
        spread = self.spread_time
        return (
            max(spread, self.replacement_wave, key=lambda each: each.value.value) if self.before else spread
        )

    @property
    def spread_time(self) -> Figure:
        """Until a change is in force everywhere: at the pace of the budget, then read."""
        pace = stated(self.target.control_bytes)
        sent = self.change.over(pace) * assumed(Quantity(1), take.WHOLE_FILES, "1")
        return (
            Figure(**{**vars(sent), "formula": f"({self.change.formula}) / {pace.value}"}) + self.reload_time
        )

    @property
    def replacement_wave(self) -> Figure:
        """Until all processes have been replaced in the ordinary course."""
        wave = self.target.instances / self.target.replacement_rate * ONE_REPLACEMENT_EACH
        formula = f"{self.target.instances} / {self.target.replacement_rate}"
        return assumed(wave, take.RESTART_TO_CHANGE, formula)


def current(target: Target, evidence: Evidence) -> Configured:
    """The newest state of the code that there is a run of."""
    return Configured(target, evidence, before=not evidence.runs_of(CONFIGURATION))


def both(
    target: Target, evidence: Evidence, cost: Callable[[Configured], Figure]
) -> tuple[Figure, Figure | None]:
    """A cost as it is, and as it was before where the code has changed since."""
    now = current(target, evidence)
    return cost(now), None if now.before else cost(Configured(target, evidence, before=True))
