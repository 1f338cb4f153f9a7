"""Measures the cost of an assigner by the size of its environment: one size varies, the others are constant.

    python -m benchmarks.scale --json docs/capacity/scale.json --plot docs/capacity/scale.png
    python -m benchmarks.scale --dimension tasks --dimension fleet      # only these
    python -m benchmarks.scale --dimension tasks --sizes 400,1600,6400 --runs 1
    python -m benchmarks.scale --operators                              # one point of the operators' size
    python -m benchmarks.scale --read docs/capacity/before.json         # report an earlier sweep
    python -m benchmarks.scale --quick                                  # small sizes, short windows, one run

Two real assigners run as processes on loopback, each with a process of fake peers: relay, discovery, tasks
and collectors. All other assigners exist only in the settings. Each point measures CPU time and memory of
the assigners, turns of the Brain (counted at the second assigner), bytes and messages per link, the times
from the start to the first heartbeat answer, to the first order and to the last bound proxy, and the time
from a list change until no proxy has the task in its table. A size that fails is reported with its reason.
docs/CAPACITY.md evaluates the results.
"""

# Imports only for the command itself: each spawned process of fake peers loads this file again.
if __name__ == "__main__":
    from benchmarks.scaling.command import main

    main()
