"""What `.ci/run` passes over, and what it does not: tried on a project of a few tests."""

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"
TESTS = """
import pytest
def test_good(): pass
def test_fine(): pass
def test_bad(): assert False
@pytest.mark.parametrize("what", ["one way", "another"])
def test_each(what): assert what == "another"
@pytest.mark.skipif(True, reason="stays out")
def test_out(): assert False
@pytest.fixture
def broken(): assert False
def test_set_up(broken): pass
"""
BAD, EACH = "tests/test_it.py::test_bad", "tests/test_it.py::test_each[one way]"
GOOD, FINE = "tests/test_it.py::test_good", "tests/test_it.py::test_fine"
OUT, SET_UP = "tests/test_it.py::test_out", "tests/test_it.py::test_set_up"


SHOWN = "pytest -q tests/test_it.py, no seed"


def line(test: str, seen: str = "broken", issue: str = "issue 7", command: str = SHOWN) -> str:
    return f"{test} | {command} | {seen} | {issue}\n"


@pytest.mark.parametrize(
    ("text", "code", "told"),
    [
        (None, 1, "2 failed"),
        ("", 1, "2 failed"),
        (line(BAD) + line(SET_UP), 1, "1 failed"),
        (
            line(BAD, "the thing is broken") + line(EACH, "and this", "issue 8") + line(SET_UP),
            0,
            f"known red: tests/test_it.py::test_bad: failed (issue 7: the thing is broken; {SHOWN})",
        ),
        (
            line(BAD) + line(EACH) + line(SET_UP) + line(GOOD, "was worn", "issue 9"),
            0,
            "known red: tests/test_it.py::test_good: passed: its line may go",
        ),
        (
            line(BAD) + line(EACH) + line("tests/test_it.py::test_gone"),
            1,
            "there is no test tests/test_it.py::test_gone",
        ),
        (f"{BAD} | {SHOWN} | issue 7\n", 1, "KNOWN-RED.txt:1: expected"),
        (f"{BAD} | broken | issue 7\n", 1, "KNOWN-RED.txt:1: expected"),
        (line(BAD, issue="issue"), 1, "KNOWN-RED.txt:1: expected"),
        ("\n" + line(BAD, seen=""), 1, "KNOWN-RED.txt:2: expected"),
        (line(BAD, command=""), 1, "KNOWN-RED.txt:1: expected"),
        (line(BAD, command="pytest -q"), 1, "KNOWN-RED.txt:1: the command names no seed"),
        (line(BAD, seen="broken, " * 60 + "broken"), 1, "characters, 400 at most"),
        (
            line(BAD) + line(EACH) + line(BAD, "again"),
            1,
            "KNOWN-RED.txt:3: tests/test_it.py::test_bad is listed",
        ),
        (line("tests/test_it.py"), 1, "KNOWN-RED.txt:1: expected"),
        (line(BAD) + line(EACH) + line(SET_UP) + line(GOOD) + line(FINE), 0, "1 passed"),
        (
            line(BAD) + line(EACH) + line(SET_UP) + line(OUT),
            0,
            "known red: tests/test_it.py::test_out: skipped: not run",
        ),
        (
            line(BAD) + line(EACH) + line(SET_UP),
            0,
            "known red: tests/test_it.py::test_set_up: failed",
        ),
    ],
)
def test_just_what_is_listed_is_passed_over(text: str | None, code: int, told: str, tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_it.py").write_text(TESTS)
    if text is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(text)
    done = subprocess.run(
        [sys.executable, str(SCRIPT)], cwd=tmp_path, capture_output=True, text=True, check=False
    )
    assert (done.returncode, told in done.stdout) == (code, True), done.stdout + done.stderr
