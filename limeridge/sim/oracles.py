"""The rules, judged after every step from what passed on an instance's wires.

It owns a book of its own of each txn, run and call, and the time limits of what is owed. It must never read
an instance's tables or use its code: a defect there must not be able to hide itself. What a rule does not ask
is not judged: a broken rule is a defect, never a matter of taste.
"""

from __future__ import annotations

import base64
import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from limeridge.sim.plan import LINGER, Plan, Product
from limeridge.sim.reactor import Closing
from limeridge.sim.timeline import SECOND
from limeridge.sim.wires import (
    Answered,
    Asked,
    CallEnded,
    CallMade,
    Checked,
    Command,
    Dropped,
    Farewell,
    Garbled,
    LineClosing,
    LineEnded,
    LineMade,
    LinkEnded,
    LinkMade,
    Notice,
    Odd,
    Passed,
    Replied,
    Revoked,
    SenderEnded,
)

MS = 1_000
HEALTH_CHECK_TIMEOUT = 700 * MS  # that a health check may take: a deep one asks the kernel for half a second
MEMORY_COUNTED_AFTER = 100 * MS  # after it was written that a held txn counts
MIN_TIME_FOR_REPEAT = 100 * MS  # left to its due time, with which a repeat must get its key's result
MAX_OPEN_TXNS = 32  # txns open on a connection
RULES = {
    "one-answer": "exactly one final answer a txn",
    "due": "answered by the due time",
    "grace": "nothing runs that arrived after the grace",
    "stop": "all that was read is answered before the stop",
    "twice": "nothing that may have an effect is run twice",
    "call-twice": "no call is repeated that may have had one",
    "unsaid": "a txn that ran is not told as one that never did",
    "result": "a result is its own txn's, unchanged",
    "key-copied": "under a key that stands for another body or tenant nothing is had but an error",
    "key-kept": "the repeat of a keyed request that ended well gets its result",
    "crossed": "a request that crosses its connection's end is answered, or never runs and sees no reset",
    "kept-back": "what ended well is answered with its result",
    "call-limit": "calls in hand within the own share",
    "call-limit-lives": "calls in hand of all lives of an instance together within its share",
    "memory": "memory as it is booked",
    "crowd": "runs on the cores within what is survived",
    "unchanged": "bodies and replies reach the other end as they came",
    "reply": "a reply goes to its own call",
    "cursor": "notices are read on where they were left",
    "left-out": "a call is left out only where it may be",
    "call-kept": "a good reply is used",
    "call-wait": "a call is waited for no longer than it told",
    "form": "what is written is of the protocol",
    "exception": "no exception in any txn's path",
    "guard": "nothing is forgotten until the guard finds it",
    "health": "health checks are answered",
    "livelock": "time goes on",
    "limit": "calls in the ledger's hands within the fleet's limit",
    "known": "after the quiet point all members know each other",
    "in-use": "after the quiet point the limit is dealt out again",
    "datagram": "no datagram is over its bound",
    "heals": "after the quiet point all is served again",
    "left-over": "nothing is left in any table",
}


class RuleViolation(Exception):
    """A rule was broken: its name, the txn if there is one, and what was seen."""

    def __init__(self, rule: str, ref: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}" + (f" (txn {ref})" if ref else ""))
        self.rule, self.ref, self.detail = rule, ref, detail


@dataclass(slots=True, eq=False)
class TxnView:
    """A txn as the wires showed it."""

    request: Asked
    product: Product
    read_at: int
    sent_at: int
    due_at: int
    answer_kind: str = ""
    withdrawn: bool = False
    late_answers: int = 0  # answers after the caller was gone, of which one does no harm
    scheduled_at: int = -1
    scheduled_turn: int = 0
    last_commands: dict[int, str] = field(default_factory=dict)  # the last command for it on each link
    fate: str = ""
    ended_turn: int = -1  # the turn in which its end was read
    result: str = ""
    on_cores: bool = False
    awaited_cursor: int = 0  # of the call that it waits for
    last_call_cursor: int = 0  # the cursor of its last call
    call_body: bytes = b""
    good_reply: bytes | None = None  # a good one that came for this call
    call_repeatable: bool = True  # no call for this cursor can have had an effect
    answered_as_run: bool = False
    read_turn: int = 0  # in which it was read

    def same_request(self, other: TxnView) -> bool:
        """Whether both are of one body and one tenant, as repeats under a key are."""
        return (self.request.doc, self.request.customer) == (other.request.doc, other.request.customer)

    def certainly_held_key_when_read(self, other: TxnView) -> bool:
        """Whether it certainly stood for its key when `other` was read: it was running or had run, within
        its window."""
        return (
            self.fate != "void"
            and self.scheduled_turn < other.read_turn
            and other.read_at < self.sent_at + self.product.window - 5 * MS
        )


@dataclass(slots=True, eq=False)
class OutstandingCall:
    """A call in hand."""

    txn: TxnView
    cursor: int
    begun_at: int
    time_limit_us: int
    replied: bool = False
    replied_at: int = -1


class Oracles:
    """The rules for one life of an instance. `note` hears of each event with its txn, for the trace."""

    def __init__(
        self,
        plan: Plan,
        started_at: int,
        unix_offset: Callable[[], int],
        is_paused: Callable[[], bool],
        record_event: Callable[[str, str], None],
        judged: Counter[str],
        kernel_started_at: int,
        cold: bool,
        earlier_calls: Sequence[
            tuple[int, int]
        ] = (),  # begins and ends of the calls of lives before this one
    ) -> None:
        self.plan, self.started_at, self.unix_offset, self.is_paused, self.record_event = (
            plan,
            started_at,
            unix_offset,
            is_paused,
            record_event,
        )
        self.judged = judged
        self.kernel_started_at, self.cold = kernel_started_at, cold
        self.products = {product.name: product for product in plan.products}
        self.slack = 60 * MS + 4 * plan.quantum
        self.now = started_at
        self.turn = 0  # of the loop, as the world counts
        self.txns: dict[tuple[int, int], TxnView] = {}
        self.txns_by_ref: dict[str, TxnView] = {}
        self.nonconforming_lines: dict[int, bool] = {}  # lines that sent what can't be served
        self.open_txns: dict[int, int] = {}  # txns open on a line
        self.due_queue: list[tuple[int, int, TxnView]] = []
        self.open_health_checks: dict[tuple[int, int], int] = {}
        self.due_serial = 0
        self.resumed_at = -SECOND  # when the machine last went on after a pause
        self.clock_stepped_at = -SECOND  # when its Unix time last stepped
        self.drain_noticed_at: int | None = None
        self.drain_notice_held = False
        self.keyed_runs: dict[tuple[str, str], list[TxnView]] = {}
        self.keyed_successes: dict[tuple[str, str], list[TxnView]] = {}  # ended well, by key
        self.current_link, self.last_cursor = -1, 0
        self.runs_on_cores = 0
        self.next_memory_check = started_at
        self.open_calls: dict[int, OutstandingCall] = {}
        self.ended_calls: deque[tuple[int, int]] = deque()
        self.earlier_calls = tuple(earlier_calls)
        self.process_ended = False
        self.line_has_sent: dict[int, bool] = {}  # open ones of callers: whether it sent a request or a check
        self.closing_lines: set[int] = set()  # lines whose end the instance asked for
        self.evicted_lines: set[int] = set()
        self.unanswerable_refs: set[str] = set()  # requests read behind the instance's own end of the stream

    # ---- the world's own events

    def on_resume(self, now: int) -> None:
        self.resumed_at = now
        if self.drain_noticed_at is not None and self.drain_notice_held:
            self.drain_noticed_at, self.drain_notice_held = now, False

    def on_clock_step(self, now: int) -> None:
        self.clock_stepped_at = now

    def on_drain_notice(self, now: int) -> None:
        if self.drain_noticed_at is None:
            self.drain_noticed_at, self.drain_notice_held = (
                now,
                self.is_paused(),
            )  # in a pause it hears of the notice at its end

    def on_process_exit(self, now: int) -> None:
        """The process ended by itself."""
        self.process_ended = True
        self.judged["stop"] += 1
        for txn in self.txns.values():
            if not txn.answer_kind and not txn.withdrawn:
                raise RuleViolation("stop", txn.request.ref, "read, and not answered when the process ended")

    def on_log_line(self, event: str, code: str, text: str) -> None:
        if "exception" in text and '"trace"' in text:
            raise RuleViolation("exception", "", text[:1_500])
        if event == "overdue":
            raise RuleViolation("guard", "", text[:300])

    def on_time_advance(self, now: int) -> None:
        """Time went on."""
        self.now = now
        due_queue = self.due_queue
        while due_queue and due_queue[0][0] < now:
            _, _, txn = heapq.heappop(due_queue)
            if txn.answer_kind or txn.withdrawn or self.process_ended:
                continue
            if self.is_paused() or now <= self.resumed_at + self.slack:
                self._schedule_due_check(txn, now + self.slack)
                continue
            raise RuleViolation(
                "due", txn.request.ref, f"not answered {(now - txn.due_at) / MS:.0f} ms past its due time"
            )
        if self.open_health_checks and not self.is_paused() and now > self.resumed_at + HEALTH_CHECK_TIMEOUT:
            oldest = next(iter(self.open_health_checks.items()))
            if oldest[1] + HEALTH_CHECK_TIMEOUT < now:
                raise RuleViolation(
                    "health", "", f"a health check not answered for {(now - oldest[1]) / MS:.0f} ms"
                )

    def _schedule_due_check(self, txn: TxnView, at: int) -> None:
        self.due_serial += 1
        heapq.heappush(self.due_queue, (at, self.due_serial, txn))

    # ---- the wires

    def on_event(self, now: int, event: Passed) -> None:
        self.now = now
        match event:
            case Notice():
                self._on_notice(event)
            case Command():
                self._on_command(event)
            case Asked():
                self._on_asked(event)
            case Answered():
                self._on_answered(event)
            case CallMade():
                self._on_call_made(event)
            case Replied():
                self._on_replied(event)
            case CallEnded():
                self._on_call_ended(event)
            case Revoked():
                self._on_revoked(event)
            case Checked():
                self.line_has_sent[event.line] = True
                self.open_health_checks[event.line, event.id] = now
            case LineEnded():
                self._on_line_ended(event)
            case LineMade():
                self.line_has_sent[event.line] = False
            case LineClosing():
                self._on_line_closing(event)
            case Dropped():
                self.unanswerable_refs.add(event.ref)
            case SenderEnded():
                self._on_sender_ended(event)
            case LinkMade():
                self.record_event("link", "")
            case LinkEnded():
                self.record_event("link-end", "")
            case Odd():
                self.nonconforming_lines[event.line] = True
            case Farewell():
                self.record_event("farewell", "")
            case Garbled():
                raise RuleViolation("form", "", f"to {event.role}: {event.data!r}")

    def _on_asked(self, request: Asked) -> None:
        now, product = self.now, self.products[request.product]
        self.line_has_sent[request.line] = True
        if request.ref in self.txns_by_ref or (request.line, request.id) in self.txns:
            self.nonconforming_lines[request.line] = True  # an id or ref used again: no usual caller
            return
        self.open_txns[request.line] = self.open_txns.get(request.line, 0) + 1
        if self.open_txns[request.line] > MAX_OPEN_TXNS:
            self.nonconforming_lines[request.line] = True
        sent_at = request.landed_ms * MS - self.unix_offset()
        time_limit = int(request.patience * MS)
        due = min(now + time_limit, sent_at + time_limit + MS)
        if now - self.clock_stepped_at < 3 * SECOND:  # its age can't be known
            due = now + time_limit
        txn = TxnView(request, product, now, min(sent_at, now), max(due, now), read_turn=self.turn)
        self.txns[request.line, request.id] = self.txns_by_ref[request.ref] = txn
        if self.plan.memory_kb:
            self._check_memory()
        if not self.nonconforming_lines.get(request.line):
            self._schedule_due_check(txn, txn.due_at + self.slack)
        self.judged["due"] += 1
        self.record_event("asked", request.ref)

    def _on_answered(self, answer: Answered) -> None:
        if answer.value is not None and answer.value < 0:
            raise RuleViolation("form", "", f"a value of {answer.value}")
        if answer.kind == "health":
            if self.open_health_checks.pop((answer.line, answer.id or 0), None) is None:
                raise RuleViolation("health", "", "an answer to no health check")
            self.judged["health"] += 1
            return
        txn = self.txns.get((answer.line, answer.id or 0))
        if txn is None:
            if not self.nonconforming_lines.get(answer.line):
                raise RuleViolation("one-answer", "", f"an answer to id {answer.id}, which asked nothing")
            return
        ref = txn.request.ref
        self.judged["one-answer"] += 1
        if txn.answer_kind or (txn.withdrawn and txn.late_answers):
            raise RuleViolation(
                "one-answer", ref, f"{answer.kind} after {txn.answer_kind or 'gone and answered'}"
            )
        if txn.withdrawn:
            txn.late_answers = 1
        txn.answer_kind = answer.kind
        self.open_txns[answer.line] = self.open_txns.get(answer.line, 0) - (not txn.withdrawn)
        self.record_event(answer.kind, ref)
        if answer.come_back < 0 or answer.come_back > 1_000:
            raise RuleViolation("form", ref, f"told to come back after {answer.come_back} ms")
        self._check_key(txn, answer.kind)
        if answer.kind == "settled":
            self._check_result(txn, answer.doc)
        else:
            # What was read in this very turn may stand behind what the answer came from.
            if txn.fate == "ok" and not txn.withdrawn and txn.ended_turn < self.turn:
                raise RuleViolation("kept-back", ref, f"its run ended well, and it was {answer.kind}")
            if answer.kind == "declined" and txn.product.kind != "free":
                self.judged["unsaid"] += 1
                if txn.scheduled_at >= 0 and txn.fate != "void":
                    raise RuleViolation("unsaid", ref, "declined after it was started")

    def _check_result(self, txn: TxnView, doc: str) -> None:
        self.judged["result"] += 1
        if txn.fate == "ok" and doc == txn.result:
            return
        if txn.request.key:
            successes = self.keyed_successes.get((txn.request.product, txn.request.key), ())
            if any(other.result == doc and other.same_request(txn) for other in successes):
                return
            if any(other.result == doc for other in successes):
                raise RuleViolation(
                    "key-copied", txn.request.ref, "settled with the result of another body or tenant"
                )
        raise RuleViolation("result", txn.request.ref, f"settled with {doc[:60]!r}, which no run of it gave")

    def _check_key(self, txn: TxnView, kind: str) -> None:
        """What a key is worth to its own request and to others; by those that certainly held it when this
        one was read."""
        if not txn.request.key or txn.withdrawn or self.now - self.clock_stepped_at < 3 * SECOND:
            return
        holders = [
            other
            for other in self.keyed_runs.get((txn.request.product, txn.request.key), ())
            if other is not txn and other.certainly_held_key_when_read(txn)
        ]
        if any(not other.same_request(txn) for other in holders):
            self.judged["key-copied"] += 1
            if kind != "voided":
                raise RuleViolation(
                    "key-copied", txn.request.ref, f"{kind} under a key that another request holds"
                )
        elif any(other.fate == "ok" and other.ended_turn < txn.read_turn for other in holders):
            if self.drain_noticed_at is not None or txn.due_at < self.now + MIN_TIME_FOR_REPEAT:
                return
            self.judged["key-kept"] += 1
            if kind != "settled":
                raise RuleViolation(
                    "key-kept", txn.request.ref, f"{kind}, and the result of its key was kept"
                )

    def _on_revoked(self, revoked: Revoked) -> None:
        txn = self.txns.get((revoked.line, revoked.id))
        if txn is None and revoked.ref in self.txns_by_ref:
            txn = self.txns_by_ref[revoked.ref]
        if txn is not None and not txn.withdrawn:
            txn.withdrawn = True
            self.open_txns[txn.request.line] = self.open_txns.get(txn.request.line, 0) - (not txn.answer_kind)
            self.record_event("revoke", txn.request.ref)

    def _on_line_ended(self, ended: LineEnded) -> None:
        nonconforming = self.nonconforming_lines.pop(ended.line, False)
        self.open_txns.pop(ended.line, None)
        self.line_has_sent.pop(ended.line, None)
        for key in [key for key in self.open_health_checks if key[0] == ended.line]:
            del self.open_health_checks[key]
        for key in [key for key in self.txns if key[0] == ended.line]:
            txn = self.txns.pop(key)
            if txn.answer_kind or txn.withdrawn:
                continue
            self.judged["one-answer"] += 1
            if ended.by_us and not nonconforming and not ended.stalled:
                raise RuleViolation(
                    "one-answer", txn.request.ref, "its connection was closed without an answer"
                )
            txn.withdrawn = True
            self.record_event("gone", txn.request.ref)

    def _on_line_closing(self, closing: LineClosing) -> None:
        self.closing_lines.add(closing.line)
        silent_lines = sum(not has_sent for has_sent in self.line_has_sent.values())
        min_capacity = self.plan.sockets // 2  # the least that the table of callers holds
        if closing.how is Closing.ABORT and (
            len(self.line_has_sent) >= min_capacity or silent_lines >= min_capacity // 4
        ):
            self.evicted_lines.add(closing.line)

    def _on_sender_ended(self, ended: SenderEnded) -> None:
        self.judged["crossed"] += 1
        if ended.answered:
            return
        if ended.ref in self.txns_by_ref and ended.line in self.closing_lines:
            raise RuleViolation("crossed", ended.ref, "read, and its connection ended without an answer")
        # To make room one may be cut that never said anything whole, or that rests on after a farewell.
        if ended.reset and not (ended.line in self.evicted_lines and (ended.warned or ended.silent)):
            raise RuleViolation("crossed", ended.ref, "its connection was reset over the unread request")

    # ---- runs

    def _on_command(self, command: Command) -> None:
        event = command.event
        if event == "OPEN":
            self._on_link_open(command)
            return
        if event in ("SYSINFO", "POST"):
            if command.ticket == "fence":
                self.record_event("fence", "")
            return
        txn = self.txns_by_ref.get(command.handle)
        if txn is None and command.handle in self.unanswerable_refs:
            raise RuleViolation(
                "crossed", command.handle, f"{event}, though its connection could bear no answer"
            )
        if txn is None:
            raise RuleViolation("form", command.handle, f"{event} for a txn that never came")
        sent_before = self._record_command(txn, command)
        self.record_event(event.lower(), command.handle)
        if event in ("IODONE", "NOIO") and txn.fate and txn.ended_turn == self.turn:
            return  # its end was read in this very turn, and may stand behind what the command came from
        if event == "SCHED":
            self._on_sched(txn, command)
        elif event == "IODONE":
            self._check_delivered_reply(txn, command, sent_before)
        elif event == "NOIO":
            self._check_skipped_call(txn, command, sent_before)
        else:
            raise RuleViolation("form", command.handle, f"no command: {event}")

    def _on_link_open(self, command: Command) -> None:
        """A link to the kernel was made, and tells up to where notices were read."""
        self.judged["cursor"] += 1
        self.record_event("open", "")
        self.current_link = command.link  # the one that is read from now on
        if command.cursor != self.last_cursor:
            raise RuleViolation(
                "cursor", "", f"opened at {command.cursor}, the last notice read was {self.last_cursor}"
            )

    def _record_command(self, txn: TxnView, command: Command) -> bool:
        """Keeps what was said of a run on this link; True where it was said on an earlier one already."""
        text = f"{command.event} {command.arg} {command.cursor}"
        sent_before = any(sent == text for link, sent in txn.last_commands.items() if link != command.link)
        if txn.last_commands.get(command.link) == text:
            raise RuleViolation("twice", command.handle, f"{command.event} sent twice on one link")
        txn.last_commands[command.link] = text
        return sent_before

    def _check_delivered_reply(self, txn: TxnView, command: Command, sent_before: bool) -> None:
        """A call's reply was handed on to its run."""
        ref = command.handle
        self.judged["reply"] += 1
        if not sent_before and (not txn.awaited_cursor or txn.good_reply is None):
            raise RuleViolation("reply", ref, "a reply was handed on, and none came for this call")
        if txn.good_reply is not None and base64.b64decode(command.arg) != txn.good_reply:
            raise RuleViolation(
                "unchanged", ref, "a reply was handed on changed, or to another call than its own"
            )
        self._finish_call(txn)

    def _check_skipped_call(self, txn: TxnView, command: Command, sent_before: bool) -> None:
        """A run was told to go on without its call."""
        ref = command.handle
        self.judged["left-out"] += 1
        if txn.product.skip <= 0:
            raise RuleViolation("left-out", ref, "this product's calls may not be left out")
        # In place of a reply that may have been lost with the link it may come later too: it names its call.
        sent_before = sent_before or (
            command.cursor == txn.last_call_cursor and any(link != command.link for link in txn.last_commands)
        )
        if not sent_before and command.cursor != txn.awaited_cursor:
            raise RuleViolation(
                "left-out", ref, f"cursor {command.cursor}, the run waits at {txn.awaited_cursor}"
            )
        if txn.good_reply is not None and not txn.answer_kind and not txn.withdrawn:
            raise RuleViolation("call-kept", ref, "a call was left out whose good reply had come")
        self._finish_call(txn)

    def _on_sched(self, txn: TxnView, command: Command) -> None:
        ref = txn.request.ref
        self.judged["unchanged"] += 1
        if command.entry != txn.request.product or command.arg != txn.request.doc:
            raise RuleViolation("unchanged", ref, "its product or body was changed on its way to the kernel")
        if txn.scheduled_at >= 0:
            return  # sent again on a new link
        txn.scheduled_at, txn.scheduled_turn = self.now, self.turn
        self._check_repeated_effects(txn)
        if self.drain_noticed_at is not None:
            self.judged["grace"] += 1
            # What stood in the backlog or a buffer arrived when it was written, not when it was read.
            if (
                txn.sent_at > self.drain_noticed_at + self.plan.grace + 50 * MS
                and self.now - self.clock_stepped_at > 3 * SECOND
            ):
                raise RuleViolation(
                    "grace",
                    ref,
                    f"arrived {(txn.sent_at - self.drain_noticed_at) / MS:.0f} ms after the notice, and runs",
                )
        self._set_on_cores(txn, True)
        self._check_memory(force=True)

    def _check_repeated_effects(self, txn: TxnView) -> None:
        key = txn.request.key
        if not key or txn.product.kind != "guarded":
            return
        self.judged["twice"] += 1
        others = self.keyed_runs.setdefault((txn.request.product, key), [])
        for other in others:
            if (
                other.fate != "void"
                and txn.sent_at < other.sent_at + txn.product.window - 5 * MS
                and max(self.now - self.clock_stepped_at, 0) > 3 * SECOND
                and txn.sent_at >= other.sent_at
            ):
                raise RuleViolation(
                    "twice",
                    txn.request.ref,
                    f"key {key} ran already for {other.request.ref}, "
                    f"{(txn.sent_at - other.sent_at) / MS:.0f} ms before",
                )
        others.append(txn)

    def _set_on_cores(self, txn: TxnView, running: bool) -> None:
        if txn.on_cores != running:
            txn.on_cores = running
            self.runs_on_cores += 1 if running else -1
        if running:
            self.judged["crowd"] += 1
            plan = self.plan
            speed = 1.0
            if self.cold:
                speed = min(1.0, 0.25 + 0.75 * (self.now - self.kernel_started_at) / (10 * SECOND))
            max_running = (1 + 3.0 * max(speed, 0.25)) * plan.cores
            if self.runs_on_cores > max_running:
                raise RuleViolation(
                    "crowd",
                    txn.request.ref,
                    f"{self.runs_on_cores} on {plan.cores} cores, {max_running:.1f} are survived",
                )

    def _check_memory(self, force: bool = False) -> None:
        """Held txns from a while after their landing, runs with their factor."""
        if self.now < self.next_memory_check and not force:
            return
        self.next_memory_check = self.now + 20 * MS
        self.judged["memory"] += 1
        total = 0.0
        for txn in self.txns_by_ref.values():
            if txn.scheduled_at >= 0:
                total += txn.request.size_kb * self.plan.run_factor * (not txn.fate)
            elif not txn.answer_kind and not txn.withdrawn and self.now - txn.sent_at > MEMORY_COUNTED_AFTER:
                # What came on a line that broke the protocol may never have been read.
                total += txn.request.size_kb * (not self.nonconforming_lines.get(txn.request.line))
        if total > self.plan.memory_kb:
            raise RuleViolation("memory", "", f"{total:.0f} KB are booked of {self.plan.memory_kb:.0f}")

    def _finish_call(self, txn: TxnView) -> None:
        txn.awaited_cursor, txn.good_reply, txn.call_body = 0, None, b""
        self._set_on_cores(txn, True)

    def _on_notice(self, notice: Notice) -> None:
        if notice.link != self.current_link or notice.cursor != self.last_cursor + 1:
            return  # of an old link, or told again
        self.last_cursor = notice.cursor
        txn = self.txns_by_ref.get(notice.handle)
        if txn is None:
            return
        self.record_event(notice.event.lower(), notice.handle)
        if notice.event == "IOREQ":
            txn.awaited_cursor = txn.last_call_cursor = notice.cursor
            txn.call_body = base64.b64decode(notice.arg)
            txn.good_reply, txn.call_repeatable = None, True
            self._set_on_cores(txn, False)
        elif notice.event == "REAP":
            txn.fate, txn.result, txn.ended_turn = notice.fate, notice.arg, self.turn
            txn.awaited_cursor = 0
            self._set_on_cores(txn, False)
            if notice.fate == "ok" and txn.request.key:
                self.keyed_successes.setdefault((txn.request.product, txn.request.key), []).append(txn)

    # ---- calls

    def _on_call_made(self, call: CallMade) -> None:
        txn = self.txns_by_ref.get(call.ref)
        if txn is None:
            raise RuleViolation("form", call.ref, "a call for a txn that never came")
        self.judged["unchanged"] += 1
        self.record_event("call", call.ref)
        if not txn.awaited_cursor or call.body != txn.call_body:
            if txn.answer_kind or txn.fate or txn.withdrawn:
                return
            raise RuleViolation("unchanged", call.ref, "a call that its run did not ask for")
        if txn.good_reply is not None and not txn.answer_kind and not txn.withdrawn:
            raise RuleViolation("call-kept", call.ref, "a call is made again whose good reply had come")
        if txn.product.kind != "free":
            self.judged["call-twice"] += 1
            if not txn.call_repeatable:
                raise RuleViolation(
                    "call-twice", call.ref, "made again, though the first may have had its effect"
                )
        txn.call_repeatable = False
        self.open_calls[call.line] = OutstandingCall(txn, txn.awaited_cursor, self.now, call.wait_ms * MS)
        self._check_call_limits()

    def _on_replied(self, reply: Replied) -> None:
        call = self.open_calls.get(reply.line)
        if call is None or call.replied:
            return
        call.replied = True
        call.replied_at = self.now
        txn = call.txn
        if txn.awaited_cursor != call.cursor:
            return
        if reply.status == 200:
            self.record_event("reply", txn.request.ref)
            txn.good_reply = reply.body
        elif reply.status in (503, 409) and reply.not_begun:
            txn.call_repeatable = True

    def _on_call_ended(self, ended: CallEnded) -> None:
        call = self.open_calls.pop(ended.line, None)
        if call is None:
            return
        overrun = self.now - call.begun_at - call.time_limit_us
        self.judged["call-wait"] += 1
        if (
            not call.replied
            and overrun > self.slack
            and self.resumed_at < call.begun_at
            and not self.is_paused()
        ):
            raise RuleViolation(
                "call-wait", call.txn.request.ref, f"given up {overrun / MS:.0f} ms later than it told"
            )
        end = call.replied_at if call.replied else self.now + LINGER * ended.by_us
        self.ended_calls.append((call.begun_at, end))

    def _check_call_limits(self) -> None:
        """Time in hand within the window past, lingering counted: its mean must stay within the own share, of
        this life and of all lives together."""
        start = self.now - self.plan.calls_over
        while self.ended_calls and self.ended_calls[0][1] <= start:
            self.ended_calls.popleft()
        own_mean = self._mean_calls_in_hand(self.call_spans(self.now))
        self._check_share("call-limit", own_mean, "calls in hand in the mean")
        if self.earlier_calls:
            all_lives_mean = own_mean + self._mean_calls_in_hand(self.earlier_calls)
            self._check_share("call-limit-lives", all_lives_mean, "calls in hand in the mean over all lives")

    def call_spans(self, now: int, linger: int = 0) -> list[tuple[int, int]]:
        """Begin and end of each call of this life, as far as the window asks; those that are out end now and
        stay in hand for `linger` microseconds more."""
        outstanding = [
            (call.begun_at, call.replied_at if call.replied else now + linger)
            for call in self.open_calls.values()
        ]
        return [*self.ended_calls, *outstanding]

    def _mean_calls_in_hand(self, spans: Iterable[tuple[int, int]]) -> float:
        """Calls in hand in the mean over the window past."""
        start = self.now - self.plan.calls_over
        total_us = sum(max(0, min(end, self.now) - max(begin, start)) for begin, end in spans)
        return total_us / self.plan.calls_over

    def _check_share(self, rule: str, mean_calls: float, description: str) -> None:
        self.judged[rule] += 1
        if mean_calls > self.plan.calls_out:
            raise RuleViolation(
                rule, "", f"{mean_calls:.2f} {description}, {self.plan.calls_out:.2f} are the share"
            )
