"""Logs of tools: structlog, rendered as the instance's log is: one JSON line with `t`, `who`, `event`,
`code`.

It owns the form alone.
"""

from __future__ import annotations

import time
from typing import Any, BinaryIO

import orjson
import structlog


def _line(_: object, __: str, fields: Any) -> bytes:
    event = fields.pop("event")
    head = {"t": round(time.time(), 3), "who": fields.pop("who"), "event": event}
    if code := fields.pop("code", ""):
        head["code"] = code
    return orjson.dumps(head | fields, default=str)


def tool_log(who: str, to: BinaryIO) -> Any:
    """A logger: `log.info(event, code=..., **fields)`."""
    return structlog.wrap_logger(
        structlog.BytesLogger(to), processors=[_line], wrapper_class=structlog.make_filtering_bound_logger(0)
    ).bind(who=who)
