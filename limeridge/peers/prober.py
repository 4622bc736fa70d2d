"""Turns the failure detector's actions into messages and passes answers back to the detector.

This module decides only the order in which the detector and the reachability records see an answer. Whom to
probe or suspect is decided in probing.py.
"""

from __future__ import annotations

from msgspec.structs import replace

from limeridge.peers import probing
from limeridge.peers.dissemination import Dissemination
from limeridge.peers.members import Members, State
from limeridge.peers.messages import Accusation, Ack, Nack, Ping, PingRequest
from limeridge.peers.outbox import Outbox
from limeridge.peers.probing import Detector
from limeridge.peers.reachability import Reachability
from limeridge.peers.relays import Relays
from limeridge.peers.updates import Updates


class Prober:
    """Carries out the failure detector's actions and answers the probes of other members."""

    def __init__(
        self,
        members: Members,
        detector: Detector,
        reachability: Reachability,
        dissemination: Dissemination,
        updates: Updates,
        relays: Relays,
        outbox: Outbox,
    ) -> None:
        self.members, self.detector, self.reachability = members, detector, reachability
        self.dissemination, self.updates, self.relays = dissemination, updates, relays
        self.outbox = outbox

    def wake(self, now: int) -> None:
        """Runs the detector. Call it at the detector's `next_at` or soon after."""
        stalls = self.detector.stalls
        for action in self.detector.wake(now):
            self._execute(action, now)
        if self.detector.stalls > stalls:
            self.outbox.log("peers", "stood-still", stalls=self.detector.stalls)

    def send_ack(self, ping: Ping) -> None:
        """Answers a probe, unless it is the announcement of a member that leaves."""
        if ping.seq == 0 and ping.own.state is State.LEFT:
            return
        self.outbox.send(ping.own, self.dissemination.build_ack(ping))

    def handle_ack(self, ack: Ack, now: int) -> None:
        """Handles an ack of our own probe or of one that we made for another member."""
        if self.relays.handle_ack(ack):
            return
        direct = ack.of == ack.own.name
        if self.detector.handle_ack(ack.seq, ack.of, now):
            times = self.reachability.contact(ack.of)
            if direct:
                times.last_direct_ack = now
            else:
                times.last_indirect_ack = now

    def handle_nack(self, nack: Nack, now: int) -> None:
        """Handles a helper's report that its probe was not answered either."""
        self.detector.handle_nack(nack.seq, nack.own.name, now)

    def _execute(self, action: probing.Action, now: int) -> None:
        if isinstance(action, probing.Probe):
            self._probe(action, now)
        elif isinstance(action, probing.DeclareSuspect):
            target, own = action.target, self.members.own
            self.updates.merge(replace(target, state=State.SUSPECT), now)
            self.dissemination.add_accusation(
                Accusation(target.name, target.life, target.incarnation, own.name)
            )
        else:
            self.updates.merge(replace(action.target, state=State.DEAD), now)

    def _probe(self, probe: probing.Probe, now: int) -> None:
        target = probe.target
        if probe.helper is not None:
            request = PingRequest(probe.seq, self.members.own, target.name, target.host, target.port)
            self.outbox.send(probe.helper, request)
            return
        self.outbox.send(target, self.dissemination.build_ping(target, probe.seq))
        if self.detector.round is not None and self.detector.round.indirect_probes_sent:
            self.reachability.contact(target.name).last_direct_timeout = now
