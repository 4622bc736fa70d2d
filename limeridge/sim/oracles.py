"""The test oracles: rules checked after every step against the traffic on an instance's connections.

The oracles keep their own record of each txn, run and call, and of the deadlines of pending answers. They
never read an instance's tables or use its code, so that a defect there can't hide itself. They check only
what a rule requires: every violation is a defect.
"""

from __future__ import annotations

import base64
import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from limeridge.sim.plan import ABANDONED_CALL_LINGER, Plan, Product
from limeridge.sim.reactor import Closing
from limeridge.sim.timeline import SECOND
from limeridge.sim.wires import (
    AnswerSent,
    CallClosed,
    CallSent,
    CommandSent,
    FarewellSent,
    HealthCheckReceived,
    InvalidMessage,
    LateSenderClosed,
    LineClosed,
    LineClosing,
    LineOpened,
    LinkClosed,
    LinkOpened,
    MalformedOutput,
    NoticeReceived,
    ReplyReceived,
    RevokeReceived,
    TxnReceived,
    UnanswerableTxn,
    WireEvent,
)

MS = 1_000
HEALTH_CHECK_TIMEOUT = 700 * MS  # a deep health check queries the kernel for up to 500 ms
MEMORY_COUNTED_AFTER = 100 * MS  # from sending until a queued txn counts towards memory
MIN_TIME_FOR_REPEAT = 100 * MS  # a repeat with less time left need not get its key's result
MAX_OPEN_TXNS = 32  # per connection
RULES = {
    "one-answer": "exactly one final answer per txn",
    "due": "answered by the due time",
    "grace": "no txn runs that arrived after the drain grace period",
    "stop": "every txn that was read is answered before the process stops",
    "twice": "no txn that may have an effect is run twice",
    "call-twice": "no call that may have had an effect is repeated",
    "unsaid": "a txn that ran is not declined as never started",
    "result": "a txn is settled with its own result, unchanged",
    "key-copied": "a key held for another body or tenant gives only an error",
    "key-kept": "the repeat of a keyed request that succeeded gets its result",
    "crossed": "a request sent while its connection closes is answered, or neither runs nor is reset",
    "kept-back": "a txn whose run succeeded is answered with its result",
    "call-limit": "outstanding calls stay within the instance's share",
    "call-limit-lives": "outstanding calls stay within the share across restarts of an instance",
    "memory": "memory of queued and running txns stays within the limit",
    "crowd": "concurrent runs stay below the overload limit of the cores",
    "unchanged": "bodies and replies are forwarded unchanged",
    "reply": "a reply is delivered to its own call",
    "cursor": "a new kernel link resumes after the last notice read",
    "left-out": "a call is skipped only where that is allowed",
    "call-kept": "a successful reply is used",
    "call-wait": "a call is abandoned within its announced time limit",
    "form": "all output conforms to the protocol",
    "exception": "no exception is logged",
    "guard": "no txn is left to the overdue guard",
    "health": "health checks are answered",
    "livelock": "virtual time advances",
    "limit": "calls at the ledger stay within the fleet's limit",
    "known": "after the quiet point all members know each other",
    "in-use": "after the quiet point the limit is allotted again",
    "datagram": "no datagram exceeds its size limit",
    "heals": "after the quiet point every instance serves again",
    "left-over": "all tables are empty at the end",
}


class RuleViolation(Exception):
    """A rule was violated: the rule's name, the ref of the txn (empty if none) and the observation."""

    def __init__(self, rule: str, ref: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}" + (f" (txn {ref})" if ref else ""))
        self.rule, self.ref, self.detail = rule, ref, detail


@dataclass(slots=True, eq=False)
class TxnView:
    """The state of a txn as derived from the traffic. Times in virtual microseconds."""

    request: TxnReceived
    product: Product
    read_at: int
    sent_at: int
    due_at: int
    answer_kind: str = ""
    withdrawn: bool = False
    late_answers: int = 0  # answers after it was revoked or its connection ended; one is allowed
    scheduled_at: int = -1
    scheduled_turn: int = 0
    last_commands: dict[int, str] = field(default_factory=dict)  # by link
    fate: str = ""
    ended_turn: int = -1  # the loop turn in which its REAP notice was read
    result: str = ""
    on_cores: bool = False
    awaited_cursor: int = 0  # of the call that the run waits for; 0 if none
    last_call_cursor: int = 0
    call_body: bytes = b""
    good_reply: bytes | None = None  # to the awaited call
    call_repeatable: bool = True  # whether no call for this cursor can have had an effect
    answered_as_run: bool = False
    read_turn: int = 0  # the loop turn in which it was read

    def same_request(self, other: TxnView) -> bool:
        """Whether both have the same body and tenant, as repeats under a key do."""
        return (self.request.doc, self.request.customer) == (other.request.doc, other.request.customer)

    def certainly_held_key_when_read(self, other: TxnView) -> bool:
        """Whether this txn certainly held its key when `other` was read: it had been started, was not void
        and was still within the key's window."""
        return (
            self.fate != "void"
            and self.scheduled_turn < other.read_turn
            and other.read_at < self.sent_at + self.product.window - 5 * MS
        )


@dataclass(slots=True, eq=False)
class OutstandingCall:
    """A call to the ledger whose connection has not ended."""

    txn: TxnView
    cursor: int
    begun_at: int
    time_limit_us: int
    replied: bool = False
    replied_at: int = -1


class Oracles:
    """The rules for one process lifetime of an instance.

    `record_event` receives each event's kind and txn ref for the trace. `judged` counts how often each rule
    was checked. `earlier_calls` holds the begin and end of calls made by previous processes of the instance.
    """

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
        earlier_calls: Sequence[tuple[int, int]] = (),
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
        self.turn = 0  # of the event loop, set by the world
        self.txns: dict[tuple[int, int], TxnView] = {}
        self.txns_by_ref: dict[str, TxnView] = {}
        self.nonconforming_lines: dict[int, bool] = {}  # that sent invalid messages
        self.open_txns: dict[int, int] = {}  # by line
        self.due_queue: list[tuple[int, int, TxnView]] = []
        self.open_health_checks: dict[tuple[int, int], int] = {}
        self.due_serial = 0
        self.resumed_at = -SECOND  # end of the last pause
        self.clock_stepped_at = -SECOND  # last step of the Unix time
        self.drain_noticed_at: int | None = None
        self.drain_notice_held = False
        self.keyed_runs: dict[tuple[str, str], list[TxnView]] = {}
        self.keyed_successes: dict[tuple[str, str], list[TxnView]] = {}  # whose run succeeded
        self.current_link, self.last_cursor = -1, 0
        self.runs_on_cores = 0
        self.next_memory_check = started_at
        self.open_calls: dict[int, OutstandingCall] = {}
        self.ended_calls: deque[tuple[int, int]] = deque()
        self.earlier_calls = tuple(earlier_calls)
        self.process_ended = False
        self.line_has_sent: dict[int, bool] = {}  # open lines: whether a request or health check came
        self.closing_lines: set[int] = set()  # that the instance is closing
        self.evicted_lines: set[int] = set()
        self.unanswerable_refs: set[str] = set()  # read after the instance closed its sending side

    # ---- events reported by the world

    def on_resume(self, now: int) -> None:
        self.resumed_at = now
        if self.drain_noticed_at is not None and self.drain_notice_held:
            self.drain_noticed_at, self.drain_notice_held = now, False

    def on_clock_step(self, now: int) -> None:
        self.clock_stepped_at = now

    def on_drain_notice(self, now: int) -> None:
        if self.drain_noticed_at is None:
            # A paused instance receives the notice when the pause ends.
            self.drain_noticed_at, self.drain_notice_held = now, self.is_paused()

    def on_process_exit(self, now: int) -> None:
        """The process ended without being killed."""
        self.process_ended = True
        self.judged["stop"] += 1
        for txn in self.txns.values():
            if not txn.answer_kind and not txn.withdrawn:
                raise RuleViolation("stop", txn.request.ref, "read but not answered when the process ended")

    def on_log_line(self, event: str, code: str, text: str) -> None:
        if "exception" in text and '"trace"' in text:
            raise RuleViolation("exception", "", text[:1_500])
        if event == "overdue":
            raise RuleViolation("guard", "", text[:300])

    def on_time_advance(self, now: int) -> None:
        """Checks the deadlines that have passed by `now`."""
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
                    "health", "", f"health check not answered for {(now - oldest[1]) / MS:.0f} ms"
                )

    def _schedule_due_check(self, txn: TxnView, at: int) -> None:
        self.due_serial += 1
        heapq.heappush(self.due_queue, (at, self.due_serial, txn))

    # ---- traffic

    def on_event(self, now: int, event: WireEvent) -> None:
        self.now = now
        match event:
            case NoticeReceived():
                self._on_notice_received(event)
            case CommandSent():
                self._on_command_sent(event)
            case TxnReceived():
                self._on_txn_received(event)
            case AnswerSent():
                self._on_answer_sent(event)
            case CallSent():
                self._on_call_sent(event)
            case ReplyReceived():
                self._on_reply_received(event)
            case CallClosed():
                self._on_call_closed(event)
            case RevokeReceived():
                self._on_revoke_received(event)
            case HealthCheckReceived():
                self.line_has_sent[event.line] = True
                self.open_health_checks[event.line, event.id] = now
            case LineClosed():
                self._on_line_closed(event)
            case LineOpened():
                self.line_has_sent[event.line] = False
            case LineClosing():
                self._on_line_closing(event)
            case UnanswerableTxn():
                self.unanswerable_refs.add(event.ref)
            case LateSenderClosed():
                self._on_late_sender_closed(event)
            case LinkOpened():
                self.record_event("link", "")
            case LinkClosed():
                self.record_event("link-end", "")
            case InvalidMessage():
                self.nonconforming_lines[event.line] = True
            case FarewellSent():
                self.record_event("farewell", "")
            case MalformedOutput():
                raise RuleViolation("form", "", f"to {event.role}: {event.data!r}")

    def _on_txn_received(self, request: TxnReceived) -> None:
        now, product = self.now, self.products[request.product]
        self.line_has_sent[request.line] = True
        if request.ref in self.txns_by_ref or (request.line, request.id) in self.txns:
            self.nonconforming_lines[request.line] = True  # reuses an id or ref, which no valid caller does
            return
        self.open_txns[request.line] = self.open_txns.get(request.line, 0) + 1
        if self.open_txns[request.line] > MAX_OPEN_TXNS:
            self.nonconforming_lines[request.line] = True
        sent_at = request.sent_ms * MS - self.unix_offset()
        time_limit = int(request.time_limit_ms * MS)
        due = min(now + time_limit, sent_at + time_limit + MS)
        if now - self.clock_stepped_at < 3 * SECOND:  # its age is unknown
            due = now + time_limit
        txn = TxnView(request, product, now, min(sent_at, now), max(due, now), read_turn=self.turn)
        self.txns[request.line, request.id] = self.txns_by_ref[request.ref] = txn
        if self.plan.memory_kb:
            self._check_memory()
        if not self.nonconforming_lines.get(request.line):
            self._schedule_due_check(txn, txn.due_at + self.slack)
        self.judged["due"] += 1
        self.record_event("asked", request.ref)

    def _on_answer_sent(self, answer: AnswerSent) -> None:
        if answer.value is not None and answer.value < 0:
            raise RuleViolation("form", "", f"a value of {answer.value}")
        if answer.kind == "health":
            if self.open_health_checks.pop((answer.line, answer.id or 0), None) is None:
                raise RuleViolation("health", "", "answer without a health check")
            self.judged["health"] += 1
            return
        txn = self.txns.get((answer.line, answer.id or 0))
        if txn is None:
            if not self.nonconforming_lines.get(answer.line):
                raise RuleViolation("one-answer", "", f"answer to id {answer.id}, which sent no request")
            return
        ref = txn.request.ref
        self.judged["one-answer"] += 1
        if txn.answer_kind or (txn.withdrawn and txn.late_answers):
            raise RuleViolation(
                "one-answer", ref, f"{answer.kind} after {txn.answer_kind or 'withdrawal and another answer'}"
            )
        if txn.withdrawn:
            txn.late_answers = 1
        txn.answer_kind = answer.kind
        self.open_txns[answer.line] = self.open_txns.get(answer.line, 0) - (not txn.withdrawn)
        self.record_event(answer.kind, ref)
        if answer.retry_delay_ms < 0 or answer.retry_delay_ms > 1_000:
            raise RuleViolation(
                "form", ref, f"retry delay of {answer.retry_delay_ms} ms is not within 0 to 1000"
            )
        self._check_key(txn, answer.kind)
        if answer.kind == "settled":
            self._check_result(txn, answer.doc)
        else:
            # A REAP notice read in this turn may have come in after the answer was decided.
            if txn.fate == "ok" and not txn.withdrawn and txn.ended_turn < self.turn:
                raise RuleViolation("kept-back", ref, f"{answer.kind} although its run succeeded")
            if answer.kind == "declined" and txn.product.kind != "free":
                self.judged["unsaid"] += 1
                if txn.scheduled_at >= 0 and txn.fate != "void":
                    raise RuleViolation("unsaid", ref, "declined although it was started")

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
        raise RuleViolation(
            "result", txn.request.ref, f"settled with {doc[:60]!r}, which none of its runs returned"
        )

    def _check_key(self, txn: TxnView, kind: str) -> None:
        """Checks the answer against the requests that certainly held the txn's key when the txn was read."""
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
                    "key-copied", txn.request.ref, f"{kind} under a key held by a different request"
                )
        elif any(other.fate == "ok" and other.ended_turn < txn.read_turn for other in holders):
            if self.drain_noticed_at is not None or txn.due_at < self.now + MIN_TIME_FOR_REPEAT:
                return
            self.judged["key-kept"] += 1
            if kind != "settled":
                raise RuleViolation(
                    "key-kept", txn.request.ref, f"{kind} although its key has a stored result"
                )

    def _on_revoke_received(self, revoked: RevokeReceived) -> None:
        txn = self.txns.get((revoked.line, revoked.id))
        if txn is None and revoked.ref in self.txns_by_ref:
            txn = self.txns_by_ref[revoked.ref]
        if txn is not None and not txn.withdrawn:
            txn.withdrawn = True
            self.open_txns[txn.request.line] = self.open_txns.get(txn.request.line, 0) - (not txn.answer_kind)
            self.record_event("revoke", txn.request.ref)

    def _on_line_closed(self, ended: LineClosed) -> None:
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
            if ended.by_instance and not nonconforming and not ended.stalled:
                raise RuleViolation(
                    "one-answer", txn.request.ref, "its connection was closed without an answer"
                )
            txn.withdrawn = True
            self.record_event("gone", txn.request.ref)

    def _on_line_closing(self, closing: LineClosing) -> None:
        self.closing_lines.add(closing.line)
        silent_lines = sum(not has_sent for has_sent in self.line_has_sent.values())
        min_capacity = self.plan.sockets // 2  # lower bound of the connection table's capacity
        if closing.how is Closing.ABORT and (
            len(self.line_has_sent) >= min_capacity or silent_lines >= min_capacity // 4
        ):
            self.evicted_lines.add(closing.line)

    def _on_late_sender_closed(self, ended: LateSenderClosed) -> None:
        self.judged["crossed"] += 1
        if ended.answered:
            return
        if ended.ref in self.txns_by_ref and ended.line in self.closing_lines:
            raise RuleViolation("crossed", ended.ref, "read, but its connection ended without an answer")
        # To make room, a line may be reset that never sent a whole message or stays idle after a farewell.
        if ended.reset and not (ended.line in self.evicted_lines and (ended.warned or ended.silent)):
            raise RuleViolation("crossed", ended.ref, "its connection was reset over the unread request")

    # ---- runs

    def _on_command_sent(self, command: CommandSent) -> None:
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
                "crossed", command.handle, f"{event} although its connection could carry no answer"
            )
        if txn is None:
            raise RuleViolation("form", command.handle, f"{event} for an unknown txn")
        sent_before = self._record_command(txn, command)
        self.record_event(event.lower(), command.handle)
        if event in ("IODONE", "NOIO") and txn.fate and txn.ended_turn == self.turn:
            return  # the REAP notice read in this turn may have come in after the command was decided
        if event == "SCHED":
            self._on_sched(txn, command)
        elif event == "IODONE":
            self._check_delivered_reply(txn, command, sent_before)
        elif event == "NOIO":
            self._check_skipped_call(txn, command, sent_before)
        else:
            raise RuleViolation("form", command.handle, f"unknown command {event}")

    def _on_link_open(self, command: CommandSent) -> None:
        """Checks that a new link to the kernel resumes after the last notice read."""
        self.judged["cursor"] += 1
        self.record_event("open", "")
        self.current_link = command.link  # notices on older links are ignored
        if command.cursor != self.last_cursor:
            raise RuleViolation(
                "cursor", "", f"link opened at {command.cursor}, last notice read was {self.last_cursor}"
            )

    def _record_command(self, txn: TxnView, command: CommandSent) -> bool:
        """Stores the command as the last one on its link; returns whether an earlier link carried it too."""
        text = f"{command.event} {command.arg} {command.cursor}"
        sent_before = any(sent == text for link, sent in txn.last_commands.items() if link != command.link)
        if txn.last_commands.get(command.link) == text:
            raise RuleViolation("twice", command.handle, f"{command.event} sent twice on one link")
        txn.last_commands[command.link] = text
        return sent_before

    def _check_delivered_reply(self, txn: TxnView, command: CommandSent, sent_before: bool) -> None:
        """Checks a reply that is delivered to its run."""
        ref = command.handle
        self.judged["reply"] += 1
        if not sent_before and (not txn.awaited_cursor or txn.good_reply is None):
            raise RuleViolation("reply", ref, "reply delivered, but none arrived for this call")
        if txn.good_reply is not None and base64.b64decode(command.arg) != txn.good_reply:
            raise RuleViolation("unchanged", ref, "reply was changed or delivered to the wrong call")
        self._finish_call(txn)

    def _check_skipped_call(self, txn: TxnView, command: CommandSent, sent_before: bool) -> None:
        """Checks a command that lets a run continue without its call."""
        ref = command.handle
        self.judged["left-out"] += 1
        if txn.product.skip <= 0:
            raise RuleViolation("left-out", ref, "this product's calls may not be skipped")
        # May also replace a reply that was lost with an earlier link: the cursor identifies the call.
        sent_before = sent_before or (
            command.cursor == txn.last_call_cursor and any(link != command.link for link in txn.last_commands)
        )
        if not sent_before and command.cursor != txn.awaited_cursor:
            raise RuleViolation(
                "left-out", ref, f"cursor {command.cursor}, but the run waits at {txn.awaited_cursor}"
            )
        if txn.good_reply is not None and not txn.answer_kind and not txn.withdrawn:
            raise RuleViolation("call-kept", ref, "call skipped although its successful reply had arrived")
        self._finish_call(txn)

    def _on_sched(self, txn: TxnView, command: CommandSent) -> None:
        ref = txn.request.ref
        self.judged["unchanged"] += 1
        if command.entry != txn.request.product or command.arg != txn.request.doc:
            raise RuleViolation("unchanged", ref, "product or body was changed on the way to the kernel")
        if txn.scheduled_at >= 0:
            return  # resent on a new link
        txn.scheduled_at, txn.scheduled_turn = self.now, self.turn
        self._check_repeated_effects(txn)
        if self.drain_noticed_at is not None:
            self.judged["grace"] += 1
            # A request that waited in the backlog or a buffer counts from when it was sent, not read.
            if (
                txn.sent_at > self.drain_noticed_at + self.plan.grace + 50 * MS
                and self.now - self.clock_stepped_at > 3 * SECOND
            ):
                raise RuleViolation(
                    "grace",
                    ref,
                    f"started, arrived {(txn.sent_at - self.drain_noticed_at) / MS:.0f} ms after the notice",
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
                    f"key {key} already ran for {other.request.ref}, "
                    f"{(txn.sent_at - other.sent_at) / MS:.0f} ms earlier",
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
                    f"{self.runs_on_cores} runs on {plan.cores} cores, limit {max_running:.1f}",
                )

    def _check_memory(self, force: bool = False) -> None:
        """Counts queued txns after MEMORY_COUNTED_AFTER, and runs at `run_factor` times their size."""
        if self.now < self.next_memory_check and not force:
            return
        self.next_memory_check = self.now + 20 * MS
        self.judged["memory"] += 1
        total = 0.0
        for txn in self.txns_by_ref.values():
            if txn.scheduled_at >= 0:
                total += txn.request.size_kb * self.plan.run_factor * (not txn.fate)
            elif not txn.answer_kind and not txn.withdrawn and self.now - txn.sent_at > MEMORY_COUNTED_AFTER:
                # A request on a line that violated the protocol may never have been read.
                total += txn.request.size_kb * (not self.nonconforming_lines.get(txn.request.line))
        if total > self.plan.memory_kb:
            raise RuleViolation("memory", "", f"txns take {total:.0f} KB, limit {self.plan.memory_kb:.0f} KB")

    def _finish_call(self, txn: TxnView) -> None:
        txn.awaited_cursor, txn.good_reply, txn.call_body = 0, None, b""
        self._set_on_cores(txn, True)

    def _on_notice_received(self, notice: NoticeReceived) -> None:
        if notice.link != self.current_link or notice.cursor != self.last_cursor + 1:
            return  # from an old link, or a duplicate
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

    def _on_call_sent(self, call: CallSent) -> None:
        txn = self.txns_by_ref.get(call.ref)
        if txn is None:
            raise RuleViolation("form", call.ref, "call for an unknown txn")
        self.judged["unchanged"] += 1
        self.record_event("call", call.ref)
        if not txn.awaited_cursor or call.body != txn.call_body:
            if txn.answer_kind or txn.fate or txn.withdrawn:
                return
            raise RuleViolation("unchanged", call.ref, "call that its run did not request")
        if txn.good_reply is not None and not txn.answer_kind and not txn.withdrawn:
            raise RuleViolation(
                "call-kept", call.ref, "call repeated although its successful reply had arrived"
            )
        if txn.product.kind != "free":
            self.judged["call-twice"] += 1
            if not txn.call_repeatable:
                raise RuleViolation(
                    "call-twice", call.ref, "call repeated although the first may have had its effect"
                )
        txn.call_repeatable = False
        self.open_calls[call.line] = OutstandingCall(txn, txn.awaited_cursor, self.now, call.wait_ms * MS)
        self._check_call_limits()

    def _on_reply_received(self, reply: ReplyReceived) -> None:
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

    def _on_call_closed(self, ended: CallClosed) -> None:
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
                "call-wait",
                call.txn.request.ref,
                f"abandoned {overrun / MS:.0f} ms after its announced time limit",
            )
        end = call.replied_at if call.replied else self.now + ABANDONED_CALL_LINGER * ended.by_instance
        self.ended_calls.append((call.begun_at, end))

    def _check_call_limits(self) -> None:
        """Checks the mean number of outstanding calls over the last `calls_over`, including the time that
        abandoned calls linger at the ledger: for this process, and with its predecessors' calls."""
        start = self.now - self.plan.calls_over
        while self.ended_calls and self.ended_calls[0][1] <= start:
            self.ended_calls.popleft()
        own_mean = self._mean_outstanding_calls(self.call_spans(self.now))
        self._check_share("call-limit", own_mean, "calls outstanding on average")
        if self.earlier_calls:
            all_lives_mean = own_mean + self._mean_outstanding_calls(self.earlier_calls)
            self._check_share(
                "call-limit-lives", all_lives_mean, "calls outstanding on average across restarts"
            )

    def call_spans(self, now: int, linger: int = 0) -> list[tuple[int, int]]:
        """Begin and end of each call of this process that reaches into the window. Calls without a reply
        count as outstanding until `now` plus `linger` microseconds."""
        outstanding = [
            (call.begun_at, call.replied_at if call.replied else now + linger)
            for call in self.open_calls.values()
        ]
        return [*self.ended_calls, *outstanding]

    def _mean_outstanding_calls(self, spans: Iterable[tuple[int, int]]) -> float:
        """Mean number of outstanding calls over the last `calls_over` microseconds."""
        start = self.now - self.plan.calls_over
        total_us = sum(max(0, min(end, self.now) - max(begin, start)) for begin, end in spans)
        return total_us / self.plan.calls_over

    def _check_share(self, rule: str, mean_calls: float, description: str) -> None:
        self.judged[rule] += 1
        if mean_calls > self.plan.calls_out:
            raise RuleViolation(
                rule, "", f"{mean_calls:.2f} {description}, the share is {self.plan.calls_out:.2f}"
            )
