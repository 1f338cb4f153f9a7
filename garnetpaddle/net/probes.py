"""Probes of tasks: each ends in exactly one ProbeAnswered."""

import asyncio
import time

import structlog

from garnetpaddle import interface as gp
from garnetpaddle.net import http, lines

log = structlog.get_logger()
KEPT = 1  # idle connections kept to each address


class Probes:
    def __init__(self, places, hear, reports, room):
        self.places, self.hear, self.room = places, hear, room
        self.path = "/metrics/load" if reports else "/alive"
        self.links, self.running = {}, set()

    def start(self, order):
        task = asyncio.get_running_loop().create_task(self.probe(order))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def probe(self, order):
        begun = time.monotonic()
        outcome, load = "other", {}
        try:
            if len(self.running) > self.room:
                outcome = "full"
            elif at := self.places.at.get(order.task):
                outcome, load = await self.ask(at, order.wait / 10_000)
            else:
                outcome = "unreachable"
        except Exception:
            log.exception("probe_failed", task=order.task)
        finally:
            elapsed = round((time.monotonic() - begun) * 10_000)
            self.hear(gp.ProbeAnswered(order.task, elapsed, outcome, load))

    async def ask(self, at, wait):
        """The outcome and the load report; a kept connection that fails at once is no evidence."""
        kept, until = self.links.setdefault(at, []), time.monotonic() + wait
        while kept:
            link = kept.pop()
            if link.usable():
                result = await link.call("GET", self.path, wait)
                if isinstance(result, http.Answered) or result.why == "silence":
                    return self.outcome(result, link, kept)
            link.close()
        link = await http.dial(at, max(0.001, until - time.monotonic()))
        if isinstance(link, http.NotSent):
            return "unreachable", {}
        result = await link.call("GET", self.path, max(0.001, until - time.monotonic()))
        return self.outcome(result, link, kept)

    @staticmethod
    def outcome(result, link, kept):
        if not isinstance(result, http.Answered):
            return {"silence": "timeout"}.get(result.why, "reset"), {}
        if link.usable() and len(kept) < KEPT:
            kept.append(link)
        else:
            link.close()
        outcome = {200: "ok", 503: "error"}.get(result.status, "other")
        text = result.body.decode("ascii", "replace").strip()
        return outcome, lines.load(text.removeprefix("TEXT").strip())
