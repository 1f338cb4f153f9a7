"""Log lines on the state transitions that the Brain is told of and orders."""

import math

import pytest
import structlog
from helper import PARAMETERS, BrainHarness, list_changes, task_line

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
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


def test_the_status_counts_the_removals_that_wait_for_the_channel():
    harness = BrainHarness("abcd", 80, queue_limit=8_000.0)
    harness.advance(8)
    log = DecisionLog(harness.brain, PARAMETERS.warm_after)
    harness.brain.channel.queue = harness.brain.channel.unacknowledged = 1_600.0
    counts = []
    for _ in range(2):
        harness.handle(list_changes(task_line("a", "draining"), task_line("b", started=7.9)))
        log.next_status_at = 0
        with structlog.testing.capture_logs() as entries:
            log.observe(harness.now, [], [])
        counts.append(entries[-1]["waiting_removals"])
        harness.brain.channel.queue = harness.brain.channel.unacknowledged = 0.0
    assert counts == [2, 0]


def test_starts_are_forgotten_once_the_tasks_are_warm():
    log = make_log()
    restarted = gp.TaskListReceived("changes", (task_line("a", "ready", NOW / 10_000),))
    log.observe(NOW, [restarted], [])
    assert log.started_at
    log.observe(NOW + PARAMETERS.warm_after + STATUS_PERIOD, [], [])
    assert not log.started_at


def make_cold_log(age=40_000):
    """A log that has just heard of the start of "a", so long ago."""
    log = make_log()
    started = gp.TaskListReceived("changes", (task_line("a", "ready", (NOW - age) / 10_000),))
    log.observe(NOW, [started], [])
    return log


def test_a_cold_task_that_stops_answering_is_told_with_the_lines_that_it_had():
    log = make_cold_log()
    late = NOW + 80_000
    entries = logged(
        log,
        (NOW + 1_000, [gp.ProbeFinished("a", 10, "ok", {})], [gp.SetWeight(1, "a", 0.3)]),
        (NOW + 40_000, [], [gp.SetWeight(1, "a", 0.4)]),
        (NOW + 70_000, [gp.TaskReport("a", "z", 7, 7, 0.0, 10_000, {})], [gp.SetWeight(1, "a", 0.0)]),
        (late, [gp.ProbeFinished("a", 10, "timeout", {})], []),
        (late + 1_000, [gp.ProbeFinished("a", 10, "timeout", {})], []),
    )
    lines = "-7.9s:1=0.3 -4.0s:1=0.4 -1.0s:1=0"
    assert entries[-1] == f"a 12.0 8.0 probe timeout True {lines} 0.0 0 0 False 0 0 0 7 7 1.0 cold_task_lost"
    assert sum("cold_task_lost" in entry for entry in entries) == 1


def test_the_status_names_the_last_cold_task_that_was_lost():
    log = make_cold_log()
    log.observe(NOW, [gp.ProbeFinished("a", 10, "timeout", {})] * 2, [])
    with structlog.testing.capture_logs() as entries:
        log.observe(NOW + STATUS_PERIOD, [], [])
    assert (entries[-1]["cold_losses"], entries[-1]["last_cold_loss"]) == (1, "a 4.0 s old, no lines")


@pytest.mark.parametrize(
    "events",
    [
        [gp.ProbeFinished("a", 60_000, "timeout", {})] * 2,  # they began before the start
        [gp.ProbeFinished("a", 10, outcome, {}) for outcome in ("timeout", "ok", "timeout", "full")],
        [gp.TaskReport("a", "z", 4, 3, 200.0, 10_000, {})] * 2,
    ],
    ids=["former life", "answers between", "some tries answered"],
)
def test_a_cold_task_that_still_answers_is_not_told_as_lost(events):
    entries = logged(make_cold_log(), (NOW + 1_000, events, []))
    assert not any("cold_task_lost" in entry for entry in entries)


def test_a_lost_cold_task_tells_how_long_its_former_line_stayed():
    log = make_log()
    table = log.brain.tables[0]
    table.weights["a"] = math.inf
    started = gp.TaskListReceived("changes", (task_line("a", "ready", NOW / 10_000),))
    log.observe(NOW, [started], [])
    table.set_weight("a", 0.0)
    log.observe(NOW + 12_000, [], [gp.SetWeight(1, "a", 0.0)])
    entries = logged(log, (NOW + 13_000, [gp.ProbeFinished("a", 10, "unreachable", {})] * 2, []))
    assert " 1.2 0 0 False 0 0 0 0 0 1.0 cold_task_lost" in entries[-1]


def test_the_first_line_of_a_task_that_has_just_turned_warm_is_no_cold_line():
    log = make_log()
    started = gp.TaskListReceived("changes", (task_line("a", "ready", NOW / 10_000),))
    warm_at = NOW + PARAMETERS.warm_after
    assert logged(log, (NOW, [started], []), (warm_at, [], [gp.SetWeight(1, "a", 1.0)])) == [
        "a ready 0.0 task_listed"
    ]


@pytest.mark.parametrize(
    "events",
    [
        [gp.ProbeFinished("a", 10, outcome, {}) for outcome in ("unreachable", "ok", "timeout", "timeout")],
        [
            gp.TaskListReceived("changes", (task_line("a", "ready", (NOW - 10_000) / 10_000),)),
            gp.TaskListReceived("changes", (task_line("a", "gone"),)),
        ],
    ],
    ids=["before its start is listed", "dropped by the list"],
)
def test_a_fall_that_the_list_hides_is_counted_with_the_warm_line_that_stood(events):
    log = make_log()
    log.brain.handle(NOW - 50_000, [gp.TaskListReceived("stale", (task_line("a"),))])
    log.observe(NOW - 50_000, [], [gp.SetWeight(1, "a", 1.2)])
    for event in events:
        log.observe(NOW, [event], [])
    assert log.cold_task_log.losses == 1
    assert "-5.0s:1=1.2" in log.cold_task_log.last_loss


def test_a_lost_cold_task_tells_which_proxies_have_not_confirmed_the_removal_of_its_line():
    harness = BrainHarness("abcd", 3)
    log = DecisionLog(harness.brain, PARAMETERS.warm_after)
    harness.advance(8)
    started = list_changes(task_line("a", "ready", harness.now / 10_000))
    orders = harness.brain.handle(harness.now, [started])
    log.observe(harness.now, [started], orders)
    entries = logged(log, (harness.now, [gp.ProbeFinished("a", 0, "unreachable", {})] * 2, []))
    queued = round(harness.brain.channel.queue)
    assert queued and f" 0.0 {queued} 3 False 3 0 0 " in entries[-1]
