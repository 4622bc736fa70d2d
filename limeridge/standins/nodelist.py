"""A stand-in for the node list: who reported lately, as callers get to see it, late.

It owns the entries and their ageing. It must never tell callers anything but names that are listed.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

LAPSE = 3.0  # seconds after its last report that an entry stays


class NodeList(DatagramProtocol):
    noisy = False

    def __init__(self, reactor: Any, late: float = 1.0) -> None:
        self.reactor, self.late = reactor, late
        self.reports: dict[str, float] = {}
        self.strange = 0
        self.seen: list[tuple[float, tuple[str, ...]]] = []

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        words = data.decode("ascii", "replace").split(" ")
        if len(words) != 3 or words[0] != "HERE" or words[2] not in ("on", "off"):
            self.strange += 1
            return
        self.reports[words[1]] = self.reactor.seconds()

    def current(self) -> tuple[str, ...]:
        now = self.reactor.seconds()
        return tuple(sorted(name for name, at in self.reports.items() if now - at < LAPSE))

    def listed(self) -> tuple[str, ...]:
        """As callers see it: `late` seconds old."""
        now = self.reactor.seconds()
        current = self.current()
        if not self.seen or self.seen[-1][1] != current:
            self.seen.append((now, current))
        while len(self.seen) > 1 and self.seen[1][0] <= now - self.late:
            del self.seen[0]
        return self.seen[0][1]
