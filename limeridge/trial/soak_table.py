"""What many soaks came to: one verdict a soak, what all of them met, and whether that is enough.

A soak that met nothing shows nothing, so a set of them fails below the counts that are stated here. It
decides on reports alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

MIN_MEAN_COUNTS = {  # in the mean over all soaks of a set
    "requests": 200,
    "requests after the notice": 20,
    "served": 10,
    "refused": 10,
    "signal HUP": 2,
    "signal TERM": 2,
    "farewells": 4,
    "pairs within 50 ms": 0.5,
}


def verdict(report: dict[str, Any]) -> str:
    """`held`, `broke`, or `machine too busy` where only matters of time are at fault and it was."""
    faults = report["faults"]
    if any(not each["soft"] for each in faults):
        return "broke"
    if faults:
        return "machine too busy" if report["busy"] else "broke"
    return "held"


def total_counts(reports: Sequence[dict[str, Any]]) -> Counter[str]:
    """What all soaks met, added up."""
    total: Counter[str] = Counter()
    for each in reports:
        total.update(each["counts"])
        total["pairs within 50 ms"] += each["pairs_close"]
        total["instances"] += each["instances"]
        total["soaks with a crowd"] += each["crowd"] > 0
        total["soaks with a quiet time"] += each["quiet"] > 0
    return total


def insufficient_counts(reports: Sequence[dict[str, Any]]) -> list[str]:
    """What was met too seldom to show anything, a line each."""
    total = total_counts(reports)
    return [
        f"{name}: {total[name]} in {len(reports)} soaks, {minimum:g} each are the minimum"
        for name, minimum in MIN_MEAN_COUNTS.items()
        if total[name] < minimum * len(reports)
    ]


def markdown_table(reports: Sequence[dict[str, Any]]) -> Iterator[str]:
    """The table of a set, in Markdown: verdicts, then what was met."""
    verdicts = Counter(verdict(each) for each in reports)
    yield "| soaks | held | broke | machine too busy |"
    yield "| --- | --- | --- | --- |"
    yield f"| {len(reports)} | {verdicts['held']} | {verdicts['broke']} | {verdicts['machine too busy']} |"
    yield ""
    yield "| met | count |"
    yield "| --- | --- |"
    for name, count in sorted(total_counts(reports).items()):
        yield f"| {name} | {count:,} |"
    yield f"| most memory, MB | {max(each['most_memory_mb'] for each in reports):g} |"
    yield f"| most descriptors of one process | {max(each['most_descriptors'] for each in reports)} |"
