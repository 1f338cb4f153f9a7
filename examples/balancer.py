"""A toy balancer that follows the assigner over SASP, on 127.0.0.1.

    python examples/toys.py         # one terminal; in another:
    ROUTER_CONFIG=examples/assigner.json python -m garnetpaddle serve --operator examples/operator.hcl
    python -m examples.balancer     # a third

It registers the toys' three tasks in the group "lookups" and spreads toy calls by what it is told: each call
goes to the member that is furthest behind its part (weighted round robin). Every five seconds it prints where
its calls went. A call that failed is not tried again, as its entry in operator.hcl states.
"""

import asyncio

from garnetpaddle.client import SaspClient

MANAGER, MEMBERS = ("127.0.0.1", 3860), [("127.0.0.1", port) for port in (7301, 7302, 7303)]


class Balancer:
    """Smooth weighted round robin over the last advice."""

    def __init__(self):
        self.weights, self.credit, self.sent = {}, {}, {}

    def steer(self, weights):
        self.weights = {w.port: w.weight for w in weights if w.weight and not w.quiesced}
        self.credit = {port: self.credit.get(port, 0) for port in self.weights}

    def pick(self):
        """A member's port; None while nobody may be sent to."""
        if not self.weights:
            return None
        for port, weight in self.weights.items():
            self.credit[port] += weight
        port = max(self.credit, key=lambda p: (self.credit[p], p))
        self.credit[port] -= sum(self.weights.values())
        self.sent[port] = self.sent.get(port, 0) + 1
        return port


async def calls(balancer):
    for n in range(1, 1_000_000):
        balancer.pick()
        await asyncio.sleep(0.01)
        if n % 500 == 0:
            print("sent:", ", ".join(f"{port} {count}" for port, count in sorted(balancer.sent.items())))
            balancer.sent.clear()


async def main():
    balancer = Balancer()
    async with SaspClient(MANAGER, "toy-balancer", {"lookups": MEMBERS}) as client:
        spreading = asyncio.create_task(calls(balancer))
        async for update in client.updates():
            balancer.steer(update.weights)
            print("told:", ", ".join(f"{w.port} {w.weight}" for w in update.weights))
        await spreading


if __name__ == "__main__":
    asyncio.run(main())
