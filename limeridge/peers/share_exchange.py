"""The message exchange about shares of the fleet-wide limit: renewals, supports and proposals of views.

This module decides when supports are requested and matches answers to requests. The shares themselves are
computed in shares.py.
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
RENEWAL_CHECKS_PER_LEASE = 4  # how often within a lease it is checked which voters to ask again
MIN_TABLE_REQUEST_INTERVAL = 250 * MS  # between two requests for the table of the same member
IDLE_INTERVAL = 1_000_000 * MS  # between wake-ups while a duty allots the surplus and nothing is renewed


class ShareExchange:
    """Handles the messages of one member as a holder, as a voter and as a proposer of views."""

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
        """No call may begin for `startup_delay` microseconds, see shares.Holder."""
        self.members, self.terms, self.voter = members, terms, voter
        self.tables, self.outbox = tables, outbox
        self.holder = Holder(terms, now, startup_delay)
        self.proposer = ViewProposer(terms, members.own.name, members.own.life.nonce)
        # Calls above the floor at a given time, if a duty allots them; None: views divide the surplus.
        self.allotted_surplus: Callable[[int], int] | None = None
        self.next_at = now
        self.last_seq = 0
        self.pending_renewals: dict[int, int] = {}  # requests by number, with their times

    # ---- the share

    def share(self, now: int) -> int:
        """Concurrent calls that this instance may have now."""
        share = self.holder.share(now)
        if self.allotted_surplus is not None and now >= self.holder.first_call_at:
            share = self.terms.floor + self.allotted_surplus(now)
        present = len(self.members.present())
        if present > self.terms.capacity + self.terms.doubles:
            # More processes than configured: the limit is no longer guaranteed, but the total must not grow
            # with their number.
            share = min(share, self.terms.limit // present)
        if self.members.must_yield_name or self.members.leaving:
            return min(share, self.terms.floor)
        return share

    def reason(self, now: int) -> str:
        """A reason code for the share."""
        if self.allotted_surplus is None or now < self.holder.first_call_at:
            return self.holder.reason(now)
        return "by-need" if self.allotted_surplus(now) else "floor-only"

    # ---- requests

    def wake(self, now: int) -> None:
        """Asks the voters whose answers need renewal. Call it at `next_at` or soon after."""
        if now < self.next_at:
            return
        if self.allotted_surplus is not None:  # a duty allots the surplus in place of views
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
        """Handles a voter's answer to a request that is still pending."""
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
        """Answers a holder's request if this member is a voter."""
        if not self._is_voter() or self.members.leaving:
            return
        if self.members.must_yield_name:
            return  # the other process with this name votes
        sender = renew.own
        answer = self.voter.support(sender.key, now)
        if answer is not None:
            self.outbox.send(sender, Support(renew.seq, self.members.own, *answer))
        self._catch_up(sender, renew.epoch, now)

    def handle_view(self, view: View) -> None:
        """Handles a proposed view; it takes effect if it is newer than the current one."""
        if self.voter.accept(view):
            epoch, by, _ = view.epoch
            self.outbox.log("peers", "view", epoch=epoch, by=by, members=len(view.keys))

    # ---- views

    def _propose_view(self, highest: Epoch, now: int) -> None:
        """Proposes a new view to all voters if it is time and this member's turn."""
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
        """Requests the table of a member that knows a newer view."""
        if epoch > self.voter.view.epoch:
            self.tables.request_table(other, now, MIN_TABLE_REQUEST_INTERVAL)

    def _is_voter(self) -> bool:
        return self.terms.votes(self.members.own.name)

    def _other_voters(self) -> list[Claim]:
        others = self.members.others(State.ALIVE, State.SUSPECT)
        return [claim for claim in others if self.terms.votes(claim.name)]
