"""What membership costs and how soon it tells, by the number of members, beside plain all-to-all heartbeats.

It owns the two measurements. It must never be part of a verdict: nothing here breaks a rule.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from limeridge.peers.intervals import Intervals
from limeridge.peers.members import State
from limeridge.peers.shares import Terms
from limeridge.sim.gossip import MS, SECOND, Fleet, Setting

BEAT_BYTES = 64  # of a heartbeat: name, life, a tag
BEATS_MISSED = 5  # in a row, until one is held dead
SETTLED = 25 * SECOND
STEADY = 20 * SECOND  # over which load is counted
KILLS = 3


@dataclass(slots=True)
class Size:
    """Of one run; loads are a member's own sending."""

    way: str
    members: int
    loss: float
    packets_s: float = 0.0
    bytes_s: float = 0.0
    first_s: list[float] = field(default_factory=list)  # until the first holds a dead one so
    all_s: list[float] = field(default_factory=list)  # until all do; missing where some never did
    false_deaths: int = 0  # pairs of a live member and one that held it dead, at any time


def gossip(members: int, loss: float, seed: int = 1, wait: int = 60 * SECOND) -> Size:
    terms = Terms(limit=members * 4, capacity=members, voters=tuple(f"n{n}" for n in range(min(5, members))))
    setting = Setting(seed, members, terms, Intervals(), loss, 0, 0, load=False, watched=False)
    fleet, size = Fleet(setting), Size("gossip", members, loss)
    chance = random.Random(f"size {seed}")
    for number in range(members):
        fleet.after(int(chance.uniform(0, 2 * SECOND)), lambda number=number: fleet.begin_life(number))  # type: ignore[misc]
    advance(fleet, SETTLED)
    packets, sent = fleet.verdict.packets, fleet.verdict.bytes
    advance(fleet, SETTLED + STEADY)
    span = STEADY / SECOND * members
    size.packets_s = (fleet.verdict.packets - packets) / span
    size.bytes_s = (fleet.verdict.bytes - sent) / span
    living = [each for each in fleet.current if each is not None]
    size.false_deaths = sum(1 for each in living for _ in each.peer.members.others(State.DEAD))
    victims = chance.sample(living, min(KILLS, members - 2))
    begun = fleet.now
    for victim in victims:
        fleet.kill(victim)
    rest = [each for each in living if each.alive]
    first: dict[str, int] = {}
    every: dict[str, int] = {}
    while len(every) < len(victims) and fleet.now < begun + wait:
        advance(fleet, fleet.now + 100 * MS)
        for victim in victims:
            claims = [each.peer.members.get(victim.name) for each in rest]
            holding = sum(claim is None or claim.state >= State.DEAD for claim in claims)
            if holding:
                first.setdefault(victim.name, fleet.now - begun)
            if holding == len(rest):
                every.setdefault(victim.name, fleet.now - begun)
    size.first_s = sorted(at / SECOND for at in first.values())
    size.all_s = sorted(at / SECOND for at in every.values())
    return size


def advance(fleet: Fleet, until: int) -> None:
    while fleet.heap and fleet.heap[0][0] <= until:
        fleet.now, _, act = heapq.heappop(fleet.heap)
        act()
    fleet.now = until


def heartbeats(members: int, loss: float, seed: int = 1, interval: int = SECOND) -> Size:
    """Each sends a beat to all others each round, and holds dead whoever it missed for some rounds. Beats
    of one round are drawn at once: what one pair does says nothing of another."""
    chance = random.Random(f"beats {seed}")
    size = Size("heartbeats", members, loss)
    size.packets_s = (members - 1) / (interval / SECOND)
    size.bytes_s = size.packets_s * BEAT_BYTES
    draw: Callable[[], float] = chance.random
    rounds = (SETTLED + STEADY) // interval
    sampled = min(members - 1, 50) * min(members, 50)  # pairs looked at, of members * (members - 1)
    false = 0
    for _ in range(sampled):
        missed, dead = 0, False
        for _ in range(rounds):
            missed = missed + 1 if draw() < loss else 0
            dead = dead or missed >= BEATS_MISSED
        false += dead
    size.false_deaths = round(false * members * (members - 1) / sampled)
    for _ in range(min(KILLS, members - 2)):
        # A watcher's last beat came at its own time before the death; lost ones make it hold it dead sooner.
        times = [(BEATS_MISSED - draw()) * interval / SECOND for _ in range(members - 1)]
        size.first_s.append(min(times))
        size.all_s.append(max(times))
    size.first_s.sort()
    size.all_s.sort()
    return size
