"""How long the assigner waits between two tries to reach a peer that fails: the longest wait until the first
try after the peer is back.

    python -m benchmarks.recovery_waits [--tries 12] [--json]
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import sys

import structlog

from benchmarks.faults import day as days
from benchmarks.faults import settings
from garnetpaddle import boot
from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.net.decision_loop import DecisionLoop, make_clock
from garnetpaddle.net.event_subscription import EventSubscription
from garnetpaddle.net.order_codec import MarkTranslator
from garnetpaddle.net.order_sender import OrderSender
from garnetpaddle.net.task_list_watch import TaskAddresses, TaskListWatch

FAILURES = ("reset", "silent")  # each connection is reset once it is used; or it says nothing
DEFAULT_TRIES = 12
UNUSED_ADDRESS = ("127.0.0.1", 1)
HELD_TIME = 60.0  # s for which a silent connection stays open


class FailingPeer:
    """A peer that records when each try reaches it, and answers none."""

    def __init__(self, failure, tries):
        self.failure, self.tries, self.times, self.done = failure, tries, [], asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        self.times.append(asyncio.get_running_loop().time())
        if len(self.times) >= self.tries:
            self.done.set()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(HELD_TIME):
                await reader.read(1)
                if self.failure == "silent":
                    await reader.read()
        writer.transport.abort()


async def follow_pushed_list(address):
    await TaskListWatch(address, TaskAddresses(), lambda _: None, must_ask=False).run()


class ListHandlers:
    """Carries out the decisions' orders that concern the list; a fleet without proxies has no others."""

    def __init__(self, watch):
        self.watch = watch.subscribe

    def submit(self, orders):
        """Table lines, which no relay takes here."""

    def probe(self, order):
        """No task is listed."""


async def follow_asked_list(address):
    """With the decisions, which order when to ask."""
    platform = settings.decode(settings.settings(days.draw_day(1), 0))
    parameters = dataclasses.replace(boot.derive_parameters(platform), list_mode="ask")
    watch = TaskListWatch(address, TaskAddresses(), lambda event: loop.publish(event), must_ask=True)
    loop = DecisionLoop(Brain(parameters, 1), make_clock(), ListHandlers(watch))
    await asyncio.gather(watch.run(), loop.run())


async def send_calls(address):
    """As the decisions do: what is lost is ordered again."""
    orders = [gp.SetWeight(1, "a", 1.0)]
    sender = OrderSender(address, ["read"], MarkTranslator(0), lambda _: sender.submit(orders))
    sender.submit(orders)
    await sender.run()


async def follow_news(address):
    subscription = EventSubscription(address, MarkTranslator(0), lambda _: None)
    try:
        await subscription.run()
    finally:
        if subscription.stream_task:
            subscription.stream_task.cancel()


async def follow_move(stage, address):
    """Moves a stage to an address, and follows the task that tries to."""
    stage.move(address)
    await stage.move_task


async def move_list(address):
    await follow_move(TaskListWatch(UNUSED_ADDRESS, TaskAddresses(), lambda _: None, False), address)


async def move_news(address):
    await follow_move(EventSubscription(UNUSED_ADDRESS, MarkTranslator(0), lambda _: None), address)


PATHS = {
    "list, pushed": follow_pushed_list,
    "list, asked for": follow_asked_list,
    "calls to the relay": send_calls,
    "event stream": follow_news,
    "list, move by SIGHUP": move_list,
    "event stream, move by SIGHUP": move_news,
}


async def measure_path(start, failure, tries):
    """The longest time in seconds between two tries."""
    async with FailingPeer(failure, tries) as peer:
        running = asyncio.ensure_future(start(peer.address))
        await peer.done.wait()
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
        return max(later - earlier for earlier, later in zip(peer.times, peer.times[1:], strict=False))


async def measure(failures, tries):
    """(path, failure) -> the longest time in seconds between two tries; all at once, as they mostly wait."""
    keys = [(path, failure) for path in PATHS for failure in failures]
    waits = await asyncio.gather(*(measure_path(PATHS[path], failure, tries) for path, failure in keys))
    return dict(zip(keys, waits, strict=True))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--tries", type=int, default=DEFAULT_TRIES)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    waits = asyncio.run(measure(FAILURES, options.tries))
    if options.json:
        print(
            json.dumps([{"path": path, "peer": peer, "wait_s": wait} for (path, peer), wait in waits.items()])
        )
        return
    for (path, peer), wait in waits.items():
        print(f"{path:<30} {peer:<8} {wait:5.2f} s")


if __name__ == "__main__":
    main()
