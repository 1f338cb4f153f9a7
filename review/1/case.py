"""Case 1: a few report lines come with a figure far out of range; the assigner must not crash."""

import asyncio
import pathlib
import re
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    Fleet,
    Proxy,
    Task,
    dakar_settings,
    deployment,
    run_case,
)

LIFE_S = 20.0  # how long each assigner is watched
LIMIT_S = 100.0
REPORT_DELAY_S = 0.8
CALLS_PER_S = 150
TASKS, PROXIES = 15, 12
HUGE_MEAN = "1e307"  # ms; a finite number, as is the next
LARGEST_DOUBLE = "1.7976931348623157e+308"


def build_fleet(util):
    settings = dakar_settings(PROXIES)
    zones = settings["azs"]
    if util:
        settings["reporting"]["columns"] = ["inflight", "util"]
    kinds = settings["models"]
    tasks = {
        f"s-{k:04x}": Task(f"s-{k:04x}", zones[k % 3], kinds[k % 3], 200.0 + 40 * (k % 3))
        for k in range(TASKS)
    }
    proxies = {
        k: Proxy(k, zones[k % 3], {name: 1.0 for name, task in tasks.items() if task.zone == zones[k % 3]})
        for k in range(PROXIES)
    }
    return Fleet(tasks, proxies, settings, CALLS_PER_S, util)


def with_figure(line, name, value):
    """The line with another figure; nothing else is changed."""
    separator = ":" if name == "util" else "="
    return re.sub(rf"(?<=[ ,=]){name}{separator}[\d.]+", f"{name}{separator}{value}", line)


async def watch(record, trouble, util):
    """One life of an assigner; returns what was broken.

    Without `util`: in each report one line, that of a task in the first zone, has a huge `mean`. With it: in
    each report from the fifth on, the lines of two tasks in the last zone have a huge `util`."""
    reports = 0

    def spoil(lines):
        nonlocal reports
        reports += 1
        zone = "mbao" if util else "pikine"
        chosen = [k for k, line in enumerate(lines[zone]) if line.startswith("upstream_stats")]
        chosen = chosen[:2] if util and reports >= 5 else [] if util else chosen[:1]
        for k in chosen if trouble else ():
            value = LARGEST_DOUBLE if util else HUGE_MEAN
            lines[zone][k] = with_figure(lines[zone][k], "util" if util else "mean", value)
            record.write(f"collector {zone}: {lines[zone][k]}")
        total = sum(map(len, lines.values()))
        record.write(f"report {reports}: {total} lines, {len(chosen) if trouble else 0} of them spoilt")
        return lines

    record.write(f"life with reports of {'inflight and util' if util else 'inflight'}")
    async with deployment(build_fleet(util), record, 1, REPORT_DELAY_S) as (platform, assigner):
        platform.change_lines = spoil
        end = asyncio.get_running_loop().time() + LIFE_S
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
            if (code := assigner.exit_code()) is not None:
                for line in assigner.logged_errors():
                    record.write(f"assigner log: {line}")
                return [f"the assigner ended by itself with exit code {code} after {reports} reports"]
        record.write(f"the assigner runs; calls answered: {platform.served}")
    return []


async def case(record, trouble):
    return await watch(record, trouble, False) + await watch(record, trouble, True)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, LIMIT_S))
