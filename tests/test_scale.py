"""Tests of the scale benchmark: fits, fake peers, and small points with real assigners."""

import asyncio
import dataclasses
import json
import random
import subprocess
import sys

import pytest
from helper import wait_until

from benchmarks.scaling import fake_peers, fit, http_server, measure, report, sweep, workload
from benchmarks.scaling.brain_turn import VirtualDay
from benchmarks.scaling.counted_assigner import TurnCounts
from benchmarks.scaling.fake_discovery import FakeDiscovery, TaskList
from benchmarks.scaling.fake_relay import FakeRelay
from benchmarks.scaling.traffic import LinkCounter, Traffic

SMALL_WORKLOAD = workload.Workload(tasks=64, proxies=4, assigners=8, routes=2, zones=2, requests=20.0)
DIVIDED_WORKLOAD = dataclasses.replace(SMALL_WORKLOAD, tasks=400, proxies=32)
SIZES = (1, 4, 16, 64)


def points_with_noise(value, noise=0.01, count=3):
    """(size, value) pairs of several runs with seeded noise."""
    generator = random.Random(5)
    return [
        (size, value(size) * (1 + generator.uniform(-noise, noise))) for _ in range(count) for size in SIZES
    ]


def test_linear_data_is_fitted_with_slope_and_interval():
    result = fit.fit(points_with_noise(lambda size: 10 + 3 * size))
    assert result.slope.low < 3 < result.slope.high
    assert result.slope.value == pytest.approx(3, rel=0.02)
    assert result.shape == "linear"


@pytest.mark.parametrize(
    ("value", "shape"),
    [
        (lambda size: 10 + size**2, "superlinear"),
        (lambda size: 10 + 5 * size**0.5, "sublinear"),
        (lambda size: 10.0, "flat"),
        (lambda size: 100 - size, "falling"),
        (lambda size: 10 + 5 * (size in (4, 16)), "unclear"),
    ],
)
def test_non_linear_shapes_are_classified(value, shape):
    assert fit.fit(points_with_noise(value)).shape == shape


def test_too_few_runs_or_sizes_give_no_shape():
    assert fit.fit(points_with_noise(lambda size: 10 + size**2, count=2)).shape == "unknown"
    assert fit.fit([(1, 1.0), (2, 4.0)] * 3) is None


def test_configuration_is_determined_by_workload_and_seed():
    made = [
        workload.configuration(SMALL_WORKLOAD, 1, 34, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
        for _ in range(2)
    ]
    assert made[0] == made[1]
    assert made[0]["settings"]["rank"] == 1
    other = workload.configuration(SMALL_WORKLOAD, 1, 35, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
    assert other["seed"] != made[0]["seed"]


def test_dimensions_have_four_sizes_over_a_factor_of_16_except_percentages():
    for name, dimension in workload.DIMENSIONS.items():
        assert len(dimension.sizes) >= 4
        if name not in ("burst", "large_burst", "silent"):  # percentages, at most 100
            assert dimension.sizes[-1] >= 16 * dimension.sizes[0], name


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def new_relay(params=SMALL_WORKLOAD):
    return FakeRelay(LinkCounter(), LinkCounter(), params, 1, Clock())


def test_relay_charges_binds_for_lines_and_levels_and_answers_in_order():
    relay = new_relay()
    first, second = list(relay.proxies)[:2]
    assert relay.apply_orders(["put,1,s-a,1.0", "put,1,s-b,2.0", "gate,1,*,1.0,1"]) == 3
    assert relay.counts.lines == 0  # no proxy is bound yet
    relay.apply_orders(["fence,7,0", f"attach,{first},1,*", f"attach,{second},1,*"])
    # The bind, two weights, two levels, the message head and the mark.
    lines_per_proxy = 1 + 2 + 2 + workload.MESSAGE_HEAD_LINES + 1
    assert relay.counts.lines == 2 * lines_per_proxy
    assert [(proxy, mark) for _, proxy, mark, _ in relay.pending_answers] == [(first, 7), (second, 7)]
    assert relay.pending_answers[1][0] - 100 == pytest.approx(
        2 * lines_per_proxy / workload.CHANNEL_LINES_PER_S
    )


@pytest.mark.parametrize("order", ["put,1,s-a,-1", "attach,999,1,*", "gate,1,route9,1,1", "put,1", "whim"])
def test_relay_stops_at_an_invalid_order(order):
    relay = new_relay()
    assert relay.apply_orders(["put,1,s-b,1.0", order, "put,1,s-c,1.0"]) == 1
    assert list(relay.tables[1].weights) == ["s-b"]
    assert relay.counts.refused == 1


@pytest.mark.parametrize("order", ["put,1,s-a,0", "eject,s-a"])
def test_withdrawal_ends_when_the_last_holder_loses_the_task(order):
    relay = new_relay()
    binds = [f"attach,{proxy},1,*" for proxy in relay.proxies]
    relay.apply_orders(["put,1,s-a,1.0", "put,1,s-b,1.0", *binds])
    relay.clock.now += 10  # until the channel has sent everything
    relay.watch_withdrawal(["s-a"])
    assert set(relay.withdrawal.holders) == set(relay.proxies)
    relay.apply_orders(["put,1,s-b,2.0"])
    assert len(relay.withdrawal.holders) == 4
    relay.apply_orders([order])
    assert not relay.withdrawal.holders
    channel_time = 2 * 4 * (1 + workload.MESSAGE_HEAD_LINES) / workload.CHANNEL_LINES_PER_S
    assert relay.withdrawal.last_at - relay.withdrawal.started_at == pytest.approx(channel_time)


def test_watch_answer_contains_changes_since_its_generation():
    tasks = TaskList(SMALL_WORKLOAD, lambda number: f"127.0.0.1:{number + 1}")
    full_list = json.loads(tasks.answer(None))
    assert (full_list["generation"], full_list["reset"], len(full_list["instances"])) == (
        1,
        True,
        SMALL_WORKLOAD.tasks,
    )
    name = workload.task_name(3)
    tasks.change(name, lifecycle="leaving")
    tasks.change(name, weight=2.0)
    changes = json.loads(tasks.answer(1))
    assert (changes["generation"], changes["reset"]) == (3, False)
    assert [(x["instanceId"], x["lifecycle"], x["weight"]) for x in changes["instances"]] == [
        (name, "leaving", 2.0)
    ]
    assert json.loads(tasks.answer(3))["instances"] == []


def test_waiting_watch_is_answered_on_a_change():
    async def run():
        discovery = FakeDiscovery(LinkCounter(), SMALL_WORKLOAD, lambda number: "127.0.0.1:1", 34)
        await discovery.open()
        reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
        writer.write(b"GET /discovery/hosts?since=1&timeout_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n")
        await wait_until(lambda: discovery.tasks.waiting_watches)
        assert discovery.counter.messages_to_assigner == 0
        discovery.restart_all([workload.task_name(5)])
        head = await reader.readuntil(b"\r\n\r\n")
        body = json.loads(await reader.readexactly(int(http_server.LENGTH.search(head)[1])))
        writer.close()
        discovery.server.close()
        return body, discovery.counter

    body, counter = asyncio.run(run())
    assert [x["lifecycle"] for x in body["instances"]] == ["leaving"]
    assert (counter.messages_from_assigner, counter.messages_to_assigner) == (1, 1)


def test_assigner_is_terminated_when_the_benchmark_process_dies():
    command = [sys.executable, "-c", "import time; time.sleep(600)"]
    with subprocess.Popen(command) as assigner:
        peers = measure.PeerProcess(SMALL_WORKLOAD, 0, 34)
        peers.receive()
        peers.pipe.send(fake_peers.WatchAssigner(assigner.pid))
        peers.pipe.close()  # as if the benchmark process were killed
        assert assigner.wait(measure.PEERS_OPEN_TIMEOUT_S) < 0
        peers.process.join(measure.STOP_TIMEOUT_S)
        assert peers.process.exitcode == 0


def test_brain_turn_benchmark_probes_only_own_tasks():
    day = VirtualDay(DIVIDED_WORKLOAD)
    day.start()
    day.join()
    day.run(2.0)
    assert day.turns == 3 + 20 + 2  # two lists and the joins, timer beats, reports
    assert len(day.brain.own_tasks) == len(day.table) == DIVIDED_WORKLOAD.tasks // DIVIDED_WORKLOAD.assigners
    assert {event.task for _, event in day.pending_events if hasattr(event, "task")} <= {
        x.id for x in day.brain.own_tasks
    }


def test_counters_return_differences():
    traffic = Traffic()
    traffic.probes.received(50)
    earlier = dataclasses.replace(traffic, probes=dataclasses.replace(traffic.probes))
    traffic.probes.received(50)
    traffic.probes.sent(100, 2)
    assert traffic.since(earlier).probes == LinkCounter(50, 100, 1, 2)
    counts = TurnCounts(turns=9, events=20, tasks=4).since(TurnCounts(turns=3, events=5, tasks=2))
    assert (counts.turns, counts.events, counts.tasks) == (6, 15, 4)


def test_shared_workload_of_two_dimensions_is_measured_once():
    measured = []
    runner = sweep.Sweep(34, None, 1, lambda result, seconds: None)
    runner.measure = lambda plan: measured.append(plan) or point(plan.dimension, plan.size, [])
    planned = sweep.plan_dimensions(["tasks", "fleet"], None, 1)
    results = runner.run(planned)
    assert [(x.dimension, x.size) for x in results] == [(x.dimension, x.size) for x in planned]
    assert len(measured) == 7  # both dimensions contain the workload of 13,000 tasks and 1,300 assigners


def point(dimension, size, assigners, run=0, failure=""):
    return measure.PointResult(dimension, size, run, 34, SMALL_WORKLOAD, 3.0, assigners, failure)


def test_document_contains_missing_dimensions_and_failures(tmp_path):
    content = report.document([point("tasks", 1, [], failure="no hb_ok")], {}, ("abc", False), {"seed": 34})
    assert {"regions", "tenants", "services", "added_latency"} == set(content["lacking"])
    assert content["points"][0]["failure"] == "no hb_ok"
    path = tmp_path / "scale.json"
    report.write_json(path, content)
    assert json.loads(path.read_text())["commit"] == "abc"
    assert report.read_points(path) == [point("tasks", 1, [], failure="no hb_ok")]


def run_small(params):
    """Runs a point and returns the results of its two assigners."""
    result = measure.run_point("small", 1, 0, params, 34, measure.QUICK)
    assert result.failure == ""
    return result.assigners


def test_small_point_reports_state_messages_and_bytes():
    for assigner in run_small(SMALL_WORKLOAD):
        links = assigner["links"]
        assert (assigner["proxies_bound"], assigner["orders_refused"]) == (SMALL_WORKLOAD.proxies, 0)
        assert (assigner["tables"], assigner["table_lines"]) == (1, SMALL_WORKLOAD.tasks)
        probes = links["probes"]
        assert probes["bytes_from_assigner"] == pytest.approx(52 * probes["messages_from_assigner"], rel=0.05)
        assert probes["messages_to_assigner"] >= 0.8 * probes["messages_from_assigner"]  # some are in flight
        assert probes["messages_from_assigner"] > 0 < links["discovery"]["messages_from_assigner"]
        assert links["collectors"]["messages_from_assigner"] == 0 < links["collectors"]["bytes_to_assigner"]
        assert links["event_stream"]["bytes_from_assigner"] == 0
        assert assigner["withdrawal_holders"] == 0
        assert assigner["withdrawal_s"] is not None


def test_divided_point_manages_only_own_tasks():
    plain, counted = run_small(DIVIDED_WORKLOAD)
    own = DIVIDED_WORKLOAD.tasks // DIVIDED_WORKLOAD.assigners
    assert (plain["table_lines"], counted["table_lines"]) == (own, own)
    assert (counted["list_entries"], counted["own_tasks"]) == (DIVIDED_WORKLOAD.tasks, own)
    assert counted["turns_per_s"] >= counted["beats_per_s"] > 0
    assert plain["turns_per_s"] is None
