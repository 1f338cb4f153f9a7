"""Fake collectors, one per zone: they report simulated requests, routed by the tables at the relay."""

import asyncio
import itertools
from collections import Counter

from benchmarks.scaling import workload

PERIOD_MS = workload.REPORT_PERIOD_S * 1_000
MEAN_LATENCIES_MS = (20.0, 30.0, 40.0, 60.0)  # mean latency of a task, by its number: machine types differ


class FakeCollectors:
    """Simulates and aggregates the requests of one assigner's proxies, from a seeded random generator."""

    def __init__(self, counter, params, relay, seed):
        self.counter, self.params, self.relay = counter, params, relay
        self.random, self.due_requests = workload.seeded_random(seed, "requests"), 0.0
        self.proxies = list(relay.proxies)
        self.writers, self.failing = {}, set()  # failing: tasks that fail every try

    async def connect(self, address):
        """Opens one connection per zone and joins as its collector."""
        for number in range(self.params.zones):
            reader, writer = await asyncio.open_connection(*address)
            zone = workload.zone_name(number)
            self.writers[zone] = writer
            self.write(zone, [f"telemetry site={zone}"])

    def write(self, zone, lines):
        """Sends messages on a zone's connection."""
        data = "".join(line + "\r\n" for line in lines).encode()
        self.counter.sent(len(data), len(lines))
        self.writers[zone].write(data)

    async def run(self):
        """Reports once per period, until cancelled."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for period in itertools.count(1):
            await asyncio.sleep(max(0.0, started_at + period * workload.REPORT_PERIOD_S - loop.time()))
            self.report()

    def report(self):
        """Sends the reports of all zones for one period."""
        self.due_requests += self.params.requests * workload.REPORT_PERIOD_S
        tasks, routes = Counter(), Counter()
        for _ in range(int(self.due_requests)):
            proxy = self.random.choice(self.proxies)
            routes[proxy, self.random.randrange(self.params.routes)] += 1
            if task := self.choose_task(proxy):
                tasks[self.relay.proxies[proxy], task] += 1
        self.due_requests -= int(self.due_requests)
        lines_by_zone = {zone: [] for zone in self.writers}
        for (zone, task), count in tasks.items():
            lines_by_zone[zone].append(self.upstream_line(zone, task, count))
        for (proxy, route), count in routes.items():
            lines_by_zone[self.relay.proxies[proxy]].append(
                f"client_stats id={proxy} lane={workload.route_name(route)} count={count} fail=0 "
                f"over={PERIOD_MS:.1f}"
            )
        for zone, lines in lines_by_zone.items():
            if lines and not self.writers[zone].is_closing():
                self.write(zone, lines)

    def choose_task(self, proxy):
        """Picks the task for a request of a proxy, by the weights of its table."""
        table = self.relay.tables.get(self.relay.bound.get(proxy))
        names = table and [name for name in table.weights if name not in self.relay.ejected]
        if not names:
            return None
        return self.random.choices(names, [table.weights[name] for name in names])[0]

    def upstream_line(self, zone, task, count):
        """The report line of one task."""
        if task in self.failing:
            return f"upstream_stats site={zone} target={task} count={count} fail={count} over={PERIOD_MS:.1f}"
        mean = MEAN_LATENCIES_MS[int(task[2:7], 16) % len(MEAN_LATENCIES_MS)]
        return (
            f"upstream_stats site={zone} target={task} count={count} fail=0 mean={mean:.1f} "
            f"over={PERIOD_MS:.1f} util=inflight:2,util:0.30"
        )
