"""What an instance keeps for its clients: bounded in count, bytes and time, at the cost of no rule."""

from typing import Any

from helpers import InstanceHarness

DECLINED, VOIDED = -32008, -32000


def booted(**changes: Any) -> InstanceHarness:
    net = InstanceHarness(**changes)
    net.boot()
    return net


def error_codes(net: InstanceHarness, caller: Any) -> list[tuple[int, int]]:
    """The id and the error code of each answer."""
    return [(answer["id"], answer["error"]["code"]) for answer in net.answers(caller)]


# ---- a full memory for bodies


def test_repeat_of_a_request_that_ran_is_not_declined_when_the_memory_for_bodies_is_full() -> None:
    """Guards against "never ran" as the answer to a keyed request that runs or has run."""
    net = booted()
    caller = net.caller()
    ref = net.ask(caller, 1, "book", k="acct")
    net.commands()
    net.instance.callers.max_held_bytes = net.instance.callers.held_bytes
    net.ask(caller, 2, "book", k="acct", r=1)
    net.ask(caller, 3, "book", k="other")
    net.ask(caller, 4, "look")
    net.ask(caller, 5, "book", k="acct", doc="b3RoZXI=")
    assert error_codes(net, caller) == [(2, VOIDED), (3, DECLINED), (4, DECLINED), (5, VOIDED)]
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="b25l")
    assert [answer["result"]["doc"] for answer in net.answers(caller)] == ["b25l"]
    net.instance.callers.max_held_bytes = 0
    net.ask(caller, 6, "book", k="acct", r=1)
    [answer] = net.answers(caller)
    assert (answer["id"], answer["result"]["doc"]) == (6, "b25l"), "its result is kept, so it is served"
    assert net.commands() == [] and net.instance.callers.held_bytes == 0


def test_repeat_of_a_run_that_never_began_is_declined_when_the_memory_for_bodies_is_full() -> None:
    """Guards against an error in place of a decline, with which the caller may go elsewhere."""
    net = booted()
    caller = net.caller()
    ref = net.ask(caller, 1, "book", k="acct")
    net.commands()
    net.tell(event="EINVAL", fate="SCHED", handle=ref)
    net.instance.callers.max_held_bytes = 0
    net.ask(caller, 2, "book", k="acct", r=1)
    assert error_codes(net, caller) == [(1, VOIDED), (2, DECLINED)]
