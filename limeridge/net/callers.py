"""The server for callers: framed JSON-RPC 2.0, health checks, farewells and idle timeouts.

Parses frames, decodes each message into a typed value, encodes answers, and bounds connections, open txns and
unread output. Decisions on txns are made by the service that it is given. It must not keep a reference to an
answered txn.
"""

from __future__ import annotations

import binascii
import heapq
import math
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeGuard

import orjson
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from limeridge.configuration.tenants import TenantTable
from limeridge.facade import Answer, AnswerKind, Request
from limeridge.net.admission_filter import block_new_connections
from limeridge.net.log import Log

MAX_HEADER_BYTES = 1_024
# A document of MAX_DOC_BYTES in base64 and the other fields take less than a third of this.
MAX_BODY_BYTES = 16_384
MAX_DOC_BYTES = 2_048
MAX_OPEN_TXNS = 32  # on one connection
MAX_OPEN_CHECKS = 8  # health checks without an answer on one connection
MAX_REMEMBERED_IDS = 256  # recent request ids of a connection that are rejected when used again
MAX_UNREAD_BYTES = 262_144  # answers buffered for a peer that does not read; room for 32 answers
# Time for a peer to close its end after a farewell, or after the server has closed its own end of the stream.
CLOSE_TIMEOUT_S = 1.0
MAX_DISCARDED_BYTES = 262_144  # bytes read and dropped on a connection that is being closed
# One in this many connection slots is reserved for idle connections that were sent a farewell to make room.
DISPLACED_DIVISOR = 8
MAX_FINAL_ACCEPTS = 100_000  # connections accepted from the backlog before the listening socket is closed
TXN_OVERHEAD_BYTES = 4_600  # memory that a txn takes besides its document and its key
# Time for a message to arrive completely; stops peers from holding a slot with part of a message or none.
MESSAGE_TIMEOUT_S = 2.0
# A connection is closed at this score; an invalid message adds 2, a voided txn 1, a settled txn resets it.
MAX_ERROR_SCORE = 32
MAX_CONSECUTIVE_REVOKES = 64  # without a settled txn in between
MESSAGES_PER_ITERATION = 16  # handled for one connection before the others get their turn
# Bytes read from one connection at a time: what is read and not handled yet stays in memory.
MIN_READ_BYTES, MAX_READ_BYTES = 2_048, 65_536
# One in this many connection slots may be held by connections that have not sent a valid request yet.
AWAITING_REQUEST_DIVISOR = 4
# A connection that was opened, active or sent a farewell within this time is not closed to make room.
DISPLACEMENT_GRACE_S = 0.05
SWEEP_INTERVAL_S = 0.1  # between two checks for idle connections

PARSE_ERROR, INVALID_REQUEST, METHOD_NOT_FOUND, INVALID_PARAMS = -32700, -32600, -32601, -32602
DECLINED, VOIDED = -32008, -32000

FAREWELL = b'{"jsonrpc":"2.0","method":"farewell"}'


class BadFrame(Exception):
    """The stream can no longer be parsed; the text is the reason code for closing the connection."""


class FrameParser:
    """Incremental parser of `Content-Length` frames."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.body_length = -1  # -1 until the header has been parsed

    @property
    def has_partial_frame(self) -> bool:
        return self.body_length >= 0 or bool(self.data)

    def feed(self, data: bytes) -> Iterator[bytes]:
        self.data += data
        while True:
            if self.body_length < 0:
                end = self.data.find(b"\r\n\r\n", 0, MAX_HEADER_BYTES)
                if end < 0:
                    if len(self.data) >= MAX_HEADER_BYTES or not self._is_plausible():
                        raise BadFrame("bad-head")
                    return
                self.body_length = parse_content_length(bytes(self.data[:end]))
                del self.data[: end + 4]
            if len(self.data) < self.body_length:
                return
            body = bytes(self.data[: self.body_length])
            del self.data[: self.body_length]
            self.body_length = -1
            yield body

    def _is_plausible(self) -> bool:
        """False if the peer uses another protocol: it would never send the end of a header."""
        return all(32 <= byte < 127 or byte in b"\r\n\t" for byte in self.data[:64])


def parse_content_length(head: bytes) -> int:
    length = -1
    for line in head.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if not colon:
            raise BadFrame("bad-head")
        if name.strip().lower() == b"content-length":
            digits = value.strip()
            if length >= 0 or not digits.isdigit() or len(digits) > 9:
                raise BadFrame("bad-length")
            length = int(digits)
    if length < 0:
        raise BadFrame("no-length")
    if length > MAX_BODY_BYTES:
        raise BadFrame("oversize")
    return length


def encode_frame(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


# ---- messages


@dataclass(slots=True, frozen=True)
class TxnRequest:
    """The fields of a request for a txn."""

    id: int
    ref: str
    entry: str
    product: int
    customer: int
    caller: int
    sent_at_ms: int  # Unix milliseconds
    timeout_ms: float  # after sent_at_ms
    resent: bool
    expected_work_ms: float
    size_kb: float
    key: str
    doc: str


@dataclass(slots=True, frozen=True)
class Revoke:
    id: int
    ref: str


@dataclass(slots=True, frozen=True)
class Heartbeat:
    id: int
    deep: bool


@dataclass(slots=True, frozen=True)
class InvalidMessage:
    """A message that can't be handled, and the error to answer."""

    id: int | None
    code: int
    why: str


class RequestError(Exception):
    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


Message = TxnRequest | Revoke | Heartbeat | InvalidMessage


class Decoder:
    """Decodes message bodies. Product names become their index in the settings, tenant names their number in
    the tenant table."""

    def __init__(self, products: Sequence[str], tenants: TenantTable) -> None:
        self.products = {name: number for number, name in enumerate(products)}
        self.tenants = tenants  # of the configuration revision in force

    def decode(self, body: bytes) -> Message:
        try:
            value = orjson.loads(body)
        except orjson.JSONDecodeError:
            return InvalidMessage(None, PARSE_ERROR, "not JSON")
        if not isinstance(value, dict):
            return InvalidMessage(
                None, INVALID_REQUEST, "no batches" if isinstance(value, list) else "not an object"
            )
        number = value.get("id")
        valid_id = number if is_integer(number) and 1 <= number < 1 << 53 else None
        try:
            return self._decode(value, valid_id)
        except RequestError as request_error:
            return InvalidMessage(valid_id, request_error.code, str(request_error))

    def _decode(self, value: dict[str, Any], number: int | None) -> Message:
        if value.get("jsonrpc") != "2.0":
            raise RequestError(INVALID_REQUEST, "jsonrpc is not 2.0")
        method, params = value.get("method"), value.get("params", {})
        if not isinstance(method, str):
            raise RequestError(INVALID_REQUEST, "no method")
        if not isinstance(params, dict):
            raise RequestError(INVALID_PARAMS, "params is not an object")
        if method == "revoke":
            ref, target = params.get("i", ""), params.get("id", value.get("id"))
            return Revoke(target if is_integer(target) else 0, ref if isinstance(ref, str) else "")
        if number is None:
            raise RequestError(INVALID_REQUEST, "id is not a number from 1")
        if method == "heartbeat":
            return Heartbeat(number, params.get("x") in (True, 1))
        if method not in self.products:
            raise RequestError(METHOD_NOT_FOUND, "unknown class")
        return self._decode_txn(number, method, params)

    def _decode_txn(self, number: int, entry: str, params: dict[str, Any]) -> TxnRequest:
        ref, doc = text_param(params, "i", 16), text_param(params, "doc", 4 * (MAX_DOC_BYTES + 2) // 3 + 4)
        if len(ref) != 16 or not set(ref) <= set("0123456789abcdefABCDEF"):
            raise RequestError(INVALID_PARAMS, "i is not 16 hex digits")
        try:
            size = len(binascii.a2b_base64(doc, strict_mode=True)) if doc else 0
        except (binascii.Error, ValueError):
            raise RequestError(INVALID_PARAMS, "doc is not base64") from None
        if size > MAX_DOC_BYTES:
            raise RequestError(INVALID_PARAMS, "doc is too long")
        name = text_param(params, "t", 256, "")
        customer = self.tenants.find(name) if name else 0
        if customer is None:
            raise RequestError(INVALID_PARAMS, "unknown tenant")
        number_param(params, "p", 0, 1, 0.0)
        return TxnRequest(
            number,
            ref,
            entry,
            self.products[entry],
            customer,
            int(number_param(params, "f", 0, 1 << 53, 0)),
            int(number_param(params, "s", 0, 1 << 53)),
            number_param(params, "d", 0, 1e9, 0),
            params.get("r") in (1, True),
            number_param(params, "h", 0, 1e9, 0),
            number_param(params, "m", 0, 2_000, 0),
            text_param(params, "k", 256, ""),
            doc,
        )


def is_integer(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)


def text_param(params: dict[str, Any], name: str, maximum: int, default: str | None = None) -> str:
    value = params.get(name, default)
    if not isinstance(value, str) or len(value) > maximum:
        raise RequestError(INVALID_PARAMS, f"{name} is no text of up to {maximum} characters")
    return value


def number_param(
    params: dict[str, Any], name: str, minimum: float, maximum: float, default: float | None = None
) -> float:
    value = params.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise RequestError(INVALID_PARAMS, f"{name} is no number from {minimum:g} to {maximum:g}")
    return value


def value_data(value: float | None) -> dict[str, object]:
    """The instance's published value, which goes with every answer."""
    return {} if value is None else {"v": value}


def encode_answer(number: int, answer: Answer, value: float | None) -> bytes:
    data = value_data(value)
    if answer.kind is AnswerKind.SETTLED:
        return encode_frame(
            orjson.dumps({"jsonrpc": "2.0", "id": number, "result": {"doc": answer.doc} | data})
        )
    if answer.kind is AnswerKind.VOIDED:
        return encode_error(number, VOIDED, answer.why or "failed", data)
    if answer.retry_after_us > 0:
        data["w"] = answer.retry_after_us / 1_000
    if answer.no_failover:
        data["l"] = 1
    return encode_error(number, DECLINED, answer.why or "turned away", data)


def encode_error(number: int | None, code: int, why: str, data: dict[str, object]) -> bytes:
    error: dict[str, object] = {"code": code, "message": why}
    if data:
        error["data"] = data
    return encode_frame(orjson.dumps({"jsonrpc": "2.0", "id": number, "error": error}))


# ---- connections


class Service(Protocol):
    """The operations that connections need from the instance."""

    stopped_accepting: bool  # while draining, once the listening socket is closed

    def serve(self, request: Request) -> None: ...
    def rejection(self, request: Request, why: str) -> Answer: ...
    def withdraw(self, request: Request) -> None: ...
    def value(self) -> float | None: ...
    def idle_limit(self) -> int: ...
    def check(self, deep: bool, answer: Callable[[bool], None]) -> None: ...


@implementer(IPushProducer)
class Connection(Wire):
    """One connection of a caller."""

    transport: Any

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.frames = FrameParser()
        self.open_txns: dict[int, Request] = {}
        self.open_checks = 0
        self.seen_ids: dict[int, None] = {}
        self.backlog: list[bytes] = []  # answers that the transport does not accept yet
        self.backlog_size = 0
        self.write_paused = False
        self.txn_count = 0
        self.error_score, self.consecutive_revokes = 0, 0
        self.last_active_at = callers.clock.seconds()
        self.farewell_at: float | None = None
        self.closed_at = 0.0
        self.stop_code = ""  # why reading was stopped; empty while messages are read
        self.message_started_at = self.last_active_at  # of the message that is incomplete
        self.end_code = ""  # why the connection was closed; empty while it is open
        self.discarded_bytes = 0  # read after the close began

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = self.callers.read_bytes
        self.transport.registerProducer(self, True)
        self.callers.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        if self.end_code or self.stop_code:
            self.discard(len(data))
            return
        self.last_active_at = self.callers.clock.seconds()
        if not self.frames.has_partial_frame:
            self.message_started_at = self.last_active_at
        try:
            for count, body in enumerate(self.frames.feed(data), 1):
                self.message_started_at = self.last_active_at
                self.handle_message(self.callers.decoder.decode(body))
                if self.end_code or self.stop_code:
                    return
                # One connection that sends a lot at once must not keep the others waiting.
                if count >= MESSAGES_PER_ITERATION:
                    self.transport.pauseProducing()
                    self.callers.clock.callLater(0, self.resume_reading)
                    return
        except BadFrame as bad:
            self.stop_reading(str(bad))
        except Exception as error:
            self.callers.log.fault("connection-fault", error)
            self.stop_reading("defect")

    def read_pending(self) -> None:
        """Reads what the socket's receive buffer holds, and handles the end of the stream if the caller
        closed it. Called before a connection is closed for inactivity: after a long iteration of the event
        loop, the time of the last read does not show whether the caller has sent anything."""
        if self.end_code or self.stop_code:
            return
        ended = self.transport.doRead()
        if ended is not None:
            self.transport.connectionLost(Failure(ended))  # type: ignore[no-untyped-call]

    @property
    def is_silent(self) -> bool:
        """Whether there is neither an open txn nor part of a message."""
        return not self.open_txns and not self.frames.has_partial_frame

    def discard(self, size: int) -> None:
        """Drops data that arrives after the server closed its end of the stream, and so can't be answered.
        The caller sees the end of the stream, and knows that the request did not run."""
        self.discarded_bytes += size
        # Stops a peer that keeps sending at full speed.
        if self.end_code and self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.abortConnection()

    def resume_reading(self) -> None:
        if not self.end_code and not self.stop_code:
            self.transport.resumeProducing()
            self.dataReceived(b"")

    def stop_reading(self, code: str) -> None:
        """Handles no more messages; closes the connection once the open txns are answered."""
        self.stop_code = code
        if not self.open_txns:
            self.close(code)
        elif not self.end_code:
            self.transport.pauseProducing()  # the peer may keep sending at full speed

    def add_errors(self, weight: int) -> None:
        """Closes the connection of a peer that keeps sending messages that can't be served. Voided txns may
        not be the caller's fault, so they lead to a farewell first, at half of the limit."""
        self.error_score += weight
        if self.error_score >= MAX_ERROR_SCORE and not self.stop_code and not self.end_code:
            self.stop_reading("nothing-served")
        elif weight == 1 and self.error_score >= MAX_ERROR_SCORE // 2:
            self.send_farewell()

    def handle_message(self, message: Message) -> None:
        match message:
            case TxnRequest():
                self.receive_txn(message)
            case Heartbeat():
                self.receive_check(message)
            case Revoke(number, ref):
                if number not in self.open_txns:
                    number = next((n for n, request in self.open_txns.items() if request.ref == ref), 0)
                if number in self.open_txns:
                    self.callers.service.withdraw(self.open_txns.pop(number))
                    self.consecutive_revokes += 1
                    # Stops a peer that only sends requests and revokes them.
                    if self.consecutive_revokes >= MAX_CONSECUTIVE_REVOKES and not self.open_txns:
                        self.stop_reading("taken-back")
            case InvalidMessage():
                self.reject_message(message.id, message.code, message.why)

    def reject_message(self, number: int | None, code: int, why: str) -> None:
        self.callers.log.event("bad-message", why)
        # An error with the id of an open txn would be taken for the answer to that txn.
        self.send(encode_error(None if number in self.open_txns else number, code, why, {}))
        self.add_errors(2)

    def receive_check(self, message: Heartbeat) -> None:
        if self.open_checks >= MAX_OPEN_CHECKS:
            self.reject_message(message.id, INVALID_REQUEST, f"more than {MAX_OPEN_CHECKS} checks open")
            return
        self.open_checks += 1
        self.callers.awaiting_first_request.pop(self, None)
        self.callers.service.check(message.deep, lambda ready: self.send_check_result(message.id, ready))

    def receive_txn(self, message: TxnRequest) -> None:
        if message.id in self.seen_ids:
            self.reject_message(None, INVALID_REQUEST, "id used twice")
            return
        self.seen_ids[message.id] = None
        if len(self.seen_ids) > MAX_REMEMBERED_IDS:
            del self.seen_ids[next(iter(self.seen_ids))]
        if len(self.open_txns) >= MAX_OPEN_TXNS:
            self.reject_message(message.id, INVALID_REQUEST, f"more than {MAX_OPEN_TXNS} open")
            return
        self.txn_count += 1
        # The caller's Unix time and ours may differ or step, so the age is kept within the request's timeout.
        age = min(max(0.0, self.callers.unix() * 1_000 - message.sent_at_ms), message.timeout_ms or 60_000.0)
        request = Request(
            message.ref,
            message.entry,
            message.product,
            message.customer,
            message.caller,
            int(age * 1_000),
            max(0, int((message.timeout_ms - age) * 1_000)),
            message.size_kb,
            message.doc,
            lambda answer: self.send_answer(message.id, answer),
            message.resent,
            int(message.expected_work_ms * 1_000),
            message.key,
        )
        self.open_txns[message.id] = request
        self.callers.awaiting_first_request.pop(self, None)
        self.callers.admit(request)

    def send_answer(self, number: int, answer: Answer) -> None:
        if self.open_txns.pop(number, None) is not None:
            self.last_active_at = self.callers.clock.seconds()
            self.send(encode_answer(number, answer, self.callers.service.value()))
            if answer.kind is AnswerKind.SETTLED:
                self.error_score = self.consecutive_revokes = 0
            elif answer.kind is AnswerKind.VOIDED:
                self.add_errors(1)
            if self.stop_code and not self.open_txns:
                self.close(self.stop_code)

    def send_check_result(self, number: int, ready: bool) -> None:
        self.open_checks -= 1
        result: dict[str, object] = {"ready": ready} | value_data(self.callers.service.value())
        self.send(encode_frame(orjson.dumps({"jsonrpc": "2.0", "id": number, "result": result})))

    def send(self, data: bytes) -> None:
        if self.end_code:
            return
        if not self.write_paused:
            self.transport.write(data)
            return
        self.backlog.append(data)
        self.backlog_size += len(data)
        self.callers.unread_bytes += len(data)
        if self.backlog_size > MAX_UNREAD_BYTES or self.callers.unread_bytes > self.callers.max_unread_bytes:
            self.close("unread", abort=True)

    def send_farewell(self) -> None:
        if self.farewell_at is None:
            self.farewell_at = self.callers.clock.seconds()
            self.send(encode_frame(FAREWELL))

    def close(self, code: str, abort: bool = False) -> None:
        """Closes the write side once all output is sent, then reads and drops data until the peer closes.
        Closing a socket with unread data would send a reset, which can destroy answers still in flight.
        `abort` closes at once."""
        closing, self.end_code = bool(self.end_code), self.end_code or code
        if abort:  # also if the write side was closed before
            self.transport.abortConnection()
        if abort or closing:
            return
        self.closed_at = self.callers.clock.seconds()
        self.transport.unregisterProducer()
        for data in self.take_backlog():
            self.transport.write(data)
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.end_code:
            closed = isinstance(reason.value, ConnectionDone)
            self.end_code = self.stop_code or ("peer-closed" if closed else "peer-reset")
            if self.farewell_at is not None and not self.open_txns and not self.stop_code:
                self.end_code = self.callers.end_code_after_farewell(self)
        unanswered, self.open_txns = list(self.open_txns.values()), {}
        self.callers.on_closed(self, len(unanswered))
        for request in unanswered:
            self.callers.service.withdraw(request)

    # Answers to a peer that does not read are buffered here, where they are bounded, not in the transport.

    def pauseProducing(self) -> None:
        self.write_paused = True

    def resumeProducing(self) -> None:
        self.write_paused = False
        for data in self.take_backlog():
            self.send(data)

    def take_backlog(self) -> list[bytes]:
        waiting, self.backlog = self.backlog, []
        self.callers.unread_bytes -= self.backlog_size
        self.backlog_size = 0
        return waiting

    def stopProducing(self) -> None:
        self.write_paused = False


class Callers(Factory):
    """The factory and registry of all caller connections; enforces the limits on them."""

    noisy = False

    def __init__(
        self,
        service: Service,
        decoder: Decoder,
        clock: Any,
        log: Log,
        *,
        max_connections: int,
        max_held_bytes: int,
        max_unread_bytes: int,
        max_unhandled_bytes: int,
        max_aborts_per_iteration: int = 4,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.service, self.clock, self.log, self.unix = service, clock, log, unix
        self.decoder = decoder
        self.max_connections, self.max_held_bytes, self.max_unread_bytes = (
            max_connections,
            max_held_bytes,
            max_unread_bytes,
        )
        # A parser's buffer can be twice as large as what it holds.
        share = max_unhandled_bytes // (2 * max_connections)
        self.read_bytes = max(MIN_READ_BYTES, min(MAX_READ_BYTES, share))
        self.held_bytes, self.unread_bytes = 0, 0
        self.connections: dict[Connection, None] = {}
        # Connections that have not sent a valid request yet, oldest first, with the time they were opened.
        self.awaiting_first_request: dict[Connection, float] = {}
        # Idle connections that were sent a farewell to make room, with the time of the farewell. A request
        # that crosses the farewell is still served.
        self.being_displaced: dict[Connection, float] = {}
        # An aborted socket keeps its descriptor until the next iteration of the event loop.
        self.max_aborts_per_iteration, self.aborts_this_iteration = max_aborts_per_iteration, 0
        self.polled_this_iteration = False

    def buildProtocol(self, addr: object) -> Connection | RejectedConnection | None:
        if self._make_room():
            return Connection(self)
        if self._count_abort():
            return RejectedConnection(self.log)
        self.log.event("connection-end", "full")
        return None

    def _make_room(self) -> bool:
        """Whether a new connection can be accepted; closes another one for it if necessary. Connections
        without a request are limited to a part of the slots, so that they can't crowd out active callers. An
        idle connection is sent a farewell, and keeps its descriptor for a while in one of the slots reserved
        for this."""
        if self._is_crowded() and self._displace_without_request():
            return True
        free_slots = self._free_slots()
        # Displaces several if a burst has used reserved slots, so that these are free for the next burst.
        if free_slots <= 0:
            self._displace_idle(1 - free_slots)
        if len(self.connections) >= self.max_connections:
            self._poll_connections()
        if len(self.connections) < self.max_connections:
            return True
        candidate = self._find_silent(self.being_displaced)
        return candidate is not None and self._abort(candidate)

    def _displace_without_request(self) -> bool:
        silent = self._find_silent(self.awaiting_first_request)
        if silent is None and self._free_slots() <= 0:
            silent = self._find_silent(self.awaiting_first_request, include_partial=True)
        return silent is not None and self._is_crowded() and self._abort(silent)

    def _free_slots(self) -> int:
        """Slots for new connections, not counting those reserved for connections being displaced."""
        return (
            self.max_connections
            - self.max_connections // DISPLACED_DIVISOR
            - (len(self.connections) - len(self.being_displaced))
        )

    def _is_crowded(self) -> bool:
        return (
            self._free_slots() <= 0
            or len(self.awaiting_first_request) * AWAITING_REQUEST_DIVISOR >= self.max_connections
        )

    def _poll_connections(self) -> None:
        """Detects connections that were closed by their callers; at most once per event loop iteration."""
        if self.polled_this_iteration:
            return
        self.polled_this_iteration = True
        self.clock.callLater(0, self._allow_next_poll)
        for connection in list(self.connections):
            if not connection.open_txns:
                connection.read_pending()

    def _allow_next_poll(self) -> None:
        self.polled_this_iteration = False

    def _find_silent(
        self, among: dict[Connection, float], include_partial: bool = False
    ) -> Connection | None:
        """The first connection past the grace period that has nothing to read from its socket either; with
        `include_partial` also one that has sent part of a message."""
        for connection, since in list(among.items()):
            if not self._is_past_grace(since):
                return None  # the rest is newer
            connection.read_pending()
            if connection in among and not connection.open_txns and (include_partial or connection.is_silent):
                return connection
        return None

    def _displace_idle(self, count: int) -> None:
        resting = [
            each
            for each in self.connections
            if each not in self.awaiting_first_request
            and not each.open_txns
            and not each.end_code
            and each.farewell_at is None
        ]
        for idlest in heapq.nsmallest(count, resting, key=lambda each: each.last_active_at):
            if not self._is_past_grace(idlest.last_active_at):
                return
            idlest.send_farewell()
            # The grace starts in the next iteration of the event loop, once the farewell has been written.
            self.being_displaced[idlest] = math.inf
            self.clock.callLater(0, self._start_displacement_grace, idlest)

    def _start_displacement_grace(self, connection: Connection) -> None:
        if connection in self.being_displaced:
            self.being_displaced[connection] = self.clock.seconds()

    def _is_past_grace(self, since: float) -> bool:
        """Whether a connection that was last active at this time may be closed to make room."""
        return bool(self.clock.seconds() - since >= DISPLACEMENT_GRACE_S)

    def _abort(self, connection: Connection) -> bool:
        if not self._count_abort():
            return False
        connection.close("displaced", abort=True)
        self.remove(connection)
        return True

    def _count_abort(self) -> bool:
        if self.aborts_this_iteration >= self.max_aborts_per_iteration:
            return False
        if not self.aborts_this_iteration:
            self.clock.callLater(0, self._reset_abort_count)
        self.aborts_this_iteration += 1
        return True

    def _reset_abort_count(self) -> None:
        self.aborts_this_iteration = 0

    def end_code_after_farewell(self, connection: Connection) -> str:
        """The reason code for the end of a connection that was sent a farewell."""
        return "displaced" if connection in self.being_displaced else "farewell"

    def remove(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        self.awaiting_first_request.pop(connection, None)
        self.being_displaced.pop(connection, None)

    def on_connected(self, connection: Connection) -> None:
        self.connections[connection] = None
        self.awaiting_first_request[connection] = connection.last_active_at
        if self.service.stopped_accepting:
            connection.send_farewell()

    def on_closed(self, connection: Connection, unanswered: int) -> None:
        self.remove(connection)
        connection.take_backlog()
        self.log.event(
            "connection-end", connection.end_code, asked=connection.txn_count, unanswered=unanswered
        )

    def admit(self, request: Request) -> None:
        """Passes the txn on, or answers it at once if the documents of open txns take too much memory."""
        if self.held_bytes + txn_memory_bytes(request) > self.max_held_bytes:
            self.log.event("turned-away", "held-bodies")
            request.answer(self.service.rejection(request, "no memory"))
            return
        self.held_bytes += txn_memory_bytes(request)
        self.service.serve(request)

    def release(self, request: Request) -> None:
        self.held_bytes -= txn_memory_bytes(request)

    def sweep(self) -> None:
        """Sends a farewell to connections past the idle limit, and closes those that time out. A peer that
        closes after the farewell has no request in flight; others are closed after CLOSE_TIMEOUT_S."""
        now = self.clock.seconds()
        limit = self.service.idle_limit() / 1_000_000
        for connection in list(self.connections):
            if connection.end_code:  # would stay open for ever if the peer does not read the rest
                if now - connection.closed_at > CLOSE_TIMEOUT_S:
                    connection.transport.abortConnection()
            elif self._timeout_code(connection, now):
                connection.read_pending()  # its request may have arrived since the last read
                if connection in self.connections and (code := self._timeout_code(connection, now)):
                    connection.close(code)
            elif limit and now - connection.last_active_at > limit and not connection.open_txns:
                connection.send_farewell()

    def _timeout_code(self, connection: Connection, now: float) -> str:
        """The reason code for closing a connection that was inactive for too long; otherwise empty."""
        if connection.open_txns or connection.end_code:
            return ""
        if now - self.awaiting_first_request.get(connection, now) > MESSAGE_TIMEOUT_S:
            return "silent"
        if connection.frames.has_partial_frame and now - connection.message_started_at > MESSAGE_TIMEOUT_S:
            return "half-message"
        farewell_at = connection.farewell_at
        if farewell_at is not None and now - max(farewell_at, connection.last_active_at) > CLOSE_TIMEOUT_S:
            return self.end_code_after_farewell(connection)
        return ""

    def send_farewells(self) -> None:
        for connection in list(self.connections):
            connection.send_farewell()

    def close_all(self) -> None:
        """Closes the write side of every connection, after its pending answers."""
        for connection in list(self.connections):
            connection.close("drain")


def txn_memory_bytes(request: Request) -> int:
    """The estimated memory of an open txn."""
    return len(request.doc) + TXN_OVERHEAD_BYTES


class RejectedConnection(Wire):
    """A connection above the limit, which is aborted at once."""

    transport: Any

    def __init__(self, log: Log) -> None:
        self.log = log

    def connectionMade(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.log.event("connection-end", "full")


def close_listener(port: Any) -> None:
    """Stops listening without losing the connections in the backlog: closing the socket would reset them and
    drop the requests they sent. New connections are blocked, all of the backlog is accepted, also above the
    connection limit, and the socket is closed at once; `stopListening` would leave it open until the next
    iteration of the event loop."""
    block_new_connections(port.socket)
    port.socket.listen(0)
    port.numberAccepts = MAX_FINAL_ACCEPTS
    port.doRead()
    port.connectionLost(connectionDone)
