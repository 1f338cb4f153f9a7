"""`garnetpaddle serve` with its turns counted from outside: the product has no switch for that.

    python -m benchmarks.scaling.counted_assigner COUNTS_FILE

The file holds the counts of the latest turn, see `TurnCounts`; they are written to shared memory, without a
system call. The decisions are the product's own.
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
    """Since the start of the process."""

    turns: int = 0
    events: int = 0
    orders: int = 0
    beats: int = 0  # turns with no event but the Brain's own timer
    cpu_s: float = 0.0  # processor time within turns
    list_entries: int = 0
    tasks: int = 0
    own_tasks: int = 0  # those that this assigner orders and probes
    proxies: int = 0
    table_lines: int = 0

    def since(self, earlier):
        """What has been added to an earlier count; the sizes of the state as they stand."""
        return dataclasses.replace(
            self,
            turns=self.turns - earlier.turns,
            events=self.events - earlier.events,
            orders=self.orders - earlier.orders,
            beats=self.beats - earlier.beats,
            cpu_s=self.cpu_s - earlier.cpu_s,
        )


def create(path):
    """An empty file of counts."""
    with open(path, "wb") as file:
        file.write(LAYOUT.pack(*dataclasses.astuple(TurnCounts())))


def read(path):
    """The counts of the latest turn."""
    with open(path, "rb") as file:
        return TurnCounts(*LAYOUT.unpack(file.read(LAYOUT.size)))


class Counter:
    """Wraps a Brain's `handle`, and keeps its counts in a mapped file."""

    def __init__(self, path):
        with open(path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), LAYOUT.size)
        self.turns = self.events = self.orders = self.beats = 0
        self.cpu = 0.0

    def wrap(self, handle, timer_type):
        """The counted form of `Brain.handle`."""

        def counted(brain, now, events):
            begun = time.process_time()
            orders = handle(brain, now, events)
            self.cpu += time.process_time() - begun
            self.turns += 1
            self.events += len(events)
            self.orders += len(orders)
            self.beats += all(isinstance(event, timer_type) for event in events)
            self.write(brain)
            return orders

        return counted

    def write(self, brain):
        """Keeps the counts of this turn."""
        lines = sum(len(table.weights) for table in brain.tables)
        state = len(brain.lines), len(brain.tasks), len(brain.own_tasks), len(brain.proxies), lines
        LAYOUT.pack_into(self.memory, 0, self.turns, self.events, self.orders, self.beats, self.cpu, *state)


def main():
    """Serves as `garnetpaddle serve` does."""
    sys.modules.setdefault("rich", None)  # as the product's `serve` does
    from garnetpaddle import interface
    from garnetpaddle.brain import Brain
    from garnetpaddle.commands.serve import serve
    from garnetpaddle.net.startup_signals import StartupSignals

    startup_signals = StartupSignals()
    startup_signals.install()
    Brain.handle = Counter(sys.argv[1]).wrap(Brain.handle, interface.TimerDue)
    return serve(False, os.environ.get("GARNET_OPERATOR"), startup_signals)


if __name__ == "__main__":
    sys.exit(main())
