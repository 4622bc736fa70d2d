"""One BGP session over one connection: the table of fsm.py with its timers, and what it says and hears.

It owns the state, the timers with their jitter, the damping of oscillations and the checks of a peer's OPEN.
It takes events with their time and gives outs back; it must never touch a socket or read a clock. Times are
whole microseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from limeridge.bgp.codec import (
    EXTENDED_MOST,
    MULTIPROTOCOL,
    UNICAST,
    Agreed,
    Bad,
    Capability,
    Cease,
    Code,
    Frames,
    Keepalive,
    Message,
    Notification,
    Open,
    RouteRefresh,
    Type,
    Update,
    agree,
    decode,
    shutdown_text,
)
from limeridge.bgp.fsm import TABLE, Action, Event, State

SECOND = 1_000_000
CONNECT_RETRY = 120 * SECOND  # RFC 4271 section 10
LARGE_HOLD = 240 * SECOND  # section 8.2.2: while the peer's OPEN is awaited
JITTER = (0.75, 1.0)  # section 10
DOUBLINGS = 6  # of the idle hold time, at the most
FORGIVEN = 8  # hold times that a session must stand for an oscillation to be forgotten
TIMER_ACTIONS = {
    Action.START_CONNECT_RETRY,
    Action.STOP_CONNECT_RETRY,
    Action.START_DELAY_OPEN,
    Action.STOP_DELAY_OPEN,
    Action.START_IDLE_HOLD,
    Action.STOP_IDLE_HOLD,
    Action.START_HOLD_LARGE,
    Action.START_HOLD,
    Action.START_KEEPALIVE,
    Action.STOP_TIMERS,
}
SEND_ACTIONS = {
    Action.SEND_OPEN,
    Action.SEND_KEEPALIVE,
    Action.SEND_CEASE,
    Action.SEND_HOLD_EXPIRED,
    Action.SEND_FSM_ERROR,
    Action.SEND_ERROR,
}


@dataclass(slots=True, frozen=True)
class Terms:
    """What a session is to be: ours, and what is expected of the peer."""

    asn: int
    router: int
    peer_asn: int
    hold: int = 90  # seconds
    families: tuple[int, ...] = (1,)
    passive: bool = False
    connect_retry: int = CONNECT_RETRY
    delay_open: int = 0
    idle_hold: int = 1 * SECOND

    def open(self) -> Open:
        """The OPEN that these terms come to."""
        return Open(self.asn, self.hold, self.router, self.families)


class Timer(Enum):
    """The timers of RFC 4271 section 10, each by the event of its end."""

    CONNECT_RETRY = Event.CONNECT_RETRY_EXPIRES
    HOLD = Event.HOLD_EXPIRES
    KEEPALIVE = Event.KEEPALIVE_EXPIRES
    DELAY_OPEN = Event.DELAY_OPEN_EXPIRES
    IDLE_HOLD = Event.IDLE_HOLD_EXPIRES


# ---- outs


@dataclass(slots=True, frozen=True)
class Connect:
    """Open a connection to the peer."""


@dataclass(slots=True, frozen=True)
class Drop:
    """Close the connection once what was sent is out."""


@dataclass(slots=True, frozen=True)
class Reject:
    """Close the connection that came unexpected."""


@dataclass(slots=True, frozen=True)
class Send:
    """Send this message."""

    message: Message


@dataclass(slots=True, frozen=True)
class Up:
    """The session stands; `peer` is the OPEN that the peer sent."""

    agreed: Agreed
    peer: Open


@dataclass(slots=True, frozen=True)
class Down:
    """The session is gone, and with it all that was learned by it."""

    why: str


@dataclass(slots=True, frozen=True)
class Take:
    """Take the peer's routes, or its request for ours."""

    message: Update | RouteRefresh


Out = Connect | Drop | Reject | Send | Up | Down | Take


@dataclass(slots=True)
class Damping:
    """RFC 4271 section 8.1.1: a peer that oscillates is left alone for longer each time; shared by all
    connections to it."""

    count: int = 0
    stood_since: int | None = None

    def up(self, now: int) -> None:
        """Notes that the session stands since `now`, microseconds."""
        self.stood_since = now

    def down(self, now: int, hold: int) -> None:
        """Before the oscillation is counted: one that stood long was none."""
        if self.stood_since is not None and hold and now - self.stood_since >= FORGIVEN * hold * SECOND:
            self.count = 0
        self.stood_since = None

    def wait(self, idle_hold: int) -> int:
        """The idle hold time, in the unit of `idle_hold`: doubled for each oscillation, up to a bound."""
        return idle_hold << min(self.count, DOUBLINGS)


@dataclass(slots=True)
class Counts:
    """For `bgp show`."""

    messages_in: int = 0
    messages_out: int = 0
    updates_in: int = 0
    routes_refused: int = 0
    faults: int = 0
    retries: int = 0
    last_error: str = ""


@dataclass(eq=False)
class Session:
    """One connection by the state machine of RFC 4271 section 8. What comes in gives what is to be done;
    times in microseconds."""

    terms: Terms
    chance: random.Random
    damping: Damping = field(default_factory=Damping)
    counts: Counts = field(default_factory=Counts)

    def __post_init__(self) -> None:
        self.state = State.IDLE
        self.timers: dict[Timer, int] = {}
        self.frames = Frames()
        self.agreed = Agreed(families=self.terms.families, external=self.terms.asn != self.terms.peer_asn)
        self.peer: Open | None = None
        self.hold = 0  # seconds, as negotiated
        self.owed: Notification | None = None  # for an error that was met
        self.shutdown = b""  # the text of a stop
        self.why = ""

    # ---- events

    def start(self, now: int) -> list[Out]:
        """The automatic start, with damping."""
        return self.handle(
            now, Event.AUTOMATIC_START_DAMPED_PASSIVE if self.terms.passive else Event.AUTOMATIC_START_DAMPED
        )

    def stop(self, now: int, text: str = "", administrative: bool = True) -> list[Out]:
        """By hand, or for our own end. The text goes to the peer, RFC 9003."""
        self.shutdown = shutdown_text(text) if text else b""
        self.why = text or "stopped"
        return self.handle(now, Event.MANUAL_STOP if administrative else Event.AUTOMATIC_STOP)

    def connected(self, now: int, accepted: bool) -> list[Out]:
        """A connection stands."""
        self.frames = Frames()
        return self.handle(now, Event.TCP_CONFIRMED if accepted else Event.TCP_ACKED)

    def lost(self, now: int, why: str = "connection lost") -> list[Out]:
        """To be called when the connection is gone, or was never made; `why` is for the log."""
        self.why = why
        return self.handle(now, Event.TCP_FAILS)

    def dump(self, now: int) -> list[Out]:
        """This connection lost a collision, section 6.8."""
        self.why = "collision"
        return self.handle(now, Event.COLLISION_DUMP)

    def received(self, now: int, data: bytes) -> list[Out]:
        """Takes bytes that came; an error among them ends the session as RFC 4271 section 6 says."""
        outs: list[Out] = []
        try:
            for kind, body in self.frames.feed(data):
                outs += self._message(now, kind, body)
                if (
                    self.state in (State.IDLE, State.CONNECT, State.ACTIVE)
                    and Timer.DELAY_OPEN not in self.timers
                ):
                    break  # what stands behind it belongs to a connection that is over
        except Bad as bad:
            outs += self._error(now, Event.HEADER_ERROR, bad)
        return outs

    def _message(self, now: int, kind: Type, body: bytes) -> list[Out]:
        self.counts.messages_in += 1
        try:
            message = decode(kind, body, self.agreed)
            if isinstance(message, Open):
                self._check(message)
        except Bad as bad:
            return self._error(now, Event.OPEN_ERROR if kind is Type.OPEN else Event.UPDATE_ERROR, bad)
        match message:
            case Open():
                self.peer = message
                return self.handle(
                    now, Event.OPEN_IN_DELAY if Timer.DELAY_OPEN in self.timers else Event.OPEN
                )
            case Update():
                self.counts.updates_in += 1
                self.counts.faults += len(message.faults)
                self.counts.routes_refused += len(message.announced)
                return [*self.handle(now, Event.UPDATE, message)]
            case Notification():
                version = (message.code, message.subcode) == (Code.OPEN, 1)
                self.why = f"peer: {message.code}/{message.subcode} {message.text}".strip()
                self.counts.last_error = self.why
                return self.handle(now, Event.NOTIFICATION_VERSION if version else Event.NOTIFICATION)
            case RouteRefresh():
                # RFC 2918 section 4: of use where the session stands; else it is passed over.
                return [Take(message)] if self.state is State.ESTABLISHED else []
            case Keepalive():
                return self.handle(now, Event.KEEPALIVE)

    def _check(self, peer: Open) -> None:
        """Section 6.2, against what was configured."""
        if peer.asn != self.terms.peer_asn:
            raise Bad(Code.OPEN, 2, why=f"AS {peer.asn}, expected {self.terms.peer_asn}")
        if peer.router == self.terms.router and peer.asn == self.terms.asn:
            raise Bad(Code.OPEN, 3, why="the peer has our own identifier")  # RFC 6286 section 2.2
        if not set(peer.families) & set(self.terms.families):
            wanted = b"".join(
                bytes([each.code, len(each.data)]) + each.data
                for each in (
                    Capability(MULTIPROTOCOL, family.to_bytes(2, "big") + bytes([0, UNICAST]))
                    for family in self.terms.families
                )
            )
            raise Bad(Code.OPEN, 7, wanted, "no family in common")  # RFC 5492 section 3

    def _error(self, now: int, event: Event, bad: Bad) -> list[Out]:
        self.owed = bad.notification
        self.why = f"{bad.notification.code}/{bad.notification.subcode} {bad.why}".strip()
        self.counts.last_error = self.why
        if event is Event.UPDATE_ERROR and self.state is not State.ESTABLISHED:
            event = Event.UPDATE  # an UPDATE out of place is an error of the state machine first
        return self.handle(now, event)

    def next_at(self) -> int | None:
        """When `tick` is due."""
        return min(self.timers.values(), default=None)

    def tick(self, now: int) -> list[Out]:
        """Lets all timers expire that are due, in the order of their times."""
        outs: list[Out] = []
        while due := [(at, timer.value.value, timer) for timer, at in self.timers.items() if at <= now]:
            _, _, timer = min(due)
            del self.timers[timer]
            event = timer.value
            if timer is Timer.IDLE_HOLD and self.terms.passive:
                event = Event.AUTOMATIC_START_DAMPED_PASSIVE
            if timer is Timer.HOLD:
                self.why = self.counts.last_error = "hold time expired"
            outs += self.handle(now, event)
        return outs

    # ---- the table, carried out

    def handle(self, now: int, event: Event, update: Update | None = None) -> list[Out]:
        """Does what the table has for an event in this state; `update` goes with UPDATE."""
        actions, after = TABLE[self.state, event]
        outs: list[Out] = []
        for action in actions:
            self._act(now, action, update, outs)
        self.state = after
        self.owed = None
        return outs

    def _send(self, outs: list[Out], message: Message) -> None:
        self.counts.messages_out += 1
        outs.append(Send(message))

    def _jittered(self, span: int) -> int:
        return int(span * self.chance.uniform(*JITTER))

    def _act(self, now: int, action: Action, update: Update | None, outs: list[Out]) -> None:
        """Carries out one action of the state machine's table."""
        if action in TIMER_ACTIONS:
            self._set_timer(now, action)
        elif action in SEND_ACTIONS:
            self._send_for(action, outs)
        elif action in (Action.COUNT_RETRY, Action.ZERO_RETRIES, Action.DAMP):
            self._count(now, action)
        else:
            self._report(now, action, update, outs)

    def _set_timer(self, now: int, action: Action) -> None:
        terms, timers = self.terms, self.timers
        match action:
            case Action.START_CONNECT_RETRY:
                timers[Timer.CONNECT_RETRY] = now + self._jittered(terms.connect_retry)
            case Action.STOP_CONNECT_RETRY:
                timers.pop(Timer.CONNECT_RETRY, None)
            case Action.START_DELAY_OPEN:
                timers[Timer.DELAY_OPEN] = now + terms.delay_open
            case Action.STOP_DELAY_OPEN:
                timers.pop(Timer.DELAY_OPEN, None)
            case Action.START_IDLE_HOLD:
                timers[Timer.IDLE_HOLD] = now + self._jittered(self.damping.wait(terms.idle_hold))
            case Action.STOP_IDLE_HOLD:
                timers.pop(Timer.IDLE_HOLD, None)
            case Action.START_HOLD_LARGE:
                timers[Timer.HOLD] = now + LARGE_HOLD
            case Action.START_HOLD:
                if self.hold:
                    timers[Timer.HOLD] = now + self.hold * SECOND
                else:
                    timers.pop(Timer.HOLD, None)
            case Action.START_KEEPALIVE:
                if self.hold:
                    timers[Timer.KEEPALIVE] = now + self._jittered(self.hold * SECOND // 3)
            case Action.STOP_TIMERS:
                timers.pop(Timer.HOLD, None)
                timers.pop(Timer.KEEPALIVE, None)

    def _send_for(self, action: Action, outs: list[Out]) -> None:
        match action:
            case Action.SEND_OPEN:
                self._send(outs, self.terms.open())
            case Action.SEND_KEEPALIVE:
                self._send(outs, Keepalive())
            case Action.SEND_CEASE:
                collision = self.why == "collision"
                subcode = Cease.COLLISION if collision else Cease.ADMINISTRATIVE_SHUTDOWN
                self._send(outs, Notification(Code.CEASE, subcode, b"" if collision else self.shutdown))
            case Action.SEND_HOLD_EXPIRED:
                self._send(outs, Notification(Code.HOLD_EXPIRED, 0))
            case Action.SEND_FSM_ERROR:
                # RFC 6608 section 3: the subcode tells the state.
                states = {State.OPEN_SENT: 1, State.OPEN_CONFIRM: 2, State.ESTABLISHED: 3}
                self.why = self.counts.last_error = f"unexpected in {self.state.value}"
                self._send(outs, Notification(Code.FSM, states.get(self.state, 0)))
            case Action.SEND_ERROR:
                self._send(outs, self.owed or Notification(Code.FSM, 0))

    def _count(self, now: int, action: Action) -> None:
        match action:
            case Action.COUNT_RETRY:
                self.counts.retries += 1
            case Action.ZERO_RETRIES:
                self.counts.retries = 0
            case Action.DAMP:
                self.damping.down(now, self.hold or self.terms.hold)
                self.damping.count += 1

    def _report(self, now: int, action: Action, update: Update | None, outs: list[Out]) -> None:
        """Actions on the connection, and those that the session's user hears of."""
        match action:
            case Action.CONNECT_TCP:
                outs.append(Connect())
            case Action.DROP_TCP:
                outs.append(Drop())
            case Action.DROP_QUIETLY:
                outs.append(Reject())
            case Action.TAKE_OPEN:
                self._take_open()
            case Action.UP:
                self.damping.up(now)
                if self.peer is not None:
                    outs.append(Up(self.agreed, self.peer))
            case Action.DOWN:
                outs.append(Down(self.why))
            case Action.TAKE_UPDATE:
                if update is not None:
                    outs.append(Take(update))

    def _take_open(self) -> None:
        if self.peer is not None:
            self.agreed = agree(self.terms.open(), self.peer)
            self.hold = min(self.terms.hold, self.peer.hold)
            if self.agreed.extended:
                self.frames.most = EXTENDED_MOST
