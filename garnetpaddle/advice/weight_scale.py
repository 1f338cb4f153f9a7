"""Conversion of weights to 16-bit integers, on one scale for all followers."""

UNIT = 10_000  # integer of the average weight; a weight of 0.005 becomes 50, a rounding error of 1% at most
MAX_WEIGHT = 65_535  # the largest 16-bit integer
REGROW_FRACTION = 0.4  # of MAX_WEIGHT: the scale doubles again only if the largest weight then stays below


class WeightScale:
    """A scale that is halved until the largest weight fits, so that unchanged weights keep their integers.

    A scale proportional to the largest weight would change every integer whenever that weight changed."""

    def __init__(self):
        self.halvings = 0

    def to_integers(self, weights, round_down=()):
        """Returns task -> integer from 1 to 65535.

        weights: task -> weight above 0, averaging 1; round_down: cold tasks, which must not get more than
        their share."""
        largest = max(weights.values(), default=0.0) * UNIT
        while largest / 2**self.halvings > MAX_WEIGHT:
            self.halvings += 1
        while self.halvings and largest / 2 ** (self.halvings - 1) <= REGROW_FRACTION * MAX_WEIGHT:
            self.halvings -= 1
        unit = UNIT / 2**self.halvings
        return {k: max(1, int(w * unit) if k in round_down else round(w * unit)) for k, w in weights.items()}
