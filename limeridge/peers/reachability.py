"""How well each member is reached from here, and with how many of the known ones this instance stands.

It owns the grades and their reasons. It must never change what is held of a member: a grade is worked out
from the table and from when something last came, and no other member hears of it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from limeridge.peers.members import Claim, State


class Grade(Enum):
    """The text is the name in logs and tables."""

    ALIVE = "alive"
    BACK = "back"  # was gone a moment ago
    SUSPECT = "suspect"
    DEAF = "deaf"  # we hear it, it does not hear us: one way of the link is cut
    CUT_OFF = "cut-off"  # others hear it, we do not
    GONE = "gone"  # left, or held dead by those in reach


class Connectivity(Enum):
    """Among how many of the known members this instance stands. The text is the name in logs."""

    MAJORITY = "most"
    MINORITY = "few"
    ISOLATED = "alone"


@dataclass(slots=True)
class ContactTimes:
    """Times of the last signs of one member; -1 where there was none."""

    last_received: int = -1  # any datagram from it
    last_direct_ack: int = -1  # its own answer to our own probe
    last_indirect_ack: int = -1  # an answer that a helper brought
    last_direct_timeout: int = -1  # a direct probe that ran out of time
    returned_at: int = -1  # when it came back from being gone
    misses: frozenset[str] = frozenset()  # whose answers do not reach it, as it said
    misses_reported_at: int = -1  # and when


@dataclass
class Reachability:
    """`fresh`: microseconds that a sign counts; `back`: how long one is called back."""

    freshness: int
    recovery_period: int
    seen: dict[str, ContactTimes] = field(default_factory=dict)
    connectivity: Connectivity = Connectivity.ISOLATED
    connectivity_since: int = 0

    def contact(self, name: str) -> ContactTimes:
        """The signs of a member, empty where there were none yet."""
        return self.seen.setdefault(name, ContactTimes())

    def grade(self, claim: Claim, now: int) -> Grade:
        """How well the member of this claim is reached from here."""
        seen = self.seen.get(claim.name) or ContactTimes()
        if claim.state >= State.DEAD:
            return Grade.GONE
        # The last direct probe failed, and no answer to a later one came: the link is not whole.
        cut = seen.last_direct_timeout > seen.last_direct_ack
        if (
            cut
            and seen.last_received > seen.last_direct_timeout
            and now - seen.last_received < self.freshness
        ):
            return Grade.DEAF
        if cut and seen.last_indirect_ack >= 0 and now - seen.last_indirect_ack < self.freshness:
            return Grade.CUT_OFF
        if claim.state is State.SUSPECT:
            return Grade.SUSPECT
        if seen.returned_at >= 0 and now - seen.returned_at < self.recovery_period:
            return Grade.BACK
        return Grade.ALIVE

    def members_not_answering(self, names: Iterable[str]) -> Iterator[str]:
        """Those of `names` whose answers to our own probes do not come."""
        for name in names:
            seen = self.seen.get(name)
            if seen is not None and seen.last_direct_timeout > seen.last_direct_ack:
                yield name

    def members_missing_our_acks(self, own: str, now: int) -> list[str]:
        """Those who say that our answers do not reach them."""
        return sorted(
            name
            for name, seen in self.seen.items()
            if own in seen.misses and now - seen.misses_reported_at < self.freshness
        )

    def update_connectivity(self, present: int, known: int, last_contact_at: int, now: int) -> Connectivity:
        """`present` and `known` count ourselves; known are those present and those held dead, not those that
        left: they said so. Alone is who heard nobody for as long as a sign counts."""
        if known <= 1:
            connectivity = Connectivity.MAJORITY
        elif now - last_contact_at >= self.freshness or present <= 1:
            connectivity = Connectivity.ISOLATED
        else:
            connectivity = Connectivity.MAJORITY if 2 * present > known else Connectivity.MINORITY
        if connectivity is not self.connectivity:
            self.connectivity, self.connectivity_since = connectivity, now
        return connectivity
