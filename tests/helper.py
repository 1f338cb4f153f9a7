"""Feeds a Brain fixed events and keeps a short trace of what it orders; traces/ holds what is expected."""

import asyncio
import dataclasses
import os
import pathlib
import re
from urllib.parse import unquote

from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain

TRACES = pathlib.Path(__file__).parent / "traces"
TERMS = gp.Parameters(
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


def line(task, state="ready", started=0.0, size=1.0, kind=""):
    return gp.TaskLine(task, "z", 0, state, size, round(started * 10_000), kind)


def changes(*lines):
    return gp.TaskListReceived("changes", lines)


def matches(name, trace):
    path, got = TRACES / f"{name}.txt", "\n".join(trace) + "\n"
    if os.environ.get("GARNET_TRACES") == "write":
        path.write_text(got)
    assert got == path.read_text()


def shown(event):
    """An event or order in a line: its name and its values."""
    values = (getattr(event, f.name) for f in dataclasses.fields(event))
    return f"{type(event).__name__} " + " ".join(
        f"({', '.join(shown(v) for v in value)})" if isinstance(value, tuple) and value else str(value)
        for value in values
    )


class StandIn:
    """A party on loopback that does as its script says: one step a message that it reads, then `always`."""

    def __init__(self, *script, always=None):
        self.script, self.always, self.said, self.writers = list(script), always, [], []

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
                self.said.append(f"{head.splitlines()[0]} {unquote(body)}".strip())
                step = self.script.pop(0) if self.script else self.always and self.always(self.said[-1])
                if asyncio.iscoroutinefunction(step) or asyncio.iscoroutinefunction(type(step).__call__):
                    await step(writer)  # a script of its own, with the connection in its hands
                    continue
                step = step() if callable(step) else step
                if step == "break":
                    return writer.transport.abort()
                for piece in step or ():  # None: silence; a number: so many seconds of it
                    if isinstance(piece, bytes):
                        writer.write(piece)
                        await writer.drain()
                    await asyncio.sleep(0 if isinstance(piece, bytes) else piece)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass


def http(body, status="200 OK"):
    return [f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()]


async def until(condition):
    """Turns the loop until something holds; a test that never gets there ends by the runner's limit."""
    for _ in range(3_000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("it never came to that")


class Play:
    def __init__(self, tasks="abcd", proxies=2, applies=True, total=1, **terms):
        self.terms = dataclasses.replace(TERMS, proxies=total, **terms)
        self.brain, self.now, self.trace, self.coming = Brain(self.terms, 7), 0, [], []
        self.sums = {t: (10, 0, 200) for t in tasks}  # tries, failures, ms: what each report says of a task
        self.load, self.probes, self.report_at, self.applies = {}, {}, 10_000, applies
        self.hear(gp.TaskListReceived("stale", tuple(line(t) for t in tasks)))
        self.hear(*(gp.ProxyJoined(p, 20.0, True, "z") for p in range(proxies)))

    def hear(self, *events):
        shown = []
        self.last = orders = self.brain.handle(self.now, events)
        to_all = any(isinstance(o, gp.SetWeight | gp.SetAdmission) for o in orders)
        reached = self.brain.proxies if to_all else [o.proxy for o in orders if isinstance(o, gp.BindProxy)]
        reached = [p for p in reached if not self.brain.proxies[p].external]
        for o in orders:
            match o:
                case gp.SetWeight():
                    shown.append(f"{o.task}={o.weight:g}")
                case gp.BindProxy():
                    shown.append(f"bind {o.proxy}")
                case gp.WithdrawTask():
                    shown.append(f"{'withdraw' if o.withdrawn else 'let back'} {o.task}")
                case gp.SetAdmission():
                    shown.append(f"admit {o.routes} {o.level:g}, tries {o.retry_mode}")
                case gp.SubscribeTaskList():
                    shown.append("watch")
                case gp.LogMessage():
                    shown.append(f'"{o.text}"')
                case gp.RequestAcknowledgement() if self.applies:
                    asked = self.brain.channel_proxies if o.all_proxies else reached
                    self.coming += [(self.now + 3_000, gp.OrdersApplied(p, o.mark, 3_000)) for p in asked]
                case gp.SendProbe():
                    outcome = self.probes.get(o.task, "ok")
                    self.coming.append((self.now + 500, gp.ProbeFinished(o.task, 500, outcome, {})))
        if shown:
            self.trace.append(f"{self.now / 10_000:5.1f}  " + ", ".join(shown))

    def run(self, seconds):
        """Beats, fixed sums each report period, and the answers to seals and probes, for a while."""
        for _ in range(round(seconds * 10)):
            self.now += 1_000
            events = [e for at, e in self.coming if at <= self.now]
            self.coming = [(at, e) for at, e in self.coming if at > self.now]
            if self.now >= self.report_at:
                self.report_at += 10_000
                for task, (tries, failures, ms) in self.sums.items():
                    events.append(gp.TaskReport(task, "z", tries, failures, ms * 10.0, 10_000, self.load))
            self.hear(*events)

    def lose(self, perhaps):
        """No answer confirms what the last batch ordered."""
        self.say(f"lost, {'perhaps' if perhaps else 'surely not'} carried out")
        self.hear(gp.OrdersLost(tuple(self.last), perhaps))
        self.say(f"reckoned to wait: {self.brain.queue:.0f} lines")

    def say(self, text):
        self.trace.append(f"       -- {text}")

    def matches(self, name):
        matches(name, self.trace)
