"""When an instance requests a duty, renews its lease, hands it over or releases it.

Owns the order in which instances request a duty, the back-off after a refusal and the choice of successors.
It never counts votes (`Tenure` does), reads a clock or draws random numbers other than from the generator
passed in.

Each instance ranks all present members by rendezvous hashing (Thaler, Ravishankar 1998) of the duty's name.
The first one requests a vacant duty at once, the others after a delay that grows with their rank, so usually
there is a single candidate. Candidates that split the vote release their grants and back off for a uniformly
drawn time up to a bound that doubles. To prevent flapping, a duty is handed over to a higher-ranked member
only after that member has been present without interruption for `min_presence`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from limeridge.peers.digest import rendezvous_score

RENEWALS_PER_LEASE = 3
MAX_DELAYED_RANK = 4  # members ranked below it wait no longer; random back-off separates them


@dataclass(slots=True, frozen=True)
class CandidateTiming:
    """Delays and timeouts of a candidate, in microseconds."""

    rank_delay: int = 200_000  # between the requests of adjacent ranks; also the first back-off bound
    answer_timeout: int = 400_000  # for the answers to one request
    max_backoff: int = 5_000_000  # greatest back-off bound
    min_presence: int = 30_000_000  # of a higher-ranked member before the duty is handed over to it


@dataclass(slots=True)
class Candidate:
    """One instance's candidacy for one duty, and its renewals while it holds it."""

    duty: str
    own: str
    timing: CandidateTiming
    lease: int
    rng: random.Random
    refusals: int = 0
    next_request_at: int = 0  # earliest time of the next request
    requested_at: int = -1  # of the pending request; -1 if there is none
    renewed_at: int = 0
    vacant_since: int = -1  # since when no holder is known; -1 if there is one
    higher_ranked_since: dict[str, int] = field(default_factory=dict)

    def ranked(self, present: Sequence[str]) -> list[str]:
        """The names in the order in which they request this duty; the same at all members."""
        return sorted(present, key=lambda name: (-rendezvous_score(name, f"duty {self.duty}"), name))

    def rank(self, present: Sequence[str]) -> int:
        """Own rank, from 0; the number of present members if this one is not among them."""
        ranked = self.ranked(present)
        return ranked.index(self.own) if self.own in ranked else len(ranked)

    # ---- requesting

    def observe_holder(self, held: bool, now: int) -> None:
        """Records whether any member, this one included, is known to hold the duty at `now`."""
        if held:
            self.vacant_since = -1
        elif self.vacant_since < 0:
            self.vacant_since = now

    def should_request(self, present: Sequence[str], now: int) -> bool:
        """Whether to request the duty now."""
        if self.vacant_since < 0 or self.requested_at >= 0 or now < self.next_request_at:
            return False
        rank = min(self.rank(present), MAX_DELAYED_RANK)
        return now >= self.vacant_since + rank * self.timing.rank_delay

    def record_request(self, now: int) -> None:
        """Records that a request was started at `now`."""
        self.requested_at = self.renewed_at = now

    def record_grant(self) -> None:
        """Records that the pending request was granted."""
        self.refusals, self.requested_at = 0, -1

    def back_off(self, now: int, left: int = 0) -> None:
        """Ends the pending request, which was refused or timed out, and schedules the next one. `left`: time
        until the conflicting promise expires."""
        bound = min(self.timing.max_backoff, self.timing.rank_delay << min(self.refusals, 10))
        self.refusals += 1
        self.requested_at = -1
        self.next_request_at = now + min(left, self.lease) + max(1, int(self.rng.uniform(0, bound)))

    def has_timed_out(self, now: int) -> bool:
        """Whether the pending request has not been granted within `answer_timeout`."""
        return self.requested_at >= 0 and now >= self.requested_at + self.timing.answer_timeout

    # ---- holding

    def start_renewal_if_due(self, now: int) -> bool:
        """Whether to renew the lease now; if so, records `now` as the time of the renewal."""
        if now < self.renewed_at + self.lease // RENEWALS_PER_LEASE:
            return False
        self.renewed_at = now
        return True

    def select_successor(self, present: Sequence[str], now: int) -> str:
        """The highest-ranked member above this one that has been present for `min_presence`; empty if there
        is none. Must be called regularly, since it keeps track of presence."""
        ranked = self.ranked(present)
        higher_ranked = ranked[: ranked.index(self.own)] if self.own in ranked else ranked
        self.higher_ranked_since = {name: self.higher_ranked_since.get(name, now) for name in higher_ranked}
        eligible = [
            name for name in higher_ranked if now - self.higher_ranked_since[name] >= self.timing.min_presence
        ]
        if not eligible:
            return ""
        # If the successor cannot take over and the duty returns here, wait as long before offering it again.
        self.higher_ranked_since.clear()
        return eligible[0]

    def fallback_successor(self, present: Sequence[str]) -> str:
        """The highest-ranked other member, for a holder that must release the duty; empty if there is
        none."""
        return next((name for name in self.ranked(present) if name != self.own), "")

    def next_check_at(self, present: Sequence[str], holds: bool, now: int) -> int:
        """When to check this duty next, in microseconds; `holds`: this instance holds it."""
        if holds:
            return self.renewed_at + self.lease // RENEWALS_PER_LEASE
        if self.requested_at >= 0:
            return self.requested_at + self.timing.answer_timeout
        if self.vacant_since < 0:
            return now + self.lease // RENEWALS_PER_LEASE
        rank = min(self.rank(present), MAX_DELAYED_RANK)
        return max(self.next_request_at, self.vacant_since + rank * self.timing.rank_delay)
