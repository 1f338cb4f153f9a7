"""The load balancer's role of the Server/Application State Protocol (SASP, RFC 4678), without I/O.

The other side is the group workload manager (GWM), here "the manager": the server, such as an assigner, that
computes the weights of a group's members. Times are in tenths of a ms."""

import enum
from typing import NamedTuple

from garnetpaddle.client.advice_types import Update, Weight
from garnetpaddle.client.protocol_events import (
    MAX_RECONNECT_WAIT,
    MIN_RECONNECT_WAIT,
    SECOND,
    Change,
    ChangeMembers,
    Connect,
    ConnectionClosed,
    ConnectionOpened,
    Disconnect,
    MessageReceived,
    RequestRefused,
    SendBytes,
    SetTimer,
    TimerExpired,
    backoff,
)
from garnetpaddle.sasp import codec
from garnetpaddle.sasp import messages as m
from garnetpaddle.sasp.constants import CONFIDENT, CONTACT, QUIESCE, ResponseCode

REPLY_TIMEOUT = 5 * SECOND  # without a reply, the manager counts as gone even if the connection is open
MIN_REFUSAL_WAIT, MAX_REFUSAL_WAIT = 10_000, 300_000  # before registering again: 1 s, doubled up to 30 s
MAX_MESSAGE_ID = 0xFFFF_FFFF
BALANCER_HEALTH = 0x7F  # the best value, sent as this balancer's health


class State(enum.Enum):
    """State of the connection to the manager. REFUSED: a registration or poll was refused."""

    DISCONNECTED = "disconnected"
    REGISTERING = "registering"
    REFUSED = "refused"
    FOLLOWING = "following"


class PendingRequest(NamedTuple):
    """A request without a reply yet. name: of its kind; deadline: when the reply counts as missing."""

    name: str
    deadline: int


def weight_of(entry):
    """Converts a received weight entry of a member to a Weight."""
    host, port = entry.member.endpoint
    return Weight(
        host,
        port,
        entry.member.label.decode("utf-8", "replace"),
        entry.weight,
        bool(entry.flags & CONTACT),
        bool(entry.flags & QUIESCE),
        bool(entry.flags & CONFIDENT),
    )


class SaspBalancer:
    """State machine of one load balancer that registers groups with a manager and follows their weights.

    handle(now, event) takes an event of protocol_events and returns actions and Updates. The last advice
    stays in force when the connection is lost. push: weights are pushed on change, else polled at the
    manager's interval. no_change: only changed weights are pushed. trust: members may register themselves.
    answers: each pushed update is answered by a message, which confirms it to the manager (an assigner's
    `takes = "answers"`). uniform: (low, high) -> random float."""

    def __init__(self, uid, groups, uniform, push=True, no_change=True, trust=False, answers=True):
        self.uid, self.uniform = uid.encode(), uniform
        self.push, self.no_change, self.trust, self.answers = push, no_change, trust, answers
        self.groups = {name: {codec.encode_member(x): x for x in members} for name, members in groups.items()}
        self.quiesced = {}  # (group, key) -> True, for members quiesced at the user's request
        self.tables = {name: {} for name in groups}  # group -> key -> Weight
        self.state, self.failures, self.refusals, self.serial, self.message_id = (
            State.DISCONNECTED,
            0,
            0,
            0,
            0,
        )
        # pending: message id -> PendingRequest; interval: between polls. next_action_at: when to reconnect
        # (DISCONNECTED), register again (REFUSED) or poll (FOLLOWING); None if nothing is planned.
        self.pending, self.interval, self.next_action_at = {}, SECOND, None

    def handle(self, now, event):
        """Handles one event at `now`, in tenths of a ms; returns actions and Updates.

        The last action is a SetTimer for the earliest deadline. If there is none, a timer set before may
        still expire; run_due then finds nothing due."""
        actions = []
        match event:
            case ConnectionOpened():
                self.state, self.pending = State.REGISTERING, {}
                self.send_lb_state(now, actions)
                self.register(now, actions)
            case MessageReceived(message):
                self.receive(now, message, actions)
            case ConnectionClosed():
                self.state, self.pending = State.DISCONNECTED, {}
                wait = backoff(MIN_RECONNECT_WAIT, MAX_RECONNECT_WAIT, self.failures, self.uniform)
                self.failures, self.next_action_at = self.failures + 1, now + wait
            case TimerExpired():
                self.run_due(now, actions)
            case ChangeMembers():
                self.change_members(now, event, actions)
        times = [request.deadline for request in self.pending.values()]
        times += [] if self.next_action_at is None else [self.next_action_at]
        if times:
            actions.append(SetTimer(min(times)))
        return actions

    def run_due(self, now, actions):
        """Disconnects if a reply is overdue, else reconnects, registers again or polls if that is due."""
        if any(request.deadline <= now for request in self.pending.values()):
            self.pending = {}
            actions.append(Disconnect("no reply"))
            return
        if self.next_action_at is None or now < self.next_action_at:
            return
        self.next_action_at = None
        match self.state:
            case State.DISCONNECTED:
                actions.append(Connect())
            case State.REFUSED:
                self.state = State.REGISTERING
                self.register(now, actions)
            case State.FOLLOWING:
                self.request_weights(now, actions)

    # Requests

    def send(self, now, make, request, actions):
        """Sends a request and records it as pending. make: message id -> message; request: its name."""
        self.message_id = self.message_id % MAX_MESSAGE_ID + 1
        self.pending[self.message_id] = PendingRequest(request, now + REPLY_TIMEOUT)
        actions.append(SendBytes(codec.encode(make(self.message_id))))

    def send_lb_state(self, now, actions):
        """Sends this balancer's health and its push, trust and no_change options."""
        self.send(
            now,
            lambda n: m.SetLbState(n, self.uid, BALANCER_HEALTH, self.push, self.trust, self.no_change),
            "state",
            actions,
        )

    def register(self, now, actions):
        """Registers all groups that have members."""
        groups = tuple(
            (self.group_name(name), tuple(members.values()))
            for name, members in self.groups.items()
            if members
        )
        if groups:
            self.send(now, lambda n: m.Register(n, True, groups), "register", actions)

    def request_weights(self, now, actions):
        """Requests the weights of all groups."""
        self.send(now, lambda n: m.GetWeights(n, ()), "weights", actions)

    def group_name(self, name):
        """Returns a group's name as sent to the manager."""
        return m.GroupName(self.uid, name.encode())

    # Messages from the manager

    def receive(self, now, message, actions):
        """Handles a message from the manager."""
        match message:
            case m.Weights() | m.Reply():
                # A reply that matches no pending request gets an empty request name.
                request = self.pending.pop(message.id, PendingRequest("", 0)).name
                if message.code != ResponseCode.SUCCESS:
                    self.handle_refusal(now, request, message.code, actions)
                elif isinstance(message, m.Weights):
                    self.handle_weights_reply(now, message, actions)
                elif request == "register":
                    self.state, self.failures, self.refusals = State.FOLLOWING, 0, 0
                    self.send_member_states(now, actions)
                    self.request_weights(now, actions)
            case m.SendWeights():
                self.apply_weights(now, message.groups, actions)
                if self.answers:
                    self.send_lb_state(now, actions)
            case _:
                actions.append(Disconnect("unreadable"))

    def handle_refusal(self, now, request, code, actions):
        """Reports a refusal; for a registration or poll, schedules registering again after a backoff."""
        actions.append(RequestRefused(request, code))
        if request in ("register", "weights"):
            wait = backoff(MIN_REFUSAL_WAIT, MAX_REFUSAL_WAIT, self.refusals, self.uniform)
            self.state, self.refusals, self.next_action_at = State.REFUSED, self.refusals + 1, now + wait

    def handle_weights_reply(self, now, message, actions):
        """Applies the reply to a poll; polls again if weights are not pushed, or some group has none yet."""
        self.interval = max(message.interval, 1) * SECOND
        self.apply_weights(now, message.groups, actions)
        complete = all(self.tables[name] for name, members in self.groups.items() if members)
        if not self.push or not complete:
            self.next_action_at = now + self.interval

    def apply_weights(self, now, groups, actions):
        """Applies weights of groups; unknown groups and members are ignored."""
        for name, entries in groups:
            group = name.name.decode("utf-8", "replace")
            if name.uid != self.uid or group not in self.groups:
                continue
            weights = {}
            for entry in entries:
                key = codec.encode_member(entry.member)
                if key in self.groups[group]:
                    weights[key] = weight_of(entry)
            self.tables[group] |= weights
            self.serial += 1
            actions.append(Update(group, tuple(self.tables[group].values()), self.serial, now))

    # The user's changes

    def change_members(self, now, event, actions):
        """Executes a ChangeMembers: at once while registered, else with the next registration."""
        members = self.groups.setdefault(event.group, {})
        self.tables.setdefault(event.group, {})
        changed = {codec.encode_member(data): data for data in event.members}
        match event.change:
            case Change.ADD:
                self.add_members(now, event.group, members, changed, actions)
            case Change.REMOVE:
                self.remove_members(now, event.group, members, changed, actions)
            case Change.QUIESCE | Change.OPEN:
                for key in changed:
                    self.quiesced.pop((event.group, key), None)
                    if event.change is Change.QUIESCE:
                        self.quiesced[event.group, key] = True
                if self.state is State.FOLLOWING:
                    self.send_member_states(now, actions, {(event.group, key): True for key in changed})

    def add_members(self, now, group, members, added, actions):
        """Adds members (key -> MemberData) to a group."""
        new_members = tuple(data for key, data in added.items() if key not in members)
        members |= added
        if self.state is State.FOLLOWING and new_members:
            name = self.group_name(group)
            self.send(now, lambda n: m.Register(n, True, ((name, new_members),)), "add", actions)

    def remove_members(self, now, group, members, removed, actions):
        """Removes members (key -> MemberData) from a group."""
        removed_members = tuple(data for key, data in removed.items() if key in members)
        for key in removed:
            members.pop(key, None)
            self.tables[group].pop(key, None)
            self.quiesced.pop((group, key), None)
        if self.state is State.FOLLOWING and removed_members:
            name = self.group_name(group)
            self.send(now, lambda n: m.Deregister(n, True, 1, ((name, removed_members),)), "drop", actions)

    def send_member_states(self, now, actions, changed=None):
        """Sends the quiesced state of the changed members, or of all quiesced ones after a registration.

        changed: (group, key) -> True, or None for all."""
        groups = {}
        for group, key in changed or self.quiesced:
            if key in self.groups[group]:
                state = m.StateEntry(self.groups[group][key], 0, (group, key) in self.quiesced)
                groups.setdefault(group, []).append(state)
        states = tuple((self.group_name(name), tuple(entries)) for name, entries in groups.items())
        if states:
            self.send(now, lambda n: m.SetMemberState(n, True, states), "quiesce", actions)
