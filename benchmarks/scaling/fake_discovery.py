"""Fake discovery: an agent that serves the task list and its watches, and changes the list at given rates."""

import asyncio
import json
import re
import time

from benchmarks.scaling import http_server, workload

QUERY_PARAMETER = re.compile(r"(\w+)=(\d+)")
RESTART_DOWNTIME_S = 0.2  # from a restarting task's `leaving` entry to the `active` entry of its next life


class TaskList:
    """The task list with its change log; each change increments the generation."""

    def __init__(self, params, address):
        self.generation, self.changes, self.waiting_watches, self.watches = 1, [], [], 0
        self.entries = {}
        for number in range(params.tasks):
            entry = self.entry(number, address(number), workload.zone_name(number % params.zones))
            self.entries[entry["instanceId"]] = entry

    @staticmethod
    def entry(number, address, zone):
        """The initial entry of one task."""
        return {
            "instanceId": workload.task_name(number),
            "hostPort": address,
            "zone": zone,
            "machineType": f"m{number % 2}",
            "cell": number % 8,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def change(self, name, **fields):
        """Changes one entry and wakes all watches."""
        self.change_all([name], **fields)

    def change_all(self, names, **fields):
        """Changes several entries in one generation and wakes all watches."""
        self.generation += 1
        for name in names:
            self.entries[name] = self.entries[name] | fields
            self.changes.append((self.generation, name))
        waiting_watches, self.waiting_watches = self.waiting_watches, []
        for watch in waiting_watches:
            watch()

    def answer(self, since):
        """The whole list, or the entries changed after the generation `since`."""
        if since is None:
            included = self.entries
        else:
            included = dict.fromkeys(name for at, name in self.changes if at > since)
        return json.dumps(
            {
                "generation": self.generation,
                "reset": since is None,
                "instances": [self.entries[name] for name in included],
            }
        ).encode()


class WatchProtocol(http_server.RequestProtocol):
    """One connection to the agent."""

    def __init__(self, counter, tasks):
        super().__init__(counter)
        self.tasks = tasks

    def request(self, method, target, body):
        """Answers at once, or delays a watch until the next change or its timeout."""
        query = {word: int(number) for word, number in QUERY_PARAMETER.findall(target)}
        since = query.get("since")
        self.tasks.watches += since is not None
        if since is None or since < self.tasks.generation:
            return self.answer(self.tasks.answer(since))
        timer = asyncio.get_running_loop().call_later(query.get("timeout_ms", 0) / 1_000, self.expire, since)
        self.tasks.waiting_watches.append(lambda: self.wake(since, timer))

    def wake(self, since, timer):
        """Answers a watch after a change, unless it has expired."""
        if not timer.cancelled() and timer.when() > asyncio.get_running_loop().time():
            timer.cancel()
            self.answer(self.tasks.answer(since))

    def expire(self, since):
        """Answers a watch at its timeout, without entries."""
        self.answer(self.tasks.answer(since))


class FakeDiscovery:
    """The discovery agent, and the list changes of the workload."""

    def __init__(self, counter, params, address, seed):
        self.counter, self.params = counter, params
        self.tasks = TaskList(params, address)
        self.random = workload.seeded_random(seed, "list")
        self.server = self.port = None

    async def open(self):
        """Starts listening."""
        self.server, self.port = await http_server.listen(lambda: WatchProtocol(self.counter, self.tasks))

    async def run_changes(self):
        """Changes entries and restarts tasks at the workload's rates, until cancelled."""
        async with asyncio.TaskGroup() as group:
            if self.params.list_changes:
                group.create_task(self.repeat(self.params.list_changes, self.change_weight))
            if self.params.restarts:
                group.create_task(self.repeat(self.params.restarts, self.restart))

    @staticmethod
    async def repeat(rate, action):
        """Runs the action at a fixed rate per second; delayed runs are caught up."""
        loop = asyncio.get_running_loop()
        started_at, count = loop.time(), 0
        while True:
            count += 1
            await asyncio.sleep(max(0.0, started_at + count / rate - loop.time()))
            action()

    def random_active_task(self):
        """A random task that is listed as active."""
        names = list(self.tasks.entries)
        while True:
            name = self.random.choice(names)
            if self.tasks.entries[name]["lifecycle"] == "active":
                return name

    def change_weight(self):
        """Changes the listed weight of a random task, as an operator may at any time."""
        self.tasks.change(self.random_active_task(), weight=round(self.random.uniform(0.5, 2.0), 2))

    def restart(self):
        """Restarts a random task."""
        self.restart_all([self.random_active_task()])

    def restart_all(self, names):
        """Lists tasks as leaving together, and as active again after the downtime."""
        self.tasks.change_all(names, lifecycle="leaving")
        asyncio.get_running_loop().call_later(RESTART_DOWNTIME_S, self.finish_restart, names)

    def finish_restart(self, names):
        """Lists restarted tasks as active, with a new start time."""
        self.tasks.change_all(names, lifecycle="active", startedAtMs=int(time.time() * 1_000))
