"""Parsers and codecs: any chunking gives the same messages, and no input breaks them or fills memory."""

import base64
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest
from helpers import SAMPLE_CONFIG
from hypothesis import given, settings
from hypothesis import strategies as st

from limeridge.config import ConfigError, parse_setup, read
from limeridge.facade import Answer, AnswerKind, EndStatus, RunBlocked, RunEnded
from limeridge.net import callers, kernel, ledger
from limeridge.words import parse_settings

many_examples = settings(derandomize=True, max_examples=150, deadline=None)
chunk_lengths = st.lists(st.integers(1, 40), max_size=60)
json_values: Any = st.recursive(
    st.none() | st.booleans() | st.integers(-(1 << 60), 1 << 60) | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=4),
    max_leaves=8,
)


def chunks(data: bytes, lengths: list[int]) -> list[bytes]:
    """Splits the data into chunks of the given lengths and the rest; into single bytes if there are none."""
    if not lengths:
        return [data[i : i + 1] for i in range(len(data))]
    parts, start = [], 0
    for length in lengths:
        parts.append(data[start : start + length])
        start += length
    return [*parts, data[start:]]


@many_examples
@given(bodies=st.lists(st.binary(max_size=60), max_size=6), lengths=chunk_lengths)
def test_frames_are_parsed_from_any_chunks(bodies: list[bytes], lengths: list[int]) -> None:
    frames, out = callers.FrameParser(), []
    for part in chunks(b"".join(map(callers.encode_frame, bodies)), lengths):
        out += list(frames.feed(part))
    assert out == bodies and not frames.data


@many_examples
@given(
    parts=st.lists(
        st.binary(max_size=600)
        | st.sampled_from(
            [b"Content-Length: ", b"3", b"\r\n", b"\r\n\r\n", b"content-length:9\r\n\r\n", b"99999", b"x:y"]
        ),
        max_size=30,
    )
)
def test_invalid_bytes_neither_break_the_frame_parser_nor_fill_its_buffer(parts: list[bytes]) -> None:
    frames = callers.FrameParser()
    try:
        for part in parts:
            assert all(len(body) <= callers.MAX_BODY_BYTES for body in frames.feed(part))
            assert len(frames.data) <= callers.MAX_BODY_BYTES + callers.MAX_HEADER_BYTES
    except callers.BadFrame as bad:
        assert str(bad) in ("bad-head", "bad-length", "no-length", "oversize")


@pytest.mark.parametrize(
    ("head", "code"),
    [
        (b"Content-Length: 99999\r\n\r\n", "oversize"),
        (b"Content-Type: a\r\n\r\n", "no-length"),
        (b"Content-Length: -1\r\n\r\n", "bad-length"),
        (b"Content-Length: 2\r\nContent-Length: 2\r\n\r\n", "bad-length"),
        (b"GET / HTTP/1.1\r\n\r\n", "bad-head"),
        (b"\x16\x03\x01\x02", "bad-head"),
        (b"a" * 2000, "bad-head"),
    ],
)
def test_an_invalid_head_is_rejected_with_its_code(head: bytes, code: str) -> None:
    with pytest.raises(callers.BadFrame, match=code):
        list(callers.FrameParser().feed(head))


@many_examples
@given(
    lines=st.lists(
        st.binary(min_size=1, max_size=30).filter(lambda b: b"\n" not in b and b.strip()), max_size=8
    ),
    lengths=chunk_lengths,
)
def test_lines_are_parsed_from_any_chunks(lines: list[bytes], lengths: list[int]) -> None:
    parser, out = kernel.LineParser(), []
    for part in chunks(b"".join(line + b"\n" for line in lines), lengths):
        out += list(parser.feed(part))
    assert out == lines and not parser.data


def test_an_endless_line_does_not_fill_memory() -> None:
    parser = kernel.LineParser()
    with pytest.raises(kernel.BadLine):
        for _ in range(100):
            list(parser.feed(b"x" * 1_000))
    assert len(parser.data) <= kernel.MAX_LINE_BYTES + 1_000


@many_examples
@given(
    status=st.sampled_from([200, 500, 503, 504, 409]),
    body=st.binary(max_size=40),
    begun=st.booleans(),
    lengths=chunk_lengths,
    preceded_by_100=st.booleans(),
)
def test_replies_are_parsed_from_any_chunks(
    status: int, body: bytes, begun: bool, lengths: list[int], preceded_by_100: bool
) -> None:
    reply = b"HTTP/1.1 100 Continue\r\n\r\n" * preceded_by_100 + b"HTTP/1.1 %d Some Reason\r\n" % status
    reply += (b"" if begun else b"op-not-begun: 1\r\n") + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    parser = ledger.ReplyParser()
    out = [parsed for part in chunks(reply, lengths) if part and (parsed := parser.feed(part))]
    assert out == [(status, not begun, body)]


@many_examples
@given(
    parts=st.lists(
        st.binary(max_size=600)
        | st.sampled_from(
            [
                b"HTTP/1.1 200 OK\r\n",
                b"Content-Length: 3\r\n",
                b"\r\n",
                b"abc",
                b"HTTP/1.1 20",
                b"Content-Length: 99999",
            ]
        ),
        max_size=30,
    )
)
def test_invalid_bytes_neither_break_the_reply_parser_nor_fill_its_buffer(parts: list[bytes]) -> None:
    replies = ledger.ReplyParser()
    try:
        for part in parts:
            replies.feed(part)
            assert len(replies.data) <= ledger.MAX_HEAD_BYTES + ledger.MAX_BODY_BYTES
    except ledger.BadReply:
        pass


@pytest.mark.parametrize(
    ("reply", "end"),
    [
        (b"HTTP/1.1 200 OK", EndStatus.OK),
        (b"HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1", EndStatus.FULL),
        (b"HTTP/1.1 503 Busy", EndStatus.FAILED),
        (b"HTTP/1.1 500 Oh", EndStatus.FAILED),
        (b"HTTP/1.1 504 Late", EndStatus.TIMED_OUT),
        (b"HTTP/1.1 409 No\r\nOp-Not-Begun: 1", EndStatus.NEVER_BEGAN),
        (b"HTTP/1.1 409 No", EndStatus.FAILED),
        (b"HTTP/1.1 504 Late\r\nOp-Not-Begun: 1", EndStatus.TIMED_OUT),
        (b"HTTP/1.1 302 Go", EndStatus.FAILED),
    ],
)
def test_a_reply_gives_only_the_status_that_it_proves(reply: bytes, end: EndStatus) -> None:
    parsed = ledger.ReplyParser().feed(reply + b"\r\nContent-Length: 0\r\n\r\n")
    assert parsed is not None and ledger.call_end_status(parsed[0], parsed[1]) is end


@many_examples
@given(
    value=json_values
    | st.fixed_dictionaries(
        {
            "jsonrpc": st.just("2.0"),
            "id": st.just(5) | json_values,
            "method": st.sampled_from(["look", "heartbeat", "revoke"]),
        },
        optional={
            "params": json_values | st.dictionaries(st.sampled_from([*"isftdrhmpokx", "doc"]), json_values)
        },
    )
)
def test_any_json_is_decoded_to_a_message_or_a_fault(value: Any) -> None:
    decoder = callers.Decoder(["look"], parse_setup(SAMPLE_CONFIG).tenants)
    message = decoder.decode(json.dumps(value).encode())
    assert isinstance(
        message, callers.TxnRequest | callers.Revoke | callers.Heartbeat | callers.InvalidMessage
    )


@many_examples
@given(
    line=st.binary(max_size=60)
    | (
        json_values
        | st.fixed_dictionaries(
            {
                "event": st.sampled_from(
                    ["REAP", "IOREQ", "INFO", "BOOTED", "POSTED", "EINVAL", "DMESG", "NEW"]
                )
            },
            optional=dict.fromkeys(
                ("cursor", "handle", "arg", "fate", "lasted", "ticket", "figures"), json_values
            ),
        )
    ).map(lambda v: json.dumps(v).encode())
)
def test_any_line_of_the_kernel_is_decoded_or_ignored(line: bytes) -> None:
    message = kernel.decode(line)
    assert message is None or isinstance(
        message, kernel.Booted | kernel.Notice | kernel.Gauges | kernel.Posted | kernel.Invalid
    )


def test_notices_are_decoded_into_events() -> None:
    assert kernel.decode(
        b'{"event":"REAP","cursor":3,"handle":"a","fate":"ok","lasted":2,"arg":"Zm9v"}'
    ) == kernel.Notice(3, "a", RunEnded(EndStatus.OK, "Zm9v"))
    assert kernel.decode(b'{"event":"IOREQ","cursor":4,"handle":"a","arg":"Zm9v"}') == kernel.Notice(
        4, "a", RunBlocked(4, b"foo")
    )
    assert kernel.decode(b'{"event":"BOOTED","fate":"cold","lasted":2.5}') == kernel.Booted(True, 2_500)
    assert kernel.decode(b'{"event":"REAP","cursor":3,"handle":"a","fate":"odd"}') is None


def test_answers_are_encoded_with_all_fields_for_the_caller() -> None:
    def sent(answer: Answer) -> Any:
        [body] = callers.FrameParser().feed(callers.encode_answer(7, answer, 0.25))
        return orjson.loads(body)

    assert sent(Answer(AnswerKind.SETTLED, doc="Zm9v"))["result"] == {"doc": "Zm9v", "v": 0.25}
    assert sent(Answer(AnswerKind.DECLINED, retry_after_us=12_500, no_failover=True))["error"] == {
        "code": -32008,
        "message": "turned away",
        "data": {"v": 0.25, "w": 12.5, "l": 1},
    }
    assert sent(Answer(AnswerKind.VOIDED))["error"]["code"] not in (0, -32008)


# ---- configuration


def with_changed(path: str, value: object) -> dict[str, Any]:
    """Returns the sample with one key set to `value`, or removed if it is None."""
    sample: dict[str, Any] = json.loads(json.dumps(SAMPLE_CONFIG))
    *parents, last = path.split(".")
    parent: Any = sample
    for part in parents:
        parent = parent[int(part)] if part.isdecimal() else parent[part]
    key: Any = int(last) if last.isdecimal() else last
    parent[key] = value
    if value is None:
        del parent[key]
    return sample


def test_the_settings_give_the_same_mapping_as_the_simulators_first_message() -> None:
    text = (
        "classes.count=2 classes.0.name=look classes.0.aim=1000000 classes.0.deadline=4000000 "
        "classes.0.idempotency=free classes.0.keyTtl=2000000 classes.0.worth=1.0 classes.1.name=book "
        "classes.1.aim=1000000 classes.1.deadline=4000000 classes.1.idempotency=guarded "
        "classes.1.keyTtl=2000000 classes.1.worth=3.0 accounts.count=1 accounts.0.name=acme_west "
        "accounts.0.quotaPerS=45.0 "
        "accounts.0.share=0.5 familyInfo.cpus=2 familyInfo.classCalls=true,true "
        "familyInfo.classSkipWorth=0.5,0.0 familyInfo.callsOut=4.0 familyInfo.callsOver=5000000 "
        "familyInfo.linger=200000 familyInfo.memoryKb=4000.0 familyInfo.runFactor=8.0 "
        "familyInfo.kbPerKey=20.0 familyInfo.passesDeadline=true familyInfo.preemption=none "
        "familyInfo.say=weight familyInfo.idle=30000000 familyInfo.gauges=cpu_busy,runnable,mem_used,sockets "
        "familyInfo.justStarted=false "
        "guarantees.drainGrace=300000 guarantees.overloadFactor=4.0 guarantees.coldFrom=0.25 "
        "guarantees.rampTime=10000000 ceilings.retryAfter=true ceilings.maxRetryAfter=1000000 groupSize=3 "
        "round=5000 clients.marksRetry=true valueBy=work zones=a,b"
    )
    setup = parse_setup(SAMPLE_CONFIG)
    plain = setup.plain
    expected = parse_settings((name, value) for name, _, value in (p.partition("=") for p in text.split()))
    customers = {name: expected.pop(name) for name in list(expected) if name.startswith("customers.")}
    assert plain == expected
    # Tenants are kept in a separate table, under the same numbers.
    assert len(setup.tenants) == customers["customers.count"] == 1
    assert setup.tenants.find("acme west") == 0 and setup.tenants.name(0) == "acme west"
    assert setup.tenants.quota(0) == customers["customers.0.quota_per_s"]
    assert plain["products.1.kind"] == "referenced" and plain["instance.skip_values"] == [0.5, 0.0]


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("name", None),
        ("name", 3),
        ("listen", "localhost:1"),
        ("listen", "127.0.0.1"),
        ("kernel", "127.0.0.1:0"),
        ("records", None),
        ("roster", "[::1]"),
        ("seed", "xyz"),
        ("stop_ms", -1),
        ("limits.sockets", 1.5),
        ("limits.memory_mb", 1),
        ("settings", []),
        ("settings.classes", []),
        ("settings.classes.1.aim", None),
        ("settings.classes.0.deadline", "soon"),
        ("settings.familyInfo.cpus", 0),
        ("settings.familyInfo.cpus", True),
        ("settings.guarantees.coldFrom", 1.5),
        ("settings.familyInfo.classSkipWorth.1", "no"),
    ],
)
def test_invalid_configuration_is_reported_with_its_key(path: str, value: object) -> None:
    with pytest.raises(ConfigError) as error:
        parse_setup(with_changed(path, value))
    assert str(error.value).startswith(path + ":") and "expected" in str(error.value)


@many_examples
@given(
    path=st.sampled_from(
        [
            "name",
            "listen",
            "limits",
            "stop_ms",
            "settings",
            "settings.classes.0",
            "settings.familyInfo",
            "settings.familyInfo.gauges",
            "settings.accounts",
            "settings.classes.0.worth",
            "settings.guarantees",
        ]
    ),
    value=json_values,
)
def test_any_value_is_accepted_or_reported_in_one_line(path: str, value: Any) -> None:
    try:
        parse_setup(with_changed(path, value))
    except ConfigError as error:
        assert "\n" not in str(error)


def test_invalid_configuration_ends_the_program_with_one_line(tmp_path: Any) -> None:
    (tmp_path / "bad").write_bytes(orjson.dumps(with_changed("settings.familyInfo.cpus", 0)))
    process = subprocess.run(
        [sys.executable, "-m", "limeridge"],
        cwd=Path(__file__).parent.parent,
        text=True,
        env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "bad")},
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert (process.returncode, process.stdout) == (2, "")
    assert process.stderr == "limeridge: settings.familyInfo.cpus: expected a whole number from 1 to 100000\n"


def test_a_missing_file_or_invalid_json_is_reported(tmp_path: Any) -> None:
    (tmp_path / "bad").write_bytes(b"{")
    (tmp_path / "good").write_bytes(orjson.dumps(SAMPLE_CONFIG | {"new": base64.b64encode(b"x").decode()}))
    assert read(str(tmp_path / "good")).stop == 3_200_000
    for path in (None, str(tmp_path / "none"), str(tmp_path / "bad")):
        with pytest.raises(ConfigError, match="BALANCER_CONFIG: expected"):
            read(path)
