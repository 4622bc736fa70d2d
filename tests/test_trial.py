"""Several processes of the program with faults between them, on loopback: waited for by what they show."""

import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner
from helpers import MAX_WAIT_S, until

from limeridge.cli.duty import duty as duty_commands
from limeridge.cli.peers import ask
from limeridge.sim.plan import Ranges, draw

PEERS = """fleet: "t"
key_file: "{folder}/key"
listen: ":7950"
seed: "127.0.201.1:7950"
seed: "127.0.201.2:7950"
show: "{folder}/{number}.sock"
interval_ms: 200
shares {{ limit: 20 capacity: 4 doubles: 0 lease_ms: 900 settle_ms: 100 }}
"""


class Fleet:
    """Processes `python -m limeridge --peers FILE`, each on an address of its own. Their kernels are not
    there: membership does without."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: dict[int, subprocess.Popen[bytes]] = {}
        (folder / "key").write_bytes(b"0123456789abcdef")
        (folder / "key").chmod(0o600)
        self.config = draw(Ranges(), 1).config(0)

    def start(
        self, number: int, change: Callable[[str], str] = lambda text: text, listed: str = "127.0.0.1:9"
    ) -> None:
        self.config |= {
            "name": f"n{number}",
            "listen": f"127.0.201.{number + 1}:8443",
            "kernel": "127.0.0.1:9",
            "records": "127.0.0.1:9",
            "roster": listed,
        }
        config, peers = self.folder / f"{number}.json", self.folder / f"{number}.txtpb"
        config.write_bytes(orjson.dumps(self.config))
        peers.write_text(change(PEERS.format(folder=self.folder, number=number)))
        self.spawn(number, config, peers)

    def spawn(self, number: int, config: Path, peers: Path) -> None:
        with (self.folder / f"{number}.log").open("ab") as log:
            self.children[number] = subprocess.Popen(
                [sys.executable, "-m", "limeridge", "--peers", str(peers)],
                env=os.environ | {"BALANCER_CONFIG": str(config)},
                stdout=log,
                stderr=log,
            )

    def show(self, number: int, what: bytes = b"show") -> dict[str, Any]:
        """Empty while it does not answer."""
        try:
            told: dict[str, Any] = ask(self.folder / f"{number}.sock", what)
        except Exception:
            return {}
        return told

    def grades(self, number: int) -> dict[str, str]:
        return {each["name"]: each["grade"] for each in self.show(number).get("members", [])}

    def shares(self, *numbers: int) -> list[int]:
        return [self.show(number).get("share", {}).get("calls", -1) for number in numbers]

    def lines(self, number: int) -> list[dict[str, Any]]:
        return [orjson.loads(line) for line in (self.folder / f"{number}.log").read_bytes().splitlines()]

    def end(self) -> None:
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
            child.wait()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    yield made
    made.end()


def test_processes_know_of_each_other_through_kill_restart_pause_and_drain(fleet: Fleet) -> None:
    for number in range(4):
        fleet.start(number)
    everybody = {f"n{number}" for number in range(4)}
    until(
        "all hold all alive",
        lambda: all(
            set(fleet.grades(number)) == everybody and fleet.show(number)["agree"] == 3 for number in range(4)
        ),
    )
    until("all of the limit dealt out", lambda: sum(fleet.shares(0, 1, 2, 3)) == 20)

    # A kill: held gone by the others, who then take over its part, but not its floor.
    fleet.children[3].kill()
    fleet.children[3].wait()
    until("held gone by all", lambda: all(fleet.grades(number).get("n3") == "gone" for number in range(3)))
    until("its part dealt anew", lambda: sum(fleet.shares(0, 1, 2)) == 18)
    old = next(each["life"] for each in fleet.show(0)["members"] if each["name"] == "n3")

    # The same name again: a newer life, and its floor is there from the start.
    fleet.start(3)
    until(
        "back in a newer life",
        lambda: all(
            next(
                (
                    each["life"]
                    for each in fleet.show(number).get("members", [])
                    if each["name"] == "n3" and each["grade"] in ("alive", "back")
                ),
                0,
            )
            > old
            for number in range(3)
        ),
    )
    until("all of the limit dealt out again", lambda: sum(fleet.shares(0, 1, 2, 3)) == 20)

    # A pause: it wakes, notices, holds nobody dead and is taken back.
    fleet.children[2].send_signal(signal.SIGSTOP)
    until("held gone while it stands still", lambda: fleet.grades(0).get("n2") == "gone")
    fleet.children[2].send_signal(signal.SIGCONT)
    until(
        "taken back", lambda: all(fleet.grades(number).get("n2") in ("alive", "back") for number in (0, 1, 3))
    )
    assert fleet.show(2)["stalls"] >= 1
    codes = [line.get("code") for line in fleet.lines(2) if line["event"] == "peers"]
    assert "stood-still" in codes
    assert not [
        line
        for line in fleet.lines(2)
        if line["event"] == "peer" and line["code"] == "gone" and line["peer"] in ("n0", "n1")
    ]

    # A drain: told, so that nobody waits for a probe to fail.
    fleet.children[1].send_signal(signal.SIGTERM)
    assert fleet.children[1].wait(MAX_WAIT_S) == 0
    until(
        "known to have left",
        lambda: all(
            next((each["state"] for each in fleet.show(number)["members"] if each["name"] == "n1"), "")
            == "left"
            for number in (0, 2, 3)
        ),
    )
    for number in range(4):
        assert not [line for line in fleet.lines(number) if "trace" in line]


def test_bad_settings_of_membership_end_with_2_and_one_line(fleet: Fleet, tmp_path: Path) -> None:
    fleet.start(0)
    fleet.children[0].kill()
    path = tmp_path / "0.txtpb"
    path.write_text(path.read_text().replace("lease_ms: 900", "lease_ms: 900 longest_ms: 10"))
    env = os.environ | {"BALANCER_CONFIG": str(tmp_path / "0.json")}
    command = [sys.executable, "-m", "limeridge", "--peers"]
    done = subprocess.run([*command, str(path)], env=env, capture_output=True, text=True, check=False)
    assert (done.returncode, done.stderr.count("\n")) == (2, 1)
    assert done.stderr.startswith("limeridge: peers: shares.longest_ms: expected ")
    path.write_text("fleet: 3\n")
    done = subprocess.run([*command, str(path)], env=env, capture_output=True, text=True, check=False)
    assert (done.returncode, done.stderr.count("\n")) == (2, 1)
    assert done.stderr.startswith(f"limeridge: {path}:1:8: ")


TRIAL = """name: "short"
instances: 6
zones: 2
rate: 60
warm_ms: 7000
rest_ms: 7000
interval_ms: 200
terms { lease_ms: 900 settle_ms: 100 }
act { kind: ACT_LOSS at_ms: 200 lasts_ms: 5000 amount: 0.1 }
act { kind: ACT_CUT at_ms: 500 lasts_ms: 5000 set: "zone a" }
act { kind: ACT_KILL at_ms: 800 lasts_ms: 1500 set: "n1" }
act { kind: ACT_PAUSE at_ms: 1000 lasts_ms: 3500 set: "n4" }
act { kind: ACT_GARBLE at_ms: 500 lasts_ms: 2000 set: "n3" amount: 500 }
expect { unanswered: 0 }
"""


def test_a_cut_a_kill_and_a_pause_under_load_never_exceed_the_limit(tmp_path: Path) -> None:
    """The judge's own rules, and what the relays did: each fault must have come through."""
    path, folder = tmp_path / "short.txtpb", tmp_path / "run"
    path.write_text(TRIAL)
    done = subprocess.run(
        [sys.executable, "-m", "limeridge.trial.rig", str(path), "3", "0", str(folder)],
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr[-2_000:]
    verdict = orjson.loads(done.stdout)
    assert verdict["broke"] == []
    assert verdict["most_in_hand"] <= verdict["limit"]
    assert verdict["states"].get("settled", 0) > 100
    assert verdict["agreed_ms"] is not None
    assert verdict["used_ms"] is not None
    lines = orjson.loads((folder / "record.json").read_bytes())["lines"]
    across = [line for line in lines if line["code"] == "gone" and (line["watcher"] - line["peer"]) % 2]
    assert across, "the cut was not felt"


def test_processes_are_dealt_the_limit_by_need_and_keep_to_it_when_the_dealer_dies(fleet: Fleet) -> None:
    more = """duties { version: 1 voter: ["n0", "n1", "n2"] lease_ms: 600 step_ms: 60 steady_ms: 60000
                       ledger_allot: true allot_ms: 500 }
    """
    for number in range(4):
        # No floors and no callers: each asks for the one call that it might begin with.
        fleet.start(number, lambda text: text.replace("doubles: 0", "doubles: 0 floor_share: 0") + more)
    floor = 0

    def shares() -> list[int]:
        told = [max(0, share) for share in fleet.shares(0, 1, 2, 3)]
        assert sum(told) <= 20
        return told

    until("all have more than their floor", lambda: min(shares()) > floor)
    dealers = [
        number
        for number in range(4)
        for row in fleet.show(number, b"duties").get("duties", [])
        if row["granted_by"]
    ]
    assert len(dealers) == 1
    dealer = dealers[0]
    fleet.children[dealer].kill()
    left = [number for number in range(4) if number != dealer]
    until("grants lapse", lambda: all(shares()[number] == floor for number in left))
    until("another deals", lambda: all(shares()[number] > floor for number in left))


class ReadableList(threading.Thread):
    """A node list that members read: it answers with the places that they told."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.at = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.places: dict[str, str] = {}
        self.askers: list[str] = []

    def run(self) -> None:
        while True:
            try:
                data, sender = self.socket.recvfrom(2_000)
            except OSError:
                return
            words = data.decode().split(" ")
            if words[0] == "AT":
                self.places[words[1]] = words[2]
            elif words[0] == "LIST":
                self.askers.append(sender[0])
                told = ["LISTED", words[1], "0", "1", *self.places.values()]
                self.socket.sendto(" ".join(told).encode(), sender)


def test_processes_find_each_other_by_the_list_and_one_reads_it_through_kill_and_pause(fleet: Fleet) -> None:
    listed = ReadableList()
    listed.start()
    more = """from_list: true
        duties { version: 1 voter: ["n0", "n1", "n2"] lease_ms: 600 step_ms: 60 steady_ms: 60000
                 list_read: true }
    """

    def start(number: int) -> None:
        fleet.start(number, lambda text: text.replace("seed:", "#") + more, listed.at)

    def holders(*numbers: int) -> list[str]:
        """Those that say that they hold it, asked one after the other."""
        told = [fleet.show(number, b"duties") for number in numbers]
        return [row["holder"] for each in told for row in each.get("duties", []) if row["granted_by"]]

    for number in range(4):
        start(number)
    until("all know all, with no seeds", lambda: all(len(fleet.grades(n)) == 4 for n in range(4)))
    until("one reads for all", lambda: len(holders(0, 1, 2, 3)) == 1)
    [first] = holders(0, 1, 2, 3)
    socket_of = {f"n{number}": str(fleet.folder / f"{number}.sock") for number in range(4)}
    other = next(name for name in socket_of if name != first)

    def by_hand(*words: str) -> str:
        return CliRunner().invoke(duty_commands, words).output

    assert "does not hold" in by_hand("release", socket_of[other], "list-read")
    assert "given up" in by_hand("move", socket_of[first], "list-read", other)
    until("who was named has it", lambda: holders(0, 1, 2, 3) == [other])
    first = other
    killed = int(first[1:])
    fleet.children[killed].kill()
    left = [number for number in range(4) if number != killed]
    until("another has it", lambda: len(holders(*left)) == 1)
    [second] = holders(*left)
    assert second != first
    paused = int(second[1:])
    fleet.children[paused].send_signal(signal.SIGSTOP)
    start(killed)  # a quorum of voters must be there
    others = [number for number in range(4) if number != paused]
    until("a third has it while the holder stands still", lambda: len(holders(*others)) == 1)
    fleet.children[paused].send_signal(signal.SIGCONT)
    until("who woke does not hold it", lambda: holders(paused) == [])
    assert len(holders(*others)) == 1
    assert "lapsed" in [line["code"] for line in fleet.lines(paused) if line["event"] == "duty"]
    tokens = [
        line["token"]
        for number in range(4)
        for line in fleet.lines(number)
        if line["event"] == "duty" and line["code"] == "granted"
    ]
    assert len(tokens) == len(set(tokens)) >= 3
    listed.socket.close()
