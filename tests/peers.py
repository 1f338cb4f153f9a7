"""Peers on loopback: `serve` as a process, a relay that executes orders, a discovery agent."""

import asyncio
import contextlib
import json
import os
import re
import sys

from helper import ScriptedServer, http_response

DEFAULT_GRACE_PERIOD = 3.0  # s: the default of stop_sending_within
RESTART_TIMEOUT = 10.0  # s within which nine of ten restarted assigners have to be ready
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEEPALIVE_INTERVAL = 0.1  # s between keep-alives of a relay's event stream


def chunk(text):
    """A chunk of a body with chunked transfer encoding."""
    body = text.encode()
    return f"{len(body):x}\r\n".encode() + body + b"\r\n"


def accepted_response(count):
    """The relay's response to a request of which `count` orders were executed."""
    return http_response(f"<Response><entries><item><taken>{count}</taken></item></entries></Response>")


def task_list_body(generation, reset, *entries):
    """The body of a task list; entries are (task, lifecycle)."""
    instances = [
        {"instanceId": f"s-{task}", "hostPort": "127.0.0.1:1", "zone": "a", "lifecycle": state}
        for task, state in entries
    ]
    return json.dumps({"generation": generation, "reset": reset, "instances": instances})


async def wait_within(seconds, condition):
    """Waits until the condition holds; raises TimeoutError after this many seconds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


BIND_LIMIT = 5.0  # s in which a named proxy has to be bound


class FakeRelay:
    """A relay at any number of addresses: keeps the ordered tables, bindings and withdrawals of its proxies.

    joined: proxy -> whether it is new, that is, holds no table that was ordered.
    """

    def __init__(self, *joined):
        self.joined = dict.fromkeys(joined, True)
        self.tables, self.bound, self.former_tasks, self.withdrawn = {}, {}, {}, {}
        self.orders, self.calls, self.streams, self.stream_request_count, self.history = [], 0, [], 0, []
        # Cleared: requests get no response; event streams are silent.
        self.responding, self.streaming = asyncio.Event(), asyncio.Event()
        self.responding.set()
        self.streaming.set()
        self.names_one_by_one = False  # an event stream names a proxy once the one before it has been bound

    def listen(self):
        return ScriptedServer(
            default_step=lambda request: (
                self.serve_events if "/v1/events" in request else self.make_handler(request)
            )
        )

    def make_handler(self, request):
        async def respond(writer):
            self.calls += 1
            await self.responding.wait()
            orders = request.rpartition("changes=")[2].split(";")
            done_events = self.execute(orders)
            writer.write(b"".join(accepted_response(len(orders))))
            self.send_events(*done_events)

        return respond

    async def serve_events(self, writer):
        """The event stream: the joined proxies, then events and periodic keep-alives."""
        self.stream_request_count += 1
        await self.streaming.wait()
        writer.write(CHUNKED_HEAD)
        if self.names_one_by_one:
            await self.name_one_by_one(writer)
        else:
            writer.write(b"".join(chunk(self.attach_event(proxy)) for proxy in self.joined))
        self.streams.append(writer)
        while not writer.is_closing():
            if self.streaming.is_set():
                writer.write(chunk(":\n\n"))
            await asyncio.sleep(KEEPALIVE_INTERVAL)

    async def name_one_by_one(self, writer):
        """Writes the joined proxies, each after the bind of the one before it."""
        for proxy in self.joined:
            binds = self.count_orders(f"attach,{proxy},")
            writer.write(chunk(self.attach_event(proxy)))
            await wait_within(BIND_LIMIT, lambda p=proxy, n=binds: self.count_orders(f"attach,{p},") > n)

    def send_events(self, *events):
        if self.streaming.is_set():
            for writer in self.streams:
                writer.write(b"".join(map(chunk, events)))

    def attach_event(self, proxy):
        return f"event: attach\ndata: id={proxy}&site=a&rps=20&new={int(self.joined[proxy])}\n\n"

    def join(self, proxy):
        self.joined[proxy] = True
        self.send_events(self.attach_event(proxy))

    def leave(self, proxy):
        del self.joined[proxy]
        self.bound.pop(proxy, None)
        self.withdrawn.pop(proxy, None)
        self.send_events(f"event: detach\ndata: id={proxy}\n\n")

    def reset_for_restart(self):
        """The assigner was restarted: each proxy keeps its tasks and joins the new process with them."""
        self.former_tasks = {proxy: self.tasks_of(proxy) for proxy in self.joined}
        self.joined = {proxy: not tasks for proxy, tasks in self.former_tasks.items()}
        self.tables, self.bound, self.withdrawn, self.streams = {}, {}, {}, []

    def tasks_of(self, proxy):
        """The tasks that a proxy may call."""
        tasks = (
            self.tables.get(self.bound[proxy], {})
            if proxy in self.bound
            else self.former_tasks.get(proxy, ())
        )
        return frozenset(tasks) - self.withdrawn.get(proxy, set())

    def callable_tasks(self):
        """The tasks that each proxy may call, as `4:abc 5:abc`."""
        return " ".join(
            f"{proxy}:{''.join(sorted(task.removeprefix('s-') for task in self.tasks_of(proxy)))}"
            for proxy in sorted(self.joined)
        )

    def execute(self, orders):
        """Executes the orders of a request; returns the resulting `done` events."""
        reached, mark = set(), None
        for order in orders:
            kind, *arguments = order.split(",")
            match kind:
                case "put":
                    table = self.tables.setdefault(arguments[0], {})
                    table[arguments[1]] = float(arguments[2])
                    if not table[arguments[1]]:
                        del table[arguments[1]]
                    reached |= {
                        proxy for proxy, table_number in self.bound.items() if table_number == arguments[0]
                    }
                case "attach":
                    self.bound[int(arguments[0])] = arguments[1]
                    reached.add(int(arguments[0]))
                case "eject" | "uneject":
                    for proxy in self.joined:
                        withdrawn = self.withdrawn.setdefault(proxy, set())
                        withdrawn.add(arguments[0]) if kind == "eject" else withdrawn.discard(arguments[0])
                case "fence":
                    mark = arguments[0]
        self.orders += orders
        if self.history[-1:] != [self.callable_tasks()]:
            self.history.append(self.callable_tasks())
        return [f"event: done\ndata: id={proxy}&seq={mark}&ms=1\n\n" for proxy in sorted(reached) if mark]

    def count_orders(self, text):
        """The number of orders that begin with a text."""
        return sum(order.startswith(text) for order in self.orders)


class FakeDiscovery:
    """A discovery agent: sends the full list and answers long polls once there is a newer generation."""

    def __init__(self, generation, tasks, full_lists=False):
        self.generation, self.full_lists = generation, full_lists  # full_lists: for long polls, too
        self.entries = [(task, "active") for task in tasks]
        self.changes, self.request_count, self.updated = {}, 0, asyncio.Event()
        self.responding = asyncio.Event()  # cleared: accepts requests and sends no response
        self.responding.set()

    def listen(self):
        return ScriptedServer(default_step=self.make_handler)

    def publish_generation(self, *changes, generation=None):
        """Starts another generation with these changed entries, or if `full_lists`, with this full list."""
        self.generation = generation or self.generation + 1
        if self.full_lists:
            self.entries = list(changes)
        else:
            self.entries = list((dict(self.entries) | dict(changes)).items())
            self.entries = [entry for entry in self.entries if entry[1] != "left"]
        self.changes[self.generation] = changes
        self.updated.set()
        self.updated = asyncio.Event()

    def make_handler(self, request):
        async def respond(writer):
            self.request_count += 1
            poll = re.search(r"since=(\d+)&timeout_ms=(\d+)", request)
            if poll and int(poll[1]) >= self.generation:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(poll[2]) / 1_000):
                        await self.updated.wait()
            await self.responding.wait()
            since = int(poll[1]) if poll else 0
            if self.full_lists and self.generation > since or not poll:
                body = task_list_body(self.generation, True, *self.entries)
            else:
                changed = [
                    entry for number, entries in self.changes.items() if number > since for entry in entries
                ]
                body = task_list_body(self.generation, False, *changed)
            writer.write(b"".join(http_response(body)))

        return respond


class AssignerProgram:
    """`serve` as a separate process whose log is read line by line."""

    def __init__(self, path, stdout=asyncio.subprocess.PIPE):
        self.path, self.stdout, self.log = path, stdout, []

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnetpaddle",
            "serve",
            env=os.environ | {"ROUTER_CONFIG": str(self.path)},
            stdout=self.stdout,
            stderr=asyncio.subprocess.PIPE,
        )
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_for_log(self, text):
        """Reads the log up to a line that contains the text."""
        while not self.log or text not in self.log[-1]:
            self.log.append((await self.process.stdout.readline()).decode())
            assert self.log[-1], (
                f"the process ended before it logged {text}: {await self.process.stderr.read()}"
            )

    async def wait_for_all_logs(self, *texts):
        """Reads the log until each text has occurred, in any order."""
        while not all(any(text in line for line in self.log) for text in texts):
            self.log.append((await self.process.stdout.readline()).decode())
            assert self.log[-1], (
                f"the process ended before it logged {texts}: {await self.process.stderr.read()}"
            )

    def signal(self, *signals):
        for number in signals:
            self.process.send_signal(number)

    async def end(self):
        """Waits for the exit; returns the exit code and what was written to standard error."""
        return (await self.process.wait(), (await self.process.stderr.read()).decode())


CLEAN_EXIT = (0, "")


def host_port(server):
    """The address of a ScriptedServer as host:port."""
    return f"{server.address[0]}:{server.address[1]}"


def socket_host_port(sock):
    """The local address of a socket as host:port."""
    return "{}:{}".format(*sock.getsockname()[:2])


def delayed_response(*responses):
    """A script step that sends its responses only after an event is set: (step, event)."""
    release = asyncio.Event()

    async def step(writer):
        await release.wait()
        for response in responses:
            writer.write(b"".join(response))

    return step, release
