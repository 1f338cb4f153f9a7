"""Events: what an assigner receives. All times are whole tenths of a millisecond.

`logged_as` and `logged_fields` are the names in the logs, which tools read (LogFormat).

A `load` may hold these keys: in_hand: calls in flight; busy: share of the cores in use; queued: calls in the
task's queue; service_ms: latency in ms. A task may leave out any of them.
"""

from dataclasses import dataclass

from garnetpaddle.interface.log_format import LogFormat
from garnetpaddle.interface.orders import Order


@dataclass(frozen=True, slots=True, repr=False)
class TaskLine(LogFormat):
    """One entry of the task list."""

    logged_as = "TaskLine"
    logged_fields = ("task", "zone", "cell", "state", "size", "started_at", "kind")
    task: str
    zone: str
    cell: int  # as listed, 0 if not; no decision uses it
    state: str  # "ready", "draining" or "gone"
    size: float  # relative capacity as listed; a new task starts with a share in proportion to it
    started_at: int  # 0: long ago
    kind: str = ""  # the machine's kind as listed: tasks of one kind are alike, whatever its name


@dataclass(frozen=True, slots=True, repr=False)
class TaskListReceived(LogFormat):
    """The task list, changes of it, or the loss of the subscription to it."""

    logged_as = "ListHeard"
    logged_fields = ("form", "lines")
    update_type: str  # "changes", "full", "stale" (the last known full list) or "lost"
    lines: tuple[TaskLine, ...]


@dataclass(frozen=True, slots=True, repr=False)
class TimerExpired(LogFormat):
    logged_as = "TimerDue"
    logged_fields = ("key",)
    key: str


@dataclass(frozen=True, slots=True, repr=False)
class ProbeFinished(LogFormat):
    logged_as = "ProbeAnswered"
    logged_fields = ("task", "elapsed", "outcome", "load")
    task: str
    elapsed: int  # from the probe's start to its outcome
    # "ok", "error", "full", "timeout", "refused" (the machine says that nothing listens), "unreachable" (no
    # connection came up for another reason, or it is not known for which), "reset" or "other"
    outcome: str
    load: dict[str, float]


@dataclass(frozen=True, slots=True, repr=False)
class TaskConnectionLost(LogFormat):
    """An idle connection of the prober to a task has ended, by the task's side or the network."""

    logged_as = "TaskConnectionLost"
    logged_fields = ("task",)
    task: str


@dataclass(frozen=True, slots=True, repr=False)
class ProxyJoined(LogFormat):
    logged_as = "ProxyJoined"
    logged_fields = ("proxy", "rate", "fresh", "zone", "aside")
    proxy: int
    call_rate: float  # calls a second that it usually receives
    has_only_default_table: bool  # it holds no table that was ordered
    zone: str
    external: bool = False  # an external load balancer, served by a front end and not through the relay


@dataclass(frozen=True, slots=True, repr=False)
class ProxyLeft(LogFormat):
    logged_as = "ProxyLeft"
    logged_fields = ("proxy",)
    proxy: int


@dataclass(frozen=True, slots=True, repr=False)
class TaskReport(LogFormat):
    """The tries that the joined proxies of one zone made at a task."""

    logged_as = "TaskSums"
    logged_fields = ("task", "zone", "tries", "failures", "latency", "span", "load")
    task: str
    zone: str
    tries: int
    failures: int
    latency: float  # mean of the successful tries; 0: none
    span: int  # the time that the report covers
    load: dict[str, float]


@dataclass(frozen=True, slots=True, repr=False)
class RouteReport(LogFormat):
    """The calls of one route that a joined proxy received."""

    logged_as = "RouteSums"
    logged_fields = ("proxy", "route", "calls", "unanswered", "span")
    proxy: int
    route: int
    calls: int
    unanswered: int  # calls that failed; one that arrived in an earlier period may fail in this one
    span: int  # the time that the report covers


@dataclass(frozen=True, slots=True, repr=False)
class OrdersApplied(LogFormat):
    """A proxy's acknowledgement that it has applied all orders up to a mark."""

    logged_as = "Applied"
    logged_fields = ("proxy", "mark", "elapsed")
    proxy: int
    mark: int
    elapsed: int  # from the sending of the orders until they were applied, as the relay reports it


@dataclass(frozen=True, slots=True, repr=False)
class OrdersLost(LogFormat):
    """Orders that were sent and that no response has confirmed."""

    logged_as = "OrdersLost"
    logged_fields = ("orders", "perhaps")
    orders: tuple[Order, ...]
    possibly_executed: bool  # False: certainly not executed


@dataclass(frozen=True, slots=True, repr=False)
class ChannelStateUnknown(LogFormat):
    """The channel may have lost all orders ever sent; a ProxyJoined follows for each joined proxy."""

    logged_as = "OrdersInDoubt"


Event = (
    TaskListReceived
    | TimerExpired
    | ProbeFinished
    | TaskConnectionLost
    | ProxyJoined
    | ProxyLeft
    | TaskReport
    | RouteReport
    | OrdersApplied
    | OrdersLost
    | ChannelStateUnknown
)
