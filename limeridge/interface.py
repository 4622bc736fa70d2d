"""The types that the decision module and its hosts share; no decisions are made here.

A host creates one `Brain` (see `limeridge.brain`) for each instance, reports events through its input
methods, and then calls `decide()` until that returns None.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Verb(Enum):
    """What a decision asks the host to do."""

    RUN = "run"  # start a held txn
    DECLINE = "decline"  # final answer: overloaded; `us` = retry after, `flag` = do not try elsewhere either
    VOID = "void"  # final answer: failed
    HALT = "halt"  # stop running work
    CALL = "call"  # make the ledger call; `us` = its time-out
    SKIP = "skip"  # continue the run without the ledger call
    MEMO = "memo"  # remember a txn so that its repeats are recognised; `us` = for how long
    FORGET = "forget"  # drop what MEMO stored
    ATTACH = "attach"  # settle a repeat with the result of the txn that it repeats
    FITNESS = "fitness"  # health to report from now on: `flag` = healthy; checks are answered from this state
    PUBLISH = "publish"  # `level` = the load value that callers are given
    IDLE_LIMIT = "idle_limit"  # close connections that have been idle for `us`
    WAKE = "wake"  # call `on_wake` at the time `us`
    NOTE = "note"  # `text` for the operators


class Outcome(IntEnum):
    """How a run or a ledger call ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_STARTED = 7


class Stage(IntEnum):
    """The stage of a txn on this instance."""

    HELD = 0
    JOINED = 1  # attached to the txn that it repeats
    RUNNING = 2  # on the cores, including disk waits
    PARKED = 3  # running, waits for a call that has not been made yet
    CALLING = 4  # running, its call is in flight
    OVER = 5


@dataclass(slots=True, frozen=True)
class ClassTerms:
    """The settings of one product in one revision; times are microseconds."""

    sla_time: int
    expiry: int
    time_limit: int  # the paper's, for the cost of an approach
    target: int  # acceptable wait in the hold
    interval: int
    window: int  # how long a key is remembered
    value: float
    late_value: float
    skip_value: float  # share of the value that is left without the call; 0: the call is never skipped
    may_call: bool  # whether runs may need a ledger call
    can_halt: bool  # whether a run can be stopped without loss


@dataclass(slots=True, eq=False)
class Txn:
    """One txn that this instance has read. `ref` belongs to the host; the brain only passes it back. Times
    are microseconds."""

    ref: int
    product: int
    customer: int
    caller: int
    size_kb: float
    arrived_at: int  # at the machine
    read_at: int  # into the hold
    due: int
    sla_due: int
    terms: ClassTerms  # those under which it arrived, valid until it is answered
    resent: bool = False
    prior: Txn | None = None
    repeat: bool = False
    effort: int = 0  # expected work, as time on a standard core; 0 if unknown
    replaced_by: Txn | None = None  # the repeat that replaced this txn, which never ran
    stage: Stage = Stage.HELD
    answered: bool = False
    ran: bool = False
    settled: bool = False
    over_share: bool = False
    kept: bool = False  # remembered under its key
    remembered_until: int = 0  # until then a repeat may still refer to this txn
    started_at: int = 0
    approach: int = 0
    skipped_calls: int = 0
    calls_made: int = 0
    stage_since: int = 0  # time of the last change of stage
    core_time: int = 0  # time on the cores before the current stage, including disk waits
    call_failure: Outcome | None = None
    may_retry_call: bool = True


@dataclass(slots=True)
class Decision:
    """One action for the host, on objects that the brain returned or was given."""

    verb: Verb
    txn: Txn | None = None
    us: int = 0
    level: float = 0.0
    flag: bool = False
    text: str = field(default="")
