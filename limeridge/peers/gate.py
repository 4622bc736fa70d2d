"""Admission control for calls to the records service: checks each call against the share at that moment.

This module counts the calls that may be in progress at the records service, including abandoned ones. It must
not cache the share, because the process may have been suspended since the share was last computed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

# Bounds the rejected calls that count as demand per report: the same call may be retried and rejected often.
MAX_REJECTED_DEMAND = 64


class Gate:
    """Counts calls against a concurrency limit.

    `share` returns the number of concurrent calls allowed now, or None for no limit. `clock` is in
    microseconds and advances while the process is suspended. `linger` is how long the records service goes on
    with an abandoned call, in microseconds.
    """

    def __init__(self, share: Callable[[], int | None], clock: Callable[[], int], linger: int) -> None:
        self.share, self.clock, self.linger = share, clock, linger
        self.active = 0
        self.lingering: deque[int] = deque()  # when each abandoned call ends
        self.rejected = self.lapsed = 0
        self.reported = 0  # rejected calls that have been reported as demand

    def in_flight(self) -> int:
        """Calls that may be in progress at the records service now, including abandoned ones."""
        now = self.clock()
        while self.lingering and self.lingering[0] <= now:
            self.lingering.popleft()
        return self.active + len(self.lingering)

    def collect_demand(self) -> int:
        """Calls that this instance could use: those in flight, those rejected since the last call of this
        method, and headroom of a quarter, since an instance that plans within its share rejects nothing."""
        newly_rejected, self.reported = self.rejected - self.reported, self.rejected
        demand = self.in_flight() + min(newly_rejected, MAX_REJECTED_DEMAND)
        return demand + max(1, demand // 4)

    def begin(self) -> bool:
        """Admits a call before its connection is opened; returns False if the share is used up."""
        share = self.share()
        if share is not None and self.in_flight() + 1 > share:
            self.rejected += 1
            return False
        self.active += 1
        return True

    def still_allowed(self) -> bool:
        """Checks the share again once the connection is open, just before the call is written, because the
        share may have lapsed meanwhile."""
        share = self.share()
        if share is not None and self.in_flight() > share:
            self.lapsed += 1
            return False
        return True

    def end(self, left_behind: bool) -> None:
        """Ends a call. With `left_behind`, the records service may still be working on it, and it counts for
        another `linger` microseconds."""
        self.active = max(0, self.active - 1)
        if left_behind:
            self.lingering.append(self.clock() + self.linger)
