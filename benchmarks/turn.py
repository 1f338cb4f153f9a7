"""What a turn of the Brain costs by the size of the fleet, and where it goes.

    python -m benchmarks.turn                              # 1,600 proxies x 200 tasks, one survivor of five
    python -m benchmarks.turn --size 640x120 --size 1600x200 --json result.json
    python -m benchmarks.turn --profile                    # the dearest functions of the last size

One assigner, on a virtual clock, no I/O: a fifth of the proxies joins at once, the others 10 s later (four of
five assigners lost), then a third of the tasks is replaced; sums, probes and answers come all the while.
A size's cost a turn is given as a ratio to the first size of the same run.
"""

import cProfile
import json
import pstats
import time

import click

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain

BEAT, SECONDS, PERIOD = 1_000, 30, 10_000  # tenths of a ms a turn; of the day; tenths of a ms between sums
INTAKE = 150  # lines of sums a second


def terms(proxies):
    return gp.Terms(
        routes=(gp.Route(1, 12_000), gp.Route(5, 20_000)),
        list_mode="push",
        must_ask_in=100_000,
        probes_allowed=True,
        warm_after=150_000,
        start_share=0.23,
        fall_multiple=3.0,
        gone_binds=True,
        report_period=PERIOD,
        channel_lines=2_000.0,
        queue_limit=26.0 * proxies,
        head_lines=6.0,
        message_cap=0,
        message_span=100_000,
        level_kind="none",
        proxies=proxies,
        assigners=5,
        rank=0,
        zones=3,
        grace=200_000,
        tries="on proof",
        strikes=8,
    )


def line(task, state="ready", started=0):
    number = int(task[1:])
    return gp.TaskLine(task, "abc"[number % 3], 0, state, 1.0, started, "large" if number % 2 else "small")


class Day:
    def __init__(self, proxies, tasks):
        self.brain, self.now, self.coming = Brain(terms(proxies), 7), 10**9, []
        self.names, self.proxies, self.at = [f"t{k}" for k in range(tasks)], proxies, 0
        self.turns, self.events, self.spent = 0, 0, 0.0

    def hear(self, events):
        begun = time.perf_counter()
        orders = self.brain.handle(self.now, events)
        self.spent += time.perf_counter() - begun
        self.turns, self.events = self.turns + 1, self.events + len(events)
        for order in orders:
            match order:
                case gp.Probe():
                    self.coming.append((self.now + 800, gp.ProbeAnswered(order.task, 800, "ok", {})))
                case gp.Seal():
                    self.coming.append((self.now + 3_000, order.mark))

    def join(self, numbers):
        self.hear([gp.ProxyJoined(p, 1.0, True, "abc"[p % 3]) for p in numbers])

    def turn(self, n):
        self.now += BEAT
        due = [event for at, event in self.coming if at <= self.now]
        self.coming = [(at, event) for at, event in self.coming if at > self.now]
        events = [event for event in due if not isinstance(event, int)]
        if marks := [event for event in due if isinstance(event, int)]:
            waits = [p for p, proxy in self.brain.channel_proxies.items() if proxy.unacknowledged]
            events += [gp.Applied(p, marks[-1], 3_000) for p in waits]
        for _ in range(INTAKE * BEAT // 10_000):
            self.at = (self.at + 1) % (3 * len(self.names))
            task = self.names[self.at // 3]
            span = max(3 * len(self.names) * 10_000 // INTAKE, PERIOD)
            latency = 2_000.0 + 100 * (self.at % 7)
            events.append(gp.TaskSums(task, "abc"[self.at % 3], 8, 0, latency, span, {}))
        if n == 150:
            gone, new = self.names[::3], [f"t{9_000 + k}" for k in range(len(self.names[::3]))]
            self.names = [k for k in self.names if k not in gone] + new
            lines = [line(k, "draining") for k in gone] + [line(k, "ready", self.now) for k in new]
            events.append(gp.ListHeard("changes", tuple(lines)))
        self.hear(events)

    def play(self):
        self.hear([gp.ListHeard("stale", tuple(line(k) for k in self.names))])
        self.join(range(0, self.proxies, 5))
        for n in range(SECONDS * 10_000 // BEAT):
            if n == 100:
                self.join([p for p in range(self.proxies) if p % 5])
            self.turn(n)
        return {
            "proxies": self.proxies,
            "tasks": len(self.names),
            "turns": self.turns,
            "events": self.events,
            "a_turn": self.spent / self.turns,
        }


@click.command()
@click.option(
    "--size",
    "sizes",
    multiple=True,
    default=["150x30", "640x120", "1600x200", "3200x1000"],
    help="PROXIESxTASKS, any number of times; the first is the measure of the others.",
)
@click.option("--profile", is_flag=True, help="Also the dearest functions of the last size.")
@click.option("--json", "path", help="Write the figures there.")
def main(sizes, profile, path):
    rows = []
    for size in sizes:
        proxies, tasks = (int(part) for part in size.split("x"))
        watch = cProfile.Profile() if profile and size == sizes[-1] else None
        day = Day(proxies, tasks)
        rows.append(watch.runcall(day.play) if watch else day.play())
        row = rows[-1] | {"ratio": rows[-1]["a_turn"] / rows[0]["a_turn"]}
        click.echo(
            f"{size:>10}  turns {row['turns']:>4}  events {row['events']:>7}  "
            f"a turn {row['ratio']:7.2f} of {sizes[0]}'s"
        )
    if profile:
        pstats.Stats(watch).sort_stats("tottime").print_stats(12)
    if path:
        with open(path, "w") as file:
            json.dump(rows, file)


if __name__ == "__main__":
    main()
