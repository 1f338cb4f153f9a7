"""The protocol-independent advice: weights, authorization, leases and delivery, by short traces."""

import dataclasses

import pytest
from helper import assert_trace_matches, list_changes, task_line
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetpaddle import interface as gp
from garnetpaddle.advice import (
    FollowerLeases,
    Member,
    UpdateDelivery,
    WeightScale,
    WeightTables,
    member_weights,
    refusal_reason,
)
from garnetpaddle.advice.leases import FIRST_FOLLOWER_PROXY_NUMBER
from garnetpaddle.advice.update_delivery import drain_allowance
from garnetpaddle.advice.weight_scale import MAX_WEIGHT
from garnetpaddle.snapshots import Level, SnapshotBuilder

LINES = st.dictionaries(st.integers(0, 200), st.floats(0.005, 80.0), min_size=1, max_size=40)


@settings(derandomize=True, max_examples=200)
@given(LINES)
def test_integer_weights_keep_ratios_within_one_percent(lines):
    scale = WeightScale()
    integers = scale.to_integers(lines)
    assert all(1 <= n <= MAX_WEIGHT for n in integers.values())
    unit = integers[max(lines, key=lines.get)] / max(lines.values())
    for k, weight in lines.items():
        if weight * unit >= 50:  # 16 bits represent ratios up to 1 : 1300 to 1%
            assert abs(integers[k] / unit - weight) <= 0.0101 * weight


@settings(derandomize=True, max_examples=100)
@given(LINES)
def test_cold_task_never_gets_more_than_its_share(lines):
    scale = WeightScale()
    integers = scale.to_integers(lines, {k: True for k in lines})
    unit = 10_000 / 2**scale.halvings
    assert all(n <= max(1, lines[k] * unit) for k, n in integers.items())


def test_integers_change_only_with_their_weights():
    scale, trace = WeightScale(), []
    for top in (1.0, 3.0, 6.5, 6.6, 6.0, 5.3, 5.2, 30.0, 80.0, 3.0):
        integers = scale.to_integers({"top": top, "other": 0.8, "cold": 0.012}, {"cold": True})
        trace.append(f"top {top:4}: {' '.join(f'{k} {n}' for k, n in integers.items())}")
    assert_trace_matches("advice_scale", trace)


@pytest.mark.parametrize("retries", ["none", "on proof", "any"])
def test_route_authorization(retries):
    trace = []
    for effect in ("repeatable", "keyed", "mutating", "unknown"):
        for part, tries in ((1.0, "on proof"), (0.5, "none"), (0.0, "none")):
            for already_granted in (False, True):
                why = refusal_reason(effect, retries, Level(part, tries), already_granted) or "allowed"
                has = "granted" if already_granted else "new"
                trace.append(f"{effect}, level {part:g}, tries {tries}, {has}: {why}")
    assert_trace_matches(f"advice_authorization_{retries.replace(' ', '_')}", trace)


class AdviceTrace:
    """Applies batches to a table and records the advice on one group after each."""

    def __init__(self, tasks="abc", warm_after=150_000):
        self.snapshot_builder, self.weight_tables, self.now, self.trace = (
            SnapshotBuilder(),
            WeightTables(warm_after),
            1_000_000,
            [],
        )
        addresses = {k: ("127.0.0.1", n) for n, k in enumerate(tasks, 1)}
        self.members = {k: Member(k.encode(), addresses[k], k) for k in tasks}
        self.last_sent = {}
        self.apply_batch([gp.TaskListReceived("full", tuple(map(task_line, tasks)))], [], addresses)

    def apply_batch(self, events=(), orders=(), addresses=None):
        self.now += 10
        self.snapshot = self.snapshot_builder.update(self.now, events, orders, addresses)

    def record_step(self, text, admitted=True):
        table = self.weight_tables.table_for(self.snapshot, FIRST_FOLLOWER_PROXY_NUMBER)
        self.last_sent = member_weights(self.members, table, self.last_sent, admitted)
        shown = [
            f"{k}={weight.weight}"
            + "".join(
                mark
                for mark, on in (
                    (" quiesced", weight.quiesced),
                    (" no contact", not weight.contact),
                    (" unsure", not weight.confident),
                )
                if on
            )
            for k, weight in self.last_sent.items()
        ]
        self.trace.append(f"{text:44} {', '.join(shown) or 'nothing'}")


def test_member_weights_of_a_group():
    advice = AdviceTrace()
    advice.record_step("task list known, no table bound")
    advice.apply_batch([], [gp.BindProxy(FIRST_FOLLOWER_PROXY_NUMBER, 1)])
    advice.record_step("bound to a table without any weight")
    advice.apply_batch([], [gp.SetWeight(1, "a", 1.0), gp.SetWeight(1, "b", 0.5), gp.SetWeight(1, "c", 1.5)])
    advice.record_step("table of this process, not adjusted yet")
    advice.apply_batch([], [gp.SetWeight(1, "a", 1.2), gp.SetWeight(1, "b", 0.4)])
    advice.record_step("weights adjusted")
    advice.apply_batch([list_changes(task_line("b", "draining"))])
    advice.record_step("b drains, no order for it yet")
    advice.apply_batch([], [gp.SetWeight(1, "c", 0.0)])
    advice.record_step("c is removed from the table")
    advice.apply_batch([gp.ChannelStateUnknown()], [])
    advice.record_step("all orders in doubt: last advice stands")
    advice.apply_batch([list_changes(task_line("a", "gone"))])
    advice.record_step("a is gone meanwhile")
    advice.apply_batch([], [gp.SetWeight(2, "c", 1.0), gp.BindProxy(FIRST_FOLLOWER_PROXY_NUMBER, 2)])
    advice.record_step("bound to a new table")
    advice.apply_batch([list_changes(task_line("a", started=99.0))], [gp.SetWeight(2, "a", 0.012)])
    advice.record_step("a has restarted and is cold")
    advice.record_step("no call of the route is admitted", admitted=False)
    advice.members["c"] = dataclasses.replace(advice.members["c"], quiesced=True)
    advice.record_step("c quiesces itself")
    advice.apply_batch([], [gp.SetWeight(2, "a", 0.0), gp.SetWeight(2, "c", 0.0), gp.SetWeight(2, "z", 1.0)])
    advice.record_step("no weight in the group: a cold, c quiesced")
    advice.members["c"] = dataclasses.replace(advice.members["c"], quiesced=False)
    advice.record_step("c ready and warm: sent as last resort")
    assert_trace_matches("advice_member_weights", advice.trace)


def test_forgotten_task_is_replaced_by_the_next_task_at_its_address():
    advice = AdviceTrace("a")
    advice.apply_batch([], [gp.SetWeight(1, "a", 1.0), gp.BindProxy(FIRST_FOLLOWER_PROXY_NUMBER, 1)])
    advice.record_step("a has a weight")
    advice.apply_batch([list_changes(task_line("a", "gone"))], [gp.SetWeight(1, "a", 0.0)])
    advice.record_step("a is gone")
    advice.now += 6_000_000
    advice.apply_batch([list_changes(task_line("n"))], [gp.SetWeight(1, "n", 1.0)], {"n": ("127.0.0.1", 1)})
    advice.apply_batch()
    advice.record_step("ten minutes later n listens there")
    assert advice.trace[-1].endswith("a=10000 unsure")


class DeliveryTrace:
    """Calls an UpdateDelivery and records its state after each step."""

    def __init__(self, takes="answers", grace=30_000):
        self.delivery, self.trace = UpdateDelivery(10_000, grace, takes), []

    def step(self, now, text, *calls):
        for name, *arguments in calls:
            getattr(self.delivery, name)(*arguments)
        open_ = (
            " ".join(f"{k} by {deadline / 10_000:g}" for k, deadline in self.delivery.drain_deadlines.items())
            or "none"
        )
        permission = (
            "may send"
            if self.delivery.may_send(now, False)
            else ("may send a drain" if self.delivery.may_send(now, True) else "waits")
        )
        self.trace.append(
            f"{now / 10_000:4g}  {text:52} {permission}; open drains: {open_}"
            + (f"; {why}" if (why := self.delivery.overdue_reason(now)) else "")
        )


def test_drain_is_confirmed_by_a_later_message_of_the_client():
    delivery = DeliveryTrace()
    delivery.step(0, "update of 100 bytes is written", ("record_sent", 0, 100, 1, ()))
    delivery.step(200, "60 bytes acknowledged", ("acknowledge", 60))
    delivery.step(400, "100 bytes acknowledged", ("acknowledge", 100))
    delivery.step(5_000, "drain of a", ("add_drain", "a", 5_000))
    delivery.step(5_010, "update is written", ("record_sent", 5_010, 180, 2, ("a",)))
    delivery.step(5_100, "message sent before the update arrived", ("message_received",))
    delivery.step(5_400, "update acknowledged", ("acknowledge", 180))
    delivery.step(9_000, "drain of b", ("add_drain", "b", 9_000))
    delivery.step(9_010, "update is written", ("record_sent", 9_010, 260, 3, ("b",)))
    delivery.step(9_100, "message after the first update only", ("message_received",))
    delivery.step(9_200, "second update acknowledged", ("acknowledge", 260))
    delivery.step(31_400, "no further message")
    delivery.step(31_500, "the safety margin of the grace period begins")
    assert_trace_matches("update_delivery_answers", delivery.trace)


def test_tcp_acknowledgement_confirms_a_drain_without_a_message():
    delivery = DeliveryTrace("acknowledged")
    delivery.step(
        0, "drain of a, update is written", ("add_drain", "a", 0), ("record_sent", 0, 100, 1, ("a",))
    )
    delivery.step(300, "50 bytes acknowledged", ("acknowledge", 50))
    delivery.step(600, "100 bytes acknowledged", ("acknowledge", 100))
    delivery.step(
        700, "drain of b, update is written", ("add_drain", "b", 700), ("record_sent", 700, 200, 2, ("b",))
    )
    delivery.step(20_700, "not acknowledged for 2 s")
    delivery.step(23_200, "after three quarters of the grace period")
    assert_trace_matches("update_delivery_acknowledged", delivery.trace)


def test_unsent_drain_becomes_overdue_too():
    delivery = UpdateDelivery(10_000, 30_000, "answers")
    delivery.record_sent(0, 100, 1, ())
    delivery.add_drain("a", 50)
    assert delivery.unsent_drains({"a": 50}) == ["a"] and not delivery.may_send(60, True)
    assert delivery.next_deadline(True) == 20_000 and delivery.overdue_reason(20_000) == "does not read"
    delivery.acknowledge(100)
    assert not delivery.overdue_reason(22_549) and "drain of a" in delivery.overdue_reason(22_550)
    delivery.add_drain("a", 9_000)  # the first report counts
    assert delivery.drain_deadlines == {"a": 22_550}
    delivery.cancel_drain("a")
    assert not delivery.overdue_reason(99_999)


def test_drain_allowance_leaves_a_margin_of_any_grace_period():
    assert [drain_allowance(g) for g in (30_000, 10_000, 4_000, 0)] == [22_500, 7_000, 2_000, 0]


def test_confirmed_updates_yield_the_newest_mark():
    delivery = UpdateDelivery(10, 30_000, "answers")
    for n in range(40):
        delivery.record_sent(n, 10 * n + 10, n, (f"t{n}",))
        delivery.add_drain(f"t{n}", n)
    assert len(delivery.unconfirmed) == 32
    delivery.acknowledge(390)
    delivery.message_received()
    assert delivery.mark == 38 and list(delivery.drain_deadlines) == ["t39"]


def test_follower_leases():
    leases, trace = FollowerLeases([("x", 40.0, "z"), ("y", 5.0, "z")], 0), []

    def record_step(now, text, result):
        shown = (
            result
            if isinstance(result, str)
            else [
                type(event).__name__
                + f" {event.proxy}"
                + (" fresh" if getattr(event, "has_only_default_table", False) else "")
                for event in result
            ]
        )
        trace.append(f"{now / 10_000:5g}  {text:50} {shown or 'none'}")

    record_step(
        10_000, "x requests its lease after our restart", leases.refusal_reason(10_000, "x", 1, False)
    )
    record_step(10_000, "x joins, perhaps with advice from before", leases.acquire(10_000, "x", 1)[1])
    record_step(
        20_000, "a second connection requests the lease of x", leases.refusal_reason(20_000, "x", 2, False)
    )
    leases.renew(35_000, "x", 1)
    record_step(
        60_000, "it tries again 2.5 s after the last renewal", leases.refusal_reason(60_000, "x", 2, False)
    )
    record_step(
        65_000, "it tries again 3 s after the last renewal", leases.refusal_reason(65_000, "x", 2, False)
    )
    previous, events = leases.acquire(65_000, "x", 2)
    record_step(65_000, f"it acquires the lease from connection {previous}", events)
    record_step(65_010, "the previous holder ends: no event", leases.release(65_010, "x", 1, False))
    record_step(70_000, "x did not confirm a drain in time", leases.release(70_000, "x", 2, True))
    record_step(71_000, "x reconnects at once", leases.refusal_reason(71_000, "x", 3, True))
    record_step(80_000, "later, without having read a reply", leases.refusal_reason(80_000, "x", 3, False))
    record_step(80_000, "after having read a reply", leases.refusal_reason(80_000, "x", 3, True))
    record_step(80_000, "x acquires the lease", leases.acquire(80_000, "x", 3)[1])
    record_step(90_000, "x fails again: blocked twice as long", leases.release(90_000, "x", 3, True))
    record_step(105_000, "x reconnects 1.5 s later", leases.refusal_reason(105_000, "x", 4, True))
    leases.acquire(111_000, "x", 4)
    leases.clear_failures("x")
    leases.release(112_000, "x", 4, False)
    record_step(
        112_000, "x confirmed a drain since: not blocked", leases.refusal_reason(112_000, "x", 5, False)
    )
    assert_trace_matches("follower_leases", trace)
