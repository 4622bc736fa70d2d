"""Duties as a delegate of membership: bodies to bytes and back, events into lines of the log.

It owns nothing of its own. It must never judge.
"""

from __future__ import annotations

from limeridge.duty import messages
from limeridge.duty.allotting import CallAllotment
from limeridge.duty.member import Duties
from limeridge.peers.members import Claim
from limeridge.peers.outbox import Event


class DutyDelegate:
    """Duties, and dealing by need where it is on, as a part that members carry."""

    kind = "duty"

    def __init__(self, duties: Duties, allotment: CallAllotment | None = None) -> None:
        self.duties, self.allotment = duties, allotment
        self.out: list[tuple[str, bytes]] = []
        self.events: list[Event] = []
        self.undecodable = 0  # bodies that could not be read

    def next_at(self, now: int) -> int:
        """When it is to be woken next, microseconds."""
        times = [self.duties.next_at(now)]
        if self.allotment is not None and not self.duties.leaving:
            times.append(max(now + 1, self.allotment.next_request_at))
        return min(times)

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        """Called at `next_at` or soon after; `present` are names, `unix` is Unix time in microseconds."""
        self.duties.wake(present, unix, now)
        if self.allotment is not None:
            self.allotment.wake(now)
        self._collect_output()

    def heard(self, sender: Claim, body: bytes, unix: int, now: int) -> None:
        """Takes what the same part of another member sent; what cannot be read is counted."""
        message = messages.decode(body)
        if message is None:
            self.undecodable += 1
            return
        if isinstance(message, messages.Need | messages.Grant):
            self._handle_allotment_message(sender, message, now)
        else:
            self.duties.handle_message(sender.name, message, unix, now)
        self._collect_output()

    def _handle_allotment_message(
        self, sender: Claim, message: messages.Need | messages.Grant, now: int
    ) -> None:
        if self.allotment is None:
            return
        if isinstance(message, messages.Need):
            self.allotment.handle_need(sender.name, sender.key, message.seq, message.calls, now)
        else:
            self.allotment.handle_grant(message.seq, message.calls, message.to)

    def leave(self, now: int) -> None:
        """Gives back all duties that are held here."""
        self.duties.leave(now)
        self._collect_output()

    def release(self, duty: str, successor: str, now: int) -> str:
        """Gives a duty back by hand, to `successor` where one is named; what was wrong, or empty."""
        error = self.duties.release(duty, successor, now)
        self._collect_output()
        return error

    def _collect_output(self) -> None:
        duties = self.duties
        self.out += [(to, messages.encode(body)) for to, body in duties.out]
        duties.out.clear()
        if self.allotment is not None:
            for to, kind, seq, calls, key in self.allotment.out:
                message = messages.Need(seq, calls) if kind == "need" else messages.Grant(seq, calls, key)
                self.out.append((to, messages.encode(message)))
            self.allotment.out.clear()
        self.events += [Event("duty", each.code, {"duty": each.duty} | each.fields) for each in duties.events]
        duties.events.clear()
