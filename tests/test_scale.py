"""The scale benchmark: its fits, its hollow peers, and small points with real assigners by their counts."""

import asyncio
import dataclasses
import json
import random
import subprocess
import sys

import pytest
from helper import until

from benchmarks.scaling import fit, hollow_http, hollow_process, measure, report, sweep, workload
from benchmarks.scaling.brain_turn import Play
from benchmarks.scaling.counted_assigner import TurnCounts
from benchmarks.scaling.hollow_discovery import HollowDiscovery, TaskList
from benchmarks.scaling.hollow_relay import HollowRelay
from benchmarks.scaling.traffic import LinkCounter, Traffic

SMALL = workload.Workload(tasks=64, proxies=4, assigners=8, routes=2, zones=2, requests=20.0)
PARTED = dataclasses.replace(SMALL, tasks=400, proxies=32)
SIZES = (1, 4, 16, 64)


def runs(value, noise=0.01, count=3):
    """Pairs of a figure over the sizes, with a seeded spread between runs."""
    spread = random.Random(5)
    return [(size, value(size) * (1 + spread.uniform(-noise, noise))) for _ in range(count) for size in SIZES]


def test_a_straight_line_is_told_with_its_slope_and_interval():
    found = fit.fit(runs(lambda size: 10 + 3 * size))
    assert found.slope.low < 3 < found.slope.high
    assert found.slope.value == pytest.approx(3, rel=0.02)
    assert found.shape == "linear"


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
def test_what_is_no_straight_line_is_named(value, shape):
    assert fit.fit(runs(value)).shape == shape


def test_too_few_runs_or_sizes_claim_no_shape():
    assert fit.fit(runs(lambda size: 10 + size**2, count=2)).shape == "unknown"
    assert fit.fit([(1, 1.0), (2, 4.0)] * 3) is None


def test_a_workload_and_its_seed_make_the_same_configuration():
    made = [
        workload.configuration(SMALL, 1, 34, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
        for _ in range(2)
    ]
    assert made[0] == made[1]
    assert made[0]["settings"]["rank"] == 1
    other = workload.configuration(SMALL, 1, 35, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
    assert other["seed"] != made[0]["seed"]


def test_every_dimension_has_four_sizes_a_factor_of_16_apart_but_for_parts_of_the_fleet():
    for name, dimension in workload.DIMENSIONS.items():
        assert len(dimension.sizes) >= 4
        if name not in ("burst", "large_burst", "silent"):  # per cents, which end at 100
            assert dimension.sizes[-1] >= 16 * dimension.sizes[0], name


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def relay(sizes=SMALL):
    return HollowRelay(LinkCounter(), LinkCounter(), sizes, 1, Clock())


def test_the_relay_charges_binds_for_lines_and_levels_and_leaves_them_in_order():
    at = relay()
    first, second = list(at.proxies)[:2]
    assert at.carry_out(["put,1,s-a,1.0", "put,1,s-b,2.0", "gate,1,*,1.0,1"]) == 3
    assert at.counts.lines == 0  # nobody is bound yet
    at.carry_out(["fence,7,0", f"attach,{first},1,*", f"attach,{second},1,*"])
    each = 1 + 2 + 2 + workload.MESSAGE_HEAD_LINES + 1  # the bind, two lines, two levels, head, mark
    assert at.counts.lines == 2 * each
    assert [(proxy, mark) for _, proxy, mark, _ in at.due] == [(first, 7), (second, 7)]
    assert at.due[1][0] - 100 == pytest.approx(2 * each / workload.CHANNEL_LINES_PER_S)


@pytest.mark.parametrize("order", ["put,1,s-a,-1", "attach,999,1,*", "gate,1,route9,1,1", "put,1", "whim"])
def test_the_relay_stops_at_an_order_that_it_cannot_use(order):
    at = relay()
    assert at.carry_out(["put,1,s-b,1.0", order, "put,1,s-c,1.0"]) == 1
    assert list(at.tables[1].weights) == ["s-b"]
    assert at.counts.refused == 1


@pytest.mark.parametrize("order", ["put,1,s-a,0", "eject,s-a"])
def test_a_withdrawal_ends_with_the_last_proxy_that_held_the_line(order):
    at = relay()
    binds = [f"attach,{proxy},1,*" for proxy in at.proxies]
    at.carry_out(["put,1,s-a,1.0", "put,1,s-b,1.0", *binds])
    at.clock.now += 10  # the channel is empty
    at.watch_withdrawal(["s-a"])
    assert set(at.withdrawal.holders) == set(at.proxies)
    at.carry_out(["put,1,s-b,2.0"])
    assert len(at.withdrawal.holders) == 4
    at.carry_out([order])
    assert not at.withdrawal.holders
    spent = 2 * 4 * (1 + workload.MESSAGE_HEAD_LINES) / workload.CHANNEL_LINES_PER_S
    assert at.withdrawal.last - at.withdrawal.begun == pytest.approx(spent)


def test_a_watch_is_told_of_what_changed_since_its_version():
    tasks = TaskList(SMALL, lambda number: f"127.0.0.1:{number + 1}")
    whole = json.loads(tasks.answer(None))
    assert (whole["generation"], whole["reset"], len(whole["instances"])) == (1, True, SMALL.tasks)
    name = workload.task_name(3)
    tasks.change(name, lifecycle="leaving")
    tasks.change(name, weight=2.0)
    news = json.loads(tasks.answer(1))
    assert (news["generation"], news["reset"]) == (3, False)
    assert [(x["instanceId"], x["lifecycle"], x["weight"]) for x in news["instances"]] == [
        (name, "leaving", 2.0)
    ]
    assert json.loads(tasks.answer(3))["instances"] == []


def test_a_waiting_watch_is_answered_by_the_change():
    async def play():
        discovery = HollowDiscovery(LinkCounter(), SMALL, lambda number: "127.0.0.1:1", 34)
        await discovery.open()
        reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
        writer.write(b"GET /discovery/hosts?since=1&timeout_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n")
        await until(lambda: discovery.tasks.waiting)
        assert discovery.counter.messages_to_assigner == 0
        discovery.restart_all([workload.task_name(5)])
        head = await reader.readuntil(b"\r\n\r\n")
        body = json.loads(await reader.readexactly(int(hollow_http.LENGTH.search(head)[1])))
        writer.close()
        discovery.server.close()
        return body, discovery.counter

    body, counter = asyncio.run(play())
    assert [x["lifecycle"] for x in body["instances"]] == ["leaving"]
    assert (counter.messages_from_assigner, counter.messages_to_assigner) == (1, 1)


def test_an_abandoned_point_ends_its_assigner():
    command = [sys.executable, "-c", "import time; time.sleep(600)"]
    with subprocess.Popen(command) as assigner:
        hollow = measure.Hollow(SMALL, 0, 34)
        hollow.receive()
        hollow.pipe.send(hollow_process.Guard(assigner.pid))
        hollow.pipe.close()  # as when whoever runs the point is killed
        assert assigner.wait(measure.HOLLOW_OPENS_WITHIN_S) < 0
        hollow.process.join(measure.END_WITHIN_S)
        assert hollow.process.exitcode == 0


def test_the_brain_by_itself_probes_its_part_alone():
    play = Play(PARTED)
    play.start()
    play.join()
    play.run(2.0)
    assert play.turns == 3 + 20 + 2  # two lists and the joins, beats, reports
    assert len(play.brain.own_tasks) == len(play.table) == PARTED.tasks // PARTED.assigners
    assert {event.task for _, event in play.coming if hasattr(event, "task")} <= {
        x.id for x in play.brain.own_tasks
    }


def test_counters_tell_what_was_added():
    now = Traffic()
    now.probes.received(50)
    earlier = dataclasses.replace(now, probes=dataclasses.replace(now.probes))
    now.probes.received(50)
    now.probes.sent(100, 2)
    assert now.since(earlier).probes == LinkCounter(50, 100, 1, 2)
    counts = TurnCounts(turns=9, events=20, tasks=4).since(TurnCounts(turns=3, events=5, tasks=2))
    assert (counts.turns, counts.events, counts.tasks) == (6, 15, 4)


def test_dimensions_that_share_a_workload_run_it_once():
    ran = []
    at = sweep.Sweep(34, None, 1, lambda result, seconds: None)
    at.measure = lambda plan: ran.append(plan) or point(plan.dimension, plan.size, [])
    planned = sweep.plans(["tasks", "fleet"], None, 1)
    results = at.run(planned)
    assert [(x.dimension, x.size) for x in results] == [(x.dimension, x.size) for x in planned]
    assert len(ran) == 7  # 13,000 tasks before 1,300 assigners belong to both


def point(dimension, size, assigners, run=0, failure=""):
    return measure.PointResult(dimension, size, run, 34, SMALL, 3.0, assigners, failure)


def test_what_is_lacking_or_failed_stands_in_the_document(tmp_path):
    said = report.document([point("tasks", 1, [], failure="no hb_ok")], {}, ("abc", False), {"seed": 34})
    assert {"regions", "tenants", "services", "added_latency"} == set(said["lacking"])
    assert said["points"][0]["failure"] == "no hb_ok"
    path = tmp_path / "scale.json"
    report.write_json(path, said)
    assert json.loads(path.read_text())["commit"] == "abc"
    assert report.read_points(path) == [point("tasks", 1, [], failure="no hb_ok")]


def run_small(sizes):
    """A point, its two assigners' results; nothing of it runs on."""
    result = measure.run_point("small", 1, 0, sizes, 34, measure.QUICK)
    assert result.failure == ""
    return result.assigners


def test_a_small_point_counts_state_messages_and_bytes():
    for assigner in run_small(SMALL):
        links = assigner["links"]
        assert (assigner["proxies_bound"], assigner["orders_refused"]) == (SMALL.proxies, 0)
        assert (assigner["tables"], assigner["table_lines"]) == (1, SMALL.tasks)
        probes = links["probes"]
        assert probes["bytes_from_assigner"] == pytest.approx(52 * probes["messages_from_assigner"], rel=0.05)
        assert probes["messages_to_assigner"] >= 0.8 * probes["messages_from_assigner"]  # some are on the way
        assert probes["messages_from_assigner"] > 0 < links["discovery"]["messages_from_assigner"]
        assert links["collectors"]["messages_from_assigner"] == 0 < links["collectors"]["bytes_to_assigner"]
        assert links["event_stream"]["bytes_from_assigner"] == 0
        assert assigner["withdrawal_holders"] == 0
        assert assigner["withdrawal_s"] is not None


def test_a_parted_point_orders_and_probes_its_part_alone():
    plain, counted = run_small(PARTED)
    own = PARTED.tasks // PARTED.assigners
    assert (plain["table_lines"], counted["table_lines"]) == (own, own)
    assert (counted["list_entries"], counted["own_tasks"]) == (PARTED.tasks, own)
    assert counted["turns_per_s"] >= counted["beats_per_s"] > 0
    assert plain["turns_per_s"] is None
