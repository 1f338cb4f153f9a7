"""An HTTP/1.1 client connection on asyncio streams and h11.

A call returns NotSent, Unconfirmed or Response, which tell how far the request got."""

import asyncio
import contextlib
import errno
import time
from dataclasses import dataclass

import h11

RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
READ_SIZE = 64 << 10  # bytes
EXTRA_WAIT = 0.02  # s: a few iterations of the event loop
MAX_BODY = 8 << 20  # bytes: a response with a longer body counts as malformed


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was written, so the peer cannot have executed it."""

    why: str
    local_fault: bool = False  # this process ran out of descriptors or memory; says nothing about the peer
    refused: bool = False  # the peer's machine says that nothing listens at the address


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The request was at least partly written and got no valid response: it may have been executed."""

    why: str


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytearray


TIMED_OUT, CLOSED, MALFORMED = "timed out", "connection closed", "malformed response"


def failure_reason(error, peer_closed=False):
    """The cause of a failed call, for logs. peer_closed: the peer has closed its side of the connection."""
    if isinstance(error, TimeoutError):
        return TIMED_OUT
    if isinstance(error, h11.ProtocolError):
        return CLOSED if peer_closed else MALFORMED
    return getattr(error, "strerror", None) or str(error) or type(error).__name__


async def with_timeout(timeout, awaitable):
    """The result of an awaitable; raises TimeoutError after `timeout` seconds.

    The timeout is extended once by EXTRA_WAIT: if this process itself was suspended, input that arrived in
    the meantime is read before the peer counts as silent."""
    task = asyncio.ensure_future(awaitable)
    try:
        for period in (timeout, EXTRA_WAIT):
            if (await asyncio.wait({task}, timeout=period))[0]:
                return task.result()
        raise TimeoutError
    finally:
        task.cancel()


async def connect(address, timeout):
    """Opens a connection to an address, (host, port); returns a Connection or NotSent."""
    opening = asyncio.ensure_future(asyncio.open_connection(*address, limit=READ_SIZE))
    try:
        return Connection(*await with_timeout(timeout, opening), address)
    except (OSError, TimeoutError, UnicodeError) as error:  # UnicodeError: a host name that cannot be encoded
        return NotSent(
            f"connect: {failure_reason(error)}",
            local_fault=getattr(error, "errno", None) in RESOURCE_ERRORS,
            refused=isinstance(error, ConnectionRefusedError),
        )
    except asyncio.CancelledError:
        # The connection may have opened in the iteration of the cancellation; nobody else would close it.
        if opening.done() and not opening.cancelled() and not opening.exception():
            opening.result()[1].transport.abort()
        raise


class Connection:
    """A connection that carries one request at a time."""

    def __init__(self, reader, writer, address):
        self.reader, self.writer, self.address = reader, writer, address
        self.host = f"{address[0]}:{address[1]}"
        self.protocol, self.last_response_at = h11.Connection(h11.CLIENT), time.monotonic()

    def is_usable(self):
        """Whether it can take another request, as far as this side can tell."""
        return self.protocol.our_state is h11.IDLE and not (self.reader.at_eof() or self.writer.is_closing())

    def idle_seconds(self):
        """Seconds since the last complete response."""
        return time.monotonic() - self.last_response_at

    async def wait_until_ended(self):
        """Waits, while no call runs, until the peer ends the connection or sends what nobody asked for."""
        with contextlib.suppress(OSError):  # a reset
            await self.reader.read(1)
        self.close()

    def close(self):
        """Aborts the connection."""
        self.writer.transport.abort()

    def send_request(self, method, target, body=b"", content_type=None):
        """Writes a whole request."""
        headers = [("Host", self.host)]
        if content_type:
            headers += [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        parts = [self.protocol.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self.protocol.send(h11.Data(body)))
        self.protocol.send(h11.EndOfMessage())
        self.writer.write(b"".join(parts))

    async def call(self, method, target, timeout, body=b"", content_type=None):
        """Sends one request and reads its response: NotSent, Unconfirmed or Response."""
        if not self.is_usable():
            return NotSent(CLOSED)
        result = None
        try:
            self.send_request(method, target, body, content_type)
            result = await with_timeout(timeout, self.read_response())
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            result = Unconfirmed(failure_reason(error, self.reader.at_eof()))
        finally:
            if not isinstance(result, Response) or not self.finish_cycle():
                self.close()
        return result

    async def read_response(self):
        """Reads the whole response; returns Response or Unconfirmed."""
        response = await self.read_head()
        if response is None:
            return Unconfirmed(CLOSED)
        body = bytearray()
        while (chunk := await self.read_body_chunk()) is not None:
            body += chunk
            if len(body) > MAX_BODY:
                return Unconfirmed("response too long")
        return Response(response.status_code, body)

    def finish_cycle(self):
        """Prepares for another request; returns False if this connection cannot take one."""
        self.last_response_at = time.monotonic()
        if self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE:
            self.protocol.start_next_cycle()
            return True
        return False

    async def next_event(self):
        """The next h11 event, reading more bytes as needed."""
        while (event := self.protocol.next_event()) is h11.NEED_DATA:
            self.protocol.receive_data(await self.reader.read(READ_SIZE))
        return event

    async def read_head(self):
        """The head of the final response, or None if the connection closed before it."""
        while isinstance(event := await self.next_event(), h11.InformationalResponse):
            pass
        return event if isinstance(event, h11.Response) else None

    async def read_body_chunk(self):
        """The next chunk of the body, or None at its end."""
        event = await self.next_event()
        return event.data if isinstance(event, h11.Data) else None
