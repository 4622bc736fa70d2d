"""The sweep `request_path`: what an instance adds to a request, and what serving costs it.

A real instance serves open-loop load. Each request is also sent straight to a kernel stand-in of the same
make, so that what the instance adds is the difference of the two, request by request. Requests make no calls
to the records service. The load is the target's for one instance (420,000 requests a second over 3,400
instances) and what the loss of one region of six adds to it.
"""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path

from limeridge.scale.below import LOOPBACK, Below
from limeridge.scale.collect import Collector, Cost
from limeridge.scale.generator import Generator
from limeridge.scale.load import LoadOrder, Outcome, added, quantiles, too_late
from limeridge.scale.real_instance import (
    MOST_TENANTS,
    RealInstance,
    Refused,
    need_of,
    reload_window,
    tenant_name,
)
from limeridge.scale.results import Situation, Size, Unit
from limeridge.scale.sweeps import Measured, Request, Sweeping

TARGET_RATE = 124.0  # requests a second of one instance: 420,000 / 3,400
LOSS_RATE = 149.0  # with one region of six lost
RATES = (62.0, TARGET_RATE, LOSS_RATE, 248.0, 400.0)
CONNECTIONS = (50, 125, 250, 375, 500)
TENANTS = (200, 2_000, 20_000, 50_000, 100_000, 240_000)
IN_USE, MANY_IN_USE = 200, 2_000  # tenants
MANY_KNOWN = (2_000, 100_000, 240_000)  # sizes at which many are in use, too
BASE_TENANTS, BASE_CONNECTIONS = 20_000, 50
REPEATS = 3
WARM_UP, STEADY, SHORT = 0.5, 6.0, 2.5  # seconds of load
RELOAD_AT = 0.5  # seconds into its window
RELOAD_SECOND = 1.0  # seconds from the signal over which requests count as met by the reload, at the least
TRIES = 2  # of a window that the machine was too busy for
NO_MORE_AFTER = 270.0  # seconds after which nothing more is begun
QUICK_TENANTS = (10, 1_000)
QUICK_RATE, QUICK_SECONDS, QUICK_CONNECTIONS, QUICK_SEED = 100.0, 0.5, 10, 1


@dataclass(frozen=True, slots=True)
class Load:
    """The load of one window."""

    rate: float = TARGET_RATE
    seconds: float = STEADY
    connections: int = BASE_CONNECTIONS
    in_use: int = IN_USE


@dataclass(frozen=True, slots=True)
class Window:
    """One window of load as it went."""

    outcome: Outcome
    processor: float  # seconds that the instance used
    seconds: float
    reload_seconds: float | None = None  # from the signal to the log line

    @property
    def added(self) -> dict[int, float]:
        """Seconds added, by number of the request."""
        return added(self.outcome.through, self.outcome.direct)

    @property
    def added_by_reload(self) -> list[float]:
        """Seconds added to the requests that were due while the instance reloaded."""
        span = max(RELOAD_SECOND, self.reload_seconds or 0.0)
        due = self.outcome.due
        return [each for number, each in self.added.items() if 0 <= due[number] - RELOAD_AT < span]


class PathSweep:
    """The windows of one sweep, one after the other."""

    def __init__(self, collector: Collector, below: Below, folder: Path) -> None:
        self.collector, self.below, self.folder = collector, below, folder
        self.windows = 0
        self.pooled: dict[int, list[float]] = {}  # seconds added at the target's load, by tenants

    def start(self, tenants: int) -> RealInstance:
        """Raises Refused where the configuration does not take so many."""
        return RealInstance(self.folder, self.below.ports, tenants)

    def window(
        self, instance: RealInstance, load: Load, reload: bool = False, seed: int | None = None
    ) -> Window:
        """One window of load, with a reload in it where it is asked for; without a seed each is another."""
        self.windows += 1
        order = LoadOrder(
            host=LOOPBACK,
            instance_port=instance.port,
            kernel_port=self.below.ports.direct_kernel,
            rate=load.rate,
            seconds=load.seconds,
            seed=self.windows if seed is None else seed,
            connections=load.connections,
            tenants=tuple(tenant_name(number) for number in range(min(load.in_use, instance.tenants))),
            window=self.windows,
        )
        if reload:
            instance.put_file()
        with Generator(order) as generator:
            generator.wait_until(0.0)
            used = instance.processor_seconds()
            took = self._reload(instance, generator) if reload else None
            generator.wait_until(load.seconds)
            used = instance.processor_seconds() - used
            return Window(generator.outcome(), used, load.seconds, took)

    def _reload(self, instance: RealInstance, generator: Generator) -> float | None:
        generator.wait_until(RELOAD_AT)
        return instance.timed_reload(wait=reload_window(instance.tenants) - RELOAD_AT)

    def steady_window(
        self, instance: RealInstance, load: Load, what: str, reload: bool = False
    ) -> Window | None:
        """A window in which the generator kept its times; None where the machine was too busy each time."""
        for _ in range(TRIES):
            window = self.window(instance, load, reload)
            if not too_late(window.outcome.lateness):
                self._note_losses(window, what)
                return window
        self.collector.note(f"machine too busy: left out a window of {what}")
        return None

    def _note_losses(self, window: Window, what: str) -> None:
        outcome = window.outcome
        if outcome.refused or outcome.unanswered:
            self.collector.note(f"{what}: {outcome.refused} refused, {outcome.unanswered} unanswered")

    # ---- what is swept

    def against_tenants(self, tenants: int) -> None:
        """One life of an instance that knows so many tenants."""
        self.collector.progress(f"{tenants} tenants known")
        try:
            instance = self.start(tenants)
        except Refused as refused:
            self.collector.note(f"{tenants} tenants: not reached, the configuration is refused: {refused}")
            return
        with instance:
            self._warm_up(instance)
            self._memory(instance, tenants)
            self._at_target_load(instance, tenants)
            if tenants in MANY_KNOWN:
                self._many_in_use(instance, tenants)
            self._during_reload(instance, tenants)

    def _warm_up(self, instance: RealInstance) -> None:
        self.window(instance, Load(seconds=WARM_UP))

    def _memory(self, instance: RealInstance, tenants: int) -> None:
        memory = instance.memory()
        self._add("memory", Situation.LOAD, Size.TENANTS, Unit.BYTES, tenants, memory.private)
        self._add("memory PSS", Situation.LOAD, Size.TENANTS, Unit.BYTES, tenants, memory.shared_out)

    def _at_target_load(self, instance: RealInstance, tenants: int) -> None:
        window = self.steady_window(instance, Load(), f"{tenants} tenants known")
        if window is None:
            return
        self._add_quantiles(window, "", Size.TENANTS, tenants)
        self._add_not_served(window, Situation.LOAD, tenants)
        self.pooled.setdefault(tenants, []).extend(window.added.values())
        requests = len(window.outcome.due)
        processor = window.processor / requests
        self._add("processor a request", Situation.LOAD, Size.TENANTS, Unit.SECONDS, tenants, processor)

    def _many_in_use(self, instance: RealInstance, tenants: int) -> None:
        load = Load(seconds=SHORT, in_use=MANY_IN_USE)
        window = self.steady_window(instance, load, f"{tenants} tenants known, {MANY_IN_USE} in use")
        if window is not None:
            self._add_quantiles(window, f", {MANY_IN_USE} tenants in use", Size.TENANTS, tenants)

    def _during_reload(self, instance: RealInstance, tenants: int) -> None:
        load = Load(seconds=reload_window(tenants))
        window = self.steady_window(instance, load, f"{tenants} tenants known, a reload", reload=True)
        if window is None:
            return
        self._add_not_served(window, Situation.RELOAD, tenants)
        met = quantiles(window.added_by_reload)
        for name, seconds in (("p99.9", met.p999), ("longest", met.longest)):
            self._add(f"added time {name}", Situation.RELOAD, Size.TENANTS, Unit.SECONDS, tenants, seconds)
        if window.reload_seconds is None:
            self.collector.note(f"{tenants} tenants: a reload was not over within its window")
        else:
            took = window.reload_seconds
            self._add("signal to log line", Situation.RELOAD, Size.TENANTS, Unit.SECONDS, tenants, took)
        after = instance.memory().private
        self._add("memory after a reload", Situation.LOAD, Size.TENANTS, Unit.BYTES, tenants, after)

    def against_load(self) -> None:
        """One life of an instance under several rates, then with several numbers of connections."""
        with self.start(BASE_TENANTS) as instance:
            self._warm_up(instance)
            for rate in RATES:
                self._at_rate(instance, rate)
            for connections in CONNECTIONS:
                self._with_connections(instance, connections)

    def _at_rate(self, instance: RealInstance, rate: float) -> None:
        self.collector.progress(f"{rate:g} requests/s")
        window = self.steady_window(instance, Load(rate=rate, seconds=SHORT), f"{rate:g} requests/s")
        if window is None:
            return
        against = Size.REQUESTS_PER_SECOND
        self._add_quantiles(window, ", against requests/s", against, rate)
        share = window.processor / window.seconds
        self._add("processor", Situation.LOAD, against, Unit.CORE_SHARE, rate, share)

    def _with_connections(self, instance: RealInstance, connections: int) -> None:
        self.collector.progress(f"{connections} connections")
        load = Load(seconds=SHORT, connections=connections)
        window = self.steady_window(instance, load, f"{connections} connections")
        if window is None:
            return
        against = Size.CONNECTIONS
        self._add_quantiles(window, ", against connections", against, connections)
        share = window.processor / window.seconds
        name = "processor, against connections"
        self._add(name, Situation.LOAD, against, Unit.CORE_SHARE, connections, share)

    # ---- readings

    def _add(
        self, name: str, situation: Situation, against: Size, unit: Unit, size: float, reading: float
    ) -> None:
        self.collector.add(Cost(name, situation, against, unit), size, reading)

    def _add_quantiles(self, window: Window, suffix: str, against: Size, size: float) -> None:
        """What is added, and beside it the whole time and that without the instance."""
        parts = {"added time": list(window.added.values())}
        if not suffix:
            parts["time through the instance"] = list(window.outcome.through.values())
            parts["time without the instance"] = list(window.outcome.direct.values())
        for part, latencies in parts.items():
            found = quantiles(latencies)
            for name, seconds in (
                ("p50", found.p50),
                ("p99", found.p99),
                ("p99.9", found.p999),
                ("longest", found.longest),
            ):
                cost = f"{part} {name}{suffix}"
                self._add(cost, Situation.LOAD, against, Unit.SECONDS, size, seconds)

    def _add_not_served(self, window: Window, situation: Situation, tenants: int) -> None:
        lost = window.outcome.refused + window.outcome.unanswered
        self._add("requests not served", situation, Size.TENANTS, Unit.COUNT, tenants, lost)

    def add_pooled(self) -> None:
        """The quantiles over all repeats of a size together: one reading each."""
        for tenants, latencies in sorted(self.pooled.items()):
            found = quantiles(latencies)
            for name, seconds in (("p99", found.p99), ("p99.9", found.p999)):
                cost = f"added time {name}, repeats pooled"
                self._add(cost, Situation.LOAD, Size.TENANTS, Unit.SECONDS, tenants, seconds)
            self.collector.note(
                f"{tenants} tenants, repeats pooled: {found.count} pairs, so that p99.9 rests on "
                f"{found.count / 1_000:.1f} of them"
            )


def run(request: Request) -> Measured:
    """The whole sweep in some 5 minutes; the quick one, of counts and bytes alone, in under 15 s."""
    collector = Collector(request.progress)
    with Below() as below, tempfile.TemporaryDirectory() as folder:
        sweep = PathSweep(collector, below, Path(folder))
        if request.quick:
            _run_quick(sweep, request.sizes)
        else:
            _run_full(sweep, request.sizes)
    return collector.measured()


def _run_full(sweep: PathSweep, sizes: tuple[int, ...]) -> None:
    _note_conditions(sweep.collector)
    for repeat in range(REPEATS):
        for tenants in sizes:
            if sweep.collector.elapsed < NO_MORE_AFTER:
                sweep.against_tenants(tenants)
            else:
                sweep.collector.note(f"left out for time: {tenants} tenants, repeat {repeat + 1}")
        if sweep.collector.elapsed < NO_MORE_AFTER:
            sweep.against_load()
        else:
            sweep.collector.note(f"left out for time: rates and connections, repeat {repeat + 1}")
    sweep.add_pooled()


def _note_conditions(collector: Collector) -> None:
    steady, short = round(TARGET_RATE * STEADY), round(TARGET_RATE * SHORT)
    collector.note(
        f"{TARGET_RATE:g} requests/s over {BASE_CONNECTIONS} connections, {IN_USE} tenants in use, unless a "
        f"series says otherwise; against rates and connections {BASE_TENANTS} tenants are known"
    )
    collector.note(
        f"few samples: a reading against tenants rests on some {steady} pairs, p99 on {steady // 100} of "
        f"them and p99.9 on 1; others on some {short} pairs or fewer, where p99.9 is the longest"
    )
    collector.note(
        f"a reload is SIGHUP with a file in which one tenant's quota differs; requests due within "
        f"{RELOAD_SECOND:g} s of it, or until its log line where that is later, count as met by it"
    )
    collector.note("full collections are not forced: what they add is in what was measured as they came")
    collector.note("a request takes 0.5 to 3 ms of a core below the instance and makes no calls")


def _run_quick(sweep: PathSweep, sizes: tuple[int, ...]) -> None:
    collector = sweep.collector
    load = Load(QUICK_RATE, QUICK_SECONDS, QUICK_CONNECTIONS, min(sizes))
    for tenants in sizes:
        collector.progress(f"{tenants} tenants known")
        with sweep.start(tenants) as instance:
            outcome = sweep.window(instance, load, seed=QUICK_SEED).outcome
        both = len(added(outcome.through, outcome.direct))
        for name, count in (
            ("requests", len(outcome.due)),
            ("requests answered both ways", both),
            ("requests refused", outcome.refused),
            ("requests unanswered", outcome.unanswered),
        ):
            collector.add(Cost(name, Situation.LOAD, Size.TENANTS, Unit.COUNT), tenants, count)
        cost = Cost("bytes of requests", Situation.LOAD, Size.TENANTS, Unit.BYTES)
        collector.add(cost, tenants, outcome.bytes_out)
        collector.check(
            both == len(outcome.due), f"{tenants} tenants: {both} of {len(outcome.due)} answered both ways"
        )


SWEEP = Sweeping(
    name="request_path",
    about="what an instance adds to a request, and what serving costs it",
    sizes=TENANTS,
    quick_sizes=QUICK_TENANTS,
    least=1,
    most=MOST_TENANTS,
    run=run,
    need=need_of,
)
