"""Health checks of tasks: each SendProbe order results in exactly one ProbeFinished event, and the end of an
idle connection in a TaskConnectionLost event."""

import asyncio
import time
from typing import NamedTuple

import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import http, message_codec

MAX_IDLE = 15.0  # s that an unused connection is kept open
MIN_TIMEOUT = 0.001  # s
TENTHS_OF_MS_PER_SECOND = 10_000
LOAD_PATH, ALIVE_PATH = "/metrics/load", "/alive"
OUTCOMES_BY_STATUS = {200: "ok", 503: "error"}
OUTCOMES_BY_FAILURE = {http.TIMED_OUT: "timeout", http.MALFORMED: "other"}
log = structlog.get_logger()


class Target(NamedTuple):
    """A task and its address; an address may be reused by another task."""

    task: str
    address: tuple[str, int]


class ProbeResult(NamedTuple):
    """A probe's outcome, as in gp.ProbeFinished, and the load that the task reported."""

    outcome: str
    load: dict[str, float]


class IdleConnection(NamedTuple):
    """A connection that is kept for the next probe, and the asyncio task that waits for its end."""

    connection: http.Connection
    watcher: asyncio.Task

    def close(self):
        """Closes the connection; its end is not told."""
        self.watcher.cancel()
        self.connection.close()


class Prober:
    """Runs probes over persistent connections.

    addresses: task_list_watch.TaskAddresses; publish: receives the events; reports: whether tasks report
    their load; capacity: the limit on concurrent probes and open connections together."""

    def __init__(self, addresses, publish, reports, capacity):
        self.addresses, self.publish, self.capacity = addresses, publish, capacity
        self.path = LOAD_PATH if reports else ALIVE_PATH
        self.connections, self.running = {}, set()  # Target -> IdleConnection; asyncio tasks of probes

    def start(self, order):
        """Starts a probe in the background."""
        task = asyncio.get_running_loop().create_task(self.probe(order))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def probe(self, order):
        """Executes one SendProbe order."""
        started_at = time.monotonic()
        result = ProbeResult("other", {})
        try:
            if len(self.running) > self.capacity:
                result = ProbeResult("full", {})
            elif address := self.addresses.by_task.get(order.task):
                result = await self.probe_target(
                    Target(order.task, address), order.timeout / TENTHS_OF_MS_PER_SECOND
                )
            else:
                result = ProbeResult("unreachable", {})
        except Exception:
            log.exception("probe_failed", task=order.task)
        finally:
            elapsed = round((time.monotonic() - started_at) * TENTHS_OF_MS_PER_SECOND)
            self.publish(gp.ProbeFinished(order.task, elapsed, result.outcome, result.load))

    async def probe_target(self, target, timeout):
        """Probes a target. A broken reused connection is no sign of a failed task: retries on a new one."""
        self.close_unused()
        connection, deadline = await self.take_idle(target), time.monotonic() + timeout
        if connection:
            result = await connection.call("GET", self.path, timeout)
            if isinstance(result, http.Response) or result.why in OUTCOMES_BY_FAILURE:
                return self.evaluate(result, connection, target)
        connection = await http.connect(target.address, max(MIN_TIMEOUT, deadline - time.monotonic()))
        if isinstance(connection, http.NotSent):
            return ProbeResult(connect_outcome(connection), {})
        result = await connection.call("GET", self.path, max(MIN_TIMEOUT, deadline - time.monotonic()))
        return self.evaluate(result, connection, target)

    async def take_idle(self, target):
        """Takes the target's idle connection, if there is one; only the caller reads from it from then on."""
        idle = self.connections.pop(target, None)
        if idle is None:
            return None
        idle.watcher.cancel()
        await asyncio.wait({idle.watcher})
        return idle.connection

    def keep_idle(self, target, connection):
        """Keeps a connection for the next probe and watches it meanwhile."""
        watcher = asyncio.get_running_loop().create_task(self.watch(target, connection))
        self.connections[target] = IdleConnection(connection, watcher)

    async def watch(self, target, connection):
        """Tells of the end of an idle connection."""
        await connection.wait_until_ended()
        del self.connections[target]
        self.publish(gp.TaskConnectionLost(target.task))

    def close_unused(self):
        """Closes connections that are idle for too long, or the oldest above the capacity."""
        for target, idle in list(self.connections.items()):
            over_capacity = len(self.connections) + len(self.running) > self.capacity
            if over_capacity or idle.connection.idle_seconds() > MAX_IDLE:
                self.connections.pop(target).close()

    def evaluate(self, result, connection, target):
        """The ProbeResult of a call; keeps the connection if it can be reused."""
        if not isinstance(result, http.Response):
            return ProbeResult(OUTCOMES_BY_FAILURE.get(result.why, "reset"), {})
        if not connection.is_usable() or target in self.connections:
            connection.close()
        else:
            self.keep_idle(target, connection)
        text = result.body.decode("ascii", "replace").strip()
        load = message_codec.parse_load(text.removeprefix("TEXT").strip())
        return ProbeResult(OUTCOMES_BY_STATUS.get(result.status, "other"), load)


def connect_outcome(not_sent):
    """The outcome of a probe whose connection did not come up."""
    if not_sent.local_fault:
        return "other"
    return "refused" if not_sent.refused else "unreachable"
