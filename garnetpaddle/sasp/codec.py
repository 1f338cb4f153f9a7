"""Encoding and decoding of the messages of RFC 4678. No I/O.

A message that cannot be decoded yields an InvalidMessage with the id to reply to."""

import struct
from dataclasses import dataclass

from garnetpaddle.sasp import messages as m
from garnetpaddle.sasp.constants import (
    LB_FLAG,
    NO_CHANGE,
    PUSH,
    STATE_QUIESCED,
    TRUST,
    VERSION,
    ComponentType,
    MessageType,
    ResponseCode,
)

HEADER = struct.Struct("!HHBII")  # section 5.1: type, length, version, message length, message id
COMPONENT_HEAD = struct.Struct("!HH")  # type and length of a component
MEMBER = struct.Struct("!HHBH16sB")  # section 5.2, up to the label
ENTRY = struct.Struct("!HHBBH")  # weight entry without its member data, section 5.4
STATE = struct.Struct("!HHBB")  # member state entry without its member data, section 5.5
MESSAGE_TYPES = frozenset(MessageType)
MAX_LENGTH = 0xFFFF  # largest 16-bit length or count


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """A message that cannot be decoded.

    id: the message's id, or None if no valid header was read; fatal: the stream cannot be decoded further,
    because the start of the next message is unknown."""

    why: str
    id: int | None = None
    message_type: int | None = None
    fatal: bool = False


class DecodeError(ValueError):
    """A component is malformed; the text says why."""


class EncodeError(ValueError):
    """A message has values that do not fit into their fields."""


class MessageDecoder:
    """Decodes a stream of bytes.

    max_size: bytes of the longest message accepted, and the most that is buffered. A longer message or an
    invalid header yields InvalidMessage(fatal=True), after which no more input is decoded."""

    def __init__(self, max_size):
        self.max_size, self.buffer, self.failed = max_size, bytearray(), False

    def feed(self, chunk):
        """Yields the messages that this chunk completes, as Message or InvalidMessage."""
        if self.failed:
            return
        self.buffer += chunk
        offset = 0
        while len(self.buffer) - offset >= HEADER.size:
            component_type, length, version, size, message_id = HEADER.unpack_from(self.buffer, offset)
            why = ""
            if (component_type, length) != (ComponentType.HEADER, HEADER.size):
                why = f"no header: 0x{component_type:04x}, length {length}"
            elif version != VERSION:
                why = f"version {version}"
            elif size < HEADER.size + COMPONENT_HEAD.size:
                why = f"message length {size}"
            elif size > self.max_size:
                why = f"message of {size} bytes, over {self.max_size}"
            if why:
                self.failed, self.buffer = True, bytearray()
                valid_id = (
                    message_id if (component_type, length) == (ComponentType.HEADER, HEADER.size) else None
                )
                yield InvalidMessage(why, valid_id, fatal=True)
                return
            if len(self.buffer) - offset < size:
                break
            yield decode(memoryview(bytes(self.buffer[offset + HEADER.size : offset + size])), message_id)
            offset += size
        del self.buffer[:offset]

    def has_partial_message(self):
        """Returns whether the input so far ends within a message."""
        return bool(self.buffer)


class Cursor:
    """Reads consecutive components; every length is checked against the bytes available.

    inclusive_lengths: a length that includes nested components was found."""

    def __init__(self, data):
        self.data, self.offset, self.inclusive_lengths = data, 0, False

    def unpack(self, layout):
        if self.offset + layout.size > len(self.data):
            raise DecodeError(f"cut short at byte {self.offset}")
        values = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return values

    def read_bytes(self, count):
        if self.offset + count > len(self.data):
            raise DecodeError(f"cut short at byte {self.offset}")
        self.offset += count
        return bytes(self.data[self.offset - count : self.offset])

    def read_component_head(self, component_type):
        """Reads the head of a component of this type; returns its start and its stated length."""
        start = self.offset
        found, length = self.unpack(COMPONENT_HEAD)
        if found != component_type:
            raise DecodeError(f"0x{found:04x} where 0x{component_type:04x} is due, at byte {start}")
        return start, length

    def check_length(self, start, length, own_length):
        """Checks the stated length of a component that ends here.

        own_length: its length without nested components; a length that includes them is valid too."""
        if length == own_length:
            return
        if length != self.offset - start:
            raise DecodeError(f"length {length} of a component of {own_length}, at byte {start}")
        self.inclusive_lengths = True


def decode(data, message_id):
    """Decodes a message after its header: Message or InvalidMessage."""
    message_type = None
    try:
        message_type = int.from_bytes(data[:2], "big")
        if message_type not in READERS:
            raise DecodeError(f"unknown message 0x{message_type:04x}")
        cursor = Cursor(data)
        start, length = cursor.read_component_head(message_type)
        message = READERS[message_type](cursor, message_id, start, length)
        if cursor.offset != len(data):
            raise DecodeError(f"{len(data) - cursor.offset} bytes too many")
        return message
    except DecodeError as error:
        return InvalidMessage(str(error), message_id, message_type)


def read_member(cursor):
    """Member data, section 5.2."""
    start = cursor.offset
    component_type, length, protocol, port, address, size = cursor.unpack(MEMBER)
    if component_type != ComponentType.MEMBER:
        raise DecodeError(f"0x{component_type:04x} where member data is due, at byte {start}")
    label = cursor.read_bytes(size)
    if length != cursor.offset - start:
        raise DecodeError(f"length {length} of member data, at byte {start}")
    return m.MemberData(protocol, port, address, label)


def read_group(cursor):
    """Group data, section 5.3."""
    start, length = cursor.read_component_head(ComponentType.GROUP)
    uid = cursor.read_bytes(cursor.read_bytes(1)[0])
    name = cursor.read_bytes(cursor.read_bytes(1)[0])
    if length != cursor.offset - start:
        raise DecodeError(f"length {length} of group data, at byte {start}")
    return m.GroupName(uid, name)


def read_weight_entry(cursor):
    """A weight entry, section 5.4."""
    start, length = cursor.read_component_head(ComponentType.WEIGHT_ENTRY)
    member = read_member(cursor)
    state, flags, weight = cursor.unpack(ENTRY_REST)
    cursor.check_length(start, length, ENTRY.size)
    return m.WeightEntry(member, weight, flags, state)


def read_state_entry(cursor):
    """A member state, section 5.5."""
    start, length = cursor.read_component_head(ComponentType.STATE_ENTRY)
    member = read_member(cursor)
    state, flags = cursor.unpack(STATE_REST)
    cursor.check_length(start, length, STATE.size)
    return m.StateEntry(member, state, bool(flags & STATE_QUIESCED))


ENTRY_REST, STATE_REST, COUNT = struct.Struct("!BBH"), struct.Struct("!BB"), struct.Struct("!H")


def read_group_with_items(cursor, component_type, read_item):
    """Reads a group and its items."""
    start, length = cursor.read_component_head(component_type)
    (count,) = cursor.unpack(COUNT)
    group = read_group(cursor)
    items = tuple(read_item(cursor) for _ in range(count))
    cursor.check_length(start, length, COMPONENT_HEAD.size + COUNT.size)
    return group, items


def read_groups_with_items(cursor, count, component_type, read_item):
    return tuple(read_group_with_items(cursor, component_type, read_item) for _ in range(count))


def read_register(cursor, message_id, start, length):
    flags, count = cursor.unpack(struct.Struct("!BH"))
    groups = read_groups_with_items(cursor, count, ComponentType.MEMBERS_OF_GROUP, read_member)
    cursor.check_length(start, length, 7)
    return m.Register(message_id, bool(flags & LB_FLAG), groups, cursor.inclusive_lengths)


def read_deregister(cursor, message_id, start, length):
    flags, reason, count = cursor.unpack(struct.Struct("!BBH"))
    groups = read_groups_with_items(cursor, count, ComponentType.MEMBERS_OF_GROUP, read_member)
    cursor.check_length(start, length, 8)
    return m.Deregister(message_id, bool(flags & LB_FLAG), reason, groups, cursor.inclusive_lengths)


def read_get_weights(cursor, message_id, start, length):
    (count,) = cursor.unpack(COUNT)
    groups = tuple(read_group(cursor) for _ in range(count))
    cursor.check_length(start, length, 6)
    return m.GetWeights(message_id, groups, cursor.inclusive_lengths)


def read_weights_reply(cursor, message_id, start, length):
    code, interval, count = cursor.unpack(struct.Struct("!BHH"))
    groups = read_groups_with_items(cursor, count, ComponentType.WEIGHTS_OF_GROUP, read_weight_entry)
    cursor.check_length(start, length, 9)
    return m.Weights(message_id, code, interval, groups, cursor.inclusive_lengths)


def read_send_weights(cursor, message_id, start, length):
    (count,) = cursor.unpack(COUNT)
    groups = read_groups_with_items(cursor, count, ComponentType.WEIGHTS_OF_GROUP, read_weight_entry)
    cursor.check_length(start, length, 6)
    return m.SendWeights(message_id, groups, cursor.inclusive_lengths)


def read_lb_state(cursor, message_id, start, length):
    uid = cursor.read_bytes(cursor.read_bytes(1)[0])
    health, flags = cursor.unpack(STATE_REST)
    cursor.check_length(start, length, cursor.offset - start)
    return m.SetLbState(
        message_id,
        uid,
        health,
        bool(flags & PUSH),
        bool(flags & TRUST),
        bool(flags & NO_CHANGE),
        cursor.inclusive_lengths,
    )


def read_member_state(cursor, message_id, start, length):
    flags, count = cursor.unpack(struct.Struct("!BH"))
    groups = read_groups_with_items(cursor, count, ComponentType.STATES_OF_GROUP, read_state_entry)
    cursor.check_length(start, length, 7)
    return m.SetMemberState(message_id, bool(flags & LB_FLAG), groups, cursor.inclusive_lengths)


def read_reply(message_type):
    """Returns a reader of replies of this type."""

    def read(cursor, message_id, start, length):
        (code,) = cursor.read_bytes(1)
        cursor.check_length(start, length, 5)
        return m.Reply(message_id, message_type, code, cursor.inclusive_lengths)

    return read


READERS = {
    MessageType.REGISTER: read_register,
    MessageType.DEREGISTER: read_deregister,
    MessageType.GET_WEIGHTS: read_get_weights,
    MessageType.WEIGHTS: read_weights_reply,
    MessageType.SEND_WEIGHTS: read_send_weights,
    MessageType.SET_LB_STATE: read_lb_state,
    MessageType.SET_MEMBER_STATE: read_member_state,
} | {
    message_type: read_reply(message_type)
    for message_type in (
        MessageType.REGISTER_REPLY,
        MessageType.DEREGISTER_REPLY,
        MessageType.SET_LB_STATE_REPLY,
        MessageType.SET_MEMBER_STATE_REPLY,
    )
}


def encode_component(component_type, fields, nested, inclusive_lengths):
    """Encodes a component. fields: its own fields after the length; nested: the components inside it."""
    length = COMPONENT_HEAD.size + len(fields) + (len(nested) if inclusive_lengths else 0)
    if length > MAX_LENGTH:
        raise EncodeError(f"a component of {length} bytes, where 65535 are the most")
    return COMPONENT_HEAD.pack(component_type, length) + fields + nested


def encode_member(value):
    """Encodes a member; the bytes also serve as its key within a group."""
    if len(value.label) > 255:
        raise EncodeError("a label over 255 bytes")
    size = MEMBER.size + len(value.label)
    return (
        MEMBER.pack(ComponentType.MEMBER, size, value.protocol, value.port, value.address, len(value.label))
        + value.label
    )


def encode_group_name(value):
    if len(value.uid) > 255 or len(value.name) > 255:
        raise EncodeError("a name over 255 bytes")
    fields = bytes([len(value.uid)]) + value.uid + bytes([len(value.name)]) + value.name
    return encode_component(ComponentType.GROUP, fields, b"", False)


def encode_weight_entry(encoded_member, state, flags, weight, inclusive_lengths):
    """Encodes a weight entry. encoded_member: from encode_member."""
    length = ENTRY.size + (len(encoded_member) if inclusive_lengths else 0)
    return (
        COMPONENT_HEAD.pack(ComponentType.WEIGHT_ENTRY, length)
        + encoded_member
        + ENTRY_REST.pack(state, flags, weight)
    )


def encode_state_entry(value, inclusive_lengths):
    encoded_member = encode_member(value.member)
    length = STATE.size + (len(encoded_member) if inclusive_lengths else 0)
    return (
        COMPONENT_HEAD.pack(ComponentType.STATE_ENTRY, length)
        + encoded_member
        + STATE_REST.pack(value.state, STATE_QUIESCED * value.quiesced)
    )


def encode_group_component(component_type, name, count, items, inclusive_lengths):
    """Encodes a group with its `count` encoded items."""
    if count > MAX_LENGTH:
        raise EncodeError("over 65535 members")
    return encode_component(
        component_type, COUNT.pack(count), encode_group_name(name) + items, inclusive_lengths
    )


def encode_member_groups(groups, inclusive_lengths):
    return [
        encode_group_component(
            ComponentType.MEMBERS_OF_GROUP,
            name,
            len(items),
            b"".join(map(encode_member, items)),
            inclusive_lengths,
        )
        for name, items in groups
    ]


def encode_weight_groups(groups, inclusive_lengths):
    return [
        encode_group_component(
            ComponentType.WEIGHTS_OF_GROUP,
            name,
            len(items),
            b"".join(
                encode_weight_entry(encode_member(x.member), x.state, x.flags, x.weight, inclusive_lengths)
                for x in items
            ),
            inclusive_lengths,
        )
        for name, items in groups
    ]


def frame(message_id, message_type, fields, nested, inclusive_lengths):
    """Encodes a whole message. fields: as in encode_component; nested: a list of encoded components."""
    body = encode_component(message_type, fields, b"".join(nested), inclusive_lengths)
    return HEADER.pack(ComponentType.HEADER, HEADER.size, VERSION, HEADER.size + len(body), message_id) + body


def encode_weights_reply(message_id, code, interval, groups, inclusive_lengths):
    """Encodes the reply to Get Weights. groups: from encode_group_component."""
    return frame(
        message_id,
        MessageType.WEIGHTS,
        struct.pack("!BHH", code, interval, len(groups)),
        groups,
        inclusive_lengths,
    )


def encode_send_weights(message_id, groups, inclusive_lengths):
    """Encodes Send Weights. groups: from encode_group_component."""
    return frame(message_id, MessageType.SEND_WEIGHTS, COUNT.pack(len(groups)), groups, inclusive_lengths)


def encode(message):
    """Encodes a message; raises EncodeError."""
    inclusive_lengths = message.inclusive_lengths
    match message:
        case m.Reply():
            return frame(message.id, message.message_type, bytes([message.code]), [], inclusive_lengths)
        case m.Register():
            fields = struct.pack("!BH", LB_FLAG * message.lb, len(message.groups))
            return frame(
                message.id,
                MessageType.REGISTER,
                fields,
                encode_member_groups(message.groups, inclusive_lengths),
                inclusive_lengths,
            )
        case m.Deregister():
            fields = struct.pack("!BBH", LB_FLAG * message.lb, message.reason, len(message.groups))
            return frame(
                message.id,
                MessageType.DEREGISTER,
                fields,
                encode_member_groups(message.groups, inclusive_lengths),
                inclusive_lengths,
            )
        case m.GetWeights():
            fields = COUNT.pack(len(message.groups))
            return frame(
                message.id,
                MessageType.GET_WEIGHTS,
                fields,
                [encode_group_name(g) for g in message.groups],
                inclusive_lengths,
            )
        case m.Weights():
            groups = encode_weight_groups(message.groups, inclusive_lengths)
            return encode_weights_reply(message.id, message.code, message.interval, groups, inclusive_lengths)
        case m.SendWeights():
            return encode_send_weights(
                message.id, encode_weight_groups(message.groups, inclusive_lengths), inclusive_lengths
            )
        case m.SetLbState():
            flags = PUSH * message.push | TRUST * message.trust | NO_CHANGE * message.no_change
            fields = bytes([len(message.uid)]) + message.uid + bytes([message.health, flags])
            return frame(message.id, MessageType.SET_LB_STATE, fields, [], inclusive_lengths)
        case m.SetMemberState():
            groups = [
                encode_group_component(
                    ComponentType.STATES_OF_GROUP,
                    name,
                    len(items),
                    b"".join(encode_state_entry(x, inclusive_lengths) for x in items),
                    inclusive_lengths,
                )
                for name, items in message.groups
            ]
            fields = struct.pack("!BH", LB_FLAG * message.lb, len(groups))
            return frame(message.id, MessageType.SET_MEMBER_STATE, fields, groups, inclusive_lengths)
    raise TypeError(f"no message: {message!r}")


REPLY_TYPES = {
    MessageType.REGISTER: MessageType.REGISTER_REPLY,
    MessageType.DEREGISTER: MessageType.DEREGISTER_REPLY,
    MessageType.SET_LB_STATE: MessageType.SET_LB_STATE_REPLY,
    MessageType.SET_MEMBER_STATE: MessageType.SET_MEMBER_STATE_REPLY,
}


def encode_not_understood_reply(invalid):
    """Encodes the reply to an invalid message, of the matching type; b"" if the message has no id."""
    if invalid.id is None:
        return b""
    if invalid.message_type == MessageType.GET_WEIGHTS:
        return encode_weights_reply(invalid.id, ResponseCode.NOT_UNDERSTOOD, 0, [], False)
    message_type = REPLY_TYPES.get(invalid.message_type, MessageType.REGISTER_REPLY)
    return encode(m.Reply(invalid.id, message_type, ResponseCode.NOT_UNDERSTOOD))
