"""The regression corpus: minimised plans of past failures, which CI replays.

This module reads and writes the files in corpus_plans/. Plans are stored in full rather than as seeds, so
that a change to how plans are drawn does not change them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import orjson

from limeridge.settings.load import Unusable
from limeridge.sim.plan import Plan, from_json, to_json

FOLDER = Path(__file__).parent / "corpus_plans"


@dataclass(slots=True, frozen=True)
class CorpusCase:
    name: str
    note: str  # the failure that the plan showed
    plan: Plan


def load_cases(folder: Path = FOLDER) -> Iterator[CorpusCase]:
    """Raises Unusable if a file is not a stored plan."""
    for path in sorted(folder.glob("*.json")):
        try:
            value = orjson.loads(path.read_bytes())
            yield CorpusCase(path.stem, value["note"], from_json(orjson.dumps(value["plan"])))
        except (ValueError, KeyError, TypeError) as error:
            raise Unusable(f"{path}:1:1: expected a stored plan: {type(error).__name__}: {error}") from None


def add(name: str, note: str, plan: Plan, folder: Path = FOLDER) -> Path:
    path = folder / f"{name}.json"
    path.write_bytes(
        orjson.dumps({"note": note, "plan": orjson.loads(to_json(plan))}, option=orjson.OPT_INDENT_2)
    )
    return path
