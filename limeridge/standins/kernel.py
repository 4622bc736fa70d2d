"""A fake kernel: simulates runs that share the cores, and replays notices when a link reconnects.

It owns the runs, their remaining work and the numbered notices. The request body describes the run
(`work=12000 calls=1 op=20000`), so the same body costs the same on every kernel. It must not read the state
of an instance.
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

MAX_KEPT_NOTICES = 4_000  # for replay after a reconnect; older ones are dropped
SPLIT = 0.5  # share of a run's work that comes before its last call


class Run:
    """One run. `work_left` is the work until its next call or its end, in microseconds on one core."""

    __slots__ = (
        "call_number",
        "calls",
        "doc",
        "handle",
        "op",
        "request_cursor",
        "state",
        "work_left",
        "work_per_part",
    )

    def __init__(self, handle: str, doc: bytes) -> None:
        script = dict(field.partition(b"=")[::2] for field in doc.split())
        self.handle, self.doc = handle, doc
        self.calls, self.op = int(script.get(b"calls", b"0")), int(script.get(b"op", b"0"))
        self.work_per_part = int(script.get(b"work", b"1000")) / (self.calls + 1)
        self.work_left = self.work_per_part
        self.state = "runs"  # or "waits" (for a call), "over"
        self.call_number = 0  # of the current call, from 1
        self.request_cursor = 0  # cursor of the IOREQ notice of the current call


def run_result(handle: str, doc: bytes) -> str:
    """The result of a run, unique to its txn."""
    return base64.b64encode(b"done " + handle.encode() + b" " + doc[:40]).decode()


def call_body(run: Run) -> bytes:
    return b"op=%d call=%d of=%s" % (run.op, run.call_number, run.handle.encode())


def ledger_reply(body: bytes) -> bytes:
    """The ledger's reply to a call with this body."""
    return b"reply to " + body


class Link(Wire):
    transport: Any

    def __init__(self, kernel: Kernel) -> None:
        self.kernel, self.data, self.is_open = kernel, b"", False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        old, self.kernel.link = self.kernel.link, self
        if old is not None:
            old.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        *lines, self.data = (self.data + data).split(b"\n")
        for line in lines:
            try:
                self.kernel.handle_command(self, orjson.loads(line))
            except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
                self.kernel.malformed_lines.append(line[:200])
                self.transport.abortConnection()
                return

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.kernel.link is self:
            self.kernel.link = None


class Kernel(Factory):
    """`is_finished` reports whether a txn was answered or abandoned; `boot_s` is the boot time in seconds.

    `cold` kernels start at a fraction of their speed and reach full speed after `ramp_s`.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        cores: int,
        chance: random.Random,
        is_finished: Callable[[str], bool],
        boot_s: float = 0.0,
        cold: bool = False,
        memory_kb: float = 4_000.0,
    ) -> None:
        self.reactor, self.cores, self.chance, self.is_finished = reactor, cores, chance, is_finished
        self.booted_at, self.cold, self.memory_kb = reactor.seconds() + boot_s, cold, memory_kb
        self.speed = 1.0  # of a core; lowered by a fault
        self.ramp_s, self.cold_speed = 10.0, 0.25
        self.duplicate_share = 0.0  # of notices, sent twice
        self.link: Link | None = None
        self.runs: dict[str, Run] = {}
        self.notices: list[bytes] = []
        self.dropped_notices = 0
        self.malformed_lines: list[bytes] = []  # input that was not a valid command
        # Called with the handle of a run that received the reply to a different call.
        self.on_wrong_reply: Callable[[str], None] = lambda handle: None
        self.running: dict[str, Run] = {}
        self.last_advanced_at = reactor.seconds()
        self.timer: Any = None

    def buildProtocol(self, addr: object) -> Link:
        return Link(self)

    # ---- the link

    def send(self, line: bytes) -> None:
        if self.link is not None and self.link.is_open:
            self.link.transport.write(line)

    def send_event(self, **fields: object) -> None:
        self.send(orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE))

    def add_notice(self, **fields: object) -> int:
        cursor = self.dropped_notices + len(self.notices) + 1
        line = orjson.dumps(fields | {"cursor": cursor}, option=orjson.OPT_APPEND_NEWLINE)
        self.notices.append(line)
        if len(self.notices) > MAX_KEPT_NOTICES:
            del self.notices[0]
            self.dropped_notices += 1
        self.send(line)
        if self.duplicate_share and self.chance.random() < self.duplicate_share:
            self.send(line)
        return cursor

    def handle_command(self, link: Link, command: dict[str, Any]) -> None:
        handle = command.get("handle", "")
        run = self.runs.get(handle)
        match command["event"]:
            case "OPEN":
                wait = self.booted_at - self.reactor.seconds()
                if wait > 0:
                    self.reactor.callLater(wait, self.open, link, command["cursor"])
                else:
                    self.open(link, command["cursor"])
            case "SCHED":
                if run is None:
                    self.start_run(handle, base64.b64decode(command["arg"]))
            case "IODONE":
                if run is None or run.state != "waits":
                    self.send_event(event="EINVAL", fate="IODONE", handle=handle)
                else:
                    if base64.b64decode(command["arg"]) != ledger_reply(call_body(run)):
                        self.on_wrong_reply(handle)
                    self.resume_run(run)
            case "NOIO":
                if run is None or run.state != "waits" or run.request_cursor != command["cursor"]:
                    self.send_event(event="EINVAL", fate="NOIO", handle=handle)
                else:
                    self.resume_run(run)
            case "SYSINFO":
                busy = min(1.0, len(self.running) / self.cores)
                memory = 100.0 * len(self.runs)
                self.send_event(
                    event="INFO",
                    ticket=command["ticket"],
                    figures=[busy, float(len(self.running)), memory, 10.0],
                )
            case "POST":
                self.send_event(event="POSTED", ticket=command["ticket"], fate="ok")
            case other:
                raise ValueError(other)

    def open(self, link: Link, cursor: int) -> None:
        if self.link is not link:
            return
        link.is_open = True
        up_ms = max(0.0, self.reactor.seconds() - self.booted_at) * 1_000
        self.send_event(
            event="BOOTED", fate="cold" if self.cold else "warm", lasted=up_ms if self.cold else 60_000.0
        )
        for line in self.notices[max(0, cursor - self.dropped_notices) :]:
            self.send(line)

    # ---- the cores

    def start_run(self, handle: str, doc: bytes) -> None:
        if self.is_finished(handle):
            self.add_notice(event="REAP", handle=handle, fate="void", lasted=0, arg="")
            return
        run = self.runs[handle] = Run(handle, doc)
        self.advance_work()
        self.running[handle] = run
        self.schedule_next_stop()

    def resume_run(self, run: Run) -> None:
        run.state, run.work_left = "runs", run.work_per_part
        self.advance_work()
        self.running[run.handle] = run
        self.schedule_next_stop()

    def speed_per_run(self) -> float:
        """Work done per microsecond for each run."""
        speed = self.speed
        if self.cold:
            speed *= min(
                1.0,
                self.cold_speed
                + (1 - self.cold_speed) * (self.reactor.seconds() - self.booted_at) / self.ramp_s,
            )
        return speed * min(1.0, self.cores / max(1, len(self.running)))

    def advance_work(self) -> None:
        """Subtracts the work done since the last call. Must be called before each change of the speed or of
        `running`."""
        now = self.reactor.seconds()
        done = (now - self.last_advanced_at) * 1e6 * self.speed_per_run()
        self.last_advanced_at = now
        for run in self.running.values():
            run.work_left -= done

    def schedule_next_stop(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if self.running:
            shortest = min(run.work_left for run in self.running.values())
            self.timer = self.reactor.callLater(
                max(0.000_01, shortest / self.speed_per_run() / 1e6), self.stop_due_runs
            )

    def stop_due_runs(self) -> None:
        self.advance_work()
        for run in [run for run in self.running.values() if run.work_left <= 5]:
            del self.running[run.handle]
            self.finish_part(run)
        self.schedule_next_stop()

    def set_speed(self, speed: float) -> None:
        self.advance_work()
        self.speed = speed
        self.schedule_next_stop()

    def finish_part(self, run: Run) -> None:
        """Makes the next call, or ends the run after its last part."""
        if run.call_number < run.calls:
            if self.is_finished(run.handle):
                self.end_run(run, "halted")
                return
            run.call_number += 1
            run.state = "waits"
            run.request_cursor = self.add_notice(
                event="IOREQ", handle=run.handle, arg=base64.b64encode(call_body(run)).decode()
            )
        else:
            self.end_run(run, "ok")

    def end_run(self, run: Run, fate: str) -> None:
        run.state = "over"
        self.add_notice(
            event="REAP",
            handle=run.handle,
            fate=fate,
            lasted=1.0,
            arg=run_result(run.handle, run.doc) if fate == "ok" else "",
        )

    def cancel_finished_txn(self, handle: str) -> None:
        """Halts the run of a txn that was answered or abandoned, if it is waiting for a call."""
        run = self.runs.get(handle)
        if run is not None and run.state == "waits":
            self.end_run(run, "halted")
