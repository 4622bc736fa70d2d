"""The messages between members and their wire format: MessagePack (msgspec) after a keyed BLAKE2 tag.

This module encodes, authenticates and decodes messages; it does not act on them. Messages that are malformed
or carry a wrong tag, such as those of another fleet, raise `InvalidMessageError` with a reason code.

A datagram is the 16-byte tag followed by the message. The key is derived from the fleet's name and the
contents of the key file, so that fleets that share a network ignore each other's messages. There is no replay
protection: replayed claims are superseded by newer ones, and replies are accepted only for a sequence number
that is still pending.
"""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest
from typing import Any

import msgspec
from msgspec import Struct

from limeridge.peers.members import Claim, Life

MAX_DATAGRAM_BYTES = 1_200  # below the path MTU of all networks in use, to avoid fragmentation
MAX_STREAM_BYTES = 1 << 20  # of one message over TCP
TAG_BYTES = 16
CLAIM_FIXED_BYTES = 52  # upper bound for an encoded claim without its text fields
MESSAGE_OVERHEAD_BYTES = 128  # upper bound for the tag and all other fields, including a name of 64 bytes


class Accusation(Struct, frozen=True, array_like=True):
    """States that `by` received no answer from this life of `name`. Independent accusations shorten the
    suspicion time-out (Lifeguard)."""

    name: str
    life: Life
    incarnation: int
    by: str


class Ping(Struct, frozen=True, array_like=True, tag="p"):
    """A probe. `to` is the name of the probed member; whichever member listens at its address answers under
    its own name."""

    seq: int
    own: Claim
    to: str
    digest: int
    news: tuple[Claim, ...] = ()
    accusals: tuple[Accusation, ...] = ()
    misses: tuple[str, ...] = ()  # names of members whose acks do not reach the sender


class Ack(Struct, frozen=True, array_like=True, tag="a"):
    """The answer to a probe. `of` is the member that answered and `own` the sender; they differ for an
    indirect probe, whose ack is relayed by a helper."""

    seq: int
    own: Claim
    of: str
    digest: int
    news: tuple[Claim, ...] = ()
    accusals: tuple[Accusation, ...] = ()
    misses: tuple[str, ...] = ()


class Nack(Struct, frozen=True, array_like=True, tag="n"):
    """A helper's reply to a ping request if the target did not answer it either. It shows that the requester
    can be reached (Lifeguard, section IV.A)."""

    seq: int
    own: Claim


class PingRequest(Struct, frozen=True, array_like=True, tag="q"):
    """Asks a helper to probe `to` on the sender's behalf."""

    seq: int
    own: Claim
    to: str
    host: str
    port: int


class Renew(Struct, frozen=True, array_like=True, tag="r"):
    """Asks a voter to support the sender's share of the limit, see shares.py. `epoch` is the highest that the
    sender knows."""

    seq: int
    own: Claim
    epoch: tuple[int, str, int]


class Support(Struct, frozen=True, array_like=True, tag="s"):
    """A voter's reply to `Renew`. `cap` is the minimum of the requester's allocations in all views that the
    voter supported within the hold time."""

    seq: int
    own: Claim
    epoch: tuple[int, str, int]
    cap: int


class Offer(Struct, frozen=True, array_like=True, tag="o"):
    """Proposes a new view to the voters; `keys` are the claim keys of its members."""

    own: Claim
    epoch: tuple[int, str, int]
    keys: tuple[str, ...]


class Table(Struct, frozen=True, array_like=True, tag="t"):
    """The sender's whole membership table, sent over TCP; `answer` requests the receiver's in return."""

    own: Claim
    claims: tuple[Claim, ...]
    view: tuple[tuple[int, str, int], tuple[str, ...]]
    answer: bool


class DelegateMessage(Struct, frozen=True, array_like=True, tag="w"):
    """A message of the delegate `kind`; `body` is in that delegate's own encoding."""

    own: Claim
    kind: str
    body: bytes


Message = DelegateMessage | Ping | Ack | Nack | PingRequest | Renew | Support | Offer | Table
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)


class InvalidMessageError(Exception):
    """The data is not a valid message of this fleet; the text is a reason code."""


def derive_key(fleet: str, secret: bytes) -> bytes:
    """Derives the 32-byte key that authenticates messages from the fleet's name and secret."""
    return blake2b(secret, key=fleet.encode()[:64], digest_size=32).digest()


def encode(message: Message, key: bytes) -> bytes:
    """Encodes a message, prefixed with its tag."""
    body = _encoder.encode(message)
    return blake2b(body, key=key, digest_size=TAG_BYTES).digest() + body


def decode(data: bytes, key: bytes) -> Message:
    """Checks the tag and decodes the message.

    Raises InvalidMessageError with the code `short`, `tag` or `garbled`.
    """
    if len(data) <= TAG_BYTES:
        raise InvalidMessageError("short")
    body = data[TAG_BYTES:]
    if not compare_digest(blake2b(body, key=key, digest_size=TAG_BYTES).digest(), data[:TAG_BYTES]):
        raise InvalidMessageError("tag")
    try:
        message: Message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidMessageError("garbled") from error
    return message
