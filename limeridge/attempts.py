"""The attempts under each idempotency key: what an instance keeps so that a keyed request runs once within
its window, and so that its repeats get the result of that run.

An attempt is known while its txn is open. If its run was started it is known until its window has passed for
every request that may still be read; otherwise nothing is kept of it. Neither the body nor the connection of
an attempt is kept, and the bytes that all attempts take are bounded. At the bound, results are dropped, the
oldest first. An attempt that was started is never dropped before its time: `has_room` says whether the key of
a new request can be kept, and one that can't be must not be taken up.
"""

from __future__ import annotations

import hashlib
import sys
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from limeridge.expiry import ExpiryHeap
from limeridge.interface import Stage, Txn

ATTEMPT_BYTES = 1_500  # memory of a kept attempt besides its key and its result
FINGERPRINT_BYTES = 16


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a keyed request. Times are microseconds."""

    txn: Txn
    key: str
    fingerprint: bytes  # of its tenant and body
    kept_until: int  # a request with its key that arrives later is a new one
    started: bool = False  # its run was started, and may have taken effect
    forgotten: bool = False  # its run is known not to have begun, or its time has passed
    result: str | None = None

    def is_known(self, arrived_at: int) -> bool:
        """Whether a request that arrived at this time repeats the attempt."""
        return self.txn.stage is not Stage.OVER or (self.started and self.kept_until > arrived_at)

    @property
    def bytes(self) -> int:
        return ATTEMPT_BYTES + sys.getsizeof(self.key)


@dataclass(slots=True)
class KeyAttempts:
    """The known attempts under one key."""

    open: dict[int, Attempt] = field(default_factory=dict)  # by the txn's ref, in the order of reading
    # The last one that was started, behind the one before it, whose place it takes if it never began.
    started: list[Attempt] = field(default_factory=list)


class AttemptTable:
    """All known attempts of an instance, by the product's number and the key."""

    def __init__(self, max_bytes: int, max_results_bytes: int, read_delay: Callable[[int], int]) -> None:
        """`read_delay` gives the longest time, by product, from a request's arrival until it is read."""
        self.max_bytes, self.max_results_bytes = max_bytes, max_results_bytes
        self.read_delay = read_delay
        self.by_key: dict[tuple[int, str], KeyAttempts] = {}
        self.open_count = 0
        self.kept_count = 0  # started, over and not forgotten
        self.kept_bytes = 0  # of open and kept attempts, without their results
        self.results: OrderedDict[Attempt, int] = OrderedDict()  # their sizes, oldest first
        self.results_bytes = 0
        self.expiry: ExpiryHeap[Attempt] = ExpiryHeap(lambda attempt: not attempt.forgotten)

    def has_room(self, key: str) -> bool:
        """Whether one more attempt, under this key, can be kept. Results give way to it."""
        return self.kept_bytes + ATTEMPT_BYTES + sys.getsizeof(key) <= self.max_bytes

    def find(self, product: int, key: str, arrived_at: int) -> list[Attempt]:
        """Returns the known attempts that a request with this key repeats: the last one that was started,
        then the last one that is open. All open ones have the same fingerprint as the last."""
        attempts = self.by_key.get((product, key))
        if attempts is None:
            return []
        started = next((each for each in reversed(attempts.started) if each.is_known(arrived_at)), None)
        latest = next(
            (each for each in reversed(attempts.open.values()) if each.txn.stage is not Stage.OVER), None
        )
        return [each for each in (started, latest) if each is not None]

    def get(self, txn: Txn, key: str) -> Attempt | None:
        """Returns the attempt of a txn, if it is known."""
        attempts = self.by_key.get((txn.product, key))
        if attempts is None:
            return None
        started = next((each for each in attempts.started if each.txn is txn), None)
        return started or attempts.open.get(txn.ref)

    def add(self, txn: Txn, key: str, fingerprint: bytes, now: int) -> Attempt:
        """Adds the attempt of a txn that was read now. Requests that arrived before are its repeats, also if
        it is kept for no longer."""
        attempt = Attempt(txn, key, fingerprint, now)
        self.by_key.setdefault((txn.product, key), KeyAttempts()).open[txn.ref] = attempt
        self.open_count += 1
        self.kept_bytes += attempt.bytes
        self._evict_results()
        return attempt

    def start(self, attempt: Attempt) -> None:
        """Marks the attempt as started: from now on it is kept until its time has passed."""
        if attempt.started:
            return
        attempts = self.by_key[attempt.txn.product, attempt.key]
        attempt.started = True
        for earlier in attempts.started[:-1]:
            self.forget(earlier)
        attempts.started.append(attempt)

    def keep_result(self, attempt: Attempt, result: str) -> None:
        """Keeps the result of a started attempt for its repeats. It is dropped when memory is needed."""
        if attempt.started and not attempt.forgotten:
            attempt.result = result
            self.results[attempt] = size = sys.getsizeof(result)
            self.results_bytes += size
            self._evict_results()

    def close(self, attempt: Attempt) -> None:
        """Handles the end of the attempt's txn: one that was not started is dropped."""
        attempts = self.by_key.get((attempt.txn.product, attempt.key))
        if attempts is None or attempts.open.pop(attempt.txn.ref, None) is None:
            return
        self.open_count -= 1
        if attempt.started and not attempt.forgotten:
            self.kept_count += 1
            self.expiry.add(self._expires_at(attempt), attempt, self.kept_count)
        else:
            self.kept_bytes -= attempt.bytes
            self._drop_if_empty(attempt)

    def forget(self, attempt: Attempt) -> None:
        """Drops an attempt whose run is known not to have begun or whose time has passed. Its key is free."""
        attempts = self.by_key.get((attempt.txn.product, attempt.key))
        if attempt.forgotten or attempts is None:
            return
        attempt.forgotten = True
        self._drop_result(attempt)
        if attempt in attempts.started:
            attempts.started.remove(attempt)
        if attempt.txn.ref not in attempts.open:
            self.kept_count -= 1
            self.kept_bytes -= attempt.bytes
            self._drop_if_empty(attempt)

    def expire(self, now: int) -> None:
        """Drops the attempts that are over and that no request read from now on can repeat. The read delay
        may have grown since they ended."""
        for attempt in list(self.expiry.take_expired(now)):
            if (expires_at := self._expires_at(attempt)) > now:
                self.expiry.add(expires_at, attempt, self.kept_count)
            else:
                self.forget(attempt)

    def _expires_at(self, attempt: Attempt) -> int:
        return attempt.kept_until + self.read_delay(attempt.txn.product)

    def _drop_if_empty(self, attempt: Attempt) -> None:
        key = attempt.txn.product, attempt.key
        attempts = self.by_key[key]
        if not attempts.open and not attempts.started:
            del self.by_key[key]

    def _drop_result(self, attempt: Attempt) -> None:
        self.results_bytes -= self.results.pop(attempt, 0)
        attempt.result = None

    def _evict_results(self) -> None:
        """Drops the oldest results while they take too much memory. Repeats of their attempts fail."""
        limit = min(self.max_results_bytes, self.max_bytes - self.kept_bytes)
        while self.results and self.results_bytes > limit:
            self._drop_result(next(iter(self.results)))

    def known(self) -> Iterator[Attempt]:
        """Returns all attempts that are open or kept."""
        for attempts in self.by_key.values():
            yield from attempts.open.values()
            yield from (each for each in attempts.started if each.txn.ref not in attempts.open)


def request_fingerprint(customer: int, doc: str) -> bytes:
    """Returns a digest of a request's tenant and body, by which a repeat is told from a request that reuses
    the key of another one."""
    return hashlib.blake2b(b"%d:%b" % (customer, doc.encode()), digest_size=FINGERPRINT_BYTES).digest()
