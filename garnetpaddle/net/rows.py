"""Discovery's list as it comes on the socket, and in the interface's words."""

import msgspec

from garnetpaddle import boot

STATES = {"active": "ready", "leaving": "draining", "left": "gone"}


class Row(msgspec.Struct):
    instanceId: str  # noqa: N815
    lifecycle: str
    hostPort: str = ""  # noqa: N815
    zone: str | None = None
    machineType: str | None = None  # noqa: N815
    cell: int | None = None
    weight: float | None = None
    startedAtMs: float | None = None  # noqa: N815


class Rows(msgspec.Struct):
    generation: int
    reset: bool
    instances: list[Row]


def task_lines(rows):
    """Task lines; a word that has no meaning raises ValueError."""
    return tuple(
        boot.task_line(r.instanceId, r.zone, r.cell, boot.word(STATES, r.lifecycle, "instances.lifecycle"),
                       r.weight, round((r.startedAtMs or 0.0) * 10), r.machineType)
        for r in rows.instances
    )
