"""`limeridge`: the command, a file a group; the work is done by the packages that the groups call."""

from limeridge.cli.main import main

__all__ = ["main"]
