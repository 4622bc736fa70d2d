"""The connection to the kernel, which owns the cores: JSON lines, a cursor over its notices, reconnection.

It owns the line parser, the decoding of notices into typed events, and the commands that are not known to
have been carried out, so that a new link can resume where the last one broke. It must never judge what a
notice means for a txn: it passes typed events on and sends the commands that it is given."""

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

MAX_LINE_BYTES = 65_536
RECONNECT_DELAYS_S = (0.02, 0.25)  # first and maximum; both short, since a refused attempt costs little
CONNECT_TIMEOUT_S = 2.0
LINK_LOSS_GRACE_S = 1.5  # without a link for longer, the kernel is unavailable; a short break is no failure
OLD_LINK_CLOSE_TIMEOUT_S = 2.0  # after a new link has replaced it
FENCE = "fence"  # ticket of the SYSINFO query sent after OPEN: its answer follows the last repeated notice

END_STATUSES = {
    "ok": EndStatus.OK,
    "failed": EndStatus.FAILED,
    "halted": EndStatus.STOPPED,
    "void": EndStatus.NEVER_BEGAN,
}


class BadLine(Exception):
    """A line is too long: the link can't be used any more."""


class LineParser:
    """Splits a byte stream, which arrives in arbitrary chunks, into lines."""

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
    ago_us: int


@dataclass(slots=True, frozen=True)
class Notice:
    """A numbered notice about one txn's run; without an event if it is only a log message (DMESG)."""

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
    """Decodes a line; None if it is malformed or of an unknown kind."""
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
    # orjson's own buffer is several times as large as what it holds; the copy has the size of the line.
    return b"%b\n" % orjson.dumps({"event": event, **fields})


@dataclass(slots=True, eq=False)
class Command:
    """The last command for a run, kept until a notice shows that it was carried out. Its fields are kept in
    place of its line, which would hold the request's body a second time."""

    event: str
    fields: dict[str, object]
    serial: int
    sent: bool = False  # on any link so far
    replies_to: int = 0  # for a reply, the cursor of the notice that requested the call
    may_skip: bool = False  # whether the run can continue without that call

    def encode(self) -> bytes:
        return encode(self.event, **self.fields)


class Service(Protocol):
    """Receives the events of the link."""

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
    """One connection attempt. Its link is dropped if a later attempt, to a new address, has replaced it."""

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
        self.ready = False  # the kernel has booted and its repeated notices have been read
        self.fence_answered = False  # likewise, but the rest of the current chunk has not been read
        self.booted = False
        self.cursor = 0
        self.retried_gap_end = 0  # cursor after a gap; if it shows again on a new link, its notices are lost
        self.delay = RECONNECT_DELAYS_S[0]
        self.stopping = False
        self.attempt: ConnectAttempt | None = None  # attempt in progress
        self.reconnect_timer: Any = None
        self.lost_at = 0.0  # when the link was last ready
        self.unconfirmed: dict[str, Command] = {}  # by handle, in the order in which they were sent
        # Serial numbers of commands: the last one issued, the last one the kernel is known to have read.
        self.serial, self.last_read_serial = 0, 0
        self.resent: set[str] = set()  # handles whose commands may be refused as already carried out
        self.tickets = 0
        # By ticket, with the serial of the last command before the query.
        self.pending_queries: dict[str, tuple[Deferred[Any], int]] = {}

    @property
    def is_available(self) -> bool:
        """Whether the kernel is up, as far as the link shows; a short break of the link does not count."""
        return self.ready or (self.booted and self.reactor.seconds() - self.lost_at < LINK_LOSS_GRACE_S)

    def connect(self) -> None:
        self._cancel_reconnect()
        if not self.stopping:
            self.attempt = ConnectAttempt(self)
            self.reactor.connectTCP(self.host, self.port, self.attempt, timeout=CONNECT_TIMEOUT_S)

    def set_address(self, host: str, port: int) -> None:
        """Connects to a new address; the old link is used until the new one is connected."""
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
        """Sends the reply to the call that notice `cursor` requested; `may_skip` tells whether the run can
        continue without it."""
        self._send_command(ref, "IODONE", arg=base64.b64encode(body).decode())
        command = self.unconfirmed[ref]
        command.replies_to, command.may_skip = cursor, may_skip

    def skip_call(self, ref: str, cursor: int) -> None:
        self._send_command(ref, "NOIO", cursor=cursor)

    def read_gauges(self, time_out_s: float) -> Deferred[tuple[float, ...] | None]:
        """Queries the gauges; None if they do not arrive in time."""
        return self._query("SYSINFO", time_out_s, None)

    def run_deep_check(self, time_out_s: float) -> Deferred[bool]:
        """Whether the kernel does the work of a deep health check within the time-out."""
        return self._query("POST", time_out_s, False)

    def discard(self, ref: str) -> None:
        """Drops the pending command of a txn whose handling has ended."""
        self.unconfirmed.pop(ref, None)
        self.resent.discard(ref)

    def _send_command(self, ref: str, event: str, **fields: object) -> None:
        self.serial += 1
        self.unconfirmed.pop(ref, None)
        command = self.unconfirmed[ref] = Command(event, {"handle": ref, **fields}, self.serial)
        if self.ready and self.link is not None:
            command.sent = True
            self.link.transport.write(command.encode())

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
        pending = self.pending_queries.pop(ticket, None)
        if pending is not None:
            pending[0].callback(result)

    def _confirm_read(self, ticket: str) -> None:
        """Notes that the kernel has read all commands sent before this query: it reads them in order."""
        if ticket in self.pending_queries:
            self.last_read_serial = max(self.last_read_serial, self.pending_queries[ticket][1])
            self.resent.clear()  # refusals of these would have arrived before the answer

    # ---- the link

    def handle_connected(self, link: Link) -> None:
        if self.attempt is not link.attempt or self.stopping:
            link.transport.abortConnection()
            return
        self._mark_unready()
        old, self.link, self.attempt = self.link, link, None
        if old is not None:
            # Only our side is closed: closing the socket with unread notices would reset the connection and
            # lose what was written last. Those notices are ignored here and repeated on the new link.
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
        """All lines of a received chunk have been processed. Commands are resent only now, since a notice
        later in the same chunk may show that a run has moved past its command."""
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
        """Aborts the link; whatever else arrived on it is not read."""
        self.log.event("link-fault", code)
        link.transport.abortConnection()
        self.handle_disconnected(link, code)

    def handle_line(self, line: bytes) -> None:
        """Processes a line and logs exceptions: a defect met by one notice must not end the link for all."""
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
                # Notices from before the break come first; commands that they confirm must not be resent.
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
                self.link.transport.write(command.encode())
            elif command.serial > self.last_read_serial and command.may_skip:
                # A reply does not name its call, so a resent one may be taken as the reply to a later call.
                # Whether the first one arrived is unknown. A run that can continue without the call gets
                # NOIO, which names the call. One that can't is left alone: it has the reply, or waits until
                # its txn's due time ends it.
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
            # A missing notice may be the end of a run: it is requested once more before it is given up.
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
        """Handles EINVAL. A refused reply that was resent may have been accepted the first time, so its
        refusal proves nothing about the run. A start is never refused because the run already exists; one
        that is refused the first time it is sent never began, as the kernel does not know such a request."""
        if command == "SCHED" or handle not in self.resent:
            never_began = command == "SCHED" and handle not in self.resent
            self.discard(handle)
            self.service.on_run_event(
                handle, RunEnded(EndStatus.NEVER_BEGAN if never_began else EndStatus.FAILED)
            )
