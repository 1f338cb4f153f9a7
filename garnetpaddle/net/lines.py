"""The lines at the assigner's address and the relay's news, as events. Unreadable is a value."""

import math
import re
from dataclasses import dataclass

from garnetpaddle import boot
from garnetpaddle import interface as gp

WORD = re.compile(rb"(?<!\S)([^\s=]++)=(\S*)")  # from word to word, or a long word would cost its square
KIND = re.compile(rb"\S+")
LOADS = {"inflight": "in_hand", "queue": "queued", "util": "busy", "latency_ms": "service_ms"}
COUNTS_MOST = 10**9  # a count beyond it is no count


@dataclass(frozen=True, slots=True)
class Beat:
    """Somebody asks whether this assigner is up."""


@dataclass(frozen=True, slots=True)
class Collector:
    """The connection is a zone's collector from now on."""

    zone: str


@dataclass(frozen=True, slots=True)
class Unreadable:
    why: str


def read(line, routes):
    """What a line says: Beat, Collector, an event of the interface, or Unreadable."""
    kind = KIND.match(line)
    kind = kind.group().decode("ascii", "replace") if kind else ""
    if kind == "hb":
        return Beat()
    try:
        words = {k.decode(): v.decode() for k, v in WORD.findall(line)}
        if kind == "telemetry":
            return Collector(words["site"])
        return event(kind, words, routes)
    except KeyError as error:
        return Unreadable(f"{kind[:40]}: no {error.args[0]!r:.40}")
    except ValueError as error:
        return Unreadable(f"{kind[:40]}: {error!s:.80}")


def event(kind, words, routes):
    match kind:
        case "upstream_stats":
            return gp.TaskSums(
                words["target"], words["site"], count(words["count"]), count(words["fail"]),
                number(words.get("mean", "0")) * 10, tenths(words["over"]), load(words.get("util", "")),
            )
        case "client_stats":
            return gp.RouteSums(
                count(words["id"]), boot.word(routes, words["lane"], "lane"), count(words["count"]),
                count(words["fail"]), tenths(words["over"]),
            )
        case "attach":
            return gp.ProxyJoined(
                count(words["id"]), number(words["rps"]), words.get("new") == "1", words["site"])
        case "detach":
            return gp.ProxyLeft(count(words["id"]))
        case "done":
            return gp.Applied(count(words["id"]), count(words["seq"]), tenths(words.get("ms", "0")))
    raise ValueError("unknown kind")


def count(text):
    value = int(text)
    if not 0 <= value <= COUNTS_MOST:
        raise ValueError(f"{text} is no count")
    return value


def number(text):
    value = float(text)
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{text} is no measure")
    return value


def tenths(milliseconds):
    return round(number(milliseconds) * 10)


def load(text):
    """A load report: pairs with a colon here, with an equals sign in a probe's body."""
    pairs = (pair.replace("=", ":").partition(":") for pair in text.split(",") if pair.strip())
    values = {}
    for name, _, value in pairs:
        try:
            values[name.strip()] = float(value)
        except ValueError:
            continue
    return boot.load(values, LOADS)
