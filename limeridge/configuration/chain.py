"""The chain of revisions: a log in which each one's hash covers the one before it and the tables after it.

It owns the order of revisions, what a hash covers, that a change id counts once, and compaction. It must
never accept under a token older than one that was promised, never give out a revision that is not committed,
and never take back one that is. Unix time is told in each revision and compared nowhere. It does not know how
revisions get from one publisher to another, nor when a majority has one.

A publisher that takes over has a majority promise its token, takes the chain of the greatest rank among them,
and first appends a revision without changes under its own token, as a new leader in Raft does (Ongaro and
Ousterhout 2014). Once a majority has that, all up to it is committed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from limeridge.configuration.changes import (
    Change,
    Draft,
    draft_fingerprint,
    encode_draft,
    encode_fields,
    encode_text,
)
from limeridge.configuration.checks import Fault, Refused, check_applicable, check_format
from limeridge.configuration.tables import DIGEST_BYTES, InapplicableChange, Tables, TablesEditor

HASH_BYTES = 16
NO_HASH = bytes(HASH_BYTES)
MAX_REMEMBERED_IDS = 100_000  # change ids; a week at 15,000 changes a day

# Publishers have no requests open: what they remove is forgotten with the next change.
PUBLISHER_NOW, PUBLISHER_RETIRED_UNTIL = 2, 1


class ChainFault(Exception):
    """What was asked for does not fit the chain."""


class StaleToken(ChainFault):
    """A newer holder of the duty has written, or the token is not above the last one's at a take-over."""


class ChangeIdReused(ChainFault):
    """The change id stands for another draft."""


class BrokenLink(ChainFault):
    """A revision does not follow the one before it, or its hash is not that of its content."""


class NotInLog(ChainFault):
    """The revision is not in the log: compacted, not there yet, or of another chain."""


@dataclass(slots=True, frozen=True, order=True)
class FencingToken:
    """Of the duty to accept changes; greater is newer. As `duty.ballots.Token`, without its library."""

    number: int = 0
    holder: str = ""
    nonce: int = 0


@dataclass(slots=True, frozen=True)
class Head:
    """A place in a chain: revision, the hash of the chain up to it, and the token that wrote it."""

    number: int
    hash: bytes
    token: FencingToken

    @property
    def rank(self) -> tuple[FencingToken, int]:
        """Of two chains' heads the greater one has all that was committed."""
        return self.token, self.number


@dataclass(slots=True, frozen=True)
class Revision:
    """One step of the chain. Its draft has no changes where a publisher took over."""

    number: int
    token: FencingToken
    unix_time_us: int  # Unix time in microseconds as the publisher's clock had it; it may step back
    draft: Draft
    refused: bool = False  # did not fit the tables before it

    @property
    def changes(self) -> tuple[Change, ...]:
        """What it does to the tables."""
        return () if self.refused else self.draft.changes


@dataclass(slots=True, frozen=True)
class Entry:
    """A revision in the log: `previous` and `hash` link it, `digest` is that of the tables after it."""

    revision: Revision
    previous: bytes
    digest: int
    hash: bytes

    @property
    def head(self) -> Head:
        return Head(self.revision.number, self.hash, self.revision.token)


@dataclass(slots=True, frozen=True)
class Receipt:
    """The answer to an author, good once the revision is committed.

    `repeated` is set if the change id was decided before. `refused` is set if the draft does not fit the
    tables; `faults` has the reasons, in the first receipt only.
    """

    number: int
    hash: bytes
    repeated: bool = False
    refused: bool = False
    faults: tuple[Fault, ...] = ()


@dataclass(slots=True, frozen=True)
class ChangeIdRecord:
    """What a change id stands for."""

    number: int
    hash: bytes
    fingerprint: bytes
    refused: bool


def revision_hash(previous: bytes, revision: Revision, digest: int) -> bytes:
    token = revision.token
    covered = encode_fields(
        previous,
        b"%d" % revision.number,
        b"%d" % token.number,
        encode_text(token.holder),
        b"%d" % token.nonce,
        b"%d" % revision.unix_time_us,
        b"%d" % revision.refused,
        encode_draft(revision.draft),
        digest.to_bytes(DIGEST_BYTES, "big"),
    )
    return blake2b(covered, digest_size=HASH_BYTES).digest()


def make_entry(previous: bytes, revision: Revision, digest: int) -> Entry:
    return Entry(revision, previous, digest, revision_hash(previous, revision, digest))


def has_valid_hash(entry: Entry) -> bool:
    """Whether the entry's hash is that of its content."""
    return entry.hash == revision_hash(entry.previous, entry.revision, entry.digest)


def first_entry(tables: Tables, unix_time_us: int) -> Entry:
    """Revision 0: the tables that a chain begins with."""
    draft = Draft("first", "publisher", "the tables that the chain begins with", ())
    return make_entry(NO_HASH, Revision(0, FencingToken(), unix_time_us, draft), tables.digest)


class Chain:
    """One publisher's log: a base with its tables, the entries after it, and which of them are committed."""

    def __init__(
        self, base: Entry, tables: Tables, change_id_records: Iterable[tuple[str, ChangeIdRecord]] = ()
    ) -> None:
        """Starts from a committed `base` and the change ids of an earlier log. Raises BrokenLink."""
        if not has_valid_hash(base) or base.digest != tables.digest:
            raise BrokenLink(f"revision {base.revision.number} does not have these tables")
        self.base = base
        self._base_tables = tables
        self._entries: list[Entry] = []
        self.tables = tables  # after the last entry, committed or not
        self.committed = base.revision.number
        self.promised = base.revision.token  # nothing under an older one is taken
        self._change_id_records = dict(change_id_records)

    @property
    def last(self) -> Entry:
        return self._entries[-1] if self._entries else self.base

    @property
    def head(self) -> Head:
        return self.last.head

    @property
    def committed_head(self) -> Head:
        return self.entry(self.committed).head

    def change_id_records(self) -> tuple[tuple[str, ChangeIdRecord], ...]:
        """Change ids, oldest first, for the log of another publisher."""
        return tuple(self._change_id_records.items())

    def receipt(self, draft: Draft) -> Receipt | None:
        """The answer where the change id was accepted before. Raises ChangeIdReused."""
        before = self._change_id_records.get(draft.change_id)
        if before is None:
            return None
        if before.fingerprint != draft_fingerprint(draft):
            raise ChangeIdReused(f"the change id {draft.change_id!r} stands for other changes")
        return Receipt(before.number, before.hash, repeated=True, refused=before.refused)

    def accept(self, draft: Draft, token: FencingToken, unix_time_us: int) -> Receipt:
        """Append a draft, or that it is refused; either counts once it is committed.

        Raises ChainFault, and Refused for a draft that no tables could take. What does not fit these tables
        is appended too, for the same asking may be on its way to another holder, or come late to this one.
        """
        if token != self.head.token or token < self.promised:
            raise StaleToken(f"revision {self.head.number} was written under another token")
        if (receipt := self.receipt(draft)) is not None:
            return receipt
        check_format(draft)
        faults: tuple[Fault, ...] = ()
        try:
            check_applicable(self.tables, draft)
        except Refused as error:
            faults = error.faults
        revision = Revision(self.head.number + 1, token, unix_time_us, draft, refused=bool(faults))
        entry = self._append_revision(revision)
        return Receipt(revision.number, entry.hash, refused=revision.refused, faults=faults)

    def take_over(self, token: FencingToken, unix_time_us: int) -> Entry:
        """Append the revision without changes that a new holder begins with. Raises StaleToken."""
        if token <= self.head.token or token < self.promised:
            raise StaleToken(f"revision {self.head.number} was written under a token that is not older")
        number = self.head.number + 1
        draft = Draft(
            f"take-over-{number}-{token.number}", token.holder, "takes over the duty to publish", ()
        )
        return self._append_revision(Revision(number, token, unix_time_us, draft))

    def promise(self, token: FencingToken) -> None:
        """Take nothing under an older token from now on. Raises StaleToken where a newer one is promised."""
        if token < self.promised:
            raise StaleToken("a newer token is promised")
        self.promised = token

    def replicate(self, entries: Sequence[Entry], token: FencingToken) -> None:
        """Take the entries of the publisher that holds this token, in the place of uncommitted ones.

        Raises StaleToken where a newer token is promised, BrokenLink where the entries do not follow.
        """
        self.promise(token)
        for entry in entries:
            number = entry.revision.number
            if number <= self.head.number:
                if number < self.base.revision.number or self.entry(number).hash == entry.hash:
                    continue
                self._truncate(number)
            if (
                entry.previous != self.head.hash
                or number != self.head.number + 1
                or not has_valid_hash(entry)
            ):
                raise BrokenLink(f"revision {number} does not follow revision {self.head.number}")
            if entry.revision.token < self.head.token:
                raise BrokenLink(f"revision {number} is under an older token than the one before it")
            try:
                tables = replay(self.tables, [entry.revision])
            except InapplicableChange as fault:
                raise BrokenLink(f"revision {number} does not fit: {fault}") from None
            if tables.digest != entry.digest:
                raise BrokenLink(f"revision {number} gives other tables here")
            self._append_entry(entry, tables)

    def commit(self, number: int) -> None:
        """A majority has all up to this revision. Raises NotInLog beyond the head; never goes back."""
        if number > self.head.number:
            raise NotInLog(f"revision {number} is beyond the head, {self.head.number}")
        self.committed = max(self.committed, number)

    def entry(self, number: int) -> Entry:
        """Raises NotInLog."""
        index = number - self.base.revision.number
        if not 0 <= index <= len(self._entries):
            raise NotInLog(f"revision {number} is not in the log")
        return self._entries[index - 1] if index else self.base

    def entries_after(self, head: Head, limit: int) -> tuple[Entry, ...] | None:
        """Committed entries behind a subscriber's head, at most so many; None where only a snapshot helps.

        Empty where the subscriber has all that is committed as far as this publisher knows.
        """
        try:
            known = self.entry(head.number)
        except NotInLog:
            return None
        if known.hash != head.hash:
            return None
        first = head.number - self.base.revision.number
        return tuple(self._entries[first : min(first + limit, self.committed - self.base.revision.number)])

    def tables_at(self, number: int) -> Tables:
        """The tables by a revision of the log. Raises NotInLog."""
        self.entry(number)
        if number == self.head.number:
            return self.tables
        entries = self._entries[: number - self.base.revision.number]
        return replay(self._base_tables, [entry.revision for entry in entries])

    def compact(self, keep: int) -> None:
        """Forget all but the last `keep` committed entries; the base moves up to what was before them."""
        number = self.committed - keep
        if number <= self.base.revision.number:
            return
        base, tables = self.entry(number), self.tables_at(number)
        del self._entries[: number - self.base.revision.number]
        self.base, self._base_tables = base, tables

    def _append_revision(self, revision: Revision) -> Entry:
        tables = replay(self.tables, [revision])
        entry = make_entry(self.head.hash, revision, tables.digest)
        self._append_entry(entry, tables)
        return entry

    def _append_entry(self, entry: Entry, tables: Tables) -> None:
        self._entries.append(entry)
        self.tables = tables
        draft = entry.revision.draft
        self._change_id_records[draft.change_id] = ChangeIdRecord(
            entry.revision.number, entry.hash, draft_fingerprint(draft), entry.revision.refused
        )
        while len(self._change_id_records) > MAX_REMEMBERED_IDS:
            del self._change_id_records[next(iter(self._change_id_records))]

    def _truncate(self, number: int) -> None:
        """Take back this uncommitted revision and all behind it."""
        if number <= self.committed:
            raise BrokenLink(f"revision {number} is committed with another hash")
        tables = self.tables_at(number - 1)
        kept = number - 1 - self.base.revision.number
        for entry in self._entries[kept:]:
            self._change_id_records.pop(entry.revision.draft.change_id, None)
        del self._entries[kept:]
        self.tables = tables


def replay(tables: Tables, revisions: Iterable[Revision]) -> Tables:
    """The tables after all revisions, built once. Raises InapplicableChange."""
    editor = TablesEditor(tables, now=PUBLISHER_NOW, retired_until=PUBLISHER_RETIRED_UNTIL)
    for revision in revisions:
        editor.apply(revision.changes)
    return editor.build()
