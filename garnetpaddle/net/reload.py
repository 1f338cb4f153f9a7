"""Reloading of the configuration on SIGHUP: validated as at the start; address changes are passed on."""

import asyncio

import structlog

from garnetpaddle.net import configuration

FIXED_FIELDS = ("name", "listen", "limits", "settings")  # read at the start only, as are `seed` and `known`
log = structlog.get_logger()


class Reload:
    """Reads the configuration file again whenever `requested` is set.

    initial: the configuration of the start; moves: field -> a function that is called with
    the new address, (host, port), and switches over from the old one."""

    def __init__(self, path, initial, moves):
        self.path, self.initial, self.moves = path, initial, moves
        self.addresses = {"discovery": initial.discovery, "store.address": initial.store.address}
        self.requested = asyncio.Event()  # a signal during a reload causes another one

    async def run(self):
        """Reloads whenever it is requested."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            self.reload()

    def reload(self):
        """Reads the file once; an invalid file changes nothing."""
        try:
            # The environment still has the values of the start; a file with other addresses is not an error.
            config = configuration.read(self.path, {})
        except configuration.ConfigurationError as error:
            log.error("reload_refused", why=str(error))
            return
        changed = [field for field in FIXED_FIELDS if getattr(config, field) != getattr(self.initial, field)]
        if changed:
            log.warning("reload_needs_restart", fields=",".join(changed))
        addresses = {"discovery": config.discovery, "store.address": config.store.address}
        moved = [field for field, text in addresses.items() if text != self.addresses[field]]
        self.addresses = addresses
        for field in moved:
            self.moves[field](configuration.parse_address(addresses[field], field))
        log.info("reloaded", moved=",".join(moved) or "nothing")
