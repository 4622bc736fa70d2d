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

from limeridge.peers.digest import score_of

RENEWALS_PER_LEASE = 3  # askings within a lease
MAX_DELAYED_RANK = 4  # ranks that wait longer one after the other; all behind them wait alike, and draw


@dataclass(slots=True, frozen=True)
class CandidateTiming:
    """Times in microseconds."""

    rank_delay: int = 200_000  # between the askings of one rank and the next
    answer_timeout: int = 400_000  # for the answers to one asking
    max_backoff: int = 5_000_000  # of the waits after a refusal
    min_presence: int = (
        30_000_000  # that a better placed one must have been there before it is handed the duty
    )


@dataclass(slots=True)
class Candidate:
    """One instance's view of one duty."""

    duty: str
    own: str
    timing: CandidateTiming
    lease: int
    rng: random.Random
    refusals: int = 0
    next_request_at: int = 0  # before this we do not ask
    requested_at: int = -1  # the asking in hand
    renewed_at: int = 0
    vacant_since: int = -1  # since when nobody is known to hold it
    better_since: dict[str, int] = field(default_factory=dict)

    def ranked(self, present: Sequence[str]) -> list[str]:
        """The names in the order in which they ask for this duty; the same at all members."""
        return sorted(present, key=lambda name: (-score_of(name, f"duty {self.duty}"), name))

    def rank(self, present: Sequence[str]) -> int:
        """0 for the first; those that are not there come last."""
        ranked = self.ranked(present)
        return ranked.index(self.own) if self.own in ranked else len(ranked)

    # ---- asking

    def observe_holder(self, held: bool, now: int) -> None:
        """Whether somebody is known to hold the duty now, ourselves included."""
        if held:
            self.vacant_since = -1
        elif self.vacant_since < 0:
            self.vacant_since = now

    def should_request(self, present: Sequence[str], now: int) -> bool:
        """Whether to begin an asking now."""
        if self.vacant_since < 0 or self.requested_at >= 0 or now < self.next_request_at:
            return False
        rank = min(self.rank(present), MAX_DELAYED_RANK)
        return now >= self.vacant_since + rank * self.timing.rank_delay

    def record_request(self, now: int) -> None:
        """Notes that an asking began at `now`."""
        self.requested_at = self.renewed_at = now

    def record_grant(self) -> None:
        """The asking in hand was granted."""
        self.refusals, self.requested_at = 0, -1

    def back_off(self, now: int, left: int = 0) -> None:
        """It was refused, or nobody answered in time; `left`: until the promise that was in the way
        lapses."""
        bound = min(self.timing.max_backoff, self.timing.rank_delay << min(self.refusals, 10))
        self.refusals += 1
        self.requested_at = -1
        self.next_request_at = now + min(left, self.lease) + max(1, int(self.rng.uniform(0, bound)))

    def has_timed_out(self, now: int) -> bool:
        """Answers to the asking in hand are waited for no longer."""
        return self.requested_at >= 0 and now >= self.requested_at + self.timing.answer_timeout

    # ---- having

    def start_renewal_if_due(self, now: int) -> bool:
        """Whether the lease is to be renewed now; True counts as having begun to."""
        if now < self.renewed_at + self.lease // RENEWALS_PER_LEASE:
            return False
        self.renewed_at = now
        return True

    def select_successor(self, present: Sequence[str], now: int) -> str:
        """Who is better placed and has been there long enough; empty where nobody is."""
        ranked = self.ranked(present)
        better = ranked[: ranked.index(self.own)] if self.own in ranked else ranked
        self.better_since = {name: self.better_since.get(name, now) for name in better}
        eligible = [name for name in better if now - self.better_since[name] >= self.timing.min_presence]
        if not eligible:
            return ""
        # Where that one can't take it and it comes back to us, it is not offered again before as long.
        self.better_since.clear()
        return eligible[0]

    def fallback_successor(self, present: Sequence[str]) -> str:
        """Whom to hand it to where we must not keep it: the first of the others."""
        return next((name for name in self.ranked(present) if name != self.own), "")

    def next_check_at(self, present: Sequence[str], holds: bool, now: int) -> int:
        """When this duty is to be looked at next, microseconds; `holds` where we hold it."""
        if holds:
            return self.renewed_at + self.lease // RENEWALS_PER_LEASE
        if self.requested_at >= 0:
            return self.requested_at + self.timing.answer_timeout
        if self.vacant_since < 0:
            return now + self.lease // RENEWALS_PER_LEASE
        rank = min(self.rank(present), MAX_DELAYED_RANK)
        return max(self.next_request_at, self.vacant_since + rank * self.timing.rank_delay)
