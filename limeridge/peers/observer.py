"""Logs changes of the members' grades, of the connectivity and of the reason for the share.

This module only remembers what it logged last; it changes no other state.
"""

from __future__ import annotations

from limeridge.peers.members import Claim, Members, State
from limeridge.peers.outbox import Outbox
from limeridge.peers.probing import Detector
from limeridge.peers.reachability import Connectivity, Grade, Reachability
from limeridge.peers.share_exchange import ShareExchange


class Observer:
    """Compares the current state with what was last logged, and logs one line per difference."""

    def __init__(
        self,
        members: Members,
        detector: Detector,
        reachability: Reachability,
        shares: ShareExchange | None,
        outbox: Outbox,
        now: int,
        interval: int,
    ) -> None:
        """`interval` is the time between two checks in microseconds."""
        self.members, self.detector, self.reachability = members, detector, reachability
        self.shares, self.outbox = shares, outbox
        self.interval, self.next_at = interval, now
        self.grades: dict[str, Grade] = {}
        self.last_reason = ""

    def wake(self, now: int) -> None:
        """Checks for changes if it is time, or on every call once this member is leaving."""
        if now >= self.next_at or self.members.leaving:
            self.next_at = now + self.interval
            self._log_grade_changes(now)
            self._log_connectivity_change(now)
            self._log_share_change(now)

    def remove_member(self, name: str) -> None:
        """Drops the last logged grade of a member that is no longer in the table."""
        self.grades.pop(name, None)

    def _log_grade_changes(self, now: int) -> None:
        for claim in self.members.others(*State):
            grade, old = self.reachability.grade(claim, now), self.grades.get(claim.name)
            if grade is not old:
                self.grades[claim.name] = grade
                self._log_grade(claim, grade, old)

    def _log_grade(self, claim: Claim, grade: Grade, old: Grade | None) -> None:
        self.outbox.log(
            "peer",
            grade.value,
            peer=claim.name,
            was=old.value if old else "",
            at=f"{claim.host}:{claim.port}",
            life=claim.life.number,
            incarnation=claim.incarnation,
        )

    def _log_connectivity_change(self, now: int) -> None:
        old = self.reachability.connectivity
        new = self._connectivity(now)
        if new is not old:
            self.outbox.log("peers", f"with-{new.value}", present=len(self.members.present()))

    def _connectivity(self, now: int) -> Connectivity:
        present = len(self.members.present())
        dead = sum(1 for _ in self.members.others(State.DEAD))
        return self.reachability.update_connectivity(
            present, present + dead, self.detector.last_contact_at, now
        )

    def _log_share_change(self, now: int) -> None:
        if self.shares is None:
            return
        reason = self.shares.reason(now)
        if reason != self.last_reason:
            self.last_reason = reason
            self.outbox.log("share", reason, share=self.shares.share(now))
