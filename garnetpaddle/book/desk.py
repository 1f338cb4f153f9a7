"""Where fronts wait for a newer reading: one wake-up for all of them."""

import asyncio

from garnetpaddle.book.reading import EMPTY


class Desk:
    """Written by the owner's task alone; on the event loop's thread."""

    def __init__(self):
        self.reading, self.turned = EMPTY, None

    def lay(self, reading):
        """A reading; the same object as before wakes nobody."""
        if reading is self.reading:
            return
        self.reading = reading
        if self.turned and not self.turned.done():
            self.turned.set_result(None)
        self.turned = None

    async def newer(self, generation):
        """The reading, once its generation is above this one; only the newest is ever given."""
        while self.reading.generation <= generation:
            if self.turned is None:
                self.turned = asyncio.get_running_loop().create_future()
            await asyncio.shield(self.turned)
        return self.reading
