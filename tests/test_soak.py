"""The soak: a short seeded one of real processes, and what its judging can and can't pass over."""

import subprocess
import sys
from typing import Any

import orjson

from limeridge.sim.mutants import changed
from limeridge.trial import soak_plan, soak_record, soak_table
from limeridge.trial.soak_defects import DEFECTS, found_by

SEEDS = (1, 3, 5, 8)
SECONDS = "1.5"


def test_a_short_soak_breaks_no_rule_and_meets_what_it_is_for() -> None:
    """Matters of time alone are no verdict here: a machine too busy is told, and passes. What is lost,
    answered twice, run too late or twice, or logged as a defect fails whatever the machine did."""
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
        soft = [fault["what"] for fault in report["faults"] if fault["soft"]]
        hard = [f"{fault['rule']}: {fault['what']}" for fault in report["faults"] if not fault["soft"]]
        assert not hard, f"seed {report['seed']}: {hard}"
        print(f"seed {report['seed']}: {soak_table.verdict(report)}, {len(soft)} matters of time")
    assert not soak_table.insufficient_counts(reports)


def test_a_soak_that_met_nothing_is_seen_as_that() -> None:
    nothing = {
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
    assert soak_table.verdict(nothing) == "held"
    assert len(soak_table.insufficient_counts([nothing])) == len(soak_table.MIN_MEAN_COUNTS)
    late = {"rule": "late", "what": "", "soft": True}
    lost = {"rule": "lost", "what": "", "soft": False}
    for faults, busy, verdict in (
        ([late], True, "machine too busy"),
        ([late], False, "broke"),
        ([late, lost], True, "broke"),
    ):
        assert soak_table.verdict(nothing | {"faults": faults, "busy": busy}) == verdict
    assert any("| 1 | 1 | 0 | 0 |" in line for line in soak_table.markdown_table([nothing]))


def test_a_plan_is_the_seed_s_and_keeps_to_the_protocol() -> None:
    plans = [soak_plan.draw(seed, 5.0) for seed in range(300)]
    assert plans[7] == soak_plan.draw(7, 5.0) != plans[8]
    for plan in plans:
        for each in plan.instances:
            assert each.persistent_clients + each.crowd_clients <= each.sockets // 2
            assert each.grace < each.stop and each.notice >= plan.seconds
    assert 0.5 < sum(plan.instances[0].crowd_clients > 0 for plan in plans) / len(plans) < 0.8
    assert {len(plan.instances) for plan in plans} == {1, 2, 3}
    assert any(plan.quiet for plan in plans) and not any(
        soak_plan.draw(s, 5.0, False).quiet for s in range(99)
    )
    assert any(signal.half_written for plan in plans for each in plan.instances for signal in each.signals)
    assert sum(plan.close_pairs() for plan in plans) > len(plans)


class Book:
    """A record with one request on it, sent at 100 s with a second to go."""

    def __init__(self, wait: float = 1.0, key: str = "") -> None:
        self.record = soak_record.Record()
        self.request = soak_record.Request("ab", 0, "look", key, 100.0, wait)
        self.record.notices[0], self.record.graces[0] = 99.0, 0.5
        self.record.add_sent(self.request)

    def rules(self) -> list[str]:
        return [each.rule for each in self.record.violations()]


def test_each_rule_of_the_record_can_be_broken() -> None:
    book = Book()
    book.record.add_answer(book.request, "served", 101.04)
    assert not book.rules() and book.record.counts["served after the notice"] == 1
    book.record.add_answer(book.request, "served", 101.06)
    assert book.rules() == ["late"]
    for wait, rules in ((1.0, ["late"]), (0.02, [])):  # one with 20 ms left may be dropped without a word
        book = Book(wait)
        book.record.add_timeout(book.request)
        assert book.rules() == rules
    book = Book()
    book.record.add_duplicate_answer(1)
    assert book.rules() == ["twice"]
    book = Book()
    assert (
        book.record.add_connection_end(book.request, 100.04, in_order=True, farewell=False)
        and not book.rules()
    )
    assert not book.record.add_connection_end(book.request, 100.04, in_order=False, farewell=False)
    assert book.rules() == ["lost"]
    book = Book()
    assert not book.record.add_connection_end(book.request, 100.06, in_order=True, farewell=True)
    assert book.rules() == ["lost"]
    book = Book(key="k")
    book.record.add_run(0, 0, "ab")
    assert book.rules() == ["after the grace"]
    book.record.notices.clear()
    book.record.add_run(0, 0, "ab")
    assert book.rules() == ["after the grace", "key twice"]
    book.record.add_run(0, 0, "never asked")
    assert book.rules()[-1] == "unknown run"


def test_few_late_answers_among_many_break_no_rule() -> None:
    book = Book()
    book.record.counts["requests"] = 1_000
    for _ in range(2):
        book.record.add_timeout(book.request)
    assert not book.rules()
    book.record.add_timeout(book.request)
    assert book.rules() == ["late"] * 3


def test_the_soak_can_fail() -> None:
    """A defect planted in a copy of the instance; `docs/results/soak.md` has them all."""
    [defect] = [each for each in DEFECTS if each.name == "answer-dropped"]
    found = found_by(defect, range(4))
    assert found is not None and found[1] == "lost"


def test_every_planted_defect_finds_its_place() -> None:
    for defect in DEFECTS:
        compile(changed(defect), defect.file, "exec")
    assert len({each.name for each in DEFECTS}) == len(DEFECTS) >= 8
