"""The manager's role of the Dynamic Feedback Protocol (DFP, draft-eck-dfp), without I/O.

In DFP the load balancer is the manager, and the server that advises it, such as an assigner, the agent.
Events and actions are shared with SaspBalancer."""

import enum

from garnetpaddle.client.advice_types import Update, Weight
from garnetpaddle.client.protocol_events import (
    MAX_RECONNECT_WAIT,
    MIN_RECONNECT_WAIT,
    SECOND,
    Connect,
    ConnectionClosed,
    ConnectionOpened,
    Disconnect,
    MessageReceived,
    SendBytes,
    SetTimer,
    TimerExpired,
    backoff,
)
from garnetpaddle.dfp import codec

MISSED_KEEP_ALIVES = 3  # keep-alive periods without a message after which the connection is closed


class State(enum.Enum):
    """State of the connection to the agent."""

    DISCONNECTED = "disconnected"
    FOLLOWING = "following"


class DfpManager:
    """State machine of one DFP manager that follows the weights of an agent.

    handle(now, event) takes an event of protocol_events and returns actions and Updates. The last advice
    stays in force when the connection is lost. name: the group's name in updates; keep_alive: s within which
    the agent is asked to send something; key: codec.Key or None; uniform: (low, high) -> random float."""

    def __init__(self, name, uniform, keep_alive=5, key=None):
        self.name, self.uniform, self.keep_alive, self.key = name, uniform, keep_alive, key
        self.table, self.serial, self.failures = {}, 0, 0
        # next_action_at: when to reconnect (DISCONNECTED) or to disconnect a silent agent (FOLLOWING).
        self.state, self.next_action_at = State.DISCONNECTED, None

    def handle(self, now, event):
        """Handles one event at `now`, in tenths of a ms; returns actions and Updates.

        The last action is a SetTimer for next_action_at, if it is set."""
        actions = []
        match event:
            case ConnectionOpened():
                self.state, self.next_action_at = State.FOLLOWING, now + self.silence_timeout()
                actions.append(SendBytes(codec.encode(codec.Parameters(self.keep_alive), self.key)))
            case MessageReceived(codec.Preference(loads)):
                self.failures, self.next_action_at = 0, now + self.silence_timeout()
                if loads:
                    self.apply_loads(now, loads, actions)
            case MessageReceived(codec.InvalidMessage(why)):
                actions.append(Disconnect(f"unreadable: {why}"))
            case ConnectionClosed():
                wait = backoff(MIN_RECONNECT_WAIT, MAX_RECONNECT_WAIT, self.failures, self.uniform)
                self.state, self.failures, self.next_action_at = (
                    State.DISCONNECTED,
                    self.failures + 1,
                    now + wait,
                )
            case TimerExpired() if self.next_action_at is not None and now >= self.next_action_at:
                self.next_action_at = None
                actions.append(
                    Connect() if self.state is State.DISCONNECTED else Disconnect("the agent is silent")
                )
        if self.next_action_at is not None:
            actions.append(SetTimer(self.next_action_at))
        return actions

    def silence_timeout(self):
        """Returns how long the agent may be silent, in tenths of a ms."""
        return self.keep_alive * MISSED_KEEP_ALIVES * SECOND

    def apply_loads(self, now, loads, actions):
        """Applies the weights of a Preference message and adds an Update with all members to the actions."""
        for load in loads:
            for host in load.hosts:
                address = ".".join(map(str, host.address))
                self.table[address, load.port] = Weight(
                    address, load.port, "", host.weight, quiesced=not host.weight
                )
        self.serial += 1
        actions.append(Update(self.name, tuple(self.table.values()), self.serial, now))
