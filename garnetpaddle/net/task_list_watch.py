"""Subscription to discovery's task list by long polling, and the addresses of the tasks."""

import asyncio
import time
from dataclasses import dataclass

import msgspec
import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import http
from garnetpaddle.net.configuration import ConfigurationError, parse_address
from garnetpaddle.net.decision_loop import make_clock
from garnetpaddle.net.start_times import StartTimes
from garnetpaddle.net.task_list_codec import TaskList, task_lines

TASK_LIST_PATH = "/discovery/hosts"
LONG_POLL_MS = 1_000  # long-poll time: a dead agent is noticed soon, and polls cost the agent nothing
RESPONSE_TIMEOUT = 0.5  # s on top of the long-poll time
CONNECT_TIMEOUT = 0.5  # s
# s within which the protocol delivers the latest list; if only lists of older generations come for longer,
# discovery has started a new numbering.
MAX_STALE_TIME = 6.0
BACKOFF = (0.0, 0.05, 0.1, 0.2, 0.4)  # s before a failed poll is retried, by consecutive failures
log = structlog.get_logger()


class TaskAddresses:
    """The latest address of each task."""

    def __init__(self):
        self.by_task = {}

    def update(self, task_list):
        """Applies a full list or a list of changes."""
        if task_list.reset:
            self.by_task = {}
        for entry in task_list.instances:
            if entry.state == "left":
                self.by_task.pop(entry.task, None)
                continue
            try:
                self.by_task[entry.task] = parse_address(entry.address, "hostPort")
            except ConfigurationError as error:
                log.warning("address_unreadable", task=entry.task, why=str(error))


class GenerationCheck:
    """Prevents an older list from replacing a newer one.

    The agents of one discovery service share generation numbers, and a list from one that lags would undo
    changes. If only older lists come for MAX_STALE_TIME, discovery has started a new numbering."""

    def __init__(self, generation, clock=time.monotonic):
        self.generation, self.clock, self.older_since = generation, clock, None

    def numbering_restarted(self):
        """Whether only older lists have come for at least MAX_STALE_TIME."""
        return self.older_since is not None and self.clock() - self.older_since >= MAX_STALE_TIME

    def accept(self, task_list):
        """Whether a list may be applied now; if so, its generation becomes the current one."""
        if task_list.generation < self.generation:
            self.older_since = self.clock() if self.older_since is None else self.older_since
            if not (task_list.reset and self.numbering_restarted()):
                return False
        self.generation, self.older_since = task_list.generation, None
        return True


@dataclass(frozen=True, slots=True)
class ListResponse:
    """A list received from an agent, and its entries as gp.TaskLines."""

    task_list: TaskList
    lines: tuple[gp.TaskLine, ...]


@dataclass(frozen=True, slots=True)
class ListFailure:
    """Why a poll returned no list."""

    why: str


class Agent:
    """An agent, that is one server of the discovery service: its address and the connection to it.

    since: the generation of its latest list, from which the next poll asks for changes; None: for the full
    list."""

    def __init__(self, address):
        self.address, self.since, self.connection = address, None, None

    def close(self):
        """Closes the connection, if there is one."""
        if self.connection:
            self.connection.close()

    async def poll(self):
        """Requests the full list at first, then waits for changes; returns ListResponse or ListFailure."""
        if not self.connection or not self.connection.is_usable():
            self.close()
            self.connection = await http.connect(self.address, CONNECT_TIMEOUT)
            if isinstance(self.connection, http.NotSent):
                result, self.connection = self.connection, None
                return ListFailure(result.why)
        first = self.since is None
        target = TASK_LIST_PATH if first else f"{TASK_LIST_PATH}?since={self.since}&timeout_ms={LONG_POLL_MS}"
        result = await self.connection.call(
            "GET", target, RESPONSE_TIMEOUT + (0 if first else LONG_POLL_MS / 1_000)
        )
        if not isinstance(result, http.Response):
            return ListFailure(result.why)
        if result.status != 200:
            return ListFailure(f"HTTP status {result.status}")
        return self.decode(result.body)

    def decode(self, body):
        """Decodes a list; returns ListResponse or, if it is invalid, ListFailure. Records its generation for
        the next poll, which requests the full list after an invalid one."""
        try:
            task_list = msgspec.json.decode(body, type=TaskList)
            lines = task_lines(task_list)
        # Also caught: a start time out of range (OverflowError) and JSON nested too deeply (RecursionError).
        except (ValueError, OverflowError, RecursionError) as error:
            self.since = None
            return ListFailure(f"invalid list: {error!s:.80}")
        self.since = task_list.generation
        return ListResponse(task_list, lines)


class TaskListWatch:
    """Keeps a subscription to the task list and publishes it as gp.TaskListReceived.

    must_ask: a SubscribeTaskList order starts the subscription; otherwise it starts by itself. generation:
    that of the last known list. clock: that of the events' times."""

    def __init__(self, address, addresses, publish, must_ask, generation=0, clock=None):
        self.agent, self.addresses, self.publish, self.must_ask = Agent(address), addresses, publish, must_ask
        self.poll_task, self.target_address, self.move_task, self.last_polls = None, address, None, set()
        self.failures, self.must_publish_next, self.generation_check = 0, False, GenerationCheck(generation)
        self.subscribed, self.agent_replaced = asyncio.Event(), asyncio.Event()
        self.clock, self.start_times = clock or make_clock(), StartTimes()

    def subscribe(self):
        """Handles a SubscribeTaskList order: the next list is published even if it is empty."""
        self.must_publish_next = True
        self.subscribed.set()

    def move(self, address):
        """Moves to another agent once that has sent its list; until then the current one is followed."""
        if address == self.target_address:
            return
        self.target_address = address
        if self.move_task:
            self.move_task.cancel()
        self.move_task = asyncio.get_running_loop().create_task(self.retry_move(Agent(address)))

    async def retry_move(self, agent):
        """Retries a move to an agent until it succeeds, whatever the error."""
        attempts, logged = 0, None
        try:
            while True:
                if self.must_ask and not self.subscribed.is_set():
                    result = None  # not subscribed: the next SubscribeTaskList order polls the new agent
                    break
                result = await self.try_poll(agent)
                attempts += 1
                why = self.reason_to_wait(result)
                if not why:
                    break
                if why != logged:
                    log.warning("move_waits", field="discovery", why=why)
                logged = why
                await asyncio.sleep(BACKOFF[min(attempts, len(BACKOFF) - 1)])
            self.replace_agent(agent)
            agent = None
            log.info("discovery_moved", tries=attempts)
            if result:
                self.receive(result)
            self.agent_replaced.set()
        finally:
            if agent:
                agent.close()

    async def try_poll(self, agent):
        """Polls for a move; an unexpected error becomes a ListFailure."""
        try:
            return await agent.poll()
        except Exception as error:
            log.exception("move_failed", field="discovery")
            return ListFailure(type(error).__name__)

    def reason_to_wait(self, result):
        """Why an agent with this poll result cannot be used yet; "" if it can.

        Changes from an agent with an older list would be ignored for a while, so the former agent is kept
        until the new one has caught up."""
        if isinstance(result, ListFailure):
            return result.why
        if result.task_list.generation >= self.generation_check.generation or self.failures:
            return ""
        return "list older than the current one"

    def replace_agent(self, agent):
        """Makes an agent the current one. A running poll of the former agent is still completed, so that a
        response that is on its way or not yet read is not lost."""
        former, self.agent = self.agent, agent
        if not self.poll_task:
            former.close()
            return
        last_poll = asyncio.get_running_loop().create_task(self.finish_last_poll(former, self.poll_task))
        self.last_polls.add(last_poll)
        last_poll.add_done_callback(self.last_polls.discard)

    async def finish_last_poll(self, agent, poll_task):
        """Handles the result of a replaced agent's last poll."""
        try:
            await asyncio.wait({poll_task})
            result = poll_task.result()
            if isinstance(result, ListResponse):
                self.receive(result)
        finally:
            agent.close()

    async def run(self):
        """Polls the current agent until cancelled; closes its connection then."""
        try:
            await self.poll_current_agent()
        finally:
            self.agent.close()

    async def poll_current_agent(self):
        """Polls the current agent forever."""
        while True:
            if self.must_ask:
                await self.subscribed.wait()
            agent = self.agent
            self.agent_replaced.clear()
            self.poll_task = asyncio.ensure_future(agent.poll())
            replaced = asyncio.ensure_future(self.agent_replaced.wait())
            try:
                await asyncio.wait({self.poll_task, replaced}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                replaced.cancel()
            if agent is not self.agent:
                continue
            poll_task, self.poll_task = self.poll_task, None
            result = poll_task.result()
            if isinstance(result, ListFailure):
                await self.handle_failure(result)
                continue
            if self.failures:
                log.info("discovery_back")
            self.receive(result)

    async def handle_failure(self, failure):
        """Waits for the backoff. A poll costs the agent nothing, so the subscription is never given up."""
        if not self.failures:
            log.warning("discovery_lost", why=failure.why)
        self.failures += 1
        await asyncio.sleep(BACKOFF[min(self.failures - 1, len(BACKOFF) - 1)])

    def receive(self, response):
        """Applies and publishes a list, unless it is older than the current one."""
        self.failures, task_list = 0, response.task_list
        if not self.generation_check.accept(task_list):
            log.warning("list_older", generation=task_list.generation, heard=self.generation_check.generation)
            if self.generation_check.numbering_restarted():
                self.agent.since = None  # makes the next poll request the full list
            return
        self.addresses.update(task_list)
        lines = self.start_times.convert(self.clock(), response.lines, task_list.reset)
        if lines or task_list.reset or self.must_publish_next:
            self.must_publish_next = False
            self.publish(gp.TaskListReceived("full" if task_list.reset else "changes", lines))
