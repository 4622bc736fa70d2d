"""Executes the commands of the deploy file: `build` in other folders, and `run`, whose process is
inspected."""

import os
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

import orjson
import pytest
from helpers import until

from limeridge.sim.plan import Ranges, draw

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
MAX_WAIT_S = 20.0


def shell(command: str, where: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(["/bin/sh", "-c", command], cwd=where, capture_output=True, text=True, check=False)


def test_build_works_in_any_folder_and_again_after_changed_requirements(tmp_path: Path) -> None:
    """The requirements are already met by a new environment, so that no package registry is needed."""
    folder = tmp_path / "a folder; with 'signs'"
    shutil.copytree(ROOT / "limeridge", folder / "limeridge", ignore=shutil.ignore_patterns("__pycache__"))
    requirements, installed = folder / "requirements.txt", folder / ".venv/installed"
    requirements.write_text("pip\n")
    build = shell(DEPLOY["build"], folder)
    assert build.returncode == 0, build.stderr
    assert installed.read_text() == "pip\n"
    assert list((folder / "limeridge/net/__pycache__").glob("service.*.pyc")), "no byte code was compiled"
    installed_at = installed.stat().st_mtime_ns
    assert shell(DEPLOY["build"], folder).returncode == 0
    assert installed.stat().st_mtime_ns == installed_at, "installed again with nothing changed"
    requirements.write_text("pip\n# another\n")
    assert shell(DEPLOY["build"], folder).returncode == 0
    assert installed.read_text() == requirements.read_text()
    requirements.write_text("no-such-package @ file:///nowhere\n")
    assert shell(DEPLOY["build"], folder).returncode != 0, "a build that fails must return an error"
    assert installed.read_text() != requirements.read_text(), (
        "a failed build must be repeated by the next one"
    )


def group_members(group: int) -> list[int]:
    """Returns the processes of a process group; a forked child stays in its group."""
    processes = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                if int((entry / "stat").read_text().rpartition(")")[2].split()[2]) == group:
                    processes.append(int(entry.name))
            except OSError:
                continue
    return processes


@pytest.mark.skipif(not Path("/proc/self/maps").exists(), reason="looks at /proc")
def test_run_ends_in_one_process_linked_against_libc_with_no_unix_socket(tmp_path: Path) -> None:
    config = draw(Ranges(), 1).config(0)
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        config["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
    for name in ("kernel", "records", "roster"):
        config[name] = "127.0.0.1:9"  # nothing listens there: the instance serves all the same
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config))
    env = {"BALANCER_CONFIG": str(path), "PATH": os.environ["PATH"], "TMPDIR": str(tmp_path)}
    with tempfile.TemporaryFile() as log:
        child = subprocess.Popen(
            ["/bin/sh", "-c", DEPLOY["run"]],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        try:
            until(
                "the start line of the log",
                lambda: b'"start"' in os.pread(log.fileno(), 1 << 16, 0),
                MAX_WAIT_S,
            )
            host, _, port = config["listen"].rpartition(":")

            def listens() -> bool:
                with socket.socket() as caller:
                    return caller.connect_ex((host, int(port))) == 0

            until("the instance to listen", listens, MAX_WAIT_S)
            proc = Path(f"/proc/{child.pid}")
            assert group_members(child.pid) == [child.pid], "one process, with no children"
            arguments = (proc / "cmdline").read_bytes().split(b"\0")
            assert arguments[1:3] == [b"-m", b"limeridge"], f"the shell is still running: {arguments}"
            maps = (proc / "maps").read_text()
            assert "/libc.so" in maps or "/libc-" in maps, "not linked dynamically against the C library"
            inodes = set()
            for entry in (proc / "fd").iterdir():
                try:
                    inodes.add(os.readlink(entry))
                except OSError:  # closed in the meantime
                    continue
            unix = {
                f"socket:[{line.split()[6]}]" for line in (proc / "net/unix").read_text().splitlines()[1:]
            }
            assert not inodes & unix, "a Unix socket without a purpose"
            assert not [name for name in inodes if "io_uring" in name]
            child.send_signal(signal.SIGTERM)
            assert child.wait(MAX_WAIT_S) == 0
        finally:
            if child.poll() is None:
                child.kill()
                child.wait()
