"""Clients that connect by hundreds and say nothing: a process of its own, started by a case.

    silent_clients.py PORT CLIENTS EVERY_S STAY_S SECONDS

Each EVERY_S seconds it opens CLIENTS connections to the port on loopback and writes nothing on them. Each is
cut STAY_S seconds later, or when the other side ends it. They are reset, so that no local port stays taken.
"""

from __future__ import annotations

import selectors
import socket
import struct
import sys
import time
from collections import deque


def main(port: int, clients: int, every_s: float, stay_s: float, seconds: float) -> None:
    chosen = selectors.DefaultSelector()
    waiting: deque[tuple[float, socket.socket]] = deque()
    started = due = time.monotonic()
    opened = 0

    def end(client: socket.socket) -> None:
        if client.fileno() >= 0:
            chosen.unregister(client)
            client.close()

    while (now := time.monotonic()) < started + seconds:
        if now >= due:
            due += every_s
            for _ in range(clients):
                client = socket.socket()
                client.setblocking(False)
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                client.connect_ex(("127.0.0.1", port))
                chosen.register(client, selectors.EVENT_READ)
                waiting.append((now + stay_s, client))
                opened += 1
        while waiting and waiting[0][0] <= now:
            end(waiting.popleft()[1])
        for key, _ in chosen.select(0.005):
            client = key.fileobj  # type: ignore[assignment]
            try:
                if not client.recv(65_536):
                    end(client)
            except BlockingIOError:
                continue
            except OSError:
                end(client)
    for _, client in waiting:
        end(client)
    print(f"{opened} silent connections")


if __name__ == "__main__":
    port_text, clients_text, *spans = sys.argv[1:]
    main(int(port_text), int(clients_text), *map(float, spans))
