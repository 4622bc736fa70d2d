"""The bytes of what publishers and subscribers tell each other: MessagePack, compressed, bounded, versioned.

It owns the frame (magic, version, zstd) and the shape of each message on the wire. It must never hand on what
is too large, of another version or of another shape: `decode` raises BadMessage, and nothing else, for any
bytes. Whether a message fits the chain is not judged here. Of this package it alone needs msgspec and
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
from limeridge.configuration.snapshot import PART_ENTRIES, SnapshotHeader, SnapshotPart
from limeridge.configuration.subscriber import AskDeltas, AskSnapshot, Deltas, Why, deltas_of
from limeridge.configuration.tables import DIGEST_BYTES, ClassLimits
from limeridge.configuration.tenants import MAX_NAME_CHARACTERS, MAX_QUOTA

MAGIC = b"LRC"
VERSION = 1
FRAME_MOST = 1 << 21  # bytes of a message as it is sent
PLAIN_MOST = 1 << 23  # bytes of it once it is decompressed
REVISIONS_MOST = 200  # in one message
LEVEL = 3

Natural = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Time = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
Hash = Annotated[bytes, Meta(min_length=HASH_BYTES, max_length=HASH_BYTES)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Prefix = Annotated[str, Meta(min_length=1, max_length=MAX_PREFIX_CHARACTERS)]
Quota = Annotated[float, Meta(ge=0, le=MAX_QUOTA)]
Share = Annotated[float, Meta(ge=0, le=1)]


class BadMessage(Exception):
    """The bytes are no message of this version, or go beyond a bound."""


class _Wire(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A shape on the wire: an array, its fields in this order, behind a tag where there are several kinds."""


class WirePutTenant(_Wire, tag=1, frozen=True):
    name: Name
    quota: Quota


class WireRemoveTenant(_Wire, tag=2, frozen=True):
    name: Name


class WirePutRoute(_Wire, tag=3, frozen=True):
    prefix: Prefix
    class_name: Name


class WireRemoveRoute(_Wire, tag=4, frozen=True):
    prefix: Prefix


class WireSetClassLimit(_Wire, tag=5, frozen=True):
    class_name: Name
    share: Share


WireChange = WirePutTenant | WireRemoveTenant | WirePutRoute | WireRemoveRoute | WireSetClassLimit


class WireToken(_Wire, frozen=True):
    number: Natural
    holder: Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
    nonce: Natural


class WireRevision(_Wire, frozen=True):
    number: Natural
    token: WireToken
    time: Time
    refused: bool
    change_id: Annotated[str, Meta(max_length=MAX_CHANGE_ID_CHARACTERS)]
    author: Annotated[str, Meta(max_length=MAX_AUTHOR_CHARACTERS)]
    reason: Annotated[str, Meta(max_length=MAX_REASON_CHARACTERS)]
    changes: Annotated[tuple[WireChange, ...], Meta(max_length=MAX_CHANGES)]


class WireHead(_Wire, tag=1, frozen=True):
    number: Natural
    hash: Hash
    token: WireToken


class WireDeltas(_Wire, tag=2, frozen=True):
    revisions: Annotated[tuple[WireRevision, ...], Meta(min_length=1, max_length=REVISIONS_MOST)]
    last_hash: Hash


class WireEntry(_Wire, tag=3, frozen=True):
    revision: WireRevision
    previous: Hash
    digest: Digest
    hash: Hash


class WireSnapshotHeader(_Wire, tag=4, frozen=True):
    entry: WireEntry
    class_names: Annotated[tuple[Name, ...], Meta(max_length=MAX_CLASSES)]
    class_shares: Annotated[tuple[Share, ...], Meta(max_length=MAX_CLASSES)]
    tenants: Natural
    routes: Natural
    parts: Natural


class WireSnapshotPart(_Wire, tag=5, frozen=True):
    hash: Hash
    index: Natural
    tenants: Annotated[tuple[tuple[Name, Quota], ...], Meta(max_length=PART_ENTRIES)]
    routes: Annotated[tuple[tuple[Prefix, Name], ...], Meta(max_length=PART_ENTRIES)]


class WireAskDeltas(_Wire, tag=6, frozen=True):
    after: WireHead
    why: Why


class WireAskSnapshot(_Wire, tag=7, frozen=True):
    why: Why


WireMessage = (
    WireHead
    | WireDeltas
    | WireEntry
    | WireSnapshotHeader
    | WireSnapshotPart
    | WireAskDeltas
    | WireAskSnapshot
)
Message = Head | Deltas | Entry | SnapshotHeader | SnapshotPart | AskDeltas | AskSnapshot

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[WireMessage] = msgspec.msgpack.Decoder(WireMessage)
_compressor = zstandard.ZstdCompressor(level=LEVEL)
_decompressor = zstandard.ZstdDecompressor(max_window_size=PLAIN_MOST)


def encode(message: Message) -> bytes:
    """Raises BadMessage where the message can't be sent: too large, or with a text that is no Unicode."""
    try:
        plain = _encoder.encode(_wire(message))
    except (UnicodeEncodeError, OverflowError) as error:
        raise BadMessage(str(error)) from None
    frame = MAGIC + bytes([VERSION]) + _compressor.compress(plain)
    if len(plain) > PLAIN_MOST or len(frame) > FRAME_MOST:
        raise BadMessage(f"expected at most {FRAME_MOST} bytes, {PLAIN_MOST} once decompressed")
    return frame


def encode_entries(entries: Sequence[Entry]) -> Iterator[bytes]:
    """Entries that follow each other as messages of deltas, each within the bounds."""
    batch: list[Entry] = []
    size = 0
    for entry in entries:
        batch.append(entry)
        size += len(encode_draft(entry.revision.draft))
        if len(batch) == REVISIONS_MOST or size >= MAX_DRAFT_BYTES:
            yield encode(deltas_of(batch))
            batch, size = [], 0
    if batch:
        yield encode(deltas_of(batch))


def decode(frame: bytes) -> Message:
    """Raises BadMessage."""
    plain = _decompressed(frame)
    try:
        return _message(_decoder.decode(plain))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadMessage(str(error)) from None


def _decompressed(frame: bytes) -> bytes:
    if len(frame) > FRAME_MOST:
        raise BadMessage(f"expected at most {FRAME_MOST} bytes, got {len(frame)}")
    if frame[: len(MAGIC)] != MAGIC or len(frame) <= len(MAGIC):
        raise BadMessage("expected a message of configuration")
    if frame[len(MAGIC)] != VERSION:
        raise BadMessage(f"expected version {VERSION}, got {frame[len(MAGIC)]}")
    compressed = frame[len(MAGIC) + 1 :]
    try:
        size = zstandard.get_frame_parameters(compressed).content_size
        if size in (zstandard.CONTENTSIZE_UNKNOWN, zstandard.CONTENTSIZE_ERROR) or size > PLAIN_MOST:
            raise BadMessage(f"expected at most {PLAIN_MOST} bytes once decompressed")
        return _decompressor.decompress(compressed, allow_extra_data=False)
    except zstandard.ZstdError as error:
        raise BadMessage(str(error)) from None


def _wire(message: Message) -> WireMessage:
    match message:
        case Head():
            return _wire_head(message)
        case Deltas(revisions, last_hash):
            return WireDeltas(tuple(map(_wire_revision, revisions)), last_hash)
        case Entry():
            return _wire_entry(message)
        case SnapshotHeader(entry, limits, tenants, routes, parts):
            return WireSnapshotHeader(_wire_entry(entry), limits.names, limits.shares, tenants, routes, parts)
        case SnapshotPart(chain_hash, index, tenants_of, routes_of):
            return WireSnapshotPart(chain_hash, index, tenants_of, routes_of)
        case AskDeltas(after, why):
            return WireAskDeltas(_wire_head(after), why)
        case AskSnapshot(why):
            return WireAskSnapshot(why)


def _message(wire: WireMessage) -> Message:
    match wire:
        case WireHead():
            return _head(wire)
        case WireDeltas():
            return Deltas(tuple(map(_revision, wire.revisions)), wire.last_hash)
        case WireEntry():
            return _entry(wire)
        case WireSnapshotHeader():
            if len(wire.class_names) != len(wire.class_shares):
                raise BadMessage("expected as many shares as classes")
            limits = ClassLimits(wire.class_names, wire.class_shares)
            return SnapshotHeader(_entry(wire.entry), limits, wire.tenants, wire.routes, wire.parts)
        case WireSnapshotPart():
            return SnapshotPart(wire.hash, wire.index, wire.tenants, wire.routes)
        case WireAskDeltas():
            return AskDeltas(_head(wire.after), wire.why)
        case WireAskSnapshot():
            return AskSnapshot(wire.why)


def _wire_head(head: Head) -> WireHead:
    return WireHead(head.number, head.hash, _wire_token(head.token))


def _head(wire: WireHead) -> Head:
    return Head(wire.number, wire.hash, _token(wire.token))


def _wire_token(token: FencingToken) -> WireToken:
    return WireToken(token.number, token.holder, token.nonce)


def _token(wire: WireToken) -> FencingToken:
    return FencingToken(wire.number, wire.holder, wire.nonce)


def _wire_entry(entry: Entry) -> WireEntry:
    digest = entry.digest.to_bytes(DIGEST_BYTES, "big")
    return WireEntry(_wire_revision(entry.revision), entry.previous, digest, entry.hash)


def _entry(wire: WireEntry) -> Entry:
    return Entry(_revision(wire.revision), wire.previous, int.from_bytes(wire.digest, "big"), wire.hash)


def _wire_revision(revision: Revision) -> WireRevision:
    draft = revision.draft
    return WireRevision(
        revision.number,
        _wire_token(revision.token),
        revision.time,
        revision.refused,
        draft.change_id,
        draft.author,
        draft.reason,
        tuple(map(_wire_change, draft.changes)),
    )


def _revision(wire: WireRevision) -> Revision:
    draft = Draft(wire.change_id, wire.author, wire.reason, tuple(map(_change, wire.changes)))
    return Revision(wire.number, _token(wire.token), wire.time, draft, wire.refused)


def _wire_change(change: Change) -> WireChange:
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


def _change(wire: WireChange) -> Change:
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
