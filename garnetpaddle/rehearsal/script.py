"""Rehearsal scripts: reads an HCL file with its includes and validates it; each diagnostic has its position.

Times are seconds in the file and whole tenths of a ms in `Script`'s helpers; shares are fractions of 1.
"""

import os
from typing import Annotated, Literal

import msgspec

from garnetpaddle.operator import hcl
from garnetpaddle.operator.block_decoder import Diagnostic, InvalidFileError, block_title, decode_attributes

Positive = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
MAX_INCLUDES = 8  # nested files
TROUBLE_KINDS = {
    "silent": "accepts calls and never answers",
    "slow": "runs `amount` times slower",
    "errors": "fails the fraction `amount` of its calls at once",
    "pause": "pauses, then continues",
    "crash": "its process crashes, and restarts cold at the end",
    "stolen": "the fraction `amount` of its cores is taken by others",
    "drain": "is listed as draining; its process stops at the end",
    "release": "as drain, with a new node in its place, in batches of the fraction `amount` of them",
    "list_late": "list updates arrive `amount` s later",
    "list_wrong": "the list omits the selected nodes",
    "streams": "the relay's streams of the fraction `share` of the proxies break",
    "reports_late": "reports arrive `amount` s later",
    "killed": "the assigner is killed, and restarts at the end",
    "rate": "clients call `amount` times as often",
}
NODE_TROUBLE_KINDS = (
    "silent",
    "slow",
    "errors",
    "pause",
    "crash",
    "stolen",
    "drain",
    "release",
    "list_wrong",
)
AMOUNT_RANGES = {
    "slow": (1, 1e3),
    "errors": (0, 1),
    "stolen": (0, 1),
    "release": (0, 1),
    "list_late": (0, 1e3),
    "reports_late": (0, 1e3),
    "rate": (0, 100),
}


class Rehearsal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the whole simulation."""

    length: Positive = 60.0
    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    include: str = ""  # path, relative to this script, of a script that provides what this one leaves out


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A zone and its number of proxies."""

    name: str
    proxies: Count = 3


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of calls."""

    name: str
    share: Positive  # of all calls, relative to the other routes
    work: Positive  # s on a core of speed 1, on average
    slo: Positive  # SLO time, s
    limit: Positive  # time limit: s after which the client gives up
    importance: Positive = 1.0
    effect: Literal["repeatable", "mutating"] = "repeatable"
    spread: Literal["exponential", "uniform", "fixed"] = "uniform"  # of the work; uniform: 0.7 to 1.3 of it


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine type that nodes run on."""

    name: str
    cores: Count = 2
    speed: Positive = 1.0
    queue: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 40  # most queued calls; further ones are refused
    accept: Count = 300  # most connections
    handshake: NonNegative = 0.01  # s of work per new connection
    warm_after: Positive = 15.0  # s from a start to full speed
    start_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25  # of full speed, at a start


class Nodes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of nodes of one kind in one zone."""

    name: str
    kind: str
    zone: str
    count: Count = 1


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The load from clients."""

    rate: Positive = 100.0  # first tries per second
    curve: tuple[Positive, ...] = (1.0,)  # factors of the rate, interpolated evenly over the length
    again: Fraction = 0.5  # fraction of clients that retry once after a failure, on repeatable routes
    uneven: Positive = 1.0  # ratio of calls at the busiest proxy to those at the least busy one


class Delays(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Delays and limits of the platform, in seconds unless noted."""

    channel: Positive = 0.25  # mean s from sending a message to its arrival
    lines: Positive = 2_000.0  # lines per second that the channel carries
    queue_limit: Positive = 4_000.0  # lines that may be queued for the channel
    head: NonNegative = 6.0  # lines that a message costs on top of its own
    list: NonNegative = 1.0  # until a change of the task list arrives
    reports: NonNegative = 0.8  # until a report arrives
    period: Positive = 1.0  # between reports
    connect: Positive = 0.3  # s until a connection attempt times out
    redial: Positive = 1.0  # mean s until a proxy whose stream broke reconnects
    grace: Positive = 3.0  # during which calls may still be sent to a task that is draining or gone
    bare: Positive = 3.0  # for which a joined proxy may have no usable node
    fall_multiple: Positive = 3.0  # of its capacity: work at which a cold node crashes
    tip_after: Positive = 3.0  # over which the work of a cold node is summed
    strikes: Annotated[int, msgspec.Meta(ge=0, le=1_000)] = 8  # 0: nodes are never avoided
    avoid: Positive = 6.0  # s for which a proxy avoids a node after `strikes` consecutive failures


class Trouble(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault to inject during the simulation."""

    name: str
    kind: Literal[
        "silent",
        "slow",
        "errors",
        "pause",
        "crash",
        "stolen",
        "drain",
        "release",
        "list_late",
        "list_wrong",
        "streams",
        "reports_late",
        "killed",
        "rate",
    ]
    start: NonNegative
    end: NonNegative = 0.0  # 0: the end of the simulation
    nodes: list[str] = []  # by name ("harbour-small-2") or group ("harbour-small")
    zone: str = ""
    share: Fraction = 0.0  # fraction, drawn by the seed, of the nodes selected above (or of the streams)
    amount: NonNegative = 0.0
    ramp: NonNegative = 0.0  # s over which the trouble begins at the selected nodes, one after the other


class Script(msgspec.Struct, frozen=True):
    """A script with its includes."""

    path: str
    rehearsal: Rehearsal
    zones: tuple[Zone, ...]
    routes: tuple[Route, ...]
    kinds: tuple[Kind, ...]
    nodes: tuple[Nodes, ...]
    clients: Clients
    delays: Delays
    troubles: tuple[Trouble, ...]

    def node_names(self):
        """(name, group) of each initial node."""
        return [(f"{group.name}-{k}", group) for group in self.nodes for k in range(1, group.count + 1)]


BLOCKS = {
    "rehearsal": Rehearsal,
    "zone": Zone,
    "route": Route,
    "kind": Kind,
    "nodes": Nodes,
    "clients": Clients,
    "delays": Delays,
    "trouble": Trouble,
}
SINGLETONS = ("rehearsal", "clients", "delays")


def read(path):
    """Reads the Script of a file and its includes; raises InvalidFileError."""
    diagnostics, blocks_by_kind, chain = [], {kind: {} for kind in BLOCKS}, []
    read_blocks(path, blocks_by_kind, diagnostics, chain)
    if diagnostics:
        raise InvalidFileError(diagnostics)

    def singleton(kind):
        return blocks_by_kind[kind][""][0] if blocks_by_kind[kind] else BLOCKS[kind]()

    def labelled(kind):
        return tuple(decoded for decoded, _ in blocks_by_kind[kind].values())

    script = Script(
        path,
        singleton("rehearsal"),
        labelled("zone"),
        labelled("route"),
        labelled("kind"),
        labelled("nodes"),
        singleton("clients"),
        singleton("delays"),
        labelled("trouble"),
    )
    diagnostics = list(check(script, blocks_by_kind))
    if diagnostics:
        raise InvalidFileError(sorted(diagnostics, key=lambda d: (d.file, d.line)))
    return script


def read_blocks(path, blocks_by_kind, diagnostics, chain):
    """Adds a file's blocks, then those of the file it includes that are not in this one."""
    try:
        with open(path, encoding="utf-8") as file:
            blocks = hcl.blocks(file.read())
    except (OSError, UnicodeDecodeError) as error:
        diagnostics.append(Diagnostic(path, 1, "file", getattr(error, "strerror", None) or "not UTF-8 text"))
        return
    except hcl.InvalidHclError as error:
        diagnostics.append(Diagnostic(path, error.line, error.field, error.why))
        return
    include, own_blocks = "", {}
    for block in blocks:
        decoded = decode_block(path, block, diagnostics)
        if decoded is None:
            continue
        name = "" if block.kind in SINGLETONS else decoded.name
        if (block.kind, name) in own_blocks:
            diagnostics.append(Diagnostic(path, block.line, block_title(block), "duplicate block"))
        own_blocks[block.kind, name] = True
        position = path, block.line, {key: line for key, (_, line) in block.attributes.items()}
        include = decoded.include if block.kind == "rehearsal" else include
        if name not in blocks_by_kind[block.kind]:
            blocks_by_kind[block.kind][name] = decoded, position
        elif block.kind in SINGLETONS:
            # Fields that the including script leaves out come from the included one.
            including, (file, line, lines) = blocks_by_kind[block.kind][name]
            inherited = {key: getattr(decoded, key) for key in position[2] if key not in lines}
            lines = lines | dict.fromkeys(inherited, line)
            blocks_by_kind[block.kind][name] = (
                msgspec.structs.replace(including, **inherited),
                (file, line, lines),
            )
    if include:
        if len(chain) >= MAX_INCLUDES or os.path.abspath(path) in chain:
            diagnostics.append(
                Diagnostic(path, 1, "rehearsal.include", "circular include, or more than 8 levels")
            )
            return
        read_blocks(
            os.path.join(os.path.dirname(path), include),
            blocks_by_kind,
            diagnostics,
            [*chain, os.path.abspath(path)],
        )


def decode_block(path, block, diagnostics):
    """Decodes a block to its type; returns None if that adds diagnostics."""
    kind = BLOCKS.get(block.kind)
    if kind is None:
        diagnostics.append(
            Diagnostic(path, block.line, block.kind, f"unknown block; known blocks: {', '.join(BLOCKS)}")
        )
        return None
    if len(block.labels) != (0 if block.kind in SINGLETONS else 1):
        expected = "no label" if block.kind in SINGLETONS else "one label, its name"
        diagnostics.append(Diagnostic(path, block.line, block_title(block), f"expects {expected}"))
        return None
    count_before, values = len(diagnostics), decode_attributes(path, block, kind, diagnostics)
    if block.kind not in SINGLETONS:
        values["name"] = block.labels[0]
    return kind(**values) if len(diagnostics) == count_before else None


def check(script, blocks_by_kind):
    """Diagnostics of the whole script: missing blocks, unknown names, times outside its length."""
    for kind, blocks in (
        ("zone", script.zones),
        ("route", script.routes),
        ("kind", script.kinds),
        ("nodes", script.nodes),
    ):
        if not blocks:
            yield Diagnostic(script.path, 1, kind, "missing in this script and its includes")
    zones, kinds = {z.name for z in script.zones}, {k.name for k in script.kinds}
    for group in script.nodes:
        if group.zone not in zones:
            yield field_diagnostic(
                script, blocks_by_kind, "nodes", group.name, "zone", f"unknown zone {group.zone!r}"
            )
        if group.kind not in kinds:
            yield field_diagnostic(
                script, blocks_by_kind, "nodes", group.name, "kind", f"unknown kind {group.kind!r}"
            )
    for route in script.routes:
        if route.slo > route.limit:
            yield field_diagnostic(
                script, blocks_by_kind, "route", route.name, "slo", "exceeds the time limit"
            )
    known = {name for name, _ in script.node_names()} | {group.name for group in script.nodes}
    for trouble in script.troubles:
        for field, why in check_trouble(trouble, known, zones, script.rehearsal.length):
            yield field_diagnostic(script, blocks_by_kind, "trouble", trouble.name, field, why)


def field_diagnostic(script, blocks_by_kind, kind, name, field, why):
    """A Diagnostic with the position of a block's field."""
    path, line, lines = (
        blocks_by_kind[kind][name][1] if name in blocks_by_kind[kind] else (script.path, 1, {})
    )
    where = f"{kind}.{name}.{field}".replace("..", ".").strip(".")
    return Diagnostic(path, lines.get(field, line), where, why)


def check_trouble(trouble, known, zones, length):
    """Yields (field, why) for each mistake in a trouble. known: names of nodes and groups."""
    for name in trouble.nodes:
        if name not in known:
            yield "nodes", f"unknown node or group {name!r}"
    if trouble.zone and trouble.zone not in zones:
        yield "zone", f"unknown zone {trouble.zone!r}"
    if trouble.start >= length:
        yield "start", f"must be before the end of the rehearsal, {length:g} s"
    if trouble.end and trouble.end <= trouble.start:
        yield "end", "must be after start"
    if trouble.kind in NODE_TROUBLE_KINDS and not (trouble.nodes or trouble.zone or trouble.share):
        yield "nodes", "no targets; set nodes, zone or share"
    low, high = AMOUNT_RANGES.get(trouble.kind, (0, 0))
    if trouble.kind in AMOUNT_RANGES and not low < trouble.amount <= high:
        yield "amount", f"{trouble.amount:g} is out of range: must be above {low:g} and at most {high:g}"
