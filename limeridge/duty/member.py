"""One instance's part in all duties: it votes, seeks, holds, renews, hands on.

It owns the order in which voter, electorate, tenures and seekers hear of things. It must never open a socket,
look at a clock or do a duty's work: `out` holds what is to be sent, `events` what is to be logged, and
whoever does the work asks `may` right before each act.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from limeridge.duty import words
from limeridge.duty.ballots import NO_TOKEN, Answer, Terms, Token, Voter
from limeridge.duty.electorate import Electorate, VersionTracker
from limeridge.duty.seek import Seeker, Waits
from limeridge.duty.tenure import Tenure

RECALLS = 4  # a hold, until it knows
SEQS_KEPT = 64


@dataclass(slots=True, frozen=True)
class Declared:
    """A duty. `checks`: the resource compares tokens; where it does not, the first act waits for `wait`, so
    that whatever an older holder had begun is over. `meanwhile`: what is done while nobody holds it, for
    those who read `limeridge duty show`."""

    name: str
    terms: Terms = field(default_factory=Terms)
    checks: bool = False
    wait: int = 0  # microseconds before the first act
    meanwhile: str = "nothing"


@dataclass(slots=True, frozen=True)
class Event:
    """A line for the log."""

    code: str
    duty: str
    fields: dict[str, object]


class Work(Protocol):
    """Who does a duty. `able`: whether it could, now (its resource is in reach, it is not itself
    overloaded)."""

    def able(self, now: int) -> bool:
        """Whether this member can do the work of the duty just now; asked before it asks for the duty."""


@dataclass(slots=True)
class Word:
    """Of somebody's holding a duty, as last heard."""

    holder: str
    token: Token
    until: int
    note: bytes = b""


class Duties:
    """All duties at one member: its tenures, its vote, and when it asks."""

    def __init__(
        self,
        own: str,
        nonce: int,
        electorate: Electorate,
        declared: Mapping[str, Declared],
        waits: Waits,
        chance: random.Random,
        now: int,
        usual: Terms | None = None,
    ) -> None:
        """`declared` are those that this instance seeks; it votes on others under the terms `usual`."""
        self.own, self.nonce, self.electorate, self.declared = own, nonce, electorate, dict(declared)
        terms = {name: each.terms for name, each in self.declared.items()}
        self.is_voter = own in electorate.voters
        self.voter = Voter(own, terms, electorate.quorum, now, usual)
        self.version_tracker = VersionTracker(electorate)
        self.tenures = {
            name: Tenure(each.terms, own, nonce, electorate.quorum) for name, each in self.declared.items()
        }
        self.seekers = {
            name: Seeker(name, own, waits, each.terms.lease, chance) for name, each in self.declared.items()
        }
        self.work: dict[str, Work] = {}
        self.word: dict[str, Word] = {}
        self.held_since: dict[str, int] = {}
        self.notes: dict[str, bytes] = {}  # what goes along with word of our own holdings
        self.why: dict[str, str] = {}  # of the last change, for `show`
        self.seqs: dict[int, tuple[str, int]] = {}  # of askings: duty, when they were sent
        self.seq = 0
        self.out: list[tuple[str, words.Body]] = []  # to a member's name, or to all where it is empty
        self.events: list[Event] = []
        self.present: tuple[str, ...] = (own,)
        self.leaving = self.doubts = False
        self.next_recall = now + self.voter.max_promise_duration  # what is told before counts for nothing

    # ---- what the work sees

    def may(self, duty: str, now: int) -> Token | None:
        """The token to act under, right now; None where we must not act. To be asked before each act, with
        the time as it is then."""
        tenure = self.tenures[duty]
        if not tenure.holds(now) or now < self.held_since.get(duty, now) + self.declared[duty].wait:
            return None
        return tenure.token

    def refused(self, duty: str, highest: Token, now: int) -> None:
        """The resource knows of a newer token than ours: ours is over, whatever the voters said."""
        tenure = self.tenures[duty]
        tenure.observe_token(highest)
        if tenure.token != NO_TOKEN and not tenure.released and highest > tenure.token:
            self._give_back(duty, "refused", now)

    def holder(self, duty: str, now: int) -> str:
        """Who holds it, as far as is known here; empty for nobody."""
        if self.tenures[duty].holds(now):
            return self.own
        word = self.word.get(duty)
        return word.holder if word is not None and now < word.until else ""

    def shown(self, now: int) -> dict[str, object]:
        """For people: who holds what, as far as is known here."""
        rows = []
        for name, each in self.declared.items():
            tenure, word = self.tenures[name], self.word.get(name)
            ours = tenure.holds(now)
            token = tenure.token if ours else word.token if word is not None else tenure.highest_known
            left = tenure.remaining(now) if ours else max(0, word.until - now) if word is not None else 0
            rows.append(
                {
                    "duty": name,
                    "holder": self.holder(name, now),
                    "token": token.number,
                    "left_s": round(left / 1e6, 2),
                    "granted_by": sorted(tenure.granted_at) if ours else [],
                    "why": self.why.get(name, ""),
                    "meanwhile": each.meanwhile,
                }
            )
        return {
            "version": self.electorate.version,
            "voters": list(self.electorate.voters),
            "votes": self.is_voter and self.voter.can_vote(now),
            "newer_set": self.version_tracker.newer_version(),
            "next_set_allowed": self.version_tracker.is_next_version_allowed(),
            "duties": rows,
        }

    # ---- time

    def next_at(self, now: int) -> int:
        """When `wake` is to be called next, microseconds."""
        if self.leaving:
            return 1 << 62
        times = [
            seeker.wakes_at(self.present, self.tenures[name].holds(now), now)
            for name, seeker in self.seekers.items()
        ]
        times += [tenure.expires_at() for tenure in self.tenures.values() if tenure.holds(now)]
        times += [word.until for word in self.word.values() if word.until > now]
        if self.is_voter and not self.voter.has_recovered():
            times.append(self.next_recall)
        return max(now + 1, min(times, default=1 << 62))

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        """`present`: names of all members held to be there, ourselves among them."""
        if self.leaving:
            return
        self.present = present
        if self.is_voter and not self.voter.has_recovered() and now >= self.next_recall:
            self.next_recall = now + max(1, self.voter.max_promise_duration // RECALLS)
            for name in self._others():
                self.out.append((name, words.Recall(self.electorate.version)))
        for name in self.declared:
            self._look(name, unix, now)

    def _others(self) -> list[str]:
        return [name for name in self.electorate.voters if name != self.own]

    def _look(self, duty: str, unix: int, now: int) -> None:
        tenure, seeker = self.tenures[duty], self.seekers[duty]
        self._lapse(duty, now)
        if tenure.holds(now):
            self._keep(duty, now)
        seeker.sees(bool(self.holder(duty, now)), now)
        if tenure.holds(now):
            return
        if seeker.late(now):
            left = max((each.left for each in tenure.refusals.values()), default=0)
            self._withdraw(duty, now)
            seeker.failed(now, left)
        if self.version_tracker.newer_version() or not self._able(duty, now):
            return
        if seeker.asks(self.present, now):
            self._withdraw(duty, now)
            tenure.begin(unix, now)
            seeker.began(now)
            self._ask(duty, now)

    def _lapse(self, duty: str, now: int) -> None:
        """A hold that ran out is over, whether or not we were awake then: what follows is another one, whose
        first act waits anew. To be seen to before anything that could begin it."""
        if duty in self.held_since and not self.tenures[duty].holds(now):
            self._ended(duty, "lapsed")

    def _able(self, duty: str, now: int) -> bool:
        work = self.work.get(duty)
        return not self.doubts and (work is None or work.able(now))

    def _keep(self, duty: str, now: int) -> None:
        """We hold it: go on, hand it on, or give it up."""
        seeker = self.seekers[duty]
        if self.version_tracker.newer_version():
            self._give_back(duty, "newer-set", now)
        elif not self._able(duty, now):
            self._give_back(duty, "slow" if self.doubts else "unable", now, seeker.heir(self.present))
            seeker.failed(now, self.tenures[duty].terms.lease)
        elif successor := seeker.successor(self.present, now):
            self._give_back(duty, "handed-on", now, successor)
        elif seeker.renews(now):
            self._ask(duty, now)
            self._tell(duty, now)

    # ---- asking and giving back

    def _ask(self, duty: str, now: int) -> None:
        """The time is taken before anything is sent: the lease runs from here."""
        tenure = self.tenures[duty]
        self.seq += 1
        self.seqs[self.seq] = duty, now
        while len(self.seqs) > SEQS_KEPT:
            del self.seqs[next(iter(self.seqs))]
        ask = words.Ask(duty, tenure.token, self.seq, self.electorate.version)
        for name in self.electorate.voters:
            if name == self.own:
                self._vote(self.own, ask, now)
            else:
                self.out.append((name, ask))

    def _withdraw(self, duty: str, now: int, successor: str = "") -> None:
        """Voters that granted are free again; the token is used no more."""
        tenure = self.tenures[duty]
        if tenure.token == NO_TOKEN or tenure.released:
            return
        keep = self.seekers[duty].waits.answer * 2 if successor else 0
        back = words.Back(duty, tenure.release(), successor, keep)
        for name in self._others():
            self.out.append((name, back))
        if self.is_voter:
            self.voter.release(duty, back.token, successor, keep, now)

    def _give_back(self, duty: str, why: str, now: int, successor: str = "") -> None:
        token = self.tenures[duty].token
        # No act from here on: the voters may hear of it at once.
        self._withdraw(duty, now, successor)
        if duty in self.held_since:
            self._ended(duty, why, successor)
        self.out.append(("", words.Held(duty, token, 0)))
        if successor:
            self.out.append((successor, words.Take(duty, token)))

    def _ended(self, duty: str, why: str, successor: str = "") -> None:
        self.held_since.pop(duty, None)
        self.why[duty] = why
        self._log(why, duty, token=self.tenures[duty].token.number, successor=successor)

    def _tell(self, duty: str, now: int) -> None:
        tenure = self.tenures[duty]
        left = tenure.remaining(now)
        if left:
            self.out.append(("", words.Held(duty, tenure.token, left, self.notes.get(duty, b""))))

    def release(self, duty: str, successor: str, now: int) -> str:
        """By hand: given up, or passed to `successor` where one is named. What stands in the way, in words;
        empty where it is done."""
        if duty not in self.declared:
            return f"expected one of {', '.join(sorted(self.declared)) or 'no duties at all'}, got {duty!r}"
        if not self.tenures[duty].holds(now):
            return f"{self.own} does not hold {duty}, {self.holder(duty, now) or 'nobody'} does"
        if successor and (successor == self.own or successor not in self.present):
            return f"expected another member that is there, got {successor!r}"
        self._give_back(duty, "by-hand", now, successor)
        # Not at once ours again.
        self.seekers[duty].failed(now, self.tenures[duty].terms.lease)
        return ""

    def leave(self, now: int) -> None:
        """Before a drain: what we hold goes to the next, and we vote no more."""
        for duty in list(self.held_since):
            self._give_back(duty, "drain", now, self.seekers[duty].heir(self.present))
        for duty in self.declared:
            self._withdraw(duty, now)
        self.leaving = True

    # ---- what came

    def heard(self, sender: str, body: words.Body, unix: int, now: int) -> None:
        """`sender` is a member's name."""
        if isinstance(body, words.Ask):
            self.version_tracker.observe_version(sender, body.version)
            self._vote(sender, body, now)
        elif isinstance(body, words.Answer):
            self.version_tracker.observe_version(sender, body.version)
            self._answered(sender, body, now)
        elif isinstance(body, words.Back):
            if self.is_voter and body.token.name == sender:
                keep = min(body.keep, self.voter.max_promise_duration)
                self.voter.release(body.duty, body.token, body.successor, keep, now)
        elif isinstance(body, words.Take):
            self._take(body, unix, now)
        elif isinstance(body, words.Held):
            self._word(sender, body, now)
        elif isinstance(body, words.Recall):
            self.version_tracker.observe_version(sender, body.version)
            if self.is_voter:
                knows = self.voter.highest_tokens()
                remembers = self.voter.can_vote(now) and self.voter.has_recovered()
                self.out.append((sender, words.Known(self.electorate.version, remembers, knows)))
        elif isinstance(body, words.Known):
            self.version_tracker.observe_version(sender, body.version)
            if self.is_voter and sender in self.electorate.voters:
                self.voter.observe_voter(sender, body.remembers, body.highest, now)

    def _vote(self, sender: str, ask: words.Ask, now: int) -> None:
        if not self.is_voter or self.leaving:
            return
        if not self.version_tracker.accepts_vote(
            self.own, ask.version
        ) or not self.version_tracker.is_safe_to_vote(self.own):
            return
        if ask.token.name != sender:
            return
        answer = self.voter.handle_request(ask.duty, ask.token, now)
        if answer is None:
            return
        told = words.Answer(
            ask.duty, ask.token, ask.seq, self.electorate.version, answer.why, answer.highest, answer.holder,
            answer.left,
        )  # fmt: skip
        if sender == self.own:
            self._answered(self.own, told, now)
        else:
            self.out.append((sender, told))

    def _answered(self, voter: str, told: words.Answer, now: int) -> None:
        asked = self.seqs.get(told.seq)
        if (
            asked is None
            or asked[0] != told.duty
            or not self.version_tracker.accepts_vote(voter, told.version)
        ):
            return
        duty, asked_at = asked
        tenure, seeker = self.tenures[duty], self.seekers[duty]
        self._lapse(duty, now)
        tenure.handle_answer(
            voter, Answer(told.token, told.why, told.highest, told.holder, told.left), asked_at
        )
        if tenure.holds(now):
            if duty not in self.held_since:
                self.held_since[duty] = now
                self.why[duty] = "granted"
                seeker.had()
                self._log("granted", duty, token=tenure.token.number, after=now - tenure.requested_at)
                self._tell(duty, now)
        elif seeker.asked_at >= 0 and tenure.is_quorum_unreachable(len(self.electorate.voters)):
            left = max((each.left for each in tenure.refusals.values()), default=0)
            behind = any(each.why == "behind" for each in tenure.refusals.values())
            self._withdraw(duty, now)
            seeker.failed(now, 0 if behind else left)

    def _take(self, take: words.Take, unix: int, now: int) -> None:
        """The holder gave it back for us: we ask at once, above its token."""
        if take.duty not in self.declared or self.leaving or self.version_tracker.newer_version():
            return
        tenure, seeker = self.tenures[take.duty], self.seekers[take.duty]
        self._lapse(take.duty, now)
        tenure.observe_token(take.token)
        word = self.word.get(take.duty)
        if word is not None and word.token <= take.token:
            del self.word[take.duty]
        if tenure.holds(now) or not self._able(take.duty, now):
            return
        self._withdraw(take.duty, now)
        tenure.begin(unix, now)
        seeker.began(now)
        self._ask(take.duty, now)

    def _word(self, sender: str, held: words.Held, now: int) -> None:
        if held.token.name != sender:
            return
        if self.is_voter and self.voter.handles(held.duty):
            self.voter.promise_for(held.duty).observe_token(held.token)
        if held.duty not in self.declared:
            return
        tenure, known = self.tenures[held.duty], self.word.get(held.duty)
        tenure.observe_token(held.token)
        if known is not None and held.token < known.token:
            return
        left = min(held.left, self.declared[held.duty].terms.lease)
        if not left:
            self.word.pop(held.duty, None)
            return
        if known is None or known.holder != sender:
            self._log("holder", held.duty, holder=sender, token=held.token.number)
        self.word[held.duty] = Word(sender, held.token, now + left, held.note)

    def _log(self, code: str, duty: str, **fields: object) -> None:
        if len(self.events) < 1_000:
            self.events.append(Event(code, duty, fields))
