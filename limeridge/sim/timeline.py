"""Virtual time: what happens next, and in which order what falls on one tick happens.

It owns the queue of events, the clock in whole microseconds and the draw that orders a tick. It must never
know what an event does, and never read a real clock: the same seed gives the same order on any machine.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from enum import Enum
from typing import Any

SECOND = 1_000_000
START_TIME = 100 * SECOND  # so that no time is 0, which some code takes for 'never'
ORDER_RANGE = 1 << 20


class Ties(Enum):
    """How what falls on one tick is ordered."""

    DRAWN = 0
    WIRE_FIRST = 1
    TIMERS_FIRST = 2


class Life:
    """One process from its start to its end: it owns events, may be paused, and its events die with it."""

    __slots__ = ("alive", "born", "held", "ip", "name", "paused", "serial", "soon_at", "soon_order")

    def __init__(self, name: str, ip: str, serial: int = 0, born: int = START_TIME) -> None:
        self.name, self.ip, self.serial, self.born = name, ip, serial, born
        self.alive, self.paused = True, False
        self.held: list[Event] = []  # what came to it during a pause
        self.soon_at, self.soon_order = -1, 0


class Event:
    """A call that is due: `life` is None for what the network itself does, which nothing can pause."""

    __slots__ = ("args", "call", "dead", "label", "life", "when", "wire")

    def __init__(
        self,
        when: int,
        life: Life | None,
        label: str,
        wire: bool,
        call: Callable[..., object],
        args: tuple[Any, ...],
    ) -> None:
        self.when, self.life, self.label, self.wire, self.call, self.args = (
            when,
            life,
            label,
            wire,
            call,
            args,
        )
        self.dead = False


class Timeline:
    """The queue. `quantum` is the grid in microseconds that all times are rounded up to: the coarser it is,
    the more often a reply and an expiry fall on the same tick."""

    def __init__(self, rng: random.Random, quantum: int = 1, ties: Ties = Ties.DRAWN) -> None:
        self.rng, self.quantum, self.ties = rng, quantum, ties
        self.now = START_TIME
        self.queue: list[tuple[int, int, int, Event]] = []
        self.serial = 0
        self.steps = 0
        self.steps_on_tick = 0  # steps since time last moved

    def schedule(
        self,
        when: int,
        life: Life | None,
        label: str,
        call: Callable[..., object],
        *args: Any,
        wire: bool = False,
    ) -> Event:
        """What is due at once keeps its process's order, as with a real reactor; all else is drawn."""
        immediate = when <= self.now
        if immediate:
            when = self.now
        elif self.quantum > 1:
            when += -when % self.quantum
        event = Event(when, life, label, wire, call, args)
        order = int(self.rng.random() * ORDER_RANGE)
        if self.ties is not Ties.DRAWN and not immediate:
            order += ORDER_RANGE * (wire is (self.ties is Ties.TIMERS_FIRST))
        if immediate and not wire and life is not None:
            if life.soon_at == when:
                order = max(order, life.soon_order)
            life.soon_at, life.soon_order = when, order
        self.serial += 1
        heapq.heappush(self.queue, (when, order, self.serial, event))
        return event

    def step(self, until: int) -> Event | None:
        """The next event that is to be carried out by `until`, the clock moved to it; None if there is
        none."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            when, _, _, event = heapq.heappop(queue)
            life = event.life
            if event.dead or (life is not None and not life.alive):
                continue
            if when > self.now:
                self.now, self.steps_on_tick = when, 0
            if life is not None and life.paused:
                life.held.append(event)
                continue
            event.dead = True
            self.steps += 1
            self.steps_on_tick += 1
            return event
        self.now = max(self.now, until)
        return None

    def resume(self, life: Life) -> None:
        """All that was held falls on one tick now; what the process had put off at once comes first."""
        life.paused = False
        held, life.held = life.held, []
        for event in held:
            if not event.dead:
                rescheduled = self.schedule(
                    self.now, life, event.label, event.call, *event.args, wire=event.wire
                )
                event.dead = True
                for holder in event.args:
                    if isinstance(holder, EventHolder):
                        holder.event = rescheduled


class EventHolder:
    """Whoever keeps an event to cancel it later, and must follow it when a pause moves it."""

    event: Event
