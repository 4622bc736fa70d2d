"""A fake ledger: an HTTP/1.1 server with injectable faults. The body of a call states how long it takes.

It owns its slots, the fault rates and the count of calls in progress. It must not use any knowledge of a
caller beyond the contents of the call.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

from limeridge.standins.kernel import ledger_reply

ABANDONED_CALL_S = 0.1  # seconds for which a call still counts after its caller has disconnected


class Connection(Wire):
    transport: Any

    def __init__(self, ledger: Ledger) -> None:
        self.ledger, self.data, self.timer, self.busy = ledger, b"", None, False

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        header, found, rest = self.data.partition(b"\r\n\r\n")
        if self.busy or not found:
            return
        fields = dict(line.split(b": ", 1) for line in header.split(b"\r\n")[1:])
        length = int(fields[b"Content-Length"])
        if len(rest) < length:
            return
        self.busy = True
        self.ledger.handle_call(self, rest[:length])

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        ledger = self.ledger
        if self in ledger.active:
            del ledger.active[self]
            ledger.abandoned_calls += 1
            ledger.reactor.callLater(ABANDONED_CALL_S, ledger.end_abandoned_call)

    def reply(self, status: int, body: bytes, not_begun: bool = False) -> None:
        ledger = self.ledger
        reasons = {
            200: "OK",
            409: "Conflict",
            500: "Internal Server Error",
            503: "Service Unavailable",
            504: "Gateway Timeout",
        }
        extra_header = "Op-Not-Begun: 1\r\n" if not_begun else ""
        response = (
            f"HTTP/1.1 {status} {reasons[status]}\r\n"
            f"{extra_header}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        draw = ledger.chance.random()
        if draw < ledger.corrupted_share:
            kind = int(ledger.chance.random() * 4)
            response = (
                b"\x16\x03\x01 noise",
                response[:-1],
                b"HTTP/1.1 2x0 ??\r\n\r\n",
                response.replace(b"Content-Length", b"Content-Longth"),
            )[kind]
            self.transport.write(response)
            self.transport.loseConnection()
            return
        self.transport.write(response)
        if ledger.chance.random() < ledger.duplicated_share:
            self.transport.write(response)


class Ledger(Factory):
    """Serves up to `slots` concurrent calls at full speed; beyond that, calls slow down in proportion.

    `on_call_count` is called at the start of each call with the number of calls in progress, abandoned ones
    included.
    """

    noisy = False

    def __init__(self, reactor: Any, chance: random.Random, slots: int = 64) -> None:
        self.reactor, self.chance, self.slots = reactor, chance, slots
        self.slowdown = 1.0  # factor on the duration of each call
        self.refused_share = self.failed_share = self.lost_share = 0.0  # of calls
        self.corrupted_share = self.duplicated_share = 0.0  # of responses
        self.active: dict[Connection, None] = {}  # connections with a call in progress
        self.abandoned_calls = 0  # calls in progress whose callers have disconnected
        self.on_call_count: Callable[[int], None] = lambda _: None

    def end_abandoned_call(self) -> None:
        self.abandoned_calls -= 1

    def buildProtocol(self, addr: object) -> Connection:
        return Connection(self)

    def handle_call(self, connection: Connection, body: bytes) -> None:
        draw = self.chance.random()
        if draw < self.refused_share:
            connection.reply(503, b"", not_begun=True)
        elif self.chance.random() < self.lost_share:
            return
        else:
            self.active[connection] = None
            self.on_call_count(len(self.active) + self.abandoned_calls)
            script = dict(part.partition(b"=")[::2] for part in body.split())
            load_factor = max(1.0, len(self.active) / self.slots)
            duration_s = int(script[b"op"]) / 1e6 * self.slowdown * load_factor * (0.5 + self.chance.random())
            connection.timer = self.reactor.callLater(duration_s, self.complete_call, connection, body)

    def complete_call(self, connection: Connection, body: bytes) -> None:
        self.active.pop(connection, None)
        if self.chance.random() < self.failed_share:
            connection.reply(500 if self.chance.random() < 0.7 else 504, b"")
        else:
            connection.reply(200, ledger_reply(body))
