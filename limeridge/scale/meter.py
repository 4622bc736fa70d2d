"""Worker processes as the rig sees them, and what they spent in a window of time, by role."""

from __future__ import annotations

import ctypes
import select
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

import msgspec

from limeridge.scale import bounds, orders
from limeridge.scale.results import Role

ANSWER_WAIT = 60.0  # seconds
END_WAIT = 3.0  # seconds until a worker that was told to end is killed
OWN_TICK = 0.02  # seconds of the rig's own timer
OWN_LATE_MOST = 0.02  # seconds that it may come late
WORKER_LATE_MOST = 0.1  # seconds of the fleet that a worker's timers may: a third of a probe's time-out
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)


class WorkerLost(Exception):
    """One line: a worker that ended, or did not answer in time."""


def processor_seconds(process: int) -> float:
    """Of all threads of a process, to the nanosecond."""
    tasks = Path(f"/proc/{process}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def private_bytes(process: int) -> int:
    """Memory of a process that it shares with no other."""
    lines = Path(f"/proc/{process}/smaps_rollup").read_text().splitlines()[1:]
    rows = dict(line.split(":", 1) for line in lines)
    return sum(int(rows[name].split()[0]) * 1_024 for name in ("Private_Clean", "Private_Dirty"))


def _end_with_parent() -> None:
    """In the child: the kernel ends it where the rig ends first."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class WorkerProcess:
    """One worker process. `role` is that of all its members."""

    def __init__(self, role: Role, begin: orders.Begin) -> None:
        self.role = role
        self.process = subprocess.Popen(
            [sys.executable, "-m", "limeridge.scale.worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            bufsize=0,
            preexec_fn=_end_with_parent,
        )
        self.left = b""  # of an answer that is still coming
        self.tell(begin)

    def tell(self, order: orders.Order) -> None:
        """Sends an order; `answer` must be called before the next one."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")
        except OSError:
            raise WorkerLost(f"worker {self.process.pid}: it has ended") from None

    def answer(self) -> orders.Answer:
        """Waits for the answer to the last order. Raises WorkerLost."""
        assert self.process.stdout is not None
        until = time.monotonic() + ANSWER_WAIT
        while b"\n" not in self.left:
            ready, _, _ = select.select([self.process.stdout], [], [], max(0.0, until - time.monotonic()))
            data = self.process.stdout.read(1 << 16) if ready else b""
            if not data:
                raise WorkerLost(
                    f"worker {self.process.pid}: {'it has ended' if ready else 'no answer in time'}"
                )
            self.left += data
        line, _, self.left = self.left.partition(b"\n")
        return msgspec.json.decode(line, type=orders.Answer)

    def end(self) -> None:
        """By its id, where it does not end when told."""
        try:
            self.tell(orders.End())
            self.process.wait(END_WAIT)
        except (WorkerLost, subprocess.TimeoutExpired):
            self.process.kill()
            self.process.wait()


class OwnTimer:
    """Notes how late a timer of the rig's own process comes, in a thread of its own."""

    def __init__(self) -> None:
        self.notes: list[tuple[float, float]] = []  # when, and how late
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> OwnTimer:
        self.thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.ended.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.ended.is_set():
            due = time.monotonic() + OWN_TICK
            time.sleep(OWN_TICK)
            now = time.monotonic()
            self.notes.append((now, now - due))

    def since(self, begun: float) -> list[float]:
        """The lateness of all ticks from then on."""
        return [late for at, late in list(self.notes) if at >= begun]


@dataclass(slots=True, frozen=True)
class Usage:
    """What the processes of one role spent in a window, a member and a second of the fleet's time."""

    processor: float
    bytes_out: float
    bytes_in: float
    packets_out: float
    packets_in: float
    largest: int  # bytes


class TooBusy(Exception):
    """The machine was too busy for a figure; says how late timers came."""


def usage(
    before: Iterable[orders.Reading],
    after: Iterable[orders.Reading],
    slowdown: float,
    per_member: bool = True,
) -> Usage:
    """Of the processes of one role, from two readings of each, in the same order.

    `slowdown`: seconds that a second of the fleet took. What was spent in that time is what a second costs.
    """
    pairs = list(zip(before, after, strict=True))
    seconds = sum(late.at - early.at for early, late in pairs) / len(pairs) / slowdown
    members = max(1, sum(late.running for _, late in pairs)) if per_member else 1

    def rate(field: str) -> float:
        kinds = ("datagrams", "streams")
        spent = sum(
            getattr(getattr(late, kind), field) - getattr(getattr(early, kind), field)
            for early, late in pairs
            for kind in kinds
        )
        return float(spent) / seconds / members

    return Usage(
        sum(late.processor - early.processor for early, late in pairs) / seconds / members,
        rate("bytes_out"),
        rate("bytes_in"),
        rate("packets_out"),
        rate("packets_in"),
        max(late.largest for _, late in pairs),
    )


def check_timers(own: Iterable[float], workers: Iterable[orders.Reading], slowdown: float) -> None:
    """Raises TooBusy where the timers of the rig or of a worker came too late in a window."""
    noted = list(own)
    if bounds.too_busy(noted, OWN_LATE_MOST):
        raise TooBusy(f"machine too busy: the rig's timers came {1e3 * bounds.late(noted):.0f} ms late")
    for reading in workers:
        if bounds.too_busy(reading.lateness, WORKER_LATE_MOST * slowdown):
            raise TooBusy(
                f"machine too busy: a worker's timers came {1e3 * bounds.late(reading.lateness):.0f} ms late"
            )
