"""`rehearse`: lists, checks, runs, compares and plots scripts of simulations, and prints event logs.

Policies: "brain" is the Brain, "even" and "least" are baselines. A command returns its exit code, because
commands.line.main calls click with standalone_mode=False."""

import concurrent.futures
import json
import os
import pathlib

import click


def read_script(path):
    """Returns the rehearsal.Script of a file; if it is invalid, prints its diagnostics and exits with 2."""
    from garnetpaddle.operator import InvalidFileError
    from garnetpaddle.rehearsal import read

    try:
        return read(path)
    except InvalidFileError as error:
        for diagnostic in error.diagnostics:
            click.echo(f"garnetpaddle: {diagnostic}", err=True)
        raise click.exceptions.Exit(2) from None


def simulate(path, seed, policy, log=None):
    """Runs one simulation, in a worker process; returns its result as a dict and as JSON.

    log: path of the event log to write, or None."""
    from garnetpaddle.rehearsal import Simulation, read
    from garnetpaddle.rehearsal.events import Writer

    writer = Writer(log) if log else None
    try:
        result = Simulation(read(path), seed, policy, writer).run()
    finally:
        if writer:
            writer.close()
    return result.as_dict(), result.to_json()


@click.group()
def rehearse():
    """Simulate incidents from scripts, deterministically."""


@rehearse.command("list")
@click.argument("folder", default="examples/rehearsals", type=click.Path(exists=True, file_okay=False))
def list_scripts(folder):
    """List the scripts of a folder, each with its title: the comment in its first line."""
    for path in sorted(pathlib.Path(folder).glob("*.hcl")):
        title = path.read_text().partition("\n")[0].lstrip("# ")
        click.echo(f"{path}: {title}")
    return 0


@rehearse.command()
@click.argument("scripts", nargs=-1, required=True)
def check(scripts):
    """Validate scripts; exit 2 if one is invalid."""
    for path in scripts:
        script = read_script(path)
        proxies = sum(zone.proxies for zone in script.zones)
        click.echo(
            f"{path}: fine; {len(script.node_names())} nodes, {proxies} proxies, "
            f"{len(script.troubles)} troubles in {script.rehearsal.length:g} s"
        )
    return 0


@rehearse.command()
@click.argument("script")
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1),
    help="Number of simulations, with consecutive seeds from the script's on.",
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(["brain", "even", "least"]),
    help="Can be repeated; default: all three.",
)
@click.option(
    "--jobs", default=1, show_default=True, type=click.IntRange(1), help="Simulations to run in parallel."
)
@click.option(
    "--out", type=click.Path(file_okay=False), help="Folder for the result and log of each simulation."
)
@click.option(
    "--events",
    is_flag=True,
    help="With --out: also write the event log of each simulation of the Brain (zstd).",
)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as lines of JSON.")
def run(script, seeds, policies, jobs, out, events, as_json):
    """Run a script; exit 1 if a rule was violated."""
    first = read_script(script).rehearsal.seed
    runs = [
        (seed, policy)
        for seed in range(first, first + seeds)
        for policy in policies or ("brain", "even", "least")
    ]
    broken, folder = 0, pathlib.Path(out) if out else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    with concurrent.futures.ProcessPoolExecutor(min(jobs, len(runs), os.cpu_count() or 1)) as pool:

        def log(seed, policy):
            wanted = events and folder and policy == "brain"
            return str(folder / f"{pathlib.Path(script).stem}-{policy}-{seed}.events.zst") if wanted else None

        futures = [
            (seed_and_policy, pool.submit(simulate, script, *seed_and_policy, log(*seed_and_policy)))
            for seed_and_policy in runs
        ]
        for (seed, policy), future in with_progress_bar(futures):
            result, data = future.result()
            broken += bool(result["broken"])
            if folder:  # written as each simulation ends, so that an interrupted run keeps the finished ones
                write_atomically(folder / f"{pathlib.Path(script).stem}-{policy}-{seed}.json", data)
            figures = {k: result[k] for k in ("policy", "seed", "service", "worst_window", "worst_route")}
            figures |= {
                "p99_ms": result["latency_ms"]["p99"],
                "broken": [b["rule"] for b in result["broken"]],
            }
            click.echo(json.dumps(figures) if as_json else format_figures(figures))
    return 1 if broken else 0


@rehearse.command()
@click.argument("a")
@click.argument("b")
@click.option("--seeds", default=8, show_default=True, type=click.IntRange(2))
@click.option("--policy", default="brain", type=click.Choice(["brain", "even", "least"]), show_default=True)
@click.option("--against", type=click.Choice(["brain", "even", "least"]), help="B's policy, if different.")
@click.option(
    "--jobs", default=1, show_default=True, type=click.IntRange(1), help="Simulations to run in parallel."
)
def compare(a, b, seeds, policy, against, jobs):
    """Run two scripts with the same seeds; print how B differs from A, and whether beyond chance."""
    first = read_script(a).rehearsal.seed
    read_script(b)
    from garnetpaddle.rehearsal.compare import differences, first_divergence

    runs = [
        (path, seed, side_policy)
        for seed in range(first, first + seeds)
        for path, side_policy in ((a, policy), (b, against or policy))
    ]
    with concurrent.futures.ProcessPoolExecutor(min(jobs, len(runs), os.cpu_count() or 1)) as pool:
        results = [result for result, _ in pool.map(simulate, *zip(*runs, strict=True))]
    results_by_side = (
        {result["seed"]: result for result in results[0::2]},
        {result["seed"]: result for result in results[1::2]},
    )
    for d in differences(*results_by_side):
        click.echo(
            f"{d.figure:13} {d.a:.4f} -> {d.b:.4f}: {d.mean:+.4f} ({d.low:+.4f} to {d.high:+.4f}), "
            f"{d.verdict()}"
        )
    for name, results_by_seed in (("A", results_by_side[0]), ("B", results_by_side[1])):
        broken = sum(bool(figures["broken"]) for figures in results_by_seed.values())
        click.echo(f"{name}: rules violated in {broken} of {seeds} simulations")
    divergence = first_divergence(results_by_side[0][first], results_by_side[1][first])
    click.echo(
        f"seed {first}: " + (f"first difference at {divergence[0]:g} s" if divergence else "no difference")
    )
    return 0


@rehearse.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--from", "start", default=0.0, help="Start, in s.")
@click.option("--to", "end", default=1e9, help="End, in s.")
def log(file, start, end):
    """Print an event log: the Brain's events (<) and orders (>), with their time in seconds."""
    from garnetpaddle.rehearsal.events import read

    for now, event_texts, order_texts in read(file):
        if start <= now / 10_000 <= end:
            for mark, texts in (("<", event_texts), (">", order_texts)):
                for text in texts:
                    click.echo(f"{now / 10_000:9.3f} {mark} {text}")
    return 0


@rehearse.command()
@click.argument("results", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option("--to", default="rehearsal.png", show_default=True, type=click.Path(dir_okay=False))
def plot(results, to):
    """Plot results written by `run --out`: the service of all, the nodes of the first one."""
    from garnetpaddle.rehearsal.plots import plot

    plot([json.loads(pathlib.Path(path).read_bytes()) for path in results], to)
    click.echo(to)
    return 0


def with_progress_bar(runs):
    """Returns an iterator over the items of `runs`, with a progress bar if standard error is a terminal."""
    from rich.console import Console
    from rich.progress import track

    console = Console(stderr=True)
    return track(runs, "simulating", console=console, transient=True, disable=not console.is_terminal)


def write_atomically(path, data):
    """Writes a file atomically, so that an interrupted run leaves no partial one."""
    partial = path.with_suffix(".part")
    partial.write_bytes(data)
    partial.replace(path)


def format_figures(figures):
    """Returns a result's figures as a line of text."""
    return (
        f"{figures['policy']:6} seed {figures['seed']}: service {figures['service']:.4f}, worst 10 s "
        f"{figures['worst_window']:.4f}, worst route {figures['worst_route']:.4f}, 99th "
        f"{figures['p99_ms']:.0f} ms; broken: {', '.join(figures['broken']) or 'no rule'}"
    )
