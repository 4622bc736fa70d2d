"""One instance on real loopback sockets, with an event loop that is advanced step by step.

The remote ends are plain sockets that read and write only when a test tells them to, so that a test can leave
unread bytes in the buffers of either side at the moment when the other side acts. There are no sleeps, and
every wait is bounded.
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
from limeridge.net.callers import FrameParser, encode_frame
from limeridge.net.service import Instance


def bound_socket(socket_type: int = socket.SOCK_STREAM) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket_type)
    sock.bind(("127.0.0.1", 0))
    return sock


def free_address() -> str:
    """An address on which a process can listen later, on a loopback host of this process's own. A free port
    of 127.0.0.1 may be taken by a connection of another process before it is listened on; the instance would
    then wait for it, as for one that a predecessor still holds."""
    number = os.getpid()
    host = f"127.{64 + (number >> 16) % 64}.{number >> 8 & 255}.{number & 255 or 255}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        return address(sock)


def address(bound: socket.socket) -> str:
    host, port = bound.getsockname()[:2]
    return f"{host}:{port}"


class RemoteEnd:
    """The remote end of a connection; reads what has arrived, and records how the stream ended."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        sock.setblocking(False)
        self.data = b""
        self.end = ""  # "end" or "reset" once the stream has ended

    def read_available(self) -> RemoteEnd:
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
                # A reset right after the end of the stream shows only in SO_ERROR. It counts as a reset, as
                # it discards bytes that are still in flight.
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


class CallerEnd(RemoteEnd):
    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock)
        self.frames = FrameParser()
        self.received: list[dict[str, Any]] = []
        self.next_id = 0

    def messages(self) -> list[dict[str, Any]]:
        """All messages received so far, including farewells."""
        self.read_available()
        data, self.data = self.data, b""
        self.received += [orjson.loads(body) for body in self.frames.feed(data)]
        return self.received

    def answers_by_id(self) -> dict[int, dict[str, Any]]:
        return {each["id"]: each for each in self.messages() if each.get("id")}

    def received_farewell(self) -> bool:
        return any(each.get("method") == "farewell" for each in self.messages())

    def send_request(self, method: str = "look", **overrides: Any) -> str:
        """Sends a request in one write; returns its ref."""
        data, ref = self.encode_request(method, **overrides)
        self.write(data)
        return ref

    def encode_request(self, method: str = "look", **overrides: Any) -> tuple[bytes, str]:
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
        } | overrides
        body = {"jsonrpc": "2.0", "id": self.next_id, "method": method, "params": params}
        return encode_frame(orjson.dumps(body)), str(params["i"])

    def send_heartbeat(self) -> None:
        self.next_id += 1
        self.write(encode_frame(orjson.dumps({"jsonrpc": "2.0", "id": self.next_id, "method": "heartbeat"})))


class KernelEnd(RemoteEnd):
    """The kernel's end of a link; the cursor continues across links."""

    cursor = 0

    def commands(self, event: str = "") -> list[dict[str, Any]]:
        """The commands received so far, except requests for gauges."""
        self.read_available()
        found = [orjson.loads(line) for line in self.data.splitlines(keepends=True) if line.endswith(b"\n")]
        return [each for each in found if each["event"] != "SYSINFO" and event in ("", each["event"])]

    def send_event(self, **fields: Any) -> None:
        self.write(orjson.dumps(fields) + b"\n")

    def send_notice(self, **fields: Any) -> None:
        self.cursor += 1
        self.send_event(cursor=self.cursor, **fields)

    def finish_run(self, ref: str, doc: str = "eA==") -> None:
        self.send_notice(event="REAP", handle=ref, fate="ok", lasted=5, arg=doc)


class SteppedInstance:
    def __init__(self, boot: bool = True, **changes: Any) -> None:
        self.reactor: Any = EPollReactor()
        self.reactor.seconds = time.monotonic
        self.stopped: list[bool] = []
        self.reactor.stop = lambda: self.stopped.append(True)
        self.kernel_listener, self.ledger_listener, self.node_list_socket = (
            bound_socket(),
            bound_socket(),
            bound_socket(socket.SOCK_DGRAM),
        )
        for made in (self.kernel_listener, self.ledger_listener):
            made.listen(64)
        for made in (self.kernel_listener, self.ledger_listener, self.node_list_socket):
            made.setblocking(False)
        self.configuration: dict[str, Any] = (
            SAMPLE_CONFIG
            | {
                "listen": free_address(),
                "kernel": address(self.kernel_listener),
                "records": address(self.ledger_listener),
                "roster": address(self.node_list_socket),
            }
            | changes
        )
        self.log = RecordingLog()
        self.instance = Instance(
            parse_setup(self.configuration),
            self.reactor,
            self.log,  # type: ignore[arg-type]
            lambda before, now: reading("config", lambda _: [orjson.dumps(self.configuration)], before, now),
        )
        self.remote_ends: list[RemoteEnd] = []
        self.instance.start()
        self.kernel: Any = None
        if boot:
            self.boot()

    def iterate(self, turns: int = 1) -> None:
        for _ in range(turns):
            self.reactor.iterate(0)

    def wait_until(self, description: str, condition: Callable[[], Any]) -> Any:
        end = time.monotonic() + MAX_WAIT_S
        while not (found := condition()):
            assert time.monotonic() < end, f"not within {MAX_WAIT_S:g} s: {description}"
            self.reactor.iterate(0.005)
        return found

    def accept(self, listener: socket.socket, remote_type: type[RemoteEnd]) -> Any:
        def accept_now() -> Any:
            with suppress(BlockingIOError):
                return listener.accept()[0]
            return None

        remote = remote_type(self.wait_until("a connection of the instance", accept_now))
        self.remote_ends.append(remote)
        return remote

    def accept_link(self, listener: socket.socket | None = None) -> Any:
        """Accepts a link of the instance, and waits for its OPEN; sends nothing on it yet."""
        remote = self.accept(listener or self.kernel_listener, KernelEnd)
        self.wait_until("the opening of a link", lambda: remote.commands("OPEN"))
        return remote

    def boot(self, cold: bool = False, listener: socket.socket | None = None) -> None:
        before, self.kernel = self.kernel, self.accept_link(listener)
        self.kernel.cursor = before.cursor if before is not None else 0
        self.kernel.send_event(event="BOOTED", fate="cold" if cold else "warm", lasted=60_000)
        self.wait_until("the fence", lambda: b"fence" in self.kernel.read_available().data)
        self.kernel.send_event(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
        self.wait_until("the link to be ready", lambda: self.instance.kernel.ready)

    def connect(self) -> CallerEnd:
        host, _, port = self.configuration["listen"].rpartition(":")
        remote = CallerEnd(socket.create_connection((host, int(port)), timeout=MAX_WAIT_S))
        self.remote_ends.append(remote)
        return remote

    def connect_accepted(self) -> tuple[CallerEnd, Any]:
        """Connects a caller; returns it with the instance's end of the accepted connection."""
        known, remote = set(self.instance.callers.connections), self.connect()
        new = self.wait_until("the connection", lambda: set(self.instance.callers.connections) - known)
        return remote, new.pop()

    def serve_request(self, caller: CallerEnd) -> str:
        """Has one request served completely, so that the connection is idle afterwards."""
        ref = caller.send_request()
        self.wait_for_run(ref)
        self.kernel.finish_run(ref)
        self.wait_until("the answer", lambda: caller.answers_by_id().get(caller.next_id))
        return ref

    def wait_for_run(self, ref: str) -> None:
        self.wait_until("the run", lambda: ref in [c["handle"] for c in self.kernel.commands("SCHED")])

    def close(self) -> None:
        for loop in self.instance.loops:
            if loop.running:
                loop.stop()
        for timer in self.reactor.getDelayedCalls():
            timer.cancel()
        for each in self.reactor.removeAll():
            with suppress(Exception):
                each.connectionLost(None) if hasattr(each, "socket") else each.fileno()
        for remote in self.remote_ends:
            remote.close()
        for made in (self.kernel_listener, self.ledger_listener, self.node_list_socket):
            made.close()
        with suppress(Exception):
            self.reactor._poller.close()


class SteppedClock:
    """The clock of an instance that passes time only when a test says so, whatever the machine does."""

    def __init__(self) -> None:
        self.now = 0.0
        self.instance: SteppedInstance | None = None

    def hand_in(self, instance: SteppedInstance) -> None:
        """Replaces the instance's clock, which goes on from where it is."""
        self.instance, self.now = instance, instance.reactor.seconds()
        instance.reactor.seconds = lambda: self.now

    def step(self, seconds: float) -> None:
        """Passes time and runs one iteration of the event loop."""
        assert self.instance is not None
        self.now += seconds
        self.instance.iterate()


@contextmanager
def stepped(**changes: Any) -> Iterator[SteppedInstance]:
    """One instance, closed at the end; fails if its log has an exception or defect."""
    made = SteppedInstance(**changes)
    try:
        yield made
        assert not [line for line in made.log.lines if line["code"] in ("exception", "reactor", "defect")]
    finally:
        made.close()
