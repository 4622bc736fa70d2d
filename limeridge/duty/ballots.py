"""Per-duty promises of one voter, and its recovery after a restart.

Owns tokens and their order, promises and their expiry, and the silent period and state recovery of a voter
that has just started. It never reads a clock, sends messages or draws random numbers: callers pass in the
time, in microseconds on the voter's own clock, which keeps running while the process is paused.

1. A voter promises a duty to one holder at a time, under one token, until the promise expires by the voter's
   clock or the holder releases it. Meanwhile it refuses all other candidates.
2. A promise runs from the receipt of the request, the holder's lease from before the request was sent, and
   the voter adds the drift of both clocks. So a holder's lease ends before the promises that it rests on.
3. A voter that has started does not answer for `promise_duration`, after which all promises of an earlier
   process have expired.
4. Any two quorums share a voter. Hence no two processes hold a duty at the same true time.
5. A voter grants no token below the highest that it knows of. A voter that has started does not know what it
   granted before: after the silent period it collects the highest tokens from a quorum of other voters that
   have not lost theirs. If it finds no such quorum for some time (most have restarted, or are unreachable)
   it votes anyway, because the duty must become available again. The order of tokens then rests on Unix
   time, on what members know and on what the resource reports (`docs/design/duty.md`).

The closest published algorithm is PaxosLease (Trencseni, Gazso, Reinhardt 2012): promises in memory, a
proposer's time that starts before it proposes, restarted acceptors that wait. Its first phase is left out: a
candidate that is refused releases what it was granted, and a token that is too low is refused with the
highest known one. That costs a second round where the token is too low and saves one everywhere else. A
PaxosLease acceptor may accept a higher ballot's proposal during a lower ballot's lease only if a majority
reported no lease in the first phase; rule 1 makes that check unnecessary.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec import Struct


class Token(Struct, frozen=True, array_like=True, order=True):
    """Fencing token that a resource compares; the greater one is newer. `number` is Unix time in
    microseconds, or one more than the highest known number. `name` and `nonce` identify the requesting
    process and make tokens that two candidates create at the same time distinct."""

    number: int = 0
    name: str = ""
    nonce: int = 0

    @property
    def key(self) -> str:
        """Identifies the process that the token belongs to."""
        return f"{self.name}/{self.nonce:x}"


NO_TOKEN = Token()
MAX_RELEASED_TOKENS = 8
MAX_DUTIES = 64  # for which a voter keeps promises
# A voter that finds no quorum to recover from votes without one this many promise durations after its start.
RECOVERY_TIMEOUT_FACTOR = 1.25


@dataclass(slots=True, frozen=True)
class Terms:
    """Lease parameters of one duty; the same at all instances. Times in microseconds."""

    lease: int = 3_000_000
    drift: float = 0.001  # maximum, of each clock
    margin: int = 50_000  # a holder stops this long before its lease ends, to finish the current action

    @property
    def promise_duration(self) -> int:
        """How long a voter keeps a promise, by its clock: the holder's lease has ended by then."""
        return int(self.lease * (1 + self.drift) / (1 - self.drift)) + 1


@dataclass(slots=True, frozen=True)
class Answer:
    """Answer to a request under `token`. `why` is empty if the duty was granted."""

    token: Token
    why: str  # "", held, behind, over, kept, old-set
    highest: Token
    holder: str = ""  # of a refusal: the process that the promise is for
    left: int = 0  # microseconds until that promise expires


@dataclass(slots=True)
class Promise:
    """Promise of one voter for one duty."""

    terms: Terms
    token: Token = NO_TOKEN
    until: int = 0
    highest: Token = NO_TOKEN
    over: tuple[Token, ...] = ()  # released recently; late requests under them are refused
    kept_for: str = ""  # name of the successor that the duty is reserved for
    kept_until: int = 0

    def is_active(self, now: int) -> bool:
        """Whether a process may hold the duty under this promise at `now`."""
        return self.token != NO_TOKEN and now < self.until

    def handle_request(self, token: Token, now: int) -> Answer:
        """Handles first requests and renewals; a holder renews under the token that it holds."""
        if self.is_active(now) and self.token != token:
            return Answer(token, "held", self.highest, self.token.key, self.until - now)
        if token in self.over:
            return Answer(token, "over", self.highest)
        if token < self.highest:
            return Answer(token, "behind", self.highest)
        if now < self.kept_until and token.name != self.kept_for:
            return Answer(token, "kept", self.highest, self.kept_for, self.kept_until - now)
        self.token, self.highest = token, token
        self.until = now + self.terms.promise_duration
        self.kept_until = 0
        return Answer(token, "", token)

    def release(self, token: Token, successor: str, keep: int, now: int) -> None:
        """Ends the promise to a holder that has stopped acting. For `keep` microseconds only the successor is
        granted the duty."""
        # A candidate that was refused also releases its token, which may be above the holder's. That must
        # not affect the holder.
        if token not in self.over:
            self.over = (*self.over, token)[-MAX_RELEASED_TOKENS:]
        if self.token == token:
            self.token, self.until = NO_TOKEN, 0
            if successor:
                self.kept_for, self.kept_until = successor, now + keep

    def observe_token(self, highest: Token) -> None:
        """Raises the highest known token; lower ones are no longer granted."""
        self.highest = max(self.highest, highest)


@dataclass(slots=True)
class Voter:
    """One voter's promises for all duties, and its recovery after a start."""

    own: str
    terms: dict[str, Terms]
    quorum: int
    born: int
    usual: Terms | None = None  # for duties that this instance is not a candidate for
    promises: dict[str, Promise] = field(default_factory=dict)
    # Voters that reported their highest tokens; True if they know all that they granted.
    told: dict[str, bool] = field(default_factory=dict)

    def handles(self, duty: str) -> bool:
        """Whether this voter votes on `duty`; the number of undeclared duties is bounded."""
        return (
            duty in self.promises
            or duty in self.terms
            or (self.usual is not None and len(self.promises) < MAX_DUTIES)
        )

    def promise_for(self, duty: str) -> Promise:
        """The promise for a duty that this voter `handles`."""
        if duty not in self.promises:
            self.promises[duty] = Promise(self.terms.get(duty) or self.usual or Terms())
        return self.promises[duty]

    def is_silent(self, now: int) -> bool:
        """Whether a lease that an earlier process of the same name granted may still be running."""
        return now < self.born + self.max_promise_duration

    @property
    def max_promise_duration(self) -> int:
        """The longest time that any promise lasts, by this voter's clock, in microseconds."""
        usual = [] if self.usual is None else [self.usual]
        return max((each.promise_duration for each in [*self.terms.values(), *usual]), default=0)

    def has_recovered(self) -> bool:
        """Whether every token that a quorum granted before the start is known here: a quorum of other voters
        have reported their highest tokens, and at least one of them granted it as well."""
        return sum(each for name, each in self.told.items() if name != self.own) >= self.quorum

    def can_vote(self, now: int) -> bool:
        """Whether the silent period is over and recovery has completed or timed out."""
        return not self.is_silent(now) and (
            self.has_recovered()
            or now >= self.born + int(RECOVERY_TIMEOUT_FACTOR * self.max_promise_duration)
        )

    def handle_request(self, duty: str, token: Token, now: int) -> Answer | None:
        """Returns None if the voter must not answer yet, or does not handle the duty."""
        if not self.handles(duty) or not self.can_vote(now):
            return None
        return self.promise_for(duty).handle_request(token, now)

    def release(self, duty: str, token: Token, successor: str, keep: int, now: int) -> None:
        """Ends the promise for a duty that its holder released; for `keep` microseconds only `successor` is
        granted it, if one is named."""
        if self.handles(duty):
            self.promise_for(duty).release(token, successor, keep, now)

    def observe_voter(self, voter: str, remembers: bool, highest: dict[str, Token], now: int) -> None:
        """Records another voter's report: its highest known tokens, and whether it knows all that it granted.
        Reports do not count towards recovery during the silent period: a request that an earlier process
        of this voter granted may still be on its way to the other voter, and be granted by a quorum of the
        two after the report was sent."""
        if not self.is_silent(now):
            self.told[voter] = self.told.get(voter, False) or remembers
        for duty, token in highest.items():
            if self.handles(duty):
                self.promise_for(duty).observe_token(token)

    def highest_tokens(self) -> dict[str, Token]:
        """The highest known token of each duty."""
        return {duty: each.highest for duty, each in self.promises.items() if each.highest != NO_TOKEN}
