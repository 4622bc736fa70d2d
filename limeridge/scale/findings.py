"""What was found before there were sweeps, beside what the sweeps say of the same."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from limeridge.config import SETTINGS
from limeridge.scale import assumptions as take
from limeridge.scale.configured import Configured
from limeridge.scale.evidence import Basis, Evidence, Figure
from limeridge.scale.quantities import INSTANCE, Quantity
from limeridge.scale.references import LONGEST_TURN, MEMORY_AFTER_START, RELOAD_TIME, member_cost
from limeridge.scale.results import Role
from limeridge.scale.target import Target

NOT_REPEATED = "not repeated"
VOTER_SIZES = (50, 100, 200)
GOSSIP_SIZE = Quantity(300, INSTANCE)


@dataclass(frozen=True)
class Finding:
    """An earlier finding, what is known now, and why it is so."""

    earlier: str
    now: str
    cause: str
    figures: tuple[Figure, ...] = ()


def all_findings(target: Target, evidence: Evidence) -> tuple[Finding, ...]:
    """In the order in which they were told."""
    return (
        *configuration_findings(target, evidence),
        *member_findings(target, evidence),
        Finding(
            "`limeridge peers size` did not end within 230 s for 1,000 members",
            NOT_REPEATED,
            "virtual members walk over all others in hot places; what lies beyond the sweep is extrapolated",
        ),
    )


def configuration_findings(target: Target, evidence: Evidence) -> Iterator[Finding]:
    """Of reading and holding 240,000 tenants, before it could change in a running process."""
    was = Configured(target, evidence, before=True)
    most = SETTINGS["accounts"][2]
    yield Finding(
        "a configuration of 240,000 tenants is refused: a list has 100,000 entries at the most",
        f"the bound on the list is {most:,.0f}",
        "a bound against files that would hold up the process, which reads them in one turn",
    )
    turn, took = was.cost(LONGEST_TURN, take.READ_TIME), was.cost(RELOAD_TIME, take.READ_TIME)
    yield Finding(
        "with the bound lifted it takes 2.1 s to read, in one go on the reactor's thread",
        known(took, "{0} from the signal to the log line, longest turn {1}", turn),
        "parsing, checking and flattening go on in one turn, in which nothing else is served",
        (turn, took),
    )
    memory = was.cost(MEMORY_AFTER_START, take.CONFIGURATION_MEMORY)
    yield Finding(
        "the process then holds 163 MB in place of 14",
        known(memory, "{0} more than without tenants"),
        "each tenant is two keys of a dict of settings beside its own name in a tuple",
        (memory,),
    )
    yield Finding(
        "SIGHUP takes over three addresses, the time to stop and the cores alone",
        "tenants, quotas and limits change in a running process since (`configuration.application`)",
        "the brain was built for one set of tenants, classes and limits",
    )
    yield Finding(
        "there are no routes at all",
        "there is a table of routes (`configuration.routes`); no request is looked up in it",
        "no part of the path of requests has needed them",
    )


def member_findings(target: Target, evidence: Evidence) -> Iterator[Finding]:
    """Of voters, views and gossip."""
    voter = member_cost(Role.VOTER, "processor")
    at_sizes = [evidence.at(voter, Quantity(size, INSTANCE), take.VOTER_PROCESSOR) for size in VOTER_SIZES]
    full = evidence.at(voter, target.instances, take.VOTER_PROCESSOR)
    sizes = ", ".join(map(str, VOTER_SIZES))
    yield Finding(
        "a voter takes 1.2, 1.9 and 2.6% of a core with 50, 100 and 200 members: some 33% at 3,400",
        known(full, f"{{1}}, {{2}} and {{3}} with {sizes}; {{0}} at {target.instances}", *at_sizes),
        "each member asks each voter for its part anew within each lease",
        (full, *at_sizes),
    )
    member = evidence.at(member_cost(Role.MEMBER, "processor"), target.instances, take.MEMBER_PROCESSOR)
    yield Finding(
        "other members take 0.6%, flat",
        known(member, f"{{0}} at {target.instances}, by {member.formula}"),
        "probes go to one member a round whatever the fleet; whole tables are exchanged besides",
        (member,),
    )
    view = evidence.at(member_cost(Role.VOTER, "largest view"), target.instances, take.VIEW_MESSAGE)
    yield Finding(
        "a view names every life, so that its message grows with the fleet, to some 100 KB",
        known(view, f"{{0}} at {target.instances}, by {view.formula}"),
        "a view is the set of lives that share the surplus, and two voters must mean the same set",
        (view,),
    )
    gossip = evidence.at(member_cost(Role.MEMBER, "bytes out"), GOSSIP_SIZE, take.MEMBER_BYTES)
    yield Finding(
        "gossip sends 1.7 KB/s of a member's 3 at 300 members and no churn",
        known(gossip, f"{{0}} sent at {GOSSIP_SIZE}, by {gossip.formula}"),
        "renewals of shares with each voter, and the whole table of members to one other each ten rounds",
        (gossip,),
    )


def known(first: Figure, text: str, *others: Figure) -> str:
    """The text with the figures' values; that it was not repeated where one is not measured."""
    figures = (first, *others)
    if any(figure.basis is Basis.NOT_MEASURED for figure in figures):
        return NOT_REPEATED
    return text.format(*(figure.value for figure in figures))
