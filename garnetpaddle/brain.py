"""The decisions of one assigner: all of them, and nothing else. No clock, no I/O; docs/design.md says why.

`orders = Brain(parameters, seed).handle(now, events)`, with types of garnetpaddle/interface and now in tenths
of a ms

An assigner is one of several processes that choose which tasks the proxies call. Each proxy joins one
assigner, which orders the ready tasks or, in a large fleet, a part of them (`own_tasks`). A table holds a
line, a task with its weight, for each task that the proxies bound to it may call; a bound proxy is one that
follows a table of this assigner.

The channel is the relay's path from an assigner to its proxies, limited in lines a second. Orders pass it as
messages, whose cost is one line for each table line, route or task that they change, and an overhead. Each
batch of messages has a mark, and a proxy acknowledges the mark up to which it has applied them.
"""

import dataclasses
import heapq
import itertools
import math
import random
import statistics

from garnetpaddle import interface as gp
from garnetpaddle.channel_estimate import SECOND, ChannelEstimate
from garnetpaddle.fault_evidence import EJECTION_EVIDENCE, UNLISTED_EVIDENCE, update_evidence
from garnetpaddle.share_adjustment import PRIOR_ANSWERS, SMOOTHING_FACTOR, adjust_shares
from garnetpaddle.state import Batch, Proxy, PushAcknowledgements, Table, Task
from garnetpaddle.task_liveness import NOTHING_LISTENS, may_have_restarted, process_ended, record_outcome
from garnetpaddle.task_registry import TaskRegistry

# Timers
TICK_TENTHS_MS = 1_000  # 0.1 s: well below every delay that has to be noticed
RESUBSCRIBE_BACKOFF_TENTHS_MS = 3_000  # 0.3 s: first wait before subscribing again, doubled and randomised
DEPARTED_LINE_TENTHS_MS = 600_000  # 60 s: how long an unreachable proxy may hold the line of a task that left
# 6 s: how long proxies keep tables ordered before this start, which fit better than even shares
INHERITED_TABLES_TENTHS_MS = 60_000
# 30 s, in which a restarted assigner has to be ready: tables ordered before this start may be as old
FORMER_TABLES_AGE_TENTHS_MS = 300_000
# Of the tasks, those that have left, are cold or turned warm since such a table was ordered: with more of
# them, and more than one, the tables ordered before this start are replaced at once, as a proxy may hold few
# other lines, or none, and calls those tasks instead.
MAX_CHANGED_SHARE = 0.25

# Shares: the calls that each task gets, as a ratio to the average; adjusted in steps, by its answers
# Answers per task on average before the first step, when machine kinds tell more, and before later ones
MIN_ANSWERS_PER_TASK = (3, 8)
REPORT_COLLECTION_TENTHS_MS = 1_500  # 0.15 s: the lines of one report may arrive in several batches

# Tables
MIN_WEIGHT_CHANGE_RATIO = 0.1  # a smaller change of a weight is not sent
# Seconds that the channel may need to bind all joined proxies (times channel_lines: lines); else tables are
# smaller.
MAX_BIND_ALL_S = 4.0
MIN_TABLE_LINES = 8  # of a smaller table: with fewer, a proxy whose table has a bad task calls little else
# A table with fewer warm lines gets up to half of those of the table that has most for its calls: at once if
# no proxy is bound to it, else after a push interval, and other tables over time.
MIN_WARM_LINES = 2

# Pushes of changed table lines, in tuples by urgency (see push_lines). 0: lines of tasks that are no longer
# ready or have restarted, and the first lines of a table; 1: lines of ejected and newly warm tasks;
# 2: other changes of weights. A limit in seconds is the time that the channel needs for the queued lines:
# times channel_lines it is a number of lines.
PUSH_INTERVALS_TENTHS_MS = (0, 3_000, 10_000)  # separate, so that no urgency delays another
PUSH_QUEUE_SHARES = (0.97, 0.5, 0.5)  # of the queue limit: most in use after such a push
BIND_QUEUE_SHARES = (0.6, 0.8)  # likewise after a bind, and after one of a proxy that waited long
PUSH_START_QUEUE_S = (0.75, 1.5, 0.75)  # such a push starts only while no more is queued
# Of the grace: a removal of urgency 0 that has waited for longer starts a push however much is queued.
MAX_URGENT_WAIT_GRACE_SHARE = 0.2
PUSH_MAX_QUEUE_S = 5.0  # most queued after a push of urgency 1 or 2
BIND_MAX_QUEUE_S = 1.5  # most queued after a bind of a proxy that has not waited long
MESSAGE_CAP_SHARES = (0.95, 0.6, 0.4)  # of the message cap: most in use after such a push
BIND_DEADLINE_GRACE_SHARE = 0.9  # of the grace: binds that end by then need no withdrawals
# Of the grace: a proxy that has waited for longer is late; withdrawals ordered before it joined are repeated.
LATE_BIND_GRACE_SHARE = 0.4

# Ejection of faulty tasks and their readmission
MAX_EJECTED_SHARE = 0.3  # of all shares, while the other tasks answer: they must be able to carry the load
MAX_UNREACHABLE_SHARE = 0.5  # of the tasks: more that are unreachable are a network fault
MIN_EJECTION_PERIODS = 3  # report periods of the first ejection, doubled for each further one
MAX_EJECTION_PERIODS = 24
REPORT_VALID_ROUNDS = 3  # rounds of reports for which a report remains valid
PROBE_TIMEOUT_SLO_RATIO = 0.5  # of the shortest SLO time: a task that takes as long answers calls late
PROBE_INTERVAL_TENTHS_MS = 10_000  # 1 s
FIRST_PROBE_SPREAD_TENTHS_MS = 1_000  # 0.1 s: of the first probes of tasks that are listed together
SUSPECT_PROBE_INTERVAL_TENTHS_MS = 4_000  # 0.4 s for a suspected task
PROBATION_SHARE_RATIO = 0.25  # of the average: most that a readmitted task carries until the test clears it
SINGLE_FAULT_SHARE = 0.25  # of the tasks: one fault strikes fewer, so more that fail together mean overload

# Overload, admission and retries
TARGET_BUSY_SHARE = 0.8  # of the cores: above it waits grow without bound
OVERLOAD_BUSY_SHARE = 0.88  # of the cores: above it fewer ejections, and none at 1
LATE_SLO_RATIO = 0.6  # of the SLO time: a mean latency at which many answers are late
MAX_ADMISSION_DECREASE_RATIO = 0.4  # per step: out of an overload quickly
MAX_ADMISSION_INCREASE_RATIO = 1.4  # per step: not so fast that the overload returns
BACKLOG_RATIO = (
    3.0  # of the usual calls in flight: more than traffic swings cause, and seen before late reports
)
LATE_PRESSURE_RATIO = 1.3  # on the pressure while answers are late: the backlog has to be worked off too
NO_RETRY_FAILURE_SHARE = 0.1  # that the median call meets: from here on nothing is tried again
# level_kind -> the level that admits everything, here calls a second at a proxy; for other kinds a share, 1
OPEN_LEVELS = {"per_second": 1e6}
MIN_ROUTE_LEVEL = 0.05  # enough calls to go on observing the route


class Brain:
    """Turns batches of events into orders. All times are whole tenths of a millisecond.

    The on_... handlers only update the state. handle() then evaluates the reports, ejects or readmits tasks,
    and orders the difference between the wanted and the present state.
    """

    def __init__(self, parameters, seed):
        self.parameters = parameters
        self.probe_timeout = int(PROBE_TIMEOUT_SLO_RATIO * min(r.slo_time for r in parameters.routes))
        self.uniform = random.Random(seed).uniform
        self.open_level = OPEN_LEVELS.get(parameters.level_kind, 1.0)
        self.registry = registry = TaskRegistry()
        self.tasks = registry.tasks
        self.lines = registry.lines  # task -> its last task-list entry, a TaskLine
        self.changed_at = registry.changed_at
        self.ready = registry.ready
        self.observed = registry.observed
        self.leaving = registry.leaving
        self.proxies = {}
        # A list of ready tasks, and the same tasks in the order from which select_own_part cuts own_tasks
        self.task_order = (None, [])
        self.channel_proxies = {}  # all but external load balancers, which the relay does not serve
        self.call_rate = 0.0  # of the channel's proxies
        self.unbound_proxies = {}  # those not known for certain to be bound
        self.tables = [self.new_table(1)]
        self.withdrawn = {}  # task -> when its withdrawal was ordered, False where that order is in doubt
        self.log_messages = []
        self.pending_reports = []
        # (task, zone) -> the estimated end of the time that its last reports covered; see record_covered_time
        self.counted_until = {}
        self.timers = [(0, 0, Brain.subscribe, None)] * (parameters.list_mode == "ask")
        self.timer_serial = 0
        self.channel = ChannelEstimate(parameters)
        self.verification = (None, 0)  # the proxy that was bound again last to settle a doubt, and the mark
        # When the last push took effect; 0: new weights or levels were decided and are not in effect yet
        self.effective_at = {"weights": 0, "levels": 0}
        self.awaited = {}  # "weights" or "levels" -> the acknowledgements that the last push waits for
        self.rebalanced_at = 0  # the last move of tasks from one table to another
        # report_delay: from the estimated end of the time that the last reports covered to their evaluation
        self.next_tick_at = self.subscribe_failures = self.first_pending_report_at = 0
        self.first_join_at = self.report_delay = 0
        self.admitted_share = 1.0  # of the work of all routes
        self.usual_in_flight = 1.0  # calls at the median task while few fail, smoothed
        self.usual_failure_share = 0.0  # what the median call meets
        self.route_levels = {}  # route -> level
        self.route_calls = {}  # since the levels were last updated
        self.mean_size = 0.0  # listed size of the first ready tasks
        self.retries_stopped = False
        self.removals_capped = False  # whether removals of urgency 0 wait for the message cap
        self.report_round = parameters.report_period  # the smoothed time between a task's reports
        self.max_ready_tasks = 1  # the most tasks that were ever ready
        self.own_tasks = []  # the ready tasks that this assigner orders, all or a part of them
        self.own_ids = frozenset()
        self.own_part_share = 0.0  # of the ready tasks: what own_tasks covers if it is a part of them

    def handle(self, now, events):
        """Takes a batch of events and returns the orders that follow from it."""
        orders = []
        for event in events:
            self.HANDLERS[type(event)](self, now, event)
        while self.timers and self.timers[0][0] <= now:
            _, _, action, subject = heapq.heappop(self.timers)
            action(self, now, subject, orders)
        if self.pending_reports and now - self.first_pending_report_at >= REPORT_COLLECTION_TENTHS_MS:
            self.evaluate_reports(now)
        self.eject_and_readmit(now, self.observed())
        self.emit(now, orders)
        orders += [gp.LogMessage(self.log_messages.pop(0)) for _ in self.log_messages[:]]
        if self.next_tick_at <= now:
            self.next_tick_at = now + TICK_TENTHS_MS
            self.remove_departed(now, orders)
            orders.append(gp.SetTimer(self.next_tick_at, "beat"))
        return orders

    def schedule(self, at, action, subject=None):
        self.timer_serial += 1
        heapq.heappush(self.timers, (at, self.timer_serial, action, subject))

    def on_task_list_received(self, now, event):
        """Applies a task list; a list other than one of changes implies that all other tasks are gone.
        Subscribes again if the list was lost."""
        if event.update_type == "lost":
            # The backoff is randomised so that not all assigners subscribe at once.
            wait = (
                RESUBSCRIBE_BACKOFF_TENTHS_MS * 2 ** min(self.subscribe_failures, 5) * self.uniform(0.7, 1.3)
            )
            self.subscribe_failures += 1
            return self.schedule(
                now + int(min(wait, self.parameters.resubscribe_deadline / 2)), Brain.subscribe
            )
        # Any list but a stale one proves that the subscription works, so the backoff starts anew.
        self.subscribe_failures *= event.update_type == "stale"
        listed_names = frozenset(line.task for line in event.lines)
        unlisted = [
            entry
            for name, entry in self.lines.items()
            if event.update_type != "changes" and name not in listed_names
        ]
        gone = [
            dataclasses.replace(entry, state="gone", started_at=0)
            for entry in unlisted
            if entry.state != "gone"
        ]
        self.mean_size = self.mean_size or statistics.fmean(
            [entry.size for entry in event.lines if entry.state == "ready"] or [0]
        )
        shares = self.registry.shares()  # a new task starts at the mean share of its kind
        for entry in (*gone, *event.lines):
            self.on_task_line(now, entry, shares)

    def on_task_line(self, now, entry, shares):
        """Applies an entry of the task list.

        An entry "gone", listed or implied by a full list, is ignored for a draining task, which stays
        draining. Where dropped_counts_as_gone is off, it is only evidence against a ready task.
        """
        old_entry = self.lines.get(entry.task)
        task = self.tasks.get(entry.task)
        old_state = old_entry.state if old_entry else "gone"
        if entry.state == "gone" and (
            old_state == "draining" or old_state == "ready" and not self.parameters.dropped_counts_as_gone
        ):
            if old_state == "ready":
                task.fault_evidence = max(task.fault_evidence, UNLISTED_EVIDENCE)
                self.registry.mark_unlisted(now, entry.task)
            return
        if entry.state == "ready":
            if old_state == "ready" and entry.started_at <= old_entry.started_at:
                task.unlisted = False
            else:
                self.register(entry, task, shares)
                for table in self.tables:  # the old line of a restarted task goes as urgently as in a drain
                    table.weights |= {entry.task: math.inf} if entry.task in table.weights else {}
        self.registry.update_line(now, entry)

    def register(self, entry, former, shares):
        """Registers a task that has started, with what is known of its machine from its `former` life."""
        kind_share = statistics.fmean(shares.get(entry.kind) or [entry.size / self.mean_size])
        task = Task(entry, kind_share, self.parameters.warm_after, former)
        if task.learned_share:
            task.share = min(task.learned_share, kind_share)
        self.registry.register(task)

    def remove_departed(self, now, orders):
        """Forgets tasks that left so long ago that no proxy can hold their table lines any more."""
        for name in list(self.leaving):
            gone = self.lines[name].state != "ready" or self.tasks[name].unlisted and self.tasks[name].ejected
            if (
                gone
                and now - self.changed_at[name] >= DEPARTED_LINE_TENTHS_MS
                and not any(name in table.weights for table in self.tables)
            ):
                orders += [gp.WithdrawTask(name, False)] * (self.withdrawn.pop(name, None) is not None)
                self.registry.remove(name)

    def subscribe(self, now, _, orders):
        orders.append(gp.SubscribeTaskList())

    def on_proxy_joined(self, now, event):
        """Adds a proxy, still unbound; one that is joined already is replaced."""
        if not (self.proxies if event.external else self.channel_proxies):
            # The first to join. Whatever tables the proxies hold count as even ones, in effect now.
            self.first_join_at = now
            self.counted_until = {}
            self.pending_reports = []
            self.effective_at = {"weights": now, "levels": now}
            self.awaited = {}
        proxy = Proxy(now, event, self.remove_proxy(event.proxy))
        self.proxies[event.proxy] = self.unbound_proxies[event.proxy] = proxy
        if not event.external:
            self.channel_proxies[event.proxy] = proxy
            self.call_rate = self.call_rate + proxy.call_rate

    def on_proxy_left(self, now, event):
        """Forgets a proxy, and what was under way to it."""
        if (lost := self.remove_proxy(event.proxy)) and lost.unacknowledged_lines():
            self.channel.on_stream_broken(now, lost)
        self.confirm_pushes(now, event.proxy, self.channel.mark)

    def remove_proxy(self, number):
        """Removes a proxy and its binding; returns it, or None if it was not joined."""
        proxy = self.proxies.pop(number, None)
        _ = self.unbound_proxies.pop(number, None)
        if proxy:
            proxy.bind(False, None)
        if self.channel_proxies.pop(number, None):
            self.call_rate = self.call_rate - proxy.call_rate if self.channel_proxies else 0.0
        return proxy

    def bind(self, proxy, bound, table):
        """Binds a proxy as in Proxy.bind; it stays among the unbound unless that is certain."""
        proxy.bind(bound, table)
        self.unbound_proxies.pop(proxy.id, None)
        self.unbound_proxies |= {} if bound else {proxy.id: proxy}

    def on_orders_applied(self, now, event):
        """Handles an acknowledgement: the proxy has applied all its messages up to a mark."""
        if event.proxy in self.channel_proxies:
            proxy = self.channel_proxies[event.proxy]
            self.channel.on_applied(now, proxy, event.mark, self.channel_proxies.values())
        self.confirm_pushes(now, event.proxy, event.mark)

    def on_orders_lost(self, now, event):
        """Marks unconfirmed orders as neither done nor undone: what still differs is ordered again."""
        tables = {table.number: table for table in self.tables}
        for order in event.orders:
            match order:
                case gp.SetWeight(table=number, task=task) if number in tables:
                    tables[number].weights[task] = 0.0
                case gp.WithdrawTask(task=task) if task in self.lines:
                    self.withdrawn[task] = False
                case gp.BindProxy(proxy=proxy, table=number) if proxy in self.proxies:
                    bound = None if event.possibly_executed and number in tables else False
                    self.bind(self.proxies[proxy], bound, tables.get(number))
                case gp.SetAdmission(table=number) if number in tables:
                    tables[number].admissions = {}
                case gp.RequestAcknowledgement(mark=mark):
                    self.channel.on_messages_lost(
                        mark, event.possibly_executed, self.channel_proxies.values()
                    )

    def on_channel_state_unknown(self, now, event):
        """Starts a new table that nobody is bound to, as all earlier orders may be lost."""
        self.tables = [self.new_table(self.tables[-1].number % 60_000 + 1)]
        self.withdrawn = dict.fromkeys(self.withdrawn, False)
        for proxy in self.proxies.values():
            self.bind(proxy, False, None)
        # The channel's proxies wait for a bind again once the new event stream has named them.
        self.unbound_proxies = {k: p for k, p in self.unbound_proxies.items() if p.external}

    def new_table(self, number):
        """An empty table. Without orders proxies admit everything and retry as the parameters say."""
        return Table(
            number,
            {
                k: (self.open_level, self.parameters.default_retry_mode)
                for k in range(len(self.parameters.routes))
            },
        )

    def confirm_pushes(self, now, proxy, mark):
        """Records an acknowledgement. A push takes effect once all its changes were ordered and the proxies
        that have not acknowledged them receive at most a tenth of the call rate."""
        for kind, acknowledgements in list(self.awaited.items()):
            acknowledgements.acknowledge(proxy, mark)
            if acknowledgements.complete and acknowledgements.pending_call_rate <= 0.1 * self.call_rate:
                self.effective_at[kind] = now
                _ = self.awaited.pop(kind)

    def on_task_report(self, now, event):
        """Collects the report of a known task, unless it covers time long before the first proxy joined."""
        if (
            event.task in self.tasks
            and event.span <= now - self.first_join_at + self.parameters.report_period
        ):
            self.first_pending_report_at = self.first_pending_report_at if self.pending_reports else now
            self.pending_reports.append(event)

    def record_covered_time(self, now):
        """Estimates when the time that the pending reports cover ended, and returns that time.

        Reports carry a span, but no time. The estimate is the median of recorded end + span over the reports
        of (task, zone) pairs with a recorded end, and at most now. The median limits the effect of pairs that
        end too early, after an idle period, a lost report or a later start. The first reports start when the
        first proxy joined. If no pair has a recorded end, the reports are taken to be as late as the last
        ones. The estimate is recorded as the end for every reporting pair, and now minus it as report_delay.
        """
        starts = self.counted_until or {(e.task, e.zone): self.first_join_at for e in self.pending_reports}
        ends = [starts[e.task, e.zone] + e.span for e in self.pending_reports if (e.task, e.zone) in starts]
        until = min(int(statistics.median(ends)) if ends else now - self.report_delay, now)
        known_pairs = {pair: at for pair, at in self.counted_until.items() if pair[0] in self.tasks}
        self.report_delay = now - until
        self.counted_until = known_pairs | {(e.task, e.zone): until for e in self.pending_reports}
        return until

    def evaluate_reports(self, now):
        """Evaluates the pending reports. Adjusts the shares once enough calls were reported for time wholly
        after the last push of weights took effect."""
        until = self.record_covered_time(now)
        spans = statistics.median([event.span for event in self.pending_reports])
        self.report_round += SMOOTHING_FACTOR * (
            max(spans, self.parameters.report_period) - self.report_round
        )
        sums_by_task = {}  # task -> tries, failures, summed latency of the successful tries
        level_sums = [0, 0, 0.0]  # the same of all tasks, measured mostly at the present levels
        for event in self.pending_reports:
            task = self.tasks.get(event.task)
            good = event.tries - event.failures
            if (
                not task
                or min(event.span, event.tries) <= 0
                or until - event.span < task.ramp_from
                or (good < 0 or good and not gp.is_latency(event.latency))
            ):
                continue  # no calls, impossible values, or from before the task's restart
            # event.latency is a mean. Without good answers it has no meaning.
            sums = event.tries, event.failures, good and good * event.latency
            sums_by_task[event.task] = [
                a + b for a, b in zip(sums_by_task.get(event.task, (0, 0, 0.0)), sums, strict=True)
            ]
            task.update_load(event.load)
            if 0 < self.effective_at["weights"] <= until - event.span:
                task.add_calls(*sums)
            if 0 < self.effective_at["levels"] <= until - event.span / 2:
                level_sums = [a + b for a, b in zip(level_sums, sums, strict=True)]
        judged = [
            (self.tasks[name], *sums)
            for name, sums in sums_by_task.items()
            if self.update_statistics(now, name, *sums)
        ]
        self.usual_failure_share = self.median_failure_share(now)
        for task, tries, failures, _ in judged:
            task.fault_evidence = update_evidence(
                task.fault_evidence, failures, tries - failures, self.usual_failure_share
            )
        # Moves towards the median calls in flight, at least 1, but not while many calls fail.
        if self.usual_failure_share < NO_RETRY_FAILURE_SHARE:
            self.usual_in_flight *= 1 + SMOOTHING_FACTOR * (
                max(self.backlog() * BACKLOG_RATIO, 1 / self.usual_in_flight) - 1
            )
        if level_sums[0] and self.parameters.level_kind == "fraction":
            self.update_levels(*level_sums)
        tasks = [t for t in self.own_tasks if t.warm(now) and not t.ejected]
        self.pending_reports = []
        # A headroom shows that the first adjustment has been made.
        if tasks and sum(t.tries for t in tasks) >= (
            MIN_ANSWERS_PER_TASK[any(t.headroom for t in tasks)] * len(tasks)
        ):
            self.update_shares(tasks)
            for task in tasks:
                task.learned_share = task.share

    def update_statistics(self, now, name, tries, failures, latency_sum):
        """Updates a task's statistics; returns whether its answers count as evidence for or against a fault.

        Those of a slow task do not: slow answers mean overload, which a smaller share relieves. Ejecting the
        task would overload others. The same goes for its probes, except those that it answers with an error.
        """
        task = self.tasks[name]
        good = tries - failures
        self.registry.observe(task)
        task.reported_at = now
        task.mean_tries = task.mean_tries + SMOOTHING_FACTOR * (tries - task.mean_tries)
        task.failure_share += tries / (tries + PRIOR_ANSWERS) * (failures / tries - task.failure_share)
        if good:
            task.mean_latency = (task.mean_latency or latency_sum / good) / 2 + latency_sum / good / 2
            task.succeeded_at = now
        task.slow = now - task.succeeded_at < REPORT_VALID_ROUNDS * self.report_round and (
            task.mean_latency > 2 * self.median_latency(task.kind)
        )
        return not task.slow

    def median_latency(self, kind):
        return statistics.median(
            [t.mean_latency for t in self.observed() if t.mean_latency and t.kind == kind] or [0]
        )

    def median_failure_share(self, now):
        """The failure share that the median call met lately: a few bad tasks leave it near zero, an overload
        does not."""
        recent = sorted(
            (t.failure_share, t.mean_tries)
            for t in self.observed()
            if now - t.reported_at < REPORT_VALID_ROUNDS * self.report_round
        )
        cumulative_calls = list(itertools.accumulate(calls for _, calls in recent))
        return next(
            (
                failure_share
                for (failure_share, _), calls in zip(recent, cumulative_calls, strict=True)
                if 2 * calls >= cumulative_calls[-1]
            ),
            0.0,
        )

    def on_probe_finished(self, now, event):
        """Counts a probe as evidence unless the task is ejected; of a slow task only the outcome "error"."""
        task = self.tasks.get(event.task)
        if task is None or event.outcome in ("full", "other") or now - event.elapsed < task.ramp_from:
            return  # these outcomes say nothing about the task, or the probe started before its restart
        self.registry.observe(task)
        ok = event.outcome == "ok"
        task.in_flight = max(0.0, event.load.get("in_hand", task.in_flight))
        task.probe_successes = task.probe_successes + 1 if ok else 0
        task.unlisted = task.unlisted and not ok  # the list dropped it, but it answers
        if not task.ejected and not (task.slow and event.outcome != "error"):
            usual_share = self.failing_probe_share() * (event.outcome not in NOTHING_LISTENS)
            task.fault_evidence = update_evidence(task.fault_evidence, int(not ok), int(ok), usual_share)
        task.last_probe = event.outcome
        record_outcome(now, task, event.outcome)

    def on_task_connection_lost(self, now, event):
        """Probes the task at once, as its process may have ended; at most once in a probe interval, since a
        task may close idle connections."""
        task = self.tasks.get(event.task)
        if task and task.probe_scheduled and now - task.connection_probed_at >= PROBE_INTERVAL_TENTHS_MS:
            task.connection_probed_at = now
            self.schedule(now, Brain.send_probe, task)

    def on_route_report(self, now, event):
        self.route_calls[event.route] = self.route_calls.get(event.route, 0) + event.calls

    HANDLERS = {
        gp.TaskListReceived: on_task_list_received,
        gp.ProxyJoined: on_proxy_joined,
        gp.ProxyLeft: on_proxy_left,
        gp.OrdersApplied: on_orders_applied,
        gp.OrdersLost: on_orders_lost,
        gp.ChannelStateUnknown: on_channel_state_unknown,
        gp.TaskReport: on_task_report,
        gp.RouteReport: on_route_report,
        gp.ProbeFinished: on_probe_finished,
        gp.TaskConnectionLost: on_task_connection_lost,
        gp.TimerExpired: lambda *_: None,
    }

    def probe(self, now, task, orders):
        """Probes a task and schedules its next probe, while it is one of own_tasks."""
        task.probe_scheduled = self.tasks.get(task.id) is task and task.id in self.own_ids
        if task.probe_scheduled:
            self.send_probe(now, task, orders)
            suspected = task.ejected or task.fault_evidence > EJECTION_EVIDENCE / 3
            self.schedule(
                now + (SUSPECT_PROBE_INTERVAL_TENTHS_MS if suspected else PROBE_INTERVAL_TENTHS_MS),
                Brain.probe,
                task,
            )

    def probe_first(self, now, task, orders):
        """Probes a task that has just been listed, and spreads later probes over the interval."""
        self.send_probe(now, task, orders)
        self.schedule(now + int(self.uniform(0, PROBE_INTERVAL_TENTHS_MS)), Brain.probe, task)

    def send_probe(self, _, task, orders):
        """Probes a task once."""
        orders.append(gp.SendProbe(task.id, self.probe_timeout))

    def update_shares(self, tasks):
        """Adjusts the shares of the tasks; the weights that follow are not in effect yet."""
        self.effective_at["weights"] = 0
        self.awaited.pop("weights", None)
        proxies = self.channel_proxies.values()
        adjust_shares(tasks, any(not (p.bound or p.has_only_default_table) for p in proxies))

    def update_levels(self, tries, failures, latency_sum):
        """Sets how much of each route is admitted where capacity is short, cutting the routes of the least
        importance for their work first. A call's work is estimated by its SLO time."""
        slo = statistics.fmean(r.slo_time for r in self.parameters.routes)
        late = latency_sum / max(tries - failures, 1) > LATE_SLO_RATIO * slo or (
            self.usual_failure_share > NO_RETRY_FAILURE_SHARE
        )
        pressure = self.busy_share() / TARGET_BUSY_SHARE
        if late:
            # Never admit more: where cores are idle, the tasks wait for something that they share.
            pressure = max(pressure * LATE_PRESSURE_RATIO, self.backlog(), 1.0)
        self.admitted_share = min(
            self.admitted_share
            * min(max(1 / max(pressure, 0.1), MAX_ADMISSION_DECREASE_RATIO), MAX_ADMISSION_INCREASE_RATIO),
            1.0,
        )
        work = {
            number: max(self.route_calls.get(number, 1), 1) * route.slo_time
            for number, route in enumerate(self.parameters.routes)
        }
        cut = 1 - self.admitted_share  # the share of all work that is still to be cut
        total_work = sum(work.values())
        for number in sorted(
            work, key=lambda k: self.parameters.routes[k].importance / self.parameters.routes[k].slo_time
        ):
            route_cut = min(cut * total_work / work[number], 1 - MIN_ROUTE_LEVEL)
            cut -= route_cut * work[number] / total_work
            self.route_levels[number] = round(1 - route_cut, 2)
        self.route_calls = {}

    def eject_and_readmit(self, now, observed):
        """Ejects tasks that the test takes for faulty, the worst first; readmits those that have recovered.

        The limit on ejections exempts tasks where nothing listens any more, as calls fail there without an
        overload, and those that the list has dropped.
        """
        exempt = [
            task
            for task in observed
            if task.last_probe in NOTHING_LISTENS and task.reported_at > task.succeeded_at
        ]
        exempt = exempt * (len(exempt) <= MAX_UNREACHABLE_SHARE * len(self.ready())) + [
            task for task in observed if task.unlisted
        ]
        for task in observed:
            task.on_probation = task.on_probation and task.fault_evidence > 0
            if (
                task.ejected
                and now >= task.ejected_until
                and not may_have_restarted(now, task)
                and (task.probe_successes >= 2 or not self.parameters.probes_allowed)
            ):
                task.readmit(EJECTION_EVIDENCE / 2)
                self.log_messages.append(f"{task.id} is let back on trial")
        ejected = sum(
            task.share
            for task in self.own_tasks
            if (task.ejected or task.on_probation) and task not in exempt
        )
        limit = MAX_EJECTED_SHARE * self.health() * sum(task.share for task in self.own_tasks)
        for task in sorted(observed, key=lambda task: -task.fault_evidence):
            if (
                not task.ejected
                and task.fault_evidence >= EJECTION_EVIDENCE
                and (task in exempt or ejected + task.share <= limit)
            ):
                ejected += task.share * (task not in exempt)
                task.ejected_until = now + min(
                    MIN_EJECTION_PERIODS * 2**task.ejections, MAX_EJECTION_PERIODS
                ) * self.parameters.report_period * (task not in exempt)
                task.ejected = True
                task.probe_successes = 0
                task.ejections = task.ejections + (task not in exempt)
                self.log_messages.append(f"{task.id} is taken out: it fails calls that others answer")

    def health(self):
        """1 while few tasks fail, down to 0 in an overload: where the median call meets a failure share of a
        third, many tasks fail their probes, calls pile up or all cores are busy."""
        overload = max(
            3 * (self.failing_probe_share() - SINGLE_FAULT_SHARE),
            self.backlog() - 1,
            (self.busy_share() - OVERLOAD_BUSY_SHARE) / (1 - OVERLOAD_BUSY_SHARE),
        )
        return min(max(0.0, 1 - max(3 * self.usual_failure_share, overload)), 1.0)

    def backlog(self):
        """The calls in flight at the median task, as a ratio to BACKLOG_RATIO times the usual ones."""
        return (
            statistics.median([t.in_flight for t in self.own_tasks] or [0.0])
            / self.usual_in_flight
            / BACKLOG_RATIO
        )

    def failing_probe_share(self):
        return statistics.fmean([t.last_probe != "ok" for t in self.own_tasks if not t.ejected] or [0.0])

    def busy_share(self):
        return statistics.fmean(
            [t.busy_share for t in self.observed() if t.busy_share and not t.ejected] or [0.0]
        )

    def wanted_lines(self, now):
        """The lines that the tables should hold: table -> task -> weight, the average share being 1."""
        ready = self.ready()
        self.max_ready_tasks = max(self.max_ready_tasks, len(ready))
        self.own_tasks = self.select_own_part(now, ready)
        self.own_ids = frozenset(t.id for t in self.own_tasks)
        for task in [t for t in self.own_tasks if self.parameters.probes_allowed and not t.probe_scheduled]:
            task.probe_scheduled = True
            delay = int(self.uniform(0, FIRST_PROBE_SPREAD_TENTHS_MS))
            self.schedule(now + delay, Brain.probe_first, task)
        assigned = self.assign_to_tables(now, self.own_tasks)
        lines = {table: self.table_lines(now, tasks) for table, tasks in assigned.items()}
        # A table without a warm task holds those of another one: its proxies have nobody else to call.
        most_lines = max(lines.values(), key=len)
        return {table: own_lines or dict(most_lines) for table, own_lines in lines.items()}

    def assign_to_tables(self, now, own_tasks):
        """The tasks of each table: of one, or of as many smaller ones as are needed to bind all proxies in
        time. A table with few warm and not ejected tasks for its calls gets some from the table that has the
        most."""
        parameters = self.parameters
        proxies = max(len(self.channel_proxies), self.parameters.proxies / self.parameters.assigners)
        max_lines = (
            MAX_BIND_ALL_S * parameters.channel_lines / proxies
            - parameters.message_overhead_lines
            - 2
            - len(parameters.routes)
        )
        while len(self.tables) < math.ceil(len(own_tasks) / max(max_lines, MIN_TABLE_LINES)):
            self.tables.append(self.new_table(self.tables[-1].number % 60_000 + 1))
        assigned = {table: [] for table in self.tables}
        for task in sorted(own_tasks, key=lambda task: task.table not in assigned):  # the new ones last
            if task.table not in assigned:
                task.table = min(assigned, key=lambda table: len(assigned[table]))
            assigned[task.table].append(task)
        healthy = {
            table: [task for task in tasks if task.warm(now) and not task.ejected]
            for table, tasks in assigned.items()
        }
        expected = self.call_rate / len(self.tables) / 4 + 0.1  # calls a second that any table may still get
        strength = {table: len(healthy[table]) / (table.call_rate + expected) for table in healthy}
        for weak in self.tables if len(self.tables) > 1 else ():
            strong = max(strength, key=strength.get)
            few = len(healthy[weak]) < MIN_WARM_LINES
            interval = 0 if few and not weak.channel_proxies else PUSH_INTERVALS_TENTHS_MS[1 if few else 2]
            needed = few or (
                2 * strength[weak] < strength[strong]
                and self.channel.queue <= PUSH_START_QUEUE_S[2] * parameters.channel_lines
            )
            if needed and now - self.rebalanced_at >= interval:
                self.rebalanced_at = now if weak.channel_proxies else self.rebalanced_at
                for task in healthy[strong][
                    len(healthy[strong]) - min(MIN_TABLE_LINES, len(healthy[strong]) // 2) :
                ]:
                    task.table = weak
                    for tasks in assigned, healthy:
                        tasks[strong].remove(task)
                        tasks[weak].append(task)
                strength |= {
                    table: len(healthy[table]) / (table.call_rate + expected) for table in (weak, strong)
                }
        return assigned

    def table_lines(self, now, assigned):
        """A table's lines: task -> weight.

        A cold task has none: proxies send all of their calls to what they do not avoid, whatever its weight.
        Nor has one whose process has ended, as the next one is cold before the list tells of it.
        """
        warm = [task for task in assigned if task.warm(now)]
        healthy = [task for task in warm if not task.ejected]
        settled = [
            task
            for task in healthy
            if not process_ended(now, task)
            and (task.id in task.table.weights or not may_have_restarted(now, task))
        ]
        # Where nothing else is left the lines that stand stay; new ones would meet processes that have just
        # started. A failing task is better than none: keep the least suspect.
        standing = [task for task in healthy if task.id in task.table.weights]
        least_suspect = sorted(warm, key=lambda task: task.fault_evidence)[:1]
        tasks = settled or standing or least_suspect
        return {
            task.id: min(task.share, PROBATION_SHARE_RATIO) if task.on_probation else task.share
            for task in tasks
        }

    def select_own_part(self, now, ready):
        """The ready tasks that this assigner orders: all of them, or only a part if binding its proxies to
        tables with all of them would exceed the queue limit or take the channel longer than MAX_BIND_ALL_S.

        The part is as large as the share of the proxies that are joined, and with several tables it never
        shrinks. Assigners cut it from the same circular order, each from its own place.
        """
        parameters = self.parameters
        even_share = 1 / self.parameters.assigners
        own_share = len(self.channel_proxies) / self.parameters.proxies
        self.own_part_share = own_share = max(
            own_share, even_share, self.own_part_share * (len(self.tables) > 1)
        )
        # Lines that it costs to bind an even share of all proxies to tables of all tasks
        bind_all_lines = (
            parameters.proxies * even_share * (self.max_ready_tasks + parameters.message_overhead_lines)
        )
        if (
            bind_all_lines <= min(parameters.queue_limit, MAX_BIND_ALL_S * parameters.channel_lines)
            or own_share >= 1
        ):
            return ready
        if self.task_order[0] is not ready:
            by_id = sorted(ready, key=lambda t: t.id)
            offset = round(len(ready) * parameters.rank / parameters.assigners)
            own_zone_first = parameters.join_own_zone and parameters.assigners >= parameters.zones
            self.task_order = (
                ready,
                sorted(
                    by_id[offset:] + by_id[:offset],
                    key=lambda t: own_zone_first and t.zone != parameters.zone,
                ),
            )
        own_part = self.task_order[1][: math.ceil(len(ready) * own_share)]
        return own_part if any(t.warm(now) and not t.ejected for t in own_part) else ready

    def emit(self, now, orders):
        """The one place where the wanted and the present state are compared and the difference is ordered:
        lines and levels of the tables, then binds, then withdrawals for proxies that wait for their bind."""
        self.channel.update(now)
        wanted = self.wanted_lines(now)
        joining, keeping = self.waiting_proxies(now)
        admissions = self.wanted_admissions()
        self.channel.begin_batch()
        batch = Batch()
        for table in sorted(self.tables, key=lambda t: t.pushed_at[2]):
            self.push_table(now, table, wanted[table], admissions, joining, batch, orders)
        # What waits for the channel goes before binds and withdrawals, as these tell nothing of it; for the
        # message cap it may wait longer than they can.
        capped = any(self.push_blocked(now, 0, table) for table in self.tables)
        self.log_capped_removals(capped and batch.urgent_changes_wait)
        if batch.urgent_changes_wait:
            self.verify_doubtful_batch(now, admissions, joining, batch, orders)
        ask_all = False
        if capped or not batch.urgent_changes_wait:
            self.bind_joining(now, wanted, admissions, joining, batch, orders)
            waiting = [proxy for proxy in joining + keeping if not proxy.external]
            ask_all = bool(waiting) and self.withdraw_departed(now, waiting, bool(keeping), orders)
        if self.channel.end_batch(batch.first_reached):
            orders.append(gp.RequestAcknowledgement(self.channel.mark, ask_all))
        self.await_acknowledgements(now, batch)

    def log_capped_removals(self, capped):
        """Logs when removals of urgency 0 begin and cease to wait for the message cap."""
        if capped != self.removals_capped:
            self.removals_capped = capped
            text = "wait" if capped else "no longer wait"
            self.log_messages.append(f"removals {text} for the message cap")

    def waiting_proxies(self, now):
        """The unbound proxies: those to be bound, late ones first, then those with most calls; and those that
        keep tables ordered before this start for a while."""
        late_before = self.late_before(now)
        waiting = sorted(
            self.unbound_proxies.values(),
            key=lambda proxy: (proxy.joined_at > late_before, -proxy.call_rate, proxy.id),
        )
        if not self.keeps_inherited_tables(now):
            return waiting, []
        keeping = [proxy for proxy in waiting if not proxy.has_only_default_table]
        return [proxy for proxy in waiting if proxy.has_only_default_table], keeping

    def late_before(self, now):
        """A proxy that has waited since before this time may well hold lines of tasks that left."""
        return now - LATE_BIND_GRACE_SHARE * self.parameters.drain_grace_period

    def wanted_admissions(self):
        """Route -> its level and retry mode."""
        # Tries follow on proof that the call was not carried out, so that nothing is done twice; none follow
        # while most tasks fail, as they would feed the overload.
        self.retries_stopped = self.usual_failure_share > (
            NO_RETRY_FAILURE_SHARE / 2 if self.retries_stopped else NO_RETRY_FAILURE_SHARE
        )
        retry_mode = "none" if self.retries_stopped else "on proof"
        return {
            k: (self.route_levels.get(k, self.open_level), retry_mode)
            for k in range(len(self.parameters.routes))
        }

    def push_table(self, now, table, lines, admissions, joining, batch, orders):
        """Orders the lines and admissions of a table that differ, as far as pace and channel allow."""
        sent, changes = self.push_lines(now, table, lines, joining, orders)
        changed_routes = [k for k in admissions if admissions[k] != table.admissions.get(k)]
        # They join the message of the lines; alone they count as changes of urgency 1.
        if not sent and not self.fitting_changes(now, [(1,)] * len(changed_routes), table):
            changed_routes = []
        if changed_routes:
            self.order_admissions(table, changed_routes, admissions, batch, orders)
        if sent or changed_routes:
            line_count = sent + len(changed_routes)
            cost = self.channel.record_messages(now, line_count, table.channel_proxies.values())
            self.channel.note_shortest_message(cost)
            batch.reached += table.channel_proxies.values()
            # Those whose bind is in doubt may not be reached.
            bound = frozenset(number for number, proxy in table.channel_proxies.items() if proxy.bound)
            batch.first_reached = batch.first_reached or bound
        batch.all_changes_sent = batch.all_changes_sent and sent == len(changes)
        if sent < len(changes) and changes[sent][0] == 0:
            batch.urgent_changes_wait = True

    def order_admissions(self, table, changed_routes, admissions, batch, orders):
        """Orders the levels and retry modes of routes in a table."""
        # False where everything is admitted and the order only restates one that may be lost, or is the
        # first of a table while the proxies' default retry mode is unknown
        changes_admission = self.admitted_share < 1 or (
            table.admissions and (table.admissions_ordered or self.parameters.default_retry_mode)
        )
        for admission in sorted({admissions[k] for k in changed_routes}):
            routes = tuple(k for k in changed_routes if admissions[k] == admission)
            orders.append(gp.SetAdmission(table.number, routes, *admission))
            table.admissions_ordered = True
            if changes_admission and not batch.admission_changed:
                share = admission[0] / self.open_level
                self.log_messages.append(
                    f"routes {routes} are let in at {share:.0%}, tried again {admission[1]}"
                )
        table.admissions = admissions
        batch.admission_changed = batch.admission_changed or bool(changes_admission)

    def bind_joining(self, now, wanted, admissions, joining, batch, orders):
        """Binds proxies, the first ones, as far as channel and message cap allow, and removes them from
        `joining`."""
        queue_limit, channel_lines = self.parameters.queue_limit, self.parameters.channel_lines
        most_queued = min(BIND_QUEUE_SHARES[0] * queue_limit, BIND_MAX_QUEUE_S * channel_lines)
        most_queued_late = BIND_QUEUE_SHARES[1] * queue_limit
        late_before = self.late_before(now)
        total_weight = {t: sum(lines.values()) for t, lines in wanted.items()}
        for proxy in [p for p in joining if not self.channel.message_cap_reached(now, p)]:
            table = max(self.tables, key=lambda t: total_weight[t] / (t.call_rate + proxy.call_rate))
            line_count = self.bind_line_count(table, admissions)
            # The higher limit applies only while nothing urgent waits, so that binds never take its room.
            late = proxy.joined_at <= late_before and not batch.urgent_changes_wait
            if self.queue_with_message(line_count) > (most_queued_late if late else most_queued):
                break
            self.order_bind(now, proxy, table, line_count, batch, orders)
            joining.remove(proxy)

    def bind_line_count(self, table, admissions):
        """The lines that a bind to a table costs, without the overhead of its message."""
        return len(table.weights) + len(admissions) * table.admissions_ordered + 1

    def queue_with_message(self, line_count):
        """The estimated queue behind one more message of so many lines."""
        return self.channel.queue + self.channel.message_cost(line_count)

    def order_bind(self, now, proxy, table, line_count, batch, orders):
        """Orders a bind and records its message."""
        orders.append(gp.BindProxy(proxy.id, table.number))
        self.bind(proxy, True, table)
        self.channel.note_shortest_message(self.channel.record_messages(now, line_count, [proxy]))
        if not proxy.external:
            batch.reached.append(proxy)
            batch.first_reached = batch.first_reached or frozenset((proxy.id,))

    def verify_doubtful_batch(self, now, admissions, joining, batch, orders):
        """Binds one proxy anew while urgent changes wait and a batch is in doubt.

        What the batch may have left in the channel holds them back; nothing but an acknowledgement of a later
        message tells whether it was written."""
        proxy = self.find_verifying_proxy(now)
        if proxy is None:
            return
        line_count = self.bind_line_count(proxy.table, admissions)
        if self.queue_with_message(line_count) > PUSH_QUEUE_SHARES[0] * self.parameters.queue_limit:
            return
        self.order_bind(now, proxy, proxy.table, line_count, batch, orders)
        self.verification = proxy.id, self.channel.next_mark()
        if proxy in joining:
            joining.remove(proxy)

    def find_verifying_proxy(self, now):
        """A proxy whose next acknowledgement settles the latest doubt, the one with the fewest messages.

        None where no batch is in doubt or such an acknowledgement is on its way."""
        number, mark = self.verification
        asked = self.channel_proxies.get(number)
        if asked and asked.owes_acknowledgement(mark) and mark not in asked.in_doubt:
            return None
        if (doubt := self.channel.latest_doubt()) is None:
            return None
        mark, batch = doubt
        reached = (self.channel_proxies.get(number) for number in sorted(batch.first_reached))
        candidates = [
            proxy
            for proxy in reached
            if proxy
            and proxy.table
            and proxy.owes_acknowledgement(mark)
            and not self.channel.message_cap_reached(now, proxy)
        ]
        return min(candidates, key=lambda proxy: len(proxy.message_times), default=None)

    def await_acknowledgements(self, now, batch):
        """Waits for the proxies that a batch reaches until its levels, and its weights, are in effect."""
        if batch.admission_changed:
            self.effective_at["levels"] = 0
            self.awaited["levels"] = PushAcknowledgements().expect(batch.reached, self.channel.mark, True)
        if not self.effective_at["weights"]:
            self.awaited.setdefault("weights", PushAcknowledgements()).expect(
                batch.reached, self.channel.mark, batch.all_changes_sent
            )
        # If no change was worth sending, nothing is awaited: the last push remains, in effect from now on.
        self.confirm_pushes(now, None, self.channel.mark)

    def keeps_inherited_tables(self, now):
        """Whether proxies keep tables ordered before this start: for a while, until the first adjustment of
        shares, which a headroom shows, and only as long as few of the tasks have left, are cold or have
        turned warm since."""
        if now - self.first_join_at >= INHERITED_TABLES_TENTHS_MS or any(t.headroom for t in self.own_tasks):
            return False
        departed = sum(name in self.tasks for name in self.departed())
        changed = departed + len(self.uncallable_ready_tasks(now)) + self.count_newly_warm(now)
        return changed <= max(MAX_CHANGED_SHARE * (departed + len(self.ready())), 1)

    def count_newly_warm(self, now):
        """The number of ready tasks that turned warm so late that tables ordered before this start may have
        no line of them."""
        former_tables_at = self.first_join_at - FORMER_TABLES_AGE_TENTHS_MS
        return sum(task.warm(now) and task.warm_from() > former_tables_at for task in self.ready())

    def push_lines(self, now, table, lines, joining, orders):
        """Orders the lines of a table that differ, most urgent first, as far as pace and channel allow.

        Returns how many changes were ordered, and all changes: (urgency, sort key, task, weight). Urgency 0:
        removes a task that is no longer ready, whose process has ended or that has restarted, or adds the
        first lines of a table where none remains. 1: removes an ejected task, or adds one. 2: other changes
        of weights, and tasks that moved elsewhere.
        """
        weights = table.weights
        changes = []
        no_line_remains = not any(weight and name in lines for name, weight in weights.items())
        for name, weight in weights.items():
            if name not in lines:
                changes.append((self.removal_urgency(now, name, weight), -weight, name, 0.0))
        for name, weight in lines.items():
            old_weight = weights.get(name, 0.0)
            if not old_weight:
                changes.append((int(not no_line_remains), -weight, name, weight))
            elif old_weight == math.inf or abs(weight - old_weight) > MIN_WEIGHT_CHANGE_RATIO * old_weight:
                urgency = 2 if old_weight < math.inf else 0
                changes.append((urgency, -abs(weight - old_weight), name, weight))
        changes.sort()
        sent = self.fitting_changes(now, changes, table)
        for urgency, _, name, weight in changes[:sent]:
            table.pushed_at[urgency] = now if table.channel_proxies else table.pushed_at[urgency]
            if weight and self.withdrawn.pop(name, None) is not None:
                orders.append(gp.WithdrawTask(name, False))
                self.channel.record_messages(now, 1, joining)
            orders.append(gp.SetWeight(table.number, name, round(weight, 3)))
            table.set_weight(name, weight)
            self.changed_at[name] = self.changed_at[name] if weight else now
        return sent, changes

    def removal_urgency(self, now, name, weight):
        """The urgency of removing a line of this weight, as in push_lines.

        A line of a cold task is left over from its former life, also where the order to remove it is lost."""
        if weight == math.inf or self.lines[name].state != "ready":
            return 0
        task = self.tasks[name]
        if process_ended(now, task) or not task.warm(now):
            return 0
        return 1 if task.ejected else 2

    def withdraw_departed(self, now, waiting, keeping, orders):
        """Withdraws tasks that left or restarted from proxies that wait, if these would be bound too late.

        keeping: some of them keep tables ordered before this start on purpose. Returns whether all proxies
        must acknowledge.
        """
        if any(self.channel.message_cap_reached(now, proxy) for proxy in waiting):
            return False
        overhead = self.parameters.message_overhead_lines + 1
        bind_lines = (
            statistics.fmean(len(t.weights) for t in self.tables) + len(self.parameters.routes) + 1 + overhead
        )
        binds_end_in = max(INHERITED_TABLES_TENTHS_MS - now + self.first_join_at, 0) if keeping else 0
        binds_end_in += (
            (self.channel.queue + len(waiting) * bind_lines) / self.parameters.channel_lines * SECOND
        )
        if binds_end_in <= BIND_DEADLINE_GRACE_SHARE * self.parameters.drain_grace_period - now + min(
            p.joined_at for p in waiting
        ):
            return False
        # Lines that still fit into the message to each waiting proxy
        room = int(
            (PUSH_QUEUE_SHARES[0] * self.parameters.queue_limit - self.channel.queue) / len(waiting)
            - overhead
        )
        to_withdraw = self.tasks_to_withdraw(now, waiting, keeping)
        # If there is not enough room for all, those that left first
        to_withdraw = (
            to_withdraw if room >= len(to_withdraw) else to_withdraw[: max(room, 0)] * (room >= overhead)
        )
        if not to_withdraw or not keeping and len(to_withdraw) + overhead > bind_lines:
            return False  # where it costs more than the binds it would only delay them
        orders += [gp.WithdrawTask(name, True) for name in to_withdraw]
        self.withdrawn |= dict.fromkeys(to_withdraw, max(now, 1))
        self.channel.record_messages(now, len(to_withdraw), waiting)
        self.channel.note_shortest_message(overhead)  # of a proxy that holds none of the lines
        # A proxy that holds none of these lines gets no message and would acknowledge nothing: lines that
        # were never in the channel would count in the queue and delay the next withdrawals. So all proxies
        # are asked to acknowledge.
        others = [
            proxy for number, proxy in self.channel_proxies.items() if number not in self.unbound_proxies
        ]
        ask_all = (
            # Only if the queue and the message cap have room for that as well
            self.channel.queue + overhead * len(others) <= PUSH_QUEUE_SHARES[0] * self.parameters.queue_limit
            and not any(self.push_blocked(now, 0, table) for table in self.tables)
        )
        self.channel.record_messages(now, 0, others if ask_all else [])
        return ask_all

    def tasks_to_withdraw(self, now, waiting, keeping):
        """The names of tasks that the waiting proxies must not call, departed ones before cold ones.

        Only tasks that have no line in any table and whose line was not removed just now: otherwise the
        withdrawal would cost the bound proxies a message too. One that is repeated goes to all who wait.
        """
        departed, cold = self.departed(), self.uncallable_ready_tasks(now)
        late_before = self.late_before(now)
        if not self.without_line(now, departed, waiting, late_before):
            # Alone, cold tasks may hardly delay binds.
            lines = len(waiting) * (self.parameters.message_overhead_lines + 2)
            channel_idle = self.channel.queue + lines <= PUSH_START_QUEUE_S[1] * self.parameters.channel_lines
            if not (keeping and channel_idle and self.without_line(now, cold, waiting, late_before)):
                return []
        # The message tells proxies of the starts that this assigner knows: it has all that any of them lacks.
        since = self.changed_at.get
        return [
            *sorted(self.without_line(now, departed, waiting, now), key=since),
            *sorted(self.without_line(now, cold, waiting, now), key=since),
        ]

    def departed(self):
        """The names of tasks that no proxy may call any more."""
        # The tuple may hold "draining" twice.
        uncallable_states = ("draining", "gone" if self.parameters.dropped_counts_as_gone else "draining")
        return [name for name in self.leaving if self.lines[name].state in uncallable_states]

    def without_line(self, now, names, waiting, joined_by):
        """Those of the tasks that have no line in any table any more and are to be withdrawn, or again for
        waiting proxies that joined after the last withdrawal and up to `joined_by`."""
        withdrawn = self.withdrawn
        return [
            name
            for name in names
            if 0 < now - self.changed_at[name] < DEPARTED_LINE_TENTHS_MS
            and not any(name in table.weights for table in self.tables)
            and (
                not withdrawn.get(name)
                or any(withdrawn[name] < proxy.joined_at <= joined_by for proxy in waiting)
            )
        ]

    def uncallable_ready_tasks(self, now):
        """The names of ready tasks that are cold, or whose process has ended.

        Proxies that wait for their bind may still call them by the lines that they had when they were warm:
        an order of an earlier life, or to a stream that broke since, may never have arrived."""
        return [task.id for task in self.ready() if not task.warm(now) or process_ended(now, task)]

    def fitting_changes(self, now, changes, table):
        """How many of the sorted changes may be ordered now, by push interval, queue and message cap.

        A change is a tuple that begins with its urgency. It costs one line for each proxy that the table has
        behind the channel, so a table without any may send all. If changes of some urgency are sent, less
        urgent ones may join their message, even where the queue is too long to start a push for these alone.
        While the channel is busy, removals of urgency 0 wait a little for others to share their message.
        """
        fit = 0
        overhead = self.parameters.message_overhead_lines + 1
        proxy_count = len(table.channel_proxies)
        for urgency in range(3):
            eligible = sum(c[0] <= urgency for c in changes)
            if eligible <= fit or self.push_blocked(now, urgency, table):
                continue
            if urgency and changes[eligible - 1][0] == 0:  # the pace of others does not start urgent ones
                continue
            fit = fit if proxy_count else eligible
            if proxy_count and (
                fit
                or self.channel.queue <= PUSH_START_QUEUE_S[urgency] * self.parameters.channel_lines
                or urgency == 0
                and self.cannot_wait(now, changes[:eligible])
            ):
                room = self.message_room(urgency, proxy_count)
                # If not all fit, as many as do; of urgency 0 and 1 only if these are no fewer lines than the
                # overhead of the message, as the overheads would otherwise fill the channel.
                fit = eligible if room >= eligible else max(fit, room * (room >= overhead or urgency == 2))
        return fit

    def message_room(self, urgency, proxy_count):
        """The lines that fit into a message to each of so many proxies in a push of an urgency.

        Where not even one fits into what pushes of this urgency may use, an empty channel has room for more:
        such a push would never be sent.
        """
        limit, overhead = self.parameters.queue_limit, self.parameters.message_overhead_lines + 1
        most_queued = PUSH_QUEUE_SHARES[urgency] * limit
        if urgency:
            most_queued = min(most_queued, PUSH_MAX_QUEUE_S * self.parameters.channel_lines)
        if not self.channel.queue and most_queued < proxy_count * (overhead + 1):
            # Changed admissions may join the message.
            most_queued = PUSH_QUEUE_SHARES[0] * limit - proxy_count * len(self.parameters.routes)
        return int((most_queued - self.channel.queue) / proxy_count - overhead)

    def cannot_wait(self, now, changes):
        """Whether changes of urgency 0 include a table's first lines, or a removal that has waited long."""
        heard_by = now - MAX_URGENT_WAIT_GRACE_SHARE * self.parameters.drain_grace_period
        return any(weight or self.removal_due_at(name) <= heard_by for _, _, name, weight in changes)

    def removal_due_at(self, name):
        """When it was heard that a task's line has to go."""
        task = self.tasks.get(name)
        refused_since = task.refused_since if task else -math.inf
        return max(self.changed_at[name], refused_since)

    def push_blocked(self, now, urgency, table):
        """Whether a push of this urgency to a table is too soon after the last, or near the message cap."""
        cap = self.parameters.message_cap
        since = self.channel.message_cap_since(now)
        capped = cap and any(
            p.messages_since(since) >= MESSAGE_CAP_SHARES[urgency] * cap - 1
            for p in table.channel_proxies.values()
        )
        return capped or now - table.pushed_at[urgency] < PUSH_INTERVALS_TENTHS_MS[urgency]
