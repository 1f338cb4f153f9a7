"""The short days that the operators speak of, forced over loopback (docs/questions.md)."""

import asyncio
import collections
import contextlib
import dataclasses
import operator
import signal
import socket
import sys

import helper
import pytest
from helper import TERMS, Play, StandIn, changes, shown, until
from helper import line as task_line
from peers import (
    CAUGHT_UP,
    CHUNKED,
    ENDED,
    GRACE,
    DiscoveryAgent,
    Program,
    Relay,
    at,
    at_socket,
    chunk,
    listed,
    taken,
    within,
)
from test_codecs import written
from test_net import Address, ending, patient  # noqa: F401

from garnetpaddle import interface as gp
from garnetpaddle.brain import COLD_CAPACITY_SHARE, INHERITED_TABLES_TENTHS_MS
from garnetpaddle.net import http as client
from garnetpaddle.net import listener
from garnetpaddle.net.event_subscription import EventSubscription
from garnetpaddle.net.order_codec import MarkTranslator
from garnetpaddle.net.order_sender import OrderSender
from garnetpaddle.net.prober import Prober
from garnetpaddle.net.task_list_watch import TaskAddresses, TaskListWatch


def configured(tmp_path, discovery, relay, tasks, *changes):
    """A configuration with these addresses, whose list as last had names these tasks. No probes."""
    known = {"generation": 41, "reset": True, "instances": []}
    known["instances"] = [
        {"instanceId": f"s-{task}", "hostPort": "127.0.0.1:1", "zone": "a", "lifecycle": "active"}
        for task in tasks
    ]
    places = ("discovery", at(discovery)), ("store/address", at(relay)), ("known", known)
    return written(tmp_path, *places, ("settings/ceilings/probes", False), *changes)


def steps(history):
    """What proxies 4 and 5 could call, change by change, from when both were bound."""
    seen = [each.partition(" 6")[0] for each in history]
    seen = [each for k, each in enumerate(seen) if not k or each != seen[k - 1]]
    return seen[next(k for k, each in enumerate(seen) if not each.endswith(":")) :]


async def ended(program):
    program.signal(signal.SIGTERM)
    return await program.end()


# --- reload and drain


async def tell_drain(teller, former, latter):
    """b drains: told by the former agent, by the new one, by both, or the new one's list is an older one."""
    if teller != "new":
        former.tell(("b", "leaving"))
    match teller:
        case "old":
            latter.tell(("b", "left"), generation=former.generation + 1)  # its list names b no more
        case "new" | "both":
            latter.tell(("b", "leaving"))


@pytest.mark.parametrize(
    ("moves", "teller"),
    [
        *(("discovery", teller) for teller in ("old", "new", "both", "older")),
        *(("both", teller) for teller in ("old", "new", "both", "older")),
        ("relay", "old"),
        ("broken relay", "old"),
    ],
)
def test_a_drain_told_amid_a_reload_reaches_each_proxy_within_the_grace(moves, teller, tmp_path):
    async def play():
        former, latter, relay = DiscoveryAgent(50, "abc"), DiscoveryAgent(50, "abc"), Relay(4, 5)
        latter.generation -= teller == "older"
        async with (
            former.listen() as agent,
            latter.listen() as agent_2,
            relay.listen() as address,
            relay.listen() as address_2,
            Program(configured(tmp_path, agent, address, "abc")) as program,
        ):
            await until(lambda: relay.callable() == "4:abc 5:abc")
            latter.speaks.clear()
            ways = {"discovery": (agent_2, address), "both": (agent_2, address_2)}
            configured(tmp_path, *ways.get(moves, (agent, address_2)), "abc")
            program.signal(signal.SIGHUP)
            # Here the move is under way: the new addresses are asked, and have not answered.
            await until(lambda: "relay" in moves or latter.asked)
            await until(lambda: moves == "discovery" or address_2.said)
            await tell_drain(teller, former, latter)
            if teller == "older":  # that list comes after the drain has been heard
                await within(GRACE, lambda: relay.callable() == "4:ac 5:ac")
            latter.speaks.set()
            if moves == "broken relay":
                for writer in address.writers:
                    writer.transport.abort()
            await within(GRACE, lambda: relay.callable() == "4:ac 5:ac")
            if teller == "older":
                # Its older list is here, and a whole watch after it: a line of b would stand again.
                await until(lambda: latter.asked > 2)
                latter.tell(("b", "leaving"), generation=52)
            moved = [] if moves == "discovery" else ["event=news_moved"]
            await program.logged_all(*moved, *["event=discovery_moved"] * ("relay" not in moves))
            # Who is asked now is heard, and the way to the relay is whole.
            (former if "relay" in moves else latter).tell(("c", "leaving"), generation=60)
            await within(GRACE, lambda: relay.callable() == "4:a 5:a")
            return await ended(program), relay, address if moves == "discovery" else address_2

    code, relay, present = asyncio.run(play())
    assert code == ENDED
    assert "put,1,s-c,0.0" in present.said[-1] or moves == "broken relay"
    assert steps(relay.history) == ["4:abc 5:abc", "4:ac 5:ac", "4:a 5:a"]
    # Once; after a break the proxies are bound to a table that never had it.
    assert [relay.ordered(f"put,1,s-{task},0.0") for task in "ab"] == [0, moves != "broken relay"]
    assert relay.ordered("eject") == 0


# --- late silence


ROUNDS = 30  # of good service before the silence: watches answered, reports handed on
STREAM_SILENT = 2.5 + 0.5 + 1.0  # s: when the stream is given up, a dial, and what a busy machine may add


class Reporter:
    """A collector of zone a."""

    def __init__(self, address):
        self.address, self.writer = address, None

    async def join(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.write(b"telemetry site=a\r\n")

    def report(self):
        for task in ("s-a", "s-b", "s-c"):
            said = f"upstream_stats site=a target={task} count=20 fail=0 mean=50 over=100\r\n"
            self.writer.write(said.encode())


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("silent", ["discovery", "stream", "collector"])
def test_who_falls_silent_late_amid_a_release_is_asked_anew_and_orders_still_go(silent, mode, tmp_path):
    must_ask_in = 4.0

    async def play():
        agent, relay = DiscoveryAgent(50, "abc"), Relay(4, 5)
        with socket.create_server(("127.0.0.1", 0)) as free:
            where = at_socket(free)
        async with agent.listen() as discovery, relay.listen() as address:
            settings = (
                ("listen", where),
                ("settings/discovery", mode),
                ("settings/contract/must_ask_in", must_ask_in),
            )
            path = configured(tmp_path, discovery, address, "abc", *settings)
            async with Program(path) as program:
                await until(lambda: relay.callable() == "4:abc 5:abc")
                collector = Reporter(where.split(":"))
                await collector.join()
                calls = relay.calls
                await serve_well(agent, collector)
                assert relay.calls == calls  # nothing is ordered while nothing changes
                if silent == "discovery":
                    await silent_discovery(agent, relay, must_ask_in)
                elif silent == "stream":
                    await silent_stream(agent, relay)
                else:
                    await silent_collector(agent, relay, collector, program)
                # Whatever came back is taken in its order, and all goes on.
                agent.tell(("c", "leaving"))
                await within(GRACE, lambda: relay.callable().startswith("4:a 5:a"))
                return await ended(program), relay

    code, relay = asyncio.run(play())
    assert code == ENDED
    assert steps(relay.history) == ["4:abc 5:abc", "4:ac 5:ac", "4:a 5:a"]


async def serve_well(agent, collector):
    for _ in range(ROUNDS):
        asked = agent.asked
        agent.tell()
        collector.report()
        await until(lambda asked=asked: agent.asked > asked)


async def silent_discovery(agent, relay, must_ask_in):
    """What is told meanwhile is heard in one answer, and a proxy that joins is bound before that."""
    agent.speaks.clear()
    agent.tell(("b", "leaving"))
    asked = agent.asked
    relay.join(6)
    await within(1.0, lambda: relay.callable() == "4:abc 5:abc 6:abc")
    await within(must_ask_in, lambda: agent.asked > asked)
    agent.tell(("d", "active"))
    agent.tell(("d", "left"))
    agent.speaks.set()
    await within(GRACE, lambda: relay.callable() == "4:ac 5:ac 6:ac")


async def silent_stream(agent, relay):
    """Calls go on as the stream says nothing; the next one names all anew, but who left meanwhile."""
    relay.speaks.clear()
    agent.tell(("b", "leaving"))
    await within(1.0, lambda: relay.callable() == "4:ac 5:ac")
    asked, bound = relay.asked, relay.ordered("attach")
    relay.join(6)
    await within(STREAM_SILENT, lambda: relay.asked > asked)
    relay.speaks.set()
    await within(GRACE, lambda: relay.ordered("attach") == bound + 3)
    assert relay.callable() == "4:ac 5:ac 6:ac"


async def silent_collector(agent, relay, collector, program):
    """The zone changes hands with the newcomer's first report; heartbeats are answered."""
    agent.tell(("b", "leaving"))
    await within(1.0, lambda: relay.callable() == "4:ac 5:ac")
    newcomer = Reporter(collector.address)
    await newcomer.join()
    newcomer.writer.write(b"hb\r\n")
    async with asyncio.timeout(GRACE):
        assert await newcomer.reader.readline() == b"hb_ok\r\n"
        newcomer.report()
        await program.logged_all("replaces=true")
        assert await collector.reader.read() == b""


# --- whole lists


@pytest.mark.parametrize(
    ("stay_open", "expected"),
    [
        (False, ["4:abcd 5:abcd", "4:acd 5:acd", "4:ad 5:ad", "4: 5:", "4:a 5:a"]),
        (True, ["4:abcd 5:abcd", "4:acd 5:acd"]),
    ],
)
def test_whole_lists_in_place_of_changes(stay_open, expected, tmp_path):
    async def play():
        agent, relay = DiscoveryAgent(50, "abcd", whole=True), Relay(4, 5)
        async with agent.listen() as discovery, relay.listen() as address:
            setting = ("settings/contract/dropped_stay_open", stay_open)
            async with Program(configured(tmp_path, discovery, address, "abcd", setting)) as program:
                await until(lambda: relay.callable() == expected[0])
                calls = relay.calls

                async def hear(*entries):
                    agent.tell(*entries)
                    await until(lambda asked=agent.asked: agent.asked > asked)

                for _ in range(ROUNDS):  # the same, over and over, a named twice, in another order
                    await hear(*entries_of("abacd"))
                    await hear(*entries_of("dcba"))
                assert relay.calls == calls
                await hear(*entries_of("abcd"), ("b", "leaving"))
                await within(GRACE, lambda: relay.callable() == expected[1])
                for entries in ("ad", "", "", "a"):  # it shrinks, to nothing, and begins again
                    await hear(*entries_of(entries))
                    if not stay_open and entries != "a":
                        await within(GRACE, lambda entries=entries: relay.callable() == both(entries))
                await within(GRACE, lambda: relay.callable() == expected[-1])
                return await ended(program), relay.history

    code, history = asyncio.run(play())
    assert code == ENDED
    assert steps(history) == expected


def entries_of(tasks):
    return [(task, "active") for task in tasks]


def both(tasks):
    return f"4:{tasks} 5:{tasks}"


# --- early kills


async def heartbeat(where):
    """Whether the assigner at this address answers a heartbeat."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*where.split(":"))
        writer.write(b"hb\r\n")
        answer = await reader.readline()
        writer.transport.abort()
        return answer == b"hb_ok\r\n"
    return False


async def answers(where):
    async with asyncio.timeout(CAUGHT_UP):
        while not await heartbeat(where):
            await asyncio.sleep(0.01)


async def killed(program, how):
    """Ends it, and waits until the process is gone."""
    program.signal(how)
    await program.made.wait()


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("moment", ["bound", "answered", "called"])
def test_a_start_after_an_early_kill_keeps_tables_and_shuts_out_what_drains(moment, how, tmp_path):
    """bound: before anybody is named; answered: after its first hb_ok; called: amid its first call."""

    async def play():
        agent, relay = DiscoveryAgent(50, "abc"), Relay(4, 5)
        with socket.create_server(("127.0.0.1", 0)) as free:
            where = at_socket(free)
        async with agent.listen() as discovery, relay.listen() as address:
            path = configured(tmp_path, discovery, address, "abc", ("listen", where))
            async with Program(path) as first:  # the life whose tables the proxies hold
                await until(lambda: relay.callable() == "4:abc 5:abc")
                await killed(first, signal.SIGKILL)
            relay.restarted()
            (relay.speaks if moment == "bound" else relay.answers).clear()
            calls = relay.calls
            async with Program(path) as early:
                await early.logged("event=serving")
                if moment != "bound":
                    await answers(where)
                if moment == "called":
                    await until(lambda: relay.calls > calls)
                await killed(early, how)
            relay.restarted()
            relay.speaks.set()
            relay.answers.set()
            ordered = len(relay.orders)
            async with Program(path) as program:
                agent.tell(("b", "leaving"))
                await answers(where)
                await within(GRACE, lambda: relay.callable() == "4:ac 5:ac")
                relay.join(6)
                await within(GRACE, lambda: relay.callable() == "4:ac 5:ac 6:ac")
                return await ended(program), relay, relay.orders[ordered:]

    code, relay, orders = asyncio.run(play())
    assert code == ENDED
    assert steps(relay.history) == ["4:abc 5:abc", "4:ac 5:ac"]
    # Who holds a table keeps it; only the newcomer is bound.
    assert [order.split(",")[1] for order in orders if order.startswith("attach")] == ["6"]
    assert [order for order in orders if order.startswith("eject")] == ["eject,s-b"]


# --- cold servers under a few dozen assigners


ASSIGNERS, TASKS = 48, 20
RATES = (2.0, 20.0, 60.0)  # calls a second that come to each proxy of an assigner, by turns
WARM_AFTER, TIP_AFTER, TURN = 150_000, 30_000, 1_000  # tenths of a ms
START = 1_000_000  # tenths of a ms: no task is young then


class Fleet:
    """Brains of one fleet in virtual time: each has 1 to 3 proxies, and all hear the same list."""

    def __init__(self, cold):
        self.proxies = [1 + rank % 5 % 3 for rank in range(ASSIGNERS)]
        self.rates = [RATES[rank % 3] for rank in range(ASSIGNERS)]
        self.calls = sum(map(operator.mul, self.proxies, self.rates))
        tasks = [f"s-{number}" for number in range(TASKS)]
        self.cold, self.plays, self.used = tasks[:cold], [], collections.deque(maxlen=TIP_AFTER // TURN)
        for rank, (count, rate) in enumerate(zip(self.proxies, self.rates, strict=True)):
            terms = {"total": sum(self.proxies), "assigners": ASSIGNERS, "rank": rank}
            play = Play((), 0, probes_allowed=False, warm_after=WARM_AFTER, **terms)
            play.now, play.sums = START, {}
            play.hear(gp.ListHeard("full", tuple(map(task_line, tasks))))
            play.hear(*(gp.ProxyJoined(proxy, rate, True, "z") for proxy in range(count)))
            play.run(5)
            self.plays.append(play)
        self.started_at = self.plays[0].now
        for play in self.plays:
            play.hear(changes(*(task_line(task, started=play.now / 10_000) for task in self.cold)))

    def turn(self):
        """A turn of all; the calls a second of each cold task by all tables, and what it bears by then.

        Its capacity when warm is taken as an even share of all calls: a fleet in full use."""
        for play in self.plays:
            play.run(TURN / 10_000)
        age = (self.plays[0].now - self.started_at) / WARM_AFTER
        capacity = (TERMS.start_share + (1 - TERMS.start_share) * min(age, 1)) * self.calls / TASKS
        loads = collections.Counter()
        for play, count, rate in zip(self.plays, self.proxies, self.rates, strict=True):
            laid = {task: weight for table in play.brain.tables for task, weight in table.weights.items()}
            for task, weight in laid.items():
                loads[task] += count * rate * weight / sum(laid.values())
        self.used.append((loads, TERMS.fall_multiple * capacity))
        return loads

    def part_of_budget(self):
        """The largest part of its budget that a cold task got over the last window."""
        budget = sum(bears for _, bears in self.used)
        return max(sum(loads[task] for loads, _ in self.used) for task in self.cold) / budget


@pytest.mark.parametrize("cold", [2, 18, 19, TASKS])
def test_cold_tasks_get_no_more_than_they_bear_from_all_assigners_together(cold):
    """In each window of 3 s, over the whole time in which they warm up."""
    fleet, most = Fleet(cold), 0.0
    while fleet.plays[0].now < fleet.started_at + WARM_AFTER:
        carried = fleet.turn()
        most = max(most, fleet.part_of_budget())
    print(f"{cold} of {TASKS} cold: at most {most:.2f} of the budget")
    # While a warm task is there, a part is kept for bursts; alone, cold ones get all calls there are.
    assert most <= (COLD_CAPACITY_SHARE if cold < TASKS else 1.0) + 0.01
    assert sorted(carried) == sorted(fleet.plays[0].brain.tasks)  # all stand again


@pytest.mark.parametrize("terms", [{"fall_multiple": 2.0}, {"start_share": 0.1, "warm_after": 300_000}])
def test_cold_tasks_alone_get_no_more_than_they_bear_however_little_that_is(terms, monkeypatch):
    """They stood once they bore 0.45 of the fleet's work, each counted up to an even share, and got all."""
    changed = dataclasses.replace(TERMS, **{"warm_after": WARM_AFTER} | terms)
    for module in (helper, sys.modules[__name__]):
        monkeypatch.setattr(module, "TERMS", changed)
    monkeypatch.setattr(sys.modules[__name__], "WARM_AFTER", changed.warm_after)
    fleet, most = Fleet(TASKS), 0.0
    while fleet.plays[0].now < fleet.started_at + WARM_AFTER:
        fleet.turn()
        most = max(most, fleet.part_of_budget())
    assert most <= 1.0


# --- an assigner that serves nobody


def test_an_assigner_without_proxies_orders_and_keeps_no_more_than_it_needs():
    """20 minutes with a change each: an order a change, a probe a task and second, and nothing piles up."""
    play, ordered, kept = Play("abcd", 0), collections.Counter(), []

    def heard(*events):
        play.hear(*events)
        ordered.update(type(order).__name__ for order in play.last)

    for minute in range(20):
        heard(changes(task_line("e", "draining" if minute % 2 else "ready")))
        for _ in range(600):
            play.run(0.1)
            ordered.update(type(order).__name__ for order in play.last)
        kept.append(size_of(play.brain))
    counted = {kind: ordered[kind] for kind in ("SetLine", "Seal", "Bind", "Withdraw", "Admit")}
    assert counted == {"SetLine": 20, "Seal": 0, "Bind": 0, "Withdraw": 0, "Admit": 0}
    assert ordered["Probe"] <= 20 * 60 * 5  # 5 tasks, a second each
    assert max(kept[10:]) <= max(kept[:10])


def size_of(brain):
    """Entries in whatever the Brain keeps: its own collections, and its tables' and tasks'."""
    parts = [
        brain.timers,
        brain.sent_batches,
        brain.pending_sums,
        brain.counted_until,
        brain.changed_at,
        brain.lines,
        brain.tasks,
    ]
    parts += [
        brain.proxies,
        brain.channel_proxies,
        brain.unbound_proxies,
        brain.withdrawn,
        brain.awaited,
        brain.notes,
    ]
    parts += [table.weights for table in brain.tables] + [brain.tables]
    return sum(map(len, parts))


@pytest.mark.parametrize("fresh", [True, False])
def test_whose_proxies_all_leave_and_come_back_are_served_again_and_nothing_piles_up(fresh):
    """Who holds no table is bound in the same turn; who holds one keeps it as after a start, 6 s at most."""
    play, kept, seconds = Play("abcd", 3), [], 0.0 if fresh else INHERITED_TABLES_TENTHS_MS / 10_000
    for _ in range(100):
        play.run(0.5)
        play.hear(*(gp.ProxyLeft(proxy) for proxy in range(3)))
        play.run(0.5)
        count = len(play.trace)
        play.hear(*(gp.ProxyJoined(proxy, 20.0, fresh, "z") for proxy in range(3)))
        play.run(seconds)
        assert [line[7:] for line in play.trace[count:]] == ["bind 0, bind 1, bind 2"]
        kept.append(size_of(play.brain))
    assert max(kept[10:]) <= max(kept[:10])


def test_an_assigner_that_nobody_has_joined_says_little_and_is_ready_when_one_does(tmp_path):
    """Counted over the time of its first watches: one call to the relay, one stream, a watch a second."""

    async def play():
        agent, relay = DiscoveryAgent(50, "abc"), Relay()
        async with (
            agent.listen() as discovery,
            relay.listen() as address,
            Program(configured(tmp_path, discovery, address, "abc")) as program,
        ):
            await until(lambda: agent.asked)
            begun = asyncio.get_running_loop().time()
            await until(lambda: agent.asked >= 4)
            assert asyncio.get_running_loop().time() - begun > 1.8  # the list, at once a watch, two more
            counted = relay.calls, relay.asked, agent.asked
            relay.join(4)
            await within(1.0, lambda: relay.callable() == "4:abc")
            return counted, await ended(program)

    assert asyncio.run(play()) == ((1, 1, 4), ENDED)


# --- requests in pieces


PIECES = (1, 2, 3, 7)  # bytes read at once: each cut of a character, of a chunk's head, of a CRLF comes up


def whole_and_in_pieces(monkeypatch, module, play):
    """What `play` brings when all is read at once, and that it is the same however it is cut."""
    whole = asyncio.run(play())
    for size in PIECES:
        monkeypatch.setattr(module, "READ_SIZE", size)
        assert asyncio.run(play()) == whole
    return list(map(shown, whole))


def answer_of(text):
    body = text.encode()
    return [f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body]


@pytest.mark.usefixtures("patient")
def test_lists_in_pieces(monkeypatch):
    script = [
        answer_of(listed(50, True, ("ä", "active"), ("b", "active"))),
        [CHUNKED, chunk(listed(51, False, ("ä", "leaving"))), b"0\r\n\r\n"],
        answer_of(listed(52, False, ("b", "left"))),
    ]

    async def play():
        told = []
        async with StandIn(*script) as agent:
            watch = TaskListWatch(agent.address, TaskAddresses(), told.append, False)
            return await run_until(watch, told, 3)

    assert whole_and_in_pieces(monkeypatch, client, play) == [
        "ListHeard full (TaskLine s-ä a 0 ready 1.0 0 , TaskLine s-b a 0 ready 1.0 0 )",
        "ListHeard changes (TaskLine s-ä a 0 draining 1.0 0 )",
        "ListHeard changes (TaskLine s-b a 0 gone 1.0 0 )",
    ]


async def run_until(stage, told, count):
    """Runs a stage until so much has been told."""
    running = asyncio.create_task(stage.run())
    await until(lambda: len(told) >= count)
    running.cancel()
    return told


@pytest.mark.usefixtures("patient")
def test_the_stream_in_pieces(monkeypatch):
    """A chunk ends amid a character, amid a CRLF, amid a field; lines end with each of the three ends."""
    said = "event: attach\r\ndata: id=4&site=zürich&rps=2&new=1\r\n\r\nevent: detach\rdata: id=4\r\r"
    said += "event: attach\ndata: id=5&site=a&rps=3&new=0\n\n:\n\n"
    body = said.encode()

    async def play():
        told = []
        cut = body.index("ü".encode()) + 1, body.index(b"\r\n\r\n") + 1
        parts = body[: cut[0]], body[cut[0] : cut[1]], body[cut[1] :]
        stream = [f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts]
        async with StandIn([CHUNKED, *stream], always=lambda _: None) as relay:
            return await run_until(EventSubscription(relay.address, MarkTranslator(0), told.append), told, 3)

    assert whole_and_in_pieces(monkeypatch, client, play) == [
        "ProxyJoined 4 2.0 True zürich False",
        "ProxyLeft 4",
        "ProxyJoined 5 3.0 False a False",
    ]


@pytest.mark.usefixtures("patient")
def test_answers_to_calls_in_pieces(monkeypatch):
    """Each is read to its end: the next call goes on the same connection, and nothing is in doubt."""

    async def play():
        told = []
        answer = "<Response><!-- ä --><entries><item><taken>1</taken></item></entries></Response>"
        chunked = [CHUNKED, chunk(answer[:14]), chunk(answer[14:]), b"0\r\n\r\n"]
        async with StandIn(answer_of(answer), chunked, taken(1)) as relay:
            sender = OrderSender(relay.address, ["read"], MarkTranslator(0), told.append)
            for task in "abc":
                sender.submit([gp.SetLine(1, task, 1.0)])
            running = asyncio.create_task(sender.run())
            await until(lambda: len(relay.said) == 3)
            running.cancel()
            return [*told, gp.Note(f"{len(relay.writers)} connections")]

    assert whole_and_in_pieces(monkeypatch, client, play) == ["Note 1 connections"]


def test_probe_answers_in_pieces(monkeypatch):
    async def play():
        told, addresses = [], TaskAddresses()
        async with StandIn(answer_of("TEXT inflight=7, ä=2, util=0.61"), answer_of("TEXT util=0.5")) as task:
            addresses.by_task["s-a"] = task.address
            prober = Prober(addresses, told.append, True, 8)
            for count in (1, 2):
                prober.start(gp.Probe("s-a", 600_000))
                await until(lambda count=count: len(told) == count)
            return [gp.ProbeAnswered(each.task, 0, each.outcome, each.load) for each in told]

    assert whole_and_in_pieces(monkeypatch, client, play) == [
        "ProbeAnswered s-a 0 ok {'in_hand': 7.0, 'busy': 0.61}",
        "ProbeAnswered s-a 0 ok {'busy': 0.5}",
    ]


REPORT = "upstream_stats site=a target=s-ä count=2 fail=0 mean=5 over=1000\r\n".encode()


def test_collectors_and_heartbeats_in_pieces(monkeypatch):
    """One connection beside two strangers, one who ends within a heartbeat and one who goes on for ever."""
    said = b"hb\r\ntelemetry site=a\nhb\r\n" + REPORT + b"\r\n" * 3 + REPORT + b"client_stats id=7 lane=read"
    said += b" count=19 fail=1 over=1000.0\r\nhb\r\n"

    async def play():
        told = []
        async with Address(told.append) as here:
            await here.join(b"h")
            await here.join(b"hb\r\nhb\r\nh")
            reader, _ = await here.join(said)
            await until(lambda: len(told) == 3)
            answers = await reader.readexactly(3 * len(b"hb_ok\r\n"))
            return [*told, gp.Note(f"{answers.count(b'hb_ok')} answers")]

    assert whole_and_in_pieces(monkeypatch, listener, play) == [
        "TaskSums s-ä a 2 0 50.0 10000 {}",
        "TaskSums s-ä a 2 0 50.0 10000 {}",
        "RouteSums 7 0 19 1 10000",
        "Note 3 answers",
    ]


# --- unanswered requests


def test_every_heartbeat_is_answered_pipelined_or_beside_others():
    """1,000 on one connection in one write; 200 who connect at one moment where there is room for 16."""

    async def play():
        async with Address(print, room=16) as here:
            reader, _ = await here.join(b"hb\r\n" * 1_000)
            pipelined = await reader.readexactly(1_000 * len(b"hb_ok\r\n"))
            crowd = [socket.create_connection(here.at) for _ in range(200)]  # the loop stands still
            for each in crowd:
                each.sendall(b"hb\r\n")
                each.setblocking(False)
            single = [await first_line(each) for each in crowd]
            return pipelined.count(b"hb_ok\r\n"), single.count(b"hb_ok\r\n")

    assert asyncio.run(play()) == (1_000, 200)


async def first_line(sock):
    """The first line somebody hears, or what there was of it as the connection ended."""
    said = b""
    with contextlib.closing(sock), contextlib.suppress(ConnectionError):
        while not said.endswith(b"\r\n") and (byte := await asyncio.get_running_loop().sock_recv(sock, 1)):
            said += byte
    return said


def test_each_stranger_is_owed_an_answer_and_gets_it(monkeypatch):
    """Whatever a stranger says, the last he hears is `reject` or a close: nobody is left waiting."""
    for each in ("JOIN_TIMEOUT", "HEARTBEAT_TIMEOUT", "SWEEP_PERIOD"):
        monkeypatch.setattr(listener, each, 0.05)
    said = [
        b"",
        b"h",
        b"hb\r\n",
        b"whim\r\n",
        b"hb\r\nwhim\r\n",
        b"telemetry site=x\r\n",
        b"\r\n",
        b"x" * 5_000,
    ]

    async def play():
        async with Address(print, room=64) as here:
            joined = [await here.join(each) for each in said]
            async with asyncio.timeout(CAUGHT_UP):
                heard = [await ending(reader) for reader, _ in joined]
            await until(lambda: not here.ours.peers)
            return heard

    assert asyncio.run(play()) == [
        b"reject\r\n",
        b"reject\r\n",
        b"hb_ok\r\nreject\r\n",
        b"reject\r\n",
        b"hb_ok\r\nreject\r\n",
        b"reject\r\n",
        b"reject\r\n",
        b"reject\r\n",
    ]
