"""One instance's part in `ledger-allot`: it says what it needs, uses what it was granted, and deals while
it holds the duty.

It owns when needs are told and to whom, and the book of a holding. It must never open a socket, look at a
clock, or deal without looking first whether it holds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from limeridge.duty.allot import CallAllocator, Grantee, Terms
from limeridge.duty.ballots import NO_TOKEN, Token
from limeridge.duty.member import Duties

DUTY = "ledger-allot"
REQUESTS_PER_GRANT = 4  # within the time that a grant lasts
MAX_PENDING_REQUESTS = 32


@dataclass(slots=True)
class CallAllotment:
    """Both sides of dealing by need: a member asks for its part, and deals while it holds the duty."""

    terms: Terms
    duties: Duties
    grantee: Grantee
    need: Callable[[], int]  # calls that we could use above the floor
    next_request_at: int = 0
    seq: int = 0
    pending_requests: dict[int, int] = field(default_factory=dict)  # by number: when it was sent
    allocator: CallAllocator | None = None
    allocator_token: Token = NO_TOKEN
    out: list[tuple[str, str, int, int, str]] = field(default_factory=list)
    # to, "need" or "grant", number, calls, the life that asked

    @property
    def key(self) -> str:
        """Of our life: two processes may have one name, and each is a grantee of its own."""
        return f"{self.duties.own}/{self.duties.nonce:x}"

    def share(self, now: int) -> int:
        """Calls in hand above the floor that we may have now; to be asked for before each call."""
        return self.grantee.share(now)

    def wake(self, now: int) -> None:
        """To be called at `next_request_at` or soon after."""
        if now < self.next_request_at or self.duties.leaving:
            return
        self.next_request_at = now + self.terms.grant_duration // REQUESTS_PER_GRANT
        holder = self.duties.holder(DUTY, now)
        if not holder:
            return
        self.seq += 1
        self.pending_requests[self.seq] = now  # before it is sent
        while len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        if holder == self.duties.own:
            self._grant(self.duties.own, self.key, self.seq, self.need(), now)
        else:
            self.out.append((holder, "need", self.seq, self.need(), self.key))

    def handle_need(self, sender: str, key: str, seq: int, need: int, now: int) -> None:
        """Takes a member's request for `need` calls; answered where this member holds the duty."""
        if not self.duties.leaving:
            self._grant(sender, key, seq, need, now)

    def handle_grant(self, seq: int, calls: int, key: str) -> None:
        """Takes the answer to request `seq`; an answer to another life under our name is passed over."""
        if key != self.key:
            return  # another process under our name asked
        sent_at = self.pending_requests.pop(seq, None)
        if sent_at is not None:
            self.grantee.record_grant(min(calls, self.terms.surplus), sent_at)

    def _grant(self, grantee: str, key: str, seq: int, need: int, now: int) -> None:
        """Under the duty's token of this moment; a new one begins a new book, which waits."""
        tenure = self.duties.tenures[DUTY]
        if not tenure.holds(now):
            return
        if self.allocator is None or tenure.token != self.allocator_token:
            self.allocator, self.allocator_token = CallAllocator(self.terms, now), tenure.token
        calls = self.allocator.handle_request(key, need, now)
        if grantee == self.duties.own:
            self.handle_grant(seq, calls, key)
        else:
            self.out.append((grantee, "grant", seq, calls, key))
