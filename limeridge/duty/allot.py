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

from limeridge.peers.digest import score_of


@dataclass(slots=True, frozen=True)
class Terms:
    """The same at all instances. Times in microseconds."""

    surplus: int  # calls in hand at one time, above all floors
    grant_duration: int = 1_500_000
    max_call_duration: int = 2_000_000  # that a call may be at the records service
    drift: float = 0.001  # of each clock

    @property
    def outstanding_duration(self) -> int:
        """As long as the holder counts it, a grant and the calls begun under it are surely over."""
        return int((self.grant_duration + self.max_call_duration) * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def initial_wait(self) -> int:
        """Of a new holder, before it deals: as long as a grant of the one before may be out."""
        return self.outstanding_duration


def max_min_shares(needs: Mapping[str, int], surplus: int) -> dict[str, int]:
    """Whole calls by grantee, `surplus` at most in all; what is left over by whole calls goes to those whose
    names score highest, the same at each cut."""
    left, shares = surplus, dict.fromkeys(needs, 0)
    unsatisfied = sorted((name for name in needs if needs[name] > 0), key=lambda name: (needs[name], name))
    while unsatisfied and left:
        level = left // len(unsatisfied)
        if level == 0:
            for name in sorted(unsatisfied, key=lambda each: (-score_of(each, "allot"), each))[:left]:
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
    """What one holder may have in hand of the surplus, and until when at the latest."""

    calls: int
    until: int  # on the holder's clock


@dataclass(slots=True)
class CallAllocator:
    """The holder's. `begun`: when it got the duty, on its own clock."""

    terms: Terms
    started_at: int
    needs: dict[str, tuple[int, int]] = field(default_factory=dict)  # by grantee: need, and when it need so
    outstanding: dict[str, list[OutstandingGrant]] = field(default_factory=dict)

    def total_outstanding(self, now: int) -> int:
        """Calls that may be in use by what was dealt: of each grantee its largest grant that is not over."""
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
        """Calls granted to `grantee` from now on, in place of what it had; it may be told 0."""
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
            # A grant that is covered by this one, in calls and in time, need not be remembered beside it.
            larger = [each for each in self.outstanding.get(grantee, ()) if each.calls > calls]
            self.outstanding[grantee] = [
                *larger,
                OutstandingGrant(calls, now + self.terms.outstanding_duration),
            ]
        return calls


@dataclass(slots=True)
class Grantee:
    """What one instance may use of what it was granted last."""

    terms: Terms
    calls: int = 0
    requested_at: int = -1

    def record_grant(self, calls: int, sent_at: int) -> None:
        """`sent_at`: our own time before the asking was sent. An answer to an older asking changes
        nothing."""
        if sent_at > self.requested_at:
            self.calls, self.requested_at = max(0, calls), sent_at

    def share(self, now: int) -> int:
        """Calls in hand above the floor, to be asked for before each call."""
        fresh = (
            self.requested_at >= 0
            and self.requested_at <= now < self.requested_at + self.terms.grant_duration
        )
        return self.calls if fresh else 0
