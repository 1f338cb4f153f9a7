"""Discrete-event scheduler on a virtual clock, and the random streams of a simulation."""

import heapq

import numpy as np

TENTHS_OF_MS_PER_SECOND = 10_000


def tenths_of_ms(seconds):
    """Converts seconds to whole tenths of a millisecond."""
    return int(seconds * TENTHS_OF_MS_PER_SECOND + 0.5)


class Scheduler:
    """Runs functions in order of their due time; ties run in the order in which they were scheduled."""

    def __init__(self, seed):
        self.seed, self.now, self.serial, self.queue, self.executed_events = seed, 0, 0, [], 0

    def call_at(self, when, function, *arguments):
        """Schedules a function for a point in time, or for now if that has passed."""
        self.serial += 1
        heapq.heappush(self.queue, (max(when, self.now), self.serial, function, arguments))

    def call_later(self, delay, function, *arguments):
        """Schedules a function to run after a delay."""
        self.call_at(self.now + delay, function, *arguments)

    def run(self, until):
        """Runs everything due by then, inclusive, and sets the clock to that time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.queue)
            self.executed_events += 1
            function(*arguments)
        self.now = max(self.now, until)

    def random_stream(self, name):
        """An independent generator seeded by the name: draws from other streams do not affect it."""
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, *name.encode()])))
