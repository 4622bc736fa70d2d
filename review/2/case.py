"""Bad clients send keyed requests, each with a key of its own, while a client stub asks as usual.

One service instance with the settings of deploy/sample.json. The platform's stand-in looks at the memory of
the process many times a second and kills it when it is over `limits.memory_mb`.
"""

from __future__ import annotations

import asyncio
import sys
import time
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

MEMORY_MB, SOCKETS = 96, 512
BAD_FROM_S, BAD_UNTIL_S, SECONDS = 3.0, 38.0, 42.0
BAD_CLIENTS, CONNECTIONS_EACH = 4, 10  # 320 requests at once from each bad client
ASKED_PER_S = 10.0


async def main(world: World, folder: Path) -> int:
    records = Records(world)
    kernel = Kernel(world, 4, lambda sent: ([(0.15, None)], "ok"))
    await records.listen()
    await kernel.listen()
    roster, _ = await asyncio.get_running_loop().create_datagram_endpoint(Roster, local_addr=(HOST, 0))
    port = free_port()
    config = sample_config("n1", port, kernel.port, records.port, roster.get_extra_info("sockname")[1])
    config["limits"] |= {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
    instance = Instance(world, folder, "n1", config)
    instance.start()
    try:
        if not await instance.ready(port):
            world.say("the instance did not get ready")
            return 2
        return await play(world, kernel, instance, port)
    finally:
        instance.end()


async def play(world: World, kernel: Kernel, instance: Instance, port: int) -> int:
    counts, stubs, asked, tasks = Counts(), list[Stub](), list[Sent](), list[asyncio.Task[None]]()
    begin, next_ask, next_note, highest, killed_at = time.time(), 0.0, 0.0, 0.0, 0.0
    trouble = trouble_on()
    while (elapsed := time.time() - begin) < SECONDS:
        memory = instance.rss_mb()
        highest = max(highest, memory)
        if elapsed >= next_note:
            next_note = elapsed + 1.0
            world.note(f"memory {memory:.1f} MB; bad clients: {counts}")
        if instance.process.poll() is not None:
            world.say(f"the instance ended by itself with {instance.process.returncode}")
            killed_at = elapsed
            break
        if memory > MEMORY_MB:
            world.say(
                f"BROKEN: {memory:.1f} MB of {MEMORY_MB} MB after {elapsed:.1f} s: killed by the platform"
            )
            instance.end()
            killed_at = elapsed
            break
        if trouble and elapsed >= BAD_FROM_S:
            trouble = False
            world.say(f"{BAD_CLIENTS} bad clients send {32 * CONNECTIONS_EACH} keyed requests at once each")
            tasks += [
                asyncio.create_task(again_and_again(port, "book", begin + BAD_UNTIL_S, counts, key=None))
                for _ in range(BAD_CLIENTS * CONNECTIONS_EACH)
            ]
        if elapsed >= next_ask:
            next_ask += 1 / ASKED_PER_S
            if not stubs or not stubs[-1].usable:
                stubs.append(Stub(world, kernel, port, len(stubs) + 1))
                try:
                    await stubs[-1].connect()
                except OSError:
                    continue
            asked.append(stubs[-1].ask("look", 3_000, note="look"))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)
    for task in tasks:
        task.cancel()
    kinds = {kind: sum(sent.kind == kind for sent in asked) for kind in ("served", "refused", "failed", "")}
    world.say(f"client stub: {len(asked)} asked, answers {kinds} ('' is none)")
    world.say(f"bad clients: {counts}")
    world.say(f"highest memory {highest:.1f} MB of {MEMORY_MB} MB")
    if len(asked) < 20:
        return 2
    return 1 if killed_at else 0


if __name__ == "__main__":
    run_case(main, FOLDER)
