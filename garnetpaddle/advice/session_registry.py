"""What all sessions of an assigner share: groups, followers and their leases, weight tables, a snapshot."""

from dataclasses import dataclass

from garnetpaddle.advice.leases import FollowerLeases
from garnetpaddle.advice.weight_table import WeightTables
from garnetpaddle.book import EMPTY, Level

MAX_MEMBER_SETS = 4_096  # that are remembered


@dataclass(frozen=True, slots=True)
class GroupRoute:
    """A group's route, by number, and the effect of its calls: "repeatable", "keyed" or "mutating"."""

    number: int
    effect: str


@dataclass(frozen=True, slots=True)
class Follower:
    """A follower as the operator's file states it; see operator.Follower."""

    name: str
    groups: tuple[str, ...]
    retries: str
    confirmed_by: str


class SessionRegistry:
    """groups: name -> GroupRoute; followers: uid as bytes -> Follower; lease_holders: (name, calls a second,
    zone) of each follower; grace, warm_after: tenths of a ms. sessions: connection -> the session that holds
    a lease, kept by the sessions."""

    def __init__(self, groups, followers, lease_specs, grace_period, warm_after, started_at):
        self.groups, self.followers, self.grace_period = groups, followers, grace_period
        self.leases, self.weight_tables = FollowerLeases(lease_specs, started_at), WeightTables(warm_after)
        self.sessions, self.snapshot = {}, EMPTY
        self.last_version, self.member_sets = 0, {}  # member_sets: members -> a number

    def session_of(self, uid):
        """The session of the follower with this uid, or None."""
        follower = self.followers.get(uid)
        lease = self.leases.by_name.get(follower.name) if follower else None
        return self.sessions.get(lease.holder) if lease and lease.holder is not None else None

    def member_set_number(self, members):
        """A number that all groups of the same members share, so that followers with the same members share
        their updates; None where a member is quiesced by itself or its balancer."""
        if any(member.quiesced for member in members.values()):
            return None
        if len(self.member_sets) > MAX_MEMBER_SETS:
            self.member_sets.clear()
        identity = tuple((key, member.task) for key, member in members.items())
        return self.member_sets.setdefault(identity, self.next_version())

    def next_version(self):
        """A number not given before: no two states of a session's groups have one version."""
        self.last_version += 1
        return self.last_version

    def level(self, name, route):
        """The Brain's level for a GroupRoute: by the follower's table, else by the newest one."""
        tables = self.snapshot.tables
        table = self.snapshot.table(self.proxy_number(name)) or (tables[max(tables)] if tables else None)
        return table.level(route.number) if table else Level(1.0, "none")

    def proxy_number(self, name):
        """A follower's number as a proxy."""
        return self.leases.by_name[name].proxy_number

    def weight_table(self, name):
        """The WeightTable that a follower is bound to."""
        return self.weight_tables.table_for(self.snapshot, self.proxy_number(name))
