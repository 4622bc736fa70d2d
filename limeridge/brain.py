"""The decisions of one instance: what it takes, runs and turns away.  Types: limeridge/interface.py.

A host makes one Brain for each instance from a plain map of settings (docs/design.md lists the names), a
seed and the clock, and never shares one.  Inputs (`arrived`, `ended`, `needs_call`, `call_ended`,
`caller_gone`, `leave`, `woke`, `revise`) only update what is known.  After each round of inputs the host
pulls `decide()` until it gives None and carries the decisions out in that order.  Times are whole
microseconds.

The ordinary path is the ladder and the hold rule of docs/design.md; the rest keeps the four rules.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from limeridge.histogram import Histogram
from limeridge.interface import ClassTerms, Decision, Outcome, Stage, Txn, Verb
from limeridge.records import Books, Buckets, Callers, Calls

WINDOW = 20  # runs whose worst is an approach's cost
TIME_LIMIT = 0.8  # of the SLA time
REACTIVATION = 0.5  # of time_limit
MAX_RUNGS = 4
TARGET = 0.2  # hold target, of the SLA time
INTERVAL = 0.05  # of the SLA time
HOPE = 0.75  # share of recent runs that a held txn must still have time for; half with a core free
LATER_TRY = 0.7
BURST = 4.0  # txns that a customer's bucket holds at the least, against one too small for a whole txn
TICK = 50_000  # the one pending wake-up comes at most this much later
SPEAK = 250_000  # the published value moves at most this often
FULL_CORES = 0.93  # busy share at which cores count as near full
CROWDED = 1.3  # asking for a core, per core: above it the running cap shrinks
CROWD_SHARE = 0.8  # of the crowd that the server survives
MEMORY_SHARE = 0.92
CALL_FLOOR = 0.4  # of the own share: less in hand than this does not make what lies below quicker
CALL_SHARE = 0.9  # of the own share of calls below
ALLOWED = 2.5  # txns a core out here at a welcome of 1, by allowance
CALL_MATTERS = 0.15  # time at a call, of the SLA time, from which leaving it out saves something
CALL_STALE = 2_000_000  # what was seen of calls this long ago says nothing of them now
CALL_WAITERS = 0.4  # of the SLA time: more at a call than come through in it would wait for nothing
CALL_SLOW = 4  # times what half the calls took when they were quickest: slower ones are slow
CALL_STEP = 0.05  # of the bound's floor, by which a quick call raises the bound
CALL_BACK_OFF = 0.85  # of the bound, that a slow or failed call leaves
CALL_LEAST = 2.5  # times of lingering in a window: the least bound of a share under one call
CALL_SLACK = 2  # least time-out of a call, of what nine in ten took
CALL_LOST = 3  # times what nine in ten took: one without an answer by then is taken for lost
CALL_MOST = 0.9  # of the longest call that a share under one ever has room for: none waits for more
CALL_LONGEST = 0.25  # of a window's share under one, that one call may take beside its lingering
CALL_MARGIN = 0.02  # of the share, for calls that come to the records service and leave it late
STOP_MARGIN = 200_000  # before the process is killed
ADVICE = (0.1, 0.7)  # of the longest time to come back after
WELCOME_FLOOR = 0.1  # a dead server says nothing, and must not look the better for it
STUCK = 0.6  # of the SLA time, that all have waited unread where the line at the door is not caught up
ALL_FULL = 0.08  # later tries among all, from which the others count as full too
TURN_ALL = 0.25  # welcome under which callers are asked not to try elsewhere either
SAME_PATIENCE = 20_000
VOTES = 20  # for the usual patience of a caller at the most, so that a new one can win
IDLE_WORTH = 5_000_000  # a connection kept open unused for this long costs as much as a new one
IDLE_LIMITS = (250_000, 1_000_000, 4_000_000, 15_000_000)
STORM = 10  # asking for a core besides runs, per core, from which new connections are too many
CALLERS_KEPT = 512
TRIES_KEPT = 0.99  # of the count of tries, with each further one
ASKED_MOST = 256  # requests of a class, from which what was counted of them is halved
HEEDED = 1_000_000  # how long a caller keeps to what it was told, where the settings do not say
MEDIAN, HIGH = 0.5, 0.9  # quantiles of what was learnt
EDGES = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.55, 0.8, 1.2, 2.0, 4.0)  # of the SLA time
INQUIRY, REFERENCED, ONCE_ONLY = "inquiry-like", "referenced", "once-only"
Quotas = Callable[[int], float | None]  # by customer: txns a second of the whole fleet; none or 0: no bound
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Approach:
    """One rung: a run that leaves out as many optional calls as rungs stand above it."""

    def __init__(self) -> None:
        self.active = True
        self.costs: deque[int] = deque(maxlen=WINDOW)

    @property
    def cost(self) -> int:
        return max(self.costs, default=0)


def kind_of(settings: Mapping[str, Any], number: int) -> str:
    """A kind that is not told gets the most careful reading: it must not run twice."""
    return str(settings.get(f"products.{number}.kind", ONCE_ONLY))


def terms_of(settings: Mapping[str, Any], number: int) -> ClassTerms:
    """What these settings say of a class; what is absent gets its most careful reading."""

    def term(name: str, default: Any) -> Any:
        return settings.get(f"products.{number}.{name}", default)

    def of_list(name: str, default: Any) -> Any:
        values = settings.get(name) or ()
        return values[number] if number < len(values) else default

    sla_time: int = term("sla_time", 0) or term("expiry", 0) or 1_000_000
    halting = settings.get("instance.preemption", "none") in ("discard", "freeze")
    return ClassTerms(
        sla_time=sla_time,
        expiry=term("expiry", 0) or sla_time,
        time_limit=int(TIME_LIMIT * sla_time),
        target=int(TARGET * sla_time),
        interval=int(INTERVAL * sla_time),
        window=term("window", 0),
        value=term("value", 1.0),
        late_value=term("late_value", 0.0),
        skip_value=of_list("instance.skip_values", 0.0),
        calls=of_list("instance.product_calls", True),
        halts=halting and kind_of(settings, number) == INQUIRY,
    )


class Product:
    """What is known of one product: its terms now, and apart from them what was learnt and its line in the
    hold. What was learnt as a part of the SLA time is kept as a part of the one of now."""

    def __init__(self, kind: str, terms: ClassTerms, number: int) -> None:
        self.number, self.kind, self.terms = number, kind, terms
        self.ladder = [Approach()]
        if terms.skip_value > 0:
            self.ladder.append(Approach())
        self.run_times, self.core_times, self.paces, self.answer_ages, self.call_times = (
            Histogram(EDGES, keep) for keep in (32, 32, 32, 32, 16)
        )
        self.called_at, self.quick, self.answered_from = 0, float("inf"), -1
        self.lines: tuple[deque[Txn], ...] = (deque(), deque(), deque())  # first, later tries, over share
        self.asked, self.settled = 0.0, 0.0

    def revise(self, terms: ClassTerms) -> None:
        """Other terms from now on; what was learnt stays."""
        if terms.sla_time != self.terms.sla_time:
            for learnt in (self.run_times, self.core_times, self.answer_ages, self.call_times):
                learnt.rescale(self.terms.sla_time / terms.sla_time)
        if terms.skip_value > 0 and len(self.ladder) == 1:
            self.ladder.append(Approach())
        self.terms = terms

    def choose(self, strained: bool, now: int) -> int:
        # Leaving a call out saves its time alone: where fresh calls are quick, slow cores are no reason to.
        if not strained or now - self.called_at > CALL_STALE or self.call_times.quantile(0.75) < CALL_MATTERS:
            return 0
        return next(i for i, approach in enumerate(self.ladder) if approach.active)

    def hold(self, txn: Txn) -> None:
        self.lines[2 if txn.over_share else txn.resent].append(txn)

    def work(self) -> float:
        return max(0.02, self.core_times.quantile(MEDIAN)) * self.terms.sla_time / 1e6

    def served(self) -> float:
        return (self.settled + 1) / (self.asked + 1)

    def report(self, txn: Txn, elapsed: int) -> None:
        """The paper's switch, after each run."""
        approach = self.ladder[txn.approach]
        approach.costs.append(elapsed)
        if approach.cost > self.terms.time_limit:
            approach.active = approach.active and txn.approach == len(self.ladder) - 1
        elif approach.cost < REACTIVATION * self.terms.time_limit:
            for heavier in [a for a in self.ladder[: txn.approach] if not a.active][-1:]:
                heavier.active = True
                heavier.costs.clear()


class Brain:
    """One instance's decisions."""

    def __init__(
        self, settings: Mapping[str, Any], seed: int, now: int, quotas: Quotas | None = None
    ) -> None:
        self.settings, self.now, self.born, self.started = settings, now, now, now
        self.quotas = quotas or self._quota_in_settings
        self.cold: bool = settings.get("instance.cold", True)
        self.chance = random.Random(seed)
        self.products = [
            Product(kind_of(settings, i), terms_of(settings, i), i)
            for i in range(settings.get("products.count", 0))
        ]
        self.cores: int = settings.get("instance.cores", 1)
        self.cap, self.cap_binds = float(self.cores), False
        self.books = Books(settings.get("instance.run_factor", 1.0), settings.get("instance.kb_per_key", 0.0))
        self.parked, self.repeats, self.doomed = deque[Txn](), deque[Txn](), deque[Txn]()
        self.calls = Calls(
            settings.get("instance.calls_over", 5_000_000), settings.get("instance.linger", 200_000), now
        )
        self.shares = Buckets()
        self.callers, self.storm_until = Callers(CALLERS_KEPT, VOTES), now
        self.absences, self.idle_limit = Histogram(IDLE_LIMITS, 64), settings.get("instance.idle", 0)
        self.busy, self.runnable, self.gauge_new, self.stuck = 0.0, 0.0, False, False
        self.wake_at: int | None = None
        self.leave_at: int | None = None
        self.stop_at: int | None = None
        self.welcome = self._warmth() if settings.get("instance.cold") else 1.0
        self.speak_at, self.turned_away, self.read, self.unread, self.behind = now, 0, 0, 0.0, 0
        self.healthy, self.said, self.tries, self.later, self.unmet = False, -1.0, 0.0, 0.0, False
        share = float(settings.get("instance.calls_out", 0.5))
        self.call_most, self.call_floor = self._bounds(share)
        self.calls.refill(now, *self._bucket(share))
        self._charge_life_before()
        self.call_cap, self.calls_bound, self.calls_dealt = self.call_floor, False, False
        self.short, self.short_at = 0.0, now - CALL_STALE  # the loss of a call that lately found no room
        self.stream: Iterator[Decision] | None = None

    def _bounds(self, share: float) -> tuple[float, float]:
        """The most and the least that the bound of calls may be. One that no call can live under would never
        see one, and so never grow."""
        most, least = CALL_SHARE * share, CALL_LEAST * self.calls.linger / self.calls.window
        return most, min(most, max(CALL_FLOOR * share, 1.0 if most >= 1 else least))

    def _bucket(self, share: float) -> tuple[float, float]:
        """Depth, microseconds, and rate of the bucket of a share under one call. Over a whole window both add
        up to the share. They hang on the settings alone: the next life counts on this one's."""
        window, linger = self.calls.window, self.calls.linger
        whole = (1 - CALL_MARGIN) * share * window
        depth = (1 - CALL_SHARE) * whole
        longest = linger + max(TICK, CALL_LONGEST * whole)
        if longest < min(whole, window):
            # The least depth from which one call can be so long, the bucket filling meanwhile.
            depth = max(depth, longest * (window - whole) / (window - longest))
        return depth, (whole - depth) / window

    def _charge_life_before(self) -> None:
        """A restart has no second share: the life before may have used all that its bucket allows in its last
        moments, and every life keeps to the same bucket. What is left to this one up to any moment of its
        first window is what such a bucket is filled with, from when no call of the life before lingers."""
        bucket = self.calls.bucket
        filled = bucket.rate * (self.now - self.started - self.calls.linger)
        bucket.level = min(bucket.level, filled) if self.cold else bucket.depth

    # ---- inputs: bookkeeping only

    def share(self, now: int, calls: int) -> None:
        """The own share of calls is another from now on: so many in hand at a time, with nothing off the top,
        for whoever deals out whole calls has counted them."""
        self.now, self.calls_dealt = now, True
        self._bound_calls(float(calls), max(min(1.0, calls), CALL_FLOOR * calls))

    def _bound_calls(self, most: float, floor: float) -> None:
        self.call_most, self.call_floor = most, floor
        self.call_cap = min(max(self.call_cap, floor), most)

    def revise(self, now: int, settings: Mapping[str, Any], quotas: Quotas | None = None) -> None:
        """Settings of another revision, with the same classes by number. What has arrived keeps the terms
        that it arrived under, and what was learnt stays."""
        terms = [terms_of(settings, product.number) for product in self.products]
        old, self.settings = self.settings, settings
        self.quotas = quotas or self._quota_in_settings
        if settings == old:
            return
        self.now = now
        for product, of_now in zip(self.products, terms, strict=True):
            product.revise(of_now)
        share, idle = settings.get("instance.calls_out", 0.5), settings.get("instance.idle", 0)
        if share != old.get("instance.calls_out", 0.5) and not self.calls_dealt:
            self._bound_calls(*self._bounds(float(share)))
            self.calls.refill(now, *self._bucket(float(share)))
        if idle != old.get("instance.idle", 0):
            self.idle_limit = idle

    def booted(self, now: int, cold: bool, born: int) -> None:
        """The machine came up at `born`, and says whether cold: its speed grows from then on. What was read
        before stays as it is."""
        self.now, self.born = now, born
        if cold != self.cold:
            self.cold = cold
            self._charge_life_before()
        self.welcome = min(self.welcome, self._warmth()) if cold else 1.0
        self.speak_at = now

    def arrived(
        self,
        now: int,
        ref: int,
        product: int,
        customer: int = 0,
        caller: int = 0,
        patience: int = 0,
        age: int = 0,
        size_kb: float = 0.0,
        resent: bool = False,
        prior: Txn | None = None,
        repeat: bool = False,
        effort: int = 0,
    ) -> Txn:
        self.now = now
        kind = self.products[product]
        terms, landed = kind.terms, now - age
        # Where the wait should come with the txn and does not, nothing is left of it.
        told = patience > 0 or self.settings.get("instance.passes_expiry")
        due = now + patience if told else max(now, landed + terms.expiry)
        txn = Txn(
            ref,
            product,
            customer,
            caller,
            size_kb,
            landed,
            now,
            due,
            landed + terms.sla_time,
            terms,
            resent,
            prior,
            repeat,
            effort,
        )
        self._date_back(txn, due - landed)
        if terms.halts and not terms.late_value:  # against runs that go on for an answer worth nothing
            txn.due = min(txn.due, max(now, txn.sla_due))
        txn.remembered_until = landed + terms.window
        txn.over_share = self._over_share(txn)
        self.books.enter(txn)
        kind.asked, self.read = kind.asked + 1, self.read + 1
        self.absences.add(absence := self.callers.absence(caller, now))
        self.unmet = self.unmet or absence == float("inf")
        self.tries, self.later = self.tries * TRIES_KEPT + 1, self.later * TRIES_KEPT + resent
        self.unread = age / terms.sla_time
        self.behind = self.behind + 1 if self.unread > (TARGET if self.stuck else STUCK) else 0
        if kind.asked > ASKED_MOST:
            kind.asked, kind.settled = kind.asked / 2, kind.settled / 2
        if self.leave_at is not None and landed > self.leave_at + self.settings.get("rules.drain_grace", 0):
            self.doomed.append(txn)
        elif kind.kind == REFERENCED:
            self.repeats.append(txn)
        else:
            kind.hold(txn)
        return txn

    def ended(self, now: int, txn: Txn, outcome: Outcome, spent: int) -> None:
        self.now = now
        if txn.stage == Stage.OVER:
            return
        kind = self.products[txn.product]
        if outcome != Outcome.MOOT and txn.stage not in (Stage.JOINED, Stage.HELD):
            elapsed = now - txn.started
            kind.report(txn, elapsed)
            if outcome in (Outcome.OK, Outcome.CANCELLED):  # what was cut short would have taken longer yet
                kind.run_times.add(elapsed / kind.terms.sla_time)
                if txn.effort:
                    kind.paces.add(elapsed / txn.effort)
                kind.core_times.add(self.books.core_time(txn, now) / kind.terms.sla_time)
                kind.answer_ages.add((now - txn.arrived) / kind.terms.sla_time)
        if outcome == Outcome.OK:
            txn.settled = True
            kind.settled += not txn.answered and now <= txn.sla_due
        self._over(txn)

    def needs_call(self, now: int, txn: Txn) -> None:
        self.now = now
        if txn.stage == Stage.RUNNING:
            self._park(txn)

    def call_ended(self, now: int, txn: Txn, outcome: Outcome, spent: int) -> None:
        self.now = now
        if txn.stage != Stage.CALLING:
            return
        kind = self.products[txn.product]
        self.calls.end(txn.ref, now, left_behind=outcome in (Outcome.TIMEOUT, Outcome.RESET))
        # One that broke, or that others begun later have overtaken by far, tells of the way to the ledger and
        # not of its load: slowness holds up later ones too. With a share under one call, time-outs are cuts.
        lost = outcome == Outcome.RESET or (
            outcome == Outcome.TIMEOUT and self.call_most >= 1 and kind.answered_from > now - spent
        )
        kind.answered_from = max(kind.answered_from, (now - spent) * (outcome == Outcome.OK))
        if not lost:
            kind.call_times.add(spent / kind.terms.sla_time)
        kind.quick = min(kind.quick, kind.call_times.quantile(MEDIAN) * kind.terms.sla_time)
        # It grows only while it binds: what is never used would let a crowd in before its slowness shows.
        # What is slow goes by the ledger as it was quickest: a call may take the hold target and be usual.
        if not lost and (outcome != Outcome.OK or spent > max(txn.terms.target, CALL_SLOW * kind.quick)):
            self.call_cap = max(self.call_floor, self.call_cap * CALL_BACK_OFF)
        elif self.calls_bound and outcome == Outcome.OK:
            self.call_cap = min(self.call_most, self.call_cap + CALL_STEP * max(1.0, self.call_floor))
            self.calls_bound = False
        if outcome == Outcome.OK:
            self.books.move(txn, Stage.RUNNING, self.now)
        else:
            txn.failed_as = Outcome.RESET if lost else outcome
            # Rule 2: a call that may have taken effect is made again for inquiry-like txns alone.
            txn.may_repeat_call = kind.kind == INQUIRY or outcome in NEVER_RAN
            self._park(txn)

    def caller_gone(self, now: int, txn: Txn) -> None:
        self.now = now
        txn.answered = True
        if txn.stage in (Stage.HELD, Stage.JOINED):
            self._over(txn)

    def leave(self, now: int, budget: int, ago: int = 0) -> None:
        self.now = self.speak_at = now
        self.leave_at = now - ago if self.leave_at is None else self.leave_at
        self.stop_at = now - ago + budget

    def woke(self, now: int, ref: int, gauges: Mapping[str, float]) -> None:
        self.now, self.wake_at, self.gauge_new = now, None, True
        self.busy, self.runnable = gauges.get("busy", self.busy), gauges.get("runnable", self.runnable)

    # ---- decisions

    def decide(self) -> Decision | None:
        stream, self.stream = self.stream or self._decisions(), None  # against one that broke and ended
        if (decision := next(stream, None)) is not None:
            self.stream = stream
        return decision

    def _decisions(self) -> Iterator[Decision]:
        now = self.now
        if self.healthy == (self.leave_at is not None or self.stuck):
            self.healthy = not self.healthy
            yield Decision(Verb.FITNESS, flag=self.healthy)
        self.books.expire(now)
        yield from self._answer_due()
        while self.doomed:
            yield from self._turn_away(self.doomed.popleft())
        yield from self._join_repeats()
        yield from self._trim_hold()
        if self.gauge_new:
            self.gauge_new = False
            self._size_cap()
        yield from self._feed_calls()
        yield from self._run_held()
        if now >= self.speak_at:
            yield from self._speak()
        elif self.unmet and self._warmth() < 1:
            yield from self._tell()
        awake = self.books.dues or self.stuck or self.welcome < 1 or self.leave_at is not None
        if awake and self.wake_at is None:
            self.wake_at = now + TICK
            yield Decision(Verb.WAKE, us=self.wake_at)

    def _answer_due(self) -> Iterator[Decision]:
        """Rule 1, and before the stop rule 3: running work is no excuse. The next look comes a TICK later."""
        horizon = self.now + TICK + self.settings.get("round", 0)
        stopping = self.stop_at is not None and horizon >= self.stop_at - STOP_MARGIN
        while (dues := self.books.dues) and (stopping or dues[0][0] <= horizon or dues[0][2].answered):
            yield from self._turn_away(heapq.heappop(dues)[2])

    def _turn_away(self, txn: Txn, elsewhere: bool = False) -> Iterator[Decision]:
        """The final answer of a txn that is given up; it goes out at once."""
        kind = self.products[txn.product]
        if txn.answered or txn.stage == Stage.OVER:
            return
        txn.answered = True
        # What came here past its SLA time says nothing of the load here, and no other can help it.
        self.turned_away += txn.sla_due > txn.read
        # Rule 2: what has run, or joined what has, may have taken effect; never say that it never ran.
        if kind.kind != INQUIRY and (txn.ran or txn.stage == Stage.JOINED or self._prior_ran(txn)):
            yield Decision(Verb.VOID, txn)
        else:
            most = self.settings.get("limits.come_back_after", 0) if self.settings.get("limits.advice") else 0
            # Advice grows with the load, against one decline that closes this instance to a caller for long,
            # and is spread by chance, against callers that come back all at once.
            after = most * max(0.0, 1 - self.welcome) ** 2 * self.chance.uniform(*ADVICE)
            yield Decision(
                Verb.DECLINE,
                txn,
                us=most if self.stuck else int(after),
                flag=txn.sla_due <= self.now + TICK or (not elsewhere and self._full_elsewhere(txn)),
            )
        if txn.kept and not txn.ran:
            self.books.forget(txn)
            yield Decision(Verb.FORGET, txn)
        if txn.stage in (Stage.HELD, Stage.JOINED):
            self._over(txn)
        elif txn.terms.halts and txn.stage == Stage.RUNNING:
            yield Decision(Verb.HALT, txn)  # answered first, so it is finished: core and memory are free

    def _join_repeats(self) -> Iterator[Decision]:
        """Rule 2 for referenced txns: one run in a window, repeats share its result or wait to see it run."""
        for _ in range(len(self.repeats)):
            txn = self.repeats.popleft()
            if txn.stage != Stage.HELD:
                continue
            ran, prior = self._prior_ran(txn), txn.prior
            if prior is not None and prior.stage == Stage.HELD and not prior.answered:
                self.repeats.append(txn)
            elif prior is not None and ran and (prior.settled or prior.stage != Stage.OVER):
                txn.ran = True
                self.books.move(txn, Stage.JOINED, self.now)
                yield Decision(Verb.ATTACH, txn)
            elif ran:  # it failed, or is not known here any more and may have run
                yield from self._turn_away(txn)
            else:
                if prior is not None:
                    # Against two repeats of one dead txn that both run: this one takes its place.
                    prior.heir, txn.prior, txn.repeat = txn, None, False
                # Kept from the reading on: a repeat that comes while this one is held must be known.
                life = txn.remembered_until - self.now + self.settings.get("round", 0)
                room = self._room() - self.settings.get("instance.kb_per_key", 0.0)
                if life > 0 and room < 0:
                    yield from self._turn_away(txn, elsewhere=True)
                    continue
                if life > 0:
                    self.books.keep(txn, self.now + life)
                    yield Decision(Verb.MEMO, txn, us=life)
                self.products[txn.product].hold(txn)

    def _trim_hold(self) -> Iterator[Decision]:
        """The hold rule: what waits past the target over an interval goes, from the front."""
        now, probes = self.now, max(1, self.cores // 3)
        # Against a wait that no line can meet: with few cores, one comes free seldom. No shorter interval.
        gap = 1e6 * sum(k.work() * k.asked for k in self.products) / self.cores
        gap /= sum(k.asked for k in self.products) or 1.0
        for kind in self.products:
            hope = HOPE if self.books.on_cores() >= int(self.cap) else 0.5
            usual, pace = kind.run_times.quantile(hope) * kind.terms.sla_time, kind.paces.quantile(hope)
            for line in kind.lines:
                while line:
                    txn = line[0]
                    if txn.stage != Stage.HELD:
                        line.popleft()
                        continue
                    # Not worth running: it can't make its SLA time. A few still run, to see a slow spell end.
                    # Where its work is told, that judges it: light ones can still make it, heavy ones not.
                    need, terms = txn.effort * pace if txn.effort and pace else usual, txn.terms
                    stop = now + terms.expiry if self.stop_at is None else self.stop_at - STOP_MARGIN
                    late = now + need > min(txn.sla_due, txn.due, stop) and self.books.on_cores() >= probes
                    # The wait is counted from the reading: what waited unread was no choice of the hold.
                    if late or now > txn.sla_due or now - txn.read > terms.target + max(terms.interval, gap):
                        line.popleft()
                        yield from self._turn_away(txn)
                    else:
                        break
        # Rule 4, memory: the hold itself must fit, whatever is read.
        while self._room() < 0 and (ranked := self._ranked()):
            txn = min(ranked)[2].pop()
            if txn.stage == Stage.HELD:
                yield from self._turn_away(txn)

    def _feed_calls(self) -> Iterator[Decision]:
        """Call waiters: their own bound, apart from the running cap. Room goes first to the call that would
        lose most if left out; a run that left one out already has no more to lose."""
        waiting, self.parked = sorted(self.parked, key=self._loss, reverse=True), deque()
        for txn in waiting:
            kind = self.products[txn.product]
            if txn.stage != Stage.PARKED or txn.answered:
                continue
            # Lost on the way, with time left: made again, as leaving it out would cost value.
            again = (
                txn.failed_as == Outcome.RESET
                and txn.may_repeat_call
                and txn.calls_made < 3
                and txn.sla_due - self.now > txn.terms.target
            )
            waited = self.now - txn.since > txn.terms.target
            # A run that meets trouble below mid-way leaves the call out too, against piling up there.
            stuck = waited or (txn.failed_as is not None and not again)
            # Room is spared for a call that would lose more and lately waited: few txns are here.
            spared = (loss := self._loss(txn)) < self.short and self.now - self.short_at < CALL_STALE
            time_out = 0 if spared else self._call_room(txn)
            if not (time_out or spared):
                self.calls_bound = True
                if waited:  # not for one that failed: that tells of no lack of room
                    self.short, self.short_at = loss, self.now
            if txn.terms.skip_value > 0 and (
                txn.left_out < txn.approach or stuck or spared or (txn.left_out and not time_out)
            ):
                txn.left_out += 1
                txn.failed_as = None
                self.books.move(txn, Stage.RUNNING, self.now)
                yield Decision(Verb.SKIP, txn)
            elif self.now > txn.sla_due or not txn.may_repeat_call:
                yield from self._turn_away(txn)
            elif time_out and (again or txn.failed_as is None or self.now - txn.since >= TICK):  # refusals
                txn.calls_made += 1
                txn.failed_as = None
                kind.called_at = self.now
                self.calls.begin(txn.ref, self.now, time_out)
                self.books.move(txn, Stage.CALLING, self.now)
                yield Decision(Verb.CALL, txn, us=time_out)
            else:
                self.parked.append(txn)

    def _run_held(self) -> Iterator[Decision]:
        limit, self.cap_binds = CROWD_SHARE * self._crowd(), False
        while self.books.in_runs() + 1 <= limit:
            ranked = self._ranked(running=True)
            self.cap_binds = bool(ranked) and self.books.on_cores() >= int(self.cap)
            if not ranked or self.cap_binds:
                return
            strained, line = self.strained(), max(ranked)[2]
            txn = line.popleft()
            if txn.stage != Stage.HELD:
                continue
            if self._room() < txn.size_kb * (self.settings.get("instance.run_factor", 1.0) - 1):
                line.appendleft(txn)
                return
            kind = self.products[txn.product]
            txn.approach = kind.choose(strained, self.now) if txn.terms.skip_value > 0 else 0
            txn.ran, txn.started = True, self.now
            self.books.move(txn, Stage.RUNNING, self.now)
            yield Decision(Verb.RUN, txn)

    def _speak(self) -> Iterator[Decision]:
        """The free value: callers that heed it stay away before they cost a reading."""
        self.speak_at = self.now + SPEAK
        top = 4.0 if self.settings.get("instance.say", "none") == "allowance" else 1.0
        if self.turned_away:
            self.welcome *= 1 - 0.5 * min(1.0, self.turned_away / (self.read + 1))
        elif self.unread > TARGET:
            self.welcome *= 0.9  # against a line at the door, which no decline shows
        elif not any(line for kind in self.products for line in kind.lines):
            self.welcome = min(top, self.welcome * (1.5 if self.busy < FULL_CORES else 1.1))
        # Against a cold start that looks idle as few come, and then gets more than it can do yet.
        self.welcome = min(max(WELCOME_FLOOR, self.welcome), top * self._warmth())
        # Against a line at the door never caught up: all it holds is late; bad health and a value of 0 lose
        # none until a read shows it is, or cores are idle. It could harm where reading hangs for a moment.
        self.behind = self.behind if self.runnable >= 1 else 0
        self.stuck = self.behind >= self.cores
        self.turned_away, self.read, self.unread = 0, 0, 0.0
        yield from self._limit_idle()
        yield from self._tell()

    def _tell(self) -> Iterator[Decision]:
        """What each caller may do, so that it adds up to the welcome over all that are told."""
        how, self.unmet = self.settings.get("instance.say", "none"), False
        # Callers hear of a successor late, and it is cold: for half of the grace they may come as before.
        stay = self.settings.get("rules.drain_grace", 0) // 2
        parting = self.leave_at is not None and self.now >= self.leave_at + stay
        level = 0.0 if parting or self.stuck else self.welcome
        if how == "allowance":
            # Against more callers than the settings know of: each is told its part of what all may have out.
            told = self.callers.lately(self.now, self.settings.get("instance.heeded", HEEDED))
            level *= ALLOWED * self.cores
            if self._warmth() < 1:
                level = min(level, CROWD_SHARE * self._crowd())
            level /= max(1, self.settings.get("instance.callers", 1), told)
        elif how == "floor":
            level = min(0.99, 1.0 - level)
        elif how != "weight":
            return
        if abs(level - self.said) > 0.02 * self.said:
            self.said = level
            yield Decision(Verb.PUBLISH, level=level)

    def _limit_idle(self) -> Iterator[Decision]:
        """Against a table full of connections whose callers come back too seldom to use them again: others
        then find no slot. Each limit is weighed by what it keeps open and what it opens anew."""
        limits = (*IDLE_LIMITS, longest := int(self.settings.get("instance.idle", 0)))
        gaps = list(zip(self.absences.counts, limits, strict=True))
        costs = [sum(n * (min(us, gap) / IDLE_WORTH + (gap > us)) for n, gap in gaps) for us in limits]
        # Against a storm of new connections that keeps reads off the cores: those that are open stay open.
        if self.runnable - self.books.on_cores() > STORM * self.cores:
            self.storm_until = self.now + IDLE_WORTH
        best = longest if self.now < self.storm_until else limits[costs.index(min(costs))]
        if best <= longest and self.absences.total >= 8 and best != self.idle_limit:
            self.idle_limit = best
            yield Decision(Verb.IDLE_LIMIT, us=best)

    # ---- what the decisions weigh

    def strained(self) -> bool:
        """Deactivation binds only then; else the full run."""
        late = any(
            line and self.now - line[0].read > line[0].terms.target for k in self.products for line in k.lines
        )
        return (
            self.busy >= FULL_CORES
            or late
            or any(kind.answer_ages.quantile(HIGH) > TIME_LIMIT for kind in self.products)
        )

    def _size_cap(self) -> None:
        if self.runnable > CROWDED * self.cores:
            self.cap = max(self.cores, self.cap - 1)
        elif self.runnable < min(self.cores + 1, max(self.cores, self.books.on_cores())) and self.cap_binds:
            self.cap = min(self.cap * 1.1 + 0.5, CROWD_SHARE * self._crowd())

    def _crowd(self) -> float:
        """Rule 4: the crowd survived, at the lowest speed that a cold start can have by now."""
        survived = self.settings.get("rules.overload_factor", 2.0) - 1
        return float((1 + survived * self._warmth()) * self.cores)

    def _warmth(self) -> float:
        if not self.cold:
            return 1.0
        begin = self.settings.get("rules.cold_from", 0.1)
        ramp = max(1, self.settings.get("rules.ramp_time", 30_000_000))
        return float(min(1.0, begin + (1 - begin) * (self.now - self.born) / ramp))

    def _room(self) -> float:
        return float(MEMORY_SHARE * self.settings.get("instance.memory_kb", 1e9) - self.books.memory)

    def _call_room(self, txn: Txn) -> int:
        """Rule 4 below: the own share of calls, lingering ones included. 0 = no room, else a time-out."""
        time_out, kind = max(TICK, min(txn.sla_due, txn.due) - self.now), self.products[txn.product]
        if self.call_most >= 1:
            if self.cold and self.now - self.started < self.calls.linger:
                return 0  # the calls of the life before may still linger, beside a whole share of new ones
            usual = CALL_LOST * kind.call_times.quantile(HIGH) * kind.terms.sla_time
            lost = int(max(TARGET * txn.terms.sla_time, usual))
            if txn.calls_made < 2 and kind.kind == INQUIRY and lost + txn.terms.target < time_out:
                time_out = lost  # against no answer ever: time is left for another
            return time_out if self.calls.in_hand(self.now) + 1 <= self.call_cap else 0
        # A share under one call: it must still hold if every call runs to its time-out.
        room = int(self.call_cap * self.calls.window) - self.calls.linger
        spare = min(room - self.calls.time_taken(self.now), int(self.calls.longest(self.now)))
        # Against calls cut off before a slow answer can come, which cost room and linger for nothing: what
        # was cut off counts as a call of that length, so the least time-out doubles until answers come.
        least = max(TICK, int(CALL_SLACK * kind.call_times.quantile(HIGH) * kind.terms.sla_time))
        fits = 0 < spare >= min(time_out, least, CALL_MOST * min(room, self.calls.longest_ever()))
        return min(time_out, max(min(spare, least), spare // 2)) if fits else 0  # half is left for the next

    def _over_share(self, txn: Txn) -> bool:
        """Traffic beyond a customer's share is worth little and is not marked: an own count of it, this
        instance's part of the quota, tells."""
        quota = self.quotas(txn.customer)
        if not quota or txn.resent:
            return False
        rate = quota / max(1, self.settings.get("group_size", 1))
        return not self.shares.take(txn.customer, rate, max(BURST, 2 * rate), self.now)

    def _quota_in_settings(self, customer: int) -> float | None:
        return self.settings.get(f"customers.{customer}.quota_per_s")

    def _date_back(self, txn: Txn, patience: int) -> None:
        """A later try's age is not told. A try mostly gets its caller's usual patience, found by majority
        vote; one that gets another gets all that its client has left, and that tells its age."""
        usual, expiry = self.callers.usual(txn.caller, txn.product, patience, SAME_PATIENCE), txn.terms.expiry
        if abs(patience - usual) >= SAME_PATIENCE or usual > expiry - SAME_PATIENCE:
            txn.sla_due -= max(0, expiry - patience)

    def _ranked(self, running: bool = False) -> list[tuple[float, int, deque[Txn]]]:
        """What a core's time is worth to the site's goal if a line gets it, for lines that are not empty."""
        goal = self.settings.get
        ranked: list[tuple[float, int, deque[Txn]]] = []
        if not any(line for kind in self.products for line in kind.lines):
            return ranked
        works = [k.work() if goal("value_by") == "work" else 1.0 for k in self.products]
        total = (
            sum(k.terms.value * k.asked * work for k, work in zip(self.products, works, strict=True)) or 1.0
        )
        whole = goal("goal.whole", 1.0) + goal("goal.worst_window", 0.0)
        least = min(map(Product.served, self.products)) + 0.02
        # A later try may be past its SLA time already, which its patience need not show.
        factors = (1.0, LATER_TRY, goal("over_share_value", 1.0))
        for kind, work in zip(self.products, works, strict=True):
            behind = goal("goal.worst_product", 0.0) / max(1.0, kind.asked) if kind.served() <= least else 0.0
            if not (running and self._crowded_below(kind)):
                ranked += [
                    (
                        (whole * line[0].terms.value * work / total + behind) / kind.work() * factor,
                        -3 * kind.number - i,
                        line,
                    )
                    for i, (line, factor) in enumerate(zip(kind.lines, factors, strict=True))
                    if line
                ]
        return ranked

    def _crowded_below(self, kind: Product) -> bool:
        """The bound of call waiters, for those that can't go on without: what the last calls let through."""
        waiting = self.books.in_runs() - self.books.on_cores()
        if not kind.terms.calls or kind.terms.skip_value > 0 or waiting < max(2, self.cores // 2):
            return False
        return (
            waiting >= CALL_WAITERS * kind.terms.sla_time * self.calls.through(self.now) / self.calls.window
        )

    def _full_elsewhere(self, txn: Txn) -> bool:
        """Later tries seen here tell that others decline too. Without them, idle servers may stand by."""
        shown = not self.settings.get("clients.marks_resent") or self.later > ALL_FULL * self.tries
        return shown and (txn.resent or self.welcome < TURN_ALL)

    def _loss(self, txn: Txn) -> float:
        return 0.0 if txn.left_out else txn.terms.value * (1 - txn.terms.skip_value)

    def _prior_ran(self, txn: Txn) -> bool:
        while (p := txn.prior) and (p.heir or (p.repeat and not p.ran and p.stage == Stage.OVER)):
            txn.prior = p.heir or p.prior  # against a dead repeat between this one and the run of both
        return txn.repeat and (txn.prior is None or txn.prior.ran)

    # ---- moves

    def _park(self, txn: Txn) -> None:
        self.books.move(txn, Stage.PARKED, self.now)
        kind = self.products[txn.product]
        if txn.terms.skip_value > 0 and txn.calls_made + txn.left_out >= len(kind.ladder) - 1 < MAX_RUNGS:
            kind.ladder.append(Approach())
        self.parked.append(txn)

    def _over(self, txn: Txn) -> None:
        if txn.stage == Stage.CALLING:
            self.calls.end(txn.ref, self.now, left_behind=True)
        self.books.move(txn, Stage.OVER, self.now)
        txn.answered, txn.prior = True, None if txn.ran else txn.prior
