"""Failure arithmetic: who notices, in what time, what it costs and what stays served.

Times follow from the pace of probes (limeridge.peers.probing) and from how news are told
(limeridge.peers.members); what the code spends meanwhile is measured.
"""

from __future__ import annotations

import math

from limeridge.peers.members import RETRANSMIT_FACTOR
from limeridge.peers.messages import CLAIM_FIXED_BYTES, MAX_DATAGRAM_BYTES, MESSAGE_OVERHEAD_BYTES
from limeridge.peers.probing import ProbeSettings
from limeridge.peers.shares import Terms
from limeridge.scale import assumptions as take
from limeridge.scale.configured import current
from limeridge.scale.evidence import Assumption, Evidence, Fallback, Figure, assumed, stated
from limeridge.scale.instance_rows import sustained_cost
from limeridge.scale.model import Failure
from limeridge.scale.quantities import (
    DAY,
    FAILURE,
    INSTANCE,
    REPLACEMENT,
    Quantity,
    microseconds,
    seconds,
)
from limeridge.scale.references import member_cost
from limeridge.scale.results import Role, Situation
from limeridge.scale.shared_rows import region_back
from limeridge.scale.target import ONE_INSTANCE, Target

RACK = Quantity(40, INSTANCE)
VOTERS = tuple("12345")  # as many as there are machines set aside in the users' target
NEWS_BYTES = 20  # of a claim's name, address and zone
CLAIMS_OF_A_DATAGRAM = Quantity(
    (MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES) // (CLAIM_FIXED_BYTES + NEWS_BYTES)
)
MEAN_ROUNDS = math.e / (math.e - 1)  # until a member is probed by one of all that probe in turn
NEWS_A_SECOND = Quantity(3) / seconds(1)
LIST_LAPSE = seconds(3)

NOTICING = Assumption(
    "noticing",
    "a dead member is probed after 1.58 rounds in the mean, suspected a round later and held dead when the "
    "shortest suspicion is over; the news reach all in as many rounds as the fleet doubles",
)
NEWS = Assumption(
    "telling",
    f"three datagrams a second carry news, with {CLAIMS_OF_A_DATAGRAM} claims in each; a claim is told as "
    "often as the code has it",
)
RACK_SIZE = Assumption("rack", "a rack or switch has 40 instances behind it")
LIST_STALE = Assumption(
    "stale list",
    "callers go on to a failed machine until service discovery drops it, 3 s after its last report",
)


def all_failures(target: Target, evidence: Evidence) -> tuple[Failure, ...]:
    """From the ordinary day to regions that lose each other."""
    return (
        ordinary_day(target, evidence),
        release(target, evidence),
        loss(target, evidence, "a rack or switch", "most days", RACK, Situation.RACK),
        loss(target, evidence, "a zone", "a few times a year", target.instances_of_a_zone, Situation.ZONE),
        region_lost(target, evidence),
        regions_cut(target, evidence),
    )


# ---- times


def held_dead_after(target: Target) -> Figure:
    """Until the first member holds a dead one dead, where several accuse it."""
    pace = ProbeSettings()
    interval = microseconds(pace.interval)
    suspicion = interval * Quantity(pace.suspicion_multiplier * max(1.0, math.log10(target.instances.value)))
    probed = interval * Quantity(MEAN_ROUNDS) + interval
    return assumed(probed + suspicion, NOTICING, f"{probed} + {suspicion}")


def known_to_all_after(target: Target) -> Figure:
    """Until all hold it dead."""
    spread = microseconds(ProbeSettings().interval) * Quantity(math.log2(target.instances.value))
    return held_dead_after(target) + assumed(spread, NOTICING)


def news_time(target: Target, lives: Quantity) -> Figure:
    """How long the news of so many lives take up all room that datagrams have for news."""
    tellings = Quantity(RETRANSMIT_FACTOR * int(target.instances.value).bit_length())
    time = lives / ONE_INSTANCE * tellings / CLAIMS_OF_A_DATAGRAM / NEWS_A_SECOND
    return assumed(time, NEWS, f"{lives} x {tellings} / {CLAIMS_OF_A_DATAGRAM} / ({NEWS_A_SECOND})")


# ---- events


def ordinary_day(target: Target, evidence: Evidence) -> Failure:
    """Machines that fail one by one, and replacements."""
    met = target.failure_rate / Quantity(1, FAILURE) * target.rate_of_one * LIST_LAPSE
    formula = f"{target.failure_rate} x {target.rate_of_one} x {LIST_LAPSE}"
    part = assumed(met / target.request_rate, LIST_STALE, f"{formula} / {target.request_rate}")
    return Failure(
        event="ordinary day",
        how_often=f"{per_day(target.failure_rate)} failures, {per_day(target.replacement_rate)} replacements",
        lost="one instance at a time",
        noticed_by="the member whose turn it is to probe it; callers by service discovery",
        noticed_after=held_dead_after(target),
        costs=(
            ("part of all requests that meet a failed machine", part),
            *spent_on_a_day(target, evidence),
        ),
        served="all but what was in the hands of the failed machine",
    )


def release(target: Target, evidence: Evidence) -> Failure:
    """All instances replaced one by one, as fast as the sweep replaces members."""
    took = target.instances / take.SWEPT_REPLACEMENTS * Quantity(1, REPLACEMENT / INSTANCE)
    return Failure(
        event=f"a release that replaces all within {took}",
        how_often="by the operator",
        lost="one instance at a time",
        noticed_by="all, as an instance that leaves says so",
        noticed_after=assumed(known_to_all_after(target).value - held_dead_after(target).value, NOTICING),
        costs=spent(target, evidence, Situation.CHURN),
        served="all",
    )


def loss(
    target: Target, evidence: Evidence, event: str, often: str, lost: Quantity, situation: Situation
) -> Failure:
    """So many instances at once, within one region."""
    left = target.instances - lost
    load = target.request_rate / left * ONE_INSTANCE
    part = assumed(lost / target.instances, RACK_SIZE) if lost is RACK else stated(lost / target.instances)
    return Failure(
        event=event,
        how_often=often,
        lost=str(lost),
        noticed_by="members of all zones, each by its own probes; callers by service discovery",
        noticed_after=known_to_all_after(target),
        costs=(
            ("part of the fleet, and of requests until callers know", part),
            ("requests a second at each one left", stated(load)),
            ("news fill datagrams for", news_time(target, lost)),
            *spent(target, evidence, situation),
        ),
        served=f"all, at {ratio_of(load, target.rate_of_one)} of the load; shares while "
        f"{quorum_text()} voters are in reach",
    )


def region_lost(target: Target, evidence: Evidence) -> Failure:
    """One region gone and, minutes later, back at once."""
    lost = target.instances_of_a_region
    gone = loss(
        target, evidence, "a region, back after minutes", "several times a year", lost, Situation.RETURN
    )
    whole = region_copies(target, evidence)
    return Failure(
        event=gone.event,
        how_often=gone.how_often,
        lost=gone.lost,
        noticed_by=gone.noticed_by,
        noticed_after=gone.noticed_after,
        costs=(*gone.costs, ("whole configurations from one control machine, as it is back", whole)),
        served=gone.served,
    )


def regions_cut(target: Target, evidence: Evidence) -> Failure:
    """Two halves of the regions that can't reach each other for minutes."""
    half = target.instances / Quantity(2)
    return Failure(
        event="two halves of the regions cut apart",
        how_often="several times a year",
        lost=f"the way to {half}",
        noticed_by="each half by its own probes; it holds the other half dead",
        noticed_after=known_to_all_after(target),
        costs=(
            ("news fill datagrams for", news_time(target, half)),
            *spent(target, evidence, Situation.CUT),
            *spent(target, evidence, Situation.CUT, ", as it heals"),
        ),
        served=f"each half its own callers; of the limit of calls, floors alone in a half with fewer than "
        f"{quorum_text()} voters, which are both halves of 3 and 2",
    )


def region_copies(target: Target, evidence: Evidence) -> Figure:
    """Bytes per second from one control machine as a region comes back."""
    return region_back(target, current(target, evidence))


def spent(
    target: Target, evidence: Evidence, situation: Situation, suffix: str = ""
) -> tuple[tuple[str, Figure], ...]:
    """What a member and a voter spend meanwhile."""

    def at(role: Role, cost: str) -> Figure:
        fallback = {
            (Role.MEMBER, "processor"): take.MEMBER_PROCESSOR,
            (Role.VOTER, "processor"): take.VOTER_PROCESSOR,
        }.get((role, cost), take.MEMBER_BYTES)
        return evidence.at(member_cost(role, cost + suffix, situation), target.instances, fallback)

    when = suffix.removeprefix(", ") or "meanwhile"
    traffic = at(Role.MEMBER, "bytes out") + at(Role.MEMBER, "bytes in")
    return (
        (f"a member's processor {when}", at(Role.MEMBER, "processor")),
        (f"a member's bytes a second {when}", traffic),
        (f"a voter's processor {when}", at(Role.VOTER, "processor")),
    )


def spent_on_a_day(target: Target, evidence: Evidence) -> tuple[tuple[str, Figure], ...]:
    """What a member and a voter spend at the target's rate of replacements."""

    def at(role: Role, cost: str, fallback: Fallback) -> Figure:
        return sustained_cost(target, evidence, role, cost, Situation.CHURN, fallback)

    traffic = at(Role.MEMBER, "bytes out", take.MEMBER_BYTES) + at(Role.MEMBER, "bytes in", take.MEMBER_BYTES)
    return (
        ("a member's processor", at(Role.MEMBER, "processor", take.MEMBER_PROCESSOR)),
        ("a member's bytes a second", traffic),
        ("a voter's processor", at(Role.VOTER, "processor", take.VOTER_PROCESSOR)),
    )


# ---- text


def quorum_text() -> str:
    """How many voters a share needs, by the code's own rule."""
    terms = Terms(limit=0, capacity=0, voters=VOTERS)
    return f"{terms.quorum} of {len(VOTERS)}"


def ratio_of(one: Quantity, other: Quantity) -> str:
    """In percent."""
    return f"{100 * (one / other).number:.0f}%"


def per_day(rate: Quantity) -> str:
    """How many there are in a day."""
    return f"{(rate * DAY).value:,.0f}"
