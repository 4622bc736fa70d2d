"""`python -m limeridge.trial.soak SEED SECONDS [--no-quiet] [--code FOLDER]`: one soak, reported as a line of
JSON.

Runs one to three real instances with fakes of their services and with clients, all on loopback sockets. Each
instance gets a notice to leave, is killed and has a successor. This module owns the processes and sockets,
ends by itself and opens no sockets other than on loopback. `soak_plan` draws the plan, `soak_record` holds
the rules.
"""

from __future__ import annotations

import argparse
import math
import os
import random
import resource
import socket
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any

import orjson
from twisted.internet import reactor as the_reactor
from twisted.internet.protocol import ProcessProtocol

from limeridge.sim.plan import Ranges
from limeridge.sim.plan import draw as draw_base_plan
from limeridge.standins.kernel import Kernel
from limeridge.standins.ledger import Ledger
from limeridge.standins.nodelist import NodeList
from limeridge.trial import soak_plan
from limeridge.trial.soak_clients import Connection, Target, connect
from limeridge.trial.soak_plan import InstancePlan, Signal, SoakPlan
from limeridge.trial.soak_record import Record

READY_TIMEOUT_S = 20.0  # for all instances
SUCCESSOR_LIFE_S = 0.8  # from a successor's start to its own notice
SUCCESSOR_STOP_S = 1.0  # for the drain of a successor
CROWD_START_MIN_S, CROWD_START_MAX_S = -0.3, 0.1  # relative to the notice
CROWD_DURATION_S = 3.0  # after the notice; the crowd reconnects until then
POLL_INTERVAL_S = 0.02
MAX_CPU_WAIT_S = 0.01  # for a core between two samples; longer waits mean an overloaded machine
CLIENT_RATES = (15.0, 40.0, 80.0)  # requests per second of a persistent connection
EXIT_DETECTION_SLACK_S = 0.05  # for this process to notice the exit of an instance
CORES = 2


class Child(ProcessProtocol):
    """One process of an instance; collects its log."""

    def __init__(self, life: Life) -> None:
        self.life, self.log = life, b""

    def outReceived(self, data: bytes) -> None:
        """Called by Twisted with data from standard output."""
        self.log += data

    errReceived = outReceived  # noqa: N815 - Twisted's name

    def processEnded(self, reason: Any) -> None:
        """Called by Twisted when the process ends."""
        self.life.handle_exit(reason.value.exitCode)


class Life:
    """One process of an instance, from start to exit. `number` is 0, or 1 for the successor."""

    def __init__(self, soak: Soak, plan: InstancePlan, number: int, kernel: Kernel) -> None:
        self.soak, self.plan, self.number, self.kernel = soak, plan, number, kernel
        self.child = Child(self)
        self.exit_code: int | None = None
        self.has_ended = self.killed = False
        self.max_memory_mb = 0.0
        self.max_descriptors = 0
        self.cpu_wait_s = 0.0  # total wait for a core
        self.max_cpu_wait_s = 0.0  # longest wait between two samples
        self.process: Any = None

    def start(self, path: Path) -> None:
        self.process = self.soak.reactor.spawnProcess(
            self.child,
            sys.executable,
            [sys.executable, "-m", "limeridge"],
            env=os.environ | {"BALANCER_CONFIG": str(path)},
            path=self.soak.code or None,  # the working directory comes first in the module search path
        )

    def signal(self, name: str) -> None:
        if not self.has_ended:
            self.soak.record.counts[f"signal {name}"] += 1
            self.process.signalProcess(name)

    def sample(self) -> None:
        """Samples the memory, descriptors and core waits of the process while it exists."""
        if self.has_ended:
            return
        folder = Path(f"/proc/{self.process.pid}")
        try:
            descriptors = len(os.listdir(folder / "fd"))
            status = (folder / "status").read_text()
            cpu_wait_s = int((folder / "schedstat").read_text().split()[1]) / 1e9
        except (OSError, IndexError):
            return
        self.max_cpu_wait_s = max(self.max_cpu_wait_s, cpu_wait_s - self.cpu_wait_s)
        self.cpu_wait_s = cpu_wait_s
        peak = next((line for line in status.splitlines() if line.startswith("VmHWM")), "VmHWM: 0 kB")
        self.max_memory_mb = max(self.max_memory_mb, int(peak.split()[1]) / 1_024)
        self.max_descriptors = max(self.max_descriptors, descriptors)

    def handle_exit(self, exit_code: int | None) -> None:
        self.has_ended, self.exit_code = True, exit_code
        self.soak.handle_life_end(self)


class Soak:
    """One soak, from the first start of an instance to the report."""

    def __init__(self, plan: SoakPlan, code: str = "") -> None:
        self.plan, self.code = plan, code
        self.reactor: Any = the_reactor
        self.chance = random.Random(plan.seed * 7 + 1)
        self.base_plan = draw_base_plan(Ranges(), plan.seed)
        self.record = Record()
        self.finished_refs: set[str] = set()
        self.ledger = Ledger(self.reactor, self.chance)
        self.node_list = NodeList(self.reactor, delay_s=0.0)
        self.lives: dict[int, Life] = {}
        self.all_lives: list[Life] = []
        self.configs: dict[int, dict[str, Any]] = {}
        self.traffic_started_at = 0.0  # on the reactor's clock
        self.records_port: Any = None
        self.folder = Path()

    # ---- services and processes

    def start(self) -> None:
        self.records_port = self.reactor.listenTCP(0, self.ledger, interface=self.host(0))
        listed = self.reactor.listenUDP(0, self.node_list, interface=self.host(0)).getHost().port
        for each in self.plan.instances:
            self.configs[each.number] = self.base_plan.config(0) | {
                "name": f"n{each.number}",
                "listen": f"{self.host(each.number + 1)}:{_free_port(self.host(each.number + 1))}",
                "records": f"{self.host(0)}:{self.records_port.getHost().port}",
                "roster": f"{self.host(0)}:{listed}",
                "stop_ms": each.stop * 1_000,
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": each.sockets},
            }
            guarantees = self.configs[each.number]["settings"]["guarantees"]
            guarantees["drainGrace"] = int(each.grace * 1_000_000)
            self.start_life(each, 0)
        self.await_ready(self.reactor.seconds() + READY_TIMEOUT_S)
        self.sample()

    def host(self, number: int) -> str:
        """A loopback address derived from the process id, so that other processes do not take its ports."""
        pid = os.getpid()
        return f"127.{128 + (pid >> 16) % 16 * 4 + number}.{pid >> 8 & 255}.{pid & 255 or 255}"

    def start_life(self, plan: InstancePlan, number: int) -> None:
        """Starts a process with a kernel of its own. The kernel of a successor is cold."""
        kernel = Kernel(self.reactor, CORES, self.chance, self.finished_refs.__contains__, cold=number > 0)
        start_run = kernel.start_run

        def record_and_start(handle: str, doc: bytes) -> None:
            self.record.add_run(plan.number, number, handle)
            start_run(handle, doc)

        kernel.start_run = record_and_start  # type: ignore[method-assign]
        port = self.reactor.listenTCP(0, kernel, interface=self.host(0)).getHost().port
        config = self.configs[plan.number]
        config["kernel"] = f"{self.host(0)}:{port}"
        config["settings"]["familyInfo"] |= {"cpus": CORES, "justStarted": number > 0}
        self.write_config(plan.number)
        life = self.lives[plan.number] = Life(self, plan, number, kernel)
        self.all_lives.append(life)
        life.start(self.config_path(plan.number))

    def config_path(self, number: int) -> Path:
        return self.folder / f"{number}.json"

    def write_config(self, number: int, half: bool = False) -> None:
        data = orjson.dumps(self.configs[number])
        self.config_path(number).write_bytes(data[: len(data) // 2] if half else data)

    def await_ready(self, until: float) -> None:
        names = {f"n{each.number}" for each in self.plan.instances}
        if names <= set(self.node_list.visible_names()):
            self.start_traffic()
        elif self.reactor.seconds() > until:
            self.record.add_fault("not ready", f"{sorted(names)}, listed: {self.node_list.visible_names()}")
            self.finish()
        else:
            self.reactor.callLater(POLL_INTERVAL_S, self.await_ready, until)

    # ---- traffic and faults

    def start_traffic(self) -> None:
        self.traffic_started_at = self.reactor.seconds()
        for each in self.plan.instances:
            target = self.target_for(each)
            for _ in range(each.persistent_clients):
                self.call_at(
                    self.chance.random() * 0.5, partial(connect, target, partial(Connection, target, 0))
                )
            for _ in range(each.crowd_clients):
                self.call_at(
                    each.notice + self.chance.uniform(CROWD_START_MIN_S, CROWD_START_MAX_S),
                    partial(self.connect_crowd_client, target, each),
                )
            for signal in each.signals:
                self.call_at(signal.at, partial(self.send_signal, each, signal))
            self.call_at(each.notice, partial(self.send_notice, each))
        first = min(each.notice for each in self.plan.instances)
        if self.plan.records_down:
            self.call_at(first, self.records_port.stopListening)
        if self.plan.discovery_down:
            self.call_at(first, lambda: setattr(self.node_list, "datagramReceived", lambda data, addr: None))

    def target_for(self, plan: InstancePlan) -> Target:
        host, _, port = str(self.configs[plan.number]["listen"]).rpartition(":")
        return Target(
            self.reactor,
            plan.number,
            (host, int(port)),
            self.base_plan.products,
            self.record,
            self.chance,
            self.finish_request,
            self.is_sending,
            self.chance.choice(CLIENT_RATES),
            self.plan.reset_share,
        )

    def call_at(self, at: float, call: Any) -> None:
        """Schedules a call at a time of the plan, which the quiet time precedes."""
        self.reactor.callLater(
            max(0.0, self.traffic_started_at + self.plan.quiet + at - self.reactor.seconds()), call
        )

    def is_sending(self) -> bool:
        """False during the quiet time, except for its first second."""
        passed = self.reactor.seconds() - self.traffic_started_at
        return bool(passed < 1.0 or passed > self.plan.quiet)

    def finish_request(self, ref: str) -> None:
        self.finished_refs.add(ref)
        for life in self.lives.values():
            life.kernel.cancel_finished_txn(ref)

    def connect_crowd_client(self, target: Target, plan: InstancePlan) -> None:
        """Connects a client of the crowd, and again after each batch, until some time after the notice."""
        notice = self.record.notices.get(plan.number, math.inf)
        if time.time() < notice + min(CROWD_DURATION_S, plan.stop + SUCCESSOR_LIFE_S):
            batch = self.chance.choice((1, 2, 4))
            connect(
                target, partial(Connection, target, batch, partial(self.connect_crowd_client, target, plan))
            )

    def send_signal(self, plan: InstancePlan, signal: Signal) -> None:
        life = self.lives[plan.number]
        if signal.name != "HUP" and plan.number not in self.record.notices:
            return
        if signal.half_written:
            self.write_config(plan.number, half=True)
            self.reactor.callLater(0.2, self.write_config, plan.number)
        if life.number == 0:
            life.signal(signal.name)

    def send_notice(self, plan: InstancePlan) -> None:
        life = self.lives[plan.number]
        self.record.graces[plan.number] = plan.grace
        self.record.notices[plan.number] = time.time()
        life.signal("TERM")
        self.reactor.callLater(plan.stop, self.kill, plan)

    def kill(self, plan: InstancePlan) -> None:
        """Kills the process if it still runs, which is a fault. Starts the successor in any case."""
        life = self.lives[plan.number]
        if not life.has_ended:
            life.killed = True
            life.signal("KILL")
            self.record.add_fault(
                "alive at the kill", f"instance {plan.number}, {plan.stop} s after", soft=True
            )
        self.start_life(plan, 1)
        self.reactor.callLater(SUCCESSOR_LIFE_S + SUCCESSOR_STOP_S, self.end_successor, plan)

    def end_successor(self, plan: InstancePlan) -> None:
        self.record.notices[plan.number] = time.time()
        self.lives[plan.number].signal("TERM")
        self.reactor.callLater(plan.stop + EXIT_DETECTION_SLACK_S, self.lives[plan.number].signal, "KILL")

    # ---- end

    def sample(self) -> None:
        """Samples all current processes periodically."""
        for life in self.lives.values():
            life.sample()
        self.reactor.callLater(POLL_INTERVAL_S, self.sample)

    def handle_life_end(self, life: Life) -> None:
        kind = "killed" if life.killed else f"exit {life.exit_code}"
        self.record.counts[f"lives ended by {kind}"] += 1
        if not life.killed and life.exit_code != 0:
            soft = life.exit_code is None and life.number == 1  # killed by end_successor while draining
            self.record.add_fault("exit", f"instance {life.plan.number} ended with {life.exit_code}", soft)
        if b'"trace"' in life.child.log or b"Traceback" in life.child.log:
            self.record.add_fault("trace", life.child.log.decode(errors="replace")[-1_500:])
        if life.max_descriptors > life.plan.sockets:
            self.record.add_fault("descriptors", f"{life.max_descriptors} of {life.plan.sockets}")
        if life.max_memory_mb > 64:
            self.record.add_fault("memory", f"{life.max_memory_mb:.0f} MB of 64")
        if len(self.all_lives) == 2 * len(self.plan.instances) and all(
            each.has_ended for each in self.all_lives
        ):
            self.reactor.callLater(0.1, self.finish)

    def finish(self) -> None:
        for life in self.lives.values():
            if not life.has_ended:
                life.killed = True
                life.process.signalProcess("KILL")
        self.reactor.callLater(0.1, self.reactor.stop)

    def is_overloaded(self) -> bool:
        """Whether an instance waited so long for a core that timing faults prove nothing."""
        return any(each.max_cpu_wait_s > MAX_CPU_WAIT_S for each in self.all_lives)

    def run(self) -> dict[str, Any]:
        """Runs the soak and returns its report as JSON-compatible data."""
        with tempfile.TemporaryDirectory() as folder:
            self.folder = Path(folder)
            self.reactor.callWhenRunning(self.start)
            self.reactor.run()
        return {
            "seed": self.plan.seed,
            "instances": len(self.plan.instances),
            "pairs_close": self.plan.close_pairs(),
            "crowd": sum(each.crowd_clients for each in self.plan.instances),
            "quiet": self.plan.quiet,
            "busy": self.is_overloaded(),
            "counts": dict(sorted(self.record.counts.items())),
            "most_memory_mb": round(max(each.max_memory_mb for each in self.all_lives), 1),
            "most_descriptors": max(each.max_descriptors for each in self.all_lives),
            "longest_wait": round(max(each.max_cpu_wait_s for each in self.all_lives), 3),
            "faults": [
                {"rule": each.rule, "what": each.what, "soft": each.soft} for each in self.record.violations()
            ],
        }


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def main() -> None:
    """Runs one soak and prints its report."""
    parser = argparse.ArgumentParser("python -m limeridge.trial.soak", description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("--no-quiet", action="store_true", help="never plan a quiet time")
    parser.add_argument("--code", default="", help="a checkout to run the instances from")
    arguments = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    plan = soak_plan.draw(arguments.seed, arguments.seconds, allow_quiet=not arguments.no_quiet)
    print(orjson.dumps(Soak(plan, arguments.code).run()).decode())


if __name__ == "__main__":
    main()
