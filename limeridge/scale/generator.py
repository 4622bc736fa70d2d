"""The generator's process as the sweeps use it: started with an order, watched while it sends."""

from __future__ import annotations

import subprocess
import sys
import time
from types import TracebackType

import msgspec

from limeridge.scale.load import Begin, LoadOrder, Outcome

END_WAIT = 30.0  # seconds past the last due request


class GeneratorFailed(Exception):
    """The generator gave no outcome."""


class Generator:
    """A context manager that ends the process. Raises GeneratorFailed where it can't connect."""

    def __init__(self, order: LoadOrder) -> None:
        self.order = order
        self.process = subprocess.Popen(
            [sys.executable, "-m", "limeridge.scale.load"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(order) + b"\n")
        self.process.stdin.flush()
        begin: Begin = msgspec.json.decode(self._line(), type=Begin)
        self.start = begin.at

    def __enter__(self) -> Generator:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, trouble: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for stream in (self.process.stdin, self.process.stdout):
            if stream is not None:
                stream.close()

    def wait_until(self, seconds: float) -> None:
        """Until so many seconds after the generator's time 0."""
        time.sleep(max(0.0, self.start + seconds - time.monotonic()))

    def outcome(self) -> Outcome:
        """When all is answered or given up."""
        outcome: Outcome = msgspec.json.decode(self._line(), type=Outcome)
        self.process.wait(END_WAIT)
        return outcome

    def _line(self) -> bytes:
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise GeneratorFailed(f"the generator ended with code {self.process.wait()}")
        return line
