"""What all sessions of one assigner share: the operator's groups and followers, the seats, the sheets."""

from dataclasses import dataclass

from garnetpaddle.advice.roll import Roll
from garnetpaddle.advice.sheet import Sheets
from garnetpaddle.book import EMPTY, Level


@dataclass(frozen=True, slots=True)
class Right:
    """A group's route, by number and in effect: "repeatable", "keyed" or "mutating"."""

    route: int
    effect: str


@dataclass(frozen=True, slots=True)
class Client:
    """A follower as the operator states it."""

    name: str
    groups: tuple[str, ...]
    retries: str
    takes: str


ALIKE_MOST = 4_096  # sets of members that are remembered


class Office:
    """groups: name -> Right; clients: uid as bytes -> Client; grace, warm_after: tenths of a ms; followers:
    as Roll takes them. sessions: connection -> the session that has a seat, kept by the sessions."""

    def __init__(self, groups, clients, followers, grace, warm_after, started_at):
        self.groups, self.clients, self.grace = groups, clients, grace
        self.roll, self.sheets = Roll(followers, started_at), Sheets(warm_after)
        self.sessions, self.reading = {}, EMPTY
        self.serial, self.alike = 0, {}  # members -> a number: followers with the same are told alike

    def seated(self, uid):
        """The session of the follower with this uid, or None."""
        client = self.clients.get(uid)
        seat = self.roll.seats.get(client.name) if client else None
        return self.sessions.get(seat.sitting) if seat and seat.sitting is not None else None

    def likeness(self, members):
        """A number that all groups of the same members share; None where one is quiesced by its own word."""
        if any(member.quiesced for member in members.values()):
            return None
        if len(self.alike) > ALIKE_MOST:
            self.alike.clear()
        same = tuple((key, member.task) for key, member in members.items())
        return self.alike.setdefault(same, self.next())

    def next(self):
        """A number not given before: no two states of a session's groups have one version."""
        self.serial += 1
        return self.serial

    def level(self, name, right):
        """What the Brain orders for a route: by the follower's table, else by the newest that stands."""
        tables = self.reading.tables
        table = self.reading.table(self.number(name)) or (tables[max(tables)] if tables else None)
        return table.level(right.route) if table else Level(1.0, "none")

    def number(self, name):
        return self.roll.seats[name].number
