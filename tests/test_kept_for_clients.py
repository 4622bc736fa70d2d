"""What an instance keeps for its clients: bounded in count, bytes and time, at the cost of no rule."""

import gc
import random
import sys
import tracemalloc
from dataclasses import dataclass
from typing import Any

import pytest
from helpers import SAMPLE_CONFIG, InstanceHarness
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import stepped

from limeridge.attempts import ATTEMPT_BYTES, Attempt, AttemptTable
from limeridge.brain import product_terms
from limeridge.expiry import MIN_COMPACTED_SIZE, ExpiryHeap
from limeridge.facade import Request
from limeridge.interface import Stage, Txn
from limeridge.net.callers import MAX_OPEN_CHECKS, encode_frame
from limeridge.records import CustomerBuckets

DECLINED, VOIDED = -32008, -32000
TERMS = product_terms({}, 0)


def booted(**changes: Any) -> InstanceHarness:
    net = InstanceHarness(**changes)
    net.boot()
    return net


def error_codes(net: InstanceHarness, caller: Any) -> list[tuple[int, int]]:
    """The id and the error code of each answer."""
    return [(answer["id"], answer["error"]["code"]) for answer in net.answers(caller)]


# ---- a full memory for bodies


def test_repeat_of_a_request_that_ran_is_not_declined_when_the_memory_for_bodies_is_full() -> None:
    """Guards against "never ran" as the answer to a keyed request that runs or has run."""
    net = booted()
    caller = net.caller()
    ref = net.ask(caller, 1, "book", k="acct")
    net.commands()
    net.instance.callers.max_held_bytes = net.instance.callers.held_bytes
    net.ask(caller, 2, "book", k="acct", r=1)
    net.ask(caller, 3, "book", k="other")
    net.ask(caller, 4, "look")
    net.ask(caller, 5, "book", k="acct", doc="b3RoZXI=")
    assert error_codes(net, caller) == [(2, VOIDED), (3, DECLINED), (4, DECLINED), (5, VOIDED)]
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="b25l")
    assert [answer["result"]["doc"] for answer in net.answers(caller)] == ["b25l"]
    net.instance.callers.max_held_bytes = 0
    net.ask(caller, 6, "book", k="acct", r=1)
    [answer] = net.answers(caller)
    assert (answer["id"], answer["result"]["doc"]) == (6, "b25l"), "its result is kept, so it is served"
    assert net.commands() == [] and net.instance.callers.held_bytes == 0


def test_repeat_of_a_run_that_never_began_is_declined_when_the_memory_for_bodies_is_full() -> None:
    """Guards against an error in place of a decline, with which the caller may go elsewhere."""
    net = booted()
    caller = net.caller()
    ref = net.ask(caller, 1, "book", k="acct")
    net.commands()
    net.tell(event="EINVAL", fate="SCHED", handle=ref)
    net.instance.callers.max_held_bytes = 0
    net.ask(caller, 2, "book", k="acct", r=1)
    assert error_codes(net, caller) == [(1, VOIDED), (2, DECLINED)]


@pytest.mark.parametrize("doc_length", [0, 2_000])
@pytest.mark.parametrize("cores", [1, 1_000])
@pytest.mark.parametrize("method", ["look", "book"])
def test_memory_booked_for_open_requests_covers_what_they_take(
    method: str, cores: int, doc_length: int
) -> None:
    """Guards against a bound in bytes that is passed in fact: requests that are held or run, 320 at once."""
    sample = SAMPLE_CONFIG["settings"]
    info = sample["familyInfo"] | {"memoryKb": 1e9, "kbPerKey": 0.0, "cpus": cores}
    net = booted(settings=sample | {"familyInfo": info})
    facade, connections = net.instance.facade, [net.caller() for _ in range(20)]

    def booked() -> int:
        return net.instance.callers.held_bytes + facade.attempts.kept_bytes

    def open_requests(connections: list[Any]) -> None:
        for number, caller in enumerate(connections * 32):
            key = {"k": f"key {number}"} if method == "book" else {}
            net.ask(caller, number + 1, method, doc="A" * doc_length, **key)
        net.commands()

    open_requests(connections[10:])  # whatever is allocated once
    gc.collect()
    tracemalloc.start()
    try:
        booked_before, taken_before = booked(), tracemalloc.get_traced_memory()[0]
        open_requests(connections[:10])
        gc.collect()
        taken = tracemalloc.get_traced_memory()[0] - taken_before
    finally:
        tracemalloc.stop()
    assert len(facade.open) == 640
    assert taken <= booked() - booked_before


def test_bytes_read_and_not_handled_yet_stay_within_their_part_of_the_memory() -> None:
    """Guards against a memory that grows with the connections of clients that send without a pause."""
    with stepped(limits={"memory_mb": 16, "sockets": 128}) as s:
        callers = [s.connect_accepted()[0] for _ in range(60)]
        revoke = encode_frame(b'{"jsonrpc":"2.0","method":"revoke","params":{"id":9}}')  # of no open request
        for caller in callers:
            caller.write(750 * revoke + caller.encode_request()[0])
        highest = 0
        for _ in range(40):
            s.iterate()
            unhandled = sum(sys.getsizeof(each.frames.data) for each in s.instance.callers.connections)
            highest = max(highest, unhandled)
        assert 0 < highest <= (16 << 20) // 8
        s.wait_until("an answer to each", lambda: all(caller.answers_by_id() for caller in callers))


def test_deep_health_checks_at_full_speed_cost_one_probe_and_a_few_places() -> None:
    """Guards against a memory, and work of the kernel, that grow with each deep check of a bad client."""
    net = booted()
    checker, bad = net.caller(), net.caller()
    net.send(checker, jsonrpc="2.0", id=1, method="heartbeat", params={"x": True})
    for number in range(1, MAX_OPEN_CHECKS + 6):
        net.send(bad, jsonrpc="2.0", id=number, method="heartbeat", params={"x": True})
    [probe] = net.commands()
    assert probe["event"] == "POST" and len(net.instance.kernel.pending_queries) == 1
    rejected = error_codes(net, bad)
    assert [number for number, _ in rejected] == [*range(MAX_OPEN_CHECKS + 1, MAX_OPEN_CHECKS + 6)]
    net.tell(event="POSTED", ticket=probe["ticket"], fate="ok")
    assert [answer["result"]["ready"] for answer in net.answers(bad)] == [True] * MAX_OPEN_CHECKS
    assert net.answers(checker)[0]["result"]["ready"] is True
    net.send(bad, jsonrpc="2.0", id=90, method="heartbeat", params={"x": True})
    assert [command["event"] for command in net.commands()] == ["POST"], "the next probe is a new one"
    net.pass_time(0.6)
    assert net.answers(bad)[0]["result"]["ready"] is False and not net.instance.waiting_checks


# ---- attempts under keys


def live_objects(kind: type) -> int:
    """How many objects of this type are still referenced from anywhere in this process."""
    gc.collect()
    return sum(type(each) is kind for each in gc.get_objects())


def live_requests() -> int:
    return live_objects(Request)


def end_unknown_to_kernel(net: InstanceHarness, caller: Any, number: int) -> None:
    for command in net.commands():
        net.tell(event="EINVAL", fate="SCHED", handle=command["handle"])


def end_by_revoke(net: InstanceHarness, caller: Any, number: int) -> None:
    net.send(caller, jsonrpc="2.0", method="revoke", params={"id": number})


def end_by_due_time(net: InstanceHarness, caller: Any, number: int) -> None:
    net.pass_time(0.05, every=0.05)
    end_unknown_to_kernel(net, caller, number)  # a few run all the same


@pytest.mark.parametrize("end", [end_unknown_to_kernel, end_by_revoke, end_by_due_time])
def test_nothing_is_kept_of_keyed_requests_that_did_not_run(end: Any) -> None:
    """Guards against a memory that grows with each keyed request of a bad client, over the limit of the
    process: 400 requests under keys of their own, each with its body and connection."""
    net = booted()
    caller, before = net.caller(), live_requests()
    if end is not end_unknown_to_kernel:
        busy = net.caller()
        for number in range(1, 9):
            net.ask(busy, number, d=3_900)  # fills the cores, so that later requests are held
        net.commands()
    open_elsewhere = live_requests() - before
    for number in range(1, 401):
        net.ask(caller, number, "book", k=f"key {number}", d=60)
        end(net, caller, number)
        net.answers(caller)
        if caller.stop_code or caller.end_code:
            caller = net.caller()
    net.pass_time(0.2)
    assert live_requests() - before <= open_elsewhere
    assert not list(net.instance.facade.attempts.known()) and not net.instance.facade.attempts.by_key
    assert net.instance.facade.attempts.kept_bytes == 0


def run_keyed(net: InstanceHarness, caller: Any, number: int, key: str, method: str = "book") -> str:
    ref = net.ask(caller, number, method, k=key)
    assert [command["handle"] for command in net.commands()] == [ref]
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg=f"b25l{number:04}")
    return ref


def test_neither_body_nor_connection_is_kept_of_a_keyed_request_that_ran() -> None:
    """Guards against a whole request in memory for each key within its window."""
    net = booted()
    caller, before = net.caller(), live_requests()
    for number in range(1, 101):
        run_keyed(net, caller, number, f"key {number}")
    assert len(net.answers(caller)) == 100 and live_requests() == before
    assert net.instance.facade.attempts.kept_count == 100
    net.ask(caller, 101, "book", k="key 7", r=1)
    assert net.answers(caller)[-1]["result"]["doc"] == "b25l0007"


def test_keys_that_fill_their_memory_are_kept_and_new_ones_declined_until_they_expire() -> None:
    """Guards against keys without a bound in bytes, and against a second run under a key that gave way."""
    net = booted()
    caller, attempts = net.caller(), net.instance.facade.attempts
    attempts.max_bytes = 10 * (ATTEMPT_BYTES + sys.getsizeof("key 10")) + 50
    for number in range(1, 11):
        run_keyed(net, caller, number, f"key {number:2}")
    net.ask(caller, 11, "book", k="key 11")
    assert net.answers(caller)[-1]["error"]["code"] == DECLINED
    assert net.log.codes("turned-away") == ["kept-keys"] and net.commands() == []
    for number in range(1, 11):
        net.ask(caller, 20 + number, "book", k=f"key {number:2}", r=1)
    assert net.commands() == [], "no second run under any of them"
    answers = {answer["id"]: answer for answer in net.answers(caller)}
    assert all(answers[20 + number]["error"]["code"] == VOIDED for number in range(1, 10)), "results gave way"
    net.ask(caller, 40, "look")
    assert net.commands()[0]["entry"] == "look", "requests without a key are served as before"
    net.pass_time(2.0 + 4.0 + 0.1, every=0.05)  # window and the longest time until a request is read
    run_keyed(net, net.caller(), 1, "key 11")
    assert attempts.kept_count == 1 and len(attempts.by_key) == 1


def test_keys_of_one_class_outlast_the_read_delay_of_another() -> None:
    """Guards against "never ran" for a repeat that arrived within its window and is read late, after many
    requests of a class with a shorter deadline."""
    look, book = SAMPLE_CONFIG["settings"]["classes"]
    note = book | {"name": "note", "aim": 300_000, "deadline": 500_000}
    sample = SAMPLE_CONFIG["settings"]
    net = booted(
        settings=sample
        | {"classes": [look, book, note], "familyInfo": sample["familyInfo"] | {"kbPerKey": 0.1}}
    )
    caller, begun = net.caller(), net.instance.callers.unix()
    run_keyed(net, caller, 1, "acct")
    net.pass_time(2.9, every=0.05)  # the window is 2 s
    for number in range(1, 400):
        if number % 100 == 1:
            notes = net.caller()
        run_keyed(net, notes, number, f"note {number}", "note")
    net.ask(caller, 2, "book", k="acct", r=1, s=int((begun + 1.9) * 1_000))
    assert net.commands() == [] and net.answers(caller)[-1]["result"]["doc"] == "b25l0001"


def test_keys_are_kept_for_the_read_delay_of_their_own_class_as_it_is_now() -> None:
    """Guards against keys that fill their memory since another class has a deadline of an hour, and against
    keys dropped too soon where a new revision has a longer one."""
    look, book = SAMPLE_CONFIG["settings"]["classes"]
    changed = SAMPLE_CONFIG["settings"] | {"classes": [look | {"deadline": 3_600_000_000}, book]}
    net = booted(settings=changed)
    facade = net.instance.facade
    run_keyed(net, net.caller(), 1, "acct")
    net.pass_time(2.0 + 3.9, every=0.05)  # window and deadline
    assert facade.attempts.kept_count == 1
    net.pass_time(0.2, every=0.05)
    assert facade.attempts.kept_count == 0
    run_keyed(net, net.caller(), 1, "acct")
    net.pass_time(2.0, every=0.05)
    net.file |= {"settings": changed | {"classes": [look, book | {"deadline": 6_000_000}]}}
    net.instance.reload()
    net.pass_time(5.9, every=0.05)
    assert net.log.codes("reload") == ["taken"] and facade.attempts.kept_count == 1
    net.pass_time(0.2, every=0.05)
    assert facade.attempts.kept_count == 0


def test_repeat_of_a_repeat_gets_the_result_of_the_run_that_both_wait_for() -> None:
    """Guards against a repeat that waits for another one, which is taken back before the run ends."""
    net = booted()
    busy, caller, other = net.caller(), net.caller(), net.caller()
    for number in range(1, 5):
        net.ask(busy, number)
    started = net.commands()
    first = net.ask(caller, 1, "book", k="acct")
    net.ask(caller, 2, "book", k="acct", r=1)
    net.ask(other, 3, "book", k="acct", r=1)
    net.tell(event="REAP", cursor=None, handle=started[0]["handle"], fate="ok", lasted=5, arg="eA==")
    assert [command["handle"] for command in net.commands()] == [first]
    net.send(caller, jsonrpc="2.0", method="revoke", params={"id": 2})
    net.tell(event="REAP", cursor=None, handle=first, fate="ok", lasted=5, arg="b25l")
    assert [answer["result"]["doc"] for answer in net.answers(other)] == ["b25l"]
    assert not net.instance.facade.waiting_repeats


@pytest.mark.parametrize("kb_per_key", [0.0, 16.0])
@pytest.mark.parametrize("end", [end_unknown_to_kernel, end_by_revoke])
def test_no_memory_is_booked_for_the_keys_of_requests_that_did_not_run(end: Any, kb_per_key: float) -> None:
    """Guards against a table of keys that bad clients fill for a whole window with requests that run nowhere:
    until other requests are declined, or without a bound where no memory is booked for a key."""
    sample = SAMPLE_CONFIG["settings"]
    classes = [sample["classes"][0], sample["classes"][1] | {"keyTtl": 3_600_000_000}]
    info = sample["familyInfo"] | {"kbPerKey": kb_per_key, "memoryKb": 8_192.0}
    net = booted(settings=sample | {"classes": classes, "familyInfo": info})
    bad, before, registry = net.caller(), live_objects(Txn), net.instance.facade.brain.registry
    for number in range(1, 601):
        net.ask(bad, number, "book", k=f"key {number}")
        net.instance.facade._apply_decisions()  # runs or is held, and its key is remembered
        end(net, bad, number)
        net.answers(bad)
        if bad.stop_code or bad.end_code:
            bad = net.caller()
    end_unknown_to_kernel(net, bad, 0)  # those that ran when they were taken back
    net.reactor.advance(0)
    assert live_objects(Txn) - before <= 2 * MIN_COMPACTED_SIZE and registry.memory_kb == pytest.approx(0.0)
    ref = net.ask(net.caller(), 1, "book", k="acct")
    assert [command["handle"] for command in net.commands()] == [ref]


@dataclass
class KnownAttempt:
    """An attempt as the model keeps it: for good, whatever became of it."""

    attempt: Attempt
    txn: Txn
    started: bool = False
    never_began: bool = False
    kept_until: int = 0


class AttemptModel:
    """One key under a table of attempts, beside a list of all attempts that it ever had."""

    READ_DELAY, WINDOW = 40, 25  # in steps of time

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.now, self.refs = rng, 0, 0
        self.table = AttemptTable(1 << 20, 1 << 20, lambda product: self.READ_DELAY)
        self.all: list[KnownAttempt] = []

    def known(self, arrived_at: int) -> list[KnownAttempt]:
        return [
            each
            for each in self.all
            if each.txn.stage is not Stage.OVER
            or (each.started and not each.never_began and each.kept_until > arrived_at)
        ]

    def read(self) -> None:
        """Reads a request that arrived up to the read delay ago; it may be one that misuses the key."""
        arrived_at = self.now - self.rng.randrange(self.READ_DELAY)
        fingerprint = self.rng.choice([b"one", b"one", b"other"])
        known, found = self.known(arrived_at), self.table.find(0, "key", arrived_at)
        running = [each for each in known if each.started and not each.never_began]
        assert bool(found) == bool(known)
        assert bool(found and found[0].started) == bool(running), "a run that is known is found first"
        if any(each.fingerprint != fingerprint for each in found):
            assert any(each.attempt.fingerprint != fingerprint for each in known)
            return
        # A run under the key's earlier owner, whose window ended before, may be passed over: not by one that
        # would run, but by a repeat of a later run.
        if any(each.attempt.fingerprint != fingerprint for each in known):
            assert running and found[0].fingerprint == fingerprint
        self.refs += 1
        txn = Txn(self.refs, 0, 0, 0, 1.0, arrived_at, self.now, 0, 0, TERMS)
        attempt = self.table.add(txn, "key", fingerprint, self.now)
        self.all.append(KnownAttempt(attempt, txn, kept_until=self.now))
        others = [each for each in known if each.txn.stage is not Stage.OVER]
        if not running and not others and self.rng.random() < 0.8:
            self.start(self.all[-1], arrived_at)

    def start(self, each: KnownAttempt, arrived_at: int) -> None:
        if arrived_at + self.WINDOW > self.now:
            each.kept_until = each.attempt.kept_until = arrived_at + self.WINDOW
        each.started = True
        each.txn.stage = Stage.RUNNING
        self.table.start(each.attempt)

    def end(self) -> None:
        """Ends an open attempt: its run, also one that never began, or its wait."""
        open_ones = [each for each in self.all if each.txn.stage is not Stage.OVER]
        if not open_ones:
            return
        each = self.rng.choice(open_ones)
        if each.started and self.rng.random() < 0.3:
            each.never_began = True
            self.table.forget(each.attempt)
        elif each.started:
            self.table.keep_result(each.attempt, "result")
        each.txn.stage = Stage.OVER
        self.table.close(each.attempt)

    def check(self) -> None:
        kept = set(self.table.known())
        assert kept <= {each.attempt for each in self.all}
        assert self.table.kept_bytes == sum(each.bytes for each in kept)
        assert self.table.open_count == sum(each.txn.stage is not Stage.OVER for each in self.all)
        assert self.table.results_bytes == sum(self.table.results.values())
        assert set(self.table.results) <= kept


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.randoms(use_true_random=False))
def test_table_of_attempts_finds_what_a_list_of_all_attempts_would(rng: random.Random) -> None:
    """Guards against a second run, or a result for another request: each request that is read is compared
    with all attempts that its key ever had, also those that ran long ago."""
    model = AttemptModel(rng)
    for _ in range(250):
        model.now += rng.randrange(4)
        rng.choice([model.read, model.read, model.end])()
        model.table.expire(model.now)
        model.check()
    for each in model.all:
        if each.txn.stage is not Stage.OVER:
            each.txn.stage = Stage.OVER
            model.table.close(each.attempt)
    model.table.expire(model.now + model.WINDOW + model.READ_DELAY)
    assert not model.table.by_key and not model.table.kept_bytes and not model.table.results


# ---- times of a client's choosing


def test_answered_requests_are_not_kept_until_the_due_time_that_their_client_named() -> None:
    """Guards against a memory that grows with each request of a client that names a wait of days, while
    others with nearer due times are open."""
    net = booted()
    caller, bad, before = net.caller(), net.caller(), live_objects(Txn)
    net.ask(caller, 1, d=3_900)
    net.commands()
    for number in range(1, 1_001):
        net.ask(bad, number, d=1e9)
        end_unknown_to_kernel(net, bad, number)
        net.answers(bad)
        if bad.stop_code or bad.end_code:
            bad = net.caller()
    assert live_objects(Txn) - before <= MIN_COMPACTED_SIZE + 2
    assert net.instance.facade.owed() == 1


def test_wait_beyond_the_deadline_of_its_class_does_not_keep_a_request() -> None:
    """Guards against a request that is open for days, as its client says and its run does not end."""
    net = booted()
    caller = net.caller()
    net.ask(caller, 1, d=1e9)
    net.ask(caller, 2, "book", k="acct", d=1e9)
    assert len(net.commands()) == 2
    net.pass_time(4.0, every=0.02)  # the deadline of both classes
    assert {answer["id"] for answer in net.answers(caller)} == {1, 2} and not net.instance.facade.owed()
    assert not net.log.codes("overdue"), "the brain answers, not the guard"


@pytest.mark.parametrize("memory_full", [False, True])
def test_keyed_request_that_is_read_after_its_key_was_dropped_neither_runs_nor_is_declined(
    memory_full: bool,
) -> None:
    """Guards against a second run, or "never ran", for a repeat that arrived within its window and is read
    later than any deadline, as its client names a longer wait."""
    net = booted()
    caller, begun = net.caller(), net.instance.callers.unix()
    run_keyed(net, caller, 1, "acct")
    net.answers(caller)
    net.pass_time(2.0 + 4.0 + 0.5, every=0.05)  # window and deadline
    assert not net.instance.facade.attempts.by_key
    if memory_full:
        net.instance.callers.max_held_bytes = 0
    net.ask(caller, 2, "book", k="acct", r=1, s=int((begun + 1.5) * 1_000), d=1e9)
    assert net.commands() == [] and error_codes(net, caller) == [(2, VOIDED)]


def test_requests_taken_back_are_not_kept_behind_one_that_is_held() -> None:
    """Guards against a memory that grows with requests that are taken back at once, until the request at the
    front of their queue has waited for its time."""
    net = booted(settings=SAMPLE_CONFIG["settings"] | {"accounts": []})  # no quotas: one queue
    busy, bad = net.caller(), net.caller()
    for number in range(1, 8):
        net.ask(busy, number, t="")  # the last ones are held
    net.commands()
    before = live_objects(Txn)
    for number in range(1, 1_001):
        net.ask(bad, number, t="")
        net.send(bad, jsonrpc="2.0", method="revoke", params={"id": number})
        net.reactor.advance(0)
        if bad.stop_code or bad.end_code:
            bad = net.caller()
    assert live_objects(Txn) - before <= 2 * MIN_COMPACTED_SIZE  # of the heap and of the queue
    assert net.instance.facade.owed() == 7


def test_quotas_take_memory_for_the_tenants_of_late_and_decide_as_if_all_were_kept() -> None:
    """Guards against a memory that grows with each tenant that ever sent, up to all 240,000, and checks each
    decision against buckets that are never dropped."""
    buckets, kept, rng = CustomerBuckets(), dict[int, tuple[float, int]](), random.Random(7)
    per_s, depth, now, highest = 2.0, 4.0, 0, 0
    for number in range(60_000):
        now += 1_000  # a bucket takes 2 s to fill: the customers of 2,000 requests
        customer = number if rng.random() < 0.5 else rng.randrange(40)
        level, updated_at = kept.get(customer, (depth, now))
        level = min(depth, level + per_s * (now - updated_at) / 1_000_000)
        kept[customer] = level - (level >= 1), now
        assert buckets.take(customer, per_s, depth, now) == (level >= 1)
        highest = max(highest, len(buckets.levels))
    assert len(kept) > 29_000 and highest <= 2 * 2_000


class Settled:
    """An item of a heap, which may be settled before its time."""

    def __init__(self, expires_at: int) -> None:
        self.expires_at, self.live = expires_at, True


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.randoms(use_true_random=False), st.integers(1, 40))
def test_expiry_heap_reports_what_is_live_in_order_and_keeps_no_more_than_twice_as_much(
    rng: random.Random, span: int
) -> None:
    heap: ExpiryHeap[Settled] = ExpiryHeap(lambda item: item.live)
    items: list[Settled] = []
    for now in range(150):
        for _ in range(rng.randrange(4)):
            items.append(Settled(now + rng.randrange(1, 1 + span**2)))
            live = sum(item.live for item in items)
            heap.add(items[-1].expires_at, items[-1], live)
            assert len(heap) <= max(MIN_COMPACTED_SIZE, 2 * live)
        for item in rng.sample(items, min(len(items), rng.randrange(4))):
            item.live = False
        expected = sorted((i for i in items if i.live and i.expires_at <= now), key=lambda i: i.expires_at)
        assert list(heap.take_expired(now)) == expected
        items = [item for item in items if item not in expected]
