"""The voter set: versioned names from the settings file, changed by one name per version.

Owns the sets, their quorums, and the rule for when a voter of a new version may vote. It never derives the
voters from membership: members disagree during a network partition, and a majority of the reachable members
is not a quorum.

An instance has no disk, but its settings file outlives it. So a process votes under the version in its file,
and a process whose file changed is treated as one that has started: it does not vote until all promises that
it may have made have expired. The sets of adjacent versions differ by one name, hence any two of their
quorums share a voter, which votes under only one of the two versions. Sets two versions apart need not
overlap: a voter votes under version w only after a quorum of version w-1's set has reported w-1 or above;
then no quorum of w-2 is left. A file must never go back to an older version.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_VOTERS = 15


@dataclass(slots=True, frozen=True)
class Electorate:
    """The voters of one version of the settings, and those of the previous version."""

    version: int
    voters: tuple[str, ...]
    previous_voters: tuple[str, ...] = ()  # empty in version 1
    doubles: int = 0  # names that two processes may use at the same time

    @property
    def quorum(self) -> int:
        """Smallest size for which any two quorums share more than `doubles` names."""
        return (len(self.voters) + self.doubles) // 2 + 1

    @property
    def previous_quorum(self) -> int:
        """`quorum` of the previous version's voters."""
        return (len(self.previous_voters) + self.doubles) // 2 + 1

    def validation_error(self) -> str:
        """Describes what is invalid; empty if nothing is."""
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
    """Versions of the voter set that other processes have reported."""

    electorate: Electorate
    versions: dict[str, int] = field(default_factory=dict)

    def observe_version(self, name: str, version: int) -> None:
        """Records the version that a process of this name uses. A lower version than before, from a file that
        was rolled back, is ignored."""
        self.versions[name] = max(version, self.versions.get(name, 0))

    def is_safe_to_vote(self, own: str) -> bool:
        """Whether `own` may vote: no quorum of two versions ago can be left."""
        electorate = self.electorate
        if electorate.version <= 2:
            # Version 1 has no predecessor, and version 2's only predecessor is version 1.
            return True
        updated = sum(
            name == own or self.versions.get(name, 0) >= electorate.version - 1
            for name in electorate.previous_voters
        )
        return updated >= electorate.previous_quorum

    def accepts_vote(self, voter: str, version: int) -> bool:
        """Whether a vote under `version` is valid for this process."""
        return voter in self.electorate.voters and version == self.electorate.version

    def newer_version(self) -> int:
        """The highest reported version above the own one; 0 if there is none. A process that sees one stops
        requesting duties, because its voter set is outdated."""
        highest = max(self.versions.values(), default=0)
        return highest if highest > self.electorate.version else 0

    def is_next_version_allowed(self) -> bool:
        """Whether the settings may move to the next version: a quorum of this version's set uses it."""
        updated = sum(
            self.versions.get(name, 0) >= self.electorate.version for name in self.electorate.voters
        )
        return updated >= self.electorate.quorum
