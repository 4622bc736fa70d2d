"""One instance on real loopback sockets, its reactor turned by hand: what happens between turns is forced.

Far ends are plain sockets that read and write only when a test says so, so that bytes can lie unread in
either side's buffers at the very moment at which the other side acts. Nothing here sleeps; what is awaited
has a bound.
"""

from __future__ import annotations

import os
import socket
import struct
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import orjson
from helpers import MAX_WAIT_S, SAMPLE_CONFIG, RecordingLog
from twisted.internet.epollreactor import EPollReactor

from limeridge.config import parse_setup, reading
from limeridge.net.callers import Frames, frame
from limeridge.net.service import Instance


def bound(kind: int = socket.SOCK_STREAM) -> socket.socket:
    made = socket.socket(socket.AF_INET, kind)
    made.bind(("127.0.0.1", 0))
    return made


def free_address() -> str:
    """Where a process may listen later, on a loopback address of this process's own. A free number of
    127.0.0.1 may go to a connection of any other process before it is listened on: the instance then waits
    for it, as for one that a predecessor still holds."""
    number = os.getpid()
    host = f"127.{64 + (number >> 16) % 64}.{number >> 8 & 255}.{number & 255 or 255}"
    with socket.socket() as made:
        made.bind((host, 0))
        return address(made)


def address(of: socket.socket) -> str:
    host, port = of.getsockname()[:2]
    return f"{host}:{port}"


class Far:
    """A far end: reads what is there, and knows how its stream ended."""

    def __init__(self, made: socket.socket) -> None:
        self.socket = made
        made.setblocking(False)
        self.data = b""
        self.end = ""  # "end" for the end of the stream, "reset"

    def pump(self) -> Far:
        while not self.end:
            try:
                data = self.socket.recv(65_536)
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.end = "reset"
                break
            self.data += data
            if not data:
                # A reset behind the end is seen by who looks for it alone, but it is one: with bytes still on
                # their way, it takes them along.
                late = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.end = "reset" if late else "end"
        return self

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def close(self) -> None:
        self.socket.close()


class CallerEnd(Far):
    def __init__(self, made: socket.socket) -> None:
        super().__init__(made)
        self.frames = Frames()
        self.heard: list[dict[str, Any]] = []
        self.next_id = 0

    def answers(self) -> list[dict[str, Any]]:
        """All that was heard so far, farewells among it."""
        self.pump()
        data, self.data = self.data, b""
        self.heard += [orjson.loads(body) for body in self.frames.feed(data)]
        return self.heard

    def by_id(self) -> dict[int, dict[str, Any]]:
        return {each["id"]: each for each in self.answers() if each.get("id")}

    def said_farewell(self) -> bool:
        return any(each.get("method") == "farewell" for each in self.answers())

    def ask(self, method: str = "look", **more: Any) -> str:
        """The whole message in one write; gives its ref."""
        data, ref = self.framed(method, **more)
        self.write(data)
        return ref

    def framed(self, method: str = "look", **more: Any) -> tuple[bytes, str]:
        self.next_id += 1
        ref = f"{self.socket.fileno():04x}{id(self) % 0xFFFF:04x}{self.next_id:08x}"
        params = {
            "i": ref,
            "s": int(time.time() * 1000),
            "f": 4,
            "d": 3_000,
            "m": 20.0,
            "t": "acme west",
            "p": 0.5,
            "doc": "Ym9keQ==",
        } | more
        body = {"jsonrpc": "2.0", "id": self.next_id, "method": method, "params": params}
        return frame(orjson.dumps(body)), str(params["i"])

    def check(self) -> None:
        self.next_id += 1
        self.write(frame(orjson.dumps({"jsonrpc": "2.0", "id": self.next_id, "method": "heartbeat"})))


class KernelEnd(Far):
    """The kernel's end of a link; its cursor goes on over links."""

    cursor = 0

    def commands(self, event: str = "") -> list[dict[str, Any]]:
        """What came so far, but for the gauges that are asked for."""
        self.pump()
        found = [orjson.loads(line) for line in self.data.splitlines(keepends=True) if line.endswith(b"\n")]
        return [each for each in found if each["event"] != "SYSINFO" and event in ("", each["event"])]

    def tell(self, **fields: Any) -> None:
        self.write(orjson.dumps(fields) + b"\n")

    def note(self, **fields: Any) -> None:
        self.cursor += 1
        self.tell(cursor=self.cursor, **fields)

    def done(self, ref: str, doc: str = "eA==") -> None:
        self.note(event="REAP", handle=ref, fate="ok", lasted=5, arg=doc)


class Stepped:
    def __init__(self, boot: bool = True, **changes: Any) -> None:
        self.reactor: Any = EPollReactor()
        self.reactor.seconds = time.monotonic
        self.ended: list[bool] = []
        self.reactor.stop = lambda: self.ended.append(True)
        self.kernels, self.ledgers, self.roster = bound(), bound(), bound(socket.SOCK_DGRAM)
        for made in (self.kernels, self.ledgers):
            made.listen(64)
        for made in (self.kernels, self.ledgers, self.roster):
            made.setblocking(False)
        self.file: dict[str, Any] = (
            SAMPLE_CONFIG
            | {
                "listen": free_address(),
                "kernel": address(self.kernels),
                "records": address(self.ledgers),
                "roster": address(self.roster),
            }
            | changes
        )
        self.log = RecordingLog()
        self.instance = Instance(
            parse_setup(self.file),
            self.reactor,
            self.log,  # type: ignore[arg-type]
            lambda before, now: reading("config", lambda _: [orjson.dumps(self.file)], before, now),
        )
        self.fars: list[Far] = []
        self.instance.start()
        self.kernel: Any = None
        if boot:
            self.boot()

    def turn(self, turns: int = 1) -> None:
        for _ in range(turns):
            self.reactor.iterate(0)

    def until(self, what: str, held: Callable[[], Any]) -> Any:
        end = time.monotonic() + MAX_WAIT_S
        while not (found := held()):
            assert time.monotonic() < end, f"not within {MAX_WAIT_S:g} s: {what}"
            self.reactor.iterate(0.005)
        return found

    def accepted(self, listener: socket.socket, kind: type[Far]) -> Any:
        def taken() -> Any:
            with suppress(BlockingIOError):
                return listener.accept()[0]
            return None

        far = kind(self.until("a connection of the instance", taken))
        self.fars.append(far)
        return far

    def link(self, listener: socket.socket | None = None) -> Any:
        """A link of the instance, accepted and opened; nothing is told on it yet."""
        far = self.accepted(listener or self.kernels, KernelEnd)
        self.until("the opening of a link", lambda: far.commands("OPEN"))
        return far

    def boot(self, cold: bool = False, listener: socket.socket | None = None) -> None:
        before, self.kernel = self.kernel, self.link(listener)
        self.kernel.cursor = before.cursor if before is not None else 0
        self.kernel.tell(event="BOOTED", fate="cold" if cold else "warm", lasted=60_000)
        self.until("the fence", lambda: b"fence" in self.kernel.pump().data)
        self.kernel.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
        self.until("the link to be ready", lambda: self.instance.kernel.ready)

    def caller(self) -> CallerEnd:
        host, _, port = self.file["listen"].rpartition(":")
        far = CallerEnd(socket.create_connection((host, int(port)), timeout=MAX_WAIT_S))
        self.fars.append(far)
        return far

    def standing(self) -> tuple[CallerEnd, Any]:
        """A caller whose connection was accepted, with our end of it."""
        known, far = set(self.instance.callers.connections), self.caller()
        new = self.until("the connection", lambda: set(self.instance.callers.connections) - known)
        return far, new.pop()

    def served(self, caller: CallerEnd) -> str:
        """One request through: its connection is at rest then, and is known to serve."""
        ref = caller.ask()
        self.runs(ref)
        self.kernel.done(ref)
        self.until("the answer", lambda: caller.by_id().get(caller.next_id))
        return ref

    def runs(self, ref: str) -> None:
        self.until("the run", lambda: ref in [c["handle"] for c in self.kernel.commands("SCHED")])

    def close(self) -> None:
        for loop in self.instance.loops:
            if loop.running:
                loop.stop()
        for timer in self.reactor.getDelayedCalls():
            timer.cancel()
        for each in self.reactor.removeAll():
            with suppress(Exception):
                each.connectionLost(None) if hasattr(each, "socket") else each.fileno()
        for far in self.fars:
            far.close()
        for made in (self.kernels, self.ledgers, self.roster):
            made.close()
        with suppress(Exception):
            self.reactor._poller.close()


@contextmanager
def stepped(**changes: Any) -> Iterator[Stepped]:
    """One instance, closed at the end; no defect may be in its log."""
    made = Stepped(**changes)
    try:
        yield made
        assert not [line for line in made.log.lines if line["code"] in ("exception", "reactor", "defect")]
    finally:
        made.close()
