"""Counters and tables of the decision module: ledger calls, callers, customers' buckets, txns and memory.

No decisions are made here and no tuned values are kept here; the users of these classes pass the limits.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Sequence

from limeridge.expiry import ExpiryHeap
from limeridge.interface import Stage, Txn


class TimeBucket:
    """A token bucket of call time in microseconds. Each call in flight drains it as time passes, and it fills
    by `rate` per microsecond up to `depth`. As long as it does not run empty, the time in flight within any
    interval of length x is at most `depth + rate * x`."""

    def __init__(self, now: int) -> None:
        self.depth, self.rate, self.level = 0.0, 0.0, 0.0
        self.updated_at = now

    def advance(self, now: int, in_flight: int) -> None:
        """Fills and drains the bucket up to `now`, with `in_flight` calls since the last update."""
        self.level = min(self.depth, self.level + (self.rate - in_flight) * (now - self.updated_at))
        self.updated_at = now

    def max_duration(self, remaining: Sequence[int]) -> float:
        """Returns how long one more call may be in flight from now, beside others that have `remaining` to
        go. Valid only for a `rate` below 1: the level is then lowest when the last of the calls ends."""
        spare = self.level - sum(remaining)
        longest_other = max(remaining, default=0)
        outlasting = spare / (1 - self.rate)
        return outlasting if outlasting >= longest_other else spare + self.rate * longest_other

    def max_duration_idle(self) -> float:
        """Returns how long a single call may be in flight if it begins with a full bucket."""
        return self.depth / (1 - self.rate)


class Calls:
    """Calls in flight, and those that ended within the window. An abandoned call counts as in flight for as
    long as it may linger at the ledger.

    The cost of the queries made for each txn must not grow with the number of calls in a window, so finished
    and lingering calls are kept apart, each ordered by their end, and only the ends of the queues are read.
    """

    def __init__(self, window: int, linger: int, now: int = 0) -> None:
        self.window, self.linger = window, linger
        self.bucket = TimeBucket(now)
        self.pending: dict[int, tuple[int, int]] = {}  # ref: begin and time of the time-out
        self.finished: deque[tuple[int, int]] = deque()  # begin and end
        self.lingering: deque[tuple[int, int]] = deque()  # begin and the end, which lies in the future

    def begin(self, ref: int, now: int, time_out: int) -> None:
        """Counts a call of request `ref`, which times out at `now + time_out` microseconds."""
        self._advance(now)
        self.pending[ref] = now, now + time_out

    def end(self, ref: int, now: int, abandoned: bool) -> None:
        """Ends the call of `ref`, if there is one; `abandoned` means that the ledger may still work on it."""
        if ref in self.pending:
            self._advance(now)
            begin = self.pending.pop(ref)[0]
            (self.lingering if abandoned else self.finished).append((begin, now + self.linger * abandoned))

    def _advance(self, now: int) -> None:
        while self.lingering and self.lingering[0][1] <= now:
            self.bucket.advance(self.lingering[0][1], self._count_in_flight())
            self.finished.append(self.lingering.popleft())
        self.bucket.advance(now, self._count_in_flight())
        while self.finished and self.finished[0][1] <= now - self.window:
            self.finished.popleft()

    def in_flight(self, now: int) -> int:
        """Returns the number of calls that may be at the ledger, lingering ones included."""
        self._advance(now)
        return self._count_in_flight()

    def completed(self, now: int) -> int:
        """Returns the number of calls that ended within the window."""
        self._advance(now)
        return len(self.finished)

    def time_in_flight(self, now: int) -> int:
        """Returns the total time in flight within the window, if each pending call runs to its time-out and
        then lingers."""
        start = now - self.window
        pending = ((begin, end + self.linger) for begin, end in self.pending.values())
        spans = [*self.finished, *self.lingering, *pending]
        return sum(end - max(begin, start) for begin, end in spans if end > start)

    def max_time_out(self, now: int) -> float:
        """Returns the longest time-out that the bucket allows for one more call, if each pending call runs to
        its time-out and all of them linger."""
        self._advance(now)
        pending = [max(0, end - now) + self.linger for _, end in self.pending.values()]
        return self.bucket.max_duration([*pending, *(end - now for _, end in self.lingering)]) - self.linger

    def max_time_out_idle(self) -> float:
        """Returns the longest time-out that a full bucket allows for a single call."""
        return self.bucket.max_duration_idle() - self.linger

    def configure_bucket(self, now: int, depth: float, rate: float) -> None:
        """Sets the bucket's depth and fill rate from now on; its level is kept, up to the new depth."""
        self._advance(now)
        self.bucket.depth, self.bucket.rate = depth, rate
        self.bucket.level = min(depth, self.bucket.level)

    def _count_in_flight(self) -> int:
        return len(self.pending) + len(self.lingering)


class CallerTable:
    """The last contact and the usual maximum waits of the `capacity` callers that sent a request last."""

    def __init__(self, capacity: int, max_votes: int) -> None:
        self.capacity, self.max_votes = capacity, max_votes
        self.last_contacts: dict[int, int] = {}
        # By caller and product: the usual maximum wait and the votes for it.
        self.usual_waits: dict[int, dict[int, tuple[int, int]]] = {}

    def record_contact(self, caller: int, now: int) -> float:
        """Records a request and returns the time since the caller's last one, infinity if none is known."""
        previous = self.last_contacts.pop(caller, None)
        self.last_contacts[caller] = now
        if len(self.last_contacts) > self.capacity:
            oldest = next(iter(self.last_contacts))
            del self.last_contacts[oldest]
            self.usual_waits.pop(oldest, None)
        return math.inf if previous is None else now - previous

    def count_recent(self, now: int, span: int) -> int:
        """Returns how many callers sent a request within the span. If the table is full, the number is
        extrapolated from how fast it filled."""
        recent = sum(now - at <= span for at in self.last_contacts.values())
        if recent < self.capacity:
            return recent
        return recent * span // max(1, now - next(iter(self.last_contacts.values())))

    def usual_wait(self, caller: int, product: int, max_wait: int, tolerance: int) -> int:
        """Adds a vote for `max_wait` and returns the maximum wait that most attempts of this caller and
        product carry, by majority vote."""
        waits = self.usual_waits.setdefault(caller, {})
        usual, votes = waits.get(product, (max_wait, 0))
        votes += 1 if abs(max_wait - usual) < tolerance else -1
        waits[product] = (max_wait, 0) if votes < 0 else (usual, min(votes, self.max_votes))
        return usual


class CustomerBuckets:
    """A token bucket for each customer; requests beyond it exceed the customer's quota.

    A full bucket is as good as none, so it is dropped: at each use the two that were checked longest ago are
    checked. What is kept is bounded by the customers of the time that a bucket takes to fill, not by all that
    ever sent a request.
    """

    CHECKS_PER_USE = 2
    FULL_MARGIN_US = 1_000  # after which a bucket is full whatever the rounding

    def __init__(self) -> None:
        # By customer: level, the time that it is of, and the time from which it is full.
        self.levels: OrderedDict[int, tuple[float, int, float]] = OrderedDict()

    def take(self, customer: int, per_s: float, depth: float, now: int) -> bool:
        """Takes one token from a customer's bucket, which fills by `per_s` a second up to `depth`. Returns
        False if it holds less than one."""
        level, updated_at, _ = self.levels.pop(customer, (depth, now, 0.0))
        level = min(depth, level + per_s * (now - updated_at) / 1_000_000)
        taken = level >= 1
        level -= taken
        full_at = now + (depth - level) / per_s * 1_000_000 + self.FULL_MARGIN_US
        self.levels[customer] = level, now, full_at
        for _ in range(self.CHECKS_PER_USE):
            self._drop_if_full(now)
        return taken

    def _drop_if_full(self, now: int) -> None:
        if self.levels:
            customer, bucket = self.levels.popitem(last=False)
            if bucket[2] > now:
                self.levels[customer] = bucket


class TxnRegistry:
    """Txns by stage and due time, those remembered for their repeats, and the memory that they take."""

    def __init__(self, run_factor: float, kb_per_key: float) -> None:
        self.stage_counts = dict.fromkeys(Stage, 0)
        self.memory_kb = 0.0
        self.memory_factors = {
            stage: 1.0 if stage in (Stage.HELD, Stage.JOINED) else run_factor for stage in Stage
        }
        self.memory_factors[Stage.OVER] = 0.0
        self.due_times: ExpiryHeap[Txn] = ExpiryHeap(lambda txn: not txn.answered)
        self.key_expiry: ExpiryHeap[Txn] = ExpiryHeap(lambda txn: txn.kept)
        self.key_count = 0
        self.kb_per_key = kb_per_key

    def add(self, txn: Txn) -> None:
        """Adds a new request with its memory and its due time."""
        self.stage_counts[txn.stage] += 1
        self.memory_kb += txn.size_kb * self.memory_factors[txn.stage]
        self.due_times.add(txn.due, txn, self.open_txns())

    def remember(self, txn: Txn, until: int) -> None:
        """Remembers a request under its key until `until`, microseconds."""
        txn.kept, txn.remembered_until = True, until
        self.key_count += 1
        self.memory_kb += self.kb_per_key
        self.key_expiry.add(until, txn, self.key_count)

    def forget(self, txn: Txn) -> None:
        """Forgets the key of a request, if it is remembered."""
        if txn.kept:
            self.key_count -= 1
            self.memory_kb -= self.kb_per_key
            txn.kept = False

    def expire_keys(self, now: int) -> None:
        """Forgets all keys that are remembered until `now` or less."""
        for txn in self.key_expiry.take_expired(now):
            self.forget(txn)

    def move(self, txn: Txn, stage: Stage, now: int) -> None:
        """Moves a request to another stage and updates counts, memory and core time."""
        txn.core_time = self.core_time(txn, now)
        txn.stage_since = now
        self.memory_kb += txn.size_kb * (self.memory_factors[stage] - self.memory_factors[txn.stage])
        self.stage_counts[txn.stage] -= 1
        self.stage_counts[stage] += 1
        txn.stage = stage

    def core_time(self, txn: Txn, now: int) -> int:
        """Returns how many microseconds the request has been on a core up to `now`."""
        return txn.core_time + (now - txn.stage_since) * (txn.stage == Stage.RUNNING)

    def runs_on_cores(self) -> int:
        """Returns the number of runs on a core."""
        return self.stage_counts[Stage.RUNNING]

    def open_txns(self) -> int:
        """Returns the number of requests that are held, run or wait for another one."""
        return sum(self.stage_counts.values()) - self.stage_counts[Stage.OVER]

    def active_runs(self) -> int:
        """Returns the number of runs that have begun and not ended, those waiting for a call included."""
        return (
            self.stage_counts[Stage.RUNNING]
            + self.stage_counts[Stage.PARKED]
            + self.stage_counts[Stage.CALLING]
        )
