"""The types that the decision module and its hosts share; no decision and no tuned value stands here.

A host makes one `Brain` (see `limeridge.brain`) for each instance, tells it what happened through the
brain's input methods, and then pulls decisions with `decide()` until that returns None.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Verb(Enum):
    """What a decision asks the host to do."""

    RUN = "run"  # start a held txn
    DECLINE = "decline"  # final answer: turned away; `us` = come back after, `flag` = not elsewhere either
    VOID = "void"  # final answer: failed
    HALT = "halt"  # stop running work
    CALL = "call"  # make the call below; `us` = its time-out
    SKIP = "skip"  # leave the call out
    MEMO = "memo"  # remember a txn so that repeats are known; `us` = for how long
    FORGET = "forget"  # drop what MEMO kept
    ATTACH = "attach"  # settle a repeat with the result of the txn it repeats
    FITNESS = "fitness"  # answer to health checks from now on: `flag` = good; always answered from store
    PUBLISH = "publish"  # `level` = the free value that callers are told
    IDLE_LIMIT = "idle_limit"  # close connections silent for `us`
    WAKE = "wake"  # call `woke` at the time `us`
    NOTE = "note"  # `text` for the operators


class Outcome(IntEnum):
    """How a run or a call below ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_STARTED = 7


class Stage(IntEnum):
    """Where a txn is on this instance."""

    HELD = 0
    JOINED = 1  # attached to the txn it repeats
    RUNNING = 2  # on the cores, disk waits included
    PARKED = 3  # running, at a call that was not made yet
    CALLING = 4  # running, its call is out
    OVER = 5


@dataclass(slots=True, frozen=True)
class ClassTerms:
    """What the settings of one revision say of a class; times are microseconds."""

    sla_time: int
    expiry: int
    time_limit: int  # the paper's, for an approach's cost
    target: int  # of the wait in the hold
    interval: int
    window: int  # how long a key is remembered
    value: float
    late_value: float
    skip_value: float  # share of the value without the call; 0: never left out
    may_call: bool  # whether its runs may call
    can_halt: bool  # whether a run can be stopped for nothing lost


@dataclass(slots=True, eq=False)
class Txn:
    """One txn that this instance has read. `ref` is the host's own mark; the brain only hands it back."""

    ref: int
    product: int
    customer: int
    caller: int
    size_kb: float
    arrived_at: int  # at the machine
    read_at: int  # into the hold
    due: int
    sla_due: int
    terms: ClassTerms  # those under which it arrived, up to its answer
    resent: bool = False
    prior: Txn | None = None
    repeat: bool = False
    effort: int = 0  # work expected, as time on a standard core; 0 where it is not told
    replaced_by: Txn | None = None  # the repeat that took the place of this one, which never ran
    stage: Stage = Stage.HELD
    answered: bool = False
    ran: bool = False
    settled: bool = False
    over_share: bool = False
    kept: bool = False
    remembered_until: int = 0  # a repeat may still point here until then
    started_at: int = 0
    approach: int = 0
    skipped_calls: int = 0
    calls_made: int = 0
    stage_since: int = 0  # in this stage
    core_time: int = 0  # on the cores in earlier stretches, disk waits included
    call_failure: Outcome | None = None
    may_retry_call: bool = True


@dataclass(slots=True)
class Decision:
    """One thing that the host is to do now, on the objects that the brain handed out or was given."""

    verb: Verb
    txn: Txn | None = None
    us: int = 0
    level: float = 0.0
    flag: bool = False
    text: str = field(default="")
