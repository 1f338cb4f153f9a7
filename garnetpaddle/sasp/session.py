"""One connection of a load balancer or a member: the requests of RFC 4678 and their effects. No I/O."""

from dataclasses import dataclass, replace
from typing import NamedTuple

from garnetpaddle.advice import Member
from garnetpaddle.advice.access import refusal_reason
from garnetpaddle.advice.session import AdviceSession, FollowedGroup
from garnetpaddle.advice.session_events import NotifySession, log_line
from garnetpaddle.sasp import codec
from garnetpaddle.sasp import messages as m
from garnetpaddle.sasp.constants import CONFIDENT, CONTACT, QUIESCE, REGISTERED, MessageType, ResponseCode

TCP, ANY_PROTOCOL = 6, 0  # a member's protocol
POLLS_PER_GRACE_PERIOD = 3  # one to learn of a drain, one to confirm it, one to spare
SECOND = 10_000  # tenths of a ms
MIN_POLL_INTERVAL = 1  # s; also used while there are no weights yet
MAX_MESSAGE_ID = 0xFFFF_FFFF


@dataclass(slots=True)
class BalancerGroup(FollowedGroup):
    """A group that the load balancer has registered."""

    name: m.GroupName = None


class PollState(NamedTuple):
    """The state on which the reply to a poll depends."""

    generation: int
    version: tuple[int, ...]
    inclusive_lengths: bool


@dataclass(frozen=True, slots=True)
class PollReply:
    """The weights that a poll was answered with, and their groups as bytes."""

    state: PollState
    wanted: dict
    encoded: list[bytes]


@dataclass(frozen=True, slots=True)
class EncodedEntries:
    """Entries as bytes.

    held_references: the objects whose ids are the cache key; held so that the ids are not reused."""

    count: int
    data: bytes
    held_references: tuple


class RequestRefusedError(Exception):
    """A request is refused. code: for the reply; why: the reason for the log."""

    def __init__(self, code, why):
        super().__init__(why)
        self.code, self.why = code, why


class Session(AdviceSession):
    """interval: the operator's poll interval in tenths of a ms; max_members: of one follower.

    peer_host: the peer's address, because a member may send requests only for itself."""

    def __init__(self, registry, connection, min_update_interval, interval, max_members, peer_host, now):
        super().__init__(registry, connection, min_update_interval, now)
        self.poll_interval = max(
            MIN_POLL_INTERVAL, min(interval, registry.grace_period // POLLS_PER_GRACE_PERIOD) // SECOND
        )
        self.max_members, self.peer_host = max_members, peer_host
        self.trust = self.no_change = self.inclusive_lengths = False
        self.last_message_id, self.poll_replies = 0, {}  # poll_replies: group names -> PollReply

    def handle_message(self, now, message, actions):
        """Handles a request and writes the reply."""
        if isinstance(message, codec.InvalidMessage):
            if data := codec.encode_not_understood_reply(message):
                self.write(data, actions)
            actions.append(log_line("message_unreadable", why=message.why))
            if message.fatal:
                self.close(now, "unreadable", actions)
            return
        # A peer uses one form throughout; messages without nested components do not show which.
        self.inclusive_lengths = self.inclusive_lengths or message.inclusive_lengths
        try:
            reply = self.handle_request(now, message, actions)
        except RequestRefusedError as refusal:
            actions.append(
                log_line(
                    "follower_refused",
                    warning=True,
                    follower=self.follower.name if self.follower else "",
                    code=f"0x{refusal.code:02x}",
                    why=refusal.why,
                )
            )
            reply = self.refusal_reply(message, refusal.code)
        except codec.EncodeError as error:
            self.close(now, f"an answer that the wire has no room for: {error}", actions)
            return
        if reply:
            self.write(reply, actions)
            if isinstance(message, m.GetWeights) and self.follower and self.delivery:
                self.record_poll(now)

    def refusal_reply(self, message, code):
        """Returns the reply to a refused request."""
        if isinstance(message, m.GetWeights):
            return codec.encode_weights_reply(
                message.id, code, self.poll_interval, [], self.inclusive_lengths
            )
        return codec.encode(
            m.Reply(message.id, codec.REPLY_TYPES[self.request_type(message)], code, self.inclusive_lengths)
        )

    def request_type(self, message):
        """Returns the message type of a request."""
        return {
            m.Register: MessageType.REGISTER,
            m.Deregister: MessageType.DEREGISTER,
            m.SetLbState: MessageType.SET_LB_STATE,
            m.SetMemberState: MessageType.SET_MEMBER_STATE,
        }[type(message)]

    def handle_request(self, now, message, actions):
        """Executes a request; returns the reply as bytes, or raises RequestRefusedError."""
        match message:
            case m.Register(lb=True):
                self.register(now, message, actions)
            case m.Register():
                self.register_self(message, actions)
            case m.Deregister(lb=True):
                self.deregister(now, message, actions)
            case m.Deregister():
                self.deregister_self(message, actions)
            case m.GetWeights():
                return self.reply_to_poll(now, message)
            case m.SetLbState():
                self.set_lb_state(message, actions)
            case m.SetMemberState():
                self.set_member_states(message, actions)
            case _:
                raise RequestRefusedError(ResponseCode.NOT_UNDERSTOOD, "a message that only a manager sends")
        return codec.encode(
            m.Reply(
                message.id,
                codec.REPLY_TYPES[self.request_type(message)],
                ResponseCode.SUCCESS,
                self.inclusive_lengths,
            )
        )

    # Registration, section 6.1

    def register(self, now, message, actions):
        """Registers members for a balancer: all of them or none."""
        if not message.groups:
            raise RequestRefusedError(ResponseCode.INVALID_GROUP, "no group")
        follower, added = None, {}
        for name, members in message.groups:
            follower = self.follower_of(name)
            if self.follower and follower is not self.follower:
                raise RequestRefusedError(ResponseCode.NOT_ACCEPTED, "a group of another balancer")
            group = added.get(name.name) or self.granted_group(follower, name)
            added[name.name] = group = replace(
                group, members=dict(group.members), drained=dict(group.drained)
            )
            self.add_members(group, members)
        if len({name.uid for name, _ in message.groups}) > 1:
            raise RequestRefusedError(ResponseCode.NOT_ACCEPTED, "groups of two balancers")
        unchanged_groups = [group for key, group in self.groups.items() if key not in added]
        count = sum(len(group.members) for group in (*added.values(), *unchanged_groups))
        if count > self.max_members:
            raise RequestRefusedError(
                ResponseCode.NOT_ACCEPTED, f"{count} members, {self.max_members} are the most"
            )
        why = self.registry.leases.refusal_reason(now, follower.name, self.connection, self.has_read_reply)
        if why:
            raise RequestRefusedError(ResponseCode.NOT_ACCEPTED, why)
        previous = self.acquire_lease(now, follower, actions)
        if previous is not None:
            actions.append(NotifySession(previous))
        for group in added.values():
            group.version = self.registry.next_version()
        self.groups |= added

    def follower_of(self, name):
        """Returns the follower that owns a group name; raises RequestRefusedError."""
        if not name.uid:
            raise RequestRefusedError(ResponseCode.INVALID_LB_UID_SIZE, "no LB UID")
        if not name.name:
            raise RequestRefusedError(ResponseCode.INVALID_GROUP_NAME_SIZE, "no group name")
        follower = self.registry.followers.get(name.uid)
        if follower is None:
            raise RequestRefusedError(
                ResponseCode.NOT_ACCEPTED, f"no follower has the LB UID {name.uid[:40]!r}"
            )
        return follower

    def granted_group(self, follower, name):
        """This balancer's group of that name, or a new one; raises RequestRefusedError if unauthorized."""
        group = self.groups.get(name.name)
        text = name.name.decode("utf-8", "replace")
        route = self.registry.groups.get(text)
        if route is None or text not in follower.groups:
            raise RequestRefusedError(
                ResponseCode.INVALID_GROUP, f"no group {text[:40]!r} of {follower.name}"
            )
        level = self.registry.level(follower.name, route)
        why = refusal_reason(route.effect, follower.retries, level, already_granted=group is not None)
        if why:
            raise RequestRefusedError(ResponseCode.NOT_ACCEPTED, f"{text[:40]}: {why}")
        return group or BalancerGroup(route, name=name)

    def add_members(self, group, members):
        """Adds members to a group; raises RequestRefusedError."""
        for data in members:
            key = codec.encode_member(data)
            if key in group.members:
                known = (
                    key in self.groups.get(group.name.name, group).members and group.name.name in self.groups
                )
                code = ResponseCode.MEMBER_REGISTERED if known else ResponseCode.DUPLICATE_MEMBER
                raise RequestRefusedError(code, f"member {data.endpoint} twice")
            group.members[key] = Member(key, data.endpoint, self.task_at(data))

    def task_at(self, data):
        """Returns the task at a member's address; raises RequestRefusedError."""
        snapshot = self.registry.snapshot
        task = snapshot.tasks_by_address.get(data.endpoint)
        if data.protocol not in (TCP, ANY_PROTOCOL) or task is None:
            raise RequestRefusedError(
                ResponseCode.NOT_ACCEPTED, f"member {data.endpoint} is no task of the list"
            )
        label = data.label.decode("utf-8", "replace")
        if label != task and label in snapshot.tasks:
            raise RequestRefusedError(
                ResponseCode.NOT_ACCEPTED, f"member {data.endpoint} is {task}, its label names {label}"
            )
        return task

    # Requests of members for themselves

    def trusting_session(self, name, code):
        """Returns the session of the balancer that owns a group, if that trusts its members.

        Raises RequestRefusedError, with this code if the balancer has no session."""
        self.follower_of(name)
        session = self.registry.session_of(name.uid)
        if not isinstance(session, Session):
            raise RequestRefusedError(code, "its balancer has not contacted this manager")
        if not session.trust:
            raise RequestRefusedError(ResponseCode.NOT_TRUSTED, "its balancer does not trust members")
        if name.name not in session.groups:
            raise RequestRefusedError(ResponseCode.UNKNOWN_GROUP, f"no group {name.name[:40]!r}")
        return session

    def check_address(self, data):
        """Raises RequestRefusedError if a member sends a request for another address."""
        if data.endpoint[0] != self.peer_host:
            raise RequestRefusedError(
                ResponseCode.NOT_ACCEPTED, f"member {data.endpoint} is not at the sender's address"
            )

    def register_self(self, message, actions):
        """Registers members in groups of their balancers, at their own request."""
        added = []
        for name, members in message.groups:
            session = self.trusting_session(name, ResponseCode.LB_UNKNOWN_YET)
            for data in members:
                self.check_address(data)
            group = session.groups[name.name]
            copy = replace(group, members=dict(group.members))
            for key in map(codec.encode_member, members):  # a member that deregistered itself may return
                if key in copy.members and not copy.members[key].registered:
                    del copy.members[key]
            session.add_members(copy, members)
            if (
                len(copy.members) - len(group.members) + sum(len(h.members) for h in session.groups.values())
                > session.max_members
            ):
                raise RequestRefusedError(ResponseCode.NOT_ACCEPTED, "too many members")
            added.append((session, copy))
        for session, copy in added:
            copy.version = self.registry.next_version()
            session.groups[copy.name.name] = copy
            actions.append(NotifySession(session.connection))

    def deregister_self(self, message, actions):
        """Removes members from groups of their balancers, at their own request."""
        removals = []
        for name, members in message.groups:
            session = self.trusting_session(name, ResponseCode.LB_UNKNOWN_YET_DEREGISTER)
            group = session.groups[name.name]
            for data in members:
                self.check_address(data)
            removals.append((session, group, self.member_keys(group, members)))
        for session, group, keys in removals:
            # It stays as a quiesced member, so that the balancer is told.
            for key in keys:
                group.members[key] = replace(group.members[key], quiesced=True, registered=False)
            group.version = self.registry.next_version()
            actions.append(NotifySession(session.connection))

    # Deregistration, section 6.2

    def deregister(self, now, message, actions):
        """Removes members, groups or everything for a balancer."""
        if self.follower is None:
            raise RequestRefusedError(ResponseCode.UNKNOWN_LB_UID, "nothing is registered on this connection")
        names = [name.name for name, _ in message.groups]
        if len(names) != len(dict.fromkeys(names)):
            raise RequestRefusedError(ResponseCode.DUPLICATE_IN_REQUEST, "a group twice")
        removals = (
            [(group, list(group.members)) for group in self.groups.values()]
            if not names
            else [
                (group, self.member_keys(group, members) if members else list(group.members))
                for group, members in [(self.own_group(name), members) for name, members in message.groups]
            ]
        )
        for group, keys in removals:
            for key in keys:
                task = group.members.pop(key).task
                group.drained = {k: True for k in group.drained if k[0] != key}
                last_sent = self.delivery.last_sent.get(group.name.name, {})
                self.delivery.last_sent[group.name.name] = {k: e for k, e in last_sent.items() if k != key}
                if not any(x.task == task for h in self.groups.values() for x in h.members.values()):
                    self.delivery.cancel_drain(task)  # the balancer has removed it itself
            group.version = self.registry.next_version()
        self.groups = {name: group for name, group in self.groups.items() if group.members}
        if not self.groups:
            self.release_lease(now, "deregistered", False, actions)

    def own_group(self, name):
        """Returns this balancer's group of that name; raises RequestRefusedError."""
        if name.uid not in (group.name.uid for group in self.groups.values()):
            raise RequestRefusedError(
                ResponseCode.UNKNOWN_LB_UID, f"no group of {name.uid[:40]!r} on this connection"
            )
        if name.name not in self.groups:
            raise RequestRefusedError(ResponseCode.UNKNOWN_GROUP, f"no group {name.name[:40]!r}")
        return self.groups[name.name]

    def member_keys(self, group, members):
        """The keys of a group's members; raises RequestRefusedError for duplicates and unknown members."""
        keys = [codec.encode_member(data) for data in members]
        if len(keys) != len(dict.fromkeys(keys)):
            raise RequestRefusedError(ResponseCode.DUPLICATE_IN_REQUEST, "a member twice")
        for key, data in zip(keys, members, strict=True):
            if key not in group.members:
                raise RequestRefusedError(ResponseCode.MEMBER_NOT_REGISTERED, f"no member {data.endpoint}")
        return keys

    # States, sections 6.5 and 6.6

    def set_lb_state(self, message, actions):
        """Sets how the balancer wants to be served."""
        follower = self.registry.followers.get(message.uid)
        if not message.uid:
            raise RequestRefusedError(ResponseCode.INVALID_LB_UID_SIZE, "no LB UID")
        if follower is None or self.follower and follower is not self.follower:
            raise RequestRefusedError(
                ResponseCode.NOT_ACCEPTED, f"no follower has the LB UID {message.uid[:40]!r}"
            )
        if (self.push_enabled, self.trust, self.no_change) != (
            message.push,
            message.trust,
            message.no_change,
        ):
            actions.append(
                log_line(
                    "follower_state",
                    follower=follower.name,
                    push=message.push,
                    trust=message.trust,
                    no_change=message.no_change,
                    health=message.health,
                )
            )
        self.push_enabled, self.trust, self.no_change = message.push, message.trust, message.no_change

    def set_member_states(self, message, actions):
        """Quiesces members or ends that, at the request of their balancer or of the members themselves."""
        changes = []
        for name, states in message.groups:
            if message.lb:
                session, group = self, self.own_group(name)
            else:
                session = self.trusting_session(name, ResponseCode.NOT_ACCEPTED)
                group = session.groups[name.name]
                for state in states:
                    self.check_address(state.member)
            keys = self.member_keys(group, [state.member for state in states])
            changes.append((session, group, list(zip(keys, states, strict=True))))
        for session, group, pairs in changes:
            for key, state in pairs:
                group.members[key] = replace(group.members[key], quiesced=state.quiesced, state=state.state)
            group.version = self.registry.next_version()
            if session is not self:
                actions.append(NotifySession(session.connection))

    # Weights, sections 6.3 and 6.4

    def reply_to_poll(self, now, message):
        """Returns the reply to a request for weights; equal polls of one state share its encoded groups."""
        if self.follower is None:
            raise RequestRefusedError(ResponseCode.UNKNOWN_LB_UID, "nothing is registered on this connection")
        names = tuple(name.name for name in message.groups)
        for name in message.groups:
            self.own_group(name)
        table = self.weight_table()
        state = PollState(table.generation, self.group_versions(), self.inclusive_lengths)
        reply = self.poll_replies.get(names)
        if reply is None or reply.state != state:
            self.record_drains(table)
            wanted = self.wanted_weights(table)
            wanted = {name: wanted[name] for name in names} if names else wanted
            encoded = [self.encode_group(name, group, table) for name, group in wanted.items() if group]
            self.poll_replies = {k: v for k, v in self.poll_replies.items() if v.state == state}
            reply = self.poll_replies[names] = PollReply(state, wanted, encoded)
        no_weights_yet = not reply.encoded or not table.number
        interval = MIN_POLL_INTERVAL if no_weights_yet else self.poll_interval
        return codec.encode_weights_reply(
            message.id, ResponseCode.SUCCESS, interval, reply.encoded, self.inclusive_lengths
        )

    def record_poll(self, now):
        """Records the reply to a poll as an update."""
        table = self.weight_table()
        state = PollState(table.generation, self.group_versions(), self.inclusive_lengths)
        sent = {}
        for reply in self.poll_replies.values():
            if reply.state == state:
                sent |= reply.wanted
        drained = [
            task
            for task in self.delivery.unsent_drains(table.not_ready_since)
            if self.sent_in_all_groups(sent, task, table)
        ]
        if sent:
            self.record_update(now, table, sent, drained)
        if sent.keys() == self.groups.keys():
            self.up_to_date_version = table.generation, self.group_versions()

    def sent_in_all_groups(self, sent, task, table):
        """Returns whether every group that contains a task was sent."""
        return all(
            name in sent
            for name, group in self.groups.items()
            if any(member.current_task(table) == task for member in group.members.values())
        )

    def encode_update(self, table, wanted, changed):
        """Returns a Send Weights message with the groups that changed."""
        self.last_message_id = self.last_message_id % MAX_MESSAGE_ID + 1
        last_sent = self.delivery.last_sent
        encoded = [
            self.encode_group(name, group, table, last_sent.get(name) if self.no_change else None)
            for name, group in changed.items()
        ]
        return codec.encode_send_weights(self.last_message_id, encoded, self.inclusive_lengths)

    def encode_group(self, name, weights, table, last_sent=None):
        """Encodes a group with its entries.

        last_sent: if given, only entries that differ from it are included, or all if none differs. Groups
        with the same weights share the encoded entries."""
        group = self.groups[name]
        cache_key = "bytes", id(weights), id(last_sent), self.inclusive_lengths
        entries = table.cache.get(cache_key)
        if entries is None:
            changed = weights
            if last_sent:
                changed = {
                    k: weight for k, weight in weights.items() if last_sent.get(k) != weight
                } or weights
            entries = self.encode_entries(group, changed, held_references=(weights, last_sent))
            if weights is table.cache.get((group.member_set.number, True)):
                table.cache[cache_key] = entries
        return codec.encode_group_component(
            codec.ComponentType.WEIGHTS_OF_GROUP,
            group.name,
            entries.count,
            entries.data,
            self.inclusive_lengths,
        )

    def encode_entries(self, group, weights, held_references):
        """Encodes the weight entries of a group's members."""
        items = []
        for key, weight in weights.items():
            member = group.members[key]
            items.append(
                codec.encode_weight_entry(
                    key, member.state, entry_flags(weight, member), weight.weight, self.inclusive_lengths
                )
            )
        return EncodedEntries(len(items), b"".join(items), held_references)


def entry_flags(weight, member):
    return (
        CONTACT * weight.contact
        | QUIESCE * weight.quiesced
        | REGISTERED * member.registered
        | CONFIDENT * weight.confident
    )
