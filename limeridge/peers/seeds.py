"""When service discovery is asked for members, and what its answer is good for.

It owns the waits of a reader, its budget, and the reading of an answer. It must never take an entry of the
list for a member: an entry is an address to try, and the list may be old, empty, or half there.

A reader that knows others asks seldom; one that knows nobody asks soon, and then ever later: a wait drawn
evenly from nothing up to a bound that doubles (full jitter), so that a fleet that starts at once does not ask
at once. What it asks in a while has a budget, which an answer does not refill and a restart begins with half
of.
"""

from __future__ import annotations

import ipaddress
import random
from collections.abc import Sequence
from dataclasses import dataclass

from limeridge.peers.members import Address

ENTRIES_MOST = 400  # kept of an answer, drawn evenly; members hear of the others by gossip
PARTS_MOST = 4_096  # of an answer, each a datagram
TRIED_AT_ONCE = 3


@dataclass(slots=True, frozen=True)
class Patience:
    """Times in microseconds."""

    first: int = 500_000  # the first wait is drawn from up to this
    longest: int = 20_000_000
    seldom: int = 60_000_000  # between two askings of one who knows others
    budget: int = 10  # askings within `seldom`


class Seeker:
    """What one instance asks of the list."""

    def __init__(self, patience: Patience, rng: random.Random, now: int) -> None:
        self.patience, self.rng = patience, rng
        self.tries = 0
        self.left = patience.budget / 2
        self.filled_at = now
        self.next_at = now + int(rng.uniform(0, patience.first))
        self.kept: list[tuple[int, Address]] = []  # each with the part in which it came
        self.parts: set[int] = set()  # of the answer that is coming in
        self.entries = 0  # in those parts
        self.asked = 0  # its number

    def ask(self, others: int, now: int) -> bool:
        """Whether the list is to be asked now; `others` is how many members are known beside ourselves. To be
        called at `next_at` or soon after."""
        if now < self.next_at:
            return False
        patience = self.patience
        gained = (now - self.filled_at) * patience.budget / patience.seldom
        self.left = min(float(patience.budget), self.left + gained)
        self.filled_at = now
        if others:
            self.tries = 0
            self.next_at = now + int(self.rng.uniform(0.5, 1.5) * patience.seldom)
        else:
            bound = min(patience.longest, patience.first << min(self.tries, 16))
            self.tries += 1
            self.next_at = now + max(1, int(self.rng.uniform(0, bound)))
        if self.left < 1:
            return False
        self.left -= 1
        self.asked += 1
        self.parts.clear()
        return True

    def heard(self, words: Sequence[str], own: Address) -> None:
        """`NUMBER PART PARTS HOST:PORT...` of an answer. What is of another asking, or no such thing, is
        passed over; a part that never comes leaves those that did."""
        if len(words) < 3 or not all(word.isdecimal() and len(word) < 10 for word in words[:3]):
            return
        number, part, parts = map(int, words[:3])
        if number != self.asked or not 0 <= part < parts <= PARTS_MOST or part in self.parts:
            return
        if not self.parts:
            self.kept, self.entries = [], 0
        self.parts.add(part)
        for word in words[3 : 3 + ENTRIES_MOST]:
            address = address_of(word)
            if address is not None and address != own:
                self._keep((part, address))

    def _keep(self, entry: tuple[int, Address]) -> None:
        """By reservoir sampling: of a list of any length each entry is as likely to be kept."""
        self.entries += 1
        if len(self.kept) < ENTRIES_MOST:
            self.kept.append(entry)
        elif (place := self.rng.randrange(self.entries)) < ENTRIES_MOST:
            self.kept[place] = entry

    @property
    def found(self) -> list[Address]:
        """What is kept of the answer, part by part."""
        return [address for _, address in sorted(self.kept, key=lambda entry: entry[0])]

    def take(self, known: set[Address]) -> list[Address]:
        """Some to be tried, drawn anew: all readers must not fall on the first of the list."""
        fresh = sorted(set(self.found) - known)
        return self.rng.sample(fresh, min(TRIED_AT_ONCE, len(fresh)))


def address_of(word: str) -> Address | None:
    """The address that `HOST:PORT` names; None where it is no IP address with a port."""
    host, _, port = word.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return None
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        return None
    return host.strip("[]"), int(port)
