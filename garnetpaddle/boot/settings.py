"""The settings object that an assigner receives at its start, with the field names of its JSON form.

derive_parameters() derives the Brain's parameters from it. Unknown keys are ignored."""

import msgspec

from garnetpaddle import interface as gp
from garnetpaddle.boot.parsing import UnknownValueError, seconds_to_tenths_of_ms


class Category(msgspec.Struct):
    """A route: a class of calls with its own latency objective."""

    promise: float  # s: the latency objective
    name: str
    gain: float = 1.0
    effect: str = ""  # whether a call may be repeated; used only by the advice front ends


class Ceilings(msgspec.Struct):
    """What the platform permits the assigner to do."""

    probes: bool = False


class Contract(msgspec.Struct):
    """Behaviour of tasks, and deadlines for the assigner; durations in seconds."""

    start_capacity: float
    fall_multiple: float
    cold: float
    must_ask_in: float = 10.0
    dropped_stay_open: bool = False
    stop_sending_within: float = 3.0  # grace period of a drain
    tip_after: float = 3.0  # over which the work of a cold task is summed


class Specifics(msgspec.Struct):
    """Parameters of the push channel, of reports and of the proxies."""

    egress_per_s: float
    queue_cap: float
    report_every: float
    head: float = 6.0
    counted_over: float = 10.0
    pushes_allowed: int = 0
    level_kind: str = "none"
    ranges: int = 0
    strikes: int = 0
    base_mode: int = -1
    agents: int = 1
    homed_by_zone: bool = False


class Reporting(msgspec.Struct):
    """How tasks report their load, if at all."""

    how: str = "none"


class Settings(msgspec.Struct):
    """The settings object."""

    categories: list[Category]
    ceilings: Ceilings
    contract: Contract
    specifics: Specifics
    discovery: str
    balancers: int = 1
    rank: int = 0
    my_zone: str = ""
    azs: list[str] = []
    quantum: float = 0.0
    reporting: Reporting = msgspec.field(default_factory=Reporting)


def derive_parameters(settings):
    """Returns the Brain's parameters (interface.Parameters); raises UnknownValueError if `ranges` is set.

    An unknown base_mode is not refused, but becomes "": the retry mode is not known."""
    # channel: all of `specifics`, which also covers reports and proxies
    channel, contract = settings.specifics, settings.contract
    if channel.ranges:
        # Ranges (slices) are not supported: no deployment has them yet.
        raise UnknownValueError("specifics.ranges", channel.ranges)
    return gp.Parameters(
        routes=tuple(gp.Route(c.gain, seconds_to_tenths_of_ms(c.promise)) for c in settings.categories),
        list_mode=settings.discovery,
        resubscribe_deadline=seconds_to_tenths_of_ms(contract.must_ask_in),
        probes_allowed=settings.ceilings.probes,
        warm_after=seconds_to_tenths_of_ms(contract.cold),
        start_share=contract.start_capacity,
        fall_multiple=contract.fall_multiple,
        dropped_counts_as_gone=not contract.dropped_stay_open,
        report_period=seconds_to_tenths_of_ms(channel.report_every),
        channel_lines=channel.egress_per_s,
        queue_limit=channel.queue_cap,
        message_overhead_lines=channel.head,
        message_cap=channel.pushes_allowed,
        message_cap_period=seconds_to_tenths_of_ms(channel.counted_over),
        level_kind=channel.level_kind,
        failures_before_avoidance=channel.strikes,
        drain_grace_period=seconds_to_tenths_of_ms(contract.stop_sending_within),
        default_retry_mode={0: "none", 1: "on proof", 2: "once"}.get(channel.base_mode, ""),
        proxies=max(channel.agents, 1),
        assigners=max(settings.balancers, 1),
        rank=settings.rank,
        zone=settings.my_zone,
        zones=max(len(settings.azs), 1),
        join_own_zone=channel.homed_by_zone,
        overload_window=seconds_to_tenths_of_ms(contract.tip_after),
    )
