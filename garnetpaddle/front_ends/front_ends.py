"""Front ends of the operator's configuration: listeners for load balancers, updated by the decision loop."""

import structlog

from garnetpaddle import dfp, sasp
from garnetpaddle import interface as gp
from garnetpaddle.advice.leases import FIRST_FOLLOWER_PROXY_NUMBER
from garnetpaddle.advice.session_registry import Follower, GroupRoute, SessionRegistry
from garnetpaddle.boot import seconds_to_tenths_of_ms
from garnetpaddle.dfp.codec import Key
from garnetpaddle.front_ends.connection_manager import ConnectionManager
from garnetpaddle.operator.configuration import lb_uid
from garnetpaddle.snapshots import SnapshotBuilder, SnapshotPublisher

EFFECTS = {"free": "repeatable", "guarded": "keyed"}  # value in the settings; any other counts as mutating
BYTES_PER_KIB_SHIFT = 10
log = structlog.get_logger()


def split_address(text):
    """Splits host:port into (host, port)."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def build_session_registry(configuration, settings, parameters, started_at):
    """Returns the SessionRegistry for the operator's and the platform's configuration.

    configuration: operator.OperatorConfiguration; settings: boot.Settings; parameters: interface.Parameters;
    started_at: in tenths of a ms."""
    routes = {route.name: number for number, route in enumerate(settings.categories)}
    groups = {}
    for group in configuration.groups:
        number = routes[group.route]
        groups[group.name] = GroupRoute(number, EFFECTS.get(settings.categories[number].effect, "mutating"))
    followers = {
        lb_uid(f): Follower(f.name, tuple(f.groups), f.retries, f.takes) for f in configuration.followers
    }
    lease_specs = [(f.name, f.calls_per_second, f.zone or parameters.zone) for f in configuration.followers]
    grace_period = seconds_to_tenths_of_ms(settings.contract.stop_sending_within)
    return SessionRegistry(groups, followers, lease_specs, grace_period, parameters.warm_after, started_at)


class FrontEnds:
    """The front ends of one assigner.

    configuration: operator.OperatorConfiguration; task_addresses: an object whose by_task maps tasks to
    (host, port); now: the clock in tenths of a ms; publish: receives events for the Brain."""

    def __init__(self, configuration, settings, parameters, task_addresses, now, publish):
        self.configuration, self.task_addresses, self.published_addresses = (
            configuration,
            task_addresses,
            None,
        )
        self.snapshot_builder, self.publisher = (
            SnapshotBuilder(parameters.dropped_counts_as_gone),
            SnapshotPublisher(),
        )
        self.registry = build_session_registry(configuration, settings, parameters, now())
        limits = configuration.limits
        self.manager = ConnectionManager(
            self.publisher, now, publish, limits.connections, limits.unread_kib << BYTES_PER_KIB_SHIFT
        )
        # addresses: front end's name -> bound (host, port); failed: a snapshot could not be published.
        self.addresses, self.failed = {}, False

    def publish_snapshot(self, now, events, orders):
        """Publishes the snapshot after a batch; called by the decision loop after each one.

        An error here must not end the assigner. But a snapshot that is no longer updated would hide drains
        from the followers, so the front ends are closed and their followers leave."""
        if self.failed:
            return
        try:
            changed_addresses = None
            if self.task_addresses.by_task != self.published_addresses:
                changed_addresses = self.published_addresses = dict(self.task_addresses.by_task)
            self.publisher.publish(self.snapshot_builder.update(now, events, orders, changed_addresses))
        except Exception:
            log.exception("book_failed")
            self.failed = True
            self.close()

    @staticmethod
    def platform_orders(reply):
        """Returns the orders of a reply that go to the platform's relay: all but the binds of followers.

        Returns none if binds were left out and only acknowledgement requests remain."""
        kept = [
            o for o in reply if not (isinstance(o, gp.BindProxy) and o.proxy >= FIRST_FOLLOWER_PROXY_NUMBER)
        ]
        if len(kept) < len(reply) and all(isinstance(o, gp.RequestAcknowledgement) for o in kept):
            return []
        return kept

    async def open(self):
        """Opens all listeners; raises OSError with the name of the configuration block."""
        max_message = self.configuration.limits.message_kib << BYTES_PER_KIB_SHIFT
        for front in self.configuration.sasp:
            self.addresses[front.name] = await self.listen(front, self.sasp_sessions(front, max_message))
        for front in self.configuration.dfp:
            self.addresses[front.name] = await self.listen(front, self.dfp_sessions(front, max_message))

    async def listen(self, front, create_session):
        """Opens one listener; returns its bound (host, port). front: operator.Sasp or operator.Dfp."""
        try:
            bound_address = await self.manager.open(split_address(front.listen), create_session)
        except OSError as error:
            raise OSError(error.errno, f"{front.name}, {front.listen}: {error.strerror or error}") from None
        log.info("front_open", front=front.name, listen=f"{bound_address[0]}:{bound_address[1]}")
        return bound_address

    def sasp_sessions(self, front, max_message):
        """Returns a function that creates a SASP session; see ConnectionManager.open."""

        def create_session(number, host, now):
            session = sasp.Session(
                self.registry,
                number,
                seconds_to_tenths_of_ms(front.pace),
                seconds_to_tenths_of_ms(front.interval),
                self.configuration.limits.members,
                host,
                now,
            )
            return session, sasp.MessageDecoder(max_message)

        return create_session

    def dfp_sessions(self, front, max_message):
        """Returns a function that creates a DFP session; see ConnectionManager.open."""
        follower = next(c for c in self.registry.followers.values() if c.name == front.follower)
        key = None
        if front.secret_file:
            with open(front.secret_file, "rb") as file:
                key = Key(front.key_id, file.read().strip())

        def create_session(number, host, now):
            session = dfp.Session(
                self.registry,
                number,
                seconds_to_tenths_of_ms(front.pace),
                follower,
                front.group,
                seconds_to_tenths_of_ms(front.keep_alive),
                key,
                now,
            )
            return session, dfp.MessageDecoder(max_message, key)

        return create_session

    async def run(self):
        """Serves the connections until cancelled."""
        await self.manager.run()

    def close(self):
        """Closes all listeners and connections."""
        self.manager.close()
