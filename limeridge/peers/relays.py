"""Indirect probes made on behalf of other members (SWIM's ping-req).

This module keeps the pending probes, their sequence numbers and time-outs. It draws no conclusion about the
target: the ack or nack goes to the member that requested the probe.
"""

from __future__ import annotations

from dataclasses import dataclass

from limeridge.peers.dissemination import Dissemination
from limeridge.peers.members import Claim, Members
from limeridge.peers.messages import Ack, Nack, PingRequest
from limeridge.peers.outbox import Outbox

MAX_RELAYS = 64  # pending probes for other members
FIRST_SEQ = 1 << 32  # separate from the detector's own sequence numbers


@dataclass(slots=True)
class Relay:
    """A pending probe for another member."""

    requester: Claim
    seq: int  # the requester's sequence number
    target: str
    expires_at: int  # when a nack is sent to the requester, microseconds


class Relays:
    """All pending probes for other members."""

    def __init__(self, members: Members, dissemination: Dissemination, outbox: Outbox, timeout: int) -> None:
        """A target has `timeout` microseconds to answer."""
        self.members, self.dissemination, self.outbox = members, dissemination, outbox
        self.timeout = timeout
        self.pending: dict[int, Relay] = {}
        self.last_seq = FIRST_SEQ

    def deadlines(self) -> list[int]:
        """The time-outs of all pending probes, microseconds."""
        return [relay.expires_at for relay in self.pending.values()]

    def begin(self, request: PingRequest, now: int) -> None:
        """Probes the target of the request; sends a nack if MAX_RELAYS are pending."""
        if len(self.pending) >= MAX_RELAYS:
            self.outbox.send(request.own, Nack(request.seq, self.members.own))
            return
        self.last_seq += 1
        self.pending[self.last_seq] = Relay(request.own, request.seq, request.to, now + self.timeout)
        ping = self.dissemination.build_ping_for(request.to, self.last_seq, [request.to])
        # Uses the requester's address of the target, which may be newer than ours.
        self.outbox.send_to((request.host, request.port), ping)

    def handle_ack(self, ack: Ack) -> bool:
        """Relays an ack to the requester; returns False if it belongs to no pending probe."""
        relay = self.pending.get(ack.seq)
        if relay is None:
            return False
        if relay.target == ack.of:
            del self.pending[ack.seq]
            members = self.members
            self.outbox.send(relay.requester, Ack(relay.seq, members.own, relay.target, members.digest))
        return True

    def expire(self, now: int) -> None:
        """Sends nacks for the probes that have timed out."""
        for seq, relay in list(self.pending.items()):
            if now >= relay.expires_at:
                del self.pending[seq]
                self.outbox.send(relay.requester, Nack(relay.seq, self.members.own))
