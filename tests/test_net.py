"""The network stages on loopback, against scripted peers."""

import asyncio
import dataclasses
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from helper import ScriptedServer, assert_trace_matches, format_event, http_response, wait_until
from peers import accepted_response, chunk
from test_codecs import write_configuration

from garnetpaddle import interface as gp
from garnetpaddle.net import (
    event_stream,
    event_subscription,
    listener,
    message_codec,
    order_sender,
    prober,
    task_list_watch,
)
from garnetpaddle.net import http as client
from garnetpaddle.net.decision_loop import DecisionLoop
from garnetpaddle.net.event_stream import EventStreamParser
from garnetpaddle.net.event_subscription import EventSubscription
from garnetpaddle.net.order_codec import MarkTranslator
from garnetpaddle.net.order_sender import OrderSender

LONG_TIMEOUT, SHORT_TIMEOUT = 60.0, 0.01  # s: where a response is expected, and where none ever comes
pytestmark = pytest.mark.usefixtures("long_timeouts")
ORDER_A, ORDER_B, ORDER_C = (gp.SetWeight(1, name, 1.0) for name in ("s-a", "s-b", "s-c"))


@pytest.fixture
def long_timeouts(monkeypatch):
    """Long timeouts, so that none expires on a slow machine; tests of timeouts set their own."""
    for module, timeout in (
        (order_sender, "RESPONSE_TIMEOUT"),
        (order_sender, "CONNECT_TIMEOUT"),
        (order_sender, "MAX_IDLE"),
        (event_subscription, "SILENCE_TIMEOUT"),
        (event_subscription, "CONNECT_TIMEOUT"),
        (task_list_watch, "RESPONSE_TIMEOUT"),
        (task_list_watch, "CONNECT_TIMEOUT"),
    ):
        monkeypatch.setattr(module, timeout, LONG_TIMEOUT)


def rejection(code):
    return http_response(
        f"<Response><Errors><Error><Code>{code}</Code></Error></Errors></Response>", "400 Bad Request"
    )


TASK_ADDRESSES = task_list_watch.TaskAddresses()
LOOP_TURNS = 100  # of the event loop, in which a poll would open a connection
FIXED_TIME = 50_000  # of the clock in the tests of the task list: too early to move a start time

RELAY_RESPONSES = {
    "accepted": [accepted_response(2), accepted_response(1)],
    "byte_by_byte": [[bytes([b]) for b in accepted_response(2)[0]], accepted_response(1)],
    "partly_accepted": [accepted_response(2), accepted_response(2), accepted_response(1)],
    "rejected": [rejection("limit"), accepted_response(2)],
    "reset": ["break"],
    "invalid_xml": [http_response("<Response")],
    "invalid_http": [[b"whim\r\n\r\n"]],
    "silent_within_body": [[b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n<a/>"]],
    "silent": [None],
}


@pytest.mark.parametrize("name", RELAY_RESPONSES)
def test_order_sender_reports_how_far_each_batch_got(name, monkeypatch):
    script, published = RELAY_RESPONSES[name], []
    if "silent" in name:
        monkeypatch.setattr(order_sender, "RESPONSE_TIMEOUT", SHORT_TIMEOUT)

    async def scenario():
        # The last step answers the requests that try whether the relay answers again.
        async with ScriptedServer(*script, default_step=lambda request: accepted_response(1)) as relay:
            sender = OrderSender(relay.address, ["read"], MarkTranslator(0), published.append)
            sender.submit(
                [ORDER_A, ORDER_B]
                if name != "partly_accepted"
                else [ORDER_A, ORDER_B, gp.BindProxy(4, 1), gp.RequestAcknowledgement(3, False)]
            )
            sender.submit([ORDER_C])
            running = asyncio.create_task(sender.run())
            await wait_until(
                lambda: (
                    published
                    and relay.requests
                    or len(relay.requests) == (3 if name == "partly_accepted" else 2)
                )
            )
            running.cancel()
            return relay.requests

    requests = [request for request, _ in itertools.groupby(asyncio.run(scenario()))]
    assert_trace_matches(f"order_sender_{name}", [*requests[:3], *map(format_event, published)])


def test_orders_are_lost_without_doubt_if_the_connection_is_refused():
    published = []

    async def scenario():
        async with ScriptedServer() as relay:
            pass
        sender = OrderSender(relay.address, ["read"], MarkTranslator(0), published.append)
        sender.submit([ORDER_A])
        running = asyncio.create_task(sender.run())
        await wait_until(lambda: published)
        running.cancel()

    asyncio.run(scenario())
    assert published == [gp.OrdersLost((ORDER_A,), False)]


def task_list_response(generation, reset, **states):
    return http_response(
        json.dumps(
            {
                "generation": generation,
                "reset": reset,
                "instances": [
                    {
                        "instanceId": name,
                        "hostPort": f"127.0.0.1:{port}",
                        "lifecycle": state,
                        "startedAtMs": 12.5,
                    }
                    for port, (name, state) in enumerate(states.items(), 1)
                ],
            }
        )
    )


def follow_task_list(script, must_ask=False, count=2, asks=1, requests_after_script=0):
    """The requests to a discovery agent with this script, the events published, and the tasks' addresses.

    count: events to wait for; requests_after_script: further requests to wait for, which get no response."""
    published, addresses = [], task_list_watch.TaskAddresses()

    async def scenario():
        async with ScriptedServer(*script) as agent:
            watch = task_list_watch.TaskListWatch(
                agent.address, addresses, published.append, must_ask, clock=lambda: FIXED_TIME
            )
            running = asyncio.create_task(watch.run())
            for n in range(asks):
                watch.subscribe()
                await wait_until(lambda n=n: len(published) > n)
            expected = len(script) + requests_after_script
            await wait_until(lambda: len(published) >= count and len(agent.requests) >= expected)
            running.cancel()
            return agent.requests

    requests = asyncio.run(scenario())
    return [*requests[: len(script) + 1], *map(format_event, published), f"addresses {addresses.by_task}"]


def test_the_full_list_is_followed_by_its_changes():
    full = task_list_response(4, True, a="active", b="active")
    change = task_list_response(6, False, a="left", c="leaving")
    assert_trace_matches(
        "discovery",
        follow_task_list(
            [full, task_list_response(5, False), change, task_list_response(7, True, b="active")],
            count=3,
            requests_after_script=1,
        ),
    )


@pytest.mark.parametrize(
    "failure", ["break", http_response('{"generation":"'), http_response("", "500 Down"), None]
)
def test_a_failed_poll_is_retried(failure, monkeypatch):
    def with_timeout(seconds, step):
        """A step that sets the response timeout of the next poll."""
        return lambda: monkeypatch.setattr(task_list_watch, "RESPONSE_TIMEOUT", seconds) or step

    monkeypatch.setattr(task_list_watch, "LONG_POLL_MS", 1)
    first = with_timeout(LONG_TIMEOUT if failure else SHORT_TIMEOUT, task_list_response(4, True, a="active"))
    trace = follow_task_list(
        [first, with_timeout(LONG_TIMEOUT, failure), task_list_response(5, True, b="active")]
    )
    assert (
        trace[2].startswith("GET /discovery/hosts")
        and "TaskListReceived full" in trace[-2]
        and "b" in trace[-2]
    )


def test_on_demand_polls_begin_with_the_order_and_go_on_through_failures():
    """Each failure ended the subscription, and the next order came up to 5 s later."""
    script = [*["break"] * 8, task_list_response(4, False), "break", task_list_response(5, True, a="active")]
    trace = follow_task_list(script, must_ask=True, requests_after_script=1)
    assert_trace_matches("discovery_on_demand", trace)


def test_on_demand_nothing_is_polled_before_the_order():
    async def scenario():
        async with ScriptedServer(task_list_response(4, True)) as agent:
            watch = task_list_watch.TaskListWatch(agent.address, TASK_ADDRESSES, [].append, True)
            running = asyncio.create_task(watch.run())
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
            running.cancel()
            return watch.agent.connection, agent.requests

    assert asyncio.run(scenario()) == (None, [])


EVENT_STREAM_HEAD = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"]


def test_event_subscription_over_a_gap(monkeypatch):
    monkeypatch.setattr(event_subscription, "INITIAL_LIST_TIME", -1.0)
    first_stream = [
        chunk("event: attach\ndata: id=1&site=a&rps=2&new=1\n"),
        chunk("\nevent: attach\nda"),
        chunk("ta: id=2&site=a&rps=3&new=1\n\n:\n\nevent: done\ndata: id=2&seq=7&ms=1\n\n"),
    ]
    published, marks = [], MarkTranslator(0)
    marks.to_wire(7)

    async def scenario():
        second_stream = [
            chunk("event: attach\ndata: id=2&site=a&rps=3&new=0\n\n:\n\n"),
            chunk("event: done\ndata: id=2&seq=9\n\n"),
        ]
        script = [
            "break",
            http_response("", "503 Away"),
            [*EVENT_STREAM_HEAD, *first_stream, b"0\r\n\r\n"],
            [*EVENT_STREAM_HEAD, *second_stream],
        ]
        async with ScriptedServer(*script) as relay:
            running = asyncio.create_task(EventSubscription(relay.address, marks, published.append).run())
            await wait_until(lambda: len(published) == 6)
            running.cancel()

    asyncio.run(scenario())
    assert_trace_matches("event_stream_gap", list(map(format_event, published)))


def test_an_event_above_the_size_limit_is_too_long(monkeypatch):
    monkeypatch.setattr(event_stream, "MAX_EVENT_BYTES", 100)
    parser = EventStreamParser()
    assert list(parser.feed(b"data: id=1&site=a\n" * 3)) == [] and not parser.too_long()
    assert list(parser.feed(b"data: id=1&site=a\n" * 9)) == [] and parser.too_long()


def test_a_silent_event_stream_is_reopened(monkeypatch):
    monkeypatch.setattr(event_subscription, "SILENCE_TIMEOUT", SHORT_TIMEOUT)

    async def scenario():
        async with ScriptedServer(EVENT_STREAM_HEAD, EVENT_STREAM_HEAD) as relay:
            running = asyncio.create_task(EventSubscription(relay.address, MarkTranslator(0), print).run())
            await wait_until(lambda: len(relay.requests) >= 2)
            running.cancel()

    asyncio.run(scenario())


LOAD_RESPONSE = http_response("TEXT inflight=7, queue=2, util=0.61")
PROBE_RESPONSES = {
    "ok": LOAD_RESPONSE,
    "error": http_response("", "503 No"),
    "reset": "break",
    "other": [b"whim\r\n\r\n"],
    "timeout": None,
}


@pytest.mark.parametrize("outcome", PROBE_RESPONSES)
def test_each_probe_publishes_its_outcome_once(outcome):
    step, published, addresses = PROBE_RESPONSES[outcome], [], task_list_watch.TaskAddresses()
    timeout = SHORT_TIMEOUT if outcome == "timeout" else LONG_TIMEOUT

    def publish(event):  # the server's end breaks the idle connection: that is another test's matter
        published.extend([event] * isinstance(event, gp.ProbeFinished))

    async def scenario():
        async with ScriptedServer(LOAD_RESPONSE, step, step) as task:
            addresses.by_task["s-a"] = task.address
            probes = prober.Prober(addresses, publish, True, 8)
            for count, seconds in ((1, LONG_TIMEOUT), (2, timeout)):  # the second reuses the connection
                probes.start(gp.SendProbe("s-a", int(seconds * 10_000)))
                await wait_until(lambda count=count: len(published) == count)
        probes.start(gp.SendProbe("s-gone", 100))
        probes.start(gp.SendProbe("s-a", 600_000))
        await wait_until(lambda: len(published) == 4)
        return task.requests

    requests = asyncio.run(scenario())
    assert [event.outcome for event in published] == ["ok", outcome, "unreachable", "refused"]
    assert published[0].load == {"in_hand": 7.0, "queued": 2.0, "busy": 0.61}
    assert set(requests) == {"GET /metrics/load HTTP/1.1"}


def test_the_end_of_an_idle_connection_is_told_and_the_next_probe_is_refused():
    """A task's death was found by its next probe, up to a second later, while its lines stood."""
    published, addresses = [], task_list_watch.TaskAddresses()

    async def scenario():
        probes = prober.Prober(addresses, published.append, True, 8)
        async with ScriptedServer(LOAD_RESPONSE, LOAD_RESPONSE) as task:
            addresses.by_task["s-a"] = task.address
            for count in (1, 2):
                probes.start(gp.SendProbe("s-a", 600_000))
                await wait_until(lambda count=count: len(published) == count)
            connections = len(task.writers)
        await wait_until(lambda: len(published) == 3)
        probes.start(gp.SendProbe("s-a", 600_000))
        await wait_until(lambda: len(published) == 4)
        return connections

    assert asyncio.run(scenario()) == 1  # the watched connection served the second probe
    assert published[2] == gp.TaskConnectionLost("s-a")
    assert [event.outcome for event in published if event != published[2]] == ["ok", "ok", "refused"]


def test_a_connection_that_times_out_is_not_refused(monkeypatch):
    """A task that this assigner cannot reach may well answer the proxies."""

    async def never(*_, **__):
        await asyncio.Event().wait()

    monkeypatch.setattr(asyncio, "open_connection", never)
    not_sent = asyncio.run(client.connect(("127.0.0.1", 1), SHORT_TIMEOUT))
    assert prober.connect_outcome(not_sent) == "unreachable"


STATS = b"upstream_stats site=a target=s-a count=2 fail=0 mean=5 over=1000\r\n"
KNOWN = message_codec.KnownNames({"read": 0}, ("a", "b"), 9)


class ListenerServer:
    """A Listener with this capacity, and connections to it."""

    def __init__(self, publish, capacity=6):
        self.listener, self.client_streams = listener.Listener(publish, KNOWN, capacity), []

    async def __aenter__(self):
        self.server = await self.listener.open(("127.0.0.1", 0))
        self.address = self.server.sockets[0].getsockname()[:2]
        self.sweep_task = asyncio.create_task(self.listener.run())
        return self

    async def __aexit__(self, *_):
        self.sweep_task.cancel()
        self.server.close()
        for _, writer in self.client_streams:
            writer.transport.abort()

    async def join(self, data=b""):
        streams = await asyncio.open_connection(*self.address)
        self.client_streams.append(streams)
        streams[1].write(data)
        return streams


def test_a_peer_that_sends_an_endless_line_takes_little_memory():
    """asyncio took 256 KiB at a time from each of hundreds of peers, whatever their lines may hold."""
    most_read = []

    async def scenario():
        async with ListenerServer([].append) as server:
            splitter = listener.LineSplitter.split

            def split(lines, chunk):
                most_read.append(len(chunk) + sum(len(p.lines.rest) for p in server.listener.peers.values()))
                return splitter(lines, chunk)

            listener.LineSplitter.split = split
            try:
                reader, writer = await server.join(b"x" * (1 << 20))
                await read_to_end(reader)
                sizes = {peer.writer.transport.max_size for peer in server.listener.peers.values()}
            finally:
                listener.LineSplitter.split = splitter
            reader, writer = await server.join()
            await wait_until(lambda: server.listener.peers)
            await asyncio.sleep(0)
            sizes |= {peer.writer.transport.max_size for peer in server.listener.peers.values()}
            return sizes

    assert asyncio.run(scenario()) == {16 << 10}
    assert max(most_read) <= 16 << 10


async def read_to_end(reader):
    """What is received until the connection ends, also by a reset."""
    received = b""
    try:
        while chunk := await reader.read(100):
            received += chunk
    except ConnectionError:
        pass
    return received


def test_heartbeats_and_collectors_among_unknown_peers(monkeypatch):
    for timeout in ("JOIN_TIMEOUT", "HEARTBEAT_TIMEOUT", "LINE_TIMEOUT"):
        monkeypatch.setattr(listener, timeout, LONG_TIMEOUT)
    published = []

    async def scenario():
        async with ListenerServer(published.append) as server:
            first, second = await server.join(b"h"), await server.join()
            first[1].write(b"b\r\ntelemetry site=a\r\nwhim\r\nhb\r\n" + STATS[:9])
            assert await first[0].readexactly(14) == b"hb_ok\r\nhb_ok\r\n"
            first[1].write(STATS[9:])
            await wait_until(lambda: len(published) == 1)
            # A second collector replaces the first only once it reports. It may send long lines before that.
            second[1].write(b"telemetry site=a\r\ndetach id=1\r\n" + b"x" * 50_000)
            first[1].write(STATS)
            await wait_until(lambda: len(published) == 2 and server.listener.candidates)
            third = await server.join(b"telemetry site=a\r\n")
            assert await second[0].read() == b""  # only one candidate per zone
            third[1].write(STATS)
            await wait_until(lambda: len(published) == 3)
            assert await first[0].read() == b""  # a collector that reconnects replaces its old connection
            for _ in range(20):
                await server.join()
            last = await server.join(b"hb\r\n")
            assert await last[0].readexactly(7) == b"hb_ok\r\n"
            third[1].write(STATS)
            await wait_until(lambda: len(published) == 4)
            assert len(server.listener.peers) == 6

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\x00\xff\x17\r\n",
        b"x" * 5_000,
        STATS,
        b"\r\n",
        b"hb\r\nwhim\r\n",
        b"attach id=1 site=a rps=1 new=1\r\n",
        b"done id=1 seq=2\r\n",
        b"put,4,s-a,1.5\r\n",
        b"telemetry site=nowhere\r\n",
        b"telemetry\r\n",
    ],
)
def test_a_peer_with_an_unexpected_message_is_rejected_at_once(data, monkeypatch):
    for timeout in ("JOIN_TIMEOUT", "HEARTBEAT_TIMEOUT"):
        monkeypatch.setattr(listener, timeout, LONG_TIMEOUT)
    published = []

    async def scenario():
        async with ListenerServer(published.append) as server:
            return await read_to_end((await server.join(data))[0])

    response = asyncio.run(scenario())
    assert response in (b"reject\r\n", b"hb_ok\r\nreject\r\n", b"") and not published


@pytest.mark.parametrize(
    ("timeout", "data"),
    [
        ("JOIN_TIMEOUT", b""),
        ("JOIN_TIMEOUT", b"telemetry sit"),
        ("HEARTBEAT_TIMEOUT", b"hb\r\n"),
        ("LINE_TIMEOUT", b"telemetry site=a\r\n" + STATS + STATS[:9]),
    ],
)
def test_a_peer_that_is_silent_or_stuck_within_a_message_is_closed(timeout, data, monkeypatch):
    for name in ("JOIN_TIMEOUT", "HEARTBEAT_TIMEOUT", "LINE_TIMEOUT"):
        monkeypatch.setattr(listener, name, SHORT_TIMEOUT if name == timeout else LONG_TIMEOUT)
    monkeypatch.setattr(listener, "SWEEP_PERIOD", SHORT_TIMEOUT)

    async def scenario():
        async with ListenerServer([].append) as server:
            return await read_to_end((await server.join(data))[0])

    responses = {"HEARTBEAT_TIMEOUT": b"hb_ok\r\nreject\r\n", "LINE_TIMEOUT": b""}
    assert asyncio.run(scenario()) == responses.get(timeout, b"reject\r\n")


def test_a_collector_is_closed_for_a_corrupt_stream_but_not_for_single_invalid_lines():
    published, lines = [], STATS.replace(b"fail=0", b"fail=3") * 9 + b"\xfe\xff \r\nwhim\r\n" + STATS

    async def scenario():
        async with ListenerServer(published.append) as server:
            reader, writer = await server.join(b"telemetry site=a\r\n" + lines * 2)
            await wait_until(lambda: len(published) == 2)
            writer.write(b"\x17\x03\r\n" * 3 + STATS)
            assert await read_to_end(reader) == b""

    asyncio.run(scenario())
    assert len(published) == 2


LISTENER_PROGRAM = """
import asyncio, os, resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, (48, 4096))
from garnetpaddle.net import listener, message_codec
async def main():
    tested = listener.Listener(print, message_codec.KnownNames({}), 24)
    server = await tested.open(("127.0.0.1", 0))
    asyncio.get_running_loop().set_exception_handler(lambda *_: os._exit(1))
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.to_thread(sys.stdin.read)
    print(len(tested.peers) <= 24)
asyncio.run(main())
"""


def test_a_burst_of_connections_does_not_exhaust_the_descriptors():
    """48 descriptors, a capacity of 24, and 200 peers that connect at once."""
    process = subprocess.Popen(
        [sys.executable, "-c", LISTENER_PROGRAM], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    address = "127.0.0.1", int(process.stdout.readline())
    process.send_signal(signal.SIGSTOP)  # all connections are pending when it continues
    clients = [socket.create_connection(address) for _ in range(200)]
    process.send_signal(signal.SIGCONT)
    clients[-1].sendall(b"hb\r\n")
    assert clients[-1].recv(7) == b"hb_ok\r\n"
    for client_socket in clients:
        client_socket.close()
    assert process.communicate("")[0].endswith("True\n") and process.returncode == 0


def test_an_exception_closes_only_its_own_connection():
    published = []

    def publish(event):
        published.append(event)
        if len(published) == 1:
            raise KeyError("publish failure")

    async def scenario():
        async with ListenerServer(publish) as server:
            reader, _ = await server.join(b"telemetry site=a\r\n" + STATS)
            assert await read_to_end(reader) == b""
            await server.join(b"telemetry site=b\r\n" + STATS)
            await wait_until(lambda: len(published) == 2)

    asyncio.run(scenario())


@dataclasses.dataclass
class RecordingBrain:
    """A brain that records its batches and returns the given orders."""

    orders: list
    batches: list = dataclasses.field(default_factory=list)

    def handle(self, now, events):
        self.batches.append(f"{now} " + ", ".join(map(format_event, events)))
        return self.orders.pop(0) if self.orders else []


def test_decision_loop_batches_events_and_fires_timers():
    now, dispatched = [100], []
    brain = RecordingBrain(
        [
            [gp.SetTimer(100, "now"), ORDER_A, gp.SendProbe("s-a", 5), ORDER_B],
            [gp.SubscribeTaskList(), gp.SetTimer(250, "late")],
        ]
    )

    class Handlers:
        submit, probe = dispatched.append, dispatched.append

        @staticmethod
        def watch():
            dispatched.append("watch")

    decision_loop = DecisionLoop(brain, lambda: now[0], Handlers)
    decision_loop.publish(gp.ProxyLeft(1))
    decision_loop.publish(gp.ProxyLeft(2))
    for now[0] in (100, 101, 249, 300):
        decision_loop.run_batch()
    assert dispatched == [gp.SendProbe("s-a", 5), [ORDER_A, ORDER_B], "watch"]
    assert_trace_matches("decision_loop", brain.batches)


def test_a_pause_of_the_process_itself_is_not_a_timeout_of_the_peer():
    async def scenario():
        local, remote = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=local)

        def stall():  # the timeout has expired when the loop continues, but the bytes have arrived
            remote.send(b"answer")
            time.sleep(5 * SHORT_TIMEOUT)

        asyncio.get_running_loop().call_soon(stall)
        try:
            return await client.with_timeout(SHORT_TIMEOUT, reader.readexactly(6))
        finally:
            writer.close()
            remote.close()

    assert asyncio.run(scenario()) == b"answer"


FAILING_BRAIN_PROGRAM = """
import sys
from garnetpaddle.net import configuration, serve
class Brain:
    def __init__(self, parameters, seed): pass
    def handle(self, now, events): raise KeyError("brain failure")
serve.Brain = Brain
sys.exit(serve.main(configuration.read(sys.argv[1], {}), sys.argv[1]))
"""


def test_an_exception_in_the_brain_ends_the_process_with_an_error(tmp_path):
    completed = subprocess.run(
        [sys.executable, "-c", FAILING_BRAIN_PROGRAM, write_configuration(tmp_path)],
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 1
    assert "event=brain_failed" in completed.stdout and "brain failure" in completed.stdout


def test_sigterm_ends_the_process(tmp_path):
    path = write_configuration(tmp_path)

    async def scenario():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnetpaddle",
            "serve",
            env=os.environ | {"ROUTER_CONFIG": path},
            stdout=asyncio.subprocess.PIPE,
        )
        while b"event=serving" not in await process.stdout.readline():
            pass
        process.send_signal(signal.SIGTERM)
        return await process.wait()

    assert asyncio.run(scenario()) == 0


def make_relay(*proxies):
    """A relay that accepts every request and lists these proxies as joined."""
    joined = [chunk(f"event: attach\ndata: id={p}&site=a&rps=2&new=1\n\n") for p in proxies]
    keep_alives = itertools.cycle([0.1, chunk(":\n\n")])
    return ScriptedServer(
        default_step=lambda request: (
            itertools.chain(EVENT_STREAM_HEAD, joined, keep_alives)
            if "events" in request
            else accepted_response(request.count(";") + 1)
        )
    )


def make_agent(generation):
    return ScriptedServer(
        task_list_response(generation, True, a="active"),
        default_step=lambda request: [0.1, *task_list_response(generation, False)],
    )


def test_a_reload_moves_to_the_new_addresses_without_repeated_events(tmp_path):
    async def scenario():
        async with (
            make_agent(42) as agent,
            make_agent(43) as agent_2,
            make_relay(4) as relay,
            make_relay(4, 5) as relay_2,
        ):

            def write(agent, relay, *changes):
                addresses = [f"{host}:{port}" for host, port in (agent.address, relay.address)]
                return write_configuration(
                    tmp_path, ("discovery", addresses[0]), ("store/address", addresses[1]), *changes
                ), addresses[0]

            path, variable = write(agent, relay)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "garnetpaddle",
                "serve",
                "--trace",
                stdout=asyncio.subprocess.PIPE,
                env=os.environ | {"ROUTER_CONFIG": path, "ROUTER_DISCOVERY": variable},
            )
            output = []

            async def wait_for_log(expected):
                while not output or expected not in output[-1]:
                    output.append((await process.stdout.readline()).decode())
                    assert output[-1], f"the process ended before it printed {expected}"

            await wait_for_log("ProxyJoined(proxy=4")
            await wait_until(lambda: len(agent.requests) > 1)
            for text, expected in (
                ("{", "reload_refused"),
                ("{}", "missing required"),
                (None, "moved=nothing"),
            ):
                (tmp_path / "given.json").write_text(text) if text else write(agent, relay)
                process.send_signal(signal.SIGHUP)
                await wait_for_log(expected)
            write(agent_2, relay_2, ("listen", "127.0.0.1:1"))
            for _ in range(3):
                process.send_signal(signal.SIGHUP)
            await wait_for_log("fields=listen")
            await wait_for_log("ProxyJoined(proxy=5")
            await wait_until(lambda: len(agent_2.requests) > 1)
            for writer in (*agent.writers, *relay.writers):
                writer.transport.abort()
            await wait_for_log("ProbeAnswered")
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            await wait_for_log("event=stopped")
            assert agent_2.requests[0] == "GET /discovery/hosts HTTP/1.1"
            assert sum("ProxyJoined" in line for line in output) == 2
            assert not any(word in line for line in output for word in ("InDoubt", "ProxyLeft", "lost"))
            return await process.wait()

    assert asyncio.run(scenario()) == 0


def test_requests_move_to_the_new_address_in_sequence_and_once():
    published = []

    async def scenario():
        async with ScriptedServer(accepted_response(1)) as old, ScriptedServer(accepted_response(1)) as new:
            sender = OrderSender(old.address, ["read"], MarkTranslator(0), published.append)
            running = asyncio.create_task(sender.run())
            sender.submit([ORDER_A])
            await wait_until(lambda: old.requests)
            sender.move(new.address)
            await wait_until(lambda: sender.next_connection)
            sender.submit([ORDER_B])
            await wait_until(lambda: new.requests)
            running.cancel()
            return [*old.requests, "--", *new.requests]

    requests = [line.rpartition("changes=")[2] for line in asyncio.run(scenario())]
    assert requests == ["put,1,s-a,1.0", "--", "put,1,s-b,1.0"]
    assert published == []
