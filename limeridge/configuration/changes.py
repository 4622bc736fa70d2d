"""Typed changes of the configuration, what an author hands in, and the bytes by which both are hashed.

It owns the kinds of changes and their canonical bytes, which are the same in every process and release. It
must never judge whether a change may be made: `checks.py` does.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from hashlib import blake2b

CHANGES_MOST = 1_000  # in one revision
DRAFT_MOST = 1 << 19  # canonical bytes of one
AUTHOR_MOST = 256  # characters
REASON_MOST = 1_024
CHANGE_ID_MOST = 128


@dataclass(slots=True, frozen=True)
class PutTenant:
    """Add a tenant, or set the quota of one that is there."""

    name: str
    quota: float  # requests a second of the whole fleet; 0 for none


@dataclass(slots=True, frozen=True)
class RemoveTenant:
    name: str


@dataclass(slots=True, frozen=True)
class PutRoute:
    """Add a route, or lead one that is there to another class."""

    prefix: str
    class_name: str


@dataclass(slots=True, frozen=True)
class RemoveRoute:
    prefix: str


@dataclass(slots=True, frozen=True)
class SetClassLimit:
    """Set the share of an instance's capacity that is kept for a class, from 0 to 1."""

    class_name: str
    share: float


Change = PutTenant | RemoveTenant | PutRoute | RemoveRoute | SetClassLimit


@dataclass(slots=True, frozen=True)
class Draft:
    """What an author asks for; the change id tells a repeat of the same asking."""

    change_id: str
    author: str
    reason: str
    changes: tuple[Change, ...]


def packed(*fields: bytes) -> bytes:
    """Fields one behind the other, each with its length, so that no two lists give the same bytes."""
    return b"".join(b"%d:%b" % (len(field), field) for field in fields)


def text_bytes(text: str) -> bytes:
    return text.encode("utf-8", "surrogatepass")


def number_bytes(number: float) -> bytes:
    return struct.pack(">d", number + 0.0)  # so that minus zero is zero


def change_bytes(change: Change) -> bytes:
    match change:
        case PutTenant(name, quota):
            return packed(b"put-tenant", text_bytes(name), number_bytes(quota))
        case RemoveTenant(name):
            return packed(b"remove-tenant", text_bytes(name))
        case PutRoute(prefix, class_name):
            return packed(b"put-route", text_bytes(prefix), text_bytes(class_name))
        case RemoveRoute(prefix):
            return packed(b"remove-route", text_bytes(prefix))
        case SetClassLimit(class_name, share):
            return packed(b"set-class-limit", text_bytes(class_name), number_bytes(share))


def draft_bytes(draft: Draft) -> bytes:
    return packed(
        text_bytes(draft.change_id),
        text_bytes(draft.author),
        text_bytes(draft.reason),
        *map(change_bytes, draft.changes),
    )


def fingerprint_of(draft: Draft) -> bytes:
    """Tells whether a repeated asking asks for the same."""
    return blake2b(draft_bytes(draft), digest_size=16).digest()
