"""One reading of the book. Times are whole tenths of a ms; weights are the Brain's, their average being 1."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


def nothing():
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Known:
    """What is known of a task."""

    task: str
    state: str  # "ready", "draining" or "gone", as it binds: a drop that does not bind leaves it ready
    zone: str
    kind: str
    size: float
    started_at: int  # 0: long ago
    since: int  # when it was first heard in this state, or of this start
    address: tuple[str, int] | None = None

    def closed(self):
        """Nothing new may be sent to it."""
        return self.state != "ready"


@dataclass(frozen=True, slots=True)
class Level:
    """How much of a route is let in, and when it is tried again: "none", "on proof" or "once"."""

    part: float
    tries: str


@dataclass(frozen=True, slots=True)
class Table:
    """Lines that stand. A line whose last order is in doubt stands with the weight it had before, if it had
    one; one whose removal is in doubt does not stand."""

    number: int
    lines: Mapping[str, float] = field(default_factory=nothing)
    doubted: tuple[str, ...] = ()  # tasks whose last order is in doubt
    levels: Mapping[int, Level] = field(default_factory=nothing)  # by route's number

    def level(self, route):
        return self.levels.get(route, Level(1.0, "none"))


@dataclass(frozen=True, slots=True)
class Reading:
    generation: int
    at: int
    tables: Mapping[int, Table] = field(default_factory=nothing)
    bound: Mapping[int, int] = field(default_factory=nothing)  # proxy -> table
    out: tuple[str, ...] = ()  # tasks shut out of every table
    tasks: Mapping[str, Known] = field(default_factory=nothing)
    places: Mapping[tuple[str, int], str] = field(default_factory=nothing)  # address -> task
    mark: int = 0  # of the last seal
    stepped: bool = False  # a table has been laid and moved since this start
    closed: Mapping[str, int] = field(default_factory=nothing)  # task -> since when it drains or is gone

    def table(self, proxy):
        """The table that a proxy follows; None where it is bound to none, or its table never had a line."""
        return self.tables.get(self.bound.get(proxy))

    def standing(self, proxy):
        """The lines that a proxy may pick: task -> weight; None where it is bound to no table."""
        table = self.table(proxy)
        if table is None:
            return None
        return {k: w for k, w in table.lines.items() if k not in self.closed and k not in self.out}


EMPTY = Reading(0, 0)
