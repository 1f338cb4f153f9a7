"""The text of events, orders and parameters in --trace output and event logs, which other tools read."""

import pytest

from garnetpaddle import interface as gp

ROUTE = gp.Route(2.0, 15_000)
TASK_LINE = gp.TaskLine("s-a", "z", 3, "ready", 1.5, 70_000, "large")
SET_LINE = gp.SetWeight(1, "s-a", 0.5)
BIND = gp.BindProxy(4, 1)
TASK_LINE_TEXT = (
    "TaskLine(task='s-a', zone='z', cell=3, state='ready', size=1.5, started_at=70000, kind='large')"
)

TEXTS = [
    (TASK_LINE, TASK_LINE_TEXT),
    (gp.TaskListReceived("changes", (TASK_LINE,)), f"ListHeard(form='changes', lines=({TASK_LINE_TEXT},))"),
    (gp.TaskListReceived("lost", ()), "ListHeard(form='lost', lines=())"),
    (gp.TimerExpired("beat"), "TimerDue(key='beat')"),
    (
        gp.ProbeFinished("s-a", 500, "ok", {"in_hand": 2.0}),
        "ProbeAnswered(task='s-a', elapsed=500, outcome='ok', load={'in_hand': 2.0})",
    ),
    (gp.TaskConnectionLost("s-a"), "TaskConnectionLost(task='s-a')"),
    (
        gp.ProxyJoined(4, 20.0, True, "z"),
        "ProxyJoined(proxy=4, rate=20.0, fresh=True, zone='z', aside=False)",
    ),
    (
        gp.ProxyJoined(70_000, 20.0, False, "", True),
        "ProxyJoined(proxy=70000, rate=20.0, fresh=False, zone='', aside=True)",
    ),
    (gp.ProxyLeft(4), "ProxyLeft(proxy=4)"),
    (
        gp.TaskReport("s-a", "z", 10, 1, 200.0, 10_000, {"busy": 0.5}),
        "TaskSums(task='s-a', zone='z', tries=10, failures=1, latency=200.0, span=10000, load={'busy': 0.5})",
    ),
    (
        gp.RouteReport(4, 0, 19, 1, 10_000),
        "RouteSums(proxy=4, route=0, calls=19, unanswered=1, span=10000)",
    ),
    (gp.OrdersApplied(4, 7, 3_000), "Applied(proxy=4, mark=7, elapsed=3000)"),
    (
        gp.OrdersLost((SET_LINE, BIND), True),
        "OrdersLost(orders=(SetLine(table=1, task='s-a', weight=0.5), Bind(proxy=4, table=1)), perhaps=True)",
    ),
    (gp.ChannelStateUnknown(), "OrdersInDoubt()"),
    (SET_LINE, "SetLine(table=1, task='s-a', weight=0.5)"),
    (BIND, "Bind(proxy=4, table=1)"),
    (gp.WithdrawTask("s-a", True), "Withdraw(task='s-a', out=True)"),
    (
        gp.SetAdmission(1, (0, 2), 0.9, "on proof"),
        "Admit(table=1, routes=(0, 2), level=0.9, tries='on proof')",
    ),
    (gp.RequestAcknowledgement(9, False), "Seal(mark=9, all_proxies=False)"),
    (gp.SendProbe("s-a", 5_000), "Probe(task='s-a', wait=5000)"),
    (gp.SubscribeTaskList(), "Watch()"),
    (gp.SetTimer(1_000, "beat"), "Timer(at=1000, key='beat')"),
    (gp.LogMessage("s-a is let back on trial"), "Note(text='s-a is let back on trial')"),
    (ROUTE, "Route(importance=2.0, slo_time=15000)"),
    (
        gp.Parameters(
            (ROUTE,),
            "push",
            100_000,
            True,
            150_000,
            0.2,
            3.0,
            True,
            10_000,
            2_000.0,
            4_000.0,
            6.0,
            0,
            90_000,
            "none",
        ),
        "Terms(routes=(Route(importance=2.0, slo_time=15000),), list_mode='push', must_ask_in=100000,"
        " probes_allowed=True, warm_after=150000, start_share=0.2, fall_multiple=3.0, gone_binds=True,"
        " report_period=10000, channel_lines=2000.0, queue_limit=4000.0, head_lines=6.0, message_cap=0,"
        " message_span=90000, level_kind='none', proxies=1, assigners=1, rank=0, zone='', zones=1,"
        " homed=False, grace=30000, tries='', strikes=0, window=30000)",
    ),
]


@pytest.mark.parametrize(("value", "text"), TEXTS, ids=[text.partition("(")[0] for _, text in TEXTS])
def test_each_event_order_and_parameter_is_logged_under_its_outer_names(value, text):
    assert repr(value) == text and str(value) == text and f"{value}" == text


def test_every_event_and_order_class_is_compared():
    classes = {type(value) for value, _ in TEXTS}
    assert set(gp.Event.__args__) | set(gp.Order.__args__) <= classes
