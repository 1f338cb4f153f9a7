"""The channel of an assigner and the proxies that it reaches, on the scheduler of a fleet."""

import collections
from dataclasses import dataclass

from garnetpaddle import interface as gp
from garnetpaddle.rehearsal.model import Channel, Proxy
from garnetpaddle.rehearsal.model.channel import Message, SetWithdrawn

TENTHS_OF_MS_PER_SECOND = 10_000
LONGEST_DELAY = 4.0  # of a message, as a multiple of the mean: the platform's delays are bounded


class AbsentProxy:
    """Stands for a proxy that is not joined to the assigner that names it."""

    joined = False
    joined_at = -1


class Members(dict):
    """The proxies joined to one assigner, by number."""

    def __missing__(self, number):
        return AbsentProxy


class FleetProxy(Proxy):
    """A proxy that may join any assigner. link: the one that it is joined to, or None."""

    link = None
    last_sender = None  # the link whose message it applied last, and when that was sent
    last_message_sent_at = None
    last_ordered_by = None  # the link that ordered the last message to it, and when
    last_ordered_at = None


@dataclass(slots=True)
class QueuedMessage:
    """A message that waits in a channel."""

    number: int
    lines: float
    changes: list
    mark: int | None
    sent_at: int
    joined_at: int


class StreamChannel(Channel):
    """The channel of one assigner: sends one message at a time, and drops what waits for a broken stream.

    It records when the last message that a proxy has applied was sent, and by which assigner.
    """

    link = None

    def reset(self):
        super().reset()
        self.waiting = collections.deque()
        self.waiting_lines = 0.0
        self.sending = False

    def queued_lines(self):
        return self.waiting_lines

    def apply(self, order, messages):
        """As in Channel, but a withdrawal is a line only at proxies that hold one of the task."""
        if not isinstance(order, gp.WithdrawTask):
            super().apply(order, messages)
            return
        self.withdrawn.pop(order.task, None)
        self.withdrawn |= {order.task: True} if order.withdrawn else {}
        for number, proxy in self.proxies.items():
            bound = number in self.table_by_proxy
            lines = self.tables.get(self.table_by_proxy[number], {}) if bound else proxy.lines.weights
            if order.task in lines:
                change = SetWithdrawn(order.task, order.withdrawn)
                messages.setdefault(number, Message()).add(1, change)

    def enqueue(self, number, lines, changes, mark):
        self.lines += lines
        self.waiting_lines += lines
        joined_at = self.proxies[number].joined_at
        self.proxies[number].last_ordered_by = self.link
        self.proxies[number].last_ordered_at = self.scheduler.now
        self.waiting.append(QueuedMessage(number, lines, changes, mark, self.scheduler.now, joined_at))
        if not self.sending:
            self.send_next()

    def send_next(self):
        """Starts to send the oldest message."""
        self.sending = bool(self.waiting)
        if self.sending:
            message = self.waiting[0]
            duration = int(message.lines / self.rate * TENTHS_OF_MS_PER_SECOND) + 1
            self.scheduler.call_later(duration, self.on_sent, message, self.incarnation)

    def on_sent(self, message, incarnation):
        """A message is on its way; messages to one proxy arrive in order."""
        if incarnation != self.incarnation:
            return
        if self.waiting and self.waiting[0] is message:
            self.waiting.popleft()
            self.waiting_lines -= message.lines
            number = message.number
            delay = min(self.random.exponential(), LONGEST_DELAY) * self.mean_delay
            travel_time = int(delay * TENTHS_OF_MS_PER_SECOND)
            at = max(self.scheduler.now + travel_time, self.last_arrivals.get(number, 0))
            self.last_arrivals[number] = at
            self.scheduler.call_at(
                at,
                self.deliver,
                number,
                message.changes,
                message.mark,
                message.sent_at,
                incarnation,
                message.joined_at,
            )
        self.send_next()

    def disconnect(self, number):
        super().disconnect(number)
        kept = [message for message in self.waiting if message.number != number]
        self.waiting = collections.deque(kept)
        self.waiting_lines = sum(message.lines for message in kept)

    def deliver(self, number, changes, mark, sent_at, incarnation, joined_at):
        super().deliver(number, changes, mark, sent_at, incarnation, joined_at)
        proxy = self.proxies[number]
        if proxy.joined and proxy.joined_at == joined_at and incarnation == self.incarnation:
            proxy.last_sender, proxy.last_message_sent_at = self.link, sent_at
