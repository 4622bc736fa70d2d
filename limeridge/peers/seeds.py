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

MAX_ENTRIES = 400  # kept of an answer, drawn evenly; members hear of the others by gossip
MAX_PARTS = 4_096  # of an answer, each a datagram
MAX_CONTACTS_AT_ONCE = 3


@dataclass(slots=True, frozen=True)
class NodeListPolicy:
    """Times in microseconds."""

    initial_backoff: int = 500_000  # the first wait is drawn from up to this
    max_backoff: int = 20_000_000
    interval: int = 60_000_000  # between two askings of one who knows others
    budget: int = 10  # askings within `seldom`


class NodeListReader:
    """What one instance asks of the list."""

    def __init__(self, policy: NodeListPolicy, rng: random.Random, now: int) -> None:
        self.policy, self.rng = policy, rng
        self.attempts = 0
        self.tokens = policy.budget / 2
        self.refilled_at = now
        self.next_at = now + int(rng.uniform(0, policy.initial_backoff))
        self.sample: list[tuple[int, Address]] = []  # each with the part in which it came
        self.received_parts: set[int] = set()  # of the answer that is coming in
        self.entry_count = 0  # in those parts
        self.request_id = 0  # its number

    def should_request(self, others: int, now: int) -> bool:
        """Whether the list is to be asked now; `others` is how many members are known beside ourselves. To be
        called at `next_at` or soon after."""
        if now < self.next_at:
            return False
        policy = self.policy
        gained = (now - self.refilled_at) * policy.budget / policy.interval
        self.tokens = min(float(policy.budget), self.tokens + gained)
        self.refilled_at = now
        if others:
            self.attempts = 0
            self.next_at = now + int(self.rng.uniform(0.5, 1.5) * policy.interval)
        else:
            bound = min(policy.max_backoff, policy.initial_backoff << min(self.attempts, 16))
            self.attempts += 1
            self.next_at = now + max(1, int(self.rng.uniform(0, bound)))
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.request_id += 1
        self.received_parts.clear()
        return True

    def receive(self, words: Sequence[str], own: Address) -> None:
        """`NUMBER PART PARTS HOST:PORT...` of an answer. What is of another asking, or no such thing, is
        passed over; a part that never comes leaves those that did."""
        if len(words) < 3 or not all(item.isdecimal() and len(item) < 10 for item in words[:3]):
            return
        request, part, parts = map(int, words[:3])
        if request != self.request_id or not 0 <= part < parts <= MAX_PARTS or part in self.received_parts:
            return
        if not self.received_parts:
            self.sample, self.entry_count = [], 0
        self.received_parts.add(part)
        for item in words[3 : 3 + MAX_ENTRIES]:
            address = parse_address(item)
            if address is not None and address != own:
                self._add_to_sample((part, address))

    def _add_to_sample(self, entry: tuple[int, Address]) -> None:
        """By reservoir sampling: of a list of any length each entry is as likely to be kept."""
        self.entry_count += 1
        if len(self.sample) < MAX_ENTRIES:
            self.sample.append(entry)
        elif (place := self.rng.randrange(self.entry_count)) < MAX_ENTRIES:
            self.sample[place] = entry

    @property
    def addresses(self) -> list[Address]:
        """What is kept of the answer, part by part."""
        return [address for _, address in sorted(self.sample, key=lambda entry: entry[0])]

    def draw_candidates(self, known: set[Address]) -> list[Address]:
        """Some to be tried, drawn anew: all readers must not fall on the first of the list."""
        fresh = sorted(set(self.addresses) - known)
        return self.rng.sample(fresh, min(MAX_CONTACTS_AT_ONCE, len(fresh)))


def parse_address(item: str) -> Address | None:
    """The address that `HOST:PORT` names; None where it is no IP address with a port."""
    host, _, port = item.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return None
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        return None
    return host.strip("[]"), int(port)
