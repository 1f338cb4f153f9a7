"""Encoding of orders as the relay's form requests, parsing of its XML responses, translation of marks.

A fence is the wire form of gp.RequestAcknowledgement: `fence,MARK,ALL`, where ALL is 1 for all joined proxies
and 0 for those that the orders of its own request reach.
"""

from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import quote
from xml.etree import ElementTree

from garnetpaddle import interface as gp

RETRY_MODES = {"none": 0, "on proof": 1, "once": 2}
MAX_REQUEST_BYTES = 60_000  # encoded orders in one request
MARK_COUNT = 65_536  # wire marks are integers below this
MAX_REMEMBERED_MARKS = 4_096  # latest marks sent, which an OrdersApplied event may still refer to
ERRORS_BEFORE_EXECUTION = frozenset({"limit", "malformed"})  # error codes of a request that was not executed
MAX_COUNT_DIGITS = 9  # in the number of accepted orders
SEPARATOR_BYTES = len("%3B")


class EncodedOrder(NamedTuple):
    """An order and its encoding in a request."""

    order: object
    text: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """The relay executed the first `count` orders of a request."""

    count: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The relay rejected the whole request and executed none of it."""

    why: str


class MarkTranslator:
    """Translates the brain's marks to wire marks and back.

    Wire marks start at an offset derived from the seed, so that an acknowledgement of an earlier process's
    mark is not taken for one of this process's."""

    def __init__(self, seed):
        self.offset, self.sent = seed % MARK_COUNT, {}
        # The brain's mark that was sent last, and the proxies that have acknowledged it
        self.last_sent, self.last_acknowledged_by = None, set()

    def to_wire(self, mark):
        """The wire mark for a mark of the brain; remembers it as sent."""
        self.last_sent, self.last_acknowledged_by = mark, set()
        mark = (mark + self.offset) % MARK_COUNT
        self.sent.pop(mark, None)
        self.sent[mark] = True
        if len(self.sent) > MAX_REMEMBERED_MARKS:
            del self.sent[next(iter(self.sent))]
        return mark

    def from_wire(self, event):
        """An OrdersApplied event with the brain's mark; None if this process never sent the mark."""
        if event.mark not in self.sent:
            return None
        mark = (event.mark - self.offset) % MARK_COUNT
        if mark == self.last_sent:
            self.last_acknowledged_by.add(event.proxy)
        return gp.OrdersApplied(event.proxy, mark, event.elapsed)

    def acknowledged_by(self, mark):
        """The proxies that have acknowledged the brain's mark, if it is the one that was sent last."""
        return self.last_acknowledged_by if mark == self.last_sent else frozenset()


def encode_order(order, routes, marks):
    """Encodes an order. routes: the route names by number; marks: a MarkTranslator."""
    match order:
        case gp.SetWeight():
            return f"put,{order.table},{order.task},{order.weight!r}"
        case gp.BindProxy():
            return f"attach,{order.proxy},{order.table},*"
        case gp.WithdrawTask():
            return f"{'eject' if order.withdrawn else 'uneject'},{order.task}"
        case gp.SetAdmission():
            all_routes = len(order.routes) == len(routes)
            route_names = "*" if all_routes else "+".join(routes[k] for k in order.routes)
            return f"gate,{order.table},{route_names},{order.level!r},{RETRY_MODES[order.retry_mode]}"
        case gp.RequestAcknowledgement():
            return f"fence,{marks.to_wire(order.mark)},{int(order.all_proxies)}"
    raise TypeError(f"order has no encoding for the relay: {order!r}")


def split_into_requests(orders, routes, marks, limit=MAX_REQUEST_BYTES):
    """Encodes a batch of orders as requests, lists of EncodedOrder: several only above the byte limit.

    A fence goes first: it covers its whole request, and nothing after an order that is not accepted is
    executed. If the batch needs several requests, the fence goes last and to all proxies; otherwise it would
    reach only the proxies that its own request reaches."""
    fence_first = sorted(orders, key=lambda order: not isinstance(order, gp.RequestAcknowledgement))
    encoded = [EncodedOrder(order, encode_order(order, routes, marks)) for order in fence_first]
    requests = list(split_by_size(encoded, limit))
    if len(requests) > 1 and isinstance(fence_first[0], gp.RequestAcknowledgement):
        fence = encoded[0]
        # The last character is the flag for all proxies.
        requests = list(
            split_by_size([*encoded[1:], EncodedOrder(fence.order, fence.text[:-1] + "1")], limit)
        )
    return requests


def split_by_size(encoded, limit):
    """Splits encoded orders into lists of at most `limit` bytes, each with at least one order."""
    request, size = [], 0
    for encoded_order in encoded:
        order_bytes = len(quote(encoded_order.text, safe="")) + SEPARATOR_BYTES
        if request and size + order_bytes > limit:
            yield request
            request, size = [], 0
        request.append(encoded_order)
        size += order_bytes
    if request:
        yield request


def remaining_orders(request, accepted):
    """The orders of a request that are still to be sent after one that was not accepted.

    The fence is repeated, since a fence reaches only the proxies that its own request reaches, but not to
    all proxies: that would cost every proxy a message."""
    fences = [
        encoded for encoded in request[:accepted] if isinstance(encoded.order, gp.RequestAcknowledgement)
    ]
    remaining = request[accepted + 1 :]
    if not remaining:
        return []
    # The last character is the flag for all proxies.
    return [EncodedOrder(fence.order, fence.text[:-1] + "0") for fence in fences] + remaining


def trial_request(marks):
    """A request that changes nothing: its fence reaches no proxy, as it holds no other order."""
    return [EncodedOrder(gp.RequestAcknowledgement(0, False), f"fence,{marks.offset},0")]


def without_fence(request):
    """The orders of a request but its fence."""
    return [encoded for encoded in request if not isinstance(encoded.order, gp.RequestAcknowledgement)]


def unconfirmed_orders(request, marks):
    """The orders of a whole batch without a response that may not have been executed.

    An acknowledgement of its mark proves that the relay executed it, up to an order that it could not use:
    at the earliest a bind, of a proxy that has left. A bind is proved by its own proxy."""
    fences = [encoded.order for encoded in request if isinstance(encoded.order, gp.RequestAcknowledgement)]
    acknowledged_by = marks.acknowledged_by(fences[0].mark) if fences else frozenset()
    if not acknowledged_by:
        return request
    first_bind = next(
        (k for k, encoded in enumerate(request) if isinstance(encoded.order, gp.BindProxy)), len(request)
    )
    return [
        encoded
        for encoded in request[first_bind:]
        if not (isinstance(encoded.order, gp.BindProxy) and encoded.order.proxy in acknowledged_by)
    ]


def request_body(request):
    """The form body of a request."""
    changes = ";".join(encoded.text for encoded in request)
    return b"Action=ApplyOrders&changes=" + quote(changes, safe="").encode()


def parse_response(status, body, sent):
    """Accepted or Rejected; None for a malformed or contradictory response: the request is in doubt.

    sent: the number of orders in the request."""
    try:
        root = ElementTree.fromstring(bytes(body))
    except (ElementTree.ParseError, ValueError):
        return None
    counts = [(element.text or "").strip() for element in root.iter("taken")]
    if status == 200 and len(counts) == 1 and counts[0].isascii() and counts[0].isdigit():
        plausible = len(counts[0]) <= MAX_COUNT_DIGITS and int(counts[0]) <= sent
        return Accepted(int(counts[0])) if plausible else None
    words = [word.strip() for word in root.itertext() if word.strip()]
    why = next((word for word in words if word in ERRORS_BEFORE_EXECUTION), None)
    return Rejected(why) if why and not counts else None
