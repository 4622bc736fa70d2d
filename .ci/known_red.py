"""`python .ci/known_red.py`, from the root: runs the tests, passing over just those that KNOWN-RED.txt lists.

A line of the file is `TEST | COMMAND | SEEN | issue N`, short: TEST as pytest names it, COMMAND what shows
the failure by hand, with its seed or `no seed`, SEEN what came of it. A test stands in one line only. The
listed tests are run too, each by itself, and how each ended is printed: passed, failed, skipped or not run.
It must never pass over a test that is not listed, nor let a line stand that lacks a part or names no test.
Without the file it passes over none.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tempfile
from collections import Counter
from enum import Enum
from pathlib import Path
from xml.etree import ElementTree

FILE = "KNOWN-RED.txt"
LONGEST = 400  # characters of a line
LINE = re.compile(
    r"(?P<test>\S+::[^|]*[^|\s]) \| (?P<command>[^|\s][^|]*[^|\s]) \| (?P<seen>[^|\s][^|]*[^|\s])"
    r" \| issue (?P<issue>[1-9]\d*)"
)
SEED = re.compile(r"\bseeds?\b")


def pytest(*words: str, quiet: bool = False) -> int:
    """Its exit code; 0 is all passed, and only that."""
    told = subprocess.DEVNULL if quiet else None
    return subprocess.run([sys.executable, "-m", "pytest", "-q", *words], stdout=told, stderr=told).returncode


class Ending(Enum):
    """How a listed test ended by itself; a skipped one shows neither that it holds nor that it fails."""

    PASSED = "passed: its line may go"
    FAILED = "failed"
    SKIPPED = "skipped: not run"
    NOT_RUN = "not run"


def ending(test: str) -> Ending:
    """Runs one test, or all cases of one, and reads pytest's JUnit report of them."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        code = pytest(test, f"--junitxml={report}", quiet=True)
        if not report.exists():
            return Ending.NOT_RUN
        cases = list(ElementTree.parse(report).iter("testcase"))
    outcomes = Counter(child.tag for case in cases for child in case)
    if code or outcomes["failure"] or outcomes["error"]:
        return Ending.FAILED if cases else Ending.NOT_RUN
    return Ending.SKIPPED if outcomes["skipped"] else Ending.PASSED


def listed(text: str) -> list[re.Match[str]]:
    """The entries; ValueError where the file can't be used, with the line."""
    found: list[re.Match[str]] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        match = LINE.fullmatch(line.strip())
        if match is None:
            raise ValueError(f"{FILE}:{number}: expected `TEST | COMMAND | SEEN | issue N`")
        if not SEED.search(match["command"]):
            raise ValueError(f"{FILE}:{number}: the command names no seed, nor says `no seed`")
        if len(line) > LONGEST:
            raise ValueError(f"{FILE}:{number}: {len(line)} characters, {LONGEST} at most")
        if any(match["test"] == other["test"] for other in found):
            raise ValueError(f"{FILE}:{number}: {match['test']} is listed twice")
        found.append(match)
    return found


def main() -> int:
    file = Path(FILE)
    try:
        reds = listed(file.read_text()) if file.exists() else []
    except ValueError as trouble:
        print(trouble)
        return 1
    tests = [red["test"] for red in reds]
    for test in tests:
        if pytest("--collect-only", test, quiet=True):
            print(f"{FILE}: there is no test {test}")
            return 1
    code = pytest(*(word for test in tests for word in ("--deselect", test)))
    for red in reds:
        ended = ending(red["test"])
        print(
            f"known red: {red['test']}: {ended.value} (issue {red['issue']}: {red['seen']}; {red['command']})"
        )
    return code


if __name__ == "__main__":
    sys.exit(main())
