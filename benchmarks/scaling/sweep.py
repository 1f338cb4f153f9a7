"""Runs the points of a sweep, light ones in parallel, and fits their figures."""

import dataclasses
import subprocess
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from benchmarks.scaling import fit, measure, workload

HEAVY_POINT_TASKS = 6_000  # points from this size on saturate their cores, so that only one runs at a time
FIGURES = {
    "cpu_part": "CPU time, fraction of a core",
    "turn_cpu_ms": "CPU time of a turn, ms",
    "turns_per_s": "turns per second",
    "resident_kb": "resident memory, KB",
    "control_bytes_per_s": "bytes per second, all links, both directions",
    "control_messages_per_s": "messages per second, all links, both directions",
    "up_s": "start to the first hb_ok, s",
    "first_order_s": "start to the first order, s",
    "all_bound_s": "start until all proxies are bound, s",
    "withdrawal_s": "list change until no proxy has the task, s",
    "start_cpu_s": "CPU time of the start, s",
}


@dataclass(frozen=True, slots=True)
class Plan:
    """One point to run."""

    dimension: str
    size: float
    run: int
    params: workload.Workload


def plan_dimensions(names, sizes, runs):
    """The points of the named dimensions, ordered by run, so that a slow period affects all sizes."""
    return [
        Plan(name, size, run, params)
        for run in range(runs)
        for name in names
        for size, params in zip(
            sizes or workload.DIMENSIONS[name].sizes,
            workload.DIMENSIONS[name].workloads(sizes),
            strict=True,
        )
    ]


class Sweep:
    """Measures planned points; a workload shared by several dimensions is measured once per run."""

    def __init__(self, seed, timing, jobs, on_result):
        self.seed, self.timing, self.jobs, self.on_result = seed, timing, jobs, on_result
        self.locks, self.measured, self.locks_guard = {}, {}, threading.Lock()

    def run(self, planned):
        """Results of all plans, in their order; heavy points run one at a time, in parallel to light ones."""
        with ThreadPoolExecutor(1) as heavy, ThreadPoolExecutor(self.jobs) as light:
            pools = [heavy if plan.params.tasks >= HEAVY_POINT_TASKS else light for plan in planned]
            futures = [pool.submit(self.point, plan) for pool, plan in zip(pools, planned, strict=True)]
            return [future.result() for future in futures]

    def point(self, plan):
        """The result of a plan, reused if the same workload was already measured in the same run."""
        key = plan.run, plan.params
        with self.locks_guard:
            lock = self.locks.setdefault(key, threading.Lock())
        with lock:
            if key not in self.measured:
                self.measured[key] = self.measure(plan)
        return dataclasses.replace(self.measured[key], dimension=plan.dimension, size=plan.size)

    def measure(self, plan):
        """Measures a point."""
        seed = self.seed + plan.run
        arguments = plan.dimension, plan.size, plan.run, plan.params, seed, self.timing
        started_at = time.monotonic()
        result = measure.run_point(*arguments)
        self.on_result(result, time.monotonic() - started_at)
        return result


def control_messages(assigner):
    """Messages per second over all links, in both directions."""
    links = assigner["links"].values()
    return sum(link["messages_from_assigner"] + link["messages_to_assigner"] for link in links) or None


def figure_values(results, dimension, figure):
    """(size, value) pairs of one figure, with the median over the assigners of each point."""
    pairs = []
    for result in results:
        if result.dimension != dimension:
            continue
        assigners = [a | {"control_messages_per_s": control_messages(a)} for a in result.assigners]
        value = measure.median_of(assigners, figure)
        if value is not None:
            pairs.append((float(result.size), float(value)))
    return pairs


def fits(results):
    """Fits by dimension and figure."""
    names = dict.fromkeys(result.dimension for result in results)
    found = {name: {key: fit.fit(figure_values(results, name, key)) for key in FIGURES} for name in names}
    return {
        name: {key: result for key, result in figures.items() if result} for name, figures in found.items()
    }


def commit():
    """The measured commit, and whether there are uncommitted changes."""
    identity = subprocess.run(["git", "rev-parse", "HEAD"], capture_output=True, text=True, check=False)
    status = subprocess.run(
        ["git", "status", "--porcelain", "--untracked-files=no", "garnetpaddle", "benchmarks"],
        capture_output=True,
        text=True,
        check=False,
    )
    return identity.stdout.strip() or "unknown", bool(status.stdout.strip())
