"""What an instance hears. All times are whole tenths of a millisecond."""

from dataclasses import dataclass

from garnetpaddle.interface.orders import Order


@dataclass(frozen=True, slots=True)
class TaskLine:
    """One line of the task list."""

    task: str
    zone: str
    cell: int
    state: str  # "ready", "draining" or "gone"
    size: float
    started_at: int  # 0: long ago
    kind: str = ""  # the machine's kind as listed: tasks of one kind are alike, whatever its name


@dataclass(frozen=True, slots=True)
class ListHeard:
    form: str  # "changes", "full", "stale" (the full list as last had) or "lost"
    lines: tuple[TaskLine, ...]


@dataclass(frozen=True, slots=True)
class TimerDue:
    key: str


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    task: str
    elapsed: int
    outcome: str  # "ok", "error", "full", "timeout", "unreachable", "reset" or "other"
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    proxy: int
    rate: float  # calls a second it usually gets
    fresh: bool  # it holds only its standing table
    zone: str
    aside: bool = False  # an outside follower: what it is told does not go through the channel


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    proxy: int


@dataclass(frozen=True, slots=True)
class TaskSums:
    """What the joined proxies of one zone met at a task."""

    task: str
    zone: str
    tries: int
    failures: int
    latency: float  # mean of the good answers; 0: none
    span: int
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class RouteSums:
    """The calls of one route that came to a joined proxy."""

    proxy: int
    route: int
    calls: int
    unanswered: int
    span: int


@dataclass(frozen=True, slots=True)
class Applied:
    proxy: int
    mark: int
    elapsed: int


@dataclass(frozen=True, slots=True)
class OrdersLost:
    """Orders that were given and that no answer has confirmed."""

    orders: tuple[Order, ...]
    perhaps: bool  # they may have been carried out all the same; else surely not


@dataclass(frozen=True, slots=True)
class OrdersInDoubt:
    """What carries the orders may have lost all that it was ever given; who is joined is told anew."""


Event = (
    ListHeard
    | TimerDue
    | ProbeAnswered
    | ProxyJoined
    | ProxyLeft
    | TaskSums
    | RouteSums
    | Applied
    | OrdersLost
    | OrdersInDoubt
)
