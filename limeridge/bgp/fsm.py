"""The session's state machine of RFC 4271 section 8.2.2, as one table: state and event to actions and next
state.

It owns the table and nothing else: no timer runs here, no clock is read, no byte is written. Every pair of
state and event stands in it, the unexpected ones too, and a test shows that it is whole.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum


class State(Enum):
    """RFC 4271 section 8.2.2."""

    IDLE = "Idle"
    CONNECT = "Connect"
    ACTIVE = "Active"
    OPEN_SENT = "OpenSent"
    OPEN_CONFIRM = "OpenConfirm"
    ESTABLISHED = "Established"


class Event(Enum):
    """RFC 4271 section 8.1, with its numbers."""

    MANUAL_START = 1
    MANUAL_STOP = 2
    AUTOMATIC_START = 3
    MANUAL_START_PASSIVE = 4
    AUTOMATIC_START_PASSIVE = 5
    AUTOMATIC_START_DAMPED = 6
    AUTOMATIC_START_DAMPED_PASSIVE = 7
    AUTOMATIC_STOP = 8
    CONNECT_RETRY_EXPIRES = 9
    HOLD_EXPIRES = 10
    KEEPALIVE_EXPIRES = 11
    DELAY_OPEN_EXPIRES = 12
    IDLE_HOLD_EXPIRES = 13
    TCP_VALID = 14
    TCP_INVALID = 15
    TCP_ACKED = 16
    TCP_CONFIRMED = 17
    TCP_FAILS = 18
    OPEN = 19
    OPEN_IN_DELAY = 20
    HEADER_ERROR = 21
    OPEN_ERROR = 22
    COLLISION_DUMP = 23
    NOTIFICATION_VERSION = 24
    NOTIFICATION = 25
    KEEPALIVE = 26
    UPDATE = 27
    UPDATE_ERROR = 28


class Action(Enum):
    """What the session is to do, in the order given."""

    CONNECT_TCP = "open a connection"
    DROP_TCP = "drop the connection"
    DROP_QUIETLY = "drop the new connection alone"  # an unexpected one: it was never this session's
    START_CONNECT_RETRY = "start the ConnectRetryTimer"
    STOP_CONNECT_RETRY = "stop the ConnectRetryTimer and set it to 0"
    START_DELAY_OPEN = "start the DelayOpenTimer"
    STOP_DELAY_OPEN = "stop the DelayOpenTimer and set it to 0"
    START_IDLE_HOLD = "start the IdleHoldTimer"
    STOP_IDLE_HOLD = "stop the IdleHoldTimer"
    START_HOLD_LARGE = "start the HoldTimer with its large value"
    START_HOLD = "start the HoldTimer with the negotiated value"
    START_KEEPALIVE = "start the KeepaliveTimer"
    STOP_TIMERS = "release all resources"  # Hold and Keepalive
    SEND_OPEN = "send an OPEN"
    SEND_KEEPALIVE = "send a KEEPALIVE"
    SEND_CEASE = "send a NOTIFICATION: Cease"
    SEND_HOLD_EXPIRED = "send a NOTIFICATION: Hold Timer Expired"
    SEND_FSM_ERROR = "send a NOTIFICATION: Finite State Machine Error"
    SEND_ERROR = "send the NOTIFICATION of the error that was met"
    COUNT_RETRY = "count the ConnectRetryCounter up"
    ZERO_RETRIES = "set the ConnectRetryCounter to 0"
    DAMP = "count an oscillation"
    TAKE_OPEN = "take the parameters of the peer's OPEN"
    UP = "the session stands"
    DOWN = "the session is gone, and all that was learned by it"
    TAKE_UPDATE = "take the UPDATE"


Row = tuple[tuple[Action, ...], State]
A, E, S = Action, Event, State
STARTS = (
    E.MANUAL_START,
    E.AUTOMATIC_START,
    E.MANUAL_START_PASSIVE,
    E.AUTOMATIC_START_PASSIVE,
    E.AUTOMATIC_START_DAMPED,
    E.AUTOMATIC_START_DAMPED_PASSIVE,
)
ACTIVE_STARTS = (E.MANUAL_START, E.AUTOMATIC_START, E.AUTOMATIC_START_DAMPED)
PASSIVE_STARTS = (E.MANUAL_START_PASSIVE, E.AUTOMATIC_START_PASSIVE, E.AUTOMATIC_START_DAMPED_PASSIVE)
MESSAGES = (E.OPEN, E.OPEN_IN_DELAY, E.KEEPALIVE, E.UPDATE)

# What ends an attempt, section 8.2.2: the connection goes, the failure counts and damps.
FAILED = (A.STOP_CONNECT_RETRY, A.STOP_DELAY_OPEN, A.STOP_TIMERS, A.DROP_TCP, A.COUNT_RETRY, A.DAMP)
STOPPED = (
    A.STOP_CONNECT_RETRY,
    A.STOP_DELAY_OPEN,
    A.STOP_TIMERS,
    A.DROP_TCP,
    A.ZERO_RETRIES,
    A.STOP_IDLE_HOLD,
)


def _idle() -> Iterator[tuple[Event, Row]]:
    """Refuses all connections; only a start leads out of it."""
    for event in Event:
        yield event, ((), S.IDLE)
    for event in ACTIVE_STARTS:
        yield event, ((A.ZERO_RETRIES, A.START_CONNECT_RETRY, A.CONNECT_TCP), S.CONNECT)
    for event in PASSIVE_STARTS:
        yield event, ((A.ZERO_RETRIES, A.START_CONNECT_RETRY), S.ACTIVE)
    yield E.MANUAL_STOP, ((A.STOP_IDLE_HOLD,), S.IDLE)
    yield E.AUTOMATIC_STOP, ((A.STOP_IDLE_HOLD,), S.IDLE)
    # With damping, the timer's end starts it again; the counter of retries is not set back by that.
    yield E.IDLE_HOLD_EXPIRES, ((A.START_CONNECT_RETRY, A.CONNECT_TCP), S.CONNECT)
    for event in (E.TCP_ACKED, E.TCP_CONFIRMED):
        yield event, ((A.DROP_QUIETLY,), S.IDLE)


def _waiting(state: State) -> Iterator[tuple[Event, Row]]:
    """Connect and Active differ in who opens the connection."""
    for event in Event:
        yield event, ((*FAILED, A.START_IDLE_HOLD), S.IDLE)
    for event in STARTS:
        yield event, ((), state)
    yield E.MANUAL_STOP, (STOPPED, S.IDLE)
    yield E.AUTOMATIC_STOP, (STOPPED, S.IDLE)
    yield (
        E.CONNECT_RETRY_EXPIRES,
        ((A.DROP_TCP, A.START_CONNECT_RETRY, A.STOP_DELAY_OPEN, A.CONNECT_TCP), S.CONNECT),
    )
    yield (
        E.DELAY_OPEN_EXPIRES,
        ((A.STOP_CONNECT_RETRY, A.STOP_DELAY_OPEN, A.SEND_OPEN, A.START_HOLD_LARGE), S.OPEN_SENT),
    )
    yield E.TCP_VALID, ((), state)
    yield E.TCP_INVALID, ((A.DROP_QUIETLY,), state)
    # DelayOpen of zero makes its timer expire at once: one path, whatever the setting.
    for event in (E.TCP_ACKED, E.TCP_CONFIRMED):
        yield event, ((A.STOP_CONNECT_RETRY, A.START_DELAY_OPEN), state)
    if state is S.CONNECT:
        yield E.TCP_FAILS, ((A.START_CONNECT_RETRY, A.STOP_DELAY_OPEN), S.ACTIVE)
    else:
        # The RFC restarts the ConnectRetryTimer here, which Idle then passes over: it is stopped.
        yield E.TCP_FAILS, ((*FAILED, A.START_IDLE_HOLD), S.IDLE)
    yield (
        E.OPEN_IN_DELAY,
        (
            (
                A.STOP_CONNECT_RETRY,
                A.STOP_DELAY_OPEN,
                A.TAKE_OPEN,
                A.SEND_OPEN,
                A.SEND_KEEPALIVE,
                A.START_KEEPALIVE,
                A.START_HOLD,
            ),
            S.OPEN_CONFIRM,
        ),
    )
    for event in (E.HEADER_ERROR, E.OPEN_ERROR):
        yield event, ((A.SEND_ERROR, *FAILED, A.START_IDLE_HOLD), S.IDLE)
    # A version error while the OPEN is delayed tells of no oscillation.
    yield (
        E.NOTIFICATION_VERSION,
        ((A.STOP_CONNECT_RETRY, A.STOP_DELAY_OPEN, A.STOP_TIMERS, A.DROP_TCP, A.START_IDLE_HOLD), S.IDLE),
    )


def _talking(state: State) -> Iterator[tuple[Event, Row]]:
    """OpenSent, OpenConfirm and Established: there is a connection, and what ends it is told to the peer."""
    yield from _ending(state)
    # A second connection is a matter of collision detection (section 6.8), which tracks it apart.
    for event in (E.TCP_VALID, E.TCP_ACKED, E.TCP_CONFIRMED):
        yield event, ((), state)
    yield E.TCP_INVALID, ((A.DROP_QUIETLY,), state)
    if state is S.OPEN_SENT:
        yield from _open_sent()
    if state in (S.OPEN_CONFIRM, S.ESTABLISHED):
        yield E.KEEPALIVE_EXPIRES, ((A.SEND_KEEPALIVE, A.START_KEEPALIVE), state)
    if state is S.OPEN_CONFIRM:
        yield E.KEEPALIVE, ((A.START_HOLD, A.UP), S.ESTABLISHED)
    if state is S.ESTABLISHED:
        yield E.KEEPALIVE, ((A.START_HOLD,), state)
        yield E.UPDATE, ((A.START_HOLD, A.TAKE_UPDATE), state)
        yield E.UPDATE_ERROR, ((A.SEND_ERROR, A.DOWN, *FAILED, A.START_IDLE_HOLD), S.IDLE)


def _ending(state: State) -> Iterator[tuple[Event, Row]]:
    """What ends a connection, each event that the state does not expect among it."""
    down = (A.DOWN,) if state is S.ESTABLISHED else ()
    lost = ((*down, *FAILED, A.START_IDLE_HOLD), S.IDLE)
    for event in Event:  # any event that this state does not expect
        yield event, ((A.SEND_FSM_ERROR, *down, *FAILED, A.START_IDLE_HOLD), S.IDLE)
    for event in STARTS:
        yield event, ((), state)
    yield E.MANUAL_STOP, ((A.SEND_CEASE, *down, *STOPPED), S.IDLE)
    yield E.AUTOMATIC_STOP, ((A.SEND_CEASE, *down, *FAILED), S.IDLE)
    yield E.COLLISION_DUMP, ((A.SEND_CEASE, *down, *FAILED, A.START_IDLE_HOLD), S.IDLE)
    yield E.HOLD_EXPIRES, ((A.SEND_HOLD_EXPIRED, *down, *FAILED, A.START_IDLE_HOLD), S.IDLE)
    for event in (E.HEADER_ERROR, E.OPEN_ERROR):
        yield event, ((A.SEND_ERROR, *down, *FAILED, A.START_IDLE_HOLD), S.IDLE)
    yield E.NOTIFICATION, lost
    yield (
        E.NOTIFICATION_VERSION,
        (
            (*down, A.STOP_CONNECT_RETRY, A.STOP_DELAY_OPEN, A.STOP_TIMERS, A.DROP_TCP, A.START_IDLE_HOLD),
            S.IDLE,
        ),
    )
    yield E.TCP_FAILS, lost


def _open_sent() -> Iterator[tuple[Event, Row]]:
    """What is expected in OpenSent alone."""
    yield E.TCP_FAILS, ((A.DROP_TCP, A.STOP_DELAY_OPEN, A.STOP_TIMERS, A.START_CONNECT_RETRY), S.ACTIVE)
    taken = (
        A.STOP_DELAY_OPEN,
        A.STOP_CONNECT_RETRY,
        A.TAKE_OPEN,
        A.SEND_KEEPALIVE,
        A.START_KEEPALIVE,
        A.START_HOLD,
    )
    yield E.OPEN, (taken, S.OPEN_CONFIRM)


def _table() -> dict[tuple[State, Event], Row]:
    table: dict[tuple[State, Event], Row] = {}
    for state in State:
        rows = (
            _idle()
            if state is S.IDLE
            else _waiting(state)
            if state in (S.CONNECT, S.ACTIVE)
            else _talking(state)
        )
        table.update(((state, event), row) for event, row in rows)
    return table


TABLE = _table()
