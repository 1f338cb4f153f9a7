"""Days of fault injection with three assigners: in process on a virtual clock, and as processes."""

from benchmarks.faults import brain_link
from benchmarks.faults import day as days


def violations(fleet):
    return [str(violation) for violation in fleet.judge.violations]


def test_no_cold_task_is_pushed_over_amid_restarts_and_an_overload():
    """Three assigners together sent a restarted task more than it bears, by lines that each had written."""
    for seed, utilization in ((45, 1.0), (80, 1.0), (96, 0.9)):
        assert violations(brain_link.play(days.draw_day(seed, utilization))) == []
