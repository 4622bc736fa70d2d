"""Stand-ins for the second review: kernel, records service, roster and client stubs, and the program.

All of them follow the protocol page and behave soundly unless a case tells them otherwise. The program is
started by the line `run` of the deploy file as a process of its own; the stand-ins share one event loop. Only
the standard library is used, and every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 10, 2  # run.sh gives 1 for BROKEN: Python ends with 1 on an error
REFUSED_CODE = -32008
MAX_OPEN = 32  # requests on one connection
READY_WITHIN_S = 15.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.time()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def line(self, what: str, **fields: object) -> None:
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.time() - self.started:9.4f} {what} {words}\n")
        self.file.flush()


class Try:
    """One try of a request, as a client stub sends it. Times are Unix seconds."""

    def __init__(self, entry: str, body: bytes, wait_ms: int, key: str = "", resent: bool = False) -> None:
        self.ref = f"{random.getrandbits(64):016x}"
        self.entry, self.body, self.wait_ms, self.key, self.resent = entry, body, wait_ms, key, resent
        self.arrived = self.due = 0.0
        self.answers: list[tuple[float, str, str]] = []  # when, kind, text
        self.starts: list[float] = []  # of its runs, at the kernel
        self.result = ""  # of its run
        self.end = ""  # how its connection ended before an answer
        self.ended_at = 0.0
        self.revoked = False
        self.settled = asyncio.Event()  # it has an answer, or its connection ended

    @property
    def over(self) -> bool:
        return bool(self.answers) or bool(self.end) or self.revoked

    @property
    def kind(self) -> str:
        return self.answers[0][1] if self.answers else "none"


class Run:
    """One run at the kernel. Its call, if it makes one, waits for `reply`."""

    def __init__(self, attempt: Try) -> None:
        self.attempt = attempt
        self.cursor = 0
        self.state = "runs"  # or calls, over
        self.reply: asyncio.Future[bytes | None] | None = None


class Kernel:
    """Runs what it is told to. `play` says how a run goes: it may await `work` and `call` and returns whether
    the run succeeds; it is replaced by a case."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.notices: list[bytes] = []
        self.runs: dict[str, Run] = {}
        self.writer: asyncio.StreamWriter | None = None
        self.opened = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.play: Callable[[Run], Awaitable[bool]] = self.short_run

    async def short_run(self, run: Run) -> bool:
        await asyncio.sleep(0.02)
        return True

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        old, self.writer, self.opened = self.writer, writer, False
        if old is not None:
            old.close()
        with suppress(ConnectionError, ValueError):
            while (line := await reader.readline()).endswith(b"\n") and self.writer is writer:
                self.take(json.loads(line))
        if self.writer is writer:
            self.writer = None
        writer.close()

    def send(self, line: bytes) -> None:
        if self.writer is not None and self.opened:
            self.writer.write(line)

    def tell(self, **fields: object) -> None:
        self.send(json.dumps(fields).encode() + b"\n")

    def notice(self, **fields: object) -> int:
        cursor = len(self.notices) + 1
        line = json.dumps(fields | {"cursor": cursor}).encode() + b"\n"
        self.notices.append(line)
        self.send(line)
        return cursor

    def take(self, command: dict[str, Any]) -> None:
        handle = str(command.get("handle", ""))
        run = self.runs.get(handle)
        match command["event"]:
            case "OPEN":
                self.opened = True
                self.tell(event="BOOTED", fate="warm", lasted=60_000)
                for line in self.notices[command["cursor"] :]:
                    self.send(line)
            case "SYSINFO":
                busy = sum(each.state == "runs" for each in self.runs.values())
                figures = [min(1.0, busy / self.stage.cores), busy, 0.1, 10]
                self.tell(event="INFO", ticket=command["ticket"], figures=figures)
            case "POST":
                self.tell(event="POSTED", ticket=command["ticket"], fate="ok")
            case "SCHED" if run is None:
                self.start(handle, command)
            case "IODONE" | "NOIO" if run is not None and run.reply is not None:
                fits = command["event"] == "IODONE" or command["cursor"] == run.cursor
                if run.state == "calls" and fits and not run.reply.done():
                    run.reply.set_result(base64.b64decode(command.get("arg", "")))

    def start(self, handle: str, command: dict[str, Any]) -> None:
        attempt = self.stage.tries.get(handle)
        known = attempt is not None and attempt.entry == command["entry"]
        if attempt is None or not known or base64.b64decode(command["arg"]) != attempt.body:
            self.tell(event="EINVAL", fate="SCHED", handle=handle)
            return
        run = self.runs[handle] = Run(attempt)
        if attempt.over:
            run.state = "over"
            self.notice(event="REAP", handle=handle, fate="void", lasted=0, arg="")
            return
        attempt.starts.append(time.time())
        self.stage.record.line("run", ref=handle, key=attempt.key or "-")
        task = asyncio.ensure_future(self.carry_out(run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def carry_out(self, run: Run) -> None:
        begun = time.time()
        try:
            fate = "ok" if await self.play(run) else "failed"
        except HaltedError:
            fate = "halted"
        run.state, attempt = "over", run.attempt
        if fate == "ok":
            attempt.result = base64.b64encode(f"result of {attempt.ref}".encode()).decode()
        self.stage.record.line("run-end", ref=attempt.ref, fate=fate)
        lasted = int(1_000 * (time.time() - begun))
        self.notice(event="REAP", handle=attempt.ref, fate=fate, lasted=lasted, arg=attempt.result)

    async def call(self, run: Run) -> None:
        """Makes the run's call; raises HaltedError if the request is over before the reply comes."""
        if run.attempt.over:
            raise HaltedError
        run.state, run.reply = "calls", asyncio.get_running_loop().create_future()
        run.cursor = len(self.notices) + 1
        body = base64.b64encode(f"call of {run.attempt.ref}".encode()).decode()
        self.notice(event="IOREQ", handle=run.attempt.ref, arg=body)
        while not run.reply.done():
            if run.attempt.over:
                raise HaltedError
            await asyncio.wait([run.reply], timeout=0.01)
        run.state = "runs"


class HaltedError(Exception):
    """The request of a run at a call is over."""


class Records:
    """The records service: each call takes `call_s`. While `down`, nothing listens at its address."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.call_s = stage, 0.02
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            body = await reader.readexactly(int(fields["Content-Length"]))
            run = self.stage.kernel.runs.get(fields["Op-Of"])
            if run is None or run.state != "calls":
                writer.write(b"HTTP/1.1 409 Conflict\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n")
            else:
                self.stage.record.line("call", of=fields["Op-Of"])
                await asyncio.sleep(self.call_s)
                reply = b"reply to " + body
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(reply), reply))
            await writer.drain()
        writer.close()


class Connection(asyncio.Protocol):
    """One connection of a client stub. What came before a reset is read before the reset counts."""

    def __init__(self, stage: Stage, number: int) -> None:
        self.stage, self.number = stage, number
        self.open: dict[int, Try] = {}
        self.last_id = self.answered = 0
        self.farewell = False
        self.closed_at = 0.0
        self.data = b""
        self.transport: Any = None

    @property
    def usable(self) -> bool:
        return not self.closed_at and not self.farewell and len(self.open) < MAX_OPEN

    async def connect(self) -> Connection:
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self, "127.0.0.1", self.stage.port)
        return self

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            size = end + 4 + int(self.data[:end].split(b":")[1])
            if len(self.data) < size:
                return
            body, self.data = self.data[end + 4 : size], self.data[size:]
            self.take(json.loads(body))

    def connection_lost(self, error: Exception | None) -> None:
        end = "closed" if error is None else "reset"
        self.closed_at = time.time()
        self.stage.record.line("connection-end", conn=self.number, how=end, open=len(self.open))
        for attempt in self.open.values():
            attempt.end, attempt.ended_at = end, self.closed_at
            attempt.settled.set()
        self.open.clear()

    def take(self, message: dict[str, Any]) -> None:
        if message.get("method") == "farewell":
            self.farewell = True
            self.stage.record.line("farewell", conn=self.number)
        elif (attempt := self.open.pop(message.get("id") or 0, None)) is not None:
            error = message.get("error")
            kind = "served" if error is None else "refused" if error["code"] == REFUSED_CODE else "failed"
            text = message["result"]["doc"] if error is None else error["message"]
            attempt.answers.append((time.time(), kind, text))
            attempt.settled.set()
            self.answered += 1
            self.stage.record.line("answer", ref=attempt.ref, key=attempt.key or "-", kind=kind)
        if self.farewell and not self.open:
            self.transport.close()

    def send(self, attempt: Try) -> None:
        self.last_id += 1
        attempt.arrived = int(time.time() * 1_000) / 1_000
        attempt.due = attempt.arrived + attempt.wait_ms / 1_000
        params: dict[str, Any] = {
            "i": attempt.ref,
            "s": round(attempt.arrived * 1_000),
            "f": 1,
            "d": attempt.wait_ms,
            "m": 20.0,
            "p": 0.5,
            "doc": base64.b64encode(attempt.body).decode(),
        }
        if attempt.key:
            params["k"] = attempt.key
        if attempt.resent:
            params["r"] = 1
        self.open[self.last_id] = self.stage.tries[attempt.ref] = attempt
        self.stage.record.line(
            "send", ref=attempt.ref, key=attempt.key or "-", conn=self.number, wait_ms=attempt.wait_ms
        )
        self.write({"jsonrpc": "2.0", "id": self.last_id, "method": attempt.entry, "params": params})

    def revoke(self, attempt: Try) -> None:
        for number, each in list(self.open.items()):
            if each is attempt:
                del self.open[number]
                attempt.revoked = True
                self.stage.record.line("revoke", ref=attempt.ref)
                params = {"id": number, "i": attempt.ref}
                self.write({"jsonrpc": "2.0", "method": "revoke", "params": params})

    def write(self, message: dict[str, Any]) -> None:
        body = json.dumps(message).encode()
        self.transport.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))


class Stage:
    """The platform of one service instance, and the instance itself."""

    def __init__(
        self, folder: Path, classes: list[dict[str, Any]], cores: int = 4, record: Record | None = None
    ) -> None:
        self.record, self.classes, self.cores = record or Record(folder), classes, cores
        self.tries: dict[str, Try] = {}
        self.kernel, self.records = Kernel(self), Records(self)
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.program: Any = None
        self.port = 0
        self.connections = 0
        self.stop_ms = 3_200
        # Of `familyInfo` and `guarantees`, in place of the usual ones.
        self.settings: dict[str, Any] = {}
        self.guarantees: dict[str, int | float] = {}
        self.roster = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.roster.bind(("127.0.0.1", 0))

    async def open(self) -> None:
        """Starts the stand-ins and the program, and waits until a health check is good."""
        kernel = await asyncio.start_server(self.kernel.accept, "127.0.0.1", 0, limit=1 << 20)
        await self.records.listen()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        configuration = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "kernel": f"127.0.0.1:{kernel.sockets[0].getsockname()[1]}",
            "records": f"127.0.0.1:{self.records.port}",
            "roster": f"127.0.0.1:{self.roster.getsockname()[1]}",
            "seed": f"{random.getrandbits(63):016x}",
            "stop_ms": self.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": self.service_settings(),
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(configuration))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.folder / "log").open("wb")
        self.program = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )
        deadline = time.time() + READY_WITHIN_S
        while not await self.is_ready():
            if time.time() > deadline or self.program.returncode is not None:
                raise CannotRunError("the program does not become ready")
            await asyncio.sleep(0.05)

    def service_settings(self) -> dict[str, Any]:
        info = {
            "cpus": self.cores,
            "classCalls": [True] * len(self.classes),
            "classSkipWorth": [0.0] * len(self.classes),
            "callsOut": 8.0,
            "callsOver": 5_000_000,
            "linger": 200_000,
            "memoryKb": 71_958.0,
            "runFactor": 4.0,
            "kbPerKey": 16.0,
            "passesDeadline": True,
            "preemption": "none",
            "say": "none",
            "callers": 3,
            "idle": 30_000_000,
            "justStarted": False,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        }
        return {
            "classes": self.classes,
            "familyInfo": info | self.settings,
            "guarantees": {
                "answerSlack": 80_000,
                "coldFrom": 0.22,
                "drainGrace": 2_500_000,
                "fall": 3_000_000,
                "overloadFactor": 5.0,
                "rampTime": 15_000_000,
            }
            | self.guarantees,
            "ceilings": {"retryAfter": True, "maxRetryAfter": 1_000_000},
            "clients": {"marksRetry": True},
            "groupSize": 3,
            "round": 5_000,
        }

    async def is_ready(self) -> bool:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "heartbeat", "params": {}}).encode()
            writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            answer = json.loads(await reader.readexactly(int(head.split(b":")[1])))
            writer.close()
            return bool(answer.get("result", {}).get("ready"))
        return False

    async def connect(self) -> Connection:
        self.connections += 1
        return await Connection(self, self.connections).connect()

    async def stall(self, seconds: float) -> None:
        """Stops the program for a while, in which no client writes. Without trouble it just waits."""
        self.record.line("stall" if TROUBLE else "no-stall", seconds=seconds)
        if TROUBLE:
            self.program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if TROUBLE:
            self.program.send_signal(signal.SIGCONT)

    async def close(self) -> None:
        if self.program is not None and self.program.returncode is None:
            self.program.send_signal(signal.SIGCONT)
            self.program.kill()
            await self.program.wait()
        self.roster.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case: Callable[[Path], Awaitable[list[str]]], folder: Path, limit_s: float = 110.0) -> int:
    """Plays a case, which returns the breaks of its rule that it saw, and returns the exit code."""

    async def bounded() -> list[str]:
        return await asyncio.wait_for(case(folder), limit_s)

    try:
        breaks = asyncio.run(bounded())
    except Exception as error:
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        return NOT_RUN
    for line in breaks:
        print(line)
    print(f"{len(breaks)} breaks of the rule, trouble {'on' if TROUBLE else 'off'}")
    return BROKEN if breaks else HELD
