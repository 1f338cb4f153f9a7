"""The operator's own file, in HCL: fronts, groups, followers, limits. Read and checked whole.
Every fault names file, line, field and what would be right. Nothing here is imported where no file is given.
Offers read(path) -> Plan or Faulty, fits(plan, told) -> faults against the settings, and the types."""

from garnetpaddle.operator.plan import Dfp, Follower, Group, Limits, Plan, Sasp, fits, read
from garnetpaddle.operator.typed import Fault, Faulty

__all__ = ["Dfp", "Fault", "Faulty", "Follower", "Group", "Limits", "Plan", "Sasp", "fits", "read"]
