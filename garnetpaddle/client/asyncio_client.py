"""Runs a client's state machine on asyncio, with one connection and one timer, and provides its updates."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from typing import Self

from garnetpaddle import dfp, sasp
from garnetpaddle.client import protocol_events as events
from garnetpaddle.client.advice_types import Update, Weight
from garnetpaddle.client.dfp_manager import DfpManager
from garnetpaddle.client.sasp_balancer import SaspBalancer
from garnetpaddle.dfp.codec import Key
from garnetpaddle.sasp.messages import MemberData

MemberAddress = tuple[str, int] | tuple[str, int, str]  # IP address, port, optional label
Uniform = Callable[[float, float], float]
READ_SIZE = 64 << 10  # bytes read at once
CONNECT_TIMEOUT = 2.0  # s
MAX_MESSAGE = 4 << 20  # bytes
MAX_LOG = 100  # log entries kept
TENTHS_OF_MS_PER_SECOND = 10_000


def clock():
    """Returns the time in tenths of a ms since an arbitrary start."""
    return int(time.monotonic() * TENTHS_OF_MS_PER_SECOND)


class Client:
    """Base class of the clients: runs a state machine inside `async with`, and reconnects automatically.

    A network error ends the connection; the last advice stays in force. updates() yields the newest Update
    of each group, so a slow reader misses those in between. address: (host, port) of the manager, or in DFP
    of the agent; decoder: called without arguments for the message decoder of each connection; log: the last
    100 events, as text."""

    def __init__(
        self, address: tuple[str, int], state_machine: SaspBalancer | DfpManager, decoder: Callable
    ) -> None:
        self.address, self.state_machine, self.make_decoder = address, state_machine, decoder
        # pending_updates: group -> newest Update not yet yielded; writer: None while there is no connection.
        self.pending_updates, self.update_available, self.timer = {}, asyncio.Event(), None
        self.connect_requested = asyncio.Event()
        self.writer = self.run_task = None
        self.log = []

    async def __aenter__(self) -> Self:
        self.run_task = asyncio.create_task(self.run())
        return self

    async def __aexit__(self, *_):
        self.run_task.cancel()
        await asyncio.gather(self.run_task, return_exceptions=True)
        if self.timer:
            self.timer.cancel()
        if self.writer:
            self.writer.transport.abort()

    async def updates(self) -> AsyncIterator[Update]:
        """Yields the newest Update of each group whenever there is a new one. Never ends by itself."""
        while True:
            while not self.pending_updates:
                self.update_available.clear()
                await self.update_available.wait()
            group = next(iter(self.pending_updates))
            yield self.pending_updates.pop(group)

    def weights(self, group: str) -> tuple[Weight, ...]:
        """Returns the last advice on a group, empty if there was none."""
        return tuple(self.state_machine.tables.get(group, {}).values())

    def add_log(self, text):
        self.log = [*self.log[1 - MAX_LOG :], text]

    def handle(self, event):
        """Passes an event to the state machine and executes its actions."""
        for action in self.state_machine.handle(clock(), event):
            match action:
                case events.SendBytes(data):
                    if self.writer:
                        self.writer.write(data)
                case Update():
                    self.pending_updates[action.group] = action
                    self.update_available.set()
                case events.Disconnect(why):
                    self.add_log(f"disconnected: {why}")
                    if self.writer:
                        self.writer.transport.abort()
                case events.RequestRefused(request, code):
                    self.add_log(f"{request} refused: 0x{code:02x}")
                case events.SetTimer(at):
                    self.set_timer(at)
                case events.Connect():
                    self.connect_requested.set()

    def set_timer(self, at):
        """Replaces the timer. at: in tenths of a ms on clock()."""
        if self.timer:
            self.timer.cancel()
        wait = max(0.0, (at - clock()) / TENTHS_OF_MS_PER_SECOND)
        self.timer = asyncio.get_running_loop().call_later(wait, self.handle, events.TimerExpired())

    async def run(self):
        """Opens a connection whenever the state machine requests one; the first is opened at once."""
        self.connect_requested.set()
        while True:
            await self.connect_requested.wait()
            self.connect_requested.clear()
            why = await self.serve_connection()
            self.add_log(f"closed: {why}")
            self.handle(events.ConnectionClosed(why))

    async def serve_connection(self):
        """Opens one connection and serves it until it ends; returns why it ended."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*self.address, limit=READ_SIZE)
        except (OSError, TimeoutError) as error:
            return f"connect: {error}"
        self.writer, decoder = writer, self.make_decoder()
        self.add_log("opened")
        try:
            self.handle(events.ConnectionOpened())
            while chunk := await reader.read(READ_SIZE):
                for message in decoder.feed(chunk):
                    self.handle(events.MessageReceived(message))
            return "closed by the peer"
        except OSError as error:
            return str(error)
        finally:
            self.writer = None
            writer.transport.abort()


class SaspClient(Client):
    """A load balancer that follows a group workload manager over SASP, RFC 4678.

        async with SaspClient(("127.0.0.1", 3860), "LB-1", {"status": [("10.0.0.5", 5000)]}) as client:
            async for update in client.updates():
                set_weights(update.group, update.weights)

    groups: name -> (host, port) or (host, port, label) of each member, with IP addresses as hosts; raises
    ValueError for other hosts. uid: its LB UID, by which the manager knows it; uniform: (low, high) -> random
    float; push, no_change, trust, answers: as in SaspBalancer."""

    def __init__(
        self,
        address: tuple[str, int],
        uid: str,
        groups: Mapping[str, Iterable[MemberAddress]],
        uniform: Uniform | None = None,
        **options: bool,
    ) -> None:
        members = {
            name: [MemberData.from_address(*member) for member in listed] for name, listed in groups.items()
        }
        state_machine = SaspBalancer(uid, members, uniform or random.Random().uniform, **options)
        super().__init__(address, state_machine, lambda: sasp.MessageDecoder(MAX_MESSAGE))

    def register(self, group: str, *members: MemberAddress) -> None:
        """Adds members; raises ValueError for a host that is no IP address."""
        self.change(group, members, events.Change.ADD)

    def deregister(self, group: str, *members: MemberAddress) -> None:
        """Removes members; the manager is told that this is learned and purposeful."""
        self.change(group, members, events.Change.REMOVE)

    def quiesce(self, group: str, *members: MemberAddress) -> None:
        """Stops new calls to these members until `open`; the manager reports it to the group's followers."""
        self.change(group, members, events.Change.QUIESCE)

    def open(self, group: str, *members: MemberAddress) -> None:
        """Ends a quiesce."""
        self.change(group, members, events.Change.OPEN)

    def change(self, group, members, change):
        """Passes a change of a group's members to the state machine."""
        data = tuple(MemberData.from_address(*member) for member in members)
        self.handle(events.ChangeMembers(group, data, change))


class DfpClient(Client):
    """A manager that follows an agent's advice over DFP, draft-eck-dfp.

    name, keep_alive (s), uniform: as in DfpManager; key: garnetpaddle.dfp.codec.Key or None."""

    def __init__(
        self,
        address: tuple[str, int],
        name: str = "",
        keep_alive: int = 5,
        key: Key | None = None,
        uniform: Uniform | None = None,
    ) -> None:
        state_machine = DfpManager(name, uniform or random.Random().uniform, keep_alive, key)
        super().__init__(address, state_machine, lambda: dfp.MessageDecoder(MAX_MESSAGE, key))

    def weights(self, group: str = "") -> tuple[Weight, ...]:
        """Returns the last advice, empty if there was none; there is one group, whatever its name."""
        return tuple(self.state_machine.table.values())
