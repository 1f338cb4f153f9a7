"""The assigner's own address: heartbeats and collectors, among strangers."""

import asyncio

import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import lines
from garnetpaddle.net.frames import WIRE, Frames

LINE_MOST = 1 << 20  # bytes: the protocol's longest message
STRANGER_MOST = 4 << 10  # bytes: before `telemetry` only short lines mean anything, and strangers may be many
UNREAD_MOST = 64 << 10  # bytes of our answers that a peer may leave unread before it is dropped
CHUNK = 64 << 10  # bytes read at once
log = structlog.get_logger()


class Peer:
    def __init__(self, writer):
        self.writer, self.zone, self.heard = writer, None, 0


class Listener:
    """Reads whatever comes, never waits for a decision, and keeps at most `room` connections."""

    def __init__(self, hear, routes, room):
        self.hear, self.routes, self.room = hear, routes, room
        self.peers, self.collectors, self.serial = {}, {}, 0

    async def open(self, address):
        return await asyncio.start_server(self.serve, *address, backlog=512, limit=CHUNK)

    async def serve(self, reader, writer):
        self.serial += 1
        peer = self.peers[self.serial] = Peer(writer)
        number = self.serial
        try:
            self.make_room(number)
            await self.read(number, peer, reader)
        except (OSError, asyncio.CancelledError):
            pass  # the peer's end of it, or the program's
        except Exception:
            log.exception("connection_failed")
        finally:
            self.peers.pop(number, None)
            if self.collectors.get(peer.zone) is peer:
                del self.collectors[peer.zone]
                log.info("collector_left", zone=peer.zone)
            writer.transport.abort()

    async def read(self, number, peer, reader):
        frames = Frames(WIRE, STRANGER_MOST)
        while chunk := await reader.read(CHUNK):
            peer.heard = self.serial
            for line in frames.cut(chunk):
                self.take(number, peer, line)
                frames.most = STRANGER_MOST if peer.zone is None else LINE_MOST
            if frames.over or peer.writer.transport.get_write_buffer_size() > UNREAD_MOST:
                log.warning("peer_dropped", why="line too long" if frames.over else "answers left unread")
                return

    def take(self, number, peer, line):
        match lines.read(line, self.routes):
            case lines.Beat():
                peer.writer.write(b"hb_ok\r\n")
            case lines.Collector(zone):
                former, peer.zone = self.collectors.get(zone), zone
                self.collectors[zone] = peer
                if former is not peer:
                    log.info("collector_joined", zone=zone, replaces=former is not None)
                if former not in (None, peer):
                    former.writer.transport.abort()
            case lines.Unreadable(why):
                if line:
                    log.warning("line_unreadable", why=why)
            case gp.TaskSums() | gp.RouteSums() as event if peer.zone is not None:
                self.hear(event)
            case _:
                log.warning("line_unreadable", why="no report, or one before telemetry")

    def make_room(self, number):
        """Beyond the room, the stranger that was silent longest goes; collectors stay."""
        if len(self.peers) > self.room:
            others = [k for k, peer in self.peers.items() if peer.zone is None and k != number]
            longest = min(others, key=lambda k: (self.peers[k].heard, k), default=number)
            self.peers.pop(longest).writer.transport.abort()
            log.warning("stranger_dropped", connections=self.room)
