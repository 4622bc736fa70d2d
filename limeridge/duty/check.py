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


Transition = tuple[Any, State]  # how to say it, and the state after


class StateMachine:
    """The events of one scope."""

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
        """The state in which nothing has happened."""
        scope, none = self.scope, (-1,) * self.candidate_count
        return State(
            0, scope.ticks, scope.renewals, scope.gives, scope.restarts, scope.doubled, scope.drifts,
            NO_TOKEN, (VoterState(granted=none),) * scope.voters,
            tuple(TenureState(begins=begins) for begins in scope.begins),
        )  # fmt: skip

    # ---- objects of the program, and back

    def restore_tenure(self, state: State, number: int) -> Tenure:
        """A candidate's tenure as the program has it, made anew at NOW from what the state keeps."""
        saved = state.tenures[number]
        tenure = Tenure(self.terms, NAMES[number], number + 1, self.quorum, saved.token)
        tenure.released, tenure.highest_known = saved.given, saved.known
        for index, voter in enumerate(state.voters):
            if voter.granted[number] >= 0:
                tenure.granted_at[str(index)] = NOW + voter.granted[number] - self.terms.lease
        return tenure

    def store_tenure(self, state: State, number: int, tenure: Tenure, begun: int = 0) -> State:
        """The state with what a tenure holds now; `begun` is how many askings anew it used up."""
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
        """A voter as the program has it, made anew at NOW from what the state keeps."""
        terms = {DUTY: self.terms}
        if saved.told < 0:
            voter = Voter(name, terms, self.quorum, -NOW)
            voter.told = {f"{n} then": True for n in range(self.quorum)}
        else:
            # Born so long ago that as much of its silence, or of its patience, is left.
            longest = Voter(name, terms, self.quorum, 0).max_promise_duration
            patience = int(RECOVERY_TIMEOUT_FACTOR * longest)
            born = NOW - longest + saved.silent if saved.silent else NOW - patience + saved.patience
            voter = Voter(name, terms, self.quorum, born)
            voter.told = {str(n): True for n in range(self.scope.voters) if saved.told >> n & 1}
        voter.promises[DUTY] = Promise(self.terms, saved.token, NOW + saved.left, saved.highest, saved.over)
        return voter

    # ---- what must hold

    def violation(self, state: State) -> str:
        """Which rule the state breaks, in words; empty where it breaks none."""
        holders = [
            number
            for number, saved in enumerate(state.tenures)
            if saved.token != NO_TOKEN and not saved.given and self.restore_tenure(state, number).holds(NOW)
        ]
        if len(holders) > 1:
            return "two hold it: " + " and ".join(
                f"{NAMES[n]} under {state.tenures[n].token.number}" for n in holders
            )
        if self.scope.tokens and holders and state.tenures[holders[0]].token < state.held:
            number = state.tenures[holders[0]].token.number
            return f"{NAMES[holders[0]]} holds under {number}, {state.held.number} held before"
        return ""

    def record_held(self, state: State) -> State:
        """With the highest token that has held so far."""
        highest = state.held
        for number, saved in enumerate(state.tenures):
            if saved.token > highest and not saved.given and self.restore_tenure(state, number).holds(NOW):
                highest = saved.token
        return state if highest == state.held else state._replace(held=highest)

    # ---- events

    def transitions(self, state: State) -> Iterator[Transition]:
        """All events that may come next, each with the state that it leads to."""
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
        """On to the next process that could do something, or to the tick."""
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
        """Of a candidate: asks, asks again, gives back."""
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
        """The state with an asking on its way to every voter."""
        voters = tuple(
            voter if ask in voter.asks else voter._replace(asks=tuple(sorted((*voter.asks, ask))))
            for voter in state.voters
        )
        return state._replace(voters=voters)

    def voter_transitions(self, state: State, index: int) -> Iterator[Transition]:
        """What a voter may do at its turn: take any asking that is on its way, start again, or hear what
        another one remembers."""
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
        """Each asking that is on its way to a voter, with all that its answer may come to."""
        waits = self.scope.recalls and saved.told >= 0 and bin(saved.told).count("1") < self.quorum
        for ask in () if waits else saved.asks:
            rest = tuple(each for each in saved.asks if each != ask)
            voter = self.restore_voter(saved, str(index))
            if ask.gives:
                voter.release(DUTY, ask.token, "", 0, NOW)
                answer, outcome = None, "hears that it was given back"
            else:
                answer = voter.handle_request(DUTY, ask.token, NOW)
                outcome = "is silent" if answer is None else answer.why or "grants"
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
                heard = self.deliver_answer(
                    self.replace_voter(state, index, new._replace(replies=())), index, reply
                )
                yield (*event, "and told"), heard
                if state.doubled:
                    spent = heard._replace(doubled=heard.doubled - 1)
                    yield (*event, "and told twice"), self.deliver_answer(spent, index, reply)
            if state.doubled:
                spent = state._replace(doubled=state.doubled - 1)
                yield (
                    (*event, "and once more"),
                    self.replace_voter(spent, index, new._replace(asks=saved.asks)),
                )

    def recovery_transitions(self, state: State, index: int, saved: VoterState) -> Iterator[Transition]:
        """What a voter that forgot may hear from each that remembers."""
        for other, source in enumerate(state.voters):
            remembers = source.told < 0 or bin(source.told).count("1") >= self.quorum
            if other != index and remembers and not saved.told >> other & 1:
                voter = self.restore_voter(saved, str(index))
                voter.observe_voter(str(other), True, {DUTY: source.highest}, NOW)
                new = saved._replace(told=saved.told | 1 << other, highest=voter.promise_for(DUTY).highest)
                yield ("hears what is known to", index, other), self.replace_voter(state, index, new)

    @staticmethod
    def replace_voter(state: State, index: int, voter: VoterState) -> State:
        """The state with another voter at `index`."""
        return state._replace(voters=(*state.voters[:index], voter, *state.voters[index + 1 :]))

    def late_answer_transitions(self, state: State, number: int) -> Iterator[Transition]:
        """The late answers that a candidate may hear at its turn."""
        for index, saved in enumerate(state.voters):
            for reply in saved.replies:
                if reply.candidate != number:
                    continue
                rest = tuple(each for each in saved.replies if each != reply)
                event = ("hears of", number, index, reply.token, reply.why or "granted")
                yield (
                    event,
                    self.deliver_answer(
                        self.replace_voter(state, index, saved._replace(replies=rest)), index, reply
                    ),
                )

    def deliver_answer(self, state: State, index: int, reply: Reply) -> State:
        """A candidate, of a voter's answer."""
        tenure = self.restore_tenure(state, reply.candidate)
        answer = Answer(reply.token, reply.why, reply.highest)
        ANSWER_HANDLER(tenure, str(index), answer, NOW + reply.left - self.terms.lease)
        return self.store_tenure(state, reply.candidate, tenure)

    def tick_transitions(self, state: State) -> Iterator[Transition]:
        """The passing of a tick, for all clocks alike or with one that drifts."""
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
        """A tick, of which the clock of process `drifting` makes `by`."""
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
        """Those that may still come. One whose asker's lease is over is dropped: what it may still do is to
        make a voter promise what nobody counts, which only keeps others from having it."""
        older = {each._replace(left=each.left - steps[each.candidate]) for each in messages}
        return {each for each in older if each.left > min_left}

    def canonical(self, state: State) -> State:
        """One of those that differ in the order of voters alone: those whose turn is over, and those whose
        is still to come, each among themselves."""
        at = min(max(0, state.turn - self.candidate_count), self.scope.voters)
        if any(voter.told > 0 for voter in state.voters):
            return state  # who told whom goes by places
        voters = state.voters
        if state.turn < self.candidate_count or at == self.scope.voters:
            ordered = tuple(sorted(voters))
        else:
            ordered = (*sorted(voters[:at]), voters[at], *sorted(voters[at + 1 :]))
        return state if ordered == voters else state._replace(voters=ordered)

    def describe(self, event: Any) -> str:
        """An event in words, for the way to a break."""
        if event[0] == "tick":
            return "a tick passes" + (
                f" ({self.clock_name(event[1])} goes {event[2]})" if len(event) > 1 else ""
            )
        if event[0] in ("asks", "asks again", "gives back"):
            return f"{NAMES[event[1]]} {event[0]} under {event[2].number}"
        if event[0] == "is asked":
            more = f", {event[5]}" if len(event) > 5 else ""
            return f"a voter hears {NAMES[event[2]]}'s asking under {event[3].number}: {event[4]}{more}"
        if event[0] == "hears of":
            return f"{NAMES[event[1]]} hears of a voter under {event[3].number}: {event[4]}"
        return f"a voter {event[0]}" + (" another" if len(event) > 2 else "")

    def clock_name(self, who: int) -> str:
        """Whose clock has that number, in words."""
        count = self.scope.voters
        return "a voter's clock" if who < count else f"{NAMES[who - count]}'s clock"


# ---- the search


@dataclass(slots=True)
class SearchResult:
    """What the search of one scope came to; `way` is the shortest way to a break, empty where none is."""

    scope: str
    states: int = 0
    depth: int = 0  # of the event furthest from the start, passed turns not counted
    exhausted: bool = True
    seconds: float = 0.0
    broken: str = ""
    way: list[str] = field(default_factory=list)


def search(scope: Scope, seconds: float = 1e9, max_states: int = 20_000_000) -> SearchResult:
    """By the number of events, so that the first break has the fewest."""
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
                # A turn that is passed on is no event: it belongs to the same level.
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
    """All ways in which the files of all voters may go on, from set to set by one name at a time: whether
    two sets that may both be voting have quorums without a shared voter. Gives the number of cases looked
    at, and the first break in words."""
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
    """Whether a quorum of this set votes under it now."""
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


# ---- mistakes put in, one at a time


def handle_answer(tenure: Tenure, voter: str, answer: Answer, sent_at: int) -> None:
    """Hands an answer to a tenure; a function of its own so that a mistake can be put in its place."""
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
    """One voter's answer, and the same once more, make two."""
    latest = sorted([*self.granted_at.values(), *self.granted_at.values()], reverse=True)
    return 0 if self.released or len(latest) < self.quorum else latest[self.quorum - 1] + self.terms.lease


def _expires_at_of_answering_majority(self: Tenure) -> int:
    """A majority of those that answered."""
    latest = sorted(self.granted_at.values(), reverse=True)
    majority = len(self.granted_at) // 2 + 1
    return 0 if self.released or not latest else latest[min(majority, len(latest)) - 1] + self.terms.lease


SETS = "sets"  # not a scope: all ways that files may go on
MISTAKES: dict[str, tuple[str, str, list[tuple[Any, str, Any]]]] = {
    "no-silence": ("restarted", "a voter that has started votes at once", [
        (Voter, "can_vote", lambda self, now: True)]),
    "from-the-answer": ("late", "a holder's time runs from the answer", []),
    "no-drift": ("plain", "a voter counts no longer than the holder", [
        (Terms, "promise_duration", property(lambda self: self.lease))]),
    "clock-token": ("again", "a token is the Unix time and nothing else", [
        (Tenure, "begin", _begin_by_clock_only), (Promise, "handle_request", _handle_request_in_any_order)]),
    "counted-twice": ("renewed", "two answers of one voter count as two", [
        (Tenure, "expires_at", _expires_at_counting_twice)]),
    "old-ballot": ("both-again", "an answer to an older asking counts", []),
    "those-in-reach": ("plain", "a majority of those who answered is enough", [
        (Tenure, "expires_at", _expires_at_of_answering_majority)]),
    "old-set": (SETS, "a voter of a new set does not wait for the old one to be gone", [
        (VersionTracker, "is_safe_to_vote", lambda self, own: True)]),
}  # fmt: skip


@contextmanager
def with_mistake(name: str) -> Iterator[str]:
    """The program with one mistake in it; gives the name of the scope that must find it."""
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
