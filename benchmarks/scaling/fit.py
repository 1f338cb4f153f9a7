"""Linear fits of figures over sizes, with confidence intervals and a lack-of-fit test. No I/O."""

import math
import warnings
from dataclasses import dataclass

from scipy import stats

CONFIDENCE = 0.95
MIN_RUNS = 3  # per size; with fewer the interval of a slope is too wide to be useful
EXPONENT_TOLERANCE = 0.05  # exponent bounds this close to 1 count as linear for capacity planning
FLAT_TOLERANCE = 0.2  # fraction of the first size's value; less variation over the sweep counts as flat


@dataclass(frozen=True, slots=True)
class Interval:
    """A value with its confidence interval."""

    value: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Fit:
    """How one figure grows with one size."""

    slope: Interval  # per unit of the size
    intercept: float
    exponent: Interval | None  # of the growth above the smallest size's value; 1 is linear
    lack_of_fit: float | None  # p-value of the lack-of-fit F test against a straight line
    shape: str  # "flat", "unclear", "falling", "linear", "superlinear", "sublinear", "unknown"


def linear_fit(points):
    """Least-squares fit of (size, value) pairs: the slope with its interval, and the intercept."""
    sizes, values = zip(*points, strict=True)
    regression = stats.linregress(sizes, values)
    half_width = (
        stats.t.ppf((1 + CONFIDENCE) / 2, len(points) - 2) * regression.stderr
        if len(points) > 2
        else math.inf
    )
    return Interval(
        regression.slope, regression.slope - half_width, regression.slope + half_width
    ), regression.intercept


def values_by_size(points):
    """The values grouped by size, in ascending order of size."""
    sizes = {}
    for size, value in sorted(points):
        sizes.setdefault(size, []).append(value)
    return sizes


def growth_exponent(points):
    """Exponent of the growth above the value at the smallest size, from a log-log fit."""
    sizes = values_by_size(points)
    smallest = min(sizes)
    base = sum(sizes[smallest]) / len(sizes[smallest])
    growth = [(x - smallest, y - base) for x, y in points if x > smallest and y > base]
    if len(growth) < 3 or len({x for x, _ in growth}) < 2:
        return None
    return linear_fit([(math.log(x), math.log(y)) for x, y in growth])[0]


def lack_of_fit(points):
    """P-value of the lack-of-fit F test: a straight line against the spread between runs of a size."""
    sizes = values_by_size(points)
    pure_error_degrees = len(points) - len(sizes)
    if pure_error_degrees < 1 or len(sizes) < 3:
        return None
    slope, intercept = linear_fit(points)
    pure_error = sum((y - sum(ys) / len(ys)) ** 2 for ys in sizes.values() for y in ys)
    residual = sum((y - intercept - slope.value * x) ** 2 for x, y in points)
    if pure_error <= 0:
        return 0.0 if residual > 1e-12 else 1.0
    f_statistic = ((residual - pure_error) / (len(sizes) - 2)) / (pure_error / pure_error_degrees)
    return float(stats.f.sf(f_statistic, len(sizes) - 2, pure_error_degrees))


def shape_of(points, slope, exponent):
    """Classifies the growth of a figure, see `Fit.shape`."""
    sizes = values_by_size(points)
    means = [sum(values) / len(values) for values in sizes.values()]
    if min(len(values) for values in sizes.values()) < MIN_RUNS:
        return "unknown"
    if max(means) - min(means) <= FLAT_TOLERANCE * abs(means[0]):
        return "flat"
    if slope.low <= 0 <= slope.high:
        return "unclear"
    if means[-1] < means[0]:
        return "falling"
    if exponent is None:
        return "unknown"
    if exponent.low > 1 + EXPONENT_TOLERANCE:
        return "superlinear"
    if exponent.high < 1 - EXPONENT_TOLERANCE:
        return "sublinear"
    return "linear"


def fit(points):
    """The fit of (size, value) pairs over all runs; None for fewer than three sizes."""
    if len({size for size, _ in points}) < 3:
        return None
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", RuntimeWarning)  # raised for values without variance
        slope, intercept = linear_fit(points)
        exponent, misfit_probability = growth_exponent(points), lack_of_fit(points)
    return Fit(slope, float(intercept), exponent, misfit_probability, shape_of(points, slope, exponent))
