"""Reads and validates the membership settings (settings/peers.proto), and fills in the defaults."""

from __future__ import annotations

import ipaddress
import stat
from dataclasses import dataclass
from pathlib import Path

from limeridge.duty.ballots import Terms as DutyTerms
from limeridge.duty.candidacy import CandidateTiming
from limeridge.duty.electorate import Electorate
from limeridge.peers.intervals import Intervals
from limeridge.peers.members import Address
from limeridge.peers.messages import derive_key
from limeridge.peers.shares import Terms
from limeridge.settings import peers_pb2 as pb
from limeridge.settings.load import Checked, load

MS = 1_000
MIN_KEY_BYTES = 16
MAX_ZONE_LENGTH = 32  # characters; the zone is part of every claim on the wire
MAX_NAME_LENGTH = 64
MAX_SOCKET_PATH_BYTES = 100  # of a Unix socket


@dataclass(slots=True, frozen=True)
class DutySetup:
    """Validated settings of the duties; times are in microseconds."""

    electorate: Electorate
    terms: DutyTerms
    waits: CandidateTiming
    list_read: bool
    allot: int  # microseconds that a grant of calls lasts; 0 if the limit is not allotted by demand


@dataclass(slots=True, frozen=True)
class PeerSetup:
    """Validated membership settings; times are in microseconds."""

    listen: Address  # an empty host stands for the address where callers connect
    advertise: Address | None
    zone: str
    seeds: tuple[Address, ...]
    show: str
    key: bytes
    intervals: Intervals
    terms: Terms | None
    linger: int  # -1: taken from the configuration
    longest_configured: bool
    from_list: bool = False  # members are also found by service discovery
    duties: DutySetup | None = None


def read(path: str) -> PeerSetup:
    """Reads the settings file. Raises Unusable with file, line, column and field."""
    message = load(path, pb.Peers(), check)
    return build_setup(message)


def check(message: pb.Peers, checked: Checked) -> None:
    """Validates the settings. Raises Unusable with line and field."""
    if not message.fleet or len(message.fleet) > MAX_NAME_LENGTH:
        raise checked.refuse("fleet", f"expected a name of 1 to {MAX_NAME_LENGTH} characters")
    _check_key(message, checked)
    host, _ = _check_address(message.listen, "listen", checked, any_host=True)
    if not message.listen:
        raise checked.refuse("listen", "expected host:port, or :port")
    if message.advertise:
        _check_address(message.advertise, "advertise", checked)
    elif host in ("0.0.0.0", "::"):
        raise checked.refuse(
            "listen", "expected `advertise` as well, since a wildcard address cannot be contacted"
        )
    for number, seed in enumerate(message.seed):
        _check_address(seed, f"seed[{number}]", checked)
    if len(message.zone) > MAX_ZONE_LENGTH:
        raise checked.refuse("zone", f"expected {MAX_ZONE_LENGTH} characters at most")
    if len(message.show.encode()) > MAX_SOCKET_PATH_BYTES:
        raise checked.refuse("show", f"expected a path of {MAX_SOCKET_PATH_BYTES} bytes at most")
    interval = message.interval_ms or 1_000
    checked.number("interval_ms", interval, 20, 60_000, "milliseconds")
    timeout = message.time_out_ms or 0.3 * interval
    checked.number("time_out_ms", timeout, 5, 0.75 * interval, "milliseconds (3/4 of a round at most)")
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
            if not name or len(name) > MAX_NAME_LENGTH:
                raise checked.refuse(
                    f"duties.{place}[{number}]", f"expected a name of 1 to {MAX_NAME_LENGTH} characters"
                )
    checked.number("duties.version", duties.version, 1, 1_000_000, "a version")
    if fault := _electorate(duties).validation_error():
        place = "before" if "change" in fault or "before" in fault else "voter"
        raise checked.refuse(f"duties.{place}", fault)
    lease = duties.lease_ms or 3_000
    checked.number("duties.lease_ms", lease, 100, 600_000, "milliseconds")
    checked.number("duties.drift", duties.drift if duties.HasField("drift") else 0.001, 0, 0.2, "a share")
    checked.number("duties.step_ms", duties.step_ms or 200, 1, lease, "milliseconds within the lease")
    checked.number("duties.steady_ms", duties.steady_ms or 30_000, lease, 86_400_000, "milliseconds")
    checked.number("duties.allot_ms", duties.allot_ms or 1_500, 100, 600_000, "milliseconds")
    if duties.ledger_allot and not message.HasField("shares"):
        raise checked.refuse(
            "duties.ledger_allot", "expected `shares` as well, since their surplus is allotted"
        )
    if duties.list_read and not message.from_list:
        raise checked.refuse("duties.list_read", "expected `from_list: true` as well")


def _electorate(duties: pb.Duties) -> Electorate:
    return Electorate(duties.version, tuple(duties.voter), tuple(duties.before), duties.doubles)


def _check_key(message: pb.Peers, checked: Checked) -> None:
    if not message.key_file:
        raise checked.refuse("key_file", "expected the path of a file")
    try:
        path = Path(message.key_file)
        mode, size = path.stat().st_mode, len(path.read_bytes().strip())
    except OSError as error:
        reason = f"expected a file that can be read, got {error.strerror}"
        raise checked.refuse("key_file", reason) from None
    if size < MIN_KEY_BYTES:
        raise checked.refuse("key_file", f"expected {MIN_KEY_BYTES} bytes or more in it, got {size}")
    if mode & (stat.S_IRWXO | stat.S_IWGRP):
        raise checked.refuse("key_file", f"expected no way in for others, its mode is {stat.S_IMODE(mode):o}")


def _check_shares(shares: pb.Shares, checked: Checked) -> None:
    checked.number("shares.limit", shares.limit, 1, 1_000_000, "calls")
    checked.number("shares.capacity", shares.capacity, 1, 100_000, "processes")
    for number, name in enumerate(shares.voter):
        place = f"shares.voter[{number}]"
        if not name or len(name) > MAX_NAME_LENGTH:
            raise checked.refuse(place, f"expected a name of 1 to {MAX_NAME_LENGTH} characters")
        if name in shares.voter[:number]:
            raise checked.refuse(place, f"expected each name once, got {name} twice")
    if len(shares.voter) > shares.capacity:
        raise checked.refuse("shares.voter", f"expected at most {shares.capacity} voters, the capacity")
    terms = _share_terms(shares)
    voters = len(shares.voter) or shares.capacity
    if terms.quorum > voters:
        raise checked.refuse(
            "shares.doubles", f"expected less: a quorum would be {terms.quorum} of {voters} voters"
        )
    checked.number("shares.floor_share", terms.floor_share, 0, 1, "a share")
    checked.number("shares.lease_ms", terms.lease / MS, 100, 600_000, "milliseconds")
    checked.number("shares.longest_ms", terms.longest / MS, 1, 600_000, "milliseconds")
    lease, longest = terms.lease / MS, terms.longest / MS
    checked.number("shares.settle_ms", terms.settle / MS, 10, lease, "milliseconds within the lease")
    checked.number("shares.drift", terms.drift, 0, 0.2, "a share")
    checked.number("shares.linger_ms", shares.linger_ms, 0, longest, "milliseconds within longest_ms")
    if terms.surplus < 1 and terms.floor < 1:
        raise checked.refuse("shares.limit", "expected at least one call to share")


def _check_address(text: str, path: str, checked: Checked, any_host: bool = False) -> Address:
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        if host or not any_host:
            ipaddress.ip_address(host)
    except ValueError:
        raise checked.refuse(path, "expected an IP address and a port, as in 127.0.0.1:7950") from None
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        raise checked.refuse(path, "expected a port from 1 to 65535 after the address")
    return host, int(port)


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def _share_terms(shares: pb.Shares) -> Terms:
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


def build_setup(message: pb.Peers) -> PeerSetup:
    """Converts a validated message to settings, with defaults for absent fields. Raises OSError if the key
    file has been removed since."""
    interval = int((message.interval_ms or 1_000) * MS)
    intervals = Intervals.from_probe_interval(
        interval,
        int(message.time_out_ms * MS),
        message.helpers or 3,
        int(message.sync_ms * MS),
        int(message.remember_ms * MS),
    )
    shares = message.shares if message.HasField("shares") else None
    return PeerSetup(
        _parse_address(message.listen),
        _parse_address(message.advertise) if message.advertise else None,
        message.zone,
        tuple(map(_parse_address, message.seed)),
        message.show,
        derive_key(message.fleet, Path(message.key_file).read_bytes().strip()),
        intervals,
        _share_terms(shares) if shares is not None else None,
        int(shares.linger_ms * MS) if shares is not None and shares.linger_ms else -1,
        shares is not None and shares.longest_ms > 0,
        message.from_list,
        _duty_setup(message.duties) if message.HasField("duties") else None,
    )


def _duty_setup(duties: pb.Duties) -> DutySetup:
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
