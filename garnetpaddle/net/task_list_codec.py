"""The task list in discovery's JSON format, and its conversion into the interface's types."""

import msgspec

from garnetpaddle import boot

STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
WIRE_NAMES = {
    "task": "instanceId",
    "state": "lifecycle",
    "address": "hostPort",
    "kind": "machineType",
    "size": "weight",
    "started_ms": "startedAtMs",
}


class TaskEntry(msgspec.Struct, rename=WIRE_NAMES):
    """One entry of the task list."""

    task: str
    state: str
    address: str = ""
    zone: str | None = None
    kind: str | None = None
    cell: int | None = None
    size: float | None = None
    started_ms: float | None = None


class TaskList(msgspec.Struct):
    """A full list (`reset`) or the changes since an earlier generation."""

    generation: int
    reset: bool
    instances: list[TaskEntry]


def task_lines(task_list):
    """The entries as gp.TaskLines; raises ValueError for an unknown lifecycle."""
    return tuple(
        boot.make_task_line(
            entry.task,
            entry.zone,
            entry.cell,
            boot.lookup(STATES, entry.state, "instances.lifecycle"),
            entry.size,
            round((entry.started_ms or 0.0) * 10),
            entry.kind,
        )
        for entry in task_list.instances
    )
