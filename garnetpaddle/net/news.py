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
NOTHING = lines.Known({})  # the news names no route
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


class Feed:
    """One stream of the relay: whom it has named since it opened, and since when it has named all."""

    def __init__(self, planned=False):
        self.planned, self.listed, self.named = planned, False, {}
        self.track()

    def track(self):
        """From here on also who joined or left after it was named, and what was applied."""
        self.again, self.applied = {}, {}

    def take(self, event, tracked):
        match event:
            case gp.ProxyJoined(proxy=proxy):
                if tracked and proxy in self.named:
                    self.again[proxy] = True
                self.named[proxy] = event
            case gp.ProxyLeft(proxy=proxy):
                self.named.pop(proxy, None)
                if tracked:
                    self.again[proxy] = True
            case gp.Applied() if tracked:
                self.applied[event.proxy, event.mark] = event


class Roll:
    """Who is joined, over gaps and moves of the stream.

    After a gap all whom the new stream names are joined anew, as they may have been away meanwhile; whom it
    does not name has left. Over a planned move the former stream tells what the new one's list cannot.
    """

    def __init__(self, hear):
        self.hear, self.joined, self.feed, self.coming = hear, {}, None, None

    def open(self, feed):
        """A stream begins: in place of one that broke, or beside the present one until it has told all."""
        if feed.planned:
            self.coming = feed
            if self.feed:
                self.feed.track()
        else:
            self.feed, self.coming = feed, None

    def heard(self, feed, event):
        known = feed.planned and not feed.listed and event.proxy not in feed.named
        feed.take(event, self.coming is not None)
        match event:
            case _ if feed is not self.feed:
                pass
            case gp.ProxyJoined(proxy=proxy) if known and proxy in self.joined:
                pass  # it was joined before the move, and is
            case _:
                self.tell(event)

    def tell(self, event):
        match event:
            case gp.ProxyJoined():
                self.joined[event.proxy] = True
            case gp.ProxyLeft():
                self.joined.pop(event.proxy, None)
        self.hear(event)

    def complete(self, feed):
        """The stream has told all that stands."""
        if feed.listed:
            return
        feed.listed = True
        if feed is self.coming:
            self.switch()
        elif feed is self.feed:
            self.drop_unnamed()

    def switch(self):
        """The coming stream takes over: what it knows and the former one did not tell is told."""
        former, self.feed, self.coming = self.feed, self.coming, None
        feed = self.feed
        if feed.listed:
            self.drop_unnamed()
        for proxy, event in list(feed.named.items()):
            if proxy not in self.joined or proxy in feed.again and proxy not in former.again:
                self.tell(event)
        for key, event in feed.applied.items():
            if key not in former.applied:
                self.tell(event)
        feed.track()

    def drop_unnamed(self):
        for proxy in [proxy for proxy in self.joined if proxy not in self.feed.named]:
            self.tell(gp.ProxyLeft(proxy))


class News:
    def __init__(self, address, marks, hear):
        self.address, self.marks, self.hear = address, marks, hear
        self.roll, self.failures, self.opened = Roll(self.tell), 0, False
        self.following, self.moving = None, None

    def move(self, address):
        """A stream at another address is opened; the present one is followed until that has told all."""
        self.address = address
        if self.moving:
            self.moving.cancel()
        self.moving = asyncio.get_running_loop().create_task(self.take_over(address))

    async def take_over(self, address):
        ours, tries = asyncio.current_task(), 0
        while self.moving is ours:
            if tries:
                await asyncio.sleep(PAUSES[min(tries, len(PAUSES) - 1)])
            why, tries = await self.follow(address, True), tries + 1
        return why  # it had taken over, and ended

    async def run(self):
        while True:
            if not self.following:
                self.following = asyncio.ensure_future(self.follow(self.address, False))
            following = self.following
            await asyncio.wait({following})
            if following is not self.following:
                continue  # another stream has taken over
            self.following = None
            if self.moving and self.roll.coming:
                log.info("news_moved", early=True)  # the former broke off before the new one had told all
                self.following, self.moving = self.moving, None
                self.roll.switch()
                continue
            if self.moving:
                self.moving.cancel()
                self.moving = None
            if not self.failures:
                log.warning("news_lost", why=following.result())
            await asyncio.sleep(PAUSES[min(self.failures, len(PAUSES) - 1)])
            self.failures += 1

    async def follow(self, address, planned):
        """Follows one stream to its end; says why it ended."""
        link = await http.dial(address, DIAL_WAIT)
        if isinstance(link, http.NotSent):
            return link.why
        feed = Feed(planned)
        try:
            link.write("GET", "/v1/events")
            head = await http.within(SILENT, link.head())
            if head is None or head.status_code != 200:
                return f"answered {head.status_code}" if head else http.CLOSED
            log.info("news_open", gap=self.opened and not planned)
            if self.opened and not planned:  # the relay may have begun anew meanwhile
                self.hear(gp.OrdersInDoubt())
            self.opened = True
            self.roll.open(feed)
            return await self.listen(link, Stream(), feed)
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            return http.reason(error, link.reader.at_eof())
        finally:
            link.close()
            if self.roll.coming is feed:
                self.roll.coming = None

    async def listen(self, link, stream, feed):
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        while True:
            chunk = await http.within(SILENT, link.piece())
            if chunk is None:
                return "stream ended"
            self.failures = 0
            for kind, words in stream.take(chunk):
                if kind:
                    self.take(feed, kind, words)
                elif loop.time() - opened_at > LISTED and not feed.listed:
                    self.listed(feed)
            if stream.over():
                return "event too long"

    def listed(self, feed):
        former = self.following
        if feed is self.roll.coming:
            log.info("news_moved", early=False)
            self.following, self.moving = self.moving, None
            former.cancel()
        self.roll.complete(feed)

    def take(self, feed, kind, words):
        try:
            event = lines.event(kind, words, NOTHING)
        except (KeyError, ValueError) as error:
            log.warning("news_unreadable", kind=kind[:40], why=str(error)[:80])
            return
        if isinstance(event, gp.ProxyJoined | gp.ProxyLeft | gp.Applied):
            self.roll.heard(feed, event)

    def tell(self, event):
        if isinstance(event, gp.Applied):
            event = self.marks.back(event)
        if event is not None:
            self.hear(event)
