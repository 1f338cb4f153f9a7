"""One client connection of a front end: its session, its decoder and its acknowledged bytes."""

import asyncio
import fcntl
import struct
import termios

# Tenths of a ms between reads of the acknowledged byte count: 20 ms, doubled up to 0.32 s.
MIN_ACK_POLL_INTERVAL, MAX_ACK_POLL_INTERVAL = 200, 3_200


class Connection:
    """The state of one client's connection; ConnectionManager maintains it.

    number: unique in its manager; written: bytes written to the client so far; acked: how many of them its
    TCP stack had acknowledged when last checked; session_timer_at: when the session's timer is due, or None;
    input_queued_since: when the chunk now queued was read, or None; input_processed: set once that chunk is
    processed; snapshot_pending: a snapshot was published meanwhile. Times are in tenths of a ms."""

    def __init__(self, number, reader, writer, session, decoder, now):
        self.number, self.reader, self.writer = number, reader, writer
        self.session, self.decoder, self.last_received_at = session, decoder, now
        self.sock, self.written, self.acked = writer.get_extra_info("socket"), 0, 0
        self.ack_poll_interval, self.ack_poll_scheduled = MIN_ACK_POLL_INTERVAL, False
        self.session_timer_at, self.closing = None, False
        self.input_queued_since, self.input_processed = None, asyncio.Event()
        self.snapshot_pending = False

    def acknowledged(self):
        """Returns how many bytes the client's TCP stack has acknowledged."""
        transport = self.writer.transport
        if transport.is_closing() or self.sock.fileno() < 0:
            return self.acked
        # TIOCOUTQ: bytes in the kernel's send queue, those sent but not yet acknowledged included.
        in_flight = struct.unpack("i", fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
        return self.written - self.unsent() - in_flight

    def unsent(self):
        """Returns how many bytes the transport has not yet passed to the kernel."""
        return self.writer.transport.get_write_buffer_size()

    def abort(self):
        """Closes the connection at once, dropping unsent output."""
        self.closing = True
        self.writer.transport.abort()
        self.input_processed.set()

    def close(self):
        """Stops reading, and closes after the kernel has taken all output.

        Aborts if the transport still buffers output; whether the peer takes what the kernel has is not
        awaited."""
        self.closing = True
        if self.unsent():
            self.abort()
        else:
            self.writer.close()
