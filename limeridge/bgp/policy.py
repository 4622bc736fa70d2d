"""What is announced for a service address, from what the instance sees of itself.

It owns the steps of a route (held back, up, less wanted, shutting, gone), their hysteresis, the budget of
changes, the order of a drain and the lot by which few step down in overload. It takes views with their time
and gives changes back; it must never touch a session, a socket or a clock. Times are whole microseconds.

Overload. Nodes share nothing, so no node knows how many others are overloaded. If each withdrew when it is,
all would: the load of the first that goes makes the next ones go. So overload never withdraws here. A node
may only make its route less wanted, and only while it holds a lot: in each span of time (`lot_span`) its seed
draws whether it is one of the share `lot_share` that may. With a share of 0.3, of 20 overloaded nodes 6 step
down in the mean, and more than 14 in one of a million spans; the others stay as they are, whatever they see.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000


class Step(Enum):
    """Of an address's route. The order is from nothing to everything."""

    GONE = "withdrawn"
    SHUTTING = "graceful shutdown"  # announced with the community of RFC 8326
    LESS = "less wanted"
    UP = "up"


@dataclass(slots=True, frozen=True)
class View:
    """What an instance knows of itself. `welcome` is its published value of 0 to 1 and more, `unread` whether
    what it reads has waited too long unread, `warmth` the share of its speed that it has by now."""

    ready: bool
    welcome: float = 1.0
    unread: bool = False
    warmth: float = 1.0
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class Rules:
    """Limits of the policy; settings give them, checked there."""

    warm_from: float = 0.5  # no announcement before that share of the speed is there
    steady: int = 1 * SECOND  # that a node must be ready before its route is announced (again)
    steady_most: int = 60 * SECOND  # the longest that grows to, doubled by each withdrawal that was no drain
    forgiven: int = 300 * SECOND  # up for so long, and that starts anew
    low: float = 0.25  # welcome under which a node counts as overloaded
    high: float = 0.6  # welcome over which it no longer does
    hold: int = 3 * SECOND  # that an overload must last, and its end, before the step changes
    lot_share: float = 0.3  # of the nodes that may be less wanted at once
    lot_span: int = 60 * SECOND
    budget: int = 6  # steps in `budget_span` that are not forced
    budget_span: int = 60 * SECOND
    shutting: int = 500_000  # between the graceful shutdown and the withdrawal of a drain
    cut_off: int = 2 * SECOND  # after the notice, when the withdrawal must long be out
    margin: int = 500_000  # before the cut-off


@dataclass(slots=True, frozen=True)
class Change:
    """`forced` ones are owed to the rules and no budget holds them back."""

    at: int
    step: Step
    why: str
    forced: bool


class Announcer:
    """The route of one address, by the views of one instance."""

    def __init__(self, rules: Rules, chance: random.Random, now: int) -> None:
        self.rules, self.chance = rules, chance
        self.step = Step.GONE
        self.view: View | None = None
        self.ready_since: int | None = None
        self.up_since: int | None = None
        self.steady = rules.steady
        self.overloaded = False  # as it counts, after the hold
        self.turned_at: int | None = None  # since when the view says otherwise
        self.left: int | None = None
        self.lot = False
        self.lot_until = now
        self.spent: deque[int] = deque()  # times of the steps within the budget's span
        self.by_hand: tuple[Step, str, int] | None = None  # until when

    # ---- events

    def see(self, now: int, view: View) -> list[Change]:
        """A new view of the instance; often the same as before."""
        self.view = view
        servable = view.ready and view.warmth >= self.rules.warm_from
        if not servable:
            self.ready_since = None
        elif self.ready_since is None:
            self.ready_since = now
        if view.leaving and self.left is None:
            self.left = now
        low = view.unread or view.welcome < self.rules.low
        calm = not view.unread and view.welcome > self.rules.high
        if (low and not self.overloaded) or (calm and self.overloaded):
            self.turned_at = now if self.turned_at is None else self.turned_at
        else:
            self.turned_at = None
        return self.tick(now)

    def order(self, now: int, step: Step | None, why: str, until: int) -> list[Change]:
        """By hand: never more than the node can bear out, so that an order can't announce what is not served.
        None takes the order back."""
        self.by_hand = None if step is None else (step, why, until)
        return self.tick(now)

    def tick(self, now: int) -> list[Change]:
        """Whatever is due; call it at `next_at` too."""
        if self.view is None:
            return []
        self._turn(now)
        self._draw(now)
        wanted, why, forced = self._wanted(now)
        if self.by_hand is not None and now >= self.by_hand[2]:
            self.by_hand = None
        if self.by_hand is not None and _less(self.by_hand[0], wanted):
            wanted, why, forced = self.by_hand[0], f"by hand: {self.by_hand[1]}", True
        if wanted is self.step:
            return []
        if not forced and not self._affordable(now):
            return []
        return [self._go(now, wanted, why, forced)]

    def next_at(self, now: int) -> int | None:
        """When something may change without a new view."""
        rules, times = self.rules, []
        if self.left is not None and self.step is Step.SHUTTING:
            times.append(self._gone_at())
        if self.ready_since is not None and self.step is Step.GONE:
            times.append(self.ready_since + self.steady)
        if self.turned_at is not None:
            times.append(self.turned_at + rules.hold)
        if self.overloaded:
            times.append(self.lot_until)
        if self.spent and len(self.spent) >= rules.budget:
            times.append(self.spent[0] + rules.budget_span)
        if self.by_hand is not None:
            times.append(self.by_hand[2])
        later = [at for at in times if at > now]
        return min(later, default=None)

    # ---- within

    def _gone_at(self) -> int:
        """When a drain's withdrawal goes: after the shutdown had its time, and well before the cut-off."""
        assert self.left is not None
        return self.left + max(0, min(self.rules.shutting, self.rules.cut_off - self.rules.margin))

    def _wanted(self, now: int) -> tuple[Step, str, bool]:
        assert self.view is not None
        rules, view = self.rules, self.view
        if self.left is not None:
            if self.step in (Step.UP, Step.LESS, Step.SHUTTING) and now < self._gone_at() and view.ready:
                return Step.SHUTTING, "drain", True
            return Step.GONE, "drain", True
        if not view.ready:
            return Step.GONE, "not ready", True
        if self.step is Step.GONE:
            if self.ready_since is None:
                return Step.GONE, "cold", False
            if now < self.ready_since + self.steady:
                return Step.GONE, "not steady yet", False
            return Step.UP, "ready", False
        if self.overloaded and self.lot:
            return Step.LESS, "overload", False
        if view.warmth < rules.warm_from:
            return self.step, "", False  # it was warm: a colder figure alone withdraws nothing
        return Step.UP, "no overload" if self.step is Step.LESS else "ready", False

    def _turn(self, now: int) -> None:
        if self.turned_at is not None and now >= self.turned_at + self.rules.hold:
            self.overloaded, self.turned_at = not self.overloaded, None

    def _draw(self, now: int) -> None:
        """The lot, anew in each span: who was unlucky may be lucky then, and nobody stays down for long."""
        while now >= self.lot_until:
            self.lot = self.chance.random() < self.rules.lot_share
            first = self.lot_until == 0 or self.lot_until + self.rules.lot_span <= now
            self.lot_until = max(self.lot_until, now - self.rules.lot_span) + self.rules.lot_span
            if first:
                # Spans of different nodes begin apart, against all drawing at once.
                self.lot_until = now + int(self.rules.lot_span * self.chance.uniform(0.5, 1.0))

    def _affordable(self, now: int) -> bool:
        while self.spent and self.spent[0] <= now - self.rules.budget_span:
            self.spent.popleft()
        return len(self.spent) < self.rules.budget

    def _go(self, now: int, step: Step, why: str, forced: bool) -> Change:
        rules = self.rules
        if step is Step.GONE and self.left is None:
            # One that goes again and again must be steady for longer each time before it is announced.
            stood = self.up_since is not None and now - self.up_since >= rules.forgiven
            self.steady = rules.steady if stood else min(rules.steady_most, 2 * self.steady)
        if step is Step.UP and self.step is Step.GONE:
            self.up_since = now
        if step is Step.GONE:
            self.up_since = None
        self.step = step
        if not forced:
            self.spent.append(now)
        return Change(now, step, why, forced)


def _less(one: Step, other: Step) -> bool:
    order = list(Step)
    return order.index(one) < order.index(other)
