"""How members are found: by the seeds of the settings, by service discovery, and again after a cut.

It owns when each of these is tried. It must never take an address for a member: whoever answers there says
who it is.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from limeridge.peers.dissemination import Dissemination
from limeridge.peers.habits import Habits
from limeridge.peers.members import Address, Members, State
from limeridge.peers.outbox import Outbox
from limeridge.peers.seeds import NodeListReader
from limeridge.peers.table_exchange import TableExchange

MISSING_SEED_PROBABILITY = 0.25  # that one who knows others tries a seed that is none of them


class Discovery:
    """Tries seeds, listed addresses and members that are held dead."""

    def __init__(
        self,
        members: Members,
        seeds: Sequence[Address],
        list_reader: NodeListReader | None,
        tables: TableExchange,
        dissemination: Dissemination,
        habits: Habits,
        rng: random.Random,
        outbox: Outbox,
        now: int,
    ) -> None:
        """`seeker`: decides when service discovery is asked; None where it is not to be asked."""
        self.members, self.list_reader, self.tables = members, list_reader, tables
        self.seeds = [seed for seed in seeds if seed != members.own.address]
        self.dissemination, self.habits, self.rng = dissemination, habits, rng
        self.outbox = outbox
        self.may_read_list: Callable[[int], bool] | None = None  # whether this member reads it for others too
        self.list_requested = False  # until whoever drives the member has asked for the list
        self.next_reconnect_at = now

    def next_at(self) -> int:
        """When something is to be tried next, microseconds."""
        if self.list_reader is None:
            return self.next_reconnect_at
        return min(self.next_reconnect_at, self.list_reader.next_at)

    def wake(self, now: int) -> None:
        """To be called at `next_at` or soon after."""
        if self.list_reader is not None and now >= self.list_reader.next_at:
            self._request_list(self.list_reader, now)
        if now >= self.next_reconnect_at:
            self.next_reconnect_at = now + self.habits.reach_out
            self._reconnect()

    def receive_list(self, words: Sequence[str]) -> None:
        """Takes a part of service discovery's answer; `words` as seeds.py has them."""
        if self.list_reader is not None and not self.members.leaving:
            self.list_reader.receive(words, self.members.own.address)
            self._contact_listed(self.list_reader)

    def _reconnect(self) -> None:
        """To one who is held dead, and to a seed while nobody is known: the way back after a cut."""
        dead = sorted(self.members.others(State.DEAD), key=lambda claim: claim.name)
        if dead:
            target = self.rng.choice(dead)
            self.outbox.send(target, self.dissemination.build_ping(target, 0))
        known = self._known()
        missing = [seed for seed in self.seeds if seed not in known]
        if missing and (not self._others() or self.rng.random() < MISSING_SEED_PROBABILITY):
            self.tables.ask(self.rng.choice(missing))

    def _request_list(self, list_reader: NodeListReader, now: int) -> None:
        """Those that the list named last time are tried, then it is asked again."""
        self._contact_listed(list_reader)
        others = self._others()
        # One reads for all of its zone; whoever knows nobody reads for itself.
        if others and self.may_read_list is not None and not self.may_read_list(now):
            list_reader.next_at = now + self.habits.sync
        elif list_reader.should_request(others, now):
            self.list_requested = True

    def _contact_listed(self, list_reader: NodeListReader) -> None:
        for address in list_reader.draw_candidates(self._known()):
            self.tables.ask(address)

    def _known(self) -> set[Address]:
        return {claim.address for claim in self.members.present()}

    def _others(self) -> int:
        """How many are held to be there beside ourselves."""
        return len(self.members.present()) - 1
