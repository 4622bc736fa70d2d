"""The SWIM failure detector of one member: probe rounds, suspicions and local health.

This module does no I/O, reads no clock and takes randomness only from the generator that is passed in. It
receives events and returns the actions that the caller is to carry out.

From SWIM (Das, Gupta, Motivala 2002): each round probes one member, in an order that is reshuffled after
every pass, first directly and, after a time-out, through helpers. A member that does not answer becomes
suspect and can refute the suspicion. From Lifeguard (Dadgar, Phillips, Currey 2017): rounds are stretched
while the local health score is bad, a suspicion gets shorter the more members confirm it, and a ping to a
suspect carries the suspicion first. This implementation differs in two ways. Some of the members that receive
a suspicion probe the suspect in their next round. An instance that was stalled, or that receives answers from
nobody, counts as isolated: it declares nobody suspect or dead until it has received an answer again.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from limeridge.peers.members import Change, Claim, Life, Members, State

MS = 1_000
PRIORITY_PROBE_FACTOR = 2.0  # expected members that probe a suspect out of turn, per expected confirmation


@dataclass(slots=True, frozen=True)
class ProbeSettings:
    """Settings of the failure detector; times are in microseconds.

    With 10% datagram loss, one direct probe in five fails, and one in several hundred fails with three
    helpers as well; the resulting suspicions are refuted.
    """

    interval: int = 1_000 * MS  # of probe rounds
    timeout: int = 300 * MS  # of a direct probe, after which helpers are asked
    helpers: int = 3  # members that are asked for an indirect probe
    suspicion_multiplier: float = 4.0  # minimum suspicion: rounds per log10 of the number of members
    suspicion_max_multiplier: float = 6.0  # maximum suspicion, as a multiple of the minimum
    expected_confirmations: int = 3  # further accusers that shorten a suspicion to its minimum
    max_health_score: int = 8  # limits how far rounds are stretched
    stall_threshold: int = 500 * MS  # a timer that fires later than this indicates a stalled process


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a ping to the target, directly or, if `helper` is given, as a ping request to that member."""

    seq: int
    target: Claim
    helper: Claim | None = None


@dataclass(slots=True, frozen=True)
class DeclareSuspect:
    """Mark the target as suspect and gossip the suspicion."""

    target: Claim


@dataclass(slots=True, frozen=True)
class DeclareDead:
    """Mark the target as dead and gossip it."""

    target: Claim


Action = Probe | DeclareSuspect | DeclareDead


@dataclass(slots=True)
class Round:
    """State of the current probe round."""

    seq: int
    target: Claim
    indirect_probe_at: int  # when helpers are asked
    indirect_probes_sent: bool = False
    helper_count: int = 0  # how many helpers were asked
    nacks: set[str] = field(default_factory=set)
    acked: bool = False

    @property
    def awaiting_direct_ack(self) -> bool:
        """Whether the direct probe has neither been answered nor timed out."""
        return not self.acked and not self.indirect_probes_sent


@dataclass(slots=True)
class Suspicion:
    """A running suspicion of one life of a member at one incarnation."""

    life: Life
    incarnation: int
    started_at: int
    min_duration: int
    max_duration: int
    expected_confirmations: int
    accusers: set[str] = field(default_factory=set)

    def deadline(self) -> int:
        """When the member is declared dead. The time-out falls from `max_duration` to `min_duration` with the
        logarithm of the number of accusers."""
        confirmations = max(0, len(self.accusers) - 1)
        if self.expected_confirmations <= 0:
            return self.started_at + self.min_duration
        share = min(1.0, math.log(confirmations + 1) / math.log(self.expected_confirmations + 1))
        return self.started_at + max(
            self.min_duration, int(self.max_duration - (self.max_duration - self.min_duration) * share)
        )


class Detector:
    """The failure detector of one member. `wake` returns the actions that are due."""

    def __init__(self, members: Members, rng: random.Random, settings: ProbeSettings, now: int) -> None:
        self.members, self.rng, self.settings = members, rng, settings
        self.probe_order: list[str] = []
        self.priority_targets: list[str] = []  # suspects to be probed out of turn
        self.last_was_priority = False
        self.round: Round | None = None
        self.suspicions: dict[str, Suspicion] = {}
        self.health_score = 0  # Lifeguard's local health multiplier; 0 is healthy
        self.seq = 0
        self.next_at = now
        self.next_round_at = now
        self.awaiting_contact = False  # no answer has been received since the last stall
        self.stall_ended_at = now
        self.last_contact_at = now  # when an answer of any member was last received
        self.stalls = 0

    # ---- time

    def wake(self, now: int) -> list[Action]:
        """Runs what is due. Call it at `next_at` or soon after; an earlier call is harmless."""
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
        # Suspicions that have expired while this instance is isolated are checked again every round.
        times += [deadline for each in self.suspicions.values() if (deadline := each.deadline()) > now]
        return max(now + 1, min(times))

    def record_stall(self, now: int, duration: int) -> None:
        """Resets the current state after a pause of the process or a blocked event loop.

        Answers may still be unread, so the open round is no evidence against its target, and all suspicions
        are extended by the length of the stall.
        """
        self.stalls += 1
        self.health_score = self.settings.max_health_score
        self.round = None
        self.next_round_at = now
        self.awaiting_contact, self.stall_ended_at = True, now
        for suspicion in self.suspicions.values():
            suspicion.started_at += duration

    def is_isolated(self, now: int) -> bool:
        """Whether no member may be declared dead at present.

        Without answers from anybody, or after a stall, the fault is more likely local. Isolation ends after
        twice the longest suspicion plus the longest stretched round; waiting longer would protect nobody.
        """
        silence = now - max(self.last_contact_at, self.stall_ended_at)
        limit = 2 * self.suspicion_bounds()[1] + self.settings.max_health_score * self.settings.interval
        if self.awaiting_contact:
            return silence < limit
        return 2 * self.settings.interval * (1 + self.health_score) < silence < limit

    def suspicion_bounds(self) -> tuple[int, int]:
        """Minimum and maximum duration of a suspicion, given the current number of members."""
        members = max(2, len(self.members.present()))
        shortest = int(
            self.settings.suspicion_multiplier * max(1.0, math.log10(members)) * self.settings.interval
        )
        return shortest, int(self.settings.suspicion_max_multiplier * shortest)

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
        """The next member to probe, from an order that is reshuffled after every pass.

        Every member is probed within two passes, or four while every second round goes to a suspect. Suspects
        get no more than every second round, otherwise dead members could take up all probes.
        """
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
        # Repeats the direct probe as well, since the first one or its answer may have been lost.
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
        # Missing nacks point to a local fault, nacks from the helpers point to the target. Each round counts
        # once, however many helpers were asked: if a third of the fleet fails at once, dead helpers would
        # otherwise degrade the health score of all remaining members and delay the detection of the failures.
        # A target that is already suspect is no evidence about local health.
        unsuspected = current.target.state is State.ALIVE
        if unsuspected and (not current.helper_count or len(current.nacks) < current.helper_count):
            self.adjust_health_score(1)
        if self.awaiting_contact:
            return []
        return [DeclareSuspect(claim)]

    def adjust_health_score(self, delta: int) -> None:
        """Adds `delta` to the health score, within its bounds; a positive delta worsens it."""
        self.health_score = max(0, min(self.settings.max_health_score, self.health_score + delta))

    # ---- events

    def handle_ack(self, seq: int, of: str, now: int) -> bool:
        """Handles an ack of the probed member `of`, direct or relayed by a helper; returns False if it does
        not belong to the open round."""
        self.last_contact_at, self.awaiting_contact = now, False
        current = self.round
        if current is None or current.seq != seq or current.target.name != of or current.acked:
            return False
        current.acked = True
        self.adjust_health_score(-1)
        return True

    def handle_nack(self, seq: int, helper: str, now: int) -> None:
        """Handles a helper's report that the target did not answer."""
        self.last_contact_at, self.awaiting_contact = now, False
        if self.round is not None and self.round.seq == seq:
            self.round.nacks.add(helper)

    def handle_change(self, change: Change, now: int) -> None:
        """Starts or ends the suspicion of a member after an update of the membership table."""
        new = change.new
        suspicion = self.suspicions.get(new.name)
        if new.state is not State.SUSPECT:
            if suspicion is not None:
                del self.suspicions[new.name]
        elif suspicion is None or (suspicion.life, suspicion.incarnation) != (new.life, new.incarnation):
            shortest, longest = self.suspicion_bounds()
            expected = min(self.settings.expected_confirmations, max(0, len(self.members.present()) - 2))
            self.suspicions[new.name] = Suspicion(new.life, new.incarnation, now, shortest, longest, expected)
            self.next_at = min(self.next_at, self.suspicions[new.name].deadline())
            # Some members probe the suspect next. If it is dead they soon confirm the suspicion; if it is
            # alive it learns of the suspicion and refutes it. On average about twice as many members do so
            # as are needed to shorten the suspicion fully, whatever the size of the fleet.
            others = max(1, len(self.members.present()) - 2)
            if self.rng.random() < PRIORITY_PROBE_FACTOR * expected / others:
                self.priority_targets.append(new.name)
        if new.state <= State.SUSPECT and (change.old is None or change.old.state > State.SUSPECT):
            # At a random position, so that members that join together are not probed by all in one order.
            self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), new.name)

    def add_accuser(self, name: str, life: Life, incarnation: int, accuser: str) -> bool:
        """Counts `accuser` towards a running suspicion; returns False if there is none, if the accuser is
        already counted, or if the suspicion has as many accusers as it needs."""
        suspicion = self.suspicions.get(name)
        if suspicion is None or (suspicion.life, suspicion.incarnation) != (life, incarnation):
            return False
        if accuser in suspicion.accusers or len(suspicion.accusers) > self.settings.expected_confirmations:
            return False
        suspicion.accusers.add(accuser)
        self.next_at = min(self.next_at, suspicion.deadline())
        return True
