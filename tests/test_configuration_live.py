"""A revision of the configuration under load: requests see one, what was learnt stays, steps are bounded."""

from helpers import Host

from limeridge.brain import TARGET
from limeridge.histogram import Histogram
from limeridge.interface import Outcome, Stage, Verb

# ---- the decisions


def revise(host: Host, **changes: object) -> None:
    new = host.settings | {name.replace("__", "."): value for name, value in changes.items()}
    host.settings = new
    host.brain.revise(host.now, new)


def test_a_request_keeps_the_terms_it_arrived_under_and_the_next_gets_the_new() -> None:
    host = Host(instance__passes_expiry=False)
    before = host.read(patience=0)
    revise(host, products__0__sla_time=100_000, products__0__expiry=200_000, products__0__value=9.0)
    after = host.read(patience=0)
    assert (before.due - before.arrived, before.sla_due - before.arrived) == (4_000_000, 1_000_000)
    assert (after.due - after.arrived, after.sla_due - after.arrived) == (200_000, 100_000)
    assert (before.terms.value, before.terms.target) == (1.0, int(TARGET * 1_000_000))
    assert (after.terms.value, after.terms.target) == (9.0, int(TARGET * 100_000))


def test_a_held_request_is_judged_by_the_hold_target_of_its_own_revision() -> None:
    host = Host()
    txns = host.crowd(5)
    assert [txn.stage for txn in txns].count(Stage.HELD) == 3
    revise(host, products__0__sla_time=100_000, products__0__expiry=200_000)
    host.pass_time(120_000)  # past the new target, within the old one
    assert not any(txn.answered for txn in txns)


def test_what_was_learnt_survives_a_change_of_limits_as_the_same_times() -> None:
    host = Host()
    for _ in range(20):
        txn = host.take()
        host.pass_time(300_000)
        host.finish(txn)
        host.pull()
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
    host = Host(customers__0__quota_per_s=30.0, group_size=100)
    assert [host.read().over_share for _ in range(6)] == [False] * 4 + [True] * 2
    revise(host, customers__0__quota_per_s=0)
    assert not host.read().over_share
    revise(host, customers__0__quota_per_s=30.0)
    assert host.read().over_share, "away for no time, it has gained nothing"


def test_a_class_that_gets_a_skip_worth_leaves_calls_out_and_an_open_run_of_before_does_not() -> None:
    host = Host(instance__skip_values=[0.0])
    before = host.take()
    revise(host, instance__skip_values=[0.5])
    after = host.take()
    for txn in (before, after):
        host.block(txn)
        host.pass_time(10_000)
        host.call_ends(txn, Outcome.ERROR)
        host.pull()
    skipped = [decision.txn for decision in host.seen if decision.verb is Verb.SKIP]
    assert after in skipped and before not in skipped


def test_bounds_of_calls_follow_the_share_unless_it_is_dealt_out() -> None:
    host = Host()
    revise(host, instance__calls_out=10.0)
    assert host.brain.call_most == 9.0 and host.brain.call_cap <= 9.0
    host.brain.share(host.now, 3)
    revise(host, instance__calls_out=20.0)
    assert host.brain.call_most == 3.0
