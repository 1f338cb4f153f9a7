"""Leases: which connection acts as which configured follower, and the join and leave events for the Brain.

Times are in tenths of a ms."""

from dataclasses import dataclass
from typing import NamedTuple

from garnetpaddle import interface as gp

FIRST_FOLLOWER_PROXY_NUMBER = (
    65_536  # first proxy number of a follower; the platform's proxies have lower numbers
)
# 6 s after this process's start, in which a follower may still use advice of the process before it; see
# brain.INHERITED_TABLES_TENTHS_MS
RESTART_PERIOD = 60_000
LEASE_TIMEOUT = 30_000  # 3 s without a sign of life, after which another connection may take the lease
# How long a follower is refused after a failure: 1 s, doubled with each failure in a row, up to a minute.
MIN_BLOCK_TIME, MAX_BLOCK_TIME = 10_000, 600_000
MAX_FAILURES = 16  # highest count of failures in a row


@dataclass(slots=True)
class Lease:
    """The lease of one follower.

    proxy_number: its number as a proxy of the Brain; holder: number of the connection that holds the lease,
    or None; renewed_at: time of the holder's last sign of life; blocked_until: until then the lease is
    refused, if there are failures; failures: drains in a row that it did not confirm in time; joined: the
    Brain counts it as joined, since it was sent a ProxyJoined and no ProxyLeft after it."""

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
    """The connection that lost the lease, if any, and the events to publish to the Brain."""

    previous_holder: int | None
    events: list


class FollowerLeases:
    """The leases of all followers."""

    def __init__(self, followers, started_at):
        """followers: (name, calls per second, zone) in configuration order; started_at: when we started."""
        self.started_at = started_at
        self.by_name = {
            name: Lease(name, FIRST_FOLLOWER_PROXY_NUMBER + position, rate, zone)
            for position, (name, rate, zone) in enumerate(followers)
        }

    def refusal_reason(self, now, name, connection, has_read_reply):
        """Returns why a connection may not acquire a lease, or "" if it may.

        has_read_reply: the client has sent a message after its TCP stack acknowledged a reply of ours."""
        lease = self.by_name[name]
        if lease.holder not in (None, connection) and now - lease.renewed_at < LEASE_TIMEOUT:
            return "another connection follows under this name"
        if lease.failures and now < lease.blocked_until:
            return f"did not take a drain in time; held for {(lease.blocked_until - now) / 10_000:.1f} s more"
        if lease.failures and not has_read_reply:
            return "did not take a drain in time, and has not shown that it reads again"
        return ""

    def acquire(self, now, name, connection):
        """Makes the connection the holder, replacing any other; returns an Acquisition.

        The caller has checked that refusal_reason returns "". After a takeover the Brain is sent ProxyLeft
        and ProxyJoined, so that it binds the new connection anew: what was sent to the previous one does not
        count for it."""
        lease = self.by_name[name]
        previous = lease.holder if lease.holder != connection else None
        events = []
        if previous is not None and lease.joined:
            events.append(gp.ProxyLeft(lease.proxy_number))
            lease.joined = False
        lease.holder, lease.renewed_at = connection, now
        if not lease.joined:
            lease.joined = True
            # Soon after this process's start, the follower may hold advice of the process before it. It then
            # counts as a proxy with a table, which the Brain may leave in place at first.
            has_only_default_table = now - self.started_at >= RESTART_PERIOD
            events.append(
                gp.ProxyJoined(
                    lease.proxy_number,
                    lease.calls_per_second,
                    has_only_default_table,
                    lease.zone,
                    external=True,
                )
            )
        return Acquisition(previous, events)

    def renew(self, now, name, connection):
        """Extends the lease after a sign of life from the connection."""
        if self.by_name[name].holder == connection:
            self.by_name[name].renewed_at = now

    def clear_failures(self, name):
        """Resets the failure count after the follower confirmed a drain; it is then no longer refused."""
        self.by_name[name].failures = 0

    def release(self, now, name, connection, failed):
        """Releases the lease of a connection that ended; returns the events for the Brain, none if the
        connection does not hold the lease.

        failed: the follower did not confirm a drain in time, and is refused for a while."""
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
