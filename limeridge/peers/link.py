"""The sockets of a member: datagrams, tables over TCP, the read-only socket that shows what is held, the
timer.

It owns bytes, their bounds and their counts. It must never decide anything of members or shares, and a peer
must never cost a request its time: what comes in is bounded a second, what is not ours is dropped at its tag,
what goes out has no queue but the kernel's.
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
from limeridge.config import Setup, Unusable
from limeridge.duty.allot import Grantee
from limeridge.duty.allot import Terms as AllotTerms
from limeridge.duty.allotting import DUTY as ALLOT
from limeridge.duty.allotting import CallAllotment
from limeridge.duty.delegate import DutyDelegate
from limeridge.duty.member import Duties, DutySpec
from limeridge.peers.gate import Gate
from limeridge.peers.members import Address, Claim
from limeridge.peers.messages import DATAGRAM_MOST, STREAM_MOST, Foreign, Message, Table, decode, encode
from limeridge.peers.peer import Peer, own_claim
from limeridge.peers.seeds import Patience, Seeker
from limeridge.peers.setup import PeerSetup

MS = 1_000
IN_MOST = 2_000  # datagrams taken a second; what is more is dropped, as a full socket would
STREAMS_MOST = 16  # connections for tables at once, each way
STREAM_WAIT = 2.0  # seconds that one may last
EVENTS_KEPT = 200  # for `limeridge peers events`
LISTEN_EVERY, LISTEN_TRIES = 0.05, 100  # as for callers: a predecessor may still be dying
LINE_MOST = 256


def boot_time() -> int:
    """Microseconds on the clock that also runs while the process, or the machine, stands still."""
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime_ns(clock) // 1_000


class Datagrams(DatagramProtocol):
    """The member's UDP port."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        """Called by Twisted for each datagram."""
        self.link.datagram(data)

    def connectionRefused(self) -> None:
        """Called by Twisted where a peer has no socket there: the failure detector finds out by itself."""
        return


class Listing(DatagramProtocol):
    """Service discovery, where its list can be read: it is told our address and asked who is there."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def ask(self) -> None:
        """Reports our own address and asks who is listed, in two datagrams; counts what could not be sent."""
        link, transport = self.link, cast(Any, self.transport)
        seeker = link.peer.discovery.seeker
        if transport is None or seeker is None:
            return
        own, to = link.peer.own, (link.setup.node_list.host, link.setup.node_list.port)
        for text in (f"AT {own.name} {own.host}:{own.port}", f"LIST {seeker.asked}"):
            try:
                transport.write(text.encode(), to)
            except OSError:
                link.counts["list-unsent"] += 1

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        """Called by Twisted for each part of service discovery's answer; counts what is none."""
        words = data.decode("ascii", "replace").split(" ")
        if len(data) > DATAGRAM_MOST or words[0] != "LISTED":
            self.link.counts["list-strange"] += 1
            return
        self.link.listed(words[1:])

    def connectionRefused(self) -> None:
        """Called by Twisted where nothing listens at service discovery's address; counted."""
        self.link.counts["list-refused"] += 1


class Stream(Int32StringReceiver):
    """One exchange of tables."""

    MAX_LENGTH = STREAM_MOST
    transport: Any

    def __init__(self, link: Link, message: Message | None) -> None:
        self.link, self.message = link, message
        self.code = ""
        self.timer: Any = None

    def connectionMade(self) -> None:
        """Called by Twisted: sends the message that this end was made for, if any."""
        self.timer = self.link.reactor.callLater(STREAM_WAIT, self.end, "slow")
        if self.message is not None:
            self.put(encode(self.message, self.link.key))
            if not getattr(self.message, "answer", False):
                self.code = "done"
                self.transport.loseConnection()

    def put(self, data: bytes) -> None:
        """Sends one message, its length ahead."""
        self.sendString(data)  # type: ignore[no-untyped-call]

    def stringReceived(self, data: bytes) -> None:
        """Called by Twisted for each whole message: the first is answered, then the connection is closed."""
        if self.code:
            return
        answer = self.link.streamed(data)
        if answer is not None:
            self.put(encode(answer, self.link.key))
        self.code = "done"
        self.transport.loseConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Called by Twisted where a message is announced that is longer than STREAM_MOST."""
        self.end("too-long")

    def end(self, code: str) -> None:
        """Aborts the connection; `code` is the reason that is counted."""
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted at the end of the connection; counts why."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.link.ended(self, self.code or "broke")


class Streams(Factory):
    """Connections that others open to us."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> Stream | None:
        """Called by Twisted for a new connection; None, which closes it, where STREAMS_MOST are open."""
        if self.link.streams_in >= STREAMS_MOST:
            self.link.counts["stream-crowd"] += 1
            return None
        self.link.streams_in += 1
        return Stream(self.link, None)


class Way(ClientFactory):
    """A connection that we open to another, for one message."""

    noisy = False

    def __init__(self, link: Link, message: Message) -> None:
        self.link, self.message = link, message

    def buildProtocol(self, addr: Any) -> Stream:
        """Called by Twisted once the connection stands."""
        return Stream(self.link, self.message)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Called by Twisted where the other could not be reached; counted."""
        self.link.streams_out -= 1
        self.link.counts["stream-unreached"] += 1


class Shown(LineReceiver):
    """One question on the member's socket (`show`, `brief`, `duties`, `events`), or a duty given up by
    hand, its only command; answered by one line."""

    delimiter = b"\n"
    MAX_LENGTH = LINE_MOST
    transport: Any

    def __init__(self, link: Link) -> None:
        self.link = link

    def lineReceived(self, line: bytes) -> None:
        """Called by Twisted for the question; answers it as one line of JSON and closes the connection."""
        asked = line.strip()
        if asked == b"show":
            told: object = self.link.snapshot()
        elif asked == b"brief":
            told = self.link.brief()
        elif asked == b"duties":
            told = self.link.duties.status(self.link.clock()) if self.link.duties is not None else {}
        elif asked.startswith((b"release ", b"move ")):
            told = self.link.hand_over(asked.decode("utf-8", "replace").split("\t"))
        elif asked == b"events":
            told = list(self.link.kept)
        else:
            told = {"error": "expected show, brief, duties or events"}
        self.transport.write(orjson.dumps(told, default=str) + b"\n")
        self.transport.loseConnection()


class ShownFactory(Factory):
    """Connections to the socket that shows what is held."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> Shown:
        """Called by Twisted for a new connection."""
        return Shown(self.link)


class Link:
    """A member on sockets. `setup` is the instance's own configuration, `peers` the file of membership."""

    def __init__(
        self,
        setup: Setup,
        peers: PeerSetup,
        reactor: Any,
        log: Any,
        clock: Callable[[], int] = boot_time,
        unix: Callable[[], float] = time.time,
        draw: Callable[[], int] | None = None,
    ) -> None:
        """Raises Unusable where the two don't go together."""
        self.setup, self.reactor, self.log, self.clock, self.key = setup, reactor, log, clock, peers.key
        self.unix = unix
        self.show = peers.show
        # Nonces must differ between processes that were given the same seed.
        nonce = draw() if draw is not None else int.from_bytes(os.urandom(7), "big")
        chance = random.Random(setup.seed ^ nonce)
        host, port = peers.listen
        self.listen: Address = host or setup.listen.host, port
        linger, terms = self._terms(setup, peers)
        own = own_claim(
            setup.name, peers.advertise or self.listen, int(unix() * 1e6), nonce, peers.zone, __version__
        )
        seeker = Seeker(Patience(), chance, clock()) if peers.from_list else None
        self.peer = Peer(own, peers.seeds, peers.habits, terms, chance, clock(), linger, seeker)
        self.listing = Listing(self) if peers.from_list else None
        self.gate = Gate(self.share, clock, linger)
        self.duty_delegate: DutyDelegate | None = None
        self.duties = self._duties(peers, chance)
        self.counts: Counter[str] = Counter()
        self.kept: deque[dict[str, object]] = deque(maxlen=EVENTS_KEPT)
        self.streams_in = self.streams_out = 0
        self.second, self.taken = 0, 0
        self.timer: Any = None
        self.datagrams: Any = None
        self.ports: list[Any] = []
        self.stopped = False

    @staticmethod
    def _terms(setup: Setup, peers: PeerSetup) -> tuple[int, Any]:
        plain: Mapping[str, Any] = setup.plain
        linger = peers.linger if peers.linger >= 0 else int(plain.get("instance.linger", 200_000))
        if peers.terms is None:
            return linger, None
        most = max(int(plain.get(f"products.{number}.expiry", 0)) for number in range(len(setup.products)))
        longest = most + linger
        if peers.longest_told and peers.terms.longest < longest:
            raise Unusable(
                f"peers: shares.longest_ms: expected {longest / MS:g} or more, the longest "
                "deadline and what the ledger keeps after it"
            )
        return linger, replace(peers.terms, longest=max(peers.terms.longest, longest))

    def _duties(self, peers: PeerSetup, chance: random.Random) -> Duties | None:
        told = peers.duties
        if told is None:
            return None
        own, now = self.peer.own, self.clock()
        declared, name = {}, f"list-read {own.zone}".strip()
        if told.list_read:
            meanwhile = "each reads for itself, seldom"
            declared[name] = DutySpec(name, told.terms, meanwhile=meanwhile)
        if told.allot:
            declared[ALLOT] = DutySpec(ALLOT, told.terms, meanwhile="floors alone")
        duties = Duties(
            own.name, own.life.nonce, told.electorate, declared, told.waits, chance, now, told.terms
        )
        allotting = None
        terms = self.peer.terms
        if told.allot and terms is not None:
            allot = AllotTerms(terms.surplus, told.allot, terms.longest, terms.drift)
            allotting = CallAllotment(
                allot, duties, Grantee(allot), lambda: max(0, self.gate.need() - terms.floor)
            )
            self.peer.deal_by(allotting.share)
        if told.list_read:
            self.peer.discovery.reads_list = lambda at: duties.holder(name, at) in ("", own.name)
        self.duty_delegate = DutyDelegate(duties, allotting)
        self.peer.attach(self.duty_delegate, now)
        return duties

    # ---- what the instance sees

    def start(self) -> None:
        """Opens the sockets and begins to take part."""
        self._listen(LISTEN_TRIES)
        if self.show:
            self._listen_to_show()
        if self.listing is not None:
            self.ports.append(self.reactor.listenUDP(0, self.listing, interface=self.listen[0]))
        own, (host, port) = self.peer.own, self.listen
        self.log.event(
            "peers",
            "start",
            at=f"{host}:{port}",
            life=own.life.number,
            seeds=len(self.peer.discovery.seeds),
            shares=self.peer.terms is not None,
        )
        self._turn()

    def share(self) -> int | None:
        """Calls in hand that this instance may have now; None where the limit is not shared out."""
        return self.peer.share(self.clock())

    def leave(self) -> None:
        """Tells the others that this instance leaves; it goes on answering until `stop`."""
        self.peer.leave(self.clock())
        self._turn()

    def stop(self) -> None:
        """Closes the sockets and ends the timer."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for port in self.ports:
            port.stopListening()

    # ---- sockets

    def _listen(self, tries: int) -> None:
        if self.stopped:
            return
        host, port = self.listen
        made: list[Any] = []
        try:
            datagrams = Datagrams(self)
            made.append(self.reactor.listenUDP(port, datagrams, interface=host, maxPacketSize=65_536))
            made.append(self.reactor.listenTCP(port, Streams(self), STREAMS_MOST, host))
        except CannotListenError as trouble:
            for each in made:
                each.stopListening()
            self.log.event("peers", "address-taken", why=str(trouble), tries_left=tries)
            if tries:
                self.reactor.callLater(LISTEN_EVERY, self._listen, tries - 1)
            return
        self.datagrams = datagrams
        self.ports += made

    def _listen_to_show(self) -> None:
        path = Path(self.show.replace("%n", self.setup.name))
        try:
            if path.is_socket():
                path.unlink()  # of an earlier life
            self.ports.append(self.reactor.listenUNIX(str(path), ShownFactory(self), mode=0o600))
        except (OSError, CannotListenError) as trouble:
            self.log.event("peers", "show-unusable", why=str(trouble))

    def datagram(self, data: bytes) -> None:
        """Takes a datagram; what is not of this fleet, or beyond IN_MOST a second, is counted and dropped."""
        second = self.clock() // 1_000_000
        if second != self.second:
            self.second, self.taken = second, 0
        message = self._read(data)
        if message is None:
            return
        self.taken += 1  # what is not ours does not eat up the room of what is
        if self.taken > IN_MOST:
            self.counts["over-rate"] += 1
            return
        self._heard(message)

    def listed(self, words: list[str]) -> None:
        """Takes a part of service discovery's answer, split at its blanks, without its first word."""
        self.peer.discovery.listed(words)
        self._turn()

    def streamed(self, data: bytes) -> Table | None:
        """Takes a message that came over TCP; the table that goes back, if any."""
        message = self._read(data)
        return None if message is None else self._heard(message)

    def _read(self, data: bytes) -> Message | None:
        """None for what is not ours, counted by its code."""
        try:
            return decode(data, self.key)
        except Foreign as foreign:
            self.counts[f"foreign-{foreign}"] += 1
            return None

    def _heard(self, message: Message) -> Table | None:
        self.counts["heard"] += 1
        answer = None
        try:
            self.peer.unix = int(self.unix() * 1e6)
            answer = self.peer.heard(message, self.clock())
        except Exception as trouble:  # a defect in what a member made of it: others' words still count
            self.log.fault("peers-fault", trouble)
        self._turn()
        return answer

    def ended(self, stream: Stream, code: str) -> None:
        """Counts the end of a connection, by its reason code."""
        if stream.message is None:
            self.streams_in -= 1
        else:
            self.streams_out -= 1
        self.counts[f"stream-{code}"] += 1

    def _send(self, to: Address, message: Message, stream: bool) -> None:
        if stream:
            if self.streams_out >= STREAMS_MOST:
                self.counts["stream-held"] += 1
                return
            self.streams_out += 1
            self.reactor.connectTCP(
                *to, Way(self, message), timeout=STREAM_WAIT, bindAddress=(self.listen[0], 0)
            )
            return
        data = encode(message, self.key)
        if len(data) > DATAGRAM_MOST:
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

    def _turn(self) -> None:
        """Sends and logs what there is, and sets the timer."""
        peer = self.peer
        if peer.discovery.list_wanted:
            peer.discovery.list_wanted = False
            if self.listing is not None:
                self.listing.ask()
        for send in peer.outbox.take_sends():
            self._send(send.to, send.message, send.stream)
        for event in peer.outbox.take_events():
            line: dict[str, object] = {"t": round(self.unix(), 3), "event": event.event, "code": event.code}
            self.kept.append(line | event.fields)
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
        except Exception as trouble:
            self.log.fault("peers-fault", trouble)
        self._turn()

    # ---- by hand

    def hand_over(self, words: list[str]) -> dict[str, object]:
        """`release `, duty; or `move `, duty, member: parted by tabs, as duties have blanks in their
        names."""
        if self.duty_delegate is None or len(words) not in (2, 3):
            return {"error": "this member has no duties" if self.duty_delegate is None else "expected a duty"}
        now = self.clock()
        trouble = self.duty_delegate.release(words[1], words[2] if len(words) == 3 else "", now)
        self.peer.carry(self.duty_delegate.kind, now)
        self._turn()
        return {"error": trouble} if trouble else {"done": words[1]}

    # ---- showing

    def brief(self) -> dict[str, object]:
        """What takes no longer to say of a thousand members than of three."""
        peer = self.peer
        return {
            "name": peer.own.name,
            "life": peer.own.life.number,
            "present": len(peer.members.present()),
            "digest": f"{peer.members.digest:016x}",
            "calls": self.share(),
        }

    def snapshot(self) -> dict[str, object]:
        """All that this member holds: of itself, of each other member, and of the share, as JSON has it."""
        peer, now = self.peer, self.clock()
        members = [self._shown(claim, now) for _, claim in sorted(peer.members.table.items())]
        told: dict[str, object] = {
            "name": peer.own.name,
            "life": peer.own.life.number,
            "stand": peer.reach.connectivity.value,
            "stand_for_s": round((now - peer.reach.connectivity_since) / 1e6, 1),
            "present": len(peer.members.present()),
            "agree": peer.agree(),
            "missed_by": peer.reach.missed_by(peer.own.name, now),
            "doubt": peer.detector.doubt,
            "stalls": peer.detector.stalls,
            "name_taken": peer.members.yields,
            "members": members,
            "counts": dict(self.counts),
        }
        if peer.holder is not None and peer.voter is not None and peer.terms is not None:
            told["share"] = {
                "calls": peer.share(now),
                "why": peer.why(now),
                "in_hand": self.gate.in_hand(),
                "floor": peer.terms.floor,
                "limit": peer.terms.limit,
                "epoch": peer.voter.view.epoch[0],
                "view": len(peer.voter.view.keys),
                "voters": peer.holder.in_reach(now),
                "quorum": peer.terms.quorum,
                "silent": peer.voter.silent(now),
                "turned_away": self.gate.turned_away,
                "lapsed": self.gate.lapsed,
            }
        return told

    def _shown(self, claim: Claim, now: int) -> dict[str, object]:
        peer = self.peer
        own = claim.name == peer.own.name
        return {
            "name": claim.name,
            "grade": "self" if own else peer.reach.grade(claim, now).value,
            "state": claim.state.name.lower(),
            "life": claim.life.number,
            "incarnation": claim.incarnation,
            "misses": sorted(peer.reach.of(claim.name).misses),
            "at": f"{claim.host}:{claim.port}",
            "zone": claim.zone,
            "version": claim.version,
            "for_s": round((now - peer.members.since.get(claim.name, now)) / 1e6, 1),
            "agrees": own or claim.name in peer.alike,
        }
