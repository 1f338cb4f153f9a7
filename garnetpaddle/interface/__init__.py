"""The types that the decisions exchange with a transport, parameters and events in, orders out, and the
ranges of their figures. No decisions."""

from garnetpaddle.interface.events import (
    ChannelStateUnknown,
    Event,
    OrdersApplied,
    OrdersLost,
    ProbeFinished,
    ProxyJoined,
    ProxyLeft,
    RouteReport,
    TaskConnectionLost,
    TaskLine,
    TaskListReceived,
    TaskReport,
    TimerExpired,
)
from garnetpaddle.interface.orders import (
    BindProxy,
    LogMessage,
    Order,
    RequestAcknowledgement,
    SendProbe,
    SetAdmission,
    SetTimer,
    SetWeight,
    SubscribeTaskList,
    WithdrawTask,
)
from garnetpaddle.interface.parameters import Parameters, Route
from garnetpaddle.interface.ranges import LARGEST_FIGURE, LONGEST_SPAN, is_latency, is_size

__all__ = [
    "BindProxy",
    "ChannelStateUnknown",
    "Event",
    "LARGEST_FIGURE",
    "LONGEST_SPAN",
    "LogMessage",
    "Order",
    "OrdersApplied",
    "OrdersLost",
    "Parameters",
    "ProbeFinished",
    "ProxyJoined",
    "ProxyLeft",
    "RequestAcknowledgement",
    "Route",
    "RouteReport",
    "SendProbe",
    "SetAdmission",
    "SetTimer",
    "SetWeight",
    "SubscribeTaskList",
    "TaskConnectionLost",
    "TaskLine",
    "TaskListReceived",
    "TaskReport",
    "TimerExpired",
    "WithdrawTask",
    "is_latency",
    "is_size",
]
