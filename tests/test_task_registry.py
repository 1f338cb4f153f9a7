"""The registry's indexes, and that a turn's work follows what changed instead of the size of the fleet."""

import collections
import dataclasses
import functools
import sys

import pytest
from helper import TERMS, line
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.state import Task
from garnetpaddle.task_registry import TaskRegistry

PROXIES = 12  # of this assigner
PROBED = 10  # tasks in its part: one in ten of the assigners


def ids(tasks):
    return "".join(task.id for task in tasks)


def registered(names):
    registry = TaskRegistry()
    for name in names:
        registry.register(Task(line(name), 1.0, 0))
        registry.update_line(0, line(name))
    return registry


def test_ready_tasks_keep_the_order_in_which_they_were_first_named():
    registry = registered("bca")
    assert ids(registry.ready()) == "bca"
    registry.update_line(1, line("c", "draining"))
    assert ids(registry.ready()) == "ba" and list(registry.leaving) == ["c"]
    registry.register(Task(line("c", started=1), 1.0, 0))
    registry.update_line(2, line("c", started=1))
    assert ids(registry.ready()) == "bca" and not registry.leaving and registry.changed_at["c"] == 2


def test_the_ready_list_stands_as_one_object_until_the_task_list_changes():
    registry = registered("ab")
    first = registry.ready()
    registry.observe(registry.tasks["b"])
    assert registry.ready() is first
    registry.update_line(1, line("a", "gone"))
    assert registry.ready() is not first


def test_observed_tasks_follow_what_is_said_of_them_and_their_lines():
    registry = registered("abc")
    assert registry.observed() == []
    for name in "ca":
        registry.observe(registry.tasks[name])
    assert ids(registry.observed()) == "ac"
    registry.mark_unlisted(3, "b")
    assert (
        ids(registry.observed()) == "abc" and list(registry.leaving) == ["b"] and registry.tasks["b"].unlisted
    )
    registry.update_line(4, line("a", "draining"))
    registry.remove("a")
    assert ids(registry.observed()) == "bc" and set(registry.tasks) == set(registry.lines) == {"b", "c"}
    assert list(registry.leaving) == ["b"]


def test_a_new_life_is_unobserved_until_it_is_heard_of():
    registry = registered("ab")
    registry.observe(registry.tasks["a"])
    registry.register(Task(line("a", started=5), 1.0, 0))
    registry.update_line(1, line("a", started=5))
    assert registry.observed() == []


def test_shares_are_told_by_kind_for_weighed_tasks_only():
    registry = TaskRegistry()
    for name, kind, share, headroom in (("a", "m", 1.5, 1.0), ("b", "s", 0.5, 1.0), ("c", "s", 9.0, 0.0)):
        registry.register(Task(line(name, kind=kind), share, 0))
        registry.tasks[name].headroom = headroom
        registry.update_line(0, line(name, kind=kind))
    assert registry.shares() == {"m": [1.5], "s": [0.5]}


def steps_of(work):
    """Lines of the program that a piece of work runs, each iteration counted: the same on every machine."""
    counted = collections.Counter()

    def local(frame, event, _):
        counted["lines"] += event == "line"
        return local

    def called(frame, *_):
        return local if "garnetpaddle" in frame.f_code.co_filename else None

    before = sys.gettrace()
    sys.settrace(called)
    try:
        work()
    finally:
        sys.settrace(before)
    return counted["lines"]


class Assigner:
    """A Brain with a part of a fleet, past its first seconds, in virtual time."""

    def __init__(self, tasks):
        self.names = [f"t{number:05}" for number in range(tasks)]
        assigners = max(tasks // PROBED, 1)
        terms = dataclasses.replace(
            TERMS,
            proxies=PROXIES * assigners,
            assigners=assigners,
            channel_lines=20.0,
            failures_before_avoidance=8,
        )
        self.brain, self.now, self.coming = Brain(terms, 7), 0, []
        self.turn(gp.TaskListReceived("full", tuple(line(name) for name in self.names)))
        self.turn(*(gp.ProxyJoined(proxy, 5.0, True, "z") for proxy in range(PROXIES)))
        for _ in range(90):
            self.beat()

    def turn(self, *events):
        orders = self.brain.handle(self.now, events)
        self.coming += [
            gp.ProbeFinished(o.task, 500, "ok", {}) for o in orders if isinstance(o, gp.SendProbe)
        ]
        marks = [o.mark for o in orders if isinstance(o, gp.RequestAcknowledgement)]
        self.coming += [gp.OrdersApplied(proxy, mark, 500) for mark in marks for proxy in range(PROXIES)]

    def beat(self, *events):
        self.now += 1_000
        coming, self.coming = self.coming, []
        self.turn(*coming, *events)


CHANGES = {
    "nothing": lambda assigner: (),
    "a report": lambda assigner: (
        gp.TaskReport(assigner.brain.own_tasks[0].id, "z", 10, 0, 200.0, 10_000, {}),
    ),
    "an answer": lambda assigner: (gp.OrdersApplied(0, assigner.brain.mark, 500),),
    "a join": lambda assigner: (gp.ProxyJoined(0, 5.0, True, "z"),),
    "a probe": lambda assigner: (gp.ProbeFinished(assigner.brain.own_tasks[0].id, 500, "ok", {}),),
}


@pytest.mark.parametrize("change", CHANGES)
def test_a_turn_costs_what_changed_however_many_tasks_are_listed(change):
    """Ten tasks of the own part in both; before the registry, 40 times the tasks ran 30 times the lines."""
    work = {}
    for tasks in (100, 4_000):
        assigner = Assigner(tasks)
        assert len(assigner.brain.own_tasks) == PROBED
        events = CHANGES[change](assigner)
        work[tasks] = sum(steps_of(functools.partial(assigner.beat, *events)) for _ in range(10))
    assert work[4_000] < 1.5 * work[100], work


def test_only_tasks_of_the_own_part_are_probed_and_keep_a_timer():
    assigner = Assigner(4_000)
    probed = [act for _, _, act, _ in assigner.brain.timers if act is Brain.probe]
    assert len(probed) == PROBED
    assigner.beat(gp.TaskListReceived("changes", (line(assigner.brain.own_tasks[0].id, "draining"),)))
    for _ in range(12):
        assigner.beat()
    probed = [task.id for _, _, act, task in assigner.brain.timers if act is Brain.probe]
    assert sorted(probed) == sorted(task.id for task in assigner.brain.own_tasks)


def test_hearing_a_whole_list_costs_by_its_length():
    """Each line used to be looked up in a list and to walk all tasks: 13,000 took over 20 s of a core."""
    work = {}
    for tasks in (500, 4_000):
        listed = gp.TaskListReceived("full", tuple(line(f"t{number:05}") for number in range(tasks)))
        brain = Brain(dataclasses.replace(TERMS, proxies=4_000, assigners=400, channel_lines=20.0), 7)
        brain.handle(0, [gp.TaskListReceived("full", listed.lines[: tasks // 2])])
        work[tasks] = steps_of(lambda brain=brain, listed=listed: brain.handle(10, [listed]))
    assert work[4_000] < 10 * work[500], work


NAMES, STATES = st.sampled_from("abcdef"), st.sampled_from(("ready", "ready", "draining", "gone"))
LINES = st.lists(st.builds(line, NAMES, STATES, st.sampled_from((0, 0, 1, 2))), max_size=8)
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
TURNS = st.lists(st.tuples(st.lists(LISTS | PROBES | REPORTS, max_size=3), st.integers(1, 400_000)))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(TURNS, st.booleans())
def test_the_indexes_agree_with_the_lists_whatever_they_say(turns, gone_binds):
    """Lists that name a task twice, drop it, bring it back, go back in time or say nothing at all."""
    brain, now = Brain(dataclasses.replace(TERMS, dropped_counts_as_gone=gone_binds), 7), 0
    brain.handle(0, [gp.ProxyJoined(0, 5.0, True, "z")])
    for events, passed in turns:
        now += passed
        brain.handle(now, events)
        registry, state = brain.registry, {name: line.state for name, line in brain.lines.items()}
        ready = [task for name, task in brain.tasks.items() if state[name] == "ready"]
        assert registry.ready() == ready
        assert registry.observed() == [task for task in ready if task.observed]
        assert all(task.observed for task in ready if task.ejected or task.fault_evidence or task.unlisted)
        assert (
            {name for name, said in state.items() if said != "ready"} <= set(registry.leaving) <= set(state)
        )
        assert all(brain.tasks[name].observed for name in registry.leaving if state[name] == "ready")
        assert set(brain.tasks) <= set(brain.lines) == set(brain.changed_at)
