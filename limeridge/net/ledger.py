"""Calls to the ledger: HTTP/1.1, each call on a connection of its own, their number bounded.

It owns the parser of replies and the telling of how a call went, as what it proves and no more. It must never
repeat a call, shorten its time or choose which call goes first: calls go out as they are asked for.

A connection is not used again. On one that was, a late second copy of a reply is taken for the next call's
own, and a reset (the ledger had forgotten the connection, or it did the work and broke) proves nothing.
Opening one costs less than either.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

from limeridge.facade import CallEnded, EndStatus
from limeridge.net.log import Log

HEAD_MOST = 8_192  # bytes of a reply's head
BODY_MOST = 65_536  # bytes of a reply's body
ENDED_THERE = ("done", "unreached", "share-lapsed")  # codes of ends that leave nothing in the ledger's hands
EARLY_MOST = 8  # replies that only announce the one to come (1xx): without end they would keep the loop busy


class Gate(Protocol):
    """Who bounds the calls of a whole fleet has a last word on each."""

    def begin(self) -> bool: ...
    def still(self) -> bool: ...
    def end(self, left_behind: bool) -> None: ...


class BadReply(Exception):
    """The reply proves nothing and the connection is of no use any more."""


class Reply:
    """One HTTP/1.1 reply out of bytes that come split anywhere. What stands behind it is nobody's."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.status = 0  # once its head is read
        self.need = 0
        self.not_begun = False
        self.early = 0

    def feed(self, data: bytes) -> tuple[int, bool, bytes] | None:
        """Status, whether the call is proved not to have begun, and body, once all of it is there."""
        self.data += data
        while not self.status:
            end = self.data.find(b"\r\n\r\n", 0, HEAD_MOST)
            if end < 0:
                if len(self.data) >= HEAD_MOST or not b"HTTP/1.".startswith(self.data[:7]):
                    raise BadReply
                return None
            self._head(bytes(self.data[:end]))
            del self.data[: end + 4]
            if self.status < 200:
                self.status, self.early = 0, self.early + 1
                if self.early > EARLY_MOST:
                    raise BadReply
        if len(self.data) < self.need:
            return None
        return self.status, self.not_begun, bytes(self.data[: self.need])

    def _head(self, head: bytes) -> None:
        line, *lines = head.split(b"\r\n")
        version, _, rest = line.partition(b" ")
        if not version.startswith(b"HTTP/1.") or not rest[:3].isdigit() or rest[3:4] not in (b"", b" "):
            raise BadReply
        length = -1
        self.not_begun = False
        for field in lines:
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
        if status < 100 or length > BODY_MOST or (length < 0 and status >= 200):
            raise BadReply
        self.status, self.need = status, max(0, length)


def proved(status: int, not_begun: bool) -> EndStatus:
    if status in (409, 503):
        return (
            EndStatus.FAILED if not not_begun else EndStatus.FULL if status == 503 else EndStatus.NEVER_BEGAN
        )
    return {200: EndStatus.OK, 504: EndStatus.TIMED_OUT}.get(status, EndStatus.FAILED)


def encode(host: str, ref: str, wait: int, body: bytes) -> bytes:
    head = (
        f"POST /records/op HTTP/1.1\r\nHost: {host}\r\nOp-Of: {ref}\r\n"
        f"Op-Wait-Ms: {-(-wait // 1_000)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Call:
    """One call from its asking to its end; `done` fires once with how it went."""

    def __init__(self, ledger: Ledger, ref: str, wait: int, body: bytes) -> None:
        self.ledger, self.ref, self.wait, self.body = ledger, ref, wait, body
        self.begun = ledger.reactor.seconds()
        self.done: Deferred[CallEnded] = Deferred()
        self.over = False
        self.way: Way | None = None
        self.timer = ledger.reactor.callLater(wait / 1_000_000, self.time_out)

    def _finish(self) -> bool:
        """True for the first that ends it."""
        first, self.over = not self.over, True
        if self.timer.active():
            self.timer.cancel()
        return first

    def end(self, end: EndStatus, body: bytes = b"") -> None:
        if self._finish():
            self.done.callback(CallEnded(end, int((self.ledger.reactor.seconds() - self.begun) * 1e6), body))

    def time_out(self) -> None:
        # Never sent: the wait for a connection took all its time, and it proves that nothing ran.
        sent = self.way is not None and self.way.line is not None
        self._drop()
        self.end(EndStatus.TIMED_OUT if sent else EndStatus.UNREACHED)

    def _drop(self) -> None:
        """Gives the call up: closing its connection tells the ledger."""
        if self.way is not None:
            self.way.close("given-up")

    def abandon(self) -> None:
        """Its run is over: nobody waits for how it went."""
        if self._finish():
            self._drop()


class Line(Wire):
    """The connection of one call."""

    transport: Any

    def __init__(self, way: Way) -> None:
        self.way, self.reply = way, Reply()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.way.stands(self)

    def dataReceived(self, data: bytes) -> None:
        way = self.way
        if way.code:
            return
        try:
            reply = self.reply.feed(data)
        except BadReply:
            way.close("bad-reply")
            way.call.end(EndStatus.BROKEN)
            return
        if reply is not None:
            status, not_begun, body = reply
            way.close("done")
            way.call.end(proved(status, not_begun), body)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.way.ended("broke-in-call")
        self.way.call.end(EndStatus.BROKEN)  # passed over where the call is over already


class Way(ClientFactory):
    """A call's way to the ledger, from the opening of its connection to the end of that."""

    noisy = False

    def __init__(self, ledger: Ledger, call: Call) -> None:
        self.ledger, self.call = ledger, call
        self.address = ledger.host, ledger.port
        self.line: Line | None = None
        self.code = ""
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> Line:
        return Line(self)

    def stands(self, line: Line) -> None:
        self.line = line
        if self.code:
            line.transport.abortConnection()
            return
        call, gate = self.call, self.ledger.gate
        if gate is not None and not gate.still():  # the share may have lapsed while it was being opened
            self.close("share-lapsed")
            call.end(EndStatus.UNREACHED)
            return
        line.transport.write(encode(self.ledger.host, call.ref, call.wait, call.body))

    def close(self, code: str) -> None:
        if not self.code:
            self.code = code
            if self.line is not None:  # cut, not closed in good order: that would keep its port for a minute
                self.line.transport.abortConnection()
            elif self.connector is not None:
                self.connector.disconnect()

    def ended(self, code: str) -> None:
        self.ledger.ended(self, self.code or code)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.ended("unreached")
        if not self.code and self.address != (self.ledger.host, self.ledger.port):
            self.ledger.again(self.call)  # nothing was sent, and the ledger is elsewhere now
        elif not self.code:
            self.ledger.log.event("ledger", "unreached", why=reason.getErrorMessage()[:200])
            self.call.end(EndStatus.UNREACHED)


class Ledger:
    def __init__(self, reactor: Any, host: str, port: int, log: Log, most: int) -> None:
        self.reactor, self.host, self.port, self.log, self.most = reactor, host, port, log, most
        self.gate: Gate | None = None
        self.waiting: deque[Call] = deque()
        self.connections = 0  # being opened ones included

    def call(self, ref: str, wait: int, body: bytes) -> Call:
        call = Call(self, ref, wait, body)
        self.waiting.append(call)
        self._open()
        return call

    def again(self, call: Call) -> None:
        self.waiting.appendleft(call)
        self._open()

    def set_address(self, host: str, port: int) -> None:
        """New configuration: calls go there from now on; those that are out end where they are."""
        self.host, self.port = host, port

    def _open(self) -> None:
        while self.waiting and self.connections < self.most:
            call = self.waiting.popleft()
            if call.over:
                continue
            if self.gate is not None and not self.gate.begin():
                call.end(EndStatus.FULL)
                continue
            self.connections += 1
            call.way = Way(self, call)
            # Without a time-out of its own: the call has one, and a timer more would cost each call.
            call.way.connector = self.reactor.connectTCP(self.host, self.port, call.way, timeout=None)

    def ended(self, way: Way, code: str) -> None:
        self.connections -= 1
        if self.gate is not None:
            self.gate.end(left_behind=code not in ENDED_THERE)
        if way.line is not None:
            self.log.event("ledger-end", code)
        self._open()
