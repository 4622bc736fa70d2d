"""Randomized, seeded histories of publishers, authors and subscribers, checked against a simple model.

    python -m limeridge.configuration.histories --seeds 5000

This module simulates the environment of this package: messages that are lost, duplicated, late, altered or
from an older chain, publishers killed between accepting and answering, holders that stall and resume after
losing the duty to publish, clocks that step back, and authors that resubmit. The invariants are checked
after every step, using what authors and subscribers have seen and plain dicts of what was committed. The
checks must not rely on the code that they check.
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

STEP_US = 100_000
FAULTY_STEPS = 120
CONVERGENCE_US = 7_000_000  # after healing and the last commit, by when all subscribers must agree
MAX_HEALED_STEPS = 400  # until all authors have an answer and CONVERGENCE_US has passed
PUBLISHERS = 3
MAJORITY = 2
SUBSCRIBERS = 4
AUTHORS = 3
CLASSES = ("read", "write", "report")
TENANTS = 12
PREFIXES = ("/", "/a", "/a/b", "/a/b/c", "/b", "/b/c")
HEAD_INTERVAL_STEPS = 10  # between two announcements of a publisher's head
KEPT_ENTRIES = 4  # of a log at its compaction
RECHECKED_COUNT = 10  # tables of each kind that are checked again at the end


class InvariantViolation(Exception):
    """An invariant did not hold."""


Content = tuple[frozenset[tuple[str, float]], frozenset[tuple[str, str]], tuple[float, ...]]


@dataclass(slots=True)
class Model:
    """The expected content of the tables, in plain dicts."""

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
    """Returns the content as requests see it: looked up by name and path, not only listed."""
    tenants = set()
    for name in tables.tenants.names():
        number = tables.tenants.find(name)
        tenants.add((name, -1.0 if number is None else tables.tenants.quota(number)))
    routes = {(route.prefix, tables.class_of(route.prefix) or "") for route in tables.routes.routes()}
    return frozenset(tenants), frozenset(routes), tables.limits.shares


@dataclass(slots=True)
class Publisher:
    """One publisher. Its chain is durable; `up` is False between a kill and the restart."""

    number: int
    chain: Chain
    up: bool = True
    token: FencingToken | None = None  # set while it believes that it holds the duty to publish
    acks: dict[int, set[int]] = field(default_factory=dict)  # revision number to the publishers that have it
    pending_answers: list[tuple[Receipt, int, Draft]] = field(default_factory=list)  # receipt, author, draft


@dataclass(slots=True)
class Author:
    """Submits one draft repeatedly until it receives an answer."""

    draft: Draft | None = None
    retry_at: int = 0


@dataclass(slots=True, frozen=True)
class Message:
    """A message in transit; `deliver` is called at the time `deliver_at`."""

    deliver_at: int
    sequence: int
    deliver: Callable[[], None]


class History:
    """One history. `run` raises InvariantViolation."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0
        self.healed = False
        self.retention_us = self.rng.choice((500_000, 3_000_000, 3_600_000_000))
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
        self.subscribed_to = [number % PUBLISHERS for number in range(SUBSCRIBERS)]
        self.isolated: set[int] = set()  # publishers cut off from other publishers only
        self.authors = [Author() for _ in range(AUTHORS)]
        self.messages: list[Message] = []
        self.sent_count = 0
        self.token_count = 0
        self.draft_count = 0
        self.loss = self.rng.choice((0.0, 0.05, 0.3))
        self.max_delay_steps = self.rng.choice((1, 5, 30))  # of a message
        self.replayable: list[Callable[[], None]] = []  # messages that may be replayed much later
        # state of the checks
        self.committed: dict[int, Entry] = {}
        self.last_commit_at = 0
        self.expected_contents: dict[int, Content] = {0: Model().content()}
        self.model = Model()
        self.acknowledged: dict[str, int] = {}
        self.refused: set[str] = set()
        self.highest_seen: list[int] = [-1] * SUBSCRIBERS
        self.tenant_numbers: list[dict[str, int]] = [{} for _ in range(SUBSCRIBERS)]  # by subscriber
        self.retained_until: list[dict[str, int]] = [{} for _ in range(SUBSCRIBERS)]  # of removed tenants
        self.earlier_tables: list[tuple[Tables, int]] = []  # must stay unchanged
        self.checked_heads: list[Head | None] = [None] * SUBSCRIBERS

    def run(self) -> None:
        for step in range(FAULTY_STEPS):
            self._inject_faults()
            self._step(step)
        self._heal()
        for step in range(MAX_HEALED_STEPS):
            self._step(step)
            answered = all(author.draft is None for author in self.authors)
            if answered and self.now >= self.last_commit_at + CONVERGENCE_US:
                break
        self._check_final_state()

    def _step(self, step: int) -> None:
        self.now += STEP_US
        self._deliver()
        self._run_authors()
        self._run_publishers(step)
        for number, subscriber in enumerate(self.subscribers):
            self._handle_decision(number, subscriber.tick(self.now))
        self._check_all()

    # faults

    def _inject_faults(self) -> None:
        rng = self.rng
        for publisher in self.publishers:
            if rng.random() < (0.02 if publisher.up else 0.15):
                publisher.up = not publisher.up
                publisher.token = None
                publisher.acks.clear()
                publisher.pending_answers.clear()
        if rng.random() < (0.02 if not self.isolated else 0.03):
            self.isolated = set() if self.isolated else {rng.randrange(PUBLISHERS)}
        if rng.random() < (0.1 if self.isolated else 0.04) or all(
            publisher.token is None for publisher in self.publishers
        ):
            self._elect(rng.choice(self.publishers))
        if rng.random() < 0.03:
            self._change_publisher(rng.randrange(SUBSCRIBERS))
        if rng.random() < 0.05:
            publisher = rng.choice(self.publishers)
            publisher.chain.compact(KEPT_ENTRIES)
        if self.replayable and rng.random() < 0.1:
            rng.choice(self.replayable)()
        if rng.random() < 0.04:
            self._send_foreign_chain(rng.randrange(SUBSCRIBERS))

    def _heal(self) -> None:
        self.healed = True
        self.isolated = set()
        self.last_commit_at = self.now
        self.loss, self.max_delay_steps = 0.0, 1
        self.replayable.clear()
        for publisher in self.publishers:
            publisher.up = True
        self._elect(self.rng.choice(self.publishers))

    def _elect(self, winner: Publisher) -> None:
        """Elects a new holder of the duty to publish; the previous holder is not notified."""
        if not winner.up or winner.number in self.isolated:
            return
        self.token_count += 1
        token = FencingToken(self.token_count, f"publisher-{winner.number}", 0)
        reached = [each for each in self.publishers if each.up and each.number not in self.isolated]
        voters = [each for each in reached if self.healed or self.rng.random() < 0.8]
        if winner not in voters:
            voters.append(winner)
        if len(voters) < MAJORITY:
            return
        for voter in voters:
            voter.chain.promise(token)
        newest = max(voters, key=lambda voter: voter.chain.head.rank)
        if newest is not winner and newest.chain.head.rank > winner.chain.head.rank:
            self._copy_entries(newest, winner, token)
        winner.chain.take_over(token, self._publisher_clock_us())
        winner.token = token
        winner.acks = {}
        winner.pending_answers = []
        self._replicate(winner)

    def _copy_entries(self, source: Publisher, target: Publisher, token: FencingToken) -> None:
        """Copies the entries that the target lacks, or the whole chain if the source's log is too short."""
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

    def _send_foreign_chain(self, number: int) -> None:
        """Sends deltas or a snapshot of an abandoned chain, with a higher revision than the subscriber's.

        The token of that chain is older than all but that of revision 0. Subscribers at revision 0 are left
        out because they could not tell the two chains apart.
        """
        subscriber = self.subscribers[number]
        if subscriber.head is None or subscriber.head.number == 0:
            return
        tables = Tables.empty(ClassLimits(CLASSES, (0.0,) * len(CLASSES)))
        chain = Chain(first_entry(tables, 1), tables)
        token = FencingToken(0, "given-up", 0)
        chain.take_over(token, 0)
        while chain.head.number < subscriber.head.number + self.rng.randint(1, 3):
            draft = Draft(f"foreign-{chain.head.number}", "nobody", "given up", (PutTenant("foreign", 1.0),))
            chain.accept(draft, token, 0)
        if self.rng.random() < 0.5:
            chain.commit(chain.head.number)
            self._on_snapshot(number, make_snapshot(chain.last, chain.tables))
        else:
            first = subscriber.head.number + 1
            entries = [chain.entry(each) for each in range(first, chain.head.number + 1)]
            self._on_deltas(number, make_deltas(entries))

    def _alter_deltas(self, deltas: Deltas) -> Deltas:
        """Sometimes corrupts deltas: drops a revision, reverses their order, replaces changes or a token."""
        rng = self.rng
        if self.healed or rng.random() >= self.loss / 2:
            return deltas
        revisions = list(deltas.revisions)
        index = rng.randrange(len(revisions))
        kind = rng.randrange(4)
        if kind == 0 and len(revisions) > 1:
            del revisions[index]
        elif kind == 1:
            revisions.reverse()
        elif kind == 2:
            draft = replace(revisions[index].draft, changes=(PutTenant("altered", 1.0),))
            revisions[index] = replace(revisions[index], draft=draft)
        else:
            revisions[index] = replace(revisions[index], token=FencingToken(0, "altered", 0))
        return Deltas(tuple(revisions), deltas.last_hash)

    def _change_publisher(self, number: int) -> None:
        self.subscribed_to[number] = self.rng.randrange(PUBLISHERS)
        self.subscribers[number].publisher_changed()

    def _publisher_clock_us(self) -> int:
        """Returns Unix time by a clock that steps back and forth."""
        return 1_700_000_000_000_000 + self.now + self.rng.randrange(-3_600_000_000, 3_600_000_000)

    # messages

    def _send(self, deliver: Callable[[], None], late: bool = False) -> None:
        rng = self.rng
        if rng.random() < self.loss:
            return
        copies = 2 if not self.healed and rng.random() < 0.1 else 1
        for _ in range(copies):
            self.sent_count += 1
            delay = 1 if self.healed else rng.randint(1, self.max_delay_steps)
            self.messages.append(Message(self.now + delay * STEP_US, self.sent_count, deliver))
        if late and not self.healed and rng.random() < 0.3:
            self.replayable.append(deliver)

    def _deliver(self) -> None:
        due = sorted(
            (message for message in self.messages if message.deliver_at <= self.now),
            key=lambda m: (m.deliver_at, m.sequence),
        )
        self.messages = [message for message in self.messages if message.deliver_at > self.now]
        for message in due:
            message.deliver()

    # publishers

    def _replicate(self, holder: Publisher) -> None:
        token = holder.token
        assert token is not None
        holder.acks.setdefault(holder.chain.head.number, set()).add(holder.number)
        for other in self.publishers:
            if other is not holder:
                self._send(lambda other=other: self._on_replication(holder, other, token))  # type: ignore[misc]

    def _on_replication(self, holder: Publisher, other: Publisher, token: FencingToken) -> None:
        """Replicates the holder's current chain to another publisher, which sends an acknowledgement."""
        if (
            not other.up
            or not holder.up
            or holder.token != token
            or {other.number, holder.number} & self.isolated
        ):
            return
        try:
            other.chain.promise(token)
            self._copy_entries(holder, other, token)
        except StaleToken:
            holder.token = None
            return
        other.chain.commit(min(holder.chain.committed, other.chain.head.number))
        number = holder.chain.head.number
        self._send(lambda: self._on_ack(holder, other.number, number, token))

    def _on_ack(self, holder: Publisher, other: int, number: int, token: FencingToken) -> None:
        if not holder.up or holder.token != token:
            return
        holder.acks.setdefault(number, {holder.number}).add(other)
        if len(holder.acks[number]) < MAJORITY or number <= holder.chain.committed:
            return
        before = holder.chain.committed
        holder.chain.commit(number)
        self._record_commits(holder.chain, before, number)
        entries = [holder.chain.entry(each) for each in range(before + 1, number + 1)]
        self._send_deltas(holder, entries)
        self._answer_authors(holder)

    def _answer_authors(self, holder: Publisher) -> None:
        for receipt, author, draft in holder.pending_answers:
            if receipt.number <= holder.chain.committed and self.rng.random() < 0.8:
                number = None if receipt.refused else receipt.number
                self._send(lambda author=author, draft=draft, n=number: self._on_answer(author, draft, n))  # type: ignore[misc]
        holder.pending_answers = [
            answer for answer in holder.pending_answers if answer[0].number > holder.chain.committed
        ]

    def _send_deltas(self, publisher: Publisher, entries: list[Entry]) -> None:
        for number, source in enumerate(self.subscribed_to):
            if source == publisher.number and entries:
                deltas = make_deltas(entries)
                self._send(lambda number=number, deltas=deltas: self._on_deltas(number, deltas), late=True)  # type: ignore[misc]

    def _run_publishers(self, step: int) -> None:
        for publisher in self.publishers:
            if not publisher.up:
                continue
            if publisher.token is not None and step % 3 == 0:
                self._replicate(publisher)
            if step % HEAD_INTERVAL_STEPS == publisher.number:
                self._announce_head(publisher)

    def _announce_head(self, publisher: Publisher) -> None:
        head = publisher.chain.committed_head
        for number, source in enumerate(self.subscribed_to):
            if source == publisher.number:
                self._send(lambda number=number: self._on_head(number, head), late=True)  # type: ignore[misc]

    # authors

    def _run_authors(self) -> None:
        for number, author in enumerate(self.authors):
            if author.draft is None and not self.healed and self.rng.random() < 0.5:
                author.draft = self._random_draft()
            if author.draft is not None and self.now >= author.retry_at:
                author.retry_at = self.now + self.rng.randint(5, 15) * STEP_US
                self._submit(number, author.draft)

    def _submit(self, author: int, draft: Draft) -> None:
        """Submits to a random publisher, preferring those that believe to be the holder."""
        holders = [publisher for publisher in self.publishers if publisher.token is not None]
        publisher = self.rng.choice(self.publishers + 3 * holders)
        self._send(lambda: self._on_submission(publisher, author, draft))

    def _on_submission(self, publisher: Publisher, author: int, draft: Draft) -> None:
        token = publisher.token
        if not publisher.up or token is None:
            return
        try:
            receipt = publisher.chain.accept(draft, token, self._publisher_clock_us())
        except Refused:
            self._send(lambda: self._on_answer(author, draft, None))
            return
        except ChainFault:
            return
        publisher.pending_answers.append((receipt, author, draft))
        self._replicate(publisher)
        self._answer_authors(publisher)

    def _on_answer(self, author: int, draft: Draft, number: int | None) -> None:
        if number is None:
            self.refused.add(draft.change_id)
        else:
            self.acknowledged[draft.change_id] = number
        if self.authors[author].draft == draft:
            self.authors[author].draft = None

    def _random_draft(self) -> Draft:
        self.draft_count += 1
        rng = self.rng
        changes = tuple(self._random_change() for _ in range(rng.choice((0, 1, 1, 1, 1, 2, 3))))
        reason = "a reason" if rng.random() < 0.95 else ""
        return Draft(f"change-{self.draft_count}", "author", reason, changes)

    def _random_change(self) -> Change:
        rng = self.rng
        if rng.random() < 0.05:
            return rng.choice((PutTenant("bad", -1.0), PutRoute("/bad", "missing"), RemoveTenant("missing")))
        name = rng.choice((f"tenant-{rng.randrange(TENANTS)}", *self.model.tenants))
        prefix = rng.choice((*PREFIXES, *self.model.routes))
        return rng.choice(
            (
                PutTenant(name, float(rng.randrange(1_000))),
                PutTenant(name, float(rng.randrange(3))),
                RemoveTenant(rng.choice((name, *self.model.tenants))),
                PutRoute(prefix, rng.choice(CLASSES)),
                RemoveRoute(rng.choice((prefix, *self.model.routes))),
                SetClassLimit(rng.choice(CLASSES), rng.choice((0.1, 0.3, 0.4, 0.6))),
            )
        )

    # subscribers

    def _on_deltas(self, number: int, deltas: Deltas) -> None:
        altered = self._alter_deltas(deltas)
        self._handle_decision(number, self.subscribers[number].receive_deltas(altered, self.now))

    def _on_head(self, number: int, head: Head) -> None:
        self._handle_decision(number, self.subscribers[number].receive_head(head, self.now))

    def _handle_decision(self, number: int, decision: Decision) -> None:
        source = self.publishers[self.subscribed_to[number]]
        if isinstance(decision, RequestDeltas):
            self._send(lambda: self._serve_deltas(source, number, decision))
        elif isinstance(decision, RequestSnapshot):
            self._send(lambda: self._serve_snapshot(source, number))
        elif isinstance(decision, Apply):
            self._check_subscriber(number)

    def _serve_deltas(self, source: Publisher, number: int, request: RequestDeltas) -> None:
        if not source.up:
            return
        entries = source.chain.entries_after(request.after, 50)
        if entries is None:
            self._serve_snapshot(source, number)
        elif entries:
            deltas = make_deltas(entries)
            self._send(lambda: self._on_deltas(number, deltas), late=True)
        else:
            head = source.chain.committed_head
            self._send(lambda: self._on_head(number, head))

    def _serve_snapshot(self, source: Publisher, number: int) -> None:
        if not source.up:
            return
        chain = source.chain
        snapshot = make_snapshot(chain.entry(chain.committed), chain.tables_at(chain.committed))
        self._send(lambda: self._on_snapshot(number, snapshot), late=True)

    def _on_snapshot(self, number: int, snapshot: Snapshot) -> None:
        subscriber = self.subscribers[number]
        decision = subscriber.receive_snapshot(snapshot.header, self.now)
        self._handle_decision(number, decision)
        if not isinstance(decision, Load):
            return
        loader = decision.loader
        try:
            for part in self._alter_parts(snapshot):
                _exhaust(loader.load_part(part))
            _exhaust(loader.finish())
        except SnapshotFault:
            self._handle_decision(number, subscriber.snapshot_failed(self.now))
            return
        self._handle_decision(number, subscriber.snapshot_loaded())

    def _alter_parts(self, snapshot: Snapshot) -> list[SnapshotPart]:
        """Sometimes drops, duplicates or corrupts one part."""
        parts = list(snapshot.parts)
        rng = self.rng
        if self.healed or not parts or rng.random() >= self.loss:
            return parts
        index = rng.randrange(len(parts))
        kind = rng.randrange(5)
        if kind == 0:
            del parts[index]
        elif kind == 1:
            parts.insert(index, parts[index])
        elif kind == 2:
            parts[index] = replace(parts[index], tenants=(*parts[index].tenants, ("altered", 1.0)))
        elif kind == 3:
            parts[index] = replace(
                parts[index], tenants=parts[index].tenants[1:], routes=parts[index].routes[1:]
            )
        else:
            tenants = tuple((name, quota + 1.0) for name, quota in parts[index].tenants)
            parts[index] = replace(parts[index], tenants=tenants)
        return parts

    # checks

    def _record_commits(self, chain: Chain, before: int, number: int) -> None:
        """Records the commits of a holder, and checks that no revision is committed with other content."""
        for each_number in range(before + 1, number + 1):
            entry = chain.entry(each_number)
            expected = self.committed.get(each_number)
            if expected is None:
                self.committed[each_number] = entry
                self.last_commit_at = self.now
                if not entry.revision.refused:
                    self.model.apply(entry.revision.draft.changes)
                self.expected_contents[each_number] = self.model.content()
            elif expected != entry:
                raise InvariantViolation(f"two revisions {each_number} are committed")

    def _check_all(self) -> None:
        for number in range(SUBSCRIBERS):
            self._check_subscriber(number)
        for publisher in self.publishers:
            head = publisher.chain.committed_head
            expected = self.committed.get(head.number)
            if expected is not None and expected.hash != head.hash:
                raise InvariantViolation(
                    f"publisher {publisher.number} committed a different revision {head.number}"
                )

    def _check_subscriber(self, number: int) -> None:
        subscriber = self.subscribers[number]
        head = subscriber.head
        if head is None or head == self.checked_heads[number]:
            return
        self.checked_heads[number] = head
        if head.number < self.highest_seen[number]:
            raise InvariantViolation(
                f"subscriber {number} returned from revision {self.highest_seen[number]} to {head.number}"
            )
        self.highest_seen[number] = head.number
        expected = self.committed.get(head.number)
        if head.number and (expected is None or expected.hash != head.hash):
            raise InvariantViolation(
                f"subscriber {number} serves revision {head.number}, which is not committed"
            )
        if content_of(subscriber.tables) != self.expected_contents[head.number]:
            raise InvariantViolation(f"subscriber {number}: tables do not match revision {head.number}")
        self.earlier_tables.append((subscriber.tables, head.number))
        self._check_numbers(number, subscriber.tables.tenants)

    def _check_numbers(self, subscriber: int, tenants: TenantTable) -> None:
        """Checks that tenants keep their numbers while present and for the retention after their removal."""
        numbers, retained_until = self.tenant_numbers[subscriber], self.retained_until[subscriber]
        present = {name: tenants.find(name) for name in tenants.names()}
        for name in [name for name, until in retained_until.items() if until <= self.now]:
            del numbers[name], retained_until[name]
        for name in numbers:
            if name not in present:
                retained_until.setdefault(name, self.now + self.retention_us)
        for name, found in present.items():
            retained_until.pop(name, None)
            if found is None or numbers.setdefault(name, found) != found:
                raise InvariantViolation(f"subscriber {subscriber} changed the number of {name}")
        if len(set(numbers.values())) != len(numbers):
            raise InvariantViolation(f"subscriber {subscriber} assigned one number to two tenants")

    def _check_final_state(self) -> None:
        if any(author.draft is not None for author in self.authors):
            raise InvariantViolation("an author received no answer")
        newest = max(self.committed)
        if len({b"".join(canonical_bytes(subscriber.tables)) for subscriber in self.subscribers}) != 1:
            raise InvariantViolation("the encoded tables of subscribers differ")
        for tables, revision_number in self.rng.sample(
            self.earlier_tables, min(RECHECKED_COUNT, len(self.earlier_tables))
        ):
            if content_of(tables) != self.expected_contents[revision_number]:
                raise InvariantViolation(
                    f"tables of revision {revision_number} were changed after they were built"
                )
        for publisher in self.publishers:
            chain = publisher.chain
            numbers = range(chain.base.revision.number, chain.committed + 1)
            for revision_number in self.rng.sample(numbers, min(RECHECKED_COUNT, len(numbers))):
                if content_of(chain.tables_at(revision_number)) != self.expected_contents[revision_number]:
                    raise InvariantViolation(
                        f"publisher {publisher.number}: tables do not match revision {revision_number}"
                    )
        for number, subscriber in enumerate(self.subscribers):
            if subscriber.head is None or subscriber.head.number != newest:
                raise InvariantViolation(
                    f"subscriber {number} did not reach revision {newest} in time: {subscriber.head}"
                )
        places: dict[str, list[int]] = {}
        for number, entry in self.committed.items():
            if not entry.revision.refused:
                places.setdefault(entry.revision.draft.change_id, []).append(number)
        for change_id, number in self.acknowledged.items():
            if places.get(change_id) != [number]:
                raise InvariantViolation(
                    f"{change_id} was acknowledged at {number} but committed at {places.get(change_id)}"
                )
        for change_id in self.refused:
            if change_id in places:
                raise InvariantViolation(f"{change_id} was refused but is committed")
        if sum(self.model.shares) > 1.0 + 1e-9:
            raise InvariantViolation("the shares of all classes exceed 1")


def _exhaust(steps: Iterator[None]) -> None:
    for _ in steps:
        pass


def run_history(seed: int) -> str | None:
    """Runs the history of a seed and returns the violated invariant, or None."""
    try:
        History(seed).run()
    except InvariantViolation as violation:
        return str(violation)
    except Exception as error:  # an undocumented exception is a defect, too
        return f"{type(error).__name__}: {error}"
    return None


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m limeridge.configuration.histories")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args()
    started_at = time.monotonic()
    violations = {}
    for seed in range(options.first, options.first + options.seeds):
        if (violation := run_history(seed)) is not None:
            violations[seed] = violation
    print(
        json.dumps(
            {"seeds": options.seeds, "broken": violations, "seconds": round(time.monotonic() - started_at, 1)}
        )
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
