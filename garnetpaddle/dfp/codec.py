"""Encoding and decoding of the messages of the Dynamic Feedback Protocol (DFP, draft-eck-dfp). No I/O.

A message is a header and TLVs (type, length, value); unknown TLVs are skipped. A BindID is the number of a
client subnet, so that a host can be offered to some clients only; this agent sends no BindID but 0, and
reports an empty BindID table."""

import hashlib
import hmac
import struct
from dataclasses import dataclass

from garnetpaddle.dfp.constants import MD5, VERSION, MessageType, TlvType

HEADER = struct.Struct("!BBHI")  # version, reserved, type, message length
TLV_HEAD = struct.Struct("!HH")  # type and length of a TLV
SECURITY = struct.Struct("!II16s")  # algorithm, key id, digest
TABLE_HEAD = struct.Struct("!HBBHH")  # of a load or BindID table: port, protocol, flags, item count, reserved
HOST = struct.Struct("!4sHH")  # item of a load: address, BindID, weight
BIND = struct.Struct("!H4s4s")  # item of a BindID table: BindID, client address, mask
MAX_HOSTS = 8_000  # in one load TLV, whose length in bytes has 16 bits


@dataclass(frozen=True, slots=True)
class Host:
    """A host and its weight; 0 means no new connections."""

    address: bytes  # 4 bytes; the draft does not support IPv6
    weight: int
    bind_id: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """The draft's name for the hosts that serve one port. protocol: the IP protocol number; 6 is TCP."""

    port: int
    hosts: tuple[Host, ...]
    protocol: int = 6
    flags: int = 0


@dataclass(frozen=True, slots=True)
class Preference:
    """The weights that the agent advises."""

    loads: tuple[Load, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerState:
    """The manager's own state of hosts; weight 0 means that it sends no new connections there."""

    loads: tuple[Load, ...] = ()


@dataclass(frozen=True, slots=True)
class Parameters:
    """keep_alive: s within which the manager expects a message of the agent; None if absent, 0 for never."""

    keep_alive: int | None = None


@dataclass(frozen=True, slots=True)
class BindIdRequest:
    """The manager's request for the table of BindIDs."""


@dataclass(frozen=True, slots=True)
class BindIdReport:
    """The agent's table of BindIDs. entries: (BindID, client address, mask)."""

    entries: tuple[tuple[int, bytes, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """A message that cannot be decoded."""

    why: str
    fatal: bool = False  # the stream cannot be decoded further


class DecodeError(ValueError):
    """A message is malformed; the text says why."""


@dataclass(frozen=True, slots=True)
class Key:
    """The key shared by manager and agent; None in its place disables security."""

    id: int
    secret: bytes


def digest(message, secret):
    """Returns the 16 bytes of MD5 over a message, whose digest field must be zero, and the key's secret."""
    return hashlib.md5(message + secret, usedforsecurity=False).digest()


class MessageDecoder:
    """Decodes a stream of bytes.

    max_size: bytes of the longest message accepted; key: the key that messages must be signed with."""

    def __init__(self, max_size, key=None):
        self.max_size, self.key, self.buffer, self.failed = max_size, key, bytearray(), False

    def feed(self, chunk):
        """Yields the messages that this chunk completes, with an InvalidMessage for each that is malformed.

        After a fatal one for a wrong header, it yields nothing any more."""
        if self.failed:
            return
        self.buffer += chunk
        offset = 0
        while len(self.buffer) - offset >= HEADER.size:
            version, _, _, size = HEADER.unpack_from(self.buffer, offset)
            why = ""
            if version != VERSION:
                why = f"version {version}"
            elif size < HEADER.size:
                why = f"message length {size}"
            elif size > self.max_size:
                why = f"message of {size} bytes, over {self.max_size}"
            if why:
                self.failed, self.buffer = True, bytearray()
                yield InvalidMessage(why, fatal=True)
                return
            if len(self.buffer) - offset < size:
                break
            message = decode(bytes(self.buffer[offset : offset + size]), self.key)
            offset += size
            yield message
        del self.buffer[:offset]

    def has_partial_message(self):
        """Returns whether the input so far ends within a message."""
        return bool(self.buffer)


def iterate_tlvs(data):
    """Yields (type, offset of the value, value) of each TLV of a message; raises DecodeError for a wrong
    length."""
    offset = HEADER.size
    while offset < len(data):
        if offset + TLV_HEAD.size > len(data):
            raise DecodeError(f"cut short at byte {offset}")
        tlv_type, length = TLV_HEAD.unpack_from(data, offset)
        if length < TLV_HEAD.size or offset + length > len(data):
            raise DecodeError(f"length {length} of a TLV, at byte {offset}")
        yield tlv_type, offset + TLV_HEAD.size, data[offset + TLV_HEAD.size : offset + length]
        offset += length


def decode(data, key=None):
    """Decodes a whole message; returns InvalidMessage if it is malformed, a fatal one if its security data is
    wrong."""
    try:
        _, _, message_type, _ = HEADER.unpack_from(data)
        tlvs = list(iterate_tlvs(memoryview(data)))
        if why := security_error(data, tlvs, key):
            return InvalidMessage(why, fatal=True)
        return decode_body(message_type, tlvs)
    except (DecodeError, struct.error) as error:
        return InvalidMessage(str(error))


def security_error(data, tlvs, key):
    """Returns why a message's security data is wrong; "" if it is right or no key is set.

    Raises DecodeError if the data has the wrong length."""
    security_tlvs = [(offset, value) for tlv_type, offset, value in tlvs if tlv_type == TlvType.SECURITY]
    if key is None:
        return ""
    if len(security_tlvs) != 1 or tlvs[0][0] != TlvType.SECURITY:
        return "no security, and it is asked for"
    offset, value = security_tlvs[0]
    if len(value) != SECURITY.size:
        raise DecodeError(f"security of {len(value)} bytes")
    algorithm, key_id, received_digest = SECURITY.unpack(value)
    if algorithm != MD5 or key_id != key.id:
        return f"security algorithm {algorithm} with key {key_id}"
    end = offset + SECURITY.size  # the digest is the last 16 bytes before this
    expected = digest(data[: end - 16] + bytes(16) + data[end:], key.secret)
    return "" if hmac.compare_digest(received_digest, expected) else "security data is wrong"


def decode_body(message_type, tlvs):
    """Builds a message from its TLVs; raises DecodeError if one is malformed or the type is unknown."""
    match message_type:
        case MessageType.PREFERENCE:
            return Preference(decode_loads(tlvs))
        case MessageType.SERVER_STATE:
            return ServerState(decode_loads(tlvs))
        case MessageType.PARAMETERS:
            times = [value for tlv_type, _, value in tlvs if tlv_type == TlvType.KEEP_ALIVE]
            if any(len(value) != 4 for value in times):
                raise DecodeError("a keep-alive that is no 4 bytes")
            return Parameters(int.from_bytes(times[-1], "big") if times else None)
        case MessageType.BINDID_REQUEST:
            return BindIdRequest()
        case MessageType.BINDID_REPORT:
            tables = [
                split_table(value, BIND) for tlv_type, _, value in tlvs if tlv_type == TlvType.BINDID_TABLE
            ]
            entries = (BIND.unpack(item) for _, items in tables for item in items)
            return BindIdReport(
                tuple((bind_id, bytes(address), bytes(mask)) for bind_id, address, mask in entries)
            )
    raise DecodeError(f"unknown message 0x{message_type:04x}")


def split_table(value, item_layout):
    """Splits the value of a load or BindID TLV into the head's fields and the items, as slices of bytes.

    item_layout: HOST or BIND. Raises DecodeError if the head is missing, or if its item count (head[3]) does
    not match the length."""
    if len(value) < TABLE_HEAD.size:
        raise DecodeError("a table without a head")
    head, item_bytes = TABLE_HEAD.unpack_from(value), value[TABLE_HEAD.size :]
    if len(item_bytes) != head[3] * item_layout.size:
        raise DecodeError(f"{head[3]} items in {len(item_bytes)} bytes")
    return head, [
        item_bytes[offset : offset + item_layout.size]
        for offset in range(0, len(item_bytes), item_layout.size)
    ]


def decode_loads(tlvs):
    """Returns the Loads among a message's TLVs; raises DecodeError."""
    loads = []
    for tlv_type, _, value in tlvs:
        if tlv_type != TlvType.LOAD:
            continue
        (port, protocol, flags, _, _), items = split_table(value, HOST)
        hosts = (HOST.unpack(item) for item in items)
        loads.append(
            Load(
                port,
                tuple(Host(bytes(address), weight, bind_id) for address, bind_id, weight in hosts),
                protocol,
                flags,
            )
        )
    return tuple(loads)


def encode_tlv(tlv_type, value):
    return TLV_HEAD.pack(tlv_type, TLV_HEAD.size + len(value)) + value


def encode_load(load):
    """Returns a load as bytes: in several TLVs if it has more hosts than fit into one."""
    tlvs = []
    for first in range(0, max(len(load.hosts), 1), MAX_HOSTS):
        hosts = load.hosts[first : first + MAX_HOSTS]
        head = TABLE_HEAD.pack(load.port, load.protocol, load.flags, len(hosts), 0)
        tlvs.append(
            encode_tlv(
                TlvType.LOAD, head + b"".join(HOST.pack(h.address, h.bind_id, h.weight) for h in hosts)
            )
        )
    return b"".join(tlvs)


def frame(message_type, body, key=None):
    """Returns a whole message as bytes, with the security TLV first if there is a key."""
    if key is not None:
        body = encode_tlv(TlvType.SECURITY, SECURITY.pack(MD5, key.id, bytes(16))) + body
    data = HEADER.pack(VERSION, 0, message_type, HEADER.size + len(body)) + body
    if key is None:
        return data
    end = HEADER.size + TLV_HEAD.size + SECURITY.size  # the digest is the last 16 bytes before this
    return data[: end - 16] + digest(data, key.secret) + data[end:]


def encode(message, key=None):
    """Returns a message as bytes, signed if there is a key; raises TypeError for any other object."""
    match message:
        case Preference() | ServerState():
            message_type = (
                MessageType.PREFERENCE if isinstance(message, Preference) else MessageType.SERVER_STATE
            )
            return frame(message_type, b"".join(map(encode_load, message.loads)), key)
        case Parameters():
            body = (
                b""
                if message.keep_alive is None
                else encode_tlv(TlvType.KEEP_ALIVE, message.keep_alive.to_bytes(4, "big"))
            )
            return frame(MessageType.PARAMETERS, body, key)
        case BindIdRequest():
            return frame(MessageType.BINDID_REQUEST, b"", key)
        case BindIdReport():
            head = TABLE_HEAD.pack(0, 6, 0, len(message.entries), 0)
            body = encode_tlv(
                TlvType.BINDID_TABLE, head + b"".join(BIND.pack(*entry) for entry in message.entries)
            )
            return frame(MessageType.BINDID_REPORT, body, key)
    raise TypeError(f"no message: {message!r}")
