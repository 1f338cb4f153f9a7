"""A minimal HTTP/1.1 server for the fake peers, with keep-alive connections."""

import asyncio
import re

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
HEAD_END = b"\r\n\r\n"
MAX_REQUEST_BYTES = 1 << 20  # a longer request closes its connection
BACKLOG = 4_096  # listen backlog: an assigner connects to many tasks at once


class RequestProtocol(asyncio.Protocol):
    """Splits a connection's bytes into requests; subclasses answer them in `request`."""

    def __init__(self, counter):
        self.counter, self.buffer, self.transport = counter, b"", None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        """Handles all requests received completely."""
        self.buffer += data
        while (end := self.buffer.find(HEAD_END)) >= 0:
            head = self.buffer[:end]
            length = LENGTH.search(head)
            size = end + len(HEAD_END) + (int(length[1]) if length else 0)
            if len(self.buffer) < size:
                break
            body, self.buffer = self.buffer[end + len(HEAD_END) : size], self.buffer[size:]
            self.counter.received(size)
            method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ", 2)
            self.request(method, target, body)
        if len(self.buffer) > MAX_REQUEST_BYTES:
            self.transport.abort()

    def request(self, method, target, body):
        """Handles one complete request."""
        raise NotImplementedError

    def answer(self, body, kind="application/json", status="200 OK"):
        """Writes one complete response."""
        head = f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
        self.counter.sent(len(head) + len(body))
        self.transport.write(head.encode() + body)


async def listen(protocol):
    """Starts a server on a free loopback port; returns the server and the port."""
    server = await asyncio.get_running_loop().create_server(protocol, "127.0.0.1", 0, backlog=BACKLOG)
    return server, server.sockets[0].getsockname()[1]
