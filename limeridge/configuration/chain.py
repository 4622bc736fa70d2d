"""The chain of revisions: a log in which each hash covers the previous entry and the resulting tables.

This module defines the order of revisions, the content of a hash, deduplication by change id, and compaction.
Nothing is accepted under a token older than one that was promised, only committed revisions are given to
subscribers, and a committed revision is never taken back. Unix time is recorded in each revision and compared
nowhere. Replication between publishers, and deciding when a majority has a revision, are up to the caller.

A publisher that takes over has a majority promise its token, adopts the chain of the highest rank among them,
and first appends a revision without changes under its own token, as a new leader in Raft does (Ongaro and
Ousterhout 2014). Once a majority has that revision, all revisions up to it are committed.
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
MAX_REMEMBERED_IDS = 100_000  # change ids of a week at 15,000 changes a day

# Publishers have no open requests, so a removed tenant is dropped with the next change.
PUBLISHER_NOW, PUBLISHER_RETIRED_UNTIL = 2, 1


class ChainFault(Exception):
    """The operation is not valid for the current state of the chain."""


class StaleToken(ChainFault):
    """A newer token is in use, or the token of a take-over is not newer than that of the last revision."""


class ChangeIdReused(ChainFault):
    """The change id was already used for a different draft."""


class BrokenLink(ChainFault):
    """A revision does not follow the previous one, or its hash does not match its content."""


class NotInLog(ChainFault):
    """The revision is not in the log: compacted, not yet present, or of another chain."""


@dataclass(slots=True, frozen=True, order=True)
class FencingToken:
    """The fencing token of the right to accept changes; a greater one is newer.

    It has the fields of `duty.ballots.Token`, without a dependency on msgspec.
    """

    number: int = 0
    holder: str = ""
    nonce: int = 0


@dataclass(slots=True, frozen=True)
class Head:
    """A position in a chain: revision number, the hash of the chain up to it, and the token it has."""

    number: int
    hash: bytes
    token: FencingToken

    @property
    def rank(self) -> tuple[FencingToken, int]:
        """Sort key: of two heads, the chain of the one with the greater rank has all committed revisions."""
        return self.token, self.number


@dataclass(slots=True, frozen=True)
class Revision:
    """One revision of the chain. Its draft has no changes if it marks a take-over."""

    number: int
    token: FencingToken
    unix_time_us: int  # by the publisher's clock, which may step back
    draft: Draft
    refused: bool = False  # the draft could not be applied to the previous tables

    @property
    def changes(self) -> tuple[Change, ...]:
        """The changes that are applied to the tables; none if the draft was refused."""
        return () if self.refused else self.draft.changes


@dataclass(slots=True, frozen=True)
class Entry:
    """A revision in the log, linked by `previous_hash` and `hash`; `digest` covers the tables after it."""

    revision: Revision
    previous_hash: bytes
    digest: int
    hash: bytes

    @property
    def head(self) -> Head:
        return Head(self.revision.number, self.hash, self.revision.token)


@dataclass(slots=True, frozen=True)
class Receipt:
    """The answer to an author, valid once the revision is committed.

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
    """The revision of a change id, and the fingerprint of its draft."""

    number: int
    hash: bytes
    fingerprint: bytes
    refused: bool


def revision_hash(previous_hash: bytes, revision: Revision, digest: int) -> bytes:
    """Returns the hash of a revision that follows an entry with the hash `previous_hash`."""
    token = revision.token
    covered = encode_fields(
        previous_hash,
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


def make_entry(previous_hash: bytes, revision: Revision, digest: int) -> Entry:
    return Entry(revision, previous_hash, digest, revision_hash(previous_hash, revision, digest))


def has_valid_hash(entry: Entry) -> bool:
    """Returns whether the hash of an entry matches its content."""
    return entry.hash == revision_hash(entry.previous_hash, entry.revision, entry.digest)


def first_entry(tables: Tables, unix_time_us: int) -> Entry:
    """Returns revision 0, with the initial tables of a chain. The texts of its draft are hashed."""
    draft = Draft("first", "publisher", "the tables that the chain begins with", ())
    return make_entry(NO_HASH, Revision(0, FencingToken(), unix_time_us, draft), tables.digest)


class Chain:
    """The log of one publisher: a base with its tables, the entries after it, and the commit index."""

    def __init__(
        self, base: Entry, tables: Tables, change_id_records: Iterable[tuple[str, ChangeIdRecord]] = ()
    ) -> None:
        """Starts from a committed `base` and the change ids of an earlier log. Raises BrokenLink."""
        if not has_valid_hash(base) or base.digest != tables.digest:
            raise BrokenLink(f"base revision {base.revision.number} does not match its hash or its tables")
        self.base = base
        self._base_tables = tables
        self._entries: list[Entry] = []
        self.tables = tables  # after the last entry, committed or not
        self.committed = base.revision.number
        self.promised = base.revision.token  # older tokens are rejected
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
        """Returns the known change ids, oldest first, to initialize the log of another publisher."""
        return tuple(self._change_id_records.items())

    def receipt(self, draft: Draft) -> Receipt | None:
        """Returns the earlier receipt of a change id, or None if it is new. Raises ChangeIdReused."""
        before = self._change_id_records.get(draft.change_id)
        if before is None:
            return None
        if before.fingerprint != draft_fingerprint(draft):
            raise ChangeIdReused(f"the change id {draft.change_id!r} stands for other changes")
        return Receipt(before.number, before.hash, repeated=True, refused=before.refused)

    def accept(self, draft: Draft, token: FencingToken, unix_time_us: int) -> Receipt:
        """Appends a draft, marked as refused if it does not fit the tables; valid once it is committed.

        Raises ChainFault, and Refused for a malformed draft. A draft that does not fit the current tables is
        appended too, because a copy of the same submission may reach another holder, or this one later.
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
        """Appends the revision without changes that a new holder starts with. Raises StaleToken."""
        if token <= self.head.token or token < self.promised:
            raise StaleToken(f"revision {self.head.number} was written under a token that is not older")
        number = self.head.number + 1
        # The texts of the draft are part of the hash.
        draft = Draft(
            f"take-over-{number}-{token.number}", token.holder, "takes over the duty to publish", ()
        )
        return self._append_revision(Revision(number, token, unix_time_us, draft))

    def promise(self, token: FencingToken) -> None:
        """Rejects older tokens from now on. Raises StaleToken if a newer one is already promised."""
        if token < self.promised:
            raise StaleToken("a newer token is promised")
        self.promised = token

    def replicate(self, entries: Sequence[Entry], token: FencingToken) -> None:
        """Appends entries of the publisher that holds this token, replacing conflicting uncommitted ones.

        Raises StaleToken if a newer token is promised, and BrokenLink if the entries do not follow the log.
        """
        self.promise(token)
        for entry in entries:
            number = entry.revision.number
            if number <= self.head.number:
                if number < self.base.revision.number or self.entry(number).hash == entry.hash:
                    continue
                self._truncate(number)
            if (
                entry.previous_hash != self.head.hash
                or number != self.head.number + 1
                or not has_valid_hash(entry)
            ):
                raise BrokenLink(f"revision {number} does not follow revision {self.head.number}")
            if entry.revision.token < self.head.token:
                raise BrokenLink(f"revision {number} is under an older token than the one before it")
            try:
                tables = replay(self.tables, [entry.revision])
            except InapplicableChange as fault:
                raise BrokenLink(f"revision {number} can't be applied: {fault}") from None
            if tables.digest != entry.digest:
                raise BrokenLink(f"digest of the tables after revision {number} does not match")
            self._append_entry(entry, tables)

    def commit(self, number: int) -> None:
        """Marks revisions up to this one as committed; never goes back. Raises NotInLog beyond the head."""
        if number > self.head.number:
            raise NotInLog(f"revision {number} is beyond the head, {self.head.number}")
        self.committed = max(self.committed, number)

    def entry(self, number: int) -> Entry:
        """Returns the entry of a revision, the base included. Raises NotInLog."""
        index = number - self.base.revision.number
        if not 0 <= index <= len(self._entries):
            raise NotInLog(f"revision {number} is not in the log")
        return self._entries[index - 1] if index else self.base

    def entries_after(self, head: Head, limit: int) -> tuple[Entry, ...] | None:
        """Returns at most `limit` committed entries after a subscriber's head.

        None means that the subscriber needs a snapshot. The result is empty if the subscriber has all that is
        committed as far as this publisher knows.
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
        """Returns the tables as of a revision of the log. Raises NotInLog."""
        self.entry(number)
        if number == self.head.number:
            return self.tables
        entries = self._entries[: number - self.base.revision.number]
        return replay(self._base_tables, [entry.revision for entry in entries])

    def compact(self, keep: int) -> None:
        """Discards all but the last `keep` committed entries; the entry before them becomes the base."""
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
        """Removes this uncommitted revision and all after it."""
        if number <= self.committed:
            raise BrokenLink(f"revision {number} is committed with another hash")
        tables = self.tables_at(number - 1)
        kept = number - 1 - self.base.revision.number
        for entry in self._entries[kept:]:
            self._change_id_records.pop(entry.revision.draft.change_id, None)
        del self._entries[kept:]
        self.tables = tables


def replay(tables: Tables, revisions: Iterable[Revision]) -> Tables:
    """Applies all revisions and builds the tables once. Raises InapplicableChange."""
    editor = TablesEditor(tables, now=PUBLISHER_NOW, retired_until=PUBLISHER_RETIRED_UNTIL)
    for revision in revisions:
        editor.apply(revision.changes)
    return editor.build()
