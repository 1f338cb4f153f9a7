"""The types between the decisions and whatever carries them: terms in, events in, orders out. No logic."""

from garnetpaddle.interface.events import (
    Applied,
    Event,
    ListHeard,
    OrdersInDoubt,
    OrdersLost,
    ProbeAnswered,
    ProxyJoined,
    ProxyLeft,
    RouteSums,
    TaskLine,
    TaskSums,
    TimerDue,
)
from garnetpaddle.interface.orders import (
    Admit,
    Bind,
    Note,
    Order,
    Probe,
    Seal,
    SetLine,
    Timer,
    Watch,
    Withdraw,
)
from garnetpaddle.interface.terms import Route, Terms

__all__ = [
    "Admit", "Applied", "Bind", "Event", "ListHeard", "Note", "Order", "OrdersInDoubt", "OrdersLost",
    "Probe", "ProbeAnswered", "ProxyJoined", "ProxyLeft", "Route", "RouteSums", "Seal", "SetLine",
    "TaskLine", "TaskSums", "Terms", "Timer", "TimerDue", "Watch", "Withdraw",
]
