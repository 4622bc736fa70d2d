"""Queues of messages to be sent and events to be logged, which the driver of a member takes.

This module bounds the event queue. It sends and logs nothing itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from limeridge.peers.members import Address, Claim
from limeridge.peers.messages import Message

MAX_EVENTS = 1_000  # kept until the driver takes them


@dataclass(slots=True, frozen=True)
class Send:
    """A message to be sent to `to`, over TCP if `stream` is true, else as a datagram."""

    to: Address
    message: Message
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Event:
    """A log line."""

    event: str
    code: str
    fields: dict[str, object] = field(default_factory=dict)


class Outbox:
    """Pending messages and events, in order of creation."""

    def __init__(self) -> None:
        self.sends: list[Send] = []
        self.events: list[Event] = []

    def send(self, to: Claim, message: Message, stream: bool = False) -> None:
        """Queues a message to a member."""
        self.send_to(to.address, message, stream)

    def send_to(self, to: Address, message: Message, stream: bool = False) -> None:
        """Queues a message to an address, whichever member listens there."""
        self.sends.append(Send(to, message, stream))

    def log(self, event: str, code: str, **fields: object) -> None:
        """Queues an event; drops it if MAX_EVENTS are already pending."""
        self.log_all((Event(event, code, fields),))

    def log_all(self, events: Iterable[Event]) -> None:
        """Queues events; drops those beyond MAX_EVENTS."""
        self.events.extend(list(events)[: max(0, MAX_EVENTS - len(self.events))])

    def take_sends(self) -> list[Send]:
        """Returns all pending messages and clears the queue."""
        sends, self.sends = self.sends, []
        return sends

    def take_events(self) -> list[Event]:
        """Returns all pending events and clears the queue."""
        events, self.events = self.events, []
        return events
