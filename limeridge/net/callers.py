"""The callers' side: framed JSON-RPC 2.0 on the listening socket, health checks, farewells, idle limits.

It owns the parser of frames, the one decoding of each message into a typed value and the one encoding of each
answer, and the bounds on connections, open txns and unread output. It must never judge a txn (that is asked
of the service that it is given) nor keep a reference to one that was answered.
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
from limeridge.facade import Answer, Intake, Kind
from limeridge.net.admission_filter import admit_no_more
from limeridge.net.log import Log

MAX_HEADER_BYTES = 1_024  # bytes of a head
# bytes of a message: a body of 2 KiB in base64 and its fields take under a third of it
MAX_BODY_BYTES = 16_384
MAX_DOC_BYTES = 2_048
MAX_OPEN_TXNS = 32  # txns open on a connection
MAX_REMEMBERED_IDS = 256  # ids of a connection that are still known after their answer
MAX_UNREAD_BYTES = 262_144  # bytes of answers that a peer may leave unread; 32 answers fit
CLOSE_TIMEOUT_S = 1.0  # seconds that a peer gets to close after a farewell or after our own end of the stream
MAX_DISCARDED_BYTES = 262_144  # bytes that are read and dropped of a connection that is being closed
# one in so many places is kept for resting ones that were bidden farewell for a newcomer's sake
DISPLACED_DIVISOR = 8
MAX_FINAL_ACCEPTS = 100_000  # connections taken from the backlog before the listening socket is closed
TXN_OVERHEAD_BYTES = 2_500  # bytes that a txn takes here besides its body
# seconds for a message to come whole, against peers that hold a place with half of one or none
MESSAGE_TIMEOUT_S = 2.0
MAX_ERROR_SCORE = 32  # of errors (2 each) and voided txns (1) in a row, after which a connection is done with
MAX_CONSECUTIVE_REVOKES = 64  # txns taken back in a row, none settled between
MESSAGES_PER_ITERATION = 16  # messages of one connection that are taken before others get their turn
AWAITING_REQUEST_DIVISOR = 4  # one in so many places may be taken by connections that sent nothing whole yet
# seconds that a new one gets to send its first bytes before it may lose its place
DISPLACEMENT_GRACE_S = 0.05
SWEEP_INTERVAL_S = 0.1  # seconds between two looks for idle connections

PARSE_ERROR, INVALID_REQUEST, METHOD_NOT_FOUND, INVALID_PARAMS = -32700, -32600, -32601, -32602
DECLINED, VOIDED = -32008, -32000

FAREWELL = b'{"jsonrpc":"2.0","method":"farewell"}'


class BadFrame(Exception):
    """The framing can't be trusted any more; the text is the reason code of the connection's end."""


class FrameParser:
    """`Content-Length` frames out of bytes that come split and joined anywhere."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.body_length = -1  # the length of the body that is awaited, once its head is read

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
        """Against a peer that speaks something else, which would sit there unanswered."""
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
    """A txn to be judged; all but the answer's way back."""

    id: int
    ref: str
    entry: str
    product: int
    customer: int
    caller: int
    sent_at_ms: int  # Unix milliseconds
    timeout_ms: float  # milliseconds from then
    resent: bool
    expected_work_ms: float  # milliseconds
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
    """A message that can't be served, and what to answer."""

    id: int | None
    code: int
    why: str


class RequestError(Exception):
    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


Message = TxnRequest | Revoke | Heartbeat | InvalidMessage


class Decoder:
    """Bytes to one of the typed messages; names of classes become numbers in the settings' order,
    those of tenants the numbers of their table."""

    def __init__(self, products: Sequence[str], tenants: TenantTable) -> None:
        self.products = {name: number for number, name in enumerate(products)}
        self.tenants = tenants  # of the revision that is in force

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
    """The free value, on whatever is answered."""
    return {} if value is None else {"v": value}


def encode_answer(number: int, answer: Answer, value: float | None) -> bytes:
    data = value_data(value)
    if answer.kind is Kind.SETTLED:
        return encode_frame(
            orjson.dumps({"jsonrpc": "2.0", "id": number, "result": {"doc": answer.doc} | data})
        )
    if answer.kind is Kind.VOIDED:
        return encode_error(number, VOIDED, answer.why or "failed", data)
    if answer.come_back > 0:
        data["w"] = answer.come_back / 1_000
    if answer.not_elsewhere:
        data["l"] = 1
    return encode_error(number, DECLINED, answer.why or "turned away", data)


def encode_error(number: int | None, code: int, why: str, data: dict[str, object]) -> bytes:
    error: dict[str, object] = {"code": code, "message": why}
    if data:
        error["data"] = data
    return encode_frame(orjson.dumps({"jsonrpc": "2.0", "id": number, "error": error}))


# ---- connections


class Service(Protocol):
    """What the callers' side asks of whoever wires it up."""

    stopped_accepting: bool  # draining, and nothing new is taken any more

    def serve(self, intake: Intake) -> None: ...
    def withdraw(self, intake: Intake) -> None: ...
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
        self.open_txns: dict[int, Intake] = {}
        self.seen_ids: dict[int, None] = {}
        self.backlog: list[bytes] = []  # answers that the peer does not read yet
        self.backlog_size = 0
        self.write_paused = False
        self.txn_count = 0
        self.error_score, self.consecutive_revokes = 0, 0
        self.last_active_at = callers.clock.seconds()
        self.farewell_at: float | None = None
        self.closed_at = 0.0
        self.stop_code = ""  # why nothing more is read
        self.message_started_at = self.last_active_at  # when the message that is not whole yet began
        self.end_code = ""
        self.discarded_bytes = 0  # bytes read of it while it was being closed

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
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
        """Reads what lies unread in the socket, in this turn of the loop, and ends the connection where its
        caller has: silence is judged by what was read, as the clock says nothing of a socket that a long turn
        left alone."""
        if self.end_code or self.stop_code:
            return
        ended = self.transport.doRead()
        if ended is not None:
            self.transport.connectionLost(Failure(ended))  # type: ignore[no-untyped-call]

    @property
    def is_silent(self) -> bool:
        """Whether nothing of a request is here that an answer could be owed to."""
        return not self.open_txns and not self.frames.has_partial_frame

    def discard(self, size: int) -> None:
        """What comes after our end of the stream can't be answered, so it is not taken: its caller sees that
        end, and knows that nothing ran."""
        self.discarded_bytes += size
        # against one that goes on sending at full speed
        if self.end_code and self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.abortConnection()

    def resume_reading(self) -> None:
        if not self.end_code and not self.stop_code:
            self.transport.resumeProducing()
            self.dataReceived(b"")

    def stop_reading(self, code: str) -> None:
        """Nothing more is read; what was read before is answered still, then the connection ends."""
        self.stop_code = code
        if not self.open_txns:
            self.close(code)
        elif not self.end_code:
            self.transport.pauseProducing()  # against a peer that goes on sending at full speed

    def add_errors(self, weight: int) -> None:
        """Against a peer that sends what can't be served again and again, each time costing a reading. A txn
        may be voided for no fault of its caller's, so that is asked first to go."""
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
                self.callers.awaiting_first_request.pop(self, None)
                self.callers.service.check(
                    message.deep, lambda ready: self.send_check_result(message.id, ready)
                )
            case Revoke(number, ref):
                if number not in self.open_txns:
                    number = next((n for n, intake in self.open_txns.items() if intake.ref == ref), 0)
                if number in self.open_txns:
                    self.callers.service.withdraw(self.open_txns.pop(number))
                    self.consecutive_revokes += 1
                    # against asking for nothing
                    if self.consecutive_revokes >= MAX_CONSECUTIVE_REVOKES and not self.open_txns:
                        self.stop_reading("taken-back")
            case InvalidMessage():
                self.reject_message(message.id, message.code, message.why)

    def reject_message(self, number: int | None, code: int, why: str) -> None:
        self.callers.log.event("bad-message", why)
        # An answer under an id that is open would be taken for that txn's own.
        self.send(encode_error(None if number in self.open_txns else number, code, why, {}))
        self.add_errors(2)

    def receive_txn(self, request: TxnRequest) -> None:
        if request.id in self.seen_ids:
            self.reject_message(None, INVALID_REQUEST, "id used twice")
            return
        self.seen_ids[request.id] = None
        if len(self.seen_ids) > MAX_REMEMBERED_IDS:
            del self.seen_ids[next(iter(self.seen_ids))]
        if len(self.open_txns) >= MAX_OPEN_TXNS:
            self.reject_message(request.id, INVALID_REQUEST, f"more than {MAX_OPEN_TXNS} open")
            return
        self.txn_count += 1
        # Both are told in Unix time, which may have stepped since: neither may leave what was told.
        age = min(max(0.0, self.callers.unix() * 1_000 - request.sent_at_ms), request.timeout_ms or 60_000.0)
        intake = Intake(
            request.ref,
            request.entry,
            request.product,
            request.customer,
            request.caller,
            int(age * 1_000),
            max(0, int((request.timeout_ms - age) * 1_000)),
            request.size_kb,
            request.doc,
            lambda answer: self.send_answer(request.id, answer),
            request.resent,
            int(request.expected_work_ms * 1_000),
            request.key,
        )
        self.open_txns[request.id] = intake
        self.callers.awaiting_first_request.pop(self, None)
        self.callers.admit(intake)

    def send_answer(self, number: int, answer: Answer) -> None:
        if self.open_txns.pop(number, None) is not None:
            self.last_active_at = self.callers.clock.seconds()
            self.send(encode_answer(number, answer, self.callers.service.value()))
            if answer.kind is Kind.SETTLED:
                self.error_score = self.consecutive_revokes = 0
            elif answer.kind is Kind.VOIDED:
                self.add_errors(1)
            if self.stop_code and not self.open_txns:
                self.close(self.stop_code)

    def send_check_result(self, number: int, ready: bool) -> None:
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
        """Half a close: our end of the stream goes out behind what is still unsent, and what comes meanwhile
        is read and dropped up to the peer's own end. Against a close over unread bytes, which is a reset and
        takes answers on their way with it."""
        closing, self.end_code = bool(self.end_code), self.end_code or code
        if abort:  # also where it is being closed by halves
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
        for intake in unanswered:
            self.callers.service.withdraw(intake)

    # A peer that does not read: answers wait here, bounded, and not in the transport.

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
    """All connections of callers, and what bounds them."""

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
        self.held_bytes, self.unread_bytes = 0, 0
        self.connections: dict[Connection, None] = {}
        # Those that sent nothing yet that could be served, the oldest first, and since when they stand.
        self.awaiting_first_request: dict[Connection, float] = {}
        # Those that rested and were bidden farewell for a newcomer's sake, and when; what crosses is served.
        self.being_displaced: dict[Connection, float] = {}
        # Sockets that are cut keep their descriptors up to the next turn: no more in a turn than `slack`.
        self.max_aborts_per_iteration, self.aborts_this_iteration = max_aborts_per_iteration, 0
        self.polled_this_iteration = False  # at all sockets, in this turn of the loop

    def buildProtocol(self, addr: object) -> Connection | RejectedConnection | None:
        if self._make_room():
            return Connection(self)
        if self._count_abort():
            return RejectedConnection(self.log)
        self.log.event("connection-end", "full")
        return None

    def _make_room(self) -> bool:
        """Against a table full of connections that say nothing, or rest: a newcomer takes the place of one.
        Those that say nothing never fill it, so that usual callers keep theirs. One that rests hears a
        farewell and keeps its descriptor for a while, from the places that are kept for this."""
        if self._is_crowded() and self._displace_without_request():
            return True
        free_slots = self._free_slots()
        # more than one where a rush took the kept places: they are to be there for the next
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
        """Places for newcomers, besides those that are kept for connections that were bidden farewell."""
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
        """Once a turn of the loop: those whose callers have closed them, unread as yet, take no place."""
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
        """The first that has been silent for SETTLE and is so still when its socket is looked at; with
        `half_come` also one that has sent a part of a message."""
        for connection, since in list(among.items()):
            if not self._is_past_grace(since):
                return None  # nor are those behind it
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
        """False where it was heard, made or bidden farewell a moment ago: it stays."""
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
        """The code of the end of one that was bidden farewell."""
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

    def admit(self, intake: Intake) -> None:
        """Bodies in hand are bounded: past the bound a txn is told at the door that it never ran."""
        if self.held_bytes + txn_memory_bytes(intake) > self.max_held_bytes:
            self.log.event("turned-away", "held-bodies")
            intake.answer(Answer(Kind.DECLINED, why="no memory"))
            return
        self.held_bytes += txn_memory_bytes(intake)
        self.service.serve(intake)

    def release(self, intake: Intake) -> None:
        self.held_bytes -= txn_memory_bytes(intake)

    def sweep(self) -> None:
        """Closes what was silent past the limit: the farewell lets the peer close, so that nothing is on
        the way then; one that does not is closed after a while."""
        now = self.clock.seconds()
        limit = self.service.idle_limit() / 1_000_000
        for connection in list(self.connections):
            if connection.end_code:  # a peer that does not read what is left would keep it open for ever
                if now - connection.closed_at > CLOSE_TIMEOUT_S:
                    connection.transport.abortConnection()
            elif self._timeout_code(connection, now):
                connection.read_pending()  # what it sent may lie there since before this turn of the loop
                if connection in self.connections and (code := self._timeout_code(connection, now)):
                    connection.close(code)
            elif limit and now - connection.last_active_at > limit and not connection.open_txns:
                connection.send_farewell()

    def _timeout_code(self, connection: Connection, now: float) -> str:
        """The code of the end of one that has been silent for too long; empty where it has not."""
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
        """The process is about to end: what is answered goes out first, then our end of each stream."""
        for connection in list(self.connections):
            connection.close("drain")


def txn_memory_bytes(intake: Intake) -> int:
    """Bytes of the process's memory that a txn in hand takes."""
    return len(intake.doc) + TXN_OVERHEAD_BYTES


class RejectedConnection(Wire):
    """A connection past the bound: closed at once, so that those that are open stay."""

    transport: Any

    def __init__(self, log: Log) -> None:
        self.log = log

    def connectionMade(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.log.event("connection-end", "full")


def close_listener(port: Any) -> None:
    """Stops listening without losing whoever is in the backlog: those connections stand already, and closing
    the socket would reset them with what they wrote. No more can come while all are taken, whether or not
    there is a place for them, and the socket is closed in the same breath: `stopListening` would leave it
    open, and unread, up to the next turn of the loop."""
    admit_no_more(port.socket)
    port.socket.listen(0)
    port.numberAccepts = MAX_FINAL_ACCEPTS
    port.doRead()
    port.connectionLost(connectionDone)
