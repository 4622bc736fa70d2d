"""From the file of membership to the part that an instance takes along.

It owns the one step between them; faults of the file become the configuration's own `Unusable`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limeridge.config import Setup, Unusable
from limeridge.peers.link import Link
from limeridge.peers.setup import read
from limeridge.settings.load import Unusable as BadFile


def member_factory(path: str) -> Callable[[Setup, Any, Any], Link]:
    """Reads the file of membership at `path`; what is returned makes the member of an instance. Raises
    Unusable where the file is at fault, and so does the call of what is returned where it does not fit
    the configuration."""
    try:
        peers = read(path)
    except BadFile as bad:
        raise Unusable(str(bad)) from None
    return lambda setup, reactor, log: Link(setup, peers, reactor, log)
