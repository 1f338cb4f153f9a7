"""The command line of the scale benchmark, see benchmarks/scale.py."""

import sys

import click

from benchmarks.scaling import measure, report, sweep, workload

QUICK_SIZES = {
    "tasks": (64, 256, 1_024),
    "proxies": (4, 16, 64),
    "requests": (16, 64, 256),
}


def print_progress(result, seconds):
    """Prints one line for a finished point to stderr."""
    assigners = result.assigners
    medians = {key: measure.median_of(assigners, key) for key in ("cpu_part", "resident_kb", "up_s")}
    figures = " ".join(f"{key} {report.format_figure(value)}" for key, value in medians.items())
    failure = f"  FAILED: {result.failure[:160]}" if result.failure else ""
    click.echo(
        f"{result.dimension:>14} {result.size:>7g} run {result.run}: {seconds:5.1f} s  {figures}{failure}",
        err=True,
    )


def plan_points(names, sizes, runs, quick, operators):
    """The points to run, by the command line options."""
    if operators:
        return [sweep.Plan("operators", 1.0, run, workload.OPERATORS) for run in range(runs)]
    if quick:
        names = names or tuple(QUICK_SIZES)
        return [
            plan
            for name in names
            for plan in sweep.plan_dimensions([name], sizes or QUICK_SIZES.get(name), runs)
        ]
    return sweep.plan_dimensions(names or workload.SWEPT, sizes, runs)


@click.command()
@click.option(
    "--dimension",
    "names",
    multiple=True,
    type=click.Choice([*workload.DIMENSIONS]),
    help="Default: all but large_burst.",
)
@click.option("--sizes", help="Comma-separated sizes for the one named dimension, instead of its defaults.")
@click.option(
    "--runs", type=click.IntRange(1, 20), help="Runs per size; slopes need three. Default 3, with --quick 1."
)
@click.option("--seed", default=34, show_default=True, help="Seed of the first run; each further run adds 1.")
@click.option(
    "--jobs",
    type=click.IntRange(1, 4),
    default=3,
    show_default=True,
    help="Number of light points run in parallel.",
)
@click.option("--quick", is_flag=True, help="Small sizes and short windows, for a trial.")
@click.option("--operators", is_flag=True, help="One point at the operators' full size, instead of a sweep.")
@click.option("--read", "read_path", help="Report the points of this JSON file, without measuring.")
@click.option("--json", "json_path", help="Write all figures to this file.")
@click.option("--plot", "plot_path", help="Plot the figures to this PNG file.")
def main(names, sizes, runs, seed, jobs, quick, operators, read_path, json_path, plot_path):
    """Runs the sweep and prints its tables."""
    if sizes and len(names) != 1:
        raise click.UsageError("--sizes needs exactly one --dimension")
    sizes = tuple(float(size) for size in sizes.split(",")) if sizes else None
    runs = runs or (1 if quick else 3)
    commit = sweep.commit()
    timing = measure.QUICK if quick else measure.Timing()
    if read_path:
        results, json_path = report.read_points(read_path), None
    else:
        results = sweep.Sweep(seed, timing, jobs, print_progress).run(
            plan_points(names, sizes, runs, quick, operators)
        )
    fits = sweep.fits(results)
    report.print_tables(results, fits)
    if json_path:
        arguments = {"argv": sys.argv[1:], "seed": seed, "runs": runs, "jobs": jobs}
        report.write_json(json_path, report.document(results, fits, commit, arguments))
    if plot_path:
        report.plot(plot_path, results)
