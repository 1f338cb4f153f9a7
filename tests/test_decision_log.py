"""Log lines on the state transitions that the Brain is told of and orders."""

import structlog
from helper import PARAMETERS, task_line

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.cold_tasks import ColdBudget
from garnetpaddle.net.decision_log import STATUS_PERIOD, DecisionLog

NOW = 1_000_000


def logged(log, *batches):
    """The log lines of some batches, (now, events, orders), without level and the status lines."""
    with structlog.testing.capture_logs() as entries:
        for batch in batches:
            log.observe(*batch)
    return [
        " ".join(str(value) for key, value in entry.items() if key not in ("log_level", "event"))
        + f" {entry['event']}"
        for entry in entries
        if entry["event"] != "status"
    ]


def make_log():
    return DecisionLog(Brain(PARAMETERS, 1), PARAMETERS.warm_after)


def test_a_restarted_task_can_be_followed_from_its_entry_to_its_lines():
    restarted = gp.TaskListReceived("changes", (task_line("a", "ready", (NOW - 20_000) / 10_000),))
    drained = gp.TaskListReceived("changes", (task_line("a", "draining"),))
    assert logged(
        make_log(),
        (NOW, [gp.TaskListReceived("stale", (task_line("a"), task_line("b")))], [gp.SetWeight(1, "b", 1.0)]),
        (NOW, [restarted], []),
        (NOW + 5_000, [], [gp.SetWeight(1, "a", 0.4), gp.SetWeight(1, "b", 2.0)]),
        (NOW + 6_000, [drained], [gp.SetWeight(1, "a", 0.0), gp.WithdrawTask("a", True)]),
        (NOW + 7_000, [], [gp.WithdrawTask("a", False)]),
    ) == [
        "stale 2 list_heard",
        "a ready 2.0 task_listed",
        "a 1 0.4 2.5 cold_line",
        "a draining task_listed",
        "a task_withdrawn",
        "a task_readmitted",
    ]


def test_membership_and_binds_are_counted_for_each_batch():
    joins = [gp.ProxyJoined(proxy, 20.0, proxy == 1, "z") for proxy in range(3)]
    binds = [gp.BindProxy(0, 1), gp.BindProxy(1, 1), gp.BindProxy(2, 2)]
    assert logged(make_log(), (NOW, joins, []), (NOW + 5_000, [], binds), (NOW, [gp.ProxyLeft(1)], [])) == [
        "3 2 proxies_joined",
        "1 2 0.5 proxies_bound",
        "2 1 0.5 proxies_bound",
        "1 proxies_left",
    ]


def test_only_changes_of_a_probe_outcome_are_logged():
    def probe(outcome):
        return NOW, [gp.ProbeFinished("a", 10, outcome, {})], []

    outcomes = ("ok", "timeout", "timeout", "full", "unreachable", "ok", "ok")
    assert logged(make_log(), *map(probe, outcomes)) == [
        "a timeout ok probe_changed",
        "a unreachable timeout probe_changed",
        "a ok unreachable probe_changed",
    ]


def test_status_tells_what_the_brain_believes_once_in_a_period():
    log = make_log()
    with structlog.testing.capture_logs() as entries:
        for now in (NOW, NOW + STATUS_PERIOD - 1, NOW + STATUS_PERIOD):
            log.observe(now, [], [])
    assert [entry["health"] for entry in entries] == [1.0, 1.0]


def test_starts_are_forgotten_once_the_tasks_are_warm():
    log = make_log()
    restarted = gp.TaskListReceived("changes", (task_line("a", "ready", NOW / 10_000),))
    log.observe(NOW, [restarted], [])
    assert log.started_at
    log.observe(NOW + PARAMETERS.warm_after + STATUS_PERIOD, [], [])
    assert not log.started_at


def test_a_cold_line_tells_the_bounds_that_it_was_held_to():
    log = make_log()
    log.brain.cold_tasks.budgets["a"] = ColdBudget(0.12, 0.05, 0.9, 1.4, 0.04)
    log.brain.cold_tasks.record(NOW, gp.TaskReport("a", "z", 20, 5, 900.0, 10_000, {}))
    started = gp.TaskListReceived("changes", (task_line("a", "ready", (NOW - 40_000) / 10_000),))
    assert logged(log, (NOW, [started], [gp.SetWeight(1, "a", 0.4)]))[1:] == [
        "a 1 0.4 4.0 0.9 1.4 15 0.09 0.12 0.05 0.04 20.0 15.0 cold_line"
    ]
