"""`python -m limeridge.scale.worker`: one process of hollow members, or service discovery's. It is told what
to do by lines of JSON on its standard input, and answers each on its standard output; it ends with its input.
"""

# ruff: noqa: N802 -- Twisted's own method names
from __future__ import annotations

import os
import time
from collections import Counter
from functools import partial
from typing import Any

import msgspec
from twisted.internet import reactor as the_reactor
from twisted.internet.protocol import connectionDone
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from twisted.python.log import startLoggingWithObserver

from limeridge.peers import setup as peer_setup
from limeridge.scale import orders
from limeridge.scale.hollow import LEAVE_SECONDS, HollowMember, HollowReactor, Log, Meter
from limeridge.scale.layout import LIST_PORT, Fleet
from limeridge.scale.meter import private_bytes, processor_seconds
from limeridge.scale.results import Role
from limeridge.standins.nodelist import NodeList

TICK = 0.1  # seconds of the timer that shows how late timers come
TICKS_KEPT = 100_000
LINE_MOST = 1 << 20


class Worker:
    """The members of one process."""

    def __init__(self, begin: orders.Begin, reactor: Any) -> None:
        self.fleet: Fleet = begin.fleet
        self.reactor = reactor
        self.meter, self.log = Meter(), Log()
        startLoggingWithObserver(self.log.observe, setStdout=False)  # type: ignore[no-untyped-call]
        self.settings = peer_setup.read(begin.settings)
        self.members: dict[int, HollowMember] = {}
        self.cut = False
        self.lateness: list[float] = []
        self.way = HollowReactor(reactor, self.meter, self.fleet.slowdown)
        if begin.role is Role.SERVICE_DISCOVERY:
            self.way.listenUDP(LIST_PORT, NodeList(self.way), interface=self.fleet.list_host)
        self._tick(time.monotonic())

    # ---- members

    def start(self, number: int) -> None:
        """One that runs already is left as it is."""
        if number in self.members:
            return
        side = self.fleet.side(number)
        way = HollowReactor(self.reactor, self.meter, self.fleet.slowdown, partial(self._is_cut, side))
        member = HollowMember(self.fleet, number, self.settings, way, self.log)
        self.members[number] = member
        member.start()

    def _is_cut(self, side: int, host: str) -> bool:
        if not self.cut:
            return False
        other = self.fleet.number_at(host)
        return other >= 0 and self.fleet.side(other) != side

    def lose(self, number: int) -> None:
        """One that does not run is passed over."""
        member = self.members.pop(number, None)
        if member is not None:
            member.stop()

    def replace(self, number: int) -> None:
        """It leaves, and a successor starts under its name and address."""
        member = self.members.get(number)
        if member is None:
            return
        member.leave()
        self.way.callLater(LEAVE_SECONDS, self._succeed, number, member)

    def _succeed(self, number: int, member: HollowMember) -> None:
        if self.members.get(number) is member:
            self.lose(number)
            # The port is free once the reactor has gone round.
            self.reactor.callLater(0, self.start, number)

    def cut_apart(self, healed: bool) -> None:
        self.cut = not healed
        for member in self.members.values():
            member.reactor.abort_cut()

    # ---- what is asked

    def take(self, order: orders.Order) -> orders.Answer:
        if isinstance(order, orders.Start):
            for place, number in enumerate(order.members):
                self.way.callLater(place * order.spread / len(order.members), self.start, number)
        elif isinstance(order, orders.Lose):
            for number in order.members:
                self.lose(number)
        elif isinstance(order, orders.Replace):
            for number, after in zip(order.members, order.after, strict=True):
                self.way.callLater(after, self.replace, number)
        elif isinstance(order, orders.HandOver):
            for member in self.members.values():
                member.hand_over(order.to)
        elif isinstance(order, orders.Cut):
            self.cut_apart(order.healed)
        elif isinstance(order, orders.Read):
            return self.reading()
        elif isinstance(order, orders.Look):
            return self.state()
        return orders.Done()

    def reading(self) -> orders.Reading:
        lateness, self.lateness = self.lateness, []
        return orders.Reading(
            time.monotonic(),
            processor_seconds(os.getpid()),
            self.meter.datagrams,
            self.meter.streams,
            self.meter.take_largest(),
            tuple(lateness),
            len(self.members),
        )

    def state(self) -> orders.State:
        members = list(self.members.values())
        dropped: Counter[str] = Counter()
        for member in members:
            dropped.update(member.dropped())
        return orders.State(
            private_bytes(os.getpid()),
            tuple(member.known() for member in members),
            tuple(member.view() for member in members),
            max((member.view_bytes() for member in members), default=0),
            sum(member.holds() for member in members),
            self.log.faults,
            self.log.first_fault,
            dict(dropped),
        )

    def _tick(self, due: float) -> None:
        """Notes how late it came; the next is due a tick after now."""
        now = time.monotonic()
        if len(self.lateness) < TICKS_KEPT:
            self.lateness.append(max(0.0, now - due))
        self.reactor.callLater(TICK, self._tick, now + TICK)


class Orders(LineReceiver):
    """The pipe to the rig."""

    delimiter = b"\n"
    MAX_LENGTH = LINE_MOST
    transport: Any

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.worker: Worker | None = None
        self.encoder, self.decoder = msgspec.json.Encoder(), msgspec.json.Decoder[orders.Order](orders.Order)

    def lineReceived(self, line: bytes) -> None:
        order = self.decoder.decode(line)
        answer: orders.Answer = orders.Done()
        if isinstance(order, orders.End):
            self.reactor.stop()
            return
        if isinstance(order, orders.Begin):
            self.worker = Worker(order, self.reactor)
        elif self.worker is not None:
            answer = self.worker.take(order)
        self.transport.write(self.encoder.encode(answer) + b"\n")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.reactor.running:
            self.reactor.stop()


def main() -> None:
    """Runs until told to end, or until the rig is gone."""
    reactor: Any = the_reactor
    StandardIO(Orders(reactor))  # type: ignore[no-untyped-call]
    reactor.run()


if __name__ == "__main__":
    main()
