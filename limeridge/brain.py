"""The decision module: which requests one instance accepts, runs, declines or fails.

The types it shares with its hosts are in limeridge/interface.py. A host creates one Brain for each instance
from a flat map of settings (docs/design.md lists the names), a seed and the current time, and does not share
it. Inputs (`on_txn_arrived`, `on_run_ended`, `on_call_needed`, `on_call_ended`, `on_caller_gone`,
`start_drain`, `on_wake`, `update_settings`) only update state. After each batch of inputs the host calls
`decide()` until it returns None and carries out the decisions in that order. Times are whole microseconds.

The normal path is the ladder and the hold rule of docs/design.md; the rest enforces the four rules there.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from limeridge.expiry import MIN_COMPACTED_SIZE
from limeridge.histogram import Histogram
from limeridge.interface import ClassTerms, Decision, Outcome, Stage, Txn, Verb
from limeridge.records import CallerTable, Calls, CustomerBuckets, TxnRegistry

COST_WINDOW = 20  # most recent runs of an approach, the slowest of which is its cost
TIME_LIMIT_SHARE = 0.8  # time_limit, as a share of the SLA time
REACTIVATION_SHARE = 0.5  # reactivation_threshold, as a share of time_limit
MAX_APPROACHES = 4
HOLD_TARGET = 0.2  # acceptable wait in the hold, as a share of the SLA time
HOLD_INTERVAL = 0.05  # time by which the target may be exceeded, as a share of the SLA time
RUN_TIME_QUANTILE = 0.75  # run time that a held txn must still have left; the median while a core is free
RETRY_WEIGHT = 0.7  # of a retry, relative to a first attempt
MIN_BUCKET_DEPTH = 4.0  # txns; a customer's bucket must be able to hold at least one whole txn
TICK_US = 50_000  # maximum delay of the single pending wake-up
PUBLISH_INTERVAL_US = 250_000  # minimum time between regular updates of the published value
FULL_BUSY_SHARE = 0.93  # busy share from which the cores count as nearly saturated
MAX_RUNNABLE_PER_CORE = 1.3  # runnable tasks per core above which the running cap shrinks
CONCURRENCY_SHARE = 0.8  # usable share of the concurrency that the server survives
MEMORY_SHARE = 0.92  # usable share of the memory
MIN_CALL_BOUND_SHARE = 0.4  # of the instance's call share; a lower bound does not speed up the ledger
MAX_CALL_BOUND_SHARE = 0.9  # of the instance's call share
ALLOWED_TXNS_PER_CORE = 2.5  # concurrent txns allowed to all callers at an advertised capacity of 1
MIN_SKIPPABLE_CALL_TIME = 0.15  # share of the SLA time below which skipping a call saves too little
CALL_HISTORY_US = 2_000_000  # observations of calls older than this are ignored
MAX_CALL_WAIT = 0.4  # of the SLA time; call waiters beyond the calls completed in it would wait in vain
SLOW_CALL_FACTOR = 4  # calls slower than this multiple of the best median seen count as slow
CALL_BOUND_STEP = 0.05  # of the minimum bound, added to the bound by a fast call
CALL_BOUND_DECREASE = 0.85  # factor applied to the bound after a slow or failed call
MIN_CALL_BOUND_LINGERS = 2.5  # linger times per window: minimum bound for a share below one call
MIN_TIMEOUT_FACTOR = 2  # minimum time-out of a call, as a multiple of the 90th percentile of call times
LOST_CALL_FACTOR = 3  # multiple of the 90th percentile after which an unanswered call counts as lost
MAX_NEEDED_SHARE = 0.9  # of the longest call that a share below one allows; none waits for more
LONGEST_CALL_SHARE = 0.25  # of a window's share below one: time that a single call may take, besides linger
CALL_TRANSIT_MARGIN = 0.02  # of the share, for calls that reach and leave the ledger late
STOP_MARGIN_US = 200_000  # time before the process is killed by which everything must be answered
RETRY_AFTER_RANGE = (0.1, 0.7)  # of the maximum retry-after time
MIN_ADVERTISED_CAPACITY = 0.1  # a crashed server publishes nothing and must not look better for it
STUCK_UNREAD_TIME = 0.6  # of the SLA time; unread time from which the read backlog counts as not draining
ALL_FULL_RETRY_SHARE = 0.08  # share of retries above which the other instances count as full, too
ALL_FULL_CAPACITY = 0.25  # advertised capacity below which callers are asked not to try elsewhere
EQUAL_WAIT_US = 20_000  # maximum waits that differ by less count as equal
MAX_WAIT_VOTES = 20  # limit of votes for a caller's usual maximum wait, so that a new value can win
RECONNECT_COST_US = 5_000_000  # an unused connection kept open this long costs as much as a reconnect
IDLE_LIMITS_US = (250_000, 1_000_000, 4_000_000, 15_000_000)
RECONNECT_RUNNABLE_PER_CORE = 10  # runnable tasks beyond runs, per core, that show too many new connections
MAX_CALLERS = 512  # callers remembered
ATTEMPT_COUNT_DECAY = 0.99  # factor applied to the counts of attempts at each further one
MAX_REQUEST_COUNT = 256  # requests of a class after which its counts are halved
DEFAULT_HEED_TIME_US = 1_000_000  # how long a caller follows a published value if the settings do not say
MEDIAN, HIGH_QUANTILE = 0.5, 0.9
TIME_EDGES = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.55, 0.8, 1.2, 2.0, 4.0)  # of the SLA time
INQUIRY, REFERENCED, ONCE_ONLY = "inquiry-like", "referenced", "once-only"
Quotas = Callable[[int], float | None]  # customer -> txns per second of the whole fleet; None or 0: no quota
NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class Approach:
    """One rung of the ladder: a run that skips as many optional calls as there are rungs above it."""

    def __init__(self) -> None:
        self.active = True
        self.costs: deque[int] = deque(maxlen=COST_WINDOW)

    @property
    def cost(self) -> int:
        return max(self.costs, default=0)


def product_kind(settings: Mapping[str, Any], number: int) -> str:
    """Returns the kind of a product; an unspecified one must not run twice, which is the safest reading."""
    return str(settings.get(f"products.{number}.kind", ONCE_ONLY))


def product_terms(settings: Mapping[str, Any], number: int) -> ClassTerms:
    """Returns the settings of a product, with the safest value for each absent one."""

    def setting(name: str, default: Any) -> Any:
        return settings.get(f"products.{number}.{name}", default)

    def list_setting(name: str, default: Any) -> Any:
        values = settings.get(name) or ()
        return values[number] if number < len(values) else default

    sla_time: int = setting("sla_time", 0) or setting("expiry", 0) or 1_000_000
    preemptible = settings.get("instance.preemption", "none") in ("discard", "freeze")
    return ClassTerms(
        sla_time=sla_time,
        expiry=setting("expiry", 0) or sla_time,
        time_limit=int(TIME_LIMIT_SHARE * sla_time),
        target=int(HOLD_TARGET * sla_time),
        interval=int(HOLD_INTERVAL * sla_time),
        window=setting("window", 0),
        value=setting("value", 1.0),
        late_value=setting("late_value", 0.0),
        skip_value=list_setting("instance.skip_values", 0.0),
        may_call=list_setting("instance.product_calls", True),
        can_halt=preemptible and product_kind(settings, number) == INQUIRY,
    )


class Product:
    """State of one product: its current terms, the statistics collected so far, and its queues in the hold.

    Time statistics are shares of the SLA time and are rescaled when the SLA time changes.
    """

    def __init__(self, kind: str, terms: ClassTerms, number: int) -> None:
        self.number, self.kind, self.terms = number, kind, terms
        self.ladder = [Approach()]
        if terms.skip_value > 0:
            self.ladder.append(Approach())
        self.run_times, self.core_times, self.work_ratios, self.answer_times, self.call_times = (
            Histogram(TIME_EDGES, keep) for keep in (32, 32, 32, 32, 16)
        )
        self.last_call_at, self.best_call_time, self.last_answered_call_start = 0, float("inf"), -1
        # First attempts, retries, and txns over their customer's share.
        self.queues: tuple[deque[Txn], ...] = (deque(), deque(), deque())
        self.request_count, self.settled_count = 0.0, 0.0

    def update_terms(self, terms: ClassTerms) -> None:
        """Replaces the terms and keeps the statistics."""
        if terms.sla_time != self.terms.sla_time:
            for histogram in (self.run_times, self.core_times, self.answer_times, self.call_times):
                histogram.rescale(self.terms.sla_time / terms.sla_time)
        if terms.skip_value > 0 and len(self.ladder) == 1:
            self.ladder.append(Approach())
        self.terms = terms

    def select_approach(self, strained: bool, now: int) -> int:
        # Skipping a call saves only the time of the call: if recent calls are fast, slow cores are no reason.
        if (
            not strained
            or now - self.last_call_at > CALL_HISTORY_US
            or self.call_times.quantile(0.75) < MIN_SKIPPABLE_CALL_TIME
        ):
            return 0
        return next(i for i, approach in enumerate(self.ladder) if approach.active)

    def enqueue(self, txn: Txn, held_count: int) -> None:
        """Adds a held txn to its queue. `held_count` is the number of txns held in all queues. One that is no
        longer held stays in its queue until it is at the front; these are removed at once where there may be
        more of them than of others, or callers could fill the memory with txns that they take back."""
        queue = self.queues[2 if txn.over_share else txn.resent]
        queue.append(txn)
        if len(queue) > max(MIN_COMPACTED_SIZE, 2 * held_count):
            held = [each for each in queue if each.stage == Stage.HELD]
            queue.clear()
            queue.extend(held)

    def typical_core_seconds(self) -> float:
        return max(0.02, self.core_times.quantile(MEDIAN)) * self.terms.sla_time / 1e6

    def settled_share(self) -> float:
        return (self.settled_count + 1) / (self.request_count + 1)

    def record_run(self, txn: Txn, elapsed: int) -> None:
        """Applies the paper's rule for switching approaches after a run."""
        approach = self.ladder[txn.approach]
        approach.costs.append(elapsed)
        if approach.cost > self.terms.time_limit:
            approach.active = approach.active and txn.approach == len(self.ladder) - 1
        elif approach.cost < REACTIVATION_SHARE * self.terms.time_limit:
            for costlier in [a for a in self.ladder[: txn.approach] if not a.active][-1:]:
                costlier.active = True
                costlier.costs.clear()


class Brain:
    """Makes the decisions of one instance."""

    def __init__(
        self, settings: Mapping[str, Any], seed: int, now: int, quotas: Quotas | None = None
    ) -> None:
        self.settings, self.now, self.booted_at, self.started_at = settings, now, now, now
        self.quotas = quotas or self._quota_in_settings
        self.cold: bool = settings.get("instance.cold", True)
        self.rng = random.Random(seed)
        self.products = [
            Product(product_kind(settings, i), product_terms(settings, i), i)
            for i in range(settings.get("products.count", 0))
        ]
        self.cores: int = settings.get("instance.cores", 1)
        self.run_cap, self.run_cap_reached = float(self.cores), False
        self.registry = TxnRegistry(
            settings.get("instance.run_factor", 1.0), settings.get("instance.kb_per_key", 0.0)
        )
        self.call_waiters, self.unresolved_repeats, self.past_grace = deque[Txn](), deque[Txn](), deque[Txn]()
        self.unused_keys = deque[Txn]()  # remembered, but ended without a run
        self.calls = Calls(
            settings.get("instance.calls_over", 5_000_000), settings.get("instance.linger", 200_000), now
        )
        self.customer_buckets = CustomerBuckets()
        self.callers, self.reconnect_surge_until = CallerTable(MAX_CALLERS, MAX_WAIT_VOTES), now
        self.caller_gaps, self.idle_limit = Histogram(IDLE_LIMITS_US, 64), settings.get("instance.idle", 0)
        self.busy, self.runnable, self.gauges_updated, self.backlog_stuck = 0.0, 0.0, False, False
        self.wake_at: int | None = None
        self.drain_at: int | None = None
        self.stop_at: int | None = None
        self.advertised_capacity = self._speed_factor() if settings.get("instance.cold") else 1.0
        self.publish_at, self.overload_declines, self.read_count, self.unread_time, self.late_reads = (
            now,
            0,
            0,
            0.0,
            0,
        )
        (
            self.healthy,
            self.published_level,
            self.recent_attempts,
            self.recent_retries,
            self.new_caller_seen,
        ) = False, -1.0, 0.0, 0.0, False
        share = float(settings.get("instance.calls_out", 0.5))
        self.max_call_bound, self.min_call_bound = self._call_bound_range(share)
        self.calls.configure_bucket(now, *self._call_bucket(share))
        self._charge_predecessor()
        self.call_bound, self.call_bound_reached, self.call_share_assigned = self.min_call_bound, False, False
        # What skipping would cost a call that recently waited in vain for room, and when it did.
        self.waiting_call_loss, self.waiting_call_at = 0.0, now - CALL_HISTORY_US
        self.pending_decisions: Iterator[Decision] | None = None

    def _call_bound_range(self, share: float) -> tuple[float, float]:
        """Returns the maximum and the minimum of the bound on calls. A bound too low for any call would never
        be raised, as only calls raise it."""
        maximum, lingers = (
            MAX_CALL_BOUND_SHARE * share,
            MIN_CALL_BOUND_LINGERS * self.calls.linger / self.calls.window,
        )
        return maximum, min(maximum, max(MIN_CALL_BOUND_SHARE * share, 1.0 if maximum >= 1 else lingers))

    def _call_bucket(self, share: float) -> tuple[float, float]:
        """Returns depth, in microseconds, and fill rate of the time bucket for a share below one call. Over a
        whole window the two add up to the share. They depend on the settings alone, because after a
        restart the next process relies on this one having had the same bucket."""
        window, linger = self.calls.window, self.calls.linger
        budget = (1 - CALL_TRANSIT_MARGIN) * share * window
        depth = (1 - MAX_CALL_BOUND_SHARE) * budget
        longest = linger + max(TICK_US, LONGEST_CALL_SHARE * budget)
        if longest < min(budget, window):
            # The minimum depth that permits one call of this length while the bucket refills.
            depth = max(depth, longest * (window - budget) / (window - longest))
        return depth, (budget - depth) / window

    def _charge_predecessor(self) -> None:
        """Charges this process for the calls of its predecessor: a restart grants no second share. The
        predecessor may have used all that its bucket allowed in its last moments, and every process has the
        same bucket. At any moment of its first window this one may therefore use only what such a bucket has
        gained since the predecessor's last call stopped lingering."""
        bucket = self.calls.bucket
        filled = bucket.rate * (self.now - self.started_at - self.calls.linger)
        bucket.level = min(bucket.level, filled) if self.cold else bucket.depth

    # ---- inputs: these only update state

    def set_call_share(self, now: int, calls: int) -> None:
        """Changes the instance's share of calls to a number of concurrent calls. No margin is subtracted,
        because whoever assigns whole calls has already counted them."""
        self.now, self.call_share_assigned = now, True
        self._set_call_bound_range(float(calls), max(min(1.0, calls), MIN_CALL_BOUND_SHARE * calls))

    def _set_call_bound_range(self, maximum: float, minimum: float) -> None:
        self.max_call_bound, self.min_call_bound = maximum, minimum
        self.call_bound = min(max(self.call_bound, minimum), maximum)

    def update_settings(self, now: int, settings: Mapping[str, Any], quotas: Quotas | None = None) -> None:
        """Applies the settings of another revision, which has the same classes by number. Requests that have
        arrived keep the terms that they arrived under, and statistics are kept."""
        terms = [product_terms(settings, product.number) for product in self.products]
        old, self.settings = self.settings, settings
        self.quotas = quotas or self._quota_in_settings
        if settings == old:
            return
        self.now = now
        for product, new_terms in zip(self.products, terms, strict=True):
            product.update_terms(new_terms)
        share, idle = settings.get("instance.calls_out", 0.5), settings.get("instance.idle", 0)
        if share != old.get("instance.calls_out", 0.5) and not self.call_share_assigned:
            self._set_call_bound_range(*self._call_bound_range(float(share)))
            self.calls.configure_bucket(now, *self._call_bucket(float(share)))
        if idle != old.get("instance.idle", 0):
            self.idle_limit = idle

    def on_boot(self, now: int, cold: bool, booted_at: int) -> None:
        """Records that the machine booted at `booted_at`; after a cold boot its speed grows from then on.
        Requests read before are not affected."""
        self.now, self.booted_at = now, booted_at
        if cold != self.cold:
            self.cold = cold
            self._charge_predecessor()
        self.advertised_capacity = min(self.advertised_capacity, self._speed_factor()) if cold else 1.0
        self.publish_at = now

    def on_txn_arrived(
        self,
        now: int,
        ref: int,
        product: int,
        customer: int = 0,
        caller: int = 0,
        max_wait: int = 0,
        age: int = 0,
        size_kb: float = 0.0,
        resent: bool = False,
        prior: Txn | None = None,
        repeat: bool = False,
        effort: int = 0,
    ) -> Txn:
        """Takes up a request that was read now and reached the machine `age` ago. Its caller waits for
        `max_wait` from now; 0 means that this is not known. A repeat without a `prior` is one of a request
        that is no longer known, and may have run."""
        self.now = now
        state = self.products[product]
        terms, arrived = state.terms, now - age
        # Where each request should carry its maximum wait and this one does not, no time is left.
        wait_known = max_wait > 0 or self.settings.get("instance.passes_expiry")
        # No client waits longer than its class's expiry: a longer wait is an error of its caller, which must
        # not decide for how long a txn is kept.
        latest_due = max(now, arrived + terms.expiry)
        due = min(now + max_wait, latest_due) if wait_known else latest_due
        txn = Txn(
            ref,
            product,
            customer,
            caller,
            size_kb,
            arrived,
            now,
            due,
            arrived + terms.sla_time,
            terms,
            resent,
            prior,
            repeat,
            effort,
        )
        self._backdate_retry(txn, due - arrived)
        if (
            terms.can_halt and not terms.late_value
        ):  # do not let runs go on for an answer that is worth nothing
            txn.due = min(txn.due, max(now, txn.sla_due))
        txn.remembered_until = arrived + terms.window
        txn.over_share = self._exceeds_quota(txn)
        self.registry.add(txn)
        state.request_count, self.read_count = state.request_count + 1, self.read_count + 1
        self.caller_gaps.add(gap := self.callers.record_contact(caller, now))
        self.new_caller_seen = self.new_caller_seen or gap == float("inf")
        self.recent_attempts, self.recent_retries = (
            self.recent_attempts * ATTEMPT_COUNT_DECAY + 1,
            self.recent_retries * ATTEMPT_COUNT_DECAY + resent,
        )
        self.unread_time = age / terms.sla_time
        self.late_reads = (
            self.late_reads + 1
            if self.unread_time > (HOLD_TARGET if self.backlog_stuck else STUCK_UNREAD_TIME)
            else 0
        )
        if state.request_count > MAX_REQUEST_COUNT:
            state.request_count, state.settled_count = state.request_count / 2, state.settled_count / 2
        if self.drain_at is not None and arrived > self.drain_at + self.settings.get("rules.drain_grace", 0):
            self.past_grace.append(txn)
        elif state.kind == REFERENCED:
            self.unresolved_repeats.append(txn)
        else:
            state.enqueue(txn, self.registry.stage_counts[Stage.HELD])
        return txn

    def on_run_ended(self, now: int, txn: Txn, outcome: Outcome, spent: int) -> None:
        self.now = now
        if txn.stage == Stage.OVER:
            return
        product = self.products[txn.product]
        if outcome != Outcome.NOT_STARTED and txn.stage not in (Stage.JOINED, Stage.HELD):
            elapsed = now - txn.started_at
            product.record_run(txn, elapsed)
            # An interrupted run would have taken even longer, so its time counts as a lower bound.
            if outcome in (Outcome.OK, Outcome.CANCELLED):
                product.run_times.add(elapsed / product.terms.sla_time)
                if txn.effort:
                    product.work_ratios.add(elapsed / txn.effort)
                product.core_times.add(self.registry.core_time(txn, now) / product.terms.sla_time)
                product.answer_times.add((now - txn.arrived_at) / product.terms.sla_time)
        if outcome == Outcome.OK:
            txn.settled = True
            product.settled_count += not txn.answered and now <= txn.sla_due
        if outcome == Outcome.NOT_STARTED and txn.kept:
            self.unused_keys.append(txn)
        self._finish(txn)

    def on_call_needed(self, now: int, txn: Txn) -> None:
        self.now = now
        if txn.stage == Stage.RUNNING:
            self._park(txn)

    def on_call_ended(self, now: int, txn: Txn, outcome: Outcome, spent: int) -> None:
        self.now = now
        if txn.stage != Stage.CALLING:
            return
        product = self.products[txn.product]
        self.calls.end(txn.ref, now, abandoned=outcome in (Outcome.TIMEOUT, Outcome.RESET))
        # A call whose connection broke, or that calls begun later have overtaken, shows a fault on the way to
        # the ledger and not its load: a slow ledger would delay the later calls as well. With a share below
        # one call, a time-out is only this module's own limit and shows no loss.
        lost = outcome == Outcome.RESET or (
            outcome == Outcome.TIMEOUT
            and self.max_call_bound >= 1
            and product.last_answered_call_start > now - spent
        )
        product.last_answered_call_start = max(
            product.last_answered_call_start, (now - spent) * (outcome == Outcome.OK)
        )
        if not lost:
            product.call_times.add(spent / product.terms.sla_time)
        product.best_call_time = min(
            product.best_call_time, product.call_times.quantile(MEDIAN) * product.terms.sla_time
        )
        # The bound grows only while it limits calls: an unused higher bound would admit a burst before the
        # ledger's slowness shows. Calls count as slow relative to the ledger's best time, because even a call
        # that takes as long as the hold target can be normal.
        if not lost and (
            outcome != Outcome.OK or spent > max(txn.terms.target, SLOW_CALL_FACTOR * product.best_call_time)
        ):
            self.call_bound = max(self.min_call_bound, self.call_bound * CALL_BOUND_DECREASE)
        elif self.call_bound_reached and outcome == Outcome.OK:
            self.call_bound = min(
                self.max_call_bound, self.call_bound + CALL_BOUND_STEP * max(1.0, self.min_call_bound)
            )
            self.call_bound_reached = False
        if outcome == Outcome.OK:
            self.registry.move(txn, Stage.RUNNING, self.now)
        else:
            txn.call_failure = Outcome.RESET if lost else outcome
            # Rule 2: a call that may have taken effect is repeated only for inquiry-like txns.
            txn.may_retry_call = product.kind == INQUIRY or outcome in NOT_EXECUTED
            self._park(txn)

    def on_caller_gone(self, now: int, txn: Txn) -> None:
        self.now = now
        txn.answered = True
        if txn.stage in (Stage.HELD, Stage.JOINED):
            if txn.kept:
                self.unused_keys.append(txn)
            self._finish(txn)

    def start_drain(self, now: int, budget: int, ago: int = 0) -> None:
        """Starts the drain that was requested `ago` earlier; the process is killed `budget` after that
        request."""
        self.now = self.publish_at = now
        self.drain_at = now - ago if self.drain_at is None else self.drain_at
        self.stop_at = now - ago + budget

    def on_wake(self, now: int, ref: int, gauges: Mapping[str, float]) -> None:
        self.now, self.wake_at, self.gauges_updated = now, None, True
        self.busy, self.runnable = gauges.get("busy", self.busy), gauges.get("runnable", self.runnable)

    # ---- decisions

    def decide(self) -> Decision | None:
        """Returns the next decision, or None when there is none until the next input."""
        # Cleared first, so that a generator that raised is not asked again.
        decisions, self.pending_decisions = self.pending_decisions or self._decisions(), None
        if (decision := next(decisions, None)) is not None:
            self.pending_decisions = decisions
        return decision

    def _decisions(self) -> Iterator[Decision]:
        now = self.now
        if self.healthy == (self.drain_at is not None or self.backlog_stuck):
            self.healthy = not self.healthy
            yield Decision(Verb.FITNESS, flag=self.healthy)
        self.registry.expire_keys(now)
        while self.unused_keys:
            yield from self._forget_key(self.unused_keys.popleft())
        yield from self._answer_due_txns()
        while self.past_grace:
            yield from self._give_up(self.past_grace.popleft())
        yield from self._join_repeats()
        yield from self._shed_held_txns()
        if self.gauges_updated:
            self.gauges_updated = False
            self._adjust_run_cap()
        yield from self._serve_call_waiters()
        yield from self._run_held()
        if now >= self.publish_at:
            yield from self._update_published_value()
        elif self.new_caller_seen and self._speed_factor() < 1:
            yield from self._publish_level()
        wake_needed = (
            self.registry.due_times
            or self.backlog_stuck
            or self.advertised_capacity < 1
            or self.drain_at is not None
        )
        if wake_needed and self.wake_at is None:
            self.wake_at = now + TICK_US
            yield Decision(Verb.WAKE, us=self.wake_at)

    def _answer_due_txns(self) -> Iterator[Decision]:
        """Rule 1, and rule 3 before the stop: txns that are due are answered, even while they run. The next
        check may be TICK_US away, so those that become due by then are included."""
        horizon = self.now + TICK_US + self.settings.get("round", 0)
        stopping = self.stop_at is not None and horizon >= self.stop_at - STOP_MARGIN_US
        for txn in self.registry.due_times.take_expired(math.inf if stopping else horizon):
            yield from self._give_up(txn)

    def _give_up(self, txn: Txn, try_elsewhere: bool = False) -> Iterator[Decision]:
        """Sends the final answer of a txn that is given up, at once."""
        product = self.products[txn.product]
        if txn.answered or txn.stage == Stage.OVER:
            return
        txn.answered = True
        # A txn that was past its SLA time when it was read shows no overload here.
        self.overload_declines += txn.sla_due > txn.read_at
        # Rule 2: a txn that ran, or joined one that ran, may have taken effect; it must not be declined.
        if product.kind != INQUIRY and (txn.ran or txn.stage == Stage.JOINED or self._prior_ran(txn)):
            yield Decision(Verb.VOID, txn)
        else:
            maximum = (
                self.settings.get("limits.come_back_after", 0) if self.settings.get("limits.advice") else 0
            )
            # The retry-after time grows with the load, so that a single decline does not keep a caller away
            # for long, and is random, so that callers do not all come back at once.
            retry_after = (
                maximum * max(0.0, 1 - self.advertised_capacity) ** 2 * self.rng.uniform(*RETRY_AFTER_RANGE)
            )
            yield Decision(
                Verb.DECLINE,
                txn,
                us=maximum if self.backlog_stuck else int(retry_after),
                # No other instance can help a txn that is past its SLA time.
                flag=txn.sla_due <= self.now + TICK_US or (not try_elsewhere and self._others_are_full(txn)),
            )
        if not txn.ran:
            yield from self._forget_key(txn)
        if txn.stage in (Stage.HELD, Stage.JOINED):
            self._finish(txn)
        elif txn.terms.can_halt and txn.stage == Stage.RUNNING:
            # The answer is already out, so the run can be stopped, which frees its core and memory.
            yield Decision(Verb.HALT, txn)

    def _forget_key(self, txn: Txn) -> Iterator[Decision]:
        """Frees the key of a txn that ended without a run, and the memory booked for it: no repeat needs it.
        Clients whose txns never run could otherwise fill the table of keys for a whole window."""
        if txn.kept:
            self.registry.forget(txn)
            yield Decision(Verb.FORGET, txn)

    def _join_repeats(self) -> Iterator[Decision]:
        """Rule 2 for referenced txns: one run per key window. Repeats share its result, or wait until it is
        known whether it runs."""
        for _ in range(len(self.unresolved_repeats)):
            txn = self.unresolved_repeats.popleft()
            if txn.stage != Stage.HELD:
                continue
            ran, prior = self._prior_ran(txn), txn.prior
            if prior is not None and prior.stage == Stage.HELD and not prior.answered:
                self.unresolved_repeats.append(txn)
            elif prior is not None and ran and (prior.settled or prior.stage != Stage.OVER):
                txn.ran = True
                self.registry.move(txn, Stage.JOINED, self.now)
                yield Decision(Verb.ATTACH, txn)
            elif ran:  # the run failed, or is no longer known here and may have taken place
                yield from self._give_up(txn)
            else:
                if prior is not None:
                    # This txn replaces the one that never ran, so that no second repeat of it runs as well.
                    prior.replaced_by, txn.prior, txn.repeat = txn, None, False
                # The key is remembered from now on, so that repeats that come while this txn is held find it.
                lifetime = txn.remembered_until - self.now + self.settings.get("round", 0)
                free_kb = self._free_memory_kb() - self.settings.get("instance.kb_per_key", 0.0)
                if lifetime > 0 and free_kb < 0:
                    yield from self._give_up(txn, try_elsewhere=True)
                    continue
                if lifetime > 0:
                    self.registry.remember(txn, self.now + lifetime)
                    yield Decision(Verb.MEMO, txn, us=lifetime)
                self.products[txn.product].enqueue(txn, self.registry.stage_counts[Stage.HELD])

    def _shed_held_txns(self) -> Iterator[Decision]:
        """The hold rule: declines, from the front, txns that have waited past the target by an interval."""
        now, min_running = self.now, max(1, self.cores // 3)
        # With few cores, one seldom becomes free: the interval must not be shorter than the mean time between
        # two such moments, or no queue could meet it.
        core_gap = 1e6 * sum(p.typical_core_seconds() * p.request_count for p in self.products) / self.cores
        core_gap /= sum(p.request_count for p in self.products) or 1.0
        for product in self.products:
            quantile = RUN_TIME_QUANTILE if self.registry.runs_on_cores() >= int(self.run_cap) else 0.5
            usual_time, work_ratio = (
                product.run_times.quantile(quantile) * product.terms.sla_time,
                product.work_ratios.quantile(quantile),
            )
            for queue in product.queues:
                while queue:
                    txn = queue[0]
                    if txn.stage != Stage.HELD:
                        queue.popleft()
                        continue
                    # A txn that can't meet its SLA time is not worth running, except for a few, which show
                    # when a slow period ends. A txn whose expected work is known is judged by that: a light
                    # one may still be in time where a heavy one is not.
                    run_time, terms = (
                        txn.effort * work_ratio if txn.effort and work_ratio else usual_time,
                        txn.terms,
                    )
                    stop = now + terms.expiry if self.stop_at is None else self.stop_at - STOP_MARGIN_US
                    late = (
                        now + run_time > min(txn.sla_due, txn.due, stop)
                        and self.registry.runs_on_cores() >= min_running
                    )
                    # The wait is counted from the reading: the hold did not cause the time spent unread.
                    if (
                        late
                        or now > txn.sla_due
                        or now - txn.read_at > terms.target + max(terms.interval, core_gap)
                    ):
                        queue.popleft()
                        yield from self._give_up(txn)
                    else:
                        break
        # Rule 4, memory: the hold must fit whatever is read.
        while self._free_memory_kb() < 0 and (ranked := self._rank_queues()):
            txn = min(ranked)[2].pop()
            if txn.stage == Stage.HELD:
                yield from self._give_up(txn)

    def _serve_call_waiters(self) -> Iterator[Decision]:
        """Makes or skips the calls that runs wait for, under a bound separate from the running cap. Room goes
        first to the call whose skipping would lose most; a run that has skipped one has no more to lose."""
        waiting, self.call_waiters = sorted(self.call_waiters, key=self._skip_loss, reverse=True), deque()
        for txn in waiting:
            product = self.products[txn.product]
            if txn.stage != Stage.PARKED or txn.answered:
                continue
            # A call lost on the way is repeated if there is time, because skipping it would cost value.
            repeat_call = (
                txn.call_failure == Outcome.RESET
                and txn.may_retry_call
                and txn.calls_made < 3
                and txn.sla_due - self.now > txn.terms.target
            )
            waited_long = self.now - txn.stage_since > txn.terms.target
            # A call that fails or waits too long is skipped even in a run that started with the full
            # approach, so that runs do not pile up at the ledger.
            blocked = waited_long or (txn.call_failure is not None and not repeat_call)
            # Room is reserved for a call with a greater loss that waited recently: with few txns here, that
            # call is seldom waiting at the moment when room becomes free.
            reserved = (
                loss := self._skip_loss(txn)
            ) < self.waiting_call_loss and self.now - self.waiting_call_at < CALL_HISTORY_US
            time_out = 0 if reserved else self._call_time_out(txn)
            if not (time_out or reserved):
                self.call_bound_reached = True
                if waited_long:  # a failed call is not enough, as it shows no lack of room
                    self.waiting_call_loss, self.waiting_call_at = loss, self.now
            if txn.terms.skip_value > 0 and (
                txn.skipped_calls < txn.approach
                or blocked
                or reserved
                or (txn.skipped_calls and not time_out)
            ):
                txn.skipped_calls += 1
                txn.call_failure = None
                self.registry.move(txn, Stage.RUNNING, self.now)
                yield Decision(Verb.SKIP, txn)
            elif self.now > txn.sla_due or not txn.may_retry_call:
                yield from self._give_up(txn)
            # After a refusal the next attempt waits for TICK_US.
            elif time_out and (
                repeat_call or txn.call_failure is None or self.now - txn.stage_since >= TICK_US
            ):
                txn.calls_made += 1
                txn.call_failure = None
                product.last_call_at = self.now
                self.calls.begin(txn.ref, self.now, time_out)
                self.registry.move(txn, Stage.CALLING, self.now)
                yield Decision(Verb.CALL, txn, us=time_out)
            else:
                self.call_waiters.append(txn)

    def _run_held(self) -> Iterator[Decision]:
        limit, self.run_cap_reached = CONCURRENCY_SHARE * self._max_concurrency(), False
        while self.registry.active_runs() + 1 <= limit:
            ranked = self._rank_queues(for_running=True)
            self.run_cap_reached = bool(ranked) and self.registry.runs_on_cores() >= int(self.run_cap)
            if not ranked or self.run_cap_reached:
                return
            strained, queue = self.is_strained(), max(ranked)[2]
            txn = queue.popleft()
            if txn.stage != Stage.HELD:
                continue
            if self._free_memory_kb() < txn.size_kb * (self.settings.get("instance.run_factor", 1.0) - 1):
                queue.appendleft(txn)
                return
            product = self.products[txn.product]
            txn.approach = product.select_approach(strained, self.now) if txn.terms.skip_value > 0 else 0
            txn.ran, txn.started_at = True, self.now
            self.registry.move(txn, Stage.RUNNING, self.now)
            yield Decision(Verb.RUN, txn)

    def _update_published_value(self) -> Iterator[Decision]:
        """Updates the value that callers are given: those that heed it stay away before a request has to be
        read."""
        self.publish_at = self.now + PUBLISH_INTERVAL_US
        maximum = 4.0 if self.settings.get("instance.say", "none") == "allowance" else 1.0
        if self.overload_declines:
            self.advertised_capacity *= 1 - 0.5 * min(1.0, self.overload_declines / (self.read_count + 1))
        elif self.unread_time > HOLD_TARGET:
            self.advertised_capacity *= 0.9  # requests queue unread, which no decline shows
        elif not any(queue for product in self.products for queue in product.queues):
            self.advertised_capacity = min(
                maximum, self.advertised_capacity * (1.5 if self.busy < FULL_BUSY_SHARE else 1.1)
            )
        # A cold instance looks idle while few requests come, and would then get more than it can handle yet.
        self.advertised_capacity = min(
            max(MIN_ADVERTISED_CAPACITY, self.advertised_capacity), maximum * self._speed_factor()
        )
        # If the unread backlog never drains, every request in it is late. Reporting bad health and a value of
        # 0 then loses nothing, until a read shows that it has drained or the cores are idle. It could do harm
        # where reading only stalls for a moment.
        self.late_reads = self.late_reads if self.runnable >= 1 else 0
        self.backlog_stuck = self.late_reads >= self.cores
        self.overload_declines, self.read_count, self.unread_time = 0, 0, 0.0
        yield from self._update_idle_limit()
        yield from self._publish_level()

    def _publish_level(self) -> Iterator[Decision]:
        """Publishes what each caller may send, so that all callers together keep to the advertised
        capacity."""
        form, self.new_caller_seen = self.settings.get("instance.say", "none"), False
        # Callers learn late of a successor, which moreover is cold: they may come for half of the grace.
        delay = self.settings.get("rules.drain_grace", 0) // 2
        withdrawn = self.drain_at is not None and self.now >= self.drain_at + delay
        level = 0.0 if withdrawn or self.backlog_stuck else self.advertised_capacity
        if form == "allowance":
            # There may be more callers than the settings say: the total is divided by those seen recently.
            active_callers = self.callers.count_recent(
                self.now, self.settings.get("instance.heeded", DEFAULT_HEED_TIME_US)
            )
            level *= ALLOWED_TXNS_PER_CORE * self.cores
            if self._speed_factor() < 1:
                level = min(level, CONCURRENCY_SHARE * self._max_concurrency())
            level /= max(1, self.settings.get("instance.callers", 1), active_callers)
        elif form == "floor":
            level = min(0.99, 1.0 - level)
        elif form != "weight":
            return
        if abs(level - self.published_level) > 0.02 * self.published_level:
            self.published_level = level
            yield Decision(Verb.PUBLISH, level=level)

    def _update_idle_limit(self) -> Iterator[Decision]:
        """Closes idle connections of callers that come back too seldom to use them again, as these could fill
        the connection table and leave no slot for others. Each limit is weighed by the cost of the
        connections that it keeps open and of those that it causes to be opened again."""
        limits = (*IDLE_LIMITS_US, longest := int(self.settings.get("instance.idle", 0)))
        gaps = list(zip(self.caller_gaps.counts, limits, strict=True))
        costs = [sum(n * (min(us, gap) / RECONNECT_COST_US + (gap > us)) for n, gap in gaps) for us in limits]
        # Opening very many connections keeps reads off the cores: existing ones then stay open.
        if self.runnable - self.registry.runs_on_cores() > RECONNECT_RUNNABLE_PER_CORE * self.cores:
            self.reconnect_surge_until = self.now + RECONNECT_COST_US
        best = longest if self.now < self.reconnect_surge_until else limits[costs.index(min(costs))]
        if best <= longest and self.caller_gaps.total >= 8 and best != self.idle_limit:
            self.idle_limit = best
            yield Decision(Verb.IDLE_LIMIT, us=best)

    # ---- criteria for the decisions

    def is_strained(self) -> bool:
        """Whether the deactivation of approaches takes effect; otherwise every run is a full one."""
        late = any(
            queue and self.now - queue[0].read_at > queue[0].terms.target
            for product in self.products
            for queue in product.queues
        )
        return (
            self.busy >= FULL_BUSY_SHARE
            or late
            or any(
                product.answer_times.quantile(HIGH_QUANTILE) > TIME_LIMIT_SHARE for product in self.products
            )
        )

    def _adjust_run_cap(self) -> None:
        if self.runnable > MAX_RUNNABLE_PER_CORE * self.cores:
            self.run_cap = max(self.cores, self.run_cap - 1)
        elif (
            self.runnable < min(self.cores + 1, max(self.cores, self.registry.runs_on_cores()))
            and self.run_cap_reached
        ):
            self.run_cap = min(self.run_cap * 1.1 + 0.5, CONCURRENCY_SHARE * self._max_concurrency())

    def _max_concurrency(self) -> float:
        """Rule 4: returns the number of concurrent runs that the server survives, at the lowest speed that a
        machine after a cold start can have by now."""
        surplus = self.settings.get("rules.overload_factor", 2.0) - 1
        return float((1 + surplus * self._speed_factor()) * self.cores)

    def _speed_factor(self) -> float:
        """Returns the machine's speed as a share of its full speed: after a cold start it grows linearly."""
        if not self.cold:
            return 1.0
        initial = self.settings.get("rules.cold_from", 0.1)
        ramp = max(1, self.settings.get("rules.ramp_time", 30_000_000))
        return float(min(1.0, initial + (1 - initial) * (self.now - self.booted_at) / ramp))

    def _free_memory_kb(self) -> float:
        return float(MEMORY_SHARE * self.settings.get("instance.memory_kb", 1e9) - self.registry.memory_kb)

    def _call_time_out(self, txn: Txn) -> int:
        """Rule 4 at the ledger: returns the time-out of a call that fits into the instance's share, lingering
        calls included, or 0 if there is no room for one."""
        time_out, product = max(TICK_US, min(txn.sla_due, txn.due) - self.now), self.products[txn.product]
        if self.max_call_bound >= 1:
            if self.cold and self.now - self.started_at < self.calls.linger:
                return 0  # the predecessor's calls may still linger beside a whole share of new ones
            usual = LOST_CALL_FACTOR * product.call_times.quantile(HIGH_QUANTILE) * product.terms.sla_time
            lost = int(max(HOLD_TARGET * txn.terms.sla_time, usual))
            if txn.calls_made < 2 and product.kind == INQUIRY and lost + txn.terms.target < time_out:
                time_out = lost  # leaves time for another call if this one is never answered
            return time_out if self.calls.in_flight(self.now) + 1 <= self.call_bound else 0
        # A share below one call must hold even if every call runs to its time-out.
        room = int(self.call_bound * self.calls.window) - self.calls.linger
        spare = min(room - self.calls.time_in_flight(self.now), int(self.calls.max_time_out(self.now)))
        # A call cut off before a slow answer arrives would use room and linger for nothing. One that was cut
        # off counts as a call of that length, so the minimum time-out doubles until answers arrive.
        minimum = max(
            TICK_US,
            int(MIN_TIMEOUT_FACTOR * product.call_times.quantile(HIGH_QUANTILE) * product.terms.sla_time),
        )
        fits = (
            0 < spare >= min(time_out, minimum, MAX_NEEDED_SHARE * min(room, self.calls.max_time_out_idle()))
        )
        return min(time_out, max(min(spare, minimum), spare // 2)) if fits else 0  # half is left for the next

    def _exceeds_quota(self, txn: Txn) -> bool:
        """Whether the txn exceeds its customer's quota. Such traffic is worth little and arrives unmarked, so
        each instance measures it against its part of the quota."""
        quota = self.quotas(txn.customer)
        if not quota or txn.resent:
            return False
        rate = quota / max(1, self.settings.get("group_size", 1))
        return not self.customer_buckets.take(txn.customer, rate, max(MIN_BUCKET_DEPTH, 2 * rate), self.now)

    def _quota_in_settings(self, customer: int) -> float | None:
        return self.settings.get(f"customers.{customer}.quota_per_s")

    def _backdate_retry(self, txn: Txn, max_wait: int) -> None:
        """Estimates the age of a retry, which is not transmitted. Most attempts carry their caller's usual
        maximum wait, which is found by majority vote. One that carries another value has what is left of its
        client's time, from which the age follows."""
        usual, expiry = (
            self.callers.usual_wait(txn.caller, txn.product, max_wait, EQUAL_WAIT_US),
            txn.terms.expiry,
        )
        if abs(max_wait - usual) >= EQUAL_WAIT_US or usual > expiry - EQUAL_WAIT_US:
            txn.sla_due -= max(0, expiry - max_wait)

    def _rank_queues(self, for_running: bool = False) -> list[tuple[float, int, deque[Txn]]]:
        """Returns the non-empty queues, each with the contribution of core time spent on it to the site's
        goal."""
        setting = self.settings.get
        ranked: list[tuple[float, int, deque[Txn]]] = []
        if not any(queue for product in self.products for queue in product.queues):
            return ranked
        weights = [p.typical_core_seconds() if setting("value_by") == "work" else 1.0 for p in self.products]
        total = (
            sum(
                p.terms.value * p.request_count * weight
                for p, weight in zip(self.products, weights, strict=True)
            )
            or 1.0
        )
        overall = setting("goal.whole", 1.0) + setting("goal.worst_window", 0.0)
        worst = min(map(Product.settled_share, self.products)) + 0.02
        # A retry may be past its SLA time already, which its maximum wait need not show.
        factors = (1.0, RETRY_WEIGHT, setting("over_share_value", 1.0))
        for product, weight in zip(self.products, weights, strict=True):
            bonus = (
                setting("goal.worst_product", 0.0) / max(1.0, product.request_count)
                if product.settled_share() <= worst
                else 0.0
            )
            if not (for_running and self._call_waiters_at_limit(product)):
                ranked += [
                    (
                        (overall * queue[0].terms.value * weight / total + bonus)
                        / product.typical_core_seconds()
                        * factor,
                        -3 * product.number - i,
                        queue,
                    )
                    for i, (queue, factor) in enumerate(zip(product.queues, factors, strict=True))
                    if queue
                ]
        return ranked

    def _call_waiters_at_limit(self, product: Product) -> bool:
        """The bound on call waiters of products whose runs can't skip the call: as many as the recent
        throughput of calls can serve."""
        waiting = self.registry.active_runs() - self.registry.runs_on_cores()
        if not product.terms.may_call or product.terms.skip_value > 0 or waiting < max(2, self.cores // 2):
            return False
        return (
            waiting
            >= MAX_CALL_WAIT * product.terms.sla_time * self.calls.completed(self.now) / self.calls.window
        )

    def _others_are_full(self, txn: Txn) -> bool:
        """Whether the other instances seem to be full: retries arriving here show that others decline, too.
        Without retries some may be idle."""
        seems_full = (
            not self.settings.get("clients.marks_resent")
            or self.recent_retries > ALL_FULL_RETRY_SHARE * self.recent_attempts
        )
        return seems_full and (txn.resent or self.advertised_capacity < ALL_FULL_CAPACITY)

    def _skip_loss(self, txn: Txn) -> float:
        return 0.0 if txn.skipped_calls else txn.terms.value * (1 - txn.terms.skip_value)

    def _prior_ran(self, txn: Txn) -> bool:
        # A repeat that ended without having run may stand between this txn and the run of both.
        while (p := txn.prior) and (p.replaced_by or (p.repeat and not p.ran and p.stage == Stage.OVER)):
            txn.prior = p.replaced_by or p.prior
        return txn.repeat and (txn.prior is None or txn.prior.ran)

    # ---- changes of stage

    def _park(self, txn: Txn) -> None:
        self.registry.move(txn, Stage.PARKED, self.now)
        product = self.products[txn.product]
        if (
            txn.terms.skip_value > 0
            and txn.calls_made + txn.skipped_calls >= len(product.ladder) - 1 < MAX_APPROACHES
        ):
            product.ladder.append(Approach())
        self.call_waiters.append(txn)

    def _finish(self, txn: Txn) -> None:
        if txn.stage == Stage.CALLING:
            self.calls.end(txn.ref, self.now, abandoned=True)
        self.registry.move(txn, Stage.OVER, self.now)
        txn.answered, txn.prior = True, None if txn.ran else txn.prior
