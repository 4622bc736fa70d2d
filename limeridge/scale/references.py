"""Which series of which result the model reads: every reference to a measurement in one place."""

from __future__ import annotations

from limeridge.scale.evidence import Reference
from limeridge.scale.results import Role, Situation, Size

MEMBERS = "members"
REQUEST_PATH = "request_path"
CONFIGURATION = "configuration"
CONFIGURATION_BEFORE = "configuration-before"


def member_cost(role: Role, cost: str, situation: Situation = Situation.REST) -> Reference:
    """Of one member in that role, or of service discovery as a whole."""
    return Reference(MEMBERS, role, cost, situation, Size.MEMBERS)


def path_cost(cost: str, against: Size, situation: Situation = Situation.LOAD) -> Reference:
    """Of one real instance that serves requests."""
    return Reference(REQUEST_PATH, Role.INSTANCE, cost, situation, against)


def configuration_cost(cost: str, situation: Situation, before: bool = False) -> Reference:
    """Of the configuration of so many tenants, as it is now or as it was before it could change in place."""
    sweep = CONFIGURATION_BEFORE if before else CONFIGURATION
    return Reference(sweep, Role.INSTANCE, cost, situation, Size.TENANTS)


ADDED_P99 = path_cost("added time p99", Size.TENANTS)
ADDED_P99_BY_RATE = path_cost("added time p99, against requests/s", Size.REQUESTS_PER_SECOND)
ADDED_P99_BY_CONNECTIONS = path_cost("added time p99, against connections", Size.CONNECTIONS)
ADDED_BY_RELOAD = path_cost("added time longest", Size.TENANTS, Situation.RELOAD)
PROCESSOR_BY_RATE = path_cost("processor", Size.REQUESTS_PER_SECOND)

FILE = ("file", Situation.START)
BYTES_OF_CHANGE = ("bytes to an instance", Situation.CHANGE)
MEMORY_AFTER_START = ("memory after the start, more than without tenants", Situation.START)
MEMORY_AFTER_RELOADS = ("memory after two reloads, more than without tenants", Situation.CHANGE)
LONGEST_TURN = ("longest turn, first reload", Situation.RELOAD)
RELOAD_TIME = ("signal to log line, first reload", Situation.RELOAD)
RELOAD_PROCESSOR = ("processor, first reload", Situation.RELOAD)
SECOND_RELOAD = {  # the same of a second reload, which counts where it was measured at larger sizes
    LONGEST_TURN: ("longest turn, second reload", Situation.RELOAD),
    RELOAD_TIME: ("signal to log line, second reload", Situation.RELOAD),
    RELOAD_PROCESSOR: ("processor, second reload", Situation.RELOAD),
}
