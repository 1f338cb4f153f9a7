"""The event loop task that runs the Brain: queues its events and dispatches its orders to handlers."""

import asyncio
import heapq
import time
from typing import NamedTuple

import structlog

from garnetpaddle import interface as gp

TENTHS_OF_MS_PER_SECOND = 10_000
log = structlog.get_logger()


class ScheduledTimer(NamedTuple):
    """A timer of the Brain; `serial` keeps timers of the same time in the order in which they were set."""

    at: int
    serial: int
    key: str


def make_clock():
    """Returns a clock function: tenths of a ms since the epoch, as in the task list's start times, but
    unaffected by steps of the system clock."""
    start, monotonic_start = time.time(), time.monotonic()
    return lambda: int((start + time.monotonic() - monotonic_start) * TENTHS_OF_MS_PER_SECOND)


class DecisionLoop:
    """Passes batches of events to the Brain and dispatches its orders.

    now: the clock; handlers: an object with submit(orders), probe(order) and watch(); quantum: seconds for
    which events are collected into a batch; trace: print every event and order. `observers` are called with
    (now, events, orders) after each batch."""

    def __init__(self, brain, now, handlers, quantum=0.0, trace=False):
        self.brain, self.now, self.handlers, self.quantum, self.trace = brain, now, handlers, quantum, trace
        self.observers = []
        self.pending, self.wake, self.timers, self.serial = [], asyncio.Event(), [], 0

    def publish(self, event):
        """Queues an event for the next batch."""
        self.pending.append(event)
        self.wake.set()

    async def run(self):
        """Runs batches forever, whenever events arrive or timers are due."""
        while True:
            self.run_batch()
            try:
                async with asyncio.timeout(self.seconds_to_next_timer()):
                    await self.wake.wait()
                    await asyncio.sleep(self.quantum)
            except TimeoutError:
                pass

    def seconds_to_next_timer(self):
        """Seconds, or None if no timer is set."""
        if not self.timers:
            return None
        return (self.timers[0].at - self.now()) / TENTHS_OF_MS_PER_SECOND

    def run_batch(self):
        """Processes one batch: all queued events and the timers that are due."""
        now = self.now()
        events, self.pending = self.pending, []
        self.wake.clear()
        while self.timers and self.timers[0].at <= now:
            events.append(gp.TimerExpired(heapq.heappop(self.timers).key))
        orders = self.brain.handle(now, events)
        if self.trace:
            print_trace(now, events, orders)
        self.dispatch(orders)
        for observe in self.observers:
            observe(now, events, orders)

    def dispatch(self, orders):
        """Executes each order or calls its handler; orders for the relay are submitted together, last."""
        relay_orders = []
        for order in orders:
            match order:
                case gp.SetTimer():
                    self.serial += 1
                    heapq.heappush(self.timers, ScheduledTimer(order.at, self.serial, order.key))
                case gp.LogMessage():
                    log.info("decision", text=order.text)
                case gp.SendProbe():
                    self.handlers.probe(order)
                case gp.SubscribeTaskList():
                    self.handlers.watch()
                case _:
                    relay_orders.append(order)
        if relay_orders:
            self.handlers.submit(relay_orders)


def print_trace(now, events, orders):
    """Prints the events and orders of a batch except timers."""
    for item in (*events, *orders):
        if not isinstance(item, gp.TimerExpired | gp.SetTimer):
            print(f"trace {now} {item}", flush=True)
