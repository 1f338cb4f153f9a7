"""The relay's event stream: which proxies are joined and what they have applied."""

import asyncio
from urllib.parse import parse_qsl

import h11
import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import http, lines
from garnetpaddle.net.frames import EVENTS, Frames

SILENT = 2.5  # s without a byte, where a sign of life comes each second: the stream is dead
LISTED = 0.5  # s after which a sign of life means that all that stands has been told
DIAL_WAIT = 0.5  # s
PAUSES = (0.0, 0.05, 0.1, 0.2, 0.4)  # s before the stream is opened anew
LINE_MOST = 1 << 20  # bytes
log = structlog.get_logger()


class Stream:
    """Event-stream bytes in, (kind, words) out; a sign of life is ("", {})."""

    def __init__(self):
        self.frames, self.kind, self.data, self.first = Frames(EVENTS, LINE_MOST), "message", [], True
        self.size = 0  # of the data of an event that no blank line has ended yet

    def over(self):
        return self.frames.over or self.size > LINE_MOST

    def take(self, chunk):
        for line in self.frames.cut(chunk):
            text = str(line, "utf-8", "replace")
            if self.first:
                text, self.first = text.removeprefix("\ufeff"), False
            if not text:
                if self.data:
                    yield self.kind, dict(parse_qsl("\n".join(self.data), keep_blank_values=True))
                self.kind, self.data, self.size = "message", [], 0
            elif text.startswith(":"):
                yield "", {}
            else:
                field, _, value = text.partition(":")
                value = value.removeprefix(" ")
                if field == "event":
                    self.kind = value
                elif field == "data":
                    self.data.append(value)
                    self.size += len(line)


class Roll:
    """Who is joined, over gaps of the stream: whom a new stream does not name has left meanwhile."""

    def __init__(self):
        self.joined, self.named = {}, None

    def opened(self):
        self.named = {}

    def heard(self, event):
        match event:
            case gp.ProxyJoined(proxy=proxy):
                self.joined[proxy] = True
                if self.named is not None:
                    self.named[proxy] = True
            case gp.ProxyLeft(proxy=proxy):
                self.joined.pop(proxy, None)
        return event

    def complete(self):
        """The new stream has told all that stands."""
        missing = [proxy for proxy in self.joined if self.named is not None and proxy not in self.named]
        self.named = None
        return [self.heard(gp.ProxyLeft(proxy)) for proxy in missing]


class News:
    def __init__(self, address, marks, hear):
        self.address, self.marks, self.hear = address, marks, hear
        self.roll, self.failures, self.opened = Roll(), 0, False

    async def run(self):
        while True:
            why = await self.follow()
            if not self.failures:
                log.warning("news_lost", why=why)
            await asyncio.sleep(PAUSES[min(self.failures, len(PAUSES) - 1)])
            self.failures += 1

    async def follow(self):
        """Follows one stream to its end; says why it ended."""
        link = await http.dial(self.address, DIAL_WAIT)
        if isinstance(link, http.NotSent):
            return link.why
        try:
            link.write("GET", "/v1/events")
            head = await http.within(SILENT, link.head())
            if head is None or head.status_code != 200:
                return f"answered {head.status_code}" if head else http.CLOSED
            log.info("news_open", gap=self.opened)
            if self.opened:  # the relay may have begun anew meanwhile
                self.hear(gp.OrdersInDoubt())
            self.opened = True
            self.roll.opened()
            return await self.listen(link, Stream())
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            return http.reason(error, link.reader.at_eof())
        finally:
            link.close()

    async def listen(self, link, stream):
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        while True:
            chunk = await http.within(SILENT, link.piece())
            if chunk is None:
                return "stream ended"
            self.failures = 0
            for kind, words in stream.take(chunk):
                if not kind:
                    for event in self.roll.complete() if loop.time() - opened_at > LISTED else ():
                        self.hear(event)
                else:
                    self.take(kind, words)
            if stream.over():
                return "event too long"

    def take(self, kind, words):
        try:
            event = self.roll.heard(lines.event(kind, words, {}))
        except (KeyError, ValueError) as error:
            log.warning("news_unreadable", kind=kind[:40], why=str(error)[:80])
            return
        if isinstance(event, gp.Applied):
            event = self.marks.back(event)
        if event is not None:
            self.hear(event)
