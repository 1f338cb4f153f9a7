"""Entries of a task list and load reports, whatever wire they came on."""

import math

from garnetpaddle import interface as gp


def task_line(task, zone, cell, state, size, started_at, kind):
    """Absent values stand for an even size, a start long ago, and no zone, cell or kind."""
    size = size if size and size > 0 else 1.0
    return gp.TaskLine(task, zone or "", cell or 0, state, size, started_at or 0, kind or "")


def load(values, names):
    """A load report's finite numbers under our names; what has none is passed over."""
    numbers = ((names[k], v) for k, v in (values or {}).items() if k in names)
    return {k: float(v) for k, v in numbers if type(v) in (int, float) and math.isfinite(v)}
