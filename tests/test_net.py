"""The real protocols over transports in memory: a txn's way, and what peers and links can do to it."""

import ast
import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any, ClassVar

import orjson
import pytest
from helpers import SAMPLE, Net
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from limeridge.facade import End
from limeridge.net.callers import (
    BLAME_MOST,
    HEAD_MOST,
    OPEN_MOST,
    STRANGERS,
    TURN,
    UNREAD_MOST,
    Frames,
    Rejected,
    frame,
)
from limeridge.net.log import MOST, Log
from limeridge.peers.gate import Gate

ROOT = Path(__file__).parent.parent / "limeridge"
ROOMY = SAMPLE["settings"] | {"familyInfo": SAMPLE["settings"]["familyInfo"] | {"callsOut": 40.0}}
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply"


def booted(**changes: Any) -> Net:
    net = Net(**changes)
    assert net.boot() == [{"event": "OPEN", "cursor": 0}]
    return net


def at_call(net: Net) -> tuple[Any, str, Any]:
    """A txn whose run is at a call that is out: its caller, its ref, the connection of the call."""
    caller = net.caller()
    ref = net.ask(caller, 1)
    net.commands()
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    return caller, ref, net.connect("127.0.1.2")


def error(answers: list[dict[str, Any]]) -> dict[str, Any]:
    assert len(answers) == 1, answers
    return dict(answers[0]["error"])


def test_a_whole_txn_with_a_call() -> None:
    net = booted()
    caller, ref, line = at_call(net)
    head, _, body = line.transport.sent().partition(b"\r\n\r\n")
    assert head.startswith(b"POST /records/op HTTP/1.1\r\n") and body == b"call"
    fields = dict(field.split(b": ") for field in head.split(b"\r\n")[1:])
    assert fields[b"Op-Of"] == ref.encode() and 0 < int(fields[b"Op-Wait-Ms"]) <= 1_000
    for part in (REPLY[:20], REPLY[20:]):
        line.dataReceived(part)
    assert net.commands() == [{"event": "IODONE", "handle": ref, "arg": "cmVwbHk="}]
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="ZG9uZQ==")
    [answer] = net.answers(caller)
    assert (answer["id"], answer["result"]["doc"]) == (1, "ZG9uZQ==") and answer["result"]["v"] >= 0
    assert not net.instance.jobs and not net.instance.facade.open and net.instance.callers.held == 0
    assert caller.transport.no_delay and net.link.transport.no_delay


@pytest.mark.parametrize(
    ("before", "behind"),
    [(b"", REPLY), (b"", b"\x00noise"), (b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" * 2, b"")],
)
def test_a_good_reply_is_used_whatever_stands_round_it_and_meets_no_other_call(
    before: bytes, behind: bytes
) -> None:
    net = booted()
    _, ref, line = at_call(net)
    line.dataReceived(before + REPLY + behind)
    assert net.commands() == [{"event": "IODONE", "handle": ref, "arg": "cmVwbHk="}]
    assert line.transport.disconnected
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    line.dataReceived(REPLY)  # a copy that comes late
    assert net.commands() == [] and net.connect("127.0.1.2").transport.sent().startswith(b"POST")


def test_a_call_broken_on_its_way_is_made_again_where_nothing_can_happen_twice() -> None:
    for product, told in (("look", ["NOIO"]), ("book", [])):
        net = booted(settings=ROOMY)
        caller = net.caller()
        ref = net.ask(caller, 1, product)
        net.commands()
        net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
        tries = 0
        while net.reactor.advance(0) or any(c[0] == "127.0.1.2" for c in net.reactor.tcpClients):
            line, tries = net.connect("127.0.1.2"), tries + 1
            assert line.transport.sent().startswith(b"POST")
            line.dataReceived(b"\x16\x03noise" if tries == 1 else b"HTTP/1.1 200 OK\r\n" + b"a" * 9_000)
            net.pass_time(0.01)
        assert tries == (3 if told else 1)
        assert [c["event"] for c in net.commands() if c["event"] in ("NOIO", "IODONE")] == told


def test_calls_beyond_the_bound_wait_and_an_old_address_is_not_insisted_on() -> None:
    net = booted()
    ledger = net.instance.ledger
    calls = [ledger.call(f"{n:016x}", 500_000, b"") for n in range(ledger.most + 2)]
    told: list[End] = []
    for call in calls:
        call.done.addCallback(lambda called: told.append(called.end))
    assert len(net.reactor.tcpClients) == ledger.connections == ledger.most
    first = net.connect("127.0.1.2")
    net.file |= MOVED
    net.instance.reload()
    first.dataReceived(REPLY)
    net.lose(first)
    assert told == [End.OK] and net.reactor.tcpClients[-1][0] == "127.0.3.2"
    at = next(c for c in net.reactor.tcpClients if c[0] == "127.0.1.2")
    at[2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert told == [End.OK] and net.reactor.tcpClients[-1][0] == "127.0.3.2"
    net.pass_time(0.6)
    assert told[1:] == [End.UNREACHED] * (ledger.most + 1)


def test_a_share_that_lapses_holds_calls_back_up_to_the_last_moment() -> None:
    net = booted()
    ledger, share, told = net.instance.ledger, [2], []
    gate = ledger.gate = Gate(lambda: share[0], lambda: int(net.reactor.seconds() * 1e6), linger=200_000)

    def call() -> Any:
        made = ledger.call("0" * 16, 500_000, b"")
        made.done.addCallback(lambda called: told.append(called.end))
        return made

    calls = [call() for _ in range(3)]
    assert told == [End.FULL], "no room for a third: nothing was opened for it"
    share[0] = 1  # while the connections were being opened
    line = net.connect("127.0.1.2")
    assert (line.transport.sent(), told[1:]) == (b"", [End.UNREACHED]), "never sent, and proved so"
    net.lose(line)
    assert net.log.codes("ledger-end") == ["share-lapsed"]
    line = net.connect("127.0.1.2")
    assert line.transport.sent().startswith(b"POST")
    calls[0].abandon()
    net.lose(line)
    assert (gate.in_flight(), ledger.connections) == (1, 0), "left behind: the ledger may still work on it"
    assert (call(), told[-1])[1] is End.FULL
    net.pass_time(0.2)
    call()
    assert (gate.in_flight(), ledger.connections) == (1, 1)


def test_members_are_started_told_of_the_drain_and_stopped_and_their_share_reaches_the_brain() -> None:
    class Members:
        gate = Gate(lambda: 3, lambda: 0, 0)
        heard: ClassVar[list[str]] = []
        calls = 3

        def share(self) -> int:
            return self.calls

        def __getattr__(self, name: str) -> Any:
            return lambda: self.heard.append(name)

    net, members = booted(), Members()
    instance = net.instance
    instance.join(members)
    assert instance.facade.brain.call_most == 3 and instance.ledger.gate is members.gate
    members.calls = 1
    net.pass_time(0.2)
    assert instance.facade.brain.call_most == 1
    instance.leave()
    assert members.heard == ["leave"]
    net.pass_time(4.0)
    assert members.heard == ["leave", "stop"]


def test_a_run_declined_in_the_hold_tells_when_to_come_back() -> None:
    net = booted()
    caller = net.caller()
    refs = [net.ask(caller, number) for number in range(1, 9)]
    assert [c["handle"] for c in net.commands()] == refs[:2]
    net.pass_time(0.4)
    declined = [answer["error"] for answer in net.answers(caller)]
    assert declined and all(e["code"] == -32008 for e in declined)
    assert all(0 <= e["data"].get("w", 0) <= 1_000 for e in declined)


def test_a_link_lost_in_mid_run_is_taken_up_at_the_cursor() -> None:
    net = booted()
    caller = net.caller()
    first, second = net.ask(caller, 1), net.ask(caller, 2)
    net.commands()
    net.tell(event="DMESG", cursor=None, fate="hello")
    net.lose(net.link, clean=False)
    third = net.ask(caller, 3, h=1.0)  # picked while no link stands, if it may run at all
    net.pass_time(0.1)
    again = [{"event": "REAP", "cursor": 2, "handle": first, "fate": "ok", "lasted": 5, "arg": "eA=="}]
    assert net.boot(again=again) == [{"event": "OPEN", "cursor": 1}]
    resent = [(c["event"], c["handle"]) for c in net.commands()]
    assert ("SCHED", second) in resent and ("SCHED", first) not in resent
    assert len(resent) == len(set(resent)) and {handle for _, handle in resent} <= {second, third}
    assert [a["id"] for a in net.answers(caller)] == [1]
    net.cursor = 2
    net.tell(event="EINVAL", fate="IODONE", handle=second)  # carried out before the break
    net.tell(event="REAP", cursor=None, handle=second, fate="ok", lasted=5, arg="eQ==")
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["eQ=="]


def test_what_the_kernel_can_get_wrong_costs_no_other_txn() -> None:
    net = booted()
    caller = net.caller()
    ref = net.ask(caller, 1)
    net.commands()
    for line in (
        b"nonsense",
        b'{"event":"NEW"}',
        b'{"event":"REAP","cursor":1,"handle":"ff","fate":"ok"}',
        b'{"event":"REAP","cursor":1,"handle":"%b","fate":"failed"}' % ref.encode(),
    ):
        net.link.dataReceived(line + b"\n")
    assert net.answers(caller) == []  # a cursor already seen
    assert net.log.codes("link-fault") == ["unreadable", "unreadable", "unknown-handle", "seen"]
    net.tell(event="EINVAL", fate="SCHED", handle=ref)
    assert error(net.answers(caller))["code"] not in (0, -32008)
    net.link.dataReceived(b"x" * 70_000)
    assert net.link.transport.disconnected


def test_a_gap_in_the_notices_is_asked_for_once_more() -> None:
    net = booted()
    net.tell(event="DMESG", cursor=3, fate="")
    assert net.link.transport.disconnected and "gap" in net.log.codes("link-fault")
    net.pass_time(0.1)
    assert net.boot(again=[{"event": "DMESG", "cursor": 3, "fate": ""}]) == [{"event": "OPEN", "cursor": 0}]
    assert net.instance.kernel.cursor == 3 and net.instance.kernel.ready


@pytest.mark.parametrize("how", ["refused", "broken", "malformed", "late", "full"])
def test_a_call_that_fails_goes_as_the_brain_wants(how: str) -> None:
    net = booted(settings=ROOMY)
    if how == "refused":
        caller, _ref = net.caller(), ""
        net.tell(event="IOREQ", cursor=None, handle=net.ask(caller, 1), arg="")
        net.reactor.advance(0)
        factory = net.reactor.tcpClients.pop()[2]
        factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    else:
        caller, _ref, line = at_call(net)
        if how == "broken":
            line.dataReceived(REPLY[:30])
            net.lose(line)
            for _ in range(2):
                net.lose(net.connect("127.0.1.2"))
        elif how == "malformed":
            line.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nreply")
            for _ in range(2):
                net.connect("127.0.1.2").dataReceived(b"noise")
        elif how == "full":
            line.dataReceived(b"HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            net.pass_time(1.1)
            assert line.transport.disconnected
            line.dataReceived(REPLY)  # too late to be anybody's
    # An inquiry-like txn with a value without the call goes on without it once a call failed.
    assert [c["event"] for c in net.commands() if c["event"] in ("NOIO", "IODONE")] == ["NOIO"]
    assert net.instance.ledger.connections <= 3


def test_a_ledger_that_refuses_at_once_is_not_asked_without_end() -> None:
    net = booted()
    caller = net.caller()
    net.tell(event="IOREQ", cursor=None, handle=net.ask(caller, 1, "book", k="a"), arg="")
    tried = 0
    for _ in range(500):
        for client in [client for client in net.reactor.tcpClients if client[0] == "127.0.1.2"]:
            net.reactor.tcpClients.remove(client)
            client[2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
            tried += 1
        net.pass_time(0.001, 0.001)
        net.commands()
    assert 4 <= tried <= 11


def test_a_run_that_ends_while_it_waits_for_a_call_is_answered_at_once() -> None:
    net = booted()
    caller = net.caller()
    ref = net.ask(caller, 1, "book", k="a")
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="")
    net.reactor.advance(0)
    net.reactor.tcpClients.pop()[2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    net.tell(event="REAP", cursor=None, handle=ref, fate="failed", lasted=5)
    assert error(net.answers(caller))["message"] == "run failed" and not net.instance.jobs


def test_half_a_message_does_not_hold_a_place_for_ever() -> None:
    net = booted()
    stranger, silent, usual = net.caller(), net.caller(), net.caller()
    ref = net.ask(usual, 1)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="eA==")
    for _ in range(6):
        for caller in (stranger, usual):
            caller.dataReceived(b"C" if not caller.frames.begun else b"o")
        net.pass_time(0.5, 0.1)
    assert all(caller.transport.disconnecting for caller in (stranger, silent, usual))
    assert [caller.code for caller in (stranger, silent, usual)] == ["silent", "silent", "half-message"]


def test_a_crowd_that_says_nothing_takes_no_usual_caller_s_place() -> None:
    net = booted()
    callers = net.instance.callers
    usual = net.caller()
    ref = net.ask(usual, 1, d=1e6)
    for _ in range(callers.most):
        net.caller()
        net.pass_time(0.001, 0.001)
    assert len(callers.strangers) <= callers.most // STRANGERS + 0.05 / 0.001
    late = net.caller()
    net.ask(late, 1)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="eA==")
    assert net.answers(usual)[0]["result"] and not usual.transport.disconnecting
    resting = [net.caller() for _ in range(callers.most)]
    for caller in resting:
        net.send(caller, jsonrpc="2.0", id=1, method="heartbeat")
    net.pass_time(0.1)
    net.caller()
    assert len(callers.connections) <= callers.most and late in callers.connections


def test_one_that_asks_for_what_can_t_be_served_again_and_again_is_done_with() -> None:
    net = booted()
    wrong = net.caller()
    net.ask(wrong, 1)
    net.commands()
    for number in range(2, 40):
        net.ask(wrong, number, "unheard-of")
    net.pass_time(0.05)
    assert len(net.answers(wrong)) == BLAME_MOST // 2 and not wrong.transport.disconnecting
    net.pass_time(3.2)  # what was read before is answered, then it ends
    assert wrong.transport.disconnecting and wrong.code == "nothing-served"
    usual, wavering = net.caller(), net.caller()
    for number in range(1, 100):
        ref = net.ask(usual, 2 * number)
        net.ask(usual, 2 * number + 1, "unheard-of")
        net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="eA==")
        net.tell(event="REAP", cursor=None, handle=net.ask(wavering, number), fate="failed", lasted=30)
        net.commands()
        net.pass_time(0.01)
        if wavering.transport.disconnecting:
            break
        assert (wavering.farewell_at is not None) == (number >= BLAME_MOST // 2)
    assert usual.code == "" and number == BLAME_MOST


def test_a_flood_on_one_connection_leaves_others_their_turn() -> None:
    net = booted()
    flood = net.caller()
    one = frame(orjson.dumps({"jsonrpc": "2.0", "id": 1, "method": "heartbeat"}))
    flood.dataReceived(one * 100)
    assert len(list(Frames().feed(flood.transport.sent()))) == TURN
    assert flood.transport.producerState == "paused"
    net.pass_time(0.1)
    assert len(net.answers(flood)) == 100 - TURN and flood.transport.producerState == "producing"
    for number in range(1, 200):
        net.ask(flood, number)
        net.send(flood, jsonrpc="2.0", method="revoke", params={"id": number})
    assert flood.transport.disconnecting and flood.code == "taken-back"


@pytest.mark.parametrize("params", [{"id": 1}, {"i": "REF"}])
def test_a_run_over_before_its_call_gives_the_call_up(params: dict[str, Any]) -> None:
    net = booted()
    caller, ref, line = at_call(net)
    net.send(caller, jsonrpc="2.0", method="revoke", params=params if "id" in params else {"i": ref})
    net.tell(event="REAP", cursor=None, handle=ref, fate="halted", lasted=5)
    net.reactor.advance(0)
    assert line.transport.disconnected and net.answers(caller) == [] and not net.instance.jobs


def test_drain_says_farewell_answers_all_and_ends() -> None:
    net = booted()
    stopped: list[bool] = []
    net.reactor.stop = lambda: stopped.append(True)  # type: ignore[method-assign]
    busy, idle = net.caller(), net.caller()
    ref = net.ask(busy, 1)
    net.pass_time(0.6)
    assert net.reactor.reports and set(net.reactor.reports) == {b"HERE n1 on"}
    net.instance.leave()
    net.instance.leave()
    assert net.log.codes("drain") == ["begun", "again"] and net.reactor.reports.pop() == b"HERE n1 off"
    early = net.caller()  # it has not heard yet, and what comes within the grace still runs
    soon = net.ask(early, 1)
    net.pass_time(0.1)
    assert [c["handle"] for c in net.commands()] == [ref, soon] and net.answers(idle) == []
    net.tell(event="REAP", cursor=None, handle=soon, fate="ok", lasted=5, arg="eA==")
    assert net.answers(early)[0]["result"]["v"] > 0 and not net.instance.shut
    net.pass_time(0.18)
    assert [m.get("method") for c in (idle, busy, early) for m in net.answers(c)] == ["farewell"] * 3
    net.lose(idle)
    net.lose(early)
    crossing = net.ask(busy, 2)  # on its way when the farewell was said
    assert [c["handle"] for c in net.commands()] == [crossing]
    net.pass_time(1.0)
    late = net.caller()
    net.ask(late, 1)
    assert [m.get("method") or m["error"]["code"] for m in net.answers(late)] == ["farewell", -32008]
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    assert not stopped and net.answers(busy)[-1]["result"]["doc"] == "eA=="
    net.pass_time(2.2)
    assert len(net.answers(busy)) == 1 and stopped and not net.instance.facade.owed()
    assert net.reactor.reports[-1] == b"HERE n1 on" and net.log.codes("drain")[-1] == "time-up"


def test_a_drained_instance_ends_as_soon_as_all_have_gone() -> None:
    net = booted()
    stopped: list[bool] = []
    net.reactor.stop = lambda: stopped.append(True)  # type: ignore[method-assign]
    caller = net.caller()
    net.instance.leave()
    net.pass_time(0.5)
    assert not stopped
    net.lose(caller)
    net.pass_time(0.5)
    assert stopped and net.log.codes("drain")[-1] == "done"
    assert net.log.codes("connection-end") == ["farewell"]


def test_a_peer_that_does_not_read_is_bounded_and_costs_itself_alone() -> None:
    net = booted()
    caller, other = net.caller(), net.caller()
    caller.pauseProducing()
    for _ in range(UNREAD_MOST // 50):
        net.send(caller, jsonrpc="2.0", id=1, method="heartbeat")
    assert caller.transport.disconnected
    assert net.instance.callers.unread <= UNREAD_MOST + 200
    net.lose(caller)
    assert net.log.codes("connection-end") == ["unread"] and net.instance.callers.unread == 0
    other.pauseProducing()
    net.send(other, jsonrpc="2.0", id=1, method="heartbeat")
    assert net.answers(other) == []
    other.resumeProducing()
    assert net.answers(other)[0]["result"]["ready"] is True


def test_bad_messages_are_answered_and_bad_frames_end_their_connection() -> None:
    net = booted()
    caller, other = net.caller(), net.caller()
    for body, code in (
        (b"{", -32700),
        (b"[]", -32600),
        (b'{"jsonrpc":"2.0","id":1}', -32600),
        (b'{"jsonrpc":"2.0","id":0,"method":"look"}', -32600),
    ):
        caller.dataReceived(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        assert error(net.answers(caller))["code"] == code
    for number, (method, fields, code) in enumerate(
        [
            ("nothing", {}, -32601),
            ("look", {"t": "nobody"}, -32602),
            ("look", {"doc": "*"}, -32602),
            ("look", {"doc": "A" * 2_800}, -32602),
            ("look", {"i": "xyz"}, -32602),
            ("look", {"m": 2_001}, -32602),
            ("look", {"s": "now"}, -32602),
            ("look", {"d": 1e12}, -32602),
        ],
        1,
    ):
        net.ask(caller, number, method, **fields)
        [answer] = net.answers(caller)
        assert (answer["id"], answer["error"]["code"]) == (number, code)
    net.ask(caller, 20)
    net.ask(caller, 20)
    [answer] = net.answers(caller)
    assert answer["id"] is None and answer["error"]["code"] == -32600
    caller.dataReceived(b"x" * HEAD_MOST)
    assert not caller.transport.disconnecting  # txn 20 was read before, and is owed its answer
    net.tell(event="REAP", cursor=None, handle=net.commands()[0]["handle"], fate="ok", lasted=5, arg="eA==")
    assert net.answers(caller)[0]["id"] == 20 and caller.transport.disconnecting
    net.lose(caller)
    assert net.log.codes("connection-end") == ["bad-head"]
    ref = net.ask(other, 1)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    assert net.answers(other)[0]["result"]["doc"] == "eA=="


def test_no_more_than_so_many_are_open_on_a_connection() -> None:
    net = booted()
    caller = net.caller()
    for number in range(1, OPEN_MOST + 2):
        net.ask(caller, number, d=60_000)
    answers = net.answers(caller)
    assert [a["id"] for a in answers if "more than" in a["error"]["message"]] == [OPEN_MOST + 1]


def test_a_defect_in_one_txns_path_answers_that_txn_alone() -> None:
    net = booted()
    caller = net.caller()
    start = net.instance.kernel.start
    net.instance.kernel.start = lambda *_: 1 / 0  # type: ignore[assignment, method-assign]
    ref = net.ask(caller, 1)
    assert error(net.answers(caller))["code"] not in (0, -32008)
    assert net.log.codes("txn-fault") == ["exception"]
    net.instance.kernel.start = start  # type: ignore[method-assign]
    net.tell(event="REAP", cursor=None, handle=ref, fate="void")  # nothing is left of it
    net.reactor.advance(0)
    assert not net.instance.facade.open
    ref = net.ask(caller, 2)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    assert net.answers(caller)[0]["id"] == 2


def test_a_defect_in_the_brain_ends_neither_the_instance_nor_other_txns() -> None:
    net = booted()
    caller, other = net.caller(), net.caller()
    net.ask(caller, 1)
    net.reactor.advance(0)
    brain = net.instance.facade.brain
    broken, brain._run_held = brain._run_held, lambda: iter([1 / 0])  # type: ignore[assignment, method-assign]
    net.ask(other, 1)
    net.reactor.advance(0)
    brain.caller_gone = lambda *_: 1 / 0  # type: ignore[assignment, method-assign]
    net.lose(caller)
    assert net.log.codes("brain-fault") and not net.answers(other)
    brain._run_held = broken  # type: ignore[method-assign]
    net.pass_time(0.1)
    assert [c["event"] for c in net.commands()] == ["SCHED", "SCHED"]


def test_what_a_defect_kept_from_being_decided_is_decided_soon_with_no_other_event() -> None:
    net = booted()
    brain = net.instance.facade.brain
    broken, brain._run_held = brain._run_held, lambda: iter([1 / 0])  # type: ignore[assignment, method-assign]
    net.ask(net.caller(), 1)
    assert net.commands() == [] and net.log.codes("brain-fault")
    brain._run_held = broken  # type: ignore[method-assign]
    net.pass_time(0.1)
    assert [c["event"] for c in net.commands()] == ["SCHED"]


def test_a_repeat_gets_the_kept_result_of_the_one_run() -> None:
    net = booted()
    caller = net.caller()
    first = net.ask(caller, 1, "book", k="acct-1")
    joined = net.ask(caller, 2, "book", k="acct-1")
    assert [c["handle"] for c in net.commands()] == [first] and joined != first
    net.tell(event="REAP", cursor=None, handle=first, fate="ok", lasted=5, arg="eA==")
    net.ask(caller, 3, "book", k="acct-1", r=1)
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["eA=="] * 3 and net.commands() == []


def test_unix_time_that_steps_loses_and_delays_nothing() -> None:
    net = booted()
    caller = net.caller()
    told = int(net.unix * 1_000)
    net.unix -= 7.0
    net.ask(caller, 1, s=told, d=2_000)
    entry = next(iter(net.instance.facade.open.values()))
    assert 1_900_000 <= entry.txn.due - net.instance.facade.now() <= 2_000_000
    net.pass_time(2.1)
    assert len(net.answers(caller)) == 1


def test_after_a_pause_of_the_machine_the_brain_answers_and_not_the_guard() -> None:
    net = booted()
    caller = net.caller()
    for number in range(1, 6):
        net.ask(caller, number)
    net.reactor.advance(9.0)
    net.pass_time(0.1)
    assert {a["error"]["code"] for a in net.answers(caller)} == {-32008}
    assert not net.log.codes("overdue") and not net.instance.facade.owed()


def test_a_txn_that_the_brain_forgets_is_answered_by_the_guard() -> None:
    net = booted()
    caller = net.caller()
    net.ask(caller, 1)
    net.instance.facade.brain.books.dues.clear()
    net.pass_time(3.5)
    assert error(net.answers(caller))["message"] == "overdue" and net.log.codes("overdue") == ["guard"]


def test_the_kernel_may_come_late_and_the_ledger_never() -> None:
    net = Net()
    caller = net.caller()
    net.send(caller, jsonrpc="2.0", id=1, method="heartbeat")
    assert net.answers(caller)[0]["result"]["ready"] is False
    for _ in range(5):
        net.reactor.tcpClients.pop()[2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        net.pass_time(1.1)
    assert not net.reactor.reports
    net.boot()
    net.send(caller, jsonrpc="2.0", id=2, method="heartbeat")
    net.pass_time(0.6)
    assert net.answers(caller)[0]["result"]["ready"] is True and net.reactor.reports
    net.reactor.reports.clear()
    net.lose(net.link, clean=False)  # and not come back
    net.pass_time(2.0)
    net.reactor.reports.clear()
    net.send(caller, jsonrpc="2.0", id=3, method="heartbeat")
    net.pass_time(1.0)
    assert net.answers(caller)[0]["result"]["ready"] is False and not net.reactor.reports


def test_a_deep_check_asks_whether_work_gets_done_where_nothing_shows_it() -> None:
    net = booted()
    caller = net.caller()
    net.send(caller, jsonrpc="2.0", id=1, method="heartbeat", params={"x": True})
    [post] = net.commands()
    assert post["event"] == "POST" and net.answers(caller) == []
    net.tell(event="POSTED", ticket=post["ticket"], fate="failed")
    assert net.answers(caller)[0]["result"]["ready"] is False
    ref = net.ask(caller, 2)
    net.commands()
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    net.answers(caller)
    net.send(caller, jsonrpc="2.0", id=3, method="heartbeat", params={"x": True})
    assert net.answers(caller)[0]["result"]["ready"] is True and net.commands() == []


def test_connections_past_the_bound_are_turned_away_and_old_ones_stay() -> None:
    net = booted(limits={"sockets": 128})
    callers = [net.caller() for _ in range(net.instance.callers.most)]
    rejected = net.caller()
    assert isinstance(rejected, Rejected) and rejected.transport.disconnected
    net.lose(rejected)
    assert net.log.codes("connection-end") == ["full"] and not any(c.transport.disconnected for c in callers)


def test_bodies_in_hand_are_bounded() -> None:
    net = booted()
    net.instance.callers.held_most = 5_000
    caller = net.caller()
    net.ask(caller, 1)
    net.ask(caller, 2)
    assert [(a["id"], a["error"]["code"]) for a in net.answers(caller)] == [(2, -32008)]


def test_idle_connections_get_a_farewell_first() -> None:
    net = booted()
    caller = net.caller()
    net.instance.facade.idle_limit = 500_000
    net.pass_time(0.7)
    assert net.answers(caller)[0]["method"] == "farewell" and not caller.transport.disconnecting
    net.pass_time(1.2)
    assert caller.transport.disconnecting
    net.pass_time(1.2)
    assert caller.transport.disconnected  # it does not read, or it would be closed by now


def test_the_log_is_one_bounded_json_line_an_event() -> None:
    out, sink = os.pipe()
    now = [0.0]
    log = Log("n1", sink, lambda: now[0])
    for _ in range(3 * MOST):
        log.event("link-fault", "seen")
    log.fault("txn-fault", ValueError("two\nlines"))
    now[0] = 60.0
    log.event("later")
    lines = [orjson.loads(line) for line in os.read(out, 1 << 20).splitlines()]
    assert len(lines) == MOST + 3 and lines[-2] | {"t": 0} == {
        "t": 0,
        "who": "n1",
        "event": "held-back",
        "code": "seen",
        "of": "link-fault",
        "lines": 2 * MOST,
    }
    while not log.dropped:  # nobody reads: it neither blocks nor raises
        log.event(f"more-{now[0]}", "code", text="x" * 1_000)
        now[0] += 1
    os.close(out)
    os.close(sink)


def names_in(path: Path) -> set[str]:
    tree = ast.parse(path.read_text())
    found = {a.name for node in ast.walk(tree) if isinstance(node, ast.Import) for a in node.names}
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            found |= {f"{node.module}", *(f"{node.module}.{a.name}" for a in node.names)}
    return found


def test_the_net_knows_nothing_of_the_brain() -> None:
    for path in (ROOT / "net").glob("*.py"):
        assert not {
            name
            for name in names_in(path)
            if name.startswith(
                ("limeridge.brain", "limeridge.interface", "limeridge.records", "limeridge.simhost")
            )
        }, path
    for path in (ROOT / "simhost").glob("*.py"):
        assert not {n for n in names_in(path) if n.startswith(("limeridge.net", "limeridge.facade"))}, path


MOVED = {"kernel": "127.0.3.1:7301", "records": "127.0.3.2:8901", "roster": "127.0.3.3:7947"}


def test_new_addresses_are_taken_up_and_runs_go_on() -> None:
    net = booted()
    caller, ref, line = at_call(net)
    old, net.cursor = net.link, 1
    net.file |= MOVED | {"listen": "127.0.0.1:9999"}
    net.instance.reload()
    assert net.log.lines[-1]["moved"] == ["kernel", "ledger", "node_list"]
    assert net.log.lines[-1]["needs_restart"] == ["listen"]
    assert net.reactor.reported_to == ("127.0.3.3", 7947)
    net.tell(event="DMESG", cursor=None, fate="")  # the old link is read until the new one stands
    line.dataReceived(REPLY)  # and a call that is out ends where it is
    net.link = net.connect("127.0.3.1")
    assert [c["cursor"] for c in net.commands()] == [2] and old.transport.disconnecting
    net.lose(old)
    old.dataReceived(b'{"event":"DMESG","cursor":3,"fate":""}\n')
    assert net.instance.kernel.link is net.link and net.instance.kernel.cursor == 2
    net.tell(event="BOOTED", fate="warm", lasted=60_000)
    net.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
    assert net.commands() == [{"event": "NOIO", "handle": ref, "cursor": 1}]  # the reply names no call
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    assert net.connect("127.0.3.2").transport.sent().startswith(b"POST")
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="ZG9uZQ==")
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["ZG9uZQ=="]
    net.pass_time(3.0)
    assert not [c for c in net.reactor.tcpClients if c[0] == "127.0.1.1"]


def test_a_file_that_can_t_be_used_changes_nothing_and_is_read_again() -> None:
    net = booted()
    good, net.file = net.file | MOVED, net.file | {"records": "nowhere"}
    net.instance.reload()
    assert net.log.codes("reload") == ["unusable"] and "records" in net.log.lines[-1]["why"]
    assert net.instance.ledger.host == "127.0.1.2"
    net.file = good
    net.pass_time(0.6)
    assert net.log.codes("reload") == ["unusable", "taken"] and net.instance.ledger.host == "127.0.3.2"
    net.file = {}
    net.instance.reload()
    net.pass_time(10.0)
    assert net.log.codes("reload").count("unusable") == 8


def test_a_try_to_link_that_an_address_has_outrun_comes_to_nothing() -> None:
    net = Net()
    net.file |= MOVED
    net.instance.reload()
    late = net.connect("127.0.1.1")
    assert late.transport.disconnected and net.instance.kernel.link is None
    net.lose(late)
    net.connect("127.0.3.1")
    net.pass_time(2.0)
    assert net.instance.kernel.link is not None and not net.reactor.tcpClients


def test_a_short_break_of_the_link_is_no_ill_health() -> None:
    net = booted()
    net.lose(net.link, clean=False)
    caller = net.caller()
    for deep, (wait, ready) in enumerate([(0.1, True), (0.1, True), (1.5, False)]):
        net.reactor.reports.clear()
        net.pass_time(wait)
        net.send(caller, jsonrpc="2.0", id=deep + 1, method="heartbeat", params={"x": deep == 1})
        assert [a["result"]["ready"] for a in net.answers(caller)] == [ready]
    net.reactor.reports.clear()
    net.pass_time(1.0)
    assert not net.reactor.reports


def test_a_notice_of_new_configuration_does_not_end_a_process_that_is_starting(tmp_path: Path) -> None:
    """The real process: SIGHUP from its first statement on; its configuration is a pipe, so it waits."""
    os.mkfifo(tmp_path / "config")
    child = subprocess.Popen(
        [sys.executable, "-m", "limeridge"],
        stderr=subprocess.PIPE,
        cwd=ROOT.parent,
        env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "config")},
    )
    config, until = -1, time.monotonic() + 20
    while config < 0 and child.poll() is None and time.monotonic() < until:
        with suppress(OSError):  # nobody reads yet
            config = os.open(tmp_path / "config", os.O_WRONLY | os.O_NONBLOCK)
        time.sleep(0.01)
    child.send_signal(signal.SIGHUP)
    os.write(config, b"{}")
    os.close(config)
    _, told = child.communicate(timeout=20)
    assert child.returncode == 2 and b"seed" in told


def test_the_brain_is_asked_once_for_all_that_a_turn_of_the_loop_reads() -> None:
    net = booted(settings=ROOMY)
    brain, passes = net.instance.facade.brain, []
    decisions = brain._decisions
    brain._decisions = lambda: (passes.append(1), decisions())[1]  # type: ignore[method-assign]
    callers = [net.caller() for _ in range(20)]
    for number, caller in enumerate(callers, 1):
        net.ask(caller, number)
    assert [c["event"] for c in net.commands()] == ["SCHED", "SCHED"] and 0 < len(passes) <= 3
