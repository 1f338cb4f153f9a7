"""Measures latency and cost from an order until the last client has read it, over SASP on loopback.

    python -m benchmarks.advice                       # 1, 10, 100, 1000 clients x 30, 120, 1000 members
    python -m benchmarks.advice --clients 100 --members 120 --json result.json

The front ends run in their own process on one core, with snapshots and sessions as in production; readers in
other processes parse only what they need. As the baseline ("bare"), a plain asyncio server in the same run
writes the same bytes to as many connections and answers the same polls; figures are given as ratios to it.
`step` is the time of the Brain's step with as many followers as clients, relative to none; `lag` is the delay
of the front ends' event loop.

    python -m benchmarks.advice --flood               # 1,000 noise connections, room for 64

sends unreadable data (headers that announce 1 MiB, partial headers, noise, single bytes) for ten seconds from
connections that are reopened as soon as they are closed. It reports the delay of the event loop before and
during the flood, the memory and descriptors used, and the latency of the updates to the one follower.
"""

import asyncio
import json
import logging
import multiprocessing
import os
import resource
import struct
import sys
import time

import click
import structlog
from ddsketch import DDSketch

from garnetpaddle import interface as gp
from garnetpaddle.advice.leases import FIRST_FOLLOWER_PROXY_NUMBER
from garnetpaddle.advice.session_registry import Follower, GroupRoute, SessionRegistry
from garnetpaddle.brain import Brain
from garnetpaddle.sasp import GetWeights, GroupName, MemberData, MessageDecoder, Register, SetLbState, codec
from garnetpaddle.sasp.session import Session
from garnetpaddle.snapshots import SnapshotBuilder, SnapshotPublisher

ORDER_COUNT, READER_PROCESSES = 12, 4
HEADER = struct.Struct("!HHBII")
QUANTILE_ACCURACY = 0.01  # relative accuracy of the quantiles
GROUP_NAME = b"status"


def now_ticks():
    """0.1 ms ticks of the monotonic clock, which all processes share."""
    return int(time.monotonic() * 10_000)


def member_addresses(members):
    return {f"task-{k:05}": (f"10.{k >> 16}.{k >> 8 & 255}.{k & 255}", 5_000) for k in range(members)}


def weight_orders(members, order_number):
    """Orders that change every weight; the weight of the first task encodes the order number."""
    tasks = list(member_addresses(members))
    return [gp.SetWeight(1, tasks[0], (100 + order_number) / 1_000)] + [
        gp.SetWeight(1, task, 0.8 + (k * 7 + order_number * 3) % 40 / 100) for k, task in enumerate(tasks[1:])
    ]


def resident_kb():
    with open("/proc/self/status") as file:
        return next(int(x.split()[1]) for x in file if x.startswith("VmRSS"))


class LoopLag:
    """The delay of the event loop, sampled every millisecond."""

    def __init__(self):
        self.sketch = DDSketch(QUANTILE_ACCURACY)

    async def run(self):
        while True:
            due = time.monotonic() + 0.001
            await asyncio.sleep(0.001)
            self.sketch.add(max(1e-6, time.monotonic() - due))


async def run_fronts(pipe, clients, members):
    """Runs the server: sends its port, then executes the commands of the parent process."""
    from garnetpaddle.advice import session
    from garnetpaddle.front_ends import ConnectionManager

    session.MAX_MESSAGES_PER_PERIOD = 10**9  # the message limit is not part of the measurement
    uids = [f"lb{k:04}" for k in range(clients)]
    registry = SessionRegistry(
        {"status": GroupRoute(0, "repeatable")},
        {uid.encode(): Follower(uid, ("status",), "none", "acknowledged") for uid in uids},
        [(uid, 1.0, "z") for uid in uids],
        30_000,
        150_000,
        -(10**9),
    )
    snapshot_builder, publisher, manager_events = SnapshotBuilder(), SnapshotPublisher(), []
    manager = ConnectionManager(publisher, now_ticks, manager_events.append, clients + 64, 64 << 20)
    task_lines = tuple(gp.TaskLine(task, "z", 0, "ready", 1.0, 0) for task in member_addresses(members))
    publisher.publish(
        snapshot_builder.update(
            now_ticks(), [gp.TaskListReceived("full", task_lines)], [], member_addresses(members)
        )
    )
    address = await manager.open(
        ("127.0.0.1", 0),
        lambda n, host, at: (Session(registry, n, 50, 10_000, members, host, at), MessageDecoder(4 << 20)),
    )
    managing = asyncio.create_task(manager.run())
    lag = LoopLag()
    memory_before_kb = resident_kb()
    pipe.send(address[1])
    loop = asyncio.get_running_loop()
    sampling, cpu_started_at, sent_at = None, 0.0, 0
    while (command := await loop.run_in_executor(None, pipe.recv)) != "end":
        if command == "joined":
            pipe.send(sum(isinstance(event, gp.ProxyJoined) for event in manager_events))
        elif command == "bind":
            events, manager_events[:] = list(manager_events), []
            binds = [gp.BindProxy(FIRST_FOLLOWER_PROXY_NUMBER + k, 1) for k in range(clients)]
            publisher.publish(
                snapshot_builder.update(now_ticks(), events, [*weight_orders(members, 0), *binds])
            )
            pipe.send(len([event for event in events if isinstance(event, gp.ProxyJoined)]))
        elif command == "memory":
            pipe.send(resident_kb() - memory_before_kb)
            sampling, cpu_started_at = sampling or asyncio.create_task(lag.run()), time.process_time()
        elif command == "sample":
            lag.sketch = DDSketch(QUANTILE_ACCURACY)
            pipe.send("sampling")
        elif command == "descriptors":
            pipe.send(len(os.listdir("/proc/self/fd")))
        elif command == "used":
            pipe.send(
                (
                    (time.process_time() - cpu_started_at),
                    lag.sketch.get_quantile_value(0.99) or 0.0,
                    sum(connection.written for connection in manager.connections.values()),
                )
            )
        else:
            sent_at = time.monotonic()
            publisher.publish(snapshot_builder.update(now_ticks(), [], weight_orders(members, command)))
            pipe.send(sent_at)
    managing.cancel()
    if sampling:
        sampling.cancel()
    manager.close()


async def run_baseline(pipe, clients, size, reply_size):
    """Runs the baseline: writes `size` bytes to all connections per order; polls get `reply_size` bytes."""
    writers, answer = [], bytes(reply_size)

    async def handle_connection(reader, writer):
        writers.append(writer)
        try:
            while chunk := await reader.read(65_536):
                if reply_size:
                    for _ in range(max(1, len(chunk) // 29)):
                        writer.write(answer)
        except (OSError, asyncio.CancelledError):
            pass

    server = await asyncio.start_server(handle_connection, "127.0.0.1", 0, backlog=2_048)
    pipe.send(server.sockets[0].getsockname()[1])
    loop, cpu_started_at = asyncio.get_running_loop(), 0.0
    while (command := await loop.run_in_executor(None, pipe.recv)) != "end":
        if command == "memory":
            while len(writers) < clients:
                await asyncio.sleep(0.01)
            cpu_started_at = time.process_time()
            pipe.send(0)
        elif command == "used":
            pipe.send((time.process_time() - cpu_started_at, 0.0, 0))
        else:
            data, sent_at = HEADER.pack(0x2010, 13, 1, size, command) + bytes(size - 13), time.monotonic()
            for writer in writers:
                writer.write(data)
            pipe.send(sent_at)


def server_process(pipe, target, *arguments):
    os.sched_setaffinity(0, {min(os.sched_getaffinity(0))})
    descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))
    asyncio.run({"fronts": run_fronts, "bare": run_baseline}[target](pipe, *arguments))


class Reader(asyncio.Protocol):
    """Records the time at which each order arrives; parses as little as possible.

    baseline: reads the messages of the baseline server, whose message id is the order number."""

    def __init__(self, received, baseline, opening):
        self.received, self.baseline, self.opening, self.buffer, self.at = (
            received,
            baseline,
            opening,
            bytearray(),
            0,
        )

    def connection_made(self, transport):
        if self.opening:
            transport.write(self.opening)

    def data_received(self, data):
        self.buffer += data
        while len(self.buffer) >= 13:
            size = int.from_bytes(self.buffer[5:9], "big")
            if len(self.buffer) < size:
                return
            if self.baseline:
                self.received.append((int.from_bytes(self.buffer[9:13], "big"), time.monotonic()))
            elif self.buffer[13:15] == b"\x10\x40":
                group = 13 + 6 + 6  # after the header, the message and the head of the weights group
                name = int.from_bytes(self.buffer[group + 2 : group + 4], "big")
                member = group + name + 4
                weight = member + int.from_bytes(self.buffer[member + 2 : member + 4], "big") + 2
                weight_value = int.from_bytes(self.buffer[weight : weight + 2], "big")
                self.received.append((round(weight_value / 10) - 100, time.monotonic()))
            del self.buffer[:size]


async def run_reader(pipe, port, uids, members, baseline):
    """Opens its share of the connections; sends the parent the arrival times once all have read an order."""
    data = (
        tuple(MemberData.from_address(*at) for at in member_addresses(members).values())
        if not baseline
        else ()
    )
    received, loop = [], asyncio.get_running_loop()
    for uid in uids:
        group_name = GroupName(uid.encode(), GROUP_NAME)
        opening = (
            b""
            if baseline
            else codec.encode(SetLbState(1, uid.encode(), 9, True, False, False))
            + codec.encode(Register(2, True, ((group_name, data),)))
        )
        await loop.create_connection(
            lambda opening=opening: Reader(received, baseline, opening), "127.0.0.1", port
        )
    pipe.send("open")
    while (command := await loop.run_in_executor(None, pipe.recv)) != "end":
        deadline = time.monotonic() + 60
        while (
            sum(order_number == command for order_number, _ in received) < len(uids)
            and time.monotonic() < deadline
        ):
            await asyncio.sleep(0.002)
        pipe.send([at for order_number, at in received if order_number == command])
        received.clear()


async def run_poller(pipe, port, members, baseline, reply_size):
    """Polls on one connection for a second; sends the parent the number of answers."""
    count, stop = 0, time.monotonic() + 1.0

    async def poll_baseline(k):
        nonlocal count
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=4 << 20)
        group_name = GroupName(f"lb{k:04}".encode(), GROUP_NAME)
        request = codec.encode(GetWeights(9, (group_name,)))
        while time.monotonic() < stop:
            writer.write(request[:29])
            await reader.readexactly(reply_size)
            count += 1

    async def poll_fronts(k):
        nonlocal count
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=4 << 20)
        group_name = GroupName(f"lb{k:04}".encode(), GROUP_NAME)
        data = tuple(MemberData.from_address(*at) for at in member_addresses(members).values())
        writer.write(codec.encode(Register(2, True, ((group_name, data),))))
        await reader.readexactly(18)
        pipe.send("registered")
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
        request = codec.encode(GetWeights(9, (group_name,)))
        nonlocal stop
        stop = time.monotonic() + 1.0
        while time.monotonic() < stop:
            writer.write(request)
            head = await reader.readexactly(13)
            await reader.readexactly(int.from_bytes(head[5:9], "big") - 13)
            count += 1

    if baseline:
        await asyncio.gather(*(poll_baseline(k) for k in range(1)))
    else:
        await poll_fronts(0)
    pipe.send(count)


def run_async(target, *arguments):
    asyncio.run(target(*arguments))


def start_process(target, *arguments):
    parent_pipe, child_pipe = multiprocessing.Pipe()
    process = multiprocessing.get_context("fork").Process(
        target=target, args=(child_pipe, *arguments), daemon=True
    )
    process.start()
    return parent_pipe, process


def reader_process(pipe, *arguments):
    os.sched_setaffinity(0, set(sorted(os.sched_getaffinity(0))[1:]) or os.sched_getaffinity(0))
    run_async(run_reader, pipe, *arguments)


def poller_process(pipe, *arguments):
    os.sched_setaffinity(0, set(sorted(os.sched_getaffinity(0))[1:]) or os.sched_getaffinity(0))
    run_async(run_poller, pipe, *arguments)


def measure_pushes(clients, members, baseline, size=0):
    """Runs a server and its readers through ORDER_COUNT orders; returns the figures."""
    server, process = start_process(
        server_process, *(("bare", clients, size, 0) if baseline else ("fronts", clients, members))
    )
    port, uids = server.recv(), [f"lb{k:04}" for k in range(clients)]
    count = min(READER_PROCESSES, clients)
    readers = [start_process(reader_process, port, uids[k::count], members, baseline) for k in range(count)]
    for pipe, _ in readers:
        pipe.recv()
    memory = 0
    if not baseline:
        joined = 0
        while joined < clients:
            time.sleep(0.05)
            server.send("joined")
            joined = server.recv()
        server.send("bind")
        server.recv()
        for pipe, _ in readers:
            pipe.send(0)
        for pipe, _ in readers:
            pipe.recv()
    server.send("memory")
    memory = server.recv()
    latencies, last_latencies = DDSketch(QUANTILE_ACCURACY), DDSketch(QUANTILE_ACCURACY)
    for order_number in range(1, ORDER_COUNT + 1):
        server.send(order_number)
        sent_at = server.recv()
        for pipe, _ in readers:
            pipe.send(order_number)
        order_latencies = [received_at - sent_at for pipe, _ in readers for received_at in pipe.recv()]
        if len(order_latencies) < clients:
            raise SystemExit(
                f"{clients - len(order_latencies)} of {clients} readers never saw order {order_number}"
            )
        for latency in order_latencies:
            latencies.add(max(latency, 1e-6))
        last_latencies.add(max(order_latencies))
        time.sleep(0.05)
    server.send("used")
    cpu_seconds, lag, written = server.recv()
    server.send("end")
    for pipe, reader in readers:
        pipe.send("end")
        reader.join(5)
    process.join(5)
    return {
        "median": latencies.get_quantile_value(0.5),
        "p99": latencies.get_quantile_value(0.99),
        "last_median": last_latencies.get_quantile_value(0.5),
        "cpu": cpu_seconds / ORDER_COUNT,
        "memory_kb": memory / clients,
        "lag_p99": lag,
        "written": written,
    }


def measure_polls(members, baseline, reply_size):
    server, process = start_process(
        server_process, *(("bare", 1, 13, reply_size) if baseline else ("fronts", 1, members))
    )
    port = server.recv()
    pipe, poller = start_process(poller_process, port, members, baseline, reply_size)
    if not baseline:
        pipe.recv()
        server.send("bind")
        server.recv()
        pipe.send("go")
    count = pipe.recv()
    server.send("end")
    process.join(5)
    poller.join(5)
    return count


def measure_brain_step(clients, members, rounds=40):
    """Median times of the Brain's step after a batch of reports, alternately without and with followers."""
    parameters = gp.Parameters(
        routes=(gp.Route(1, 12_000),),
        list_mode="push",
        resubscribe_deadline=100_000,
        probes_allowed=False,
        warm_after=150_000,
        start_share=0.2,
        fall_multiple=3.0,
        dropped_counts_as_gone=True,
        report_period=10_000,
        channel_lines=1e6,
        queue_limit=1e7,
        message_overhead_lines=6.0,
        message_cap=0,
        message_cap_period=100_000,
        level_kind="none",
        failures_before_avoidance=3,
    )
    brains, times = [], ([], [])
    for followers in (0, clients):
        brain = Brain(parameters, 7)
        brain.handle(
            0,
            [
                gp.TaskListReceived(
                    "full",
                    tuple(gp.TaskLine(task, "z", 0, "ready", 1.0, 0) for task in member_addresses(members)),
                )
            ],
        )
        brain.handle(0, [gp.ProxyJoined(proxy, 1.0, True, "z") for proxy in range(150)])
        brain.handle(
            0,
            [gp.ProxyJoined(FIRST_FOLLOWER_PROXY_NUMBER + k, 1.0, True, "z", True) for k in range(followers)],
        )
        brains.append(brain)
    for round_number in range(1, rounds + 1):
        for brain, durations in zip(brains, times, strict=True):
            now = round_number * 20_000
            brain.handle(
                now - 9_000, [gp.OrdersApplied(proxy, brain.channel.mark, 100) for proxy in range(150)]
            )
            brain.handle(
                now,
                [
                    gp.TaskReport(task, "z", 20, 0, 1_000.0 + (k * round_number) % 900, 10_000, {})
                    for k, task in enumerate(member_addresses(members))
                ],
            )
            started_at = time.perf_counter()
            brain.handle(now + 1_500, [])
            durations.append(time.perf_counter() - started_at)
    return [sorted(durations)[len(durations) // 2] for durations in times]


async def send_noise(pipe, port, count, seconds):
    """Keeps `count` connections open at a time, which send different kinds of unreadable data."""
    deadline, connection_count = time.monotonic() + seconds, 0
    noise_kinds = [bytes.fromhex("2010000d0100100000000000ff"), b"\x20\x10", b"", os.urandom(300)]

    async def send_repeatedly(k):
        nonlocal connection_count
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                connection_count += 1
                for byte in noise_kinds[k % 4] if k % 8 else b"\x20\x10\x00\x0d\x01" * 4:
                    writer.write(bytes([byte])) if k % 8 == 0 else None
                if k % 8:
                    writer.write(noise_kinds[k % 4] * 4)
                await asyncio.wait_for(reader.read(), max(0.01, deadline - time.monotonic()))
                writer.transport.abort()
            except (OSError, TimeoutError):
                await asyncio.sleep(0.01)

    await asyncio.gather(*(send_repeatedly(k) for k in range(count)))
    pipe.send(connection_count)


def noise_process(pipe, *arguments):
    os.sched_setaffinity(0, set(sorted(os.sched_getaffinity(0))[1:]) or os.sched_getaffinity(0))
    run_async(send_noise, pipe, *arguments)


def measure_flood(connections=1_000, seconds=10):
    """Measures without and with a flood, next to one follower of 120 members with an order every 0.5 s."""
    server, process = start_process(server_process, "fronts", 1, 120)
    port = server.recv()
    reader, reader_handle = start_process(reader_process, port, ["lb0000"], 120, False)
    reader.recv()
    time.sleep(0.2)
    server.send("bind")
    server.recv()
    reader.send(0)
    reader.recv()
    rows = []
    for flooded in (False, True):
        server.send("memory")
        memory_before_kb = server.recv()
        server.send("sample")
        server.recv()
        noise_makers = (
            [start_process(noise_process, port, connections // 4, seconds) for _ in range(4)]
            if flooded
            else []
        )
        latencies = []
        for order_number in range(1, seconds * 2 - 1):
            server.send(order_number + 20 * flooded)
            sent_at = server.recv()
            reader.send(order_number + 20 * flooded)
            latencies += [received_at - sent_at for received_at in reader.recv()]
            time.sleep(0.4)
        server.send("used")
        _, lag, _ = server.recv()
        server.send("memory")
        memory_after_kb = server.recv()
        server.send("descriptors")
        rows.append(
            {
                "flooded": flooded,
                "lag_p99": lag,
                "told_worst": max(latencies),
                "told": len(latencies),
                "kb": memory_after_kb - memory_before_kb,
                "descriptors": server.recv(),
                "connections": sum(pipe.recv() for pipe, _ in noise_makers),
            }
        )
        for _, noise_maker in noise_makers:
            noise_maker.join(5)
    server.send("end")
    reader.send("end")
    process.join(5)
    reader_handle.join(5)
    return rows


@click.command()
@click.option(
    "--flood",
    "flooded",
    is_flag=True,
    help="Measure the front ends under a flood of unreadable data instead.",
)
@click.option("--clients", default="1,10,100,1000", help="Comma-separated numbers of clients.")
@click.option(
    "--members", default="30,120,1000", help="Comma-separated numbers of members in each client's group."
)
@click.option("--json", "path", help="Also write the figures to this file.")
def main(flooded, clients, members, path):
    """Measures the front ends of the weight advice and prints a table."""
    logging.getLogger("asyncio").setLevel(logging.ERROR)  # hides warnings about writes to closed connections
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    if flooded:
        for row in (rows := measure_flood()):
            print(
                f"{'flooded' if row['flooded'] else 'quiet':8} event loop delay, p99: "
                f"{row['lag_p99'] * 1e3:.2f} ms; the "
                f"follower updated {row['told']} times, worst latency {row['told_worst'] * 1e3:.1f} ms; "
                f"{row['connections']} connections; {row['kb']} KB more; {row['descriptors']} descriptors"
            )
        if path:
            with open(path, "w") as file:
                json.dump(rows, file, indent=1)
        return 0
    figures = []
    print(
        f"{'clients':>7} {'members':>7} | {'median ms':>9} {'p99 ms':>8} {'last ms':>8} | {'x bare':>6} "
        f"{'x bare cpu':>10} | {'cpu ms':>7} {'KB sent':>8} {'KB/client':>9} | {'step x':>6} "
        f"{'lag p99':>7}"
    )
    for size in map(int, members.split(",")):
        name = GroupName(b"lb0000", GROUP_NAME)
        entries = [(MemberData.from_address(*at), 0) for at in member_addresses(size).values()]
        entry_bytes = b"".join(
            codec.encode_weight_entry(codec.encode_member(member), 0, 0, weight, False)
            for member, weight in entries
        )
        data = codec.encode_send_weights(
            1,
            [
                codec.encode_group_component(
                    codec.ComponentType.WEIGHTS_OF_GROUP, name, size, entry_bytes, False
                )
            ],
            False,
        )
        for count in map(int, clients.split(",")):
            fronts, baseline = (
                measure_pushes(count, size, False),
                measure_pushes(count, size, True, len(data)),
            )
            without_followers, with_followers = measure_brain_step(count, size)
            row = {
                "clients": count,
                "members": size,
                "bytes": len(data),
                **fronts,
                "x_bare": fronts["last_median"] / baseline["last_median"],
                "x_bare_cpu": fronts["cpu"] / max(baseline["cpu"], 1e-6),
                "step_ratio": with_followers / without_followers,
            }
            figures.append(row)
            print(
                f"{count:7} {size:7} | {fronts['median'] * 1e3:9.2f} {fronts['p99'] * 1e3:8.2f} "
                f"{fronts['last_median'] * 1e3:8.2f} | {row['x_bare']:6.1f} {row['x_bare_cpu']:10.1f} | "
                f"{fronts['cpu'] * 1e3:7.2f} {len(data) * count / 1024:8.0f} {fronts['memory_kb']:9.0f} | "
                f"{row['step_ratio']:6.2f} {fronts['lag_p99'] * 1e3:6.2f}m",
                flush=True,
            )
        reply_size = 13 + 9 + len(data) - 13 - 6
        fronts, baseline = (
            measure_polls(size, False, reply_size),
            measure_polls(size, True, reply_size),
        )
        figures.append({"members": size, "polls_a_second": fronts, "bare_polls_a_second": baseline})
        print(
            f"  polls per second of {size} members, one client: {fronts}, bare {baseline}: "
            f"{fronts / baseline:.2f} x",
            flush=True,
        )
    if path:
        with open(path, "w") as file:
            json.dump(figures, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main(standalone_mode=False))
