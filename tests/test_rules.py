"""Randomised runs with fixed seeds: the four rules hold after every step, under many kinds of settings."""

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

SETTINGS_VARIANTS = [
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
CALL_OUTCOMES = [Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET]


def step(host: BrainHost, rng: random.Random) -> None:
    draw = rng.random()
    if draw < 0.45:
        key = f"ref-{rng.randrange(6)}" if host.settings["products.0.kind"] == "referenced" else ""
        waits = [0, 30_000, 400_000, 3_000_000] if host.settings["instance.passes_expiry"] else [0]
        host.read(
            key=key,
            max_wait=rng.choice(waits),
            size_kb=rng.uniform(5, 40),
            age=rng.randrange(200_000),
            caller=rng.randrange(3),
            resent=rng.random() < 0.2,
        )
    elif draw < 0.65 and (running := host.in_stages(Stage.RUNNING)):
        host.finish(rng.choice(running), rng.choice(CALL_OUTCOMES[:3]))
    elif draw < 0.8 and (running := host.in_stages(Stage.RUNNING)):
        host.request_call(rng.choice(running))
    elif draw < 0.92 and (calling := host.in_stages(Stage.CALLING)):
        host.call_ends(rng.choice(calling), rng.choice(CALL_OUTCOMES))
    elif draw < 0.94 and (active := host.in_stages(Stage.HELD, Stage.PARKED, Stage.RUNNING)):
        host.abandon(rng.choice(active))
    elif draw < 0.97:
        joined = [txn for txn in host.in_stages(Stage.JOINED) if txn.prior and txn.prior.stage == Stage.OVER]
        for txn in joined[:1]:
            host.finish(txn, Outcome.OK if txn.prior and txn.prior.settled else Outcome.ERROR)


@pytest.mark.parametrize("kind", [BrainHost, FacadeHost])
@pytest.mark.parametrize("changes", SETTINGS_VARIANTS, ids=lambda c: "-".join(str(v) for v in c.values()))
@settings(derandomize=True, max_examples=16, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 10**6), drain=st.sampled_from([0, 250_000, 1_500_000]))
def test_rules_hold_after_every_step(
    kind: type[BrainHost], changes: dict[str, object], seed: int, drain: int
) -> None:
    host, rng = kind(**changes), random.Random(seed)
    for number in range(260):
        if number == 200 and drain:
            host.left_at, stop = host.now, host.now + drain
            host.leave(drain)
        for _ in range(rng.randrange(4)):
            step(host, rng)
        for txn in host.in_stages(Stage.PARKED, Stage.CALLING):
            if txn.answered:
                host.finish(txn, Outcome.CANCELLED)
        host.apply_decisions()
        host.pass_time(rng.choice([5_000, 20_000, 90_000]), rng.random(), rng.randrange(12))
        if host.left_at is not None and host.now >= stop - 100_000:
            assert all(host.over(txn) for txn in host.txns), "drain: unanswered at the stop"
            return


@settings(derandomize=True, max_examples=12, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 10**6))
def test_calls_in_flight_stay_within_a_changing_share(seed: int) -> None:
    host, rng, share, highest = BrainHost(instance__cores=8), random.Random(seed), 0, 0
    for number in range(200):
        if number % 20 == 0:
            share = rng.choice((0, 1, 2, 3, 9)) if number else 9
            host.brain.set_call_share(host.now, share)
        before = set(host.calls)
        for _ in range(3):
            host.submit(max_wait=900_000)
        for txn in host.in_stages(Stage.RUNNING)[:4]:
            host.request_call(txn)
        host.apply_decisions()
        if set(host.calls) - before:
            assert len(host.calls) <= share
            highest = max(highest, len(host.calls))
        for txn in host.in_stages(Stage.CALLING):
            if rng.random() < 0.3:
                host.call_ends(txn, Outcome.OK)
                if txn.stage is Stage.RUNNING:
                    host.finish(txn)
        host.pass_time(10_000, 0.3, 1)
    assert highest >= 2, "a share of several was never used"


class Fleet:
    """Random callers, a kernel and ledger connections of one instance, over transports in memory. It checks
    over time that every request gets its one answer before it is due."""

    def __init__(self, seed: int) -> None:
        self.rng, self.net = random.Random(seed), InstanceHarness()
        self.kernel = FakeKernel(self.net)
        self.callers: list[Any] = []
        self.ledger_connections: list[Any] = []
        self.closed_callers: list[Any] = []
        self.number = 0
        # By caller and request id: ref, due, key.
        self.unanswered: dict[tuple[int, int], tuple[str, float, str]] = {}
        self.keys: dict[str, tuple[str, float]] = {}  # by ref: key and time of arrival
        self.ran: dict[str, list[float]] = {}
        self.runs_checked = 0
        self.asked_to_close: set[int] = set()  # callers that were asked to close their connection
        self.kernel.connect()
        self.settle()

    def settle(self) -> None:
        """Reads all that was sent to the far ends and checks it, answers included."""
        self.kernel.read()
        while self.runs_checked < len(self.kernel.started):
            key, arrived = self.keys[self.kernel.started[self.runs_checked]]
            assert not key or all(arrived >= other + 2.0 for other in self.ran.get(key, [])), "duplicate"
            self.ran.setdefault(key, []).append(arrived)
            self.runs_checked += 1
        now = self.net.reactor.seconds()
        for caller in list(self.callers):
            for answer in self.net.answers(caller):
                self.asked_to_close |= {id(caller)} if "method" in answer else set()
                if "method" in answer or answer["id"] is None:
                    continue
                ref, due, _ = self.unanswered.pop((id(caller), answer["id"]))
                assert now <= due + 0.11, "late"
                if "result" in answer:
                    # A repeat may carry the result of the run that it repeats, but no other.
                    assert answer["result"]["doc"].startswith("of") and (
                        answer["result"]["doc"] == f"of{ref}" or self.keys[ref][0] != ""
                    )
                self.kernel.over(ref)
            if id(caller) in self.asked_to_close and not any(
                owner == id(caller) for owner, _ in self.unanswered
            ):
                self.close_caller(caller)
        assert all(now <= due + 0.11 for _, due, _ in self.unanswered.values()), "lost"
        assert not [
            line
            for line in self.net.log.lines
            if line["event"].endswith("-fault") and line["code"] not in ("unknown-handle",)
        ], self.net.log.lines

    def send_request(self) -> None:
        caller, self.number = self.rng.choice(self.callers), self.number + 1
        if id(caller) in self.asked_to_close:
            return
        wait = self.rng.choice([200, 1_500, 4_000])
        key = f"k{self.rng.randrange(4)}" if self.rng.random() < 0.3 else ""
        if sum(owner == id(caller) for owner, _ in self.unanswered) < 32:
            due = self.net.reactor.seconds() + wait / 1_000
            ref = self.net.ask(caller, self.number, "book" if key else "look", d=wait, k=key)
            self.unanswered[id(caller), self.number] = ref, due, key
            self.keys[ref] = key, due - wait / 1_000

    def step(self) -> None:
        draw, rng, net = self.rng.random(), self.rng, self.net
        runs = [handle for handle, state in self.kernel.state.items() if state == "runs"]
        if not self.callers or draw < 0.04:
            if len(self.callers) < 6 and not net.instance.draining:
                self.callers.append(net.caller())
        elif draw < 0.4:
            self.send_request()
        elif draw < 0.6 and runs:
            self.kernel.end(rng.choice(runs), rng.choice(["ok", "ok", "ok", "failed"]))
        elif draw < 0.72 and runs:
            self.kernel.block(rng.choice(runs))
        elif draw < 0.75 and (waits := [h for h, state in self.kernel.state.items() if state == "waits"]):
            self.kernel.end(rng.choice(waits), "halted")  # the kernel learns first that its caller gave up
        elif draw < 0.8:
            self.kernel.lose()
        elif draw < 0.88:
            self.kernel.connect()
        elif draw < 0.9:
            self.settle()  # otherwise the answer could already be on its way
            if not self.unanswered:
                return
            (owner, number), (ref, *_) = rng.choice(list(self.unanswered.items()))
            caller = next(c for c in self.callers if id(c) == owner)
            net.send(caller, jsonrpc="2.0", method="revoke", params={"i": ref})
            self.unanswered.pop((owner, number), None)
            self.kernel.over(ref)
        elif draw < 0.92:
            self.settle()
            if self.callers:
                self.close_caller(rng.choice(self.callers))
        elif draw < 0.93 and self.callers:
            rng.choice(self.callers).dataReceived(b"Content-Length: 1\r\n\r\n{")
        self.step_ledger()

    def close_caller(self, caller: Any) -> None:
        self.callers.remove(caller)
        self.closed_callers.append(caller)  # so that its id() is not reused
        abandoned = [self.unanswered.pop(each)[0] for each in list(self.unanswered) if each[0] == id(caller)]
        self.net.lose(caller, clean=self.rng.random() < 0.5)
        for ref in abandoned:
            self.kernel.over(ref)

    def step_ledger(self) -> None:
        net, rng = self.net, self.rng
        while any(client[0] == "127.0.1.2" for client in net.reactor.tcpClients):
            if rng.random() < 0.2:
                index = next(i for i, c in enumerate(net.reactor.tcpClients) if c[0] == "127.0.1.2")
                net.reactor.tcpClients.pop(index)[2].clientConnectionFailed(None, Failure(OSError()))
                break
            self.ledger_connections.append(net.connect("127.0.1.2"))
        for connection in list(self.ledger_connections):
            if connection.transport.disconnected:
                self.ledger_connections.remove(connection)
                net.lose(connection)
            elif not connection.connection.call.over and rng.random() < 0.5:
                draw = rng.random()
                if draw < 0.1:
                    self.ledger_connections.remove(connection)
                    net.lose(connection, clean=False)
                elif draw < 0.2:
                    connection.dataReceived(b"nonsense")
                else:
                    status = rng.choice([b"200 OK", b"200 OK", b"500 No", b"503 No\r\nOp-Not-Begun: 1"])
                    connection.dataReceived(b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n\r\nok")


@settings(derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 10**6))
def test_every_txn_gets_one_answer_whatever_callers_kernel_and_ledger_do(seed: int) -> None:
    fleet = Fleet(seed)
    net, rng = fleet.net, fleet.rng
    for number in range(250):
        if number == 200:
            net.instance.start_drain()
        fleet.step()
        fleet.settle()
        net.pass_time(rng.choice([0.002, 0.02, 0.06]), 0.002)
        fleet.settle()
    for _ in range(100):
        fleet.kernel.connect()
        fleet.step_ledger()
        for handle in [handle for handle, state in fleet.kernel.state.items() if state == "runs"]:
            fleet.kernel.end(handle, "ok")
        net.pass_time(0.02)
        fleet.settle()
    assert not net.instance.jobs and not net.instance.facade.open and net.instance.callers.held_bytes == 0
    assert not fleet.unanswered and len(fleet.kernel.started) == len(set(fleet.kernel.started))


def test_the_same_events_give_the_same_decisions() -> None:
    def run() -> list[str]:
        host, rng = BrainHost(instance__say="weight"), random.Random(3)
        for _ in range(200):
            step(host, rng)
            host.apply_decisions()
            host.pass_time(20_000, 1.0, 6)
        return [f"{d.verb}{d.txn.ref if d.txn else ''}{d.us}{d.level}" for d in host.seen]

    assert run() == run()


class NotIterable(deque[tuple[int, int]]):
    """A deque that raises when it is iterated."""

    def __iter__(self) -> Any:
        raise AssertionError("walked")


@settings(derandomize=True, max_examples=50, deadline=None)
@given(seed=st.integers(0, 10**6))
def test_calls_of_a_window_are_counted_correctly_without_iterating_over_them(seed: int) -> None:
    rng, calls, now = random.Random(seed), Calls(1_000, 100), 0
    calls.finished = NotIterable()
    ended: list[int] = []
    for ref in range(200):
        now += rng.randrange(30)
        calls.begin(ref, now, 500)
        if ref % 3 and (pending := list(calls.pending)):
            abandoned = rng.random() < 0.3
            calls.end(rng.choice(pending), now, abandoned)
            ended.append(now + 100 * abandoned)
        assert calls.completed(now) == sum(now - 1_000 < end <= now for end in ended)
        assert calls.in_flight(now) == len(calls.pending) + sum(end > now for end in ended)
    assert len(calls.finished) + len(calls.lingering) < 150
