"""What an instance orders. All times are whole tenths of a millisecond."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SetLine:
    """One line of a table; weight 0 removes it."""

    table: int
    task: str
    weight: float


@dataclass(frozen=True, slots=True)
class Bind:
    """A proxy follows a table, for all routes."""

    proxy: int
    table: int


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Shut a task out of every table, or let it back in."""

    task: str
    out: bool


@dataclass(frozen=True, slots=True)
class Admit:
    """How much of some routes a table lets in, and when its proxies try again."""

    table: int
    routes: tuple[int, ...]
    level: float  # by Terms.level_kind: a share, 1 letting all in, or calls a second at each proxy
    tries: str  # "none", "on proof" or "once"


@dataclass(frozen=True, slots=True)
class Seal:
    """Ask the proxies this reply reaches (or all joined ones) to say when they have applied it."""

    mark: int
    all_proxies: bool


@dataclass(frozen=True, slots=True)
class Probe:
    task: str
    wait: int  # no answer by then is a timeout


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to the task list."""


@dataclass(frozen=True, slots=True)
class Timer:
    at: int
    key: str


@dataclass(frozen=True, slots=True)
class Note:
    text: str


Order = SetLine | Bind | Withdraw | Admit | Seal | Probe | Watch | Timer | Note
