"""One peer: its connections, of which one survives, and the routes that it is told.

It owns collision detection (RFC 4271 section 6.8), the bound on connections, and what was advertised
(Adj-RIB-Out) with its pace (MinRouteAdvertisementInterval). It must never decide what is announced (policy.py
does) nor touch a socket; connections are numbers that whoever carries it out keeps.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from limeridge.bgp.codec import Agreed, Attributes, Open, Prefix, RouteRefresh, Update, packed
from limeridge.bgp.fsm import State
from limeridge.bgp.session import (
    SECOND,
    Connect,
    Counts,
    Damping,
    Down,
    Out,
    Reject,
    Send,
    Session,
    Take,
    Terms,
    Timer,
    Up,
)

MRAI = 5 * SECOND  # RFC 4271 section 9.2.1.1 leaves it to us; 30 s is its example for external peers
OURS = 0  # the connection that we open; those that we accept are numbered from 1


@dataclass(slots=True, frozen=True)
class On:
    """An out, and the connection that it is for."""

    line: int
    out: Out


class RibOut:
    """What a peer is to know and what it was told. A withdrawal goes at once, an announcement no sooner than
    the interval after the last one of its prefix: what changes back in between is never sent."""

    def __init__(self, chance: random.Random, interval: int = MRAI) -> None:
        self.chance, self.interval = chance, interval
        self.wanted: dict[Prefix, Attributes] = {}
        self.told: dict[Prefix, Attributes] = {}
        self.free_at: dict[Prefix, int] = {}

    def want(self, routes: Mapping[Prefix, Attributes]) -> None:
        """Sets what the peer is to know from now on."""
        self.wanted = dict(routes)

    def forget(self) -> None:
        """The session is gone, and with it all that the peer knew."""
        self.told.clear()
        self.free_at.clear()

    def due(self, now: int) -> list[Update]:
        """What is to be sent now: withdrawals first, announcements grouped by their attributes."""
        gone = sorted(prefix for prefix in self.told if prefix not in self.wanted)
        for prefix in gone:
            del self.told[prefix]
        groups: dict[Attributes, list[Prefix]] = {}
        for prefix, attributes in sorted(self.wanted.items(), key=lambda each: each[0]):
            if self.told.get(prefix) == attributes or self.free_at.get(prefix, 0) > now:
                continue
            self.told[prefix] = attributes
            self.free_at[prefix] = now + int(self.interval * self.chance.uniform(0.75, 1.0))
            groups.setdefault(attributes, []).append(prefix)
        updates = [Update(withdrawn=tuple(gone))] if gone else []
        return updates + [Update((), tuple(prefixes), attributes) for attributes, prefixes in groups.items()]

    def next_at(self, now: int) -> int | None:
        """When an announcement that is held back may go."""
        held = [
            self.free_at[prefix]
            for prefix, attributes in self.wanted.items()
            if self.told.get(prefix) != attributes and prefix in self.free_at
        ]
        return max(now, min(held)) if held else None

    def current(self) -> bool:
        """Whether the peer was told all that it is to know."""
        return self.told == self.wanted

    def resend(self) -> None:
        """RFC 2918: the peer asked for all of it."""
        self.told.clear()
        self.free_at.clear()


@dataclass(eq=False)
class Peer:
    """One neighbour: our connection to it, those that it opens to us, and the routes that it is told.
    What comes in gives what is to be done, each on its connection; times in microseconds."""

    terms: Terms
    chance: random.Random
    interval: int = MRAI
    accepted_most: int = 2  # connections of this peer's that may be open besides ours

    def __post_init__(self) -> None:
        self.damping, self.counts = Damping(), Counts()
        self.sessions: dict[int, Session] = {OURS: self._session()}
        self.rib = RibOut(self.chance, self.interval)
        self.up: int | None = None  # the connection whose session stands
        self.agreed = Agreed()
        self.serial = 0
        self.running = False
        self.since: int | None = None

    def _session(self) -> Session:
        return Session(self.terms, self.chance, self.damping, self.counts)

    @property
    def state(self) -> State:
        """The state of the connection that is furthest on."""
        order = list(State)
        return max((session.state for session in self.sessions.values()), key=order.index)

    # ---- events

    def start(self, now: int) -> list[On]:
        """Begins to connect, or to wait where the session is passive."""
        self.running = True
        return self._out(now, OURS, self.sessions[OURS].start(now))

    def stop(self, now: int, text: str = "") -> list[On]:
        """Every connection hears a Cease with the text; the routes go with the session."""
        self.running = False
        outs: list[On] = []
        for line, session in list(self.sessions.items()):
            outs += self._out(now, line, session.stop(now, text))
        return outs

    def accepted(self, now: int) -> tuple[int, list[On]]:
        """A connection from the peer's address came in: its number, and what to do. Refused while we are
        stopped, held back by damping, or where too many are open."""
        self.serial += 1
        line = self.serial
        busy = len(self.sessions) - 1 >= self.accepted_most
        held = self.sessions[OURS].state is State.IDLE and not self.terms.passive
        if not self.running or busy or held:
            return line, [On(line, Reject())]
        session = self.sessions[line] = self._session()
        session.state = State.ACTIVE
        return line, self._out(now, line, session.connected(now, accepted=True) + session.tick(now))

    def connected(self, now: int) -> list[On]:
        """To be called when the connection that we opened stands."""
        session = self.sessions[OURS]
        return self._out(now, OURS, session.connected(now, accepted=False) + session.tick(now))

    def lost(self, now: int, line: int, why: str = "connection lost") -> list[On]:
        """To be called when a connection is gone, or was never made; `why` is for the log."""
        session = self.sessions.get(line)
        return [] if session is None else self._out(now, line, session.lost(now, why))

    def received(self, now: int, line: int, data: bytes) -> list[On]:
        """Takes bytes that came over a connection; none where it is one that is over."""
        session = self.sessions.get(line)
        if session is None:
            return []
        before = session.peer
        outs = self._out(now, line, session.received(now, data))
        if session.peer is not before and session.peer is not None:
            outs += self._collide(now, line, session.peer)
        return outs

    def tick(self, now: int) -> list[On]:
        """To be called at `next_at` or soon after."""
        outs: list[On] = []
        for line, session in list(self.sessions.items()):
            outs += self._out(now, line, session.tick(now))
        return outs + self._advertise(now)

    def next_at(self, now: int) -> int | None:
        """When `tick` is to be called next, microseconds; None where nothing is due."""
        times = [at for session in self.sessions.values() if (at := session.next_at()) is not None]
        if self.up is not None and (at := self.rib.next_at(now)) is not None:
            times.append(at)
        return min(times, default=None)

    def announce(self, now: int, routes: Mapping[Prefix, Attributes]) -> list[On]:
        """What the peer is to know from now on."""
        self.rib.want(routes)
        return self._advertise(now)

    # ---- within

    def _collide(self, now: int, line: int, peer: Open) -> list[On]:
        """RFC 4271 section 6.8, when an OPEN has come: of two connections the one stays that the speaker with
        the higher identifier (RFC 6286: or AS number) opened; one that stands already always stays."""
        outs: list[On] = []
        for other, session in list(self.sessions.items()):
            if other == line or session.state not in (State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED):
                continue
            if line not in self.sessions:
                break
            if session.state is State.OPEN_SENT and session.peer is None:
                continue  # its peer is not known yet: judged when its own OPEN comes
            we_win = (self.terms.router, self.terms.asn) > (peer.router, peer.asn)
            keep_ours = session.state is not State.ESTABLISHED and we_win
            loser = (
                line
                if session.state is State.ESTABLISHED
                else ((other if line == OURS else line) if keep_ours else (line if line == OURS else other))
            )
            outs += self._out(now, loser, self.sessions[loser].dump(now))
        return outs

    def _out(self, now: int, line: int, outs: list[Out]) -> list[On]:
        """Follows a session's outs: which one stands, and when a connection's session is over."""
        done: list[On] = []
        for out in outs:
            match out:
                case Up(agreed, _):
                    self.up, self.agreed, self.since = line, agreed, now
                    self.rib.forget()
                case Down():
                    if self.up == line:
                        self.up, self.since = None, None
                        self.rib.forget()
                    ours = self.sessions[OURS]
                    if line != OURS and ours.state is State.ACTIVE:  # which rested while the other stood
                        ours.timers[Timer.CONNECT_RETRY] = now + self.damping.wait(self.terms.idle_hold)
                case Take(RouteRefresh()) if self.up == line:
                    self.rib.resend()
                case Connect() if any(each.state is State.ESTABLISHED for each in self.sessions.values()):
                    # A session stands on a connection that the peer opened: ours stays down.
                    self.sessions[OURS].state = State.ACTIVE
                    continue
            done.append(On(line, out))
        session = self.sessions.get(line)
        waits = session is not None and session.state in (State.IDLE, State.CONNECT, State.ACTIVE)
        if line != OURS and session is not None and waits and Timer.DELAY_OPEN not in session.timers:
            del self.sessions[line]  # a connection that we accepted is not opened again by us
        return done + self._advertise(now)

    def _advertise(self, now: int) -> list[On]:
        if self.up is None:
            return []
        line = self.up
        return [On(line, Send(part)) for update in self.rib.due(now) for part in packed(update, self.agreed)]
