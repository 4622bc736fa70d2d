"""What cold instances tell and send adds up, over all of them, to what there is: seeded histories of the
decisions alone, and thirty real processes counted at the receiving side.

The bound is the users': on a budget of N, at most N + 2 roots of N + 2.
"""

import heapq
import math
import os
import random
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
import pytest
from helpers import BRAIN_SETTINGS, MAX_WAIT_S, SAMPLE_CONFIG, until
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from loopback import CallerEnd, Far, KernelEnd, address, bound, free_address

from limeridge.brain import HEEDED, Brain
from limeridge.interface import Decision, Outcome, Stage, Txn, Verb

WINDOW, LINGER, STEP = 5_000_000, 200_000, 20_000
RAMP = 8_000_000
OVER = 4_000_000  # the window of real processes


def most(budget: float) -> float:
    return budget + 2 * math.sqrt(budget) + 2


class Life:
    """One life of an instance that always has runs which wait for a call: it makes as many as it may."""

    def __init__(self, plain: dict[str, Any], now: int, seed: int, linger: int = LINGER) -> None:
        self.brain = Brain(plain, seed, now)
        self.linger = linger
        self.open: dict[int, Txn] = {}
        self.out: dict[int, tuple[int, int]] = {}  # begun, given up at
        self.serial = 0
        self.spans: list[tuple[int, int]] = []  # what the ledger had in hand

    def turn(self, now: int, work: int, chance: random.Random) -> None:
        for ref, (begun, until_) in list(self.out.items()):
            took = int(work * (0.5 + chance.random()))
            if now >= min(begun + took, until_):
                self.end(ref, now, Outcome.OK if now < until_ else Outcome.TIMEOUT)
        while sum(txn.stage is not Stage.OVER for txn in self.open.values()) < 6:
            self.serial += 1
            txn = self.brain.arrived(now, self.serial, 0, patience=2_000_000, size_kb=1.0)
            self.open[self.serial] = txn
        self.brain.woke(now, 1, {"busy": 0.3, "runnable": 1.0})
        self.pull(now)
        self.open = {ref: txn for ref, txn in self.open.items() if txn.stage is not Stage.OVER}

    def pull(self, now: int) -> None:
        while (decision := self.brain.decide()) is not None:
            self.carry_out(decision, now)

    def carry_out(self, decision: Decision, now: int) -> None:
        txn = decision.txn
        if txn is None:
            return
        if decision.verb is Verb.RUN:
            self.brain.needs_call(now, txn)
        elif decision.verb is Verb.CALL:
            self.out[txn.ref] = now, now + decision.us
        elif decision.verb in (Verb.DECLINE, Verb.VOID) and txn.ran:
            if txn.ref in self.out:
                self.end(txn.ref, now, None)
            self.brain.ended(now, txn, Outcome.CANCELLED, 0)

    def end(self, ref: int, now: int, outcome: Outcome | None) -> None:
        begun, _ = self.out.pop(ref)
        self.spans.append((begun, now if outcome is Outcome.OK else now + self.linger))
        if outcome is not None and ref in self.open:
            self.brain.call_ended(now, self.open[ref], outcome, now - begun)
            if outcome is Outcome.OK:
                self.brain.ended(now, self.open[ref], Outcome.OK, 0)

    def die(self, now: int) -> None:
        for ref in list(self.out):
            self.end(ref, now, None)


def in_windows(spans: list[tuple[int, int]], window: int, every: int, last: int) -> list[float]:
    """The mean in hand in each window, a new one each `every`."""
    means = []
    for end in range(window, last, every):
        area = sum(min(b, end) - max(a, end - window) for a, b in spans if b > end - window and a < end)
        means.append(area / window)
    return means


@pytest.mark.parametrize(
    ("count", "budget", "work", "again"),
    [
        (1, 9.0, 60_000, "never"),
        (3, 2.7, 60_000, "all at once"),
        (20, 18.0, 60_000, "all at once"),
        (30, 27.0, 60_000, "all at once"),
        (30, 27.0, 60_000, "in steps"),
        (30, 9.0, 250_000, "all at once"),
        (100, 60.0, 250_000, "all at once"),
    ],
)
def test_calls_of_all_instances_add_up_to_the_limit_also_over_restarts(
    count: int, budget: float, work: int, again: str
) -> None:
    """Each knows its part of the limit alone. Counted at the ledger, in calls of mean work, a window each."""
    seed = 1_000 * count + work
    chance = random.Random(seed)
    plain = BRAIN_SETTINGS | {
        "products.0.sla_time": 1_500_000,
        "instance.skip_values": [0.0],
        "instance.cold": True,
        "instance.calls_out": budget / count,
        "instance.calls_over": WINDOW,
        "instance.linger": LINGER,
        "rules.ramp_time": RAMP,
    }
    lives = [Life(plain | {"instance.cold": again != "never"}, 0, seed + n) for n in range(count)]
    gone: list[Life] = []
    restart = {n: 7_000_000 + (20_000 * n if again == "in steps" else 0) for n in range(count)}
    last = 14_000_000
    for now in range(0, last, STEP):
        for number, life in enumerate(lives):
            if again != "never" and restart[number] <= now < restart[number] + STEP:
                life.die(now)
                gone.append(life)
                lives[number] = life = Life(plain, now + 300_000, seed + count + number)
            if now >= life.brain.started:
                life.turn(now, work, chance)
    spans = [span for life in (*gone, *lives) for span in life.spans]
    spans += [(begun, last) for life in lives for begun, _ in life.out.values()]
    means = in_windows(spans, WINDOW, 100_000, last)
    calls = WINDOW / work  # of mean work, that one in hand all the time makes up
    assert max(means) * calls <= most(budget * calls), "more than the limit in a window"
    assert max(means) > 0.2 * budget, "hardly any call was made: this shows nothing"


@settings(derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    count=st.integers(1, 100),
    known=st.sampled_from([1, 3, 10, 100]),
    cores=st.sampled_from([1, 4, 16]),
    survived=st.sampled_from([3.0, 6.0, 10.0]),
    start=st.floats(0.05, 0.6),
    seed=st.integers(0, 10**6),
)
def test_what_a_cold_instance_tells_adds_up_to_the_crowd_that_its_ramp_allows(
    count: int, known: int, cores: int, survived: float, start: float, seed: int
) -> None:
    """Callers that were told send all they may: the allowance, and its fraction by chance. More may turn up
    than the settings know of, a few at a time or all at once."""
    chance = random.Random(seed)
    plain = BRAIN_SETTINGS | {
        "instance.say": "allowance",
        "instance.cold": True,
        "instance.cores": cores,
        "instance.callers": known,
        "rules.cold_from": start,
        "rules.ramp_time": RAMP,
        "rules.overload_factor": survived,
        "instance.calls_out": 0.0,
    }
    brain, said, serial = Brain(plain, seed, 0), 0.0, 0
    told: dict[int, tuple[int, int]] = {}  # how many each may have out, and since when it holds
    first = {caller: chance.randrange(RAMP // 2) if count > known else 0 for caller in range(count)}
    out: dict[int, list[Txn]] = {caller: [] for caller in range(count)}
    ends: list[tuple[int, int, int, Txn]] = []
    for now in range(0, RAMP, STEP):
        while ends and ends[0][0] <= now:
            _, _, caller, txn = heapq.heappop(ends)
            if txn.stage is not Stage.OVER:
                brain.ended(now, txn, Outcome.OK, 0)
                answered(told, out, caller, txn, said, now, chance)
        for caller in range(count):
            may = told.get(caller, (0, 0))[0] if caller in told else int(now >= first[caller])
            while len(out[caller]) < may:  # one that was told nothing yet asks once
                serial += 1
                txn = brain.arrived(now, serial, 0, caller=caller, patience=3_000_000, size_kb=1.0)
                out[caller].append(txn)
        brain.woke(now, 1, {"busy": 0.5, "runnable": 1.0})
        while (decision := brain.decide()) is not None:
            if decision.verb is Verb.PUBLISH:
                said = decision.level
            elif decision.txn is not None and decision.verb is Verb.RUN:
                took = int(chance.uniform(20_000, 300_000))
                heapq.heappush(ends, (now + took, decision.txn.ref, decision.txn.caller, decision.txn))
            elif decision.txn is not None and decision.verb is Verb.DECLINE:
                answered(told, out, decision.txn.caller, decision.txn, said, now, chance)
        held = sum(len(txns) for caller, txns in out.items() if caller in told)
        if now > HEEDED:  # who turns up later than the settings knew was told, and holds to it, by then
            crowd = (1 + (survived - 1) * min(1.0, start + (1 - start) * now / RAMP)) * cores
            assert held <= most(crowd), f"{held} of {crowd:.1f} at {now}"


def answered(
    told: dict[int, tuple[int, int]],
    out: dict[int, list[Txn]],
    caller: int,
    txn: Txn,
    said: float,
    now: int,
    chance: random.Random,
) -> None:
    if txn in out[caller]:
        out[caller].remove(txn)
    told[caller] = int(said) + (chance.random() < said % 1), now


@settings(derandomize=True, max_examples=40, deadline=None)
@given(say=st.sampled_from(["weight", "floor"]), start=st.floats(0.02, 0.9), seed=st.integers(0, 10**6))
def test_a_share_told_by_a_cold_instance_is_never_over_its_ramp(say: str, start: float, seed: int) -> None:
    chance = random.Random(seed)
    plain = BRAIN_SETTINGS | {
        "instance.say": say,
        "instance.cold": True,
        "rules.cold_from": start,
        "rules.ramp_time": RAMP,
    }
    brain, serial = Brain(plain, seed, 0), 0
    running: list[Txn] = []
    for now in range(0, RAMP + 1_000_000, 50_000):
        for txn in running:
            if txn.stage is Stage.RUNNING:
                brain.ended(now, txn, Outcome.OK, 0)
        running.clear()
        for _ in range(chance.choice([0, 0, 1, 4])):
            serial += 1
            brain.arrived(now, serial, 0, patience=400_000, size_kb=1.0)
        brain.woke(now, 1, {"busy": chance.random(), "runnable": 1.0})
        while (decision := brain.decide()) is not None:
            if decision.verb is Verb.PUBLISH:
                part = decision.level if say == "weight" else 1 - decision.level
                # A rank told is under 1 at the most.
                assert part <= min(1.0, start + (1 - start) * now / RAMP) + 0.011
            elif decision.verb is Verb.RUN and decision.txn is not None:
                running.append(decision.txn)
    assert brain.welcome > 0.5, "it never came up"


def test_a_cold_instance_that_nobody_comes_to_welcomes_by_its_ramp_and_a_warm_one_whole() -> None:
    for cold, least, at_most in ((True, 0.3, 0.45), (False, 1.0, 1.0)):
        plain = BRAIN_SETTINGS | {"instance.say": "weight", "rules.cold_from": 0.25, "rules.ramp_time": RAMP}
        brain = Brain(plain, 1, 0)
        brain.booted(0, cold, 0)
        for now in range(0, 1_500_000, 50_000):
            brain.woke(now, 1, {"busy": 0.1, "runnable": 0.0})
            while brain.decide() is not None:
                pass
        assert least <= brain.welcome <= at_most


# ---- real processes, counted at the ledger


class Machine:
    """One real process and the kernel of its machine, played by the test: each run waits for a call at once
    and ends with it, and there are always more."""

    def __init__(self, folder: Path, number: int, share: float, count: int, ledger: str, roster: str) -> None:
        self.number, self.folder = number, folder
        self.kernels = bound()
        self.kernels.listen(4)
        self.kernels.settimeout(MAX_WAIT_S)
        info = SAMPLE_CONFIG["settings"]["familyInfo"] | {
            "callsOut": share,
            "callsOver": OVER,
            "linger": 100_000,
            "classSkipWorth": [0.0, 0.0],
            "justStarted": True,
            "cpus": 4,
            "memoryKb": 100_000.0,
        }
        self.config = SAMPLE_CONFIG | {
            "name": f"n{number}",
            "listen": free_address(),
            "kernel": address(self.kernels),
            "records": ledger,
            "roster": roster,
            "settings": SAMPLE_CONFIG["settings"] | {"familyInfo": info, "groupSize": count},
        }
        self.path = folder / f"{number}.json"
        self.path.write_bytes(orjson.dumps(self.config))
        self.child: Any = None
        self.kernel: Any = None
        self.caller: Any = None
        self.holder: Any = None

    def start(self) -> None:
        with (self.folder / f"{self.number}.log").open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "limeridge"],
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parent.parent,
                env=os.environ | {"BALANCER_CONFIG": str(self.path)},
            )
        self.begun = time.monotonic()
        self.kernel = self.caller = None
        self.ready_at = 0.0

    def hold(self) -> None:
        """The address, as a predecessor that is still dying does."""
        host, _, port = str(self.config["listen"]).rpartition(":")
        self.holder = socket.socket()
        self.holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.holder.bind((host, int(port)))
        self.holder.listen(1)

    def let_go(self) -> bool:
        """Once the process has met it: what is ours counts from then on."""
        if self.holder is not None and b'"taken"' in (self.folder / f"{self.number}.log").read_bytes():
            self.holder.close()
            self.holder, self.begun = None, time.monotonic()
        return self.holder is None

    def kill(self) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()
        for far in (self.kernel, self.caller):
            if far is not None:
                far.close()

    def ready(self) -> bool:
        """Takes its link, answers its opening, and checks its health; True once that was good."""
        if not self.let_go():
            return False
        if self.kernel is None:
            self.kernels.setblocking(False)
            try:
                self.kernel = KernelEnd(self.kernels.accept()[0])
            except BlockingIOError:
                return False
            self.opened = False
        if not self.opened and self.kernel.commands("OPEN"):
            self.kernel.tell(event="BOOTED", fate="cold", lasted=0)
            self.kernel.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
            self.opened = True
        if self.caller is None:
            host, _, port = str(self.config["listen"]).rpartition(":")
            try:
                self.caller = CallerEnd(socket.create_connection((host, int(port)), timeout=MAX_WAIT_S))
            except OSError:
                return False
            self.caller.check()
        answers = self.caller.by_id()
        if self.caller.next_id in answers:
            if answers[self.caller.next_id]["result"]["ready"]:
                self.ready_at = time.monotonic()
                return True
            self.caller.check()
        return False

    def work(self) -> None:
        """Six requests open at a time; each run waits for a call, and ends when it may go on."""
        kernel, caller = self.kernel, self.caller
        caller.answers()
        answered = sum(1 for each in caller.heard if each.get("id", 0) > 0)
        while caller.next_id - answered < 6:
            caller.ask(d=1_500)
        kernel.pump()
        whole, _, kernel.data = kernel.data.rpartition(b"\n")
        for command in map(orjson.loads, whole.splitlines()):
            if command["event"] == "SCHED":
                kernel.note(event="IOREQ", handle=command["handle"], arg="Y2FsbA==")
            elif command["event"] in ("IODONE", "NOIO"):
                kernel.done(command["handle"])


class CountingLedger:
    """Takes calls in a thread of its own, each for `work` seconds, and writes down what was in its hands."""

    def __init__(self, work: float) -> None:
        self.listener, self.work = bound(), work
        self.listener.listen(512)
        self.listener.setblocking(False)
        self.spans: list[tuple[float, float]] = []
        self.over, self.whole = threading.Event(), False
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        chance, lines = random.Random(5), {}  # type: ignore[var-annotated]
        while not self.over.is_set():
            now = time.monotonic()
            while True:
                try:
                    far = Far(self.listener.accept()[0])
                except BlockingIOError:
                    break
                lines[far] = [0.0, 0.0]
            for far, line in list(lines.items()):
                far.pump()
                if not line[0] and b"\r\n\r\ncall" in far.data:
                    line[0], line[1] = now, now + self.work * (0.5 + chance.random())
                done = line[0] and now >= line[1]
                if done and not far.end:
                    with suppress(OSError):  # its caller was killed in this moment
                        far.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
                if done or far.end:
                    if line[0]:  # one whose caller has gone is worked on for a while yet
                        self.spans.append((line[0], now if done else now + 0.1))
                    del lines[far]
                    far.close()
            time.sleep(0.002)
        self.whole = True


@pytest.mark.parametrize("count", [20, 30])
def test_real_processes_that_restart_at_once_keep_to_one_limit_and_are_ready_soon(
    count: int, tmp_path: Path
) -> None:
    """All are killed while they call, and start again at once, the list being down and one address in five
    still held: counted in each window at the ledger, and from the start of a process, or the moment in which
    its address comes free, to its first good health check."""
    share, work = 0.9, 0.06
    budget = share * count
    ledger, nobody = CountingLedger(work), bound(socket.SOCK_DGRAM)
    roster = address(nobody)
    nobody.close()
    machines = [Machine(tmp_path, n, share, count, address(ledger.listener), roster) for n in range(count)]
    begun = time.monotonic()
    try:
        waits = []
        for life in range(2):
            for machine in machines:
                machine.kill()
            for machine in machines:
                if life and machine.number % 5 == 0:
                    machine.hold()
                machine.start()
            waiting = list(machines)

            def up(waiting: list[Machine] = waiting) -> bool:
                for machine in list(waiting):
                    if machine.ready():
                        waiting.remove(machine)
                return not waiting

            until("all to be ready", up)
            waits = sorted(machine.ready_at - machine.begun for machine in machines)
            end = time.monotonic() + (5.0 if life == 0 else 4.0)
            while time.monotonic() < end:
                for machine in machines:
                    machine.work()
        last = time.monotonic()
    finally:
        for machine in machines:
            machine.kill()
        ledger.over.set()
        ledger.thread.join(MAX_WAIT_S)
    print(f"ready: nine in ten within {waits[int(0.9 * count) - 1]:.2f} s, all within {waits[-1]:.2f} s")
    assert waits[int(0.9 * count) - 1] < 10.0, "nine in ten are ready within 10 s"
    spans = [(int((a - begun) * 1e6), int((b - begun) * 1e6)) for a, b in ledger.spans]
    means = in_windows(spans, OVER, 50_000, int((last - begun) * 1e6))
    calls = OVER / 1e6 / work
    print(f"calls: at most {max(means):.2f} in hand of {budget:.2f}")
    assert max(means) * calls <= most(budget * calls), f"{max(means):.2f} in hand of {budget:.2f}"
    assert max(means) > 0.2 * budget, "hardly any call was made: this shows nothing"
    assert ledger.whole, "the count broke off"
    for machine in machines:
        log = (tmp_path / f"{machine.number}.log").read_bytes()
        assert b'"exception"' not in log and b'"reactor"' not in log
