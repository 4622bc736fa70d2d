"""`python -m limeridge.cli`: the same as the command `limeridge`."""

from limeridge.cli.main import main

main()
