"""Clients of weight advice, for balancers in Python: SASP (a balancer's side) and DFP (a manager's side).
What to say next is a state machine without I/O; around it a thin asyncio shell that reconnects by itself.
Offers SaspClient and DfpClient (`async for update in client.updates()`), Update, Weight, merge."""

from garnetpaddle.client.follow import Follow, Update, Weight
from garnetpaddle.client.manage import Manage
from garnetpaddle.client.merge import merge
from garnetpaddle.client.shell import DfpClient, SaspClient

__all__ = ["DfpClient", "Follow", "Manage", "SaspClient", "Update", "Weight", "merge"]
