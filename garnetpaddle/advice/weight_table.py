"""Integer weights of a table, computed once per generation for all followers of the table."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

from garnetpaddle.advice.weight_scale import WeightScale


class MemberWeight(NamedTuple):
    """The advice on one member."""

    weight: int  # 0 to 65535
    contact: bool  # the member is in the task list, and no health check found its port closed
    quiesced: bool  # no new calls may be sent to it
    confident: bool = True  # the weight is based on measurements, not a default


@dataclass(frozen=True, slots=True)
class Member:
    """A member as registered by a follower. key: its encoding in the follower's protocol, used as its id."""

    key: bytes
    address: tuple[str, int]
    task: str
    quiesced: bool = False  # by the member itself or its balancer, not by the task list
    state: int = 0  # opaque to us, returned as received
    registered: bool = True  # False: it has deregistered itself, and its balancer must still be told

    def current_task(self, table):
        """Returns its task or, if that has been forgotten, the task now listed at its address."""
        return self.task if self.task in table.tasks else table.tasks_by_address.get(self.address, self.task)


# Weights of members that get no calls: draining; gone or unknown; ready but without a usable line.
DRAINING = MemberWeight(0, True, True)
UNKNOWN = MemberWeight(0, False, True, False)
UNUSED = MemberWeight(0, True, False)
LAST_RESORT = MemberWeight(1, True, False, False)  # sent if no member has a weight; see member_weights


@dataclass(frozen=True, slots=True)
class WeightTable:
    """One table of a snapshot, with integer weights."""

    generation: int
    number: int  # of the table; 0: the follower is not bound to a table
    mark: int
    weights: Mapping[str, MemberWeight]  # of every known task
    tasks: Mapping  # task -> snapshots.TaskRecord
    tasks_by_address: Mapping  # address -> task
    not_ready_since: Mapping[str, int]  # task -> time since which it has been draining or gone
    levels: Mapping = field(default_factory=dict)  # route number -> snapshots.Level
    warm: Mapping[str, bool] = field(default_factory=dict)  # task -> whether its ramp-up is over
    cache: dict = field(default_factory=dict, compare=False)  # shared by sessions; see AdviceSession

    def weight_of(self, task):
        """Returns the MemberWeight of a task; UNKNOWN for one that is not in the table."""
        return self.weights.get(task, UNKNOWN)


@dataclass(frozen=True, slots=True)
class CachedTable:
    """A WeightTable and the parts of the snapshot from which it was computed."""

    table: object
    tasks: object
    withdrawn: object
    weights_changed: bool
    result: WeightTable

    def is_current(self, snapshot, table):
        """Returns whether this snapshot would give the same result."""
        return (
            self.table is table
            and self.tasks is snapshot.tasks
            and self.withdrawn is snapshot.withdrawn
            and self.weights_changed == snapshot.weights_changed
        )


class WeightTables:
    """Caches the WeightTable of each table for the newest snapshot requested.

    warm_after: tenths of a ms from a task's start until it is warm. Weights start equal, so they are sent as
    confident only once the Brain has adjusted them. A snapshot that differs only in bindings or the mark
    reuses the cached tables, so that hundreds of followers joining at once cause no work for the others."""

    def __init__(self, warm_after):
        self.warm_after, self.scale, self.cached = warm_after, WeightScale(), {}

    def table_for(self, snapshot, proxy):
        """Returns the WeightTable of a proxy; without a table, it has number 0 and only tasks that are not
        ready."""
        table = snapshot.table(proxy)
        number = table.number if table else 0
        cached = self.cached.get(number)
        if cached and cached.is_current(snapshot, table):
            return cached.result
        result = self.compute(snapshot, proxy, table)
        # Forgets tables that no longer exist; number 0 stands for no table.
        self.cached = {n: entry for n, entry in self.cached.items() if n in snapshot.tables or not n}
        self.cached[number] = CachedTable(
            table, snapshot.tasks, snapshot.withdrawn, snapshot.weights_changed, result
        )
        return result

    def compute(self, snapshot, proxy, table):
        """Computes the WeightTable of a proxy. table: its snapshots.Table, or None."""
        tasks, lines = snapshot.tasks, snapshot.usable_weights(proxy) or {}
        warm = {
            k: snapshot.at >= t.started_at + self.warm_after or not t.started_at for k, t in tasks.items()
        }
        integers = self.scale.to_integers(lines, {k: True for k in lines if not warm.get(k, True)})
        weights = {}
        for k, record in tasks.items():
            if record.is_not_ready():
                weights[k] = DRAINING if record.state == "draining" else UNKNOWN
            elif k in integers:
                weights[k] = MemberWeight(integers[k], True, False, snapshot.weights_changed)
            else:
                weights[k] = UNUSED
        return WeightTable(
            snapshot.generation,
            table.number if table else 0,
            snapshot.mark,
            MappingProxyType(weights),
            tasks,
            snapshot.tasks_by_address,
            snapshot.not_ready_since,
            table.levels if table else MappingProxyType({}),
            MappingProxyType(warm),
        )


def member_weights(members, table, last_sent, admitted=True):
    """Computes the advice on a group's members: key -> MemberWeight.

    members: key -> Member; last_sent: key -> MemberWeight; admitted: False if the route's level is 0.

    Without a table the advice last sent stays in force, except that a member that is draining or gone is
    reported at once, even if it was never sent: the balancer may know it from an earlier process of ours. If
    no member has a weight, the ready and warm ones get weight 1, not confident, because a failing member is
    better than none."""
    if not table.number:
        return member_weights_without_table(members, table, last_sent)
    weights = {}
    for key, member in members.items():
        weight = table.weights.get(member.task) or table.weight_of(member.current_task(table))
        if weight.weight and (member.quiesced or not admitted):
            weight = weight._replace(weight=0, quiesced=True)
        weights[key] = weight
    if admitted and not any(weight.weight > 0 for weight in weights.values()):
        for key, member in members.items():
            task = member.current_task(table)
            if table.warm.get(task) and task not in table.not_ready_since and not member.quiesced:
                weights[key] = LAST_RESORT
    return weights


def member_weights_without_table(members, table, last_sent):
    """Returns the advice last sent, updated for members that are draining or gone."""
    weights = {}
    for key, member in members.items():
        task = member.current_task(table)
        if task in table.not_ready_since:
            weights[key] = table.weight_of(task)
        elif key in last_sent:
            weights[key] = last_sent[key]
    return weights
