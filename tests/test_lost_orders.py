"""Orders that the relay did not confirm: what is ordered again, and what counts until that is known."""

import random

import pytest
from helper import BrainHarness, list_changes, table_weights, task_line

from garnetpaddle import interface as gp


def test_unconfirmed_orders_are_sent_again():
    harness = BrainHarness(acknowledges=False)
    harness.lose_last_orders(perhaps=False)
    harness.lose_last_orders(perhaps=False)
    harness.lose_last_orders(perhaps=True)
    harness.add_label("a drain is lost, then the orders that follow it")
    harness.handle(list_changes(task_line("a", "draining")))
    harness.lose_last_orders(perhaps=True)
    harness.lose_last_orders(perhaps=False)
    harness.handle(list_changes(task_line("a")))
    harness.lose_last_orders(perhaps=True)
    harness.advance(1)
    harness.assert_trace_matches("lost_orders")


def test_a_withdrawn_task_is_let_back_though_its_withdrawal_is_in_doubt():
    harness = BrainHarness(
        proxies=0, queue_limit=260.0, channel_lines=260.0, acknowledges=False, drain_grace_period=5_000
    )
    harness.handle(*(gp.ProxyJoined(p, 10.0 + p, True, "z") for p in range(12)))
    harness.handle(list_changes(task_line("a", "draining")))
    harness.advance(0.1)
    harness.lose_last_orders(perhaps=False)
    harness.lose_last_orders(perhaps=False)
    harness.advance(2)
    harness.add_label("a is ready again")
    harness.handle(list_changes(task_line("a")))
    harness.advance(0.7)
    harness.lose_last_orders(perhaps=True)
    harness.advance(6)
    harness.assert_trace_matches("lost_withdrawal")


def test_lost_levels_are_sent_again():
    harness = BrainHarness(level_kind="fraction", acknowledges=False)
    harness.handle(gp.OrdersLost((gp.SetAdmission(1, (0, 1, 2), 1.0, "on proof"),), True))
    harness.advance(1)
    harness.assert_trace_matches("lost_levels")


class LossyRelay:
    """Applies orders or loses them at random, and keeps the resulting state."""

    def __init__(self, seed):
        self.draw, self.tables, self.bound, self.withdrawn = random.Random(seed).random, {}, {}, {}

    def receive(self, orders, loss_probability):
        """Applies or loses these orders; returns the events that the Brain gets for them."""
        orders = tuple(o for o in orders if not isinstance(o, gp.SetTimer | gp.LogMessage | gp.SendProbe))
        lost, perhaps = self.draw() < loss_probability, self.draw() < 0.5
        for o in () if lost and (not perhaps or self.draw() < 0.5) else orders:
            match o:
                case gp.SetWeight():
                    self.tables.setdefault(o.table, {})[o.task] = o.weight
                case gp.BindProxy():
                    self.bound[o.proxy] = o.table
                case gp.WithdrawTask():
                    self.withdrawn[o.task] = o.withdrawn
        return [gp.OrdersLost(orders, perhaps)] if lost and orders else []


@pytest.mark.parametrize("seed", range(12))
def test_after_lost_orders_the_relay_ends_with_the_table_that_the_brain_holds(seed):
    relay, draw = LossyRelay(seed), random.Random(seed).random
    harness = BrainHarness(tasks="abcd", proxies=0, queue_limit=400.0, channel_lines=400.0)
    relay.tables = {1: dict(table_weights(harness.brain))}
    for turn in range(400):
        reliable = turn > 250
        events = relay.receive(harness.last_orders, 0 if reliable else 0.4)
        if not reliable:
            name, proxy = "abcdef"[int(draw() * 6)], int(draw() * 9)
            if draw() < 0.1:
                state = ("ready", "draining", "gone")[int(draw() * 3)]
                events.append(list_changes(task_line(name, state, harness.now / 10_000 * (draw() < 0.2))))
            if draw() < 0.2:
                relay.bound.pop(proxy, None)
                events.append(gp.ProxyLeft(proxy) if draw() < 0.3 else gp.ProxyJoined(proxy, 5.0, True, "z"))
            if draw() < 0.02:
                if draw() < 0.5:  # else the relay keeps its state
                    relay.tables, relay.bound, relay.withdrawn = {}, {}, {}
                events.append(gp.ChannelStateUnknown())
                events += [gp.ProxyJoined(p, 5.0, False, "z") for p in harness.brain.proxies]
        harness.now += 1_000 * (turn % 2)
        harness.handle(*events)
    relay.receive(harness.last_orders, 0)
    brain = harness.brain
    number = brain.tables[0].number
    applied_weights = {k: weight for k, weight in relay.tables[number].items() if weight}
    assert applied_weights == {k: round(weight, 3) for k, weight in table_weights(brain).items()}
    assert relay.bound == dict.fromkeys(relay.bound, number) and set(relay.bound) == set(brain.proxies)
    assert all(p.bound for p in brain.proxies.values())
    assert not any(relay.withdrawn.get(k) for k in applied_weights)


def drain(harness, task):
    """Lists a task as draining; returns the tasks whose removal is ordered at once."""
    harness.handle(list_changes(task_line(task, "draining")))
    return removed_tasks(harness)


def removed_tasks(harness):
    weights = [order for order in harness.last_orders if isinstance(order, gp.SetWeight)]
    return {order.task for order in weights if not order.weight}


def ordered_mark(harness):
    """The mark of the last orders."""
    [mark] = [order.mark for order in harness.last_orders if isinstance(order, gp.RequestAcknowledgement)]
    return mark


def lose_tries(harness, count, possibly_executed):
    """Loses the last orders and the tries that follow, 0.4 s apart; no proxy acknowledges any of them."""
    for _ in range(count):
        harness.handle(gp.OrdersLost(tuple(harness.last_orders), possibly_executed))
        harness.now += 4_000


@pytest.mark.parametrize("possibly_executed", [True, False])
def test_no_removal_waits_for_messages_that_were_never_written(possibly_executed):
    """After 6 s of reset calls drains were ordered 5 s late: lost tries counted towards the message cap."""
    harness = BrainHarness(tasks="abcdefgh", message_cap=20, acknowledges=False)
    harness.now += 150_000
    assert drain(harness, "a") == {"a"}
    lose_tries(harness, 17, possibly_executed)
    mark = ordered_mark(harness)
    harness.handle(*(gp.OrdersApplied(proxy, mark, 3_000) for proxy in range(2)))
    assert drain(harness, "b") == {"b"}


@pytest.mark.parametrize("acknowledged", [True, False])
def test_messages_that_may_have_been_written_count_towards_the_message_cap(acknowledged):
    """All lost tries were carried out; their acknowledgements are late, or each arrives."""
    harness = BrainHarness(tasks="abcdefgh", message_cap=20, acknowledges=False)
    harness.now += 150_000
    drain(harness, "a")
    lose_tries(harness, 17, True)
    last_mark = ordered_mark(harness)
    if acknowledged:
        written = range(last_mark - 17, last_mark + 1)
        harness.handle(*(gp.OrdersApplied(proxy, mark, 3_000) for mark in written for proxy in range(2)))
    assert drain(harness, "b") == set()
    assert gp.LogMessage("removals wait for the message cap") in harness.last_orders
    harness.advance(4.5)
    assert "b" not in table_weights(harness.brain)


def test_messages_before_a_gap_in_the_event_stream_count_though_a_later_one_is_acknowledged():
    """Their acknowledgements may have been lost in the gap, so nothing shows that they were not written."""
    harness = BrainHarness(tasks="abcdefgh", message_cap=20, acknowledges=False)
    harness.now += 150_000
    drain(harness, "a")
    lose_tries(harness, 15, True)
    proxies = [gp.ProxyJoined(proxy, 20.0, False, "z") for proxy in range(2)]
    harness.handle(gp.ChannelStateUnknown(), *proxies)
    mark = ordered_mark(harness)
    harness.handle(*(gp.OrdersApplied(proxy, mark, 3_000) for proxy in range(2)))
    assert harness.brain.proxies[0].messages_since(harness.now - 100_000) == 17


def test_binds_whose_answers_get_lost_keep_to_the_message_cap():
    """A proxy that joined in such a spell was bound again each time: 17 messages within 10 s, 11 allowed."""
    cap, period = 11, 100_000
    harness = BrainHarness(message_cap=cap, message_cap_period=period, acknowledges=False)
    harness.now += 150_000
    harness.handle(gp.ProxyJoined(7, 20.0, True, "z"))
    bound_at = []
    for _ in range(40):
        bound_at += [harness.now for order in harness.last_orders if isinstance(order, gp.BindProxy)]
        harness.now += 4_000
        harness.handle(gp.OrdersLost(tuple(harness.last_orders), True))
    counts = [sum(at - period < earlier <= at for earlier in bound_at) for at in bound_at]
    assert max(counts) == cap


def harness_with_doubtful_batches():
    """20 proxies; the removal of a is ordered and lost twice: what it may have left fills the queue."""
    harness = BrainHarness(tasks="abcdefgh", proxies=20, queue_limit=400.0, channel_lines=400.0)
    harness.advance(8)
    assert harness.brain.channel.queue == 0 and all(proxy.bound for proxy in harness.brain.proxies.values())
    harness.acknowledges = False
    assert drain(harness, "a") == {"a"}
    first_mark = ordered_mark(harness)
    lose_tries(harness, 2, True)
    assert removed_tasks(harness) == set()
    return harness, first_mark


def bound_proxies(harness):
    return [order.proxy for order in harness.last_orders if isinstance(order, gp.BindProxy)]


def test_no_removal_waits_for_lines_that_were_never_written():
    """At an empty channel drains waited for 3 s and more until the estimated queue had shrunk by time."""
    harness, _ = harness_with_doubtful_batches()
    [proxy] = bound_proxies(harness)
    mark = ordered_mark(harness)
    harness.now += 3_000
    harness.handle()
    assert bound_proxies(harness) == []
    harness.handle(gp.OrdersApplied(proxy, mark, 3_000))
    assert removed_tasks(harness) == {"a"}


def test_lines_that_may_have_been_written_count_until_an_acknowledgement_shows_which():
    """One of the two batches was written: its proxies acknowledge it before the bind that was to find out."""
    harness, first_mark = harness_with_doubtful_batches()
    [proxy] = bound_proxies(harness)
    mark = ordered_mark(harness)
    lines = 20 * 8
    harness.handle(gp.OrdersApplied(proxy, first_mark, 3_000))
    assert harness.brain.channel.queue >= 2 * lines and removed_tasks(harness) == set()
    harness.handle(gp.OrdersApplied(proxy, mark, 3_000))
    # The bind left the channel after the first batch, and the second one was never in it.
    assert harness.brain.channel.queue == lines and removed_tasks(harness) == {"a"}


def test_a_proxy_behind_an_order_that_was_not_taken_proves_nothing_of_its_batch():
    """The relay stops at a bind of a proxy that has left; the lines before it were written all the same."""
    harness = BrainHarness(tasks="abcdefgh", proxies=20, queue_limit=4_000.0, acknowledges=False)
    harness.now += 150_000
    joined = [gp.ProxyJoined(proxy, 5.0, True, "z") for proxy in (30, 31)]
    harness.handle(list_changes(task_line("a", "draining")), *joined)
    assert bound_proxies(harness) == [30, 31] and removed_tasks(harness) == {"a"}
    lost = tuple(harness.last_orders)
    queue = harness.brain.channel.queue
    harness.handle(gp.OrdersLost(lost, True))
    harness.handle(gp.OrdersApplied(31, ordered_mark(harness), 3_000))
    assert harness.brain.channel.queue >= queue
