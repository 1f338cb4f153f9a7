"""Log lines on tasks that stop answering while they are cold: by which lines they were called, and by whom.

A cold task that gets more work than it bears falls over and stays down. Whether that happened, the list does
not tell: the task's probes and tries fail from then on. The log line names what this assigner had ordered.
"""

import collections
from dataclasses import dataclass, field

import structlog

from garnetpaddle import interface as gp

LINE_HISTORY = 60_000  # tenths of a ms: 6 s, twice the usual window of the rule on cold tasks
FAILED_CHECKS_BEFORE_LOSS = 2  # in a row: one probe may time out at a busy task
INCONCLUSIVE_OUTCOMES = ("full", "other")  # of a probe: they say nothing about the task
TENTHS_OF_MS_PER_SECOND = 10_000
log = structlog.get_logger()


def seconds(tenths_of_ms):
    """Seconds for the log."""
    return round(tenths_of_ms / TENTHS_OF_MS_PER_SECOND, 2)


@dataclass(frozen=True, slots=True)
class LineChange:
    """A change of a cold task's line as it was ordered."""

    at: int
    table: int
    weight: float


@dataclass(slots=True)
class ColdTask:
    """What is known of a cold task since its start was heard.

    removal_waited: until the line that it had when it was warm was removed; None while that still waits.
    Tries and failures are those of the last report."""

    started_at: int
    heard_at: int
    removal_waited: int | None = None
    lines: collections.deque = field(default_factory=collections.deque)
    answered: bool = False
    failed_checks: int = 0
    last_check: str = ""
    tries: int = 0
    failures: int = 0
    lost_at: int | None = None

    def record_line(self, change):
        """Adds a line; the last one before the history begins stays, as it was in force then."""
        self.lines.append(change)
        while len(self.lines) > 1 and self.lines[1].at <= change.at - LINE_HISTORY:
            self.lines.popleft()

    def record_check(self, failed, what):
        """Counts a probe or a report that tells whether the task answers."""
        self.answered = self.answered or not failed
        self.failed_checks = self.failed_checks + 1 if failed else 0
        self.last_check = what

    def is_lost(self):
        return self.failed_checks >= FAILED_CHECKS_BEFORE_LOSS

    def describe_lines(self, now):
        """Its lines, as seconds ago, table and weight, the oldest first."""
        return " ".join(f"-{seconds(now - line.at)}s:{line.table}={line.weight:g}" for line in self.lines)


class ColdTaskLog:
    """Observes the batches of a decision loop.

    brain: read for what is logged only; warm_after: tenths of a ms from a start until a task is warm."""

    def __init__(self, brain, warm_after):
        self.brain, self.warm_after = brain, warm_after
        self.cold = {}  # task -> ColdTask
        self.losses = 0
        self.last_loss = ""  # of the last lost task: its name, age and lines, for the status

    def observe(self, now, events, orders):
        """Follows a batch: its events, then the orders given for them."""
        for event in events:
            match event:
                case gp.TaskListReceived():
                    self.note_list(now, event)
                case gp.ProbeFinished() if event.outcome not in INCONCLUSIVE_OUTCOMES:
                    self.note_probe(now, event)
                case gp.TaskReport():
                    self.note_report(event)
        for order in orders:
            if isinstance(order, gp.SetWeight) and order.task in self.cold:
                self.cold[order.task].record_line(LineChange(now, order.table, order.weight))
        self.note_removals(now)
        self.log_losses(now)

    def note_list(self, now, event):
        """Begins with a task whose start is told, and forgets one that leaves."""
        for line in event.lines:
            known = self.cold.get(line.task)
            if line.state != "ready" or now - line.started_at >= self.warm_after:
                self.cold.pop(line.task, None)
            elif known is None or known.started_at != line.started_at:
                self.cold[line.task] = ColdTask(line.started_at, now)

    def note_probe(self, now, event):
        """Takes over the outcome of a probe that began after the start."""
        task = self.cold.get(event.task)
        if task and now - event.elapsed >= task.started_at:
            task.record_check(event.outcome != "ok", f"probe {event.outcome}")

    def note_report(self, event):
        """Takes over the sums of a report, which may cover time before the start."""
        task = self.cold.get(event.task)
        if task and event.tries:
            task.tries, task.failures = event.tries, event.failures
            task.record_check(event.failures == event.tries, "tries")

    def note_removals(self, now):
        """Records how long the warm lines of restarted tasks stayed after the start was heard."""
        for name, task in self.cold.items():
            if task.removal_waited is None and not self.has_warm_line(name):
                task.removal_waited = now - task.heard_at

    def has_warm_line(self, name):
        """Whether a table still holds the line of the task's former life."""
        return any(table.weights.get(name) == float("inf") for table in self.brain.tables)

    def log_losses(self, now):
        """Logs each task that has just been lost, and forgets those that are warm."""
        for name, task in list(self.cold.items()):
            if now - task.started_at >= self.warm_after:
                del self.cold[name]
            elif task.is_lost() and task.lost_at is None:
                task.lost_at = now
                self.log_loss(now, name, task)

    def log_loss(self, now, name, task):
        """Logs a lost task with the lines that it had, and keeps a summary for the status."""
        brain = self.brain
        lines = task.describe_lines(now)
        waiting = brain.unbound_proxies.values()
        waited = None if task.removal_waited is None else seconds(task.removal_waited)
        self.losses += 1
        self.last_loss = f"{name} {seconds(now - task.started_at)} s old, {lines or 'no lines'}"
        log.warning(
            "cold_task_lost",
            task=name,
            age_s=seconds(now - task.started_at),
            heard_s_ago=seconds(now - task.heard_at),
            check=task.last_check,
            answered=task.answered,
            lines=lines,
            removal_waited_s=waited,
            withdrawn=name in brain.withdrawn,
            bound=len(brain.proxies) - len(waiting),
            unbound=len(waiting),
            holding_former_tables=sum(not p.has_only_default_table and not p.bound for p in waiting),
            tries=task.tries,
            failures=task.failures,
            health=round(brain.health(), 2),
        )

    def status(self):
        """Fields for the status line: how many cold tasks were lost, and the last of them."""
        return {"cold_losses": self.losses} | ({"last_cold_loss": self.last_loss} if self.losses else {})
