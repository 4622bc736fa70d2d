"""The last look before a call goes out: whether the share that holds now has room for it.

It owns the count of calls that may be at the records service, those left behind there among them. It must
never keep a share: it asks for it anew each time, since the process may have stood still since it last did.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MAX_REJECTED_DEMAND = 64  # of one time: callers come back, and each of their tries is turned away anew


class Gate:
    """`share` gives the calls in hand allowed now, or None for any number; `clock` is in microseconds and
    runs on while the process stands still; `linger` is how long the records service keeps a call that its
    caller left."""

    def __init__(self, share: Callable[[], int | None], clock: Callable[[], int], linger: int) -> None:
        self.share, self.clock, self.linger = share, clock, linger
        self.active = 0
        self.lingering: deque[int] = deque()  # when each is over
        self.rejected = self.lapsed = 0
        self.reported = 0  # of those turned away, how many were told as need

    def in_flight(self) -> int:
        """Calls that may be at the records service now, those left behind there among them."""
        now = self.clock()
        while self.lingering and self.lingering[0] <= now:
            self.lingering.popleft()
        return self.active + len(self.lingering)

    def collect_demand(self) -> int:
        """Calls that could be used: those in hand, those turned away since this was last asked, and room to
        grow by a quarter, for who plans by the share it has turns nobody away."""
        newly_rejected, self.reported = self.rejected - self.reported, self.rejected
        demand = self.in_flight() + min(newly_rejected, MAX_REJECTED_DEMAND)
        return demand + max(1, demand // 4)

    def begin(self) -> bool:
        """Before a connection is opened; True counts the call."""
        share = self.share()
        if share is not None and self.in_flight() + 1 > share:
            self.rejected += 1
            return False
        self.active += 1
        return True

    def still(self) -> bool:
        """Once the connection stands, right before the call is written: opening it took time."""
        share = self.share()
        if share is not None and self.in_flight() > share:
            self.lapsed += 1
            return False
        return True

    def end(self, left_behind: bool) -> None:
        """Counts a call out; `left_behind` where the records service may still work on it, for `linger`
        microseconds."""
        self.active = max(0, self.active - 1)
        if left_behind:
            self.lingering.append(self.clock() + self.linger)
