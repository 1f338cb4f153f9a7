"""Days of fault injection: a fleet, its load and its faults, drawn from a seed. No I/O; times in seconds."""

import dataclasses
import math
import random
from dataclasses import dataclass

import msgspec

from garnetpaddle.rehearsal.script import Clients, Delays, Kind, Route

DEFAULT_ASSIGNERS = 3
PROXIES_PER_ASSIGNER = 80
ZONES = ("north", "south", "west")
DAY_LENGTH_S = 66.0
LAST_RESTART_S = 6.0
MASS_RELEASE_S = 7.0  # in which a mass release replaces its tasks
MASS_RELEASE_START_S = (5.0, 35.0)
# A fault that makes several tasks slow at once: their share of all, how many times slower, and how long
SLOW_TASKS_SHARE, SLOW_TASKS_RATIO, SLOW_TASKS_LENGTH_S = (0.05, 0.25), (2.0, 10.0), (10.0, 35.0)
# Days on which large parts of the fleet crash: the choices of load, assigners, proxies of each, and failures
# before a proxy avoids a task; how many waves, when they begin, how long they last, their share of all tasks
CRASH_DAY_LOADS, CRASH_DAY_ASSIGNERS = (0.5, 0.6, 0.7, 0.8, 0.9), (1, 1, 2, 3, 3)
CRASH_DAY_PROXIES, CRASH_DAY_STRIKES = (6, 12, 24, 80, 80, 80), (3, 8, 8)
CRASH_WAVES, CRASH_WAVE_START_S, CRASH_WAVE_LENGTH_S = (1, 2, 3), (8.0, 56.0), (0.3, 6.0)
CRASH_WAVE_SHARE, CRASH_DOWNTIME_S, CRASH_SILENT_SHARE = (0.1, 0.85), (0.3, 4.0), 0.1
CRASH_DAY_MASS_RELEASE_SHARE = CRASH_DAY_SLOW_SHARE = 0.3  # of the days, that also have this fault
# A wave of crashes before an assigner's last restart, and a few tasks that crash after it
LATE_WAVE_S, LATE_WAVE_SHARE, LATE_CRASHES, LATE_CRASHES_S = (41.0, 46.0), 0.6, 3, (57.0, 59.5)
LATE_CRASH_DOWNTIME_S = (0.3, 2.0)
# A short day of crashes alone
CRASH_AT_S, CRASH_SPACING_S, CRASH_DAY_LENGTH_S = 6.0, 0.05, 12.0
QUEUE_LIMIT_S = 2.0  # of the channel's usual pace, as the sites' settings have it
# Spells of a fault of the relay and of the channel: when they begin, how long they last, the share of calls
# that break, and the share of its pace that a channel keeps
SPELL_START_S, SPELL_LENGTH_S = ((2.0, 15.0), (20.0, 35.0), (42.0, 55.0)), (3.0, 8.0)
BROKEN_CALLS_SHARE, SLOW_CHANNEL_FACTOR = (0.1, 0.6), (0.25, 0.7)
RELAY_FAULTS = ("break", "silent", "unreadable")
INTAKE_LINES_PER_S = 150  # report lines that an assigner is given at most


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """A task's machine."""

    name: str
    kind: Kind
    zone: str


@dataclass(frozen=True, slots=True)
class TaskRestart:
    """A task's process dies and starts again; meanwhile it refuses connections or, if silent, is mute."""

    at: float
    task: str
    downtime: float
    silent: bool


@dataclass(frozen=True, slots=True)
class TaskReplacement:
    """A release: the task drains, its process ends, and the next one starts under the same id."""

    at: float
    task: str
    drain_time: float
    downtime: float


@dataclass(frozen=True, slots=True)
class AssignerRestart:
    """An assigner gets a signal, SIGKILL or SIGTERM, and is started again."""

    at: float
    rank: int
    signal: str
    downtime: float


@dataclass(frozen=True, slots=True)
class TaskFault:
    """A task fails a share of its calls (`errors`), or works several times slower (`slow`)."""

    at: float
    task: str
    kind: str
    amount: float
    end: float


@dataclass(frozen=True, slots=True)
class StreamBreak:
    """The streams of some proxies break."""

    at: float
    share: float


@dataclass(frozen=True, slots=True)
class RelayFault:
    """The relay of an assigner breaks a share of its calls, which may have been carried out.

    kind: "break" (of the connection, after the call's last byte), "silent" or "unreadable" (its answer)."""

    at: float
    end: float
    rank: int
    kind: str
    share: float


@dataclass(frozen=True, slots=True)
class SlowChannel:
    """The channel of an assigner sends at a share of its usual pace."""

    at: float
    end: float
    rank: int
    factor: float


Fault = TaskRestart | TaskReplacement | AssignerRestart | TaskFault | StreamBreak | RelayFault | SlowChannel


@dataclass(frozen=True, slots=True)
class ListDelays:
    """How late discovery tells an assigner of a task, in seconds: the range of each delay."""

    started: tuple[float, float] = (0.36, 1.8)
    left: tuple[float, float] = (1.4, 4.0)


@dataclass(frozen=True, slots=True)
class Day:
    """A fleet, its load and the faults of one run."""

    seed: int
    nodes: tuple[NodeSpec, ...]
    assigners: int
    proxies: int
    routes: tuple[Route, ...]
    clients: Clients
    delays: Delays
    list_delays: ListDelays
    told_start_share: float  # as the settings say: no task starts with less of its capacity
    told_warm_after: float  # as the settings say: every task is warm by then
    faults: tuple[Fault, ...]
    length: float = DAY_LENGTH_S
    list_tells_crashes: bool = False  # as "gone", with the list's delay for tasks that left


def draw_day(
    seed,
    utilization=None,
    assigners=DEFAULT_ASSIGNERS,
    tasks_restart_with_assigner=False,
    speed_variation=0.0,
):
    """A day of restarts, a release and bad tasks.

    utilization: the load as a share of all cores; drawn if None. tasks_restart_with_assigner: some tasks also
    restart while an assigner is down, so that its next life hears of them with proxies that hold old tables.
    speed_variation: the coefficient of variation of the speeds of machines of one type.
    """
    rng = random.Random(f"day {seed}")
    kinds = draw_kinds(rng)
    names = [f"s-{rng.getrandbits(32):08x}" for _ in range(30)]
    nodes = tuple(
        NodeSpec(name, rng.choices(kinds, (0.38, 0.35, 0.27))[0], ZONES[k % len(ZONES)])
        for k, name in enumerate(names)
    )
    routes = (
        Route("status", 0.45, rng.uniform(0.18, 0.24), 1.2, 4.0, 1.0, "repeatable", "exponential"),
        Route("scan", 0.38, rng.uniform(0.18, 0.24), 1.5, 4.0, 2.0, "repeatable", "exponential"),
        Route("charge", 0.17, rng.uniform(0.27, 0.37), 2.0, 5.0, 5.0, "mutating", "exponential"),
    )
    utilization = utilization or rng.uniform(0.45, 0.85)
    if speed_variation:
        nodes = vary_speeds(nodes, speed_variation, random.Random(f"speed {seed}"))
    mean_work = sum(route.share * route.work for route in routes)
    capacity = sum(node.kind.cores * node.kind.speed for node in nodes)
    return Day(
        seed=seed,
        nodes=nodes,
        assigners=assigners,
        proxies=PROXIES_PER_ASSIGNER * assigners,
        routes=routes,
        clients=Clients(
            rate=utilization * capacity / mean_work,
            curve=rng.choice(((1.0,), (0.8, 1.1), (0.9, 1.15, 0.9))),
            again=rng.uniform(0.5, 1.0),
            uneven=rng.uniform(2.0, 10.0),
        ),
        delays=Delays(
            channel=rng.uniform(0.14, 0.44),
            lines=rng.uniform(1_600, 2_200),
            queue_limit=4_400.0,
            reports=rng.uniform(0.63, 1.4),
            strikes=8,
            avoid=rng.uniform(4.1, 7.7),
            redial=rng.uniform(0.4, 1.5),
        ),
        list_delays=ListDelays(),
        told_start_share=0.23,
        told_warm_after=15.0,
        faults=draw_faults(rng, names, assigners, tasks_restart_with_assigner),
    )


def vary_speeds(nodes, variation, rng):
    """The nodes with speeds of their own: lognormal, with their type's speed as the mean."""
    sigma = math.sqrt(math.log(1 + variation**2))
    return tuple(
        dataclasses.replace(
            node,
            kind=msgspec.structs.replace(
                node.kind, speed=node.kind.speed * math.exp(rng.gauss(-(sigma**2) / 2, sigma))
            ),
        )
        for node in nodes
    )


def with_mass_release(day):
    """The day with its whole release, six in ten tasks, within MASS_RELEASE_S."""
    rng = random.Random(f"mass {day.seed}")
    start = rng.uniform(*MASS_RELEASE_START_S)
    release = [fault for fault in day.faults if isinstance(fault, TaskReplacement)]
    others = [fault for fault in day.faults if not isinstance(fault, TaskReplacement)]
    moved = [dataclasses.replace(fault, at=start + rng.uniform(0.0, MASS_RELEASE_S)) for fault in release]
    return dataclasses.replace(day, faults=tuple(sorted(others + moved, key=lambda fault: fault.at)))


def with_slow_tasks(day):
    """The day with one more fault, which makes several tasks slow at once."""
    rng = random.Random(f"slow {day.seed}")
    length = rng.uniform(*SLOW_TASKS_LENGTH_S)
    start = rng.uniform(2.0, day.length - length)
    count = max(1, round(rng.uniform(*SLOW_TASKS_SHARE) * len(day.nodes)))
    struck = rng.sample([node.name for node in day.nodes], count)
    faults = [
        TaskFault(start, name, "slow", rng.uniform(*SLOW_TASKS_RATIO), start + length) for name in struck
    ]
    return dataclasses.replace(day, faults=tuple(sorted((*day.faults, *faults), key=lambda f: f.at)))


def with_crash_waves(day, rng):
    """The day with waves of crashes that each strike a part of the fleet."""
    names = [node.name for node in day.nodes]
    crashes = []
    for _ in range(rng.choice(CRASH_WAVES)):
        start, length = rng.uniform(*CRASH_WAVE_START_S), rng.uniform(*CRASH_WAVE_LENGTH_S)
        struck = rng.sample(names, round(rng.uniform(*CRASH_WAVE_SHARE) * len(names)))
        crashes += [
            TaskRestart(
                start + rng.uniform(0.0, length),
                name,
                rng.uniform(*CRASH_DOWNTIME_S),
                rng.random() < CRASH_SILENT_SHARE,
            )
            for name in struck
        ]
    return dataclasses.replace(day, faults=tuple(sorted((*day.faults, *crashes), key=lambda f: f.at)))


def draw_crash_day(seed, speed_variation):
    """A day of unequal machines with crash waves, of a deployment that is drawn, too."""
    rng = random.Random(f"crashes {seed}")
    assigners = rng.choice(CRASH_DAY_ASSIGNERS)
    day = draw_day(
        seed,
        rng.choice(CRASH_DAY_LOADS),
        assigners,
        tasks_restart_with_assigner=True,
        speed_variation=speed_variation,
    )
    day = dataclasses.replace(
        day,
        proxies=rng.choice(CRASH_DAY_PROXIES) * assigners,
        delays=msgspec.structs.replace(day.delays, strikes=rng.choice(CRASH_DAY_STRIKES)),
        clients=msgspec.structs.replace(day.clients, again=rng.uniform(0.5, 1.0)),
    )
    if rng.random() < CRASH_DAY_MASS_RELEASE_SHARE:
        day = with_mass_release(day)
    if rng.random() < CRASH_DAY_SLOW_SHARE:
        day = with_slow_tasks(day)
    return with_crash_waves(day, rng)


def with_late_crashes(day):
    """The day with a wave of crashes before the last restart of an assigner, which the list tells of."""
    rng = random.Random(f"late crashes {day.seed}")
    names = [node.name for node in day.nodes]
    wave = rng.sample(names, round(LATE_WAVE_SHARE * len(names)))
    times = [(name, rng.uniform(*LATE_WAVE_S)) for name in wave]
    times += [(name, rng.uniform(*LATE_CRASHES_S)) for name in rng.sample(names, LATE_CRASHES)]
    crashes = [TaskRestart(at, name, rng.uniform(*LATE_CRASH_DOWNTIME_S), False) for name, at in times]
    return dataclasses.replace(
        day,
        faults=tuple(sorted((*day.faults, *crashes), key=lambda fault: fault.at)),
        list_tells_crashes=True,
    )


def with_only_crashes(day, count, downtime):
    """A short day on which nothing happens but that so many tasks crash at once, all down for as long."""
    names = random.Random(day.seed).sample([node.name for node in day.nodes], count)
    crashes = tuple(
        TaskRestart(CRASH_AT_S + k * CRASH_SPACING_S, name, downtime, False) for k, name in enumerate(names)
    )
    return dataclasses.replace(day, faults=crashes, length=CRASH_DAY_LENGTH_S)


def with_relay_faults(day):
    """The day on which each relay breaks calls in every way, and each channel is slow, for a while; the queue
    limit follows the channel's pace."""
    rng = random.Random(f"relay {day.seed}")
    faults = []
    for rank in range(day.assigners):
        kinds = rng.sample(RELAY_FAULTS, len(RELAY_FAULTS))
        for kind, start_range in zip(kinds, SPELL_START_S, strict=True):
            start, slow_start = rng.uniform(*start_range), rng.uniform(*start_range)
            share, factor = rng.uniform(*BROKEN_CALLS_SHARE), rng.uniform(*SLOW_CHANNEL_FACTOR)
            faults.append(RelayFault(start, start + rng.uniform(*SPELL_LENGTH_S), rank, kind, share))
            slow_end = slow_start + rng.uniform(*SPELL_LENGTH_S)
            faults.append(SlowChannel(slow_start, slow_end, rank, factor))
    delays = msgspec.structs.replace(day.delays, queue_limit=QUEUE_LIMIT_S * day.delays.lines)
    return dataclasses.replace(
        day, delays=delays, faults=tuple(sorted((*day.faults, *faults), key=lambda fault: fault.at))
    )


def without_assigner_restarts(day):
    """The day on which no assigner gets a signal."""
    kept = tuple(fault for fault in day.faults if not isinstance(fault, AssignerRestart))
    return dataclasses.replace(day, faults=kept)


def excerpt(day, start, length):
    """A shorter day: the faults that begin within `length` s from `start` on, moved to the day's beginning.

    An assigner's later restart comes LAST_RESTART_S before the end."""
    faults = []
    for fault in day.faults:
        at = fault.at - start
        if isinstance(fault, AssignerRestart) and at >= length:
            at = length - LAST_RESTART_S
        if 0 <= at < length:
            moved = {"at": at} | ({"end": fault.end - start} if isinstance(fault, TaskFault) else {})
            faults.append(dataclasses.replace(fault, **moved))
    return dataclasses.replace(day, faults=tuple(sorted(faults, key=lambda fault: fault.at)), length=length)


def draw_kinds(rng):
    """Three machine types of unequal size, with their true ramp-up after a start."""
    sizes = (
        ("large", 4, rng.uniform(1.4, 1.8)),
        ("small", 2, rng.uniform(0.85, 1.1)),
        ("slow", 3, rng.uniform(0.51, 0.69)),
    )
    return tuple(
        Kind(
            name,
            cores,
            speed,
            queue=int(cores * rng.uniform(5, 20)),
            accept=400,
            handshake=rng.uniform(0.008, 0.015),
            warm_after=rng.uniform(8.5, 15.0),
            start_share=rng.uniform(0.23, 0.42),
        )
        for name, cores, speed in sizes
    )


def draw_faults(rng, names, assigners, tasks_restart_with_assigner):
    """The faults of a day, in order of their time."""
    faults = []
    order = rng.sample(names, len(names))
    released, others = order[:18], order[18:]
    wave_sizes = (5, 3, 3, 4, 3)
    wave_starts = (3.0, 12.9, 21.5, 31.0, 40.0)
    for size, start in zip(wave_sizes, wave_starts, strict=True):
        for task in [released.pop() for _ in range(size)]:
            at = start + rng.uniform(0.0, 2.2)
            faults.append(TaskReplacement(at, task, rng.uniform(5.0, 8.5), rng.uniform(0.2, 1.0)))
    for start in (8.5, 19.5, 25.0, 36.0, 48.0):
        silent = rng.random() < 0.3
        for task in rng.sample(others, 3):
            at = start + rng.uniform(0.0, 0.7)
            faults.append(TaskRestart(at, task, rng.uniform(0.3, 4.0), silent))
    for task in rng.sample(names, 4):
        at = rng.uniform(2.0, 40.0)
        kind = rng.choice(("errors", "slow"))
        amount = rng.uniform(0.3, 1.0) if kind == "errors" else rng.uniform(2.5, 8.0)
        faults.append(TaskFault(at, task, kind, amount, at + rng.uniform(10.0, 29.0)))
    rank = rng.randrange(assigners)
    faults.append(AssignerRestart(rng.uniform(24.0, 28.0), rank, "SIGKILL", 0.5))
    faults.append(AssignerRestart(rng.uniform(49.0, 52.0), rank, "SIGTERM", 0.5))
    if rng.random() < 0.5:
        faults.append(StreamBreak(rng.uniform(10.0, 45.0), rng.uniform(0.3, 0.9)))
    if tasks_restart_with_assigner:
        restarts = [fault for fault in faults if isinstance(fault, AssignerRestart)]
        for restart in restarts:
            faults += [
                TaskRestart(restart.at - rng.uniform(0.0, 1.0), task, rng.uniform(0.2, 1.0), False)
                for task in rng.sample(others, 4)
            ]
    return tuple(sorted(faults, key=lambda fault: fault.at))
