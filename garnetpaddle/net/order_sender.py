"""Delivery of orders to the relay in sequence: one request at a time, each failure reported to the brain."""

import asyncio
import collections
import itertools

import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import http, order_codec

RESPONSE_TIMEOUT = 0.25  # s: the 50 ms of the protocol plus delays on a busy machine
CONNECT_TIMEOUT = 0.5  # s
MAX_IDLE = 1.0  # s: the relay may close a connection that is idle for longer, leaving a request in doubt
BACKOFF = (0.0, 0.05, 0.1, 0.2, 0.4)  # s after a failed request, by consecutive failures
TRIAL_INTERVAL = 0.1  # s between requests that try whether the relay answers again
ATTEMPTS = 2  # a reused connection may turn out to be closed before a byte is written
log = structlog.get_logger()


class OrderSender:
    """Sends batches of orders to the relay in sequence.

    routes: route names by number; marks: order_codec.MarkTranslator; publish: receives gp.OrdersLost."""

    def __init__(self, address, routes, marks, publish):
        self.address, self.routes, self.marks, self.publish = address, routes, marks, publish
        self.queue, self.wake, self.connection = collections.deque(), asyncio.Event(), None
        self.failures, self.logged_state = 0, None
        # next_connection: the connection to a new address; move_task: the task that opens it
        self.next_connection, self.move_task = None, None

    def submit(self, orders):
        """Queues a batch of orders."""
        self.queue.append(orders)
        self.wake.set()

    async def run(self):
        """Sends queued batches until cancelled; closes the connections then."""
        try:
            while True:
                await self.wake.wait()
                self.wake.clear()
                while self.queue:
                    await self.send_batch(self.queue.popleft())
        finally:
            for connection in filter(None, (self.connection, self.next_connection)):
                connection.close()

    async def send_batch(self, orders):
        """Sends one batch; after an unexpected error, reports the whole batch as lost and in doubt."""
        try:
            await self.send_requests(order_codec.split_into_requests(orders, self.routes, self.marks))
        except Exception:
            log.exception("call_failed")
            self.publish(gp.OrdersLost(tuple(orders), True))

    async def send_requests(self, requests):
        """Sends the requests of one batch. After a failure neither the rest of the batch nor any queued batch
        is sent; all of them are reported as lost."""
        partly_sent = False
        while requests:
            request = requests.pop(0)
            result = await self.send_request(request)
            if not isinstance(result, order_codec.Accepted):
                await self.handle_failure(result, request, requests, partly_sent)
                return
            partly_sent, self.failures = True, 0
            self.log_state(None)
            if result.count < len(request):
                log.warning("order_not_taken", order=request[result.count].text)
                remaining = order_codec.remaining_orders(request, result.count)
                requests = [remaining, *requests] if remaining else requests

    async def handle_failure(self, result, request, later_requests, partly_sent):
        """Reports a failed request and everything queued behind it as lost, after a backoff.

        Once a request of the batch was accepted, the rest of the batch is reported as in doubt, even requests
        that were never sent. Queued batches were certainly not executed. A fence in doubt is reported only
        where its request holds the whole batch, as it says nothing of messages from other requests.
        """
        in_doubt = isinstance(result, http.Unconfirmed) or partly_sent
        whole_batch = not (partly_sent or later_requests)
        await self.recover(result)
        if in_doubt and whole_batch:
            request = order_codec.unconfirmed_orders(request, self.marks)
        elif in_doubt:
            request = order_codec.without_fence(request)
            later_requests = [order_codec.without_fence(later) for later in later_requests]
        self.report_lost(request, in_doubt)
        self.report_lost(list(itertools.chain.from_iterable(later_requests)), in_doubt)
        while self.queue:
            self.publish(gp.OrdersLost(tuple(self.queue.popleft()), False))

    async def recover(self, result):
        """Waits for a backoff after a failed request, and after an unconfirmed one until the relay answers.

        An unconfirmed request may have been executed: each repetition may be one more message to every proxy
        that it reaches. So the relay is tried with requests that reach none."""
        self.log_state(result)
        await asyncio.sleep(BACKOFF[min(self.failures, len(BACKOFF) - 1)])
        self.failures += 1
        if not isinstance(result, http.Unconfirmed):
            return
        trial = order_codec.trial_request(self.marks)
        while isinstance(await self.send_request(trial), http.Unconfirmed | http.NotSent):
            await asyncio.sleep(TRIAL_INTERVAL)

    def report_lost(self, encoded, in_doubt):
        """Reports orders that no response confirmed. in_doubt: they, or another part of their batch, may have
        been executed."""
        if encoded:
            self.publish(gp.OrdersLost(tuple(encoded_order.order for encoded_order in encoded), in_doubt))

    def move(self, address):
        """Moves to a new address: switches between two requests, once a connection to it is open. Until then
        requests go to the old address."""
        if self.move_task:
            self.move_task.cancel()
        if self.next_connection:
            self.next_connection.close()
        self.next_connection = None
        self.move_task = asyncio.get_running_loop().create_task(self.connect_to(address))

    async def connect_to(self, address):
        """Retries until connected; requests go on meanwhile."""
        logged = None
        while not isinstance(connection := await http.connect(address, CONNECT_TIMEOUT), http.Connection):
            if connection.why != logged:
                log.warning("move_waits", field="store.address", why=connection.why)
            logged = connection.why
            await asyncio.sleep(BACKOFF[-1])
        self.next_connection = connection

    def switch_connection(self):
        """Replaces the connection by the one to a new address, if that is open."""
        if self.next_connection:
            if self.connection:
                self.connection.close()
            self.connection, self.address, self.next_connection = (
                self.next_connection,
                self.next_connection.address,
                None,
            )
            log.info("calls_moved")

    def log_state(self, failure):
        """Logs each change between success (None) and the kinds of failure once."""
        if failure == self.logged_state:
            return
        self.logged_state = failure
        match failure:
            case None:
                log.info("orders_flow")
            case order_codec.Rejected(why):
                log.warning("orders_sent_back", why=why)
            case _:
                log.warning("orders_lost", why=failure.why, perhaps=isinstance(failure, http.Unconfirmed))

    async def send_request(self, request):
        """Sends one request; returns Accepted, Rejected, NotSent or Unconfirmed."""
        body = order_codec.request_body(request)
        for _ in range(ATTEMPTS):
            self.switch_connection()
            if self.connection and (
                not self.connection.is_usable() or self.connection.idle_seconds() > MAX_IDLE
            ):
                self.connection.close()
                self.connection = None
            if not self.connection:
                self.connection = await http.connect(self.address, CONNECT_TIMEOUT)
                if isinstance(self.connection, http.NotSent):
                    result, self.connection = self.connection, None
                    return result
            result = await self.connection.call(
                "POST", "/v1/", RESPONSE_TIMEOUT, body, "application/x-www-form-urlencoded"
            )
            if not isinstance(result, http.NotSent):
                break
        if isinstance(result, http.Response):
            parsed = order_codec.parse_response(result.status, result.body, len(request))
            return parsed or http.Unconfirmed(http.MALFORMED)
        return result
