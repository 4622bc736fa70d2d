"""How an instance handles messages of a publisher: apply, ignore, request deltas or request a snapshot.

A subscriber tracks the head of the chain that the instance serves. It never returns to an earlier revision
and never applies a revision that does not follow its head; if the computed hash differs from the received
one, the new tables are discarded. Times are whole microseconds of the process' own clock, and the random
number generator is passed in.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise
from random import Random

from limeridge.configuration.chain import Entry, Head, Revision, revision_hash
from limeridge.configuration.snapshot import SnapshotFault, SnapshotHeader, SnapshotLoader
from limeridge.configuration.tables import InapplicableChange, Tables, TablesEditor

CHANGES_PER_STEP = 20  # under two milliseconds


class Reason(StrEnum):
    """Reasons of a decision, for logs and counters. The values are sent in requests and must not change."""

    OLD = "old or doubled"
    OLDER_CHAIN = "from an older chain"
    ALREADY_REQUESTED = "asked already"
    LOADING = "other tables are being made"
    NO_REVISION = "no revision yet"
    GAP = "a gap"
    HASH_MISMATCH = "the hash is not that of the chain"
    NO_ANSWER = "no answer came"
    LOAD_FAILED = "the snapshot could not be loaded"
    BEHIND = "the publisher is ahead"


@dataclass(slots=True, frozen=True)
class Deltas:
    """Consecutive revisions; `last_hash` is the hash of the chain after the last of them."""

    revisions: tuple[Revision, ...]
    last_hash: bytes


@dataclass(slots=True, frozen=True)
class Apply:
    """The instance must switch to these tables between two requests."""

    head: Head
    tables: Tables


@dataclass(slots=True, frozen=True)
class Ignore:
    reason: Reason


@dataclass(slots=True, frozen=True)
class RequestDeltas:
    """Request the revisions after this head; the publisher sends a snapshot if it no longer has them."""

    after: Head
    reason: Reason


@dataclass(slots=True, frozen=True)
class RequestSnapshot:
    reason: Reason


@dataclass(slots=True, frozen=True)
class Load:
    """Pass the parts of the snapshot to this loader, then call `snapshot_loaded` or `snapshot_failed`."""

    loader: SnapshotLoader


Decision = Apply | Ignore | RequestDeltas | RequestSnapshot | Load


@dataclass(slots=True, frozen=True)
class SubscriberTimes:
    """Times of retries, loading and retention.

    A request without an answer is repeated after a random time between half of `first_retry_us` and the
    whole. The bounds double with each retry up to `max_retry_us`. The jitter keeps many subscribers from
    retrying at the same time.
    """

    first_retry_us: int = 1_000_000
    max_retry_us: int = 4_000_000
    load_timeout_us: int = 30_000_000  # from the header of a snapshot to its last part
    retention_us: int = 3_600_000_000  # time that a removed tenant keeps its number


def make_deltas(entries: Sequence[Entry]) -> Deltas:
    """Creates the message for consecutive log entries, of which there must be at least one."""
    return Deltas(tuple(entry.revision for entry in entries), entries[-1].hash)


class Subscriber:
    """The position of one instance in the chain, and its open request.

    Requests go to the publisher that the instance is currently subscribed to; this class does not know which.
    """

    def __init__(
        self,
        tables: Tables,
        head: Head | None,
        rng: Random,
        times: SubscriberTimes = SubscriberTimes(),  # noqa: B008 - immutable
    ) -> None:
        """`head` is None for an instance that uses the configuration in its file."""
        self.tables = tables
        self.head = head
        self._rng = rng
        self._times = times
        self._loader: SnapshotLoader | None = None
        self._load_deadline = 0
        self._applying = False
        self._open_request: RequestDeltas | RequestSnapshot | None = None
        self._retry_at = 0
        self._unanswered_requests = 0

    def receive_head(self, head: Head, now: int) -> Decision:
        """Handles the head that a publisher announces."""
        if self._busy:
            return Ignore(Reason.LOADING)
        if self.head is None:
            return self._request(RequestSnapshot(Reason.NO_REVISION), now)
        if head.token < self.head.token:
            return Ignore(Reason.OLDER_CHAIN)
        if head.number > self.head.number:
            return self._request(RequestDeltas(self.head, Reason.BEHIND), now)
        if head.number == self.head.number and head.hash != self.head.hash:
            return self._request(RequestSnapshot(Reason.HASH_MISMATCH), now)
        if head.hash == self.head.hash:
            self._clear_request()
        return Ignore(Reason.OLD)

    def receive_deltas(self, deltas: Deltas, now: int) -> Decision:
        """Handles revisions, requested or not, without interruption; see `receive_deltas_in_steps`."""
        steps = self.receive_deltas_in_steps(deltas, now)
        while True:
            try:
                next(steps)
            except StopIteration as stopped:
                decision: Decision = stopped.value
                return decision

    def receive_deltas_in_steps(self, deltas: Deltas, now: int) -> Generator[None, None, Decision]:
        """Handles revisions incrementally and returns the decision after the last step.

        A step applies at most CHANGES_PER_STEP changes. Other messages are ignored until the end. Closing the
        generator before the end leaves the subscriber unchanged.
        """
        if self._busy:
            return Ignore(Reason.LOADING)
        if self.head is None:
            return self._request(RequestSnapshot(Reason.NO_REVISION), now)
        head = self.head
        new_revisions = [revision for revision in deltas.revisions if revision.number > head.number]
        if not new_revisions:
            return Ignore(Reason.OLD)
        tokens = [head.token, *(revision.token for revision in new_revisions)]
        if any(later < earlier for earlier, later in pairwise(tokens)):
            return self._request(RequestSnapshot(Reason.OLDER_CHAIN), now)
        if new_revisions[0].number > head.number + 1:
            return self._request(RequestDeltas(head, Reason.GAP), now)
        self._applying = True
        try:
            applied = yield from self._apply_revisions(head, new_revisions, now)
        finally:
            self._applying = False
        if applied is None or applied.head.hash != deltas.last_hash:
            return self._request(RequestSnapshot(Reason.HASH_MISMATCH), now)
        return self._put_in_force(applied)

    def receive_snapshot(self, header: SnapshotHeader, now: int) -> Decision:
        """Handles the header of a snapshot."""
        if self._busy:
            return Ignore(Reason.LOADING)
        if self.head is not None:
            if header.head.token < self.head.token:
                return Ignore(Reason.OLDER_CHAIN)
            if header.head.number <= self.head.number:
                return Ignore(Reason.OLD)
        retired_until = now + self._times.retention_us
        try:
            self._loader = SnapshotLoader(header, self.tables, now=now, retired_until=retired_until)
        except SnapshotFault:
            return self._request(RequestSnapshot(Reason.LOAD_FAILED), now)
        self._load_deadline = now + self._times.load_timeout_us
        return Load(self._loader)

    def snapshot_loaded(self) -> Decision:
        """Must be called after the last step of the loader."""
        loader, self._loader = self._loader, None
        if loader is None:
            return Ignore(Reason.OLD)
        return self._put_in_force(Apply(loader.header.head, loader.tables))

    def snapshot_failed(self, now: int) -> Decision:
        """Must be called if the loader raised SnapshotFault or the connection to the publisher was lost."""
        self._loader = None
        return self._request(RequestSnapshot(Reason.LOAD_FAILED), now)

    def publisher_changed(self) -> None:
        """Forgets open requests and loading, because the previous publisher will not answer any more."""
        self._loader = None
        self._clear_request()

    def tick(self, now: int) -> Decision:
        """Repeats requests without an answer; must be called every few hundred milliseconds."""
        if self._loader is not None:
            return self.snapshot_failed(now) if now >= self._load_deadline else Ignore(Reason.LOADING)
        if self._applying:
            return Ignore(Reason.LOADING)
        if self._open_request is None or now < self._retry_at:
            return Ignore(Reason.OLD if self._open_request is None else Reason.ALREADY_REQUESTED)
        retry: RequestDeltas | RequestSnapshot = RequestSnapshot(Reason.NO_ANSWER)
        if isinstance(self._open_request, RequestDeltas) and self.head is not None:
            retry = RequestDeltas(self.head, Reason.NO_ANSWER)
        return self._send_request(retry, now)

    @property
    def _busy(self) -> bool:
        return self._loader is not None or self._applying

    def _apply_revisions(
        self, head: Head, revisions: Sequence[Revision], now: int
    ) -> Generator[None, None, Apply | None]:
        """Returns the tables after `revisions` with the resulting hash, or None if they can't be applied.

        Gaps between the revisions are not checked here; they make the hash differ.
        """
        editor = TablesEditor(self.tables, now=now, retired_until=now + self._times.retention_us)
        chain_hash = head.hash
        for revision in revisions:
            for first in range(0, len(revision.changes), CHANGES_PER_STEP):
                try:
                    editor.apply(revision.changes[first : first + CHANGES_PER_STEP])
                except InapplicableChange:
                    return None
                yield
            chain_hash = revision_hash(chain_hash, revision, editor.digest)
        last = revisions[-1]
        return Apply(Head(last.number, chain_hash, last.token), editor.build())

    def _put_in_force(self, applied: Apply) -> Decision:
        self.head, self.tables = applied.head, applied.tables
        self._clear_request()
        return applied

    def _clear_request(self) -> None:
        self._open_request = None
        self._unanswered_requests = 0

    def _request(self, request: RequestDeltas | RequestSnapshot, now: int) -> Decision:
        """Sends a request unless an open one covers it; a snapshot request replaces a deltas request."""
        is_covered = isinstance(self._open_request, RequestSnapshot) or isinstance(request, RequestDeltas)
        if self._open_request is not None and is_covered and now < self._retry_at:
            return Ignore(Reason.ALREADY_REQUESTED)
        return self._send_request(request, now)

    def _send_request(self, request: RequestDeltas | RequestSnapshot, now: int) -> Decision:
        max_delay_us = min(
            self._times.max_retry_us, self._times.first_retry_us << min(self._unanswered_requests, 10)
        )
        self._unanswered_requests += 1
        self._open_request = request
        self._retry_at = now + self._rng.randint(max_delay_us // 2, max_delay_us)
        return request
