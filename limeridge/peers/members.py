"""The membership table of one instance: claims about members, how they are ordered and merged, and the queue
of updates that are still to be gossiped.

This module does no I/O, reads no clock and draws no random numbers. Callers pass in times as whole
microseconds of one monotonic clock.

A claim describes one life of a name, that is, one process that uses it. Claims about the same name are
ordered by life, then by incarnation (a number that only the member itself increments), then by state; the
table keeps the greatest. Merging is therefore idempotent, commutative and associative: members that received
the same claims hold the same table, whatever the order of arrival.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from heapq import nsmallest

from msgspec import Struct
from msgspec.structs import replace

from limeridge.peers.digest import claim_digest

Address = tuple[str, int]  # host and port
LEFT_RANK = 1 << 62  # added to the incarnation of a LEFT claim; above every incarnation
RETRANSMIT_FACTOR = 3  # times log2 of the table size: how often each claim is sent (SWIM, section 4.1)


def utf8_length(text: str) -> int:
    """Number of bytes of the text in UTF-8."""
    return len(text) if text.isascii() else len(text.encode())


class State(IntEnum):
    """At the same incarnation, a higher state supersedes a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # declared by other members
    LEFT = 3  # announced by the member itself; final for this life


class Life(Struct, frozen=True, array_like=True, order=True):
    """Identifies one process that uses a name. `number` is its start as Unix time in microseconds, or one
    more than the highest number that it has seen under its name, so that a backward clock step does not make
    it look older than its predecessor. `nonce` is random and separates processes with equal numbers."""

    number: int
    nonce: int


class Claim(Struct, frozen=True, array_like=True):
    """A statement about one life of a name, as it is gossiped."""

    name: str
    life: Life
    incarnation: int
    state: State
    host: str = ""  # with `port`: the address at which other members reach it
    port: int = 0
    zone: str = ""
    version: str = ""

    @property
    def key(self) -> str:
        """Identifies the life: a process restarted under the same name is another holder of shares."""
        return f"{self.name}/{self.life.nonce:x}"

    @property
    def address(self) -> Address:
        """The address at which other members reach it."""
        return self.host, self.port

    @property
    def text_bytes(self) -> int:
        """Total length of the text fields in bytes, the variable part of the claim's size on the wire."""
        return (
            utf8_length(self.name)
            + utf8_length(self.host)
            + utf8_length(self.zone)
            + utf8_length(self.version)
        )

    @property
    def rank(self) -> tuple[Life, int, int]:
        """Sort key of claims about the same name. LEFT ranks above every incarnation of its life in another
        state; of two LEFT claims of a life the one of the higher incarnation ranks first, so that claims that
        differ never have the same rank, nor tables that differ the same digest."""
        left = self.state is State.LEFT
        return self.life, self.incarnation + LEFT_RANK if left else self.incarnation, int(self.state)

    def supersedes(self, other: Claim | None) -> bool:
        """Whether this claim replaces `other`, a claim about the same name, or the absence of one."""
        return other is None or self.rank > other.rank


@dataclass(slots=True, frozen=True)
class Change:
    """A table update: `new` replaced `old`."""

    old: Claim | None
    new: Claim


@dataclass(slots=True)
class QueuedUpdate:
    """A claim queued for gossip."""

    claim: Claim
    told: int = 0  # how often it has been sent from here


@dataclass
class Members:
    """The membership table of one instance, including its own claim."""

    own: Claim
    table: dict[str, Claim] = field(default_factory=dict)
    since: dict[str, int] = field(default_factory=dict)  # by name: when the state or life last changed here
    news: dict[str, QueuedUpdate] = field(default_factory=dict)
    conflict: Claim | None = None  # the latest claim of another live process that uses our name
    _digest: int = 0

    def __post_init__(self) -> None:
        self.table[self.own.name] = self.own
        self.since[self.own.name] = 0
        self.news[self.own.name] = QueuedUpdate(self.own)
        self._digest ^= claim_digest(self.own)

    # ---- merging

    def merge(self, claim: Claim, now: int) -> Change | None:
        """Applies a received claim about another member; returns None if it changes nothing. Claims about
        our own name are ignored here, see `reconcile_own_claim`."""
        if claim.name == self.own.name:
            return None
        old = self.table.get(claim.name)
        if not claim.supersedes(old):
            return None
        self._put(claim, now)
        return Change(old, claim)

    def reconcile_own_claim(self, claim: Claim, now: int) -> Change | None:
        """Handles a received claim about our own name; returns None if our claim stays as it is.

        A suspicion of this life is refuted by a higher incarnation. A life that looks newer than ours but had
        our address must be over, since we are bound to that address: our life number is raised above it. A
        life at another address may still be running and is recorded as a conflict until it is reported dead
        or gone.
        """
        if claim.name != self.own.name:
            return None
        old = self.own
        if claim.life == old.life:
            if old.state is State.LEFT or claim.state is State.ALIVE or claim.incarnation < old.incarnation:
                return None
            return self.replace_own_claim(replace(old, incarnation=claim.incarnation + 1), now)
        elsewhere = (claim.host, claim.port) != (old.host, old.port)
        if elsewhere and claim.state in (State.ALIVE, State.SUSPECT):
            if self.conflict is None or claim.supersedes(self.conflict):
                self.conflict = claim
            return None
        if self.conflict is not None and claim.supersedes(self.conflict):
            self.conflict = None
        if claim.life > old.life and old.state is not State.LEFT:
            raised = Life(claim.life.number + 1, old.life.nonce)
            return self.replace_own_claim(replace(old, life=raised, incarnation=0), now)
        return None

    @property
    def must_yield_name(self) -> bool:
        """Whether another live process has precedence for our name. Both processes apply the same rule: the
        greater life keeps the name."""
        return self.conflict is not None and self.conflict.life > self.own.life

    def replace_own_claim(self, claim: Claim, now: int) -> Change:
        """Replaces our own claim and queues it for gossip."""
        old, self.own = self.own, claim
        self._put(claim, now)
        return Change(old, claim)

    def _put(self, claim: Claim, now: int) -> None:
        old = self.table.get(claim.name)
        if old is not None:
            self._digest ^= claim_digest(old)
        if old is None or old.state is not claim.state or old.life != claim.life:
            self.since[claim.name] = now
        self._digest ^= claim_digest(claim)
        self.table[claim.name] = claim
        self.news[claim.name] = QueuedUpdate(claim)

    def remove_expired(self, now: int, after: int) -> list[Claim]:
        """Removes members that have been DEAD or LEFT for `after` microseconds. A removed claim may come back
        from another member's table; that is harmless, since it still says that the member is gone."""
        expired = [
            claim
            for claim in self.table.values()
            if claim.state >= State.DEAD
            and claim.name != self.own.name
            and now - self.since[claim.name] >= after
        ]
        for claim in expired:
            del self.table[claim.name], self.since[claim.name]
            self.news.pop(claim.name, None)
            self._digest ^= claim_digest(claim)
        return expired

    # ---- reading

    @property
    def leaving(self) -> bool:
        """Whether this member has announced that it leaves, which is irrevocable."""
        return self.own.state is State.LEFT

    @property
    def digest(self) -> int:
        """64-bit digest of the whole table, independent of the order of updates."""
        return self._digest

    def get(self, name: str) -> Claim | None:
        """The claim about a name, our own included, or None."""
        return self.table.get(name)

    def others(self, *states: State) -> Iterator[Claim]:
        """Claims about other members in one of these states."""
        for claim in self.table.values():
            if claim.state in states and claim.name != self.own.name:
                yield claim

    def present(self) -> list[Claim]:
        """Claims of all members that are alive or suspect, our own included."""
        return [claim for claim in self.table.values() if claim.state <= State.SUSPECT]

    # ---- gossip

    def transmission_limit(self) -> int:
        """How often this member sends each update, given the current size of the table."""
        return RETRANSMIT_FACTOR * max(1, len(self.table).bit_length())

    def select_updates(
        self, available_bytes: int, claim_bytes: int, priority_names: Iterable[str] = ()
    ) -> list[Claim]:
        """Selects claims to send, within `available_bytes`, and counts each as sent once.

        A claim takes `claim_bytes` plus its text fields. The claims about `priority_names` come first,
        followed by the queued updates that have been sent least often.
        """
        priority = [name for name in priority_names if name in self.table]
        # Bounds the selection: after a start, as many updates are queued as there are members.
        max_claims = available_bytes // claim_bytes + 1
        queued = nsmallest(
            max_claims,
            (update for name, update in self.news.items() if name not in priority),
            key=lambda update: (update.told, update.claim.name),
        )
        selected: list[Claim] = []
        for claim in [*(self.table[name] for name in priority), *(update.claim for update in queued)]:
            size = claim_bytes + claim.text_bytes
            if size > available_bytes:
                break
            available_bytes -= size
            selected.append(claim)
            update = self.news.get(claim.name)
            if update is not None:
                update.told += 1
                if update.told >= self.transmission_limit():
                    del self.news[claim.name]
        return selected
