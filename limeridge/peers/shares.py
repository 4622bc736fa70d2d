"""Divides a fleet-wide concurrency limit: how many calls each instance may have at the records service at one
time.

This module keeps the voter's record of views, the holder's record of supports, and decides who proposes a new
view. It does no I/O and relies on no timer: a share is recomputed for each use, from times on a clock that
also advances while the process is suspended.

The limit consists of floors and a surplus. Every process that may run at one time (`capacity`, and `doubles`
for names used twice) has a floor, which needs no approval. The surplus is divided by views. A view is a set
of lives under an epoch and allocates surplus/n to each of its n members. Epochs are totally ordered, and each
epoch belongs to exactly one set, since it contains the identity of the process that created it.

1. A voter supports one view at a time and changes only to a higher epoch. It remembers each view under which
   it has allowed any surplus until `hold` has passed since it last did so.
2. It answers a holder with its epoch and a cap: the minimum of the holder's allocations in the current view
   and in the views that it remembers.
3. A holder uses the surplus only with answers from a quorum of voters under one epoch, all requested within
   the last `lease`, and then at most the minimum of their caps.
4. A voter that has just started does not answer until `hold` has passed, because it does not know what an
   earlier life supported.

Why the sum never exceeds the limit: at time t, the calls in flight of each holder were begun under some
epoch, no longer before t than a call lasts. Of the holders that use any surplus, let j be the one with the
lowest epoch, and V its view. If another holder has the same epoch, its cap is at most its allocation in V. If
its epoch is higher, some voter answered both holders, since two quorums have more names in common than may be
used twice. That voter answered j first (rule 1), allowed it some surplus (rule 3), and did so less than lease
+ longest before t, so it still remembered V when it answered the other holder (rule 2, or rule 4 if it was
restarted). The cap of that holder is therefore at most its allocation in V. Thus all holders use at most
their allocations in V, and these add up to the surplus. `hold` includes the drift of both clocks.
docs/design/peers.md has the long version and the trade-offs.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from limeridge.peers.digest import rendezvous_score
from limeridge.peers.members import Claim

Epoch = tuple[int, str, int]  # counter, name and nonce of the process that made it
NO_EPOCH: Epoch = (0, "", 0)
FLAP_WINDOW = 60_000_000  # microseconds for which a member's departure delays views in which it rejoins
MAX_WAIT_DOUBLINGS = 4  # of the settle time, for members that leave and rejoin repeatedly


@dataclass(slots=True, frozen=True)
class Terms:
    """Settings of the shared limit, which must be the same at all instances. Times are in microseconds."""

    limit: int  # concurrent calls of the whole fleet
    capacity: int  # processes that may run at one time, including both old and new ones in a replacement
    voters: tuple[str, ...] = ()  # names; if empty, all members vote
    doubles: int = 1  # names that two processes may use at the same time
    floor_share: float = 0.5  # fraction of the limit that is reserved for floors
    lease: int = 3_000_000
    longest: int = 2_000_000  # that a call may occupy the records service, even after it was abandoned
    settle: int = 500_000  # that the set of members must be stable before a view of it is proposed
    drift: float = 0.001  # maximum rate error of each clock

    @property
    def floor(self) -> int:
        """Concurrent calls that each instance may make without any support."""
        return int(self.floor_share * self.limit / (self.capacity + self.doubles))

    @property
    def surplus(self) -> int:
        """Calls that are divided among the members of a view, above the floors."""
        return self.limit - self.floor * (self.capacity + self.doubles)

    @property
    def quorum(self) -> int:
        """Number of voters such that any two quorums have more than `doubles` names in common."""
        return ((len(self.voters) or self.capacity) + self.doubles) // 2 + 1

    @property
    def hold(self) -> int:
        """How long a voter waits, on its own clock, until a holder's lease and the holder's last call under
        it have certainly ended."""
        return int((self.lease + self.longest) * (1 + self.drift) / (1 - self.drift)) + 1

    def votes(self, name: str) -> bool:
        """Whether the member of this name is a voter."""
        return not self.voters or name in self.voters


@dataclass(slots=True, frozen=True)
class View:
    """The lives among which the surplus is divided, under one epoch."""

    epoch: Epoch
    keys: frozenset[str]
    _remainder_keys: frozenset[str] | None = field(default=None, compare=False, repr=False)  # cache

    def allocation(self, key: str, surplus: int) -> int:
        """The whole calls allocated to `key`. The remainder goes to the lives with the lowest hash scores."""
        if key not in self.keys:
            return 0
        each, remainder = divmod(surplus, len(self.keys))
        return each + (key in self.remainder_keys(remainder))

    def remainder_keys(self, remainder: int) -> frozenset[str]:
        """The `remainder` lives that are allocated one call more than the others."""
        if self._remainder_keys is None or len(self._remainder_keys) != remainder:
            purpose = f"{self.epoch[0]}"
            first = sorted(self.keys, key=lambda key: (rendezvous_score(key, purpose), key))[:remainder]
            object.__setattr__(self, "_remainder_keys", frozenset(first))
        return self._remainder_keys or frozenset()


NO_VIEW = View(NO_EPOCH, frozenset())


class Voter:
    """The views that one voter has supported; kept in memory only."""

    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.started_at = terms, now
        self._hold, self._surplus = terms.hold, terms.surplus
        self.view = NO_VIEW
        self.supported_views: dict[Epoch, tuple[View, int]] = {}  # with the time of the last support

    def is_silent(self, now: int) -> bool:
        """Whether it must not answer yet, since what an earlier life under its name supported may still be in
        use."""
        return now < self.started_at + self._hold

    def accept(self, view: View) -> bool:
        """Changes to a view of a higher epoch; returns False for a view that is known or older."""
        if view.epoch <= self.view.epoch:
            return False
        self.view = view
        return True

    def support(self, key: str, now: int) -> tuple[Epoch, int] | None:
        """Answers a holder's request with the epoch and a cap, or returns None while it must be silent."""
        if self.is_silent(now):
            return None
        cap = self.view.allocation(key, self._surplus)
        for epoch, (view, at) in list(self.supported_views.items()):
            if at + self._hold <= now:
                del self.supported_views[epoch]
            elif view is not self.view:
                cap = min(cap, view.allocation(key, self._surplus))
        # A cap of zero allows nothing, so it need not restrict other holders.
        if cap > 0:
            self.supported_views[self.view.epoch] = self.view, now
        return self.view.epoch, cap


@dataclass(slots=True, frozen=True)
class SupportRecord:
    """The last answer of one voter; `requested_at` is our own time of the request, in microseconds."""

    epoch: Epoch
    cap: int
    requested_at: int


class Holder:
    """Computes what one instance may use from the voters' answers."""

    def __init__(self, terms: Terms, now: int, startup_delay: int) -> None:
        """No call may begin for `startup_delay` microseconds, until calls that an earlier life under this
        name left at the records service have ended."""
        self.terms, self.first_call_at = terms, now + startup_delay
        self._quorum, self._floor = terms.quorum, terms.floor  # cached: read before each call
        self.supports: dict[str, SupportRecord] = {}

    def record_support(self, voter: str, epoch: Epoch, cap: int, requested_at: int) -> None:
        """Records a voter's answer. The lease starts at `requested_at`, our own time of the request."""
        if not self.terms.votes(voter):
            return
        held = self.supports.get(voter)
        if held is None or requested_at >= held.requested_at:
            self.supports[voter] = SupportRecord(epoch, max(0, cap), requested_at)

    def _current(self, now: int) -> list[SupportRecord]:
        since = now - self.terms.lease
        return [each for each in self.supports.values() if since < each.requested_at <= now]

    def reachable_voters(self, now: int) -> int:
        """Number of voters whose answers are still within the lease, under any epoch."""
        return len(self._current(now))

    def surplus(self, now: int) -> int | None:
        """The minimum cap under the highest epoch that a quorum currently supports; None without a quorum."""
        current = self._current(now)
        if len(current) < self._quorum:
            return None
        epochs = Counter(each.epoch for each in current)
        highest = max((epoch for epoch, count in epochs.items() if count >= self._quorum), default=None)
        return None if highest is None else min(each.cap for each in current if each.epoch == highest)

    def share(self, now: int) -> int:
        """Concurrent calls that this instance may have now; to be evaluated before each call."""
        if now < self.first_call_at:
            return 0
        return self._floor + (self.surplus(now) or 0)

    def reason(self, now: int) -> str:
        """A reason code for the share."""
        if now < self.first_call_at:
            return "starting"
        surplus = self.surplus(now)
        if surplus is None:
            return "few-voters" if self.reachable_voters(now) < self.terms.quorum else "voters-differ"
        return "dealt" if surplus > 0 else "floor-only"

    def needs_renewal(self, voter: str, epoch: Epoch, now: int) -> bool:
        """Whether to ask this voter again: half a lease after the last answered request, or at once if that
        answer was under an older epoch than the highest known. The second half of the lease leaves time for
        retries after packet loss."""
        held = self.supports.get(voter)
        return held is None or held.epoch < epoch or 2 * (now - held.requested_at) >= self.terms.lease

    def highest_epoch(self) -> Epoch:
        """The highest epoch in any voter's answer."""
        return max((each.epoch for each in self.supports.values()), default=NO_EPOCH)


@dataclass
class ViewProposer:
    """Decides when a voter proposes a new view of the members that it knows."""

    terms: Terms
    own: str  # name
    nonce: int
    pending_keys: frozenset[str] = frozenset()
    pending_since: int = 0
    departures: dict[str, list[int]] = field(default_factory=dict)  # by name: times of departures

    def next_view(
        self, present: Iterable[Claim], view: View, highest: Epoch, reachable_voters: int, now: int
    ) -> View | None:
        """The view to propose now, or None if it is not time or not this voter's turn. `present` are all
        present members including this one, `highest` is the highest epoch known, and `reachable_voters` is
        the number of voters that answer."""
        claims = list(present)
        keys = frozenset(claim.key for claim in claims)
        if keys != self.pending_keys:
            for name in {key.rpartition("/")[0] for key in self.pending_keys - keys}:
                self.departures.setdefault(name, []).append(now)
            self.pending_keys, self.pending_since = keys, now
        if keys == view.keys or not self._is_proposer(claims) or reachable_voters < self.terms.quorum:
            return None
        if now < self.pending_since + self._settle_time(keys - view.keys, now):
            return None
        return View((max(view.epoch, highest)[0] + 1, self.own, self.nonce), keys)

    def _is_proposer(self, claims: list[Claim]) -> bool:
        """Whether this voter proposes views, by rendezvous hashing among the voters present. If members
        disagree, two voters may propose at the same time, which only uses up an epoch."""
        voters = [claim.name for claim in claims if self.terms.votes(claim.name)]
        return (
            bool(voters) and max(voters, key=lambda name: (rendezvous_score(name, "views"), name)) == self.own
        )

    def _settle_time(self, joining: frozenset[str], now: int) -> int:
        """How long the set of members must be stable. The time doubles with each recent departure of a
        joining member, so that a flapping link does not force repeated changes of view on all others.
        Departures alone are never delayed further."""
        for name, times in list(self.departures.items()):
            self.departures[name] = [at for at in times if now - at < FLAP_WINDOW]
            if not self.departures[name]:
                del self.departures[name]
        flaps = max((len(self.departures.get(key.rpartition("/")[0], ())) for key in joining), default=0)
        return self.terms.settle << min(MAX_WAIT_DOUBLINGS, max(0, flaps - 1))
