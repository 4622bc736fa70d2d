"""How well this instance reaches each member, and whether it is connected to a majority of them.

Grades are computed from the membership table and from the times of the last contacts. They are local: they
change no claim and are not gossiped.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from limeridge.peers.members import Claim, State


class Grade(Enum):
    """Reachability of one member. The value is the name in logs and command output."""

    ALIVE = "alive"
    BACK = "back"  # has recently returned after being dead or gone
    SUSPECT = "suspect"
    DEAF = "deaf"  # its messages arrive but ours get no answer: the link fails in one direction
    CUT_OFF = "cut-off"  # reachable through helpers but not directly
    GONE = "gone"  # has left, or was declared dead


class Connectivity(Enum):
    """Which part of the known members this instance is connected to. The value is the name in logs."""

    MAJORITY = "most"
    MINORITY = "few"
    ISOLATED = "alone"


@dataclass(slots=True)
class ContactTimes:
    """Times of the last contacts with one member in microseconds; -1 if there was none."""

    last_received: int = -1  # any message from it
    last_direct_ack: int = -1  # its ack of a probe sent from here
    last_indirect_ack: int = -1  # its ack relayed by a helper
    last_direct_timeout: int = -1  # a direct probe that was not answered in time
    returned_at: int = -1  # when it became alive again after being dead or gone
    misses: frozenset[str] = frozenset()  # members whose acks do not reach it, as it last reported
    misses_reported_at: int = -1


@dataclass
class Reachability:
    """Contact times of all members. `freshness` is how long a contact counts and `recovery_period` how long a
    returned member is graded BACK, both in microseconds."""

    freshness: int
    recovery_period: int
    contacts: dict[str, ContactTimes] = field(default_factory=dict)
    connectivity: Connectivity = Connectivity.ISOLATED
    connectivity_since: int = 0

    def contact(self, name: str) -> ContactTimes:
        """The contact times of a member, which are created empty on first use."""
        return self.contacts.setdefault(name, ContactTimes())

    def grade(self, claim: Claim, now: int) -> Grade:
        """Grades how well the member is reached from here."""
        times = self.contacts.get(claim.name) or ContactTimes()
        if claim.state >= State.DEAD:
            return Grade.GONE
        # The last direct probe failed and no later one was answered.
        cut = times.last_direct_timeout > times.last_direct_ack
        if (
            cut
            and times.last_received > times.last_direct_timeout
            and now - times.last_received < self.freshness
        ):
            return Grade.DEAF
        if cut and times.last_indirect_ack >= 0 and now - times.last_indirect_ack < self.freshness:
            return Grade.CUT_OFF
        if claim.state is State.SUSPECT:
            return Grade.SUSPECT
        if times.returned_at >= 0 and now - times.returned_at < self.recovery_period:
            return Grade.BACK
        return Grade.ALIVE

    def members_not_answering(self, names: Iterable[str]) -> Iterator[str]:
        """Those of `names` that did not answer the last direct probe."""
        for name in names:
            times = self.contacts.get(name)
            if times is not None and times.last_direct_timeout > times.last_direct_ack:
                yield name

    def members_missing_our_acks(self, own: str, now: int) -> list[str]:
        """Names of members that report that acks from `own` do not reach them."""
        return sorted(
            name
            for name, times in self.contacts.items()
            if own in times.misses and now - times.misses_reported_at < self.freshness
        )

    def update_connectivity(self, present: int, known: int, last_contact_at: int, now: int) -> Connectivity:
        """Recomputes the connectivity. Both counts include this instance; `known` is the number of members
        present or declared dead, without those that left on their own. An instance that received no answer
        for `freshness` is isolated."""
        if known <= 1:
            connectivity = Connectivity.MAJORITY
        elif now - last_contact_at >= self.freshness or present <= 1:
            connectivity = Connectivity.ISOLATED
        else:
            connectivity = Connectivity.MAJORITY if 2 * present > known else Connectivity.MINORITY
        if connectivity is not self.connectivity:
            self.connectivity, self.connectivity_since = connectivity, now
        return connectivity
