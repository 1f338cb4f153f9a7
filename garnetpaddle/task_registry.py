"""The tasks that the task list has named, with indexes that follow its changes. No decisions.

A fleet may list some ten thousand tasks of which one assigner steers a few dozen. The Brain reads these
indexes with every batch of events: its cost depends on what has changed since the last one, not on the size
of the fleet.

    ready       tasks listed as ready, in the order in which they were first named
    observed    ready tasks for which a report, a probe or the list has provided information
    leaving     names of tasks listed as draining or gone, and of ready tasks dropped without a drain
"""


class TaskRegistry:
    """Keeps, by task name, the `tasks`, their last task-list entries (`lines`) and `changed_at`.

    `changed_at` is when the entry last changed; the Brain also sets it when a table's line is removed.
    """

    def __init__(self):
        self.tasks = {}
        self.lines = {}
        self.changed_at = {}
        self.leaving = {}  # a dict used as an ordered set: the iteration order must be reproducible
        self._ready = None
        self._observed = None

    def ready(self):
        """The tasks listed as ready. The same list object until the task list changes; not to be modified."""
        if self._ready is None:
            self._ready = [task for task in self.tasks.values() if self.lines[task.id].state == "ready"]
        return self._ready

    def observed(self):
        """The ready tasks that have been observed; not to be modified."""
        if self._observed is None:
            self._observed = [task for task in self.ready() if task.observed]
        return self._observed

    def shares(self):
        """Machine kind -> the shares of those of its ready tasks whose share has been adjusted once."""
        shares = {}
        for task in self.ready():
            if task.headroom:
                shares.setdefault(task.kind, []).append(task.share)
        return shares

    def observe(self, task):
        """Marks a task as observed."""
        if not task.observed:
            task.observed = True
            self._observed = None

    def register(self, task):
        """Adds a task, or replaces it after a restart."""
        self.tasks[task.id] = task

    def update_line(self, now, line):
        """Stores an entry of the task list; the task of a ready entry must be registered before."""
        self.lines[line.task] = line
        self.changed_at[line.task] = now
        self.leaving.pop(line.task, None)
        if line.state != "ready":
            self.leaving[line.task] = True
        self._ready = self._observed = None

    def mark_unlisted(self, now, name):
        """Marks a ready task that a list no longer names: it may be gone, or the list may be wrong."""
        self.tasks[name].unlisted = True
        self.changed_at[name] = now
        self.leaving[name] = True
        self.observe(self.tasks[name])

    def remove(self, name):
        """Removes a task and its entry."""
        del self.lines[name], self.changed_at[name]
        self.leaving.pop(name, None)
        self.tasks.pop(name, None)
        self._ready = self._observed = None
