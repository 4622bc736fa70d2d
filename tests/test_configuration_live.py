"""A revision of the configuration under load: requests see one, what was learnt stays, steps are bounded."""

import json
import tracemalloc
from pathlib import Path
from typing import Any

import orjson
import pytest
from helpers import SAMPLE_CONFIG, BrainHost, InstanceHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from limeridge.brain import TARGET
from limeridge.config import SETTINGS, ConfigError, Setup, parse_setup, reading
from limeridge.configuration.application import FIXED_FOR_MEMBERS, LIVE_SETTINGS, revised
from limeridge.configuration.names import NameTableEditor
from limeridge.configuration.reading import (
    PIECE,
    TURN_WORK,
    BadDocument,
    Document,
    Steps,
    run_through,
    run_turn,
)
from limeridge.configuration.tenants import RETENTION, TenantTableBuilder
from limeridge.histogram import Histogram
from limeridge.interface import Outcome, Stage, Verb

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply"
often = settings(derandomize=True, max_examples=150, deadline=None)
json_values: Any = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 60), 1 << 60)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=4),
    max_leaves=8,
)

# ---- the decisions


def revise(host: BrainHost, **changes: object) -> None:
    new = host.settings | {name.replace("__", "."): value for name, value in changes.items()}
    host.settings = new
    host.brain.revise(host.now, new)


def test_a_request_keeps_the_terms_it_arrived_under_and_the_next_gets_the_new() -> None:
    host = BrainHost(instance__passes_expiry=False)
    before = host.read(patience=0)
    revise(host, products__0__sla_time=100_000, products__0__expiry=200_000, products__0__value=9.0)
    after = host.read(patience=0)
    assert (before.due - before.arrived, before.sla_due - before.arrived) == (4_000_000, 1_000_000)
    assert (after.due - after.arrived, after.sla_due - after.arrived) == (200_000, 100_000)
    assert (before.terms.value, before.terms.target) == (1.0, int(TARGET * 1_000_000))
    assert (after.terms.value, after.terms.target) == (9.0, int(TARGET * 100_000))


def test_a_held_request_is_judged_by_the_hold_target_of_its_own_revision() -> None:
    host = BrainHost()
    txns = host.submit_many(5)
    assert [txn.stage for txn in txns].count(Stage.HELD) == 3
    revise(host, products__0__sla_time=100_000, products__0__expiry=200_000)
    host.pass_time(120_000)  # past the new target, within the old one
    assert not any(txn.answered for txn in txns)


def test_what_was_learnt_survives_a_change_of_limits_as_the_same_times() -> None:
    host = BrainHost()
    for _ in range(20):
        txn = host.submit()
        host.pass_time(300_000)
        host.finish(txn)
        host.apply_decisions()
    product = host.brain.products[0]
    costs, cap = list(product.ladder[0].costs), host.brain.call_cap
    usual, work = product.run_times.quantile(0.5) * 1_000_000, product.work()
    revise(host, products__0__sla_time=2_000_000, instance__skip_values=[0.0])
    assert list(product.ladder[0].costs) == costs and host.brain.call_cap == cap
    assert product.ladder[0].cost > 0 and len(product.ladder) == 2
    assert abs(product.run_times.quantile(0.5) * 2_000_000 - usual) < 0.3 * usual
    assert abs(product.work() - work) < 0.3 * work


def test_rescaled_counts_are_neither_lost_nor_made() -> None:
    histogram = Histogram((1.0, 2.0, 4.0), 100)
    for value in (0.5, 1.5, 3.0, 3.0, 9.0):
        histogram.add(value)
    assert histogram.quantile(0.5) > 1.0
    for factor in (0.3, 7.0, 0.01):
        histogram.rescale(factor)
        assert abs(sum(histogram.counts) - histogram.total) < 1e-9 and min(histogram.counts) >= 0
    assert histogram.quantile(0.9) <= 1.0


def test_a_quota_changes_for_the_next_request_and_its_bucket_does_not_begin_full() -> None:
    host = BrainHost(customers__0__quota_per_s=30.0, group_size=100)
    assert [host.read().over_share for _ in range(6)] == [False] * 4 + [True] * 2
    revise(host, customers__0__quota_per_s=0)
    assert not host.read().over_share
    revise(host, customers__0__quota_per_s=30.0)
    assert host.read().over_share, "away for no time, it has gained nothing"


def test_a_class_that_gets_a_skip_worth_leaves_calls_out_and_an_open_run_of_before_does_not() -> None:
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


def test_bounds_of_calls_follow_the_share_unless_it_is_dealt_out() -> None:
    host = BrainHost()
    revise(host, instance__calls_out=10.0)
    assert host.brain.call_most == 9.0 and host.brain.call_cap <= 9.0
    host.brain.share(host.now, 3)
    revise(host, instance__calls_out=20.0)
    assert host.brain.call_most == 3.0


# ---- the reading


def many(count: int, **more: Any) -> dict[str, Any]:
    accounts = [{"name": f"tenant {number}", "quotaPerS": 30.0} for number in range(count)]
    return SAMPLE_CONFIG | {"settings": SAMPLE_CONFIG["settings"] | {"accounts": accounts}} | more


def pieces(data: bytes) -> list[bytes]:
    return [data[at : at + PIECE] for at in range(0, len(data), PIECE)]


def steps_of(data: bytes, before: Setup | None = None, now: int = 0) -> Steps[Setup]:
    return reading("config", lambda _: pieces(data), before, now)


# Looking at an entry and retiring it takes a quarter of what adding one takes.
RETIRED_MOST = 4 * TURN_WORK


class Counting:
    """Counts what one turn does to the entries of a table, by its calls."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.entries = 0
        for owner, name in (
            (TenantTableBuilder, "add"),
            (TenantTableBuilder, "_retire"),
            (NameTableEditor, "drop"),
        ):
            self.count(monkeypatch, owner, name)

    def count(self, monkeypatch: pytest.MonkeyPatch, owner: type, name: str) -> None:
        real = getattr(owner, name)

        def counted(*given: Any) -> Any:
            self.entries += 1
            return real(*given)

        monkeypatch.setattr(owner, name, counted)

    def turns(self, steps: Steps[Setup]) -> tuple[Setup, list[int]]:
        done, most = None, []
        while done is None:
            self.entries = 0
            done = run_turn(steps)
            most.append(self.entries)
        return done, most


def test_no_turn_works_on_more_than_its_share_of_240_000_tenants(monkeypatch: pytest.MonkeyPatch) -> None:
    counting = Counting(monkeypatch)
    full = orjson.dumps(many(240_000))
    setup, turns = counting.turns(steps_of(full))
    assert len(setup.tenants) == sum(turns) == 240_000 and max(turns) <= TURN_WORK
    assert setup.tenants.quota(setup.tenants.find("tenant 239999") or 0) == 30.0
    again, turns = counting.turns(steps_of(full, setup, 1))
    assert max(turns) <= TURN_WORK and all(
        again.tenants.find(f"tenant {number}") == setup.tenants.find(f"tenant {number}")
        for number in range(0, 240_000, 1_000)
    )
    none, turns = counting.turns(steps_of(orjson.dumps(many(0)), again, 2))
    assert len(none.tenants) == 0 and sum(turns) == 240_000 and max(turns) <= RETIRED_MOST
    far = RETENTION + 10_000_000_000
    empty, turns = counting.turns(steps_of(orjson.dumps(many(1)), none, far))
    assert empty.tenants.retired() == 0 and sum(turns) == 240_000 and max(turns) <= TURN_WORK


def test_no_more_of_the_file_is_held_than_a_few_pieces() -> None:
    data = orjson.dumps(many(40_000))
    tracemalloc.start()
    try:
        document = Document(pieces(data), {"settings.accounts": lambda: lambda item: None})
        before, _ = tracemalloc.get_traced_memory()
        run_through(document.read())
        assert tracemalloc.get_traced_memory()[1] - before < 8 * PIECE < len(data) // 3
    finally:
        tracemalloc.stop()


@often
@given(value=json_values, indent=st.sampled_from([None, 2]), size=st.integers(1, 40))
def test_a_document_is_read_as_the_decoder_reads_it_however_it_is_cut(
    value: Any, indent: int | None, size: int
) -> None:
    data = json.dumps({"a": value, "settings": {"list": [value, value], "b": value}}, indent=indent).encode()
    cut = [data[at : at + size] for at in range(0, len(data), size)]
    assert run_through(Document(cut, {}).read()) == json.loads(data)


@often
@given(data=st.binary(max_size=80) | st.text(alphabet='{}[]",:\\ 0159.eE-ntu', max_size=40).map(str.encode))
def test_no_bytes_do_more_than_be_refused(data: bytes) -> None:
    try:
        found = run_through(Document([data], {}).read())
    except BadDocument as told:
        assert "line " in str(told)
    else:
        assert found == json.loads(data)


@pytest.mark.parametrize(
    ("accounts", "told"),
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
def test_a_fault_in_an_account_is_told_by_its_entry(accounts: Any, told: str) -> None:
    value = SAMPLE_CONFIG | {"settings": SAMPLE_CONFIG["settings"] | {"accounts": accounts}}
    for steps in (lambda: run_through(steps_of(json.dumps(value).encode())), lambda: parse_setup(value)):
        with pytest.raises(ConfigError) as fault:
            steps()
        assert str(fault.value).startswith(f"settings.{told}")


def test_a_file_that_changes_while_it_is_read_is_not_taken(tmp_path: Path) -> None:
    path = tmp_path / "config"
    path.write_bytes(orjson.dumps(many(5_000)))
    steps = reading(str(path))
    assert run_turn(steps) is None
    path.write_bytes(orjson.dumps(many(5_000, name="n2")))
    with pytest.raises(ConfigError, match="it changed"):
        run_through(steps)


# ---- the instance


def reload(net: InstanceHarness, **changes: Any) -> dict[str, Any]:
    """The settings with these changes, by path; gives the log line."""
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
    while net.instance.loading is not None:
        net.reactor.advance(0)
    line: dict[str, Any] = net.log.lines[-1]
    assert line["event"] == "reload"
    return line


def booted() -> InstanceHarness:
    net = InstanceHarness()
    net.boot()
    net.commands()
    return net


def end_run(net: InstanceHarness, ref: str) -> None:
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="ZG9uZQ==")


def test_a_request_open_over_a_swap_keeps_its_deadline_and_its_tenant() -> None:
    net = booted()
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
    assert net.instance.facade.max_read_delays_us[0] == 4_000_000, "it may have been read as late as that"
    assert not net.instance.skips[0]
    [entry] = net.instance.facade.open.values()
    assert entry.txn.terms.expiry == 4_000_000 and entry.txn.due - entry.txn.arrived == 3_000_000
    net.pass_time(0.5)  # past the new deadline
    assert net.answers(caller) == [] and net.commands()[0]["handle"] == ref
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    line_to_records = net.connect("127.0.1.2")
    replies: list[bool] = []
    net.instance.kernel.reply = lambda *given: replies.append(given[-1])  # type: ignore[method-assign]
    line_to_records.dataReceived(REPLY)
    assert replies == [True], "its run may go on without the call, as when it arrived"
    end_run(net, ref)
    assert net.answers(caller)[0]["result"]["doc"] == "ZG9uZQ=="
    net.ask(caller, 2)
    assert net.answers(caller)[0]["error"]["message"] == "unknown tenant"
    net.ask(caller, 3, t="them")
    [entry] = net.instance.facade.open.values()
    assert entry.txn.terms.expiry == 100_000


def test_a_tenant_that_goes_with_requests_open_and_comes_back_has_its_number_and_no_full_bucket() -> None:
    net = booted()
    caller, here = net.caller(), net.instance.setup.tenants
    for number in range(1, 32):
        net.ask(caller, number)
    over = [entry.txn.over_share for entry in net.instance.facade.open.values()]
    assert over.count(False) == 30 and over[-1], "45 a second over 3 instances hold 30 at the most"
    reload(net, accounts=[{"name": "another"}])
    assert net.instance.setup.tenants.find("acme west") is None
    assert net.instance.setup.tenants.find("another") == 1, "not the number of one that may be open"
    other = net.caller()
    net.ask(other, 1, t="another")
    assert not list(net.instance.facade.open.values())[-1].txn.over_share
    reload(net, accounts=SAMPLE_CONFIG["settings"]["accounts"])
    assert net.instance.setup.tenants.find("acme west") == here.find("acme west") == 0
    net.ask(other, 2)
    assert list(net.instance.facade.open.values())[-1].txn.over_share


def test_a_key_remembered_over_a_swap_answers_its_repeat() -> None:
    net = booted()
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


def test_limits_of_classes_change_live_and_what_was_learnt_stays() -> None:
    net = booted()
    caller = net.caller()
    for number in range(1, 6):
        ref = net.ask(caller, number)
        net.commands()
        net.pass_time(0.1)
        end_run(net, ref)
    brain = net.instance.facade.brain
    look = brain.products[0]
    costs, cap, usual = list(look.ladder[0].costs), brain.call_cap, look.run_times.quantile(0.5)
    reload(net, classes__0__aim=2_000_000, classes__0__worth=5.0, familyInfo__classSkipWorth=[0.0, 0.25])
    assert brain.products[0] is look and (look.terms.sla_time, look.terms.value) == (2_000_000, 5.0)
    assert list(look.ladder[0].costs) == costs and brain.call_cap == cap and costs
    assert abs(2 * look.run_times.quantile(0.5) - usual) < 0.5 * usual
    assert [product.terms.skip_value for product in brain.products] == [0.0, 0.25]
    assert net.instance.skips == [False, True]


def test_a_setting_that_the_file_has_no_more_goes_back_to_its_default() -> None:
    net = booted()
    reload(net, groupSize=7, classes__0__worth=9.0, ceilings__maxRetryAfter=5)
    brain = net.instance.facade.brain
    assert brain.settings["group_size"] == 7 and brain.products[0].terms.value == 9.0
    line = reload(net, groupSize=None, classes__0__worth=None, ceilings=None, accounts=None)
    assert line["needs_restart"] == [] and "group_size" not in brain.settings
    assert brain.products[0].terms.value == 1.0 and "limits.come_back_after" not in brain.settings
    assert len(net.instance.setup.tenants) == 0 and net.instance.setup.tenants.quota(0) == 0.0


def test_what_can_t_change_live_is_told_by_name_and_stays() -> None:
    net = booted()
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
    assert reload(net)["needs_restart"] == line["needs_restart"], "and told again"


def test_classes_added_or_removed_wait_for_a_restart_and_the_others_change_by_name() -> None:
    net = booted()
    look, book = (dict(each) for each in SAMPLE_CONFIG["settings"]["classes"])
    book["worth"] = 8.0
    line = reload(net, classes=[book | {"name": "new"}, book], familyInfo__classSkipWorth=[0.9, 0.4])
    assert line["needs_restart"] == ["settings.classes"] and net.instance.setup.products == ("look", "book")
    terms = [product.terms for product in net.instance.facade.brain.products]
    assert [(each.value, each.skip_value) for each in terms] == [(look["worth"], 0.5), (8.0, 0.4)]
    caller = net.caller()
    net.ask(caller, 1, "new")
    assert net.answers(caller)[0]["error"]["message"] == "unknown class"


def test_every_setting_is_either_live_or_told() -> None:
    assert set(SETTINGS) >= LIVE_SETTINGS and {"accounts", "familyInfo.cpus"}.isdisjoint(LIVE_SETTINGS)
    assert FIXED_FOR_MEMBERS < LIVE_SETTINGS
    old = parse_setup(SAMPLE_CONFIG)
    longer = [each | {"deadline": 9_000_000} for each in SAMPLE_CONFIG["settings"]["classes"]]
    new = parse_setup(SAMPLE_CONFIG | {"settings": SAMPLE_CONFIG["settings"] | {"classes": longer}})
    assert revised(old, new).needs_restart == () and revised(old, new).setup.plain == new.plain
    members = revised(old, new, FIXED_FOR_MEMBERS)
    assert members.needs_restart == ("settings.classes.0.deadline", "settings.classes.1.deadline")
    assert members.setup.plain == old.plain


@pytest.mark.parametrize("spoil", ["half", "bad", "twice", "no list"])
def test_a_file_that_can_t_be_used_changes_nothing_of_the_tenants(spoil: str) -> None:
    net = booted()
    setup, settings = net.instance.setup, net.instance.facade.brain.settings
    bad = many(3_000, records="127.0.3.2:8901")
    accounts = bad["settings"]["accounts"]
    if spoil == "bad":
        accounts[2_900]["quotaPerS"] = "many"
    elif spoil == "twice":
        accounts.append(accounts[0])
    elif spoil == "no list":
        bad["settings"]["accounts"] = {}
    data = orjson.dumps(bad)
    net.instance.reread = lambda before, now: steps_of(
        data[:60_000] if spoil == "half" else data, before, now
    )
    net.instance.reload()
    net.pass_time(0.4)
    [line] = [line for line in net.log.lines if line["event"] == "reload"]
    assert (line["code"], line["tries_left"]) == ("unusable", 6)
    assert net.instance.setup is setup and net.instance.facade.brain.settings is settings
    assert net.instance.callers.decoder.tenants is setup.tenants
    good = orjson.dumps(many(3_000, records="127.0.3.2:8901"))
    net.instance.reread = lambda before, now: steps_of(good, before, now)
    net.pass_time(2.0)
    assert net.log.codes("reload") == ["unusable", "taken"] and len(net.instance.setup.tenants) == 3_000


def test_requests_are_served_by_the_old_revision_while_a_reload_goes_on_and_a_second_one_starts_over() -> (
    None
):
    net = booted()
    caller, before = net.caller(), net.instance.setup
    net.file = many(2_000)
    net.instance.reload()
    assert net.instance.loading is not None and net.instance.setup is before
    net.ask(caller, 1)
    assert len(net.instance.facade.open) == 1, "its tenant is known in the old revision alone"
    net.file = many(1_000)
    net.instance.reload()
    assert net.instance.loading is not None and net.instance.setup is before
    net.pass_time(1.0)
    assert net.log.codes("reload") == ["taken"] and len(net.instance.setup.tenants) == 1_000
    net.ask(caller, 2)
    assert net.answers(caller)[0]["error"]["message"] == "unknown tenant"
    net.ask(caller, 3, t="tenant 7")
    assert len(net.instance.facade.open) == 2


def test_a_reload_goes_on_in_a_drain_and_ends_with_the_instance() -> None:
    net = booted()
    net.file = many(1_000)
    net.instance.leave()
    net.instance.reload()
    net.pass_time(0.2)
    assert net.log.codes("reload") == ["taken"] and net.instance.leaving
    net.instance.reload()
    net.instance.stop()
    net.pass_time(0.2)
    assert net.log.codes("reload") == ["taken"] and net.instance.loading is None
