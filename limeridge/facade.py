"""Adapts the brain's pull interface to the network code: `submit` waits until a txn may run or has its final
answer, `report` passes on how a run or call went and returns the next step, `tick` advances time.

It owns the single Brain of the instance, the open txns, the attempts and results kept under idempotency keys,
and the check that each txn gets exactly one final answer. It must never decide (that is the brain's task),
open a socket or read the wall clock: time comes from the clock that it is given, and its callers see only
steps and answers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from twisted.internet.defer import Deferred, succeed

from limeridge.attempts import Attempt, AttemptTable, request_fingerprint
from limeridge.brain import Brain, Quotas
from limeridge.interface import Decision, Outcome, Stage, Txn, Verb
from limeridge.words import GAUGES

MAX_RESULTS_BYTES = 8 << 20  # results kept for repeats; the oldest are evicted first, their keys stay
MAX_KEPT_BYTES = 24 << 20  # keys and results, if the host does not say
OVERDUE_MARGIN_US = 20_000  # after the due time the guard answers itself, in case a defect lost the txn
DEFECT_RETRY_DELAY_S = 0.05  # delay after a defect in the brain until its decisions are pulled again


class NextAction(Enum):
    """What a txn's handler does next."""

    RUN = "run"
    CALL = "call"  # within `time_out_us`
    SKIP_CALL = "skip the call"
    WAIT = "wait for the next event of the run"
    DONE = "done"


@dataclass(slots=True, frozen=True)
class Step:
    action: NextAction
    time_out_us: int = 0


class EndStatus(Enum):
    """How a run or a call ended, named after what is proved about its effects."""

    OK = "ok"
    FAILED = "failed"  # it ran or may have run
    FULL = "full"  # refused before it began
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"  # no connection was made: nothing ran
    BROKEN = "broken"  # the connection broke: it may have run or not
    STOPPED = "stopped"
    NEVER_BEGAN = "never began"


OUTCOMES = {
    EndStatus.OK: Outcome.OK,
    EndStatus.FAILED: Outcome.ERROR,
    EndStatus.FULL: Outcome.FULL,
    EndStatus.TIMED_OUT: Outcome.TIMEOUT,
    EndStatus.UNREACHED: Outcome.CONNECT_FAILED,
    EndStatus.BROKEN: Outcome.RESET,
    EndStatus.STOPPED: Outcome.CANCELLED,
    EndStatus.NEVER_BEGAN: Outcome.NOT_STARTED,
}


@dataclass(slots=True, frozen=True)
class RunEnded:
    """A run ended; `doc` is its result, unchanged."""

    end: EndStatus
    doc: str = ""


@dataclass(slots=True, frozen=True)
class RunBlocked:
    """A run waits for a call with this body, requested in the notice numbered `cursor`."""

    cursor: int
    body: bytes


@dataclass(slots=True, frozen=True)
class CallEnded:
    """A call ended."""

    end: EndStatus
    spent_us: int
    body: bytes = b""


RunEvent = RunEnded | RunBlocked | CallEnded


class AnswerKind(Enum):
    SETTLED = "settled"
    DECLINED = "declined"
    VOIDED = "voided"


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer of a txn."""

    kind: AnswerKind
    doc: str = ""
    retry_after_us: int = 0  # time before the caller should try again
    no_failover: bool = False  # the caller should not try other instances either
    why: str = ""


@dataclass(slots=True, eq=False)
class Request:
    """A txn as received; `age_us` and `remaining_wait_us` were measured when it was read."""

    ref: str
    product_name: str  # as callers and the kernel use it
    product: int
    customer: int
    caller: int
    age_us: int  # since it arrived at the machine
    remaining_wait_us: int  # how long the caller still waits
    size_kb: float
    doc: str  # body, unchanged
    answer: Callable[[Answer], None]
    resent: bool = False
    expected_work_us: int = 0  # on a standard core; 0 if unknown
    key: str = ""  # idempotency key; empty if it has none


@dataclass(slots=True, eq=False)
class Entry:
    """The facade's record of an open txn."""

    request: Request
    txn: Txn
    pending: Deferred[Step] | None = None
    step: Step | None = None  # decided but not delivered to the handler yet
    answered: bool = False
    attempt: Attempt | None = None  # under its key, if it has one
    prior: Attempt | None = None  # the earlier attempt whose result this repeat gets


class LogSink(Protocol):
    def event(self, event: str, code: str = "", **fields: object) -> None: ...
    def fault(self, event: str, error: object, code: str = "exception", **fields: object) -> None: ...


class Facade:
    """Calls `wake` when the brain needs a tick; the owner then calls `tick` soon, with gauges if
    available."""

    def __init__(
        self,
        settings: Mapping[str, Any],
        seed: int,
        clock: Any,
        log: LogSink,
        wake: Callable[[], None],
        max_kept_bytes: int = MAX_KEPT_BYTES,
        quotas: Quotas | None = None,
    ) -> None:
        self.settings, self.seed, self.clock, self.log, self.wake = dict(settings), seed, clock, log, wake
        self.gauges = [GAUGES.get(name, name) for name in str(settings.get("instance.gauges", "")).split(",")]
        self.healthy = False
        self.value: float | None = None  # free capacity, as published to callers
        self.idle_limit = int(settings.get("instance.idle", 0))  # microseconds
        self.call_limit: int | None = None  # limit of open calls; None: as in the settings
        self.last_ref = 0
        self.open: dict[int, Entry] = {}
        self.by_ref: dict[str, Entry] = {}
        self.attempts = AttemptTable(max_kept_bytes, MAX_RESULTS_BYTES, self.max_read_delay_us)
        self.timer: Any = None  # for the wake-up that the brain asked for last
        self.applying_decisions = False
        self.decision_timer: Any = None  # pending call of `_apply_decisions`
        self.changed_entries: deque[Entry] = deque()  # their handlers may have a step to take
        # Repeats that wait for the run of a txn, by its ref and by their own, and those whose run has ended.
        self.waiting_repeats: dict[int, dict[int, Entry]] = {}
        self.ready_repeats: list[Entry] = []
        self.max_read_delays_us: dict[int, int] = {}  # by product
        self._update_max_read_delays()
        self.brain = Brain(self.settings, seed, self.now(), quotas)
        self._apply_decisions()

    def now(self) -> int:
        return int(self.clock.seconds() * 1_000_000)

    # ---- interface for the network code

    def handle_kernel_boot(self, cold: bool, ago_us: int) -> None:
        """The kernel started `ago_us` ago; its speed ramps up from then, not from the start of this
        process."""
        self._notify_brain(self.brain.on_boot, cold, self.now() - ago_us)
        self._apply_decisions()

    def submit(self, request: Request) -> Deferred[Step]:
        """Waits until the txn may run (RUN) or is finished (DONE); in that case its answer has been sent."""
        now = self.now()
        fingerprint = request_fingerprint(request.customer, request.doc) if request.key else b""
        known = self._known_attempts(request, now)
        prior = known[0] if known else None
        if any(each.fingerprint != fingerprint for each in known):
            request.answer(self._key_conflict_answer())
            return succeed(Step(NextAction.DONE))
        if request.key and not (prior and prior.txn.ran) and not self.attempts.has_room(request.key):
            self.log.event("turned-away", "kept-keys")
            request.answer(Answer(AnswerKind.DECLINED, why="no memory"))
            return succeed(Step(NextAction.DONE))
        self.last_ref += 1
        try:
            txn = self.brain.on_txn_arrived(
                now,
                self.last_ref,
                request.product,
                customer=request.customer,
                caller=request.caller,
                max_wait=request.remaining_wait_us,
                age=request.age_us,
                size_kb=request.size_kb,
                resent=request.resent,
                prior=prior.txn if prior else None,
                repeat=prior is not None or self._is_read_too_late(request),
                effort=request.expected_work_us,
            )
        except Exception as error:
            self.log.fault("txn-fault", error, ref=request.ref)
            request.answer(Answer(AnswerKind.VOIDED, why="defect"))
            return succeed(Step(NextAction.DONE))
        entry = Entry(request, txn)
        self.open[self.last_ref] = self.by_ref[request.ref] = entry
        if request.key:
            entry.attempt = self.attempts.add(txn, request.key, fingerprint, now)
        return self._await_step(entry)

    def rejection(self, request: Request, why: str) -> Answer:
        """Returns the answer to a request that can't be taken up, for the reason `why`. A decline says that
        no attempt under its key ran, so a repeat of one that ran gets the result that is kept, or fails."""
        known = self._known_attempts(request, self.now())
        if not known:
            kind = AnswerKind.VOIDED if self._is_read_too_late(request) else AnswerKind.DECLINED
            return Answer(kind, why=why)
        fingerprint = request_fingerprint(request.customer, request.doc)
        if any(each.fingerprint != fingerprint for each in known):
            return self._key_conflict_answer()
        prior = known[0]
        if not prior.txn.ran:
            return Answer(AnswerKind.DECLINED, why=why)
        if prior.result is None:
            return Answer(AnswerKind.VOIDED, why=why)
        return Answer(AnswerKind.SETTLED, doc=prior.result)

    def report(self, request: Request, event: RunEvent) -> Deferred[Step]:
        """Passes on an event of a run or call and waits for the next step, which is WAIT if another event has
        to come first."""
        entry = self.by_ref.get(request.ref)
        if entry is None or entry.request is not request:
            return succeed(Step(NextAction.DONE))
        now, txn = self.now(), entry.txn
        try:
            if isinstance(event, RunBlocked):
                self.brain.on_call_needed(now, txn)
            elif isinstance(event, CallEnded):
                self.brain.on_call_ended(now, txn, OUTCOMES[event.end], event.spent_us)
            else:
                self._end_run(entry, event, now)
        except Exception as error:
            self.log.fault("txn-fault", error, ref=request.ref)
            self._send_answer(entry, Answer(AnswerKind.VOIDED, why="defect"))
        return self._await_step(entry)

    def interrupt(self, request: Request) -> None:
        """Ends a pending `report` with WAIT, because another event of the run arrived that the handler must
        read."""
        entry = self.by_ref.get(request.ref)
        if entry is not None and entry.pending is not None and entry.txn.ran and entry.step is None:
            entry.step = Step(NextAction.WAIT)
            self._deliver_step(entry)

    def cancel_answer(self, request: Request) -> None:
        """The caller no longer waits (it revoked the txn or disconnected): no answer will be sent."""
        entry = self.by_ref.get(request.ref)
        if entry is not None and not entry.answered and entry.request is request:
            entry.answered = True
            self._notify_brain(self.brain.on_caller_gone, entry.txn)
            self._close_if_over(entry)
            self.changed_entries.append(entry)
            self._schedule_decisions()

    def abort(self, request: Request, why: str) -> Step:
        """Answers the txn as voided after a defect, whatever its state. Returns WAIT if its run has not ended
        yet."""
        entry = self.by_ref.get(request.ref)
        if entry is None or entry.request is not request:
            return Step(NextAction.DONE)
        self._send_answer(entry, Answer(AnswerKind.VOIDED, why=why))
        self._notify_brain(self.brain.on_caller_gone, entry.txn)
        self._close_if_over(entry)
        self.changed_entries.append(entry)
        self._apply_decisions()
        return Step(NextAction.DONE if entry.txn.stage is Stage.OVER else NextAction.WAIT)

    def tick(self, now: int, gauges: Sequence[float] | None) -> None:
        """Advances time; `gauges` are in the order of the settings, None if they were not available."""
        values = dict(zip(self.gauges, gauges, strict=False)) if gauges else {}
        self._notify_brain(self.brain.on_wake, 1, values, now=now)
        self._apply_decisions()

    def set_call_limit(self, calls: int) -> None:
        """Sets how many calls may be open from now on; the instance's share can change at run time."""
        if calls != self.call_limit:
            self.call_limit = calls
            self._notify_brain(self.brain.set_call_share, calls)

    def revise(self, settings: Mapping[str, Any], quotas: Quotas | None) -> None:
        """Applies settings of another revision, with the same classes by number, and its tenants' quotas to
        later txns. An exception of the brain is passed on and leaves everything unchanged."""
        idle = int(settings.get("instance.idle", 0))
        self.brain.update_settings(self.now(), dict(settings), quotas)
        if idle != int(self.settings.get("instance.idle", 0)):
            self.idle_limit = idle
        self.settings = dict(settings)
        self._update_max_read_delays()

    def _update_max_read_delays(self) -> None:
        """Keeps the maximum over all revisions: a txn that arrived under an earlier one may still be read as
        late as that one allows."""
        for product in range(int(self.settings.get("products.count", 0))):
            expiry = int(self.settings.get(f"products.{product}.expiry", 0))
            self.max_read_delays_us[product] = max(self.max_read_delay_us(product), expiry)

    def max_read_delay_us(self, product: int) -> int:
        """Returns the longest time from the arrival of a txn of this product until it is read."""
        return self.max_read_delays_us.get(product, 0)

    def guard(self) -> None:
        """Answers txns that the brain has lost, once they are past their due time. Ticks the brain first,
        since after a pause of the machine this may run before the brain's own wake-up."""
        now = self.now()
        self.attempts.expire(now)
        overdue = [e for e in self.open.values() if not e.answered and e.txn.due < now - OVERDUE_MARGIN_US]
        if overdue:
            self.tick(now, None)
        for entry in [e for e in overdue if not e.answered]:
            self.log.event("overdue", "guard", ref=entry.request.ref)
            self.abort(entry.request, "overdue")

    def leave(self, budget_us: int, ago_us: int = 0) -> None:
        """Starts the drain: the notice to leave came `ago_us` ago, and the process is killed `budget_us`
        after the notice."""
        self._notify_brain(self.brain.start_drain, budget_us, ago_us)
        self._apply_decisions()

    def owed(self) -> int:
        """Returns the number of txns without a final answer whose callers still wait."""
        return sum(not entry.answered for entry in self.open.values())

    def _notify_brain(self, method: Callable[..., object], *args: object, now: int | None = None) -> None:
        """Calls an input method of the brain and logs its exceptions, which must not reach the caller."""
        try:
            method(self.now() if now is None else now, *args)
        except Exception as error:
            self.log.fault("brain-fault", error)

    # ---- decisions of the brain

    def _await_step(self, entry: Entry) -> Deferred[Step]:
        pending: Deferred[Step] = Deferred()
        entry.pending = pending
        self.changed_entries.append(entry)
        self._schedule_decisions()
        return pending

    def _schedule_decisions(self) -> None:
        """Pulls decisions once for all that is read in one iteration of the event loop: a pull looks at all
        queues and calls, so one for each event would cost more the more traffic there is."""
        if self.decision_timer is None:
            self.decision_timer = self.clock.callLater(0, self._apply_decisions)

    def _apply_decisions(self) -> None:
        """Pulls and applies decisions until the brain has none left, and only then resumes handlers: none may
        call into the brain while decisions are pulled."""
        if self.applying_decisions:
            return
        if self.decision_timer is not None:
            if self.decision_timer.active():
                self.decision_timer.cancel()
            self.decision_timer = None
        self.applying_decisions = True
        try:
            while True:
                while (decision := self.brain.decide()) is not None:
                    self._apply_decision(decision)
                if not self.ready_repeats:
                    break
                self._end_repeat(self.ready_repeats.pop())
        except Exception as error:
            self.log.fault("brain-fault", error)
            self._set_timer(DEFECT_RETRY_DELAY_S)
        finally:
            self.applying_decisions = False
        while self.changed_entries:
            self._deliver_step(self.changed_entries.popleft())

    def _deliver_step(self, entry: Entry) -> None:
        """Resumes the txn's handler if its next step is known."""
        self._close_if_over(entry)
        stage = entry.txn.stage
        if entry.pending is None:
            return
        if stage is Stage.OVER:
            step = Step(NextAction.DONE)
        elif entry.step is not None:
            step = entry.step
        elif stage in (Stage.HELD, Stage.JOINED) or (stage is Stage.PARKED and not entry.answered):
            return
        else:
            step = Step(NextAction.WAIT)
        entry.step = None
        pending, entry.pending = entry.pending, None
        pending.callback(step)

    def _close_if_over(self, entry: Entry) -> None:
        """Removes the entry of a txn that is over from the tables. A key is kept if its run was started."""
        txn = entry.txn
        if txn.stage is not Stage.OVER or self.open.pop(txn.ref, None) is None:
            return
        if self.by_ref.get(entry.request.ref) is entry:
            del self.by_ref[entry.request.ref]
        if entry.attempt is not None:
            self.attempts.close(entry.attempt)
        if entry.prior is not None:
            self.waiting_repeats.get(entry.prior.txn.ref, {}).pop(txn.ref, None)

    def _apply_decision(self, decision: Decision) -> None:
        entry = None if decision.txn is None else self.open.get(decision.txn.ref)
        verb = decision.verb
        if verb is Verb.WAKE:
            self._set_timer(max(0, decision.us - self.now()) / 1_000_000)
        elif verb is Verb.FITNESS:
            self.healthy = decision.flag
        elif verb is Verb.PUBLISH:
            self.value = decision.level
        elif verb is Verb.IDLE_LIMIT:
            self.idle_limit = decision.us or int(self.settings.get("instance.idle", 0))
        elif verb is Verb.NOTE:
            self.log.event("note", text=decision.text)
        elif entry is None:
            return
        elif verb is Verb.DECLINE:
            self._send_answer(
                entry, Answer(AnswerKind.DECLINED, retry_after_us=decision.us, no_failover=decision.flag)
            )
        elif verb is Verb.VOID:
            self._send_answer(entry, Answer(AnswerKind.VOIDED, why="given up"))
        elif verb is Verb.RUN:
            entry.step = Step(NextAction.RUN)
            if entry.attempt is not None:
                self.attempts.start(entry.attempt)
        elif verb is Verb.CALL:
            entry.step = Step(NextAction.CALL, decision.us)
        elif verb is Verb.SKIP:
            entry.step = Step(NextAction.SKIP_CALL)
        elif verb is Verb.MEMO and entry.attempt is not None:
            entry.attempt.kept_until = self.now() + decision.us
        elif verb is Verb.FORGET and entry.attempt is not None:
            entry.attempt.kept_until = 0
        elif verb is Verb.ATTACH:
            self._add_repeat(entry)
        # HALT is ignored: the kernel's protocol has no such command, and the run frees its place when it
        # ends.
        if entry is not None:
            self.changed_entries.append(entry)

    def _send_answer(self, entry: Entry, answer: Answer) -> None:
        if entry.answered:
            return
        entry.answered = True
        try:
            entry.request.answer(answer)
        except Exception as error:
            self.log.fault("answer-fault", error, ref=entry.request.ref)

    def _end_run(self, entry: Entry, event: RunEnded, now: int) -> None:
        attempt = entry.attempt
        if event.end is EndStatus.OK:
            self._send_answer(entry, Answer(AnswerKind.SETTLED, doc=event.doc))
            if attempt is not None:
                self.attempts.keep_result(attempt, event.doc)
        else:
            self._send_answer(entry, Answer(AnswerKind.VOIDED, why=f"run {event.end.value}"))
            if event.end is EndStatus.NEVER_BEGAN and attempt is not None:
                self.attempts.forget(attempt)
        self.ready_repeats += self.waiting_repeats.pop(entry.txn.ref, {}).values()
        self.brain.on_run_ended(now, entry.txn, OUTCOMES[event.end], 0)
        self._close_if_over(entry)

    # ---- idempotency keys, repeats and results

    def _known_attempts(self, request: Request, now: int) -> list[Attempt]:
        """Returns the attempts that the request repeats, the one whose result it may get first. Expiry is
        judged at the time the request arrived, not at the time it is read."""
        if not request.key:
            return []
        return self.attempts.find(request.product, request.key, now - request.age_us)

    def _is_read_too_late(self, request: Request) -> bool:
        """Whether a run under the request's key may have been forgotten though the request arrived within its
        window: it was read later than any client waits."""
        return bool(request.key) and request.age_us > self.max_read_delay_us(request.product)

    def _key_conflict_answer(self) -> Answer:
        """The answer to a request whose key belongs to one with another body or tenant. It is no repeat then,
        so it must not get that one's result, and it must not run under a key that is taken."""
        self.log.event("bad-message", "key of another request")
        return Answer(AnswerKind.VOIDED, why="key of another request")

    def _add_repeat(self, entry: Entry) -> None:
        """Attaches a repeat to the attempt that the brain names: since its submission, the place of one that
        never ran may have gone to another. A repeat of a repeat waits for the same run as that one."""
        prior = entry.txn.prior
        joined = None if prior is None else self.open.get(prior.ref)
        if joined is not None and joined.prior is not None:
            entry.prior = joined.prior
        elif prior is not None:
            entry.prior = self.attempts.get(prior, entry.request.key)
        if entry.prior is not None and entry.prior.txn.stage is not Stage.OVER:
            self.waiting_repeats.setdefault(entry.prior.txn.ref, {})[entry.txn.ref] = entry
        else:
            self.ready_repeats.append(entry)

    def _end_repeat(self, entry: Entry) -> None:
        """Ends a repeat with the result of the txn that it repeats."""
        if entry.txn.stage is not Stage.OVER:
            result = entry.prior.result if entry.prior is not None else None
            self._end_run(
                entry,
                RunEnded(EndStatus.FAILED) if result is None else RunEnded(EndStatus.OK, result),
                self.now(),
            )
            self.changed_entries.append(entry)

    # ---- time

    def _set_timer(self, delay: float) -> None:
        self._cancel_timer()
        self.timer = self.clock.callLater(delay, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.wake()

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
