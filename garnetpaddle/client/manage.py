"""A DFP manager's side of draft-eck-dfp, without I/O: the same events and actions as a SASP balancer's."""

from garnetpaddle.client.follow import (
    AGAIN,
    AGAIN_MOST,
    JITTER,
    Closed,
    Dial,
    Due,
    Hang,
    Opened,
    Read,
    Send,
    Update,
    Wake,
    Weight,
)
from garnetpaddle.dfp import codec

SECOND = 10_000
SILENT = 3  # keep-alives that may be missed


class Manage:
    """handle(now, event) -> actions. Advice outlives a connection. keep_alive: s within which the agent is
    asked to be heard; name: what its one group is called in updates."""

    def __init__(self, name, uniform, keep_alive=5, key=None):
        self.name, self.uniform, self.keep_alive, self.key = name, uniform, keep_alive, key
        self.table, self.serial, self.fails = {}, 0, 0
        self.state, self.next = "away", None

    def handle(self, now, event):
        out = []
        match event:
            case Opened():
                self.state, self.next = "following", now + self.patience()
                out.append(Send(codec.encode(codec.Parameters(self.keep_alive), self.key)))
            case Read(codec.Preference(loads)):
                self.fails, self.next = 0, now + self.patience()
                if loads:
                    self.take(now, loads, out)
            case Read(codec.Broken(why)):
                out.append(Hang(f"unreadable: {why}"))
            case Closed():
                wait = min(AGAIN * 2 ** min(self.fails, 16), AGAIN_MOST) * self.uniform(*JITTER)
                self.state, self.fails, self.next = "away", self.fails + 1, now + int(wait)
            case Due() if self.next is not None and now >= self.next:
                self.next = None
                out.append(Dial() if self.state == "away" else Hang("the agent is silent"))
        if self.next is not None:
            out.append(Wake(self.next))
        return out

    def patience(self):
        return self.keep_alive * SILENT * SECOND

    def take(self, now, loads, out):
        for load in loads:
            for host in load.hosts:
                at = ".".join(map(str, host.address))
                self.table[at, load.port] = Weight(at, load.port, "", host.weight, quiesced=not host.weight)
        self.serial += 1
        out.append(Update(self.name, tuple(self.table.values()), self.serial, now))
