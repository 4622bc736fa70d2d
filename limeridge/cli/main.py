"""The top of the command, and how its groups end: 0 held or done, 1 a rule broke, 2 bad use, each in one
clear line.

It owns the grammar's root and the exit codes. It must never do a group's work.
"""

from __future__ import annotations

import sys

import click

from limeridge import __version__
from limeridge.cli.duty import duty
from limeridge.cli.peers import peers
from limeridge.cli.scale import scale
from limeridge.cli.sim import sim
from limeridge.cli.trial import trial
from limeridge.settings.load import Unusable


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="limeridge")
def root() -> None:
    """limeridge: decides, inside each server of a fleet, what it takes, runs and turns away.

    A service instance itself is started by `python -m limeridge`; this command holds the tools round it.
    """


root.add_command(duty)
root.add_command(peers)
root.add_command(scale)
root.add_command(sim)
root.add_command(trial)


def main() -> None:
    try:
        # Without its own ending, click gives the code of an Exit back.
        sys.exit(root(standalone_mode=False) or 0)
    except click.Abort:
        sys.exit(130)
    except click.ClickException as bad:
        print(f"limeridge: {' '.join(bad.format_message().split())}", file=sys.stderr)
        sys.exit(2)
    except Unusable as bad:
        print(f"limeridge: {bad}", file=sys.stderr)
        sys.exit(2)
    except BrokenPipeError:
        sys.exit(1)
