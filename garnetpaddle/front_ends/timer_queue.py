"""Multiplexes the timers of many connections onto one event loop timer."""

import asyncio
import heapq
from typing import NamedTuple

TENTHS_OF_MS_PER_SECOND = 10_000


class Timer(NamedTuple):
    """A timer of one connection.

    at: in tenths of a ms; sequence: keeps timers with the same time in the order in which they were set;
    connection: its number; kind: passed through, see connection_manager."""

    at: int
    sequence: int
    connection: int
    kind: str


class TimerQueue:
    """Calls expired(timer, now) for each timer that is due. now: the clock in tenths of a ms."""

    def __init__(self, now, expired):
        self.now, self.expired = now, expired
        self.timers, self.sequence, self.loop_timer = [], 0, None

    def __bool__(self):
        return bool(self.timers)

    def add(self, at, connection, kind):
        """Adds a timer; timers are never removed, so `expired` must ignore outdated ones."""
        self.sequence += 1
        heapq.heappush(self.timers, Timer(at, self.sequence, connection, kind))
        if self.timers[0].sequence == self.sequence:
            self.schedule()

    def schedule(self):
        """Sets the event loop's timer to the earliest timer."""
        self.cancel()
        wait = max(0.0, (self.timers[0].at - self.now()) / TENTHS_OF_MS_PER_SECOND)
        self.loop_timer = asyncio.get_running_loop().call_later(wait, self.run_due)

    def run_due(self):
        """Calls `expired` for every timer that is due, then schedules the next one, unless a timer added
        meanwhile has done so."""
        self.loop_timer, now = None, self.now()
        while self.timers and self.timers[0].at <= now:
            self.expired(heapq.heappop(self.timers), now)
        if self.timers and self.loop_timer is None:
            self.schedule()

    def cancel(self):
        """Cancels the event loop's timer."""
        if self.loop_timer:
            self.loop_timer.cancel()
