"""What the rig may take of a machine, and when the machine was too busy for a figure to mean anything.

The decisions are pure; `machine` alone reads what there is.
"""

from __future__ import annotations

import resource
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

GIB = 1 << 30
MEMORY_SHARE = 0.5  # of the machine's memory
PROCESSES_MOST = 300
LATE_PERCENTILE = 0.95


@dataclass(slots=True, frozen=True)
class Machine:
    """What there is. Memory in bytes."""

    memory: int
    available: int
    descriptors: int  # that one process may open


@dataclass(slots=True, frozen=True)
class Need:
    """What a sweep takes at its largest. Memory in bytes."""

    memory: int
    processes: int
    descriptors: int  # of the process that opens most


def machine() -> Machine:
    """Reads this machine's memory and the limit of descriptors."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    kib = {name: int(rest.split()[0]) for name, _, rest in (line.partition(":") for line in lines)}
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = soft if soft != resource.RLIM_INFINITY else 1 << 30
    return Machine(kib["MemTotal"] * 1_024, kib["MemAvailable"] * 1_024, descriptors)


def refusal(need: Need, has: Machine) -> str:
    """Why the rig must not start, in words; empty where it may."""
    most = int(has.memory * MEMORY_SHARE)
    if need.memory > most:
        return f"needs {_gib(need.memory)} of memory, and may take {_gib(most)}, half of the machine's"
    if need.memory > has.available:
        return f"needs {_gib(need.memory)} of memory, and {_gib(has.available)} are free"
    if need.processes > PROCESSES_MOST:
        return f"needs {need.processes} processes, and may start {PROCESSES_MOST}"
    if need.descriptors > has.descriptors:
        return (
            f"needs {need.descriptors} descriptors in a process, and may open {has.descriptors} (ulimit -n)"
        )
    return ""


def _gib(size: int) -> str:
    return f"{size / GIB:.2f} GiB"


def late(lateness: Sequence[float]) -> float:
    """How late timers came, as one figure: the 95th percentile, in the unit given; 0 without any."""
    ordered = sorted(lateness)
    return ordered[min(len(ordered) - 1, int(LATE_PERCENTILE * len(ordered)))] if ordered else 0.0


def too_busy(lateness: Sequence[float], allowed: float) -> bool:
    """Whether timers came too late for a reading to be kept. Both in the same unit."""
    return late(lateness) > allowed
