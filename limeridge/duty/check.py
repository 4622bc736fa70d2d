"""An exhaustive search over the decisions of duties themselves: promises, tenures and electorates as they
stand in the program, on a small clock, with a network that delays, reorders, loses and doubles, with
restarts, pauses and clocks that drift.

It owns the scopes (how many of what may happen), the events, the states met and the shortest way to a break.
It must never model what a voter or a holder does: it calls them. A state holds no clock: each time in it is
what is left of it, and objects of the program are made anew around one fixed `NOW` for each event.

Time is whole ticks. Within one, processes have their turns in a fixed order: candidates' steps, voters,
candidates' answers; at its turn a process does as many of its events, in any order, as it may, or none. What
two processes do in a tick touches nothing in common, so other orders come to the same states. A message may
arrive at any turn of its receiver from then on, or never: so a pause of any process, between any two of its
steps, is part of each scope. An answer comes at once or never, but where a scope has it come late: when it
is heard changes nothing about how long it counts. Voters are alike: states that differ in their order alone
are one.

What must hold in each state: no two hold the duty, each by its own clock; and a token that holds is not below
one that held before.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from limeridge.duty.ballots import NO_TOKEN, RECOVERY_TIMEOUT_FACTOR, Answer, Promise, Terms, Token, Voter
from limeridge.duty.electorate import Electorate, VersionTracker
from limeridge.duty.tenure import Tenure

DUTY = "d"
NOW = 1_000
NAMES = "xyz"


@dataclass(slots=True, frozen=True)
class Scope:
    """How much of each may happen. `unix` is the Unix time of each candidate, which stands still: the second
    one's is behind."""

    name: str
    about: str
    voters: int = 3
    unix: tuple[int, ...] = (9, 4)
    ticks: int = 5
    begins: tuple[int, ...] = (1, 1)  # of each candidate
    renewals: int = 0  # of all
    gives: int = 0
    restarts: int = 0  # of voters
    doubled: int = 0  # messages that arrive twice
    drifts: int = 0  # times that a clock goes a tick more or less
    late: int = 0  # ticks past its asker's lease that an answer may come
    tokens: bool = True  # whether tokens must grow
    recalls: bool = False  # a voter that has started votes once it remembers, and not before
    lease: int = 2
    drift: float = 0.25


QUICK = (  # the longest first
    Scope("again", "a second asking of one, given back or lapsed", begins=(2, 1), gives=1, ticks=2, lease=1),
    Scope("plain", "askings late, lost or out of order, a clock that drifts", drifts=1, ticks=4),
    Scope("late", "answers late too, up to after the lease that they grant", late=2, ticks=3, lease=1),
    Scope("renewed", "a renewal, a message doubled", renewals=1, doubled=1, ticks=3),
    Scope("restarted", "a voter restarts and has forgotten", restarts=1, ticks=4, lease=1, tokens=False),
    Scope(
        "recalled",
        "the same, and it hears what others know first",
        restarts=1,
        ticks=4,
        lease=1,
        recalls=True,
    ),
)
FULL = (
    *QUICK,
    Scope("both-again", "two askings of each, given back or lapsed", begins=(2, 2), gives=1, ticks=3,
          lease=1),
    Scope("drifting", "two drifts of any clocks", drifts=2, ticks=6),
    Scope("late-drift", "answers late and a clock that drifts", late=3, drifts=1, ticks=4),
    Scope("twice", "two restarts, at once or one by one", restarts=2, ticks=5, tokens=False, lease=1),
    Scope("five", "five voters, one of them restarts", voters=5, restarts=1, ticks=3, tokens=False, lease=1),
    Scope("all", "a renewal, a restart, a doubled message and a drift", renewals=1, restarts=1,
          doubled=1, drifts=1, ticks=4, tokens=False),
)  # fmt: skip


class Ask(NamedTuple):
    """On its way to a voter. `left` of the asker's lease, by its clock; 0 for one that is given back."""

    candidate: int
    token: Token
    left: int
    gives: bool = False


class Reply(NamedTuple):
    """A voter's answer on its way, `left` ticks from the asking until what it grants is over."""

    candidate: int
    token: Token
    why: str
    highest: Token
    left: int


class VoterState(NamedTuple):
    """What one voter holds, each time as the ticks that are left of it."""

    token: Token = NO_TOKEN
    left: int = 0  # of the promise
    highest: Token = NO_TOKEN
    over: tuple[Token, ...] = ()
    silent: int = 0  # ticks of silence left after a start
    patience: int = 0  # until it votes without a quorum that remembers
    told: int = -1  # voters that told what they remember; -1 for one that never forgot
    asks: tuple[Ask, ...] = ()
    replies: tuple[Reply, ...] = ()
    granted: tuple[int, ...] = ()  # by candidate: what is left of what it granted, -1 for nothing


class TenureState(NamedTuple):
    """What one candidate holds; `begins` is how often it may still ask anew."""

    token: Token = NO_TOKEN
    given: bool = False
    known: Token = NO_TOKEN
    begins: int = 0


class State(NamedTuple):
    """Everything at one point: whose turn it is, how much of each kind may still happen, what each process
    holds."""

    turn: int
    ticks: int
    renewals: int
    gives: int
    restarts: int
    doubled: int
    drifts: int
    held: Token
    voters: tuple[VoterState, ...]
    tenures: tuple[TenureState, ...]


Step = tuple[Any, State]  # how to say it, and the state after


class Machine:
    """The events of one scope."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.terms = Terms(scope.lease, scope.drift, margin=0)
        self.electorate = Electorate(1, tuple(str(n) for n in range(scope.voters)))
        self.quorum = self.electorate.quorum
        self.count = len(scope.unix)
        self.all_told = (1 << scope.voters) - 1
        # Turns: candidates' steps, voters, candidates' answers, then the tick.
        self.last = 2 * self.count + scope.voters

    def first(self) -> State:
        """The state in which nothing has happened."""
        scope, none = self.scope, (-1,) * self.count
        return State(
            0, scope.ticks, scope.renewals, scope.gives, scope.restarts, scope.doubled, scope.drifts,
            NO_TOKEN, (VoterState(granted=none),) * scope.voters,
            tuple(TenureState(begins=begins) for begins in scope.begins),
        )  # fmt: skip

    # ---- objects of the program, and back

    def tenure(self, state: State, number: int) -> Tenure:
        """A candidate's tenure as the program has it, made anew at NOW from what the state keeps."""
        kept = state.tenures[number]
        tenure = Tenure(self.terms, NAMES[number], number + 1, self.quorum, kept.token)
        tenure.released, tenure.highest_known = kept.given, kept.known
        for place, voter in enumerate(state.voters):
            if voter.granted[number] >= 0:
                tenure.granted_at[str(place)] = NOW + voter.granted[number] - self.terms.lease
        return tenure

    def keep(self, state: State, number: int, tenure: Tenure, begun: int = 0) -> State:
        """The state with what a tenure holds now; `begun` is how many askings anew it used up."""
        lease, voters = self.terms.lease, []
        for place, voter in enumerate(state.voters):
            at = tenure.granted_at.get(str(place))
            left = -1 if at is None or at + lease <= NOW else at + lease - NOW
            if left != voter.granted[number]:
                granted = (*voter.granted[:number], left, *voter.granted[number + 1 :])
                voter = voter._replace(granted=granted)
            voters.append(voter)
        kept = TenureState(
            tenure.token, tenure.released, tenure.highest_known, state.tenures[number].begins - begun
        )
        tenures = (*state.tenures[:number], kept, *state.tenures[number + 1 :])
        return state._replace(voters=tuple(voters), tenures=tenures)

    def voter(self, kept: VoterState, name: str) -> Voter:
        """A voter as the program has it, made anew at NOW from what the state keeps."""
        terms = {DUTY: self.terms}
        if kept.told < 0:
            voter = Voter(name, terms, self.quorum, -NOW)
            voter.told = {f"{n} then": True for n in range(self.quorum)}
        else:
            # Born so long ago that as much of its silence, or of its patience, is left.
            longest = Voter(name, terms, self.quorum, 0).max_promise_duration
            patience = int(RECOVERY_TIMEOUT_FACTOR * longest)
            born = NOW - longest + kept.silent if kept.silent else NOW - patience + kept.patience
            voter = Voter(name, terms, self.quorum, born)
            voter.told = {str(n): True for n in range(self.scope.voters) if kept.told >> n & 1}
        voter.promises[DUTY] = Promise(self.terms, kept.token, NOW + kept.left, kept.highest, kept.over)
        return voter

    # ---- what must hold

    def broken(self, state: State) -> str:
        """Which rule the state breaks, in words; empty where it breaks none."""
        holders = [
            number
            for number, kept in enumerate(state.tenures)
            if kept.token != NO_TOKEN and not kept.given and self.tenure(state, number).holds(NOW)
        ]
        if len(holders) > 1:
            return "two hold it: " + " and ".join(
                f"{NAMES[n]} under {state.tenures[n].token.number}" for n in holders
            )
        if self.scope.tokens and holders and state.tenures[holders[0]].token < state.held:
            number = state.tenures[holders[0]].token.number
            return f"{NAMES[holders[0]]} holds under {number}, {state.held.number} held before"
        return ""

    def noted(self, state: State) -> State:
        """With the highest token that has held so far."""
        highest = state.held
        for number, kept in enumerate(state.tenures):
            if kept.token > highest and not kept.given and self.tenure(state, number).holds(NOW):
                highest = kept.token
        return state if highest == state.held else state._replace(held=highest)

    # ---- events

    def next(self, state: State) -> Iterator[Step]:
        """All events that may come next, each with the state that it leads to."""
        turn, count = state.turn, self.count
        if turn == self.last:
            yield from self.tick(state)
            return
        if turn < count:
            yield from self.steps(state, turn)
        elif turn < count + self.scope.voters:
            yield from self.at_voter(state, turn - count)
        else:
            yield from self.answers(state, turn - count - self.scope.voters)
        yield None, self.turned(state)

    def turned(self, state: State) -> State:
        """On to the next process that could do something, or to the tick."""
        turn, count, voters = state.turn + 1, self.count, self.scope.voters
        while turn < self.last:
            if turn < count:
                kept = state.tenures[turn]
                if kept.begins or (
                    (state.renewals or state.gives) and kept.token != NO_TOKEN and not kept.given
                ):
                    break
            elif turn < count + voters:
                voter = state.voters[turn - count]
                if voter.asks or state.restarts or 0 <= voter.told < self.all_told:
                    break
            elif any(
                each.candidate == turn - count - voters for voter in state.voters for each in voter.replies
            ):
                break
            turn += 1
        return state._replace(turn=turn)

    def steps(self, state: State, number: int) -> Iterator[Step]:
        """Of a candidate: asks, asks again, gives back."""
        kept, tenure = state.tenures[number], self.tenure(state, number)
        holds = tenure.holds(NOW)
        if kept.begins and not holds:
            after = state
            if kept.token != NO_TOKEN and not kept.given:
                after = self.sent(after, Ask(number, tenure.release(), self.terms.promise_duration, True))
            tenure.begin(self.scope.unix[number], NOW)
            after = self.keep(after, number, tenure, begun=1)
            after = self.sent(after, Ask(number, tenure.token, self.terms.lease))
            yield ("asks", number, tenure.token), after
        if holds and state.renewals:
            after = state._replace(renewals=state.renewals - 1)
            yield (
                ("asks again", number, tenure.token),
                self.sent(after, Ask(number, tenure.token, self.terms.lease)),
            )
        if holds and state.gives:
            token = tenure.release()
            after = self.keep(state._replace(gives=state.gives - 1), number, tenure)
            yield (
                ("gives back", number, token),
                self.sent(after, Ask(number, token, self.terms.promise_duration, True)),
            )

    def sent(self, state: State, ask: Ask) -> State:
        """The state with an asking on its way to every voter."""
        voters = tuple(
            voter if ask in voter.asks else voter._replace(asks=tuple(sorted((*voter.asks, ask))))
            for voter in state.voters
        )
        return state._replace(voters=voters)

    def at_voter(self, state: State, place: int) -> Iterator[Step]:
        """What a voter may do at its turn: take any asking that is on its way, start again, or hear what
        another one remembers."""
        kept = state.voters[place]
        yield from self.asked(state, place, kept)
        if state.restarts:
            longest = Voter("", {DUTY: self.terms}, self.quorum, 0).max_promise_duration
            new = VoterState(
                silent=longest, patience=int(RECOVERY_TIMEOUT_FACTOR * longest), told=0, asks=kept.asks,
                replies=kept.replies, granted=kept.granted,
            )  # fmt: skip
            yield ("restarts", place), self.put(state._replace(restarts=state.restarts - 1), place, new)
        if kept.told >= 0 and not kept.silent and bin(kept.told).count("1") < self.quorum:
            yield from self.recalled(state, place, kept)

    def asked(self, state: State, place: int, kept: VoterState) -> Iterator[Step]:
        """Each asking that is on its way to a voter, with all that its answer may come to."""
        waits = self.scope.recalls and kept.told >= 0 and bin(kept.told).count("1") < self.quorum
        for ask in () if waits else kept.asks:
            rest = tuple(each for each in kept.asks if each != ask)
            voter = self.voter(kept, str(place))
            if ask.gives:
                voter.release(DUTY, ask.token, "", 0, NOW)
                answer, told = None, "hears that it was given back"
            else:
                answer = voter.handle_request(DUTY, ask.token, NOW)
                told = "is silent" if answer is None else answer.why or "grants"
            replies, reply = kept.replies, None
            if answer is not None:
                reply = Reply(ask.candidate, answer.token, answer.why, answer.highest, ask.left)
                if self.scope.late and reply not in replies:
                    replies = tuple(sorted((*replies, reply)))
            promise = voter.promise_for(DUTY)
            left = max(0, promise.until - NOW) if promise.is_active(NOW) else 0
            new = kept._replace(
                token=promise.token if left else NO_TOKEN, left=left, highest=promise.highest,
                over=promise.over, asks=rest, replies=replies,
            )  # fmt: skip
            what = ("is asked", place, ask.candidate, ask.token, told)
            yield what, self.put(state, place, new)
            if reply is not None and not self.scope.late:
                heard = self.hears(self.put(state, place, new._replace(replies=())), place, reply)
                yield (*what, "and told"), heard
                if state.doubled:
                    spent = heard._replace(doubled=heard.doubled - 1)
                    yield (*what, "and told twice"), self.hears(spent, place, reply)
            if state.doubled:
                spent = state._replace(doubled=state.doubled - 1)
                yield (*what, "and once more"), self.put(spent, place, new._replace(asks=kept.asks))

    def recalled(self, state: State, place: int, kept: VoterState) -> Iterator[Step]:
        """What a voter that forgot may hear from each that remembers."""
        for other, source in enumerate(state.voters):
            remembers = source.told < 0 or bin(source.told).count("1") >= self.quorum
            if other != place and remembers and not kept.told >> other & 1:
                voter = self.voter(kept, str(place))
                voter.observe_voter(str(other), True, {DUTY: source.highest}, NOW)
                new = kept._replace(told=kept.told | 1 << other, highest=voter.promise_for(DUTY).highest)
                yield ("hears what is known to", place, other), self.put(state, place, new)

    @staticmethod
    def put(state: State, place: int, voter: VoterState) -> State:
        """The state with another voter at `place`."""
        return state._replace(voters=(*state.voters[:place], voter, *state.voters[place + 1 :]))

    def answers(self, state: State, number: int) -> Iterator[Step]:
        """The late answers that a candidate may hear at its turn."""
        for place, kept in enumerate(state.voters):
            for reply in kept.replies:
                if reply.candidate != number:
                    continue
                rest = tuple(each for each in kept.replies if each != reply)
                what = ("hears of", number, place, reply.token, reply.why or "granted")
                yield what, self.hears(self.put(state, place, kept._replace(replies=rest)), place, reply)

    def hears(self, state: State, place: int, reply: Reply) -> State:
        """A candidate, of a voter's answer."""
        tenure = self.tenure(state, reply.candidate)
        answer = Answer(reply.token, reply.why, reply.highest)
        ANSWERED(tenure, str(place), answer, NOW + reply.left - self.terms.lease)
        return self.keep(state, reply.candidate, tenure)

    def tick(self, state: State) -> Iterator[Step]:
        """The passing of a tick, for all clocks alike or with one that drifts."""
        if not state.ticks:
            return
        state = state._replace(ticks=state.ticks - 1, turn=0)
        yield ("tick",), self.passed(state, -1, 1)
        if state.drifts:
            drifted = state._replace(drifts=state.drifts - 1)
            for who in range(self.scope.voters + self.count):
                for by in (0, 2):
                    yield ("tick", who, by), self.passed(drifted, who, by)

    def passed(self, state: State, odd: int, by: int) -> State:
        """A tick, of which the clock of process `odd` makes `by`."""
        count, voters = self.scope.voters, []
        steps = [by if odd == count + number else 1 for number in range(self.count)]
        for place, kept in enumerate(state.voters):
            mine = by if odd == place else 1
            left = max(0, kept.left - mine)
            voters.append(
                kept._replace(
                    token=kept.token if left else NO_TOKEN,
                    left=left,
                    silent=max(0, kept.silent - mine),
                    patience=max(0, kept.patience - mine),
                    asks=tuple(sorted(self.aged(kept.asks, steps, 0))),
                    replies=tuple(sorted(self.aged(kept.replies, steps, -self.scope.late))),
                    granted=tuple(
                        each - steps[number] if each > steps[number] else -1
                        for number, each in enumerate(kept.granted)
                    ),
                )
            )  # fmt: skip
        return state._replace(voters=tuple(voters))

    @staticmethod
    def aged(messages: tuple[Any, ...], steps: list[int], least: int) -> set[Any]:
        """Those that may still come. One whose asker's lease is over is dropped: what it may still do is to
        make a voter promise what nobody counts, which only keeps others from having it."""
        older = {each._replace(left=each.left - steps[each.candidate]) for each in messages}
        return {each for each in older if each.left > least}

    def same(self, state: State) -> State:
        """One of those that differ in the order of voters alone: those whose turn is over, and those whose
        is still to come, each among themselves."""
        at = min(max(0, state.turn - self.count), self.scope.voters)
        if any(voter.told > 0 for voter in state.voters):
            return state  # who told whom goes by places
        voters = state.voters
        if state.turn < self.count or at == self.scope.voters:
            ordered = tuple(sorted(voters))
        else:
            ordered = (*sorted(voters[:at]), voters[at], *sorted(voters[at + 1 :]))
        return state if ordered == voters else state._replace(voters=ordered)

    def said(self, what: Any) -> str:
        """An event in words, for the way to a break."""
        if what[0] == "tick":
            return "a tick passes" + (f" ({self.clock(what[1])} goes {what[2]})" if len(what) > 1 else "")
        if what[0] in ("asks", "asks again", "gives back"):
            return f"{NAMES[what[1]]} {what[0]} under {what[2].number}"
        if what[0] == "is asked":
            more = f", {what[5]}" if len(what) > 5 else ""
            return f"a voter hears {NAMES[what[2]]}'s asking under {what[3].number}: {what[4]}{more}"
        if what[0] == "hears of":
            return f"{NAMES[what[1]]} hears of a voter under {what[3].number}: {what[4]}"
        return f"a voter {what[0]}" + (" another" if len(what) > 2 else "")

    def clock(self, who: int) -> str:
        """Whose clock has that number, in words."""
        count = self.scope.voters
        return "a voter's clock" if who < count else f"{NAMES[who - count]}'s clock"


# ---- the search


@dataclass(slots=True)
class Found:
    """What the search of one scope came to; `way` is the shortest way to a break, empty where none is."""

    scope: str
    states: int = 0
    depth: int = 0  # of the event furthest from the start, passed turns not counted
    exhausted: bool = True
    seconds: float = 0.0
    broken: str = ""
    way: list[str] = field(default_factory=list)


def search(scope: Scope, seconds: float = 1e9, most: int = 20_000_000) -> Found:
    """By the number of events, so that the first break has the fewest."""
    machine = Machine(scope)
    found, begun = Found(scope.name), time.monotonic()
    start = machine.first()
    parents: dict[int, tuple[int, Any]] = {hash(start): (0, None)}
    level, following = deque([(start, hash(start))]), deque[tuple[State, int]]()
    while level:
        state, here = level.popleft()
        for what, after in machine.next(state):
            broken = ""
            if what is not None:
                broken = machine.broken(after)
                after = machine.noted(after)
            after = machine.same(after)
            key = hash(after)
            if key not in parents:
                parents[key] = here, what
                # A turn that is passed on is no event: it belongs to the same level.
                (following if what is not None else level).append((after, key))
            if broken:
                found.broken, found.exhausted = broken, False
                found.way = [machine.said(each) for each in (*_way(parents, here), what)]
                level.clear()
                following.clear()
                break
        if len(parents) >= most or time.monotonic() - begun > seconds:
            found.exhausted = False
            break
        if not level:
            level, following = following, deque()
            found.depth += bool(level)
    found.states, found.seconds = len(parents), round(time.monotonic() - begun, 2)
    return found


def _way(parents: dict[int, tuple[int, Any]], key: int) -> list[Any]:
    way: list[Any] = []
    while key:
        key, what = parents[key]
        if what is not None:
            way.append(what)
    return way[::-1]


def sets_hold(versions: int = 4, names: str = "abcde") -> tuple[int, str]:
    """All ways in which the files of all voters may go on, from set to set by one name at a time: whether
    two sets that may both be voting have quorums without a shared voter. Gives the number of cases looked
    at, and the first break in words."""
    cases = 0
    for sets in _chains(names, versions):
        electorates = [
            Electorate(number + 1, each, sets[number - 1] if number else ())
            for number, each in enumerate(sets)
        ]
        if any(each.validation_error() for each in electorates):
            continue
        everybody = sorted({name for each in sets for name in each})
        for at in _assignments(len(everybody), versions):
            cases += 1
            version = dict(zip(everybody, at, strict=True))
            able = [_able(each, version) for each in electorates]
            for one, other in ((a, b) for a in range(versions) for b in range(a)):
                if able[one] and able[other]:
                    shown = ", ".join(f"{name} at {version[name]}" for name in everybody)
                    told = f"sets {sets[other]} and {sets[one]} can both grant ({shown})"
                    return cases, told
    return cases, ""


def _able(electorate: Electorate, version: dict[str, int]) -> bool:
    """Whether a quorum of this set votes under it now."""
    voting = 0
    for name in electorate.voters:
        if version[name] == electorate.version:
            version_tracker = VersionTracker(electorate)
            for other, each in version.items():
                version_tracker.observe_version(other, each)
            voting += version_tracker.is_safe_to_vote(name)
    return voting >= electorate.quorum


def _chains(names: str, versions: int) -> Iterator[list[tuple[str, ...]]]:
    def longer(chain: list[tuple[str, ...]]) -> Iterator[list[tuple[str, ...]]]:
        if len(chain) == versions:
            yield chain
            return
        for name in names:
            last = set(chain[-1]) ^ {name}
            if last:
                yield from longer([*chain, tuple(sorted(last))])

    yield from longer([tuple(names[:3])])


def _assignments(count: int, versions: int) -> Iterator[tuple[int, ...]]:
    if not count:
        yield ()
        return
    for rest in _assignments(count - 1, versions):
        for version in range(1, versions + 1):
            yield (*rest, version)


# ---- mistakes put in, one at a time


def answered(tenure: Tenure, voter: str, answer: Answer, asked_at: int) -> None:
    """Hands an answer to a tenure; a function of its own so that a mistake can be put in its place."""
    tenure.handle_answer(voter, answer, asked_at)


ANSWERED: Callable[[Tenure, str, Answer, int], None] = answered


def _from_answer(tenure: Tenure, voter: str, answer: Answer, asked_at: int) -> None:
    tenure.handle_answer(voter, answer, NOW)


def _any_token(tenure: Tenure, voter: str, answer: Answer, asked_at: int) -> None:
    tenure.handle_answer(voter, Answer(tenure.token, answer.why, answer.highest), asked_at)


def _clock_alone(self: Tenure, unix: int, now: int) -> Token:
    self.token = Token(unix, self.name, self.nonce)
    self.granted_at, self.refusals, self.released = {}, {}, False
    return self.token


def _any_order(self: Promise, token: Token, now: int) -> Answer:
    if self.is_active(now) and self.token != token:
        return Answer(token, "held", self.highest, self.token.key)
    self.token, self.until = token, now + self.terms.promise_duration
    return Answer(token, "", token)


def _twice(self: Tenure) -> int:
    """One voter's answer, and the same once more, make two."""
    latest = sorted([*self.granted_at.values(), *self.granted_at.values()], reverse=True)
    return 0 if self.released or len(latest) < self.quorum else latest[self.quorum - 1] + self.terms.lease


def _reach(self: Tenure) -> int:
    """A majority of those that answered."""
    latest = sorted(self.granted_at.values(), reverse=True)
    most = len(self.granted_at) // 2 + 1
    return 0 if self.released or not latest else latest[min(most, len(latest)) - 1] + self.terms.lease


SETS = "sets"  # not a scope: all ways that files may go on
MISTAKES: dict[str, tuple[str, str, list[tuple[Any, str, Any]]]] = {
    "no-silence": ("restarted", "a voter that has started votes at once", [
        (Voter, "can_vote", lambda self, now: True)]),
    "from-the-answer": ("late", "a holder's time runs from the answer", []),
    "no-drift": ("plain", "a voter counts no longer than the holder", [
        (Terms, "promise_duration", property(lambda self: self.lease))]),
    "clock-token": ("again", "a token is the Unix time and nothing else", [
        (Tenure, "begin", _clock_alone), (Promise, "handle_request", _any_order)]),
    "counted-twice": ("renewed", "two answers of one voter count as two", [(Tenure, "expires_at", _twice)]),
    "old-ballot": ("both-again", "an answer to an older asking counts", []),
    "those-in-reach": ("plain", "a majority of those who answered is enough", [
        (Tenure, "expires_at", _reach)]),
    "old-set": (SETS, "a voter of a new set does not wait for the old one to be gone", [
        (VersionTracker, "is_safe_to_vote", lambda self, own: True)]),
}  # fmt: skip


@contextmanager
def planted(name: str) -> Iterator[str]:
    """The program with one mistake in it; gives the name of the scope that must find it."""
    global ANSWERED
    scope, _, patches = MISTAKES[name]
    before = [(owner, member, owner.__dict__[member]) for owner, member, _ in patches]
    try:
        for owner, member, new in patches:
            setattr(owner, member, new)
        ANSWERED = {"from-the-answer": _from_answer, "old-ballot": _any_token}.get(name, answered)
        yield scope
    finally:
        ANSWERED = answered
        for owner, member, old in before:
            setattr(owner, member, old)
