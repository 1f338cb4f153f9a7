"""A fixed reference computation, timed during each point to show the machine's load."""

import time

OBJECT_COUNT, ROUNDS = 13_000, 10


class Entry:
    """An object with a few attributes, like the Brain's entries."""

    def __init__(self, number):
        self.name, self.state, self.share = f"s-{number}", "ready", 1.0 + number % 7


def reference_ms():
    """Mean CPU time of this thread for one scan and sort of the objects, in milliseconds."""
    entries = {f"s-{number}": Entry(number) for number in range(OBJECT_COUNT)}
    started_at = time.thread_time()
    for _ in range(ROUNDS):
        ready = [entry for entry in entries.values() if entries[entry.name].state == "ready"]
        sorted(ready, key=lambda entry: -entry.share)
    return (time.thread_time() - started_at) * 1_000 / ROUNDS
