"""Merges the advice of several managers, for a balancer that follows more than one assigner."""

from collections.abc import Iterable

from garnetpaddle.client.advice_types import Update


def merge(updates: Iterable[Update]) -> dict[tuple[str, int], float]:
    """Returns (host, port) -> weight above 0 of the usable members. updates: the newest of each manager.

    Managers learn of a drain at different times, and one that does not know of it yet still lists the
    member, so a member that any of them reports as quiesced is left out. Each manager has its own weight
    scale, so weights are divided by the average of its usable members. If each manager orders a part of
    the fleet, the parts add up; if all order the whole, the sums have the proportions of their mean."""
    sums, quiesced = {}, {}
    for update in updates:
        usable = [w.weight for w in update.weights if w.weight and not w.quiesced]
        average = sum(usable) / len(usable) if usable else 1.0
        for w in update.weights:
            address = w.host, w.port
            if w.quiesced:
                quiesced[address] = True
            elif w.weight:
                sums[address] = sums.get(address, 0.0) + w.weight / average
    return {address: weight for address, weight in sums.items() if address not in quiesced}
