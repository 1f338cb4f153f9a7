"""The events that a client's state machine handles, the actions that it returns, and its backoff.

Besides these actions, a state machine returns Updates. Times are in tenths of a ms."""

import enum
from dataclasses import dataclass

from garnetpaddle.sasp.messages import MemberData

SECOND = 10_000  # tenths of a ms
MIN_RECONNECT_WAIT, MAX_RECONNECT_WAIT = 2_000, 100_000  # 0.2 s, doubled up to 10 s
JITTER = (0.5, 1.5)  # factor on a wait, so that clients of a restarted manager do not return all at once
MAX_DOUBLINGS = 16


def backoff(shortest, longest, failures, uniform):
    """Returns a wait that doubles with each failure up to `longest`, times a random factor.

    failures: in a row, before this one; uniform: (low, high) -> random float."""
    return int(min(shortest * 2 ** min(failures, MAX_DOUBLINGS), longest) * uniform(*JITTER))


# Events


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """The connection requested by Connect is open."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A decoded message, or the codec's InvalidMessage."""

    message: object


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection has ended or could not be opened."""

    why: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time requested by SetTimer has come."""


class Change(enum.Enum):
    """A change to members of a group."""

    ADD = "add"
    REMOVE = "drop"
    QUIESCE = "quiesce"
    OPEN = "open"


@dataclass(frozen=True, slots=True)
class ChangeMembers:
    """The user's request to change members of a group."""

    group: str
    members: tuple[MemberData, ...]
    change: Change


# Actions


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection."""


@dataclass(frozen=True, slots=True)
class SendBytes:
    """Write to the connection."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Abort the connection."""

    why: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send TimerExpired at this time, replacing the previous timer."""

    at: int


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """The manager refused a request.

    After "register" or "weights", the state machine registers again on the same connection, with backoff;
    any other refused request is only reported."""

    request: str
    code: int
