"""The relay and its rate-limited channel: a reply becomes one message per proxy; messages are sent in order,
one at a time."""

from dataclasses import dataclass, field

from garnetpaddle import interface as gp

TENTHS_OF_MS_PER_SECOND = 10_000


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Sets one entry of the proxy's table."""

    task: str
    weight: float


@dataclass(frozen=True, slots=True)
class ReplaceTable:
    """Replaces the proxy's whole table."""

    lines: dict
    levels: dict
    withdrawn: tuple


@dataclass(frozen=True, slots=True)
class SetWithdrawn:
    """Excludes a task from every table, or includes it again."""

    task: str
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetLevel:
    """Sets the admission level of routes."""

    routes: tuple
    level: float
    retry_mode: str


@dataclass(slots=True)
class Message:
    """What one reply sends to one proxy. lines: its cost, without the overhead."""

    lines: int = 0
    changes: list = field(default_factory=list)

    def add(self, lines, change):
        """Adds a change."""
        self.lines += lines
        self.changes.append(change)


class Channel:
    """rate: lines per second; message_overhead: lines that each message costs on top of its own; mean_delay:
    in seconds, from sending to arrival. on_orders_applied(proxy, mark, elapsed) is called where an
    acknowledgement was requested."""

    def __init__(self, scheduler, proxies, rate, message_overhead, mean_delay, on_orders_applied):
        self.scheduler, self.proxies, self.rate, self.message_overhead, self.mean_delay = (
            scheduler,
            proxies,
            rate,
            message_overhead,
            mean_delay,
        )
        self.on_orders_applied, self.random = on_orders_applied, scheduler.random_stream("channel")
        self.incarnation, self.longest_queue = 0, 0.0
        self.reset()

    def reset(self):
        """Drops queued and in-flight messages and the tables, after a crash of the assigner."""
        self.incarnation += 1
        self.tables, self.levels, self.withdrawn, self.table_by_proxy = {}, {}, {}, {}
        self.idle_at, self.last_arrivals, self.lines = 0, {}, 0.0

    def queued_lines(self):
        """Lines that are queued and not sent yet."""
        return max(0.0, (self.idle_at - self.scheduler.now) / TENTHS_OF_MS_PER_SECOND * self.rate)

    def send(self, orders):
        """Sends the orders of one reply, in sequence."""
        messages, mark = {}, None  # proxy -> Message
        for order in orders:
            if isinstance(order, gp.RequestAcknowledgement):
                mark = order.mark
                if order.all_proxies:
                    for number in self.joined_proxies():
                        messages.setdefault(number, Message())
            else:
                self.apply(order, messages)
        for number, message in messages.items():
            cost = message.lines + self.message_overhead + (mark is not None)
            self.enqueue(number, cost, message.changes, mark)
        self.longest_queue = max(self.longest_queue, self.queued_lines())

    def apply(self, order, messages):
        """Applies an order to the relay's tables and adds it to the messages of the proxies concerned."""

        def add_change(number, lines, change):
            messages.setdefault(number, Message()).add(lines, change)

        match order:
            case gp.SetWeight(table=table, task=task, weight=weight):
                lines = self.tables.setdefault(table, {})
                lines.pop(task, None)
                lines |= {task: weight} if weight else {}
                for number in self.bound_proxies(table):
                    add_change(number, 1, SetWeight(task, weight))
            case gp.BindProxy(proxy=number, table=table):
                if self.proxies[number].joined:
                    self.table_by_proxy[number] = table
                    snapshot = self.table_snapshot(table)
                    cost = 1 + len(snapshot.lines) + len(snapshot.levels) + len(snapshot.withdrawn)
                    add_change(number, cost, snapshot)
            case gp.WithdrawTask(task=task, withdrawn=withdrawn):
                self.withdrawn.pop(task, None)
                self.withdrawn |= {task: True} if withdrawn else {}
                for number in self.joined_proxies():
                    add_change(number, 1, SetWithdrawn(task, withdrawn))
            case gp.SetAdmission(table=table, routes=routes, level=level, retry_mode=retry_mode):
                for route in routes:
                    self.levels.setdefault(table, {})[route] = level, retry_mode
                for number in self.bound_proxies(table):
                    add_change(number, 1, SetLevel(routes, level, retry_mode))

    def table_snapshot(self, table):
        """The current content of a table, with those of its tasks that are withdrawn."""
        lines, levels = self.tables.get(table, {}), self.levels.get(table, {})
        withdrawn = tuple(task for task in self.withdrawn if task in lines)
        return ReplaceTable(dict(lines), dict(levels), withdrawn)

    def joined_proxies(self):
        """Numbers of the joined proxies."""
        return [number for number, proxy in self.proxies.items() if proxy.joined]

    def bound_proxies(self, table):
        """Numbers of the joined proxies bound to a table."""
        return [n for n, t in self.table_by_proxy.items() if t == table and self.proxies[n].joined]

    def enqueue(self, number, lines, changes, mark):
        """Queues a message and schedules its arrival; messages to one proxy arrive in order."""
        now = self.scheduler.now
        self.lines += lines
        self.idle_at = max(self.idle_at, now) + lines / self.rate * TENTHS_OF_MS_PER_SECOND
        travel_time = self.random.exponential(self.mean_delay) * TENTHS_OF_MS_PER_SECOND
        at = max(int(self.idle_at + travel_time), self.last_arrivals.get(number, 0))
        self.last_arrivals[number] = at
        joined_at = self.proxies[number].joined_at
        self.scheduler.call_at(at, self.deliver, number, changes, mark, now, self.incarnation, joined_at)

    def deliver(self, number, changes, mark, sent_at, incarnation, joined_at):
        """Delivers a message, unless the stream broke or the assigner crashed while it was in flight."""
        proxy = self.proxies[number]
        if incarnation != self.incarnation or not proxy.joined or proxy.joined_at != joined_at:
            return
        for change in changes:
            match change:
                case SetWeight(task, weight):
                    proxy.set_line(task, weight)
                case ReplaceTable(lines, levels, withdrawn):
                    proxy.replace_table(lines, levels, withdrawn)
                case SetWithdrawn(task, True):
                    proxy.withdrawn[task] = True
                case SetWithdrawn(task, False):
                    proxy.withdrawn.pop(task, None)
                case SetLevel(routes, level, retry_mode):
                    proxy.levels |= dict.fromkeys(routes, (level, retry_mode))
        if mark is not None:
            self.on_orders_applied(number, mark, self.scheduler.now - sent_at)

    def disconnect(self, number):
        """Forgets the binding of a proxy whose stream broke."""
        self.table_by_proxy.pop(number, None)
