"""The summary of a set of soaks: a verdict for each, event counts over all, and whether these suffice.

A soak in which too little happens proves nothing, so a set fails if its counts are below the minimums stated
here. The only input is the reports.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

MIN_MEAN_COUNTS = {  # per soak, averaged over a set
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
    """`held`, `broke`, or `machine too busy` if all faults concern timing and the machine was overloaded."""
    faults = report["faults"]
    if any(not each["soft"] for each in faults):
        return "broke"
    if faults:
        return "machine too busy" if report["busy"] else "broke"
    return "held"


def total_counts(reports: Sequence[dict[str, Any]]) -> Counter[str]:
    """Event counts, summed over all soaks."""
    total: Counter[str] = Counter()
    for each in reports:
        total.update(each["counts"])
        total["pairs within 50 ms"] += each["pairs_close"]
        total["instances"] += each["instances"]
        total["soaks with a crowd"] += each["crowd"] > 0
        total["soaks with a quiet time"] += each["quiet"] > 0
    return total


def insufficient_counts(reports: Sequence[dict[str, Any]]) -> list[str]:
    """One line for each count that is below its minimum."""
    total = total_counts(reports)
    return [
        f"{name}: {total[name]} in {len(reports)} soaks, {minimum:g} each are the minimum"
        for name, minimum in MIN_MEAN_COUNTS.items()
        if total[name] < minimum * len(reports)
    ]


def markdown_table(reports: Sequence[dict[str, Any]]) -> Iterator[str]:
    """The summary of a set as Markdown tables: verdicts, then event counts."""
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
