"""Duties as a guest of membership: bodies to bytes and back, events into lines of the log.

It owns nothing of its own. It must never judge.
"""

from __future__ import annotations

from limeridge.duty import words
from limeridge.duty.member import Duties
from limeridge.peers.members import Claim
from limeridge.peers.peer import Event


class DutyGuest:
    kind = "duty"

    def __init__(self, duties: Duties) -> None:
        self.duties = duties
        self.out: list[tuple[str, bytes]] = []
        self.events: list[Event] = []
        self.strange = 0  # bodies that could not be read

    def next_at(self, now: int) -> int:
        return self.duties.next_at(now)

    def wake(self, present: tuple[str, ...], unix: int, now: int) -> None:
        self.duties.wake(present, unix, now)
        self._take()

    def heard(self, sender: Claim, body: bytes, unix: int, now: int) -> None:
        said = words.decode(body)
        if said is None:
            self.strange += 1
            return
        self.duties.heard(sender.name, said, unix, now)
        self._take()

    def leave(self, now: int) -> None:
        self.duties.leave(now)
        self._take()

    def _take(self) -> None:
        duties = self.duties
        self.out += [(to, words.encode(body)) for to, body in duties.out]
        duties.out.clear()
        self.events += [Event("duty", each.code, {"duty": each.duty} | each.fields) for each in duties.events]
        duties.events.clear()
