"""When an instance asks for a duty, renews it, hands it on or gives it up.

It owns the order in which instances go for a duty, the waits of those that were refused and the reasons for
giving it up. It must never count votes (a tenure does), look at a clock or draw but from the chance handed
in.

Each instance ranks all that are there by rendezvous hashing (Thaler, Ravishankar 1998) of the duty's name:
the first asks at once when the duty seems free, the others later by their rank, so that there is mostly one
asking. Two that ask at a time and split the voters give back what they got and wait for a time drawn evenly
up to a bound that doubles. A duty does not flap back to the first of the ranking: it is handed on only
after that one has been there without a break for `steady`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from limeridge.peers.digest import rendezvous_score

RENEW = 3  # askings within a lease
RANKS = 4  # ranks that wait longer one after the other; all behind them wait alike, and draw


@dataclass(slots=True, frozen=True)
class Waits:
    """Times in microseconds."""

    step: int = 200_000  # between the askings of one rank and the next
    answer: int = 400_000  # for the answers to one asking
    longest: int = 5_000_000  # of the waits after a refusal
    steady: int = 30_000_000  # that a better placed one must have been there before it is handed the duty


@dataclass(slots=True)
class Seeker:
    """One instance's view of one duty."""

    duty: str
    own: str
    waits: Waits
    lease: int
    chance: random.Random
    refusals: int = 0
    next_at: int = 0  # before this we do not ask
    asked_at: int = -1  # the asking in hand
    renewed_at: int = 0
    free_since: int = -1  # since when nobody is known to hold it
    better_since: dict[str, int] = field(default_factory=dict)

    def ranked(self, present: Sequence[str]) -> list[str]:
        """The names in the order in which they ask for this duty; the same at all members."""
        return sorted(present, key=lambda name: (-rendezvous_score(name, f"duty {self.duty}"), name))

    def rank(self, present: Sequence[str]) -> int:
        """0 for the first; those that are not there come last."""
        ranked = self.ranked(present)
        return ranked.index(self.own) if self.own in ranked else len(ranked)

    # ---- asking

    def sees(self, held: bool, now: int) -> None:
        """Whether somebody is known to hold the duty now, ourselves included."""
        if held:
            self.free_since = -1
        elif self.free_since < 0:
            self.free_since = now

    def asks(self, present: Sequence[str], now: int) -> bool:
        """Whether to begin an asking now."""
        if self.free_since < 0 or self.asked_at >= 0 or now < self.next_at:
            return False
        rank = min(self.rank(present), RANKS)
        return now >= self.free_since + rank * self.waits.step

    def began(self, now: int) -> None:
        """Notes that an asking began at `now`."""
        self.asked_at = self.renewed_at = now

    def had(self) -> None:
        """The asking in hand was granted."""
        self.refusals, self.asked_at = 0, -1

    def failed(self, now: int, left: int = 0) -> None:
        """It was refused, or nobody answered in time; `left`: until the promise that was in the way
        lapses."""
        bound = min(self.waits.longest, self.waits.step << min(self.refusals, 10))
        self.refusals += 1
        self.asked_at = -1
        self.next_at = now + min(left, self.lease) + max(1, int(self.chance.uniform(0, bound)))

    def late(self, now: int) -> bool:
        """Answers to the asking in hand are waited for no longer."""
        return self.asked_at >= 0 and now >= self.asked_at + self.waits.answer

    # ---- having

    def renews(self, now: int) -> bool:
        """Whether the lease is to be renewed now; True counts as having begun to."""
        if now < self.renewed_at + self.lease // RENEW:
            return False
        self.renewed_at = now
        return True

    def successor(self, present: Sequence[str], now: int) -> str:
        """Who is better placed and has been there long enough; empty where nobody is."""
        ranked = self.ranked(present)
        better = ranked[: ranked.index(self.own)] if self.own in ranked else ranked
        self.better_since = {name: self.better_since.get(name, now) for name in better}
        steady = [name for name in better if now - self.better_since[name] >= self.waits.steady]
        if not steady:
            return ""
        # Where that one can't take it and it comes back to us, it is not offered again before as long.
        self.better_since.clear()
        return steady[0]

    def heir(self, present: Sequence[str]) -> str:
        """Whom to hand it to where we must not keep it: the first of the others."""
        return next((name for name in self.ranked(present) if name != self.own), "")

    def wakes_at(self, present: Sequence[str], holds: bool, now: int) -> int:
        """When this duty is to be looked at next, microseconds; `holds` where we hold it."""
        if holds:
            return self.renewed_at + self.lease // RENEW
        if self.asked_at >= 0:
            return self.asked_at + self.waits.answer
        if self.free_since < 0:
            return now + self.lease // RENEW
        rank = min(self.rank(present), RANKS)
        return max(self.next_at, self.free_since + rank * self.waits.step)
