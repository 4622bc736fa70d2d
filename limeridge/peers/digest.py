"""Digests of claims and of sets of names, the same in every process.

It owns the bytes that go into a digest. It must never use Python's own hashes, which differ from one
process to the next.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Protocol


class ClaimLike(Protocol):
    """What a digest is made of."""

    @property
    def name(self) -> str:
        """The member's name."""

    @property
    def incarnation(self) -> int:
        """The number that the member itself raises."""

    @property
    def rank(self) -> tuple[object, int, int]:
        """Its place in the order of claims under the same name."""


def claim_digest(claim: ClaimLike) -> int:
    """64 bits; the digest of a table is the exclusive or of its claims', so that a change costs one of
    them."""
    text = f"{claim.name}\0{claim.rank}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def rendezvous_score(name: str, purpose: str) -> int:
    """64 bits for rendezvous hashing (Thaler, Ravishankar 1998): the highest score has the purpose."""
    return int.from_bytes(blake2b(f"{purpose}\0{name}".encode(), digest_size=8).digest(), "big")
