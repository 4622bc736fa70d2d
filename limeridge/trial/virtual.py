"""The same trial files on virtual members: what `rig.py` does to processes, done in `sim/gossip.py`.

It owns the translation of a time line and of what was seen, so that one judge says of both worlds. Callers,
kernels and the node list are not in this world: a fault of those alone is passed over, and said to be.
"""

from __future__ import annotations

from limeridge.peers.intervals import Intervals
from limeridge.peers.members import State
from limeridge.sim.gossip import Fleet, Process, Setting, Trouble
from limeridge.trial import judge
from limeridge.trial.scenario import Kind, Trial

MS = 1_000
LINGER = 100 * MS
KINDS = {
    Kind.KILL: "kill",
    Kind.PAUSE: "pause",
    Kind.CUT: "cut",
    Kind.CUT_ONE_WAY: "one-way",
    Kind.ISLANDS: "islands",
    Kind.FLAP: "flap",
    Kind.LOSS: "loss",
    Kind.DELAY: "slow",
    Kind.GARBLE: "garble",
    Kind.REPLACE: "replace",
    Kind.DOUBLE: "double",
    Kind.STEP: "step",
    Kind.BANDWIDTH: "narrow",
    Kind.REORDER: "reorder",
    Kind.COPIES: "copies",
}


def passed_over(trial: Trial) -> list[str]:
    """The kinds of faults in a trial that virtual members cannot have."""
    return sorted({act.kind.value for act in trial.acts if act.kind not in KINDS})


def setting_of(trial: Trial) -> Setting:
    """The trial as a setting of virtual members; the faults that they cannot have are left out."""
    habits = Intervals.from_probe_interval(trial.interval)
    troubles = tuple(
        Trouble(
            KINDS[act.kind],
            trial.warm + act.at,
            # A death that nobody comes back from lasts to the end.
            act.lasts or (trial.over + trial.rest if act.kind is Kind.KILL else 0),
            act.who or tuple(range(trial.instances)),
            act.amount / 1_000 if act.kind is Kind.DELAY else act.amount,
        )
        for act in trial.acts
        if act.kind in KINDS
    )
    quiet = trial.warm + max(trial.over, 1)
    return Setting(
        trial.seed, trial.instances, trial.terms, habits, 0.0, quiet, quiet + trial.rest, troubles, LINGER
    )


class Watch:
    """Keeps what is seen in the form that the judge reads."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.record = judge.Record(end=trial.over + trial.rest)
        self.held: dict[tuple[int, int], bool] = {}
        self.lives: dict[Process, judge.Life] = {}
        self.most = -1

    def __call__(self, fleet: Fleet) -> None:
        at = fleet.now - self.trial.warm
        current = [each for each in fleet.current if each is not None]
        everybody: list[Process] = [*current, *fleet.doubles]
        for process in everybody:
            if process not in self.lives:
                double = process in fleet.doubles
                life = judge.Life(process.number, process.born - self.trial.warm, double=double)
                self.lives[process] = life
                self.record.lives.append(life)
            self.lives[process].told = self.lives[process].told or process.peer.leaving
        for process, life in self.lives.items():
            if not process.alive and life.end is None:
                life.end = at
        for process in current:
            for claim in process.peer.members.others(*State):
                key = process.number, int(claim.name[1:])
                gone = claim.state >= State.DEAD
                if gone and not self.held.get(key):
                    self.record.lines.append(
                        judge.GradeChange(at, process.number, "gone", key[1], claim.life.number)
                    )
                self.held[key] = gone
        if fleet.verdict.most_in_hand != self.most:
            self.most = fleet.verdict.most_in_hand
            self.record.in_hand.append((at, self.most))
        self.record.looks.append(
            judge.FleetSample(
                at,
                {
                    each.number: frozenset((c.name, c.life.number) for c in each.peer.members.present())
                    for each in current
                },
                {each.number: each.peer.own.life.number for each in current},
                {each.number: each.peer.share(each.clock()) or 0 for each in current if not each.paused},
                frozenset(each.number for each in current if not each.peer.leaving),
            )
        )


def run(trial: Trial) -> judge.Verdict:
    """Plays a trial with virtual members and judges it by the same rules."""
    watch = Watch(trial)
    fleet = Fleet(setting_of(trial), watch)
    found = fleet.run()
    verdict = judge.judge(trial, watch.record)
    if found.rule:  # the run ended there: what was not reached after it says nothing
        verdict.broke = [f"{found.rule}: {found.what} at {(found.at - trial.warm) / 1e6:.3f} s"]
    return verdict
