"""The server at the assigner's own address: answers heartbeats, receives reports, rejects other peers."""

import asyncio
import errno
import socket

import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import message_codec
from garnetpaddle.net.line_splitter import PROTOCOL_LINE_END, LineSplitter

MAX_COLLECTOR_LINE = 1 << 20  # bytes: the longest message of the protocol
MAX_UNKNOWN_PEER_LINE = 4 << 10  # bytes: before `telemetry` only short lines are valid, and peers may be many
MAX_UNREAD = 64 << 10  # bytes of responses that a peer may leave unread before its connection is closed
READ_SIZE = 16 << 10  # bytes: each of hundreds of peers may have a few times as much in memory
ACCEPTED_PER_ITERATION = 2  # connections accepted in one loop iteration; closing one takes several iterations
ACCEPT_BACKLOG = 512  # connections that the kernel may queue
SWEEP_PERIOD = 0.25  # s between deadline checks
JOIN_TIMEOUT = 1.2  # s: the 1 s of the protocol plus network delays
HEARTBEAT_TIMEOUT = 5.0  # s without another heartbeat after which a heartbeat peer is closed
LINE_TIMEOUT = 2.0  # s from the first to the last byte of a collector's line, else the stream is corrupt
MAX_CONSECUTIVE_UNKNOWN = 3  # lines of unknown kinds; then a collector's stream is corrupt, it must reconnect
# EADDRINUSE: an earlier process still holds it; EADDRNOTAVAIL: it is not configured yet.
ADDRESS_UNAVAILABLE = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
BIND_RETRY_PERIOD, BIND_TIMEOUT = 0.1, 25.0  # s; an assigner has to be ready within 30 s
HEARTBEAT_RESPONSE = b"hb_ok\r\n"
REJECT = b"reject\r\n"
log = structlog.get_logger()


class Peer:
    """One connection. zone: the zone whose collector it has registered as, None for an unknown peer."""

    def __init__(self, writer, now):
        self.writer, self.zone, self.deadline, self.last_received_at = writer, None, now + JOIN_TIMEOUT, now
        self.lines, self.line_started_at = LineSplitter(PROTOCOL_LINE_END, MAX_UNKNOWN_PEER_LINE), None
        self.consecutive_unknown = 0

    def close(self, response=b""):
        """Closes the connection, with a last response if it is still open."""
        if response and not self.writer.transport.is_closing():
            self.writer.write(response)
        self.writer.transport.abort()


class Listener:
    """Keeps at most `capacity` connections and reads them without waiting for the Brain.

    publish: receives the collectors' reports; known: message_codec.KnownNames."""

    def __init__(self, publish, known, capacity):
        self.publish, self.known, self.capacity = publish, known, capacity
        self.peers, self.serial = {}, 0
        self.collectors, self.candidates = {}, {}  # zone -> Peer: that reports; that has not reported yet

    async def open(self, address):
        """Listens; retries while the address is unavailable, since a failed start counts as a crash."""
        loop, logged = asyncio.get_running_loop(), False
        deadline = loop.time() + BIND_TIMEOUT
        while True:
            try:
                return await self.bind(address)
            except OSError as error:
                if error.errno not in ADDRESS_UNAVAILABLE or loop.time() >= deadline:
                    raise
                if not logged:
                    log.warning("listen_waits", why=error.strerror)
                logged = True
                await asyncio.sleep(BIND_RETRY_PERIOD)

    async def bind(self, address):
        """Binds an address, (host, port); returns the asyncio server."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            server = await asyncio.start_server(
                self.serve, sock=sock, backlog=ACCEPTED_PER_ITERATION, limit=READ_SIZE
            )
        except OSError:
            sock.close()
            raise
        sock.listen(ACCEPT_BACKLOG)  # asyncio uses `backlog` for both limits
        return server

    async def run(self):
        """Closes peers that exceed their deadline, forever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_PERIOD)
            now = loop.time()
            for peer in list(self.peers.values()):
                self.check_deadline(peer, now)

    def check_deadline(self, peer, now):
        """Closes an unknown peer past its deadline, or a collector that is stuck within a line."""
        if peer.zone is None:
            if now >= peer.deadline:
                log.info("stranger_closed", why="neither registered nor sent a heartbeat in time")
                peer.close(REJECT)
        elif peer.line_started_at is not None and now >= peer.line_started_at + LINE_TIMEOUT:
            log.warning("collector_astray", zone=peer.zone, why="incomplete line")
            peer.close()

    async def serve(self, reader, writer):
        """Serves one connection to its end; an error closes this connection only."""
        loop = asyncio.get_running_loop()
        self.serial += 1
        number, peer = self.serial, Peer(writer, loop.time())
        self.peers[number] = peer
        writer.transport.max_size = READ_SIZE  # asyncio would take 256 KiB at a time from each peer
        try:
            self.enforce_capacity(number)
            await self.read_lines(peer, reader, loop.time)
        except (OSError, asyncio.CancelledError):
            pass  # the peer has closed it, or the program is stopping
        except Exception:
            log.exception("connection_failed")
        finally:
            self.remove_peer(number, peer)

    def remove_peer(self, number, peer):
        """Removes and closes a peer."""
        self.peers.pop(number, None)
        if self.candidates.get(peer.zone) is peer:
            del self.candidates[peer.zone]
        if self.collectors.get(peer.zone) is peer:
            del self.collectors[peer.zone]
            log.info("collector_left", zone=peer.zone)
        peer.close()

    async def read_lines(self, peer, reader, clock):
        """Reads lines until the connection ends or must be closed. Only unknown peers are sent REJECT."""
        lines = peer.lines
        while chunk := await reader.read(READ_SIZE):
            peer.last_received_at = clock()
            for line in lines.split(chunk):
                why = self.handle_line(peer, line)
                if why:
                    log.warning("peer_rejected", why=why)
                    return peer.close(REJECT if peer.zone is None else b"")
                lines.limit = MAX_UNKNOWN_PEER_LINE if peer.zone is None else MAX_COLLECTOR_LINE
                peer.line_started_at = None
            if lines.rest and peer.line_started_at is None:
                peer.line_started_at = peer.last_received_at
            unread = peer.writer.transport.get_write_buffer_size() > MAX_UNREAD
            if lines.too_long or unread:
                log.warning("peer_rejected", why="too many unread responses" if unread else "line too long")
                return peer.close(REJECT if peer.zone is None and not unread else b"")

    def handle_line(self, peer, line):
        """Handles a line; returns "" or the reason for which the connection must be closed."""
        if not line:
            return "" if peer.zone else "empty line"
        match message_codec.parse_line(line, self.known):
            case message_codec.Heartbeat():
                peer.writer.write(HEARTBEAT_RESPONSE)
                peer.deadline, peer.consecutive_unknown = peer.last_received_at + HEARTBEAT_TIMEOUT, 0
            case message_codec.CollectorHello(zone) if peer.zone in (None, zone):
                peer.consecutive_unknown = 0
                self.register_collector(peer, zone)
            case gp.TaskReport() | gp.RouteReport() as event if peer.zone is not None:
                peer.consecutive_unknown = 0
                self.confirm_collector(peer)
                self.publish(event)
            case message_codec.InvalidMessage(why, kind_known) if peer.zone is not None:
                log.warning("line_unreadable", why=why)
                peer.consecutive_unknown += not kind_known
                return "corrupt stream" if peer.consecutive_unknown >= MAX_CONSECUTIVE_UNKNOWN else ""
            case message_codec.InvalidMessage(why):
                return why
            case _ if peer.zone is not None:
                log.warning("line_unreadable", why="not a report")
            case _:
                return "message not allowed before registration"
        return ""

    def register_collector(self, peer, zone):
        """Makes the peer the zone's collector, or if there is one already, its candidate until it reports."""
        if peer.zone is not None:
            return
        peer.zone = zone
        if zone in self.collectors:
            former, self.candidates[zone] = self.candidates.get(zone), peer
            if former:
                former.close()
        else:
            self.collectors[zone] = peer
            log.info("collector_joined", zone=zone, replaces=False)

    def confirm_collector(self, peer):
        """Makes a reporting peer its zone's collector; closes the former one, even if that still reports."""
        former = self.collectors.get(peer.zone)
        if former is peer:
            return
        if self.candidates.get(peer.zone) is peer:
            del self.candidates[peer.zone]
        self.collectors[peer.zone] = peer
        log.info("collector_joined", zone=peer.zone, replaces=former is not None)
        if former:
            former.close()

    def enforce_capacity(self, number):
        """Above the capacity, closes the unknown peer that has been silent longest; never a collector."""
        if len(self.peers) > self.capacity:
            others = [k for k, peer in self.peers.items() if peer.zone is None and k != number]
            longest_silent = min(others, key=lambda k: (self.peers[k].last_received_at, k), default=number)
            self.peers.pop(longest_silent).close(REJECT)
            log.warning("stranger_dropped", connections=self.capacity)
