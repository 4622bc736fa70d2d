"""Other parts that are carried by members: they hear who is there, and their words go along with ours.

It owns when each of them is woken, and the bound of what it may send. It must never read a guest's words.
"""

from __future__ import annotations

from typing import Protocol

from limeridge.peers.members import Claim, Members, State
from limeridge.peers.messages import CLAIM_BYTES, DATAGRAM_MOST, HEAD_BYTES, Word
from limeridge.peers.outbox import Event, Outbox

WORD_MOST = DATAGRAM_MOST - HEAD_BYTES - CLAIM_BYTES - 200  # bytes of a guest's body


class Guest(Protocol):
    """A part that members carry. `unix` is Unix time, all other times are ours, microseconds."""

    kind: str
    out: list[tuple[str, bytes]]  # to a member's name, or to all where it is empty
    events: list[Event]

    def next_at(self, now: int) -> int:
        """When it is to be woken next."""

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        """Called at `next_at` or soon after; `present` are the names of those held to be there."""

    def heard(self, sender: Claim, body: bytes, unix: int, now: int) -> None:
        """Called with what the same part of another member sent."""

    def leave(self, now: int) -> None:
        """Called once, before this member leaves."""


class Guests:
    """The guests of one member, by their kind."""

    def __init__(self, members: Members, outbox: Outbox) -> None:
        self.members, self.outbox = members, outbox
        self.by_kind: dict[str, Guest] = {}
        self.wake_at: dict[str, int] = {}

    def invite(self, guest: Guest, now: int) -> None:
        """Carries `guest` from now on; it is woken at once."""
        self.by_kind[guest.kind] = guest
        self.wake_at[guest.kind] = now

    def carry(self, kind: str, now: int) -> None:
        """After something was asked of a guest from outside."""
        self._carry(self.by_kind[kind], now)

    def wake(self, unix: int, now: int) -> None:
        """Wakes those whose time has come."""
        for kind, at in self.wake_at.items():
            if now >= at:
                self.by_kind[kind].wake(self._names(), unix, now)
                self._carry(self.by_kind[kind], now)

    def heard(self, word: Word, unix: int, now: int) -> None:
        """Passes a word on to the guest that it is for, if there is such a guest."""
        guest = self.by_kind.get(word.kind)
        if guest is not None and not self.members.leaving:
            guest.heard(word.own, word.body, unix, now)
            self._carry(guest, now)

    def leave(self, now: int) -> None:
        """Lets each say its last words; none is woken again."""
        for guest in self.by_kind.values():
            guest.leave(now)
            self._carry(guest, now)
        self.wake_at.clear()

    def _names(self) -> tuple[str, ...]:
        return tuple(sorted(claim.name for claim in self.members.present()))

    def _carry(self, guest: Guest, now: int) -> None:
        """Its words to whom they are for, its events to the log."""
        out, guest.out = guest.out, []
        for name, body in out:
            if len(body) <= WORD_MOST:
                self._send(name, Word(self.members.own, guest.kind, body))
        self.outbox.log_all(guest.events)
        guest.events = []
        if guest.kind in self.wake_at:
            self.wake_at[guest.kind] = guest.next_at(now)

    def _send(self, name: str, word: Word) -> None:
        """To one member, or to all where `name` is empty."""
        for claim in self.members.others(State.ALIVE, State.SUSPECT):
            if not name or claim.name == name:
                self.outbox.send(claim, word)
