"""Members alone on virtual time: many `Peer`s, a network that loses, delays and cuts, clocks that drift and
step, and a ledger that counts the calls in its hands.

It owns the drawing and carrying out of a plan of faults among members, and the judging of what came of it.
Whole instances are `world.py`'s: here a member costs a hundredth of one, so that fleets of a thousand can
be looked at. The judge sees datagrams, processes and the ledger's count, and asks members only for what
they hold of others.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from limeridge.peers.intervals import Intervals
from limeridge.peers.members import Address, State
from limeridge.peers.messages import (
    MAX_DATAGRAM_BYTES,
    InvalidMessageError,
    Message,
    Ping,
    decode,
    derive_key,
    encode,
)
from limeridge.peers.peer import Peer, own_claim
from limeridge.peers.probing import ProbeSettings
from limeridge.peers.shares import Terms

MS = 1_000
SECOND = 1_000_000
SETTLED = 4 * SECOND  # after the quiet point with nothing left to mend, before a run ends
QUEUE_MOST = 200 * MS  # of data before a narrow way
UNIX = 1_764_576_000 * SECOND
KINDS = (
    "kill",
    "pause",
    "cut",
    "one-way",
    "islands",
    "flap",
    "loss",
    "slow",
    "step",
    "double",
    "garble",
    "all",
    "replace",
    "narrow",
    "reorder",
    "copies",
    "amnesia",
)


# Where one of these comes, a live member may be held dead for good reason, and is not counted; one that was
# paused itself neither.
UNCLEAN = {"cut", "one-way", "islands", "flap", "loss", "slow", "double", "narrow"}


@dataclass(slots=True, frozen=True)
class Trouble:
    """`who` are numbers of members; `lasts` microseconds; `amount` by kind."""

    kind: str
    at: int
    lasts: int
    who: tuple[int, ...]
    amount: float = 0.0


@dataclass(slots=True, frozen=True)
class Setting:
    """What one seed holds."""

    seed: int
    members: int
    terms: Terms
    habits: Intervals
    loss: float
    quiet: int  # all heals
    end: int
    troubles: tuple[Trouble, ...] = ()
    linger: int = 100 * MS  # that the ledger keeps a call of a process that died
    load: bool = True
    watched: bool = True  # looked at as a whole each 100 ms, which costs the square of the members

    @property
    def detect(self) -> int:
        """Within which a death is known to all where no link is cut and nobody is slow: the longest
        suspicion, of one whom nobody else accuses, and twenty rounds."""
        pace = self.habits.probe_settings
        rounds = (
            pace.suspicion_max_multiplier * pace.suspicion_multiplier * max(1.0, math.log10(self.members))
            + 20
        )
        return int(rounds * pace.interval)


@dataclass(slots=True)
class Verdict:
    seed: int
    members: int
    rule: str = ""
    what: str = ""
    at: int = 0
    detected: list[int] = field(default_factory=list)  # from a death to all who are connected holding it gone
    false_deaths: int = 0
    most_in_hand: int = 0
    agreed_after: int = -1  # from the quiet point to equal tables
    used_after: int = -1  # from the quiet point to 95% of the limit dealt out
    packets: int = 0
    bytes: int = 0
    largest: int = 0
    seconds: float = 0.0  # of virtual time
    came: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, order=True)
class Call:
    """In the ledger's hands until `end`."""

    end: int


class Process:
    """One life of a member."""

    def __init__(self, fleet: Fleet, number: int, host: str, drift: float, quiet: int) -> None:
        self.fleet, self.number, self.host, self.drift = fleet, number, host, drift
        self.born, self.alive, self.paused = fleet.now, True, False
        self.held_back: list[Callable[[], None]] = []
        self.name = f"n{number}"
        self.in_hand: list[Call] = []
        self.wants = 0  # calls that it could use
        setting, chance = fleet.setting, random.Random(f"{fleet.setting.seed} {number} {fleet.now}")
        self.chance = chance
        own = own_claim(self.name, (host, 1), UNIX + fleet.now + fleet.steps[number], chance.getrandbits(60))
        seeds = [(fleet.host(each), 1) for each in range(min(3, setting.members))]
        self.peer = Peer(own, seeds, setting.habits, setting.terms, chance, self.clock(), quiet)
        self.slow = 0

    def clock(self) -> int:
        """Never steps, drifts, and goes on while the process stands still."""
        return int(self.fleet.now * (1 + self.drift))

    def unix(self) -> int:
        return UNIX + self.fleet.now + self.fleet.steps[self.number]

    def do(self, act: Callable[[], None]) -> None:
        if not self.alive:
            return
        if self.paused:
            self.held_back.append(act)
        else:
            act()
            self.flush()

    def flush(self) -> None:
        for send in self.peer.out:
            self.fleet.send(self, send.to, send.message, send.stream)
        self.peer.out.clear()
        self.peer.events.clear()

    def wake(self) -> None:
        def look() -> None:
            self.peer.unix = self.unix()
            self.peer.wake(self.clock())
            self.arm()

        self.do(look)

    def arm(self) -> None:
        wait = max(1, int((self.peer.next_at() - self.clock()) / (1 + self.drift)) + 1)
        self.fleet.after(wait, self.wake)

    def hear(self, data: bytes, back: Callable[[Message], None] | None) -> None:
        def take() -> None:
            try:
                message = decode(data, self.fleet.key)
            except InvalidMessageError:
                return
            self.peer.unix = self.unix()
            answer = self.peer.receive(message, self.clock())
            if answer is not None and back is not None:
                back(answer)

        self.do(take)

    def work(self) -> None:
        """As many calls as the share allows, each as long as one may be."""

        def begin() -> None:
            now, fleet = self.fleet.now, self.fleet
            terms = fleet.setting.terms
            self.in_hand = [call for call in self.in_hand if call.end > now]
            share = self.peer.share(self.clock()) or 0
            self.wants = terms.limit
            while len(self.in_hand) + 1 <= share:
                end = now + int(terms.longest * self.chance.choice((0.05, 0.3, 1.0)))
                self.in_hand.append(fleet.called(end))

        self.do(begin)
        if self.alive:
            self.fleet.after(int(self.chance.uniform(20, 120) * MS), self.work)


class Fleet:
    """A run of one setting."""

    def __init__(self, setting: Setting, looks: Callable[[Fleet], None] | None = None) -> None:
        """`looks` is called each time that the fleet is looked at, with what it holds then."""
        self.setting, self.looks = setting, looks
        self.chance = random.Random(f"gossip {setting.seed}")
        self.now = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.order = count()
        self.key = derive_key("sim", b"sim")
        self.steps = [0] * setting.members
        self.drifts = [self.chance.uniform(-1, 1) * setting.terms.drift for _ in range(setting.members)]
        self.by_host: dict[str, Process] = {}
        self.current: list[Process | None] = [None] * setting.members
        self.doubles: list[Process] = []
        self.calls: list[Call] = []  # in the ledger's hands: a heap by when it lets go of each
        self.cuts: Counter[tuple[str, str]] = Counter()
        self.loss = setting.loss
        self.late, self.copied = 0.02, 0.01
        self.narrow: dict[str, float] = {}  # bytes a second from a host
        self.free_at: dict[str, int] = {}
        self.verdict = Verdict(setting.seed, setting.members)
        self.died: dict[int, int] = {}  # number of a dead member: since when
        self.quiet_at = 0
        self.clean = setting.loss <= 0.1 and not {each.kind for each in setting.troubles} & UNCLEAN
        self.settled = False
        self.paused = {n for each in setting.troubles if each.kind == "pause" for n in each.who}
        self.false_seen: set[tuple[str, int]] = set()

    def host(self, number: int) -> str:
        return f"h{number}"

    def after(self, wait: int, act: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + wait, next(self.order), act))

    def broke(self, rule: str, what: str) -> None:
        if not self.verdict.rule:
            self.verdict.rule, self.verdict.what, self.verdict.at = rule, what, self.now

    # ---- processes

    def start(self, number: int, host: str = "") -> Process:
        setting = self.setting
        process = Process(self, number, host or self.host(number), self.drifts[number], setting.linger)
        self.by_host[process.host] = process
        if not host:
            self.current[number] = process
            self.died.pop(number, None)
        process.arm()
        if setting.load:
            self.after(int(process.chance.uniform(0, 50) * MS), process.work)
        return process

    def begin_life(self, number: int) -> None:
        if self.current[number] is None:
            self.start(number)

    def kill(self, process: Process) -> None:
        if not process.alive:
            return
        process.alive = False
        # The ledger sees the end of the connection, and keeps the call for a while yet.
        for call in process.in_hand:
            call.end = min(call.end, self.now + self.setting.linger)
        heapq.heapify(self.calls)
        process.in_hand = []
        if self.by_host.get(process.host) is process:
            del self.by_host[process.host]
        if self.current[process.number] is process:
            self.current[process.number] = None
            self.died[process.number] = self.now

    def processes(self) -> list[Process]:
        return [each for each in [*self.current, *self.doubles] if each is not None and each.alive]

    # ---- the network

    def send(self, source: Process, to: Address, message: Message, stream: bool) -> None:
        data = encode(message, self.key)
        verdict = self.verdict
        if not stream:
            verdict.packets += 1
            verdict.bytes += len(data)
            verdict.largest = max(verdict.largest, len(data))
            if len(data) > MAX_DATAGRAM_BYTES:
                self.broke("datagram", f"{type(message).__name__} of {len(data)} bytes")
        here, there = source.host, to[0]
        if self.cuts[(here, there)] or (not stream and self.chance.random() < self.loss):
            return
        if stream and self.cuts[(there, here)]:
            return  # a connection needs both ways
        copies = 2 if not stream and self.chance.random() < self.copied else 1
        queued = 0
        if here in self.narrow:
            queued = max(0, self.free_at.get(here, 0) - self.now)
            if queued > QUEUE_MOST and not stream:
                return
            queued += int(len(data) * SECOND / self.narrow[here])
            self.free_at[here] = self.now + queued
        for _ in range(copies):
            wait = int(self.chance.uniform(100, 2_000)) + source.slow + queued
            if not stream and self.chance.random() < self.late:
                wait += int(self.chance.uniform(0, 50) * MS)
            self.after(wait, lambda: self.arrive(here, there, data, stream))

    def arrive(self, here: str, there: str, data: bytes, stream: bool) -> None:
        target = self.by_host.get(there)
        if target is None:
            return

        def back(message: Message) -> None:
            asker = self.by_host.get(here)
            if asker is not None and not self.cuts[(there, here)]:
                answer = encode(message, self.key)
                self.after(1_000 + target.slow, lambda: asker.hear(answer, None))

        target.hear(data, back if stream else None)

    # ---- troubles

    def begin(self, trouble: Trouble) -> None:
        self.verdict.came[trouble.kind] += 1
        heal: Callable[[], None] | None = getattr(self, "_" + trouble.kind.replace("-", "_"))(trouble)
        if heal is not None:
            end = min(self.now + trouble.lasts, self.quiet_at)
            self.after(max(1, end - self.now), heal)

    def chosen(self, trouble: Trouble) -> list[Process]:
        return [each for number in trouble.who if (each := self.current[number]) is not None]

    def _kill(self, trouble: Trouble) -> Callable[[], None]:
        numbers = [each.number for each in self.chosen(trouble)]
        for process in self.chosen(trouble):
            self.kill(process)

        def again() -> None:
            for number in numbers:
                if self.current[number] is None:
                    self.start(number)

        return again

    _all = _kill

    def _replace(self, trouble: Trouble) -> None:
        """One after the other: told to leave, gone when its drain is over, a successor at once."""
        apart = max(1, trouble.lasts // max(1, len(trouble.who)))
        for place, number in enumerate(trouble.who):
            self.after(place * apart, partial(self._leave, number))

    def _leave(self, number: int) -> None:
        process = self.current[number]
        if process is None or process.paused:
            return
        process.do(lambda: process.peer.leave(process.clock()))

        def end() -> None:
            if process.alive:
                self.kill(process)
                self.start(number)

        self.after(int(self.chance.uniform(100, 1_200) * MS), end)

    def _pause(self, trouble: Trouble) -> Callable[[], None]:
        paused = self.chosen(trouble)
        for process in paused:
            process.paused = True

        def go_on() -> None:
            for process in paused:
                process.paused = False
                held, process.held_back = process.held_back, []
                for act in held:
                    process.do(act)

        return go_on

    def _sever(self, ways: Iterable[tuple[str, str]]) -> Callable[[], None]:
        chosen = list(ways)
        self.cuts.update(chosen)
        return lambda: self.cuts.subtract(chosen)

    def _cut(self, trouble: Trouble) -> Callable[[], None]:
        inside, outside = self._sides(trouble)
        return self._sever(
            (a, b) for one in inside for other in outside for a, b in ((one, other), (other, one))
        )

    def _sides(self, trouble: Trouble) -> tuple[list[str], list[str]]:
        hosts = [self.host(number) for number in range(self.setting.members)]
        inside = [self.host(number) for number in trouble.who]
        return inside, [host for host in hosts if host not in inside]

    def _one_way(self, trouble: Trouble) -> Callable[[], None]:
        inside, outside = self._sides(trouble)
        return self._sever((one, other) for one in inside for other in outside)

    def _islands(self, trouble: Trouble) -> Callable[[], None]:
        ways = [
            (self.host(a), self.host(b))
            for a in range(self.setting.members)
            for b in range(self.setting.members)
            if a % 3 != b % 3
        ]
        return self._sever(ways)

    def _flap(self, trouble: Trouble) -> None:
        period = 300 * MS
        for start in range(0, trouble.lasts, 2 * period):

            def down() -> None:
                heal = self._cut(trouble)
                self.after(period, heal)

            self.after(start + 1, down)

    def _loss(self, trouble: Trouble) -> Callable[[], None]:
        self.loss = max(self.loss, trouble.amount)

        def heal() -> None:
            self.loss = self.setting.loss

        return heal

    def _share(self, name: str, trouble: Trouble) -> Callable[[], None]:
        before = getattr(self, name)
        setattr(self, name, trouble.amount)
        return lambda: setattr(self, name, before)

    def _reorder(self, trouble: Trouble) -> Callable[[], None]:
        return self._share("late", trouble)

    def _copies(self, trouble: Trouble) -> Callable[[], None]:
        return self._share("copied", trouble)

    def _narrow(self, trouble: Trouble) -> Callable[[], None]:
        hosts = [self.host(number) for number in trouble.who]
        for host in hosts:
            self.narrow[host] = trouble.amount

        def widen() -> None:
            for host in hosts:
                self.narrow.pop(host, None)

        return widen

    def _slow(self, trouble: Trouble) -> Callable[[], None]:
        slow = self.chosen(trouble)
        for process in slow:
            process.slow = int(trouble.amount * SECOND)

        def heal() -> None:
            for process in slow:
                process.slow = 0

        return heal

    def _step(self, trouble: Trouble) -> Callable[[], None]:
        """Of Unix time, which only a start reads: each comes with a restart."""
        for number in trouble.who:
            self.steps[number] += int(trouble.amount * SECOND)
        return self._kill(trouble)

    def _double(self, trouble: Trouble) -> Callable[[], None]:
        started = [self.start(number, f"x{number}") for number in trouble.who]
        self.doubles += started

        def end() -> None:
            for process in started:
                self.kill(process)

        return end

    def _garble(self, trouble: Trouble) -> None:
        """Datagrams that are noise, cut short, or under another key."""
        other = derive_key("another", b"sim")
        for process in self.chosen(trouble):
            for _ in range(int(trouble.amount)):
                data: bytes = self.chance.choice(
                    (
                        self.chance.randbytes(self.chance.randrange(0, 200)),
                        encode(self._ping_of(process), other),
                        encode(self._ping_of(process), self.key)[:-3],
                    )
                )
                self.after(int(self.chance.uniform(0, trouble.lasts)) + 1, partial(process.hear, data, None))

    @staticmethod
    def _ping_of(process: Process) -> Ping:
        return Ping(1, process.peer.own, process.name, 0)

    # ---- judging

    def called(self, end: int) -> Call:
        """The ledger's own count, at the beginning of each call."""
        call = Call(end)
        while self.calls and self.calls[0].end <= self.now:
            heapq.heappop(self.calls)
        heapq.heappush(self.calls, call)
        total = len(self.calls)
        self.verdict.most_in_hand = max(self.verdict.most_in_hand, total)
        if total > self.setting.terms.limit:
            self.broke("limit", f"{total} calls in hand, the limit is {self.setting.terms.limit:g}")
        return call

    def look(self) -> None:
        """Each so often: deaths that are known by now, deaths that are none, tables, the limit in use."""
        there = self.processes()
        self.judge_potential(there)
        self._look_at_deaths(there)
        if self.clean:
            self._look_for_false_deaths(there)
        if self.quiet_at and self.now > self.quiet_at:
            self._look_at_healing(there)
        if self.looks is not None:
            self.looks(self)
        self.after(100 * MS, self.look)

    def _look_at_deaths(self, there: list[Process]) -> None:
        """Which of the dead all the others hold dead by now."""
        now = self.now
        for number, since in list(self.died.items()):
            name = f"n{number}"
            holds = [
                (claim := each.peer.members.get(name)) is None or claim.state >= State.DEAD
                for each in there
                if not each.paused
            ]
            if holds and all(holds):
                self.verdict.detected.append(now - since)
                del self.died[number]
            elif self.clean and not self.paused and now - since > self.setting.detect:
                told = f"{name} is dead for {(now - since) / SECOND:.1f} s and not held so by all"
                self.broke("detect", told)

    def _look_for_false_deaths(self, there: list[Process]) -> None:
        """Living members that somebody holds dead, each life counted once."""
        for watcher in there:
            for claim in watcher.peer.members.others(State.DEAD):
                living = self.current[int(claim.name[1:])]
                if living is None or living.peer.own.life != claim.life or living.number in self.paused:
                    continue
                self.false_seen.add((claim.name, living.peer.own.life.nonce))
        self.verdict.false_deaths = len(self.false_seen)

    def _look_at_healing(self, there: list[Process]) -> None:
        """After the last trouble: when all hold the same, and when the limit is in use again."""
        now, verdict, terms = self.now, self.verdict, self.setting.terms
        # Who is there and in which life; a suspicion on its way to being refuted is no disagreement.
        views = {
            frozenset((claim.name, claim.life.nonce) for claim in each.peer.members.present())
            for each in there
        }
        if len(views) > 1:
            verdict.agreed_after = -1
        elif verdict.agreed_after < 0:
            verdict.agreed_after = now - self.quiet_at
        dealt = sum(each.peer.share(each.clock()) or 0 for each in there)
        # A floor stands for each process that there may be: those that are not there leave theirs unused.
        can = terms.surplus + terms.floor * len(there)
        if verdict.used_after < 0 and dealt >= 0.95 * can:
            verdict.used_after = now - self.quiet_at
        if dealt > terms.limit:
            self.broke("limit", f"shares of {dealt:g} dealt out, the limit is {terms.limit:g}")
        times = verdict.agreed_after, verdict.used_after
        self.settled = min(times) >= 0 and now - self.quiet_at > max(times) + SETTLED

    def judge_potential(self, there: list[Process]) -> None:
        """What the ledger could have in its hands now, did each begin what it may: nobody's calls change what
        the others may, so this too must keep to the limit. It is come near far more often than by the calls
        that there are."""
        could, of_living = 0, 0
        for each in there:
            mine = sum(call.end > self.now for call in each.in_hand)
            of_living += mine
            could += mine if each.paused else max(mine, each.peer.share(each.clock()) or 0)
        left_behind = sum(call.end > self.now for call in self.calls) - of_living
        limit = self.setting.terms.limit
        if could + left_behind > limit:
            told = f"{could} calls may be in hand, {left_behind} are left behind, the limit is {limit}"
            self.broke("limit", told)

    def judge_end(self) -> None:
        verdict, there = self.verdict, self.processes()
        if verdict.agreed_after < 0:
            self.broke("agree", "tables still differ at the end")
        for watcher in there:
            for living in there:
                claim = watcher.peer.members.get(living.name)
                own = living.peer.own
                if living in self.doubles or own.state is State.LEFT:
                    continue
                if claim is None or claim.life != own.life or claim.state >= State.DEAD:
                    held = "unknown" if claim is None else f"{claim.state.name} in life {claim.life.number}"
                    self.broke(
                        "older-life" if claim is not None and claim.life != own.life else "known",
                        f"{watcher.name} holds {living.name} {held}",
                    )
        quorum = self.setting.terms.quorum
        voters = sum(self.setting.terms.votes(each.name) for each in there)
        if voters >= quorum and verdict.used_after < 0:
            self.broke("in-use", "less than 95% of what can be was dealt out by the end")

    # ---- the run

    def run(self) -> Verdict:
        setting = self.setting
        self.quiet_at = setting.quiet
        for number in range(setting.members):
            self.after(int(self.chance.uniform(0, 300) * MS), partial(self.begin_life, number))
        for trouble in setting.troubles:
            self.after(trouble.at, partial(self.begin, trouble))
        if setting.watched:
            self.after(100 * MS, self.look)
        while self.heap and self.heap[0][0] <= setting.end and not (self.verdict.rule or self.settled):
            self.now, _, act = heapq.heappop(self.heap)
            act()
        self.verdict.seconds = self.now / SECOND
        if not self.verdict.rule:
            self.judge_end()
        return self.verdict


# ---- drawing

QUICK = Intervals(
    ProbeSettings(interval=300 * MS, timeout=100 * MS, stall_threshold=250 * MS),
    sync=3_000 * MS,
    min_sync_interval=400 * MS,
    reconnect=600 * MS,
    retention=600_000 * MS,
)


BEGIN = 6 * SECOND  # of the first trouble, after a start in peace
LASTS_MOST = {"kill": 18, "step": 18, "cut": 16, "islands": 16}  # seconds
LASTS_ELSE = 8  # seconds
SHARES = {  # of the members, least and most that a trouble meets
    "kill": (0.05, 0.4),
    "cut": (0.1, 0.6),
    "one-way": (0.05, 0.5),
    "replace": (0.3, 0.7),
    "pause": (0.05, 0.4),
    "all": (1, 1),
    "step": (0.05, 0.3),
}
SHARE_ELSE = (0.05, 0.3)


def draw(
    seed: int,
    least: int = 3,
    most: int = 24,
    kinds: tuple[str, ...] = KINDS,
    span: int = 20 * SECOND,
    rest: int = 25 * SECOND,
) -> Setting:
    """A setting of a seed: troubles within `span` after a start in peace, then `rest` in which all must
    heal. Both in microseconds."""
    chance = random.Random(f"setting {seed}")
    # Even in the logarithm: small fleets as often as large ones.
    members = min(most, int(math.exp(chance.uniform(math.log(least), math.log(most + 1)))))
    terms = _draw_terms(chance, members)
    troubles = _draw_troubles(chance, members, kinds, span)
    quiet = BEGIN + span
    return Setting(
        seed,
        members,
        terms,
        QUICK,
        chance.choice((0.0, 0.02, 0.1)),
        quiet,
        quiet + rest,
        tuple(sorted(troubles, key=lambda each: each.at)),
    )


def _draw_terms(chance: random.Random, members: int) -> Terms:
    return Terms(
        limit=members * chance.choice((2, 4, 8)),
        capacity=members,
        doubles=1,  # one process more may stand under each of as many names at a time
        floor_share=chance.choice((0.5, 0.7)),
        lease=1_500 * MS,
        longest=800 * MS,
        settle=200 * MS,
        voters=tuple(f"n{n}" for n in range(min(members, 5))) if chance.random() < 0.4 else (),
    )


def _draw_troubles(chance: random.Random, members: int, kinds: tuple[str, ...], span: int) -> list[Trouble]:
    """One to five; a second process under a name comes once at the most."""
    troubles: list[Trouble] = []
    doubled = False
    for _ in range(chance.randint(1, 5)):
        kind = chance.choice(kinds)
        if kind == "double":
            if doubled:
                continue
            doubled = True
        troubles += _draw_trouble(chance, kind, members, span)
    return troubles


def _draw_trouble(chance: random.Random, kind: str, members: int, span: int) -> list[Trouble]:
    into = int(chance.uniform(0, 0.7) * span)
    at = BEGIN + into
    longest = LASTS_MOST.get(kind, LASTS_ELSE) * SECOND
    lasts = int(chance.uniform(0.1, 1.0) * min(span - into, longest))
    number = _draw_number(chance, kind, members)
    who = tuple(sorted(chance.sample(range(members), number)))
    amount = _draw_amount(chance, kind)
    if kind == "amnesia":
        others = tuple(each for each in range(members) if each not in who)
        return [
            Trouble("cut", at, max(lasts, 4 * SECOND), others),
            Trouble("kill", at + 20 * MS, int(chance.uniform(30, 300) * MS), who),
        ]
    return [Trouble(kind, at, lasts, who, amount)]


def _draw_number(chance: random.Random, kind: str, members: int) -> int:
    """How many members a trouble meets."""
    share = SHARES.get(kind, SHARE_ELSE)
    number = max(1, min(members, round(chance.uniform(*share) * members)))
    if kind in ("double", "flap"):
        return 1
    if kind == "amnesia":  # more than half forget, the others still hold what they were dealt
        return members // 2 + 1
    if kind == "cut" and chance.random() < 0.5:
        return max(1, members // 2)
    return number


def _draw_amount(chance: random.Random, kind: str) -> float:
    """By kind; all are drawn, so that one kind in place of another changes nothing that comes after."""
    return {
        "loss": chance.uniform(0.1, 0.4),
        "slow": chance.uniform(0.05, 0.6),
        "garble": 200.0,
        "narrow": chance.uniform(500, 20_000),
        "reorder": chance.uniform(0.1, 0.5),
        "copies": chance.uniform(0.1, 0.5),
        "step": chance.choice((-60.0, 60.0, -3600.0)),
    }.get(kind, 0.0)


def play(setting: Setting) -> Verdict:
    return Fleet(setting).run()


def run_seed(scenario: str, seed: int) -> Verdict:
    """As `explore.run_seed`: a death that was none counts as a rule broken."""
    verdict = play(draw(seed, most=40))
    if not verdict.rule and verdict.false_deaths:
        verdict.rule, verdict.what = "false-death", f"{verdict.false_deaths} live members were held dead"
    return verdict
