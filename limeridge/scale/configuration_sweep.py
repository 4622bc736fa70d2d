"""The sweep `configuration`: what the configuration of so many tenants costs an instance.

All is measured from outside, on a real process, so that the same sweep measures any way of holding and
reading a configuration. A file is read at the start and again at SIGHUP. The longest turn of the reactor is
the longest time that a health check waits, of a stream of them sent on schedule: an instance answers one in
the turn that reads it, and the stream's spacing bounds what is missed of a turn.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from limeridge.scale import revision_costs
from limeridge.scale.below import LOOPBACK, Below
from limeridge.scale.collect import Collector, Cost
from limeridge.scale.generator import Generator
from limeridge.scale.load import LoadOrder, Outcome, too_late
from limeridge.scale.meter import OwnTimer
from limeridge.scale.real_instance import (
    MOST_TENANTS,
    RealInstance,
    need_of,
    reload_window,
)
from limeridge.scale.results import Situation, Size, Unit
from limeridge.scale.sweeps import Measured, Request, Sweeping

TENANTS = (1_000, 10_000, 50_000, 100_000, 240_000)
REPEATS = 3
SETTLE = 0.3  # seconds from the first answer until memory is read
CHECK_RATE = 1_000.0  # health checks a second
REST_WINDOW = 1.0  # seconds
RELOAD_AT = 0.2  # seconds into the window
RELOADED_BY = 12.0  # seconds that a reload may take
TRIES = 2  # of a window that the machine was too busy for
QUICK_TENANTS = (10, 1_000)


class ConfigurationSweep:
    """The lives of instances with ever more tenants, one after the other."""

    def __init__(self, collector: Collector, below: Below, folder: Path, timer: OwnTimer) -> None:
        self.collector, self.below, self.folder, self.timer = collector, below, folder, timer
        self.none_private = 0.0  # bytes held with no tenants, in this repeat
        self.none_start: float | None = None  # seconds of a start with no tenants, in this repeat
        self.rest_share = 0.0  # of a core that the instance in hand uses under health checks alone

    def start(self, tenants: int) -> RealInstance:
        """Raises Refused where the configuration does not take so many."""
        return RealInstance(self.folder, self.below.ports, tenants)

    def take_reference(self) -> None:
        """What an instance without tenants costs, once a repeat."""
        begun = time.monotonic()
        with self.start(0) as instance:
            self.none_start = self._start_seconds(instance, begun)
            time.sleep(SETTLE)
            self.none_private = instance.memory().private

    def measure(self, tenants: int) -> None:
        """One life: its start, then at rest, then two changes of the file and reloads."""
        self.collector.progress(f"{tenants} tenants")
        begun = time.monotonic()
        with self.start(tenants) as instance:
            self._measure_start(instance, begun)
            self._measure_rest(instance)
            self._measure_reload(instance, "first reload")
            self._measure_reload(instance, "second reload")
            self._add_memory(instance, "after two reloads", Situation.CHANGE)
            self._add_bytes("peak resident memory", Situation.CHANGE, tenants, instance.memory().peak)
        self._measure_revisions(tenants)

    def _start_seconds(self, instance: RealInstance, begun: float) -> float | None:
        """None where the rig's own timer came late since then."""
        if not too_late(self.timer.since(begun)):
            return instance.start_seconds
        self.collector.note(f"machine too busy: left out a start with {instance.tenants} tenants")
        return None

    def _measure_start(self, instance: RealInstance, begun: float) -> None:
        seconds, tenants = self._start_seconds(instance, begun), instance.tenants
        if seconds is not None and self.none_start is not None:
            more = seconds - self.none_start
            self._add_seconds("start, more than without tenants", Situation.START, tenants, more)
        time.sleep(SETTLE)
        self._add_bytes("file", Situation.START, tenants, instance.file_bytes)
        self._add_bytes("bytes to an instance", Situation.CHANGE, tenants, bytes_of_change(instance))
        self._add_memory(instance, "after the start", Situation.START)

    def _measure_rest(self, instance: RealInstance) -> None:
        for _ in range(TRIES):
            with Generator(self._checks(instance, REST_WINDOW)) as generator:
                used, outcome = self._processor_over(instance, generator)
            self.rest_share = used / REST_WINDOW
            if self._counts(outcome, f"{instance.tenants} tenants at rest"):
                longest = max(outcome.through.values())
                self._add_seconds("longest turn", Situation.REST, instance.tenants, longest)
                return

    def _measure_reload(self, instance: RealInstance, which: str) -> None:
        """Not tried again where the machine is too busy: the next reload of a process is another case."""
        tenants = instance.tenants
        window = reload_window(tenants)
        instance.put_file()
        with Generator(self._checks(instance, window)) as generator:
            generator.wait_until(RELOAD_AT)
            before = instance.processor_seconds()
            took = instance.timed_reload(RELOADED_BY)
            generator.wait_until(window)
            used = instance.processor_seconds() - before
            outcome = generator.outcome()
        if took is None or took > window - RELOAD_AT:
            self.collector.note(f"{tenants} tenants, {which}: left out, not over within {window:g} s")
        elif self._counts(outcome, f"{tenants} tenants, {which}"):
            at_rest = self.rest_share * (window - RELOAD_AT)
            longest = max(outcome.through.values())
            self._add_seconds(f"signal to log line, {which}", Situation.RELOAD, tenants, took)
            self._add_seconds(f"longest turn, {which}", Situation.RELOAD, tenants, longest)
            self._add_seconds(f"processor, {which}", Situation.RELOAD, tenants, max(0.0, used - at_rest))

    def _processor_over(self, instance: RealInstance, generator: Generator) -> tuple[float, Outcome]:
        """Processor seconds of the instance while the generator sends."""
        generator.wait_until(0.0)
        before = instance.processor_seconds()
        generator.wait_until(REST_WINDOW)
        return instance.processor_seconds() - before, generator.outcome()

    def _checks(self, instance: RealInstance, seconds: float) -> LoadOrder:
        return LoadOrder(
            host=LOOPBACK,
            instance_port=instance.port,
            rate=CHECK_RATE,
            seconds=seconds,
            seed=1,
            connections=1,
            tenants=(),
            heartbeats=True,
        )

    def _counts(self, outcome: Outcome, what: str) -> bool:
        """Whether the checks were sent in time and answered."""
        if too_late(outcome.lateness):
            self.collector.note(f"machine too busy: left out a reading of {what}")
            return False
        if outcome.refused or outcome.unanswered:
            self.collector.note(f"{what}: {outcome.refused + outcome.unanswered} health checks unanswered")
        return bool(outcome.through)

    def _measure_revisions(self, tenants: int) -> None:
        """Bytes in any case; seconds where the rig's own timer came in time."""
        begun = time.monotonic()
        costs = revision_costs.measured(tenants)
        for cost, reading in revision_costs.bytes_of(costs):
            self.collector.add(cost, tenants, reading)
        if too_late(self.timer.since(begun)):
            self.collector.note(f"machine too busy: left out the seconds of revisions with {tenants} tenants")
            return
        for cost, reading in revision_costs.seconds_of(costs):
            self.collector.add(cost, tenants, reading)

    # ---- readings

    def _add_memory(self, instance: RealInstance, when: str, situation: Situation) -> None:
        more = instance.memory().private - self.none_private
        self._add_bytes(f"memory {when}, more than without tenants", situation, instance.tenants, more)

    def _add_bytes(self, name: str, situation: Situation, tenants: int, reading: float) -> None:
        self.collector.add(Cost(name, situation, Size.TENANTS, Unit.BYTES), tenants, reading)

    def _add_seconds(self, name: str, situation: Situation, tenants: int, reading: float) -> None:
        self.collector.add(Cost(name, situation, Size.TENANTS, Unit.SECONDS), tenants, reading)


def bytes_of_change(instance: RealInstance) -> int:
    """What must reach an instance for a change of one tenant's quota: the whole file, the only way so far."""
    return instance.file_bytes


def run(request: Request) -> Measured:
    """The whole sweep in under 3 minutes; the quick one, of counts and bytes alone, in under 15 s."""
    collector = Collector(request.progress)
    with Below() as below, tempfile.TemporaryDirectory() as folder, OwnTimer() as timer:
        sweep = ConfigurationSweep(collector, below, Path(folder), timer)
        if request.quick:
            _run_quick(sweep, request.sizes)
        else:
            _run_full(sweep, request.sizes)
    return collector.measured()


def _run_full(sweep: ConfigurationSweep, sizes: tuple[int, ...]) -> None:
    collector = sweep.collector
    collector.note(
        f"the longest turn is the longest wait of a health check, one each {1e3 / CHECK_RATE:g} ms, from the "
        f"time at which it was to be sent; the value at rest is the floor"
    )
    collector.note(
        "a reload is SIGHUP with a file in which one tenant's quota differs; it ends with its log line"
    )
    collector.note("memory is private bytes, less those of an instance without tenants in the same repeat")
    for _ in range(REPEATS):
        sweep.take_reference()
        for tenants in sizes:
            sweep.measure(tenants)


def _run_quick(sweep: ConfigurationSweep, sizes: tuple[int, ...]) -> None:
    collector = sweep.collector
    for tenants in sizes:
        collector.progress(f"{tenants} tenants")
        with sweep.start(tenants) as instance:
            file, change = instance.file_bytes, bytes_of_change(instance)
            for name, size in (("file", file), ("bytes to an instance", change)):
                collector.add(Cost(name, Situation.CHANGE, Size.TENANTS, Unit.BYTES), tenants, size)
            instance.put_file()
            taken = instance.timed_reload(RELOADED_BY) is not None
        for cost, reading in revision_costs.bytes_of(revision_costs.measured(tenants)):
            collector.add(cost, tenants, reading)
        cost = Cost("reloads told in the log", Situation.CHANGE, Size.TENANTS, Unit.COUNT)
        collector.add(cost, tenants, int(taken))
        collector.check(taken, f"{tenants} tenants: the log tells no reload")


SWEEP = Sweeping(
    name="configuration",
    about="what the configuration of so many tenants costs an instance",
    sizes=TENANTS,
    quick_sizes=QUICK_TENANTS,
    least=1,
    most=MOST_TENANTS,
    run=run,
    need=need_of,
)
