"""Parameters: what an assigner is given once, at its start. All times are whole tenths of a millisecond.

`logged_as` and `logged_fields` are the names in the logs, which tools read (LogFormat). What is told of cold
tasks and of proxies that avoid a task is logged; no decision uses it, as cold tasks get no calls.
"""

from dataclasses import dataclass

from garnetpaddle.interface.log_format import LogFormat


@dataclass(frozen=True, slots=True, repr=False)
class Route(LogFormat):
    """A class of calls."""

    logged_as = "Route"
    logged_fields = ("importance", "slo_time")
    importance: float
    slo_time: int


@dataclass(frozen=True, slots=True, repr=False)
class Parameters(LogFormat):
    """The parameters of the decisions."""

    logged_as = "Terms"
    logged_fields = (
        "routes",
        "list_mode",
        "must_ask_in",
        "probes_allowed",
        "warm_after",
        "start_share",
        "fall_multiple",
        "gone_binds",
        "report_period",
        "channel_lines",
        "queue_limit",
        "head_lines",
        "message_cap",
        "message_span",
        "level_kind",
        "proxies",
        "assigners",
        "rank",
        "zone",
        "zones",
        "homed",
        "grace",
        "tries",
        "strikes",
        "window",
    )
    routes: tuple[Route, ...]
    list_mode: str  # "push", or "ask": the list comes only after SubscribeTaskList, until it is lost
    resubscribe_deadline: int  # after the task list was lost
    probes_allowed: bool
    warm_after: int  # time from a task's start until it has its full capacity
    start_share: float  # of the full capacity: what a task has at its start
    fall_multiple: float  # of its capacity: the work above which a cold task fails
    dropped_counts_as_gone: bool  # whether a ready task that the list drops counts as gone
    report_period: int
    channel_lines: float  # lines a second that the relay sends to the proxies
    queue_limit: float  # lines that may wait in the relay for this channel
    message_overhead_lines: float  # cost of a message on top of its own lines
    message_cap: int  # messages to one proxy in message_cap_period; 0: no cap
    message_cap_period: int
    level_kind: str  # of SetAdmission.level: "fraction", "per_second" or "none"
    proxies: int = 1  # of all assigners
    assigners: int = 1
    rank: int = 0  # of this assigner among them, from 0
    zone: str = ""  # of this assigner
    zones: int = 1
    join_own_zone: bool = False  # proxies join an assigner of their own zone where there is one
    drain_grace_period: int = 30_000  # after which nobody may call a task that drains or is gone
    default_retry_mode: str = ""  # of proxies without orders, as in SetAdmission; "": not known
    # Consecutive failures of a proxy's own calls after which it avoids a task; 0: never
    failures_before_avoidance: int = 0
    overload_window: int = 30_000  # over which the work of a cold task is summed against fall_multiple
