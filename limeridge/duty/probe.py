"""`ledger-probe`: while the records service is down, one instance probes it for all, and calls then
resume in steps.

Owns one instance's circuit breaker for the records service, and the state that the duty's holder shares with
the other instances. It never makes a call, holds the duty or reads a clock: callers report the results of
calls and who holds the duty.

UP: calls are limited only by the share. DOWN, after `failure_threshold` consecutive failures: the holder
makes one probe per `probe_interval`, which grows with each failed probe; all others wait for its note. An
instance that knows no holder probes by itself, at a uniformly drawn time up to a bound that doubles, so that
a recovered service is found even if instances cannot communicate. RAMPING, after `success_threshold`
successful probes: an eighth of the share, then a quarter, a half and all, one step per `ramp_step`;
`failure_threshold` failures bring it back to DOWN at once, for all instances by the holder's note and for
each by its own calls.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """State of a circuit breaker; the values are sent in the holder's notes."""

    UP = "u"
    RAMPING = "r"
    DOWN = "d"


@dataclass(slots=True, frozen=True)
class BreakerSettings:
    """Thresholds and times of a circuit breaker; times in microseconds."""

    failure_threshold: int = 5  # consecutive failures
    probe_interval: int = 200_000  # initial interval between the holder's probes
    max_probe_interval: int = 1_000_000
    solo_backoff: int = 1_000_000  # first back-off bound of an instance that knows no holder
    max_solo_backoff: int = 30_000_000
    success_threshold: int = 2  # consecutive successful probes
    ramp_step: int = 500_000
    ramp_steps: int = 4  # fractions of the share: 1/8, 1/4, 1/2, 1
    note_lifetime: int = 3_000_000  # of a note from the holder


@dataclass(slots=True)
class CircuitBreaker:
    """One instance's circuit breaker for the records service."""

    settings: BreakerSettings
    rng: random.Random
    state: State = State.UP
    ramp_position: int = 0  # step of the ramp, from 0
    state_since: int = 0
    failures: int = 0  # consecutive
    successes: int = 0  # consecutive successful probes while DOWN
    failed_probes: int = 0  # since it went DOWN
    next_probe_at: int = 0
    note_received_at: int = -1  # time of the holder's last note; -1 before the first
    rejected: int = 0

    # ---- admission of calls

    def allows_call(self, holds: bool, holder_known: bool, in_progress: int, share: int, now: int) -> bool:
        """Whether a call may be made now; to be checked before each call. `holds`: this instance holds the
        duty; `holder_known`: another instance holds it; `in_progress`: current calls; `share`: concurrent
        calls allowed in state UP."""
        self._advance_ramp(now)
        if self.state is State.UP:
            return True
        if self.state is State.RAMPING:
            allowed = max(1, share >> (self.settings.ramp_steps - 1 - self.ramp_position))
            if in_progress < allowed:
                return True
            self.rejected += 1
            return False
        if holds:  # a back-off that started without a known holder does not apply to the holder
            self.next_probe_at = min(self.next_probe_at, now + self.settings.max_probe_interval)
        if (holds or not holder_known) and now >= self.next_probe_at and not in_progress:
            self.next_probe_at = now + self._probe_delay(holds)
            return True
        self.rejected += 1
        return False

    def _probe_delay(self, holds: bool) -> int:
        settings = self.settings
        if holds:
            return min(settings.max_probe_interval, settings.probe_interval << min(self.failed_probes, 10))
        bound = min(settings.max_solo_backoff, settings.solo_backoff << min(self.failed_probes, 10))
        return max(1, int(self.rng.uniform(0, bound)))

    def _advance_ramp(self, now: int) -> None:
        while self.state is State.RAMPING and now >= self.state_since + self.settings.ramp_step:
            self.ramp_position += 1
            self.state_since += self.settings.ramp_step
            if self.ramp_position >= self.settings.ramp_steps - 1:
                self._transition(State.UP, now)

    def _transition(self, state: State, now: int, step: int = 0) -> None:
        self.state, self.state_since, self.ramp_position = state, now, step
        self.failures = self.successes = self.failed_probes = 0
        if state is State.DOWN:
            self.next_probe_at = now + self._probe_delay(holds=False)

    # ---- results of calls

    def record_result(self, succeeded: bool, holds: bool, now: int) -> None:
        """Records the result of a call. `succeeded`: the records service answered, whatever the answer;
        False: it refused the connection, was unreachable or did not answer."""
        if succeeded:
            self.failures = 0
            if self.state is State.DOWN:
                self.successes += 1
                self.next_probe_at = min(self.next_probe_at, now + self.settings.probe_interval)
                if self.successes >= self.settings.success_threshold:
                    self._transition(State.RAMPING, now)
            return
        self.failures += 1
        self.successes = 0
        if self.state is State.DOWN:
            self.failed_probes += 1
            self.next_probe_at = max(self.next_probe_at, now + self._probe_delay(holds))
        elif self.failures >= self.settings.failure_threshold:
            self._transition(State.DOWN, now)

    # ---- notes between instances

    def encode_note(self) -> bytes:
        """Encodes the state for the holder's notices."""
        return f"{self.state.value}{self.ramp_position}".encode()

    def apply_note(self, note: bytes, now: int) -> None:
        """Adopts the holder's state. Its recovery starts the ramp here, at the same step; its failure takes
        this instance DOWN, unless it is UP and its own last call did not fail."""
        text = note.decode("ascii", "replace")
        states = {state.value: state for state in State}
        if len(text) != 2 or text[0] not in states or not text[1].isdecimal():
            return
        self._advance_ramp(now)
        self.note_received_at = now
        reported, step = states[text[0]], min(int(text[1]), self.settings.ramp_steps - 1)
        if self.state is State.DOWN and reported is not State.DOWN:
            # A holder that is already UP may have finished its ramp long ago, so start at the first step.
            self._transition(State.RAMPING, now, step if reported is State.RAMPING else 0)
        elif reported is State.DOWN and (
            self.state is State.RAMPING or (self.state is State.UP and self.failures)
        ):
            self._transition(State.DOWN, now)
