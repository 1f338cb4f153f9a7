"""Delivery of updates to one client: what it was sent, has shown to have taken, and by when it must."""

from typing import NamedTuple

SAFETY_MARGIN = 0.25  # of the grace period: for the close to reach the client, and for its calls under way
MIN_SAFETY_MARGIN = 3_000  # 0.3 s of it at least, where the grace period allows
READ_TIMEOUT = 20_000  # 2 s that an update may wait unread by the client's machine
MAX_UNCONFIRMED = 32  # updates that may be unconfirmed; older ones are merged


def drain_allowance(grace_period):
    """How long after a drain is heard a client may go without having shown that it took it."""
    return grace_period - min(max(int(grace_period * SAFETY_MARGIN), MIN_SAFETY_MARGIN), grace_period // 2)


class Unconfirmed(NamedTuple):
    """An update that was written and not yet confirmed. end: the stream's length with it."""

    end_offset: int
    mark: int
    drained: tuple[str, ...]


class UpdateDelivery:
    """Counts bytes, as the transport does.

    confirmed_by: "acknowledged" if the client's TCP having the bytes shows that it took them, "answers" if
    only a later message of the client does."""

    def __init__(self, min_update_interval, grace_period, confirmed_by):
        self.min_update_interval, self.allowance, self.confirmed_by = (
            min_update_interval,
            drain_allowance(grace_period),
            confirmed_by,
        )
        self.last_sent = {}  # group -> key -> MemberWeight, as last written
        self.sent_at, self.end_offset = -min_update_interval, 0  # of the newest update
        self.acked, self.acked_at_message = 0, 0  # bytes acknowledged now, and at the client's last message
        self.unconfirmed = []
        self.drain_deadlines = {}  # task -> by when its drain must have been taken
        self.mark = None  # of the newest confirmed update

    def add_drain(self, task, since):
        """A task that this client may hold drains, or is gone, since then. The first report of it counts."""
        self.drain_deadlines.setdefault(task, since + self.allowance)

    def cancel_drain(self, task):
        """The task is ready again."""
        self.drain_deadlines.pop(task, None)

    def unsent_drains(self, closed):
        """Drains of which no update has been written."""
        written = {task: True for update in self.unconfirmed for task in update.drained}
        return [task for task in self.drain_deadlines if task in closed and task not in written]

    def may_send(self, now, urgent):
        """Whether an update may be written: one in flight, and one a pace unless it is a drain."""
        if self.end_offset > self.acked:
            return False
        return urgent or now >= self.sent_at + self.min_update_interval

    def record_sent(self, now, end_offset, mark, drained):
        """An update was written that tells of these drains. end: the stream's length with it."""
        self.sent_at, self.end_offset = now, end_offset
        self.unconfirmed.append(Unconfirmed(end_offset, mark, tuple(drained)))
        if len(self.unconfirmed) > MAX_UNCONFIRMED:
            older, newer = self.unconfirmed[:2]
            self.unconfirmed[:2] = [newer._replace(drained=older.drained + newer.drained)]
        self.remove_confirmed()

    def acknowledge(self, total):
        """The client's machine has acknowledged so many bytes."""
        self.acked = max(self.acked, total)
        if self.confirmed_by == "acknowledged":
            self.remove_confirmed()

    def message_received(self):
        """A whole message of the client was read, after its machine had acknowledged `acked` bytes."""
        self.acked_at_message = self.acked
        self.remove_confirmed()

    def remove_confirmed(self):
        """Settles the updates that the client has shown to have taken."""
        total = self.acked if self.confirmed_by == "acknowledged" else self.acked_at_message
        while self.unconfirmed and self.unconfirmed[0].end_offset <= total:
            update = self.unconfirmed.pop(0)
            self.mark = update.mark
            for task in update.drained:
                self.drain_deadlines.pop(task, None)

    def overdue_reason(self, now):
        """Why the connection must be closed, or ""."""
        if any(deadline <= now for deadline in self.drain_deadlines.values()):
            late = min(self.drain_deadlines, key=lambda task: (self.drain_deadlines[task], task))
            return f"has not shown that it took the drain of {late}"
        if self.end_offset > self.acked and now >= self.sent_at + READ_TIMEOUT:
            return "does not read"
        return ""

    def next_deadline(self, update_pending):
        """When to check again; None where nothing is awaited. update_waits: there is something to send."""
        times = list(self.drain_deadlines.values())
        if self.end_offset > self.acked:
            times.append(self.sent_at + READ_TIMEOUT)
        elif update_pending:
            times.append(self.sent_at + self.min_update_interval)
        return min(times, default=None)
