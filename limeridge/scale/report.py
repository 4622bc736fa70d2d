"""Writes the generated parts of docs/CAPACITY.md, or finds where page, results and model differ.

What stands between the markers `<!-- generated: NAME -->` and `<!-- end -->` is generated; all else is
hand-written and stays.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from pathlib import Path

from limeridge.scale.capacity import capacity
from limeridge.scale.capacity_tables import sections
from limeridge.scale.evidence import Evidence, stale_fit
from limeridge.scale.target import USERS_TARGET

BEGIN = re.compile(r"<!-- generated: (.+) -->")
END = "<!-- end -->"


class UnusablePage(Exception):
    """One line: the file and what is wrong with it."""


def filled(text: str, parts: Mapping[str, Sequence[str]], name: str) -> str:
    """The page with its generated parts written anew. Raises UnusablePage; `name` is the page's, for that."""
    lines: list[str] = []
    inside = False
    seen: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        begin = BEGIN.fullmatch(line.strip())
        if begin is not None:
            part = begin[1]
            if inside or part in seen or part not in parts:
                raise UnusablePage(f"{name}:{number}: expected another generated part, got {part}")
            lines += [line, *parts[part]]
            inside = True
            seen.append(part)
        elif line.strip() == END:
            if not inside:
                raise UnusablePage(f"{name}:{number}: the end of a generated part that has not begun")
            lines.append(line)
            inside = False
        elif not inside:
            lines.append(line)
    missing = [part for part in parts if part not in seen]
    if inside or missing:
        raise UnusablePage(
            f"{name}: expected the generated part {seen[-1] if inside else missing[0]} with its end"
        )
    return "\n".join(lines) + "\n"


def read_page(page: Path) -> str:
    """Raises UnusablePage for one that can't be read."""
    try:
        return page.read_text()
    except (OSError, UnicodeDecodeError) as trouble:
        raise UnusablePage(f"{page}: expected the page of capacity: {trouble}") from None


def generated(page: Path, evidence: Evidence) -> str:
    """The whole page as it should be."""
    return filled(read_page(page), sections(capacity(USERS_TARGET, evidence), evidence), str(page))


def first_difference(page: Path, evidence: Evidence) -> str | None:
    """One line, or None where page, results and model agree."""
    for stem, sweep in evidence.sweeps.items():
        for series in sweep.series:
            if stale_fit(series):
                return f"{stem}.json: {series.key}: the stored law is not the one that its points give"
    now, wanted = read_page(page).splitlines(), generated(page, evidence).splitlines()
    for number, (one, other) in enumerate(zip(now, wanted, strict=False), 1):
        if one != other:
            return f"{page}:{number}: expected {other!r}, got {one!r}"
    if len(now) != len(wanted):
        return f"{page}: expected {len(wanted)} lines, got {len(now)}"
    return None
