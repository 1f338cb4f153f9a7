"""State shared by all sessions of an assigner: groups, followers, leases, weight tables and a snapshot."""

from dataclasses import dataclass

from garnetpaddle.advice.leases import FollowerLeases
from garnetpaddle.advice.weight_table import WeightTables
from garnetpaddle.snapshots import EMPTY_SNAPSHOT, Level

MAX_MEMBER_SETS = 4_096  # kept in memory; all are forgotten when the limit is passed


@dataclass(frozen=True, slots=True)
class GroupRoute:
    """A group's route number and the effect of its calls: "repeatable", "keyed" or "mutating"."""

    number: int
    effect: str


@dataclass(frozen=True, slots=True)
class Follower:
    """A follower of the operator's configuration; see operator.Follower.

    confirmed_by: what confirms an update, "answers" or "acknowledged"; see UpdateDelivery."""

    name: str
    groups: tuple[str, ...]
    retries: str
    confirmed_by: str


class SessionRegistry:
    """groups: name -> GroupRoute; followers: uid as bytes -> Follower; lease_specs: (name, calls per second,
    zone) of each follower; grace_period, warm_after: in tenths of a ms.

    sessions: connection number -> the session that holds a lease; the sessions maintain it."""

    def __init__(self, groups, followers, lease_specs, grace_period, warm_after, started_at):
        self.groups, self.followers, self.grace_period = groups, followers, grace_period
        self.leases, self.weight_tables = FollowerLeases(lease_specs, started_at), WeightTables(warm_after)
        self.sessions, self.snapshot = {}, EMPTY_SNAPSHOT
        self.last_version, self.member_sets = 0, {}  # member_sets: identity of a member set -> its number

    def session_of(self, uid):
        """Returns the session that holds the lease of the follower with this uid, or None."""
        follower = self.followers.get(uid)
        lease = self.leases.by_name.get(follower.name) if follower else None
        return self.sessions.get(lease.holder) if lease and lease.holder is not None else None

    def member_set_number(self, members):
        """Returns a number shared by all groups with the same members, so that they can share their updates.

        None if a member is quiesced by itself or its balancer, since such groups are not shared."""
        if any(member.quiesced for member in members.values()):
            return None
        if len(self.member_sets) > MAX_MEMBER_SETS:
            self.member_sets.clear()
        identity = tuple((key, member.task) for key, member in members.items())
        return self.member_sets.setdefault(identity, self.next_version())

    def next_version(self):
        """Returns a number that was never returned before, to identify one state of a group."""
        self.last_version += 1
        return self.last_version

    def level(self, name, route):
        """Returns the Level that the Brain ordered for a GroupRoute, in the follower's table or else in the
        newest one. name: the follower's."""
        tables = self.snapshot.tables
        table = self.snapshot.table(self.proxy_number(name)) or (tables[max(tables)] if tables else None)
        return table.level(route.number) if table else Level(1.0, "none")

    def proxy_number(self, name):
        """Returns a follower's number as a proxy."""
        return self.leases.by_name[name].proxy_number

    def weight_table(self, name):
        """Returns the WeightTable of the follower with this name; its number is 0 if it has no table."""
        return self.weight_tables.table_for(self.snapshot, self.proxy_number(name))
