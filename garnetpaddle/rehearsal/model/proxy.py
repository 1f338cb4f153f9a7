"""A proxy and its calls: it picks nodes by table weight, avoids nodes after consecutive failures, and retries
once if the first try provably never ran."""

from dataclasses import dataclass, field

from garnetpaddle.rehearsal.model.weighted_round_robin import WeightedRoundRobin

TENTHS_OF_MS_PER_SECOND = 10_000


@dataclass(eq=False, slots=True)
class Call:
    """A client's call. work: core seconds at speed 1; try_started_at: of the client's present try."""

    number: int
    route: int
    work: float
    try_started_at: int
    deadline: int  # when the client gives up
    mutating: bool
    tries: int = 0  # by the proxy, within the client's present try
    first_called_at: int = 0  # start of the client's first try
    executions: dict = field(default_factory=dict)  # try_started_at -> how often nodes began its work
    ended: bool = False


@dataclass(slots=True)
class TrySums:
    """Tries at one node since the last report. elapsed: sum over the answered ones."""

    tries: int = 0
    failures: int = 0
    elapsed: int = 0

    def mean(self):
        """Mean latency of the answers; 0 without any."""
        answers = self.tries - self.failures
        return self.elapsed / answers if answers else 0.0


@dataclass(slots=True)
class RouteCounts:
    """Calls of one route since the last report."""

    calls: int = 0
    unanswered: int = 0


class Attempt:
    """One try of a call at a node, pending until it is answered or its client gives up."""

    __slots__ = ("proxy", "call", "node", "retries", "began", "client_try_started_at", "pending", "job")

    def __init__(self, proxy, call, node, retries):
        self.proxy, self.call, self.node, self.retries = proxy, call, node, retries
        self.began, self.client_try_started_at, self.pending, self.job = (
            proxy.scheduler.now,
            call.try_started_at,
            True,
            None,
        )

    def complete(self, outcome):
        """Handles the node's answer: "ok", "failed" or "refused"."""
        if not self.pending:
            return
        self.pending = False
        proxy, call = self.proxy, self.call
        now = proxy.scheduler.now
        proxy.record_attempt(self.node.name, outcome, now - self.began)
        may_retry = outcome == "refused" and self.retries != "none" and call.tries == 1
        if (
            may_retry
            and call.try_started_at == self.client_try_started_at
            and not call.ended
            and now < call.deadline
        ):
            proxy.send(call, self.retries, self.node.name)
        elif call.try_started_at == self.client_try_started_at:
            proxy.end_call(call, outcome)

    def time_out(self):
        """Ends the try when the call's time limit is over."""
        if not self.pending:
            return
        self.pending = False
        if self.job:
            self.node.cancel(self.job)
        self.proxy.record_attempt(self.node.name, "late", self.proxy.scheduler.now - self.began)
        if self.call.try_started_at == self.client_try_started_at:
            self.proxy.end_call(self.call, "late")


class Proxy:
    """nodes: name -> Node, of the whole simulation. on_try_ended(call, outcome): called when a try of the
    client ends as "ok", "failed", "refused" or "late". policy: (call, excluded) -> name; None: the table."""

    def __init__(self, scheduler, number, zone, nodes, delays, on_try_ended, rules, policy=None):
        self.scheduler, self.number, self.zone, self.nodes = scheduler, number, zone, nodes
        self.delays, self.on_try_ended, self.rules, self.policy = delays, on_try_ended, rules, policy
        self.random = scheduler.random_stream(f"proxy {number}")
        self.lines, self.withdrawn = WeightedRoundRobin(self.random), {}
        self.levels = {}  # route -> (level, tries)
        self.joined, self.joined_at, self.has_table = False, 0, False
        self.consecutive_failures, self.avoided_until = {}, {}
        self.try_sums, self.route_counts, self.reported_loads = {}, {}, {}

    # Routing table

    def replace_table(self, lines, levels, withdrawn):
        """Replaces the table, its levels and withdrawn tasks, after a bind."""
        self.levels, self.has_table = dict(levels), True
        self.withdrawn = dict.fromkeys(withdrawn, True)
        self.replace_lines(lines)

    def replace_lines(self, lines):
        """Replaces all lines. lines: task -> weight."""
        self.lines.clear()
        for task, weight in lines.items():
            self.lines.set(task, weight)

    def set_line(self, task, weight):
        """Sets the weight of one line; 0 removes it."""
        self.lines.set(task, weight)

    def has_usable_line(self):
        """Whether any node in the table may be sent to; avoided nodes count."""
        return any(name not in self.withdrawn for name in self.lines.weights)

    def pick(self, excluded=None):
        """Picks a node by weight among those not avoided, or among all if every one is avoided."""
        now, avoided, withdrawn = self.scheduler.now, self.avoided_until, self.withdrawn
        name = self.lines.pick(lambda k: k == excluded or k in withdrawn or avoided.get(k, 0) > now)
        return name or self.lines.pick(lambda k: k == excluded or k in withdrawn)

    # Calls

    def handle_call(self, call):
        """Handles a client's try: refuses it by the admission level, or sends it."""
        self.route_counts.setdefault(call.route, RouteCounts()).calls += 1
        level, retries = self.levels.get(call.route, (1.0, "on proof"))
        if level < 1 and self.random.random() >= level:
            return self.on_try_ended(call, "refused")
        call.tries = 0
        return self.send(call, retries, None)

    def send(self, call, retries, excluded):
        """Sends a call to a node other than the excluded one; refuses it if there is none."""
        name = self.policy(call, excluded) if self.policy else self.pick(excluded)
        if name is None:
            self.route_counts[call.route].unanswered += 1
            return self.on_try_ended(call, "refused")
        call.tries += 1
        node = self.nodes[name]
        self.rules.record_send(self, name)
        attempt = Attempt(self, call, node, retries)
        self.scheduler.call_at(call.deadline, attempt.time_out)
        if not node.up and node.failed_cold:
            wait = int(self.delays.connect * TENTHS_OF_MS_PER_SECOND)
            return self.scheduler.call_later(wait, attempt.complete, "refused")
        attempt.job = node.submit(call, self.number, attempt.complete)
        return None

    def end_call(self, call, outcome):
        """Ends a client's try."""
        if outcome != "ok":
            self.route_counts[call.route].unanswered += 1
        self.on_try_ended(call, outcome)

    def record_attempt(self, name, outcome, elapsed):
        """Counts a try at a node, and avoids the node after too many consecutive failures."""
        try_sums = self.try_sums.setdefault(name, TrySums())
        try_sums.tries += 1
        if outcome == "ok":
            try_sums.elapsed += elapsed
            self.consecutive_failures.pop(name, None)
        else:
            try_sums.failures += 1
            self.consecutive_failures[name] = self.consecutive_failures.get(name, 0) + 1
            if self.delays.strikes and self.consecutive_failures[name] >= self.delays.strikes:
                self.consecutive_failures.pop(name)
                avoid = int(self.delays.avoid * TENTHS_OF_MS_PER_SECOND)
                self.avoided_until[name] = self.scheduler.now + avoid
        if outcome in ("ok", "failed"):
            self.reported_loads[name] = self.nodes[name].calls_in_hand()

    def take_report(self):
        """Returns (node -> TrySums, route -> RouteCounts) since the last report, and resets both."""
        try_sums, route_counts = self.try_sums, self.route_counts
        self.try_sums, self.route_counts = {}, {route: RouteCounts() for route in route_counts}
        return try_sums, route_counts
