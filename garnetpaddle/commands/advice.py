"""`advice watch`: shows the weights that a follower receives, live, as a table or as JSON lines."""

import asyncio
import json
import random
import time

import click

DISCOVERY_TIMEOUT = 2.0  # s
MAX_PORT = 65_535


class UsageError(click.ClickException):
    """Invalid usage of the command."""

    exit_code = 2


def parse_address(text, option):
    """Parses host:port to (host, port); raises UsageError, which names the option."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise UsageError(f"{option}: {text!r} is not a host:port address")
    return host.strip("[]"), int(port)


async def listed_addresses(agent):
    """Asks a discovery agent for its task list; returns (host, port) of each task.

    agent: its (host, port). Raises UsageError if there is no readable answer."""
    import msgspec

    from garnetpaddle.net import http
    from garnetpaddle.net.task_list_codec import TaskList
    from garnetpaddle.net.task_list_watch import TASK_LIST_PATH, TaskAddresses

    connection = await http.connect(agent, DISCOVERY_TIMEOUT)
    if isinstance(connection, http.NotSent):
        raise UsageError(f"task list of {agent[0]}:{agent[1]}: {connection.why}")
    response = await connection.call("GET", TASK_LIST_PATH, DISCOVERY_TIMEOUT)
    connection.close()
    if not isinstance(response, http.Response) or response.status != 200:
        raise UsageError(
            f"task list of {agent[0]}:{agent[1]}: {getattr(response, 'why', None) or response.status}"
        )
    addresses = TaskAddresses()
    try:
        addresses.update(msgspec.json.decode(response.body, type=TaskList))
    except msgspec.DecodeError as error:
        raise UsageError(f"task list of {agent[0]}:{agent[1]}: {error}") from None
    return list(addresses.by_task.values())


def flags(weight):
    """Returns the flags of a client.Weight as text."""
    return " ".join(
        flag
        for flag, is_set in (
            ("quiesced", weight.quiesced),
            ("no contact", not weight.contact),
            ("unsure", not weight.confident),
        )
        if is_set
    )


def update_as_dict(update):
    """Returns a client.Update as JSON-compatible values. part: a member's fraction of all weights."""
    total = sum(w.weight for w in update.weights) or 1
    return {
        "group": update.group,
        "serial": update.serial,
        "members": [
            {
                "host": w.host,
                "port": w.port,
                "weight": w.weight,
                "part": round(w.weight / total, 4),
                "contact": w.contact,
                "quiesced": w.quiesced,
                "confident": w.confident,
            }
            for w in update.weights
        ],
    }


def render_table(update, received_at, log):
    """Returns a client.Update as a rich table, captioned with the last line of the client's log.

    received_at: time.monotonic() when the update arrived."""
    from rich.table import Table

    age = time.monotonic() - received_at
    total = sum(w.weight for w in update.weights) or 1
    rendered = Table(
        title=f"{update.group or 'advice'}, update {update.serial}, {age:.1f} s old",
        caption=log[-1] if log else "",
    )
    for heading, alignment in (("member", "left"), ("weight", "right"), ("part", "right"), ("flags", "left")):
        rendered.add_column(heading, justify=alignment)
    for w in sorted(update.weights, key=lambda w: (-w.weight, w.host, w.port)):
        rendered.add_row(f"{w.host}:{w.port}", str(w.weight), f"{w.weight / total:.2%}", flags(w))
    return rendered


async def follow(client, as_json, count):
    """Shows `count` updates, or without end if it is 0; returns the exit code."""
    count_shown = 0
    if as_json:
        async for update in client.updates():
            click.echo(json.dumps(update_as_dict(update)))
            count_shown += 1
            if count and count_shown >= count:
                return 0
    from rich.live import Live

    latest, received_at = None, time.monotonic()
    updates = client.updates()
    with Live(refresh_per_second=2) as live:
        next_update = asyncio.ensure_future(anext(updates))
        while not count or count_shown < count:
            await asyncio.wait({next_update}, timeout=0.5)
            if next_update.done():
                latest, received_at, count_shown = next_update.result(), time.monotonic(), count_shown + 1
                next_update = asyncio.ensure_future(anext(updates))
            if latest:
                live.update(render_table(latest, received_at, client.log))
            elif client.log:
                live.update(f"no update received yet: {client.log[-1]}")
        next_update.cancel()
    return 0


@click.group()
def advice():
    """Weight advice as external load balancers receive it."""


@advice.command()
@click.argument("server", metavar="HOST:PORT")
@click.option("--group", default="", help="The group's name; required over SASP.")
@click.option(
    "--uid",
    default="watch",
    show_default=True,
    help="The LB UID to register with. Give it a follower of its own in the operator's file: a balancer "
    "with the same UID loses its registration when it is silent.",
)
@click.option("--member", "members", multiple=True, metavar="HOST:PORT", help="A member; can be repeated.")
@click.option(
    "--discovery", metavar="HOST:PORT", help="Take the members from the task list of this discovery agent."
)
@click.option("--dfp", is_flag=True, help="Use DFP: the port implies the group, the agent names the members.")
@click.option("--pull", is_flag=True, help="Poll instead of receiving pushed updates.")
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON per update instead of a table.")
@click.option("--count", type=click.IntRange(0), default=0, help="Exit after this many updates; 0: never.")
def watch(server, group, uid, members, discovery, dfp, pull, as_json, count):
    """Show weights, flags and age of the advice at HOST:PORT until Ctrl-C."""
    from garnetpaddle.client import DfpClient, SaspClient

    async def run():
        server_address, uniform = parse_address(server, "HOST:PORT"), random.Random().uniform
        if dfp:
            client = DfpClient(server_address, group, uniform=uniform)
        else:
            member_addresses = [parse_address(x, "--member") for x in members]
            member_addresses += (
                await listed_addresses(parse_address(discovery, "--discovery")) if discovery else []
            )
            if not group or not member_addresses:
                raise UsageError("SASP requires --group, and --member or --discovery")
            try:
                client = SaspClient(
                    server_address,
                    uid,
                    {group: member_addresses},
                    uniform=uniform,
                    push=not pull,
                    no_change=False,
                )
            except ValueError as error:
                raise UsageError(f"--member: {error}") from None
        async with client:
            return await follow(client, as_json, count)

    try:
        return asyncio.run(run())
    except KeyboardInterrupt:
        return 0
