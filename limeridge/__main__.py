"""`python -m limeridge [--peers FILE]`: starts one service instance; with the file, as a member of a fleet.

It owns the way from the configuration to the running program and the exit codes: 0 after a drain, 1 where
the address can't be listened on, 2 for bad configuration, told in one line. It must never do the program's
work, and without the file it imports nothing of membership.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from limeridge.config import Setup, Unusable, path_from, read, reading
from limeridge.configuration.reading import Steps


def main() -> int:
    # Against a notice of new configuration that comes before there is anybody to take it: it would end us, or
    # be passed over by one that has read the file already. It is held back until it can be taken.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    # Against a log that goes into a socket which got the number of a closed standard stream.
    for stream in (0, 1, 2):
        try:
            os.fstat(stream)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
    try:
        setup = read(path_from())
        peers = _peers(sys.argv[1:]) if len(sys.argv) > 1 else None
        # Until it serves there is nothing to drain.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
        from limeridge.net.service import run

        return run(setup, _reread, peers)
    except Unusable as unusable:
        print(f"limeridge: {' '.join(str(unusable).split())}", file=sys.stderr)
        return 2


def _reread(before: Setup, now: int) -> Steps[Setup]:
    return reading(path_from(), before=before, now=now)


def _peers(words: list[str]) -> Any:
    """What makes the part of membership out of the file that the arguments name."""
    import argparse

    parser = argparse.ArgumentParser("python -m limeridge", description="Starts one service instance.")
    parser.add_argument("--peers", metavar="FILE", help="settings of membership, in protobuf text format")
    path = parser.parse_args(words).peers
    if path is None:
        return None
    try:
        from limeridge.peers.join import member_factory
    except ImportError as trouble:
        raise Unusable(f"--peers: expected the extra `peers` to be installed: {trouble}") from None
    return member_factory(path)


if __name__ == "__main__":
    sys.exit(main())
