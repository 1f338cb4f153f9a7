"""The event log of a simulation: each batch's events and orders, as msgpack compressed with zstd."""

import msgspec
import zstandard

from garnetpaddle import interface as gp

COMPRESSION_LEVEL = 6  # above it files shrink little and simulations take longer
TIMER_TYPES = (gp.TimerExpired, gp.SetTimer)  # left out: they recur every 0.1 s and carry no information


class Writer:
    """Writes batches to a file; if the run is interrupted, it can be read up to the last flushed block."""

    def __init__(self, path):
        self.file = open(path, "wb")  # noqa: SIM115  closed by close()
        self.stream = zstandard.ZstdCompressor(COMPRESSION_LEVEL).stream_writer(self.file)
        self.encode, self.count = msgspec.msgpack.Encoder().encode, 0

    def __call__(self, now, events, orders):
        """Writes a batch without its timers; skips it if nothing else is in it."""
        event_texts = [str(event) for event in events if not isinstance(event, TIMER_TYPES)]
        order_texts = [str(order) for order in orders if not isinstance(order, TIMER_TYPES)]
        if event_texts or order_texts:
            data = self.encode((now, event_texts, order_texts))
            self.stream.write(len(data).to_bytes(4, "big") + data)
            self.count += 1
            if self.count % 1_000 == 0:
                self.stream.flush(zstandard.FLUSH_BLOCK)

    def close(self):
        """Finishes the compressed stream and closes the file."""
        self.stream.flush(zstandard.FLUSH_FRAME)
        self.file.close()


def read(path):
    """Yields (now, event texts, order texts) of each batch, up to where the file ends or was cut. now: in
    tenths of a ms."""
    decode = msgspec.msgpack.Decoder(tuple[int, list[str], list[str]]).decode
    with open(path, "rb") as file, zstandard.ZstdDecompressor().stream_reader(file) as stream:
        while len(head := read_up_to(stream, 4)) == 4:
            size = int.from_bytes(head, "big")
            data = read_up_to(stream, size)
            if len(data) < size:
                return
            yield decode(data)


def read_up_to(stream, size):
    """Reads size bytes, or fewer at the end of the stream."""
    data = b""
    while len(data) < size:
        try:
            chunk = stream.read(size - len(data))
        except zstandard.ZstdError:
            break
        if not chunk:
            break
        data += chunk
    return data
