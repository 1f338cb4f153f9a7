"""The one task that owns the Brain: events reach it by a queue, its orders leave by the outlets."""

import asyncio
import heapq
import time

import structlog

from garnetpaddle import interface as gp

log = structlog.get_logger()


def clock():
    """Tenths of a ms since the zero of `startedAtMs`; steps of the system's clock do not reach it."""
    start, zero = time.time(), time.monotonic()
    return lambda: int((start + time.monotonic() - zero) * 10_000)


class Owner:
    """outlets: table(reply), probe(order), watch(). after: called with each batch, what was heard in it and
    what was ordered, where something follows that beside the outlets."""

    def __init__(self, brain, now, outlets, quantum=0.0, trace=False, after=None):
        self.brain, self.now, self.outlets, self.quantum, self.trace = brain, now, outlets, quantum, trace
        self.after = after
        self.heard, self.wake, self.timers, self.serial = [], asyncio.Event(), [], 0

    def hear(self, event):
        self.heard.append(event)
        self.wake.set()

    async def run(self):
        while True:
            self.turn()
            wait = self.timers[0][0] / 10_000 - self.now() / 10_000 if self.timers else None
            try:
                async with asyncio.timeout(wait):
                    await self.wake.wait()
                    # What comes within a quantum is heard together, as the settings have it.
                    await asyncio.sleep(self.quantum)
            except TimeoutError:
                pass

    def turn(self):
        """One batch: all that has been heard, and the timers that are due."""
        now = self.now()
        events, self.heard = self.heard, []
        self.wake.clear()
        while self.timers and self.timers[0][0] <= now:
            events.append(gp.TimerDue(heapq.heappop(self.timers)[2]))
        orders = self.brain.handle(now, events)
        if self.trace:
            self.tell(now, events, orders)
        reply = []
        for order in orders:
            match order:
                case gp.Timer():
                    self.serial += 1
                    heapq.heappush(self.timers, (order.at, self.serial, order.key))
                case gp.Note():
                    log.info("decision", text=order.text)
                case gp.Probe():
                    self.outlets.probe(order)
                case gp.Watch():
                    self.outlets.watch()
                case _:
                    reply.append(order)
        if reply:
            self.outlets.table(reply)
        if self.after:
            self.after(now, events, orders)

    def tell(self, now, events, orders):
        for each in (*events, *orders):
            if not isinstance(each, gp.TimerDue | gp.Timer):
                print(f"trace {now} {each}", flush=True)
