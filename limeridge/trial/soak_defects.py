"""`python -m limeridge.trial.soak_defects [--seeds N] [--jobs N]`: defects planted in a copy of the instance,
and the seed of the soak that finds each. Prints a table; it ends with 1 where one was not found.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from multiprocessing.pool import ThreadPool
from pathlib import Path
from typing import Any

import orjson

from limeridge.sim.mutants import BRAIN, CALLERS, SERVICE, Mutant, changed
from limeridge.trial.soak_table import verdict

SECONDS = 2.0  # of traffic of each soak
PACKAGE = Path(__file__).parent.parent

DEFECTS = (
    Mutant(
        "answer-dropped",
        CALLERS,
        "            self.send(encode_answer(number, answer, self.callers.service.value()))\n",
        "            if self.farewell_at is None:\n"
        "                self.send(encode_answer(number, answer, self.callers.service.value()))\n",
        "an answer that is ready as its connection is being closed is dropped",
    ),
    Mutant(
        "backlog-unread",
        CALLERS,
        "    port.doRead()\n    port.connectionLost",
        "    port.connectionLost",
        "the door is shut before the backlog is read",
    ),
    Mutant(
        "kill-from-last-signal",
        SERVICE,
        '            self.log.event("drain", "again")\n',
        '            self.log.event("drain", "again")\n'
        "            self.ended, self.kill_at = True, self.reactor.seconds() + self.setup.stop / 1_000_000\n"
        "            self.reactor.callLater(\n"
        "                self.kill_at - self.reactor.seconds() - EXIT_BEFORE_KILL_S, self.stop\n"
        "            )\n",
        "the time of the kill is taken from the last signal",
    ),
    Mutant(
        "reload-drops-link",
        SERVICE,
        "        self.facade.revise(setup.plain, setup.tenants.quota)\n",
        "        self.facade.revise(setup.plain, setup.tenants.quota)\n"
        "        self.kernel.unconfirmed.clear()\n"
        "        self.kernel.link.transport.abortConnection()\n",
        "a reload drops the open link, with what was commanded on it",
    ),
    Mutant(
        "grace-ignored",
        BRAIN,
        "        if self.drain_at is not None and arrived > self.drain_at",
        "        if False and self.drain_at is not None and arrived > self.drain_at",
        "requests run that come after the grace",
    ),
    Mutant(
        "key-forgotten",
        SERVICE,
        "        self.facade.revise(setup.plain, setup.tenants.quota)\n",
        "        self.facade.revise(setup.plain, setup.tenants.quota)\n"
        "        self.facade.attempts.by_key.clear()\n",
        "keys are forgotten at SIGHUP",
    ),
    Mutant(
        "descriptor-kept",
        CALLERS,
        "        self.transport.registerProducer(self, True)\n",
        "        self.transport.registerProducer(self, True)\n"
        '        __import__("os").dup(self.transport.fileno())\n',
        "a descriptor of each connection is kept",
    ),
    Mutant(
        "farewell-left-out",
        CALLERS,
        "        for connection in list(self.connections):\n            connection.send_farewell()\n",
        "        return\n",
        "no farewell is said in a drain",
    ),
)


def planted(defect: Mutant, folder: Path) -> None:
    """Writes a copy of the package with the defect in it."""
    for source in PACKAGE.rglob("*.py"):
        target = folder / "limeridge" / source.relative_to(PACKAGE)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes(source.read_bytes())
    file = folder / "limeridge" / defect.file
    file.write_text(changed(defect))


def found_by(defect: Mutant, seeds: range) -> tuple[int, str] | None:
    """The first seed that breaks a rule which no machine's slowness explains, and the rule."""
    with tempfile.TemporaryDirectory() as folder:
        planted(defect, Path(folder))
        for seed in seeds:
            report = played(seed, folder)
            rules = [fault["rule"] for fault in report["faults"] if not fault["soft"]]
            if rules:
                return seed, rules[0]
            if verdict(report) == "broke":
                return seed, str(report["faults"][0]["rule"])
    return None


def played(seed: int, folder: str) -> dict[str, Any]:
    """One soak of the copy in the folder."""
    command = [sys.executable, "-m", "limeridge.trial.soak", str(seed), str(SECONDS)]
    done = subprocess.run([*command, "--no-quiet", "--code", folder], stdout=subprocess.PIPE, check=True)
    report: dict[str, Any] = orjson.loads(done.stdout.splitlines()[-1])
    return report


def table(seeds: int, jobs: int) -> Iterator[tuple[str, bool]]:
    """The lines, each with whether its defect was found."""
    yield "| defect | what it does | found by seed | rule |", True
    yield "| --- | --- | --- | --- |", True
    with ThreadPool(jobs) as pool:
        for defect, found in zip(
            DEFECTS, pool.imap(lambda each: found_by(each, range(seeds)), DEFECTS), strict=True
        ):
            told = f"{found[0]} | {found[1]}" if found else f"not in {seeds} | -"
            yield f"| {defect.name} | {defect.what} | {told} |", found is not None


def main() -> int:
    """Prints the table."""
    parser = argparse.ArgumentParser("python -m limeridge.trial.soak_defects", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=2)
    asked = parser.parse_args()
    all_found = True
    for line, found in table(asked.seeds, asked.jobs):
        print(line, flush=True)
        all_found = all_found and found
    return 0 if all_found else 1


if __name__ == "__main__":
    sys.exit(main())
