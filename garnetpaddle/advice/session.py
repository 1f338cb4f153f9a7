"""The part of a session that all advice protocols share: time limits, the lease, updates, their delivery."""

from dataclasses import dataclass, field

from garnetpaddle import interface as gp
from garnetpaddle.advice.session_events import (
    BytesAcknowledged,
    CloseConnection,
    ConnectionLost,
    InputDelayed,
    InputProcessed,
    MessageReceived,
    PublishEvent,
    SetTimer,
    SnapshotPublished,
    TimerExpired,
    WriteBytes,
    log_line,
)
from garnetpaddle.advice.session_registry import GroupRoute
from garnetpaddle.advice.update_delivery import UpdateDelivery
from garnetpaddle.advice.weight_table import member_weights

FIRST_MESSAGE_TIMEOUT = 20_000  # 2 s in which a connection must send its first whole message
REGISTRATION_TIMEOUT = 50_000  # 5 s more for each message of one that follows nothing
MESSAGE_TIMEOUT = 20_000  # 2 s from a message's first byte to its last
MAX_MESSAGES, RATE_PERIOD = 200, 10_000  # messages in a second: more would cost what other clients need


@dataclass(frozen=True, slots=True)
class MemberSetNumber:
    """The number of a group's member set at a version of the group; see SessionRegistry.member_set_number."""

    version: int = -1
    number: int | None = None


@dataclass(slots=True)
class FollowedGroup:
    """A group that a client follows."""

    route: GroupRoute
    members: dict = field(default_factory=dict)  # key -> advice.Member
    drained: dict = field(default_factory=dict)  # (key, task) of the drains noted
    version: int = 0  # changes with the members
    member_set: MemberSetNumber = field(default_factory=MemberSetNumber)


class AdviceSession:
    """The base of a protocol's session.

    handle(now, event) takes a session event and returns actions; after a CloseConnection it returns none but
    for ConnectionLost. Subclasses handle messages (`handle_message`), encode updates (`encode_update`, to
    bytes) and may add times of their own (`extra_timers`). groups: name -> FollowedGroup."""

    def __init__(self, registry, connection, min_update_interval, now):
        self.registry, self.connection, self.min_update_interval = registry, connection, min_update_interval
        self.follower = self.delivery = None
        self.groups, self.push_enabled, self.written, self.acked, self.joined_at = {}, False, 0, 0, now
        self.deadline, self.partial_message_since = now + FIRST_MESSAGE_TIMEOUT, None
        self.closed, self.timer_at = False, None
        self.message_count, self.rate_period_start = 0, now
        self.has_read_reply, self.published_mark = False, None
        self.recorded_drains_version = None  # the closed tasks and group version whose drains have been noted
        self.up_to_date_version = (
            None  # generation and group version of the last check that found nothing to send
        )

    def handle(self, now, event):
        """Handles one event; returns the actions."""
        out = []
        if self.closed and not isinstance(event, ConnectionLost):
            return out
        match event:
            case MessageReceived(message):
                self.receive(now, message, out)
            case InputProcessed(incomplete):
                self.partial_message_since = (self.partial_message_since or now) if incomplete else None
            case InputDelayed(duration):
                self.extend_time_limits(duration)
                return out
            case SnapshotPublished(snapshot):
                self.registry.snapshot = snapshot
            case BytesAcknowledged(total):
                self.acknowledge(now, total)
            case ConnectionLost(why):
                self.release_lease(now, why, False, out)
                return out
            case TimerExpired():
                self.timer_at = None
        if not self.closed:
            self.check(now, out)
        if not self.closed:
            self.set_timer(now, out)
        return out

    def extend_time_limits(self, duration):
        """Input was queued here for this long: the client's time limits do not count it."""
        self.deadline += duration
        self.partial_message_since = (
            None if self.partial_message_since is None else self.partial_message_since + duration
        )

    def receive(self, now, message, out):
        """Counts a message, records what it confirms, and handles it."""
        self.partial_message_since = None
        if now - self.rate_period_start >= RATE_PERIOD:
            self.message_count, self.rate_period_start = 0, now
        self.message_count += 1
        if self.message_count > MAX_MESSAGES:
            return self.close(now, "too many messages", out)
        if self.follower:
            self.confirm_updates(now)
        elif self.acked > 0:
            self.has_read_reply = True
        self.deadline = now + REGISTRATION_TIMEOUT
        self.handle_message(now, message, out)

    def confirm_updates(self, now):
        """A follower's message confirms the updates that its machine had before, and renews the lease."""
        unconfirmed_drains = len(self.delivery.drain_deadlines)
        self.delivery.message_received()
        self.has_read_reply = self.has_read_reply or self.delivery.acked_at_message > 0
        if len(self.delivery.drain_deadlines) < unconfirmed_drains:
            self.registry.leases.clear_failures(self.follower.name)
        self.registry.leases.renew(now, self.follower.name, self.connection)

    def acknowledge(self, now, total):
        """The client's machine has acknowledged so many bytes."""
        progress, self.acked = total > self.acked, max(self.acked, total)
        if self.follower:
            self.delivery.acknowledge(self.acked)
            if progress and self.delivery.confirmed_by == "acknowledged":
                self.registry.leases.renew(now, self.follower.name, self.connection)

    def write(self, data, out):
        """Writes to the client."""
        self.written += len(data)
        out.append(WriteBytes(data))

    def close(self, now, why, out, failed=False):
        """Closes the connection. failed: the client did not take a drain in time."""
        out.append(
            log_line(
                "follower_closed" if self.follower else "stranger_closed",
                warning=bool(self.follower),
                follower=self.follower.name if self.follower else "",
                why=why,
            )
        )
        self.release_lease(now, why, failed, out)
        out.append(CloseConnection(why))
        self.closed = True

    # The lease

    def acquire_lease(self, now, follower, out):
        """Acquires the follower's lease, which `leases.refusal` allowed; returns its former holder."""
        previous, events = self.registry.leases.acquire(now, follower.name, self.connection)
        if self.follower is None:
            self.follower = follower
            self.delivery = UpdateDelivery(
                self.min_update_interval, self.registry.grace_period, follower.confirmed_by
            )
            self.delivery.acknowledge(self.acked)
            self.joined_at = now
            self.registry.sessions[self.connection] = self
            out.append(log_line("follower_joined", follower=follower.name, replaces=previous is not None))
        out += [PublishEvent(event) for event in events]
        return previous

    def release_lease(self, now, why, failed, out):
        """Gives up the lease and the groups."""
        if self.follower is None:
            return
        events = self.registry.leases.release(now, self.follower.name, self.connection, failed)
        out += [PublishEvent(event) for event in events]
        out.append(log_line("follower_left", follower=self.follower.name, why=why))
        self.registry.sessions.pop(self.connection, None)
        self.follower, self.groups = None, {}

    # Updates

    def weight_table(self):
        """The present WeightTable of this follower."""
        return self.registry.weight_table(self.follower.name)

    def wanted_weights(self, table):
        """What each group should have been sent: name -> key -> MemberWeight."""
        return {
            name: self.group_weights(table, group, self.delivery.last_sent.get(name, {}))
            for name, group in self.groups.items()
        }

    def group_weights(self, table, group, last_sent):
        """One group's weights. Followers with the same members of the same table share them, and must not
        change them."""
        admitted = self.is_admitted(table, group)
        if group.member_set.version != group.version:
            number = self.registry.member_set_number(group.members)
            group.member_set = MemberSetNumber(group.version, number)
        if group.member_set.number is None or not table.number:
            return member_weights(group.members, table, last_sent, admitted)
        cache_key = group.member_set.number, admitted
        if cache_key not in table.cache:
            table.cache[cache_key] = member_weights(group.members, table, last_sent, admitted)
        return table.cache[cache_key]

    def is_admitted(self, table, group):
        """Whether anything of the group's route is let in."""
        level = table.levels.get(group.route.number)
        return level is None or level.part > 0

    def record_drains(self, table):
        """Every member that drains must be confirmed as taken, sent before or not; see advise."""
        if (
            self.recorded_drains_version is not None
            and self.recorded_drains_version[0] is table.closed
            and self.recorded_drains_version[1] == self.group_versions()
        ):
            return
        self.recorded_drains_version = table.closed, self.group_versions()
        for group in self.groups.values():
            for key, member in group.members.items():
                self.record_drain(table, group, key, member.current_task(table))

    def record_drain(self, table, group, key, task):
        """Notes that a member's task drains, or is open again."""
        if task in table.closed:
            if (key, task) not in group.drained:
                group.drained[key, task] = True
                self.delivery.add_drain(task, max(table.closed[task], self.joined_at))
        elif (key, task) in group.drained:
            del group.drained[key, task]
            self.delivery.cancel_drain(task)

    def check(self, now, out):
        """Checks the time limits, then sends what is due."""
        if self.partial_message_since is not None and now >= self.partial_message_since + MESSAGE_TIMEOUT:
            failed = bool(self.delivery and self.delivery.drain_deadlines)
            return self.close(now, "half a message", out, failed=failed)
        if self.follower is None:
            if now >= self.deadline:
                self.close(now, "has not registered", out)
            return None
        if self.registry.leases.by_name[self.follower.name].holder != self.connection:
            return self.close(now, "another connection took its seat", out)
        table, versions = self.weight_table(), self.group_versions()
        if self.up_to_date_version != (table.generation, versions):
            self.record_drains(table)
        if why := self.delivery.overdue_reason(now):
            return self.close(now, why, out, failed=True)
        if self.push_enabled and self.up_to_date_version != (table.generation, versions):
            self.push(now, table, versions, out)
        self.publish_mark(now, out)
        return None

    def publish_mark(self, now, out):
        """Tells the Brain of the newest mark whose update is confirmed."""
        mark = self.delivery.mark
        if mark is not None and mark != self.published_mark:
            self.published_mark = mark
            number = self.registry.proxy_number(self.follower.name)
            out.append(PublishEvent(gp.Applied(number, mark, max(0, now - self.delivery.sent_at))))

    def push(self, now, table, versions, out):
        """Sends an update if there is something new and the client may be written to."""
        drained = self.delivery.unsent_drains(table.closed)
        if not self.delivery.may_send(now, urgent=bool(drained)):
            return
        wanted = self.wanted_weights(table)
        last_sent = self.delivery.last_sent
        changed = {name: group for name, group in wanted.items() if group != last_sent.get(name, {})}
        if not changed and not drained:
            self.up_to_date_version = table.generation, versions
            return
        if not changed:  # sent as zero already, but the drain must still be sent as such
            changed = {
                name: group
                for name, group in wanted.items()
                if any(self.groups[name].members[key].current_task(table) in drained for key in group)
            }
        self.write(self.encode_update(table, wanted, changed), out)
        self.record_update(now, table, wanted, drained)
        self.up_to_date_version = table.generation, versions

    def record_update(self, now, table, wanted, drained):
        """An update with these weights, telling of these drains, was written."""
        self.delivery.last_sent |= wanted
        self.delivery.record_sent(now, self.written, table.mark, drained)

    def group_versions(self):
        """Changes whenever groups or members do."""
        return tuple(group.version for group in self.groups.values())

    def set_timer(self, now, out):
        """Asks to be called at the next time limit."""
        times = [] if self.partial_message_since is None else [self.partial_message_since + MESSAGE_TIMEOUT]
        if self.follower is None:
            times.append(self.deadline)
        else:
            table = self.weight_table()
            update_pending = self.push_enabled and self.up_to_date_version != (
                table.generation,
                self.group_versions(),
            )
            next_deadline = self.delivery.next_deadline(update_pending)
            times += [] if next_deadline is None else [next_deadline]
        times += self.extra_timers(now)
        at = min(times, default=None)
        if at is not None:
            at = max(at, now + 1)
        if at != self.timer_at:
            self.timer_at = at
            out.append(SetTimer(at))

    # What a protocol's session provides

    def handle_message(self, now, message, out):
        """Handles one message of the client."""
        raise NotImplementedError

    def encode_update(self, table, wanted, changed):
        """An update as bytes. wanted, changed: name -> key -> MemberWeight of all groups, of changed ones."""
        raise NotImplementedError

    def extra_timers(self, now):
        """Further times at which a protocol's session has something to do."""
        return ()
