"""What revisions of the configuration cost by the number of tenants, for the sweep `configuration`.

The figures are those of `limeridge.configuration.measure`, in a process of its own at each size: processor
time of the one thread, and bytes. No process sends revisions to an instance yet; what an instance is sent
today stands in the sweep beside these.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from limeridge.configuration.measure import BATCH, ChangeCost, SnapshotCost, TableCost
from limeridge.scale.collect import Cost
from limeridge.scale.results import Role, Situation, Size, Unit

MEASURED_BY = 120.0  # seconds


@dataclass(frozen=True, slots=True)
class RevisionCosts:
    """One run of the measurement."""

    tables: TableCost
    change_alone: ChangeCost
    changes_in_a_batch: ChangeCost
    snapshot: SnapshotCost


def measured(tenants: int) -> RevisionCosts:
    """Costs with so many tenants and no routes. Raises CalledProcessError, TimeoutExpired."""
    module = "limeridge.configuration.measure"
    command = [sys.executable, "-m", module, "--tenants", str(tenants), "--routes", "0"]
    done = subprocess.run(command, check=True, stdout=subprocess.PIPE, timeout=MEASURED_BY)
    return msgspec.json.decode(done.stdout, type=RevisionCosts)


def bytes_of(costs: RevisionCosts) -> Iterator[tuple[Cost, float]]:
    """What is the same each time."""
    batch = costs.changes_in_a_batch
    yield _cost("revision of one change, encoded", Unit.BYTES), costs.change_alone.encoded
    yield _cost(f"a change of {BATCH} in one message, encoded", Unit.BYTES), batch.encoded / batch.changes
    yield _cost("snapshot, encoded", Unit.BYTES), costs.snapshot.encoded


def seconds_of(costs: RevisionCosts) -> Iterator[tuple[Cost, float]]:
    """Processor time, of an instance and of a publisher."""
    alone, batch, snapshot = costs.change_alone, costs.changes_in_a_batch, costs.snapshot
    publisher = Role.PUBLISHER
    yield _cost("put one change in force", Unit.SECONDS), alone.decode + alone.apply
    yield (
        _cost(f"put a change of {BATCH} in force", Unit.SECONDS),
        (batch.decode + batch.apply) / batch.changes,
    )
    yield _cost("load a snapshot", Unit.SECONDS), snapshot.load
    yield _cost("longest step of loading a snapshot", Unit.SECONDS), snapshot.longest_step
    yield _cost("accept and encode one change", Unit.SECONDS, publisher), alone.accept + alone.encode
    yield _cost("make and encode a snapshot", Unit.SECONDS, publisher), snapshot.make + snapshot.encode


def _cost(name: str, unit: Unit, role: Role = Role.INSTANCE) -> Cost:
    return Cost(name, Situation.CHANGE, Size.TENANTS, unit, role)
