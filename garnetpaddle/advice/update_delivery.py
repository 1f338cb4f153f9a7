"""Delivery of updates to one client: what was sent and confirmed, and the deadlines for confirming drains.

Times are in tenths of a ms."""

from typing import NamedTuple

SAFETY_MARGIN = 0.25  # of the grace period, left for the close to reach the client and its calls to finish
MIN_SAFETY_MARGIN = 3_000  # 0.3 s, unless that is over half of the grace period
READ_TIMEOUT = 20_000  # 2 s within which the client's TCP stack must acknowledge an update
MAX_UNCONFIRMED = 32  # unconfirmed updates tracked separately; the oldest are merged beyond that


def drain_allowance(grace_period):
    """Returns how long after the start of a drain the client may take to confirm it."""
    return grace_period - min(max(int(grace_period * SAFETY_MARGIN), MIN_SAFETY_MARGIN), grace_period // 2)


class Unconfirmed(NamedTuple):
    """An update that was written and is not yet confirmed.

    end_offset: its end in the output stream, in bytes; mark: the Brain's newest mark that it includes;
    drained: the tasks whose drain it reports."""

    end_offset: int
    mark: int
    drained: tuple[str, ...]


class UpdateDelivery:
    """Tracks the updates of one connection by their byte offsets in the output stream.

    min_update_interval: between two updates, except drains. confirmed_by: "acknowledged" if the client's TCP
    acknowledgement counts as confirmation, "answers" if only a later message of the client does."""

    def __init__(self, min_update_interval, grace_period, confirmed_by):
        self.min_update_interval, self.allowance, self.confirmed_by = (
            min_update_interval,
            drain_allowance(grace_period),
            confirmed_by,
        )
        self.last_sent = {}  # group -> key -> MemberWeight, as last written
        self.sent_at, self.end_offset = -min_update_interval, 0  # of the newest update
        self.acked, self.acked_at_message = 0, 0  # bytes acknowledged: now, and at the client's last message
        self.unconfirmed = []
        self.drain_deadlines = {}  # task -> time by which its drain must be confirmed
        self.mark = None  # the Brain's mark of the newest confirmed update

    def add_drain(self, task, since):
        """Records since when a task that the client may use drains or is gone; the first report counts."""
        self.drain_deadlines.setdefault(task, since + self.allowance)

    def cancel_drain(self, task):
        """Removes the deadline of a task that is ready again."""
        self.drain_deadlines.pop(task, None)

    def unsent_drains(self, not_ready_since):
        """Returns the pending drains that no written update contains."""
        written = {task: True for update in self.unconfirmed for task in update.drained}
        return [task for task in self.drain_deadlines if task in not_ready_since and task not in written]

    def may_send(self, now, urgent):
        """Returns whether an update may be written.

        At most one is in flight, and one per min_update_interval unless it is urgent (a drain)."""
        if self.end_offset > self.acked:
            return False
        return urgent or now >= self.sent_at + self.min_update_interval

    def record_sent(self, now, end_offset, mark, drained):
        """Records a written update that ends at this offset and contains these drains."""
        self.sent_at, self.end_offset = now, end_offset
        self.unconfirmed.append(Unconfirmed(end_offset, mark, tuple(drained)))
        if len(self.unconfirmed) > MAX_UNCONFIRMED:
            older, newer = self.unconfirmed[:2]
            self.unconfirmed[:2] = [newer._replace(drained=older.drained + newer.drained)]
        self.remove_confirmed()

    def acknowledge(self, total):
        """Records how many bytes the client's TCP stack has acknowledged."""
        self.acked = max(self.acked, total)
        if self.confirmed_by == "acknowledged":
            self.remove_confirmed()

    def message_received(self):
        """Records a complete message of the client; it confirms what was acknowledged before it."""
        self.acked_at_message = self.acked
        self.remove_confirmed()

    def remove_confirmed(self):
        """Removes the updates that the client has confirmed, and the deadlines of their drains."""
        total = self.acked if self.confirmed_by == "acknowledged" else self.acked_at_message
        while self.unconfirmed and self.unconfirmed[0].end_offset <= total:
            update = self.unconfirmed.pop(0)
            self.mark = update.mark
            for task in update.drained:
                self.drain_deadlines.pop(task, None)

    def overdue_reason(self, now):
        """Returns why the connection must be closed, or ""."""
        if any(deadline <= now for deadline in self.drain_deadlines.values()):
            late = min(self.drain_deadlines, key=lambda task: (self.drain_deadlines[task], task))
            return f"has not shown that it took the drain of {late}"
        if self.end_offset > self.acked and now >= self.sent_at + READ_TIMEOUT:
            return "does not read"
        return ""

    def next_deadline(self, update_pending):
        """Returns the time of the next check, or None. update_pending: there is an update to send."""
        times = list(self.drain_deadlines.values())
        if self.end_offset > self.acked:
            times.append(self.sent_at + READ_TIMEOUT)
        elif update_pending:
            times.append(self.sent_at + self.min_update_interval)
        return min(times, default=None)
