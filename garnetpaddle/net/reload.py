"""The configuration read anew at SIGHUP: checked as at the start, its addresses handed to who uses them."""

import asyncio

import structlog

from garnetpaddle.net import configuration

FIXED = ("name", "listen", "limits", "settings")  # taken at the start only; the seed and the list go with it
log = structlog.get_logger()


class Reload:
    """moves: field -> what takes its new address, (host, port), and lets the old one go by itself."""

    def __init__(self, path, given, moves):
        self.path, self.given, self.moves = path, given, moves
        self.present = {"discovery": given.discovery, "store.address": given.store.address}
        self.asked = asyncio.Event()  # signals that come during a reading add up to one more

    async def run(self):
        while True:
            await self.asked.wait()
            self.asked.clear()
            self.turn()

    def turn(self):
        try:
            # The variables are the start's: a file that now names other addresses is no fault.
            given = configuration.read(self.path, {})
        except configuration.Wrong as error:
            log.error("reload_refused", why=str(error))
            return
        kept = [field for field in FIXED if getattr(given, field) != getattr(self.given, field)]
        if kept:
            log.warning("reload_needs_restart", fields=",".join(kept))
        wanted = {"discovery": given.discovery, "store.address": given.store.address}
        moved = [field for field, where in wanted.items() if where != self.present[field]]
        self.present = wanted
        for field in moved:
            self.moves[field](configuration.address(wanted[field], field))
        log.info("reloaded", moved=",".join(moved) or "nothing")
