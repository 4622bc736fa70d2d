"""What the rig tells a worker process and what it answers: JSON, one line each."""

from __future__ import annotations

import msgspec

from limeridge.scale.layout import Fleet
from limeridge.scale.results import Role


class Begin(msgspec.Struct, frozen=True, tag="begin"):
    """The first order: which fleet and role, and the file of membership. No member starts yet."""

    fleet: Fleet
    role: Role
    settings: str  # path of the file of membership


class Start(msgspec.Struct, frozen=True, tag="start"):
    """These members start, spread evenly over so many seconds of the fleet."""

    members: tuple[int, ...]
    spread: float


class Lose(msgspec.Struct, frozen=True, tag="lose"):
    """These members are gone at once, without a word to the others."""

    members: tuple[int, ...]


class Replace(msgspec.Struct, frozen=True, tag="replace"):
    """These members leave as on SIGTERM and start anew under their names, each after so many seconds of the
    fleet."""

    members: tuple[int, ...]
    after: tuple[float, ...]


class HandOver(msgspec.Struct, frozen=True, tag="hand over"):
    """Whoever holds one of these duties moves it to the member named, as an operator would."""

    to: dict[str, str]  # member's name, by duty


class Cut(msgspec.Struct, frozen=True, tag="cut"):
    """Nothing passes between the two sides any more, until `healed`."""

    healed: bool


class Read(msgspec.Struct, frozen=True, tag="read"):
    """Asks for a Reading."""


class Look(msgspec.Struct, frozen=True, tag="look"):
    """Asks for a State, which takes processor time and is kept out of the windows that are measured."""


class End(msgspec.Struct, frozen=True, tag="end"):
    """The process ends; without an answer."""


Order = Begin | Start | Lose | Replace | HandOver | Cut | Read | Look | End


class Traffic(msgspec.Struct):
    """What went over one kind of sockets since the process began: payload in bytes, and packets."""

    bytes_out: int = 0
    bytes_in: int = 0
    packets_out: int = 0
    packets_in: int = 0


class Reading(msgspec.Struct, frozen=True, tag="reading"):
    """What the process has spent since it began; `largest` and `lateness` are since the reading before."""

    at: float  # monotonic clock, seconds
    processor: float  # seconds
    datagrams: Traffic
    streams: Traffic
    largest: int  # bytes of the largest message sent
    lateness: tuple[float, ...]  # of the process's own timer, seconds
    running: int  # members


class State(msgspec.Struct, frozen=True, tag="state"):
    """What the members of the process hold just now."""

    memory: int  # private bytes of the process
    known: tuple[int, ...]  # of each member, how many it holds to be there
    views: tuple[int, ...]  # of each member, how many its view has
    view_bytes: int  # of the message that would tell the largest view
    holds: int  # duties held by members
    faults: int  # exceptions in the members' code
    first_fault: str
    dropped: dict[str, int]  # what the sockets' code turned away, by its codes


class Done(msgspec.Struct, frozen=True, tag="done"):
    """Any other order was taken."""


Answer = Reading | State | Done
