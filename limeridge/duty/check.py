"""An exhaustive search over the decisions of duties themselves: voters, tenures and electorates as they
stand in the program, on a small clock, with a network that delays, reorders, loses and doubles, with
restarts, pauses and clocks that drift.

It owns the scopes (how many of what), the events, the states that were met and the shortest way to a break.
It must never model what a voter or a holder does: it calls them. Time is whole ticks. A message may arrive
at any later time or never, so a pause of a process, between any two of its steps, is part of each scope:
nothing makes it take a step.

What must hold in each state: no two processes hold the duty, each by its own clock; and a token that begins
to hold is above all that held before, where no more voters have forgotten than the scope allows for.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Any

from limeridge.duty.ballots import NONE, Answer, Promise, Terms, Token, Voter
from limeridge.duty.electorate import Electorate, Standing
from limeridge.duty.tenure import Tenure

DUTY = "d"


@dataclass(slots=True, frozen=True)
class Scope:
    """How much of each may happen. `unix` is the Unix time of each candidate, which stands still: the second
    one's is behind."""

    name: str
    about: str
    voters: int = 3
    unix: tuple[int, ...] = (9, 4)
    ticks: int = 6
    begins: int = 1  # of each candidate
    renewals: int = 0
    gives: int = 0
    restarts: int = 0
    doubled: int = 0
    drifts: int = 0  # clocks that go a tick more or less, once each
    tokens: bool = True  # whether tokens must grow
    versions: tuple[tuple[str, ...], ...] = ()  # sets of voters by version, where they change
    lease: int = 2
    drift: float = 0.25


SCOPES = (
    Scope("plain", "delays, losses, reordering, one clock that drifts", drifts=1, ticks=5),
    Scope("again", "a second asking of each, given back or lapsed", begins=2, gives=1, ticks=4, voters=3),
    Scope("renewed", "renewals, a message doubled", renewals=1, doubled=1, ticks=4),
    Scope("restarted", "a voter restarts and has forgotten", restarts=1, ticks=7),
    Scope("sets", "the set of voters changes by a name at a time", restarts=0, ticks=1, tokens=False,
          versions=(("a", "b", "c"), ("a", "b"), ("a", "b", "d"))),
)  # fmt: skip
QUICK = ("plain", "again", "renewed", "restarted", "sets")
FULL = (
    *SCOPES,
    Scope("drifting", "two clocks that drift", drifts=2, ticks=6),
    Scope("restarted-twice", "two restarts, one after the other or at once", restarts=2, ticks=8, tokens=False),
    Scope("all", "a renewal, a restart, a doubled message and a drift in one", renewals=1, restarts=1,
          doubled=1, drifts=1, ticks=5, tokens=False),
)  # fmt: skip


# ---- messages: as they pass between the I/O halves, whose part the events below play


@dataclass(slots=True, frozen=True, order=True)
class Asking:
    voter: int
    candidate: int
    token: Token
    asked_at: int
    version: int = 0


@dataclass(slots=True, frozen=True)
class Answered:
    voter: int
    candidate: int
    answer: Answer
    asked_at: int
    version: int = 0


@dataclass(slots=True, frozen=True, order=True)
class Given:
    voter: int
    token: Token


Message = Asking | Answered | Given


@dataclass(slots=True)
class World:
    """One state. Clocks are each process's own; budgets are what may still happen."""

    scope: Scope
    clocks: list[int]  # voters, then candidates
    voters: list[Voter]
    versions: list[int]
    tenures: list[Tenure]
    begins: list[int]
    lives: list[int]
    network: dict[Message, None]
    ticks: int
    renewals: int
    gives: int
    restarts: int
    doubled: int
    drifts: int
    held: Token = NONE  # the highest that has held

    def copy(self) -> World:
        return replace(
            self,
            clocks=list(self.clocks),
            voters=[
                replace(each, promises={duty: replace(one) for duty, one in each.promises.items()},
                        told=dict(each.told))
                for each in self.voters
            ],
            versions=list(self.versions),
            tenures=[replace(each, granted=dict(each.granted), refused=dict(each.refused))
                     for each in self.tenures],
            begins=list(self.begins),
            lives=list(self.lives),
            network=dict(self.network),
        )  # fmt: skip

    # ---- what makes two states the same

    def key(self) -> Any:
        """Times by how far off they are, voters in an order of their own: states that differ in the names of
        voters alone are one."""
        scope = self.scope
        count = len(self.voters)
        signs = [self._sign(number) for number in range(count)]
        order = (
            range(count) if scope.versions else sorted(range(count), key=lambda number: repr(signs[number]))
        )
        tenures = []
        for number, tenure in enumerate(self.tenures):
            now = self.clocks[count + number]
            live = tuple(max(0, tenure.granted.get(str(voter), -99) + scope.lease - now) for voter in order)
            extra = tuple(
                sorted(
                    max(0, at + scope.lease - now)
                    for name, at in tenure.granted.items()
                    if not name.isdigit()
                )
            )
            tenures.append((tenure.token, tenure.given, tenure.known, live, extra, self.begins[number],
                            self.lives[number]))  # fmt: skip
        return (
            tuple(signs[number] for number in order),
            tuple(tenures),
            self.ticks,
            self.renewals,
            self.gives,
            self.restarts,
            self.doubled,
            self.drifts,
            self.held,
        )

    def _sign(self, number: int) -> Any:
        voter, now = self.voters[number], self.clocks[number]
        count = len(self.voters)
        promise = voter.promise(DUTY)
        silent = max(0, voter.born + int(1.25 * voter.longest) + 1 - now)
        messages: list[Any] = []
        for message in self.network:
            if message.voter != number:
                continue
            if isinstance(message, Given):
                messages.append(("g", message.token))
                continue
            left = max(0, message.asked_at + self.scope.lease - self.clocks[count + message.candidate])
            if isinstance(message, Asking):
                messages.append(("q", message.candidate, message.token, left, message.version))
            else:
                answer = message.answer
                messages.append(("a", message.candidate, answer.token, answer.why, answer.highest, left,
                                 message.version))  # fmt: skip
        return (
            (promise.token, max(0, promise.until - now)) if promise.stands(now) else (NONE, 0),
            promise.highest,
            promise.over,
            silent,
            tuple(sorted(voter.told.items())) if silent else voter.remembers(),
            self.versions[number],
            tuple(sorted(messages, key=repr)),
        )

    # ---- what must hold

    def holders(self) -> list[int]:
        count = len(self.voters)
        return [n for n, each in enumerate(self.tenures) if each.holds(self.clocks[count + n])]

    def broken(self) -> str:
        holders = self.holders()
        if len(holders) > 1:
            return "two hold it: " + " and ".join(
                f"{self.tenures[n].token.name} under {self.tenures[n].token.number}" for n in holders
            )
        for number in holders:
            token = self.tenures[number].token
            if token < self.held and self.scope.tokens:
                return f"{token.name} holds under {token.number}, {self.held.number} held before"
            self.held = max(self.held, token)
        return ""

    # ---- events

    def electorate(self, version: int) -> Electorate:
        sets = self.scope.versions
        if not sets:
            return Electorate(1, tuple(str(n) for n in range(len(self.voters))))
        return Electorate(version, sets[version - 1], sets[version - 2] if version > 1 else ())

    def _voter_names(self) -> list[str]:
        return ["a", "b", "c", "d"] if self.scope.versions else [str(n) for n in range(len(self.voters))]

    def _settled(self, number: int) -> bool:
        """By what a voter can hear of the others' versions, which is at best how it is."""
        names = self._voter_names()
        standing = Standing(self.electorate(self.versions[number]))
        for other, version in enumerate(self.versions):
            standing.hears(names[other], version)
        return standing.settled(names[number])

    def next(self) -> Iterator[tuple[str, World]]:
        """Each event that may come now, in words, and the state after it."""
        yield from self._time()
        for message in self.network:
            yield from self._arrival(message)
        for number in range(len(self.tenures)):
            yield from self._steps(number)
        yield from self._restarts()

    def _time(self) -> Iterator[tuple[str, World]]:
        if not self.ticks:
            return
        names = [*(f"voter {n}" for n in range(len(self.voters))), *(t.name for t in self.tenures)]
        for who in (-1, *(range(len(self.clocks)) if self.drifts else ())):
            for by in (0, 2) if who >= 0 else (1,):
                world = self.copy()
                world.ticks -= 1
                world.clocks = [clock + (by if n == who else 1) for n, clock in enumerate(self.clocks)]
                world.drifts -= who >= 0
                told = (
                    f", {names[who]}'s clock {'stands still' if not by else 'goes two'}" if who >= 0 else ""
                )
                yield f"a tick{told}", world

    def _arrival(self, message: Message) -> Iterator[tuple[str, World]]:
        for keeps in (False, True) if self.doubled else (False,):
            world = self.copy()
            if keeps:
                world.doubled -= 1
            else:
                del world.network[message]
            told = world.take(message)
            yield told + (" (and will once more)" if keeps else ""), world

    def take(self, message: Message) -> str:
        count = len(self.voters)
        if isinstance(message, Answered):
            tenure = self.tenures[message.candidate]
            standing = Standing(self.electorate(message.version or 1))
            if not self.scope.versions or standing.counts(
                self._voter_names()[message.voter], message.version
            ):
                now = self.clocks[count + message.candidate]
                ANSWERED(tenure, str(message.voter), message.answer, message.asked_at, now)
            return f"{tenure.name} hears of voter {message.voter}: {message.answer.why or 'granted'}"
        voter, now = self.voters[message.voter], self.clocks[message.voter]
        if isinstance(message, Given):
            voter.given_back(DUTY, message.token, "", 0, now)
            return f"voter {message.voter} hears that {message.token.number} was given back"
        name = self.tenures[message.candidate].name
        told = f"voter {message.voter} is asked by {name} under {message.token.number}"
        if self.scope.versions and (
            message.version != self.versions[message.voter] or not self._settled(message.voter)
        ):
            return told + ": of another set"
        answer = voter.asked(DUTY, message.token, now)
        if answer is None:
            return told + ": silent"
        self.network[
            Answered(
                message.voter, message.candidate, replace(answer, left=0), message.asked_at, message.version
            )
        ] = None
        return told + f": {answer.why or 'grants'}"

    def _steps(self, number: int) -> Iterator[tuple[str, World]]:
        """Of a candidate: asks, renews, gives back."""
        count, scope = len(self.voters), self.scope
        tenure, now = self.tenures[number], self.clocks[count + number]
        idle = tenure.token == NONE or tenure.given or (not tenure.holds(now) and tenure.granted)
        if self.begins[number] and idle:
            world = self.copy()
            mine = world.tenures[number]
            if mine.token != NONE and not mine.given:
                world.tell_given(mine.give_back())
            world.begins[number] -= 1
            mine.begin(scope.unix[number], now)
            world.ask(number, now)
            yield f"{tenure.name} asks under {mine.token.number}", world
        if tenure.holds(now):
            if self.renewals:
                world = self.copy()
                world.renewals -= 1
                world.ask(number, now)
                yield f"{tenure.name} asks again under {tenure.token.number}", world
            if self.gives:
                world = self.copy()
                world.gives -= 1
                world.tell_given(world.tenures[number].give_back())
                yield f"{tenure.name} gives back {tenure.token.number}", world

    def ask(self, number: int, now: int) -> None:
        tenure, scope = self.tenures[number], self.scope
        version = (1, len(scope.versions))[number] if scope.versions else 0
        for voter, name in enumerate(self._voter_names()):
            if name in self.electorate(version or 1).voters:
                self.network[Asking(voter, number, tenure.token, now, version)] = None

    def tell_given(self, token: Token) -> None:
        for voter in range(len(self.voters)):
            self.network[Given(voter, token)] = None

    def _restarts(self) -> Iterator[tuple[str, World]]:
        scope = self.scope
        if scope.versions:
            for number, version in enumerate(self.versions):
                if version < len(scope.versions):
                    world = self.copy()
                    world.versions[number] += 1
                    # What it promised under the version before is over, for it kept silent since.
                    world.voters[number] = new_voter(world, number, -1_000)
                    yield f"voter {self._voter_names()[number]} goes on to version {version + 1}", world
            return
        if self.restarts:
            for number in range(len(self.voters)):
                world = self.copy()
                world.restarts -= 1
                world.voters[number] = new_voter(world, number, self.clocks[number])
                yield f"voter {number} restarts", world
        for number, voter in enumerate(self.voters):
            if voter.born < 0 or voter.remembers():
                continue
            for other, source in enumerate(self.voters):
                if other != number and str(other) not in voter.told:
                    world = self.copy()
                    remembers = source.born < 0 or source.remembers()
                    world.voters[number].hears(str(other), remembers, source.knows())
                    yield f"voter {number} hears what voter {other} knows", world


def new_voter(world: World, number: int, born: int) -> Voter:
    scope = world.scope
    terms = Terms(scope.lease, scope.drift, margin=0)
    voter = Voter(str(number), {DUTY: terms}, world.electorate(1).quorum, born)
    if born < 0:  # long ago: it remembers all that there is
        voter.told = {f"_{n}": True for n in range(len(world.voters) or scope.voters)}
    return voter


def first(scope: Scope) -> World:
    count = 4 if scope.versions else scope.voters
    terms = Terms(scope.lease, scope.drift, margin=0)
    world = World(
        scope, [0] * (count + len(scope.unix)), [], [1] * count, [], [scope.begins] * len(scope.unix),
        [0] * len(scope.unix), {}, scope.ticks, scope.renewals, scope.gives, scope.restarts, scope.doubled,
        scope.drifts,
    )  # fmt: skip
    world.voters = [Voter(str(n), {}, 0, 0) for n in range(count)]
    world.voters = [new_voter(world, number, -1_000) for number in range(count)]
    quorums = (
        [world.electorate(version).quorum for version in (1, len(scope.versions))]
        if scope.versions
        else [world.electorate(1).quorum] * len(scope.unix)
    )
    world.tenures = [
        Tenure(terms, name, number + 1, quorums[number])
        for number, name in enumerate("xyz"[: len(scope.unix)])
    ]
    return world


# ---- the search


@dataclass(slots=True)
class Found:
    scope: str
    states: int = 0
    depth: int = 0
    exhausted: bool = True
    seconds: float = 0.0
    broken: str = ""
    way: list[str] = field(default_factory=list)


def search(scope: Scope, seconds: float = 1e9, most: int = 5_000_000) -> Found:
    """Breadth first, so that the first break has the fewest events."""
    found, begun = Found(scope.name), time.monotonic()
    start = first(scope)
    parents: dict[int, tuple[int, str]] = {hash(start.key()): (0, "")}
    queue: deque[tuple[World, int, int]] = deque([(start, hash(start.key()), 0)])
    while queue:
        world, here, depth = queue.popleft()
        found.depth = max(found.depth, depth)
        for told, after in world.next():
            broken = after.broken()
            key = hash(after.key())
            if key not in parents:
                parents[key] = here, told
                queue.append((after, key, depth + 1))
            if broken:
                found.broken, found.way = broken, [*way_to(parents, here), told]
                found.states, found.exhausted = len(parents), False
                found.seconds = time.monotonic() - begun
                return found
        if len(parents) >= most or time.monotonic() - begun > seconds:
            found.exhausted = False
            break
    found.states, found.seconds = len(parents), time.monotonic() - begun
    return found


def way_to(parents: dict[int, tuple[int, str]], key: int) -> list[str]:
    way: list[str] = []
    while key and parents[key][1]:
        key, told = parents[key]
        way.append(told)
    return way[::-1]


# ---- mistakes put in, one at a time


def answered(tenure: Tenure, voter: str, answer: Answer, asked_at: int, now: int) -> None:
    tenure.answered(voter, answer, asked_at)


ANSWERED: Callable[[Tenure, str, Answer, int, int], None] = answered


def _from_answer(tenure: Tenure, voter: str, answer: Answer, asked_at: int, now: int) -> None:
    tenure.answered(voter, answer, now)


def _twice(self: Tenure, voter: str, answer: Answer, asked_at: int) -> None:
    if answer.token == self.token and not self.given and not answer.why:
        self.granted[voter if voter not in self.granted else f"{voter} again"] = asked_at


def _any_token(self: Tenure, voter: str, answer: Answer, asked_at: int) -> None:
    if not self.given and not answer.why:
        self.granted[voter] = max(asked_at, self.granted.get(voter, asked_at))


def _clock_alone(self: Tenure, unix: int, now: int) -> Token:
    self.token = Token(unix, self.name, self.nonce)
    self.granted, self.refused, self.given = {}, {}, False
    return self.token


def _any_order(self: Promise, token: Token, now: int) -> Answer:
    if self.stands(now) and self.token != token:
        return Answer(token, "held", self.highest, self.token.key)
    self.token, self.until = token, now + self.terms.hold
    return Answer(token, "", token)


def _reach(self: Tenure) -> int:
    latest = sorted(self.granted.values(), reverse=True)
    most = len(self.granted) // 2 + 1  # of those that answered
    return 0 if self.given or not latest else latest[min(most, len(latest)) - 1] + self.terms.lease


MISTAKES: dict[str, tuple[str, str, list[tuple[Any, str, Any]]]] = {
    "no-silence": ("restarted", "a voter that has started votes at once", [
        (Voter, "votes", lambda self, now: True)]),
    "from-the-answer": ("plain", "a holder's time runs from the answer", []),
    "no-drift": ("plain", "a voter counts no longer than the holder", [
        (Terms, "hold", property(lambda self: self.lease))]),
    "clock-token": ("again", "a token is the Unix time and nothing else", [
        (Tenure, "begin", _clock_alone), (Promise, "asked", _any_order)]),
    "counted-twice": ("renewed", "two answers of one voter count as two", [(Tenure, "answered", _twice)]),
    "old-ballot": ("again", "an answer to an older asking counts", [(Tenure, "answered", _any_token)]),
    "those-in-reach": ("plain", "a majority of those who answered is enough", [(Tenure, "until", _reach)]),
    "old-set": ("sets", "a voter of a new set does not wait for the old one to be gone", [
        (Standing, "settled", lambda self, own: True)]),
}  # fmt: skip


@contextmanager
def planted(name: str) -> Iterator[Scope]:
    """The program with one mistake in it, and the scope that must find it."""
    global ANSWERED
    scope, _, patches = MISTAKES[name]
    before = [(owner, field_name, owner.__dict__[field_name]) for owner, field_name, _ in patches]
    try:
        for owner, field_name, new in patches:
            setattr(owner, field_name, new)
        if name == "from-the-answer":
            ANSWERED = _from_answer
        yield next(each for each in FULL if each.name == scope)
    finally:
        ANSWERED = answered
        for owner, field_name, old in before:
            setattr(owner, field_name, old)
