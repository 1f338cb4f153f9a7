"""Splits a stream of bytes into lines."""

import re

PROTOCOL_LINE_END = re.compile(rb"\r?\n")
EVENT_STREAM_LINE_END = re.compile(rb"\r\n?|\n")  # an event stream may also end lines with a single CR


class LineSplitter:
    """Yields lines as slices of the received chunk; only an incomplete line is copied.

    line_end: one of the patterns above; limit: the length in bytes above which an incomplete line sets
    `too_long`."""

    def __init__(self, line_end, limit):
        self.line_end, self.limit, self.rest, self.too_long = line_end, limit, bytearray(), False
        self.ended_with_cr = False

    def split(self, chunk):
        """Yields the lines that a chunk completes, without line ends."""
        view, start = memoryview(chunk), 0
        if self.ended_with_cr and chunk[:1] == b"\n":
            start = 1  # the LF of a CRLF whose CR came with the previous chunk and ended the line
        self.ended_with_cr = self.line_end is EVENT_STREAM_LINE_END and chunk[-1:] == b"\r"
        for end in self.line_end.finditer(chunk, start):
            line = view[start : end.start()]
            start = end.end()
            if self.rest:
                self.rest += line
                line, self.rest = memoryview(self.rest), bytearray()
                if self.line_end is PROTOCOL_LINE_END and line[-1:] == b"\r":
                    line = line[:-1]
            yield line
        self.rest += view[start:]
        self.too_long = len(self.rest) > self.limit
