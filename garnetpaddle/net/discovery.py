"""The watch on the list of tasks, and where they listen."""

import asyncio

import msgspec
import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import http
from garnetpaddle.net.configuration import Wrong, address
from garnetpaddle.net.rows import Rows, task_lines

PATH = "/discovery/hosts"
WATCH_MS = 1_000  # a watch's wait: a silent agent is noticed soon, and calls cost the agent nothing
ANSWER_WAIT = 0.5  # s beyond the watch's wait
DIAL_WAIT = 0.5  # s
PAUSES = (0.0, 0.05, 0.1, 0.2, 0.4)  # s before a failed call is made again
log = structlog.get_logger()


class Places:
    """The latest address of each task."""

    def __init__(self):
        self.at = {}

    def learn(self, rows):
        if rows.reset:
            self.at = {}
        for row in rows.instances:
            if row.state == "left":
                self.at.pop(row.task, None)
                continue
            try:
                self.at[row.task] = address(row.address, "hostPort")
            except Wrong as error:
                log.warning("address_unreadable", task=row.task, why=str(error))


class Agent:
    """One address of discovery: the connection to it, and how far its list has been followed."""

    def __init__(self, at):
        self.address, self.since, self.link = at, None, None

    def close(self):
        if self.link:
            self.link.close()

    async def turn(self):
        """One call: (Rows, task lines), or why it failed."""
        if not self.link or not self.link.usable():
            self.close()
            self.link = await http.dial(self.address, DIAL_WAIT)
            if isinstance(self.link, http.NotSent):
                result, self.link = self.link, None
                return result.why
        first = self.since is None
        target = PATH if first else f"{PATH}?since={self.since}&timeout_ms={WATCH_MS}"
        result = await self.link.call("GET", target, ANSWER_WAIT + (0 if first else WATCH_MS / 1_000))
        if not isinstance(result, http.Answered):
            return result.why
        if result.status != 200:
            return f"answered {result.status}"
        try:
            rows = msgspec.json.decode(result.body, type=Rows)
            told = task_lines(rows)
        except (ValueError, OverflowError) as error:
            self.since = None
            return f"unreadable list: {error!s:.80}"
        self.since = rows.generation
        return rows, told


class Discovery:
    """Follows the list by itself, or where it must be asked for: from each Watch order until a failure."""

    def __init__(self, at, places, hear, must_ask):
        self.agent, self.places, self.hear, self.must_ask = Agent(at), places, hear, must_ask
        self.calling, self.coming, self.moving = None, at, None
        self.failures, self.owed = 0, False
        self.asked = asyncio.Event()

    def ask(self):
        self.owed = True
        self.asked.set()

    def move(self, at):
        """Another agent takes over once it has told its whole list; till then the present one serves."""
        if at == self.coming:
            return
        self.coming = at
        if self.moving:
            self.moving.cancel()
        self.moving = asyncio.get_running_loop().create_task(self.take_over(Agent(at)))

    async def take_over(self, agent):
        result, failures = None, 0
        try:
            while not isinstance(result, tuple):
                if self.must_ask and not self.asked.is_set():
                    break  # nothing is followed: the next order asks the new agent
                if failures:
                    await asyncio.sleep(PAUSES[min(failures - 1, len(PAUSES) - 1)])
                result = await agent.turn()
                failures += 1
            former, self.agent, agent = self.agent, agent, None
            former.close()
            if self.calling:
                self.calling.cancel()
            log.info("discovery_moved", tries=failures)
            if result:
                self.take(*result)
        finally:
            if agent:
                agent.close()

    async def run(self):
        while True:
            if self.must_ask:
                await self.asked.wait()
            agent = self.agent
            self.calling = asyncio.ensure_future(agent.turn())
            await asyncio.wait({self.calling})
            if agent is not self.agent:
                continue
            result = self.calling.result()
            if isinstance(result, tuple):
                if self.failures:
                    log.info("discovery_back")
                self.take(*result)
                continue
            if not self.failures:
                log.warning("discovery_lost", why=result)
            self.failures += 1
            if self.must_ask:
                self.asked.clear()
                self.owed = False
                self.hear(gp.ListHeard("lost", ()))
            else:
                await asyncio.sleep(PAUSES[min(self.failures - 1, len(PAUSES) - 1)])

    def take(self, rows, told):
        self.failures = 0
        self.places.learn(rows)
        if told or rows.reset or self.owed:
            self.owed = False
            self.hear(gp.ListHeard("full" if rows.reset else "changes", told))
