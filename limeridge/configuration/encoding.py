"""Wire format of messages between publishers and subscribers: compressed MessagePack, bounded and versioned.

This module defines the frame (magic, version, zstd) and the schema of each message. `decode` rejects what is
too large, of another version or of another schema: it raises BadMessage, and nothing else, for any bytes.
Whether a message fits the chain is not checked here. No other module of this package needs msgspec or
zstandard.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Annotated

import msgspec
import zstandard
from msgspec import Meta, Struct

from limeridge.configuration.chain import HASH_BYTES, Entry, FencingToken, Head, Revision
from limeridge.configuration.changes import (
    MAX_AUTHOR_CHARACTERS,
    MAX_CHANGE_ID_CHARACTERS,
    MAX_CHANGES,
    MAX_DRAFT_BYTES,
    MAX_REASON_CHARACTERS,
    Change,
    Draft,
    PutRoute,
    PutTenant,
    RemoveRoute,
    RemoveTenant,
    SetClassLimit,
    encode_draft,
)
from limeridge.configuration.routes import MAX_CLASSES, MAX_PREFIX_CHARACTERS
from limeridge.configuration.snapshot import MAX_PART_ENTRIES, SnapshotHeader, SnapshotPart
from limeridge.configuration.subscriber import Deltas, Reason, RequestDeltas, RequestSnapshot, make_deltas
from limeridge.configuration.tables import DIGEST_BYTES, ClassLimits
from limeridge.configuration.tenants import MAX_NAME_CHARACTERS, MAX_QUOTA

MAGIC = b"LRC"
VERSION = 1
MAX_FRAME_BYTES = 1 << 21  # of a message as it is sent
MAX_PLAIN_BYTES = 1 << 23  # of a message after decompression
MAX_REVISIONS_PER_MESSAGE = 200
COMPRESSION_LEVEL = 3

NonNegative = Annotated[int, Meta(ge=0, le=2**63 - 1)]
UnixTime = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
Hash = Annotated[bytes, Meta(min_length=HASH_BYTES, max_length=HASH_BYTES)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Prefix = Annotated[str, Meta(min_length=1, max_length=MAX_PREFIX_CHARACTERS)]
Quota = Annotated[float, Meta(ge=0, le=MAX_QUOTA)]
Share = Annotated[float, Meta(ge=0, le=1)]


class BadMessage(Exception):
    """The bytes are not a message of this version, or exceed a bound."""


class _WireStruct(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Base of wire types: an array of the fields in order, after a tag if the type is in a union."""


class WirePutTenant(_WireStruct, tag=1, frozen=True):
    name: Name
    quota: Quota


class WireRemoveTenant(_WireStruct, tag=2, frozen=True):
    name: Name


class WirePutRoute(_WireStruct, tag=3, frozen=True):
    prefix: Prefix
    class_name: Name


class WireRemoveRoute(_WireStruct, tag=4, frozen=True):
    prefix: Prefix


class WireSetClassLimit(_WireStruct, tag=5, frozen=True):
    class_name: Name
    share: Share


WireChange = WirePutTenant | WireRemoveTenant | WirePutRoute | WireRemoveRoute | WireSetClassLimit


class WireToken(_WireStruct, frozen=True):
    number: NonNegative
    holder: Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
    nonce: NonNegative


class WireRevision(_WireStruct, frozen=True):
    number: NonNegative
    token: WireToken
    unix_time_us: UnixTime
    refused: bool
    change_id: Annotated[str, Meta(max_length=MAX_CHANGE_ID_CHARACTERS)]
    author: Annotated[str, Meta(max_length=MAX_AUTHOR_CHARACTERS)]
    reason: Annotated[str, Meta(max_length=MAX_REASON_CHARACTERS)]
    changes: Annotated[tuple[WireChange, ...], Meta(max_length=MAX_CHANGES)]


class WireHead(_WireStruct, tag=1, frozen=True):
    number: NonNegative
    hash: Hash
    token: WireToken


class WireDeltas(_WireStruct, tag=2, frozen=True):
    revisions: Annotated[tuple[WireRevision, ...], Meta(min_length=1, max_length=MAX_REVISIONS_PER_MESSAGE)]
    last_hash: Hash


class WireEntry(_WireStruct, tag=3, frozen=True):
    revision: WireRevision
    previous_hash: Hash
    digest: Digest
    hash: Hash


class WireSnapshotHeader(_WireStruct, tag=4, frozen=True):
    entry: WireEntry
    class_names: Annotated[tuple[Name, ...], Meta(max_length=MAX_CLASSES)]
    class_shares: Annotated[tuple[Share, ...], Meta(max_length=MAX_CLASSES)]
    tenants: NonNegative
    routes: NonNegative
    parts: NonNegative


class WireSnapshotPart(_WireStruct, tag=5, frozen=True):
    hash: Hash
    index: NonNegative
    tenants: Annotated[tuple[tuple[Name, Quota], ...], Meta(max_length=MAX_PART_ENTRIES)]
    routes: Annotated[tuple[tuple[Prefix, Name], ...], Meta(max_length=MAX_PART_ENTRIES)]


class WireRequestDeltas(_WireStruct, tag=6, frozen=True):
    after: WireHead
    reason: Reason


class WireRequestSnapshot(_WireStruct, tag=7, frozen=True):
    reason: Reason


WireMessage = (
    WireHead
    | WireDeltas
    | WireEntry
    | WireSnapshotHeader
    | WireSnapshotPart
    | WireRequestDeltas
    | WireRequestSnapshot
)
Message = Head | Deltas | Entry | SnapshotHeader | SnapshotPart | RequestDeltas | RequestSnapshot

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[WireMessage] = msgspec.msgpack.Decoder(WireMessage)
_compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
_decompressor = zstandard.ZstdDecompressor(max_window_size=MAX_PLAIN_BYTES)


def encode(message: Message) -> bytes:
    """Encodes a message. Raises BadMessage if it is too large or has a text that is not valid Unicode."""
    try:
        plain = _encoder.encode(_message_to_wire(message))
    except (UnicodeEncodeError, OverflowError) as error:
        raise BadMessage(str(error)) from None
    frame = MAGIC + bytes([VERSION]) + _compressor.compress(plain)
    if len(plain) > MAX_PLAIN_BYTES or len(frame) > MAX_FRAME_BYTES:
        raise BadMessage(f"expected at most {MAX_FRAME_BYTES} bytes, {MAX_PLAIN_BYTES} once decompressed")
    return frame


def encode_entries(entries: Sequence[Entry]) -> Iterator[bytes]:
    """Encodes consecutive entries as Deltas messages, each within the bounds."""
    batch: list[Entry] = []
    size = 0
    for entry in entries:
        batch.append(entry)
        size += len(encode_draft(entry.revision.draft))
        if len(batch) == MAX_REVISIONS_PER_MESSAGE or size >= MAX_DRAFT_BYTES:
            yield encode(make_deltas(batch))
            batch, size = [], 0
    if batch:
        yield encode(make_deltas(batch))


def decode(frame: bytes) -> Message:
    """Decodes a message. Raises BadMessage."""
    plain = _decompress(frame)
    try:
        return _message_from_wire(_decoder.decode(plain))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadMessage(str(error)) from None


def _decompress(frame: bytes) -> bytes:
    if len(frame) > MAX_FRAME_BYTES:
        raise BadMessage(f"expected at most {MAX_FRAME_BYTES} bytes, got {len(frame)}")
    if frame[: len(MAGIC)] != MAGIC or len(frame) <= len(MAGIC):
        raise BadMessage("expected a message of configuration")
    if frame[len(MAGIC)] != VERSION:
        raise BadMessage(f"expected version {VERSION}, got {frame[len(MAGIC)]}")
    compressed = frame[len(MAGIC) + 1 :]
    try:
        size = zstandard.get_frame_parameters(compressed).content_size
        if size in (zstandard.CONTENTSIZE_UNKNOWN, zstandard.CONTENTSIZE_ERROR) or size > MAX_PLAIN_BYTES:
            raise BadMessage(f"expected at most {MAX_PLAIN_BYTES} bytes once decompressed")
        return _decompressor.decompress(compressed, allow_extra_data=False)
    except zstandard.ZstdError as error:
        raise BadMessage(str(error)) from None


def _message_to_wire(message: Message) -> WireMessage:
    match message:
        case Head():
            return _head_to_wire(message)
        case Deltas(revisions, last_hash):
            return WireDeltas(tuple(map(_revision_to_wire, revisions)), last_hash)
        case Entry():
            return _entry_to_wire(message)
        case SnapshotHeader(entry, limits, tenants, routes, parts):
            return WireSnapshotHeader(
                _entry_to_wire(entry), limits.names, limits.shares, tenants, routes, parts
            )
        case SnapshotPart(chain_hash, index, tenants_of, routes_of):
            return WireSnapshotPart(chain_hash, index, tenants_of, routes_of)
        case RequestDeltas(after, reason):
            return WireRequestDeltas(_head_to_wire(after), reason)
        case RequestSnapshot(reason):
            return WireRequestSnapshot(reason)


def _message_from_wire(wire: WireMessage) -> Message:
    match wire:
        case WireHead():
            return _head_from_wire(wire)
        case WireDeltas():
            return Deltas(tuple(map(_revision_from_wire, wire.revisions)), wire.last_hash)
        case WireEntry():
            return _entry_from_wire(wire)
        case WireSnapshotHeader():
            if len(wire.class_names) != len(wire.class_shares):
                raise BadMessage("expected as many shares as classes")
            limits = ClassLimits(wire.class_names, wire.class_shares)
            return SnapshotHeader(_entry_from_wire(wire.entry), limits, wire.tenants, wire.routes, wire.parts)
        case WireSnapshotPart():
            return SnapshotPart(wire.hash, wire.index, wire.tenants, wire.routes)
        case WireRequestDeltas():
            return RequestDeltas(_head_from_wire(wire.after), wire.reason)
        case WireRequestSnapshot():
            return RequestSnapshot(wire.reason)


def _head_to_wire(head: Head) -> WireHead:
    return WireHead(head.number, head.hash, _token_to_wire(head.token))


def _head_from_wire(wire: WireHead) -> Head:
    return Head(wire.number, wire.hash, _token_from_wire(wire.token))


def _token_to_wire(token: FencingToken) -> WireToken:
    return WireToken(token.number, token.holder, token.nonce)


def _token_from_wire(wire: WireToken) -> FencingToken:
    return FencingToken(wire.number, wire.holder, wire.nonce)


def _entry_to_wire(entry: Entry) -> WireEntry:
    digest = entry.digest.to_bytes(DIGEST_BYTES, "big")
    return WireEntry(_revision_to_wire(entry.revision), entry.previous_hash, digest, entry.hash)


def _entry_from_wire(wire: WireEntry) -> Entry:
    return Entry(
        _revision_from_wire(wire.revision), wire.previous_hash, int.from_bytes(wire.digest, "big"), wire.hash
    )


def _revision_to_wire(revision: Revision) -> WireRevision:
    draft = revision.draft
    return WireRevision(
        revision.number,
        _token_to_wire(revision.token),
        revision.unix_time_us,
        revision.refused,
        draft.change_id,
        draft.author,
        draft.reason,
        tuple(map(_change_to_wire, draft.changes)),
    )


def _revision_from_wire(wire: WireRevision) -> Revision:
    draft = Draft(wire.change_id, wire.author, wire.reason, tuple(map(_change_from_wire, wire.changes)))
    return Revision(wire.number, _token_from_wire(wire.token), wire.unix_time_us, draft, wire.refused)


def _change_to_wire(change: Change) -> WireChange:
    match change:
        case PutTenant(name, quota):
            return WirePutTenant(name, quota)
        case RemoveTenant(name):
            return WireRemoveTenant(name)
        case PutRoute(prefix, class_name):
            return WirePutRoute(prefix, class_name)
        case RemoveRoute(prefix):
            return WireRemoveRoute(prefix)
        case SetClassLimit(class_name, share):
            return WireSetClassLimit(class_name, share)


def _change_from_wire(wire: WireChange) -> Change:
    match wire:
        case WirePutTenant():
            return PutTenant(wire.name, wire.quota)
        case WireRemoveTenant():
            return RemoveTenant(wire.name)
        case WirePutRoute():
            return PutRoute(wire.prefix, wire.class_name)
        case WireRemoveRoute():
            return RemoveRoute(wire.prefix)
        case WireSetClassLimit():
            return SetClassLimit(wire.class_name, wire.share)
