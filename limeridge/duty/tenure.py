"""One instance's hold on one duty: asking for it, having it, renewing it, giving it back.

It owns the count of voters that granted and the time until which that holds. It must never look at a clock,
send anything or judge whether the duty ought to be had: it is told to begin, and says whether it holds, at
each time that it is asked. A timer never ends a hold: who acts looks first, for the process may have stood
still.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limeridge.duty.ballots import NO_TOKEN, Answer, Terms, Token


@dataclass(slots=True)
class Tenure:
    """One duty as its candidate or holder sees it: what voters granted, and until when it counts."""

    terms: Terms
    name: str
    nonce: int
    quorum: int
    token: Token = NO_TOKEN  # that we ask or hold under
    granted_at: dict[str, int] = field(default_factory=dict)  # by voter: when we asked what it granted last
    refusals: dict[str, Answer] = field(default_factory=dict)  # by voter, of the asking in hand
    highest_known: Token = NO_TOKEN  # the highest heard of, anybody's
    requested_at: int = 0  # the first asking under this token
    released: bool = False  # this token was given back: it never holds again

    # ---- having it

    def expires_at(self) -> int:
        """Our own time at which the hold is over: the lease of the quorum'th latest asking that was
        granted."""
        latest = sorted(self.granted_at.values(), reverse=True)
        if self.released or len(latest) < self.quorum:
            return 0
        return latest[self.quorum - 1] + self.terms.lease - self.terms.margin

    def holds(self, now: int) -> bool:
        """To be asked right before each act."""
        return now < self.expires_at()

    def remaining(self, now: int) -> int:
        """Microseconds that the duty may still be acted on; 0 where it is not held."""
        return max(0, self.expires_at() - now)

    # ---- asking

    def begin(self, unix: int, now: int) -> Token:
        """A new asking, under a token above all that is known. The one before must have been given back."""
        number = max(unix, self.highest_known.number + 1)
        self.token = Token(number, self.name, self.nonce)
        self.highest_known = max(self.highest_known, self.token)
        self.granted_at, self.refusals = {}, {}
        self.requested_at, self.released = now, False
        return self.token

    def handle_answer(self, voter: str, answer: Answer, sent_at: int) -> None:
        """`sent_at`: our own time before that asking was sent. Answers under another token say nothing but
        what is known there."""
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
        """Too many have refused for this token to be granted by a quorum."""
        return voters - len(self.refusals) < self.quorum

    # ---- ending it

    def release(self) -> Token:
        """Ours to act under no more, whatever answers still come. What is returned is to be told to the
        voters."""
        self.released = True
        return self.token

    def observe_token(self, highest: Token) -> None:
        """From the resource, or from a member."""
        self.highest_known = max(self.highest_known, highest)
