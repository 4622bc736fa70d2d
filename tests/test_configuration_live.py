"""Live configuration changes: a request sees one revision, learned state is kept, steps are bounded."""

import json
import tracemalloc
from pathlib import Path
from typing import Any

import orjson
import pytest
from helpers import SAMPLE_CONFIG, BrainHost, InstanceHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from limeridge.brain import HOLD_TARGET
from limeridge.config import SETTINGS, ConfigError, Setup, parse_setup, reading
from limeridge.configuration.application import FIXED_FOR_MEMBERS, LIVE_SETTINGS, plan_revision
from limeridge.configuration.names import NameTableEditor
from limeridge.configuration.reading import (
    CHUNK_BYTES,
    WORK_PER_TURN,
    BadDocument,
    Document,
    Steps,
    run_to_completion,
    run_turn,
)
from limeridge.configuration.tenants import RETENTION_US, TenantTableBuilder
from limeridge.histogram import Histogram
from limeridge.interface import Outcome, Stage, Verb

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply"
many_examples = settings(derandomize=True, max_examples=150, deadline=None)
json_values: Any = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 60), 1 << 60)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=4),
    max_leaves=8,
)

# ---- decisions of the brain


def revise(host: BrainHost, **changes: object) -> None:
    new = host.settings | {name.replace("__", "."): value for name, value in changes.items()}
    host.settings = new
    host.brain.update_settings(host.now, new)


def test_open_request_keeps_the_terms_of_its_revision() -> None:
    host = BrainHost(instance__passes_expiry=False)
    before = host.read(max_wait=0)
    revise(host, products__0__sla_time=100_000, products__0__expiry=200_000, products__0__value=9.0)
    after = host.read(max_wait=0)
    assert (before.due - before.arrived_at, before.sla_due - before.arrived_at) == (4_000_000, 1_000_000)
    assert (after.due - after.arrived_at, after.sla_due - after.arrived_at) == (200_000, 100_000)
    assert (before.terms.value, before.terms.target) == (1.0, int(HOLD_TARGET * 1_000_000))
    assert (after.terms.value, after.terms.target) == (9.0, int(HOLD_TARGET * 100_000))


def test_held_request_keeps_the_hold_target_of_its_revision() -> None:
    host = BrainHost()
    txns = host.submit_many(5)
    assert [txn.stage for txn in txns].count(Stage.HELD) == 3
    revise(host, products__0__sla_time=100_000, products__0__expiry=200_000)
    host.pass_time(120_000)  # past the new target, within the old one
    assert not any(txn.answered for txn in txns)


def test_learned_times_are_preserved_when_limits_change() -> None:
    host = BrainHost()
    for _ in range(20):
        txn = host.submit()
        host.pass_time(300_000)
        host.finish(txn)
        host.apply_decisions()
    product = host.brain.products[0]
    costs, cap = list(product.ladder[0].costs), host.brain.call_bound
    usual, work = product.run_times.quantile(0.5) * 1_000_000, product.typical_core_seconds()
    revise(host, products__0__sla_time=2_000_000, instance__skip_values=[0.0])
    assert list(product.ladder[0].costs) == costs and host.brain.call_bound == cap
    assert product.ladder[0].cost > 0 and len(product.ladder) == 2
    assert abs(product.run_times.quantile(0.5) * 2_000_000 - usual) < 0.3 * usual
    assert abs(product.typical_core_seconds() - work) < 0.3 * work


def test_rescaling_a_histogram_preserves_its_total() -> None:
    histogram = Histogram((1.0, 2.0, 4.0), 100)
    for value in (0.5, 1.5, 3.0, 3.0, 9.0):
        histogram.add(value)
    assert histogram.quantile(0.5) > 1.0
    for factor in (0.3, 7.0, 0.01):
        histogram.rescale(factor)
        assert abs(sum(histogram.counts) - histogram.total) < 1e-9 and min(histogram.counts) >= 0
    assert histogram.quantile(0.9) <= 1.0


def test_quota_change_applies_to_the_next_request_without_a_full_bucket() -> None:
    host = BrainHost(customers__0__quota_per_s=30.0, group_size=100)
    assert [host.read().over_share for _ in range(6)] == [False] * 4 + [True] * 2
    revise(host, customers__0__quota_per_s=0)
    assert not host.read().over_share
    revise(host, customers__0__quota_per_s=30.0)
    assert host.read().over_share, "no time has passed, so the bucket must not have gained tokens"


def test_skip_worth_applies_to_new_requests_only() -> None:
    host = BrainHost(instance__skip_values=[0.0])
    before = host.submit()
    revise(host, instance__skip_values=[0.5])
    after = host.submit()
    for txn in (before, after):
        host.block(txn)
        host.pass_time(10_000)
        host.call_ends(txn, Outcome.ERROR)
        host.apply_decisions()
    skipped = [decision.txn for decision in host.seen if decision.verb is Verb.SKIP]
    assert after in skipped and before not in skipped


def test_call_limit_follows_the_setting_unless_a_share_is_allotted() -> None:
    host = BrainHost()
    revise(host, instance__calls_out=10.0)
    assert host.brain.max_call_bound == 9.0 and host.brain.call_bound <= 9.0
    host.brain.set_call_share(host.now, 3)
    revise(host, instance__calls_out=20.0)
    assert host.brain.max_call_bound == 3.0


# ---- incremental reading


def sample_configuration(count: int, **more: Any) -> dict[str, Any]:
    accounts = [{"name": f"tenant {number}", "quotaPerS": 30.0} for number in range(count)]
    return SAMPLE_CONFIG | {"settings": SAMPLE_CONFIG["settings"] | {"accounts": accounts}} | more


def chunks_of(data: bytes) -> list[bytes]:
    return [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]


def steps_of(data: bytes, before: Setup | None = None, now: int = 0) -> Steps[Setup]:
    return reading("config", lambda _: chunks_of(data), before, now)


# Examining and retiring an entry takes a quarter of the time of adding one.
MAX_RETIRED_PER_TURN = 4 * WORK_PER_TURN


class EntryCounter:
    """Counts the entries that one turn adds, retires or drops, by intercepting these calls."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.entries = 0
        for owner, name in (
            (TenantTableBuilder, "add"),
            (TenantTableBuilder, "_retire"),
            (NameTableEditor, "drop"),
        ):
            self.count_calls(monkeypatch, owner, name)

    def count_calls(self, monkeypatch: pytest.MonkeyPatch, owner: type, name: str) -> None:
        original = getattr(owner, name)

        def counted(*args: Any) -> Any:
            self.entries += 1
            return original(*args)

        monkeypatch.setattr(owner, name, counted)

    def turns(self, steps: Steps[Setup]) -> tuple[Setup, list[int]]:
        done, counts = None, []
        while done is None:
            self.entries = 0
            done = run_turn(steps)
            counts.append(self.entries)
        return done, counts


def test_work_per_turn_is_bounded_with_240_000_tenants(monkeypatch: pytest.MonkeyPatch) -> None:
    counter = EntryCounter(monkeypatch)
    full = orjson.dumps(sample_configuration(240_000))
    setup, turns = counter.turns(steps_of(full))
    assert len(setup.tenants) == sum(turns) == 240_000 and max(turns) <= WORK_PER_TURN
    assert setup.tenants.quota(setup.tenants.find("tenant 239999") or 0) == 30.0
    again, turns = counter.turns(steps_of(full, setup, 1))
    assert max(turns) <= WORK_PER_TURN and all(
        again.tenants.find(f"tenant {number}") == setup.tenants.find(f"tenant {number}")
        for number in range(0, 240_000, 1_000)
    )
    none, turns = counter.turns(steps_of(orjson.dumps(sample_configuration(0)), again, 2))
    assert len(none.tenants) == 0 and sum(turns) == 240_000 and max(turns) <= MAX_RETIRED_PER_TURN
    after_retention = RETENTION_US + 10_000_000_000
    empty, turns = counter.turns(steps_of(orjson.dumps(sample_configuration(1)), none, after_retention))
    assert empty.tenants.retired_count() == 0 and sum(turns) == 240_000 and max(turns) <= WORK_PER_TURN


def test_reader_buffers_only_a_few_chunks_of_the_file() -> None:
    data = orjson.dumps(sample_configuration(40_000))
    tracemalloc.start()
    try:
        document = Document(chunks_of(data), {"settings.accounts": lambda: lambda item: None})
        before, _ = tracemalloc.get_traced_memory()
        run_to_completion(document.read())
        assert tracemalloc.get_traced_memory()[1] - before < 8 * CHUNK_BYTES < len(data) // 3
    finally:
        tracemalloc.stop()


@many_examples
@given(value=json_values, indent=st.sampled_from([None, 2]), size=st.integers(1, 40))
def test_document_matches_json_loads_for_any_chunking(value: Any, indent: int | None, size: int) -> None:
    data = json.dumps({"a": value, "settings": {"list": [value, value], "b": value}}, indent=indent).encode()
    chunks = [data[at : at + size] for at in range(0, len(data), size)]
    assert run_to_completion(Document(chunks, {}).read()) == json.loads(data)


@many_examples
@given(data=st.binary(max_size=80) | st.text(alphabet='{}[]",:\\ 0159.eE-ntu', max_size=40).map(str.encode))
def test_arbitrary_bytes_are_decoded_or_refused(data: bytes) -> None:
    try:
        found = run_to_completion(Document([data], {}).read())
    except BadDocument as error:
        assert "line " in str(error)
    else:
        assert found == json.loads(data)


@pytest.mark.parametrize(
    ("accounts", "expected"),
    [
        ([{"name": "a"}, {"name": "b"}, {"name": "a"}], "accounts.2.name: expected a name of its own"),
        ([{"name": "a"}, None], "accounts.1: expected an item, it is null"),
        ([{"name": "a"}, 7], "accounts.1: expected an object"),
        ([{"name": "a"}, {}], "accounts.1.name: expected a text, it is missing"),
        ([{"name": ""}], "accounts.0.name: expected a text of 1 to 256 characters"),
        ([{"name": "a", "quotaPerS": -1}], "accounts.0.quotaPerS: expected a number from 0 to 1e+12"),
        ([{"name": "a", "quotaPerS": False}], "accounts.0.quotaPerS: expected a number"),
        ([{"name": "\ud800"}], "accounts.0.name: expected a text of whole characters"),
        ("all", "accounts: expected a list"),
    ],
)
def test_account_fault_names_the_entry(accounts: Any, expected: str) -> None:
    value = SAMPLE_CONFIG | {"settings": SAMPLE_CONFIG["settings"] | {"accounts": accounts}}
    for steps in (
        lambda: run_to_completion(steps_of(json.dumps(value).encode())),
        lambda: parse_setup(value),
    ):
        with pytest.raises(ConfigError) as fault:
            steps()
        assert str(fault.value).startswith(f"settings.{expected}")


def test_file_that_changes_during_reading_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "config"
    path.write_bytes(orjson.dumps(sample_configuration(5_000)))
    steps = reading(str(path))
    assert run_turn(steps) is None
    path.write_bytes(orjson.dumps(sample_configuration(5_000, name="n2")))
    with pytest.raises(ConfigError, match="it changed"):
        run_to_completion(steps)


# ---- reloads of an instance


def reload(net: InstanceHarness, **changes: Any) -> dict[str, Any]:
    """Reloads with these settings changed, by path, and returns the log line."""
    net.file = json.loads(json.dumps(net.file))
    for path, value in changes.items():
        *holders, last = path.split("__")
        at: Any = net.file["settings"]
        for part in holders:
            at = at[int(part) if part.isdecimal() else part]
        if value is None:
            at.pop(last, None)
        else:
            at[last] = value
    net.instance.reload()
    while net.instance.pending_load is not None:
        net.reactor.advance(0)
    line: dict[str, Any] = net.log.lines[-1]
    assert line["event"] == "reload"
    return line


def boot_instance() -> InstanceHarness:
    net = InstanceHarness()
    net.boot()
    net.commands()
    return net


def end_run(net: InstanceHarness, ref: str) -> None:
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="ZG9uZQ==")


def test_request_open_during_a_reload_keeps_its_deadline_and_tenant() -> None:
    net = boot_instance()
    caller = net.caller()
    ref = net.ask(caller, 1)
    line = reload(
        net,
        classes__0__aim=50_000,
        classes__0__deadline=100_000,
        accounts=[{"name": "them", "quotaPerS": 9.0}],
    )
    assert (line["code"], line["needs_restart"]) == ("taken", [])
    reload(net, familyInfo__classSkipWorth=[0.0, 0.0], familyInfo__idle=7_000_000)
    assert net.instance.idle_limit() == 7_000_000
    assert net.instance.facade.max_read_delays_us[0] == 4_000_000, (
        "the skew must allow for requests read under the old deadline"
    )
    assert not net.instance.skippable_calls[0]
    [entry] = net.instance.facade.open.values()
    assert entry.txn.terms.expiry == 4_000_000 and entry.txn.due - entry.txn.arrived_at == 3_000_000
    net.pass_time(0.5)  # past the new deadline
    assert net.answers(caller) == [] and net.commands()[0]["handle"] == ref
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    line_to_records = net.connect("127.0.1.2")
    replies: list[bool] = []
    net.instance.kernel.reply = lambda *args: replies.append(args[-1])  # type: ignore[method-assign]
    line_to_records.dataReceived(REPLY)
    assert replies == [True], "the run must still be allowed to continue without the call, as on arrival"
    end_run(net, ref)
    assert net.answers(caller)[0]["result"]["doc"] == "ZG9uZQ=="
    net.ask(caller, 2)
    assert net.answers(caller)[0]["error"]["message"] == "unknown tenant"
    net.ask(caller, 3, t="them")
    [entry] = net.instance.facade.open.values()
    assert entry.txn.terms.expiry == 100_000


def test_tenant_removed_and_readded_keeps_its_number_and_bucket_level() -> None:
    net = boot_instance()
    caller, here = net.caller(), net.instance.setup.tenants
    for number in range(1, 32):
        net.ask(caller, number)
    over = [entry.txn.over_share for entry in net.instance.facade.open.values()]
    assert over.count(False) == 30 and over[-1], "a quota of 45/s over 3 instances gives a bucket of 30"
    reload(net, accounts=[{"name": "another"}])
    assert net.instance.setup.tenants.find("acme west") is None
    assert net.instance.setup.tenants.find("another") == 1, (
        "must not reuse the number of a tenant with open requests"
    )
    other = net.caller()
    net.ask(other, 1, t="another")
    assert not list(net.instance.facade.open.values())[-1].txn.over_share
    reload(net, accounts=SAMPLE_CONFIG["settings"]["accounts"])
    assert net.instance.setup.tenants.find("acme west") == here.find("acme west") == 0
    net.ask(other, 2)
    assert list(net.instance.facade.open.values())[-1].txn.over_share


def test_idempotency_key_survives_a_reload() -> None:
    net = boot_instance()
    caller = net.caller()
    ref = net.ask(caller, 1, "book", k="once")
    net.commands()
    end_run(net, ref)
    assert net.answers(caller)[0]["result"]["doc"] == "ZG9uZQ=="
    reload(
        net,
        classes__1__keyTtl=1,
        classes__1__worth=7.0,
        accounts=[*SAMPLE_CONFIG["settings"]["accounts"], {"name": "x"}],
    )
    net.ask(caller, 2, "book", k="once", r=1)
    assert net.answers(caller)[0]["result"]["doc"] == "ZG9uZQ==" and net.commands() == []


def test_class_limits_change_live_and_learned_state_is_kept() -> None:
    net = boot_instance()
    caller = net.caller()
    for number in range(1, 6):
        ref = net.ask(caller, number)
        net.commands()
        net.pass_time(0.1)
        end_run(net, ref)
    brain = net.instance.facade.brain
    look = brain.products[0]
    costs, cap, usual = list(look.ladder[0].costs), brain.call_bound, look.run_times.quantile(0.5)
    reload(net, classes__0__aim=2_000_000, classes__0__worth=5.0, familyInfo__classSkipWorth=[0.0, 0.25])
    assert brain.products[0] is look and (look.terms.sla_time, look.terms.value) == (2_000_000, 5.0)
    assert list(look.ladder[0].costs) == costs and brain.call_bound == cap and costs
    assert abs(2 * look.run_times.quantile(0.5) - usual) < 0.5 * usual
    assert [product.terms.skip_value for product in brain.products] == [0.0, 0.25]
    assert net.instance.skippable_calls == [False, True]


def test_removed_setting_returns_to_its_default() -> None:
    net = boot_instance()
    reload(net, groupSize=7, classes__0__worth=9.0, ceilings__maxRetryAfter=5)
    brain = net.instance.facade.brain
    assert brain.settings["group_size"] == 7 and brain.products[0].terms.value == 9.0
    line = reload(net, groupSize=None, classes__0__worth=None, ceilings=None, accounts=None)
    assert line["needs_restart"] == [] and "group_size" not in brain.settings
    assert brain.products[0].terms.value == 1.0 and "limits.come_back_after" not in brain.settings
    assert len(net.instance.setup.tenants) == 0 and net.instance.setup.tenants.quota(0) == 0.0


def test_settings_that_need_a_restart_are_reported_and_unchanged() -> None:
    net = boot_instance()
    classes = [dict(each) for each in SAMPLE_CONFIG["settings"]["classes"]]
    classes[1]["idempotency"] = "free"
    net.file |= {"seed": "ab", "name": "n2", "limits": {"sockets": 900}}
    line = reload(net, classes=classes, familyInfo__cpus=9, familyInfo__memoryKb=9.0, groupSize=8)
    assert line["needs_restart"] == [
        "name",
        "seed",
        "sockets",
        "settings.familyInfo.cpus",
        "settings.familyInfo.memoryKb",
        "settings.classes.1.idempotency",
    ]
    brain = net.instance.facade.brain
    assert (brain.cores, brain.settings["instance.cores"], brain.settings["group_size"]) == (2, 2, 8)
    assert brain.products[1].kind == "referenced" and brain.settings["products.1.kind"] == "referenced"
    assert reload(net)["needs_restart"] == line["needs_restart"], "must be reported at each reload"


def test_added_or_removed_classes_need_a_restart_while_others_change_live() -> None:
    net = boot_instance()
    look, book = (dict(each) for each in SAMPLE_CONFIG["settings"]["classes"])
    book["worth"] = 8.0
    line = reload(net, classes=[book | {"name": "new"}, book], familyInfo__classSkipWorth=[0.9, 0.4])
    assert line["needs_restart"] == ["settings.classes"] and net.instance.setup.products == ("look", "book")
    terms = [product.terms for product in net.instance.facade.brain.products]
    assert [(each.value, each.skip_value) for each in terms] == [(look["worth"], 0.5), (8.0, 0.4)]
    caller = net.caller()
    net.ask(caller, 1, "new")
    assert net.answers(caller)[0]["error"]["message"] == "unknown class"


def test_every_setting_is_live_or_reported() -> None:
    assert set(SETTINGS) >= LIVE_SETTINGS and {"accounts", "familyInfo.cpus"}.isdisjoint(LIVE_SETTINGS)
    assert FIXED_FOR_MEMBERS < LIVE_SETTINGS
    old = parse_setup(SAMPLE_CONFIG)
    longer = [each | {"deadline": 9_000_000} for each in SAMPLE_CONFIG["settings"]["classes"]]
    new = parse_setup(SAMPLE_CONFIG | {"settings": SAMPLE_CONFIG["settings"] | {"classes": longer}})
    assert plan_revision(old, new).needs_restart == () and plan_revision(old, new).setup.plain == new.plain
    members = plan_revision(old, new, FIXED_FOR_MEMBERS)
    assert members.needs_restart == ("settings.classes.0.deadline", "settings.classes.1.deadline")
    assert members.setup.plain == old.plain


@pytest.mark.parametrize("defect", ["half", "bad", "twice", "no list"])
def test_unusable_file_leaves_the_tenants_unchanged(defect: str) -> None:
    net = boot_instance()
    setup, settings = net.instance.setup, net.instance.facade.brain.settings
    bad = sample_configuration(3_000, records="127.0.3.2:8901")
    accounts = bad["settings"]["accounts"]
    if defect == "bad":
        accounts[2_900]["quotaPerS"] = "many"
    elif defect == "twice":
        accounts.append(accounts[0])
    elif defect == "no list":
        bad["settings"]["accounts"] = {}
    data = orjson.dumps(bad)
    net.instance.read_setup = lambda before, now: steps_of(
        data[:60_000] if defect == "half" else data, before, now
    )
    net.instance.reload()
    net.pass_time(0.4)
    [line] = [line for line in net.log.lines if line["event"] == "reload"]
    assert (line["code"], line["tries_left"]) == ("unusable", 6)
    assert net.instance.setup is setup and net.instance.facade.brain.settings is settings
    assert net.instance.callers.decoder.tenants is setup.tenants
    good = orjson.dumps(sample_configuration(3_000, records="127.0.3.2:8901"))
    net.instance.read_setup = lambda before, now: steps_of(good, before, now)
    net.pass_time(2.0)
    assert net.log.codes("reload") == ["unusable", "taken"] and len(net.instance.setup.tenants) == 3_000


def test_old_revision_serves_during_a_reload_and_a_second_reload_restarts_it() -> None:
    net = boot_instance()
    caller, before = net.caller(), net.instance.setup
    net.file = sample_configuration(2_000)
    net.instance.reload()
    assert net.instance.pending_load is not None and net.instance.setup is before
    net.ask(caller, 1)
    assert len(net.instance.facade.open) == 1, "its tenant exists only in the old revision"
    net.file = sample_configuration(1_000)
    net.instance.reload()
    assert net.instance.pending_load is not None and net.instance.setup is before
    net.pass_time(1.0)
    assert net.log.codes("reload") == ["taken"] and len(net.instance.setup.tenants) == 1_000
    net.ask(caller, 2)
    assert net.answers(caller)[0]["error"]["message"] == "unknown tenant"
    net.ask(caller, 3, t="tenant 7")
    assert len(net.instance.facade.open) == 2


def test_reload_continues_during_a_drain_and_is_aborted_at_stop() -> None:
    net = boot_instance()
    net.file = sample_configuration(1_000)
    net.instance.start_drain()
    net.instance.reload()
    net.pass_time(0.2)
    assert net.log.codes("reload") == ["taken"] and net.instance.draining
    net.instance.reload()
    net.instance.stop()
    net.pass_time(0.2)
    assert net.log.codes("reload") == ["taken"] and net.instance.pending_load is None
