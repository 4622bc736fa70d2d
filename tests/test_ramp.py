"""What instances publish and the calls that they make add up to the limits also after cold starts: randomised
histories of the decision module alone, and up to thirty real processes counted at the receiving side.

The permitted excess is given by the users: for a budget of N, at most N + 2 sqrt(N) + 2.
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
from loopback import CallerEnd, KernelEnd, RemoteEnd, address, bound_socket, free_address

from limeridge.brain import DEFAULT_HEED_TIME_US, Brain
from limeridge.interface import Decision, Outcome, Stage, Txn, Verb

WINDOW, LINGER, STEP = 5_000_000, 200_000, 20_000
RAMP = 8_000_000
PROCESS_WINDOW = 4_000_000  # microseconds; the window in the tests with real processes


def max_allowed(budget: float) -> float:
    return budget + 2 * math.sqrt(budget) + 2


class Life:
    """One life of an instance whose runs always need a call, so that it makes as many calls as it may."""

    def __init__(self, instance_settings: dict[str, Any], now: int, seed: int, linger: int = LINGER) -> None:
        self.brain = Brain(instance_settings, seed, now)
        self.linger = linger
        self.open_txns: dict[int, Txn] = {}
        self.pending_calls: dict[int, tuple[int, int]] = {}  # by ref: begin, time of the time-out
        self.last_ref = 0
        self.call_spans: list[tuple[int, int]] = []  # begin and end of the ledger's work on each call

    def step(self, now: int, work: int, rng: random.Random) -> None:
        for ref, (began, times_out_at) in list(self.pending_calls.items()):
            duration = int(work * (0.5 + rng.random()))
            if now >= min(began + duration, times_out_at):
                self.end_call(ref, now, Outcome.OK if now < times_out_at else Outcome.TIMEOUT)
        while sum(txn.stage is not Stage.OVER for txn in self.open_txns.values()) < 6:
            self.last_ref += 1
            txn = self.brain.on_txn_arrived(now, self.last_ref, 0, max_wait=2_000_000, size_kb=1.0)
            self.open_txns[self.last_ref] = txn
        self.brain.on_wake(now, 1, {"busy": 0.3, "runnable": 1.0})
        self.apply_decisions(now)
        self.open_txns = {ref: txn for ref, txn in self.open_txns.items() if txn.stage is not Stage.OVER}

    def apply_decisions(self, now: int) -> None:
        while (decision := self.brain.decide()) is not None:
            self.handle_decision(decision, now)

    def handle_decision(self, decision: Decision, now: int) -> None:
        txn = decision.txn
        if txn is None:
            return
        if decision.verb is Verb.RUN:
            self.brain.on_call_needed(now, txn)
        elif decision.verb is Verb.CALL:
            self.pending_calls[txn.ref] = now, now + decision.us
        elif decision.verb in (Verb.DECLINE, Verb.VOID) and txn.ran:
            if txn.ref in self.pending_calls:
                self.end_call(txn.ref, now, None)
            self.brain.on_run_ended(now, txn, Outcome.CANCELLED, 0)

    def end_call(self, ref: int, now: int, outcome: Outcome | None) -> None:
        began, _ = self.pending_calls.pop(ref)
        self.call_spans.append((began, now if outcome is Outcome.OK else now + self.linger))
        if outcome is not None and ref in self.open_txns:
            self.brain.on_call_ended(now, self.open_txns[ref], outcome, now - began)
            if outcome is Outcome.OK:
                self.brain.on_run_ended(now, self.open_txns[ref], Outcome.OK, 0)

    def kill(self, now: int) -> None:
        for ref in list(self.pending_calls):
            self.end_call(ref, now, None)


def mean_in_windows(spans: list[tuple[int, int]], window: int, interval: int, last: int) -> list[float]:
    """Returns the mean number in flight in each window; windows end `interval` apart."""
    means = []
    for end in range(window, last, interval):
        area = sum(min(b, end) - max(a, end - window) for a, b in spans if b > end - window and a < end)
        means.append(area / window)
    return means


@pytest.mark.parametrize(
    ("count", "budget", "work", "restarts"),
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
def test_calls_of_all_instances_stay_within_the_limit_across_restarts(
    count: int, budget: float, work: int, restarts: str
) -> None:
    """Each instance knows only its own part of the limit. The ledger counts, for each window, calls of mean
    work."""
    seed = 1_000 * count + work
    rng = random.Random(seed)
    instance_settings = BRAIN_SETTINGS | {
        "products.0.sla_time": 1_500_000,
        "instance.skip_values": [0.0],
        "instance.cold": True,
        "instance.calls_out": budget / count,
        "instance.calls_over": WINDOW,
        "instance.linger": LINGER,
        "rules.ramp_time": RAMP,
    }
    lives = [
        Life(instance_settings | {"instance.cold": restarts != "never"}, 0, seed + n) for n in range(count)
    ]
    killed: list[Life] = []
    restart_at = {n: 7_000_000 + (20_000 * n if restarts == "in steps" else 0) for n in range(count)}
    last = 14_000_000
    for now in range(0, last, STEP):
        for number, life in enumerate(lives):
            if restarts != "never" and restart_at[number] <= now < restart_at[number] + STEP:
                life.kill(now)
                killed.append(life)
                lives[number] = life = Life(instance_settings, now + 300_000, seed + count + number)
            if now >= life.brain.started_at:
                life.step(now, work, rng)
    spans = [span for life in (*killed, *lives) for span in life.call_spans]
    spans += [(began, last) for life in lives for began, _ in life.pending_calls.values()]
    means = mean_in_windows(spans, WINDOW, 100_000, last)
    calls = WINDOW / work  # calls of mean work that equal one call in flight for the whole window
    assert max(means) * calls <= max_allowed(budget * calls), "more than the limit in a window"
    assert max(means) > 0.2 * budget, "hardly any call was made: this shows nothing"


@settings(derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    count=st.integers(1, 100),
    known_callers=st.sampled_from([1, 3, 10, 100]),
    cores=st.sampled_from([1, 4, 16]),
    overload_factor=st.sampled_from([3.0, 6.0, 10.0]),
    start=st.floats(0.05, 0.6),
    seed=st.integers(0, 10**6),
)
def test_published_allowances_of_a_cold_instance_add_up_to_the_concurrency_that_its_ramp_permits(
    count: int, known_callers: int, cores: int, overload_factor: float, start: float, seed: int
) -> None:
    """Callers that know their allowance use all of it, its fraction with that probability. There may be more
    callers than in the settings, and they may appear gradually or all at once."""
    rng = random.Random(seed)
    instance_settings = BRAIN_SETTINGS | {
        "instance.say": "allowance",
        "instance.cold": True,
        "instance.cores": cores,
        "instance.callers": known_callers,
        "rules.cold_from": start,
        "rules.ramp_time": RAMP,
        "rules.overload_factor": overload_factor,
        "instance.calls_out": 0.0,
    }
    brain, published, last_ref = Brain(instance_settings, seed, 0), 0.0, 0
    allowances: dict[int, tuple[int, int]] = {}  # by caller: its allowance, and since when it holds
    first_contact = {
        caller: rng.randrange(RAMP // 2) if count > known_callers else 0 for caller in range(count)
    }
    open_txns: dict[int, list[Txn]] = {caller: [] for caller in range(count)}
    ends: list[tuple[int, int, int, Txn]] = []
    for now in range(0, RAMP, STEP):
        while ends and ends[0][0] <= now:
            _, _, caller, txn = heapq.heappop(ends)
            if txn.stage is not Stage.OVER:
                brain.on_run_ended(now, txn, Outcome.OK, 0)
                on_answer(allowances, open_txns, caller, txn, published, now, rng)
        for caller in range(count):
            allowed = (
                allowances.get(caller, (0, 0))[0]
                if caller in allowances
                else int(now >= first_contact[caller])
            )
            while len(open_txns[caller]) < allowed:  # a caller without an allowance sends one request
                last_ref += 1
                txn = brain.on_txn_arrived(now, last_ref, 0, caller=caller, max_wait=3_000_000, size_kb=1.0)
                open_txns[caller].append(txn)
        brain.on_wake(now, 1, {"busy": 0.5, "runnable": 1.0})
        while (decision := brain.decide()) is not None:
            if decision.verb is Verb.PUBLISH:
                published = decision.level
            elif decision.txn is not None and decision.verb is Verb.RUN:
                duration = int(rng.uniform(20_000, 300_000))
                heapq.heappush(ends, (now + duration, decision.txn.ref, decision.txn.caller, decision.txn))
            elif decision.txn is not None and decision.verb is Verb.DECLINE:
                on_answer(allowances, open_txns, decision.txn.caller, decision.txn, published, now, rng)
        open_count = sum(len(txns) for caller, txns in open_txns.items() if caller in allowances)
        if now > DEFAULT_HEED_TIME_US:  # additional callers have got and follow an allowance by then
            concurrency = (1 + (overload_factor - 1) * min(1.0, start + (1 - start) * now / RAMP)) * cores
            assert open_count <= max_allowed(concurrency), f"{open_count} of {concurrency:.1f} at {now}"


def on_answer(
    allowances: dict[int, tuple[int, int]],
    open_txns: dict[int, list[Txn]],
    caller: int,
    txn: Txn,
    published: float,
    now: int,
    rng: random.Random,
) -> None:
    if txn in open_txns[caller]:
        open_txns[caller].remove(txn)
    allowances[caller] = int(published) + (rng.random() < published % 1), now


@settings(derandomize=True, max_examples=40, deadline=None)
@given(say=st.sampled_from(["weight", "floor"]), start=st.floats(0.02, 0.9), seed=st.integers(0, 10**6))
def test_a_share_published_by_a_cold_instance_never_exceeds_its_ramp(
    say: str, start: float, seed: int
) -> None:
    rng = random.Random(seed)
    instance_settings = BRAIN_SETTINGS | {
        "instance.say": say,
        "instance.cold": True,
        "rules.cold_from": start,
        "rules.ramp_time": RAMP,
    }
    brain, last_ref = Brain(instance_settings, seed, 0), 0
    running: list[Txn] = []
    for now in range(0, RAMP + 1_000_000, 50_000):
        for txn in running:
            if txn.stage is Stage.RUNNING:
                brain.on_run_ended(now, txn, Outcome.OK, 0)
        running.clear()
        for _ in range(rng.choice([0, 0, 1, 4])):
            last_ref += 1
            brain.on_txn_arrived(now, last_ref, 0, max_wait=400_000, size_kb=1.0)
        brain.on_wake(now, 1, {"busy": rng.random(), "runnable": 1.0})
        while (decision := brain.decide()) is not None:
            if decision.verb is Verb.PUBLISH:
                part = decision.level if say == "weight" else 1 - decision.level
                # A published floor is below 1.
                assert part <= min(1.0, start + (1 - start) * now / RAMP) + 0.011
            elif decision.verb is Verb.RUN and decision.txn is not None:
                running.append(decision.txn)
    assert brain.advertised_capacity > 0.5, "it never came up"


def test_an_idle_cold_instance_advertises_its_ramp_and_a_warm_one_full_capacity() -> None:
    for cold, minimum, maximum in ((True, 0.3, 0.45), (False, 1.0, 1.0)):
        instance_settings = BRAIN_SETTINGS | {
            "instance.say": "weight",
            "rules.cold_from": 0.25,
            "rules.ramp_time": RAMP,
        }
        brain = Brain(instance_settings, 1, 0)
        brain.on_boot(0, cold, 0)
        for now in range(0, 1_500_000, 50_000):
            brain.on_wake(now, 1, {"busy": 0.1, "runnable": 0.0})
            while brain.decide() is not None:
                pass
        assert minimum <= brain.advertised_capacity <= maximum


# ---- real processes, whose calls are counted at the ledger


class Machine:
    """One real process, with its machine's kernel simulated by the test: each run needs a call at once and
    ends with it, and there are always further requests."""

    def __init__(self, folder: Path, number: int, share: float, count: int, ledger: str, roster: str) -> None:
        self.number, self.folder = number, folder
        self.kernel_listener = bound_socket()
        self.kernel_listener.listen(4)
        self.kernel_listener.settimeout(MAX_WAIT_S)
        info = SAMPLE_CONFIG["settings"]["familyInfo"] | {
            "callsOut": share,
            "callsOver": PROCESS_WINDOW,
            "linger": 100_000,
            "classSkipWorth": [0.0, 0.0],
            "justStarted": True,
            "cpus": 4,
            "memoryKb": 100_000.0,
        }
        self.config = SAMPLE_CONFIG | {
            "name": f"n{number}",
            "listen": free_address(),
            "kernel": address(self.kernel_listener),
            "records": ledger,
            "roster": roster,
            "settings": SAMPLE_CONFIG["settings"] | {"familyInfo": info, "groupSize": count},
        }
        self.path = folder / f"{number}.json"
        self.path.write_bytes(orjson.dumps(self.config))
        self.child: Any = None
        self.kernel: Any = None
        self.caller: Any = None
        self.address_holder: Any = None

    def start(self) -> None:
        with (self.folder / f"{self.number}.log").open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "limeridge"],
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parent.parent,
                env=os.environ | {"BALANCER_CONFIG": str(self.path)},
            )
        self.began = time.monotonic()
        self.kernel = self.caller = None
        self.ready_at = 0.0

    def occupy_address(self) -> None:
        """Occupies the address, as a previous process that has not fully ended does."""
        host, _, port = str(self.config["listen"]).rpartition(":")
        self.address_holder = socket.socket()
        self.address_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.address_holder.bind((host, int(port)))
        self.address_holder.listen(1)

    def release_address(self) -> bool:
        """Releases the address once the process has found it taken. The time until it is ready counts from
        then on."""
        if (
            self.address_holder is not None
            and b'"taken"' in (self.folder / f"{self.number}.log").read_bytes()
        ):
            self.address_holder.close()
            self.address_holder, self.began = None, time.monotonic()
        return self.address_holder is None

    def kill(self) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()
        for far in (self.kernel, self.caller):
            if far is not None:
                far.close()

    def ready(self) -> bool:
        """Accepts the kernel link, answers its opening and checks health. Returns True once that is good."""
        if not self.release_address():
            return False
        if self.kernel is None:
            self.kernel_listener.setblocking(False)
            try:
                self.kernel = KernelEnd(self.kernel_listener.accept()[0])
            except BlockingIOError:
                return False
            self.opened = False
        if not self.opened and self.kernel.commands("OPEN"):
            self.kernel.send_event(event="BOOTED", fate="cold", lasted=0)
            self.kernel.send_event(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
            self.opened = True
        if self.caller is None:
            host, _, port = str(self.config["listen"]).rpartition(":")
            try:
                self.caller = CallerEnd(socket.create_connection((host, int(port)), timeout=MAX_WAIT_S))
            except OSError:
                return False
            self.caller.send_heartbeat()
        answers = self.caller.answers_by_id()
        if self.caller.next_id in answers:
            if answers[self.caller.next_id]["result"]["ready"]:
                self.ready_at = time.monotonic()
                return True
            self.caller.send_heartbeat()
        return False

    def work(self) -> None:
        """Keeps six requests open; each run waits for a call and ends when it may continue."""
        kernel, caller = self.kernel, self.caller
        caller.messages()
        answered = sum(1 for each in caller.received if each.get("id", 0) > 0)
        while caller.next_id - answered < 6:
            caller.send_request(d=1_500)
        kernel.read_available()
        complete, _, kernel.data = kernel.data.rpartition(b"\n")
        for command in map(orjson.loads, complete.splitlines()):
            if command["event"] == "SCHED":
                kernel.send_notice(event="IOREQ", handle=command["handle"], arg="Y2FsbA==")
            elif command["event"] in ("IODONE", "NOIO"):
                kernel.finish_run(command["handle"])


class CountingLedger:
    """Serves calls in its own thread, each for about `work` seconds, and records when each of them ran."""

    def __init__(self, work: float) -> None:
        self.listener, self.work = bound_socket(), work
        self.listener.listen(512)
        self.listener.setblocking(False)
        self.spans: list[tuple[float, float]] = []
        self.stop_requested, self.complete = threading.Event(), False
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        rng, calls = random.Random(5), {}  # type: ignore[var-annotated]
        while not self.stop_requested.is_set():
            now = time.monotonic()
            while True:
                try:
                    far = RemoteEnd(self.listener.accept()[0])
                except BlockingIOError:
                    break
                calls[far] = [0.0, 0.0]  # begin and end
            for far, call in list(calls.items()):
                far.read_available()
                if not call[0] and b"\r\n\r\ncall" in far.data:
                    call[0], call[1] = now, now + self.work * (0.5 + rng.random())
                done = call[0] and now >= call[1]
                if done and not far.end:
                    with suppress(OSError):  # its caller was killed at this moment
                        far.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
                if done or far.end:
                    if call[0]:  # work continues for a while after the caller has gone
                        self.spans.append((call[0], now if done else now + 0.1))
                    del calls[far]
                    far.close()
            time.sleep(0.002)
        self.complete = True


@pytest.mark.parametrize("count", [20, 30])
def test_real_processes_restarted_at_once_stay_within_one_limit_and_are_ready_soon(
    count: int, tmp_path: Path
) -> None:
    """All processes are killed while they make calls and are restarted at once, with service discovery down
    and one address in five still taken. The ledger counts calls in each window; readiness is measured from
    the start of a process, or from when its address becomes free, to its first good health check."""
    share, work = 0.9, 0.06
    budget = share * count
    ledger, unused_socket = CountingLedger(work), bound_socket(socket.SOCK_DGRAM)
    roster = address(unused_socket)
    unused_socket.close()
    machines = [Machine(tmp_path, n, share, count, address(ledger.listener), roster) for n in range(count)]
    began = time.monotonic()
    try:
        delays = []
        for life in range(2):
            for machine in machines:
                machine.kill()
            for machine in machines:
                if life and machine.number % 5 == 0:
                    machine.occupy_address()
                machine.start()
            waiting = list(machines)

            def all_ready(waiting: list[Machine] = waiting) -> bool:
                for machine in list(waiting):
                    if machine.ready():
                        waiting.remove(machine)
                return not waiting

            until("all to be ready", all_ready)
            delays = sorted(machine.ready_at - machine.began for machine in machines)
            end = time.monotonic() + (5.0 if life == 0 else 4.0)
            while time.monotonic() < end:
                for machine in machines:
                    machine.work()
        last = time.monotonic()
    finally:
        for machine in machines:
            machine.kill()
        ledger.stop_requested.set()
        ledger.thread.join(MAX_WAIT_S)
    print(f"ready: nine in ten within {delays[int(0.9 * count) - 1]:.2f} s, all within {delays[-1]:.2f} s")
    assert delays[int(0.9 * count) - 1] < 10.0, "nine in ten are ready within 10 s"
    spans = [(int((begin - began) * 1e6), int((end - began) * 1e6)) for begin, end in ledger.spans]
    means = mean_in_windows(spans, PROCESS_WINDOW, 50_000, int((last - began) * 1e6))
    calls = PROCESS_WINDOW / 1e6 / work
    print(f"calls: at most {max(means):.2f} in hand of {budget:.2f}")
    assert max(means) * calls <= max_allowed(budget * calls), f"{max(means):.2f} in hand of {budget:.2f}"
    assert max(means) > 0.2 * budget, "hardly any call was made: this shows nothing"
    assert ledger.complete, "the count broke off"
    for machine in machines:
        log = (tmp_path / f"{machine.number}.log").read_bytes()
        assert b'"exception"' not in log and b'"reactor"' not in log
