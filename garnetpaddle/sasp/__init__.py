"""The Server/Application State Protocol, RFC 4678, in the role of the group workload manager (GWM).

A codec and a session without I/O; garnetpaddle/front_ends serves it over TCP, garnetpaddle/client implements
the load balancer's role. constants.FIELD_SOURCES says how reliable each protocol number is."""

from garnetpaddle.sasp.codec import InvalidMessage, MessageDecoder, encode
from garnetpaddle.sasp.messages import (
    Deregister,
    GetWeights,
    GroupName,
    MemberData,
    Register,
    Reply,
    SendWeights,
    SetLbState,
    SetMemberState,
    StateEntry,
    WeightEntry,
    Weights,
)
from garnetpaddle.sasp.session import Session

__all__ = [
    "InvalidMessage",
    "Deregister",
    "MessageDecoder",
    "GetWeights",
    "GroupName",
    "MemberData",
    "Register",
    "Reply",
    "SendWeights",
    "Session",
    "SetLbState",
    "SetMemberState",
    "StateEntry",
    "WeightEntry",
    "Weights",
    "encode",
]
