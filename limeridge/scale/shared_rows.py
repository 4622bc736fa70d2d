"""Rows of what instances share: machines set aside, service discovery, records service, callers, tools."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from limeridge.net.log import COUNT_WINDOW_S as LOG_SPAN
from limeridge.net.log import MAX_LINES_PER_WINDOW as LOG_LINES_MOST
from limeridge.peers.seeds import NodeListPolicy
from limeridge.peers.shares import Terms
from limeridge.scale import assumptions as take
from limeridge.scale.configured import Configured, both, current
from limeridge.scale.evidence import Evidence, Figure, assumed, resting_on, stated
from limeridge.scale.instance_rows import READER_MODULES, VIEW_MODULES, each_interval, sustained_cost
from limeridge.scale.model import Budget, Message, Part, Row, State
from limeridge.scale.quantities import (
    CHANGE,
    INSTANCE,
    LINE,
    MESSAGE,
    REPLACEMENT,
    SECOND,
    Quantity,
    microseconds,
    seconds,
)
from limeridge.scale.references import member_cost
from limeridge.scale.results import Role, Situation
from limeridge.scale.target import (
    BUDGET_SENTENCE,
    ONE_INSTANCE,
    ONE_REQUEST_OF_A_CONNECTION,
    Target,
    counted_reading,
)

ONE_EACH = Quantity(1) / ONE_INSTANCE  # for each instance
ONE_ANSWER_EACH = Quantity(1, MESSAGE / INSTANCE / CHANGE)
ONE_INSTANCE_REPLACED = Quantity(1, INSTANCE / REPLACEMENT)
DISCOVERY_MODULES = ("limeridge.net.nodelist",)
SHARE_MODULES = ("limeridge.peers.shares", "limeridge.duty.allot")


def rows(target: Target, evidence: Evidence) -> Iterator[Row]:
    """All rows of what is shared."""
    yield from control_machine_rows(target, evidence)
    yield from discovery_rows(target, evidence)
    yield from records_rows(target)
    yield from caller_rows(target)
    yield from operator_rows(target)


# ---- machines set aside


def control_machine_rows(target: Target, evidence: Evidence) -> Iterator[Row]:
    """One of the machines, all of them up, with whole files to all as there is no other way yet."""
    link = Budget(take.MACHINE_LINK, take.MACHINE.text, take.MACHINE)
    costs: tuple[tuple[str, Callable[[Configured], Figure]], ...] = (
        (
            "bytes a second of changes to its instances",
            lambda state: to_instances(target, state.change_traffic),
        ),
        ("bytes a second as a region comes back", lambda state: region_back(target, state)),
    )
    for cost, figure_of in costs:
        needed, before = both(target, evidence, figure_of)
        yield Row(Part.CONTROL_MACHINE, cost, needed, link, before=before)
    yield Row(
        Part.CONTROL_MACHINE,
        "processor, if it is a voter, under a day's replacements",
        sustained_cost(target, evidence, Role.VOTER, "processor", Situation.CHURN, take.VOTER_PROCESSOR),
        Budget(take.MACHINE_CORES, take.MACHINE.text, take.MACHINE),
        VIEW_MODULES,
    )


def to_instances(target: Target, of_one: Figure) -> Figure:
    """The same to all instances of one machine."""
    served = target.instances_of_a_control_machine
    return of_one * stated(served * ONE_EACH, f"({target.instances} / {target.control_machines})")


def region_back(target: Target, state: Configured) -> Figure:
    """Whole configurations for a region at once, from all machines together, in the time to be in force."""
    copies = target.instances_of_a_region * ONE_EACH
    pace = copies / Quantity(target.control_machines.value) / target.in_force
    text = f"{target.instances_of_a_region} / {target.control_machines} / {target.in_force}"
    return state.file * assumed(pace, take.SPREAD_BACK, f"({text})")


# ---- service discovery


def discovery_rows(target: Target, evidence: Evidence) -> Iterator[Row]:
    """What all instances together send it, and what it answers."""

    def at(cost: str) -> Figure:
        reference = member_cost(Role.SERVICE_DISCOVERY, cost)
        fallback = take.DISCOVERY_PACKETS if cost.startswith("packets") else take.DISCOVERY_BYTES
        return evidence.at(reference, target.instances, fallback)

    messages_most = Budget(take.DISCOVERY_MESSAGES, take.DISCOVERY.text, take.DISCOVERY)
    bytes_most = Budget(take.MACHINE_LINK * take.DISCOVERY_LINK_SHARE, take.DISCOVERY.text, take.DISCOVERY)
    for way, what in (("in", "of reports and questions"), ("out", "of answers")):
        yield Row(
            Part.SERVICE_DISCOVERY,
            f"datagrams a second {what}",
            at(f"packets {way}"),
            messages_most,
            DISCOVERY_MODULES if way == "in" else READER_MODULES,
        )
        yield Row(
            Part.SERVICE_DISCOVERY,
            f"bytes a second {what}",
            at(f"bytes {way}"),
            bytes_most,
            DISCOVERY_MODULES if way == "in" else READER_MODULES,
        )


# ---- the records service


def records_rows(target: Target) -> Iterator[Row]:
    """What control has it bear, and whether its limit can be dealt out to so many."""
    yield Row(
        Part.RECORDS_SERVICE,
        "tries a second while it is down",
        assumed(take.OUTAGE_TRIES, take.OUTAGE),
        Budget(take.OUTAGE_TRIES_MOST, take.OUTAGE.text, take.OUTAGE),
        ("limeridge.duty.probe",),
    )
    terms = Terms(limit=0, capacity=0)
    processes = Quantity(target.instances.value) * take.DOUBLED_CAPACITY + Quantity(terms.doubles)
    least = processes * take.LEAST_FLOOR / Quantity(terms.floor_share)
    calls = Quantity(target.request_rate.value, Quantity(1).unit / SECOND) * take.CALLS_OF_A_REQUEST
    yield Row(
        Part.RECORDS_SERVICE,
        "limit of calls in hand under which floors are nothing",
        assumed(
            least, take.CAPACITY, f"({target.instances} x {take.DOUBLED_CAPACITY} + 1) / {terms.floor_share}"
        ),
        Budget(calls * take.CALL_TIME, take.CALLS.text, take.CALLS),
        SHARE_MODULES,
    )


# ---- callers


def caller_rows(target: Target) -> Iterator[Row]:
    """What replacements and closed connections cost callers."""
    reading = counted_reading(target)
    opened = assumed(reading.opened, take.CALLERS, f"{reading.opened}")
    yield Row(
        Part.CALLER,
        "connections opened a second at an instance, idle ones being closed",
        opened,
        Budget(take.ACCEPTS_MOST, take.ACCEPTS.text, take.ACCEPTS),
        ("limeridge.net.callers", "limeridge.brain"),
    )
    closed = target.replacement_rate * ONE_INSTANCE_REPLACED * ONE_EACH * reading.connections
    requests = target.request_rate / ONE_REQUEST_OF_A_CONNECTION
    yield Row(
        Part.CALLER,
        "connections a second that replacements close",
        assumed(closed, take.CALLERS, f"{target.replacement_rate} x {reading.connections}"),
        Budget(requests * take.MOVED_SHARE, take.MOVED.text, take.MOVED),
        ("limeridge.net.callers", "limeridge.facade"),
    )


# ---- operators


def operator_rows(target: Target) -> Iterator[Row]:
    """Logs of one instance, a look at the fleet, and who serves by which revision."""
    lines = Quantity(LOG_LINES_MOST, LINE) / seconds(LOG_SPAN)
    yield Row(
        Part.OPERATOR,
        "bytes a second of an instance's log",
        assumed(
            lines * take.LOG_KINDS * take.LOG_LINE, take.LOG, f"{take.LOG_KINDS} x {lines} x {take.LOG_LINE}"
        ),
        Budget(target.control_bytes, BUDGET_SENTENCE, take.BOTH_WAYS),
        ("limeridge.net.log",),
    )
    members = target.instances * ONE_EACH
    yield Row(
        Part.OPERATOR,
        "one look at all members by one of them",
        assumed(take.SHOWN_MEMBER * members, take.SHOW, f"{target.instances} x {take.SHOWN_MEMBER}"),
        Budget(take.SHOW_MOST, take.SHOW.text, take.SHOW),
        ("limeridge.peers.link", "limeridge.cli.peers"),
    )
    answers = target.change_rate * target.instances * ONE_ANSWER_EACH
    yield Row(
        Part.OPERATOR,
        "messages a second that tell which revision is in force where",
        assumed(answers, take.IN_FORCE_KNOWN, f"{target.instances} x {target.change_rate}"),
        Budget(take.KNOWN_MESSAGES_MOST, take.IN_FORCE_KNOWN.text, take.IN_FORCE_KNOWN),
    )


# ---- state and messages


def states(target: Target, evidence: Evidence) -> Iterator[State]:
    """What others keep on our account."""
    came = evidence.at(
        member_cost(Role.SERVICE_DISCOVERY, "bytes in"), target.instances, take.DISCOVERY_BYTES
    )
    reports = evidence.at(
        member_cost(Role.SERVICE_DISCOVERY, "packets in"), target.instances, take.DISCOVERY_PACKETS
    )
    each = resting_on(came.over(reports) * stated(Quantity(1, MESSAGE), "1 report"), take.DISCOVERY)
    yield State(Part.SERVICE_DISCOVERY, "instances that reported", target.instances, each, DISCOVERY_MODULES)
    file = current(target, evidence).file
    yield State(Part.CONTROL_MACHINE, "revisions of the configuration", Quantity(1), file)
    connections = counted_reading(target).connections
    yield State(
        Part.CALLER,
        "connections to one instance",
        connections,
        assumed(take.BYTES_OF_CONNECTION, take.CONNECTION_BYTES),
        ("limeridge.net.callers",),
    )


def messages(target: Target, evidence: Evidence) -> Iterator[Message]:
    """What is asked of others, and what they send."""
    patience = NodeListPolicy()
    answers = evidence.at(
        member_cost(Role.SERVICE_DISCOVERY, "bytes out"), target.instances, take.DISCOVERY_BYTES
    )
    readers = stated(
        Quantity(target.zones.value) / microseconds(patience.interval), f"{target.zones} / minute"
    )
    yield Message(
        Part.LIST_READER,
        "the list of all places, as an answer",
        "one reader in each zone",
        each_interval(microseconds(patience.interval)),
        answers.over(readers),
        READER_MODULES,
    )
    state = current(target, evidence)
    yield Message(
        Part.CONTROL_MACHINE,
        "one change",
        "each of its instances",
        stated(target.change_rate),
        state.change,
    )
