"""Hollow members: the program's own control code on real loopback sockets, without the path of requests.

A hollow member is a MemberService (members, shares, duties) and the reports to service discovery, as in an
instance, on sockets of its own. Many share a process and a reactor, which stands between them and the real
one: it counts what goes over the sockets, drops what a cut stops, and lets a fleet's second take longer than
one.
"""

# ruff: noqa: N802, N803 -- Twisted's own method and argument names
from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, cast

from twisted.internet import udp
from twisted.internet.error import TimeoutError as TimedOut
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure

from limeridge.config import Address, Setup
from limeridge.configuration.tenants import TenantTable
from limeridge.net.nodelist import REPORT_INTERVAL_S as REPORT_EVERY
from limeridge.net.nodelist import NodeList as Reports
from limeridge.peers.link import MemberService, boot_time
from limeridge.peers.messages import Offer, encode
from limeridge.peers.setup import PeerSetup
from limeridge.scale.layout import LIST_PORT, PEER_PORT, Fleet, Mode
from limeridge.scale.orders import Traffic

SEGMENT = 1_448  # bytes of a TCP segment's payload where a frame has 1,500
HANDSHAKES = 3  # segments that each side of a connection sends besides its data
DEADLINE, LINGER = 2_000_000, 200_000  # microseconds: of the one class, and that the ledger keeps a call
LEAVE_SECONDS = 0.5  # of the fleet, from the notice to leave to the end


class Meter:
    """Counts of one process, by kind of socket."""

    def __init__(self) -> None:
        self.datagrams, self.streams = Traffic(), Traffic()
        self.largest = 0  # bytes of the largest message sent, since it was last taken

    def datagram_sent(self, size: int) -> None:
        self.datagrams.bytes_out += size
        self.datagrams.packets_out += 1
        self.largest = max(self.largest, size)

    def datagram_came(self, size: int) -> None:
        self.datagrams.bytes_in += size
        self.datagrams.packets_in += 1

    def connected(self) -> None:
        self.streams.packets_out += HANDSHAKES
        self.streams.packets_in += HANDSHAKES

    def stream_sent(self, size: int) -> None:
        self.streams.bytes_out += size
        self.streams.packets_out += -(-size // SEGMENT)
        self.largest = max(self.largest, size)

    def stream_came(self, size: int) -> None:
        self.streams.bytes_in += size
        self.streams.packets_in += -(-size // SEGMENT)

    def take_largest(self) -> int:
        largest, self.largest = self.largest, 0
        return largest


class CountedProtocol(DatagramProtocol):
    """Stands before a protocol of datagrams and counts what comes."""

    noisy = False

    def __init__(self, inner: Any, meter: Meter) -> None:
        self.inner, self.meter = inner, meter

    def makeConnection(self, transport: Any) -> None:
        self.inner.makeConnection(transport)

    def doStop(self) -> None:
        self.inner.doStop()

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.meter.datagram_came(len(data))
        self.inner.datagramReceived(data, addr)

    def connectionRefused(self) -> None:
        self.inner.connectionRefused()


class CountedPort(udp.Port):
    """A socket of datagrams that counts what is sent, and sends nothing over a cut."""

    def __init__(self, way: HollowReactor, port: int, protocol: Any, interface: str, size: int) -> None:
        super().__init__(  # type: ignore[no-untyped-call]
            port, CountedProtocol(protocol, way.meter), interface, size, way.reactor
        )
        self.way = way

    def write(self, datagram: bytes, addr: tuple[str, int] | None = None) -> None:
        if addr is not None and self.way.is_cut(addr[0]):
            return
        super().write(datagram, addr)
        self.way.meter.datagram_sent(len(datagram))


class CountedStream(ProtocolWrapper):
    """Stands before a protocol over TCP and counts both ways."""

    factory: CountedStreams

    def makeConnection(self, transport: Any) -> None:
        self.factory.way.meter.connected()
        super().makeConnection(transport)  # type: ignore[no-untyped-call]
        self.factory.way.open_streams[self] = transport.getPeer().host

    def write(self, data: bytes) -> None:
        self.factory.way.meter.stream_sent(len(data))
        super().write(data)  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:
        self.factory.way.meter.stream_came(len(data))
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        self.factory.way.open_streams.pop(self, None)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class CountedStreams(WrappingFactory):
    """Makes counted streams; none where the wrapped factory makes none."""

    noisy = False
    protocol = CountedStream

    def __init__(self, way: HollowReactor, wrapped: Factory) -> None:
        super().__init__(wrapped)  # type: ignore[no-untyped-call]
        self.way = way

    def buildProtocol(self, addr: IAddress | None) -> CountedStream | None:  # type: ignore[override]
        inner = self.wrappedFactory.buildProtocol(addr)
        return None if inner is None else CountedStream(cast(Any, self), inner)


class SlowCall:
    """A call that was asked for in seconds of the fleet."""

    def __init__(self, call: Any, slowdown: float) -> None:
        self.call, self.slowdown = call, slowdown

    def active(self) -> bool:
        return bool(self.call.active())

    def cancel(self) -> None:
        self.call.cancel()

    def reset(self, seconds: float) -> None:
        self.call.reset(seconds * self.slowdown)


class HollowReactor:
    """What one hollow member sees in place of the reactor. `cut`: whether nothing passes to an address."""

    def __init__(
        self,
        reactor: Any,
        meter: Meter,
        slowdown: float = 1.0,
        cut: Callable[[str], bool] = lambda host: False,
    ) -> None:
        self.reactor, self.meter, self.slowdown, self.is_cut = reactor, meter, slowdown, cut
        self.open_streams: dict[CountedStream, str] = {}

    def clock(self) -> int:
        """Microseconds of the fleet."""
        return int(boot_time() / self.slowdown)

    def seconds(self) -> float:
        """Seconds of the fleet."""
        return self.clock() / 1e6

    def callLater(self, seconds: float, call: Callable[..., object], *args: Any) -> SlowCall:
        return SlowCall(self.reactor.callLater(seconds * self.slowdown, call, *args), self.slowdown)

    def listenUDP(
        self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8_192
    ) -> CountedPort:
        made = CountedPort(self, port, protocol, interface, maxPacketSize)
        made.startListening()  # type: ignore[no-untyped-call]
        return made

    def listenTCP(self, port: int, factory: Factory, backlog: int = 50, interface: str = "") -> Any:
        return self.reactor.listenTCP(port, CountedStreams(self, factory), backlog, interface)

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float = 30, bindAddress: Any = None
    ) -> Any:
        if self.is_cut(host):
            unreached = Failure(TimedOut())  # type: ignore[no-untyped-call]
            return self.callLater(timeout, factory.clientConnectionFailed, None, unreached)
        counted = CountedStreams(self, factory)
        return self.reactor.connectTCP(host, port, counted, timeout * self.slowdown, bindAddress)

    def abort_cut(self) -> None:
        """Ends the connections that a cut has just parted."""
        for stream, host in list(self.open_streams.items()):
            if self.is_cut(host):
                stream.abortConnection()


@dataclass(slots=True)
class Log:
    """In place of the instance's log: counts what would be told."""

    lines: int = 0
    faults: int = 0
    first_fault: str = ""  # in one line

    def event(self, event: str, code: str = "", **fields: object) -> None:
        self.lines += 1

    def fault(self, event: str, trouble: BaseException) -> None:
        self.faults += 1
        self.first_fault = self.first_fault or f"{type(trouble).__name__}: {trouble}"

    def observe(self, told: dict[str, Any]) -> None:
        """What the reactor logs: exceptions that nobody caught."""
        if told.get("isError") and "failure" in told:
            self.fault("reactor", told["failure"].value)


class HollowMember:
    """One member: its MemberService and its reports to service discovery."""

    def __init__(
        self, fleet: Fleet, number: int, settings: PeerSetup, reactor: HollowReactor, log: Log
    ) -> None:
        host = fleet.host(number)
        peers = replace(settings, listen=(host, PEER_PORT), zone=fleet.zone_name(number))
        self.reactor, self.host = reactor, host
        self.link = MemberService(setup_of(fleet, number), peers, reactor, log, clock=reactor.clock)
        self.reports = Reports(fleet.name(number), fleet.list_host, LIST_PORT)
        self.report_port: Any = None
        self.report_timer: Any = None

    def start(self) -> None:
        self.link.start()
        self.report_port = self.reactor.listenUDP(0, self.reports, self.host)
        self._report()

    def _report(self) -> None:
        self.reports.report(True)
        self.report_timer = self.reactor.callLater(REPORT_EVERY, self._report)

    def leave(self) -> None:
        """As an instance that is told to end: the others hear of it."""
        self.link.leave()
        self.reports.report(False)

    def stop(self) -> None:
        """At once, and without a word."""
        self.report_timer.cancel()
        self.report_port.stopListening()
        self.link.stop()

    def known(self) -> int:
        """How many it holds to be there, itself among them."""
        return len(self.link.peer.members.present())

    def view(self) -> int:
        """How many its view of the members has."""
        voter = self.link.peer.voter
        return len(voter.view.keys) if voter is not None else 0

    def view_bytes(self) -> int:
        """Of the message by which a voter tells its view."""
        voter = self.link.peer.voter
        if voter is None:
            return 0
        offer = Offer(self.link.peer.own, voter.view.epoch, tuple(sorted(voter.view.keys)))
        return len(encode(offer, self.link.key))

    def holds(self) -> int:
        """Duties that it holds."""
        duties, now = self.link.duties, self.link.clock()
        return sum(each.holds(now) for each in duties.tenures.values()) if duties is not None else 0

    def hand_over(self, to: Mapping[str, str]) -> None:
        """Moves those of its duties that are meant for another member to that one; `to`: by duty."""
        duties, now = self.link.duties, self.link.clock()
        if duties is None:
            return
        for duty, tenure in duties.tenures.items():
            name = to.get(duty, duties.own)
            if tenure.holds(now) and name != duties.own:
                self.link.hand_over(["move ", duty, name])

    def dropped(self) -> Counter[str]:
        """What its sockets' code did not send or take, by its codes."""
        passed = ("sent", "bytes", "heard", "stream-done")
        return Counter({code: count for code, count in self.link.counts.items() if code not in passed})


def setup_of(fleet: Fleet, number: int) -> Setup:
    """The instance's own configuration, as far as its control part reads it."""
    nowhere = Address("127.0.0.1", 9)
    return Setup(
        name=fleet.name(number),
        listen=Address(fleet.host(number), PEER_PORT + 1),
        kernel=nowhere,
        ledger=nowhere,
        node_list=Address(fleet.list_host, LIST_PORT),
        seed=number,
        stop=1_500_000,
        cores=1.0,
        memory_mb=256.0,
        sockets=1_000,
        products=("p0",),
        tenants=TenantTable.empty(),
        plain={"products.0.expiry": DEADLINE, "instance.linger": LINGER},
    )


def settings_text(fleet: Fleet, key_file: str) -> str:
    """The file of membership that all members of a fleet share, in protobuf's text format."""
    voters = " ".join(f'voter: "{fleet.name(number)}"' for number in fleet.voters())
    seeds = " ".join(f'seed: "{fleet.host(number)}:{PEER_PORT}"' for number in fleet.voters()[:3])
    by_need = fleet.mode is Mode.BY_NEED
    found = seeds if by_need else "from_list: true"
    duty = "ledger_allot: true" if by_need else "list_read: true"
    return (
        f'fleet: "scale"\nkey_file: "{key_file}"\nlisten: ":{PEER_PORT}"\n{found}\n'
        f"shares {{ limit: {4 * fleet.count} capacity: {fleet.count + fleet.count // 10 + 1} {voters} }}\n"
        f"duties {{ version: 1 {voters} {duty} }}\n"
    )
