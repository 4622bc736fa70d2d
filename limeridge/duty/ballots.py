"""What one voter has promised for one duty, and what it may say after a restart that made it forget.

It owns tokens and their order, the promise, its lapse, and the silence and recovery of a voter that has
started. It must never look at a clock, send anything or draw: times are handed in, microseconds on the
voter's own clock, which also runs while the process stands still.

1. A voter promises a duty to one holder at a time, under one token, until the promise has lapsed as it
   counts it or that holder gave it back. It refuses everybody else meanwhile.
2. The promise runs from when the asking came in, the holder's lease from before it was sent; and the voter
   counts longer by the drift of both clocks. So a holder's lease is over before the promises that it rests
   on.
3. A voter that has started is silent until `hold` has passed: whatever an earlier life promised is over then.
4. Two quorums share a voter. Hence no two hold a duty at one true time.
5. A voter grants no token below the highest that it knows of. One that has started does not know what it
   granted before: once its silence is over it hears so from a quorum of others that did not forget. Where
   it finds none for a while (most have forgotten, or the rest are gone) it votes all the same, for a duty
   must be had again; tokens then go by Unix time, by what members remember and by what the resource says
   (`docs/design/duty.md`).

The nearest published way is PaxosLease (Trencseni, Gazso, Reinhardt 2012): promises in memory, a proposer's
time that starts before it proposes, restarted acceptors that wait. We leave its first phase out: a
candidate that is refused gives back what it got, and a token that is behind is refused with the highest
known. That costs a second round where it is behind and spares one everywhere else; a voter of PaxosLease
may take a higher ballot's proposal while a lower one's lease runs only if a majority said in the first
phase that there was none, which rule 1 says by itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec import Struct


class Token(Struct, frozen=True, array_like=True, order=True):
    """What a resource compares: greater is newer. `number` is Unix time in microseconds, or one more than the
    highest known; `name` and `nonce`, of the life that asks, tell apart what two draw at one time."""

    number: int = 0
    name: str = ""
    nonce: int = 0

    @property
    def key(self) -> str:
        """The life that holds under it."""
        return f"{self.name}/{self.nonce:x}"


NO_TOKEN = Token()
MAX_RELEASED_TOKENS = 8
MAX_DUTIES = 64  # of which a voter keeps promises
RECOVERY_TIMEOUT_FACTOR = (
    1.25  # holds from its start until a voter that finds no quorum that remembers votes without one
)


@dataclass(slots=True, frozen=True)
class Terms:
    """Of one duty; the same at all instances. Times in microseconds."""

    lease: int = 3_000_000
    drift: float = 0.001  # of each clock
    margin: int = 50_000  # that a holder stops before its lease is over, for the act in hand

    @property
    def promise_duration(self) -> int:
        """As long as a voter counts it, a lease is surely over for its holder."""
        return int(self.lease * (1 + self.drift) / (1 - self.drift)) + 1


@dataclass(slots=True, frozen=True)
class Answer:
    """To an asking under `token`. `why` is empty where the duty was granted."""

    token: Token
    why: str  # "", held, behind, over, kept, old-set
    highest: Token
    holder: str = ""  # of a refusal: the life that the promise is for
    left: int = 0  # microseconds until it lapses


@dataclass(slots=True)
class Promise:
    """Of one voter for one duty."""

    terms: Terms
    token: Token = NO_TOKEN
    until: int = 0
    highest: Token = NO_TOKEN
    over: tuple[Token, ...] = ()  # given back lately: an asking under one of them comes too late
    kept_for: str = ""  # a successor's name that the duty was passed to
    kept_until: int = 0

    def is_active(self, now: int) -> bool:
        """Whether somebody may hold the duty by this promise at `now`."""
        return self.token != NO_TOKEN and now < self.until

    def handle_request(self, token: Token, now: int) -> Answer:
        """A first asking and a renewal alike: a holder asks again under its own token."""
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
        """By its holder, which acts no more. For `keep` microseconds only the successor may have it."""
        # Of one that never had it too, and then it must not count against whoever has: a candidate that was
        # refused gives back a token above the holder's.
        if token not in self.over:
            self.over = (*self.over, token)[-MAX_RELEASED_TOKENS:]
        if self.token == token:
            self.token, self.until = NO_TOKEN, 0
            if successor:
                self.kept_for, self.kept_until = successor, now + keep

    def observe_token(self, highest: Token) -> None:
        """Raises the highest token that is known of, so that none below it is granted."""
        self.highest = max(self.highest, highest)


@dataclass(slots=True)
class Voter:
    """One voter's promises, of all duties, and its recovery after a start."""

    own: str
    terms: dict[str, Terms]
    quorum: int
    born: int
    usual: Terms | None = None  # of duties that it does not seek itself
    promises: dict[str, Promise] = field(default_factory=dict)
    told: dict[str, bool] = field(
        default_factory=dict
    )  # voters that told what they know; True: they remember

    def handles(self, duty: str) -> bool:
        """Whether this voter takes part in that duty; duties that are not declared are bounded in number."""
        return (
            duty in self.promises
            or duty in self.terms
            or (self.usual is not None and len(self.promises) < MAX_DUTIES)
        )

    def promise_for(self, duty: str) -> Promise:
        """Of a duty that it `knows_of`."""
        if duty not in self.promises:
            self.promises[duty] = Promise(self.terms.get(duty) or self.usual or Terms())
        return self.promises[duty]

    def is_silent(self, now: int) -> bool:
        """Whether a lease that an earlier life under its name granted may still run."""
        return now < self.born + self.max_promise_duration

    @property
    def max_promise_duration(self) -> int:
        """The longest that any lease may run by our clock, microseconds."""
        usual = [] if self.usual is None else [self.usual]
        return max((each.promise_duration for each in [*self.terms.values(), *usual]), default=0)

    def has_recovered(self) -> bool:
        """Whether each token that a quorum granted before is known here: a quorum of others, of which one at
        least granted it too, told what they know."""
        return sum(each for name, each in self.told.items() if name != self.own) >= self.quorum

    def can_vote(self, now: int) -> bool:
        """Whether it may answer: not silent, and a quorum remembers, or it waited long enough for one."""
        return not self.is_silent(now) and (
            self.has_recovered()
            or now >= self.born + int(RECOVERY_TIMEOUT_FACTOR * self.max_promise_duration)
        )

    def handle_request(self, duty: str, token: Token, now: int) -> Answer | None:
        """None where it must keep silent, or knows of no such duty."""
        if not self.handles(duty) or not self.can_vote(now):
            return None
        return self.promise_for(duty).handle_request(token, now)

    def release(self, duty: str, token: Token, successor: str, keep: int, now: int) -> None:
        """Frees a duty that its holder gave up; for `keep` microseconds only `successor` is granted it, if
        one is named."""
        if self.handles(duty):
            self.promise_for(duty).release(token, successor, keep, now)

    def observe_voter(self, voter: str, remembers: bool, highest: dict[str, Token], now: int) -> None:
        """Another voter's word: the highest tokens that it knows of, and whether it remembers all. While we
        are silent it counts for nothing: an asking that our older life granted may still be on its way to
        that voter, and make a quorum of the two after it told us."""
        if not self.is_silent(now):
            self.told[voter] = self.told.get(voter, False) or remembers
        for duty, token in highest.items():
            if self.handles(duty):
                self.promise_for(duty).observe_token(token)

    def highest_tokens(self) -> dict[str, Token]:
        """The highest token known of each duty."""
        return {duty: each.highest for duty, each in self.promises.items() if each.highest != NO_TOKEN}
