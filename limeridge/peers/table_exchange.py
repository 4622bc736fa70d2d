"""Anti-entropy: exchanges whole membership tables over TCP, to repair what gossip by datagrams missed.

This module decides when a table is requested, and records which members hold the same table. It opens no
connections.
"""

from __future__ import annotations

import random

from limeridge.peers.intervals import Intervals
from limeridge.peers.members import Address, Claim, Members, State
from limeridge.peers.messages import Ack, Ping, Table
from limeridge.peers.outbox import Outbox
from limeridge.peers.shares import NO_VIEW, Voter

SYNC_JITTER = 0.75, 1.25  # factors of the interval, so that members do not synchronize in step


class TableExchange:
    """Sends this member's table and requests those of others."""

    def __init__(
        self,
        members: Members,
        voter: Voter | None,
        intervals: Intervals,
        rng: random.Random,
        outbox: Outbox,
        now: int,
    ) -> None:
        """The view of `voter` is sent along with the table; None if the limit is not shared out."""
        self.members, self.voter, self.intervals = members, voter, intervals
        self.rng, self.outbox = rng, outbox
        self.next_at = now
        self.in_sync: set[str] = set()  # members whose last digest equalled ours
        self.last_requested: dict[str, int] = {}  # by name: when its table was last requested

    def wake(self, now: int) -> None:
        """Exchanges tables with a random member if it is time. Call it at `next_at` or soon after."""
        if now < self.next_at:
            return
        self.next_at = now + int(self.intervals.sync * self.rng.uniform(*SYNC_JITTER))
        others = sorted(self.members.others(State.ALIVE), key=lambda claim: claim.name)
        if others:
            self.exchange_with(self.rng.choice(others).address)

    def exchange_with(self, to: Address) -> None:
        """Sends our table to `to`, which answers with its own."""
        self.outbox.send_to(to, self.build_table(answer=True), stream=True)

    def request_table(self, claim: Claim, now: int, min_interval: int) -> None:
        """Requests a member's table unless that was done less than `min_interval` microseconds ago."""
        if now - self.last_requested.get(claim.name, -min_interval) >= min_interval:
            self.last_requested[claim.name] = now
            self.exchange_with(claim.address)

    def build_table(self, answer: bool) -> Table:
        """Builds the message with our table; `answer` requests the receiver's in return."""
        view = self.voter.view if self.voter is not None else NO_VIEW
        claims = tuple(self.members.table.values())
        return Table(self.members.own, claims, (view.epoch, tuple(sorted(view.keys))), answer)

    def compare_digest(self, message: Ping | Ack, now: int) -> None:
        """Compares the sender's digest with ours, and requests its table if gossip will not reconcile the
        two."""
        name = message.own.name
        if message.digest == self.members.digest:
            self.in_sync.add(name)
            return
        self.in_sync.discard(name)
        # While updates are queued, gossip may still reconcile the tables.
        if not self.members.news and not self.members.leaving:
            self.request_table(message.own, now, self.intervals.min_sync_interval)

    def count_in_sync(self) -> int:
        """Number of other present members whose last digest equalled ours."""
        return sum(claim.name in self.in_sync for claim in self.members.others(State.ALIVE, State.SUSPECT))

    def remove_member(self, name: str) -> None:
        """Drops the records of a member that is no longer in the table."""
        self.last_requested.pop(name, None)
        self.in_sync.discard(name)
