"""The result of a simulation: service, latencies, samples, rule violations and log."""

import json
from dataclasses import dataclass, field

from ddsketch import DDSketch

RELATIVE_ACCURACY = 0.01  # of latency quantiles
WINDOW_LENGTH = 100_000  # 10 s


@dataclass
class Result:
    """Times are tenths of a ms. asked, served: the summed importance of all calls, and of those answered
    within the SLO time; service is served / asked."""

    script: str
    seed: int
    policy: str
    asked: float = 0.0
    served: float = 0.0
    windows: dict = field(default_factory=dict)  # window -> [asked, served]
    routes: dict = field(default_factory=dict)  # name -> [asked, served]
    seconds: dict = field(default_factory=dict)  # second -> [asked, served]
    outcomes: dict = field(default_factory=dict)
    troubles: list = field(default_factory=list)  # (name, kind, start, end) in seconds
    latencies: DDSketch = field(default_factory=lambda: DDSketch(RELATIVE_ACCURACY))
    samples: list = field(default_factory=list)  # one per second, for the plots
    log: list = field(default_factory=list)  # (at, text)
    violations: list = field(default_factory=list)
    counts: dict = field(default_factory=dict)

    def count(self, route, importance, called_at, outcome, elapsed, in_time):
        """Counts an ended call."""
        window_sums = self.windows.setdefault(called_at // WINDOW_LENGTH, [0.0, 0.0])
        route_sums = self.routes.setdefault(route, [0.0, 0.0])
        self.asked += importance
        second_sums = self.seconds.setdefault(called_at // 10_000, [0.0, 0.0])
        for sums in (window_sums, route_sums, second_sums):
            sums[0] += importance
            sums[1] += importance * in_time
        self.served += importance * in_time
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome == "ok":
            self.latencies.add(elapsed)

    def service(self):
        """Service over the whole simulation."""
        return self.served / self.asked if self.asked else 1.0

    def worst(self, sums):
        """The lowest service among sums of (asked, served)."""
        return min((served / asked for asked, served in sums.values() if asked), default=1.0)

    def quantile(self, fraction):
        """A latency quantile in tenths of a ms; None if nothing was answered."""
        return self.latencies.get_quantile_value(fraction)

    def as_dict(self):
        """The result as JSON-compatible values, in a fixed order."""
        return {
            "script": self.script,
            "seed": self.seed,
            "policy": self.policy,
            "service": round(self.service(), 6),
            "worst_window": round(self.worst(self.windows), 6),
            "worst_route": round(self.worst(self.routes), 6),
            "routes": {k: round(s / a, 6) for k, (a, s) in self.routes.items() if a},
            "outcomes": dict(sorted(self.outcomes.items())),
            "latency_ms": {f"p{p}": round((self.quantile(p / 100) or 0) / 10, 2) for p in (50, 90, 99)},
            "broken": [
                {"rule": b.rule, "at": b.at / 10_000, "who": b.who, "why": b.why, "orders": list(b.orders)}
                for b in self.violations
            ],
            "counts": self.counts,
            "samples": self.samples,
            "troubles": self.troubles,
            "seconds": [[k, asked, served] for k, (asked, served) in sorted(self.seconds.items())],
            "log": [[at / 10_000, text] for at, text in self.log],
        }

    def to_json(self):
        """The result as JSON: identical bytes for the same simulation on any machine."""
        return json.dumps(self.as_dict(), separators=(",", ":"), ensure_ascii=False).encode()
