"""What is said about duties, between members: bodies of `peers.messages.Word`.

It owns the types and their encoding. It must never judge.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from limeridge.duty.ballots import Token


class LeaseRequest(Struct, frozen=True, array_like=True, tag="a"):
    """May I have, or go on with, this duty under this token? `seq` comes back with the answer."""

    duty: str
    token: Token
    seq: int
    version: int  # of the set of voters


class LeaseAnswer(Struct, frozen=True, array_like=True, tag="y"):
    """A voter's answer to asking `seq` under `token`; `why` is empty where it granted, else a reason code."""

    duty: str
    token: Token
    seq: int
    version: int
    why: str
    highest: Token
    holder: str = ""
    left: int = 0


class LeaseRelease(Struct, frozen=True, array_like=True, tag="b"):
    """To voters: I hold it no more; for `keep` microseconds only the successor may have it."""

    duty: str
    token: Token
    successor: str = ""
    keep: int = 0


class Handover(Struct, frozen=True, array_like=True, tag="t"):
    """To a successor: I gave it back for you."""

    duty: str
    token: Token


class HolderNotice(Struct, frozen=True, array_like=True, tag="h"):
    """To all: I hold it for so many microseconds more at least, unless you hear that I gave it up (`left`
    0)."""

    duty: str
    token: Token
    left: int
    note: bytes = b""  # what the duty's own part has to say


class RecoveryQuery(Struct, frozen=True, array_like=True, tag="r"):
    """From a voter that has started: what do you know?"""

    version: int


class RecoveryReport(Struct, frozen=True, array_like=True, tag="k"):
    """The highest token of each duty that a voter knows of, and whether it remembers all that it granted."""

    version: int
    remembers: bool
    highest: dict[str, Token]


class Need(Struct, frozen=True, array_like=True, tag="n"):
    """To the holder of `ledger-allot`: calls that I could use above my floor."""

    seq: int
    calls: int


class Grant(Struct, frozen=True, array_like=True, tag="g"):
    """To one that said what it needs: calls, for as long as the terms say from when it asked."""

    seq: int
    calls: int
    to: str = ""  # the life that asked: two processes may have one name


Body = (
    Need
    | Grant
    | LeaseRequest
    | LeaseAnswer
    | LeaseRelease
    | Handover
    | HolderNotice
    | RecoveryQuery
    | RecoveryReport
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Body)


def encode(body: Body) -> bytes:
    """The bytes of a body, as `decode` reads them."""
    return _encoder.encode(body)


def decode(data: bytes) -> Body | None:
    """None for what is no such body."""
    try:
        body: Body = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return body
