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

    MOST = "most"
    FEW = "few"
    ALONE = "alone"


@dataclass(slots=True)
class Seen:
    """Times of the last signs of one member; -1 where there was none."""

    heard: int = -1  # any datagram from it
    answered: int = -1  # its own answer to our own probe
    by_others: int = -1  # an answer that a helper brought
    unanswered: int = -1  # a direct probe that ran out of time
    back: int = -1  # when it came back from being gone
    misses: frozenset[str] = frozenset()  # whose answers do not reach it, as it said
    said: int = -1  # and when


@dataclass
class Reach:
    """`fresh`: microseconds that a sign counts; `back`: how long one is called back."""

    fresh: int
    back: int
    seen: dict[str, Seen] = field(default_factory=dict)
    connectivity: Connectivity = Connectivity.ALONE
    connectivity_since: int = 0

    def of(self, name: str) -> Seen:
        """The signs of a member, empty where there were none yet."""
        return self.seen.setdefault(name, Seen())

    def grade(self, claim: Claim, now: int) -> Grade:
        """How well the member of this claim is reached from here."""
        seen = self.seen.get(claim.name) or Seen()
        if claim.state >= State.DEAD:
            return Grade.GONE
        # The last direct probe failed, and no answer to a later one came: the link is not whole.
        cut = seen.unanswered > seen.answered
        if cut and seen.heard > seen.unanswered and now - seen.heard < self.fresh:
            return Grade.DEAF
        if cut and seen.by_others >= 0 and now - seen.by_others < self.fresh:
            return Grade.CUT_OFF
        if claim.state is State.SUSPECT:
            return Grade.SUSPECT
        if seen.back >= 0 and now - seen.back < self.back:
            return Grade.BACK
        return Grade.ALIVE

    def misses(self, names: Iterable[str]) -> Iterator[str]:
        """Those of `names` whose answers to our own probes do not come."""
        for name in names:
            seen = self.seen.get(name)
            if seen is not None and seen.unanswered > seen.answered:
                yield name

    def missed_by(self, own: str, now: int) -> list[str]:
        """Those who say that our answers do not reach them."""
        return sorted(
            name for name, seen in self.seen.items() if own in seen.misses and now - seen.said < self.fresh
        )

    def look(self, present: int, known: int, heard_at: int, now: int) -> Connectivity:
        """`present` and `known` count ourselves; known are those present and those held dead, not those that
        left: they said so. Alone is who heard nobody for as long as a sign counts."""
        if known <= 1:
            connectivity = Connectivity.MOST
        elif now - heard_at >= self.fresh or present <= 1:
            connectivity = Connectivity.ALONE
        else:
            connectivity = Connectivity.MOST if 2 * present > known else Connectivity.FEW
        if connectivity is not self.connectivity:
            self.connectivity, self.connectivity_since = connectivity, now
        return connectivity
