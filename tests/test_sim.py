"""The simulator: that it is one (order, network, determinism), that its oracles judge, and what CI plays of
it."""

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
FIXED = 300  # seeds that CI plays


# ---- the network and the order


class Talk(Protocol):
    def __init__(self) -> None:
        self.got, self.ends = b"", []

    def dataReceived(self, data: bytes) -> None:
        self.got += data

    def connectionLost(self, reason: Any = None) -> None:
        self.ends.append(reason.type.__name__)


class Side(ClientFactory):
    noisy = False

    def __init__(self) -> None:
        self.talks: list[Talk] = []
        self.failures: list[str] = []

    def buildProtocol(self, addr: Any) -> Talk:
        self.talks.append(Talk())
        return self.talks[-1]

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.failures.append(reason.type.__name__)


class Pair:
    """Two processes, `b` listening; faults of their code are raised."""

    def __init__(self, seed: int = 1, quantum: int = 1, **conditions: Any) -> None:
        self.timeline = Timeline(random.Random(seed), quantum)
        self.links = Links(random.Random(seed + 1), NetworkConditions(**conditions))
        self.network = Network(self.timeline, self.links)
        self.faults: list[Any] = []
        self.a, self.b = (
            Reactor(self.network, Life(n, ip), self.faults.append)
            for n, ip in (("a", "127.0.0.1"), ("b", "127.0.0.2"))
        )
        self.near, self.far = Side(), Side()
        self.port = self.b.listenTCP(80, self.far)

    def go(self, us: int) -> None:
        until = self.timeline.now + us
        while (event := self.timeline.step(until)) is not None:
            event.call(*event.args)

    def connect(self) -> tuple[Talk, Talk]:
        self.a.connectTCP("127.0.0.2", 80, self.near)
        self.go(100_000)
        return self.near.talks[-1], self.far.talks[-1]


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(st.binary(min_size=1, max_size=3_000), max_size=12),
    st.integers(0, 1_000),
    st.sampled_from([64, 1_000, 65_536]),
    st.sampled_from([0.0, 0.5, 1.0]),
)
def test_bytes_arrive_whole_in_order_and_once(
    parts: list[bytes], seed: int, window: int, split: float
) -> None:
    pair = Pair(seed, window=window, split=split, most=3_000)
    near, far = pair.connect()
    for part in parts:
        near.transport.write(part)
        pair.go(random.Random(seed).randrange(2_000))
    near.transport.loseConnection()
    pair.go(60 * SECOND)
    assert far.got == b"".join(parts) and near.ends == far.ends == ["ConnectionDone"]
    assert len(pair.a.sockets) == len(pair.b.sockets) == 0 and not pair.faults


def test_a_writer_whose_peer_does_not_read_is_told_to_pause_and_buffers_are_bounded() -> None:
    pair = Pair(window=5_000)
    near, far = pair.connect()
    far.transport.pauseProducing()
    told: list[str] = []

    class Producer:
        def pauseProducing(self) -> None:
            told.append("pause")

        def resumeProducing(self) -> None:
            told.append("resume")

        def stopProducing(self) -> None:
            told.append("stop")

    near.transport.registerProducer(Producer(), True)
    near.transport.write(b"x" * 100_000)
    pair.go(SECOND)
    assert told == ["pause"] and len(far.transport.inn.inbox) == 5_000
    far.transport.resumeProducing()
    pair.go(10 * SECOND)
    assert told == ["pause", "resume"] and len(far.got) == 100_000


def test_ends_of_connections_as_the_real_ones_tell_them() -> None:
    pair = Pair()
    near, far = pair.connect()
    near.transport.write(b"lost with it")
    near.transport.abortConnection()
    pair.go(SECOND)
    assert near.ends == ["ConnectionAborted"] and far.ends == ["ConnectionLost"] and far.got == b""
    near, far = pair.connect()
    far.transport.pauseProducing()
    near.transport.write(b"never read")
    pair.go(SECOND)
    far.transport.loseConnection()  # with unread input: a reset
    pair.go(SECOND)
    assert near.ends == ["ConnectionLost"] and far.ends == ["ConnectionDone"]
    near, far = pair.connect()
    near.transport.loseWriteConnection()  # half a close is an end for a protocol that knows no halves
    pair.go(SECOND)
    assert far.ends == ["ConnectionDone"] and near.ends == ["ConnectionDone"]
    near, far = pair.connect()
    pair.b.shut(in_order=False)
    pair.go(SECOND)
    assert near.ends == ["ConnectionLost"] and far.ends == []  # a killed process hears nothing
    pair.a.connectTCP("127.0.0.2", 80, pair.near)
    pair.go(SECOND)
    assert pair.near.failures == ["ConnectionRefusedError"]


def test_cut_ways_hold_segments_back_and_a_full_backlog_or_a_pause_keeps_newcomers_waiting() -> None:
    pair = Pair()
    near, far = pair.connect()
    pair.links.add_cut("127.0.0.1", "127.0.0.2", both=False)
    near.transport.write(b"held")
    far.transport.write(b"through")
    pair.go(SECOND)
    assert far.got == b"" and near.got == b"through"
    pair.links.remove_cut("127.0.0.1", "127.0.0.2", both=False)
    pair.go(SECOND)
    assert far.got == b"held"
    pair.b.life.paused, pair.links.conditions.backlog = True, 2
    for _ in range(6):
        pair.a.connectTCP("127.0.0.2", 80, pair.near, timeout=2)
    pair.go(SECOND)
    assert len(pair.near.talks) == 1 + 3 and len(pair.far.talks) == 1  # accepted by its machine, and silent
    pair.go(2 * SECOND)
    assert pair.near.failures == ["TimeoutError"] * 3
    pair.timeline.resume(pair.b.life)
    pair.go(SECOND)
    assert len(pair.far.talks) == 4


def test_datagrams_are_lost_doubled_and_late() -> None:
    pair = Pair(lost=0.3, doubled=0.3, late=0.3)
    heard: list[bytes] = []

    class Ear:
        transport = None

        def makeConnection(self, transport: Any) -> None:
            self.transport = transport

        def datagramReceived(self, data: bytes, addr: Any) -> None:
            heard.append(data)

    ear, mouth = Ear(), Ear()
    pair.b.listenUDP(9, ear)
    pair.a.listenUDP(0, mouth)
    for number in range(200):
        mouth.transport.write(b"%d" % number, ("127.0.0.2", 9))  # type: ignore[attr-defined]
    pair.go(SECOND)
    numbers = [int(data) for data in heard]
    assert 100 < len(set(numbers)) < 200 < len(numbers) + 60 and len(numbers) > len(set(numbers))
    assert numbers != sorted(numbers)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(
    st.integers(0, 10_000),
    st.lists(st.integers(0, 20), min_size=2, max_size=30),
    st.sampled_from([1, 7, 100]),
)
def test_time_never_goes_back_and_a_grid_makes_ticks_meet(seed: int, waits: list[int], quantum: int) -> None:
    def play(ties: Ties = Ties.DRAWN) -> list[tuple[int, int]]:
        timeline, seen = Timeline(random.Random(seed), quantum, ties), []
        for number, wait in enumerate(waits):
            timeline.schedule(START_TIME + wait, None, "x", seen.append, number, wire=number % 2 == 0)
        order = []
        while (event := timeline.step(START_TIME + 1_000)) is not None:
            event.call(*event.args)
            order.append((event.when, seen[-1]))
        return order

    order = play()
    assert order == play() and sorted(n for _, n in order) == list(range(len(waits)))
    assert [when for when, _ in order] == sorted(when for when, _ in order)
    assert all(when % quantum == 0 or when == START_TIME for when, _ in order)
    for ties, first in ((Ties.WIRE_FIRST, 0), (Ties.TIMERS_FIRST, 1)):
        later = [(when, n) for when, n in play(ties) if when > START_TIME]
        for (one, a), (two, b) in combinations(later, 2):
            assert one != two or a % 2 == b % 2 or a % 2 == first


def test_what_the_virtual_reactor_lacks_is_refused_by_its_name() -> None:
    pair = Pair()
    with pytest.raises(NotImplementedError, match="no threads"):
        pair.a.callInThread(print)
    with pytest.raises(AttributeError, match="no addReader"):
        pair.a.addReader(None)
    with pytest.raises(AssertionError):
        pair.a.callLater(-1, print)


# ---- determinism


def test_a_seed_is_the_same_in_any_process_and_in_the_middle_of_a_batch() -> None:
    seeds = [11, 12, 13]
    here = {outcome.seed: outcome.digest for outcome in map(lambda s: run_seed("any", s), reversed(seeds))}
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
        assert done.stdout.strip() == here[12]
    assert {seed: batch[seed] for seed in seeds} == here


def test_a_plan_is_kept_as_text_and_its_run_as_a_trace(tmp_path: Path) -> None:
    plan = draw(load_scenario("any"), 5)
    again = from_json(to_json(plan))
    assert again == plan and draw(load_scenario("any"), 5) == plan
    path = tmp_path / "5.trace"
    with trace.Writer(path, {"seed": 5}) as writer:
        outcome = run_plan(again, writer.record)
    assert outcome.digest == run_plan(plan).digest  # listening changes nothing
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


# ---- what CI plays


@pytest.mark.parametrize("name", [name for name in names() if name != "any"])
def test_named_scenarios_hold(name: str) -> None:
    broken = [
        f"seed {outcome.seed}: {outcome.rule}: {outcome.what}"
        for outcome in explore(name, range(8), JOBS)
        if outcome.rule
    ]
    assert not broken, "\n".join(broken)


def test_the_calls_of_two_lives_stay_within_one_share() -> None:
    """A share used in full up to the kill, and a successor at once: whatever the life before has used of the
    window, it may have used last."""
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


def test_fixed_seeds_hold_and_meet_what_they_are_for() -> None:
    coverage = Coverage()
    for outcome in explore("any", range(FIXED), JOBS):
        coverage.add(outcome)
        assert not outcome.rule, f"limeridge sim replay {outcome.seed}: {outcome.rule}: {outcome.what}"
    # Faults among peers come where instances know each other.
    fleets = Coverage()
    for outcome in explore("peers", range(8), JOBS):
        fleets.add(outcome)
        assert not outcome.rule, f"limeridge sim replay {outcome.seed}: {outcome.rule}: {outcome.what}"
    assert set(coverage.faults) | set(fleets.faults) == {kind.value for kind in Kind}
    assert all(fleets.checks_by_rule()[rule] >= 8 for rule in ("limit", "known", "in-use", "datagram"))
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


def test_the_corpus_holds() -> None:
    cases = list(corpus.load_cases())
    assert cases
    for case in cases:
        outcome = run_plan(case.plan)
        assert not outcome.rule, f"{case.name}: {outcome.rule}: {outcome.what}"


# ---- the oracles judge


QUICK = (
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


@pytest.mark.parametrize("name", QUICK)
def test_a_defect_put_in_is_found(name: str) -> None:
    [mutant] = [mutant for mutant in mutants.MUTANTS if mutant.name == name]
    [row] = mutants.hunt([mutant], "any", most=25, starts=1, jobs=1)
    assert row.seeds[0] is not None, mutant.what


@pytest.mark.parametrize(
    "name", ["key-tenant-unchecked", "key-refused-to-owner", "close-whole", "dropped-runs"]
)
def test_a_defect_that_bad_callers_meet_is_found(name: str) -> None:
    [mutant] = [mutant for mutant in mutants.MUTANTS if mutant.name == name]
    [row] = mutants.hunt([mutant], "bad-callers", most=10, starts=1, jobs=1)
    assert row.seeds[0] is not None, mutant.what


def test_every_defect_still_has_its_place() -> None:
    assert len({mutant.name for mutant in mutants.MUTANTS}) == len(mutants.MUTANTS) >= 40
    for mutant in mutants.MUTANTS:
        compile(mutants.changed(mutant), mutant.file, "exec")


def test_a_defect_that_came_too_late_is_no_defect_not_found() -> None:
    with pytest.raises(mutants.Misplaced, match="imported before"):
        mutants.seek(mutants.MUTANTS[0], "any", 0, 1)
    sys.meta_path.pop(0)


class Book:
    """Oracles fed by hand: one instance, a product of each kind."""

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
        self.now, self.notes, self.is_paused = START_TIME, [], False
        self.oracles = Oracles(
            plan,
            START_TIME,
            lambda: 0,
            lambda: self.is_paused,
            lambda *note: self.notes.append(note),
            Counter(),
            START_TIME,
            False,
        )
        self.cursor = 0
        self.see(CommandSent(9, "OPEN", "", "", "", 0, ""))

    def see(self, event: Any) -> None:
        self.oracles.turn += 1
        self.oracles.on_event(self.now, event)

    def go(self, us: int) -> None:
        self.now += us
        self.oracles.on_time_advance(self.now)

    def ask(self, number: int, product: str = "look", key: str = "", **more: Any) -> str:
        ref = f"{number:016x}"
        self.see(
            TxnReceived(
                1,
                number,
                ref,
                product,
                more.get("customer", ""),
                key,
                self.now // 1_000,
                more.get("patience", 1_000.0),
                more.get("size", 1.0),
                more.get("doc", "Ym9keQ=="),
            )
        )
        return ref

    def run(self, ref: str, product: str = "look", doc: str = "Ym9keQ==") -> None:
        self.see(CommandSent(9, "SCHED", ref, product, doc, -1, ""))

    def note(self, event: str, ref: str, fate: str = "", arg: str = "") -> int:
        self.cursor += 1
        self.see(NoticeReceived(9, event, self.cursor, ref, fate, arg, ""))
        return self.cursor

    def answer(self, number: int, kind: str = "settled", doc: str = "") -> None:
        self.see(AnswerSent(1, number, kind, doc, 0.0, False, None))

    def breaks(self, rule: str, *last: Any) -> None:
        call, *args = last
        with pytest.raises(RuleViolation) as broken:
            call(*args)
        assert broken.value.rule == rule and rule in RULES


def test_oracles_of_answers() -> None:
    book = Book()
    ref = book.ask(1)
    book.breaks("due", book.go, 1_100_000)
    book = Book()
    book.ask(1)
    book.is_paused = True
    book.go(1_500_000)  # a machine that stands still owes nothing yet
    book.is_paused = False
    book.oracles.on_resume(book.now)
    book.go(50_000)
    book.breaks("due", book.go, 100_000)
    book = Book()
    ref = book.ask(1)
    book.run(ref)
    book.note("REAP", ref, "ok", "cmVz")
    book.breaks("kept-back", book.answer, 1, "voided")
    book = Book()
    ref = book.ask(1)
    book.run(ref)
    book.note("REAP", ref, "ok", "cmVz")
    book.breaks("result", book.answer, 1, "settled", "b3RoZXI=")
    book = Book()
    ref = book.ask(1)
    book.run(ref)
    book.note("REAP", ref, "ok", "cmVz")
    book.answer(1, "settled", "cmVz")
    book.breaks("one-answer", book.answer, 1, "declined")
    book.breaks("one-answer", book.answer, 2, "declined")
    ref = book.ask(3)
    book.see(RevokeReceived(1, 3, ref))
    book.answer(3, "declined")  # one after the caller is gone does no harm
    book.breaks("one-answer", book.answer, 3, "declined")
    ref = book.ask(4, "pay")
    book.run(ref, "pay")
    book.breaks("unsaid", book.answer, 4, "declined")
    book.ask(5)
    book.breaks("stop", book.oracles.on_process_exit, book.now)


def test_oracles_of_runs_and_calls() -> None:
    book = Book()
    ref = book.ask(1)
    book.breaks("unchanged", book.run, ref, "look", "b3RoZXI=")
    book.breaks("form", book.run, "f" * 16)
    book = Book()
    one, two = book.ask(1, "book", "k"), book.ask(2, "book", "k")
    book.run(one, "book")
    book.go(5 * SECOND // 10)
    book.oracles.clock_stepped_at = -10 * SECOND
    book.breaks("twice", book.run, two, "book")
    book = Book()
    ref = book.ask(1, "pay")
    book.run(ref, "pay")
    book.note("IOREQ", ref, arg="Y2FsbA==")
    book.breaks("unchanged", book.see, CallSent(5, ref, 100, b"other"))
    book.see(CallSent(5, ref, 100, b"call"))
    book.see(ReplyReceived(5, 500, False, b""))
    book.breaks("call-twice", book.see, CallSent(6, ref, 100, b"call"))
    book.breaks("reply", book.see, CommandSent(9, "IODONE", ref, "", "cmVwbHk=", -1, ""))
    book = Book()
    ref = book.ask(1)
    book.run(ref)
    cursor = book.note("IOREQ", ref, arg="Y2FsbA==")
    book.breaks("left-out", book.see, CommandSent(9, "NOIO", ref, "", "", cursor + 1, ""))
    book.see(CallSent(5, ref, 100, b"call"))
    book.see(ReplyReceived(5, 200, False, b"reply"))
    book.breaks("unchanged", book.see, CommandSent(9, "IODONE", ref, "", "b3RoZXI=", -1, ""))
    book.breaks("call-kept", book.see, CommandSent(9, "NOIO", ref, "", "", cursor, ""))
    book.breaks("cursor", book.see, CommandSent(10, "OPEN", "", "", "", cursor - 1, ""))


def test_oracles_of_keys() -> None:
    def owned() -> Book:
        """A book with a keyed request that ended well, and whose result is kept."""
        book = Book()
        book.oracles.clock_stepped_at = -10 * SECOND
        owner = book.ask(1, "book", "k", customer="c0")
        book.run(owner, "book")
        book.note("REAP", owner, "ok", "cmVz")
        book.answer(1, "settled", "cmVz")
        book.go(100_000)
        return book

    for changes in ({"customer": "c1"}, {"customer": "c0", "doc": "b3RoZXI="}):
        book = owned()
        book.ask(2, "book", "k", **changes)
        book.breaks("key-copied", book.answer, 2, "settled", "cmVz")
        book = owned()
        book.ask(2, "book", "k", **changes)
        book.breaks("key-copied", book.answer, 2, "declined")
        book = owned()
        book.ask(2, "book", "k", **changes)
        book.answer(2, "voided")
        book.ask(3, "book", "k", customer="c0")
        book.answer(3, "settled", "cmVz")
        book.ask(4, "book", "k", customer="c0")
        book.breaks("key-kept", book.answer, 4, "voided")


def test_oracles_of_requests_that_cross_an_end() -> None:
    def resting() -> Book:
        """A book with a line whose request was answered."""
        book = Book()
        book.see(LineOpened(1))
        book.ask(1)
        book.answer(1, "voided")
        return book

    def late(ref: str, answered: bool = False, reset: bool = False) -> LateSenderClosed:
        return LateSenderClosed(1, ref, silent=False, warned=True, answered=answered, reset=reset)

    book, ref = resting(), "f" * 16
    book.see(LineClosing(1, Closing.HALF))
    book.see(UnanswerableTxn(1, ref))
    book.see(late(ref))  # dropped, and it saw the end of the stream
    book.breaks("crossed", book.see, late(ref, reset=True))
    book.breaks("crossed", book.run, ref)
    book = resting()
    ref = book.ask(2)
    book.see(LineClosing(1, Closing.HALF))
    book.see(late(ref, answered=True))
    book.breaks("crossed", book.see, late(ref))  # read, and its answer did not come
    book = resting()
    book.see(LineClosing(1, Closing.ABORT))  # with room for all
    book.breaks("crossed", book.see, late("f" * 16, reset=True))
    book = resting()
    for line in range(2, 600):
        book.see(LineOpened(line))
    book.see(LineClosing(1, Closing.ABORT))
    book.see(late("f" * 16, reset=True))  # it rested on after a farewell, and its place was needed


def test_oracles_of_the_drain_and_of_what_a_server_survives() -> None:
    book = Book()
    book.oracles.clock_stepped_at = -10 * SECOND
    book.oracles.on_drain_notice(book.now)
    book.go(240_000)
    book.run(book.ask(1))  # just on the way when the grace ended
    book.go(100_000)
    book.breaks("grace", book.run, book.ask(2))
    book = Book()
    for number in range(1, 5):
        book.run(book.ask(number))
    book.breaks("crowd", book.run, book.ask(5))
    book = Book()
    book.run(book.ask(1, size=60.0))
    book.go(30_000)
    book.run(book.ask(2, size=2.0))
    book.go(30_000)
    book.breaks("memory", book.run, book.ask(3, size=60.0))
    book = Book()
    for number in range(1, 4):
        ref = book.ask(number)
        book.run(ref)
        book.note("IOREQ", ref, arg="Y2FsbA==")
        book.see(CallSent(number, ref, 2_000, b"call"))
    book.go(900_000)
    ref = book.ask(4)
    book.run(ref)
    book.note("IOREQ", ref, arg="Y2FsbA==")
    book.breaks("call-limit", book.see, CallSent(4, ref, 2_000, b"call"))
    for earlier in (
        (),
        [(START_TIME - SECOND, START_TIME)] * 2,
    ):  # calls in hand of the life before, in all the window
        book = Book()
        book.oracles.earlier_calls = tuple(earlier)
        for number in range(1, 5):
            ref = book.ask(number)
            book.run(ref)
            book.note("IOREQ", ref, arg="Y2FsbA==")
            if number < 4:
                book.see(CallSent(number, ref, 2_000, b"call"))
        book.go(100_000)
        if earlier:
            book.breaks("call-limit-lives", book.see, CallSent(4, ref, 2_000, b"call"))
        else:
            book.see(CallSent(4, ref, 2_000, b"call"))


# ---- finding and making small


def test_a_failing_seed_tells_its_story_and_shrinks(monkeypatch: pytest.MonkeyPatch) -> None:
    from limeridge.net.kernel import Kernel

    take = Kernel._notice
    counts = {"taken": 0}

    def dropping(self: Any, notice: Any) -> None:
        counts["taken"] += 1
        if notice.news is not None and notice.cursor % 9 == 8:
            self.cursor = notice.cursor
            return
        take(self, notice)

    monkeypatch.setattr(Kernel, "_notice", dropping)
    plan = draw(replace(load_scenario("any"), instances=(2, 2), txns=(60, 60), faults=(2, 4)), 4)
    outcome = run_plan(plan)
    assert outcome.rule and outcome.who and outcome.recent
    smaller, best, tries = shrink(plan, outcome, seconds=600, max_tries=60)
    assert best.rule == outcome.rule and best.steps <= outcome.steps / 2 and tries > 3
    assert smaller.size() < plan.size() and run_plan(from_json(to_json(smaller))).digest == best.digest


def test_forced_ties_are_met_both_ways() -> None:
    for name, ties in (("tie-wire-first", Ties.WIRE_FIRST), ("tie-timers-first", Ties.TIMERS_FIRST)):
        plan: Plan = draw(load_scenario(name), 1)
        assert plan.ties is ties and plan.quantum == 5_000
        world = World(plan)
        assert not world.run().rule


def test_the_stand_ins_play_a_day_with_a_real_instance_on_loopback_sockets() -> None:
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
