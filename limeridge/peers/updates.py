"""What a claim that was heard changes here: the table of members first, then all that depend on it.

It owns the order in which detector, reach and accusations hear of a change. It must never decide whether a
claim counts: members.py orders claims.
"""

from __future__ import annotations

from limeridge.peers.dissemination import Dissemination
from limeridge.peers.members import Change, Claim, Members, State
from limeridge.peers.outbox import Outbox
from limeridge.peers.probing import Detector
from limeridge.peers.reachability import Reachability


class Updates:
    """Merges claims into the table and passes on what changed."""

    def __init__(
        self,
        members: Members,
        detector: Detector,
        reachability: Reachability,
        dissemination: Dissemination,
        outbox: Outbox,
    ) -> None:
        self.members, self.detector, self.reachability = members, detector, reachability
        self.dissemination, self.outbox = dissemination, outbox
        self.name_was_taken = False

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
            self.handle_change(change, now)

    def handle_change(self, change: Change, now: int) -> None:
        """Passes a change of the table on to all parts that depend on it."""
        self.detector.handle_change(change, now)
        old, new = change.old, change.new
        if new.state is not State.SUSPECT:
            self.dissemination.remove_accusations(new.name)
        if old is not None and old.state >= State.DEAD and new.state is State.ALIVE:
            self.reachability.contact(new.name).returned_at = now
        if old is not None and old.life != new.life:
            seen = self.reachability.contact(new.name)
            seen.last_direct_ack = seen.last_indirect_ack = seen.last_direct_timeout = -1

    def _refute(self, claim: Claim, now: int) -> None:
        """Answers a claim about ourselves, where it is wrong."""
        if self.members.reconcile_own_claim(claim, now) is None:
            return
        own = self.members.own
        # Somebody missed us: perhaps we are slow (Lifeguard).
        if claim.life == own.life:
            self.detector.adjust_health_score(1)
        code = "refuted" if claim.life == own.life else "newer-life"
        self.outbox.log("peers", code, incarnation=own.incarnation, life=own.life.number)

    def _log_conflict(self) -> None:
        """Logs when another live process takes our name, and when it is free again."""
        if self.members.must_yield_name is self.name_was_taken:
            return
        self.name_was_taken = self.members.must_yield_name
        other = self.members.conflict
        where = f"{other.host}:{other.port}" if other is not None else ""
        self.outbox.log("peers", "name-taken" if self.name_was_taken else "name-free", other=where)
