"""Decides when to request the node list from service discovery, and parses its answers.

An entry of the list is only an address to contact, never taken for a member: the list may be stale, empty or
incomplete.

A reader that knows other members requests the list at long intervals. One that knows none uses exponential
backoff with full jitter (a wait drawn uniformly between zero and a bound that doubles), so that a fleet that
starts all at once does not send its requests all at once. A token bucket limits the requests; answers do not
refill it, and a restarted process begins with half of it.
"""

from __future__ import annotations

import ipaddress
import random
from collections.abc import Sequence
from dataclasses import dataclass

from limeridge.peers.members import Address

MAX_ENTRIES = 400  # kept of an answer, as a uniform sample; gossip finds the other members
MAX_PARTS = 4_096  # of one answer; each part is a datagram
MAX_CONTACTS_AT_ONCE = 3


@dataclass(slots=True, frozen=True)
class NodeListPolicy:
    """Times in microseconds."""

    initial_backoff: int = 500_000  # upper bound of the first random wait
    max_backoff: int = 20_000_000
    interval: int = 60_000_000  # between two requests while other members are known
    budget: int = 10  # requests per `interval`


class NodeListReader:
    """Schedules one instance's requests for the node list and keeps a sample of the addresses received."""

    def __init__(self, policy: NodeListPolicy, rng: random.Random, now: int) -> None:
        self.policy, self.rng = policy, rng
        self.attempts = 0
        self.tokens = policy.budget / 2
        self.refilled_at = now
        self.next_at = now + int(rng.uniform(0, policy.initial_backoff))
        self.sample: list[tuple[int, Address]] = []  # with the part each address came in
        self.received_parts: set[int] = set()  # of the answer to the current request
        self.entry_count = 0  # valid entries in those parts
        self.request_id = 0  # of the current request

    def should_request(self, others: int, now: int) -> bool:
        """Whether to request the list now; a request is then counted as sent. `others` is the number of other
        members known. Call it at `next_at` or soon after."""
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
        """Handles one part of an answer, `REQUEST PART PARTS HOST:PORT...` split at blanks.

        Malformed parts and those that answer another request are ignored. If a part is lost, the others are
        still used.
        """
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
        """Reservoir sampling: each entry is kept with equal probability, whatever the length of the list."""
        self.entry_count += 1
        if len(self.sample) < MAX_ENTRIES:
            self.sample.append(entry)
        elif (place := self.rng.randrange(self.entry_count)) < MAX_ENTRIES:
            self.sample[place] = entry

    @property
    def addresses(self) -> list[Address]:
        """The sampled addresses, ordered by part."""
        return [address for _, address in sorted(self.sample, key=lambda entry: entry[0])]

    def draw_candidates(self, known: set[Address]) -> list[Address]:
        """Draws a few unknown addresses to contact, at random so that readers do not all contact the first
        entries of the list."""
        unknown = sorted(set(self.addresses) - known)
        return self.rng.sample(unknown, min(MAX_CONTACTS_AT_ONCE, len(unknown)))


def parse_address(item: str) -> Address | None:
    """Parses `HOST:PORT`; returns None if it is not an IP address with a valid port."""
    host, _, port = item.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return None
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        return None
    return host.strip("[]"), int(port)
