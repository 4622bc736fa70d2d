"""A stand-in for the kernel: cores shared by its runs, notices kept for a link that comes back.

It owns the runs, their work and the notices with their numbers. A run's script stands in its body
(`work=12000 calls=1 op=20000`), so that the same body costs the same anywhere. It must never look into an
instance.
"""

from __future__ import annotations

import base64
import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

KEPT = 4_000  # notices that are kept
SPLIT = 0.5  # of a run's work that comes before its last call


class Run:
    """One run: `left` is work on one core, in microseconds, until its next stop."""

    __slots__ = ("calls", "doc", "handle", "left", "number", "op", "part", "state", "waits_for")

    def __init__(self, handle: str, doc: bytes) -> None:
        script = dict(part.partition(b"=")[::2] for part in doc.split())
        self.handle, self.doc = handle, doc
        self.calls, self.op = int(script.get(b"calls", b"0")), int(script.get(b"op", b"0"))
        self.part = int(script.get(b"work", b"1000")) / (self.calls + 1)
        self.left = self.part
        self.state = "runs"  # waits, over
        self.number = 0  # of the call that it waits for
        self.waits_for = 0  # the cursor of its notice


def result_of(handle: str, doc: bytes) -> str:
    """What a run of this txn gives: no other txn's run gives the same."""
    return base64.b64encode(b"done " + handle.encode() + b" " + doc[:40]).decode()


def call_of(run: Run) -> bytes:
    return b"op=%d call=%d of=%s" % (run.op, run.number, run.handle.encode())


def reply_of(body: bytes) -> bytes:
    """What the ledger replies to a call with this body."""
    return b"reply to " + body


class Link(Wire):
    transport: Any

    def __init__(self, kernel: Kernel) -> None:
        self.kernel, self.data, self.opened = kernel, b"", False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        old, self.kernel.link = self.kernel.link, self
        if old is not None:
            old.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        *lines, self.data = (self.data + data).split(b"\n")
        for line in lines:
            try:
                self.kernel.take(self, orjson.loads(line))
            except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
                self.kernel.broken.append(line[:200])
                self.transport.abortConnection()
                return

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.kernel.link is self:
            self.kernel.link = None


class Kernel(Factory):
    """`over` tells whether a txn was answered or given up; `boot` is how many seconds it takes to come up."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        cores: int,
        chance: random.Random,
        over: Callable[[str], bool],
        boot: float = 0.0,
        cold: bool = False,
        memory_kb: float = 4_000.0,
    ) -> None:
        self.reactor, self.cores, self.chance, self.over = reactor, cores, chance, over
        self.up_at, self.cold, self.memory_kb = reactor.seconds() + boot, cold, memory_kb
        self.speed = 1.0  # of a core, under a fault
        self.ramp, self.cold_from = 10.0, 0.25
        self.doubled = 0.0  # share of notices sent twice
        self.link: Link | None = None
        self.runs: dict[str, Run] = {}
        self.notices: list[bytes] = []
        self.dropped = 0
        self.broken: list[bytes] = []  # lines that are no commands
        self.misled: Callable[[str], None] = (
            lambda handle: None
        )  # hears of a reply to another call than the run's
        self.running: dict[str, Run] = {}
        self.moved_at = reactor.seconds()
        self.timer: Any = None

    def buildProtocol(self, addr: object) -> Link:
        return Link(self)

    # ---- the link

    def send(self, line: bytes) -> None:
        if self.link is not None and self.link.opened:
            self.link.transport.write(line)

    def tell(self, **fields: object) -> None:
        self.send(orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE))

    def note(self, **fields: object) -> int:
        cursor = self.dropped + len(self.notices) + 1
        line = orjson.dumps(fields | {"cursor": cursor}, option=orjson.OPT_APPEND_NEWLINE)
        self.notices.append(line)
        if len(self.notices) > KEPT:
            del self.notices[0]
            self.dropped += 1
        self.send(line)
        if self.doubled and self.chance.random() < self.doubled:
            self.send(line)
        return cursor

    def take(self, link: Link, command: dict[str, Any]) -> None:
        handle = command.get("handle", "")
        run = self.runs.get(handle)
        match command["event"]:
            case "OPEN":
                wait = self.up_at - self.reactor.seconds()
                if wait > 0:
                    self.reactor.callLater(wait, self.open, link, command["cursor"])
                else:
                    self.open(link, command["cursor"])
            case "SCHED":
                if run is None:
                    self.begin(handle, base64.b64decode(command["arg"]))
            case "IODONE":
                if run is None or run.state != "waits":
                    self.tell(event="EINVAL", fate="IODONE", handle=handle)
                else:
                    if base64.b64decode(command["arg"]) != reply_of(call_of(run)):
                        self.misled(handle)
                    self.go_on(run)
            case "NOIO":
                if run is None or run.state != "waits" or run.waits_for != command["cursor"]:
                    self.tell(event="EINVAL", fate="NOIO", handle=handle)
                else:
                    self.go_on(run)
            case "SYSINFO":
                busy = min(1.0, len(self.running) / self.cores)
                memory = 100.0 * len(self.runs)
                self.tell(
                    event="INFO",
                    ticket=command["ticket"],
                    figures=[busy, float(len(self.running)), memory, 10.0],
                )
            case "POST":
                self.tell(event="POSTED", ticket=command["ticket"], fate="ok")
            case other:
                raise ValueError(other)

    def open(self, link: Link, cursor: int) -> None:
        if self.link is not link:
            return
        link.opened = True
        ago = max(0.0, self.reactor.seconds() - self.up_at) * 1_000
        self.tell(event="BOOTED", fate="cold" if self.cold else "warm", lasted=ago if self.cold else 60_000.0)
        for line in self.notices[max(0, cursor - self.dropped) :]:
            self.send(line)

    # ---- the cores

    def begin(self, handle: str, doc: bytes) -> None:
        if self.over(handle):
            self.note(event="REAP", handle=handle, fate="void", lasted=0, arg="")
            return
        run = self.runs[handle] = Run(handle, doc)
        self.move()
        self.running[handle] = run
        self.arm()

    def go_on(self, run: Run) -> None:
        run.state, run.left = "runs", run.part
        self.move()
        self.running[run.handle] = run
        self.arm()

    def rate(self) -> float:
        """Work a microsecond that each run gets."""
        speed = self.speed
        if self.cold:
            speed *= min(
                1.0, self.cold_from + (1 - self.cold_from) * (self.reactor.seconds() - self.up_at) / self.ramp
            )
        return speed * min(1.0, self.cores / max(1, len(self.running)))

    def move(self) -> None:
        """Work done since the last change; called before each."""
        now = self.reactor.seconds()
        done = (now - self.moved_at) * 1e6 * self.rate()
        self.moved_at = now
        for run in self.running.values():
            run.left -= done

    def arm(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if self.running:
            least = min(run.left for run in self.running.values())
            self.timer = self.reactor.callLater(max(0.000_01, least / self.rate() / 1e6), self.look)

    def look(self) -> None:
        self.move()
        for run in [run for run in self.running.values() if run.left <= 5]:
            del self.running[run.handle]
            self.stop(run)
        self.arm()

    def set_speed(self, speed: float) -> None:
        self.move()
        self.speed = speed
        self.arm()

    def stop(self, run: Run) -> None:
        """At the end of a part: a call, or the end."""
        if run.number < run.calls:
            if self.over(run.handle):
                self.end(run, "halted")
                return
            run.number += 1
            run.state = "waits"
            run.waits_for = self.note(
                event="IOREQ", handle=run.handle, arg=base64.b64encode(call_of(run)).decode()
            )
        else:
            self.end(run, "ok")

    def end(self, run: Run, fate: str) -> None:
        run.state = "over"
        self.note(
            event="REAP",
            handle=run.handle,
            fate=fate,
            lasted=1.0,
            arg=result_of(run.handle, run.doc) if fate == "ok" else "",
        )

    def ended_outside(self, handle: str) -> None:
        """Its txn was answered or given up: a run that waits for a call ends there."""
        run = self.runs.get(handle)
        if run is not None and run.state == "waits":
            self.end(run, "halted")
