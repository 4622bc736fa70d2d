"""Stand-ins for the kernel, the records service, the roster and the client stubs; the start of an instance.

All of them run on one asyncio loop, on loopback, on the real clock. They follow kit/real/PROTOCOL.md:

- The kernel knows the requests that were written to the service instance (`World.sent`). It refuses a SCHED
  for an id, class or body of no such request (EINVAL), starts nothing for a request that is over (`void`),
  numbers its notices, and repeats those after N on a new link.
- The records service answers each call after a time, one call at a time on a connection.
- The roster takes datagrams and answers none.
- A client stub keeps at most 32 requests open on a connection, uses each id once on it, sends nothing new
  after a farewell, and closes such a connection once everything on it is answered.

`World.note` writes what was sent, answered and run into the record.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


@dataclass
class Sent:
    """One request that a client stub wrote to the service instance."""

    ref: str
    entry: str
    doc: str
    key: str
    sent_at: float
    due: float
    answered_at: float | None = None
    kind: str = ""  # served, refused, failed
    doc_back: str = ""
    gone: bool = False  # revoked, or its connection ended
    honest: bool = True
    runs: int = 0
    run_at: float = 0.0  # when the first run began
    answers: int = 0
    note: str = ""

    @property
    def over(self) -> bool:
        return self.answered_at is not None or self.gone


class World:
    """What was sent, answered and run, and the record of it."""

    def __init__(self, record: Path) -> None:
        self.start = time.time()
        self.sent: dict[str, Sent] = {}
        self.file = record.open("w", encoding="utf-8")
        self.quiet = False

    def note(self, text: str) -> None:
        self.file.write(f"{time.time() - self.start:9.4f} {text}\n")

    def say(self, text: str) -> None:
        self.note(text)
        print(f"{time.time() - self.start:7.2f} {text}", flush=True)

    def close(self) -> None:
        self.file.close()


# ---- kernel


@dataclass
class Run:
    ref: str
    parts: list[tuple[float, bytes | None]]  # seconds of work, then the body of a call or None for the end
    end: str
    place: int = 0
    state: str = "runs"  # runs, waits, over
    call_cursor: int = 0
    replies: list[bytes] = field(default_factory=list)


class Kernel:
    """`plan` gives for a request its parts and its end, `ok` or `failed`."""

    def __init__(
        self,
        world: World,
        cores: int,
        plan: Callable[[Sent], tuple[list[tuple[float, bytes | None]], str]],
        memory_kb: float = 71_958.0,
    ) -> None:
        self.world, self.cores, self.plan, self.memory_kb = world, cores, plan, memory_kb
        self.runs: dict[str, Run] = {}
        self.notices: list[bytes] = []
        self.link: asyncio.StreamWriter | None = None
        self.opened = False
        self.booted_at = time.time() - 600.0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.held = False  # keeps ends of runs back until `release`
        self.held_ends: list[Run] = []
        self.deaf = False  # reads no more commands
        self.on_command: Callable[[dict[str, Any]], None] = lambda command: None
        self.einvals = 0
        self.quiet_refs: set[str] = set()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        old, self.link, self.opened = self.link, writer, False
        if old is not None:
            old.close()
        try:
            while line := await reader.readline():
                if self.link is not writer:
                    return
                try:
                    command = json.loads(line)
                except ValueError:
                    writer.close()
                    return
                self.command(command)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            if self.link is writer:
                self.link = None
            writer.close()

    def send(self, line: bytes) -> None:
        if self.link is not None and self.opened and not self.link.is_closing():
            self.link.write(line)

    def tell(self, **fields: Any) -> None:
        self.send(json.dumps(fields).encode() + b"\n")

    def notice(self, **fields: Any) -> int:
        cursor = len(self.notices) + 1
        line = json.dumps(fields | {"cursor": cursor}).encode() + b"\n"
        self.notices.append(line)
        self.send(line)
        return cursor

    def command(self, command: dict[str, Any]) -> None:
        self.on_command(command)
        event, ref = command["event"], command.get("handle", "")
        run = self.runs.get(ref)
        if event == "OPEN":
            self.opened = True
            self.tell(event="BOOTED", fate="warm", lasted=(time.time() - self.booted_at) * 1_000)
            for line in self.notices[command["cursor"] :]:
                self.send(line)
        elif event == "SCHED":
            self.sched(command, ref, run)
        elif event == "IODONE":
            if run is None or run.state != "waits":
                self.refuse("IODONE", ref)
            else:
                run.replies.append(base64.b64decode(command["arg"]))
                self.go_on(run)
        elif event == "NOIO":
            if run is None or run.state != "waits" or run.call_cursor != command["cursor"]:
                self.refuse("NOIO", ref)
            else:
                self.world.note(f"kernel: {ref} goes on without its call")
                self.go_on(run)
        elif event == "SYSINFO":
            active = sum(run.state == "runs" for run in self.runs.values())
            self.tell(
                event="INFO",
                ticket=command["ticket"],
                figures=[min(1.0, active / self.cores), float(active), 0.1, 10.0],
            )
        elif event == "POST":
            self.tell(event="POSTED", ticket=command["ticket"], fate="ok")
        else:
            self.refuse(event, ref)

    def refuse(self, event: str, ref: str) -> None:
        self.einvals += 1
        self.tell(event="EINVAL", fate=event, handle=ref)

    def sched(self, command: dict[str, Any], ref: str, run: Run | None) -> None:
        sent = self.world.sent.get(ref)
        if run is not None and run.state != "over":
            return  # it runs already
        if sent is None or not sent.honest or sent.entry != command["entry"] or sent.doc != command["arg"]:
            self.refuse("SCHED", ref)
            return
        if sent.over or run is not None:
            self.world.note(f"kernel: {ref} void, the request is over")
            self.notice(event="REAP", handle=ref, fate="void", lasted=0, arg="")
            return
        parts, end = self.plan(sent)
        sent.runs += 1
        sent.run_at = sent.run_at or time.time()
        if not self.world.quiet:
            self.world.note(f"kernel: {ref} starts, key={sent.key or '-'} ({sent.note})")
        run = self.runs[ref] = Run(ref, parts, end)
        self.work(run)

    def work(self, run: Run) -> None:
        asyncio.get_running_loop().call_later(run.parts[run.place][0], self.part_done, run)

    def part_done(self, run: Run) -> None:
        if run.state == "over":
            return
        body = run.parts[run.place][1]
        sent = self.world.sent[run.ref]
        if body is None:
            if self.held:
                self.held_ends.append(run)
            else:
                self.finish(run, run.end)
        elif sent.over:
            self.finish(run, "halted")
        else:
            run.state = "waits"
            run.call_cursor = self.notice(event="IOREQ", handle=run.ref, arg=base64.b64encode(body).decode())

    def go_on(self, run: Run) -> None:
        run.state, run.place = "runs", run.place + 1
        self.work(run)

    def finish(self, run: Run, end: str) -> None:
        run.state = "over"
        sent = self.world.sent[run.ref]
        if not self.world.quiet:
            self.world.note(f"kernel: {run.ref} ends {end} ({sent.note})")
        self.notice(
            event="REAP", handle=run.ref, fate=end, lasted=1.0, arg=result_of(sent) if end == "ok" else ""
        )

    def request_over(self, ref: str) -> None:
        """A run that waits for a call is ended as its request is over."""
        run = self.runs.get(ref)
        if run is not None and run.state == "waits":
            self.finish(run, "halted")

    def release(self) -> None:
        self.held = False
        ends, self.held_ends = self.held_ends, []
        for run in ends:
            self.finish(run, run.end)

    def break_link(self) -> None:
        if self.link is not None:
            link, self.link = self.link, None
            link.transport.abort()


def result_of(sent: Sent) -> str:
    return base64.b64encode(f"done {sent.ref}".encode()).decode()


# ---- records service


class Records:
    """`answer` gives the seconds until a call is answered, the status, and whether it never began."""

    def __init__(self, world: World) -> None:
        self.world, self.port = world, 0
        self.calls: list[tuple[float, str, bytes]] = []
        self.answer: Callable[[str, bytes], tuple[float, int, bool]] = lambda ref, body: (0.02, 200, False)
        self.server: asyncio.Server | None = None
        self.in_hand = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
                body = await reader.readexactly(int(fields[b"Content-Length"]))
                ref = fields[b"Op-Of"].decode()
                self.calls.append((time.time(), ref, body))
                wait, status, not_begun = self.answer(ref, body)
                self.world.note(f"records: call of {ref} -> {status} after {wait:g} s")
                self.in_hand += 1
                try:
                    await asyncio.sleep(wait)
                finally:
                    self.in_hand -= 1
                reply = b"reply to " + body if status == 200 else b""
                extra = b"Op-Not-Begun: 1\r\n" if not_begun else b""
                writer.write(
                    b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra, len(reply), reply)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Roster(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.reports: list[bytes] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.reports.append(data)


# ---- client stubs


class Stub:
    """One connection of a client stub that keeps to the page. `delay` is the time that answers take."""

    def __init__(self, world: World, kernel: Kernel, port: int, number: int = 1, delay: float = 0.0) -> None:
        self.world, self.kernel, self.port, self.number, self.delay = world, kernel, port, number, delay
        self.ids = 0
        self.open: dict[int, Sent] = {}
        self.farewell_at: float | None = None
        self.ended_at: float | None = None
        self.on_answer: Callable[[Sent], None] = lambda sent: None
        self.task: asyncio.Task[None] | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.last_v: float | None = None

    async def connect(self) -> None:
        reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self.read(reader))

    @property
    def usable(self) -> bool:
        return self.farewell_at is None and self.ended_at is None and self.writer is not None

    def make(
        self, entry: str, wait_ms: int, key: str = "", note: str = "", doc: bytes = b"x", **more: Any
    ) -> tuple[Sent, bytes]:
        now = time.time()
        self.ids += 1
        ref = f"{random.getrandbits(64):016x}"
        sent = Sent(ref, entry, base64.b64encode(doc).decode(), key, now, now + wait_ms / 1_000, note=note)
        params: dict[str, Any] = {
            "i": ref,
            "s": int(now * 1_000),
            "f": self.number,
            "t": "acme",
            "d": wait_ms,
            "h": 20.0,
            "m": 15.0,
            "p": 0.5,
            "doc": sent.doc,
        }
        if key:
            params["k"] = key
        body = json.dumps(
            {"jsonrpc": "2.0", "id": self.ids, "method": entry, "params": params | more}
        ).encode()
        self.open[self.ids] = sent
        self.world.sent[ref] = sent
        return sent, b"Content-Length: %d\r\n\r\n%b" % (len(body), body)

    def ask(self, entry: str, wait_ms: int, **more: Any) -> Sent:
        sent, frame = self.make(entry, wait_ms, **more)
        if not self.world.quiet:
            self.world.note(
                f"stub {self.number}: {sent.ref} asks {entry} key={sent.key or '-'} ({sent.note})"
            )
        self.write(frame)
        return sent

    def write(self, data: bytes) -> None:
        assert self.writer is not None
        self.writer.write(data)

    def revoke(self, sent: Sent) -> None:
        number = next(n for n, each in self.open.items() if each is sent)
        del self.open[number]
        sent.gone = True
        body = json.dumps(
            {"jsonrpc": "2.0", "method": "revoke", "params": {"i": sent.ref, "id": number}}
        ).encode()
        self.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        self.world.note(f"stub {self.number}: {sent.ref} is taken back")
        self.kernel.request_over(sent.ref)

    async def read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.split(b":")[1])
                message = json.loads(await reader.readexactly(length))
                if self.delay:
                    await asyncio.sleep(self.delay)
                self.handle(message)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        self.ended_at = time.time()
        if self.open:
            refs = ", ".join(f"{each.ref} ({each.note})" for each in self.open.values())
            self.world.note(f"stub {self.number}: the connection ended, without an answer: {refs}")
        for each in self.open.values():
            self.kernel.request_over(each.ref)
        if self.writer is not None:
            self.writer.close()

    def handle(self, message: dict[str, Any]) -> None:
        if message.get("method") == "farewell":
            self.farewell_at = time.time()
            self.world.note(f"stub {self.number}: farewell")
        else:
            sent = self.open.pop(message.get("id"), None)
            if sent is None:
                self.world.note(f"stub {self.number}: answer to nothing open: {json.dumps(message)[:200]}")
                return
            sent.answers += 1
            sent.answered_at = time.time()
            error = message.get("error")
            sent.kind = "served" if error is None else "refused" if error["code"] == -32008 else "failed"
            if error is None:
                sent.doc_back = message["result"]["doc"]
            if not self.world.quiet:
                why = "" if error is None else f" ({error['message']})"
                self.world.note(f"stub {self.number}: {sent.ref} {sent.kind}{why} ({sent.note})")
            self.kernel.request_over(sent.ref)
            self.on_answer(sent)
        if self.farewell_at is not None and not self.open and self.writer is not None:
            self.writer.close()


# ---- the instance


def run_line() -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Instance:
    """One service instance, started by the line `run` of the deploy file."""

    def __init__(self, world: World, folder: Path, name: str, config: dict[str, Any]) -> None:
        self.world, self.folder, self.name, self.config = world, folder, name, config
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.rename(self.path)

    def start(self) -> None:
        self.write_config()
        environment = os.environ | {
            "BALANCER_CONFIG": str(self.path),
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.config["listen"],
            "TMPDIR": str(self.folder),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_line()], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.note(f"instance {self.name}: started, pid {self.process.pid}")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.world.note(f"instance {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def rss_mb(self) -> float:
        assert self.process is not None
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def ready(self, port: int, seconds: float = 30.0) -> bool:
        """Asks for health until it is good."""
        end = time.time() + seconds
        body = b'{"jsonrpc":"2.0","id":1,"method":"heartbeat"}'
        while time.time() < end and self.process is not None and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
                answer = await asyncio.wait_for(reader.read(1_000), 2.0)
                writer.close()
                if b'"ready":true' in answer:
                    return True
            except (TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
        return False

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def sample_config(name: str, listen: int, kernel: int, records: int, roster: int) -> dict[str, Any]:
    """The configuration of `deploy/sample.json` at free ports."""
    config: dict[str, Any] = json.loads((ROOT / "deploy" / "sample.json").read_text(encoding="utf-8"))
    config |= {
        "name": name,
        "listen": f"{HOST}:{listen}",
        "kernel": f"{HOST}:{kernel}",
        "records": f"{HOST}:{records}",
        "roster": f"{HOST}:{roster}",
        "seed": f"{random.getrandbits(64):016x}",
    }
    return config


def trouble_on() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main: Callable[[World, Path], Any], folder: Path) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    import tempfile

    world = World(folder / "record.txt")
    code = 2
    # Whoever ends the script early leaves no instance behind: the case's own `finally` still runs.
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(asyncio.wait_for(main(world, Path(temporary)), 115))
    except Exception as error:  # the case itself failed
        world.say(f"the case could not run: {type(error).__name__}: {error}")
        code = 2
    world.close()
    sys.exit(code)
