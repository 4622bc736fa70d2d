"""`python -m limeridge [--peers FILE]`: starts one service instance; with the file, as a member of a fleet.

It owns startup from the configuration to the running program, and the exit codes: 0 after a drain, 1 if the
address can't be bound, 2 for invalid configuration, reported in one line. It must not do the program's work,
and without the file it imports nothing of membership.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from limeridge.config import ConfigError, Setup, config_path, read, reading
from limeridge.configuration.reading import Steps


def main() -> int:
    # SIGHUP is blocked until its handler is installed: earlier it would terminate the process, or be lost
    # after the file has been read.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    # Standard streams that are closed are opened on /dev/null; otherwise a socket could get their descriptor
    # and the log would be written to it.
    for stream in (0, 1, 2):
        try:
            os.fstat(stream)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
    try:
        setup = read(config_path())
        peers = _parse_peers_option(sys.argv[1:]) if len(sys.argv) > 1 else None
        # Nothing has to be drained before the instance serves.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
        from limeridge.net.service import run

        return run(setup, _reread_config, peers)
    except ConfigError as error:
        print(f"limeridge: {' '.join(str(error).split())}", file=sys.stderr)
        return 2


def _reread_config(previous: Setup, now_us: int) -> Steps[Setup]:
    return reading(config_path(), previous=previous, now_us=now_us)


def _parse_peers_option(arguments: list[str]) -> Any:
    """Returns a function that creates the membership component from the file given by `--peers`, or None."""
    import argparse

    parser = argparse.ArgumentParser("python -m limeridge", description="Starts one service instance.")
    parser.add_argument("--peers", metavar="FILE", help="settings of membership, in protobuf text format")
    path = parser.parse_args(arguments).peers
    if path is None:
        return None
    try:
        from limeridge.peers.join import member_factory
    except ImportError as error:
        raise ConfigError(f"--peers: expected the extra `peers` to be installed: {error}") from None
    return member_factory(path)


if __name__ == "__main__":
    sys.exit(main())
