"""Keyed requests are tried again while bad clients send hundreds of requests at once.

One service instance with the settings of deploy/sample.json. Clients send keyed requests (`book`); one that
stops waiting, or is told that its try failed, tries again at the same instance with the same key.
"""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from bad_clients import Counts, again_and_again  # noqa: E402
from standins import (  # noqa: E402
    HOST,
    Instance,
    Kernel,
    Records,
    Roster,
    Sent,
    Stub,
    World,
    free_port,
    run_case,
    sample_config,
    trouble_on,
)

SECONDS = 46.0
KEYS_PER_S = 8.0
WORK_S = 0.4  # of a keyed request
WAIT_MS = 200  # of one try: "some wait briefly and try often"
PATIENCE_S = 3.0  # of the client, over all tries
SPELLS_AT, SPELL_S = tuple(range(2, 44, 2)), 0.8  # when the bad clients come, and for how long
BAD_CLIENTS, CONNECTIONS_EACH = 8, 12  # 384 requests at once from each bad client
KEY_WINDOW_S = 5.0  # keyTtl of deploy/sample.json


@dataclass
class Server:
    """A service instance with its kernel, and the connections to it."""

    world: World
    instance: Instance
    kernel: Kernel
    port: int
    stubs: list[Stub] = field(default_factory=list)

    async def stub(self) -> Stub | None:
        for each in self.stubs:
            if each.usable and len(each.open) < 32:
                return each
        stub = Stub(self.world, self.kernel, self.port, len(self.stubs) + 1)
        try:
            await stub.connect()
        except OSError:
            return None
        self.stubs.append(stub)
        return stub


async def start_server(world: World, folder: Path, name: str, records: Records) -> Server:
    kernel = Kernel(world, 4, lambda sent: ([(WORK_S if sent.entry == "book" else 0.1, None)], "ok"))
    await kernel.listen()
    roster, _ = await asyncio.get_running_loop().create_datagram_endpoint(Roster, local_addr=(HOST, 0))
    port = free_port()
    config = sample_config(name, port, kernel.port, records.port, roster.get_extra_info("sockname")[1])
    config["limits"] |= {"memory_mb": 96, "sockets": 512}
    server = Server(world, Instance(world, folder, name, config), kernel, port)
    server.instance.start()
    return server


class Client:
    """A client with one keyed request."""

    def __init__(self, world: World, server: Server, key: str) -> None:
        self.world, self.server, self.key = world, server, key
        self.tries: list[Sent] = []

    async def live(self) -> None:
        end = time.time() + PATIENCE_S
        while time.time() < end:
            sent = await self.ask()
            if sent is None or sent.kind in ("served", "refused"):
                return
            await asyncio.sleep(0.02)

    async def ask(self) -> Sent | None:
        stub = await self.server.stub()
        if stub is None:
            return None
        sent = stub.ask(
            "book",
            WAIT_MS,
            key=self.key,
            doc=self.key.encode(),
            note=f"{self.key}, try {len(self.tries) + 1}",
            **({"r": 1} if self.tries else {}),
        )
        self.tries.append(sent)
        give_up = time.time() + WAIT_MS / 1_000
        while time.time() < give_up and sent.answered_at is None and stub.ended_at is None:
            await asyncio.sleep(0.005)
        if sent.answered_at is None and stub.ended_at is None:
            stub.revoke(sent)
        return sent


async def main(world: World, folder: Path) -> int:
    records = Records(world)
    await records.listen()
    server = await start_server(world, folder, "n1", records)
    try:
        if not await server.instance.ready(server.port):
            world.say("the instance did not get ready")
            return 2
        clients: list[Client] = []
        tasks: list[asyncio.Task[None]] = []
        counts, begin = Counts(), time.time()
        spells = list(SPELLS_AT) if trouble_on() else []
        while (elapsed := time.time() - begin) < SECONDS:
            clients.append(Client(world, server, f"booking-{len(clients)}"))
            tasks.append(asyncio.create_task(clients[-1].live()))
            if spells and elapsed >= spells[0]:
                end = begin + spells.pop(0) + SPELL_S
                world.note(f"{BAD_CLIENTS} bad clients send {32 * CONNECTIONS_EACH} requests at once each")
                tasks += [
                    asyncio.create_task(again_and_again(server.port, "look", end, counts))
                    for _ in range(BAD_CLIENTS * CONNECTIONS_EACH)
                ]
            await asyncio.sleep(1 / KEYS_PER_S)
        await asyncio.wait(tasks, timeout=8.0)
        if server.instance.process.poll() is not None:
            world.say("the instance ended by itself")
        return judge(world, clients, counts)
    finally:
        server.instance.end()


def judge(world: World, clients: list[Client], counts: Counts) -> int:
    """Rule 2: once a try of a keyed request has run, no later try within its window is refused."""
    broken = repeats = 0
    for client in clients:
        for place, sent in enumerate(client.tries):
            earlier = [
                each
                for each in client.tries[:place]
                if each.runs
                and each.run_at < sent.sent_at
                and sent.sent_at - each.sent_at < KEY_WINDOW_S - 0.5
            ]
            repeats += bool(earlier)
            if earlier and sent.kind == "refused":
                broken += 1
                world.say(
                    f"BROKEN: {client.key}: {sent.ref} was refused {sent.sent_at - earlier[0].sent_at:.2f} s "
                    f"after {earlier[0].ref}, which was run"
                )
    kinds = {
        kind: sum(sent.kind == kind for client in clients for sent in client.tries)
        for kind in ("served", "refused", "failed")
    }
    world.say(f"{len(clients)} keys, {repeats} repeats of a request that had run; answers: {kinds}")
    world.say(f"bad clients: {counts}")
    world.say(f"refused though an earlier try had run: {broken}")
    if repeats < 20:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main, FOLDER)
