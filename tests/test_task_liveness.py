"""Decisions on tasks whose process has ended before the task list tells of it."""

import pytest
from helper import BrainHarness, list_changes, task_line

from garnetpaddle import interface as gp


def lines(harness):
    return {task for table in harness.brain.tables for task in table.weights}


def refuse(harness, *tasks, outcome="refused"):
    """One probe of each task ends so, and the later ones as well."""
    harness.probe_outcomes |= dict.fromkeys(tasks, outcome)
    harness.handle(*(gp.ProbeFinished(task, 20, outcome, {}) for task in tasks))


def test_the_line_of_a_task_goes_with_the_first_refused_probe():
    """It stood until two probes and a report had failed, and met the next process while that was cold."""
    harness = BrainHarness()
    harness.advance(4)
    harness.trace.clear()
    refuse(harness, "a")
    assert harness.trace == ["  4.0  a=0"]


def test_a_task_that_this_assigner_alone_may_not_reach_keeps_its_line():
    harness = BrainHarness()
    harness.advance(4)
    refuse(harness, "a", outcome="unreachable")
    assert lines(harness) == set("abcd")


def test_the_lines_of_tasks_whose_processes_have_ended_go_where_most_of_the_fleet_crashes():
    """Above half of the tasks they counted as a fault of the network and kept their lines."""
    harness = BrainHarness("abcdefgh")
    harness.advance(4)
    refuse(harness, *"abcdefg")
    assert lines(harness) == {"h"}


def test_a_table_keeps_a_line_where_every_process_has_ended():
    harness = BrainHarness()
    harness.advance(4)
    refuse(harness, *"abcd")
    assert lines(harness)


def test_the_last_task_that_is_refused_brings_no_line_of_another_one_back():
    """The lines of all that had ended were ordered again and met the first process that had started."""
    harness = BrainHarness()
    harness.advance(4)
    for name in "abcd":
        refuse(harness, name)
        harness.advance(0.3)
    assert lines(harness) == {"d"}


def test_a_refused_task_has_no_line_until_the_list_could_tell_of_its_restart():
    harness = BrainHarness()
    harness.advance(4)
    refuse(harness, "a")
    harness.advance(0.5)
    harness.probe_outcomes.clear()
    harness.advance(2.4)
    assert "a" not in lines(harness)
    harness.advance(1.5)
    assert "a" in lines(harness)


def test_removals_of_refused_tasks_share_a_message_on_a_busy_channel():
    """One message for each, seven lines of head a proxy: a wave of crashes filled the channel."""
    harness = BrainHarness("abcdefgh", 80, queue_limit=8_000.0)
    harness.advance(8)
    harness.acknowledges, harness.pending_events = False, []
    harness.brain.channel.queue = harness.brain.channel.unacknowledged = 2_400.0
    harness.trace.clear()
    refuse(harness, "a")
    harness.advance(0.2)
    refuse(harness, "b")
    harness.advance(0.2)
    assert harness.trace == []
    harness.advance(0.2)
    assert harness.trace == ["  8.6  a=0, b=0"]


def test_a_refused_task_is_withdrawn_from_proxies_that_hold_tables_of_a_former_life():
    harness = BrainHarness("abcdefgh", 0)
    harness.handle(*(gp.ProxyJoined(proxy, 20.0, False, "z") for proxy in range(3)))
    harness.advance(0.5)
    harness.trace.clear()
    refuse(harness, "a")
    harness.advance(0.1)
    assert any("withdraw a" in entry for entry in harness.trace), harness.trace


@pytest.mark.parametrize("perhaps", [False, True], ids=["not carried out", "in doubt"])
def test_a_removal_of_a_restarted_tasks_line_that_is_lost_is_ordered_again_at_once(perhaps):
    """It counted as a change of a weight, the least urgent, and waited for seconds behind a busy channel."""
    harness = BrainHarness()
    harness.advance(4)
    harness.handle(list_changes(task_line("a", started=3.9)))
    harness.brain.tables[0].pushed_at[2] = harness.now
    harness.trace.clear()
    harness.lose_last_orders(perhaps)
    assert any("a=0" in entry for entry in harness.trace), harness.trace


def count_probes(harness, task):
    return sum(order == gp.SendProbe(task, order.timeout) for order in harness.last_orders if is_probe(order))


def is_probe(order):
    return isinstance(order, gp.SendProbe)


def test_each_task_is_probed_at_once_after_a_start():
    """The first probes were spread over a second, in which a new life knew of no death."""
    harness = BrainHarness("abcdefgh")
    probed = {order.task for order in harness.last_orders if is_probe(order)}
    harness.advance(0.1)
    probed |= {order.task for order in harness.last_orders if is_probe(order)}
    assert probed == set("abcdefgh")


def test_a_lost_connection_leads_to_a_probe_at_once_but_not_to_one_for_each():
    """A task that closes idle connections is probed twice as often at most."""
    harness = BrainHarness()
    harness.advance(4)
    probes = []
    for _ in range(5):
        harness.handle(gp.TaskConnectionLost("a"), gp.TaskConnectionLost("unknown"))
        probes.append(count_probes(harness, "a"))
    harness.now += 10_000
    harness.handle(gp.TaskConnectionLost("a"))
    probes.append(count_probes(harness, "a"))
    assert probes[:5] == [1, 0, 0, 0, 0] and probes[5] >= 1


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_lost_connection_of_a_task_that_left_leads_to_no_probe(state):
    harness = BrainHarness()
    harness.advance(4)
    harness.handle(list_changes(task_line("a", state)))
    harness.advance(2)
    harness.handle(gp.TaskConnectionLost("a"))
    assert not count_probes(harness, "a")
