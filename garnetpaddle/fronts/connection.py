"""One client connection of a front end: its session, its decoder, and what its peer has acknowledged."""

import asyncio
import fcntl
import struct
import termios

MIN_ACK_POLL_INTERVAL, MAX_ACK_POLL_INTERVAL = (
    200,
    3_200,
)  # 20 ms, doubled to 0.32 s: until acknowledged bytes are read again


class Connection:
    """number: unique in its manager; decoder: bytes in, messages out; written: bytes of ours so far; acked:
    those that the peer's machine has acknowledged."""

    def __init__(self, number, reader, writer, session, decoder, now):
        self.number, self.reader, self.writer = number, reader, writer
        self.session, self.decoder, self.last_received_at = session, decoder, now
        self.sock, self.written, self.acked = writer.get_extra_info("socket"), 0, 0
        self.ack_poll_interval, self.ack_poll_scheduled = (
            MIN_ACK_POLL_INTERVAL,
            False,
        )  # tenths of a ms until the next look; one is due
        self.session_timer_at, self.closing = None, False
        self.input_queued_since, self.input_processed = (
            None,
            asyncio.Event(),
        )  # since when input waits; it was processed

    def acknowledged(self):
        """Bytes that the peer's machine has acknowledged."""
        transport = self.writer.transport
        if transport.is_closing() or self.sock.fileno() < 0:
            return self.acked
        in_flight = struct.unpack("i", fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
        return self.written - self.unsent() - in_flight

    def unsent(self):
        """Bytes that the transport has not yet handed to the system."""
        return self.writer.transport.get_write_buffer_size()

    def abort(self):
        """Closes it at once."""
        self.closing = True
        self.writer.transport.abort()
        self.input_processed.set()

    def close(self):
        """Takes no more input, and closes after what was written is handed to the system: whether the peer's
        machine takes that is the system's affair. Aborts where the transport still holds output."""
        self.closing = True
        if self.unsent():
            self.abort()
        else:
            self.writer.close()
