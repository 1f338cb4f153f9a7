"""Puts the stages together and runs them until SIGTERM."""

import asyncio
import signal
from dataclasses import dataclass

import structlog

from garnetpaddle import boot
from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.net import configuration, log
from garnetpaddle.net.calls import Lane
from garnetpaddle.net.configuration import address
from garnetpaddle.net.discovery import Discovery, Places
from garnetpaddle.net.listener import Listener
from garnetpaddle.net.news import News
from garnetpaddle.net.orders import Marks
from garnetpaddle.net.owner import Owner, clock
from garnetpaddle.net.probes import Probes
from garnetpaddle.net.rows import task_lines

PROBES_PART, PEERS_PART = 0.25, 0.5  # of the descriptors: probes under way, connections at our address
AGAIN = 0.2  # s before a stage that failed unexpectedly is begun anew
lines = structlog.get_logger()


@dataclass
class Outlets:
    table: object
    probe: object
    watch: object


async def lasting(name, run):
    """A fault in a stage ends its connection, not the assigner."""
    while True:
        try:
            await run()
        except Exception:
            lines.exception("stage_failed", stage=name)
        await asyncio.sleep(AGAIN)


async def run(given, trace):
    told, seed = given.settings, configuration.seed(given)
    routes = {c.name: k for k, c in enumerate(told.categories)}
    outlets, places, marks = Outlets(None, None, None), Places(), Marks(seed)
    owner = Owner(Brain(boot.terms(told), seed), clock(), outlets, told.quantum, trace)
    relay, room = address(given.store.address, "store.address"), given.limits.sockets
    lane = Lane(relay, list(routes), marks, owner.hear)
    places.learn(given.known)
    probes = Probes(places, owner.hear, told.reporting.how != "none", int(room * PROBES_PART))
    watch = Discovery(address(given.discovery, "discovery"), places, owner.hear, told.discovery == "ask")
    outlets.table, outlets.probe, outlets.watch = lane.put, probes.start, watch.ask
    owner.hear(gp.ListHeard("stale", task_lines(given.known)))

    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    asyncio.get_running_loop().add_signal_handler(signal.SIGINT, stop.set)
    listener = Listener(owner.hear, routes, int(room * PEERS_PART))
    await listener.open(address(given.listen, "listen"))
    news = News(relay, marks, owner.hear)
    stages = [
        asyncio.create_task(lasting(name, stage.run))
        for name, stage in (("discovery", watch), ("news", news), ("calls", lane))
    ]
    deciding, stopping = asyncio.create_task(owner.run()), asyncio.create_task(stop.wait())
    lines.info("serving", listen=given.listen, tasks=len(given.known.instances))
    await asyncio.wait([deciding, stopping], return_when=asyncio.FIRST_COMPLETED)
    if stopping.done():
        lines.info("stopped")
        return 0
    # A brain that failed would go on from a state nobody knows: the end is loud, and the start is anew.
    lines.error("brain_failed", exc_info=deciding.exception(), stages=len(stages))
    return 1


def main(given, trace=False):
    log.begin(given.name)
    try:
        return asyncio.run(run(given, trace))
    except OSError as error:
        lines.error("cannot_listen", listen=given.listen, why=error.strerror or str(error))
        return 1
