"""Days of fault injection with three assigners, in process on a virtual clock."""

import pytest

from benchmarks.faults import brain_link
from benchmarks.faults import day as days


def violations(fleet):
    return [str(violation) for violation in fleet.judge.violations]


@pytest.mark.parametrize(("seed", "utilization"), [(34, 0.8), (32, 0.9), (96, 0.9), (45, 1.0), (80, 1.0)])
def test_no_cold_task_is_pushed_over_amid_restarts_and_an_overload(seed, utilization):
    """Three assigners together sent a restarted task more than it bears, by lines that each had written."""
    assert violations(brain_link.play(days.draw_day(seed, utilization))) == []
