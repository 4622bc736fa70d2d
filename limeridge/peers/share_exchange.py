"""This member's share of the fleet's limit on the wire: asking voters, answering holders, offering views.

It owns the numbers of its askings and when they are made. It must never work a share out: shares.py does.
"""

from __future__ import annotations

from collections.abc import Callable

from limeridge.peers.members import Claim, Members, State, utf8_length
from limeridge.peers.messages import (
    CLAIM_FIXED_BYTES,
    MAX_DATAGRAM_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    Offer,
    Renew,
    Support,
)
from limeridge.peers.outbox import Outbox
from limeridge.peers.shares import Epoch, Holder, Terms, View, ViewProposer, Voter
from limeridge.peers.table_exchange import TableExchange

MS = 1_000  # microseconds
RENEWAL_CHECKS_PER_LEASE = 4  # looks within one lease at which voters are to be asked
MIN_TABLE_REQUEST_INTERVAL = 250 * MS  # between two pulls of whole tables from the same member
IDLE_INTERVAL = 1_000_000 * MS  # between two looks at renewals where a duty deals: nothing is to be renewed


class ShareExchange:
    """What one member says and hears as holder, voter and maker of views."""

    def __init__(
        self,
        members: Members,
        terms: Terms,
        voter: Voter,
        tables: TableExchange,
        outbox: Outbox,
        now: int,
        startup_delay: int,
    ) -> None:
        """`quiet`: microseconds from now in which no call may begin, as shares.Holder has it."""
        self.members, self.terms, self.voter = members, terms, voter
        self.tables, self.outbox = tables, outbox
        self.holder = Holder(terms, now, startup_delay)
        self.proposer = ViewProposer(terms, members.own.name, members.own.life.nonce)
        self.allotted_surplus: Callable[[int], int] | None = (
            None  # calls above the floor, where a duty deals them
        )
        self.next_at = now
        self.last_seq = 0
        self.pending_renewals: dict[int, int] = {}  # open askings and when they were made

    # ---- the share

    def share(self, now: int) -> int:
        """Calls in hand that this instance may have now."""
        share = self.holder.share(now)
        if self.allotted_surplus is not None and now >= self.holder.first_call_at:
            share = self.terms.floor + self.allotted_surplus(now)
        present = len(self.members.present())
        if present > self.terms.capacity + self.terms.doubles:
            # More than the settings allow for: no promise holds, but it must not grow with their number.
            share = min(share, self.terms.limit // present)
        if self.members.must_yield_name or self.members.leaving:
            return min(share, self.terms.floor)
        return share

    def reason(self, now: int) -> str:
        """A reason code for the share."""
        if self.allotted_surplus is None or now < self.holder.first_call_at:
            return self.holder.reason(now)
        return "by-need" if self.allotted_surplus(now) else "floor-only"

    # ---- asking

    def wake(self, now: int) -> None:
        """Asks the voters whose answers are to be renewed; to be called at `next_at` or soon after."""
        if now < self.next_at:
            return
        if self.allotted_surplus is not None:  # no views are made where a duty deals
            self.next_at = now + IDLE_INTERVAL
            return
        self.next_at = now + self.terms.lease // RENEWAL_CHECKS_PER_LEASE
        highest = max(self.holder.highest_epoch(), self.voter.view.epoch)
        if self._is_voter():
            self._propose_view(highest, now)
        self._start_renewal(now)
        if self._is_voter():
            answer = self.voter.support(self.members.own.key, now)
            if answer is not None:
                self.holder.record_support(self.members.own.name, *answer, now)
        for claim in self._other_voters():
            if self.holder.needs_renewal(claim.name, highest, now):
                self.outbox.send(claim, Renew(self.last_seq, self.members.own, self.voter.view.epoch))

    def handle_support(self, support: Support, now: int) -> None:
        """Takes a voter's answer, where it is to an asking that is still open."""
        requested_at = self.pending_renewals.get(support.seq)
        if requested_at is not None:
            self.holder.record_support(support.own.name, support.epoch, support.cap, requested_at)
            self._catch_up(support.own, support.epoch, now)

    def _start_renewal(self, now: int) -> None:
        self.last_seq += 1
        self.pending_renewals = {
            seq: at for seq, at in self.pending_renewals.items() if now - at < self.terms.lease
        }
        self.pending_renewals[self.last_seq] = now

    # ---- voting

    def handle_renew(self, renew: Renew, now: int) -> None:
        """Answers a holder, where this member votes."""
        if not self._is_voter() or self.members.leaving:
            return
        if self.members.must_yield_name:
            return  # another process votes under this name
        sender = renew.own
        answer = self.voter.support(sender.key, now)
        if answer is not None:
            self.outbox.send(sender, Support(renew.seq, self.members.own, *answer))
        self._catch_up(sender, renew.epoch, now)

    def handle_view(self, view: View) -> None:
        """Takes a view, where it is newer than the one that is held."""
        if self.voter.accept(view):
            epoch, by, _ = view.epoch
            self.outbox.log("peers", "view", epoch=epoch, by=by, members=len(view.keys))

    # ---- views

    def _propose_view(self, highest: Epoch, now: int) -> None:
        """Makes a new view and sends it to all voters, where it is time and this member's turn."""
        present, reachable_voters = self.members.present(), self.holder.reachable_voters(now)
        view = self.proposer.next_view(present, self.voter.view, highest, reachable_voters, now)
        if view is not None and not self.members.must_yield_name:
            self.handle_view(view)
            self._broadcast_view(view)

    def _broadcast_view(self, view: View) -> None:
        own = self.members.own
        offer = Offer(own, view.epoch, tuple(sorted(view.keys)))
        size = (
            MESSAGE_OVERHEAD_BYTES
            + CLAIM_FIXED_BYTES
            + own.text_bytes
            + sum(utf8_length(key) + 3 for key in view.keys)
        )
        for claim in self._other_voters():
            self.outbox.send(claim, offer, stream=size > MAX_DATAGRAM_BYTES)

    def _catch_up(self, other: Claim, epoch: Epoch, now: int) -> None:
        """Asks for the table of one that knows a newer view."""
        if epoch > self.voter.view.epoch:
            self.tables.request_table(other, now, MIN_TABLE_REQUEST_INTERVAL)

    def _is_voter(self) -> bool:
        return self.terms.votes(self.members.own.name)

    def _other_voters(self) -> list[Claim]:
        others = self.members.others(State.ALIVE, State.SUSPECT)
        return [claim for claim in others if self.terms.votes(claim.name)]
