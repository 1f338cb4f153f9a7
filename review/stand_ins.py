"""Stand-ins of the platform for the cases: discovery, relay with proxies, tasks, collectors and calls.

They follow the protocol page. Calls are not sent on sockets: a proxy here is an object that holds a table and
counts what it sends. Everything listens on 127.0.0.1, on free ports.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from urllib.parse import parse_qs

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
TRAFFIC_TICK_S = 0.05
KEEPALIVE_S = 1.0
AVOIDED_S = 5.0
READY_LIMIT_S = 30.0
PORT_RANGE = (20_000, 30_000)  # below the ports that the kernel gives to outgoing connections


class NotRunError(Exception):
    """The case could not run."""


@dataclass
class Task:
    """A task of the fleet. error_share: of its calls that it fails at once."""

    name: str
    zone: str
    kind: str
    latency_ms: float
    error_share: float = 0.0
    lifecycle: str = "active"
    started_at_ms: float = 0.0  # 0: long ago
    gone: bool = False  # its process has ended, and the list does not name it
    port: int = 0


@dataclass
class TrySums:
    """Tries of the proxies of one zone at a task since the last report."""

    count: int = 0
    fail: int = 0
    latency_ms: float = 0.0


@dataclass
class Proxy:
    """A proxy: the lines that it holds, the withdrawn tasks, and its smooth weighted round robin."""

    number: int
    zone: str
    lines: dict
    withdrawn: set = field(default_factory=set)
    credit: dict = field(default_factory=dict)
    new: int = 1
    table: int | None = None  # the relay's binding
    failures: dict = field(default_factory=dict)  # task -> its own failed tries in a row
    avoided_until: dict = field(default_factory=dict)

    def candidates(self, tasks, own_zone):
        """The lines that it may pick for a class."""
        return [
            name
            for name in self.lines
            if name not in self.withdrawn and (not own_zone or tasks[name].zone == self.zone)
        ]

    def note_answer(self, name, failed, strikes):
        """Keeps away from a task for a while after so many of its own failures in a row."""
        self.failures[name] = self.failures.get(name, 0) + 1 if failed else 0
        if strikes and self.failures[name] >= strikes:
            self.failures[name], self.avoided_until[name] = 0, time.monotonic() + AVOIDED_S

    def pick(self, names):
        """Evenly by weight, among those that it does not avoid if there are any."""
        now = time.monotonic()
        names = [name for name in names if self.avoided_until.get(name, 0.0) <= now] or names
        total = sum(self.lines[name] for name in names)
        for name in names:
            self.credit[name] = self.credit.get(name, 0.0) + self.lines[name]
        best = max(names, key=lambda name: self.credit[name])
        self.credit[best] -= total
        return best


@dataclass
class Fleet:
    """The parts of a deployment that a case chooses."""

    tasks: dict
    proxies: dict
    settings: dict
    calls_per_s: float
    util: bool = False  # whether load reports hold `util`


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file, self.started_at = open(path, "w"), time.monotonic()  # noqa: SIM115

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:8.3f}  {text}\n")
        self.file.flush()


async def read_request(reader):
    """The target and the body of one HTTP request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    size = re.search(r"content-length: *(\d+)", head.lower())
    body = await reader.readexactly(int(size[1])) if size else b""
    return head.split()[1], body.decode()


def write_response(writer, body, status="200 OK", kind="application/json"):
    head = f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write((head + body).encode())


class Platform:
    """The platform of one assigner."""

    def __init__(self, fleet, record, seed):
        self.fleet, self.record, self.random = fleet, record, random.Random(seed)
        self.servers, self.jobs, self.writers = [], [], set()
        self.generation, self.changed, self.life = 1, asyncio.Event(), 0
        self.tables, self.streams = {}, []
        self.channel_free_at = 0.0  # when the channel has sent all that waits
        self.sums, self.client_counts, self.call_debt = {}, {}, 0.0
        self.refused = {}  # class -> calls for which a proxy had no line, since the start
        self.served = {}  # class -> calls answered well
        self.ready_at = None
        self.collectors = {}
        self.change_lines = lambda lines: lines  # a case may spoil the lines of a report

    async def start_again(self, assigner, report_delay):
        """The next life of the assigner after a kill; the proxies join it at once."""
        await assigner.start()
        self.ready_at = time.monotonic()
        self.run(self.run_collectors(assigner.address, report_delay))

    # Servers

    async def listen(self, handler):
        async def handle(reader, writer):
            self.writers.add(writer)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await handler(reader, writer)
            self.writers.discard(writer)
            writer.close()

        server = await asyncio.start_server(handle, HOST, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def open(self):
        self.discovery_port = await self.listen(self.serve_discovery)
        self.relay_port = await self.listen(self.serve_relay)
        for task in self.fleet.tasks.values():
            task.port = await self.listen(lambda r, w, task=task: self.serve_task(task, r, w))
        self.run(self.send_keepalives())

    def run(self, coroutine):
        self.jobs.append(asyncio.get_running_loop().create_task(coroutine))

    async def close(self):
        for job in self.jobs:
            job.cancel()
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for writer in self.collectors.values():
            writer.transport.abort()
        await asyncio.sleep(0.05)

    # Discovery

    def task_list(self, reset):
        instances = [
            {
                "instanceId": task.name,
                "hostPort": f"{HOST}:{task.port}",
                "zone": task.zone,
                "machineType": task.kind,
                "cell": 0,
                "lifecycle": task.lifecycle,
                "weight": 1.0,
                "startedAtMs": round(task.started_at_ms),
            }
            for task in self.fleet.tasks.values()
            if not task.gone
        ]
        return {"generation": self.generation, "reset": reset, "instances": instances}

    def publish_list(self):
        """The list has changed: each watch is answered with the whole list."""
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve_discovery(self, reader, writer):
        while True:
            target, _ = await read_request(reader)
            query = {name: int(value) for name, value in re.findall(r"(\w+)=(\d+)", target)}
            if query.get("since") == self.generation:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), query.get("timeout_ms", 0) / 1_000)
            if query.get("since") == self.generation:
                empty = {"generation": self.generation, "reset": False, "instances": []}
                write_response(writer, json.dumps(empty))
            else:
                write_response(writer, json.dumps(self.task_list(True)))

    # Relay

    def end_streams(self):
        """The assigner's process has died, and its tables, withdrawals and messages with it.

        The proxies keep what they hold."""
        self.life += 1
        self.tables, self.channel_free_at = {}, 0.0
        for proxy in self.fleet.proxies.values():
            proxy.table = None

    async def serve_relay(self, reader, writer):
        while True:
            target, body = await read_request(reader)
            if target == "/v1/events":
                await self.serve_events(reader, writer)
                return
            orders = parse_qs(body)["changes"][0].split(";")
            taken = self.carry_out(orders)
            self.record.write(f"relay took {taken} of {len(orders)}: {' '.join(orders)}")
            text = f"<Response><entries><item><taken>{taken}</taken></item></entries></Response>"
            write_response(writer, '<?xml version="1.0"?>' + text, kind="text/xml")

    async def serve_events(self, reader, writer):
        kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        writer.write(f"HTTP/1.1 200 OK\r\n{kind}\r\n\r\n".encode())
        self.streams.append(writer)
        rate = self.fleet.calls_per_s / len(self.fleet.proxies)
        for proxy in self.fleet.proxies.values():
            fields = f"id={proxy.number}&site={proxy.zone}&rps={rate:.1f}&new={proxy.new}"
            self.write_event(writer, f"event: attach\ndata: {fields}\n\n")
        try:
            await reader.read(1)  # nothing comes on it until it ends
        finally:
            self.streams.remove(writer)

    @staticmethod
    def write_event(writer, text):
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode())

    def send_event(self, text):
        for writer in self.streams:
            self.write_event(writer, text)

    async def send_keepalives(self):
        while True:
            await asyncio.sleep(KEEPALIVE_S)
            self.send_event(":\n\n")

    def carry_out(self, orders):
        """Carries out the orders of one call; returns how many. Each proxy concerned gets one message."""
        messages, fence = {}, None  # proxy -> [lines, changes]
        taken = 0
        for order in orders:
            match order.split(","):
                case ["put", table, task, weight] if task in self.fleet.tasks and float(weight) >= 0:
                    lines = self.tables.setdefault(int(table), {})
                    lines.pop(task, None)
                    if float(weight):
                        lines[task] = float(weight)
                    for proxy in self.fleet.proxies.values():
                        if proxy.table == int(table):
                            change = ("line", task, float(weight))
                            self.add_change(messages, proxy, 1, change)
                case ["attach", number, table, _] if int(number) in self.fleet.proxies:
                    proxy = self.fleet.proxies[int(number)]
                    proxy.table = int(table)
                    snapshot = dict(self.tables.get(int(table), {}))
                    self.add_change(messages, proxy, 1 + len(snapshot), ("table", snapshot))
                case ["eject" | "uneject" as word, task] if task in self.fleet.tasks:
                    for proxy in self.fleet.proxies.values():
                        self.add_change(messages, proxy, 1, (word, task))
                case ["gate", _, _, _, _]:
                    pass
                case ["fence", mark, to_all]:
                    fence = int(mark)
                    if to_all == "1":
                        for proxy in self.fleet.proxies.values():
                            messages.setdefault(proxy.number, [0, []])
                case _:
                    break
            taken += 1
        for number, (lines, changes) in messages.items():
            self.send_message(self.fleet.proxies[number], lines, changes, fence)
        return taken

    @staticmethod
    def add_change(messages, proxy, lines, change):
        message = messages.setdefault(proxy.number, [0, []])
        message[0] += lines
        message[1].append(change)

    def send_message(self, proxy, lines, changes, fence):
        """Sends a message through the channel: one after another, then under way for `transit`."""
        specifics, loop = self.fleet.settings["specifics"], asyncio.get_running_loop()
        cost = lines + specifics["head"] + (fence is not None)
        self.channel_free_at = max(self.channel_free_at, loop.time()) + cost / specifics["egress_per_s"]
        loop.call_at(
            self.channel_free_at + specifics["transit"],
            self.deliver,
            proxy,
            changes,
            fence,
            loop.time(),
            self.life,
        )

    def deliver(self, proxy, changes, fence, sent_at, life):
        if life != self.life:
            return  # lost with the assigner that wrote it
        for change in changes:
            match change:
                case ("line", task, weight):
                    proxy.lines.pop(task, None)
                    if weight:
                        proxy.lines[task] = weight
                case ("table", lines):
                    proxy.lines, proxy.withdrawn, proxy.new = dict(lines), set(), 0
                case ("eject", task):
                    proxy.withdrawn.add(task)
                case ("uneject", task):
                    proxy.withdrawn.discard(task)
        if fence is not None:
            ms = (asyncio.get_running_loop().time() - sent_at) * 1_000
            self.send_event(f"event: done\ndata: id={proxy.number}&seq={fence}&ms={ms:.1f}\n\n")

    # Tasks

    async def serve_task(self, task, reader, writer):
        while True:
            await read_request(reader)
            if task.gone:
                return
            failed = self.random.random() < task.error_share
            load = "TEXT inflight=2" + (", util=0.5" if self.fleet.util else "")
            write_response(writer, load, "503 Service Unavailable" if failed else "200 OK", "text/plain")

    # Calls

    async def run_traffic(self):
        """Calls come evenly; each proxy gets the same, each class its share."""
        categories = self.fleet.settings["categories"]
        own_zone = self.fleet.settings["specifics"]["class_own_zone"]
        numbers, turn, last = list(self.fleet.proxies), 0, time.monotonic()
        while True:
            await asyncio.sleep(TRAFFIC_TICK_S)
            now = time.monotonic()
            self.call_debt += (now - last) * self.fleet.calls_per_s
            last = now
            while self.call_debt >= 1:
                self.call_debt -= 1
                turn += 1
                proxy = self.fleet.proxies[numbers[turn % len(numbers)]]
                kind = self.random.choices(range(len(categories)), [c["share"] for c in categories])[0]
                self.call(proxy, categories[kind]["name"], own_zone[kind])

    def call(self, proxy, kind, own_zone):
        """One call: counted where it is sent, and answered at once for the sums."""
        key = proxy.number, kind
        self.client_counts.setdefault(key, [0, 0])[0] += 1
        names = proxy.candidates(self.fleet.tasks, own_zone)
        if not names:
            self.refused[kind] = self.refused.get(kind, 0) + 1
            self.client_counts[key][1] += 1
            return
        task = self.fleet.tasks[proxy.pick(names)]
        sums = self.sums.setdefault((proxy.zone, task.name), TrySums())
        sums.count += 1
        failed = task.gone or self.random.random() < task.error_share
        proxy.note_answer(task.name, failed, self.fleet.settings["specifics"]["strikes"])
        if failed:
            sums.fail += 1
            self.client_counts[key][1] += 1
        else:
            sums.latency_ms += task.latency_ms * self.random.uniform(0.8, 1.2)
            self.served[kind] = self.served.get(kind, 0) + 1

    # Collectors

    async def run_collectors(self, address, delay):
        """Each zone's collector hands on a report a second, `delay` s late."""
        self.sums, self.client_counts = {}, {}
        for zone in self.fleet.settings["azs"]:
            _, writer = await asyncio.open_connection(*address)
            writer.write(f"telemetry site={zone}\r\n".encode())
            self.collectors[zone] = writer
        life = self.life
        while life == self.life:
            await asyncio.sleep(self.fleet.settings["specifics"]["report_every"])
            sums, self.sums = self.sums, {}
            counts, self.client_counts = self.client_counts, {}
            asyncio.get_running_loop().call_later(delay, self.send_reports, sums, counts)

    def report_lines(self, sums, counts):
        """zone -> its lines."""
        lines = {zone: [] for zone in self.collectors}
        over = self.fleet.settings["specifics"]["report_every"] * 1_000
        for (zone, task), tries in sums.items():
            good = tries.count - tries.fail
            mean = tries.latency_ms / good if good else 0.0
            load = "inflight:2" + (",util:0.50" if self.fleet.util else "")
            lines[zone].append(
                f"upstream_stats site={zone} target={task} count={tries.count} fail={tries.fail} "
                f"mean={mean:.1f} over={over} util={load}"
            )
        for (number, kind), (count, unanswered) in counts.items():
            zone = self.fleet.proxies[number].zone
            lines[zone].append(
                f"client_stats id={number} lane={kind} count={count} fail={unanswered} over={over}"
            )
        return lines

    def send_reports(self, sums, counts):
        for zone, lines in self.change_lines(self.report_lines(sums, counts)).items():
            writer = self.collectors[zone]
            if not writer.transport.is_closing():
                writer.write("".join(line + "\r\n" for line in lines).encode())


def dakar_settings(proxies, own_zone=(False, False, False)):
    """The settings of a small deployment within the ranges of dakar-shared; `share` is the stand-in's own."""
    return {
        "azs": ["pikine", "rufisque", "mbao"],
        "balancers": 1,
        "categories": [
            {
                "name": "bag-status",
                "promise": 1.2,
                "deadline": 4.0,
                "gain": 1.0,
                "effect": "free",
                "group": "all",
                "late_worth": 0.2,
                "window": 5.0,
                "share": 0.43,
            },
            {
                "name": "bag-scan",
                "promise": 1.5,
                "deadline": 4.0,
                "gain": 2.0,
                "effect": "guarded",
                "group": "zone",
                "late_worth": 0.2,
                "window": 2.5,
                "share": 0.40,
            },
            {
                "name": "charge-post",
                "promise": 2.0,
                "deadline": 5.0,
                "gain": 5.0,
                "effect": "single_shot",
                "group": "all",
                "late_worth": 0.1,
                "window": 5.0,
                "share": 0.17,
            },
        ],
        "ceilings": {"conn_idle": 15.0, "connect_timeout": 0.3, "peers": False, "probes": True},
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
        "my_zone": "pikine",
        "quantum": 0.005,
        "rank": 0,
        "reporting": {"columns": ["inflight"], "how": "answers"},
        "specifics": {
            "agents": proxies,
            "bare": 3.1,
            "base_mode": 1,
            "choice": "rotate",
            "class_own_zone": list(own_zone),
            "counted_over": 10.0,
            "egress_per_s": 2000.0,
            "head": 6.0,
            "homed_by_zone": False,
            "initial_set": 6,
            "intake_per_s": 150.0,
            "level_kind": "none",
            "push_delay_max": 0.46,
            "pushes_allowed": 0,
            "queue_cap": 4000.0,
            "ranges": 0,
            "report_every": 1.0,
            "strikes": 8,
            "transit": 0.2,
            "try_factor": 0.8,
            "writers": [False, True, True],
        },
    }


def kochi_settings(proxies):
    """The settings of a small deployment within the ranges of kochi-boards; `share` is the stand-in's own."""
    settings = dakar_settings(proxies)
    names = ("board-read", 1.2, 3.0, 1.0, 0.61), ("pb-upsert", 0.75, 2.0, 2.0, 0.39)
    settings["categories"] = [
        {
            "name": name,
            "promise": promise,
            "deadline": deadline,
            "gain": gain,
            "effect": "free",
            "group": "all",
            "late_worth": 0.1,
            "window": 5.0,
            "share": share,
        }
        for name, promise, deadline, gain, share in names
    ]
    settings["azs"], settings["models"] = ["kakkanad", "edappally", "vyttila"], ["c4"]
    settings["my_zone"] = "kakkanad"
    settings["contract"] |= {
        "cold": 18.0,
        "fall_multiple": 4.0,
        "start_capacity": 0.16,
        "stop_sending_within": 2.0,
    }
    settings["specifics"] |= {
        "class_own_zone": [False, False],
        "egress_per_s": 4500.0,
        "initial_set": 5,
        "intake_per_s": 60.0,
        "level_kind": "fraction",
        "pushes_allowed": 30,
        "queue_cap": 4500.0,
        "report_every": 2.0,
        "strikes": 3,
        "writers": [False, True],
    }
    return settings


def end_with_parent():
    """The kernel kills this process when the script ends, in whatever way (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_port():
    """A free port that no outgoing connection takes meanwhile."""
    for port in random.sample(range(*PORT_RANGE), 200):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port
    raise NotRunError("no free port")


class Assigner:
    """The project's program, started by the `run` line of the deploy file."""

    def __init__(self, platform, record):
        self.platform, self.record, self.process = platform, record, None
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.address = HOST, free_port()
        self.lives, self.known = 0, None  # known: the list as it last had it, if that is not the present one

    def configuration(self):
        host, port = self.address
        return {
            "name": "n1",
            "listen": f"{host}:{port}",
            "discovery": f"{HOST}:{self.platform.discovery_port}",
            "seed": f"{random.getrandbits(64):016x}" if self.lives else "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "store": {"address": f"{HOST}:{self.platform.relay_port}"},
            "known": self.known or self.platform.task_list(True),
            "settings": self.platform.fleet.settings,
        }

    async def start(self):
        """Starts it and waits for its first answer."""
        path, scratch = self.folder / "config.json", self.folder / f"tmp{self.lives}"
        scratch.mkdir()
        path.write_text(json.dumps(self.configuration()))
        self.lives += 1
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "GARNET_"))}
        environment |= {"ROUTER_CONFIG": str(path), "TMPDIR": str(scratch)}
        self.log = open(self.folder / "log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=end_with_parent,
        )
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline and self.process.poll() is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"hb\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if answer == b"hb_ok\r\n":
                    self.record.write("assigner: first hb_ok")
                    return
            await asyncio.sleep(0.05)
        raise NotRunError("the assigner did not become ready")

    def kill(self):
        """Ends it outright; the list that it last had is what its next life knows."""
        self.known = self.platform.task_list(True)
        self.process.kill()
        self.process.wait()
        self.log.close()
        self.platform.end_streams()
        self.record.write("assigner: SIGKILL")

    def exit_code(self):
        """None while it runs."""
        return self.process.poll()

    def logged_errors(self):
        """The events of its log at level error, with the last line of a traceback and no paths."""
        found = []
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            if event := re.search(r"level=error event=(\S+)", line):
                names = re.findall(r"in (\w+)\\n", line)
                cause = re.search(r"(?<=\\n)\w+Error: [^\"\\]*", line)
                found.append(f"{event[1]}: {' > '.join(names[-4:])}: {cause[0] if cause else ''}")
        return found

    def close(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
            self.log.close()  # no harm if it is closed already
        shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.asynccontextmanager
async def deployment(fleet, record, seed, report_delay):
    """Opens the platform, starts the assigner, and ends both on every way out."""
    platform = Platform(fleet, record, seed)
    assigner = None
    try:
        await platform.open()
        assigner = Assigner(platform, record)
        await assigner.start()
        platform.ready_at = time.monotonic()
        platform.run(platform.run_traffic())
        platform.run(platform.run_collectors(assigner.address, report_delay))
        yield platform, assigner
    finally:
        if assigner:
            assigner.close()
        await platform.close()


def run_case(folder, case, limit_s):
    """Runs `case(record, trouble)`, which returns what was broken, and exits with the case's code."""
    record, trouble = Record(folder / "record.txt"), os.environ.get("TROUBLE") != "0"
    record.write(f"trouble: {trouble}")

    async def run():
        task = asyncio.current_task()
        # Handlers that are cancelled at the end are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        broken = asyncio.run(run())
    except (NotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"NOT RUN: {error!r}")
        print(f"not run: {error!r}")
        return EXIT_NOT_RUN
    for text in broken:
        record.write(f"BROKEN: {text}")
        print(f"broken: {text}")
    record.write("end: " + ("broken" if broken else "held"))
    print("broken" if broken else "held")
    return EXIT_BROKEN if broken else EXIT_HELD
