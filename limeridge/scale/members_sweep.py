"""The sweep `members`: what each role of a fleet spends against the number of members, at rest, under churn
and when many are lost, cut off or come back at once.

All members are hollow ones (limeridge/scale/hollow.py). The rig here starts the worker processes, plays one
situation after the other and reads what each role's processes spent in a window of it.
"""

from __future__ import annotations

import math
import os
import random
import socket
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from itertools import pairwise, product
from pathlib import Path
from types import TracebackType

from limeridge.peers.messages import MAX_STREAM_BYTES
from limeridge.scale import bounds, meter, orders
from limeridge.scale.hollow import LEAVE_SECONDS, settings_text
from limeridge.scale.layout import RACK, RACK_SHARE, ZONE_LEAST, Fleet, Mode, Placement
from limeridge.scale.results import Point, Role, Series, Situation, Size, Unit
from limeridge.scale.sweeps import Measured, Refused, Request, Sweeping

SIZES = (50, 100, 200, 400, 800)
QUICK_SIZES = (12, 24)
LEAST, MOST = 8, 3_400
RUNS = 1  # of the fleets of each size
REPEATS = 3  # windows at rest, and under churn, within one run
TOGETHER_MOST = 1_600  # members of fleets that are measured at the same time
QUICK_SLOWDOWN = 0.4  # a quick sweep's rounds are shorter than a second
BLOCKS = range(160, 200)  # second byte of loopback addresses, one block a fleet
TARGET_MEMBERS, TARGET_EVERY = 3_400, 86_400 / 14_000  # members, seconds from one replacement to the next
CHURN_LEAST = 5  # replacements within a window

CORES_MEMBER, CORES_PAIR = 0.006, 1.2e-5  # a member's processor time at least, and for each other member
CORES_SHARE = 0.65  # of the machine's cores that fleets may want
SLOWDOWN_STEP = 0.5

# Bytes: of a worker without members, of a member, and of what a member holds of another, with room to spare.
WORKER_BYTES, MEMBER_BYTES, CLAIM_BYTES = 45 << 20, 200 << 10, 1_500
MEMBER_DESCRIPTORS, WORKER_DESCRIPTORS = 8, 64

UNITS = {
    "processor": Unit.CORE_SHARE,
    "bytes out": Unit.BYTES_PER_SECOND,
    "bytes in": Unit.BYTES_PER_SECOND,
    "packets out": Unit.PACKETS_PER_SECOND,
    "packets in": Unit.PACKETS_PER_SECOND,
    "memory": Unit.BYTES,
    "largest message": Unit.BYTES,
    "largest view": Unit.BYTES,
}
HEALING = ", as it heals"  # behind a cost's name: measured in the window after a cut


@dataclass(slots=True, frozen=True)
class Windows:
    """Seconds of the fleet that each part of a run lasts."""

    start: float = 2.0  # over which members start
    settle_most: float = 15.0  # until all must know all
    rest: float = 6.0
    churn: float = 5.0
    lost: float = 10.0  # after a rack or a zone is lost
    gone: float = 6.0  # that a region stays away
    back: float = 6.0  # after it has come back
    cut: float = 8.0
    heal: float = 5.0
    pause: float = 2.0  # between two situations


WINDOWS = Windows()
QUICK_WINDOWS = Windows(start=1.0, settle_most=60.0, rest=5.0)


@dataclass(slots=True, frozen=True)
class Key:
    """Whose cost, in which situation: a series, but for its points."""

    role: Role
    cost: str
    situation: Situation


@dataclass(slots=True)
class Readings:
    """What all runs gave: for each series, the readings at each size; and notes."""

    by_key: dict[Key, dict[int, list[float]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(list))
    )
    notes: list[str] = field(default_factory=list)

    def add(self, key: Key, size: int, reading: float) -> None:
        self.by_key[key][size].append(reading)

    def note(self, text: str) -> None:
        if text not in self.notes:
            self.notes.append(text)

    def largest_size(self) -> int:
        """Of those that gave any reading; 0 where none did."""
        return max((size for points in self.by_key.values() for size in points), default=0)

    def series(self) -> tuple[Series, ...]:
        return tuple(
            Series(
                key.cost,
                key.role,
                key.situation,
                Size.MEMBERS,
                UNITS[key.cost.removesuffix(HEALING)],
                tuple(Point(float(size), tuple(given)) for size, given in sorted(points.items())),
            )
            for key, points in self.by_key.items()
        )


@contextmanager
def claimed_block() -> Iterator[int]:
    """A block of loopback addresses that no other rig of this machine uses meanwhile. Raises Refused."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as claim:
        for block in BLOCKS:
            try:
                claim.bind((f"127.{block}.255.254", 1_024 + block))
            except OSError:
                continue
            yield block
            return
    raise Refused(
        f"members: all blocks of loopback addresses, 127.{BLOCKS[0]} to 127.{BLOCKS[-1]}, are in use"
    )


class RunningFleet:
    """The processes of one fleet, from start to end."""

    def __init__(self, fleet: Fleet, folder: Path, windows: Windows, own: meter.OwnTimer) -> None:
        self.fleet, self.windows, self.own = fleet, windows, own
        key = folder / f"key-{fleet.block}"
        key.write_bytes(b"a key of measurements")
        key.chmod(0o600)
        self.settings = folder / f"{fleet.block}.txtpb"
        self.settings.write_text(settings_text(fleet, str(key)))
        self.workers: list[meter.WorkerProcess] = []
        self.placements: list[Placement] = []
        self.empty: list[int] = []  # private bytes of each worker before it had members

    def __enter__(self) -> RunningFleet:
        try:
            self._spawn()
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end()

    def _spawn(self) -> None:
        """Service discovery's process and all workers, still without members."""
        for placement in (Placement(Role.SERVICE_DISCOVERY, ()), *self.fleet.placements()):
            begin = orders.Begin(self.fleet, placement.role, str(self.settings))
            self.workers.append(meter.WorkerProcess(placement.role, begin))
            self.placements.append(placement)
        for worker in self.workers:
            worker.answer()
        self.empty = [state.memory for state in self.states()]

    def end(self) -> None:
        for worker in self.workers:
            worker.end()
        self.workers = []

    # ---- orders

    def wait(self, seconds: float) -> None:
        """Seconds of the fleet."""
        time.sleep(seconds * self.fleet.slowdown)

    def to_all(self, order: orders.Order) -> list[orders.Answer]:
        for worker in self.workers:
            worker.tell(order)
        return [worker.answer() for worker in self.workers]

    def to_those_with(self, members: Iterable[int], order: Callable[[tuple[int, ...]], orders.Order]) -> None:
        """Each worker is told of the members that are its own."""
        meant = frozenset(members)
        told = []
        for worker, placement in zip(self.workers, self.placements, strict=True):
            own = tuple(number for number in placement.members if number in meant)
            if own:
                worker.tell(order(own))
                told.append(worker)
        for worker in told:
            worker.answer()

    def start(self, members: Iterable[int], spread: float) -> None:
        self.to_those_with(members, lambda own: orders.Start(own, spread))

    def lose(self, members: Iterable[int]) -> None:
        self.to_those_with(members, orders.Lose)

    def readings(self) -> list[orders.Reading]:
        return [each for each in self.to_all(orders.Read()) if isinstance(each, orders.Reading)]

    def states(self) -> list[orders.State]:
        return [each for each in self.to_all(orders.Look()) if isinstance(each, orders.State)]

    # ---- settling

    def start_all(self) -> None:
        """Those with a role first, so that duties are with them."""
        ordinary = set(self.fleet.ordinary())
        special = [number for number in range(self.fleet.count) if number not in ordinary]
        self.start(special, self.windows.start / 3)
        self.wait(self.windows.start / 2)
        self.start(ordinary, self.windows.start)
        self.wait(self.windows.start)

    def settle(self) -> bool:
        """Waits until all know all, have them in their view where views are made, and duties are where they
        are counted; duties that others took first are handed over. Whether it came to that in time."""
        duties = self.fleet.duties()
        to = {duty: self.fleet.name(number) for duty, number in duties.items()}
        whole = [self.fleet.count] * self.fleet.count
        until = time.monotonic() + self.windows.settle_most * self.fleet.slowdown
        while time.monotonic() < until:
            states = self.states()
            known = [each for state in states for each in state.known]
            views = [each for state in states for each in state.views]
            in_place = self.duties_in_place(states) == len(duties)
            if known == whole and in_place and (self.fleet.mode is Mode.BY_NEED or views == whole):
                return True
            if not in_place:
                self.to_all(orders.HandOver(to))
            self.wait(0.5)
        return False

    def duties_in_place(self, states: list[orders.State]) -> int:
        """How many duties are held by the processes whose cost is counted for them."""
        roles = (Role.LIST_READER, Role.DUTY_HOLDER)
        pairs = zip(states, self.placements, strict=True)
        return sum(state.holds for state, placement in pairs if placement.role in roles)


class Run:
    """One run of one fleet: its situations, and what they add to the readings."""

    def __init__(self, running: RunningFleet, readings: Readings, number: int) -> None:
        self.running, self.readings, self.number = running, readings, number
        self.fleet, self.windows = running.fleet, running.windows

    @property
    def label(self) -> str:
        return f"{self.fleet.count} members, {self.fleet.mode.value}, run {self.number + 1}"

    # ---- windows

    def window(self, situation: Situation, seconds: float, healing: bool = False, tries: int = 1) -> bool:
        """Measures one window; a reading for which the machine was too busy is dropped and, where `tries` are
        left, taken again. Whether there is one."""
        for _ in range(tries):
            before, begun = self.running.readings(), time.monotonic()
            self.running.wait(seconds)
            after = self.running.readings()
            try:
                meter.check_timers(self.running.own.since(begun), after, self.fleet.slowdown)
            except meter.TooBusy as busy:
                trouble = f"{busy}: {self.label}, {situation.value}{HEALING if healing else ''}: no figure"
                continue
            self._add(situation, before, after, HEALING if healing else "")
            return True
        self.readings.note(trouble)
        return False

    def _add(
        self, situation: Situation, before: list[orders.Reading], after: list[orders.Reading], suffix: str
    ) -> None:
        for role in dict.fromkeys(worker.role for worker in self.running.workers):
            if not self._measured(role):
                continue
            places = [place for place, worker in enumerate(self.running.workers) if worker.role is role]
            discovery = role is Role.SERVICE_DISCOVERY
            usage = meter.usage(
                [before[place] for place in places],
                [after[place] for place in places],
                self.fleet.slowdown,
                per_member=not discovery,
            )
            costs = {
                "processor": usage.processor,
                "bytes out": usage.bytes_out,
                "bytes in": usage.bytes_in,
                "packets out": usage.packets_out,
                "packets in": usage.packets_in,
                "largest message": float(usage.largest),
            }
            if discovery:
                del costs["processor"]  # a stand-in's says nothing of the platform's
            for cost, reading in costs.items():
                self.readings.add(Key(role, cost + suffix, situation), self.fleet.count, reading)

    def _measured(self, role: Role) -> bool:
        """A fleet that deals by need is there for the duty's holder; all else is taken from the others."""
        return self.fleet.mode is Mode.VIEWS or role is Role.DUTY_HOLDER

    def quick_rest(self) -> None:
        """A window in which late timers are not looked at: nothing that they could distort is judged."""
        before = self.running.readings()
        self.running.wait(self.windows.rest)
        self._add(Situation.REST, before, self.running.readings(), "")
        self.memory()

    def memory(self) -> None:
        """Of a member of each role; of the largest view; and whether duties are where they are counted."""
        states = self.running.states()
        by_role: dict[Role, list[int]] = defaultdict(list)
        for place, (worker, state) in enumerate(zip(self.running.workers, states, strict=True)):
            if state.known and self._measured(worker.role):
                held = state.memory - self.running.empty[place]
                by_role[worker.role] += [held, len(state.known)]
        for role, pairs in by_role.items():
            each = sum(pairs[::2]) / sum(pairs[1::2])
            self.readings.add(Key(role, "memory", Situation.REST), self.fleet.count, each)
        if self.fleet.mode is Mode.VIEWS:
            largest = max(state.view_bytes for state in states)
            self.readings.add(
                Key(Role.VOTER, "largest view", Situation.REST), self.fleet.count, float(largest)
            )
        held, duties = self.running.duties_in_place(states), len(self.fleet.duties())
        if held < duties:
            self.readings.note(f"{self.label}: {held} of {duties} duties were held where they are counted")
        for state in states:
            if state.faults:
                told = f"{state.faults}, the first {state.first_fault}"
                self.readings.note(f"{self.label}: exceptions in the members' code: {told}")

    # ---- situations

    def rest(self) -> None:
        self.window(Situation.REST, self.windows.rest, tries=3)
        self.memory()

    def churn(self, part: int = 0) -> None:
        """Replacements one by one, of members without a role; others in each part of a run."""
        every = churn_every(self.fleet.count, self.windows.churn)
        count = math.ceil(self.windows.churn / every)
        self.replace_some(count, every, part)
        if self.window(Situation.CHURN, self.windows.churn):
            self.readings.note(
                f"{Situation.CHURN.value}: one in {every:.2g} s at {self.fleet.count} members; the target's "
                f"rate is one in {target_every(self.fleet.count):.3g} s there"
            )

    def replace_some(self, count: int, every: float, part: int = 0) -> None:
        """So many members without a role, drawn anew for each part of a run."""
        ordinary = self.fleet.ordinary()
        chance = random.Random(f"churn {self.fleet.count} {self.number} {part}")
        chosen = chance.sample(ordinary, min(count, len(ordinary)))
        after = {number: place * every for place, number in enumerate(chosen)}
        self.running.to_those_with(
            after, lambda own: orders.Replace(own, tuple(after[number] for number in own))
        )

    def lose_rack(self) -> None:
        rack = self.fleet.rack()
        self.running.lose(rack)
        self.window(Situation.RACK, self.windows.lost)
        self.running.start(rack, 1.0)
        self.running.wait(self.windows.pause)

    def lose_zone_and_region(self) -> None:
        """The zone first; the rest of its region goes later, and all of it comes back at once."""
        zone = [n for n in range(self.fleet.count) if self.fleet.zone(n) == self.fleet.zones - 1]
        lost = self.fleet.region(zone[0])
        region = [n for n in range(self.fleet.count) if self.fleet.region(n) == lost]
        self.running.lose(zone)
        self.window(Situation.ZONE, self.windows.lost)
        self.running.lose(region)
        self.running.wait(self.windows.gone)
        self.running.start(region, 0.0)
        self.window(Situation.RETURN, self.windows.back)
        self.running.wait(self.windows.pause)

    def cut_and_heal(self) -> None:
        self.running.to_all(orders.Cut(healed=False))
        self.window(Situation.CUT, self.windows.cut)
        self.running.to_all(orders.Cut(healed=True))
        self.window(Situation.CUT, self.windows.heal, healing=True)


def target_every(members: int) -> float:
    """Seconds between two replacements at the target's rate, in proportion to the members."""
    return TARGET_EVERY * TARGET_MEMBERS / members


def churn_every(members: int, window: float) -> float:
    """The same, but short enough for several in a window."""
    return min(target_every(members), window / CHURN_LEAST)


# ---- which fleets are run, and what they need


def slowdown_for(members: Iterable[int], cores: int) -> float:
    """How many seconds a second of fleets of these sizes takes that are run at the same time."""
    wanted = sum(count * (CORES_MEMBER + CORES_PAIR * count) for count in members)
    steps = math.ceil(wanted / (CORES_SHARE * cores) / SLOWDOWN_STEP)
    return max(1.0, steps * SLOWDOWN_STEP)


def together(sizes: Iterable[int]) -> list[tuple[int, ...]]:
    """Sizes whose fleets are run at the same time."""
    groups: list[tuple[int, ...]] = []
    for size in sorted(sizes):
        if groups and sum(groups[-1]) + size <= TOGETHER_MOST:
            groups[-1] = (*groups[-1], size)
        else:
            groups.append((size,))
    return groups


def need(request: Request) -> bounds.Need:
    """The most that fleets run at the same time take."""
    groups = [
        [placement for size in group for placement in Fleet(size, Mode.VIEWS, BLOCKS[0]).placements()]
        for group in together(request.sizes)
    ]
    members = [sum(group) for group in together(request.sizes)]
    squares = [sum(size * size for size in group) for group in together(request.sizes)]
    return bounds.Need(
        max(
            WORKER_BYTES * (len(group) + 1) + MEMBER_BYTES * count + CLAIM_BYTES * square
            for group, count, square in zip(groups, members, squares, strict=True)
        ),
        max(len(group) for group in groups) + len(request.sizes),
        max(
            MEMBER_DESCRIPTORS * len(placement.members) + WORKER_DESCRIPTORS
            for group in groups
            for placement in group
        ),
    )


def measure(
    fleet: Fleet,
    folder: Path,
    own: meter.OwnTimer,
    readings: Readings,
    number: int,
    windows: Windows = WINDOWS,
) -> None:
    """One run of one fleet."""
    with RunningFleet(fleet, folder, windows, own) as running:
        run = Run(running, readings, number)
        running.start_all()
        if not running.settle():
            readings.note(f"{run.label}: not all knew all when the windows began")
        for _ in range(REPEATS):
            run.rest()
        if fleet.mode is Mode.BY_NEED:
            return
        for part in range(REPEATS):
            run.churn(part)
        run.running.wait(run.windows.pause)
        run.lose_rack()
        run.lose_zone_and_region()
        run.cut_and_heal()


def full(request: Request) -> Measured:
    """All sizes, several runs of each; fleets of small sizes at the same time."""
    readings = Readings()
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        own = stack.enter_context(meter.OwnTimer())
        blocks = [stack.enter_context(claimed_block()) for _ in request.sizes]
        block_of = dict(zip(request.sizes, blocks, strict=True))
        for mode, number in product(Mode, range(RUNS)):
            for group in together(request.sizes):
                slowdown = slowdown_for(group, os.cpu_count() or 1)
                request.progress(
                    f"members: {mode.value}, run {number + 1}, {', '.join(map(str, group))} members, "
                    f"a second in {slowdown:g}"
                )
                fleets = [Fleet(size, mode, block_of[size], slowdown) for size in group]
                measure_all(fleets, folder, own, readings, number)
    add_notes(request.sizes, readings)
    return Measured(readings.series(), tuple(readings.notes))


def measure_all(
    fleets: list[Fleet], folder: Path, own: meter.OwnTimer, readings: Readings, number: int
) -> None:
    """All of these at the same time."""
    with ThreadPoolExecutor(len(fleets)) as pool:
        runs = [pool.submit(measure, fleet, folder, own, readings, number) for fleet in fleets]
        for run, fleet in zip(runs, fleets, strict=True):
            try:
                run.result()
            except meter.WorkerLost as lost:
                readings.note(
                    f"{fleet.count} members, {fleet.mode.value}, run {number + 1}: broken off: {lost}"
                )


def add_notes(sizes: tuple[int, ...], readings: Readings) -> None:
    """What the figures are, and are not."""
    windows = WINDOWS
    for group in together(sizes):
        slowdown = slowdown_for(group, os.cpu_count() or 1)
        shown = ", ".join(map(str, group))
        readings.note(
            f"{shown} members: measured at the same time, each second of the fleet in {slowdown:g} s; "
            "figures are for a second of the fleet"
        )
    readings.note(f"largest size reached: {readings.largest_size()} members")
    readings.note(
        f"runs of each size: {RUNS}, each with {REPEATS} windows at rest, {REPEATS} under churn and one of "
        "each loss and cut, for want of time on the machine; duty holder: at rest alone"
    )
    readings.note(
        f"windows in seconds of the fleet: rest {windows.rest:g}, churn {windows.churn:g}, after a loss "
        f"{windows.lost:g}, after a return {windows.back:g}, cut {windows.cut:g}, healing {windows.heal:g}; "
        f"a region returns {windows.lost + windows.gone:g} s after its first members were lost"
    )
    readings.note(
        f"a rack is {RACK} ordinary members, and {RACK_SHARE:.0%} of a fleet where {RACK} would be more; "
        f"a fleet has {Fleet(max(sizes), Mode.VIEWS, 0).zones} zones at most, of {ZONE_LEAST} members or more"
    )
    readings.note(
        "bytes are payload at the socket calls; TCP packets are counted as segments of 1,448 bytes and three "
        "more a side for each connection, without acknowledgements; a lost member's TCP port refuses at once"
    )
    readings.note(
        "per member of the role, but for service discovery, whose figures are in total; duty holder: "
        "a fleet of its own that deals by need"
    )


# ---- quick


def quick(request: Request) -> Measured:
    """Counts and bytes at small sizes; no figure of time or memory is given or judged."""
    readings, failed = Readings(), list[str]()
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        own = stack.enter_context(meter.OwnTimer())
        blocks = [stack.enter_context(claimed_block()) for _ in request.sizes]
        request.progress(f"members: {', '.join(map(str, request.sizes))} members at the same time")
        fleets = [
            Fleet(size, Mode.VIEWS, block, QUICK_SLOWDOWN)
            for size, block in zip(request.sizes, blocks, strict=True)
        ]
        with ThreadPoolExecutor(len(fleets)) as pool:
            for told in pool.map(lambda fleet: quick_run(fleet, folder, own, readings), fleets):
                failed += told
    series = tuple(each for each in readings.series() if each.cost not in ("processor", "memory"))
    return Measured(series, tuple(readings.notes), (*failed, *checked(series)))


def quick_run(fleet: Fleet, folder: Path, own: meter.OwnTimer, readings: Readings) -> list[str]:
    """One fleet comes to know all, at the start and after a replacement."""
    failed: list[str] = []
    with RunningFleet(fleet, folder, QUICK_WINDOWS, own) as running:
        run = Run(running, readings, 0)
        running.start_all()
        if not running.settle():
            failed.append(f"{fleet.count} members: not all know all")
        run.quick_rest()
        run.replace_some(1, 0.0)
        running.wait(2 * LEAVE_SECONDS)
        if not running.settle():
            failed.append(f"{fleet.count} members: not all know all after a replacement")
    return failed


def checked(series: tuple[Series, ...]) -> list[str]:
    """The checks that do not hold, one line each."""
    failed: list[str] = []
    for each in series:
        least = min(reading for point in each.points for reading in point.readings)
        if least <= 0 and each.role is not Role.SERVICE_DISCOVERY:
            failed.append(f"{each.key}: expected more than nothing")
        if each.cost == "largest message" and any(
            max(point.readings) > MAX_STREAM_BYTES for point in each.points
        ):
            failed.append(f"{each.key}: expected {MAX_STREAM_BYTES} bytes at most")
        if each.cost == "largest view":
            sizes = [max(point.readings) for point in each.points]
            if any(later <= earlier for earlier, later in pairwise(sizes)):
                failed.append(f"{each.key}: expected it to grow with the members")
    return failed


def run(request: Request) -> Measured:
    """The sweep as it is registered."""
    return quick(request) if request.quick else full(request)


SWEEP = Sweeping(
    "members",
    "what each role of a fleet spends, by the number of members",
    SIZES,
    QUICK_SIZES,
    LEAST,
    MOST,
    run,
    need,
)
