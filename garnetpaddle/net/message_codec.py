"""Parsing of protocol messages: the lines received at the assigner's address and the relay's stream events.

parse_line returns InvalidMessage for what it cannot parse; parse_event raises."""

import math
import re
from dataclasses import dataclass

from garnetpaddle import boot
from garnetpaddle import interface as gp

# Anchored to word starts: otherwise a long word takes quadratic time.
FIELD = re.compile(rb"(?<!\S)([^\s=]++)=(\S*)")
FIRST_WORD = re.compile(rb"\S+")
LOAD_NAMES = {"inflight": "in_hand", "queue": "queued", "util": "busy", "latency_ms": "service_ms"}
MAX_COUNT = int(gp.LARGEST_FIGURE)
MAX_COUNT_DIGITS = 20  # digits that are converted; the rest of a longer number is cut off
MAX_LOGGED_KIND = 40  # characters
# Of a line, and of a load: messages have a few, and the event loop stands still while a line is parsed.
MAX_FIELDS = 1_024
KINDS = frozenset({"hb", "telemetry", "upstream_stats", "client_stats", "attach", "detach", "done"})


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A peer's check that this assigner is up."""


@dataclass(frozen=True, slots=True)
class CollectorHello:
    """Registers the peer as the collector of a zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """A line that cannot be parsed. kind_known: its kind is valid, and only the fields are not."""

    why: str
    kind_known: bool = False


@dataclass(frozen=True, slots=True)
class KnownNames:
    """The names that a message may refer to; empty `zones` or 0 `proxies` allow any."""

    routes: dict[str, int]
    zones: tuple[str, ...] = ()
    proxies: int = 0


def parse_line(line, known):
    """Parses a line into a Heartbeat, a CollectorHello, an event of the interface or an InvalidMessage."""
    kind = FIRST_WORD.match(line)
    kind = kind.group().decode("ascii", "replace") if kind else ""
    if kind == "hb":
        return Heartbeat()
    try:
        fields = parse_fields(line)
        if kind == "telemetry":
            return CollectorHello(parse_zone(fields["site"], known))
        return parse_event(kind, fields, known)
    except KeyError as error:
        return InvalidMessage(
            f"{kind[:MAX_LOGGED_KIND]}: field {error.args[0]!r:.40} is missing", kind in KINDS
        )
    except ValueError as error:
        return InvalidMessage(f"{kind[:MAX_LOGGED_KIND]}: {error!s:.80}", kind in KINDS)


def parse_fields(line):
    """The name=value pairs of a line; raises ValueError for too many, or a name with two different values."""
    fields = {}
    for count, match in enumerate(FIELD.finditer(line)):
        if count == MAX_FIELDS:
            raise ValueError(f"over {MAX_FIELDS} fields")
        name, value = match.groups()
        if fields.setdefault(name.decode(), value.decode()) != value.decode():
            raise ValueError(f"field {name.decode()!r:.40} has two values")
    return fields


def parse_event(kind, fields, known):
    """The event of a message; raises KeyError for a missing field, ValueError for an invalid one."""
    match kind:
        case "upstream_stats":
            return parse_task_report(fields, known)
        case "client_stats":
            return parse_route_report(fields, known)
        case "attach":
            is_new = fields.get("new") == "1"
            return gp.ProxyJoined(
                parse_count(fields["id"]), parse_number(fields["rps"]), is_new, fields["site"]
            )
        case "detach":
            return gp.ProxyLeft(parse_count(fields["id"]))
        case "done":
            return gp.OrdersApplied(
                parse_count(fields["id"]),
                parse_count(fields["seq"]),
                parse_milliseconds(fields.get("ms", "0")),
            )
    raise ValueError("unknown message kind")


def parse_task_report(fields, known):
    """Parses a collector's report of one task."""
    tries, failures = parse_count(fields["count"]), parse_count(fields["fail"])
    if failures > tries:
        raise ValueError(f"{failures} failures in {tries} tries")
    latency = parse_number(fields["mean"] if failures < tries else fields.get("mean", "0")) * 10
    if not (gp.is_latency(latency) if failures < tries else latency == 0):
        raise ValueError(f"mean latency {latency / 10:g} ms for {tries - failures} successful tries")
    return gp.TaskReport(
        fields["target"],
        parse_zone(fields["site"], known),
        tries,
        failures,
        latency,
        parse_period(fields["over"]),
        parse_load(fields.get("util", ""), strict=True),
    )


def parse_route_report(fields, known):
    """Parses a proxy's report of one route."""
    # Failures may exceed calls: a call that arrived in an earlier period may fail in this one.
    return gp.RouteReport(
        parse_proxy(fields["id"], known),
        boot.lookup(known.routes, fields["lane"], "lane"),
        parse_count(fields["count"]),
        parse_count(fields["fail"]),
        parse_period(fields["over"]),
    )


def parse_zone(text, known):
    """The name of a known zone."""
    if not text or known.zones and text not in known.zones:
        raise ValueError(f"unknown zone {text!r:.40}")
    return text


def parse_proxy(text, known):
    """The number of a known proxy."""
    value = parse_count(text)
    if known.proxies and value >= known.proxies:
        raise ValueError(f"unknown proxy {value}")
    return value


def parse_period(text):
    """The period that a report covers: milliseconds as tenths of a ms."""
    value = parse_milliseconds(text)
    if not 0 < value <= gp.LONGEST_SPAN:
        raise ValueError(f"{text:.40} is not a valid period")
    return value


def parse_count(text):
    """An integer from 0 to MAX_COUNT."""
    text = text.strip()
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{text!r:.40} is not a valid count")
    value = int(text[:MAX_COUNT_DIGITS])
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{text} is not a valid count")
    return value


def parse_number(text):
    """A finite number, not below 0."""
    value = float(text)
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{text} is not a finite number of at least 0")
    return value


def parse_milliseconds(text):
    """Milliseconds, at most LARGEST_FIGURE, as an integer in tenths of a ms."""
    value = parse_number(text)
    if value > gp.LARGEST_FIGURE:
        raise ValueError(f"{text:.40} is not a valid period")
    return round(value * 10)


def parse_load_figure(text):
    """A figure of a load, from 0 to LARGEST_FIGURE."""
    value = parse_number(text)
    if value > gp.LARGEST_FIGURE:
        raise ValueError(f"{text} is too large for a load")
    return value


def parse_load(text, strict=False):
    """Parses a load report, `name:value` pairs separated by commas (`name=value` in a probe's body).

    An invalid value is left out or, if strict, raises ValueError; so is what exceeds MAX_FIELDS values."""
    texts = text.split(",", MAX_FIELDS)
    if strict and len(texts) > MAX_FIELDS:
        raise ValueError(f"a load of over {MAX_FIELDS} values")
    pairs = (pair.replace("=", ":").partition(":") for pair in texts[:MAX_FIELDS] if pair.strip())
    values = {}
    for name, _, value in pairs:
        try:
            values[name.strip()] = parse_load_figure(value)
        except ValueError:
            if strict and name.strip() in LOAD_NAMES:
                raise
    return boot.normalize_load(values, LOAD_NAMES)
