"""Bad clients (kit/service/LATER.md): requests at full speed under ids that the kernel does not know.

They send hundreds of requests at once, read what they are sent, and come again as soon as they were turned
away. Each connection has at most 32 requests open, as many as the page allows.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from typing import Any

from standins import HOST

DOC = base64.b64encode(bytes(random.getrandbits(8) for _ in range(2_048))).decode()
OPEN = 32


def frames(entry: str, wait_ms: float, key: str | None, doc: str) -> bytes:
    """32 requests; `key` is the key of them all, None for one of its own each, empty for none."""
    parts: list[bytes] = []
    for number in range(1, OPEN + 1):
        params: dict[str, Any] = {
            "i": f"{random.getrandbits(64):016x}",
            "s": int(time.time() * 1_000),
            "f": 90,
            "t": "acme",
            "d": wait_ms,
            "h": 20.0,
            "m": 0.5,
            "p": 0.5,
            "doc": doc,
        }
        if key != "":
            params["k"] = f"{random.getrandbits(64):016x}" if key is None else key
        body = json.dumps({"jsonrpc": "2.0", "id": number, "method": entry, "params": params}).encode()
        parts.append(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
    return b"".join(parts)


class Counts:
    def __init__(self) -> None:
        self.sent = self.answered = self.refused = self.failed = self.served = self.closed = 0

    def __str__(self) -> str:
        return (
            f"{self.sent} sent, {self.answered} answered ({self.refused} refused, {self.failed} failed, "
            f"{self.served} served), {self.closed} connections ended on them"
        )


async def one_connection(port: int, data: bytes, counts: Counts, seconds: float = 4.0) -> None:
    """Sends 32 requests at once, reads all answers, and leaves."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(data)
        counts.sent += OPEN
        answered = 0
        async with asyncio.timeout(seconds):
            while answered < OPEN:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(int(head.split(b":")[1]))
                if b'"farewell"' in body:
                    continue
                answered += 1
                counts.answered += 1
                if b'"result"' in body:
                    counts.served += 1
                elif b"-32008" in body:
                    counts.refused += 1
                else:
                    counts.failed += 1
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        counts.closed += 1
    finally:
        if writer is not None:
            writer.close()


async def again_and_again(
    port: int,
    entry: str,
    end: float,
    counts: Counts,
    *,
    wait_ms: float = 3_000,
    key: str | None = "",
    doc: str = DOC,
    patience_s: float = 4.0,
) -> None:
    """One bad client: hundreds of requests, and the same again as soon as it is turned away."""
    while time.time() < end:
        before = counts.closed
        await one_connection(port, frames(entry, wait_ms, key, doc), counts, patience_s)
        if counts.closed != before:
            await asyncio.sleep(0.01)
