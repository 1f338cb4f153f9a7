"""The platform of several assigners on one scheduler: tasks, proxies, list, reports, faults and the load.

`FleetModel` owns all of it. Each assigner is reached through an `AssignerLink`, which tells it events and
takes its orders. The scheduler may run on virtual time or be advanced with the real clock.
"""

import random
from dataclasses import dataclass

from benchmarks.faults import day as days
from benchmarks.faults.judge import Judge, JudgedNode, Pause
from benchmarks.faults.stream_channel import FleetProxy, Members, StreamChannel
from garnetpaddle.rehearsal.load_generator import LoadGenerator
from garnetpaddle.rehearsal.model import Scheduler, tenths_of_ms
from garnetpaddle.rehearsal.result import Result

CHECK_PERIOD = 2_000  # 0.2 s between checks of the rules
REPORT_PERIOD = 10_000  # 1 s
DEAD_STREAM_DETECTION = 1_000  # 0.1 s until a proxy notices that its assigner's process has ended
FIRST_TABLE_TASKS = 6  # tasks in a proxy's initial table
JOIN_SPREAD_S = (0.1, 1.0)  # until a proxy joins at the start of the day
TAIL_S = 6.0  # after the last call: time for what is still in work


# How long the time limits wait after a call that the relay broke, by the way in which it did
RELAY_PAUSE = {"break": 5_000, "silent": 15_000, "unreadable": 15_000}


@dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call that the relay breaks. kind: as in RelayFault; executed: its orders are carried out."""

    kind: str
    executed: bool


@dataclass(frozen=True, slots=True)
class ListedTask:
    """A task's entry as discovery tells it. started_at: on the scheduler's clock; None: before the day."""

    name: str
    state: str
    started_at: int | None


class AssignerLink:
    """What the platform holds of one assigner: its joined proxies, its channel, and what it was told.

    Subclasses start and stop the assigner and carry events to it.
    """

    def __init__(self, fleet, rank):
        self.fleet, self.rank, self.members = fleet, rank, Members()
        delays = fleet.day.delays
        self.channel = StreamChannel(
            fleet.scheduler, self.members, delays.lines, delays.head, delays.channel, self.on_orders_applied
        )
        self.channel.link = self
        self.up, self.answered_at, self.life = False, 0, 0
        self.told, self.heard_starts, self.heard_drains = {}, {}, {}
        self.first_heard_starts = {}  # as heard_starts, in any life
        self.first_answered_at = None
        self.report_due = {}  # key of a report -> when its last one was told
        self.relay_fault = None  # the present RelayFault
        self.pauses = []  # in which the time limits wait

    # To be given by subclasses

    def start(self):
        """Starts a life of the assigner, which is told the list as it stands for it; calls `on_up`."""
        raise NotImplementedError

    def stop(self, signal):
        """Ends the present life."""
        raise NotImplementedError

    def tell_list(self, entries):
        """Tells changes of the list."""
        raise NotImplementedError

    def tell_connection_lost(self, name):
        """The connections to a task break, as its process has ended."""

    def tell_joined(self, proxy, call_rate):
        """Tells that a proxy has joined."""
        raise NotImplementedError

    def tell_left(self, number):
        """Tells that a proxy has left."""
        raise NotImplementedError

    def tell_reports(self, task_reports, route_reports):
        """Tells sums: (task, zone, TrySums, span) and (proxy, route, RouteCounts, span)."""
        raise NotImplementedError

    def on_orders_applied(self, number, mark, elapsed):
        """Tells that a proxy has applied the orders up to a mark."""
        raise NotImplementedError

    # The platform's side

    def waited(self, since):
        """How long the time limits of its proxies have waited since a time."""
        now = self.fleet.scheduler.now
        return sum(pause.waited(since, now) for pause in self.pauses)

    def break_call(self):
        """Decides whether the relay breaks the present call; returns BrokenCall or None."""
        fault = self.relay_fault
        if fault is None or self.fleet.random.random() >= fault.share:
            return None
        now = self.fleet.scheduler.now
        self.pauses.append(Pause(now, now + RELAY_PAUSE[fault.kind]))
        return BrokenCall(fault.kind, self.fleet.random.random() < 0.5)

    def on_up(self):
        """The assigner gives its first answer: proxies may join."""
        self.up, self.answered_at = True, self.fleet.scheduler.now
        if self.first_answered_at is None:
            self.first_answered_at = self.answered_at
        self.heard_starts, self.heard_drains, self.report_due = {}, {}, {}
        for entry in self.told.values():
            self.note_heard(entry)

    def on_down(self):
        """The assigner's process has ended, with its channel and streams."""
        self.up = False
        self.life += 1
        self.channel.reset()
        for number in list(self.members):
            self.fleet.break_stream(self.members[number], DEAD_STREAM_DETECTION)

    def hear(self, entries):
        """Changes of the list have reached this assigner's agent."""
        for entry in entries:
            self.told[entry.name] = entry
        if self.up:
            for entry in entries:
                self.note_heard(entry)
            self.tell_list(entries)

    def note_heard(self, entry):
        """Records when the present life heard of a start or a drain."""
        now = self.fleet.scheduler.now
        if entry.state == "ready":
            self.heard_drains.pop(entry.name, None)
            if entry.started_at is not None:
                self.heard_starts.setdefault((entry.name, entry.started_at), now)
                self.first_heard_starts.setdefault((entry.name, entry.started_at), now)
        else:
            self.heard_drains.setdefault(entry.name, now)

    def start_heard_at(self, name, started_at):
        """When the present life heard that a task started at this time; None if it has not."""
        return self.heard_starts.get((name, started_at))

    def first_heard_at(self, name, started_at):
        """As start_heard_at, for the first life that heard of it."""
        return self.first_heard_starts.get((name, started_at))

    def drained_at(self, name):
        """When the present life heard that a task drains or is gone; None if it is ready or unknown."""
        return self.heard_drains.get(name)


class FleetModel:
    """The fleet of a day. make_link(fleet, rank): the AssignerLink of an assigner."""

    def __init__(self, day, make_link):
        self.day, self.scheduler = day, Scheduler(day.seed)
        self.random = random.Random(f"fleet {day.seed}")
        self.crash_notices = random.Random(f"crash notices {day.seed}")
        self.result = Result("faults", day.seed, "brain")
        self.log = []
        self.links = [make_link(self, rank) for rank in range(day.assigners)]
        self.judge = Judge(self.scheduler, day.delays, self.links)
        self.length = tenths_of_ms(day.length)
        self.nodes = {
            spec.name: JudgedNode(self.scheduler, spec.name, spec.kind, spec.zone, rules=self.judge)
            for spec in day.nodes
        }
        self.listed = {spec.name: ListedTask(spec.name, "ready", None) for spec in day.nodes}
        self.proxies = {
            number: FleetProxy(
                self.scheduler,
                number,
                days.ZONES[number % len(days.ZONES)],
                self.nodes,
                day.delays,
                self.on_try_ended,
                self.judge,
            )
            for number in range(day.proxies)
        }
        self.judge.proxies = self.proxies
        self.load_generator = LoadGenerator(
            self.scheduler, day.clients, day.routes, self.proxies, self.length, self.result
        )

    def note(self, text):
        """Adds a line to the log of the run."""
        self.log.append((self.scheduler.now, text))

    def on_try_ended(self, call, outcome):
        self.load_generator.on_try_ended(call, outcome)

    def call_rate(self, number):
        """Calls per second that clients send to a proxy on average."""
        return self.day.clients.rate * self.load_generator.proxy_shares[number]

    # The run

    def prepare(self):
        """Starts the assigners, draws the first tables and schedules the day."""
        for proxy in self.proxies.values():
            drawn = self.random.sample(list(self.nodes), FIRST_TABLE_TASKS)
            proxy.replace_lines({name: 1.0 for name in sorted(drawn)})
        for link in self.links:
            link.told = dict(self.listed)
            link.start()
        for number in self.proxies:
            delay = tenths_of_ms(self.random.uniform(*JOIN_SPREAD_S))
            self.scheduler.call_later(delay, self.dial, number, self.random.choice(self.links))
        for fault in self.day.faults:
            self.scheduler.call_at(tenths_of_ms(fault.at), self.begin, fault)
        self.scheduler.call_later(0, self.load_generator.next_call)
        self.scheduler.call_later(CHECK_PERIOD, self.check_rules)
        self.scheduler.call_later(REPORT_PERIOD, self.send_reports)

    def end(self):
        """The time on the scheduler's clock at which the run is over."""
        return self.length + tenths_of_ms(TAIL_S)

    def check_rules(self):
        self.judge.check(self.has_warm_ready_task)
        if self.scheduler.now < self.length:
            self.scheduler.call_later(CHECK_PERIOD, self.check_rules)

    def has_warm_ready_task(self, link):
        """Whether an assigner's list shows a ready task that has been warm for long."""
        cold_after = self.scheduler.now - tenths_of_ms(self.day.told_warm_after)
        return any(
            entry.state == "ready" and (entry.started_at is None or entry.started_at <= cold_after)
            for entry in link.told.values()
        )

    # Streams

    def dial(self, number, link):
        """A proxy connects to an assigner, or to another one if that is down."""
        proxy = self.proxies[number]
        if proxy.link is not None:
            return
        up = [other for other in self.links if other.up]
        if not link.up:
            if not up:
                self.scheduler.call_later(tenths_of_ms(0.3), self.dial, number, link)
                return
            link = self.random.choice(up)
        proxy.link, proxy.joined, proxy.joined_at = link, True, self.scheduler.now
        link.members[number] = proxy
        link.tell_joined(proxy, self.call_rate(number))

    def break_stream(self, proxy, detection):
        """A proxy's stream breaks; it keeps its table and dials again after a while."""
        link, proxy.link, proxy.joined = proxy.link, None, False
        link.members.pop(proxy.number, None)
        link.channel.disconnect(proxy.number)
        if link.up:
            self.scheduler.call_later(detection, self.tell_left, link, link.life, proxy.number)
        redial = detection + tenths_of_ms(self.day.delays.redial * self.random.uniform(0.5, 1.5))
        self.scheduler.call_later(redial, self.dial, proxy.number, link)

    def tell_left(self, link, life, number):
        if link.up and link.life == life:
            link.tell_left(number)

    # The list

    def publish(self, name, state, delays):
        """Changes a task's entry and tells each assigner later, in order."""
        started_at = self.nodes[name].started_at or None
        self.listed[name] = entry = ListedTask(name, state, started_at)
        delay = tenths_of_ms(self.random.uniform(*delays))
        for link in self.links:
            self.scheduler.call_later(delay, self.deliver_entry, link, entry)
        self.scheduler.call_later(delay, self.note, f"told {name} {state}")

    def deliver_entry(self, link, entry):
        """Tells an assigner of an entry, unless a newer one is listed already."""
        if self.listed[entry.name] == entry:
            link.hear([entry])

    # Faults

    def begin(self, fault):
        """Begins a fault."""
        match fault:
            case days.TaskRestart():
                self.begin_restart(fault)
            case days.TaskReplacement():
                self.begin_replacement(fault)
            case days.AssignerRestart():
                self.begin_assigner_restart(fault)
            case days.TaskFault():
                self.begin_task_fault(fault)
            case days.StreamBreak():
                self.begin_stream_break(fault)
            case days.RelayFault():
                link = self.links[fault.rank]
                link.relay_fault = fault
                self.scheduler.call_at(tenths_of_ms(fault.end), setattr, link, "relay_fault", None)
            case days.SlowChannel():
                self.begin_slow_channel(fault)

    def begin_slow_channel(self, fault):
        """A channel sends more slowly for a while; the limits in time grow by the same factor."""
        link = self.links[fault.rank]
        usual_rate = link.channel.rate
        link.channel.rate = usual_rate * fault.factor
        end = tenths_of_ms(fault.end)
        link.pauses.append(Pause(self.scheduler.now, end, 1 - fault.factor))
        self.scheduler.call_at(end, setattr, link.channel, "rate", usual_rate)

    def begin_restart(self, fault):
        node = self.nodes[fault.task]
        if not node.up or self.listed[fault.task].state != "ready":
            return
        self.note(f"{fault.task} {'falls silent' if fault.silent else 'dies'}")
        if fault.silent:
            node.silent["restart"] = node.paused["restart"] = True
            node.reschedule_running()
        else:
            node.stop()
            self.on_process_ended(fault.task)
        self.scheduler.call_later(tenths_of_ms(fault.downtime), self.restart_task, fault.task)

    def on_process_ended(self, name):
        """The process of a task has ended without a drain: its connections break, and where the days say so
        the list tells of it, unless the next process has started by then."""
        for link in self.links:
            if link.up:
                link.tell_connection_lost(name)
        if self.day.list_tells_crashes:
            entry = ListedTask(name, "gone", self.nodes[name].started_at or None)
            self.listed[name] = entry
            delay = tenths_of_ms(self.crash_notices.uniform(*self.day.list_delays.left))
            for link in self.links:
                self.scheduler.call_later(delay, self.deliver_entry, link, entry)

    def restart_task(self, name):
        """The next process of a task starts cold, and the list tells of it."""
        node = self.nodes[name]
        if node.failed_cold:
            return
        if node.up:
            node.stop()
            self.scheduler.call_later(0, self.on_silent_process_ended, name)
        node.silent.pop("restart", None)
        node.paused.pop("restart", None)
        node.start()
        self.publish(name, "ready", self.day.list_delays.started)

    def on_silent_process_ended(self, name):
        """A task that was mute runs again: what is sent on its former connections resets them."""
        for link in self.links:
            if link.up:
                link.tell_connection_lost(name)

    def begin_replacement(self, fault):
        node = self.nodes[fault.task]
        if not node.up:
            return
        self.publish(fault.task, "draining", self.day.list_delays.started)
        self.scheduler.call_later(tenths_of_ms(fault.drain_time), self.end_drained, fault)

    def end_drained(self, fault):
        """A drained task's process ends, and the next one starts a while after."""
        node = self.nodes[fault.task]
        if node.up:
            node.stop()
        self.publish(fault.task, "gone", (0.1, 0.5))
        self.scheduler.call_later(tenths_of_ms(fault.downtime + 0.5), self.restart_task, fault.task)

    def begin_assigner_restart(self, fault):
        link = self.links[fault.rank]
        self.note(f"n{fault.rank + 1} gets {fault.signal}")
        link.stop(fault.signal)
        link.on_down()
        self.scheduler.call_later(tenths_of_ms(fault.downtime), link.start)

    def begin_task_fault(self, fault):
        node = self.nodes[fault.task]
        amounts = node.errors if fault.kind == "errors" else node.slow
        amounts[f"fault {fault.at}"] = fault.amount
        self.note(f"{fault.task} {fault.kind} {fault.amount:.2f} for {fault.end - fault.at:.1f} s")
        if node.up:
            node.reschedule_running()
        self.scheduler.call_at(tenths_of_ms(fault.end), self.end_task_fault, fault, amounts)

    def end_task_fault(self, fault, amounts):
        amounts.pop(f"fault {fault.at}", None)
        if self.nodes[fault.task].up:
            self.nodes[fault.task].reschedule_running()

    def begin_stream_break(self, fault):
        joined = [proxy for proxy in self.proxies.values() if proxy.joined]
        broken = self.random.sample(joined, round(fault.share * len(joined)))
        self.note(f"the streams of {len(broken)} proxies break")
        for proxy in broken:
            self.break_stream(proxy, DEAD_STREAM_DETECTION)

    # Reports

    def send_reports(self):
        """Tells each assigner the sums of its proxies: the oldest first, no more lines than its intake."""
        sums_by_link = {link: ({}, {}) for link in self.links}
        for number, proxy in self.proxies.items():
            if proxy.link is None:
                proxy.take_report()
                continue
            task_sums, route_sums = sums_by_link[proxy.link]
            try_sums, route_counts = proxy.take_report()
            for name, sums in try_sums.items():
                merge_sums(task_sums, (name, proxy.zone), sums)
            for route, counts in route_counts.items():
                if counts.calls:
                    route_sums[number, route] = counts
        for link, (task_sums, route_sums) in sums_by_link.items():
            if link.up:
                self.tell_oldest_reports(link, task_sums, route_sums)
        if self.scheduler.now < self.length:
            self.scheduler.call_later(REPORT_PERIOD, self.send_reports)

    def tell_oldest_reports(self, link, task_sums, route_sums):
        """Adds the sums to those not told yet and tells the oldest, late."""
        now = self.scheduler.now
        pending = link.__dict__.setdefault("pending_reports", {})
        for key, sums in (*task_sums.items(), *route_sums.items()):
            merge_sums(pending, key, sums)
        oldest = sorted(pending, key=lambda key: (link.report_due.get(key, now - REPORT_PERIOD), str(key)))[
            : days.INTAKE_LINES_PER_S
        ]
        told = [
            (key, pending.pop(key), now - link.report_due.get(key, now - REPORT_PERIOD)) for key in oldest
        ]
        for key in oldest:
            link.report_due[key] = now
        delay = tenths_of_ms(self.day.delays.reports * self.random.uniform(0.9, 1.1))
        self.scheduler.call_later(delay, self.deliver_reports, link, link.life, told)

    def deliver_reports(self, link, life, told):
        if link.up and link.life == life:
            task_reports = [(*key, sums, span) for key, sums, span in told if isinstance(key[0], str)]
            route_reports = [(*key, sums, span) for key, sums, span in told if isinstance(key[0], int)]
            link.tell_reports(task_reports, route_reports)


def merge_sums(sums_by_key, key, sums):
    """Adds sums, TrySums or RouteCounts, to those under a key."""
    if key not in sums_by_key:
        sums_by_key[key] = sums
        return
    merged = sums_by_key[key]
    for field in type(sums).__slots__:
        setattr(merged, field, getattr(merged, field) + getattr(sums, field))
