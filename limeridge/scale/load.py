"""`python -m limeridge.scale.load`: an open-loop generator of requests, in a process of its own.

All send times are drawn before the first request is sent, from a seed. A request is sent at its time whether
or not earlier ones are answered, and its latency counts from the time at which it was to be sent: a server
that stalls shows in the latency of all requests that were due meanwhile. How late the generator itself sends
is reported with the rest, so that a reading of a machine that is too busy can be dropped.

The order comes as a line of JSON on standard input. The generator opens its connections, prints when it will
begin, and prints the outcome when the last request is answered or given up.
"""

from __future__ import annotations

import base64
import gc
import random
import select
import socket
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

import msgspec
import orjson
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from limeridge.net.callers import FrameParser, encode_frame
from limeridge.net.kernel import LineParser

CONNECT_TIMEOUT = 5.0  # seconds
BEGIN_AFTER = 0.1  # seconds between the opening of the connections and the first send time
LINGER = 5.0  # seconds for the last answers
PAIR_GAP = 0.02  # seconds between the two requests of a pair
WORK = (500, 3_000)  # microseconds of one core that a request takes below the instance
LATE = 0.001  # seconds: a request sent later than this after its time is late
LATE_SHARE = 0.01  # of all requests that may be late
LATEST = 0.01  # seconds that none may be late
LONGEST_RECORDED = 120_000_000  # microseconds
DIGITS = 3  # significant ones kept by the histogram
RECEIVED = 65_536  # bytes read at once
NO_OLD_NOTICES = 1_000_000_000  # a cursor ahead of all notices: none of earlier windows are repeated
CLASSES = ("look", "book")


# ---- what is sent when


@dataclass(frozen=True, slots=True)
class Request:
    """One request as drawn ahead. Times are seconds from the start."""

    number: int
    through_at: float  # when it is sent to the instance
    direct_at: float  # when the same one is sent straight to the kernel
    work: int  # microseconds
    tenant: int


def draw_requests(rate: float, seconds: float, tenants: int, seed: int) -> list[Request]:
    """Arrivals at random (exponential gaps). Which request of a pair comes first is drawn too."""
    chance = random.Random(seed)
    requests: list[Request] = []
    at = chance.expovariate(rate)
    while at < seconds:
        first = chance.random() < 0.5
        requests.append(
            Request(
                number=len(requests) + 1,
                through_at=at if first else at + PAIR_GAP,
                direct_at=at + PAIR_GAP if first else at,
                work=chance.randrange(*WORK),
                tenant=chance.randrange(tenants),
            )
        )
        at += chance.expovariate(rate)
    return requests


# ---- the order and its outcome, between processes


class LoadOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the generator is to do. Without a kernel's port nothing is sent straight to one."""

    host: str
    instance_port: int
    rate: float
    seconds: float
    seed: int
    connections: int
    tenants: tuple[str, ...]
    kernel_port: int | None = None
    window: int = 0  # tells the requests of one order from those of others
    heartbeats: bool = False  # evenly spaced health checks in place of requests


class Begin(msgspec.Struct, frozen=True):
    """When the generator's time 0 is, on the machine's monotonic clock in seconds."""

    at: float


class Outcome(msgspec.Struct, frozen=True):
    """Latencies by number of the request, in seconds from the intended send times."""

    due: dict[int, float]  # seconds from the start at which a request was to be sent to the instance
    through: dict[int, float]
    direct: dict[int, float]
    lateness: tuple[float, ...]  # of all sends, in seconds
    refused: int = 0  # answered with an error
    unanswered: int = 0
    bytes_out: int = 0  # sent to the instance, requests alone


# ---- quantiles


class Quantiles(msgspec.Struct, frozen=True):
    """Seconds."""

    count: int
    p50: float
    p99: float
    p999: float
    longest: float


def quantiles(latencies: Sequence[float]) -> Quantiles:
    """By a histogram of three significant digits in microseconds; what is below one counts as one."""
    histogram = HdrHistogram(1, LONGEST_RECORDED, DIGITS)
    for latency in latencies:
        histogram.record_value(min(LONGEST_RECORDED, max(1, round(1e6 * latency))))
    p50, p99, p999 = (histogram.get_value_at_percentile(percentile) / 1e6 for percentile in (50, 99, 99.9))
    return Quantiles(len(latencies), p50, p99, p999, longest=max(latencies, default=0.0))


def added(through: Mapping[int, float], direct: Mapping[int, float]) -> dict[int, float]:
    """What the instance adds to each request that was answered both ways; nothing is added below zero."""
    return {number: max(0.0, through[number] - direct[number]) for number in through if number in direct}


def too_late(lateness: Sequence[float]) -> bool:
    """Whether the generator itself was too late for its latencies to count: the machine is too busy."""
    late = sum(each > LATE for each in lateness)
    return late > LATE_SHARE * len(lateness) or max(lateness, default=0.0) > LATEST


# ---- connections


@dataclass(frozen=True, slots=True)
class Answered:
    """The answer to one request; `well` where it was served."""

    number: int
    well: bool


class Protocols(Protocol):
    """How one far end is spoken to."""

    def greeting(self) -> bytes: ...
    def message(self, request: Request) -> bytes: ...
    def answers(self, data: bytes) -> Iterator[Answered]: ...


class FramedJsonRpc:
    """A caller of the instance, as `limeridge/net/callers.py` describes it."""

    def __init__(self, tenants: Sequence[str], window: int) -> None:
        self.tenants, self.window, self.frames = tenants, window, FrameParser()

    def greeting(self) -> bytes:
        """A health check: a connection that has sent nothing may lose its place to a newcomer."""
        return encode_frame(b'{"jsonrpc":"2.0","id":1,"method":"heartbeat"}')

    def message(self, request: Request) -> bytes:
        params: dict[str, object] = {
            "i": handle_of(request, self.window),
            "s": int(time.time() * 1_000),
            "f": request.number % 50,
            "d": 4_000,
            "m": 2.0,
            "p": 0.5,
            "t": self.tenants[request.tenant],
            "doc": doc_of(request),
        }
        method = CLASSES[request.number % len(CLASSES)]
        if method == "book":
            params["k"] = f"key-{self.window}-{request.number}"
        body = {"jsonrpc": "2.0", "id": request.number + 1, "method": method, "params": params}
        return encode_frame(orjson.dumps(body))

    def answers(self, data: bytes) -> Iterator[Answered]:
        """Number 0 answers the greeting; a farewell answers nothing."""
        for body in self.frames.feed(data):
            message = orjson.loads(body)
            if isinstance(number := message.get("id"), int):
                yield Answered(number - 1, "result" in message)


class Heartbeats(FramedJsonRpc):
    """A caller that sends health checks alone: each is answered in the reactor's turn that reads it."""

    def message(self, request: Request) -> bytes:
        return encode_frame(b'{"jsonrpc":"2.0","id":%d,"method":"heartbeat"}' % (request.number + 1))


class KernelLines:
    """The same requests in the kernel's protocol, as `limeridge/net/kernel.py` describes it."""

    def __init__(self, window: int) -> None:
        self.window, self.lines = window, LineParser()

    def greeting(self) -> bytes:
        return self._line(event="OPEN", cursor=NO_OLD_NOTICES)

    def message(self, request: Request) -> bytes:
        entry = CLASSES[request.number % len(CLASSES)]
        return self._line(
            event="SCHED", handle=handle_of(request, self.window), entry=entry, arg=doc_of(request)
        )

    def answers(self, data: bytes) -> Iterator[Answered]:
        """Number 0 answers the greeting."""
        for line in self.lines.feed(data):
            told = orjson.loads(line)
            if told["event"] == "BOOTED":
                yield Answered(0, True)
            elif told["event"] == "REAP":
                yield Answered(int(told["handle"][8:], 16), told["fate"] == "ok")

    def _line(self, **fields: object) -> bytes:
        return orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE)


def handle_of(request: Request, window: int) -> str:
    """16 hex digits, unlike those of other windows."""
    return f"{window:08x}{request.number:08x}"


def doc_of(request: Request) -> str:
    """What is to be run, for the kernel stand-in."""
    return base64.b64encode(b"work=%d calls=0" % request.work).decode()


class Channel:
    """One connection, with what its socket did not take yet. Raises OSError where it can't be opened."""

    def __init__(self, address: tuple[str, int], protocol: Protocols) -> None:
        self.protocol, self.unsent = protocol, b""
        self.socket = socket.create_connection(address, CONNECT_TIMEOUT)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._greet()
        self.socket.setblocking(False)

    def _greet(self) -> None:
        self.socket.sendall(self.protocol.greeting())
        while not any(answer.number == 0 for answer in self.protocol.answers(self._received())):
            pass

    def _received(self) -> bytes:
        data = self.socket.recv(RECEIVED)
        if not data:
            raise ConnectionError("the far end has closed the connection")
        return data

    def send(self, data: bytes) -> None:
        """Without waiting for a far end that does not read; what it does not take goes ahead of the next
        message. What can't be sent stays unanswered, and is counted so."""
        self.unsent += data
        with suppress(OSError):
            self.unsent = self.unsent[self.socket.send(self.unsent) :]

    def answers(self) -> list[Answered]:
        """What has come."""
        return list(self.protocol.answers(self._received()))


# ---- the loop


@dataclass(slots=True)
class Arm:
    """One way that requests take: its connections, taken in turn, and its latencies."""

    channels: list[Channel]
    latencies: dict[int, float]
    refused: int = 0
    bytes_out: int = 0

    def channel_for(self, request: Request) -> Channel:
        return self.channels[request.number % len(self.channels)]


@dataclass(frozen=True, slots=True)
class Send:
    """One request due on one arm."""

    due: float  # on the loop's clock
    arm: Arm
    request: Request


class OpenLoop:
    """Sends each request at its time and takes the answers as they come."""

    def __init__(self, sends: Sequence[Send], clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.waiting = deque(sorted(sends, key=lambda send: send.due))
        self.open: dict[tuple[int, int], Send] = {}  # by the identity of the arm and number
        self.lateness: list[float] = []
        self.arms = {id(send.arm): send.arm for send in sends}
        self.epoll = select.epoll()
        self.by_descriptor: dict[int, tuple[Arm, Channel]] = {}
        for arm in self.arms.values():
            for channel in arm.channels:
                self.epoll.register(channel.socket, select.EPOLLIN)
                self.by_descriptor[channel.socket.fileno()] = arm, channel

    def run(self, linger: float = LINGER) -> None:
        """Until all is answered, or `linger` seconds after the last one was due."""
        end = (self.waiting[-1].due if self.waiting else self.clock()) + linger
        while (self.waiting or self.open) and self.clock() < end:
            self._send_due()
            self._receive(self._pause(end))
        self.epoll.close()

    def _pause(self, end: float) -> float:
        upcoming = self.waiting[0].due if self.waiting else end
        return max(0.0, upcoming - self.clock())

    def _send_due(self) -> None:
        while self.waiting and self.waiting[0].due <= self.clock():
            send = self.waiting.popleft()
            channel, data = self._message(send)
            self.lateness.append(self.clock() - send.due)
            self.open[id(send.arm), send.request.number] = send
            send.arm.bytes_out += len(data)
            channel.send(data)

    def _message(self, send: Send) -> tuple[Channel, bytes]:
        channel = send.arm.channel_for(send.request)
        return channel, channel.protocol.message(send.request)

    def _receive(self, pause: float) -> None:
        # epoll's own time-out is in whole milliseconds: a select on its descriptor waits to the microsecond.
        ready, _, _ = select.select([self.epoll], [], [], pause)
        if not ready:
            return
        for descriptor, _ in self.epoll.poll(0):
            arm, channel = self.by_descriptor[descriptor]
            try:
                answers = channel.answers()
            except OSError:
                self.epoll.unregister(descriptor)  # what is open on it stays unanswered
                continue
            self._take(arm, answers, self.clock())

    def _take(self, arm: Arm, answers: Sequence[Answered], now: float) -> None:
        for answer in answers:
            send = self.open.pop((id(arm), answer.number), None)
            if send is None:
                continue
            if answer.well:
                arm.latencies[answer.number] = now - send.due
            else:
                arm.refused += 1


def spaced_requests(rate: float, seconds: float) -> list[Request]:
    """Evenly spaced, for health checks."""
    count = int(rate * seconds)
    return [Request(number, number / rate, number / rate, 0, 0) for number in range(1, count + 1)]


def open_arms(order: LoadOrder) -> tuple[Arm, Arm | None]:
    """The connections to the instance, and the one straight to the kernel where it is asked for."""
    kind = Heartbeats if order.heartbeats else FramedJsonRpc
    address = order.host, order.instance_port
    channels = [Channel(address, kind(order.tenants, order.window)) for _ in range(order.connections)]
    through = Arm(channels, {})
    if order.kernel_port is None:
        return through, None
    return through, Arm([Channel((order.host, order.kernel_port), KernelLines(order.window))], {})


def carry_out(order: LoadOrder, begin: Callable[[Begin], None]) -> Outcome:
    """One order from the opening of the connections to its outcome."""
    if order.heartbeats:
        requests = spaced_requests(order.rate, order.seconds)
    else:
        requests = draw_requests(order.rate, order.seconds, len(order.tenants), order.seed)
    through, direct = open_arms(order)
    start = time.monotonic() + BEGIN_AFTER
    sends = [Send(start + request.through_at, through, request) for request in requests]
    if direct is not None:
        sends += [Send(start + request.direct_at, direct, request) for request in requests]
    loop = OpenLoop(sends)
    begin(Begin(start))
    loop.run()
    return Outcome(
        due={request.number: request.through_at for request in requests},
        through=through.latencies,
        direct=direct.latencies if direct is not None else {},
        lateness=tuple(loop.lateness),
        refused=through.refused,
        unanswered=len(requests) - len(through.latencies) - through.refused,
        bytes_out=through.bytes_out,
    )


def main() -> None:
    """One order on standard input; the begin and the outcome as lines of JSON on standard output."""
    order: LoadOrder = msgspec.json.decode(sys.stdin.buffer.readline(), type=LoadOrder)
    gc.disable()  # a collection would delay what is due

    def tell(value: msgspec.Struct) -> None:
        print(msgspec.json.encode(value).decode(), flush=True)

    tell(carry_out(order, tell))


if __name__ == "__main__":
    main()
