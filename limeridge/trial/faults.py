"""What happens between members: who is cut from whom, what is lost, late, doubled or out of order.

It owns the state of all links and the draw of each datagram's fate. It must never open a socket or look at
a clock.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from limeridge.trial.scenario import Act, Kind


@dataclass
class Faults:
    """Numbers name instances. Delays are microseconds."""

    instances: int
    chance: random.Random
    cuts: Counter[tuple[int, int]] = field(default_factory=Counter)  # ways from, to
    slow: Counter[int] = field(default_factory=Counter)  # on all that one sends
    lost: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)

    def cut(self, source: int, target: int) -> bool:
        return self.cuts[(source, target)] > 0

    def datagram(self, source: int, target: int) -> int | None:
        """Its delay; None where it does not arrive."""
        if self.cut(source, target):
            self.counts["cut"] += 1
            return None
        if self.lost and self.chance.random() < self.lost:
            self.counts["lost"] += 1
            return None
        self.counts["passed"] += 1
        return self.slow[source]

    def whole(self, one: int, other: int) -> bool:
        """Whether a connection between them moves anything: both ways are needed."""
        return not self.cut(one, other) and not self.cut(other, one)

    # ---- faults that begin; each gives what ends it

    def sever(self, ways: Iterable[tuple[int, int]]) -> Callable[[], None]:
        chosen = list(ways)
        self.cuts.update(chosen)

        def mend() -> None:
            self.cuts.subtract(chosen)

        return mend

    def begin(self, act: Act) -> Callable[[], None] | None:
        """None for a fault that is not of links. A flap is one cut: who drives it begins it again and
        again."""
        inside = set(act.who)
        outside = set(range(self.instances)) - inside
        if act.kind in (Kind.CUT, Kind.FLAP):
            return self.sever(
                (a, b) for one in inside for other in outside for a, b in ((one, other), (other, one))
            )
        if act.kind is Kind.CUT_ONE_WAY:
            return self.sever((one, other) for one in inside for other in outside)
        if act.kind is Kind.ISLANDS:
            parts = int(act.amount)
            return self.sever(
                (a, b) for a in range(self.instances) for b in range(self.instances) if a % parts != b % parts
            )
        if act.kind is Kind.LOSS:
            before, self.lost = self.lost, act.amount

            def find_again() -> None:
                self.lost = before

            return find_again
        if act.kind is Kind.DELAY:
            more = int(act.amount * 1_000)
            for number in act.who:
                self.slow[number] += more

            def hurry() -> None:
                for number in act.who:
                    self.slow[number] -= more

            return hurry
        return None
