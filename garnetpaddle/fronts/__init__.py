"""The assigner's further fronts: sockets of the wires that the operator's file names, around pure sessions.
They read the book and never hold up the owner's task; no order of theirs reaches the platform's relay.
Offers Fronts (opened by serve), which holds the Keeper, the Desk and the Hall of connections."""

from garnetpaddle.fronts.build import Fronts
from garnetpaddle.fronts.hall import Hall

__all__ = ["Fronts", "Hall"]
