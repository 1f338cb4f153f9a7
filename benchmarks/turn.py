"""Measures and profiles the time of a turn of the Brain by the size of the fleet.

    python -m benchmarks.turn                              # all default sizes
    python -m benchmarks.turn --size 640x120 --size 1600x200 --json result.json
    python -m benchmarks.turn --profile                    # also profile the last size

Simulates one assigner on a virtual clock without I/O: a fifth of the proxies joins at the start, the others
10 s later (four of five assigners lost), then a third of the tasks is replaced. Task reports, probe results
and acknowledgements arrive throughout. The time per turn is given as a ratio to the first size of the same
run.
"""

import cProfile
import json
import pstats
import time

import click

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain

# A tick is 0.1 ms.
TURN_TICKS, DURATION_S, REPORT_PERIOD_TICKS = 1_000, 30, 10_000
REPORT_LINES_PER_S = 150  # lines of task reports per second


def parameters(proxies):
    return gp.Parameters(
        routes=(gp.Route(1, 12_000), gp.Route(5, 20_000)),
        list_mode="push",
        resubscribe_deadline=100_000,
        probes_allowed=True,
        warm_after=150_000,
        start_share=0.23,
        fall_multiple=3.0,
        dropped_counts_as_gone=True,
        report_period=REPORT_PERIOD_TICKS,
        channel_lines=2_000.0,
        queue_limit=26.0 * proxies,
        message_overhead_lines=6.0,
        message_cap=0,
        message_cap_period=100_000,
        level_kind="none",
        proxies=proxies,
        assigners=5,
        rank=0,
        zones=3,
        drain_grace_period=200_000,
        default_retry_mode="on proof",
        failures_before_avoidance=8,
    )


def task_line(task, state="ready", started=0):
    number = int(task[1:])
    return gp.TaskLine(task, "abc"[number % 3], 0, state, 1.0, started, "large" if number % 2 else "small")


class SimulatedDay:
    def __init__(self, proxies, tasks):
        self.brain, self.now, self.pending_events = Brain(parameters(proxies), 7), 10**9, []
        self.task_names, self.proxies, self.report_index = [f"t{k}" for k in range(tasks)], proxies, 0
        self.turns, self.events, self.handle_seconds = 0, 0, 0.0

    def handle_events(self, events):
        started_at = time.perf_counter()
        orders = self.brain.handle(self.now, events)
        self.handle_seconds += time.perf_counter() - started_at
        self.turns, self.events = self.turns + 1, self.events + len(events)
        for order in orders:
            match order:
                case gp.SendProbe():
                    self.pending_events.append((self.now + 800, gp.ProbeFinished(order.task, 800, "ok", {})))
                case gp.RequestAcknowledgement():
                    self.pending_events.append((self.now + 3_000, order.mark))

    def join(self, proxy_ids):
        self.handle_events(
            [gp.ProxyJoined(proxy_id, 1.0, True, "abc"[proxy_id % 3]) for proxy_id in proxy_ids]
        )

    def run_turn(self, turn):
        self.now += TURN_TICKS
        due = [event for at, event in self.pending_events if at <= self.now]
        self.pending_events = [(at, event) for at, event in self.pending_events if at > self.now]
        events = [event for event in due if not isinstance(event, int)]
        if marks := [event for event in due if isinstance(event, int)]:
            waiting_proxies = [
                proxy_id for proxy_id, proxy in self.brain.channel_proxies.items() if proxy.unacknowledged
            ]
            events += [gp.OrdersApplied(proxy_id, marks[-1], 3_000) for proxy_id in waiting_proxies]
        for _ in range(REPORT_LINES_PER_S * TURN_TICKS // 10_000):
            self.report_index = (self.report_index + 1) % (3 * len(self.task_names))
            task = self.task_names[self.report_index // 3]
            span = max(3 * len(self.task_names) * 10_000 // REPORT_LINES_PER_S, REPORT_PERIOD_TICKS)
            latency = 2_000.0 + 100 * (self.report_index % 7)
            events.append(gp.TaskReport(task, "abc"[self.report_index % 3], 8, 0, latency, span, {}))
        if turn == 150:
            removed, added = self.task_names[::3], [f"t{9_000 + k}" for k in range(len(self.task_names[::3]))]
            self.task_names = [name for name in self.task_names if name not in removed] + added
            lines = [task_line(name, "draining") for name in removed] + [
                task_line(name, "ready", self.now) for name in added
            ]
            events.append(gp.TaskListReceived("changes", tuple(lines)))
        self.handle_events(events)

    def run(self):
        self.handle_events([gp.TaskListReceived("stale", tuple(task_line(k) for k in self.task_names))])
        self.join(range(0, self.proxies, 5))
        for turn in range(DURATION_S * 10_000 // TURN_TICKS):
            if turn == 100:
                self.join([proxy_id for proxy_id in range(self.proxies) if proxy_id % 5])
            self.run_turn(turn)
        return {
            "proxies": self.proxies,
            "tasks": len(self.task_names),
            "turns": self.turns,
            "events": self.events,
            "a_turn": self.handle_seconds / self.turns,
        }


@click.command()
@click.option(
    "--size",
    "sizes",
    multiple=True,
    default=["150x30", "640x120", "1600x200", "3200x1000"],
    help="PROXIESxTASKS, repeatable; the others are compared to the first.",
)
@click.option(
    "--profile", is_flag=True, help="Also profile the last size and print its most expensive functions."
)
@click.option("--json", "json_path", help="Write the figures to this file.")
def main(sizes, profile, json_path):
    rows = []
    for size in sizes:
        proxies, tasks = (int(part) for part in size.split("x"))
        profiler = cProfile.Profile() if profile and size == sizes[-1] else None
        simulation = SimulatedDay(proxies, tasks)
        rows.append(profiler.runcall(simulation.run) if profiler else simulation.run())
        row = rows[-1] | {"ratio": rows[-1]["a_turn"] / rows[0]["a_turn"]}
        click.echo(
            f"{size:>10}  turns {row['turns']:>4}  events {row['events']:>7}  "
            f"time per turn {row['ratio']:7.2f} of {sizes[0]}'s"
        )
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(12)
    if json_path:
        with open(json_path, "w") as file:
            json.dump(rows, file)


if __name__ == "__main__":
    main()
