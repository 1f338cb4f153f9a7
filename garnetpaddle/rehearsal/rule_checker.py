"""Checks the five rules during a simulation. A violation records its time and the last orders before it."""

import collections
from dataclasses import dataclass

from garnetpaddle.rehearsal.model import tenths_of_ms

KEPT_ORDERS = 12  # recorded with a violation
TENTHS_OF_MS_PER_SECOND = 10_000


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule."""

    rule: str  # "no task", "twice", "drain", "cold" or "queue"
    at: int
    who: str
    why: str
    orders: tuple[str, ...]


class RuleChecker:
    """delays: script.Delays. enabled: whether violations are recorded: for the Brain, not for baselines."""

    def __init__(self, scheduler, delays, enabled=True):
        self.scheduler, self.enabled, self.queue_limit = scheduler, enabled, delays.queue_limit
        self.cold_window, self.fall_multiple = tenths_of_ms(delays.tip_after), delays.fall_multiple
        self.grace, self.max_time_without_node = tenths_of_ms(delays.grace), tenths_of_ms(delays.bare)
        self.violations, self.orders = [], collections.deque(maxlen=KEPT_ORDERS)
        self.not_ready_since, self.without_node_since = {}, {}

    def add_violation(self, rule, who, why):
        """Records a violation, only the first one for each pair of rule and component."""
        if self.enabled and not any(b.rule == rule and b.who == who for b in self.violations):
            self.violations.append(Violation(rule, self.scheduler.now, who, why, tuple(self.orders)))

    def record_list_state(self, name, state):
        """The assigner has received a task's state from the task list."""
        if state == "ready":
            self.not_ready_since.pop(name, None)
        else:
            self.not_ready_since.setdefault(name, self.scheduler.now)

    def record_send(self, proxy, name):
        """A proxy sends a call to a node, which must be ready or within the grace time."""
        not_ready_at = self.not_ready_since.get(name)
        if not_ready_at is None or not proxy.joined:
            return
        late = self.scheduler.now - max(not_ready_at, proxy.joined_at) - self.grace
        if late > 0:
            why = f"proxy {proxy.number} sent to it {late / TENTHS_OF_MS_PER_SECOND:.2f} s after the grace"
            self.add_violation("drain", name, why)

    def record_execution(self, call, name):
        """A node begins a call's work: at most once per try of the client if the call is mutating."""
        executions = call.executions[call.try_started_at] = call.executions.get(call.try_started_at, 0) + 1
        if executions > 1 and call.mutating:
            self.add_violation(
                "twice", name, f"call {call.number} was begun {executions} times for one try of its client"
            )

    def record_cold_overload(self, name):
        """A cold node failed because it received more work than it could do."""
        self.add_violation("cold", name, "it was sent more than it could do so soon after its start")

    def check(self, proxies, queued_lines, some_ready):
        """Checks periodically for proxies without a usable node and for too long a channel queue."""
        for number, proxy in proxies.items():
            if not proxy.joined or proxy.has_usable_line() or not some_ready:
                self.without_node_since.pop(number, None)
            elif (
                self.scheduler.now - self.without_node_since.setdefault(number, self.scheduler.now)
                > self.max_time_without_node
            ):
                self.add_violation("no task", f"proxy {number}", "it had nobody to send to for too long")
        if queued_lines > self.queue_limit:
            self.add_violation("queue", "channel", f"{queued_lines:.0f} lines wait")
