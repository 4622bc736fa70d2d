"""Duties as a delegate of membership: bodies to bytes and back, events into lines of the log.

It owns nothing of its own. It must never judge.
"""

from __future__ import annotations

from limeridge.duty import messages
from limeridge.duty.allotting import Allotting
from limeridge.duty.member import Duties
from limeridge.peers.members import Claim
from limeridge.peers.outbox import Event


class DutyDelegate:
    """Duties, and dealing by need where it is on, as a part that members carry."""

    kind = "duty"

    def __init__(self, duties: Duties, allotting: Allotting | None = None) -> None:
        self.duties, self.allotting = duties, allotting
        self.out: list[tuple[str, bytes]] = []
        self.events: list[Event] = []
        self.strange = 0  # bodies that could not be read

    def next_at(self, now: int) -> int:
        """When it is to be woken next, microseconds."""
        times = [self.duties.next_at(now)]
        if self.allotting is not None and not self.duties.leaving:
            times.append(max(now + 1, self.allotting.next_ask))
        return min(times)

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        """Called at `next_at` or soon after; `present` are names, `unix` is Unix time in microseconds."""
        self.duties.wake(present, unix, now)
        if self.allotting is not None:
            self.allotting.wake(now)
        self._take()

    def heard(self, sender: Claim, body: bytes, unix: int, now: int) -> None:
        """Takes what the same part of another member sent; what cannot be read is counted."""
        said = messages.decode(body)
        if said is None:
            self.strange += 1
            return
        if isinstance(said, messages.Need | messages.Grant):
            self._allot(sender, said, now)
        else:
            self.duties.handle_message(sender.name, said, unix, now)
        self._take()

    def _allot(self, sender: Claim, said: messages.Need | messages.Grant, now: int) -> None:
        if self.allotting is None:
            return
        if isinstance(said, messages.Need):
            self.allotting.heard_need(sender.name, sender.key, said.seq, said.calls, now)
        else:
            self.allotting.heard_grant(said.seq, said.calls, said.to)

    def leave(self, now: int) -> None:
        """Gives back all duties that are held here."""
        self.duties.leave(now)
        self._take()

    def release(self, duty: str, successor: str, now: int) -> str:
        """Gives a duty back by hand, to `successor` where one is named; what was wrong, or empty."""
        trouble = self.duties.release(duty, successor, now)
        self._take()
        return trouble

    def _take(self) -> None:
        duties = self.duties
        self.out += [(to, messages.encode(body)) for to, body in duties.out]
        duties.out.clear()
        if self.allotting is not None:
            for to, what, seq, calls, key in self.allotting.out:
                word = messages.Need(seq, calls) if what == "need" else messages.Grant(seq, calls, key)
                self.out.append((to, messages.encode(word)))
            self.allotting.out.clear()
        self.events += [Event("duty", each.code, {"duty": each.duty} | each.fields) for each in duties.events]
        duties.events.clear()
