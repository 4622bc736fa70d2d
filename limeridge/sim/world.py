"""A world: machines with instances and kernels, a ledger, a node list and callers on one virtual time.

It owns the carrying out of a plan: lives begun and ended, faults begun and healed, oracles fed after every
step, and the digest. It must never decide what happens (the plan does) nor judge (the oracles do).
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
from limeridge.net.log import Log
from limeridge.net.service import Instance
from limeridge.sim.bad_callers import BadCallers
from limeridge.sim.links import Links
from limeridge.sim.oracles import Broken, Oracles
from limeridge.sim.plan import (
    FAR,
    LEDGER_IP,
    LINGER,
    MS,
    NODE_LIST_IP,
    PEER_PORT,
    PEERS,
    PROBE_IP,
    PROTOCOL_KINDS,
    RUDE_IP,
    RUDE_KINDS,
    Ask,
    Fault,
    Fleet,
    Kind,
    Plan,
    caller_ip,
    instance_ip,
    kernel_ip,
    pairs_met,
)
from limeridge.sim.reactor import Network, Reactor, Socket
from limeridge.sim.timeline import BEGIN, SECOND, Life, Timeline
from limeridge.sim.wires import Passed, Recorder
from limeridge.standins.callers import MisbehavingCaller, MisbehavingCallerFactory, Stub, StubOptions, TxnSpec
from limeridge.standins.kernel import Kernel
from limeridge.standins.ledger import Ledger
from limeridge.standins.nodelist import NodeList

UNIX = 1_764_576_000 * SECOND  # Unix time at virtual time 0
RECENT = 400  # events kept for a report
TICK_MOST = 20_000  # steps on one tick
LOOK = 5 * MS  # between two looks for what is overdue
KERNEL_PORTS = 7300, 7301
DRIFT = 0.001  # of each machine's clock, where members count on it
KNOWN = 8 * SECOND  # after the quiet point, until all members know each other and the limit is dealt out
MOVED_AFTER = 400 * MS  # until nobody is at an address that the configuration no longer names
SETTLE = 1_300 * MS  # after the last heal, until all must serve again
PROBE_WAIT = 2_500 * MS
END_WAIT = 4 * SECOND
REPORTED = 3 * SECOND  # within which an instance that reports is on the list, whatever gets lost
STEPS_MOST = 2_000_000
SIGHUP, SIGTERM = 1, 15


@dataclass(slots=True)
class Outcome:
    """What a run came to; `at` in microseconds from its start."""

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
    """An instance and its kernel, through all their lives."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.name = world, number, f"n{number}"
        self.lives = 0
        self.offset = 0  # of Unix time, microseconds
        self.moved = False
        self.file = orjson.dumps(world.plan.config(number))
        self.life: Life | None = None
        self.kernel_life: Life
        self.instance: Instance | None = None
        self.oracles: Oracles
        self.reactor: Reactor
        self.kernel: Kernel
        self.kernel_reactor: Reactor
        self.paused = 0
        self.speed = 1.0
        self.doubled = 0.0
        self.left = False
        self.link: Any = None  # to the other members
        self.drift = world.chance(f"drift {number}").uniform(-DRIFT, DRIFT)
        self.calls_before: list[tuple[int, int]] = []  # begins and ends of calls of lives that are over
        self.armed: list[list[Any]] = []  # faults that wait for an event: fault, how many are still to come

    # ---- lives

    def start(self, cold: bool) -> None:
        world, plan, now = self.world, self.world.plan, self.world.timeline.now
        self.lives += 1
        self.left = False
        world.bad_callers.born(self)
        kernel_life = self.kernel_life = Life(f"k{self.number}", kernel_ip(self.number), self.lives, now)
        self.kernel_reactor = Reactor(world.network, kernel_life, world.broken_standin)
        boot = plan.boot / SECOND
        self.kernel = Kernel(
            self.kernel_reactor,
            plan.cores,
            world.chance(f"kernel {self.number} {self.lives}"),
            world.over.__contains__,
            boot_s=boot,
            cold=cold,
            memory_kb=plan.memory_kb,
        )
        self.kernel.on_wrong_reply = lambda ref: self.broke(
            Broken("reply", ref, "the kernel took a reply for another call")
        )
        self.kernel.speed, self.kernel.duplicate_share = self.speed, self.doubled
        for port in KERNEL_PORTS:
            self.kernel_reactor.listenTCP(port, self.kernel)
        config = orjson.loads(self.file) if self.whole() else plan.config(self.number, self.moved)
        config["settings"]["familyInfo"]["justStarted"] = cold
        config["seed"] = plan.config(self.number, life=self.lives)["seed"]
        self.file = orjson.dumps(config)
        self.life = Life(self.name, instance_ip(self.number), self.lives, now)
        self.oracles = Oracles(
            plan,
            now,
            lambda: UNIX + self.offset,
            lambda: bool(self.paused),
            self.note,
            world.judged,
            now + plan.boot,
            cold,
            self.calls_before,
        )
        tap = Recorder(
            frozenset(product.name for product in plan.products),
            frozenset((kernel_ip(self.number), port) for port in KERNEL_PORTS),
            frozenset((LEDGER_IP, port) for port in (8900, 8901)),
            self.see,
        )
        self.reactor = Reactor(world.network, self.life, self.fault, tap, plan.sockets)
        self.reactor.stopped = self.exited
        log = Log(self.name, clock=self.reactor.seconds, unix=self.unix, write=self.logged)

        def reread(before: Any, now: int) -> Any:
            return reading("config", lambda _: [self.file], before, now)

        setup = read("config", lambda _: [self.file])
        self.instance = Instance(setup, self.reactor, log, reread, self.unix)
        if plan.fleet is not None:
            self.link = self.linked(plan.fleet, log)
            self.instance.attach_peers(self.link)
        self.reactor.callWhenRunning(self.instance.start)
        if self.paused:
            self.life.paused = kernel_life.paused = True

    def linked(self, fleet: Fleet, log: Log) -> Any:
        """The part of membership, on the clock of this machine."""
        from limeridge.peers.link import Link
        from limeridge.peers.messages import key_of
        from limeridge.peers.peer import Habits
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
            drift=DRIFT,
        )
        peers = PeerSetup(
            ("", PEER_PORT),
            None,
            "",
            tuple((instance_ip(number), PEER_PORT) for number in range(min(3, plan.instances))),
            "",
            key_of("sim", b"sim"),
            Habits.paced(fleet.interval),
            terms,
            fleet.linger,
            True,
        )
        nonce = world.chance(f"nonce {self.number} {self.lives}").getrandbits(56)
        return Link(
            read("config", lambda _: [self.file]),
            peers,
            self.reactor,
            log,
            lambda: int(world.timeline.now * (1 + self.drift)),
            self.unix,
            lambda: nonce,
        )

    def whole(self) -> bool:
        try:
            orjson.loads(self.file)["settings"]["classes"]
        except (ValueError, KeyError, TypeError):
            return False
        return True

    def kernel_moves(self) -> None:
        """To the address that the configuration names now; the old one goes a while later, with its links."""
        new, old = KERNEL_PORTS[self.moved], KERNEL_PORTS[not self.moved]
        reactor, world = self.kernel_reactor, self.world
        if (reactor.life.ip, new) not in world.network.listeners:
            reactor.listenTCP(new, self.kernel)

        def close() -> None:
            if reactor.life.alive and KERNEL_PORTS[self.moved] == new:
                for port in reactor.ports:
                    if port.address[1] == old and port.open:
                        port.close()
                for socket in list(reactor.sockets.values()):
                    if socket.host[1] == old:
                        world.reset(socket)

        world.timeline.at(world.timeline.now + MOVED_AFTER, None, "moved", close)

    def signal(self, number: int) -> None:
        if self.instance is not None:
            self.instance.record_signal(number)
            self.reactor.callFromThread(self.instance.signal_handlers()[number])

    def exited(self) -> None:
        """By itself."""
        self.note("exit", "")
        self.world.attempt(self, lambda: self.oracles.stopped(self.world.timeline.now))
        self.die(in_order=True)

    def die(self, in_order: bool) -> None:
        if self.instance is not None:
            self.oracles.closed = True
            now = self.world.timeline.now
            spans = [*self.calls_before, *self.oracles.spans(now, linger=LINGER)]
            self.calls_before = [span for span in spans if span[1] > now - self.world.plan.calls_over]
            self.instance = None
            self.reactor.shut(in_order)
            self.kernel_reactor.shut(in_order)

    def pause(self, on: bool) -> None:
        self.paused += 1 if on else -1
        if self.instance is None or self.life is None:
            return
        if on:
            self.life.paused = self.kernel_life.paused = True
        elif not self.paused:
            self.world.timeline.resume(self.life)
            self.world.timeline.resume(self.kernel_life)
            self.oracles.resume(self.world.timeline.now)

    def unix(self) -> float:
        return (UNIX + self.world.timeline.now + self.offset) / SECOND

    # ---- what is heard

    def see(self, event: Passed) -> None:
        try:
            self.oracles.turn = self.world.timeline.steps
            self.oracles.see(self.world.timeline.now, event)
        except Broken as broken:
            self.broke(broken)
        self.world.bad_callers.seen(self, event)

    def logged(self, line: bytes) -> int:
        if self.world.record is not None:
            self.world.record(
                self.world.timeline.steps,
                self.world.timeline.now - BEGIN,
                self.name,
                "log",
                line.decode().strip(),
            )
        if b'"trace"' in line or b'"overdue"' in line:
            value = orjson.loads(line)
            self.world.attempt(
                self,
                lambda: self.oracles.logged(
                    value["event"], value.get("code", ""), line.decode() + "exception"
                ),
            )
        return len(line)

    def fault(self, failure: Failure) -> None:
        if self.instance is not None:
            self.instance.log_reactor_failure({"log_failure": failure})

    def broke(self, broken: Broken) -> None:
        self.world.broke(broken, self.name)

    def note(self, kind: str, ref: str) -> None:
        self.world.note(self.name, kind, ref)
        for waits in self.armed:
            if waits[0].trigger == kind and waits[1] > 0:
                waits[1] -= 1
                if not waits[1]:
                    world, fault = self.world, waits[0]
                    world.timeline.at(world.timeline.now + fault.lag, None, "fault", world.begin, fault)


class World:
    def __init__(self, plan: Plan, record: Record | None = None) -> None:
        self.plan, self.record = plan, record
        self.timeline = Timeline(self.chance("order"), plan.quantum, plan.ties)
        self.links = Links(self.chance("links"), plan.weather)
        self.network = Network(self.timeline, self.links)
        self.digest = xxhash.xxh3_128()
        self.recent: deque[str] = deque(maxlen=RECENT)
        self.judged: Counter[str] = Counter()
        self.over: set[str] = set()  # refs answered or given up; only ever asked for members
        self.came: list[tuple[Kind, int, int]] = []
        self.broken: tuple[Broken, str, int] | None = None
        self.trouble = self.chance("trouble")
        self.bad_callers = BadCallers(self, self.chance("bad callers"))
        self.last_heal = BEGIN + plan.quiet
        self.quiet = False
        self.ending: list[Callable[[], None]] = []  # what heals a fault that still lasts
        self.machines = [Machine(self, number) for number in range(plan.instances)]
        self.cases: list[Any] = []

    def chance(self, name: str) -> random.Random:
        return random.Random(f"{self.plan.seed} {name}")

    # ---- hearing

    def note(self, who: str, kind: str, ref: str) -> None:
        text = f"{self.timeline.now - BEGIN:>9} {who} {kind} {ref}"
        self.digest.update(text.encode())
        self.recent.append(text)
        if self.record is not None:
            self.record(self.timeline.steps, self.timeline.now - BEGIN, who, kind, ref)

    def broke(self, broken: Broken, who: str) -> None:
        if self.broken is None:
            self.broken = broken, who, self.timeline.now - BEGIN

    def attempt(self, machine: Machine, judge: Callable[[], None]) -> None:
        """Oracles are called in the middle of an instance's code, which must not catch what they raise."""
        try:
            judge()
        except Broken as broken:
            self.broke(broken, machine.name)

    def broken_standin(self, failure: Failure) -> None:
        raise failure.value  # type: ignore[misc]

    def observed(self, event: Any) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            self.broke(Broken("exception", "", failure.getTraceback()[-1_500:]), "?")

    def fault(self, life: Life | None, failure: Failure) -> None:
        machine = next((each for each in self.machines if each.life is life and life is not None), None)
        if machine is None:
            raise failure.value  # type: ignore[misc]
        machine.fault(failure)

    # ---- the far ends

    def found(self) -> None:
        """Everything that stands beside the machines."""
        plan = self.plan
        self.ledger: Ledger
        self.ledger_reactor: Reactor
        self.ledger_trouble: dict[str, float] = {}
        self.start_ledger()
        self.list_life = Life("list", NODE_LIST_IP)
        self.start_list()
        self.stubs: list[Stub] = []
        self.stub_reactors: list[Reactor] = []
        for number in range(len(plan.callers)):
            self.stub_reactors.append(self.reactor_for(f"c{number}", caller_ip(number)))
            self.stubs.append(self.stub(number))
        self.rude_reactor = self.reactor_for("rude", RUDE_IP)
        self.probe_reactor = self.reactor_for("probe", PROBE_IP)

    def reactor_for(self, name: str, ip: str) -> Reactor:
        return Reactor(self.network, Life(name, ip), self.broken_standin)

    def start_ledger(self) -> None:
        self.ledger_reactor = self.reactor_for("ledger", LEDGER_IP)
        self.ledger = Ledger(
            self.ledger_reactor,
            self.chance(f"ledger {self.timeline.now}"),
            slots=max(4, int(self.plan.calls_out * self.plan.instances)),
        )
        self.ledger.on_call_count = self.in_hand
        for name, value in self.ledger_trouble.items():
            setattr(self.ledger, name, value)
        for port in (8900, 8901):
            self.ledger_reactor.listenTCP(port, self.ledger)

    def in_hand(self, count: int) -> None:
        fleet = self.plan.fleet
        if fleet is not None:
            self.judged["limit"] += 1
            if count > fleet.limit:
                self.broke(
                    Broken("limit", "", f"{count} calls in the ledger's hands, the limit is {fleet.limit}"),
                    "?",
                )

    def start_list(self) -> None:
        self.list_reactor = self.reactor_for("list", NODE_LIST_IP)
        self.node_list = NodeList(self.list_reactor)
        beside = NodeList(self.list_reactor)  # under the other address, with the same entries
        beside.reports = self.node_list.reports
        for port, node_list in ((7946, self.node_list), (7947, beside)):
            self.list_reactor.listenUDP(port, node_list)

    def stub(self, number: int) -> Stub:
        caller = self.plan.callers[number]
        # One in three rests until it is ended, whatever it was bidden: no draw of its own, so plans stay.
        habit = StubOptions(
            caller.tries, caller.heeds, caller.sticky, caller.hedges, keeps_connections=number % 3 == 2
        )
        names = tuple(machine.name for machine in self.machines)
        made = Stub(
            self.stub_reactors[number],
            number,
            habit,
            self.chance(f"caller {number} {self.timeline.now}"),
            lambda: self.node_list.visible_names() or names,
            self.where,
            self.stamp,
            self.ended,
        )
        made.start(health_checks=number == 0 and self.plan.checks)
        return made

    def where(self, name: str) -> tuple[str, int]:
        return instance_ip(int(name[1:])), 8443

    def stamp(self, name: str) -> float:
        return self.machines[int(name[1:])].unix()

    def ended(self, ref: str) -> None:
        self.over.add(ref)
        for machine in self.machines:
            if machine.instance is not None and ref in machine.kernel.runs:
                machine.kernel.cancel_finished_txn(ref)

    # ---- traffic

    def ask(self, ask: Ask, number: int) -> None:
        stub = self.stubs[ask.caller]
        stub.submit(self.want(ask, number))
        self.cases.append(stub.txns[-1])

    def want(self, ask: Ask, number: int) -> TxnSpec:
        product = self.plan.products[ask.product]
        return TxnSpec(
            number,
            product.name,
            PROTOCOL_KINDS[product.kind],
            f"c{ask.customer}" if ask.customer >= 0 else "",
            ask.key,
            ask.size_kb,
            ask.patience,
            product.expiry // MS,
            b"work=%d calls=%d op=%d n=%d" % (ask.work, ask.calls, ask.op, number),
            ask.work / MS if ask.effort else 0.0,
        )

    # ---- faults

    def arm(self, fault: Fault) -> None:
        machine = self.machines[fault.target % len(self.machines)]
        machine.armed.append([fault, fault.nth])

    def begin(self, fault: Fault) -> None:
        if self.quiet:
            return
        now, until = self.timeline.now, BEGIN + self.plan.quiet
        heal = getattr(self, "_" + fault.kind.name.lower())(fault)
        if heal is False:
            return
        end = min(now + fault.lasts, until) if heal is not None else now
        self.came.append((fault.kind, now - BEGIN, end - BEGIN))
        self.note("world", fault.kind.value, str(fault.target))
        if heal is not None:
            self.ending.append(heal)
            self.timeline.at(end, None, "heal", self.heal, heal)

    def heal(self, heal: Callable[[], None]) -> None:
        if heal in self.ending:
            self.ending.remove(heal)
            heal()

    def machine(self, fault: Fault) -> Machine:
        return self.machines[fault.target % len(self.machines)]

    def alive(self, fault: Fault) -> Machine | None:
        machine = self.machine(fault)
        return machine if machine.instance is not None else None

    def _kill(self, fault: Fault) -> Any:
        machine = self.alive(fault)
        if machine is None:
            return False
        machine.die(in_order=self.trouble.random() < 0.5)
        self.revive(machine, int(fault.amount * SECOND))
        return None

    def revive(self, machine: Machine, after: int) -> None:
        at = self.timeline.now + after
        self.last_heal = max(self.last_heal, at + self.plan.boot)

        def again() -> None:
            if machine.instance is None:
                machine.start(cold=True)

        self.timeline.at(at, None, "start", again)

    def _drain(self, fault: Fault) -> Any:
        machine = self.alive(fault)
        if machine is None or machine.left:
            return False
        machine.left = True
        machine.signal(SIGTERM)
        machine.oracles.leave(self.timeline.now)
        life = machine.lives
        kill_at = self.timeline.now + self.plan.stop
        self.last_heal = max(self.last_heal, kill_at + self.plan.boot)
        self.bad_callers.leaving(machine)

        def kill() -> None:
            if machine.lives == life:
                if machine.instance is not None:
                    machine.die(in_order=False)
                self.revive(machine, 10 * MS)

        self.timeline.at(kill_at, None, "kill", kill)
        return None

    def _pause(self, fault: Fault) -> Any:
        machine = self.machine(fault)
        machine.pause(True)
        return lambda: machine.pause(False)

    def _slow_cores(self, fault: Fault) -> Any:
        machine = self.machine(fault)

        def set_speed(speed: float) -> None:
            machine.speed = speed
            if machine.instance is not None:
                machine.kernel.set_speed(speed)

        set_speed(fault.amount)
        return lambda: set_speed(1.0)

    def _reload(self, fault: Fault) -> Any:
        machine = self.alive(fault)
        if machine is None:
            return False
        machine.moved = not machine.moved
        machine.file = orjson.dumps(self.plan.config(machine.number, machine.moved))
        machine.kernel_moves()
        machine.signal(SIGHUP)
        return None

    def _reload_bad(self, fault: Fault) -> Any:
        machine = self.alive(fault)
        if machine is None:
            return False
        good = machine.file
        bad = orjson.loads(good) if machine.whole() else {}
        bad.get("settings", {}).pop("classes", None)
        spoilt = machine.file = self.trouble.choice((b"", b"[]", b"\xff\xfe", orjson.dumps(bad)))
        machine.signal(SIGHUP)

        def restore() -> None:
            if machine.file is spoilt:
                machine.file = orjson.dumps(self.plan.config(machine.number, machine.moved))

        return restore

    def _reload_half(self, fault: Fault) -> Any:
        machine = self.alive(fault)
        if machine is None:
            return False
        machine.moved = not machine.moved
        data = orjson.dumps(self.plan.config(machine.number, machine.moved))
        half = machine.file = data[: int(self.trouble.random() * len(data))]
        machine.kernel_moves()
        machine.signal(SIGHUP)

        def complete() -> None:
            if machine.file is half:
                machine.file = data

        return complete

    def _link_break(self, fault: Fault) -> Any:
        machine = self.alive(fault)
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
            self.reset(socket)
        return None if links else False

    def reset(self, socket: Socket) -> None:
        """Both ends hear of it, each in its time; what was under way is gone."""
        for flow in (socket.inn, socket.out):
            flow.broken = True
            flow.air.clear()
        socket.out.buffer.clear()
        socket.reset_soon()
        socket.other.reset_soon()

    def _notices_doubled(self, fault: Fault) -> Any:
        machine = self.machine(fault)

        def set_share(share: float) -> None:
            machine.doubled = share
            if machine.instance is not None:
                machine.kernel.duplicate_share = share

        set_share(fault.amount)
        return lambda: set_share(0.0)

    def _ledger(self, name: str, value: float, usual: float) -> Any:
        def put(new: float) -> None:
            self.ledger_trouble[name] = new
            setattr(self.ledger, name, new)

        put(value)
        return lambda: put(usual)

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
        self.ledger_reactor.shut(in_order=self.trouble.random() < 0.5)
        return self.start_ledger

    def _node_list_down(self, fault: Fault) -> Any:
        if not self.list_reactor.life.alive:
            return False
        self.list_reactor.shut(in_order=True)
        return self.start_list

    def _rude(self, fault: Fault) -> Any:
        machine = self.machine(fault)
        count, kind = divmod(int(fault.amount), RUDE_KINDS)
        for _ in range(max(1, count)):
            rude = MisbehavingCaller(
                MisbehavingCaller.KINDS[kind],
                self.rude_reactor,
                self.trouble,
                self.plan.products[0].name,
                machine.unix,
            )
            self.rude_reactor.connectTCP(
                instance_ip(machine.number), 8443, MisbehavingCallerFactory(rude), timeout=1.0
            )
        return None

    def _key_copy(self, fault: Fault) -> Any:
        machine = self.alive(fault)
        if machine is None or not self.bad_callers.copy_keys(machine, max(1, int(fault.amount))):
            return False
        return None

    def _send_at_close(self, fault: Fault) -> Any:
        machine = self.alive(fault)
        if machine is None:
            return False
        self.bad_callers.rest(machine, max(1, int(fault.amount)))
        return None

    def _clock_step(self, fault: Fault) -> Any:
        machine = self.machine(fault)
        machine.offset += int(fault.amount * SECOND)
        if machine.instance is not None:
            machine.oracles.step_clock(self.timeline.now)
        return None

    def _caller_restart(self, fault: Fault) -> Any:
        number = fault.target % len(self.stubs)
        for ref in list(self.stubs[number].txn_by_ref):
            self.ended(ref)
        for case in self.stubs[number].txns:
            if case.state == "open":
                case.state = "forgotten"
        self.stub_reactors[number].shut(in_order=self.trouble.random() < 0.5)
        self.stub_reactors[number] = self.reactor_for(f"c{number}", caller_ip(number))
        self.stubs[number] = self.stub(number)
        return None

    def _jump(self, fault: Fault) -> Any:
        return None  # its txns stand in the plan

    def _cut(self, fault: Fault, both: bool = True) -> Any:
        machine = self.machine(fault)
        far = fault.far or FAR[0]
        ips = {
            "kernel": [kernel_ip(machine.number)],
            "ledger": [LEDGER_IP],
            "node-list": [NODE_LIST_IP],
            "callers": [caller_ip(number) for number in range(len(self.stubs))],
            PEERS: [instance_ip(each.number) for each in self.machines if each is not machine],
        }[far]
        ways = [(instance_ip(machine.number), ip) for ip in ips]
        if not both and self.trouble.random() < 0.5:
            ways = [(there, here) for here, there in ways]
        for way in ways:
            self.links.sever(*way, both)

        def mend() -> None:
            for way in ways:
                self.links.mend(*way, both)

        return mend

    def _cut_one_way(self, fault: Fault) -> Any:
        return self._cut(fault, both=False)

    def _resets(self, fault: Fault) -> Any:
        machine = self.alive(fault)
        if machine is None:
            return False
        lines = [
            socket
            for socket in machine.reactor.sockets.values()
            if socket.connected and socket.peer[0].startswith("127.0.7.")
        ]
        for socket in self.trouble.sample(lines, min(len(lines), max(1, int(fault.amount)))):
            self.reset(socket)
        return None if lines else False

    def _slow_wire(self, fault: Fault) -> Any:
        ip, more = instance_ip(self.machine(fault).number), int(fault.amount)
        self.links.slow[ip] = self.links.slow.get(ip, 0) + more

        def heal() -> None:
            self.links.slow[ip] -= more

        return heal

    def sever(self, ways: list[tuple[str, str]]) -> Callable[[], None]:
        for way in ways:
            self.links.sever(*way, both=True)

        def mend() -> None:
            for way in ways:
                self.links.mend(*way, both=True)

        return mend

    def _islands(self, fault: Fault) -> Any:
        parts = max(2, int(fault.amount))
        return self.sever(
            [
                (instance_ip(one), instance_ip(other))
                for one, other in combinations(range(len(self.machines)), 2)
                if one % parts != other % parts
            ]
        )

    def _flap(self, fault: Fault) -> Any:
        """Cut for a period, whole for one."""
        here = instance_ip(self.machine(fault).number)
        ways = [(here, instance_ip(each.number)) for each in self.machines if each is not self.machine(fault)]
        period, going = int(fault.amount * SECOND), [True]
        mend: list[Callable[[], None]] = []

        def turn() -> None:
            if mend:
                mend.pop()()
            elif going[0]:
                mend.append(self.sever(ways))
            if going[0]:
                self.timeline.at(self.timeline.now + period, None, "flap", turn)

        def heal() -> None:
            going[0] = False
            if mend:
                mend.pop()()

        turn()
        return heal

    def _peer_loss(self, fault: Fault) -> Any:
        lossy = self.links.lossy
        for machine in self.machines:
            lossy[instance_ip(machine.number)] = fault.amount
        return lossy.clear

    # ---- the run

    def run(self) -> Outcome:
        plan, timeline = self.plan, self.timeline
        observer: Any = self.observed
        globalLogPublisher.addObserver(observer)
        try:
            self.found()
            for machine in self.machines:
                machine.start(plan.cold)
            for number, ask in enumerate(plan.asks):
                timeline.at(BEGIN + ask.at, None, "ask", self.ask, ask, number)
            for fault in plan.faults:
                timeline.at(BEGIN + fault.at, None, "fault", self.arm if fault.trigger else self.begin, fault)
            self.steps(BEGIN + plan.quiet)
            self.calm()
            while self.broken is None and self.timeline.now < self.last_heal + SETTLE:
                self.steps(self.last_heal + SETTLE)
            if self.broken is None:
                self.finish()
        finally:
            gc.collect()  # an error that nobody handled is told of by the collector
            globalLogPublisher.removeObserver(observer)
        return self.outcome()

    def steps(self, until: int) -> bool:
        """Until then, or until a rule is broken: False."""
        timeline, digest = self.timeline, self.digest
        looked = 0
        while self.broken is None:
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
                    timeline.now - BEGIN,
                    "net" if life is None else life.name,
                    event.label,
                    "",
                )
            try:
                event.call(*event.args)
            except Exception:
                self.fault(life, Failure())  # type: ignore[no-untyped-call]  # the process's own, as in a reactor that logs it and goes on
            if timeline.now >= looked + LOOK:
                looked = timeline.now
                for machine in self.machines:
                    if machine.instance is not None:
                        self.attempt(machine, partial(machine.oracles.passed, looked))
            if timeline.on_tick > TICK_MOST or timeline.steps > STEPS_MOST:
                self.broke(
                    Broken("livelock", "", f"{timeline.on_tick} steps on one tick, {timeline.steps} in all"),
                    "?",
                )
        return False

    def calm(self) -> None:
        """The quiet point: all that still lasts heals now."""
        self.quiet = True
        for machine in self.machines:
            machine.armed.clear()
        for heal in list(self.ending):
            self.heal(heal)
        self.note("world", "quiet", "")

    def finish(self) -> None:
        """Liveness: each instance serves again, everything is answered, nothing is left."""
        timeline = self.timeline
        if not self.wait(END_WAIT, lambda: not any(case.state == "open" for case in self.cases)):
            open_cases = sum(case.state == "open" for case in self.cases)
            self.broke(Broken("heals", "", f"{open_cases} clients still wait after the quiet point"), "?")
            return
        probe = Stub(
            self.probe_reactor,
            8,
            StubOptions(max_tries=3, follows_advice=False),
            self.chance("probe"),
            lambda: (),
            self.where,
            self.stamp,
            self.ended,
        )
        cases: list[tuple[Machine, Any]] = []
        for number, machine in enumerate([*self.machines, *self.machines]):
            ask = Ask(0, 0, 0, -1, "", 2.0, self.plan.products[0].expiry // MS, 2_000, 1, 5_000)
            probe.visible_names = lambda name=machine.name: (name,)  # type: ignore[misc]
            cases.append((machine, probe.submit(self.want(ask, 100_000 + number))))
            cases[-1][1].may_have_run_on = machine.name  # its later tries go to the same instance
        self.wait(PROBE_WAIT, lambda: not any(case.state == "open" for _, case in cases))
        self.judged["heals"] += 1
        for machine in self.machines:
            states = [case.state for of, case in cases if of is machine]
            if "settled" not in states:
                self.broke(
                    Broken("heals", "", f"two easy txns of {machine.name} came to {', '.join(states)}"),
                    machine.name,
                )
                return
        if self.plan.fleet is not None:
            self.judge_members()
        self.steps(timeline.now + 100 * MS)
        # Reports get lost, in the worst weather one in five: another round of them before one counts as
        # missing.
        if not self.wait(REPORTED, lambda: not self.missing()) and self.broken is None:
            missing = self.missing()
            self.broke(Broken("heals", "", f"not on the node list: {', '.join(missing)}"), missing[0])
        self.judged["left-over"] += 1
        if not self.wait(SECOND, lambda: not any(self.left_over(machine) for machine in self.machines)):
            for machine in self.machines:
                if left := self.left_over(machine):
                    self.broke(Broken("left-over", "", left), machine.name)

    def judge_members(self) -> None:
        """All know each other again, and the limit is in use."""
        for rule, lacks in (("known", self.strange), ("in-use", self.unused)):
            self.judged[rule] += 1
            if not self.wait(KNOWN, lambda lacks=lacks: not lacks()) and self.broken is None:  # type: ignore[misc]
                self.broke(Broken(rule, "", lacks()), "?")
        self.judged["datagram"] += 1
        for machine in self.machines:
            if machine.link.counts["too-long"]:
                self.broke(Broken("datagram", "", "a datagram was too long to be sent"), machine.name)

    def strange(self) -> str:
        """Who does not hold all present in the lives that they have, in words."""
        truth = {each.link.peer.own.key for each in self.machines}
        for machine in self.machines:
            held = {claim.key for claim in machine.link.peer.members.present()}
            if held != truth:
                return f"{machine.name} holds {', '.join(sorted(held))}, there are {', '.join(sorted(truth))}"
        return ""

    def unused(self) -> str:
        """How much less of the limit is dealt out than can be, in words; empty from 95% on."""
        terms = self.machines[0].link.peer.terms
        can = terms.surplus + terms.floor * len(self.machines)
        shares = [each.link.share() for each in self.machines]
        if sum(shares) < 0.95 * can:
            why = {each.link.peer.holder.why(each.link.clock()) for each in self.machines}
            return f"{sum(shares)} calls of {can} are dealt out ({', '.join(sorted(why))})"
        return ""

    def missing(self) -> list[str]:
        """Instances that the node list does not have."""
        return sorted({machine.name for machine in self.machines} - set(self.node_list.current_names()))

    def wait(self, most: int, done: Callable[[], bool]) -> bool:
        """Goes on until `done`, at most for that long; a broken rule counts as done."""
        until = self.timeline.now + most
        while not done():
            if self.timeline.now >= until:
                return False
            if not self.steps(self.timeline.now + 50 * MS):
                return True
        return True

    def left_over(self, machine: Machine) -> str:
        """What stands in an instance's tables that should not, in words; empty where nothing does."""
        instance = machine.instance
        if instance is None:
            return ""
        facade, registry = instance.facade, instance.facade.brain.registry
        counts = {
            "jobs": len(instance.jobs),
            "open txns": len(facade.open),
            "refs": len(facade.by_ref),
            "commands": len(instance.kernel.uncarried),
            "commands sent again": len(instance.kernel.resent),
            "questions to the kernel": max(0, len(instance.kernel.asked) - 2),
            "calls": instance.ledger.connections,
            "waiting calls": sum(not call.over for call in instance.ledger.waiting),
            "bytes held": instance.callers.held_bytes,
            "bytes unread": instance.callers.unread_bytes,
            "runs": registry.active_runs(),
            "calls in hand": len(facade.brain.calls.pending),
            "connections no caller has": sum(
                each.transport.other.closed for each in instance.callers.connections
            ),
            "descriptors": max(0, len(machine.reactor.sockets) - len(instance.callers.connections) - 1)
            if machine.link is None
            else 0,  # tables come and go over connections of members
            "strangers": max(
                0, len(instance.callers.awaiting_first_request) - len(instance.callers.connections)
            ),
            "keys": max(0, len(facade.keyed) - max(facade.prune_at, 512)),
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
            came=[(kind.value, begin, end) for kind, begin, end in self.came],
            pairs=sorted(pairs_met(plan, self.came)),
            judged=dict(self.judged),
            states=dict(states),
        )
        if self.broken is not None:
            broken, who, at = self.broken
            outcome.rule, outcome.ref, outcome.what, outcome.who, outcome.at = (
                broken.rule,
                broken.ref,
                broken.what,
                who,
                at,
            )
            recent = list(self.recent)
            of_txn = [line for line in recent if broken.ref and line.endswith(broken.ref)][-12:]
            of_instance = [line for line in recent if line.split()[1] in (who, "world")][-12:]
            outcome.recent = [*of_txn, "--", *of_instance]
        return outcome
