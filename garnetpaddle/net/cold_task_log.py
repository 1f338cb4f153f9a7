"""Log lines on tasks that stop answering while they are cold: by which lines they were called, and by whom.

A cold task that gets more work than it bears falls over and stays down. The list does not tell that: the
task's probes and tries fail from then on, or the list drops it without a drain. A task may fall before the
list tells of its start, so a task that is unreachable and then answers counts as started. The log line names
what this assigner had ordered.
"""

import collections
from dataclasses import dataclass, field

import structlog

from garnetpaddle import interface as gp

LINE_HISTORY = 60_000  # tenths of a ms: 6 s, twice the usual window of the rule on cold tasks
FAILED_CHECKS_BEFORE_LOSS = 2  # in a row: one probe may time out at a busy task
INCONCLUSIVE_OUTCOMES = ("full", "other")  # of a probe: they say nothing about the task
NOTHING_LISTENS = ("refused", "unreachable")  # the outcomes of a probe that finds no process
MARKS, LATER_MARKS = 65_536, 32_768  # marks count up and begin again; those of one half are later ones
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


@dataclass(frozen=True, slots=True)
class RemovalOrder:
    """An order that removed a task's line. queued_lines: of the channel, with those of its own messages."""

    at: int
    queued_lines: float
    mark: int


@dataclass(slots=True)
class ColdTask:
    """What is known of a cold task since its start was heard, or since it answered again.

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
        self.last_lines = {}  # task -> table -> its last LineChange
        self.removals = {}  # task -> its last RemovalOrder
        self.unreachable = set()  # tasks whose last probe found nothing listening
        self.losses = 0
        self.last_loss = ""  # of the last lost task: its name, age and lines, for the status

    def observe(self, now, events, orders):
        """Follows a batch: its events, then the orders given for them."""
        for event in events:
            match event:
                case gp.TaskListReceived():
                    self.note_list(now, event)
                    self.forget_unlisted()
                case gp.ProbeFinished() if event.outcome not in INCONCLUSIVE_OUTCOMES:
                    self.note_probe(now, event)
                case gp.TaskReport():
                    self.note_report(event)
        for order in orders:
            if isinstance(order, gp.SetWeight):
                self.note_line(now, order)
        self.note_removals(now)
        self.log_losses(now)

    def note_list(self, now, event):
        """Begins with a task whose start is told, and forgets one that leaves."""
        for line in event.lines:
            known = self.cold.get(line.task)
            if line.state == "gone" and known and known.lost_at is None:
                # Dropped while it was cold, without a drain: its process has ended.
                known.failed_checks, known.last_check = FAILED_CHECKS_BEFORE_LOSS, "listed as gone"
                self.log_losses(now)
            if line.state != "ready" or now - line.started_at >= self.warm_after:
                self.cold.pop(line.task, None)
            elif known is None or known.started_at < line.started_at:
                self.begin(now, line.task, line.started_at)

    def begin(self, now, name, started_at):
        """Begins with a task that has started, with the lines that stand as it does."""
        self.cold[name] = task = ColdTask(started_at, now)
        for change in sorted(self.last_lines.get(name, {}).values(), key=lambda change: change.at):
            task.record_line(change)

    def forget_unlisted(self):
        """Forgets the lines and probes of tasks that the Brain no longer knows."""
        for name in [name for name in self.last_lines if name not in self.brain.lines]:
            del self.last_lines[name]
            self.removals.pop(name, None)
        self.unreachable = {name for name in self.unreachable if name in self.brain.lines}

    def note_line(self, now, order):
        """Records a changed line, and what waits in the channel before a removed one."""
        change = LineChange(now, order.table, order.weight)
        self.last_lines.setdefault(order.task, {})[order.table] = change
        if order.task in self.cold:
            self.cold[order.task].record_line(change)
        if not order.weight:
            self.removals[order.task] = RemovalOrder(now, self.brain.channel.queue, self.brain.channel.mark)

    def note_probe(self, now, event):
        """Takes over the outcome of a probe that began after the start."""
        answered = event.outcome not in NOTHING_LISTENS
        if answered and event.task in self.unreachable and event.task not in self.cold:
            self.begin(now, event.task, now - event.elapsed)  # the list will tell of its start
        (self.unreachable.discard if answered else self.unreachable.add)(event.task)
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
        removal = self.removals.get(name)
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
            removal_queued_lines=round(removal.queued_lines) if removal else None,
            removal_unconfirmed=self.unconfirmed(removal) if removal else None,
            withdrawn=name in brain.withdrawn,
            bound=len(brain.proxies) - len(waiting),
            unbound=len(waiting),
            holding_former_tables=sum(not p.has_only_default_table and not p.bound for p in waiting),
            tries=task.tries,
            failures=task.failures,
            health=round(brain.health(), 2),
        )

    def unconfirmed(self, removal):
        """How many proxies have not acknowledged the messages up to those of a removal."""
        return sum(
            any((removal.mark - mark) % MARKS < LATER_MARKS for mark in proxy.unacknowledged)
            for proxy in self.brain.channel_proxies.values()
        )

    def status(self):
        """Fields for the status line: how many cold tasks were lost, and the last of them."""
        return {"cold_losses": self.losses} | ({"last_cold_loss": self.last_loss} if self.losses else {})
