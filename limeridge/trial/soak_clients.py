"""The clients of a soak: persistent connections, and a crowd of clients that reconnect after each batch.

They write requests, some in pieces or slowly, read answers, and add both to the record. They must not judge
them, nor know more about an instance than its address.
"""

from __future__ import annotations

import base64
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import orjson
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

from limeridge.sim.plan import Product
from limeridge.standins.callers import frame
from limeridge.trial.soak_record import SLACK_S, Record, Request

MAX_OPEN_REQUESTS = 6  # of a persistent connection
CLIENT_TIMEOUTS_MS = (20, 60, 400)  # drawn in addition to the full expiry of a product
WORK_US = (500, 2_000, 20_000, 150_000)
LONG_WORK_US = 2_500_000  # longer than an instance may take to stop
CALL_US = (1_000, 5_000, 30_000, 300_000)
SLOW_WRITE_INTERVAL_S = 0.03  # between two pieces of a slow write
MIN_SLOW_WRITE_TIMEOUT_S = 0.4  # requests with a shorter timeout are not written slowly
REFUSED_CODE = -32008
RECONNECT_DELAY_S = 0.001  # of a client of the crowd
KEY_REPEAT_SHARE = 0.3  # of keyed requests that are repeated with the same key
MAX_KEY_REPEAT_DELAY_S = 0.6  # after the first request


@dataclass(slots=True)
class Target:
    """The instance that clients connect to, and the state that its clients share."""

    reactor: Any
    instance: int
    address: tuple[str, int]
    products: tuple[Product, ...]
    record: Record
    chance: random.Random
    on_finished: Callable[[str], None]  # called with the ref of each answered or abandoned request
    is_sending: Callable[[], bool]  # False during the quiet time
    rate: float  # requests per second of a persistent connection
    reset_share: float
    serial: int = 0

    def new_request(self) -> tuple[Request, bytes, float]:
        """Returns a new request, its body, and the time in seconds for which its key is kept."""
        chance, product = self.chance, self.chance.choice(self.products)
        self.serial += 1
        work = LONG_WORK_US if chance.random() < 0.01 else chance.choice(WORK_US)
        doc = b"work=%d calls=%d op=%d n=%d" % (
            work,
            chance.randrange(3),
            chance.choice(CALL_US),
            self.serial,
        )
        wait = chance.choice((*CLIENT_TIMEOUTS_MS, product.expiry // 1_000, product.expiry // 1_000))
        key = f"k{self.instance}-{self.serial}" if product.kind == "guarded" else ""
        ref = f"{chance.getrandbits(64):016x}"
        request = Request(ref, self.instance, product.name, key, time.time(), wait / 1_000)
        return request, doc, product.window / 1_000_000


class Connection(Wire):
    """One connection of a client.

    With a `batch`, it sends that many requests at once and closes after the answers. With a batch of 0 it
    sends until the farewell and stays open until the instance closes it.
    """

    transport: Any

    def __init__(self, target: Target, batch: int, reconnect: Callable[[], None] | None = None) -> None:
        self.target, self.batch, self.reconnect = target, batch, reconnect
        self.data, self.next_id = b"", 0
        self.open_requests: dict[int, tuple[Request, Any, bytes]] = {}
        self.is_open = self.farewell_received = self.slow_write_active = False

    def connectionMade(self) -> None:
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        chance = self.target.chance
        if self.batch:
            for _ in range(self.batch):
                self.send_new()
        else:
            self.send_periodically()
            if chance.random() < self.target.reset_share:
                self.target.reactor.callLater(chance.uniform(0.1, 2.0), self.reset)

    def send_periodically(self) -> None:
        if not self.is_open or self.farewell_received:
            return
        if (
            self.target.is_sending()
            and len(self.open_requests) < MAX_OPEN_REQUESTS
            and not self.slow_write_active
        ):
            self.send_new()
        self.target.reactor.callLater(
            self.target.chance.expovariate(self.target.rate), self.send_periodically
        )

    def send_new(self) -> None:
        request, doc, window = self.target.new_request()
        self.send(request, doc)
        if request.key and self.target.chance.random() < KEY_REPEAT_SHARE:
            later = self.target.chance.uniform(0, min(MAX_KEY_REPEAT_DELAY_S, window / 2))
            self.target.reactor.callLater(later, self.send_repeat, request, doc)

    def send_repeat(self, request: Request, doc: bytes) -> None:
        """Sends another request with the same key, while the key is still kept."""
        if (
            not self.is_open
            or self.farewell_received
            or self.slow_write_active
            or len(self.open_requests) >= MAX_OPEN_REQUESTS
        ):
            return
        ref = f"{self.target.chance.getrandbits(64):016x}"
        repeat = Request(ref, request.instance, request.entry, request.key, time.time(), request.wait)
        self.send(repeat, doc, resent=True)

    def send(self, request: Request, doc: bytes, resent: bool = False) -> None:
        """Writes the request at once, in two pieces, or slowly. It is recorded after its last byte."""
        self.next_id += 1
        message = frame(orjson.dumps(_request_message(self.next_id, request, doc, resent)))
        draw = self.target.chance.random()
        write_at_once = request.wait < MIN_SLOW_WRITE_TIMEOUT_S or self.batch or self.slow_write_active
        if write_at_once or draw < 0.9:
            self.transport.write(message)
            self.track_request(self.next_id, request, doc)
        elif draw < 0.95:
            cut = self.target.chance.randrange(1, len(message))
            self.transport.write(message[:cut])
            self.transport.write(message[cut:])
            self.track_request(self.next_id, request, doc)
        else:
            self.slow_write_active = True
            self.write_slowly(message, self.next_id, request, doc)

    def write_slowly(self, message: bytes, number: int, request: Request, doc: bytes) -> None:
        if not self.is_open:
            return
        piece = max(1, len(message) // 3)
        self.transport.write(message[:piece])
        if len(message) > piece:
            self.target.reactor.callLater(
                SLOW_WRITE_INTERVAL_S, self.write_slowly, message[piece:], number, request, doc
            )
            return
        self.slow_write_active = False
        self.track_request(number, request, doc)

    def track_request(self, number: int, request: Request, doc: bytes) -> None:
        """Records a request and starts its timeout, which counts from the start of the write (field `s`)."""
        self.target.record.add_sent(request)
        remaining = request.due + SLACK_S - time.time()
        timer = self.target.reactor.callLater(max(0.0, remaining), self.handle_timeout, number)
        self.open_requests[number] = request, timer, doc

    def handle_timeout(self, number: int) -> None:
        request, _, _ = self.open_requests.pop(number)
        self.target.on_finished(request.ref)
        self.target.record.add_timeout(request)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            length = int(self.data[:end].split(b":")[1])
            if len(self.data) < end + 4 + length:
                return
            message = orjson.loads(self.data[end + 4 : end + 4 + length])
            self.data = self.data[end + 4 + length :]
            self.handle_message(message)

    def handle_message(self, message: dict[str, Any]) -> None:
        if message.get("method") == "farewell":
            self.farewell_received = True
            self.target.record.counts["farewells"] += 1
            return
        found = self.open_requests.pop(message.get("id", 0), None)
        if found is None:
            if message.get("id") is None or message["id"] > self.next_id:
                self.target.record.add_duplicate_answer(message.get("id"))
            return  # a late answer: its timeout was recorded
        request, timer, _ = found
        timer.cancel()
        self.target.on_finished(request.ref)
        outcome = "served" if "result" in message else "failed"
        if outcome == "failed" and message["error"]["code"] == REFUSED_CODE:
            outcome = "refused"
        self.target.record.add_answer(request, outcome, time.time())
        if self.batch and not self.open_requests:
            self.transport.loseConnection()

    def reset(self) -> None:
        """Aborts the connection and abandons its open requests."""
        for request, timer, _ in self.open_requests.values():
            timer.cancel()
            self.target.on_finished(request.ref)
        self.open_requests.clear()
        if self.is_open:
            self.is_open = False
            self.target.record.counts["resets by clients"] += 1
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_open, now = False, time.time()
        in_order = isinstance(reason.value, ConnectionDone)
        crossed = []
        for request, timer, doc in self.open_requests.values():
            timer.cancel()
            self.target.on_finished(request.ref)
            if self.target.record.add_connection_end(request, now, in_order, self.farewell_received):
                crossed.append((request, doc))
        self.open_requests.clear()
        for request, doc in crossed:
            request.crossed = True
            connect(self.target, partial(ResendConnection, self.target, request, doc))
        if self.reconnect is not None:
            self.target.reactor.callLater(RECONNECT_DELAY_S, self.reconnect)


class ResendConnection(Connection):
    """Resends a request that crossed the end of its connection."""

    def __init__(self, target: Target, request: Request, doc: bytes) -> None:
        super().__init__(target, 1)
        self.request, self.doc = request, doc

    def connectionMade(self) -> None:
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        before = self.request
        repeat = Request(
            f"{self.target.chance.getrandbits(64):016x}",
            before.instance,
            before.entry,
            before.key,
            time.time(),
            max(0.02, before.due - time.time()),
            crossed=True,
        )
        self.send(repeat, self.doc, resent=True)


class ConnectionFactory(ClientFactory):
    """Opens one connection. Refused connections are only counted, since no request can have run."""

    noisy = False

    def __init__(self, target: Target, build_connection: Callable[[], Connection]) -> None:
        self.target, self.build_connection = target, build_connection

    def buildProtocol(self, addr: object) -> Connection:
        return self.build_connection()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.target.record.counts["connections refused"] += 1


def connect(target: Target, build_connection: Callable[[], Connection]) -> None:
    """Opens a connection to the target."""
    host, port = target.address
    target.reactor.connectTCP(host, port, ConnectionFactory(target, build_connection), timeout=2)


def _request_message(number: int, request: Request, doc: bytes, resent: bool) -> dict[str, Any]:
    params: dict[str, Any] = {
        "i": request.ref,
        "s": int(request.sent * 1_000),
        "f": 1,
        "d": int(request.wait * 1_000),
        "m": 10.0,
        "p": 0.5,
        "doc": base64.b64encode(doc).decode(),
    }
    if request.key:
        params["k"] = request.key
    if resent:
        params["r"] = 1
    return {"jsonrpc": "2.0", "id": number, "method": request.entry, "params": params}
