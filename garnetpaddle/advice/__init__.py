"""Weight advice for external load balancers: the protocol-independent part. No I/O.

WeightTables converts the Brain's weights to integers; member_weights() computes what a group is sent;
refusal_reason() authorizes a follower for a group; FollowerLeases tracks which connection acts as which
follower; UpdateDelivery tracks which updates a client has confirmed, and the deadlines of drains."""

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
