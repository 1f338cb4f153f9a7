"""A simulation on a virtual clock: the script's nodes, proxies and clients, its troubles, and the Brain."""

from typing import NamedTuple

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.rehearsal.baselines import POLICIES
from garnetpaddle.rehearsal.fault_injection import FaultInjector
from garnetpaddle.rehearsal.load_generator import LoadGenerator
from garnetpaddle.rehearsal.model import Channel, Node, Proxy, Scheduler, tenths_of_ms
from garnetpaddle.rehearsal.result import Result
from garnetpaddle.rehearsal.rule_checker import RuleChecker

TENTHS_OF_MS_PER_SECOND = 10_000
EPOCH = 10**9  # the Brain's time at the start, not 0: a task's started_at of 0 means long ago
BATCH_WINDOW = 50  # 5 ms: events within it form one batch
NETWORK_DELAY = 10  # 1 ms one way to a node
DISCONNECT_DETECTION = 5_000  # 0.5 s until the peers notice a broken stream
CHECK_PERIOD, SAMPLE_PERIOD = 2_000, 10_000  # 0.2 s between checks of the rules, 1 s between samples
FIRST_TABLE_NODES = 6  # nodes in a proxy's initial table, drawn at random
PROGRESS_STEPS = 100
SEEDS_PER_SIMULATION = 1_000  # seeds of the Brain, one for each incarnation of the assigner


class ListedState(NamedTuple):
    """A node's state in the task list. started_at: None if before the simulation."""

    state: str
    started_at: int | None


class Simulation:
    """policy: "brain", or a baseline: "even" or "least" (see baselines). record(now, events, orders): called
    with each batch of the Brain."""

    def __init__(self, script, seed=None, policy="brain", record=None):
        self.script, self.policy, self.record = script, policy, record
        self.seed = script.rehearsal.seed if seed is None else seed
        self.scheduler, self.length = Scheduler(self.seed), tenths_of_ms(script.rehearsal.length)
        self.delays = script.delays
        self.rules = RuleChecker(self.scheduler, self.delays, enabled=policy == "brain")
        self.result = Result(script.path.rsplit("/", 1)[-1], self.seed, policy)
        self.result.troubles = [
            [t.name, t.kind, t.start, t.end or script.rehearsal.length] for t in script.troubles
        ]
        self.brain, self.incarnation, self.pending_events, self.batch_scheduled = None, 0, [], False
        self.last_list_arrival, self.probes, self.states_at_assigner = 0, 0, {}
        self.add_nodes()
        self.add_proxies()
        delays = self.delays
        self.channel = Channel(
            self.scheduler, self.proxies, delays.lines, delays.head, delays.channel, self.on_orders_applied
        )
        self.load_generator = LoadGenerator(
            self.scheduler, script.clients, script.routes, self.proxies, self.length, self.result
        )
        self.fault_injector = FaultInjector(self)

    def add_nodes(self):
        """Adds the script's nodes."""
        kinds = {kind.name: kind for kind in self.script.kinds}
        self.groups, self.nodes, self.listed_states = {}, {}, {}
        for name, group in self.script.node_names():
            self.add_node(name, kinds[group.kind], group)

    def add_node(self, name, kind, group, started_at=None):
        """Adds a node. The assigner learns of it by `publish_state`."""
        self.nodes[name] = Node(self.scheduler, name, kind, group.zone, started_at, self.rules)
        self.groups[name] = group
        self.listed_states[name] = ListedState("ready", started_at)

    def add_proxies(self):
        """Adds the script's proxies."""
        make_policy = POLICIES[self.policy]
        policy = make_policy(self) if make_policy else None
        self.proxies = {}
        for zone in self.script.zones:
            for _ in range(zone.proxies):
                number = len(self.proxies)
                self.proxies[number] = Proxy(
                    self.scheduler,
                    number,
                    zone.name,
                    self.nodes,
                    self.delays,
                    self.on_try_ended,
                    self.rules,
                    policy,
                )

    def on_try_ended(self, call, outcome):
        """Passes the end of a client's try to the load generator."""
        self.load_generator.on_try_ended(call, outcome)

    # The assigner

    def parameters(self):
        """The Brain's parameters, from the script."""
        delays, kinds = self.delays, self.script.kinds
        return gp.Parameters(
            routes=tuple(gp.Route(r.importance, tenths_of_ms(r.slo)) for r in self.script.routes),
            list_mode="push",
            resubscribe_deadline=100_000,
            probes_allowed=True,
            warm_after=tenths_of_ms(max(k.warm_after for k in kinds)),
            start_share=min(k.start_share for k in kinds),
            fall_multiple=delays.fall_multiple,
            dropped_counts_as_gone=True,
            report_period=tenths_of_ms(delays.period),
            channel_lines=delays.lines,
            queue_limit=delays.queue_limit,
            message_overhead_lines=delays.head,
            message_cap=0,
            message_cap_period=100_000,
            level_kind="none",
            proxies=len(self.proxies),
            failures_before_avoidance=delays.strikes,
            zones=len(self.script.zones),
        )

    def start_assigner(self):
        """Starts the assigner with the task list as last published."""
        self.incarnation += 1
        self.brain = Brain(self.parameters(), self.seed * SEEDS_PER_SIMULATION + self.incarnation)
        self.pending_events = []
        lines = tuple(self.task_line(name) for name in self.listed_states)
        for name, listed in self.listed_states.items():
            self.rules.record_list_state(name, listed.state)
        self.queue_event(gp.TaskListReceived("stale", lines))

    def kill_assigner(self):
        """Kills the assigner with its channel, tables and timers; proxies keep their tables."""
        self.brain = None
        self.channel.reset()
        for number in self.proxies:
            self.break_stream(number)

    def queue_event(self, event, incarnation=None):
        """Queues an event for the Brain, unless it belongs to an earlier incarnation of the assigner."""
        if self.brain is None or incarnation not in (None, self.incarnation):
            return
        self.pending_events.append(event)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.scheduler.call_later(BATCH_WINDOW, self.run_batch)

    def run_batch(self):
        """Passes the queued events to the Brain and executes its orders."""
        self.batch_scheduled = False
        if self.brain is None:
            return
        now = self.scheduler.now
        events, self.pending_events = self.pending_events, []
        reply, orders = [], self.brain.handle(EPOCH + now, events)
        if self.record:
            self.record(now, events, orders)
        for order in orders:
            match order:
                case gp.SetTimer():
                    self.scheduler.call_at(
                        order.at - EPOCH, self.queue_event, gp.TimerExpired(order.key), self.incarnation
                    )
                case gp.LogMessage():
                    self.result.log.append((now, order.text))
                case gp.SendProbe():
                    self.probe(order)
                case gp.SubscribeTaskList():
                    pass
                case _:
                    reply.append(order)
                    self.rules.orders.append(f"{now / TENTHS_OF_MS_PER_SECOND:.2f} {order}")
        if reply:
            self.channel.send(reply)

    def on_orders_applied(self, number, mark, elapsed):
        """Reports to the Brain that a proxy has applied the orders up to a mark."""
        self.scheduler.call_later(
            NETWORK_DELAY, self.queue_event, gp.OrdersApplied(number, mark, elapsed), self.incarnation
        )

    def probe(self, order):
        """Probes a node; the outcome depends on its faults."""
        node, sent_at, incarnation = self.nodes[order.task], self.scheduler.now, self.incarnation
        self.probes += 1

        def answer(outcome, delay):
            load = {"in_hand": float(node.calls_in_hand())} if outcome == "ok" else {}
            elapsed = self.scheduler.now + delay - sent_at
            event = gp.ProbeFinished(order.task, elapsed, outcome, load)
            self.scheduler.call_later(delay, self.queue_event, event, incarnation)

        if not node.up:
            answer("unreachable", 2 * NETWORK_DELAY if not node.failed_cold else order.timeout)
        elif node.silent or node.paused:
            answer("timeout", order.timeout)
        elif node.errors and node.random.random() < max(node.errors.values()):
            answer("error", 2 * NETWORK_DELAY)
        else:
            answer("ok", 2 * NETWORK_DELAY)

    # The task list

    def task_line(self, name, state=None):
        """A node's entry of the task list, in its listed state or another."""
        listed, group = self.listed_states[name], self.groups[name]
        started_at = 0 if listed.started_at is None else EPOCH + listed.started_at
        return gp.TaskLine(name, group.zone, 0, state or listed.state, 1.0, started_at, group.kind)

    def publish_state(self, name, state, started_at=None):
        """Changes a node's state in the task list and delivers the change."""
        started_at = started_at if started_at is not None else self.listed_states[name].started_at
        self.listed_states[name] = ListedState(state, started_at)
        event = gp.TaskListReceived("changes", (self.task_line(name, state),))
        self.deliver_list(event, [(name, state)])

    def publish_full_list(self, without=()):
        """Delivers the full list; without: names that it wrongly omits."""
        names = [k for k, listed in self.listed_states.items() if listed.state != "gone" and k not in without]
        states = [(k, "gone" if k in without else listed.state) for k, listed in self.listed_states.items()]
        self.deliver_list(gp.TaskListReceived("full", tuple(self.task_line(k) for k in names)), states)

    def deliver_list(self, event, states):
        """Delivers a list event to the assigner after the list's delay, in order."""
        delay = tenths_of_ms(self.delays.list) + tenths_of_ms(sum(self.fault_injector.list_delays.values()))
        self.last_list_arrival = max(self.last_list_arrival, self.scheduler.now + delay)

        def deliver():
            for name, state in states:
                self.rules.record_list_state(name, state)
                self.states_at_assigner[name] = state
            self.queue_event(event)

        self.scheduler.call_at(self.last_list_arrival, deliver)

    # Proxies and their streams

    def join(self, number):
        """Joins a proxy: its stream is up."""
        proxy = self.proxies[number]
        if self.brain is None or proxy.joined:
            return
        proxy.joined, proxy.joined_at = True, self.scheduler.now
        rate = self.script.clients.rate * self.load_generator.proxy_shares[number]
        self.queue_event(gp.ProxyJoined(number, rate, not proxy.has_table, proxy.zone))

    def break_stream(self, number):
        """Breaks a proxy's stream: the proxy keeps its table and reconnects."""
        proxy = self.proxies[number]
        if not proxy.joined:
            return
        proxy.joined = False
        self.channel.disconnect(number)
        self.scheduler.call_later(
            DISCONNECT_DETECTION, self.queue_event, gp.ProxyLeft(number), self.incarnation
        )
        self.schedule_reconnect(number)

    def schedule_reconnect(self, number):
        """Schedules a proxy's reconnection, with jitter."""
        jitter = self.proxies[number].random.uniform(0.5, 1.5)
        self.scheduler.call_later(
            DISCONNECT_DETECTION + tenths_of_ms(self.delays.redial * jitter), self.reconnect, number
        )

    def reconnect(self, number):
        """Reconnects a proxy, or tries later while no assigner runs."""
        if self.brain is None:
            return self.schedule_reconnect(number)
        return self.join(number)

    def send_reports(self):
        """Delivers the reports per task and zone and per proxy and route of the last period, after the
        reports' delay."""
        period, entries, events = tenths_of_ms(self.delays.period), {}, []
        for number, proxy in self.proxies.items():
            try_sums, route_counts = proxy.take_report()
            if not proxy.joined:
                continue
            for name, node_sums in try_sums.items():
                entry = entries.setdefault((name, proxy.zone), [0, 0, 0.0, 0.0])
                entry[0] += node_sums.tries
                entry[1] += node_sums.failures
                entry[2] += node_sums.mean() * (node_sums.tries - node_sums.failures)
                entry[3] = proxy.reported_loads.get(name, entry[3])
            events += [
                gp.RouteReport(number, route, count.calls, count.unanswered, period)
                for route, count in route_counts.items()
                if count.calls
            ]
        for (name, zone), (tries, failures, total, calls_in_hand) in entries.items():
            mean = total / (tries - failures) if tries > failures else 0.0
            events.append(
                gp.TaskReport(name, zone, tries, failures, mean, period, {"in_hand": float(calls_in_hand)})
            )
        delay = tenths_of_ms(self.delays.reports) + tenths_of_ms(
            sum(self.fault_injector.report_delays.values())
        )
        for event in events:
            self.scheduler.call_later(delay, self.queue_event, event, self.incarnation)
        if self.scheduler.now < self.length:
            self.scheduler.call_later(period, self.send_reports)

    # The run

    def check_rules(self):
        """Checks the rules periodically, and takes a sample each second."""
        now = self.scheduler.now
        ready = any(
            self.rules.not_ready_since.get(k) is None and self.nodes[k].speed_fraction() >= 1
            for k in self.states_at_assigner
        )
        self.rules.check(self.proxies, self.channel.queued_lines(), ready)
        if now % SAMPLE_PERIOD == 0:
            self.sample(now)
        if now < self.length:
            self.scheduler.call_later(CHECK_PERIOD, self.check_rules)

    def sample(self, now):
        """Adds a sample of rate, channel queue, weights and calls in hand, for the plots."""
        weights = (
            {k: w for table in self.brain.tables for k, w in table.weights.items()} if self.brain else {}
        )
        shown = {
            k: [round(weights.get(k, 0.0), 3), n.calls_in_hand()]
            for k, n in self.nodes.items()
            if n.up or k in weights
        }
        queued = round(self.channel.queued_lines(), 1)
        rate = round(self.load_generator.rate(), 3)
        self.result.samples.append([now / TENTHS_OF_MS_PER_SECOND, rate, queued, shown])

    def run(self, progress=None):
        """Runs the simulation; returns its Result. progress(fraction): called PROGRESS_STEPS times."""
        self.prepare()
        last = self.length + max(tenths_of_ms(r.limit) for r in self.script.routes) + 10
        for k in range(1, PROGRESS_STEPS + 1):
            self.scheduler.run(last * k // PROGRESS_STEPS)
            if progress:
                progress(k / PROGRESS_STEPS)
        return self.finish()

    def prepare(self):
        """Sets the proxies' initial tables, starts the assigner and schedules the recurring work."""
        self.states_at_assigner = {k: "ready" for k in self.listed_states}
        for proxy in self.proxies.values():
            names = [k for k, n in self.nodes.items() if n.zone == proxy.zone]
            names = names if len(names) >= 3 else list(self.nodes)
            drawn = proxy.random.permutation(len(names))[:FIRST_TABLE_NODES]
            proxy.replace_lines({names[k]: 1.0 for k in sorted(drawn)})
        if self.policy == "brain":
            self.start_assigner()
            for number in self.proxies:
                self.join(number)
        self.fault_injector.schedule()
        self.scheduler.call_later(0, self.load_generator.next_call)
        self.scheduler.call_later(0, self.check_rules)
        self.scheduler.call_later(0, self.send_reports)

    def finish(self):
        """Completes the Result."""
        result = self.result
        result.violations = self.rules.violations
        result.counts = {
            "calls": self.load_generator.calls,
            "events": self.scheduler.executed_events,
            "probes": self.probes,
            "lines": round(self.channel.lines),
            "queue_most": round(self.channel.longest_queue),
            "unsettled": len(self.load_generator.pending),
            "work": {k: round(n.work_done, 3) for k, n in self.nodes.items()},
            "begun": {k: n.started_jobs for k, n in self.nodes.items()},
        }
        return result
