"""Two events that cross, forced: on loopback sockets whose reactor is turned by hand, and in memory.

docs/design/crossings.md has the table that these belong to.
"""

import errno
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
from helpers import MAX_WAIT_S, SAMPLE_CONFIG, InstanceHarness, MemoryTransport, until
from loopback import CallerEnd, Far, KernelEnd, address, bound, free_address, stepped
from twisted.internet.error import CannotListenError, ConnectionRefusedError
from twisted.python.failure import Failure

from limeridge.facade import EndStatus
from limeridge.net.callers import CLOSE_AFTER, DISCARDED_MOST, PARTING, close_listener
from limeridge.net.kernel import ConnectAttempt
from limeridge.net.service import LAST_CALL, LISTEN_EVERY, LISTEN_TRIES, PART

ROOT = Path(__file__).parent.parent


# ---- closes


@pytest.mark.parametrize("code", ["farewell", "displaced", "silent", "half-message", "drain"])
def test_a_close_over_unread_bytes_is_no_reset_and_what_crosses_it_is_not_run(code: str) -> None:
    with stepped() as s:
        caller, ours = s.standing()
        s.served(caller)
        crossing = caller.ask()
        ours.close(code)  # the request lies in the socket, unread
        s.until("the end of the stream", lambda: caller.pump().end)
        assert caller.end == "end", "a reset, which takes answers on their way with it"
        s.turn(3)
        assert crossing not in [c["handle"] for c in s.kernel.commands("SCHED")], "read late, run"
        caller.close()
        s.until("the end of ours", lambda: ours not in s.instance.callers.connections)
        assert s.log.codes("connection-end") == [code]


def test_answers_on_their_way_survive_a_close_over_half_a_line() -> None:
    with stepped() as s:
        caller, ours = s.standing()
        ref = caller.ask()
        s.runs(ref)
        s.kernel.done(ref)
        s.until("the answer to be written", lambda: not ours.open)
        caller.write(b"Content-Len")
        ours.close("half-message")
        s.until("the end of the stream", lambda: caller.answers() and caller.end)
        assert caller.end == "end" and caller.by_id()[1]["result"]["doc"] == "eA=="


def test_what_was_read_before_a_spoilt_message_is_answered_then_the_stream_ends_in_order() -> None:
    with stepped() as s:
        caller, ours = s.standing()
        ref = caller.ask()
        s.runs(ref)
        caller.write(b"GARBAGE WITHOUT END\r\n\r\n" + b"x" * 5_000)
        s.until("the fault", lambda: ours.spoiled)
        caller.write(b"and more" * 1_000)
        s.kernel.done(ref)
        s.until("the end of the stream", lambda: caller.answers() and caller.end)
        assert caller.end == "end" and caller.by_id()[1]["result"]["doc"] == "eA=="


def test_a_peer_that_sends_on_after_the_end_is_read_up_to_a_bound_and_then_cut() -> None:
    with stepped() as s:
        caller, ours = s.standing()
        ours.close("silent")
        sent = 0
        # Longer than the test may take, so that nothing else ends it.
        s.instance.callers.clock = SimpleNamespace(seconds=lambda: 0.0)

        def cut() -> bool:
            nonlocal sent
            try:
                sent += caller.socket.send(b"x" * 65_536)
            except BlockingIOError:
                return False
            except (ConnectionResetError, BrokenPipeError):
                return True
            return False

        s.until("the cut", cut)
        assert sent > DISCARDED_MOST and ours not in s.instance.callers.connections


def test_one_that_never_closes_its_own_end_is_cut_after_a_while_and_takes_no_place() -> None:
    net = InstanceHarness()
    net.boot()
    caller = net.caller()
    caller.close("silent")
    assert caller.transport.half_closed and not caller.transport.disconnected
    net.pass_time(CLOSE_AFTER + 0.2)
    assert caller.transport.disconnected


def test_one_that_is_being_closed_and_has_to_make_room_is_cut_and_not_forgotten() -> None:
    net = InstanceHarness(limits={"sockets": 128})
    net.boot()
    callers = net.instance.callers
    silent = [net.caller() for _ in range(callers.most)]
    net.pass_time(2.3)
    assert all(each.transport.half_closed and not each.transport.disconnected for each in silent)
    newcomer = net.caller()
    assert newcomer in callers.connections
    [cut] = [each for each in silent if each not in callers.connections]
    assert cut.transport.disconnected, "out of the table, and its descriptor held for ever"


def test_a_resting_connection_that_gives_way_hears_a_farewell_and_what_crosses_it_is_served() -> None:
    with stepped(limits={"sockets": 64}) as s:
        callers = s.instance.callers
        resting, ours = s.standing()
        s.served(resting)
        others = []
        while len(callers.connections) < callers.most - callers.most // PARTING:
            other, _ = s.standing()
            s.served(other)
            others.append(other)
        s.until(
            "the first to have rested a while",
            lambda: s.reactor.seconds() - max(c.heard for c in callers.connections) > 0.06,
        )
        crossing = resting.ask()  # unread when the newcomer comes
        known = set(callers.connections)
        newcomer = s.caller()
        # The newcomer is taken first, so that the farewell and the request cross.
        s.instance.port.doRead()
        assert set(callers.connections) - known and ours in callers.parting
        s.runs(crossing)
        s.kernel.done(crossing)
        s.until("the answer", lambda: resting.by_id().get(2))
        assert resting.said_farewell() and resting.by_id()[2]["result"]["doc"] == "eA=="
        s.served(newcomer)
        resting.close()
        s.until("its end", lambda: ours not in callers.connections)
        assert s.log.codes("connection-end") == ["displaced"] and not callers.parting


def test_an_answer_to_a_connection_that_another_replaced_goes_nowhere_and_breaks_nothing() -> None:
    with stepped() as s:
        caller, _ = s.standing()
        ref = caller.ask()
        s.runs(ref)
        again, _ = s.standing()
        caller.reset()
        s.kernel.done(ref)
        s.until("the run to be over", lambda: not s.instance.jobs)
        s.served(again)
        assert s.log.codes("connection-end") == ["peer-reset"] and not s.instance.facade.owed()


def test_no_small_write_of_ours_is_ever_held_back() -> None:
    """On each socket of ours, before the first write."""
    net = InstanceHarness()
    net.boot()
    caller = net.caller()
    ref = net.ask(caller, 1)
    net.commands()
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    line = net.connect("127.0.1.2")
    for transport in (caller.transport, net.link.transport, line.transport):
        assert transport.no_delay and transport.before_no_delay == b""


def test_a_paused_reader_gets_its_answers_before_the_end() -> None:
    """Its answers wait with us as it does not read; the end of the process is no reason to lose them."""
    with stepped() as s:
        caller, ours = s.standing()
        ours.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        doc = "A" * 4_000
        asked = 0
        while not ours.backlog:
            ref = caller.ask()
            asked += 1
            s.runs(ref)
            s.kernel.done(ref, doc)
            s.until("the answer to be given", lambda: not ours.open)
        assert asked < 200
        s.instance.leave()
        s.turn(2)
        s.instance.part()
        s.until("all answers and the end", lambda: (caller.answers(), caller.end)[1])
        assert caller.end == "end" and len(caller.by_id()) == asked


# ---- shutdown


def test_the_listening_socket_is_closed_in_the_turn_in_which_its_backlog_was_read() -> None:
    """Else a connection made in between stands, and is reset with the request that it wrote."""
    with stepped() as s:
        port = s.instance.port
        port.numberAccepts = 1  # as after a quiet turn
        waiting = [s.caller() for _ in range(30)]
        refs = [caller.ask() for caller in waiting]
        s.instance.leaving, s.instance.shut = True, True
        close_listener(port)
        assert len(s.instance.callers.connections) == 30, "left in the backlog, to be reset"
        with pytest.raises(OSError, match="refused"):
            s.caller()
        s.until("the requests that they wrote", lambda: len(s.instance.jobs) == len(refs))
        for caller in waiting:
            assert caller.said_farewell() and not caller.end


def test_a_backlog_larger_than_the_table_is_emptied_whole() -> None:
    with stepped(limits={"sockets": 64}) as s:
        waiting = [s.caller() for _ in range(60)]
        for caller in waiting:
            caller.check()
        close_listener(s.instance.port)
        s.until(
            "all to hear or to be turned away",
            lambda: all(caller.answers() or caller.end for caller in waiting),
        )
        assert sum(bool(caller.heard) for caller in waiting) >= s.instance.callers.most // 2
        assert len(s.instance.callers.connections) <= s.instance.callers.most


@pytest.mark.parametrize("grace", [0, 300_000])
def test_a_request_read_after_the_notice_runs_within_the_grace_and_is_declined_after_it(grace: int) -> None:
    settings = SAMPLE_CONFIG["settings"] | {
        "guarantees": SAMPLE_CONFIG["settings"]["guarantees"] | {"drainGrace": grace}
    }
    with stepped(settings=settings, stop_ms=20_000) as s:
        caller, _ = s.standing()
        s.served(caller)
        s.instance.leave()
        now = time.time() * 1000
        ref = caller.ask(s=int(now + 1_000 * (grace == 0)))  # grace 0: it landed a moment after the notice
        if grace:
            s.runs(ref)
            s.kernel.done(ref)
        answer = s.until("the answer", lambda: caller.by_id().get(2))
        assert ("result" in answer) == (grace > 0)
        if not grace:
            assert answer["error"]["code"] == -32008 and s.kernel.commands("SCHED")[-1]["handle"] != ref


def test_a_request_that_crosses_the_farewell_of_the_drain_is_answered() -> None:
    with stepped(stop_ms=20_000) as s:
        caller, _ = s.standing()
        s.served(caller)
        s.instance.leave()
        caller.ask()  # unread while the door is shut
        s.instance.shut_door()
        answer = s.until(
            "its answer",
            lambda: caller.by_id().get(2)
            or ([s.kernel.done(c["handle"]) for c in s.kernel.commands("SCHED")[1:]] and None),
        )
        assert caller.said_farewell() and ("result" in answer or answer["error"]["code"] == -32008)


def test_what_the_last_turn_read_is_answered_before_the_streams_end() -> None:
    with stepped(stop_ms=1_000) as s:
        caller, _ = s.standing()
        s.served(caller)
        s.instance.leave()
        s.until(
            "the time in which nothing more is begun", lambda: s.reactor.seconds() > s.instance.kill_at - 0.2
        )
        caller.ask()
        s.until("it to be read", lambda: s.instance.jobs or caller.by_id().get(2))
        s.instance.part()  # in the very turn: the brain was not asked yet
        s.until("the end of the stream", lambda: caller.answers() and caller.end)
        assert caller.end == "end" and caller.by_id()[2]["error"]["code"] == -32008
        assert not s.instance.facade.owed()


def test_a_run_that_ends_in_the_turn_of_the_last_look_changes_no_answer() -> None:
    with stepped(stop_ms=600) as s:
        caller, _ = s.standing()
        ref = caller.ask()
        s.runs(ref)
        s.instance.leave()
        s.until("the time of the last look", lambda: s.reactor.seconds() > s.instance.kill_at - PART + 0.01)
        s.kernel.done(ref)
        s.until("the end", lambda: caller.pump().end)
        assert caller.end == "end" and len(caller.by_id()) == 1
        s.until("the process's own end", lambda: s.ended)


def test_the_connections_end_before_the_process_does() -> None:
    net = InstanceHarness()
    net.boot()
    caller = net.caller()
    stopped: list[bool] = []
    net.reactor.stop = lambda: stopped.append(True)  # type: ignore[method-assign]
    net.instance.leave()
    stop = net.instance.kill_at - net.reactor.seconds()
    net.pass_time(stop - PART + 0.02)
    assert caller.transport.half_closed and not stopped
    net.pass_time(PART - LAST_CALL + 0.06)
    assert stopped


def test_a_notice_with_hardly_any_time_shuts_the_door_once() -> None:
    with stepped(stop_ms=100) as s:
        caller, _ = s.standing()
        s.served(caller)
        caller.ask()
        s.instance.leave()
        while s.reactor.seconds() < s.instance.kill_at - 0.04:  # a pause: all is due at once
            pass
        s.until("the end of the stream", lambda: caller.answers() and caller.end)
        assert caller.end == "end" and caller.by_id()[2]["error"]["code"] == -32008
        s.until("the process's own end", lambda: s.ended)
        assert not [line for line in s.log.lines if line["event"] == "service-fault"]


def test_a_notice_to_leave_while_the_address_is_still_held_ends_the_process_and_listens_no_more() -> None:
    net = InstanceHarness()
    tried: list[int] = []

    def held(*_: Any) -> None:
        tried.append(1)
        raise CannotListenError("", 1, OSError(errno.EADDRINUSE, "in use"))

    net.reactor.listenTCP = held  # type: ignore[method-assign]
    net.instance.listen(LISTEN_TRIES)
    net.pass_time(0.2)
    before = len(tried)
    assert before > 2
    stopped: list[bool] = []
    net.reactor.stop = lambda: stopped.append(True)  # type: ignore[method-assign]
    net.instance.leave()
    net.instance.leave()
    net.pass_time(2.0)
    assert len(tried) == before and stopped and net.instance.exit_code == 0
    assert net.log.codes("drain") == ["begun", "again", "done"]


def test_an_address_that_a_dying_predecessor_holds_is_waited_for_and_one_that_is_not_ours_is_not() -> None:
    for number, code in ((errno.EADDRINUSE, 0), (errno.EADDRNOTAVAIL, 1)):
        net = InstanceHarness()
        stopped: list[bool] = []
        net.reactor.stop = lambda: stopped.append(True)  # type: ignore[method-assign] # noqa: B023

        def held(*_: Any, number: int = number) -> None:
            raise CannotListenError("", 1, OSError(number, os.strerror(number)))

        there, net.reactor.listenTCP = net.reactor.listenTCP, held  # type: ignore[method-assign]
        net.instance.listen(LISTEN_TRIES)
        net.pass_time(4 * LISTEN_TRIES * LISTEN_EVERY)
        assert bool(stopped) == bool(code) and net.instance.exit_code == code
        net.reactor.listenTCP, net.instance.port = there, None  # type: ignore[method-assign]
        net.pass_time(0.2)
        assert (net.instance.port is not None) == (not code), "it listens once the predecessor has gone"
        assert set(net.log.codes("listen")) == {"unusable" if code else "taken"}
        assert len(net.log.codes("listen")) <= LISTEN_TRIES + 1


# ---- the kernel's link


def test_commands_written_last_reach_the_old_kernel_though_its_notices_lie_unread() -> None:
    """A reply is never sent again, so one that is lost with the old link costs its request."""
    with stepped() as s:
        kernel, old = s.instance.kernel, s.kernel
        caller, _ = s.standing()
        ref = caller.ask("book", k="a")
        s.runs(ref)
        old.note(event="IOREQ", handle=ref, arg="Y2FsbA==")
        call = s.accepted(s.ledgers, Far)
        s.until("the call", lambda: b"\r\n\r\n" in call.pump().data)
        call.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
        s.until(
            "the reply to be commanded",
            lambda: ref in kernel.unconfirmed and kernel.unconfirmed[ref].replies_to,
        )
        old.note(event="DMESG", fate="on its way")  # unread as the new link stands
        kernel.attempt = ConnectAttempt(kernel)
        kernel.attempt.buildProtocol(None).makeConnection(MemoryTransport())
        s.until("the end of the old stream", lambda: old.pump().end)
        assert old.end == "end" and [c["handle"] for c in old.commands("IODONE")] == [ref]


def test_a_request_that_comes_before_the_kernel_is_up_does_not_hide_that_it_is_cold() -> None:
    net = InstanceHarness(
        settings=SAMPLE_CONFIG["settings"]
        | {"familyInfo": SAMPLE_CONFIG["settings"]["familyInfo"] | {"justStarted": False}}
    )
    early = net.caller()
    ref = net.ask(early, 1)
    net.link = net.connect("127.0.1.1")
    net.tell(event="BOOTED", fate="cold", lasted=0)
    net.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
    assert [c["handle"] for c in net.commands() if c["event"] == "SCHED"] == [ref]
    brain = net.instance.facade.brain
    assert brain._crowd() < 0.6 * (net.instance.setup.plain["rules.overload_factor"] * brain.cores)  # type: ignore[operator]
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    [answer] = net.answers(early)
    assert answer["result"]["doc"] == "eA==" and answer["result"]["v"] < 0.5


def test_a_link_lost_in_the_turn_of_its_resume_sends_nothing_twice() -> None:
    net = InstanceHarness()
    net.boot()
    caller = net.caller()
    ref = net.ask(caller, 1)
    net.commands()
    net.lose(net.link, clean=False)
    net.pass_time(0.1)
    net.link = net.connect("127.0.1.1")
    net.tell(event="BOOTED", fate="warm", lasted=60_000)
    lost = net.link
    net.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
    net.lose(net.link, clean=False)  # in the turn of the resume
    lost.dataReceived(b'{"event":"REAP","cursor":1,"handle":"%b","fate":"failed"}\n' % ref.encode())
    net.pass_time(0.2)
    net.boot(again=[{"event": "REAP", "cursor": 1, "handle": ref, "fate": "ok", "lasted": 5, "arg": "eA=="}])
    assert not [c for c in net.commands() if c["event"] == "SCHED"]
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["eA=="]


def test_a_link_that_is_refused_for_long_is_there_soon_after_the_kernel_is() -> None:
    net = InstanceHarness()
    for _ in range(20):
        net.reactor.advance(0)
        net.reactor.tcpClients.pop()[2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        net.pass_time(0.26)
        assert net.reactor.tcpClients, "the next try comes within a quarter of a second"


# ---- the node list


def test_a_socket_for_reports_that_can_t_be_had_at_the_start_is_tried_for_again() -> None:
    net = InstanceHarness()
    net.instance.node_list.transport = None
    good = net.reactor.listenUDP
    failed: list[int] = []

    def refused(*_: Any, **__: Any) -> None:
        failed.append(1)
        raise CannotListenError("", 0, OSError(errno.EMFILE, "too many open files"))

    net.reactor.listenUDP = refused  # type: ignore[method-assign]
    net.boot()
    net.pass_time(1.0)
    assert failed and not net.reactor.reports
    net.reactor.listenUDP = good  # type: ignore[method-assign]
    net.pass_time(0.7)
    assert set(net.reactor.reports) == {b"HERE n1 on"} and "no-socket" in net.log.codes("reports")


def test_a_list_that_moves_while_it_is_down_and_while_we_drain_hears_from_us_at_its_new_place() -> None:
    net = InstanceHarness()
    net.boot()
    net.pass_time(0.4)
    net.file |= {"roster": "127.0.3.3:7947"}
    net.instance.reload()
    assert net.reactor.reported_to == ("127.0.3.3", 7947)
    net.instance.leave()
    assert net.reactor.reports[-1] == b"HERE n1 off"
    net.file |= {"roster": "127.0.3.4:7948"}
    net.instance.reload()
    net.reactor.reports.clear()
    net.pass_time(1.0)
    assert not net.reactor.reports, "it was never listed there, and lapses at the old place"


# ---- configuration


# What the sample says of an instance and the other file does not, and can't change while it runs.
NOT_LIVE = (
    "callsOver",
    "gauges",
    "justStarted",
    "kbPerKey",
    "linger",
    "memoryKb",
    "preemption",
    "runFactor",
    "say",
)


def test_another_customer_s_settings_in_a_reload_change_addresses_and_tenants_alone() -> None:
    net = InstanceHarness()
    net.boot()
    caller = net.caller()
    other = {
        "classes": [{"name": "other", "aim": 10_000, "deadline": 20_000}],
        "accounts": [{"name": "them"}],
        "familyInfo": {"cpus": 64},
    }
    net.file = SAMPLE_CONFIG | {
        "settings": other,
        "limits": {"sockets": 64, "memory_mb": 16},
        "records": "127.0.3.2:8901",
    }
    net.instance.reload()
    [line] = [line for line in net.log.lines if line["event"] == "reload"]
    assert line["moved"] == ["ledger"]
    stay = {"memory_mb", "sockets", "settings.classes", "settings.familyInfo.cpus"}
    stay |= {f"settings.familyInfo.{name}" for name in NOT_LIVE}
    assert set(line["needs_restart"]) == stay and len(line["needs_restart"]) == len(stay)
    net.ask(caller, 1, "other")
    assert net.answers(caller)[0]["error"]["message"] == "unknown class"
    net.ask(caller, 2)
    assert net.answers(caller)[0]["error"]["message"] == "unknown tenant"
    ref = net.ask(caller, 3, t="them")
    assert [c["handle"] for c in net.commands()] == [ref]


def test_two_notices_of_new_configuration_at_once_and_one_in_the_middle_of_a_drain() -> None:
    with stepped(stop_ms=20_000) as s:
        place = bound()
        place.listen(8)
        place.setblocking(False)
        s.file = s.file | {"kernel": address(place)}
        s.instance.leave()
        s.instance.reload()
        s.instance.reload()  # the address is the same now: the dial that is under way is the one
        s.boot(listener=place)
        assert s.log.codes("reload") == ["taken", "taken"] and s.instance.leaving
        s.until("the end of the old link", lambda: s.fars[0].pump().end)
        with suppress(BlockingIOError):
            place.accept()
            raise AssertionError("a second link")
        place.close()


def test_a_notice_that_comes_before_there_is_anybody_to_take_it_is_taken_later(tmp_path: Path) -> None:
    """The real process. Its configuration is a pipe, so that it is read when we say: the notice comes between
    the reading and the taking over of signals."""
    config, pipe = SAMPLE_CONFIG | {"listen": free_address(), "kernel": "127.0.0.1:9"}, tmp_path / "config"
    os.mkfifo(pipe)
    with (tmp_path / "log").open("wb") as log:
        child = subprocess.Popen(
            [sys.executable, "-m", "limeridge"],
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(pipe)},
        )
    try:
        made: list[int] = []

        def read_by_it() -> bool:
            with suppress(OSError):  # nobody reads yet
                made.append(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK))
            return bool(made)

        until("it to read its configuration", read_by_it)
        (tmp_path / "next").write_bytes(orjson.dumps(config | {"records": "127.0.0.1:99"}))
        (tmp_path / "next").rename(pipe)
        child.send_signal(signal.SIGHUP)
        os.write(made[0], orjson.dumps(config))
        os.close(made[0])
        until("the new address to be taken", lambda: b'"taken"' in (tmp_path / "log").read_bytes())
        assert b'"moved":["ledger"]' in (tmp_path / "log").read_bytes()
    finally:
        child.kill()
        child.wait()


@pytest.mark.parametrize("times", [1, 2])
def test_a_notice_to_leave_beside_an_unread_request_loses_nothing(times: int, tmp_path: Path) -> None:
    """The real process stands still while both arrive."""
    with process(tmp_path) as p:
        caller = p.caller()
        caller.check()
        p.until("an answer", lambda: caller.by_id().get(1))
        p.child.send_signal(signal.SIGSTOP)
        ref = caller.ask()
        late = p.caller()  # in the backlog
        late.ask()
        for notice in (signal.SIGTERM, signal.SIGINT)[:times]:
            p.child.send_signal(notice)
        p.child.send_signal(signal.SIGCONT)
        done: set[str] = set()

        def answered() -> bool:
            for command in p.kernel.commands("SCHED"):
                if command["handle"] not in done:
                    done.add(command["handle"])
                    p.kernel.done(command["handle"])
            return bool(caller.by_id().get(2) and late.by_id().get(1))

        p.until("both answers", answered)
        assert ref in done and "result" in caller.by_id()[2]
        for each in (caller, late):
            each.close()
        assert p.child.wait(MAX_WAIT_S) == 0
        assert (b'"code":"again"' in p.told()) == (times == 2)


class Process:
    """A real process of the program; the far ends are the test's own sockets."""

    def __init__(self, folder: Path, **changes: Any) -> None:
        self.kernels, self.ledgers, self.roster = bound(), bound(), bound(socket.SOCK_DGRAM)
        for made in (self.kernels, self.ledgers):
            made.listen(64)
            made.settimeout(MAX_WAIT_S)
        self.config = (
            SAMPLE_CONFIG
            | {
                "listen": free_address(),
                "kernel": address(self.kernels),
                "records": address(self.ledgers),
                "roster": address(self.roster),
                "stop_ms": 8_000,
            }
            | changes
        )
        (folder / "config.json").write_bytes(orjson.dumps(self.config))
        self.log = folder / "log"
        with self.log.open("wb") as log:
            env = os.environ | {"BALANCER_CONFIG": str(folder / "config.json")}
            self.child = subprocess.Popen(
                [sys.executable, "-m", "limeridge"], stdout=log, stderr=log, cwd=ROOT, env=env
            )
        self.kernel: Any = None

    def told(self) -> bytes:
        return self.log.read_bytes()

    def until(self, what: str, held: Any) -> Any:
        end = time.monotonic() + MAX_WAIT_S
        while not (found := held()):
            in_time = time.monotonic() < end and self.child.poll() is None
            assert in_time, f"not within {MAX_WAIT_S:g} s: {what}; its log ends with {self.told()[-2_000:]!r}"
            time.sleep(0.005)
        return found

    def boot(self) -> None:
        self.kernel = KernelEnd(self.kernels.accept()[0])
        self.until("the opening", lambda: self.kernel.commands("OPEN"))
        self.kernel.tell(event="BOOTED", fate="warm", lasted=60_000)
        self.until("the fence", lambda: b"fence" in self.kernel.pump().data)
        self.kernel.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])

    def caller(self) -> CallerEnd:
        host, _, port = str(self.config["listen"]).rpartition(":")
        return CallerEnd(socket.create_connection((host, int(port)), timeout=MAX_WAIT_S))


@contextmanager
def process(folder: Path, **changes: Any) -> Iterator[Process]:
    made = Process(folder, **changes)
    try:
        made.boot()
        made.until("it to listen", lambda: connects(made))
        yield made
        for fault in (b'"exception"', b'"reactor"', b'"defect"'):
            assert fault not in made.told()
    finally:
        if made.child.poll() is None:
            made.child.kill()
            made.child.wait()


def connects(of: Process) -> bool:
    host, _, port = str(of.config["listen"]).rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


# ---- descriptors


def descriptors(p: Process) -> int:
    return len(list(Path(f"/proc/{p.child.pid}/fd").iterdir()))


def processor_seconds(p: Process) -> float:
    fields = Path(f"/proc/{p.child.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def newcomer(p: Process) -> CallerEnd:
    """As a usual caller comes: one that is turned away at the door comes again."""
    found: list[CallerEnd] = []

    def heard() -> bool:
        if not found or found[-1].pump().end:
            with suppress(OSError):
                found.append(p.caller())
                found[-1].check()
        return bool(found and found[-1].by_id())

    p.until("a place for a usual caller", heard)
    assert len(found) < 20, "turned away again and again"
    return found[-1]


@pytest.mark.skipif(not Path("/proc/self/stat").exists(), reason="looks at /proc")
@pytest.mark.parametrize("says", ["nothing", "checks", "half a message"])
def test_idle_clients_may_fill_the_descriptors_while_the_list_is_down(says: str, tmp_path: Path) -> None:
    """Requests of usual callers, the kernel's link and its relink, calls and reports still find theirs."""
    with process(tmp_path, limits={"sockets": 96}) as p:
        usual = p.caller()

        def served(caller: CallerEnd) -> None:
            ref, done = caller.ask("book", k=f"key {caller.next_id}"), False

            def answered() -> bool:
                nonlocal done
                if not done and ref in [c["handle"] for c in p.kernel.commands("SCHED")]:
                    done = True
                    p.kernel.note(event="IOREQ", handle=ref, arg="Y2FsbA==")
                    call = Far(p.ledgers.accept()[0])
                    p.until("the call", lambda: call.pump().data.endswith(b"call"))
                    call.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
                    p.until("the reply", lambda: ref in [c["handle"] for c in p.kernel.commands("IODONE")])
                    p.kernel.done(ref)
                return caller.next_id in caller.by_id()

            p.until("an answer", answered)
            assert "result" in caller.by_id()[caller.next_id]

        served(usual)
        before = descriptors(p)
        idle = []
        for number in range(250):
            with suppress(OSError):
                client = p.caller()
                idle.append(client)
                with suppress(OSError):  # it was turned away
                    if says == "checks":
                        client.check()
                    elif says == "half a message":
                        client.write(b"Content-Le")
            if number % 25 == 0:
                assert descriptors(p) <= 96
        if not usual.pump().end and not usual.said_farewell():
            served(usual)
        served(newcomer(p))
        p.kernel.reset()  # the link breaks while the table is full
        cursor = p.kernel.cursor
        p.boot()
        p.kernel.cursor = cursor
        served(newcomer(p))
        p.roster.settimeout(MAX_WAIT_S)
        begun = processor_seconds(p)
        for _ in range(5):  # a report each 0.3 s, also with nobody there to list it
            assert p.roster.recv(100).split() == [b"HERE", b"n1", b"on"]
        assert processor_seconds(p) - begun < 1.0, "it spins"
        assert p.told().count(b"\n") < 400, "a flood of lines"
        for client in idle:
            client.close()
        p.until("the idle to be forgotten", lambda: descriptors(p) <= before + 8)
        served(p.caller())


def test_what_the_machine_grants_is_shared_out_and_not_what_the_file_says(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_bytes(orjson.dumps(SAMPLE_CONFIG | {"listen": free_address()}))
    with (tmp_path / "log").open("wb") as log:
        child = subprocess.Popen(
            ["/bin/sh", "-c", f"ulimit -n 64 && exec {sys.executable} -m limeridge"],
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "config.json")},
        )
    try:
        until("the line of its start", lambda: b'"start"' in (tmp_path / "log").read_bytes())
        assert SAMPLE_CONFIG["limits"]["sockets"] == 1_024
        assert b'"sockets":64' in (tmp_path / "log").read_bytes().splitlines()[0]
    finally:
        child.kill()
        child.wait()


def test_results_kept_for_repeats_take_no_more_than_their_part_of_a_small_memory() -> None:
    net = InstanceHarness(limits={"memory_mb": 16})
    net.boot()
    caller, doc = net.caller(), "A" * 14_000
    for number in range(1, 500):
        ref = net.ask(caller, number, "book", k=f"key {number}")
        net.commands()
        net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg=doc)
        net.answers(caller)
    assert 1 << 20 < net.instance.facade.results_bytes <= 2 << 20


# ---- repeats


def test_a_repeat_read_in_the_turn_in_which_the_run_ends_shares_its_result() -> None:
    with stepped() as s:
        caller, _ = s.standing()
        again, _ = s.standing()
        ref = caller.ask("book", k="acct")
        s.runs(ref)
        s.kernel.done(ref, "b25l")
        again.ask("book", k="acct", r=1)  # both lie unread
        s.until("both answers", lambda: caller.by_id().get(1) and again.by_id().get(1))
        assert {caller.by_id()[1]["result"]["doc"], again.by_id()[1]["result"]["doc"]} == {"b25l"}
        assert len(s.kernel.commands("SCHED")) == 1


@pytest.mark.parametrize("open_still", [True, False])
@pytest.mark.parametrize("other", [{"doc": "b3RoZXI="}, {"t": "acme east"}])
def test_a_key_that_comes_with_another_body_or_tenant_gets_neither_a_result_nor_a_run(
    other: dict[str, Any], open_still: bool
) -> None:
    """As bad clients send it: what is served to them is lost to whoever owns it."""
    accounts = [*SAMPLE_CONFIG["settings"]["accounts"], {"name": "acme east"}]
    net = InstanceHarness(settings=SAMPLE_CONFIG["settings"] | {"accounts": accounts})
    net.boot()
    caller, bad = net.caller(), net.caller()
    ref = net.ask(caller, 1, "book", k="acct-1")
    net.commands()
    if open_still:
        net.ask(bad, 1, "book", k="acct-1", **other)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="b25l")
    if not open_still:
        net.ask(bad, 1, "book", k="acct-1", **other)
    [answer] = net.answers(bad)
    assert answer["error"]["message"] == "key of another request" and answer["error"]["code"] == -32000
    assert net.commands() == [] and net.log.codes("bad-message") == ["key of another request"]
    net.ask(caller, 2, "book", k="acct-1", r=1)
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["b25l"] * 2, "its own repeats are as before"


def test_a_key_first_used_by_one_that_the_kernel_does_not_know_is_free_for_its_owner() -> None:
    net = InstanceHarness()
    net.boot()
    bad, caller = net.caller(), net.caller()
    forged = net.ask(bad, 1, "book", k="acct-1", doc="b3RoZXI=")
    net.commands()
    net.tell(event="EINVAL", fate="SCHED", handle=forged)
    assert net.answers(bad)[0]["error"]["code"] == -32000
    ref = net.ask(caller, 1, "book", k="acct-1")
    assert [c["handle"] for c in net.commands()] == [ref]
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="b25l")
    assert net.answers(caller)[0]["result"]["doc"] == "b25l"


def test_a_repeat_after_its_first_try_was_taken_back_joins_the_run_that_goes_on() -> None:
    with stepped() as s:
        caller, ours = s.standing()
        ref = caller.ask("book", k="acct")
        s.runs(ref)
        caller.write(caller_revokes(1))
        s.until("the revoke", lambda: not ours.open)
        caller.ask("book", k="acct", r=1)
        s.until("the repeat", lambda: len(s.instance.jobs) == 2)
        s.kernel.done(ref, "b25l")
        s.until("its answer", lambda: caller.by_id().get(2))
        assert caller.by_id()[2]["result"]["doc"] == "b25l" and len(s.kernel.commands("SCHED")) == 1


def caller_revokes(number: int) -> bytes:
    body = orjson.dumps({"jsonrpc": "2.0", "method": "revoke", "params": {"id": number}})
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.mark.parametrize(("landed", "runs"), [(-0.02, 1), (0.02, 2)])
def test_a_repeat_at_the_end_of_a_short_window_goes_by_when_it_landed(landed: float, runs: int) -> None:
    """Read at the same time: what landed within the window never runs again, what landed after it may."""
    classes = [
        SAMPLE_CONFIG["settings"]["classes"][0],
        SAMPLE_CONFIG["settings"]["classes"][1] | {"keyTtl": 500_000},
    ]
    net = InstanceHarness(settings=SAMPLE_CONFIG["settings"] | {"classes": classes, "round": 0})
    net.boot()
    caller = net.caller()
    begun = net.instance.callers.unix()
    ref = net.ask(caller, 1, "book", k="acct")
    net.commands()
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="b25l")
    net.pass_time(0.54)
    net.ask(caller, 2, "book", k="acct", r=1, s=int((begun + 0.5 + landed) * 1_000))
    assert len([c for c in net.commands() if c["event"] == "SCHED"]) == runs - 1
    assert len(net.answers(caller)) == 3 - runs


def test_an_id_that_is_open_on_another_connection_runs_once_and_costs_the_first_nothing() -> None:
    with stepped() as s:
        caller, _ = s.standing()
        other, _ = s.standing()
        ref = caller.ask()
        s.runs(ref)
        other.ask(i=ref, doc="b3RoZXI=")
        s.until("the error", lambda: other.by_id().get(1))
        s.kernel.done(ref)
        s.until("the answer", lambda: caller.by_id().get(1))
        assert other.by_id()[1]["error"]["code"] == -32000 and "result" in caller.by_id()[1]
        assert len(s.kernel.commands("SCHED")) == 1


# ---- calls


@pytest.mark.parametrize(
    "piece", [b"", b"HTTP/1.1 200 OK\r\nConte", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nre"]
)
@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_reply_cut_anywhere_proves_nothing(piece: bytes, how: str) -> None:
    with stepped() as s:
        told: list[EndStatus] = []
        call = s.instance.ledger.call("0" * 16, 5_000_000, b"body")
        call.done.addCallback(lambda called: told.append(called.end))
        line = s.accepted(s.ledgers, Far)
        s.until("the call", lambda: line.pump().data.endswith(b"body"))
        line.write(piece)
        line.close() if how == "end" else line.reset()
        s.until("its end", lambda: told)
        assert told == [EndStatus.BROKEN] and s.instance.ledger.connections == 0


def test_a_reply_in_the_turn_of_its_time_out_is_told_once() -> None:
    with stepped() as s:
        told: list[EndStatus] = []
        call = s.instance.ledger.call("0" * 16, 50_000, b"body")
        call.done.addCallback(lambda called: told.append(called.end))
        line = s.accepted(s.ledgers, Far)
        s.until("the call", lambda: line.pump().data.endswith(b"body"))
        line.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
        end = s.reactor.seconds() + 0.06
        while s.reactor.seconds() < end:  # no turn of the loop: reply and time-out are both due then
            pass
        s.until("its end", lambda: told)
        s.turn(5)
        assert told in ([EndStatus.TIMED_OUT], [EndStatus.OK]) and s.instance.ledger.connections == 0


# ---- floods and late ones


def test_more_messages_than_a_turn_takes_with_the_end_behind_them_are_all_taken() -> None:
    with stepped() as s:
        caller, ours = s.standing()
        for _ in range(100):
            caller.check()
        s.until("all answers", lambda: len(caller.by_id()) == 100)
        refs = [caller.ask() for _ in range(20)]  # over a turn's share; the end comes with them
        caller.socket.shutdown(socket.SHUT_WR)
        s.until("its end", lambda: ours not in s.instance.callers.connections)
        s.until("the runs to be known as nobody's", lambda: not s.instance.facade.owed())
        assert len(refs) == 20 and not ours.open


# ---- the last moments before the kill


def test_the_process_ends_its_last_call_before_the_kill_and_no_look_later() -> None:
    """What happens: SIGKILL at `stop_ms` after the notice finds a process that has drained still there, in 3
    lives of 4 on a loaded machine. Why: it ended with the next of the looks at the drain, 0.05 s apart, so
    that of the 0.08 s before the kill 0.03 s were left; with nobody connected any more it waited 0.15 s for
    newcomers that could not come. What showed it: the log's `drain` `time-up` with `connections` 0, 0.017 to
    0.039 s before the kill."""
    for offset in (0.0, 0.013, 0.031, 0.049):
        net = InstanceHarness()
        net.boot()
        net.caller()  # never ends its own end
        ended: list[float] = []
        net.reactor.stop = lambda: ended.append(net.reactor.seconds())  # type: ignore[method-assign] # noqa: B023
        net.pass_time(offset, 0.001)
        net.instance.leave()
        kill_at = net.instance.kill_at
        net.pass_time(kill_at - net.reactor.seconds(), 0.001)
        assert ended and LAST_CALL - 0.002 <= kill_at - ended[0] <= LAST_CALL + 0.002


def test_the_process_ends_as_soon_as_all_streams_have_ended() -> None:
    with stepped(stop_ms=1_000) as s:
        caller, _ = s.standing()
        s.served(caller)
        s.instance.leave()
        s.until("the end of the stream", lambda: caller.pump().end)
        caller.close()
        s.until("the process's own end", lambda: s.ended)
        assert s.reactor.seconds() < s.instance.kill_at - LAST_CALL
        assert s.log.codes("drain")[-1] == "done"


def test_the_kill_follows_the_signal_and_not_the_turn_in_which_it_is_taken() -> None:
    """The signal's handler runs within a turn of the loop, and what it asks for in the next one."""
    net = InstanceHarness()
    net.boot()
    instance = net.instance
    instance.noticed(signal.SIGHUP)
    signalled = net.reactor.seconds()
    instance.noticed(signal.SIGTERM)
    net.reactor.rightNow += 0.4  # the turn goes on
    instance.noticed(signal.SIGINT)
    instance.leave()
    stop = SAMPLE_CONFIG["stop_ms"] / 1_000
    assert instance.kill_at == pytest.approx(signalled + stop)
    brain = instance.facade.brain
    assert brain.leave_at == pytest.approx(signalled * 1e6, abs=10)
    assert brain.stop_at == pytest.approx((signalled + stop) * 1e6, abs=10)
