"""A fake relay: accepts orders over the real protocol and simulates the channel's line rate.

An order counts as delivered to a proxy once the simulated channel has sent its message. The channel sends
messages one at a time at the line rate of the settings; each costs its lines plus a fixed header cost.
"""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from benchmarks.scaling import http_server, workload

ALL_ROUTES = "*"
KEEPALIVE_INTERVAL_S = 1.0
ANSWER_POLL_INTERVAL_S = 0.02  # between checks for marks that are due
EVENTS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(slots=True)
class RelayTable:
    """Weights by task, the routes with their own level, and the proxies bound to the table."""

    weights: dict = field(default_factory=dict)
    levels: set = field(default_factory=set)
    proxies: set = field(default_factory=set)


@dataclass(slots=True)
class Counts:
    """What the relay has received so far."""

    calls: int = 0
    orders: int = 0
    refused: int = 0  # orders that were malformed or could not be applied
    lines: float = 0.0  # lines handed to the channel
    answers: int = 0  # `done` events


@dataclass(slots=True)
class Withdrawal:
    """Tracks the removal of some tasks from the tables of all proxies that had them."""

    started_at: float
    holders: dict  # proxy -> withdrawn tasks still in its table
    last_at: float = 0.0  # when the latest proxy lost its last withdrawn task


class Channel:
    """A lossless queue that sends lines at a constant rate."""

    def __init__(self, rate):
        self.rate, self.idle_at = rate, 0.0

    def send(self, now, lines):
        """Queues a message; returns the time at which it is sent completely."""
        self.idle_at = max(now, self.idle_at) + lines / self.rate
        return self.idle_at


class FakeRelay:
    """The state behind all connections of one assigner."""

    def __init__(self, calls, events, params, rank, clock=time.monotonic):
        self.calls_counter, self.events_counter, self.clock = calls, events, clock
        self.proxies = {
            proxy: workload.zone_name(k % params.zones)
            for k, proxy in enumerate(workload.proxy_ids(params, rank))
        }
        self.routes = {workload.route_name(k) for k in range(params.routes)}
        self.rate = params.requests / params.proxies
        self.tables, self.bound, self.ejected = {}, {}, set()
        self.counts, self.channel = Counts(), Channel(workload.CHANNEL_LINES_PER_S)
        self.pending_answers, self.event_streams, self.withdrawal = deque(), [], None
        self.first_order_at = self.all_bound_at = None
        self.server = self.port = None

    async def open(self):
        """Starts listening."""
        self.server, self.port = await http_server.listen(lambda: RelayProtocol(self))

    def table(self, number):
        """A table by its number, created empty on first use."""
        return self.tables.setdefault(number, RelayTable())

    def apply_orders(self, changes):
        """Applies the orders of one call up to the first invalid one; returns how many were applied."""
        now, lines, fences, taken = self.clock(), {}, [], 0
        self.first_order_at = self.first_order_at or now
        for order in changes:
            try:
                self.apply_order(order.split(","), lines, fences)
            except (ValueError, KeyError, IndexError):
                self.counts.refused += 1
                break
            taken += 1
        self.counts.calls += 1
        self.counts.orders += taken
        self.send_messages(now, lines, fences)
        return taken

    def apply_order(self, fields, lines, fences):
        """Applies one order and charges its lines to each proxy that it reaches."""
        match fields:
            case ["put", number, task, weight]:
                self.set_line(self.table(int(number)), task, float(weight))
                self.charge_lines(lines, self.table(int(number)).proxies)
            case ["wipe", number]:
                self.clear_table(self.table(int(number)))
                self.charge_lines(lines, self.table(int(number)).proxies)
            case ["attach", proxy, number, _]:
                self.bind(int(proxy), int(number), lines)
            case ["eject", task]:
                self.ejected.add(task)
                self.charge_lines(lines, self.proxies)
            case ["uneject", task]:
                self.ejected.discard(task)
                self.charge_lines(lines, self.proxies)
            case ["gate", number, routes, level, _]:
                self.set_level(self.table(int(number)), routes, float(level))
                self.charge_lines(lines, self.table(int(number)).proxies)
            case ["fence", mark, to_all]:
                fences.append((int(mark), to_all == "1"))
            case _:
                raise ValueError(fields)

    @staticmethod
    def set_line(table, task, weight):
        """Sets a task's weight; weight 0 removes the task."""
        if weight < 0:
            raise ValueError(weight)
        table.weights.pop(task, None)
        if weight:
            table.weights[task] = weight

    @staticmethod
    def clear_table(table):
        """Removes all weights and levels."""
        table.weights.clear()
        table.levels.clear()

    def set_level(self, table, routes, level):
        """Sets a level; costs one line per proxy, however many routes it names."""
        named = self.routes if routes == ALL_ROUTES else set(routes.split("+"))
        if level < 0 or not named <= self.routes:
            raise ValueError(routes)
        table.levels |= named

    @staticmethod
    def charge_lines(lines, proxies, count=1):
        """Adds the given number of lines to what each of these proxies is sent."""
        for proxy in proxies:
            lines[proxy] = lines.get(proxy, 0) + count

    def bind(self, proxy, number, lines):
        """Binds a proxy to a table; costs one line, plus one per weight, level and ejected task."""
        if proxy not in self.proxies:
            raise ValueError(proxy)
        if proxy in self.bound:
            self.table(self.bound[proxy]).proxies.discard(proxy)
        self.bound[proxy] = number
        table = self.table(number)
        table.proxies.add(proxy)
        ejected = len(self.ejected & table.weights.keys())
        self.charge_lines(lines, [proxy], 1 + len(table.weights) + len(table.levels) + ejected)
        if len(self.bound) == len(self.proxies):
            self.all_bound_at = self.all_bound_at or self.clock()

    def send_messages(self, now, lines, fences):
        """Queues one message for each charged proxy, and its answers for the time of delivery."""
        if any(to_all for _, to_all in fences):
            lines |= {proxy: 0 for proxy in self.proxies if proxy not in lines}
        for proxy, count in lines.items():
            self.counts.lines += count + workload.MESSAGE_HEAD_LINES + len(fences)
            arrives = self.channel.send(now, count + workload.MESSAGE_HEAD_LINES + len(fences))
            self.on_delivered(proxy, arrives)
            for mark, _ in fences:
                self.pending_answers.append((arrives, proxy, mark, now))

    def holds(self, proxy, task):
        """Whether a task is in a proxy's table and not ejected."""
        table = self.tables.get(self.bound.get(proxy))
        return bool(table) and task in table.weights and task not in self.ejected

    def watch_withdrawal(self, tasks):
        """Starts tracking when the last proxy loses these tasks."""
        held = {proxy: {task for task in tasks if self.holds(proxy, task)} for proxy in self.bound}
        self.withdrawal = Withdrawal(self.clock(), {proxy: names for proxy, names in held.items() if names})

    def on_delivered(self, proxy, arrives):
        """Updates the tracked withdrawal for a message delivered to a proxy at the time `arrives`."""
        if self.withdrawal and proxy in self.withdrawal.holders:
            remaining = {task for task in self.withdrawal.holders[proxy] if self.holds(proxy, task)}
            self.withdrawal.holders[proxy] = remaining
            if not remaining:
                del self.withdrawal.holders[proxy]
                self.withdrawal.last_at = max(self.withdrawal.last_at, arrives)

    async def run(self):
        """Answers marks when they are due and sends keep-alives, until cancelled."""
        loop = asyncio.get_running_loop()
        last_keepalive = loop.time()
        while True:
            await asyncio.sleep(ANSWER_POLL_INTERVAL_S)
            self.send_done_events()
            if loop.time() >= last_keepalive + KEEPALIVE_INTERVAL_S:
                last_keepalive = loop.time()
                self.send_events([b":\n\n"])

    def send_done_events(self):
        """Sends `done` events for the marks that proxies have applied by now."""
        now, events = self.clock(), []
        while self.pending_answers and self.pending_answers[0][0] <= now:
            _, proxy, mark, started_at = self.pending_answers.popleft()
            elapsed = (now - started_at) * 1_000
            events.append(f"event: done\ndata: id={proxy}&seq={mark}&ms={elapsed:.1f}\n\n".encode())
        self.counts.answers += len(events)
        if events:
            self.send_events(events)

    def send_events(self, events):
        """Writes events to all open event streams."""
        chunk = b"".join(events)
        framed = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        for transport in self.event_streams:
            self.events_counter.sent(len(framed), len(events))
            transport.write(framed)

    def add_event_stream(self, transport):
        """Starts an event stream with an `attach` event for every proxy."""
        transport.write(EVENTS_HEAD)
        self.events_counter.sent(len(EVENTS_HEAD), 0)
        self.event_streams.append(transport)
        self.send_events(
            [
                f"event: attach\ndata: id={proxy}&site={zone}&rps={self.rate:.2f}&new=1\n\n".encode()
                for proxy, zone in self.proxies.items()
            ]
        )


class RelayProtocol(http_server.RequestProtocol):
    """One connection, which carries either calls or an event stream."""

    def __init__(self, relay):
        super().__init__(relay.calls_counter)
        self.relay = relay

    def request(self, method, target, body):
        """Answers a call, or starts an event stream."""
        if method == "GET" and target == "/v1/events":
            self.move_request_to_events()
            self.relay.add_event_stream(self.transport)
            return
        changes = parse_qs(body.decode())["changes"][0].split(";")
        taken = self.relay.apply_orders(changes)
        answer = f"<Response><entries><item><taken>{taken}</taken></item></entries></Response>"
        self.answer(b'<?xml version="1.0"?>' + answer.encode(), "text/xml")

    def move_request_to_events(self):
        """Counts a stream's opening request as an event message; its few bytes stay with the calls."""
        self.counter.messages_from_assigner -= 1
        self.relay.events_counter.messages_from_assigner += 1

    def connection_lost(self, error):
        """Removes the connection from the open event streams."""
        if self.transport in self.relay.event_streams:
            self.relay.event_streams.remove(self.transport)
