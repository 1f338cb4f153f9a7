"""Subscription to the relay's event stream: which proxies are joined and which orders they have applied."""

import asyncio

import h11
import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import http, message_codec
from garnetpaddle.net.event_stream import EventStreamParser
from garnetpaddle.net.proxy_membership import ProxyMembership, StreamView

PATH = "/v1/events"
SILENCE_TIMEOUT = 2.5  # s without a byte after which the stream counts as dead; keep-alives come every second
INITIAL_LIST_TIME = 0.5  # s after opening; the first later keep-alive ends the initial list of proxies
CONNECT_TIMEOUT = 0.5  # s
BACKOFF = (0.0, 0.05, 0.1, 0.2, 0.4)  # s before the stream is reopened, by consecutive failures
NO_ROUTES = message_codec.KnownNames({})  # events of this stream contain no route
MAX_LOGGED_KIND, MAX_LOGGED_ERROR = 40, 80  # characters
log = structlog.get_logger()


class EventSubscription:
    """Keeps one event stream of the relay open and publishes its events.

    marks: order_codec.MarkTranslator; publish: receives ProxyJoined, ProxyLeft, OrdersApplied and
    ChannelStateUnknown."""

    def __init__(self, address, marks, publish):
        self.address, self.marks, self.publish = address, marks, publish
        self.membership, self.failures, self.opened_before = ProxyMembership(self.publish_event), 0, False
        self.stream_task, self.move_task = None, None

    def move(self, address):
        """Moves to another address; the current stream is followed until the new one is complete."""
        if self.move_task:
            self.move_task.cancel()
        self.move_task = asyncio.get_running_loop().create_task(self.retry_move(address))

    async def retry_move(self, address):
        """Retries a move until it succeeds, whatever the error."""
        this_task, attempts, logged = asyncio.current_task(), 0, None
        while True:
            try:
                why = await self.follow(address)
            except Exception as error:
                log.exception("move_failed", field="store.address")
                why = type(error).__name__
            if self.move_task is not this_task:
                return why  # this stream had become the current one and has ended
            if why != logged:
                log.warning("move_waits", field="store.address", why=why)
            logged, attempts = why, attempts + 1
            await asyncio.sleep(BACKOFF[min(attempts, len(BACKOFF) - 1)])

    def finish_move(self, address):
        """Makes the stream of a move the current one; cancels the former stream."""
        former, self.stream_task, self.move_task = self.stream_task, self.move_task, None
        self.address, self.failures = address, 0
        log.info("news_moved")
        if former and former is not asyncio.current_task():
            former.cancel()

    async def run(self):
        """Follows the stream, reopening it whenever it ends."""
        while True:
            if not self.stream_task:
                self.stream_task = asyncio.ensure_future(self.follow(self.address))
            stream_task = self.stream_task
            await asyncio.wait({stream_task})
            if stream_task is not self.stream_task:
                continue  # another stream has replaced it
            self.stream_task = None
            why = stream_task.result()
            if not self.failures:
                log.warning("news_lost", why=why)
            await asyncio.sleep(BACKOFF[min(self.failures, len(BACKOFF) - 1)])
            self.failures += 1

    async def follow(self, address):
        """Follows one stream to its end; returns why it ended."""
        connection = await http.connect(address, CONNECT_TIMEOUT)
        if isinstance(connection, http.NotSent):
            return connection.why
        view = StreamView(address)
        try:
            connection.send_request("GET", PATH)
            head = await http.with_timeout(SILENCE_TIMEOUT, connection.read_head())
            if head is None or head.status_code != 200:
                return f"HTTP status {head.status_code}" if head else http.CLOSED
            self.handle_open(view)
            return await self.read_events(connection, EventStreamParser(), view)
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            return http.failure_reason(error, connection.reader.at_eof())
        finally:
            connection.close()
            successor = self.membership.successor
            if self.membership.close(view):
                self.finish_move(successor.address)

    def handle_open(self, view):
        """Registers an opened stream."""
        overlapping = self.membership.open(view)
        log.info("news_open", gap=self.opened_before and not overlapping)
        if overlapping:
            return
        if self.opened_before:  # the relay may have restarted in between
            self.publish(gp.ChannelStateUnknown())
        self.opened_before = True
        if asyncio.current_task() is self.move_task:
            self.finish_move(view.address)

    async def read_events(self, connection, parser, view):
        """Reads a stream to its end; returns why it ended."""
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        while True:
            chunk = await http.with_timeout(SILENCE_TIMEOUT, connection.read_body_chunk())
            if chunk is None:
                return "stream ended"
            if view is self.membership.current:
                self.failures = 0
            for kind, fields in parser.feed(chunk):
                view.alive = True
                if kind:
                    self.receive(view, kind, fields)
                elif loop.time() - opened_at > INITIAL_LIST_TIME:
                    self.membership.mark_complete(view)
            if self.membership.can_switch():
                successor = self.membership.successor
                self.membership.switch()
                self.finish_move(successor.address)
            if parser.too_long():
                return "event too long"

    def receive(self, view, kind, fields):
        """Decodes one event and passes it on; logs one that cannot be decoded."""
        try:
            event = message_codec.parse_event(kind, fields, NO_ROUTES)
        except (KeyError, ValueError) as error:
            log.warning("news_unreadable", kind=kind[:MAX_LOGGED_KIND], why=str(error)[:MAX_LOGGED_ERROR])
            return
        if isinstance(event, gp.ProxyJoined | gp.ProxyLeft | gp.OrdersApplied):
            self.membership.receive(view, event)

    def publish_event(self, event):
        """Publishes an event with the brain's marks; drops acknowledgements of an earlier process's marks."""
        if isinstance(event, gp.OrdersApplied):
            event = self.marks.from_wire(event)
        if event is not None:
            self.publish(event)
