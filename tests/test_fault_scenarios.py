"""Fault scenarios described in docs/questions.md, reproduced over loopback."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import operator
import signal
import socket
import sys

import helper
import pytest
from helper import PARAMETERS, BrainHarness, ScriptedServer, format_event, list_changes, task_line, wait_until
from peers import (
    CHUNKED_HEAD,
    CLEAN_EXIT,
    DEFAULT_GRACE_PERIOD,
    RESTART_TIMEOUT,
    AssignerProgram,
    FakeDiscovery,
    FakeRelay,
    accepted_response,
    chunk,
    host_port,
    socket_host_port,
    task_list_body,
    wait_within,
)
from test_codecs import write_configuration
from test_net import ListenerServer, long_timeouts, read_to_end  # noqa: F401

from garnetpaddle import interface as gp
from garnetpaddle.brain import INHERITED_TABLES_TENTHS_MS
from garnetpaddle.net import http as client
from garnetpaddle.net import listener
from garnetpaddle.net.event_subscription import EventSubscription
from garnetpaddle.net.order_codec import MarkTranslator
from garnetpaddle.net.order_sender import OrderSender
from garnetpaddle.net.prober import Prober
from garnetpaddle.net.task_list_watch import TaskAddresses, TaskListWatch


def write_peer_configuration(tmp_path, discovery, relay, tasks, *changes):
    """Writes a configuration with these addresses, these tasks in the last known list, and no probes."""
    known = {"generation": 41, "reset": True, "instances": []}
    known["instances"] = [
        {"instanceId": f"s-{task}", "hostPort": "127.0.0.1:1", "zone": "a", "lifecycle": "active"}
        for task in tasks
    ]
    settings = ("discovery", host_port(discovery)), ("store/address", host_port(relay)), ("known", known)
    return write_configuration(tmp_path, *settings, ("settings/ceilings/probes", False), *changes)


def distinct_states(history):
    """The tasks that proxies 4 and 5 could call, without repetitions, from the time both were bound."""
    states = [state.partition(" 6")[0] for state in history]
    states = [state for k, state in enumerate(states) if not k or state != states[k - 1]]
    return states[next(k for k, state in enumerate(states) if not state.endswith(":")) :]


async def terminate(program):
    program.signal(signal.SIGTERM)
    return await program.end()


# --- reload and drain


async def announce_drain(drain_source, old_agent, new_agent):
    """Drains task b. `older`: announced by the old agent while the new one has an older list."""
    if drain_source != "new":
        old_agent.publish_generation(("b", "leaving"))
    match drain_source:
        case "old":
            # Its list no longer contains b.
            new_agent.publish_generation(("b", "left"), generation=old_agent.generation + 1)
        case "new" | "both":
            new_agent.publish_generation(("b", "leaving"))


@pytest.mark.parametrize(
    ("moves", "drain_source"),
    [
        *(("discovery", drain_source) for drain_source in ("old", "new", "both", "older")),
        *(("both", drain_source) for drain_source in ("old", "new", "both", "older")),
        ("relay", "old"),
        ("broken relay", "old"),
        ("broken relay, proxies named one by one", "old"),
    ],
)
def test_drain_announced_during_a_reload_reaches_each_proxy_within_the_grace_period(
    moves, drain_source, tmp_path
):
    async def scenario():
        old_agent, new_agent, relay = FakeDiscovery(50, "abc"), FakeDiscovery(50, "abc"), FakeRelay(4, 5)
        new_agent.generation -= drain_source == "older"
        async with (
            old_agent.listen() as old_discovery,
            new_agent.listen() as new_discovery,
            relay.listen() as old_relay,
            relay.listen() as new_relay,
            AssignerProgram(write_peer_configuration(tmp_path, old_discovery, old_relay, "abc")) as program,
        ):
            await wait_until(lambda: relay.callable_tasks() == "4:abc 5:abc")
            new_agent.responding.clear()
            addresses = {"discovery": (new_discovery, old_relay), "both": (new_discovery, new_relay)}
            write_peer_configuration(tmp_path, *addresses.get(moves, (old_discovery, new_relay)), "abc")
            program.signal(signal.SIGHUP)
            # The move is in progress: the new addresses have received requests but not answered them.
            await wait_until(lambda: "relay" in moves or new_agent.request_count)
            await wait_until(lambda: moves == "discovery" or new_relay.requests)
            await announce_drain(drain_source, old_agent, new_agent)
            if drain_source == "older":  # the older list arrives after the drain has been applied
                await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks() == "4:ac 5:ac")
            new_agent.responding.set()
            if moves.startswith("broken relay"):
                relay.names_one_by_one = moves != "broken relay"
                for writer in old_relay.writers:
                    writer.transport.abort()
            await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks() == "4:ac 5:ac")
            if drain_source == "older":
                # The older list and a complete watch after it have arrived: b would be in a table again.
                await wait_until(lambda: new_agent.request_count > 2)
                new_agent.publish_generation(("b", "leaving"), generation=52)
            move_events = [] if moves == "discovery" else ["event=news_moved"]
            await program.wait_for_all_logs(*move_events, *["event=discovery_moved"] * ("relay" not in moves))
            # The current agent's changes are applied, and orders reach the current relay.
            (old_agent if "relay" in moves else new_agent).publish_generation(("c", "leaving"), generation=60)
            await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks() == "4:a 5:a")
            return await terminate(program), relay, old_relay if moves == "discovery" else new_relay

    result, relay, current_relay = asyncio.run(scenario())
    assert result == CLEAN_EXIT
    assert "put,1,s-c,0.0" in current_relay.requests[-1] or "broken" in moves
    states = distinct_states(relay.history)
    # After a broken stream the proxies are bound to a new table without b, each as it is named.
    seen_by_proxy = [
        [proxy_state for proxy_state, _ in itertools.groupby(state.split()[k] for state in states)]
        for k in range(2)
    ]
    assert seen_by_proxy == [["4:abc", "4:ac", "4:a"], ["5:abc", "5:ac", "5:a"]]
    assert "broken" in moves or states == ["4:abc 5:abc", "4:ac 5:ac", "4:a 5:a"]
    # Removed once, or not from the new table.
    assert [relay.count_orders(f"put,1,s-{task},0.0") for task in "ab"] == [0, "broken" not in moves]
    assert relay.count_orders("eject") == 0


# --- peers that fall silent


HEALTHY_ROUNDS = 30  # watches answered and reports sent before the peer falls silent
STREAM_TIMEOUT = 2.5 + 0.5 + 1.0  # s: stream timeout, reconnect, and a margin for a busy machine


class Collector:
    """The collector of zone a."""

    def __init__(self, address):
        self.address, self.writer = address, None

    async def join(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.write(b"telemetry site=a\r\n")

    def report(self):
        for task in ("s-a", "s-b", "s-c"):
            line = f"upstream_stats site=a target={task} count=20 fail=0 mean=50 over=100\r\n"
            self.writer.write(line.encode())


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("silent", ["discovery", "stream", "collector"])
def test_peer_that_falls_silent_during_a_release_is_retried_and_orders_continue(silent, mode, tmp_path):
    must_ask_in = 4.0

    async def scenario():
        agent, relay = FakeDiscovery(50, "abc"), FakeRelay(4, 5)
        with socket.create_server(("127.0.0.1", 0)) as free_socket:
            listen_address = socket_host_port(free_socket)
        async with agent.listen() as discovery, relay.listen() as address:
            settings = (
                ("listen", listen_address),
                ("settings/discovery", mode),
                ("settings/contract/must_ask_in", must_ask_in),
            )
            path = write_peer_configuration(tmp_path, discovery, address, "abc", *settings)
            async with AssignerProgram(path) as program:
                await wait_until(lambda: relay.callable_tasks() == "4:abc 5:abc")
                collector = Collector(listen_address.split(":"))
                await collector.join()
                calls = relay.calls
                await run_healthy_rounds(agent, collector)
                assert relay.calls == calls  # no orders without changes
                if silent == "discovery":
                    await silent_discovery(agent, relay, must_ask_in)
                elif silent == "stream":
                    await silent_stream(agent, relay)
                else:
                    await silent_collector(agent, relay, collector, program)
                # After the recovery, changes are applied in order again.
                agent.publish_generation(("c", "leaving"))
                await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks().startswith("4:a 5:a"))
                return await terminate(program), relay

    result, relay = asyncio.run(scenario())
    assert result == CLEAN_EXIT
    assert distinct_states(relay.history) == ["4:abc 5:abc", "4:ac 5:ac", "4:a 5:a"]


async def run_healthy_rounds(agent, collector):
    for _ in range(HEALTHY_ROUNDS):
        requests_before = agent.request_count
        agent.publish_generation()
        collector.report()
        await wait_until(lambda requests_before=requests_before: agent.request_count > requests_before)


async def silent_discovery(agent, relay, must_ask_in):
    """Changes made meanwhile arrive in one answer; a proxy that joins before it is bound at once."""
    agent.responding.clear()
    agent.publish_generation(("b", "leaving"))
    requests_before = agent.request_count
    relay.join(6)
    await wait_within(1.0, lambda: relay.callable_tasks() == "4:abc 5:abc 6:abc")
    await wait_within(must_ask_in, lambda: agent.request_count > requests_before)
    agent.publish_generation(("d", "active"))
    agent.publish_generation(("d", "left"))
    agent.responding.set()
    await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks() == "4:ac 5:ac 6:ac")


async def silent_stream(agent, relay):
    """Calls continue while the stream is silent; the next stream lists all proxies that have not left."""
    relay.streaming.clear()
    agent.publish_generation(("b", "leaving"))
    await wait_within(1.0, lambda: relay.callable_tasks() == "4:ac 5:ac")
    requests_before, orders_before = relay.stream_request_count, relay.count_orders("attach")
    relay.join(6)
    await wait_within(STREAM_TIMEOUT, lambda: relay.stream_request_count > requests_before)
    relay.streaming.set()
    await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.count_orders("attach") == orders_before + 3)
    assert relay.callable_tasks() == "4:ac 5:ac 6:ac"


async def silent_collector(agent, relay, collector, program):
    """A new collector takes over the zone with its first report; heartbeats are answered."""
    agent.publish_generation(("b", "leaving"))
    await wait_within(1.0, lambda: relay.callable_tasks() == "4:ac 5:ac")
    new_collector = Collector(collector.address)
    await new_collector.join()
    new_collector.writer.write(b"hb\r\n")
    async with asyncio.timeout(DEFAULT_GRACE_PERIOD):
        assert await new_collector.reader.readline() == b"hb_ok\r\n"
        new_collector.report()
        await program.wait_for_all_logs("replaces=true")
        assert await collector.reader.read() == b""


# --- full lists


@pytest.mark.parametrize(
    ("stay_open", "expected"),
    [
        (False, ["4:abcd 5:abcd", "4:acd 5:acd", "4:ad 5:ad", "4: 5:", "4:a 5:a"]),
        (True, ["4:abcd 5:abcd", "4:acd 5:acd"]),
    ],
)
def test_full_lists_instead_of_changes(stay_open, expected, tmp_path):
    async def scenario():
        agent, relay = FakeDiscovery(50, "abcd", full_lists=True), FakeRelay(4, 5)
        async with agent.listen() as discovery, relay.listen() as address:
            setting = ("settings/contract/dropped_stay_open", stay_open)
            async with AssignerProgram(
                write_peer_configuration(tmp_path, discovery, address, "abcd", setting)
            ) as program:
                await wait_until(lambda: relay.callable_tasks() == expected[0])
                calls = relay.calls

                async def send_list(*entries):
                    agent.publish_generation(*entries)
                    await wait_until(
                        lambda requests_before=agent.request_count: agent.request_count > requests_before
                    )

                # The same list repeatedly, with a duplicate entry, in different orders.
                for _ in range(HEALTHY_ROUNDS):
                    await send_list(*active_entries("abacd"))
                    await send_list(*active_entries("dcba"))
                assert relay.calls == calls
                await send_list(*active_entries("abcd"), ("b", "leaving"))
                await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks() == expected[1])
                for entries in ("ad", "", "", "a"):  # the list shrinks until it is empty, then grows again
                    await send_list(*active_entries(entries))
                    if not stay_open and entries != "a":
                        await wait_within(
                            DEFAULT_GRACE_PERIOD,
                            lambda entries=entries: relay.callable_tasks() == both_proxies(entries),
                        )
                await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks() == expected[-1])
                return await terminate(program), relay.history

    result, history = asyncio.run(scenario())
    assert result == CLEAN_EXIT
    assert distinct_states(history) == expected


def active_entries(tasks):
    return [(task, "active") for task in tasks]


def both_proxies(tasks):
    return f"4:{tasks} 5:{tasks}"


# --- early kills


async def answers_heartbeat(listen_address):
    """Whether the assigner at this address answers a heartbeat."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*listen_address.split(":"))
        writer.write(b"hb\r\n")
        answer = await reader.readline()
        writer.transport.abort()
        return answer == b"hb_ok\r\n"
    return False


async def wait_for_heartbeat(listen_address):
    async with asyncio.timeout(RESTART_TIMEOUT):
        while not await answers_heartbeat(listen_address):
            await asyncio.sleep(0.01)


async def kill_and_wait(program, kill_signal):
    """Signals the process and waits for its exit."""
    program.signal(kill_signal)
    await program.process.wait()


@pytest.mark.parametrize("kill_signal", [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("kill_time", ["bound", "answered", "called"])
def test_start_after_an_early_kill_keeps_tables_and_ejects_draining_tasks(kill_time, kill_signal, tmp_path):
    """bound: before any proxy is reported; answered: after its first hb_ok; called: during its first call."""

    async def scenario():
        agent, relay = FakeDiscovery(50, "abc"), FakeRelay(4, 5)
        with socket.create_server(("127.0.0.1", 0)) as free_socket:
            listen_address = socket_host_port(free_socket)
        async with agent.listen() as discovery, relay.listen() as address:
            path = write_peer_configuration(tmp_path, discovery, address, "abc", ("listen", listen_address))
            async with AssignerProgram(path) as first_program:  # the proxies keep the tables of this process
                await wait_until(lambda: relay.callable_tasks() == "4:abc 5:abc")
                await kill_and_wait(first_program, signal.SIGKILL)
            relay.reset_for_restart()
            (relay.streaming if kill_time == "bound" else relay.responding).clear()
            calls = relay.calls
            async with AssignerProgram(path) as second_program:
                await second_program.wait_for_log("event=serving")
                if kill_time != "bound":
                    await wait_for_heartbeat(listen_address)
                if kill_time == "called":
                    await wait_until(lambda: relay.calls > calls)
                await kill_and_wait(second_program, kill_signal)
            relay.reset_for_restart()
            relay.streaming.set()
            relay.responding.set()
            order_count = len(relay.orders)
            async with AssignerProgram(path) as program:
                agent.publish_generation(("b", "leaving"))
                await wait_for_heartbeat(listen_address)
                await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks() == "4:ac 5:ac")
                relay.join(6)
                await wait_within(DEFAULT_GRACE_PERIOD, lambda: relay.callable_tasks() == "4:ac 5:ac 6:ac")
                return await terminate(program), relay, relay.orders[order_count:]

    result, relay, orders = asyncio.run(scenario())
    assert result == CLEAN_EXIT
    assert distinct_states(relay.history) == ["4:abc 5:abc", "4:ac 5:ac"]
    # Proxies with a table keep it; only the new proxy is bound.
    assert [order.split(",")[1] for order in orders if order.startswith("attach")] == ["6"]
    assert [order for order in orders if order.startswith("eject")] == ["eject,s-b"]


# --- cold tasks with many assigners


ASSIGNERS, TASKS = 48, 20
CALL_RATES = (2.0, 20.0, 60.0)  # calls per second at each proxy of an assigner; assigners cycle through them
WARM_UP_TIME, BUDGET_WINDOW, TURN_INTERVAL = 150_000, 30_000, 1_000  # 0.1 ms ticks
START_TIME = 1_000_000  # 0.1 ms ticks: late enough that no task counts as cold


class Fleet:
    """All Brains of a fleet in virtual time, with 1 to 3 proxies each and the same task list."""

    def __init__(self, cold):
        self.proxy_counts = [1 + rank % 5 % 3 for rank in range(ASSIGNERS)]
        self.call_rates = [CALL_RATES[rank % 3] for rank in range(ASSIGNERS)]
        self.total_call_rate = sum(map(operator.mul, self.proxy_counts, self.call_rates))
        tasks = [f"s-{number}" for number in range(TASKS)]
        self.cold_tasks, self.assigners, self.window = (
            tasks[:cold],
            [],
            collections.deque(maxlen=BUDGET_WINDOW // TURN_INTERVAL),
        )
        for rank, (count, rate) in enumerate(zip(self.proxy_counts, self.call_rates, strict=True)):
            parameters = {"total": sum(self.proxy_counts), "assigners": ASSIGNERS, "rank": rank}
            assigner = BrainHarness((), 0, probes_allowed=False, warm_after=WARM_UP_TIME, **parameters)
            assigner.now, assigner.reported_sums = START_TIME, {}
            assigner.handle(gp.TaskListReceived("full", tuple(map(task_line, tasks))))
            assigner.handle(*(gp.ProxyJoined(proxy, rate, True, "z") for proxy in range(count)))
            assigner.advance(5)
            self.assigners.append(assigner)
        self.started_at = self.assigners[0].now
        for assigner in self.assigners:
            assigner.handle(
                list_changes(*(task_line(task, started=assigner.now / 10_000) for task in self.cold_tasks))
            )

    def run_turn(self):
        """Runs one turn of all Brains; returns the calls per second to each task according to all tables.

        The capacity of a warm task is an even share of all calls, as in a fully used fleet."""
        for assigner in self.assigners:
            assigner.advance(TURN_INTERVAL / 10_000)
        age = (self.assigners[0].now - self.started_at) / WARM_UP_TIME
        capacity = (
            (PARAMETERS.start_share + (1 - PARAMETERS.start_share) * min(age, 1))
            * self.total_call_rate
            / TASKS
        )
        rates_by_task = collections.Counter()
        for assigner, count, rate in zip(self.assigners, self.proxy_counts, self.call_rates, strict=True):
            table_weights = {
                task: weight for table in assigner.brain.tables for task, weight in table.weights.items()
            }
            for task, weight in table_weights.items():
                rates_by_task[task] += count * rate * weight / sum(table_weights.values())
        self.window.append((rates_by_task, PARAMETERS.fall_multiple * capacity))
        return rates_by_task

    def max_budget_fraction(self):
        """The largest fraction of its call budget that a cold task received in the last window."""
        budget = sum(capacity for _, capacity in self.window)
        return (
            max(sum(rates_by_task[task] for rates_by_task, _ in self.window) for task in self.cold_tasks)
            / budget
        )


@pytest.mark.parametrize("cold", [2, 18, 19, TASKS])
def test_cold_tasks_get_no_calls_of_any_assigner_until_they_are_warm(cold):
    """Checked in each window of 3 s during the whole warm-up."""
    fleet, max_fraction = Fleet(cold), 0.0
    while fleet.assigners[0].now < fleet.started_at + WARM_UP_TIME:
        rates_by_task = fleet.run_turn()
        max_fraction = max(max_fraction, fleet.max_budget_fraction())
        if fleet.assigners[0].now < fleet.started_at + WARM_UP_TIME:
            assert max_fraction == 0.0
    assert sorted(rates_by_task) == sorted(
        fleet.assigners[0].brain.tasks
    )  # all tasks are in the tables again


@pytest.mark.parametrize("parameters", [{"fall_multiple": 2.0}, {"start_share": 0.1, "warm_after": 300_000}])
def test_cold_tasks_alone_get_no_calls_at_any_start_capacity(parameters, monkeypatch):
    """Cold tasks were overloaded: once their capacity, each counted up to an even share, reached 0.45 of the
    fleet's work, they were treated as warm and got all calls."""
    changed = dataclasses.replace(PARAMETERS, **{"warm_after": WARM_UP_TIME} | parameters)
    for module in (helper, sys.modules[__name__]):
        monkeypatch.setattr(module, "PARAMETERS", changed)
    monkeypatch.setattr(sys.modules[__name__], "WARM_UP_TIME", changed.warm_after)
    fleet = Fleet(TASKS)
    while fleet.assigners[0].now < fleet.started_at + WARM_UP_TIME - TURN_INTERVAL:
        fleet.run_turn()
        assert fleet.max_budget_fraction() == 0.0


# --- an assigner without proxies


def test_assigner_without_proxies_has_bounded_orders_and_state():
    """20 minutes with a change each: one order per change, one probe per task and second, bounded state."""
    assigner, orders_by_type, sizes = BrainHarness("abcd", 0), collections.Counter(), []

    def handle_and_count(*events):
        assigner.handle(*events)
        orders_by_type.update(type(order).__name__ for order in assigner.last_orders)

    for minute in range(20):
        handle_and_count(list_changes(task_line("e", "draining" if minute % 2 else "ready")))
        for _ in range(600):
            assigner.advance(0.1)
            orders_by_type.update(type(order).__name__ for order in assigner.last_orders)
        sizes.append(state_size(assigner.brain))
    order_counts = {
        kind: orders_by_type[kind]
        for kind in ("SetWeight", "RequestAcknowledgement", "BindProxy", "WithdrawTask", "SetAdmission")
    }
    assert order_counts == {
        "SetWeight": 20,
        "RequestAcknowledgement": 0,
        "BindProxy": 0,
        "WithdrawTask": 0,
        "SetAdmission": 0,
    }
    assert orders_by_type["SendProbe"] <= 20 * 60 * 5  # 5 tasks, once per second each
    assert max(sizes[10:]) <= max(sizes[:10])


def state_size(brain):
    """The number of entries in the Brain's collections and tables."""
    parts = [
        brain.timers,
        brain.channel.sent_batches,
        brain.pending_reports,
        brain.counted_until,
        brain.changed_at,
        brain.lines,
        brain.tasks,
    ]
    parts += [
        brain.proxies,
        brain.channel_proxies,
        brain.unbound_proxies,
        brain.withdrawn,
        brain.awaited,
        brain.log_messages,
    ]
    parts += [table.weights for table in brain.tables] + [brain.tables]
    return sum(map(len, parts))


@pytest.mark.parametrize("has_only_default_table", [True, False])
def test_proxies_that_all_leave_and_rejoin_are_bound_again_with_bounded_state(has_only_default_table):
    """Proxies without a table are bound in the same turn; others keep theirs up to 6 s, as after a start."""
    assigner, sizes, seconds = (
        BrainHarness("abcd", 3),
        [],
        0.0 if has_only_default_table else INHERITED_TABLES_TENTHS_MS / 10_000,
    )
    for _ in range(100):
        assigner.advance(0.5)
        assigner.handle(*(gp.ProxyLeft(proxy) for proxy in range(3)))
        assigner.advance(0.5)
        count = len(assigner.trace)
        assigner.handle(*(gp.ProxyJoined(proxy, 20.0, has_only_default_table, "z") for proxy in range(3)))
        assigner.advance(seconds)
        assert [line[7:] for line in assigner.trace[count:]] == ["bind 0, bind 1, bind 2"]
        sizes.append(state_size(assigner.brain))
    assert max(sizes[10:]) <= max(sizes[:10])


def test_assigner_without_proxies_sends_few_requests_and_serves_the_first_proxy(tmp_path):
    """Over its first watches: one call to the relay, one event stream, and one watch per second."""

    async def scenario():
        agent, relay = FakeDiscovery(50, "abc"), FakeRelay()
        async with (
            agent.listen() as discovery,
            relay.listen() as address,
            AssignerProgram(write_peer_configuration(tmp_path, discovery, address, "abc")) as program,
        ):
            await wait_until(lambda: agent.request_count)
            started_at = asyncio.get_running_loop().time()
            await wait_until(lambda: agent.request_count >= 4)
            # Four requests: the list, a watch immediately after it, then two more.
            assert asyncio.get_running_loop().time() - started_at > 1.8
            request_counts = relay.calls, relay.stream_request_count, agent.request_count
            relay.join(4)
            await wait_within(1.0, lambda: relay.callable_tasks() == "4:abc")
            return request_counts, await terminate(program)

    assert asyncio.run(scenario()) == ((1, 1, 4), CLEAN_EXIT)


# --- messages split over several reads


READ_SIZES = (1, 2, 3, 7)  # bytes per read: splits characters, chunk headers and CRLFs at every position


def assert_independent_of_read_size(monkeypatch, module, scenario):
    """Asserts that the scenario gives the same result for all read sizes; returns it."""
    unsplit = asyncio.run(scenario())
    for size in READ_SIZES:
        monkeypatch.setattr(module, "READ_SIZE", size)
        assert asyncio.run(scenario()) == unsplit
    return list(map(format_event, unsplit))


def utf8_http_response(text):
    body = text.encode()
    return [f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body]


@pytest.mark.usefixtures("long_timeouts")
def test_split_task_lists(monkeypatch):
    script = [
        utf8_http_response(task_list_body(50, True, ("ä", "active"), ("b", "active"))),
        [CHUNKED_HEAD, chunk(task_list_body(51, False, ("ä", "leaving"))), b"0\r\n\r\n"],
        utf8_http_response(task_list_body(52, False, ("b", "left"))),
    ]

    async def scenario():
        events = []
        async with ScriptedServer(*script) as agent:
            watch = TaskListWatch(agent.address, TaskAddresses(), events.append, False)
            return await run_until(watch, events, 3)

    assert assert_independent_of_read_size(monkeypatch, client, scenario) == [
        "TaskListReceived full (TaskLine s-ä a 0 ready 1.0 0 , TaskLine s-b a 0 ready 1.0 0 )",
        "TaskListReceived changes (TaskLine s-ä a 0 draining 1.0 0 )",
        "TaskListReceived changes (TaskLine s-b a 0 gone 1.0 0 )",
    ]


async def run_until(component, events, count):
    """Runs a component until it has delivered this many events."""
    running = asyncio.create_task(component.run())
    await wait_until(lambda: len(events) >= count)
    running.cancel()
    return events


@pytest.mark.usefixtures("long_timeouts")
def test_split_event_stream(monkeypatch):
    """Chunks end within a character, a CRLF and a field; lines use all three line endings."""
    text = "event: attach\r\ndata: id=4&site=zürich&rps=2&new=1\r\n\r\nevent: detach\rdata: id=4\r\r"
    text += "event: attach\ndata: id=5&site=a&rps=3&new=0\n\n:\n\n"
    body = text.encode()

    async def scenario():
        events = []
        cuts = body.index("ü".encode()) + 1, body.index(b"\r\n\r\n") + 1
        parts = body[: cuts[0]], body[cuts[0] : cuts[1]], body[cuts[1] :]
        stream = [f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts]
        async with ScriptedServer([CHUNKED_HEAD, *stream], default_step=lambda _: None) as relay:
            return await run_until(
                EventSubscription(relay.address, MarkTranslator(0), events.append), events, 3
            )

    assert assert_independent_of_read_size(monkeypatch, client, scenario) == [
        "ProxyJoined 4 2.0 True zürich False",
        "ProxyLeft 4",
        "ProxyJoined 5 3.0 False a False",
    ]


@pytest.mark.usefixtures("long_timeouts")
def test_split_call_answers(monkeypatch):
    """Each answer is read completely: the next call uses the same connection, and no order is in doubt."""

    async def scenario():
        events = []
        answer = "<Response><!-- ä --><entries><item><taken>1</taken></item></entries></Response>"
        chunked = [CHUNKED_HEAD, chunk(answer[:14]), chunk(answer[14:]), b"0\r\n\r\n"]
        async with ScriptedServer(utf8_http_response(answer), chunked, accepted_response(1)) as relay:
            sender = OrderSender(relay.address, ["read"], MarkTranslator(0), events.append)
            for task in "abc":
                sender.submit([gp.SetWeight(1, task, 1.0)])
            running = asyncio.create_task(sender.run())
            await wait_until(lambda: len(relay.requests) == 3)
            running.cancel()
            return [*events, gp.LogMessage(f"{len(relay.writers)} connections")]

    assert assert_independent_of_read_size(monkeypatch, client, scenario) == ["LogMessage 1 connections"]


def test_split_probe_answers(monkeypatch):
    async def scenario():
        events, addresses = [], TaskAddresses()
        async with ScriptedServer(
            utf8_http_response("TEXT inflight=7, ä=2, util=0.61"), utf8_http_response("TEXT util=0.5")
        ) as task:
            addresses.by_task["s-a"] = task.address
            prober = Prober(addresses, events.append, True, 8)
            for count in (1, 2):
                prober.start(gp.SendProbe("s-a", 600_000))
                await wait_until(lambda count=count: len(events) == count)
            return [gp.ProbeFinished(event.task, 0, event.outcome, event.load) for event in events]

    assert assert_independent_of_read_size(monkeypatch, client, scenario) == [
        "ProbeFinished s-a 0 ok {'in_hand': 7.0, 'busy': 0.61}",
        "ProbeFinished s-a 0 ok {'busy': 0.5}",
    ]


REPORT_LINE = "upstream_stats site=a target=s-ä count=2 fail=0 mean=5 over=1000\r\n".encode()


def test_split_reports_and_heartbeats(monkeypatch):
    """One collector next to two other connections, one that stops and one that stalls within a heartbeat."""
    message = (
        b"hb\r\ntelemetry site=a\nhb\r\n"
        + REPORT_LINE
        + b"\r\n" * 3
        + REPORT_LINE
        + b"client_stats id=7 lane=read"
    )
    message += b" count=19 fail=1 over=1000.0\r\nhb\r\n"

    async def scenario():
        events = []
        async with ListenerServer(events.append) as server:
            await server.join(b"h")
            await server.join(b"hb\r\nhb\r\nh")
            reader, _ = await server.join(message)
            await wait_until(lambda: len(events) == 3)
            answers = await reader.readexactly(3 * len(b"hb_ok\r\n"))
            return [*events, gp.LogMessage(f"{answers.count(b'hb_ok')} answers")]

    assert assert_independent_of_read_size(monkeypatch, listener, scenario) == [
        "TaskReport s-ä a 2 0 50.0 10000 {}",
        "TaskReport s-ä a 2 0 50.0 10000 {}",
        "RouteReport 7 0 19 1 10000",
        "LogMessage 3 answers",
    ]


# --- answers to every message


def test_every_heartbeat_is_answered_pipelined_or_concurrent():
    """1,000 in one write on one connection; 200 connections at once to a listener with room for 16."""

    async def scenario():
        async with ListenerServer(print, capacity=16) as server:
            reader, _ = await server.join(b"hb\r\n" * 1_000)
            pipelined = await reader.readexactly(1_000 * len(b"hb_ok\r\n"))
            sockets = [
                socket.create_connection(server.address) for _ in range(200)
            ]  # blocks the event loop meanwhile
            for sock in sockets:
                sock.sendall(b"hb\r\n")
                sock.setblocking(False)
            single = [await read_first_line(sock) for sock in sockets]
            return pipelined.count(b"hb_ok\r\n"), single.count(b"hb_ok\r\n")

    assert asyncio.run(scenario()) == (1_000, 200)


async def read_first_line(sock):
    """The first line received, or the part of it received before the connection was closed."""
    line = b""
    with contextlib.closing(sock), contextlib.suppress(ConnectionError):
        while not line.endswith(b"\r\n") and (byte := await asyncio.get_running_loop().sock_recv(sock, 1)):
            line += byte
    return line


def test_each_unidentified_connection_is_rejected_or_closed(monkeypatch):
    """Whatever an unidentified connection sends, it ends with `reject` or a close."""
    for name in ("JOIN_TIMEOUT", "HEARTBEAT_TIMEOUT", "SWEEP_PERIOD"):
        monkeypatch.setattr(listener, name, 0.05)
    messages = [
        b"",
        b"h",
        b"hb\r\n",
        b"whim\r\n",
        b"hb\r\nwhim\r\n",
        b"telemetry site=x\r\n",
        b"\r\n",
        b"x" * 5_000,
    ]

    async def scenario():
        async with ListenerServer(print, capacity=64) as server:
            connections = [await server.join(message) for message in messages]
            async with asyncio.timeout(RESTART_TIMEOUT):
                responses = [await read_to_end(reader) for reader, _ in connections]
            await wait_until(lambda: not server.listener.peers)
            return responses

    assert asyncio.run(scenario()) == [
        b"reject\r\n",
        b"reject\r\n",
        b"hb_ok\r\nreject\r\n",
        b"reject\r\n",
        b"hb_ok\r\nreject\r\n",
        b"reject\r\n",
        b"reject\r\n",
        b"reject\r\n",
    ]
