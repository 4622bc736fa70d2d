"""The speaker's decisions: codec, table, session, peer and policy, with no socket and no clock.

Vectors of messages are worked out by hand from the RFCs that they cite.
"""

import random
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeridge.bgp.codec import (
    AS_TRANS,
    GRACEFUL_SHUTDOWN,
    IPV4,
    IPV6,
    SEQUENCE,
    SET,
    Agreed,
    Attributes,
    Bad,
    Capability,
    Frames,
    Keepalive,
    Notification,
    Open,
    Origin,
    Prefix,
    RouteRefresh,
    Update,
    decode,
    encode,
    merged,
    packed,
    prefix_of,
    shutdown_text,
)
from limeridge.bgp.fsm import TABLE, Action, Event, State
from limeridge.bgp.peer import OURS, On, Peer, RibOut
from limeridge.bgp.policy import Announcer, Rules, Step, View
from limeridge.bgp.session import Connect, Down, Drop, Reject, Send, Session, Take, Terms, Up

S = 1_000_000
WIDE = Agreed(True, True, (IPV4, IPV6), True)


def message(data: bytes, agreed: Agreed = WIDE) -> Any:
    frames = Frames()
    frames.most = agreed.most
    [(kind, body)] = frames.feed(data)
    return decode(kind, body, agreed)


def bad(data: bytes, agreed: Agreed = WIDE) -> tuple[int, int, bytes]:
    with pytest.raises(Bad) as met:
        message(data, agreed)
    told = met.value.notification
    return told.code, told.subcode, told.data


def head(kind: int, body: str) -> bytes:
    data = bytes.fromhex(body)
    return b"\xff" * 16 + (19 + len(data)).to_bytes(2, "big") + bytes([kind]) + data


# ---- codec

numbers = st.integers(1, (1 << 32) - 1)


@st.composite
def routes(draw: Any, family: int) -> Prefix:
    most = 32 if family == IPV4 else 128
    length = draw(st.integers(0, most))
    return Prefix(family, draw(st.integers(0, (1 << length) - 1)) << (most - length) if length else 0, length)


attributes = st.builds(
    Attributes,
    origin=st.sampled_from(Origin),
    path=st.lists(
        st.tuples(st.sampled_from([SET, SEQUENCE]), st.lists(numbers, min_size=1, max_size=5).map(tuple)),
        max_size=3,
    ).map(tuple),
    next_hop=st.integers(0, (1 << 32) - 1),
    med=st.none() | st.integers(0, (1 << 32) - 1),
    atomic=st.booleans(),
    aggregator=st.none() | st.tuples(numbers, numbers),
    communities=st.lists(numbers, max_size=80).map(tuple),
    large=st.lists(st.tuples(numbers, numbers, numbers), max_size=3).map(tuple),
    others=st.lists(
        st.tuples(st.just(0xE0), st.integers(100, 110), st.binary(max_size=300)),
        max_size=2,
        unique_by=lambda each: each[1],
    ).map(tuple),
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(routes(IPV4), max_size=20), st.lists(routes(IPV4), min_size=1, max_size=20), attributes)
def test_updates_come_back_as_they_went(gone: list[Prefix], come: list[Prefix], told: Attributes) -> None:
    update = Update(tuple(gone), tuple(come), told)
    assert message(encode(update, WIDE)) == update


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(routes(IPV6), max_size=8), st.lists(routes(IPV6), min_size=1, max_size=8), attributes)
def test_routes_of_ipv6_too(gone: list[Prefix], come: list[Prefix], told: Attributes) -> None:
    update = Update(tuple(gone), tuple(come), told)
    assert message(encode(update, WIDE)) == update


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.builds(
        Open,
        asn=numbers,
        hold=st.sampled_from([0, 3, 90, 65_535]),
        router=st.integers(1, 0xDFFF_FFFF),
        families=st.sampled_from([(IPV4,), (IPV6,), (IPV4, IPV6)]),
        refresh=st.booleans(),
        extended=st.booleans(),
        others=st.just((Capability(73, b"x"),)),
    )
)
def test_opens_come_back_as_they_went(told: Open) -> None:
    data = encode(told, Agreed())
    assert message(data) == told
    assert int.from_bytes(data[20:22], "big") == (told.asn if told.asn < 65_536 else AS_TRANS)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.data(), st.lists(routes(IPV4), min_size=1, max_size=5), attributes)
def test_mutated_messages_are_values_or_bad_and_nothing_else(
    data: Any, come: list[Prefix], told: Attributes
) -> None:
    whole = bytearray(encode(Update((), tuple(come), told), WIDE))
    for _ in range(data.draw(st.integers(1, 6))):
        whole[data.draw(st.integers(16, len(whole) - 1))] = data.draw(st.integers(0, 255))
    frames = Frames()
    try:
        for kind, body in frames.feed(bytes(whole)):
            decode(kind, body, WIDE)
    except Bad as met:
        assert met.notification.code in (1, 2, 3)
    assert len(frames.data) <= len(whole)


def test_vectors_of_the_header() -> None:  # RFC 4271 sections 4.1, 6.1; RFC 8654 section 4
    assert message(head(4, "")) == Keepalive()
    assert message(head(5, "0001 00 01")) == RouteRefresh(IPV4)  # RFC 2918 section 3
    assert bad(b"\xfe" + head(4, "")[1:]) == (1, 1, b"")
    assert bad(head(4, "00")) == (1, 2, b"\x00\x14")
    assert bad(head(9, "")) == (1, 3, b"\x09")
    assert bad(head(3, "06")) == (1, 2, b"\x00\x14")
    long = b"\xff" * 16 + (4_097).to_bytes(2, "big") + b"\x02"
    assert bad(long, Agreed()) == (1, 2, b"\x10\x01")
    assert list(Frames().feed(long[:16])) == []


def test_vectors_of_open() -> None:  # RFC 4271 sections 4.2, 6.2; RFC 5492; RFC 6793
    plain = message(head(1, "04 fde9 005a c0000201 00"))
    assert plain == Open(65_001, 90, 0xC000_0201, (IPV4,), False, False, False)
    wide = message(head(1, "04 5ba0 0009 c0000201 10  02 0e  01 04 0002 00 01  41 04 00010000  02 00"))
    assert wide == Open(65_536, 9, 0xC000_0201, (IPV6,), True, False, True)
    assert message(head(1, "04 fde9 0000 c0000201 ff ff 0005 02 0002 0600")).extended  # RFC 9072
    assert bad(head(1, "03 fde9 005a c0000201 00")) == (2, 1, b"\x00\x04")
    assert bad(head(1, "04 fde9 0002 c0000201 00"))[:2] == (2, 6)
    assert bad(head(1, "04 fde9 005a 00000000 00"))[:2] == (2, 3)
    assert bad(head(1, "04 0000 005a c0000201 00"))[:2] == (2, 2)
    assert bad(head(1, "04 fde9 005a c0000201 03 01 01 00"))[:2] == (2, 4)
    assert bad(head(1, "04 fde9 005a c0000201 04 02 02 41 04"))[:2] == (2, 0)
    assert bad(head(1, "04 fde9 005a c0000201 05 02"))[:2] == (2, 0)


def test_vectors_of_update() -> None:  # RFC 4271 section 4.3; RFC 8326; RFC 7606
    data = head(
        2,
        "0000 0019  40 01 01 00  40 02 06 02 01 0000fde9  40 03 04 c0000201  c0 08 04 ffff0000"
        "  18 c63364".replace("0019", "001b"),
    )
    assert message(data) == Update(
        (),
        (prefix_of("198.51.100.0/24"),),
        Attributes(Origin.IGP, ((SEQUENCE, (65_001,)),), 0xC000_0201, communities=(GRACEFUL_SHUTDOWN,)),
    )
    assert message(head(2, "0004 18c63364 0000")) == Update((prefix_of("198.51.100.0/24"),))
    assert message(head(2, "0000 0000")).end_of_rib
    good = ["40 01 01 00", "40 02 06 02 01 0000fde9", "40 03 04 c0000201"]

    def told(*parts: str, agreed: Agreed = WIDE) -> Update:
        listed = bytes.fromhex("".join(parts))
        return message(head(2, f"0000 {len(listed):04x} {listed.hex()} 18 c63364"), agreed)

    withdrawn = (prefix_of("198.51.100.0/24"),)
    for parts in (
        ["40 01 01 03", *good[1:]],
        ["40 01 02 0000", *good[1:]],
        [good[0], "40 02 02 03 01", good[2]],
        [good[0], "40 02 02 02 00", good[2]],
        [*good[:2], "40 03 03 c00002"],
        good[:2],
        [good[0], good[2]],
        [*good, "80 04 03 000001"],
        [*good, "c0 08 03 000001"],
        [*good, "c0 20 04 00000001"],
        ["80 01 01 00", *good[1:]],
        [*good, "40 05"],
    ):
        update = told(*parts)
        assert (update.withdrawn, update.announced) == (withdrawn, ()) and update.faults, parts
    for parts in (
        [*good, "40 06 01 00"],
        [*good, "c0 07 03 000000"],
        [*good, "40 05 04 00000064"],
        [*good, good[0]],
    ):
        update = told(*parts)
        assert update.announced == withdrawn and len(update.faults) == 1, parts
    inner = told(*good, "40 05 04 00000064", agreed=replace(WIDE, external=False))
    assert inner.attributes.local_pref == 100
    kept = told(*good, "c0 63 01 07")
    assert kept.attributes.others == ((0xE0, 0x63, b"\x07"),)  # passed on as partial
    for data, code in (
        ("0009 18c63364 0000", (3, 1)),
        ("0000 0009 40010100", (3, 1)),
        ("0000 0000 21 0102030405", (3, 10)),
        ("0000 0000 18 c633", (3, 10)),
        ("0000 0004 40 63 01 00", (3, 2)),
        ("0000 0005 80 0f 02 0002", (3, 9)),
        ("0000 0008 80 0e 05 0002 01 20 00", (3, 9)),
        (
            "0000 000a 80 0f 02 0002 80 0f 02 0002".replace("0f 02", "0f 03")
            .replace("000a", "000c")
            .replace("0002 80", "000201 80")
            + "01",
            (3, 1),
        ),
    ):
        assert bad(head(2, data))[:2] == code, data


def test_paths_of_two_octets_get_their_true_numbers_back() -> None:  # RFC 6793 section 4.2
    old = replace(WIDE, four_octets=False)
    path = ((SEQUENCE, (64_512, 70_000, 80_000)),)
    update = Update((), (prefix_of("192.0.2.0/24"),), Attributes(Origin.IGP, path, 1))
    assert message(encode(update, old), old).attributes.path == path
    assert merged(((SEQUENCE, (1, AS_TRANS)),), ((SEQUENCE, (1, 2, 3)),)) == ((SEQUENCE, (1, AS_TRANS)),)
    assert merged(((SEQUENCE, (5, 1, AS_TRANS)),), ((SEQUENCE, (1, 70_000)),)) == (
        (SEQUENCE, (5, 1, 70_000)),
    )


def test_shutdown_texts_are_bounded_and_cleaned() -> None:  # RFC 9003
    told = Notification(6, 2, shutdown_text("moved\x1b[31m to\nthe other site"))
    assert told.text == "moved [31m to the other site"
    assert (
        len(shutdown_text("é" * 200)) <= 256
        and Notification(6, 2, shutdown_text("é" * 200)).text == "é" * 127
    )
    assert Notification(6, 2, b"\x09abc").text == "" and Notification(6, 4, b"\x03abcd").text == "abc"


def test_many_routes_are_packed_into_few_messages() -> None:
    come = tuple(Prefix(IPV4, number << 8, 24) for number in range(10_000))
    told = Attributes(Origin.IGP, ((SEQUENCE, (65_001,)),), 1, communities=tuple(range(100)))
    for agreed in (Agreed(), WIDE):
        parts = list(packed(Update(come, come, told), agreed))
        data = [encode(part, agreed) for part in parts]
        assert all(len(each) <= agreed.most for each in data)
        assert len(parts) <= 2 * 10_000 * 4 / (agreed.most - 600) + 3
        got = [message(each, agreed) for each in data]
        assert tuple(p for each in got for p in each.announced) == come
        assert tuple(p for each in got for p in each.withdrawn) == come


# ---- the table


def test_the_table_is_whole_and_ends_what_it_drops() -> None:
    assert set(TABLE) == {(state, event) for state in State for event in Event}
    for (state, event), (actions, after) in TABLE.items():
        if after is State.IDLE and state is not State.IDLE:
            assert Action.STOP_CONNECT_RETRY in actions, (state, event)
            assert Action.DROP_TCP in actions or event is Event.TCP_FAILS, (state, event)
        if state is State.ESTABLISHED and after is not State.ESTABLISHED:
            assert Action.DOWN in actions, event
        if after is State.ESTABLISHED and state is not State.ESTABLISHED:
            assert (state, event) == (State.OPEN_CONFIRM, Event.KEEPALIVE) and Action.UP in actions
        if Action.SEND_KEEPALIVE in actions:
            assert after in (State.OPEN_CONFIRM, State.ESTABLISHED)
        if state in (State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED) and event is Event.MANUAL_STOP:
            assert Action.SEND_CEASE in actions and Action.ZERO_RETRIES in actions


TERMS = Terms(65_001, 10, 65_002, hold=9)
FAR = Terms(65_002, 20, 65_001, hold=30)


class Wires:
    """Two peers and the connections between them; what is sent arrives a moment later, unless cut."""

    def __init__(self, near: Terms = TERMS, far: Terms = FAR, seed: int = 1) -> None:
        chance = random.Random(seed)
        self.now = S
        self.peers = [Peer(near, chance, 0), Peer(far, chance, 0)]
        self.lines: list[dict[int, tuple[int, int]]] = [{}, {}]  # by side and line: the other side's
        self.queue: list[tuple[int, int, int, Any]] = []
        self.log: list[tuple[int, int, Any]] = []
        self.reachable = self.flowing = True

    def carry(self, side: int, outs: list[On]) -> None:
        for on in outs:
            self.log.append((self.now, side, on.out))
            far = self.lines[side].get(on.line)
            match on.out:
                case Connect():
                    self.queue.append((self.now + 1_000, side, on.line, "connect"))
                case Send(told) if far:
                    self.queue.append((self.now + 1_000, far[0], far[1], encode(told, Agreed(extended=True))))
                case Drop() | Reject() if far:
                    del self.lines[side][on.line]
                    self.queue.append((self.now + 1_000, far[0], far[1], "lost"))

    def deliver(self, side: int, line: int, what: Any) -> None:
        peer = self.peers[side]
        if what == "connect":
            if not self.reachable:
                self.carry(side, peer.lost(self.now, line, "refused"))
                return
            other = 1 - side
            number, outs = self.peers[other].accepted(self.now)
            self.lines[side][line], self.lines[other][number] = (other, number), (side, line)
            self.carry(side, peer.connected(self.now))
            self.carry(other, outs)
        elif what == "lost":
            if self.lines[side].pop(line, None):
                self.carry(side, peer.lost(self.now, line))
        elif line in self.lines[side] and not self.flowing:
            self.queue.append((self.now + 100_000, side, line, what))  # a sender tries again
        elif line in self.lines[side]:
            self.carry(side, peer.received(self.now, line, what))

    def go(self, us: int) -> None:
        until = self.now + us
        while True:
            times = [at for at, *_ in self.queue]
            times += [at for peer in self.peers if (at := peer.next_at(self.now)) is not None]
            if not times or min(times) > until:
                self.now = until
                return
            self.now = max(self.now, min(times))
            due = [each for each in self.queue if each[0] <= self.now]
            self.queue = [each for each in self.queue if each[0] > self.now]
            for _, side, line, what in due:
                self.deliver(side, line, what)
            for side, peer in enumerate(self.peers):
                self.carry(side, peer.tick(self.now))

    def start(self, *sides: int) -> None:
        for side in sides:
            self.carry(side, self.peers[side].start(self.now))

    def outs(self, side: int, kind: type) -> list[tuple[int, Any]]:
        return [(at, out) for at, who, out in self.log if who == side and isinstance(out, kind)]


ROUTE = {prefix_of("203.0.113.7/32"): Attributes(Origin.IGP, ((SEQUENCE, (65_001,)),), 7)}


def test_two_speakers_come_up_once_and_stay_up() -> None:
    for seed in range(20):
        wires = Wires(seed=seed)
        wires.start(0, 1)  # both open: a collision, one connection survives
        wires.go(40 * S)
        assert [peer.state for peer in wires.peers] == [State.ESTABLISHED] * 2, seed
        ups = [wires.outs(side, Up) for side in (0, 1)]
        assert len(ups[0]) == len(ups[1]) == 1 and wires.peers[0].agreed.families == (IPV4,)
        assert len(wires.lines[0]) == len(wires.lines[1]) == 1
        assert (
            wires.peers[0].up == wires.lines[1][wires.peers[1].up or OURS][1]
        )  # the same connection at both ends
        assert not wires.outs(0, Down) and not wires.outs(1, Down)
        assert all(
            session.hold == 9
            for peer in wires.peers
            for session in peer.sessions.values()
            if session.state is State.ESTABLISHED
        )


def test_a_peer_that_falls_silent_loses_the_session_within_the_hold_time() -> None:
    wires = Wires()
    wires.start(0, 1)
    wires.go(20 * S)
    wires.carry(0, wires.peers[0].announce(wires.now, ROUTE))
    wires.go(S)
    assert [out.message.announced for _, out in wires.outs(1, Take)] == [tuple(ROUTE)]
    wires.flowing, silent_at = False, wires.now
    wires.go(10 * S)
    [(down_at, _)] = wires.outs(1, Down)
    assert down_at - silent_at <= 9 * S
    assert Notification(4, 0) in [out.message for side in (0, 1) for _, out in wires.outs(side, Send)]
    wires.flowing = True
    wires.go(60 * S)
    assert [peer.state for peer in wires.peers] == [State.ESTABLISHED] * 2
    assert len(wires.outs(1, Take)) == 2  # announced again on the new session


def test_a_stop_tells_why_and_withdraws_with_the_session() -> None:
    wires = Wires()
    wires.start(0, 1)
    wires.go(20 * S)
    wires.carry(0, wires.peers[0].announce(wires.now, ROUTE))
    wires.carry(0, wires.peers[0].announce(wires.now, {}))
    wires.go(S)
    assert [bool(out.message.announced) for _, out in wires.outs(1, Take)] == [True, False]
    wires.carry(0, wires.peers[0].stop(wires.now, "moved"))
    wires.go(S)
    assert wires.outs(1, Down)[0][1].why == "peer: 6/2 moved" and wires.peers[0].state is State.IDLE
    wires.go(300 * S)
    assert wires.peers[0].state is State.IDLE and len(wires.outs(0, Up)) == 1


def test_a_peer_that_oscillates_is_left_alone_for_longer_each_time() -> None:
    wires = Wires(
        near=replace(TERMS, passive=False), far=replace(FAR, asn=65_009)
    )  # not the AS that is expected
    wires.start(0, 1)
    wires.go(400 * S)
    tries = [at for at, _ in wires.outs(0, Connect)]
    gaps = [b - a for a, b in pairwise(tries)]
    assert 5 <= len(tries) <= 12 and gaps[-1] > 5 * gaps[0] and gaps[-1] >= 40 * S
    sent = [out.message for _, out in wires.outs(0, Send) if isinstance(out.message, Notification)]
    assert sent and {(each.code, each.subcode) for each in sent} <= {(2, 2), (6, 7)}


def test_connections_are_bounded_and_refused_while_stopped() -> None:
    peer = Peer(TERMS, random.Random(1))
    assert peer.accepted(S)[1] == [On(1, Reject())]
    peer.start(S)
    lines = [peer.accepted(S) for _ in range(4)]
    assert [isinstance(outs[0].out, Reject) for _, outs in lines] == [False, False, True, True]
    assert peer.received(S, 99, b"x") == [] and peer.lost(S, 99) == []


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["start", "stop", "conn", "acc", "lost", "tick", "data"]),
            st.integers(0, 30 * S),
            st.integers(0, 9),
        ),
        max_size=40,
    )
)
def test_any_history_keeps_a_session_in_order(history: list[tuple[str, int, int]]) -> None:
    session, now, up = Session(TERMS, random.Random(3)), S, False
    say = [
        encode(each, Agreed())
        for each in (
            FAR.open(),
            Keepalive(),
            Keepalive(),
            Update(),
            Notification(6, 4),
            RouteRefresh(1),
            FAR.open(),
        )
    ]
    say += [b"\xff" * 19, b"junk" * 5, encode(replace(FAR.open(), asn=7), Agreed())]
    calls = {
        "start": lambda at, _: session.start(at),
        "stop": lambda at, _: session.stop(at, "x"),
        "conn": lambda at, _: session.connected(at, False),
        "acc": lambda at, _: session.connected(at, True),
        "lost": lambda at, _: session.lost(at),
        "tick": lambda at, _: session.tick(at),
        "data": lambda at, pick: session.received(at, say[pick]),
    }
    for what, wait, pick in history:
        now += wait
        outs = calls[what](now, pick)
        outs += session.tick(now)
        for out in outs:
            assert not (isinstance(out, Up) and up) and not (isinstance(out, Down) and not up)
            assert not (isinstance(out, Take) and not up)
            up = (up or isinstance(out, Up)) and not isinstance(out, Down)
        assert up == (session.state is State.ESTABLISHED)
        assert all(at > now for at in session.timers.values())
        if session.state in (State.OPEN_CONFIRM, State.ESTABLISHED):
            assert session.hold == 9 and session.next_at() is not None
        if session.state is State.IDLE:
            assert set(session.timers) <= {timer for timer in session.timers if timer.name == "IDLE_HOLD"}


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3 * S), st.sets(st.integers(0, 3)), st.integers(0, 2)), max_size=25))
def test_a_peer_ends_up_knowing_what_it_should_at_its_pace(history: list[tuple[int, set[int], int]]) -> None:
    rib, now = RibOut(random.Random(1), 2 * S), S
    known: dict[Prefix, Attributes] = {}
    told_at: dict[Prefix, int] = {}

    def send() -> None:
        for update in rib.due(now):
            for prefix in update.withdrawn:
                del known[prefix]
            for prefix in update.announced:
                assert now - told_at.get(prefix, -10 * S) >= 1.5 * S - 1
                told_at[prefix] = now
                known[prefix] = update.attributes

    for wait, names, med in history:
        now += wait
        rib.want({Prefix(IPV4, name << 8, 24): Attributes(med=med) for name in names})
        send()
        assert set(known) <= set(rib.wanted)  # a withdrawal never waits
    while (at := rib.next_at(now)) is not None:
        assert at > now
        now = at
        send()
    assert known == rib.wanted and rib.current()


# ---- policy

RULES = Rules()


def steps(changes: list[Any]) -> list[Step]:
    return [change.step for change in changes]


def settled(seed: int = 1, rules: Rules = RULES, now: int = S) -> tuple[Announcer, int]:
    announcer = Announcer(rules, random.Random(seed), now)
    assert announcer.see(now, View(True)) == []
    assert steps(announcer.tick(now + rules.steady)) == [Step.UP]
    return announcer, now + rules.steady


def test_nothing_is_announced_before_it_is_warm_and_steady() -> None:
    announcer = Announcer(RULES, random.Random(1), S)
    for tenth in range(5):
        assert announcer.see(S + tenth * S, View(True, warmth=tenth / 10)) == []
    assert announcer.see(6 * S, View(True, warmth=0.6)) == []
    assert announcer.next_at(6 * S) == 7 * S and steps(announcer.tick(7 * S)) == [Step.UP]


def test_a_drain_is_shutting_first_and_withdrawn_long_before_the_cut_off() -> None:
    for rules in (
        RULES,
        replace(RULES, shutting=5 * S),
        replace(RULES, shutting=0),
        replace(RULES, budget=1),
    ):
        announcer, now = settled(rules=rules)
        told = announcer.see(now + S, View(True, leaving=True))
        at = announcer.next_at(now + S)
        if at is not None:
            told += announcer.tick(at)
        assert steps(told) in ([Step.SHUTTING, Step.GONE], [Step.GONE])
        assert told[-1].at - (now + S) <= rules.cut_off - rules.margin and told[-1].forced
        assert announcer.see(now + 90 * S, View(True)) == []  # a notice to leave is never taken back


def test_a_node_that_can_not_serve_withdraws_at_once_and_comes_back_later_each_time() -> None:
    announcer, now = settled()
    waits = []
    for _ in range(8):
        assert steps(announcer.see(now, View(False))) == [Step.GONE]
        announcer.see(now + 1, View(True))
        back = now + 1
        while announcer.step is Step.GONE:
            back = announcer.next_at(back) or back + S
            announcer.tick(back)
        waits.append(back - now)
        now = back + S
    assert waits == sorted(waits) and waits[0] <= 2 * S + 1 and 32 * S <= waits[-1] <= 61 * S


def test_an_order_by_hand_never_announces_what_is_not_served_and_ends() -> None:
    announcer, now = settled()
    assert steps(announcer.order(now, Step.GONE, "work on the rack", now + 10 * S)) == [Step.GONE]
    announcer.see(now + 5 * S, View(True))
    assert announcer.step is Step.GONE
    assert announcer.next_at(now + 5 * S) == now + 10 * S and steps(announcer.tick(now + 10 * S)) == [Step.UP]
    announcer.order(now + 11 * S, Step.UP, "keep it up", now + 99 * S)
    assert steps(announcer.see(now + 12 * S, View(False))) == [Step.GONE]


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.integers(0, 99),
    st.lists(st.tuples(st.integers(1, 8 * S), st.booleans(), st.floats(0, 1.2), st.booleans()), max_size=60),
)
def test_any_history_keeps_the_budget_and_overload_never_withdraws(
    seed: int, history: list[tuple[int, bool, float, bool]]
) -> None:
    announcer, now = settled(seed)
    changes = []
    for wait, ready, welcome, unread in history:
        until = now + wait
        while (at := announcer.next_at(now)) is not None and at <= until:
            assert at > now
            now = at
            changes += announcer.tick(now)
        now = until
        told = announcer.see(now, View(ready, welcome, unread))
        changes += told
        assert ready or announcer.step is Step.GONE  # no route to a node that can't serve, not for a moment
        if Step.GONE in steps(told):
            assert not ready
    free = [change.at for change in changes if not change.forced]
    for at in free:
        assert sum(at - RULES.budget_span < other <= at for other in free) <= RULES.budget


def test_when_all_are_overloaded_most_stay_as_they_are() -> None:
    lows, spans = [], 0
    for seed in range(20):
        nodes = [settled(seed * 20 + node)[0] for node in range(20)]
        for second in range(3, 600, 3):
            for node in nodes:
                node.see(second * S, View(True, welcome=0.1))
            assert all(node.step in (Step.UP, Step.LESS) for node in nodes)
            if second > 10:
                lows.append(sum(node.step is Step.LESS for node in nodes))
                spans += 1
    assert 4 <= sum(lows) / spans <= 7.5 and max(lows) <= 14 and min(lows) < 6
    node = settled()[0]
    for second in range(3, 300, 3):
        node.see(second * S, View(True, welcome=0.1 if second % 2 else 0.9))  # it flutters: no step is taken
    assert node.step is Step.UP and len(node.spent) == 1
