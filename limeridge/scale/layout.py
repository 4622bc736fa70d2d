"""Who is who in a fleet of hollow members: names, addresses, zones, regions, roles, and who shares a process.

Pure: the same fleet has the same layout each time.
"""

from __future__ import annotations

import enum
import ipaddress
import math
from collections.abc import Iterable

import msgspec

from limeridge.duty.allotting import DUTY as ALLOT
from limeridge.peers.digest import rendezvous_score
from limeridge.scale.results import Role

PEER_PORT, LIST_PORT = 7950, 7946
ZONES_MOST, ZONE_LEAST = 18, 4  # zones, and members in one
REGIONS = 6
VOTERS = 5
RACK, RACK_SHARE = 40, 0.2  # members lost with a rack, and the most of a small fleet that this may be
WORKER_MOST = 64  # members in one process
WORKERS_MOST = 14  # processes of ordinary members
HOSTS_PER_NET = 250


class Mode(enum.StrEnum):
    """How the fleet's limit is dealt out: what its voters and holders of duties have to do."""

    VIEWS = "views"  # voters agree on views of the members; one in each zone reads the list
    BY_NEED = "by need"  # the holder of one duty grants parts by need


class Fleet(msgspec.Struct, frozen=True):
    """One fleet. `block` is the second byte of its loopback addresses; `slowdown` is how many seconds its
    second takes, 1 for real time."""

    count: int
    mode: Mode
    block: int
    slowdown: float = 1.0

    @property
    def zones(self) -> int:
        """18, and fewer where a zone would have less than four members."""
        return max(1, min(ZONES_MOST, self.count // ZONE_LEAST))

    def name(self, number: int) -> str:
        return f"n{number:04}"

    def host(self, number: int) -> str:
        net, place = divmod(number, HOSTS_PER_NET)
        return f"127.{self.block}.{net}.{place + 1}"

    def number_at(self, host: str) -> int:
        """The member at an address; -1 for service discovery's."""
        _, _, net, place = ipaddress.IPv4Address(host).packed
        number = net * HOSTS_PER_NET + place - 1
        return number if number < self.count else -1

    @property
    def list_host(self) -> str:
        """Service discovery's address."""
        return f"127.{self.block}.250.1"

    def zone(self, number: int) -> int:
        return number % self.zones

    def zone_name(self, number: int) -> str:
        return f"z{self.zone(number)}"

    def region(self, number: int) -> int:
        return self.zone(number) % REGIONS

    def side(self, number: int) -> int:
        """0 or 1: the half that a member is in where regions are cut apart."""
        return self.region(number) % 2

    def duties(self) -> dict[str, int]:
        """Each duty that is to be held, and the member that is to hold it: the first of its ranking."""
        if self.mode is Mode.BY_NEED:
            return {ALLOT: self._first(range(self.count), ALLOT)}
        zones = {f"list-read z{zone}": range(zone, self.count, self.zones) for zone in range(self.zones)}
        return {duty: self._first(members, duty) for duty, members in zones.items()}

    def _first(self, numbers: Iterable[int], duty: str) -> int:
        """By the ranking with which members ask for a duty."""
        return max(numbers, key=lambda number: rendezvous_score(self.name(number), f"duty {duty}"))

    def readers(self) -> list[int]:
        """Those that are to read the list for their zones."""
        return sorted(self.duties().values()) if self.mode is Mode.VIEWS else []

    def holders(self) -> list[int]:
        """The one that is to grant parts of the limit."""
        return list(self.duties().values()) if self.mode is Mode.BY_NEED else []

    def voters(self) -> list[int]:
        """The first that have no other role; neighbours are in different zones and regions."""
        taken = {*self.readers(), *self.holders()}
        return [number for number in range(self.count) if number not in taken][:VOTERS]

    def ordinary(self) -> list[int]:
        """Those without a role of their own."""
        taken = {*self.readers(), *self.holders(), *self.voters()}
        return [number for number in range(self.count) if number not in taken]

    def rack(self) -> list[int]:
        """Ordinary members that are lost together."""
        return self.ordinary()[-min(RACK, max(1, int(self.count * RACK_SHARE))) :]

    def placements(self) -> list[Placement]:
        """Which members share a process: each role has processes of its own."""
        ordinary = self.ordinary()
        workers = min(WORKERS_MOST, max(1, math.ceil(len(ordinary) / WORKER_MOST)))
        groups = [
            (Role.VOTER, self.voters()),
            (Role.DUTY_HOLDER, self.holders()),
            (Role.LIST_READER, self.readers()),
            *((Role.MEMBER, ordinary[place::workers]) for place in range(workers)),
        ]
        return [Placement(role, tuple(members)) for role, members in groups if members]


class Placement(msgspec.Struct, frozen=True):
    """The members of one process."""

    role: Role
    members: tuple[int, ...]
