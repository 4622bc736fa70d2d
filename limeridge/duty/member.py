"""One instance's part in all duties: voting, requesting, holding, renewing and handing over.

Owns the order in which the voter, voter set versions, tenures and candidates are updated. It never opens a
socket, reads a clock or performs a duty: `out` holds messages to send, `events` lines to log, and the code
that performs a duty calls `fencing_token` right before each action.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from limeridge.duty import messages
from limeridge.duty.ballots import NO_TOKEN, Answer, Terms, Token, Voter
from limeridge.duty.candidacy import Candidate, CandidateTiming
from limeridge.duty.electorate import Electorate, VersionTracker
from limeridge.duty.tenure import Tenure

RECOVERY_QUERIES_PER_PROMISE = 4  # per longest promise, until recovery has completed
MAX_PENDING_REQUESTS = 64


@dataclass(slots=True, frozen=True)
class DutySpec:
    """Declaration of a duty. `checks_tokens`: the resource compares fencing tokens. If it does not, a new
    holder waits `first_act_delay` before its first action, so that all actions that the previous holder had
    started are over. `meanwhile`: what happens while the duty has no holder, for `limeridge duty show`."""

    name: str
    terms: Terms = field(default_factory=Terms)
    checks_tokens: bool = False
    first_act_delay: int = 0  # microseconds
    meanwhile: str = "nothing"


@dataclass(slots=True, frozen=True)
class Event:
    """A log line."""

    code: str
    duty: str
    fields: dict[str, object]


class DutyWork(Protocol):
    """The code that performs a duty."""

    def can_perform(self, now: int) -> bool:
        """Whether this member can perform the duty at `now` (its resource is reachable and it is not
        overloaded); checked before it requests the duty and while it holds it."""


@dataclass(slots=True)
class HolderReport:
    """The holder of a duty as last reported by its own notice, valid until `until`."""

    holder: str
    token: Token
    until: int
    note: bytes = b""


class Duties:
    """All duties at one member: its vote, its candidacies and its leases."""

    def __init__(
        self,
        own: str,
        nonce: int,
        electorate: Electorate,
        declared: Mapping[str, DutySpec],
        timing: CandidateTiming,
        rng: random.Random,
        now: int,
        usual: Terms | None = None,
    ) -> None:
        """`declared` are the duties that this instance is a candidate for; it votes on others under the terms
        `usual`."""
        self.own, self.nonce, self.electorate, self.declared = own, nonce, electorate, dict(declared)
        terms = {name: each.terms for name, each in self.declared.items()}
        self.is_voter = own in electorate.voters
        self.voter = Voter(own, terms, electorate.quorum, now, usual)
        self.version_tracker = VersionTracker(electorate)
        self.tenures = {
            name: Tenure(each.terms, own, nonce, electorate.quorum) for name, each in self.declared.items()
        }
        self.candidates = {
            name: Candidate(name, own, timing, each.terms.lease, rng) for name, each in self.declared.items()
        }
        self.work: dict[str, DutyWork] = {}
        self.holder_reports: dict[str, HolderReport] = {}
        self.held_since: dict[str, int] = {}
        self.notes: dict[str, bytes] = {}  # by duty: sent along with this holder's notices
        self.last_reasons: dict[str, str] = {}  # by duty: reason of the last change, for `show`
        self.pending_requests: dict[int, tuple[str, int]] = {}  # by number: duty, send time
        self.seq = 0
        self.out: list[tuple[str, messages.Body]] = []  # receiver's name, or empty for all members
        self.events: list[Event] = []
        self.present: tuple[str, ...] = (own,)
        self.leaving = self.is_degraded = False
        # Reports that arrive during the silent period do not count.
        self.next_recovery_query = now + self.voter.max_promise_duration

    # ---- for the code that performs duties

    def fencing_token(self, duty: str, now: int) -> Token | None:
        """The token to act under at `now`; None if this member must not act. Must be called before each
        action, with the current time."""
        tenure = self.tenures[duty]
        if (
            not tenure.holds(now)
            or now < self.held_since.get(duty, now) + self.declared[duty].first_act_delay
        ):
            return None
        return tenure.token

    def handle_stale_token(self, duty: str, highest: Token, now: int) -> None:
        """Called when the resource refused our token for a newer one; releases the duty even if the lease is
        still valid."""
        tenure = self.tenures[duty]
        tenure.observe_token(highest)
        if tenure.token != NO_TOKEN and not tenure.released and highest > tenure.token:
            self._release_duty(duty, "refused", now)

    def holder(self, duty: str, now: int) -> str:
        """Name of the known holder; empty if there is none."""
        if self.tenures[duty].holds(now):
            return self.own
        report = self.holder_reports.get(duty)
        return report.holder if report is not None and now < report.until else ""

    def status(self, now: int) -> dict[str, object]:
        """The known holders and voters, for `limeridge duty show`."""
        rows = []
        for name, each in self.declared.items():
            tenure, report = self.tenures[name], self.holder_reports.get(name)
            ours = tenure.holds(now)
            token = tenure.token if ours else report.token if report is not None else tenure.highest_known
            left = tenure.remaining(now) if ours else max(0, report.until - now) if report is not None else 0
            rows.append(
                {
                    "duty": name,
                    "holder": self.holder(name, now),
                    "token": token.number,
                    "left_s": round(left / 1e6, 2),
                    "granted_by": sorted(tenure.granted_at) if ours else [],
                    "why": self.last_reasons.get(name, ""),
                    "meanwhile": each.meanwhile,
                }
            )
        return {
            "version": self.electorate.version,
            "voters": list(self.electorate.voters),
            "votes": self.is_voter and self.voter.can_vote(now),
            "newer_set": self.version_tracker.newer_version(),
            "next_set_allowed": self.version_tracker.is_next_version_allowed(),
            "duties": rows,
        }

    # ---- time

    def next_at(self, now: int) -> int:
        """When `wake` must be called next, in microseconds."""
        if self.leaving:
            return 1 << 62
        times = [
            candidate.next_check_at(self.present, self.tenures[name].holds(now), now)
            for name, candidate in self.candidates.items()
        ]
        times += [tenure.expires_at() for tenure in self.tenures.values() if tenure.holds(now)]
        times += [report.until for report in self.holder_reports.values() if report.until > now]
        if self.is_voter and not self.voter.has_recovered():
            times.append(self.next_recovery_query)
        return max(now + 1, min(times, default=1 << 62))

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        """Does all work that is due. `present`: names of all members believed present, this one included;
        `unix`: Unix time in microseconds."""
        if self.leaving:
            return
        self.present = present
        if self.is_voter and not self.voter.has_recovered() and now >= self.next_recovery_query:
            self.next_recovery_query = now + max(
                1, self.voter.max_promise_duration // RECOVERY_QUERIES_PER_PROMISE
            )
            for name in self._other_voters():
                self.out.append((name, messages.RecoveryQuery(self.electorate.version)))
        for name in self.declared:
            self._update(name, unix, now)

    def _other_voters(self) -> list[str]:
        return [name for name in self.electorate.voters if name != self.own]

    def _update(self, duty: str, unix: int, now: int) -> None:
        tenure, candidate = self.tenures[duty], self.candidates[duty]
        self._end_if_expired(duty, now)
        if tenure.holds(now):
            self._maintain(duty, now)
        candidate.observe_holder(bool(self.holder(duty, now)), now)
        if tenure.holds(now):
            return
        if candidate.has_timed_out(now):
            left = max((each.left for each in tenure.refusals.values()), default=0)
            self._release_token(duty, now)
            candidate.back_off(now, left)
        if self.version_tracker.newer_version() or not self._can_perform(duty, now):
            return
        if candidate.should_request(self.present, now):
            self._release_token(duty, now)
            tenure.begin(unix, now)
            candidate.record_request(now)
            self._send_requests(duty, now)

    def _end_if_expired(self, duty: str, now: int) -> None:
        """Records the end of a lease that has expired, possibly while this process was paused. A later lease
        is a new one, and its first action is delayed again. Must run before anything that could start a
        new lease."""
        if duty in self.held_since and not self.tenures[duty].holds(now):
            self._record_end(duty, "lapsed")

    def _can_perform(self, duty: str, now: int) -> bool:
        work = self.work.get(duty)
        return not self.is_degraded and (work is None or work.can_perform(now))

    def _maintain(self, duty: str, now: int) -> None:
        """Renews, hands over or releases a duty that this member holds."""
        candidate = self.candidates[duty]
        if self.version_tracker.newer_version():
            self._release_duty(duty, "newer-set", now)
        elif not self._can_perform(duty, now):
            self._release_duty(
                duty,
                "slow" if self.is_degraded else "unable",
                now,
                candidate.fallback_successor(self.present),
            )
            candidate.back_off(now, self.tenures[duty].terms.lease)
        elif successor := candidate.select_successor(self.present, now):
            self._release_duty(duty, "handed-on", now, successor)
        elif candidate.start_renewal_if_due(now):
            self._send_requests(duty, now)
            self._announce(duty, now)

    # ---- requesting and releasing

    def _send_requests(self, duty: str, now: int) -> None:
        """Sends a request to all voters. The lease starts at `now`, which is read before anything is sent."""
        tenure = self.tenures[duty]
        self.seq += 1
        self.pending_requests[self.seq] = duty, now
        while len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        request = messages.LeaseRequest(duty, tenure.token, self.seq, self.electorate.version)
        for name in self.electorate.voters:
            if name == self.own:
                self._handle_request(self.own, request, now)
            else:
                self.out.append((name, request))

    def _release_token(self, duty: str, now: int, successor: str = "") -> None:
        """Gives up the current token, so that voters may promise the duty to others."""
        tenure = self.tenures[duty]
        if tenure.token == NO_TOKEN or tenure.released:
            return
        keep = self.candidates[duty].timing.answer_timeout * 2 if successor else 0
        release = messages.LeaseRelease(duty, tenure.release(), successor, keep)
        for name in self._other_voters():
            self.out.append((name, release))
        if self.is_voter:
            self.voter.release(duty, release.token, successor, keep, now)

    def _release_duty(self, duty: str, why: str, now: int, successor: str = "") -> None:
        token = self.tenures[duty].token
        # This member no longer acts from here on, so the voters may learn of it at once.
        self._release_token(duty, now, successor)
        if duty in self.held_since:
            self._record_end(duty, why, successor)
        self.out.append(("", messages.HolderNotice(duty, token, 0)))
        if successor:
            self.out.append((successor, messages.Handover(duty, token)))

    def _record_end(self, duty: str, why: str, successor: str = "") -> None:
        self.held_since.pop(duty, None)
        self.last_reasons[duty] = why
        self._log(why, duty, token=self.tenures[duty].token.number, successor=successor)

    def _announce(self, duty: str, now: int) -> None:
        tenure = self.tenures[duty]
        left = tenure.remaining(now)
        if left:
            self.out.append(("", messages.HolderNotice(duty, tenure.token, left, self.notes.get(duty, b""))))

    def release(self, duty: str, successor: str, now: int) -> str:
        """Releases the duty on an operator's request, to `successor` if one is named. Returns an error
        message; empty on success."""
        if duty not in self.declared:
            return f"expected one of {', '.join(sorted(self.declared)) or 'no duties at all'}, got {duty!r}"
        if not self.tenures[duty].holds(now):
            return f"{self.own} does not hold {duty}, {self.holder(duty, now) or 'nobody'} does"
        if successor and (successor == self.own or successor not in self.present):
            return f"expected another member that is present, got {successor!r}"
        self._release_duty(duty, "by-hand", now, successor)
        # Keeps this member from requesting the duty again at once.
        self.candidates[duty].back_off(now, self.tenures[duty].terms.lease)
        return ""

    def leave(self, now: int) -> None:
        """Called before a drain: hands over all duties that are held, and stops voting."""
        for duty in list(self.held_since):
            self._release_duty(duty, "drain", now, self.candidates[duty].fallback_successor(self.present))
        for duty in self.declared:
            self._release_token(duty, now)
        self.leaving = True

    # ---- received messages

    def handle_message(self, sender: str, body: messages.Body, unix: int, now: int) -> None:
        """Handles a message from the member named `sender`."""
        if isinstance(body, messages.LeaseRequest):
            self.version_tracker.observe_version(sender, body.version)
            self._handle_request(sender, body, now)
        elif isinstance(body, messages.LeaseAnswer):
            self.version_tracker.observe_version(sender, body.version)
            self._handle_answer(sender, body, now)
        elif isinstance(body, messages.LeaseRelease):
            if self.is_voter and body.token.name == sender:
                keep = min(body.keep, self.voter.max_promise_duration)
                self.voter.release(body.duty, body.token, body.successor, keep, now)
        elif isinstance(body, messages.Handover):
            self._handle_handover(body, unix, now)
        elif isinstance(body, messages.HolderNotice):
            self._handle_notice(sender, body, now)
        elif isinstance(body, messages.RecoveryQuery):
            self.version_tracker.observe_version(sender, body.version)
            if self.is_voter:
                knows = self.voter.highest_tokens()
                remembers = self.voter.can_vote(now) and self.voter.has_recovered()
                self.out.append((sender, messages.RecoveryReport(self.electorate.version, remembers, knows)))
        elif isinstance(body, messages.RecoveryReport):
            self.version_tracker.observe_version(sender, body.version)
            if self.is_voter and sender in self.electorate.voters:
                self.voter.observe_voter(sender, body.remembers, body.highest, now)

    def _handle_request(self, sender: str, request: messages.LeaseRequest, now: int) -> None:
        if not self.is_voter or self.leaving:
            return
        if not self.version_tracker.accepts_vote(
            self.own, request.version
        ) or not self.version_tracker.is_safe_to_vote(self.own):
            return
        if request.token.name != sender:
            return
        vote = self.voter.handle_request(request.duty, request.token, now)
        if vote is None:
            return
        answer = messages.LeaseAnswer(
            request.duty, request.token, request.seq, self.electorate.version, vote.why, vote.highest,
            vote.holder, vote.left,
        )  # fmt: skip
        if sender == self.own:
            self._handle_answer(self.own, answer, now)
        else:
            self.out.append((sender, answer))

    def _handle_answer(self, voter: str, answer: messages.LeaseAnswer, now: int) -> None:
        pending = self.pending_requests.get(answer.seq)
        if (
            pending is None
            or pending[0] != answer.duty
            or not self.version_tracker.accepts_vote(voter, answer.version)
        ):
            return
        duty, sent_at = pending
        tenure, candidate = self.tenures[duty], self.candidates[duty]
        self._end_if_expired(duty, now)
        tenure.handle_answer(
            voter, Answer(answer.token, answer.why, answer.highest, answer.holder, answer.left), sent_at
        )
        if tenure.holds(now):
            if duty not in self.held_since:
                self.held_since[duty] = now
                self.last_reasons[duty] = "granted"
                candidate.record_grant()
                self._log("granted", duty, token=tenure.token.number, after=now - tenure.requested_at)
                self._announce(duty, now)
        elif candidate.requested_at >= 0 and tenure.is_quorum_unreachable(len(self.electorate.voters)):
            left = max((each.left for each in tenure.refusals.values()), default=0)
            behind = any(each.why == "behind" for each in tenure.refusals.values())
            self._release_token(duty, now)
            candidate.back_off(now, 0 if behind else left)

    def _handle_handover(self, handover: messages.Handover, unix: int, now: int) -> None:
        """Requests a duty that its holder released in favour of this member, under a token above the
        holder's."""
        if handover.duty not in self.declared or self.leaving or self.version_tracker.newer_version():
            return
        tenure, candidate = self.tenures[handover.duty], self.candidates[handover.duty]
        self._end_if_expired(handover.duty, now)
        tenure.observe_token(handover.token)
        report = self.holder_reports.get(handover.duty)
        if report is not None and report.token <= handover.token:
            del self.holder_reports[handover.duty]
        if tenure.holds(now) or not self._can_perform(handover.duty, now):
            return
        self._release_token(handover.duty, now)
        tenure.begin(unix, now)
        candidate.record_request(now)
        self._send_requests(handover.duty, now)

    def _handle_notice(self, sender: str, notice: messages.HolderNotice, now: int) -> None:
        if notice.token.name != sender:
            return
        if self.is_voter and self.voter.handles(notice.duty):
            self.voter.promise_for(notice.duty).observe_token(notice.token)
        if notice.duty not in self.declared:
            return
        tenure, known = self.tenures[notice.duty], self.holder_reports.get(notice.duty)
        tenure.observe_token(notice.token)
        if known is not None and notice.token < known.token:
            return
        left = min(notice.left, self.declared[notice.duty].terms.lease)
        if not left:
            self.holder_reports.pop(notice.duty, None)
            return
        if known is None or known.holder != sender:
            self._log("holder", notice.duty, holder=sender, token=notice.token.number)
        self.holder_reports[notice.duty] = HolderReport(sender, notice.token, now + left, notice.note)

    def _log(self, code: str, duty: str, **fields: object) -> None:
        if len(self.events) < 1_000:
            self.events.append(Event(code, duty, fields))
