"""`python -m limeridge.scale.below`: the stand-ins below an instance, in a process of their own.

Two kernels of the same make: one for the instance's link, one for the requests that are sent straight to it.
The first line on standard output names the ports. The process ends when its standard input does.
"""

from __future__ import annotations

import random
import subprocess
import sys
import threading
from types import TracebackType
from typing import Any

import msgspec

LOOPBACK = "127.0.0.1"
CORES = 4  # of each kernel
LEDGER_SLOTS = 1_000
END_WAIT = 5.0  # seconds


class Ports(msgspec.Struct, frozen=True):
    """Where the stand-ins listen on loopback."""

    kernel: int
    direct_kernel: int
    ledger: int
    node_list: int


class Below:
    """The running process of the stand-ins; a context manager that ends it."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "limeridge.scale.below"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert self.process.stdout is not None
        self.ports: Ports = msgspec.json.decode(self.process.stdout.readline(), type=Ports)

    def __enter__(self) -> Below:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, trouble: BaseException | None, trace: TracebackType | None
    ) -> None:
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.close()
        try:
            self.process.wait(END_WAIT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


def main() -> None:
    """Listens, tells the ports, and serves until standard input ends."""
    from twisted.internet import reactor as the_reactor

    from limeridge.standins.kernel import Kernel
    from limeridge.standins.ledger import Ledger
    from limeridge.standins.nodelist import NodeList

    reactor: Any = the_reactor

    def listen(factory: Any) -> int:
        return int(reactor.listenTCP(0, factory, interface=LOOPBACK).getHost().port)

    def kernel() -> Kernel:
        return Kernel(reactor, CORES, random.Random(1), lambda handle: False)

    def wait_for_end() -> None:
        sys.stdin.buffer.read()
        reactor.callFromThread(reactor.stop)

    ports = Ports(
        kernel=listen(kernel()),
        direct_kernel=listen(kernel()),
        ledger=listen(Ledger(reactor, random.Random(2), slots=LEDGER_SLOTS)),
        node_list=reactor.listenUDP(0, NodeList(reactor, delay_s=0.0), interface=LOOPBACK).getHost().port,
    )
    print(msgspec.json.encode(ports).decode(), flush=True)
    threading.Thread(target=wait_for_end, daemon=True).start()
    reactor.run()


if __name__ == "__main__":
    main()
