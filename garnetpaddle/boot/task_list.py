"""Conversion of task list entries and load reports into the interface's types, for all transports."""

from garnetpaddle import interface as gp


def make_task_line(task, zone, cell, state, size, started_at, kind):
    """A gp.TaskLine. Defaults: size 1, also for one out of range, start time 0 (long ago), cell 0, empty
    zone and kind."""
    size = size if size and gp.is_size(size) else 1.0
    return gp.TaskLine(task, zone or "", cell or 0, state, size, started_at or 0, kind or "")


def normalize_load(values, names):
    """The numbers of a load report that are in range, renamed. names: reported name -> our name; others are
    ignored."""
    numbers = ((names[k], v) for k, v in (values or {}).items() if k in names)
    return {k: float(v) for k, v in numbers if type(v) in (int, float) and abs(v) <= gp.LARGEST_FIGURE}
