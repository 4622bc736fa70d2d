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

CALLER_NUMBER = 9  # that a bad caller goes by
IDLE_CLOSE_DELAY_S = 1.0  # seconds after a farewell until an instance ends a connection that rests on
MAX_REPEAT_DELAY_S = 0.2  # seconds after a copy until its owner's repeat is sent


def encode_request(spec: TxnSpec, number: int, ref: str, unix_ms: int, resent: bool = False) -> bytes:
    """A whole request under the id `number`, framed."""
    params: dict[str, object] = {
        "i": ref,
        "s": unix_ms,
        "f": CALLER_NUMBER,
        "d": spec.try_timeout_ms,
        "m": spec.size_kb,
        "p": 0.5,
        "doc": base64.b64encode(spec.doc).decode(),
    }
    if spec.customer:
        params["t"] = spec.customer
    if spec.key:
        params["k"] = spec.key
    if resent:
        params["r"] = 1
    message = {"jsonrpc": "2.0", "id": number, "method": spec.product, "params": params}
    return frame(orjson.dumps(message))


class ConnectOnce(ClientFactory):
    """Gives one protocol to one connection."""

    noisy = False

    def __init__(self, protocol: Wire) -> None:
        self.built_protocol = protocol

    def buildProtocol(self, addr: object) -> Wire:
        return self.built_protocol


class BadCaller(Wire):
    """One connection of a caller whose requests are whole. `unix` gives the seconds that it stamps on a
    request, `over` hears of each ref that is answered or given up, as the platform does of any caller's."""

    transport: Any

    def __init__(
        self,
        reactor: Any,
        chance: random.Random,
        unix: Callable[[], float],
        on_finished: Callable[[str], None],
    ) -> None:
        self.reactor, self.chance, self.unix, self.on_finished = reactor, chance, unix, on_finished
        self.data = b""
        self.open_refs: dict[int, str] = {}  # refs that wait for an answer, by id
        self.sent = 0
        self.timer: Any = None

    def send(
        self, spec: TxnSpec, resent: bool = False, write: Callable[[bytes], object] | None = None
    ) -> str:
        """The ref that the request was sent under; `put` takes its bytes in place of the connection."""
        self.sent += 1
        ref = self.open_refs[self.sent] = f"{self.chance.getrandbits(64):016x}"
        (write or self.transport.write)(
            encode_request(spec, self.sent, ref, int(self.unix() * 1_000), resent)
        )
        return ref

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            after = end + 4 + int(self.data[:end].split(b":")[1])
            if len(self.data) < after:
                return
            message, self.data = orjson.loads(self.data[end + 4 : after]), self.data[after:]
            self.handle_message(message)

    def handle_message(self, message: dict[str, Any]) -> None:
        ref = self.open_refs.pop(message.get("id") or 0, "")
        if ref:
            self.on_finished(ref)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        while self.open_refs:
            self.on_finished(self.open_refs.popitem()[1])


class KeyCopier(BadCaller):
    """Sends a request under a key that it copied, and a moment later a repeat as the key's owner sends it."""

    def __init__(self, owned: TxnSpec, copied: TxnSpec, *common_arguments: Any) -> None:
        super().__init__(*common_arguments)
        self.owned, self.copied = owned, copied

    def connectionMade(self) -> None:
        self.send(self.copied)
        self.timer = self.reactor.callLater(MAX_REPEAT_DELAY_S * self.chance.random(), self.send_repeat)

    def send_repeat(self) -> None:
        self.send(self.owned, resent=True)
        self.timer = self.reactor.callLater(self.owned.try_timeout_ms / 1_000, self.transport.loseConnection)


class SendTime(Enum):
    """When a late sender sends."""

    CROSSING_FAREWELL = "farewell"  # what it sends crosses the farewell
    AFTER_FAREWELL = "after the farewell"  # about when the instance ends a connection that rests on
    CROSSING_CLOSE = "in the air"  # what it sends crosses the end of the stream
    BEFORE_SHUTDOWN = (
        "parting"  # what it sends lies unread as a drained instance begins to end all connections
    )
    BEFORE_CLOSE = "unread"  # what it sends lies unread as the instance asks for the end


class LateSender(BadCaller):
    """Rests after its first request, or says nothing at all, hears no farewell, and sends a request as its
    connection is ended. `stands` hears of it once it is connected, `ended` of the end, with what it sent
    late, whether that was answered and whether the end was a reset. Whoever sees the instance's own end of
    the connection calls `send_late`."""

    def __init__(
        self,
        spec: TxnSpec,
        send_time: SendTime,
        silent: bool,
        on_connected: Callable[[LateSender], None],
        on_closed: Callable[[LateSender, bool], None],
        *common_arguments: Any,
    ) -> None:
        super().__init__(*common_arguments)
        self.spec, self.send_time, self.silent = spec, send_time, silent
        self.on_connected, self.on_closed = on_connected, on_closed
        self.late_ref = ""  # the ref of what it sent late
        self.late_answered = False
        self.farewell_received = self.late_after_farewell = (
            False  # a farewell was read; was before the late one was sent
        )

    def connectionMade(self) -> None:
        self.on_connected(self)
        if not self.silent:
            self.send(self.spec)

    def handle_message(self, message: dict[str, Any]) -> None:
        if message.get("method") == "farewell":
            self.farewell_received = True
            if self.send_time is SendTime.AFTER_FAREWELL and self.timer is None:
                wait = IDLE_CLOSE_DELAY_S * self.chance.uniform(0.9, 1.15)
                self.timer = self.reactor.callLater(wait, self.send_late)
            return
        self.late_answered |= (
            bool(self.late_ref) and self.open_refs.get(message.get("id") or 0) == self.late_ref
        )
        super().handle_message(message)

    def send_late(self, write: Callable[[bytes], object] | None = None) -> None:
        """Once; `put` takes the bytes in place of its connection, where they are not to be on their way."""
        if not self.late_ref and self.transport.connected:
            self.late_after_farewell = self.farewell_received
            self.late_ref = self.send(self.spec, write=write)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        if self.late_ref:
            self.on_closed(self, not isinstance(reason.value, ConnectionDone))
