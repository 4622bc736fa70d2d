"""The settings of membership: a file of settings/peers.proto, checked across its fields.

It owns the checks and the defaults. It must never open a socket.
"""

from __future__ import annotations

import ipaddress
import stat
from dataclasses import dataclass
from pathlib import Path

from limeridge.duty.ballots import Terms as DutyTerms
from limeridge.duty.candidacy import CandidateTiming
from limeridge.duty.electorate import Electorate
from limeridge.peers.habits import Habits
from limeridge.peers.members import Address
from limeridge.peers.messages import key_of
from limeridge.peers.shares import Terms
from limeridge.settings import peers_pb2 as pb
from limeridge.settings.load import Checked, load

MS = 1_000
KEY_LEAST = 16  # bytes
TEXT_MOST = 32  # of a zone's name: it goes with each claim
NAME_MOST = 64
SOCKET_MOST = 100  # bytes of a Unix socket's path


@dataclass(slots=True, frozen=True)
class DutySetup:
    """Checked; times in microseconds."""

    electorate: Electorate
    terms: DutyTerms
    waits: CandidateTiming
    list_read: bool
    allot: int  # microseconds that a grant of calls lasts; 0 where the limit is not dealt by need


@dataclass(slots=True, frozen=True)
class PeerSetup:
    """Checked; times in microseconds."""

    listen: Address  # an empty host stands for the one where callers connect
    advertise: Address | None
    zone: str
    seeds: tuple[Address, ...]
    show: str
    key: bytes
    habits: Habits
    terms: Terms | None
    linger: int  # -1 where the configuration tells it
    longest_told: bool
    from_list: bool = False  # members are also found by service discovery
    duties: DutySetup | None = None


def read(path: str) -> PeerSetup:
    """Raises Unusable with file, line, column, field."""
    message = load(path, pb.Peers(), check)
    return setup_of(message)


def check(message: pb.Peers, checked: Checked) -> None:
    """Raises Unusable, with line and field, where the file of membership is at fault."""
    if not message.fleet or len(message.fleet) > NAME_MOST:
        raise checked.refuse("fleet", f"expected a name of 1 to {NAME_MOST} characters")
    _check_key(message, checked)
    host, _ = _address(message.listen, "listen", checked, any_host=True)
    if not message.listen:
        raise checked.refuse("listen", "expected host:port, or :port")
    if message.advertise:
        _address(message.advertise, "advertise", checked)
    elif host in ("0.0.0.0", "::"):
        raise checked.refuse("listen", "expected `advertise` beside an address that nobody can be sent to")
    for number, seed in enumerate(message.seed):
        _address(seed, f"seed[{number}]", checked)
    if len(message.zone) > TEXT_MOST:
        raise checked.refuse("zone", f"expected {TEXT_MOST} characters at most")
    if len(message.show.encode()) > SOCKET_MOST:
        raise checked.refuse("show", f"expected a path of {SOCKET_MOST} bytes at most")
    interval = message.interval_ms or 1_000
    checked.number("interval_ms", interval, 20, 60_000, "milliseconds")
    time_out = message.time_out_ms or 0.3 * interval
    checked.number("time_out_ms", time_out, 5, 0.75 * interval, "milliseconds (3/4 of a round at most)")
    checked.number("helpers", message.helpers or 3, 1, 10, "a number of members")
    checked.number("sync_ms", message.sync_ms or 10 * interval, interval, 3_600_000, "milliseconds")
    checked.number("remember_ms", message.remember_ms or 120_000, 10 * interval, 86_400_000, "milliseconds")
    if message.HasField("shares"):
        _check_shares(message.shares, checked)
    if message.HasField("duties"):
        _check_duties(message, checked)


def _check_duties(message: pb.Peers, checked: Checked) -> None:
    duties = message.duties
    for place, names in (("voter", duties.voter), ("before", duties.before)):
        for number, name in enumerate(names):
            if not name or len(name) > NAME_MOST:
                raise checked.refuse(
                    f"duties.{place}[{number}]", f"expected a name of 1 to {NAME_MOST} characters"
                )
    checked.number("duties.version", duties.version, 1, 1_000_000, "a version")
    if wrong := _electorate(duties).validation_error():
        place = "before" if "change" in wrong or "before" in wrong else "voter"
        raise checked.refuse(f"duties.{place}", wrong)
    lease = duties.lease_ms or 3_000
    checked.number("duties.lease_ms", lease, 100, 600_000, "milliseconds")
    checked.number("duties.drift", duties.drift if duties.HasField("drift") else 0.001, 0, 0.2, "a share")
    checked.number("duties.step_ms", duties.step_ms or 200, 1, lease, "milliseconds within the lease")
    checked.number("duties.steady_ms", duties.steady_ms or 30_000, lease, 86_400_000, "milliseconds")
    checked.number("duties.allot_ms", duties.allot_ms or 1_500, 100, 600_000, "milliseconds")
    if duties.ledger_allot and not message.HasField("shares"):
        raise checked.refuse("duties.ledger_allot", "expected `shares` beside it: their surplus is dealt out")
    if duties.list_read and not message.from_list:
        raise checked.refuse("duties.list_read", "expected `from_list: true` beside it")


def _electorate(duties: pb.Duties) -> Electorate:
    return Electorate(duties.version, tuple(duties.voter), tuple(duties.before), duties.doubles)


def _check_key(message: pb.Peers, checked: Checked) -> None:
    if not message.key_file:
        raise checked.refuse("key_file", "expected the path of a file")
    try:
        path = Path(message.key_file)
        mode, size = path.stat().st_mode, len(path.read_bytes().strip())
    except OSError as trouble:
        told = f"expected a file that can be read, got {trouble.strerror}"
        raise checked.refuse("key_file", told) from None
    if size < KEY_LEAST:
        raise checked.refuse("key_file", f"expected {KEY_LEAST} bytes or more in it, got {size}")
    if mode & (stat.S_IRWXO | stat.S_IWGRP):
        raise checked.refuse("key_file", f"expected no way in for others, its mode is {stat.S_IMODE(mode):o}")


def _check_shares(shares: pb.Shares, checked: Checked) -> None:
    checked.number("shares.limit", shares.limit, 1, 1_000_000, "calls")
    checked.number("shares.capacity", shares.capacity, 1, 100_000, "processes")
    for number, name in enumerate(shares.voter):
        place = f"shares.voter[{number}]"
        if not name or len(name) > NAME_MOST:
            raise checked.refuse(place, f"expected a name of 1 to {NAME_MOST} characters")
        if name in shares.voter[:number]:
            raise checked.refuse(place, f"expected each name once, {name} stands there twice")
    if len(shares.voter) > shares.capacity:
        raise checked.refuse("shares.voter", f"expected {shares.capacity} at most, as there are processes")
    terms = _terms(shares)
    voters = len(shares.voter) or shares.capacity
    if terms.quorum > voters:
        raise checked.refuse("shares.doubles", f"expected less: {terms.quorum} of {voters} voters are needed")
    checked.number("shares.floor_share", terms.floor_share, 0, 1, "a share")
    checked.number("shares.lease_ms", terms.lease / MS, 100, 600_000, "milliseconds")
    checked.number("shares.longest_ms", terms.longest / MS, 1, 600_000, "milliseconds")
    lease, longest = terms.lease / MS, terms.longest / MS
    checked.number("shares.settle_ms", terms.settle / MS, 10, lease, "milliseconds within the lease")
    checked.number("shares.drift", terms.drift, 0, 0.2, "a share")
    checked.number("shares.linger_ms", shares.linger_ms, 0, longest, "milliseconds within longest_ms")
    if terms.surplus < 1 and terms.floor < 1:
        raise checked.refuse("shares.limit", "expected a call or more to share out")


def _address(given: str, path: str, checked: Checked, any_host: bool = False) -> Address:
    host, _, port = given.rpartition(":")
    host = host.strip("[]")
    try:
        if host or not any_host:
            ipaddress.ip_address(host)
    except ValueError:
        raise checked.refuse(path, "expected an IP address and a port, as in 127.0.0.1:7950") from None
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        raise checked.refuse(path, "expected a port from 1 to 65535 behind the address")
    return host, int(port)


def _plain(given: str) -> Address:
    host, _, port = given.rpartition(":")
    return host.strip("[]"), int(port)


def _terms(shares: pb.Shares) -> Terms:
    return Terms(
        limit=shares.limit,
        capacity=shares.capacity,
        voters=tuple(shares.voter),
        doubles=shares.doubles if shares.HasField("doubles") else 1,
        floor_share=shares.floor_share if shares.HasField("floor_share") else 0.5,
        lease=int((shares.lease_ms or 3_000) * MS),
        longest=int((shares.longest_ms or 2_000) * MS),
        settle=int((shares.settle_ms or 500) * MS),
        drift=shares.drift if shares.HasField("drift") else 0.001,
    )


def setup_of(message: pb.Peers) -> PeerSetup:
    """The settings that a file, checked already, comes to; absent fields get their defaults. Raises OSError
    where the key file has gone since."""
    interval = int((message.interval_ms or 1_000) * MS)
    habits = Habits.paced(
        interval,
        int(message.time_out_ms * MS),
        message.helpers or 3,
        int(message.sync_ms * MS),
        int(message.remember_ms * MS),
    )
    shares = message.shares if message.HasField("shares") else None
    return PeerSetup(
        _plain(message.listen),
        _plain(message.advertise) if message.advertise else None,
        message.zone,
        tuple(map(_plain, message.seed)),
        message.show,
        key_of(message.fleet, Path(message.key_file).read_bytes().strip()),
        habits,
        _terms(shares) if shares is not None else None,
        int(shares.linger_ms * MS) if shares is not None and shares.linger_ms else -1,
        shares is not None and shares.longest_ms > 0,
        message.from_list,
        _duties(message.duties) if message.HasField("duties") else None,
    )


def _duties(duties: pb.Duties) -> DutySetup:
    lease = int((duties.lease_ms or 3_000) * MS)
    drift = duties.drift if duties.HasField("drift") else 0.001
    step = int((duties.step_ms or 200) * MS)
    return DutySetup(
        _electorate(duties),
        DutyTerms(lease, drift, margin=min(50 * MS, lease // 10)),
        CandidateTiming(
            step,
            answer_timeout=2 * step,
            max_backoff=10 * step,
            min_presence=int((duties.steady_ms or 30_000) * MS),
        ),
        duties.list_read,
        int((duties.allot_ms or 1_500) * MS) if duties.ledger_allot else 0,
    )
