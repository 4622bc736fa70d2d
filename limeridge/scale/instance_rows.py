"""Rows of one instance: its path of requests, and what control costs it without a role of its own."""

from __future__ import annotations

import operator
from collections.abc import Callable, Iterator
from functools import reduce

from limeridge.facade import MAX_RESULTS_BYTES
from limeridge.net.nodelist import REPORT_INTERVAL_S as REPORT_EVERY
from limeridge.peers.intervals import Intervals
from limeridge.peers.messages import MAX_STREAM_BYTES
from limeridge.scale import assumptions as take
from limeridge.scale.configured import Configured, both, current
from limeridge.scale.evidence import Evidence, Fallback, Figure, assumed, between, resting_on, stated
from limeridge.scale.model import Budget, Message, Part, Row, State
from limeridge.scale.quantities import (
    MESSAGE,
    ONE,
    SECOND,
    Quantity,
    microseconds,
    of_bytes,
    seconds,
)
from limeridge.scale.references import (
    ADDED_BY_RELOAD,
    ADDED_P99,
    ADDED_P99_BY_CONNECTIONS,
    ADDED_P99_BY_RATE,
    PROCESSOR_BY_RATE,
    member_cost,
)
from limeridge.scale.results import Role, Situation
from limeridge.scale.target import BUDGET_SENTENCE, LOAD_SENTENCE, TABLES_SENTENCE, Target, counted_reading

PATH_MODULES = ("limeridge.net.service", "limeridge.net.callers", "limeridge.brain")
MEMBERSHIP_MODULES = (
    "limeridge.peers.peer",
    "limeridge.peers.members",
    "limeridge.peers.prober",
    "limeridge.peers.table_exchange",
)
VIEW_MODULES = ("limeridge.peers.shares", "limeridge.peers.share_exchange")
DUTY_MODULES = ("limeridge.duty.member", "limeridge.duty.ballots")
READER_MODULES = ("limeridge.peers.discovery", "limeridge.peers.seeds", "limeridge.duty.member")
FILE_MODULES = ("limeridge.config",)
TABLE_MODULES = (
    "limeridge.configuration.tenants",
    "limeridge.configuration.reading",
    "limeridge.configuration.application",
)
SUSTAINED = (Situation.REST, Situation.CHURN)
NAMES = {Situation.REST: "at rest", Situation.CHURN: "under a day's replacements"}
SUSTAINED_OF = {Role.DUTY_HOLDER: (Situation.REST,)}  # its fleet deals by need and is measured at rest alone


def added_time(target: Target) -> Budget:
    """What may be added to 99 in 100 requests."""
    return Budget(target.added_time, LOAD_SENTENCE)


def rows(target: Target, evidence: Evidence) -> Iterator[Row]:
    """All rows of one instance, those of its roles included."""
    yield from path_rows(target, evidence)
    yield from member_rows(target, evidence, Part.CONTROL, Role.MEMBER, MEMBERSHIP_MODULES)
    yield from configuration_rows(target, evidence)
    yield from total_rows(target, evidence)
    yield from member_rows(target, evidence, Part.VOTER, Role.VOTER, VIEW_MODULES)
    yield from member_rows(target, evidence, Part.DUTY_HOLDER, Role.DUTY_HOLDER, DUTY_MODULES)
    yield from member_rows(target, evidence, Part.LIST_READER, Role.LIST_READER, READER_MODULES)


# ---- the path of requests


def path_rows(target: Target, evidence: Evidence) -> Iterator[Row]:
    """Added time against each size that it may grow with, and the processor of the load."""
    reading = counted_reading(target)
    lost = target.rate_with_region_lost
    known = evidence.at_bounded_work(ADDED_P99, target.tenants, take.ADDED_TIME)
    cost = f"time added at p99 with {target.tenants} known"
    yield Row(Part.PATH, cost, known, added_time(target), PATH_MODULES)
    sizes = (
        ("at {}, one region lost", ADDED_P99_BY_RATE, lost, take.EVEN_LOAD),
        ("with {}", ADDED_P99_BY_CONNECTIONS, reading.connections, take.CALLERS),
    )
    for what, reference, size, assumption in sizes:
        needed = resting_on(evidence.at(reference, size, take.ADDED_TIME), assumption)
        cost = f"time added at p99 {what.format(size)}"
        yield Row(Part.PATH, cost, needed, added_time(target), PATH_MODULES)
    slowest = evidence.at_bounded_work(ADDED_BY_RELOAD, target.tenants, take.ADDED_BY_RELOAD)
    yield Row(
        Part.PATH,
        "longest time added while the configuration is read anew",
        slowest,
        Budget(target.added_time, LOAD_SENTENCE, take.TURN),
        PATH_MODULES,
    )
    processor = resting_on(evidence.at(PROCESSOR_BY_RATE, lost, take.REQUEST_PROCESSOR), take.EVEN_LOAD)
    budget = Budget(take.PROCESS_CORES, take.ONE_PROCESS.text, take.ONE_PROCESS)
    yield Row(Part.PATH, "processor of requests, one region lost", processor, budget, PATH_MODULES)


# ---- members, and the roles that some of them have


def member_rows(
    target: Target, evidence: Evidence, part: Part, role: Role, modules: tuple[str, ...]
) -> Iterator[Row]:
    """What one member in a role spends on all its peers' code, at rest and under the day's replacements."""
    taken = [take.HOLLOW] if role is Role.MEMBER else [take.HOLLOW, take.VOTERS_ON_INSTANCES]

    def at(cost: str, situation: Situation, fallback: Fallback) -> Figure:
        found = sustained_cost(target, evidence, role, cost, situation, fallback)
        for assumption in taken:
            found = resting_on(found, assumption)
        return found

    processor, traffic = fallbacks_of(role)
    situations = SUSTAINED_OF.get(role, SUSTAINED)
    for situation in situations:
        yield Row(
            part,
            f"processor, {NAMES[situation]}",
            at("processor", situation, processor),
            Budget(target.control_processor, BUDGET_SENTENCE, take.SUSTAINED),
            modules,
        )
        yield Row(
            part,
            f"bytes a second, {NAMES[situation]}",
            at("bytes out", situation, traffic) + at("bytes in", situation, traffic),
            Budget(target.control_bytes, BUDGET_SENTENCE, take.BOTH_WAYS),
            modules,
        )
    yield Row(
        part,
        "memory of the members' state",
        at("memory", Situation.REST, take.MEMBER_MEMORY),
        Budget(target.control_memory, BUDGET_SENTENCE, take.CONTROL_MEMORY),
        modules,
    )
    yield Row(
        part,
        "largest message",
        evidence.at(
            member_cost(role, "largest message", situations[-1]), target.instances, take.LARGEST_MESSAGE
        ),
        Budget(of_bytes(MAX_STREAM_BYTES), "the bound on one message in limeridge.peers.messages"),
        modules,
    )


def sustained_cost(
    target: Target, evidence: Evidence, role: Role, cost: str, situation: Situation, fallback: Fallback
) -> Figure:
    """A cost at rest, or at the target's rate of replacements."""
    rest = evidence.at(member_cost(role, cost), target.instances, fallback)
    if situation is Situation.REST:
        return rest
    swept = evidence.at(member_cost(role, cost, situation), target.instances, fallback)
    part = target.replacement_rate / take.SWEPT_REPLACEMENTS
    return between(rest, swept, assumed(part, take.CHURN))


def fallbacks_of(role: Role) -> tuple[Fallback, Fallback]:
    """Processor and bytes a second, while there are no series."""
    if role is Role.MEMBER:
        return take.MEMBER_PROCESSOR, take.MEMBER_BYTES
    if role is Role.VOTER:
        return take.VOTER_PROCESSOR, take.VOTER_BYTES
    return take.OTHER_PROCESSOR, take.MEMBER_BYTES


# ---- configuration


def configuration_rows(target: Target, evidence: Evidence) -> Iterator[Row]:
    """What the target's configuration costs an instance, with what it cost before."""
    memory = Budget(target.control_memory, BUDGET_SENTENCE, take.CONTROL_MEMORY)
    turn = Budget(target.added_time, LOAD_SENTENCE, take.TURN)
    processor = Budget(target.control_processor, BUDGET_SENTENCE, take.SUSTAINED)
    traffic = Budget(target.control_bytes, BUDGET_SENTENCE, take.BOTH_WAYS)
    tables = table_modules(current(target, evidence))
    costs: tuple[tuple[str, Callable[[Configured], Figure], Budget, tuple[str, ...]], ...] = (
        ("memory of the configuration, after two changes", lambda state: state.memory, memory, tables),
        ("longest turn while the configuration is read", lambda state: state.longest_turn, turn, tables),
        ("processor of changes, each read whole", lambda state: state.change_processor, processor, tables),
        ("bytes a second of changes", lambda state: state.change_traffic, traffic, ()),
        ("bytes a second of the whole at replacements", lambda state: state.start_traffic, traffic, ()),
    )
    for cost, figure_of, budget, modules in costs:
        needed, before = both(target, evidence, figure_of)
        yield Row(Part.CONTROL, cost, needed, budget, modules, before)
    yield Row(
        Part.CONTROL,
        "time until a change is in force everywhere",
        Configured(target, evidence).time_in_force,
        Budget(target.in_force, TABLES_SENTENCE),
        before=Configured(target, evidence, before=True).time_in_force,
    )


def total_rows(target: Target, evidence: Evidence) -> Iterator[Row]:
    """What all control of an instance without a role of its own takes together, under replacements."""
    mine = list(member_rows(target, evidence, Part.CONTROL, Role.MEMBER, MEMBERSHIP_MODULES))
    mine += configuration_rows(target, evidence)
    for what in ("processor", "bytes a second", "memory"):
        parts = [row for row in mine if row.cost.startswith(what) and Situation.REST.value not in row.cost]
        yield Row(
            Part.CONTROL,
            f"all {what} for control",
            reduce(operator.add, (row.needed for row in parts)),
            parts[0].budget,
            tuple(dict.fromkeys(module for row in parts for module in row.mechanism)),
            total=True,
        )


def table_modules(state: Configured) -> tuple[str, ...]:
    """What holds the tables."""
    return FILE_MODULES if state.before else TABLE_MODULES


# ---- state and messages


def states(target: Target, evidence: Evidence) -> Iterator[State]:
    """What an instance keeps."""
    others = Quantity(target.instances.value)
    memory = evidence.at(member_cost(Role.MEMBER, "memory"), target.instances, take.MEMBER_MEMORY)
    yield State(Part.CONTROL, "members", target.instances, memory.over(stated(others)), MEMBERSHIP_MODULES)
    state = current(target, evidence)
    entries = Quantity(target.tenants.value + target.routes.value)
    each = state.memory_at_start.over(stated(entries))
    yield State(Part.CONTROL, "tenants", target.tenants, each, table_modules(state))
    yield State(Part.CONTROL, "routes", target.routes, each)
    yield State(
        Part.PATH,
        "results kept for repeats",
        ONE,
        stated(of_bytes(MAX_RESULTS_BYTES), f"{of_bytes(MAX_RESULTS_BYTES)} at the most"),
        ("limeridge.facade",),
    )
    view = evidence.at(member_cost(Role.VOTER, "largest view"), target.instances, take.VIEW_MESSAGE)
    yield State(Part.VOTER, "lives in its view", target.instances, view.over(stated(others)), VIEW_MODULES)


def messages(target: Target, evidence: Evidence) -> Iterator[Message]:
    """What an instance sends, one row a kind."""
    packets = evidence.at(
        member_cost(Role.MEMBER, "packets out"),
        target.instances,
        Fallback(Quantity(3, MESSAGE / SECOND), take.MEMBER_BYTES.assumption),
    )
    traffic = evidence.at(member_cost(Role.MEMBER, "bytes out"), target.instances, take.MEMBER_BYTES)
    yield Message(
        Part.CONTROL,
        "all of the peers' code, at rest",
        "members",
        packets,
        traffic.over(packets),
        MEMBERSHIP_MODULES,
    )
    largest = evidence.at(
        member_cost(Role.MEMBER, "largest message", Situation.CHURN), target.instances, take.LARGEST_MESSAGE
    )
    yield Message(
        Part.CONTROL,
        "its whole table of members",
        "one member, and back",
        each_interval(microseconds(Intervals().sync)),
        largest,
        MEMBERSHIP_MODULES,
    )
    yield Message(
        Part.CONTROL,
        "that it is there",
        "service discovery",
        each_interval(seconds(REPORT_EVERY)),
        evidence_of_report(target, evidence),
        ("limeridge.net.nodelist",),
    )
    view = evidence.at(member_cost(Role.VOTER, "largest view"), target.instances, take.VIEW_MESSAGE)
    new_views = target.replacement_rate * take.VIEWS_OF_A_REPLACEMENT
    yield Message(
        Part.VOTER,
        "a new view",
        "each other voter",
        assumed(new_views, take.VIEW_A_REPLACEMENT, f"2 x {target.replacement_rate}"),
        view,
        VIEW_MODULES,
    )


def each_interval(interval: Quantity) -> Figure:
    """How often is what is sent once in each interval."""
    return stated(Quantity(1, MESSAGE) / interval, f"each {interval}")


def evidence_of_report(target: Target, evidence: Evidence) -> Figure:
    """Bytes of one report, from what reaches service discovery."""
    came = evidence.at(
        member_cost(Role.SERVICE_DISCOVERY, "bytes in"), target.instances, take.DISCOVERY_BYTES
    )
    reports = evidence.at(
        member_cost(Role.SERVICE_DISCOVERY, "packets in"), target.instances, take.DISCOVERY_PACKETS
    )
    return came.over(reports)
