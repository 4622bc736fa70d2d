"""What the deploy file says, done as it stands: `build` in other folders, `run` looked at from outside."""

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
MOST = 20.0


def shell(command: str, where: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(["/bin/sh", "-c", command], cwd=where, capture_output=True, text=True, check=False)


def test_build_in_a_folder_of_any_name_again_and_after_other_requirements(tmp_path: Path) -> None:
    """The requirements are ones that a new environment meets, so that no registry is asked."""
    folder = tmp_path / "a folder; with 'signs'"
    shutil.copytree(ROOT / "limeridge", folder / "limeridge", ignore=shutil.ignore_patterns("__pycache__"))
    needs, installed = folder / "requirements.txt", folder / ".venv/installed"
    needs.write_text("pip\n")
    done = shell(DEPLOY["build"], folder)
    assert done.returncode == 0, done.stderr
    assert installed.read_text() == "pip\n"
    assert list((folder / "limeridge/net/__pycache__").glob("service.*.pyc")), "no byte code laid down"
    first = installed.stat().st_mtime_ns
    assert shell(DEPLOY["build"], folder).returncode == 0
    assert installed.stat().st_mtime_ns == first, "installed again with nothing changed"
    needs.write_text("pip\n# another\n")
    assert shell(DEPLOY["build"], folder).returncode == 0
    assert installed.read_text() == needs.read_text()
    needs.write_text("no-such-package @ file:///nowhere\n")
    assert shell(DEPLOY["build"], folder).returncode != 0, "a build that fails must say so"
    assert installed.read_text() != needs.read_text(), "and is to be done again"


def members(group: int) -> list[int]:
    """Processes of a process group, which a child can't leave by a fork alone."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                if int((entry / "stat").read_text().rpartition(")")[2].split()[2]) == group:
                    found.append(int(entry.name))
            except OSError:
                continue
    return found


@pytest.mark.skipif(not Path("/proc/self/maps").exists(), reason="looks at /proc")
def test_run_ends_in_one_process_linked_against_libc_with_no_unix_socket(tmp_path: Path) -> None:
    config = draw(Ranges(), 1).config(0)
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        config["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
    for name in ("kernel", "records", "roster"):
        config[name] = "127.0.0.1:9"  # nobody is there: it serves all the same
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
            until("the line of its start", lambda: b'"start"' in os.pread(log.fileno(), 1 << 16, 0), MOST)
            host, _, port = config["listen"].rpartition(":")

            def there() -> bool:
                with socket.socket() as caller:
                    return caller.connect_ex((host, int(port))) == 0

            until("somebody listens", there, MOST)
            proc = Path(f"/proc/{child.pid}")
            assert members(child.pid) == [child.pid], "one process, with no children"
            words = (proc / "cmdline").read_bytes().split(b"\0")
            assert words[1:3] == [b"-m", b"limeridge"], f"the shell is still there: {words}"
            maps = (proc / "maps").read_text()
            assert "/libc.so" in maps or "/libc-" in maps, "not linked dynamically against the C library"
            inodes = set()
            for entry in (proc / "fd").iterdir():
                try:
                    inodes.add(os.readlink(entry))
                except OSError:  # it was closed meanwhile
                    continue
            unix = {
                f"socket:[{line.split()[6]}]" for line in (proc / "net/unix").read_text().splitlines()[1:]
            }
            assert not inodes & unix, "a Unix socket that nobody comes to"
            assert not [name for name in inodes if "io_uring" in name]
            child.send_signal(signal.SIGTERM)
            assert child.wait(MOST) == 0
        finally:
            if child.poll() is None:
                child.kill()
                child.wait()
