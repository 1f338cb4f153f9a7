"""The numbers of RFC 4678 (SASP version 1).

They were written down from memory, without access to the text of the RFC. FIELD_SOURCES says for each how
reliable it is: "derived" follows from other facts (lengths that add up, counts of 16 bits); "memory" could
not be checked. Compare them all with the RFC before serving another vendor's load balancer; a correction
would change only this file and `codec`."""

from enum import IntEnum

VERSION = 1
PORT = 3860  # registered for SASP


class MessageType(IntEnum):
    """Message types, section 6."""

    REGISTER, REGISTER_REPLY = 0x1010, 0x1015
    DEREGISTER, DEREGISTER_REPLY = 0x1020, 0x1025
    GET_WEIGHTS, WEIGHTS = 0x1030, 0x1035
    SEND_WEIGHTS = 0x1040
    SET_LB_STATE, SET_LB_STATE_REPLY = 0x1050, 0x1055
    SET_MEMBER_STATE, SET_MEMBER_STATE_REPLY = 0x1060, 0x1065


class ComponentType(IntEnum):
    """Component types, section 5."""

    HEADER = 0x2010
    MEMBER, GROUP, WEIGHT_ENTRY, STATE_ENTRY = 0x3010, 0x3011, 0x3012, 0x3013
    MEMBERS_OF_GROUP, WEIGHTS_OF_GROUP, STATES_OF_GROUP = 0x4010, 0x4011, 0x4012


class ResponseCode(IntEnum):
    """Response codes; those from 0x40 on belong to one kind of reply."""

    SUCCESS = 0x00
    NOT_UNDERSTOOD = 0x10
    NOT_ACCEPTED = 0x11  # the GWM will not accept this message from the sender
    MEMBER_REGISTERED = 0x40  # the member is registered already
    DUPLICATE_MEMBER = 0x41  # within the request
    INVALID_GROUP = 0x42
    INVALID_GROUP_NAME_SIZE = 0x43  # 0
    INVALID_LB_UID_SIZE = 0x44  # 0 or over the maximum
    LB_UNKNOWN_YET = 0x45  # a member registers itself before its balancer has contacted the GWM
    MEMBER_NOT_REGISTERED = 0x50
    UNKNOWN_GROUP = 0x51
    UNKNOWN_LB_UID = 0x52
    DUPLICATE_IN_REQUEST = 0x53  # a member or a group
    LB_UNKNOWN_YET_DEREGISTER = 0x61  # a member deregisters itself before its balancer has contacted the GWM
    NOT_TRUSTED = 0x63  # the balancer has turned the trust flag off


LB_FLAG = 0x01  # of a registration, deregistration or member state: sent by the load balancer
REASON_LEARNED = 0x01  # of a deregistration: learned and purposeful; 0: no reason
PUSH, TRUST, NO_CHANGE = 0x01, 0x02, 0x04  # flags of Set LB State
CONTACT, QUIESCE, REGISTERED, CONFIDENT = 0x01, 0x02, 0x04, 0x08  # flags of a weight entry
STATE_QUIESCED = 0x01  # flag of a member state entry

FIELD_SOURCES = (
    # what, section, source
    ("header: type 0x2010, length 13, version, message length of 4 bytes, message id of 4", "5.1", "derived"),
    ("components begin with a type and a length of 2 bytes each, the length counting these 4", "5", "memory"),
    (
        "a length excludes nested components; a peer that includes them is answered in the same form",
        "5",
        "memory",
    ),
    ("message types 0x1010 to 0x1065", "6", "memory"),
    ("Send Weights has no reply", "6.4", "memory"),
    ("component types 0x3010 to 0x4012", "5", "memory"),
    (
        "member data: protocol, port, address of 16 bytes with IPv4 mapped, label after its length",
        "5.2",
        "memory",
    ),
    ("group data: LB UID and group name, each after a length of 1 byte", "5.3", "memory"),
    ("weight entry: member data, then opaque state, flags, weight of 2 bytes", "5.4", "memory"),
    ("member state entry: member data, then opaque state and flags", "5.5", "memory"),
    (
        "get weights reply: code, interval of 2 bytes in seconds, count, groups of weight data",
        "6.3",
        "memory",
    ),
    (
        "Set LB State: LB UID after its length, health of 1 byte, flags 1 push, 2 trust, 4 no change",
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
