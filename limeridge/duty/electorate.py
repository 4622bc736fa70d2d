"""Who votes: a set of names in a version that the settings file holds, changed by one name at a time.

It owns the sets, their quorum, and whether a voter of a new version may vote yet. It must never take the
members' word for who votes: membership believes this and that in a cut, and a majority of those in reach is
none.

An instance has no disk of its own, but its settings file outlives it. So the version that a process votes
under is its file's, and a process whose file changed counts as one that has started: silent until all it
may have promised is over. Sets of versions next to each other differ by one name, hence any two of their
quorums share a voter, and that voter votes under one of the two alone. Two versions apart they need not: a
voter votes under version w only once it has heard from a quorum of version w-1's set that they are at w-1
or above; then no quorum of w-2 is left. A file must never go back to an older version.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_VOTERS = 15


@dataclass(slots=True, frozen=True)
class Electorate:
    """The voters of one version of the settings, and those of the version before."""

    version: int
    voters: tuple[str, ...]
    previous_voters: tuple[str, ...] = ()  # of the version before, from version 2 on
    doubles: int = 0  # names that two processes may hold at once

    @property
    def quorum(self) -> int:
        """Two of them share more than `doubles` names."""
        return (len(self.voters) + self.doubles) // 2 + 1

    @property
    def previous_quorum(self) -> int:
        """As `quorum`, of the voters of the version before."""
        return (len(self.previous_voters) + self.doubles) // 2 + 1

    def validation_error(self) -> str:
        """What is wrong with it, in words; empty where nothing is."""
        if not self.voters:
            return "expected a voter or more"
        if len(set(self.voters)) < len(self.voters):
            return "expected each voter once"
        if len(self.voters) > MAX_VOTERS:
            return f"expected {MAX_VOTERS} voters at most, got {len(self.voters)}"
        if self.quorum > len(self.voters):
            return f"expected more voters: {self.quorum} of {len(self.voters)} would be needed"
        if self.version < 1:
            return "expected a version from 1 on"
        if self.version == 1:
            return "expected no `before` in version 1" if self.previous_voters else ""
        changed = set(self.voters) ^ set(self.previous_voters)
        if len(changed) != 1:
            names = ", ".join(sorted(changed)) or "none"
            return f"expected one voter more or one less than before, got {len(changed)} changes ({names})"
        return ""


@dataclass(slots=True)
class VersionTracker:
    """What one process knows of the others' versions."""

    electorate: Electorate
    versions: dict[str, int] = field(default_factory=dict)

    def observe_version(self, name: str, version: int) -> None:
        """The version that a process of this name runs; it may go back where the name's file did, which is
        shown and not believed."""
        self.versions[name] = max(version, self.versions.get(name, 0))

    def is_safe_to_vote(self, own: str) -> bool:
        """Whether no quorum of the version before the last one can be left: we may vote."""
        electorate = self.electorate
        if electorate.version <= 2:
            # Version 1 has nothing before it, and version 2's only neighbour is version 1.
            return True
        updated = sum(
            name == own or self.versions.get(name, 0) >= electorate.version - 1
            for name in electorate.previous_voters
        )
        return updated >= electorate.previous_quorum

    def accepts_vote(self, voter: str, version: int) -> bool:
        """Whether a vote given under `version` counts for us."""
        return voter in self.electorate.voters and version == self.electorate.version

    def newer_version(self) -> int:
        """The highest version that somebody runs above ours; 0 where there is none. Who sees one asks for
        nothing any more: its set is of the past."""
        highest = max(self.versions.values(), default=0)
        return highest if highest > self.electorate.version else 0

    def is_next_version_allowed(self) -> bool:
        """Whether the settings may go on to another version: a quorum of this one's set is at it."""
        updated = sum(
            self.versions.get(name, 0) >= self.electorate.version for name in self.electorate.voters
        )
        return updated >= self.electorate.quorum
