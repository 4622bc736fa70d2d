"""Runs a member on real sockets: datagrams, table exchange over TCP, the status socket and the timer.

This module enforces size and rate limits and counts traffic; it takes no decisions about members or shares.
Peer traffic must not delay requests: received datagrams are rate limited, messages that fail authentication
are dropped before they are decoded, and outgoing data is queued only in the kernel's socket buffers.
"""

from __future__ import annotations

import os
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import orjson
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver, LineReceiver
from twisted.python.failure import Failure

from limeridge import __version__
from limeridge.config import ConfigError, Setup
from limeridge.duty.allot import Grantee
from limeridge.duty.allot import Terms as AllotTerms
from limeridge.duty.allotting import DUTY as ALLOT
from limeridge.duty.allotting import CallAllotment
from limeridge.duty.delegate import DutyDelegate
from limeridge.duty.member import Duties, DutySpec
from limeridge.peers.gate import Gate
from limeridge.peers.members import Address, Claim
from limeridge.peers.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_STREAM_BYTES,
    InvalidMessageError,
    Message,
    Table,
    decode,
    encode,
)
from limeridge.peers.peer import Peer, own_claim
from limeridge.peers.seeds import NodeListPolicy, NodeListReader
from limeridge.peers.setup import PeerSetup

MS = 1_000
MAX_DATAGRAMS_PER_SECOND = 2_000  # received; more are dropped, as with a full socket buffer
MAX_STREAMS = 16  # concurrent connections for table exchange, in each direction
STREAM_TIMEOUT = 2.0  # seconds
MAX_RECENT_EVENTS = 200  # shown by `limeridge peers events`
# The predecessor may not have released the port yet; the listener for callers retries in the same way.
LISTEN_RETRY_INTERVAL, LISTEN_RETRIES = 0.05, 100  # seconds, count
MAX_LINE_LENGTH = 256


def boot_time() -> int:
    """Microseconds on a monotonic clock that also advances while the process or the machine is suspended."""
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime_ns(clock) // 1_000


class PeerDatagramProtocol(DatagramProtocol):
    """The member's UDP port."""

    noisy = False

    def __init__(self, service: MemberService) -> None:
        self.service = service

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        """Called by Twisted for each datagram."""
        self.service.receive_datagram(data)

    def connectionRefused(self) -> None:
        """Called by Twisted if nothing listens at a peer's address; left to the failure detector."""
        return


class NodeListProtocol(DatagramProtocol):
    """Registers this member's address with service discovery and requests the node list."""

    noisy = False

    def __init__(self, service: MemberService) -> None:
        self.service = service

    def send_request(self) -> None:
        """Registers our address and requests the node list, in two datagrams; counts send errors."""
        service, transport = self.service, cast(Any, self.transport)
        list_reader = service.peer.discovery.list_reader
        if transport is None or list_reader is None:
            return
        own, to = service.peer.own, (service.setup.node_list.host, service.setup.node_list.port)
        for text in (f"AT {own.name} {own.host}:{own.port}", f"LIST {list_reader.request_id}"):
            try:
                transport.write(text.encode(), to)
            except OSError:
                service.counts["list-unsent"] += 1

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        """Called by Twisted for each part of service discovery's answer; counts invalid datagrams."""
        words = data.decode("ascii", "replace").split(" ")
        if len(data) > MAX_DATAGRAM_BYTES or words[0] != "LISTED":
            self.service.counts["list-strange"] += 1
            return
        self.service.receive_list(words[1:])

    def connectionRefused(self) -> None:
        """Called by Twisted if nothing listens at service discovery's address; counted."""
        self.service.counts["list-refused"] += 1


class TableStreamProtocol(Int32StringReceiver):
    """One end of a connection for table exchange."""

    MAX_LENGTH = MAX_STREAM_BYTES
    transport: Any

    def __init__(self, service: MemberService, message: Message | None) -> None:
        self.service, self.message = service, message
        self.code = ""
        self.timer: Any = None

    def connectionMade(self) -> None:
        """Called by Twisted: starts the time-out and sends the message, if this end has one to send."""
        self.timer = self.service.reactor.callLater(STREAM_TIMEOUT, self.abort, "slow")
        if self.message is not None:
            self.send_encoded(encode(self.message, self.service.key))
            if not getattr(self.message, "answer", False):
                self.code = "done"
                self.transport.loseConnection()

    def send_encoded(self, data: bytes) -> None:
        """Sends one encoded message, prefixed with its length."""
        self.sendString(data)  # type: ignore[no-untyped-call]

    def stringReceived(self, data: bytes) -> None:
        """Called by Twisted for each complete message: answers the first and closes the connection."""
        if self.code:
            return
        answer = self.service.receive_stream_message(data)
        if answer is not None:
            self.send_encoded(encode(answer, self.service.key))
        self.code = "done"
        self.transport.loseConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Called by Twisted if the announced length exceeds MAX_STREAM_BYTES."""
        self.abort("too-long")

    def abort(self, code: str) -> None:
        """Aborts the connection; `code` is the reason to be counted."""
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted at the end of the connection; counts the reason."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.service.record_stream_end(self, self.code or "broke")


class TableStreamServerFactory(Factory):
    """Accepts table exchange connections from other members."""

    noisy = False

    def __init__(self, service: MemberService) -> None:
        self.service = service

    def buildProtocol(self, addr: Any) -> TableStreamProtocol | None:
        """Called by Twisted for a new connection; returns None, which closes it, if MAX_STREAMS are open."""
        if self.service.streams_in >= MAX_STREAMS:
            self.service.counts["stream-crowd"] += 1
            return None
        self.service.streams_in += 1
        return TableStreamProtocol(self.service, None)


class TableStreamClientFactory(ClientFactory):
    """Opens a table exchange connection to another member, to send one message."""

    noisy = False

    def __init__(self, service: MemberService, message: Message) -> None:
        self.service, self.message = service, message

    def buildProtocol(self, addr: Any) -> TableStreamProtocol:
        """Called by Twisted once the connection is established."""
        return TableStreamProtocol(self.service, self.message)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Called by Twisted if the connection failed; counted."""
        self.service.streams_out -= 1
        self.service.counts["stream-unreached"] += 1


class StatusProtocol(LineReceiver):
    """Answers one line on the status socket: a query (`show`, `brief`, `duties`, `events`), or the release or
    move of a duty by an operator."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_LENGTH
    transport: Any

    def __init__(self, service: MemberService) -> None:
        self.service = service

    def lineReceived(self, line: bytes) -> None:
        """Called by Twisted for each line; answers with one line of JSON and closes the connection."""
        command = line.strip()
        if command == b"show":
            result: object = self.service.build_status()
        elif command == b"brief":
            result = self.service.build_summary()
        elif command == b"duties":
            result = (
                self.service.duties.status(self.service.clock()) if self.service.duties is not None else {}
            )
        elif command.startswith((b"release ", b"move ")):
            result = self.service.hand_over(command.decode("utf-8", "replace").split("\t"))
        elif command == b"events":
            result = list(self.service.recent_events)
        else:
            result = {"error": "expected show, brief, duties or events"}
        self.transport.write(orjson.dumps(result, default=str) + b"\n")
        self.transport.loseConnection()


class StatusFactory(Factory):
    """Accepts connections on the status socket."""

    noisy = False

    def __init__(self, service: MemberService) -> None:
        self.service = service

    def buildProtocol(self, addr: Any) -> StatusProtocol:
        """Called by Twisted for a new connection."""
        return StatusProtocol(self.service)


class MemberService:
    """A member with its sockets. `setup` is the instance's own configuration, `peers` its membership
    settings."""

    def __init__(
        self,
        setup: Setup,
        peers: PeerSetup,
        reactor: Any,
        log: Any,
        clock: Callable[[], int] = boot_time,
        unix: Callable[[], float] = time.time,
        draw_nonce: Callable[[], int] | None = None,
    ) -> None:
        """Raises ConfigError if the two are inconsistent."""
        self.setup, self.reactor, self.log, self.clock, self.key = setup, reactor, log, clock, peers.key
        self.unix = unix
        self.show = peers.show
        # Nonces must differ between processes that are configured with the same seed.
        nonce = draw_nonce() if draw_nonce is not None else int.from_bytes(os.urandom(7), "big")
        rng = random.Random(setup.seed ^ nonce)
        host, port = peers.listen
        self.listen: Address = host or setup.listen.host, port
        linger, terms = self._share_terms(setup, peers)
        own = own_claim(
            setup.name, peers.advertise or self.listen, int(unix() * 1e6), nonce, peers.zone, __version__
        )
        list_reader = NodeListReader(NodeListPolicy(), rng, clock()) if peers.from_list else None
        self.peer = Peer(own, peers.seeds, peers.intervals, terms, rng, clock(), linger, list_reader)
        self.node_list_protocol = NodeListProtocol(self) if peers.from_list else None
        self.gate = Gate(self.share, clock, linger)
        self.duty_delegate: DutyDelegate | None = None
        self.duties = self._create_duties(peers, rng)
        self.counts: Counter[str] = Counter()
        self.recent_events: deque[dict[str, object]] = deque(maxlen=MAX_RECENT_EVENTS)
        self.streams_in = self.streams_out = 0
        self.current_second, self.received_this_second = 0, 0
        self.timer: Any = None
        self.datagrams: Any = None
        self.ports: list[Any] = []
        self.stopped = False

    @staticmethod
    def _share_terms(setup: Setup, peers: PeerSetup) -> tuple[int, Any]:
        settings: Mapping[str, Any] = setup.plain
        linger = peers.linger if peers.linger >= 0 else int(settings.get("instance.linger", 200_000))
        if peers.terms is None:
            return linger, None
        longest_expiry = max(
            int(settings.get(f"products.{number}.expiry", 0)) for number in range(len(setup.products))
        )
        longest = longest_expiry + linger
        if peers.longest_configured and peers.terms.longest < longest:
            raise ConfigError(
                f"peers: shares.longest_ms: expected {longest / MS:g} or more, the longest "
                "deadline plus the time that the ledger continues after it"
            )
        return linger, replace(peers.terms, longest=max(peers.terms.longest, longest))

    def _create_duties(self, peers: PeerSetup, rng: random.Random) -> Duties | None:
        settings = peers.duties
        if settings is None:
            return None
        own, now = self.peer.own, self.clock()
        declared, name = {}, f"list-read {own.zone}".strip()
        if settings.list_read:
            meanwhile = "each reads for itself, seldom"
            declared[name] = DutySpec(name, settings.terms, meanwhile=meanwhile)
        if settings.allot:
            declared[ALLOT] = DutySpec(ALLOT, settings.terms, meanwhile="floors alone")
        duties = Duties(
            own.name, own.life.nonce, settings.electorate, declared, settings.waits, rng, now, settings.terms
        )
        allotting = None
        terms = self.peer.terms
        if settings.allot and terms is not None:
            allot = AllotTerms(terms.surplus, settings.allot, terms.longest, terms.drift)
            allotting = CallAllotment(
                allot, duties, Grantee(allot), lambda: max(0, self.gate.collect_demand() - terms.floor)
            )
            self.peer.use_allotted_surplus(allotting.share)
        if settings.list_read:
            self.peer.discovery.may_read_list = lambda at: duties.holder(name, at) in ("", own.name)
        self.duty_delegate = DutyDelegate(duties, allotting)
        self.peer.attach(self.duty_delegate, now)
        return duties

    # ---- interface to the instance

    def start(self) -> None:
        """Opens the sockets and starts to take part in the membership."""
        self._listen(LISTEN_RETRIES)
        if self.show:
            self._listen_for_status()
        if self.node_list_protocol is not None:
            self.ports.append(self.reactor.listenUDP(0, self.node_list_protocol, interface=self.listen[0]))
        own, (host, port) = self.peer.own, self.listen
        self.log.event(
            "peers",
            "start",
            at=f"{host}:{port}",
            life=own.life.number,
            seeds=len(self.peer.discovery.seeds),
            shares=self.peer.terms is not None,
        )
        self._process_output()

    def share(self) -> int | None:
        """Concurrent calls that this instance may have now; None if the limit is not shared."""
        return self.peer.share(self.clock())

    def leave(self) -> None:
        """Announces that this instance leaves; it continues to answer until `stop`."""
        self.peer.leave(self.clock())
        self._process_output()

    def stop(self) -> None:
        """Closes the sockets and ends the timer."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for port in self.ports:
            port.stopListening()

    # ---- sockets

    def _listen(self, retries_left: int) -> None:
        if self.stopped:
            return
        host, port = self.listen
        opened: list[Any] = []
        try:
            datagrams = PeerDatagramProtocol(self)
            opened.append(self.reactor.listenUDP(port, datagrams, interface=host, maxPacketSize=65_536))
            opened.append(self.reactor.listenTCP(port, TableStreamServerFactory(self), MAX_STREAMS, host))
        except CannotListenError as error:
            for each in opened:
                each.stopListening()
            self.log.event("peers", "address-taken", why=str(error), tries_left=retries_left)
            if retries_left:
                self.reactor.callLater(LISTEN_RETRY_INTERVAL, self._listen, retries_left - 1)
            return
        self.datagrams = datagrams
        self.ports += opened

    def _listen_for_status(self) -> None:
        path = Path(self.show.replace("%n", self.setup.name))
        try:
            if path.is_socket():
                path.unlink()  # left by an earlier process
            self.ports.append(self.reactor.listenUNIX(str(path), StatusFactory(self), mode=0o600))
        except (OSError, CannotListenError) as error:
            self.log.event("peers", "show-unusable", why=str(error))

    def receive_datagram(self, data: bytes) -> None:
        """Handles a datagram; counts and drops it if it is invalid or exceeds the rate limit."""
        second = self.clock() // 1_000_000
        if second != self.current_second:
            self.current_second, self.received_this_second = second, 0
        message = self._decode(data)
        if message is None:
            return
        self.received_this_second += 1  # invalid datagrams do not count towards the rate limit
        if self.received_this_second > MAX_DATAGRAMS_PER_SECOND:
            self.counts["over-rate"] += 1
            return
        self._dispatch(message)

    def receive_list(self, words: list[str]) -> None:
        """Handles one part of service discovery's answer, split at blanks, without the leading keyword."""
        self.peer.discovery.receive_list(words)
        self._process_output()

    def receive_stream_message(self, data: bytes) -> Table | None:
        """Handles a message received over TCP; returns the table to be sent back, if any."""
        message = self._decode(data)
        return None if message is None else self._dispatch(message)

    def _decode(self, data: bytes) -> Message | None:
        """Decodes a message; counts it by its reason code and returns None if it is invalid."""
        try:
            return decode(data, self.key)
        except InvalidMessageError as invalid:
            self.counts[f"foreign-{invalid}"] += 1
            return None

    def _dispatch(self, message: Message) -> Table | None:
        self.counts["heard"] += 1
        answer = None
        try:
            self.peer.unix = int(self.unix() * 1e6)
            answer = self.peer.receive(message, self.clock())
        except Exception as error:  # a defect in handling one message must not stop the others
            self.log.fault("peers-fault", error)
        self._process_output()
        return answer

    def record_stream_end(self, stream: TableStreamProtocol, code: str) -> None:
        """Counts the end of a connection under its reason code."""
        if stream.message is None:
            self.streams_in -= 1
        else:
            self.streams_out -= 1
        self.counts[f"stream-{code}"] += 1

    def _send(self, to: Address, message: Message, stream: bool) -> None:
        if stream:
            if self.streams_out >= MAX_STREAMS:
                self.counts["stream-held"] += 1
                return
            self.streams_out += 1
            self.reactor.connectTCP(
                *to,
                TableStreamClientFactory(self, message),
                timeout=STREAM_TIMEOUT,
                bindAddress=(self.listen[0], 0),
            )
            return
        data = encode(message, self.key)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["too-long"] += 1
            return
        if self.datagrams is not None and self.datagrams.transport is not None:
            try:
                self.datagrams.transport.write(data, to)
            except OSError:
                self.counts["unsent"] += 1
                return
        self.counts["sent"] += 1
        self.counts["bytes"] += len(data)

    # ---- time

    def _process_output(self) -> None:
        """Sends pending messages, logs pending events and sets the timer."""
        peer = self.peer
        if peer.discovery.list_requested:
            peer.discovery.list_requested = False
            if self.node_list_protocol is not None:
                self.node_list_protocol.send_request()
        for send in peer.outbox.take_sends():
            self._send(send.to, send.message, send.stream)
        for event in peer.outbox.take_events():
            line: dict[str, object] = {"t": round(self.unix(), 3), "event": event.event, "code": event.code}
            self.recent_events.append(line | event.fields)
            self.log.event(event.event, event.code, **event.fields)
        if self.stopped:
            return
        wait = max(0.001, (peer.next_at() - self.clock()) / 1e6)
        if self.timer is not None and self.timer.active():
            self.timer.reset(wait)
        else:
            self.timer = self.reactor.callLater(wait, self._wake)

    def _wake(self) -> None:
        try:
            self.peer.unix = int(self.unix() * 1e6)
            self.peer.wake(self.clock())
        except Exception as error:
            self.log.fault("peers-fault", error)
        self._process_output()

    # ---- operator commands

    def hand_over(self, words: list[str]) -> dict[str, object]:
        """Executes `release `, duty or `move `, duty, member; tabs separate the words, since the names of
        duties contain blanks."""
        if self.duty_delegate is None or len(words) not in (2, 3):
            return {"error": "this member has no duties" if self.duty_delegate is None else "expected a duty"}
        now = self.clock()
        error = self.duty_delegate.release(words[1], words[2] if len(words) == 3 else "", now)
        self.peer.flush(self.duty_delegate.kind, now)
        self._process_output()
        return {"error": error} if error else {"done": words[1]}

    # ---- status

    def build_summary(self) -> dict[str, object]:
        """A short status whose size does not depend on the number of members."""
        peer = self.peer
        return {
            "name": peer.own.name,
            "life": peer.own.life.number,
            "present": len(peer.members.present()),
            "digest": f"{peer.members.digest:016x}",
            "calls": self.share(),
        }

    def build_status(self) -> dict[str, object]:
        """The full status as a JSON object: this member, every member in the table, and the share."""
        peer, now = self.peer, self.clock()
        members = [self._member_status(claim, now) for _, claim in sorted(peer.members.table.items())]
        status: dict[str, object] = {
            "name": peer.own.name,
            "life": peer.own.life.number,
            "stand": peer.reachability.connectivity.value,
            "stand_for_s": round((now - peer.reachability.connectivity_since) / 1e6, 1),
            "present": len(peer.members.present()),
            "agree": peer.count_in_sync(),
            "missed_by": peer.reachability.members_missing_our_acks(peer.own.name, now),
            "doubt": peer.detector.health_score,
            "stalls": peer.detector.stalls,
            "name_taken": peer.members.must_yield_name,
            "members": members,
            "counts": dict(self.counts),
        }
        if peer.holder is not None and peer.voter is not None and peer.terms is not None:
            status["share"] = {
                "calls": peer.share(now),
                "why": peer.reason(now),
                "in_hand": self.gate.in_flight(),
                "floor": peer.terms.floor,
                "limit": peer.terms.limit,
                "epoch": peer.voter.view.epoch[0],
                "view": len(peer.voter.view.keys),
                "voters": peer.holder.reachable_voters(now),
                "quorum": peer.terms.quorum,
                "silent": peer.voter.is_silent(now),
                "turned_away": self.gate.rejected,
                "lapsed": self.gate.lapsed,
            }
        return status

    def _member_status(self, claim: Claim, now: int) -> dict[str, object]:
        peer = self.peer
        own = claim.name == peer.own.name
        return {
            "name": claim.name,
            "grade": "self" if own else peer.reachability.grade(claim, now).value,
            "state": claim.state.name.lower(),
            "life": claim.life.number,
            "incarnation": claim.incarnation,
            "misses": sorted(peer.reachability.contact(claim.name).misses),
            "at": f"{claim.host}:{claim.port}",
            "zone": claim.zone,
            "version": claim.version,
            "for_s": round((now - peer.members.since.get(claim.name, now)) / 1e6, 1),
            "agrees": own or claim.name in peer.in_sync,
        }
