"""Calls to the ledger: HTTP/1.1, one call at a time on a connection, connections bounded and used again.

It owns the parser of replies and the telling of how a call went, as what it proves and no more. It must never
repeat a call, shorten its time or choose which call goes first: calls go out as they are asked for.
"""

from __future__ import annotations

import socket
from collections import deque
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

from limeridge.facade import Called, End
from limeridge.net.log import Log

HEAD_MOST = 8_192  # bytes of a reply's head
BODY_MOST = 65_536  # bytes of a reply's body
KEEP = 8.0  # seconds that an idle connection is kept; the ledger closes it after 10, in the middle of a call


class BadReply(Exception):
    """The reply proves nothing and the connection is of no use any more."""


class Replies:
    """One HTTP/1.1 reply after the other, out of bytes that come split anywhere."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.status = 0  # of the reply whose body is awaited
        self.need = 0
        self.not_begun = False
        self.last = False

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
            if 100 <= self.status < 200:
                self.status = 0
        if len(self.data) < self.need:
            return None
        status, body = self.status, bytes(self.data[: self.need])
        del self.data[: self.need]
        if self.data:
            raise BadReply  # more than was asked for: whose answer came would be a guess
        self.status = 0
        return status, self.not_begun, body

    def _head(self, head: bytes) -> None:
        line, *lines = head.split(b"\r\n")
        version, _, rest = line.partition(b" ")
        if not version.startswith(b"HTTP/1.") or not rest[:3].isdigit() or rest[3:4] not in (b"", b" "):
            raise BadReply
        length = -1
        self.not_begun, self.last = False, version == b"HTTP/1.0"
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
            elif name == b"connection":
                self.last = value.lower() == b"close"
        status = int(rest[:3])
        if status < 100 or length > BODY_MOST or (length < 0 and status >= 200):
            raise BadReply
        self.status, self.need = status, max(0, length)


def proved(status: int, not_begun: bool) -> End:
    if status in (409, 503):
        return End.FAILED if not not_begun else End.FULL if status == 503 else End.NEVER_BEGAN
    return {200: End.OK, 504: End.TIMED_OUT}.get(status, End.FAILED)


def encode(host: str, ref: str, wait: int, body: bytes) -> bytes:
    head = (f"POST /records/op HTTP/1.1\r\nHost: {host}\r\nOp-Of: {ref}\r\n"
            f"Op-Wait-Ms: {-(-wait // 1_000)}\r\nContent-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Call:
    """One call from its asking to its end; `done` fires once with how it went."""

    def __init__(self, ledger: Ledger, ref: str, wait: int, body: bytes) -> None:
        self.ledger, self.ref, self.wait, self.body = ledger, ref, wait, body
        self.begun = ledger.reactor.seconds()
        self.done: Deferred[Called] = Deferred()
        self.over = False
        self.line: Line | None = None
        self.timer = ledger.reactor.callLater(wait / 1_000_000, self.time_out)

    def _finish(self) -> bool:
        """True for the first that ends it."""
        first, self.over = not self.over, True
        if self.timer.active():
            self.timer.cancel()
        return first

    def end(self, end: End, body: bytes = b"") -> None:
        if self._finish():
            self.done.callback(Called(end, int((self.ledger.reactor.seconds() - self.begun) * 1e6), body))

    def time_out(self) -> None:
        # Never sent: the wait for a connection took all its time, and it proves that nothing ran.
        sent = self.line is not None
        self.drop()
        self.end(End.TIMED_OUT if sent else End.UNREACHED)

    def drop(self) -> None:
        """Gives the call up: closing its connection tells the ledger."""
        if self.line is not None and not self.over:
            line, self.line = self.line, None
            line.call = None
            line.close("given-up")

    def abandon(self) -> None:
        """Its run is over: nobody waits for how it went."""
        self.drop()
        self._finish()


class Line(Wire):
    """One connection to the ledger."""

    transport: Any

    def __init__(self, ledger: Ledger) -> None:
        self.ledger, self.replies = ledger, Replies()
        self.call: Call | None = None
        self.idle_since = 0.0
        self.used = 0
        self.address = ledger.host, ledger.port
        self.code = ""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.ledger.opened(self)

    def stale(self) -> bool:
        """Whether the ledger closed it, or sent what nobody asked for, and the reactor has not come to it yet
        (after a pause, say): a call sent there would break and prove nothing."""
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def send(self, call: Call) -> None:
        self.call, call.line = call, self
        self.used += 1
        self.transport.write(encode(self.ledger.host, call.ref, call.wait, call.body))

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return
        call = self.call
        if call is None:
            self.close("unasked")
            return
        try:
            reply = self.replies.feed(data)
        except BadReply:
            self.close("bad-reply")
            self.call = None
            call.end(End.BROKEN)
            return
        if reply is None:
            return
        status, not_begun, body = reply
        self.call = call.line = None
        if self.replies.last or self.address != (self.ledger.host, self.ledger.port):
            self.close("last-reply")
        else:
            self.ledger.free(self)
        call.end(proved(status, not_begun), body)

    def close(self, code: str) -> None:
        self.code = self.code or code
        self.ledger.forget(self)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ledger.forget(self)
        call, self.call = self.call, None
        self.ledger.ended(self, self.code or ("broke-in-call" if call else "peer-closed"))
        if call is not None:
            call.end(End.BROKEN)


class Ledger(ClientFactory):
    noisy = False

    def __init__(self, reactor: Any, host: str, port: int, log: Log, most: int) -> None:
        self.reactor, self.host, self.port, self.log, self.most = reactor, host, port, log, most
        self.idle: deque[Line] = deque()
        self.waiting: deque[Call] = deque()
        self.connections = 0  # being opened ones included
        self.opening = 0

    def call(self, ref: str, wait: int, body: bytes) -> Call:
        call = Call(self, ref, wait, body)
        while self.idle:
            line = self.idle.pop()
            if not line.stale():
                line.send(call)
                return call
            line.close("stale")
        self.waiting.append(call)
        self._open()
        return call

    def move(self, host: str, port: int) -> None:
        """New configuration: calls go there from now on; those that are out end where they are."""
        self.host, self.port = host, port
        for line in [*self.idle]:
            line.close("moved")

    def _open(self) -> None:
        wanted = sum(not call.over for call in self.waiting)
        if wanted > self.opening and self.connections < self.most:
            self.connections += 1
            self.opening += 1
            self.reactor.connectTCP(self.host, self.port, self, timeout=5)

    def buildProtocol(self, addr: object) -> Line:
        return Line(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.connections -= 1
        self.opening -= 1
        self.log.event("ledger", "unreached", why=reason.getErrorMessage()[:200])
        call = self._next()
        if call is not None:
            call.end(End.UNREACHED)
        self._open()

    def opened(self, line: Line) -> None:
        self.opening -= 1
        self.free(line)

    def free(self, line: Line) -> None:
        call = self._next()
        if call is not None:
            line.send(call)
        else:
            line.idle_since = self.reactor.seconds()
            self.idle.append(line)

    def _next(self) -> Call | None:
        while self.waiting:
            call = self.waiting.popleft()
            if not call.over:
                return call
        return None

    def forget(self, line: Line) -> None:
        if line in self.idle:
            self.idle.remove(line)

    def ended(self, line: Line, code: str) -> None:
        self.connections -= 1
        self.log.event("ledger-end", code, calls=line.used)
        self._open()

    def sweep(self) -> None:
        """Against a call that meets the ledger's own closing of an idle connection."""
        limit = self.reactor.seconds() - KEEP
        while self.idle and self.idle[0].idle_since < limit:
            self.idle[0].close("idle")
