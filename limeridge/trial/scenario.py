"""Trial files: a message of settings/trial.proto, checked, into a time line of faults on members.

It owns the checks and the seeded draw of who is meant by a set. It must never start or cut anything.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from functools import cache
from pathlib import Path

from limeridge.peers.shares import Terms
from limeridge.settings import trial_pb2 as pb
from limeridge.settings.load import Checked, Unusable, load

MS = 1_000
FOLDER = Path(__file__).parent / "scenarios"
SHARES = {"a fifth": 0.2, "a third": 1 / 3, "half": 0.5, "most": 0.6, "all": 1.0}
COUNTS = {"one": 1, "two": 2}
LETTERS = "abcdefghijklmnopqrstuvwxyz"
LANES = 12  # trials at one time on one machine, each on addresses of its own


class Kind(Enum):
    """The text is the name in tables."""

    KILL = "kill"
    PAUSE = "pause"
    CUT = "cut"
    CUT_ONE_WAY = "cut-one-way"
    ISLANDS = "islands"
    FLAP = "flap"
    LOSS = "loss"
    DELAY = "delay"
    GARBLE = "garble"
    REPLACE = "replace"
    DOUBLE = "double"
    NODE_LIST_DOWN = "node-list-down"
    LEDGER_SLOW = "ledger-slow"
    STEP = "step"
    BANDWIDTH = "bandwidth"
    REORDER = "reorder"
    COPIES = "copies"


NOWHERE = (Kind.ISLANDS, Kind.LOSS, Kind.NODE_LIST_DOWN, Kind.LEDGER_SLOW, Kind.REORDER, Kind.COPIES)
# A live member may be held dead under these for good reason.
BLURS = (
    Kind.PAUSE,
    Kind.CUT,
    Kind.CUT_ONE_WAY,
    Kind.ISLANDS,
    Kind.FLAP,
    Kind.DELAY,
    Kind.DOUBLE,
    Kind.BANDWIDTH,
)
AMOUNTS: dict[Kind, tuple[float, float]] = {
    Kind.ISLANDS: (2, 10),
    Kind.FLAP: (20, 10_000),
    Kind.LOSS: (0, 1),
    Kind.DELAY: (0, 10_000),
    Kind.GARBLE: (1, 100_000),
    Kind.LEDGER_SLOW: (0.01, 1_000),
    Kind.STEP: (-1e7, 1e7),
    Kind.BANDWIDTH: (100, 1e9),
    Kind.REORDER: (0, 1),
    Kind.COPIES: (0, 1),
}


@dataclass(slots=True, frozen=True)
class Act:
    """Microseconds from the end of the warm-up; `who` are numbers of instances."""

    kind: Kind
    at: int
    lasts: int
    who: tuple[int, ...]
    amount: float


@dataclass(slots=True, frozen=True)
class Expect:
    """Microseconds; None where it is not judged."""

    detect: int | None
    false_deaths: int | None
    agree: int | None
    use: int | None
    unanswered: int | None


@dataclass(slots=True, frozen=True)
class Trial:
    """One trial with its seed: who is hit is drawn."""

    name: str
    about: str
    seed: int
    instances: int
    zones: tuple[str, ...]  # of each instance
    warm: int
    rest: int
    rate: float
    interval: int
    terms: Terms
    acts: tuple[Act, ...]
    expect: Expect
    file: str = ""  # what it was asked for by
    list_join: bool = False

    @property
    def over(self) -> int:
        """When the last fault is over, from the end of the warm-up."""
        return max((act.at + act.lasts for act in self.acts), default=0)


def names() -> list[str]:
    """The names of the trials that come with the package."""
    return sorted(path.stem for path in FOLDER.glob("*.txtpb"))


@cache
def message_of(name: str) -> pb.Trial:
    """Raises Unusable."""
    path = Path(name) if "/" in name or name.endswith(".txtpb") else FOLDER / f"{name}.txtpb"
    if not path.exists() and path.parent == FOLDER:
        raise Unusable(f"{name}: expected a trial's name ({', '.join(names())}) or a file's path")
    return load(str(path), pb.Trial(), check)


def check(message: pb.Trial, checked: Checked) -> None:
    """Raises Unusable, with line and field, where the file of a trial is at fault."""
    if not message.name or not message.name.replace("-", "").isalnum():
        raise checked.refuse("name", "expected letters, digits and hyphens")
    checked.number("instances", message.instances, 1, 200, "instances")
    checked.number("zones", message.zones, 0, min(26, message.instances), "zones")
    checked.number("warm_ms", message.warm_ms, 0, 600_000, "milliseconds")
    checked.number("rest_ms", message.rest_ms, 0, 600_000, "milliseconds")
    checked.number("rate", message.rate, 0, 10_000, "txns a second")
    checked.number("interval_ms", message.interval_ms or 300, 50, 10_000, "milliseconds")
    if message.HasField("terms"):
        terms = message.terms
        checked.number("terms.limit", terms.limit, 0, 1_000_000, "calls")
        checked.number("terms.voters", terms.voters, 0, message.instances, "instances")
        checked.number("terms.floor_share", terms.floor_share, 0, 1, "a share")
    for number, act in enumerate(message.act):
        place = f"act[{number}]"
        if act.kind == pb.ACT_NONE:
            raise checked.refuse(f"{place}.kind", "expected a kind of fault")
        kind = kind_of(act)
        checked.number(f"{place}.at_ms", act.at_ms, 0, 600_000, "milliseconds")
        checked.number(f"{place}.lasts_ms", act.lasts_ms, 0, 600_000, "milliseconds")
        if kind in AMOUNTS:
            checked.number(f"{place}.amount", act.amount, *AMOUNTS[kind])
        try:
            members(act.set, message.instances, message.zones, random.Random(0), kind)
        except ValueError as trouble:
            raise checked.refuse(f"{place}.set", str(trouble)) from None


def kind_of(act: pb.Act) -> Kind:
    """The kind of a fault in the file."""
    return Kind[pb.ActKind.Name(act.kind).removeprefix("ACT_")]


def members(text: str, instances: int, zones: int, chance: random.Random, kind: Kind) -> tuple[int, ...]:
    """The numbers that a set means; drawn where it says how many and not which. ValueError says what is
    wrong."""
    everybody = range(instances)
    if kind in NOWHERE:
        if text:
            raise ValueError(f"expected none: {kind.value} is everywhere")
        return ()
    if text in SHARES or text in COUNTS:
        count = COUNTS.get(text) or max(1, round(SHARES[text] * instances))
        return tuple(sorted(chance.sample(everybody, min(instances, count))))
    if text.startswith("zone "):
        place = LETTERS.find(text.removeprefix("zone "))
        if not 0 <= place < zones:
            raise ValueError(f"expected one of the {zones} zones, a and on")
        return tuple(number for number in everybody if number % zones == place)
    found = []
    for name in text.split(","):
        number = name.strip().removeprefix("n")
        if not number.isdecimal() or int(number) >= instances:
            raise ValueError(
                f"expected names n0 to n{instances - 1}, zone NAME, or one of {', '.join([*COUNTS, *SHARES])}"
            )
        found.append(int(number))
    return tuple(sorted(set(found)))


def draw(name: str, seed: int, instances: int = 0) -> Trial:
    """Of a file or a trial's name; `instances` in place of the file's number where it is given."""
    message = message_of(name)
    count = instances or message.instances
    chance = random.Random(f"{message.name}/{seed}")
    acts = tuple(
        Act(
            kind_of(act),
            int(act.at_ms * MS),
            int(act.lasts_ms * MS),
            members(act.set, count, message.zones, chance, kind_of(act)),
            act.amount,
        )
        for act in message.act
    )
    interval = int((message.interval_ms or 300) * MS)
    terms, expect = _terms(message.terms, count, acts), _expected(message.expect)
    zones = tuple(LETTERS[number % message.zones] if message.zones else "" for number in range(count))
    return Trial(
        message.name,
        message.about,
        seed,
        count,
        zones,
        int((message.warm_ms or 6_000) * MS),
        int((message.rest_ms or 8_000) * MS),
        message.rate,
        interval,
        terms,
        acts,
        expect,
        name,
        message.list_join,
    )


def _terms(given: pb.TrialTerms, count: int, acts: tuple[Act, ...]) -> Terms:
    """Of the limit that `count` instances share; a name more may be taken twice for each such fault."""
    doubled = sum(len(act.who) for act in acts if act.kind is Kind.DOUBLE)
    return Terms(
        limit=given.limit or 3 * count,
        capacity=given.capacity or count,
        doubles=max(1, doubled),
        voters=tuple(f"n{number}" for number in range(given.voters)),
        floor_share=given.floor_share or 0.5,
        lease=int((given.lease_ms or 1_500) * MS),
        settle=int((given.settle_ms or 200) * MS),
    )


def _expected(wanted: pb.Expect) -> Expect:
    return Expect(
        _bound(wanted.detect_ms),
        wanted.false_deaths if wanted.HasField("false_deaths") else None,
        _bound(wanted.agree_ms),
        _bound(wanted.use_ms),
        wanted.unanswered if wanted.HasField("unanswered") else None,
    )


def _bound(milliseconds: float) -> int | None:
    """In microseconds; None where no bound is set."""
    return int(milliseconds * MS) if milliseconds else None
