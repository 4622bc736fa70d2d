"""Runs plans: one, or many in parallel; sums up their coverage and shrinks a failing plan.

This module manages worker processes and counts. The plan defines the content of a run, the oracles its rules.
"""

from __future__ import annotations

import gc
import multiprocessing
import os
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations

from limeridge.sim.oracles import RULES
from limeridge.sim.plan import NON_PEER_FAULTS, Plan, Shrinker, draw
from limeridge.sim.scenario import load_scenario
from limeridge.sim.world import Outcome, Record, World


def run_plan(plan: Plan, record: Record | None = None) -> Outcome:
    return World(plan, record).run()


def run_seed(scenario: str, seed: int, record: Record | None = None) -> Outcome:
    return run_plan(draw(load_scenario(scenario), seed), record)


# ---- many runs


def _run_job(job: tuple[str, int]) -> Outcome:
    """Runs one seed in a worker process. Its garbage is collected from time to time, outside of any run."""
    try:
        return run_seed(*job)
    except Exception:  # a fault of the simulator must not lose the other seeds
        scenario, seed = job
        return Outcome(seed, scenario, "", 0, 0, 0, "raises", what=traceback.format_exc()[-1_500:])


def _init_worker() -> None:
    gc.collect()
    gc.freeze()  # exempts what exists now from the collections at the end of each run


def explore(scenario: str, seeds: Iterable[int], jobs: int) -> Iterator[Outcome]:
    """Yields outcomes as they complete, in no fixed order; the same seeds give the same set."""
    work = ((scenario, seed) for seed in seeds)
    if jobs <= 1:
        yield from map(_run_job, work)
        return
    with multiprocessing.get_context("forkserver" if os.name == "posix" else "spawn").Pool(
        jobs, _init_worker
    ) as pool:
        yield from pool.imap_unordered(_run_job, work, chunksize=4)


@dataclass
class Coverage:
    """Totals over many runs."""

    runs: int = 0
    steps: int = 0
    txns: int = 0
    instances: int = 0
    least_instances: int = 1_000_000
    faults: Counter[str] = field(default_factory=Counter)
    pairs: Counter[tuple[str, str]] = field(default_factory=Counter)
    judged: Counter[str] = field(default_factory=Counter)
    states: Counter[str] = field(default_factory=Counter)
    broken: Counter[str] = field(default_factory=Counter)
    begun: float = field(default_factory=time.monotonic)

    def add(self, outcome: Outcome) -> None:
        self.runs += 1
        self.steps += outcome.steps
        self.txns += outcome.txns
        self.instances += outcome.instances
        self.least_instances = min(self.least_instances, outcome.instances)
        self.faults.update(kind for kind, _, _ in outcome.came)
        self.pairs.update(tuple(pair) for pair in outcome.pairs)  # type: ignore[misc]
        self.judged.update(outcome.judged)
        self.states.update(outcome.states)
        if outcome.rule:
            self.broken[outcome.rule] += 1

    def all_pairs(self) -> dict[tuple[str, str], int]:
        """How often each pair of different fault kinds overlapped, including pairs that never did."""
        # Peer faults occur only in scenarios with peers, so they are listed only if they occurred.
        kinds = sorted({kind.value for kind in NON_PEER_FAULTS} | set(self.faults))
        return {pair: self.pairs.get(pair, 0) for pair in combinations(kinds, 2)}

    def checks_by_rule(self) -> dict[str, int]:
        return {rule: self.judged.get(rule, 0) for rule in RULES}

    def seconds(self) -> float:
        return time.monotonic() - self.begun


# ---- shrinking


def shrink(
    plan: Plan,
    outcome: Outcome,
    seconds: float,
    max_tries: int = 1_000_000,
    on_smaller: Callable[[Plan, Outcome], None] | None = None,
) -> tuple[Plan, Outcome, int]:
    """Returns the smallest plan found within `seconds` and `max_tries` that still violates the same rule, its
    outcome, and the number of plans tried."""
    shrinker, best = Shrinker(plan, outcome.at), outcome
    until = time.monotonic() + seconds
    while (
        shrinker.tries < max_tries
        and time.monotonic() < until
        and (smaller := shrinker.next_plan()) is not None
    ):
        tried = run_plan(smaller)
        same = tried.rule == outcome.rule and tried.steps <= best.steps
        shrinker.record_result(smaller, tried.at if same else None)
        if same:
            best = tried
            if on_smaller is not None:
                on_smaller(smaller, tried)
    return shrinker.best, best, shrinker.tries
