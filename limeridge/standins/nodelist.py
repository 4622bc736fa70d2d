"""A fake node list: collects the instances' reports and serves them to callers with a delay. It also answers
queries for member addresses, which some installations support.

It owns the entries and their expiry. It must not return anything but listed entries.
"""

from __future__ import annotations

from typing import Any, cast

from twisted.internet.protocol import DatagramProtocol

REPORT_TTL_S = 3.0  # seconds until an entry expires after its last report
MEMBER_TTL_S = 180.0  # seconds until an announced member address expires; covers the slowest reader
MEMBERS_PER_PART = 40  # addresses in one datagram


class NodeList(DatagramProtocol):
    noisy = False

    def __init__(self, reactor: Any, delay_s: float = 1.0) -> None:
        self.reactor, self.delay_s = reactor, delay_s
        self.reports: dict[str, float] = {}
        self.malformed_reports = 0
        self.list_requests = 0
        self.members: dict[str, tuple[str, float]] = {}  # address and time of announcement, by member name
        self.history: list[tuple[float, tuple[str, ...]]] = []  # changes of the listed names, oldest first

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
        """Sends the member addresses in parts that each fit one datagram."""
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
        """The listed names as callers see them, `delay_s` seconds old."""
        now = self.reactor.seconds()
        current_names = self.current_names()
        if not self.history or self.history[-1][1] != current_names:
            self.history.append((now, current_names))
        while len(self.history) > 1 and self.history[1][0] <= now - self.delay_s:
            del self.history[0]
        return self.history[0][1]
