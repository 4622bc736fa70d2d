"""Reports to the node list: one UDP datagram each, with no answer.

It owns the form of a report. It must never wait for anything or hold the process up: a list that is absent is
a datagram lost.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

REPORT_INTERVAL_S = 0.3  # seconds between reports; the list drops who was silent for 3, and reports get lost


class NodeList(DatagramProtocol):
    noisy = False

    def __init__(self, name: str, host: str, port: int) -> None:
        self.name, self.host, self.port = name, host, port

    def set_address(self, host: str, port: int) -> None:
        """New configuration: reports go there from now on."""
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
