"""Stand-ins for the partners of one assigner, on loopback and the real clock, and a judge of the rules.

The platform is one process: a discovery agent, a relay with its channel, proxies, tasks and collectors. The
assigner is started as its own process with the `run` command of deploy/balancer.toml. Only the standard
library is used. The stand-ins do what the protocol page says; where it is silent they are well behaved.

A case subclasses `Scenario` and gives `settings`, `prepare` and `trouble`. `main` plays it, writes record.txt
into the folder of the case and returns the exit code: 1 for a broken rule, 0 if all held, 2 if it could not
run.
"""

import asyncio
import collections
import contextlib
import copy
import ctypes
import json
import logging
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOCKET_SLACK = 0.3  # s: the protocol page's addition to the time limits
START_SLACK = 1.0  # s after the assigner's first answer before which no time limit starts
READY_TIMEOUT = 30.0  # s in which an assigner has to be ready
CONNECTIONS_PER_ADDRESS = 32
PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of Linux, the same on every kind of machine
RUN_LIMIT = 110.0  # s for a whole case
IDLE_CLOSE = 10.0  # s after which the relay closes an idle connection
KEEP_ALIVE = 1.0  # s between the signs of life of an event stream

# A small deployment after the users' site file of dakar-shared; cases change single figures.
SETTINGS = {
    "azs": ["pikine", "rufisque", "mbao"],
    "balancers": 1,
    "categories": [
        {
            "name": "bag-status",
            "deadline": 4.0,
            "effect": "free",
            "gain": 1.0,
            "group": "all",
            "late_worth": 0.2,
            "promise": 1.2,
            "window": 5.0,
        },
        {
            "name": "bag-scan",
            "deadline": 4.0,
            "effect": "guarded",
            "gain": 2.0,
            "group": "zone",
            "late_worth": 0.2,
            "promise": 1.5,
            "window": 2.5,
        },
        {
            "name": "charge-post",
            "deadline": 5.0,
            "effect": "single_shot",
            "gain": 5.0,
            "group": "all",
            "late_worth": 0.1,
            "promise": 2.0,
            "window": 5.0,
        },
    ],
    "ceilings": {
        "conn_idle": 15.0,
        "connect_timeout": 0.3,
        "cpu_us_per_s": 600000,
        "peers": False,
        "probes": True,
        "streams_per_conn": 32,
    },
    "contract": {
        "cold": 15.0,
        "fall_multiple": 3.0,
        "must_ask_in": 10.0,
        "start_capacity": 0.23,
        "stop_sending_within": 3.0,
        "tip_after": 3.0,
    },
    "discovery": "push",
    "family": "control",
    "models": ["large-4", "small-2", "slow-3"],
    "my_zone": "rufisque",
    "quantum": 0.005,
    "rank": 0,
    "reporting": {"columns": ["concurrent"], "how": "answers"},
    "specifics": {
        "agents": 9,
        "bare": 3.1,
        "base_mode": 1,
        "choice": "rotate",
        "counted_over": 10.0,
        "egress_per_s": 2100.0,
        "head": 6.0,
        "homed_by_zone": False,
        "initial_set": 6,
        "intake_per_s": 150.0,
        "level_kind": "none",
        "one_owner": False,
        "push_delay_max": 0.46,
        "pushes_allowed": 0,
        "queue_cap": 4200.0,
        "ranges": 0,
        "report_every": 1.0,
        "strikes": 8,
        "transit": 0.184,
    },
    "weights": "none",
    "worth_by": "request",
}


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run: one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file, self.started_at = open(path, "w", encoding="utf-8"), time.monotonic()  # noqa: SIM115

    def now(self):
        """Seconds since the start of the record."""
        return time.monotonic() - self.started_at

    def note(self, kind, text=""):
        """Writes one line."""
        self.file.write(f"{self.now():8.3f} {kind:<10} {text}\n")
        self.file.flush()


async def read_request(reader):
    """One HTTP request as (method, target, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    length = 0
    for line in lines:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    return method, target, (await reader.readexactly(length)) if length else b""


def response(body, kind="application/json", status="200 OK"):
    """A whole HTTP response."""
    head = f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class HttpServer:
    """An HTTP server on a loopback port that can be taken away and opened again."""

    def __init__(self, handle, port=0):
        self.handle, self.port, self.server, self.writers = handle, port, None, set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        """Listens; an address is kept over a restart."""
        if not self.port:
            self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop_listening(self):
        """Accepts no new connection; the open ones stay."""
        if self.server:
            self.server.close()
            self.server = None

    def reset_connections(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        """As when the process dies."""
        self.stop_listening()
        self.reset_connections()


PORTS = None  # ports that this process hands out, from a base that depends on its id


def free_port():
    """A free port below those that the kernel gives to outgoing connections."""
    global PORTS
    if PORTS is None:
        start = 10_000 + os.getpid() * 97 % 20_000
        PORTS = iter(range(start, start + 2_000))
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


class Discovery:
    """The list of tasks, and the agent on the assigner's machine that tells it."""

    def __init__(self, platform):
        self.platform, self.generation, self.entries = platform, 1, {}
        self.changed_at = {}  # task -> the generation of its last change
        self.gone = {}  # task -> its entry as "left"
        self.updated = asyncio.Event()
        self.last_call_at, self.given_up = 0.0, 0  # of the latest call; calls that were given up unanswered
        self.up = asyncio.Event()  # cleared: the agent says nothing
        self.up.set()
        self.server = HttpServer(self.serve)

    def entry(self, name, lifecycle="active"):
        """The entry of a task as it stands."""
        task = self.platform.tasks[name]
        started = int(task.started_wall * 1_000) if task.started_wall else 0
        return {
            "instanceId": name,
            "hostPort": task.server.address,
            "zone": task.zone,
            "machineType": task.kind,
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started,
        }

    def publish(self, *changes):
        """Lists changes, (task, lifecycle), under one new version."""
        self.generation += 1
        for name, lifecycle in changes:
            entry = self.entry(name, lifecycle)
            self.changed_at[name] = self.generation
            if lifecycle == "left":
                self.entries.pop(name, None)
                self.gone[name] = entry
            else:
                self.gone.pop(name, None)
                self.entries[name] = entry
            self.platform.record.note("listed", f"{name} {lifecycle} version={self.generation}")
        self.updated.set()
        self.updated = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            _, target, _ = await read_request(reader)
            self.last_call_at = self.platform.record.now()
            query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
            since = int(query["since"]) if "since" in query else None
            if since is not None and since >= self.generation:
                wait = min(int(query.get("timeout_ms", "0")), 60_000) / 1_000
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        while since >= self.generation:
                            await self.updated.wait()
            while not self.up.is_set():
                if writer.is_closing() or reader.at_eof():
                    self.given_up += 1
                    return  # the assigner has given up this call, or has ended
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.01):
                        await self.up.wait()
            whole = since is None
            entries = (
                list(self.entries.values())
                if whole
                else [
                    e
                    for name, e in (self.entries | self.gone).items()
                    if self.changed_at.get(name, 0) > since
                ]
            )
            body = json.dumps({"generation": self.generation, "reset": whole, "instances": entries})
            writer.write(response(body.encode()))
            self.platform.on_told(entries, whole)


class Task:
    """A server: its probes are real HTTP, its calls are played by the platform."""

    def __init__(self, platform, name, zone, kind, latency, started_wall=0.0):
        self.platform, self.name, self.zone, self.kind, self.latency = platform, name, zone, kind, latency
        self.started_wall = started_wall  # Unix time, s; 0: long ago
        self.up, self.mute, self.in_hand = True, False, 0
        self.server = HttpServer(self.serve)

    async def serve(self, reader, writer):
        while True:
            await read_request(reader)
            if self.mute:
                await asyncio.sleep(30)
                return
            writer.write(response(f"TEXT inflight={self.in_hand}".encode(), "text/plain"))

    def die(self):
        """Its process ends."""
        self.up = False
        self.server.close()

    async def start(self):
        """A new process of it starts, cold."""
        self.started_wall, self.up, self.mute = time.time(), True, False
        await self.server.open()


class Proxy:
    """A sidecar: follows its table, and keeps it while it has no stream."""

    def __init__(self, platform, number, zone, rate):
        self.platform, self.number, self.zone, self.rate = platform, number, zone, rate
        self.lines, self.withdrawn, self.ordered = {}, set(), False
        self.joined, self.joined_at, self.stream = False, 0.0, 0
        self.credit = {}
        self.failures, self.avoided_until = collections.Counter(), {}
        self.bare_since = None
        self.message_times = collections.deque()

    def usable(self):
        """Its lines that are not withdrawn."""
        return {name: weight for name, weight in self.lines.items() if name not in self.withdrawn}

    def pick(self):
        """The task of the next call, evenly by weight; None if there is no line."""
        lines = self.usable()
        now = self.platform.record.now()
        rested = {n: w for n, w in lines.items() if self.avoided_until.get(n, 0.0) <= now}
        lines = rested or lines
        if not lines:
            return None
        self.credit = {name: self.credit.get(name, 0.0) + weight for name, weight in lines.items()}
        name = max(self.credit, key=lambda n: (self.credit[n], n))
        self.credit[name] -= sum(lines.values())
        return name


class Relay:
    """The relay: takes the assigner's orders, keeps its tables, and sends messages to the proxies."""

    def __init__(self, platform):
        self.platform = platform
        specifics = platform.settings["specifics"]
        self.rate, self.head = specifics["egress_per_s"], specifics["head"]
        self.transit, self.transit_most = specifics["transit"], specifics["push_delay_max"]
        self.server = HttpServer(self.serve)
        self.streams = set()
        self.ready = False  # before the run begins calls are sent back with `limit`
        self.break_call = None  # a function (orders) -> None, "reset", "silent" or "garbled"
        self.forget()

    def forget(self):
        """The assigner has started anew: its tables, withdrawals and queue are gone."""
        self.tables, self.bound, self.withdrawn, self.gates = {}, {}, set(), {}
        self.queue, self.queued_lines, self.sending = collections.deque(), 0.0, False
        self.life = getattr(self, "life", 0) + 1
        self.last_arrival = {}

    async def serve(self, reader, writer):
        if len(self.server.writers) > CONNECTIONS_PER_ADDRESS:
            writer.transport.abort()
            return
        while True:
            async with asyncio.timeout(IDLE_CLOSE):
                method, target, body = await read_request(reader)
            if method == "GET" and target == "/v1/events":
                await self.serve_events(reader, writer)
                return
            form = dict(urllib.parse.parse_qsl(body.decode()))
            if form.get("Action") != "ApplyOrders" or "changes" not in form:
                writer.write(self.error("malformed"))
                continue
            if not self.ready:
                writer.write(self.error("limit"))
                continue
            orders = form["changes"].split(";")
            broken = self.break_call(orders) if self.break_call else None
            if broken is None or broken.endswith("+run"):
                taken = self.apply(orders)
            if broken:
                self.platform.note_broken_call(broken)
                if broken.startswith("reset"):
                    writer.transport.abort()
                    return
                if broken.startswith("silent"):
                    await asyncio.sleep(30)
                    return
                writer.write(response(b"<Response><entr", "text/xml"))
                continue
            text = f"<Response><entries><item><taken>{taken}</taken></item></entries></Response>"
            writer.write(response(b'<?xml version="1.0"?>' + text.encode(), "text/xml"))

    def error(self, code):
        text = f"<Response><errors><error><code>{code}</code></error></errors></Response>"
        return response(b'<?xml version="1.0"?>' + text.encode(), "text/xml", "400 Bad Request")

    async def serve_events(self, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for proxy in self.platform.proxies.values():
            if proxy.joined:
                self.write_event(writer, *self.attach_event(proxy))
        self.streams.add(writer)
        further = asyncio.ensure_future(reader.read(1))
        try:
            while not further.done() and not writer.is_closing():
                await asyncio.wait({further}, timeout=KEEP_ALIVE)
                text = b":\n\n"
                writer.write(b"%x\r\n%b\r\n" % (len(text), text))
        finally:
            further.cancel()
            self.streams.discard(writer)
            writer.transport.abort()

    def write_event(self, writer, kind, data):
        text = f"event: {kind}\ndata: {data}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    def attach_event(self, proxy):
        new = int(not proxy.ordered)
        return "attach", f"id={proxy.number}&site={proxy.zone}&rps={proxy.rate:.2f}&new={new}"

    def tell(self, kind, data):
        """Tells an event on all streams."""
        for writer in list(self.streams):
            self.write_event(writer, kind, data)

    def apply(self, orders):
        """Carries out orders up to the first that cannot be used; returns how many were taken."""
        messages, fence, taken = {}, None, 0  # proxy -> its changes
        for order in orders:
            try:
                fence = self.apply_one(order.split(","), messages) or fence
            except (KeyError, ValueError, IndexError):
                self.platform.record.note("refused", order)
                break
            taken += 1
        self.platform.record.note("orders", f"taken={taken}/{len(orders)} {';'.join(orders)}")
        if fence and fence[1]:
            for number, proxy in self.platform.proxies.items():
                if proxy.joined:
                    messages.setdefault(number, [])
        for number, changes in messages.items():
            lines = sum(cost for cost, _ in changes) + self.head + (1 if fence else 0)
            self.enqueue(number, lines, [change for _, change in changes], fence[0] if fence else None)
        self.platform.check_queue(self.queued_lines)
        return taken

    def apply_one(self, words, messages):
        """Carries out one order and adds its changes to the messages; returns (mark, to all) of a fence."""
        proxies = self.platform.proxies
        match words:
            case ["put", table, task, weight]:
                if task not in self.platform.ever_listed or float(weight) < 0:
                    raise ValueError(words)
                lines = self.tables.setdefault(table, {})
                lines.pop(task, None)
                if float(weight):
                    lines[task] = float(weight)
                for number in self.followers(table):
                    messages.setdefault(number, []).append((1, ("line", task, float(weight))))
            case ["wipe", table]:
                self.tables[table] = {}
                for number in self.followers(table):
                    messages.setdefault(number, []).append((1, ("table", {})))
            case ["attach", number, table, _]:
                if not proxies[int(number)].joined:
                    raise ValueError(words)
                self.bound[int(number)] = table
                lines = dict(self.tables.setdefault(table, {}))
                withdrawn = set(self.withdrawn)
                cost = 1 + len(lines) + len(withdrawn & lines.keys())
                messages.setdefault(int(number), []).append((cost, ("bind", lines, withdrawn)))
            case ["eject" | "uneject" as kind, task]:
                if task not in self.platform.ever_listed:
                    raise ValueError(words)
                (self.withdrawn.add if kind == "eject" else self.withdrawn.discard)(task)
                for number, proxy in proxies.items():
                    held = self.tables[self.bound[number]] if number in self.bound else proxy.lines
                    if proxy.joined and task in held:
                        messages.setdefault(number, []).append((1, (kind, task)))
            case ["gate", table, _, level, mode]:
                self.gates[table] = float(level), int(mode)
                for number in self.followers(table):
                    messages.setdefault(number, []).append((1, ("gate",)))
            case ["fence", mark, to_all]:
                return mark, to_all == "1"
            case _:
                raise ValueError(words)
        return None

    def followers(self, table):
        """The joined proxies bound to a table."""
        return [n for n, t in self.bound.items() if t == table and self.platform.proxies[n].joined]

    def enqueue(self, number, lines, changes, mark):
        proxy = self.platform.proxies[number]
        self.queued_lines += lines
        self.queue.append((number, proxy.stream, lines, changes, mark, time.monotonic()))
        self.platform.check_messages(proxy)
        if not self.sending:
            self.sending = True
            asyncio.get_running_loop().create_task(self.send(self.life))

    async def send(self, life):
        """Sends the queued messages one after another, at the channel's pace."""
        loop, free_at = asyncio.get_running_loop(), time.monotonic()
        while life == self.life and self.queue:
            number, stream, lines, changes, mark, ordered_at = self.queue[0]
            free_at = max(free_at, time.monotonic() - 0.01) + lines / self.rate
            await asyncio.sleep(max(0.0, free_at - time.monotonic()))
            if life != self.life:
                return
            if not self.queue or self.queue[0][5] != ordered_at or self.queue[0][0] != number:
                continue  # the stream broke meanwhile
            self.queue.popleft()
            self.queued_lines -= lines
            delay = min(self.transit * self.platform.random.uniform(0.5, 1.5), self.transit_most)
            # Messages to one proxy arrive in order: never two at the same moment.
            at = max(loop.time() + delay, self.last_arrival.get(number, 0.0) + 1e-4)
            self.last_arrival[number] = at
            loop.call_at(at, self.deliver, number, stream, changes, mark, ordered_at, life)
        if life == self.life:
            self.sending = False

    def deliver(self, number, stream, changes, mark, ordered_at, life):
        """A message reaches a proxy, which applies it."""
        proxy = self.platform.proxies[number]
        if life != self.life or not proxy.joined or proxy.stream != stream:
            return
        for change in changes:
            match change:
                case ("bind", lines, withdrawn):
                    proxy.lines, proxy.withdrawn, proxy.ordered = dict(lines), set(withdrawn), True
                case ("table", lines):
                    proxy.lines = dict(lines)
                case ("line", task, weight):
                    proxy.lines.pop(task, None)
                    if weight:
                        proxy.lines[task] = weight
                case ("eject", task):
                    proxy.withdrawn.add(task)
                case ("uneject", task):
                    proxy.withdrawn.discard(task)
        if changes:
            usable = ",".join(sorted(proxy.usable())) or "NONE"
            self.platform.record.note("applied", f"proxy={number} may call {usable}")
        if mark is not None:
            elapsed = (time.monotonic() - ordered_at) * 1_000
            self.tell("done", f"id={number}&seq={mark}&ms={elapsed:.1f}")

    def drop_stream(self, number):
        """A proxy's stream breaks: what waits for it is lost, and it is bound to no table."""
        self.bound.pop(number, None)
        kept = collections.deque()
        for item in self.queue:
            if item[0] == number:
                self.queued_lines -= item[2]
            else:
                kept.append(item)
        self.queue = kept


def end_with_parent():
    """Has the kernel end this process when the script dies, even by SIGKILL; runs in the child."""
    ctypes.CDLL(None).prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Assigner:
    """The program under review, as a process."""

    def __init__(self, platform):
        self.platform, self.process, self.first_answer_at = platform, None, None
        self.port, self.lives, self.ending = free_port(), 0, False
        self.log = open(platform.folder / "assigner.log", "wb")  # noqa: SIM115

    def write_configuration(self, known):
        """Writes the file that ROUTER_CONFIG names; replaces it at once."""
        platform = self.platform
        text = json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{self.port}",
                "discovery": platform.discovery_address(),
                "seed": f"{platform.random.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "store": {"address": platform.relay_address()},
                "known": known,
                "settings": platform.settings,
            }
        )
        path = platform.folder / "config.json"
        (platform.folder / "config.new").write_text(text)
        (platform.folder / "config.new").rename(path)
        return path

    async def start(self, known):
        """Starts a life and waits until it answers a heartbeat."""
        path = self.write_configuration(known)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_DISCOVERY": self.platform.discovery_address(),
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(self.platform.folder),
        }
        self.lives += 1
        self.ending, self.first_answer_at = True, None
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
            preexec_fn=end_with_parent,
        )
        self.ending = False
        self.platform.record.note("start", f"assigner, life {self.lives}")
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise CannotRunError(f"the assigner ended with {self.process.returncode}")
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.write(b"hb\r\n")
                    answer = await reader.readline()
                    writer.close()
                if answer.strip() == b"hb_ok":
                    self.first_answer_at = self.platform.record.now()
                    self.platform.record.note("ready", "hb_ok")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the assigner is not ready in time")

    def send_signal(self, number):
        self.platform.record.note("signal", signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self, number=signal.SIGTERM):
        """A planned end: the signal, and SIGKILL 0.7 s later if it still runs."""
        self.ending = True
        self.send_signal(number)
        try:
            async with asyncio.timeout(0.7):
                code = await self.process.wait()
        except TimeoutError:
            self.process.kill()
            code = await self.process.wait()
        self.platform.record.note("ended", f"assigner, exit code {code}")

    async def close(self):
        if self.process and self.process.returncode is None:
            self.ending = True
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        self.log.close()


class Scenario:
    """The platform of one assigner, and the judge. Subclasses are the cases."""

    name = "scenario"
    length = 30.0  # s
    tasks_count, proxies_count, calls_per_s = 12, 9, 90.0
    latency = (0.05, 0.12)  # s: of a call
    noise = (0.7, 1.3)  # on the latency of a call
    rules = ("bare", "drain", "queue", "messages", "crash")

    def __init__(self, folder, record_path, trouble, seed=1):
        self.folder, self.with_trouble = pathlib.Path(folder), trouble
        self.random = random.Random(seed)
        self.settings = copy.deepcopy(SETTINGS)
        self.change_settings(self.settings)
        self.record = Record(record_path)
        self.tasks, self.proxies = {}, {}
        self.ever_listed = set()
        self.violations = []
        self.told = {}  # task -> its entry as told to the present life
        self.told_left_at = {}  # task -> when the present life was told that it drains or is gone
        self.pauses = []  # (start, end) in which the time limits wait
        self.sums = {}  # (task, zone) -> [tries, failures, summed latency, since]
        self.route_sums = {}
        self.background = set()
        self.discovery, self.relay = Discovery(self), Relay(self)
        self.assigner = Assigner(self)
        self.counts = collections.Counter()

    # To be given by a case

    def change_settings(self, settings):
        """Changes single figures of the settings."""

    def make_tasks(self):
        """Adds the tasks."""
        zones = self.settings["azs"]
        for k in range(self.tasks_count):
            self.add_task(f"s-{k + 1:02d}", zones[k % len(zones)])

    async def trouble(self):
        """The disruption; runs from the moment that the clients come."""

    async def calm(self):
        """What happens in both forms, with and without the disruption."""

    def known(self):
        """The list as the assigner last had it."""
        return {
            "generation": self.discovery.generation,
            "reset": True,
            "instances": list(self.discovery.entries.values()),
        }

    def discovery_address(self):
        return self.discovery.server.address

    def relay_address(self):
        return self.relay.server.address

    # The platform

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.on_background_done)
        return task

    def on_background_done(self, task):
        self.background.discard(task)
        if not task.cancelled() and task.exception():
            self.failure = task.exception()

    failure = None

    def add_task(self, name, zone, started_wall=0.0, listed=True):
        kind = self.random.choice(self.settings["models"])
        task = Task(self, name, zone, kind, self.random.uniform(*self.latency), started_wall)
        self.tasks[name] = task
        task.server.port = free_port()
        if listed:
            self.list_first(name)
        return task

    def list_first(self, name):
        """The entry stands in the list before the run."""
        self.discovery.entries[name] = self.discovery.entry(name)
        self.discovery.changed_at[name] = self.discovery.generation
        self.ever_listed.add(name)

    def publish(self, *changes):
        self.ever_listed |= {name for name, _ in changes}
        self.discovery.publish(*changes)

    def on_told(self, entries, whole):
        """Discovery has written a list to the assigner."""
        now = self.record.now()
        if whole:
            names = {entry["instanceId"] for entry in entries}
            for name in [name for name in self.told if name not in names]:
                self.told[name] = self.told[name] | {"lifecycle": "left"}
                self.told_left_at.setdefault(name, now)
        for entry in entries:
            name, former = entry["instanceId"], self.told.get(entry["instanceId"])
            self.told[name] = entry
            if entry["lifecycle"] == "active":
                self.told_left_at.pop(name, None)
            else:
                self.told_left_at.setdefault(name, now)
            if not former or former["lifecycle"] != entry["lifecycle"]:
                self.record.note("told", f"{name} {entry['lifecycle']}")

    def count_as_told_at(self, name, at):
        """A drain that the agent holds counts as told from a moment on, written or not."""
        self.told_left_at.setdefault(name, at)
        self.record.note("held", f"{name} leaving: counts as told at {at:.3f}")

    def note_broken_call(self, kind):
        wait = 0.5 if kind.startswith("reset") else 1.5
        now = self.record.now()
        self.pauses.append((now, now + wait))
        self.record.note("broken", f"call {kind}")

    def waited(self, start, end):
        """How long the time limits waited between two moments."""
        edges = sorted((max(a, start), min(b, end)) for a, b in self.pauses if b > start and a < end)
        total, reached = 0.0, start
        for a, b in edges:
            total += max(0.0, b - max(a, reached))
            reached = max(reached, b)
        return total

    async def join(self, proxy):
        """A proxy's stream comes up."""
        proxy.joined, proxy.joined_at, proxy.stream = True, self.record.now(), proxy.stream + 1
        proxy.bare_since = None
        proxy.message_times.clear()
        self.record.note("attach", f"proxy={proxy.number} new={int(not proxy.ordered)}")
        self.relay.tell(*self.relay.attach_event(proxy))

    async def break_stream(self, proxy, notice=0.0, redial=(0.4, 2.0), back=None):
        """A proxy's stream breaks; it keeps its table and dials again."""
        if not proxy.joined:
            return
        proxy.joined = False
        self.relay.drop_stream(proxy.number)
        self.record.note("detach", f"proxy={proxy.number}")
        await asyncio.sleep(notice)
        self.relay.tell("detach", f"id={proxy.number}")
        await asyncio.sleep(back if back is not None else self.random.uniform(*redial))
        while self.assigner.first_answer_at is None:
            await asyncio.sleep(0.02)
        if not proxy.joined:
            await self.join(proxy)

    async def restart_assigner(self, downtime, number=signal.SIGTERM, known=None):
        """A planned restart: the proxies keep their tables and dial again."""
        known = known or self.known()
        await self.assigner.end(number)
        self.assigner.first_answer_at = None
        self.relay.forget()
        self.told, self.told_left_at = {}, {}
        for proxy in self.proxies.values():
            if proxy.joined:
                self.spawn(self.break_stream(proxy, 0.0, (0.39, 2.0)))
        await asyncio.sleep(downtime)
        await self.assigner.start(known)

    async def call_loop(self, proxy):
        """The calls of a proxy's clients."""
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / proxy.rate)
            self.send_call(proxy)

    def send_call(self, proxy):
        name, now = proxy.pick(), self.record.now()
        route = self.random.choice(self.settings["categories"])["name"]
        self.route_sums[proxy.number, route] = self.route_sums.get((proxy.number, route), 0) + 1
        if name is None:
            self.counts["refused"] += 1
            self.record.note("refused", f"call at proxy={proxy.number}: no line to pick")
            return
        self.check_drain(proxy, name, now)
        task = self.tasks[name]
        ok = task.up and not task.mute
        self.counts["answered" if ok else "failed"] += 1
        proxy.failures[name] = 0 if ok else proxy.failures[name] + 1
        strikes = self.settings["specifics"]["strikes"]
        if strikes and proxy.failures[name] >= strikes:
            proxy.failures[name], proxy.avoided_until[name] = 0, now + 5.0
        sums = self.sums.setdefault((name, proxy.zone), [0, 0, 0.0])
        sums[0] += 1
        sums[1] += not ok
        sums[2] += task.latency * self.random.uniform(*self.noise) * ok

    async def collector(self, zone):
        """The collector of a zone: hands on the sums, late."""
        period = self.settings["specifics"]["report_every"]
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.assigner.port)
                writer.write(f"telemetry site={zone}\r\n".encode())
                while not reader.at_eof() and not writer.is_closing():
                    await asyncio.sleep(period)
                    lines = self.report_lines(zone, period)
                    await asyncio.sleep(0.6)
                    for line in lines:
                        writer.write(line.encode() + b"\r\n")
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.3)

    def report_lines(self, zone, period):
        """The report lines of a zone since the last ones."""
        over = (period + 0.6) * 1_000
        lines = []
        for key in [key for key in self.sums if key[1] == zone]:
            tries, failed, latency = self.sums.pop(key)
            good = tries - failed
            mean = latency / good * 1_000 if good else 0.0
            lines.append(
                f"upstream_stats site={zone} target={key[0]} count={tries} fail={failed} "
                f"mean={mean:.1f} over={over:.1f} util=inflight:{tries * self.tasks[key[0]].latency:.2f}"
            )
        for key in [key for key in self.route_sums if self.proxies[key[0]].zone == zone]:
            count = self.route_sums.pop(key)
            lines.append(f"client_stats id={key[0]} lane={key[1]} count={count} fail=0 over={over:.1f}")
        return lines

    # The judge

    def break_rule(self, rule, text):
        if rule in self.rules and not any(
            v[0] == rule and v[1] == text.split(":")[0] for v in self.violations
        ):
            self.violations.append((rule, text.split(":")[0], text))
            self.record.note("BROKEN", f"{rule}: {text}")

    def limit_starts(self):
        """The moment before which no time limit of the present life starts; None: it has not answered."""
        first = self.assigner.first_answer_at
        return None if first is None else first + START_SLACK

    def check_drain(self, proxy, name, now):
        """Drains are kept: a joined proxy sends nothing to a task past the grace."""
        told, starts = self.told_left_at.get(name), self.limit_starts()
        if told is None or starts is None or not proxy.joined:
            return
        since = max(told, proxy.joined_at, starts)
        grace = self.settings["contract"]["stop_sending_within"] + SOCKET_SLACK
        late = now - since - self.waited(since, now) - grace
        if late > 0:
            self.record.note("late", f"proxy={proxy.number} sent to {name} {late:.2f} s past the grace")
            self.break_rule("drain", f"{name}: proxy {proxy.number} sent {late:.2f} s past the grace")

    def warm_ready_task(self):
        """Whether the list told to the present life shows a ready task that is no longer cold."""
        cold_after = time.time() - self.settings["contract"]["cold"]
        return any(
            entry["lifecycle"] == "active" and entry["startedAtMs"] / 1_000 <= cold_after
            for entry in self.told.values()
        )

    async def watch_rules(self):
        while True:
            await asyncio.sleep(0.02)
            now, starts, warm = self.record.now(), self.limit_starts(), self.warm_ready_task()
            process = self.assigner.process
            if process and process.returncode is not None and not self.assigner.ending:
                self.break_rule("crash", f"assigner: it ended with exit code {process.returncode}")
                self.assigner.ending = True
            for proxy in self.proxies.values():
                if not proxy.joined or proxy.usable() or not warm or starts is None:
                    if proxy.bare_since is not None:
                        self.record.note(
                            "bare", f"proxy={proxy.number} was without a line, {now - proxy.bare_since:.2f} s"
                        )
                    proxy.bare_since = None
                    continue
                proxy.bare_since = now if proxy.bare_since is None else proxy.bare_since
                since = max(proxy.bare_since, starts)
                limit = self.settings["specifics"]["bare"] + SOCKET_SLACK
                if now - since - self.waited(since, now) > limit:
                    self.break_rule("bare", f"proxy {proxy.number}: no line to pick for over {limit:.1f} s")

    def check_queue(self, lines):
        self.counts["most_queued"] = max(self.counts["most_queued"], int(lines))
        if lines > self.settings["specifics"]["queue_cap"]:
            self.break_rule("queue", f"channel: {lines:.0f} lines wait")

    def check_messages(self, proxy):
        allowed, span = (self.settings["specifics"][k] for k in ("pushes_allowed", "counted_over"))
        now = self.record.now()
        proxy.message_times.append(now)
        while proxy.message_times[0] <= now - span:
            proxy.message_times.popleft()
        count = len(proxy.message_times)
        self.counts["most_messages"] = max(self.counts["most_messages"], count)
        if allowed and count > allowed:
            self.break_rule("messages", f"proxy {proxy.number}: {count} messages within {span:g} s")

    # The run

    async def play_to_the_end(self):
        """Plays within the limit of a case; a signal to end ends it, and all that it started."""
        playing = asyncio.ensure_future(self.play())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        async with asyncio.timeout(RUN_LIMIT):
            await playing

    async def play(self):
        try:
            await self.begin()
            end = self.record.now() + self.length
            self.spawn(self.calm())
            if self.with_trouble:
                self.spawn(self.trouble())
            while self.record.now() < end:
                if self.failure:
                    raise self.failure
                await asyncio.sleep(0.05)
        finally:
            for task in list(self.background):
                task.cancel()
            await self.assigner.close()
            for server in (
                self.discovery.server,
                self.relay.server,
                *(t.server for t in self.tasks.values()),
            ):
                server.close()

    async def begin(self):
        """Opens the partners, starts the assigner; then the proxies join and the clients come."""
        await self.discovery.server.open()
        await self.relay.server.open()
        self.make_tasks()
        for task in self.tasks.values():
            if task.up:
                await task.server.open()
        zones = self.settings["azs"]
        rate = self.calls_per_s / self.proxies_count
        for number in range(self.proxies_count):
            proxy = Proxy(self, number, zones[number % len(zones)], rate * self.random.uniform(0.5, 1.5))
            self.proxies[number] = proxy
            drawn = self.first_table(proxy)
            proxy.lines = dict.fromkeys(drawn, 1.0)
        self.spawn(self.watch_rules())
        await self.assigner.start(self.known())
        self.relay.ready = True
        for proxy in self.proxies.values():
            self.spawn(self.join_later(proxy))
            self.spawn(self.call_loop(proxy))
        for zone in zones:
            self.spawn(self.collector(zone))

    def first_table(self, proxy):
        """The tasks of a proxy's standing table, drawn from the list in its zone."""
        listed = list(self.discovery.entries)
        near = [name for name in listed if self.tasks[name].zone == proxy.zone]
        pool = near if len(near) >= 3 else listed
        count = min(self.settings["specifics"]["initial_set"], len(pool))
        return self.random.sample(pool, count)

    async def join_later(self, proxy):
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        await self.join(proxy)


def main(case, folder, trouble=None, seed=None):
    """Plays a case; returns its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0" if trouble is None else trouble
    seed = int(os.environ.get("SEED", "1")) if seed is None else seed
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # connections end under it on purpose
    sys.unraisablehook = lambda _: None  # streams that are collected after the event loop has ended
    with tempfile.TemporaryDirectory() as temporary:
        try:
            scenario = case(temporary, pathlib.Path(folder) / "record.txt", trouble, seed)
            asyncio.run(scenario.play_to_the_end())
        except BaseException as error:  # whatever it is, it is no verdict on the assigner
            print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
            return 2
        scenario.record.note("counts", " ".join(f"{k}={v}" for k, v in sorted(scenario.counts.items())))
        with contextlib.suppress(OSError):
            log = (pathlib.Path(temporary) / "assigner.log").read_text(errors="replace")
            for line in log.splitlines():
                scenario.record.file.write(f"log {line}\n")
        scenario.record.file.close()
    for rule, _, text in scenario.violations[:5]:
        print(f"{rule}: {text}")
    print("BROKEN" if scenario.violations else "held")
    return 1 if scenario.violations else 0
