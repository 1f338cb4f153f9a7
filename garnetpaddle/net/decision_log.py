"""Log lines on what the Brain is told and what it orders: state transitions, not single calls or weights."""

import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net.cold_task_log import ColdTaskLog, seconds

STATUS_PERIOD = 50_000  # tenths of a ms: 5 s between status lines
log = structlog.get_logger()


class DecisionLog:
    """Observes the batches of a decision loop.

    brain: read for the status line only; warm_after: tenths of a ms from a start until a task is warm."""

    def __init__(self, brain, warm_after):
        self.brain, self.warm_after = brain, warm_after
        self.started_at = {}  # task -> its start, until it is warm
        self.joined_at = {}  # proxy -> when it joined, until it is bound
        self.failing_probes = {}  # task -> the outcome of its last probe, unless that was "ok"
        self.next_status_at = 0
        self.cold_task_log = ColdTaskLog(brain, warm_after)

    def observe(self, now, events, orders):
        """Logs a batch: its events, then the orders given for them."""
        self.log_list(now, events)
        self.log_membership(now, events)
        self.log_probes(events)
        self.log_orders(now, orders)
        self.cold_task_log.observe(now, events, orders)
        if now >= self.next_status_at:
            self.next_status_at = now + STATUS_PERIOD
            self.forget_warm(now)
            self.log_status(now)

    def log_list(self, now, events):
        """Logs each changed entry of the task list, and the size of a full list."""
        for event in events:
            if not isinstance(event, gp.TaskListReceived):
                continue
            if event.update_type != "changes":
                log.info("list_heard", form=event.update_type, tasks=len(event.lines))
            for line in event.lines:
                self.note_start(now, line)
                if event.update_type == "changes":
                    self.log_entry(now, line)

    def note_start(self, now, line):
        """Remembers the start of a task that is still cold."""
        if line.state == "ready" and line.started_at and now - line.started_at < self.warm_after:
            self.started_at[line.task] = line.started_at
        else:
            self.started_at.pop(line.task, None)

    def log_entry(self, now, line):
        """Logs an entry; `age_s`: since the task's start, where the list tells of one."""
        age = {"age_s": seconds(now - line.started_at)} if line.started_at else {}
        log.info("task_listed", task=line.task, state=line.state, **age)

    def log_membership(self, now, events):
        """Logs how many proxies joined and left."""
        joined = [event for event in events if isinstance(event, gp.ProxyJoined)]
        left = sum(isinstance(event, gp.ProxyLeft) for event in events)
        self.joined_at |= {event.proxy: now for event in joined}
        if joined:
            held = sum(not event.has_only_default_table for event in joined)
            log.info("proxies_joined", count=len(joined), with_tables=held)
        if left:
            log.info("proxies_left", count=left)
        for event in events:
            if isinstance(event, gp.ProxyLeft):
                self.joined_at.pop(event.proxy, None)

    def log_probes(self, events):
        """Logs each change of a task's probe outcome."""
        for event in events:
            if isinstance(event, gp.ProbeFinished) and event.outcome != "full":
                self.log_probe(event)

    def log_probe(self, event):
        """Logs a probe's outcome if it differs from the last one; tasks begin as "ok"."""
        former = self.failing_probes.pop(event.task, "ok")
        if event.outcome != "ok":
            self.failing_probes[event.task] = event.outcome
        if event.outcome != former:
            log.info("probe_changed", task=event.task, outcome=event.outcome, former=former)

    def log_orders(self, now, orders):
        """Logs withdrawals, the lines of cold tasks, and binds."""
        for order in orders:
            match order:
                case gp.WithdrawTask(task=task, withdrawn=withdrawn):
                    log.info("task_withdrawn" if withdrawn else "task_readmitted", task=task)
                case gp.SetWeight(task=task) if task in self.started_at:
                    self.log_cold_line(now, order)
        self.log_binds(now, [order for order in orders if isinstance(order, gp.BindProxy)])

    def log_cold_line(self, now, order):
        """Logs a change of the line that a task had before it restarted, unless the task is warm by now."""
        age = now - self.started_at[order.task]
        if age < self.warm_after:
            log.info(
                "cold_line",
                task=order.task,
                table=order.table,
                weight=order.weight,
                age_s=seconds(age),
            )

    def log_binds(self, now, binds):
        """Logs how many proxies were bound to each table, and how long after its join the slowest was."""
        joined_at = {}  # table -> when its proxies joined; `now` for one that was bound before
        for order in binds:
            joined_at.setdefault(order.table, []).append(self.joined_at.pop(order.proxy, now))
        for table, times in joined_at.items():
            log.info("proxies_bound", table=table, count=len(times), waited_s=seconds(now - min(times)))

    def forget_warm(self, now):
        """Forgets the starts of tasks that are warm by now."""
        self.started_at = {
            task: started_at
            for task, started_at in self.started_at.items()
            if now - started_at < self.warm_after
        }

    def log_status(self, now):
        """Logs what the Brain believes of the load, and the state of its channel."""
        brain = self.brain
        log.info(
            "status",
            health=round(brain.health(), 2),
            failure_share=round(brain.usual_failure_share, 3),
            failing_probes=round(brain.failing_probe_share(), 3),
            ejected=sum(task.ejected for task in brain.own_tasks),
            own_tasks=len(brain.own_tasks),
            joined=len(brain.proxies),
            unbound=len(brain.unbound_proxies),
            holding_former_tables=sum(
                not proxy.has_only_default_table and not proxy.bound
                for proxy in brain.unbound_proxies.values()
            ),
            queued_lines=round(brain.channel.queue),
            waiting_removals=self.waiting_removals(now),
            **self.cold_task_log.status(),
        )

    def waiting_removals(self, now):
        """The lines of tasks that drain, left, restarted or are cold whose removal has not been ordered, or
        whose order is lost."""
        return sum(
            self.brain.removal_urgency(now, name, weight) == 0
            for table in self.brain.tables
            for name, weight in table.weights.items()
        )
