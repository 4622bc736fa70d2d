"""What an instance holds of all members: claims, their order, the table they merge into, and what is still
to be told of it.

It owns the order of claims, the merge and the queue of news. It must never look at a clock, open a socket or
draw: times are handed in, whole microseconds of one clock that never steps back.

A claim is about one life of a name. Claims of one name are ordered by life, then by the number that the
member itself raises (incarnation), then by state; the table keeps the greatest. Merging is thus idempotent,
commutative and associative: members that heard the same claims hold the same table, whatever the order.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from heapq import nsmallest

from msgspec import Struct
from msgspec.structs import replace

from limeridge.peers.digest import digest_of

Address = tuple[str, int]  # host and port
RETRANSMIT_FACTOR = 3  # a claim is told this many times the logarithm of the members (SWIM, section 4.1)


def utf8_length(text: str) -> int:
    """Length in UTF-8."""
    return len(text) if text.isascii() else len(text.encode())


class State(IntEnum):
    """In the order in which one overrules the other at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # held dead by those who said so
    LEFT = 3  # told by itself: no later word of this life counts


class Life(Struct, frozen=True, array_like=True, order=True):
    """One process under a name. `number` is Unix time in microseconds at its start, or one more than the
    highest that it heard of under its name, so that time stepping back does not make it old; `nonce` is drawn
    and tells two apart that hold the same number."""

    number: int
    nonce: int


class Claim(Struct, frozen=True, array_like=True):
    """What is said of one life of a name."""

    name: str
    life: Life
    incarnation: int
    state: State
    host: str = ""  # where the others reach it
    port: int = 0
    zone: str = ""
    version: str = ""

    @property
    def key(self) -> str:
        """Of one life: a restart under the same name is another holder of shares."""
        return f"{self.name}/{self.life.nonce:x}"

    @property
    def address(self) -> Address:
        """Where the others reach it."""
        return self.host, self.port

    @property
    def text_bytes(self) -> int:
        """Bytes of them, for its size on the wire."""
        return (
            utf8_length(self.name)
            + utf8_length(self.host)
            + utf8_length(self.zone)
            + utf8_length(self.version)
        )

    @property
    def rank(self) -> tuple[Life, int, int]:
        """LEFT is above every incarnation of its life."""
        left = self.state is State.LEFT
        return self.life, (1 << 62) if left else self.incarnation, int(self.state)

    def supersedes(self, other: Claim | None) -> bool:
        """Whether it takes the place of `other`, a claim under the same name, or of none."""
        return other is None or self.rank > other.rank


@dataclass(slots=True, frozen=True)
class Change:
    """The table took `new` in place of `old`."""

    old: Claim | None
    new: Claim


@dataclass(slots=True)
class QueuedUpdate:
    """A claim on its way round: how often it was told from here."""

    claim: Claim
    told: int = 0


@dataclass
class Members:
    """The table of one instance, its own claim among them."""

    own: Claim
    table: dict[str, Claim] = field(default_factory=dict)
    since: dict[str, int] = field(default_factory=dict)  # when the state of each last changed here
    news: dict[str, QueuedUpdate] = field(default_factory=dict)
    conflict: Claim | None = None  # another live process under our name, as last heard
    _digest: int = 0

    def __post_init__(self) -> None:
        self.table[self.own.name] = self.own
        self.since[self.own.name] = 0
        self.news[self.own.name] = QueuedUpdate(self.own)
        self._digest ^= digest_of(self.own)

    # ---- merging

    def merge(self, claim: Claim, now: int) -> Change | None:
        """Takes a claim that was heard; None where it says nothing new. What is said of ourselves is never
        taken: `answer_to` tells what we say to it."""
        if claim.name == self.own.name:
            return None
        old = self.table.get(claim.name)
        if not claim.supersedes(old):
            return None
        self._put(claim, now)
        return Change(old, claim)

    def reconcile_own_claim(self, claim: Claim, now: int) -> Change | None:
        """A claim under our own name. A suspicion of this life is refuted by a higher incarnation. A life
        that seems newer than ours and had our address is over, for we hold that address: our number is
        raised above its. One at another address may live: a conflict, until somebody holds it gone."""
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
        """Whether another live process under our name has the better claim to it. Both decide alike: the
        greater life has the name."""
        return self.conflict is not None and self.conflict.life > self.own.life

    def replace_own_claim(self, claim: Claim, now: int) -> Change:
        """What we say of ourselves from now on; told anew."""
        old, self.own = self.own, claim
        self._put(claim, now)
        return Change(old, claim)

    def _put(self, claim: Claim, now: int) -> None:
        old = self.table.get(claim.name)
        if old is not None:
            self._digest ^= digest_of(old)
        if old is None or old.state is not claim.state or old.life != claim.life:
            self.since[claim.name] = now
        self._digest ^= digest_of(claim)
        self.table[claim.name] = claim
        self.news[claim.name] = QueuedUpdate(claim)

    def remove_expired(self, now: int, after: int) -> list[Claim]:
        """Drops those who have been gone for `after` microseconds. A life that comes up again later, out of
        some table that kept it, is news of one who is gone and hurts nobody."""
        old = [
            claim
            for claim in self.table.values()
            if claim.state >= State.DEAD
            and claim.name != self.own.name
            and now - self.since[claim.name] >= after
        ]
        for claim in old:
            del self.table[claim.name], self.since[claim.name]
            self.news.pop(claim.name, None)
            self._digest ^= digest_of(claim)
        return old

    # ---- reading

    @property
    def leaving(self) -> bool:
        """Whether this member has told the others that it leaves: it never takes that back."""
        return self.own.state is State.LEFT

    @property
    def digest(self) -> int:
        """64 bits over the whole table, whatever the order in which it came about."""
        return self._digest

    def get(self, name: str) -> Claim | None:
        """What is held of a name, ourselves included; None where nothing is."""
        return self.table.get(name)

    def others(self, *states: State) -> Iterator[Claim]:
        """Without ourselves."""
        for claim in self.table.values():
            if claim.state in states and claim.name != self.own.name:
                yield claim

    def present(self) -> list[Claim]:
        """Those held to be there, suspects among them, and ourselves."""
        return [claim for claim in self.table.values() if claim.state <= State.SUSPECT]

    # ---- telling

    def transmission_limit(self) -> int:
        """How often a change is told by each member, with as many members as are held now."""
        return RETRANSMIT_FACTOR * max(1, len(self.table).bit_length())

    def select_updates(self, room: int, size: int, first: Iterable[str] = ()) -> list[Claim]:
        """Up to `room` bytes of news at `size` and its texts' lengths each, those of `first` ahead, then the
        least told; each counts as told."""
        ahead = [name for name in first if name in self.table]
        most = room // size + 1  # no more can fit: at a start there are as many news as members
        rest = nsmallest(
            most,
            (news for name, news in self.news.items() if name not in ahead),
            key=lambda news: (news.told, news.claim.name),
        )
        chosen: list[Claim] = []
        for claim in [*(self.table[name] for name in ahead), *(news.claim for news in rest)]:
            takes = size + claim.text_bytes
            if takes > room:
                break
            room -= takes
            chosen.append(claim)
            news = self.news.get(claim.name)
            if news is not None:
                news.told += 1
                if news.told >= self.transmission_limit():
                    del self.news[claim.name]
        return chosen
