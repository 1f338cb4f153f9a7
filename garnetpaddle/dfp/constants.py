"""The numbers of DFP (draft-eck-dfp), written down from memory.

FIELD_SOURCES says where each was taken from; see garnetpaddle.sasp.constants."""

from enum import IntEnum

VERSION = 1


class MessageType(IntEnum):
    """Message types."""

    PREFERENCE = 0x0101  # agent to manager
    SERVER_STATE = 0x0201  # manager to agent
    PARAMETERS = 0x0301  # manager to agent
    BINDID_REQUEST, BINDID_REPORT = 0x0401, 0x0402  # manager to agent, and back


class TlvType(IntEnum):
    """TLV types."""

    SECURITY = 0x0001
    LOAD = 0x0002
    KEEP_ALIVE = 0x0101
    BINDID_TABLE = 0x0301


MD5 = 1  # security algorithm; 0 is none

FIELD_SOURCES = (
    # what, source
    (
        "header: version 1, reserved byte, type of 2 bytes, message length of 4 bytes including the header",
        "memory",
    ),
    ("TLV: type and length of 2 bytes each, the length counting these 4", "memory"),
    (
        "messages: preference 0x0101, server state 0x0201, parameters 0x0301, BindID 0x0401 and 0x0402",
        "memory",
    ),
    (
        "security TLV 0x0001: algorithm (1 is MD5), key id of 4 bytes each, data of 16; first in the message",
        "memory",
    ),
    ("security data: MD5 of the message, this data zero, followed by the key", "memory"),
    ("load TLV 0x0002: port, protocol, flags, count, 2 reserved; hosts of address, BindID, weight", "memory"),
    ("keep-alive TLV 0x0101: seconds of 4 bytes", "memory"),
    (
        "BindID table TLV 0x0301: port, protocol, flags, count, 2 reserved; entries of BindID, address, mask",
        "memory",
    ),
    ("weights are preferences: higher is preferred, 0 means no new connections", "memory"),
)
