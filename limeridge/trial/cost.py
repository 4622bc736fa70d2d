"""`python -m limeridge.trial.cost MEMBERS PAIRS RATE SECONDS VOTERS`: what membership costs a txn, in pairs
of runs with and without it; prints a row of JSON a run.

It owns the processes of the other members, which stay for all runs, and one measured instance a run, with its
kernel, ledger, node list and callers in this process. It must never open a socket off loopback.
"""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
from twisted.internet import reactor as the_reactor
from twisted.internet.defer import Deferred, ensureDeferred

from limeridge.sim.plan import Ranges, draw
from limeridge.standins.callers import Stub, StubOptions, TxnSpec
from limeridge.standins.kernel import Kernel
from limeridge.standins.ledger import Ledger
from limeridge.standins.nodelist import NodeList

PORT, PEER_PORT = 8443, 7950
SETTLED = 12.0  # seconds after the start of a run until load is measured: shares are dealt by then
DRAINED = 3.0
CALLERS = 8
KINDS = {"free": "inquiry-like", "guarded": "referenced", "single_shot": "once-only"}


def at(number: int) -> str:
    """The loopback address of an instance."""
    return f"127.221.0.{number + 1}"


def used_by(pid: int) -> float:
    """Processor seconds of all threads of a process, to the nanosecond."""
    spent = sum(
        int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir()
    )
    return spent / 1e9


class Cost:
    """Pairs of measurements of one instance under load, with peers and without, beside members at rest."""

    def __init__(self, members: int, rate: float, seconds: float, voters: int, folder: Path) -> None:
        self.members, self.rate, self.seconds, self.voters = members, rate, seconds, voters
        self.folder = folder
        self.reactor: Any = the_reactor
        self.plan = draw(Ranges(), 4)
        self.children: list[subprocess.Popen[bytes]] = []
        self.gone: set[str] = set()
        self.kernel: Kernel | None = None
        self.count = 0
        (folder / "key").write_bytes(b"a key of measurements")
        (folder / "key").chmod(0o600)

    def files(self, number: int, kernel: int, ledger: int, listed: int) -> tuple[Path, Path]:
        """Writes an instance's configuration and file of membership; their paths."""
        config = self.plan.config(0)
        config |= {
            "name": f"n{number}",
            "listen": f"{at(number)}:{PORT}",
            "kernel": f"127.0.0.1:{kernel}",
            "records": f"127.0.0.1:{ledger}",
            "roster": f"127.0.0.1:{listed}",
            "stop_ms": 1_500,
        }
        config["settings"]["familyInfo"] |= {"cpus": 4, "callsOut": 64.0, "justStarted": False}
        path, peers = self.folder / f"{number}.json", self.folder / f"{number}.txtpb"
        path.write_bytes(orjson.dumps(config))
        seeds = "".join(f'seed: "{at(each)}:{PEER_PORT}"\n' for each in range(1, 4))
        voters = "".join(f'voter: "n{each}" ' for each in range(1, self.voters + 1))
        peers.write_text(
            f'fleet: "cost"\nkey_file: "{self.folder}/key"\nlisten: ":{PEER_PORT}"\n{seeds}'
            f"shares {{ limit: {64 * self.members} capacity: {self.members} {voters}}}\n"
        )
        return path, peers

    def spawn(self, number: int, files: tuple[Path, Path], peers: bool) -> subprocess.Popen[bytes]:
        """Starts an instance that logs into the folder."""
        with (self.folder / f"{number}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "limeridge", *(["--peers", str(files[1])] if peers else [])],
                env=os.environ | {"BALANCER_CONFIG": str(files[0])},
                stdout=log,
                stderr=log,
            )

    async def run(self, pairs: int) -> None:
        """Measures `pairs` pairs, their order changed about, and prints a row of JSON for each."""
        self.found()
        for number in range(1, self.members):
            self.children.append(self.spawn(number, self.files(number, 9, 9, 9), peers=True))
        await self.wait(SETTLED)
        for pair in range(pairs):
            for peers in (True, False) if pair % 2 else (False, True):
                row = await self.measure(pair, peers)
                print(orjson.dumps(row).decode(), flush=True)

    def wait(self, seconds: float) -> Deferred[None]:
        """Fires after so many seconds."""
        done: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, done.callback, None)
        return done

    def found(self) -> None:
        """Starts the stand-ins that instances need: records service and service discovery."""
        self.ledger = Ledger(self.reactor, random.Random(2), slots=1_000)
        self.node_list = NodeList(self.reactor, delay_s=0.0)
        listen = self.reactor.listenTCP
        self.ledger_port = listen(0, self.ledger, interface="127.0.0.1").getHost().port
        self.listed = self.reactor.listenUDP(0, self.node_list, interface="127.0.0.1").getHost().port

    def over(self, ref: str) -> None:
        """Notes that the caller of a request is gone, and ends the request's run."""
        self.gone.add(ref)
        if self.kernel is not None:
            self.kernel.cancel_finished_txn(ref)

    async def measure(self, pair: int, peers: bool) -> dict[str, Any]:
        """One life of the measured instance, the same traffic in both runs of a pair."""
        self.gone.clear()  # both runs of a pair draw the same refs
        self.kernel = Kernel(self.reactor, 4, random.Random(pair), self.gone.__contains__)
        port = self.reactor.listenTCP(0, self.kernel, interface="127.0.0.1")
        files = self.files(0, port.getHost().port, self.ledger_port, self.listed)
        child = self.spawn(0, files, peers)
        self.children.append(child)
        stubs = list(self.stubs(pair))
        await self.wait(SETTLED)
        chance, begun, used = random.Random(pair), time.monotonic(), used_by(child.pid)
        txns = int(self.seconds * self.rate)
        for number in range(txns):
            self.reactor.callLater(chance.random() * self.seconds, self.ask, stubs, chance, number)
        await self.wait(self.seconds + DRAINED)
        used, took = used_by(child.pid) - used, time.monotonic() - begun
        child.send_signal(signal.SIGTERM)
        await self.wait(2.0)
        child.wait()
        self.children.remove(child)
        port.stopListening()
        for stub in stubs:
            for lines in stub.connections.values():
                for line in list(lines):
                    line.transport.abortConnection()
        cases = [case for stub in stubs for case in stub.txns]
        times = sorted(case.ended_at - case.started_at for case in cases if case.state == "settled")
        return {
            "pair": pair,
            "peers": peers,
            "txns": len(cases),
            "settled": len(times),
            "processor_us": round(1e6 * used / max(1, len(cases)), 1),
            "processor": round(used / took, 4),
            "p50_ms": round(1e3 * times[len(times) // 2], 2) if times else None,
            "p99_ms": round(1e3 * times[int(0.99 * len(times))], 2) if times else None,
        }

    def stubs(self, pair: int) -> Iterator[Stub]:
        """The callers, each with a seed of its own."""
        for number in range(CALLERS):
            yield Stub(
                self.reactor,
                number,
                StubOptions(),
                random.Random(100 * pair + number),
                lambda: ("n0",),
                lambda _: (at(0), PORT),
                lambda _: time.time(),
                self.over,
            )

    def ask(self, stubs: list[Stub], chance: random.Random, number: int) -> None:
        """Sends a request by one of the callers."""
        self.count += 1
        product = self.plan.products[number % len(self.plan.products)]
        key = f"k{self.count}" if product.kind == "guarded" else ""
        doc = b"work=%d calls=%d op=3000 n=%d" % (chance.randrange(500, 3_000), number % 2, self.count)
        wait = product.expiry // 1_000
        stubs[number % len(stubs)].submit(
            TxnSpec(self.count, product.name, KINDS[product.kind], "", key, 2.0, wait, wait, doc)
        )

    def end(self) -> None:
        """Kills all instances that still run."""
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()


def main() -> None:
    """Runs by the arguments that the head of this file names; exit code 1 where it failed."""
    members, pairs, rate, seconds, voters = sys.argv[1:]
    with tempfile.TemporaryDirectory() as folder:
        cost = Cost(int(members), float(rate), float(seconds), int(voters), Path(folder))
        code = 0

        def done(result: Any) -> None:
            nonlocal code
            if result is not None:
                print(result.getTraceback(), file=sys.stderr)
                code = 1
            cost.reactor.stop()

        cost.reactor.callWhenRunning(lambda: ensureDeferred(cost.run(int(pairs))).addBoth(done))
        try:
            cost.reactor.run()
        finally:
            cost.end()
    sys.exit(code)


if __name__ == "__main__":
    main()
