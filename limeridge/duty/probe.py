"""`ledger-probe`: while the records service is down one instance tries it for all, and calls come back by
steps.

It owns one instance's outlook on the records service, what it may call, and what the holder tells the
others. It must never make a call, hold the duty itself or look at a clock: it is told how calls went and who
holds the duty.

Up: calls go as the share allows. Down, after `trip` failures in a row with no good call between: the holder
makes one try each `gap`, longer with each that failed; all others wait for its word. Where no holder is known
each has a budget of its own, a try at a time drawn evenly up to a bound that doubles, so that a service that
comes back is found while nobody can talk. Rising, after `firm` good tries: an eighth of the share, then a
quarter, a half, all, a step each `step`; failures as many as trip it bring it back down at once, for all by
the holder's word and for each by its own calls.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """The text is what the holder tells."""

    UP = "u"
    RISING = "r"
    DOWN = "d"


@dataclass(slots=True, frozen=True)
class Pace:
    """Times in microseconds."""

    trip: int = 5  # failures in a row
    gap: int = 200_000  # between two tries of the holder, the first
    gap_most: int = 1_000_000
    alone: int = 1_000_000  # bound of the first wait of one who knows no holder
    alone_most: int = 30_000_000
    firm: int = 2  # good tries
    step: int = 500_000
    steps: int = 4  # parts of the share: 1/8, 1/4, 1/2, 1
    word: int = 3_000_000  # that the holder's word counts


@dataclass(slots=True)
class Outlook:
    """One instance's."""

    pace: Pace
    rng: random.Random
    state: State = State.UP
    step: int = 0  # of a rise
    since: int = 0
    failures: int = 0  # in a row
    good: int = 0  # tries in a row, while down
    tries: int = 0  # that failed since it went down
    next_try: int = 0
    heard_at: int = -1  # the holder's last word
    turned_away: int = 0

    # ---- what may go out

    def may(self, holds: bool, holder_known: bool, in_hand: int, share: int, now: int) -> bool:
        """Before each call. `holds`: the duty is ours; `holder_known`: somebody else's; `share`: calls in
        hand that we may have when all is well."""
        self._pass(now)
        if self.state is State.UP:
            return True
        if self.state is State.RISING:
            allowed = max(1, share >> (self.pace.steps - 1 - self.step))
            if in_hand < allowed:
                return True
            self.turned_away += 1
            return False
        if holds:  # what we waited for while we were alone is not what a holder waits for
            self.next_try = min(self.next_try, now + self.pace.gap_most)
        if (holds or not holder_known) and now >= self.next_try and not in_hand:
            self.next_try = now + self._wait(holds)
            return True
        self.turned_away += 1
        return False

    def _wait(self, holds: bool) -> int:
        pace = self.pace
        if holds:
            return min(pace.gap_most, pace.gap << min(self.tries, 10))
        bound = min(pace.alone_most, pace.alone << min(self.tries, 10))
        return max(1, int(self.rng.uniform(0, bound)))

    def _pass(self, now: int) -> None:
        while self.state is State.RISING and now >= self.since + self.pace.step:
            self.step += 1
            self.since += self.pace.step
            if self.step >= self.pace.steps - 1:
                self._go(State.UP, now)

    def _go(self, state: State, now: int, step: int = 0) -> None:
        self.state, self.since, self.step = state, now, step
        self.failures = self.good = self.tries = 0
        if state is State.DOWN:
            self.next_try = now + self._wait(holds=False)

    # ---- how calls went

    def went(self, well: bool, holds: bool, now: int) -> None:
        """`well`: the records service answered, whatever the answer; not: it refused, was not reached or kept
        silent."""
        if well:
            self.failures = 0
            if self.state is State.DOWN:
                self.good += 1
                self.next_try = min(self.next_try, now + self.pace.gap)
                if self.good >= self.pace.firm:
                    self._go(State.RISING, now)
            return
        self.failures += 1
        self.good = 0
        if self.state is State.DOWN:
            self.tries += 1
            self.next_try = max(self.next_try, now + self._wait(holds))
        elif self.failures >= self.pace.trip:
            self._go(State.DOWN, now)

    # ---- word between instances

    def note(self) -> bytes:
        """What the holder tells with each word of its holding."""
        return f"{self.state.value}{self.step}".encode()

    def heard(self, note: bytes, now: int) -> None:
        """The holder's word. It lifts and it lowers: a rise begins for all with it, at its step, and a fall
        too where our own calls don't say better."""
        text = note.decode("ascii", "replace")
        states = {state.value: state for state in State}
        if len(text) != 2 or text[0] not in states or not text[1].isdecimal():
            return
        self._pass(now)
        self.heard_at = now
        told, step = states[text[0]], min(int(text[1]), self.pace.steps - 1)
        if self.state is State.DOWN and told is not State.DOWN:
            # Never further up than a rise begins: the holder's may be long past.
            self._go(State.RISING, now, step if told is State.RISING else 0)
        elif told is State.DOWN and (
            self.state is State.RISING or (self.state is State.UP and self.failures)
        ):
            self._go(State.DOWN, now)
