"""Probes made for others: a member that got no answer asks some helpers to try in its place.

It owns the probes in hand, their numbers and their end. It must never judge the target: the answer, or the
word that there was none, goes to the member that asked.
"""

from __future__ import annotations

from dataclasses import dataclass

from limeridge.peers.dissemination import Dissemination
from limeridge.peers.members import Claim, Members
from limeridge.peers.messages import Ack, Nack, PingRequest
from limeridge.peers.outbox import Outbox

MAX_RELAYS = 64  # probes in hand for others
FIRST_SEQ = 1 << 32  # apart from the detector's numbers


@dataclass(slots=True)
class Relay:
    """A probe in hand for another member."""

    requester: Claim
    seq: int  # the asker's number for it
    target: str
    expires_at: int  # when the asker is told that there was no answer, microseconds


class Relays:
    """All probes in hand for others."""

    def __init__(self, members: Members, dissemination: Dissemination, outbox: Outbox, timeout: int) -> None:
        """`wait`: microseconds that a target has to answer."""
        self.members, self.dissemination, self.outbox = members, dissemination, outbox
        self.timeout = timeout
        self.pending: dict[int, Relay] = {}
        self.last_seq = FIRST_SEQ

    def deadlines(self) -> list[int]:
        """When each probe in hand runs out, microseconds."""
        return [relay.expires_at for relay in self.pending.values()]

    def begin(self, request: PingRequest, now: int) -> None:
        """Probes the target that `ask` names; refuses where RELAYS_MOST are in hand."""
        if len(self.pending) >= MAX_RELAYS:
            self.outbox.send(request.own, Nack(request.seq, self.members.own))
            return
        self.last_seq += 1
        self.pending[self.last_seq] = Relay(request.own, request.seq, request.to, now + self.timeout)
        ping = self.dissemination.build_ping_for(request.to, self.last_seq, [request.to])
        # To the address that the asker knows: it may be newer than ours.
        self.outbox.send_to((request.host, request.port), ping)

    def handle_ack(self, ack: Ack) -> bool:
        """Passes an answer on to the member that asked for it; False where `ack` is for no probe in hand."""
        relay = self.pending.get(ack.seq)
        if relay is None:
            return False
        if relay.target == ack.of:
            del self.pending[ack.seq]
            members = self.members
            self.outbox.send(relay.requester, Ack(relay.seq, members.own, relay.target, members.digest))
        return True

    def expire(self, now: int) -> None:
        """Tells those whose targets did not answer in time."""
        for seq, relay in list(self.pending.items()):
            if now >= relay.expires_at:
                del self.pending[seq]
                self.outbox.send(relay.requester, Nack(relay.seq, self.members.own))
