"""Conversion of weights into 16-bit integers, in one scale for all followers."""

UNIT = 10_000  # the average weight: a line of 0.005 becomes 50, so rounding moves it by 1% at most
MAX_WEIGHT = 65_535  # the largest 16-bit integer
REGROW_FRACTION = 0.4  # of MAX_WEIGHT: the scale grows again only when the largest line leaves that much room


class WeightScale:
    """A scale that is halved as often as the largest line needs, so that numbers stay put while the lines do.
    A scale proportional to the largest line would move every number whenever that one moved."""

    def __init__(self):
        self.halvings = 0

    def to_integers(self, lines, round_down=()):
        """task -> 1 to 65535. lines: task -> weight above 0, the average being 1; round_down: tasks that must
        not get more than their share (cold ones)."""
        largest = max(lines.values(), default=0.0) * UNIT
        while largest / 2**self.halvings > MAX_WEIGHT:
            self.halvings += 1
        while self.halvings and largest / 2 ** (self.halvings - 1) <= REGROW_FRACTION * MAX_WEIGHT:
            self.halvings -= 1
        unit = UNIT / 2**self.halvings
        return {k: max(1, int(w * unit) if k in round_down else round(w * unit)) for k, w in lines.items()}
