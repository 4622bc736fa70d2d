"""The log: one JSON line an event, on standard output.

It owns the form of a line and the bound on lines that repeat. It must never block the process (what the
pipe does not take at once is dropped and counted) and never raise into whoever logs.
"""

from __future__ import annotations

import os
import time
import traceback
from collections.abc import Callable
from functools import partial

import orjson

SPAN = 10.0  # seconds over which lines of one event and code are counted
MOST = 50  # lines of one event and code in a span; a storm of connections must not become a storm of lines
KINDS = 512  # event and code pairs counted at once


class Log:
    """`write` takes a line and gives how much of it went out; without one the lines go to descriptor
    `sink`."""

    def __init__(
        self,
        name: str,
        sink: int = 1,
        clock: Callable[[], float] = time.monotonic,
        unix: Callable[[], float] = time.time,
        write: Callable[[bytes], int] | None = None,
    ) -> None:
        self.name, self.clock, self.unix = name, clock, unix
        self.write = write or partial(os.write, sink)
        self.counts: dict[tuple[str, str], int] = {}
        self.span_end = clock() + SPAN
        self.dropped = 0
        if write is None:
            try:
                os.set_blocking(sink, False)
            except OSError:
                self.dropped += 1

    def event(self, event: str, code: str = "", **fields: object) -> None:
        if self.clock() >= self.span_end:
            self.close_span()
        kind = (event, code)
        count = self.counts.get(kind, 0) + 1
        if count > 1 or len(self.counts) < KINDS:
            self.counts[kind] = count
        if count <= MOST:
            self._write(event, code, fields)

    def fault(self, event: str, error: object, code: str = "exception", **fields: object) -> None:
        """An exception that was met and survived, with its traceback in the same line."""
        met = error if isinstance(error, BaseException) else None
        text = "".join(traceback.format_exception(met))[-4000:]
        self.event(event, code, trouble=f"{type(error).__name__}: {error}"[:300], trace=text, **fields)

    def close_span(self) -> None:
        held_back = {kind: count - MOST for kind, count in self.counts.items() if count > MOST}
        self.counts.clear()
        self.span_end = self.clock() + SPAN
        for (event, code), count in held_back.items():
            self._write("held-back", code, {"of": event, "lines": count})

    def _write(self, event: str, code: str, fields: dict[str, object]) -> None:
        line: dict[str, object] = {"t": round(self.unix(), 3), "who": self.name, "event": event}
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
