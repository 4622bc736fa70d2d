"""Seeded histories of publishers, authors and subscribers, judged by a model of its own.

    python -m limeridge.configuration.histories --seeds 5000

It owns a small world around the decisions of this package: messages that are lost, doubled, late, altered or
from an older chain, publishers killed between accepting and answering, holders that stall and wake with their
duty gone, clocks that step back, authors who ask again. It judges after every step, from what authors and
subscribers have seen and from a plain dict of what was committed. It must never judge by the code it judges.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from limeridge.configuration.chain import (
    Chain,
    ChainFault,
    Entry,
    FencingToken,
    Head,
    Receipt,
    StaleToken,
    first_entry,
)
from limeridge.configuration.changes import (
    Change,
    Draft,
    PutRoute,
    PutTenant,
    RemoveRoute,
    RemoveTenant,
    SetClassLimit,
)
from limeridge.configuration.checks import Refused
from limeridge.configuration.snapshot import Snapshot, SnapshotFault, SnapshotPart, make_snapshot
from limeridge.configuration.subscriber import (
    Apply,
    Decision,
    Deltas,
    Load,
    RequestDeltas,
    RequestSnapshot,
    Subscriber,
    SubscriberTimes,
    make_deltas,
)
from limeridge.configuration.tables import ClassLimits, Tables, canonical_bytes
from limeridge.configuration.tenants import TenantTable

STEP = 100_000  # microseconds
FAULTY_STEPS = 120
BOUND = 7_000_000  # microseconds after healing, and after the last commit, in which all must be alike
HEALED_STEPS_MOST = 400  # until all authors have their answer, and the bound
PUBLISHERS = 3
MAJORITY = 2
SUBSCRIBERS = 4
AUTHORS = 3
CLASSES = ("read", "write", "report")
TENANTS = 12
PATHS = ("/", "/a", "/a/b", "/a/b/c", "/b", "/b/c")
HEAD_EVERY = 10  # steps between two tellings of a publisher's head
LOG_KEPT = 4
JUDGED_AGAIN = 10  # tables of each kind that are looked at once more at the end


class Broken(Exception):
    """A rule did not hold."""


Content = tuple[frozenset[tuple[str, float]], frozenset[tuple[str, str]], tuple[float, ...]]


@dataclass(slots=True)
class Model:
    """What should be in force, by plain dicts."""

    tenants: dict[str, float] = field(default_factory=dict)
    routes: dict[str, str] = field(default_factory=dict)
    shares: list[float] = field(default_factory=lambda: [0.0] * len(CLASSES))

    def apply(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            match change:
                case PutTenant(name, quota):
                    self.tenants[name] = quota
                case RemoveTenant(name):
                    del self.tenants[name]
                case PutRoute(prefix, class_name):
                    self.routes[prefix] = class_name
                case RemoveRoute(prefix):
                    del self.routes[prefix]
                case SetClassLimit(class_name, share):
                    self.shares[CLASSES.index(class_name)] = share

    def content(self) -> Content:
        return frozenset(self.tenants.items()), frozenset(self.routes.items()), tuple(self.shares)


def content_of(tables: Tables) -> Content:
    """As a request would find it: by names and paths, not by the tables' own listing alone."""
    tenants = set()
    for name in tables.tenants.names():
        number = tables.tenants.find(name)
        tenants.add((name, -1.0 if number is None else tables.tenants.quota(number)))
    routes = {(route.prefix, tables.class_of(route.prefix) or "") for route in tables.routes.routes()}
    return frozenset(tenants), frozenset(routes), tables.limits.shares


@dataclass(slots=True)
class Publisher:
    """One publisher. All that its chain has is on its disk; `up` is False while it is killed."""

    number: int
    chain: Chain
    up: bool = True
    token: FencingToken | None = None  # under which it believes to hold the duty
    acks: dict[int, set[int]] = field(default_factory=dict)  # by revision: who has it
    waiting: list[tuple[Receipt, int, Draft]] = field(default_factory=list)  # author, draft


@dataclass(slots=True)
class Author:
    """Asks for one draft until it hears an answer."""

    draft: Draft | None = None
    ask_again_at: int = 0


@dataclass(slots=True, frozen=True)
class Message:
    """`deliver` is called when the time is there."""

    at: int
    order: int
    deliver: Callable[[], None]


class World:
    """One history. `run` raises Broken."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now = 0
        self.healed = False
        self.retention_us = self.chance.choice((500_000, 3_000_000, 3_600_000_000))
        first = first_entry(tables := Tables.empty(ClassLimits(CLASSES, (0.0,) * len(CLASSES))), 0)
        self.publishers = [Publisher(number, Chain(first, tables)) for number in range(PUBLISHERS)]
        self.subscribers = [
            Subscriber(
                tables,
                None,
                random.Random(seed * 100 + number),
                SubscriberTimes(retention_us=self.retention_us),
            )
            for number in range(SUBSCRIBERS)
        ]
        self.homes = [number % PUBLISHERS for number in range(SUBSCRIBERS)]
        self.cut: set[int] = set()  # publishers that reach authors and subscribers, but no other publisher
        self.authors = [Author() for _ in range(AUTHORS)]
        self.messages: list[Message] = []
        self.sent = 0
        self.tokens = 0
        self.drafts = 0
        self.loss = self.chance.choice((0.0, 0.05, 0.3))
        self.delay = self.chance.choice((1, 5, 30))  # steps at the most
        self.recorded: list[Callable[[], None]] = []  # messages to be replayed much later
        # what the judge has seen
        self.committed: dict[int, Entry] = {}
        self.last_commit_at = 0
        self.models: dict[int, Content] = {0: Model().content()}
        self.model = Model()
        self.acknowledged: dict[str, int] = {}
        self.refused: set[str] = set()
        self.seen: list[int] = [-1] * SUBSCRIBERS
        self.numbers: list[dict[str, int]] = [{} for _ in range(SUBSCRIBERS)]  # of tenants, at each
        self.kept_until: list[dict[str, int]] = [{} for _ in range(SUBSCRIBERS)]  # for those that went
        self.kept: list[tuple[Tables, int]] = []  # tables of earlier revisions, which may not change
        self.checked: list[Head | None] = [None] * SUBSCRIBERS

    def run(self) -> None:
        for step in range(FAULTY_STEPS):
            self._faults()
            self._step(step)
        self._heal()
        for step in range(HEALED_STEPS_MOST):
            self._step(step)
            answered = all(author.draft is None for author in self.authors)
            if answered and self.now >= self.last_commit_at + BOUND:
                break
        self._judge_end()

    def _step(self, step: int) -> None:
        self.now += STEP
        self._deliver()
        self._authors()
        self._publish(step)
        for number, subscriber in enumerate(self.subscribers):
            self._decided(number, subscriber.tick(self.now))
        self._judge()

    # faults

    def _faults(self) -> None:
        chance = self.chance
        for publisher in self.publishers:
            if chance.random() < (0.02 if publisher.up else 0.15):
                publisher.up = not publisher.up
                publisher.token = None
                publisher.acks.clear()
                publisher.waiting.clear()
        if chance.random() < (0.02 if not self.cut else 0.03):
            self.cut = set() if self.cut else {chance.randrange(PUBLISHERS)}
        if chance.random() < (0.1 if self.cut else 0.04) or all(
            publisher.token is None for publisher in self.publishers
        ):
            self._elect(chance.choice(self.publishers))
        if chance.random() < 0.03:
            self._move(chance.randrange(SUBSCRIBERS))
        if chance.random() < 0.05:
            publisher = chance.choice(self.publishers)
            publisher.chain.compact(LOG_KEPT)
        if self.recorded and chance.random() < 0.1:
            chance.choice(self.recorded)()
        if chance.random() < 0.04:
            self._foreign(chance.randrange(SUBSCRIBERS))

    def _heal(self) -> None:
        self.healed = True
        self.cut = set()
        self.last_commit_at = self.now
        self.loss, self.delay = 0.0, 1
        self.recorded.clear()
        for publisher in self.publishers:
            publisher.up = True
        self._elect(self.chance.choice(self.publishers))

    def _elect(self, winner: Publisher) -> None:
        """The duty passes to another; the earlier holder is not told."""
        if not winner.up or winner.number in self.cut:
            return
        self.tokens += 1
        token = FencingToken(self.tokens, f"publisher-{winner.number}", 0)
        reached = [each for each in self.publishers if each.up and each.number not in self.cut]
        voters = [each for each in reached if self.healed or self.chance.random() < 0.8]
        if winner not in voters:
            voters.append(winner)
        if len(voters) < MAJORITY:
            return
        for voter in voters:
            voter.chain.promise(token)
        best = max(voters, key=lambda voter: voter.chain.head.rank)
        if best is not winner and best.chain.head.rank > winner.chain.head.rank:
            self._copy(best, winner, token)
        winner.chain.take_over(token, self._unix())
        winner.token = token
        winner.acks = {}
        winner.waiting = []
        self._replicate(winner)

    def _copy(self, source: Publisher, target: Publisher, token: FencingToken) -> None:
        """The entries that the target lacks, or the whole chain where the source's log is too short."""
        base = source.chain.base
        if base.revision.number > target.chain.committed:
            fresh = Chain(
                base, source.chain.tables_at(base.revision.number), source.chain.change_id_records()
            )
            fresh.promised = target.chain.promised
            target.chain = fresh
        first = max(base.revision.number, target.chain.committed) + 1
        entries = [source.chain.entry(number) for number in range(first, source.chain.head.number + 1)]
        target.chain.replicate(entries, token)

    def _foreign(self, number: int) -> None:
        """Deltas or a snapshot of a chain that was given up, of a higher revision than the subscriber's.

        Its token is older than all but that of revision 0, where no subscriber could tell the two apart.
        """
        subscriber = self.subscribers[number]
        if subscriber.head is None or subscriber.head.number == 0:
            return
        tables = Tables.empty(ClassLimits(CLASSES, (0.0,) * len(CLASSES)))
        chain = Chain(first_entry(tables, 1), tables)
        token = FencingToken(0, "given-up", 0)
        chain.take_over(token, 0)
        while chain.head.number < subscriber.head.number + self.chance.randint(1, 3):
            draft = Draft(f"foreign-{chain.head.number}", "nobody", "given up", (PutTenant("foreign", 1.0),))
            chain.accept(draft, token, 0)
        if self.chance.random() < 0.5:
            chain.commit(chain.head.number)
            self._snapshot(number, make_snapshot(chain.last, chain.tables))
        else:
            first = subscriber.head.number + 1
            entries = [chain.entry(each) for each in range(first, chain.head.number + 1)]
            self._deltas(number, make_deltas(entries))

    def _altered(self, deltas: Deltas) -> Deltas:
        """Sometimes not what was sent: a revision left out, two exchanged, a text or a token of another."""
        chance = self.chance
        if self.healed or chance.random() >= self.loss / 2:
            return deltas
        revisions = list(deltas.revisions)
        place = chance.randrange(len(revisions))
        kind = chance.randrange(4)
        if kind == 0 and len(revisions) > 1:
            del revisions[place]
        elif kind == 1:
            revisions.reverse()
        elif kind == 2:
            draft = replace(revisions[place].draft, changes=(PutTenant("altered", 1.0),))
            revisions[place] = replace(revisions[place], draft=draft)
        else:
            revisions[place] = replace(revisions[place], token=FencingToken(0, "altered", 0))
        return Deltas(tuple(revisions), deltas.last_hash)

    def _move(self, number: int) -> None:
        self.homes[number] = self.chance.randrange(PUBLISHERS)
        self.subscribers[number].publisher_changed()

    def _unix(self) -> int:
        """A clock that steps back and forth."""
        return 1_700_000_000_000_000 + self.now + self.chance.randrange(-3_600_000_000, 3_600_000_000)

    # messages

    def _send(self, deliver: Callable[[], None], late: bool = False) -> None:
        chance = self.chance
        if chance.random() < self.loss:
            return
        copies = 2 if not self.healed and chance.random() < 0.1 else 1
        for _ in range(copies):
            self.sent += 1
            delay = 1 if self.healed else chance.randint(1, self.delay)
            self.messages.append(Message(self.now + delay * STEP, self.sent, deliver))
        if late and not self.healed and chance.random() < 0.3:
            self.recorded.append(deliver)

    def _deliver(self) -> None:
        due = sorted((each for each in self.messages if each.at <= self.now), key=lambda m: (m.at, m.order))
        self.messages = [each for each in self.messages if each.at > self.now]
        for message in due:
            message.deliver()

    # publishers

    def _replicate(self, holder: Publisher) -> None:
        token = holder.token
        assert token is not None
        holder.acks.setdefault(holder.chain.head.number, set()).add(holder.number)
        for other in self.publishers:
            if other is not holder:
                self._send(lambda other=other: self._take(holder, other, token))  # type: ignore[misc]

    def _take(self, holder: Publisher, other: Publisher, token: FencingToken) -> None:
        """A follower gets the holder's chain as it is now; the holder hears that it has it."""
        if not other.up or not holder.up or holder.token != token or {other.number, holder.number} & self.cut:
            return
        try:
            other.chain.promise(token)
            self._copy(holder, other, token)
        except StaleToken:
            holder.token = None
            return
        other.chain.commit(min(holder.chain.committed, other.chain.head.number))
        number = holder.chain.head.number
        self._send(lambda: self._acked(holder, other.number, number, token))

    def _acked(self, holder: Publisher, other: int, number: int, token: FencingToken) -> None:
        if not holder.up or holder.token != token:
            return
        holder.acks.setdefault(number, {holder.number}).add(other)
        if len(holder.acks[number]) < MAJORITY or number <= holder.chain.committed:
            return
        before = holder.chain.committed
        holder.chain.commit(number)
        self._record(holder.chain, before, number)
        entries = [holder.chain.entry(each) for each in range(before + 1, number + 1)]
        self._stream(holder, entries)
        self._answer(holder)

    def _answer(self, holder: Publisher) -> None:
        for receipt, author, draft in holder.waiting:
            if receipt.number <= holder.chain.committed and self.chance.random() < 0.8:
                number = None if receipt.refused else receipt.number
                self._send(lambda author=author, draft=draft, n=number: self._told(author, draft, n))  # type: ignore[misc]
        holder.waiting = [each for each in holder.waiting if each[0].number > holder.chain.committed]

    def _stream(self, publisher: Publisher, entries: list[Entry]) -> None:
        for number, home in enumerate(self.homes):
            if home == publisher.number and entries:
                deltas = make_deltas(entries)
                self._send(lambda number=number, deltas=deltas: self._deltas(number, deltas), late=True)  # type: ignore[misc]

    def _publish(self, step: int) -> None:
        for publisher in self.publishers:
            if not publisher.up:
                continue
            if publisher.token is not None and step % 3 == 0:
                self._replicate(publisher)
            if step % HEAD_EVERY == publisher.number:
                self._tell_heads(publisher)

    def _tell_heads(self, publisher: Publisher) -> None:
        head = publisher.chain.committed_head
        for number, home in enumerate(self.homes):
            if home == publisher.number:
                self._send(lambda number=number: self._head(number, head), late=True)  # type: ignore[misc]

    # authors

    def _authors(self) -> None:
        for number, author in enumerate(self.authors):
            if author.draft is None and not self.healed and self.chance.random() < 0.5:
                author.draft = self._draft()
            if author.draft is not None and self.now >= author.ask_again_at:
                author.ask_again_at = self.now + self.chance.randint(5, 15) * STEP
                self._ask(number, author.draft)

    def _ask(self, author: int, draft: Draft) -> None:
        """Of any publisher, sooner of one that takes itself for the holder: the others name it."""
        holders = [publisher for publisher in self.publishers if publisher.token is not None]
        publisher = self.chance.choice(self.publishers + 3 * holders)
        self._send(lambda: self._asked(publisher, author, draft))

    def _asked(self, publisher: Publisher, author: int, draft: Draft) -> None:
        token = publisher.token
        if not publisher.up or token is None:
            return
        try:
            receipt = publisher.chain.accept(draft, token, self._unix())
        except Refused:
            self._send(lambda: self._told(author, draft, None))
            return
        except ChainFault:
            return
        publisher.waiting.append((receipt, author, draft))
        self._replicate(publisher)
        self._answer(publisher)

    def _told(self, author: int, draft: Draft, number: int | None) -> None:
        if number is None:
            self.refused.add(draft.change_id)
        else:
            self.acknowledged[draft.change_id] = number
        if self.authors[author].draft == draft:
            self.authors[author].draft = None

    def _draft(self) -> Draft:
        self.drafts += 1
        chance = self.chance
        changes = tuple(self._change() for _ in range(chance.choice((0, 1, 1, 1, 1, 2, 3))))
        reason = "a reason" if chance.random() < 0.95 else ""
        return Draft(f"change-{self.drafts}", "author", reason, changes)

    def _change(self) -> Change:
        chance = self.chance
        if chance.random() < 0.05:
            return chance.choice(
                (PutTenant("bad", -1.0), PutRoute("/bad", "missing"), RemoveTenant("missing"))
            )
        name = chance.choice((f"tenant-{chance.randrange(TENANTS)}", *self.model.tenants))
        prefix = chance.choice((*PATHS, *self.model.routes))
        return chance.choice(
            (
                PutTenant(name, float(chance.randrange(1_000))),
                PutTenant(name, float(chance.randrange(3))),
                RemoveTenant(chance.choice((name, *self.model.tenants))),
                PutRoute(prefix, chance.choice(CLASSES)),
                RemoveRoute(chance.choice((prefix, *self.model.routes))),
                SetClassLimit(chance.choice(CLASSES), chance.choice((0.1, 0.3, 0.4, 0.6))),
            )
        )

    # subscribers

    def _deltas(self, number: int, deltas: Deltas) -> None:
        altered = self._altered(deltas)
        self._decided(number, self.subscribers[number].receive_deltas(altered, self.now))

    def _head(self, number: int, head: Head) -> None:
        self._decided(number, self.subscribers[number].receive_head(head, self.now))

    def _decided(self, number: int, decision: Decision) -> None:
        home = self.publishers[self.homes[number]]
        if isinstance(decision, RequestDeltas):
            self._send(lambda: self._asks_deltas(home, number, decision))
        elif isinstance(decision, RequestSnapshot):
            self._send(lambda: self._asks_snapshot(home, number))
        elif isinstance(decision, Apply):
            self._judge_subscriber(number)

    def _asks_deltas(self, home: Publisher, number: int, asking: RequestDeltas) -> None:
        if not home.up:
            return
        entries = home.chain.entries_after(asking.after, 50)
        if entries is None:
            self._asks_snapshot(home, number)
        elif entries:
            deltas = make_deltas(entries)
            self._send(lambda: self._deltas(number, deltas), late=True)
        else:
            head = home.chain.committed_head
            self._send(lambda: self._head(number, head))

    def _asks_snapshot(self, home: Publisher, number: int) -> None:
        if not home.up:
            return
        chain = home.chain
        snapshot = make_snapshot(chain.entry(chain.committed), chain.tables_at(chain.committed))
        self._send(lambda: self._snapshot(number, snapshot), late=True)

    def _snapshot(self, number: int, snapshot: Snapshot) -> None:
        subscriber = self.subscribers[number]
        decision = subscriber.receive_snapshot(snapshot.header, self.now)
        self._decided(number, decision)
        if not isinstance(decision, Load):
            return
        loader = decision.loader
        try:
            for part in self._parts(snapshot):
                _exhaust(loader.load_part(part))
            _exhaust(loader.finish())
        except SnapshotFault:
            self._decided(number, subscriber.snapshot_failed(self.now))
            return
        self._decided(number, subscriber.snapshot_loaded())

    def _parts(self, snapshot: Snapshot) -> list[SnapshotPart]:
        """Sometimes one is missing, doubled, or not what was sent."""
        parts = list(snapshot.parts)
        chance = self.chance
        if self.healed or not parts or chance.random() >= self.loss:
            return parts
        place = chance.randrange(len(parts))
        kind = chance.randrange(5)
        if kind == 0:
            del parts[place]
        elif kind == 1:
            parts.insert(place, parts[place])
        elif kind == 2:
            parts[place] = replace(parts[place], tenants=(*parts[place].tenants, ("altered", 1.0)))
        elif kind == 3:
            parts[place] = replace(
                parts[place], tenants=parts[place].tenants[1:], routes=parts[place].routes[1:]
            )
        else:
            tenants = tuple((name, quota + 1.0) for name, quota in parts[place].tenants)
            parts[place] = replace(parts[place], tenants=tenants)
        return parts

    # the judge

    def _record(self, chain: Chain, before: int, number: int) -> None:
        """What a holder says is committed: once, in order, never another at the same number."""
        for each in range(before + 1, number + 1):
            entry = chain.entry(each)
            known = self.committed.get(each)
            if known is None:
                self.committed[each] = entry
                self.last_commit_at = self.now
                if not entry.revision.refused:
                    self.model.apply(entry.revision.draft.changes)
                self.models[each] = self.model.content()
            elif known != entry:
                raise Broken(f"two revisions {each} are committed")

    def _judge(self) -> None:
        for number in range(SUBSCRIBERS):
            self._judge_subscriber(number)
        for publisher in self.publishers:
            head = publisher.chain.committed_head
            known = self.committed.get(head.number)
            if known is not None and known.hash != head.hash:
                raise Broken(f"publisher {publisher.number} has another revision {head.number} committed")

    def _judge_subscriber(self, number: int) -> None:
        subscriber = self.subscribers[number]
        head = subscriber.head
        if head is None or head == self.checked[number]:
            return
        self.checked[number] = head
        if head.number < self.seen[number]:
            raise Broken(f"subscriber {number} went back from {self.seen[number]} to {head.number}")
        self.seen[number] = head.number
        known = self.committed.get(head.number)
        if head.number and (known is None or known.hash != head.hash):
            raise Broken(f"subscriber {number} serves by a revision {head.number} that is not committed")
        if content_of(subscriber.tables) != self.models[head.number]:
            raise Broken(f"subscriber {number} has other tables than revision {head.number}")
        self.kept.append((subscriber.tables, head.number))
        self._judge_numbers(number, subscriber.tables.tenants)

    def _judge_numbers(self, subscriber: int, tenants: TenantTable) -> None:
        """A tenant keeps its number while it is there, and for the retention after it went."""
        numbers, kept_until = self.numbers[subscriber], self.kept_until[subscriber]
        present = {name: tenants.find(name) for name in tenants.names()}
        for name in [name for name, until in kept_until.items() if until <= self.now]:
            del numbers[name], kept_until[name]
        for name in numbers:
            if name not in present:
                kept_until.setdefault(name, self.now + self.retention_us)
        for name, found in present.items():
            kept_until.pop(name, None)
            if found is None or numbers.setdefault(name, found) != found:
                raise Broken(f"subscriber {subscriber} gives {name} another number")
        if len(set(numbers.values())) != len(numbers):
            raise Broken(f"subscriber {subscriber} gives a number to two tenants")

    def _judge_end(self) -> None:
        if any(author.draft is not None for author in self.authors):
            raise Broken("an author has no answer")
        newest = max(self.committed)
        if len({b"".join(canonical_bytes(each.tables)) for each in self.subscribers}) != 1:
            raise Broken("subscribers differ in their tables' bytes")
        for tables, kept in self.chance.sample(self.kept, min(JUDGED_AGAIN, len(self.kept))):
            if content_of(tables) != self.models[kept]:
                raise Broken(f"tables of revision {kept} were changed after they were built")
        for publisher in self.publishers:
            chain = publisher.chain
            numbers = range(chain.base.revision.number, chain.committed + 1)
            for each in self.chance.sample(numbers, min(JUDGED_AGAIN, len(numbers))):
                if content_of(chain.tables_at(each)) != self.models[each]:
                    raise Broken(f"publisher {publisher.number} has other tables at revision {each}")
        for number, subscriber in enumerate(self.subscribers):
            if subscriber.head is None or subscriber.head.number != newest:
                raise Broken(f"subscriber {number} is not at revision {newest} in time: {subscriber.head}")
        places: dict[str, list[int]] = {}
        for number, entry in self.committed.items():
            if not entry.revision.refused:
                places.setdefault(entry.revision.draft.change_id, []).append(number)
        for change_id, number in self.acknowledged.items():
            if places.get(change_id) != [number]:
                raise Broken(
                    f"{change_id} was acknowledged as {number}, committed as {places.get(change_id)}"
                )
        for change_id in self.refused:
            if change_id in places:
                raise Broken(f"{change_id} was refused and is committed")
        if sum(self.model.shares) > 1.0 + 1e-9:
            raise Broken("shares come to more than 1")


def _exhaust(steps: Iterator[None]) -> None:
    for _ in steps:
        pass


def play(seed: int) -> str | None:
    """What broke in the history of this seed, None where nothing did."""
    try:
        World(seed).run()
    except Broken as broken:
        return str(broken)
    except Exception as error:  # a decision that raises what it does not state is a fault of its own
        return f"{type(error).__name__}: {error}"
    return None


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m limeridge.configuration.histories")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args()
    began = time.monotonic()
    broken = {}
    for seed in range(options.first, options.first + options.seeds):
        if (what := play(seed)) is not None:
            broken[seed] = what
    print(
        json.dumps({"seeds": options.seeds, "broken": broken, "seconds": round(time.monotonic() - began, 1)})
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
