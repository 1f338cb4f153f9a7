"""Calls per second at each task, as the joined proxies report them. No decisions."""

import dataclasses
from dataclasses import dataclass

TENTHS_OF_MS_PER_SECOND = 10_000


@dataclass(frozen=True, slots=True)
class CallRate:
    """Calls per second: `tries` that were sent, and `answers` among them that were good."""

    tries: float = 0.0
    answers: float = 0.0

    def __add__(self, other):
        return CallRate(self.tries + other.tries, self.answers + other.answers)


@dataclass(frozen=True, slots=True)
class ZoneRate:
    """The smoothed rate that the proxies of one zone last reported, and when."""

    rate: CallRate
    reported_at: int


class CallRates:
    """Keeps the rates by task and zone. smoothing_factor: the weight of the latest report."""

    def __init__(self, smoothing_factor):
        self.smoothing_factor = smoothing_factor
        self.by_task = {}  # task -> zone -> ZoneRate

    def record(self, now, report):
        """Takes over a TaskReport; its span must be above 0."""
        span = report.span / TENTHS_OF_MS_PER_SECOND
        rate = CallRate(report.tries / span, (report.tries - report.failures) / span)
        zones = self.by_task.setdefault(report.task, {})
        if report.zone in zones:
            former = zones[report.zone].rate
            rate = CallRate(
                *(
                    old + self.smoothing_factor * (new - old)
                    for old, new in zip(dataclasses.astuple(former), dataclasses.astuple(rate), strict=True)
                )
            )
        zones[report.zone] = ZoneRate(rate, now)

    def forget_until(self, limit):
        """Forgets the rates reported at or before a time."""
        for task, zones in list(self.by_task.items()):
            for zone in [zone for zone, zone_rate in zones.items() if zone_rate.reported_at <= limit]:
                del zones[zone]
            if not zones:
                del self.by_task[task]

    def forget_task(self, task):
        """Forgets a task's rates, as after its restart."""
        self.by_task.pop(task, None)

    def rate(self, task):
        """The CallRate of a task over all zones; None if none was reported."""
        zones = self.by_task.get(task)
        return sum((zone_rate.rate for zone_rate in zones.values()), CallRate()) if zones else None

    def total_tries(self):
        """Tries per second at all tasks together."""
        return sum(zone_rate.rate.tries for zones in self.by_task.values() for zone_rate in zones.values())
