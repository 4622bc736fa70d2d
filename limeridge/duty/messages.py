"""Messages about duties between members, sent as bodies of `peers.messages.DelegateMessage`.

Owns the types and their encoding, and takes no decisions.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from limeridge.duty.ballots import Token


class LeaseRequest(Struct, frozen=True, array_like=True, tag="a"):
    """To voters: requests or renews the lease on a duty under `token`. `seq` is repeated in the answer."""

    duty: str
    token: Token
    seq: int
    version: int  # of the sender's voter set


class LeaseAnswer(Struct, frozen=True, array_like=True, tag="y"):
    """A voter's answer to request `seq` under `token`; `why` is empty if it granted, else a reason code."""

    duty: str
    token: Token
    seq: int
    version: int
    why: str
    highest: Token
    holder: str = ""
    left: int = 0


class LeaseRelease(Struct, frozen=True, array_like=True, tag="b"):
    """To voters: releases the token. For `keep` microseconds only the successor, if any, may be granted the
    duty."""

    duty: str
    token: Token
    successor: str = ""
    keep: int = 0


class Handover(Struct, frozen=True, array_like=True, tag="t"):
    """To a successor: the sender released the duty in its favour."""

    duty: str
    token: Token


class HolderNotice(Struct, frozen=True, array_like=True, tag="h"):
    """To all members: the sender holds the duty for at least `left` more microseconds, or has released it if
    `left` is 0."""

    duty: str
    token: Token
    left: int
    note: bytes = b""  # state that the code performing the duty shares with the other members


class RecoveryQuery(Struct, frozen=True, array_like=True, tag="r"):
    """From a voter that has started: asks for the highest known tokens."""

    version: int


class RecoveryReport(Struct, frozen=True, array_like=True, tag="k"):
    """The highest token of each duty that a voter knows of, and whether it knows all that it granted."""

    version: int
    remembers: bool
    highest: dict[str, Token]


class Need(Struct, frozen=True, array_like=True, tag="n"):
    """To the holder of `ledger-allot`: calls that the sender could use above its floor."""

    seq: int
    calls: int


class Grant(Struct, frozen=True, array_like=True, tag="g"):
    """Answer to `Need`: calls granted for the duration in the terms, from when the request was sent."""

    seq: int
    calls: int
    to: str = ""  # key of the requesting process: two processes may have the same name


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
    """Encodes a message for `decode`."""
    return _encoder.encode(body)


def decode(data: bytes) -> Body | None:
    """Decodes a message; None if `data` is not a valid one."""
    try:
        body: Body = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return body
