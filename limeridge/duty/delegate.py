"""Connects duties to membership as one of its delegates: encodes and decodes messages, forwards log events.

Owns no state of duties and takes no decisions.
"""

from __future__ import annotations

from limeridge.duty import messages
from limeridge.duty.allotting import CallAllotment
from limeridge.duty.member import Duties
from limeridge.peers.members import Claim
from limeridge.peers.outbox import Event


class DutyDelegate:
    """Delegate for duties and, if configured, for the distribution of calls by need."""

    kind = "duty"

    def __init__(self, duties: Duties, allotment: CallAllotment | None = None) -> None:
        self.duties, self.allotment = duties, allotment
        self.out: list[tuple[str, bytes]] = []
        self.events: list[Event] = []
        self.undecodable = 0  # messages that could not be decoded

    def next_at(self, now: int) -> int:
        """When `wake` must be called next, in microseconds."""
        times = [self.duties.next_at(now)]
        if self.allotment is not None and not self.duties.leaving:
            times.append(max(now + 1, self.allotment.next_request_at))
        return min(times)

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        """Does all work that is due; called at `next_at` or soon after. `present`: names of present members;
        `unix`: Unix time in microseconds."""
        self.duties.wake(present, unix, now)
        if self.allotment is not None:
            self.allotment.wake(now)
        self._collect_output()

    def receive(self, sender: Claim, body: bytes, unix: int, now: int) -> None:
        """Handles a message from another member's delegate; messages that cannot be decoded are counted."""
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
        """Releases all duties that are held here."""
        self.duties.leave(now)
        self._collect_output()

    def release(self, duty: str, successor: str, now: int) -> str:
        """Releases a duty on an operator's request, to `successor` if one is named. Returns an error message;
        empty on success."""
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
