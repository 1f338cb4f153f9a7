"""Front ends for external load balancers: TCP servers around the I/O-free sessions of the advice protocols.

They read the published snapshots, never block the decision loop, and send nothing to the platform's relay."""

from garnetpaddle.front_ends.connection_manager import ConnectionManager
from garnetpaddle.front_ends.front_ends import FrontEnds

__all__ = ["ConnectionManager", "FrontEnds"]
