"""Delegates: other parts that members carry. They hear who is there, and their words go along with ours.

It owns when each of them is woken, and the bound of what it may send. It must never read a delegate's words.
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

MAX_BODY_BYTES = (
    MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - CLAIM_FIXED_BYTES - 200
)  # bytes of a delegate's body


class Delegate(Protocol):
    """A part that members carry. `unix` is Unix time, all other times are ours, microseconds."""

    kind: str
    out: list[tuple[str, bytes]]  # to a member's name, or to all where it is empty
    events: list[Event]

    def next_at(self, now: int) -> int:
        """When it is to be woken next."""

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        """Called at `next_at` or soon after; `present` are the names of those held to be there."""

    def receive(self, sender: Claim, body: bytes, unix: int, now: int) -> None:
        """Called with what the same part of another member sent."""

    def leave(self, now: int) -> None:
        """Called once, before this member leaves."""


class Delegates:
    """The delegates of one member, by their kind."""

    def __init__(self, members: Members, outbox: Outbox) -> None:
        self.members, self.outbox = members, outbox
        self.by_kind: dict[str, Delegate] = {}
        self.wake_at: dict[str, int] = {}

    def attach(self, delegate: Delegate, now: int) -> None:
        """Carries `delegate` from now on; it is woken at once."""
        self.by_kind[delegate.kind] = delegate
        self.wake_at[delegate.kind] = now

    def flush(self, kind: str, now: int) -> None:
        """After something was asked of a delegate from outside."""
        self._flush(self.by_kind[kind], now)

    def wake(self, unix: int, now: int) -> None:
        """Wakes those whose time has come."""
        for kind, at in self.wake_at.items():
            if now >= at:
                self.by_kind[kind].wake(self._names(), unix, now)
                self._flush(self.by_kind[kind], now)

    def receive(self, message: DelegateMessage, unix: int, now: int) -> None:
        """Passes a word on to the delegate that it is for, if there is such a delegate."""
        delegate = self.by_kind.get(message.kind)
        if delegate is not None and not self.members.leaving:
            delegate.receive(message.own, message.body, unix, now)
            self._flush(delegate, now)

    def leave(self, now: int) -> None:
        """Lets each say its last words; none is woken again."""
        for delegate in self.by_kind.values():
            delegate.leave(now)
            self._flush(delegate, now)
        self.wake_at.clear()

    def _names(self) -> tuple[str, ...]:
        return tuple(sorted(claim.name for claim in self.members.present()))

    def _flush(self, delegate: Delegate, now: int) -> None:
        """Its words to whom they are for, its events to the log."""
        out, delegate.out = delegate.out, []
        for name, body in out:
            if len(body) <= MAX_BODY_BYTES:
                self._send(name, DelegateMessage(self.members.own, delegate.kind, body))
        self.outbox.log_all(delegate.events)
        delegate.events = []
        if delegate.kind in self.wake_at:
            self.wake_at[delegate.kind] = delegate.next_at(now)

    def _send(self, name: str, message: DelegateMessage) -> None:
        """To one member, or to all where `name` is empty."""
        for claim in self.members.others(State.ALIVE, State.SUSPECT):
            if not name or claim.name == name:
                self.outbox.send(claim, message)
