"""The operator's configuration file: its types, and validation that collects every diagnostic."""

import os
from typing import Annotated, Literal, NamedTuple

import msgspec

from garnetpaddle.operator import hcl
from garnetpaddle.operator.block_decoder import Diagnostic, InvalidFileError, block_title, decode_attributes

Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
SOCKET_SHARE = 0.2  # of the descriptors, for all front ends together: probes and peers take three quarters
MAX_FILE_BYTES = 1 << 20  # larger files are refused as a mistake
MAX_UID_BYTES = 255
MAX_PORT = 65_535


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of all front ends together; the platform's own channel is not limited by them."""

    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    message_kib: Annotated[int, msgspec.Meta(ge=1, le=1_024)] = 64  # longest message that is accepted
    unread_kib: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 256  # most unread data for one client
    members: Annotated[int, msgspec.Meta(ge=1, le=65_535)] = 1_024  # most of one follower, in all its groups


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A name under which clients subscribe to the advice for one route."""

    name: Name
    route: Name


class Follower(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An outside load balancer that follows the tables; the Brain treats it as a proxy."""

    name: Name
    calls_per_second: Positive  # that it usually distributes
    groups: Annotated[list[Name], msgspec.Meta(min_length=1)]
    uid: str = ""  # its LB UID in SASP; empty: the follower's name
    zone: str = ""
    retries: Literal["any", "on proof", "none"] = "any"  # what it does with a call that failed
    takes: Literal["answers", "acknowledged"] = "answers"  # what confirms that it has applied an update


class Sasp(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A SASP port (group workload manager, RFC 4678)."""

    name: str
    listen: Name
    pace: Positive = 1.0  # least s between weight updates to one client; drains are sent at once
    interval: Positive = 5.0  # s between polls, as told to clients; shorter if the grace time requires it


class Dfp(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A DFP agent port (draft-eck-dfp), for one group of one follower: the protocol names neither."""

    name: str
    listen: Name
    follower: Name
    group: Name
    pace: Positive = 1.0
    keep_alive: Positive = 5.0  # s within which a manager must be sent a message
    key_id: Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)] = 0
    secret_file: str = ""  # file with the shared key; empty: messages without security


class OperatorConfiguration(msgspec.Struct, frozen=True):
    """The whole file, decoded and validated by read()."""

    path: str
    limits: Limits = Limits()
    groups: tuple[Group, ...] = ()
    followers: tuple[Follower, ...] = ()
    sasp: tuple[Sasp, ...] = ()
    dfp: tuple[Dfp, ...] = ()
    # (block kind, block name, field) -> line number, for diagnostics; field "" is the block's first line.
    lines: dict[tuple[str, str, str], int] = {}

    def line_of(self, kind, name, field):
        """Returns the line number of a field, or of its block if the field is left out; 1 if both are."""
        return self.lines.get((kind, name, field)) or self.lines.get((kind, name, ""), 1)

    def field_diagnostic(self, kind, name, field, why):
        """Returns a Diagnostic with the position of a field; why: the mistake."""
        where = f"{kind}.{name}.{field}".replace("..", ".")
        return Diagnostic(self.path, self.line_of(kind, name, field), where, why)


class BlockKind(NamedTuple):
    """A kind of block. type: its struct; labels: how many it has, None for at most one."""

    type: type
    labels: int | None


KINDS = {
    "limits": BlockKind(Limits, 0),
    "group": BlockKind(Group, 1),
    "follower": BlockKind(Follower, 1),
    "sasp": BlockKind(Sasp, None),
    "dfp": BlockKind(Dfp, 1),
}
EXPECTED_LABELS = {0: "no label", 1: "one label, its name", None: "at most one label"}


def read(path):
    """Reads and validates a file; returns an OperatorConfiguration.

    Raises one InvalidFileError with the diagnostics of all mistakes in the blocks, in the order of their
    lines; if the file cannot be read or parsed, with that diagnostic alone. The platform's settings are not
    considered: that is the task of check_against_platform."""
    blocks = read_blocks(path)
    diagnostics, decoded, line_numbers = [], {kind: [] for kind in KINDS}, {}
    for block in blocks:
        if block.kind not in KINDS:
            known = ", ".join(KINDS)
            diagnostics.append(
                Diagnostic(path, block.line, block.kind, f"unknown block; known blocks: {known}")
            )
            continue
        value = decode_block(path, block, diagnostics)
        if value is not None:
            name = getattr(value, "name", "")
            if (block.kind, name, "") in line_numbers:
                first = line_numbers[block.kind, name, ""]
                diagnostics.append(
                    Diagnostic(
                        path, block.line, block_title(block), f"duplicate of the block at line {first}"
                    )
                )
            line_numbers |= {(block.kind, name, key): line for key, (_, line) in block.attributes.items()}
            line_numbers[block.kind, name, ""] = block.line
            decoded[block.kind].append(value)
    configuration = OperatorConfiguration(
        path,
        (decoded["limits"] or [Limits()])[0],
        tuple(decoded["group"]),
        tuple(decoded["follower"]),
        tuple(decoded["sasp"]),
        tuple(decoded["dfp"]),
        line_numbers,
    )
    diagnostics += check_references(configuration)
    if diagnostics:
        raise InvalidFileError(sorted(diagnostics, key=lambda d: d.line))
    return configuration


def read_blocks(path):
    """Returns the file's HCL blocks; raises InvalidFileError if it is unreadable, too long or invalid."""
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1).decode()
    except OSError as error:
        raise InvalidFileError([Diagnostic(path, 1, "file", error.strerror or str(error))]) from None
    except UnicodeDecodeError:
        raise InvalidFileError([Diagnostic(path, 1, "file", "not UTF-8 text")]) from None
    if len(text) > MAX_FILE_BYTES:
        raise InvalidFileError([Diagnostic(path, 1, "file", "over 1 MiB")])
    try:
        return hcl.blocks(text)
    except hcl.InvalidHclError as error:
        raise InvalidFileError([Diagnostic(path, error.line, error.field, error.why)]) from None


def decode_block(path, block, diagnostics):
    """Decodes a block to its type; returns None and adds to `diagnostics` if it has mistakes."""
    kind, labels = KINDS[block.kind]
    if len(block.labels) != labels and not (labels is None and len(block.labels) <= 1):
        diagnostics.append(
            Diagnostic(path, block.line, block_title(block), f"expects {EXPECTED_LABELS[labels]}")
        )
        return None
    count_before, values = len(diagnostics), decode_attributes(path, block, kind, diagnostics)
    if labels != 0:
        values["name"] = block.labels[0] if block.labels else block.kind
    return kind(**values) if len(diagnostics) == count_before else None


def check_references(configuration):
    """Yields the diagnostics that concern several blocks."""
    yield from check_followers(configuration)
    yield from check_listeners(configuration)
    yield from check_dfp(configuration)


def check_followers(configuration):
    """Yields diagnostics of followers: their groups must exist, and their UIDs must fit and differ."""
    groups = {group.name for group in configuration.groups}
    for follower in configuration.followers:
        for name in follower.groups:
            if name not in groups:
                why = f"unknown group {name!r}"
                yield configuration.field_diagnostic("follower", follower.name, "groups", why)
    names_by_uid = {}
    for follower in configuration.followers:
        uid = lb_uid(follower)
        if len(uid) > MAX_UID_BYTES:
            yield configuration.field_diagnostic("follower", follower.name, "uid", "longer than 255 bytes")
        if names_by_uid.setdefault(uid, follower.name) != follower.name:
            why = f"already used by follower {names_by_uid[uid]!r}"
            yield configuration.field_diagnostic("follower", follower.name, "uid", why)


def check_listeners(configuration):
    """Yields diagnostics of listen addresses: they must be valid, and differ unless their port is 0."""
    fronts_by_address = {}
    for kind, fronts in (("sasp", configuration.sasp), ("dfp", configuration.dfp)):
        for front in fronts:
            why = invalid_address(front.listen)
            if why:
                yield configuration.field_diagnostic(kind, front.name, "listen", why)
                continue
            ephemeral_port = front.listen.endswith(":0")  # the operating system assigns a free port
            if not ephemeral_port and fronts_by_address.setdefault(front.listen, front) is not front:
                why = f"{front.listen} is already used by another block"
                yield configuration.field_diagnostic(kind, front.name, "listen", why)


def check_dfp(configuration):
    """Yields diagnostics of DFP ports: the follower must exist, count acknowledged updates as confirmed, have
    the port's group and no other DFP port; the key file must be readable."""
    followers, ports = {f.name: f for f in configuration.followers}, {}
    for front in configuration.dfp:
        if front.follower not in followers:
            why = f"unknown follower {front.follower!r}"
            yield configuration.field_diagnostic("dfp", front.name, "follower", why)
        elif followers[front.follower].takes != "acknowledged":
            why = (
                "a DFP manager sends no answers, so each drain would end its connection; "
                'set takes = "acknowledged" for its follower'
            )
            yield configuration.field_diagnostic("dfp", front.name, "follower", why)
        elif front.group not in followers[front.follower].groups:
            why = f"not in the groups of follower {front.follower!r}"
            yield configuration.field_diagnostic("dfp", front.name, "group", why)
        if front.secret_file and not os.access(front.secret_file, os.R_OK):
            why = f"{front.secret_file!r} cannot be read"
            yield configuration.field_diagnostic("dfp", front.name, "secret_file", why)
        if ports.setdefault(front.follower, front.name) != front.name:
            why = f"already has the port dfp.{ports[front.follower]}"
            yield configuration.field_diagnostic("dfp", front.name, "follower", why)


def lb_uid(follower):
    """Returns a follower's LB UID (its load balancer's identifier in SASP), as bytes."""
    return (follower.uid or follower.name).encode()


def invalid_address(text):
    """Returns why a text is not a host:port address; "" if it is one."""
    host, _, port = text.rpartition(":")
    if host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT:
        return ""
    return f'{text!r:.60} is not a host:port address, such as "127.0.0.1:3860"'


def check_against_platform(configuration, platform):
    """Returns the diagnostics of the operator's configuration that depend on the platform's
    (net.configuration.Configuration): unknown routes and zones, and more connections than the platform leaves
    descriptors for."""
    settings, diagnostics = platform.settings, []
    routes = [route.name for route in settings.categories]
    max_connections = int(platform.limits.sockets * SOCKET_SHARE)
    connections = configuration.limits.connections
    if connections > max_connections:
        why = (
            f"{connections} exceeds {max_connections}, a fifth of limits.sockets "
            f"({platform.limits.sockets}): probes and collectors need the rest"
        )
        line = configuration.lines.get(("limits", "", "connections"), 1)
        diagnostics.append(Diagnostic(configuration.path, line, "limits.connections", why))
    for group in configuration.groups:
        if group.route not in routes:
            why = f"unknown route {group.route!r}; known routes: {', '.join(routes)}"
            diagnostics.append(configuration.field_diagnostic("group", group.name, "route", why))
    for follower in configuration.followers:
        if follower.zone and settings.azs and follower.zone not in settings.azs:
            why = f"unknown zone {follower.zone!r}; known zones: {', '.join(settings.azs)}"
            diagnostics.append(configuration.field_diagnostic("follower", follower.name, "zone", why))
    return diagnostics
