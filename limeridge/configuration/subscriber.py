"""What an instance does with what it hears from a publisher: apply, ignore, ask for deltas or for a snapshot.

It owns the head of the chain by which the instance serves. It must never go back to an earlier revision,
never apply a revision that does not follow its own, and never guess: where the hash that it computes is not
the one that it was told, the tables made are thrown away. Times are whole microseconds of the process' own
clock, and chance is handed in.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise
from random import Random

from limeridge.configuration.chain import Entry, Head, Revision, hash_of
from limeridge.configuration.snapshot import SnapshotFault, SnapshotHeader, SnapshotLoader
from limeridge.configuration.tables import InapplicableChange, Tables, TablesEditor

CHANGES_PER_STEP = 20  # under two milliseconds


class Why(StrEnum):
    """Reasons of a decision, for logs and counters."""

    OLD = "old or doubled"
    OLDER_CHAIN = "from an older chain"
    ASKED = "asked already"
    LOADING = "other tables are being made"
    NOTHING_YET = "no revision yet"
    GAP = "a gap"
    WRONG_HASH = "the hash is not that of the chain"
    NO_ANSWER = "no answer came"
    NOT_LOADED = "the snapshot could not be loaded"
    BEHIND = "the publisher is ahead"


@dataclass(slots=True, frozen=True)
class Deltas:
    """Revisions that follow each other; `last_hash` is the chain's after the last of them."""

    revisions: tuple[Revision, ...]
    last_hash: bytes


@dataclass(slots=True, frozen=True)
class Apply:
    """Put these tables in force between two requests."""

    head: Head
    tables: Tables


@dataclass(slots=True, frozen=True)
class Ignore:
    why: Why


@dataclass(slots=True, frozen=True)
class AskDeltas:
    """Ask the publisher for what follows this head; it answers with a snapshot where it can't."""

    after: Head
    why: Why


@dataclass(slots=True, frozen=True)
class AskSnapshot:
    why: Why


@dataclass(slots=True, frozen=True)
class Load:
    """Take the parts of a snapshot into this loader, then call `loaded` or `not_loaded`."""

    loader: SnapshotLoader


Decision = Apply | Ignore | AskDeltas | AskSnapshot | Load


@dataclass(slots=True, frozen=True)
class Terms:
    """Microseconds. An asking without an answer is repeated after a time drawn between half of `first` and
    `first`, doubled each time up to `most`, so that many do not ask again at once."""

    first: int = 1_000_000
    most: int = 4_000_000
    load: int = 30_000_000  # that a snapshot may take from its header to its last part
    retention: int = 3_600_000_000  # that a tenant which went keeps its number


def deltas_of(entries: Sequence[Entry]) -> Deltas:
    """What a publisher sends of its log; at least one entry."""
    return Deltas(tuple(entry.revision for entry in entries), entries[-1].hash)


class Subscriber:
    """One instance's place in the chain, and the askings that are open.

    Give its askings to whatever publisher the instance is subscribed to; it does not know which that is.
    """

    def __init__(self, tables: Tables, head: Head | None, chance: Random, terms: Terms = Terms()) -> None:  # noqa: B008 - immutable
        """`head` is None for an instance that serves by its file."""
        self.tables = tables
        self.head = head
        self._chance = chance
        self._terms = terms
        self._loader: SnapshotLoader | None = None
        self._load_until = 0
        self._applying = False
        self._asked: AskDeltas | AskSnapshot | None = None
        self._ask_again_at = 0
        self._unanswered = 0

    def hears_head(self, head: Head, now: int) -> Decision:
        """A publisher tells where it is."""
        if self._busy:
            return Ignore(Why.LOADING)
        if self.head is None:
            return self._ask(AskSnapshot(Why.NOTHING_YET), now)
        if head.token < self.head.token:
            return Ignore(Why.OLDER_CHAIN)
        if head.number > self.head.number:
            return self._ask(AskDeltas(self.head, Why.BEHIND), now)
        if head.number == self.head.number and head.hash != self.head.hash:
            return self._ask(AskSnapshot(Why.WRONG_HASH), now)
        if head.hash == self.head.hash:
            self._answered()
        return Ignore(Why.OLD)

    def hears_deltas(self, deltas: Deltas, now: int) -> Decision:
        """Revisions came, asked for or not. All at once, see `deltas_in_steps`."""
        steps = self.deltas_in_steps(deltas, now)
        while True:
            try:
                next(steps)
            except StopIteration as done:
                decision: Decision = done.value
                return decision

    def deltas_in_steps(self, deltas: Deltas, now: int) -> Generator[None, None, Decision]:
        """Revisions came; the decision is there behind the last step. Others are ignored meanwhile.

        A step makes CHANGES_PER_STEP changes at the most. Nothing has changed if it is closed before the end.
        """
        if self._busy:
            return Ignore(Why.LOADING)
        if self.head is None:
            return self._ask(AskSnapshot(Why.NOTHING_YET), now)
        head = self.head
        new = [revision for revision in deltas.revisions if revision.number > head.number]
        if not new:
            return Ignore(Why.OLD)
        tokens = [head.token, *(revision.token for revision in new)]
        if any(later < earlier for earlier, later in pairwise(tokens)):
            return self._ask(AskSnapshot(Why.OLDER_CHAIN), now)
        if new[0].number > head.number + 1:
            return self._ask(AskDeltas(head, Why.GAP), now)
        self._applying = True
        try:
            made = yield from self._made(head, new, now)
        finally:
            self._applying = False
        if made is None or made.head.hash != deltas.last_hash:
            return self._ask(AskSnapshot(Why.WRONG_HASH), now)
        return self._in_force(made)

    def hears_snapshot(self, header: SnapshotHeader, now: int) -> Decision:
        """The beginning of a snapshot came."""
        if self._busy:
            return Ignore(Why.LOADING)
        if self.head is not None:
            if header.head.token < self.head.token:
                return Ignore(Why.OLDER_CHAIN)
            if header.head.number <= self.head.number:
                return Ignore(Why.OLD)
        retired_until = now + self._terms.retention
        try:
            self._loader = SnapshotLoader(header, self.tables, now=now, retired_until=retired_until)
        except SnapshotFault:
            return self._ask(AskSnapshot(Why.NOT_LOADED), now)
        self._load_until = now + self._terms.load
        return Load(self._loader)

    def loaded(self) -> Decision:
        """All parts are in and the loader's last step is done."""
        loader, self._loader = self._loader, None
        if loader is None:
            return Ignore(Why.OLD)
        return self._in_force(Apply(loader.header.head, loader.tables))

    def not_loaded(self, now: int) -> Decision:
        """The loader raised SnapshotFault, or the publisher went."""
        self._loader = None
        return self._ask(AskSnapshot(Why.NOT_LOADED), now)

    def publisher_changed(self) -> None:
        """What was asked of the last publisher will not be answered."""
        self._loader = None
        self._answered()

    def tick(self, now: int) -> Decision:
        """To be called each few hundred milliseconds: askings without an answer are repeated."""
        if self._loader is not None:
            return self.not_loaded(now) if now >= self._load_until else Ignore(Why.LOADING)
        if self._applying:
            return Ignore(Why.LOADING)
        if self._asked is None or now < self._ask_again_at:
            return Ignore(Why.OLD if self._asked is None else Why.ASKED)
        again: AskDeltas | AskSnapshot = AskSnapshot(Why.NO_ANSWER)
        if isinstance(self._asked, AskDeltas) and self.head is not None:
            again = AskDeltas(self.head, Why.NO_ANSWER)
        return self._asking(again, now)

    @property
    def _busy(self) -> bool:
        return self._loader is not None or self._applying

    def _made(
        self, head: Head, revisions: Sequence[Revision], now: int
    ) -> Generator[None, None, Apply | None]:
        """The tables after `revisions` and the hash that they come to; None where they can't be applied.

        Whether they follow `head` without a hole is told by that hash alone.
        """
        editor = TablesEditor(self.tables, now=now, retired_until=now + self._terms.retention)
        chain_hash = head.hash
        for revision in revisions:
            for first in range(0, len(revision.changes), CHANGES_PER_STEP):
                try:
                    editor.apply(revision.changes[first : first + CHANGES_PER_STEP])
                except InapplicableChange:
                    return None
                yield
            chain_hash = hash_of(chain_hash, revision, editor.digest)
        last = revisions[-1]
        return Apply(Head(last.number, chain_hash, last.token), editor.build())

    def _in_force(self, made: Apply) -> Decision:
        self.head, self.tables = made.head, made.tables
        self._answered()
        return made

    def _answered(self) -> None:
        self._asked = None
        self._unanswered = 0

    def _ask(self, asking: AskDeltas | AskSnapshot, now: int) -> Decision:
        """Ask, unless the same is asked already; a snapshot is asked for over deltas."""
        covered = isinstance(self._asked, AskSnapshot) or isinstance(asking, AskDeltas)
        if self._asked is not None and covered and now < self._ask_again_at:
            return Ignore(Why.ASKED)
        return self._asking(asking, now)

    def _asking(self, asking: AskDeltas | AskSnapshot, now: int) -> Decision:
        limit = min(self._terms.most, self._terms.first << min(self._unanswered, 10))
        self._unanswered += 1
        self._asked = asking
        self._ask_again_at = now + self._chance.randint(limit // 2, limit)
        return asking
