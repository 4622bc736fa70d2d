"""`ledger-allot`: distributes the surplus of the fleet's call limit by need, in grants that expire.

Owns the holder's record of outstanding grants, the max-min fair shares, and what one instance may use of its
last grant. It never reads a clock, sends messages or relies on a timer: a grant's validity is checked before
each call.

1. A grantee uses a grant for `grant_duration` from before it sent the request, by its own clock; calls begun
   under the grant end within another `max_call_duration`.
2. The holder counts a grant as outstanding for `grant_duration` + `max_call_duration` after it made it, plus
   the drift of both clocks. A smaller grant to the same grantee lowers the total only when the larger one
   before it has expired.
3. A new holder grants nothing for `initial_wait` after it obtained the duty, until all grants of an earlier
   holder have expired. It holds the duty under a lease by majority, so no two holders make grants at a time.

Hence the calls in use never exceed the surplus, over any change of holder: one allocator never has more
outstanding, and the grants of two allocators are never valid at the same time. Together with the floors,
which need no grant, that is the fleet's limit.

The need is what a grantee reports that it could use: its calls in progress and waiting. Shares are max-min
fair: every grantee gets what it asks for up to a level that is as high as the surplus allows (water-filling;
Bertsekas, Gallager, Data Networks, 1992, section 6.5.2), in whole calls.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from limeridge.peers.digest import rendezvous_score


@dataclass(slots=True, frozen=True)
class Terms:
    """Parameters of the distribution; the same at all instances. Times in microseconds."""

    surplus: int  # concurrent calls above the sum of all floors
    grant_duration: int = 1_500_000
    max_call_duration: int = 2_000_000  # of a call to the records service
    drift: float = 0.001  # maximum, of each clock

    @property
    def outstanding_duration(self) -> int:
        """How long the holder counts a grant, by its clock: the grant and all calls begun under it have ended
        by then."""
        return int((self.grant_duration + self.max_call_duration) * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def initial_wait(self) -> int:
        """How long a new holder makes no grants: as long as one of its predecessor's may be outstanding."""
        return self.outstanding_duration


def max_min_shares(needs: Mapping[str, int], surplus: int) -> dict[str, int]:
    """Max-min fair shares in whole calls, `surplus` in total at most. A remainder that cannot be split evenly
    goes to the names with the highest scores, which are the same on each call."""
    left, shares = surplus, dict.fromkeys(needs, 0)
    unsatisfied = sorted((name for name in needs if needs[name] > 0), key=lambda name: (needs[name], name))
    while unsatisfied and left:
        level = left // len(unsatisfied)
        if level == 0:
            for name in sorted(unsatisfied, key=lambda each: (-rendezvous_score(each, "allot"), each))[:left]:
                shares[name] += 1
            break
        satisfied = [name for name in unsatisfied if needs[name] - shares[name] <= level]
        if not satisfied:
            for name in unsatisfied:
                shares[name] += level
                left -= level
            continue
        for name in satisfied:
            left -= needs[name] - shares[name]
            shares[name] = needs[name]
        unsatisfied = [name for name in unsatisfied if shares[name] < needs[name]]
    return shares


@dataclass(slots=True)
class OutstandingGrant:
    """Calls that one grantee may be using, and the latest time until which it may."""

    calls: int
    until: int  # on the holder's clock


@dataclass(slots=True)
class CallAllocator:
    """The holder's grants. `started_at`: when it obtained the duty, by its own clock."""

    terms: Terms
    started_at: int
    needs: dict[str, tuple[int, int]] = field(default_factory=dict)  # by grantee: need, time of its report
    outstanding: dict[str, list[OutstandingGrant]] = field(default_factory=dict)

    def total_outstanding(self, now: int) -> int:
        """Calls that may be in use: the sum of each grantee's largest grant that has not expired."""
        self._drop_expired(now)
        return sum(max((each.calls for each in grants), default=0) for grants in self.outstanding.values())

    def _drop_expired(self, now: int) -> None:
        for grantee, grants in list(self.outstanding.items()):
            self.outstanding[grantee] = [each for each in grants if each.until > now]
            if not self.outstanding[grantee]:
                del self.outstanding[grantee]
        for grantee, (_, at) in list(self.needs.items()):
            if now - at > 2 * self.terms.grant_duration:
                del self.needs[grantee]

    def handle_request(self, grantee: str, need: int, now: int) -> int:
        """Returns the calls granted to `grantee`, which replace its previous grant; may be 0."""
        self.needs[grantee] = max(0, need), now
        if now < self.started_at + self.terms.initial_wait:
            return 0
        self._drop_expired(now)
        fair = max_min_shares(
            {name: reported for name, (reported, _) in self.needs.items()}, self.terms.surplus
        )[grantee]
        previous = max((each.calls for each in self.outstanding.get(grantee, ())), default=0)
        free = self.terms.surplus - self.total_outstanding(now) + previous
        calls = max(0, min(fair, free))
        if calls:
            # Earlier grants of no more calls expire sooner, so the new one covers them.
            larger = [each for each in self.outstanding.get(grantee, ()) if each.calls > calls]
            self.outstanding[grantee] = [
                *larger,
                OutstandingGrant(calls, now + self.terms.outstanding_duration),
            ]
        return calls


@dataclass(slots=True)
class Grantee:
    """The last grant of one instance, and what it may use of it."""

    terms: Terms
    calls: int = 0
    requested_at: int = -1

    def record_grant(self, calls: int, sent_at: int) -> None:
        """Records a grant. `sent_at`: local time before the request was sent. Ignores answers to requests
        older than the last one answered."""
        if sent_at > self.requested_at:
            self.calls, self.requested_at = max(0, calls), sent_at

    def share(self, now: int) -> int:
        """Concurrent calls allowed above the floor at `now`; to be checked before each call."""
        fresh = (
            self.requested_at >= 0
            and self.requested_at <= now < self.requested_at + self.terms.grant_duration
        )
        return self.calls if fresh else 0
