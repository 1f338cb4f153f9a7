"""Orders: what an assigner decides. All times are whole tenths of a millisecond.

`logged_as` and `logged_fields` are the names in the logs, which tools read (LogFormat).
"""

from dataclasses import dataclass

from garnetpaddle.interface.log_format import LogFormat


@dataclass(frozen=True, slots=True, repr=False)
class SetWeight(LogFormat):
    """Sets one line of a table, the weight of a task; weight 0 removes the line."""

    logged_as = "SetLine"
    logged_fields = ("table", "task", "weight")
    table: int
    task: str
    weight: float


@dataclass(frozen=True, slots=True, repr=False)
class BindProxy(LogFormat):
    """Makes a proxy follow a table, for all routes."""

    logged_as = "Bind"
    logged_fields = ("proxy", "table")
    proxy: int
    table: int


@dataclass(frozen=True, slots=True, repr=False)
class WithdrawTask(LogFormat):
    """Excludes a task from every table, or allows it again."""

    logged_as = "Withdraw"
    logged_fields = ("task", "out")
    task: str
    withdrawn: bool


@dataclass(frozen=True, slots=True, repr=False)
class SetAdmission(LogFormat):
    """Sets how much of some routes a table admits, and when its proxies retry."""

    logged_as = "Admit"
    logged_fields = ("table", "routes", "level", "tries")
    table: int
    routes: tuple[int, ...]
    level: float  # by Parameters.level_kind: a share, 1 admitting all, or calls a second at each proxy
    retry_mode: str  # "none", "on proof" (that the call was not executed) or "once"


@dataclass(frozen=True, slots=True, repr=False)
class RequestAcknowledgement(LogFormat):
    """Asks the proxies that this batch of orders reaches, or all joined ones, to report when they have
    applied it."""

    logged_as = "Seal"
    logged_fields = ("mark", "all_proxies")
    mark: int
    all_proxies: bool


@dataclass(frozen=True, slots=True, repr=False)
class SendProbe(LogFormat):
    """Sends a health check to a task."""

    logged_as = "Probe"
    logged_fields = ("task", "wait")
    task: str
    timeout: int


@dataclass(frozen=True, slots=True, repr=False)
class SubscribeTaskList(LogFormat):
    logged_as = "Watch"


@dataclass(frozen=True, slots=True, repr=False)
class SetTimer(LogFormat):
    logged_as = "Timer"
    logged_fields = ("at", "key")
    at: int
    key: str


@dataclass(frozen=True, slots=True, repr=False)
class LogMessage(LogFormat):
    logged_as = "Note"
    logged_fields = ("text",)
    text: str


Order = (
    SetWeight
    | BindProxy
    | WithdrawTask
    | SetAdmission
    | RequestAcknowledgement
    | SendProbe
    | SubscribeTaskList
    | SetTimer
    | LogMessage
)
