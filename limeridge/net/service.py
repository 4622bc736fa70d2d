"""One service instance: connects callers, kernel, ledger and node list to the facade, from start to exit.

Owns the handler of each txn, the timers, the division of memory and descriptors, and the drain at SIGTERM. It
takes no decision on a txn, and an exception in the handling of one txn must not reach another one or end the
process.
"""

from __future__ import annotations

import errno
import gc
import resource
import signal
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from typing import Any, Protocol

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall
from twisted.logger import globalLogBeginner
from twisted.python.failure import Failure

from limeridge import __version__
from limeridge.config import ConfigError, Setup
from limeridge.configuration.application import FIXED_FOR_MEMBERS, plan_revision
from limeridge.configuration.reading import Steps, run_turn
from limeridge.facade import (
    Answer,
    AnswerKind,
    CallEnded,
    EndStatus,
    Facade,
    NextAction,
    Request,
    RunBlocked,
    RunEnded,
    RunEvent,
    Step,
)
from limeridge.net.callers import SWEEP_INTERVAL_S, Callers, Decoder, close_listener
from limeridge.net.kernel import Kernel
from limeridge.net.ledger import Call, Gate, Ledger
from limeridge.net.log import Log
from limeridge.net.nodelist import REPORT_INTERVAL_S, NodeList

GAUGE_TIMEOUT_S = 0.02  # answers close to their due time can't wait longer for a tick's gauges
OVERDUE_CHECK_INTERVAL_S = 0.05  # between two checks for txns past their due time
DEEP_CHECK_TIMEOUT_S = 0.5
LISTEN_BACKLOG = 512
# The retries are bounded only for errors other than an address in use.
LISTEN_RETRY_S, MAX_LISTEN_RETRIES = 0.05, 100
LISTEN_FAILURES_PER_LOG_LINE = 20  # while another process holds the address
# Descriptors that are for neither callers nor calls: standard streams, event loop, port, links, reports.
PROCESS_DESCRIPTORS = 12
CLOSE_STREAMS_BEFORE_KILL_S = 0.15  # when the remaining connections are closed in order
EXIT_BEFORE_KILL_S = 0.08  # when the process exits, whatever is still open
QUIET_PERIOD_S = 0.15  # a drained instance exits after this time without connections and open txns
RELOAD_RETRY_S, MAX_RELOAD_RETRIES = 0.5, 6  # for a configuration that is invalid or incomplete
GC_THRESHOLD = 10_000
ACCEPTING_SHARE_OF_GRACE = 0.9  # of the grace period, while a draining instance accepts connections
DRAIN_CHECK_INTERVAL_S = 0.05
FINAL_DRAIN_CHECK_INTERVAL_S = 0.01  # once all streams are closed

# Reads the configuration again, given the setup in force and the time in microseconds.
ReadSetup = Callable[[Setup, int], Steps[Setup]]


class Peers(Protocol):
    """The optional membership component, which may limit the calls to the ledger."""

    gate: Gate

    def start(self) -> None: ...
    def share(self) -> int | None: ...
    def leave(self) -> None: ...
    def stop(self) -> None: ...


class Job:
    """An open txn, with the queue of events for its handler."""

    __slots__ = ("blocked", "call", "events", "may_skip_calls", "request", "waiting_handler")

    def __init__(self, request: Request, may_skip_calls: bool) -> None:
        self.request = request
        self.may_skip_calls = may_skip_calls  # under the configuration revision at its arrival
        self.events: list[RunEvent] = []  # seldom more than one: a deque would take ten times the memory
        self.waiting_handler: Deferred[RunEvent] | None = None
        self.call: Call | None = None
        self.blocked: RunBlocked | None = None

    def next_event(self) -> Deferred[RunEvent]:
        """The next event; only to be called while the queue is empty."""
        self.waiting_handler = Deferred()
        return self.waiting_handler

    def deliver(self, news: RunEvent) -> bool:
        """Passes the event to the handler; False if it is queued because the handler waits for something
        else."""
        waiting_handler, self.waiting_handler = self.waiting_handler, None
        if waiting_handler is None:
            self.events.append(news)
            return False
        waiting_handler.callback(news)
        return True


class Instance:
    """One service instance."""

    def __init__(
        self,
        setup: Setup,
        reactor: Any,
        log: Log,
        read_setup: ReadSetup,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.setup, self.reactor, self.log, self.read_setup = setup, reactor, log, read_setup
        self.pending_load: Steps[Setup] | None = None  # a new configuration being read
        self.load_timer: Any = None  # of its next step, or of a retry
        self.draining, self.stopped_accepting = False, False
        self.signalled_at: float | None = None  # the first SIGTERM or SIGINT
        self.kill_at = 0.0
        self.streams_closed = False  # all of them, and no new ones can be opened
        self.quiet_since: float | None = None
        self.ended = False
        self.jobs: dict[str, Job] = {}
        self.waiting_checks: list[Callable[[bool], None]] = []  # deep ones, for the probe that runs
        memory_bytes = int(setup.memory_mb * (1 << 20))
        self.facade = Facade(
            setup.plain,
            setup.seed,
            reactor,
            log,
            self.run_tick,
            memory_bytes // 8,
            setup.tenants.quota,
        )
        # Descriptors: more than half for callers, and a reserve that keeps room for the link to the kernel.
        reserved = max(16, min(48, setup.sockets // 4))
        max_ledger_calls = min(128, setup.sockets // 8)
        self.callers = Callers(
            self,
            Decoder(setup.products, setup.tenants),
            reactor,
            log,
            max_connections=setup.sockets - max_ledger_calls - reserved,
            max_aborts_per_iteration=max(1, reserved - PROCESS_DESCRIPTORS),
            max_held_bytes=memory_bytes // 8,
            max_unread_bytes=memory_bytes // 8,
            max_unhandled_bytes=memory_bytes // 8,
            unix=unix,
        )
        self.kernel = Kernel(self, reactor, setup.kernel.host, setup.kernel.port, log)
        self.ledger = Ledger(reactor, setup.ledger.host, setup.ledger.port, log, max_ledger_calls)
        self.node_list = NodeList(setup.name, setup.node_list.host, setup.node_list.port)
        self.skippable_calls = calls_skippable_by_product(setup)
        self.listening_port: Any = None
        self.exit_code = 0
        self.run_succeeded = False
        self.loops: list[LoopingCall] = []
        self.peers: Peers | None = None

    def attach_peers(self, peers: Peers) -> None:
        """Adds the membership component; only before the start."""
        self.peers = peers
        share = peers.share()
        if share is not None:
            self.ledger.gate = peers.gate
            self.facade.set_call_limit(share)

    def start(self) -> None:
        setup = self.setup
        self.log.event(
            "start",
            version=__version__,
            listen=f"{setup.listen.host}:{setup.listen.port}",
            kernel=f"{setup.kernel.host}:{setup.kernel.port}",
            ledger=f"{setup.ledger.host}:{setup.ledger.port}",
            node_list=f"{setup.node_list.host}:{setup.node_list.port}",
            stop_ms=setup.stop / 1_000,
            cores=setup.cores,
            memory_mb=setup.memory_mb,
            sockets=setup.sockets,
            settings=dict(setup.plain),
            tenants=len(setup.tenants),
        )
        self.run_guarded(lambda: self.listen(MAX_LISTEN_RETRIES))
        self.open_report_socket()
        self.run_guarded(self.kernel.connect)
        if self.peers is not None:
            self.run_guarded(self.peers.start)
        for call, interval_s in (
            (self.callers.sweep, SWEEP_INTERVAL_S),
            (self.report, REPORT_INTERVAL_S),
            (self.check_overdue, OVERDUE_CHECK_INTERVAL_S),
        ):
            self.call_every(call, interval_s)

    def call_every(self, call: Callable[[], None], interval_s: float) -> None:
        loop = LoopingCall(self.run_guarded, call)
        loop.clock = self.reactor
        loop.start(interval_s, now=False)
        self.loops.append(loop)

    def listen(self, retries_left: int, failures: int = 0) -> None:
        """Opens the listening socket. While another process holds the address, which may be a predecessor
        that is still draining, this is retried without limit; for other errors the number of retries is
        bounded."""
        listen = self.setup.listen
        if self.draining:
            return
        try:
            self.listening_port = self.reactor.listenTCP(
                listen.port, self.callers, LISTEN_BACKLOG, listen.host
            )
        except CannotListenError as error:
            in_use = getattr(error.socketError, "errno", None) == errno.EADDRINUSE
            if failures % LISTEN_FAILURES_PER_LOG_LINE == 0 or not in_use:
                self.log.event(
                    "listen",
                    "taken" if in_use else "unusable",
                    why=str(error),
                    **({} if in_use else {"tries_left": retries_left}),
                )
            if in_use or retries_left:
                self.reactor.callLater(
                    LISTEN_RETRY_S,
                    self.run_guarded,
                    partial(self.listen, retries_left - (not in_use), failures + 1),
                )
            else:
                self.exit_code = 1
                self.stop()

    def open_report_socket(self) -> None:
        """Opens the UDP socket for reports to the node list. Each report retries this, so that a temporary
        lack of descriptors or ports at the start does not keep the instance off the node list for good."""
        try:
            self.reactor.listenUDP(
                0, self.node_list, interface="::" if ":" in self.setup.node_list.host else ""
            )
        except (OSError, CannotListenError) as error:
            self.log.event("reports", "no-socket", why=str(error)[:200])

    def log_reactor_failure(self, event: Mapping[str, Any]) -> None:
        """Logs an exception that was caught only by the reactor."""
        failure = event.get("log_failure")
        if failure is not None:
            self.log.fault("service-fault", failure.value, code="reactor")

    def run_guarded(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as error:
            self.log.fault("service-fault", error)

    def log_failure(self, failure: Failure, event: str) -> None:
        self.log.fault(event, failure.value)

    # ---- txns

    def serve(self, request: Request) -> None:
        if request.ref in self.jobs:
            self.log.event("bad-message", "ref in use")
            request.answer(Answer(AnswerKind.VOIDED, why="ref in use"))
            self.callers.release(request)
            return
        job = self.jobs[request.ref] = Job(request, self.skippable_calls[request.product])
        ensureDeferred(self.handle(job)).addErrback(self.log_failure, "txn-fault")

    def rejection(self, request: Request, why: str) -> Answer:
        return self.facade.rejection(request, why)

    async def handle(self, job: Job) -> None:
        request, step = job.request, None
        try:
            while True:
                try:
                    step = await self.next_step(job, step)
                    if step.action is NextAction.DONE:
                        return
                    self.execute_step(job, step)
                except Exception as error:
                    self.log.fault("txn-fault", error, ref=request.ref)
                    step = self.facade.abort(request, "defect")
                    if step.action is NextAction.DONE:
                        return
        finally:
            if job.call is not None:
                job.call.abandon()
            self.jobs.pop(request.ref, None)
            self.kernel.discard(request.ref)
            self.callers.release(request)

    async def next_step(self, job: Job, step: Step | None) -> Step:
        if step is None:
            return await self.facade.submit(job.request)
        news = job.events.pop(0) if job.events else await job.next_event()
        if isinstance(news, CallEnded) and news.end is EndStatus.OK:
            self.forward_reply(job, news.body)
        elif isinstance(news, RunBlocked):
            job.blocked = news
        return await self.facade.report(job.request, news)

    def forward_reply(self, job: Job, body: bytes) -> None:
        if job.blocked is not None:
            self.kernel.reply(job.request.ref, body, job.blocked.cursor, job.may_skip_calls)

    def execute_step(self, job: Job, step: Step) -> None:
        request = job.request
        if step.action is NextAction.RUN:
            self.kernel.start(request.ref, request.product_name, request.doc)
        elif step.action is NextAction.CALL and job.blocked is not None:
            job.call = self.ledger.call(request.ref, step.time_out_us, job.blocked.body)
            job.call.done.addCallback(lambda called: self.deliver(job, called))
        elif step.action is NextAction.SKIP_CALL and job.blocked is not None:
            self.kernel.skip_call(request.ref, job.blocked.cursor)

    def deliver(self, job: Job, news: RunEvent) -> None:
        if not job.deliver(news):
            self.facade.interrupt(job.request)

    def withdraw(self, request: Request) -> None:
        self.facade.cancel_answer(request)

    # ---- events from the kernel

    def on_kernel_boot(self, cold: bool, ago: int) -> None:
        self.facade.handle_kernel_boot(cold, ago)

    def on_run_event(self, ref: str, news: RunEnded | RunBlocked) -> bool:
        job = self.jobs.get(ref)
        if isinstance(news, RunEnded) and news.end is EndStatus.OK:
            self.run_succeeded = True
        if job is not None:
            self.deliver(job, news)
        return job is not None

    # ---- information for callers

    def value(self) -> float | None:
        return self.facade.value

    def idle_limit(self) -> int:
        return self.facade.idle_limit

    def check(self, deep: bool, answer: Callable[[bool], None]) -> None:
        """Answers a health check from known state. A deep check runs a probe in the kernel, unless a run has
        succeeded since the previous deep check. Checks that come while a probe runs get its result, so that
        the work for the kernel does not grow with their number."""
        ready = self.facade.healthy and self.kernel.is_available and not self.draining
        if not deep or not ready or self.run_succeeded or not self.kernel.ready:
            self.run_succeeded = self.run_succeeded and not deep
            answer(ready)
        else:
            self.waiting_checks.append(answer)
            if len(self.waiting_checks) == 1:
                self.kernel.run_deep_check(DEEP_CHECK_TIMEOUT_S).addCallback(self.finish_deep_check)

    def finish_deep_check(self, succeeded: bool) -> None:
        waiting, self.waiting_checks = self.waiting_checks, []
        for answer in waiting:
            self.run_guarded(partial(answer, succeeded))

    # ---- timers

    def check_overdue(self) -> None:
        self.update_share()
        self.facade.guard()

    def update_share(self) -> None:
        """Gives the brain the current share of calls to plan with; the gate enforces it at each call."""
        share = None if self.peers is None else self.peers.share()
        if share is not None:
            self.facade.set_call_limit(share)

    def run_tick(self) -> None:
        self.update_share()
        self.kernel.read_gauges(GAUGE_TIMEOUT_S).addCallback(
            lambda figures: self.facade.tick(self.facade.now(), figures)
        ).addErrback(self.log_failure, "tick-fault")

    def report(self) -> None:
        if self.node_list.transport is None:
            self.open_report_socket()
        if self.kernel.is_available and not self.draining:  # without its kernel it can run nothing
            self.node_list.report(self.facade.healthy)

    # ---- configuration reload

    def reload(self, retries_left: int = MAX_RELOAD_RETRIES) -> None:
        """Reads the configuration at SIGHUP, also while draining. An invalid or incomplete file changes
        nothing."""
        self.cancel_load()
        self.pending_load = self.read_setup(self.setup, self.facade.now())
        self.continue_load(retries_left)

    def continue_load(self, retries_left: int) -> None:
        """Reads one part of the configuration; requests are served between two parts."""
        if self.pending_load is None:
            return
        try:
            new = run_turn(self.pending_load)
        except ConfigError as unusable:
            self.pending_load = None
            self.log.event("reload", "unusable", why=" ".join(str(unusable).split()), tries_left=retries_left)
            if retries_left:
                retry = partial(self.reload, retries_left - 1)
                self.load_timer = self.reactor.callLater(RELOAD_RETRY_S, self.run_guarded, retry)
            return
        if new is None:
            self.load_timer = self.reactor.callLater(
                0, self.run_guarded, partial(self.continue_load, retries_left)
            )
            return
        self.pending_load = None
        self.apply_setup(new)

    def cancel_load(self) -> None:
        """Drops a configuration that is being read, and any retry."""
        if self.load_timer is not None and self.load_timer.active():
            self.load_timer.cancel()
        if self.pending_load is not None:
            self.pending_load.close()
            self.pending_load = None

    def apply_setup(self, new: Setup) -> None:
        """Puts a new configuration in force. Open txns keep the revision under which they arrived. Settings
        on which open txns, runs and the brain's statistics depend stay as they are until a restart."""
        fixed = frozenset[str]() if self.peers is None else FIXED_FOR_MEMBERS
        revision = plan_revision(self.setup, new, fixed)
        setup = revision.setup
        self.facade.revise(setup.plain, setup.tenants.quota)
        self.setup, self.callers.decoder.tenants, self.skippable_calls = (
            setup,
            setup.tenants,
            calls_skippable_by_product(setup),
        )
        self.log.event("reload", "taken", moved=[*revision.moved], needs_restart=[*revision.needs_restart])
        clients: dict[str, Any] = {"kernel": self.kernel, "ledger": self.ledger, "node_list": self.node_list}
        for name in revision.moved:
            client, address = clients[name], getattr(setup, name)
            self.run_guarded(partial(client.set_address, address.host, address.port))
        self.run_guarded(self.report)

    # ---- drain

    def record_signal(self, number: int) -> None:
        """Notes the time of SIGTERM or SIGINT; called in the signal handler itself. The time until SIGKILL
        counts from the signal, and a long iteration of the event loop may delay the start of the drain."""
        if number in (signal.SIGTERM, signal.SIGINT) and self.signalled_at is None:
            self.signalled_at = self.reactor.seconds()

    def start_drain(self) -> None:
        if self.draining:
            self.log.event("drain", "again")
            return
        self.draining = True
        now = self.reactor.seconds()
        signalled_at = now if self.signalled_at is None else self.signalled_at
        stop_s = self.setup.stop / 1_000_000
        self.kill_at = signalled_at + stop_s
        self.log.event("drain", "begun", owed=self.facade.owed(), connections=len(self.callers.connections))
        self.run_guarded(lambda: self.node_list.report(False))
        if self.peers is not None:
            self.run_guarded(self.peers.leave)
        self.run_guarded(lambda: self.facade.leave(self.setup.stop, int((now - signalled_at) * 1_000_000)))
        # Callers may learn of the drain late, and a successor may be cold or not listed yet. Requests within
        # the grace period may still run, so connections are accepted for most of it.
        grace_us: Any = self.setup.plain.get("rules.drain_grace", 0)
        self.call_at(
            signalled_at + min(ACCEPTING_SHARE_OF_GRACE * grace_us / 1_000_000, stop_s / 2),
            self.stop_accepting,
        )
        # All txns are answered by then. Exiting with unread data in a socket would send a reset and could
        # destroy answers still in flight, so streams are closed first. If the time until SIGKILL is short,
        # half of it is left for requests that are unread when the signal comes.
        self.call_at(
            max(self.kill_at - CLOSE_STREAMS_BEFORE_KILL_S, signalled_at + stop_s / 2), self.close_streams
        )
        self.call_at(self.kill_at - EXIT_BEFORE_KILL_S, self.finish_before_kill)
        self.call_every(self.check_drained, DRAIN_CHECK_INTERVAL_S)

    def call_at(self, time: float, call: Callable[[], None]) -> None:
        """Calls at this time of the reactor's clock, or in the next iteration if it has passed."""
        self.reactor.callLater(max(0.0, time - self.reactor.seconds()), self.run_guarded, call)

    def stop_accepting(self) -> None:
        if self.stopped_accepting:
            return
        self.stopped_accepting = True
        self.run_guarded(self.callers.send_farewells)
        if self.listening_port is not None:
            self.run_guarded(lambda: close_listener(self.listening_port))

    def close_streams(self) -> None:
        """Stops accepting, and closes all streams once this iteration has read the pending requests."""
        self.stop_accepting()
        self.reactor.callLater(0, self.run_guarded, self.finish_streams)

    def finish_streams(self) -> None:
        self.facade.tick(self.facade.now(), None)  # answers what was read in this iteration
        self.callers.close_all()
        self.streams_closed = True
        self.call_every(self.check_drained, FINAL_DRAIN_CHECK_INTERVAL_S)

    def check_drained(self) -> None:
        """Exits when no txn or connection is open; before the streams are closed, only after a quiet
        period."""
        now = self.reactor.seconds()
        busy = self.jobs or self.callers.connections or not self.stopped_accepting
        self.quiet_since = None if busy else self.quiet_since if self.quiet_since is not None else now
        if self.quiet_since is not None and (self.streams_closed or now - self.quiet_since >= QUIET_PERIOD_S):
            self.finish("done")

    def finish_before_kill(self) -> None:
        """Exits just before SIGKILL, whatever is still open."""
        self.finish("time-up")

    def finish(self, code: str) -> None:
        if self.ended:
            return
        self.ended = True
        self.log.event("drain", code, owed=self.facade.owed(), connections=len(self.callers.connections))
        self.stop()

    def signal_handlers(self) -> dict[int, Callable[[], None]]:
        """The action for each signal, to be run by the reactor."""
        return {
            signal.SIGTERM: self.start_drain,
            signal.SIGINT: self.start_drain,
            signal.SIGHUP: lambda: self.run_guarded(self.reload),
        }

    def stop(self) -> None:
        self.cancel_load()
        for loop in self.loops:
            if loop.running:
                loop.stop()
        if self.peers is not None:
            self.run_guarded(self.peers.stop)
        self.kernel.stop()
        self.log.close_window()
        self.reactor.callLater(0, self.reactor.stop)


def calls_skippable_by_product(setup: Setup) -> list[bool]:
    """By product, whether its runs can go on without their calls."""
    values: Any = setup.plain.get("instance.skip_values") or []
    return [number < len(values) and values[number] > 0 for number in range(len(setup.products))]


def run(setup: Setup, read_setup: ReadSetup, peers: Callable[[Setup, Any, Log], Peers] | None = None) -> int:
    """Runs an instance until it exits. `peers` makes the membership component; it raises ConfigError if its
    settings don't fit the instance's."""
    from twisted.internet import reactor as the_reactor

    reactor: Any = the_reactor
    # Unix time may step back, which would delay timers.
    reactor.seconds = time.monotonic
    log = Log(setup.name)
    # The system's limit may be lower than the configured one; descriptors are divided by the lower.
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]

    def cap_sockets(setup: Setup) -> Setup:
        return (
            setup
            if hard_limit == resource.RLIM_INFINITY
            else replace(setup, sockets=min(hard_limit, setup.sockets))
        )

    def read_capped_setup(before: Setup, now: int) -> Steps[Setup]:
        return cap_sockets((yield from read_setup(before, now)))

    setup = cap_sockets(setup)
    resource.setrlimit(resource.RLIMIT_NOFILE, (setup.sockets, hard_limit))
    instance = Instance(setup, reactor, log, read_capped_setup)
    if peers is not None:
        instance.attach_peers(peers(setup, reactor, log))

    def handler(action: Callable[[], None]) -> Callable[[int, object], None]:
        def handle(number: int, _: object) -> None:
            instance.record_signal(number)
            reactor.callFromThread(action)

        return handle

    for number, action in instance.signal_handlers().items():
        signal.signal(number, handler(action))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])  # blocked until now, so that none is lost
    # Until logging begins, Twisted keeps up to 65,536 events and all the objects that they refer to.
    observer: Any = instance.log_reactor_failure
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)
    gc.collect()
    gc.set_threshold(GC_THRESHOLD)  # reference cycles are rare; the default would collect every few txns
    gc.freeze()  # objects that live as long as the process need not be scanned again
    reactor.callWhenRunning(instance.start)
    reactor.run(installSignalHandlers=False)
    return instance.exit_code
