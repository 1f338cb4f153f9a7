"""Measures an assigner's memory and its answers to heartbeats while peers send slowly, too much or nonsense.

    python -m benchmarks.hostile_peers              # all scenarios, one after the other
    python -m benchmarks.hostile_peers report_flood

One process of `serve` on loopback with a quiet fleet around it (benchmarks.faults). One row a scenario: the
process's peak memory, the 99th percentile and the longest time to a heartbeat's answer on a connection of its
own, heartbeats without an answer, and how many calls of the fleet were answered in time.
"""

import argparse
import asyncio
import contextlib
import pathlib
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field, replace

from benchmarks.faults import day as days
from benchmarks.faults import process_link

PEERS = 500
BEGIN_S, END_S, DAY_LENGTH_S = 4.0, 10.0, 12.0  # of the day: the hostile peers, and all of it
HEARTBEAT_PERIOD_S, ANSWER_LIMIT_S = 0.02, 5.0
LOAD = 0.5
LONG_LINE = 1_000_000  # bytes: just below the longest message of the protocol
DRIP_PERIOD_S = 0.05  # between the bytes of a peer that sends slowly
FLOOD_CHUNK_LINES = 500
ZONE = days.ZONES[0]
HELLO = f"telemetry site={ZONE}\r\n".encode()


@dataclass
class Answers:
    """The times to heartbeats' answers, in seconds, and how many got none."""

    seconds: list = field(default_factory=list)
    missing: int = 0


async def drip(address, head, peers=PEERS):
    """Peers that each begin a message and go on one byte at a time; whoever is closed comes again."""

    async def one_peer():
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(head)
                    while not reader.at_eof():
                        writer.write(b"x")
                        await writer.drain()
                        await asyncio.sleep(DRIP_PERIOD_S)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(DRIP_PERIOD_S)

    await asyncio.gather(*(one_peer() for _ in range(peers)))


async def send_repeatedly(address, make_chunk):
    """One peer that registers as a collector and sends at full speed, again and again if it is closed."""
    number = 0
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*address)
            try:
                writer.write(HELLO)
                while not writer.is_closing():
                    writer.write(make_chunk(number))
                    number += 1
                    await writer.drain()
                    await asyncio.sleep(0)  # drain() returns at once while the peer keeps up
            finally:
                writer.transport.abort()
        await asyncio.sleep(0)


def report_lines(number):
    """Reports on tasks of ever new names."""
    lines = (
        f"upstream_stats site={ZONE} target=s-{number}-{k} count=9 fail=1 mean=41.7 over=1000.0\r\n"
        for k in range(FLOOD_CHUNK_LINES)
    )
    return "".join(lines).encode()


def unreadable_lines(number):
    """Lines of known kinds that cannot be read, with ever new names."""
    lines = (f"upstream_stats site={ZONE} target=s-{number}-{k} n{k}=1\r\n" for k in range(FLOOD_CHUNK_LINES))
    return "".join(lines).encode()


SHORT_FIELDS = " ".join(f"{k:x}=1" for k in range(LONG_LINE // 8))
SHORT_LOADS = SHORT_FIELDS.replace(" ", ",").replace("=", ":")


def many_short_fields(number):
    """One report of very many short fields."""
    return f"upstream_stats site={ZONE} target=s-{number} {SHORT_FIELDS}\r\n".encode()


def many_short_loads(number):
    """One report whose load has very many short values."""
    head = f"upstream_stats site={ZONE} target=s-{number} count=9 fail=1 mean=41.7 over=1000.0"
    return f"{head} util={SHORT_LOADS}\r\n".encode()


SCENARIOS = {
    "none": None,
    "slow_strangers": lambda address: drip(address, b"telemetry si"),
    "slow_collectors": lambda address: drip(address, HELLO + b"upstream_stats " + b"x" * (LONG_LINE // 2)),
    "report_flood": lambda address: send_repeatedly(address, report_lines),
    "unreadable_flood": lambda address: send_repeatedly(address, unreadable_lines),
    "short_fields": lambda address: send_repeatedly(address, many_short_fields),
    "short_loads": lambda address: send_repeatedly(address, many_short_loads),
}


async def measure_heartbeats(address, answers):
    """Sends heartbeats on one connection and records the times to their answers."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        while True:
            sent_at = time.monotonic()
            writer.write(b"hb\r\n")
            try:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    answer = await reader.readline()
            except TimeoutError:
                answer = b""
            if answer != b"hb_ok\r\n":
                answers.missing += 1
                return
            answers.seconds.append(time.monotonic() - sent_at)
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
    finally:
        writer.transport.abort()


async def disturb(address, scenario, answers):
    """Runs the hostile peers for their time, and heartbeats beside them."""
    await asyncio.sleep(BEGIN_S)
    coroutines = [measure_heartbeats(address, answers)] + ([scenario(address)] if scenario else [])
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    await asyncio.sleep(END_S - BEGIN_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def play(name, directory):
    """Plays a quiet day with the hostile peers of a scenario; returns the fleet and the answers."""
    day = replace(days.draw_day(1, LOAD, 1), faults=(), length=DAY_LENGTH_S)
    answers = Answers()
    address = process_link.assigner_address(0)
    disturbance = asyncio.create_task(disturb(address, SCENARIOS[name], answers))
    fleet = await process_link.play(day, directory)
    await disturbance
    return fleet, answers


def row(name, fleet, answers):
    """The table's row of a scenario."""
    usage = fleet.links[0].usage
    percentile = statistics.quantiles(answers.seconds, n=100)[98] if len(answers.seconds) > 1 else 0.0
    worst = max(answers.seconds, default=0.0)
    figures = (
        name,
        f"{usage.peak_mb:.0f}",
        f"{percentile * 1_000:.1f}",
        f"{worst * 1_000:.1f}",
        answers.missing,
        len(fleet.judge.violations) or "none",
        f"{fleet.result.service():.3f}",
    )
    return "| " + " | ".join(map(str, figures)) + " |"


def main():
    """Plays the scenarios one after the other."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("scenarios", nargs="*", default=list(SCENARIOS))
    options = parser.parse_args()
    print("| scenario | MB | hb 99th ms | hb worst ms | no answer | broken | service |")
    print("| --- " * 7 + "|")
    for name in options.scenarios:
        with tempfile.TemporaryDirectory() as directory:
            print(row(name, *asyncio.run(play(name, pathlib.Path(directory)))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
