"""Race conditions between events, reproduced over loopback with peers that control the order of events."""

import asyncio
import contextlib
import errno
import json
import os
import re
import signal
import socket
import subprocess
import sys

import pytest
from helper import ScriptedServer, http_response, wait_until
from peers import (
    CLEAN_EXIT,
    AssignerProgram,
    accepted_response,
    chunk,
    delayed_response,
    host_port,
    socket_host_port,
)
from test_codecs import CONFIGURATION, write_configuration
from test_net import (  # noqa: F401
    EVENT_STREAM_HEAD,
    ORDER_A,
    ORDER_B,
    long_timeouts,
    make_agent,
    make_relay,
    task_list_response,
)

from garnetpaddle import interface as gp
from garnetpaddle.net import event_subscription, listener, order_codec, prober, task_list_watch
from garnetpaddle.net import http as client
from garnetpaddle.net.event_subscription import EventSubscription
from garnetpaddle.net.order_codec import MarkTranslator
from garnetpaddle.net.order_sender import OrderSender

pytestmark = pytest.mark.usefixtures("long_timeouts")


def fifo(tmp_path):
    """A configuration file as a FIFO, which blocks the start until a test writes the content."""
    path = tmp_path / "config.fifo"
    os.mkfifo(path)
    return path


async def open_for_writing(path):
    """Waits until the program has opened the FIFO for reading; returns a descriptor for writing."""
    descriptors = []

    def try_open():
        with contextlib.suppress(OSError):
            descriptors.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
        return descriptors

    await wait_until(try_open)
    return descriptors[0]


# --- start, stop, reload


@pytest.mark.parametrize("signals", [[signal.SIGTERM], [signal.SIGHUP, signal.SIGTERM, signal.SIGTERM]])
def test_sigterm_before_the_event_loop_runs_exits_cleanly(signals, tmp_path):
    path = fifo(tmp_path)

    async def scenario():
        async with AssignerProgram(path) as program:
            # Returns once the signal handlers are installed and the configuration is being read.
            await open_for_writing(path)
            program.signal(*signals)
            return await program.end()

    assert asyncio.run(scenario()) == CLEAN_EXIT


def test_sighup_during_start_up_is_deferred_until_after_it(tmp_path):
    path = fifo(tmp_path)

    async def scenario():
        async with AssignerProgram(path) as program:
            for signals in ([signal.SIGHUP], []):
                descriptor = await open_for_writing(path)
                program.signal(*signals)
                os.write(descriptor, json.dumps(CONFIGURATION).encode())
                os.close(descriptor)
                await program.wait_for_log("event=serving" if signals else "event=reloaded")
            program.signal(signal.SIGTERM)
            return await program.end()

    assert asyncio.run(scenario()) == CLEAN_EXIT


def test_second_sigterm_is_ignored(tmp_path):
    async def scenario():
        async with AssignerProgram(write_configuration(tmp_path)) as program:
            await program.wait_for_log("event=serving")
            program.signal(signal.SIGTERM)
            await program.wait_for_log("event=stopped")
            with contextlib.suppress(ProcessLookupError):
                program.signal(signal.SIGTERM, signal.SIGHUP)
            return await program.end()

    assert asyncio.run(scenario()) == CLEAN_EXIT


def test_no_further_call_is_sent_after_sigterm_during_a_call(tmp_path):
    """The call is sent completely but not answered, so the relay may or may not have applied it."""

    async def scenario():
        async with make_agent(42) as agent, make_relay(4, 5) as relay:
            relay.default_step, requests = without_call_answers(relay.default_step), relay.requests
            path = write_configuration(
                tmp_path, ("discovery", host_port(agent)), ("store/address", host_port(relay))
            )
            async with AssignerProgram(path) as program:
                await wait_until(lambda: any("POST" in request for request in requests))
                program.signal(signal.SIGTERM)
                result = await program.end()
            return result, [request for request in requests if "POST" in request]

    result, calls = asyncio.run(scenario())
    assert result == CLEAN_EXIT and len(calls) == 1


def without_call_answers(answer):
    return lambda request: None if "POST" in request else answer(request)


@pytest.mark.parametrize("is_released", [True, False])
def test_start_waits_for_an_address_still_in_use(is_released, tmp_path):
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as occupied_socket:
            async with AssignerProgram(
                write_configuration(tmp_path, ("listen", socket_host_port(occupied_socket)))
            ) as program:
                await program.wait_for_log("event=listen_waits")
                if is_released:
                    occupied_socket.close()
                    await program.wait_for_log("event=serving")
                program.signal(signal.SIGTERM)
                return await program.end()

    assert asyncio.run(scenario()) == CLEAN_EXIT


def test_start_fails_if_the_address_stays_in_use(tmp_path, monkeypatch):
    monkeypatch.setattr(listener, "BIND_TIMEOUT", 0.0)

    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as occupied_socket:
            with pytest.raises(OSError) as error:
                await listener.Listener(print, None, 4).open(occupied_socket.getsockname()[:2])
            return error.value.errno

    assert asyncio.run(scenario()) == errno.EADDRINUSE


def test_closed_log_pipe_does_not_stop_the_program(tmp_path):
    """Heartbeats are still answered after the reader of the log has closed the pipe."""

    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as free_socket:
            address = socket_host_port(free_socket)
        read_end, write_end = os.pipe()
        async with AssignerProgram(
            write_configuration(tmp_path, ("listen", address)), stdout=write_end
        ) as program:
            os.close(write_end)
            output = b""
            while b"event=serving" not in output:
                output += await asyncio.to_thread(os.read, read_end, 1_000)
            os.close(read_end)
            for message in (b"whim\r\n", b"hb\r\n"):  # the first is rejected, which is logged
                streams = await asyncio.open_connection(*address.split(":"))
                streams[1].write(message)
                answer = await streams[0].readline()
                streams[1].close()
            program.signal(signal.SIGTERM)
            return answer, await program.end()

    assert asyncio.run(scenario()) == (b"hb_ok\r\n", CLEAN_EXIT)


# --- discovery


def new_watch(agent, events, generation=0, must_ask=False):
    return task_list_watch.TaskListWatch(
        agent.address, task_list_watch.TaskAddresses(), events.append, must_ask, generation
    )


def test_answer_received_while_another_agent_takes_over_is_applied():
    """The old agent answers its watch in the same turn of the loop in which the new agent's list arrives."""
    events = []

    async def scenario():
        delayed_answer, gate = delayed_response(task_list_response(51, False, a="leaving"))
        async with (
            ScriptedServer(task_list_response(50, True, a="active"), delayed_answer) as old_peer,
            ScriptedServer(task_list_response(50, True, a="active"), default_step=lambda _: None) as new_peer,
        ):
            watch = new_watch(old_peer, events)
            running = asyncio.create_task(watch.run())
            await wait_until(lambda: len(old_peer.requests) == 2)
            watch.move(new_peer.address)
            await wait_until(lambda: watch.agent.address == new_peer.address)
            gate.set()
            await wait_until(lambda: len(events) == 3)
            running.cancel()
            await asyncio.sleep(0)
            return not watch.last_polls

    asyncio.run(scenario())
    assert [(event.update_type, event.lines[0].state) for event in events] == [
        ("full", "ready"),
        ("full", "ready"),
        ("changes", "draining"),
    ]


def test_older_list_is_ignored():
    """An agent may answer with an older list after its own restart, until it has caught up."""
    events = []

    async def scenario():
        script = [
            task_list_response(50, True, a="leaving"),
            task_list_response(48, True, a="active", b="active"),
            task_list_response(51, False, a="leaving", b="left"),
        ]
        async with ScriptedServer(*script, default_step=lambda _: None) as agent:
            running = asyncio.create_task(new_watch(agent, events, generation=41).run())
            await wait_until(lambda: len(agent.requests) == 4)
            running.cancel()
            return agent.requests

    requests = asyncio.run(scenario())
    assert [re.findall(r"since=(\d+)", request) for request in requests] == [[], ["50"], ["48"], ["51"]]
    assert_drain_and_removal(events)


def assert_drain_and_removal(events):
    assert [[(line.task, line.state) for line in event.lines] for event in events] == [
        [("a", "draining")],
        [("a", "draining"), ("b", "gone")],
    ]


def test_lagging_agent_takes_over_only_after_catching_up():
    events = []

    async def scenario():
        delayed_answer, gate = delayed_response(task_list_response(50, False, a="leaving", b="left"))
        older = (
            task_list_response(48, True, a="active", b="active"),
            task_list_response(49, False, b="leaving"),
        )
        async with (
            ScriptedServer(
                task_list_response(50, True, a="leaving"), default_step=lambda _: None
            ) as old_peer,
            ScriptedServer(*older, delayed_answer, default_step=lambda _: None) as new_peer,
        ):
            watch = new_watch(old_peer, events, generation=41)
            running = asyncio.create_task(watch.run())
            await wait_until(lambda: len(old_peer.requests) == 2)
            watch.move(new_peer.address)
            await wait_until(lambda: len(new_peer.requests) == 3)
            assert watch.agent.address == old_peer.address
            gate.set()
            await wait_until(lambda: watch.agent.address == new_peer.address and len(events) == 2)
            running.cancel()

    asyncio.run(scenario())
    assert_drain_and_removal(events)


def test_reset_generation_is_accepted_after_max_stale_time(monkeypatch):
    """Lists that stay older for MAX_STALE_TIME are accepted as new, starting with a full list."""
    events, now = [], [0.0]

    async def scenario():
        script = [
            task_list_response(50, True, a="active"),
            task_list_response(3, False),
            task_list_response(4, False, b="active"),
            task_list_response(4, True, b="active"),
        ]
        async with ScriptedServer(*script, default_step=lambda _: None) as agent:
            watch = new_watch(agent, events)
            watch.generation_check.clock = lambda: now[0]
            running = asyncio.create_task(watch.run())
            agent.script[2] = lambda: now.__setitem__(0, task_list_watch.MAX_STALE_TIME) or script[2]
            await wait_until(lambda: len(events) == 2)
            running.cancel()
            return agent.requests

    requests = asyncio.run(scenario())
    assert [event.update_type for event in events] == ["full", "full"] and events[1].lines[0].task == "b"
    assert "since" not in requests[3]


@pytest.mark.parametrize("fault", ["refused", "break", "unexpected"])
def test_failed_discovery_move_is_retried(fault, monkeypatch):
    events, original_poll, failed = [], task_list_watch.Agent.poll, []

    async def scenario():
        async with ScriptedServer(
            task_list_response(50, True, a="active"), default_step=lambda _: None
        ) as old_peer:
            new_peer = ScriptedServer(
                "break", task_list_response(50, True, a="active"), default_step=lambda _: None
            )
            async with new_peer:
                pass
            watch = new_watch(old_peer, events)
            running = asyncio.create_task(watch.run())
            await wait_until(lambda: len(old_peer.requests) == 2)

            async def poll_or_fail(agent):
                if agent.address == new_peer.address and not failed:
                    failed.append(True)
                    if fault == "unexpected":
                        raise KeyError("unexpected")
                return await original_poll(agent)

            monkeypatch.setattr(task_list_watch.Agent, "poll", poll_or_fail)
            watch.move(new_peer.address)
            await wait_until(lambda: failed)
            assert watch.agent.address == old_peer.address  # the old agent stays in use meanwhile
            new_peer.script = new_peer.script[fault != "break" :]
            new_peer.server = await asyncio.start_server(new_peer.serve, *new_peer.address)
            await wait_until(lambda: watch.agent.address == new_peer.address and len(events) == 2)
            running.cancel()
            new_peer.server.close()

    asyncio.run(scenario())


def test_move_and_move_back_before_the_new_agent_answers():
    """Discovery moves from A to B and back to A; B's late answer is ignored."""
    events = []

    async def scenario():
        full_list, (delayed_answer, gate) = (
            task_list_response(50, True, a="active"),
            delayed_response(task_list_response(60, True, z="active")),
        )
        async with (
            ScriptedServer(
                default_step=lambda request: None if "since" in request else full_list
            ) as old_peer,
            ScriptedServer(delayed_answer) as new_peer,
        ):
            watch = new_watch(old_peer, events)
            running = asyncio.create_task(watch.run())
            await wait_until(lambda: len(old_peer.requests) == 2)
            watch.move(new_peer.address)
            await wait_until(lambda: new_peer.requests)
            watch.move(old_peer.address)
            gate.set()
            await wait_until(lambda: len(events) == 2)
            running.cancel()
            return watch.agent.address == old_peer.address

    assert asyncio.run(scenario())
    assert [event.lines[0].task for event in events] == ["a", "a"]


@pytest.mark.parametrize(
    ("answer", "is_applied"),
    [
        (
            [*task_list_response(51, False, a="leaving"), "end"],
            True,
        ),  # complete answer and end of stream in one read
        ([task_list_response(51, False, a="leaving")[0][:-9], "end"], False),  # truncated within the body
        (
            [task_list_response(51, False, a="leaving")[0][:40], "break"],
            False,
        ),  # connection reset within the headers
    ],
)
def test_answer_is_applied_only_if_complete(answer, is_applied):
    events = []

    async def partial_answer(writer):
        writer.write(answer[0])
        await writer.drain()
        writer.transport.abort() if answer[1] == "break" else writer.close()

    async def scenario():
        async with ScriptedServer(
            task_list_response(50, True, a="active"),
            partial_answer,
            task_list_response(52, False),
            default_step=lambda _: None,
        ) as agent:
            running = asyncio.create_task(new_watch(agent, events).run())
            await wait_until(lambda: len(agent.requests) == 4)
            running.cancel()
            return agent.requests[2]

    next_request = asyncio.run(scenario())
    assert [event.lines[0].state for event in events] == ["ready"] + ["draining"] * is_applied
    assert f"since={51 if is_applied else 50}&" in next_request


# --- event stream and calls of the relay


def attach_event(proxy, new=1):
    return chunk(f"event: attach\ndata: id={proxy}&site=a&rps=2&new={new}\n\n")


KEEPALIVE, PROXY_4_LEFT = chunk(":\n\n"), chunk("event: detach\ndata: id=4\n\n")


class ScriptedStream:
    """An event stream whose events are written by the test."""

    def __init__(self):
        self.writers, self.ended = [], 0

    async def __call__(self, writer):
        writer.write(EVENT_STREAM_HEAD[0])
        self.writers.append(writer)
        await writer.wait_closed()

    def write_events(self, *pieces):
        self.writers[-1].write(b"".join(pieces))


async def start_subscription(events, stream, relay, *initial_events):
    """A subscription to a stream that has received these events, and its running task."""
    subscription = EventSubscription(relay.address, MarkTranslator(0), events.append)
    running = asyncio.create_task(subscription.run())
    await wait_until(lambda: stream.writers)
    stream.write_events(*initial_events)
    await wait_until(lambda: len(events) == len(initial_events))
    return subscription, running


@pytest.mark.parametrize(
    ("old_stream_continues", "expected"),
    [
        (True, ["ProxyJoined 5", "ProxyLeft 4"]),
        (False, ["ChannelStateUnknown", "ProxyLeft 4", "ProxyJoined 5", "ProxyJoined 6"]),
    ],
)
def test_stream_move_is_a_gap_if_the_old_stream_breaks_first(old_stream_continues, expected, monkeypatch):
    """Proxy 6 may have left and rejoined while the old stream was silent: what it holds is unknown."""
    monkeypatch.setattr(event_subscription, "INITIAL_LIST_TIME", -1.0)
    events, old_stream, new_stream = [], ScriptedStream(), ScriptedStream()

    async def scenario():
        async with ScriptedServer(old_stream) as old_peer, ScriptedServer(new_stream) as new_peer:
            subscription, running = await start_subscription(
                events, old_stream, old_peer, attach_event(4), attach_event(6)
            )
            subscription.move(new_peer.address)
            await wait_until(lambda: new_stream.writers)
            new_stream.write_events(attach_event(5), attach_event(6), KEEPALIVE)
            await wait_until(
                lambda: subscription.membership.successor and subscription.membership.successor.complete
            )
            assert subscription.address == old_peer.address
            if old_stream_continues:
                old_stream.write_events(attach_event(5), PROXY_4_LEFT, KEEPALIVE)
            else:
                old_stream.writers[0].transport.abort()
            await wait_until(lambda: len(events) == 2 + len(expected))
            await wait_until(lambda: subscription.address == new_peer.address)
            running.cancel()

    asyncio.run(scenario())
    assert [event_summary(event) for event in events[2:]] == expected


def event_summary(event):
    return f"{type(event).__name__} {getattr(event, 'proxy', '')}".strip()


@pytest.mark.parametrize("answers", [True, False])
def test_stream_move_while_disconnected(answers, monkeypatch):
    """After a disconnect: a new address that answers is a gap; otherwise the old address stays in use."""
    monkeypatch.setattr(event_subscription, "INITIAL_LIST_TIME", -1.0)
    monkeypatch.setattr(event_subscription, "BACKOFF", (0.0, 0.01))
    events, old_stream, new_stream = [], ScriptedStream(), ScriptedStream()

    async def scenario():
        gate = asyncio.Event()

        async def accept_after_gate(writer):
            await gate.wait()
            await old_stream(writer)

        async def abort_connection(writer):
            writer.transport.abort()

        async with (
            ScriptedServer(old_stream, accept_after_gate, accept_after_gate) as old_peer,
            ScriptedServer(
                new_stream if answers else abort_connection, default_step=lambda _: abort_connection
            ) as new_peer,
        ):
            subscription, running = await start_subscription(
                events, old_stream, old_peer, attach_event(4), attach_event(6)
            )
            old_stream.writers[0].transport.abort()
            # The subscription has reconnected to the old address, which does not answer yet.
            await wait_until(lambda: len(old_peer.requests) == 2)
            subscription.move(new_peer.address)
            await wait_until(lambda: new_peer.requests)
            if answers:
                await wait_until(lambda: new_stream.writers)
                new_stream.write_events(attach_event(6), KEEPALIVE)
            else:
                gate.set()
                await wait_until(lambda: len(old_stream.writers) == 2)
                old_stream.write_events(attach_event(6), KEEPALIVE)
            await wait_until(lambda: len(events) == 5)
            final_address_is_expected = subscription.address == (new_peer if answers else old_peer).address
            running.cancel()
            return final_address_is_expected

    assert asyncio.run(scenario())
    assert [event_summary(event) for event in events[2:]] == [
        "ChannelStateUnknown",
        "ProxyJoined 6",
        "ProxyLeft 4",
    ]


def test_unexpected_exception_does_not_end_a_stream_move(monkeypatch):
    monkeypatch.setattr(event_subscription, "BACKOFF", (0.0, 0.01))
    events, old_stream, new_stream, original_follow, failed = (
        [],
        ScriptedStream(),
        ScriptedStream(),
        EventSubscription.follow,
        [],
    )

    async def scenario():
        async with ScriptedServer(old_stream) as old_peer, ScriptedServer(new_stream) as new_peer:
            subscription, running = await start_subscription(events, old_stream, old_peer, attach_event(4))

            async def follow_or_fail(self, address):
                if not failed:
                    failed.append(address)
                    raise KeyError("unexpected")
                return await original_follow(self, address)

            monkeypatch.setattr(EventSubscription, "follow", follow_or_fail)
            subscription.move(new_peer.address)
            await wait_until(lambda: new_stream.writers)
            running.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["silent", "refused"])
def test_calls_use_the_old_address_until_the_new_one_accepts_a_connection(fault):
    """A move to an address that refuses or does not accept connections delays, loses or repeats no call."""
    events = []

    async def scenario():
        async with ScriptedServer(
            default_step=lambda request: accepted_response(request.count(";") + 1)
        ) as old_peer:
            with unreachable_address(listens=fault == "silent") as new_peer:
                sender = OrderSender(old_peer.address, ["read"], MarkTranslator(0), events.append)
                running = asyncio.create_task(sender.run())
                sender.submit([ORDER_A])
                await wait_until(lambda: len(old_peer.requests) == 1)
                sender.move(new_peer.getsockname())
                sender.submit([ORDER_B])
                await wait_until(lambda: len(old_peer.requests) == 2)
                old_peer.writers[0].transport.abort()  # the reconnect does not use the new address either
                await wait_until(lambda: not sender.connection.is_usable())
                sender.submit([ORDER_A, ORDER_B])
                await wait_until(lambda: len(old_peer.requests) == 3)
                sender.move_task.cancel()
                running.cancel()
                return [request.rpartition("changes=")[2] for request in old_peer.requests]

    assert asyncio.run(scenario()) == ["put,1,s-a,1.0", "put,1,s-b,1.0", "put,1,s-a,1.0;put,1,s-b,1.0"]
    assert events == []


@contextlib.contextmanager
def unreachable_address(listens):
    """An address that refuses connections, or one whose backlog is full, so that no connection completes."""
    with contextlib.ExitStack() as stack:
        sock = stack.enter_context(socket.socket())
        sock.bind(("127.0.0.1", 0))
        if listens:
            sock.listen(0)
            for _ in range(4):
                client_socket = stack.enter_context(socket.socket())
                client_socket.setblocking(False)
                client_socket.connect_ex(sock.getsockname())
        yield sock


def test_connection_closed_between_two_calls_loses_no_order():
    """The close is detected before the next call is written, which is then sent once, on a new connection."""
    events = []

    async def answer_and_close(writer):
        writer.write(b"".join(accepted_response(1)))
        await writer.drain()
        writer.close()

    async def scenario():
        async with ScriptedServer(answer_and_close, accepted_response(1)) as relay:
            sender = OrderSender(relay.address, ["read"], MarkTranslator(0), events.append)
            running = asyncio.create_task(sender.run())
            sender.submit([ORDER_A])
            await wait_until(lambda: sender.connection and not sender.connection.is_usable())
            sender.submit([ORDER_B])
            await wait_until(lambda: len(relay.requests) == 2)
            running.cancel()
            return len(relay.writers)

    assert asyncio.run(scenario()) == 2
    assert events == []


def test_remainder_of_a_partly_taken_call_fences_only_affected_proxies():
    """A proxy left while it was being bound, so the call was partly taken. A fence to all proxies in the next
    call would send each proxy a message that the Brain does not account for: three such calls in a row
    exceeded the queue limit."""
    fence, put, bind, after = parts = order_codec.split_into_requests(
        [ORDER_A, gp.BindProxy(4, 1), gp.BindProxy(5, 1), gp.RequestAcknowledgement(3, False)],
        ["read"],
        MarkTranslator(0),
    )[0]
    assert [text for _, text in order_codec.remaining_orders(parts, 2)] == ["fence,3,0", "attach,5,1,*"]
    assert order_codec.remaining_orders(parts, 3) == [] and [text for _, text in parts] == [
        "fence,3,0",
        "put,1,s-a,1.0",
        "attach,4,1,*",
        "attach,5,1,*",
    ]


def test_connect_cancelled_on_completion_closes_the_connection(monkeypatch):
    connections, original_open = [], asyncio.open_connection

    async def scenario():
        async with ScriptedServer() as peer:

            async def open_then_cancel(*address, **options):
                connections.append(await original_open(*address, **options))
                connecting.cancel()
                return connections[0]

            monkeypatch.setattr(asyncio, "open_connection", open_then_cancel)
            connecting = asyncio.create_task(client.connect(peer.address, 60.0))
            await asyncio.wait({connecting})
            return connecting.cancelled(), connections[0][1].transport.is_closing()

    assert asyncio.run(scenario()) == (True, True)


def test_invalid_host_name_is_an_unreachable_address():
    """A reload may set one; an exception would end the task that moves the calls."""
    result = asyncio.run(client.connect(("a..b", 1), 60.0))
    assert isinstance(result, client.NotSent) and not result.local_fault
    assert result.why.startswith("connect: ")


# --- probes


def test_keep_alive_connection_is_not_reused_for_another_task_at_its_address():
    """The address now belongs to a new task, which is probed on a new connection."""
    events, addresses = [], task_list_watch.TaskAddresses()

    async def scenario():
        async with ScriptedServer(http_response("TEXT inflight=1"), http_response("TEXT inflight=2")) as task:
            addresses.by_task |= {"s-old": task.address}
            task_prober = prober.Prober(addresses, events.append, True, 8)
            task_prober.start(gp.SendProbe("s-old", 600_000))
            await wait_until(lambda: len(events) == 1)
            addresses.by_task = {"s-new": task.address}
            task_prober.start(gp.SendProbe("s-new", 600_000))
            await wait_until(lambda: len(events) == 2)
            return len(task.writers)

    assert asyncio.run(scenario()) == 2
    assert [(event.task, event.load["in_hand"]) for event in events] == [("s-old", 1), ("s-new", 2)]


# --- unidentified connections


def test_flood_of_incomplete_lines_neither_blocks_others_nor_leaks_descriptors(tmp_path):
    """Unidentified connections that send half a line take more than half of all descriptors. A heartbeat, a
    collector and the connections to discovery and the relay still succeed, and no descriptor is leaked."""

    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as free_socket:
            address = socket_host_port(free_socket)
        async with make_agent(42) as agent, make_relay(4) as relay:
            changes = (
                ("discovery", host_port(agent)),
                ("store/address", host_port(relay)),
                ("listen", address),
            )
            async with AssignerProgram(write_configuration(tmp_path, *changes)) as program:
                await program.wait_for_log("event=news_open")
                await wait_until(lambda: any("attach,4" in request for request in relay.requests))

                def descriptors():
                    return len(os.listdir(f"/proc/{program.process.pid}/fd"))

                count_before = descriptors()
                unknown_peers = [await asyncio.open_connection(*address.split(":")) for _ in range(100)]
                for _, writer in unknown_peers:
                    writer.write(b"telemetry sit")
                reader, writer = await asyncio.open_connection(*address.split(":"))
                writer.write(b"hb\r\n")
                assert await reader.readline() == b"hb_ok\r\n"
                writer.write(b"telemetry site=a\r\n")
                await program.wait_for_log("event=collector_joined")
                for peer in (agent, relay):  # reconnects during the flood
                    request_count = len(peer.requests)
                    for connection in peer.writers:
                        connection.transport.abort()
                    await wait_until(
                        lambda peer=peer, request_count=request_count: len(peer.requests) > request_count
                    )
                assert descriptors() <= 64
                for _, unknown_writer in unknown_peers:
                    unknown_writer.transport.abort()
                writer.transport.abort()
                await wait_until(lambda: descriptors() <= count_before)
                program.signal(signal.SIGTERM)
                return await program.end()

    assert asyncio.run(scenario()) == CLEAN_EXIT


# --- settings


@pytest.mark.parametrize(
    ("keys", "value", "field"),
    [
        ("settings/rank", 5, "rank"),
        ("settings/azs", ["a", "a"], "azs"),
        ("settings/my_zone", "b", "my_zone"),
        ("settings/categories", [{"name": "x", "promise": 1}] * 2, "categories"),
        ("settings/contract/must_ask_in", 1e308, "must_ask_in"),
        ("settings/specifics/head", -1, "head"),
        ("settings/specifics/pushes_allowed", -3, "pushes_allowed"),
        ("limits/sockets", 0, "limits.sockets"),
    ],
)
def test_contradictory_settings_are_refused_at_start(keys, value, field, tmp_path):
    path = write_configuration(tmp_path, (keys, value))
    result = subprocess.run(
        [sys.executable, "-m", "garnetpaddle", "serve"],
        capture_output=True,
        text=True,
        env=os.environ | {"ROUTER_CONFIG": path},
        timeout=60,
    )
    assert result.returncode == 2 and result.stdout == ""
    assert re.fullmatch(rf"garnetpaddle: field \S*{re.escape(field)}: [^\n]+\n", result.stderr)
