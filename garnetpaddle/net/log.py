"""Structured logging to standard output, with a rate limit per event name."""

import contextlib
import sys
import time

import structlog

MAX_LINES, PERIOD = 40, 10.0  # entries of one event name in each period, s; keeps the log readable


class RateLimit:
    """A structlog processor: passes the first entries of each event name in a period and counts the others.

    The first entry of the next period carries that count as `left_out`."""

    def __init__(self, clock=time.monotonic):
        self.clock, self.counts = clock, {}

    def __call__(self, _, __, entry):
        """Passes an entry, or raises DropEvent."""
        now, name = self.clock(), entry["event"]
        period_start, count, left_out = self.counts.get(name, (now, 0, 0))
        if now - period_start >= PERIOD:
            period_start, count = now, 0
        passed = count < MAX_LINES
        self.counts[name] = period_start, count + 1, 0 if passed else left_out + 1
        if not passed:
            raise structlog.DropEvent
        return entry | ({"left_out": left_out} if left_out else {})


class LogOutput:
    """Standard output for the log. If its reader goes away, log output is lost and the program goes on."""

    def write(self, text):
        """Writes, ignoring errors."""
        with contextlib.suppress(OSError):
            sys.stdout.write(text)

    def flush(self):
        """Flushes, ignoring errors."""
        with contextlib.suppress(OSError):
            sys.stdout.flush()


def configure_logging(name):
    """Sets up structlog; every entry carries the assigner's name."""
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(LogOutput()),
        processors=[
            structlog.contextvars.merge_contextvars,
            RateLimit(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(name=name)
