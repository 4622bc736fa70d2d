"""The corpus: plans that once failed, kept small, played by CI for ever.

It owns the files of corpus_plans/. A plan is kept as such and not as a seed, so that a change of the draw
can't empty it.
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
class Kept:
    name: str
    note: str  # what it showed
    plan: Plan


def cases(folder: Path = FOLDER) -> Iterator[Kept]:
    """Raises Unusable for a file that is no kept plan."""
    for path in sorted(folder.glob("*.json")):
        try:
            value = orjson.loads(path.read_bytes())
            yield Kept(path.stem, value["note"], from_json(orjson.dumps(value["plan"])))
        except (ValueError, KeyError, TypeError) as trouble:
            raise Unusable(f"{path}:1:1: expected a kept plan: {type(trouble).__name__}: {trouble}") from None


def add(name: str, note: str, plan: Plan, folder: Path = FOLDER) -> Path:
    path = folder / f"{name}.json"
    path.write_bytes(
        orjson.dumps({"note": note, "plan": orjson.loads(to_json(plan))}, option=orjson.OPT_INDENT_2)
    )
    return path
