"""The peers' sides of the wires: an assigner's relay and discovery agent, and the ports of the tasks."""

import asyncio
import os
import re

from benchmarks.scaling import http_server
from benchmarks.scaling.traffic import LinkCounter

QUERY_PARAMETER = re.compile(r"(\w+)=(\d+)")
# Ports below those that the kernel gives to outgoing connections: one of these would keep a process that
# starts again from listening.
TASK_PORT, ASSIGNER_PORT = 7_000, 6_000
FIRST_ASSIGNER_HOST = 200  # tasks have the numbers below
EVENTS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def loopback_host(number):
    """A loopback address for this run: each process that plays a day has some of its own."""
    process = os.getpid()
    return f"127.{1 + process // 250 % 250}.{1 + process % 250}.{1 + number}"


def assigner_address(rank):
    """The address at which an assigner of this run listens in all of its lives, as (host, port)."""
    return loopback_host(FIRST_ASSIGNER_HOST + rank), ASSIGNER_PORT


def format_event(kind, fields):
    """An event of the relay's stream."""
    return f"event: {kind}\ndata: {fields}\n\n".encode()


class RelayProtocol(http_server.RequestProtocol):
    """One connection to the relay: calls, or an event stream. link: the ProcessLink of the assigner."""

    def __init__(self, counter, link):
        super().__init__(counter)
        self.link = link

    def request(self, method, target, body):
        if target == "/v1/events":
            self.transport.write(EVENTS_HEAD)
            self.link.add_stream(self.transport)
            return
        broken = self.link.break_call()
        taken = self.link.apply_orders(body) if broken is None or broken.executed else 0
        if broken:
            self.break_answer(broken)
            return
        answer = f"<Response><entries><item><taken>{taken}</taken></item></entries></Response>"
        self.answer(b'<?xml version="1.0"?>' + answer.encode(), "text/xml")

    def break_answer(self, broken):
        """Breaks a call: no answer, one that cannot be read, or the connection ends."""
        if broken.kind == "break":
            self.transport.abort()
        elif broken.kind == "unreadable":
            self.answer(b"<Response><entries>", "text/xml")

    def connection_lost(self, error):
        if self.transport in self.link.streams:
            self.link.streams.remove(self.transport)


class AgentProtocol(http_server.RequestProtocol):
    """One connection to the discovery agent."""

    def __init__(self, counter, link):
        super().__init__(counter)
        self.link, self.timer = link, None

    def request(self, method, target, body):
        query = {word: int(number) for word, number in QUERY_PARAMETER.findall(target)}
        since = query.get("since")
        if since is None or since < self.link.generation:
            return self.answer(self.link.list_body(since))
        timeout = query.get("timeout_ms", 0) / 1_000
        self.timer = asyncio.get_running_loop().call_later(timeout, self.answer_watch, since)
        self.link.watches.append(lambda: self.answer_watch(since))

    def answer_watch(self, since):
        """Answers a watch once: at a change, or at its timeout."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
            self.answer(self.link.list_body(since))


class TaskProtocol(http_server.RequestProtocol):
    """One connection to a task: answers probes as its node's faults let it."""

    def __init__(self, counter, node):
        super().__init__(counter)
        self.node = node

    def request(self, method, target, body):
        node = self.node
        if node.silent or node.paused:
            return
        if node.errors and node.random.random() < max(node.errors.values()):
            self.answer(b"", "text/plain", "503 Service Unavailable")
        else:
            self.answer(b"TEXT", "text/plain")


class TaskPort:
    """A task's port, which listens while the task's process is up."""

    def __init__(self, node, host):
        self.node, self.host, self.server, self.transports = node, host, None, []
        self.counter, self.opening = LinkCounter(), None
        self.started_at = node.started_at  # of the process that listens

    def make_protocol(self):
        protocol = TaskProtocol(self.counter, self.node)
        self.transports.append(protocol)
        return protocol

    async def open(self):
        """Listens."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.make_protocol, self.host, TASK_PORT, backlog=http_server.BACKLOG
        )
        self.opening = None

    def update(self):
        """Opens or closes the port as the node's process starts or ends; a new process opens it anew."""
        if self.server is not None and (not self.node.up or self.node.started_at != self.started_at):
            self.close()
        self.started_at = self.node.started_at
        if self.node.up and self.server is None and self.opening is None:
            self.opening = asyncio.get_running_loop().create_task(self.open())

    def close(self):
        """Stops listening and resets all connections, as when the process ends."""
        if self.server:
            self.server.close()
            self.server = None
        for protocol in self.transports:
            if protocol.transport:
                protocol.transport.abort()
        self.transports = []


class TaskPorts:
    """The ports of all tasks."""

    def __init__(self, nodes):
        self.by_name = {
            name: TaskPort(node, loopback_host(number)) for number, (name, node) in enumerate(nodes.items())
        }
        self.addresses = {name: f"{port.host}:{TASK_PORT}" for name, port in self.by_name.items()}

    async def open(self):
        """Opens all ports."""
        for port in self.by_name.values():
            await port.open()

    def update(self):
        """Follows the nodes' processes."""
        for port in self.by_name.values():
            port.update()

    def close(self):
        """Closes all ports."""
        for port in self.by_name.values():
            port.close()
