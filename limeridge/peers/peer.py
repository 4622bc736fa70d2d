"""One member: what it makes of each message, and what it says when.

It owns the order in which table, detector, reach and shares hear of things, and the numbers of its own
questions. It must never open a socket, look at a clock or encode: `out` holds what is to be sent, `events`
what is to be logged, both taken by whoever drives it. It raises on nothing that a member of the fleet may
send.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import islice
from typing import Protocol

from msgspec.structs import replace

from limeridge.peers import probing
from limeridge.peers.members import Change, Claim, Life, Members, State, bytes_of
from limeridge.peers.messages import (
    DATAGRAM_MOST,
    Accusal,
    Ack,
    Ask,
    Message,
    Nack,
    Offer,
    Ping,
    Renew,
    Support,
    Table,
    Word,
)
from limeridge.peers.reach import Grade, Reach, Stand
from limeridge.peers.seeds import Seeker
from limeridge.peers.shares import NO_VIEW, Epoch, Holder, Offers, Terms, View, Voter

MS = 1_000
CLAIM_BYTES = 52  # of a claim on the wire, its texts aside, at the most
HEAD_BYTES = 128  # of a message's other fields, a name of 64 among them, and its tag
ACCUSALS_MOST = 6  # carried by one datagram
MISSES_MOST = 6
ACCUSALS_KEPT = 256
RELAYS_MOST = 64  # probes in hand for others
EVENTS_MOST = 1_000  # kept until somebody takes them
RENEWALS = 4  # looks within one lease at which voters are to be asked
LOOKS = 4  # at grades and reasons, in a round
PULL_EVERY = 250 * MS  # between two pulls of whole tables from the same member

Address = tuple[str, int]
WORD_MOST = DATAGRAM_MOST - HEAD_BYTES - CLAIM_BYTES - 200  # bytes of a guest's body


class Guest(Protocol):
    """Another part that is carried by members: it hears who is there, and its words go along with theirs.
    `unix` is Unix time, all other times are ours, microseconds."""

    kind: str
    out: list[tuple[str, bytes]]  # to a member's name, or to all where it is empty
    events: list[Event]

    def next_at(self, now: int) -> int: ...
    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None: ...
    def heard(self, sender: Claim, body: bytes, unix: int, now: int) -> None: ...
    def leave(self, now: int) -> None: ...


@dataclass(slots=True, frozen=True)
class Send:
    to: Address
    message: Message
    stream: bool = False  # over TCP


@dataclass(slots=True, frozen=True)
class Event:
    """A line for the log."""

    event: str
    code: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Habits:
    """Times in microseconds."""

    pace: probing.Pace = field(default_factory=probing.Pace)
    sync: int = 10_000 * MS  # between two exchanges of whole tables
    sync_soon: int = 1_000 * MS  # where a digest tells that tables differ
    reach_out: int = 2_000 * MS  # between two tries to reach one who is held dead, or a seed
    remember: int = 120_000 * MS  # that the gone are kept

    @classmethod
    def paced(
        cls, interval: int, time_out: int = 0, helpers: int = 3, sync: int = 0, remember: int = 0
    ) -> Habits:
        """All that follows from the length of a round; 0 for what is not told."""
        late = max(interval // 2, 50 * MS)
        pace = probing.Pace(interval, time_out or int(0.3 * interval), helpers, late=late)
        return cls(pace, sync or 10 * interval, interval, 2 * interval, remember or cls().remember)


@dataclass(slots=True)
class Relay:
    """A probe in hand for another."""

    asker: Claim
    seq: int
    target: str
    until: int


class Peer:
    def __init__(
        self,
        own: Claim,
        seeds: Sequence[Address],
        habits: Habits,
        terms: Terms | None,
        chance: random.Random,
        now: int,
        quiet: int = 0,
        seeker: Seeker | None = None,
    ) -> None:
        self.habits, self.terms, self.chance = habits, terms, chance
        self.members = Members(own)
        self.detector = probing.Detector(self.members, chance, habits.pace, now)
        fresh = 4 * habits.pace.interval
        self.reach = Reach(fresh, 10 * habits.pace.interval, stand_since=now)
        self.seeds = [seed for seed in seeds if seed != (own.host, own.port)]
        self.voter = Voter(terms, now) if terms is not None else None
        self.holder = Holder(terms, now, quiet) if terms is not None else None
        self.offers = Offers(terms, own.name, own.life.nonce) if terms is not None else None
        self.out: list[Send] = []
        self.events: list[Event] = []
        self.guests: dict[str, Guest] = {}
        self.unix = 0  # as whoever drives it last told, for the guests
        self.seeker = seeker
        self.above: Callable[[int], int] | None = None  # calls above the floor, where a duty deals them
        self.reader: Callable[[int], bool] | None = None  # whether the list is ours to read
        self.asks_list = False  # until whoever drives it has done so
        self.guests_at: dict[str, int] = {}  # when each is to be woken
        self.grades: dict[str, Grade] = {}
        self.accusals: dict[Accusal, int] = {}  # how often each was told
        self.relays: dict[int, Relay] = {}
        self.relay_seq = 1 << 32  # apart from the detector's numbers
        self.renew_seq = 0
        self.renewals: dict[int, int] = {}  # open askings and when they were made
        self.pulled: dict[str, int] = {}
        self.next_sync = self.next_reach = self.next_renew = self.next_look = now
        self.leaving = False
        self.alike: set[str] = set()  # those whose digest was ours when last heard
        self.was_yielding = False
        self.was_why = ""

    @property
    def own(self) -> Claim:
        return self.members.own

    # ---- time

    def next_at(self) -> int:
        times = [relay.until for relay in self.relays.values()]
        if self.leaving:  # nothing more is asked
            return min(times, default=1 << 62)
        if self.holder is not None:
            times.append(self.next_renew)
        if self.seeker is not None:
            times.append(self.seeker.next_at)
        return min([self.detector.next_at, self.next_sync, self.next_reach, *times, *self.guests_at.values()])

    def wake(self, now: int) -> None:
        """To be called at `next_at` or soon after."""
        if not self.leaving:
            stalls = self.detector.stalls
            for act in self.detector.wake(now):
                self._act(act, now)
            if self.detector.stalls > stalls:
                self._tell("peers", "stood-still", stalls=self.detector.stalls)
            if self.holder is not None and now >= self.next_renew:
                self._renew(now)
            if self.seeker is not None and now >= self.seeker.next_at:
                self._seek(self.seeker, now)
            if now >= self.next_reach:
                self.next_reach = now + self.habits.reach_out
                self._reach_out(now)
            if now >= self.next_sync:
                self.next_sync = now + int(self.habits.sync * self.chance.uniform(0.75, 1.25))
                self._sync(now)
        for seq, relay in list(self.relays.items()):
            if now >= relay.until:
                del self.relays[seq]
                self._say(relay.asker, Nack(relay.seq, self.own))
        for claim in self.members.forget(now, self.habits.remember):
            self.reach.seen.pop(claim.name, None)
            self.grades.pop(claim.name, None)
            self.pulled.pop(claim.name, None)
            self.alike.discard(claim.name)
        for kind, at in self.guests_at.items():
            if now >= at:
                self.guests[kind].wake(self._names(), self.unix, now)
                self._carry(self.guests[kind], now)
        if now >= self.next_look or self.leaving:
            self.next_look = now + self.habits.pace.interval // LOOKS
            self._look(now)

    def leave(self, now: int) -> None:
        """Told before a drain: to as many as a claim is told, at once, so that no round need pass."""
        if self.leaving:
            return
        for guest in self.guests.values():
            guest.leave(now)
            self._carry(guest, now)
        self.guests_at.clear()
        self.leaving = True
        self._changed(self.members.restate(replace(self.own, state=State.LEFT), now), now)
        others = sorted(self.members.others(State.ALIVE, State.SUSPECT), key=lambda claim: claim.name)
        most = self.members.tell_most()
        for claim in self.chance.sample(others, min(len(others), most)):
            self._say(claim, Ping(0, self.own, claim.name, self.members.digest))

    # ---- guests

    def invite(self, guest: Guest, now: int) -> None:
        self.guests[guest.kind] = guest
        self.guests_at[guest.kind] = now

    def carry(self, kind: str, now: int) -> None:
        """After something was asked of a guest from outside."""
        self._carry(self.guests[kind], now)

    def _names(self) -> tuple[str, ...]:
        return tuple(sorted(claim.name for claim in self.members.present()))

    def _carry(self, guest: Guest, now: int) -> None:
        """Its words to whom they are for, its events to the log."""
        out, guest.out = guest.out, []
        for name, body in out:
            if len(body) > WORD_MOST:
                continue
            word = Word(self.own, guest.kind, body)
            for claim in self.members.others(State.ALIVE, State.SUSPECT):
                if not name or claim.name == name:
                    self._say(claim, word)
        self.events += guest.events[: max(0, EVENTS_MOST - len(self.events))]
        guest.events = []
        if guest.kind in self.guests_at:
            self.guests_at[guest.kind] = guest.next_at(now)

    def _word(self, word: Word, now: int) -> None:
        guest = self.guests.get(word.kind)
        if guest is not None and not self.leaving:
            guest.heard(word.own, word.body, self.unix, now)
            self._carry(guest, now)

    # ---- probes

    def _act(self, act: probing.Act, now: int) -> None:
        if isinstance(act, probing.Probe):
            if act.helper is not None:
                self._say(
                    act.helper, Ask(act.seq, self.own, act.target.name, act.target.host, act.target.port)
                )
            else:
                self._ping(act.target, act.seq)
                if self.detector.round is not None and self.detector.round.asked_others:
                    self.reach.of(act.target.name).unanswered = now
        elif isinstance(act, probing.Accuse):
            self._merge(replace(act.target, state=State.SUSPECT), now)
            self._accuse(Accusal(act.target.name, act.target.life, act.target.incarnation, self.own.name))
        else:
            self._merge(replace(act.target, state=State.DEAD), now)

    def _ping(self, target: Claim, seq: int) -> None:
        first = [target.name] if target.state is not State.ALIVE else []
        self._say(target, Ping(seq, self.own, target.name, self.members.digest, *self._news(first)))

    def _news(self, first: Iterable[str]) -> tuple[tuple[Claim, ...], tuple[Accusal, ...], tuple[str, ...]]:
        room = DATAGRAM_MOST - HEAD_BYTES - CLAIM_BYTES - self.own.texts
        there = sorted(claim.name for claim in self.members.others(State.ALIVE, State.SUSPECT))
        misses = tuple(islice(self.reach.misses(there), MISSES_MOST))
        room -= sum(bytes_of(name) + 3 for name in misses)
        accusals: list[Accusal] = []
        for accusal in sorted(self.accusals, key=lambda each: (self.accusals[each], each.name, each.by)):
            takes = CLAIM_BYTES + bytes_of(accusal.name) + bytes_of(accusal.by)
            if len(accusals) >= ACCUSALS_MOST or takes > room // 2:  # half is left for claims
                break
            accusals.append(accusal)
            room -= takes
            self.accusals[accusal] += 1
            if self.accusals[accusal] >= self.members.tell_most():
                del self.accusals[accusal]
        return tuple(self.members.to_tell(room, CLAIM_BYTES, first)), tuple(accusals), misses

    def _say(self, to: Claim, message: Message, stream: bool = False) -> None:
        self.out.append(Send((to.host, to.port), message, stream))

    def _reach_out(self, now: int) -> None:
        """To one who is held dead, and to a seed while nobody is known: the way back after a cut."""
        dead = sorted(self.members.others(State.DEAD), key=lambda claim: claim.name)
        if dead:
            self._ping(self.chance.choice(dead), 0)
        others = len(self.members.present()) - 1
        known = self._addresses()
        missing = [seed for seed in self.seeds if seed not in known]
        if missing and (not others or self.chance.random() < 0.25):
            self._ask_table(self.chance.choice(missing))

    def _addresses(self) -> set[Address]:
        return {(claim.host, claim.port) for claim in self.members.present()}

    def _seek(self, seeker: Seeker, now: int) -> None:
        """Members by the node list: those that it named last time are tried, then it is asked again."""
        for found in seeker.take(self._addresses()):
            self._ask_table(found)
        others = len(self.members.present()) - 1
        # One reads for all of its zone; whoever knows nobody reads for itself.
        if others and self.reader is not None and not self.reader(now):
            seeker.next_at = now + self.habits.sync
        elif seeker.ask(others, now):
            self.asks_list = True

    def listed(self, words: Sequence[str], now: int) -> None:
        """A part of the node list's answer."""
        if self.seeker is not None and not self.leaving:
            self.seeker.heard(words, (self.own.host, self.own.port))
            for found in self.seeker.take(self._addresses()):
                self._ask_table(found)

    def _sync(self, now: int) -> None:
        others = sorted(self.members.others(State.ALIVE), key=lambda claim: claim.name)
        if others:
            chosen = self.chance.choice(others)
            self._ask_table((chosen.host, chosen.port))

    def _whole(self, answer: bool) -> Table:
        view = self.voter.view if self.voter is not None else NO_VIEW
        claims = tuple(self.members.table.values())
        return Table(self.own, claims, (view.epoch, tuple(sorted(view.keys))), answer)

    def _ask_table(self, to: Address) -> None:
        """Ours goes along; theirs comes back."""
        self.out.append(Send(to, self._whole(answer=True), stream=True))

    def _pull(self, claim: Claim, now: int, every: int) -> None:
        if now - self.pulled.get(claim.name, -every) >= every:
            self.pulled[claim.name] = now
            self._ask_table((claim.host, claim.port))

    # ---- what came

    def heard(self, message: Message, now: int) -> Table | None:
        """Takes a message; what is returned goes back over the stream that brought it."""
        sender = message.own
        self.reach.of(sender.name).heard = now
        if sender.name == self.own.name and sender.life == self.own.life:
            return None  # our own words, come back
        self._merge(sender, now)
        if isinstance(message, Ping | Ack):
            self._take_news(message, now)
        if isinstance(message, Ping):
            self._answer(message, now)
        elif isinstance(message, Ack):
            self._acked(message, now)
        elif isinstance(message, Nack):
            self.detector.refused(message.seq, sender.name, now)
        elif isinstance(message, Ask):
            self._relay(message, now)
        elif isinstance(message, Renew):
            self._asked_for_share(message, now)
        elif isinstance(message, Support):
            self._supported(message, now)
        elif isinstance(message, Offer):
            self._offered(View(message.epoch, frozenset(message.keys)))
        elif isinstance(message, Word):
            self._word(message, now)
        elif isinstance(message, Table):
            return self._table(message, now)
        return None

    def _answer(self, ping: Ping, now: int) -> None:
        sender = ping.own
        if ping.seq == 0 and sender.state is State.LEFT:
            return
        held = self.members.get(sender.name)
        # What we hold against it goes first, so that it can refute, or raise the number of its life.
        first = [sender.name] if held is not None and held.overrules(sender) else []
        self._say(sender, Ack(ping.seq, self.own, self.own.name, self.members.digest, *self._news(first)))

    def _take_news(self, message: Ping | Ack, now: int) -> None:
        for claim in message.news:
            self._merge(claim, now)
        for accusal in message.accusals:
            self._accuse(accusal)
        name = message.own.name
        seen = self.reach.of(name)
        seen.misses, seen.said = frozenset(message.misses), now
        if message.digest == self.members.digest:
            self.alike.add(name)
        else:
            self.alike.discard(name)
            # News may be on its way; what news has run out of telling, a whole table mends.
            if not self.members.news and not self.leaving:
                self._pull(message.own, now, self.habits.sync_soon)

    def _acked(self, ack: Ack, now: int) -> None:
        relay = self.relays.get(ack.seq)
        if relay is not None:
            if relay.target == ack.of:
                del self.relays[ack.seq]
                self._say(relay.asker, Ack(relay.seq, self.own, relay.target, self.members.digest))
            return
        direct = ack.of == ack.own.name
        if self.detector.answered(ack.seq, ack.of, now):
            seen = self.reach.of(ack.of)
            if direct:
                seen.answered = now
            else:
                seen.by_others = now

    def _relay(self, ask: Ask, now: int) -> None:
        if len(self.relays) >= RELAYS_MOST:
            self._say(ask.own, Nack(ask.seq, self.own))
            return
        self.relay_seq += 1
        wait = self.habits.pace.time_out
        self.relays[self.relay_seq] = Relay(ask.own, ask.seq, ask.to, now + wait)
        target = self.members.get(ask.to) or replace(ask.own, name=ask.to, host=ask.host, port=ask.port)
        to = replace(target, host=ask.host, port=ask.port)
        self._say(to, Ping(self.relay_seq, self.own, ask.to, self.members.digest, *self._news([ask.to])))

    def _table(self, table: Table, now: int) -> Table | None:
        self.detector.heard_at = now
        for claim in table.claims:
            self._merge(claim, now)
        epoch, keys = table.view
        self._offered(View(epoch, frozenset(keys)))
        return self._whole(answer=False) if table.answer else None

    # ---- claims

    def _merge(self, claim: Claim, now: int) -> None:
        if claim.name == self.own.name:
            change = self.members.answer_to(claim, now)
            if change is not None:
                # Somebody missed us: perhaps we are slow (Lifeguard).
                if claim.life == self.own.life:
                    self.detector.distrust(1)
                self._tell(
                    "peers",
                    "refuted" if claim.life == self.own.life else "newer-life",
                    incarnation=self.own.incarnation,
                    life=self.own.life.number,
                )
            if self.members.yields is not self.was_yielding:
                self.was_yielding = self.members.yields
                other = self.members.conflict
                where = f"{other.host}:{other.port}" if other is not None else ""
                self._tell("peers", "name-taken" if self.was_yielding else "name-free", other=where)
            return
        if claim == self.members.table.get(claim.name):
            return  # by far the most of what comes says nothing new
        change = self.members.merge(claim, now)
        if change is not None:
            self._changed(change, now)

    def _changed(self, change: Change, now: int) -> None:
        self.detector.changed(change, now)
        old, new = change.old, change.new
        if new.state is not State.SUSPECT:
            for accusal in [each for each in self.accusals if each.name == new.name]:
                del self.accusals[accusal]
        if old is not None and old.state >= State.DEAD and new.state is State.ALIVE:
            self.reach.of(new.name).back = now
        if old is not None and old.life != new.life:
            seen = self.reach.of(new.name)
            seen.answered = seen.by_others = seen.unanswered = -1

    def _accuse(self, accusal: Accusal) -> None:
        new = self.detector.accused(accusal.name, accusal.life, accusal.incarnation, accusal.by)
        if new and len(self.accusals) < ACCUSALS_KEPT:
            self.accusals.setdefault(accusal, 0)

    # ---- shares

    def share(self, now: int) -> int | None:
        """Calls in hand that this instance may have now; None where the limit is not shared out."""
        if self.holder is None or self.terms is None:
            return None
        share = self.holder.share(now)
        if self.above is not None and now >= self.holder.begins:
            share = self.terms.floor + self.above(now)
        present = len(self.members.present())
        if present > self.terms.capacity + self.terms.doubles:
            # More than the settings allow for: no promise holds, but it must not grow with their number.
            share = min(share, self.terms.limit // present)
        return min(share, self.terms.floor) if self.members.yields or self.leaving else share

    def why(self, now: int) -> str:
        """A reason code for the share."""
        if self.holder is None:
            return ""
        if self.above is None or now < self.holder.begins:
            return self.holder.why(now)
        return "by-need" if self.above(now) else "floor-only"

    def _voters(self) -> list[Claim]:
        terms = self.terms
        assert terms is not None
        return [claim for claim in self.members.others(State.ALIVE, State.SUSPECT) if terms.votes(claim.name)]

    def _renew(self, now: int) -> None:
        if self.above is not None:  # no views are made where a duty deals
            self.next_renew = now + 1_000_000 * MS
            return
        terms, holder, voter, offers = self.terms, self.holder, self.voter, self.offers
        assert terms is not None and holder is not None and voter is not None and offers is not None
        self.next_renew = now + terms.lease // RENEWALS
        highest = max(holder.highest(), voter.view.epoch)
        if terms.votes(self.own.name):
            view = offers.next(self.members.present(), voter.view, highest, holder.in_reach(now), now)
            if view is not None and not self.members.yields:
                self._offered(view)
                self._spread(view)
        self.renew_seq += 1
        self.renewals = {seq: at for seq, at in self.renewals.items() if now - at < terms.lease}
        self.renewals[self.renew_seq] = now
        if terms.votes(self.own.name):
            answer = voter.support(self.own.key, now)
            if answer is not None:
                holder.answered(self.own.name, *answer, now)
        for claim in self._voters():
            if holder.wants(claim.name, highest, now):
                self._say(claim, Renew(self.renew_seq, self.own, voter.view.epoch))

    def _spread(self, view: View) -> None:
        offer = Offer(self.own, view.epoch, tuple(sorted(view.keys)))
        size = HEAD_BYTES + CLAIM_BYTES + self.own.texts + sum(bytes_of(key) + 3 for key in view.keys)
        for claim in self._voters():
            self._say(claim, offer, stream=size > DATAGRAM_MOST)

    def _asked_for_share(self, renew: Renew, now: int) -> None:
        voter, terms, sender = self.voter, self.terms, renew.own
        if voter is None or terms is None or not terms.votes(self.own.name) or self.leaving:
            return
        if self.members.yields:
            return  # another process votes under this name
        answer = voter.support(sender.key, now)
        if answer is not None:
            self._say(sender, Support(renew.seq, self.own, *answer))
        self._behind(sender, renew.epoch, now)

    def _supported(self, support: Support, now: int) -> None:
        asked_at = self.renewals.get(support.seq)
        if self.holder is not None and asked_at is not None:
            self.holder.answered(support.own.name, support.epoch, support.cap, asked_at)
            self._behind(support.own, support.epoch, now)

    def _behind(self, other: Claim, epoch: Epoch, now: int) -> None:
        if self.voter is not None and epoch > self.voter.view.epoch:
            self._pull(other, now, PULL_EVERY)

    def _offered(self, view: View) -> None:
        if self.voter is not None and self.voter.offered(view):
            self._tell("peers", "view", epoch=view.epoch[0], by=view.epoch[1], members=len(view.keys))

    # ---- telling

    def _look(self, now: int) -> None:
        """Changes of grades, of the stand and of the share's reason, one line each."""
        for claim in self.members.others(*State):
            grade, old = self.reach.grade(claim, now), self.grades.get(claim.name)
            if grade is not old:
                self.grades[claim.name] = grade
                self._tell(
                    "peer",
                    grade.value,
                    peer=claim.name,
                    was=old.value if old else "",
                    at=f"{claim.host}:{claim.port}",
                    life=claim.life.number,
                    incarnation=claim.incarnation,
                )
        stand = self.reach.stand
        if self.look(now) is not stand:
            self._tell("peers", f"with-{self.reach.stand.value}", present=len(self.members.present()))
        if self.holder is not None:
            why = self.why(now)
            if why != self.was_why:
                self.was_why = why
                self._tell("share", why, share=self.share(now))

    def look(self, now: int) -> Stand:
        present = len(self.members.present())
        dead = sum(1 for _ in self.members.others(State.DEAD))
        return self.reach.look(present, present + dead, self.detector.heard_at, now)

    def agree(self) -> int:
        """How many of the others that are there had our digest when last heard."""
        return sum(claim.name in self.alike for claim in self.members.others(State.ALIVE, State.SUSPECT))

    def _tell(self, event: str, code: str, **fields: object) -> None:
        if len(self.events) < EVENTS_MOST:
            self.events.append(Event(event, code, fields))


def own_claim(name: str, address: Address, unix: int, nonce: int, zone: str = "", version: str = "") -> Claim:
    """The claim of a process that starts now; `unix` in microseconds."""
    return Claim(name, Life(max(1, unix), nonce), 0, State.ALIVE, *address, zone, version)
