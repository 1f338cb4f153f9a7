"""How many calls cold tasks may get, those that are still warming up. Decisions only: no I/O, no clock.

The rule is one of capacity: a cold task falls over under more than `fall_multiple` times the work that it can
do at its age. Capacities are not told, so a cold task is held to two bounds: its part of the calls, by the
shares that the ordinary tables follow, and what warm tasks of its kind are seen to answer, a lower bound of
what they can do. All times are tenths of a ms.
"""

import statistics
from dataclasses import dataclass

from garnetpaddle.call_rates import CallRate, CallRates

COLD_CAPACITY_SHARE = 0.6  # of what a cold task can take: the rest is for bursts and weak machines
# Without a warm task, cold tasks get lines if their summed capacity is at least this share of the table's
# calls. The capacity contains COLD_CAPACITY_SHARE, so that both sides are cut alike: all calls are then no
# more than the cold tasks can take in full.
COLD_ONLY_CAPACITY_SHARE = COLD_CAPACITY_SHARE
# At this health or below cold tasks get no line: whatever its weight, it would get all calls that proxies
# keep from the tasks that they avoid.
MIN_HEALTH_FOR_COLD = 0.6
# Report periods without a line: a task that has just started can take little, and reports would not
# show an overload yet.
COLD_START_DELAY_PERIODS = 2.5


@dataclass(frozen=True, slots=True)
class ColdBudget:
    """What a cold task may get, as shares of a table's calls: the smaller of the two bounds.

    capacity: what it may get by its age, in units of what a warm task gets; answer_share: what a warm task of
    its kind answers, as a share of all tries."""

    by_share: float
    by_answers: float
    capacity: float
    answer_share: float

    def call_share(self):
        """The share of the table's calls that the task may get."""
        return min(self.by_share, self.by_answers)


class ColdTasks:
    """parameters: interface.Parameters; smoothing_factor: the weight of the latest report of a rate."""

    def __init__(self, parameters, smoothing_factor):
        self.parameters = parameters
        self.call_rates = CallRates(smoothing_factor)
        # kind -> what a warm task of this kind answers, as a share of all tries that are reported here
        self.answer_shares = {}
        self.budgets = {}  # cold task -> the ColdBudget of its latest line beside warm ones

    def record(self, now, report):
        """Takes over a TaskReport; its span must be above 0."""
        self.call_rates.record(now, report)

    def forget(self, task):
        """Forgets the reports of a task that has restarted or left."""
        self.call_rates.forget_task(task)
        self.budgets.pop(task, None)

    def own_rate(self, task):
        """The CallRate that is reported of a task by its name."""
        return self.call_rates.rate(task) or CallRate()

    def update_answer_shares(self, now, own_tasks, valid_for):
        """Updates what a warm task of each kind answers, from the rates reported within `valid_for`.

        Warm tasks without a rate, as soon after a start, are taken to get as many tries as the others."""
        rates = self.call_rates
        rates.forget_until(now - valid_for)
        warm = [task for task in own_tasks if task.warm(now) and not task.ejected]
        reported = {task: rate for task in warm if (rate := rates.rate(task.id))}
        self.answer_shares = {}
        if not reported:
            return
        mean_tries = statistics.fmean(rate.tries for rate in reported.values())
        total = rates.total_tries() + mean_tries * (len(warm) - len(reported))
        answers = {}  # kind -> answers per second of its tasks
        for task, rate in reported.items():
            answers.setdefault(task.kind, []).append(rate.answers)
        self.answer_shares = {kind: statistics.median(values) / total for kind, values in answers.items()}

    def answer_share(self, task):
        """What a warm task of the same kind answers, as a share of all tries; of the weakest kind if none of
        this one is known, and 0 as long as nothing is known."""
        weakest = min(self.answer_shares.values(), default=0.0)
        return self.answer_shares.get(task.kind, weakest)

    def capacity(self, now, task):
        """What a cold task may get by its age, in units of what a warm one gets."""
        age = now - task.ramp_from
        if age < COLD_START_DELAY_PERIODS * self.parameters.report_period:
            return 0.0
        start = self.parameters.start_share
        ramp = start + (1 - start) * min(age / max(task.ramp_time, 1), 1)
        return COLD_CAPACITY_SHARE * (self.parameters.fall_multiple * ramp)

    def call_shares(self, now, shares, table_calls, table_share):
        """Task name -> the share of a table's calls that a cold task may get beside warm ones.

        shares: cold task -> its share, the average being 1; table_calls: the table's calls in units of an
        average task's; table_share: the table's part of all calls."""
        budgets = {}
        for task, share in shares.items():
            capacity, answer_share = self.capacity(now, task), self.answer_share(task)
            by_share = share * min(capacity, 1.0) / table_calls
            by_answers = capacity * answer_share / table_share
            budgets[task.id] = ColdBudget(by_share, by_answers, capacity, answer_share)
        self.budgets |= budgets
        return {name: budget.call_share() for name, budget in budgets.items()}

    def call_shares_alone(self, now, shares, table_calls):
        """As call_shares, for a table without a warm task: none until together they can take its calls."""
        capacity = {task: self.capacity(now, task) for task in shares}
        total = sum(share * capacity[task] for task, share in shares.items())
        if total < COLD_ONLY_CAPACITY_SHARE * table_calls:
            return {}
        return {task.id: share * min(capacity[task], 1.0) / table_calls for task, share in shares.items()}


def health_factor(health, proportional_health, rarely_avoided):
    """The factor on cold tasks' calls beside warm ones: 0 where proxies that avoid others would crowd them.

    Squared, so that their calls fall faster than the health. proportional_health: for proxies that rarely
    avoid a task."""
    factor = health**2 if health > MIN_HEALTH_FOR_COLD else 0.0
    return max(factor, proportional_health) if rarely_avoided else factor
