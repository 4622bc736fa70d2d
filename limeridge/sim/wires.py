"""What passes on an instance's wires, as typed events: read off the bytes that it reads and writes.

It owns parsers of its own, apart from the instance's and from the stand-ins'. It must never ask an instance
anything, and never judge: oracles.py does.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from limeridge.sim.plan import PEER_PORT
from limeridge.sim.reactor import Closing, Socket


@dataclass(slots=True, frozen=True)
class Asked:
    line: int
    id: int
    ref: str
    product: str
    customer: str
    key: str
    landed_ms: int
    patience: float
    size_kb: float
    doc: str


@dataclass(slots=True, frozen=True)
class Odd:
    """A message of a caller that is no usual one; `fatal` where the framing is gone."""

    line: int
    fatal: bool


@dataclass(slots=True, frozen=True)
class Revoked:
    line: int
    id: int
    ref: str


@dataclass(slots=True, frozen=True)
class Checked:
    line: int
    id: int


@dataclass(slots=True, frozen=True)
class Answered:
    line: int
    id: int | None
    kind: str  # settled, declined, voided, health
    doc: str
    come_back: float
    ready: bool
    value: float | None


@dataclass(slots=True, frozen=True)
class Farewell:
    line: int


@dataclass(slots=True, frozen=True)
class LineMade:
    line: int


@dataclass(slots=True, frozen=True)
class LineClosing:
    """The instance asked for the connection's end."""

    line: int
    how: Closing


@dataclass(slots=True, frozen=True)
class Dropped:
    """A request that was read behind the instance's own end of the stream: it can't be answered any more."""

    line: int
    ref: str


@dataclass(slots=True, frozen=True)
class SenderEnded:
    """A caller that sent a request as its connection was ended has heard of the end: read off its own end."""

    line: int
    ref: str
    silent: bool  # it had sent nothing before
    warned: bool  # it had read a farewell before it sent
    answered: bool
    reset: bool


@dataclass(slots=True, frozen=True)
class LineEnded:
    line: int
    by_us: bool
    stalled: bool


@dataclass(slots=True, frozen=True)
class Command:
    link: int
    event: str
    handle: str
    entry: str
    arg: str
    cursor: int
    ticket: str


@dataclass(slots=True, frozen=True)
class Notice:
    link: int
    event: str
    cursor: int
    handle: str
    fate: str
    arg: str
    ticket: str


@dataclass(slots=True, frozen=True)
class LinkMade:
    link: int


@dataclass(slots=True, frozen=True)
class LinkEnded:
    link: int


@dataclass(slots=True, frozen=True)
class CallMade:
    line: int
    ref: str
    wait_ms: int
    body: bytes


@dataclass(slots=True, frozen=True)
class Replied:
    line: int
    status: int  # 0 where it can't be read
    not_begun: bool
    body: bytes


@dataclass(slots=True, frozen=True)
class CallEnded:
    line: int
    by_us: bool


@dataclass(slots=True, frozen=True)
class Garbled:
    """What the instance wrote is not of its protocol."""

    role: str
    data: bytes


Passed = (
    Asked
    | Odd
    | Revoked
    | Checked
    | Answered
    | Farewell
    | LineMade
    | LineClosing
    | Dropped
    | SenderEnded
    | LineEnded
    | Command
    | Notice
    | LinkMade
    | LinkEnded
    | CallMade
    | Replied
    | CallEnded
    | Garbled
)


class Wire:
    """Both directions of one connection, what is not whole yet kept."""

    __slots__ = ("called", "closing", "dead", "into", "out", "role", "serial")

    def __init__(self, role: str, serial: int) -> None:
        self.role, self.serial = role, serial
        self.into, self.out = b"", b""
        self.dead = self.called = False  # nothing more can be read off it; a call's reply was read
        self.closing = False  # the instance asked for its end


class Recorder:
    """The tap of one instance's life. `tell` gets each event as it passes."""

    def __init__(
        self,
        products: frozenset[str],
        kernel: frozenset[tuple[str, int]],
        ledger: frozenset[tuple[str, int]],
        tell: Callable[[Passed], None],
    ) -> None:
        self.products, self.kernel, self.ledger, self.tell = products, kernel, ledger, tell
        self.wires: dict[int, Wire] = {}

    # ---- Tap

    def made(self, socket: Socket, accepted: bool) -> None:
        peer = (socket.peer[0], socket.peer[1])
        role = (
            "other"
            if socket.host[1] == PEER_PORT or socket.peer[1] == PEER_PORT
            else "caller"
            if accepted
            else "kernel"
            if peer in self.kernel
            else "ledger"
            if peer in self.ledger
            else "?"
        )
        self.wires[socket.serial] = Wire(role, socket.serial)
        if role == "kernel":
            self.tell(LinkMade(socket.serial))
        elif role == "caller":
            self.tell(LineMade(socket.serial))

    def read(self, socket: Socket, data: bytes) -> None:
        wire = self.wires[socket.serial]
        if wire.dead or wire.role == "other":
            return
        wire.into += data
        if wire.role == "caller":
            self._frames_in(wire)
        elif wire.role == "kernel":
            *lines, wire.into = wire.into.split(b"\n")
            for line in lines:
                self._notice(wire, line)
        else:
            self._reply(wire)

    def wrote(self, socket: Socket, data: bytes) -> None:
        wire = self.wires[socket.serial]
        if wire.role == "other":
            return
        wire.out += data
        if wire.role == "caller":
            self._frames_out(wire)
        elif wire.role == "kernel":
            *lines, wire.out = wire.out.split(b"\n")
            for line in lines:
                self._command(wire, line)
        else:
            self._call(wire)

    def closing(self, socket: Socket, how: Closing) -> None:
        wire = self.wires[socket.serial]
        if wire.role == "caller":
            wire.closing = True
            self.tell(LineClosing(wire.serial, how))

    def closed(self, socket: Socket, by_us: bool) -> None:
        wire = self.wires.pop(socket.serial)
        if wire.role == "caller":
            self.tell(LineEnded(wire.serial, by_us, socket.producer_paused))
        elif wire.role == "kernel":
            self.tell(LinkEnded(wire.serial))
        elif wire.role != "other":
            self.tell(CallEnded(wire.serial, by_us))

    # ---- callers

    def _frames_in(self, wire: Wire) -> None:
        while not wire.dead:
            head, found, rest = wire.into.partition(b"\r\n\r\n")
            if not found:
                if len(wire.into) > 1_024 or not wire.into[:64].isascii():
                    self._odd(wire, fatal=True)
                return
            name, _, digits = head.partition(b": ")
            if name != b"Content-Length" or not digits.isdigit() or int(digits) > 16_384:
                self._odd(wire, fatal=True)
                return
            length = int(digits)
            if len(rest) < length:
                return
            wire.into = rest[length:]
            self._message(wire, rest[:length])

    def _odd(self, wire: Wire, fatal: bool) -> None:
        wire.dead = wire.dead or fatal
        self.tell(Odd(wire.serial, fatal))

    def _message(self, wire: Wire, body: bytes) -> None:
        try:
            value = orjson.loads(body)
            method, params = value["method"], value.get("params", {})
            if value["jsonrpc"] != "2.0":
                raise ValueError
            if method == "revoke":
                self.tell(Revoked(wire.serial, int(params.get("id", 0)), str(params.get("i", ""))))
            elif method == "heartbeat" and value["id"] >= 1:
                self.tell(Checked(wire.serial, value["id"]))
            elif method in self.products and value["id"] >= 1 and len(params["i"]) == 16:
                base64.b64decode(params["doc"], validate=True)
                if wire.closing:
                    self.tell(Dropped(wire.serial, params["i"]))
                    return
                self.tell(
                    Asked(
                        wire.serial,
                        value["id"],
                        params["i"],
                        method,
                        params.get("t", ""),
                        params.get("k", ""),
                        int(params["s"]),
                        float(params.get("d", 0)),
                        float(params["m"]),
                        params["doc"],
                    )
                )
            else:
                raise ValueError
        except (ValueError, KeyError, TypeError, AttributeError, binascii.Error):
            self._odd(wire, fatal=False)

    def _frames_out(self, wire: Wire) -> None:
        while wire.out:
            head, found, rest = wire.out.partition(b"\r\n\r\n")
            name, _, digits = head.partition(b": ")
            if not found or name != b"Content-Length" or not digits.isdigit():
                self.tell(Garbled("caller", wire.out[:80]))
                wire.out = b""
                return
            length = int(digits)
            if len(rest) < length:
                return
            wire.out = rest[length:]
            self._answer(wire, rest[:length])

    def _answer(self, wire: Wire, body: bytes) -> None:
        try:
            value = orjson.loads(body)
            if value.get("method") == "farewell":
                self.tell(Farewell(wire.serial))
                return
            result, error = value.get("result"), value.get("error")
            if (result is None) == (error is None) or value["jsonrpc"] != "2.0":
                raise ValueError
            if result is not None:
                kind = "health" if "ready" in result else "settled"
                self.tell(
                    Answered(
                        wire.serial,
                        value["id"],
                        kind,
                        result.get("doc", ""),
                        0.0,
                        result.get("ready") is True,
                        result.get("v"),
                    )
                )
                return
            data = error.get("data") or {}
            self.tell(
                Answered(
                    wire.serial,
                    value["id"],
                    "declined" if error["code"] == -32008 else "voided",
                    "",
                    float(data.get("w", 0.0)),
                    False,
                    data.get("v"),
                )
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            self.tell(Garbled("caller", body[:80]))

    # ---- the kernel

    def _command(self, wire: Wire, line: bytes) -> None:
        try:
            value = orjson.loads(line)
            self.tell(
                Command(
                    wire.serial,
                    value["event"],
                    value.get("handle", ""),
                    value.get("entry", ""),
                    value.get("arg", ""),
                    value.get("cursor", -1),
                    value.get("ticket", ""),
                )
            )
        except (ValueError, KeyError, TypeError):
            self.tell(Garbled("kernel", line[:80]))

    def _notice(self, wire: Wire, line: bytes) -> None:
        value: dict[str, Any] = orjson.loads(line)
        self.tell(
            Notice(
                wire.serial,
                value["event"],
                value.get("cursor", 0),
                value.get("handle", ""),
                value.get("fate", ""),
                value.get("arg", ""),
                value.get("ticket", ""),
            )
        )

    # ---- the ledger

    def _call(self, wire: Wire) -> None:
        head, found, body = wire.out.partition(b"\r\n\r\n")
        if not found:
            return
        first, *lines = head.split(b"\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
        try:
            if first != b"POST /records/op HTTP/1.1" or b"host" not in fields:
                raise ValueError
            if len(body) < int(fields[b"content-length"]):
                return
            wire.out = b""
            if wire.called or len(body) > int(fields[b"content-length"]):
                raise ValueError
            wire.called = True
            self.tell(CallMade(wire.serial, fields[b"op-of"].decode(), int(fields[b"op-wait-ms"]), body))
        except (ValueError, KeyError):
            self.tell(Garbled("ledger", head[:80]))

    def _reply(self, wire: Wire) -> None:
        head, found, body = wire.into.partition(b"\r\n\r\n")
        if not found:
            if not b"HTTP/1.".startswith(wire.into[:7]):
                wire.dead = True
                self.tell(Replied(wire.serial, 0, False, b""))
            return
        first, *lines = head.split(b"\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
        digits = first[9:12]
        if not first.startswith(b"HTTP/1.1 ") or not digits.isdigit() or b"content-length" not in fields:
            wire.dead = True
            self.tell(Replied(wire.serial, 0, False, b""))
            return
        length = int(fields[b"content-length"])
        if len(body) >= length:
            wire.dead = True
            self.tell(Replied(wire.serial, int(digits), fields.get(b"op-not-begun") == b"1", body[:length]))
