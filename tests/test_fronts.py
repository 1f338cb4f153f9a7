"""The front ends on loopback, with well-behaved, faulty and hostile clients."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import signal
import subprocess
import sys

import pytest
from front_end_harness import FrontEndHarness, make_configuration, make_follower, same_shares
from helper import list_changes, task_line, wait_until

from garnetpaddle import interface as gp
from garnetpaddle import operator as op
from garnetpaddle.advice.leases import FIRST_FOLLOWER_PROXY_NUMBER
from garnetpaddle.advice.session_events import SnapshotPublished
from garnetpaddle.client import DfpClient, SaspClient, Update, Weight, merge
from garnetpaddle.front_ends.connection_manager import ConnectionManager
from garnetpaddle.sasp import codec
from garnetpaddle.sasp import messages as m
from garnetpaddle.sasp.session import Session
from garnetpaddle.snapshots import EMPTY_SNAPSHOT
from garnetpaddle.snapshots.publisher import SnapshotPublisher


def shortest_wait(low, high):
    return low  # keeps reconnects in tests short


def sasp_client(addresses, harness, tasks="abcdef", groups=("status",), uid="lb", **options):
    members = harness.members(tasks)
    return SaspClient(
        addresses["sasp"], uid, dict.fromkeys(groups, members), uniform=shortest_wait, **options
    )


def weights_by_port(client, group="status"):
    return {w.port: w.weight for w in client.weights(group)}


class TableComparison:
    """Compares a client's weights with the native table after every generation.

    They must be equal after one update, or two if a drain was sent first."""

    def __init__(self, harness, client):
        self.harness, self.client = harness, client
        self.generation = self.compared = self.updates = 0

    async def __call__(self):
        snapshot = self.harness.front_ends.publisher.snapshot
        if (
            snapshot.generation == self.generation
            or snapshot.table_by_proxy.get(FIRST_FOLLOWER_PROXY_NUMBER) is None
        ):
            return
        self.generation = snapshot.generation
        native_weights = self.harness.native_weights_by_port()
        if not native_weights:
            return
        before = self.client.state_machine.serial

        def up_to_date():
            (
                self.harness.front_ends.manager.timers.run_due()
                if self.harness.front_ends.manager.timers
                else None
            )
            return same_shares(weights_by_port(self.client), native_weights)

        # The update interval and acknowledgements need the test clock to advance.
        for _ in range(60):
            if up_to_date():
                break
            await asyncio.sleep(0.002)
            self.harness.now += 50
        assert up_to_date(), (weights_by_port(self.client), native_weights)
        assert self.client.state_machine.serial - before <= 2
        self.updates += self.client.state_machine.serial - before
        self.compared += 1


def test_follower_weights_match_the_native_table_at_every_generation():
    async def scenario():
        harness = FrontEndHarness(make_configuration(make_follower(), pace=0.1))
        async with harness.serving() as addresses, sasp_client(addresses, harness) as client:
            await wait_until(lambda: harness.follower_events)
            comparison = TableComparison(harness, client)
            await harness.advance_with_io(6, comparison)
            harness.reported_sums["a"], harness.reported_sums["b"] = (10, 0, 80), (10, 0, 500)
            await harness.advance_with_io(10, comparison)
            harness.handle(list_changes(task_line("c", "draining")))
            await comparison()
            await harness.advance_with_io(2, comparison)
            harness.reported_sums["d"], harness.probe_outcomes["d"] = (10, 10, 0), "timeout"
            await harness.advance_with_io(5, comparison)
            harness.reported_sums["d"], harness.probe_outcomes["d"] = (10, 0, 200), "ok"
            harness.handle(list_changes(task_line("c", started=harness.now / 10_000)))
            await harness.advance_with_io(25, comparison)
            harness.reported_sums["a"], harness.reported_sums["b"] = (10, 0, 500), (10, 0, 80)
            await harness.advance_with_io(25, comparison)
            harness.handle(gp.ChannelStateUnknown())
            await harness.advance_with_io(3, comparison)
            harness.handle(gp.TaskListReceived("full", tuple(task_line(t) for t in "adef")))
            await harness.advance_with_io(5, comparison)
            seen = " ".join(harness.trace)
            for word in ("taken out", "let back", "c=0 ", "d="):
                assert word in seen + " "
            # No order for the follower may reach the relay.
            sent = [o for reply in harness.platform_replies for o in reply]
            assert sent and not any(
                isinstance(o, gp.BindProxy) and o.proxy >= FIRST_FOLLOWER_PROXY_NUMBER for o in sent
            )
            return comparison.compared, client.log

    compared, log = asyncio.run(scenario())
    assert compared >= 20 and log == ["opened"]


def test_dfp_manager_weights_match_the_native_table():
    async def scenario():
        follower = make_follower(takes="acknowledged", groups=["status"])
        dfp = (op.Dfp("old", "127.0.0.1:0", "lb", "status", 0.1),)
        harness = FrontEndHarness(make_configuration(follower, dfp=dfp))
        async with (
            harness.serving() as addresses,
            DfpClient(addresses["old"], uniform=shortest_wait) as client,
        ):
            await wait_until(lambda: harness.follower_events)
            client.state_machine.tables = {"status": client.state_machine.table}
            client.weights = lambda group: tuple(client.state_machine.table.values())
            comparison = TableComparison(harness, client)
            await harness.advance_with_io(6, comparison)
            harness.reported_sums["a"], harness.reported_sums["b"] = (10, 0, 80), (10, 0, 500)
            await harness.advance_with_io(8, comparison)
            harness.handle(list_changes(task_line("c", "draining")))
            await harness.advance_with_io(2, comparison)
            harness.handle(list_changes(task_line("c", started=harness.now / 10_000)))
            await harness.advance_with_io(20, comparison)
            return comparison.compared

    assert asyncio.run(scenario()) >= 12


def test_client_keeps_its_advice_over_a_restart_until_the_first_table():
    received = []

    async def watch(client):
        async for update in client.updates():
            received.append({w.port: w.weight for w in update.weights})

    async def scenario():
        harness = FrontEndHarness(make_configuration(pace=0.1))
        async with contextlib.AsyncExitStack() as stack:
            async with harness.serving() as addresses:
                client = await stack.enter_async_context(sasp_client(addresses, harness))
                watch_task = asyncio.create_task(watch(client))
                await wait_until(lambda: harness.follower_events)
                harness.reported_sums["a"] = (10, 0, 500)
                comparison = TableComparison(harness, client)
                await harness.advance_with_io(9, comparison)
                previous_weights = weights_by_port(client)
            assert len(received) >= 3
            # The assigner is restarted at the same address and knows only the task list.
            address = f"127.0.0.1:{addresses['sasp'][1]}"
            restarted = FrontEndHarness(
                make_configuration(pace=0.1, listen=address), restarted=True, proxies=0
            )
            restarted.reported_sums = {}
            restarted.handle(*(gp.ProxyJoined(p, 20.0, False, "z") for p in range(2)))
            async with restarted.serving():
                count = len(received)
                await wait_until(lambda: restarted.follower_events)
                assert [
                    e.has_only_default_table
                    for e in restarted.follower_events
                    if isinstance(e, gp.ProxyJoined)
                ] == [False]
                await restarted.advance_with_io(2)
                assert weights_by_port(client) == previous_weights and len(received) == count
                restarted.reported_sums = {t: (10, 0, 500 if t == "a" else 200) for t in "abcdef"}
                comparison = TableComparison(restarted, client)
                await restarted.advance_with_io(8, comparison)
                assert comparison.compared and len(received) > count
            watch_task.cancel()

    asyncio.run(scenario())
    assert all(any(weights.values()) for weights in received)


def test_drain_is_confirmed_within_the_grace_period_or_the_client_is_closed():
    """One client confirms updates, one reads but sends no messages, one does not read."""

    async def scenario():
        followers = [make_follower(name, rate=1.0) for name in ("answers", "silent", "not_reading")]
        harness = FrontEndHarness(make_configuration(*followers, pace=0.1))
        async with contextlib.AsyncExitStack() as stack:
            addresses = await stack.enter_async_context(harness.serving())
            answers, silent = [
                await stack.enter_async_context(
                    sasp_client(addresses, harness, uid=name, answers=name == "answers")
                )
                for name in ("answers", "silent")
            ]
            reader, writer = await asyncio.open_connection(*addresses["sasp"], limit=1_024)
            name = m.GroupName(b"not_reading", b"status")
            members = tuple(m.MemberData.from_address(*at) for at in harness.members("abcdef"))
            writer.write(codec.encode(m.SetLbState(1, b"not_reading", 0, True, False, False)))
            writer.write(codec.encode(m.Register(2, True, ((name, members),))))
            await wait_until(lambda: len(harness.follower_events) == 3)
            await harness.advance_with_io(1.5)
            await wait_until(lambda: weights_by_port(answers) and weights_by_port(silent))
            drained_at = harness.now
            harness.handle(list_changes(task_line("a", "draining")))
            port = harness.task_addresses.by_task["a"][1]
            await wait_until(lambda: not weights_by_port(answers)[port] and not weights_by_port(silent)[port])
            leave_delays = {}
            while len(leave_delays) < 2 and harness.now < drained_at + 40_000:
                await harness.advance_with_io(0.1)
                await asyncio.sleep(0.002)
                for event in harness.follower_events:
                    if isinstance(event, gp.ProxyLeft):
                        leave_delays[event.proxy - FIRST_FOLLOWER_PROXY_NUMBER] = harness.now - drained_at
            assert sorted(leave_delays) == [1, 2] and max(leave_delays.values()) < 30_000
            writer.transport.abort()
            # The confirming client stays connected; the silent one is refused at first, then admitted.
            assert answers.log == ["opened"]
            await wait_until(lambda: silent.log.count("opened") > 1)
            await wait_until(lambda: any("refused" in x for x in silent.log))

    asyncio.run(scenario())


def test_connection_flood_stays_within_the_limits():
    async def scenario():
        harness = FrontEndHarness(make_configuration(connections=16, message_kib=64, unread_kib=64, pace=0.1))
        async with harness.serving() as addresses, sasp_client(addresses, harness) as client:
            await wait_until(lambda: harness.follower_events)
            await harness.advance_with_io(1)
            await wait_until(lambda: weights_by_port(client))
            manager, max_seen = harness.front_ends.manager, 0
            opened = []
            for k in range(1_000):
                with contextlib.suppress(OSError):
                    opened.append(await asyncio.open_connection(*addresses["sasp"]))
                    # A header that announces 1 MiB, half a header, nothing, or random bytes.
                    with contextlib.suppress(OSError):
                        opened[-1][1].write(
                            [bytes.fromhex("2010000d0100100000000000ff"), b"\x20\x10", b"", os.urandom(300)][
                                k % 4
                            ]
                        )
                if k % 50 == 0:
                    await asyncio.sleep(0.01)
                    max_seen = max(max_seen, len(manager.connections))
            await wait_until(lambda: len(manager.connections) <= 16)
            assert max_seen <= 16 + 128  # accepted in this iteration, but not yet checked
            buffered = sum(len(x.decoder.buffer) for x in manager.connections.values())
            assert buffered <= 16 * 65_536
            # A connection closed with queued input must end its task; thousands of them used to pile up.
            await wait_until(lambda: len(asyncio.all_tasks()) <= 16 + 8)
            # The follower stays connected, and the Brain gets no event of the flood.
            assert client.log == ["opened"]
            assert not any(isinstance(e, gp.ProxyLeft) for e in harness.follower_events)
            await harness.advance_with_io(3)
            await wait_until(
                lambda: not [x for x in manager.connections.values() if x.session.follower is None]
            )
            for _, writer in opened:
                writer.transport.abort()

    asyncio.run(scenario())


def test_slow_message_is_read_or_times_out():
    async def scenario():
        harness = FrontEndHarness(make_configuration())
        async with harness.serving() as addresses:
            reader, writer = await asyncio.open_connection(*addresses["sasp"])
            name = m.GroupName(b"lb", b"status")
            whole = codec.encode(
                m.Register(
                    7, True, ((name, (m.MemberData.from_address(*harness.task_addresses.by_task["a"]),)),)
                )
            )
            for byte in whole:
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            decoder = codec.MessageDecoder(4096)
            replies = []
            while not replies:
                replies = list(decoder.feed(await reader.read(4096)))
            assert replies[0].code == 0
            # The next message is never completed.
            writer.write(whole[:20])
            connection = next(iter(harness.front_ends.manager.connections.values()))
            await wait_until(lambda: connection.session.partial_message_since is not None)
            await harness.advance_with_io(2.2)
            assert await reader.read() == b""

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [1, 7, 4096])
def test_client_reconnects_after_a_break_within_a_message(size):
    async def scenario():
        harness = FrontEndHarness(make_configuration(pace=0.1))
        async with harness.serving() as addresses:
            name = m.GroupName(b"lb", b"status")
            whole = codec.encode(
                m.Register(
                    7, True, ((name, (m.MemberData.from_address(*harness.task_addresses.by_task["a"]),)),)
                )
            )
            _, writer = await asyncio.open_connection(*addresses["sasp"])
            writer.write(whole + whole[:size])
            await wait_until(lambda: harness.follower_events)
            writer.transport.abort()
            await wait_until(lambda: any(isinstance(e, gp.ProxyLeft) for e in harness.follower_events))
            async with sasp_client(addresses, harness) as client:
                await wait_until(
                    lambda: sum(isinstance(e, gp.ProxyJoined) for e in harness.follower_events) == 2
                )
                await harness.advance_with_io(1)
                await wait_until(lambda: weights_by_port(client))

    asyncio.run(scenario())


def test_rapid_changes_send_one_update_per_interval_and_the_newest_at_last():
    async def scenario():
        followers = [make_follower(f"lb{k}", rate=1.0) for k in range(8)]
        harness = FrontEndHarness(make_configuration(*followers, pace=1.0), tasks="abcdefghij")
        async with contextlib.AsyncExitStack() as stack:
            addresses = await stack.enter_async_context(harness.serving())
            clients = [
                await stack.enter_async_context(sasp_client(addresses, harness, "abcdefghij", uid=f"lb{k}"))
                for k in range(8)
            ]
            await wait_until(lambda: len(harness.follower_events) == 8)
            await harness.advance_with_io(1.5)
            await wait_until(lambda: all(weights_by_port(c) for c in clients))
            before = [c.state_machine.serial for c in clients]
            started_at = harness.now
            for n in range(25):  # all weights change ten times per second
                harness.last_orders = [
                    gp.SetWeight(1, t, 0.5 + (n + k) % 10 / 10) for k, t in enumerate("abcdefghij")
                ]
                harness.now += 1_000
                harness.front_ends.publish_snapshot(harness.now, [], harness.last_orders)
                harness.front_ends.manager.timers.run_due() if harness.front_ends.manager.timers else None
                await asyncio.sleep(0.005)
            after = [c.state_machine.serial - b for c, b in zip(clients, before, strict=True)]
            assert max(after) <= 1 + (harness.now - started_at) // 10_000 and min(after) >= 1
            native_weights = {
                harness.task_addresses.by_task[o.task][1]: o.weight for o in harness.last_orders
            }

            def settled():
                harness.now += 100
                harness.front_ends.manager.timers.run_due() if harness.front_ends.manager.timers else None
                return all(same_shares(weights_by_port(c), native_weights) for c in clients)

            await wait_until(settled)

    asyncio.run(scenario())


def test_refused_group_does_not_affect_other_groups():
    async def scenario():
        harness = FrontEndHarness(make_configuration(make_follower(retries="any")))
        async with (
            harness.serving() as addresses,
            sasp_client(addresses, harness, groups=("charge",)) as client,
        ):
            await wait_until(lambda: any("refused: 0x11" in x for x in client.log))
            assert not harness.follower_events
        harness = FrontEndHarness(make_configuration(make_follower(retries="any"), pace=0.1))
        async with harness.serving() as addresses, sasp_client(addresses, harness) as client:
            await wait_until(lambda: harness.follower_events)
            await harness.advance_with_io(1)
            await wait_until(lambda: weights_by_port(client))

    asyncio.run(scenario())


def test_drain_known_to_one_manager_holds_in_the_merged_advice():
    """Two assigners and one balancer that follows both; the second assigner's task list is late."""

    async def scenario():
        harnesses = [FrontEndHarness(make_configuration(pace=0.1)) for _ in range(2)]
        async with contextlib.AsyncExitStack() as stack:
            clients = []
            for harness in harnesses:
                addresses = await stack.enter_async_context(harness.serving())
                clients.append(await stack.enter_async_context(sasp_client(addresses, harness)))
                await wait_until(lambda harness=harness: harness.follower_events)
                await harness.advance_with_io(1.5)
            await wait_until(lambda: all(weights_by_port(client) for client in clients))
            port = harnesses[0].task_addresses.by_task["a"][1]

            def merged():
                weights = merge(Update("status", c.weights("status"), 0, 0) for c in clients)
                return {at[1]: w for at, w in weights.items()}

            assert port in merged() and len(merged()) == 6
            harnesses[0].handle(list_changes(task_line("a", "draining")))
            await wait_until(lambda: not weights_by_port(clients[0])[port])
            # The task stays out over new weights and a reconnect at the manager that does not know the drain.
            harnesses[1].reported_sums["b"] = (10, 0, 500)
            await harnesses[1].advance_with_io(5)
            assert weights_by_port(clients[1])[port] and port not in merged()
            next(iter(harnesses[1].front_ends.manager.connections.values())).writer.transport.abort()
            await wait_until(lambda: clients[1].log.count("opened") == 2)
            await harnesses[1].advance_with_io(1)
            await wait_until(lambda: weights_by_port(clients[1])[port])
            assert port not in merged() and len(merged()) == 5

    asyncio.run(scenario())


def test_merge_adds_parts_of_a_fleet_regardless_of_scale():
    def update(**weights):
        return Update("g", tuple(Weight(k, 1, "", w) for k, w in weights.items()), 1, 0)

    one, other = update(a=10_000, b=20_000, c=0, d=0), update(a=0, b=0, c=2_500, d=5_000)
    merged = {host: w for (host, _), w in merge([one, other]).items()}
    assert merged["a"] == merged["c"] and merged["b"] == merged["d"] == 2 * merged["a"]
    assert merge([update(a=0)]) == {} == merge([])


def test_error_in_one_session_closes_only_that_connection(monkeypatch):
    async def scenario():
        harness = FrontEndHarness(
            make_configuration(make_follower("lb", rate=1.0), make_follower("other", rate=1.0), pace=0.1)
        )
        async with harness.serving() as addresses, sasp_client(addresses, harness) as client:
            await wait_until(lambda: harness.follower_events)
            await harness.advance_with_io(1.5)
            await wait_until(lambda: weights_by_port(client))
            original = Session.wanted_weights

            def faulty(self, table):
                if self.follower.name == "other":
                    raise RuntimeError("a fault")
                return original(self, table)

            monkeypatch.setattr(Session, "wanted_weights", faulty)
            async with sasp_client(addresses, harness, uid="other") as other:
                await wait_until(lambda: other.log.count("opened") > 1)
                await harness.advance_with_io(1)
                before = client.state_machine.serial
                harness.reported_sums["a"] = (10, 0, 600)
                await harness.advance_with_io(6)
                await wait_until(lambda: client.state_machine.serial > before)
                assert client.log == ["opened"] and not weights_by_port(other)

    asyncio.run(scenario())


def test_error_in_the_snapshot_builder_closes_only_the_front_ends(monkeypatch):
    async def scenario():
        harness = FrontEndHarness(make_configuration(pace=0.1))
        async with harness.serving() as addresses, sasp_client(addresses, harness) as client:
            await wait_until(lambda: harness.follower_events)
            await harness.advance_with_io(1.5)
            await wait_until(lambda: weights_by_port(client))

            def faulty(*_):
                raise RuntimeError("a fault")

            monkeypatch.setattr(harness.front_ends.snapshot_builder, "update", faulty)
            await harness.advance_with_io(0.5)
            await wait_until(lambda: not harness.front_ends.manager.connections)
            await harness.advance_with_io(3)
            assert (
                FIRST_FOLLOWER_PROXY_NUMBER not in harness.brain.proxies and harness.brain.tables[0].weights
            )
            await wait_until(lambda: any("connect:" in x for x in client.log))
            assert weights_by_port(client)  # the last advice stays in force

    asyncio.run(scenario())


def test_failed_listener_names_its_configuration_block():
    async def scenario():
        harness = FrontEndHarness(make_configuration())
        async with harness.serving() as addresses:
            other = FrontEndHarness(make_configuration(listen=f"127.0.0.1:{addresses['sasp'][1]}"))
            with pytest.raises(OSError, match="sasp, 127.0.0.1"):
                await other.front_ends.open()

    asyncio.run(scenario())


def run_program(arguments, code):
    """Runs this Python code with these arguments."""
    command = [sys.executable, "-c", code, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("operator", [False, True])
def test_front_ends_are_loaded_only_with_an_operator_configuration(operator, tmp_path):
    """Starts `serve`, reads its log and import times, then terminates it."""
    config = json.loads(pathlib.Path("examples/assigner.json").read_text()) | {"listen": "127.0.0.1:0"}
    (tmp_path / "config.json").write_text(json.dumps(config))
    (tmp_path / "operator.hcl").write_text('sasp {\n  listen = "127.0.0.1:0"\n}\n')
    environment = os.environ | {"ROUTER_CONFIG": str(tmp_path / "config.json")}
    environment.pop("GARNET_OPERATOR", None)
    if operator:
        environment["GARNET_OPERATOR"] = str(tmp_path / "operator.hcl")
    command = [sys.executable, "-X", "importtime", "-m", "garnetpaddle", "serve"]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, env=environment
    ) as serve:
        output_lines = []
        while "event=serving" not in (output_lines or [""])[-1]:
            output_lines.append(serve.stdout.readline())
            assert output_lines[-1], serve.stderr.read()
        serve.send_signal(signal.SIGTERM)
        import_log = serve.communicate(timeout=60)[1]
    loaded = {x.rsplit("|", 1)[-1].strip() for x in import_log.splitlines() if x.startswith("import time:")}
    assert "garnetpaddle.brain" in loaded and serve.returncode == 0
    optional_modules = {
        f"garnetpaddle.{name}" for name in ("operator", "snapshots", "advice", "sasp", "dfp", "front_ends")
    }
    assert (
        loaded & (optional_modules | {"click", "rich.console", "hcl2", "lark", "ddsketch"}) == set()
    ) != operator
    assert any("front_open" in x for x in output_lines) == operator


@pytest.mark.parametrize(
    "arguments, code, expected",
    [
        (["version"], 0, r"\d"),
        (["check", "examples/assigner.json"], 0, "fine"),
        (["check"], 2, "ROUTER_CONFIG: not set"),
        (
            ["check", "examples/assigner.json", "--operator", "deploy/operator.hcl"],
            0,
            "sasp at 127.0.0.1:3860",
        ),
        (["check", "examples/assigner.json", "--operator", "README.md"], 2, r"README.md:\d+: "),
        (["serve"], 2, "ROUTER_CONFIG: not set"),
        (["serve", "--help"], 0, "SIGTERM"),
        (["nonsense"], 2, "nonsense"),
        (["serve", "--operator"], 2, "operator"),
        ([], 2, "Usage"),
    ],
)
def test_commands_and_their_exit_codes(arguments, code, expected):
    environment = {k: v for k, v in os.environ.items() if k not in ("ROUTER_CONFIG", "GARNET_OPERATOR")}
    completed = subprocess.run(
        [sys.executable, "-m", "garnetpaddle", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env=environment,
    )
    assert completed.returncode == code and re.search(expected, completed.stdout + completed.stderr)


def test_missing_library_names_the_extra_to_install():
    code = "import sys; sys.modules['hcl2'] = None; from garnetpaddle.__main__ import main; sys.exit(main())"
    completed = run_program(["check", "examples/assigner.json", "--operator", "deploy/operator.hcl"], code)
    assert completed.returncode == 2 and "garnetpaddle[operator]" in completed.stderr
    completed = run_program(["version"], code.replace("hcl2", "click"))
    assert completed.returncode == 2 and "garnetpaddle[cli]" in completed.stderr


class RecordingSession:
    """A session that records its events; its decoder passes each chunk on as one message."""

    follower = None

    def __init__(self):
        self.events = []

    def handle(self, now, event):
        self.events.append(event)
        return []

    def feed(self, chunk):
        return [chunk]

    def has_partial_message(self):
        return False


def test_a_snapshot_published_while_input_is_queued_reaches_the_session_after_that_input():
    """The session heard of it, and of a drain in it, with the next snapshot only."""

    async def scenario():
        session, publisher = RecordingSession(), SnapshotPublisher()
        manager = ConnectionManager(publisher, lambda: 0, lambda event: None, 10, 1_000)
        address = await manager.open(("127.0.0.1", 0), lambda *_: (session, session))
        distribution = asyncio.create_task(manager.distribute_snapshots())
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"x")
        await wait_until(lambda: manager.input_queue)
        newer = dataclasses.replace(EMPTY_SNAPSHOT, generation=1)
        publisher.publish(newer)
        await wait_until(lambda: publisher.next_publication is not None)
        session.events.clear()
        processing = asyncio.create_task(manager.process_inputs())
        await wait_until(lambda: not manager.input_queue and session.events)
        for task in (distribution, processing):
            task.cancel()
        manager.close()
        writer.close()
        return [type(event).__name__ for event in session.events], session.events[-1], newer

    names, last, newer = asyncio.run(scenario())
    assert names[-3:] == ["MessageReceived", "InputProcessed", "SnapshotPublished"]
    assert last == SnapshotPublished(newer)
