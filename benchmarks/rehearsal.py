"""Measures the speed of a rehearsal by the size of its fleet.

    python -m benchmarks.rehearsal                    # 15, 30, 120, 1000 nodes
    python -m benchmarks.rehearsal --nodes 15,30 --json result.json

Reports simulated seconds and events per second of real time, the fraction of time spent in the Brain, and
the maximum memory. Each size runs in its own process. The call rate is 10 per second and node, the number of
proxies 4 times the square root of the nodes. The baseline, policy "even", uses one even table and no Brain.
"""

import json
import multiprocessing
import resource
import sys
import tempfile
import time

import click

DURATION_S = 20  # simulated time

SCRIPT_TEMPLATE = """
rehearsal {{
  length = {seconds}
  seed   = 5
}}
zone "a" {{ proxies = {proxies_per_zone} }}
zone "b" {{ proxies = {proxies_per_zone} }}
route "r" {{
  share = 1
  work  = 0.12
  slo   = 1
  limit = 3
}}
kind "large" {{
  cores = 4
  speed = 1.4
}}
kind "small" {{ cores = 2 }}
nodes "large" {{
  kind  = "large"
  zone  = "a"
  count = {large_nodes}
}}
nodes "small" {{
  kind  = "small"
  zone  = "b"
  count = {small_nodes}
}}
clients {{ rate = {rate} }}
delays {{
  lines       = {lines}
  queue_limit = {queue}
}}
trouble "slow" {{
  kind   = "slow"
  start  = 5
  end    = 15
  share  = 0.1
  amount = 4
}}
"""


def run_rehearsal(pipe, nodes, policy):
    from garnetpaddle.brain import Brain
    from garnetpaddle.rehearsal import Simulation, read

    proxies = max(2, round(4 * nodes**0.5))
    with tempfile.NamedTemporaryFile("w", suffix=".hcl") as file:
        file.write(
            SCRIPT_TEMPLATE.format(
                seconds=DURATION_S,
                proxies_per_zone=max(1, proxies // 2),
                large_nodes=nodes // 3,
                small_nodes=nodes - nodes // 3,
                rate=10 * nodes,
                lines=100 * nodes,
                queue=200 * nodes,
            )
        )
        file.flush()
        script = read(file.name)
    brain_seconds, original_handle = [0.0], Brain.handle

    def timed_handle(self, now, events):
        started_at = time.perf_counter()
        try:
            return original_handle(self, now, events)
        finally:
            brain_seconds[0] += time.perf_counter() - started_at

    Brain.handle = timed_handle
    started_at = time.perf_counter()
    result = Simulation(script, policy=policy).run()
    elapsed = time.perf_counter() - started_at
    pipe.send(
        {
            "nodes": nodes,
            "proxies": 2 * max(1, proxies // 2),
            "policy": policy,
            "calls": result.counts["calls"],
            "took": elapsed,
            "simulated_a_second": DURATION_S / elapsed,
            "events_a_second": result.counts["events"] / elapsed,
            "brain_part": brain_seconds[0] / elapsed,
            "service": result.service(),
            "broken": [violation.rule for violation in result.violations],
            "mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        }
    )


@click.command()
@click.option("--nodes", default="15,30,120,1000")
@click.option("--json", "path")
def main(nodes, path):
    """Runs the rehearsals and prints a table."""
    rows = []
    print(
        f"{'nodes':>6} {'proxies':>7} {'policy':>6} {'calls':>7} | {'sim s/s':>8} {'events/s':>9} "
        f"{'Brain':>6} {'MB':>5} | service, broken"
    )
    for count in map(int, nodes.split(",")):
        for policy in ("brain", "even"):
            parent_pipe, child_pipe = multiprocessing.Pipe()
            process = multiprocessing.get_context("spawn").Process(
                target=run_rehearsal, args=(child_pipe, count, policy)
            )
            process.start()
            rows.append(row := parent_pipe.recv())
            process.join()
            print(
                f"{count:6} {row['proxies']:7} {policy:>6} {row['calls']:7} | "
                f"{row['simulated_a_second']:8.2f} {row['events_a_second']:9.0f} {row['brain_part']:6.1%} "
                f"{row['mb']:5.0f} | "
                f"{row['service']:.3f}, {', '.join(row['broken']) or 'no rule'}",
                flush=True,
            )
    if path:
        with open(path, "w") as file:
            json.dump(rows, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main(standalone_mode=False))
