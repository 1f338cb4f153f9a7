"""One process that hosts all fake peers of one assigner; the benchmark controls it over a pipe."""

import asyncio
import contextlib
import copy
import os
import signal
from dataclasses import dataclass

from benchmarks.scaling.fake_collectors import FakeCollectors
from benchmarks.scaling.fake_discovery import FakeDiscovery
from benchmarks.scaling.fake_relay import Counts, FakeRelay
from benchmarks.scaling.fake_tasks import FakeTasks
from benchmarks.scaling.traffic import Traffic


@dataclass(frozen=True, slots=True)
class PeersListening:
    """The fake peers are listening on these ports."""

    relay_port: int
    discovery_port: int
    task_entries: list


@dataclass(frozen=True, slots=True)
class WatchAssigner:
    """Registers the assigner's process, which is terminated if the pipe breaks."""

    pid: int


@dataclass(frozen=True, slots=True)
class StartCollectors:
    """Connects the collectors to the assigner at this address and starts their reports."""

    address: tuple


@dataclass(frozen=True, slots=True)
class StartChanges:
    """Starts changing the task list at the workload's rates."""


@dataclass(frozen=True, slots=True)
class GetSnapshot:
    """Requests a Snapshot."""


@dataclass(frozen=True, slots=True)
class GetHeldTasks:
    """Requests the names of all tasks that are in a bound proxy's table."""


@dataclass(frozen=True, slots=True)
class DrainTasks:
    """Lists these tasks as leaving."""

    tasks: tuple


@dataclass(frozen=True, slots=True)
class RestartTasks:
    """Restarts these tasks at the same time."""

    tasks: tuple


@dataclass(frozen=True, slots=True)
class SilenceTasks:
    """Makes these tasks stop answering, without a change of the task list."""

    tasks: tuple


@dataclass(frozen=True, slots=True)
class Stop:
    """Stops the process."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Counters and state of the fake peers."""

    traffic: Traffic
    relay: Counts
    proxies_bound: int
    tables: int
    table_lines: int
    first_order_at: float | None
    all_bound_at: float | None
    channel_wait_s: float  # time the simulated channel needs to send its backlog
    withdrawal_holders: int  # proxies that still have a withdrawn task in their table
    withdrawal_s: float | None  # from the list change until no proxy had a withdrawn task
    collectors_open: int
    watches: int  # discovery requests with a `since` version


class FakePeers:
    """Starts the peers and executes the commands received over the pipe."""

    def __init__(self, pipe, params, rank, seed):
        self.pipe, self.params, self.traffic = pipe, params, Traffic()
        self.tasks = FakeTasks(self.traffic.probes)
        self.relay = FakeRelay(self.traffic.relay_calls, self.traffic.event_stream, params, rank)
        self.collectors = FakeCollectors(self.traffic.collectors, params, self.relay, f"{seed}:{rank}")
        self.seed, self.discovery, self.background_tasks, self.assigner_pid = seed, None, [], None
        self.stopped = asyncio.Event()

    async def run(self):
        """Serves until a Stop command arrives or the pipe breaks."""
        await self.tasks.open()
        await self.relay.open()
        self.discovery = FakeDiscovery(self.traffic.discovery, self.params, self.tasks.address, self.seed)
        await self.discovery.open()
        self.start(self.relay.run())
        task_entries = list(self.discovery.tasks.entries.values())
        self.pipe.send(PeersListening(self.relay.port, self.discovery.port, task_entries))
        asyncio.get_running_loop().add_reader(self.pipe.fileno(), self.on_message)
        await self.stopped.wait()

    def start(self, coroutine):
        """Runs a coroutine in the background until the process ends."""
        self.background_tasks.append(asyncio.create_task(coroutine))

    def on_message(self):
        """Reads one command from the pipe and executes it."""
        try:
            message = self.pipe.recv()
        except (EOFError, OSError):
            return self.on_parent_exit()
        match message:
            case WatchAssigner(pid):
                self.assigner_pid = pid
            case StartCollectors(address):
                self.start(self.run_collectors(address))
            case StartChanges():
                self.start(self.discovery.run_changes())
            case GetSnapshot():
                self.pipe.send(self.snapshot())
            case GetHeldTasks():
                self.pipe.send(self.held_tasks())
            case DrainTasks(tasks):
                self.relay.watch_withdrawal(tasks)
                self.discovery.tasks.change_all(tasks, lifecycle="leaving")
            case RestartTasks(tasks):
                self.relay.watch_withdrawal(tasks)
                self.discovery.restart_all(tasks)
            case SilenceTasks(tasks):
                self.relay.watch_withdrawal(tasks)
                self.collectors.failing |= set(tasks)
                entries = self.discovery.tasks.entries
                self.tasks.silence({entries[task]["hostPort"] for task in tasks})
            case Stop():
                self.stopped.set()

    def on_parent_exit(self):
        """Terminates the assigner and this process: the benchmark process that started both has exited."""
        asyncio.get_running_loop().remove_reader(self.pipe.fileno())
        if self.assigner_pid:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.assigner_pid, signal.SIGTERM)
        self.stopped.set()

    async def run_collectors(self, address):
        """Connects the collectors and sends reports until a connection fails."""
        with contextlib.suppress(OSError):
            await self.collectors.connect(address)
            await self.collectors.run()

    def held_tasks(self):
        """The tasks in any table that a proxy is bound to."""
        tables = (table for table in self.relay.tables.values() if table.proxies)
        return sorted({task for table in tables for task in table.weights})

    def snapshot(self):
        """The current counters."""
        relay, withdrawal = self.relay, self.relay.withdrawal
        done = withdrawal and not withdrawal.holders and withdrawal.last_at
        return Snapshot(
            copy.deepcopy(self.traffic),
            copy.copy(relay.counts),
            len(relay.bound),
            sum(bool(table.proxies) for table in relay.tables.values()),
            sum(len(table.weights) for table in relay.tables.values()),
            relay.first_order_at,
            relay.all_bound_at,
            max(0.0, relay.channel.idle_at - relay.clock()),
            len(withdrawal.holders) if withdrawal else 0,
            withdrawal.last_at - withdrawal.started_at if done else None,
            sum(not writer.is_closing() for writer in self.collectors.writers.values()),
            self.discovery.tasks.watches,
        )


def run(pipe, params, rank, seed):
    """Entry point of the process."""

    async def serve():
        await FakePeers(pipe, params, rank, seed).run()

    asyncio.run(serve())
