"""The state that the Brain keeps of tasks, proxies, tables and pending acknowledgements. No decisions."""

import collections
import math
from dataclasses import dataclass, field

from garnetpaddle import interface as gp

NEVER = -10_000  # tenths of a ms; earlier than any time of the clock


class Task:
    """A listed task: its share of the calls, its health and its latest load.

    `share` averages 1 over the tasks of an assigner. `headroom` is the smoothed ratio of a task's answer rate
    to the calls that it gets, 1 / (mean latency x share ** SHARE_EXPONENT); 0 until the first adjustment of
    its share. `learned_share` is its share after its last adjustment, in any of its lives; 0 until then.
    """

    def __init__(self, line, share, warm_after, former=None):
        self.id = line.task
        self.kind = line.kind
        self.zone = line.zone
        self.share = share
        self.learned_share = former.learned_share if former else 0.0
        self.last_probe = "ok"
        self.ramp_from = line.started_at
        self.ramp_time = warm_after if line.started_at else 0
        self.ejected_until = 0
        self.ejections = 0
        self.probe_successes = 0
        self.reported_at = NEVER
        # The last probe that found nothing listening, and the last one that was refused with the first of the
        # refused ones before it
        self.unreachable_at = self.refused_at = self.refused_since = -math.inf
        self.connection_probed_at = NEVER  # the last probe for the sake of a lost connection
        self.succeeded_at = NEVER
        # Smoothed values: failure_share, mean_tries (per report), mean_latency (of a successful try).
        # fault_evidence is the log-likelihood ratio of a faulty task to one that fails as is usual now.
        self.headroom = self.failure_share = self.mean_tries = self.fault_evidence = self.mean_latency = (
            self.busy_share
        ) = self.in_flight = 0.0
        self.ejected = self.on_probation = self.slow = self.unlisted = False
        self.observed = self.probe_scheduled = False  # observed: by a report, a probe or a list without it
        self.table = None  # the table that holds its line
        self.reset_counts()

    def warm_from(self):
        """When the task has its full capacity: `ramp_time` after its start, or long ago."""
        return self.ramp_from + self.ramp_time if self.ramp_time else -math.inf

    def warm(self, now):
        """Whether the task has its full capacity."""
        return now >= self.warm_from()

    def total_latency(self, failure_latency):
        """The summed latency of all counted tries, each failure counting as `failure_latency`."""
        return self.latency_sum + self.failures * failure_latency

    def reset_counts(self):
        self.tries = 0
        self.failures = 0
        self.latency_sum = 0.0

    def add_calls(self, tries, failures, latency_sum):
        """Adds tries to the counts for the next adjustment; latency_sum: over the successful ones."""
        self.tries = self.tries + tries
        self.failures = self.failures + failures
        self.latency_sum += latency_sum

    def readmit(self, fault_evidence):
        """Ends the ejection and puts the task on probation, with this much evidence against it left."""
        self.ejected = False
        self.fault_evidence = fault_evidence
        self.on_probation = True
        self.reset_counts()

    def update_load(self, load):
        """Takes over a load report; a missing or impossible value leaves the old one, or 0."""
        self.busy_share = max(0.0, load.get("busy", self.busy_share))
        self.in_flight = max(0.0, load.get("in_hand", self.in_flight))


class Proxy:
    """A proxy, or with `external` an external load balancer, served by a front end and not through the relay.

    has_only_default_table: it holds no table that was ordered. bound: True where the proxy follows `table`;
    None where its bind order may be lost, while it still counts among the table's proxies; False where it
    follows no table of this assigner.

    An external load balancer gets the same lines. It sends no reports, its messages and acknowledgements do
    not count in the channel's queue, and no adjustment waits for its acknowledgement, so it may stall.
    """

    def __init__(self, now, joined, previous):
        self.id = joined.proxy
        self.joined_at = now
        self.call_rate = min(max(0.1, joined.call_rate), gp.LARGEST_FIGURE)
        self.has_only_default_table = joined.has_only_default_table
        self.external = joined.external
        self.bound = False
        self.table = None
        # mark -> when its message was written; a batch of orders is one message to each proxy that it reaches
        self.message_times = {}
        self.in_doubt = set()  # the marks of messages whose orders are lost, perhaps carried out
        # mark -> channel cost in lines of the unacknowledged messages. They and the times of messages are
        # kept when a proxy joins again without having left: messages to it may still be in the channel.
        # Acknowledgements may be lost by then, so nothing tells any more which messages were written.
        self.former_message_times = collections.deque(previous.all_message_times() if previous else ())
        self.unacknowledged = previous.unacknowledged if previous else {}

    def record_message(self, now, since, mark, line_count):
        """Records a message that costs `line_count` lines of the channel; forgets those up to `since`."""
        self.messages_since(since)
        self.message_times.setdefault(mark, now)
        self.unacknowledged[mark] = self.unacknowledged.get(mark, 0.0) + line_count

    def all_message_times(self):
        """The times of the messages that may have been written, in their order."""
        return [*self.former_message_times, *self.message_times.values()]

    def messages_since(self, since):
        """The number of messages that may have been written after a time; earlier ones are forgotten."""
        while self.former_message_times and self.former_message_times[0] <= since:
            self.former_message_times.popleft()
        while self.message_times and next(iter(self.message_times.values())) <= since:
            self.forget_message(next(iter(self.message_times)))
        return len(self.former_message_times) + len(self.message_times)

    def forget_message(self, mark):
        """Forgets when the message of a mark was written, or that it may have been."""
        self.message_times.pop(mark, None)
        self.in_doubt.discard(mark)

    def owes_acknowledgement(self, mark):
        """Whether an acknowledgement of a message of this join is still to come, if it was written."""
        return mark in self.message_times and mark in self.unacknowledged

    def unacknowledged_lines(self):
        return sum(self.unacknowledged.values())

    def message_lost(self, mark, possibly_written):
        """Handles the loss of the orders of a mark; returns the lines that were not written for certain.

        A message that may have been written is in doubt until a later one is acknowledged."""
        if possibly_written:
            if mark in self.unacknowledged:
                self.in_doubt.add(mark)
            return 0.0
        self.forget_message(mark)
        return self.unacknowledged.pop(mark, 0.0)

    def acknowledge(self, mark):
        """Removes the messages that an acknowledgement confirms, all up to its mark, as messages arrive in
        order; returns their cost in lines.

        Each message is acknowledged, so earlier ones that are still in doubt were never written."""
        self.in_doubt.discard(mark)
        confirmed = [sent for sent in self.unacknowledged if (mark - sent) % 65_536 < 32_768]
        for never_written in [sent for sent in confirmed if sent in self.in_doubt]:
            self.forget_message(never_written)
        return sum(self.unacknowledged.pop(sent) for sent in confirmed)

    def bind(self, bound, table):
        """Sets `bound` and the table that counts the proxy as its own: none where `bound` is False."""
        if self.table:
            self.table.channel_proxies.pop(self.id, None)
            self.table.call_rate -= 0.0 if self.external else self.call_rate
        self.bound = bound
        self.table = None if bound is False else table
        if self.table:
            self.table.call_rate += 0.0 if self.external else self.call_rate
            if not self.external:
                self.table.channel_proxies[self.id] = self


class Table:
    """A weight table and the proxies bound to it.

    A line is a task with its weight. `weights` are those ordered last: 0 where the order may be lost,
    infinite for a line of a task that has restarted since. `admissions` holds route -> (level, retry mode),
    empty where that order may be lost. `pushed_at` are the times of the last pushes by urgency.
    `channel_proxies` and `call_rate` leave out external load balancers.
    """

    def __init__(self, number, admissions):
        self.number = number
        self.weights = {}
        self.admissions = admissions
        self.admissions_ordered = False  # whether any was ever ordered
        self.pushed_at = [NEVER] * 3
        self.channel_proxies = {}
        self.call_rate = 0.0

    def set_weight(self, task, weight):
        """Sets a line and moves it behind all others; weight 0 removes it."""
        self.weights.pop(task, None)
        if weight:
            self.weights[task] = weight


@dataclass(slots=True)
class SentBatch:
    """A batch of orders whose messages may wait in the channel; figures in lines.

    departed: what has left the channel once a proxy acknowledges the mark: all that was written before the
    batch, and one shortest message for each acknowledgement so far. end: all that was written up to its end.
    first_reached: the proxies that get a message if any of its orders is carried out.
    """

    departed: float
    shortest_message: float
    end: float
    first_reached: frozenset[int]


@dataclass(slots=True)
class Batch:
    """What one batch of orders does, beside the orders themselves.

    reached: the channel's proxies that get a message. first_reached: as in SentBatch. all_changes_sent: no
    change of a table line had to wait. admission_changed: admissions were ordered that may differ from those
    in effect. urgent_changes_wait: a change of urgency 0, as for a drain, had to wait.
    """

    reached: list = field(default_factory=list)
    first_reached: frozenset[int] = frozenset()
    all_changes_sent: bool = True
    admission_changed: bool = False
    urgent_changes_wait: bool = False


class PushAcknowledgements:
    """The acknowledgements that a push still waits for.

    `pending_call_rate` is the summed call rate of the proxies that owe one. `complete`: all changes of the
    push have been ordered, so that no further proxy is waited for.
    """

    def __init__(self):
        self.pending = {}  # proxy -> mark, call rate
        self.pending_call_rate = 0.0
        self.complete = False

    def expect(self, proxies, mark, complete):
        """Adds proxies to wait for; once the push is complete, later messages are not waited for."""
        for proxy in proxies if not self.complete else ():
            self.pending_call_rate += proxy.call_rate - self.pending.get(proxy.id, (0, 0.0))[1]
            self.pending[proxy.id] = mark, proxy.call_rate
        self.complete = self.complete or complete
        return self

    def acknowledge(self, proxy, mark):
        """Stops waiting for a proxy that has applied its messages up to the mark that it is waited for."""
        expected, rate = self.pending.get(proxy, (None, 0.0))
        if expected is not None and (mark - expected) % 65_536 < 32_768:
            del self.pending[proxy]
            self.pending_call_rate = self.pending_call_rate - rate if self.pending else 0.0
