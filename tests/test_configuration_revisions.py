"""Revisions: draft checks, the chain, snapshots, the subscriber, the wire format, and seeded histories."""

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
    for item in drafts:
        chain.accept(item, FIRST, 10)
    chain.commit(chain.head.number)
    return chain


def random_drafts(count: int, seed: int = 1) -> list[Draft]:
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


def canonical(tables: Tables) -> bytes:
    return b"".join(canonical_bytes(tables))


# draft checks


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
def test_draft_faults_name_their_path(changes: tuple[Change, ...], faults: list[str]) -> None:
    with pytest.raises(Refused) as raised:
        check_draft(Tables.empty(LIMITS), draft(*changes))
    assert [str(fault) for fault in raised.value.faults] == faults


def test_author_reason_and_change_id_are_required() -> None:
    with pytest.raises(Refused, match=r"change_id: .*; author: .*; reason: expected a text of 1 to 1024"):
        check_draft(Tables.empty(LIMITS), Draft("", "x" * 257, "", ()))


def test_changes_valid_alone_but_invalid_in_combination() -> None:
    one, other = SetClassLimit("read", 0.7), SetClassLimit("write", 0.7)
    tables = Tables.empty(LIMITS)
    check_draft(tables, draft(one))
    check_draft(tables, draft(other))
    with pytest.raises(
        Refused, match=r"changes.1.share: all classes' shares come to 1.4, expected at most 1"
    ):
        check_draft(tables, draft(one, other))
    check_draft(tables, draft(one, SetClassLimit("write", 0.3)))


def test_redundant_route_is_reported() -> None:
    route_draft = draft(PutRoute("/a", "read"), PutRoute("/a/b", "read"), PutRoute("/a/c", "write"))
    tables = new_chain(route_draft).tables
    warnings = [str(fault) for fault in redundant_routes(tables, route_draft)]
    assert warnings == ["changes.1.prefix: has no effect, '/a' leads to 'read' too"]


# the chain


def test_repeated_change_id_is_applied_once() -> None:
    chain = new_chain(draft(PutTenant("a", 1)))
    receipt = chain.accept(draft(PutTenant("a", 1)), FIRST, 99)
    assert (receipt.number, receipt.hash, receipt.repeated) == (2, chain.head.hash, True)
    with pytest.raises(ChangeIdReused, match="'c' stands for other changes"):
        chain.accept(draft(PutTenant("a", 2)), FIRST, 99)
    chain.compact(0)
    assert chain.accept(draft(PutTenant("a", 1)), FIRST, 99) == receipt
    successor = Chain(chain.base, chain.tables, chain.change_id_records())
    successor.take_over(SECOND, 5)
    assert successor.accept(draft(PutTenant("a", 1)), SECOND, 5) == receipt


def test_unix_time_that_steps_back_is_recorded_and_not_compared() -> None:
    chain = new_chain()
    for number, time in enumerate((1_000, 5, -7)):
        chain.accept(draft(PutTenant("a", number), change_id=str(number)), FIRST, time)
    assert [chain.entry(number).revision.unix_time_us for number in (2, 3, 4)] == [1_000, 5, -7]
    other = new_chain()
    other.replicate([chain.entry(number) for number in (2, 3, 4)], FIRST)
    assert other.head == chain.head


def test_empty_revision_changes_the_hash_but_no_table() -> None:
    chain = new_chain(draft(PutTenant("a", 1)))
    before = chain.head, canonical(chain.tables)
    chain.accept(draft(change_id="empty"), FIRST, 0)
    assert chain.head.hash != before[0].hash and chain.head.number == before[0].number + 1
    assert canonical(chain.tables) == before[1]


def test_malformed_draft_is_not_appended() -> None:
    chain = new_chain(draft(PutTenant("a", 1)))
    head, tables = chain.head, canonical(chain.tables)
    with pytest.raises(Refused):
        chain.accept(draft(PutTenant("b", 1), PutTenant("c", -1), change_id="d"), FIRST, 0)
    assert (chain.head, canonical(chain.tables), chain.receipt(draft(change_id="d"))) == (head, tables, None)


def test_refusal_of_an_inapplicable_draft_is_permanent() -> None:
    chain = new_chain(draft(PutTenant("a", 1)))
    tables = canonical(chain.tables)
    conflicting = draft(PutTenant("b", 1), RemoveTenant("missing"), change_id="d")
    receipt = chain.accept(conflicting, FIRST, 0)
    assert receipt.refused and [str(fault) for fault in receipt.faults] == [
        "changes.1.name: there is no tenant 'missing'"
    ]
    assert canonical(chain.tables) == tables
    chain.accept(draft(PutTenant("missing", 1), change_id="e"), FIRST, 0)
    repeated = chain.accept(conflicting, FIRST, 0)  # a duplicate in transit: it would be applicable now
    assert (repeated.refused, repeated.repeated, repeated.number) == (True, True, receipt.number)
    other = new_chain(draft(PutTenant("a", 1)))
    other.replicate([chain.entry(3), chain.entry(4)], FIRST)
    assert other.head == chain.head and other.accept(conflicting, FIRST, 0) == repeated
    assert decode(encode(chain.entry(3))) == chain.entry(3)


def test_older_holder_is_fenced() -> None:
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
        chain.accept(draft(change_id="d"), SECOND, 0)  # without a take-over
    chain.replicate([other.last], SECOND)  # replaces the uncommitted revision
    assert chain.head == other.head and chain.tables.tenants.find("late") is None
    assert chain.receipt(draft(PutTenant("late", 1))) is None  # so it can be submitted again


def test_committed_revisions_are_never_replaced() -> None:
    chain, other = new_chain(draft(PutTenant("a", 1))), new_chain(draft(PutTenant("b", 1)))
    other.take_over(SECOND, 0)
    with pytest.raises(BrokenLink, match="revision 2 is committed with another hash"):
        chain.replicate([other.entry(2), other.entry(3)], SECOND)
    with pytest.raises(NotInLog):
        chain.commit(3)
    chain.commit(0)
    assert chain.committed == 2


def test_altered_entry_breaks_the_chain() -> None:
    chain, other = new_chain(), new_chain()
    chain.accept(draft(PutTenant("a", 1)), FIRST, 0)
    entry = chain.last
    altered = [
        replace(entry, revision=replace(entry.revision, unix_time_us=1)),
        replace(entry, digest=entry.digest + 1),
        replace(entry, previous_hash=bytes(16)),
    ]
    for item in altered:
        with pytest.raises(BrokenLink):
            other.replicate([item], FIRST)
    wrong_tables = make_entry(entry.previous_hash, entry.revision, entry.digest + 1)
    removed = replace(entry.revision, draft=draft(RemoveTenant("missing")))
    for item in (wrong_tables, make_entry(entry.previous_hash, removed, entry.digest)):
        with pytest.raises(BrokenLink):
            other.replicate([item], FIRST)
    assert other.head == chain.entry(1).head
    other.replicate([entry], FIRST)
    assert other.head == chain.head


def test_only_committed_entries_after_a_known_head_are_returned() -> None:
    chain = new_chain(*random_drafts(10))
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
def test_snapshot_and_deltas_in_any_batching_give_the_same_tables(data: st.DataObject) -> None:
    chain = new_chain(*random_drafts(12, data.draw(st.integers(0, 5))))
    start = data.draw(st.integers(0, chain.head.number))
    expected, tables = canonical(chain.tables), chain.tables_at(start)
    snapshot = make_snapshot(chain.entry(start), tables)
    previous = (
        load_snapshot(make_snapshot(chain.base, chain.tables_at(0))) if data.draw(st.booleans()) else None
    )
    tables = load_snapshot(snapshot, previous, now=5)
    while start < chain.head.number:
        size = data.draw(st.integers(1, chain.head.number - start))
        editor = TablesEditor(tables, now=5)
        for number in range(start + 1, start + size + 1):
            editor.apply(chain.entry(number).revision.changes)
        tables = editor.build()
        start += size
        assert tables.digest == chain.entry(start).digest
    assert canonical(tables) == expected
    chain.compact(data.draw(st.integers(0, 12)))
    assert make_snapshot(chain.last, chain.tables) == make_snapshot(chain.last, tables)
    assert canonical(chain.tables_at(chain.base.revision.number)) is not None


# snapshots


def test_snapshot_that_does_not_match_the_chain_is_not_loaded() -> None:
    chain = new_chain(*random_drafts(20))
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
    assert canonical(load_snapshot(snapshot)) == canonical(chain.tables)


def test_loaded_snapshot_keeps_the_numbers_of_tenants() -> None:
    chain = new_chain(draft(PutTenant("b", 1), PutTenant("c", 1)))
    before = load_snapshot(make_snapshot(chain.last, chain.tables))
    numbers = {name: before.tenants.find(name) for name in ("b", "c")}
    chain.accept(draft(PutTenant("a", 1), RemoveTenant("b"), change_id="d"), FIRST, 0)
    after = load_snapshot(make_snapshot(chain.last, chain.tables), before, now=10, retired_until=20)
    assert after.tenants.find("c") == numbers["c"] and after.tenants.find("a") not in numbers.values()
    assert after.tenants.find("b") is None and after.tenants.name(numbers["b"] or 0) == "b"


# the subscriber


def subscriber_at(chain: Chain, number: int) -> Subscriber:
    tables = load_snapshot(make_snapshot(chain.entry(number), chain.tables_at(number)))
    return Subscriber(tables, chain.entry(number).head, random.Random(1))


def deltas_between(chain: Chain, first: int, last: int) -> Deltas:
    return make_deltas([chain.entry(number) for number in range(first, last + 1)])


def test_subscriber_applies_new_revisions_and_ignores_known_ones() -> None:
    chain = new_chain(*random_drafts(6))
    subscriber = subscriber_at(chain, 2)
    decision = subscriber.receive_deltas(deltas_between(chain, 1, 4), 0)  # overlapping
    assert isinstance(decision, Apply) and decision.head == chain.entry(4).head == subscriber.head
    assert canonical(subscriber.tables) == canonical(chain.tables_at(4))
    assert subscriber.receive_deltas(deltas_between(chain, 3, 4), 0) == Ignore(Reason.OLD)
    assert subscriber.receive_head(chain.entry(3).head, 0) == Ignore(Reason.OLD)


def test_deltas_are_applied_in_steps_without_interleaving() -> None:
    many = draft(*(PutTenant(f"many-{number}", 1.0) for number in range(50)), change_id="many")
    chain = new_chain(many, draft(change_id="empty"))
    subscriber = subscriber_at(chain, 1)
    steps = subscriber.receive_deltas_in_steps(deltas_between(chain, 2, 3), 0)
    next(steps)
    assert subscriber.receive_deltas(deltas_between(chain, 2, 3), 0) == Ignore(Reason.LOADING)
    assert subscriber.receive_head(chain.head, 0) == Ignore(Reason.LOADING)
    header = make_snapshot(chain.last, chain.tables).header
    assert subscriber.receive_snapshot(header, 0) == subscriber.tick(0) == Ignore(Reason.LOADING)
    steps.close()  # aborted: the subscriber must be unchanged
    assert (subscriber.head, len(subscriber.tables.tenants)) == (chain.entry(1).head, 0)
    steps = subscriber.receive_deltas_in_steps(deltas_between(chain, 2, 3), 0)
    assert [next(steps) for _ in range(3)] == [None] * 3  # 20, 20 and 10 changes
    assert (subscriber.head, len(subscriber.tables.tenants)) == (chain.entry(1).head, 0)
    with pytest.raises(StopIteration) as done:
        next(steps)
    assert isinstance(done.value.value, Apply) and subscriber.head == chain.head
    assert canonical(subscriber.tables) == canonical(chain.tables)


def test_gap_is_requested_once_and_repeated_after_a_timeout() -> None:
    chain = new_chain(*random_drafts(6))
    subscriber = subscriber_at(chain, 2)
    head = chain.entry(2).head
    assert subscriber.receive_deltas(deltas_between(chain, 4, 5), 0) == RequestDeltas(head, Reason.GAP)
    assert subscriber.receive_deltas(deltas_between(chain, 5, 6), 1) == Ignore(Reason.ALREADY_REQUESTED)
    assert subscriber.tick(400_000) == Ignore(Reason.ALREADY_REQUESTED)
    assert subscriber.tick(1_000_000) == RequestDeltas(head, Reason.NO_ANSWER)
    assert isinstance(subscriber.receive_deltas(deltas_between(chain, 3, 7), 1_100_000), Apply)
    assert subscriber.tick(9_000_000) == Ignore(Reason.OLD)


def test_wrong_hash_or_older_chain_requests_a_snapshot_and_changes_nothing() -> None:
    chain = new_chain(*random_drafts(6))
    for bad in (
        Deltas(deltas_between(chain, 3, 4).revisions, bytes(16)),
        Deltas(deltas_between(chain, 3, 4).revisions[:1], chain.entry(4).hash),
        Deltas((chain.entry(3).revision, chain.entry(5).revision), chain.entry(5).hash),
        Deltas(
            (replace(chain.entry(3).revision, draft=draft(RemoveTenant("missing"))),), chain.entry(3).hash
        ),
    ):
        subscriber = subscriber_at(chain, 2)
        assert subscriber.receive_deltas(bad, 0) == RequestSnapshot(Reason.HASH_MISMATCH)
        assert subscriber.head == chain.entry(2).head
        assert canonical(subscriber.tables) == canonical(chain.tables_at(2))
    subscriber = subscriber_at(chain, 2)
    older_revision = replace(chain.entry(3).revision, token=FencingToken())
    assert subscriber.receive_deltas(Deltas((older_revision,), chain.entry(3).hash), 0) == RequestSnapshot(
        Reason.OLDER_CHAIN
    )
    other = new_chain(draft(PutTenant("other", 1)))
    assert subscriber_at(chain, 2).receive_head(other.entry(2).head, 0) == RequestSnapshot(
        Reason.HASH_MISMATCH
    )


def test_older_snapshot_is_ignored() -> None:
    chain = new_chain(*random_drafts(6))
    subscriber = subscriber_at(chain, 4)
    for number in (0, 3, 4):
        header = make_snapshot(chain.entry(number), chain.tables_at(number)).header
        assert isinstance(subscriber.receive_snapshot(header, 0), Ignore)
    abandoned = Chain(chain.base, Tables.empty(LIMITS))
    abandoned.take_over(FencingToken(0, "given up"), 0)
    for number in range(9):
        abandoned.accept(draft(change_id=str(number)), FencingToken(0, "given up"), 0)
    header = make_snapshot(abandoned.last, abandoned.tables).header
    assert header.head.number > chain.head.number
    assert subscriber.receive_snapshot(header, 0) == Ignore(Reason.OLDER_CHAIN)


def test_subscriber_without_a_revision_requests_and_loads_a_snapshot() -> None:
    chain = new_chain(*random_drafts(6))
    subscriber = Subscriber(Tables.empty(LIMITS), None, random.Random(1))
    assert subscriber.receive_deltas(deltas_between(chain, 3, 4), 0) == RequestSnapshot(Reason.NO_REVISION)
    snapshot = make_snapshot(chain.last, chain.tables)
    unsound = replace(snapshot.header, entry=replace(snapshot.header.entry, hash=bytes(16)))
    assert subscriber.receive_snapshot(unsound, 9_000_000) == RequestSnapshot(Reason.LOAD_FAILED)
    decision = subscriber.receive_snapshot(snapshot.header, 1)
    assert isinstance(decision, Load)
    assert subscriber.receive_deltas(deltas_between(chain, 3, 4), 2) == Ignore(Reason.LOADING)
    assert subscriber.tick(29_000_000) == Ignore(Reason.LOADING)
    for part in snapshot.parts:
        list(decision.loader.load_part(part))
    list(decision.loader.finish())
    assert isinstance(subscriber.snapshot_loaded(), Apply)
    assert subscriber.head == chain.head and canonical(subscriber.tables) == canonical(chain.tables)


def test_stalled_snapshot_is_requested_again() -> None:
    chain = new_chain(*random_drafts(6))
    subscriber = Subscriber(Tables.empty(LIMITS), None, random.Random(1))
    assert isinstance(subscriber.receive_snapshot(make_snapshot(chain.last, chain.tables).header, 0), Load)
    assert subscriber.tick(30_000_000) == RequestSnapshot(Reason.LOAD_FAILED)
    assert (subscriber.head, subscriber.snapshot_loaded()) == (None, Ignore(Reason.OLD))


# wire format


def test_messages_survive_an_encoding_round_trip() -> None:
    chain = new_chain(*random_drafts(30))
    snapshot = make_snapshot(chain.last, chain.tables)
    request = RequestDeltas(chain.head, Reason.GAP)
    requests = request, RequestSnapshot(Reason.GAP)
    for message in (
        chain.head,
        chain.last,
        snapshot.header,
        *snapshot.parts,
        *requests,
        deltas_between(chain, 1, 9),
    ):
        assert decode(encode(message)) == message
    frames = list(encode_entries([chain.entry(number) for number in range(1, 32)]))
    assert [decode(frame) for frame in frames] == [deltas_between(chain, 1, 31)]
    kinds = (PutRoute("/r", "write"), RemoveRoute("/r"), RemoveTenant("t"), SetClassLimit("read", 0.5))
    message = Deltas((replace(chain.last.revision, draft=draft(*kinds)),), bytes(16))
    assert decode(encode(message)) == message


def test_large_drafts_are_split_into_several_messages() -> None:
    rng = random.Random(2)
    large = [
        draft(*(PutTenant(f"{n}-{rng.randbytes(120).hex()}", 1.0) for n in range(900)), change_id=str(number))
        for number in range(5)
    ]
    chain = new_chain(*large)
    frames = list(encode_entries([chain.entry(number) for number in range(1, 7)]))
    assert len(frames) > 1
    subscriber = subscriber_at(chain, 0)
    for frame in frames:
        message = decode(frame)
        assert isinstance(message, Deltas) and isinstance(subscriber.receive_deltas(message, 0), Apply)
    assert subscriber.head == chain.head
    parts = make_snapshot(chain.last, chain.tables).parts
    assert max(len(encode(part)) for part in parts) < 200_000


def test_invalid_bytes_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
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
def test_altered_bytes_are_refused_or_decoded(place: int, byte: int, inner: bool) -> None:
    frame = bytearray(encode(deltas_between(new_chain(*random_drafts(2)), 1, 3)))
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


def test_decision_modules_import_no_third_party_library() -> None:
    code = (
        "import sys, limeridge.configuration.subscriber, limeridge.configuration.histories;"
        "print([name for name in ('msgspec', 'zstandard', 'twisted', 'orjson') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


# histories


def test_histories_hold_all_invariants() -> None:
    assert {seed: violation for seed in range(CI_SEEDS) if (violation := run_history(seed)) is not None} == {}


@dataclass(frozen=True)
class Defect:
    """A planted defect: `old`, which occurs exactly once in the module, is replaced by `new` in memory."""

    module: str
    old: str
    new: str


DEFECTS = {
    "hash is not compared": Defect(
        "subscriber", "applied is None or applied.head.hash != deltas.last_hash", "applied is None"
    ),
    "older snapshot is loaded": Defect(
        "subscriber", "if header.head.number <= self.head.number:", "if False:"
    ),
    "snapshot of an older chain is loaded": Defect(
        "subscriber", "if header.head.token < self.head.token:", "if False:"
    ),
    "newer head is not requested": Defect("subscriber", "if head.number > self.head.number:", "if False:"),
    "digest of a snapshot is not compared": Defect(
        "snapshot", " or self._digest != self.header.entry.digest", ""
    ),
    "longest chain wins": Defect("chain", "return self.token, self.number", "return self.number, self.token"),
    "commit index goes back": Defect(
        "chain", "self.committed = max(self.committed, number)", "self.committed = number"
    ),
    "numbers are reused before their retention ends": Defect(
        "tenants", "or self._retirements[0].until > self.now", ""
    ),
    "uncommitted deltas are sent": Defect(
        "chain", "min(first + limit, self.committed - self.base.revision.number)", "first + limit"
    ),
    "promise is not kept": Defect(
        "chain",
        'if token < self.promised:\n            raise StaleToken("a newer',
        'if False:\n            raise StaleToken("a newer',
    ),
    "repeated change id is applied again": Defect(
        "chain", "        if before is None:\n", "        if True:\n"
    ),
    "conflicting uncommitted entries stay": Defect("chain", "self._truncate(number)\n", "continue\n"),
    "change ids of removed entries stay": Defect(
        "chain", "self._change_id_records.pop(entry.revision.draft.change_id, None)", "pass"
    ),
    "compaction keeps the tables of the old base": Defect(
        "chain", "self.base, self._base_tables = base, tables", "self.base = base"
    ),
    "shares are checked one by one": Defect(
        "checks",
        "shares[change.class_name] = change.share\n",
        "shares = {change.class_name: change.share}\n",
    ),
    "shared page of quotas is modified": Defect(
        "columns", "self._pages[page] = self._pages[page][:]", "self._pages[page] = self._pages[page]"
    ),
    "readded name gets a new number": Defect(
        "tenants",
        "        if number is None:\n            number = self._new_number(name, entry)\n",
        "        if number is None or self._quotas.get(number) < 0:\n"
        "            number = self._new_number(name, entry)\n",
    ),
    "digest keeps the previous class of a route": Defect(
        "tables", "None if previous is None else route_digest(prefix, self._limits.names[previous]),", "None,"
    ),
    "removed route is subtracted twice": Defect(
        "routes", "self._depths[prefix_depth(prefix)] -= 1", "self._depths[prefix_depth(prefix)] -= 2"
    ),
}


class DefectFinder(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Imports one module of the package with the defect planted in it."""

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
    """Returns how many histories it takes to find the defect, run by a fresh import; None if all hold."""
    finder = DefectFinder(defect)
    saved_modules = {
        name: sys.modules.pop(name) for name in list(sys.modules) if name.startswith(PACKAGE + ".")
    }
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
        sys.modules.update(saved_modules)
        for name, module in saved_modules.items():  # also restore the attributes of the package
            setattr(sys.modules[PACKAGE], name.removeprefix(PACKAGE + "."), module)


@pytest.mark.parametrize("name", DEFECTS)
def test_planted_defect_is_found(name: str) -> None:
    assert seeds_until_found(DEFECTS[name], range(DEFECT_SEEDS)) is not None
