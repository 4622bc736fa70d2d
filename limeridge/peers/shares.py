"""Shares of a limit that is the fleet's: how many calls each instance may have at the records
service at one time.

It owns the voter's memory of views, the holder's count of supports, and who offers a new view. It must
never look at a clock, send anything or trust a timer: a share is worked out anew for each use, from times
on a clock that also runs while the process stands still.

The limit L is split into floors, one for each process that there may be (`capacity`, and `doubles` for a
name taken twice), which need nobody's word, and a surplus, which is dealt out by views. A view is a set of
lives under an epoch; it gives each of its n members surplus/n. Epochs are totally ordered, and one epoch
means one set: it names the process that made it.

1. A voter supports one view at a time and only ever goes to a higher epoch. It remembers each view under
   which it allowed anybody a part, until `hold` has passed since it last did so.
2. It answers a holder with its epoch and a cap: the least of the holder's parts in its view and in those that
   it remembers.
3. A holder uses the surplus only with answers of a quorum of voters under one epoch, none asked for longer
   ago than `lease`, and then no more than the least of their caps.
4. A voter that has started is silent until `hold` has passed: what an earlier life supported it can't know.

The sum never exceeds the limit. At a time t, each holder's calls in hand were begun under some epoch, not
longer before t than a call lasts. Of the epochs of those that use any surplus, take the lowest: e, of
holder j with view V. Another holder's epoch is the same, and its cap at most its part in V; or it is
higher, and then one voter answered both, since two quorums share more names than may be taken twice. It
answered j first (rule 1), allowed it something (rule 3), and did so less than lease + longest before t: it
remembered V when it answered the other (rule 2; rule 4 where it was restarted), whose cap is thus at most
its part in V. So all use at most their parts in V, and these add up to the surplus. `hold` counts the drift
of both clocks. docs/design/peers.md has it at length, with what it gives up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from limeridge.peers.digest import score_of
from limeridge.peers.members import Claim

Epoch = tuple[int, str, int]  # counter, name and nonce of the process that made it
NO_EPOCH: Epoch = (0, "", 0)
FLAP_WINDOW = 60_000_000  # microseconds that a member's going is held against its coming back
MAX_WAIT_DOUBLINGS = 4  # doublings of the wait


@dataclass(slots=True, frozen=True)
class Terms:
    """The same at all instances. Times in microseconds."""

    limit: int  # calls in hand at one time, of the whole fleet
    capacity: int  # processes that there may be at one time, old and new ones during a replacement included
    voters: tuple[str, ...] = ()  # names; all where empty
    doubles: int = 1  # names that may be taken by two processes at once
    floor_share: float = 0.5  # of the limit, kept as floors
    lease: int = 3_000_000
    longest: int = 2_000_000  # that a call may be at the records service, given up or left behind included
    settle: int = 500_000  # that the members must stand as they are before a view is made of them
    drift: float = 0.001  # of each clock

    @property
    def floor(self) -> int:
        """Calls that each instance may have in hand without anybody's word."""
        return int(self.floor_share * self.limit / (self.capacity + self.doubles))

    @property
    def surplus(self) -> int:
        """Calls that are dealt out above the floors."""
        return self.limit - self.floor * (self.capacity + self.doubles)

    @property
    def quorum(self) -> int:
        """Two quorums share more than `doubles` names."""
        return ((len(self.voters) or self.capacity) + self.doubles) // 2 + 1

    @property
    def hold(self) -> int:
        """As long as a voter counts it, a holder's lease and its last call are surely over."""
        return int((self.lease + self.longest) * (1 + self.drift) / (1 - self.drift)) + 1

    def votes(self, name: str) -> bool:
        """Whether the member of this name is a voter."""
        return not self.voters or name in self.voters


@dataclass(slots=True, frozen=True)
class View:
    """The lives that the surplus is dealt out to, under one epoch."""

    epoch: Epoch
    keys: frozenset[str]
    _remainder_keys: frozenset[str] | None = field(default=None, compare=False, repr=False)  # worked out once

    def allocation(self, key: str, surplus: int) -> int:
        """Whole calls; what is left over goes to the first in the order of their digests."""
        if key not in self.keys:
            return 0
        each, remainder = divmod(surplus, len(self.keys))
        return each + (key in self.remainder_keys(remainder))

    def remainder_keys(self, remainder: int) -> frozenset[str]:
        """The `over` lives that get one call more than the others."""
        if self._remainder_keys is None or len(self._remainder_keys) != remainder:
            purpose = f"{self.epoch[0]}"
            first = sorted(self.keys, key=lambda key: (score_of(key, purpose), key))[:remainder]
            object.__setattr__(self, "_remainder_keys", frozenset(first))
        return self._remainder_keys or frozenset()


NO_VIEW = View(NO_EPOCH, frozenset())


class Voter:
    """What one voter has promised, in memory only."""

    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.started_at = terms, now
        self._hold, self._surplus = terms.hold, terms.surplus
        self.view = NO_VIEW
        self.supported_views: dict[Epoch, tuple[View, int]] = {}  # and when last

    def is_silent(self, now: int) -> bool:
        """Whether it answers nobody yet: what an earlier life under its name supported may be in use."""
        return now < self.started_at + self._hold

    def accept(self, view: View) -> bool:
        """True where it is taken. One already known, or behind, changes nothing."""
        if view.epoch <= self.view.epoch:
            return False
        self.view = view
        return True

    def support(self, key: str, now: int) -> tuple[Epoch, int] | None:
        """The answer to a holder's asking; None where it must keep silent."""
        if self.is_silent(now):
            return None
        cap = self.view.allocation(key, self._surplus)
        for epoch, (view, at) in list(self.supported_views.items()):
            if at + self._hold <= now:
                del self.supported_views[epoch]
            elif view is not self.view:
                cap = min(cap, view.allocation(key, self._surplus))
        # An answer that allows nothing promises nothing: it need not bind others.
        if cap > 0:
            self.supported_views[self.view.epoch] = self.view, now
        return self.view.epoch, cap


@dataclass(slots=True, frozen=True)
class SupportRecord:
    """The last answer of one voter; `asked_at` is when we asked for it, microseconds."""

    epoch: Epoch
    cap: int
    requested_at: int


class Holder:
    """What one instance may use, from the answers that it got."""

    def __init__(self, terms: Terms, now: int, startup_delay: int) -> None:
        """`quiet`: microseconds from the start until the first call, in which what an earlier life under this
        name left behind at the records service is over."""
        self.terms, self.first_call_at = terms, now + startup_delay
        self._quorum, self._floor = terms.quorum, terms.floor  # asked for before each call
        self.supports: dict[str, SupportRecord] = {}

    def record_support(self, voter: str, epoch: Epoch, cap: int, requested_at: int) -> None:
        """`asked_at` is our own time at the asking: the lease runs from there."""
        if not self.terms.votes(voter):
            return
        held = self.supports.get(voter)
        if held is None or requested_at >= held.requested_at:
            self.supports[voter] = SupportRecord(epoch, max(0, cap), requested_at)

    def _current(self, now: int) -> list[SupportRecord]:
        since = now - self.terms.lease
        return [each for each in self.supports.values() if since < each.requested_at <= now]

    def reachable_voters(self, now: int) -> int:
        """Voters whose answers still count, whatever their epoch."""
        return len(self._current(now))

    def surplus(self, now: int) -> int | None:
        """The least of the caps under the highest epoch that a quorum supports just now; None without one."""
        current = self._current(now)
        if len(current) < self._quorum:
            return None
        epochs = Counter(each.epoch for each in current)
        best = max((epoch for epoch, count in epochs.items() if count >= self._quorum), default=None)
        return None if best is None else min(each.cap for each in current if each.epoch == best)

    def share(self, now: int) -> int:
        """Calls in hand that this instance may have now. To be asked for before each call."""
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
        """Whether it is time to ask this voter again: half a lease after the last asking that it answered, or
        at once where that answer was under an older epoch than the highest known. Half a lease is left for
        askings and answers that get lost."""
        held = self.supports.get(voter)
        return held is None or held.epoch < epoch or 2 * (now - held.requested_at) >= self.terms.lease

    def highest_epoch(self) -> Epoch:
        """The highest epoch that any voter answered under."""
        return max((each.epoch for each in self.supports.values()), default=NO_EPOCH)


@dataclass
class ViewProposer:
    """When a voter makes a new view of the members that it knows."""

    terms: Terms
    own: str  # name
    nonce: int
    pending_keys: frozenset[str] = frozenset()
    pending_since: int = 0
    departures: dict[str, list[int]] = field(default_factory=dict)  # by name, when it went

    def next_view(
        self, present: Iterable[Claim], view: View, highest: Epoch, reachable_voters: int, now: int
    ) -> View | None:
        """The view to be offered, if it is ours to offer and time. `present`: those held to be there,
        ourselves among them; `highest`: of all epochs heard of; `reach`: voters that answer us."""
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
        """One voter has it, the same for all who know the same members: two that offer at a time only cost an
        epoch."""
        voters = [claim.name for claim in claims if self.terms.votes(claim.name)]
        return bool(voters) and max(voters, key=lambda name: (score_of(name, "views"), name)) == self.own

    def _settle_time(self, joining: frozenset[str], now: int) -> int:
        """Longer for each time that one who comes went lately: a link that flaps must not take the newcomers'
        wait out on all others again and again. Who goes is never waited for."""
        for name, times in list(self.departures.items()):
            self.departures[name] = [at for at in times if now - at < FLAP_WINDOW]
            if not self.departures[name]:
                del self.departures[name]
        flaps = max((len(self.departures.get(key.rpartition("/")[0], ())) for key in joining), default=0)
        return self.terms.settle << min(MAX_WAIT_DOUBLINGS, max(0, flaps - 1))
