"""Manages the connections of all front ends, with one connection limit, one timer queue and one input queue.

Transport only; every protocol decision is made by the sessions."""

import asyncio
import collections
import socket
import time

import structlog

from garnetpaddle.advice.session_events import (
    BytesAcknowledged,
    CloseConnection,
    ConnectionLost,
    InputDelayed,
    InputProcessed,
    LogLine,
    MessageReceived,
    NotifySession,
    PublishEvent,
    SetTimer,
    SnapshotPublished,
    TimerExpired,
    WriteBytes,
)
from garnetpaddle.front_ends.connection import MAX_ACK_POLL_INTERVAL, MIN_ACK_POLL_INTERVAL, Connection
from garnetpaddle.front_ends.timer_queue import TimerQueue

READ_SIZE = 16 << 10  # bytes per read; bounds the work that one chunk of a flood can cause
ACCEPTED_PER_ITERATION = 2  # connections accepted per iteration of the event loop
# After a restart all followers connect at once, and a client beyond the backlog gets no reply for seconds.
ACCEPT_BACKLOG = 1_024
TIME_SLICE = 0.001  # s of session work before other tasks of the event loop get their turn
MAX_QUEUED_TIME = 5_000  # 0.5 s for which a follower's time limits wait for its queued input
SESSION_TIMER, POLL_ACKS = "session", "poll_acks"  # kinds of timers
log = structlog.get_logger()


class ConnectionManager:
    """Accepts connections, and passes their input, timers and snapshots to their sessions.

    publisher: snapshots.SnapshotPublisher; now: the clock in tenths of a ms; publish: receives events for the
    Brain; max_unread: bytes of output that may be buffered for one client. connections: number ->
    Connection."""

    def __init__(self, publisher, now, publish, max_connections, max_unread):
        self.publisher, self.now, self.publish = publisher, now, publish
        self.max_connections, self.max_unread = max_connections, max_unread
        self.connections, self.last_number, self.servers = {}, 0, []
        self.input_queue, self.input_available = collections.deque(), asyncio.Event()  # (connection, chunk)
        self.timers = TimerQueue(now, self.timer_expired)

    async def open(self, address, create_session):
        """Listens at (host, port) and returns the bound address.

        create_session(number, host, now) -> (session, decoder) is called for each connection."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)

            async def serve(reader, writer):
                await self.serve(reader, writer, create_session)

            server = await asyncio.start_server(
                serve, sock=sock, backlog=ACCEPTED_PER_ITERATION, limit=READ_SIZE
            )
            sock.listen(ACCEPT_BACKLOG)  # asyncio's backlog sets both this and the accepts
        except OSError:
            sock.close()
            raise
        self.servers.append(server)
        return server.sockets[0].getsockname()[:2]

    def close(self):
        """Stops listening and aborts every connection."""
        for server in self.servers:
            server.close()
        for connection in list(self.connections.values()):
            connection.writer.transport.abort()
        self.timers.cancel()

    async def run(self):
        """Distributes snapshots and processes input until cancelled."""
        await asyncio.gather(self.distribute_snapshots(), self.process_inputs())

    async def process_inputs(self):
        """Handles the clients' input in order of arrival, in time slices.

        Hundreds of clients that send at once, such as registrations after a restart, thus delay neither the
        platform's channel nor drains."""
        while True:
            await self.input_available.wait()
            self.input_available.clear()
            slice_start = time.monotonic()
            while self.input_queue:
                connection, chunk = self.input_queue.popleft()
                self.process_input(connection, chunk)
                if time.monotonic() - slice_start >= TIME_SLICE:
                    await asyncio.sleep(0)
                    slice_start = time.monotonic()

    async def distribute_snapshots(self):
        """Passes each newer snapshot to every session; those published meanwhile wait for the next pass."""
        generation = 0
        while True:
            snapshot = await self.publisher.wait_newer(generation)
            generation = snapshot.generation
            slice_start = time.monotonic()
            for number in list(self.connections):
                if time.monotonic() - slice_start >= TIME_SLICE:
                    await asyncio.sleep(0)
                    slice_start = time.monotonic()
                if connection := self.connections.get(number):
                    self.publish_snapshot(connection)

    def publish_snapshot(self, connection):
        """Passes the newest snapshot to a session, after the input that is queued before it."""
        connection.snapshot_pending = connection.input_queued_since is not None
        if not connection.snapshot_pending:
            self.dispatch(connection, SnapshotPublished(self.publisher.snapshot))

    async def serve(self, reader, writer, create_session):
        """Serves one connection until it ends."""
        self.last_number += 1
        now, number = self.now(), self.last_number
        host = (writer.get_extra_info("peername") or ("",))[0]
        session, decoder = create_session(number, host, now)
        connection = Connection(number, reader, writer, session, decoder, now)
        self.connections[number] = connection
        writer.transport.max_size = READ_SIZE  # asyncio would take 256 KiB at a time from each client
        why = "closed"
        try:
            self.enforce_connection_limit(connection)
            self.dispatch(connection, SnapshotPublished(self.publisher.snapshot))
            await self.read(connection)
        except OSError as error:
            why = error.strerror or type(error).__name__
        except asyncio.CancelledError:
            why = "stopped"
        except Exception:
            log.exception("connection_failed")
            why = "a fault of ours"
        finally:
            self.connections.pop(number, None)
            self.execute(connection, session.handle(self.now(), ConnectionLost(why)))
            connection.abort()

    async def read(self, connection):
        """Queues a connection's input, one chunk at a time, until it is closed."""
        while not connection.closing and (chunk := await connection.reader.read(READ_SIZE)):
            connection.last_received_at = connection.input_queued_since = self.now()
            self.input_queue.append((connection, chunk))
            self.input_available.set()
            connection.input_processed.clear()
            await connection.input_processed.wait()

    def process_input(self, connection, chunk):
        """Decodes a chunk and passes its messages to the session; an error ends only this connection."""
        try:
            if (waited := self.now() - connection.input_queued_since) > 0:
                self.dispatch(connection, InputDelayed(waited))
            connection.input_queued_since = None
            for message in connection.decoder.feed(chunk) if not connection.closing else ():
                connection.acked = max(connection.acked, connection.acknowledged())
                self.dispatch(connection, BytesAcknowledged(connection.acked), MessageReceived(message))
                if connection.closing:
                    break
            self.dispatch(connection, InputProcessed(connection.decoder.has_partial_message()))
            if connection.snapshot_pending:
                self.publish_snapshot(connection)
        except Exception:
            log.exception("connection_failed")
            connection.abort()
        connection.input_processed.set()

    def dispatch(self, connection, *events):
        """Passes session events to a session, one by one, and executes its actions after each.

        Stops when the connection is closed; an error ends only this connection."""
        for event in events:
            if connection.closing:
                return
            try:
                self.execute(connection, connection.session.handle(self.now(), event))
            except Exception:
                log.exception("connection_failed")
                connection.abort()

    def execute(self, connection, actions):
        """Executes the actions that a connection's session has returned, in order."""
        for action in actions:
            match action:
                case WriteBytes(data):
                    self.write(connection, data)
                case PublishEvent(brain_event):
                    self.publish(brain_event)
                case SetTimer(at):
                    # The previous timer stays queued, also if `at` is None: timer_expired ignores it, because
                    # its time is not session_timer_at.
                    connection.session_timer_at = at
                    if at is not None:
                        self.timers.add(at, connection.number, SESSION_TIMER)
                case NotifySession(number):
                    # Deferred: the other session must run only after this one's remaining actions.
                    asyncio.get_running_loop().call_soon(self.notify, number)
                case LogLine(log_event, fields, warning):
                    (log.warning if warning else log.info)(log_event, **dict(fields))
                case CloseConnection():
                    connection.close()

    def write(self, connection, data):
        """Writes to a client and starts polling for acknowledgements; closes it if too much is unread."""
        connection.written += len(data)
        connection.writer.write(data)
        if connection.unsent() > self.max_unread:
            log.warning("answers_unread", bytes=connection.unsent())
            connection.close()
        elif not connection.ack_poll_scheduled:
            connection.ack_poll_interval, connection.ack_poll_scheduled = MIN_ACK_POLL_INTERVAL, True
            self.timers.add(self.now() + MIN_ACK_POLL_INTERVAL, connection.number, POLL_ACKS)

    def notify(self, number):
        """Makes this connection's session check for changes that another session made."""
        if connection := self.connections.get(number):
            self.dispatch(connection, SnapshotPublished(self.publisher.snapshot))

    def timer_expired(self, timer, now):
        """Handles an expired timer; ignores outdated ones, of closed connections or replaced times."""
        connection = self.connections.get(timer.connection)
        if connection is None or connection.closing:
            return
        if timer.kind == POLL_ACKS:
            self.poll_acknowledged(connection, now)
        elif connection.session_timer_at != timer.at:
            return
        elif self.must_wait_for_input(connection, now):
            connection.session_timer_at = now + MIN_ACK_POLL_INTERVAL
            self.timers.add(connection.session_timer_at, timer.connection, SESSION_TIMER)
        else:
            connection.session_timer_at = None
            self.dispatch(connection, TimerExpired())

    def must_wait_for_input(self, connection, now):
        """Returns whether a session's time limits must wait until its queued input is processed.

        Those of a follower wait for at most MAX_QUEUED_TIME, those of a client without a lease as long as
        the input is queued."""
        if connection.input_queued_since is None:
            return False
        return connection.session.follower is None or now - connection.input_queued_since < MAX_QUEUED_TIME

    def poll_acknowledged(self, connection, now):
        """Tells the session of newly acknowledged bytes.

        The kernel does not report them, so they are polled at growing intervals until all are
        acknowledged."""
        acknowledged = connection.acknowledged()
        if acknowledged > connection.acked:
            connection.acked, connection.ack_poll_interval = acknowledged, MIN_ACK_POLL_INTERVAL
            self.dispatch(connection, BytesAcknowledged(acknowledged))
        else:
            connection.ack_poll_interval = min(connection.ack_poll_interval * 2, MAX_ACK_POLL_INTERVAL)
        connection.ack_poll_scheduled = acknowledged < connection.written
        if connection.ack_poll_scheduled:
            self.timers.add(now + connection.ack_poll_interval, connection.number, POLL_ACKS)

    def enforce_connection_limit(self, connection):
        """Above the connection limit, closes the client without a lease that was silent for longest.

        If all others hold a lease, the new connection itself is closed."""
        if len(self.connections) <= self.max_connections:
            return
        others = [c for c in self.connections.values() if c.session.follower is None and c is not connection]
        longest_silent = min(others, key=lambda c: (c.last_received_at, c.number), default=connection)
        log.warning("stranger_dropped", connections=self.max_connections)
        self.connections.pop(longest_silent.number, None)
        longest_silent.abort()
