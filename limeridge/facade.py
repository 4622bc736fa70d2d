"""The brain in blocking style: `pick` waits until a txn may run or has its final answer, `report` tells how
a run or call went and gives the next step, `tick` moves time.

It owns the one Brain of the instance, the txns that are open, the keys and results kept for repeats, and the
guard that a txn gets one final answer. It must never decide (that is the brain's), open a socket or read the
Unix clock: its time is the clock that it is given, and whoever calls it sees steps and answers alone.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from twisted.internet.defer import Deferred, succeed

from limeridge.brain import Brain, Quotas
from limeridge.interface import Decision, Outcome, Stage, Txn, Verb
from limeridge.words import GAUGES

RESULTS_KEPT = 8 << 20  # bytes of results kept for repeats at the most; the oldest go first, their keys stay
RESULT_TAKES = 2_000  # bytes that a kept txn takes besides its result
OVERDUE = 20_000  # past the due time the guard answers what the brain did not, against a defect there
RECOVER = 0.05  # seconds after a defect until the brain is asked again


class Do(Enum):
    """What a txn's handler does next."""

    RUN = "run"
    CALL = "call"  # with `time_out` in microseconds
    GO_ON = "go on without the call"
    WAIT = "wait for news of the run"
    DONE = "done"


@dataclass(slots=True, frozen=True)
class Step:
    do: Do
    time_out: int = 0


class End(Enum):
    """How a run or a call went, in words of what it proves."""

    OK = "ok"
    FAILED = "failed"  # it ran, or may have
    FULL = "full"  # turned away unseen
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"  # no connection: nothing ran
    BROKEN = "broken"  # proves nothing
    STOPPED = "stopped"
    NEVER_BEGAN = "never began"


OUTCOMES = {
    End.OK: Outcome.OK,
    End.FAILED: Outcome.ERROR,
    End.FULL: Outcome.FULL,
    End.TIMED_OUT: Outcome.TIMEOUT,
    End.UNREACHED: Outcome.CONNECT_FAILED,
    End.BROKEN: Outcome.RESET,
    End.STOPPED: Outcome.CANCELLED,
    End.NEVER_BEGAN: Outcome.NOT_STARTED,
}


@dataclass(slots=True, frozen=True)
class Ended:
    """A run is over; `doc` is its result as it came."""

    end: End
    doc: str = ""


@dataclass(slots=True, frozen=True)
class Blocked:
    """A run waits for the call with this body, asked for in notice `cursor`."""

    cursor: int
    body: bytes


@dataclass(slots=True, frozen=True)
class Called:
    """A call is over after `spent` microseconds."""

    end: End
    spent: int
    body: bytes = b""


News = Ended | Blocked | Called


class Kind(Enum):
    SETTLED = "settled"
    DECLINED = "declined"
    VOIDED = "voided"


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer of a txn."""

    kind: Kind
    doc: str = ""
    come_back: int = 0  # microseconds to stay away
    not_elsewhere: bool = False
    why: str = ""


@dataclass(slots=True, eq=False)
class Intake:
    """A txn as it was read: `age` and `patience` are microseconds at the reading, `doc` stays as it came."""

    ref: str
    entry: str  # the product's name out there
    product: int
    customer: int
    caller: int
    age: int
    patience: int
    size_kb: float
    doc: str
    answer: Callable[[Answer], None]
    resent: bool = False
    effort: int = 0
    key: str = ""


@dataclass(slots=True, eq=False)
class Entry:
    """What the facade holds of an open or remembered txn."""

    intake: Intake
    txn: Txn
    pending: Deferred[Step] | None = None
    step: Step | None = None  # decided, not handed out yet
    answered: bool = False
    joined: list[Entry] = field(default_factory=list)  # repeats that wait for its end
    prior: Entry | None = None  # the try whose result this one shares
    result: str | None = None


class LogSink(Protocol):
    def event(self, event: str, code: str = "", **fields: object) -> None: ...
    def fault(self, event: str, trouble: object, code: str = "exception", **fields: object) -> None: ...


class Facade:
    """`wake` is called when the brain wants a tick; who gets it calls `tick` soon, with gauges if it can."""

    def __init__(
        self,
        plain: Mapping[str, Any],
        seed: int,
        clock: Any,
        log: LogSink,
        wake: Callable[[], None],
        results_most: int = RESULTS_KEPT,
        quotas: Quotas | None = None,
    ) -> None:
        self.plain, self.seed, self.clock, self.log, self.wake = dict(plain), seed, clock, log, wake
        self.gauges = [GAUGES.get(name, name) for name in str(plain.get("instance.gauges", "")).split(",")]
        self.healthy = False
        self.value: float | None = None
        self.idle_limit = int(plain.get("instance.idle", 0))
        self.allowed: int | None = None  # calls in hand, as last told; None: the settings' own share
        self.serial = 0
        self.open: dict[int, Entry] = {}
        self.by_ref: dict[str, Entry] = {}
        self.keys: dict[tuple[int, str], list[tuple[Entry, int]]] = {}  # tries of a key, and until when
        self.keyed: dict[int, Entry] = {}
        self.prune_at = 256
        self.results: OrderedDict[Entry, int] = OrderedDict()
        self.results_size, self.results_most = 0, results_most
        self.timer: Any = None
        self.pulling = False
        self.soon: Any = None  # the timer of the next asking
        self.touched: deque[Entry] = deque()
        self.ready_joins: list[Entry] = []
        self.skews: dict[int, int] = {}  # by product, the longest that its txns may be read late
        self._note_skews()
        self.brain = Brain(self.plain, seed, self.now(), quotas)
        self._pull()

    def now(self) -> int:
        return int(self.clock.seconds() * 1_000_000)

    # ---- what the network code calls

    def boot(self, cold: bool, ago: int) -> None:
        """The kernel came up `ago` microseconds ago: its speed grows from then on, not from our own start."""
        self._tell(self.brain.on_boot, cold, self.now() - ago)
        self._pull()

    def pick(self, intake: Intake) -> Deferred[Step]:
        """Waits until the txn may run (RUN) or needs nothing more (DONE): its answer went out by then."""
        now = self.now()
        if self._misused(intake, now):
            self.log.event("bad-message", "key of another request")
            intake.answer(Answer(Kind.VOIDED, why="key of another request"))
            return succeed(Step(Do.DONE))
        self.serial += 1
        prior = self._prior(intake, now)
        try:
            txn = self.brain.on_txn_arrived(
                now,
                self.serial,
                intake.product,
                customer=intake.customer,
                caller=intake.caller,
                max_wait=intake.patience,
                age=intake.age,
                size_kb=intake.size_kb,
                resent=intake.resent,
                prior=prior.txn if prior else None,
                repeat=prior is not None,
                effort=intake.effort,
            )
        except Exception as trouble:
            self.log.fault("txn-fault", trouble, ref=intake.ref)
            intake.answer(Answer(Kind.VOIDED, why="defect"))
            return succeed(Step(Do.DONE))
        entry = Entry(intake, txn)
        self.open[self.serial] = self.by_ref[intake.ref] = entry
        if intake.key:
            self._remember(entry, now)
        return self._hand_out(entry)

    def report(self, intake: Intake, news: News) -> Deferred[Step]:
        """How a run or a call went; waits for the next step, WAIT where none is due before more news."""
        entry = self.by_ref.get(intake.ref)
        if entry is None or entry.intake is not intake:
            return succeed(Step(Do.DONE))
        now, txn = self.now(), entry.txn
        try:
            if isinstance(news, Blocked):
                self.brain.on_call_needed(now, txn)
            elif isinstance(news, Called):
                self.brain.on_call_ended(now, txn, OUTCOMES[news.end], news.spent)
            else:
                self._end(entry, news, now)
        except Exception as trouble:
            self.log.fault("txn-fault", trouble, ref=intake.ref)
            self._final(entry, Answer(Kind.VOIDED, why="defect"))
        return self._hand_out(entry)

    def interrupt(self, intake: Intake) -> None:
        """More news of a run came while `report` still waits: it lets go, the handler must read the news."""
        entry = self.by_ref.get(intake.ref)
        if entry is not None and entry.pending is not None and entry.txn.ran and entry.step is None:
            entry.step = Step(Do.WAIT)
            self._hand_over(entry)

    def gone(self, intake: Intake) -> None:
        """The caller waits no more: no answer is owed."""
        entry = self.by_ref.get(intake.ref)
        if entry is not None and not entry.answered and entry.intake is intake:
            entry.answered = True
            self._tell(self.brain.on_caller_gone, entry.txn)
            self.touched.append(entry)
            self._pull_soon()

    def give_up(self, intake: Intake, why: str) -> Step:
        """A defect was met: the txn is answered as voided, whatever else is known of it. WAIT where its run
        is still to end."""
        entry = self.by_ref.get(intake.ref)
        if entry is None or entry.intake is not intake:
            return Step(Do.DONE)
        self._final(entry, Answer(Kind.VOIDED, why=why))
        self._tell(self.brain.on_caller_gone, entry.txn)
        self.touched.append(entry)
        self._pull()
        return Step(Do.DONE if entry.txn.stage is Stage.OVER else Do.WAIT)

    def tick(self, now: int, gauges: Sequence[float] | None) -> None:
        """Moves time; `gauges` in the settings' order, None where none could be had."""
        told = dict(zip(self.gauges, gauges, strict=False)) if gauges else {}
        self._tell(self.brain.on_wake, 1, told, now=now)
        self._pull()

    def allow(self, calls: int) -> None:
        """Calls that may be in hand from now on, where the instance's share changes while it runs."""
        if calls != self.allowed:
            self.allowed = calls
            self._tell(self.brain.set_call_share, calls)

    def revise(self, plain: Mapping[str, Any], quotas: Quotas | None) -> None:
        """Settings of another revision, with the same classes by number, and the quotas of its tenants: for
        what comes from now on. Raises what the brain raises, and then nothing is changed."""
        idle = int(plain.get("instance.idle", 0))
        self.brain.update_settings(self.now(), dict(plain), quotas)
        if idle != int(self.plain.get("instance.idle", 0)):
            self.idle_limit = idle
        self.plain = dict(plain)
        self._note_skews()

    def _note_skews(self) -> None:
        """What came under an earlier revision may still be read as late as that one allows."""
        for product in range(int(self.plain.get("products.count", 0))):
            expiry = int(self.plain.get(f"products.{product}.expiry", 0))
            self.skews[product] = max(self.skews.get(product, 0), expiry)

    def guard(self) -> None:
        """Against a txn that the brain forgot: past its due time it is answered from here. The brain is asked
        first; after a pause of the machine this may come before its own wake-up."""
        now = self.now()
        late = [e for e in self.open.values() if not e.answered and e.txn.due < now - OVERDUE]
        if late:
            self.tick(now, None)
        for entry in [e for e in late if not e.answered]:
            self.log.event("overdue", "guard", ref=entry.intake.ref)
            self.give_up(entry.intake, "overdue")

    def leave(self, budget: int, ago: int = 0) -> None:
        """The notice to leave, which came `ago` microseconds ago; the process is killed `budget` microseconds
        after it."""
        self._tell(self.brain.start_drain, budget, ago)
        self._pull()

    def owed(self) -> int:
        """Txns without a final answer whose callers still wait."""
        return sum(not entry.answered for entry in self.open.values())

    def _tell(self, told: Callable[..., object], *what: object, now: int | None = None) -> None:
        """An input to the brain; a defect there must not reach whoever brought it."""
        try:
            told(self.now() if now is None else now, *what)
        except Exception as trouble:
            self.log.fault("brain-fault", trouble)

    # ---- the brain's decisions

    def _hand_out(self, entry: Entry) -> Deferred[Step]:
        waiting: Deferred[Step] = Deferred()
        entry.pending = waiting
        self.touched.append(entry)
        self._pull_soon()
        return waiting

    def _pull_soon(self) -> None:
        """Once for all that is read in one turn of the loop: an asking looks at all lines and calls, and one
        for each event would cost the more the more traffic there is."""
        if self.soon is None:
            self.soon = self.clock.callLater(0, self._pull)

    def _pull(self) -> None:
        """Asks the brain until it has no more to say, then lets handlers go on: none may call into the
        brain while it is being asked."""
        if self.pulling:
            return
        if self.soon is not None:
            if self.soon.active():
                self.soon.cancel()
            self.soon = None
        self.pulling = True
        try:
            while True:
                while (decision := self.brain.decide()) is not None:
                    self._carry_out(decision)
                if not self.ready_joins:
                    break
                self._end_join(self.ready_joins.pop())
        except Exception as trouble:
            self.log.fault("brain-fault", trouble)
            self._arm(RECOVER)
        finally:
            self.pulling = False
        while self.touched:
            self._hand_over(self.touched.popleft())

    def _hand_over(self, entry: Entry) -> None:
        """Fires what a handler waits for, if its txn has come that far."""
        stage = entry.txn.stage
        over = stage is Stage.OVER
        if over:
            self.open.pop(entry.txn.ref, None)
            if self.by_ref.get(entry.intake.ref) is entry:
                del self.by_ref[entry.intake.ref]
        if entry.pending is None:
            return
        if over:
            step = Step(Do.DONE)
        elif entry.step is not None:
            step = entry.step
        elif stage in (Stage.HELD, Stage.JOINED) or (stage is Stage.PARKED and not entry.answered):
            return
        else:
            step = Step(Do.WAIT)
        entry.step = None
        waiting, entry.pending = entry.pending, None
        waiting.callback(step)

    def _carry_out(self, decision: Decision) -> None:
        entry = None if decision.txn is None else self.open.get(decision.txn.ref)
        verb = decision.verb
        if verb is Verb.WAKE:
            self._arm(max(0, decision.us - self.now()) / 1_000_000)
        elif verb is Verb.FITNESS:
            self.healthy = decision.flag
        elif verb is Verb.PUBLISH:
            self.value = decision.level
        elif verb is Verb.IDLE_LIMIT:
            self.idle_limit = decision.us or int(self.plain.get("instance.idle", 0))
        elif verb is Verb.NOTE:
            self.log.event("note", text=decision.text)
        elif entry is None:
            return
        elif verb is Verb.DECLINE:
            self._final(entry, Answer(Kind.DECLINED, come_back=decision.us, not_elsewhere=decision.flag))
        elif verb is Verb.VOID:
            self._final(entry, Answer(Kind.VOIDED, why="given up"))
        elif verb is Verb.RUN:
            entry.step = Step(Do.RUN)
        elif verb is Verb.CALL:
            entry.step = Step(Do.CALL, decision.us)
        elif verb is Verb.SKIP:
            entry.step = Step(Do.GO_ON)
        elif verb is Verb.MEMO:
            self._remember(entry, self.now() + decision.us)
        elif verb is Verb.FORGET:
            self._remember(entry, 0)
        elif verb is Verb.ATTACH:
            self._join(entry)
        # HALT: the kernel's protocol has no such command; the run goes on to its end, which frees its place.
        if entry is not None:
            self.touched.append(entry)

    def _final(self, entry: Entry, answer: Answer) -> None:
        if entry.answered:
            return
        entry.answered = True
        try:
            entry.intake.answer(answer)
        except Exception as trouble:
            self.log.fault("answer-fault", trouble, ref=entry.intake.ref)

    def _end(self, entry: Entry, news: Ended, now: int) -> None:
        if news.end is End.OK:
            self._final(entry, Answer(Kind.SETTLED, doc=news.doc))
            if entry.intake.key:
                self._keep_result(entry, news.doc)
        else:
            self._final(entry, Answer(Kind.VOIDED, why=f"run {news.end.value}"))
            if news.end is End.NEVER_BEGAN and entry.intake.key:
                self._forget(entry)
        self.brain.on_run_ended(now, entry.txn, OUTCOMES[news.end], 0)
        self.ready_joins += entry.joined
        entry.joined = []

    # ---- keys, repeats, results

    def _tries(self, intake: Intake, now: int) -> list[Entry]:
        """All known tries under its key; kept ones count by when this one landed, not by when it is read."""
        if not intake.key:
            return []
        return [
            entry
            for entry, until in self.keys.get((intake.product, intake.key), [])
            if entry.txn.stage is not Stage.OVER or until > now - intake.age
        ]

    def _misused(self, intake: Intake, now: int) -> bool:
        """Whether its key stands for another request, which has another body or tenant: no repeat, so it must
        not get that one's result; under a key that is taken it must not run either."""
        return any(
            (entry.intake.doc, entry.intake.customer) != (intake.doc, intake.customer)
            for entry in self._tries(intake, now)
        )

    def _prior(self, intake: Intake, now: int) -> Entry | None:
        """The try that this one repeats: one that ran first of all, or one that is open here."""
        tries = self._tries(intake, now)
        return next((entry for entry in tries if entry.txn.ran), tries[-1] if tries else None)

    def _remember(self, entry: Entry, until: int) -> None:
        """From the reading on, kept or not: two that are read together must know of each other. What ran
        stays for a while past its time, since txns are not read in the order of their landing."""
        now, key = self.now(), (entry.intake.product, entry.intake.key)
        skew = self.skews.get(entry.intake.product, 0)
        tries = [
            (other, end)
            for other, end in self.keys.get(key, [])
            if other is not entry
            and (other.txn.stage is not Stage.OVER or (other.txn.ran and end + skew > now))
        ]
        self.keys[key] = [*tries, (entry, until)]
        self.keyed[entry.txn.ref] = entry
        if len(self.keyed) > self.prune_at:
            self.keys = {
                key: tries
                for key, tries in self.keys.items()
                if any(other.txn.stage is not Stage.OVER or end + skew > now for other, end in tries)
            }
            self.keyed = {other.txn.ref: other for tries in self.keys.values() for other, _ in tries}
            for old in [old for old in self.results if old.txn.ref not in self.keyed]:
                self.results_size -= self.results.pop(old)
            self.prune_at = 2 * len(self.keyed) + 256

    def _forget(self, entry: Entry) -> None:
        """It never began: its key is free for the request that it belongs to."""
        key = (entry.intake.product, entry.intake.key)
        self.keys[key] = [each for each in self.keys.get(key, []) if each[0] is not entry]

    def _keep_result(self, entry: Entry, doc: str) -> None:
        entry.result = doc
        self.results[entry] = len(doc) + RESULT_TAKES
        self.results_size += len(doc) + RESULT_TAKES
        while self.results_size > self.results_most:
            oldest, size = self.results.popitem(last=False)
            self.results_size -= size
            oldest.result = None  # its repeats are voided from now on: it ran

    def _join(self, entry: Entry) -> None:
        """Which try it repeats is the brain's to say: a dead one's place may have gone to another since."""
        entry.prior = None if entry.txn.prior is None else self.keyed.get(entry.txn.prior.ref)
        if entry.prior is not None and entry.prior.txn.stage is not Stage.OVER:
            entry.prior.joined.append(entry)
        else:
            self.ready_joins.append(entry)

    def _end_join(self, entry: Entry) -> None:
        """A repeat ends with what the txn it joined came to."""
        if entry.txn.stage is not Stage.OVER:
            result = entry.prior.result if entry.prior is not None else None
            self._end(entry, Ended(End.FAILED) if result is None else Ended(End.OK, result), self.now())
            self.touched.append(entry)

    # ---- time

    def _arm(self, delay: float) -> None:
        self._cancel_timer()
        self.timer = self.clock.callLater(delay, self._woke)

    def _woke(self) -> None:
        self.timer = None
        self.wake()

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
