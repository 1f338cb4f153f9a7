"""The protocol-independent part of a session: time limits, lease, updates and their delivery.

Times are in tenths of a ms."""

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

FIRST_MESSAGE_TIMEOUT = 20_000  # 2 s from the connection's start to its first complete message
REGISTRATION_TIMEOUT = 50_000  # 5 s from each message of a client without a lease to the next
MESSAGE_TIMEOUT = 20_000  # 2 s from a message's first byte to its last
MAX_MESSAGES_PER_PERIOD, RATE_PERIOD = (
    200,
    10_000,
)  # messages per 1 s, so that one client cannot starve the others


@dataclass(frozen=True, slots=True)
class MemberSetNumber:
    """The number of a group's member set at one group version; see SessionRegistry.member_set_number."""

    version: int = -1
    number: int | None = None


@dataclass(slots=True)
class FollowedGroup:
    """A group that a client follows, with the members that it registered or that the protocol implies."""

    route: GroupRoute
    members: dict = field(default_factory=dict)  # key -> advice.Member
    drained: dict = field(default_factory=dict)  # (key, task) -> True, for each drain that was recorded
    version: int = 0  # changes whenever the members do
    member_set: MemberSetNumber = field(default_factory=MemberSetNumber)


class AdviceSession:
    """Base class of the protocols' sessions.

    handle(now, event) takes a session event and returns actions; after a CloseConnection it handles only
    ConnectionLost. Subclasses handle messages (`handle_message`), encode updates as bytes (`encode_update`)
    and may add their own timers (`extra_timers`). registry: the SessionRegistry; connection: its number;
    min_update_interval: between two updates, except drains; groups: name -> FollowedGroup.
    follower: set from the acquisition of its lease to the release, else None."""

    def __init__(self, registry, connection, min_update_interval, now):
        self.registry, self.connection, self.min_update_interval = registry, connection, min_update_interval
        self.follower = self.delivery = None
        self.groups, self.push_enabled, self.written, self.acked, self.joined_at = {}, False, 0, 0, now
        # deadline: for the next message of a client without a lease; partial_message_since: when input was
        # first found to end within a message, or None.
        self.deadline, self.partial_message_since = now + FIRST_MESSAGE_TIMEOUT, None
        self.closed, self.timer_at = False, None  # timer_at: of the last SetTimer; None once it has expired
        self.message_count, self.rate_period_start = 0, now
        # has_read_reply: the client sent a message after its TCP stack acknowledged a reply of ours.
        self.has_read_reply, self.published_mark = False, None
        # (WeightTable.not_ready_since, group versions) whose drains are recorded; None before the first.
        self.recorded_drains_version = None
        # (WeightTable.generation, group versions) for which nothing is left to send.
        self.up_to_date_version = None

    def handle(self, now, event):
        """Handles one session event at `now`; returns the actions, in the order of their execution."""
        actions = []
        if self.closed and not isinstance(event, ConnectionLost):
            return actions
        match event:
            case MessageReceived(message):
                self.receive(now, message, actions)
            case InputProcessed(incomplete):
                self.partial_message_since = (self.partial_message_since or now) if incomplete else None
            case InputDelayed(duration):
                self.extend_time_limits(duration)
                return actions
            case SnapshotPublished(snapshot):
                self.registry.snapshot = snapshot
            case BytesAcknowledged(total):
                self.acknowledge(now, total)
            case ConnectionLost(why):
                self.release_lease(now, why, False, actions)
                return actions
            case TimerExpired():
                self.timer_at = None
        if not self.closed:
            self.check(now, actions)
        if not self.closed:
            self.set_timer(now, actions)
        return actions

    def extend_time_limits(self, duration):
        """Extends the client's time limits by the time for which its input was queued here."""
        self.deadline += duration
        self.partial_message_since = (
            None if self.partial_message_since is None else self.partial_message_since + duration
        )

    def receive(self, now, message, actions):
        """Handles a message after the rate limit, and records what it confirms."""
        self.partial_message_since = None
        if now - self.rate_period_start >= RATE_PERIOD:
            self.message_count, self.rate_period_start = 0, now
        self.message_count += 1
        if self.message_count > MAX_MESSAGES_PER_PERIOD:
            return self.close(now, "too many messages", actions)
        if self.follower:
            self.confirm_updates(now)
        elif self.acked > 0:
            self.has_read_reply = True
        self.deadline = now + REGISTRATION_TIMEOUT
        self.handle_message(now, message, actions)

    def confirm_updates(self, now):
        """Confirms the updates acknowledged before this message of a follower, and renews the lease."""
        unconfirmed_drains = len(self.delivery.drain_deadlines)
        self.delivery.message_received()
        self.has_read_reply = self.has_read_reply or self.delivery.acked_at_message > 0
        if len(self.delivery.drain_deadlines) < unconfirmed_drains:
            self.registry.leases.clear_failures(self.follower.name)
        self.registry.leases.renew(now, self.follower.name, self.connection)

    def acknowledge(self, now, total):
        """Records how many bytes the client's TCP stack has acknowledged."""
        progress, self.acked = total > self.acked, max(self.acked, total)
        if self.follower:
            self.delivery.acknowledge(self.acked)
            if progress and self.delivery.confirmed_by == "acknowledged":
                self.registry.leases.renew(now, self.follower.name, self.connection)

    def write(self, data, actions):
        """Adds a WriteBytes action and counts its bytes."""
        self.written += len(data)
        actions.append(WriteBytes(data))

    def close(self, now, why, actions, failed=False):
        """Logs why, gives up the lease and closes the connection. failed: the client did not confirm a drain
        in time."""
        actions.append(
            log_line(
                "follower_closed" if self.follower else "stranger_closed",
                warning=bool(self.follower),
                follower=self.follower.name if self.follower else "",
                why=why,
            )
        )
        self.release_lease(now, why, failed, actions)
        actions.append(CloseConnection(why))
        self.closed = True

    # The lease

    def acquire_lease(self, now, follower, actions):
        """Acquires the follower's lease; returns the number of the connection that held it before, or None.

        The caller has checked `leases.refusal_reason` before."""
        previous, events = self.registry.leases.acquire(now, follower.name, self.connection)
        if self.follower is None:
            self.follower = follower
            self.delivery = UpdateDelivery(
                self.min_update_interval, self.registry.grace_period, follower.confirmed_by
            )
            self.delivery.acknowledge(self.acked)
            self.joined_at = now
            self.registry.sessions[self.connection] = self
            actions.append(log_line("follower_joined", follower=follower.name, replaces=previous is not None))
        actions += [PublishEvent(event) for event in events]
        return previous

    def release_lease(self, now, why, failed, actions):
        """Gives up the lease, if the session holds it, and the groups. failed: as in close."""
        if self.follower is None:
            return
        events = self.registry.leases.release(now, self.follower.name, self.connection, failed)
        actions += [PublishEvent(event) for event in events]
        actions.append(log_line("follower_left", follower=self.follower.name, why=why))
        self.registry.sessions.pop(self.connection, None)
        self.follower, self.groups = None, {}

    # Updates

    def weight_table(self):
        """Returns the current WeightTable of this follower."""
        return self.registry.weight_table(self.follower.name)

    def wanted_weights(self, table):
        """Returns the weights that each group should have: name -> key -> MemberWeight."""
        return {
            name: self.group_weights(table, group, self.delivery.last_sent.get(name, {}))
            for name, group in self.groups.items()
        }

    def group_weights(self, table, group, last_sent):
        """Returns one group's weights, which must not be modified.

        Followers with the same members of the same table share them, except without a table, when the weights
        depend on those sent last."""
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
        """Returns whether the Brain admits any calls of the group's route; true if it ordered no level."""
        level = table.levels.get(group.route.number)
        return level is None or level.admitted > 0

    def record_drains(self, table):
        """Records the drain of every member, including those never sent; see member_weights."""
        if (
            self.recorded_drains_version is not None
            and self.recorded_drains_version[0] is table.not_ready_since
            and self.recorded_drains_version[1] == self.group_versions()
        ):
            return
        self.recorded_drains_version = table.not_ready_since, self.group_versions()
        for group in self.groups.values():
            for key, member in group.members.items():
                self.record_drain(table, group, key, member.current_task(table))

    def record_drain(self, table, group, key, task):
        """Records that a member's task is draining or gone, or is ready again."""
        if task in table.not_ready_since:
            if (key, task) not in group.drained:
                group.drained[key, task] = True
                self.delivery.add_drain(task, max(table.not_ready_since[task], self.joined_at))
        elif (key, task) in group.drained:
            del group.drained[key, task]
            self.delivery.cancel_drain(task)

    def check(self, now, actions):
        """Closes the connection if a time limit or its lease is over; else records drains and sends what is
        due."""
        if self.partial_message_since is not None and now >= self.partial_message_since + MESSAGE_TIMEOUT:
            failed = bool(self.delivery and self.delivery.drain_deadlines)
            return self.close(now, "half a message", actions, failed=failed)
        if self.follower is None:
            if now >= self.deadline:
                self.close(now, "has not registered", actions)
            return None
        if self.registry.leases.by_name[self.follower.name].holder != self.connection:
            return self.close(now, "another connection took its seat", actions)
        table, versions = self.weight_table(), self.group_versions()
        if self.up_to_date_version != (table.generation, versions):
            self.record_drains(table)
        if why := self.delivery.overdue_reason(now):
            return self.close(now, why, actions, failed=True)
        if self.push_enabled and self.up_to_date_version != (table.generation, versions):
            self.push(now, table, versions, actions)
        self.publish_mark(now, actions)
        return None

    def publish_mark(self, now, actions):
        """Reports the newest mark whose update is confirmed to the Brain."""
        mark = self.delivery.mark
        if mark is not None and mark != self.published_mark:
            self.published_mark = mark
            number = self.registry.proxy_number(self.follower.name)
            actions.append(PublishEvent(gp.OrdersApplied(number, mark, max(0, now - self.delivery.sent_at))))

    def push(self, now, table, versions, actions):
        """Sends an update if something changed and the client may be written to."""
        drained = self.delivery.unsent_drains(table.not_ready_since)
        if not self.delivery.may_send(now, urgent=bool(drained)):
            return
        wanted = self.wanted_weights(table)
        last_sent = self.delivery.last_sent
        changed = {name: group for name, group in wanted.items() if group != last_sent.get(name, {})}
        if not changed and not drained:
            self.up_to_date_version = table.generation, versions
            return
        if not changed:  # sent with weight 0 already, but the drain itself must be sent to be confirmed
            changed = {
                name: group
                for name, group in wanted.items()
                if any(self.groups[name].members[key].current_task(table) in drained for key in group)
            }
        self.write(self.encode_update(table, wanted, changed), actions)
        self.record_update(now, table, wanted, drained)
        self.up_to_date_version = table.generation, versions

    def record_update(self, now, table, wanted, drained):
        """Records that an update with these weights and drains was written."""
        self.delivery.last_sent |= wanted
        self.delivery.record_sent(now, self.written, table.mark, drained)

    def group_versions(self):
        """Returns a value that changes whenever groups or members do."""
        return tuple(group.version for group in self.groups.values())

    def set_timer(self, now, actions):
        """Adds a SetTimer for the next check if its time has changed, or with None if none is needed now.

        The check may be for a time limit, the next update or a timer of the protocol's session."""
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
            at = max(at, now + 1)  # everything due up to `now` has just been checked
        if at != self.timer_at:
            self.timer_at = at
            actions.append(SetTimer(at))

    # Implemented by the protocols' sessions

    def handle_message(self, now, message, actions):
        """Handles one message of the client."""
        raise NotImplementedError

    def encode_update(self, table, wanted, changed):
        """Returns an update as bytes.

        wanted, changed: name -> key -> MemberWeight, of all groups and of those that changed."""
        raise NotImplementedError

    def extra_timers(self, now):
        """Returns further times at which the session needs a check."""
        return ()
