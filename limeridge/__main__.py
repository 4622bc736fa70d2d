"""`python -m limeridge`: starts one service instance.

It owns the way from the configuration to the running program and the exit codes: 0 after a drain, 1 where the
address can't be listened on, 2 for bad configuration, told in one line. It must never do the program's work.
"""

from __future__ import annotations

import os
import signal
import sys

from limeridge.config import Unusable, path_from, read


def main() -> int:
    # Against a notice of new configuration that comes before there is anybody to read it: it would end us.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Against a log that goes into a socket which got the number of a closed standard stream.
    for stream in (0, 1, 2):
        try:
            os.fstat(stream)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
    try:
        setup = read(path_from())
    except Unusable as unusable:
        print(f"limeridge: {' '.join(str(unusable).split())}", file=sys.stderr)
        return 2
    # Until it serves there is nothing to drain.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    from limeridge.net.service import run

    return run(setup, lambda: read(path_from()))


if __name__ == "__main__":
    sys.exit(main())
