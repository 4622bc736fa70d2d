"""`python .ci/known_red.py`, from the root: runs the tests, passing over just those that KNOWN-RED.txt lists.

A line of the file is `TEST | CAUSE | issue N`, TEST as pytest names it; three lines at most. The listed tests
are run too, each by itself, and how each ended is printed. It must never pass over a test that is not listed,
nor let a line stand that names no test, no cause or no issue. Without the file nothing is passed over.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

FILE = "KNOWN-RED.txt"
MOST = 3
LINE = re.compile(r"(?P<test>\S+::.*\S) \| (?P<cause>\S.*\S) \| issue (?P<issue>[1-9]\d*)")


def pytest(*words: str, quiet: bool = False) -> int:
    """Its exit code; 0 is all passed, and only that."""
    told = subprocess.DEVNULL if quiet else None
    return subprocess.run([sys.executable, "-m", "pytest", "-q", *words], stdout=told, stderr=told).returncode


def listed(text: str) -> list[re.Match[str]]:
    """ValueError where the file can't be used, with the line."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        match = LINE.fullmatch(line.strip())
        if match is None:
            raise ValueError(f"{FILE}:{number}: expected `TEST | CAUSE | issue N`")
        found.append(match)
    if len(found) > MOST:
        raise ValueError(f"{FILE}: {len(found)} tests listed, {MOST} at most")
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
        ended = "passed: its line may go" if not pytest(red["test"], quiet=True) else "failed"
        print(f"known red: {red['test']}: {ended} (issue {red['issue']}: {red['cause']})")
    return code


if __name__ == "__main__":
    sys.exit(main())
