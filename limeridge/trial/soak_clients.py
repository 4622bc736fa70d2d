"""The clients of a soak: connections that are used until their end, and a crowd that connects anew.

They write requests, also in pieces and slowly, read answers, and tell all of it to the record. They must
never judge, nor know more of an instance than its address.
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

OPEN_MOST = 6  # requests that a client has open on one connection
WAITS_MS = (20, 60, 400)  # that a client waits, besides a class's whole time
WORK_US = (500, 2_000, 20_000, 150_000)
LONG_WORK_US = 2_500_000  # of a run that takes longer than the instance may to stop
CALL_US = (1_000, 5_000, 30_000, 300_000)
SLOW_PIECE = 0.03  # seconds between two pieces of a slow writer
SLOWLY_FROM = 0.4  # seconds that a client waits, from which it may write so slowly
REFUSED = -32008
CROWD_PAUSE = 0.001  # seconds until a client of the crowd connects anew
KEY_REPEATED = 0.3  # share of keyed requests that are sent again under their key
KEY_REPEATED_WITHIN = 0.6  # seconds after the first, at the most


@dataclass(slots=True)
class Place:
    """Where the clients of an instance connect, and what they have in common."""

    reactor: Any
    instance: int
    address: tuple[str, int]
    products: tuple[Product, ...]
    record: Record
    chance: random.Random
    over: Callable[[str], None]  # hears of each request that was answered or given up
    asking: Callable[[], bool]  # whether clients send now
    pace: float  # requests a second of a connection that is kept
    reset_share: float
    serial: int = 0

    def request(self) -> tuple[Request, bytes, float]:
        """A new request, with its body and the seconds for which its key is remembered."""
        chance, product = self.chance, self.chance.choice(self.products)
        self.serial += 1
        work = LONG_WORK_US if chance.random() < 0.01 else chance.choice(WORK_US)
        doc = b"work=%d calls=%d op=%d n=%d" % (
            work,
            chance.randrange(3),
            chance.choice(CALL_US),
            self.serial,
        )
        wait = chance.choice((*WAITS_MS, product.expiry // 1_000, product.expiry // 1_000))
        key = f"k{self.instance}-{self.serial}" if product.kind == "guarded" else ""
        ref = f"{chance.getrandbits(64):016x}"
        made = Request(ref, self.instance, product.name, key, time.time(), wait / 1_000)
        return made, doc, product.window / 1_000_000


class Connection(Wire):
    """One connection of a client. `batch`: so many requests at once, then it is closed; 0: it is used up to
    the farewell, and rests until it is ended."""

    transport: Any

    def __init__(self, place: Place, batch: int, again: Callable[[], None] | None = None) -> None:
        self.place, self.batch, self.again = place, batch, again
        self.data, self.next_id = b"", 0
        self.open: dict[int, tuple[Request, Any, bytes]] = {}
        self.up = self.bidden = self.writing = False

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        chance = self.place.chance
        if self.batch:
            for _ in range(self.batch):
                self.ask()
        else:
            self.tick()
            if chance.random() < self.place.reset_share:
                self.place.reactor.callLater(chance.uniform(0.1, 2.0), self.reset)

    def tick(self) -> None:
        if not self.up or self.bidden:
            return
        if self.place.asking() and len(self.open) < OPEN_MOST and not self.writing:
            self.ask()
        self.place.reactor.callLater(self.place.chance.expovariate(self.place.pace), self.tick)

    def ask(self) -> None:
        request, doc, window = self.place.request()
        self.send(request, doc)
        if request.key and self.place.chance.random() < KEY_REPEATED:
            later = self.place.chance.uniform(0, min(KEY_REPEATED_WITHIN, window / 2))
            self.place.reactor.callLater(later, self.repeat, request, doc)

    def repeat(self, request: Request, doc: bytes) -> None:
        """The same key once more, within the time in which it is remembered."""
        if not self.up or self.bidden or self.writing or len(self.open) >= OPEN_MOST:
            return
        ref = f"{self.place.chance.getrandbits(64):016x}"
        again = Request(ref, request.instance, request.entry, request.key, time.time(), request.wait)
        self.send(again, doc, resent=True)

    def send(self, request: Request, doc: bytes, resent: bool = False) -> None:
        """Writes the request; it counts from its last byte on."""
        self.next_id += 1
        message = frame(orjson.dumps(_message(self.next_id, request, doc, resent)))
        draw = self.place.chance.random()
        hurried = request.wait < SLOWLY_FROM or self.batch or self.writing
        if hurried or draw < 0.9:
            self.transport.write(message)
            self.written(self.next_id, request, doc)
        elif draw < 0.95:
            cut = self.place.chance.randrange(1, len(message))
            self.transport.write(message[:cut])
            self.transport.write(message[cut:])
            self.written(self.next_id, request, doc)
        else:
            self.writing = True
            self.write_slowly(message, self.next_id, request, doc)

    def write_slowly(self, message: bytes, number: int, request: Request, doc: bytes) -> None:
        if not self.up:
            return
        piece = max(1, len(message) // 3)
        self.transport.write(message[:piece])
        if len(message) > piece:
            self.place.reactor.callLater(SLOW_PIECE, self.write_slowly, message[piece:], number, request, doc)
            return
        self.writing = False
        self.written(number, request, doc)

    def written(self, number: int, request: Request, doc: bytes) -> None:
        """Its time runs from when it was begun to be written, as `s` tells."""
        self.place.record.add_sent(request)
        left = request.due + SLACK_S - time.time()
        timer = self.place.reactor.callLater(max(0.0, left), self.due, number)
        self.open[number] = request, timer, doc

    def due(self, number: int) -> None:
        request, _, _ = self.open.pop(number)
        self.place.over(request.ref)
        self.place.record.add_timeout(request)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            length = int(self.data[:end].split(b":")[1])
            if len(self.data) < end + 4 + length:
                return
            message = orjson.loads(self.data[end + 4 : end + 4 + length])
            self.data = self.data[end + 4 + length :]
            self.take(message)

    def take(self, message: dict[str, Any]) -> None:
        if message.get("method") == "farewell":
            self.bidden = True
            self.place.record.counts["farewells"] += 1
            return
        found = self.open.pop(message.get("id", 0), None)
        if found is None:
            if message.get("id") is None or message["id"] > self.next_id:
                self.place.record.add_duplicate_answer(message.get("id"))
            return  # one that comes after its time was counted as late
        request, timer, _ = found
        timer.cancel()
        self.place.over(request.ref)
        how = "served" if "result" in message else "failed"
        if how == "failed" and message["error"]["code"] == REFUSED:
            how = "refused"
        self.place.record.add_answer(request, how, time.time())
        if self.batch and not self.open:
            self.transport.loseConnection()

    def reset(self) -> None:
        """The client gives up all that is open here."""
        for request, timer, _ in self.open.values():
            timer.cancel()
            self.place.over(request.ref)
        self.open.clear()
        if self.up:
            self.up = False
            self.place.record.counts["resets by clients"] += 1
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.up, now = False, time.time()
        in_order = isinstance(reason.value, ConnectionDone)
        crossed = []
        for request, timer, doc in self.open.values():
            timer.cancel()
            self.place.over(request.ref)
            if self.place.record.add_connection_end(request, now, in_order, self.bidden):
                crossed.append((request, doc))
        self.open.clear()
        for request, doc in crossed:
            request.crossed = True
            connect(self.place, partial(Resent, self.place, request, doc))
        if self.again is not None:
            self.place.reactor.callLater(CROWD_PAUSE, self.again)


class Resent(Connection):
    """A request that crossed the end of its connection, once more on a new one."""

    def __init__(self, place: Place, request: Request, doc: bytes) -> None:
        super().__init__(place, 1)
        self.request, self.doc = request, doc

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        before = self.request
        again = Request(
            f"{self.place.chance.getrandbits(64):016x}",
            before.instance,
            before.entry,
            before.key,
            time.time(),
            max(0.02, before.due - time.time()),
            crossed=True,
        )
        self.send(again, self.doc, resent=True)


class Way(ClientFactory):
    """Opens one connection; a refused one proves that nothing ran."""

    noisy = False

    def __init__(self, place: Place, make: Callable[[], Connection]) -> None:
        self.place, self.make = place, make

    def buildProtocol(self, addr: object) -> Connection:
        return self.make()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.place.record.counts["connections refused"] += 1


def connect(place: Place, make: Callable[[], Connection]) -> None:
    """Opens a connection to the place."""
    host, port = place.address
    place.reactor.connectTCP(host, port, Way(place, make), timeout=2)


def _message(number: int, request: Request, doc: bytes, resent: bool) -> dict[str, Any]:
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
