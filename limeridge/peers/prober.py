"""Probes on the wire: what the detector wants done becomes messages, and answers go back to it.

It owns the order in which detector and reach hear of an answer. It must never decide who is probed or
suspected: probing.py does.
"""

from __future__ import annotations

from msgspec.structs import replace

from limeridge.peers import probing
from limeridge.peers.dissemination import Dissemination
from limeridge.peers.members import Members, State
from limeridge.peers.messages import Accusation, Ack, Nack, Ping, PingRequest
from limeridge.peers.outbox import Outbox
from limeridge.peers.probing import Detector
from limeridge.peers.reach import Reach
from limeridge.peers.relays import Relays
from limeridge.peers.updates import Updates


class Prober:
    """Carries out what the failure detector asks for, and answers the probes of others."""

    def __init__(
        self,
        members: Members,
        detector: Detector,
        reach: Reach,
        dissemination: Dissemination,
        updates: Updates,
        relays: Relays,
        outbox: Outbox,
    ) -> None:
        self.members, self.detector, self.reach = members, detector, reach
        self.dissemination, self.updates, self.relays = dissemination, updates, relays
        self.outbox = outbox

    def wake(self, now: int) -> None:
        """To be called at the detector's `next_at` or soon after."""
        stalls = self.detector.stalls
        for act in self.detector.wake(now):
            self._carry_out(act, now)
        if self.detector.stalls > stalls:
            self.outbox.log("peers", "stood-still", stalls=self.detector.stalls)

    def answer(self, ping: Ping) -> None:
        """Answers a probe, unless it is the farewell of one that leaves."""
        if ping.seq == 0 and ping.own.state is State.LEFT:
            return
        self.outbox.send(ping.own, self.dissemination.ack(ping))

    def answered(self, ack: Ack, now: int) -> None:
        """Takes an answer to a probe of ours, or to one that we made for another."""
        if self.relays.answered(ack):
            return
        direct = ack.of == ack.own.name
        if self.detector.answered(ack.seq, ack.of, now):
            seen = self.reach.of(ack.of)
            if direct:
                seen.answered = now
            else:
                seen.by_others = now

    def refused(self, nack: Nack, now: int) -> None:
        """Takes a helper's word that it had no answer either."""
        self.detector.refused(nack.seq, nack.own.name, now)

    def _carry_out(self, act: probing.Act, now: int) -> None:
        if isinstance(act, probing.Probe):
            self._probe(act, now)
        elif isinstance(act, probing.Accuse):
            target, own = act.target, self.members.own
            self.updates.merge(replace(target, state=State.SUSPECT), now)
            self.dissemination.accuse(Accusation(target.name, target.life, target.incarnation, own.name))
        else:
            self.updates.merge(replace(act.target, state=State.DEAD), now)

    def _probe(self, probe: probing.Probe, now: int) -> None:
        target = probe.target
        if probe.helper is not None:
            ask = PingRequest(probe.seq, self.members.own, target.name, target.host, target.port)
            self.outbox.send(probe.helper, ask)
            return
        self.outbox.send(target, self.dissemination.ping(target, probe.seq))
        if self.detector.round is not None and self.detector.round.asked_others:
            self.reach.of(target.name).unanswered = now
