"""The order sender against a scripted relay whose answers get lost."""

import asyncio
import itertools

import pytest
from helper import ScriptedServer, http_response, wait_until
from peers import accepted_response

from garnetpaddle import interface as gp
from garnetpaddle.net import order_codec, order_sender
from garnetpaddle.net.order_codec import MarkTranslator
from garnetpaddle.net.order_sender import OrderSender

LONG_TIMEOUT, SHORT_TIMEOUT = 60.0, 0.01  # s: where a response is expected, and where none ever comes
MARK = gp.RequestAcknowledgement(3, False)
ORDER_A, ORDER_B = (gp.SetWeight(1, name, 1.0) for name in ("s-a", "s-b"))


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch):
    for timeout in ("RESPONSE_TIMEOUT", "CONNECT_TIMEOUT", "MAX_IDLE"):
        monkeypatch.setattr(order_sender, timeout, LONG_TIMEOUT)


class SenderRun:
    """A sender at a relay with a script; `published` are its events, `requests` the orders of each call."""

    def __init__(self, *script, default_step=None):
        self.relay, self.published = ScriptedServer(*script, default_step=default_step), []
        self.marks = MarkTranslator(0)

    async def __aenter__(self):
        await self.relay.__aenter__()
        self.sender = OrderSender(self.relay.address, ["read"], self.marks, self.published.append)
        self.running = asyncio.create_task(self.sender.run())
        return self

    async def __aexit__(self, *_):
        self.running.cancel()
        await self.relay.__aexit__()

    @property
    def requests(self):
        return [line.rpartition("changes=")[2] for line in self.relay.requests]


def lost_orders(run):
    return [order for event in run.published for order in event.orders]


@pytest.mark.parametrize("broken", [0, 1])
def test_a_mark_in_doubt_is_not_reported_where_its_batch_took_several_requests(broken, monkeypatch):
    """Its missing acknowledgement would show that the messages of the other requests were not written."""
    limit = len("put,1,s-a,1.0") * 2
    split = order_codec.split_into_requests
    monkeypatch.setattr(order_codec, "split_into_requests", lambda *arguments: split(*arguments, limit))

    async def scenario():
        script = [accepted_response(1)] * broken + ["break"]
        async with SenderRun(*script, default_step=lambda request: accepted_response(1)) as run:
            run.sender.submit([ORDER_A, ORDER_B, MARK])
            await wait_until(lambda: lost_orders(run)[-1:] == [ORDER_B])
            return lost_orders(run)

    assert asyncio.run(scenario()) == [ORDER_A, ORDER_B][broken:]


@pytest.mark.parametrize("failure", ["reset", "unreadable", "silent"])
def test_an_unanswered_request_is_sent_again_only_once_the_relay_answers(failure, monkeypatch):
    """Each try may have been carried out: 16 tries in 6 s used up the message cap, written or in doubt."""
    step = {"reset": "break", "unreadable": http_response("<Response"), "silent": None}[failure]
    if failure == "silent":
        monkeypatch.setattr(order_sender, "RESPONSE_TIMEOUT", SHORT_TIMEOUT)

    first, trial = "fence,3,0;put,1,s-a,1.0", "fence,0,0"  # the trial reaches nobody: it holds nothing else
    again = "put,1,s-b,1.0;put,1,s-a,1.0"

    async def scenario():
        async with SenderRun(*[step] * 6, default_step=lambda request: accepted_response(1)) as run:
            run.sender.submit([MARK, ORDER_A])
            run.sender.submit([ORDER_B])
            await wait_until(lambda: len(run.published) == 2)
            run.sender.submit([ORDER_B, ORDER_A])
            await wait_until(lambda: run.requests[-1] == again)
            return run

    run = asyncio.run(scenario())
    assert [request for request, _ in itertools.groupby(run.requests)] == [first, trial, again]
    assert run.requests.count(first) == run.requests.count(again) == 1 and run.requests.count(trial) >= 6
    assert run.published == [gp.OrdersLost((MARK, ORDER_A), True), gp.OrdersLost((ORDER_B,), False)]


def answer_after_acknowledgement(run):
    """A step that answers a call after proxy 4 has acknowledged the mark."""

    def step():
        run.marks.from_wire(gp.OrdersApplied(4, MARK.mark, 0))
        return accepted_response(1)

    return step


@pytest.mark.parametrize(
    ("orders", "lost"),
    [
        ((ORDER_A, ORDER_B), ()),
        (
            (ORDER_A, gp.BindProxy(4, 1), gp.BindProxy(5, 1), gp.WithdrawTask("s-b", True)),
            (gp.BindProxy(5, 1), gp.WithdrawTask("s-b", True)),
        ),
    ],
    ids=["lines", "binds"],
)
def test_orders_that_a_proxy_has_acknowledged_are_not_reported_as_lost(orders, lost):
    """A bind that was carried out but not answered was ordered again and again: 17 messages for 11 allowed.

    The relay stops at an order that it cannot use, such as a bind of a proxy that has left."""

    async def scenario():
        async with SenderRun("break") as run:
            run.relay.script.append(answer_after_acknowledgement(run))
            run.sender.submit([*orders, MARK])
            run.sender.submit([ORDER_B])
            await wait_until(lambda: gp.OrdersLost((ORDER_B,), False) in run.published)
            return run.published

    assert asyncio.run(scenario()) == [
        *([gp.OrdersLost(lost, True)] if lost else []),
        gp.OrdersLost((ORDER_B,), False),
    ]


def test_an_acknowledgement_of_an_earlier_batch_confirms_nothing():
    async def scenario():
        async with SenderRun(accepted_response(2), "break") as run:
            run.relay.script.append(answer_after_acknowledgement(run))
            run.sender.submit([MARK, ORDER_A])
            run.sender.submit([ORDER_B])
            await wait_until(lambda: run.published)
            return run.published

    assert asyncio.run(scenario()) == [gp.OrdersLost((ORDER_B,), True)]
