"""Digests of claims and rendezvous hashing scores, which are the same in every process.

Python's built-in hashes must not be used for these, because they are salted per process.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Protocol


class ClaimLike(Protocol):
    """The attributes that a digest covers."""

    @property
    def name(self) -> str:
        """The member's name."""

    @property
    def incarnation(self) -> int:
        """The number that only the member itself increments."""

    @property
    def rank(self) -> tuple[object, int, int]:
        """Sort key of claims about the same name."""


def claim_digest(claim: ClaimLike) -> int:
    """64-bit digest of a claim. The digest of a table is the XOR of those of its claims, so that it can be
    updated incrementally."""
    text = f"{claim.name}\0{claim.rank}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def rendezvous_score(name: str, purpose: str) -> int:
    """64-bit score for rendezvous hashing (Thaler, Ravishankar 1998): the name with the highest score is
    chosen for the purpose."""
    return int.from_bytes(blake2b(f"{purpose}\0{name}".encode(), digest_size=8).digest(), "big")
