"""The book: what stands by the orders given."""

import asyncio

from helper import Play, changes, line, matches
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetpaddle import interface as gp
from garnetpaddle.book import SnapshotBuilder, SnapshotPublisher
from garnetpaddle.book.snapshot_builder import CLOSED_TASK_RETENTION


def told(snapshot, proxy=1):
    lines = snapshot.usable_lines(proxy)
    shown = "unbound" if lines is None else " ".join(f"{k}={w:g}" for k, w in lines.items()) or "nothing"
    doubted = [k for t in snapshot.tables.values() for k in t.in_doubt]
    return f"{snapshot.generation}: {shown}" + (f"; in doubt {' '.join(doubted)}" if doubted else "")


class Written:
    """A builder fed by hand, with a line of trace for each batch."""

    def __init__(self, **how):
        self.builder, self.now, self.trace = SnapshotBuilder(**how), 0, []

    def turn(self, text, events=(), orders=(), places=None, proxy=1):
        self.now += 10
        snapshot = self.builder.update(self.now, events, orders, places)
        self.trace.append(f"{text:46} {told(snapshot, proxy)}")
        return snapshot


A, B = gp.SetLine(1, "a", 1.0), gp.SetLine(1, "b", 2.0)
READY = gp.ListHeard("full", (line("a"), line("b")))


def test_orders_lost_and_in_doubt():
    w = Written()
    w.turn("the list, two lines, a bind", [READY], [A, B, gp.Bind(1, 1)])
    more = gp.SetLine(1, "a", 3.0)
    w.turn("a is to weigh 3", [], [more])
    w.turn("that was surely not carried out", [gp.OrdersLost((more,), False)])
    w.turn("again", [], [more])
    w.turn("that may have been carried out", [gp.OrdersLost((more,), True)])
    w.turn("and is ordered anew", [], [more])
    gone = gp.SetLine(1, "b", 0.0)
    w.turn("b's line goes", [], [gone])
    w.turn("that may not have been carried out", [gp.OrdersLost((gone,), True)])
    w.turn("surely not: it stays gone all the same", [gp.OrdersLost((gone,), False)])
    new = gp.SetLine(1, "c", 1.0)
    w.turn("c's line comes", [changes(line("c"))], [new])
    w.turn("that is in doubt: it never stood", [gp.OrdersLost((new,), True)])
    first, second = gp.SetLine(1, "a", 4.0), gp.SetLine(1, "a", 5.0)
    w.turn("two orders of one line", [], [first, second])
    w.turn("both are lost, in their order", [gp.OrdersLost((first,), True), gp.OrdersLost((second,), False)])
    w.turn("all is in doubt", [gp.OrdersInDoubt()])
    w.turn("a new table, and a bind to it", [], [gp.SetLine(2, "a", 1.5), gp.Bind(1, 2)])
    matches("book_lost", w.trace)


def test_what_leaves_by_the_list_stands_nowhere():
    w = Written()
    w.turn("two lines", [READY], [A, B, gp.Bind(1, 1)])
    snapshot = w.turn("a drains, before any order of it", [changes(line("a", "draining"))])
    assert snapshot.closed == {"a": 20}
    w.turn("the list drops a: a drain stays one", [changes(line("a", "gone"))])
    w.turn("a starts anew", [changes(line("a", started=5.0))])
    w.turn("a full list without b", [gp.ListHeard("full", (line("a", started=5.0),))])
    w.turn("b is shut out as well, and let back", [], [gp.Withdraw("b", True), gp.Withdraw("b", False)])
    w.turn("a is shut out", [], [gp.Withdraw("a", True)])
    w.turn("letting it back is lost: still out", [gp.OrdersLost((gp.Withdraw("a", True),), True)])
    w.turn("the proxy leaves", [gp.ProxyLeft(1)])
    matches("book_list", w.trace)


def test_a_drop_that_does_not_bind_closes_nothing():
    w = Written(gone_binds=False)
    w.turn("two lines", [READY], [A, B, gp.Bind(1, 1)])
    snapshot = w.turn("the list drops both", [gp.ListHeard("full", ())])
    assert not snapshot.closed and snapshot.usable_lines(1) == {"a": 1.0, "b": 2.0}
    snapshot = w.turn("one drains", [changes(line("a", "draining"))])
    assert list(snapshot.closed) == ["a"]


def test_levels_in_doubt_are_the_lower_and_nothing_is_tried_again():
    builder = SnapshotBuilder()
    builder.update(0, [READY], [A, gp.Admit(1, (0, 1), 0.9, "on proof")])
    lost = gp.Admit(1, (1,), 0.4, "on proof")
    builder.update(1, [], [lost])
    levels = builder.update(2, [gp.OrdersLost((lost,), True)], []).tables[1].levels
    assert [(k, v.part, v.tries) for k, v in levels.items()] == [(0, 0.9, "on proof"), (1, 0.4, "none")]
    raised = gp.Admit(1, (0,), 1.0, "once")
    builder.update(3, [], [raised])
    assert builder.update(4, [gp.OrdersLost((raised,), False)], []).tables[1].level(0).part == 0.9


def test_a_reading_is_the_same_object_until_something_changes():
    builder = SnapshotBuilder()
    first = builder.update(0, [READY], [A, gp.Bind(1, 1)], {"a": ("127.0.0.1", 5), "b": ("::0:1", 6)})
    same = builder.update(9, [READY, gp.ProxyLeft(7), gp.TimerDue("beat")], [gp.Probe("a", 5)])
    assert same is first and first.tasks_by_address == {("127.0.0.1", 5): "a", ("::1", 6): "b"}
    assert builder.update(10, [], [gp.Seal(5, False)]).mark == 5


def test_what_left_is_forgotten_with_its_lines():
    builder = SnapshotBuilder()
    builder.update(0, [READY], [A, B], {"a": ("127.0.0.1", 5)})
    builder.update(1, [changes(line("a", "draining"))], [gp.SetLine(1, "a", 0.0)])
    assert "a" in builder.update(CLOSED_TASK_RETENTION, [], []).tasks
    snapshot = builder.update(CLOSED_TASK_RETENTION + 1, [], [])
    assert (
        "a" not in snapshot.tasks and list(builder.tables[1].lines) == ["b"] and not snapshot.tasks_by_address
    )


ORDERS = st.one_of(
    st.builds(gp.SetLine, st.integers(1, 2), st.sampled_from("abc"), st.sampled_from([0.0, 0.5, 1.0, 2.0])),
    st.builds(gp.Bind, st.integers(0, 2), st.integers(1, 2)),
    st.builds(gp.Withdraw, st.sampled_from("abc"), st.booleans()),
)


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.lists(ORDERS, max_size=6), max_size=12))
def test_without_losses_it_is_what_the_relay_would_hold(replies):
    builder, tables, bound, out = SnapshotBuilder(), {}, {}, set()
    builder.update(0, [gp.ListHeard("full", tuple(map(line, "abc")))], [])
    for orders in replies:
        snapshot = builder.update(1, [], orders)
        for o in orders:
            match o:
                case gp.SetLine():
                    tables.setdefault(o.table, {})[o.task] = o.weight
                case gp.Bind():
                    bound[o.proxy] = o.table
                case gp.Withdraw():
                    (out.add if o.out else out.discard)(o.task)
        for proxy, number in bound.items():
            expected = {k: w for k, w in tables.get(number, {}).items() if w and k not in out}
            assert (snapshot.usable_lines(proxy) or {}) == expected


def test_it_holds_a_large_fleet_in_several_tables():
    builder, tasks = SnapshotBuilder(), [f"t{k}" for k in range(120)]
    orders = [gp.SetLine(n, k, 1.0 + n) for n in range(1, 5) for k in tasks]
    orders += [gp.Bind(p, 1 + p % 4) for p in range(400)]
    snapshot = builder.update(0, [gp.ListHeard("full", tuple(map(line, tasks)))], orders)
    assert len(snapshot.tables) == 4 and all(len(snapshot.usable_lines(p)) == 120 for p in range(400))
    # Where all moved to one new table, the old ones are let go.
    orders = [gp.SetLine(5, "t0", 1.0)] + [gp.Bind(p, 5) for p in range(400)]
    later = builder.update(1, [gp.OrdersInDoubt()], orders)
    assert list(later.tables) == [5] and snapshot.usable_lines(399)["t7"] == 5.0


def test_it_keeps_the_brains_own_table_through_a_day():
    """The Brain's present lines and the book's agree after every batch, losses included."""

    class Both(Play):
        builder = None

        def hear(self, *events):
            super().hear(*events)
            self.builder = self.builder or SnapshotBuilder()
            snapshot = self.builder.update(self.now, events, self.last)
            table = snapshot.tables.get(self.brain.tables[0].number)
            lines = {k: round(w, 3) for k, w in self.brain.tables[0].weights.items() if w}
            assert (dict(table.lines) if table else {}) == lines

    play = Both()
    play.sums["a"] = (10, 0, 400)
    play.run(12)
    play.hear(changes(line("b", "draining")))
    play.run(3)
    play.hear(changes(line("e", started=16.0)), gp.ProxyJoined(7, 5.0, True, "z"))
    play.run(20)
    assert play.builder.snapshot.usable_lines(7) == play.builder.snapshot.usable_lines(0)


def test_one_wake_up_serves_all_who_wait():
    async def play():
        publisher, builder = SnapshotPublisher(), SnapshotBuilder()
        waiting = [asyncio.create_task(publisher.wait_newer(0)) for _ in range(5)]
        await asyncio.sleep(0)
        waiting[0].cancel()  # one that goes away takes nobody with it
        publisher.publish(builder.update(0, [READY], []))
        publisher.publish(builder.update(0, [], [A]))
        snapshots = await asyncio.gather(*waiting[1:])
        assert {r.generation for r in snapshots} == {2} and await publisher.wait_newer(
            1
        ) is publisher.snapshot
        late = asyncio.create_task(publisher.wait_newer(2))
        publisher.publish(publisher.snapshot)
        await asyncio.sleep(0)
        assert not late.done()
        late.cancel()

    asyncio.run(play())
