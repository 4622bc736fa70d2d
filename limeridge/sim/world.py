"""Runs a plan: machines with instances and kernels, a ledger, a node list and callers on one virtual clock.

This module starts and stops processes, begins and ends faults, feeds the oracles after every step and
computes the digest. The plan decides what happens, and the oracles check the rules.
"""

from __future__ import annotations

import gc
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import combinations
from typing import Any

import orjson
import xxhash
from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure

from limeridge.config import read, reading
from limeridge.interface import Stage
from limeridge.net.log import Log
from limeridge.net.service import Instance
from limeridge.sim.bad_callers import BadCallers
from limeridge.sim.links import Links
from limeridge.sim.oracles import Oracles, RuleViolation
from limeridge.sim.plan import (
    ABANDONED_CALL_LINGER,
    CUT_ENDPOINTS,
    LEDGER_IP,
    MS,
    NODE_LIST_IP,
    PEER_PORT,
    PEERS_ENDPOINT,
    PROBE_IP,
    PROTOCOL_KINDS,
    RUDE_CALLER_IP,
    RUDE_CALLER_KINDS,
    Fault,
    Fleet,
    Kind,
    Plan,
    PlannedTxn,
    caller_ip,
    instance_ip,
    kernel_ip,
    overlapping_fault_kinds,
)
from limeridge.sim.reactor import Network, Reactor, Socket
from limeridge.sim.timeline import SECOND, START_TIME, Life, Timeline
from limeridge.sim.wires import Recorder, WireEvent
from limeridge.standins.callers import MisbehavingCaller, MisbehavingCallerFactory, Stub, StubOptions, TxnSpec
from limeridge.standins.kernel import Kernel
from limeridge.standins.ledger import Ledger
from limeridge.standins.nodelist import NodeList

UNIX_TIME_AT_ZERO = 1_764_576_000 * SECOND  # Unix time at virtual time 0
MAX_RECENT_EVENTS = 400  # listed in the report of a violation
MAX_STEPS_PER_TICK = 20_000  # more count as a livelock
DEADLINE_CHECK_INTERVAL = 5 * MS  # between two checks for missed deadlines
KERNEL_PORTS = 7300, 7301
MAX_CLOCK_DRIFT = 0.001  # of a machine's clock, as a share; members rely on this bound
# From the quiet point until all members must know each other and the limit must be allotted.
MEMBERSHIP_TIMEOUT = 8 * SECOND
OLD_PORT_CLOSE_DELAY = 400 * MS  # from a reload until the kernel closes its previous port
SETTLE_TIME = 1_300 * MS  # from the end of the last fault until all must serve again
PROBE_TIMEOUT = 2_500 * MS
FINAL_ANSWER_TIMEOUT = 4 * SECOND
NODE_LIST_TIMEOUT = 3 * SECOND  # a reporting instance is listed within it despite lost reports
MAX_STEPS = 2_000_000  # per run; more count as a livelock
SIGHUP, SIGTERM = 1, 15


@dataclass(slots=True)
class Outcome:
    """The result of a run; `at` is in microseconds from its start."""

    seed: int
    scenario: str
    digest: str
    steps: int
    txns: int
    instances: int
    rule: str = ""
    ref: str = ""
    what: str = ""
    who: str = ""
    at: int = 0
    recent: list[str] = field(default_factory=list)
    came: list[tuple[str, int, int]] = field(default_factory=list)
    pairs: list[tuple[str, str]] = field(default_factory=list)
    judged: dict[str, int] = field(default_factory=dict)
    states: dict[str, int] = field(default_factory=dict)


Record = Callable[[int, int, str, str, str], None]  # step, time, who, kind, ref


class Machine:
    """An instance and its kernel, across restarts."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.name = world, number, f"n{number}"
        self.start_count = 0
        self.unix_offset = 0  # microseconds
        self.uses_alternate_addresses = False
        self.config_file = orjson.dumps(world.plan.config(number))
        self.life: Life | None = None
        self.kernel_life: Life
        self.instance: Instance | None = None
        self.oracles: Oracles
        self.reactor: Reactor
        self.kernel: Kernel
        self.kernel_reactor: Reactor
        self.paused = 0
        self.speed = 1.0
        self.duplicate_notice_share = 0.0
        self.draining = False
        self.peer_link: Any = None  # to the peers
        self.drift = world.rng_for(f"drift {number}").uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.earlier_calls: list[tuple[int, int]] = []  # begin and end of the calls of previous processes
        self.triggered_faults: list[list[Any]] = []  # waiting for events: fault, number of events remaining

    # ---- start and end

    def start(self, cold: bool) -> None:
        world, plan, now = self.world, self.world.plan, self.world.timeline.now
        self.start_count += 1
        self.draining = False
        world.bad_callers.on_instance_start(self)
        kernel_life = self.kernel_life = Life(
            f"k{self.number}", kernel_ip(self.number), self.start_count, now
        )
        self.kernel_reactor = Reactor(world.network, kernel_life, world.raise_standin_failure)
        boot = plan.boot / SECOND
        self.kernel = Kernel(
            self.kernel_reactor,
            plan.cores,
            world.rng_for(f"kernel {self.number} {self.start_count}"),
            world.finished_refs.__contains__,
            boot_s=boot,
            cold=cold,
            memory_kb=plan.memory_kb,
        )
        self.kernel.on_wrong_reply = lambda ref: self.report_violation(
            RuleViolation("reply", ref, "the kernel accepted a reply to another call")
        )
        self.kernel.speed, self.kernel.duplicate_share = self.speed, self.duplicate_notice_share
        for port in KERNEL_PORTS:
            self.kernel_reactor.listenTCP(port, self.kernel)
        config = (
            orjson.loads(self.config_file)
            if self.config_is_valid()
            else plan.config(self.number, self.uses_alternate_addresses)
        )
        config["settings"]["familyInfo"]["justStarted"] = cold
        config["seed"] = plan.config(self.number, lifetime=self.start_count)["seed"]
        self.config_file = orjson.dumps(config)
        self.life = Life(self.name, instance_ip(self.number), self.start_count, now)
        self.oracles = Oracles(
            plan,
            now,
            lambda: UNIX_TIME_AT_ZERO + self.unix_offset,
            lambda: bool(self.paused),
            self.record_event,
            world.judged,
            now + plan.boot,
            cold,
            self.earlier_calls,
        )
        tap = Recorder(
            frozenset(product.name for product in plan.products),
            frozenset((kernel_ip(self.number), port) for port in KERNEL_PORTS),
            frozenset((LEDGER_IP, port) for port in (8900, 8901)),
            self.on_wire_event,
        )
        self.reactor = Reactor(world.network, self.life, self.log_failure, tap, plan.sockets)
        self.reactor.stopped = self.on_exit
        log = Log(self.name, clock=self.reactor.seconds, wall_clock=self.unix_time, write=self.write_log)

        def reread(before: Any, now: int) -> Any:
            return reading("config", lambda _: [self.config_file], before, now)

        setup = read("config", lambda _: [self.config_file])
        self.instance = Instance(setup, self.reactor, log, reread, self.unix_time)
        if plan.fleet is not None:
            self.peer_link = self.make_peer_link(plan.fleet, log)
            self.instance.attach_peers(self.peer_link)
        self.reactor.callWhenRunning(self.instance.start)
        if self.paused:
            self.life.paused = kernel_life.paused = True

    def make_peer_link(self, fleet: Fleet, log: Log) -> Any:
        """Builds the membership link, which uses the drifting clock of this machine."""
        from limeridge.peers.link import MemberService
        from limeridge.peers.messages import derive_key
        from limeridge.peers.peer import Intervals
        from limeridge.peers.setup import PeerSetup
        from limeridge.peers.shares import Terms

        world, plan = self.world, self.world.plan
        terms = Terms(
            fleet.limit,
            plan.instances,
            tuple(f"n{number}" for number in range(fleet.voters)),
            doubles=0,  # a successor starts once its predecessor has ended
            floor_share=fleet.floor_share,
            lease=fleet.lease,
            longest=max(product.expiry for product in plan.products) + fleet.linger,
            settle=fleet.settle,
            drift=MAX_CLOCK_DRIFT,
        )
        peers = PeerSetup(
            ("", PEER_PORT),
            None,
            "",
            tuple((instance_ip(number), PEER_PORT) for number in range(min(3, plan.instances))),
            "",
            derive_key("sim", b"sim"),
            Intervals.from_probe_interval(fleet.interval),
            terms,
            fleet.linger,
            True,
        )
        nonce = world.rng_for(f"nonce {self.number} {self.start_count}").getrandbits(56)
        return MemberService(
            read("config", lambda _: [self.config_file]),
            peers,
            self.reactor,
            log,
            lambda: int(world.timeline.now * (1 + self.drift)),
            self.unix_time,
            lambda: nonce,
        )

    def config_is_valid(self) -> bool:
        try:
            orjson.loads(self.config_file)["settings"]["classes"]
        except (ValueError, KeyError, TypeError):
            return False
        return True

    def move_kernel(self) -> None:
        """Listens on the port that the configuration names now; closes the old one and its links later."""
        new, old = (
            KERNEL_PORTS[self.uses_alternate_addresses],
            KERNEL_PORTS[not self.uses_alternate_addresses],
        )
        reactor, world = self.kernel_reactor, self.world
        if (reactor.life.ip, new) not in world.network.listeners:
            reactor.listenTCP(new, self.kernel)

        def close() -> None:
            if reactor.life.alive and KERNEL_PORTS[self.uses_alternate_addresses] == new:
                for port in reactor.ports:
                    if port.address[1] == old and port.open:
                        port.close()
                for socket in list(reactor.sockets.values()):
                    if socket.host[1] == old:
                        world.reset_connection(socket)

        world.timeline.schedule(world.timeline.now + OLD_PORT_CLOSE_DELAY, None, "moved", close)

    def send_signal(self, number: int) -> None:
        if self.instance is not None:
            self.instance.record_signal(number)
            self.reactor.callFromThread(self.instance.signal_handlers()[number])

    def on_exit(self) -> None:
        """The process ended without being killed."""
        self.record_event("exit", "")
        self.world.run_check(self, lambda: self.oracles.on_process_exit(self.world.timeline.now))
        self.terminate(in_order=True)

    def terminate(self, in_order: bool) -> None:
        if self.instance is not None:
            self.oracles.process_ended = True
            now = self.world.timeline.now
            spans = [*self.earlier_calls, *self.oracles.call_spans(now, linger=ABANDONED_CALL_LINGER)]
            self.earlier_calls = [span for span in spans if span[1] > now - self.world.plan.calls_over]
            self.instance = None
            self.reactor.shut(in_order)
            self.kernel_reactor.shut(in_order)

    def set_paused(self, paused: bool) -> None:
        self.paused += 1 if paused else -1
        if self.instance is None or self.life is None:
            return
        if paused:
            self.life.paused = self.kernel_life.paused = True
        elif not self.paused:
            self.world.timeline.resume(self.life)
            self.world.timeline.resume(self.kernel_life)
            self.oracles.on_resume(self.world.timeline.now)

    def unix_time(self) -> float:
        return (UNIX_TIME_AT_ZERO + self.world.timeline.now + self.unix_offset) / SECOND

    # ---- callbacks

    def on_wire_event(self, event: WireEvent) -> None:
        try:
            self.oracles.turn = self.world.timeline.steps
            self.oracles.on_event(self.world.timeline.now, event)
        except RuleViolation as violation:
            self.report_violation(violation)
        self.world.bad_callers.on_event(self, event)

    def write_log(self, line: bytes) -> int:
        if self.world.record is not None:
            self.world.record(
                self.world.timeline.steps,
                self.world.timeline.now - START_TIME,
                self.name,
                "log",
                line.decode().strip(),
            )
        if b'"trace"' in line or b'"overdue"' in line:
            value = orjson.loads(line)
            self.world.run_check(
                self,
                lambda: self.oracles.on_log_line(
                    value["event"], value.get("code", ""), line.decode() + "exception"
                ),
            )
        return len(line)

    def log_failure(self, failure: Failure) -> None:
        if self.instance is not None:
            self.instance.log_reactor_failure({"log_failure": failure})

    def report_violation(self, violation: RuleViolation) -> None:
        self.world.report_violation(violation, self.name)

    def record_event(self, kind: str, ref: str) -> None:
        self.world.record_event(self.name, kind, ref)
        for pending in self.triggered_faults:
            if pending[0].trigger == kind and pending[1] > 0:
                pending[1] -= 1
                if not pending[1]:
                    world, fault = self.world, pending[0]
                    world.timeline.schedule(
                        world.timeline.now + fault.lag, None, "fault", world.begin_fault, fault
                    )


class World:
    def __init__(self, plan: Plan, record: Record | None = None) -> None:
        self.plan, self.record = plan, record
        self.timeline = Timeline(self.rng_for("order"), plan.quantum, plan.ties)
        self.links = Links(self.rng_for("links"), plan.weather)
        self.network = Network(self.timeline, self.links)
        self.digest = xxhash.xxh3_128()
        self.recent: deque[str] = deque(maxlen=MAX_RECENT_EVENTS)
        self.judged: Counter[str] = Counter()
        self.finished_refs: set[str] = set()  # answered or abandoned; used only for membership tests
        self.applied_faults: list[tuple[Kind, int, int]] = []
        self.violation: tuple[RuleViolation, str, int] | None = None
        self.fault_rng = self.rng_for("trouble")
        self.bad_callers = BadCallers(self, self.rng_for("bad callers"))
        self.last_heal = START_TIME + plan.quiet
        self.quiet = False
        self.active_heals: list[Callable[[], None]] = []  # each ends a fault that is in effect
        self.machines = [Machine(self, number) for number in range(plan.instances)]
        self.cases: list[Any] = []

    def rng_for(self, name: str) -> random.Random:
        return random.Random(f"{self.plan.seed} {name}")

    # ---- events and violations

    def record_event(self, who: str, kind: str, ref: str) -> None:
        text = f"{self.timeline.now - START_TIME:>9} {who} {kind} {ref}"
        self.digest.update(text.encode())
        self.recent.append(text)
        if self.record is not None:
            self.record(self.timeline.steps, self.timeline.now - START_TIME, who, kind, ref)

    def report_violation(self, violation: RuleViolation, who: str) -> None:
        if self.violation is None:
            self.violation = violation, who, self.timeline.now - START_TIME

    def run_check(self, machine: Machine, check: Callable[[], None]) -> None:
        """Reports a violation here: oracles run inside the instance's code, which must not catch it."""
        try:
            check()
        except RuleViolation as violation:
            self.report_violation(violation, machine.name)

    def raise_standin_failure(self, failure: Failure) -> None:
        raise failure.value  # type: ignore[misc]

    def on_twisted_event(self, event: Any) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            self.report_violation(RuleViolation("exception", "", failure.getTraceback()[-1_500:]), "?")

    def handle_failure(self, life: Life | None, failure: Failure) -> None:
        machine = next((each for each in self.machines if each.life is life and life is not None), None)
        if machine is None:
            raise failure.value  # type: ignore[misc]
        machine.log_failure(failure)

    # ---- services and callers

    def start_services(self) -> None:
        """Starts the ledger, the node list and the callers."""
        plan = self.plan
        self.ledger: Ledger
        self.ledger_reactor: Reactor
        self.ledger_faults: dict[str, float] = {}
        self.start_ledger()
        self.node_list_life = Life("list", NODE_LIST_IP)
        self.start_node_list()
        self.stubs: list[Stub] = []
        self.stub_reactors: list[Reactor] = []
        for number in range(len(plan.callers)):
            self.stub_reactors.append(self.make_reactor(f"c{number}", caller_ip(number)))
            self.stubs.append(self.make_stub(number))
        self.rude_reactor = self.make_reactor("rude", RUDE_CALLER_IP)
        self.probe_reactor = self.make_reactor("probe", PROBE_IP)

    def make_reactor(self, name: str, ip: str) -> Reactor:
        return Reactor(self.network, Life(name, ip), self.raise_standin_failure)

    def start_ledger(self) -> None:
        self.ledger_reactor = self.make_reactor("ledger", LEDGER_IP)
        self.ledger = Ledger(
            self.ledger_reactor,
            self.rng_for(f"ledger {self.timeline.now}"),
            slots=max(4, int(self.plan.calls_out * self.plan.instances)),
        )
        self.ledger.on_call_count = self.check_ledger_limit
        for name, value in self.ledger_faults.items():
            setattr(self.ledger, name, value)
        for port in (8900, 8901):
            self.ledger_reactor.listenTCP(port, self.ledger)

    def check_ledger_limit(self, count: int) -> None:
        fleet = self.plan.fleet
        if fleet is not None:
            self.judged["limit"] += 1
            if count > fleet.limit:
                self.report_violation(
                    RuleViolation("limit", "", f"{count} calls at the ledger, the limit is {fleet.limit}"),
                    "?",
                )

    def start_node_list(self) -> None:
        self.node_list_reactor = self.make_reactor("list", NODE_LIST_IP)
        self.node_list = NodeList(self.node_list_reactor)
        alternate_list = NodeList(self.node_list_reactor)  # at the alternate address, with the same entries
        alternate_list.reports = self.node_list.reports
        for port, node_list in ((7946, self.node_list), (7947, alternate_list)):
            self.node_list_reactor.listenUDP(port, node_list)

    def make_stub(self, number: int) -> Stub:
        caller = self.plan.callers[number]
        # Every third caller idles until its connection is closed, despite a farewell. This is not drawn, so
        # that the plans of existing seeds stay the same.
        habit = StubOptions(
            caller.tries, caller.heeds, caller.sticky, caller.hedges, keeps_connections=number % 3 == 2
        )
        names = tuple(machine.name for machine in self.machines)
        stub = Stub(
            self.stub_reactors[number],
            number,
            habit,
            self.rng_for(f"caller {number} {self.timeline.now}"),
            lambda: self.node_list.visible_names() or names,
            self.instance_address,
            self.instance_time,
            self.on_txn_ended,
        )
        stub.start(health_checks=number == 0 and self.plan.checks)
        return stub

    def instance_address(self, name: str) -> tuple[str, int]:
        return instance_ip(int(name[1:])), 8443

    def instance_time(self, name: str) -> float:
        return self.machines[int(name[1:])].unix_time()

    def on_txn_ended(self, ref: str) -> None:
        self.finished_refs.add(ref)
        for machine in self.machines:
            if machine.instance is not None and ref in machine.kernel.runs:
                machine.kernel.cancel_finished_txn(ref)

    # ---- traffic

    def send_txn(self, txn: PlannedTxn, number: int) -> None:
        stub = self.stubs[txn.caller]
        stub.submit(self.make_want(txn, number))
        self.cases.append(stub.txns[-1])

    def make_want(self, txn: PlannedTxn, number: int) -> TxnSpec:
        product = self.plan.products[txn.product]
        return TxnSpec(
            number,
            product.name,
            PROTOCOL_KINDS[product.kind],
            f"c{txn.customer}" if txn.customer >= 0 else "",
            txn.key,
            txn.size_kb,
            txn.patience,
            product.expiry // MS,
            b"work=%d calls=%d op=%d n=%d" % (txn.work, txn.calls, txn.op, number),
            txn.work / MS if txn.effort else 0.0,
        )

    # ---- faults

    def arm_trigger(self, fault: Fault) -> None:
        machine = self.machines[fault.target % len(self.machines)]
        machine.triggered_faults.append([fault, fault.nth])

    def begin_fault(self, fault: Fault) -> None:
        if self.quiet:
            return
        now, until = self.timeline.now, START_TIME + self.plan.quiet
        heal = getattr(self, "_" + fault.kind.name.lower())(fault)
        if heal is False:
            return
        end = min(now + fault.lasts, until) if heal is not None else now
        self.applied_faults.append((fault.kind, now - START_TIME, end - START_TIME))
        self.record_event("world", fault.kind.value, str(fault.target))
        if heal is not None:
            self.active_heals.append(heal)
            self.timeline.schedule(end, None, "heal", self.heal_fault, heal)

    def heal_fault(self, heal: Callable[[], None]) -> None:
        if heal in self.active_heals:
            self.active_heals.remove(heal)
            heal()

    def target_machine(self, fault: Fault) -> Machine:
        return self.machines[fault.target % len(self.machines)]

    def running_target(self, fault: Fault) -> Machine | None:
        machine = self.target_machine(fault)
        return machine if machine.instance is not None else None

    def _kill(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        if machine is None:
            return False
        machine.terminate(in_order=self.fault_rng.random() < 0.5)
        self.schedule_restart(machine, int(fault.amount * SECOND))
        return None

    def schedule_restart(self, machine: Machine, after: int) -> None:
        at = self.timeline.now + after
        self.last_heal = max(self.last_heal, at + self.plan.boot)

        def restart() -> None:
            if machine.instance is None:
                machine.start(cold=True)

        self.timeline.schedule(at, None, "start", restart)

    def _drain(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        if machine is None or machine.draining:
            return False
        machine.draining = True
        machine.send_signal(SIGTERM)
        machine.oracles.on_drain_notice(self.timeline.now)
        start_count = machine.start_count
        kill_at = self.timeline.now + self.plan.stop
        self.last_heal = max(self.last_heal, kill_at + self.plan.boot)
        self.bad_callers.on_drain_notice(machine)

        def kill() -> None:
            if machine.start_count == start_count:
                if machine.instance is not None:
                    machine.terminate(in_order=False)
                self.schedule_restart(machine, 10 * MS)

        self.timeline.schedule(kill_at, None, "kill", kill)
        return None

    def _pause(self, fault: Fault) -> Any:
        machine = self.target_machine(fault)
        machine.set_paused(True)
        return lambda: machine.set_paused(False)

    def _slow_cores(self, fault: Fault) -> Any:
        machine = self.target_machine(fault)

        def set_speed(speed: float) -> None:
            machine.speed = speed
            if machine.instance is not None:
                machine.kernel.set_speed(speed)

        set_speed(fault.amount)
        return lambda: set_speed(1.0)

    def _reload(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        if machine is None:
            return False
        machine.uses_alternate_addresses = not machine.uses_alternate_addresses
        machine.config_file = orjson.dumps(self.plan.config(machine.number, machine.uses_alternate_addresses))
        machine.move_kernel()
        machine.send_signal(SIGHUP)
        return None

    def _reload_bad(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        if machine is None:
            return False
        good = machine.config_file
        bad = orjson.loads(good) if machine.config_is_valid() else {}
        bad.get("settings", {}).pop("classes", None)
        invalid = machine.config_file = self.fault_rng.choice((b"", b"[]", b"\xff\xfe", orjson.dumps(bad)))
        machine.send_signal(SIGHUP)

        def restore() -> None:
            if machine.config_file is invalid:
                machine.config_file = orjson.dumps(
                    self.plan.config(machine.number, machine.uses_alternate_addresses)
                )

        return restore

    def _reload_half(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        if machine is None:
            return False
        machine.uses_alternate_addresses = not machine.uses_alternate_addresses
        data = orjson.dumps(self.plan.config(machine.number, machine.uses_alternate_addresses))
        partial_file = machine.config_file = data[: int(self.fault_rng.random() * len(data))]
        machine.move_kernel()
        machine.send_signal(SIGHUP)

        def complete() -> None:
            if machine.config_file is partial_file:
                machine.config_file = data

        return complete

    def _link_break(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        links = (
            []
            if machine is None
            else [
                socket
                for socket in machine.reactor.sockets.values()
                if socket.peer[0] == kernel_ip(machine.number) and socket.connected
            ]
        )
        for socket in links:
            self.reset_connection(socket)
        return None if links else False

    def reset_connection(self, socket: Socket) -> None:
        """Resets both ends, each after a delay; data in flight is lost."""
        for flow in (socket.inn, socket.out):
            flow.broken = True
            flow.air.clear()
        socket.out.buffer.clear()
        socket.reset_soon()
        socket.other.reset_soon()

    def _notices_doubled(self, fault: Fault) -> Any:
        machine = self.target_machine(fault)

        def set_share(share: float) -> None:
            machine.duplicate_notice_share = share
            if machine.instance is not None:
                machine.kernel.duplicate_share = share

        set_share(fault.amount)
        return lambda: set_share(0.0)

    def _ledger(self, name: str, value: float, default: float) -> Any:
        def set_value(new: float) -> None:
            self.ledger_faults[name] = new
            setattr(self.ledger, name, new)

        set_value(value)
        return lambda: set_value(default)

    def _ledger_slow(self, fault: Fault) -> Any:
        return self._ledger("slowdown", fault.amount, 1.0)

    def _ledger_full(self, fault: Fault) -> Any:
        return self._ledger("refused_share", fault.amount, 0.0)

    def _ledger_fails(self, fault: Fault) -> Any:
        return self._ledger("failed_share", fault.amount, 0.0)

    def _ledger_loses(self, fault: Fault) -> Any:
        return self._ledger("lost_share", fault.amount, 0.0)

    def _ledger_spoils(self, fault: Fault) -> Any:
        return self._ledger("corrupted_share", fault.amount, 0.0)

    def _ledger_doubles(self, fault: Fault) -> Any:
        return self._ledger("duplicated_share", fault.amount, 0.0)

    def _ledger_down(self, fault: Fault) -> Any:
        if not self.ledger_reactor.life.alive:
            return False
        self.ledger_reactor.shut(in_order=self.fault_rng.random() < 0.5)
        return self.start_ledger

    def _node_list_down(self, fault: Fault) -> Any:
        if not self.node_list_reactor.life.alive:
            return False
        self.node_list_reactor.shut(in_order=True)
        return self.start_node_list

    def _rude(self, fault: Fault) -> Any:
        machine = self.target_machine(fault)
        count, kind = divmod(int(fault.amount), RUDE_CALLER_KINDS)
        for _ in range(max(1, count)):
            rude = MisbehavingCaller(
                MisbehavingCaller.KINDS[kind],
                self.rude_reactor,
                self.fault_rng,
                self.plan.products[0].name,
                machine.unix_time,
            )
            self.rude_reactor.connectTCP(
                instance_ip(machine.number), 8443, MisbehavingCallerFactory(rude), timeout=1.0
            )
        return None

    def _key_copy(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        if machine is None or not self.bad_callers.copy_keys(machine, max(1, int(fault.amount))):
            return False
        return None

    def _send_at_close(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        if machine is None:
            return False
        self.bad_callers.connect_idle_callers(machine, max(1, int(fault.amount)))
        return None

    def _clock_step(self, fault: Fault) -> Any:
        machine = self.target_machine(fault)
        machine.unix_offset += int(fault.amount * SECOND)
        if machine.instance is not None:
            machine.oracles.on_clock_step(self.timeline.now)
        return None

    def _caller_restart(self, fault: Fault) -> Any:
        number = fault.target % len(self.stubs)
        for ref in list(self.stubs[number].txn_by_ref):
            self.on_txn_ended(ref)
        for case in self.stubs[number].txns:
            if case.state == "open":
                case.state = "forgotten"
        self.stub_reactors[number].shut(in_order=self.fault_rng.random() < 0.5)
        self.stub_reactors[number] = self.make_reactor(f"c{number}", caller_ip(number))
        self.stubs[number] = self.make_stub(number)
        return None

    def _jump(self, fault: Fault) -> Any:
        return None  # its txns are part of the plan

    def _cut(self, fault: Fault, both: bool = True) -> Any:
        machine = self.target_machine(fault)
        endpoint = fault.far or CUT_ENDPOINTS[0]
        ips = {
            "kernel": [kernel_ip(machine.number)],
            "ledger": [LEDGER_IP],
            "node-list": [NODE_LIST_IP],
            "callers": [caller_ip(number) for number in range(len(self.stubs))],
            PEERS_ENDPOINT: [instance_ip(each.number) for each in self.machines if each is not machine],
        }[endpoint]
        paths = [(instance_ip(machine.number), ip) for ip in ips]
        if not both and self.fault_rng.random() < 0.5:
            paths = [(there, here) for here, there in paths]
        for path in paths:
            self.links.add_cut(*path, both)

        def restore_links() -> None:
            for path in paths:
                self.links.remove_cut(*path, both)

        return restore_links

    def _cut_one_way(self, fault: Fault) -> Any:
        return self._cut(fault, both=False)

    def _resets(self, fault: Fault) -> Any:
        machine = self.running_target(fault)
        if machine is None:
            return False
        lines = [
            socket
            for socket in machine.reactor.sockets.values()
            if socket.connected and socket.peer[0].startswith("127.0.7.")
        ]
        for socket in self.fault_rng.sample(lines, min(len(lines), max(1, int(fault.amount)))):
            self.reset_connection(socket)
        return None if lines else False

    def _slow_wire(self, fault: Fault) -> Any:
        ip, extra_delay = instance_ip(self.target_machine(fault).number), int(fault.amount)
        self.links.extra_delays[ip] = self.links.extra_delays.get(ip, 0) + extra_delay

        def heal() -> None:
            self.links.extra_delays[ip] -= extra_delay

        return heal

    def cut_paths(self, paths: list[tuple[str, str]]) -> Callable[[], None]:
        for path in paths:
            self.links.add_cut(*path, both=True)

        def restore_links() -> None:
            for path in paths:
                self.links.remove_cut(*path, both=True)

        return restore_links

    def _islands(self, fault: Fault) -> Any:
        parts = max(2, int(fault.amount))
        return self.cut_paths(
            [
                (instance_ip(one), instance_ip(other))
                for one, other in combinations(range(len(self.machines)), 2)
                if one % parts != other % parts
            ]
        )

    def _flap(self, fault: Fault) -> Any:
        """Cuts the links for one period and restores them for the next, in turns."""
        here = instance_ip(self.target_machine(fault).number)
        paths = [
            (here, instance_ip(each.number))
            for each in self.machines
            if each is not self.target_machine(fault)
        ]
        period, active = int(fault.amount * SECOND), [True]
        restore_links: list[Callable[[], None]] = []

        def toggle() -> None:
            if restore_links:
                restore_links.pop()()
            elif active[0]:
                restore_links.append(self.cut_paths(paths))
            if active[0]:
                self.timeline.schedule(self.timeline.now + period, None, "flap", toggle)

        def heal() -> None:
            active[0] = False
            if restore_links:
                restore_links.pop()()

        toggle()
        return heal

    def _peer_loss(self, fault: Fault) -> Any:
        losses = self.links.extra_losses
        for machine in self.machines:
            losses[instance_ip(machine.number)] = fault.amount
        return losses.clear

    # ---- the run

    def run(self) -> Outcome:
        plan, timeline = self.plan, self.timeline
        observer: Any = self.on_twisted_event
        globalLogPublisher.addObserver(observer)
        try:
            self.start_services()
            for machine in self.machines:
                machine.start(plan.cold)
            for number, txn in enumerate(plan.asks):
                timeline.schedule(START_TIME + txn.at, None, "ask", self.send_txn, txn, number)
            for fault in plan.faults:
                timeline.schedule(
                    START_TIME + fault.at,
                    None,
                    "fault",
                    self.arm_trigger if fault.trigger else self.begin_fault,
                    fault,
                )
            self.run_until(START_TIME + plan.quiet)
            self.begin_quiet_period()
            while self.violation is None and self.timeline.now < self.last_heal + SETTLE_TIME:
                self.run_until(self.last_heal + SETTLE_TIME)
            if self.violation is None:
                self.check_liveness()
        finally:
            gc.collect()  # the collector reports unhandled errors of Deferreds
            globalLogPublisher.removeObserver(observer)
        return self.outcome()

    def run_until(self, until: int) -> bool:
        """Runs events until then; returns False if a rule was violated before."""
        timeline, digest = self.timeline, self.digest
        last_check = 0
        while self.violation is None:
            event = timeline.step(until)
            if event is None:
                return True
            life = event.life
            digest.update(
                b"%d %b %b"
                % (timeline.now, b"" if life is None else life.name.encode(), event.label.encode())
            )
            if self.record is not None:
                self.record(
                    timeline.steps,
                    timeline.now - START_TIME,
                    "net" if life is None else life.name,
                    event.label,
                    "",
                )
            try:
                event.call(*event.args)
            except Exception:
                self.handle_failure(life, Failure())  # type: ignore[no-untyped-call]  # logged by the process, as a real reactor does
            if timeline.now >= last_check + DEADLINE_CHECK_INTERVAL:
                last_check = timeline.now
                for machine in self.machines:
                    if machine.instance is not None:
                        self.run_check(machine, partial(machine.oracles.on_time_advance, last_check))
            if timeline.steps_on_tick > MAX_STEPS_PER_TICK or timeline.steps > MAX_STEPS:
                self.report_violation(
                    RuleViolation(
                        "livelock", "", f"{timeline.steps_on_tick} steps on one tick, {timeline.steps} in all"
                    ),
                    "?",
                )
        return False

    def begin_quiet_period(self) -> None:
        """The quiet point: ends all faults that are still in effect."""
        self.quiet = True
        for machine in self.machines:
            machine.triggered_faults.clear()
        for heal in list(self.active_heals):
            self.heal_fault(heal)
        self.record_event("world", "quiet", "")

    def check_liveness(self) -> None:
        """Checks liveness: every instance serves again, every txn is answered and all tables are empty."""
        timeline = self.timeline
        if not self.run_until_true(
            FINAL_ANSWER_TIMEOUT, lambda: not any(case.state == "open" for case in self.cases)
        ):
            open_cases = sum(case.state == "open" for case in self.cases)
            self.report_violation(
                RuleViolation("heals", "", f"{open_cases} clients are still waiting after the quiet point"),
                "?",
            )
            return
        probe = Stub(
            self.probe_reactor,
            8,
            StubOptions(max_tries=3, follows_advice=False),
            self.rng_for("probe"),
            lambda: (),
            self.instance_address,
            self.instance_time,
            self.on_txn_ended,
        )
        cases: list[tuple[Machine, Any]] = []
        for number, machine in enumerate([*self.machines, *self.machines]):
            txn = PlannedTxn(0, 0, 0, -1, "", 2.0, self.plan.products[0].expiry // MS, 2_000, 1, 5_000)
            probe.visible_names = lambda name=machine.name: (name,)  # type: ignore[misc]
            cases.append((machine, probe.submit(self.make_want(txn, 100_000 + number))))
            cases[-1][1].may_have_run_on = machine.name  # retries go to the same instance
        self.run_until_true(PROBE_TIMEOUT, lambda: not any(case.state == "open" for _, case in cases))
        self.judged["heals"] += 1
        for machine in self.machines:
            states = [case.state for of, case in cases if of is machine]
            if "settled" not in states:
                self.report_violation(
                    RuleViolation(
                        "heals", "", f"two short txns at {machine.name} ended as {', '.join(states)}"
                    ),
                    machine.name,
                )
                return
        if self.plan.fleet is not None:
            self.check_membership()
        self.run_until(timeline.now + 100 * MS)
        # Up to one in five reports is lost under the worst network conditions, so an instance counts as
        # missing only after another round of reports.
        if (
            not self.run_until_true(NODE_LIST_TIMEOUT, lambda: not self.missing_from_node_list())
            and self.violation is None
        ):
            missing = self.missing_from_node_list()
            self.report_violation(
                RuleViolation("heals", "", f"not on the node list: {', '.join(missing)}"), missing[0]
            )
        self.judged["left-over"] += 1
        if not self.run_until_true(
            SECOND, lambda: not any(self.remaining_state(machine) for machine in self.machines)
        ):
            for machine in self.machines:
                if remaining := self.remaining_state(machine):
                    self.report_violation(RuleViolation("left-over", "", remaining), machine.name)

    def check_membership(self) -> None:
        """Checks that all members know each other and that the limit is allotted."""
        for rule, find in (("known", self.membership_problem), ("in-use", self.unallotted_limit)):
            self.judged[rule] += 1
            held = self.run_until_true(MEMBERSHIP_TIMEOUT, lambda find=find: not find())  # type: ignore[misc]
            if not held and self.violation is None:
                self.report_violation(RuleViolation(rule, "", find()), "?")
        self.judged["datagram"] += 1
        for machine in self.machines:
            if machine.peer_link.counts["too-long"]:
                self.report_violation(
                    RuleViolation("datagram", "", "a datagram exceeded the size limit"), machine.name
                )

    def membership_problem(self) -> str:
        """Describes a member that does not know exactly the current processes; empty if there is none."""
        truth = {each.peer_link.peer.own.key for each in self.machines}
        for machine in self.machines:
            held = {claim.key for claim in machine.peer_link.peer.members.present()}
            if held != truth:
                return (
                    f"{machine.name} knows {', '.join(sorted(held))}, current are {', '.join(sorted(truth))}"
                )
        return ""

    def unallotted_limit(self) -> str:
        """Describes how much of the limit is not allotted; empty if at least 95% of what is possible is."""
        terms = self.machines[0].peer_link.peer.terms
        available = terms.surplus + terms.floor * len(self.machines)
        shares = [each.peer_link.share() for each in self.machines]
        if sum(shares) < 0.95 * available:
            why = {each.peer_link.peer.holder.reason(each.peer_link.clock()) for each in self.machines}
            return f"{sum(shares)} of {available} calls are allotted ({', '.join(sorted(why))})"
        return ""

    def missing_from_node_list(self) -> list[str]:
        """Names of the instances that are not on the node list."""
        return sorted({machine.name for machine in self.machines} - set(self.node_list.current_names()))

    def run_until_true(self, max_duration: int, done: Callable[[], bool]) -> bool:
        """Runs until `done` or for `max_duration`; returns False on time-out. A violation counts as done."""
        until = self.timeline.now + max_duration
        while not done():
            if self.timeline.now >= until:
                return False
            if not self.run_until(self.timeline.now + 50 * MS):
                return True
        return True

    def remaining_state(self, machine: Machine) -> str:
        """Describes entries that remain in an instance's tables; empty if there are none."""
        instance = machine.instance
        if instance is None:
            return ""
        facade, registry = instance.facade, instance.facade.brain.registry
        counts = {
            "jobs": len(instance.jobs),
            "open txns": len(facade.open),
            "refs": len(facade.by_ref),
            "commands": len(instance.kernel.unconfirmed),
            "resent commands": len(instance.kernel.resent),
            "kernel queries": max(0, len(instance.kernel.pending_queries) - 2),
            "calls": instance.ledger.connections,
            "waiting calls": sum(not call.over for call in instance.ledger.waiting),
            "bytes held": instance.callers.held_bytes,
            "bytes unread": instance.callers.unread_bytes,
            "runs": registry.active_runs(),
            "pending calls": len(facade.brain.calls.pending),
            "connections closed by their callers": sum(
                each.transport.other.closed for each in instance.callers.connections
            ),
            "descriptors": max(0, len(machine.reactor.sockets) - len(instance.callers.connections) - 1)
            if machine.peer_link is None
            else 0,  # peers open and close connections to exchange tables
            "strangers": max(
                0, len(instance.callers.awaiting_first_request) - len(instance.callers.connections)
            ),
            "open attempts": facade.attempts.open_count,
            "waiting repeats": sum(map(len, facade.waiting_repeats.values())),
            "bytes of keys": abs(
                facade.attempts.kept_bytes - sum(each.bytes for each in facade.attempts.known())
            ),
            "keys past their time": sum(
                each.txn.stage is Stage.OVER
                and each.kept_until < facade.now() - facade.max_read_delay_us(each.txn.product) - SECOND
                for each in facade.attempts.known()
            ),
        }
        return ", ".join(f"{name}: {count}" for name, count in counts.items() if count)

    def outcome(self) -> Outcome:
        plan = self.plan
        states: Counter[str] = Counter()
        for case in self.cases:
            states[case.state] += 1
        outcome = Outcome(
            plan.seed,
            plan.scenario,
            self.digest.hexdigest(),
            self.timeline.steps,
            len(plan.asks),
            plan.instances,
            came=[(kind.value, begin, end) for kind, begin, end in self.applied_faults],
            pairs=sorted(overlapping_fault_kinds(plan, self.applied_faults)),
            judged=dict(self.judged),
            states=dict(states),
        )
        if self.violation is not None:
            violation, who, at = self.violation
            outcome.rule, outcome.ref, outcome.what, outcome.who, outcome.at = (
                violation.rule,
                violation.ref,
                violation.detail,
                who,
                at,
            )
            recent = list(self.recent)
            of_txn = [line for line in recent if violation.ref and line.endswith(violation.ref)][-12:]
            of_instance = [line for line in recent if line.split()[1] in (who, "world")][-12:]
            outcome.recent = [*of_txn, "--", *of_instance]
        return outcome
