"""The intervals of a member's periodic activities, derived from the length of a probe round.

The values are immutable and shared by all components of a member.
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
    min_sync_interval: int = 1_000 * MS  # minimum between two exchanges with a member whose digest differs
    reconnect: int = 2_000 * MS  # between two attempts to contact a dead member or a seed
    retention: int = 120_000 * MS  # for which dead and departed members are kept in the table

    @classmethod
    def from_probe_interval(
        cls, interval: int, timeout: int = 0, helpers: int = 3, sync: int = 0, retention: int = 0
    ) -> Intervals:
        """Derives all intervals from a probe round of `interval` microseconds.

        `timeout`, `sync` and `retention` are in microseconds as well; 0 selects the default.
        """
        stall_threshold = max(interval // 2, 50 * MS)
        probe_settings = probing.ProbeSettings(
            interval, timeout or int(0.3 * interval), helpers, stall_threshold=stall_threshold
        )
        return cls(
            probe_settings, sync or 10 * interval, interval, 2 * interval, retention or cls().retention
        )
