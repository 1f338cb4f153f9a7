"""The judge of the rules over all proxies, whichever assigner wrote the lines that they follow.

The rules are those of the protocol page: limits in time are SOCKET_SLACK longer than in the settings, and
start no sooner than START_SLACK after an assigner's first answer. The wire's page breaks the rule on cold
tasks if two thirds of the work came from proxies whose last message was sent knowing of the start, or whose
instance had known of it for the grace. Where it leaves open what an instance is, an assigner or one of its
lives, and whether a proxy without a stream has one, falls are counted by the strict reading, too.

A cold task's "present capacity" (WIRE, rule 4), "what it can do at that moment" (BRIEF, 8.3), is taken
strictly: less while a fault slows the task or another program takes a part of its machine. The mild reading,
by the machine's own speed, is reported beside it. A task that hangs has its own speed in both readings.
"""

import collections
from dataclasses import dataclass

from garnetpaddle.rehearsal.model import Node, tenths_of_ms

SOCKET_SLACK = tenths_of_ms(0.3)
START_SLACK = tenths_of_ms(1.0)
KNOWING_SHARE = 2 / 3  # of the work that pushed a cold task over: from here on the rule is broken
TENTHS_OF_MS_PER_SECOND = 10_000


@dataclass(frozen=True, slots=True)
class Fall:
    """A cold node that fell, whether that breaks the rule or not.

    knowing: share of the work that the judge counts as sent with knowledge of the start. strictest: the same
    share where each proxy is judged as it stands at the fall, for all of its work in the window, and a
    message counts as sent once it is ordered."""

    at: int
    node: str
    age: int
    knowing: float
    strictest: float
    load: str


@dataclass(frozen=True, slots=True)
class Pause:
    """A time in which the limits of one assigner wait: a share of its length, or all of it."""

    start: int
    end: int
    share: float = 1.0

    def waited(self, start, end):
        """How long the limits waited between two times."""
        return self.share * max(0, min(end, self.end) - max(start, self.start))


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule."""

    rule: str  # "cold", "drain", "no task", "twice" or "queue"
    at: int
    who: str
    why: str

    def __str__(self):
        return f"{self.at / TENTHS_OF_MS_PER_SECOND:7.3f} {self.rule}: {self.who}: {self.why}"


def own_capacity(node):
    """Core seconds a second that the machine gives at the node's age, faults apart."""
    return node.kind.cores * node.kind.speed * node.speed_fraction()


def present_capacity(node):
    """As own_capacity, less what faults and other programs take; own_capacity of a node that hangs."""
    return own_capacity(node) if node.paused else node.kind.cores * node.core_speed()


class JudgedNode(Node):
    """A node that tells the judge who sends it work while it is cold."""

    def submit(self, call, proxy, on_done):
        self.sender = proxy
        return super().submit(call, proxy, on_done)

    def overload_while_cold(self, work):
        """Crashes a cold node, and returns True, if the judge finds that it received more than it bears."""
        if not self.rules.record_cold_work(self, self.sender, work):
            return False
        self.failed_cold = True
        self.stop()
        return True

    def start(self):
        self.recent_cold_work.clear()
        super().start()


class Judge:
    """Checks the rules during a run.

    assigners: the links to them, by rank; each says when its present life heard of a task's state and start.
    """

    def __init__(self, scheduler, delays, assigners):
        self.scheduler, self.delays, self.assigners = scheduler, delays, assigners
        self.cold_window = tenths_of_ms(delays.tip_after)
        self.cold_grace = tenths_of_ms(delays.grace) + SOCKET_SLACK
        self.drain_grace = tenths_of_ms(delays.grace) + SOCKET_SLACK
        self.bare_limit = tenths_of_ms(delays.bare) + SOCKET_SLACK
        self.violations = []
        self.falls = []
        self.unwarned_falls = []  # (time, node) of cold nodes that fell under proxies that could not know
        # Of these, the ones that break the rule if an instance is an assigner in all of its lives, and a
        # proxy without a stream still has the last one
        self.strictly_warned_falls = []
        # Most of a cold node's budget that knowing proxies ever used: by its present capacity, and by the
        # machine's own
        self.peak_budget_use = self.peak_own_budget_use = 0.0
        self.bare_since = {}
        self.proxies = {}

    def add(self, rule, who, why):
        """Records a broken rule, once for each rule and component."""
        if not any(v.rule == rule and v.who == who for v in self.violations):
            self.violations.append(Violation(rule, self.scheduler.now, who, why))

    # Cold tasks

    def record_cold_work(self, node, number, work):
        """Adds work sent to a cold node; returns whether it falls."""
        now = self.scheduler.now
        received = node.recent_cold_work
        proxy = self.proxies[number]
        received.append((now, work, number, self.knows(proxy, node), self.knows_strictly(proxy, node)))
        while received[0][0] <= now - self.cold_window:
            received.popleft()
        budget = self.cold_budget(present_capacity(node))
        total = sum(entry[1] for entry in received)
        knowing = sum(entry[1] for entry in received if entry[3])
        if knowing >= KNOWING_SHARE * total:
            self.peak_budget_use = max(self.peak_budget_use, total / budget)
            own_budget = self.cold_budget(own_capacity(node))
            self.peak_own_budget_use = max(self.peak_own_budget_use, total / own_budget)
        if total <= budget:
            return False
        age = (now - node.started_at) / TENTHS_OF_MS_PER_SECOND
        load = self.describe_cold_load(node, received, age, total / budget)
        strictest = sum(entry[1] for entry in received if self.is_told(self.proxies[entry[2]], node))
        self.falls.append(
            Fall(now, node.name, now - node.started_at, knowing / total, strictest / total, load)
        )
        if knowing >= KNOWING_SHARE * total:
            self.add("cold", node.name, load)
        else:
            self.unwarned_falls.append((now, node.name))
            if sum(entry[1] for entry in received if entry[4]) >= KNOWING_SHARE * total:
                self.strictly_warned_falls.append((now, node.name, load))
        return True

    def strictest_falls(self):
        """The falls that break the rule by its strictest reading."""
        return [fall for fall in self.falls if fall.strictest >= KNOWING_SHARE]

    def cold_budget(self, capacity):
        """The work that a cold node of this capacity bears within the window."""
        return self.delays.fall_multiple * capacity * self.delays.tip_after

    def describe_cold_load(self, node, received, age, budget_use):
        """Who sent how much, by assigner and by whether the proxy follows one of its tables."""
        work_by_sender = collections.Counter()
        for _, work, number, *_ in received:
            proxy = self.proxies[number]
            link = proxy.link
            bound = link is not None and number in link.channel.table_by_proxy
            work_by_sender[f"n{link.rank + 1} {'bound' if bound else 'held table'}" if link else "none"] += (
                work
            )
        parts = ", ".join(f"{name} {work:.2f}" for name, work in sorted(work_by_sender.items()))
        reduced = own_capacity(node) / present_capacity(node)
        slowed = f", slowed {reduced:.1f} times" if reduced > 1 else ""
        return f"{age:.1f} s old{slowed}, {budget_use:.2f} of what it bears ({parts})"

    def knows(self, proxy, node):
        """Whether load of this proxy counts as sent with knowledge of the node's start."""
        link = proxy.link
        heard_at = link.start_heard_at(node.name, node.started_at) if link else None
        if heard_at is None:
            return False
        if proxy.last_sender is link and proxy.last_message_sent_at >= max(heard_at, proxy.joined_at):
            return True
        since = max(heard_at, link.answered_at + START_SLACK)
        return self.scheduler.now - since - link.waited(since) >= self.cold_grace

    def is_told(self, proxy, node):
        """As `knows`, where a message counts as sent once it is ordered."""
        link = proxy.link
        heard_at = link.start_heard_at(node.name, node.started_at) if link else None
        if heard_at is None:
            return False
        ordered = proxy.last_ordered_by is link and proxy.last_ordered_at >= max(heard_at, proxy.joined_at)
        return ordered or self.knows(proxy, node)

    def knows_strictly(self, proxy, node):
        """As `knows`, with an assigner's lives as one instance, kept by a proxy while it has no stream."""
        link, sent_at = proxy.link or proxy.last_sender, proxy.last_message_sent_at
        if link is None:
            return False
        if proxy.last_sender and sent_at is not None:
            heard_at = proxy.last_sender.first_heard_at(node.name, node.started_at)
            if heard_at is not None and sent_at >= heard_at:
                return True
        heard_at = link.first_heard_at(node.name, node.started_at)
        if heard_at is None:
            return False
        return self.scheduler.now - max(heard_at, link.first_answered_at + START_SLACK) >= self.cold_grace

    # Drains, and calls begun twice

    def record_send(self, proxy, name):
        """A proxy sends a call to a node, which must be ready or within the grace time."""
        link = proxy.link
        drained_at = link.drained_at(name) if link else None
        if drained_at is None:
            return
        since = max(drained_at, proxy.joined_at, link.answered_at + START_SLACK)
        late = self.scheduler.now - since - link.waited(since) - self.drain_grace
        if late > 0:
            self.add(
                "drain", name, f"proxy {proxy.number} sent {late / TENTHS_OF_MS_PER_SECOND:.2f} s too late"
            )

    def record_execution(self, call, name):
        """A node begins a call's work: at most once per try of the client if the call is mutating."""
        count = call.executions[call.try_started_at] = call.executions.get(call.try_started_at, 0) + 1
        if count > 1 and call.mutating:
            self.add("twice", name, f"call {call.number} was begun {count} times for one try of its client")

    # Proxies without a task, and the queues

    def check(self, warm_ready_at):
        """Checks what is checked periodically. warm_ready_at: whether an assigner lists a warm ready task."""
        now = self.scheduler.now
        for number, proxy in self.proxies.items():
            if proxy.link is None or proxy.has_usable_line() or not warm_ready_at(proxy.link):
                self.bare_since.pop(number, None)
                continue
            since = self.bare_since.setdefault(number, now)
            since = max(since, proxy.link.answered_at + START_SLACK)
            if now - since - proxy.link.waited(since) > self.bare_limit:
                self.add("no task", f"proxy {number}", "it had nobody to send to for too long")
        for link in self.assigners:
            queued = link.channel.queued_lines()
            if queued > self.delays.queue_limit:
                self.add("queue", f"n{link.rank + 1}", f"{queued:.0f} lines wait")
