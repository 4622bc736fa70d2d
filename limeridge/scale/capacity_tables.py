"""The tables of docs/CAPACITY.md, as lines of Markdown by the name of their place."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import fields

from limeridge.scale.evidence import Assumption, Basis, Evidence, Figure, Reference
from limeridge.scale.findings import all_findings
from limeridge.scale.model import NONE_YET, Model, Part, Row
from limeridge.scale.quantities import ratio_text, seconds
from limeridge.scale.references import CONFIGURATION
from limeridge.scale.results import Sweep
from limeridge.scale.target import SENTENCES, Target, caller_readings, counted_reading

RESULTS_LINK = "results/scale"  # from the page's folder
NOTHING = "-"
NUMBER = re.compile(r"(-?[\d.,e+-]+)(.*)")
UNCERTAIN = "the interval has both verdicts in it"

LISTED = (Basis.FAR, Basis.NOT_MEASURED)  # whose rows are named one by one

Lines = list[str]


def sections(model: Model, evidence: Evidence) -> dict[str, Lines]:
    """All generated parts of the page."""
    made = {
        "verdict": verdict(model) + unswept(evidence),
        "over budget": over_budget(model),
        "target": target_table(model.target),
        "callers": caller_table(model.target),
        "failures": failure_table(model),
        "findings": finding_table(model.target, evidence),
        "basis": basis_lists(model),
        "assumptions": assumption_table(model.assumptions),
        "results": result_table(evidence),
    }
    for part in Part:
        made[part.value] = part_tables(model, part)
    return made


# ---- pieces


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> Lines:
    """A table of Markdown."""
    lines = [f"| {' | '.join(head)} |", f"|{' --- |' * len(head)}"]
    return lines + [f"| {' | '.join(cell.replace('|', '/') for cell in row)} |" for row in rows]


def link(reference: Reference) -> str:
    """To the result that a series is in, with the series."""
    name = f"{reference.key} by {reference.against.value}"
    return f"[{reference.sweep}]({RESULTS_LINK}/{reference.sweep}.json): {name}"


def rests_on(sources: Iterable[Reference], assumptions: Iterable[Assumption]) -> str:
    """Sources and assumptions, by name."""
    named = [link(source) for source in sources] + [f"*{each.name}*" for each in assumptions]
    return "; ".join(named) or "the target and the code's constants"


def interval(figure: Figure) -> str:
    """Low and high, where they differ."""
    if figure.low == figure.high:
        return ""
    low, high = str(figure.low), str(figure.high)
    number, unit = NUMBER.fullmatch(low), NUMBER.fullmatch(high)
    if number is not None and unit is not None and number[2] == unit[2]:
        low = number[1]
    return f" ({low} to {high})"


def ratio_cell(row: Row) -> str:
    """Needed over budget, marked where it is over."""
    text = f"**{ratio_text(row.ratio)}**" if row.over else ratio_text(row.ratio)
    return text + (f" ({UNCERTAIN})" if row.uncertain else "")


def before_cell(row: Row) -> str:
    """What it was before the last change, as a ratio."""
    return (
        NOTHING
        if row.ratio_before is None
        else f"{row.before and row.before.value}: {ratio_text(row.ratio_before)}"
    )


def modules_cell(modules: Sequence[str]) -> str:
    """Module names, without the package's."""
    return ", ".join(f"`{name.removeprefix('limeridge.')}`" for name in modules) or NONE_YET


# ---- parts of the page


def verdict(model: Model) -> Lines:
    """Which mechanism is missing first, and why."""
    row = model.missing_first
    if row is None:
        return ["No row is over its budget, and each has a mechanism."]
    lack = f"is carried by {modules_cell(row.mechanism)}" if row.mechanism else "has no mechanism yet"
    over = sum(not each.total for each in model.over_budget)
    return [
        f"**Missing first: {row.cost}** ({row.part.value}). It needs {row.needed.value} where the budget is "
        f"{row.budget.value}, {ratio_text(row.ratio)} times as much, and {lack}. It is the row with the "
        f"greatest needed/budget among those over their budget or without a mechanism. {over} rows are over "
        f"their budget.",
    ]


def unswept(evidence: Evidence) -> Lines:
    """What the rows of the configuration are of, while no sweep of the code that changes it live has run."""
    if evidence.runs_of(CONFIGURATION):
        return []
    return [
        "",
        "No sweep of the configuration has run since tenants can change in a running process "
        "(`configuration.application`): but for the time until a change is in force, its rows are those of "
        "the code before.",
    ]


def over_budget(model: Model) -> Lines:
    """Rows over budget, worst first; sums are left out."""
    rows = [row for row in model.over_budget if not row.total]
    head = ("row", "role", "needed", "budget", "needed/budget", "before", "carried by", "how known")
    return table(
        head,
        (
            (
                row.cost,
                row.part.value,
                str(row.needed.value),
                str(row.budget.value),
                ratio_cell(row),
                before_cell(row),
                modules_cell(row.mechanism),
                row.needed.how_known,
            )
            for row in rows
        ),
    )


def part_tables(model: Model, part: Part) -> Lines:
    """Costs, state and messages of one role."""
    lines = cost_table(row for row in model.rows if row.part is part)
    states = [
        (
            state.what,
            str(state.entries),
            worked_out(state.each),
            modules_cell(state.mechanism),
            rests_on(state.each.sources, state.each.assumptions),
        )
        for state in model.states
        if state.part is part
    ]
    messages = [
        (
            message.what,
            message.to,
            message.often.formula,
            f"{message.size.value}{interval(message.size)}",
            modules_cell(message.mechanism),
            rests_on(
                dict.fromkeys((*message.often.sources, *message.size.sources)),
                dict.fromkeys((*message.often.assumptions, *message.size.assumptions)),
            ),
        )
        for message in model.messages
        if message.part is part
    ]
    if states:
        lines += ["", *table(("state", "entries", "each", "carried by", "rests on"), states)]
    if messages:
        head = ("message", "to", "how often", "bytes", "carried by", "rests on")
        lines += ["", *table(head, messages)]
    return lines


def worked_out(figure: Figure) -> str:
    """The value, with its formula where that says more."""
    value = str(figure.value)
    return figure.formula if figure.formula.startswith(value) else f"{value} = {figure.formula}"


def cost_table(rows: Iterable[Row]) -> Lines:
    """Each cost as slope x size, against its budget."""
    head = (
        "cost",
        "slope x size",
        "needed",
        "budget",
        "needed/budget",
        "before",
        "carried by",
        "how known",
        "rests on",
    )
    return table(
        head,
        (
            (
                row.cost,
                row.needed.formula,
                f"{row.needed.value}{interval(row.needed)}",
                str(row.budget.value),
                ratio_cell(row),
                before_cell(row),
                modules_cell(row.mechanism),
                row.needed.how_known,
                rests_on(row.needed.sources, row.assumptions),
            )
            for row in rows
        ),
    )


def target_table(target: Target) -> Lines:
    """Each figure with the sentence that states it."""
    cells = (
        (each.name.replace("_", " "), str(getattr(target, each.name)), SENTENCES[each.name])
        for each in fields(target)
    )
    return table(("figure", "value", "stated as"), cells)


def caller_table(target: Target) -> Lines:
    """Both readings of how many callers there are."""
    head = (
        "reading",
        "callers",
        "connections of each",
        "kept at an instance",
        "a request each",
        "open",
        "opened",
    )
    counted = counted_reading(target).name
    return table(
        head,
        (
            (
                reading.name + (", counted" if reading.name == counted else ""),
                str(reading.callers),
                f"{reading.connections_of_a_caller.value:g}",
                str(reading.kept),
                str(reading.gap),
                str(reading.connections),
                str(reading.opened),
            )
            for reading in caller_readings(target)
        ),
    )


def failure_table(model: Model) -> Lines:
    """From the ordinary day to regions that lose each other."""
    head = ("event", "how often", "lost", "noticed by", "held dead after", "costs", "still served")
    return table(
        head,
        (
            (
                failure.event,
                failure.how_often,
                failure.lost,
                failure.noticed_by,
                str(failure.noticed_after.value),
                "<br>".join(f"{what}: {figure.value}{mark(figure)}" for what, figure in failure.costs),
                failure.served,
            )
            for failure in model.failures
        ),
    )


def mark(figure: Figure) -> str:
    """How a figure in running text is known, where it is not by arithmetic alone."""
    plain = (Basis.STATED, Basis.ASSUMED)
    return "" if figure.basis in plain else f" ({figure.how_known})"


def finding_table(target: Target, evidence: Evidence) -> Lines:
    """What was found before, and now."""
    head = ("found before", "now", "why")
    found = all_findings(target, evidence)
    return table(head, ((each.earlier, each.now, each.cause) for each in found))


def basis_lists(model: Model) -> Lines:
    """How many rows rest on what, and which ones on the weakest."""
    lines = []
    for basis in Basis:
        rows = [f"{row.part.value}: {row.cost}" for row in model.rows if row.needed.basis is basis]
        named = f": {'; '.join(rows)}" if basis in LISTED else ""
        if rows:
            lines.append(f"- {len(rows)} rows are {basis.value}{named}")
    return lines


def assumption_table(assumptions: Iterable[Assumption]) -> Lines:
    """Each assumption by name."""
    return table(("name", "taken for granted"), ((each.name, each.text) for each in assumptions))


def result_table(evidence: Evidence) -> Lines:
    """The runs that the figures come from, and what their notes say."""
    if not evidence.sweeps:
        return ["No result is there yet."]
    head = ("result", "revision", "machine", "took", "command", "chart")
    lines = table(head, (result_cells(stem, sweep) for stem, sweep in sorted(evidence.sweeps.items())))
    for stem, sweep in sorted(evidence.sweeps.items()):
        lines += ["", f"Notes of {stem}:", "", *(f"- {note}" for note in sweep.notes or ("none",))]
    return lines


def result_cells(stem: str, sweep: Sweep) -> tuple[str, ...]:
    """One run."""
    return (
        f"[{stem}]({RESULTS_LINK}/{stem}.json)",
        f"`{sweep.revision.partition('+')[0][:10]}`{' with changes' if '+' in sweep.revision else ''}",
        f"{sweep.cores} cores, {sweep.memory_gib:.0f} GiB",
        str(seconds(sweep.seconds)),
        f"`{sweep.command}`",
        f"[chart]({RESULTS_LINK}/{stem}.svg)",
    )
