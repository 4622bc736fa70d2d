"""Stand-ins for bad callers that are more than bad bytes: one copies another's idempotency key, one
sends as its connection is ended.

It owns what such a caller sends and when. It must never judge what comes back: the rules of the simulation
read the wires of the instance.
"""

from __future__ import annotations

import base64
import random
from collections.abc import Callable
from enum import Enum
from typing import Any

import orjson
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

from limeridge.standins.callers import TxnSpec, frame

NUMBER = 9  # that a bad caller goes by
CLOSED_AFTER = 1.0  # seconds after a farewell until an instance ends a connection that rests on
REPEAT_WITHIN = 0.2  # seconds after a copy until its owner's repeat is sent


def request(want: TxnSpec, number: int, ref: str, unix_ms: int, resent: bool = False) -> bytes:
    """A whole request under the id `number`, framed."""
    params: dict[str, object] = {
        "i": ref,
        "s": unix_ms,
        "f": NUMBER,
        "d": want.try_timeout_ms,
        "m": want.size_kb,
        "p": 0.5,
        "doc": base64.b64encode(want.doc).decode(),
    }
    if want.customer:
        params["t"] = want.customer
    if want.key:
        params["k"] = want.key
    if resent:
        params["r"] = 1
    message = {"jsonrpc": "2.0", "id": number, "method": want.product, "params": params}
    return frame(orjson.dumps(message))


class ConnectOnce(ClientFactory):
    """Gives one protocol to one connection."""

    noisy = False

    def __init__(self, protocol: Wire) -> None:
        self.made = protocol

    def buildProtocol(self, addr: object) -> Wire:
        return self.made


class BadCaller(Wire):
    """One connection of a caller whose requests are whole. `unix` gives the seconds that it stamps on a
    request, `over` hears of each ref that is answered or given up, as the platform does of any caller's."""

    transport: Any

    def __init__(
        self, reactor: Any, chance: random.Random, unix: Callable[[], float], over: Callable[[str], None]
    ) -> None:
        self.reactor, self.chance, self.unix, self.over = reactor, chance, unix, over
        self.data = b""
        self.open: dict[int, str] = {}  # refs that wait for an answer, by id
        self.sent = 0
        self.timer: Any = None

    def send(self, want: TxnSpec, resent: bool = False, put: Callable[[bytes], object] | None = None) -> str:
        """The ref that the request was sent under; `put` takes its bytes in place of the connection."""
        self.sent += 1
        ref = self.open[self.sent] = f"{self.chance.getrandbits(64):016x}"
        (put or self.transport.write)(request(want, self.sent, ref, int(self.unix() * 1_000), resent))
        return ref

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            after = end + 4 + int(self.data[:end].split(b":")[1])
            if len(self.data) < after:
                return
            message, self.data = orjson.loads(self.data[end + 4 : after]), self.data[after:]
            self.answered(message)

    def answered(self, message: dict[str, Any]) -> None:
        ref = self.open.pop(message.get("id") or 0, "")
        if ref:
            self.over(ref)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        while self.open:
            self.over(self.open.popitem()[1])


class KeyCopier(BadCaller):
    """Sends a request under a key that it copied, and a moment later a repeat as the key's owner sends it."""

    def __init__(self, owned: TxnSpec, copied: TxnSpec, *usual: Any) -> None:
        super().__init__(*usual)
        self.owned, self.copied = owned, copied

    def connectionMade(self) -> None:
        self.send(self.copied)
        self.timer = self.reactor.callLater(REPEAT_WITHIN * self.chance.random(), self.repeat)

    def repeat(self) -> None:
        self.send(self.owned, resent=True)
        self.timer = self.reactor.callLater(self.owned.try_timeout_ms / 1_000, self.transport.loseConnection)


class Moment(Enum):
    """When a late sender sends."""

    FAREWELL = "farewell"  # what it sends crosses the farewell
    AFTER_FAREWELL = "after the farewell"  # about when the instance ends a connection that rests on
    IN_THE_AIR = "in the air"  # what it sends crosses the end of the stream
    PARTING = "parting"  # what it sends lies unread as a drained instance begins to end all connections
    UNREAD = "unread"  # what it sends lies unread as the instance asks for the end


class LateSender(BadCaller):
    """Rests after its first request, or says nothing at all, hears no farewell, and sends a request as its
    connection is ended. `stands` hears of it once it is connected, `ended` of the end, with what it sent
    late, whether that was answered and whether the end was a reset. Whoever sees the instance's own end of
    the connection calls `send_late`."""

    def __init__(
        self,
        want: TxnSpec,
        moment: Moment,
        silent: bool,
        stands: Callable[[LateSender], None],
        ended: Callable[[LateSender, bool], None],
        *usual: Any,
    ) -> None:
        super().__init__(*usual)
        self.want, self.moment, self.silent = want, moment, silent
        self.stands, self.ended = stands, ended
        self.late = ""  # the ref of what it sent late
        self.late_answered = False
        self.warned = self.late_warned = False  # a farewell was read; was before the late one was sent

    def connectionMade(self) -> None:
        self.stands(self)
        if not self.silent:
            self.send(self.want)

    def answered(self, message: dict[str, Any]) -> None:
        if message.get("method") == "farewell":
            self.warned = True
            if self.moment is Moment.AFTER_FAREWELL and self.timer is None:
                wait = CLOSED_AFTER * self.chance.uniform(0.9, 1.15)
                self.timer = self.reactor.callLater(wait, self.send_late)
            return
        self.late_answered |= bool(self.late) and self.open.get(message.get("id") or 0) == self.late
        super().answered(message)

    def send_late(self, put: Callable[[bytes], object] | None = None) -> None:
        """Once; `put` takes the bytes in place of its connection, where they are not to be on their way."""
        if not self.late and self.transport.connected:
            self.late_warned = self.warned
            self.late = self.send(self.want, put=put)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        if self.late:
            self.ended(self, not isinstance(reason.value, ConnectionDone))
