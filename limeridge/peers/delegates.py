"""Delegates: other components that use the membership, as in memberlist. They learn which members are present
and exchange messages over the members' sockets.

This module schedules the delegates and bounds the size of their messages. It does not interpret the contents.
"""

from __future__ import annotations

from typing import Protocol

from limeridge.peers.members import Claim, Members, State
from limeridge.peers.messages import (
    CLAIM_FIXED_BYTES,
    MAX_DATAGRAM_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    DelegateMessage,
)
from limeridge.peers.outbox import Event, Outbox

MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - CLAIM_FIXED_BYTES - 200  # of a delegate


class Delegate(Protocol):
    """A component that uses the membership. `unix` is Unix time, all other times are of the member's
    monotonic clock; both are in microseconds."""

    kind: str
    out: list[tuple[str, bytes]]  # recipient (a member's name, or empty for all) and body
    events: list[Event]

    def next_at(self, now: int) -> int:
        """When `wake` is due next."""

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        """Called at `next_at` or soon after; `present` are the names of all present members."""

    def receive(self, sender: Claim, body: bytes, unix: int, now: int) -> None:
        """Called with a message from the delegate of the same kind at another member."""

    def leave(self, now: int) -> None:
        """Called once, before this member leaves."""


class Delegates:
    """The delegates of one member, by their kind."""

    def __init__(self, members: Members, outbox: Outbox) -> None:
        self.members, self.outbox = members, outbox
        self.by_kind: dict[str, Delegate] = {}
        self.wake_at: dict[str, int] = {}

    def attach(self, delegate: Delegate, now: int) -> None:
        """Adds a delegate; it is woken at once."""
        self.by_kind[delegate.kind] = delegate
        self.wake_at[delegate.kind] = now

    def flush(self, kind: str, now: int) -> None:
        """Sends and logs what a delegate has queued, after it was called from outside."""
        self._flush(self.by_kind[kind], now)

    def wake(self, unix: int, now: int) -> None:
        """Wakes the delegates that are due."""
        for kind, at in self.wake_at.items():
            if now >= at:
                self.by_kind[kind].wake(self._names(), unix, now)
                self._flush(self.by_kind[kind], now)

    def receive(self, message: DelegateMessage, unix: int, now: int) -> None:
        """Passes a message to the delegate of its kind, if there is one."""
        delegate = self.by_kind.get(message.kind)
        if delegate is not None and not self.members.leaving:
            delegate.receive(message.own, message.body, unix, now)
            self._flush(delegate, now)

    def leave(self, now: int) -> None:
        """Lets each delegate send its last messages; none is woken again."""
        for delegate in self.by_kind.values():
            delegate.leave(now)
            self._flush(delegate, now)
        self.wake_at.clear()

    def _names(self) -> tuple[str, ...]:
        return tuple(sorted(claim.name for claim in self.members.present()))

    def _flush(self, delegate: Delegate, now: int) -> None:
        """Moves a delegate's messages and events to the outbox and reschedules it."""
        out, delegate.out = delegate.out, []
        for name, body in out:
            if len(body) <= MAX_BODY_BYTES:
                self._send(name, DelegateMessage(self.members.own, delegate.kind, body))
        self.outbox.log_all(delegate.events)
        delegate.events = []
        if delegate.kind in self.wake_at:
            self.wake_at[delegate.kind] = delegate.next_at(now)

    def _send(self, name: str, message: DelegateMessage) -> None:
        """Sends to one member, or to all if `name` is empty."""
        for claim in self.members.others(State.ALIVE, State.SUSPECT):
            if not name or claim.name == name:
                self.outbox.send(claim, message)
