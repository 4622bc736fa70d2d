"""Fake callers that misbehave with well-formed requests: one copies another caller's idempotency key, one
sends a request while its connection is being closed.

It owns what such a caller sends and when. It must not judge the responses: the rules of the simulation check
the traffic at the instance.
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

CALLER_NUMBER = 9  # of all bad callers
IDLE_CLOSE_DELAY_S = 1.0  # from a farewell until an instance closes a connection that stays idle
MAX_REPEAT_DELAY_S = 0.2  # from a request with a copied key until the owner's repeat of its own


def encode_request(spec: TxnSpec, number: int, ref: str, unix_ms: int, resent: bool = False) -> bytes:
    """A request with the JSON-RPC id `number`, with its length header."""
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
    """Builds the given protocol instance; for a single connection."""

    noisy = False

    def __init__(self, protocol: Wire) -> None:
        self.built_protocol = protocol

    def buildProtocol(self, addr: object) -> Wire:
        return self.built_protocol


class BadCaller(Wire):
    """One connection of a caller that sends well-formed requests.

    `unix` returns the send time for a request, in Unix seconds. `on_finished` is called with each ref that
    was answered or abandoned, as for any caller.
    """

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
        self.open_refs: dict[int, str] = {}  # refs without an answer yet, by request id
        self.sent = 0
        self.timer: Any = None

    def send(
        self, spec: TxnSpec, resent: bool = False, write: Callable[[bytes], object] | None = None
    ) -> str:
        """Sends a request and returns its ref. `write` replaces the connection's write method."""
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
    """Sends a request with a copied key, and shortly afterwards a repeat as the key's owner would send it."""

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

    CROSSING_FAREWELL = "farewell"  # the request crosses the farewell on the wire
    AFTER_FAREWELL = "after the farewell"  # around the time at which the instance closes idle connections
    CROSSING_CLOSE = "in the air"  # the request crosses the end of the stream on the wire
    BEFORE_SHUTDOWN = "parting"  # it is unread when a drained instance starts to close all connections
    BEFORE_CLOSE = "unread"  # it is unread when the instance closes this connection


class LateSender(BadCaller):
    """Stays idle after its first request (`silent`: sends none), ignores the farewell, and sends a late
    request while its connection is being closed.

    `on_connected` is called once it is connected. `on_closed` is called at the end of the connection if a
    late request was sent, with whether the connection was reset. The code that observes the instance's side
    of the connection calls `send_late`.
    """

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
        self.late_ref = ""  # of the late request
        self.late_answered = False
        self.farewell_received = False
        self.late_after_farewell = False  # the farewell arrived before the late request was sent

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
        """Sends the late request, once. `write` replaces the connection's write method, for a request that
        must reach the instance without delay."""
        if not self.late_ref and self.transport.connected:
            self.late_after_farewell = self.farewell_received
            self.late_ref = self.send(self.spec, write=write)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        if self.late_ref:
            self.on_closed(self, not isinstance(reason.value, ConnectionDone))
