"""One connection of a DFP manager: its group's advice, drains and keep-alives. No I/O."""

import ipaddress

from garnetpaddle.advice import Member
from garnetpaddle.advice.access import refusal_reason
from garnetpaddle.advice.session import FIRST_MESSAGE_TIMEOUT, AdviceSession, FollowedGroup
from garnetpaddle.advice.session_events import NotifySession, WriteBytes, log_line
from garnetpaddle.dfp import codec

SECOND = 10_000  # tenths of a ms
KEEP_ALIVES_PER_PERIOD = 2  # a keep-alive is sent after half of the time that the manager allows
LEASE_RETRY_PERIOD = SECOND // 2


class Session(AdviceSession):
    """The session of one DFP manager, the client in this protocol.

    configured_follower, group_name: from the operator's configuration, since the protocol carries neither;
    keep_alive: tenths of a ms, or None. The group's members are all tasks that have an IPv4 address."""

    def __init__(
        self, registry, connection, min_update_interval, configured_follower, group_name, keep_alive, key, now
    ):
        super().__init__(registry, connection, min_update_interval, now)
        self.configured_follower, self.group_name = configured_follower, group_name
        self.keep_alive, self.key = keep_alive, key
        self.push_enabled, self.logged_refusal, self.initial_message_sent, self.last_write_at = (
            True,
            None,
            False,
            now,
        )

    def handle_message(self, now, message, actions):
        """Handles one message of the manager."""
        match message:
            case codec.InvalidMessage(why, fatal):
                actions.append(log_line("message_unreadable", why=why))
                if fatal:
                    self.close(now, "unreadable, or its security is wrong", actions)
            case codec.Parameters(keep_alive) if keep_alive is not None:
                # 0 turns it off; the minimum keeps a short interval from flooding the manager.
                self.keep_alive = max(keep_alive * SECOND, SECOND) if keep_alive else None
            case codec.BindIdRequest():
                self.write(codec.encode(codec.BindIdReport(), self.key), actions)
            case codec.ServerState(loads):
                held_out = sum(host.weight == 0 for load in loads for host in load.hosts)
                name = self.configured_follower.name
                actions.append(log_line("manager_state", follower=name, held_out=held_out))

    def check(self, now, actions):
        """Acquires the lease when possible and refreshes the members, then checks as every session does.

        Then sends a keep-alive to a follower if nothing was written for half of the keep-alive time."""
        if self.follower is None and not self.closed:
            self.try_acquire_lease(now, actions)
        if self.follower is None and not self.closed:
            # It may wait for its lease without a time limit, because the port identifies the follower.
            self.deadline = now + FIRST_MESSAGE_TIMEOUT
        if not self.closed:
            self.update_members(self.registry.snapshot)
        super().check(now, actions)
        if any(isinstance(action, WriteBytes) for action in actions):
            self.last_write_at = now
        if self.follower and self.keep_alive and now >= self.next_keep_alive_at():
            # An empty Preference serves as keep-alive; changes may still be waiting for their update.
            self.write(codec.encode(codec.Preference(), self.key), actions)
            self.last_write_at = now

    def next_keep_alive_at(self):
        """Returns the time by which the manager must be sent something; only called if keep_alive is set."""
        return self.last_write_at + self.keep_alive // KEEP_ALIVES_PER_PERIOD

    def try_acquire_lease(self, now, actions):
        """Acquires the lease if the follower may have it; closes if it may not receive the route's advice.

        While the lease itself is refused, a timer tries again; the refusal is logged when its reason
        changes."""
        if not self.initial_message_sent:
            self.initial_message_sent = True
            self.write(codec.encode(codec.Preference(), self.key), actions)
        follower, route = self.configured_follower, self.registry.groups[self.group_name]
        level = self.registry.level(follower.name, route)
        why = refusal_reason(route.effect, follower.retries, level, already_granted=False)
        if why:
            actions.append(log_line("follower_refused", warning=True, follower=follower.name, why=why))
            return self.close(now, why, actions)
        why = self.registry.leases.refusal_reason(now, follower.name, self.connection, self.acked > 0)
        if why:
            if why != self.logged_refusal:
                actions.append(log_line("follower_refused", warning=True, follower=follower.name, why=why))
            self.logged_refusal = why
            return None
        previous = self.acquire_lease(now, follower, actions)
        if previous is not None:
            actions.append(NotifySession(previous))
        self.groups = {self.group_name: FollowedGroup(route)}
        return None

    def update_members(self, snapshot):
        """Sets the members to the listed tasks at IPv4 addresses, once per snapshot.

        Of two tasks at one address, a ready one is preferred."""
        group = self.groups.get(self.group_name)
        if group is None or group.version == snapshot.generation:
            return
        members = {}
        for task, record in snapshot.tasks.items():
            if record.address is None:
                continue
            try:
                key = ipaddress.IPv4Address(record.address[0]).packed, record.address[1]
            except ValueError:
                continue
            if key not in members or not record.is_not_ready():
                members[key] = Member(key, record.address, task)
        # A task that is no longer known stays until the manager has been sent weight 0 for it.
        last_sent = self.delivery.last_sent.get(self.group_name, {})
        for key, member in group.members.items():
            if key not in members and key in last_sent and last_sent[key].weight:
                members[key] = member
        self.delivery.last_sent[self.group_name] = {k: w for k, w in last_sent.items() if k in members}
        group.drained = {pair: True for pair in group.drained if pair[0] in members}
        group.members, group.version = members, snapshot.generation

    def encode_update(self, table, wanted, changed):
        """Returns a Preference message with all members, as bytes; `changed` is not needed."""
        ports = {}
        for key, weight in wanted[self.group_name].items():
            ports.setdefault(key[1], []).append(codec.Host(key[0], weight.weight))
        loads = tuple(codec.Load(port, tuple(hosts)) for port, hosts in ports.items())
        return codec.encode(codec.Preference(loads), self.key)

    def extra_timers(self, now):
        """Returns the time of the next attempt to acquire the lease, or of the next keep-alive, if any."""
        if self.follower is None:
            return (now + LEASE_RETRY_PERIOD,)
        return (self.next_keep_alive_at(),) if self.keep_alive else ()
