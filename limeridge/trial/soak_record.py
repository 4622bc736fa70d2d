"""The record that the clients of a soak keep, and the rule violations that follow from it.

The rules are the protocol's, with its tolerance of 50 ms: each request is answered exactly once and by its
due time, and none is lost on an accepted connection. It must not query an instance or read its log.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

SLACK_S = 0.05  # tolerance of every time limit on sockets
MAX_FAULTS_PER_RULE = 12  # faults kept with their details; further ones are only counted
TOLERATED_LATE_SHARE = 0.003  # of the requests; below it, late answers are no violation
SHORT_WAIT_S = 0.02  # a request with no more time than this may be dropped without an answer


@dataclass(slots=True, eq=False)
class Request:
    """One request from the client's view. Times are Unix seconds."""

    ref: str
    instance: int
    entry: str
    key: str
    sent: float
    wait: float  # for an answer, in seconds
    crossed: bool = False  # resent after it crossed the end of its connection

    @property
    def due(self) -> float:
        return self.sent + self.wait


@dataclass(slots=True)
class Fault:
    """A rule violation. `soft`: concerns timing only, so an overloaded machine may have caused it."""

    rule: str
    what: str
    soft: bool = False


@dataclass(slots=True)
class Record:
    """The record of one soak, shared by all its clients."""

    counts: Counter[str] = field(default_factory=Counter)
    faults: list[Fault] = field(default_factory=list)
    notices: dict[int, float] = field(default_factory=dict)  # Unix time of the notice to leave, by instance
    graces: dict[int, float] = field(default_factory=dict)  # seconds, by instance
    runs: dict[str, Request] = field(default_factory=dict)  # requests that may run, by ref
    begun_by_key: Counter[tuple[int, int, str]] = field(default_factory=Counter)  # instance, life, key

    def add_sent(self, request: Request) -> None:
        """Adds a request that was written completely."""
        self.counts["requests"] += 1
        self.runs[request.ref] = request
        if request.sent >= self.notices.get(request.instance, float("inf")):
            self.counts["requests after the notice"] += 1

    def add_answer(self, request: Request, outcome: str, now: float) -> None:
        """Adds an answer. `outcome` is served, refused or failed."""
        self.counts[outcome] += 1
        if request.sent >= self.notices.get(request.instance, float("inf")):
            self.counts[f"{outcome} after the notice"] += 1
        if now > request.due + SLACK_S:
            self._add_late(request, f"{outcome} {now - request.due:.3f} s after its due time")

    def add_timeout(self, request: Request) -> None:
        """Adds a request that got no answer by its due time and the tolerance."""
        self._add_late(request, "no answer")

    def _add_late(self, request: Request, what: str) -> None:
        if request.wait <= SHORT_WAIT_S:
            self.counts["late with hardly any time"] += 1
        else:
            self.add_fault("late", f"{what}: {request}", soft=True)

    def violations(self) -> list[Fault]:
        """The rule violations, without late answers if there are few of them."""
        few_late = self.counts["fault: late"] < TOLERATED_LATE_SHARE * self.counts["requests"]
        return [each for each in self.faults if each.rule != "late" or not few_late]

    def add_duplicate_answer(self, number: object) -> None:
        """Adds an answer whose id is no longer open."""
        self.add_fault("twice", f"a second answer under id {number}")

    def add_connection_end(self, request: Request, now: float, in_order: bool, farewell: bool) -> bool:
        """Adds the end of a connection with the request unanswered. Returns True if the request only crossed
        the end and must be resent."""
        if now - request.sent < SLACK_S and (in_order or farewell) and not request.crossed:
            self.counts["crossed"] += 1
            return True
        after = request.sent - self.notices.get(request.instance, now)
        end = "an orderly close" if in_order else "a reset"
        self.add_fault(
            "lost",
            f"{end} {now - request.sent:.3f} s after it was sent, {after:+.3f} s from the notice: {request}",
        )
        return False

    def add_run(self, instance: int, life: int, ref: str) -> None:
        """Adds the start of a run in the kernel."""
        request = self.runs.get(ref)
        if request is None:
            self.add_fault("unknown run", f"instance {instance} ran {ref}, which no client sent")
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
        """Counts a fault; the first ones of each rule are kept with their details."""
        self.counts[f"fault: {rule}"] += 1
        if sum(each.rule == rule for each in self.faults) < MAX_FAULTS_PER_RULE:
            self.faults.append(Fault(rule, what, soft))
