"""Tests the simulator (event order, network, determinism) and its oracles, and runs the simulations of CI."""

import os
import random
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from itertools import combinations
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.protocol import ClientFactory, Protocol

from limeridge.sim import corpus, mutants, trace
from limeridge.sim.explore import Coverage, explore, run_plan, run_seed, shrink
from limeridge.sim.links import Links, NetworkConditions
from limeridge.sim.oracles import RULES, Oracles, RuleViolation
from limeridge.sim.plan import Fault, Kind, Plan, Product, Ranges, draw, from_json, to_json
from limeridge.sim.reactor import Closing, Network, Reactor
from limeridge.sim.scenario import load_scenario, names
from limeridge.sim.timeline import SECOND, START_TIME, Life, Ties, Timeline
from limeridge.sim.wires import (
    AnswerSent,
    CallSent,
    CommandSent,
    LateSenderClosed,
    LineClosing,
    LineOpened,
    NoticeReceived,
    ReplyReceived,
    RevokeReceived,
    TxnReceived,
    UnanswerableTxn,
)
from limeridge.sim.world import World

JOBS = os.cpu_count() or 1
FIXED_SEED_COUNT = 300  # of scenario "any", run by CI


# ---- the network and the order


class RecordingProtocol(Protocol):
    def __init__(self) -> None:
        self.received, self.close_reasons = b"", []

    def dataReceived(self, data: bytes) -> None:
        self.received += data

    def connectionLost(self, reason: Any = None) -> None:
        self.close_reasons.append(reason.type.__name__)


class RecordingFactory(ClientFactory):
    noisy = False

    def __init__(self) -> None:
        self.protocols: list[RecordingProtocol] = []
        self.failures: list[str] = []

    def buildProtocol(self, addr: Any) -> RecordingProtocol:
        self.protocols.append(RecordingProtocol())
        return self.protocols[-1]

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.failures.append(reason.type.__name__)


class ConnectedPair:
    """Two processes on a virtual network, `b` listening; collects exceptions in `faults`."""

    def __init__(self, seed: int = 1, quantum: int = 1, **conditions: Any) -> None:
        self.timeline = Timeline(random.Random(seed), quantum)
        self.links = Links(random.Random(seed + 1), NetworkConditions(**conditions))
        self.network = Network(self.timeline, self.links)
        self.faults: list[Any] = []
        self.a, self.b = (
            Reactor(self.network, Life(n, ip), self.faults.append)
            for n, ip in (("a", "127.0.0.1"), ("b", "127.0.0.2"))
        )
        self.client, self.server = RecordingFactory(), RecordingFactory()
        self.port = self.b.listenTCP(80, self.server)

    def advance(self, us: int) -> None:
        until = self.timeline.now + us
        while (event := self.timeline.step(until)) is not None:
            event.call(*event.args)

    def connect(self) -> tuple[RecordingProtocol, RecordingProtocol]:
        self.a.connectTCP("127.0.0.2", 80, self.client)
        self.advance(100_000)
        return self.client.protocols[-1], self.server.protocols[-1]


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(st.binary(min_size=1, max_size=3_000), max_size=12),
    st.integers(0, 1_000),
    st.sampled_from([64, 1_000, 65_536]),
    st.sampled_from([0.0, 0.5, 1.0]),
)
def test_bytes_arrive_completely_in_order_and_once(
    parts: list[bytes], seed: int, window: int, split: float
) -> None:
    pair = ConnectedPair(seed, window=window, split=split, most=3_000)
    client, server = pair.connect()
    for part in parts:
        client.transport.write(part)
        pair.advance(random.Random(seed).randrange(2_000))
    client.transport.loseConnection()
    pair.advance(60 * SECOND)
    assert server.received == b"".join(parts) and client.close_reasons == server.close_reasons == [
        "ConnectionDone"
    ]
    assert len(pair.a.sockets) == len(pair.b.sockets) == 0 and not pair.faults


def test_writer_is_paused_and_buffers_are_bounded_while_the_peer_does_not_read() -> None:
    pair = ConnectedPair(window=5_000)
    client, server = pair.connect()
    server.transport.pauseProducing()
    producer_calls: list[str] = []

    class Producer:
        def pauseProducing(self) -> None:
            producer_calls.append("pause")

        def resumeProducing(self) -> None:
            producer_calls.append("resume")

        def stopProducing(self) -> None:
            producer_calls.append("stop")

    client.transport.registerProducer(Producer(), True)
    client.transport.write(b"x" * 100_000)
    pair.advance(SECOND)
    assert producer_calls == ["pause"] and len(server.transport.inn.inbox) == 5_000
    server.transport.resumeProducing()
    pair.advance(10 * SECOND)
    assert producer_calls == ["pause", "resume"] and len(server.received) == 100_000


def test_connection_close_reasons_match_real_sockets() -> None:
    pair = ConnectedPair()
    client, server = pair.connect()
    client.transport.write(b"lost with it")
    client.transport.abortConnection()
    pair.advance(SECOND)
    assert (
        client.close_reasons == ["ConnectionAborted"]
        and server.close_reasons == ["ConnectionLost"]
        and server.received == b""
    )
    client, server = pair.connect()
    server.transport.pauseProducing()
    client.transport.write(b"never read")
    pair.advance(SECOND)
    server.transport.loseConnection()  # unread input causes a reset
    pair.advance(SECOND)
    assert client.close_reasons == ["ConnectionLost"] and server.close_reasons == ["ConnectionDone"]
    client, server = pair.connect()
    client.transport.loseWriteConnection()  # closes fully if the protocol does not support half-close
    pair.advance(SECOND)
    assert server.close_reasons == ["ConnectionDone"] and client.close_reasons == ["ConnectionDone"]
    client, server = pair.connect()
    pair.b.shut(in_order=False)
    pair.advance(SECOND)
    # a killed process gets no callback
    assert client.close_reasons == ["ConnectionLost"] and server.close_reasons == []
    pair.a.connectTCP("127.0.0.2", 80, pair.client)
    pair.advance(SECOND)
    assert pair.client.failures == ["ConnectionRefusedError"]


def test_cuts_delay_segments_and_a_full_backlog_or_a_pause_delays_connections() -> None:
    pair = ConnectedPair()
    client, server = pair.connect()
    pair.links.add_cut("127.0.0.1", "127.0.0.2", both=False)
    client.transport.write(b"held")
    server.transport.write(b"through")
    pair.advance(SECOND)
    assert server.received == b"" and client.received == b"through"
    pair.links.remove_cut("127.0.0.1", "127.0.0.2", both=False)
    pair.advance(SECOND)
    assert server.received == b"held"
    pair.b.life.paused, pair.links.conditions.backlog = True, 2
    for _ in range(6):
        pair.a.connectTCP("127.0.0.2", 80, pair.client, timeout=2)
    pair.advance(SECOND)
    # accepted by the machine, not by the paused process
    assert len(pair.client.protocols) == 1 + 3 and len(pair.server.protocols) == 1
    pair.advance(2 * SECOND)
    assert pair.client.failures == ["TimeoutError"] * 3
    pair.timeline.resume(pair.b.life)
    pair.advance(SECOND)
    assert len(pair.server.protocols) == 4


def test_datagrams_are_lost_duplicated_and_reordered() -> None:
    pair = ConnectedPair(lost=0.3, doubled=0.3, late=0.3)
    received: list[bytes] = []

    class DatagramProtocol:
        transport = None

        def makeConnection(self, transport: Any) -> None:
            self.transport = transport

        def datagramReceived(self, data: bytes, addr: Any) -> None:
            received.append(data)

    receiver, sender = DatagramProtocol(), DatagramProtocol()
    pair.b.listenUDP(9, receiver)
    pair.a.listenUDP(0, sender)
    for number in range(200):
        sender.transport.write(b"%d" % number, ("127.0.0.2", 9))  # type: ignore[attr-defined]
    pair.advance(SECOND)
    numbers = [int(data) for data in received]
    assert 100 < len(set(numbers)) < 200 < len(numbers) + 60 and len(numbers) > len(set(numbers))
    assert numbers != sorted(numbers)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(
    st.integers(0, 10_000),
    st.lists(st.integers(0, 20), min_size=2, max_size=30),
    st.sampled_from([1, 7, 100]),
)
def test_time_is_monotonic_and_rounded_to_the_quantum(seed: int, waits: list[int], quantum: int) -> None:
    def run_order(ties: Ties = Ties.DRAWN) -> list[tuple[int, int]]:
        timeline, seen = Timeline(random.Random(seed), quantum, ties), []
        for number, wait in enumerate(waits):
            timeline.schedule(START_TIME + wait, None, "x", seen.append, number, wire=number % 2 == 0)
        order = []
        while (event := timeline.step(START_TIME + 1_000)) is not None:
            event.call(*event.args)
            order.append((event.when, seen[-1]))
        return order

    order = run_order()
    assert order == run_order() and sorted(n for _, n in order) == list(range(len(waits)))
    assert [when for when, _ in order] == sorted(when for when, _ in order)
    assert all(when % quantum == 0 or when == START_TIME for when, _ in order)
    for ties, first in ((Ties.WIRE_FIRST, 0), (Ties.TIMERS_FIRST, 1)):
        later = [(when, n) for when, n in run_order(ties) if when > START_TIME]
        for (one, a), (two, b) in combinations(later, 2):
            assert one != two or a % 2 == b % 2 or a % 2 == first


def test_unsupported_reactor_methods_raise_errors_that_name_them() -> None:
    pair = ConnectedPair()
    with pytest.raises(NotImplementedError, match="no threads"):
        pair.a.callInThread(print)
    with pytest.raises(AttributeError, match="no addReader"):
        pair.a.addReader(None)
    with pytest.raises(AssertionError):
        pair.a.callLater(-1, print)


# ---- determinism


def test_digest_of_a_seed_is_the_same_in_any_process_and_batch() -> None:
    seeds = [11, 12, 13]
    in_process = {
        outcome.seed: outcome.digest for outcome in map(lambda s: run_seed("any", s), reversed(seeds))
    }
    batch = {outcome.seed: outcome.digest for outcome in explore("any", range(10, 14), min(JOBS, 2))}
    code = "from limeridge.sim.explore import run_seed; print(run_seed('any', 12).digest)"
    for hash_seed in ("0", "77"):
        done = subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
            capture_output=True,
            check=True,
            text=True,
        )
        assert done.stdout.strip() == in_process[12]
    assert {seed: batch[seed] for seed in seeds} == in_process


def test_plan_as_json_and_run_as_trace_can_be_read_back(tmp_path: Path) -> None:
    plan = draw(load_scenario("any"), 5)
    restored = from_json(to_json(plan))
    assert restored == plan and draw(load_scenario("any"), 5) == plan
    path = tmp_path / "5.trace"
    with trace.Writer(path, {"seed": 5}) as writer:
        outcome = run_plan(restored, writer.record)
    assert outcome.digest == run_plan(plan).digest  # recording a trace does not change the run
    entries = list(trace.read_entries(path))
    assert entries[-1].step == outcome.steps and trace.read_head(path)["seed"] == 5
    assert sum(entry.kind == "asked" for entry in entries) >= len(plan.asks) / 2
    assert path.stat().st_size * 4 < sum(len(str(entry)) for entry in entries)
    path.write_bytes(path.read_bytes()[:500])
    with pytest.raises(trace.InvalidTrace, match=r"5\.trace: expected a whole trace"):
        list(trace.read_entries(path))
    (tmp_path / "no").write_bytes(b"{}")
    with pytest.raises(trace.InvalidTrace, match="expected a whole trace"):
        trace.read_head(tmp_path / "no")


# ---- simulations run by CI


@pytest.mark.parametrize("name", [name for name in names() if name != "any"])
def test_named_scenarios_violate_no_rule(name: str) -> None:
    broken = [
        f"seed {outcome.seed}: {outcome.rule}: {outcome.what}"
        for outcome in explore(name, range(8), JOBS)
        if outcome.rule
    ]
    assert not broken, "\n".join(broken)


def test_calls_across_a_restart_stay_within_the_share() -> None:
    """Guards against a successor that ignores its predecessor's calls: the predecessor uses its full share
    until it is killed, the successor starts at once, and both together must stay within the share."""
    ranges = replace(
        load_scenario("restart-small-share"),
        instances=(1, 1),
        txns=(400, 600),
        op_ms=(20, 60),
        calls_out=(0.4, 0.95),
        expiry_ms=(500, 800),
        faults=(0, 0),
        scripted=(Fault(Kind.KILL, at=SECOND, lasts=0, amount=0.01),),
        quanta=(1,),
        cold=0.0,
        referenced=0.0,
        once_only=0.0,
    )
    outcomes = [run_plan(draw(ranges, seed)) for seed in (0, 4, 5, 7)]
    assert all(outcome.judged["call-limit-lives"] for outcome in outcomes)
    broken = [f"{outcome.seed}: {outcome.rule}: {outcome.what}" for outcome in outcomes if outcome.rule]
    assert not broken, "\n".join(broken)


def test_fixed_seeds_violate_no_rule_and_cover_faults_and_rules() -> None:
    coverage = Coverage()
    for outcome in explore("any", range(FIXED_SEED_COUNT), JOBS):
        coverage.add(outcome)
        assert not outcome.rule, f"limeridge sim replay {outcome.seed}: {outcome.rule}: {outcome.what}"
    # Peer faults occur only in scenarios with peers.
    peer_coverage = Coverage()
    for outcome in explore("peers", range(8), JOBS):
        peer_coverage.add(outcome)
        assert not outcome.rule, f"limeridge sim replay {outcome.seed}: {outcome.rule}: {outcome.what}"
    assert set(coverage.faults) | set(peer_coverage.faults) == {kind.value for kind in Kind}
    assert all(peer_coverage.checks_by_rule()[rule] >= 8 for rule in ("limit", "known", "in-use", "datagram"))
    assert coverage.least_instances >= 2 and coverage.txns / coverage.runs >= 130
    judged = coverage.checks_by_rule()
    for rule in (
        "one-answer",
        "due",
        "grace",
        "stop",
        "twice",
        "call-twice",
        "unsaid",
        "result",
        "call-limit",
        "memory",
        "crowd",
        "unchanged",
        "reply",
        "cursor",
        "left-out",
        "call-wait",
        "health",
        "heals",
    ):
        assert judged[rule] >= 20, rule
    assert coverage.states["settled"] > 0.4 * coverage.txns


def test_corpus_plans_violate_no_rule() -> None:
    cases = list(corpus.load_cases())
    assert cases
    for case in cases:
        outcome = run_plan(case.plan)
        assert not outcome.rule, f"{case.name}: {outcome.rule}: {outcome.what}"


# ---- oracles


QUICK_DEFECTS = (
    "cursor-kept",
    "advice-unit",
    "no-prior",
    "ran-as-declined",
    "call-repeated",
    "status-500",
    "other-result",
    "doc-trimmed",
    "cold-as-warm",
    "held-kept",
    "skip-any",
    "exact-frame",
)


@pytest.mark.parametrize("name", QUICK_DEFECTS)
def test_planted_defect_is_found(name: str) -> None:
    [mutant] = [mutant for mutant in mutants.MUTANTS if mutant.name == name]
    [row] = mutants.hunt([mutant], "any", most=25, starts=1, jobs=1)
    assert row.seeds[0] is not None, mutant.what


@pytest.mark.parametrize(
    "name", ["key-tenant-unchecked", "key-refused-to-owner", "close-whole", "dropped-runs"]
)
def test_planted_defect_is_found_with_bad_callers(name: str) -> None:
    [mutant] = [mutant for mutant in mutants.MUTANTS if mutant.name == name]
    [row] = mutants.hunt([mutant], "bad-callers", most=10, starts=1, jobs=1)
    assert row.seeds[0] is not None, mutant.what


def test_every_defect_can_still_be_planted() -> None:
    assert len({mutant.name for mutant in mutants.MUTANTS}) == len(mutants.MUTANTS) >= 40
    for mutant in mutants.MUTANTS:
        compile(mutants.changed(mutant), mutant.file, "exec")


def test_planting_a_defect_after_import_is_an_error() -> None:
    with pytest.raises(mutants.Misplaced, match="imported before"):
        mutants.seek(mutants.MUTANTS[0], "any", 0, 1)
    sys.meta_path.pop(0)


class OracleHarness:
    """Feeds events to the oracles of one instance, with a product of each kind."""

    def __init__(self) -> None:
        products = tuple(
            Product(name, kind, 500_000, 1_000_000, SECOND, 1.0, skip)
            for name, kind, skip in (
                ("look", "free", 0.5),
                ("book", "guarded", 0.0),
                ("pay", "single_shot", 0.0),
            )
        )
        plan = replace(draw(Ranges(), 3), products=products)
        plan = replace(
            plan, quantum=1, memory_kb=500.0, calls_out=2.0, calls_over=SECOND, grace=200_000, cores=1
        )
        self.now, self.recorded_events, self.is_paused = START_TIME, [], False
        self.oracles = Oracles(
            plan,
            START_TIME,
            lambda: 0,
            lambda: self.is_paused,
            lambda *event: self.recorded_events.append(event),
            Counter(),
            START_TIME,
            False,
        )
        self.cursor = 0
        self.feed(CommandSent(9, "OPEN", "", "", "", 0, ""))

    def feed(self, event: Any) -> None:
        self.oracles.turn += 1
        self.oracles.on_event(self.now, event)

    def advance(self, us: int) -> None:
        self.now += us
        self.oracles.on_time_advance(self.now)

    def send_request(self, number: int, product: str = "look", key: str = "", **more: Any) -> str:
        ref = f"{number:016x}"
        self.feed(
            TxnReceived(
                1,
                number,
                ref,
                product,
                more.get("customer", ""),
                key,
                self.now // 1_000,
                more.get("time_limit_ms", 1_000.0),
                more.get("size", 1.0),
                more.get("doc", "Ym9keQ=="),
            )
        )
        return ref

    def start_run(self, ref: str, product: str = "look", doc: str = "Ym9keQ==") -> None:
        self.feed(CommandSent(9, "SCHED", ref, product, doc, -1, ""))

    def send_notice(self, event: str, ref: str, fate: str = "", arg: str = "") -> int:
        self.cursor += 1
        self.feed(NoticeReceived(9, event, self.cursor, ref, fate, arg, ""))
        return self.cursor

    def send_answer(self, number: int, kind: str = "settled", doc: str = "") -> None:
        self.feed(AnswerSent(1, number, kind, doc, 0.0, False, None))

    def assert_violates(self, rule: str, *call: Any) -> None:
        function, *args = call
        with pytest.raises(RuleViolation) as violation:
            function(*args)
        assert violation.value.rule == rule and rule in RULES


def test_oracles_for_answers() -> None:
    harness = OracleHarness()
    ref = harness.send_request(1)
    harness.assert_violates("due", harness.advance, 1_100_000)
    harness = OracleHarness()
    harness.send_request(1)
    harness.is_paused = True
    harness.advance(1_500_000)  # no deadline is checked while the machine is paused
    harness.is_paused = False
    harness.oracles.on_resume(harness.now)
    harness.advance(50_000)
    harness.assert_violates("due", harness.advance, 100_000)
    harness = OracleHarness()
    ref = harness.send_request(1)
    harness.start_run(ref)
    harness.send_notice("REAP", ref, "ok", "cmVz")
    harness.assert_violates("kept-back", harness.send_answer, 1, "voided")
    harness = OracleHarness()
    ref = harness.send_request(1)
    harness.start_run(ref)
    harness.send_notice("REAP", ref, "ok", "cmVz")
    harness.assert_violates("result", harness.send_answer, 1, "settled", "b3RoZXI=")
    harness = OracleHarness()
    ref = harness.send_request(1)
    harness.start_run(ref)
    harness.send_notice("REAP", ref, "ok", "cmVz")
    harness.send_answer(1, "settled", "cmVz")
    harness.assert_violates("one-answer", harness.send_answer, 1, "declined")
    harness.assert_violates("one-answer", harness.send_answer, 2, "declined")
    ref = harness.send_request(3)
    harness.feed(RevokeReceived(1, 3, ref))
    harness.send_answer(3, "declined")  # one answer after a revoke is allowed
    harness.assert_violates("one-answer", harness.send_answer, 3, "declined")
    ref = harness.send_request(4, "pay")
    harness.start_run(ref, "pay")
    harness.assert_violates("unsaid", harness.send_answer, 4, "declined")
    harness.send_request(5)
    harness.assert_violates("stop", harness.oracles.on_process_exit, harness.now)


def test_oracles_for_runs_and_calls() -> None:
    harness = OracleHarness()
    ref = harness.send_request(1)
    harness.assert_violates("unchanged", harness.start_run, ref, "look", "b3RoZXI=")
    harness.assert_violates("form", harness.start_run, "f" * 16)
    harness = OracleHarness()
    one, two = harness.send_request(1, "book", "k"), harness.send_request(2, "book", "k")
    harness.start_run(one, "book")
    harness.advance(5 * SECOND // 10)
    harness.oracles.clock_stepped_at = -10 * SECOND
    harness.assert_violates("twice", harness.start_run, two, "book")
    harness = OracleHarness()
    ref = harness.send_request(1, "pay")
    harness.start_run(ref, "pay")
    harness.send_notice("IOREQ", ref, arg="Y2FsbA==")
    harness.assert_violates("unchanged", harness.feed, CallSent(5, ref, 100, b"other"))
    harness.feed(CallSent(5, ref, 100, b"call"))
    harness.feed(ReplyReceived(5, 500, False, b""))
    harness.assert_violates("call-twice", harness.feed, CallSent(6, ref, 100, b"call"))
    harness.assert_violates("reply", harness.feed, CommandSent(9, "IODONE", ref, "", "cmVwbHk=", -1, ""))
    harness = OracleHarness()
    ref = harness.send_request(1)
    harness.start_run(ref)
    cursor = harness.send_notice("IOREQ", ref, arg="Y2FsbA==")
    harness.assert_violates("left-out", harness.feed, CommandSent(9, "NOIO", ref, "", "", cursor + 1, ""))
    harness.feed(CallSent(5, ref, 100, b"call"))
    harness.feed(ReplyReceived(5, 200, False, b"reply"))
    harness.assert_violates("unchanged", harness.feed, CommandSent(9, "IODONE", ref, "", "b3RoZXI=", -1, ""))
    harness.assert_violates("call-kept", harness.feed, CommandSent(9, "NOIO", ref, "", "", cursor, ""))
    harness.assert_violates("cursor", harness.feed, CommandSent(10, "OPEN", "", "", "", cursor - 1, ""))


def test_oracles_for_keys() -> None:
    def with_stored_result() -> OracleHarness:
        """A harness with a keyed request that succeeded and whose result is stored."""
        harness = OracleHarness()
        harness.oracles.clock_stepped_at = -10 * SECOND
        owner = harness.send_request(1, "book", "k", customer="c0")
        harness.start_run(owner, "book")
        harness.send_notice("REAP", owner, "ok", "cmVz")
        harness.send_answer(1, "settled", "cmVz")
        harness.advance(100_000)
        return harness

    for changes in ({"customer": "c1"}, {"customer": "c0", "doc": "b3RoZXI="}):
        harness = with_stored_result()
        harness.send_request(2, "book", "k", **changes)
        harness.assert_violates("key-copied", harness.send_answer, 2, "settled", "cmVz")
        harness = with_stored_result()
        harness.send_request(2, "book", "k", **changes)
        harness.assert_violates("key-copied", harness.send_answer, 2, "declined")
        harness = with_stored_result()
        harness.send_request(2, "book", "k", **changes)
        harness.send_answer(2, "voided")
        harness.send_request(3, "book", "k", customer="c0")
        harness.send_answer(3, "settled", "cmVz")
        harness.send_request(4, "book", "k", customer="c0")
        harness.assert_violates("key-kept", harness.send_answer, 4, "voided")


def test_oracles_for_requests_sent_as_the_connection_closes() -> None:
    def with_idle_line() -> OracleHarness:
        """A harness with an idle line whose request was answered."""
        harness = OracleHarness()
        harness.feed(LineOpened(1))
        harness.send_request(1)
        harness.send_answer(1, "voided")
        return harness

    def late_sender(ref: str, answered: bool = False, reset: bool = False) -> LateSenderClosed:
        return LateSenderClosed(1, ref, silent=False, warned=True, answered=answered, reset=reset)

    harness, ref = with_idle_line(), "f" * 16
    harness.feed(LineClosing(1, Closing.HALF))
    harness.feed(UnanswerableTxn(1, ref))
    harness.feed(late_sender(ref))  # not answered, but the caller saw the end of the stream
    harness.assert_violates("crossed", harness.feed, late_sender(ref, reset=True))
    harness.assert_violates("crossed", harness.start_run, ref)
    harness = with_idle_line()
    ref = harness.send_request(2)
    harness.feed(LineClosing(1, Closing.HALF))
    harness.feed(late_sender(ref, answered=True))
    harness.assert_violates("crossed", harness.feed, late_sender(ref))  # read but not answered
    harness = with_idle_line()
    harness.feed(LineClosing(1, Closing.ABORT))  # although no room was needed
    harness.assert_violates("crossed", harness.feed, late_sender("f" * 16, reset=True))
    harness = with_idle_line()
    for line in range(2, 600):
        harness.feed(LineOpened(line))
    harness.feed(LineClosing(1, Closing.ABORT))
    harness.feed(late_sender("f" * 16, reset=True))  # idle after a farewell, and room was needed


def test_oracles_for_drain_overload_memory_and_call_limits() -> None:
    harness = OracleHarness()
    harness.oracles.clock_stepped_at = -10 * SECOND
    harness.oracles.on_drain_notice(harness.now)
    harness.advance(240_000)
    harness.start_run(harness.send_request(1))  # in flight when the grace period ended
    harness.advance(100_000)
    harness.assert_violates("grace", harness.start_run, harness.send_request(2))
    harness = OracleHarness()
    for number in range(1, 5):
        harness.start_run(harness.send_request(number))
    harness.assert_violates("crowd", harness.start_run, harness.send_request(5))
    harness = OracleHarness()
    harness.start_run(harness.send_request(1, size=60.0))
    harness.advance(30_000)
    harness.start_run(harness.send_request(2, size=2.0))
    harness.advance(30_000)
    harness.assert_violates("memory", harness.start_run, harness.send_request(3, size=60.0))
    harness = OracleHarness()
    for number in range(1, 4):
        ref = harness.send_request(number)
        harness.start_run(ref)
        harness.send_notice("IOREQ", ref, arg="Y2FsbA==")
        harness.feed(CallSent(number, ref, 2_000, b"call"))
    harness.advance(900_000)
    ref = harness.send_request(4)
    harness.start_run(ref)
    harness.send_notice("IOREQ", ref, arg="Y2FsbA==")
    harness.assert_violates("call-limit", harness.feed, CallSent(4, ref, 2_000, b"call"))
    # calls of the previous process
    for earlier in (
        (),
        [(START_TIME - SECOND, START_TIME)] * 2,
    ):
        harness = OracleHarness()
        harness.oracles.earlier_calls = tuple(earlier)
        for number in range(1, 5):
            ref = harness.send_request(number)
            harness.start_run(ref)
            harness.send_notice("IOREQ", ref, arg="Y2FsbA==")
            if number < 4:
                harness.feed(CallSent(number, ref, 2_000, b"call"))
        harness.advance(100_000)
        if earlier:
            harness.assert_violates("call-limit-lives", harness.feed, CallSent(4, ref, 2_000, b"call"))
        else:
            harness.feed(CallSent(4, ref, 2_000, b"call"))


# ---- reports and shrinking


def test_failing_seed_is_reported_and_shrinks(monkeypatch: pytest.MonkeyPatch) -> None:
    from limeridge.net.kernel import Kernel

    original = Kernel._handle_notice
    counts = {"notices": 0}

    def drop_every_ninth(self: Any, notice: Any) -> None:
        counts["notices"] += 1
        if notice.event is not None and notice.cursor % 9 == 8:
            self.cursor = notice.cursor
            return
        original(self, notice)

    monkeypatch.setattr(Kernel, "_handle_notice", drop_every_ninth)
    plan = draw(replace(load_scenario("any"), instances=(2, 2), txns=(60, 60), faults=(2, 4)), 4)
    outcome = run_plan(plan)
    assert outcome.rule and outcome.who and outcome.recent
    smaller, best, tries = shrink(plan, outcome, seconds=600, max_tries=60)
    assert best.rule == outcome.rule and best.steps <= outcome.steps / 2 and tries > 3
    assert smaller.size() < plan.size() and run_plan(from_json(to_json(smaller))).digest == best.digest


def test_scenarios_force_both_tie_orders() -> None:
    for name, ties in (("tie-wire-first", Ties.WIRE_FIRST), ("tie-timers-first", Ties.TIMERS_FIRST)):
        plan: Plan = draw(load_scenario(name), 1)
        assert plan.ties is ties and plan.quantum == 5_000
        world = World(plan)
        assert not world.run().rule


def test_stand_ins_serve_a_real_instance_over_loopback_sockets() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "limeridge.trial.day", "2", "40", "7"],
        capture_output=True,
        check=True,
        timeout=60,
    )
    report = orjson.loads(done.stdout)
    assert report["exit"] == 0 and report["exceptions"] == 0 and report["lines_broken"] == []
    assert report["txns"] == 80 and report["states"]["settled"] >= 40 and "open" not in report["states"]
    assert report["checks_good"] >= 1 and report["reports_strange"] == 0
