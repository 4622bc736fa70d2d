"""Scenario files: converts a message of settings/scenario.proto to the ranges that plans are drawn from.

This module validates a scenario across its fields; it draws nothing.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import Any

from limeridge.settings import scenario_pb2 as pb
from limeridge.settings.load import Checked, Unusable, load
from limeridge.sim.plan import (
    CUT_ENDPOINTS,
    INSTANCE_FAULTS,
    MS,
    PEER_FAULTS,
    PEERS_ENDPOINT,
    RUDE_CALLER_KINDS,
    TRIGGER_EVENTS,
    Fault,
    Kind,
    Range,
    Ranges,
)
from limeridge.sim.timeline import Ties

DEFAULTS = Ranges()
FOLDER = Path(__file__).parent / "scenarios"
LIMITS: dict[str, tuple[float, float]] = {
    "instances": (1, 230),  # each has an address of its own from 127.0.20.0 upwards
    "cores": (1, 64),
    "callers": (1, 200),
    "seconds": (0.2, 600),
    "txns": (0, 100_000),
    "work_ms": (0.1, 10_000),
    "op_ms": (0.1, 10_000),
    "calls": (0, 8),
    "faults": (0, 50),
    "bad_callers": (0, 50),
    "calls_out": (0.05, 64),
    "expiry_ms": (50, 60_000),
    "stop_ms": (200, 60_000),
    "grace_ms": (0, 60_000),
}
AMOUNTS: dict[Kind, tuple[float, float]] = {
    Kind.KILL: (0, 60),
    Kind.SLOW_CORES: (0.001, 1),
    Kind.LEDGER_SLOW: (0.01, 1_000),
    Kind.LEDGER_FULL: (0, 1),
    Kind.LEDGER_FAILS: (0, 1),
    Kind.LEDGER_LOSES: (0, 1),
    Kind.LEDGER_SPOILS: (0, 1),
    Kind.LEDGER_DOUBLES: (0, 1),
    Kind.NOTICES_DOUBLED: (0, 1),
    Kind.JUMP: (0, 10_000),
    Kind.RUDE: (0, 1_000 * RUDE_CALLER_KINDS),
    Kind.RESETS: (1, 10_000),
    Kind.SLOW_WIRE: (0, 10_000_000),
    Kind.CLOCK_STEP: (-1e8, 1e8),
    Kind.ISLANDS: (2, 230),
    Kind.FLAP: (0.01, 60),
    Kind.PEER_LOSS: (0, 1),
    Kind.KEY_COPY: (1, 1_000),
    Kind.SEND_AT_CLOSE: (1, 1_000),
}


def check(message: pb.Scenario, checked: Checked) -> None:
    if not message.name or not message.name.replace("-", "").isalnum():
        raise checked.refuse("name", "expected letters, digits and hyphens")
    for name, (least, most) in LIMITS.items():
        if message.HasField(name):
            given = getattr(message, name)
            checked.number(f"{name}.least", given.least, least, most)
            checked.number(f"{name}.most", given.most, given.least, most)
    for name in ("triggered", "cold", "referenced", "once_only"):
        checked.number(name, getattr(message, name), 0, 1, "a share")
    for number, quantum in enumerate(message.quantum_us):
        checked.number(f"quantum_us[{number}]", quantum, 1, 20_000, "a grid in microseconds")
    for number, kind in enumerate(message.kinds):
        if kind == pb.NONE:
            raise checked.refuse(f"kinds[{number}]", "expected a kind of fault")
        _check_peer_fault(message, kind, f"kinds[{number}]", checked)
    for number, fault in enumerate(message.fault):
        _check_fault(message, fault, f"fault[{number}]", checked)


def _check_peer_fault(message: pb.Scenario, kind: Any, path: str, checked: Checked) -> None:
    if Kind[pb.FaultKind.Name(kind)] in PEER_FAULTS and not message.peers:
        raise checked.refuse(path, "expected `peers: true` beside a fault among peers")


def _check_fault(message: pb.Scenario, fault: pb.Fault, path: str, checked: Checked) -> None:
    if fault.kind == pb.NONE:
        raise checked.refuse(f"{path}.kind", "expected a kind of fault")
    _check_peer_fault(message, fault.kind, f"{path}.kind", checked)
    kind = Kind[pb.FaultKind.Name(fault.kind)]
    seconds = message.seconds.most if message.HasField("seconds") else DEFAULTS.seconds[1]
    checked.number(f"{path}.at_ms", fault.at_ms, 0, seconds * 1_000)
    checked.number(f"{path}.lasts_ms", fault.lasts_ms, 0, 600_000)
    checked.number(f"{path}.lag_ms", fault.lag_ms, 0, 600_000)
    checked.number(f"{path}.apart_ms", fault.apart_ms, 0, seconds * 1_000)
    if kind in AMOUNTS:
        checked.number(f"{path}.amount", fault.amount, *AMOUNTS[kind])
    places = message.instances if kind in INSTANCE_FAULTS else message.callers
    if kind in INSTANCE_FAULTS and message.HasField("instances") and fault.target >= places.least:
        raise checked.refuse(f"{path}.target", f"expected an instance below {places.least:g}")
    if fault.count > 1 and kind not in (*INSTANCE_FAULTS, Kind.CALLER_RESTART):
        raise checked.refuse(f"{path}.count", f"{kind.value} has one place and can't come at several")
    least = places.least if message.HasField("instances" if kind in INSTANCE_FAULTS else "callers") else 1
    if fault.count > 1 and fault.target + fault.count > least:
        raise checked.refuse(f"{path}.count", f"expected targets below {least:g}, the fewest there may be")
    last = fault.at_ms + max(0, fault.count - 1) * fault.apart_ms
    checked.number(f"{path}.apart_ms", last, 0, seconds * 1_000, "the last one's time")
    far = (*CUT_ENDPOINTS, PEERS_ENDPOINT) if message.peers else CUT_ENDPOINTS
    if (fault.far or kind in (Kind.CUT, Kind.CUT_ONE_WAY)) and fault.far not in far:
        raise checked.refuse(f"{path}.far", f"expected one of {', '.join(far)}")
    if fault.trigger and fault.trigger not in TRIGGER_EVENTS:
        raise checked.refuse(f"{path}.trigger", f"expected one of {', '.join(TRIGGER_EVENTS)}")
    if fault.trigger and kind not in INSTANCE_FAULTS:
        raise checked.refuse(
            f"{path}.trigger", f"{kind.value} is at no instance and can't wait for its events"
        )


def ranges_of(message: pb.Scenario) -> Ranges:
    def within(name: str) -> Range:
        if not message.HasField(name):
            usual: Range = getattr(DEFAULTS, name)
            return usual
        given = getattr(message, name)
        return given.least, given.most

    return Ranges(
        name=message.name,
        **{name: within(name) for name in LIMITS},
        kinds=tuple(Kind[pb.FaultKind.Name(kind)] for kind in message.kinds) or DEFAULTS.kinds,
        scripted=tuple(each for fault in message.fault for each in faults_of(fault)),
        quanta=tuple(message.quantum_us) or DEFAULTS.quanta,
        ties=Ties(message.ties),
        triggered=message.triggered,
        cold=message.cold,
        referenced=message.referenced,
        once_only=message.once_only,
        peers=message.peers,
    )


def faults_of(fault: pb.Fault) -> Iterator[Fault]:
    """One fault for each of its targets."""
    for number in range(max(1, fault.count)):
        yield fault_of(fault, number)


def fault_of(fault: pb.Fault, number: int) -> Fault:
    return Fault(
        Kind[pb.FaultKind.Name(fault.kind)],
        int((fault.at_ms + number * fault.apart_ms) * MS),
        int(fault.lasts_ms * MS),
        fault.target + number,
        fault.amount,
        fault.far,
        fault.trigger,
        fault.nth or 1,
        int(fault.lag_ms * MS),
    )


@cache
def load_scenario(name: str) -> Ranges:
    """Loads a scenario of this package by name, or a file by path. Raises Unusable."""
    path = Path(name) if "/" in name or name.endswith(".txtpb") else FOLDER / f"{name}.txtpb"
    if not path.exists() and path.parent == FOLDER:
        raise Unusable(f"{name}: expected a scenario's name ({', '.join(names())}) or a file's path")
    return ranges_of(load(str(path), pb.Scenario(), check))


def names() -> list[str]:
    return sorted(path.stem for path in FOLDER.glob("*.txtpb"))
