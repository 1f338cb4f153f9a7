"""Start times under wall clocks that are wrong or stepped, at discovery or at the assigner."""

import asyncio
import json

import pytest
from helper import ScriptedServer, http_response, task_line, wait_until

from garnetpaddle.net.start_times import KEPT_AFTER_DROP, MAX_TELLING_TIME, StartTimes
from garnetpaddle.net.task_list_watch import TaskAddresses, TaskListWatch

HOUR = 36_000_000
NOW = 10 * HOUR
POLL = 10_000


def started(at, task="a", state="ready"):
    return task_line(task, state, at / 10_000)


def following(*known):
    """StartTimes that have followed the list until a poll before NOW."""
    times = StartTimes()
    times.convert(NOW - POLL, known, True)
    return times


def test_start_times_of_clocks_that_agree_are_kept():
    times = StartTimes()
    known = (started(0), started(NOW - HOUR, "b"), started(NOW - 50_000, "c"))
    assert times.convert_known(NOW, known) == known
    assert times.convert(NOW, known, True) == known
    told = (started(NOW + 10_000, "b"),)
    assert times.convert(NOW + 20_000, told, False) == told


@pytest.mark.parametrize("step", [HOUR, 30_000])
def test_a_start_told_by_a_clock_that_is_ahead_is_not_in_the_future(step):
    assert following().convert(NOW, (started(NOW + step),), False) == (started(NOW),)


@pytest.mark.parametrize("whole_list", [False, True])
def test_a_task_told_to_have_started_is_no_older_than_the_watch(whole_list):
    """Discovery's clock was stepped back an hour: the cold task was taken for a warm one."""
    bound = NOW - POLL - MAX_TELLING_TIME
    assert following().convert(NOW, (started(NOW - HOUR),), whole_list) == (started(bound),)


def test_a_restart_told_with_an_earlier_time_than_the_life_before_is_a_restart():
    times = following(started(NOW - 3 * POLL))
    (line,) = times.convert(NOW, (started(NOW - HOUR),), False)
    assert line.started_at > NOW - 3 * POLL
    assert times.convert(NOW + POLL, (started(NOW - HOUR, state="draining"),), False)[0].started_at == (
        line.started_at
    )


def test_a_start_that_is_listed_again_keeps_its_time():
    times = following()
    first = times.convert(NOW, (started(NOW + HOUR),), False)
    assert times.convert(NOW + 5 * POLL, (started(NOW + HOUR),), True) == first


@pytest.mark.parametrize("whole_list", [False, True])
def test_a_task_that_the_list_dropped_wrongly_is_not_taken_for_a_new_start(whole_list):
    """It would count as cold, though it has served all along."""
    warm = started(NOW - HOUR)
    times = following(warm, started(0, "b"))
    drop = (started(0, "b"),) if whole_list else (started(0, "a", "gone"),)
    times.convert(NOW, drop, whole_list)
    assert times.convert(NOW + POLL, (warm,), False) == (warm,)


@pytest.mark.parametrize("whole_list", [False, True])
def test_start_times_of_tasks_that_left_long_ago_are_forgotten(whole_list):
    times = following(started(NOW - HOUR), started(NOW - HOUR, "b"))
    drop = (started(NOW - HOUR, "b"),) if whole_list else (started(0, "a", "gone"),)
    times.convert(NOW, drop, whole_list)
    times.convert(NOW + KEPT_AFTER_DROP - 1, (), False)
    assert sorted(times.by_task) == ["a", "b"]
    times.convert(NOW + KEPT_AFTER_DROP, (), False)
    assert sorted(times.by_task) == ["b"] and not times.dropped


def test_a_stepped_clock_of_discovery_does_not_make_a_restarted_task_warm():
    def body(generation, started_ms):
        entry = {
            "instanceId": "a",
            "hostPort": "127.0.0.1:1",
            "lifecycle": "active",
            "startedAtMs": started_ms,
        }
        reset = generation == 1
        return http_response(json.dumps({"generation": generation, "reset": reset, "instances": [entry]}))

    events = []

    async def scenario():
        async with ScriptedServer(body(1, 0), body(2, (NOW - HOUR) / 10)) as agent:
            watch = TaskListWatch(agent.address, TaskAddresses(), events.append, False, clock=lambda: NOW)
            running = asyncio.create_task(watch.run())
            await wait_until(lambda: len(events) == 2)
            running.cancel()

    asyncio.run(scenario())
    assert [event.lines[0].started_at for event in events] == [0, NOW - MAX_TELLING_TIME]
