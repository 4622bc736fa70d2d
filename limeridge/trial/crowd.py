"""`python -m limeridge.trial.crowd PROCESSES PEERS VOTERS SECONDS`: many real instances at rest on one
machine; prints what each takes and, with PEERS 1, when all knew all, as JSON.

It owns the processes and what stands round them. It must never open a socket off loopback. The members reach
each other straight, with no relays between: nothing but them is to be weighed.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

import orjson

from limeridge.cli.peers import ask
from limeridge.sim.plan import Ranges, draw
from limeridge.trial.cost import used_by

PORT, PEER_PORT = 8443, 7950
KNOWN_MOST = 180.0  # seconds until all must know all
FAR = """
import random, sys
from twisted.internet import reactor
from limeridge.standins.kernel import Kernel
from limeridge.standins.nodelist import NodeList
for number in range(int(sys.argv[1])):
    kernel = Kernel(reactor, 2, random.Random(number), lambda ref: False)
    reactor.listenTCP(7300, kernel, interface=f"127.223.{number // 250}.{1 + number % 250}")
reactor.listenUDP(7946, NodeList(reactor), interface="127.224.0.1")
reactor.run()
"""


def at(block: int, number: int) -> str:
    """The loopback address of an instance within a block of addresses."""
    return f"127.{block}.{number // 250}.{1 + number % 250}"


def files(folder: Path, number: int, count: int, voters: int) -> tuple[Path, Path]:
    """Writes an instance's configuration and file of membership; their paths."""
    config: dict[str, Any] = draw(Ranges(), 1).config(0)
    config |= {
        "name": f"n{number}",
        "listen": f"{at(222, number)}:{PORT}",
        "kernel": f"{at(223, number)}:7300",
        "records": "127.224.0.1:9",
        "roster": "127.224.0.1:7946",
        "stop_ms": 1_500,
    }
    config["settings"]["groupSize"] = count
    path, peers = folder / f"{number}.json", folder / f"{number}.txtpb"
    path.write_bytes(orjson.dumps(config))
    seeds = "".join(f'seed: "{at(222, each)}:{PEER_PORT}"\n' for each in range(min(3, count)))
    named = "".join(f'voter: "n{each}" ' for each in range(voters))
    peers.write_text(
        f'fleet: "crowd"\nkey_file: "{folder}/key"\nlisten: ":{PEER_PORT}"\n{seeds}'
        f'show: "{folder}/{number}.sock"\nshares {{ limit: {4 * count} capacity: {count} {named}}}\n'
    )
    return path, peers


def memory_mb(pid: int) -> tuple[float, float]:
    """Resident, and of that its own alone (not shared with others that run the same program)."""
    rows = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:])
    own = sum(int(rows[name].split()[0]) for name in ("Private_Clean", "Private_Dirty"))
    return int(rows["Rss"].split()[0]) / 1_024, own / 1_024


def known(folder: Path, count: int) -> int:
    """How many hold all present, and the same of them."""
    briefs = [ask(folder / f"{number}.sock", b"brief") for number in range(count)]
    digests = [each["digest"] for each in briefs if each["present"] == count]
    return max(map(digests.count, set(digests)), default=0)


def run(folder: Path, count: int, peers: bool, voters: int, seconds: float) -> dict[str, Any]:
    """What each of `count` instances takes at rest, over `seconds`; ends all that it started."""
    (folder / "key").write_bytes(b"a key of measurements")
    (folder / "key").chmod(0o600)
    children = [subprocess.Popen([sys.executable, "-c", FAR, str(count)])]
    try:
        time.sleep(1.0)
        begun = time.monotonic()
        instances: list[subprocess.Popen[bytes]] = []
        for number in range(count):
            child = begin(folder, number, count, voters, peers)
            children.append(child)
            instances.append(child)
        started = time.monotonic() - begun
        told: dict[str, Any] = {"processes": count, "peers": peers, "voters": voters}
        if peers:
            told |= until_known(folder, count, begun)
        else:
            time.sleep(15.0)
        time.sleep(10.0)  # views and shares settle
        weighed = weigh(instances, seconds)
        if peers:
            told["dealt"] = sum(ask(folder / f"{n}.sock", b"brief")["calls"] for n in range(count))
            told["limit"] = 4 * count
        told |= weighed
        told["started_in_s"] = round(started, 1)
        told["alive"] = sum(each.poll() is None for each in instances)
        return told
    finally:
        end(children)


def begin(folder: Path, number: int, count: int, voters: int, peers: bool) -> subprocess.Popen[bytes]:
    """Starts one instance, which logs into `folder`."""
    path, settings = files(folder, number, count, voters)
    with (folder / f"{number}.log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "limeridge", *(["--peers", str(settings)] if peers else [])],
            env=os.environ | {"BALANCER_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )


def until_known(folder: Path, count: int, begun: float) -> dict[str, Any]:
    """Waits until all know all, KNOWN_MOST seconds at most; the times in seconds since `begun`."""
    while not all((folder / f"{number}.sock").exists() for number in range(count)):
        time.sleep(0.1)
    up = round(time.monotonic() - begun, 1)
    while time.monotonic() < begun + KNOWN_MOST and known(folder, count) < count:
        time.sleep(0.25)
    at = round(time.monotonic() - begun, 1)
    return {"all_up_s": up, "known_s": at, "know_all": known(folder, count)}


def weigh(instances: list[subprocess.Popen[bytes]], seconds: float) -> dict[str, Any]:
    """Processor (cores) over `seconds`, then memory (MB): the median of the instances."""
    before, since = [used_by(each.pid) for each in instances], time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - since
    used = sorted((used_by(each.pid) - one) / took for each, one in zip(instances, before, strict=True))
    memory = [memory_mb(each.pid) for each in instances]
    return {
        "processor": round(median(used), 5),
        "processor_worst": round(used[-1], 5),
        "resident_mb": round(median(each for each, _ in memory), 1),
        "own_mb": round(median(each for _, each in memory), 1),
    }


def end(children: list[subprocess.Popen[bytes]]) -> None:
    """Kills those that still run, and waits for all."""
    for child in children:
        if child.poll() is None:
            child.send_signal(signal.SIGKILL)
    for child in children:
        child.wait()


def main() -> None:
    """Runs by the arguments that the head of this file names."""
    count, peers, voters, seconds = sys.argv[1:]
    with tempfile.TemporaryDirectory() as folder:
        print(orjson.dumps(run(Path(folder), int(count), peers == "1", int(voters), float(seconds))).decode())


if __name__ == "__main__":
    main()
