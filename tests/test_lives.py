"""The calls of all lives of one instance within one share, however the lives before ended.

What happens: an instance that used its share of calls in its last moments is killed, its successor starts at
once and makes calls of its own, and the records service sees up to 1.21 times the share over a window.

Why: the successor took the use of the life before as spread evenly over the window, so it charged itself less
with each moment, although all of that use may have come last, and stay in the window to its end. A share of
1.11 and more was charged nothing, though calls of the killed life lingered beside new ones.

What showed it, from a trace of the simulation at the first call that broke the rule: share 1.10, window 2 s,
kill at 1 s; 0.919 calls in hand of the life before in the mean of the window, all in its last 0.97 s, and
0.183 of the own life; the charge for the life before was down to 0.59 at most by then.
"""

import random
from dataclasses import replace
from typing import Any

import pytest
from helpers import BRAIN_SETTINGS
from test_ramp import Life, in_windows

from limeridge.sim.explore import run_plan
from limeridge.sim.plan import SECOND, Fault, Kind, draw
from limeridge.sim.scenario import named

STEP = 10_000  # microseconds between two turns of a life
REBORN = 10_000  # microseconds from the kill to the successor's start


def killed(*at: float, **changes: Any) -> dict[str, Any]:
    """Ranges of a busy instance with a small share, killed so many seconds after its start."""
    kills = tuple(Fault(Kind.KILL, at=int(each * SECOND), lasts=0, amount=0.01) for each in at)
    return {
        "instances": (1, 1),
        "txns": (400, 600),
        "op_ms": (20, 60),
        "calls_out": (0.4, 0.95),
        "expiry_ms": (500, 800),
        "faults": (0, 0),
        "quanta": (1,),
        "cold": 0.0,
        "referenced": 0.0,
        "once_only": 0.0,
        "scripted": kills,
    } | changes


WAYS = {
    "under 1, at 0.5 s": (killed(0.5), (0, 1, 2, 3, 4, 5)),
    "under 1, at 1 s": (killed(1), (0, 4, 5, 7, 8, 9)),
    "under 1, at 1 and 1.4 s": (killed(1, 1.4), (0, 1, 2, 3, 4, 5)),
    "1 to 1.2, at 1 s": (killed(1, calls_out=(1.0, 1.2)), (4, 7, 23, 28)),
    "1 to 2, at 0.5 s": (killed(0.5, calls_out=(1.0, 2.0)), (0, 1, 2, 3, 4)),
    "1 to 2, at 1 s": (killed(1, calls_out=(1.0, 2.0)), (0, 1, 2, 3, 4)),
    "1 to 2, at 2 s": (killed(2, calls_out=(1.0, 2.0)), (0, 1, 2, 3)),
    "2 to 4, at 1 s": (killed(1, calls_out=(2.0, 4.0)), (0, 1, 2, 3)),
}


@pytest.mark.parametrize("way", WAYS)
def test_calls_of_all_lives_keep_to_one_share_in_the_simulation(way: str) -> None:
    changes, seeds = WAYS[way]
    ranges = replace(named("restart-small-share"), **changes)
    outcomes = [run_plan(draw(ranges, seed)) for seed in seeds]
    assert all(outcome.judged["call-limit-lives"] for outcome in outcomes)
    broken = [f"{outcome.seed}: {outcome.rule}: {outcome.what}" for outcome in outcomes if outcome.rule]
    assert not broken, "\n".join(broken)


def settings_of(share: float, window: int, linger: int) -> dict[str, Any]:
    return BRAIN_SETTINGS | {
        "products.0.sla_time": 1_500_000,
        "instance.skip_values": [0.0],
        "instance.calls_out": share,
        "instance.calls_over": window,
        "instance.linger": linger,
    }


def mean_calls_in_hand(
    share: float, window: int, linger: int, work: int, kills: list[int], last: int
) -> list[float]:
    """In each window, over lives of which each is followed at once; the first one starts warm."""
    seed = int(1_000 * share) + work + len(kills)
    chance = random.Random(seed)
    plain = settings_of(share, window, linger)
    life = Life(plain | {"instance.cold": False}, 0, seed, linger)
    spans: list[tuple[int, int]] = []
    kills = sorted(kills)
    for now in range(0, last, STEP):
        if kills and now >= kills[0]:
            del kills[0]
            life.die(now)
            spans += life.spans
            seed += 1
            life = Life(plain | {"instance.cold": True}, now + REBORN, seed, linger)
        if now >= life.brain.started:
            life.turn(now, work, chance)
    life.die(last)
    return in_windows([*spans, *life.spans], window, STEP, last)


@pytest.mark.parametrize("linger", [100_000, 200_000])
@pytest.mark.parametrize("window", [1_000_000, 2_000_000, 5_000_000])
@pytest.mark.parametrize("share", [0.1, 0.25, 0.4, 0.6, 0.9, 1.0, 1.1, 1.2, 1.9, 3.4])
def test_no_ending_of_the_lives_before_gives_a_second_share(share: float, window: int, linger: int) -> None:
    """Kills anywhere in a window, several in one of them: counted in each window, to the last call."""
    chance = random.Random(f"{share}/{window}/{linger}")
    for work in (30_000, 150_000):
        last = 5 * window
        kills = [int(chance.uniform(window, last)) for _ in range(3)]
        kills.append(kills[0] + int(chance.uniform(0.1, 0.6) * window))
        most = max(mean_calls_in_hand(share, window, linger, work, kills, last))
        assert most <= share, f"{most:.3f} in hand of {share}, killed at {sorted(kills)}, work {work}"


@pytest.mark.parametrize(
    ("share", "window", "least"),
    [(0.3, 5_000_000, 0.3), (0.6, 2_000_000, 0.3), (0.9, 4_000_000, 0.6), (1.0, 1_000_000, 0.5)],
)
def test_a_successor_still_makes_its_calls(share: float, window: int, least: float) -> None:
    """In the first window after a kill, by parts of the share. To charge the life before in full until it has
    left the window would hold the rule too, and leave a successor a third of its calls."""
    made = []
    for killed_at in range(2 * window, 3 * window, window // 5):
        end = killed_at + REBORN + window
        [*_, whole] = mean_calls_in_hand(share, window, 100_000, 60_000, [killed_at], end + STEP)
        before = mean_calls_in_hand(share, window, 100_000, 60_000, [], killed_at + STEP)
        assert before[-1] > least * share
        made.append(whole / share)
    assert sum(made) / len(made) > least, made
