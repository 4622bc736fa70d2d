"""Stand-ins for caller stubs, usual and bad ones, with the habits that stubs are known for.

It owns a stub's connections, its tries and what became of them. Its parser is its own, apart from the
instance's. It must never look into an instance: it knows the node list, what it sent and what came back.
"""

from __future__ import annotations

import base64
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

OPEN_MOST = 32
CONNECT = 1.0  # seconds
IDLE = 4.0  # seconds after which a connection that rests is closed
CHECK = 1.0  # seconds between health checks
CROSSED = 0.05  # seconds within which a txn that crossed a close is sent again


@dataclass(slots=True, frozen=True)
class Habit:
    """How a stub behaves. `tries` counts all tries of a txn; `sticky` of 1 starts at the head of its list."""

    tries: int = 3
    heeds: bool = True  # the advice when to come back, and not to try elsewhere
    sticky: float = 0.3
    hedges: float = 0.0  # share of inquiry-like txns sent to two nodes at once
    pause: float = 0.01  # seconds between tries
    rests: bool = False  # keeps its connections until the node ends them


@dataclass(slots=True, frozen=True)
class Want:
    """A txn as a client wants it: `patience` is for each try and `expiry` for all, in milliseconds."""

    number: int
    product: str
    kind: str  # inquiry-like, referenced, once-only
    customer: str
    key: str
    size_kb: float
    patience: int
    expiry: int
    doc: bytes
    effort: float = 0.0


@dataclass(slots=True, eq=False)
class Try:
    want: Want
    ref: str
    node: str
    sent: float = 0.0
    id: int = 0
    line: Line | None = None
    over: bool = False
    timer: Any = None
    resent: bool = False


@dataclass(slots=True, eq=False)
class Case:
    """What a stub knows of a client's txn."""

    want: Want
    begun: float
    tries: int = 0
    state: str = "open"  # settled, declined, voided, given up
    maybe_ran: str = ""  # the node where it may have run
    ended: float = 0.0
    avoid: dict[str, None] = field(default_factory=dict)


class Line(Wire):
    transport: Any

    def __init__(self, stub: Stub, node: str) -> None:
        self.stub, self.node, self.data = stub, node, b""
        self.open: dict[int, Try] = {}
        self.next_id = 0
        self.leaving = self.stands = False
        self.used = 0.0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.stands = True
        for each in self.open.values():
            self.stub.put(self, each)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            length = int(self.data[:end].split(b":")[1])
            if len(self.data) < end + 4 + length:
                return
            body = self.data[end + 4 : end + 4 + length]
            self.data = self.data[end + 4 + length :]
            self.take(orjson.loads(body))

    def take(self, message: dict[str, Any]) -> None:
        if message.get("method") == "farewell":
            self.leaving = True
            self.rest()
            return
        number = message.get("id")
        each = self.open.pop(number, None) if isinstance(number, int) else None
        if each is not None:
            self.used = self.stub.reactor.seconds()
            self.stub.answered(each, message)
        self.rest()

    def rest(self) -> None:
        if self.leaving and not self.open and self.stands and not self.stub.habit.rests:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.stands = False
        self.stub.lost(self)


class Way(ClientFactory):
    noisy = False

    def __init__(self, line: Line) -> None:
        self.line = line

    def buildProtocol(self, addr: object) -> Line:
        return self.line

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.line.stub.refused(self.line)


class Stub:
    """One caller stub. `listed` gives the names that the node list shows, `where` a name's address, `unix`
    the time that its machine stamps on a txn for that node; `over` hears of each ref that is answered or
    given up."""

    def __init__(
        self,
        reactor: Any,
        number: int,
        habit: Habit,
        chance: random.Random,
        visible_names: Callable[[], Any],
        where: Callable[[str], tuple[str, int]],
        unix: Callable[[str], float],
        over: Callable[[str], None],
    ) -> None:
        self.reactor, self.number, self.habit, self.chance = reactor, number, habit, chance
        self.visible_names, self.where, self.unix, self.over = visible_names, where, unix, over
        self.lines: dict[str, list[Line]] = {}
        self.cases: list[Case] = []
        self.away: dict[str, float] = {}  # until when a node is left alone
        self.answers: dict[str, int] = {}
        self.checks = [0, 0]  # bad, good
        self.healthy: dict[str, bool] = {}
        self.case_of: dict[str, Case] = {}  # by the ref of each try that is open

    def start(self, checks: bool = True) -> None:
        if checks:
            self.reactor.callLater(CHECK * self.chance.random(), self.check)
        self.reactor.callLater(IDLE, self.tidy)

    # ---- a txn

    def want(self, want: Want) -> Case:
        case = Case(want, self.reactor.seconds())
        self.cases.append(case)
        self.attempt(case)
        if want.kind == "inquiry-like" and self.chance.random() < self.habit.hedges:
            self.attempt(case)
        return case

    def choose(self, case: Case) -> str:
        now = self.reactor.seconds()
        if case.maybe_ran:
            return case.maybe_ran  # one that may have run goes there again and nowhere else
        names = [name for name in self.visible_names() if name not in case.avoid]
        calm = [name for name in names if not self.habit.heeds or self.away.get(name, 0.0) <= now]
        calm = [name for name in calm if self.healthy.get(name, True)] or calm or names
        if not calm:
            return ""
        if self.chance.random() < self.habit.sticky:
            return str(calm[self.number % len(calm)])
        return str(calm[int(self.chance.random() * len(calm))])

    def attempt(self, case: Case) -> None:
        now, want = self.reactor.seconds(), case.want
        if case.state != "open":
            return
        left = want.expiry - (now - case.begun) * 1_000
        if case.tries >= self.habit.tries or left < 20:
            self.finish(case, "given up")
            return
        node = self.choose(case)
        case.tries += 1
        if not node:
            case.avoid.clear()
            self.again(case, 0.2)
            return
        each = Try(want, f"{self.chance.getrandbits(64):016x}", node, resent=case.tries > 1)
        each.timer = self.reactor.callLater(min(want.patience, left) / 1_000, self.expired, case, each)
        self.line_to(node, case, each)

    def line_to(self, node: str, case: Case, each: Try) -> None:
        line = next(
            (line for line in self.lines.get(node, []) if not line.leaving and len(line.open) < OPEN_MOST),
            None,
        )
        if line is None:
            line = Line(self, node)
            self.lines.setdefault(node, []).append(line)
            self.enter(line, case, each)
            host, port = self.where(node)
            self.reactor.connectTCP(host, port, Way(line), timeout=CONNECT)
            return
        self.enter(line, case, each)
        if line.stands:
            self.put(line, each)

    def enter(self, line: Line, case: Case, each: Try) -> None:
        line.next_id += 1
        each.id, each.line = line.next_id, line
        line.open[each.id] = each
        self.case_of[each.ref] = case

    def put(self, line: Line, each: Try) -> None:
        want, now = each.want, self.reactor.seconds()
        each.sent = now
        left = (each.timer.getTime() - now) * 1_000
        params: dict[str, object] = {
            "i": each.ref,
            "s": int(self.unix(each.node) * 1_000),
            "f": self.number,
            "d": max(1, int(left)),
            "m": want.size_kb,
            "p": 0.5,
            "doc": base64.b64encode(want.doc).decode(),
        }
        if want.customer:
            params["t"] = want.customer
        if each.resent:
            params["r"] = 1
        if want.effort:
            params["h"] = want.effort
        if want.key:
            params["k"] = want.key
        self.send(line, {"jsonrpc": "2.0", "id": each.id, "method": want.product, "params": params})

    def send(self, line: Line, message: dict[str, object]) -> None:
        body = orjson.dumps(message)
        line.used = self.reactor.seconds()
        line.transport.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def end(self, each: Try) -> bool:
        """True for the first that ends it."""
        first, each.over = not each.over, True
        if first:
            if each.timer is not None and each.timer.active():
                each.timer.cancel()
            self.over(each.ref)
        return first

    def answered(self, each: Try, message: dict[str, Any]) -> None:
        case = self.case_of.pop(each.ref, None)
        if not self.end(each) or case is None:
            return
        if "result" in message:
            self.finish(case, "settled")
            return
        code, data = message["error"]["code"], message["error"].get("data") or {}
        if code == -32008:
            self.count("declined")
            if self.habit.heeds:
                self.away[each.node] = self.reactor.seconds() + data.get("w", 0) / 1_000
                if data.get("l"):
                    self.finish(case, "declined")
                    return
            case.avoid[each.node] = None
            self.again(case, self.habit.pause)
            return
        self.count("voided")
        self.failed(case, each)

    def failed(self, case: Case, each: Try) -> None:
        """It may have run: inquiry-like ones go anywhere, referenced ones back to where they were."""
        if case.want.kind == "once-only":
            self.finish(case, "voided")
            return
        if case.want.kind == "referenced":
            case.maybe_ran = each.node
        self.again(case, self.habit.pause)

    def again(self, case: Case, pause: float) -> None:
        self.reactor.callLater(pause * (0.5 + self.chance.random()), self.attempt, case)

    def expired(self, case: Case, each: Try) -> None:
        line = each.line
        if each.over or line is None:
            return
        line.open.pop(each.id, None)
        if line.stands:
            self.send(line, {"jsonrpc": "2.0", "method": "revoke", "params": {"i": each.ref, "id": each.id}})
        self.case_of.pop(each.ref, None)
        sent = each.sent > 0
        self.end(each)
        line.rest()
        self.count("expired")
        if sent:
            self.failed(case, each)
        else:
            self.again(case, self.habit.pause)

    def finish(self, case: Case, state: str) -> None:
        if case.state == "open":
            case.state, case.ended = state, self.reactor.seconds()
            self.count(state)

    def count(self, what: str) -> None:
        self.answers[what] = self.answers.get(what, 0) + 1

    # ---- connections

    def forget(self, line: Line) -> list[Try]:
        lines = self.lines.get(line.node, [])
        if line in lines:
            lines.remove(line)
        tries, line.open = list(line.open.values()), {}
        return tries

    def lost(self, line: Line) -> None:
        now = self.reactor.seconds()
        for each in self.forget(line):
            case = self.case_of.pop(each.ref, None)
            if case is None or not self.end(each):
                continue
            if line.leaving and now - each.sent < CROSSED:
                self.again(case, 0.001)
            else:
                self.failed(case, each)

    def refused(self, line: Line) -> None:
        """Nothing ran."""
        for each in self.forget(line):
            case = self.case_of.pop(each.ref, None)
            if case is not None and self.end(each):
                case.avoid[each.node] = None
                self.count("refused")
                self.again(case, self.habit.pause)

    def tidy(self) -> None:
        now = self.reactor.seconds()
        for lines in self.lines.values():
            for line in lines:
                if line.stands and not line.open and now - line.used > IDLE:
                    line.leaving = True
                    line.rest()
        self.reactor.callLater(IDLE / 2, self.tidy)

    # ---- health checks

    def check(self) -> None:
        for name in self.visible_names():
            Check(self, name, deep=self.chance.random() < 0.3)
        self.reactor.callLater(CHECK, self.check)

    def checked(self, node: str, good: bool) -> None:
        self.checks[good] += 1
        self.healthy[node] = good


class Check(ClientFactory):
    """One health check on a connection of its own."""

    noisy = False

    def __init__(self, stub: Stub, node: str, deep: bool) -> None:
        self.stub, self.node, self.deep, self.told = stub, node, deep, False
        host, port = stub.where(node)
        stub.reactor.connectTCP(host, port, self, timeout=CONNECT)

    def buildProtocol(self, addr: object) -> CheckLine:
        return CheckLine(self)

    def tell(self, good: bool) -> None:
        if not self.told:
            self.told = True
            self.stub.checked(self.node, good)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.tell(False)


class CheckLine(Wire):
    transport: Any

    def __init__(self, check: Check) -> None:
        self.check, self.data, self.timer = check, b"", None

    def connectionMade(self) -> None:
        params = {"x": True} if self.check.deep else {}
        body = orjson.dumps({"jsonrpc": "2.0", "id": 1, "method": "heartbeat", "params": params})
        self.transport.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        self.timer = self.check.stub.reactor.callLater(CONNECT, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        if self.data.endswith(b"}"):
            self.check.tell(b'"ready":true' in self.data)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.check.tell(False)


# ---- bad ones

GOOD = (
    b'{"jsonrpc":"2.0","id":%d,"method":"%s","params":{"i":"%s","s":%d,"f":9,"d":500,"m":10.0,"p":0.1,'
    b'"doc":"d29yaz0xMDAw"}}'
)


def framed(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class Rude(Wire):
    """A bad peer: `kind` is what it does."""

    transport: Any
    KINDS = (
        "silent",
        "half",
        "garbage",
        "oversize",
        "no-length",
        "unread",
        "same-id",
        "batch",
        "fields",
        "revokes",
        "cut-off",
        "early-end",
        "flood",
        "stranger",
    )

    def __init__(
        self, kind: str, reactor: Any, chance: random.Random, product: str, unix: Callable[[], float]
    ) -> None:
        self.kind, self.reactor, self.chance, self.unix = kind, reactor, chance, unix
        self.product = product.encode()

    def good(self, number: int) -> bytes:
        ref = b"%016x" % self.chance.getrandbits(64)
        return framed(GOOD % (number, self.product, ref, int(self.unix() * 1_000)))

    def connectionMade(self) -> None:
        write, ask = self.transport.write, self.good
        match self.kind:
            case "silent":
                return
            case "half":
                write(ask(1)[:-10])
            case "garbage":
                write(b"\x16\x03\x01\x02\x00" + self.chance.randbytes(200))
            case "oversize":
                write(b"Content-Length: 999999999\r\n\r\n" + b"x" * 3_000)
            case "no-length":
                write(b"Content-Type: json\r\n\r\n{}")
            case "unread":
                self.transport.pauseProducing()
                for number in range(1, 40):
                    write(ask(number))
            case "same-id":
                write(ask(7) + ask(7) + ask(8))
            case "batch":
                write(
                    framed(b"[" + GOOD % (1, self.product, b"0" * 16, 5) + b"]")
                    + framed(b"nonsense")
                    + ask(3)
                )
            case "fields":
                write(
                    b"".join(
                        framed(body)
                        for body in (
                            b'{"jsonrpc":"1.0","id":1,"method":"x"}',
                            b'{"jsonrpc":"2.0","id":2,"method":"nothing"}',
                            b'{"jsonrpc":"2.0","id":0,"method":"heartbeat"}',
                            b'{"jsonrpc":"2.0","id":3,"method":"%b","params":{"i":"xyz"}}' % self.product,
                            b'{"jsonrpc":"2.0","id":4,"method":"%b","params":[]}' % self.product,
                            b'{"jsonrpc":"2.0","id":5,"method":"%b",'
                            b'"params":{"i":"%016x","s":1,"doc":"?","m":1}}'
                            % (self.product, self.chance.getrandbits(64)),
                        )
                    )
                    + ask(6)
                )
            case "revokes":
                for number in range(1, 5):
                    write(
                        ask(number)
                        + framed(b'{"jsonrpc":"2.0","method":"revoke","params":{"id":%d}}' % number)
                    )
                write(framed(b'{"jsonrpc":"2.0","method":"revoke","params":{"i":"ffffffffffffffff"}}'))
            case "cut-off":
                write(ask(1) + ask(2) + ask(3)[:50])
                self.reactor.callLater(0.005, self.transport.abortConnection)
            case "early-end":
                write(ask(1) + ask(2))
                self.reactor.callLater(0.002, self.transport.loseConnection)
            case "flood":
                for number in range(1, 60):
                    write(ask(number))
            case _:
                write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")

    def dataReceived(self, data: bytes) -> None:
        return


class RudeWay(ClientFactory):
    noisy = False

    def __init__(self, rude: Rude) -> None:
        self.rude = rude

    def buildProtocol(self, addr: object) -> Rude:
        return self.rude
