"""Workload parameters, the dimensions of the sweep, and seeded assigner configurations. No I/O."""

import dataclasses
import random
from dataclasses import dataclass

REPORT_PERIOD_S = 1.0  # between a collector's reports, as in examples/assigner.json
CHANNEL_LINES_PER_S = 2_000.0  # rate of the relay's channel per assigner, as in examples/assigner.json
CHANNEL_QUEUE_LINES = 4_000.0  # as in examples/assigner.json; raised for many proxies, as the platform must
QUEUE_LINES_PER_PROXY = 26.0  # non-deferrable orders must fit twice for all proxies, as in benchmarks/turn.py
MESSAGE_HEAD_LINES = 6.0  # fixed cost of each message, as in benchmarks/turn.py
ASSIGNER_PROCESSES = 2  # processes per point; all other assigners exist only in the settings
SOCKETS = 4_096  # file descriptor limit of one assigner


@dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of one point. The defaults apply while another dimension varies."""

    tasks: int = 1_300
    proxies: int = 10  # connected to each assigner
    assigners: int = 130  # in the settings; in a divided fleet each one manages 1 / assigners of the tasks
    routes: int = 4
    zones: int = 4
    requests: float = 58.0  # per second at the proxies of one assigner: 76,000 over 1,300 assigners
    list_changes: float = 0.0  # changed task list entries per second
    reloads: float = 0.0  # SIGHUP per second at each assigner
    restarts: float = 0.0  # restarted tasks per second, over the whole list
    burst: int = 0  # percentage of all tasks restarted at once, instead of a drain
    silent: int = 0  # percentage of an assigner's tasks that stop answering at once, likewise


@dataclass(frozen=True, slots=True)
class Dimension:
    """A field that varies, its values, and the parameters held constant meanwhile."""

    field: str
    sizes: tuple[float, ...]
    held: Workload = Workload()
    unit: str = ""

    def workloads(self, sizes=None):
        """The workload of each size."""
        kind = type(getattr(self.held, self.field))
        return [dataclasses.replace(self.held, **{self.field: kind(size)}) for size in sizes or self.sizes]


@dataclass(frozen=True, slots=True)
class FleetDimension:
    """Assigners, tasks and proxies grow together, with ten tasks per assigner."""

    sizes: tuple[float, ...]
    field: str = "fleet"
    held: Workload = Workload()
    unit: str = "assigners, ten tasks each"

    def workloads(self, sizes=None):
        """The workload of each size."""
        return [
            dataclasses.replace(self.held, assigners=int(size), tasks=10 * int(size))
            for size in sizes or self.sizes
        ]


MANY_ASSIGNERS = Workload(assigners=1_300)
DIMENSIONS = {
    "tasks": Dimension("tasks", (812, 3_250, 6_500, 13_000), MANY_ASSIGNERS, "tasks, 1,300 assigners"),
    "fleet": FleetDimension((81, 325, 650, 1_300)),
    "proxies": Dimension("proxies", (16, 64, 256, 1_024), unit="proxies of one assigner"),
    "assigners": Dimension("assigners", (20, 80, 325, 1_300), unit="assigners in the settings"),
    "routes": Dimension("routes", (4, 50, 400, 4_000), unit="routes"),
    "zones": Dimension("zones", (1, 4, 16, 36), unit="zones"),
    "requests": Dimension("requests", (16, 64, 256, 1_024), unit="requests per second of one assigner"),
    "list_changes": Dimension("list_changes", (0.5, 2, 8, 32), unit="list changes per second"),
    "reloads": Dimension("reloads", (0.5, 2, 4, 8), unit="SIGHUP per second"),
    "restarts": Dimension("restarts", (0.25, 1, 4, 16), unit="restarts per second"),
    "burst": Dimension("burst", (1, 3, 11, 30), unit="% of all tasks restarted at once"),
    "silent": Dimension("silent", (10, 20, 30, 50), unit="% of its own tasks silent at once"),
    "large_burst": Dimension(
        "burst",
        (1, 3, 11, 30),
        Workload(tasks=13_000, assigners=1_300),
        "% of 13,000 tasks restarted at once",
    ),
}
# large_burst takes as long as all others together.
SWEPT = tuple(name for name in DIMENSIONS if name != "large_burst")
OPERATORS = Workload(tasks=13_000, proxies=10, assigners=1_300, routes=4_000, zones=36)
LACKING = {
    "regions": "neither the protocol nor the settings know regions: zones are the only grouping",
    "tenants": "neither the protocol nor the assigner's state knows tenants; a request never reaches it",
    "services": "one list of tasks and one fleet an assigner: 570 services are not told apart",
    "added_latency": (
        "no proxy of our own yet (issue 19): no request passes the assigner, its own part is 0 by design"
    ),
}


def zone_name(number):
    return f"z{number}"


def route_name(number):
    return f"route{number}"


def task_name(number, life=0):
    """The listed id of a task; `life` counts its replacements."""
    return f"s-{number:05x}{life:03x}"


def seeded_random(seed, *names):
    """A separate random generator for each use, so that the uses do not affect each other."""
    return random.Random(":".join(map(str, (seed, *names))))


def proxy_ids(params, rank):
    """The ids of the proxies connected to an assigner."""
    return range(rank * params.proxies, (rank + 1) * params.proxies)


def settings(params, rank):
    """The `settings` of one assigner's configuration."""
    return {
        "azs": [zone_name(k) for k in range(params.zones)],
        "my_zone": zone_name(rank % params.zones),
        "balancers": params.assigners,
        "rank": rank,
        "discovery": "push",
        "quantum": 0.005,
        "categories": [
            {"name": route_name(k), "promise": 1.0 + k % 4, "gain": 1.0 + k % 3} for k in range(params.routes)
        ],
        "ceilings": {"probes": True},
        "contract": {
            "cold": 10.0,
            "fall_multiple": 3.0,
            "start_capacity": 0.25,
            "must_ask_in": 10.0,
            "stop_sending_within": 3.0,
        },
        "reporting": {"how": "answers"},
        "specifics": {
            "agents": params.assigners * params.proxies,
            "egress_per_s": CHANNEL_LINES_PER_S,
            "queue_cap": max(CHANNEL_QUEUE_LINES, QUEUE_LINES_PER_PROXY * params.proxies),
            "head": MESSAGE_HEAD_LINES,
            "report_every": REPORT_PERIOD_S,
            "level_kind": "fraction",
            "strikes": 8,
        },
    }


def configuration(params, rank, seed, listen, relay, discovery, task_entries):
    """The content of the file that ROUTER_CONFIG names."""
    return {
        "name": f"scale-{rank}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seeded_random(seed, 'assigner', rank).getrandbits(64):016x}",
        "limits": {"sockets": SOCKETS},
        "store": {"address": relay},
        "known": {"generation": 0, "reset": True, "instances": task_entries},
        "settings": settings(params, rank),
    }
