"""The object of settings under its own names, and the terms it comes to. Unknown keys are passed over."""

import msgspec

from garnetpaddle import interface as gp
from garnetpaddle.boot.words import Unknown, tenths


class Category(msgspec.Struct):
    promise: float
    name: str
    gain: float = 1.0
    effect: str = ""  # of a call on what it changes; only further fronts read it


class Ceilings(msgspec.Struct):
    probes: bool = False


class Contract(msgspec.Struct):
    start_capacity: float
    fall_multiple: float
    cold: float
    must_ask_in: float = 10.0
    dropped_stay_open: bool = False
    stop_sending_within: float = 3.0  # the grace for drains


class Specifics(msgspec.Struct):
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
    how: str = "none"


class Told(msgspec.Struct):
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


def terms(told):
    it, rules = told.specifics, told.contract
    if it.ranges:
        raise Unknown("specifics.ranges", it.ranges)  # no site has slices yet: none are steered
    return gp.Terms(
        routes=tuple(gp.Route(c.gain, tenths(c.promise)) for c in told.categories),
        list_mode=told.discovery,
        must_ask_in=tenths(rules.must_ask_in),
        probes_allowed=told.ceilings.probes,
        warm_after=tenths(rules.cold),
        start_share=rules.start_capacity,
        fall_multiple=rules.fall_multiple,
        gone_binds=not rules.dropped_stay_open,
        report_period=tenths(it.report_every),
        channel_lines=it.egress_per_s,
        queue_limit=it.queue_cap,
        head_lines=it.head,
        message_cap=it.pushes_allowed,
        message_span=tenths(it.counted_over),
        level_kind=it.level_kind,
        strikes=it.strikes,
        grace=tenths(rules.stop_sending_within),
        tries={0: "none", 1: "on proof", 2: "once"}.get(it.base_mode, ""),
        proxies=max(it.agents, 1),
        assigners=max(told.balancers, 1),
        rank=told.rank,
        zone=told.my_zone,
        zones=max(len(told.azs), 1),
        homed=it.homed_by_zone,
    )
