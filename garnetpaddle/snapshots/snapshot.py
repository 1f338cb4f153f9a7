"""Immutable snapshots. Times are whole tenths of a ms; weights are the Brain's, with a mean of 1."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


def empty_mapping():
    """Returns an empty immutable mapping."""
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class TaskRecord:
    """The known state of a task."""

    task: str
    state: (
        str  # "ready", "draining" or "gone"; "ready" after a drop from the list that does not count as gone
    )
    zone: str
    kind: str
    size: float
    started_at: int  # 0: long ago
    since: int  # when its present state, or its present start, was first received
    address: tuple[str, int] | None = None

    def is_not_ready(self):
        """Returns whether no new calls may be sent to it: it drains or is gone."""
        return self.state != "ready"


@dataclass(frozen=True, slots=True)
class Level:
    """The Brain's admission order for a route.

    admitted: how much is let in, in the unit of interface.SetAdmission.level, 0 for nothing; retry_mode: when
    calls are retried: "none", "on proof" (that the call was not executed) or "once"."""

    admitted: float
    retry_mode: str


@dataclass(frozen=True, slots=True)
class Table:
    """The lines in effect of a table: task -> weight. While it is in doubt whether a line's last order was
    executed, the line keeps its previous weight, if any; after a removal in doubt, it counts as removed."""

    number: int
    lines: Mapping[str, float] = field(default_factory=empty_mapping)
    in_doubt: tuple[str, ...] = ()  # tasks whose last order is in doubt
    levels: Mapping[int, Level] = field(default_factory=empty_mapping)  # by the route's number

    def level(self, route):
        """Returns the level of a route; everything is admitted, without retries, if none was ordered."""
        return self.levels.get(route, Level(1.0, "none"))


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All tables and tasks at one generation."""

    generation: int
    at: int
    tables: Mapping[int, Table] = field(default_factory=empty_mapping)
    table_by_proxy: Mapping[int, int] = field(default_factory=empty_mapping)  # proxy -> table
    withdrawn: tuple[str, ...] = ()  # tasks excluded from all tables
    tasks: Mapping[str, TaskRecord] = field(default_factory=empty_mapping)
    tasks_by_address: Mapping[tuple[str, int], str] = field(default_factory=empty_mapping)
    mark: int = 0  # of the last acknowledgement request
    weights_changed: bool = False  # whether weights of existing lines were changed since this start
    not_ready_since: Mapping[str, int] = field(
        default_factory=empty_mapping
    )  # task -> since when it drains or is gone

    def table(self, proxy):
        """Returns the table that a proxy is bound to; None if it is unbound or the table never had a line."""
        return self.tables.get(self.table_by_proxy.get(proxy))

    def usable_weights(self, proxy):
        """Returns task -> weight of the tasks that a proxy may call; None if it has no table."""
        table = self.table(proxy)
        if table is None:
            return None
        return {
            k: w for k, w in table.lines.items() if k not in self.not_ready_since and k not in self.withdrawn
        }


EMPTY_SNAPSHOT = Snapshot(0, 0)
