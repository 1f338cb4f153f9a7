"""Builds snapshots from the Brain's events and orders. Uses no clock and no I/O."""

import dataclasses
import ipaddress
from types import MappingProxyType

from garnetpaddle import interface as gp
from garnetpaddle.snapshots.snapshot import EMPTY_SNAPSHOT, Level, Table, TaskRecord

NOT_READY_TASK_RETENTION = 6_000_000  # 10 min for which a task that drains or is gone is kept
MAX_PAST_WEIGHTS = 4  # kept per line: the most orders of one line that may be unconfirmed at a time


def canonical(address):
    """Returns an address (host, port) in canonical form, as all protocols compare it: IP addresses are
    compressed."""
    try:
        return str(ipaddress.ip_address(address[0])), address[1]
    except ValueError:
        return address


class LineHistory:
    """The last weights ordered for a line, newest last; 0 is a removal. in_doubt: it is uncertain whether the
    last order was executed."""

    __slots__ = ("weights", "in_doubt")

    def __init__(self):
        self.weights, self.in_doubt = (), False

    def weight(self):
        """Returns the weight in effect; 0 after a removal, even one in doubt, and if no order is left."""
        return self.weights[-1] if self.weights else 0.0

    def record_order(self, weight):
        """Records the order of a weight."""
        self.weights, self.in_doubt = (*self.weights[1 - MAX_PAST_WEIGHTS :], weight), False

    def record_loss(self, weight, possibly_executed):
        """Takes back an order of this weight that no answer has confirmed: the previous weight is in effect
        again, but a removal stays. possibly_executed: the order may have been executed."""
        if weight <= 0 or weight not in self.weights:
            self.in_doubt = self.in_doubt or possibly_executed and weight <= 0 and self.weight() <= 0
            return
        position = len(self.weights) - 1 - self.weights[::-1].index(weight)
        newest = position == len(self.weights) - 1
        self.weights = self.weights[:position] + self.weights[position + 1 :]
        self.in_doubt = self.in_doubt or possibly_executed and newest


class TableBuilder:
    """The mutable state of a table.

    lines: task -> LineHistory; levels, previous_levels: route number -> Level ordered last, and before that
    (None if there was none); abandoned: the Brain no longer uses the table."""

    def __init__(self):
        self.lines, self.levels, self.previous_levels, self.abandoned = {}, {}, {}, False

    def build(self, number):
        """Returns the present state as an immutable Table."""
        lines = {task: line.weight() for task, line in self.lines.items() if line.weight() > 0}
        in_doubt = tuple(task for task, line in self.lines.items() if line.in_doubt)
        return Table(number, MappingProxyType(lines), in_doubt, MappingProxyType(dict(self.levels)))

    def set_levels(self, routes, level):
        """Records the order of a level for routes."""
        for route in routes:
            self.previous_levels[route] = self.levels.get(route)
            self.levels[route] = level

    def record_lost_levels(self, routes):
        """Handles levels that no answer has confirmed: the lower of the last two counts, without retries, as
        either may be in effect."""
        for route in routes:
            previous = self.previous_levels.get(route) or Level(1.0, "none")
            self.levels[route] = Level(min(self.levels[route].admitted, previous.admitted), "none")


class SnapshotBuilder:
    """Applies the Brain's events and orders, batch by batch, and builds a Snapshot after each.

    dropped_counts_as_gone: whether a ready task that the list drops counts as gone, as in
    interface.Parameters."""

    def __init__(self, dropped_counts_as_gone=True):
        self.dropped_counts_as_gone, self.snapshot = dropped_counts_as_gone, EMPTY_SNAPSHOT
        # tables: number -> TableBuilder; table_by_proxy: proxy -> table number; withdrawn: task -> True;
        # tasks: task -> TaskRecord; addresses: task -> (host, port); newest_table: number of the table whose
        # weights were ordered last; weight_changes: orders of a weight for a line that the table already had.
        self.tables, self.table_by_proxy, self.withdrawn, self.tasks, self.addresses = {}, {}, {}, {}, {}
        self.mark, self.newest_table, self.weight_changes = 0, None, 0
        # Names of the parts that this batch has changed; never iterated, as the order of a set is random.
        self.changed_parts = set()

    def update(self, now, events, orders, addresses=None):
        """Applies a batch, first its events, then its orders; returns the new snapshot, or the same object as
        before if nothing changed. addresses: task -> (host, port), if they changed."""
        for event in events:
            self.apply_event(now, event)
        for order in orders:
            self.apply_order(order)
        if addresses is not None:
            self.apply_addresses(addresses)
        self.forget_expired_tasks(now)
        if self.changed_parts:
            self.snapshot = self.build(now)
            self.changed_parts.clear()
        return self.snapshot

    def build(self, now):
        """Returns the next snapshot: the last one with the changed parts replaced."""
        parts = {}
        if "tables" in self.changed_parts:
            self.drop_abandoned_tables()
            tables = {n: table.build(n) for n, table in self.tables.items() if table.lines}
            parts["tables"] = MappingProxyType(tables)
        if "table_by_proxy" in self.changed_parts:
            parts["table_by_proxy"] = MappingProxyType(dict(self.table_by_proxy))
        if "withdrawn" in self.changed_parts:
            parts["withdrawn"] = tuple(self.withdrawn)
        if "tasks" in self.changed_parts:
            parts |= self.build_tasks()
        return dataclasses.replace(
            self.snapshot,
            generation=self.snapshot.generation + 1,
            at=now,
            mark=self.mark,
            weights_changed=self.weight_changes > 1,
            **parts,
        )

    def drop_abandoned_tables(self):
        """Removes abandoned tables that no proxy is bound to any more."""
        bound_tables = {number: True for number in self.table_by_proxy.values()}
        self.tables = {
            n: table
            for n, table in self.tables.items()
            if n in bound_tables or n == self.newest_table or not table.abandoned
        }

    def build_tasks(self):
        """Returns the parts that describe tasks. An address shared by two tasks maps to the ready one."""
        ready_last = sorted(self.tasks.items(), key=lambda item: not item[1].is_not_ready())
        by_address = {canonical(record.address): task for task, record in ready_last if record.address}
        return {
            "tasks": MappingProxyType(dict(self.tasks)),
            "not_ready_since": MappingProxyType(
                {task: record.since for task, record in self.tasks.items() if record.is_not_ready()}
            ),
            "tasks_by_address": MappingProxyType(by_address),
        }

    # Events

    def apply_event(self, now, event):
        """Applies an event of the Brain; those that change no part of a snapshot are ignored."""
        match event:
            case gp.TaskListReceived():
                self.apply_list(now, event)
            case gp.ProxyJoined() | gp.ProxyLeft():
                self.unbind(event.proxy)
            case gp.OrdersLost():
                for order in event.orders:
                    self.record_lost_order(order, event.possibly_executed)
            case gp.ChannelStateUnknown():
                self.mark_all_in_doubt()

    def mark_all_in_doubt(self):
        """Marks all lines in doubt and unbinds all proxies, as the relay's tables are unknown: the Brain then
        orders a new table and binds all proxies to it."""
        for table in self.tables.values():
            table.abandoned = True
            for line in table.lines.values():
                line.in_doubt = True
        self.table_by_proxy = {}
        self.changed_parts.update(("tables", "table_by_proxy"))

    def apply_list(self, now, event):
        """Applies a full task list, which implies that the tasks it omits are gone, or changes of a list."""
        if event.update_type == "lost":
            return
        listed = {line.task: True for line in event.lines}
        omitted = [task for task in self.tasks if event.update_type != "changes" and task not in listed]
        for task in omitted:
            self.apply_state(now, task, "gone", None)
        for line in event.lines:
            self.apply_state(now, line.task, line.state, line)

    def apply_state(self, now, task, state, line):
        """Applies a task's state in the list, as Brain.on_task_line does. line: None if a full list omits it.

        "gone", listed or implied, leaves a draining task draining, and a ready one ready unless
        dropped_counts_as_gone. A ready line ends a drain, whatever its start time. A ready task is recorded
        again only for a later start time."""
        old_record = self.tasks.get(task)
        if state == "gone" and (
            old_record is None
            or old_record.state == "draining"
            or (old_record.state == "ready" and not self.dropped_counts_as_gone)
        ):
            return
        started_at = line.started_at if line else old_record.started_at
        if (
            old_record
            and state == old_record.state
            and (state != "ready" or started_at <= old_record.started_at)
        ):
            return
        source, address = line or old_record, self.addresses.get(task)
        self.tasks[task] = TaskRecord(
            task, state, source.zone, source.kind, source.size, started_at, now, address
        )
        self.changed_parts.add("tasks")

    def apply_addresses(self, addresses):
        """Updates addresses from discovery; one that discovery drops is kept as long as its task."""
        self.addresses = {k: self.addresses[k] for k in self.addresses if k in self.tasks} | addresses
        for task, record in list(self.tasks.items()):
            if record.address != self.addresses.get(task):
                self.tasks[task] = dataclasses.replace(record, address=self.addresses.get(task))
                self.changed_parts.add("tasks")

    def forget_expired_tasks(self, now):
        """Removes tasks that were not ready for the retention time and have no line in effect."""
        expired = [
            task
            for task, record in self.tasks.items()
            if record.is_not_ready() and now - record.since >= NOT_READY_TASK_RETENTION
        ]
        for task in expired:
            if not any(task in table.lines and table.lines[task].weight() for table in self.tables.values()):
                for table in self.tables.values():
                    table.lines.pop(task, None)
                del self.tasks[task]
                self.changed_parts.add("tasks")

    # Orders

    def apply_order(self, order):
        """Applies an order of the Brain; those that change no part of a snapshot are ignored."""
        match order:
            case gp.SetWeight(table=number, task=task, weight=weight):
                self.set_line(number, task, weight)
            case gp.BindProxy(proxy=proxy, table=number):
                self.table_by_proxy[proxy] = number
                self.changed_parts.add("table_by_proxy")
            case gp.WithdrawTask(task=task, withdrawn=withdrawn):
                self.withdrawn.pop(task, None)
                self.withdrawn |= {task: True} if withdrawn else {}
                self.changed_parts.add("withdrawn")
            case gp.SetAdmission(table=number, routes=routes, level=admitted, retry_mode=retry_mode):
                self.table(number).set_levels(routes, Level(admitted, retry_mode))
                self.changed_parts.add("tables")
            case gp.RequestAcknowledgement(mark=mark):
                self.mark = mark
                self.changed_parts.add("mark")

    def set_line(self, number, task, weight):
        """Applies an order of a line's weight; 0 removes the line."""
        lines = self.table(number).lines
        self.newest_table = number
        self.weight_changes += task in lines and weight > 0
        lines.setdefault(task, LineHistory()).record_order(weight)
        self.changed_parts.add("tables")

    def record_lost_order(self, order, possibly_executed):
        """Handles an order that no answer has confirmed. possibly_executed: it may have been executed."""
        match order:
            case gp.SetWeight(table=number, task=task, weight=weight) if number in self.tables:
                lines = self.tables[number].lines
                if task in lines:
                    lines[task].record_loss(weight, possibly_executed)
                    self.changed_parts.add("tables")
            case gp.BindProxy(proxy=proxy):
                self.unbind(proxy)
            case gp.SetAdmission(table=number, routes=routes) if number in self.tables:
                self.tables[number].record_lost_levels(routes)
                self.changed_parts.add("tables")

    def unbind(self, proxy):
        """Removes a proxy's binding, if any."""
        if self.table_by_proxy.pop(proxy, None) is not None:
            self.changed_parts.add("table_by_proxy")

    def table(self, number):
        """Returns the TableBuilder of a table; created if missing."""
        return self.tables.setdefault(number, TableBuilder())
