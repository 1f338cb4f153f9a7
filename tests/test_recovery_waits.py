"""How soon each peer is tried again, however long it has failed."""

import asyncio

from benchmarks import recovery_waits

TRIES = 12  # enough for a wait that doubles to grow far beyond the limit
LONGEST_WAIT = 1.0  # s: half of the shortest grace for drains that an operator has


def test_no_wait_between_tries_grows_with_the_length_of_a_failure():
    """A list that has to be asked for was asked for 5 s after it was back, past the grace of a drain."""
    waits = asyncio.run(recovery_waits.measure(["reset"], TRIES))
    assert {key: wait for key, wait in waits.items() if wait > LONGEST_WAIT} == {}
