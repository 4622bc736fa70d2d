"""`python -m limeridge.trial.rig TRIAL SEED INSTANCES FOLDER [LANE]`: one trial on real processes; prints its
verdict as JSON. Trials in different lanes use different addresses and may run at the same time.

It owns the children (each ended by its process id, and by the kernel where this process dies first), the
stand-ins that they talk to, the relays between them and the time line. It must never judge, and never open
a socket off loopback.
"""

from __future__ import annotations

import ctypes
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import orjson
from twisted.internet import reactor as the_reactor
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.internet.protocol import Protocol as Wire
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from limeridge.peers.messages import Ping, derive_key, encode
from limeridge.peers.peer import own_claim
from limeridge.settings.load import Unusable
from limeridge.sim.plan import Ranges, draw
from limeridge.standins.callers import Stub, StubOptions, TxnSpec
from limeridge.standins.kernel import Kernel
from limeridge.standins.ledger import ABANDONED_CALL_S, Ledger
from limeridge.standins.nodelist import NodeList
from limeridge.trial import judge, scenario
from limeridge.trial.faults import Faults
from limeridge.trial.relay import Relay
from limeridge.trial.scenario import Act, Kind, Trial

PORT, PEER_PORT, KERNEL_PORT, LEDGER_PORT = 8443, 7950, 7300, 8900
LOOK = 0.25  # seconds between two looks at what members show
LATE = 0.02  # seconds of the timer by which the rig measures its own lateness
STOP = 1_500  # milliseconds from the notice to leave to the kill
KINDS = {"free": "inquiry-like", "guarded": "referenced", "single_shot": "once-only"}
PR_SET_PDEATHSIG = 1
FLEET, SECRET = "trial", b"a key of trials, no secret at all"


_libc = ctypes.CDLL(None, use_errno=True)


def _with_us() -> None:
    """In the child: it ends with us, however we end."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass
class Child:
    """One instance as a process."""

    number: int
    name: str
    at: str  # its host
    process: subprocess.Popen[bytes]
    life: judge.Life
    log: Path
    show: str
    paused: bool = False
    ended: bool = False  # by us
    used: tuple[float, float] = (0.0, 0.0)  # processor seconds so far, and when that was seen


class Asking(Wire):
    """One look at a member's read-only socket."""

    transport: Any

    def __init__(self, told: Callable[[dict[str, Any]], None]) -> None:
        self.told, self.data = told, b""

    def connectionMade(self) -> None:
        """Called by Twisted: asks for all that the member holds."""
        self.transport.write(b"show\n")

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted with a part of the answer."""
        self.data += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted at the end of the answer, which is told if it is whole."""
        try:
            self.told(orjson.loads(self.data))
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return  # it was cut short: the next look comes soon


class Asker(ClientFactory):
    """Connections to the read-only sockets of members."""

    noisy = False

    def __init__(self, told: Callable[[dict[str, Any]], None]) -> None:
        self.told = told

    def buildProtocol(self, addr: Any) -> Asking:
        """Called by Twisted once the connection stands."""
        return Asking(self.told)


class Rig:
    """One trial: the processes, what stands round them, the faults between them and the record of it all."""

    def __init__(self, trial: Trial, folder: Path, lane: int = 0) -> None:
        self.trial, self.folder, self.lane = trial, folder, lane
        self.reactor: Any = the_reactor
        self.chance = random.Random(f"rig {trial.seed}")
        self.record = judge.Record()
        self.faults = Faults(trial.instances, random.Random(f"faults {trial.seed}"))
        self.children: dict[int, Child] = {}
        self.doubles: list[Child] = []
        self.logs: dict[Path, int] = {}  # whose
        self.zero = 0.0  # Unix time at the end of the warm-up
        self.plan = draw(Ranges(), trial.seed)
        self.gone: set[str] = set()
        self.kernels: list[Kernel] = []
        self.shown: dict[int, dict[str, Any]] = {}
        self.due = 0.0
        self.lives = 0

    def host(self, block: int, number: int) -> str:
        """A loopback address within a block of this rig's lane."""
        return f"127.{block + 10 * self.lane}.{number // 250}.{1 + number % 250}"

    def now(self) -> int:
        """Microseconds since the end of the warm-up; below 0 within it."""
        return int((time.time() - self.zero) * 1e6)

    # ---- the far ends

    def found(self) -> None:
        """Writes the key and starts the stand-ins and the relays before the members."""
        trial, reactor = self.trial, self.reactor
        (self.folder / "key").write_bytes(SECRET)
        (self.folder / "key").chmod(0o600)
        who: dict[str, int] = {}
        for number in range(trial.instances):
            who[self.host(101, number)] = number
        for place, number in enumerate(self.doubled()):
            who[self.host(101, trial.instances + place)] = number
        self.ledger = Ledger(reactor, self.chance, max(8, trial.terms.limit))
        self.ledger.on_call_count = self.in_hand
        reactor.listenTCP(LEDGER_PORT, self.ledger, interface=self.host(104, 0))
        self.list = NodeList(reactor, delay_s=0.2)
        self.list_port = reactor.listenUDP(0, self.list, interface=self.host(104, 1))
        self.list_at = self.list_port.getHost().port
        for number in range(trial.instances + len(self.doubled())):
            kernel = Kernel(
                reactor,
                2,
                random.Random(f"kernel {trial.seed} {number}"),
                self.gone.__contains__,
                memory_kb=20_000.0,
            )
            self.kernels.append(kernel)
            reactor.listenTCP(KERNEL_PORT, kernel, interface=self.host(103, number))
            of = number if number < trial.instances else self.doubled()[number - trial.instances]
            Relay(
                reactor,
                self.faults,
                of,
                (self.host(102, number), PEER_PORT),
                (self.host(101, number), PEER_PORT),
                who,
            )
        self.stubs = [
            Stub(
                reactor,
                number,
                StubOptions(max_tries=3, follows_advice=True),
                random.Random(f"{trial.seed} {number}"),
                self.list.visible_names,
                lambda name: (self.host(101, int(name[1:])), PORT),
                lambda _: time.time(),
                self.over,
            )
            for number in range(4)
        ]

    def doubled(self) -> list[int]:
        """The numbers of the members whose names two processes take."""
        return [number for act in self.trial.acts if act.kind is Kind.DOUBLE for number in act.who]

    def over(self, ref: str) -> None:
        """Notes that the caller of a request is gone, and ends the request's run."""
        self.gone.add(ref)
        for kernel in self.kernels:
            if ref in kernel.runs:
                kernel.cancel_finished_txn(ref)

    def in_hand(self, count: int) -> None:
        """Records the records service's count of calls, where it changed."""
        most = self.record.in_hand[-1][1] if self.record.in_hand else -1
        if count != most:
            self.record.in_hand.append((self.now(), count))

    # ---- children

    def files(self, place: int, name: str) -> tuple[Path, Path]:
        """Writes a process's configuration and file of membership; their paths."""
        trial = self.trial
        terms = trial.terms
        config = self.plan.config(0)
        config |= {
            "name": name,
            "listen": f"{self.host(101, place)}:{PORT}",
            "stop_ms": STOP,
            "kernel": f"{self.host(103, place)}:{KERNEL_PORT}",
            "records": f"{self.host(104, 0)}:{LEDGER_PORT}",
            "roster": f"{self.host(104, 1)}:{self.list_at}",
            "seed": f"{trial.seed * 1_000 + place:x}",
        }
        config["settings"]["familyInfo"] |= {
            "cpus": 2,
            "linger": int(ABANDONED_CALL_S * 1e6),
            "justStarted": False,
        }
        config["settings"]["groupSize"] = trial.instances
        path = self.folder / f"{place}.json"
        path.write_bytes(orjson.dumps(config))
        number = int(name[1:])
        seeds = (
            "from_list: true\n"
            if trial.list_join
            else "".join(
                f'seed: "{self.host(102, each)}:{PEER_PORT}"\n' for each in range(min(3, trial.instances))
            )
        )
        voters = "".join(f'voter: "{each}" ' for each in terms.voters)
        peers = self.folder / f"{place}.txtpb"
        peers.write_text(
            f'fleet: "{FLEET}"\nkey_file: "{self.folder / "key"}"\nlisten: ":{PEER_PORT}"\n'
            f'advertise: "{self.host(102, place)}:{PEER_PORT}"\nzone: "{trial.zones[number]}"\n{seeds}'
            f'show: "{self.folder}/{place}.sock"\ninterval_ms: {trial.interval // 1_000}\n'
            f"shares {{ limit: {terms.limit} capacity: {terms.capacity} doubles: {terms.doubles} {voters}"
            f"floor_share: {terms.floor_share} lease_ms: {terms.lease // 1_000} "
            f"settle_ms: {terms.settle // 1_000} }}\n"
        )
        return path, peers

    def start(self, number: int, place: int = -1) -> Child:
        """`place` is another address under the same name, for a second process."""
        place = number if place < 0 else place
        name = f"n{number}"
        path, peers = self.files(place, name)
        self.lives += 1
        log = self.folder / f"{name}-{self.lives}.log"
        with log.open("wb") as sink:
            process = subprocess.Popen(
                [sys.executable, "-m", "limeridge", "--peers", str(peers)],
                stdout=sink,
                stderr=subprocess.STDOUT,
                env=os.environ | {"BALANCER_CONFIG": str(path)},
                preexec_fn=_with_us,
                start_new_session=True,
            )
        life = judge.Life(number, self.now(), double=place != number)
        self.record.lives.append(life)
        child = Child(number, name, self.host(101, place), process, life, log, f"{self.folder}/{place}.sock")
        self.logs[log] = number
        if place == number:
            self.children[number] = child
        else:
            self.doubles.append(child)
        return child

    def kill(self, child: Child, notice: int = signal.SIGKILL) -> None:
        """Ends a process by SIGKILL, or tells it to leave where `notice` is another signal."""
        if child.ended or child.process.poll() is not None:
            return
        if notice == signal.SIGKILL:
            child.ended = True
            child.life.end = self.now()
            child.process.kill()
            child.process.wait()
        else:
            child.life.told = True
            child.process.send_signal(notice)

    def watch(self) -> None:
        """Ends that nobody asked for."""
        for child in [*self.children.values(), *self.doubles]:
            code = child.process.poll()
            if code is not None and not child.ended:
                child.ended = True
                child.life.end = self.now()
                if not child.life.told or code:
                    tail = child.log.read_bytes()[-300:].decode(errors="replace")
                    self.record.crashes.append(f"{child.name} ended by itself with {code}: {tail}")

    # ---- the time line

    def begin(self, act: Act) -> None:
        """Begins a fault, and sets out its end."""
        later: Callable[[float, Callable[[], object]], object] = self.reactor.callLater
        lasts = act.lasts / 1e6
        chosen = [child for number in act.who if (child := self.children.get(number)) is not None]
        if act.kind is Kind.KILL:
            for child in chosen:
                self.kill(child)
                if act.lasts:
                    later(lasts, partial(self.start, child.number))
        elif act.kind is Kind.PAUSE:
            for child in chosen:
                if not child.ended:
                    child.process.send_signal(signal.SIGSTOP)
                    child.paused = True
                    later(lasts, partial(self.go_on, child))
        elif act.kind is Kind.REPLACE:
            for place, child in enumerate(chosen):
                later(lasts * place / max(1, len(chosen)), partial(self.replace, child))
        elif act.kind is Kind.DOUBLE:
            for number in act.who:
                double = self.start(number, self.trial.instances + self.doubled().index(number))
                later(lasts, partial(self.kill, double))
        elif act.kind is Kind.GARBLE:
            for number in act.who:
                self.garble(number, int(act.amount), lasts)
        elif act.kind is Kind.FLAP:
            self.flap(act, time.monotonic() + lasts)
        elif act.kind is Kind.NODE_LIST_DOWN:
            self.list_port.stopListening()
            later(lasts, self.list_again)
        elif act.kind is Kind.LEDGER_SLOW:
            self.ledger.slowdown = act.amount
            later(lasts, lambda: setattr(self.ledger, "slowdown", 1.0))
        else:
            heal = self.faults.start_fault(act)
            if heal is not None:
                later(lasts, heal)

    def go_on(self, child: Child) -> None:
        """Ends the pause of a process."""
        child.paused = False
        if not child.ended:
            child.process.send_signal(signal.SIGCONT)

    def replace(self, child: Child) -> None:
        """Tells a process to leave, and starts its successor once its grace is over."""
        self.kill(child, signal.SIGTERM)

        def successor() -> None:
            if child.process.poll() is None:
                self.kill(child)
            child.ended = True
            child.life.end = child.life.end if child.life.end is not None else self.now()
            self.start(child.number)

        self.reactor.callLater(STOP / 1e3, successor)

    def flap(self, act: Act, until: float) -> None:
        """Lets a fault come and go every `act.amount` milliseconds, until `until` on the monotonic clock."""
        if time.monotonic() >= until:
            return
        heal = self.faults.start_fault(act)
        period = act.amount / 1e3
        if heal is not None:
            self.reactor.callLater(period, heal)
        self.reactor.callLater(2 * period, self.flap, act, until)

    def list_again(self) -> None:
        """Lets service discovery listen again, at the address that it had."""
        self.list_port = self.reactor.listenUDP(self.list_at, self.list, interface=self.host(104, 1))

    def garble(self, number: int, count: int, lasts: float) -> None:
        """Noise, a cut-off message, and whole ones under another key and of a member that nobody knows."""
        relay = self.list_port
        key, other = derive_key(FLEET, SECRET), derive_key("another", SECRET)
        claim = own_claim("n0", (self.host(101, 0), PEER_PORT), 1, 1)
        good = encode(Ping(1, claim, f"n{number}", 0), key)
        forms = (
            lambda: self.chance.randbytes(self.chance.randrange(1, 1_200)),
            lambda: good[:-4],
            lambda: encode(Ping(1, claim, "n1", 0), other),
        )
        for _ in range(count):
            data = self.chance.choice(forms)()
            self.reactor.callLater(self.chance.random() * lasts, self.throw, relay, data, number)

    def throw(self, port: Any, data: bytes, number: int) -> None:
        """Sends a datagram to a member's address; one that cannot be sent is lost."""
        try:
            port.write(data, (self.host(101, number), PEER_PORT))
        except (OSError, AttributeError):
            return

    # ---- load and looks

    def ask(self, number: int) -> None:
        """Sends a request by one of the callers."""
        product = self.chance.choice(self.plan.products)
        key = f"k{number}" if product.kind == "guarded" else ""
        doc = b"work=%d calls=%d op=%d n=%d" % (
            self.chance.randrange(500, 3_000),
            1 + number % 2,
            self.chance.randrange(5_000, 400_000),
            number,
        )
        wait = product.expiry // 1_000
        self.chance.choice(self.stubs).submit(
            TxnSpec(number, product.name, KINDS[product.kind], "", key, 5.0, wait, wait, doc)
        )

    def look(self) -> None:
        """Records what the members showed since the last look, and asks them again."""
        self.watch()
        shown, self.shown = self.shown, {}
        living = frozenset(
            number for number, child in self.children.items() if not child.ended and not child.life.told
        )
        if shown and self.zero:
            self.record.looks.append(
                judge.FleetSample(
                    self.now(),
                    {
                        number: frozenset(
                            (each["name"], each["life"])
                            for each in told["members"]
                            if each["state"] in ("alive", "suspect")
                        )
                        for number, told in shown.items()
                    },
                    {number: told["life"] for number, told in shown.items()},
                    {number: told["share"]["calls"] for number, told in shown.items()},
                    living,
                )
            )
        for number, child in self.children.items():
            if not child.ended and not child.paused and Path(child.show).is_socket():
                self.reactor.connectUNIX(
                    child.show, Asker(partial(self.shown.__setitem__, number)), timeout=1
                )

    def lateness(self) -> None:
        """Records how late the rig's own timer came, at the worst."""
        now = time.monotonic()
        if self.due and self.zero:
            self.record.lateness = max(self.record.lateness, int((now - self.due) * 1e6))
        self.due = now + LATE

    def spent(self, child: Child) -> tuple[float, float, float]:
        """Processor seconds, now, and the most memory in MB, of a process that lives."""
        at = Path(f"/proc/{child.process.pid}")
        ticks = (at / "stat").read_text().rpartition(")")[2].split()[11:13]
        status = dict(line.split(":", 1) for line in (at / "status").read_text().splitlines())
        used = sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")
        return used, time.monotonic(), int(status["VmHWM"].split()[0]) / 1_024

    def weigh(self) -> None:
        """What each process took since it was last weighed."""
        for child in self.children.values():
            if child.ended or child.paused:
                continue
            try:
                used, now, memory = self.spent(child)
            except (OSError, KeyError, IndexError):
                continue  # it ended meanwhile
            if child.used[1]:
                self.record.processor.append((used - child.used[0]) / (now - child.used[1]))
                self.record.memory.append(memory)
            child.used = used, now

    # ---- the run

    def begin_all(self) -> None:
        """Sets out the starts, looks, faults, requests and the drain, each at its time."""
        trial, later = self.trial, self.reactor.callLater
        self.zero = time.time() + trial.warm / 1e6
        self.found()
        # Spread over a quarter of the warm-up: all at once would keep the machine from anything else.
        for number in range(trial.instances):
            later(number * min(3.0, trial.warm / 4e6) / trial.instances, self.start, number)
        for call, every in ((self.look, LOOK), (self.lateness, LATE)):
            LoopingCall(call).start(every, now=False)
        warm, length = trial.warm / 1e6, (trial.over + trial.rest) / 1e6
        # At rest, once all is over: what members cost, and what the load does.
        later(warm + length - min(5.0, trial.rest / 2e6), self.weigh)
        for act in trial.acts:
            later(warm + act.at / 1e6, self.begin, act)
        load = min(2.0, warm)
        for number in range(int((length + warm - load) * trial.rate)):
            later(load + self.chance.random() * (length + warm - load), self.ask, number)
        later(warm + length, self.drain)

    def drain(self) -> None:
        """Callers are waited for, then all are told to leave at once."""
        most = max(product.expiry for product in self.plan.products) / 1e6 + 1.0
        self.weigh()
        self.record.end = self.now()
        until = time.monotonic() + most

        def done() -> None:
            if time.monotonic() < until and any(
                case.state == "open" for stub in self.stubs for case in stub.txns
            ):
                self.reactor.callLater(0.05, done)
                return
            states = [case.state for stub in self.stubs for case in stub.txns]
            self.record.states = {state: states.count(state) for state in sorted(set(states))}
            for child in [*self.children.values(), *self.doubles]:
                self.kill(child, signal.SIGTERM)
            self.reactor.callLater(STOP / 1e3 + 0.3, self.reactor.stop)

        done()

    def run(self) -> judge.Verdict:
        """Plays the trial, ends all processes and judges what was recorded."""
        self.reactor.callWhenRunning(self.begin_all)
        try:
            self.reactor.run()
            self.watch()
        finally:
            for child in [*self.children.values(), *self.doubles]:
                if child.process.poll() is None:
                    child.process.kill()
                    child.process.wait()
        self.read_logs()
        return judge.judge(self.trial, self.record)

    def read_logs(self) -> None:
        """Adds to the record what the processes logged: changes of grades, and exceptions."""
        for log, number in self.logs.items():
            for line in log.read_bytes().splitlines():
                try:
                    told = orjson.loads(line)
                except orjson.JSONDecodeError:
                    continue
                if "trace" in told:
                    self.record.exceptions += 1
                if told.get("event") == "peer":
                    at = int((told["t"] - self.zero) * 1e6)
                    peer = int(told["peer"].removeprefix("n"))
                    self.record.lines.append(judge.GradeChange(at, number, told["code"], peer, told["life"]))
        self.record.lines.sort(key=lambda line: line.at)


def main() -> None:
    """Plays the trial that the arguments name; prints the verdict, and writes it with the record. Exit
    code 2 where the trial cannot be read."""
    name, seed, instances, folder = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), Path(sys.argv[4])
    lane = int(sys.argv[5]) if len(sys.argv) > 5 else 0
    try:
        trial = scenario.draw(name, seed, instances)
    except Unusable as bad:
        print(f"limeridge: {bad}", file=sys.stderr)
        sys.exit(2)
    folder.mkdir(parents=True, exist_ok=True)
    rig = Rig(trial, folder, lane)
    verdict = rig.run()
    (folder / "verdict.json").write_bytes(orjson.dumps(verdict.as_dict(), option=orjson.OPT_INDENT_2))
    looks = [{"at": look.at, "calls": sum(look.calls.values())} for look in rig.record.looks]
    lines = [
        {"at": line.at, "watcher": line.watcher, "code": line.code, "peer": line.peer}
        for line in rig.record.lines
    ]
    (folder / "record.json").write_bytes(
        orjson.dumps({"looks": looks, "lines": lines, "in_hand": rig.record.in_hand})
    )
    print(orjson.dumps(verdict.as_dict()).decode())


if __name__ == "__main__":
    main()
