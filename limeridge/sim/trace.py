"""Writes and reads trace files: one record per step or event, as JSON lines compressed with zstd.

This module defines the file format only; it does not interpret a run.
"""

from __future__ import annotations

import io
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import orjson
import zstandard


@dataclass(slots=True, frozen=True)
class Entry:
    step: int
    at: int  # microseconds from the start
    who: str
    kind: str
    ref: str


class InvalidTrace(Exception):
    """The message is one line: the path of the file and what is wrong with it."""


class Writer:
    """Context manager that writes a trace file; `record` matches the callback that World takes."""

    def __init__(self, path: Path, header: dict[str, Any]) -> None:
        self.raw = path.open("wb")
        self.stream = zstandard.ZstdCompressor(level=6).stream_writer(self.raw)
        self.stream.write(
            orjson.dumps({"limeridge": "trace", "version": 1} | header, option=orjson.OPT_APPEND_NEWLINE)
        )

    def record(self, step: int, at: int, who: str, kind: str, ref: str) -> None:
        self.stream.write(orjson.dumps([step, at, who, kind, ref], option=orjson.OPT_APPEND_NEWLINE))

    def __enter__(self) -> Writer:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.stream.write(orjson.dumps({"end": True}, option=orjson.OPT_APPEND_NEWLINE))
        self.stream.close()  # type: ignore[no-untyped-call]
        self.raw.close()


def read_head(path: Path) -> dict[str, Any]:
    return next(_read_lines(path))


def read_entries(path: Path) -> Iterator[Entry]:
    """Raises InvalidTrace if the file is not a trace or is truncated."""
    lines = _read_lines(path)
    next(lines)
    for line in lines:
        if isinstance(line, dict):
            return
        yield Entry(*line)
    raise InvalidTrace(f"{path}: expected a whole trace, it is truncated")


def _read_lines(path: Path) -> Iterator[Any]:
    try:
        with path.open("rb") as raw, zstandard.ZstdDecompressor().stream_reader(raw) as stream:
            first = True
            for line in io.TextIOWrapper(stream, "utf-8"):
                value = orjson.loads(line)
                if first and (not isinstance(value, dict) or value.get("limeridge") != "trace"):
                    raise InvalidTrace(f"{path}: expected a trace")
                if first and value.get("version") != 1:
                    raise InvalidTrace(
                        f"{path}: expected a trace of version 1, got version {value.get('version')}"
                    )
                first = False
                yield value
            if first:
                raise InvalidTrace(f"{path}: expected a whole trace, it is truncated")
    except OSError as error:
        raise InvalidTrace(f"{path}: expected a readable file, got {error.strerror}") from None
    except (zstandard.ZstdError, orjson.JSONDecodeError, UnicodeDecodeError) as error:
        raise InvalidTrace(f"{path}: expected a whole trace: {' '.join(str(error).split())}") from None
