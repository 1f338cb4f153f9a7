"""Measures and profiles the CPU time of a turn of the Brain, in one process without sockets.

    python -m benchmarks.scaling.brain_turn                                  # the operators' size
    python -m benchmarks.scaling.brain_turn --tasks 3250 --profile 15
    python -m benchmarks.scaling.brain_turn --tasks 3250 --start --profile 15  # the initial lists instead

Runs on a virtual clock with the events that the fake peers cause: probe answers, reports of the tasks in the
table, acknowledgements and timer beats. `--start` profiles the stale list and discovery's first full list,
before any proxy joins.
"""

import cProfile
import pstats
import random
import time

import click
import msgspec

from benchmarks.scaling import workload
from garnetpaddle import boot
from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain

BEAT_TICKS, SECOND_TICKS = 1_000, 10_000  # 0.1 ms ticks
ANSWER_DELAY_MS = 50  # until a probe or a mark is answered


def task_lines(params):
    """The task list as the Brain receives it."""
    return tuple(
        gp.TaskLine(
            workload.task_name(k), workload.zone_name(k % params.zones), 0, "ready", 1.0, 0, f"m{k % 2}"
        )
        for k in range(params.tasks)
    )


class VirtualDay:
    """Feeds a Brain the events of a day without incidents."""

    def __init__(self, params):
        settings = msgspec.convert(workload.settings(params, 0), boot.Settings)
        self.params, self.brain = params, Brain(boot.derive_parameters(settings), 7)
        self.now, self.pending_events, self.table, self.turns = 10**9, [], {}, 0
        self.random = random.Random(7)

    def handle(self, events):
        """Runs one turn and schedules the answers to its orders."""
        self.turns += 1
        for order in self.brain.handle(self.now, events):
            at = self.now + ANSWER_DELAY_MS * 10
            match order:
                case gp.SendProbe(task=task):
                    self.pending_events.append((at, gp.ProbeFinished(task, 50, "ok", {"in_hand": 2.0})))
                case gp.RequestAcknowledgement(mark=mark):
                    self.pending_events += [
                        (at, gp.OrdersApplied(proxy, mark, 500))
                        for proxy in workload.proxy_ids(self.params, 0)
                    ]
                case gp.SetWeight(task=task, weight=weight):
                    self.table.pop(task, None)
                    self.table |= {task: weight} if weight else {}

    def start(self):
        """Handles the stale list, then discovery's full list."""
        self.handle([gp.TaskListReceived("stale", task_lines(self.params))])
        self.handle([gp.TaskListReceived("full", task_lines(self.params))])

    def join(self):
        """Joins all proxies."""
        rate = self.params.requests / self.params.proxies
        self.handle(
            [
                gp.ProxyJoined(proxy, rate, True, workload.zone_name(k % self.params.zones))
                for k, proxy in enumerate(workload.proxy_ids(self.params, 0))
            ]
        )

    def task_reports(self):
        """The task reports of one second."""
        names = list(self.table) or [workload.task_name(0)]
        chosen = self.random.choices(names, k=round(self.params.requests))
        return [
            gp.TaskReport(
                name, workload.zone_name(k % self.params.zones), 1, 0, 300.0, SECOND_TICKS, {"busy": 0.3}
            )
            for k, name in enumerate(chosen)
        ]

    def run(self, seconds):
        """Runs a turn per beat with the events due, and another one per second with the task reports."""
        for beat in range(round(seconds * SECOND_TICKS / BEAT_TICKS)):
            self.now += BEAT_TICKS
            due = [event for at, event in self.pending_events if at <= self.now]
            self.pending_events = [(at, event) for at, event in self.pending_events if at > self.now]
            self.handle([*due, gp.TimerExpired("beat")])
            if beat % (SECOND_TICKS // BEAT_TICKS) == 0:
                self.handle(self.task_reports())


@click.command()
@click.option("--tasks", default=workload.OPERATORS.tasks, show_default=True)
@click.option("--assigners", default=workload.OPERATORS.assigners, show_default=True)
@click.option("--proxies", default=workload.OPERATORS.proxies, show_default=True)
@click.option("--routes", default=4, show_default=True)
@click.option("--seconds", default=5.0, show_default=True, help="Virtual time to run.")
@click.option("--start", "start_only", is_flag=True, help="Only handle and profile the initial lists.")
@click.option("--profile", "rows", type=int, help="Print this many functions, by descending time.")
def main(tasks, assigners, proxies, routes, seconds, start_only, rows):
    """Runs the start and some seconds of virtual time; prints CPU times."""
    day = VirtualDay(workload.Workload(tasks=tasks, assigners=assigners, proxies=proxies, routes=routes))
    profiler = cProfile.Profile() if rows else None
    started_at = time.process_time()
    profiler.runcall(day.start) if profiler and start_only else day.start()
    click.echo(f"initial lists: {time.process_time() - started_at:.3f} s of CPU time, {tasks} tasks")
    if not start_only:
        day.join()
        started_at, turns = time.process_time(), day.turns
        profiler.runcall(day.run, seconds) if profiler else day.run(seconds)
        cpu_s, turns = time.process_time() - started_at, day.turns - turns
        click.echo(
            f"per turn: {cpu_s / turns * 1e3:.3f} ms; {turns} turns; {len(day.brain.own_tasks)} own tasks"
        )
        click.echo(f"fraction of a core at {turns / seconds:.1f} turns per second: {cpu_s / seconds:.3f}")
    if rows:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(rows)


if __name__ == "__main__":
    main()
