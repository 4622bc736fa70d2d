"""Typed configuration changes, the drafts that authors submit, and their canonical encoding for hashing.

The canonical encoding must be the same in every process and release. Whether a change is allowed is not
decided here but in `checks.py`.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from hashlib import blake2b

MAX_CHANGES = 1_000  # in one revision
MAX_DRAFT_BYTES = 1 << 19  # of its canonical encoding
MAX_AUTHOR_CHARACTERS = 256
MAX_REASON_CHARACTERS = 1_024
MAX_CHANGE_ID_CHARACTERS = 128


@dataclass(slots=True, frozen=True)
class PutTenant:
    """Adds a tenant, or sets the quota of an existing one."""

    name: str
    quota: float  # requests per second of the whole fleet; 0 for none


@dataclass(slots=True, frozen=True)
class RemoveTenant:
    name: str


@dataclass(slots=True, frozen=True)
class PutRoute:
    """Adds a route, or changes the class of an existing one."""

    prefix: str
    class_name: str


@dataclass(slots=True, frozen=True)
class RemoveRoute:
    prefix: str


@dataclass(slots=True, frozen=True)
class SetClassLimit:
    """Sets the share of an instance's capacity that is reserved for a class, from 0 to 1."""

    class_name: str
    share: float


Change = PutTenant | RemoveTenant | PutRoute | RemoveRoute | SetClassLimit


@dataclass(slots=True, frozen=True)
class Draft:
    """The changes that an author submits as one; the change id identifies a repeated submission."""

    change_id: str
    author: str
    reason: str
    changes: tuple[Change, ...]


def encode_fields(*fields: bytes) -> bytes:
    """Concatenates fields, each prefixed by its length, so that no two lists give the same bytes."""
    return b"".join(b"%d:%b" % (len(field), field) for field in fields)


def encode_text(text: str) -> bytes:
    return text.encode("utf-8", "surrogatepass")


def encode_number(number: float) -> bytes:
    return struct.pack(">d", number + 0.0)  # adding 0.0 turns -0.0 into 0.0


def encode_change(change: Change) -> bytes:
    match change:
        case PutTenant(name, quota):
            return encode_fields(b"put-tenant", encode_text(name), encode_number(quota))
        case RemoveTenant(name):
            return encode_fields(b"remove-tenant", encode_text(name))
        case PutRoute(prefix, class_name):
            return encode_fields(b"put-route", encode_text(prefix), encode_text(class_name))
        case RemoveRoute(prefix):
            return encode_fields(b"remove-route", encode_text(prefix))
        case SetClassLimit(class_name, share):
            return encode_fields(b"set-class-limit", encode_text(class_name), encode_number(share))


def encode_draft(draft: Draft) -> bytes:
    return encode_fields(
        encode_text(draft.change_id),
        encode_text(draft.author),
        encode_text(draft.reason),
        *map(encode_change, draft.changes),
    )


def draft_fingerprint(draft: Draft) -> bytes:
    """Returns a hash that tells whether a repeated submission is identical."""
    return blake2b(encode_draft(draft), digest_size=16).digest()
