"""Derives the verdict of a trial from its record: process starts and exits, membership log lines, the
ledger's count of calls, the outcomes at callers, and the state that members reported.

It owns the rules and their figures. It must not query anything: its only input is the record.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from statistics import median
from typing import Any

from limeridge.trial.scenario import BLURS, Act, Trial

FAULT_EFFECT_US = 8_000_000  # after a network fault, deaths declared within this time may be due to it
MIN_USED_SHARE = 0.95  # of the calls that can be shared out


@dataclass(slots=True)
class Life:
    """One process of a member. Times are microseconds since the end of the warm-up; `end` is None while it
    runs."""

    number: int
    start: int
    end: int | None = None
    told: bool = False  # whether it received the notice to leave
    double: bool = False  # a second process under the name of a running one


@dataclass(slots=True)
class GradeChange:
    """A change of a peer's grade, as logged by a member."""

    at: int
    watcher: int
    code: str
    peer: int
    life: int  # number of the peer's life that the change refers to


@dataclass(slots=True)
class FleetSample:
    """The state reported by all members at one time, by member number: the members it considers present
    with their lives, its own life, and the calls of its share."""

    at: int
    present: dict[int, frozenset[tuple[str, int]]]
    own: dict[int, int]
    calls: dict[int, int]
    living: frozenset[int]


@dataclass(slots=True)
class Record:
    """The record of a trial. Times are microseconds since the end of the warm-up."""

    lives: list[Life] = field(default_factory=list)
    lines: list[GradeChange] = field(default_factory=list)
    looks: list[FleetSample] = field(default_factory=list)
    in_hand: list[tuple[int, int]] = field(default_factory=list)  # time and count of the ledger's open calls
    states: dict[str, int] = field(default_factory=dict)  # count of callers' txns by state
    crashes: list[str] = field(default_factory=list)
    exceptions: int = 0
    lateness: int = 0  # maximum delay of the rig's own timer, in microseconds
    end: int = 0
    processor: list[float] = field(default_factory=list)  # cores used by each process, at the end
    memory: list[float] = field(default_factory=list)  # peak of each process, in MB


@dataclass(slots=True)
class Verdict:
    """The verdict of a trial. `broke` lists the violated rules; `busy` means that the machine was too slow
    for the times to be valid."""

    trial: str
    seed: int
    instances: int
    broke: list[str] = field(default_factory=list)
    busy: bool = False
    detect_ms: list[int] = field(default_factory=list)
    false_deaths: int = 0
    agreed_ms: int | None = None
    used_ms: int | None = None
    most_in_hand: int = 0
    limit: int = 0
    dealt_before: float = 0.0  # mean share of the limit that was allotted
    dealt_during: float = 0.0
    dealt_after: float = 0.0
    unanswered: int = 0
    states: dict[str, int] = field(default_factory=dict)
    exceptions: int = 0
    lateness_ms: int = 0
    processor: float = 0.0  # cores used by a process, median
    memory_mb: float = 0.0

    def as_dict(self) -> dict[str, Any]:
        """The verdict as JSON-compatible data."""
        return asdict(self)


# Beyond this, measured times reflect the machine rather than the program. Probes time out after 90 ms, so
# on a machine where the rig's own timer is 250 ms late, members miss each other's answers.
MAX_LATENESS_US = 250_000


def judge(trial: Trial, record: Record) -> Verdict:
    """Checks the rules that apply to every trial and the expectations of this one."""
    verdict = Verdict(
        trial.name,
        trial.seed,
        trial.instances,
        limit=trial.terms.limit,
        states=record.states,
        exceptions=record.exceptions,
        lateness_ms=record.lateness // 1_000,
    )
    verdict.busy = record.lateness > MAX_LATENESS_US
    if record.processor:
        verdict.processor = round(median(record.processor), 4)
        verdict.memory_mb = round(median(record.memory), 1)
    verdict.broke += [f"crash: {crash}" for crash in record.crashes]
    if record.exceptions:
        verdict.broke.append(f"exceptions: {record.exceptions} lines with a trace")
    _check_limit(trial, record, verdict)
    _check_deaths(trial, record, verdict)
    _check_recovery(trial, record, verdict)
    expect = trial.expect
    verdict.unanswered = record.states.get("open", 0)
    if expect.unanswered is not None and verdict.unanswered > expect.unanswered:
        verdict.broke.append(f"unanswered: {verdict.unanswered} txns, expected {expect.unanswered} at most")
    return verdict


def _check_limit(trial: Trial, record: Record, verdict: Verdict) -> None:
    """Checks the rule of every trial: the ledger never has more calls in progress than the fleet's limit."""
    verdict.most_in_hand = max((count for _, count in record.in_hand), default=0)
    if verdict.most_in_hand > trial.terms.limit:
        at = next(at for at, count in record.in_hand if count > trial.terms.limit)
        verdict.broke.append(
            f"limit: {verdict.most_in_hand} calls in progress at the ledger, the limit is "
            f"{trial.terms.limit}, first at {at / 1e6:.3f} s"
        )


def _check_deaths(trial: Trial, record: Record, verdict: Verdict) -> None:
    """Checks that ended processes were detected in time, and counts running ones that were declared dead."""
    for life in record.lives:
        if life.end is None or life.told or life.double or life.end < 0:
            continue
        _check_detection(trial, record, life, life.end, verdict)
    verdict.false_deaths = _count_false_deaths(trial, record)
    max_false_deaths = trial.expect.false_deaths
    if max_false_deaths is not None and verdict.false_deaths > max_false_deaths:
        verdict.broke.append(f"false deaths: {verdict.false_deaths}, expected {max_false_deaths} at most")


def _check_detection(trial: Trial, record: Record, life: Life, end: int, verdict: Verdict) -> None:
    """Checks when the members that could detect the end of `life`, at `end`, declared it gone."""
    successor_start = _successor_start(record, life)
    watchers = _watchers(trial, record, life, end, successor_start)
    noticed_at = {
        change.watcher: change.at
        for change in reversed(record.lines)
        if change.code == "gone" and change.peer == life.number and end <= change.at <= successor_start
    }
    times = [noticed_at[watcher] - end for watcher in watchers if watcher in noticed_at]
    bound = trial.expect.detect
    if bound is not None and successor_start - end > bound and watchers:
        late = sorted(
            watcher for watcher in watchers if noticed_at.get(watcher, successor_start) - end > bound
        )
        if late:
            verdict.broke.append(
                f"detect: n{life.number} was not declared gone within {bound / 1e6:g} s by "
                + ", ".join(f"n{number}" for number in late[:5])
            )
    if times and len(times) == len(watchers):
        verdict.detect_ms.append(max(times) // 1_000)


def _successor_start(record: Record, life: Life) -> int:
    """The start of the next process under the same name, or else the end of the record."""
    starts = (
        each.start
        for each in record.lives
        if each.number == life.number and not each.double and each.start > life.start
    )
    return min(starts, default=record.end)


def _watchers(trial: Trial, record: Record, life: Life, end: int, successor_start: int) -> set[int]:
    """The members that ran from before the end of `life` until its successor's start, except those
    affected by an obscuring fault."""
    watchers = {
        each.number
        for each in record.lives
        if not each.double
        and each.start < end - 2_000_000
        and (each.end is None or each.end >= min(successor_start, record.end))
        and each.number != life.number
    }
    return watchers - {number for act in _obscuring_acts(trial) for number in act.who}


def _obscuring_acts(trial: Trial) -> list[Act]:
    """Faults during which running members may rightly be declared dead."""
    return [act for act in trial.acts if act.kind in BLURS]


def _count_false_deaths(trial: Trial, record: Record) -> int:
    """Counts running members that were declared dead, once each, however many members logged it."""
    last_counted: dict[int, int] = {}
    count = 0
    for change in record.lines:
        if change.code != "gone" or change.at < 0 or not _is_false_death(trial, record, change):
            continue
        if change.at - last_counted.get(change.peer, -FAULT_EFFECT_US) >= FAULT_EFFECT_US:
            last_counted[change.peer] = change.at  # later reports of this death do not count
            count += 1
    return count


def _is_false_death(trial: Trial, record: Record, change: GradeChange) -> bool:
    """Whether a member that was declared dead was running, and no fault explains the error."""
    lived = any(
        life.number == change.peer
        and not life.told
        and life.start <= change.at
        and (life.end is None or life.end > change.at)
        and not life.double
        for life in record.lives
    )
    # A death just before a restart may be logged after it, for the older life.
    recently_ended = any(
        life.number == change.peer
        and life.end is not None
        and change.at - FAULT_EFFECT_US <= life.end <= change.at
        for life in record.lives
    )
    obscured = any(
        act.at <= change.at <= act.at + act.lasts + FAULT_EFFECT_US for act in _obscuring_acts(trial)
    )
    sample = next((sample for sample in reversed(record.looks) if sample.at <= change.at), None)
    about_older_life = sample is not None and change.life != sample.own.get(change.peer, change.life)
    return lived and not recently_ended and not about_older_life and not obscured


def _check_recovery(trial: Trial, record: Record, verdict: Verdict) -> None:
    """Checks how long after the last fault all members agreed and the limit was in use again."""
    terms, expect, faults_end = trial.terms, trial.expect, trial.over
    first_fault = min((act.at for act in trial.acts), default=0)
    shares: dict[str, list[float]] = {"before": [], "during": [], "after": []}
    for sample in record.looks:
        allotted_share = sum(sample.calls.values()) / terms.limit
        shares[
            "before" if sample.at < first_fault else "during" if sample.at <= faults_end else "after"
        ].append(allotted_share)
        if sample.at <= faults_end:
            continue
        actual = frozenset(
            (f"n{number}", sample.own[number]) for number in sample.living if number in sample.own
        )
        # A sample without the answer of a running member proves nothing about agreement.
        if len(actual) == len(sample.living):
            if any(sample.present.get(number) != actual for number in sample.living):
                verdict.agreed_ms = None
            elif verdict.agreed_ms is None:
                verdict.agreed_ms = (sample.at - faults_end) // 1_000
        available = terms.surplus + terms.floor * len(sample.living)
        if verdict.used_ms is None and sum(sample.calls.values()) >= MIN_USED_SHARE * available:
            verdict.used_ms = (sample.at - faults_end) // 1_000
    means = {name: sum(each) / len(each) if each else 0.0 for name, each in shares.items()}
    verdict.dealt_before, verdict.dealt_during, verdict.dealt_after = (
        round(means[name], 3) for name in ("before", "during", "after")
    )
    for name, bound, found in (
        ("agree", expect.agree, verdict.agreed_ms),
        ("use", expect.use, verdict.used_ms),
    ):
        if bound is not None and (found is None or found > bound // 1_000):
            verdict.broke.append(
                f"{name}: {'never' if found is None else f'after {found} ms'}, "
                f"expected within {bound // 1_000} ms"
            )
