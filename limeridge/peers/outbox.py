"""What a member wants done by whoever drives it: messages to be sent, events to be logged.

It owns both lists and the bound of the second. It must never send or log anything itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from limeridge.peers.members import Address, Claim
from limeridge.peers.messages import Message

MAX_EVENTS = 1_000  # kept until somebody takes them


@dataclass(slots=True, frozen=True)
class Send:
    """A message to be sent to `to`, over TCP where `stream` is true, else as a datagram."""

    to: Address
    message: Message
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Event:
    """A line for the log."""

    event: str
    code: str
    fields: dict[str, object] = field(default_factory=dict)


class Outbox:
    """Messages and events in the order in which they came up, until they are taken."""

    def __init__(self) -> None:
        self.sends: list[Send] = []
        self.events: list[Event] = []

    def send(self, to: Claim, message: Message, stream: bool = False) -> None:
        """Adds a message to a member."""
        self.send_to(to.address, message, stream)

    def send_to(self, to: Address, message: Message, stream: bool = False) -> None:
        """Adds a message to an address, whoever listens there."""
        self.sends.append(Send(to, message, stream))

    def log(self, event: str, code: str, **fields: object) -> None:
        """Adds an event; drops it where EVENTS_MOST are waiting already."""
        self.log_all((Event(event, code, fields),))

    def log_all(self, events: Iterable[Event]) -> None:
        """Adds events; drops those beyond EVENTS_MOST."""
        self.events.extend(list(events)[: max(0, MAX_EVENTS - len(self.events))])

    def take_sends(self) -> list[Send]:
        """All messages that wait; they are no longer held here."""
        sends, self.sends = self.sends, []
        return sends

    def take_events(self) -> list[Event]:
        """All events that wait; they are no longer held here."""
        events, self.events = self.events, []
        return events
