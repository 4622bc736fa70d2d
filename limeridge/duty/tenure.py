"""One instance's hold on one duty: asking for it, having it, renewing it, giving it back.

It owns the count of voters that granted and the time until which that holds. It must never look at a clock,
send anything or judge whether the duty ought to be had: it is told to begin, and says whether it holds, at
each time that it is asked. A timer never ends a hold: who acts looks first, for the process may have stood
still.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limeridge.duty.ballots import NONE, Answer, Terms, Token


@dataclass(slots=True)
class Tenure:
    """One duty as its candidate or holder sees it: what voters granted, and until when it counts."""

    terms: Terms
    name: str
    nonce: int
    quorum: int
    token: Token = NONE  # that we ask or hold under
    granted: dict[str, int] = field(default_factory=dict)  # by voter: when we asked what it granted last
    refused: dict[str, Answer] = field(default_factory=dict)  # by voter, of the asking in hand
    known: Token = NONE  # the highest heard of, anybody's
    asked_at: int = 0  # the first asking under this token
    given: bool = False  # this token was given back: it never holds again

    # ---- having it

    def until(self) -> int:
        """Our own time at which the hold is over: the lease of the quorum'th latest asking that was
        granted."""
        latest = sorted(self.granted.values(), reverse=True)
        if self.given or len(latest) < self.quorum:
            return 0
        return latest[self.quorum - 1] + self.terms.lease - self.terms.margin

    def holds(self, now: int) -> bool:
        """To be asked right before each act."""
        return now < self.until()

    def left(self, now: int) -> int:
        """Microseconds that the duty may still be acted on; 0 where it is not held."""
        return max(0, self.until() - now)

    # ---- asking

    def begin(self, unix: int, now: int) -> Token:
        """A new asking, under a token above all that is known. The one before must have been given back."""
        number = max(unix, self.known.number + 1)
        self.token = Token(number, self.name, self.nonce)
        self.known = max(self.known, self.token)
        self.granted, self.refused = {}, {}
        self.asked_at, self.given = now, False
        return self.token

    def answered(self, voter: str, answer: Answer, asked_at: int) -> None:
        """`asked_at`: our own time before that asking was sent. Answers under another token say nothing but
        what is known there."""
        self.known = max(self.known, answer.highest)
        if answer.token != self.token or self.given:
            return
        if answer.why:
            self.refused[voter] = answer
            if answer.why != "kept":
                self.granted.pop(voter, None)
        else:
            self.refused.pop(voter, None)
            self.granted[voter] = max(asked_at, self.granted.get(voter, asked_at))

    def hopeless(self, voters: int) -> bool:
        """Too many have refused for this token to be granted by a quorum."""
        return voters - len(self.refused) < self.quorum

    # ---- ending it

    def give_back(self) -> Token:
        """Ours to act under no more, whatever answers still come. What is returned is to be told to the
        voters."""
        self.given = True
        return self.token

    def learned(self, highest: Token) -> None:
        """From the resource, or from a member."""
        self.known = max(self.known, highest)
