"""What the clients of a soak write down, and what their record alone comes to.

The rules are the protocol's, with its slack of 50 ms: each request is answered once and by its due time,
none is lost on a connection that was accepted. It must never ask an instance, nor read its log.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

SLACK_S = 0.05  # seconds, of every time limit on sockets
MAX_FAULTS_PER_RULE = 12  # faults of one rule that are told whole
TOLERATED_LATE_SHARE = 0.003  # of the requests, from which answers that come late break the rule
SHORT_WAIT_S = 0.02  # seconds: a request with no more left may be dropped without a word


@dataclass(slots=True, eq=False)
class Request:
    """One request, as its client knows it. Times are Unix seconds."""

    ref: str
    instance: int
    entry: str
    key: str
    sent: float
    wait: float  # seconds that the client waits
    crossed: bool = False

    @property
    def due(self) -> float:
        return self.sent + self.wait


@dataclass(slots=True)
class Fault:
    """A rule that was broken. `soft`: a matter of time alone, which a machine too busy may have caused."""

    rule: str
    what: str
    soft: bool = False


@dataclass(slots=True)
class Record:
    """All clients' record of one soak."""

    counts: Counter[str] = field(default_factory=Counter)
    faults: list[Fault] = field(default_factory=list)
    notices: dict[int, float] = field(default_factory=dict)  # by instance, when its notice was sent
    graces: dict[int, float] = field(default_factory=dict)
    runs: dict[str, Request] = field(default_factory=dict)  # by ref: what may run
    begun_by_key: Counter[tuple[int, int, str]] = field(default_factory=Counter)  # instance, life, key

    def add_sent(self, request: Request) -> None:
        """A request was written whole."""
        self.counts["requests"] += 1
        self.runs[request.ref] = request
        if request.sent >= self.notices.get(request.instance, float("inf")):
            self.counts["requests after the notice"] += 1

    def add_answer(self, request: Request, outcome: str, now: float) -> None:
        """`how`: served, refused or failed."""
        self.counts[outcome] += 1
        if request.sent >= self.notices.get(request.instance, float("inf")):
            self.counts[f"{outcome} after the notice"] += 1
        if now > request.due + SLACK_S:
            self._add_late(request, f"{outcome} {now - request.due:.3f} s after its due time")

    def add_timeout(self, request: Request) -> None:
        """Its time and the slack are over."""
        self._add_late(request, "no answer")

    def _add_late(self, request: Request, what: str) -> None:
        if request.wait <= SHORT_WAIT_S:
            self.counts["late with hardly any time"] += 1
        else:
            self.add_fault("late", f"{what}: {request}", soft=True)

    def violations(self) -> list[Fault]:
        """What breaks the rules; a few late answers among many do not."""
        few_late = self.counts["fault: late"] < TOLERATED_LATE_SHARE * self.counts["requests"]
        return [each for each in self.faults if each.rule != "late" or not few_late]

    def add_duplicate_answer(self, number: object) -> None:
        """An answer under an id that is open no more."""
        self.add_fault("twice", f"a second answer under id {number}")

    def add_connection_end(self, request: Request, now: float, in_order: bool, farewell: bool) -> bool:
        """The connection ended without its answer. True where the request only crossed the end, and is to be
        sent once more."""
        if now - request.sent < SLACK_S and (in_order or farewell) and not request.crossed:
            self.counts["crossed"] += 1
            return True
        after = request.sent - self.notices.get(request.instance, now)
        end = "an end in order" if in_order else "a reset"
        self.add_fault(
            "lost",
            f"{end} {now - request.sent:.3f} s after it was sent, {after:+.3f} s from the notice: {request}",
        )
        return False

    def add_run(self, instance: int, life: int, ref: str) -> None:
        """The kernel began a run."""
        request = self.runs.get(ref)
        if request is None:
            self.add_fault("unknown run", f"instance {instance} ran {ref}, which nobody asked for")
            return
        notice = self.notices.get(instance)
        if notice is not None and life == 0 and request.sent > notice + self.graces[instance] + SLACK_S:
            self.add_fault(
                "after the grace", f"run, {request.sent - notice:.3f} s after the notice: {request}"
            )
        if request.key:
            self.begun_by_key[instance, life, request.key] += 1
            if self.begun_by_key[instance, life, request.key] > 1:
                self.add_fault("key twice", f"a second run of one key: {request}")

    def add_fault(self, rule: str, what: str, soft: bool = False) -> None:
        """Counts each fault, and keeps the first ones whole."""
        self.counts[f"fault: {rule}"] += 1
        if sum(each.rule == rule for each in self.faults) < MAX_FAULTS_PER_RULE:
            self.faults.append(Fault(rule, what, soft))
