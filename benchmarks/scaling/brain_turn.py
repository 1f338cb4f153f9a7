"""What a turn of the Brain costs at a size, and which functions cost it: in one process, without sockets.

    python -m benchmarks.scaling.brain_turn                                  # the operators' tasks
    python -m benchmarks.scaling.brain_turn --tasks 3250 --profile 15
    python -m benchmarks.scaling.brain_turn --tasks 3250 --start --profile 15  # of the first lists instead

A virtual clock; events as the hollow peers bring them: probes answered, sums of the tasks in the table, marks
applied, and beats. `--start` profiles the list as last had and the whole list of discovery, before any proxy.
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

BEAT, SECOND = 1_000, 10_000  # tenths of a ms
WAYS_MS = 50  # of an answer to a probe or a mark


def lines(sizes):
    """The list as it is heard."""
    return tuple(
        gp.TaskLine(
            workload.task_name(k), workload.zone_name(k % sizes.zones), 0, "ready", 1.0, 0, f"m{k % 2}"
        )
        for k in range(sizes.tasks)
    )


class Play:
    """A Brain among the events of a quiet day."""

    def __init__(self, sizes):
        settings = msgspec.convert(workload.settings(sizes, 0), boot.Settings)
        self.sizes, self.brain = sizes, Brain(boot.terms(settings), 7)
        self.now, self.coming, self.table, self.turns = 10**9, [], {}, 0
        self.random = random.Random(7)

    def hear(self, events):
        """One turn; what it orders comes back as answers in time."""
        self.turns += 1
        for order in self.brain.handle(self.now, events):
            at = self.now + WAYS_MS * 10
            match order:
                case gp.Probe(task=task):
                    self.coming.append((at, gp.ProbeAnswered(task, 50, "ok", {"in_hand": 2.0})))
                case gp.Seal(mark=mark):
                    self.coming += [
                        (at, gp.Applied(proxy, mark, 500)) for proxy in workload.proxy_ids(self.sizes, 0)
                    ]
                case gp.SetLine(task=task, weight=weight):
                    self.table.pop(task, None)
                    self.table |= {task: weight} if weight else {}

    def start(self):
        """The list as last had, and discovery's."""
        self.hear([gp.ListHeard("stale", lines(self.sizes))])
        self.hear([gp.ListHeard("full", lines(self.sizes))])

    def join(self):
        """All proxies join."""
        rate = self.sizes.requests / self.sizes.proxies
        self.hear(
            [
                gp.ProxyJoined(proxy, rate, True, workload.zone_name(k % self.sizes.zones))
                for k, proxy in enumerate(workload.proxy_ids(self.sizes, 0))
            ]
        )

    def sums(self):
        """The reports of a second."""
        names = list(self.table) or [workload.task_name(0)]
        drawn = self.random.choices(names, k=round(self.sizes.requests))
        return [
            gp.TaskSums(name, workload.zone_name(k % self.sizes.zones), 1, 0, 300.0, SECOND, {"busy": 0.3})
            for k, name in enumerate(drawn)
        ]

    def run(self, seconds):
        """Beats with what has come meanwhile, and one turn more for each second's sums."""
        for beat in range(round(seconds * SECOND / BEAT)):
            self.now += BEAT
            due = [event for at, event in self.coming if at <= self.now]
            self.coming = [(at, event) for at, event in self.coming if at > self.now]
            self.hear([*due, gp.TimerDue("beat")])
            if beat % (SECOND // BEAT) == 0:
                self.hear(self.sums())


@click.command()
@click.option("--tasks", default=workload.OPERATORS.tasks, show_default=True)
@click.option("--assigners", default=workload.OPERATORS.assigners, show_default=True)
@click.option("--proxies", default=workload.OPERATORS.proxies, show_default=True)
@click.option("--routes", default=4, show_default=True)
@click.option("--seconds", default=5.0, show_default=True, help="Of the virtual day.")
@click.option("--start", "start_only", is_flag=True, help="Profile the first lists, and no day.")
@click.option("--profile", "rows", type=int, help="Print so many functions, the dearest first.")
def main(tasks, assigners, proxies, routes, seconds, start_only, rows):
    """Plays a start and some seconds; prints processor times."""
    play = Play(workload.Workload(tasks=tasks, assigners=assigners, proxies=proxies, routes=routes))
    watch = cProfile.Profile() if rows else None
    begun = time.process_time()
    watch.runcall(play.start) if watch and start_only else play.start()
    click.echo(f"first lists: {time.process_time() - begun:.3f} s of processor time, {tasks} tasks")
    if not start_only:
        play.join()
        begun, turns = time.process_time(), play.turns
        watch.runcall(play.run, seconds) if watch else play.run(seconds)
        spent, turns = time.process_time() - begun, play.turns - turns
        click.echo(
            f"a turn: {spent / turns * 1e3:.3f} ms; {turns} turns; {len(play.brain.own_tasks)} own tasks"
        )
        click.echo(f"a core's part at {turns / seconds:.1f} turns a second: {spent / seconds:.3f}")
    if rows:
        pstats.Stats(watch).sort_stats("tottime").print_stats(rows)


if __name__ == "__main__":
    main()
