"""Start times of tasks: from discovery's wall clock to the assigner's clock, which no step moves. No I/O.

A wall clock may be wrong or stepped, at discovery as well as here. Two facts hold all the same: a start is
never in the future, and one that is told while the list is followed came after the list before it, less the
time that discovery may take to tell. A start time outside these bounds is moved to the nearer one, so that a
cold task is not taken for a warm one, nor kept cold for as long as a clock is behind.
"""

import dataclasses
from dataclasses import dataclass

# 6 s: the protocol's limit until discovery has told of a start, in tenths of a ms
MAX_TELLING_TIME = 60_000
# 1 h for which the start of a task that left the list is kept: it may have been dropped wrongly
KEPT_AFTER_DROP = 36_000_000


@dataclass(frozen=True, slots=True)
class StartTime:
    """A start as the list tells it, and on the assigner's clock."""

    listed: int
    converted: int


class StartTimes:
    """Converts the start times of lists and keeps the last one of each task."""

    def __init__(self):
        self.by_task = {}
        self.dropped = {}  # task -> since when the list has not named it, the earliest first
        self.last_list_at = None  # when the last list was received

    def convert_known(self, now, lines):
        """The lines of the list known before any is received, with start times on the assigner's clock."""
        return tuple(self.convert_line(line, 0, now) for line in lines)

    def convert(self, now, lines, whole_list):
        """The lines of a list received now, with start times on the assigner's clock.

        whole_list: it names all tasks that there are."""
        earliest = 0 if self.last_list_at is None else self.last_list_at - MAX_TELLING_TIME
        self.last_list_at = now
        if whole_list:
            names = {line.task for line in lines}
            for task in self.by_task:
                if task not in names:
                    self.dropped.setdefault(task, now)
        self.forget_dropped(now)
        return tuple(self.convert_line(line, earliest, now) for line in lines)

    def forget_dropped(self, now):
        """Forgets tasks that left the list long ago."""
        for task, since in list(self.dropped.items()):
            if now - since < KEPT_AFTER_DROP:
                return
            del self.dropped[task], self.by_task[task]

    def convert_line(self, line, earliest, now):
        """A line whose start time, if it is a new one, lies from `earliest` to `now`."""
        if line.state == "gone":
            if line.task in self.by_task:
                self.dropped.setdefault(line.task, now)
            return line
        self.dropped.pop(line.task, None)
        if not line.started_at:
            return line
        known = self.by_task.get(line.task)
        if not known or known.listed != line.started_at:
            converted = min(max(line.started_at, earliest), now)
            if known:
                converted = max(converted, known.converted + 1)
            known = self.by_task[line.task] = StartTime(line.started_at, converted)
        return dataclasses.replace(line, started_at=known.converted)
