"""What `.ci/run` passes over, and what it does not: tried on a project of three tests."""

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"
TESTS = """
import pytest
def test_good(): pass
def test_bad(): assert False
@pytest.mark.parametrize("what", ["one way", "another"])
def test_each(what): assert what == "another"
"""
BAD, EACH = "tests/test_it.py::test_bad", "tests/test_it.py::test_each[one way]"


@pytest.mark.parametrize(
    ("text", "code", "told"),
    [
        (None, 1, "2 failed"),
        ("", 1, "2 failed"),
        (f"{BAD} | the thing is broken | issue 7\n", 1, "1 failed"),
        (
            f"{BAD} | the thing is broken | issue 7\n{EACH} | and this | issue 8\n",
            0,
            "known red: tests/test_it.py::test_bad: failed (issue 7: the thing is broken)",
        ),
        (
            f"{BAD} | worn | issue 7\n{EACH} | worn | issue 8\n"
            "tests/test_it.py::test_good | was worn | issue 9\n",
            0,
            "known red: tests/test_it.py::test_good: passed: its line may go",
        ),
        (
            f"{BAD} | broken | issue 7\n{EACH} | broken | issue 8\n"
            "tests/test_it.py::test_gone | broken | issue 9\n",
            1,
            "there is no test tests/test_it.py::test_gone",
        ),
        (f"{BAD} | issue 7\n", 1, "KNOWN-RED.txt:1: expected"),
        (f"{BAD} | broken | issue\n", 1, "KNOWN-RED.txt:1: expected"),
        (f"\n{BAD} |  | issue 7\n", 1, "KNOWN-RED.txt:2: expected"),
        (f"{BAD} | worn | issue 7\n" * 4, 1, "4 tests listed, 3 at most"),
        ("tests/test_it.py | all of it | issue 7\n", 1, "KNOWN-RED.txt:1: expected"),
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
