"""Tests the registry's indexes, and that a batch's cost depends on its changes, not on the fleet's size."""

import collections
import dataclasses
import functools
import sys

import pytest
from helper import PARAMETERS, task_line
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.state import Task
from garnetpaddle.task_registry import TaskRegistry

PROXIES = 12  # of this assigner
OWN_TASKS = 10  # tasks in its part: there is one assigner for every ten tasks


def ids(tasks):
    return "".join(task.id for task in tasks)


def make_registry(names):
    registry = TaskRegistry()
    for name in names:
        registry.register(Task(task_line(name), 1.0, 0))
        registry.update_line(0, task_line(name))
    return registry


def test_ready_tasks_keep_the_order_in_which_they_were_first_named():
    registry = make_registry("bca")
    assert ids(registry.ready()) == "bca"
    registry.update_line(1, task_line("c", "draining"))
    assert ids(registry.ready()) == "ba" and list(registry.leaving) == ["c"]
    registry.register(Task(task_line("c", started=1), 1.0, 0))
    registry.update_line(2, task_line("c", started=1))
    assert ids(registry.ready()) == "bca" and not registry.leaving and registry.changed_at["c"] == 2


def test_ready_returns_the_same_list_object_until_the_task_list_changes():
    registry = make_registry("ab")
    first = registry.ready()
    registry.observe(registry.tasks["b"])
    assert registry.ready() is first
    registry.update_line(1, task_line("a", "gone"))
    assert registry.ready() is not first


def test_observed_tasks_follow_new_information_and_list_changes():
    registry = make_registry("abc")
    assert registry.observed() == []
    for name in "ca":
        registry.observe(registry.tasks[name])
    assert ids(registry.observed()) == "ac"
    registry.mark_unlisted(3, "b")
    assert (
        ids(registry.observed()) == "abc" and list(registry.leaving) == ["b"] and registry.tasks["b"].unlisted
    )
    registry.update_line(4, task_line("a", "draining"))
    registry.remove("a")
    assert ids(registry.observed()) == "bc" and set(registry.tasks) == set(registry.lines) == {"b", "c"}
    assert list(registry.leaving) == ["b"]


def test_a_restarted_task_is_unobserved_until_there_is_information_on_it():
    registry = make_registry("ab")
    registry.observe(registry.tasks["a"])
    registry.register(Task(task_line("a", started=5), 1.0, 0))
    registry.update_line(1, task_line("a", started=5))
    assert registry.observed() == []


def test_shares_are_grouped_by_kind_for_evaluated_tasks_only():
    registry = TaskRegistry()
    for name, kind, share, headroom in (("a", "m", 1.5, 1.0), ("b", "s", 0.5, 1.0), ("c", "s", 9.0, 0.0)):
        registry.register(Task(task_line(name, kind=kind), share, 0))
        registry.tasks[name].headroom = headroom
        registry.update_line(0, task_line(name, kind=kind))
    assert registry.shares() == {"m": [1.5], "s": [0.5]}


def count_executed_lines(function):
    """Counts the lines of the program that a function executes, each iteration: the same on every machine."""
    counter = collections.Counter()

    def trace_line(frame, event, _):
        counter["lines"] += event == "line"
        return trace_line

    def trace_call(frame, *_):
        return trace_line if "garnetpaddle" in frame.f_code.co_filename else None

    previous = sys.gettrace()
    sys.settrace(trace_call)
    try:
        function()
    finally:
        sys.settrace(previous)
    return counter["lines"]


class Assigner:
    """A Brain that orders a part of a fleet, in simulated time; it starts after the first 9 s."""

    def __init__(self, tasks):
        self.names = [f"t{number:05}" for number in range(tasks)]
        assigners = max(tasks // OWN_TASKS, 1)
        parameters = dataclasses.replace(
            PARAMETERS,
            proxies=PROXIES * assigners,
            assigners=assigners,
            channel_lines=20.0,
            failures_before_avoidance=8,
        )
        self.brain, self.now, self.pending_events = Brain(parameters, 7), 0, []
        self.handle_batch(gp.TaskListReceived("full", tuple(task_line(name) for name in self.names)))
        self.handle_batch(*(gp.ProxyJoined(proxy, 5.0, True, "z") for proxy in range(PROXIES)))
        for _ in range(90):
            self.tick()

    def handle_batch(self, *events):
        orders = self.brain.handle(self.now, events)
        self.pending_events += [
            gp.ProbeFinished(o.task, 500, "ok", {}) for o in orders if isinstance(o, gp.SendProbe)
        ]
        marks = [o.mark for o in orders if isinstance(o, gp.RequestAcknowledgement)]
        self.pending_events += [
            gp.OrdersApplied(proxy, mark, 500) for mark in marks for proxy in range(PROXIES)
        ]

    def tick(self, *events):
        self.now += 1_000
        pending, self.pending_events = self.pending_events, []
        self.handle_batch(*pending, *events)


CHANGES = {
    "nothing": lambda assigner: (),
    "a report": lambda assigner: (
        gp.TaskReport(assigner.brain.own_tasks[0].id, "z", 10, 0, 200.0, 10_000, {}),
    ),
    "an acknowledgement": lambda assigner: (gp.OrdersApplied(0, assigner.brain.channel.mark, 500),),
    "a join": lambda assigner: (gp.ProxyJoined(0, 5.0, True, "z"),),
    "a probe": lambda assigner: (gp.ProbeFinished(assigner.brain.own_tasks[0].id, 500, "ok", {}),),
}


@pytest.mark.parametrize("change", CHANGES)
def test_the_cost_of_a_batch_depends_on_its_changes_and_not_on_the_fleet_size(change):
    """Both own parts have ten tasks. Without the indexes, 40 times the tasks ran 30 times the lines."""
    work = {}
    for tasks in (100, 4_000):
        assigner = Assigner(tasks)
        assert len(assigner.brain.own_tasks) == OWN_TASKS
        events = CHANGES[change](assigner)
        work[tasks] = sum(count_executed_lines(functools.partial(assigner.tick, *events)) for _ in range(10))
    assert work[4_000] < 1.5 * work[100], work


def test_only_tasks_of_the_own_part_are_probed_and_keep_a_timer():
    assigner = Assigner(4_000)
    probed = [action for _, _, action, _ in assigner.brain.timers if action is Brain.probe]
    assert len(probed) == OWN_TASKS
    assigner.tick(gp.TaskListReceived("changes", (task_line(assigner.brain.own_tasks[0].id, "draining"),)))
    for _ in range(12):
        assigner.tick()
    probed = [task.id for _, _, action, task in assigner.brain.timers if action is Brain.probe]
    assert sorted(probed) == sorted(task.id for task in assigner.brain.own_tasks)


def test_the_cost_of_a_full_list_is_proportional_to_its_length():
    """Searching a list and walking all tasks for each line took over 20 s of a core for 13,000 lines."""
    work = {}
    for tasks in (500, 4_000):
        listed = gp.TaskListReceived("full", tuple(task_line(f"t{number:05}") for number in range(tasks)))
        brain = Brain(dataclasses.replace(PARAMETERS, proxies=4_000, assigners=400, channel_lines=20.0), 7)
        brain.handle(0, [gp.TaskListReceived("full", listed.lines[: tasks // 2])])
        work[tasks] = count_executed_lines(lambda brain=brain, listed=listed: brain.handle(10, [listed]))
    assert work[4_000] < 10 * work[500], work


NAMES, STATES = st.sampled_from("abcdef"), st.sampled_from(("ready", "ready", "draining", "gone"))
LINES = st.lists(st.builds(task_line, NAMES, STATES, st.sampled_from((0, 0, 1, 2))), max_size=8)
LISTS = st.builds(
    gp.TaskListReceived, st.sampled_from(("changes", "full", "stale", "lost")), LINES.map(tuple)
)
PROBES = st.builds(
    lambda name, outcome: gp.ProbeFinished(name, 10, outcome, {}),
    NAMES,
    st.sampled_from(("ok", "unreachable")),
)
REPORTS = st.builds(
    lambda name, failures: gp.TaskReport(name, "z", 9, failures, 200.0, 10_000, {}), NAMES, st.integers(0, 9)
)
BATCHES = st.lists(st.tuples(st.lists(LISTS | PROBES | REPORTS, max_size=3), st.integers(1, 400_000)))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(BATCHES, st.booleans())
def test_the_indexes_agree_with_any_sequence_of_task_lists(batches, gone_binds):
    """Lists may name a task twice, drop it, list it again, be older than the last one or be empty."""
    brain, now = Brain(dataclasses.replace(PARAMETERS, dropped_counts_as_gone=gone_binds), 7), 0
    brain.handle(0, [gp.ProxyJoined(0, 5.0, True, "z")])
    for events, elapsed in batches:
        now += elapsed
        brain.handle(now, events)
        registry, state = brain.registry, {name: line.state for name, line in brain.lines.items()}
        ready = [task for name, task in brain.tasks.items() if state[name] == "ready"]
        assert registry.ready() == ready
        assert registry.observed() == [task for task in ready if task.observed]
        assert all(task.observed for task in ready if task.ejected or task.fault_evidence or task.unlisted)
        assert (
            {name for name, value in state.items() if value != "ready"} <= set(registry.leaving) <= set(state)
        )
        assert all(brain.tasks[name].observed for name in registry.leaving if state[name] == "ready")
        assert set(brain.tasks) <= set(brain.lines) == set(brain.changed_at)
