"""A stand-in for the node list: who reported lately, as callers get to see it, late; and, as it can be read
in some installations, where members say that they are.

It owns the entries and their ageing. It must never tell anything but entries that are listed.
"""

from __future__ import annotations

from typing import Any, cast

from twisted.internet.protocol import DatagramProtocol

LAPSE = 3.0  # seconds after its last report that an entry stays
PLACE_LAPSE = 180.0  # and a member's place after it said so
PART = 40  # places in one datagram


class NodeList(DatagramProtocol):
    noisy = False

    def __init__(self, reactor: Any, late: float = 1.0) -> None:
        self.reactor, self.late = reactor, late
        self.reports: dict[str, float] = {}
        self.strange = 0
        self.asked = 0
        self.places: dict[str, tuple[str, float]] = {}  # where members said that they are, and when
        self.seen: list[tuple[float, tuple[str, ...]]] = []

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        words = data.decode("ascii", "replace").split(" ")
        if words[0] == "AT" and len(words) == 3:
            self.places[words[1]] = words[2], self.reactor.seconds()
            return
        if words[0] == "LIST" and len(words) == 2:
            self.asked += 1
            self.tell(words[1], addr)
            return
        if len(words) != 3 or words[0] != "HERE" or words[2] not in ("on", "off"):
            self.strange += 1
            return
        self.reports[words[1]] = self.reactor.seconds()

    def tell(self, number: str, to: Any) -> None:
        """In parts that fit a datagram each; entries of members stay for as long as a reader may take."""
        now, transport = self.reactor.seconds(), cast(Any, self.transport)
        places = sorted(place for place, at in self.places.values() if now - at < PLACE_LAPSE)
        parts = [places[start : start + PART] for start in range(0, len(places), PART)] or [[]]
        for part, some in enumerate(parts):
            if transport is not None:
                transport.write(" ".join(["LISTED", number, str(part), str(len(parts)), *some]).encode(), to)

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
