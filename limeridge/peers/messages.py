"""What members say to each other, as typed values, and their form on the wire: MessagePack by msgspec
behind a keyed BLAKE2 tag.

It owns the messages, their encoding and the tag. It must never act on a message. What can't be read, is not
of this fleet or carries another tag is one exception, `InvalidMessageError`, with a reason code.

A datagram is the tag (16 bytes), then the message. The key is the digest of the fleet's name and the key
file, so that fleets that share a network don't mix. Nothing here keeps a recorded message from being sent
again: claims are ordered, and answers are taken only for a number that is still open.
"""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest
from typing import Any

import msgspec
from msgspec import Struct

from limeridge.peers.members import Claim, Life

MAX_DATAGRAM_BYTES = 1_200  # bytes; below what any way in use takes in one piece
MAX_STREAM_BYTES = 1 << 20  # bytes of one message over TCP
TAG_BYTES = 16
CLAIM_FIXED_BYTES = 52  # of a claim on the wire, its texts aside, at the most
MESSAGE_OVERHEAD_BYTES = 128  # of a message's other fields, a name of 64 among them, and its tag


class Accusation(Struct, frozen=True, array_like=True):
    """`by` has had no answer from this life of `name`. Several accusers shorten the suspicion."""

    name: str
    life: Life
    incarnation: int
    by: str


class Ping(Struct, frozen=True, array_like=True, tag="p"):
    """Are you there? `to` names the member meant: another one at its address answers for itself."""

    seq: int
    own: Claim
    to: str
    digest: int
    news: tuple[Claim, ...] = ()
    accusals: tuple[Accusation, ...] = ()
    misses: tuple[str, ...] = ()  # names whose answers do not reach the sender


class Ack(Struct, frozen=True, array_like=True, tag="a"):
    """`of` is the member that answered, `own` the one that says so: another one where it was asked to
    probe."""

    seq: int
    own: Claim
    of: str
    digest: int
    news: tuple[Claim, ...] = ()
    accusals: tuple[Accusation, ...] = ()
    misses: tuple[str, ...] = ()


class Nack(Struct, frozen=True, array_like=True, tag="n"):
    """I had no answer from it either, but I hear you (Lifeguard, section IV.A)."""

    seq: int
    own: Claim


class PingRequest(Struct, frozen=True, array_like=True, tag="q"):
    """Please probe `to` for me."""

    seq: int
    own: Claim
    to: str
    host: str
    port: int


class Renew(Struct, frozen=True, array_like=True, tag="r"):
    """What may I use of the limit? See shares.py. `epoch` is the highest that the asker knows."""

    seq: int
    own: Claim
    epoch: tuple[int, str, int]


class Support(Struct, frozen=True, array_like=True, tag="s"):
    """`cap` is the least of the asker's parts in all views that the voter supported within the hold time."""

    seq: int
    own: Claim
    epoch: tuple[int, str, int]
    cap: int


class Offer(Struct, frozen=True, array_like=True, tag="o"):
    """A new view for voters: lives by name and nonce."""

    own: Claim
    epoch: tuple[int, str, int]
    keys: tuple[str, ...]


class Table(Struct, frozen=True, array_like=True, tag="t"):
    """Everything that the sender holds, over TCP; `answer` asks for the other's in return."""

    own: Claim
    claims: tuple[Claim, ...]
    view: tuple[tuple[int, str, int], tuple[str, ...]]
    answer: bool


class DelegateMessage(Struct, frozen=True, array_like=True, tag="w"):
    """What is said by another part that members carry, `kind`, in its own form."""

    own: Claim
    kind: str
    body: bytes


Message = DelegateMessage | Ping | Ack | Nack | PingRequest | Renew | Support | Offer | Table
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)


class InvalidMessageError(Exception):
    """Not a message of this fleet; the text is a reason code."""


def derive_key(fleet: str, secret: bytes) -> bytes:
    """The 32 bytes that datagrams and streams are tagged with, from the name of the fleet and its secret."""
    return blake2b(secret, key=fleet.encode()[:64], digest_size=32).digest()


def encode(message: Message, key: bytes) -> bytes:
    """The bytes of a message, its tag ahead."""
    body = _encoder.encode(message)
    return blake2b(body, key=key, digest_size=TAG_BYTES).digest() + body


def decode(data: bytes, key: bytes) -> Message:
    """Raises InvalidMessageError: `short`, `tag` or `garbled`."""
    if len(data) <= TAG_BYTES:
        raise InvalidMessageError("short")
    body = data[TAG_BYTES:]
    if not compare_digest(blake2b(body, key=key, digest_size=TAG_BYTES).digest(), data[:TAG_BYTES]):
        raise InvalidMessageError("tag")
    try:
        message: Message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise InvalidMessageError("garbled") from trouble
    return message
