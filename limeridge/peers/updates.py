"""Applies received claims to the membership table and to the components that depend on it.

This module decides the order in which the detector, the accusations and the contact times are updated.
Whether a claim supersedes another one is decided in members.py.
"""

from __future__ import annotations

from limeridge.peers.dissemination import Dissemination
from limeridge.peers.members import Change, Claim, Members, State
from limeridge.peers.outbox import Outbox
from limeridge.peers.probing import Detector
from limeridge.peers.reachability import Reachability


class Updates:
    """Merges claims into the table and notifies the dependent components of changes."""

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
        """Applies a claim, received or made here, about another member or about this one."""
        if claim.name == self.members.own.name:
            self._refute(claim, now)
            self._log_conflict()
            return
        if claim == self.members.table.get(claim.name):
            return  # shortcut for the large majority of received claims, which are already known
        change = self.members.merge(claim, now)
        if change is not None:
            self.handle_change(change, now)

    def handle_change(self, change: Change, now: int) -> None:
        """Notifies all dependent components of a change of the table."""
        self.detector.handle_change(change, now)
        old, new = change.old, change.new
        if new.state is not State.SUSPECT:
            self.dissemination.remove_accusations(new.name)
        if old is not None and old.state >= State.DEAD and new.state is State.ALIVE:
            self.reachability.contact(new.name).returned_at = now
        if old is not None and old.life != new.life:
            times = self.reachability.contact(new.name)
            times.last_direct_ack = times.last_indirect_ack = times.last_direct_timeout = -1

    def _refute(self, claim: Claim, now: int) -> None:
        """Refutes a wrong claim about this member."""
        if self.members.reconcile_own_claim(claim, now) is None:
            return
        own = self.members.own
        # Being suspected may mean that this instance is slow (Lifeguard).
        if claim.life == own.life:
            self.detector.adjust_health_score(1)
        code = "refuted" if claim.life == own.life else "newer-life"
        self.outbox.log("peers", code, incarnation=own.incarnation, life=own.life.number)

    def _log_conflict(self) -> None:
        """Logs when another live process takes over our name and when the name is free again."""
        if self.members.must_yield_name is self.name_was_taken:
            return
        self.name_was_taken = self.members.must_yield_name
        other = self.members.conflict
        address = f"{other.host}:{other.port}" if other is not None else ""
        self.outbox.log("peers", "name-taken" if self.name_was_taken else "name-free", other=address)
