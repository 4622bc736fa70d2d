"""`ledger-allot`: the surplus of the fleet's limit dealt out by need, in grants that lapse.

It owns the holder's book of what is out, the cut of the surplus by need, and what one instance may use of
what it was granted. It must never look at a clock, send anything or trust a timer: a grant is looked at
before each call.

1. A taker uses a grant for `lasts` from before it asked, by its own clock; calls begun under it are over
   `longest` later.
2. The holder counts a grant as out until `lasts` + `longest` after it gave it, longer by the drift of both
   clocks. A smaller grant to the same taker counts only once the larger one before it is over.
3. A new holder deals nothing until all that an older one may have dealt is over: `wait`, from when it got the
   duty. It holds under a lease by majority, so that no two deal at a time.

Hence what is in use adds up to the surplus at most, over any change of holder: the book never has more out,
and no two books count at one time. With the floors, which need nobody's word, that is the limit.

Need is what a taker says that it could use, calls in hand and waiting. The cut is max-min fair: everybody
gets what it asks for up to a level, the level as high as the surplus allows (water-filling; Bertsekas,
Gallager, Data Networks, 1992, section 6.5.2), in whole calls.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from limeridge.peers.digest import score_of


@dataclass(slots=True, frozen=True)
class Terms:
    """The same at all instances. Times in microseconds."""

    surplus: int  # calls in hand at one time, above all floors
    lasts: int = 1_500_000
    longest: int = 2_000_000  # that a call may be at the records service
    drift: float = 0.001  # of each clock

    @property
    def out(self) -> int:
        """As long as the holder counts it, a grant and the calls begun under it are surely over."""
        return int((self.lasts + self.longest) * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def wait(self) -> int:
        """Of a new holder, before it deals: as long as a grant of the one before may be out."""
        return self.out


def cut(needs: Mapping[str, int], surplus: int) -> dict[str, int]:
    """Whole calls by taker, `surplus` at most in all; what is left over by whole calls goes to those whose
    names score highest, the same at each cut."""
    left, given = surplus, dict.fromkeys(needs, 0)
    hungry = sorted((name for name in needs if needs[name] > 0), key=lambda name: (needs[name], name))
    while hungry and left:
        level = left // len(hungry)
        if level == 0:
            for name in sorted(hungry, key=lambda each: (-score_of(each, "allot"), each))[:left]:
                given[name] += 1
            break
        filled = [name for name in hungry if needs[name] - given[name] <= level]
        if not filled:
            for name in hungry:
                given[name] += level
                left -= level
            continue
        for name in filled:
            left -= needs[name] - given[name]
            given[name] = needs[name]
        hungry = [name for name in hungry if given[name] < needs[name]]
    return given


@dataclass(slots=True)
class Out:
    """What one holder may have in hand of the surplus, and until when at the latest."""

    calls: int
    until: int  # on the holder's clock


@dataclass(slots=True)
class Book:
    """The holder's. `begun`: when it got the duty, on its own clock."""

    terms: Terms
    begun: int
    needs: dict[str, tuple[int, int]] = field(default_factory=dict)  # by taker: need, and when it said so
    out: dict[str, list[Out]] = field(default_factory=dict)

    def total(self, now: int) -> int:
        """Calls that may be in use by what was dealt: of each taker its largest grant that is not over."""
        self._forget(now)
        return sum(max((each.calls for each in some), default=0) for some in self.out.values())

    def _forget(self, now: int) -> None:
        for taker, some in list(self.out.items()):
            self.out[taker] = [each for each in some if each.until > now]
            if not self.out[taker]:
                del self.out[taker]
        for taker, (_, at) in list(self.needs.items()):
            if now - at > 2 * self.terms.lasts:
                del self.needs[taker]

    def handle_request(self, taker: str, need: int, now: int) -> int:
        """Calls granted to `taker` from now on, in place of what it had; it may be told 0."""
        self.needs[taker] = max(0, need), now
        if now < self.begun + self.terms.wait:
            return 0
        self._forget(now)
        fair = cut({name: said for name, (said, _) in self.needs.items()}, self.terms.surplus)[taker]
        had = max((each.calls for each in self.out.get(taker, ())), default=0)
        free = self.terms.surplus - self.total(now) + had
        calls = max(0, min(fair, free))
        if calls:
            # A grant that is covered by this one, in calls and in time, need not be remembered beside it.
            rest = [each for each in self.out.get(taker, ()) if each.calls > calls]
            self.out[taker] = [*rest, Out(calls, now + self.terms.out)]
        return calls


@dataclass(slots=True)
class Taker:
    """What one instance may use of what it was granted last."""

    terms: Terms
    calls: int = 0
    asked_at: int = -1

    def granted(self, calls: int, asked_at: int) -> None:
        """`asked_at`: our own time before the asking was sent. An answer to an older asking changes
        nothing."""
        if asked_at > self.asked_at:
            self.calls, self.asked_at = max(0, calls), asked_at

    def share(self, now: int) -> int:
        """Calls in hand above the floor, to be asked for before each call."""
        fresh = self.asked_at >= 0 and self.asked_at <= now < self.asked_at + self.terms.lasts
        return self.calls if fresh else 0
