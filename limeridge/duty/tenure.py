"""One instance's lease on one duty: requesting, holding, renewing and releasing it.

Owns the votes granted and the expiry time that follows from them. It never reads a clock, sends messages or
decides whether to request the duty: callers start a request, and ask whether the lease is valid at a given
time. No timer ends a lease: check `holds` before each action, since the process may have been paused.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limeridge.duty.ballots import NO_TOKEN, Answer, Terms, Token


@dataclass(slots=True)
class Tenure:
    """A duty as its candidate or holder sees it: the votes granted, and when the lease expires."""

    terms: Terms
    name: str
    nonce: int
    quorum: int
    token: Token = NO_TOKEN  # of the current request or lease
    granted_at: dict[str, int] = field(
        default_factory=dict
    )  # by voter: send time of the last granted request
    refusals: dict[str, Answer] = field(default_factory=dict)  # by voter, of the current request
    highest_known: Token = NO_TOKEN  # of any process
    requested_at: int = 0  # send time of the first request under this token
    released: bool = False  # the token was released and never holds again

    # ---- holding

    def expires_at(self) -> int:
        """Local time at which the lease ends, counted from the quorum-th latest request that was granted; 0
        if there is no lease."""
        latest = sorted(self.granted_at.values(), reverse=True)
        if self.released or len(latest) < self.quorum:
            return 0
        return latest[self.quorum - 1] + self.terms.lease - self.terms.margin

    def holds(self, now: int) -> bool:
        """Whether the lease is valid at `now`; to be checked right before each action."""
        return now < self.expires_at()

    def remaining(self, now: int) -> int:
        """Microseconds until the lease ends; 0 if the duty is not held."""
        return max(0, self.expires_at() - now)

    # ---- requesting

    def begin(self, unix: int, now: int) -> Token:
        """Starts a request under a new token, above all known ones. The previous token must have been
        released. `unix` is Unix time in microseconds."""
        number = max(unix, self.highest_known.number + 1)
        self.token = Token(number, self.name, self.nonce)
        self.highest_known = max(self.highest_known, self.token)
        self.granted_at, self.refusals = {}, {}
        self.requested_at, self.released = now, False
        return self.token

    def handle_answer(self, voter: str, answer: Answer, sent_at: int) -> None:
        """Records a voter's answer. `sent_at`: local time before the request was sent. An answer to another
        token only updates the highest known token."""
        self.highest_known = max(self.highest_known, answer.highest)
        if answer.token != self.token or self.released:
            return
        if answer.why:
            self.refusals[voter] = answer
            if answer.why != "kept":
                self.granted_at.pop(voter, None)
        else:
            self.refusals.pop(voter, None)
            self.granted_at[voter] = max(sent_at, self.granted_at.get(voter, sent_at))

    def is_quorum_unreachable(self, voters: int) -> bool:
        """Whether too many voters have refused for a quorum to grant this token."""
        return voters - len(self.refusals) < self.quorum

    # ---- releasing

    def release(self) -> Token:
        """Ends the lease for good, whatever answers still arrive. The caller sends the returned token to the
        voters."""
        self.released = True
        return self.token

    def observe_token(self, highest: Token) -> None:
        """Records a token reported by the resource or by a member."""
        self.highest_known = max(self.highest_known, highest)
