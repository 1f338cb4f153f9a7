"""Publication of snapshots: one future wakes all waiters."""

import asyncio

from garnetpaddle.snapshots.snapshot import EMPTY_SNAPSHOT


class SnapshotPublisher:
    """Holds the newest snapshot and wakes those that wait for a newer one.

    Not thread-safe: only the decision loop's asyncio task publishes, on the event loop's thread."""

    def __init__(self):
        self.snapshot, self.next_publication = EMPTY_SNAPSHOT, None

    def publish(self, snapshot):
        """Publishes a snapshot and wakes all waiters; does nothing if it is the published object."""
        if snapshot is self.snapshot:
            return
        self.snapshot = snapshot
        if self.next_publication and not self.next_publication.done():
            self.next_publication.set_result(None)
        self.next_publication = None

    async def wait_newer(self, generation):
        """Waits for a snapshot with a higher generation; returns the newest one."""
        while self.snapshot.generation <= generation:
            if self.next_publication is None:
                self.next_publication = asyncio.get_running_loop().create_future()
            await asyncio.shield(self.next_publication)
        return self.snapshot
