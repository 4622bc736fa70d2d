"""The model of capacity, its page and its commands: page, results and model agree."""

from __future__ import annotations

import importlib.util
import re
from dataclasses import replace
from pathlib import Path
from statistics import fmean

import click
import orjson
import pytest
from click.testing import CliRunner

from limeridge.brain import IDLE_LIMITS_US
from limeridge.cli.capacity import OPTIONS, PAGE, RESULTS_FOLDER, plan, report
from limeridge.scale import evidence as evidence_module
from limeridge.scale.assumptions import ADDED_TIME
from limeridge.scale.capacity import capacity
from limeridge.scale.charts import write_chart
from limeridge.scale.evidence import BOUNDED_WORK, TRIAL, Basis, Evidence, Fallback, Figure, Reference
from limeridge.scale.fit import fit
from limeridge.scale.model import Model, Part, Row
from limeridge.scale.quantities import BYTE, CORE, SECOND, MixedUnits, Quantity, microseconds, text
from limeridge.scale.references import ADDED_P99, CONFIGURATION, member_cost
from limeridge.scale.report import BEGIN, END, first_difference, generated
from limeridge.scale.results import SCHEMA, Point, Role, Series, Sweep, Unit, write
from limeridge.scale.target import (
    IDLE_MOST,
    SCALABLE,
    SENTENCES,
    USERS_TARGET,
    OutOfRange,
    at_sizes,
    counted_reading,
)

ROOT = Path(__file__).parent.parent
SIZE_PARTS = (1 / 64, 1 / 32, 1 / 16, 1 / 8, 1 / 4)  # of the target's size
NUMBER = re.compile(r"\d[\d,.]*\d|\d")


class Asking(Evidence):
    """Evidence that notes what it is asked for."""

    def __init__(self, sweeps: dict[str, Sweep]) -> None:
        super().__init__(sweeps)
        self.asked: dict[Reference, tuple[Quantity, Fallback]] = {}

    def at(self, reference: Reference, size: Quantity, fallback: Fallback) -> Figure:
        self.asked.setdefault(reference, (size, fallback))
        return super().at(reference, size, fallback)


def sweep(name: str, series: list[Series]) -> Sweep:
    return Sweep(SCHEMA, name, "0" * 40, 8, 24.0, f"limeridge scale sweep {name}", 1.0, tuple(series))


def made_up(factors: dict[Reference, float] | None = None, live: bool = True) -> Evidence:
    """Series in proportion to the size, for all that the model asks for; the target costs the fallback."""
    asking = Asking({CONFIGURATION: sweep(CONFIGURATION, [])} if live else {})
    capacity(USERS_TARGET, asking)
    series: dict[str, list[Series]] = {}
    units = {unit: given for given, unit in evidence_module.UNITS.items()}
    for reference, (size, fallback) in asking.asked.items():
        if reference.sweep == CONFIGURATION and not live:
            continue
        reached = fallback.value.value * (factors or {}).get(reference, 1.0)
        points = tuple(
            Point(size.value * part, tuple(reached * part * noise for noise in (0.99, 1.0, 1.01)))
            for part in SIZE_PARTS
        )
        series.setdefault(reference.sweep, []).append(
            Series(
                reference.cost,
                reference.role,
                reference.situation,
                reference.against,
                units[fallback.value.unit],
                points,
                fit(points),
            )
        )
    return Evidence({name: sweep(name, made) for name, made in series.items()})


def row_of(model: Model, part: Part, cost: str) -> Row:
    return next(row for row in model.rows if row.part is part and row.cost == cost)


@pytest.fixture(scope="module")
def committed() -> Evidence:
    return Evidence.read(ROOT / RESULTS_FOLDER)


@pytest.fixture(scope="module")
def models(committed: Evidence) -> list[Model]:
    """Of the committed results, of none, of made-up ones before and after live configuration."""
    several = (committed, Evidence({}), made_up(live=False), made_up())
    return [capacity(USERS_TARGET, each) for each in several]


# ---- the committed page


def test_page_results_and_model_agree(committed: Evidence) -> None:
    assert first_difference(ROOT / PAGE, committed) is None


def test_each_row_of_the_page_is_traced_to_a_series_or_a_named_assumption(committed: Evidence) -> None:
    lines = (ROOT / PAGE).read_text().splitlines()
    named = {line.split(" | ")[0].removeprefix("| ") for line in lines}
    head: list[str] = []
    checked = 0
    for line in lines:
        cells = [cell.strip() for cell in line.strip("|").split(" | ")] if line.startswith("|") else []
        if not cells or "rests on" in cells:
            head = cells
        elif head and not line.startswith("| ---"):
            for source in cells[head.index("rests on")].split("; "):
                checked += 1
                found = re.fullmatch(r"\[(.+)\]\((.+)\): (.+)", source)
                if found is not None:
                    assert (ROOT / "docs" / found[2]).is_file(), line
                    keys = [
                        f"{each.key} by {each.against.value}" for each in committed.sweeps[found[1]].series
                    ]
                    assert found[3] in keys, line
                else:
                    assert source.strip("*") in named or source == "the target and the code's constants", line
    assert checked > 50


def test_hand_written_numbers_stand_in_the_generated_tables_or_the_target(committed: Evidence) -> None:
    by_hand, written, inside = [], list(SENTENCES.values()), False
    for line in (ROOT / PAGE).read_text().splitlines():
        inside = (inside or BEGIN.fullmatch(line) is not None) and line != END
        (written if inside else by_hand).append(line)
    known = set(NUMBER.findall(" ".join(written)))
    stray = [number for line in by_hand for number in NUMBER.findall(line.replace("n^2", ""))]
    assert set(stray) - {"95", "99"} <= known


# ---- the model


def test_each_row_has_a_source_or_an_assumption_a_mechanism_or_none_yet_and_a_ratio(
    models: list[Model],
) -> None:
    for model in models:
        assert {row.part for row in model.rows} == set(Part)
        for row in model.rows:
            assert row.needed.sources or row.needed.assumptions, row.cost
            assert row.needed.formula and row.budget.why and row.carried_by
            assert 0 <= row.ratio < float("inf")
            assert all(importlib.util.find_spec(module) is not None for module in row.mechanism), (
                row.mechanism
            )
        for figure in model.figures:
            assert figure.sources or figure.assumptions or figure.basis is Basis.STATED, figure.formula


def test_what_is_not_measured_is_told_by_the_name_of_its_assumption() -> None:
    model = capacity(USERS_TARGET, Evidence({}))
    assert model.not_measured and not model.references
    assert all(row.needed.assumptions for row in model.not_measured)
    assert not capacity(USERS_TARGET, made_up()).not_measured


def test_a_changed_slope_changes_a_verdict() -> None:
    reference = member_cost(Role.VOTER, "processor")
    dear = row_of(capacity(USERS_TARGET, made_up()), Part.VOTER, "processor, at rest")
    cheap = row_of(capacity(USERS_TARGET, made_up({reference: 0.1})), Part.VOTER, "processor, at rest")
    assert dear.over and not cheap.over
    assert dear.ratio == pytest.approx(10 * cheap.ratio)
    first = capacity(USERS_TARGET, made_up({reference: 1e5})).missing_first
    assert first is not None and (first.part, first.cost) == (Part.VOTER, "processor, at rest")


def test_missing_first_is_the_worst_of_those_over_budget_or_without_a_mechanism(models: list[Model]) -> None:
    for model in models:
        first = model.missing_first
        wanting = [row for row in model.rows if (row.over or not row.mechanism) and not row.total]
        assert first is not None and first.ratio == max(row.ratio for row in wanting)
        ratios = [row.ratio for row in model.over_budget]
        assert ratios == sorted(ratios, reverse=True) and all(ratio > 1 for ratio in ratios)


def test_before_stands_beside_after_once_both_are_measured() -> None:
    cost = "memory of the configuration, after two changes"
    before = row_of(capacity(USERS_TARGET, made_up(live=False)), Part.CONTROL, cost)
    after = row_of(capacity(USERS_TARGET, made_up()), Part.CONTROL, cost)
    assert before.before is None and after.ratio_before == pytest.approx(before.ratio)


def test_a_change_of_which_no_process_takes_note_waits_for_the_replacements() -> None:
    row = row_of(
        capacity(USERS_TARGET, Evidence({})), Part.CONTROL, "time until a change is in force everywhere"
    )
    assert row.before is not None and row.before.value.value == pytest.approx(3_400 / 14_000 * 86_400)
    assert 3_600 < row.needed.value.value < row.before.value.value


def test_a_trial_counts_where_there_is_no_result_and_says_so() -> None:
    sweeps = made_up().sweeps
    reference = member_cost(Role.VOTER, "processor")
    trial = Evidence({"trials/members-busy": sweeps["members"]})
    both = Evidence({"members": sweeps["members"], "trials/members-busy": sweeps["members"]})
    for given, run, known in ((trial, "trials/members-busy", "of a trial"), (both, "members", "")):
        row = row_of(capacity(USERS_TARGET, given), Part.VOTER, "processor, at rest")
        assert row.needed.sources == (replace(reference, sweep=run),)
        assert row.needed.how_known.endswith(known) and (TRIAL in row.needed.assumptions) == bool(known)
    assert (
        Evidence({"trials/configuration-before-busy": sweeps["configuration"]}).runs_of(CONFIGURATION) == []
    )


def test_an_extrapolation_of_more_than_eight_times_is_marked() -> None:
    evidence = made_up()
    reference = member_cost(Role.MEMBER, "memory")
    found = evidence.found(reference)
    assert found is not None
    series = found[1]
    bases = [
        evidence_module.figure_at(series, reference, size).basis for size in (850, 800, 3_400, 6_800, 6_801)
    ]
    assert bases == [Basis.MEASURED, Basis.MEASURED, Basis.EXTRAPOLATED, Basis.EXTRAPOLATED, Basis.FAR]


def test_the_worse_reading_of_the_callers_counts() -> None:
    counted = counted_reading(USERS_TARGET)
    assert counted.callers.value == 36_000 * 610
    assert not counted.outlives_gaps and counted.connections.value == pytest.approx(420_000 / 3_400 * 15)
    assert microseconds(max(IDLE_LIMITS_US)) == IDLE_MOST


# ---- quantities


def test_mixed_units_are_refused() -> None:
    size, time = Quantity(3, BYTE), Quantity(2, SECOND)
    for mixed in (
        lambda: size + time,
        lambda: size - time,
        lambda: size < time,
        lambda: (size / time).number,
    ):
        with pytest.raises(MixedUnits):
            mixed()
    assert (size / time * time) == size and ((size * time) / (time * size)).number == 1


def test_quantities_read_well() -> None:
    shown = [
        text(Quantity(value, unit))
        for value, unit in (
            (1_700, BYTE / SECOND),
            (999_700, BYTE),
            (0.044, CORE),
            (0.0052, SECOND),
            (20_983, SECOND),
        )
    ]
    assert shown == ["1.7 KB/s", "1 MB", "4.4% of a core", "5.2 ms", "5.83 h"]


# ---- commands


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    for name, made in made_up().sweeps.items():
        write(tmp_path / f"{name}.json", made)
    return tmp_path


def test_report_writes_the_tables_and_leaves_what_is_written_by_hand(folder: Path) -> None:
    page = folder / "page.md"
    page.write_text("By hand.\n" + (ROOT / PAGE).read_text())
    arguments = ["--results", str(folder), "--page", str(page)]
    runner = CliRunner()
    assert runner.invoke(report, [*arguments, "--check"]).exit_code == 1
    assert runner.invoke(report, arguments).exit_code == 0
    assert set(folder.glob("*.svg")) == {path.with_suffix(".svg") for path in folder.glob("*.json")}
    assert runner.invoke(report, [*arguments, "--check"]).exit_code == 0
    lines = page.read_text().splitlines()
    assert lines[0] == "By hand."
    page.write_text(page.read_text().replace("by tenants", "by routes", 1))
    checked = runner.invoke(report, [*arguments, "--check"])
    assert checked.exit_code == 1 and str(page) in checked.output


def test_a_chart_of_the_same_result_has_the_same_bytes(tmp_path: Path) -> None:
    sweeps = made_up().sweeps
    path = tmp_path / "chart.svg"
    drawn = []
    for _ in range(2):
        write_chart(path, sweeps["request_path"], frozenset({"processor"}))
        drawn.append(path.read_bytes())
    assert drawn[0] == drawn[1] and b"<svg" in drawn[0] and b"<dc:date>" not in drawn[0]


def test_a_stored_law_that_its_points_do_not_give_is_found(folder: Path) -> None:
    path = folder / "members.json"
    told = orjson.loads(path.read_bytes())
    told["series"][0]["fit"]["slope"] *= 2
    path.write_bytes(orjson.dumps(told))
    difference = first_difference(ROOT / PAGE, Evidence.read(folder))
    assert difference is not None and difference.startswith("members.json: member: ")


@pytest.mark.parametrize("command", [report, plan])
@pytest.mark.parametrize("broken", ["schema", "json"])
def test_a_result_that_cannot_be_used_is_refused_in_one_line(
    folder: Path, command: click.Command, broken: str
) -> None:
    path = folder / "members.json"
    data = path.read_bytes()
    path.write_bytes(data.replace(b'"schema": 1', b'"schema": 2') if broken == "schema" else data[:-100])
    with pytest.raises(click.UsageError) as refused:
        command.main(["--results", str(folder)], standalone_mode=False)
    assert refused.value.exit_code == 2
    assert str(path) in refused.value.format_message() and "\n" not in refused.value.format_message()


@pytest.mark.parametrize("name", SCALABLE)
def test_sizes_out_of_range_are_refused_with_their_option(name: str, folder: Path) -> None:
    for size in (SCALABLE[name].least - 1, SCALABLE[name].most + 1):
        with pytest.raises(click.BadParameter) as refused:
            plan.main([OPTIONS[name], str(size), "--results", str(folder)], standalone_mode=False)
        assert refused.value.exit_code == 2 and OPTIONS[name] in refused.value.format_message()
        with pytest.raises(OutOfRange, match=name):
            at_sizes({name: size})
    with pytest.raises(click.UsageError, match="--zones"):
        plan.main(["--regions", "19", "--results", str(folder)], standalone_mode=False)


def test_plan_answers_for_other_sizes(folder: Path) -> None:
    arguments = ["--instances", "340", "--tenants", "1000", "--results", str(folder), "--json"]
    told = orjson.loads(CliRunner().invoke(plan, arguments).output)
    ratios = {(row["role"], row["cost"]): row["ratio"] for row in told["rows"]}
    whole = row_of(capacity(USERS_TARGET, made_up()), Part.VOTER, "processor, at rest")
    assert ratios["voter", "processor, at rest"] == pytest.approx(whole.ratio / 10, rel=0.01)
    assert told["target"]["tenants"]["value"] == 1_000
    assert CliRunner().invoke(plan, arguments[:-1]).output.splitlines()[-1].startswith("missing first: ")


def test_a_page_without_a_place_for_a_table_is_refused(folder: Path) -> None:
    page = folder / "page.md"
    page.write_text("no places\n")
    with pytest.raises(click.UsageError, match="generated part"):
        report.main(["--results", str(folder), "--page", str(page)], standalone_mode=False)


def test_results_survive_the_way_through_a_file(folder: Path) -> None:
    assert Evidence.read(folder).sweeps == made_up().sweeps
    assert generated(ROOT / PAGE, Evidence.read(folder)) == generated(ROOT / PAGE, made_up())


def test_equal_readings_whose_mean_is_rounded_down_have_a_chart(tmp_path: Path) -> None:
    reading = 5564.543226524334
    points = (Point(20, (reading,) * 3), Point(40, (reading,) * 3))
    assert fmean(points[0].readings) < reading
    series = Series("memory", Role.MEMBER, ADDED_P99.situation, ADDED_P99.against, Unit.BYTES, points)
    write_chart(tmp_path / "equal.svg", sweep("equal", [series]), frozenset({"memory"}))
    assert "<svg" in (tmp_path / "equal.svg").read_text()


def test_bounded_work_stays_beyond_one_or_two_sizes_and_follows_a_line_through_more() -> None:
    def figure(sizes: tuple[float, ...]) -> Figure:
        points = tuple(Point(size, (size / 1e6,)) for size in sizes)
        series = Series(
            ADDED_P99.cost, ADDED_P99.role, ADDED_P99.situation, ADDED_P99.against, Unit.SECONDS, points
        )
        evidence = Evidence({ADDED_P99.sweep: sweep(ADDED_P99.sweep, [series])})
        return evidence.at_bounded_work(ADDED_P99, USERS_TARGET.tenants, ADDED_TIME)

    few = figure((1_000, 2_000))
    assert few.value.value == pytest.approx(0.002)
    assert few.basis is Basis.ASSUMED and BOUNDED_WORK in few.assumptions
    more = figure((1_000, 2_000, 3_000))
    assert more.value.value == pytest.approx(USERS_TARGET.tenants.value / 1e6)
    assert BOUNDED_WORK not in more.assumptions
