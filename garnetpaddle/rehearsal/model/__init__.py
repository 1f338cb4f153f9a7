"""The simulation model: nodes, proxies and the channel as state machines on a virtual clock.

No I/O; times are whole tenths of a ms; each component has its own random stream, seeded by its name."""

from garnetpaddle.rehearsal.model.channel import Channel
from garnetpaddle.rehearsal.model.node import Node
from garnetpaddle.rehearsal.model.proxy import Call, Proxy
from garnetpaddle.rehearsal.model.scheduler import Scheduler, tenths_of_ms

__all__ = ["Call", "Channel", "Node", "Proxy", "Scheduler", "tenths_of_ms"]
