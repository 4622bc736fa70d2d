"""The soak: short seeded soaks of real processes, and tests of the rules, the verdicts and the planted
defects."""

import subprocess
import sys
from typing import Any

import orjson

from limeridge.sim.mutants import changed
from limeridge.trial import soak_plan, soak_record, soak_table
from limeridge.trial.soak_defects import DEFECTS, found_by

SEEDS = (1, 3, 5, 8)
SECONDS = "1.5"


def test_short_soaks_break_no_rule_and_reach_the_minimum_counts() -> None:
    """Timing faults alone do not fail this test, since an overloaded machine may cause them; their number is
    printed. Requests that are lost, answered twice, or run too late or twice, and logged defects always fail
    it."""
    children = [
        subprocess.Popen(
            [sys.executable, "-m", "limeridge.trial.soak", str(seed), SECONDS, "--no-quiet"],
            stdout=subprocess.PIPE,
        )
        for seed in SEEDS
    ]
    reports: list[dict[str, Any]] = [
        orjson.loads(child.communicate()[0].splitlines()[-1]) for child in children
    ]
    for report in reports:
        timing_faults = [fault["what"] for fault in report["faults"] if fault["soft"]]
        hard_faults = [f"{fault['rule']}: {fault['what']}" for fault in report["faults"] if not fault["soft"]]
        assert not hard_faults, f"seed {report['seed']}: {hard_faults}"
        print(f"seed {report['seed']}: {soak_table.verdict(report)}, {len(timing_faults)} timing faults")
    assert not soak_table.insufficient_counts(reports)


def test_an_empty_report_is_insufficient_and_verdicts_follow_from_the_faults() -> None:
    empty_report = {
        "counts": {},
        "pairs_close": 0,
        "instances": 1,
        "crowd": 0,
        "quiet": 0.0,
        "faults": [],
        "busy": False,
        "most_memory_mb": 1,
        "most_descriptors": 1,
    }
    assert soak_table.verdict(empty_report) == "held"
    assert len(soak_table.insufficient_counts([empty_report])) == len(soak_table.MIN_MEAN_COUNTS)
    late = {"rule": "late", "what": "", "soft": True}
    lost = {"rule": "lost", "what": "", "soft": False}
    for faults, busy, verdict in (
        ([late], True, "machine too busy"),
        ([late], False, "broke"),
        ([late, lost], True, "broke"),
    ):
        assert soak_table.verdict(empty_report | {"faults": faults, "busy": busy}) == verdict
    assert any("| 1 | 1 | 0 | 0 |" in line for line in soak_table.markdown_table([empty_report]))


def test_plans_are_deterministic_and_within_the_limits_of_the_protocol() -> None:
    plans = [soak_plan.draw(seed, 5.0) for seed in range(300)]
    assert plans[7] == soak_plan.draw(7, 5.0) != plans[8]
    for plan in plans:
        for each in plan.instances:
            assert each.persistent_clients + each.crowd_clients <= each.sockets // 2
            assert each.grace < each.stop and each.notice >= plan.seconds
    assert 0.5 < sum(plan.instances[0].crowd_clients > 0 for plan in plans) / len(plans) < 0.8
    assert {len(plan.instances) for plan in plans} == {1, 2, 3}
    assert any(plan.quiet for plan in plans) and not any(
        soak_plan.draw(seed, 5.0, False).quiet for seed in range(99)
    )
    assert any(signal.half_written for plan in plans for each in plan.instances for signal in each.signals)
    assert sum(plan.close_pairs() for plan in plans) > len(plans)


class RecordedRequest:
    """A record with one request that was sent at 100 s and by default has one second left."""

    def __init__(self, wait: float = 1.0, key: str = "") -> None:
        self.record = soak_record.Record()
        self.request = soak_record.Request("ab", 0, "look", key, 100.0, wait)
        self.record.notices[0], self.record.graces[0] = 99.0, 0.5
        self.record.add_sent(self.request)

    def rules(self) -> list[str]:
        return [each.rule for each in self.record.violations()]


def test_the_record_detects_violations_of_each_rule() -> None:
    recorded = RecordedRequest()
    recorded.record.add_answer(recorded.request, "served", 101.04)
    assert not recorded.rules() and recorded.record.counts["served after the notice"] == 1
    recorded.record.add_answer(recorded.request, "served", 101.06)
    assert recorded.rules() == ["late"]
    for wait, rules in ((1.0, ["late"]), (0.02, [])):  # a request with 20 ms may be dropped without an answer
        recorded = RecordedRequest(wait)
        recorded.record.add_timeout(recorded.request)
        assert recorded.rules() == rules
    recorded = RecordedRequest()
    recorded.record.add_duplicate_answer(1)
    assert recorded.rules() == ["twice"]
    recorded = RecordedRequest()
    assert (
        recorded.record.add_connection_end(recorded.request, 100.04, in_order=True, farewell=False)
        and not recorded.rules()
    )
    assert not recorded.record.add_connection_end(recorded.request, 100.04, in_order=False, farewell=False)
    assert recorded.rules() == ["lost"]
    recorded = RecordedRequest()
    assert not recorded.record.add_connection_end(recorded.request, 100.06, in_order=True, farewell=True)
    assert recorded.rules() == ["lost"]
    recorded = RecordedRequest(key="k")
    recorded.record.add_run(0, 0, "ab")
    assert recorded.rules() == ["after the grace"]
    recorded.record.notices.clear()
    recorded.record.add_run(0, 0, "ab")
    assert recorded.rules() == ["after the grace", "key twice"]
    recorded.record.add_run(0, 0, "never asked")
    assert recorded.rules()[-1] == "unknown run"


def test_a_small_share_of_late_answers_is_tolerated() -> None:
    recorded = RecordedRequest()
    recorded.record.counts["requests"] = 1_000
    for _ in range(2):
        recorded.record.add_timeout(recorded.request)
    assert not recorded.rules()
    recorded.record.add_timeout(recorded.request)
    assert recorded.rules() == ["late"] * 3


def test_a_soak_finds_a_planted_defect() -> None:
    """Plants a defect in a copy of the instance; `docs/results/soak.md` lists the results for all defects."""
    [defect] = [each for each in DEFECTS if each.name == "answer-dropped"]
    found = found_by(defect, range(4))
    assert found is not None and found[1] == "lost"


def test_every_defect_can_be_planted_and_compiles() -> None:
    for defect in DEFECTS:
        compile(changed(defect), defect.file, "exec")
    assert len({each.name for each in DEFECTS}) == len(DEFECTS) >= 8
