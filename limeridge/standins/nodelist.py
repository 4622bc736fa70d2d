"""A stand-in for the node list: who reported lately, as callers get to see it, late; and, as it can be read
in some installations, where members say that they are.

It owns the entries and their ageing. It must never tell anything but entries that are listed.
"""

from __future__ import annotations

from typing import Any, cast

from twisted.internet.protocol import DatagramProtocol

REPORT_TTL_S = 3.0  # seconds after its last report that an entry stays
MEMBER_TTL_S = 180.0  # and a member's place after it said so
MEMBERS_PER_PART = 40  # places in one datagram


class NodeList(DatagramProtocol):
    noisy = False

    def __init__(self, reactor: Any, delay_s: float = 1.0) -> None:
        self.reactor, self.delay_s = reactor, delay_s
        self.reports: dict[str, float] = {}
        self.malformed_reports = 0
        self.list_requests = 0
        self.members: dict[str, tuple[str, float]] = {}  # where members said that they are, and when
        self.history: list[tuple[float, tuple[str, ...]]] = []

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        fields = data.decode("ascii", "replace").split(" ")
        if fields[0] == "AT" and len(fields) == 3:
            self.members[fields[1]] = fields[2], self.reactor.seconds()
            return
        if fields[0] == "LIST" and len(fields) == 2:
            self.list_requests += 1
            self.send_members(fields[1], addr)
            return
        if len(fields) != 3 or fields[0] != "HERE" or fields[2] not in ("on", "off"):
            self.malformed_reports += 1
            return
        self.reports[fields[1]] = self.reactor.seconds()

    def send_members(self, number: str, to: Any) -> None:
        """In parts that fit a datagram each; entries of members stay for as long as a reader may take."""
        now, transport = self.reactor.seconds(), cast(Any, self.transport)
        members = sorted(address for address, at in self.members.values() if now - at < MEMBER_TTL_S)
        parts = [
            members[start : start + MEMBERS_PER_PART] for start in range(0, len(members), MEMBERS_PER_PART)
        ] or [[]]
        for part, chunk in enumerate(parts):
            if transport is not None:
                transport.write(" ".join(["LISTED", number, str(part), str(len(parts)), *chunk]).encode(), to)

    def current_names(self) -> tuple[str, ...]:
        now = self.reactor.seconds()
        return tuple(sorted(name for name, at in self.reports.items() if now - at < REPORT_TTL_S))

    def visible_names(self) -> tuple[str, ...]:
        """As callers see it: `late` seconds old."""
        now = self.reactor.seconds()
        current_names = self.current_names()
        if not self.history or self.history[-1][1] != current_names:
            self.history.append((now, current_names))
        while len(self.history) > 1 and self.history[1][0] <= now - self.delay_s:
            del self.history[0]
        return self.history[0][1]
