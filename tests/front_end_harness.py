"""A Brain with its front ends on loopback, under a test clock, and the table that a relay would hold."""

import asyncio
import contextlib

import msgspec
from helper import BrainHarness, task_line, wait_until

from garnetpaddle import boot
from garnetpaddle import interface as gp
from garnetpaddle import operator as op
from garnetpaddle.front_ends import FrontEnds

SETTINGS = msgspec.convert(
    {
        "categories": [
            {"promise": 1.2, "name": "status", "effect": "free"},
            {"promise": 1.5, "name": "scan", "effect": "guarded"},
            {"promise": 2.0, "name": "charge", "effect": "single_shot"},
        ],
        "ceilings": {"probes": True},
        "discovery": "push",
        "contract": {"start_capacity": 0.2, "fall_multiple": 3.0, "cold": 15.0, "stop_sending_within": 3.0},
        "specifics": {"egress_per_s": 2e3, "queue_cap": 4e3, "report_every": 1.0},
    },
    boot.Settings,
)
GROUPS = (op.Group("status", "status"), op.Group("scan", "scan"), op.Group("charge", "charge"))


def make_follower(name="lb", rate=10.0, **options):
    options.setdefault("groups", ["status", "scan", "charge"])
    options.setdefault("retries", "none")
    return op.Follower(name=name, calls_per_second=rate, **options)


def make_configuration(*followers, connections=64, pace=0.2, dfp=(), listen="127.0.0.1:0", **options):
    limits = op.Limits(connections=connections, **options)
    sasp = (op.Sasp("sasp", listen, pace, 5.0),)
    return op.OperatorConfiguration("-", limits, GROUPS, followers or (make_follower(),), sasp, dfp)


class FixedTaskAddresses:
    def __init__(self, tasks):
        self.by_task = {k: ("127.0.0.1", 1_000 + n) for n, k in enumerate(tasks)}


class FrontEndHarness(BrainHarness):
    """A BrainHarness with front ends.

    Events of followers are handled with the next batch. native_weights: the table that the relay would
    hold."""

    def __init__(self, configuration, tasks="abcdef", restarted=False, **options):
        self.now, self.front_ends, self.follower_events, self.native_weights, self.native_table = (
            0,
            None,
            [],
            {},
            0,
        )
        self.configuration, self.platform_replies, self.withdrawn_tasks = configuration, [], {}
        self.task_addresses = FixedTaskAddresses(tasks)
        super().__init__(tasks, **options)
        self.front_ends = FrontEnds(
            configuration,
            SETTINGS,
            self.parameters,
            self.task_addresses,
            lambda: self.now,
            self.follower_events.append,
        )
        if not restarted:
            self.front_ends.registry.leases.started_at = -1_000_000
        self.front_ends.publish_snapshot(
            self.now, [gp.TaskListReceived("full", tuple(task_line(t) for t in tasks))], self.all_orders
        )

    def handle(self, *events):
        events = (*events, *self.follower_events)
        self.follower_events.clear()
        super().handle(*events)
        self.all_orders = [*getattr(self, "all_orders", []), *self.last_orders] if not self.front_ends else []
        local_order_types = gp.SetTimer | gp.LogMessage | gp.SendProbe
        self.platform_replies.append(
            FrontEnds.platform_orders([o for o in self.last_orders if not isinstance(o, local_order_types)])
        )
        for order in self.last_orders:
            match order:
                case gp.SetWeight():
                    if order.table != self.native_table:
                        self.native_table, self.native_weights = order.table, {}
                    self.native_weights.pop(order.task, None)
                    self.native_weights |= {order.task: order.weight} if order.weight else {}
                case gp.WithdrawTask():
                    self.withdrawn_tasks[order.task] = order.withdrawn
        if self.front_ends:
            self.front_ends.publish_snapshot(self.now, events, self.last_orders)

    def native_weights_by_port(self):
        """Returns the relay's table as port -> weight."""
        return {
            self.task_addresses.by_task[k][1]: w
            for k, w in self.native_weights.items()
            if not self.withdrawn_tasks.get(k)
        }

    async def advance_with_io(self, seconds, check=None):
        """Advances the clock in steps of 0.1 s and lets the sockets be served after each."""
        for _ in range(round(seconds * 10)):
            self.advance(0.1)
            await self.settle()
            if check:
                await check()

    async def settle(self):
        """Waits in real time until the kernel has acknowledged all output, then runs the due timers."""
        manager = self.front_ends.manager
        for _ in range(40):
            await asyncio.sleep(0)
            if all(
                connection.acknowledged() == connection.written for connection in manager.connections.values()
            ):
                break
            await asyncio.sleep(0.002)
        if manager.timers:
            manager.timers.run_due()

    def members(self, tasks):
        return [self.task_addresses.by_task[t] for t in tasks]

    @contextlib.asynccontextmanager
    async def serving(self):
        """Opens the front ends; yields their addresses."""
        await self.front_ends.open()
        run_task = asyncio.create_task(self.front_ends.run())
        try:
            yield self.front_ends.addresses
        finally:
            run_task.cancel()
            self.front_ends.close()
            with contextlib.suppress(AssertionError):
                await wait_until(lambda: not self.front_ends.manager.connections)


def normalized(weights):
    """Returns weights by port, scaled to a sum of 1."""
    total = sum(weights.values())
    return {port: w / total for port, w in weights.items() if w}


def same_shares(integers, native_weights):
    """Returns whether integers by port represent these weights: ratios within 1%, no other port above 0."""
    a, b = normalized(integers), normalized(native_weights)
    return a.keys() == b.keys() and all(abs(a[p] - b[p]) <= 0.0101 * b[p] for p in b)
