"""Clients of weight advice for load balancers in Python: SASP (load balancer) and DFP (manager).

The protocols are state machines without I/O, SaspBalancer and DfpManager; SaspClient and DfpClient run
them on asyncio and reconnect automatically (`async for update in client.updates()`). merge() combines the
advice of several assigners."""

from garnetpaddle.client.advice_types import Update, Weight
from garnetpaddle.client.asyncio_client import DfpClient, SaspClient
from garnetpaddle.client.dfp_manager import DfpManager
from garnetpaddle.client.merge import merge
from garnetpaddle.client.sasp_balancer import SaspBalancer

__all__ = ["DfpClient", "DfpManager", "SaspBalancer", "SaspClient", "Update", "Weight", "merge"]
