"""The log: one JSON line per event, on standard output.

It owns the format of a line and the rate limit on repeated lines. It must never block the process (what the
pipe does not accept at once is dropped and counted) and never raise an exception into the code that logs.
"""

from __future__ import annotations

import os
import time
import traceback
from collections.abc import Callable
from functools import partial

import orjson

COUNT_WINDOW_S = 10.0  # lines are counted per event and code within this window
MAX_LINES_PER_WINDOW = 50  # per event and code, so that a flood of connections does not flood the log
MAX_COUNTED_KINDS = 512  # event and code pairs that are counted at a time


class Log:
    """`write` takes a line and returns how many bytes were written; without it lines are written to
    `descriptor`."""

    def __init__(
        self,
        name: str,
        descriptor: int = 1,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        write: Callable[[bytes], int] | None = None,
    ) -> None:
        self.name, self.clock, self.wall_clock = name, clock, wall_clock
        self.write = write or partial(os.write, descriptor)
        self.counts: dict[tuple[str, str], int] = {}
        self.window_end = clock() + COUNT_WINDOW_S
        self.dropped = 0
        if write is None:
            try:
                os.set_blocking(descriptor, False)
            except OSError:
                self.dropped += 1

    def event(self, event: str, code: str = "", **fields: object) -> None:
        if self.clock() >= self.window_end:
            self.close_window()
        kind = (event, code)
        count = self.counts.get(kind, 0) + 1
        if count > 1 or len(self.counts) < MAX_COUNTED_KINDS:
            self.counts[kind] = count
        if count <= MAX_LINES_PER_WINDOW:
            self._write(event, code, fields)

    def fault(self, event: str, error: object, code: str = "exception", **fields: object) -> None:
        """Logs an exception that was caught, with its traceback in the same line."""
        exception = error if isinstance(error, BaseException) else None
        text = "".join(traceback.format_exception(exception))[-4000:]
        self.event(event, code, trouble=f"{type(error).__name__}: {error}"[:300], trace=text, **fields)

    def close_window(self) -> None:
        """Logs how many lines were suppressed of each event and code, and starts a new window."""
        suppressed = {
            kind: count - MAX_LINES_PER_WINDOW
            for kind, count in self.counts.items()
            if count > MAX_LINES_PER_WINDOW
        }
        self.counts.clear()
        self.window_end = self.clock() + COUNT_WINDOW_S
        for (event, code), count in suppressed.items():
            self._write("held-back", code, {"of": event, "lines": count})

    def _write(self, event: str, code: str, fields: dict[str, object]) -> None:
        line: dict[str, object] = {"t": round(self.wall_clock(), 3), "who": self.name, "event": event}
        if code:
            line["code"] = code
        if self.dropped:
            line["dropped"] = self.dropped
        try:
            text = orjson.dumps(line | fields, default=str, option=orjson.OPT_APPEND_NEWLINE)
            if self.write(text) < len(text):
                self.write(b"\n")
            self.dropped = 0
        except (OSError, TypeError, ValueError):
            self.dropped += 1
