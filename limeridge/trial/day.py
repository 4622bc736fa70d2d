"""`python -m limeridge.trial.day SECONDS RATE SEED [CODE]`: a short run of a real instance against fakes of
its services and callers on loopback sockets. CODE is a checkout to run the instance from, to compare
versions.

It owns the wiring of one process with all fakes and one child process, the instance. It opens sockets only on
loopback and ends by itself.
"""

from __future__ import annotations

import os
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson
from twisted.internet import reactor as the_reactor
from twisted.internet.protocol import ProcessProtocol

from limeridge.sim.plan import Ranges, draw
from limeridge.standins.callers import MisbehavingCaller, MisbehavingCallerFactory, Stub, StubOptions, TxnSpec
from limeridge.standins.kernel import Kernel
from limeridge.standins.ledger import Ledger
from limeridge.standins.nodelist import NodeList

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 10.0
KINDS = {"free": "inquiry-like", "guarded": "referenced", "single_shot": "once-only"}


class Child(ProcessProtocol):
    """The instance's process; collects its output."""

    def __init__(self, day: Day) -> None:
        self.day, self.log = day, b""

    def outReceived(self, data: bytes) -> None:
        """Called by Twisted with data from the instance's standard output."""
        self.log += data

    def errReceived(self, data: bytes) -> None:
        """Called by Twisted with data from the instance's standard error."""
        self.log += data

    def processEnded(self, reason: Any) -> None:
        """Called by Twisted when the instance exits; ends the run."""
        self.day.report["exit"] = reason.value.exitCode
        self.day.reactor.callLater(0.1, self.day.reactor.stop)


class Day:
    """`seconds` of traffic at `rate` txns per second and from misbehaving callers, followed by a drain."""

    def __init__(self, seconds: float, rate: float, seed: int, code: str = "") -> None:
        self.reactor: Any = the_reactor
        self.seconds, self.rate, self.code = seconds, rate, code
        self.chance = random.Random(seed)
        self.report: dict[str, Any] = {}
        self.finished_refs: set[str] = set()
        self.plan = draw(Ranges(), seed)
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            self.port = probe.getsockname()[1]
        self.kernel = Kernel(self.reactor, 2, self.chance, self.finished_refs.__contains__)
        self.ledger = Ledger(self.reactor, self.chance)
        self.node_list = NodeList(self.reactor, delay_s=0.0)
        self.stubs = [
            Stub(
                self.reactor,
                number,
                StubOptions(),
                random.Random(seed + number),
                self.node_list.visible_names,
                lambda _: (LOOPBACK, self.port),
                lambda _: time.time(),
                self.finish_request,
            )
            for number in range(3)
        ]

    def finish_request(self, ref: str) -> None:
        """Records that a request was answered or abandoned, and halts its run if it is waiting for a call."""
        self.finished_refs.add(ref)
        self.kernel.cancel_finished_txn(ref)

    def start(self, folder: str) -> None:
        """Starts the fake services, then the instance with a configuration that points to them."""
        reactor, config = self.reactor, self.plan.config(0)
        ports = [
            reactor.listenTCP(0, each, interface=LOOPBACK).getHost().port
            for each in (self.kernel, self.ledger)
        ]
        node_list_port = reactor.listenUDP(0, self.node_list, interface=LOOPBACK).getHost().port
        config |= {
            "listen": f"{LOOPBACK}:{self.port}",
            "kernel": f"{LOOPBACK}:{ports[0]}",
            "records": f"{LOOPBACK}:{ports[1]}",
            "roster": f"{LOOPBACK}:{node_list_port}",
        }
        config["settings"]["familyInfo"]["cpus"] = 2
        path = Path(folder) / "config.json"
        path.write_bytes(orjson.dumps(config))
        self.child = Child(self)
        self.process = reactor.spawnProcess(
            self.child,
            sys.executable,
            [sys.executable, "-m", "limeridge"],
            env=os.environ | {"BALANCER_CONFIG": str(path)},
            path=self.code or None,  # the working directory comes first in the module search path
        )
        self.started_at = reactor.seconds()
        reactor.callLater(0.05, self.await_ready)

    def await_ready(self) -> None:
        """Starts the traffic once the node list shows the instance; kills it after READY_TIMEOUT_S."""
        if self.node_list.visible_names():
            self.report["ready_s"] = round(self.reactor.seconds() - self.started_at, 3)
            self.schedule_traffic()
        elif self.reactor.seconds() - self.started_at > READY_TIMEOUT_S:
            self.process.signalProcess("KILL")
        else:
            self.reactor.callLater(0.02, self.await_ready)

    def schedule_traffic(self) -> None:
        """Schedules all requests and misbehaving callers at random times, and the drain after them."""
        self.stubs[0].start()
        for number in range(int(self.seconds * self.rate)):
            self.reactor.callLater(self.chance.random() * self.seconds, self.send_request, number)
        for kind in MisbehavingCaller.KINDS:
            misbehaving = MisbehavingCaller(
                kind, self.reactor, self.chance, self.plan.products[0].name, time.time
            )
            self.reactor.callLater(
                self.chance.random() * self.seconds,
                self.reactor.connectTCP,
                LOOPBACK,
                self.port,
                MisbehavingCallerFactory(misbehaving),
            )
        self.reactor.callLater(self.seconds + 2.5, self.drain)

    def send_request(self, number: int) -> None:
        """Sends a request from a random caller."""
        product = self.chance.choice(self.plan.products)
        key = f"k{number}" if product.kind == "guarded" else ""
        doc = b"work=%d calls=%d op=5000 n=%d" % (self.chance.randrange(1_000, 6_000), number % 3, number)
        self.chance.choice(self.stubs).submit(
            TxnSpec(
                number,
                product.name,
                KINDS[product.kind],
                "",
                key,
                10.0,
                product.expiry // 1_000,
                product.expiry // 1_000,
                doc,
            )
        )

    def drain(self) -> None:
        """Sends SIGTERM."""
        self.drain_started_at = self.reactor.seconds()
        self.process.signalProcess(signal.SIGTERM)

    def run(self) -> dict[str, Any]:
        """Performs the run and returns its report as JSON-compatible data."""
        with tempfile.TemporaryDirectory() as folder:
            self.reactor.callWhenRunning(self.start, folder)
            self.reactor.run()
        usage = resource.getrusage(resource.RUSAGE_CHILDREN)
        states = [txn.state for stub in self.stubs for txn in stub.txns]
        self.report |= {
            "txns": len(states),
            "states": {state: states.count(state) for state in sorted(set(states))},
            "checks_good": self.stubs[0].health_checks[1],
            "reports_strange": self.node_list.malformed_reports,
            "lines_broken": [line.decode(errors="replace") for line in self.kernel.malformed_lines],
            "instance_cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
            "instance_peak_mb": round(usage.ru_maxrss / 1_024, 1),
            "exceptions": self.child.log.count(b'"trace"'),
            "drain_s": round(self.reactor.seconds() - self.drain_started_at, 2),
        }
        return self.report


if __name__ == "__main__":
    print(
        orjson.dumps(
            Day(float(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3]), *sys.argv[4:]).run()
        ).decode()
    )
