"""Client of the node list: reports are single UDP datagrams without a reply.

It owns the format of a report. It must never block: if the node list is down, the datagram is lost.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

REPORT_INTERVAL_S = 0.3  # the list removes an instance after 3 s without reports, and datagrams get lost


class NodeList(DatagramProtocol):
    noisy = False

    def __init__(self, name: str, host: str, port: int) -> None:
        self.name, self.host, self.port = name, host, port

    def set_address(self, host: str, port: int) -> None:
        """Sends later reports to a new address."""
        self.host, self.port = host, port

    def report(self, ready: bool) -> None:
        transport: Any = self.transport
        if transport is not None:
            try:
                transport.write(
                    f"HERE {self.name} {'on' if ready else 'off'}".encode(), (self.host, self.port)
                )
            except OSError:
                return

    def connectionRefused(self) -> None:
        return
