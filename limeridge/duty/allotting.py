"""One instance's part in `ledger-allot`: reporting its need, using its grant, and making grants while it
holds the duty.

Owns when and to whom needs are reported, and the allocator of the current lease. It never opens a socket,
reads a clock, or makes a grant without checking first that it holds the duty.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from limeridge.duty.allot import CallAllocator, Grantee, Terms
from limeridge.duty.ballots import NO_TOKEN, Token
from limeridge.duty.member import Duties

DUTY = "ledger-allot"
REQUESTS_PER_GRANT = 4  # within `grant_duration`
MAX_PENDING_REQUESTS = 32


@dataclass(slots=True)
class CallAllotment:
    """Both sides of the distribution by need: requests for grants, and grants while the duty is held."""

    terms: Terms
    duties: Duties
    grantee: Grantee
    need: Callable[[], int]  # calls that this instance could use above its floor
    next_request_at: int = 0
    seq: int = 0
    pending_requests: dict[int, int] = field(default_factory=dict)  # by number: send time
    allocator: CallAllocator | None = None
    allocator_token: Token = NO_TOKEN
    # Receiver's name, "need" or "grant", request number, calls, key of the requesting process.
    out: list[tuple[str, str, int, int, str]] = field(default_factory=list)

    @property
    def key(self) -> str:
        """Identifies this process: two processes may have the same name, and each is a grantee of its own."""
        return f"{self.duties.own}/{self.duties.nonce:x}"

    def share(self, now: int) -> int:
        """Concurrent calls allowed above the floor at `now`; to be checked before each call."""
        return self.grantee.share(now)

    def wake(self, now: int) -> None:
        """Requests a grant if one is due; called at `next_request_at` or soon after."""
        if now < self.next_request_at or self.duties.leaving:
            return
        self.next_request_at = now + self.terms.grant_duration // REQUESTS_PER_GRANT
        holder = self.duties.holder(DUTY, now)
        if not holder:
            return
        self.seq += 1
        self.pending_requests[self.seq] = now  # taken before it is sent
        while len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        if holder == self.duties.own:
            self._grant(self.duties.own, self.key, self.seq, self.need(), now)
        else:
            self.out.append((holder, "need", self.seq, self.need(), self.key))

    def handle_need(self, sender: str, key: str, seq: int, need: int, now: int) -> None:
        """Handles a member's request for `need` calls; answered only if this member holds the duty."""
        if not self.duties.leaving:
            self._grant(sender, key, seq, need, now)

    def handle_grant(self, seq: int, calls: int, key: str) -> None:
        """Handles the answer to request `seq`; ignores answers meant for another process of this name."""
        if key != self.key:
            return  # requested by another process of the same name
        sent_at = self.pending_requests.pop(seq, None)
        if sent_at is not None:
            self.grantee.record_grant(min(calls, self.terms.surplus), sent_at)

    def _grant(self, grantee: str, key: str, seq: int, need: int, now: int) -> None:
        """Makes a grant under the duty's current token. A new token starts a new allocator, which first waits
        for earlier grants to expire."""
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
