"""The random plan of a soak, drawn from a seed: instances, clients, signals, faults and their times.

It has no part in the verdict, reads no clock and opens no files or sockets. Times are seconds from the start
of the traffic unless stated to be relative to the notice to leave.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import pairwise

MAX_SIGNAL_GAP_S = 0.05  # between the signals of a series
QUIET_S = 30.0  # time without requests before the faults, in some of the long soaks


@dataclass(frozen=True, slots=True)
class Signal:
    """A signal to one instance. `half_written`: its configuration file is truncated at that time."""

    at: float
    name: str  # HUP, TERM, INT
    half_written: bool = False


@dataclass(frozen=True, slots=True)
class InstancePlan:
    """One instance and the events that it is exposed to. It is killed `stop` seconds after its notice, and
    its successor starts then."""

    number: int
    stop: float
    grace: float
    sockets: int
    persistent_clients: int  # clients that keep their connections open
    crowd_clients: int  # clients that reconnect after each batch of answers, around the notice
    notice: float
    signals: tuple[Signal, ...]  # the notice excluded

    def trouble_times(self) -> list[float]:
        """The times of the notice, the kill and all signals."""
        return [self.notice, self.notice + self.stop, *(each.at for each in self.signals)]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One soak: the life of each instance up to its end, and the start of its successor."""

    seed: int
    seconds: float  # of traffic before the first notice
    quiet: float  # seconds without requests before that
    instances: tuple[InstancePlan, ...]
    records_down: bool  # the ledger refuses connections during the drains
    discovery_down: bool  # service discovery ignores reports during the drains
    reset_share: float  # of the persistent connections; reset by the client at a random time

    @property
    def last_notice(self) -> float:
        return max(each.notice for each in self.instances)

    def close_pairs(self) -> int:
        """The number of consecutive events at one instance that are at most 50 ms apart."""
        count = 0
        for each in self.instances:
            trouble_times = sorted(each.trouble_times())
            count += sum(b - a <= MAX_SIGNAL_GAP_S for a, b in pairwise(trouble_times))
        return count


def draw(seed: int, seconds: float, allow_quiet: bool = True) -> SoakPlan:
    """Draws a plan, deterministic for a seed and length. Without `allow_quiet` it has no quiet time."""
    chance = random.Random(f"soak/{seed}")
    count = chance.choice((1, 1, 2, 3))
    notices = [seconds + chance.uniform(0, 0.6) for _ in range(count)]
    has_crowd = chance.random() < 0.67
    instances = tuple(
        _draw_instance(chance, number, notices[number], has_crowd, count) for number in range(count)
    )
    return SoakPlan(
        seed=seed,
        seconds=seconds,
        quiet=QUIET_S if allow_quiet and chance.random() < 0.25 else 0.0,
        instances=instances,
        records_down=chance.random() < 0.25,
        discovery_down=chance.random() < 0.25,
        reset_share=chance.choice((0.0, 0.0, 0.05)),
    )


def _draw_instance(
    chance: random.Random, number: int, notice: float, has_crowd: bool, count: int
) -> InstancePlan:
    stop = chance.uniform(0.8, 1.6)
    sockets = chance.choice((96, 256, 512))
    client_limit = sockets // 2 - 4  # the protocol allows connections up to half of the descriptors
    persistent_clients = min(client_limit // 2, chance.choice((4, 8, 16)))
    signals = [Signal(chance.uniform(0.3, notice), "HUP", chance.random() < 0.3) for _ in range(2)]
    for _ in range(chance.randrange(3)):  # close together and close to the notice
        first = notice + chance.uniform(-MAX_SIGNAL_GAP_S, MAX_SIGNAL_GAP_S)
        signals += [Signal(first, "HUP"), Signal(first + chance.uniform(0, MAX_SIGNAL_GAP_S), "HUP")]
    for _ in range(chance.randrange(4)):
        signals.append(Signal(notice + chance.uniform(0, stop), chance.choice(("TERM", "INT", "HUP"))))
    return InstancePlan(
        number=number,
        stop=round(stop, 3),
        grace=round(chance.uniform(0.1, 0.4) * stop, 3),
        sockets=sockets,
        persistent_clients=persistent_clients,
        crowd_clients=(client_limit - persistent_clients) // count if has_crowd else 0,
        notice=notice,
        signals=tuple(sorted(signals, key=lambda each: each.at)),
    )
