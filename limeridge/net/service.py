"""The wiring of a service instance: callers, kernel, ledger and node list round the facade, and its life.

It owns the handler of a txn, the timers, the shares of memory and descriptors, and the drain at SIGTERM. It
must never judge a txn, and no exception in one txn's path may reach another or end the process.
"""

from __future__ import annotations

import errno
import gc
import resource
import signal
import time
from collections import deque
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
from limeridge.configuration.application import FIXED_FOR_MEMBERS, revised
from limeridge.configuration.reading import Steps, run_turn
from limeridge.facade import (
    MAX_RESULTS_BYTES,
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
from limeridge.net.callers import SWEEP, Callers, Decoder, close_listener
from limeridge.net.kernel import Kernel
from limeridge.net.ledger import Call, Gate, Ledger
from limeridge.net.log import Log
from limeridge.net.nodelist import REPORT_INTERVAL_S, NodeList

GAUGE_WAIT = 0.02  # seconds that a tick waits for its gauges; answers near their due time can't wait long
GUARD = 0.05  # seconds between two looks for txns past their due time
CHECK_WAIT = 0.5  # seconds that a deep check may take
BACKLOG = 512
LISTEN_EVERY, LISTEN_TRIES = 0.05, 100  # seconds, times that an address which can't be ours is tried
LISTEN_TOLD = 20  # tries between two log lines of an address that somebody still holds
OWN = 12  # descriptors of the process besides those of callers and calls: streams, loop, port, links, reports
PART = 0.15  # seconds before the kill at which the connections that are left are closed in good order
LAST_CALL = 0.08  # seconds before the kill at which the process ends, whatever is still open
QUIET = 0.15  # seconds without a connection or an open txn after which a drained instance ends
READ_AGAIN, READ_TRIES = 0.5, 6  # seconds, times, that a configuration which can't be used is read again
GARBAGE = 10_000  # objects made and not freed between two collections
STAY = 0.9  # of the grace, that a draining instance goes on taking txns
BETWEEN = 0.05  # seconds between two looks at the drain
LAST_LOOKS = 0.01  # the same once all streams were ended

# The file anew, by what is in force and the time in microseconds.
Reread = Callable[[Setup, int], Steps[Setup]]


class Peers(Protocol):
    """Membership, where there is any: a part beside the others, that may bound the calls."""

    gate: Gate

    def start(self) -> None: ...
    def share(self) -> int | None: ...
    def leave(self) -> None: ...
    def stop(self) -> None: ...


class Job:
    """One txn in hand: its news in order, for the one handler that reads them."""

    def __init__(self, request: Request, may_skip: bool) -> None:
        self.request = request
        self.may_skip = may_skip  # by the revision under which it arrived
        self.news: deque[RunEvent] = deque()
        self.waiting: Deferred[RunEvent] | None = None
        self.call: Call | None = None
        self.blocked: RunBlocked | None = None

    def next(self) -> Deferred[RunEvent]:
        """To be asked for only where no news stand by."""
        self.waiting = Deferred()
        return self.waiting

    def tell(self, news: RunEvent) -> bool:
        """False where the handler waits for something else."""
        waiting, self.waiting = self.waiting, None
        if waiting is None:
            self.news.append(news)
            return False
        waiting.callback(news)
        return True


class Instance:
    """One service instance."""

    def __init__(
        self,
        setup: Setup,
        reactor: Any,
        log: Log,
        reread: Reread,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.setup, self.reactor, self.log, self.reread = setup, reactor, log, reread
        self.loading: Steps[Setup] | None = None  # of a new configuration
        self.reading: Any = None  # the timer of its next turn, or of another try
        self.leaving, self.shut = False, False
        self.noticed_at: float | None = None  # the notice to leave, by its signal
        self.kill_at = 0.0
        self.parted = False  # all streams were ended, and none can be opened any more
        self.quiet_since: float | None = None
        self.ended = False
        self.jobs: dict[str, Job] = {}
        budget = int(setup.memory_mb * (1 << 20))
        self.facade = Facade(
            setup.plain,
            setup.seed,
            reactor,
            log,
            self.wake,
            min(MAX_RESULTS_BYTES, budget // 8),
            setup.tenants.quota,
        )
        # Descriptors: half and a bit for callers, a few for ourselves; the kernel's link keeps its room.
        spare = max(16, min(48, setup.sockets // 4))
        to_ledger = min(128, setup.sockets // 8)
        self.callers = Callers(
            self,
            Decoder(setup.products, setup.tenants),
            reactor,
            log,
            most=setup.sockets - to_ledger - spare,
            slack=max(1, spare - OWN),
            held_most=budget // 8,
            unread_most=budget // 8,
            unix=unix,
        )
        self.kernel = Kernel(self, reactor, setup.kernel.host, setup.kernel.port, log)
        self.ledger = Ledger(reactor, setup.ledger.host, setup.ledger.port, log, to_ledger)
        self.node_list = NodeList(setup.name, setup.node_list.host, setup.node_list.port)
        self.skips = skips_of(setup)
        self.port: Any = None
        self.exit_code = 0
        self.work_seen = False
        self.loops: list[LoopingCall] = []
        self.peers: Peers | None = None

    def join(self, peers: Peers) -> None:
        """Before the start. Without peers nothing of this is there."""
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
        self.guarded(lambda: self.listen(LISTEN_TRIES))
        self.open_reports()
        self.guarded(self.kernel.connect)
        if self.peers is not None:
            self.guarded(self.peers.start)
        for call, every in (
            (self.callers.sweep, SWEEP),
            (self.report, REPORT_INTERVAL_S),
            (self.guard, GUARD),
        ):
            self.repeat(call, every)

    def repeat(self, call: Callable[[], None], every: float) -> None:
        loop = LoopingCall(self.guarded, call)
        loop.clock = self.reactor
        loop.start(every, now=False)
        self.loops.append(loop)

    def listen(self, tries: int, told: int = 0) -> None:
        """A predecessor under this address may still be dying, for as long as its own notice lets it: while
        somebody holds the address it is tried again without end. One that can't be ours is given up."""
        listen = self.setup.listen
        if self.leaving:
            return
        try:
            self.port = self.reactor.listenTCP(listen.port, self.callers, BACKLOG, listen.host)
        except CannotListenError as trouble:
            held = getattr(trouble.socketError, "errno", None) == errno.EADDRINUSE
            if told % LISTEN_TOLD == 0 or not held:
                self.log.event(
                    "listen",
                    "taken" if held else "unusable",
                    why=str(trouble),
                    **({} if held else {"tries_left": tries}),
                )
            if held or tries:
                self.reactor.callLater(
                    LISTEN_EVERY, self.guarded, partial(self.listen, tries - (not held), told + 1)
                )
            else:
                self.exit_code = 1
                self.stop()

    def open_reports(self) -> None:
        """Tried again with each report until it is there: a start in a moment without descriptors or ports
        must not leave the instance unlisted for its whole life."""
        try:
            self.reactor.listenUDP(
                0, self.node_list, interface="::" if ":" in self.setup.node_list.host else ""
            )
        except (OSError, CannotListenError) as trouble:
            self.log.event("reports", "no-socket", why=str(trouble)[:200])

    def observed(self, event: Mapping[str, Any]) -> None:
        """What went wrong where only the reactor was there to catch it."""
        failure = event.get("log_failure")
        if failure is not None:
            self.log.fault("service-fault", failure.value, code="reactor")

    def guarded(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as trouble:
            self.log.fault("service-fault", trouble)

    def met(self, failure: Failure, event: str) -> None:
        self.log.fault(event, failure.value)

    # ---- a txn

    def serve(self, request: Request) -> None:
        if request.ref in self.jobs:
            self.log.event("bad-message", "ref in use")
            request.answer(Answer(AnswerKind.VOIDED, why="ref in use"))
            self.callers.released(request)
            return
        job = self.jobs[request.ref] = Job(request, self.skips[request.product])
        ensureDeferred(self.handle(job)).addErrback(self.met, "txn-fault")

    async def handle(self, job: Job) -> None:
        request, step = job.request, None
        try:
            while True:
                try:
                    step = await self.next_step(job, step)
                    if step.action is NextAction.DONE:
                        return
                    self.carry_out(job, step)
                except Exception as trouble:
                    self.log.fault("txn-fault", trouble, ref=request.ref)
                    step = self.facade.abort(request, "defect")
                    if step.action is NextAction.DONE:
                        return
        finally:
            if job.call is not None:
                job.call.abandon()
            self.jobs.pop(request.ref, None)
            self.kernel.discard(request.ref)
            self.callers.released(request)

    async def next_step(self, job: Job, step: Step | None) -> Step:
        if step is None:
            return await self.facade.submit(job.request)
        news = job.news.popleft() if job.news else await job.next()
        if isinstance(news, CallEnded) and news.end is EndStatus.OK:
            self.reply(job, news.body)
        elif isinstance(news, RunBlocked):
            job.blocked = news
        return await self.facade.report(job.request, news)

    def reply(self, job: Job, body: bytes) -> None:
        if job.blocked is not None:
            self.kernel.reply(job.request.ref, body, job.blocked.cursor, job.may_skip)

    def carry_out(self, job: Job, step: Step) -> None:
        request = job.request
        if step.action is NextAction.RUN:
            self.kernel.start(request.ref, request.product_name, request.doc)
        elif step.action is NextAction.CALL and job.blocked is not None:
            job.call = self.ledger.call(request.ref, step.time_out_us, job.blocked.body)
            job.call.done.addCallback(lambda called: self.tell(job, called))
        elif step.action is NextAction.SKIP_CALL and job.blocked is not None:
            self.kernel.skip_call(request.ref, job.blocked.cursor)

    def tell(self, job: Job, news: RunEvent) -> None:
        if not job.tell(news):
            self.facade.interrupt(job.request)

    def gone(self, request: Request) -> None:
        self.facade.cancel_answer(request)

    # ---- what the kernel tells

    def on_kernel_boot(self, cold: bool, ago: int) -> None:
        self.facade.handle_kernel_boot(cold, ago)

    def on_run_event(self, ref: str, news: RunEnded | RunBlocked) -> bool:
        job = self.jobs.get(ref)
        if isinstance(news, RunEnded) and news.end is EndStatus.OK:
            self.work_seen = True
        if job is not None:
            self.tell(job, news)
        return job is not None

    # ---- what callers are told

    def value(self) -> float | None:
        return self.facade.value

    def idle_limit(self) -> int:
        return self.facade.idle_limit

    def check(self, deep: bool, answer: Callable[[bool], None]) -> None:
        """From store, as the brain wants it. Whether work gets done is asked of the kernel only where no
        run has ended well since the last such question."""
        ready = self.facade.healthy and self.kernel.is_available and not self.leaving
        if not deep or not ready or self.work_seen or not self.kernel.ready:
            self.work_seen = self.work_seen and not deep
            answer(ready)
        else:
            self.kernel.run_deep_check(CHECK_WAIT).addCallback(answer)

    # ---- time

    def guard(self) -> None:
        self.take_share()
        self.facade.guard()

    def take_share(self) -> None:
        """The brain plans by the share as it is now; the gate sees to it that a call keeps to it."""
        share = None if self.peers is None else self.peers.share()
        if share is not None:
            self.facade.set_call_limit(share)

    def wake(self) -> None:
        self.take_share()
        self.kernel.read_gauges(GAUGE_WAIT).addCallback(
            lambda figures: self.facade.tick(self.facade.now(), figures)
        ).addErrback(self.met, "tick-fault")

    def report(self) -> None:
        if self.node_list.transport is None:
            self.open_reports()
        if self.kernel.is_available and not self.leaving:  # without its kernel it can start nothing
            self.node_list.report(self.facade.healthy)

    # ---- new configuration

    def reload(self, tries: int = READ_TRIES) -> None:
        """At SIGHUP, also while draining. A file that can't be used, or is not whole yet, changes nothing."""
        self.stop_loading()
        self.loading = self.reread(self.setup, self.facade.now())
        self.load(tries)

    def load(self, tries: int) -> None:
        """One turn's share of the reading; requests are served between two."""
        if self.loading is None:
            return
        try:
            new = run_turn(self.loading)
        except ConfigError as unusable:
            self.loading = None
            self.log.event("reload", "unusable", why=" ".join(str(unusable).split()), tries_left=tries)
            if tries:
                again = partial(self.reload, tries - 1)
                self.reading = self.reactor.callLater(READ_AGAIN, self.guarded, again)
            return
        if new is None:
            self.reading = self.reactor.callLater(0, self.guarded, partial(self.load, tries))
            return
        self.loading = None
        self.take(new)

    def stop_loading(self) -> None:
        """Whatever is being read is not wanted any more."""
        if self.reading is not None and self.reading.active():
            self.reading.cancel()
        if self.loading is not None:
            self.loading.close()
            self.loading = None

    def take(self, new: Setup) -> None:
        """Between two requests: whoever arrived keeps the revision that it arrived under. Open txns, runs and
        what the brain has learned hang on what does not change live: that stays until a restart."""
        fixed = frozenset[str]() if self.peers is None else FIXED_FOR_MEMBERS
        revision = revised(self.setup, new, fixed)
        setup = revision.setup
        self.facade.revise(setup.plain, setup.tenants.quota)
        self.setup, self.callers.decoder.tenants, self.skips = setup, setup.tenants, skips_of(setup)
        self.log.event("reload", "taken", moved=[*revision.moved], needs_restart=[*revision.needs_restart])
        parts: dict[str, Any] = {"kernel": self.kernel, "ledger": self.ledger, "node_list": self.node_list}
        for name in revision.moved:
            part, address = parts[name], getattr(setup, name)
            self.guarded(partial(part.set_address, address.host, address.port))
        self.guarded(self.report)

    # ---- drain

    def noticed(self, number: int) -> None:
        """In the handler of a signal itself. The kill follows the notice to leave by its time, and a turn of
        the loop that takes long puts off what is done about it."""
        if number in (signal.SIGTERM, signal.SIGINT) and self.noticed_at is None:
            self.noticed_at = self.reactor.seconds()

    def leave(self) -> None:
        if self.leaving:
            self.log.event("drain", "again")
            return
        self.leaving = True
        now = self.reactor.seconds()
        noticed_at = now if self.noticed_at is None else self.noticed_at
        stop = self.setup.stop / 1_000_000
        self.kill_at = noticed_at + stop
        self.log.event("drain", "begun", owed=self.facade.owed(), connections=len(self.callers.connections))
        self.guarded(lambda: self.node_list.report(False))
        if self.peers is not None:
            self.guarded(self.peers.leave)
        self.guarded(lambda: self.facade.leave(self.setup.stop, int((now - noticed_at) * 1_000_000)))
        # Against callers that hear of it late, while a successor is cold or not listed yet: what comes within
        # the grace may still run, so the door stays open for most of it.
        grace: Any = self.setup.plain.get("rules.drain_grace", 0)
        self.at(noticed_at + min(STAY * grace / 1_000_000, stop / 2), self.shut_door)
        # All is answered by then. Answers that wait for their reader, and what arrives in these moments, must
        # not be lost to sockets that the end of the process closes over unread bytes. Of a short notice one
        # half is left for what lies unread when it comes.
        self.at(max(self.kill_at - PART, noticed_at + stop / 2), self.part)
        self.at(self.kill_at - LAST_CALL, self.last_call)
        self.repeat(self.drained, BETWEEN)

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Calls at this time of the reactor's clock, or in the next turn where it is past."""
        self.reactor.callLater(max(0.0, time - self.reactor.seconds()), self.guarded, call)

    def shut_door(self) -> None:
        if self.shut:
            return
        self.shut = True
        self.guarded(self.callers.farewell)
        if self.port is not None:
            self.guarded(lambda: close_listener(self.port))

    def part(self) -> None:
        """What lies unread now is read in this turn yet; then the streams are ended."""
        self.shut_door()
        self.reactor.callLater(0, self.guarded, self.end_streams)

    def end_streams(self) -> None:
        self.facade.tick(self.facade.now(), None)  # what this turn of the loop read is answered first
        self.callers.part()
        self.parted = True
        self.repeat(self.drained, LAST_LOOKS)

    def drained(self) -> None:
        """Ends when nobody is connected and nothing is open: for a while where somebody may still connect."""
        now = self.reactor.seconds()
        busy = self.jobs or self.callers.connections or not self.shut
        self.quiet_since = None if busy else self.quiet_since if self.quiet_since is not None else now
        if self.quiet_since is not None and (self.parted or now - self.quiet_since >= QUIET):
            self.end("done")

    def last_call(self) -> None:
        """Just before the kill, whatever is still open."""
        self.end("time-up")

    def end(self, code: str) -> None:
        if self.ended:
            return
        self.ended = True
        self.log.event("drain", code, owed=self.facade.owed(), connections=len(self.callers.connections))
        self.stop()

    def notices(self) -> dict[int, Callable[[], None]]:
        """What each signal does, in the reactor's turn."""
        return {
            signal.SIGTERM: self.leave,
            signal.SIGINT: self.leave,
            signal.SIGHUP: lambda: self.guarded(self.reload),
        }

    def stop(self) -> None:
        self.stop_loading()
        for loop in self.loops:
            if loop.running:
                loop.stop()
        if self.peers is not None:
            self.guarded(self.peers.stop)
        self.kernel.stop()
        self.log.close_window()
        self.reactor.callLater(0, self.reactor.stop)


def skips_of(setup: Setup) -> list[bool]:
    """By class, whether its runs can go on without their calls."""
    values: Any = setup.plain.get("instance.skip_values") or []
    return [number < len(values) and values[number] > 0 for number in range(len(setup.products))]


def run(setup: Setup, reread: Reread, peers: Callable[[Setup, Any, Log], Peers] | None = None) -> int:
    """`peers` makes the part of membership; it raises ConfigError where its settings don't fit the
    instance's."""
    from twisted.internet import reactor as the_reactor

    reactor: Any = the_reactor
    # Timers must not follow Unix time, which may step back and hold them up.
    reactor.seconds = time.monotonic
    log = Log(setup.name)
    # What the machine grants may be less than what the file says: the parts are shared out of what there is.
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]

    def granted(setup: Setup) -> Setup:
        return setup if hard == resource.RLIM_INFINITY else replace(setup, sockets=min(hard, setup.sockets))

    def reread_granted(before: Setup, now: int) -> Steps[Setup]:
        return granted((yield from reread(before, now)))

    setup = granted(setup)
    resource.setrlimit(resource.RLIMIT_NOFILE, (setup.sockets, hard))
    instance = Instance(setup, reactor, log, reread_granted)
    if peers is not None:
        instance.join(peers(setup, reactor, log))

    def handler(taken: Callable[[], None]) -> Callable[[int, object], None]:
        def handle(number: int, _: object) -> None:
            instance.noticed(number)
            reactor.callFromThread(taken)

        return handle

    for notice, taken in instance.notices().items():
        signal.signal(notice, handler(taken))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])  # one that came meanwhile is taken now
    # Begun, as Twisted keeps 65,536 events for whoever begins later, with all that they hold on to.
    observer: Any = instance.observed
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)
    gc.collect()
    gc.set_threshold(GARBAGE)  # against a look for cycles every few txns; few are made
    gc.freeze()  # what stands now stays; a collection need not look at it again
    reactor.callWhenRunning(instance.start)
    reactor.run(installSignalHandlers=False)
    return instance.exit_code
