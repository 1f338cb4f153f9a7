"""Snapshots built from events and orders."""

import asyncio

from helper import BrainHarness, assert_trace_matches, list_changes, task_line
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetpaddle import interface as gp
from garnetpaddle.snapshots import SnapshotBuilder, SnapshotPublisher
from garnetpaddle.snapshots.snapshot_builder import NOT_READY_TASK_RETENTION


def describe(snapshot, proxy=1):
    lines = snapshot.usable_weights(proxy)
    shown = "unbound" if lines is None else " ".join(f"{k}={w:g}" for k, w in lines.items()) or "nothing"
    in_doubt = [k for t in snapshot.tables.values() for k in t.in_doubt]
    return f"{snapshot.generation}: {shown}" + (f"; in doubt {' '.join(in_doubt)}" if in_doubt else "")


class BuilderTrace:
    """Feeds batches to a builder and keeps a line of trace for each."""

    def __init__(self, **options):
        self.builder, self.now, self.trace = SnapshotBuilder(**options), 0, []

    def step(self, text, events=(), orders=(), addresses=None, proxy=1):
        self.now += 10
        snapshot = self.builder.update(self.now, events, orders, addresses)
        self.trace.append(f"{text:46} {describe(snapshot, proxy)}")
        return snapshot


LINE_A, LINE_B = gp.SetWeight(1, "a", 1.0), gp.SetWeight(1, "b", 2.0)
READY = gp.TaskListReceived("full", (task_line("a"), task_line("b")))


def test_orders_lost_and_in_doubt():
    recorder = BuilderTrace()
    recorder.step("task list, two lines, a bind", [READY], [LINE_A, LINE_B, gp.BindProxy(1, 1)])
    order = gp.SetWeight(1, "a", 3.0)
    recorder.step("weight 3 ordered for a", [], [order])
    recorder.step("that order was not executed", [gp.OrdersLost((order,), False)])
    recorder.step("ordered again", [], [order])
    recorder.step("that order may have been executed", [gp.OrdersLost((order,), True)])
    recorder.step("ordered again, after the doubt", [], [order])
    gone = gp.SetWeight(1, "b", 0.0)
    recorder.step("removal of b's line", [], [gone])
    recorder.step("the removal may not have been executed", [gp.OrdersLost((gone,), True)])
    recorder.step("it was not executed: b stays removed", [gp.OrdersLost((gone,), False)])
    new = gp.SetWeight(1, "c", 1.0)
    recorder.step("new line for c", [list_changes(task_line("c"))], [new])
    recorder.step("it is in doubt: never in effect", [gp.OrdersLost((new,), True)])
    first, second = gp.SetWeight(1, "a", 4.0), gp.SetWeight(1, "a", 5.0)
    recorder.step("two orders of one line", [], [first, second])
    recorder.step(
        "both are lost, in sequence", [gp.OrdersLost((first,), True), gp.OrdersLost((second,), False)]
    )
    recorder.step("all orders are in doubt", [gp.ChannelStateUnknown()])
    recorder.step("a new table, and a bind to it", [], [gp.SetWeight(2, "a", 1.5), gp.BindProxy(1, 2)])
    assert_trace_matches("snapshot_lost", recorder.trace)


def test_tasks_that_leave_the_list_are_in_no_table():
    recorder = BuilderTrace()
    recorder.step("two lines", [READY], [LINE_A, LINE_B, gp.BindProxy(1, 1)])
    snapshot = recorder.step("a drains, before any order for it", [list_changes(task_line("a", "draining"))])
    assert snapshot.not_ready_since == {"a": 20}
    recorder.step("the list drops a: it stays draining", [list_changes(task_line("a", "gone"))])
    recorder.step("a starts anew", [list_changes(task_line("a", started=5.0))])
    recorder.step("a full list without b", [gp.TaskListReceived("full", (task_line("a", started=5.0),))])
    recorder.step(
        "b is withdrawn and let back", [], [gp.WithdrawTask("b", True), gp.WithdrawTask("b", False)]
    )
    recorder.step("a is withdrawn", [], [gp.WithdrawTask("a", True)])
    recorder.step(
        "that order is lost: a stays withdrawn", [gp.OrdersLost((gp.WithdrawTask("a", True),), True)]
    )
    recorder.step("the proxy leaves", [gp.ProxyLeft(1)])
    assert_trace_matches("snapshot_list", recorder.trace)


def test_a_drop_from_the_list_is_ignored_where_it_does_not_bind():
    recorder = BuilderTrace(dropped_counts_as_gone=False)
    recorder.step("two lines", [READY], [LINE_A, LINE_B, gp.BindProxy(1, 1)])
    snapshot = recorder.step("the list drops both", [gp.TaskListReceived("full", ())])
    assert not snapshot.not_ready_since and snapshot.usable_weights(1) == {"a": 1.0, "b": 2.0}
    snapshot = recorder.step("one drains", [list_changes(task_line("a", "draining"))])
    assert list(snapshot.not_ready_since) == ["a"]


def test_unconfirmed_levels_count_as_the_lower_one_without_retries():
    builder = SnapshotBuilder()
    builder.update(0, [READY], [LINE_A, gp.SetAdmission(1, (0, 1), 0.9, "on proof")])
    lost = gp.SetAdmission(1, (1,), 0.4, "on proof")
    builder.update(1, [], [lost])
    levels = builder.update(2, [gp.OrdersLost((lost,), True)], []).tables[1].levels
    assert [(k, v.admitted, v.retry_mode) for k, v in levels.items()] == [
        (0, 0.9, "on proof"),
        (1, 0.4, "none"),
    ]
    raised = gp.SetAdmission(1, (0,), 1.0, "once")
    builder.update(3, [], [raised])
    assert builder.update(4, [gp.OrdersLost((raised,), False)], []).tables[1].level(0).admitted == 0.9


def test_a_snapshot_is_the_same_object_until_something_changes():
    builder = SnapshotBuilder()
    first = builder.update(
        0, [READY], [LINE_A, gp.BindProxy(1, 1)], {"a": ("127.0.0.1", 5), "b": ("::0:1", 6)}
    )
    same = builder.update(9, [READY, gp.ProxyLeft(7), gp.TimerExpired("beat")], [gp.SendProbe("a", 5)])
    assert same is first and first.tasks_by_address == {("127.0.0.1", 5): "a", ("::1", 6): "b"}
    assert builder.update(10, [], [gp.RequestAcknowledgement(5, False)]).mark == 5


def test_closed_tasks_and_their_lines_are_removed_after_the_retention_time():
    builder = SnapshotBuilder()
    builder.update(0, [READY], [LINE_A, LINE_B], {"a": ("127.0.0.1", 5)})
    builder.update(1, [list_changes(task_line("a", "draining"))], [gp.SetWeight(1, "a", 0.0)])
    assert "a" in builder.update(NOT_READY_TASK_RETENTION, [], []).tasks
    snapshot = builder.update(NOT_READY_TASK_RETENTION + 1, [], [])
    assert (
        "a" not in snapshot.tasks and list(builder.tables[1].lines) == ["b"] and not snapshot.tasks_by_address
    )


ORDERS = st.one_of(
    st.builds(gp.SetWeight, st.integers(1, 2), st.sampled_from("abc"), st.sampled_from([0.0, 0.5, 1.0, 2.0])),
    st.builds(gp.BindProxy, st.integers(0, 2), st.integers(1, 2)),
    st.builds(gp.WithdrawTask, st.sampled_from("abc"), st.booleans()),
)


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.lists(ORDERS, max_size=6), max_size=12))
def test_without_losses_snapshots_match_the_tables_of_the_relay(replies):
    builder, tables, bound, withdrawn = SnapshotBuilder(), {}, {}, set()
    builder.update(0, [gp.TaskListReceived("full", tuple(map(task_line, "abc")))], [])
    for orders in replies:
        snapshot = builder.update(1, [], orders)
        for o in orders:
            match o:
                case gp.SetWeight():
                    tables.setdefault(o.table, {})[o.task] = o.weight
                case gp.BindProxy():
                    bound[o.proxy] = o.table
                case gp.WithdrawTask():
                    (withdrawn.add if o.withdrawn else withdrawn.discard)(o.task)
        for proxy, number in bound.items():
            expected = {
                k: recorder
                for k, recorder in tables.get(number, {}).items()
                if recorder and k not in withdrawn
            }
            assert (snapshot.usable_weights(proxy) or {}) == expected


def test_a_large_fleet_in_several_tables():
    builder, tasks = SnapshotBuilder(), [f"t{k}" for k in range(120)]
    orders = [gp.SetWeight(n, k, 1.0 + n) for n in range(1, 5) for k in tasks]
    orders += [gp.BindProxy(p, 1 + p % 4) for p in range(400)]
    snapshot = builder.update(0, [gp.TaskListReceived("full", tuple(map(task_line, tasks)))], orders)
    assert len(snapshot.tables) == 4 and all(len(snapshot.usable_weights(p)) == 120 for p in range(400))
    # Once all proxies are bound to a new table, the old tables are removed.
    orders = [gp.SetWeight(5, "t0", 1.0)] + [gp.BindProxy(p, 5) for p in range(400)]
    later = builder.update(1, [gp.ChannelStateUnknown()], orders)
    assert list(later.tables) == [5] and snapshot.usable_weights(399)["t7"] == 5.0


def test_snapshots_match_the_brains_table_after_every_batch():
    """The lines of the Brain's table and of the snapshot are equal after every batch, while a task drains and
    a task and a proxy join."""

    class HarnessWithBuilder(BrainHarness):
        builder = None

        def handle(self, *events):
            super().handle(*events)
            self.builder = self.builder or SnapshotBuilder()
            snapshot = self.builder.update(self.now, events, self.last_orders)
            table = snapshot.tables.get(self.brain.tables[0].number)
            lines = {k: round(w, 3) for k, w in self.brain.tables[0].weights.items() if w}
            assert (dict(table.lines) if table else {}) == lines

    harness = HarnessWithBuilder()
    harness.reported_sums["a"] = (10, 0, 400)
    harness.advance(12)
    harness.handle(list_changes(task_line("b", "draining")))
    harness.advance(3)
    harness.handle(list_changes(task_line("e", started=16.0)), gp.ProxyJoined(7, 5.0, True, "z"))
    harness.advance(20)
    assert harness.builder.snapshot.usable_weights(7) == harness.builder.snapshot.usable_weights(0)


def test_one_publication_wakes_all_waiters():
    async def scenario():
        publisher, builder = SnapshotPublisher(), SnapshotBuilder()
        waiting = [asyncio.create_task(publisher.wait_newer(0)) for _ in range(5)]
        await asyncio.sleep(0)
        waiting[0].cancel()  # cancelling one waiter does not affect the others
        publisher.publish(builder.update(0, [READY], []))
        publisher.publish(builder.update(0, [], [LINE_A]))
        snapshots = await asyncio.gather(*waiting[1:])
        assert {r.generation for r in snapshots} == {2} and await publisher.wait_newer(
            1
        ) is publisher.snapshot
        waiter = asyncio.create_task(publisher.wait_newer(2))
        publisher.publish(publisher.snapshot)
        await asyncio.sleep(0)
        assert not waiter.done()
        waiter.cancel()

    asyncio.run(scenario())
