"""What a session of advice hears and does: values between the pure sessions and the sockets around them."""

from dataclasses import dataclass

from garnetpaddle.book import Reading


@dataclass(frozen=True, slots=True)
class Heard:
    """A message of the client, decoded, or what the codec says of one that can't be read."""

    message: object


@dataclass(frozen=True, slots=True)
class Partial:
    """After a chunk: whether a message has begun and not ended."""

    half: bool


@dataclass(frozen=True, slots=True)
class Waited:
    """What the client said waited here for so long before we read it: that is no silence of its own."""

    span: int


@dataclass(frozen=True, slots=True)
class News:
    reading: Reading


@dataclass(frozen=True, slots=True)
class Acked:
    """The client's machine has so many bytes of ours."""

    upto: int


@dataclass(frozen=True, slots=True)
class Due:
    """The time asked for by Wake has come."""


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection is no more."""

    why: str


@dataclass(frozen=True, slots=True)
class Write:
    data: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """End the connection, now; nothing is handled after it but Lost."""

    why: str


@dataclass(frozen=True, slots=True)
class Tell:
    """An event for the Brain."""

    event: object


@dataclass(frozen=True, slots=True)
class Poke:
    """Another connection's session has something to look at."""

    connection: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Hand in Due then; replaces the last one. None: never."""

    at: int | None


@dataclass(frozen=True, slots=True)
class Say:
    """A log line."""

    event: str
    words: tuple[tuple[str, object], ...] = ()
    loud: bool = False


def say(event, loud=False, **words):
    return Say(event, tuple(words.items()), loud)
