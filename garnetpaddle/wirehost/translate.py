"""Conversion of the external simulator's messages to the interface's events, and of orders to messages.

The simulator's times are in seconds, those of events and orders in tenths of a ms."""

from garnetpaddle import interface as gp
from garnetpaddle.boot import (
    UnknownValueError,
    lookup,
    make_task_line,
    normalize_load,
    seconds_to_tenths_of_ms,
)
from garnetpaddle.wirehost import wire

# The simulator's value or name -> ours. OUTCOMES: any other verdict counts as "other".
STATES = {"on": "ready", "fading": "draining", "off": "gone"}
UPDATE_TYPES = {"incr": "changes", "total": "full", "warm_copy": "stale", "lost": "lost"}
OUTCOMES = {
    "OK": "ok",
    "INTERNAL": "error",
    "RESOURCE_EXHAUSTED": "full",
    "DEADLINE_EXCEEDED": "timeout",
    "UNAVAILABLE": "unreachable",
    "ABORTED": "reset",
}
LOADS = {"concurrent": "in_hand", "depth": "queued", "load_share": "busy", "mean_ms": "service_ms"}
# Our value -> the simulator's.
RETRY_MODES = {"none": 0, "on proof": 1, "once": 2}


def task_lines(entries):
    """Converts the wire.Entry rows of a SNAPSHOT_ROWS message to a tuple of gp.TaskLines.

    The simulator's `pod` becomes the line's `cell`, `machine` its `kind`, and `az` its zone. Raises
    UnknownValueError for an unknown status."""
    return tuple(
        make_task_line(
            entry.task,
            entry.az,
            entry.pod,
            lookup(STATES, entry.status, "elements.status"),
            entry.size,
            seconds_to_tenths_of_ms(entry.started_at),
            entry.machine,
        )
        for entry in entries
    )


def message_event(message, task_lists, routes):
    """Returns the interface's event for a message of one instance, or None if the Brain does not need it.

    task_lists: bank -> gp.TaskLines of the last SNAPSHOT_ROWS with that number; routes: route name -> number.
    Raises UnknownValueError for an unknown task list, form or route."""
    match message:
        case wire.Endpoints():
            update_type = lookup(UPDATE_TYPES, message.form, "form")
            if update_type != "lost" and message.bank not in task_lists:
                raise UnknownValueError("bank", message.bank)
            return gp.TaskListReceived(update_type, () if update_type == "lost" else task_lists[message.bank])
        case wire.DeadlineHit():
            return gp.TimerExpired(message.key_back)
        case wire.Probed():
            outcome = OUTCOMES.get(message.verdict, "other")
            return gp.ProbeFinished(
                message.task,
                seconds_to_tenths_of_ms(message.cost_time),
                outcome,
                normalize_load(message.usage, LOADS),
            )
        case wire.Connected():
            return gp.ProxyJoined(
                message.forwarder, message.size or 0.0, bool(message.flag), message.az or ""
            )
        case wire.LostStream():
            return gp.ProxyLeft(message.forwarder)
        case wire.TrafficReport():
            # In tenths of a ms but not rounded, as it is a mean; 0: none.
            latency = (message.cost_time or 0.0) * 10_000
            return gp.TaskReport(
                message.task,
                message.az or "",
                message.tries_n,
                message.unanswered,
                latency,
                seconds_to_tenths_of_ms(message.span),
                normalize_load(message.usage, LOADS),
            )
        case wire.Demand():
            return gp.RouteReport(
                message.forwarder,
                lookup(routes, message.band, "band"),
                message.tries_n,
                message.unanswered,
                seconds_to_tenths_of_ms(message.span),
            )
        case wire.Installed():
            return gp.OrdersApplied(
                message.forwarder, message.gen, seconds_to_tenths_of_ms(message.cost_time)
            )
    return None


def order_message(instance, order):
    """Returns the message, as a dict, that carries an order of this instance's Brain to the simulator."""
    match order:
        case gp.SetWeight():
            return {
                "msg": "SET_LINE",
                "i": instance,
                "task": order.task,
                "size": order.weight,
                "sheet": order.table,
            }
        case gp.BindProxy():
            return {"msg": "BIND", "i": instance, "forwarder": order.proxy, "sheet": order.table, "lanes": 0}
        case gp.WithdrawTask():
            return {"msg": "TAKE_OUT", "i": instance, "task": order.task, "flag": order.withdrawn}
        case gp.SetAdmission():
            # A bit mask: bit k stands for route k.
            lanes = sum(1 << route for route in order.routes)
            retry_mode = RETRY_MODES[order.retry_mode]
            return {
                "msg": "ADMIT",
                "i": instance,
                "sheet": order.table,
                "lanes": lanes,
                "level": order.level,
                "retry_mode": retry_mode,
            }
        case gp.RequestAcknowledgement():
            return {"msg": "SEAL", "i": instance, "gen": order.mark, "flag": order.all_proxies}
        case gp.SendProbe():
            return {"msg": "PROBE", "i": instance, "task": order.task}
        case gp.SubscribeTaskList():
            return {"msg": "KEEP_INFORMED", "i": instance, "flag": True}
        case gp.SetTimer():
            return {"msg": "ARM", "i": instance, "fire_at": order.at / 10_000, "key_back": order.key}
        case gp.LogMessage():
            return {"msg": "PRINT", "i": instance, "text": order.text}
    raise TypeError(f"order has no message: {order!r}")
