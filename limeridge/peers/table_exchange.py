"""Whole tables over TCP: the repair of whatever news by datagrams did not bring (anti-entropy).

It owns when a table is asked for, and who holds the same one. It must never open a connection.
"""

from __future__ import annotations

import random

from limeridge.peers.habits import Habits
from limeridge.peers.members import Address, Claim, Members, State
from limeridge.peers.messages import Ack, Ping, Table
from limeridge.peers.outbox import Outbox
from limeridge.peers.shares import NO_VIEW, Voter

SYNC_JITTER = 0.75, 1.25  # of the interval: members must not sync in step


class TableExchange:
    """Sends our table, and asks for those of others."""

    def __init__(
        self,
        members: Members,
        voter: Voter | None,
        habits: Habits,
        rng: random.Random,
        outbox: Outbox,
        now: int,
    ) -> None:
        """`voter`: whose view goes along with our table, where the limit is shared out."""
        self.members, self.voter, self.habits = members, voter, habits
        self.rng, self.outbox = rng, outbox
        self.next_at = now
        self.in_sync: set[str] = set()  # those whose digest was ours when last heard
        self.last_requested: dict[str, int] = {}  # when each was last asked for its table

    def wake(self, now: int) -> None:
        """Asks one member, drawn anew, where it is time; to be called at `next_at` or soon after."""
        if now < self.next_at:
            return
        self.next_at = now + int(self.habits.sync * self.rng.uniform(*SYNC_JITTER))
        others = sorted(self.members.others(State.ALIVE), key=lambda claim: claim.name)
        if others:
            self.exchange_with(self.rng.choice(others).address)

    def exchange_with(self, to: Address) -> None:
        """Sends our table to `to`, which sends its own back."""
        self.outbox.send_to(to, self.build_table(answer=True), stream=True)

    def request_table(self, claim: Claim, now: int, min_interval: int) -> None:
        """Asks a member for its table, unless it was asked less than `every` microseconds ago."""
        if now - self.last_requested.get(claim.name, -min_interval) >= min_interval:
            self.last_requested[claim.name] = now
            self.exchange_with(claim.address)

    def build_table(self, answer: bool) -> Table:
        """Our table; `answer` asks for the other's in return."""
        view = self.voter.view if self.voter is not None else NO_VIEW
        claims = tuple(self.members.table.values())
        return Table(self.members.own, claims, (view.epoch, tuple(sorted(view.keys))), answer)

    def compare_digest(self, message: Ping | Ack, now: int) -> None:
        """Looks whether the sender's table is ours, by its digest, and asks for it where nothing else will
        make them alike."""
        name = message.own.name
        if message.digest == self.members.digest:
            self.in_sync.add(name)
            return
        self.in_sync.discard(name)
        # News may be on its way; what news has run out of telling, a whole table mends.
        if not self.members.news and not self.members.leaving:
            self.request_table(message.own, now, self.habits.sync_soon)

    def count_in_sync(self) -> int:
        """How many of the others that are there had our digest when last heard."""
        return sum(claim.name in self.in_sync for claim in self.members.others(State.ALIVE, State.SUSPECT))

    def remove_member(self, name: str) -> None:
        """Drops what is kept of a member that is no longer in the table."""
        self.last_requested.pop(name, None)
        self.in_sync.discard(name)
