"""Commands that are resent on a new link to the kernel, while their run has already moved on.

Guards against two failures. (1) A run was told to continue without a call that it had already left behind:
the kernel's answer to the fence and the run's next notice arrived in one chunk, and the unconfirmed commands
were resent between reading the two. Found by seed 920 of `limeridge sim run` (1 of 10,000 seeds of `any`):
the link changes at 0.726 s, the fence and `IOREQ` 6 are read in step 563, and `NOIO` for call 4 is written in
the same step, although the kernel had accepted the reply to call 4. (2) A request was answered as failed
while its run continued: if that notice arrives a moment later, the resent command is refused (EINVAL), and
the refusal was taken for that of the run's next command. Found by analysis of the first, not in the
simulation.
"""

from typing import Any

import orjson
from helpers import InstanceHarness


def start_with_lost_link() -> tuple[InstanceHarness, Any, str]:
    """Returns a request whose call got its reply, after the link to which the reply was written was lost."""
    net = InstanceHarness()
    net.boot()
    caller = net.caller()
    ref = net.ask(caller, 1)
    net.commands()
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    net.commands()
    call = net.connect("127.0.1.2")
    call.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
    assert [c["event"] for c in net.commands()] == ["IODONE"]
    net.lose(net.link, clean=False)
    net.pass_time(0.1)
    net.link = net.connect("127.0.1.1")
    net.tell(event="BOOTED", fate="warm", lasted=60_000)
    return net, caller, ref


def test_a_notice_in_the_chunk_of_the_fence_is_read_before_commands_are_resent() -> None:
    net, caller, ref = start_with_lost_link()
    net.commands()
    fence = orjson.dumps({"event": "INFO", "ticket": "fence", "figures": [0, 0, 0, 0]})
    notice = orjson.dumps({"event": "IOREQ", "cursor": 2, "handle": ref, "arg": "Y2FsbA=="})
    net.link.dataReceived(fence + b"\n" + notice + b"\n")
    assert net.commands() == [], "a command for a call that the run has left behind"
    assert net.instance.kernel.ready and net.answers(caller) == []


def test_the_refusal_of_a_resent_command_does_not_fail_a_run_that_has_moved_on() -> None:
    net, caller, ref = start_with_lost_link()
    net.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
    assert {"event": "NOIO", "handle": ref, "cursor": 1} in net.commands()
    net.cursor = 1
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")  # sent before the kernel read the NOIO
    net.tell(event="EINVAL", fate="NOIO", handle=ref)
    assert net.answers(caller) == [], "answered as failed although its run continues"
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["eA=="]


def test_the_refusal_of_a_command_that_was_sent_once_ends_its_run() -> None:
    """Also on a new link: once the kernel has answered a query sent after the resent commands, refusals of
    those can't arrive any more."""
    net, caller, ref = start_with_lost_link()
    net.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
    net.cursor = 1
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    net.pass_time(0.2)
    net.commands()  # queries for gauges are answered
    net.tell(event="EINVAL", fate="IODONE", handle=ref)
    assert [a["error"]["code"] for a in net.answers(caller)] != []
