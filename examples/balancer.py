"""A toy balancer that receives weights from the assigner over SASP, on 127.0.0.1.

    python examples/toys.py         # first terminal; in the second:
    ROUTER_CONFIG=examples/assigner.json python -m garnetpaddle serve --operator examples/operator.hcl
    python -m examples.balancer     # third terminal

It registers the three tasks of toys.py in the group "lookups" and distributes simulated calls by the received
weights (smooth weighted round robin). Every five seconds it prints the number of calls per member. Failed
calls are not retried, as its entry in operator.hcl states.
"""

import asyncio

from garnetpaddle.client import SaspClient

MANAGER, MEMBERS = ("127.0.0.1", 3860), [("127.0.0.1", port) for port in (7301, 7302, 7303)]


class Balancer:
    """Smooth weighted round robin over the latest weights."""

    def __init__(self):
        self.weights, self.credit, self.sent = {}, {}, {}

    def set_weights(self, weights):
        self.weights = {
            member.port: member.weight for member in weights if member.weight and not member.quiesced
        }
        self.credit = {port: self.credit.get(port, 0) for port in self.weights}

    def choose_member(self):
        """The port of the next member; None if no member accepts calls."""
        if not self.weights:
            return None
        for port, weight in self.weights.items():
            self.credit[port] += weight
        port = max(self.credit, key=lambda member_port: (self.credit[member_port], member_port))
        self.credit[port] -= sum(self.weights.values())
        self.sent[port] = self.sent.get(port, 0) + 1
        return port


async def send_calls(balancer):
    for number in range(1, 1_000_000):
        balancer.choose_member()
        await asyncio.sleep(0.01)
        if number % 500 == 0:
            print("sent:", ", ".join(f"{port} {count}" for port, count in sorted(balancer.sent.items())))
            balancer.sent.clear()


async def main():
    balancer = Balancer()
    async with SaspClient(MANAGER, "toy-balancer", {"lookups": MEMBERS}) as client:
        sending = asyncio.create_task(send_calls(balancer))
        async for update in client.updates():
            balancer.set_weights(update.weights)
            print("weights:", ", ".join(f"{member.port} {member.weight}" for member in update.weights))
        await sending


if __name__ == "__main__":
    asyncio.run(main())
