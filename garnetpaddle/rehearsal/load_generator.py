"""The clients of a simulation: calls arrive at a varying rate, and some clients retry once."""

import bisect
import math
from typing import NamedTuple

from garnetpaddle.rehearsal.model import Call, tenths_of_ms

TENTHS_OF_MS_PER_SECOND = 10_000


class PendingCall(NamedTuple):
    """The proxy that a client calls, and whether the client will retry after a failure."""

    proxy: int
    will_retry: bool


def running_sums(shares):
    sums, total = [], 0.0
    for share in shares:
        total += share
        sums.append(total)
    return sums


class LoadGenerator:
    """clients: script.Clients; routes: list of script.Route; length: of the simulation, in tenths of a ms."""

    def __init__(self, scheduler, clients, routes, proxies, length, result):
        self.scheduler, self.clients, self.routes = scheduler, clients, routes
        self.proxies, self.length, self.result = proxies, length, result
        self.random = scheduler.random_stream("clients")
        self.calls, self.pending = 0, {}
        self.cumulative_route_shares = running_sums(route.share for route in routes)
        self.rate_factors = {}  # name of a trouble -> its factor of the rate
        self.compute_proxy_shares()

    def compute_proxy_shares(self):
        """Computes each proxy's share of the calls: geometric steps from least to most busy."""
        count, uneven = len(self.proxies), self.clients.uneven
        weights = [uneven ** (k / max(count - 1, 1)) for k in range(count)]
        total = sum(weights)
        self.proxy_shares = [w / total for w in weights]
        self.cumulative_proxy_shares = running_sums(self.proxy_shares)

    def rate(self):
        """The present rate of first tries, per second."""
        curve = self.clients.curve
        position = min(self.scheduler.now / self.length, 1.0) * (len(curve) - 1)
        lower = min(int(position), len(curve) - 1)
        upper = min(lower + 1, len(curve) - 1)
        rate = self.clients.rate * (curve[lower] + (curve[upper] - curve[lower]) * (position - lower))
        for factor in self.rate_factors.values():
            rate *= factor
        return rate

    def next_call(self):
        """Issues a call and schedules the next one.

        All random numbers of a call are drawn here, so that each policy gets the same calls."""
        now = self.scheduler.now
        if now >= self.length:
            return
        random, routes = self.random, self.routes
        proxy = bisect.bisect_left(
            self.cumulative_proxy_shares, random.random() * self.cumulative_proxy_shares[-1]
        )
        index = bisect.bisect_left(
            self.cumulative_route_shares, random.random() * self.cumulative_route_shares[-1]
        )
        index = min(index, len(routes) - 1)
        route = routes[index]
        work = route.work * work_factor(route.spread, random.random())
        will_retry = random.random() < self.clients.again and route.effect == "repeatable"
        self.calls += 1
        mutating = route.effect == "mutating"
        call = Call(
            self.calls, index, work, now, now + tenths_of_ms(route.limit), mutating, first_called_at=now
        )
        self.pending[call] = PendingCall(proxy, will_retry)
        self.proxies[min(proxy, len(self.proxies) - 1)].handle_call(call)
        wait = int(random.exponential(1 / self.rate()) * TENTHS_OF_MS_PER_SECOND)
        self.scheduler.call_later(max(1, wait), self.next_call)

    def on_try_ended(self, call, outcome):
        """Handles the end of a client's try: the client retries, or the call is counted."""
        pending, now = self.pending[call], self.scheduler.now
        if outcome != "ok" and pending.will_retry and now < call.deadline:
            self.pending[call] = pending._replace(will_retry=False)
            call.try_started_at = now + 1  # assigns attempts still in flight to the previous try
            self.scheduler.call_later(1, self.proxies[pending.proxy].handle_call, call)
            return
        del self.pending[call]
        call.ended = True
        route, elapsed = self.routes[call.route], now - call.first_called_at
        in_time = outcome == "ok" and elapsed <= tenths_of_ms(route.slo)
        self.result.count(route.name, route.importance, call.first_called_at, outcome, elapsed, in_time)


def work_factor(spread, random_number):
    """A call's work relative to its route's mean. random_number: uniform, from 0 to 1."""
    match spread:
        case "uniform":
            return 0.7 + 0.6 * random_number
        case "exponential":
            return -math.log(1 - random_number)
    return 1.0
