"""Plots of simulations: service, weights and calls in hand on one time axis, with the troubles shaded."""

import matplotlib

matplotlib.use("Agg")  # renders to files, without a display

from matplotlib import pyplot  # noqa: E402

COLOURS = ("tab:red", "tab:orange", "tab:purple", "tab:brown", "tab:olive", "tab:cyan")
LABELLED_NODES = 6  # those with the largest range of weights


def plot(results, path):
    """Draws results of one script (as from Result.as_dict) into a PNG file; nodes of the first one only."""
    figure, (service, weights, in_hand) = pyplot.subplots(3, 1, sharex=True, figsize=(11, 9))
    first = results[0]
    plot_service(service, results)
    plot_nodes(weights, first, 0, "weight ordered")
    plot_nodes(in_hand, first, 1, "calls in hand")
    shade_troubles((service, weights, in_hand), first["troubles"])
    for broken in first["broken"]:
        service.axvline(broken["at"], color="black", linestyle=":")
    in_hand.set_xlabel("s")
    figure.suptitle(f"{first['script']}, seed {first['seed']} (simulated)")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def plot_service(axis, results):
    """Plots the service of each result by the second."""
    for result in results:
        seconds = [second for second, _, _ in result["seconds"]]
        services = [served / asked if asked else 1.0 for _, asked, served in result["seconds"]]
        axis.plot(seconds, services, label=f"{result['policy']} ({result['service']:.3f})")
    axis.set_ylabel("importance in time, each second")
    axis.legend(loc="lower left")


def plot_nodes(axis, result, value_index, heading):
    """Plots one value of each node's samples; labels the nodes with the largest range of weights."""
    seconds = [row[0] for row in result["samples"]]
    names = list(dict.fromkeys(name for row in result["samples"] for name in row[3]))
    series = {name: [row[3].get(name, [0.0, 0]) for row in result["samples"]] for name in names}

    def negated_weight_range(name):
        weights = [weight for weight, _ in series[name]]
        return min(weights) - max(weights), name

    labelled = sorted(names, key=negated_weight_range)[:LABELLED_NODES]
    for name in names:
        shown = name in labelled
        axis.plot(
            seconds,
            [pair[value_index] for pair in series[name]],
            label=name if shown else None,
            color=None if shown else "0.8",
            linewidth=1.4 if shown else 0.8,
            zorder=2 if shown else 1,
        )
    axis.set_ylabel(heading)
    axis.legend(loc="upper left", fontsize="x-small", ncols=3)


def shade_troubles(axes, troubles):
    """Shades the duration of each trouble on all axes, and names it on the first one."""
    for k, (name, kind, start, end) in enumerate(troubles):
        colour = COLOURS[k % len(COLOURS)]
        for axis in axes:
            axis.axvspan(start, end, color=colour, alpha=0.12)
        height = 1.03 + 0.05 * (k % 2)
        axes[0].text(start, height, f"{name} ({kind})", fontsize="x-small", color=colour)
