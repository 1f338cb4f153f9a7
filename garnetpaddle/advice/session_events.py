"""The events that a session handles and the actions that it returns.

They are the interface between the sessions, which do no I/O, and the connection manager."""

from dataclasses import dataclass

from garnetpaddle.snapshots import Snapshot

# Events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A decoded message of the client, or the codec's InvalidMessage."""

    message: object


@dataclass(frozen=True, slots=True)
class InputProcessed:
    """A chunk of input was processed. incomplete: it ended within a message."""

    incomplete: bool


@dataclass(frozen=True, slots=True)
class InputDelayed:
    """The client's input waited here this long before it was read; its time limits must not count that."""

    duration: int


@dataclass(frozen=True, slots=True)
class SnapshotPublished:
    """A newer snapshot of the tables is available."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class BytesAcknowledged:
    """The client's TCP stack has acknowledged the first `total` bytes of the stream."""

    total: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time requested by SetTimer has come."""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection has ended."""

    why: str


# Actions


@dataclass(frozen=True, slots=True)
class WriteBytes:
    """Write these bytes to the client."""

    data: bytes


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection now; afterwards the session handles only ConnectionLost."""

    why: str


@dataclass(frozen=True, slots=True)
class PublishEvent:
    """Pass an event to the Brain."""

    event: object


@dataclass(frozen=True, slots=True)
class NotifySession:
    """Make another connection's session check for work."""

    connection: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send TimerExpired at this time, replacing the previous timer; None cancels it."""

    at: int | None


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line, as a warning or at the info level."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()
    warning: bool = False


def log_line(event, warning=False, **fields):
    """Returns a LogLine with these fields."""
    return LogLine(event, tuple(fields.items()), warning)
