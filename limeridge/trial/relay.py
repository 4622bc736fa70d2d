"""Relays on loopback between members: each member is advertised at a relay's address, and all that comes to
it passes by the faults of that moment.

It owns sockets and bytes under way. It must never draw or decide what happens to them: `faults.py` does.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.python.failure import Failure

from limeridge.trial.faults import Faults

Address = tuple[str, int]


class Relay:
    """In front of one member. `who` tells numbers by the host that something came from."""

    def __init__(
        self, reactor: Any, faults: Faults, number: int, at: Address, member: Address, who: dict[str, int]
    ) -> None:
        self.reactor, self.faults, self.number, self.member, self.who = reactor, faults, number, member, who
        self.datagrams = Datagrams(self)
        self.ports = [
            reactor.listenUDP(at[1], self.datagrams, interface=at[0], maxPacketSize=65_536),
            reactor.listenTCP(at[1], Streams(self), interface=at[0]),
        ]

    def close(self) -> None:
        for port in self.ports:
            port.stopListening()


class Datagrams(DatagramProtocol):
    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        relay = self.relay
        source = relay.who.get(addr[0])
        if source is None:
            return
        now = int(relay.reactor.seconds() * 1e6)
        for delay in relay.faults.datagram(source, relay.number, len(data), now):
            if delay:
                relay.reactor.callLater(delay / 1e6, self.forward, data)
            else:
                self.forward(data)

    def forward(self, data: bytes) -> None:
        transport: Any = self.transport
        if transport is not None:
            try:
                transport.write(data, self.relay.member)
            except OSError:
                return

    def connectionRefused(self) -> None:
        return


class Side(Wire):
    """One end of a relayed connection; what it reads goes to the other, or nowhere while the way is cut."""

    transport: Any

    def __init__(self, relay: Relay, source: int, other: Side | None = None) -> None:
        self.relay, self.source, self.other = relay, source, other
        self.early: list[bytes] = []
        self.up = False

    def connectionMade(self) -> None:
        self.up = True
        if self.other is None:
            self.relay.reactor.connectTCP(*self.relay.member, Onward(self), timeout=5)
        else:
            self.other.other = self
            for data in self.other.early:
                self.transport.write(data)
            self.other.early.clear()

    def dataReceived(self, data: bytes) -> None:
        relay, faults = self.relay, self.relay.faults
        if not faults.whole(self.source, relay.number):
            return  # it stands, and nothing comes through
        delay = faults.slow[self.source] + faults.slow[relay.number]
        if delay:
            relay.reactor.callLater(delay / 1e6, partial(self.pass_on, data))
        else:
            self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        if self.other is not None and self.other.up:
            self.other.transport.write(data)
        else:
            self.early.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.up = False
        if (
            self.other is not None
            and self.other.up
            and self.relay.faults.whole(self.source, self.relay.number)
        ):
            self.other.transport.loseConnection()


class Streams(Factory):
    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: Any) -> Side | None:
        source = self.relay.who.get(addr.host)
        return None if source is None else Side(self.relay, source)


class Onward(ClientFactory):
    noisy = False

    def __init__(self, side: Side) -> None:
        self.side = side

    def buildProtocol(self, addr: Any) -> Side:
        return Side(self.side.relay, self.side.source, self.side)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        if self.side.up:
            self.side.transport.abortConnection()
