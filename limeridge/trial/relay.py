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
        """Stops listening; connections that stand go on."""
        for port in self.ports:
            port.stopListening()


class Datagrams(DatagramProtocol):
    """The datagrams to one member."""

    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        """Called by Twisted: passes the datagram on, as late and as often as the faults have it."""
        relay = self.relay
        source = relay.who.get(addr[0])
        if source is None:
            return
        now = int(relay.reactor.seconds() * 1e6)
        for delay in relay.faults.delivery_delays(source, relay.number, len(data), now):
            if delay:
                relay.reactor.callLater(delay / 1e6, self.forward, data)
            else:
                self.forward(data)

    def forward(self, data: bytes) -> None:
        """Sends a datagram to the member."""
        transport: Any = self.transport
        if transport is not None:
            try:
                transport.write(data, self.relay.member)
            except OSError:
                return

    def connectionRefused(self) -> None:
        """Called by Twisted where the member has no socket: it is lost, as any datagram would be."""
        return


class Side(Wire):
    """One end of a relayed connection; what it reads goes to the other, or nowhere while the way is cut."""

    transport: Any

    def __init__(self, relay: Relay, source: int, other: Side | None = None) -> None:
        self.relay, self.source, self.other = relay, source, other
        self.early: list[bytes] = []
        self.up = False

    def connectionMade(self) -> None:
        """Called by Twisted: opens the other side, or passes on what came before this one stood."""
        self.up = True
        if self.other is None:
            self.relay.reactor.connectTCP(*self.relay.member, Onward(self), timeout=5)
        else:
            self.other.other = self
            for data in self.other.early:
                self.transport.write(data)
            self.other.early.clear()

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted: passes bytes on, as late as the faults have it; drops them while the way is
        cut."""
        relay, faults = self.relay, self.relay.faults
        if not faults.is_connected(self.source, relay.number):
            return  # it stands, and nothing comes through
        delay = faults.delay_us[self.source] + faults.delay_us[relay.number]
        if delay:
            relay.reactor.callLater(delay / 1e6, partial(self.pass_on, data))
        else:
            self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        """Writes to the other side; kept until it stands."""
        if self.other is not None and self.other.up:
            self.other.transport.write(data)
        else:
            self.early.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted: closes the other side too, unless the way is cut."""
        self.up = False
        if (
            self.other is not None
            and self.other.up
            and self.relay.faults.is_connected(self.source, self.relay.number)
        ):
            self.other.transport.loseConnection()


class Streams(Factory):
    """Connections that members open to one member."""

    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: Any) -> Side | None:
        """Called by Twisted for a new connection; None, which closes it, where it comes from no member."""
        source = self.relay.who.get(addr.host)
        return None if source is None else Side(self.relay, source)


class Onward(ClientFactory):
    """The second half of a relayed connection, to the member."""

    noisy = False

    def __init__(self, side: Side) -> None:
        self.side = side

    def buildProtocol(self, addr: Any) -> Side:
        """Called by Twisted once the member is reached."""
        return Side(self.side.relay, self.side.source, self.side)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Called by Twisted where it is not reached: the first half is aborted."""
        if self.side.up:
            self.side.transport.abortConnection()
