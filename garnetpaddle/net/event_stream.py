"""Parser of the text/event-stream format (server-sent events)."""

from typing import NamedTuple
from urllib.parse import parse_qsl

from garnetpaddle.net.line_splitter import EVENT_STREAM_LINE_END, LineSplitter

MAX_EVENT_BYTES = 1 << 20


class StreamEvent(NamedTuple):
    """An event: its type (empty for a comment) and the fields of its form-encoded data."""

    kind: str
    fields: dict[str, str]


KEEP_ALIVE = StreamEvent("", {})  # a comment line


class EventStreamParser:
    """Incremental parser: chunks of bytes in, StreamEvents out."""

    def __init__(self):
        self.lines, self.first_line = LineSplitter(EVENT_STREAM_LINE_END, MAX_EVENT_BYTES), True
        self.reset_event()

    def reset_event(self):
        """Clears the state for the next event."""
        self.kind, self.data, self.size = "message", [], 0

    def too_long(self):
        """Whether the incomplete line or event exceeds the limit."""
        return self.lines.too_long or self.size > MAX_EVENT_BYTES

    def feed(self, chunk):
        """Yields the events that a chunk completes."""
        for line in self.lines.split(chunk):
            text = str(line, "utf-8", "replace")
            if self.first_line:
                text, self.first_line = text.removeprefix("\ufeff"), False
            if not text:
                if self.data:
                    yield StreamEvent(
                        self.kind, dict(parse_qsl("\n".join(self.data), keep_blank_values=True))
                    )
                self.reset_event()
            elif text.startswith(":"):
                yield KEEP_ALIVE
            else:
                self.add_field(text, len(line))

    def add_field(self, text, size):
        """Handles one `name: value` line."""
        name, _, value = text.partition(":")
        value = value.removeprefix(" ")
        if name == "event":
            self.kind = value
        elif name == "data":
            self.data.append(value)
            self.size += size
