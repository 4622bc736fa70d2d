"""What a ping or an ack carries along: claims that are news, accusations, and whose answers are missed here.

It owns the accusations that are still to be told, and the bound of a datagram. It must never send anything:
it builds the messages.
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

ACCUSALS_MOST = 6  # carried by one datagram
MISSES_MOST = 6
ACCUSALS_KEPT = 256


@dataclass(slots=True, frozen=True)
class Piggyback:
    """What goes along with one ping or ack."""

    claims: tuple[Claim, ...]
    accusals: tuple[Accusation, ...]
    misses: tuple[str, ...]  # names whose answers do not reach this member


class Dissemination:
    """Builds pings and acks, each with as much news as one datagram has room for."""

    def __init__(self, members: Members, detector: Detector, reachability: Reachability) -> None:
        self.members, self.detector, self.reachability = members, detector, reachability
        self.accusals: dict[Accusation, int] = {}  # how often each was told

    def accuse(self, accusal: Accusation) -> None:
        """Takes an accusation, our own or one that was heard; it is told on if it is new."""
        new = self.detector.add_accuser(accusal.name, accusal.life, accusal.incarnation, accusal.by)
        if new and len(self.accusals) < ACCUSALS_KEPT:
            self.accusals.setdefault(accusal, 0)

    def withdraw(self, name: str) -> None:
        """Forgets all accusations of a member that is no longer suspected."""
        for accusal in [each for each in self.accusals if each.name == name]:
            del self.accusals[accusal]

    def ping(self, target: Claim, seq: int) -> Ping:
        """A probe of `target`, which hears first what is held against itself."""
        first = [target.name] if target.state is not State.ALIVE else []
        return self.ping_about(target.name, seq, first)

    def ping_about(self, to: str, seq: int, first: Iterable[str]) -> Ping:
        """A probe of the member named `to`; the claims about `first` go ahead of all other news."""
        news = self._piggyback(first)
        members = self.members
        return Ping(seq, members.own, to, members.digest, news.claims, news.accusals, news.misses)

    def ack(self, ping: Ping) -> Ack:
        """Our answer to a probe."""
        sender, members = ping.own, self.members
        held = members.get(sender.name)
        # What we hold against it goes first, so that it can refute, or raise the number of its life.
        first = [sender.name] if held is not None and held.supersedes(sender) else []
        news = self._piggyback(first)
        own = members.own
        return Ack(ping.seq, own, own.name, members.digest, news.claims, news.accusals, news.misses)

    def _piggyback(self, first: Iterable[str]) -> Piggyback:
        room = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - CLAIM_FIXED_BYTES - self.members.own.text_bytes
        misses = self._misses()
        room -= sum(utf8_length(name) + 3 for name in misses)
        accusals = self._accusals(room)
        room -= sum(map(_size, accusals))
        return Piggyback(
            tuple(self.members.select_updates(room, CLAIM_FIXED_BYTES, first)), tuple(accusals), misses
        )

    def _misses(self) -> tuple[str, ...]:
        there = sorted(claim.name for claim in self.members.others(State.ALIVE, State.SUSPECT))
        return tuple(islice(self.reachability.members_not_answering(there), MISSES_MOST))

    def _accusals(self, room: int) -> list[Accusation]:
        """The least told first, in up to about half of `room` bytes; each counts as told."""
        chosen: list[Accusation] = []
        for accusal in sorted(self.accusals, key=lambda each: (self.accusals[each], each.name, each.by)):
            takes = _size(accusal)
            if len(chosen) >= ACCUSALS_MOST or takes > room // 2:  # half is left for claims
                break
            chosen.append(accusal)
            room -= takes
            self.accusals[accusal] += 1
            if self.accusals[accusal] >= self.members.transmission_limit():
                del self.accusals[accusal]
        return chosen


def _size(accusal: Accusation) -> int:
    """Bytes on the wire, at the most."""
    return CLAIM_FIXED_BYTES + utf8_length(accusal.name) + utf8_length(accusal.by)
