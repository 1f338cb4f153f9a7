"""An estimate of what waits in the channel to the proxies and of the messages that each may have been sent.

The channel is the relay's path from an assigner to its proxies (see brain.py); all costs are in lines.
"""

from garnetpaddle.state import SentBatch

SECOND = 10_000  # tenths of a ms
MARKS = 65_536  # marks are counted modulo this number
LATER_MARKS = MARKS // 2  # of two marks, the one that is fewer steps ahead of the other is the later one
# 3 s without an acknowledgement, longer than a stall: from then on the estimated queue shrinks by time alone.
CHANNEL_SILENCE_TENTHS_MS = 30_000
# 1 s: a message may be written later than it was ordered, and so count for longer towards the message cap
MESSAGE_TIME_TOLERANCE_TENTHS_MS = 10_000


class ChannelEstimate:
    """What one assigner has written to its channel, by batches of orders, and what still waits there.

    queue: what still waits, estimated from what is not acknowledged and, while no stream has broken, from the
    order of messages. unacknowledged: the upper bound of it. written_lines: all lines written so far. mark:
    that of the last batch. sent_batches: mark -> SentBatch. doubts: those of them that are lost, perhaps
    carried out.
    """

    def __init__(self, parameters):
        self.parameters = parameters
        self.queue = self.unacknowledged = self.written_lines = 0.0
        self.mark = 0
        self.sent_batches = {}
        self.doubts = {}
        # Of the present batch: what was written before it, and its shortest message
        self.written_before_batch = self.shortest_message = 0.0
        # updated_at: when the queue's estimate was last reduced by time; in_order_from: from when on the
        # order of messages is reliable; progress_at: the last acknowledgement, or the first message into an
        # empty queue if that is later
        self.updated_at = self.in_order_from = self.progress_at = 0

    def update(self, now):
        """Reduces the estimated queue by time: after CHANNEL_SILENCE_TENTHS_MS without an acknowledgement the
        channel is taken to work it off at half its rate."""
        # Seconds since the last estimate, 0 while acknowledgements arrive
        silent_s = (now - self.updated_at) * (now - self.progress_at > CHANNEL_SILENCE_TENTHS_MS) / SECOND
        self.queue = max(0.0, self.queue - silent_s * self.parameters.channel_lines / 2)
        self.updated_at = now

    # Writing

    def next_mark(self):
        """The mark of the present batch, if anything is written in it."""
        return (self.mark + 1) % MARKS

    def begin_batch(self):
        """Starts a batch of orders."""
        self.written_before_batch = self.written_lines
        self.shortest_message = self.parameters.queue_limit

    def message_cost(self, line_count):
        """What a message of so many lines costs, with its overhead and the line that asks for its
        acknowledgement."""
        return line_count + self.parameters.message_overhead_lines + 1

    def record_messages(self, now, line_count, proxies):
        """Adds a message of so many lines for each proxy to the queue; returns its cost."""
        cost = self.message_cost(line_count)
        self.progress_at = self.progress_at if self.queue else now
        reached = [proxy for proxy in proxies if not proxy.external]
        total = len(reached) * cost
        self.queue = self.queue + total
        self.unacknowledged = self.unacknowledged + total
        self.written_lines += total
        for proxy in reached:
            proxy.record_message(now, self.message_cap_since(now), self.next_mark(), cost)
        return cost

    def note_shortest_message(self, cost):
        """Takes into account a message of the present batch, of this cost."""
        self.shortest_message = min(self.shortest_message, cost)

    def end_batch(self, first_reached):
        """Ends a batch; returns whether anything was written, so that its mark is to be acknowledged.

        first_reached: as in SentBatch."""
        if self.written_lines <= self.written_before_batch:
            return False
        self.mark = self.next_mark()
        self.sent_batches[self.mark] = SentBatch(
            self.written_before_batch, self.shortest_message, self.written_lines, first_reached
        )
        return True

    # The message cap

    def message_cap_since(self, now):
        """The time after which messages count towards the message cap."""
        return now - self.parameters.message_cap_period - MESSAGE_TIME_TOLERANCE_TENTHS_MS

    def message_cap_reached(self, now, proxy):
        """Whether one more message to a proxy might pass the message cap."""
        cap = self.parameters.message_cap
        return cap > 0 and proxy.messages_since(self.message_cap_since(now)) >= cap

    # What is heard of messages

    def on_applied(self, now, proxy, mark, proxies):
        """Handles an acknowledgement: one of the proxies has applied all its messages up to a mark."""
        self.settle_doubts(proxy, mark, proxies)
        self.acknowledge(now, proxy, mark)
        if mark in self.sent_batches:
            # Messages leave in order: all that was written before this one has left the channel, and with
            # each acknowledgement at least one more of the batch's shortest messages.
            batch = self.sent_batches[mark]
            batch.departed += batch.shortest_message
            if now >= self.in_order_from:
                self.queue = max(0.0, min(self.queue, self.written_lines - batch.departed))
        while self.sent_batches and (
            next(iter(self.sent_batches.values())).end <= self.written_lines - self.queue
        ):
            self.forget_batch(next(iter(self.sent_batches)))  # it has left the channel as a whole

    def forget_batch(self, mark):
        """Forgets a batch that has left the channel, or was never in it."""
        self.sent_batches.pop(mark, None)
        self.doubts.pop(mark, None)

    def acknowledge(self, now, proxy, mark):
        """Removes what a proxy has confirmed, its messages up to a mark, from the unacknowledged lines."""
        self.unacknowledged = max(0.0, self.unacknowledged - proxy.acknowledge(mark))
        self.progress_at = now
        self.queue = min(self.queue, self.unacknowledged)

    def on_stream_broken(self, now, proxy):
        """Handles the loss of a stream that messages are under way to.

        It takes its lines out of the channel, and later messages overtake earlier ones: until the channel may
        have emptied, an acknowledgement proves nothing about the messages before it."""
        self.in_order_from = now + int(
            2 * SECOND * self.parameters.queue_limit / self.parameters.channel_lines
        )
        self.acknowledge(now, proxy, self.mark)
        # The stream broke before this event, so the latest acknowledgements prove nothing either.
        self.queue = self.unacknowledged

    def settle_doubts(self, proxy, acknowledged, proxies):
        """Settles which batches in doubt were written, by a proxy's acknowledgement of a mark.

        A proxy acknowledges its messages in order. One that a batch would have reached first and that has
        passed it over shows that no order of the batch was carried out."""
        self.doubts.pop(acknowledged, None)
        for mark, batch in list(self.doubts.items()):
            passed_over = (acknowledged - mark) % MARKS < LATER_MARKS and proxy.owes_acknowledgement(mark)
            if passed_over and proxy.id in batch.first_reached:
                self.on_messages_lost(mark, False, proxies)

    def on_messages_lost(self, mark, possibly_written, proxies):
        """Takes back what the messages of a batch to these proxies use of the queue and the message cap, if
        they were not written for certain."""
        if not possibly_written:
            self.forget_batch(mark)
        elif mark in self.sent_batches:
            self.doubts[mark] = self.sent_batches[mark]
        unsent = sum(proxy.message_lost(mark, possibly_written) for proxy in proxies)
        self.queue = max(0.0, self.queue - unsent)
        self.unacknowledged = self.unacknowledged - unsent

    def latest_doubt(self):
        """The latest batch in doubt as (mark, SentBatch), or None."""
        return next(reversed(self.doubts.items()), None)
