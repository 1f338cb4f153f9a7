"""How many calls cold tasks may get, those that are still warming up. Decisions only: no I/O, no clock.

The rule is one of capacity: a cold task falls over under more than `fall_multiple` times the work that it can
do at its age, summed over `overload_window`. Capacities are not told, so a cold task is held to two bounds:
its part of the calls, by the shares that the ordinary tables follow, and what warm tasks of its kind are seen
to answer, a lower bound of what they can do. Machines of one kind differ: the second bound is reduced by the
machine's strength, its share of the calls relative to its kind's when it was last seen warm. Both leave room
for chance, more where a window holds few calls.

Both also take the task to be as well as others, and no evidence holds for the next moment: a task may turn
slow within the window. So while warm tasks can carry the calls, a cold one gets no more than it bears, with
room for chance, at the worst slowness that is reckoned with. Only while most of the fleet is missing cold
tasks are needed: then they get a first line that a slow one bears on average, and all that the two
bounds allow while their own answers prove them to be as fast as others (`slow_start`). All times are tenths
of a ms.
"""

import math
import statistics
from dataclasses import dataclass

from garnetpaddle.call_rates import CallRate, CallRates
from garnetpaddle.slow_start import SlowStart

TENTHS_OF_MS_PER_SECOND = 10_000
COLD_CAPACITY_SHARE = 0.6  # of what a cold task can take, at most: the rest is for bursts
# Between a window's mean calls and the calls that a task bears in it. The work of calls that arrive by chance
# exceeds a limit with a probability of some exp(-(sqrt(limit) - sqrt(mean)) ** 2).
CHANCE_MARGIN_ROOT_CALLS = 2.2
MOST_SLOWED = 10.0  # times slower than at its age, by a fault
MOST_TAKEN_SHARE = 0.75  # of its machine, by other programs
WORST_SLOWDOWN = MOST_SLOWED / (1 - MOST_TAKEN_SHARE)  # both at once
MIN_WARM_SHARE = 0.5  # of a table's calls that its warm tasks usually carry: below, cold ones are needed
UNSEEN_STRENGTH = 0.85  # of its kind: a machine that has hardly been seen warm may be a weak one
MIN_WARM_ADJUSTMENTS = 3  # of a task's share while it is warm, until it shows the machine's strength
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

    capacity: what it may get by its age, by its own answers and by the need for it, in units of what it
    answers when warm; proven: the last two of these; answer_share: what it is taken to answer when warm, as
    a share of all tries; basis: why it may get any."""

    by_share: float
    by_answers: float
    capacity: float
    proven: float
    answer_share: float
    basis: str

    def call_share(self):
        """The share of the table's calls that the task may get."""
        return min(self.by_share, self.by_answers)


class ColdTasks:
    """parameters: interface.Parameters; smoothing_factor: the weight of the latest report of a rate."""

    def __init__(self, parameters, smoothing_factor):
        self.parameters = parameters
        self.call_rates = CallRates(smoothing_factor)
        self.slow_start = SlowStart(parameters.overload_window)
        self.warm_answers = {}  # kind -> what a warm task of this kind answers, per second, as reported here
        self.total_tries = 0.0  # per second at all tasks, as reported here
        self.fleet_ratio = 1.0  # the calls of all proxies to a task, as a ratio to those reported here
        self.budgets = {}  # cold task -> the ColdBudget of its latest line beside warm ones

    def record(self, now, report):
        """Takes over a TaskReport; its span must be above 0."""
        self.call_rates.record(now, report)
        self.slow_start.record(now, report)

    def forget(self, task):
        """Forgets the reports of a task that has restarted or left."""
        self.call_rates.forget_task(task)
        self.slow_start.forget(task)
        self.budgets.pop(task, None)

    def own_rate(self, task):
        """The CallRate that is reported of a task by its name."""
        return self.call_rates.rate(task) or CallRate()

    def update_warm_answers(self, now, own_tasks, valid_for, fleet_ratio):
        """Updates what a warm task of each kind answers, from the rates reported within `valid_for`.

        Warm tasks without a rate, as soon after a start, are taken to get as many tries as the others.
        fleet_ratio: the calls of all proxies to a task, as a ratio to those reported here."""
        rates = self.call_rates
        rates.forget_until(now - valid_for)
        warm = [task for task in own_tasks if task.warm(now) and not task.ejected]
        reported = {task: rate for task in warm if (rate := rates.rate(task.id))}
        self.fleet_ratio = fleet_ratio
        self.warm_answers = {}
        if not reported:
            return
        self.slow_start.update_idle_latency(reported)
        mean_tries = statistics.fmean(rate.tries for rate in reported.values())
        self.total_tries = rates.total_tries() + mean_tries * (len(warm) - len(reported))
        answers = {}  # kind -> answers per second of its tasks
        for task, rate in reported.items():
            answers.setdefault(task.kind, []).append(rate.answers)
        self.warm_answers = {kind: statistics.median(values) for kind, values in answers.items()}

    def answers_when_warm(self, task):
        """What a warm task of the same kind answers, per second; of the weakest kind if none of this one is
        known, and 0 as long as nothing is known."""
        weakest = min(self.warm_answers.values(), default=0.0)
        return self.warm_answers.get(task.kind, weakest)

    def answer_share(self, task):
        """As answers_when_warm, as a share of all tries."""
        return self.answers_when_warm(task) / self.total_tries if self.total_tries else 0.0

    def capacity_fraction(self, now, task):
        """The least that a cold task does at its age, as a share of what it does when warm."""
        start = self.parameters.start_share
        age = now - task.ramp_from
        return start + (1 - start) * min(age / max(task.ramp_time, 1), 1)

    def multiple_borne(self, now, task):
        """What a cold task bears at its age, in units of what it answers when warm; 0 while too young."""
        if now - task.ramp_from < COLD_START_DELAY_PERIODS * self.parameters.report_period:
            return 0.0
        return self.parameters.fall_multiple * self.capacity_fraction(now, task)

    def capacity(self, now, task):
        """What a cold task may get beside warm ones, in units of what it answers when warm."""
        multiple = self.multiple_borne(now, task)
        return min(COLD_CAPACITY_SHARE, share_before_chance(self.calls_borne(task, multiple))) * multiple

    def calls_borne(self, task, multiple):
        """The calls within the window that are a multiple of what a task answers when warm."""
        window = self.parameters.overload_window / TENTHS_OF_MS_PER_SECOND
        return window * multiple * task.strength * self.answers_when_warm(task) * self.fleet_ratio

    def certain_capacity(self, now, task):
        """What a cold task bears however slow it is or turns, in units of what it answers when warm."""
        multiple = self.multiple_borne(now, task) / WORST_SLOWDOWN
        return share_before_chance(self.calls_borne(task, multiple)) * multiple

    def proven_capacity(self, now, task):
        """What a cold task's own answers allow it to get, in units of what it answers when warm: without
        proof, what a slow one bears on average, calls enough to be seen by."""
        if self.slow_start.is_proven(now, task, self.capacity_fraction(now, task)):
            return self.capacity(now, task)
        return self.multiple_borne(now, task) / MOST_SLOWED

    def call_shares(self, now, shares, warm_share, table_calls, table_share):
        """Task name -> the share of a table's calls that a cold task may get beside warm ones.

        shares: cold task -> its share, the average being 1; warm_share: the sum of the warm tasks' shares;
        table_calls: the table's calls in units of an average task's; table_share: its part of all calls."""
        needed = warm_share < MIN_WARM_SHARE * table_calls
        basis, budgets = "needed" if needed else "beside warm", {}
        for task, share in shares.items():
            proven = self.proven_capacity(now, task) if needed else self.certain_capacity(now, task)
            capacity = min(self.capacity(now, task), proven)
            answer_share = task.strength * self.answer_share(task)
            own_share = min(share, task.learned_share) if task.warm_adjustments else share
            by_share = own_share * min(capacity, 1.0) / table_calls
            by_answers = capacity * answer_share / table_share
            budgets[task.id] = ColdBudget(by_share, by_answers, capacity, proven, answer_share, basis)
        self.budgets |= budgets
        return {name: budget.call_share() for name, budget in budgets.items()}

    def call_shares_alone(self, now, shares, table_calls):
        """As call_shares, for a table without a warm task: none until together they can take its calls."""
        capacity = {task: COLD_CAPACITY_SHARE * self.multiple_borne(now, task) for task in shares}
        total = sum(share * capacity[task] for task, share in shares.items())
        if total < COLD_ONLY_CAPACITY_SHARE * table_calls:
            return {}
        for task, share in shares.items():
            by_share = share * min(capacity[task], 1.0) / table_calls
            self.budgets[task.id] = ColdBudget(by_share, math.inf, capacity[task], math.inf, 0.0, "alone")
        return {task.id: self.budgets[task.id].call_share() for task in shares}


def share_before_chance(calls_borne):
    """The mean share of the calls a task bears in a window at which chance alone does not exceed them."""
    if not calls_borne:
        return 0.0
    return max(math.sqrt(calls_borne) - CHANCE_MARGIN_ROOT_CALLS, 0.0) ** 2 / calls_borne


def machine_strength(learned_share, warm_adjustments, kind_share):
    """A machine's capacity relative to its kind's, at most 1.

    learned_share: its share of the calls after the last of so many adjustments while it was warm; kind_share:
    the mean of its kind."""
    most = 1.0 if warm_adjustments >= MIN_WARM_ADJUSTMENTS else UNSEEN_STRENGTH
    return min(learned_share / kind_share, most) if warm_adjustments else most


def health_factor(health, proportional_health, rarely_avoided):
    """The factor on cold tasks' calls beside warm ones: 0 where proxies that avoid others would crowd them.

    Squared, so that their calls fall faster than the health. proportional_health: for proxies that rarely
    avoid a task."""
    factor = health**2 if health > MIN_HEALTH_FOR_COLD else 0.0
    return max(factor, proportional_health) if rarely_avoided else factor
