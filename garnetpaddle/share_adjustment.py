"""One step of the shares, the calls that each task gets as a ratio to the average. No clock, no I/O.

The step is the design's: each share is multiplied by its task's smoothed headroom, relative to the average
one, and all are renormalised. Tasks rest where their headrooms are equal.
"""

import statistics

SMOOTHING_FACTOR = 0.4  # weight of the latest reading: readings are seconds apart and noisy
MAX_SHARE_INCREASE_RATIO = 2.0  # per step
MAX_SHARE_DECREASE_RATIO = 3.0  # per step: an overload must be left quickly
MIN_SHARE_RATIO = 0.2  # of the average share: enough calls to go on observing a task
# Of the share in the headroom, 1 / (latency x share ** exponent): 0 aims at equal latency, 1 at equal calls
# in flight.
SHARE_EXPONENT = 0.7
PRIOR_ANSWERS = 10.0  # a reading of so few answers counts half, the average the other half
FAILURE_LATENCY_TENTHS_MS = 10_000  # a failed answer counts as 1 s of latency


def adjust_shares(tasks, follows_former_tables):
    """Adjusts the shares of tasks by the calls that they counted since the last step, and resets the counts.

    tasks: those that take part; at least one call was counted. follows_former_tables: some proxies still go
    by tables ordered before this assigner's start.
    """
    kinds = group_by_kind(tasks)
    mean_latency = sum(map(total_latency, tasks)) / sum(task.tries for task in tasks)
    if follows_former_tables and not any(task.headroom for task in tasks):
        for same_kind in kinds.values():
            take_over_shares(same_kind)
    latencies = {kind: kind_latency(same_kind, mean_latency) for kind, same_kind in kinds.items()}
    for task in tasks:
        update_headroom(task, latencies[task.kind])
        task.reset_counts()
    average = sum(task.share * task.headroom for task in tasks) / sum(task.share for task in tasks)
    for task in tasks:
        multiply_share(task, task.headroom / average)
    scale = len(tasks) / sum(task.share for task in tasks)
    for task in tasks:
        task.share = max(task.share * scale, MIN_SHARE_RATIO)


def group_by_kind(tasks):
    """Machine kind -> its tasks, in the order of the kinds' names."""
    return {
        kind: [task for task in tasks if task.kind == kind] for kind in sorted({task.kind for task in tasks})
    }


def total_latency(task):
    """The summed latency of a task's counted tries, failures included."""
    return task.total_latency(FAILURE_LATENCY_TENTHS_MS)


def take_over_shares(same_kind):
    """Takes the calls that tasks of one kind got as their shares, those of the tables that proxies hold."""
    mean_tries = statistics.fmean(task.tries for task in same_kind)
    for task in same_kind:
        task.share = max(mean_tries * (task.tries + PRIOR_ANSWERS) / (mean_tries + PRIOR_ANSWERS), 1.0)


def kind_latency(same_kind, mean_latency):
    """The mean latency at tasks of one kind; that of few calls is pulled towards the mean of all tasks."""
    latency_sum = sum(map(total_latency, same_kind))
    tries = sum(task.tries for task in same_kind)
    return (latency_sum + PRIOR_ANSWERS * mean_latency) / (tries + PRIOR_ANSWERS)


def update_headroom(task, mean_latency):
    """Smooths a task's headroom by its latest reading; one of few calls is pulled towards its kind's mean."""
    latest = (
        (task.tries + PRIOR_ANSWERS)
        / (total_latency(task) + PRIOR_ANSWERS * mean_latency)
        / task.share**SHARE_EXPONENT
    )
    if task.headroom:
        latest = SMOOTHING_FACTOR * latest + (1 - SMOOTHING_FACTOR) * task.headroom
    task.headroom = latest


def multiply_share(task, ratio):
    """Multiplies a task's share within bounds; its headroom, measured at the old share, moves with it."""
    ratio = min(max(ratio, 1 / MAX_SHARE_DECREASE_RATIO), MAX_SHARE_INCREASE_RATIO)
    task.share = task.share * ratio
    task.headroom = task.headroom / ratio
