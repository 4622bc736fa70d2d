"""What a claim that was heard changes here: the table of members first, then all that depend on it.

It owns the order in which detector, reach and accusations hear of a change. It must never decide whether a
claim counts: members.py orders claims.
"""

from __future__ import annotations

from limeridge.peers.dissemination import Dissemination
from limeridge.peers.members import Change, Claim, Members, State
from limeridge.peers.outbox import Outbox
from limeridge.peers.probing import Detector
from limeridge.peers.reach import Reach


class Updates:
    """Merges claims into the table and passes on what changed."""

    def __init__(
        self, members: Members, detector: Detector, reach: Reach, dissemination: Dissemination, outbox: Outbox
    ) -> None:
        self.members, self.detector, self.reach = members, detector, reach
        self.dissemination, self.outbox = dissemination, outbox
        self.was_yielding = False

    def merge(self, claim: Claim, now: int) -> None:
        """Takes a claim, heard or made here, about another member or about ourselves."""
        if claim.name == self.members.own.name:
            self._refute(claim, now)
            self._log_conflict()
            return
        if claim == self.members.table.get(claim.name):
            return  # by far the most of what comes says nothing new
        change = self.members.merge(claim, now)
        if change is not None:
            self.changed(change, now)

    def changed(self, change: Change, now: int) -> None:
        """Passes a change of the table on to all parts that depend on it."""
        self.detector.changed(change, now)
        old, new = change.old, change.new
        if new.state is not State.SUSPECT:
            self.dissemination.withdraw(new.name)
        if old is not None and old.state >= State.DEAD and new.state is State.ALIVE:
            self.reach.of(new.name).back = now
        if old is not None and old.life != new.life:
            seen = self.reach.of(new.name)
            seen.answered = seen.by_others = seen.unanswered = -1

    def _refute(self, claim: Claim, now: int) -> None:
        """Answers a claim about ourselves, where it is wrong."""
        if self.members.reconcile_own_claim(claim, now) is None:
            return
        own = self.members.own
        # Somebody missed us: perhaps we are slow (Lifeguard).
        if claim.life == own.life:
            self.detector.distrust(1)
        code = "refuted" if claim.life == own.life else "newer-life"
        self.outbox.log("peers", code, incarnation=own.incarnation, life=own.life.number)

    def _log_conflict(self) -> None:
        """Logs when another live process takes our name, and when it is free again."""
        if self.members.must_yield_name is self.was_yielding:
            return
        self.was_yielding = self.members.must_yield_name
        other = self.members.conflict
        where = f"{other.host}:{other.port}" if other is not None else ""
        self.outbox.log("peers", "name-taken" if self.was_yielding else "name-free", other=where)
