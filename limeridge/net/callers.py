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
from limeridge.facade import Answer, AnswerKind, Request
from limeridge.net.admission_filter import admit_no_more
from limeridge.net.log import Log

HEAD_MOST = 1_024  # bytes of a head
BODY_MOST = 16_384  # bytes of a message: a body of 2 KiB in base64 and its fields take under a third of it
DOC_MOST = 2_048
OPEN_MOST = 32  # txns open on a connection
IDS_KEPT = 256  # ids of a connection that are still known after their answer
UNREAD_MOST = 262_144  # bytes of answers that a peer may leave unread; 32 answers fit
CLOSE_AFTER = 1.0  # seconds that a peer gets to close after a farewell or after our own end of the stream
DISCARDED_MOST = 262_144  # bytes that are read and dropped of a connection that is being closed
PARTING = 8  # one in so many places is kept for resting ones that were bidden farewell for a newcomer's sake
ACCEPTED_MOST = 100_000  # connections taken from the backlog before the listening socket is closed
TXN_TAKES = 2_500  # bytes that a txn takes here besides its body
WHOLE = 2.0  # seconds for a message to come whole, against peers that hold a place with half of one or none
BLAME_MOST = 32  # of errors (2 each) and voided txns (1) in a row, after which a connection is done with
TAKEN_BACK = 64  # txns taken back in a row, none settled between
TURN = 16  # messages of one connection that are taken before others get their turn
STRANGERS = 4  # one in so many places may be taken by connections that sent nothing whole yet
SETTLE = 0.05  # seconds that a new one gets to send its first bytes before it may lose its place
SWEEP = 0.1  # seconds between two looks for idle connections

PARSE, INVALID, NO_METHOD, BAD_FIELD = -32700, -32600, -32601, -32602
DECLINED, VOIDED = -32008, -32000

FAREWELL = b'{"jsonrpc":"2.0","method":"farewell"}'


class BadFrame(Exception):
    """The framing can't be trusted any more; the text is the reason code of the connection's end."""


class Frames:
    """`Content-Length` frames out of bytes that come split and joined anywhere."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.need = -1  # the length of the body that is awaited, once its head is read

    @property
    def begun(self) -> bool:
        return self.need >= 0 or bool(self.data)

    def feed(self, data: bytes) -> Iterator[bytes]:
        self.data += data
        while True:
            if self.need < 0:
                end = self.data.find(b"\r\n\r\n", 0, HEAD_MOST)
                if end < 0:
                    if len(self.data) >= HEAD_MOST or not self._plausible():
                        raise BadFrame("bad-head")
                    return
                self.need = length_of(bytes(self.data[:end]))
                del self.data[: end + 4]
            if len(self.data) < self.need:
                return
            body = bytes(self.data[: self.need])
            del self.data[: self.need]
            self.need = -1
            yield body

    def _plausible(self) -> bool:
        """Against a peer that speaks something else, which would sit there unanswered."""
        return all(32 <= byte < 127 or byte in b"\r\n\t" for byte in self.data[:64])


def length_of(head: bytes) -> int:
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
    if length > BODY_MOST:
        raise BadFrame("oversize")
    return length


def frame(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


# ---- messages


@dataclass(slots=True, frozen=True)
class Ask:
    """A txn to be judged; all but the answer's way back."""

    id: int
    ref: str
    entry: str
    product: int
    customer: int
    caller: int
    landed: int  # Unix milliseconds
    patience: float  # milliseconds from then
    resent: bool
    effort: float  # milliseconds
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
class Fault:
    """A message that can't be served, and what to answer."""

    id: int | None
    code: int
    why: str


class Unfit(Exception):
    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


Message = Ask | Revoke | Heartbeat | Fault


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
            return Fault(None, PARSE, "not JSON")
        if not isinstance(value, dict):
            return Fault(None, INVALID, "no batches" if isinstance(value, list) else "not an object")
        number = value.get("id")
        known = number if is_whole(number) and 1 <= number < 1 << 53 else None
        try:
            return self._decode(value, known)
        except Unfit as unfit:
            return Fault(known, unfit.code, str(unfit))

    def _decode(self, value: dict[str, Any], number: int | None) -> Message:
        if value.get("jsonrpc") != "2.0":
            raise Unfit(INVALID, "jsonrpc is not 2.0")
        method, params = value.get("method"), value.get("params", {})
        if not isinstance(method, str):
            raise Unfit(INVALID, "no method")
        if not isinstance(params, dict):
            raise Unfit(BAD_FIELD, "params is not an object")
        if method == "revoke":
            ref, target = params.get("i", ""), params.get("id", value.get("id"))
            return Revoke(target if is_whole(target) else 0, ref if isinstance(ref, str) else "")
        if number is None:
            raise Unfit(INVALID, "id is not a number from 1")
        if method == "heartbeat":
            return Heartbeat(number, params.get("x") in (True, 1))
        if method not in self.products:
            raise Unfit(NO_METHOD, "unknown class")
        return self._ask(number, method, params)

    def _ask(self, number: int, entry: str, params: dict[str, Any]) -> Ask:
        ref, doc = text(params, "i", 16), text(params, "doc", 4 * (DOC_MOST + 2) // 3 + 4)
        if len(ref) != 16 or not set(ref) <= set("0123456789abcdefABCDEF"):
            raise Unfit(BAD_FIELD, "i is not 16 hex digits")
        try:
            size = len(binascii.a2b_base64(doc, strict_mode=True)) if doc else 0
        except (binascii.Error, ValueError):
            raise Unfit(BAD_FIELD, "doc is not base64") from None
        if size > DOC_MOST:
            raise Unfit(BAD_FIELD, "doc is too long")
        name = text(params, "t", 256, "")
        customer = self.tenants.find(name) if name else 0
        if customer is None:
            raise Unfit(BAD_FIELD, "unknown tenant")
        figure(params, "p", 0, 1, 0.0)
        return Ask(
            number,
            ref,
            entry,
            self.products[entry],
            customer,
            int(figure(params, "f", 0, 1 << 53, 0)),
            int(figure(params, "s", 0, 1 << 53)),
            figure(params, "d", 0, 1e9, 0),
            params.get("r") in (1, True),
            figure(params, "h", 0, 1e9, 0),
            figure(params, "m", 0, 2_000, 0),
            text(params, "k", 256, ""),
            doc,
        )


def is_whole(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)


def text(params: dict[str, Any], name: str, most: int, default: str | None = None) -> str:
    value = params.get(name, default)
    if not isinstance(value, str) or len(value) > most:
        raise Unfit(BAD_FIELD, f"{name} is no text of up to {most} characters")
    return value


def figure(
    params: dict[str, Any], name: str, least: float, most: float, default: float | None = None
) -> float:
    value = params.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise Unfit(BAD_FIELD, f"{name} is no number from {least:g} to {most:g}")
    return value


def said(value: float | None) -> dict[str, object]:
    """The free value, on whatever is answered."""
    return {} if value is None else {"v": value}


def encode_answer(number: int, answer: Answer, value: float | None) -> bytes:
    data = said(value)
    if answer.kind is AnswerKind.SETTLED:
        return frame(orjson.dumps({"jsonrpc": "2.0", "id": number, "result": {"doc": answer.doc} | data}))
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
    return frame(orjson.dumps({"jsonrpc": "2.0", "id": number, "error": error}))


# ---- connections


class Service(Protocol):
    """What the callers' side asks of whoever wires it up."""

    shut: bool  # draining, and nothing new is taken any more

    def serve(self, request: Request) -> None: ...
    def gone(self, request: Request) -> None: ...
    def value(self) -> float | None: ...
    def idle_limit(self) -> int: ...
    def check(self, deep: bool, answer: Callable[[bool], None]) -> None: ...


@implementer(IPushProducer)
class Connection(Wire):
    """One connection of a caller."""

    transport: Any

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.frames = Frames()
        self.open: dict[int, Request] = {}
        self.seen: dict[int, None] = {}
        self.backlog: list[bytes] = []  # answers that the peer does not read yet
        self.backlog_size = 0
        self.stalled = False
        self.asked = 0
        self.blame, self.taken_back = 0, 0
        self.heard = callers.clock.seconds()
        self.farewell_at: float | None = None
        self.closed_at = 0.0
        self.spoiled = ""  # why nothing more is read
        self.half_since = self.heard  # when the message that is not whole yet began
        self.code = ""
        self.discarded = 0  # bytes read of it while it was being closed

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.callers.joined(self)

    def dataReceived(self, data: bytes) -> None:
        if self.code or self.spoiled:
            self.discard(len(data))
            return
        self.heard = self.callers.clock.seconds()
        if not self.frames.begun:
            self.half_since = self.heard
        try:
            for count, body in enumerate(self.frames.feed(data), 1):
                self.half_since = self.heard
                self.take(self.callers.decoder.decode(body))
                if self.code or self.spoiled:
                    return
                if count >= TURN:  # against one that sends so much at once that all others wait
                    self.transport.pauseProducing()
                    self.callers.clock.callLater(0, self.go_on)
                    return
        except BadFrame as bad:
            self.spoil(str(bad))
        except Exception as trouble:
            self.callers.log.fault("connection-fault", trouble)
            self.spoil("defect")

    def look(self) -> None:
        """Reads what lies unread in the socket, in this turn of the loop, and ends the connection where its
        caller has: silence is judged by what was read, as the clock says nothing of a socket that a long turn
        left alone."""
        if self.code or self.spoiled:
            return
        ended = self.transport.doRead()
        if ended is not None:
            self.transport.connectionLost(Failure(ended))  # type: ignore[no-untyped-call]

    @property
    def silent(self) -> bool:
        """Whether nothing of a request is here that an answer could be owed to."""
        return not self.open and not self.frames.begun

    def discard(self, size: int) -> None:
        """What comes after our end of the stream can't be answered, so it is not taken: its caller sees that
        end, and knows that nothing ran."""
        self.discarded += size
        if self.code and self.discarded > DISCARDED_MOST:  # against one that goes on sending at full speed
            self.transport.abortConnection()

    def go_on(self) -> None:
        if not self.code and not self.spoiled:
            self.transport.resumeProducing()
            self.dataReceived(b"")

    def spoil(self, code: str) -> None:
        """Nothing more is read; what was read before is answered still, then the connection ends."""
        self.spoiled = code
        if not self.open:
            self.close(code)
        elif not self.code:
            self.transport.pauseProducing()  # against a peer that goes on sending at full speed

    def blamed(self, weight: int) -> None:
        """Against a peer that sends what can't be served again and again, each time costing a reading. A txn
        may be voided for no fault of its caller's, so that is asked first to go."""
        self.blame += weight
        if self.blame >= BLAME_MOST and not self.spoiled and not self.code:
            self.spoil("nothing-served")
        elif weight == 1 and self.blame >= BLAME_MOST // 2:
            self.say_farewell()

    def take(self, message: Message) -> None:
        match message:
            case Ask():
                self.ask(message)
            case Heartbeat():
                self.callers.strangers.pop(self, None)
                self.callers.service.check(message.deep, lambda ready: self.checked(message.id, ready))
            case Revoke(number, ref):
                if number not in self.open:
                    number = next((n for n, request in self.open.items() if request.ref == ref), 0)
                if number in self.open:
                    self.callers.service.gone(self.open.pop(number))
                    self.taken_back += 1
                    if self.taken_back >= TAKEN_BACK and not self.open:  # against asking for nothing
                        self.spoil("taken-back")
            case Fault():
                self.refuse(message.id, message.code, message.why)

    def refuse(self, number: int | None, code: int, why: str) -> None:
        self.callers.log.event("bad-message", why)
        # An answer under an id that is open would be taken for that txn's own.
        self.send(encode_error(None if number in self.open else number, code, why, {}))
        self.blamed(2)

    def ask(self, ask: Ask) -> None:
        if ask.id in self.seen:
            self.refuse(None, INVALID, "id used twice")
            return
        self.seen[ask.id] = None
        if len(self.seen) > IDS_KEPT:
            del self.seen[next(iter(self.seen))]
        if len(self.open) >= OPEN_MOST:
            self.refuse(ask.id, INVALID, f"more than {OPEN_MOST} open")
            return
        self.asked += 1
        # Both are told in Unix time, which may have stepped since: neither may leave what was told.
        age = min(max(0.0, self.callers.unix() * 1_000 - ask.landed), ask.patience or 60_000.0)
        request = Request(
            ask.ref,
            ask.entry,
            ask.product,
            ask.customer,
            ask.caller,
            int(age * 1_000),
            max(0, int((ask.patience - age) * 1_000)),
            ask.size_kb,
            ask.doc,
            lambda answer: self.answer(ask.id, answer),
            ask.resent,
            int(ask.effort * 1_000),
            ask.key,
        )
        self.open[ask.id] = request
        self.callers.strangers.pop(self, None)
        self.callers.admit(request)

    def answer(self, number: int, answer: Answer) -> None:
        if self.open.pop(number, None) is not None:
            self.heard = self.callers.clock.seconds()
            self.send(encode_answer(number, answer, self.callers.service.value()))
            if answer.kind is AnswerKind.SETTLED:
                self.blame = self.taken_back = 0
            elif answer.kind is AnswerKind.VOIDED:
                self.blamed(1)
            if self.spoiled and not self.open:
                self.close(self.spoiled)

    def checked(self, number: int, ready: bool) -> None:
        result: dict[str, object] = {"ready": ready} | said(self.callers.service.value())
        self.send(frame(orjson.dumps({"jsonrpc": "2.0", "id": number, "result": result})))

    def send(self, data: bytes) -> None:
        if self.code:
            return
        if not self.stalled:
            self.transport.write(data)
            return
        self.backlog.append(data)
        self.backlog_size += len(data)
        self.callers.unread += len(data)
        if self.backlog_size > UNREAD_MOST or self.callers.unread > self.callers.unread_most:
            self.close("unread", abort=True)

    def say_farewell(self) -> None:
        if self.farewell_at is None:
            self.farewell_at = self.callers.clock.seconds()
            self.send(frame(FAREWELL))

    def close(self, code: str, abort: bool = False) -> None:
        """Half a close: our end of the stream goes out behind what is still unsent, and what comes meanwhile
        is read and dropped up to the peer's own end. Against a close over unread bytes, which is a reset and
        takes answers on their way with it."""
        closing, self.code = bool(self.code), self.code or code
        if abort:  # also where it is being closed by halves
            self.transport.abortConnection()
        if abort or closing:
            return
        self.closed_at = self.callers.clock.seconds()
        self.transport.unregisterProducer()
        for data in self.clear_backlog():
            self.transport.write(data)
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.code:
            closed = isinstance(reason.value, ConnectionDone)
            self.code = self.spoiled or ("peer-closed" if closed else "peer-reset")
            if self.farewell_at is not None and not self.open and not self.spoiled:
                self.code = self.callers.parted(self)
        unanswered, self.open = list(self.open.values()), {}
        self.callers.left(self, len(unanswered))
        for request in unanswered:
            self.callers.service.gone(request)

    # A peer that does not read: answers wait here, bounded, and not in the transport.

    def pauseProducing(self) -> None:
        self.stalled = True

    def resumeProducing(self) -> None:
        self.stalled = False
        for data in self.clear_backlog():
            self.send(data)

    def clear_backlog(self) -> list[bytes]:
        waiting, self.backlog = self.backlog, []
        self.callers.unread -= self.backlog_size
        self.backlog_size = 0
        return waiting

    def stopProducing(self) -> None:
        self.stalled = False


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
        most: int,
        held_most: int,
        unread_most: int,
        slack: int = 4,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.service, self.clock, self.log, self.unix = service, clock, log, unix
        self.decoder = decoder
        self.most, self.held_most, self.unread_most = most, held_most, unread_most
        self.held, self.unread = 0, 0
        self.connections: dict[Connection, None] = {}
        # Those that sent nothing yet that could be served, the oldest first, and since when they stand.
        self.strangers: dict[Connection, float] = {}
        # Those that rested and were bidden farewell for a newcomer's sake, and when; what crosses is served.
        self.parting: dict[Connection, float] = {}
        # Sockets that are cut keep their descriptors up to the next turn: no more in a turn than `slack`.
        self.slack, self.cut = slack, 0
        self.looked_around = False  # at all sockets, in this turn of the loop

    def buildProtocol(self, addr: object) -> Connection | Rejected | None:
        if self._room():
            return Connection(self)
        if self._may_cut():
            return Rejected(self.log)
        self.log.event("connection-end", "full")
        return None

    def _room(self) -> bool:
        """Against a table full of connections that say nothing, or rest: a newcomer takes the place of one.
        Those that say nothing never fill it, so that usual callers keep theirs. One that rests hears a
        farewell and keeps its descriptor for a while, from the places that are kept for this."""
        if self._crowded() and self._displace_stranger():
            return True
        spare = self._spare()
        if spare <= 0:  # more than one where a rush took the kept places: they are to be there for the next
            self._part_resting(1 - spare)
        if len(self.connections) >= self.most:
            self._look_around()
        if len(self.connections) < self.most:
            return True
        gone = self._first_silent(self.parting)
        return gone is not None and self._cut_short(gone)

    def _displace_stranger(self) -> bool:
        silent = self._first_silent(self.strangers)
        if silent is None and self._spare() <= 0:
            silent = self._first_silent(self.strangers, half_come=True)
        return silent is not None and self._crowded() and self._cut_short(silent)

    def _spare(self) -> int:
        """Places for newcomers, besides those that are kept for connections that were bidden farewell."""
        return self.most - self.most // PARTING - (len(self.connections) - len(self.parting))

    def _crowded(self) -> bool:
        return self._spare() <= 0 or len(self.strangers) * STRANGERS >= self.most

    def _look_around(self) -> None:
        """Once a turn of the loop: those whose callers have closed them, unread as yet, take no place."""
        if self.looked_around:
            return
        self.looked_around = True
        self.clock.callLater(0, self._look_again)
        for connection in list(self.connections):
            if not connection.open:
                connection.look()

    def _look_again(self) -> None:
        self.looked_around = False

    def _first_silent(self, among: dict[Connection, float], half_come: bool = False) -> Connection | None:
        """The first that has been silent for SETTLE and is so still when its socket is looked at; with
        `half_come` also one that has sent a part of a message."""
        for connection, since in list(among.items()):
            if not self._settled(since):
                return None  # nor are those behind it
            connection.look()
            if connection in among and not connection.open and (half_come or connection.silent):
                return connection
        return None

    def _part_resting(self, count: int) -> None:
        resting = [
            each
            for each in self.connections
            if each not in self.strangers and not each.open and not each.code and each.farewell_at is None
        ]
        for longest in heapq.nsmallest(count, resting, key=lambda each: each.heard):
            if not self._settled(longest.heard):
                return
            longest.say_farewell()
            self.parting[longest] = math.inf  # up to the next turn of the loop: what is unsent goes out first
            self.clock.callLater(0, self._bidden, longest)

    def _bidden(self, connection: Connection) -> None:
        if connection in self.parting:
            self.parting[connection] = self.clock.seconds()

    def _settled(self, since: float) -> bool:
        """False where it was heard, made or bidden farewell a moment ago: it stays."""
        return bool(self.clock.seconds() - since >= SETTLE)

    def _cut_short(self, connection: Connection) -> bool:
        if not self._may_cut():
            return False
        connection.close("displaced", abort=True)
        self.drop(connection)
        return True

    def _may_cut(self) -> bool:
        if self.cut >= self.slack:
            return False
        if not self.cut:
            self.clock.callLater(0, self._none_cut)
        self.cut += 1
        return True

    def _none_cut(self) -> None:
        self.cut = 0

    def parted(self, connection: Connection) -> str:
        """The code of the end of one that was bidden farewell."""
        return "displaced" if connection in self.parting else "farewell"

    def drop(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        self.strangers.pop(connection, None)
        self.parting.pop(connection, None)

    def joined(self, connection: Connection) -> None:
        self.connections[connection] = None
        self.strangers[connection] = connection.heard
        if self.service.shut:
            connection.say_farewell()

    def left(self, connection: Connection, unanswered: int) -> None:
        self.drop(connection)
        connection.clear_backlog()
        self.log.event("connection-end", connection.code, asked=connection.asked, unanswered=unanswered)

    def admit(self, request: Request) -> None:
        """Bodies in hand are bounded: past the bound a txn is told at the door that it never ran."""
        if self.held + taken(request) > self.held_most:
            self.log.event("turned-away", "held-bodies")
            request.answer(Answer(AnswerKind.DECLINED, why="no memory"))
            return
        self.held += taken(request)
        self.service.serve(request)

    def released(self, request: Request) -> None:
        self.held -= taken(request)

    def sweep(self) -> None:
        """Closes what was silent past the limit: the farewell lets the peer close, so that nothing is on
        the way then; one that does not is closed after a while."""
        now = self.clock.seconds()
        limit = self.service.idle_limit() / 1_000_000
        for connection in list(self.connections):
            if connection.code:  # a peer that does not read what is left would keep it open for ever
                if now - connection.closed_at > CLOSE_AFTER:
                    connection.transport.abortConnection()
            elif self._overdue(connection, now):
                connection.look()  # what it sent may lie there since before this turn of the loop
                if connection in self.connections and (code := self._overdue(connection, now)):
                    connection.close(code)
            elif limit and now - connection.heard > limit and not connection.open:
                connection.say_farewell()

    def _overdue(self, connection: Connection, now: float) -> str:
        """The code of the end of one that has been silent for too long; empty where it has not."""
        if connection.open or connection.code:
            return ""
        if now - self.strangers.get(connection, now) > WHOLE:
            return "silent"
        if connection.frames.begun and now - connection.half_since > WHOLE:
            return "half-message"
        bidden = connection.farewell_at
        if bidden is not None and now - max(bidden, connection.heard) > CLOSE_AFTER:
            return self.parted(connection)
        return ""

    def farewell(self) -> None:
        for connection in list(self.connections):
            connection.say_farewell()

    def part(self) -> None:
        """The process is about to end: what is answered goes out first, then our end of each stream."""
        for connection in list(self.connections):
            connection.close("drain")


def taken(request: Request) -> int:
    """Bytes of the process's memory that a txn in hand takes."""
    return len(request.doc) + TXN_TAKES


class Rejected(Wire):
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
    port.numberAccepts = ACCEPTED_MOST
    port.doRead()
    port.connectionLost(connectionDone)
