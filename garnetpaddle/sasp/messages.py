"""The messages of RFC 4678 as values. Bytes as they are on the wire where they only name something."""

import functools
import ipaddress
from dataclasses import dataclass, field

from garnetpaddle.sasp.constants import MessageType, ResponseCode

IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"


@functools.lru_cache(maxsize=16_384)
def host_from_bytes(address):
    """16 bytes as the list writes them; followers by hundreds name the same tasks."""
    ip = ipaddress.IPv6Address(address)
    ipv4_compatible = address[:12] == bytes(12) and address[12:15] != bytes(3)
    if ip.ipv4_mapped or ipv4_compatible:
        return str(ipaddress.IPv4Address(address[12:]))
    return str(ip)


@dataclass(frozen=True, slots=True)
class MemberData:
    """Section 5.2. address: 16 bytes, IPv4 mapped (or compatible, as some write it)."""

    protocol: int  # as in IP: 6 is TCP
    port: int
    address: bytes
    label: bytes = b""

    @classmethod
    def of(cls, host, port, label="", protocol=6):
        """host: an IPv4 or IPv6 address in text; raises ValueError."""
        ip = ipaddress.ip_address(host)
        packed = IPV4_MAPPED_PREFIX + ip.packed if ip.version == 4 else ip.packed
        return cls(protocol, port, packed, label.encode())

    @property
    def endpoint(self):
        """(host, port) as the list writes it."""
        return host_from_bytes(self.address), self.port


@dataclass(frozen=True, slots=True)
class GroupName:
    """Group data, section 5.3: a group belongs to a balancer."""

    uid: bytes
    name: bytes


@dataclass(frozen=True, slots=True)
class WeightEntry:
    """Section 5.4."""

    member: MemberData
    weight: int
    flags: int
    state: int = 0


@dataclass(frozen=True, slots=True)
class StateEntry:
    """Section 5.5."""

    member: MemberData
    state: int
    quiesced: bool


MemberGroups = tuple[tuple[GroupName, tuple[MemberData, ...]], ...]


@dataclass(frozen=True, slots=True)
class Register:
    """Members join groups."""

    id: int
    lb: bool
    groups: MemberGroups
    inclusive_lengths: bool = field(
        default=False, compare=False
    )  # its lengths count what is nested; see constants


@dataclass(frozen=True, slots=True)
class Deregister:
    """Members, groups or everything leave."""

    id: int
    lb: bool
    reason: int
    groups: MemberGroups
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class GetWeights:
    """Asks for the weights of groups; of all without any."""

    id: int
    groups: tuple[GroupName, ...]
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class SetLbState:
    """How a balancer wants to be served."""

    id: int
    uid: bytes
    health: int
    push: bool
    trust: bool
    no_change: bool
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class SetMemberState:
    """Members are quiesced or opened."""

    id: int
    lb: bool
    groups: tuple[tuple[GroupName, tuple[StateEntry, ...]], ...]
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Weights:
    """The reply to Get Weights."""

    id: int
    code: ResponseCode | int
    interval: int  # s
    groups: tuple[tuple[GroupName, tuple[WeightEntry, ...]], ...]
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class SendWeights:
    """Weights that the manager sends by itself."""

    id: int
    groups: tuple[tuple[GroupName, tuple[WeightEntry, ...]], ...]
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply that holds a code alone. kind: Kind.*_REPLY but WEIGHTS."""

    id: int
    message_type: MessageType
    code: ResponseCode | int
    inclusive_lengths: bool = field(default=False, compare=False)


Message = Register | Deregister | GetWeights | SetLbState | SetMemberState | Weights | SendWeights | Reply
