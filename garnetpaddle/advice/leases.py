"""Leases: which connection acts as which of the operator's followers, and what the Brain hears of that."""

from dataclasses import dataclass
from typing import NamedTuple

from garnetpaddle import interface as gp

FIRST_FOLLOWER_NUMBER = 65_536  # followers' numbers as proxies start here: the platform's are below
RESTART_PERIOD = 60_000  # 6 s: who joins so soon after our start may hold former advice; see Brain.HEIR
LEASE_TIMEOUT = 30_000  # 3 s: another connection may take over the lease of one not heard for so long
MIN_BLOCK_TIME, MAX_BLOCK_TIME = (
    10_000,
    600_000,
)  # 1 s, doubled up to a minute: how long a failed follower is refused
MAX_FAILURES = 16  # counted in a row


@dataclass(slots=True)
class Lease:
    """One follower's lease. number: as a proxy; holder: the connection's number, None while it is away;
    failures: drains in a row that it did not take in time; joined: the Brain counts it as joined."""

    name: str
    proxy_number: int
    calls_per_second: float
    zone: str
    holder: int | None = None
    renewed_at: int = 0
    blocked_until: int = 0
    failures: int = 0
    joined: bool = False


class Acquisition(NamedTuple):
    """The connection that lost the lease, if any, and the events for the Brain."""

    previous_holder: int | None
    events: list


class FollowerLeases:
    """All followers' leases."""

    def __init__(self, followers, started_at):
        """followers: (name, calls a second, zone) in the order of the file."""
        self.started_at = started_at
        self.by_name = {
            name: Lease(name, FIRST_FOLLOWER_NUMBER + k, rate, zone)
            for k, (name, rate, zone) in enumerate(followers)
        }

    def refusal_reason(self, now, name, connection, has_read_reply):
        """Why a connection may not acquire a lease; "" where it may. reads_answers: it has sent a message
        after an answer of ours had reached its machine."""
        lease = self.by_name[name]
        if lease.holder not in (None, connection) and now - lease.renewed_at < LEASE_TIMEOUT:
            return "another connection follows under this name"
        if lease.failures and now < lease.blocked_until:
            return f"did not take a drain in time; held for {(lease.blocked_until - now) / 10_000:.1f} s more"
        if lease.failures and not has_read_reply:
            return "did not take a drain in time, and has not shown that it reads again"
        return ""

    def acquire(self, now, name, connection):
        """The connection becomes the holder, whoever was: an Acquisition."""
        lease = self.by_name[name]
        previous = lease.holder if lease.holder != connection else None
        events = []
        if previous is not None and lease.joined:
            events.append(gp.ProxyLeft(lease.proxy_number))
            lease.joined = False
        lease.holder, lease.renewed_at = connection, now
        if not lease.joined:
            lease.joined = True
            fresh = now - self.started_at >= RESTART_PERIOD
            events.append(
                gp.ProxyJoined(lease.proxy_number, lease.calls_per_second, fresh, lease.zone, aside=True)
            )
        return Acquisition(previous, events)

    def renew(self, now, name, connection):
        """The connection was heard."""
        if self.by_name[name].holder == connection:
            self.by_name[name].renewed_at = now

    def clear_failures(self, name):
        """The follower has shown that it took a drain."""
        self.by_name[name].failures = 0

    def release(self, now, name, connection, failed):
        """The connection has ended; returns the events. failed: it did not take a drain in time."""
        lease = self.by_name[name]
        if lease.holder != connection:
            return []
        lease.holder = None
        if failed:
            lease.blocked_until = now + min(MIN_BLOCK_TIME * 2**lease.failures, MAX_BLOCK_TIME)
            lease.failures = min(lease.failures + 1, MAX_FAILURES)
        if not lease.joined:
            return []
        lease.joined = False
        return [gp.ProxyLeft(lease.proxy_number)]
