"""Whether a task's process runs, by the probes of the task. No clock, no I/O.

A refused probe proves that the machine runs and the process does not. The list tells of that, or of the start
of the next process, seconds later; that process is cold, so it must not find the calls of the former one.
A task that is unreachable may be cut off from this assigner alone.
"""

REFUSED = "refused"  # the outcome of a probe where the machine says that nothing listens
UNREACHABLE = "unreachable"  # the outcome where no connection came up
NOTHING_LISTENS = (REFUSED, UNREACHABLE)
# 3 s: within it the list tells that a task whose probe found nothing listening has started anew
RESTART_NOTICE_TENTHS_MS = 30_000


def record_outcome(now, task, outcome):
    """Takes over the outcome of a probe of the task's present process, as far as the list knows."""
    if outcome == REFUSED:
        task.refused_since = task.refused_since if process_ended(now, task) else now
        task.refused_at = now
    if outcome in NOTHING_LISTENS:
        task.unreachable_at = now


def process_ended(now, task):
    """Whether a probe was refused so lately that the list may not have told of the process's end or of the
    next one's start."""
    return now - task.refused_at < RESTART_NOTICE_TENTHS_MS


def may_have_restarted(now, task):
    """As process_ended, also where probes could not tell the task from one that is cut off."""
    return now - task.unreachable_at < RESTART_NOTICE_TENTHS_MS
