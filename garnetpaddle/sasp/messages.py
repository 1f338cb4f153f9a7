"""The messages of RFC 4678 as values. Names, labels and addresses are kept as the bytes on the wire."""

import functools
import ipaddress
from dataclasses import dataclass, field

from garnetpaddle.sasp.constants import MessageType, ResponseCode

IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"


@functools.lru_cache(maxsize=16_384)
def host_from_bytes(address):
    """Formats a 16-byte address as the task list does.

    Cached, because hundreds of followers name the same tasks."""
    ip = ipaddress.IPv6Address(address)
    ipv4_compatible = address[:12] == bytes(12) and address[12:15] != bytes(3)
    if ip.ipv4_mapped or ipv4_compatible:
        return str(ipaddress.IPv4Address(address[12:]))
    return str(ip)


@dataclass(frozen=True, slots=True)
class MemberData:
    """Section 5.2. address: 16 bytes; IPv4 is mapped, or IPv4-compatible as some peers write it."""

    protocol: int  # IP protocol number; 6 is TCP
    port: int
    address: bytes
    label: bytes = b""

    @classmethod
    def from_address(cls, host, port, label="", protocol=6):
        """From a textual IPv4 or IPv6 address; raises ValueError."""
        ip = ipaddress.ip_address(host)
        packed = IPV4_MAPPED_PREFIX + ip.packed if ip.version == 4 else ip.packed
        return cls(protocol, port, packed, label.encode())

    @property
    def endpoint(self):
        """(host, port) in the form of the task list."""
        return host_from_bytes(self.address), self.port


@dataclass(frozen=True, slots=True)
class GroupName:
    """Group data, section 5.3: the owning load balancer's UID and the group's name."""

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
    """Adds members to groups."""

    id: int
    lb: bool
    groups: MemberGroups
    inclusive_lengths: bool = field(default=False, compare=False)  # lengths include nested components


@dataclass(frozen=True, slots=True)
class Deregister:
    """Removes members, whole groups or everything."""

    id: int
    lb: bool
    reason: int
    groups: MemberGroups
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class GetWeights:
    """Requests the weights of these groups, or of all groups if none is named."""

    id: int
    groups: tuple[GroupName, ...]
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class SetLbState:
    """Sets how a load balancer wants to be served."""

    id: int
    uid: bytes
    health: int
    push: bool
    trust: bool
    no_change: bool
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class SetMemberState:
    """Quiesces members or ends that."""

    id: int
    lb: bool
    groups: tuple[tuple[GroupName, tuple[StateEntry, ...]], ...]
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Weights:
    """The reply to Get Weights."""

    id: int
    code: ResponseCode | int
    interval: int  # s until the next poll
    groups: tuple[tuple[GroupName, tuple[WeightEntry, ...]], ...]
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class SendWeights:
    """Weights that the manager pushes."""

    id: int
    groups: tuple[tuple[GroupName, tuple[WeightEntry, ...]], ...]
    inclusive_lengths: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply that holds only a code. message_type: any reply type but WEIGHTS."""

    id: int
    message_type: MessageType
    code: ResponseCode | int
    inclusive_lengths: bool = field(default=False, compare=False)


Message = Register | Deregister | GetWeights | SetLbState | SetMemberState | Weights | SendWeights | Reply
