"""Events that a session handles and actions that it returns: the interface between the pure sessions and the
sockets around them."""

from dataclasses import dataclass

from garnetpaddle.book import Snapshot

# Events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A decoded message of the client, or the codec's value for an unreadable one."""

    message: object


@dataclass(frozen=True, slots=True)
class InputProcessed:
    """A chunk of input was processed. incomplete: a message has begun and not ended."""

    incomplete: bool


@dataclass(frozen=True, slots=True)
class InputDelayed:
    """The client's input was queued here for so long before it was read, which is no silence of its own."""

    duration: int


@dataclass(frozen=True, slots=True)
class SnapshotPublished:
    """There is a newer snapshot of the book."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class BytesAcknowledged:
    """The client's machine has acknowledged the first `total` bytes of the stream."""

    total: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time asked for by SetTimer has come."""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection has ended."""

    why: str


# Actions


@dataclass(frozen=True, slots=True)
class WriteBytes:
    """Write to the client."""

    data: bytes


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection now; afterwards only ConnectionLost is handled."""

    why: str


@dataclass(frozen=True, slots=True)
class PublishEvent:
    """Pass an event to the Brain."""

    event: object


@dataclass(frozen=True, slots=True)
class NotifySession:
    """Let another connection's session check what it has to do."""

    connection: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Hand in TimerExpired at this time; replaces the former timer. None: no timer."""

    at: int | None


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line, as a warning or for information."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()
    warning: bool = False


def log_line(event, warning=False, **fields):
    """A LogLine with these fields."""
    return LogLine(event, tuple(fields.items()), warning)
