"""What an instance is told once, at its start. All times are whole tenths of a millisecond."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Route:
    """A kind of call."""

    importance: float
    slo_time: int


@dataclass(frozen=True, slots=True)
class Terms:
    routes: tuple[Route, ...]
    list_mode: str  # "push" or "ask"
    must_ask_in: int
    probes_allowed: bool
    warm_after: int
    start_share: float
    fall_multiple: float
    gone_binds: bool
    report_period: int
    channel_lines: float  # lines a second
    queue_limit: float  # lines
    head_lines: float  # lines a message costs on top of its own
    message_cap: int  # messages to one proxy in message_span; 0: no cap
    message_span: int
    level_kind: str  # "fraction", "per_second" or "none"
    proxies: int = 1  # of all assigners
    assigners: int = 1
    rank: int = 0  # of this assigner among them
    zone: str = ""  # it stands in
    zones: int = 1
    homed: bool = False  # proxies join an assigner of their own zone where there is one
    grace: int = 30_000  # after which nobody may call a task that drains or is gone
    tries: str = ""  # how proxies try again where no order says it: as in Admit; "": not known
    strikes: int = 0  # own failures in a row after which a proxy avoids a task; 0: never
