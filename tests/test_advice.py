"""What followers are told and when: the decisions, by short traces."""

import dataclasses

import pytest
from helper import changes, line, matches
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
from garnetpaddle.advice.leases import FIRST_FOLLOWER_NUMBER
from garnetpaddle.advice.update_delivery import drain_allowance
from garnetpaddle.advice.weight_scale import MAX_WEIGHT
from garnetpaddle.book import Level, SnapshotBuilder

LINES = st.dictionaries(st.integers(0, 200), st.floats(0.005, 80.0), min_size=1, max_size=40)


@settings(derandomize=True, max_examples=200)
@given(LINES)
def test_whole_numbers_keep_ratios_within_a_hundredth(lines):
    scale = WeightScale()
    told = scale.to_integers(lines)
    assert all(1 <= n <= MAX_WEIGHT for n in told.values())
    unit = told[max(lines, key=lines.get)] / max(lines.values())
    for k, weight in lines.items():
        if weight * unit >= 50:  # 16 bits hold ratios to 1% up to 1 : 1300
            assert abs(told[k] / unit - weight) <= 0.0101 * weight


@settings(derandomize=True, max_examples=100)
@given(LINES)
def test_a_cold_line_is_never_told_more_than_its_share(lines):
    scale = WeightScale()
    told = scale.to_integers(lines, {k: True for k in lines})
    unit = 10_000 / 2**scale.halvings
    assert all(n <= max(1, lines[k] * unit) for k, n in told.items())


def test_numbers_stay_put_while_their_lines_do():
    scale, trace = WeightScale(), []
    for top in (1.0, 3.0, 6.5, 6.6, 6.0, 5.3, 5.2, 30.0, 80.0, 3.0):
        told = scale.to_integers({"top": top, "other": 0.8, "cold": 0.012}, {"cold": True})
        trace.append(f"top {top:4}: {' '.join(f'{k} {n}' for k, n in told.items())}")
    matches("advice_scale", trace)


@pytest.mark.parametrize("retries", ["none", "on proof", "any"])
def test_who_may_have_which_route(retries):
    trace = []
    for effect in ("repeatable", "keyed", "mutating", "a word of tomorrow's"):
        for part, tries in ((1.0, "on proof"), (0.5, "none"), (0.0, "none")):
            for already_granted in (False, True):
                why = refusal_reason(effect, retries, Level(part, tries), already_granted) or "may"
                has = "has it" if already_granted else "new"
                trace.append(f"{effect}, level {part:g}, tries {tries}, {has}: {why}")
    matches(f"advice_rights_{retries.replace(' ', '_')}", trace)


class Told:
    """Snapshots of a table, and what a group of it is told."""

    def __init__(self, tasks="abc", warm_after=150_000):
        self.snapshot_builder, self.weight_tables, self.now, self.trace = (
            SnapshotBuilder(),
            WeightTables(warm_after),
            1_000_000,
            [],
        )
        places = {k: ("127.0.0.1", n) for n, k in enumerate(tasks, 1)}
        self.members = {k: Member(k.encode(), places[k], k) for k in tasks}
        self.former = {}
        self.turn([gp.ListHeard("full", tuple(map(line, tasks)))], [], places)

    def turn(self, events=(), orders=(), places=None):
        self.now += 10
        self.snapshot = self.snapshot_builder.update(self.now, events, orders, places)

    def say(self, text, let_in=True):
        table = self.weight_tables.table_for(self.snapshot, FIRST_FOLLOWER_NUMBER)
        self.former = member_weights(self.members, table, self.former, let_in)
        shown = [
            f"{k}={e.weight}"
            + "".join(
                mark
                for mark, on in (
                    (" quiesced", e.quiesced),
                    (" no contact", not e.contact),
                    (" unsure", not e.confident),
                )
                if on
            )
            for k, e in self.former.items()
        ]
        self.trace.append(f"{text:44} {', '.join(shown) or 'nothing'}")


def test_what_a_group_is_told():
    t = Told()
    t.say("heard a list, bound to nothing")
    t.turn([], [gp.Bind(FIRST_FOLLOWER_NUMBER, 1)])
    t.say("bound to a table that never had a line")
    t.turn([], [gp.SetLine(1, "a", 1.0), gp.SetLine(1, "b", 0.5), gp.SetLine(1, "c", 1.5)])
    t.say("a table of this start, before a step")
    t.turn([], [gp.SetLine(1, "a", 1.2), gp.SetLine(1, "b", 0.4)])
    t.say("steered")
    t.turn([changes(line("b", "draining"))])
    t.say("b drains, no order of it yet")
    t.turn([], [gp.SetLine(1, "c", 0.0)])
    t.say("c is taken out")
    t.turn([gp.OrdersInDoubt()], [])
    t.say("all is in doubt: what was told stands")
    t.turn([changes(line("a", "gone"))])
    t.say("a goes meanwhile")
    t.turn([], [gp.SetLine(2, "c", 1.0), gp.Bind(FIRST_FOLLOWER_NUMBER, 2)])
    t.say("a new table")
    t.turn([changes(line("a", started=99.0))], [gp.SetLine(2, "a", 0.012)])
    t.say("a is back, cold")
    t.say("nothing of the route is let in", let_in=False)
    t.members["c"] = dataclasses.replace(t.members["c"], quiesced=True)
    t.say("c is quiesced by a word of its own")
    t.turn([], [gp.SetLine(2, "a", 0.0), gp.SetLine(2, "c", 0.0), gp.SetLine(2, "z", 1.0)])
    t.say("none of the group stands: a cold, c quiesced")
    t.members["c"] = dataclasses.replace(t.members["c"], quiesced=False)
    t.say("c is ready and warm: failing beats none")
    matches("advice_told", t.trace)


def test_a_task_that_is_forgotten_gives_its_place_to_the_next_there():
    t = Told("a")
    t.turn([], [gp.SetLine(1, "a", 1.0), gp.Bind(FIRST_FOLLOWER_NUMBER, 1)])
    t.say("a stands")
    t.turn([changes(line("a", "gone"))], [gp.SetLine(1, "a", 0.0)])
    t.say("a is gone")
    t.now += 6_000_000
    t.turn([changes(line("n"))], [gp.SetLine(1, "n", 1.0)], {"n": ("127.0.0.1", 1)})
    t.turn()
    t.say("ten minutes later n listens there")
    assert t.trace[-1].endswith("a=10000 unsure")


class Fed:
    """A feed, and what it says after each thing that happens."""

    def __init__(self, takes="answers", grace=30_000):
        self.delivery, self.trace = UpdateDelivery(10_000, grace, takes), []

    def at(self, now, text, *does):
        for name, *words in does:
            getattr(self.delivery, name)(*words)
        open_ = (
            " ".join(f"{k} by {at / 10_000:g}" for k, at in self.delivery.drain_deadlines.items()) or "none"
        )
        may = (
            "may send"
            if self.delivery.may_send(now, False)
            else ("may send a drain" if self.delivery.may_send(now, True) else "waits")
        )
        self.trace.append(
            f"{now / 10_000:4g}  {text:52} {may}; open drains: {open_}"
            + (f"; {why}" if (why := self.delivery.overdue_reason(now)) else "")
        )


def test_a_drain_is_taken_when_the_client_speaks_after_it():
    f = Fed()
    f.at(0, "an update of 100 bytes", ("record_sent", 0, 100, 1, ()))
    f.at(200, "its machine has 60 of them", ("acknowledge", 60))
    f.at(400, "all of them", ("acknowledge", 100))
    f.at(5_000, "a drains", ("add_drain", "a", 5_000))
    f.at(5_010, "told", ("record_sent", 5_010, 180, 2, ("a",)))
    f.at(5_100, "a message that crossed it", ("message_received",))
    f.at(5_400, "its machine has it", ("acknowledge", 180))
    f.at(9_000, "b drains too", ("add_drain", "b", 9_000))
    f.at(9_010, "told", ("record_sent", 9_010, 260, 3, ("b",)))
    f.at(9_100, "a message after the first, before the second", ("message_received",))
    f.at(9_200, "its machine has the second", ("acknowledge", 260))
    f.at(31_400, "nothing more is said")
    f.at(31_500, "the margin of the grace begins")
    matches("feed_answers", f.trace)


def test_where_the_machines_word_is_enough_silence_is_no_fault():
    f = Fed("acknowledged")
    f.at(0, "a drains, told", ("add_drain", "a", 0), ("record_sent", 0, 100, 1, ("a",)))
    f.at(300, "half of it", ("acknowledge", 50))
    f.at(600, "all of it", ("acknowledge", 100))
    f.at(700, "b drains, told", ("add_drain", "b", 700), ("record_sent", 700, 200, 2, ("b",)))
    f.at(20_700, "two seconds unread")
    f.at(23_200, "three quarters of the grace")
    matches("feed_acknowledged", f.trace)


def test_a_drain_that_no_update_has_told_is_overdue_as_well():
    delivery = UpdateDelivery(10_000, 30_000, "answers")
    delivery.record_sent(0, 100, 1, ())
    delivery.add_drain("a", 50)
    assert delivery.unsent_drains({"a": 50}) == ["a"] and not delivery.may_send(60, True)
    assert delivery.next_deadline(True) == 20_000 and delivery.overdue_reason(20_000) == "does not read"
    delivery.acknowledge(100)
    assert not delivery.overdue_reason(22_549) and "drain of a" in delivery.overdue_reason(22_550)
    delivery.add_drain("a", 9_000)  # the first word counts
    assert delivery.drain_deadlines == {"a": 22_550}
    delivery.cancel_drain("a")
    assert not delivery.overdue_reason(99_999)


def test_the_margin_leaves_a_part_of_any_grace():
    assert [drain_allowance(g) for g in (30_000, 10_000, 4_000, 0)] == [22_500, 7_000, 2_000, 0]


def test_updates_shown_to_be_taken_give_the_newest_mark():
    delivery = UpdateDelivery(10, 30_000, "answers")
    for n in range(40):
        delivery.record_sent(n, 10 * n + 10, n, (f"t{n}",))
        delivery.add_drain(f"t{n}", n)
    assert len(delivery.unconfirmed) == 32
    delivery.acknowledge(390)
    delivery.message_received()
    assert delivery.mark == 38 and list(delivery.drain_deadlines) == ["t39"]


def test_seats():
    leases, trace = FollowerLeases([("x", 40.0, "z"), ("y", 5.0, "z")], 0), []

    def say(now, text, result):
        shown = (
            result
            if isinstance(result, str)
            else [
                type(e).__name__ + f" {e.proxy}" + (" fresh" if getattr(e, "fresh", False) else "")
                for e in result
            ]
        )
        trace.append(f"{now / 10_000:5g}  {text:50} {shown or 'may'}")

    say(10_000, "x asks, after a restart of ours", leases.refusal_reason(10_000, "x", 1, False))
    say(10_000, "x sits: it may hold what a former life told", leases.acquire(10_000, "x", 1)[1])
    say(20_000, "another connection of x's", leases.refusal_reason(20_000, "x", 2, False))
    leases.renew(35_000, "x", 1)
    say(60_000, "and again, the first was heard 2.5 s ago", leases.refusal_reason(60_000, "x", 2, False))
    say(65_000, "the first is silent for 3 s", leases.refusal_reason(65_000, "x", 2, False))
    former, events = leases.acquire(65_000, "x", 2)
    say(65_000, f"it takes the seat of {former}", events)
    say(65_010, "the former one goes: nobody hears of it", leases.release(65_010, "x", 1, False))
    say(70_000, "x did not take a drain in time", leases.release(70_000, "x", 2, True))
    say(71_000, "it comes again at once", leases.refusal_reason(71_000, "x", 3, True))
    say(80_000, "later, having read nothing of ours", leases.refusal_reason(80_000, "x", 3, False))
    say(80_000, "having read our answer", leases.refusal_reason(80_000, "x", 3, True))
    say(80_000, "sits", leases.acquire(80_000, "x", 3)[1])
    say(90_000, "fails again: held twice as long", leases.release(90_000, "x", 3, True))
    say(105_000, "1.5 s later", leases.refusal_reason(105_000, "x", 4, True))
    leases.acquire(111_000, "x", 4)
    leases.clear_failures("x")
    leases.release(112_000, "x", 4, False)
    say(112_000, "took one since: forgiven", leases.refusal_reason(112_000, "x", 5, False))
    matches("roll", trace)
