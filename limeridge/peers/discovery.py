"""Finds members through the configured seeds and the node list, and reconnects after a network partition.

This module decides when each of these is tried. An address found is not taken for a member until a process
there has answered with its own claim.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from limeridge.peers.dissemination import Dissemination
from limeridge.peers.intervals import Intervals
from limeridge.peers.members import Address, Members, State
from limeridge.peers.outbox import Outbox
from limeridge.peers.seeds import NodeListReader
from limeridge.peers.table_exchange import TableExchange

MISSING_SEED_PROBABILITY = 0.25  # of contacting a seed that is not a known member while others are known


class Discovery:
    """Contacts seeds, addresses from the node list and dead members."""

    def __init__(
        self,
        members: Members,
        seeds: Sequence[Address],
        list_reader: NodeListReader | None,
        tables: TableExchange,
        dissemination: Dissemination,
        intervals: Intervals,
        rng: random.Random,
        outbox: Outbox,
        now: int,
    ) -> None:
        """`list_reader` decides when the node list is requested; None if it is not used."""
        self.members, self.list_reader, self.tables = members, list_reader, tables
        self.seeds = [seed for seed in seeds if seed != members.own.address]
        self.dissemination, self.intervals, self.rng = dissemination, intervals, rng
        self.outbox = outbox
        # Whether this member may read the list at a given time; None: always.
        self.may_read_list: Callable[[int], bool] | None = None
        self.list_requested = False  # set here, cleared by the driver once it has sent the request
        self.next_reconnect_at = now

    def next_at(self) -> int:
        """When `wake` is due next, microseconds."""
        if self.list_reader is None:
            return self.next_reconnect_at
        return min(self.next_reconnect_at, self.list_reader.next_at)

    def wake(self, now: int) -> None:
        """Runs what is due. Call it at `next_at` or soon after."""
        if self.list_reader is not None and now >= self.list_reader.next_at:
            self._request_list(self.list_reader, now)
        if now >= self.next_reconnect_at:
            self.next_reconnect_at = now + self.intervals.reconnect
            self._reconnect()

    def receive_list(self, words: Sequence[str]) -> None:
        """Handles one part of the node list; see `NodeListReader.receive` for the format of `words`."""
        if self.list_reader is not None and not self.members.leaving:
            self.list_reader.receive(words, self.members.own.address)
            self._contact_listed(self.list_reader)

    def _reconnect(self) -> None:
        """Pings a dead member and contacts a missing seed, so that partitions heal."""
        dead = sorted(self.members.others(State.DEAD), key=lambda claim: claim.name)
        if dead:
            target = self.rng.choice(dead)
            self.outbox.send(target, self.dissemination.build_ping(target, 0))
        known = self._known()
        missing = [seed for seed in self.seeds if seed not in known]
        if missing and (not self._others() or self.rng.random() < MISSING_SEED_PROBABILITY):
            self.tables.exchange_with(self.rng.choice(missing))

    def _request_list(self, list_reader: NodeListReader, now: int) -> None:
        """Contacts addresses from the last list, then decides whether to request the list again."""
        self._contact_listed(list_reader)
        others = self._others()
        # One member reads the list for its whole zone; a member that knows no others reads it itself.
        if others and self.may_read_list is not None and not self.may_read_list(now):
            list_reader.next_at = now + self.intervals.sync
        elif list_reader.should_request(others, now):
            self.list_requested = True

    def _contact_listed(self, list_reader: NodeListReader) -> None:
        for address in list_reader.draw_candidates(self._known()):
            self.tables.exchange_with(address)

    def _known(self) -> set[Address]:
        return {claim.address for claim in self.members.present()}

    def _others(self) -> int:
        """Number of other members that are alive or suspect."""
        return len(self.members.present()) - 1
