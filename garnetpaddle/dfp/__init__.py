"""Cisco's Dynamic Feedback Protocol as in draft-eck-dfp, in the role of the agent, which advises a manager.

A codec and a session without I/O, based on the logic shared with SASP (garnetpaddle.advice).
constants.FIELD_SOURCES says how reliable each protocol number is."""

from garnetpaddle.dfp.codec import (
    BindIdReport,
    BindIdRequest,
    Host,
    InvalidMessage,
    Load,
    MessageDecoder,
    Parameters,
    Preference,
    ServerState,
    encode,
)
from garnetpaddle.dfp.session import Session

__all__ = [
    "BindIdReport",
    "BindIdRequest",
    "InvalidMessage",
    "MessageDecoder",
    "Host",
    "Load",
    "Parameters",
    "Preference",
    "ServerState",
    "Session",
    "encode",
]
