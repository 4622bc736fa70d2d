"""Virtual time: the event queue, the clock and the order of events that are due on the same tick.

The clock counts whole microseconds; the order within a tick is drawn from the seed. This module doesn't know
what an event does and never reads a real clock, so the same seed gives the same order on any machine.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from enum import Enum
from typing import Any

SECOND = 1_000_000
START_TIME = 100 * SECOND  # not 0, because some code uses a time of 0 to mean 'never'
ORDER_RANGE = 1 << 20


class Ties(Enum):
    """How events on the same tick are ordered."""

    DRAWN = 0
    WIRE_FIRST = 1
    TIMERS_FIRST = 2


class Life:
    """The lifetime of one process. Its events are held while it is paused and dropped once it has ended."""

    __slots__ = ("alive", "born", "held", "ip", "name", "paused", "serial", "soon_at", "soon_order")

    def __init__(self, name: str, ip: str, serial: int = 0, born: int = START_TIME) -> None:
        self.name, self.ip, self.serial, self.born = name, ip, serial, born
        self.alive, self.paused = True, False
        self.held: list[Event] = []  # events that came due during a pause
        self.soon_at, self.soon_order = -1, 0


class Event:
    """A scheduled call. `life` is None for events of the network itself, which can't be paused."""

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
    """The event queue. All times are rounded up to a multiple of `quantum` microseconds: the coarser the
    grid, the more often a reply and an expiry fall on the same tick."""

    def __init__(self, rng: random.Random, quantum: int = 1, ties: Ties = Ties.DRAWN) -> None:
        self.rng, self.quantum, self.ties = rng, quantum, ties
        self.now = START_TIME
        self.queue: list[tuple[int, int, int, Event]] = []
        self.serial = 0
        self.steps = 0
        self.steps_on_tick = 0  # steps since the clock last advanced

    def schedule(
        self,
        when: int,
        life: Life | None,
        label: str,
        call: Callable[..., object],
        *args: Any,
        wire: bool = False,
    ) -> Event:
        """Schedules a call. Calls that a process schedules for now keep their order, as with a real reactor;
        all other order within a tick is drawn."""
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
        """Advances the clock to the next event due by `until` and returns it; None if there is none."""
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
        """Reschedules all held events on the current tick; the process's own calls keep their order."""
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
    """Keeps an event to cancel it later; `event` is updated when a pause reschedules it."""

    event: Event
