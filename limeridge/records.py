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
        self.at = now

    def pass_time(self, now: int, in_hand: int) -> None:
        """Fills and drains up to `now`, so many calls having been in hand since the time before."""
        self.level = min(self.depth, self.level + (self.rate - in_hand) * (now - self.at))
        self.at = now

    def longest(self, remaining: Sequence[int]) -> float:
        """How long one more call may be in hand, from now, beside others that are for `remaining` each. Only
        where `rate` is under 1: then the level is lowest when the last of them ends."""
        spare = self.level - sum(remaining)
        others = max(remaining, default=0)
        outlasting = spare / (1 - self.rate)
        return outlasting if outlasting >= others else spare + self.rate * others

    def longest_ever(self) -> float:
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
        self.out: dict[int, tuple[int, int]] = {}  # begin and time-out
        self.over: deque[tuple[int, int]] = deque()  # begin and end
        self.lingering: deque[tuple[int, int]] = deque()  # the same, with the end to come

    def begin(self, ref: int, now: int, time_out: int) -> None:
        """Counts a call of request `ref`, which times out at `now + time_out` microseconds."""
        self._pass(now)
        self.out[ref] = now, now + time_out

    def end(self, ref: int, now: int, left_behind: bool) -> None:
        """Ends the call of `ref`, if there is one; `left_behind` where the records service may still work on
        it."""
        if ref in self.out:
            self._pass(now)
            begin = self.out.pop(ref)[0]
            (self.lingering if left_behind else self.over).append((begin, now + self.linger * left_behind))

    def _pass(self, now: int) -> None:
        while self.lingering and self.lingering[0][1] <= now:
            self.bucket.pass_time(self.lingering[0][1], self._count())
            self.over.append(self.lingering.popleft())
        self.bucket.pass_time(now, self._count())
        while self.over and self.over[0][1] <= now - self.window:
            self.over.popleft()

    def in_hand(self, now: int) -> int:
        """Calls that may be at the records service, those left behind there among them."""
        self._pass(now)
        return self._count()

    def through(self, now: int) -> int:
        """How many came to their end within the window."""
        self._pass(now)
        return len(self.over)

    def time_taken(self, now: int) -> int:
        """Time in hand within the window, if each call that is out runs to its time-out and lingers."""
        start = now - self.window
        out = ((begin, end + self.linger) for begin, end in self.out.values())
        spans = [*self.over, *self.lingering, *out]
        return sum(end - max(begin, start) for begin, end in spans if end > start)

    def longest(self, now: int) -> float:
        """The longest time-out that the bucket can stand for one more call, if each that is out runs to its
        own and all of them linger."""
        self._pass(now)
        out = [max(0, end - now) + self.linger for _, end in self.out.values()]
        return self.bucket.longest([*out, *(end - now for _, end in self.lingering)]) - self.linger

    def longest_ever(self) -> float:
        """The longest time-out that a full bucket can stand."""
        return self.bucket.longest_ever() - self.linger

    def refill(self, now: int, depth: float, rate: float) -> None:
        """From now on the bucket has this depth and fills at this rate; what is in it stays, as far as it
        still fits."""
        self._pass(now)
        self.bucket.depth, self.bucket.rate = depth, rate
        self.bucket.level = min(depth, self.bucket.level)

    def _count(self) -> int:
        return len(self.out) + len(self.lingering)


class Callers:
    """When each caller was last heard and how long it mostly waits; the `most` last heard are kept."""

    def __init__(self, most: int, votes: int) -> None:
        self.most, self.votes = most, votes
        self.heard: dict[int, int] = {}
        self.waits: dict[int, dict[int, tuple[int, int]]] = {}  # by product: usual patience, votes for it

    def absence(self, caller: int, now: int) -> float:
        """How long the caller was away; without end where it is not remembered."""
        before = self.heard.pop(caller, None)
        self.heard[caller] = now
        if len(self.heard) > self.most:
            oldest = next(iter(self.heard))
            del self.heard[oldest]
            self.waits.pop(oldest, None)
        return math.inf if before is None else now - before

    def lately(self, now: int, span: int) -> int:
        """How many were heard within the span; where the table holds no more, by how fast it filled."""
        known = sum(now - at <= span for at in self.heard.values())
        if known < self.most:
            return known
        return known * span // max(1, now - next(iter(self.heard.values())))

    def usual(self, caller: int, product: int, patience: int, alike: int) -> int:
        """The patience that most tries of this caller and product came with, by majority vote."""
        waits = self.waits.setdefault(caller, {})
        usual, votes = waits.get(product, (patience, 0))
        votes += 1 if abs(patience - usual) < alike else -1
        waits[product] = (patience, 0) if votes < 0 else (usual, min(votes, self.votes))
        return usual


class Buckets:
    """A bucket a customer, filled evenly; what is taken beyond it is over."""

    def __init__(self) -> None:
        self.levels: dict[int, tuple[float, int]] = {}

    def take(self, customer: int, per_s: float, depth: float, now: int) -> bool:
        """Takes one from a tenant's bucket, which fills by `per_s` a second up to `depth`; False where it is
        empty."""
        level, since = self.levels.get(customer, (depth, now))
        level = min(depth, level + per_s * (now - since) / 1_000_000)
        self.levels[customer] = level - (level >= 1), now
        return level >= 1


class Books:
    """Txns by stage and due time, those kept for their repeats, and the memory that they take."""

    def __init__(self, run_factor: float, kb_per_key: float) -> None:
        self.counts = dict.fromkeys(Stage, 0)
        self.memory = 0.0
        self.weights = {stage: 1.0 if stage in (Stage.HELD, Stage.JOINED) else run_factor for stage in Stage}
        self.weights[Stage.OVER] = 0.0
        self.serial = itertools.count()
        self.dues: list[tuple[int, int, Txn]] = []
        self.keys: list[tuple[int, int, Txn]] = []
        self.kb_per_key = kb_per_key

    def enter(self, txn: Txn) -> None:
        """Takes up a new request, its memory and its due time."""
        self.counts[txn.stage] += 1
        self.memory += txn.size_kb * self.weights[txn.stage]
        heapq.heappush(self.dues, (txn.due, next(self.serial), txn))

    def keep(self, txn: Txn, until: int) -> None:
        """Remembers a request under its key until `until`, microseconds."""
        txn.kept, txn.remembered_until = True, until
        self.memory += self.kb_per_key
        heapq.heappush(self.keys, (until, next(self.serial), txn))

    def forget(self, txn: Txn) -> None:
        """Drops what is remembered of a request that is over."""
        self.memory -= self.kb_per_key * txn.kept
        txn.kept = False

    def expire(self, now: int) -> None:
        """Forgets all requests whose time of remembering is over."""
        while self.keys and self.keys[0][0] <= now:
            self.forget(heapq.heappop(self.keys)[2])

    def move(self, txn: Txn, stage: Stage, now: int) -> None:
        """Moves a request to another stage, with the counts, memory and core time that go with it."""
        txn.core_time = self.core_time(txn, now)
        txn.since = now
        self.memory += txn.size_kb * (self.weights[stage] - self.weights[txn.stage])
        self.counts[txn.stage] -= 1
        self.counts[stage] += 1
        txn.stage = stage

    def core_time(self, txn: Txn, now: int) -> int:
        """Microseconds that the request has been on a core up to `now`."""
        return txn.core_time + (now - txn.since) * (txn.stage == Stage.RUNNING)

    def on_cores(self) -> int:
        """How many run on a core."""
        return self.counts[Stage.RUNNING]

    def in_runs(self) -> int:
        """How many runs have begun and not ended, those that wait for a call among them."""
        return self.counts[Stage.RUNNING] + self.counts[Stage.PARKED] + self.counts[Stage.CALLING]
