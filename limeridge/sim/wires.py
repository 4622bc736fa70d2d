"""Parses the bytes that an instance reads and writes into typed events.

The parsers are independent of the instance's and of the stand-ins'. This module never queries an instance and
checks no rules: oracles.py does.
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
class TxnReceived:
    line: int
    id: int
    ref: str
    product: str
    customer: str
    key: str
    sent_ms: int
    time_limit_ms: float
    size_kb: float
    doc: str


@dataclass(slots=True, frozen=True)
class InvalidMessage:
    """A caller sent an invalid message; `fatal` if the framing was lost."""

    line: int
    fatal: bool


@dataclass(slots=True, frozen=True)
class RevokeReceived:
    line: int
    id: int
    ref: str


@dataclass(slots=True, frozen=True)
class HealthCheckReceived:
    line: int
    id: int


@dataclass(slots=True, frozen=True)
class AnswerSent:
    line: int
    id: int | None
    kind: str  # settled, declined, voided, health
    doc: str
    retry_delay_ms: float
    ready: bool
    value: float | None


@dataclass(slots=True, frozen=True)
class FarewellSent:
    line: int


@dataclass(slots=True, frozen=True)
class LineOpened:
    line: int


@dataclass(slots=True, frozen=True)
class LineClosing:
    """The instance began to close a caller's connection."""

    line: int
    how: Closing


@dataclass(slots=True, frozen=True)
class UnanswerableTxn:
    """A request was read after the instance had closed its sending side, so it can't be answered."""

    line: int
    ref: str


@dataclass(slots=True, frozen=True)
class LateSenderClosed:
    """A caller that sent a request as its connection closed saw it closed; observed on the caller's side."""

    line: int
    ref: str
    silent: bool  # it had sent nothing before
    warned: bool  # it had read a farewell before it sent
    answered: bool
    reset: bool


@dataclass(slots=True, frozen=True)
class LineClosed:
    line: int
    by_instance: bool
    stalled: bool


@dataclass(slots=True, frozen=True)
class CommandSent:
    link: int
    event: str
    handle: str
    entry: str
    arg: str
    cursor: int
    ticket: str


@dataclass(slots=True, frozen=True)
class NoticeReceived:
    link: int
    event: str
    cursor: int
    handle: str
    fate: str
    arg: str
    ticket: str


@dataclass(slots=True, frozen=True)
class LinkOpened:
    link: int


@dataclass(slots=True, frozen=True)
class LinkClosed:
    link: int


@dataclass(slots=True, frozen=True)
class CallSent:
    line: int
    ref: str
    wait_ms: int
    body: bytes


@dataclass(slots=True, frozen=True)
class ReplyReceived:
    line: int
    status: int  # 0 if it can't be parsed
    not_begun: bool
    body: bytes


@dataclass(slots=True, frozen=True)
class CallClosed:
    line: int
    by_instance: bool


@dataclass(slots=True, frozen=True)
class MalformedOutput:
    """The instance wrote data that does not conform to the protocol."""

    role: str
    data: bytes


WireEvent = (
    TxnReceived
    | InvalidMessage
    | RevokeReceived
    | HealthCheckReceived
    | AnswerSent
    | FarewellSent
    | LineOpened
    | LineClosing
    | UnanswerableTxn
    | LateSenderClosed
    | LineClosed
    | CommandSent
    | NoticeReceived
    | LinkOpened
    | LinkClosed
    | CallSent
    | ReplyReceived
    | CallClosed
    | MalformedOutput
)


class Connection:
    """Incomplete data in both directions of one connection."""

    __slots__ = ("called", "closing", "dead", "into", "out", "role", "serial")

    def __init__(self, role: str, serial: int) -> None:
        self.role, self.serial = role, serial
        self.into, self.out = b"", b""
        self.dead = self.called = False
        # dead: later input is ignored; called: the call was sent; closing: the instance began to close it.
        self.closing = False


class Recorder:
    """Parses the traffic of one process of an instance and passes each event to `on_event`."""

    def __init__(
        self,
        products: frozenset[str],
        kernel: frozenset[tuple[str, int]],
        ledger: frozenset[tuple[str, int]],
        on_event: Callable[[WireEvent], None],
    ) -> None:
        self.products, self.kernel, self.ledger, self.on_event = products, kernel, ledger, on_event
        self.connections: dict[int, Connection] = {}

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
        self.connections[socket.serial] = Connection(role, socket.serial)
        if role == "kernel":
            self.on_event(LinkOpened(socket.serial))
        elif role == "caller":
            self.on_event(LineOpened(socket.serial))

    def read(self, socket: Socket, data: bytes) -> None:
        connection = self.connections[socket.serial]
        if connection.dead or connection.role == "other":
            return
        connection.into += data
        if connection.role == "caller":
            self._parse_incoming_frames(connection)
        elif connection.role == "kernel":
            *lines, connection.into = connection.into.split(b"\n")
            for line in lines:
                self._parse_notice(connection, line)
        else:
            self._parse_reply(connection)

    def wrote(self, socket: Socket, data: bytes) -> None:
        connection = self.connections[socket.serial]
        if connection.role == "other":
            return
        connection.out += data
        if connection.role == "caller":
            self._parse_outgoing_frames(connection)
        elif connection.role == "kernel":
            *lines, connection.out = connection.out.split(b"\n")
            for line in lines:
                self._parse_command(connection, line)
        else:
            self._parse_call(connection)

    def closing(self, socket: Socket, how: Closing) -> None:
        connection = self.connections[socket.serial]
        if connection.role == "caller":
            connection.closing = True
            self.on_event(LineClosing(connection.serial, how))

    def closed(self, socket: Socket, by_instance: bool) -> None:
        connection = self.connections.pop(socket.serial)
        if connection.role == "caller":
            self.on_event(LineClosed(connection.serial, by_instance, socket.producer_paused))
        elif connection.role == "kernel":
            self.on_event(LinkClosed(connection.serial))
        elif connection.role != "other":
            self.on_event(CallClosed(connection.serial, by_instance))

    # ---- callers

    def _parse_incoming_frames(self, connection: Connection) -> None:
        while not connection.dead:
            header, found, rest = connection.into.partition(b"\r\n\r\n")
            if not found:
                if len(connection.into) > 1_024 or not connection.into[:64].isascii():
                    self._report_invalid(connection, fatal=True)
                return
            name, _, digits = header.partition(b": ")
            if name != b"Content-Length" or not digits.isdigit() or int(digits) > 16_384:
                self._report_invalid(connection, fatal=True)
                return
            length = int(digits)
            if len(rest) < length:
                return
            connection.into = rest[length:]
            self._parse_message(connection, rest[:length])

    def _report_invalid(self, connection: Connection, fatal: bool) -> None:
        connection.dead = connection.dead or fatal
        self.on_event(InvalidMessage(connection.serial, fatal))

    def _parse_message(self, connection: Connection, body: bytes) -> None:
        try:
            value = orjson.loads(body)
            method, params = value["method"], value.get("params", {})
            if value["jsonrpc"] != "2.0":
                raise ValueError
            if method == "revoke":
                self.on_event(
                    RevokeReceived(connection.serial, int(params.get("id", 0)), str(params.get("i", "")))
                )
            elif method == "heartbeat" and value["id"] >= 1:
                self.on_event(HealthCheckReceived(connection.serial, value["id"]))
            elif method in self.products and value["id"] >= 1 and len(params["i"]) == 16:
                base64.b64decode(params["doc"], validate=True)
                if connection.closing:
                    self.on_event(UnanswerableTxn(connection.serial, params["i"]))
                    return
                self.on_event(
                    TxnReceived(
                        connection.serial,
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
            self._report_invalid(connection, fatal=False)

    def _parse_outgoing_frames(self, connection: Connection) -> None:
        while connection.out:
            header, found, rest = connection.out.partition(b"\r\n\r\n")
            name, _, digits = header.partition(b": ")
            if not found or name != b"Content-Length" or not digits.isdigit():
                self.on_event(MalformedOutput("caller", connection.out[:80]))
                connection.out = b""
                return
            length = int(digits)
            if len(rest) < length:
                return
            connection.out = rest[length:]
            self._parse_answer(connection, rest[:length])

    def _parse_answer(self, connection: Connection, body: bytes) -> None:
        try:
            value = orjson.loads(body)
            if value.get("method") == "farewell":
                self.on_event(FarewellSent(connection.serial))
                return
            result, error = value.get("result"), value.get("error")
            if (result is None) == (error is None) or value["jsonrpc"] != "2.0":
                raise ValueError
            if result is not None:
                kind = "health" if "ready" in result else "settled"
                self.on_event(
                    AnswerSent(
                        connection.serial,
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
            self.on_event(
                AnswerSent(
                    connection.serial,
                    value["id"],
                    "declined" if error["code"] == -32008 else "voided",
                    "",
                    float(data.get("w", 0.0)),
                    False,
                    data.get("v"),
                )
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            self.on_event(MalformedOutput("caller", body[:80]))

    # ---- the kernel

    def _parse_command(self, connection: Connection, line: bytes) -> None:
        try:
            value = orjson.loads(line)
            self.on_event(
                CommandSent(
                    connection.serial,
                    value["event"],
                    value.get("handle", ""),
                    value.get("entry", ""),
                    value.get("arg", ""),
                    value.get("cursor", -1),
                    value.get("ticket", ""),
                )
            )
        except (ValueError, KeyError, TypeError):
            self.on_event(MalformedOutput("kernel", line[:80]))

    def _parse_notice(self, connection: Connection, line: bytes) -> None:
        value: dict[str, Any] = orjson.loads(line)
        self.on_event(
            NoticeReceived(
                connection.serial,
                value["event"],
                value.get("cursor", 0),
                value.get("handle", ""),
                value.get("fate", ""),
                value.get("arg", ""),
                value.get("ticket", ""),
            )
        )

    # ---- the ledger

    def _parse_call(self, connection: Connection) -> None:
        header, found, body = connection.out.partition(b"\r\n\r\n")
        if not found:
            return
        first, *lines = header.split(b"\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
        try:
            if first != b"POST /records/op HTTP/1.1" or b"host" not in fields:
                raise ValueError
            if len(body) < int(fields[b"content-length"]):
                return
            connection.out = b""
            if connection.called or len(body) > int(fields[b"content-length"]):
                raise ValueError
            connection.called = True
            self.on_event(
                CallSent(connection.serial, fields[b"op-of"].decode(), int(fields[b"op-wait-ms"]), body)
            )
        except (ValueError, KeyError):
            self.on_event(MalformedOutput("ledger", header[:80]))

    def _parse_reply(self, connection: Connection) -> None:
        header, found, body = connection.into.partition(b"\r\n\r\n")
        if not found:
            if not b"HTTP/1.".startswith(connection.into[:7]):
                connection.dead = True
                self.on_event(ReplyReceived(connection.serial, 0, False, b""))
            return
        first, *lines = header.split(b"\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
        digits = first[9:12]
        if not first.startswith(b"HTTP/1.1 ") or not digits.isdigit() or b"content-length" not in fields:
            connection.dead = True
            self.on_event(ReplyReceived(connection.serial, 0, False, b""))
            return
        length = int(fields[b"content-length"])
        if len(body) >= length:
            connection.dead = True
            self.on_event(
                ReplyReceived(
                    connection.serial, int(digits), fields.get(b"op-not-begun") == b"1", body[:length]
                )
            )
