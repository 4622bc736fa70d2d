"""The scale rig: its bounds, its counters against plain sockets, its quick sweep by command."""

import resource
import socket
import struct
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest
from twisted.internet.protocol import ClientFactory, DatagramProtocol
from twisted.internet.task import Clock

from limeridge.peers.messages import Table, decode, derive_key, encode
from limeridge.peers.peer import own_claim
from limeridge.scale import bounds, members_sweep, meter, orders, results, sweeps
from limeridge.scale.hollow import CountedPort, HollowReactor, Meter, settings_text
from limeridge.scale.layout import LIST_PORT, PEER_PORT, VOTERS, Fleet, Mode
from limeridge.scale.results import Point, Role, Series, Situation, Size, Unit

GIB = bounds.GIB
MACHINE = bounds.Machine(memory=24 * GIB, available=16 * GIB, descriptors=1_000)
SECRET = b"a key of measurements"


def command(*args: str, descriptors: int = 0) -> subprocess.CompletedProcess[str]:
    def limit() -> None:
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    return subprocess.run(
        [sys.executable, "-m", "limeridge.cli", "scale", "sweep", *args],
        capture_output=True,
        text=True,
        check=False,
        preexec_fn=limit,
    )


# ---- bounds


@pytest.mark.parametrize(
    ("need", "words"),
    [
        (bounds.Need(12 * GIB, 300, 1_000), ""),
        (bounds.Need(12 * GIB + 1, 1, 1), "half of the machine's"),
        (bounds.Need(1, 301, 1), "may start 300"),
        (bounds.Need(1, 1, 1_001), "may open 1000"),
    ],
)
def test_the_rig_stays_within_the_machine(need: bounds.Need, words: str) -> None:
    refusal = bounds.refusal(need, MACHINE)
    assert (words in refusal) if words else refusal == ""


def test_memory_that_others_hold_is_not_taken() -> None:
    busy = bounds.Machine(memory=24 * GIB, available=4 * GIB, descriptors=1_000)
    assert "4.00 GiB are free" in bounds.refusal(bounds.Need(5 * GIB, 1, 1), busy)


def test_a_sweep_is_refused_before_it_starts_anything(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bounds, "machine", lambda: bounds.Machine(GIB, GIB, 1_000))
    with pytest.raises(sweeps.Refused, match=r"--sizes 800: members: needs .* of memory"):
        sweeps.request_for(members_sweep.SWEEP, (800,), False, print)


# ---- late timers


def reading(at: float, processor: float, late: float, sent: int = 0) -> orders.Reading:
    traffic = orders.Traffic(bytes_out=sent)
    return orders.Reading(at, processor, traffic, orders.Traffic(), 10, (0.0, late, late), running=2)


class FakeFleet:
    """Stands in for RunningFleet: gives readings out of a list, and waits for nothing."""

    def __init__(self, given: list[orders.Reading], own_late: float = 0.0) -> None:
        self.fleet = Fleet(12, Mode.VIEWS, 160, slowdown=2.0)
        self.windows, self.given = members_sweep.WINDOWS, iter(given)
        self.workers, self.own = [FakeWorker()], FakeTimer(own_late)

    def readings(self) -> list[orders.Reading]:
        return [next(self.given)]

    def wait(self, seconds: float) -> None:
        return


class FakeWorker:
    role = Role.MEMBER


class FakeTimer:
    def __init__(self, late: float) -> None:
        self.late = late

    def since(self, begun: float) -> list[float]:
        return [self.late]


def measured(fake: FakeFleet, tries: int = 1) -> members_sweep.Readings:
    readings = members_sweep.Readings()
    members_sweep.Run(fake, readings, 0).window(Situation.REST, 1.0, tries=tries)  # type: ignore[arg-type]
    return readings


def test_late_timers_drop_a_reading_and_say_so() -> None:
    for fake in (
        FakeFleet([reading(0, 0, 0), reading(10, 1, 0.21)]),
        FakeFleet([reading(0, 0, 0), reading(10, 1, 0)], own_late=0.03),
    ):
        readings = measured(fake)
        assert not readings.by_key
        assert "machine too busy" in readings.notes[0] and "no figure" in readings.notes[0]


def test_a_dropped_reading_is_taken_again() -> None:
    given = [reading(0, 0, 0), reading(10, 1, 0.5), reading(20, 2, 0), reading(30, 3, 0.19, sent=100)]
    readings = measured(FakeFleet(given), tries=2)
    assert not readings.notes
    cost = {key.cost: points[12] for key, points in readings.by_key.items()}
    # Ten seconds that were five of the fleet, two members.
    assert cost["processor"] == [0.1] and cost["bytes out"] == [10.0]


def test_the_largest_size_is_one_that_gave_a_reading() -> None:
    readings = measured(FakeFleet([reading(0, 0, 0), reading(10, 1, 0)]))
    members_sweep.add_notes((12, 24), readings)
    assert "largest size reached: 12 members" in readings.notes


# ---- counters


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with members_sweep.claimed_block() as block:
        made = Fleet(8, Mode.VIEWS, block)
        (tmp_path / "key").write_bytes(SECRET)
        (tmp_path / "key").chmod(0o600)
        (tmp_path / "peers.txtpb").write_text(settings_text(made, str(tmp_path / "key")))
        yield made


def worker(fleet: Fleet, role: Role, folder: Path) -> meter.WorkerProcess:
    made = meter.WorkerProcess(role, orders.Begin(fleet, role, str(folder / "peers.txtpb")))
    assert made.answer() == orders.Done()
    return made


def counts(of: meter.WorkerProcess) -> orders.Reading:
    of.tell(orders.Read())
    answer = of.answer()
    assert isinstance(answer, orders.Reading)
    return answer


def test_datagrams_are_counted_as_they_went_over_the_socket(fleet: Fleet, tmp_path: Path) -> None:
    discovery = worker(fleet, Role.SERVICE_DISCOVERY, tmp_path)
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as own:
            own.settimeout(10)
            own.connect((fleet.list_host, LIST_PORT))
            sent = [b"HERE a on", b"AT a 127.0.0.1:9", b"LIST 1"]
            for datagram in sent:
                own.send(datagram)
            came = own.recv(2_000)
        told = counts(discovery)
    finally:
        discovery.end()
    assert told.datagrams == orders.Traffic(len(came), sum(map(len, sent)), 1, 3)
    assert told.largest == len(came)
    assert told.streams == orders.Traffic()


def exchange(fleet: Fleet, message: bytes) -> bytes:
    """Sends a table to the first member over TCP and gives back all that it answered."""
    with socket.create_connection((fleet.host(0), PEER_PORT), timeout=10) as stream:
        stream.sendall(message)
        came = b""
        while data := stream.recv(1 << 16):
            came += data
    return came


def test_streams_are_counted_as_they_went_over_the_socket(fleet: Fleet, tmp_path: Path) -> None:
    members = worker(fleet, Role.MEMBER, tmp_path)
    key = derive_key("scale", SECRET)
    own = own_claim("other", ("127.0.0.1", 9), 1, 1)
    body = encode(Table(own, (own,), ((0, "", 0), ()), answer=True), key)
    message = struct.pack("!I", len(body)) + body
    try:
        members.tell(orders.Start((0,), 0.0))
        members.answer()
        counts(members)  # a turn of the reactor after the start
        came = exchange(fleet, message)
        told = counts(members)
    finally:
        members.end()
    assert isinstance(decode(came[4:], key), Table)
    assert (told.streams.bytes_in, told.streams.bytes_out) == (len(message), len(came))


def test_nothing_passes_a_cut() -> None:
    clock, failed = Clock(), list[str]()

    class Way(ClientFactory):
        def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
            failed.append("unreached")

    way = HollowReactor(clock, Meter(), slowdown=3.0, cut=lambda host: host == "127.0.0.2")
    CountedPort(way, 0, DatagramProtocol(), "127.0.0.1", 100).write(b"lost", ("127.0.0.2", 9))
    assert way.meter.datagrams == orders.Traffic()
    way.connectTCP("127.0.0.2", 9, Way(), timeout=2.0)
    clock.advance(5.9)  # two seconds of the fleet take six
    assert not failed
    clock.advance(0.2)
    assert failed == ["unreached"]


def test_a_worker_that_ends_is_told(fleet: Fleet, tmp_path: Path) -> None:
    lost = worker(fleet, Role.MEMBER, tmp_path)
    lost.process.kill()
    lost.process.wait()
    with pytest.raises(meter.WorkerLost, match="it has ended"):
        counts(lost)
    lost.end()


# ---- layout


@pytest.mark.parametrize("mode", Mode)
@pytest.mark.parametrize("count", [8, 50, 800, 3_400])
def test_each_member_has_one_process_and_one_role(count: int, mode: Mode) -> None:
    fleet = Fleet(count, mode, 160)
    placed = sorted(number for each in fleet.placements() for number in each.members)
    assert placed == list(range(count))
    assert len(fleet.voters()) == min(VOTERS, count - len(fleet.duties()))
    assert all(fleet.number_at(fleet.host(number)) == number for number in placed)
    assert fleet.number_at(fleet.list_host) == -1


# ---- the quick sweep


def series(cost: str, *readings: float) -> Series:
    points = tuple(Point(float(size), (each,)) for size, each in enumerate(readings))
    return Series(cost, Role.VOTER, Situation.REST, Size.MEMBERS, Unit.BYTES, points)


def test_what_a_quick_sweep_fails_on() -> None:
    assert members_sweep.checked((series("largest view", 3, 4), series("bytes out", 1, 1))) == []
    assert len(members_sweep.checked((series("largest view", 4, 4),))) == 1
    assert len(members_sweep.checked((series("bytes out", 1, 0),))) == 1
    assert len(members_sweep.checked((series("largest message", 2_000_000, 1),))) == 1


def test_five_sizes_are_fitted() -> None:
    grows = series("bytes out", *(10.0 * size for size in range(1, 7)))
    points = tuple(msgspec.structs.replace(each, size=each.size + 1) for each in grows.points)
    law = sweeps.fitted(msgspec.structs.replace(grows, points=points)).fit
    assert law is not None and law.law == "n"
    assert sweeps.fitted(msgspec.structs.replace(grows, points=points[:4])).fit is None


def test_a_quick_sweep_by_command(tmp_path: Path) -> None:
    done = command("members", "--quick", "--json", "--sizes", "10,20", "--out", str(tmp_path))
    assert done.returncode == 0, done.stdout + done.stderr
    result = results.read(tmp_path / "members.json")
    assert msgspec.json.decode(done.stdout)[0]["failed"] == []
    assert result.command == "limeridge scale sweep members --quick --sizes 10,20"
    assert {each.role for each in result.series} == {
        Role.MEMBER,
        Role.VOTER,
        Role.LIST_READER,
        Role.SERVICE_DISCOVERY,
    }
    assert all([point.size for point in each.points] == [10, 20] for each in result.series)
    assert not {each.unit for each in result.series} & {Unit.CORE_SHARE, Unit.SECONDS}


@pytest.mark.parametrize(
    ("args", "words"),
    [
        (("nothing",), "NAME: expected one of members"),
        (("members", "--sizes", "7"), "--sizes: expected 8 to 3400 for members, got 7"),
        (("members", "--sizes", "3401"), "--sizes: expected 8 to 3400 for members, got 3401"),
        (("members", "--sizes", "many"), "--sizes': expected whole numbers with commas between, got many"),
    ],
)
def test_bad_input_is_told_in_one_line(args: tuple[str, ...], words: str) -> None:
    done = command(*args)
    assert done.returncode == 2 and done.stdout == ""
    assert words in done.stderr and done.stderr.count("\n") == 1


def test_too_few_descriptors_are_told_in_one_line() -> None:
    done = command("members", "--quick", descriptors=100)
    assert done.returncode == 2
    assert "--sizes 12,24: members: needs" in done.stderr and "may open 100" in done.stderr
    assert done.stderr.count("\n") == 1
