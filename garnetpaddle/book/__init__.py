"""What stands by the orders given, and what is known of each task: immutable readings with a generation.
A pure function of the Brain's events and orders. Fronts read it; none keeps a table or asks the Brain.
Offers Keeper.turn(now, events, orders, places) -> Reading, its types, and Desk, where fronts wait."""

from garnetpaddle.book.desk import Desk
from garnetpaddle.book.keeper import Keeper
from garnetpaddle.book.reading import EMPTY, Known, Level, Reading, Table

__all__ = ["EMPTY", "Desk", "Keeper", "Known", "Level", "Reading", "Table"]
