"""Test helpers; `BrainHarness` feeds a Brain events and records its orders. traces/: the expected traces."""

import asyncio
import dataclasses
import os
import pathlib
import re
from urllib.parse import unquote

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain

TRACES = pathlib.Path(__file__).parent / "traces"
PARAMETERS = gp.Parameters(
    routes=(gp.Route(1, 12_000), gp.Route(2, 15_000), gp.Route(5, 20_000)),
    list_mode="push",
    resubscribe_deadline=100_000,
    probes_allowed=True,
    warm_after=150_000,
    start_share=0.2,
    fall_multiple=3.0,
    dropped_counts_as_gone=True,
    report_period=10_000,
    channel_lines=2_000.0,
    queue_limit=4_000.0,
    message_overhead_lines=6.0,
    message_cap=0,
    message_cap_period=100_000,
    level_kind="none",
    failures_before_avoidance=3,
)


def task_line(task, state="ready", started=0.0, size=1.0, kind=""):
    return gp.TaskLine(task, "z", 0, state, size, round(started * 10_000), kind)


def list_changes(*lines):
    return gp.TaskListReceived("changes", lines)


def table_weights(brain):
    """The lines of all tables: task -> weight."""
    return {k: weight for table in brain.tables for k, weight in table.weights.items()}


def assert_trace_matches(name, trace):
    path, actual = TRACES / f"{name}.txt", "\n".join(trace) + "\n"
    if os.environ.get("GARNET_TRACES") == "write":
        path.write_text(actual)
    assert actual == path.read_text()


def format_event(event):
    """Formats an event or order as one line: its class name and its values."""
    values = (getattr(event, f.name) for f in dataclasses.fields(event))
    return f"{type(event).__name__} " + " ".join(
        f"({', '.join(format_event(v) for v in value)})" if isinstance(value, tuple) and value else str(value)
        for value in values
    )


class ScriptedServer:
    """A loopback server: runs a step of its script for each request, then those that `default_step` returns.

    A step is a list of bytes to write and delays in seconds, None for no response, "break" to abort the
    connection, a function that returns one of these, or a coroutine function that handles the connection.
    """

    def __init__(self, *script, default_step=None):
        self.script, self.default_step, self.requests, self.writers = list(script), default_step, [], []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                size = re.search(r"content-length: (\d+)", head.lower())
                body = (await reader.readexactly(int(size[1]))).decode() if size else ""
                self.requests.append(f"{head.splitlines()[0]} {unquote(body)}".strip())
                step = (
                    self.script.pop(0)
                    if self.script
                    else self.default_step and self.default_step(self.requests[-1])
                )
                if asyncio.iscoroutinefunction(step) or asyncio.iscoroutinefunction(type(step).__call__):
                    await step(writer)  # it writes to the connection itself
                    continue
                step = step() if callable(step) else step
                if step == "break":
                    return writer.transport.abort()
                for piece in step or ():  # a number is a delay in seconds
                    if isinstance(piece, bytes):
                        writer.write(piece)
                        await writer.drain()
                    await asyncio.sleep(0 if isinstance(piece, bytes) else piece)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass


def http_response(body, status="200 OK"):
    return [f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()]


async def wait_until(condition):
    """Runs the event loop until the condition holds; fails after 30 s."""
    for _ in range(3_000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met after 30 s")


class BrainHarness:
    def __init__(self, tasks="abcd", proxies=2, acknowledges=True, total=1, **parameters):
        self.parameters = dataclasses.replace(PARAMETERS, proxies=total, **parameters)
        self.brain, self.now, self.trace, self.pending_events = Brain(self.parameters, 7), 0, [], []
        self.reported_sums = {t: (10, 0, 200) for t in tasks}  # tries, failures and mean ms of each report
        self.load, self.probe_outcomes, self.next_report_at, self.acknowledges = {}, {}, 10_000, acknowledges
        self.handle(gp.TaskListReceived("stale", tuple(task_line(t) for t in tasks)))
        self.handle(*(gp.ProxyJoined(p, 20.0, True, "z") for p in range(proxies)))

    def handle(self, *events):
        entries = []
        self.last_orders = orders = self.brain.handle(self.now, events)
        to_all = any(isinstance(o, gp.SetWeight | gp.SetAdmission) for o in orders)
        reached = self.brain.proxies if to_all else [o.proxy for o in orders if isinstance(o, gp.BindProxy)]
        reached = [p for p in reached if not self.brain.proxies[p].external]
        for o in orders:
            match o:
                case gp.SetWeight():
                    entries.append(f"{o.task}={o.weight:g}")
                case gp.BindProxy():
                    entries.append(f"bind {o.proxy}")
                case gp.WithdrawTask():
                    entries.append(f"{'withdraw' if o.withdrawn else 'let back'} {o.task}")
                case gp.SetAdmission():
                    entries.append(f"admit {o.routes} {o.level:g}, tries {o.retry_mode}")
                case gp.SubscribeTaskList():
                    entries.append("watch")
                case gp.LogMessage():
                    entries.append(f'"{o.text}"')
                case gp.RequestAcknowledgement() if self.acknowledges:
                    acknowledging = self.brain.channel_proxies if o.all_proxies else reached
                    self.pending_events += [
                        (self.now + 3_000, gp.OrdersApplied(p, o.mark, 3_000)) for p in acknowledging
                    ]
                case gp.SendProbe():
                    outcome = self.probe_outcomes.get(o.task, "ok")
                    self.pending_events.append((self.now + 500, gp.ProbeFinished(o.task, 500, outcome, {})))
        if entries:
            self.trace.append(f"{self.now / 10_000:5.1f}  " + ", ".join(entries))

    def advance(self, seconds):
        """Advances time in steps of 0.1 s, with reports each period, acknowledgements and probe results."""
        for _ in range(round(seconds * 10)):
            self.now += 1_000
            events = [e for at, e in self.pending_events if at <= self.now]
            self.pending_events = [(at, e) for at, e in self.pending_events if at > self.now]
            if self.now >= self.next_report_at:
                self.next_report_at += 10_000
                for task, (tries, failures, ms) in self.reported_sums.items():
                    events.append(gp.TaskReport(task, "z", tries, failures, ms * 10.0, 10_000, self.load))
            self.handle(*events)

    def lose_last_orders(self, perhaps):
        """Tells the Brain that the orders of the last batch are lost, or `perhaps` carried out."""
        self.add_label(f"orders lost, {'possibly' if perhaps else 'not'} carried out")
        self.handle(gp.OrdersLost(tuple(self.last_orders), perhaps))
        self.add_label(f"estimated queue: {self.brain.channel.queue:.0f} lines")

    def add_label(self, text):
        self.trace.append(f"       -- {text}")

    def assert_trace_matches(self, name):
        assert_trace_matches(name, self.trace)
