"""Injects a script's troubles. Targets are drawn when a trouble begins; troubles may overlap and end in any
order."""

import math

from garnetpaddle.rehearsal.model import tenths_of_ms

EXIT_DELAY = 10_000  # 1 s from the end of the grace time until a released node's process ends
MAX_STOLEN = 0.99  # most that may be stolen of a node's cores, as a fraction


class FaultInjector:
    """Begins and ends the troubles of a simulation's script."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.crashed_by = {}  # node -> names of the troubles that keep it down
        # By name of the trouble: delays in seconds, and the names that the list omits.
        self.list_delays, self.report_delays, self.dropped_by_trouble = {}, {}, {}

    def schedule(self):
        """Schedules the start of every trouble."""
        for trouble in self.simulation.script.troubles:
            self.simulation.scheduler.call_at(tenths_of_ms(trouble.start), self.begin, trouble)

    def log(self, text):
        """Appends to the simulation's log."""
        self.simulation.result.log.append((self.simulation.scheduler.now, f"-- {text}"))

    def targets(self, trouble):
        """Names of the nodes that a trouble affects, without those that are gone."""
        simulation = self.simulation
        # A crashed node that will restart counts as present: another crash may keep it down for longer.
        names = [
            k
            for k, n in simulation.nodes.items()
            if not n.failed_cold and (simulation.listed_states[k].state != "gone" or self.crashed_by.get(k))
        ]
        if trouble.nodes:
            selected = dict.fromkeys(trouble.nodes, True)
            names = [k for k in names if k in selected or simulation.groups[k].name in selected]
        if trouble.zone:
            names = [k for k in names if simulation.nodes[k].zone == trouble.zone]
        return self.sample_share(trouble, names)

    def sample_share(self, trouble, names):
        """Draws the trouble's share of the names at random."""
        if not trouble.share or trouble.share >= 1:
            return names
        count = max(1, round(trouble.share * len(names))) if names else 0
        random = self.simulation.scheduler.random_stream(f"trouble {trouble.name}")
        return [names[k] for k in sorted(random.permutation(len(names))[:count])]

    def begin(self, trouble):
        """Begins a trouble."""
        match trouble.kind:
            case "list_late":
                self.begin_amount(trouble, self.list_delays)
            case "reports_late":
                self.begin_amount(trouble, self.report_delays)
            case "rate":
                self.begin_amount(trouble, self.simulation.load_generator.rate_factors)
            case "killed":
                self.begin_kill(trouble)
            case "streams":
                self.begin_streams(trouble)
            case _:
                self.begin_on_nodes(trouble)

    def begin_amount(self, trouble, amounts):
        """Begins a trouble that holds an amount while it lasts."""
        amounts[trouble.name] = trouble.amount
        self.log(f"{trouble.name} begins: {trouble.kind} {trouble.amount:g}")
        self.schedule_end(trouble, amounts.pop, trouble.name)

    def begin_kill(self, trouble):
        """Kills the assigner, which restarts at the end of the trouble."""
        self.log(f"{trouble.name} begins: the assigner is killed")
        if self.simulation.policy == "brain" and self.simulation.brain is not None:
            self.simulation.kill_assigner()
            self.schedule_end(trouble, self.simulation.start_assigner)

    def begin_streams(self, trouble):
        """Breaks the streams of joined proxies."""
        joined = [number for number, proxy in self.simulation.proxies.items() if proxy.joined]
        numbers = self.sample_share(trouble, joined)
        self.log(f"{trouble.name} begins: the streams of {len(numbers)} proxies break")
        for number in numbers:
            self.simulation.break_stream(number)

    def begin_on_nodes(self, trouble):
        """Begins a trouble that affects nodes, one after the other over its ramp."""
        names = self.targets(trouble)
        self.log(f"{trouble.name} begins: {trouble.kind} at {' '.join(names) or 'nobody'}")
        if trouble.kind == "release":
            return self.begin_release(trouble, names)
        if trouble.kind == "list_wrong":
            self.dropped_by_trouble[trouble.name] = names
            self.simulation.publish_full_list(self.dropped_names())
            return self.schedule_end(trouble, self.end_wrong_list, trouble)
        for k, name in enumerate(names):
            delay = tenths_of_ms(trouble.ramp) * k // max(len(names), 1)
            self.simulation.scheduler.call_later(delay, self.apply_to_node, trouble, name)
        return self.schedule_end(trouble, self.recover_nodes, trouble, names)

    def schedule_end(self, trouble, function, *arguments):
        """Schedules a trouble's end, if it has one."""
        if not trouble.end:
            return

        def end():
            self.log(f"{trouble.name} ends")
            function(*arguments)

        self.simulation.scheduler.call_at(tenths_of_ms(trouble.end), end)

    def dropped_names(self):
        """Names that the list wrongly omits at present."""
        return [name for names in self.dropped_by_trouble.values() for name in names]

    def end_wrong_list(self, trouble):
        """Publishes a list that has the omitted names again."""
        self.dropped_by_trouble.pop(trouble.name)
        self.simulation.publish_full_list(self.dropped_names())

    def apply_to_node(self, trouble, name):
        """Applies a trouble to one node."""
        node, key = self.simulation.nodes[name], trouble.name
        match trouble.kind:
            case "silent":
                node.silent[key] = node.paused[key] = True
            case "pause":
                node.paused[key] = True
            case "slow":
                node.slow[key] = trouble.amount
            case "errors":
                node.errors[key] = trouble.amount
            case "stolen":
                node.stolen[key] = min(trouble.amount, MAX_STOLEN)
            case "crash":
                self.crashed_by.setdefault(name, {})[key] = True
                if node.up:
                    node.stop()
                    self.simulation.publish_state(name, "gone")
            case "drain":
                self.simulation.publish_state(name, "draining")
        self.update_speed(node)

    def recover_nodes(self, trouble, names):
        """Ends a trouble at its nodes: crashed ones restart, drained ones stop."""
        for name in names:
            node, key = self.simulation.nodes[name], trouble.name
            for amounts in (node.silent, node.paused, node.slow, node.errors, node.stolen):
                amounts.pop(key, None)
            if trouble.kind == "crash":
                self.recover_from_crash(name, node, key)
            if trouble.kind == "drain":
                node.stop()
                self.simulation.publish_state(name, "gone")
            self.update_speed(node)

    def recover_from_crash(self, name, node, key):
        """Restarts a crashed node once no other crash keeps it down."""
        active_crashes = self.crashed_by.get(name, {})
        active_crashes.pop(key, None)
        if not active_crashes and not node.up and not node.failed_cold:
            node.start()
            self.simulation.publish_state(name, "ready", self.simulation.scheduler.now)

    def update_speed(self, node):
        """Reschedules a node's running jobs after a change of its faults."""
        if node.up:
            node.reschedule_running()

    def begin_release(self, trouble, names):
        """Replaces nodes in batches: old ones drain while new ones start cold, then the old ones stop."""
        scheduler = self.simulation.scheduler
        size = max(1, math.ceil(trouble.amount * len(names)))
        batches = [names[k : k + size] for k in range(0, len(names), size)]
        end = tenths_of_ms(trouble.end) if trouble.end else self.simulation.length
        duration = end - scheduler.now
        for k, batch in enumerate(batches):
            scheduler.call_later(duration * k // max(len(batches), 1), self.replace_batch, trouble, batch)

    def replace_batch(self, trouble, batch):
        """Replaces the nodes of one batch of a release."""
        simulation = self.simulation
        for name in batch:
            node = simulation.nodes[name]
            if not node.up:
                continue
            simulation.publish_state(name, "draining")
            delays = simulation.delays
            simulation.scheduler.call_later(
                tenths_of_ms(delays.list + delays.grace) + EXIT_DELAY, self.stop, name
            )
            new_name = f"{name}+"
            while new_name in simulation.nodes:
                new_name += "+"
            now = simulation.scheduler.now
            simulation.add_node(new_name, node.kind, simulation.groups[name], now)
            simulation.publish_state(new_name, "ready", now)

    def stop(self, name):
        """Stops the process of a released node."""
        self.simulation.nodes[name].stop()
        self.simulation.publish_state(name, "gone")
