"""A real instance (`python -m limeridge`) as the scale rig runs it: its file, its process, what it uses.

All is measured from outside: the process's own log lines, its answers, and what the system tells of it under
`/proc`. Nothing here depends on how an instance holds its configuration.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import orjson

from limeridge.net.callers import encode_frame
from limeridge.scale.below import LOOPBACK, Ports
from limeridge.scale.bounds import Need
from limeridge.scale.meter import processor_seconds
from limeridge.scale.sweeps import Request

STARTED_BY = 60.0  # seconds until an instance must answer
LOOK_EVERY = 0.002  # seconds between two looks
BAD_CONFIGURATION = 2  # exit code
QUOTA = 40.0  # requests a second of each tenant
HEARTBEAT = encode_frame(b'{"jsonrpc":"2.0","id":1,"method":"heartbeat"}')
RELOAD_WINDOW = 2.5  # seconds over which a reload is watched
TENANTS_RELOADED = 60_000  # for each so many tenants a second more
MOST_TENANTS = 1_000_000
RIG_MEMORY, TENANT_MEMORY = 300 << 20, 2_500  # bytes of all processes, and of each tenant beside them
RIG_PROCESSES, RIG_DESCRIPTORS = 4, 600


class Refused(Exception):
    """The instance does not take its configuration; the text is its one line."""


@dataclass(frozen=True, slots=True)
class Memory:
    """Bytes held by a process."""

    private: int
    shared_out: int  # proportional set size: what it shares is counted in parts
    peak: int  # largest resident set so far


def tenant_name(number: int) -> str:
    """Of the length that names of tenants have in the sample."""
    return f"tenant-{number:06d}"


def configuration(listen: int, below: Ports, tenants: int, first_quota: float = QUOTA) -> bytes:
    """The file of an instance with so many tenants; `first_quota` is what a change changes."""
    accounts = [{"name": tenant_name(number), "quotaPerS": QUOTA} for number in range(tenants)]
    if accounts:
        accounts[0]["quotaPerS"] = first_quota
    look = {"name": "look", "aim": 1_000_000, "deadline": 4_000_000, "idempotency": "free", "worth": 1.0}
    book = {"name": "book", "aim": 2_000_000, "deadline": 8_000_000, "idempotency": "guarded", "worth": 3.0}
    settings: dict[str, Any] = {
        "classes": [look, book | {"keyTtl": 5_000_000}],
        "accounts": accounts,
        "familyInfo": {
            "cpus": 4,
            "classCalls": [False, False],
            "callsOut": 64.0,
            "memoryKb": 65_536.0,
            "passesDeadline": True,
            "callers": 50,
            "idle": 600_000_000,
            "justStarted": False,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        },
        "guarantees": {"drainGrace": 0},
        "round": 5_000,
    }
    return orjson.dumps(
        {
            "name": "scale",
            "listen": f"{LOOPBACK}:{listen}",
            "kernel": f"{LOOPBACK}:{below.kernel}",
            "records": f"{LOOPBACK}:{below.ledger}",
            "roster": f"{LOOPBACK}:{below.node_list}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": 500,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
    )


def reload_window(tenants: int) -> float:
    """Seconds over which a reload of so many tenants is watched."""
    return RELOAD_WINDOW + tenants / TENANTS_RELOADED


def need_of(request: Request) -> Need:
    """What a sweep of one real instance takes of the machine."""
    memory = RIG_MEMORY + TENANT_MEMORY * max(request.sizes)
    return Need(memory, RIG_PROCESSES, RIG_DESCRIPTORS)


def free_port() -> int:
    """A port of loopback that nobody listens on now."""
    with socket.socket() as made:
        made.bind((LOOPBACK, 0))
        return int(made.getsockname()[1])


def memory_of(pid: int) -> Memory:
    """What a process holds now, and the most that it ever held."""
    rollup = _kilobytes(Path(f"/proc/{pid}/smaps_rollup"))
    status = _kilobytes(Path(f"/proc/{pid}/status"))
    private = rollup["Private_Clean"] + rollup["Private_Dirty"]
    return Memory(1024 * private, 1024 * rollup["Pss"], 1024 * status["VmHWM"])


def _kilobytes(file: Path) -> dict[str, int]:
    fields = (line.split() for line in file.read_text().splitlines())
    return {words[0].rstrip(":"): int(words[1]) for words in fields if words[-1] == "kB"}


class RealInstance:
    """One running instance; a context manager that ends it.

    Raises Refused where the instance ends with the code of bad configuration, TimeoutError where it does not
    answer in time.
    """

    def __init__(self, folder: Path, below: Ports, tenants: int) -> None:
        self.below, self.tenants, self.port = below, tenants, free_port()
        self.file, self.log = folder / "instance.json", folder / "instance.log"
        self.changes = 0
        self.put_file()
        self.log.write_bytes(b"")
        begun = time.monotonic()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "limeridge"],
                env=os.environ | {"BALANCER_CONFIG": str(self.file)},
                stdout=log,
                stderr=subprocess.PIPE,
            )
        try:
            self._wait_until_ready(begun)
        except BaseException:
            self.end()
            raise
        self.start_seconds = time.monotonic() - begun

    def __enter__(self) -> RealInstance:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, trouble: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end()

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return LOOPBACK, self.port

    @property
    def file_bytes(self) -> int:
        """The size of its configuration file."""
        return self.file.stat().st_size

    def put_file(self) -> None:
        """Writes the file whole; each time after the first with one tenant's quota changed."""
        data = configuration(self.port, self.below, self.tenants, QUOTA + self.changes)
        self.changes += 1
        new = self.file.with_suffix(".new")
        new.write_bytes(data)
        new.replace(self.file)

    def _wait_until_ready(self, begun: float) -> None:
        while time.monotonic() - begun < STARTED_BY:
            if self.process.poll() is not None:
                raise Refused(self._last_words())
            if self._answers_ready():
                return
            time.sleep(LOOK_EVERY)
        raise TimeoutError(f"the instance did not answer within {STARTED_BY:g} s")

    def _last_words(self) -> str:
        assert self.process.stderr is not None
        words = self.process.stderr.read().decode(errors="replace").strip()
        return words if self.process.returncode == BAD_CONFIGURATION else f"it ended: {words[-300:]}"

    def _answers_ready(self) -> bool:
        try:
            with socket.create_connection(self.address, timeout=STARTED_BY) as caller:
                caller.sendall(HEARTBEAT)
                return b'"ready":true' in caller.recv(1_000)
        except OSError:
            return False

    def log_length(self) -> int:
        """Where the log ends now."""
        return self.log.stat().st_size

    def events_since(self, position: int) -> list[dict[str, Any]]:
        """The whole log lines behind a position."""
        with self.log.open("rb") as log:
            log.seek(position)
            lines = log.read().splitlines(keepends=True)
        return [orjson.loads(line) for line in lines if line.endswith(b"\n") and line.strip()]

    def ask_for_reload(self) -> None:
        """What an operator does at a changed file."""
        self.process.send_signal(signal.SIGHUP)

    def reloaded_at(self, position: int, wait: float) -> float | None:
        """The Unix time of the log line that ends a reload, to the millisecond; None where none comes."""
        end = time.monotonic() + wait
        while time.monotonic() < end:
            for event in self.events_since(position):
                if event["event"] == "reload" and event.get("code") != "unusable":
                    return float(event["t"])
            time.sleep(0.02)
        return None

    def timed_reload(self, wait: float) -> float | None:
        """Seconds from the signal to the log line that ends the reload, to the millisecond; None where none
        comes in time."""
        position, begun = self.log_length(), time.time()
        self.ask_for_reload()
        ended = self.reloaded_at(position, wait)
        return None if ended is None else max(0.0, ended - begun)

    def processor_seconds(self) -> float:
        """What it has used so far."""
        return processor_seconds(self.process.pid)

    def memory(self) -> Memory:
        """What it holds."""
        return memory_of(self.process.pid)

    def end(self) -> None:
        """Nothing is open at the end of a measurement: there is nothing to drain."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        if self.process.stderr is not None:
            self.process.stderr.close()
