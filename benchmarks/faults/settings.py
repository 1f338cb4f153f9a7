"""The settings object of a day's assigners."""

import msgspec

from benchmarks.faults import day as days
from garnetpaddle import boot

RETRY_ON_PROOF = 1  # base_mode: proxies retry once where the first try provably never ran


def settings(day, rank):
    """The `settings` of one assigner's configuration."""
    delays = day.delays
    return {
        "azs": list(days.ZONES),
        "my_zone": days.ZONES[rank % len(days.ZONES)],
        "balancers": day.assigners,
        "rank": rank,
        "discovery": "push",
        "quantum": 0.005,
        "categories": [
            {"name": route.name, "promise": route.slo, "gain": route.importance} for route in day.routes
        ],
        "ceilings": {"probes": True},
        "contract": {
            "cold": day.told_warm_after,
            "fall_multiple": delays.fall_multiple,
            "start_capacity": day.told_start_share,
            "must_ask_in": 10.0,
            "stop_sending_within": delays.grace,
            "tip_after": delays.tip_after,
        },
        "reporting": {"how": "answers"},
        "specifics": {
            "agents": day.proxies,
            "egress_per_s": delays.lines,
            "queue_cap": delays.queue_limit,
            "head": delays.head,
            "report_every": delays.period,
            "level_kind": "none",
            "strikes": delays.strikes,
            "base_mode": RETRY_ON_PROOF,
        },
    }


def decode(values):
    """The settings as boot.Settings."""
    return msgspec.convert(values, boot.Settings)
