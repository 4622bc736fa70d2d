"""Exhaustive model checking of duties: runs the production code of promises, tenures and electorates on a
small clock, with a network that delays, reorders, loses and duplicates messages, with restarts, pauses and
clock drift.

Owns the scopes (bounds on how often each event may happen), the events, the visited states and the shortest
path to a violation. It never models the behaviour of a voter or holder but calls the production code. A state
holds no clock: each time in it is stored as the time remaining, and production objects are restored around a
fixed `NOW` for each event.

Time advances in whole ticks. Within a tick, processes have their turns in a fixed order: candidates' steps,
voters, candidates' answers. At its turn a process performs any number of its possible events, in any order.
Events of two processes within a tick touch no common state, so other orders reach the same states. A message
may arrive at any later turn of its receiver, or never, so every scope includes pauses of any process between
any two of its steps. An answer arrives at once or never, except in scopes with late answers: the time of its
arrival does not change when the lease ends. Voters are symmetric: states that differ only in the order of
voters are merged.

Invariants: no two candidates hold the duty, each by its own clock; and a token that holds is not below one
that held before.
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
    """Bounds on how often each event may happen. `unix` is the constant Unix time of each candidate; the
    second candidate's clock is behind."""

    name: str
    about: str
    voters: int = 3
    unix: tuple[int, ...] = (9, 4)
    ticks: int = 5
    begins: tuple[int, ...] = (1, 1)  # requests that each candidate may start
    renewals: int = 0  # in total
    gives: int = 0  # releases by a holder
    restarts: int = 0  # of any voters
    doubled: int = 0  # messages that are duplicated
    drifts: int = 0  # ticks in which one clock advances by 0 or 2
    late: int = 0  # ticks after the end of the requested lease in which an answer may still arrive
    tokens: bool = True  # whether tokens must not decrease
    recalls: bool = False  # a voter that restarted votes only after it has recovered
    lease: int = 2
    drift: float = 0.25


QUICK = (  # longest-running first
    Scope(
        "again",
        "a second request of one candidate after release or expiry",
        begins=(2, 1),
        gives=1,
        ticks=2,
        lease=1,
    ),
    Scope("plain", "requests late, lost or reordered; clock drift", drifts=1, ticks=4),
    Scope(
        "late", "late answers too, even after the end of the lease that they grant", late=2, ticks=3, lease=1
    ),
    Scope("renewed", "a renewal, a duplicated message", renewals=1, doubled=1, ticks=3),
    Scope("restarted", "a voter restarts and loses its state", restarts=1, ticks=4, lease=1, tokens=False),
    Scope(
        "recalled",
        "the same, and it recovers from the others before it votes",
        restarts=1,
        ticks=4,
        lease=1,
        recalls=True,
    ),
)
FULL = (
    *QUICK,
    Scope("both-again", "two requests of each candidate, after release or expiry", begins=(2, 2), gives=1,
          ticks=3, lease=1),
    Scope("drifting", "clock drift in two ticks", drifts=2, ticks=6),
    Scope("late-drift", "late answers and clock drift", late=3, drifts=1, ticks=4),
    Scope("twice", "two restarts, together or one after the other", restarts=2, ticks=5, tokens=False,
          lease=1),
    Scope("five", "five voters, one of them restarts", voters=5, restarts=1, ticks=3, tokens=False, lease=1),
    Scope("all", "a renewal, a restart, a duplicated message and clock drift", renewals=1, restarts=1,
          doubled=1, drifts=1, ticks=4, tokens=False),
)  # fmt: skip


class Ask(NamedTuple):
    """A request, or a release if `gives`, in flight to a voter. `left`: ticks until it is discarded,
    by the candidate's clock: the rest of the requested lease, or for a release of `promise_duration`."""

    candidate: int
    token: Token
    left: int
    gives: bool = False


class Reply(NamedTuple):
    """A voter's answer in flight; `left`: ticks until the requested lease ends."""

    candidate: int
    token: Token
    why: str
    highest: Token
    left: int


class VoterState(NamedTuple):
    """State of one voter; times are stored as remaining ticks."""

    token: Token = NO_TOKEN
    left: int = 0  # of the promise
    highest: Token = NO_TOKEN
    over: tuple[Token, ...] = ()
    silent: int = 0  # of the silent period after a start
    patience: int = 0  # until it votes without having recovered
    told: int = -1  # bit mask of voters that reported their tokens; -1 if it never restarted
    asks: tuple[Ask, ...] = ()
    replies: tuple[Reply, ...] = ()
    granted: tuple[int, ...] = ()  # by candidate: ticks left of the granted lease; -1 for none


class TenureState(NamedTuple):
    """State of one candidate; `begins`: requests that it may still start."""

    token: Token = NO_TOKEN
    given: bool = False
    known: Token = NO_TOKEN
    begins: int = 0


class State(NamedTuple):
    """Global state: the current turn, the remaining number of each kind of event, the state of each
    process."""

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


Transition = tuple[Any, State]  # event (None for passing the turn on), next state


class StateMachine:
    """The transition system of one scope."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.terms = Terms(scope.lease, scope.drift, margin=0)
        self.electorate = Electorate(1, tuple(str(n) for n in range(scope.voters)))
        self.quorum = self.electorate.quorum
        self.candidate_count = len(scope.unix)
        self.all_voters_mask = (1 << scope.voters) - 1
        # Turns: candidates' steps, voters, candidates' answers, then the tick.
        self.tick_turn = 2 * self.candidate_count + scope.voters

    def initial_state(self) -> State:
        """The state before any event."""
        scope, none = self.scope, (-1,) * self.candidate_count
        return State(
            0, scope.ticks, scope.renewals, scope.gives, scope.restarts, scope.doubled, scope.drifts,
            NO_TOKEN, (VoterState(granted=none),) * scope.voters,
            tuple(TenureState(begins=begins) for begins in scope.begins),
        )  # fmt: skip

    # ---- conversion to and from production objects

    def restore_tenure(self, state: State, number: int) -> Tenure:
        """Restores a candidate's `Tenure` at NOW from the state."""
        saved = state.tenures[number]
        tenure = Tenure(self.terms, NAMES[number], number + 1, self.quorum, saved.token)
        tenure.released, tenure.highest_known = saved.given, saved.known
        for index, voter in enumerate(state.voters):
            if voter.granted[number] >= 0:
                tenure.granted_at[str(index)] = NOW + voter.granted[number] - self.terms.lease
        return tenure

    def store_tenure(self, state: State, number: int, tenure: Tenure, begun: int = 0) -> State:
        """Returns the state with the tenure stored in it; `begun`: requests that were started."""
        lease, voters = self.terms.lease, []
        for index, voter in enumerate(state.voters):
            at = tenure.granted_at.get(str(index))
            left = -1 if at is None or at + lease <= NOW else at + lease - NOW
            if left != voter.granted[number]:
                granted = (*voter.granted[:number], left, *voter.granted[number + 1 :])
                voter = voter._replace(granted=granted)
            voters.append(voter)
        saved = TenureState(
            tenure.token, tenure.released, tenure.highest_known, state.tenures[number].begins - begun
        )
        tenures = (*state.tenures[:number], saved, *state.tenures[number + 1 :])
        return state._replace(voters=tuple(voters), tenures=tenures)

    def restore_voter(self, saved: VoterState, name: str) -> Voter:
        """Restores a `Voter` at NOW from its saved state."""
        terms = {DUTY: self.terms}
        if saved.told < 0:
            voter = Voter(name, terms, self.quorum, -NOW)
            voter.told = {f"{n} then": True for n in range(self.quorum)}
        else:
            # The start time that leaves the saved rest of the silent period, or of the recovery timeout.
            longest = Voter(name, terms, self.quorum, 0).max_promise_duration
            patience = int(RECOVERY_TIMEOUT_FACTOR * longest)
            born = NOW - longest + saved.silent if saved.silent else NOW - patience + saved.patience
            voter = Voter(name, terms, self.quorum, born)
            voter.told = {str(n): True for n in range(self.scope.voters) if saved.told >> n & 1}
        voter.promises[DUTY] = Promise(self.terms, saved.token, NOW + saved.left, saved.highest, saved.over)
        return voter

    # ---- invariants

    def violation(self, state: State) -> str:
        """Describes the invariant that the state violates; empty if it violates none."""
        holders = [
            number
            for number, saved in enumerate(state.tenures)
            if saved.token != NO_TOKEN and not saved.given and self.restore_tenure(state, number).holds(NOW)
        ]
        if len(holders) > 1:
            return "two hold the duty: " + " and ".join(
                f"{NAMES[n]} under {state.tenures[n].token.number}" for n in holders
            )
        if self.scope.tokens and holders and state.tenures[holders[0]].token < state.held:
            number = state.tenures[holders[0]].token.number
            return f"{NAMES[holders[0]]} holds under {number}, {state.held.number} held before"
        return ""

    def record_held(self, state: State) -> State:
        """Returns the state with the highest token that has held so far updated."""
        highest = state.held
        for number, saved in enumerate(state.tenures):
            if saved.token > highest and not saved.given and self.restore_tenure(state, number).holds(NOW):
                highest = saved.token
        return state if highest == state.held else state._replace(held=highest)

    # ---- events

    def transitions(self, state: State) -> Iterator[Transition]:
        """All possible next events, each with the resulting state."""
        turn, count = state.turn, self.candidate_count
        if turn == self.tick_turn:
            yield from self.tick_transitions(state)
            return
        if turn < count:
            yield from self.candidate_transitions(state, turn)
        elif turn < count + self.scope.voters:
            yield from self.voter_transitions(state, turn - count)
        else:
            yield from self.late_answer_transitions(state, turn - count - self.scope.voters)
        yield None, self.advance_turn(state)

    def advance_turn(self, state: State) -> State:
        """Passes the turn to the next process that has a possible event, or to the tick."""
        turn, count, voters = state.turn + 1, self.candidate_count, self.scope.voters
        while turn < self.tick_turn:
            if turn < count:
                saved = state.tenures[turn]
                if saved.begins or (
                    (state.renewals or state.gives) and saved.token != NO_TOKEN and not saved.given
                ):
                    break
            elif turn < count + voters:
                voter = state.voters[turn - count]
                if voter.asks or state.restarts or 0 <= voter.told < self.all_voters_mask:
                    break
            elif any(
                each.candidate == turn - count - voters for voter in state.voters for each in voter.replies
            ):
                break
            turn += 1
        return state._replace(turn=turn)

    def candidate_transitions(self, state: State, number: int) -> Iterator[Transition]:
        """A candidate's own steps: request, renewal, release."""
        saved, tenure = state.tenures[number], self.restore_tenure(state, number)
        holds = tenure.holds(NOW)
        if saved.begins and not holds:
            after = state
            if saved.token != NO_TOKEN and not saved.given:
                after = self.send(after, Ask(number, tenure.release(), self.terms.promise_duration, True))
            tenure.begin(self.scope.unix[number], NOW)
            after = self.store_tenure(after, number, tenure, begun=1)
            after = self.send(after, Ask(number, tenure.token, self.terms.lease))
            yield ("asks", number, tenure.token), after
        if holds and state.renewals:
            after = state._replace(renewals=state.renewals - 1)
            yield (
                ("asks again", number, tenure.token),
                self.send(after, Ask(number, tenure.token, self.terms.lease)),
            )
        if holds and state.gives:
            token = tenure.release()
            after = self.store_tenure(state._replace(gives=state.gives - 1), number, tenure)
            yield (
                ("gives back", number, token),
                self.send(after, Ask(number, token, self.terms.promise_duration, True)),
            )

    def send(self, state: State, ask: Ask) -> State:
        """Returns the state with a request or release in flight to every voter."""
        voters = tuple(
            voter if ask in voter.asks else voter._replace(asks=tuple(sorted((*voter.asks, ask))))
            for voter in state.voters
        )
        return state._replace(voters=voters)

    def voter_transitions(self, state: State, index: int) -> Iterator[Transition]:
        """A voter's possible events: receive a request in flight, restart, or receive another voter's
        recovery report."""
        saved = state.voters[index]
        yield from self.request_transitions(state, index, saved)
        if state.restarts:
            longest = Voter("", {DUTY: self.terms}, self.quorum, 0).max_promise_duration
            new = VoterState(
                silent=longest, patience=int(RECOVERY_TIMEOUT_FACTOR * longest), told=0, asks=saved.asks,
                replies=saved.replies, granted=saved.granted,
            )  # fmt: skip
            yield (
                ("restarts", index),
                self.replace_voter(state._replace(restarts=state.restarts - 1), index, new),
            )
        if saved.told >= 0 and not saved.silent and bin(saved.told).count("1") < self.quorum:
            yield from self.recovery_transitions(state, index, saved)

    def request_transitions(self, state: State, index: int, saved: VoterState) -> Iterator[Transition]:
        """Delivery of each request in flight to a voter, with all possible outcomes for its answer."""
        waits = self.scope.recalls and saved.told >= 0 and bin(saved.told).count("1") < self.quorum
        for ask in () if waits else saved.asks:
            rest = tuple(each for each in saved.asks if each != ask)
            voter = self.restore_voter(saved, str(index))
            if ask.gives:
                voter.release(DUTY, ask.token, "", 0, NOW)
                answer, outcome = None, "released"
            else:
                answer = voter.handle_request(DUTY, ask.token, NOW)
                outcome = "no answer" if answer is None else answer.why or "grants"
            replies, reply = saved.replies, None
            if answer is not None:
                reply = Reply(ask.candidate, answer.token, answer.why, answer.highest, ask.left)
                if self.scope.late and reply not in replies:
                    replies = tuple(sorted((*replies, reply)))
            promise = voter.promise_for(DUTY)
            left = max(0, promise.until - NOW) if promise.is_active(NOW) else 0
            new = saved._replace(
                token=promise.token if left else NO_TOKEN, left=left, highest=promise.highest,
                over=promise.over, asks=rest, replies=replies,
            )  # fmt: skip
            event = ("is asked", index, ask.candidate, ask.token, outcome)
            yield event, self.replace_voter(state, index, new)
            if reply is not None and not self.scope.late:
                delivered = self.deliver_answer(
                    self.replace_voter(state, index, new._replace(replies=())), index, reply
                )
                yield (*event, "answer delivered"), delivered
                if state.doubled:
                    spent = delivered._replace(doubled=delivered.doubled - 1)
                    yield (*event, "answer delivered twice"), self.deliver_answer(spent, index, reply)
            if state.doubled:
                spent = state._replace(doubled=state.doubled - 1)
                yield (
                    (*event, "request delivered again"),
                    self.replace_voter(spent, index, new._replace(asks=saved.asks)),
                )

    def recovery_transitions(self, state: State, index: int, saved: VoterState) -> Iterator[Transition]:
        """Reports that a restarted voter may receive from each voter that has all its state."""
        for other, source in enumerate(state.voters):
            remembers = source.told < 0 or bin(source.told).count("1") >= self.quorum
            if other != index and remembers and not saved.told >> other & 1:
                voter = self.restore_voter(saved, str(index))
                voter.observe_voter(str(other), True, {DUTY: source.highest}, NOW)
                new = saved._replace(told=saved.told | 1 << other, highest=voter.promise_for(DUTY).highest)
                yield ("receives the recovery report of", index, other), self.replace_voter(state, index, new)

    @staticmethod
    def replace_voter(state: State, index: int, voter: VoterState) -> State:
        """Returns the state with the voter at `index` replaced."""
        return state._replace(voters=(*state.voters[:index], voter, *state.voters[index + 1 :]))

    def late_answer_transitions(self, state: State, number: int) -> Iterator[Transition]:
        """Delivery of late answers to a candidate."""
        for index, saved in enumerate(state.voters):
            for reply in saved.replies:
                if reply.candidate != number:
                    continue
                rest = tuple(each for each in saved.replies if each != reply)
                event = ("receives answer", number, index, reply.token, reply.why or "granted")
                yield (
                    event,
                    self.deliver_answer(
                        self.replace_voter(state, index, saved._replace(replies=rest)), index, reply
                    ),
                )

    def deliver_answer(self, state: State, index: int, reply: Reply) -> State:
        """Delivers a voter's answer to its candidate."""
        tenure = self.restore_tenure(state, reply.candidate)
        answer = Answer(reply.token, reply.why, reply.highest)
        ANSWER_HANDLER(tenure, str(index), answer, NOW + reply.left - self.terms.lease)
        return self.store_tenure(state, reply.candidate, tenure)

    def tick_transitions(self, state: State) -> Iterator[Transition]:
        """A tick, with all clocks in step or with one that drifts."""
        if not state.ticks:
            return
        state = state._replace(ticks=state.ticks - 1, turn=0)
        yield ("tick",), self.advance_clocks(state, -1, 1)
        if state.drifts:
            drifted = state._replace(drifts=state.drifts - 1)
            for who in range(self.scope.voters + self.candidate_count):
                for by in (0, 2):
                    yield ("tick", who, by), self.advance_clocks(drifted, who, by)

    def advance_clocks(self, state: State, drifting: int, by: int) -> State:
        """Advances all clocks by one tick, but that of process `drifting` by `by`."""
        count, voters = self.scope.voters, []
        steps = [by if drifting == count + number else 1 for number in range(self.candidate_count)]
        for index, saved in enumerate(state.voters):
            elapsed = by if drifting == index else 1
            left = max(0, saved.left - elapsed)
            voters.append(
                saved._replace(
                    token=saved.token if left else NO_TOKEN,
                    left=left,
                    silent=max(0, saved.silent - elapsed),
                    patience=max(0, saved.patience - elapsed),
                    asks=tuple(sorted(self.age_messages(saved.asks, steps, 0))),
                    replies=tuple(sorted(self.age_messages(saved.replies, steps, -self.scope.late))),
                    granted=tuple(
                        each - steps[number] if each > steps[number] else -1
                        for number, each in enumerate(saved.granted)
                    ),
                )
            )  # fmt: skip
        return state._replace(voters=tuple(voters))

    @staticmethod
    def age_messages(messages: tuple[Any, ...], steps: list[int], min_left: int) -> set[Any]:
        """Messages that may still be delivered. A message whose candidate's lease has ended is dropped: it
        could only make a voter promise a lease that no longer counts, which only blocks other candidates."""
        older = {each._replace(left=each.left - steps[each.candidate]) for each in messages}
        return {each for each in older if each.left > min_left}

    def canonical(self, state: State) -> State:
        """Representative of the states that differ only in the order of voters, among those whose turn is
        over and among those whose turn is yet to come."""
        at = min(max(0, state.turn - self.candidate_count), self.scope.voters)
        if any(voter.told > 0 for voter in state.voters):
            return state  # `told` refers to voters by index
        voters = state.voters
        if state.turn < self.candidate_count or at == self.scope.voters:
            ordered = tuple(sorted(voters))
        else:
            ordered = (*sorted(voters[:at]), voters[at], *sorted(voters[at + 1 :]))
        return state if ordered == voters else state._replace(voters=ordered)

    def describe(self, event: Any) -> str:
        """Describes an event, for the path to a violation."""
        if event[0] == "tick":
            return "a tick passes" + (
                f" ({self.clock_name(event[1])} goes {event[2]})" if len(event) > 1 else ""
            )
        if event[0] in ("asks", "asks again", "gives back"):
            return f"{NAMES[event[1]]} {event[0]} under {event[2].number}"
        if event[0] == "is asked":
            more = f", {event[5]}" if len(event) > 5 else ""
            return f"a voter receives {NAMES[event[2]]}'s message under {event[3].number}: {event[4]}{more}"
        if event[0] == "receives answer":
            return f"{NAMES[event[1]]} receives a voter's answer under {event[3].number}: {event[4]}"
        return f"a voter {event[0]}" + (" another" if len(event) > 2 else "")

    def clock_name(self, who: int) -> str:
        """Describes the owner of clock number `who`."""
        count = self.scope.voters
        return "a voter's clock" if who < count else f"{NAMES[who - count]}'s clock"


# ---- the search


@dataclass(slots=True)
class SearchResult:
    """Result of searching one scope; `way` is the shortest path to a violation, empty if there is none."""

    scope: str
    states: int = 0
    depth: int = 0  # maximum number of events from the start, passing the turn on not counted
    exhausted: bool = True
    seconds: float = 0.0
    broken: str = ""
    way: list[str] = field(default_factory=list)


def search(scope: Scope, seconds: float = 1e9, max_states: int = 20_000_000) -> SearchResult:
    """Breadth-first search by the number of events, so the first violation found has the shortest path."""
    machine = StateMachine(scope)
    found, begun = SearchResult(scope.name), time.monotonic()
    start = machine.initial_state()
    parents: dict[int, tuple[int, Any]] = {hash(start): (0, None)}
    level, following = deque([(start, hash(start))]), deque[tuple[State, int]]()
    while level:
        state, here = level.popleft()
        for event, after in machine.transitions(state):
            broken = ""
            if event is not None:
                broken = machine.violation(after)
                after = machine.record_held(after)
            after = machine.canonical(after)
            key = hash(after)
            if key not in parents:
                parents[key] = here, event
                # Passing the turn on is no event, so the next state belongs to the same level.
                (following if event is not None else level).append((after, key))
            if broken:
                found.broken, found.exhausted = broken, False
                found.way = [machine.describe(each) for each in (*_way(parents, here), event)]
                level.clear()
                following.clear()
                break
        if len(parents) >= max_states or time.monotonic() - begun > seconds:
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
        key, event = parents[key]
        if event is not None:
            way.append(event)
    return way[::-1]


def check_voter_sets(versions: int = 4, names: str = "abcde") -> tuple[int, str]:
    """Checks all sequences of voter sets that differ by one name, with every assignment of versions to
    voters: no two sets may both be able to grant. Returns the number of cases checked and a
    description of the first violation, empty if there is none."""
    cases = 0
    for sets in _version_chains(names, versions):
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
            able = [_can_grant(each, version) for each in electorates]
            for one, other in ((a, b) for a in range(versions) for b in range(a)):
                if able[one] and able[other]:
                    shown = ", ".join(f"{name} at {version[name]}" for name in everybody)
                    description = f"sets {sets[other]} and {sets[one]} can both grant ({shown})"
                    return cases, description
    return cases, ""


def _can_grant(electorate: Electorate, version: dict[str, int]) -> bool:
    """Whether a quorum of this set may vote under its version now."""
    voting = 0
    for name in electorate.voters:
        if version[name] == electorate.version:
            version_tracker = VersionTracker(electorate)
            for other, each in version.items():
                version_tracker.observe_version(other, each)
            voting += version_tracker.is_safe_to_vote(name)
    return voting >= electorate.quorum


def _version_chains(names: str, versions: int) -> Iterator[list[tuple[str, ...]]]:
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


# ---- injected mistakes, one at a time


def handle_answer(tenure: Tenure, voter: str, answer: Answer, sent_at: int) -> None:
    """Passes an answer to a tenure; a separate function so that a mistake can replace it."""
    tenure.handle_answer(voter, answer, sent_at)


ANSWER_HANDLER: Callable[[Tenure, str, Answer, int], None] = handle_answer


def _handle_answer_from_receipt(tenure: Tenure, voter: str, answer: Answer, sent_at: int) -> None:
    tenure.handle_answer(voter, answer, NOW)


def _handle_answer_to_any_token(tenure: Tenure, voter: str, answer: Answer, sent_at: int) -> None:
    tenure.handle_answer(voter, Answer(tenure.token, answer.why, answer.highest), sent_at)


def _begin_by_clock_only(self: Tenure, unix: int, now: int) -> Token:
    self.token = Token(unix, self.name, self.nonce)
    self.granted_at, self.refusals, self.released = {}, {}, False
    return self.token


def _handle_request_in_any_order(self: Promise, token: Token, now: int) -> Answer:
    if self.is_active(now) and self.token != token:
        return Answer(token, "held", self.highest, self.token.key)
    self.token, self.until = token, now + self.terms.promise_duration
    return Answer(token, "", token)


def _expires_at_counting_twice(self: Tenure) -> int:
    """Counts each voter's answer twice."""
    latest = sorted([*self.granted_at.values(), *self.granted_at.values()], reverse=True)
    return 0 if self.released or len(latest) < self.quorum else latest[self.quorum - 1] + self.terms.lease


def _expires_at_of_answering_majority(self: Tenure) -> int:
    """Counts a majority of the voters that answered as a quorum."""
    latest = sorted(self.granted_at.values(), reverse=True)
    majority = len(self.granted_at) // 2 + 1
    return 0 if self.released or not latest else latest[min(majority, len(latest)) - 1] + self.terms.lease


SETS = "sets"  # not a scope: all sequences of voter sets
MISTAKES: dict[str, tuple[str, str, list[tuple[Any, str, Any]]]] = {
    "no-silence": ("restarted", "a voter votes immediately after a start", [
        (Voter, "can_vote", lambda self, now: True)]),
    "from-the-answer": ("late", "a holder's lease runs from the answer", []),
    "no-drift": ("plain", "a voter does not add the clock drift", [
        (Terms, "promise_duration", property(lambda self: self.lease))]),
    "clock-token": ("again", "a token is only the Unix time", [
        (Tenure, "begin", _begin_by_clock_only), (Promise, "handle_request", _handle_request_in_any_order)]),
    "counted-twice": ("renewed", "two answers of one voter count as two votes", [
        (Tenure, "expires_at", _expires_at_counting_twice)]),
    "old-ballot": ("both-again", "an answer to an older request counts", []),
    "those-in-reach": ("plain", "a majority of those that answered is a quorum", [
        (Tenure, "expires_at", _expires_at_of_answering_majority)]),
    "old-set": (SETS, "a voter of a new set does not wait until the old set is retired", [
        (VersionTracker, "is_safe_to_vote", lambda self, own: True)]),
}  # fmt: skip


@contextmanager
def with_mistake(name: str) -> Iterator[str]:
    """Injects a mistake into the production code; yields the name of the scope that must find it."""
    global ANSWER_HANDLER
    scope, _, patches = MISTAKES[name]
    before = [(owner, member, owner.__dict__[member]) for owner, member, _ in patches]
    try:
        for owner, member, new in patches:
            setattr(owner, member, new)
        ANSWER_HANDLER = {
            "from-the-answer": _handle_answer_from_receipt,
            "old-ballot": _handle_answer_to_any_token,
        }.get(name, handle_answer)
        yield scope
    finally:
        ANSWER_HANDLER = handle_answer
        for owner, member, old in before:
            setattr(owner, member, old)
