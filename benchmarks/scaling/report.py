"""Reports the results of a sweep as tables, JSON and plots."""

import dataclasses
import json
import statistics

from rich.console import Console
from rich.table import Table

from benchmarks.scaling import measure, sweep, workload

PLOTTED_FIGURES = ("cpu_part", "resident_kb", "control_bytes_per_s", "up_s", "withdrawal_s")
SIGNIFICANT_DIGITS = 4  # of figures in the tables


def document(results, fits, identity, arguments):
    """All results as one JSON-compatible object."""
    commit, changed = identity
    return {
        "commit": commit,
        "files_changed_since": changed,
        "arguments": arguments,
        "real_assigners": workload.ASSIGNER_PROCESSES,
        "held": dataclasses.asdict(workload.Workload()),
        "lacking": workload.LACKING,
        "fits": {
            name: {key: dataclasses.asdict(fit) for key, fit in by_figure.items()}
            for name, by_figure in fits.items()
        },
        "points": [dataclasses.asdict(result) for result in results],
    }


def write_json(path, content):
    """Writes the document with rounded figures, one point per line."""
    content = round_floats(content)
    points = ",\n".join(json.dumps(point, separators=(",", ":")) for point in content.pop("points"))
    head = json.dumps(content, indent=1).removesuffix("\n}")
    with open(path, "w") as file:
        file.write(f'{head},\n "points": [\n{points}\n]}}\n')


def read_points(path):
    """Reads the points of an earlier document."""
    with open(path) as file:
        content = json.load(file)
    return [
        measure.PointResult(**point | {"workload": workload.Workload(**point["workload"])})
        for point in content["points"]
    ]


def round_floats(value):
    """Rounds all floats of a nested structure to six significant digits."""
    if isinstance(value, float):
        return float(f"{value:.6g}")
    if isinstance(value, dict):
        return {key: round_floats(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [round_floats(item) for item in value]
    return value


def format_figure(value):
    """Formats a figure for the tables."""
    return "-" if value is None else f"{value:.{SIGNIFICANT_DIGITS}g}"


def print_tables(results, fits, console=None):
    """Prints the figures by size and their fits."""
    console = console or Console(width=150)
    for name in dict.fromkeys(result.dimension for result in results):
        sizes = sorted({result.size for result in results if result.dimension == name})
        dimension = workload.DIMENSIONS.get(name)
        table = Table(title=f"{name} ({dimension.unit})" if dimension else name)
        table.add_column("figure")
        for size in sizes:
            table.add_column(f"{size:g}", justify="right")
        for column in ("slope", "interval", "exponent", "shape"):
            table.add_column(column, justify="right")
        for key, description in sweep.FIGURES.items():
            points = sweep.figure_values(results, name, key)
            means = [mean([value for point_size, value in points if point_size == size]) for size in sizes]
            table.add_row(description, *map(format_figure, means), *fit_cells(fits.get(name, {}).get(key)))
        console.print(table)
    for result in results:
        if result.failure:
            console.print(f"FAILED {result.dimension} {result.size:g} run {result.run}: {result.failure}")
    for result in results:
        for assigner in result.assigners:
            if assigner["withdrawal_why_none"]:
                reason = assigner["withdrawal_why_none"]
                console.print(
                    f"{result.dimension} {result.size:g} run {result.run}, {assigner['rank']}: {reason}"
                )
    if references := sorted(result.reference_ms for result in results if result.reference_ms):
        median = format_figure(statistics.median(references))
        lowest, highest = format_figure(references[0]), format_figure(references[-1])
        console.print(f"the reference computation took {median} ms of CPU time ({lowest} to {highest})")
    for name, reason in workload.LACKING.items():
        console.print(f"not measured: {name}: {reason}")


def mean(numbers):
    """The mean; None for an empty list."""
    return sum(numbers) / len(numbers) if numbers else None


def fit_cells(result):
    """The table cells of a fit."""
    if result is None:
        return "-", "-", "-", "-"
    slope, exponent = result.slope, result.exponent
    return (
        format_figure(slope.value),
        f"{format_figure(slope.low)} .. {format_figure(slope.high)}",
        f"{exponent.value:.2f} ({exponent.low:.2f} .. {exponent.high:.2f})" if exponent else "-",
        result.shape,
    )


def plot(path, results):
    """Plots one row per dimension and one column per figure, with a dot per run."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(result.dimension for result in results))
    shape = len(names), len(PLOTTED_FIGURES)
    chart, axes = pyplot.subplots(*shape, figsize=(2.6 * shape[1], 1.7 * shape[0]), squeeze=False)
    for row, name in zip(axes, names, strict=True):
        for axis, key in zip(row, PLOTTED_FIGURES, strict=True):
            points = sweep.figure_values(results, name, key)
            axis.plot([x for x, _ in points], [y for _, y in points], ".", markersize=3)
            axis.set_ylim(bottom=0)
            axis.tick_params(labelsize=6)
            axis.set_xlabel(name, fontsize=6, labelpad=1)
    for axis, key in zip(axes[0], PLOTTED_FIGURES, strict=True):
        axis.set_title(sweep.FIGURES[key], fontsize=6)
    chart.tight_layout(pad=0.4)
    chart.savefig(path, dpi=60)
    pyplot.close(chart)
