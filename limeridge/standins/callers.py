"""Fake caller stubs: well-behaved ones with configurable retry behaviour, and misbehaving ones.

It owns a stub's connections, attempts and outcomes. Its parser is independent of the instance's. It must not
read the state of an instance: it knows only the node list, what it sent and what it received.
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

MAX_OPEN_PER_CONNECTION = 32
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 4.0  # idle connections are closed after this time
HEALTH_CHECK_INTERVAL_S = 1.0
CROSSED_WINDOW_S = 0.05  # a request sent this shortly before a closing connection ended is resent at once


@dataclass(slots=True, frozen=True)
class StubOptions:
    """How a stub behaves. With a `sticky_share` of 1, a stub always picks the same node of the same list."""

    max_tries: int = 3  # per txn, the first included
    follows_advice: bool = True  # on when to return to a node, and on not trying other nodes
    sticky_share: float = 0.3  # of attempts that go to the stub's preferred node; others choose at random
    hedged_share: float = 0.0  # share of inquiry-like txns sent to two nodes at once
    pause_s: float = 0.01  # mean delay before a retry
    keeps_connections: bool = False  # leaves it to the node to close them


@dataclass(slots=True, frozen=True)
class TxnSpec:
    """A txn to be submitted. `try_timeout_ms` limits each attempt, `expiry_ms` all attempts together."""

    number: int
    product: str
    kind: str  # inquiry-like, referenced, once-only
    customer: str
    key: str
    size_kb: float
    try_timeout_ms: int
    expiry_ms: int
    doc: bytes
    effort_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Attempt:
    spec: TxnSpec
    ref: str
    node: str
    sent: float = 0.0
    id: int = 0
    connection: Connection | None = None
    finished: bool = False
    timer: Any = None
    resent: bool = False


@dataclass(slots=True, eq=False)
class ClientTxn:
    """State of a submitted txn."""

    spec: TxnSpec
    started_at: float
    attempts: int = 0
    state: str = "open"  # or settled, declined, voided, given up
    may_have_run_on: str = ""  # the only node that further attempts may go to
    ended_at: float = 0.0
    avoided_nodes: dict[str, None] = field(default_factory=dict)


class Connection(Wire):
    transport: Any

    def __init__(self, stub: Stub, node: str) -> None:
        self.stub, self.node, self.data = stub, node, b""
        self.open_attempts: dict[int, Attempt] = {}
        self.next_id = 0
        self.closing = self.is_connected = False
        self.last_used_at = 0.0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.is_connected = True
        for attempt in self.open_attempts.values():
            self.stub.send_request(self, attempt)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            length = int(self.data[:end].split(b":")[1])
            if len(self.data) < end + 4 + length:
                return
            body = self.data[end + 4 : end + 4 + length]
            self.data = self.data[end + 4 + length :]
            self.handle_message(orjson.loads(body))

    def handle_message(self, message: dict[str, Any]) -> None:
        if message.get("method") == "farewell":
            self.closing = True
            self.close_if_idle()
            return
        number = message.get("id")
        attempt = self.open_attempts.pop(number, None) if isinstance(number, int) else None
        if attempt is not None:
            self.last_used_at = self.stub.reactor.seconds()
            self.stub.handle_answer(attempt, message)
        self.close_if_idle()

    def close_if_idle(self) -> None:
        if (
            self.closing
            and not self.open_attempts
            and self.is_connected
            and not self.stub.options.keeps_connections
        ):
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_connected = False
        self.stub.handle_connection_lost(self)


class ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: object) -> Connection:
        return self.connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.connection.stub.handle_connection_refused(self.connection)


class Stub:
    """One caller stub.

    `visible_names` returns the names in the node list, `address_of` the address of a name, and `unix` the
    send time in Unix seconds for a request to a node. `on_finished` is called with the ref of each attempt
    that was answered or abandoned.
    """

    def __init__(
        self,
        reactor: Any,
        number: int,
        options: StubOptions,
        chance: random.Random,
        visible_names: Callable[[], Any],
        address_of: Callable[[str], tuple[str, int]],
        unix: Callable[[str], float],
        on_finished: Callable[[str], None],
    ) -> None:
        self.reactor, self.number, self.options, self.chance = reactor, number, options, chance
        self.visible_names, self.address_of, self.unix, self.on_finished = (
            visible_names,
            address_of,
            unix,
            on_finished,
        )
        self.connections: dict[str, list[Connection]] = {}
        self.txns: list[ClientTxn] = []
        self.backoff_until: dict[str, float] = {}  # by node, on the reactor's clock
        self.outcome_counts: dict[str, int] = {}
        self.health_checks = [0, 0]  # counts: failed, passed
        self.healthy: dict[str, bool] = {}
        self.txn_by_ref: dict[str, ClientTxn] = {}  # for open attempts

    def start(self, health_checks: bool = True) -> None:
        if health_checks:
            self.reactor.callLater(HEALTH_CHECK_INTERVAL_S * self.chance.random(), self.run_health_checks)
        self.reactor.callLater(IDLE_TIMEOUT_S, self.close_idle_connections)

    # ---- a txn

    def submit(self, spec: TxnSpec) -> ClientTxn:
        txn = ClientTxn(spec, self.reactor.seconds())
        self.txns.append(txn)
        self.start_attempt(txn)
        if spec.kind == "inquiry-like" and self.chance.random() < self.options.hedged_share:
            self.start_attempt(txn)
        return txn

    def choose_node(self, txn: ClientTxn) -> str:
        now = self.reactor.seconds()
        if txn.may_have_run_on:
            return txn.may_have_run_on  # a retry elsewhere could run the txn twice
        names = [name for name in self.visible_names() if name not in txn.avoided_nodes]
        candidates = [
            name
            for name in names
            if not self.options.follows_advice or self.backoff_until.get(name, 0.0) <= now
        ]
        candidates = [name for name in candidates if self.healthy.get(name, True)] or candidates or names
        if not candidates:
            return ""
        if self.chance.random() < self.options.sticky_share:
            return str(candidates[self.number % len(candidates)])
        return str(candidates[int(self.chance.random() * len(candidates))])

    def start_attempt(self, txn: ClientTxn) -> None:
        now, spec = self.reactor.seconds(), txn.spec
        if txn.state != "open":
            return
        left_ms = spec.expiry_ms - (now - txn.started_at) * 1_000
        if txn.attempts >= self.options.max_tries or left_ms < 20:
            self.finish_txn(txn, "given up")
            return
        node = self.choose_node(txn)
        txn.attempts += 1
        if not node:
            txn.avoided_nodes.clear()
            self.schedule_retry(txn, 0.2)
            return
        attempt = Attempt(spec, f"{self.chance.getrandbits(64):016x}", node, resent=txn.attempts > 1)
        attempt.timer = self.reactor.callLater(
            min(spec.try_timeout_ms, left_ms) / 1_000, self.handle_timeout, txn, attempt
        )
        self.assign_connection(node, txn, attempt)

    def assign_connection(self, node: str, txn: ClientTxn, attempt: Attempt) -> None:
        connection = next(
            (
                connection
                for connection in self.connections.get(node, [])
                if not connection.closing and len(connection.open_attempts) < MAX_OPEN_PER_CONNECTION
            ),
            None,
        )
        if connection is None:
            connection = Connection(self, node)
            self.connections.setdefault(node, []).append(connection)
            self.register_attempt(connection, txn, attempt)
            host, port = self.address_of(node)
            self.reactor.connectTCP(host, port, ConnectionFactory(connection), timeout=CONNECT_TIMEOUT_S)
            return
        self.register_attempt(connection, txn, attempt)
        if connection.is_connected:
            self.send_request(connection, attempt)

    def register_attempt(self, connection: Connection, txn: ClientTxn, attempt: Attempt) -> None:
        connection.next_id += 1
        attempt.id, attempt.connection = connection.next_id, connection
        connection.open_attempts[attempt.id] = attempt
        self.txn_by_ref[attempt.ref] = txn

    def send_request(self, connection: Connection, attempt: Attempt) -> None:
        spec, now = attempt.spec, self.reactor.seconds()
        attempt.sent = now
        left_ms = (attempt.timer.getTime() - now) * 1_000
        params: dict[str, object] = {
            "i": attempt.ref,
            "s": int(self.unix(attempt.node) * 1_000),
            "f": self.number,
            "d": max(1, int(left_ms)),
            "m": spec.size_kb,
            "p": 0.5,
            "doc": base64.b64encode(spec.doc).decode(),
        }
        if spec.customer:
            params["t"] = spec.customer
        if attempt.resent:
            params["r"] = 1
        if spec.effort_ms:
            params["h"] = spec.effort_ms
        if spec.key:
            params["k"] = spec.key
        self.send(connection, {"jsonrpc": "2.0", "id": attempt.id, "method": spec.product, "params": params})

    def send(self, connection: Connection, message: dict[str, object]) -> None:
        body = orjson.dumps(message)
        connection.last_used_at = self.reactor.seconds()
        connection.transport.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def finish_attempt(self, attempt: Attempt) -> bool:
        """Returns False if the attempt was finished before."""
        first, attempt.finished = not attempt.finished, True
        if first:
            if attempt.timer is not None and attempt.timer.active():
                attempt.timer.cancel()
            self.on_finished(attempt.ref)
        return first

    def handle_answer(self, attempt: Attempt, message: dict[str, Any]) -> None:
        txn = self.txn_by_ref.pop(attempt.ref, None)
        if not self.finish_attempt(attempt) or txn is None:
            return
        if "result" in message:
            self.finish_txn(txn, "settled")
            return
        code, data = message["error"]["code"], message["error"].get("data") or {}
        if code == -32008:
            self.count_outcome("declined")
            if self.options.follows_advice:
                self.backoff_until[attempt.node] = self.reactor.seconds() + data.get("w", 0) / 1_000
                if data.get("l"):
                    self.finish_txn(txn, "declined")
                    return
            txn.avoided_nodes[attempt.node] = None
            self.schedule_retry(txn, self.options.pause_s)
            return
        self.count_outcome("voided")
        self.handle_failure(txn, attempt)

    def handle_failure(self, txn: ClientTxn, attempt: Attempt) -> None:
        """Handles an attempt that may have run.

        Inquiry-like txns are retried on any node, referenced ones on the same node, once-only ones never.
        """
        if txn.spec.kind == "once-only":
            self.finish_txn(txn, "voided")
            return
        if txn.spec.kind == "referenced":
            txn.may_have_run_on = attempt.node
        self.schedule_retry(txn, self.options.pause_s)

    def schedule_retry(self, txn: ClientTxn, pause_s: float) -> None:
        self.reactor.callLater(pause_s * (0.5 + self.chance.random()), self.start_attempt, txn)

    def handle_timeout(self, txn: ClientTxn, attempt: Attempt) -> None:
        connection = attempt.connection
        if attempt.finished or connection is None:
            return
        connection.open_attempts.pop(attempt.id, None)
        if connection.is_connected:
            self.send(
                connection,
                {"jsonrpc": "2.0", "method": "revoke", "params": {"i": attempt.ref, "id": attempt.id}},
            )
        self.txn_by_ref.pop(attempt.ref, None)
        sent = attempt.sent > 0
        self.finish_attempt(attempt)
        connection.close_if_idle()
        self.count_outcome("expired")
        if sent:
            self.handle_failure(txn, attempt)
        else:
            self.schedule_retry(txn, self.options.pause_s)

    def finish_txn(self, txn: ClientTxn, state: str) -> None:
        if txn.state == "open":
            txn.state, txn.ended_at = state, self.reactor.seconds()
            self.count_outcome(state)

    def count_outcome(self, outcome: str) -> None:
        self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1

    # ---- connections

    def remove_connection(self, connection: Connection) -> list[Attempt]:
        connections = self.connections.get(connection.node, [])
        if connection in connections:
            connections.remove(connection)
        max_tries, connection.open_attempts = list(connection.open_attempts.values()), {}
        return max_tries

    def handle_connection_lost(self, connection: Connection) -> None:
        now = self.reactor.seconds()
        for attempt in self.remove_connection(connection):
            txn = self.txn_by_ref.pop(attempt.ref, None)
            if txn is None or not self.finish_attempt(attempt):
                continue
            if connection.closing and now - attempt.sent < CROSSED_WINDOW_S:
                self.schedule_retry(txn, 0.001)
            else:
                self.handle_failure(txn, attempt)

    def handle_connection_refused(self, connection: Connection) -> None:
        """Retries, avoiding this node. Without a connection, no request can have run."""
        for attempt in self.remove_connection(connection):
            txn = self.txn_by_ref.pop(attempt.ref, None)
            if txn is not None and self.finish_attempt(attempt):
                txn.avoided_nodes[attempt.node] = None
                self.count_outcome("refused")
                self.schedule_retry(txn, self.options.pause_s)

    def close_idle_connections(self) -> None:
        now = self.reactor.seconds()
        for connections in self.connections.values():
            for connection in connections:
                if (
                    connection.is_connected
                    and not connection.open_attempts
                    and now - connection.last_used_at > IDLE_TIMEOUT_S
                ):
                    connection.closing = True
                    connection.close_if_idle()
        self.reactor.callLater(IDLE_TIMEOUT_S / 2, self.close_idle_connections)

    # ---- health checks

    def run_health_checks(self) -> None:
        for name in self.visible_names():
            HealthCheck(self, name, deep=self.chance.random() < 0.3)
        self.reactor.callLater(HEALTH_CHECK_INTERVAL_S, self.run_health_checks)

    def record_health(self, node: str, good: bool) -> None:
        self.health_checks[good] += 1
        self.healthy[node] = good


class HealthCheck(ClientFactory):
    """One health check on a connection of its own."""

    noisy = False

    def __init__(self, stub: Stub, node: str, deep: bool) -> None:
        self.stub, self.node, self.deep, self.is_reported = stub, node, deep, False
        host, port = stub.address_of(node)
        stub.reactor.connectTCP(host, port, self, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, addr: object) -> HealthCheckConnection:
        return HealthCheckConnection(self)

    def report(self, good: bool) -> None:
        if not self.is_reported:
            self.is_reported = True
            self.stub.record_health(self.node, good)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.report(False)


class HealthCheckConnection(Wire):
    transport: Any

    def __init__(self, check: HealthCheck) -> None:
        self.check, self.data, self.timer = check, b"", None

    def connectionMade(self) -> None:
        params = {"x": True} if self.check.deep else {}
        body = orjson.dumps({"jsonrpc": "2.0", "id": 1, "method": "heartbeat", "params": params})
        self.transport.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        self.timer = self.check.stub.reactor.callLater(CONNECT_TIMEOUT_S, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        if self.data.endswith(b"}"):
            self.check.report(b'"ready":true' in self.data)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.check.report(False)


# ---- misbehaving callers

VALID_REQUEST = (
    b'{"jsonrpc":"2.0","id":%d,"method":"%s","params":{"i":"%s","s":%d,"f":9,"d":500,"m":10.0,"p":0.1,'
    b'"doc":"d29yaz0xMDAw"}}'
)


def frame(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class MisbehavingCaller(Wire):
    """A client that violates the protocol in one way, named by `kind`."""

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

    def valid_request(self, number: int) -> bytes:
        ref = b"%016x" % self.chance.getrandbits(64)
        return frame(VALID_REQUEST % (number, self.product, ref, int(self.unix() * 1_000)))

    def connectionMade(self) -> None:
        write, valid_request = self.transport.write, self.valid_request
        match self.kind:
            case "silent":
                return
            case "half":
                write(valid_request(1)[:-10])
            case "garbage":
                write(b"\x16\x03\x01\x02\x00" + self.chance.randbytes(200))
            case "oversize":
                write(b"Content-Length: 999999999\r\n\r\n" + b"x" * 3_000)
            case "no-length":
                write(b"Content-Type: json\r\n\r\n{}")
            case "unread":
                self.transport.pauseProducing()
                for number in range(1, 40):
                    write(valid_request(number))
            case "same-id":
                write(valid_request(7) + valid_request(7) + valid_request(8))
            case "batch":
                write(
                    frame(b"[" + VALID_REQUEST % (1, self.product, b"0" * 16, 5) + b"]")
                    + frame(b"nonsense")
                    + valid_request(3)
                )
            case "fields":
                write(
                    b"".join(
                        frame(body)
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
                    + valid_request(6)
                )
            case "revokes":
                for number in range(1, 5):
                    write(
                        valid_request(number)
                        + frame(b'{"jsonrpc":"2.0","method":"revoke","params":{"id":%d}}' % number)
                    )
                write(frame(b'{"jsonrpc":"2.0","method":"revoke","params":{"i":"ffffffffffffffff"}}'))
            case "cut-off":
                write(valid_request(1) + valid_request(2) + valid_request(3)[:50])
                self.reactor.callLater(0.005, self.transport.abortConnection)
            case "early-end":
                write(valid_request(1) + valid_request(2))
                self.reactor.callLater(0.002, self.transport.loseConnection)
            case "flood":
                for number in range(1, 60):
                    write(valid_request(number))
            case _:
                write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")

    def dataReceived(self, data: bytes) -> None:
        return


class MisbehavingCallerFactory(ClientFactory):
    noisy = False

    def __init__(self, rude: MisbehavingCaller) -> None:
        self.rude = rude

    def buildProtocol(self, addr: object) -> MisbehavingCaller:
        return self.rude
