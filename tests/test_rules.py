"""Seeded random runs: the four rules hold after every step, under settings of every kind."""

import random

import pytest
from helpers import FacadeHost, Host
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from limeridge.interface import Outcome, Stage

OTHERS = [
    {"products__0__kind": "referenced", "products__0__window": 6_000_000},
    {"products__0__kind": "referenced", "instance__kb_per_key": 400.0},
    {"products__0__kind": "once-only", "instance__skip_values": [0.0]},
    {"instance__passes_expiry": False, "limits__advice": False, "instance__callers": 400, "group_size": 0},
    {"instance__preemption": "discard", "instance__say": "allowance"},
    {"instance__preemption": "freeze", "instance__say": "weight", "instance__cold": True},
    {"instance__say": "floor", "instance__calls_out": 0.4, "instance__skip_values": [0.0]},
    {"instance__calls_out": 1.0, "instance__memory_kb": 900.0, "customers__0__quota_per_s": 6.0},
    {"instance__calls_out": 0.0, "instance__cores": 1, "instance__callers": 0, "instance__idle": 2_000_000},
    {"products__0__kind": "referenced", "instance__preemption": "discard", "instance__cold": True},
]
CALL_ENDS = [Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET]


def step(host: Host, chance: random.Random) -> None:
    what = chance.random()
    if what < 0.45:
        key = f"ref-{chance.randrange(6)}" if host.settings["products.0.kind"] == "referenced" else ""
        waits = [0, 30_000, 400_000, 3_000_000] if host.settings["instance.passes_expiry"] else [0]
        host.read(key=key, patience=chance.choice(waits), size_kb=chance.uniform(5, 40),
                  age=chance.randrange(200_000), caller=chance.randrange(3), resent=chance.random() < 0.2)
    elif what < 0.65 and (running := host.at(Stage.RUNNING)):
        host.finish(chance.choice(running), chance.choice(CALL_ENDS[:3]))
    elif what < 0.8 and (running := host.at(Stage.RUNNING)):
        host.needs(chance.choice(running))
    elif what < 0.92 and (calling := host.at(Stage.CALLING)):
        host.call_ends(chance.choice(calling), chance.choice(CALL_ENDS))
    elif what < 0.94 and (around := host.at(Stage.HELD, Stage.PARKED, Stage.RUNNING)):
        host.go(chance.choice(around))
    elif what < 0.97:
        joined = [txn for txn in host.at(Stage.JOINED) if txn.prior and txn.prior.stage == Stage.OVER]
        for txn in joined[:1]:
            host.finish(txn, Outcome.OK if txn.prior and txn.prior.settled else Outcome.ERROR)


@pytest.mark.parametrize("kind", [Host, FacadeHost])
@pytest.mark.parametrize("changes", OTHERS, ids=lambda c: "-".join(str(v) for v in c.values()))
@settings(derandomize=True, max_examples=16, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 10**6), drain=st.sampled_from([0, 250_000, 1_500_000]))
def test_rules_hold_after_every_step(kind: type[Host], changes: dict[str, object], seed: int,
                                     drain: int) -> None:
    host, chance = kind(**changes), random.Random(seed)
    for number in range(260):
        if number == 200 and drain:
            host.left, stop = host.now, host.now + drain
            host.leave(drain)
        for _ in range(chance.randrange(4)):
            step(host, chance)
        for txn in host.at(Stage.PARKED, Stage.CALLING):
            if txn.answered:
                host.finish(txn, Outcome.CANCELLED)
        host.pull()
        host.pass_time(chance.choice([5_000, 20_000, 90_000]), chance.random(), chance.randrange(12))
        if host.left is not None and host.now >= stop - 100_000:
            assert all(host.over(txn) for txn in host.txns), "drain: unanswered at the stop"
            return


def test_same_events_same_decisions() -> None:
    def run() -> list[str]:
        host, chance = Host(instance__say="weight"), random.Random(3)
        for _ in range(200):
            step(host, chance)
            host.pull()
            host.pass_time(20_000, 1.0, 6)
        return [f"{d.verb}{d.txn.ref if d.txn else ''}{d.us}{d.level}" for d in host.seen]

    assert run() == run()
