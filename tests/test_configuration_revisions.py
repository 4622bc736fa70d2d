"""Revisions: checks, the chain, snapshots, the subscriber, their bytes, and seeded histories of all."""

import importlib
import importlib.abc
import importlib.util
import random
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from limeridge.configuration import chain as chain_module
from limeridge.configuration.chain import (
    BrokenLink,
    Chain,
    ChangeIdReused,
    FencingToken,
    Head,
    NotInLog,
    StaleToken,
    first_entry,
    make_entry,
)
from limeridge.configuration.changes import (
    Change,
    Draft,
    PutRoute,
    PutTenant,
    RemoveRoute,
    RemoveTenant,
    SetClassLimit,
)
from limeridge.configuration.checks import Refused, check_draft, redundant_routes
from limeridge.configuration.encoding import MAGIC, VERSION, BadMessage, decode, encode, encode_entries
from limeridge.configuration.histories import run_history
from limeridge.configuration.snapshot import SnapshotFault, load_snapshot, make_snapshot
from limeridge.configuration.subscriber import (
    Apply,
    Deltas,
    Ignore,
    Load,
    Reason,
    RequestDeltas,
    RequestSnapshot,
    Subscriber,
    make_deltas,
)
from limeridge.configuration.tables import ClassLimits, Tables, TablesEditor, canonical_bytes

PACKAGE = "limeridge.configuration"
CI_SEEDS = 150
DEFECT_SEEDS = 120
LIMITS = ClassLimits(("read", "write"), (0.25, 0.25))
FIRST, SECOND = FencingToken(1, "a"), FencingToken(2, "b")


def draft(*changes: Change, change_id: str = "c", reason: str = "r") -> Draft:
    return Draft(change_id, "author", reason, changes)


def new_chain(*drafts: Draft) -> Chain:
    tables = Tables.empty(LIMITS)
    chain = Chain(first_entry(tables, 0), tables)
    chain.take_over(FIRST, 10)
    for each in drafts:
        chain.accept(each, FIRST, 10)
    chain.commit(chain.head.number)
    return chain


def some_drafts(count: int, seed: int = 1) -> list[Draft]:
    rng = random.Random(seed)
    tenants: set[str] = set()
    drafts = []
    for number in range(count):
        name = f"tenant-{rng.randrange(count // 2 + 1)}"
        changes: list[Change] = [SetClassLimit("read", rng.randrange(50) / 100)]
        if name in tenants and rng.random() < 0.4:
            tenants.discard(name)
            changes.append(RemoveTenant(name))
        else:
            tenants.add(name)
            changes.append(PutTenant(name, float(rng.randrange(100))))
        changes.append(PutRoute(f"/{rng.randrange(9)}", rng.choice(LIMITS.names)))
        drafts.append(draft(*changes, change_id=f"change-{number}"))
    return drafts


def as_bytes(tables: Tables) -> bytes:
    return b"".join(canonical_bytes(tables))


# checks


@pytest.mark.parametrize(
    ("changes", "faults"),
    [
        ((PutTenant("", 1),), ["changes.0.name: expected a text of 1 to 256 characters"]),
        ((PutTenant("\ud800", 1),), ["changes.0.name: expected Unicode, got half of a surrogate pair"]),
        ((PutTenant("a", -1.0),), ["changes.0.quota: expected a number from 0 to 1e+12"]),
        ((PutTenant("a", float("nan")),), ["changes.0.quota: expected a number from 0 to 1e+12"]),
        ((PutTenant("a", True),), ["changes.0.quota: expected a number from 0 to 1e+12"]),
        ((RemoveTenant("b"),), ["changes.0.name: there is no tenant 'b'"]),
        ((RemoveRoute("/b"),), ["changes.0.prefix: there is no route '/b'"]),
        (
            (PutRoute("/b/", "read"),),
            ["changes.0.prefix: expected / and elements with / between them, got '/b/'"],
        ),
        (
            (PutTenant("a", -1), PutRoute("/b", ""), SetClassLimit("d", 2)),
            [
                "changes.0.quota: expected a number from 0 to 1e+12",
                "changes.1.class_name: expected a text of 1 to 256 characters",
                "changes.2.share: expected a number from 0 to 1",
            ],
        ),
        (
            (PutTenant("a", 1), PutRoute("/b", "c"), SetClassLimit("d", 1)),
            [
                "changes.1.class_name: there is no class 'c'",
                "changes.2.class_name: there is no class 'd'",
                "changes.2.share: all classes' shares come to 1.5, expected at most 1",
            ],
        ),
        (
            (PutRoute("/b", "read"), PutTenant("b", 1), PutRoute("/b", "write")),
            ["changes.2: the route '/b' is changed twice, first by changes.0"],
        ),
        (
            (PutTenant("b", 1), RemoveTenant("b")),
            ["changes.1: the tenant 'b' is changed twice, first by changes.0"],
        ),
        (
            (SetClassLimit("read", 0.8),),
            ["changes.0.share: all classes' shares come to 1.05, expected at most 1"],
        ),
        ((PutTenant("a", 1),) * 1_001, ["changes: expected at most 1000"]),
        (
            tuple(PutRoute("/" + "\u20ac" * 1_000 + str(n), "read") for n in range(200)),
            ["changes: expected at most 524288 bytes in all"],
        ),
    ],
)
def test_a_fault_names_its_place(changes: tuple[Change, ...], faults: list[str]) -> None:
    with pytest.raises(Refused) as raised:
        check_draft(Tables.empty(LIMITS), draft(*changes))
    assert [str(fault) for fault in raised.value.faults] == faults


def test_author_reason_and_change_id_are_asked_for() -> None:
    with pytest.raises(Refused, match=r"change_id: .*; author: .*; reason: expected a text of 1 to 1024"):
        check_draft(Tables.empty(LIMITS), Draft("", "x" * 257, "", ()))


def test_changes_valid_one_by_one_and_invalid_together() -> None:
    one, other = SetClassLimit("read", 0.7), SetClassLimit("write", 0.7)
    tables = Tables.empty(LIMITS)
    check_draft(tables, draft(one))
    check_draft(tables, draft(other))
    with pytest.raises(
        Refused, match=r"changes.1.share: all classes' shares come to 1.4, expected at most 1"
    ):
        check_draft(tables, draft(one, other))
    check_draft(tables, draft(one, SetClassLimit("write", 0.3)))


def test_a_route_without_effect_is_told() -> None:
    put = draft(PutRoute("/a", "read"), PutRoute("/a/b", "read"), PutRoute("/a/c", "write"))
    tables = new_chain(put).tables
    told = [str(fault) for fault in redundant_routes(tables, put)]
    assert told == ["changes.1.prefix: has no effect, '/a' leads to 'read' too"]


# the chain


def test_the_same_change_id_counts_once() -> None:
    chain = new_chain(draft(PutTenant("a", 1)))
    receipt = chain.accept(draft(PutTenant("a", 1)), FIRST, 99)
    assert (receipt.number, receipt.hash, receipt.repeated) == (2, chain.head.hash, True)
    with pytest.raises(ChangeIdReused, match="'c' stands for other changes"):
        chain.accept(draft(PutTenant("a", 2)), FIRST, 99)
    chain.compact(0)
    assert chain.accept(draft(PutTenant("a", 1)), FIRST, 99) == receipt
    taken_over = Chain(chain.base, chain.tables, chain.change_id_records())
    taken_over.take_over(SECOND, 5)
    assert taken_over.accept(draft(PutTenant("a", 1)), SECOND, 5) == receipt


def test_unix_time_that_steps_back_is_told_and_not_compared() -> None:
    chain = new_chain()
    for number, time in enumerate((1_000, 5, -7)):
        chain.accept(draft(PutTenant("a", number), change_id=str(number)), FIRST, time)
    assert [chain.entry(number).revision.unix_time_us for number in (2, 3, 4)] == [1_000, 5, -7]
    other = new_chain()
    other.replicate([chain.entry(number) for number in (2, 3, 4)], FIRST)
    assert other.head == chain.head


def test_an_empty_revision_changes_the_hash_and_no_table() -> None:
    chain = new_chain(draft(PutTenant("a", 1)))
    before = chain.head, as_bytes(chain.tables)
    chain.accept(draft(change_id="empty"), FIRST, 0)
    assert chain.head.hash != before[0].hash and chain.head.number == before[0].number + 1
    assert as_bytes(chain.tables) == before[1]


def test_what_no_tables_could_take_leaves_nothing_behind() -> None:
    chain = new_chain(draft(PutTenant("a", 1)))
    head, tables = chain.head, as_bytes(chain.tables)
    with pytest.raises(Refused):
        chain.accept(draft(PutTenant("b", 1), PutTenant("c", -1), change_id="d"), FIRST, 0)
    assert (chain.head, as_bytes(chain.tables), chain.receipt(draft(change_id="d"))) == (head, tables, None)


def test_what_does_not_fit_is_refused_for_good() -> None:
    chain = new_chain(draft(PutTenant("a", 1)))
    tables = as_bytes(chain.tables)
    late = draft(PutTenant("b", 1), RemoveTenant("missing"), change_id="d")
    receipt = chain.accept(late, FIRST, 0)
    assert receipt.refused and [str(fault) for fault in receipt.faults] == [
        "changes.1.name: there is no tenant 'missing'"
    ]
    assert as_bytes(chain.tables) == tables
    chain.accept(draft(PutTenant("missing", 1), change_id="e"), FIRST, 0)
    again = chain.accept(late, FIRST, 0)  # doubled on its way: it would fit now
    assert (again.refused, again.repeated, again.number) == (True, True, receipt.number)
    other = new_chain(draft(PutTenant("a", 1)))
    other.replicate([chain.entry(3), chain.entry(4)], FIRST)
    assert other.head == chain.head and other.accept(late, FIRST, 0) == again
    assert decode(encode(chain.entry(3))) == chain.entry(3)


def test_an_older_holder_is_fenced() -> None:
    chain, other = new_chain(), new_chain()
    other.promise(SECOND)
    chain.accept(draft(PutTenant("late", 1)), FIRST, 0)
    with pytest.raises(StaleToken):
        other.replicate([chain.last], FIRST)
    with pytest.raises(StaleToken):
        other.accept(draft(PutTenant("late", 1)), FIRST, 0)
    with pytest.raises(StaleToken):
        other.take_over(FIRST, 0)
    other.take_over(SECOND, 0)
    with pytest.raises(StaleToken):
        chain.accept(draft(change_id="d"), SECOND, 0)  # without having taken over
    chain.replicate([other.last], SECOND)  # takes the place of what was not committed
    assert chain.head == other.head and chain.tables.tenants.find("late") is None
    assert chain.receipt(draft(PutTenant("late", 1))) is None  # so that it can be asked again


def test_what_is_committed_is_not_taken_back() -> None:
    chain, other = new_chain(draft(PutTenant("a", 1))), new_chain(draft(PutTenant("b", 1)))
    other.take_over(SECOND, 0)
    with pytest.raises(BrokenLink, match="revision 2 is committed with another hash"):
        chain.replicate([other.entry(2), other.entry(3)], SECOND)
    with pytest.raises(NotInLog):
        chain.commit(3)
    chain.commit(0)
    assert chain.committed == 2


def test_an_altered_entry_does_not_link() -> None:
    chain, other = new_chain(), new_chain()
    chain.accept(draft(PutTenant("a", 1)), FIRST, 0)
    entry = chain.last
    altered = [
        replace(entry, revision=replace(entry.revision, unix_time_us=1)),
        replace(entry, digest=entry.digest + 1),
        replace(entry, previous_hash=bytes(16)),
    ]
    for each in altered:
        with pytest.raises(BrokenLink):
            other.replicate([each], FIRST)
    wrong_tables = make_entry(entry.previous_hash, entry.revision, entry.digest + 1)
    removed = replace(entry.revision, draft=draft(RemoveTenant("missing")))
    for each in (wrong_tables, make_entry(entry.previous_hash, removed, entry.digest)):
        with pytest.raises(BrokenLink):
            other.replicate([each], FIRST)
    assert other.head == chain.entry(1).head
    other.replicate([entry], FIRST)
    assert other.head == chain.head


def test_deltas_are_given_from_a_head_of_the_log_and_committed_only() -> None:
    chain = new_chain(*some_drafts(10))
    chain.accept(draft(PutTenant("a", 1)), FIRST, 0)
    head = chain.entry(5).head
    following = chain.entries_after(head, 3)
    assert following is not None and [entry.revision.number for entry in following] == [6, 7, 8]
    everything = chain.entries_after(head, 100)
    assert (
        everything is not None and everything[-1].revision.number == chain.committed == chain.head.number - 1
    )
    assert chain.entries_after(Head(5, bytes(16), FIRST), 3) is None
    assert chain.entries_after(chain.entry(chain.committed).head, 3) == ()  # the last is not committed
    assert chain.entries_after(chain.head, 3) == ()
    chain.compact(3)
    assert chain.entries_after(head, 3) is None
    assert chain.entries_after(chain.base.head, 100) == tuple(everything[-3:])


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.data())
def test_a_snapshot_and_deltas_in_any_batching_give_the_same_bytes(data: st.DataObject) -> None:
    chain = new_chain(*some_drafts(12, data.draw(st.integers(0, 5))))
    start = data.draw(st.integers(0, chain.head.number))
    wanted, tables = as_bytes(chain.tables), chain.tables_at(start)
    snapshot = make_snapshot(chain.entry(start), tables)
    older = load_snapshot(make_snapshot(chain.base, chain.tables_at(0))) if data.draw(st.booleans()) else None
    tables = load_snapshot(snapshot, older, now=5)
    while start < chain.head.number:
        size = data.draw(st.integers(1, chain.head.number - start))
        editor = TablesEditor(tables, now=5)
        for number in range(start + 1, start + size + 1):
            editor.apply(chain.entry(number).revision.changes)
        tables = editor.build()
        start += size
        assert tables.digest == chain.entry(start).digest
    assert as_bytes(tables) == wanted
    chain.compact(data.draw(st.integers(0, 12)))
    assert make_snapshot(chain.last, chain.tables) == make_snapshot(chain.last, tables)
    assert as_bytes(chain.tables_at(chain.base.revision.number)) is not None


# snapshots


def test_a_snapshot_that_is_not_the_chains_is_not_loaded() -> None:
    chain = new_chain(*some_drafts(20))
    snapshot = make_snapshot(chain.last, chain.tables)
    part = snapshot.parts[0]
    for bad in (
        replace(snapshot, parts=()),
        replace(snapshot, parts=(replace(part, tenants=part.tenants[1:]), *snapshot.parts[1:])),
        replace(snapshot, parts=(replace(part, tenants=(*part.tenants, ("x", 1.0))), *snapshot.parts[1:])),
        replace(
            snapshot, parts=(replace(part, tenants=(*part.tenants, part.tenants[0])), *snapshot.parts[1:])
        ),
        replace(snapshot, parts=(replace(part, routes=(("/x", "missing"),)), *snapshot.parts[1:])),
        replace(snapshot, parts=(replace(part, hash=bytes(16)), *snapshot.parts[1:])),
        replace(snapshot, parts=tuple(reversed(snapshot.parts))),
        replace(snapshot, header=replace(snapshot.header, limits=ClassLimits(("read", "write"), (0.0, 0.0)))),
        replace(
            snapshot,
            header=replace(snapshot.header, entry=replace(snapshot.header.entry, digest=chain.base.digest)),
        ),
    ):
        with pytest.raises(SnapshotFault):
            load_snapshot(bad)
    assert as_bytes(load_snapshot(snapshot)) == as_bytes(chain.tables)


def test_a_loaded_snapshot_keeps_the_numbers_of_tenants() -> None:
    chain = new_chain(draft(PutTenant("b", 1), PutTenant("c", 1)))
    before = load_snapshot(make_snapshot(chain.last, chain.tables))
    numbers = {name: before.tenants.find(name) for name in ("b", "c")}
    chain.accept(draft(PutTenant("a", 1), RemoveTenant("b"), change_id="d"), FIRST, 0)
    after = load_snapshot(make_snapshot(chain.last, chain.tables), before, now=10, retired_until=20)
    assert after.tenants.find("c") == numbers["c"] and after.tenants.find("a") not in numbers.values()
    assert after.tenants.find("b") is None and after.tenants.name(numbers["b"] or 0) == "b"


# the subscriber


def follower(chain: Chain, number: int) -> Subscriber:
    tables = load_snapshot(make_snapshot(chain.entry(number), chain.tables_at(number)))
    return Subscriber(tables, chain.entry(number).head, random.Random(1))


def entries(chain: Chain, first: int, last: int) -> Deltas:
    return make_deltas([chain.entry(number) for number in range(first, last + 1)])


def test_a_subscriber_applies_what_follows_and_ignores_what_it_has() -> None:
    chain = new_chain(*some_drafts(6))
    subscriber = follower(chain, 2)
    decision = subscriber.receive_deltas(entries(chain, 1, 4), 0)  # overlapping
    assert isinstance(decision, Apply) and decision.head == chain.entry(4).head == subscriber.head
    assert as_bytes(subscriber.tables) == as_bytes(chain.tables_at(4))
    assert subscriber.receive_deltas(entries(chain, 3, 4), 0) == Ignore(Reason.OLD)
    assert subscriber.receive_head(chain.entry(3).head, 0) == Ignore(Reason.OLD)


def test_deltas_are_applied_in_steps_and_nothing_crosses_them() -> None:
    many = draft(*(PutTenant(f"many-{number}", 1.0) for number in range(50)), change_id="many")
    chain = new_chain(many, draft(change_id="empty"))
    subscriber = follower(chain, 1)
    steps = subscriber.receive_deltas_in_steps(entries(chain, 2, 3), 0)
    next(steps)
    assert subscriber.receive_deltas(entries(chain, 2, 3), 0) == Ignore(Reason.LOADING)
    assert subscriber.receive_head(chain.head, 0) == Ignore(Reason.LOADING)
    header = make_snapshot(chain.last, chain.tables).header
    assert subscriber.receive_snapshot(header, 0) == subscriber.tick(0) == Ignore(Reason.LOADING)
    steps.close()  # given up: as if nothing had come
    assert (subscriber.head, len(subscriber.tables.tenants)) == (chain.entry(1).head, 0)
    steps = subscriber.receive_deltas_in_steps(entries(chain, 2, 3), 0)
    assert [next(steps) for _ in range(3)] == [None] * 3  # 20, 20 and 10 changes
    assert (subscriber.head, len(subscriber.tables.tenants)) == (chain.entry(1).head, 0)
    with pytest.raises(StopIteration) as done:
        next(steps)
    assert isinstance(done.value.value, Apply) and subscriber.head == chain.head
    assert as_bytes(subscriber.tables) == as_bytes(chain.tables)


def test_a_subscriber_asks_over_a_gap_once_and_again_without_an_answer() -> None:
    chain = new_chain(*some_drafts(6))
    subscriber = follower(chain, 2)
    head = chain.entry(2).head
    assert subscriber.receive_deltas(entries(chain, 4, 5), 0) == RequestDeltas(head, Reason.GAP)
    assert subscriber.receive_deltas(entries(chain, 5, 6), 1) == Ignore(Reason.ALREADY_REQUESTED)
    assert subscriber.tick(400_000) == Ignore(Reason.ALREADY_REQUESTED)
    assert subscriber.tick(1_000_000) == RequestDeltas(head, Reason.NO_ANSWER)
    assert isinstance(subscriber.receive_deltas(entries(chain, 3, 7), 1_100_000), Apply)
    assert subscriber.tick(9_000_000) == Ignore(Reason.OLD)


def test_a_wrong_hash_or_an_older_chain_asks_for_a_snapshot_and_changes_nothing() -> None:
    chain = new_chain(*some_drafts(6))
    for bad in (
        Deltas(entries(chain, 3, 4).revisions, bytes(16)),
        Deltas(entries(chain, 3, 4).revisions[:1], chain.entry(4).hash),
        Deltas((chain.entry(3).revision, chain.entry(5).revision), chain.entry(5).hash),
        Deltas(
            (replace(chain.entry(3).revision, draft=draft(RemoveTenant("missing"))),), chain.entry(3).hash
        ),
    ):
        subscriber = follower(chain, 2)
        assert subscriber.receive_deltas(bad, 0) == RequestSnapshot(Reason.HASH_MISMATCH)
        assert subscriber.head == chain.entry(2).head
        assert as_bytes(subscriber.tables) == as_bytes(chain.tables_at(2))
    subscriber = follower(chain, 2)
    older = replace(chain.entry(3).revision, token=FencingToken())
    assert subscriber.receive_deltas(Deltas((older,), chain.entry(3).hash), 0) == RequestSnapshot(
        Reason.OLDER_CHAIN
    )
    other = new_chain(draft(PutTenant("other", 1)))
    assert follower(chain, 2).receive_head(other.entry(2).head, 0) == RequestSnapshot(Reason.HASH_MISMATCH)


def test_no_snapshot_takes_a_subscriber_back() -> None:
    chain = new_chain(*some_drafts(6))
    subscriber = follower(chain, 4)
    for number in (0, 3, 4):
        header = make_snapshot(chain.entry(number), chain.tables_at(number)).header
        assert isinstance(subscriber.receive_snapshot(header, 0), Ignore)
    given_up = Chain(chain.base, Tables.empty(LIMITS))
    given_up.take_over(FencingToken(0, "given up"), 0)
    for number in range(9):
        given_up.accept(draft(change_id=str(number)), FencingToken(0, "given up"), 0)
    header = make_snapshot(given_up.last, given_up.tables).header
    assert header.head.number > chain.head.number
    assert subscriber.receive_snapshot(header, 0) == Ignore(Reason.OLDER_CHAIN)


def test_an_instance_that_serves_by_its_file_asks_for_a_snapshot_and_loads_it() -> None:
    chain = new_chain(*some_drafts(6))
    subscriber = Subscriber(Tables.empty(LIMITS), None, random.Random(1))
    assert subscriber.receive_deltas(entries(chain, 3, 4), 0) == RequestSnapshot(Reason.NO_REVISION)
    snapshot = make_snapshot(chain.last, chain.tables)
    unsound = replace(snapshot.header, entry=replace(snapshot.header.entry, hash=bytes(16)))
    assert subscriber.receive_snapshot(unsound, 9_000_000) == RequestSnapshot(Reason.LOAD_FAILED)
    decision = subscriber.receive_snapshot(snapshot.header, 1)
    assert isinstance(decision, Load)
    assert subscriber.receive_deltas(entries(chain, 3, 4), 2) == Ignore(Reason.LOADING)
    assert subscriber.tick(29_000_000) == Ignore(Reason.LOADING)
    for part in snapshot.parts:
        list(decision.loader.load_part(part))
    list(decision.loader.finish())
    assert isinstance(subscriber.snapshot_loaded(), Apply)
    assert subscriber.head == chain.head and as_bytes(subscriber.tables) == as_bytes(chain.tables)


def test_a_snapshot_that_stops_coming_is_asked_for_again() -> None:
    chain = new_chain(*some_drafts(6))
    subscriber = Subscriber(Tables.empty(LIMITS), None, random.Random(1))
    assert isinstance(subscriber.receive_snapshot(make_snapshot(chain.last, chain.tables).header, 0), Load)
    assert subscriber.tick(30_000_000) == RequestSnapshot(Reason.LOAD_FAILED)
    assert (subscriber.head, subscriber.snapshot_loaded()) == (None, Ignore(Reason.OLD))


# bytes


def test_messages_come_back_as_they_were_sent() -> None:
    chain = new_chain(*some_drafts(30))
    snapshot = make_snapshot(chain.last, chain.tables)
    asking = RequestDeltas(chain.head, Reason.GAP)
    asked = asking, RequestSnapshot(Reason.GAP)
    for message in (chain.head, chain.last, snapshot.header, *snapshot.parts, *asked, entries(chain, 1, 9)):
        assert decode(encode(message)) == message
    frames = list(encode_entries([chain.entry(number) for number in range(1, 32)]))
    assert [decode(frame) for frame in frames] == [entries(chain, 1, 31)]
    kinds = (PutRoute("/r", "write"), RemoveRoute("/r"), RemoveTenant("t"), SetClassLimit("read", 0.5))
    message = Deltas((replace(chain.last.revision, draft=draft(*kinds)),), bytes(16))
    assert decode(encode(message)) == message


def test_large_drafts_are_sent_in_several_messages() -> None:
    rng = random.Random(2)
    large = [
        draft(*(PutTenant(f"{n}-{rng.randbytes(120).hex()}", 1.0) for n in range(900)), change_id=str(number))
        for number in range(5)
    ]
    chain = new_chain(*large)
    frames = list(encode_entries([chain.entry(number) for number in range(1, 7)]))
    assert len(frames) > 1
    subscriber = follower(chain, 0)
    for frame in frames:
        message = decode(frame)
        assert isinstance(message, Deltas) and isinstance(subscriber.receive_deltas(message, 0), Apply)
    assert subscriber.head == chain.head
    parts = make_snapshot(chain.last, chain.tables).parts
    assert max(len(encode(part)) for part in parts) < 200_000


def test_bad_bytes_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    frame = encode(new_chain().head)
    start = MAGIC + bytes([VERSION])
    for bad, fault in (
        (b"", "expected a message of configuration"),
        (MAGIC, "expected a message of configuration"),
        (b"XXX" + frame[3:], "expected a message of configuration"),
        (MAGIC + bytes([VERSION + 1]) + frame[4:], "expected version 1, got 2"),
        (frame[:-1], "decompression error"),
        (frame + b"x", "1 bytes of unused data"),
        (start + b"not zstd", "cannot get frame parameters"),
        (start + zstandard.compress(b"\x00"), "Expected"),
        (start + zstandard.compress(b"\x91" * 3_000 + b"\x00"), "Expected"),
        (
            start + zstandard.compress(bytes((1 << 23) + 1)),
            "expected at most 8388608 bytes once decompressed",
        ),
        (bytes((1 << 21) + 1), "expected at most 2097152 bytes"),
    ):
        with pytest.raises(BadMessage, match=fault):
            decode(bad)
    monkeypatch.setattr("limeridge.configuration.encoding.MAX_FRAME_BYTES", 10)
    with pytest.raises(BadMessage):
        encode(new_chain().head)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.integers(0, 10_000), st.integers(0, 255), st.booleans())
def test_altered_bytes_are_refused_or_a_message(place: int, byte: int, inner: bool) -> None:
    frame = bytearray(encode(entries(new_chain(*some_drafts(2)), 1, 3)))
    if inner:
        plain = bytearray(zstandard.decompress(bytes(frame[4:])))
        plain[place % len(plain)] = byte
        frame = bytearray(bytes(frame[:4]) + zstandard.compress(bytes(plain)))
    else:
        frame[place % len(frame)] = byte
    try:
        message = decode(bytes(frame))
    except BadMessage:
        return
    assert isinstance(message, Deltas)


def test_the_decisions_import_no_library() -> None:
    code = (
        "import sys, limeridge.configuration.subscriber, limeridge.configuration.histories;"
        "print([name for name in ('msgspec', 'zstandard', 'twisted', 'orjson') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


# histories


def test_histories_hold() -> None:
    assert {seed: what for seed in range(CI_SEEDS) if (what := run_history(seed)) is not None} == {}


@dataclass(frozen=True)
class Defect:
    """`old` stands exactly once in the module; `new` is put in its place, in memory alone."""

    module: str
    old: str
    new: str


DEFECTS = {
    "the hash is not compared": Defect(
        "subscriber", "applied is None or applied.head.hash != deltas.last_hash", "applied is None"
    ),
    "an older snapshot is taken": Defect(
        "subscriber", "if header.head.number <= self.head.number:", "if False:"
    ),
    "a snapshot of an older chain is taken": Defect(
        "subscriber", "if header.head.token < self.head.token:", "if False:"
    ),
    "a newer head is not asked for": Defect("subscriber", "if head.number > self.head.number:", "if False:"),
    "the digest of a snapshot is not compared": Defect(
        "snapshot", " or self._digest != self.header.entry.digest", ""
    ),
    "the longest chain wins": Defect(
        "chain", "return self.token, self.number", "return self.number, self.token"
    ),
    "what is committed goes back": Defect(
        "chain", "self.committed = max(self.committed, number)", "self.committed = number"
    ),
    "numbers are given again before their time": Defect(
        "tenants", "or self._retirements[0].until > self.now", ""
    ),
    "deltas up to the head": Defect(
        "chain", "min(first + limit, self.committed - self.base.revision.number)", "first + limit"
    ),
    "a promise is not kept": Defect(
        "chain",
        'if token < self.promised:\n            raise StaleToken("a newer',
        'if False:\n            raise StaleToken("a newer',
    ),
    "a change id counts each time": Defect("chain", "        if before is None:\n", "        if True:\n"),
    "uncommitted entries stay": Defect("chain", "self._truncate(number)\n", "continue\n"),
    "change ids of taken back entries stay": Defect(
        "chain", "self._change_id_records.pop(entry.revision.draft.change_id, None)", "pass"
    ),
    "compaction keeps the old base's tables": Defect(
        "chain", "self.base, self._base_tables = base, tables", "self.base = base"
    ),
    "shares are checked one by one": Defect(
        "checks",
        "shares[change.class_name] = change.share\n",
        "shares = {change.class_name: change.share}\n",
    ),
    "a page of quotas is shared and changed": Defect(
        "columns", "self._pages[page] = self._pages[page][:]", "self._pages[page] = self._pages[page]"
    ),
    "a name that comes back gets a new number": Defect(
        "tenants",
        "        if number is None:\n            number = self._new_number(name, entry)\n",
        "        if number is None or self._quotas.get(number) < 0:\n"
        "            number = self._new_number(name, entry)\n",
    ),
    "the digest forgets what a route led to": Defect(
        "tables", "None if previous is None else route_digest(prefix, self._limits.names[previous]),", "None,"
    ),
    "a removed route is counted out twice": Defect(
        "routes", "self._depths[prefix_depth(prefix)] -= 1", "self._depths[prefix_depth(prefix)] -= 2"
    ),
}


class DefectFinder(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Imports one module of the package with the defect in it."""

    def __init__(self, defect: Defect) -> None:
        self.defect = defect
        self.name = f"{PACKAGE}.{defect.module}"

    def find_spec(self, name: str, path: object = None, target: object = None) -> object:
        return importlib.util.spec_from_loader(name, self) if name == self.name else None

    def get_source(self, name: str) -> str:
        directory = Path(chain_module.__file__).parent
        source = (directory / f"{self.defect.module}.py").read_text()
        assert source.count(self.defect.old) == 1, self.defect
        return source.replace(self.defect.old, self.defect.new)


def seeds_until_found(defect: Defect, seeds: Sequence[int]) -> int | None:
    """How many histories it takes, played by a package of its own; None where all hold."""
    finder = DefectFinder(defect)
    kept = {name: sys.modules.pop(name) for name in list(sys.modules) if name.startswith(PACKAGE + ".")}
    sys.meta_path.insert(0, finder)
    try:
        histories = importlib.import_module(f"{PACKAGE}.histories")
        return next(
            (number for number, seed in enumerate(seeds, 1) if histories.run_history(seed) is not None), None
        )
    finally:
        sys.meta_path.remove(finder)
        for name in [name for name in sys.modules if name.startswith(PACKAGE + ".")]:
            del sys.modules[name]
        sys.modules.update(kept)
        for name, module in kept.items():  # the package's own names of them, too
            setattr(sys.modules[PACKAGE], name.removeprefix(PACKAGE + "."), module)


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str) -> None:
    assert seeds_until_found(DEFECTS[name], range(DEFECT_SEEDS)) is not None
