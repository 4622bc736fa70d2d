"""The scale rig's open-loop generator, its pairing, and the quick form of the sweeps of real instances."""

import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, nullcontext
from pathlib import Path
from types import SimpleNamespace

import pytest

from limeridge.scale import page as page_of_results
from limeridge.scale import real_instance, request_path, sweeps
from limeridge.scale.below import LOOPBACK, Ports
from limeridge.scale.collect import Collector, Cost
from limeridge.scale.configuration_sweep import ConfigurationSweep
from limeridge.scale.load import (
    PAIR_GAP,
    Answered,
    Arm,
    Channel,
    OpenLoop,
    Outcome,
    Request,
    Send,
    added,
    draw_requests,
    quantiles,
    too_late,
)
from limeridge.scale.real_instance import RealInstance, Refused
from limeridge.scale.request_path import PathSweep, Window
from limeridge.scale.results import Situation, Size, Sweep, Unit, read, write

STALL = 0.4  # seconds
COMMAND_BY = 60.0


class Echoed:
    """One line a request, echoed as its answer."""

    def __init__(self) -> None:
        self.rest = b""

    def greeting(self) -> bytes:
        return b"0\n"

    def message(self, request: Request) -> bytes:
        return b"%d\n" % request.number

    def answers(self, data: bytes) -> Iterator[Answered]:
        *lines, self.rest = (self.rest + data).split(b"\n")
        yield from (Answered(int(line), True) for line in lines)


@contextmanager
def echo_server(stall_at: float = 60.0) -> Iterator[tuple[str, int]]:
    """Echoes one connection, but for one stall so many seconds after its first bytes."""
    with socket.create_server((LOOPBACK, 0)) as listener:

        def serve() -> None:
            served, _ = listener.accept()
            stall = time.monotonic() + stall_at
            with served:
                while data := served.recv(65_536):
                    if time.monotonic() >= stall:
                        time.sleep(STALL)
                        stall += 1_000
                    served.sendall(data)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield listener.getsockname()[:2]
        thread.join(COMMAND_BY)


def played(address: tuple[str, int], dues: list[float]) -> tuple[Arm, OpenLoop]:
    """Requests due at these seconds from now."""
    arm = Arm([Channel(address, Echoed())], {})
    now = time.monotonic()
    requests = [Request(number, due, due, 0, 0) for number, due in enumerate(dues, 1)]
    loop = OpenLoop([Send(now + request.through_at, arm, request) for request in requests])
    loop.run(linger=5.0)
    for channel in arm.channels:
        channel.socket.close()
    return arm, loop


def test_a_stall_of_the_server_shows_in_all_requests_due_meanwhile() -> None:
    with echo_server(stall_at=0.2) as address:
        arm, _ = played(address, [number / 100 for number in range(100)])
    assert len(arm.latencies) == 100
    assert max(arm.latencies.values()) > 0.9 * STALL
    # A generator that waits for an answer before it sends again records one such latency alone.
    assert sum(latency > STALL / 4 for latency in arm.latencies.values()) >= 25


def test_latency_counts_from_the_time_at_which_a_request_was_to_be_sent() -> None:
    with echo_server() as address:
        arm, loop = played(address, [-0.5, -0.25])
    assert arm.latencies[1] >= 0.5 and arm.latencies[2] >= 0.25
    assert loop.lateness[0] >= 0.5 and loop.lateness[1] >= 0.25
    assert too_late(loop.lateness)


def test_the_answers_of_a_connection_that_ends_are_missing_and_nothing_else() -> None:
    with socket.create_server((LOOPBACK, 0)) as listener:

        def serve() -> None:
            served, _ = listener.accept()
            with served:
                served.sendall(served.recv(100))
                served.recv(100)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        arm = Arm([Channel(listener.getsockname()[:2], Echoed())], {})
        now = time.monotonic()
        loop = OpenLoop([Send(now + each / 20, arm, Request(each, 0.0, 0.0, 0, 0)) for each in range(1, 5)])
        loop.run(linger=0.1)
        thread.join(COMMAND_BY)
    assert (arm.latencies, len(loop.open), len(loop.lateness)) == ({}, 4, 4)


@pytest.mark.parametrize(
    ("lateness", "dropped"),
    [([0.0001] * 1_000, False), ([0.0001] * 985 + [0.002] * 15, True), ([0.0001] * 1_000 + [0.02], True)],
)
def test_a_generator_that_is_late_itself_is_told(lateness: list[float], dropped: bool) -> None:
    assert too_late(lateness) is dropped


@pytest.mark.parametrize(("lateness", "tried"), [(0.0, 1), (0.5, request_path.TRIES)])
def test_a_reading_of_a_busy_machine_is_dropped_and_said_so(
    lateness: float, tried: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    collector = Collector(lambda line: None)
    tries: list[int] = []

    def window(self: PathSweep, *_: object) -> Window:
        tries.append(1)
        return Window(Outcome({1: 0.0}, {1: 0.1}, {1: 0.1}, (lateness,)), 0.0, 1.0)

    monkeypatch.setattr(PathSweep, "window", window)
    sweep = PathSweep(collector, None, Path())  # type: ignore[arg-type]
    found = sweep.steady_window(None, request_path.Load(), "a size")  # type: ignore[arg-type]
    assert (found is None, len(tries)) == (lateness > 0, tried)
    assert any("machine too busy" in note for note in collector.notes) == (lateness > 0)


def test_requests_are_drawn_ahead_from_the_seed_alone() -> None:
    requests = draw_requests(200.0, 5.0, 10, seed=3)
    assert requests == draw_requests(200.0, 5.0, 10, seed=3) != draw_requests(200.0, 5.0, 10, seed=4)
    assert 800 < len(requests) < 1_200
    gaps = [request.direct_at - request.through_at for request in requests]
    assert all(abs(abs(gap) - PAIR_GAP) < 1e-9 for gap in gaps)
    assert 0.4 < sum(gap > 0 for gap in gaps) / len(gaps) < 0.6


def test_what_is_added_is_the_difference_of_a_pair_that_was_answered_both_ways() -> None:
    found = added({1: 0.005, 2: 0.004, 3: 0.9}, {1: 0.002, 2: 0.006, 4: 0.001})
    assert found == pytest.approx({1: 0.003, 2: 0.0})


def test_quantiles_are_those_of_the_latencies() -> None:
    found = quantiles([number / 1_000 for number in range(1, 1_001)])
    assert (found.count, found.longest) == (1_000, 1.0)
    assert (found.p50, found.p99, found.p999) == pytest.approx((0.5, 0.99, 0.999), rel=2e-3)


def test_requests_due_before_a_reload_or_well_after_it_are_not_met_by_it() -> None:
    due = {1: request_path.RELOAD_AT - 0.1, 2: request_path.RELOAD_AT + 0.9, 3: request_path.RELOAD_AT + 1.4}
    outcome = Outcome(due, {1: 0.1, 2: 0.2, 3: 0.3}, dict.fromkeys(due, 0.0), ())
    assert Window(outcome, 0.0, 3.0, reload_seconds=0.2).added_by_reload == [0.2]
    assert Window(outcome, 0.0, 3.0, reload_seconds=1.5).added_by_reload == [0.2, 0.3]


def test_an_instance_that_refuses_its_file_is_told_with_its_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(real_instance, "configuration", lambda *_: b'{"seed": "x"}')
    with pytest.raises(Refused, match="seed: expected hex digits"):
        RealInstance(tmp_path, Ports(1, 2, 3, 4), tenants=1)


def test_a_collector_gives_ascending_sizes_with_all_their_readings() -> None:
    collector = Collector(lambda line: None)
    cost = Cost("memory", Situation.REST, Size.TENANTS, Unit.BYTES)
    for size, reading in ((20, 2.0), (10, 1.0), (20, 3.0)):
        collector.add(cost, size, reading)
    assert [(point.size, point.readings) for point in collector.points(cost)] == [
        (10, (1.0,)),
        (20, (2.0, 3.0)),
    ]


@pytest.mark.parametrize("result", ["request_path", "configuration"])
def test_the_quick_form_counts_the_same_each_time(result: str, tmp_path: Path) -> None:
    name = next(name for name, sweep in sweeps.registered().items() if sweep.name == result)
    found = []
    for run in range(2):
        folder = tmp_path / str(run)
        command = [
            sys.executable,
            "-m",
            "limeridge.cli",
            "scale",
            "sweep",
            name,
            "--quick",
            "--out",
            str(folder),
        ]
        subprocess.run(command, check=True, capture_output=True, timeout=COMMAND_BY)
        found.append(read(folder / f"{result}.json"))
    first, second = found
    assert (first.series, first.notes) == (second.series, second.notes)
    assert {series.unit for series in first.series} == {Unit.COUNT, Unit.BYTES}
    counts = {series.cost: [sum(point.readings) for point in series.points] for series in first.series}
    if result == "request_path":
        assert counts["requests"] == counts["requests answered both ways"] and min(counts["requests"]) > 30
        assert set(counts["requests refused"] + counts["requests unanswered"]) == {0}
    else:
        assert set(counts["reloads told in the log"]) == {1}
        assert counts["file"] == sorted(counts["file"]) and counts["file"][-1] > 40_000
        assert max(counts["revision of one change, encoded"]) < 300


def test_a_quick_sweep_fails_on_a_request_that_is_not_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    outcome = Outcome({1: 0.0, 2: 0.1}, {1: 0.1}, {1: 0.1, 2: 0.1}, (), unanswered=1)
    monkeypatch.setattr(PathSweep, "window", lambda *_, **__: Window(outcome, 0.0, 1.0))
    monkeypatch.setattr(PathSweep, "start", lambda *_: nullcontext())
    measured = request_path.run(sweeps.Request((10,), quick=True, progress=lambda line: None))
    assert measured.failed == ("10 tenants: 1 of 2 answered both ways",)


def test_the_page_says_what_the_results_say() -> None:
    page = (page_of_results.FOLDER / "README.md").read_text()
    assert page == page_of_results.written(page, page_of_results.FOLDER)


def test_a_part_of_the_page_is_written_from_its_result(tmp_path: Path) -> None:
    collector = Collector(lambda line: None)
    cost = Cost("start", Situation.START, Size.TENANTS, Unit.SECONDS)
    for reading in (0.0012, 0.0014):
        collector.add(cost, 1_000, reading)
    collector.note("not reached: 2,000")
    measured = collector.measured()
    write(
        tmp_path / "test.json",
        Sweep(1, "test", "abc", 8, 24.0, "the command", 1.0, measured.series, measured.notes),
    )
    page = page_of_results.written("# Head\n<!-- sweep test -->\nold\n<!-- end -->\nTail\n", tmp_path)
    assert "| start, at the start | ms | 1.3 (1.2 to 1.4) | - |" in page
    assert page.startswith("# Head\n") and page.endswith("<!-- end -->\nTail\n") and "old" not in page
    assert "`the command`" in page and "- not reached: 2,000" in page


@pytest.mark.parametrize(("lateness", "kept"), [(0.0, 1.5), (0.5, None)])
def test_a_start_on_a_busy_machine_is_left_out(lateness: float, kept: float | None) -> None:
    collector = Collector(lambda line: None)
    timer = SimpleNamespace(since=lambda begun: [lateness])
    sweep = ConfigurationSweep(collector, None, Path(), timer)  # type: ignore[arg-type]
    instance = SimpleNamespace(start_seconds=1.5, tenants=7)
    assert sweep._start_seconds(instance, 0.0) == kept  # type: ignore[arg-type]
    assert any("machine too busy" in note for note in collector.notes) == (kept is None)
