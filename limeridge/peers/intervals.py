"""The intervals by which a member acts, all derived from the length of one probing round.

It owns the defaults. It must never hold state: one value is shared by all parts of a member.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limeridge.peers import probing

MS = 1_000  # microseconds


@dataclass(slots=True, frozen=True)
class Intervals:
    """Intervals of one member, in microseconds."""

    probe_settings: probing.ProbeSettings = field(default_factory=probing.ProbeSettings)
    sync: int = 10_000 * MS  # between two exchanges of whole tables
    min_sync_interval: int = 1_000 * MS  # where a digest tells that tables differ
    reconnect: int = 2_000 * MS  # between two tries to reach one who is held dead, or a seed
    retention: int = 120_000 * MS  # that the gone are kept

    @classmethod
    def from_probe_interval(
        cls, interval: int, timeout: int = 0, helpers: int = 3, sync: int = 0, retention: int = 0
    ) -> Intervals:
        """The intervals that follow from a round of `interval` microseconds.

        `time_out`, `sync` and `remember` are microseconds too; 0 takes the default for that interval.
        """
        stall_threshold = max(interval // 2, 50 * MS)
        probe_settings = probing.ProbeSettings(
            interval, timeout or int(0.3 * interval), helpers, stall_threshold=stall_threshold
        )
        return cls(
            probe_settings, sync or 10 * interval, interval, 2 * interval, retention or cls().retention
        )
