"""The real protocols over in-memory transports: the handling of a txn, and failures of peers and links."""

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
from helpers import SAMPLE_CONFIG, InstanceHarness
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from limeridge.facade import EndStatus
from limeridge.net.callers import (
    AWAITING_REQUEST_DIVISOR,
    MAX_ERROR_SCORE,
    MAX_HEADER_BYTES,
    MAX_OPEN_TXNS,
    MAX_UNREAD_BYTES,
    MESSAGES_PER_ITERATION,
    FrameParser,
    RejectedConnection,
    encode_frame,
)
from limeridge.net.log import MAX_LINES_PER_WINDOW, Log
from limeridge.peers.gate import Gate

ROOT = Path(__file__).parent.parent / "limeridge"
SETTINGS_WITH_MANY_CALLS = SAMPLE_CONFIG["settings"] | {
    "familyInfo": SAMPLE_CONFIG["settings"]["familyInfo"] | {"callsOut": 40.0}
}
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply"


def boot_net(**changes: Any) -> InstanceHarness:
    net = InstanceHarness(**changes)
    assert net.boot() == [{"event": "OPEN", "cursor": 0}]
    return net


def start_call(net: InstanceHarness) -> tuple[Any, str, Any]:
    """A txn whose run waits for a call: its caller, its ref, and the connection of the call."""
    caller = net.caller()
    ref = net.ask(caller, 1)
    net.commands()
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    return caller, ref, net.connect("127.0.1.2")


def single_error(answers: list[dict[str, Any]]) -> dict[str, Any]:
    assert len(answers) == 1, answers
    return dict(answers[0]["error"])


def test_txn_with_a_call_is_served() -> None:
    net = boot_net()
    caller, ref, call_connection = start_call(net)
    head, _, body = call_connection.transport.sent().partition(b"\r\n\r\n")
    assert head.startswith(b"POST /records/op HTTP/1.1\r\n") and body == b"call"
    fields = dict(field.split(b": ") for field in head.split(b"\r\n")[1:])
    assert fields[b"Op-Of"] == ref.encode() and 0 < int(fields[b"Op-Wait-Ms"]) <= 1_000
    for part in (REPLY[:20], REPLY[20:]):
        call_connection.dataReceived(part)
    assert net.commands() == [{"event": "IODONE", "handle": ref, "arg": "cmVwbHk="}]
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="ZG9uZQ==")
    [answer] = net.answers(caller)
    assert (answer["id"], answer["result"]["doc"]) == (1, "ZG9uZQ==") and answer["result"]["v"] >= 0
    assert not net.instance.jobs and not net.instance.facade.open and net.instance.callers.held_bytes == 0
    assert caller.transport.no_delay and net.link.transport.no_delay


@pytest.mark.parametrize(
    ("before", "behind"),
    [(b"", REPLY), (b"", b"\x00noise"), (b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" * 2, b"")],
)
def test_valid_reply_is_used_despite_surrounding_bytes(before: bytes, behind: bytes) -> None:
    net = boot_net()
    _, ref, call_connection = start_call(net)
    call_connection.dataReceived(before + REPLY + behind)
    assert net.commands() == [{"event": "IODONE", "handle": ref, "arg": "cmVwbHk="}]
    assert call_connection.transport.disconnected
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    call_connection.dataReceived(REPLY)  # a late duplicate
    assert net.commands() == [] and net.connect("127.0.1.2").transport.sent().startswith(b"POST")


def test_broken_call_is_retried_only_for_inquiries() -> None:
    for product, expected_events in (("look", ["NOIO"]), ("book", [])):
        net = boot_net(settings=SETTINGS_WITH_MANY_CALLS)
        caller = net.caller()
        ref = net.ask(caller, 1, product)
        net.commands()
        net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
        tries = 0
        while net.reactor.advance(0) or any(c[0] == "127.0.1.2" for c in net.reactor.tcpClients):
            call_connection, tries = net.connect("127.0.1.2"), tries + 1
            assert call_connection.transport.sent().startswith(b"POST")
            call_connection.dataReceived(
                b"\x16\x03noise" if tries == 1 else b"HTTP/1.1 200 OK\r\n" + b"a" * 9_000
            )
            net.pass_time(0.01)
        assert tries == (3 if expected_events else 1)
        assert [c["event"] for c in net.commands() if c["event"] in ("NOIO", "IODONE")] == expected_events


def test_excess_calls_wait_and_move_to_new_address() -> None:
    net = boot_net()
    ledger = net.instance.ledger
    calls = [ledger.call(f"{n:016x}", 500_000, b"") for n in range(ledger.max_connections + 2)]
    outcomes: list[EndStatus] = []
    for call in calls:
        call.done.addCallback(lambda called: outcomes.append(called.end))
    assert len(net.reactor.tcpClients) == ledger.connections == ledger.max_connections
    first = net.connect("127.0.1.2")
    net.file |= NEW_ADDRESSES
    net.instance.reload()
    first.dataReceived(REPLY)
    net.lose(first)
    assert outcomes == [EndStatus.OK] and net.reactor.tcpClients[-1][0] == "127.0.3.2"
    at = next(c for c in net.reactor.tcpClients if c[0] == "127.0.1.2")
    at[2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert outcomes == [EndStatus.OK] and net.reactor.tcpClients[-1][0] == "127.0.3.2"
    net.pass_time(0.6)
    assert outcomes[1:] == [EndStatus.UNREACHED] * (ledger.max_connections + 1)


def test_lapsed_share_stops_calls_before_they_are_sent() -> None:
    net = boot_net()
    ledger, share, outcomes = net.instance.ledger, [2], []
    gate = ledger.gate = Gate(lambda: share[0], lambda: int(net.reactor.seconds() * 1e6), linger=200_000)

    def call() -> Any:
        made = ledger.call("0" * 16, 500_000, b"")
        made.done.addCallback(lambda called: outcomes.append(called.end))
        return made

    calls = [call() for _ in range(3)]
    assert outcomes == [EndStatus.FULL], "no room for a third: nothing was opened for it"
    share[0] = 1  # changes while the connections are being opened
    call_connection = net.connect("127.0.1.2")
    assert (call_connection.transport.sent(), outcomes[1:]) == (b"", [EndStatus.UNREACHED]), (
        "never sent, and proved so"
    )
    net.lose(call_connection)
    assert net.log.codes("ledger-end") == ["share-lapsed"]
    call_connection = net.connect("127.0.1.2")
    assert call_connection.transport.sent().startswith(b"POST")
    calls[0].abandon()
    net.lose(call_connection)
    assert (gate.in_flight(), ledger.connections) == (1, 0), "left behind: the ledger may still work on it"
    assert (call(), outcomes[-1])[1] is EndStatus.FULL
    net.pass_time(0.2)
    call()
    assert (gate.in_flight(), ledger.connections) == (1, 1)


def test_peers_follow_the_instance_and_their_share_reaches_the_brain() -> None:
    class Members:
        gate = Gate(lambda: 3, lambda: 0, 0)
        called: ClassVar[list[str]] = []
        calls = 3

        def share(self) -> int:
            return self.calls

        def __getattr__(self, name: str) -> Any:
            return lambda: self.called.append(name)

    net, members = boot_net(), Members()
    instance = net.instance
    instance.attach_peers(members)
    assert instance.facade.brain.max_call_bound == 3 and instance.ledger.gate is members.gate
    members.calls = 1
    net.pass_time(0.2)
    assert instance.facade.brain.max_call_bound == 1
    instance.start_drain()
    assert members.called == ["leave"]
    net.pass_time(4.0)
    assert members.called == ["leave", "stop"]


def test_held_txn_that_is_declined_carries_retry_advice() -> None:
    net = boot_net()
    caller = net.caller()
    refs = [net.ask(caller, number) for number in range(1, 9)]
    assert [c["handle"] for c in net.commands()] == refs[:2]
    net.pass_time(0.4)
    declined = [answer["error"] for answer in net.answers(caller)]
    assert declined and all(e["code"] == -32008 for e in declined)
    assert all(0 <= e["data"].get("w", 0) <= 1_000 for e in declined)


def test_lost_link_resumes_at_the_cursor() -> None:
    net = boot_net()
    caller = net.caller()
    first, second = net.ask(caller, 1), net.ask(caller, 2)
    net.commands()
    net.tell(event="DMESG", cursor=None, fate="hello")
    net.lose(net.link, clean=False)
    third = net.ask(caller, 3, h=1.0)  # decided while there is no link, if it may run at all
    net.pass_time(0.1)
    again = [{"event": "REAP", "cursor": 2, "handle": first, "fate": "ok", "lasted": 5, "arg": "eA=="}]
    assert net.boot(again=again) == [{"event": "OPEN", "cursor": 1}]
    resent = [(c["event"], c["handle"]) for c in net.commands()]
    assert ("SCHED", second) in resent and ("SCHED", first) not in resent
    assert len(resent) == len(set(resent)) and {handle for _, handle in resent} <= {second, third}
    assert [a["id"] for a in net.answers(caller)] == [1]
    net.cursor = 2
    net.tell(event="EINVAL", fate="IODONE", handle=second)  # carried out before the link was lost
    net.tell(event="REAP", cursor=None, handle=second, fate="ok", lasted=5, arg="eQ==")
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["eQ=="]


def test_invalid_kernel_lines_affect_no_other_txn() -> None:
    net = boot_net()
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
    assert net.answers(caller) == []  # the cursor was seen before
    assert net.log.codes("link-fault") == ["unreadable", "unreadable", "unknown-handle", "seen"]
    net.tell(event="EINVAL", fate="SCHED", handle=ref)
    assert single_error(net.answers(caller))["code"] not in (0, -32008)
    net.link.dataReceived(b"x" * 70_000)
    assert net.link.transport.disconnected


def test_gap_in_notices_is_requested_again() -> None:
    net = boot_net()
    net.tell(event="DMESG", cursor=3, fate="")
    assert net.link.transport.disconnected and "gap" in net.log.codes("link-fault")
    net.pass_time(0.1)
    assert net.boot(again=[{"event": "DMESG", "cursor": 3, "fate": ""}]) == [{"event": "OPEN", "cursor": 0}]
    assert net.instance.kernel.cursor == 3 and net.instance.kernel.ready


@pytest.mark.parametrize("how", ["refused", "broken", "malformed", "late", "full"])
def test_inquiry_continues_without_its_failed_call(how: str) -> None:
    net = boot_net(settings=SETTINGS_WITH_MANY_CALLS)
    if how == "refused":
        caller, _ref = net.caller(), ""
        net.tell(event="IOREQ", cursor=None, handle=net.ask(caller, 1), arg="")
        net.reactor.advance(0)
        factory = net.reactor.tcpClients.pop()[2]
        factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    else:
        caller, _ref, call_connection = start_call(net)
        if how == "broken":
            call_connection.dataReceived(REPLY[:30])
            net.lose(call_connection)
            for _ in range(2):
                net.lose(net.connect("127.0.1.2"))
        elif how == "malformed":
            call_connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nreply")
            for _ in range(2):
                net.connect("127.0.1.2").dataReceived(b"noise")
        elif how == "full":
            call_connection.dataReceived(b"HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            net.pass_time(1.1)
            assert call_connection.transport.disconnected
            call_connection.dataReceived(REPLY)  # too late to belong to a call
    # An inquiry-like txn that has a value without its call continues without it once the call has failed.
    assert [c["event"] for c in net.commands() if c["event"] in ("NOIO", "IODONE")] == ["NOIO"]
    assert net.instance.ledger.connections <= 3


def test_refusing_ledger_is_retried_at_a_bounded_rate() -> None:
    net = boot_net()
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


def test_run_that_ends_while_waiting_for_a_call_is_answered_at_once() -> None:
    net = boot_net()
    caller = net.caller()
    ref = net.ask(caller, 1, "book", k="a")
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="")
    net.reactor.advance(0)
    net.reactor.tcpClients.pop()[2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    net.tell(event="REAP", cursor=None, handle=ref, fate="failed", lasted=5)
    assert single_error(net.answers(caller))["message"] == "run failed" and not net.instance.jobs


def test_partial_message_times_out() -> None:
    net = boot_net()
    partial, silent, active = net.caller(), net.caller(), net.caller()
    ref = net.ask(active, 1)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="eA==")
    for _ in range(6):
        for caller in (partial, active):
            caller.dataReceived(b"C" if not caller.frames.has_partial_frame else b"o")
        net.pass_time(0.5, 0.1)
    assert all(caller.transport.disconnecting for caller in (partial, silent, active))
    assert [caller.end_code for caller in (partial, silent, active)] == ["silent", "silent", "half-message"]


def test_silent_connections_do_not_displace_active_callers() -> None:
    net = boot_net()
    callers = net.instance.callers
    active = net.caller()
    ref = net.ask(active, 1, d=1e6)
    for _ in range(callers.max_connections):
        net.caller()
        net.pass_time(0.001, 0.001)
    assert (
        len(callers.awaiting_first_request)
        <= callers.max_connections // AWAITING_REQUEST_DIVISOR + 0.05 / 0.001
    )
    late = net.caller()
    net.ask(late, 1)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="eA==")
    assert net.answers(active)[0]["result"] and not active.transport.disconnecting
    idle = [net.caller() for _ in range(callers.max_connections)]
    for caller in idle:
        net.send(caller, jsonrpc="2.0", id=1, method="heartbeat")
    net.pass_time(0.1)
    net.caller()
    assert len(callers.connections) <= callers.max_connections and late in callers.connections


def test_connection_with_too_many_errors_is_closed() -> None:
    net = boot_net()
    invalid = net.caller()
    net.ask(invalid, 1)
    net.commands()
    for number in range(2, 40):
        net.ask(invalid, number, "unheard-of")
    net.pass_time(0.05)
    assert len(net.answers(invalid)) == MAX_ERROR_SCORE // 2 and not invalid.transport.disconnecting
    net.pass_time(3.2)  # open txns are answered before it is closed
    assert invalid.transport.disconnecting and invalid.end_code == "nothing-served"
    active, failing = net.caller(), net.caller()
    for number in range(1, 100):
        ref = net.ask(active, 2 * number)
        net.ask(active, 2 * number + 1, "unheard-of")
        net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="eA==")
        net.tell(event="REAP", cursor=None, handle=net.ask(failing, number), fate="failed", lasted=30)
        net.commands()
        net.pass_time(0.01)
        if failing.transport.disconnecting:
            break
        assert (failing.farewell_at is not None) == (number >= MAX_ERROR_SCORE // 2)
    assert active.end_code == "" and number == MAX_ERROR_SCORE


def test_flood_on_one_connection_does_not_starve_others() -> None:
    net = boot_net()
    flooding = net.caller()
    one = encode_frame(orjson.dumps({"jsonrpc": "2.0", "id": 1, "method": "heartbeat"}))
    flooding.dataReceived(one * 100)
    assert len(list(FrameParser().feed(flooding.transport.sent()))) == MESSAGES_PER_ITERATION
    assert flooding.transport.producerState == "paused"
    net.pass_time(0.1)
    assert (
        len(net.answers(flooding)) == 100 - MESSAGES_PER_ITERATION
        and flooding.transport.producerState == "producing"
    )
    for number in range(1, 200):
        net.ask(flooding, number)
        net.send(flooding, jsonrpc="2.0", method="revoke", params={"id": number})
    assert flooding.transport.disconnecting and flooding.end_code == "taken-back"


@pytest.mark.parametrize("params", [{"id": 1}, {"i": "REF"}])
def test_call_is_abandoned_when_its_run_ends(params: dict[str, Any]) -> None:
    net = boot_net()
    caller, ref, call_connection = start_call(net)
    net.send(caller, jsonrpc="2.0", method="revoke", params=params if "id" in params else {"i": ref})
    net.tell(event="REAP", cursor=None, handle=ref, fate="halted", lasted=5)
    net.reactor.advance(0)
    assert call_connection.transport.disconnected and net.answers(caller) == [] and not net.instance.jobs


def test_drain_sends_farewells_answers_all_and_exits() -> None:
    net = boot_net()
    stopped: list[bool] = []
    net.reactor.stop = lambda: stopped.append(True)  # type: ignore[method-assign]
    busy, idle = net.caller(), net.caller()
    ref = net.ask(busy, 1)
    net.pass_time(0.6)
    assert net.reactor.reports and set(net.reactor.reports) == {b"HERE n1 on"}
    net.instance.start_drain()
    net.instance.start_drain()
    assert net.log.codes("drain") == ["begun", "again"] and net.reactor.reports.pop() == b"HERE n1 off"
    early = net.caller()  # not told of the drain yet; requests within the grace period still run
    soon = net.ask(early, 1)
    net.pass_time(0.1)
    assert [c["handle"] for c in net.commands()] == [ref, soon] and net.answers(idle) == []
    net.tell(event="REAP", cursor=None, handle=soon, fate="ok", lasted=5, arg="eA==")
    assert net.answers(early)[0]["result"]["v"] > 0 and not net.instance.stopped_accepting
    net.pass_time(0.18)
    assert [m.get("method") for c in (idle, busy, early) for m in net.answers(c)] == ["farewell"] * 3
    net.lose(idle)
    net.lose(early)
    crossing = net.ask(busy, 2)  # sent before the farewell arrived
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


def test_drained_instance_exits_once_all_connections_are_closed() -> None:
    net = boot_net()
    stopped: list[bool] = []
    net.reactor.stop = lambda: stopped.append(True)  # type: ignore[method-assign]
    caller = net.caller()
    net.instance.start_drain()
    net.pass_time(0.5)
    assert not stopped
    net.lose(caller)
    net.pass_time(0.5)
    assert stopped and net.log.codes("drain")[-1] == "done"
    assert net.log.codes("connection-end") == ["farewell"]


def test_output_to_peer_that_does_not_read_is_bounded() -> None:
    net = boot_net()
    caller, other = net.caller(), net.caller()
    caller.pauseProducing()
    for _ in range(MAX_UNREAD_BYTES // 50):
        net.send(caller, jsonrpc="2.0", id=1, method="heartbeat")
    assert caller.transport.disconnected
    assert net.instance.callers.unread_bytes <= MAX_UNREAD_BYTES + 200
    net.lose(caller)
    assert net.log.codes("connection-end") == ["unread"] and net.instance.callers.unread_bytes == 0
    other.pauseProducing()
    net.send(other, jsonrpc="2.0", id=1, method="heartbeat")
    assert net.answers(other) == []
    other.resumeProducing()
    assert net.answers(other)[0]["result"]["ready"] is True


def test_invalid_messages_are_answered_and_invalid_frames_close_the_connection() -> None:
    net = boot_net()
    caller, other = net.caller(), net.caller()
    for body, code in (
        (b"{", -32700),
        (b"[]", -32600),
        (b'{"jsonrpc":"2.0","id":1}', -32600),
        (b'{"jsonrpc":"2.0","id":0,"method":"look"}', -32600),
    ):
        caller.dataReceived(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        assert single_error(net.answers(caller))["code"] == code
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
    caller.dataReceived(b"x" * MAX_HEADER_BYTES)
    assert not caller.transport.disconnecting  # txn 20 was read before and is still answered
    net.tell(event="REAP", cursor=None, handle=net.commands()[0]["handle"], fate="ok", lasted=5, arg="eA==")
    assert net.answers(caller)[0]["id"] == 20 and caller.transport.disconnecting
    net.lose(caller)
    assert net.log.codes("connection-end") == ["bad-head"]
    ref = net.ask(other, 1)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    assert net.answers(other)[0]["result"]["doc"] == "eA=="


def test_open_txns_per_connection_are_bounded() -> None:
    net = boot_net()
    caller = net.caller()
    for number in range(1, MAX_OPEN_TXNS + 2):
        net.ask(caller, number, d=60_000)
    answers = net.answers(caller)
    assert [a["id"] for a in answers if "more than" in a["error"]["message"]] == [MAX_OPEN_TXNS + 1]


def test_exception_in_one_txn_fails_only_that_txn() -> None:
    net = boot_net()
    caller = net.caller()
    start = net.instance.kernel.start
    net.instance.kernel.start = lambda *_: 1 / 0  # type: ignore[assignment, method-assign]
    ref = net.ask(caller, 1)
    assert single_error(net.answers(caller))["code"] not in (0, -32008)
    assert net.log.codes("txn-fault") == ["exception"]
    net.instance.kernel.start = start  # type: ignore[method-assign]
    net.tell(event="REAP", cursor=None, handle=ref, fate="void")  # the kernel no longer knows the run
    net.reactor.advance(0)
    assert not net.instance.facade.open
    ref = net.ask(caller, 2)
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=5, arg="eA==")
    assert net.answers(caller)[0]["id"] == 2


def test_exception_in_the_brain_ends_neither_the_instance_nor_other_txns() -> None:
    net = boot_net()
    caller, other = net.caller(), net.caller()
    net.ask(caller, 1)
    net.reactor.advance(0)
    brain = net.instance.facade.brain
    broken, brain._run_held = brain._run_held, lambda: iter([1 / 0])  # type: ignore[assignment, method-assign]
    net.ask(other, 1)
    net.reactor.advance(0)
    brain.on_caller_gone = lambda *_: 1 / 0  # type: ignore[assignment, method-assign]
    net.lose(caller)
    assert net.log.codes("brain-fault") and not net.answers(other)
    brain._run_held = broken  # type: ignore[method-assign]
    net.pass_time(0.1)
    assert [c["event"] for c in net.commands()] == ["SCHED", "SCHED"]


def test_decision_prevented_by_an_exception_is_made_soon_after() -> None:
    net = boot_net()
    brain = net.instance.facade.brain
    broken, brain._run_held = brain._run_held, lambda: iter([1 / 0])  # type: ignore[assignment, method-assign]
    net.ask(net.caller(), 1)
    assert net.commands() == [] and net.log.codes("brain-fault")
    brain._run_held = broken  # type: ignore[method-assign]
    net.pass_time(0.1)
    assert [c["event"] for c in net.commands()] == ["SCHED"]


def test_repeat_gets_the_stored_result() -> None:
    net = boot_net()
    caller = net.caller()
    first = net.ask(caller, 1, "book", k="acct-1")
    joined = net.ask(caller, 2, "book", k="acct-1")
    assert [c["handle"] for c in net.commands()] == [first] and joined != first
    net.tell(event="REAP", cursor=None, handle=first, fate="ok", lasted=5, arg="eA==")
    net.ask(caller, 3, "book", k="acct-1", r=1)
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["eA=="] * 3 and net.commands() == []


def test_step_of_unix_time_loses_and_delays_no_txn() -> None:
    net = boot_net()
    caller = net.caller()
    sent_at_ms = int(net.unix * 1_000)
    net.unix -= 7.0
    net.ask(caller, 1, s=sent_at_ms, d=2_000)
    entry = next(iter(net.instance.facade.open.values()))
    assert 1_900_000 <= entry.txn.due - net.instance.facade.now() <= 2_000_000
    net.pass_time(2.1)
    assert len(net.answers(caller)) == 1


def test_after_a_pause_the_brain_answers_before_the_overdue_check() -> None:
    net = boot_net()
    caller = net.caller()
    for number in range(1, 6):
        net.ask(caller, number)
    net.reactor.advance(9.0)
    net.pass_time(0.1)
    assert {a["error"]["code"] for a in net.answers(caller)} == {-32008}
    assert not net.log.codes("overdue") and not net.instance.facade.owed()


def test_txn_lost_by_the_brain_is_answered_by_the_overdue_check() -> None:
    net = boot_net()
    caller = net.caller()
    net.ask(caller, 1)
    net.instance.facade.brain.registry.due_times.entries.clear()
    net.pass_time(3.5)
    assert single_error(net.answers(caller))["message"] == "overdue" and net.log.codes("overdue") == ["guard"]


def test_instance_is_ready_only_with_its_kernel_and_needs_no_ledger() -> None:
    net = InstanceHarness()
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
    net.lose(net.link, clean=False)  # and not restored
    net.pass_time(2.0)
    net.reactor.reports.clear()
    net.send(caller, jsonrpc="2.0", id=3, method="heartbeat")
    net.pass_time(1.0)
    assert net.answers(caller)[0]["result"]["ready"] is False and not net.reactor.reports


def test_deep_check_probes_the_kernel_unless_a_run_succeeded() -> None:
    net = boot_net()
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


def test_connections_above_the_limit_are_rejected() -> None:
    net = boot_net(limits={"sockets": 128})
    callers = [net.caller() for _ in range(net.instance.callers.max_connections)]
    rejected = net.caller()
    assert isinstance(rejected, RejectedConnection) and rejected.transport.disconnected
    net.lose(rejected)
    assert net.log.codes("connection-end") == ["full"] and not any(c.transport.disconnected for c in callers)


def test_memory_of_open_txns_is_bounded() -> None:
    net = boot_net()
    net.instance.callers.max_held_bytes = 5_000
    caller = net.caller()
    net.ask(caller, 1)
    net.ask(caller, 2)
    assert [(a["id"], a["error"]["code"]) for a in net.answers(caller)] == [(2, -32008)]


def test_idle_connections_get_a_farewell_before_the_close() -> None:
    net = boot_net()
    caller = net.caller()
    net.instance.facade.idle_limit = 500_000
    net.pass_time(0.7)
    assert net.answers(caller)[0]["method"] == "farewell" and not caller.transport.disconnecting
    net.pass_time(1.2)
    assert caller.transport.disconnecting
    net.pass_time(1.2)
    assert caller.transport.disconnected  # aborted, as it does not close its end


def test_log_has_one_json_line_per_event_and_is_bounded() -> None:
    out, sink = os.pipe()
    now = [0.0]
    log = Log("n1", sink, lambda: now[0])
    for _ in range(3 * MAX_LINES_PER_WINDOW):
        log.event("link-fault", "seen")
    log.fault("txn-fault", ValueError("two\nlines"))
    now[0] = 60.0
    log.event("later")
    lines = [orjson.loads(line) for line in os.read(out, 1 << 20).splitlines()]
    assert len(lines) == MAX_LINES_PER_WINDOW + 3 and lines[-2] | {"t": 0} == {
        "t": 0,
        "who": "n1",
        "event": "held-back",
        "code": "seen",
        "of": "link-fault",
        "lines": 2 * MAX_LINES_PER_WINDOW,
    }
    while not log.dropped:  # a full pipe must neither block nor raise
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


def test_net_does_not_import_the_brain() -> None:
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


NEW_ADDRESSES = {"kernel": "127.0.3.1:7301", "records": "127.0.3.2:8901", "roster": "127.0.3.3:7947"}


def test_reload_applies_new_addresses_and_runs_continue() -> None:
    net = boot_net()
    caller, ref, call_connection = start_call(net)
    old, net.cursor = net.link, 1
    net.file |= NEW_ADDRESSES | {"listen": "127.0.0.1:9999"}
    net.instance.reload()
    assert net.log.lines[-1]["moved"] == ["kernel", "ledger", "node_list"]
    assert net.log.lines[-1]["needs_restart"] == ["listen"]
    assert net.reactor.reported_to == ("127.0.3.3", 7947)
    net.tell(event="DMESG", cursor=None, fate="")  # the old link is read until the new one is connected
    call_connection.dataReceived(REPLY)  # a call in flight ends on its old connection
    net.link = net.connect("127.0.3.1")
    assert [c["cursor"] for c in net.commands()] == [2] and old.transport.disconnecting
    net.lose(old)
    old.dataReceived(b'{"event":"DMESG","cursor":3,"fate":""}\n')
    assert net.instance.kernel.link is net.link and net.instance.kernel.cursor == 2
    net.tell(event="BOOTED", fate="warm", lasted=60_000)
    net.tell(event="INFO", ticket="fence", figures=[0, 0, 0, 0])
    assert net.commands() == [{"event": "NOIO", "handle": ref, "cursor": 1}]  # replies are not sent again
    net.tell(event="IOREQ", cursor=None, handle=ref, arg="Y2FsbA==")
    assert net.connect("127.0.3.2").transport.sent().startswith(b"POST")
    net.tell(event="REAP", cursor=None, handle=ref, fate="ok", lasted=30, arg="ZG9uZQ==")
    assert [a["result"]["doc"] for a in net.answers(caller)] == ["ZG9uZQ=="]
    net.pass_time(3.0)
    assert not [c for c in net.reactor.tcpClients if c[0] == "127.0.1.1"]


def test_unusable_configuration_changes_nothing_and_is_read_again() -> None:
    net = boot_net()
    good, net.file = net.file | NEW_ADDRESSES, net.file | {"records": "nowhere"}
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


def test_connection_attempt_to_an_outdated_kernel_address_is_dropped() -> None:
    net = InstanceHarness()
    net.file |= NEW_ADDRESSES
    net.instance.reload()
    late = net.connect("127.0.1.1")
    assert late.transport.disconnected and net.instance.kernel.link is None
    net.lose(late)
    net.connect("127.0.3.1")
    net.pass_time(2.0)
    assert net.instance.kernel.link is not None and not net.reactor.tcpClients


def test_short_loss_of_the_link_keeps_the_instance_healthy() -> None:
    net = boot_net()
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


def test_sighup_does_not_end_a_starting_process(tmp_path: Path) -> None:
    """SIGHUP to a real process that waits for its configuration, which is a named pipe."""
    os.mkfifo(tmp_path / "config")
    child = subprocess.Popen(
        [sys.executable, "-m", "limeridge"],
        stderr=subprocess.PIPE,
        cwd=ROOT.parent,
        env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "config")},
    )
    config, until = -1, time.monotonic() + 20
    while config < 0 and child.poll() is None and time.monotonic() < until:
        with suppress(OSError):  # the process has not opened it yet
            config = os.open(tmp_path / "config", os.O_WRONLY | os.O_NONBLOCK)
        time.sleep(0.01)
    child.send_signal(signal.SIGHUP)
    os.write(config, b"{}")
    os.close(config)
    _, stderr = child.communicate(timeout=20)
    assert child.returncode == 2 and b"seed" in stderr


def test_brain_decides_once_per_event_loop_iteration() -> None:
    net = boot_net(settings=SETTINGS_WITH_MANY_CALLS)
    brain, passes = net.instance.facade.brain, []
    decisions = brain._decisions
    brain._decisions = lambda: (passes.append(1), decisions())[1]  # type: ignore[method-assign]
    callers = [net.caller() for _ in range(20)]
    for number, caller in enumerate(callers, 1):
        net.ask(caller, number)
    assert [c["event"] for c in net.commands()] == ["SCHED", "SCHED"] and 0 < len(passes) <= 3
