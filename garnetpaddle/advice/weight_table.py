"""A table's weights as integers, computed once a generation for all followers of the table."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

from garnetpaddle.advice.weight_scale import WeightScale


class MemberWeight(NamedTuple):
    """What is sent of one member."""

    weight: int  # 0 to 65535
    contact: bool  # it is in the list, and no probe says that nothing listens there
    quiesced: bool  # nothing new is to be sent to it
    confident: bool = True  # the weight is learnt, not a default


@dataclass(frozen=True, slots=True)
class Member:
    """A member as a follower has registered it. key: its bytes on that wire, which name it."""

    key: bytes
    address: tuple[str, int]
    task: str
    quiesced: bool = False  # by the member itself or its balancer, not by the list
    state: int = 0  # opaque, returned as given
    registered: bool = True  # False: it has deregistered itself, which its balancer must still hear of

    def current_task(self, table):
        """Its task, or if that was forgotten, the task that the list now has at its address."""
        return self.task if self.task in table.tasks else table.tasks_by_address.get(self.address, self.task)


DRAINING = MemberWeight(0, True, True)
UNKNOWN = MemberWeight(0, False, True, False)
UNUSED = MemberWeight(0, True, False)
LAST_RESORT = MemberWeight(1, True, False, False)  # no other member is left: see advise


@dataclass(frozen=True, slots=True)
class WeightTable:
    """One table of the book at one generation, with integer weights."""

    generation: int
    number: int  # of the table; 0: the follower is bound to none
    mark: int
    weights: Mapping[str, MemberWeight]  # of every known task
    tasks: Mapping  # task -> book.TaskRecord
    tasks_by_address: Mapping  # address -> task
    closed: Mapping[str, int]  # task -> since when it drains or is gone
    levels: Mapping = field(default_factory=dict)  # by route: book.Level
    warm: Mapping[str, bool] = field(default_factory=dict)
    cache: dict = field(default_factory=dict, compare=False)  # results that sessions share; see AdviceSession

    def weight_of(self, task):
        """A task's MemberWeight."""
        return self.weights.get(task, UNKNOWN)


@dataclass(frozen=True, slots=True)
class CachedTable:
    """A WeightTable and the parts of a snapshot from which it was computed."""

    table: object
    tasks: object
    withdrawn: object
    steered: bool
    result: WeightTable

    def is_current(self, snapshot, table):
        """Whether it would be computed alike from this snapshot."""
        return (
            self.table is table
            and self.tasks is snapshot.tasks
            and self.withdrawn is snapshot.withdrawn
            and self.steered == snapshot.steered
        )


class WeightTables:
    """The WeightTable of each table at the newest snapshot asked for.

    warm_after: tenths of a ms from a task's start until it is warm. Shares start even, so weights are sent
    as confident only once they were steered. A snapshot in which only bindings or the mark changed has the
    same tables as the one before: when hundreds of followers join at once, the others have nothing to do."""

    def __init__(self, warm_after):
        self.warm_after, self.scale, self.cached = warm_after, WeightScale(), {}

    def table_for(self, snapshot, proxy):
        """The WeightTable of a proxy; number 0, with closed tasks alone, if it is bound to no table."""
        table = snapshot.table(proxy)
        number = table.number if table else 0
        cached = self.cached.get(number)
        if cached and cached.is_current(snapshot, table):
            return cached.result
        result = self.compute(snapshot, proxy, table)
        self.cached = {n: x for n, x in self.cached.items() if n in snapshot.tables or not n}
        self.cached[number] = CachedTable(table, snapshot.tasks, snapshot.withdrawn, snapshot.steered, result)
        return result

    def compute(self, snapshot, proxy, table):
        """A new WeightTable."""
        tasks, lines = snapshot.tasks, snapshot.usable_lines(proxy) or {}
        warm = {
            k: snapshot.at >= t.started_at + self.warm_after or not t.started_at for k, t in tasks.items()
        }
        integers = self.scale.to_integers(lines, {k: True for k in lines if not warm.get(k, True)})
        weights = {}
        for k, record in tasks.items():
            if record.closed():
                weights[k] = DRAINING if record.state == "draining" else UNKNOWN
            elif k in integers:
                weights[k] = MemberWeight(integers[k], True, False, snapshot.steered)
            else:
                weights[k] = UNUSED
        return WeightTable(
            snapshot.generation,
            table.number if table else 0,
            snapshot.mark,
            MappingProxyType(weights),
            tasks,
            snapshot.tasks_by_address,
            snapshot.closed,
            table.levels if table else MappingProxyType({}),
            MappingProxyType(warm),
        )


def member_weights(members, table, last_sent, admitted=True):
    """What to send of a group's members: key -> MemberWeight.

    members: key -> Member; last_sent: key -> MemberWeight; admitted: False where the route's level is 0.
    Without a table what was sent stands, but a member that drains or is gone is sent so at once, whether it
    was sent before or not: a balancer may hold it from an earlier process. A group without any weight is not
    left empty while one member is ready and warm, since a failing member beats none there too: these are
    sent weight 1, not confident."""
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
            if table.warm.get(task) and task not in table.closed and not member.quiesced:
                weights[key] = LAST_RESORT
    return weights


def member_weights_without_table(members, table, last_sent):
    """What was sent before, and which members are closed since."""
    weights = {}
    for key, member in members.items():
        task = member.current_task(table)
        if task in table.closed:
            weights[key] = table.weight_of(task)
        elif key in last_sent:
            weights[key] = last_sent[key]
    return weights
