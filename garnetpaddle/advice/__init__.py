"""Weight advice for outside load balancers: the decisions that all its protocols share. No I/O.

WeightTables turn the Brain's lines into integers, advise() selects what a group is sent, refusal() decides
who may have which group, FollowerLeases who acts as which follower, UpdateDelivery who took what by when."""

from garnetpaddle.advice.access import refusal_reason
from garnetpaddle.advice.leases import FollowerLeases, Lease
from garnetpaddle.advice.update_delivery import UpdateDelivery
from garnetpaddle.advice.weight_scale import WeightScale
from garnetpaddle.advice.weight_table import Member, MemberWeight, WeightTable, WeightTables, member_weights

__all__ = [
    "FollowerLeases",
    "Lease",
    "Member",
    "MemberWeight",
    "UpdateDelivery",
    "WeightScale",
    "WeightTable",
    "WeightTables",
    "member_weights",
    "refusal_reason",
]
