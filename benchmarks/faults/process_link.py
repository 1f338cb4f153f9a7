"""Assigners as processes of `serve` over loopback, on a fleet that runs in real time."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from benchmarks.faults import day as days
from benchmarks.faults import settings
from benchmarks.faults.fleet import AssignerLink, FleetModel
from benchmarks.faults.judge import Violation
from benchmarks.faults.peer_servers import (
    AgentProtocol,
    RelayProtocol,
    TaskPorts,
    assigner_address,
    format_event,
)
from benchmarks.scaling import http_server
from benchmarks.scaling.assigner_process import ROOT, SERVE_COMMAND
from benchmarks.scaling.traffic import LinkCounter
from garnetpaddle import interface as gp

ADVANCE_INTERVAL_S = 0.002  # between advances of the scheduler
HEARTBEAT_INTERVAL_S = 0.02  # between attempts to connect at a start
CROWD_PERIOD_S, MAX_CROWD = 0.25, 60  # a few strangers come each period; the eldest leave
START_LIMIT_S = 30.0  # from a start to the first answer
KEEPALIVE_INTERVAL_S = 1.0
EXIT_LIMIT_S = 3.0  # from SIGTERM to SIGKILL
HEARTBEAT_PERIOD_S = 0.5  # between heartbeats on the connection that stays open until the process ends
ANSWER_LIMIT_S = 1.0  # within which a heartbeat has to be answered
SOCKETS = 1_024
TENTHS_OF_MS_PER_SECOND = 10_000
LIFECYCLES = {"ready": "active", "draining": "leaving", "gone": "left"}
RETRY_MODES = {"0": "none", "1": "on proof", "2": "once"}


@dataclass(slots=True)
class LinkUsage:
    """What the processes of one assigner took; of several lives the worst."""

    seconds_to_ready: list = field(default_factory=list)  # from each start to the first answer
    worst_answer_s: float = 0.0  # to a heartbeat
    worst_end_s: float = 0.0  # from a signal to the exit
    peak_mb: float = 0.0
    descriptors: int = 0


async def read_answer(reader):
    """The next line; nothing if it does not come in time or the connection ends."""
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            return await reader.readline()
    except (OSError, TimeoutError):
        return b""


class InvalidOrderError(ValueError):
    """The relay cannot read or use an order."""


class Environment:
    """What the links of one run share: a directory, the task ports, the clock's offset to Unix time, and
    whether a crowd of strangers connects to the assigners."""

    def __init__(self, directory, crowd):
        self.directory, self.crowd, self.task_ports = directory, crowd, None
        self.epoch_ms = None  # Unix time at the scheduler's time 0

    def unix_ms(self, at):
        """A time of the scheduler as Unix time in ms; 0 for None."""
        return 0 if at is None else round(self.epoch_ms + at / 10)


class ProcessLink(AssignerLink):
    """An assigner's process with its relay, its discovery agent and its collectors."""

    def __init__(self, fleet, rank, environment):
        super().__init__(fleet, rank)
        self.environment, self.process, self.output = environment, None, None
        self.address = assigner_address(rank)
        self.streams, self.collectors, self.background = [], {}, set()
        self.generation, self.changes, self.watches = 1, [], []
        self.usage = LinkUsage()

    async def open(self):
        """Opens the relay and the agent, which outlive the process."""
        counter = LinkCounter()
        self.relay, self.relay_port = await http_server.listen(lambda: RelayProtocol(counter, self))
        self.agent, self.agent_port = await http_server.listen(lambda: AgentProtocol(counter, self))
        path = self.environment.directory / f"n{self.rank + 1}.log"
        self.output = open(path, "ab")  # noqa: SIM115 (closed in `close`)
        self.run_in_background(self.send_keepalives())

    def run_in_background(self, coroutine):
        """Runs a coroutine until it ends or the link is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    # The process

    def configuration(self):
        """The content of the file that ROUTER_CONFIG names."""
        host, port = self.address
        return {
            "name": f"n{self.rank + 1}",
            "listen": f"{host}:{port}",
            "discovery": f"127.0.0.1:{self.agent_port}",
            "seed": f"{self.fleet.day.seed * 1_000 + self.rank * 100 + self.life:016x}",
            "limits": {"sockets": SOCKETS},
            "store": {"address": f"127.0.0.1:{self.relay_port}"},
            "known": {"generation": self.generation, "reset": True, "instances": self.list_entries()},
            "settings": settings.settings(self.fleet.day, self.rank),
        }

    def start(self):
        path = self.environment.directory / f"n{self.rank + 1}.json"
        path.write_text(json.dumps(self.configuration()))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        self.process = subprocess.Popen(
            SERVE_COMMAND,
            env=environment | {"ROUTER_CONFIG": str(path)},
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self.output,
            stderr=subprocess.STDOUT,
        )
        self.run_in_background(self.wait_until_up(self.process, time.monotonic()))

    async def wait_until_up(self, process, started_at):
        """Waits for the first answer to a heartbeat, then connects the collectors."""
        while time.monotonic() < started_at + START_LIMIT_S and process.poll() is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"hb\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"hb_ok\r\n":
                    break
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        if process is not self.process:
            return
        if process.poll() is not None:
            self.add_crash(f"ended with {process.returncode} at its start")
            return
        self.usage.seconds_to_ready.append(time.monotonic() - started_at)
        self.on_up()
        self.run_in_background(self.send_heartbeats(process))
        if self.environment.crowd:
            self.run_in_background(self.send_crowd(process))
        for zone in days.ZONES:
            _, writer = await asyncio.open_connection(*self.address)
            writer.write(f"telemetry site={zone}\r\n".encode())
            self.collectors[zone] = writer

    async def send_heartbeats(self, process):
        """Sends heartbeats on one connection until the process is stopped; each has to be answered."""
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            await self.exchange_heartbeats(process, reader, writer)
        except OSError:
            pass
        finally:
            writer.transport.abort()

    async def exchange_heartbeats(self, process, reader, writer):
        """Sends the heartbeats and reads their answers."""
        while process is self.process:
            sent_at = time.monotonic()
            writer.write(b"hb\r\n")
            answer = await read_answer(reader)
            if process is not self.process:
                return
            if answer != b"hb_ok\r\n":
                self.add_violation("answer", f"a heartbeat got {answer!r}")
                return
            seconds = time.monotonic() - sent_at
            self.usage.worst_answer_s = max(self.usage.worst_answer_s, seconds)
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def send_crowd(self, process):
        """Connects strangers that say nothing, half a line or nonsense, until the process is stopped."""
        texts = (b"", b"telemetry si", b"GET / HTTP/1.1\r\n\r\n", b"hb\r\n" * 20, b"\0" * 5_000)
        writers = []
        try:
            while process is self.process:
                with contextlib.suppress(OSError):
                    for text in texts:
                        _, writer = await asyncio.open_connection(*self.address)
                        writer.write(text)
                        writers.append(writer)
                while len(writers) > MAX_CROWD:
                    writers.pop(0).transport.abort()
                await asyncio.sleep(CROWD_PERIOD_S)
        finally:
            for writer in writers:
                writer.transport.abort()

    def measure(self, process):
        """Records what a process holds before it is stopped."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
            peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
            self.usage.peak_mb = max(self.usage.peak_mb, int(peak.split()[1]) / 1_024)
            self.usage.descriptors = max(self.usage.descriptors, descriptors)

    def stop(self, signal_name):
        process, self.process = self.process, None
        self.measure(process)
        process.send_signal(signal.Signals[signal_name])
        self.run_in_background(self.wait_for_exit(process, signal_name))
        self.close_collectors()

    def close_collectors(self):
        for writer in self.collectors.values():
            writer.transport.abort()
        self.collectors = {}

    async def wait_for_exit(self, process, signal_name):
        """Checks that SIGTERM ends the process by itself with exit code 0."""
        signalled_at = time.monotonic()
        deadline = signalled_at + EXIT_LIMIT_S
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        if process.poll() is None:
            process.kill()
            self.add_crash(f"did not end within {EXIT_LIMIT_S:g} s of {signal_name}")
        elif signal_name == "SIGTERM" and process.returncode:
            self.add_crash(f"ended with {process.returncode} after SIGTERM")
        seconds = time.monotonic() - signalled_at
        self.usage.worst_end_s = max(self.usage.worst_end_s, seconds)

    def check_alive(self):
        """Records a crash if the process has ended by itself."""
        if self.process and self.process.poll() is not None:
            self.add_crash(f"ended by itself with {self.process.returncode}")
            self.process = None

    def add_crash(self, why):
        """Records a crash."""
        self.add_violation("crash", why)

    def add_violation(self, rule, why):
        """Records a broken rule of this assigner."""
        now = self.fleet.scheduler.now
        self.fleet.judge.violations.append(Violation(rule, now, f"n{self.rank + 1}", why))

    async def close(self):
        """Ends the process and all servers."""
        process, self.process = self.process, None
        if process and process.poll() is None:
            self.measure(process)
            process.kill()
            process.wait()
        for task in self.background:
            task.cancel()
        self.close_collectors()
        self.relay.close()
        self.agent.close()
        self.output.close()

    # Discovery

    def list_entries(self, names=None):
        """Entries of the list as the agent serves them: of these names, or of all tasks that are not gone."""
        if names is None:
            names = [name for name, entry in self.told.items() if entry.state != "gone"]
        return [self.list_entry(self.told[name]) for name in names]

    def list_entry(self, entry):
        """One entry of the list in discovery's JSON form."""
        spec = self.fleet.nodes[entry.name]
        return {
            "instanceId": entry.name,
            "hostPort": self.environment.task_ports.addresses[entry.name],
            "zone": spec.zone,
            "machineType": spec.kind.name,
            "cell": 0,
            "lifecycle": LIFECYCLES[entry.state],
            "weight": 1.0,
            "startedAtMs": self.environment.unix_ms(entry.started_at),
        }

    def list_body(self, since):
        """The agent's answer: the whole list, or the entries that changed after a generation."""
        if since is None:
            instances = self.list_entries()
        else:
            instances = self.list_entries(dict.fromkeys(name for at, name in self.changes if at > since))
        body = {"generation": self.generation, "reset": since is None, "instances": instances}
        return json.dumps(body).encode()

    def hear(self, entries):
        self.generation += 1
        self.changes += [(self.generation, entry.name) for entry in entries]
        super().hear(entries)
        watches, self.watches = self.watches, []
        for wake in watches:
            wake()

    def tell_list(self, entries):
        """The agent has answered the watches already."""

    # Collectors

    def tell_reports(self, task_reports, route_reports):
        lines = {zone: [] for zone in self.collectors}
        for task, zone, sums, span in task_reports:
            lines.get(zone, []).append(
                f"upstream_stats site={zone} target={task} count={sums.tries} fail={sums.failures} "
                f"mean={sums.mean() / 10:.1f} over={span / 10:.1f}"
            )
        for proxy, route, counts, span in route_reports:
            zone = self.fleet.proxies[proxy].zone
            name = self.fleet.day.routes[route].name
            lines.get(zone, []).append(
                f"client_stats id={proxy} lane={name} count={counts.calls} fail={counts.unanswered} "
                f"over={span / 10:.1f}"
            )
        for zone, writer in self.collectors.items():
            if lines[zone] and not writer.is_closing():
                writer.write("".join(line + "\r\n" for line in lines[zone]).encode())

    # The relay

    async def send_keepalives(self):
        """Sends a sign of life on the event streams, forever."""
        while True:
            await asyncio.sleep(KEEPALIVE_INTERVAL_S)
            self.send_event(b":\n\n")

    def send_event(self, event):
        """Writes an event to the open event streams."""
        for transport in self.streams:
            transport.write(b"%x\r\n%b\r\n" % (len(event), event))

    def attach_event(self, proxy, call_rate):
        """The event that tells of a joined proxy."""
        fields = f"id={proxy.number}&site={proxy.zone}&rps={call_rate:.2f}&new={int(not proxy.has_table)}"
        return format_event("attach", fields)

    def add_stream(self, transport):
        """An event stream opens: it starts with the joined proxies."""
        self.streams.append(transport)
        for number, proxy in self.members.items():
            self.send_event(self.attach_event(proxy, self.fleet.call_rate(number)))

    def tell_joined(self, proxy, call_rate):
        self.send_event(self.attach_event(proxy, call_rate))

    def tell_left(self, number):
        self.send_event(format_event("detach", f"id={number}"))

    def on_orders_applied(self, number, mark, elapsed):
        self.send_event(format_event("done", f"id={number}&seq={mark}&ms={elapsed / 10:.1f}"))

    def apply_orders(self, body):
        """Carries out a call's orders up to the first that cannot be used; returns how many were taken."""
        orders = []
        for text in parse_qs(body.decode())["changes"][0].split(";"):
            try:
                orders.append(self.parse_order(text.split(",")))
            except InvalidOrderError:
                break
        self.channel.send(orders)
        return len(orders)

    def parse_order(self, fields):
        """An order of the wire as the interface's order."""
        match fields:
            case ["put", table, task, weight] if task in self.fleet.nodes:
                return gp.SetWeight(int(table), task, float(weight))
            case ["attach", proxy, table, "*"] if int(proxy) in self.members:
                return gp.BindProxy(int(proxy), int(table))
            case ["eject" | "uneject", task] if task in self.fleet.nodes:
                return gp.WithdrawTask(task, fields[0] == "eject")
            case ["gate", table, _, level, mode]:
                routes = tuple(range(len(self.fleet.day.routes)))
                return gp.SetAdmission(int(table), routes, float(level), RETRY_MODES[mode])
            case ["fence", mark, to_all]:
                return gp.RequestAcknowledgement(int(mark), to_all == "1")
        raise InvalidOrderError(fields)


async def play(day, directory, crowd=False):
    """Plays a day with processes in real time; returns the finished FleetModel.

    directory: for their logs. crowd: strangers connect to the assigners all day."""
    environment = Environment(directory, crowd)
    fleet = FleetModel(day, lambda fleet, rank: ProcessLink(fleet, rank, environment))
    environment.task_ports = TaskPorts(fleet.nodes)
    await environment.task_ports.open()
    for link in fleet.links:
        await link.open()
    environment.epoch_ms = time.time() * 1_000
    started_at = time.monotonic()
    fleet.prepare()
    try:
        while fleet.scheduler.now < fleet.end():
            elapsed = int((time.monotonic() - started_at) * TENTHS_OF_MS_PER_SECOND)
            fleet.scheduler.run(min(elapsed, fleet.end()))
            environment.task_ports.update()
            for link in fleet.links:
                link.check_alive()
            await asyncio.sleep(ADVANCE_INTERVAL_S)
    finally:
        for link in fleet.links:
            await link.close()
        environment.task_ports.close()
    return fleet
