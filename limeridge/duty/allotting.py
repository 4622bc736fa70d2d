"""One instance's part in `ledger-allot`: it says what it needs, uses what it was granted, and deals while
it holds the duty.

It owns when needs are told and to whom, and the book of a holding. It must never open a socket, look at a
clock, or deal without looking first whether it holds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from limeridge.duty.allot import Book, Taker, Terms
from limeridge.duty.ballots import NO_TOKEN, Token
from limeridge.duty.member import Duties

DUTY = "ledger-allot"
ASKS = 4  # within the time that a grant lasts
SEQS_KEPT = 32


@dataclass(slots=True)
class Allotting:
    """Both sides of dealing by need: a member asks for its part, and deals while it holds the duty."""

    terms: Terms
    duties: Duties
    taker: Taker
    need: Callable[[], int]  # calls that we could use above the floor
    next_ask: int = 0
    seq: int = 0
    asked: dict[int, int] = field(default_factory=dict)  # by number: when it was sent
    book: Book | None = None
    dealt_under: Token = NO_TOKEN
    out: list[tuple[str, str, int, int, str]] = field(default_factory=list)
    # to, "need" or "grant", number, calls, the life that asked

    @property
    def key(self) -> str:
        """Of our life: two processes may have one name, and each is a taker of its own."""
        return f"{self.duties.own}/{self.duties.nonce:x}"

    def share(self, now: int) -> int:
        """Calls in hand above the floor that we may have now; to be asked for before each call."""
        return self.taker.share(now)

    def wake(self, now: int) -> None:
        """To be called at `next_ask` or soon after."""
        if now < self.next_ask or self.duties.leaving:
            return
        self.next_ask = now + self.terms.lasts // ASKS
        holder = self.duties.holder(DUTY, now)
        if not holder:
            return
        self.seq += 1
        self.asked[self.seq] = now  # before it is sent
        while len(self.asked) > SEQS_KEPT:
            del self.asked[next(iter(self.asked))]
        if holder == self.duties.own:
            self._deal(self.duties.own, self.key, self.seq, self.need(), now)
        else:
            self.out.append((holder, "need", self.seq, self.need(), self.key))

    def heard_need(self, sender: str, key: str, seq: int, need: int, now: int) -> None:
        """Takes a member's request for `need` calls; answered where this member holds the duty."""
        if not self.duties.leaving:
            self._deal(sender, key, seq, need, now)

    def heard_grant(self, seq: int, calls: int, key: str) -> None:
        """Takes the answer to request `seq`; an answer to another life under our name is passed over."""
        if key != self.key:
            return  # another process under our name asked
        asked_at = self.asked.pop(seq, None)
        if asked_at is not None:
            self.taker.granted(min(calls, self.terms.surplus), asked_at)

    def _deal(self, taker: str, key: str, seq: int, need: int, now: int) -> None:
        """Under the duty's token of this moment; a new one begins a new book, which waits."""
        tenure = self.duties.tenures[DUTY]
        if not tenure.holds(now):
            return
        if self.book is None or tenure.token != self.dealt_under:
            self.book, self.dealt_under = Book(self.terms, now), tenure.token
        calls = self.book.handle_request(key, need, now)
        if taker == self.duties.own:
            self.heard_grant(seq, calls, key)
        else:
            self.out.append((taker, "grant", seq, calls, key))
