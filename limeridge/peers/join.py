"""Creates an instance's member from the membership settings file.

Errors in the file are raised as the configuration's own `ConfigError`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limeridge.config import ConfigError, Setup
from limeridge.peers.link import MemberService
from limeridge.peers.setup import read
from limeridge.settings.load import Unusable as BadFile


def member_factory(path: str) -> Callable[[Setup, Any, Any], MemberService]:
    """Reads the membership settings at `path` and returns a factory for the member of an instance.

    Raises ConfigError if the file is invalid. The factory raises it if the file does not fit the
    configuration.
    """
    try:
        peers = read(path)
    except BadFile as bad:
        raise ConfigError(str(bad)) from None
    return lambda setup, reactor, log: MemberService(setup, peers, reactor, log)
