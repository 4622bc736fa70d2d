"""Seeded random runs: the four rules hold after every step, under settings of every kind."""

import random
from collections import deque
from typing import Any

import pytest
from helpers import BrainHost, FacadeHost, FakeKernel, InstanceHarness
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from twisted.python.failure import Failure

from limeridge.interface import Outcome, Stage
from limeridge.records import Calls

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


def step(host: BrainHost, chance: random.Random) -> None:
    what = chance.random()
    if what < 0.45:
        key = f"ref-{chance.randrange(6)}" if host.settings["products.0.kind"] == "referenced" else ""
        waits = [0, 30_000, 400_000, 3_000_000] if host.settings["instance.passes_expiry"] else [0]
        host.read(
            key=key,
            patience=chance.choice(waits),
            size_kb=chance.uniform(5, 40),
            age=chance.randrange(200_000),
            caller=chance.randrange(3),
            resent=chance.random() < 0.2,
        )
    elif what < 0.65 and (running := host.in_stages(Stage.RUNNING)):
        host.finish(chance.choice(running), chance.choice(CALL_ENDS[:3]))
    elif what < 0.8 and (running := host.in_stages(Stage.RUNNING)):
        host.request_call(chance.choice(running))
    elif what < 0.92 and (calling := host.in_stages(Stage.CALLING)):
        host.call_ends(chance.choice(calling), chance.choice(CALL_ENDS))
    elif what < 0.94 and (around := host.in_stages(Stage.HELD, Stage.PARKED, Stage.RUNNING)):
        host.abandon(chance.choice(around))
    elif what < 0.97:
        joined = [txn for txn in host.in_stages(Stage.JOINED) if txn.prior and txn.prior.stage == Stage.OVER]
        for txn in joined[:1]:
            host.finish(txn, Outcome.OK if txn.prior and txn.prior.settled else Outcome.ERROR)


@pytest.mark.parametrize("kind", [BrainHost, FacadeHost])
@pytest.mark.parametrize("changes", OTHERS, ids=lambda c: "-".join(str(v) for v in c.values()))
@settings(derandomize=True, max_examples=16, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 10**6), drain=st.sampled_from([0, 250_000, 1_500_000]))
def test_rules_hold_after_every_step(
    kind: type[BrainHost], changes: dict[str, object], seed: int, drain: int
) -> None:
    host, chance = kind(**changes), random.Random(seed)
    for number in range(260):
        if number == 200 and drain:
            host.left_at, stop = host.now, host.now + drain
            host.leave(drain)
        for _ in range(chance.randrange(4)):
            step(host, chance)
        for txn in host.in_stages(Stage.PARKED, Stage.CALLING):
            if txn.answered:
                host.finish(txn, Outcome.CANCELLED)
        host.apply_decisions()
        host.pass_time(chance.choice([5_000, 20_000, 90_000]), chance.random(), chance.randrange(12))
        if host.left_at is not None and host.now >= stop - 100_000:
            assert all(host.over(txn) for txn in host.txns), "drain: unanswered at the stop"
            return


@settings(derandomize=True, max_examples=12, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 10**6))
def test_calls_in_hand_stay_within_a_share_that_changes(seed: int) -> None:
    host, chance, share, most = BrainHost(instance__cores=8), random.Random(seed), 0, 0
    for number in range(200):
        if number % 20 == 0:
            share = chance.choice((0, 1, 2, 3, 9)) if number else 9
            host.brain.share(host.now, share)
        before = set(host.calls)
        for _ in range(3):
            host.submit(patience=900_000)
        for txn in host.in_stages(Stage.RUNNING)[:4]:
            host.request_call(txn)
        host.apply_decisions()
        if set(host.calls) - before:
            assert len(host.calls) <= share
            most = max(most, len(host.calls))
        for txn in host.in_stages(Stage.CALLING):
            if chance.random() < 0.3:
                host.call_ends(txn, Outcome.OK)
                if txn.stage is Stage.RUNNING:
                    host.finish(txn)
        host.pass_time(10_000, 0.3, 1)
    assert most >= 2, "a share of several was never used"


class Fleet:
    """Seeded peers of one instance, over transports in memory; what they are owed is checked as time goes."""

    def __init__(self, seed: int) -> None:
        self.chance, self.net = random.Random(seed), InstanceHarness()
        self.kernel = FakeKernel(self.net)
        self.callers: list[Any] = []
        self.lines: list[Any] = []
        self.former: list[Any] = []
        self.number = 0
        self.owed: dict[tuple[int, int], tuple[str, float, str]] = {}  # by caller, id: ref, due, key
        self.keys: dict[str, tuple[str, float]] = {}  # by ref: key and landing
        self.ran: dict[str, list[float]] = {}
        self.checked = 0
        self.bidden: set[int] = set()  # callers that heard a farewell
        self.kernel.connect()
        self.settle()

    def settle(self) -> None:
        """All that was sent is read at the far ends, and answers are checked off."""
        self.kernel.read()
        while self.checked < len(self.kernel.started):
            key, landed = self.keys[self.kernel.started[self.checked]]
            assert not key or all(landed >= other + 2.0 for other in self.ran.get(key, [])), "duplicate"
            self.ran.setdefault(key, []).append(landed)
            self.checked += 1
        now = self.net.reactor.seconds()
        for caller in list(self.callers):
            for answer in self.net.answers(caller):
                self.bidden |= {id(caller)} if "method" in answer else set()
                if "method" in answer or answer["id"] is None:
                    continue
                ref, due, _ = self.owed.pop((id(caller), answer["id"]))
                assert now <= due + 0.11, "late"
                if "result" in answer:
                    # A repeat may carry the result of the run that it repeats, and no other.
                    assert answer["result"]["doc"].startswith("of") and (
                        answer["result"]["doc"] == f"of{ref}" or self.keys[ref][0] != ""
                    )
                self.kernel.over(ref)
            if id(caller) in self.bidden and not any(owner == id(caller) for owner, _ in self.owed):
                self.leave_caller(caller)
        assert all(now <= due + 0.11 for _, due, _ in self.owed.values()), "lost"
        assert not [
            line
            for line in self.net.log.lines
            if line["event"].endswith("-fault") and line["code"] not in ("unknown-handle",)
        ], self.net.log.lines

    def ask(self) -> None:
        caller, self.number = self.chance.choice(self.callers), self.number + 1
        if id(caller) in self.bidden:
            return
        wait = self.chance.choice([200, 1_500, 4_000])
        key = f"k{self.chance.randrange(4)}" if self.chance.random() < 0.3 else ""
        if sum(owner == id(caller) for owner, _ in self.owed) < 32:
            due = self.net.reactor.seconds() + wait / 1_000
            ref = self.net.ask(caller, self.number, "book" if key else "look", d=wait, k=key)
            self.owed[id(caller), self.number] = ref, due, key
            self.keys[ref] = key, due - wait / 1_000

    def step(self) -> None:
        what, chance, net = self.chance.random(), self.chance, self.net
        runs = [handle for handle, state in self.kernel.state.items() if state == "runs"]
        if not self.callers or what < 0.04:
            if len(self.callers) < 6 and not net.instance.leaving:
                self.callers.append(net.caller())
        elif what < 0.4:
            self.ask()
        elif what < 0.6 and runs:
            self.kernel.end(chance.choice(runs), chance.choice(["ok", "ok", "ok", "failed"]))
        elif what < 0.72 and runs:
            self.kernel.block(chance.choice(runs))
        elif what < 0.75 and (waits := [h for h, state in self.kernel.state.items() if state == "waits"]):
            self.kernel.end(chance.choice(waits), "halted")  # its caller's giving up is known there first
        elif what < 0.8:
            self.kernel.lose()
        elif what < 0.88:
            self.kernel.connect()
        elif what < 0.9:
            self.settle()  # or the answer would be on its way
            if not self.owed:
                return
            (owner, number), (ref, *_) = chance.choice(list(self.owed.items()))
            caller = next(c for c in self.callers if id(c) == owner)
            net.send(caller, jsonrpc="2.0", method="revoke", params={"i": ref})
            self.owed.pop((owner, number), None)
            self.kernel.over(ref)
        elif what < 0.92:
            self.settle()
            if self.callers:
                self.leave_caller(chance.choice(self.callers))
        elif what < 0.93 and self.callers:
            chance.choice(self.callers).dataReceived(b"Content-Length: 1\r\n\r\n{")
        self.ledger()

    def leave_caller(self, caller: Any) -> None:
        self.callers.remove(caller)
        self.former.append(caller)  # keeps its id from being used again
        gone = [self.owed.pop(each)[0] for each in list(self.owed) if each[0] == id(caller)]
        self.net.lose(caller, clean=self.chance.random() < 0.5)
        for ref in gone:
            self.kernel.over(ref)

    def ledger(self) -> None:
        net, chance = self.net, self.chance
        while any(client[0] == "127.0.1.2" for client in net.reactor.tcpClients):
            if chance.random() < 0.2:
                at = next(i for i, c in enumerate(net.reactor.tcpClients) if c[0] == "127.0.1.2")
                net.reactor.tcpClients.pop(at)[2].clientConnectionFailed(None, Failure(OSError()))
                break
            self.lines.append(net.connect("127.0.1.2"))
        for line in list(self.lines):
            if line.transport.disconnected:
                self.lines.remove(line)
                net.lose(line)
            elif not line.connection.call.over and chance.random() < 0.5:
                how = chance.random()
                if how < 0.1:
                    self.lines.remove(line)
                    net.lose(line, clean=False)
                elif how < 0.2:
                    line.dataReceived(b"nonsense")
                else:
                    status = chance.choice([b"200 OK", b"200 OK", b"500 No", b"503 No\r\nOp-Not-Begun: 1"])
                    line.dataReceived(b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n\r\nok")


@settings(derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 10**6))
def test_peers_and_links_of_every_kind_cost_no_txn_its_one_answer(seed: int) -> None:
    fleet = Fleet(seed)
    net, chance = fleet.net, fleet.chance
    for number in range(250):
        if number == 200:
            net.instance.leave()
        fleet.step()
        fleet.settle()
        net.pass_time(chance.choice([0.002, 0.02, 0.06]), 0.002)
        fleet.settle()
    for _ in range(100):
        fleet.kernel.connect()
        fleet.ledger()
        for handle in [handle for handle, state in fleet.kernel.state.items() if state == "runs"]:
            fleet.kernel.end(handle, "ok")
        net.pass_time(0.02)
        fleet.settle()
    assert not net.instance.jobs and not net.instance.facade.open and net.instance.callers.held == 0
    assert not fleet.owed and len(fleet.kernel.started) == len(set(fleet.kernel.started))


def test_same_events_same_decisions() -> None:
    def run() -> list[str]:
        host, chance = BrainHost(instance__say="weight"), random.Random(3)
        for _ in range(200):
            step(host, chance)
            host.apply_decisions()
            host.pass_time(20_000, 1.0, 6)
        return [f"{d.verb}{d.txn.ref if d.txn else ''}{d.us}{d.level}" for d in host.seen]

    assert run() == run()


class Unwalked(deque[tuple[int, int]]):
    """Fails whoever looks at all that a window holds."""

    def __iter__(self) -> Any:
        raise AssertionError("walked")


@settings(derandomize=True, max_examples=50, deadline=None)
@given(seed=st.integers(0, 10**6))
def test_calls_of_a_window_are_counted_right_and_without_a_walk(seed: int) -> None:
    chance, calls, now = random.Random(seed), Calls(1_000, 100), 0
    calls.over = Unwalked()
    ended: list[int] = []
    for ref in range(200):
        now += chance.randrange(30)
        calls.begin(ref, now, 500)
        if ref % 3 and (out := list(calls.out)):
            left = chance.random() < 0.3
            calls.end(chance.choice(out), now, left)
            ended.append(now + 100 * left)
        assert calls.through(now) == sum(now - 1_000 < end <= now for end in ended)
        assert calls.in_hand(now) == len(calls.out) + sum(end > now for end in ended)
    assert len(calls.over) + len(calls.lingering) < 150
