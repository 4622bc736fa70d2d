"""The link to the kernel, which owns the cores: JSON lines, a cursor over its notices, relinking.

It owns the parser of lines, the one decoding of each notice, and what was commanded and is not known to be
carried out, so that a new link can take up where the last one broke. It must never judge what a notice means
for a txn: it hands typed news on and sends what it is told to.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol

import orjson
from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from limeridge.facade import EndStatus, RunBlocked, RunEnded
from limeridge.net.log import Log

MAX_LINE_BYTES = 65_536  # bytes of a line
RECONNECT_DELAYS_S = (
    0.02,
    0.25,
)  # seconds between tries, the first and the longest: a try that is refused costs little
CONNECT_TIMEOUT_S = 2.0  # seconds that one try may take
LINK_LOSS_GRACE_S = (
    1.5  # seconds without a link after which the kernel counts as away: a short break is no ill health
)
OLD_LINK_CLOSE_TIMEOUT_S = 2.0  # seconds that a link which another replaced gets to end by itself
FENCE = "fence"  # the ticket of the gauges asked for behind a cursor: its answer ends the repeated notices

END_STATUSES = {
    "ok": EndStatus.OK,
    "failed": EndStatus.FAILED,
    "halted": EndStatus.STOPPED,
    "void": EndStatus.NEVER_BEGAN,
}


class BadLine(Exception):
    """The link can't be trusted any more."""


class LineParser:
    """Lines out of bytes that come split and joined anywhere."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        start = len(self.data)
        self.data += data
        while (end := self.data.find(b"\n", start)) >= 0:
            line = bytes(self.data[:end])
            del self.data[: end + 1]
            start = 0
            if len(line) > MAX_LINE_BYTES:
                raise BadLine
            if line.strip():
                yield line
        if len(self.data) > MAX_LINE_BYTES:
            raise BadLine


# ---- notices


@dataclass(slots=True, frozen=True)
class Booted:
    cold: bool
    ago_us: int  # microseconds


@dataclass(slots=True, frozen=True)
class Notice:
    """A numbered notice of one txn's run; without news for a mere remark."""

    cursor: int
    handle: str
    event: RunEnded | RunBlocked | None


@dataclass(slots=True, frozen=True)
class Gauges:
    ticket: str
    figures: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Posted:
    ticket: str
    succeeded: bool


@dataclass(slots=True, frozen=True)
class Invalid:
    command: str
    handle: str


Message = Booted | Notice | Gauges | Posted | Invalid


def decode(line: bytes) -> Message | None:
    """None for what can't be read or is not known."""
    try:
        value = orjson.loads(line)
        match value["event"]:
            case "REAP":
                return Notice(
                    _cursor(value),
                    str(value["handle"]),
                    RunEnded(END_STATUSES[value["fate"]], str(value.get("arg") or "")),
                )
            case "IOREQ":
                body = base64.b64decode(value.get("arg") or "", validate=True)
                return Notice(_cursor(value), str(value["handle"]), RunBlocked(_cursor(value), body))
            case "INFO":
                return Gauges(str(value["ticket"]), tuple(float(figure) for figure in value["figures"]))
            case "BOOTED":
                return Booted(value["fate"] == "cold", int(float(value.get("lasted") or 0) * 1_000))
            case "POSTED":
                return Posted(str(value["ticket"]), value["fate"] == "ok")
            case "EINVAL":
                return Invalid(str(value.get("fate")), str(value.get("handle") or ""))
            case "DMESG":
                return Notice(_cursor(value), "", None)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError, binascii.Error):
        pass
    return None


def _cursor(value: dict[str, Any]) -> int:
    cursor = value["cursor"]
    if not isinstance(cursor, int) or cursor < 1:
        raise ValueError("cursor")
    return cursor


def encode(event: str, **fields: object) -> bytes:
    return orjson.dumps({"event": event, **fields}, option=orjson.OPT_APPEND_NEWLINE)


@dataclass(slots=True, eq=False)
class Command:
    """What was last commanded for a run, until a notice shows that it was carried out."""

    line: bytes
    serial: int
    sent: bool = False  # on some link
    replies_to: int = 0  # for a reply, the notice that asked for the call
    may_skip: bool = False  # whether that call may be left out


class Service(Protocol):
    """What the link tells whoever wires it up."""

    def on_kernel_boot(self, cold: bool, ago_us: int) -> None: ...
    def on_run_event(self, ref: str, event: RunEnded | RunBlocked) -> bool: ...


class Link(TwistedProtocol):
    transport: Any

    def __init__(self, kernel: Kernel, attempt: ConnectAttempt) -> None:
        self.kernel, self.attempt, self.lines = kernel, attempt, LineParser()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.kernel.handle_connected(self)

    def dataReceived(self, data: bytes) -> None:
        if self.kernel.link is not self:
            return
        try:
            for line in self.lines.feed(data):
                self.kernel.handle_line(line)
                if self.kernel.link is not self:
                    return
            self.kernel.handle_read_end()
        except BadLine:
            self.kernel.drop_link(self, "oversize")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.kernel.handle_disconnected(self, reason.getErrorMessage())


class ConnectAttempt(ClientFactory):
    """One try to link. One that another has replaced, as the address is new, must come to nothing."""

    noisy = False

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def buildProtocol(self, addr: object) -> Link:
        return Link(self.kernel, self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.kernel.handle_connect_failed(self, reason.getErrorMessage())


class Kernel:
    def __init__(self, service: Service, reactor: Any, host: str, port: int, log: Log) -> None:
        self.service, self.reactor, self.host, self.port, self.log = service, reactor, host, port, log
        self.link: Link | None = None
        self.ready = False  # booted, and the repeated notices are read
        self.fence_answered = False  # the same, but for what came in one piece with the last of them
        self.booted = False
        self.cursor = 0
        self.retried_gap_end = 0  # a gap up to here was seen twice: the notices in it are gone for good
        self.delay = RECONNECT_DELAYS_S[0]
        self.stopping = False
        self.attempt: ConnectAttempt | None = None  # the try that is under way
        self.reconnect_timer: Any = None  # the timer of the next one
        self.lost_at = 0.0  # when the link was last good
        self.unconfirmed: dict[str, Command] = {}  # by handle, in the order of their sending
        # of commands: the last given, the last that the kernel is known to have read
        self.serial, self.last_read_serial = 0, 0
        self.resent: set[str] = set()  # handles whose commands of this link may be refused as carried out
        self.tickets = 0
        self.pending_queries: dict[
            str, tuple[Deferred[Any], int]
        ] = {}  # by ticket, with the last command before it

    @property
    def is_available(self) -> bool:
        """Whether the kernel is up, as far as the link can tell: a break that is soon over says nothing."""
        return self.ready or (self.booted and self.reactor.seconds() - self.lost_at < LINK_LOSS_GRACE_S)

    def connect(self) -> None:
        self._cancel_reconnect()
        if not self.stopping:
            self.attempt = ConnectAttempt(self)
            self.reactor.connectTCP(self.host, self.port, self.attempt, timeout=CONNECT_TIMEOUT_S)

    def set_address(self, host: str, port: int) -> None:
        """New configuration: the old link serves until the new one stands."""
        self.host, self.port, self.delay = host, port, RECONNECT_DELAYS_S[0]
        self.connect()

    def _cancel_reconnect(self) -> None:
        if self.reconnect_timer is not None and self.reconnect_timer.active():
            self.reconnect_timer.cancel()
        self.reconnect_timer = None

    def stop(self) -> None:
        self.stopping = True
        self._cancel_reconnect()
        if self.link is not None:
            self.link.transport.loseConnection()

    # ---- commands

    def start(self, ref: str, product_name: str, doc: str) -> None:
        self._send_command(ref, "SCHED", entry=product_name, arg=doc)

    def reply(self, ref: str, body: bytes, cursor: int, may_skip: bool) -> None:
        """The reply to the call that notice `cursor` asked for; `may_skip`: the run could go on without
        it."""
        self._send_command(ref, "IODONE", arg=base64.b64encode(body).decode())
        command = self.unconfirmed[ref]
        command.replies_to, command.may_skip = cursor, may_skip

    def skip_call(self, ref: str, cursor: int) -> None:
        self._send_command(ref, "NOIO", cursor=cursor)

    def read_gauges(self, time_out_s: float) -> Deferred[tuple[float, ...] | None]:
        """None where they do not come in time."""
        return self._query("SYSINFO", time_out_s, None)

    def run_deep_check(self, time_out_s: float) -> Deferred[bool]:
        """Whether the work of a deep check gets done."""
        return self._query("POST", time_out_s, False)

    def discard(self, ref: str) -> None:
        self.unconfirmed.pop(ref, None)
        self.resent.discard(ref)

    def _send_command(self, ref: str, event: str, **fields: object) -> None:
        line = encode(event, handle=ref, **fields)
        self.serial += 1
        self.unconfirmed.pop(ref, None)
        command = self.unconfirmed[ref] = Command(line, self.serial)
        if self.ready and self.link is not None:
            command.sent = True
            self.link.transport.write(line)

    def _query(self, event: str, time_out_s: float, default: Any) -> Deferred[Any]:
        if not self.ready or self.link is None:
            return succeed(default)
        self.tickets += 1
        ticket = str(self.tickets)
        answer: Deferred[Any] = Deferred()
        timer = self.reactor.callLater(time_out_s, self._answer_query, ticket, default)
        answer.addBoth(lambda result: (timer.active() and timer.cancel(), result)[1])
        self.pending_queries[ticket] = answer, self.serial
        self.link.transport.write(encode(event, ticket=ticket))
        return answer

    def _answer_query(self, ticket: str, result: Any) -> None:
        asked = self.pending_queries.pop(ticket, None)
        if asked is not None:
            asked[0].callback(result)

    def _confirm_read(self, ticket: str) -> None:
        """Commands are read in their order: what was sent before this question has arrived."""
        if ticket in self.pending_queries:
            self.last_read_serial = max(self.last_read_serial, self.pending_queries[ticket][1])
            self.resent.clear()  # refusals of these would have come before

    # ---- the link

    def handle_connected(self, link: Link) -> None:
        if self.attempt is not link.attempt or self.stopping:
            link.transport.abortConnection()
            return
        self._mark_unready()
        old, self.link, self.attempt = self.link, link, None
        if old is not None:
            # What was written to it last must not be lost with it, and would be if it were closed over
            # notices that are not read yet: those come again on the new one, here they are passed over.
            old.transport.loseWriteConnection()
            self.reactor.callLater(OLD_LINK_CLOSE_TIMEOUT_S, old.transport.abortConnection)
        self.log.event("link-up", cursor=self.cursor)
        link.transport.write(encode("OPEN", cursor=self.cursor))

    def handle_disconnected(self, link: Link, why: str) -> None:
        if self.link is not link:
            return
        self._mark_unready()
        self.link = None
        self.log.event(
            "link-down",
            "stopped" if self.stopping else "lost",
            why=why[:200],
            cursor=self.cursor,
            uncarried=len(self.unconfirmed),
        )
        self._schedule_reconnect()

    def handle_read_end(self) -> None:
        """What came in one piece is read. Only now is anything commanded again: what a run has left behind by
        a notice further on in the piece must not be."""
        if self.fence_answered:
            self.fence_answered = False
            self._resend_commands()

    def _mark_unready(self) -> None:
        self.fence_answered = False
        if self.ready:
            self.ready, self.lost_at = False, self.reactor.seconds()

    def handle_connect_failed(self, attempt: ConnectAttempt, why: str) -> None:
        if self.attempt is attempt:
            self.attempt = None
            self.log.event("link-down", "unreached", why=why[:200])
            self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if not self.stopping and self.attempt is None and self.reconnect_timer is None:
            self.reconnect_timer = self.reactor.callLater(self.delay, self.connect)
            self.delay = min(2 * self.delay, RECONNECT_DELAYS_S[1])

    def drop_link(self, link: Link, code: str) -> None:
        """The link is over at once: what else came on it is not read any more."""
        self.log.event("link-fault", code)
        link.transport.abortConnection()
        self.handle_disconnected(link, code)

    def handle_line(self, line: bytes) -> None:
        """What goes wrong with one notice must not cost the link, and with it all others."""
        try:
            self._process_line(line)
        except Exception as error:
            self.log.fault("link-fault", error)

    def _process_line(self, line: bytes) -> None:
        message = decode(line)
        match message:
            case Notice():
                self._handle_notice(message)
            case Gauges(ticket, figures):
                if ticket == FENCE:
                    self.fence_answered = True
                else:
                    self._confirm_read(ticket)
                    self._answer_query(ticket, figures)
            case Posted(ticket, succeeded):
                self._confirm_read(ticket)
                self._answer_query(ticket, succeeded)
            case Booted(cold, ago_us):
                self.delay = RECONNECT_DELAYS_S[0]
                self.log.event("boot", "cold" if cold else "warm", ago_ms=ago_us / 1_000, again=self.booted)
                if not self.booted:
                    self.booted = True
                    self.service.on_kernel_boot(cold, ago_us)
                # Notices from before the break come first; what they show is not to be commanded again.
                if self.link is not None:
                    self.link.transport.write(encode("SYSINFO", ticket=FENCE))
            case Invalid(command, handle):
                self.log.event("link-fault", "einval", command=command, handle=handle)
                self._handle_refusal(command, handle)
            case None:
                self.log.event("link-fault", "unreadable", line=line[:200].decode(errors="replace"))

    def _resend_commands(self) -> None:
        if self.link is None:
            return
        self.ready = True
        if self.cursor:
            self.resent |= set(self.unconfirmed)
        for ref, command in self.unconfirmed.items():
            was_sent, command.sent = command.sent, True
            if not (was_sent and command.replies_to):
                self.link.transport.write(command.line)
            elif command.serial > self.last_read_serial and command.may_skip:
                # A reply names no call: sent again, it may be taken for that of a later one. Whether the
                # first arrived can't be known, so a run that can go on without is told so, which names its
                # call. One that can't is left: it has the reply, or waits until its txn's due time ends it.
                self.link.transport.write(encode("NOIO", handle=ref, cursor=command.replies_to))

    def _handle_notice(self, notice: Notice) -> None:
        if notice.cursor <= self.cursor:
            self.log.event("link-fault", "seen", cursor=notice.cursor)
            return
        if (
            notice.cursor > self.cursor + 1
            and self.retried_gap_end != notice.cursor
            and self.link is not None
        ):
            # One that is missing may be somebody's end: asked for once more before it is given up.
            self.retried_gap_end = notice.cursor
            self.drop_link(self.link, "gap")
            return
        self.cursor = notice.cursor
        if notice.event is None:
            return
        self.unconfirmed.pop(notice.handle, None)
        if not self.service.on_run_event(notice.handle, notice.event):
            self.log.event("link-fault", "unknown-handle", handle=notice.handle)

    def _handle_refusal(self, command: str, handle: str) -> None:
        """A reply sent again may have been taken before: then it proves nothing about the run. A start can't
        be refused for that: a run that goes on already is no fault. One that is refused the first time never
        began: the kernel knows no such request."""
        if command == "SCHED" or handle not in self.resent:
            never_began = command == "SCHED" and handle not in self.resent
            self.discard(handle)
            self.service.on_run_event(
                handle, RunEnded(EndStatus.NEVER_BEGAN if never_began else EndStatus.FAILED)
            )
