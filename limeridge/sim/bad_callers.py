"""The faults of bad callers whose requests are whole: copied keys, and requests that cross an end.

It owns what such a fault must know of an instance (keys that it read lately, who rests on its connections)
and the moment at which each request is sent. It must never judge: what the requests come to is read off the
wires.
"""

from __future__ import annotations

import base64
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from limeridge.net.service import CLOSE_STREAMS_BEFORE_KILL_S
from limeridge.sim.plan import MS, PROTOCOL_KINDS, Product, instance_ip
from limeridge.sim.timeline import SECOND
from limeridge.sim.wires import Asked, Farewell, LineClosing, Passed, SenderEnded
from limeridge.standins.bad_callers import BadCaller, ConnectOnce, KeyCopier, LateSender, SendTime
from limeridge.standins.callers import TxnSpec

if TYPE_CHECKING:
    from limeridge.sim.world import Machine, World

KEYED_KEPT = 12  # requests of an instance whose keys a bad caller may copy
COPY_WITHIN = 60 * MS  # that one fault's copies are spread over
CONNECT_WITHIN = 40 * MS  # that one fault's late senders connect within
CONNECT_TIMEOUT = 1.0  # seconds
SILENT_SHARE = 0.2  # of late senders that say nothing before


@dataclass(slots=True)
class Known:
    """What bad callers know of one life of an instance."""

    keyed: deque[Asked] = field(default_factory=lambda: deque(maxlen=KEYED_KEPT))
    late_senders: dict[int, LateSender] = field(default_factory=dict)  # by the serial of the instance's end


class BadCallers:
    """Of all machines of a world, from one stream of chance."""

    def __init__(self, world: World, chance: random.Random) -> None:
        self.world, self.chance = world, chance
        self.known: dict[str, Known] = {}  # by the machine's name

    def born(self, machine: Machine) -> None:
        """A life begins: what was known of the one before is over."""
        self.known[machine.name] = Known()

    def seen(self, machine: Machine, event: Passed) -> None:
        """Hears of each event at an instance's wires, in the very turn of the instance."""
        known = self.known[machine.name]
        if isinstance(event, Asked) and event.key:
            known.keyed.append(event)
        elif isinstance(event, Farewell | LineClosing) and event.line in known.late_senders:
            self._cross(known.late_senders[event.line], event)

    def connect(self, machine: Machine, caller: BadCaller) -> None:
        address = instance_ip(machine.number)
        self.world.rude_reactor.connectTCP(address, 8443, ConnectOnce(caller), timeout=CONNECT_TIMEOUT)

    def is_over(self, machine: Machine, life: int) -> bool:
        return self.world.quiet or machine.lives != life

    # ---- copied keys

    def copy_keys(self, machine: Machine, count: int) -> bool:
        """False where the instance has read no key yet."""
        if not self.known[machine.name].keyed:
            return False
        for _ in range(count):
            wait = self.chance.randrange(COPY_WITHIN) / SECOND
            self.world.rude_reactor.callLater(wait, self._copy_key, machine, machine.lives)
        return True

    def _copy_key(self, machine: Machine, life: int) -> None:
        """Sends one key that the instance has read lately with another request, then its owner's repeat."""
        if self.is_over(machine, life):
            return
        asked = self.chance.choice(self.known[machine.name].keyed)
        owned = self._want(self._product(asked.product), base64.b64decode(asked.doc))
        owned = replace(owned, customer=asked.customer, key=asked.key, size_kb=asked.size_kb)
        world = self.world
        copier = KeyCopier(
            owned, self._copied(owned), world.rude_reactor, self.chance, machine.unix, world.ended
        )
        self.connect(machine, copier)

    def _copied(self, owned: TxnSpec) -> TxnSpec:
        """The same with another body, another tenant, or both."""
        tenants = [f"c{n}" for n in range(self.world.plan.customers) if f"c{n}" != owned.customer]
        changes = self.chance.choice(("body", "tenant", "both")) if tenants else "body"
        doc = owned.doc if changes == "tenant" else owned.doc + b" copied=1"
        return replace(
            owned, doc=doc, customer=owned.customer if changes == "body" else self.chance.choice(tenants)
        )

    def _product(self, name: str) -> Product:
        return next(product for product in self.world.plan.products if product.name == name)

    def _want(self, product: Product, doc: bytes) -> TxnSpec:
        expiry = product.expiry // MS
        return TxnSpec(-1, product.name, PROTOCOL_KINDS[product.kind], "", "", 2.0, expiry, expiry, doc)

    # ---- requests that cross an end

    def rest(self, machine: Machine, count: int) -> None:
        """So many callers connect, rest, and send as their connection is ended."""
        for _ in range(count):
            wait = self.chance.randrange(CONNECT_WITHIN) / SECOND
            self.world.rude_reactor.callLater(wait, self._rest_until_closed, machine, machine.lives)

    def _rest_until_closed(self, machine: Machine, life: int) -> None:
        if self.is_over(machine, life):
            return
        world = self.world

        def stands(sender: LateSender) -> None:
            line = sender.transport.other
            if machine.lives == life and line.reactor is machine.reactor:
                self.known[machine.name].late_senders[line.serial] = sender

        def ended(sender: LateSender, reset: bool) -> None:
            if machine.lives == life and machine.instance is not None:
                line = sender.transport.other.serial
                warned, answered = sender.late_after_farewell, sender.late_answered
                machine.see(SenderEnded(line, sender.late_ref, sender.silent, warned, answered, reset))

        want = self._want(world.plan.products[0], b"work=2000 calls=0 op=0 n=-1")
        moment, silent = self.chance.choice(tuple(SendTime)), self.chance.random() < SILENT_SHARE
        usual = (world.rude_reactor, self.chance, machine.unix, world.ended)
        self.connect(machine, LateSender(want, moment, silent, stands, ended, *usual))

    def leaving(self, machine: Machine) -> None:
        """The instance got its notice to leave: some aim at the moment at which it ends all connections."""
        plan, timeline = self.world.plan, self.world.timeline
        senders = [
            sender
            for sender in self.known[machine.name].late_senders.values()
            if sender.send_time is SendTime.BEFORE_SHUTDOWN
        ]
        if senders:
            parts_after = max(plan.stop - int(CLOSE_STREAMS_BEFORE_KILL_S * SECOND), plan.stop // 2)
            timeline.at(timeline.now + parts_after, None, "parting", self._send_unread, senders)

    def _cross(self, sender: LateSender, event: Farewell | LineClosing) -> None:
        """The instance says farewell or ends a late sender's connection: what is sent now crosses that."""
        in_the_air = SendTime.CROSSING_FAREWELL if isinstance(event, Farewell) else SendTime.CROSSING_CLOSE
        if sender.send_time is in_the_air:
            self.world.rude_reactor.callLater(0, sender.send_late)
        elif sender.send_time is SendTime.BEFORE_CLOSE and isinstance(event, LineClosing):
            self._send_unread([sender])

    def _send_unread(self, senders: list[LateSender]) -> None:
        """What they send is in the instance's buffer at once, unread."""
        for sender in senders:
            socket = sender.transport
            sender.send_late(lambda data, to=socket: to.send_ahead(data) or to.write(data))  # type: ignore[misc]
