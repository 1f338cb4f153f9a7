"""The ranges of the figures in events. Hosts refuse or leave out a figure outside its range.

Within them the sums and products over a whole fleet neither overflow nor vanish, whatever a sender writes.
"""

LARGEST_FIGURE = 1e9  # counts, sizes, calls a second, and the figures of a load
SMALLEST_SIZE = 1e-9  # of a task, as listed
LONGEST_SPAN = 36_000_000  # tenths of a ms, one hour: a report's span, and any latency in it
SHORTEST_LATENCY = 1e-3  # tenths of a ms, of a mean


def is_latency(value):
    """Whether a number of tenths of a ms may be the mean latency of successful tries."""
    return SHORTEST_LATENCY <= value <= LONGEST_SPAN


def is_size(value):
    """Whether a number may be the size of a listed task."""
    return SMALLEST_SIZE <= value <= LARGEST_FIGURE
