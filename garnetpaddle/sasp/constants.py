"""The numbers of RFC 4678 (SASP version 1).

They are recalled, not read: the text of the RFC could not be had where this was written. The table says
of each how sure that is. "shape": follows from other facts (lengths that add up, counts of 16 bits);
"memory": from memory alone, could not be checked. Whoever has the RFC at hand should compare them all
before serving a balancer of another maker; nothing but this file and `codec` would change.
"""

from enum import IntEnum

VERSION = 1
PORT = 3860  # registered for SASP


class MessageType(IntEnum):
    """Types of messages, section 6."""

    REGISTER, REGISTER_REPLY = 0x1010, 0x1015
    DEREGISTER, DEREGISTER_REPLY = 0x1020, 0x1025
    GET_WEIGHTS, WEIGHTS = 0x1030, 0x1035
    SEND_WEIGHTS = 0x1040
    SET_LB_STATE, SET_LB_STATE_REPLY = 0x1050, 0x1055
    SET_MEMBER_STATE, SET_MEMBER_STATE_REPLY = 0x1060, 0x1065


class ComponentType(IntEnum):
    """Types of components, section 5."""

    HEADER = 0x2010
    MEMBER, GROUP, WEIGHT_ENTRY, STATE_ENTRY = 0x3010, 0x3011, 0x3012, 0x3013
    MEMBERS_OF_GROUP, WEIGHTS_OF_GROUP, STATES_OF_GROUP = 0x4010, 0x4011, 0x4012


class ResponseCode(IntEnum):
    """Response codes, with each reply's section."""

    SUCCESS = 0x00
    NOT_UNDERSTOOD = 0x10
    NOT_ACCEPTED = 0x11  # the GWM will not accept this message from the sender
    MEMBER_REGISTERED = 0x40  # already
    DUPLICATE_MEMBER = 0x41  # in the request
    INVALID_GROUP = 0x42
    INVALID_GROUP_NAME_SIZE = 0x43  # 0
    INVALID_LB_UID_SIZE = 0x44  # 0 or over the most
    LB_UNKNOWN_YET = 0x45  # a member registers itself, and its balancer has not contacted the GWM
    MEMBER_NOT_REGISTERED = 0x50
    UNKNOWN_GROUP = 0x51
    UNKNOWN_LB_UID = 0x52
    DUPLICATE_IN_REQUEST = 0x53  # a member or a group
    LB_UNKNOWN_YET_DEREGISTER = 0x61  # a member deregisters itself likewise
    NOT_TRUSTED = 0x63  # the balancer has turned the trust flag off


LB_FLAG = 0x01  # of a registration, deregistration, member state: the balancer sends it
REASON_LEARNED = 0x01  # of a deregistration: learned and purposeful; 0: no reason
PUSH, TRUST, NO_CHANGE = 0x01, 0x02, 0x04  # flags of Set LB State
CONTACT, QUIESCE, REGISTERED, CONFIDENT = 0x01, 0x02, 0x04, 0x08  # flags of a weight entry
STATE_QUIESCED = 0x01  # flag of a member state entry

FIELD_SOURCES = (
    # what, section, how sure
    ("header: type 0x2010, length 13, version, message length of 4 bytes, message id of 4", "5.1", "shape"),
    ("components begin with a type and a length of 2 bytes each, the length counting these 4", "5", "memory"),
    (
        "a length leaves out components nested in this one; a peer that counts them is answered in kind",
        "5",
        "memory",
    ),
    ("kinds of messages 0x1010 to 0x1065", "6", "memory"),
    ("Send Weights has no reply", "6.4", "memory"),
    ("types of components 0x3010 to 0x4012", "5", "memory"),
    (
        "member data: protocol, port, address of 16 bytes with IPv4 mapped, label behind its length",
        "5.2",
        "memory",
    ),
    ("group data: LB UID and group name, each behind a length of 1 byte", "5.3", "memory"),
    ("weight entry: member data, then opaque state, flags, weight of 2 bytes", "5.4", "memory"),
    ("member state entry: member data, then opaque state and flags", "5.5", "memory"),
    (
        "get weights reply: code, interval of 2 bytes in seconds, count, groups of weight data",
        "6.3",
        "memory",
    ),
    (
        "Set LB State: LB UID behind its length, health of 1 byte, flags 1 push, 2 trust, 4 no change",
        "6.5",
        "memory",
    ),
    ("flags of a weight entry: 1 contact, 2 quiesce, 4 registration, 8 confident", "5.4", "memory"),
    ("response codes", "6", "memory"),
    (
        "a group without members in a deregistration means all of its members; no group, all groups",
        "6.2",
        "memory",
    ),
)
