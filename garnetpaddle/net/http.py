"""HTTP/1.1 over one connection, on asyncio streams and h11. Failures are values: how far a call came."""

import asyncio
import errno
import time
from dataclasses import dataclass

import h11

SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
CHUNK = 64 << 10  # bytes read at once
ONCE_MORE = 0.02  # s: a few turns of the event loop
BODY_MOST = 8 << 20  # bytes: a longer answer is unreadable


@dataclass(frozen=True, slots=True)
class NotSent:
    """Not a byte of it was written."""

    why: str
    ours: bool = False  # it says nothing of the other side: descriptors or memory ran short here


@dataclass(frozen=True, slots=True)
class Perhaps:
    """Some or all of it was written and no readable answer came: it may have been carried out."""

    why: str


@dataclass(frozen=True, slots=True)
class Answered:
    status: int
    body: bytearray


SILENCE, CLOSED, UNREADABLE = "silence", "connection closed", "unreadable answer"


def reason(error, ended=False):
    if isinstance(error, TimeoutError):
        return SILENCE
    if isinstance(error, h11.ProtocolError):
        return CLOSED if ended else UNREADABLE
    return getattr(error, "strerror", None) or str(error) or type(error).__name__


async def within(wait, doing):
    """A coroutine's result, or TimeoutError. A process that stood still itself looks once more before it
    takes that for silence: what came meanwhile is read first."""
    task = asyncio.ensure_future(doing)
    try:
        for span in (wait, ONCE_MORE):
            if (await asyncio.wait({task}, timeout=span))[0]:
                return task.result()
        raise TimeoutError
    finally:
        task.cancel()


async def dial(address, wait):
    """A connection, or NotSent."""
    opening = asyncio.ensure_future(asyncio.open_connection(*address, limit=CHUNK))
    try:
        return Connection(*await within(wait, opening), address)
    except (OSError, TimeoutError, UnicodeError) as error:  # the last: a host that can be no name
        return NotSent(f"connect: {reason(error)}", getattr(error, "errno", None) in SHORT)
    except asyncio.CancelledError:
        # It may have come up in the very turn in which nobody wants it any more: nobody else would close it.
        if opening.done() and not opening.cancelled() and not opening.exception():
            opening.result()[1].transport.abort()
        raise


class Connection:
    def __init__(self, reader, writer, address):
        self.reader, self.writer, self.address = reader, writer, address
        self.host = f"{address[0]}:{address[1]}"
        self.h11, self.used_at = h11.Connection(h11.CLIENT), time.monotonic()

    def usable(self):
        """Whether another call may go on it, as far as this side can tell."""
        return self.h11.our_state is h11.IDLE and not (self.reader.at_eof() or self.writer.is_closing())

    def idle(self):
        return time.monotonic() - self.used_at

    def close(self):
        self.writer.transport.abort()

    def write(self, method, target, body=b"", kind=None):
        headers = [("Host", self.host)]
        if kind:
            headers += [("Content-Type", kind), ("Content-Length", str(len(body)))]
        parts = [self.h11.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self.h11.send(h11.Data(body)))
        self.h11.send(h11.EndOfMessage())
        self.writer.write(b"".join(parts))

    async def call(self, method, target, wait, body=b"", kind=None):
        """One call and its whole answer: NotSent, Perhaps or Answered."""
        if not self.usable():
            return NotSent(CLOSED)
        result = None
        try:
            self.write(method, target, body, kind)
            result = await within(wait, self.answer())
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            result = Perhaps(reason(error, self.reader.at_eof()))
        finally:
            if not isinstance(result, Answered) or not self.renew():
                self.close()
        return result

    async def answer(self):
        response = await self.head()
        if response is None:
            return Perhaps(CLOSED)
        body = bytearray()
        while (piece := await self.piece()) is not None:
            body += piece
            if len(body) > BODY_MOST:
                return Perhaps("answer too long")
        return Answered(response.status_code, body)

    def renew(self):
        self.used_at = time.monotonic()
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            return True
        return False

    async def next(self):
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            self.h11.receive_data(await self.reader.read(CHUNK))
        return event

    async def head(self):
        """The final response's head, or None where the connection ended before it."""
        while isinstance(event := await self.next(), h11.InformationalResponse):
            pass
        return event if isinstance(event, h11.Response) else None

    async def piece(self):
        """The next bytes of the body, or None at its end."""
        event = await self.next()
        return event.data if isinstance(event, h11.Data) else None
