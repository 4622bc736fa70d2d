"""Simulation plans: the fleet, its configuration, traffic and faults, drawn from a seed before the run.

This module defines plans, draws them within the ranges of a scenario and shrinks them. It keeps the faults of
a plan compatible: each is over by the quiet point, and a machine is not killed twice at once. It runs
nothing: a plan is plain data that can be stored, minimised and replayed.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import combinations
from typing import Any

import orjson

from limeridge.sim.links import NetworkConditions
from limeridge.sim.timeline import SECOND, Ties

MS = 1_000
ABANDONED_CALL_LINGER = 100 * MS  # how long an abandoned call still occupies the ledger
PROTOCOL_KINDS = {
    "free": "inquiry-like",
    "guarded": "referenced",
    "single_shot": "once-only",
}  # protocol name of each idempotency setting


class Kind(Enum):
    """Kinds of fault; the value is the name in scenario files and tables."""

    KILL = "kill"  # a machine (instance and kernel) fails and restarts cold
    PAUSE = "pause"  # a machine is suspended
    SLOW_CORES = "slow-cores"
    DRAIN = "drain"  # SIGTERM, SIGKILL after the stop time, then a successor under the same name
    RELOAD = "reload"  # SIGHUP with the alternate addresses of kernel, ledger and node list
    RELOAD_BAD = "reload-bad"
    RELOAD_HALF = "reload-half"  # the file is half written at first and complete shortly after
    LINK_BREAK = "link-break"  # the kernel's link breaks, possibly in the middle of a message
    NOTICES_DOUBLED = "notices-doubled"
    LEDGER_SLOW = "ledger-slow"
    LEDGER_DOWN = "ledger-down"  # refuses connections
    LEDGER_FULL = "ledger-full"  # rejects calls
    LEDGER_FAILS = "ledger-fails"
    LEDGER_LOSES = "ledger-loses"  # never answers some calls
    LEDGER_SPOILS = "ledger-spoils"
    LEDGER_DOUBLES = "ledger-doubles"
    NODE_LIST_DOWN = "node-list-down"
    RUDE = "rude"  # callers that violate the protocol, at one instance
    CLOCK_STEP = "clock-step"  # steps one machine's Unix time
    CALLER_RESTART = "caller-restart"
    JUMP = "jump"  # a surge of traffic
    CUT = "cut"  # both directions between an instance and another endpoint
    CUT_ONE_WAY = "cut-one-way"
    RESETS = "resets"  # resets callers' connections
    SLOW_WIRE = "slow-wire"
    ISLANDS = "islands"  # partitions the instances into `amount` groups
    FLAP = "flap"  # repeatedly cuts and restores an instance's links to its peers
    PEER_LOSS = "peer-loss"  # loses a share `amount` of the datagrams that instances send
    KEY_COPY = "key-copy"  # `amount` callers reuse a copied key with another body or tenant
    SEND_AT_CLOSE = "send-at-close"  # `amount` idle callers send a request as their connection is closed


INSTANCE_FAULTS = (
    Kind.KILL,
    Kind.PAUSE,
    Kind.SLOW_CORES,
    Kind.DRAIN,
    Kind.RELOAD,
    Kind.RELOAD_BAD,
    Kind.RELOAD_HALF,
    Kind.LINK_BREAK,
    Kind.NOTICES_DOUBLED,
    Kind.RUDE,
    Kind.CLOCK_STEP,
    Kind.CUT,
    Kind.CUT_ONE_WAY,
    Kind.RESETS,
    Kind.SLOW_WIRE,
    Kind.FLAP,
    Kind.KEY_COPY,
    Kind.SEND_AT_CLOSE,
)
RESTART_FAULTS = (Kind.KILL, Kind.DRAIN)
PEER_FAULTS = (Kind.ISLANDS, Kind.FLAP, Kind.PEER_LOSS)  # need instances that are peers
NON_PEER_FAULTS = tuple(kind for kind in Kind if kind not in PEER_FAULTS)
BAD_CALLER_FAULTS = (
    Kind.KEY_COPY,
    Kind.SEND_AT_CLOSE,
)  # drawn from a random stream of their own, so that all other draws stay the same
DEFAULT_FAULT_KINDS = tuple(kind for kind in NON_PEER_FAULTS if kind not in BAD_CALLER_FAULTS)
TRIGGER_EVENTS = (
    "asked",
    "sched",
    "iodone",
    "noio",
    "open",
    "fence",
    "ioreq",
    "reap",
    "call",
    "reply",
    "answer",
    "revoke",
)
CUT_ENDPOINTS = ("kernel", "ledger", "callers", "node-list")
PEERS_ENDPOINT = "peers"
RUDE_CALLER_KINDS = 14


@dataclass(slots=True, frozen=True)
class Fault:
    """`at` is in microseconds from the start, `lasts` and `lag` in microseconds. With a trigger the fault
    begins `lag` after the `nth` such event of its instance from `at` on, or never if there are fewer."""

    kind: Kind
    at: int
    lasts: int
    target: int = 0  # number of the instance or caller
    amount: float = 0.0
    far: str = ""  # the other endpoint of a cut
    trigger: str = ""
    nth: int = 1
    lag: int = 0


@dataclass(slots=True, frozen=True)
class Product:
    name: str
    kind: str  # the idempotency setting: free, guarded or single_shot
    sla: int
    expiry: int
    window: int
    value: float
    skip: float


@dataclass(slots=True, frozen=True)
class PlannedTxn:
    """A txn that a client sends through the given caller."""

    at: int
    caller: int
    product: int
    customer: int
    key: str
    size_kb: float
    patience: int  # time limit per attempt, ms
    work: int  # microseconds on a core
    calls: int
    op: int  # duration of a call, microseconds
    effort: bool = False


@dataclass(slots=True, frozen=True)
class Caller:
    tries: int
    heeds: bool
    sticky: float
    hedges: float


@dataclass(slots=True, frozen=True)
class Fleet:
    """Membership and the sharing of the ledger's limit; times in microseconds."""

    limit: int  # concurrent calls at the ledger, of all instances
    interval: int  # of probe rounds
    lease: int
    settle: int
    floor_share: float
    voters: int = 0  # the first `voters` instances vote; 0: all
    linger: int = ABANDONED_CALL_LINGER  # how long an abandoned call is counted


@dataclass(slots=True, frozen=True)
class Plan:
    """Everything that determines a run; times in microseconds from its start."""

    seed: int
    scenario: str
    instances: int
    cores: int
    products: tuple[Product, ...]
    customers: int
    callers: tuple[Caller, ...]
    weather: NetworkConditions
    asks: tuple[PlannedTxn, ...]
    faults: tuple[Fault, ...]
    quiet: int  # the quiet point: faults are over, no new traffic
    quantum: int = 1
    ties: Ties = Ties.DRAWN
    calls_out: float = 8.0
    calls_over: int = 2 * SECOND
    memory_kb: float = 20_000.0
    run_factor: float = 8.0
    grace: int = 300 * MS
    stop: int = 1_200 * MS
    sockets: int = 512
    cold: bool = False
    round: int = 5 * MS
    boot: int = 0  # start-up time of a kernel
    checks: bool = True  # whether health checks are sent
    fleet: Fleet | None = None  # None if the instances are not peers

    def config(self, number: int, alternate_addresses: bool = False, lifetime: int = 0) -> dict[str, Any]:
        """The configuration of an instance, in the platform's format."""
        port_offset = 1 if alternate_addresses else 0
        return {
            "name": f"n{number}",
            "listen": f"{instance_ip(number)}:8443",
            "kernel": f"{kernel_ip(number)}:{7300 + port_offset}",
            "records": f"{LEDGER_IP}:{8900 + port_offset}",
            "roster": f"{NODE_LIST_IP}:{7946 + port_offset}",
            "seed": f"{(self.seed * 7_919 + number * 101 + lifetime * 13) & 0xFFFFFFFFFFFF:x}",
            "stop_ms": self.stop / MS,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.sockets},
            "settings": {
                "classes": [
                    {
                        "name": p.name,
                        "aim": p.sla,
                        "deadline": p.expiry,
                        "idempotency": p.kind,
                        "keyTtl": p.window,
                        "worth": p.value,
                    }
                    for p in self.products
                ],
                "accounts": [{"name": f"c{n}", "quotaPerS": 30.0} for n in range(self.customers)],
                "familyInfo": {
                    "cpus": self.cores,
                    "classCalls": [True] * len(self.products),
                    "classSkipWorth": [p.skip for p in self.products],
                    "callsOut": self.calls_out,
                    "callsOver": self.calls_over,
                    "linger": ABANDONED_CALL_LINGER,
                    "memoryKb": self.memory_kb,
                    "runFactor": self.run_factor,
                    "kbPerKey": 10.0,
                    "passesDeadline": True,
                    "preemption": "none",
                    "say": "weight",
                    "callers": len(self.callers),
                    "idle": 3_000_000,
                    "justStarted": self.cold,
                    "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
                },
                "guarantees": {
                    "drainGrace": self.grace,
                    "overloadFactor": 4.0,
                    "coldFrom": 0.25,
                    "rampTime": 10_000_000,
                    "answerSlack": 60 * MS,
                },
                "ceilings": {"retryAfter": True, "maxRetryAfter": 1_000_000},
                "clients": {"marksRetry": True},
                "groupSize": self.instances,
                "round": self.round,
            },
        }

    def size(self) -> int:
        return len(self.asks) + 10 * len(self.faults)


PEER_PORT = 7950
LEDGER_IP, NODE_LIST_IP, RUDE_CALLER_IP, PROBE_IP = "127.0.9.1", "127.0.9.5", "127.0.8.1", "127.0.8.9"


def instance_ip(number: int) -> str:
    return f"127.0.{20 + number}.1"


def kernel_ip(number: int) -> str:
    return f"127.0.{20 + number}.2"


def caller_ip(number: int) -> str:
    return f"127.0.7.{1 + number}"


# ---- ranges

Range = tuple[float, float]


@dataclass(slots=True, frozen=True)
class Ranges:
    """The ranges of a scenario, from which a seed draws a plan."""

    name: str = "any"
    instances: Range = (2, 5)
    cores: Range = (1, 3)
    callers: Range = (2, 4)
    seconds: Range = (2.5, 4.0)  # of traffic
    txns: Range = (100, 220)
    work_ms: Range = (2, 35)
    op_ms: Range = (2, 60)
    calls: Range = (0, 2)
    faults: Range = (3, 9)
    kinds: tuple[Kind, ...] = DEFAULT_FAULT_KINDS
    bad_callers: Range = (0, 0)  # number of BAD_CALLER_FAULTS, in addition to `faults`
    calls_out: Range = (0, 0)  # share of outstanding calls; (0, 0): one of four defaults
    scripted: tuple[Fault, ...] = ()
    quanta: tuple[int, ...] = (1, 1, 100, 1_000, 5_000)
    ties: Ties = Ties.DRAWN
    triggered: float = 0.35  # share of instance faults that wait for an event
    expiry_ms: Range = (500, 2_000)
    stop_ms: Range = (800, 1_600)
    grace_ms: Range = (100, 500)
    cold: float = 0.3  # share of seeds whose instances start cold
    referenced: float = 0.4
    once_only: float = 0.15
    peers: bool = False  # whether the instances are peers


def draw_int(rng: random.Random, limits: Range) -> int:
    return int(rng.randint(math.ceil(limits[0]), max(math.ceil(limits[0]), math.floor(limits[1]))))


def draw_log_uniform(rng: random.Random, limits: Range) -> float:
    """Draws uniformly on a logarithmic scale."""
    lowest, highest = max(limits[0], 1e-6), max(limits[1], 1e-6)
    return math.exp(rng.uniform(math.log(lowest), math.log(highest)))


def draw(ranges: Ranges, seed: int) -> Plan:
    """Draws the plan of a seed; the result is the same on every machine."""
    rng = random.Random(f"{ranges.name}/{seed}")
    duration = int(rng.uniform(*ranges.seconds) * SECOND)
    instances, cores = draw_int(rng, ranges.instances), draw_int(rng, ranges.cores)
    callers = tuple(
        Caller(
            rng.choice((1, 2, 3, 5)),
            rng.random() < 0.6,
            rng.choice((0.0, 0.3, 1.0)),
            rng.choice((0.0, 0.0, 0.2)),
        )
        for _ in range(draw_int(rng, ranges.callers))
    )
    products = tuple(draw_products(ranges, rng))
    customers = rng.choice((0, 1, 2))
    faults = tuple(draw_faults(ranges, rng, duration, instances, len(callers)))
    bad_callers = draw_bad_callers(ranges, seed, duration, instances)
    asks = tuple(draw_txns(ranges, rng, duration, products, customers, len(callers), faults))
    weather = NetworkConditions(
        least=rng.choice((10, 50, 200)),
        most=rng.choice((200, 400, 2_000)),
        split=rng.choice((0.0, 0.1, 0.5)),
        join=rng.choice((0.0, 0.3, 0.9)),
        window=rng.choice((2_048, 16_384, 65_536)),
        lost=rng.choice((0.0, 0.02, 0.2)),
        doubled=rng.choice((0.0, 0.05)),
        backlog=rng.choice((4, 128)),
    )
    return Plan(
        seed=seed,
        scenario=ranges.name,
        instances=instances,
        cores=cores,
        products=products,
        customers=customers,
        callers=callers,
        weather=weather,
        asks=asks,
        faults=tuple(sorted((*faults, *bad_callers), key=lambda fault: fault.at)),
        quiet=duration,
        quantum=rng.choice(ranges.quanta),
        ties=ranges.ties,
        calls_out=draw_calls_out(ranges, seed, default=rng.choice((2.0, 4.0, 8.0, 16.0))),
        calls_over=rng.choice((SECOND, 2 * SECOND)),
        memory_kb=rng.choice((1_500.0, 5_000.0, 20_000.0)),
        grace=draw_int(rng, ranges.grace_ms) * MS,
        stop=draw_int(rng, ranges.stop_ms) * MS,
        sockets=rng.choice((64, 128, 512)),
        cold=rng.random() < ranges.cold,
        round=rng.choice((0, 5 * MS)),
        boot=rng.choice((0, 0, 50 * MS, 300 * MS)),
        fleet=draw_fleet(rng, instances, products, faults) if ranges.peers else None,
    )


def draw_fleet(
    rng: random.Random, instances: int, products: Sequence[Product], faults: Sequence[Fault]
) -> Fleet:
    """Draws how the ledger's limit is shared. If the path to the ledger may be cut, the ledger may not notice
    that a caller is gone, so an abandoned call then counts for as long as a call may take."""
    ledger_may_be_cut = any(fault.far == "ledger" for fault in faults)
    longest_expiry = max(product.expiry for product in products)
    return Fleet(
        limit=instances * rng.choice((2, 3, 6)),
        interval=rng.choice((100, 200)) * MS,
        lease=rng.choice((400, 800)) * MS,
        settle=rng.choice((50, 150)) * MS,
        floor_share=rng.choice((0.4, 0.6)),
        voters=rng.choice((0, 0, 3)) if instances > 3 else 0,
        linger=longest_expiry if ledger_may_be_cut else ABANDONED_CALL_LINGER,
    )


def draw_products(ranges: Ranges, rng: random.Random) -> Iterator[Product]:
    def product(name: str, kind: str, window: int, value: float, skip: float) -> Product:
        expiry = int(draw_log_uniform(rng, ranges.expiry_ms)) * MS
        return Product(name, kind, int(expiry * rng.uniform(0.3, 0.8)), expiry, window, value, skip)

    yield product("look", "free", 0, 1.0, rng.choice((0.3, 0.6)))
    if ranges.referenced > 0:
        yield product("book", "guarded", rng.choice((SECOND, 3 * SECOND)), 3.0, 0.0)
    if ranges.once_only > 0 and rng.random() < 0.6:
        yield product("pay", "single_shot", 0, 2.0, 0.0)
    if rng.random() < 0.3:
        yield product("list", "free", 0, 1.0, 0.0)


def draw_txns(
    ranges: Ranges,
    rng: random.Random,
    duration: int,
    products: Sequence[Product],
    customers: int,
    callers: int,
    faults: Sequence[Fault],
) -> list[PlannedTxn]:
    """Draws the arrivals: a uniform stream, bursts and the surges of JUMP faults."""
    count = draw_int(rng, ranges.txns)
    times = [int(rng.uniform(100 * MS, duration)) for _ in range(count)]
    for fault in faults:
        if fault.kind is Kind.JUMP:
            times += [int(rng.uniform(fault.at, fault.at + fault.lasts)) for _ in range(int(fault.amount))]
    if rng.random() < 0.3:  # a burst at one instant, as when callers reconnect together
        at = int(rng.uniform(100 * MS, duration))
        times += [at] * draw_int(rng, (5, 25))
    weights = {"free": 1.0, "guarded": ranges.referenced, "single_shot": ranges.once_only}
    key_count = max(2, count // 6)
    txns = []
    for at in sorted(times):
        product_index = rng.choices(range(len(products)), [weights[p.kind] for p in products])[0]
        product = products[product_index]
        patience = (
            product.expiry // MS
            if rng.random() < 0.7
            else int(draw_log_uniform(rng, (50, product.expiry / MS)))
        )
        txns.append(
            PlannedTxn(
                at,
                draw_int(rng, (0, callers - 1)),
                product_index,
                draw_int(rng, (0, max(0, customers - 1))) if customers else -1,
                f"k{draw_int(rng, (0, key_count))}" if product.kind == "guarded" else "",
                round(draw_log_uniform(rng, (2, 60)), 1),
                patience,
                int(draw_log_uniform(rng, ranges.work_ms) * MS),
                # Mostly at most one call: each adds as many steps as the rest of a txn.
                min(draw_int(rng, ranges.calls), draw_int(rng, ranges.calls)),
                int(draw_log_uniform(rng, ranges.op_ms) * MS),
                rng.random() < 0.5,
            )
        )
    return txns


def draw_faults(
    ranges: Ranges, rng: random.Random, duration: int, instances: int, callers: int
) -> list[Fault]:
    """The scripted faults plus drawn ones; each instance is restarted at most once."""
    faults = list(ranges.scripted)
    restarted = {fault.target for fault in faults if fault.kind in RESTART_FAULTS}
    for _ in range(draw_int(rng, ranges.faults) if ranges.kinds else 0):
        kind = rng.choice(ranges.kinds)
        target = draw_int(rng, (0, (instances if kind in INSTANCE_FAULTS else callers) - 1))
        if kind in RESTART_FAULTS:
            if target in restarted:
                continue
            restarted.add(target)
        faults.append(draw_fault(kind, target, ranges, rng, duration))
    return sorted(faults, key=lambda fault: fault.at)


def draw_calls_out(ranges: Ranges, seed: int, default: float) -> float:
    """The share of outstanding calls; drawn from a random stream of its own if the scenario sets a range."""
    if ranges.calls_out[1] <= 0:
        return default
    return round(draw_log_uniform(random.Random(f"{ranges.name}/{seed}/calls out"), ranges.calls_out), 2)


def draw_bad_callers(ranges: Ranges, seed: int, duration: int, instances: int) -> list[Fault]:
    """Draws from a random stream of their own, so that all other draws are the same as without them."""
    rng = random.Random(f"{ranges.name}/{seed}/bad callers")
    faults = []
    for _ in range(draw_int(rng, ranges.bad_callers)):
        kind = rng.choice(BAD_CALLER_FAULTS)
        faults.append(draw_fault(kind, draw_int(rng, (0, instances - 1)), ranges, rng, duration))
    return faults


def draw_fault(kind: Kind, target: int, ranges: Ranges, rng: random.Random, duration: int) -> Fault:
    at = int(rng.uniform(0.05, 0.85) * duration)
    lasts = int(draw_log_uniform(rng, (20 * MS, 0.6 * duration)))
    trigger = (
        rng.choice(TRIGGER_EVENTS) if kind in INSTANCE_FAULTS and rng.random() < ranges.triggered else ""
    )
    amounts: dict[Kind, Range] = {
        Kind.SLOW_CORES: (0.05, 0.6),
        Kind.LEDGER_SLOW: (2, 30),
        Kind.LEDGER_FULL: (0.05, 1.0),
        Kind.LEDGER_FAILS: (0.05, 1.0),
        Kind.LEDGER_LOSES: (0.05, 1.0),
        Kind.LEDGER_SPOILS: (0.05, 1.0),
        Kind.LEDGER_DOUBLES: (0.1, 1.0),
        Kind.NOTICES_DOUBLED: (0.1, 1.0),
        Kind.JUMP: (20, 120),
        Kind.RUDE: (1, 12),
        Kind.RESETS: (1, 6),
        Kind.SLOW_WIRE: (1_000, 200_000),
        Kind.KILL: (0.05, 0.8),
        Kind.ISLANDS: (2, 3),
        Kind.FLAP: (0.05, 0.3),
        Kind.PEER_LOSS: (0.05, 0.4),
        Kind.KEY_COPY: (1, 12),
        Kind.SEND_AT_CLOSE: (1, 24),
    }
    amount = draw_log_uniform(rng, amounts[kind]) if kind in amounts else 0.0
    if kind is Kind.CLOCK_STEP:
        amount = rng.choice((-1, 1)) * draw_log_uniform(rng, (0.005, 3_600))
    if kind is Kind.RUDE:
        amount = draw_int(rng, amounts[kind]) * RUDE_CALLER_KINDS + draw_int(rng, (0, RUDE_CALLER_KINDS - 1))
    return Fault(
        kind,
        at,
        lasts,
        target,
        amount,
        rng.choice((*CUT_ENDPOINTS, *[PEERS_ENDPOINT] * 6) if ranges.peers else CUT_ENDPOINTS)
        if kind in (Kind.CUT, Kind.CUT_ONE_WAY)
        else "",
        trigger,
        draw_int(rng, (1, 6)) if trigger else 1,
        rng.choice((0, 0, 100, 400, 1_000, 20_000)) if trigger else 0,
    )


# ---- coverage


def overlapping_fault_kinds(plan: Plan, fault_times: Sequence[tuple[Kind, int, int]]) -> set[tuple[str, str]]:
    """Pairs of fault kinds that overlapped in a run, with one second of after-effects counted in."""
    pairs = set()
    for (one, begin, end), (other, start, stop) in combinations(fault_times, 2):
        if begin <= stop + SECOND and start <= end + SECOND:
            pairs.add((min(one.value, other.value), max(one.value, other.value)))
    return pairs


# ---- JSON, for the corpus and shrunk plans


def to_json(plan: Plan) -> bytes:
    return orjson.dumps(plan, option=orjson.OPT_INDENT_2, default=lambda each: each.value)


def from_json(data: bytes) -> Plan:
    """Raises ValueError, KeyError or TypeError if the data is not a plan."""
    value = orjson.loads(data)
    return Plan(
        **value
        | {
            "products": tuple(Product(**each) for each in value["products"]),
            "callers": tuple(Caller(**each) for each in value["callers"]),
            "weather": NetworkConditions(**value["weather"]),
            "asks": tuple(PlannedTxn(**each) for each in value["asks"]),
            "faults": tuple(Fault(**each | {"kind": Kind(each["kind"])}) for each in value["faults"]),
            "ties": Ties(value["ties"]),
            "fleet": Fleet(**value["fleet"]) if value.get("fleet") else None,
        }
    )


# ---- shrinking


@dataclass(slots=True)
class Shrinker:
    """Delta debugging over faults, txns, instances and time, largest cuts first. `next_plan` returns a plan
    to try, `record_result` takes its result."""

    best: Plan
    broken_at: int  # when the rule was violated, microseconds from the start
    tried: set[bytes] = field(default_factory=set)
    tries: int = 0

    def smaller_plans(self) -> Iterator[Plan]:
        """The candidates of one round, derived from `best`; a new round begins whenever `best` changes."""
        plan = self.best
        cutoff = self.broken_at + 1
        yield replace(
            plan,
            quiet=min(plan.quiet, cutoff),
            asks=tuple(a for a in plan.asks if a.at <= cutoff),
            faults=tuple(f for f in plan.faults if f.at <= cutoff),
        )
        for part in self._slices(len(plan.faults)):
            yield replace(plan, faults=remove_slice(plan.faults, part))
        for part in self._slices(len(plan.asks)):
            yield replace(plan, asks=remove_slice(plan.asks, part))
        for number in range(plan.instances - 1, 0, -1):
            yield replace(
                plan,
                instances=number,
                faults=tuple(f for f in plan.faults if f.kind not in INSTANCE_FAULTS or f.target < number),
            )
        if len(plan.callers) > 1:
            yield replace(
                plan,
                callers=plan.callers[:1],
                asks=tuple(replace(a, caller=0) for a in plan.asks),
                faults=tuple(
                    replace(f, target=0) if f.kind is Kind.CALLER_RESTART else f for f in plan.faults
                ),
            )
        if plan.checks:
            yield replace(plan, checks=False)
        yield from self._shorter_plans()
        lossless = replace(plan.weather, split=0.0, join=0.0, lost=0.0, doubled=0.0, late=0.0)
        yield replace(plan, weather=lossless)
        for index, fault in enumerate(plan.faults):
            if fault.lasts > 20 * MS:
                shorter = replace(fault, lasts=fault.lasts // 2)
                yield replace(plan, faults=(*plan.faults[:index], shorter, *plan.faults[index + 1 :]))

    def _shorter_plans(self) -> Iterator[Plan]:
        """The same events in less time: without the idle time before the first one, or with all intervals
        scaled down."""
        plan = self.best
        times = [ask.at for ask in plan.asks] + [fault.at for fault in plan.faults]
        first = min(times, default=0)
        if first > 40 * MS:
            yield with_mapped_times(plan, lambda at: max(0, at - first + 20 * MS))
        yield with_mapped_times(plan, lambda at: at // 2)
        yield with_mapped_times(plan, lambda at: at * 4 // 5)

    @staticmethod
    def _slices(count: int) -> Iterator[slice]:
        size = count
        while size >= 1:
            for start in range(0, count, size):
                yield slice(start, start + size)
            size //= 2

    def next_plan(self) -> Plan | None:
        for plan in self.smaller_plans():
            text = to_json(plan)
            if plan != self.best and text not in self.tried:
                self.tried.add(text)
                self.tries += 1
                return plan
        return None

    def record_result(self, plan: Plan, broken_at: int | None) -> None:
        """`broken_at` is None if the plan no longer fails."""
        if broken_at is not None:
            self.best, self.broken_at = plan, broken_at


def with_mapped_times(plan: Plan, map_time: Callable[[int], int]) -> Plan:
    """The plan with `map_time` applied to the times of all events."""
    return replace(
        plan,
        quiet=map_time(plan.quiet),
        asks=tuple(replace(ask, at=map_time(ask.at)) for ask in plan.asks),
        faults=tuple(replace(fault, at=map_time(fault.at)) for fault in plan.faults),
    )


def remove_slice(items: tuple[Any, ...], part: slice) -> tuple[Any, ...]:
    remaining = list(items)
    del remaining[part]
    return tuple(remaining)
