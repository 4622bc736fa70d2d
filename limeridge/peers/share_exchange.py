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
from limeridge.peers.shares import Epoch, Holder, Offers, Terms, View, Voter
from limeridge.peers.table_exchange import TableExchange

MS = 1_000  # microseconds
RENEWALS = 4  # looks within one lease at which voters are to be asked
PULL_EVERY = 250 * MS  # between two pulls of whole tables from the same member
SELDOM = 1_000_000 * MS  # between two looks at renewals where a duty deals: nothing is to be renewed


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
        quiet: int,
    ) -> None:
        """`quiet`: microseconds from now in which no call may begin, as shares.Holder has it."""
        self.members, self.terms, self.voter = members, terms, voter
        self.tables, self.outbox = tables, outbox
        self.holder = Holder(terms, now, quiet)
        self.offers = Offers(terms, members.own.name, members.own.life.nonce)
        self.above: Callable[[int], int] | None = None  # calls above the floor, where a duty deals them
        self.next_at = now
        self.last_seq = 0
        self.renewals: dict[int, int] = {}  # open askings and when they were made

    # ---- the share

    def share(self, now: int) -> int:
        """Calls in hand that this instance may have now."""
        share = self.holder.share(now)
        if self.above is not None and now >= self.holder.begins:
            share = self.terms.floor + self.above(now)
        present = len(self.members.present())
        if present > self.terms.capacity + self.terms.doubles:
            # More than the settings allow for: no promise holds, but it must not grow with their number.
            share = min(share, self.terms.limit // present)
        if self.members.must_yield_name or self.members.leaving:
            return min(share, self.terms.floor)
        return share

    def why(self, now: int) -> str:
        """A reason code for the share."""
        if self.above is None or now < self.holder.begins:
            return self.holder.why(now)
        return "by-need" if self.above(now) else "floor-only"

    # ---- asking

    def wake(self, now: int) -> None:
        """Asks the voters whose answers are to be renewed; to be called at `next_at` or soon after."""
        if now < self.next_at:
            return
        if self.above is not None:  # no views are made where a duty deals
            self.next_at = now + SELDOM
            return
        self.next_at = now + self.terms.lease // RENEWALS
        highest = max(self.holder.highest(), self.voter.view.epoch)
        if self._votes():
            self._offer_next(highest, now)
        self._open_renewal(now)
        if self._votes():
            answer = self.voter.support(self.members.own.key, now)
            if answer is not None:
                self.holder.answered(self.members.own.name, *answer, now)
        for claim in self._voters():
            if self.holder.wants(claim.name, highest, now):
                self.outbox.send(claim, Renew(self.last_seq, self.members.own, self.voter.view.epoch))

    def supported(self, support: Support, now: int) -> None:
        """Takes a voter's answer, where it is to an asking that is still open."""
        asked_at = self.renewals.get(support.seq)
        if asked_at is not None:
            self.holder.answered(support.own.name, support.epoch, support.cap, asked_at)
            self._catch_up(support.own, support.epoch, now)

    def _open_renewal(self, now: int) -> None:
        self.last_seq += 1
        self.renewals = {seq: at for seq, at in self.renewals.items() if now - at < self.terms.lease}
        self.renewals[self.last_seq] = now

    # ---- voting

    def asked(self, renew: Renew, now: int) -> None:
        """Answers a holder, where this member votes."""
        if not self._votes() or self.members.leaving:
            return
        if self.members.must_yield_name:
            return  # another process votes under this name
        sender = renew.own
        answer = self.voter.support(sender.key, now)
        if answer is not None:
            self.outbox.send(sender, Support(renew.seq, self.members.own, *answer))
        self._catch_up(sender, renew.epoch, now)

    def offered(self, view: View) -> None:
        """Takes a view, where it is newer than the one that is held."""
        if self.voter.offered(view):
            epoch, by, _ = view.epoch
            self.outbox.log("peers", "view", epoch=epoch, by=by, members=len(view.keys))

    # ---- views

    def _offer_next(self, highest: Epoch, now: int) -> None:
        """Makes a new view and sends it to all voters, where it is time and this member's turn."""
        present, reach = self.members.present(), self.holder.in_reach(now)
        view = self.offers.next(present, self.voter.view, highest, reach, now)
        if view is not None and not self.members.must_yield_name:
            self.offered(view)
            self._spread(view)

    def _spread(self, view: View) -> None:
        own = self.members.own
        offer = Offer(own, view.epoch, tuple(sorted(view.keys)))
        size = (
            MESSAGE_OVERHEAD_BYTES
            + CLAIM_FIXED_BYTES
            + own.text_bytes
            + sum(utf8_length(key) + 3 for key in view.keys)
        )
        for claim in self._voters():
            self.outbox.send(claim, offer, stream=size > MAX_DATAGRAM_BYTES)

    def _catch_up(self, other: Claim, epoch: Epoch, now: int) -> None:
        """Asks for the table of one that knows a newer view."""
        if epoch > self.voter.view.epoch:
            self.tables.pull(other, now, PULL_EVERY)

    def _votes(self) -> bool:
        return self.terms.votes(self.members.own.name)

    def _voters(self) -> list[Claim]:
        others = self.members.others(State.ALIVE, State.SUSPECT)
        return [claim for claim in others if self.terms.votes(claim.name)]
