"""Compares two sets of simulations seed by seed: differences, their size, and whether they exceed chance."""

from dataclasses import dataclass
from typing import NamedTuple

from scipy import stats

CONFIDENCE = 0.95  # level of the interval
FIGURES = ("service", "worst_window", "worst_route")


@dataclass(frozen=True, slots=True)
class Difference:
    """Mean of B's figure minus A's, over the same seeds. low, high: its confidence interval, by a paired
    t-test."""

    figure: str
    a: float
    b: float
    mean: float
    low: float
    high: float

    def verdict(self):
        """ "more" or "less" if the interval excludes 0, "noise" if it doesn't, "same" if nothing differs."""
        if self.low == self.high == 0:
            return "same"
        return "more" if self.low > 0 else "less" if self.high < 0 else "noise"


def differences(a, b):
    """Returns a Difference for each figure. a, b: seed -> figures as from Result.as_dict; only seeds in both
    count. Raises ValueError if these are fewer than two, which allow no interval."""
    seeds = [seed for seed in a if seed in b]
    if len(seeds) < 2:
        raise ValueError("at least two seeds are needed")
    compared = []
    for figure in FIGURES:
        pairs = [(a[seed][figure], b[seed][figure]) for seed in seeds]
        deltas = [y - x for x, y in pairs]
        mean = sum(deltas) / len(deltas)
        low = high = mean
        if max(deltas) > min(deltas):
            low, high = map(float, stats.t.interval(CONFIDENCE, len(deltas) - 1, mean, stats.sem(deltas)))
        compared.append(
            Difference(
                figure,
                sum(x for x, _ in pairs) / len(pairs),
                sum(y for _, y in pairs) / len(pairs),
                mean,
                low,
                high,
            )
        )
    return compared


class Divergence(NamedTuple):
    """The first difference between two simulations: its time in seconds, and the record of each there."""

    at: float
    first: object
    second: object


def records(result):
    """All log lines and samples of a simulation, in a fixed order."""
    rows = [(at, "log", text) for at, text in result["log"]]
    rows += [(row[0], "sample", row[1:]) for row in result["samples"]]
    return sorted(rows, key=lambda row: (row[0], row[1], str(row[2])))


def first_divergence(a, b):
    """The Divergence of two results of one seed, as from Result.as_dict; None if they are the same."""
    records_a, records_b = records(a), records(b)
    for x, y in zip(records_a, records_b, strict=False):
        if x != y:
            earlier = min(x, y, key=lambda row: row[0])
            return Divergence(earlier[0], x, y)
    rest = records_a[len(records_b) :] or records_b[len(records_a) :]
    if not rest:
        return None
    return Divergence(
        rest[0][0], records_a[len(records_b) :][:1] or None, records_b[len(records_a) :][:1] or None
    )
