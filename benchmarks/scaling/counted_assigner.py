"""Runs `garnetpaddle serve` with a counter around `Brain.handle`: the product has no option for that.

    python -m benchmarks.scaling.counted_assigner COUNTS_FILE

The file holds the totals after the latest turn, see `TurnCounts`. They are written to shared memory without
a system call. The decisions are unchanged.
"""

import dataclasses
import mmap
import os
import struct
import sys
import time
from dataclasses import dataclass

LAYOUT = struct.Struct("=qqqqdqqqqq")


@dataclass(frozen=True, slots=True)
class TurnCounts:
    """Totals since the start of the process, and the current sizes of the state."""

    turns: int = 0
    events: int = 0
    orders: int = 0
    beats: int = 0  # turns with no event other than the Brain's own timer
    cpu_s: float = 0.0  # CPU time within turns
    list_entries: int = 0
    tasks: int = 0
    own_tasks: int = 0  # tasks that this assigner orders and probes
    proxies: int = 0
    table_lines: int = 0

    def since(self, earlier):
        """The totals as a difference to an earlier count; the sizes of the state stay as they are."""
        return dataclasses.replace(
            self,
            turns=self.turns - earlier.turns,
            events=self.events - earlier.events,
            orders=self.orders - earlier.orders,
            beats=self.beats - earlier.beats,
            cpu_s=self.cpu_s - earlier.cpu_s,
        )


def create_counts_file(path):
    """Creates a file of zero counts."""
    with open(path, "wb") as file:
        file.write(LAYOUT.pack(*dataclasses.astuple(TurnCounts())))


def read_counts(path):
    """Reads the counts after the latest turn."""
    with open(path, "rb") as file:
        return TurnCounts(*LAYOUT.unpack(file.read(LAYOUT.size)))


class Counter:
    """Wraps `Brain.handle` and writes its counts to a memory-mapped file."""

    def __init__(self, path):
        with open(path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), LAYOUT.size)
        self.turns = self.events = self.orders = self.beats = 0
        self.cpu_s = 0.0

    def wrap(self, handle, timer_type):
        """Returns `handle` with counting added."""

        def counting_handle(brain, now, events):
            started_at = time.process_time()
            orders = handle(brain, now, events)
            self.cpu_s += time.process_time() - started_at
            self.turns += 1
            self.events += len(events)
            self.orders += len(orders)
            self.beats += all(isinstance(event, timer_type) for event in events)
            self.write(brain)
            return orders

        return counting_handle

    def write(self, brain):
        """Writes the counts after a turn."""
        lines = sum(len(table.weights) for table in brain.tables)
        state = len(brain.lines), len(brain.tasks), len(brain.own_tasks), len(brain.proxies), lines
        LAYOUT.pack_into(self.memory, 0, self.turns, self.events, self.orders, self.beats, self.cpu_s, *state)


def main():
    """Runs the assigner as `garnetpaddle serve` does."""
    sys.modules.setdefault("rich", None)  # as the product's `serve` does
    from garnetpaddle import interface
    from garnetpaddle.brain import Brain
    from garnetpaddle.commands.serve import serve
    from garnetpaddle.net.startup_signals import StartupSignals

    startup_signals = StartupSignals()
    startup_signals.install()
    Brain.handle = Counter(sys.argv[1]).wrap(Brain.handle, interface.TimerExpired)
    return serve(False, os.environ.get("GARNET_OPERATOR"), startup_signals)


if __name__ == "__main__":
    sys.exit(main())
