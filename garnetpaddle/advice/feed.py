"""One client's discipline: what it was told, what it has shown to have taken, and by when it must."""

MARGIN = 0.25  # of the grace that is left for the close to reach the client, and for what it has under way
MARGIN_LEAST = 3_000  # 0.3 s of it at least, where the grace allows
PATIENCE = 20_000  # 2 s that an update may wait unread by the client's machine: it is not following then
OPEN_MOST = 32  # updates that may be written and not shown to be taken; older ones count as one


def allowance(grace):
    """How long after a drain is heard a client may be left without having shown that it took it."""
    return grace - min(max(int(grace * MARGIN), MARGIN_LEAST), grace // 2)


class Feed:
    """Counts bytes, as the transport does: `end` is where an update ends in the stream written to the client.
    takes: "acknowledged" where the client's TCP having the bytes shows that it took them, "answers" where
    only a message of the client shows it that came after that."""

    def __init__(self, pace, grace, takes):
        self.pace, self.allowed, self.takes = pace, allowance(grace), takes
        self.told = {}  # group -> key -> Entry, as last written
        self.sent_at, self.end, self.acked, self.heard = -pace, 0, 0, 0
        self.waiting = []  # (end, mark, tasks drained by it, at)
        self.drains = {}  # task -> by when it must have been taken
        self.mark = None  # of the newest update taken and not yet told on

    def drain(self, task, since):
        """A task that this client may hold drains, or is gone, since then. The first word of it counts."""
        self.drains.setdefault(task, since + self.allowed)

    def reopened(self, task):
        """It is ready anew."""
        self.drains.pop(task, None)

    def unsent(self, closed):
        """Drains of which no update has been written."""
        written = {task: True for _, _, tasks, _ in self.waiting for task in tasks}
        return [task for task in self.drains if task in closed and task not in written]

    def may_send(self, now, urgent):
        """Whether an update may be written: one in flight, and one a pace unless it is a drain."""
        if self.end > self.acked:
            return False
        return urgent or now >= self.sent_at + self.pace

    def sent(self, now, end, mark, drained):
        """An update was written; it tells of these drains. end: the stream's length with it."""
        self.sent_at, self.end = now, end
        self.waiting.append((end, mark, tuple(drained), now))
        if len(self.waiting) > OPEN_MOST:
            (_, _, older, _), (newer_end, newer_mark, newer, at) = self.waiting[:2]
            self.waiting[:2] = [(newer_end, newer_mark, older + newer, at)]
        self.settle()

    def ack(self, upto):
        """The client's machine has so many bytes."""
        self.acked = max(self.acked, upto)
        if self.takes == "acknowledged":
            self.settle()

    def hear(self):
        """A whole message of the client was read, after its machine had `acked` bytes."""
        self.heard = self.acked
        self.settle()

    def settle(self):
        upto = self.acked if self.takes == "acknowledged" else self.heard
        while self.waiting and self.waiting[0][0] <= upto:
            _, self.mark, tasks, _ = self.waiting.pop(0)
            for task in tasks:
                self.drains.pop(task, None)

    def overdue(self, now):
        """Why the client can't be left on, or ""."""
        if any(at <= now for at in self.drains.values()):
            late = min(self.drains, key=lambda task: (self.drains[task], task))
            return f"has not shown that it took the drain of {late}"
        if self.end > self.acked and now >= self.sent_at + PATIENCE:
            return "does not read"
        return ""

    def due(self, wanting):
        """When to look again; None where nothing is awaited. wanting: there is something to be told."""
        times = list(self.drains.values())
        if self.end > self.acked:
            times.append(self.sent_at + PATIENCE)
        elif wanting:
            times.append(self.sent_at + self.pace)
        return min(times, default=None)
