"""Commands that are sent again on a new link to the kernel, and what the run has gone on to meanwhile.

What happens: `limeridge sim run 920` (1 of 10,000 seeds of `any`): a run is told to go on without a call
that it has left behind. By the same way, seen here and not in the simulation, a request whose run goes on is
answered as failed.

Why: the kernel's answer to the fence and the next notice came in one piece, and the commands of before the
break went out between reading the one and the other. Where the notice is a moment later, such a command is
refused (EINVAL), and as the run's next notice had been read by then, the refusal was taken for that of its
next command.

What showed it: the trace of seed 920: the link changes at 0.726 s, the fence and `IOREQ` 6 are read in step
563, and `NOIO` for call 4 is written in it; the reply to call 4 had been taken by the kernel.
"""

from typing import Any

import orjson
from helpers import InstanceHarness


def waiting() -> tuple[InstanceHarness, Any, str]:
    """A request whose call was replied to, the reply written to a link that is then lost."""
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


def test_a_notice_that_comes_with_the_fence_is_read_before_commands_are_sent_again() -> None:
    net, caller, ref = waiting()
    net.commands()
    fence = orjson.dumps({"event": "INFO", "ticket": "fence", "figures": [0, 0, 0, 0]})
    notice = orjson.dumps({"event": "IOREQ", "cursor": 2, "handle": ref, "arg": "Y2FsbA=="})
    net.link.dataReceived(fence + b"\n" + notice + b"\n")
    assert net.commands() == [], "a command for a call that the run has left behind"
    assert net.instance.kernel.ready and net.answers(caller) == []


def test_a_refusal_of_what_was_sent_again_fails_no_run_that_has_gone_on() -> None:
    net, caller, ref = waiting()
    net.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
    assert {"event": "NOIO", "handle": ref, "cursor": 1} in net.commands()
    net.cursor = 1
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")  # written before the kernel read it
    net.tell(event="EINVAL", fate="NOIO", handle=ref)
    assert net.answers(caller) == [], "failed, though its run goes on"
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["eA=="]


def test_a_refusal_of_a_command_that_was_sent_once_still_ends_its_run() -> None:
    """Also on a link that came anew: once the kernel has answered a question asked after it, nothing of what
    was sent again is on its way any more."""
    net, caller, ref = waiting()
    net.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
    net.cursor = 1
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    net.pass_time(0.2)
    net.commands()  # the gauges are asked for and answered
    net.tell(event="EINVAL", fate="IODONE", handle=ref)
    assert [a["error"]["code"] for a in net.answers(caller)] != []
