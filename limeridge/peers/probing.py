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
SOON = 2.0  # times as many as shorten a suspicion, that probe a suspect next


@dataclass(slots=True, frozen=True)
class Pace:
    """Times in microseconds. A loss of 10% of the datagrams lets one probe in five go unanswered directly,
    and one in some hundreds with three helpers: those are refuted."""

    interval: int = 1_000 * MS  # of a round
    time_out: int = 300 * MS  # of a direct probe, before others are asked
    helpers: int = 3
    least: float = 4.0  # rounds that a suspicion lasts times the logarithm of the members, when many share it
    most: float = 6.0  # times as long when nobody does
    shared: int = 3  # accusers from which on it is as short as it gets
    doubt: int = 8  # the most that a round is stretched by
    late: int = 500 * MS  # a timer later than this tells that we stood still


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a ping; `helper` is whom to ask for it, or none for a direct one."""

    seq: int
    target: Claim
    helper: Claim | None = None


@dataclass(slots=True, frozen=True)
class Accuse:
    """Tell that this one does not answer."""

    target: Claim


@dataclass(slots=True, frozen=True)
class Hold:
    """Hold this one dead, and tell."""

    target: Claim


Act = Probe | Accuse | Hold


@dataclass(slots=True)
class Round:
    """The probe in hand."""

    seq: int
    target: Claim
    ask_at: int  # when others are asked
    asked_others: bool = False
    asked: int = 0  # how many there were to ask
    nacks: set[str] = field(default_factory=set)
    answered: bool = False

    @property
    def waits(self) -> bool:
        """For the straight answer."""
        return not self.answered and not self.asked_others


@dataclass(slots=True)
class Suspicion:
    """Of one life at one incarnation."""

    life: Life
    incarnation: int
    begun: int
    least: int
    most: int
    shared: int
    by: set[str] = field(default_factory=set)

    def due(self) -> int:
        """When it ends in death: from `most` down to `least` with the logarithm of the accusers."""
        others = max(0, len(self.by) - 1)
        if self.shared <= 0:
            return self.begun + self.least
        share = min(1.0, math.log(others + 1) / math.log(self.shared + 1))
        return self.begun + max(self.least, int(self.most - (self.most - self.least) * share))


class Detector:
    """The failure detector of one member: `wake` and what came give the acts that are to be carried out."""

    def __init__(self, members: Members, chance: random.Random, pace: Pace, now: int) -> None:
        self.members, self.chance, self.pace = members, chance, pace
        self.order: list[str] = []
        self.soon: list[str] = []  # suspects that are probed out of turn
        self.was_soon = False
        self.round: Round | None = None
        self.suspicions: dict[str, Suspicion] = {}
        self.doubt = 0  # 0: nothing speaks against ourselves
        self.seq = 0
        self.next_at = now
        self.round_at = now
        self.silent_until_heard = False  # stood still, and nobody has answered since
        self.back_at = now  # from the last stand-still
        self.heard_at = now  # the last answer of anybody
        self.stalls = 0

    # ---- time

    def wake(self, now: int) -> list[Act]:
        """To be called at `next_at` or soon after; earlier does no harm."""
        acts: list[Act] = []
        if now - self.next_at > self.pace.late:
            self.stood_still(now, now - self.next_at)
        current = self.round
        if current is not None and current.waits and now >= current.ask_at:
            acts += self._ask_others(current)
        if now >= self.round_at:
            acts += self._end_round()
            acts += self._begin_round(now)
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.due() and not self.is_isolated(now):
                claim = self.members.get(name)
                del self.suspicions[name]
                if claim is not None and claim.state is State.SUSPECT:
                    acts.append(Hold(claim))
        self.next_at = self._next(now)
        return acts

    def _next(self, now: int) -> int:
        times = [self.round_at]
        current = self.round
        if current is not None and current.waits:
            times.append(current.ask_at)
        # A suspicion that is due while we are isolated is looked at with each round.
        times += [due for each in self.suspicions.values() if (due := each.due()) > now]
        return max(now + 1, min(times))

    def stood_still(self, now: int, late: int) -> None:
        """The process was paused, or its loop hung: answers may lie unread, and whoever seems silent may have
        spoken. What was going on is no evidence; suspicions go on as long as we were away."""
        self.stalls += 1
        self.doubt = self.pace.doubt
        self.round = None
        self.round_at = now
        self.silent_until_heard, self.back_at = True, now
        for suspicion in self.suspicions.values():
            suspicion.begun += late

    def is_isolated(self, now: int) -> bool:
        """Whether nobody is to be held dead just now. Alone, or back from a pause, we are the more likely one
        to be at fault. Alone for as long as the longest suspicion with all doubt of ourselves, there is
        nobody left to spare."""
        alone = now - max(self.heard_at, self.back_at)
        most = 2 * self.span()[1] + self.pace.doubt * self.pace.interval
        if self.silent_until_heard:
            return alone < most
        return 2 * self.pace.interval * (1 + self.doubt) < alone < most

    def span(self) -> tuple[int, int]:
        """The least and the most that a suspicion lasts, among as many members as are known now."""
        members = max(2, len(self.members.present()))
        least = int(self.pace.least * max(1.0, math.log10(members)) * self.pace.interval)
        return least, int(self.pace.most * least)

    # ---- rounds

    def _begin_round(self, now: int) -> list[Act]:
        stretch = 1 + self.doubt
        self.round_at = now + self.pace.interval * stretch
        target = self._next_target()
        if target is None:
            self.round = None
            return []
        self.seq += 1
        self.round = Round(self.seq, target, now + self.pace.time_out * stretch)
        return [Probe(self.seq, target)]

    def _next_target(self) -> Claim | None:
        """In an order shuffled anew after each pass: everybody's turn comes within two passes, or four
        where each second round goes to a suspect. More of them must not, lest the dead be probed and nobody
        else."""
        self.was_soon = bool(self.soon) and not self.was_soon
        while self.soon and self.was_soon:
            claim = self.members.get(self.soon.pop())
            if claim is not None and claim.state is State.SUSPECT:
                return claim
        for _ in range(2):
            while self.order:
                claim = self.members.get(self.order.pop())
                if claim is not None and claim.state <= State.SUSPECT:
                    return claim
            self.order = sorted(claim.name for claim in self.members.others(State.ALIVE, State.SUSPECT))
            self.chance.shuffle(self.order)
        return None

    def _ask_others(self, current: Round) -> list[Act]:
        helpers = sorted(
            (claim for claim in self.members.others(State.ALIVE) if claim.name != current.target.name),
            key=lambda claim: claim.name,
        )
        chosen = self.chance.sample(helpers, min(self.pace.helpers, len(helpers)))
        current.asked_others, current.asked = True, len(chosen)
        # Straight once more as well: the first one, or its answer, may have been lost.
        return [
            Probe(current.seq, current.target),
            *(Probe(current.seq, current.target, helper) for helper in chosen),
        ]

    def _end_round(self) -> list[Act]:
        current, self.round = self.round, None
        if current is None or current.answered:
            return []
        claim = self.members.get(current.target.name)
        if claim is None or claim.life != current.target.life or claim.state > State.SUSPECT:
            return []
        # Helpers that stay silent too speak against us; helpers that say no speak against the target. One
        # round is one piece of evidence, however many were asked: where a third died at once, dead helpers
        # would else make all the others doubt themselves, and their doubt slow the news of the dead.
        # One whom others suspect as well is no evidence at all.
        alone = current.target.state is State.ALIVE
        if alone and (not current.asked or len(current.nacks) < current.asked):
            self.distrust(1)
        if self.silent_until_heard:
            return []
        return [Accuse(claim)]

    def distrust(self, by: int) -> None:
        """Raises the doubt of ourselves, or lowers it where `by` is negative, within its bounds."""
        self.doubt = max(0, min(self.pace.doubt, self.doubt + by))

    # ---- what came

    def answered(self, seq: int, of: str, now: int) -> bool:
        """An answer of the target itself, straight or by a helper; False where it belongs to no open
        round."""
        self.heard_at, self.silent_until_heard = now, False
        current = self.round
        if current is None or current.seq != seq or current.target.name != of or current.answered:
            return False
        current.answered = True
        self.distrust(-1)
        return True

    def refused(self, seq: int, helper: str, now: int) -> None:
        """A helper hears us, and not the target."""
        self.heard_at, self.silent_until_heard = now, False
        if self.round is not None and self.round.seq == seq:
            self.round.nacks.add(helper)

    def changed(self, change: Change, now: int) -> None:
        """The table took a claim: suspicions begin and end with it."""
        new = change.new
        standing = self.suspicions.get(new.name)
        if new.state is not State.SUSPECT:
            if standing is not None:
                del self.suspicions[new.name]
        elif standing is None or (standing.life, standing.incarnation) != (new.life, new.incarnation):
            least, most = self.span()
            shared = min(self.pace.shared, max(0, len(self.members.present()) - 2))
            self.suspicions[new.name] = Suspicion(new.life, new.incarnation, now, least, most, shared)
            self.next_at = min(self.next_at, self.suspicions[new.name].due())
            # Some probe it next: where it is dead they share the suspicion soon, where it lives it hears of
            # it and refutes. About twice as many as shorten a suspicion, however many members there are.
            others = max(1, len(self.members.present()) - 2)
            if self.chance.random() < SOON * shared / others:
                self.soon.append(new.name)
        if new.state <= State.SUSPECT and (change.old is None or change.old.state > State.SUSPECT):
            # At a place drawn: what comes up together must not be probed by all in one order.
            self.order.insert(self.chance.randrange(len(self.order) + 1), new.name)

    def accused(self, name: str, life: Life, incarnation: int, by: str) -> bool:
        """True where `by` is a new accuser of a suspicion that stands and still counts for it."""
        standing = self.suspicions.get(name)
        if standing is None or (standing.life, standing.incarnation) != (life, incarnation):
            return False
        if by in standing.by or len(standing.by) > self.pace.shared:
            return False
        standing.by.add(by)
        self.next_at = min(self.next_at, standing.due())
        return True
