"""Assigners in process: a Brain for each life, on the fleet's virtual clock."""

from benchmarks.faults import settings
from benchmarks.faults.fleet import AssignerLink
from garnetpaddle import boot
from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.net import order_codec
from garnetpaddle.net.order_sender import BACKOFF, RESPONSE_TIMEOUT, TRIAL_INTERVAL
from garnetpaddle.rehearsal.model import tenths_of_ms

EPOCH = 10**9  # the Brain's time at the start, not 0: a start time of 0 means long ago
BATCH_WINDOW = 50  # 5 ms: events within it form one batch
STARTUP_TIME = 1_500  # 0.15 s from the start of a process to its first answer
ORDER_DELAY = 20  # 2 ms until orders are with the relay
# Until the assigner's sender takes a broken call for unanswered
ANSWER_WAIT = {"break": 0, "silent": tenths_of_ms(RESPONSE_TIMEOUT), "unreadable": 0}
CONNECTION_LOSS_DELAY = 10  # 1 ms until an assigner hears that a task's connections have ended
SEEDS_PER_DAY = 1_000


class BrainLink(AssignerLink):
    """An assigner in process."""

    def __init__(self, fleet, rank):
        super().__init__(fleet, rank)
        self.brain, self.pending, self.batch_scheduled = None, [], False
        self.calls_behind = None  # the batches of orders behind a broken call, if there is one
        self.marks = order_codec.MarkTranslator(0)
        self.consecutive_failures = 0  # of calls

    def start(self):
        self.fleet.scheduler.call_later(STARTUP_TIME, self.begin_life, self.life)

    def begin_life(self, life):
        if life != self.life or self.up:
            return
        parameters = boot.derive_parameters(settings.decode(settings.settings(self.fleet.day, self.rank)))
        seed = (self.fleet.day.seed * len(self.fleet.links) + self.rank) * SEEDS_PER_DAY + self.life
        self.brain, self.pending, self.calls_behind = Brain(parameters, seed), [], None
        self.marks, self.consecutive_failures = order_codec.MarkTranslator(0), 0
        lines = tuple(self.task_line(entry) for entry in self.told.values())
        self.queue(gp.TaskListReceived("stale", lines))
        self.on_up()

    def stop(self, signal):
        self.brain, self.pending = None, []

    def task_line(self, entry):
        """A listed task as the Brain's event has it."""
        spec = self.fleet.nodes[entry.name]
        started_at = 0 if entry.started_at is None else EPOCH + entry.started_at
        return gp.TaskLine(entry.name, spec.zone, 0, entry.state, 1.0, started_at, spec.kind.name)

    def tell_list(self, entries):
        self.queue(gp.TaskListReceived("changes", tuple(self.task_line(entry) for entry in entries)))

    def tell_connection_lost(self, name):
        event = gp.TaskConnectionLost(name)
        self.fleet.scheduler.call_later(CONNECTION_LOSS_DELAY, self.queue_for_life, self.life, event)

    def tell_joined(self, proxy, call_rate):
        self.queue(gp.ProxyJoined(proxy.number, call_rate, not proxy.has_table, proxy.zone))

    def tell_left(self, number):
        self.queue(gp.ProxyLeft(number))

    def tell_reports(self, task_reports, route_reports):
        for task, zone, sums, span in task_reports:
            self.queue(gp.TaskReport(task, zone, sums.tries, sums.failures, sums.mean(), span, {}))
        for proxy, route, counts, span in route_reports:
            self.queue(gp.RouteReport(proxy, route, counts.calls, counts.unanswered, span))

    def on_orders_applied(self, number, mark, elapsed):
        event = gp.OrdersApplied(number, mark, elapsed)
        _ = self.marks.from_wire(event)
        self.queue(event)

    def queue(self, event):
        """Queues an event for the next batch."""
        if self.brain is None:
            return
        self.pending.append(event)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.fleet.scheduler.call_later(BATCH_WINDOW, self.run_batch)

    def queue_for_life(self, life, event):
        if life == self.life:
            self.queue(event)

    def run_batch(self):
        """Passes the queued events to the Brain and carries out its orders."""
        self.batch_scheduled = False
        if self.brain is None:
            return
        scheduler = self.fleet.scheduler
        events, self.pending = self.pending, []
        relay_orders = []
        for order in self.brain.handle(EPOCH + scheduler.now, events):
            match order:
                case gp.SetTimer():
                    expired = gp.TimerExpired(order.key)
                    scheduler.call_at(order.at - EPOCH, self.queue_for_life, self.life, expired)
                case gp.LogMessage():
                    self.fleet.note(f"n{self.rank + 1}: {order.text}")
                case gp.SendProbe():
                    self.probe(order)
                case gp.SubscribeTaskList():
                    pass
                case _:
                    relay_orders.append(order)
        if relay_orders:
            scheduler.call_later(ORDER_DELAY, self.execute, self.life, relay_orders)

    def execute(self, life, orders):
        """The relay carries out orders, up to the first that names a proxy which is not joined."""
        if life != self.life:
            return
        if self.calls_behind is not None:
            self.calls_behind.append(orders)
            return
        for order in orders:
            if isinstance(order, gp.RequestAcknowledgement):
                _ = self.marks.to_wire(order.mark)
        if broken := self.break_call():
            self.calls_behind = []
            backoff = BACKOFF[min(self.consecutive_failures, len(BACKOFF) - 1)]
            self.consecutive_failures += 1
            self.try_relay_later(broken, backoff, life, orders)
        else:
            self.consecutive_failures = 0
        if broken is None or broken.executed:
            self.apply(orders)

    def try_relay_later(self, broken, pause, life, orders):
        """Tries the relay after a broken call and a pause in seconds."""
        delay = ANSWER_WAIT[broken.kind] + tenths_of_ms(pause)
        self.fleet.scheduler.call_later(delay, self.try_relay, life, orders)

    def try_relay(self, life, orders):
        """The sender tries the relay with a call that changes nothing, until one is answered."""
        if life != self.life:
            return
        if broken := self.break_call():
            self.try_relay_later(broken, TRIAL_INTERVAL, life, orders)
        else:
            self.report_broken_call(orders)

    def report_broken_call(self, orders):
        """The sender reports a broken call as in doubt, but for what proxies have acknowledged, and all
        behind it as not sent."""
        behind, self.calls_behind = self.calls_behind, None
        request = sorted(orders, key=lambda order: not isinstance(order, gp.RequestAcknowledgement))
        encoded = [order_codec.EncodedOrder(order, "") for order in request]
        in_doubt = tuple(lost.order for lost in order_codec.unconfirmed_orders(encoded, self.marks))
        if in_doubt:
            self.queue(gp.OrdersLost(in_doubt, True))
        for batch in behind:
            self.queue(gp.OrdersLost(tuple(batch), False))

    def apply(self, orders):
        """Carries out a call's orders."""
        taken = next(
            (
                k
                for k, order in enumerate(orders)
                if isinstance(order, gp.BindProxy) and order.proxy not in self.members
            ),
            len(orders),
        )
        self.channel.send(orders[:taken])
        if taken < len(orders):
            self.queue(gp.OrdersLost(tuple(orders[taken : taken + 1]), False))
            self.apply(orders[taken + 1 :])

    def probe(self, order):
        """Probes a node; the outcome depends on its faults."""
        node, life = self.fleet.nodes[order.task], self.life
        if not node.up:
            outcome, elapsed = ("timeout", order.timeout) if node.failed_cold else ("refused", 20)
        elif node.silent or node.paused:
            outcome, elapsed = "timeout", order.timeout
        elif node.errors and node.random.random() < max(node.errors.values()):
            outcome, elapsed = "error", 20
        else:
            outcome, elapsed = "ok", 20
        event = gp.ProbeFinished(order.task, elapsed, outcome, {})
        self.fleet.scheduler.call_later(elapsed, self.queue_for_life, life, event)


def play(day):
    """Plays a day on virtual time; returns the finished FleetModel."""
    from benchmarks.faults.fleet import FleetModel

    fleet = FleetModel(day, BrainLink)
    fleet.prepare()
    fleet.scheduler.run(fleet.end())
    return fleet
