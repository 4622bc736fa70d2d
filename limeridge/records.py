"""What is counted and remembered: calls below, callers, customers' shares, stages and memory.

Nothing is decided here and no tuned value stands here; whoever uses these sets their bounds.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import deque
from collections.abc import Sequence

from limeridge.interface import Stage, Txn


class TimeBucket:
    """A token bucket of time in hand, in microseconds: each call in hand drains it as time passes, and it
    fills by `rate` a microsecond up to `depth`. While it does not run dry, no interval of length x sees more
    than `depth + rate * x` in hand."""

    def __init__(self, now: int) -> None:
        self.depth, self.rate, self.level = 0.0, 0.0, 0.0
        self.updated_at = now

    def advance(self, now: int, in_flight: int) -> None:
        """Fills and drains up to `now`, so many calls having been in hand since the time before."""
        self.level = min(self.depth, self.level + (self.rate - in_flight) * (now - self.updated_at))
        self.updated_at = now

    def max_duration(self, remaining: Sequence[int]) -> float:
        """How long one more call may be in hand, from now, beside others that are for `remaining` each. Only
        where `rate` is under 1: then the level is lowest when the last of them ends."""
        spare = self.level - sum(remaining)
        longest_other = max(remaining, default=0)
        outlasting = spare / (1 - self.rate)
        return outlasting if outlasting >= longest_other else spare + self.rate * longest_other

    def max_duration_when_idle(self) -> float:
        """How long a call may be in hand that finds the bucket full and no other call."""
        return self.depth / (1 - self.rate)


class Calls:
    """Calls in hand and those of a window past. One left behind stays in hand while it may linger.

    Whatever is asked with each txn must not cost more the more calls a window sees: what came to an end and
    what still lingers are kept apart, each in the order of its end, and only the ends are looked at.
    """

    def __init__(self, window: int, linger: int, now: int = 0) -> None:
        self.window, self.linger = window, linger
        self.bucket = TimeBucket(now)
        self.pending: dict[int, tuple[int, int]] = {}  # begin and time-out
        self.finished: deque[tuple[int, int]] = deque()  # begin and end
        self.lingering: deque[tuple[int, int]] = deque()  # the same, with the end to come

    def begin(self, ref: int, now: int, time_out: int) -> None:
        """Counts a call of request `ref`, which times out at `now + time_out` microseconds."""
        self._advance(now)
        self.pending[ref] = now, now + time_out

    def end(self, ref: int, now: int, abandoned: bool) -> None:
        """Ends the call of `ref`, if there is one; `left_behind` where the records service may still work on
        it."""
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
        """Calls that may be at the records service, those left behind there among them."""
        self._advance(now)
        return self._count_in_flight()

    def completed(self, now: int) -> int:
        """How many came to their end within the window."""
        self._advance(now)
        return len(self.finished)

    def time_in_flight(self, now: int) -> int:
        """Time in hand within the window, if each call that is out runs to its time-out and lingers."""
        start = now - self.window
        pending = ((begin, end + self.linger) for begin, end in self.pending.values())
        spans = [*self.finished, *self.lingering, *pending]
        return sum(end - max(begin, start) for begin, end in spans if end > start)

    def max_time_out(self, now: int) -> float:
        """The longest time-out that the bucket can stand for one more call, if each that is out runs to its
        own and all of them linger."""
        self._advance(now)
        pending = [max(0, end - now) + self.linger for _, end in self.pending.values()]
        return self.bucket.max_duration([*pending, *(end - now for _, end in self.lingering)]) - self.linger

    def max_time_out_when_idle(self) -> float:
        """The longest time-out that a full bucket can stand."""
        return self.bucket.max_duration_when_idle() - self.linger

    def configure_bucket(self, now: int, depth: float, rate: float) -> None:
        """From now on the bucket has this depth and fills at this rate; what is in it stays, as far as it
        still fits."""
        self._advance(now)
        self.bucket.depth, self.bucket.rate = depth, rate
        self.bucket.level = min(depth, self.bucket.level)

    def _count_in_flight(self) -> int:
        return len(self.pending) + len(self.lingering)


class CallerTable:
    """When each caller was last heard and how long it mostly waits; the `most` last heard are kept."""

    def __init__(self, capacity: int, max_votes: int) -> None:
        self.capacity, self.max_votes = capacity, max_votes
        self.last_contacts: dict[int, int] = {}
        self.usual_waits: dict[
            int, dict[int, tuple[int, int]]
        ] = {}  # by product: usual patience, votes for it

    def record_contact(self, caller: int, now: int) -> float:
        """How long the caller was away; without end where it is not remembered."""
        previous = self.last_contacts.pop(caller, None)
        self.last_contacts[caller] = now
        if len(self.last_contacts) > self.capacity:
            oldest = next(iter(self.last_contacts))
            del self.last_contacts[oldest]
            self.usual_waits.pop(oldest, None)
        return math.inf if previous is None else now - previous

    def count_recent(self, now: int, span: int) -> int:
        """How many were heard within the span; where the table holds no more, by how fast it filled."""
        recent = sum(now - at <= span for at in self.last_contacts.values())
        if recent < self.capacity:
            return recent
        return recent * span // max(1, now - next(iter(self.last_contacts.values())))

    def usual_wait(self, caller: int, product: int, max_wait: int, tolerance: int) -> int:
        """The patience that most tries of this caller and product came with, by majority vote."""
        waits = self.usual_waits.setdefault(caller, {})
        usual, votes = waits.get(product, (max_wait, 0))
        votes += 1 if abs(max_wait - usual) < tolerance else -1
        waits[product] = (max_wait, 0) if votes < 0 else (usual, min(votes, self.max_votes))
        return usual


class CustomerBuckets:
    """A bucket a customer, filled evenly; what is taken beyond it is over."""

    def __init__(self) -> None:
        self.levels: dict[int, tuple[float, int]] = {}

    def take(self, customer: int, per_s: float, depth: float, now: int) -> bool:
        """Takes one from a tenant's bucket, which fills by `per_s` a second up to `depth`; False where it is
        empty."""
        level, updated_at = self.levels.get(customer, (depth, now))
        level = min(depth, level + per_s * (now - updated_at) / 1_000_000)
        self.levels[customer] = level - (level >= 1), now
        return level >= 1


class TxnRegistry:
    """Txns by stage and due time, those kept for their repeats, and the memory that they take."""

    def __init__(self, run_factor: float, kb_per_key: float) -> None:
        self.stage_counts = dict.fromkeys(Stage, 0)
        self.memory_kb = 0.0
        self.memory_factors = {
            stage: 1.0 if stage in (Stage.HELD, Stage.JOINED) else run_factor for stage in Stage
        }
        self.memory_factors[Stage.OVER] = 0.0
        self.serial = itertools.count()
        self.due_heap: list[tuple[int, int, Txn]] = []
        self.key_heap: list[tuple[int, int, Txn]] = []
        self.kb_per_key = kb_per_key

    def add(self, txn: Txn) -> None:
        """Takes up a new request, its memory and its due time."""
        self.stage_counts[txn.stage] += 1
        self.memory_kb += txn.size_kb * self.memory_factors[txn.stage]
        heapq.heappush(self.due_heap, (txn.due, next(self.serial), txn))

    def remember(self, txn: Txn, until: int) -> None:
        """Remembers a request under its key until `until`, microseconds."""
        txn.kept, txn.remembered_until = True, until
        self.memory_kb += self.kb_per_key
        heapq.heappush(self.key_heap, (until, next(self.serial), txn))

    def forget(self, txn: Txn) -> None:
        """Drops what is remembered of a request that is over."""
        self.memory_kb -= self.kb_per_key * txn.kept
        txn.kept = False

    def expire_keys(self, now: int) -> None:
        """Forgets all requests whose time of remembering is over."""
        while self.key_heap and self.key_heap[0][0] <= now:
            self.forget(heapq.heappop(self.key_heap)[2])

    def move(self, txn: Txn, stage: Stage, now: int) -> None:
        """Moves a request to another stage, with the counts, memory and core time that go with it."""
        txn.core_time = self.core_time(txn, now)
        txn.stage_since = now
        self.memory_kb += txn.size_kb * (self.memory_factors[stage] - self.memory_factors[txn.stage])
        self.stage_counts[txn.stage] -= 1
        self.stage_counts[stage] += 1
        txn.stage = stage

    def core_time(self, txn: Txn, now: int) -> int:
        """Microseconds that the request has been on a core up to `now`."""
        return txn.core_time + (now - txn.stage_since) * (txn.stage == Stage.RUNNING)

    def runs_on_cores(self) -> int:
        """How many run on a core."""
        return self.stage_counts[Stage.RUNNING]

    def active_runs(self) -> int:
        """How many runs have begun and not ended, those that wait for a call among them."""
        return (
            self.stage_counts[Stage.RUNNING]
            + self.stage_counts[Stage.PARKED]
            + self.stage_counts[Stage.CALLING]
        )
