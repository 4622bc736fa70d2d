"""Builds pings and acks with piggybacked updates, accusations and the names of members that do not answer.

This module keeps the queue of accusations and bounds the size of each datagram. It does not send anything.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from limeridge.peers.members import Claim, Members, State, utf8_length
from limeridge.peers.messages import (
    CLAIM_FIXED_BYTES,
    MAX_DATAGRAM_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    Accusation,
    Ack,
    Ping,
)
from limeridge.peers.probing import Detector
from limeridge.peers.reachability import Reachability

MAX_ACCUSATIONS_PER_DATAGRAM = 6  # carried by one datagram
MAX_MISSES_PER_DATAGRAM = 6
MAX_QUEUED_ACCUSATIONS = 256


@dataclass(slots=True, frozen=True)
class Piggyback:
    """The gossip that one ping or ack carries."""

    claims: tuple[Claim, ...]
    accusals: tuple[Accusation, ...]
    misses: tuple[str, ...]  # names of members whose acks do not reach this member


class Dissemination:
    """Builds pings and acks, each with as many updates as fit into one datagram."""

    def __init__(self, members: Members, detector: Detector, reachability: Reachability) -> None:
        self.members, self.detector, self.reachability = members, detector, reachability
        self.accusations: dict[Accusation, int] = {}  # how often each has been sent

    def add_accusation(self, accusation: Accusation) -> None:
        """Handles our own or a received accusation, and queues it for gossip if it is new."""
        new = self.detector.add_accuser(
            accusation.name, accusation.life, accusation.incarnation, accusation.by
        )
        if new and len(self.accusations) < MAX_QUEUED_ACCUSATIONS:
            self.accusations.setdefault(accusation, 0)

    def remove_accusations(self, name: str) -> None:
        """Drops all accusations of a member that is no longer suspect."""
        for accusation in [each for each in self.accusations if each.name == name]:
            del self.accusations[accusation]

    def build_ping(self, target: Claim, seq: int) -> Ping:
        """Builds a probe of `target`. If the target is not alive here, the claim about it goes first so that
        it can refute it."""
        priority_names = [target.name] if target.state is not State.ALIVE else []
        return self.build_ping_for(target.name, seq, priority_names)

    def build_ping_for(self, to: str, seq: int, priority_names: Iterable[str]) -> Ping:
        """Builds a probe of the member `to`. Claims about `priority_names` precede all other updates."""
        piggyback = self._piggyback(priority_names)
        members = self.members
        return Ping(
            seq, members.own, to, members.digest, piggyback.claims, piggyback.accusals, piggyback.misses
        )

    def build_ack(self, ping: Ping) -> Ack:
        """Builds the answer to a probe."""
        sender, members = ping.own, self.members
        held = members.get(sender.name)
        # If our claim supersedes the sender's, it goes first, so that the sender can refute it or raise the
        # number of its life.
        priority_names = [sender.name] if held is not None and held.supersedes(sender) else []
        piggyback = self._piggyback(priority_names)
        own = members.own
        return Ack(
            ping.seq, own, own.name, members.digest, piggyback.claims, piggyback.accusals, piggyback.misses
        )

    def _piggyback(self, priority_names: Iterable[str]) -> Piggyback:
        room = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - CLAIM_FIXED_BYTES - self.members.own.text_bytes
        misses = self._missing_ack_names()
        room -= sum(utf8_length(name) + 3 for name in misses)
        accusations = self._select_accusations(room)
        room -= sum(map(_max_size, accusations))
        return Piggyback(
            tuple(self.members.select_updates(room, CLAIM_FIXED_BYTES, priority_names)),
            tuple(accusations),
            misses,
        )

    def _missing_ack_names(self) -> tuple[str, ...]:
        names = sorted(claim.name for claim in self.members.others(State.ALIVE, State.SUSPECT))
        return tuple(islice(self.reachability.members_not_answering(names), MAX_MISSES_PER_DATAGRAM))

    def _select_accusations(self, available_bytes: int) -> list[Accusation]:
        """Selects the accusations that have been sent least often, in up to about half of `available_bytes`,
        and counts each as sent once."""
        selected: list[Accusation] = []
        for accusation in sorted(
            self.accusations, key=lambda each: (self.accusations[each], each.name, each.by)
        ):
            size = _max_size(accusation)
            # The other half is left for claims.
            if len(selected) >= MAX_ACCUSATIONS_PER_DATAGRAM or size > available_bytes // 2:
                break
            selected.append(accusation)
            available_bytes -= size
            self.accusations[accusation] += 1
            if self.accusations[accusation] >= self.members.transmission_limit():
                del self.accusations[accusation]
        return selected


def _max_size(accusation: Accusation) -> int:
    """Upper bound of the size on the wire in bytes."""
    return CLAIM_FIXED_BYTES + utf8_length(accusation.name) + utf8_length(accusation.by)
