"""Who is probed next, and when somebody who does not answer is suspected, then held dead.

It owns the rounds of probes, the suspicions and the instance's doubt of itself. It must never look at a
clock, send anything or draw but from the chance handed in: it is told what came, and gives what is to be
done.

SWIM (Das, Gupta, Motivala 2002): each round one member, in an order shuffled anew after each pass, directly
and, without an answer in time, by way of others; then a suspicion that the suspect can refute. Lifeguard
(Dadgar, Phillips, Currey 2017): the round is stretched by what speaks for our own slowness, a suspicion is
shorter the more members share it, and a suspect is told first of what it is suspected. Our departures:
some of those who hear of a suspect probe it next; and an instance that stood still, or that hears nobody at
all, counts as isolated. It neither suspects nor holds dead until somebody has answered it since.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from limeridge.peers.members import Change, Claim, Life, Members, State

MS = 1_000
PRIORITY_PROBE_FACTOR = 2.0  # times as many as shorten a suspicion, that probe a suspect next


@dataclass(slots=True, frozen=True)
class ProbeSettings:
    """Times in microseconds. A loss of 10% of the datagrams lets one probe in five go unanswered directly,
    and one in some hundreds with three helpers: those are refuted."""

    interval: int = 1_000 * MS  # of a round
    timeout: int = 300 * MS  # of a direct probe, before others are asked
    helpers: int = 3
    suspicion_multiplier: float = (
        4.0  # rounds that a suspicion lasts times the logarithm of the members, when many share it
    )
    suspicion_max_multiplier: float = 6.0  # times as long when nobody does
    expected_confirmations: int = 3  # accusers from which on it is as short as it gets
    max_health_score: int = 8  # the most that a round is stretched by
    stall_threshold: int = 500 * MS  # a timer later than this tells that we stood still


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a ping; `helper` is whom to ask for it, or none for a direct one."""

    seq: int
    target: Claim
    helper: Claim | None = None


@dataclass(slots=True, frozen=True)
class DeclareSuspect:
    """Tell that this one does not answer."""

    target: Claim


@dataclass(slots=True, frozen=True)
class DeclareDead:
    """Hold this one dead, and tell."""

    target: Claim


Action = Probe | DeclareSuspect | DeclareDead


@dataclass(slots=True)
class Round:
    """The probe in hand."""

    seq: int
    target: Claim
    indirect_probe_at: int  # when others are asked
    indirect_probes_sent: bool = False
    helper_count: int = 0  # how many there were to ask
    nacks: set[str] = field(default_factory=set)
    acked: bool = False

    @property
    def awaiting_direct_ack(self) -> bool:
        """For the straight answer."""
        return not self.acked and not self.indirect_probes_sent


@dataclass(slots=True)
class Suspicion:
    """Of one life at one incarnation."""

    life: Life
    incarnation: int
    started_at: int
    min_duration: int
    max_duration: int
    expected_confirmations: int
    accusers: set[str] = field(default_factory=set)

    def deadline(self) -> int:
        """When it ends in death: from `most` down to `least` with the logarithm of the accusers."""
        others = max(0, len(self.accusers) - 1)
        if self.expected_confirmations <= 0:
            return self.started_at + self.min_duration
        share = min(1.0, math.log(others + 1) / math.log(self.expected_confirmations + 1))
        return self.started_at + max(
            self.min_duration, int(self.max_duration - (self.max_duration - self.min_duration) * share)
        )


class Detector:
    """The failure detector of one member: `wake` and what came give the acts that are to be carried out."""

    def __init__(self, members: Members, rng: random.Random, settings: ProbeSettings, now: int) -> None:
        self.members, self.rng, self.settings = members, rng, settings
        self.probe_order: list[str] = []
        self.priority_targets: list[str] = []  # suspects that are probed out of turn
        self.last_was_priority = False
        self.round: Round | None = None
        self.suspicions: dict[str, Suspicion] = {}
        self.health_score = 0  # 0: nothing speaks against ourselves
        self.seq = 0
        self.next_at = now
        self.next_round_at = now
        self.awaiting_contact = False  # stood still, and nobody has answered since
        self.stall_ended_at = now  # from the last stand-still
        self.last_contact_at = now  # the last answer of anybody
        self.stalls = 0

    # ---- time

    def wake(self, now: int) -> list[Action]:
        """To be called at `next_at` or soon after; earlier does no harm."""
        actions: list[Action] = []
        if now - self.next_at > self.settings.stall_threshold:
            self.record_stall(now, now - self.next_at)
        current = self.round
        if current is not None and current.awaiting_direct_ack and now >= current.indirect_probe_at:
            actions += self._request_indirect_probes(current)
        if now >= self.next_round_at:
            actions += self._end_round()
            actions += self._begin_round(now)
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.deadline() and not self.is_isolated(now):
                claim = self.members.get(name)
                del self.suspicions[name]
                if claim is not None and claim.state is State.SUSPECT:
                    actions.append(DeclareDead(claim))
        self.next_at = self._next_deadline(now)
        return actions

    def _next_deadline(self, now: int) -> int:
        times = [self.next_round_at]
        current = self.round
        if current is not None and current.awaiting_direct_ack:
            times.append(current.indirect_probe_at)
        # A suspicion that is due while we are isolated is looked at with each round.
        times += [deadline for each in self.suspicions.values() if (deadline := each.deadline()) > now]
        return max(now + 1, min(times))

    def record_stall(self, now: int, late: int) -> None:
        """The process was paused, or its loop hung: answers may lie unread, and whoever seems silent may have
        spoken. What was going on is no evidence; suspicions go on as long as we were away."""
        self.stalls += 1
        self.health_score = self.settings.max_health_score
        self.round = None
        self.next_round_at = now
        self.awaiting_contact, self.stall_ended_at = True, now
        for suspicion in self.suspicions.values():
            suspicion.started_at += late

    def is_isolated(self, now: int) -> bool:
        """Whether nobody is to be held dead just now. Alone, or back from a pause, we are the more likely one
        to be at fault. Alone for as long as the longest suspicion with all doubt of ourselves, there is
        nobody left to spare."""
        alone = now - max(self.last_contact_at, self.stall_ended_at)
        most = 2 * self.suspicion_bounds()[1] + self.settings.max_health_score * self.settings.interval
        if self.awaiting_contact:
            return alone < most
        return 2 * self.settings.interval * (1 + self.health_score) < alone < most

    def suspicion_bounds(self) -> tuple[int, int]:
        """The least and the most that a suspicion lasts, among as many members as are known now."""
        members = max(2, len(self.members.present()))
        least = int(
            self.settings.suspicion_multiplier * max(1.0, math.log10(members)) * self.settings.interval
        )
        return least, int(self.settings.suspicion_max_multiplier * least)

    # ---- rounds

    def _begin_round(self, now: int) -> list[Action]:
        stretch = 1 + self.health_score
        self.next_round_at = now + self.settings.interval * stretch
        target = self._next_target()
        if target is None:
            self.round = None
            return []
        self.seq += 1
        self.round = Round(self.seq, target, now + self.settings.timeout * stretch)
        return [Probe(self.seq, target)]

    def _next_target(self) -> Claim | None:
        """In an order shuffled anew after each pass: everybody's turn comes within two passes, or four
        where each second round goes to a suspect. More of them must not, lest the dead be probed and nobody
        else."""
        self.last_was_priority = bool(self.priority_targets) and not self.last_was_priority
        while self.priority_targets and self.last_was_priority:
            claim = self.members.get(self.priority_targets.pop())
            if claim is not None and claim.state is State.SUSPECT:
                return claim
        for _ in range(2):
            while self.probe_order:
                claim = self.members.get(self.probe_order.pop())
                if claim is not None and claim.state <= State.SUSPECT:
                    return claim
            self.probe_order = sorted(claim.name for claim in self.members.others(State.ALIVE, State.SUSPECT))
            self.rng.shuffle(self.probe_order)
        return None

    def _request_indirect_probes(self, current: Round) -> list[Action]:
        helpers = sorted(
            (claim for claim in self.members.others(State.ALIVE) if claim.name != current.target.name),
            key=lambda claim: claim.name,
        )
        chosen = self.rng.sample(helpers, min(self.settings.helpers, len(helpers)))
        current.indirect_probes_sent, current.helper_count = True, len(chosen)
        # Straight once more as well: the first one, or its answer, may have been lost.
        return [
            Probe(current.seq, current.target),
            *(Probe(current.seq, current.target, helper) for helper in chosen),
        ]

    def _end_round(self) -> list[Action]:
        current, self.round = self.round, None
        if current is None or current.acked:
            return []
        claim = self.members.get(current.target.name)
        if claim is None or claim.life != current.target.life or claim.state > State.SUSPECT:
            return []
        # Helpers that stay silent too speak against us; helpers that say no speak against the target. One
        # round is one piece of evidence, however many were asked: where a third died at once, dead helpers
        # would else make all the others doubt themselves, and their doubt slow the news of the dead.
        # One whom others suspect as well is no evidence at all.
        alone = current.target.state is State.ALIVE
        if alone and (not current.helper_count or len(current.nacks) < current.helper_count):
            self.adjust_health_score(1)
        if self.awaiting_contact:
            return []
        return [DeclareSuspect(claim)]

    def adjust_health_score(self, delta: int) -> None:
        """Raises the doubt of ourselves, or lowers it where `by` is negative, within its bounds."""
        self.health_score = max(0, min(self.settings.max_health_score, self.health_score + delta))

    # ---- what came

    def handle_ack(self, seq: int, of: str, now: int) -> bool:
        """An answer of the target itself, straight or by a helper; False where it belongs to no open
        round."""
        self.last_contact_at, self.awaiting_contact = now, False
        current = self.round
        if current is None or current.seq != seq or current.target.name != of or current.acked:
            return False
        current.acked = True
        self.adjust_health_score(-1)
        return True

    def handle_nack(self, seq: int, helper: str, now: int) -> None:
        """A helper hears us, and not the target."""
        self.last_contact_at, self.awaiting_contact = now, False
        if self.round is not None and self.round.seq == seq:
            self.round.nacks.add(helper)

    def handle_change(self, change: Change, now: int) -> None:
        """The table took a claim: suspicions begin and end with it."""
        new = change.new
        standing = self.suspicions.get(new.name)
        if new.state is not State.SUSPECT:
            if standing is not None:
                del self.suspicions[new.name]
        elif standing is None or (standing.life, standing.incarnation) != (new.life, new.incarnation):
            least, most = self.suspicion_bounds()
            shared = min(self.settings.expected_confirmations, max(0, len(self.members.present()) - 2))
            self.suspicions[new.name] = Suspicion(new.life, new.incarnation, now, least, most, shared)
            self.next_at = min(self.next_at, self.suspicions[new.name].deadline())
            # Some probe it next: where it is dead they share the suspicion soon, where it lives it hears of
            # it and refutes. About twice as many as shorten a suspicion, however many members there are.
            others = max(1, len(self.members.present()) - 2)
            if self.rng.random() < PRIORITY_PROBE_FACTOR * shared / others:
                self.priority_targets.append(new.name)
        if new.state <= State.SUSPECT and (change.old is None or change.old.state > State.SUSPECT):
            # At a place drawn: what comes up together must not be probed by all in one order.
            self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), new.name)

    def add_accuser(self, name: str, life: Life, incarnation: int, accuser: str) -> bool:
        """True where `by` is a new accuser of a suspicion that stands and still counts for it."""
        standing = self.suspicions.get(name)
        if standing is None or (standing.life, standing.incarnation) != (life, incarnation):
            return False
        if accuser in standing.accusers or len(standing.accusers) > self.settings.expected_confirmations:
            return False
        standing.accusers.add(accuser)
        self.next_at = min(self.next_at, standing.deadline())
        return True
