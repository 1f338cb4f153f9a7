"""The advice of several managers as one, for a balancer that follows more than one assigner."""

from collections.abc import Iterable

from garnetpaddle.client.follow import Update


def merge(updates: Iterable[Update]) -> dict[tuple[str, int], float]:
    """(host, port) -> weight above 0 of whom calls may go to; the newest Update of each manager.

    Managers hear of a drain at different times, and one that has not heard yet still lists the node: a member
    that any of them calls quiesced gets nothing, whatever the others say. Each manager's numbers have a scale
    of their own, so they count against the average of its standing members; where each orders a part of the
    fleet, the parts add up, and where all order the whole, the sums are in the proportions of their mean."""
    sums, out = {}, {}
    for update in updates:
        standing = [w.weight for w in update.weights if w.weight and not w.quiesced]
        average = sum(standing) / len(standing) if standing else 1.0
        for w in update.weights:
            place = w.host, w.port
            if w.quiesced:
                out[place] = True
            elif w.weight:
                sums[place] = sums.get(place, 0.0) + w.weight / average
    return {place: weight for place, weight in sums.items() if place not in out}
