"""Small defects put into the instance, one at a time, and how many seeds it takes to find each.

It owns the list of defects and their putting in: in memory, in a process of its own, never in a file. It must
import nothing of the instance itself, or the defect would come too late.
"""

from __future__ import annotations

import importlib
import importlib.abc
import importlib.machinery
import importlib.util
import os
import signal
import statistics
import subprocess
import sys
import time
import types
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from multiprocessing.pool import ThreadPool
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).parent.parent
RUN_MOST = 30  # seconds of a run that hangs
ALONE = "members"  # the world of members alone, sim/gossip.py
APART = 1_000_000  # between the first seeds of two starts


@dataclass(slots=True, frozen=True)
class Mutant:
    """`old` stands exactly once in the file."""

    name: str
    file: str
    old: str
    new: str
    what: str

    @property
    def world(self) -> str:
        """The scenario that it is sought in; empty where the one asked for will do."""
        return "" if not self.file.startswith("peers/") else "peers" if self.file == GATE else ALONE


@dataclass(slots=True, frozen=True)
class Row:
    """`seeds` for each start, None where it was not found; `median` over the starts, None if most did not."""

    name: str
    file: str
    what: str
    seeds: tuple[int | None, ...]
    median: float | None
    rules: tuple[str, ...]


def _m(name: str, file: str, old: str, new: str, what: str) -> Mutant:
    return Mutant(name, file, old, new, what)


CALLERS, KERNEL, LEDGER = "net/callers.py", "net/kernel.py", "net/ledger.py"
SHARES, MEMBERS, PROBING, GATE = (
    "peers/shares.py",
    "peers/members.py",
    "peers/probing.py",
    "peers/gate.py",
)
DISCOVERY, DISSEMINATION, SHARE_EXCHANGE = (
    "peers/discovery.py",
    "peers/dissemination.py",
    "peers/share_exchange.py",
)
SERVICE, FACADE, ATTEMPTS, CONFIG, BRAIN, NODES = (
    "net/service.py",
    "facade.py",
    "attempts.py",
    "config.py",
    "brain.py",
    "net/nodelist.py",
)
MUTANTS: tuple[Mutant, ...] = (
    _m(
        "second-message",
        CALLERS,
        "if count >= MESSAGES_PER_ITERATION:",
        "if count >= 2:\n                    return\n                if count >= MESSAGES_PER_ITERATION:",
        "what stands behind two messages of one segment waits for more bytes",
    ),
    _m(
        "exact-frame",
        CALLERS,
        "            if len(self.data) < self.body_length:\n",
        "            if len(self.data) <= self.body_length:\n",
        "a message is read only once a byte of the next has come",
    ),
    _m(
        "revoke-other",
        CALLERS,
        "next((n for n, request in self.open_txns.items() if request.ref == ref), 0)",
        "next(iter(self.open_txns), 0)",
        "a late revoke takes back another txn of its connection",
    ),
    _m(
        "backlog-lost",
        CALLERS,
        "        for data in self.take_backlog():\n            self.send(data)\n",
        "        self.take_backlog()\n",
        "answers that waited for a peer to read are thrown away",
    ),
    _m(
        "held-kept",
        CALLERS,
        "self.held_bytes -= txn_memory_bytes(request)",
        "self.held_bytes -= txn_memory_bytes(request) // 2",
        "half of a body's bytes stay booked",
    ),
    _m(
        "held-twice",
        CALLERS,
        "self.held_bytes -= txn_memory_bytes(request)",
        "self.held_bytes -= 2 * txn_memory_bytes(request)",
        "a release is counted twice",
    ),
    _m(
        "advice-unit",
        CALLERS,
        'data["w"] = answer.retry_after_us / 1_000',
        'data["w"] = answer.retry_after_us',
        "the time to come back is told in microseconds",
    ),
    _m(
        "age-lost",
        CALLERS,
        "age = min(max(0.0, self.callers.unix() * 1_000 - message.sent_at_ms), message.timeout_ms or 60_000.0)",
        "age = 0.0",
        "a txn's time on the way is not counted",
    ),
    _m(
        "patience-long",
        CALLERS,
        "max(0, int((message.timeout_ms - age) * 1_000))",
        "max(0, int((message.timeout_ms - age) * 1_250))",
        "a caller is taken to wait a quarter longer",
    ),
    _m(
        "sweep-busy",
        CALLERS,
        '        if connection.open_txns or connection.end_code:\n            return ""\n',
        '        if connection.end_code:\n            return ""\n',
        "connections with open txns are swept too",
    ),
    _m(
        "displace-busy",
        CALLERS,
        "        candidate = self._find_silent(self.being_displaced)\n",
        "        candidate = next(iter(self.connections), None)\n",
        "a full table closes connections with open txns",
    ),
    _m(
        "doc-trimmed",
        CALLERS,
        "            message.doc,\n            lambda answer",
        '            message.doc.rstrip("="),\n            lambda answer',
        "the padding of a body is lost",
    ),
    _m(
        "newest-answered",
        CALLERS,
        "lambda answer: self.send_answer(message.id, answer)",
        "lambda answer: self.send_answer(max(self.open_txns, default=message.id), answer)",
        "an answer goes to the newest id of its connection",
    ),
    _m(
        "check-unanswered",
        CALLERS,
        "lambda ready: self.send_check_result(message.id, ready)",
        "lambda ready: ready and self.send_check_result(message.id, ready)",
        "a health check that would be told 'not ready' is told nothing",
    ),
    _m(
        "notice-twice",
        KERNEL,
        "if notice.cursor <= self.cursor:",
        "if notice.cursor < self.cursor:",
        "a notice told again is taken again",
    ),
    _m(
        "reply-again",
        KERNEL,
        "if not (was_sent and command.replies_to):",
        "if command:",
        "a reply is sent again on a new link",
    ),
    _m(
        "skip-again",
        KERNEL,
        "command.serial > self.last_read_serial and command.may_skip",
        "command.serial > self.last_read_serial",
        "any run is told to go on without its call after a break",
    ),
    _m(
        "no-relink",
        KERNEL,
        "uncarried=len(self.unconfirmed),\n        )\n        self._schedule_reconnect()",
        "uncarried=len(self.unconfirmed),\n        )",
        "a link that is lost is not made again",
    ),
    _m(
        "no-redial",
        KERNEL,
        'self.log.event("link-down", "unreached", why=why[:200])\n            self._schedule_reconnect()',
        'self.log.event("link-down", "unreached", why=why[:200])',
        "a kernel that was not reached is not tried again",
    ),
    _m(
        "open-at-0",
        KERNEL,
        'encode("OPEN", cursor=self.cursor)',
        'encode("OPEN", cursor=0)',
        "a new link begins with the first notice",
    ),
    _m(
        "cursor-kept",
        KERNEL,
        "        self.cursor = notice.cursor\n        if notice.event",
        "        self.cursor = max(self.cursor, notice.cursor - 1)\n        if notice.event",
        "the cursor lags by one",
    ),
    _m(
        "gauges-forever",
        KERNEL,
        "self.reactor.callLater(time_out_s, self._answer_query, ticket, default)",
        "self.reactor.callLater(time_out_s * 1_000, self._answer_query, ticket, default)",
        "a question to the kernel waits for ever",
    ),
    _m(
        "uncarried-lost",
        KERNEL,
        'command = self.unconfirmed[ref] = Command(event, {"handle": ref, **fields}, self.serial)\n        if self.ready',
        'command = Command(event, {"handle": ref, **fields}, self.serial)\n        if event == "IODONE":\n            self.unconfirmed[ref] = command\n        if self.ready',
        "a command given while the link is down is forgotten",
    ),
    _m(
        "link-ready",
        KERNEL,
        "            self.ready, self.lost_at = False, self.reactor.seconds()",
        "            self.lost_at = self.reactor.seconds()",
        "a link counts as ready before its notices are read",
    ),
    _m(
        "status-500",
        LEDGER,
        "{200: EndStatus.OK, 504: EndStatus.TIMED_OUT}",
        "{200: EndStatus.OK, 500: EndStatus.OK, 504: EndStatus.TIMED_OUT}",
        "a failed call counts as a good one",
    ),
    _m(
        "failed-as-full",
        LEDGER,
        ".get(status, EndStatus.FAILED)",
        ".get(status, EndStatus.FULL)",
        "a failed call counts as one that never ran",
    ),
    _m(
        "broken-as-unreached",
        LEDGER,
        "self.connection.call.end(EndStatus.BROKEN)  # ignored",
        "self.connection.call.end(EndStatus.UNREACHED)  # ignored",
        "a call whose connection broke counts as one that never ran",
    ),
    _m(
        "connections-kept",
        LEDGER,
        "        self.connections -= 1\n",
        "        self.connections -= connection.call_protocol is None\n",
        "connections that ended stay counted",
    ),
    _m(
        "abandon-kept",
        LEDGER,
        "        if self._finish():\n            self._close_connection()\n",
        "        self._finish()\n",
        "a call that nobody waits for stays out",
    ),
    _m(
        "time-out-kept",
        LEDGER,
        "        self._close_connection()\n        self.end(EndStatus.TIMED_OUT",
        "        self.end(EndStatus.TIMED_OUT",
        "a call that timed out stays out",
    ),
    _m(
        "part-of-body",
        LEDGER,
        "        if len(self.data) < self.body_length:\n",
        "        if self.body_length and not self.data:\n",
        "a reply that comes in pieces is cut short",
    ),
    _m(
        "no-length",
        LEDGER,
        "length > MAX_BODY_BYTES or (length < 0 and status >= 200)",
        "length > MAX_BODY_BYTES",
        "a reply that tells no length counts as an empty one",
    ),
    _m(
        "wait-long",
        LEDGER,
        "ledger.reactor.callLater(time_out_us / 1_000_000, self.time_out)",
        "ledger.reactor.callLater(time_out_us / 100_000, self.time_out)",
        "a call waits ten times as long as it tells",
    ),
    _m(
        "news-lost",
        SERVICE,
        "            self.events.append(news)\n            return False",
        "            return False",
        "news that come while the handler is busy are lost",
    ),
    _m(
        "cursor-before",
        SERVICE,
        "self.kernel.skip_call(request.ref, job.blocked.cursor)",
        "self.kernel.skip_call(request.ref, job.blocked.cursor - 1)",
        "a call is left out under the cursor before its own",
    ),
    _m(
        "leave-untold",
        SERVICE,
        "        self.run_guarded(lambda: self.facade.leave(self.setup.stop, int((now - signalled_at) * 1_000_000)))\n",
        "",
        "the brain does not hear of a drain",
    ),
    _m(
        "quiet-at-once",
        SERVICE,
        "        busy = self.jobs or self.callers.connections or not self.stopped_accepting\n",
        "        busy = not self.stopped_accepting\n",
        "a drained instance ends with txns still open",
    ),
    _m(
        "jobs-kept",
        SERVICE,
        "            self.jobs.pop(request.ref, None)\n",
        "            self.jobs.pop(request.ref if job.call is None else '', None)\n",
        "txns that made a call stay in the table",
    ),
    _m(
        "no-gauges-no-tick",
        SERVICE,
        "lambda figures: self.facade.tick(self.facade.now(), figures)\n",
        "lambda figures: figures and self.facade.tick(self.facade.now(), figures)\n",
        "without gauges there is no tick",
    ),
    _m(
        "reload-unmoved",
        SERVICE,
        "            self.run_guarded(partial(client.set_address, address.host, address.port))\n",
        "            address.host\n",
        "new addresses are logged and not taken up",
    ),
    _m(
        "reload-once",
        SERVICE,
        "            if retries_left:\n                retry",
        "            if not retries_left:\n                retry",
        "a file that was half written is not read again",
    ),
    _m(
        "no-interrupt",
        SERVICE,
        "            self.facade.interrupt(job.request)\n",
        "            pass\n",
        "a handler that waits for a step does not hear of news",
    ),
    _m(
        "no-farewell",
        SERVICE,
        "        self.run_guarded(self.callers.send_farewells)\n",
        "",
        "callers are not told of a drain",
    ),
    _m(
        "other-result",
        FACADE,
        "result = entry.prior.result if entry.prior is not None else None",
        "result = next(iter(self.attempts.results)).result if self.attempts.results else None",
        "a repeat gets the oldest result of all",
    ),
    _m(
        "joins-lost",
        FACADE,
        "        self.ready_repeats += self.waiting_repeats.pop(entry.txn.ref, {}).values()\n",
        "",
        "repeats that joined a run are not ended with it",
    ),
    _m(
        "no-prior",
        FACADE,
        "prior = known[0] if known else None\n",
        "prior = None\n",
        "no repeat is known as one",
    ),
    _m(
        "ended-forgotten",
        ATTEMPTS,
        "and self.kept_until > arrived_at)\n",
        "and self.kept_until > arrived_at + 10**9)\n",
        "a repeat of a txn that is over is not known as one",
    ),
    _m(
        "end-untold",
        FACADE,
        "        self.brain.on_run_ended(now, entry.txn, OUTCOMES[event.end], 0)\n",
        "        if event.end is not EndStatus.STOPPED:\n            self.brain.on_run_ended(now, entry.txn, OUTCOMES[event.end], 0)\n",
        "the brain does not hear that a run was stopped",
    ),
    _m(
        "late-wake",
        FACADE,
        "self._set_timer(max(0, decision.us - self.now()) / 1_000_000)",
        "self._set_timer(max(0, decision.us - self.now() + 150_000) / 1_000_000)",
        "the brain is woken 150 ms late",
    ),
    _m(
        "cold-as-warm",
        FACADE,
        "self._notify_brain(self.brain.on_boot, cold, self.now() - ago_us)",
        "self._notify_brain(self.brain.on_boot, False, self.now() - ago_us)",
        "a cold kernel is taken for a warm one",
    ),
    _m(
        "list-as-config",
        CONFIG,
        '    if not isinstance(value, dict):\n        raise ConfigError("BALANCER_CONFIG: expected a JSON object")\n',
        "",
        "a configuration that is no object is not refused",
    ),
    _m(
        "missing-let-through",
        CONFIG,
        "    elif required:\n",
        "    elif required and not required:\n",
        "a missing setting is not refused",
    ),
    _m(
        "half-file",
        CONFIG,
        '    except BadDocument as error:\n        raise ConfigError(f"BALANCER_CONFIG: expected JSON, got {error}") from None\n',
        "    except ZeroDivisionError:\n        raise\n",
        "a file that is no JSON is not refused",
    ),
    _m(
        "report-form",
        NODES,
        "f\"HERE {self.name} {'on' if ready else 'off'}\"",
        'f"HERE {self.name} {ready}"',
        "reports to the node list are of no known form",
    ),
    _m(
        "grace-long",
        BRAIN,
        'arrived > self.drain_at + self.settings.get("rules.drain_grace", 0):',
        "arrived > self.drain_at + 10**9:",
        "what comes after the grace runs",
    ),
    _m(
        "crowd-unbound",
        BRAIN,
        "limit, self.run_cap_reached = CONCURRENCY_SHARE * self._max_concurrency(), False",
        "limit, self.run_cap_reached = 4 * self._max_concurrency(), False",
        "runs are bounded by four times the crowd",
    ),
    _m(
        "memory-of-runs",
        BRAIN,
        'if self._free_memory_kb() < txn.size_kb * (self.settings.get("instance.run_factor", 1.0) - 1):',
        "if self._free_memory_kb() < 0:",
        "a run is started without room for it",
    ),
    _m(
        "memory-of-hold",
        BRAIN,
        "while self._free_memory_kb() < 0 and (ranked := self._rank_queues()):",
        "while self._free_memory_kb() < -1e9 and (ranked := self._rank_queues()):",
        "the hold is not bounded by memory",
    ),
    _m(
        "due-late",
        BRAIN,
        "take_expired(math.inf if stopping else horizon)",
        "take_expired(math.inf if stopping else self.now - 100_000)",
        "answers go out 100 ms past the due time",
    ),
    _m(
        "stop-unheeded",
        BRAIN,
        "horizon >= self.stop_at - STOP_MARGIN_US",
        "horizon >= self.stop_at + 10**9",
        "nothing is answered for the stop",
    ),
    _m(
        "call-repeated",
        BRAIN,
        "txn.may_retry_call = product.kind == INQUIRY or outcome in NOT_EXECUTED",
        "txn.may_retry_call = True",
        "any call is made again",
    ),
    _m(
        "ran-as-declined",
        BRAIN,
        "if product.kind != INQUIRY and (txn.ran or",
        "if product.kind == INQUIRY and (txn.ran or",
        "what ran is told as declined",
    ),
    _m(
        "calls-unbound",
        BRAIN,
        "self.calls.in_flight(self.now) + 1 <= self.call_bound",
        "self.calls.in_flight(self.now) + 1 <= 1_000",
        "calls in hand are not bounded",
    ),
    _m(
        "repeats-unknown",
        BRAIN,
        "        elif state.kind == REFERENCED:\n            self.unresolved_repeats",
        "        elif state.kind == ONCE_ONLY:\n            self.unresolved_repeats",
        "referenced txns are held as any other",
    ),
    _m(
        "no-heir",
        BRAIN,
        "prior.replaced_by, txn.prior, txn.repeat = txn, None, False",
        "txn.prior, txn.repeat = None, False",
        "two repeats of a dead txn both run",
    ),
    _m(
        "skip-any",
        BRAIN,
        "if txn.terms.skip_value > 0 and (\n                txn.skipped_calls < txn.approach\n                or blocked",
        "if (\n                txn.skipped_calls < txn.approach\n                or blocked",
        "calls are left out that may not be",
    ),
    _m(
        "view-forgotten",
        SHARES,
        "if at + self._hold <= now:",
        "if at + self.terms.lease // 4 <= now:",
        "a voter forgets what it allowed before that is over",
    ),
    _m(
        "cap-of-new-view",
        SHARES,
        "cap = min(cap, view.allocation(key, self._surplus))",
        "pass",
        "a voter looks at its newest view alone",
    ),
    _m(
        "greatest-cap",
        SHARES,
        "else min(each.cap",
        "else max(each.cap",
        "a holder takes the greatest of the voters' answers",
    ),
    _m(
        "quorum-half",
        SHARES,
        "+ self.doubles) // 2 + 1",
        "+ self.doubles) // 2",
        "two quorums may share nobody",
    ),
    _m(
        "speaks-at-once",
        SHARES,
        "return now < self.started_at + self._hold",
        "return False",
        "a voter that has started answers as if it knew",
    ),
    _m(
        "lease-not-looked-at",
        SHARES,
        "if since < each.requested_at <= now",
        "if each.requested_at <= now",
        "a holder goes on with answers that are over",
    ),
    _m(
        "view-back",
        SHARES,
        "if view.epoch <= self.view.epoch:",
        "if view.epoch == self.view.epoch:",
        "a voter goes back to an older view",
    ),
    _m(
        "parts-rounded-up",
        SHARES,
        "return each + (key in self.remainder_keys(remainder))",
        "return each + (remainder > 0)",
        "what is left over is given to all",
    ),
    _m(
        "floor-of-doubles",
        SHARES,
        "return self.limit - self.floor * (self.capacity + self.doubles)",
        "return self.limit - self.floor * self.capacity",
        "no floor is kept for a second process under one name",
    ),
    _m(
        "no-quiet",
        SHARES,
        "self.terms, self.first_call_at = terms, now + startup_delay",
        "self.terms, self.first_call_at = terms, now",
        "a new life calls while its predecessor's calls are in hand",
    ),
    _m(
        "nobody-offers",
        SHARES,
        "bool(voters) and max(voters",
        "bool(voters) and min(voters, key=len) != self.own and max(voters",
        "some fleets never get a new view",
    ),
    _m(
        "older-life",
        MEMBERS,
        "return self.life, self.incarnation + LEFT_RANK if left else self.incarnation, int(self.state)",
        "return Life(0, 0), self.incarnation + LEFT_RANK if left else self.incarnation, int(self.state)",
        "lives are not told apart",
    ),
    _m(
        "no-refutation",
        MEMBERS,
        "return self.replace_own_claim(replace(old, incarnation=claim.incarnation + 1), now)",
        "return None",
        "a suspicion of ourselves is not answered",
    ),
    _m(
        "life-not-raised",
        MEMBERS,
        "if claim.life > old.life and old.state is not State.LEFT:",
        "if False:",
        "a life made old by Unix time stepping back stays old",
    ),
    _m(
        "news-once",
        MEMBERS,
        "if update.told >= self.transmission_limit():",
        "if update.told >= 1:",
        "a change is told once and no more",
    ),
    _m(
        "dead-at-once",
        PROBING,
        "return self.started_at + max(\n"
        "            self.min_duration, int(self.max_duration - (self.max_duration - self.min_duration) * share)\n"
        "        )",
        "return self.started_at + self.min_duration // 8",
        "a suspicion does not wait for its refutation",
    ),
    _m(
        "never-accused",
        PROBING,
        "        return [DeclareSuspect(claim)]\n",
        "        return []\n",
        "who does not answer is never suspected",
    ),
    _m(
        "isolated-holds-dead",
        PROBING,
        "        silence = now - max(self.last_contact_at, self.stall_ended_at)\n",
        "        return False\n        silence = now - max(self.last_contact_at, self.stall_ended_at)\n",
        "one that stood still or hears nobody holds others dead",
    ),
    _m(
        "stall-unseen",
        PROBING,
        "if now - self.next_at > self.settings.stall_threshold:",
        "if now - self.next_at > 1_000 * self.settings.stall_threshold:",
        "one that stood still does not notice",
    ),
    _m(
        "soon-alone",
        PROBING,
        "self.last_was_priority = bool(self.priority_targets) and not self.last_was_priority",
        "self.last_was_priority = True",
        "suspects are probed and nobody else",
    ),
    _m(
        "dead-not-tried",
        DISCOVERY,
        "            self._reconnect()\n",
        "",
        "those held dead are never tried again",
    ),
    _m(
        "accusals-kept",
        DISSEMINATION,
        "            if self.accusations[accusation] >= self.members.transmission_limit():\n",
        "            if False:\n",
        "accusations crowd all other news out",
    ),
    _m(
        "overfull",
        DISSEMINATION,
        "room = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - CLAIM_FIXED_BYTES - self.members.own.text_bytes",
        "room = 2 * MAX_DATAGRAM_BYTES",
        "datagrams over their bound",
    ),
    _m(
        "behind-not-pulled",
        SHARE_EXCHANGE,
        "if epoch > self.voter.view.epoch:",
        "if False:",
        "a voter that is behind stays so",
    ),
    _m(
        "gate-off-by-one",
        GATE,
        "if share is not None and self.in_flight() + 1 > share:",
        "if share is not None and self.in_flight() > share:",
        "one call more than the share",
    ),
    _m(
        "left-behind-free",
        GATE,
        "        if left_behind:\n",
        "        if False:\n",
        "a call that was left behind is not counted",
    ),
    _m(
        "gate-share-kept",
        GATE,
        "        share = self.share()\n        if share is not None and self.in_flight() + 1 > share:",
        "        share = self.kept = max(getattr(self, 'kept', 0), self.share() or 0)\n"
        "        if share is not None and self.in_flight() + 1 > share:",
        "a share once had is kept",
    ),
    _m(
        "key-body-unchecked",
        ATTEMPTS,
        "(customer, doc.encode())",
        '(customer, b"")',
        "a key that comes with another body is taken for a repeat",
    ),
    _m(
        "key-tenant-unchecked",
        ATTEMPTS,
        "(customer, doc.encode())",
        "(0, doc.encode())",
        "a key that comes from another tenant is taken for a repeat",
    ),
    _m(
        "key-refused-to-owner",
        FACADE,
        "        if any(each.fingerprint != fingerprint for each in known):\n            request.answer(",
        "        if any(each.fingerprint != fingerprint or each.result for each in known):\n"
        "            request.answer(",
        "a repeat whose result is kept is taken for a misuse",
    ),
    _m(
        "close-whole",
        CALLERS,
        "        self.transport.loseWriteConnection()\n        self.transport.resumeProducing()\n",
        "        self.transport.loseConnection()\n",
        "a connection is closed over what lies unread",
    ),
    _m(
        "close-cut",
        CALLERS,
        "        self.transport.loseWriteConnection()\n        self.transport.resumeProducing()\n",
        "        self.transport.abortConnection()\n",
        "a connection is cut in place of being closed",
    ),
    _m(
        "dropped-runs",
        CALLERS,
        "        if self.end_code or self.stop_code:\n            self.discard(len(data))\n            return\n",
        "",
        "what is read behind our end of the stream is taken, and runs",
    ),
    _m(
        "rest-cut-at-once",
        CALLERS,
        "            idlest.send_farewell()\n"
        "            # The grace starts in the next iteration of the event loop, once the farewell has been written.\n"
        "            self.being_displaced[idlest] = math.inf\n"
        "            self.clock.callLater(0, self._start_displacement_grace, idlest)\n",
        '            idlest.close("displaced", abort=True)\n            self.remove(idlest)\n',
        "one that rests is cut for a newcomer's sake",
    ),
    _m(
        "parting-unasked",
        SERVICE,
        "        self.facade.tick(self.facade.now(), None)  # answers what was read in this iteration\n",
        "",
        "what the last turn read is not answered before the streams end",
    ),
    _m(
        "restart-uncharged",
        BRAIN,
        "bucket.level = min(bucket.level, filled) if self.cold else bucket.depth",
        "bucket.level = bucket.depth",
        "the calls of the life before are not counted after a restart",
    ),
    _m(
        "key-lost-to-copier",
        FACADE,
        "        if any(each.fingerprint != fingerprint for each in known):\n            request.answer(",
        "        if any(each.fingerprint != fingerprint for each in known):\n"
        "            self.attempts.by_key.pop((request.product, request.key), None)\n"
        "            request.answer(",
        "a misused key is forgotten, so that its owner's repeat is not known as one",
    ),
)


# ---- putting one in


def module_of(mutant: Mutant) -> str:
    return "limeridge." + mutant.file.removesuffix(".py").replace("/", ".")


class Patched(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Loads one module with its source changed."""

    def __init__(self, mutant: Mutant) -> None:
        self.mutant, self.path = mutant, ROOT / mutant.file
        self.module = module_of(mutant)

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: types.ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        return (
            importlib.util.spec_from_loader(name, self, origin=str(self.path))
            if name == self.module
            else None
        )

    def exec_module(self, module: types.ModuleType) -> None:
        module.__dict__["MUTANT"] = self.mutant.name
        exec(compile(changed(self.mutant), str(self.path), "exec"), module.__dict__)


class Misplaced(Exception):
    """The text that a mutant replaces does not stand exactly once in its file."""


def changed(mutant: Mutant) -> str:
    source = (ROOT / mutant.file).read_text()
    if source.count(mutant.old) != 1:
        raise Misplaced(
            f"{mutant.name}: expected its text once in {mutant.file}, got it {source.count(mutant.old)} times"
        )
    return source.replace(mutant.old, mutant.new)


class Hung(Exception):
    pass


def _hung(*_: object) -> None:
    raise Hung


def seek(mutant: Mutant, scenario: str, first: int, most: int) -> tuple[int | None, str]:
    """In a process that has not imported the instance: seeds until it was found, and the rule that it
    broke."""
    sys.meta_path.insert(0, Patched(mutant))
    from limeridge.sim import explore, gossip

    scenario = mutant.world or scenario
    play: Callable[[str, int], Any] = gossip.run_seed if scenario == ALONE else explore.run_seed
    importlib.import_module(module_of(mutant))  # what is imported where it is used may not be there yet
    if not getattr(sys.modules[module_of(mutant)], "MUTANT", ""):
        raise Misplaced(f"{mutant.name}: {mutant.file} was imported before the defect was put in")
    signal.signal(signal.SIGALRM, _hung)
    for number in range(most):
        signal.alarm(RUN_MOST)
        try:
            rule = play(scenario, first + number).rule
        except Hung:
            rule = "hangs"
        except Exception as trouble:
            rule = f"raises {type(trouble).__name__}"
        finally:
            signal.alarm(0)
        if rule:
            return number + 1, rule
    return None, ""


def seek_elsewhere(job: tuple[Mutant, str, int, int]) -> tuple[Mutant, int | None, str]:
    """`seek` in a fresh process."""
    mutant, scenario, first, most = job
    done = subprocess.run(
        [sys.executable, "-m", "limeridge.sim.mutants", mutant.name, scenario, str(first), str(most)],
        stdout=subprocess.PIPE,
        check=True,
    )
    seeds, _, rule = done.stdout.decode().strip().partition(" ")
    return mutant, int(seeds) or None, rule


def hunt(mutants: Sequence[Mutant], scenario: str, most: int, starts: int, jobs: int) -> Iterator[Row]:
    """Rows as they are complete."""
    for mutant in mutants:
        changed(mutant)
    work = [(mutant, scenario, start * APART, most) for mutant in mutants for start in range(starts)]
    got: dict[str, list[tuple[int | None, str]]] = {}
    with ThreadPool(jobs) as pool:
        for mutant, seeds, rule in pool.imap_unordered(seek_elsewhere, work):
            results = got.setdefault(mutant.name, [])
            results.append((seeds, rule))
            if len(results) == starts:
                yield row_of(mutant, results)


def row_of(mutant: Mutant, results: list[tuple[int | None, str]]) -> Row:
    counts = [float("inf") if seeds is None else float(seeds) for seeds, _ in results]
    median = statistics.median(counts)
    return Row(
        mutant.name,
        mutant.file,
        mutant.what,
        tuple(sorted((s for s, _ in results), key=lambda s: s or 10**9)),
        None if median == float("inf") else median,
        tuple(sorted({rule for _, rule in results if rule})),
    )


def table(rows: Sequence[Row], scenario: str, most: int, starts: int) -> str:
    """Markdown."""
    lines = [
        f"Scenario `{scenario}`, {starts} starts, up to {most} seeds each.",
        "",
        "| defect | in | what it does | found | seeds (median) | by |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        found = sum(seeds is not None for seeds in row.seeds)
        lines.append(
            f"| {row.name} | {row.file} | {row.what} | {found} of {len(row.seeds)} | "
            f"{'-' if row.median is None else f'{row.median:g}'} | {', '.join(row.rules)} |"
        )
    return "\n".join(lines) + "\n"


@dataclass(slots=True, frozen=True)
class Proof:
    """A mutant's failing seed, played in several processes and made small."""

    name: str
    seed: int
    rule: str
    digests: tuple[str, ...]
    steps: int
    small: int  # steps of the smallest plan that was found
    tries: int
    seconds: float


def prove(mutant: Mutant, scenario: str, seed: int, seconds: float, keep: Path | None) -> Proof:
    """`seed` is one that the mutant fails; three processes, each with another PYTHONHASHSEED."""

    def play(hash_seed: str, shrinking: float) -> dict[str, Any]:
        command = [sys.executable, "-m", "limeridge.sim.mutants", mutant.name, scenario, str(seed), "1"]
        command += [str(shrinking), str(keep or "")] if shrinking else ["0"]
        done = subprocess.run(
            command, env=os.environ | {"PYTHONHASHSEED": hash_seed}, stdout=subprocess.PIPE, check=True
        )
        return orjson.loads(done.stdout)  # type: ignore[no-any-return]

    plays = [play("0", seconds), play("1", 0), play("4242", 0)]
    first = plays[0]
    digests = tuple(each["digest"] for each in plays)
    return Proof(
        mutant.name,
        seed,
        first["rule"],
        digests,
        first["steps"],
        first["small"],
        first["tries"],
        first["seconds"],
    )


def _play(mutant: Mutant, scenario: str, seed: int, seconds: float, keep: str) -> dict[str, Any]:
    """In the mutant's own process."""
    from limeridge.sim.explore import run_plan, shrink
    from limeridge.sim.plan import draw, to_json
    from limeridge.sim.scenario import load_scenario

    plan = draw(load_scenario(scenario), seed)
    outcome = run_plan(plan)
    told = {"rule": outcome.rule, "digest": outcome.digest, "steps": outcome.steps}
    if seconds > 0:
        begun = time.monotonic()
        smaller, best, tries = shrink(plan, outcome, seconds)
        told |= {"small": best.steps, "tries": tries, "seconds": round(time.monotonic() - begun, 1)}
        if keep:
            Path(keep).write_bytes(to_json(smaller))
    return told


def _main(name: str, scenario: str, first: str, most: str, *more: str) -> None:
    [mutant] = [mutant for mutant in MUTANTS if mutant.name == name]
    if not more:
        seeds, rule = seek(mutant, scenario, int(first), int(most))
        print(seeds or 0, rule)
        return
    sys.meta_path.insert(0, Patched(mutant))
    print(orjson.dumps(_play(mutant, scenario, int(first), float(more[0]), "".join(more[1:]))).decode())


if __name__ == "__main__":
    _main(*sys.argv[1:])
