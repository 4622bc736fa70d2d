"""Bad callers with well-formed requests: copied idempotency keys, and requests sent as a connection closes.

This module tracks what these faults need to know of an instance (keys that it read recently, idle callers on
its connections) and decides when each request is sent. It checks nothing: the oracles judge the outcome by
the traffic.
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
from limeridge.sim.wires import FarewellSent, LateSenderClosed, LineClosing, TxnReceived, WireEvent
from limeridge.standins.bad_callers import BadCaller, ConnectOnce, KeyCopier, LateSender, SendTime
from limeridge.standins.callers import TxnSpec

if TYPE_CHECKING:
    from limeridge.sim.world import Machine, World

MAX_COPYABLE_REQUESTS = 12  # most recent keyed requests of an instance whose keys may be copied
COPY_SPREAD = 60 * MS  # interval over which one fault's copies are spread
CONNECT_SPREAD = 40 * MS  # interval over which one fault's late senders connect
CONNECT_TIMEOUT_S = 1.0
SILENT_SHARE = 0.2  # share of late senders that send nothing before


@dataclass(slots=True)
class ObservedState:
    """What is known of one process lifetime of an instance."""

    keyed: deque[TxnReceived] = field(default_factory=lambda: deque(maxlen=MAX_COPYABLE_REQUESTS))
    late_senders: dict[int, LateSender] = field(
        default_factory=dict
    )  # by the connection serial on the instance's side


class BadCallers:
    """The bad callers of all machines of a world; they draw from one random stream."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world, self.rng = world, rng
        self.observed: dict[str, ObservedState] = {}  # by the machine's name

    def on_instance_start(self, machine: Machine) -> None:
        """Discards what was known of the previous process."""
        self.observed[machine.name] = ObservedState()

    def on_event(self, machine: Machine, event: WireEvent) -> None:
        """Handles an event on an instance's connections, in the same turn of its event loop."""
        observed = self.observed[machine.name]
        if isinstance(event, TxnReceived) and event.key:
            observed.keyed.append(event)
        elif isinstance(event, FarewellSent | LineClosing) and event.line in observed.late_senders:
            self._send_at_close(observed.late_senders[event.line], event)

    def connect(self, machine: Machine, caller: BadCaller) -> None:
        address = instance_ip(machine.number)
        self.world.rude_reactor.connectTCP(address, 8443, ConnectOnce(caller), timeout=CONNECT_TIMEOUT_S)

    def is_over(self, machine: Machine, lifetime: int) -> bool:
        return self.world.quiet or machine.start_count != lifetime

    # ---- copied keys

    def copy_keys(self, machine: Machine, count: int) -> bool:
        """Schedules the copies; returns False if the instance has read no key yet."""
        if not self.observed[machine.name].keyed:
            return False
        for _ in range(count):
            wait = self.rng.randrange(COPY_SPREAD) / SECOND
            self.world.rude_reactor.callLater(wait, self._copy_key, machine, machine.start_count)
        return True

    def _copy_key(self, machine: Machine, lifetime: int) -> None:
        """Sends a different request with a key that the instance read recently, then repeats the original."""
        if self.is_over(machine, lifetime):
            return
        request = self.rng.choice(self.observed[machine.name].keyed)
        original = self._make_want(self._find_product(request.product), base64.b64decode(request.doc))
        original = replace(original, customer=request.customer, key=request.key, size_kb=request.size_kb)
        world = self.world
        copier = KeyCopier(
            original,
            self._vary_request(original),
            world.rude_reactor,
            self.rng,
            machine.unix_time,
            world.on_txn_ended,
        )
        self.connect(machine, copier)

    def _vary_request(self, original: TxnSpec) -> TxnSpec:
        """The same request with another body, another tenant, or both."""
        tenants = [f"c{n}" for n in range(self.world.plan.customers) if f"c{n}" != original.customer]
        changes = self.rng.choice(("body", "tenant", "both")) if tenants else "body"
        doc = original.doc if changes == "tenant" else original.doc + b" copied=1"
        return replace(
            original, doc=doc, customer=original.customer if changes == "body" else self.rng.choice(tenants)
        )

    def _find_product(self, name: str) -> Product:
        return next(product for product in self.world.plan.products if product.name == name)

    def _make_want(self, product: Product, doc: bytes) -> TxnSpec:
        expiry = product.expiry // MS
        return TxnSpec(-1, product.name, PROTOCOL_KINDS[product.kind], "", "", 2.0, expiry, expiry, doc)

    # ---- requests sent as the connection closes

    def connect_idle_callers(self, machine: Machine, count: int) -> None:
        """Connects `count` callers that stay idle and send a request as their connection is closed."""
        for _ in range(count):
            wait = self.rng.randrange(CONNECT_SPREAD) / SECOND
            self.world.rude_reactor.callLater(wait, self._connect_late_sender, machine, machine.start_count)

    def _connect_late_sender(self, machine: Machine, lifetime: int) -> None:
        if self.is_over(machine, lifetime):
            return
        world = self.world

        def on_connected(sender: LateSender) -> None:
            line = sender.transport.other
            if machine.start_count == lifetime and line.reactor is machine.reactor:
                self.observed[machine.name].late_senders[line.serial] = sender

        def on_closed(sender: LateSender, reset: bool) -> None:
            if machine.start_count == lifetime and machine.instance is not None:
                line = sender.transport.other.serial
                warned, answered = sender.late_after_farewell, sender.late_answered
                machine.on_wire_event(
                    LateSenderClosed(line, sender.late_ref, sender.silent, warned, answered, reset)
                )

        want = self._make_want(world.plan.products[0], b"work=2000 calls=0 op=0 n=-1")
        moment, silent = self.rng.choice(tuple(SendTime)), self.rng.random() < SILENT_SHARE
        common_arguments = (world.rude_reactor, self.rng, machine.unix_time, world.on_txn_ended)
        self.connect(machine, LateSender(want, moment, silent, on_connected, on_closed, *common_arguments))

    def on_drain_notice(self, machine: Machine) -> None:
        """Schedules the requests that are to arrive just as a draining instance closes all connections."""
        plan, timeline = self.world.plan, self.world.timeline
        senders = [
            sender
            for sender in self.observed[machine.name].late_senders.values()
            if sender.send_time is SendTime.BEFORE_SHUTDOWN
        ]
        if senders:
            close_delay = max(plan.stop - int(CLOSE_STREAMS_BEFORE_KILL_S * SECOND), plan.stop // 2)
            timeline.schedule(timeline.now + close_delay, None, "parting", self._send_unread, senders)

    def _send_at_close(self, sender: LateSender, event: FarewellSent | LineClosing) -> None:
        """Sends the late request when the instance sends a farewell to its caller or closes the line."""
        awaited_moment = (
            SendTime.CROSSING_FAREWELL if isinstance(event, FarewellSent) else SendTime.CROSSING_CLOSE
        )
        if sender.send_time is awaited_moment:
            self.world.rude_reactor.callLater(0, sender.send_late)
        elif sender.send_time is SendTime.BEFORE_CLOSE and isinstance(event, LineClosing):
            self._send_unread([sender])

    def _send_unread(self, senders: list[LateSender]) -> None:
        """Sends the late requests straight into the instance's receive buffer, unread."""
        for sender in senders:
            socket = sender.transport
            sender.send_late(lambda data, to=socket: to.send_ahead(data) or to.write(data))  # type: ignore[misc]
