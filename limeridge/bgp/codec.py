"""BGP messages: bytes to typed values, decoded once, and back, encoded once.

It owns the form of OPEN, UPDATE, NOTIFICATION, KEEPALIVE and ROUTE-REFRESH (RFC 4271 section 4, RFC 2918), of
capabilities (RFC 5492), of routes of IPv6 (RFC 4760), four-octet AS numbers (RFC 6793), communities (RFC
1997, 8092), extended messages (RFC 8654), and what a bad form means (RFC 4271 section 6, RFC 7606). It must
never hold a session's state: what two ends agreed on is handed in. Every length is bounded before anything is
made of it.
"""

from __future__ import annotations

import ipaddress
import unicodedata
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum

MARKER = b"\xff" * 16
HEAD = 19
USUAL_MOST, EXTENDED_MOST = 4_096, 65_535
VERSION = 4
AS_TRANS = 23_456
IPV4, IPV6, UNICAST = 1, 2, 1
FAMILIES = {IPV4: 32, IPV6: 128}
TEXT_MOST = 255  # bytes of a shutdown text, RFC 9003 section 2
GRACEFUL_SHUTDOWN = 0xFFFF_0000  # RFC 8326


class Type(IntEnum):
    """A message's type, RFC 4271 section 4.1 and RFC 2918."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4
    ROUTE_REFRESH = 5


LEAST = {Type.OPEN: 29, Type.UPDATE: 23, Type.NOTIFICATION: 21, Type.KEEPALIVE: 19, Type.ROUTE_REFRESH: 23}


class Code(IntEnum):
    """RFC 4271 section 4.5."""

    HEADER = 1
    OPEN = 2
    UPDATE = 3
    HOLD_EXPIRED = 4
    FSM = 5
    CEASE = 6
    ROUTE_REFRESH = 7


class Cease(IntEnum):
    """RFC 4486 section 3."""

    MAXIMUM_PREFIXES = 1
    ADMINISTRATIVE_SHUTDOWN = 2
    DECONFIGURED = 3
    ADMINISTRATIVE_RESET = 4
    CONNECTION_REJECTED = 5
    OTHER_CONFIGURATION = 6
    COLLISION = 7
    OUT_OF_RESOURCES = 8


class Bad(Exception):
    """What ends the session: the NOTIFICATION that is owed for it, RFC 4271 section 6."""

    def __init__(self, code: int, subcode: int, data: bytes = b"", why: str = "") -> None:
        super().__init__(why or f"{code}/{subcode}")
        self.notification = Notification(code, subcode, data)
        self.why = why


# ---- values


@dataclass(slots=True, frozen=True, order=True)
class Prefix:
    """`value` is the address as a whole number, the bits behind `length` zero; `family` an AFI."""

    family: int
    value: int
    length: int

    def __str__(self) -> str:
        address = ipaddress.IPv4Address if self.family == IPV4 else ipaddress.IPv6Address
        return f"{address(self.value)}/{self.length}"


def prefix_of(text: str) -> Prefix:
    """Raises ValueError: no prefix, or bits set behind its length."""
    network = ipaddress.ip_network(text)
    return Prefix(IPV4 if network.version == 4 else IPV6, int(network.network_address), network.prefixlen)


@dataclass(slots=True, frozen=True)
class Capability:
    """One that this speaker makes nothing of keeps its bytes."""

    code: int
    data: bytes = b""


MULTIPROTOCOL, REFRESH, EXTENDED, FOUR_OCTETS = 1, 2, 6, 65


@dataclass(slots=True, frozen=True)
class Open:
    """`asn` is the true number, whichever field it came in; `hold` in seconds; `router` the BGP
    identifier."""

    asn: int
    hold: int
    router: int
    families: tuple[int, ...] = (IPV4,)
    refresh: bool = True
    extended: bool = True
    four_octets: bool = True
    others: tuple[Capability, ...] = ()


@dataclass(slots=True, frozen=True)
class Agreed:
    """What holds for the messages of a session once both OPENs are in."""

    four_octets: bool = True
    extended: bool = False
    families: tuple[int, ...] = (IPV4,)
    external: bool = True

    @property
    def most(self) -> int:
        """Bytes of a message, at the most."""
        return EXTENDED_MOST if self.extended else USUAL_MOST


class Origin(IntEnum):
    """Where a route comes from, RFC 4271 section 5.1.1; the lower is preferred."""

    IGP = 0
    EGP = 1
    INCOMPLETE = 2


SET, SEQUENCE = 1, 2
Segment = tuple[int, tuple[int, ...]]  # AS_SET or AS_SEQUENCE, and its numbers


@dataclass(slots=True, frozen=True)
class Attributes:
    """Path attributes, RFC 4271 section 5. `next_hop` is an address as a whole number, of its prefixes'
    family."""

    origin: Origin | None = None
    path: tuple[Segment, ...] | None = None
    next_hop: int | None = None
    med: int | None = None
    local_pref: int | None = None
    atomic: bool = False
    aggregator: tuple[int, int] | None = None
    communities: tuple[int, ...] = ()
    large: tuple[tuple[int, int, int], ...] = ()
    others: tuple[tuple[int, int, bytes], ...] = ()  # flags, type, bytes: transitive ones not known here


@dataclass(slots=True, frozen=True)
class Update:
    """Routes that come and go. `faults` tells what was set right by RFC 7606: where it says 'treat as
    withdraw' the routes stand in `withdrawn`."""

    withdrawn: tuple[Prefix, ...] = ()
    announced: tuple[Prefix, ...] = ()
    attributes: Attributes = field(default_factory=Attributes)
    faults: tuple[str, ...] = ()

    @property
    def end_of_rib(self) -> bool:
        """RFC 4724 section 2."""
        return (
            not self.withdrawn and not self.announced and not self.faults and self.attributes == Attributes()
        )


@dataclass(slots=True, frozen=True)
class Notification:
    """An error, after which the connection is closed, RFC 4271 section 4.5."""

    code: int
    subcode: int
    data: bytes = b""

    @property
    def text(self) -> str:
        """The shutdown text of RFC 9003, cleaned; empty where there is none."""
        if self.code != Code.CEASE or self.subcode not in (2, 4) or not self.data:
            return ""
        length = self.data[0]
        return clean(self.data[1 : 1 + length]) if length <= len(self.data) - 1 else ""


@dataclass(slots=True, frozen=True)
class Keepalive:
    """A sign of life, RFC 4271 section 4.4."""


@dataclass(slots=True, frozen=True)
class RouteRefresh:
    """The request for all routes of a family once more, RFC 2918."""

    family: int
    sub: int = UNICAST


Message = Open | Update | Notification | Keepalive | RouteRefresh


def clean(data: bytes) -> str:
    """Against a peer that writes into our log and terminal: no control, format or line characters."""
    text = data.decode("utf-8", "replace")
    return "".join(" " if unicodedata.category(each)[0] in "CZ" else each for each in text).strip()


def shutdown_text(text: str) -> bytes:
    """The data of a Cease with a text, cut at a character."""
    data = clean(text.encode())[:TEXT_MOST].encode()
    while len(data) > TEXT_MOST:
        data = data[:-1].decode("utf-8", "ignore").encode()
    return bytes([len(data)]) + data


# ---- framing


class Frames:
    """Messages out of bytes that come split and joined anywhere: type and body."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.most = USUAL_MOST

    def feed(self, data: bytes) -> Iterator[tuple[Type, bytes]]:
        """Raises Bad of code 1: not in step, a length or a type that can't be."""
        self.data += data
        while len(self.data) >= HEAD:
            if self.data[:16] != MARKER:
                raise Bad(Code.HEADER, 1, why="marker")
            length, kind = int.from_bytes(self.data[16:18], "big"), self.data[18]
            if not HEAD <= length <= self.most:
                raise Bad(Code.HEADER, 2, bytes(self.data[16:18]), f"length {length}")
            if kind not in LEAST:
                raise Bad(Code.HEADER, 3, bytes([kind]), f"type {kind}")
            least = LEAST[Type(kind)]
            exact = kind in (Type.KEEPALIVE, Type.ROUTE_REFRESH)
            usual = kind in (Type.OPEN, Type.KEEPALIVE)  # RFC 8654 section 4: never extended
            if length < least or (exact and length != least) or (usual and length > USUAL_MOST):
                raise Bad(Code.HEADER, 2, bytes(self.data[16:18]), f"length {length} of type {kind}")
            if len(self.data) < length:
                return
            body = bytes(self.data[HEAD:length])
            del self.data[:length]
            yield Type(kind), body


def framed(kind: Type, body: bytes) -> bytes:
    """A whole message: marker, length and type ahead of its body."""
    return MARKER + (HEAD + len(body)).to_bytes(2, "big") + bytes([kind]) + body


def decode(kind: Type, body: bytes, agreed: Agreed) -> Message:
    """Raises Bad where the session must end."""
    if kind is Type.OPEN:
        return decode_open(body)
    if kind is Type.UPDATE:
        return decode_update(body, agreed)
    if kind is Type.NOTIFICATION:
        return Notification(body[0], body[1], body[2:])
    if kind is Type.ROUTE_REFRESH:
        return RouteRefresh(int.from_bytes(body[:2], "big"), body[3])
    return Keepalive()


def encode(message: Message, agreed: Agreed) -> bytes:
    """One message. Raises ValueError where it can't be said in the size that both ends agreed on."""
    match message:
        case Open():
            data = framed(Type.OPEN, encode_open(message))
        case Update():
            data = framed(Type.UPDATE, encode_update(message, agreed))
        case Notification(code, subcode, more):
            data = framed(Type.NOTIFICATION, bytes([code, subcode]) + more)
        case RouteRefresh(family, sub):
            data = framed(Type.ROUTE_REFRESH, family.to_bytes(2, "big") + bytes([0, sub]))
        case Keepalive():
            data = framed(Type.KEEPALIVE, b"")
    if len(data) > agreed.most:
        raise ValueError(f"a message of {len(data)} bytes, {agreed.most} are agreed")
    return data


# ---- OPEN


def decode_open(body: bytes) -> Open:
    """RFC 4271 section 4.2, errors by section 6.2. The peer's AS number is for whoever knows which is
    expected."""
    version, asn = body[0], int.from_bytes(body[1:3], "big")
    hold, router = int.from_bytes(body[3:5], "big"), int.from_bytes(body[5:9], "big")
    if version != VERSION:
        raise Bad(Code.OPEN, 1, VERSION.to_bytes(2, "big"), f"version {version}")
    if hold in (1, 2):
        raise Bad(Code.OPEN, 6, why=f"hold time {hold}")
    if router == 0 or router >> 28 == 0xE or router == 0xFFFF_FFFF:
        raise Bad(Code.OPEN, 3, why=f"identifier {ipaddress.IPv4Address(router)}")
    capabilities = list(_capabilities(body[9:]))
    families: list[int] = []
    four_octets = refresh = extended = False
    others: list[Capability] = []
    for each in capabilities:
        if each.code == MULTIPROTOCOL and len(each.data) == 4:
            family = int.from_bytes(each.data[:2], "big")
            if each.data[3] == UNICAST and family in FAMILIES and family not in families:
                families.append(family)
        elif each.code == FOUR_OCTETS and len(each.data) == 4:
            four_octets, asn = True, int.from_bytes(each.data, "big")
        elif each.code == REFRESH and not each.data:
            refresh = True
        elif each.code == EXTENDED and not each.data:
            extended = True
        else:
            others.append(each)
    if asn == 0:
        raise Bad(Code.OPEN, 2, why="AS 0")  # RFC 7607
    # Who says nothing of families speaks IPv4 unicast alone, RFC 4760 section 8.
    told = any(each.code == MULTIPROTOCOL for each in capabilities)
    return Open(
        asn, hold, router, tuple(families) if told else (IPV4,), refresh, extended, four_octets, tuple(others)
    )


def _capabilities(data: bytes) -> Iterator[Capability]:
    """Optional parameters, RFC 4271 section 4.2 and RFC 9072; capabilities, RFC 5492."""
    length, rest, wide = data[0], data[1:], False
    if length == 255 and len(rest) >= 3 and rest[0] == 255:  # RFC 9072: an extended length
        length, rest, wide = int.from_bytes(rest[1:3], "big"), rest[3:], True
    if length != len(rest):
        raise Bad(Code.OPEN, 0, why="length of the optional parameters")
    while rest:
        size = 3 if wide else 2
        if len(rest) < size:
            raise Bad(Code.OPEN, 0, why="an optional parameter is cut short")
        kind, length = rest[0], int.from_bytes(rest[1:size], "big")
        value, rest = rest[size : size + length], rest[size + length :]
        if len(value) < length:
            raise Bad(Code.OPEN, 0, why="an optional parameter is cut short")
        if kind != 2:
            raise Bad(Code.OPEN, 4, why=f"optional parameter {kind}")
        while value:
            if len(value) < 2 or len(value) < 2 + value[1]:
                raise Bad(Code.OPEN, 0, why="a capability is cut short")
            yield Capability(value[0], value[2 : 2 + value[1]])
            value = value[2 + value[1] :]


def encode_open(message: Open) -> bytes:
    """The body of an OPEN, its capabilities in one optional parameter."""
    capabilities = [
        Capability(MULTIPROTOCOL, family.to_bytes(2, "big") + bytes([0, UNICAST]))
        for family in message.families
    ]
    if message.refresh:
        capabilities.append(Capability(REFRESH))
    if message.extended:
        capabilities.append(Capability(EXTENDED))
    if message.four_octets:
        capabilities.append(Capability(FOUR_OCTETS, message.asn.to_bytes(4, "big")))
    listed = b"".join(
        bytes([each.code, len(each.data)]) + each.data for each in (*capabilities, *message.others)
    )
    parameters = bytes([2, len(listed)]) + listed if listed else b""
    asn = message.asn if message.asn < 1 << 16 else AS_TRANS  # RFC 6793 section 4.2.1
    return (
        bytes([VERSION])
        + asn.to_bytes(2, "big")
        + message.hold.to_bytes(2, "big")
        + message.router.to_bytes(4, "big")
        + bytes([len(parameters)])
        + parameters
    )


def agree(ours: Open, theirs: Open) -> Agreed:
    """RFC 5492: what both can do holds. A family that both name; IPv4 where neither names one."""
    return Agreed(
        ours.four_octets and theirs.four_octets,
        ours.extended and theirs.extended,
        tuple(family for family in ours.families if family in theirs.families),
        ours.asn != theirs.asn,
    )


# ---- UPDATE

ORIGIN, AS_PATH, NEXT_HOP, MED, LOCAL_PREF, ATOMIC, AGGREGATOR, COMMUNITIES = range(1, 9)
MP_REACH, MP_UNREACH, AS4_PATH, AS4_AGGREGATOR, LARGE = 14, 15, 17, 18, 32
OPTIONAL, TRANSITIVE, PARTIAL, LONG = 0x80, 0x40, 0x20, 0x10
WELL_KNOWN, OPTIONAL_ONE, OPTIONAL_TRANSITIVE = TRANSITIVE, OPTIONAL, OPTIONAL | TRANSITIVE
FLAGS = {
    ORIGIN: WELL_KNOWN,
    AS_PATH: WELL_KNOWN,
    NEXT_HOP: WELL_KNOWN,
    MED: OPTIONAL_ONE,
    LOCAL_PREF: WELL_KNOWN,
    ATOMIC: WELL_KNOWN,
    AGGREGATOR: OPTIONAL_TRANSITIVE,
    COMMUNITIES: OPTIONAL_TRANSITIVE,
    MP_REACH: OPTIONAL_ONE,
    MP_UNREACH: OPTIONAL_ONE,
    AS4_PATH: OPTIONAL_TRANSITIVE,
    AS4_AGGREGATOR: OPTIONAL_TRANSITIVE,
    LARGE: OPTIONAL_TRANSITIVE,
}


class _Withdraw(Exception):
    """RFC 7606 section 2: treat as withdraw."""


class _Discard(Exception):
    """RFC 7606 section 2: attribute discard."""


def prefixes(data: bytes, family: int) -> tuple[Prefix, ...]:
    """RFC 4271 section 4.3. What is wrong here can't be set right: where a route ends is lost (RFC 7606
    section 5.3)."""
    found, at, most = [], 0, FAMILIES[family]
    while at < len(data):
        length = data[at]
        size = (length + 7) // 8
        if length > most or at + 1 + size > len(data):
            raise Bad(Code.UPDATE, 10, why=f"a prefix of {length} bits")
        value = int.from_bytes(data[at + 1 : at + 1 + size], "big") << (most - 8 * size)
        value &= ((1 << length) - 1) << (most - length)  # bits behind the length mean nothing
        found.append(Prefix(family, value, length))
        at += 1 + size
    return tuple(found)


def encode_prefixes(listed: Iterable[Prefix]) -> bytes:
    """Prefixes as UPDATE has them: the length in bits, then as many bytes as that needs."""
    out = bytearray()
    for each in listed:
        size = (each.length + 7) // 8
        out.append(each.length)
        out += (each.value >> (FAMILIES[each.family] - 8 * size)).to_bytes(size, "big")
    return bytes(out)


def decode_update(body: bytes, agreed: Agreed) -> Update:
    """Reads the body of an UPDATE. What RFC 7606 lets be mended is told in `faults`, with all routes
    withdrawn where it says so. Raises Bad where the session must end."""
    gone = int.from_bytes(body[:2], "big")
    if 4 + gone > len(body):
        raise Bad(Code.UPDATE, 1, why="length of the withdrawn routes")
    size = int.from_bytes(body[2 + gone : 4 + gone], "big")
    if 4 + gone + size > len(body):
        raise Bad(Code.UPDATE, 1, why="length of the attributes")
    withdrawn = prefixes(body[2 : 2 + gone], IPV4)
    announced = prefixes(body[4 + gone + size :], IPV4)
    reader = _Reader(agreed)
    reader.read(body[4 + gone : 4 + gone + size])
    withdrawn += reader.withdrawn
    plain, announced = bool(announced), announced + reader.announced
    if announced:
        reader.mandatory(plain)
    if reader.bad and not announced and not withdrawn and not reader.reached:
        # RFC 7606 section 5.2: no route can be told from it, so nothing is there to withdraw.
        return Update(faults=tuple(reader.faults))
    if reader.bad:
        return Update((*withdrawn, *announced), (), Attributes(), tuple(reader.faults))
    return Update(withdrawn, announced, reader.attributes, tuple(reader.faults))


class _Reader:
    """The attributes of one UPDATE, errors by RFC 7606."""

    def __init__(self, agreed: Agreed) -> None:
        self.agreed = agreed
        self.attributes = Attributes()
        self.withdrawn: tuple[Prefix, ...] = ()
        self.announced: tuple[Prefix, ...] = ()
        self.reached = False
        self.bad = False  # treat as withdraw
        self.faults: list[str] = []
        self.seen: set[int] = set()

    def read(self, data: bytes) -> None:
        at = 0
        while at < len(data):
            wide = 2 if data[at] & LONG else 1
            if at + 2 + wide > len(data):
                self._withdraw("an attribute's head is cut short")  # RFC 7606 section 4
                return
            flags, kind = data[at], data[at + 1]
            length = int.from_bytes(data[at + 2 : at + 2 + wide], "big")
            at += 2 + wide
            if at + length > len(data):
                if kind in (MP_REACH, MP_UNREACH):
                    raise Bad(Code.UPDATE, 1, why=f"attribute {kind} is cut short")
                self._withdraw(f"attribute {kind} is cut short")
                return
            self._one(flags, kind, data[at : at + length])
            at += length

    def _withdraw(self, why: str) -> None:
        self.bad = True
        self.faults.append(f"{why}: taken as withdrawn")

    def _one(self, flags: int, kind: int, value: bytes) -> None:
        if kind in self.seen:
            if kind in (MP_REACH, MP_UNREACH):
                raise Bad(Code.UPDATE, 1, why=f"attribute {kind} twice")  # RFC 7606 section 3 (g)
            self.faults.append(f"attribute {kind} again: discarded")
            return
        self.seen.add(kind)
        expected = FLAGS.get(kind)
        if expected is None:
            if not flags & OPTIONAL:
                raise Bad(Code.UPDATE, 2, bytes([flags, kind]), f"well-known attribute {kind} is not known")
            if flags & TRANSITIVE:
                kept = (flags | PARTIAL, kind, value)
                self.attributes = replace(self.attributes, others=(*self.attributes.others, kept))
            return
        if (flags ^ expected) & (OPTIONAL | TRANSITIVE):
            self._withdraw(f"flags {flags:#04x} of attribute {kind}")  # RFC 7606 section 3 (c)
            return
        try:
            self._known(kind, value)
        except _Withdraw as why:
            self._withdraw(str(why))
        except _Discard as why:
            self.faults.append(f"{why}: discarded")

    def _known(self, kind: int, value: bytes) -> None:
        """RFC 7606 section 7; an attribute of a kind that is not known here changes nothing."""
        if kind in (MP_REACH, MP_UNREACH):
            self._multiprotocol(kind, value)
        elif kind in (COMMUNITIES, LARGE):
            self._communities(kind, value)
        elif kind in (ATOMIC, AGGREGATOR, AS4_PATH, AS4_AGGREGATOR):
            self._aggregation(kind, value)
        else:
            self._basic(kind, value)

    def _basic(self, kind: int, value: bytes) -> None:
        """RFC 7606 sections 7.1 to 7.5: what every path has, and the two preferences."""
        if kind == ORIGIN:
            if len(value) != 1 or value[0] > 2:
                raise _Withdraw("ORIGIN")
            self.attributes = replace(self.attributes, origin=Origin(value[0]))
        elif kind == AS_PATH:
            self.attributes = replace(
                self.attributes, path=decode_path(value, 4 if self.agreed.four_octets else 2)
            )
        elif kind == NEXT_HOP:
            if len(value) != 4:
                raise _Withdraw("NEXT_HOP")
            self.attributes = replace(self.attributes, next_hop=int.from_bytes(value, "big"))
        elif kind == MED:
            self.attributes = replace(self.attributes, med=_number(value, "MULTI_EXIT_DISC"))
        elif kind == LOCAL_PREF:
            if self.agreed.external:
                raise _Discard("LOCAL_PREF of an external peer")
            self.attributes = replace(self.attributes, local_pref=_number(value, "LOCAL_PREF"))

    def _aggregation(self, kind: int, value: bytes) -> None:
        """RFC 7606 sections 7.6 and 7.7, RFC 6793 section 6."""
        if kind == ATOMIC:
            if value:
                raise _Discard("ATOMIC_AGGREGATE")
            self.attributes = replace(self.attributes, atomic=True)
        elif kind == AGGREGATOR:
            size = 4 if self.agreed.four_octets else 2
            if len(value) != size + 4:
                raise _Discard("AGGREGATOR")
            pair = int.from_bytes(value[:size], "big"), int.from_bytes(value[size:], "big")
            self.attributes = replace(self.attributes, aggregator=pair)
        # AS4_PATH is of no use between speakers of four octets; else it has the path's true numbers.
        elif not self.agreed.four_octets and kind == AS4_PATH and self.attributes.path is not None:
            path = merged(self.attributes.path, decode_path(value, 4))
            self.attributes = replace(self.attributes, path=path)

    def _communities(self, kind: int, value: bytes) -> None:
        """RFC 7606 section 7.8, RFC 8092 section 6."""
        if kind == COMMUNITIES:
            if not value or len(value) % 4:
                raise _Withdraw("COMMUNITIES")
            self.attributes = replace(self.attributes, communities=tuple(_numbers(value, 4)))
        else:
            if not value or len(value) % 12:
                raise _Withdraw("LARGE_COMMUNITY")
            each = list(_numbers(value, 4))
            self.attributes = replace(
                self.attributes, large=tuple(zip(each[::3], each[1::3], each[2::3], strict=True))
            )

    def _multiprotocol(self, kind: int, value: bytes) -> None:
        """RFC 7606 sections 7.11 and 7.12."""
        if kind == MP_REACH:
            self._reach(value)
        else:
            if len(value) < 3:
                raise Bad(Code.UPDATE, 9, why="MP_UNREACH_NLRI")
            family = int.from_bytes(value[:2], "big")
            if family in self.agreed.families and value[2] == UNICAST:
                self.withdrawn = prefixes(value[3:], family)

    def _reach(self, value: bytes) -> None:
        """RFC 4760 section 3; what can't be parsed ends the session, as its routes can't be told (RFC 7606,
        7.11)."""
        if len(value) < 5 or len(value) < 5 + value[3]:
            raise Bad(Code.UPDATE, 9, why="MP_REACH_NLRI")
        family, sub, length = int.from_bytes(value[:2], "big"), value[2], value[3]
        if family not in self.agreed.families or sub != UNICAST:
            self.faults.append(f"routes of family {family}/{sub}, which was not agreed on: passed over")
            return
        size = FAMILIES[family] // 8
        if length not in (size, 2 * size if family == IPV6 else size):
            raise Bad(Code.UPDATE, 9, why=f"next hop of {length} bytes")
        self.reached = True
        self.announced = prefixes(value[5 + length :], family)
        self.attributes = replace(self.attributes, next_hop=int.from_bytes(value[4 : 4 + size], "big"))

    def mandatory(self, plain: bool) -> None:
        """RFC 7606 section 3 (d)."""
        attributes = self.attributes
        missing = [
            name
            for name, value in (
                ("ORIGIN", attributes.origin),
                ("AS_PATH", attributes.path),
                ("NEXT_HOP", attributes.next_hop if plain else 0),
            )
            if value is None
        ]
        if missing:
            self._withdraw(f"{' and '.join(missing)} missing")


def _number(value: bytes, name: str) -> int:
    if len(value) != 4:
        raise _Withdraw(name)
    return int.from_bytes(value, "big")


def _numbers(value: bytes, size: int) -> Iterator[int]:
    return (int.from_bytes(value[at : at + size], "big") for at in range(0, len(value), size))


def decode_path(value: bytes, size: int) -> tuple[Segment, ...]:
    """RFC 4271 section 4.3 (b), errors by RFC 7606 section 7.2."""
    segments, at = [], 0
    while at < len(value):
        if at + 2 > len(value):
            raise _Withdraw("AS_PATH is cut short")
        kind, count = value[at], value[at + 1]
        end = at + 2 + count * size
        if kind not in (SET, SEQUENCE) or not count or end > len(value):
            raise _Withdraw(f"AS_PATH with a segment of type {kind} and {count} numbers")
        segments.append((kind, tuple(_numbers(value[at + 2 : end], size))))
        at = end
    return tuple(segments)


def encode_path(path: Sequence[Segment], size: int) -> bytes:
    """An AS path with numbers of `size` bytes; one that does not fit becomes AS_TRANS."""
    out = bytearray()
    for kind, numbers in path:
        for start in range(0, len(numbers), 255):
            part = numbers[start : start + 255]
            out += bytes([kind, len(part)])
            for number in part:
                out += (number if number < 1 << (8 * size) else AS_TRANS).to_bytes(size, "big")
    return bytes(out)


def merged(path: tuple[Segment, ...], true: tuple[Segment, ...]) -> tuple[Segment, ...]:
    """RFC 6793 section 4.2.3: the front of the two-octet path that the four-octet one does not cover, then
    that."""

    def count(segments: Iterable[Segment]) -> int:
        return sum(1 if kind == SET else len(numbers) for kind, numbers in segments)

    more = count(path) - count(true)
    if more < 0:
        return path
    front: list[Segment] = []
    for kind, numbers in path:
        if more <= 0:
            break
        part = numbers if kind == SET else numbers[:more]
        front.append((kind, part))
        more -= 1 if kind == SET else len(part)
    if front and true and front[-1][0] == true[0][0] == SEQUENCE:
        joined = (SEQUENCE, front[-1][1] + true[0][1])
        return (*front[:-1], joined, *true[1:])
    return (*front, *true)


def encode_update(update: Update, agreed: Agreed) -> bytes:
    """Routes of IPv4 in their own fields, others in MP_REACH_NLRI and MP_UNREACH_NLRI, first of all (RFC
    7606, 5.1)."""
    gone = [each for each in update.withdrawn if each.family == IPV4]
    come = [each for each in update.announced if each.family == IPV4]
    gone_wide = [each for each in update.withdrawn if each.family == IPV6]
    come_wide = [each for each in update.announced if each.family == IPV6]
    attributes, out = update.attributes, bytearray()
    if gone_wide:
        out += _attribute(MP_UNREACH, IPV6.to_bytes(2, "big") + bytes([UNICAST]) + encode_prefixes(gone_wide))
    if come_wide:
        hop = (attributes.next_hop or 0).to_bytes(16, "big")
        out += _attribute(
            MP_REACH,
            IPV6.to_bytes(2, "big") + bytes([UNICAST, 16]) + hop + b"\0" + encode_prefixes(come_wide),
        )
    if come or come_wide:
        out += _encode_attributes(attributes, agreed, bool(come))
    withdrawn = encode_prefixes(gone)
    return (
        len(withdrawn).to_bytes(2, "big")
        + withdrawn
        + len(out).to_bytes(2, "big")
        + bytes(out)
        + encode_prefixes(come)
    )


def _encode_attributes(attributes: Attributes, agreed: Agreed, plain: bool) -> bytes:
    size, out = 4 if agreed.four_octets else 2, bytearray()
    if attributes.origin is not None:
        out += _attribute(ORIGIN, bytes([attributes.origin]))
    if attributes.path is not None:
        out += _attribute(AS_PATH, encode_path(attributes.path, size))
    if plain and attributes.next_hop is not None:
        out += _attribute(NEXT_HOP, attributes.next_hop.to_bytes(4, "big"))
    if attributes.med is not None:
        out += _attribute(MED, attributes.med.to_bytes(4, "big"))
    if attributes.local_pref is not None and not agreed.external:
        out += _attribute(LOCAL_PREF, attributes.local_pref.to_bytes(4, "big"))
    if attributes.atomic:
        out += _attribute(ATOMIC, b"")
    if attributes.aggregator is not None:
        asn, address = attributes.aggregator
        number = asn if asn < 1 << (8 * size) else AS_TRANS
        out += _attribute(AGGREGATOR, number.to_bytes(size, "big") + address.to_bytes(4, "big"))
    if attributes.communities:
        out += _attribute(COMMUNITIES, b"".join(each.to_bytes(4, "big") for each in attributes.communities))
    if size == 2 and attributes.path and any(n >= 1 << 16 for _, numbers in attributes.path for n in numbers):
        out += _attribute(AS4_PATH, encode_path(attributes.path, 4))
    if attributes.large:
        out += _attribute(LARGE, b"".join(n.to_bytes(4, "big") for each in attributes.large for n in each))
    for flags, kind, value in attributes.others:
        out += _attribute(kind, value, flags)
    return bytes(out)


def _attribute(kind: int, value: bytes, flags: int | None = None) -> bytes:
    flags = FLAGS[kind] if flags is None else flags & ~LONG
    if len(value) > 255:
        return bytes([flags | LONG, kind]) + len(value).to_bytes(2, "big") + value
    return bytes([flags, kind, len(value)]) + value


def packed(update: Update, agreed: Agreed) -> Iterator[Update]:
    """One update as several, each of which fits into a message: as few as the size allows."""
    for announce, listed in ((False, update.withdrawn), (True, update.announced)):
        for family in FAMILIES:
            routes = [each for each in listed if each.family == family]
            head = (
                len(encode(_part(update, announce, ()), agreed)) + 40
            )  # with the heads of both wide attributes
            part: list[Prefix] = []
            size = head
            for each in routes:
                takes = 1 + (each.length + 7) // 8
                if part and size + takes > agreed.most:
                    yield _part(update, announce, part)
                    part, size = [], head
                part.append(each)
                size += takes
            if part:
                yield _part(update, announce, part)


def _part(update: Update, announce: bool, routes: Sequence[Prefix]) -> Update:
    if not announce:
        return Update(withdrawn=tuple(routes))
    # Without a route the attributes would not be written, and their size not be known.
    return Update(announced=tuple(routes) or update.announced[:1], attributes=update.attributes)
