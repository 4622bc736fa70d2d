"""A stand-in for the ledger: HTTP/1.1 calls, each taking as long as its body says, and the troubles of one.

It owns its slots, its scripts of trouble, and the count of calls in its hands. It must never know whose call
is whose beyond what the call says.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

from limeridge.standins.kernel import ledger_reply

LINGER = 0.1  # seconds that it goes on with a call whose caller is gone


class Line(Wire):
    transport: Any

    def __init__(self, ledger: Ledger) -> None:
        self.ledger, self.data, self.timer, self.busy = ledger, b"", None, False

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        head, found, rest = self.data.partition(b"\r\n\r\n")
        if self.busy or not found:
            return
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        length = int(fields[b"Content-Length"])
        if len(rest) < length:
            return
        self.busy = True
        self.ledger.take(self, rest[:length])

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        ledger = self.ledger
        if self in ledger.lines:
            del ledger.lines[self]
            ledger.left += 1
            ledger.reactor.callLater(LINGER, ledger.let_go)

    def reply(self, status: int, body: bytes, not_begun: bool = False) -> None:
        ledger = self.ledger
        words = {
            200: "OK",
            409: "Conflict",
            500: "Internal Server Error",
            503: "Service Unavailable",
            504: "Gateway Timeout",
        }
        mark = "Op-Not-Begun: 1\r\n" if not_begun else ""
        text = (
            f"HTTP/1.1 {status} {words[status]}\r\n{mark}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        draw = ledger.chance.random()
        if draw < ledger.spoils:
            kind = int(ledger.chance.random() * 4)
            text = (
                b"\x16\x03\x01 noise",
                text[:-1],
                b"HTTP/1.1 2x0 ??\r\n\r\n",
                text.replace(b"Content-Length", b"Content-Longth"),
            )[kind]
            self.transport.write(text)
            self.transport.loseConnection()
            return
        self.transport.write(text)
        if ledger.chance.random() < ledger.doubles:
            self.transport.write(text)


class Ledger(Factory):
    """`slots` calls at once at full speed; more of them share it. `told` hears at each call how many are in
    its hands."""

    noisy = False

    def __init__(self, reactor: Any, chance: random.Random, slots: int = 64) -> None:
        self.reactor, self.chance, self.slots = reactor, chance, slots
        self.slow = 1.0  # times as long
        self.refuses = self.fails = self.loses = self.spoils = self.doubles = 0.0  # shares of calls
        self.lines: dict[Line, None] = {}
        self.left = 0  # of calls whose callers have gone
        self.told: Callable[[int], None] = lambda _: None

    def let_go(self) -> None:
        self.left -= 1

    def buildProtocol(self, addr: object) -> Line:
        return Line(self)

    def take(self, line: Line, body: bytes) -> None:
        chance = self.chance.random()
        if chance < self.refuses:
            line.reply(503, b"", not_begun=True)
        elif self.chance.random() < self.loses:
            return
        else:
            self.lines[line] = None
            self.told(len(self.lines) + self.left)
            script = dict(part.partition(b"=")[::2] for part in body.split())
            crowd = max(1.0, len(self.lines) / self.slots)
            took = int(script[b"op"]) / 1e6 * self.slow * crowd * (0.5 + self.chance.random())
            line.timer = self.reactor.callLater(took, self.done, line, body)

    def done(self, line: Line, body: bytes) -> None:
        self.lines.pop(line, None)
        if self.chance.random() < self.fails:
            line.reply(500 if self.chance.random() < 0.7 else 504, b"")
        else:
            line.reply(200, ledger_reply(body))
