"""One member of a fleet, assembled from its components.

This module only dispatches messages, timers and the departure to the components, in a fixed order; the
decisions are theirs. It does no I/O and reads no clock: the driver takes the messages to be sent from `out`
and the events to be logged from `events`. No message that a member of the fleet may send makes it raise.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from msgspec.structs import replace

from limeridge.peers.delegates import Delegate, Delegates
from limeridge.peers.discovery import Discovery
from limeridge.peers.dissemination import Dissemination
from limeridge.peers.intervals import Intervals
from limeridge.peers.members import Address, Claim, Life, Members, State
from limeridge.peers.messages import (
    Ack,
    DelegateMessage,
    Message,
    Nack,
    Offer,
    Ping,
    PingRequest,
    Renew,
    Support,
    Table,
)
from limeridge.peers.observer import Observer
from limeridge.peers.outbox import Event, Outbox, Send
from limeridge.peers.prober import Prober
from limeridge.peers.probing import Detector
from limeridge.peers.reachability import Reachability
from limeridge.peers.relays import Relays
from limeridge.peers.seeds import NodeListReader
from limeridge.peers.share_exchange import ShareExchange
from limeridge.peers.shares import Holder, Terms, View, Voter
from limeridge.peers.table_exchange import TableExchange
from limeridge.peers.updates import Updates

__all__ = ["Intervals", "Peer", "own_claim"]

FRESHNESS_ROUNDS = 4  # for which a contact with a member counts
RECOVERY_ROUNDS = 10  # for which a returned member is graded BACK
OBSERVATIONS_PER_ROUND = 4  # checks for changes that are to be logged
NEVER = 1 << 62  # microseconds


class Peer:
    """A member, driven by received messages (`receive`) and by time (`wake` at `next_at`)."""

    def __init__(
        self,
        own: Claim,
        seeds: Sequence[Address],
        intervals: Intervals,
        terms: Terms | None,
        rng: random.Random,
        now: int,
        startup_delay: int = 0,
        list_reader: NodeListReader | None = None,
    ) -> None:
        """Creates a member that starts at `now`.

        `terms` describes the shared limit, None if there is none; no call may begin for `startup_delay`
        microseconds. `list_reader` is given if members are also found through service discovery.
        """
        interval = intervals.probe_settings.interval
        self.intervals, self.terms, self.rng = intervals, terms, rng
        self.unix = 0  # Unix time in microseconds for the delegates, updated by the driver
        self.outbox = Outbox()
        self.members = Members(own)
        self.detector = Detector(self.members, rng, intervals.probe_settings, now)
        self.reachability = Reachability(
            FRESHNESS_ROUNDS * interval, RECOVERY_ROUNDS * interval, connectivity_since=now
        )
        self.voter = Voter(terms, now) if terms is not None else None
        members, detector, reachability, outbox = self.members, self.detector, self.reachability, self.outbox
        self.dissemination = Dissemination(members, detector, reachability)
        self.updates = Updates(members, detector, reachability, self.dissemination, outbox)
        self.relays = Relays(members, self.dissemination, outbox, intervals.probe_settings.timeout)
        self.prober = Prober(
            members, detector, reachability, self.dissemination, self.updates, self.relays, outbox
        )
        self.tables = TableExchange(members, self.voter, intervals, rng, outbox, now)
        self.discovery = Discovery(
            members, seeds, list_reader, self.tables, self.dissemination, intervals, rng, outbox, now
        )
        self.shares: ShareExchange | None = None
        if terms is not None and self.voter is not None:
            self.shares = ShareExchange(members, terms, self.voter, self.tables, outbox, now, startup_delay)
        self.delegates = Delegates(members, outbox)
        self.observer = Observer(
            members, detector, reachability, self.shares, outbox, now, interval // OBSERVATIONS_PER_ROUND
        )

    # ---- state

    @property
    def own(self) -> Claim:
        """This member's own claim."""
        return self.members.own

    @property
    def leaving(self) -> bool:
        """Whether `leave` was called."""
        return self.members.leaving

    @property
    def holder(self) -> Holder | None:
        """The record of supports for this member's share; None if the limit is not shared."""
        return self.shares.holder if self.shares is not None else None

    @property
    def out(self) -> list[Send]:
        """Messages waiting to be sent."""
        return self.outbox.sends

    @property
    def events(self) -> list[Event]:
        """Events waiting to be logged."""
        return self.outbox.events

    @property
    def in_sync(self) -> set[str]:
        """Names of the members whose last digest equalled ours."""
        return self.tables.in_sync

    def count_in_sync(self) -> int:
        """Number of other present members whose last digest equalled ours."""
        return self.tables.count_in_sync()

    # ---- time

    def next_at(self) -> int:
        """When `wake` is due next, microseconds."""
        times = self.relays.deadlines()
        if self.leaving:  # only pending relays are still served
            return min(times, default=NEVER)
        times += [self.detector.next_at, self.tables.next_at, self.discovery.next_at()]
        if self.shares is not None:
            times.append(self.shares.next_at)
        return min([*times, *self.delegates.wake_at.values()])

    def wake(self, now: int) -> None:
        """Runs what is due. Call it at `next_at` or soon after; an earlier call is harmless."""
        if not self.leaving:
            self.prober.wake(now)
            if self.shares is not None:
                self.shares.wake(now)
            self.discovery.wake(now)
            self.tables.wake(now)
        self.relays.expire(now)
        for claim in self.members.remove_expired(now, self.intervals.retention):
            self._remove_member(claim.name)
        self.delegates.wake(self.unix, now)
        self.observer.wake(now)

    def leave(self, now: int) -> None:
        """Announces, before a drain, that this member leaves. The announcement is sent at once to as many
        members as an update is sent to, without waiting for the next probe round."""
        if self.leaving:
            return
        self.delegates.leave(now)
        self.updates.handle_change(
            self.members.replace_own_claim(replace(self.own, state=State.LEFT), now), now
        )
        others = sorted(self.members.others(State.ALIVE, State.SUSPECT), key=lambda claim: claim.name)
        limit = self.members.transmission_limit()
        for claim in self.rng.sample(others, min(len(others), limit)):
            self.outbox.send(claim, Ping(0, self.own, claim.name, self.members.digest))

    def _remove_member(self, name: str) -> None:
        self.reachability.contacts.pop(name, None)
        self.observer.remove_member(name)
        self.tables.remove_member(name)

    # ---- messages

    def receive(self, message: Message, now: int) -> Table | None:
        """Handles a message. A table that is returned is to be sent back over the same stream."""
        sender = message.own
        self.reachability.contact(sender.name).last_received = now
        if sender.name == self.own.name and sender.life == self.own.life:
            return None  # our own message, sent back to us
        self.updates.merge(sender, now)
        if isinstance(message, Table):
            return self._receive_table(message, now)
        if isinstance(message, DelegateMessage):
            self.delegates.receive(message, self.unix, now)
        elif isinstance(message, Renew | Support | Offer):
            self._receive_share_message(message, now)
        else:
            self._receive_probe(message, now)
        return None

    def _receive_probe(self, message: Ping | Ack | Nack | PingRequest, now: int) -> None:
        if isinstance(message, Ping | Ack):
            self._apply_gossip(message, now)
        if isinstance(message, Ping):
            self.prober.send_ack(message)
        elif isinstance(message, Ack):
            self.prober.handle_ack(message, now)
        elif isinstance(message, Nack):
            self.prober.handle_nack(message, now)
        else:
            self.relays.begin(message, now)

    def _apply_gossip(self, message: Ping | Ack, now: int) -> None:
        for claim in message.news:
            self.updates.merge(claim, now)
        for accusation in message.accusals:
            self.dissemination.add_accusation(accusation)
        times = self.reachability.contact(message.own.name)
        times.misses, times.misses_reported_at = frozenset(message.misses), now
        self.tables.compare_digest(message, now)

    def _receive_share_message(self, message: Renew | Support | Offer, now: int) -> None:
        if self.shares is None:
            return
        if isinstance(message, Renew):
            self.shares.handle_renew(message, now)
        elif isinstance(message, Support):
            self.shares.handle_support(message, now)
        else:
            self.shares.handle_view(View(message.epoch, frozenset(message.keys)))

    def _receive_table(self, table: Table, now: int) -> Table | None:
        self.detector.last_contact_at = now
        for claim in table.claims:
            self.updates.merge(claim, now)
        if self.shares is not None:
            epoch, keys = table.view
            self.shares.handle_view(View(epoch, frozenset(keys)))
        return self.tables.build_table(answer=False) if table.answer else None

    # ---- delegates

    def attach(self, delegate: Delegate, now: int) -> None:
        """Adds a delegate, which takes part from now on."""
        self.delegates.attach(delegate, now)

    def flush(self, kind: str, now: int) -> None:
        """Sends and logs what the delegate of that kind has queued, after it was called from outside.

        Raises KeyError if there is no such delegate.
        """
        self.delegates.flush(kind, now)

    # ---- shares

    def share(self, now: int) -> int | None:
        """Concurrent calls that this instance may have now; None if the limit is not shared."""
        return self.shares.share(now) if self.shares is not None else None

    def reason(self, now: int) -> str:
        """Reason code for the current share; empty if the limit is not shared."""
        return self.shares.reason(now) if self.shares is not None else ""

    def use_allotted_surplus(self, allotted_surplus: Callable[[int], int]) -> None:
        """Lets a duty allot the surplus above the floors, in place of views.

        `allotted_surplus` returns this member's calls above its floor at a given time. Without a shared limit
        this has no effect.
        """
        if self.shares is not None:
            self.shares.allotted_surplus = allotted_surplus


def own_claim(name: str, address: Address, unix: int, nonce: int, zone: str = "", version: str = "") -> Claim:
    """Builds the claim of a process that starts now; `unix` is Unix time in microseconds."""
    return Claim(name, Life(max(1, unix), nonce), 0, State.ALIVE, *address, zone, version)
