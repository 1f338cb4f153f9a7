"""A simulation: the script's parties, the Brain in process, and the faults, on a virtual clock."""

from typing import NamedTuple

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.rehearsal.baselines import POLICIES
from garnetpaddle.rehearsal.fault_injection import FaultInjector
from garnetpaddle.rehearsal.load_generator import LoadGenerator
from garnetpaddle.rehearsal.model import Channel, Node, Proxy, Scheduler, tenths
from garnetpaddle.rehearsal.result import Result
from garnetpaddle.rehearsal.rule_checker import RuleChecker

TENTHS_OF_MS_PER_SECOND = 10_000
EPOCH = 10**9  # the Brain's clock starts there: a task's start at 0 means long ago
QUANTUM = 50  # 5 ms: events within it form one batch
HOP = 10  # 1 ms one way to a node
BREAK_DETECTION = 5_000  # 0.5 s until a broken stream is noticed
CHECK_PERIOD, SAMPLE_PERIOD = 2_000, 10_000  # 0.2 s between checks of the rules, 1 s between samples
FIRST_TABLE_NODES = 6  # in a proxy's table before the assigner's first, drawn at random
PROGRESS_STEPS = 100
SEEDS_PER_SIMULATION = 1_000  # the Brain's seeds: one for each of its lives


class ListedState(NamedTuple):
    """A node's state in the task list, and when it started; None: before the simulation."""

    state: str
    started_at: int | None


class Simulation:
    """policy: "brain", or a baseline: "even" or "least" (see baselines). record(now, events, orders) is
    called with each batch of the Brain's."""

    def __init__(self, script, seed=None, policy="brain", record=None):
        self.script, self.policy, self.record = script, policy, record
        self.seed = script.rehearsal.seed if seed is None else seed
        self.scheduler, self.length = Scheduler(self.seed), tenths(script.rehearsal.length)
        self.delays = script.delays
        self.rules = RuleChecker(self.scheduler, self.delays, judged=policy == "brain")
        self.result = Result(script.path.rsplit("/", 1)[-1], self.seed, policy)
        self.result.troubles = [
            [t.name, t.kind, t.start, t.end or script.rehearsal.length] for t in script.troubles
        ]
        self.brain, self.life, self.pending_events, self.batch_scheduled = None, 0, [], False
        self.list_arrives_at, self.probes, self.seen_states = 0, 0, {}  # seen: as the assigner heard them
        self.add_nodes()
        self.add_proxies()
        delays = self.delays
        self.channel = Channel(
            self.scheduler, self.proxies, delays.lines, delays.head, delays.channel, self.applied
        )
        self.load = LoadGenerator(
            self.scheduler, script.clients, script.routes, self.proxies, self.length, self.result
        )
        self.faults = FaultInjector(self)

    def add_nodes(self):
        """The script's nodes."""
        kinds = {kind.name: kind for kind in self.script.kinds}
        self.groups, self.nodes, self.listed = {}, {}, {}
        for name, group in self.script.names():
            self.add_node(name, kinds[group.kind], group)

    def add_node(self, name, kind, group, started_at=None):
        """A node joins the fleet; its list entry follows by `publish_state`."""
        self.nodes[name] = Node(self.scheduler, name, kind, group.zone, started_at, self.rules)
        self.groups[name] = group
        self.listed[name] = ListedState("ready", started_at)

    def add_proxies(self):
        """The script's proxies."""
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
                    self.settled,
                    self.rules,
                    policy,
                )

    def settled(self, call, outcome):
        """A client's try has ended."""
        self.load.settled(call, outcome)

    # The assigner

    def terms(self):
        """The Brain's terms."""
        delays, kinds = self.delays, self.script.kinds
        return gp.Terms(
            routes=tuple(gp.Route(r.importance, tenths(r.slo)) for r in self.script.routes),
            list_mode="push",
            must_ask_in=100_000,
            probes_allowed=True,
            warm_after=tenths(max(k.warm_after for k in kinds)),
            start_share=min(k.start_share for k in kinds),
            fall_multiple=delays.fall_multiple,
            gone_binds=True,
            report_period=tenths(delays.period),
            channel_lines=delays.lines,
            queue_limit=delays.queue_limit,
            head_lines=delays.head,
            message_cap=0,
            message_span=100_000,
            level_kind="none",
            proxies=len(self.proxies),
            strikes=delays.strikes,
            zones=len(self.script.zones),
        )

    def start_assigner(self):
        """The assigner starts, with the list as it was last published."""
        self.life += 1
        self.brain = Brain(self.terms(), self.seed * SEEDS_PER_SIMULATION + self.life)
        self.pending_events = []
        lines = tuple(self.task_line(name) for name in self.listed)
        for name, listed in self.listed.items():
            self.rules.list_state(name, listed.state)
        self.publish(gp.ListHeard("stale", lines))

    def kill_assigner(self):
        """The assigner dies with its channel, tables and timers; proxies keep what they hold."""
        self.brain = None
        self.channel.reset()
        for number in self.proxies:
            self.break_stream(number)

    def publish(self, event, life=None):
        """Queues an event for the Brain, unless it belongs to an earlier life of the assigner."""
        if self.brain is None or life not in (None, self.life):
            return
        self.pending_events.append(event)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.scheduler.after(QUANTUM, self.run_batch)

    def run_batch(self):
        """Hands the queued events to the Brain and carries out its orders."""
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
                case gp.Timer():
                    self.scheduler.at(order.at - EPOCH, self.publish, gp.TimerDue(order.key), self.life)
                case gp.Note():
                    self.result.log.append((now, order.text))
                case gp.Probe():
                    self.probe(order)
                case gp.Watch():
                    pass
                case _:
                    reply.append(order)
                    self.rules.orders.append(f"{now / TENTHS_OF_MS_PER_SECOND:.2f} {order}")
        if reply:
            self.channel.send(reply)

    def applied(self, number, mark, elapsed):
        """A proxy has applied a seal."""
        self.scheduler.after(HOP, self.publish, gp.Applied(number, mark, elapsed), self.life)

    def probe(self, order):
        """A probe of a node, answered as its faults let it."""
        node, began, life = self.nodes[order.task], self.scheduler.now, self.life
        self.probes += 1

        def answer(outcome, after):
            load = {"in_hand": float(node.held())} if outcome == "ok" else {}
            elapsed = self.scheduler.now + after - began
            event = gp.ProbeAnswered(order.task, elapsed, outcome, load)
            self.scheduler.after(after, self.publish, event, life)

        if not node.up:
            answer("unreachable", 2 * HOP if not node.fallen else order.wait)
        elif node.silent or node.paused:
            answer("timeout", order.wait)
        elif node.errors and node.random.random() < max(node.errors.values()):
            answer("error", 2 * HOP)
        else:
            answer("ok", 2 * HOP)

    # The task list

    def task_line(self, name, state=None):
        """A node's entry, in its listed state or another."""
        listed, group = self.listed[name], self.groups[name]
        started_at = 0 if listed.started_at is None else EPOCH + listed.started_at
        return gp.TaskLine(name, group.zone, 0, state or listed.state, 1.0, started_at, group.kind)

    def publish_state(self, name, state, started_at=None):
        """The list learns of a change, late, in order."""
        started_at = started_at if started_at is not None else self.listed[name].started_at
        self.listed[name] = ListedState(state, started_at)
        event = gp.ListHeard("changes", (self.task_line(name, state),))
        self.deliver_list(event, [(name, state)])

    def publish_whole_list(self, without=()):
        """The whole list, perhaps a wrong one that lacks some nodes."""
        names = [k for k, listed in self.listed.items() if listed.state != "gone" and k not in without]
        states = [(k, "gone" if k in without else listed.state) for k, listed in self.listed.items()]
        self.deliver_list(gp.ListHeard("full", tuple(self.task_line(k) for k in names)), states)

    def deliver_list(self, event, states):
        """Delivers a list event to the assigner, late, in order."""
        late = tenths(self.delays.list) + tenths(sum(self.faults.list_late.values()))
        self.list_arrives_at = max(self.list_arrives_at, self.scheduler.now + late)

        def arrive():
            for name, state in states:
                self.rules.list_state(name, state)
                self.seen_states[name] = state
            self.publish(event)

        self.scheduler.at(self.list_arrives_at, arrive)

    # Proxies and their streams

    def join(self, number):
        """A proxy's stream is up."""
        proxy = self.proxies[number]
        if self.brain is None or proxy.joined:
            return
        proxy.joined, proxy.joined_at = True, self.scheduler.now
        rate = self.script.clients.rate * self.load.proxy_shares[number]
        self.publish(gp.ProxyJoined(number, rate, not proxy.ordered, proxy.zone))

    def break_stream(self, number):
        """A proxy's stream breaks; it keeps what it holds, and connects again."""
        proxy = self.proxies[number]
        if not proxy.joined:
            return
        proxy.joined = False
        self.channel.leave(number)
        self.scheduler.after(BREAK_DETECTION, self.publish, gp.ProxyLeft(number), self.life)
        self.schedule_reconnect(number)

    def schedule_reconnect(self, number):
        """A proxy will connect again, with jitter."""
        jitter = self.proxies[number].random.uniform(0.5, 1.5)
        self.scheduler.after(BREAK_DETECTION + tenths(self.delays.redial * jitter), self.reconnect, number)

    def reconnect(self, number):
        """A proxy connects, again later while there is no assigner."""
        if self.brain is None:
            return self.schedule_reconnect(number)
        return self.join(number)

    def report(self):
        """The collectors' sums and the proxies' counts of the last period, delivered late."""
        period, pairs, events = tenths(self.delays.period), {}, []
        for number, proxy in self.proxies.items():
            sums, counts = proxy.take_report()
            if not proxy.joined:
                continue
            for name, node_sums in sums.items():
                pair = pairs.setdefault((name, proxy.zone), [0, 0, 0.0, 0.0])
                pair[0] += node_sums.tries
                pair[1] += node_sums.failures
                pair[2] += node_sums.mean() * (node_sums.tries - node_sums.failures)
                pair[3] = proxy.loads.get(name, pair[3])
            events += [
                gp.RouteSums(number, route, count.calls, count.unanswered, period)
                for route, count in counts.items()
                if count.calls
            ]
        for (name, zone), (tries, failures, total, held) in pairs.items():
            mean = total / (tries - failures) if tries > failures else 0.0
            events.append(gp.TaskSums(name, zone, tries, failures, mean, period, {"in_hand": float(held)}))
        late = tenths(self.delays.reports) + tenths(sum(self.faults.reports_late.values()))
        for event in events:
            self.scheduler.after(late, self.publish, event, self.life)
        if self.scheduler.now < self.length:
            self.scheduler.after(period, self.report)

    # The run

    def check(self):
        """Checks the rules, and takes a sample each second."""
        now = self.scheduler.now
        ready = any(
            self.rules.closed_at.get(k) is None and self.nodes[k].warmth() >= 1 for k in self.seen_states
        )
        self.rules.check(self.proxies, self.channel.queued_lines(), ready)
        if now % SAMPLE_PERIOD == 0:
            self.sample(now)
        if now < self.length:
            self.scheduler.after(CHECK_PERIOD, self.check)

    def sample(self, now):
        """Keeps what the plots show."""
        weights = (
            {k: w for table in self.brain.tables for k, w in table.weights.items()} if self.brain else {}
        )
        shown = {
            k: [round(weights.get(k, 0.0), 3), n.held()]
            for k, n in self.nodes.items()
            if n.up or k in weights
        }
        queued = round(self.channel.queued_lines(), 1)
        rate = round(self.load.rate(), 3)
        self.result.samples.append([now / TENTHS_OF_MS_PER_SECOND, rate, queued, shown])

    def run(self, progress=None):
        """Runs the simulation; returns its Result. progress(part) is called now and then."""
        self.prepare()
        last = self.length + max(tenths(r.limit) for r in self.script.routes) + 10
        for k in range(1, PROGRESS_STEPS + 1):
            self.scheduler.run(last * k // PROGRESS_STEPS)
            if progress:
                progress(k / PROGRESS_STEPS)
        return self.finish()

    def prepare(self):
        """Gives proxies their first tables, starts the assigner and schedules what recurs."""
        self.seen_states = {k: "ready" for k in self.listed}
        for proxy in self.proxies.values():
            names = [k for k, n in self.nodes.items() if n.zone == proxy.zone]
            names = names if len(names) >= 3 else list(self.nodes)
            drawn = proxy.random.permutation(len(names))[:FIRST_TABLE_NODES]
            proxy.fill({names[k]: 1.0 for k in sorted(drawn)})
        if self.policy == "brain":
            self.start_assigner()
            for number in self.proxies:
                self.join(number)
        self.faults.schedule()
        self.scheduler.after(0, self.load.arrive)
        self.scheduler.after(0, self.check)
        self.scheduler.after(0, self.report)

    def finish(self):
        """The completed Result."""
        result = self.result
        result.violations = self.rules.violations
        result.counts = {
            "calls": self.load.calls,
            "events": self.scheduler.executed,
            "probes": self.probes,
            "lines": round(self.channel.lines),
            "queue_most": round(self.channel.longest_queue),
            "unsettled": len(self.load.pending),
            "work": {k: round(n.work_done, 3) for k, n in self.nodes.items()},
            "begun": {k: n.executed for k, n in self.nodes.items()},
        }
        return result
