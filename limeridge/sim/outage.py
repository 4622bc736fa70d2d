"""A ledger that goes down and comes back under many members: how often it is tried meanwhile and how calls
come back, with `ledger-probe` and without.

It owns the ledger, the calls and their counting. Members, duties and the network are those of `duties.py`.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, replace
from functools import partial

from limeridge.duty.ballots import Terms
from limeridge.duty.candidacy import CandidateTiming
from limeridge.duty.delegate import DutyDelegate
from limeridge.duty.electorate import Electorate
from limeridge.duty.member import Duties, DutySpec
from limeridge.duty.probe import BreakerSettings, CircuitBreaker, State
from limeridge.peers.shares import Terms as Shares
from limeridge.sim.gossip import MS, QUICK, SECOND, Fleet, Process, Setting

DUTY = "ledger-probe"
EVERY = 100 * MS  # between two calls that an instance would make
TOOK = 20 * MS
SHARE = 4  # calls in hand of each
DOWN = 6 * SECOND, 16 * SECOND


@dataclass(slots=True)
class Came:
    """What came of one run; tries a second of all instances, by second."""

    members: int
    duty: bool
    tries: dict[int, int]
    tries_a_second_down: float = 0.0  # from two seconds after it went down
    first_second_back: int = 0
    found_after_ms: int = -1  # from its return to the first call that it answers
    all_after_ms: int = -1  # until calls are back at nine tenths of before


class OutageFleet(Fleet):
    def __init__(self, setting: Setting, duty: bool) -> None:
        super().__init__(setting)
        self.duty = duty
        self.tries: Counter[int] = Counter()
        self.good: list[int] = []

    def start(self, number: int, host: str = "") -> Process:
        process = super().start(number, host)
        chance = random.Random(f"outage {self.setting.seed} {number}")
        outlook, own = CircuitBreaker(BreakerSettings(), chance), process.peer.own
        voters = tuple(f"n{each}" for each in range(min(5, self.setting.members)))
        declared = {DUTY: DutySpec(DUTY, Terms(1_500 * MS), meanwhile="each tries by itself, seldom")}
        duties = Duties(
            own.name,
            own.life.nonce,
            Electorate(1, voters),
            declared,
            CandidateTiming(),
            chance,
            process.clock(),
        )
        if self.duty:
            process.peer.attach(DutyDelegate(duties), process.clock())
        self.after(
            int(chance.uniform(0, EVERY)) + 2 * SECOND, partial(self.call, process, duties, outlook, chance)
        )
        return process

    def is_down(self) -> bool:
        return DOWN[0] <= self.now < DOWN[1]

    def call(self, process: Process, duties: Duties, outlook: CircuitBreaker, chance: random.Random) -> None:
        now = process.clock()
        holder = duties.holder(DUTY, now)
        word = duties.holder_reports.get(DUTY)
        if word is not None and now < word.until and word.note:
            outlook.apply_note(word.note, now)
        holds = duties.fencing_token(DUTY, now) is not None
        if holds:
            before = duties.notes.get(DUTY)
            duties.notes[DUTY] = outlook.encode_note()
            if before != outlook.encode_note():
                duties.candidates[DUTY].renewed_at = 0  # a change is told at once
                process.peer.delegates.wake_at["duty"] = now
        # Without the duty each tries as its callers ask: that is how it is today.
        if not self.duty or outlook.allows_call(holds, bool(holder) and not holds, 0, SHARE, now):
            self.tries[self.now // SECOND] += 1
            well = not self.is_down()
            self.after(TOOK if well else 1_000, partial(self.went, process, outlook, holds, well))
        wait = EVERY // 4 if outlook.state is State.DOWN and holds else int(chance.uniform(0.5, 1.5) * EVERY)
        self.after(wait, partial(self.call, process, duties, outlook, chance))

    def went(self, process: Process, outlook: CircuitBreaker, holds: bool, well: bool) -> None:
        if well:
            self.good.append(self.now)
        outlook.record_result(well, holds, process.clock())


def play(members: int, duty: bool, seed: int = 1) -> Came:
    shares = Shares(limit=SHARE * members, capacity=members, voters=tuple(f"n{n}" for n in range(5)))
    setting = Setting(seed, members, shares, QUICK, 0.01, 0, 26 * SECOND, load=False, watched=False)
    setting = replace(setting, quiet=24 * SECOND)
    fleet = OutageFleet(setting, duty)
    fleet.judge_end = lambda: None  # type: ignore[method-assign]  # nothing of membership is looked at here
    fleet.run()
    tries = dict(sorted(fleet.tries.items()))
    begin, end = DOWN[0] // SECOND, DOWN[1] // SECOND
    came = Came(members, duty, tries)
    came.tries_a_second_down = sum(tries.get(s, 0) for s in range(begin + 2, end)) / (end - begin - 2)
    came.first_second_back = tries.get(end, 0)
    after = [at for at in fleet.good if at > DOWN[1]]
    if after:
        came.found_after_ms = (after[0] - DOWN[1]) // 1_000
    usual = sum(1 for at in fleet.good if DOWN[0] - SECOND <= at < DOWN[0])
    for at in range(DOWN[1], 26 * SECOND - SECOND, 250 * MS):
        if sum(1 for each in after if at <= each < at + SECOND) >= 0.9 * usual:
            came.all_after_ms = (at - DOWN[1]) // 1_000
            break
    return came
