"""HTTP/1.1 client for the ledger: each call on its own connection, with a limit on open connections.

It owns the reply parser and derives from a reply only what it proves about the call. It must never repeat a
call, shorten its time-out or reorder calls: they are sent in the order in which they were requested.

Connections are not reused. On a reused one, a late duplicate of a reply would be taken as the reply to the
next call, and a reset would prove nothing: the ledger may have dropped the idle connection, or done the work
and then failed. Opening a connection costs less than either.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from limeridge.facade import CallEnded, EndStatus
from limeridge.net.log import Log

MAX_HEAD_BYTES = 8_192
MAX_BODY_BYTES = 65_536
# After an end with one of these codes the ledger no longer works on the call.
SETTLED_END_CODES = ("done", "unreached", "share-lapsed")
MAX_INFORMATIONAL_REPLIES = 8  # 1xx replies before the final one; an endless series would block the loop


class Gate(Protocol):
    """Enforces the limit on the calls of a whole fleet: asked before a connection is opened (`begin`) and
    again before the call is sent (`still_allowed`).

    `end` releases the call; `left_behind` means that the ledger may still work on it.
    """

    def begin(self) -> bool: ...
    def still_allowed(self) -> bool: ...
    def end(self, left_behind: bool) -> None: ...


class BadReply(Exception):
    """The reply is malformed: it proves nothing, and the connection can't be used any more."""


class ReplyParser:
    """Parses one HTTP/1.1 reply from arbitrary chunks of bytes; what follows it is ignored."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.status = 0  # 0 until the head has been parsed
        self.body_length = 0
        self.not_begun = False
        self.informational_replies = 0

    def feed(self, data: bytes) -> tuple[int, bool, bytes] | None:
        """Returns the status, whether the call is proved not to have begun, and the body, once complete."""
        self.data += data
        while not self.status:
            end = self.data.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
            if end < 0:
                if len(self.data) >= MAX_HEAD_BYTES or not b"HTTP/1.".startswith(self.data[:7]):
                    raise BadReply
                return None
            self._parse_head(bytes(self.data[:end]))
            del self.data[: end + 4]
            if self.status < 200:
                self.status, self.informational_replies = 0, self.informational_replies + 1
                if self.informational_replies > MAX_INFORMATIONAL_REPLIES:
                    raise BadReply
        if len(self.data) < self.body_length:
            return None
        return self.status, self.not_begun, bytes(self.data[: self.body_length])

    def _parse_head(self, head: bytes) -> None:
        status_line, *field_lines = head.split(b"\r\n")
        version, _, rest = status_line.partition(b" ")
        if not version.startswith(b"HTTP/1.") or not rest[:3].isdigit() or rest[3:4] not in (b"", b" "):
            raise BadReply
        length = -1
        self.not_begun = False
        for field in field_lines:
            name, colon, value = field.partition(b":")
            name, value = name.lower(), value.strip()
            if not colon:
                raise BadReply
            if name == b"content-length":
                if length >= 0 or not value.isdigit() or len(value) > 9:
                    raise BadReply
                length = int(value)
            elif name == b"transfer-encoding":
                raise BadReply
            elif name == b"op-not-begun":
                self.not_begun = value == b"1"
        status = int(rest[:3])
        if status < 100 or length > MAX_BODY_BYTES or (length < 0 and status >= 200):
            raise BadReply
        self.status, self.body_length = status, max(0, length)


def call_end_status(status: int, not_begun: bool) -> EndStatus:
    if status in (409, 503):
        return (
            EndStatus.FAILED if not not_begun else EndStatus.FULL if status == 503 else EndStatus.NEVER_BEGAN
        )
    return {200: EndStatus.OK, 504: EndStatus.TIMED_OUT}.get(status, EndStatus.FAILED)


def encode_request(host: str, ref: str, time_out_us: int, body: bytes) -> bytes:
    head = (
        f"POST /records/op HTTP/1.1\r\nHost: {host}\r\nOp-Of: {ref}\r\n"
        f"Op-Wait-Ms: {-(-time_out_us // 1_000)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Call:
    """One call, from its request to its end; `done` fires once with its result."""

    def __init__(self, ledger: Ledger, ref: str, time_out_us: int, body: bytes) -> None:
        self.ledger, self.ref, self.time_out_us, self.body = ledger, ref, time_out_us, body
        self.started_at = ledger.reactor.seconds()
        self.done: Deferred[CallEnded] = Deferred()
        self.over = False
        self.connection: CallConnection | None = None
        self.timer = ledger.reactor.callLater(time_out_us / 1_000_000, self.time_out)

    def _finish(self) -> bool:
        """Marks the call as ended; True only for the first time."""
        first, self.over = not self.over, True
        if self.timer.active():
            self.timer.cancel()
        return first

    def end(self, end: EndStatus, body: bytes = b"") -> None:
        if self._finish():
            self.done.callback(
                CallEnded(end, int((self.ledger.reactor.seconds() - self.started_at) * 1e6), body)
            )

    def time_out(self) -> None:
        # A call that was never sent, because no connection was made in time, is proved not to have run.
        sent = self.connection is not None and self.connection.call_protocol is not None
        self._close_connection()
        self.end(EndStatus.TIMED_OUT if sent else EndStatus.UNREACHED)

    def _close_connection(self) -> None:
        """Closes the call's connection, by which the ledger learns that the call was given up."""
        if self.connection is not None:
            self.connection.close("given-up")

    def abandon(self) -> None:
        """Gives the call up because its run has ended: its result is not needed any more."""
        if self._finish():
            self._close_connection()


class CallProtocol(TwistedProtocol):
    """The protocol of one call's connection."""

    transport: Any

    def __init__(self, connection: CallConnection) -> None:
        self.connection, self.reply = connection, ReplyParser()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.connection.handle_connected(self)

    def dataReceived(self, data: bytes) -> None:
        connection = self.connection
        if connection.code:
            return
        try:
            reply = self.reply.feed(data)
        except BadReply:
            connection.close("bad-reply")
            connection.call.end(EndStatus.BROKEN)
            return
        if reply is not None:
            status, not_begun, body = reply
            connection.close("done")
            connection.call.end(call_end_status(status, not_begun), body)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.connection.handle_closed("broke-in-call")
        self.connection.call.end(EndStatus.BROKEN)  # ignored if the call has already ended


class CallConnection(ClientFactory):
    """The connection of one call, from the attempt to open it until it is closed."""

    noisy = False

    def __init__(self, ledger: Ledger, call: Call) -> None:
        self.ledger, self.call = ledger, call
        self.address = ledger.host, ledger.port
        self.call_protocol: CallProtocol | None = None
        self.code = ""
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> CallProtocol:
        return CallProtocol(self)

    def handle_connected(self, protocol: CallProtocol) -> None:
        self.call_protocol = protocol
        if self.code:
            protocol.transport.abortConnection()
            return
        call, gate = self.call, self.ledger.gate
        # The share of calls may have lapsed while the connection was being opened.
        if gate is not None and not gate.still_allowed():
            self.close("share-lapsed")
            call.end(EndStatus.UNREACHED)
            return
        protocol.transport.write(encode_request(self.ledger.host, call.ref, call.time_out_us, call.body))

    def close(self, code: str) -> None:
        if not self.code:
            self.code = code
            if self.call_protocol is not None:
                # Aborted, since an orderly close would keep the port in TIME_WAIT for a minute.
                self.call_protocol.transport.abortConnection()
            elif self.connector is not None:
                self.connector.disconnect()

    def handle_closed(self, code: str) -> None:
        self.ledger.handle_closed(self, self.code or code)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.handle_closed("unreached")
        if not self.code and self.address != (self.ledger.host, self.ledger.port):
            self.ledger.requeue(self.call)  # nothing was sent, and the ledger's address has changed
        elif not self.code:
            self.ledger.log.event("ledger", "unreached", why=reason.getErrorMessage()[:200])
            self.call.end(EndStatus.UNREACHED)


class Ledger:
    def __init__(self, reactor: Any, host: str, port: int, log: Log, max_connections: int) -> None:
        self.reactor, self.host, self.port, self.log = reactor, host, port, log
        self.max_connections = max_connections
        self.gate: Gate | None = None
        self.waiting: deque[Call] = deque()
        self.connections = 0  # including those being opened

    def call(self, ref: str, time_out_us: int, body: bytes) -> Call:
        call = Call(self, ref, time_out_us, body)
        self.waiting.append(call)
        self._open()
        return call

    def requeue(self, call: Call) -> None:
        self.waiting.appendleft(call)
        self._open()

    def set_address(self, host: str, port: int) -> None:
        """Sends later calls to a new address; those in progress end at the old one."""
        self.host, self.port = host, port

    def _open(self) -> None:
        while self.waiting and self.connections < self.max_connections:
            call = self.waiting.popleft()
            if call.over:
                continue
            if self.gate is not None and not self.gate.begin():
                call.end(EndStatus.FULL)
                continue
            self.connections += 1
            call.connection = CallConnection(self, call)
            # No connect time-out: the call has a timer already, and a second one would cost every call.
            call.connection.connector = self.reactor.connectTCP(
                self.host, self.port, call.connection, timeout=None
            )

    def handle_closed(self, connection: CallConnection, code: str) -> None:
        self.connections -= 1
        if self.gate is not None:
            self.gate.end(left_behind=code not in SETTLED_END_CODES)
        if connection.call_protocol is not None:
            self.log.event("ledger-end", code)
        self._open()
