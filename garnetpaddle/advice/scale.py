"""Weights as whole numbers of 16 bits, in one scale for all followers."""

UNIT = 10_000  # what the average weight is told as: a line of 0.005 is 50, so rounding moves it by 1% at most
TOP = 65_535  # the largest number of 16 bits
BACK = 0.4  # of TOP: the scale grows again only when the largest line would fit so well


class Scale:
    """Halved as often as the largest line needs, so that numbers stay put while the lines do. A scale that
    followed the largest line would move every number whenever that one moved."""

    def __init__(self):
        self.halved = 0

    def told(self, lines, gentle=()):
        """task -> 1 to 65535. lines: task -> weight above 0, the average being 1; gentle: tasks that must not
        get more than their share (cold ones), so they are rounded down."""
        top = max(lines.values(), default=0.0) * UNIT
        while top / 2**self.halved > TOP:
            self.halved += 1
        while self.halved and top / 2 ** (self.halved - 1) <= BACK * TOP:
            self.halved -= 1
        unit = UNIT / 2**self.halved
        return {k: max(1, int(w * unit) if k in gentle else round(w * unit)) for k, w in lines.items()}
