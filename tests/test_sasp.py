"""RFC 4678: the codec against hand-written bytes, and the manager's session by short traces."""

import re

import pytest
from helper import assert_trace_matches, list_changes, task_line
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetpaddle import interface as gp
from garnetpaddle.advice.leases import FIRST_FOLLOWER_PROXY_NUMBER
from garnetpaddle.advice.session_events import (
    BytesAcknowledged,
    CloseConnection,
    ConnectionLost,
    InputDelayed,
    InputProcessed,
    LogLine,
    MessageReceived,
    NotifySession,
    PublishEvent,
    SetTimer,
    SnapshotPublished,
    TimerExpired,
    WriteBytes,
)
from garnetpaddle.advice.session_registry import Follower, GroupRoute, SessionRegistry
from garnetpaddle.sasp import codec, constants
from garnetpaddle.sasp import messages as m
from garnetpaddle.sasp.constants import MessageType, ResponseCode
from garnetpaddle.sasp.session import Session
from garnetpaddle.snapshots import SnapshotBuilder

GOLDEN = {
    # A registration by a balancer: one group, one member.
    """2010 000d 01 0000003f 00000007   # header, length 13, version 1, message of 63 bytes, id 7
       1010 0007 01 0001                # registration, length 7, flags: sent by the balancer; one group
       4010 0006 0001                   # group of member data, length 6, one member
       3011 000b 03 4c4231 02 6973      # group data, length 11: LB UID "LB1", name "is"
       3010 001a 06 1388                # member data, length 26, TCP, port 5000
         00000000000000000000ffff0a010012  # 10.1.0.18, mapped
         02 6e31                        # label "n1"
    """: m.Register(
        7, True, ((m.GroupName(b"LB1", b"is"), (m.MemberData.from_address("10.1.0.18", 5000, "n1"),)),)
    ),
    """2010 000d 01 00000012 00000007   # header of a message of 18 bytes, id 7
       1015 0005 45                     # registration reply, length 5, code 0x45
    """: m.Reply(7, MessageType.REGISTER_REPLY, ResponseCode.LB_UNKNOWN_YET),
    # A deregistration of a whole group.
    """2010 000d 01 00000026 00000008
       1020 0008 01 01 0001             # deregistration, length 8, by the balancer, learned and purposeful
       4010 0006 0000                   # no members, which means all of them
       3011 000b 03 4c4231 02 6973
    """: m.Deregister(8, True, 1, ((m.GroupName(b"LB1", b"is"), ()),)),
    """2010 000d 01 0000001e 00000009
       1030 0006 0001                   # get weights, length 6, one group
       3011 000b 03 4c4231 02 6973
    """: m.GetWeights(9, (m.GroupName(b"LB1", b"is"),)),
    # The reply to Get Weights: success, interval 5 s, one group with one weight of 10,000.
    """2010 000d 01 00000047 00000009
       1035 0009 00 0005 0001           # reply, length 9, code 0, interval 5, one group
       4011 0006 0001                   # group of weight data, length 6, one entry
       3011 000b 03 4c4231 02 6973
       3012 0008                        # weight entry, length 8, excluding the nested member
         3010 0018 06 01bb 20010db8000000000000000000000001 00  # [2001:db8::1]:443, no label
         00 0d 2710                     # state 0, flags contact, registration, confident; weight 10,000
    """: m.Weights(
        9,
        ResponseCode.SUCCESS,
        5,
        (
            (
                m.GroupName(b"LB1", b"is"),
                (m.WeightEntry(m.MemberData.from_address("2001:db8::1", 443), 10_000, 0x0D),),
            ),
        ),
    ),
    # Send Weights with a quiesced member; lengths include nested components.
    """2010 000d 01 00000044 00000002
       1040 0037 0001                   # send weights, length 55, including nested components
       4011 0031 0001
       3011 000b 03 4c4231 02 6973
       3012 0020
         3010 0018 06 01bb 20010db8000000000000000000000001 00
         02 07 0000                     # state 2, flags contact, quiesce, registration; weight 0
    """: m.SendWeights(
        2,
        (
            (
                m.GroupName(b"LB1", b"is"),
                (m.WeightEntry(m.MemberData.from_address("2001:db8::1", 443), 0, 0x07, 2),),
            ),
        ),
        inclusive_lengths=True,
    ),
    """2010 000d 01 00000017 00000003
       1050 000a 03 4c4231 7f 05        # LB state, length 10, UID "LB1", health 127, flags push and no change
    """: m.SetLbState(3, b"LB1", 0x7F, True, False, True),
    """2010 000d 01 00000045 00000004
       1060 0007 01 0001                # member state, length 7, sent by the balancer, one group
       4012 0006 0001                   # group of member state data
       3011 000b 03 4c4231 02 6973
       3013 0006                        # member state entry, length 6
         3010 001a 06 1388 00000000000000000000ffff0a010012 02 6e31
         09 01                          # state 9, quiesced
    """: m.SetMemberState(
        4,
        True,
        (
            (
                m.GroupName(b"LB1", b"is"),
                (m.StateEntry(m.MemberData.from_address("10.1.0.18", 5000, "n1"), 9, True),),
            ),
        ),
    ),
}


def bytes_of(text):
    return bytes.fromhex(re.sub(r"#.*", "", text))


@pytest.mark.parametrize("text", GOLDEN, ids=lambda text: re.search(r"\n\s+(\d{4})", text)[1])
def test_encoding_matches_hand_written_bytes(text):
    data, message = bytes_of(text), GOLDEN[text]
    assert codec.encode(message).hex() == data.hex()
    assert list(codec.MessageDecoder(4096).feed(data)) == [message]


ADDRESS = st.binary(min_size=16, max_size=16)
MEMBER = st.builds(m.MemberData, st.integers(0, 255), st.integers(0, 65_535), ADDRESS, st.binary(max_size=20))
NAME = st.builds(m.GroupName, st.binary(max_size=9), st.binary(max_size=9))
ID, BYTE, FLAG = st.integers(0, 2**32 - 1), st.integers(0, 255), st.booleans()


def group_lists(item):
    return st.lists(st.tuples(NAME, st.lists(item, max_size=4).map(tuple)), max_size=3).map(tuple)


ENTRIES = group_lists(st.builds(m.WeightEntry, MEMBER, st.integers(0, 65_535), BYTE, BYTE))
MESSAGES = st.one_of(
    st.builds(m.Register, ID, FLAG, group_lists(MEMBER), FLAG),
    st.builds(m.Deregister, ID, FLAG, BYTE, group_lists(MEMBER), FLAG),
    st.builds(m.GetWeights, ID, st.lists(NAME, max_size=3).map(tuple), FLAG),
    st.builds(m.Weights, ID, BYTE, st.integers(0, 65_535), ENTRIES, FLAG),
    st.builds(m.SendWeights, ID, ENTRIES, FLAG),
    st.builds(m.SetLbState, ID, st.binary(max_size=9), BYTE, FLAG, FLAG, FLAG),
    st.builds(m.SetMemberState, ID, FLAG, group_lists(st.builds(m.StateEntry, MEMBER, BYTE, FLAG)), FLAG),
    st.builds(m.Reply, ID, st.sampled_from(list(codec.REPLY_TYPES.values())), BYTE),
)


@settings(derandomize=True, max_examples=150)
@given(st.lists(MESSAGES, min_size=1, max_size=3), st.integers(1, 40))
def test_round_trip_with_any_chunk_size(messages, size):
    data, decoder = b"".join(map(codec.encode, messages)), codec.MessageDecoder(1 << 16)
    got = [x for at in range(0, len(data), size) for x in decoder.feed(data[at : at + size])]
    assert got == messages and not decoder.has_partial_message()
    kept = [x for x in got if getattr(x, "groups", ()) and not isinstance(x, m.GetWeights)]
    assert all(
        x.inclusive_lengths == y.inclusive_lengths
        for x, y in zip(kept, [x for x in messages if x in kept], strict=False)
    )


@pytest.mark.parametrize("text", GOLDEN, ids=lambda text: re.search(r"\n\s+(\d{4})", text)[1])
def test_truncated_or_corrupt_message_never_raises(text):
    data = bytes_of(text)
    for at in range(13, len(data)):  # the header's length matches, the content is truncated
        cut = data[:5] + at.to_bytes(4, "big") + data[9:at]
        (got,) = codec.MessageDecoder(4096).feed(cut)
        assert isinstance(got, codec.InvalidMessage) and (
            got.id == int.from_bytes(data[9:13], "big") or at < 17
        )
    for at in range(13, len(data)):
        for value in (0, 0x7F, 0xFF):
            list(codec.MessageDecoder(4096).feed(data[:at] + bytes([value]) + data[at + 1 :]))


def test_invalid_stream_ends_decoding_and_buffers_nothing():
    for junk in (
        bytes(1 << 20),
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x20\x10\x00\x0d\x02" + bytes(8),
        bytes.fromhex("2010000d017fffffff00000001"),
        bytes.fromhex("2010000d010000000000000001"),
    ):
        decoder = codec.MessageDecoder(65_536)
        got = [x for at in range(0, len(junk), 16_384) for x in decoder.feed(junk[at : at + 16_384])]
        assert len(got) == 1 and got[0].fatal and not decoder.buffer


def test_oversized_message_raises_encode_error():
    name, members = (
        m.GroupName(b"x", b"y"),
        tuple(m.MemberData.from_address("10.0.0.1", k) for k in range(3_000)),
    )
    assert codec.encode(m.Register(1, True, ((name, members),)))
    with pytest.raises(codec.EncodeError):
        codec.encode(m.Register(1, True, ((name, members),), inclusive_lengths=True))


def test_addresses_match_the_task_list():
    assert m.MemberData.from_address("10.1.0.18", 1).endpoint == ("10.1.0.18", 1)
    assert m.MemberData(6, 1, bytes(12) + bytes([10, 1, 0, 18])).endpoint == ("10.1.0.18", 1)
    assert m.MemberData.from_address("::1", 1).endpoint == ("::1", 1)
    assert all(source in ("memory", "derived") for _, _, source in constants.FIELD_SOURCES)


# The session

TASKS = "abc"
ADDRESSES = {k: ("10.0.0.1", n) for n, k in enumerate(TASKS, 1)}
GROUPS = {
    "status": GroupRoute(0, "repeatable"),
    "charge": GroupRoute(2, "mutating"),
    "scan": GroupRoute(1, "keyed"),
}


class SessionHarness:
    """Sessions with their registry; records messages and events as text.

    Written bytes are acknowledged at once, unless hold_acks is set for the connection."""

    def __init__(
        self,
        retries="none",
        confirmed_by="answers",
        with_weights=True,
        grace_period=30_000,
        started_at=-100_000,
    ):
        self.snapshot_builder, self.now, self.trace, self.timers = SnapshotBuilder(), 1_000_000, [], {}
        followers = {
            b"LB1": Follower("one", ("status", "charge", "scan"), retries, confirmed_by),
            b"LB2": Follower("two", ("status",), "any", confirmed_by),
        }
        lease_specs = [("one", 40.0, "z"), ("two", 5.0, "z")]
        self.registry = SessionRegistry(GROUPS, followers, lease_specs, grace_period, 150_000, started_at)
        self.sessions, self.written, self.hold_acks, self.published_events = {}, {}, {}, []
        self.apply_batch(
            [gp.TaskListReceived("full", tuple(map(task_line, TASKS)))],
            [gp.SetWeight(1, k, 1.0) for k in TASKS] if with_weights else [],
            ADDRESSES,
        )

    def open(self, connection=1, **options):
        self.sessions[connection] = Session(
            self.registry,
            connection,
            10_000,
            50_000,
            options.pop("max_members", 10),
            options.pop("host", "x"),
            self.now,
        )
        self.written[connection], self.hold_acks[connection] = 0, False
        self.dispatch(connection, SnapshotPublished(self.snapshot_builder.snapshot))
        return self

    def apply_batch(self, events=(), orders=(), addresses=None):
        """Applies a batch of the Brain's events and orders, and passes the snapshot to all sessions."""
        snapshot = self.snapshot_builder.update(self.now, events, orders, addresses)
        for connection in list(self.sessions):
            self.dispatch(connection, SnapshotPublished(snapshot))

    def bind(self, *proxies):
        self.apply_batch([], [gp.BindProxy(proxy, 1) for proxy in proxies or (FIRST_FOLLOWER_PROXY_NUMBER,)])

    def advance(self, seconds):
        """Advances the clock and fires due timers."""
        until = self.now + round(seconds * 10_000)
        while due := [
            (at, connection) for connection, at in self.timers.items() if at is not None and at <= until
        ]:
            self.now, connection = min(due)
            self.timers[connection] = None
            self.dispatch(connection, TimerExpired())
        self.now = until

    def note(self, text):
        self.trace.append(f"       -- {text}")

    def receive(self, message, connection=1):
        self.trace.append(f"{self.now / 10_000 - 100:6.2f} {connection} < {describe(message)}")
        self.dispatch(connection, MessageReceived(message))

    def acknowledge(self, connection=1):
        self.dispatch(connection, BytesAcknowledged(self.written[connection]))

    def dispatch(self, connection, event):
        if connection not in self.sessions:
            return
        for action in self.sessions[connection].handle(self.now, event):
            match action:
                case WriteBytes(data):
                    self.written[connection] += len(data)
                    for message in codec.MessageDecoder(1 << 20).feed(data):
                        self.record(connection, "> " + describe(message))
                    if not self.hold_acks[connection]:
                        self.acknowledge(connection)
                case CloseConnection(why):
                    self.record(connection, f"closes: {why}")
                    del self.sessions[connection]
                    self.timers.pop(connection, None)
                case PublishEvent(event):
                    if not isinstance(event, gp.OrdersApplied):
                        self.record(connection, f"brain: {type(event).__name__} {event.proxy}")
                    self.published_events.append(event)
                    self.snapshot_builder.update(self.now, [event], [])
                case LogLine("follower_refused", words):
                    self.record(connection, f"why: {dict(words)['why']}")
                case LogLine():
                    pass
                case NotifySession(other):
                    self.dispatch(other, SnapshotPublished(self.snapshot_builder.snapshot))
                case SetTimer(at):
                    self.timers[connection] = at

    def record(self, connection, text):
        self.trace.append(f"{self.now / 10_000 - 100:6.2f} {connection} {text}")


def describe(message):
    def entries(groups):
        return (
            "; ".join(
                name.name.decode()
                + ": "
                + " ".join(
                    f"{e.member.port}={e.weight}"
                    + "".join(
                        c
                        for c, on in (("q", e.flags & 2), ("n", not e.flags & 1), ("u", not e.flags & 8))
                        if on
                    )
                    for e in items
                )
                for name, items in groups
            )
            or "no group"
        )

    match message:
        case m.Reply():
            return f"{message.message_type.name.lower()} 0x{message.code:02x}"
        case m.Weights():
            return f"weights 0x{message.code:02x}, again in {message.interval} s, {entries(message.groups)}"
        case m.SendWeights():
            return f"send {entries(message.groups)}"
        case m.Register() | m.Deregister():
            groups = "; ".join(
                f"{n.uid.decode()} {n.name.decode()} " + ",".join(str(d.port) for d in members)
                for n, members in message.groups
            )
            return f"{type(message).__name__.lower()} {'' if message.lb else 'itself '}{groups}"
        case m.GetWeights():
            return f"get {' '.join(n.name.decode() for n in message.groups)}"
        case m.SetLbState():
            flags = " ".join(word for word in ("push", "trust", "no_change") if getattr(message, word))
            return f"state of {message.uid.decode()}: {flags or 'none'}"
        case m.SetMemberState():
            return "member state " + "; ".join(
                f"{name.name.decode()} "
                + " ".join(f"{e.member.port} {'quiesced' if e.quiesced else 'open'}" for e in items)
                for name, items in message.groups
            )
    return str(message)


def group_name(group="status", uid="LB1"):
    return m.GroupName(uid.encode(), group.encode())


def member_data(port, label="", host="10.0.0.1"):
    return m.MemberData.from_address(host, port, label)


def register(*ports, group="status", uid="LB1", lb=True, id=1, **options):
    return m.Register(id, lb, ((group_name(group, uid), tuple(member_data(p, **options) for p in ports)),))


def lb_state(push=True, trust=False, no_change=False, uid="LB1"):
    return m.SetLbState(2, uid.encode(), 0x7F, push, trust, no_change)


GET_WEIGHTS = m.GetWeights(3, ())


def registered_balancer(**options):
    """Returns a session whose balancer has registered a, b and c and is bound to table 1."""
    harness = SessionHarness(**options).open()
    harness.receive(lb_state())
    harness.receive(register(1, 2, 3))
    harness.bind()
    return harness


def test_balancer_registers_and_polls():
    harness = SessionHarness().open()
    harness.receive(GET_WEIGHTS)
    harness.receive(register(1, 2, 3))
    harness.note("not bound yet: the reply is empty and asks for a short poll interval")
    harness.receive(GET_WEIGHTS)
    harness.bind()
    harness.receive(GET_WEIGHTS)
    harness.note("weights change; it polls, nothing is pushed")
    harness.apply_batch([], [gp.SetWeight(1, "a", 1.5), gp.SetWeight(1, "b", 0.5)])
    harness.receive(m.GetWeights(3, (group_name(),)))
    harness.receive(m.GetWeights(3, (group_name("charge"),)))
    harness.note("it deregisters one member, then all")
    harness.receive(m.Deregister(4, True, 1, ((group_name(), (member_data(3),)),)))
    harness.receive(GET_WEIGHTS)
    harness.receive(m.Deregister(4, True, 1, ()))
    harness.receive(GET_WEIGHTS)
    assert_trace_matches("sasp_registers", harness.trace)


def test_pushes_are_rate_limited_and_carry_the_newest_weights():
    harness = registered_balancer()
    harness.note("all weights change, and change again within the update interval")
    for n, weights in enumerate(((1.4, 0.6, 1.0), (1.8, 0.2, 1.0), (2.0, 0.5, 0.5))):
        harness.now += 1_000 * n
        harness.apply_batch([], [gp.SetWeight(1, k, w) for k, w in zip(TASKS, weights, strict=True)])
    harness.advance(2)
    harness.note("from now on it requests only changed members")
    harness.receive(lb_state(no_change=True))
    harness.apply_batch([], [gp.SetWeight(1, "c", 0.7)])
    harness.advance(2)
    harness.note("nothing is acknowledged: one update is in flight, no other is sent")
    harness.hold_acks[1] = True
    harness.apply_batch([], [gp.SetWeight(1, "a", 1.0)])
    harness.now += 12_000
    harness.apply_batch([], [gp.SetWeight(1, "a", 0.9), gp.SetWeight(1, "b", 0.8)])
    harness.note("the update is acknowledged: the newest one is sent")
    harness.hold_acks[1] = False
    harness.acknowledge()
    harness.advance(2)
    assert_trace_matches("sasp_push", harness.trace)


def test_drain_is_pushed_at_once_and_must_be_confirmed():
    harness = registered_balancer()
    harness.advance(1.5)
    harness.apply_batch([], [gp.SetWeight(1, "a", 1.5)])
    harness.note("a drains within the update interval; the client sends a message")
    harness.apply_batch([list_changes(task_line("a", "draining"))])
    harness.receive(lb_state())
    harness.advance(5)
    harness.note("b is gone; the update is acknowledged, the client sends no message")
    harness.apply_batch([list_changes(task_line("b", "gone"))])
    harness.advance(5)
    harness.note("it reconnects at once, and is refused")
    harness.open(2)
    harness.receive(register(3, id=5), 2)
    harness.advance(1)
    harness.note("it sends a message after reading a reply: admitted, and a and b are sent as closed")
    harness.receive(register(1, 2, 3, id=6), 2)
    harness.receive(lb_state(), 2)
    assert_trace_matches("sasp_drain", harness.trace)


@pytest.mark.parametrize("fault", ["no_read", "half_a_message"])
def test_unconfirmed_drain_closes_the_connection_within_the_grace_period(fault):
    harness = registered_balancer()
    harness.advance(2)
    if fault == "no_read":
        harness.hold_acks[1] = True
    else:
        harness.dispatch(1, InputProcessed(True))
    harness.note("a drains")
    drained_at = harness.now
    harness.apply_batch([list_changes(task_line("a", "draining"))])
    harness.advance(5)
    assert 1 not in harness.sessions and any(isinstance(e, gp.ProxyLeft) for e in harness.published_events)
    closed_at = next(float(x.split()[0]) for x in harness.trace if "closes" in x)
    assert closed_at < drained_at / 10_000 - 100 + 3.0
    assert_trace_matches(f"sasp_{fault}", harness.trace)


def test_poll_interval_fits_the_grace_period():
    for grace_period, expected in ((30_000, 1), (90_000, 3), (600_000, 5)):
        assert SessionHarness(grace_period=grace_period).open().sessions[1].poll_interval == expected
    harness = SessionHarness(grace_period=90_000).open()
    harness.receive(register(1, 2, 3))
    harness.bind()
    harness.receive(GET_WEIGHTS)
    harness.note("a drains between two polls")
    harness.apply_batch([list_changes(task_line("a", "draining"))])
    harness.advance(3)
    harness.receive(GET_WEIGHTS)
    harness.advance(3)
    harness.note("the next poll confirms the last reply")
    harness.receive(GET_WEIGHTS)
    harness.advance(3)
    harness.note("b drains, and no further poll arrives")
    harness.apply_batch([list_changes(task_line("b", "draining"))])
    harness.advance(20)
    assert_trace_matches("sasp_polls", harness.trace)


def test_drained_task_stays_out_over_a_reconnect():
    harness = registered_balancer()
    harness.advance(2)
    harness.apply_batch([list_changes(task_line("a", "draining"))])
    harness.receive(lb_state())
    harness.note("an outdated order for a, a lost connection, a new connection")
    harness.apply_batch([list_changes(task_line("a", "gone"))], [gp.SetWeight(1, "a", 1.0)])
    harness.dispatch(1, ConnectionLost("reset"))
    harness.sessions.pop(1)
    harness.now += 40_000
    harness.open(2)
    harness.receive(lb_state(), 2)
    harness.receive(register(1, 2, 3), 2)
    harness.note("without a table only a is sent; then it is bound")
    harness.bind()
    harness.advance(2)
    assert_trace_matches("sasp_drained_task_stays_out", harness.trace)


def test_restarted_manager_sends_nothing_before_its_first_table():
    harness = SessionHarness(with_weights=False, started_at=995_000).open()
    harness.receive(lb_state())
    harness.receive(register(1, 2, 3))
    assert harness.published_events == [gp.ProxyJoined(FIRST_FOLLOWER_PROXY_NUMBER, 40.0, False, "z", True)]
    harness.receive(GET_WEIGHTS)
    harness.note("bound before the table has any weight")
    harness.bind()
    harness.receive(GET_WEIGHTS)
    harness.note("the first table with weights")
    harness.apply_batch([], [gp.SetWeight(1, "a", 1.0), gp.SetWeight(1, "b", 1.0)])
    harness.advance(1)
    assert_trace_matches("sasp_restart", harness.trace)


REFUSED = {
    "no_groups": m.Register(1, True, ()),
    "no_uid": register(1, uid=""),
    "no_name": register(1, group=""),
    "unknown_balancer": register(1, uid="LB9"),
    "unknown_group": register(1, group="lost"),
    "group_of_another_balancer": register(1, group="charge", uid="LB2"),
    "address_without_task": register(9),
    "unknown_host": register(1, host="10.0.0.2"),
    "label_of_another_task": register(1, label="b"),
    "duplicate_member": register(1, 1),
    "groups_of_two_balancers": m.Register(
        1, True, ((group_name(), (member_data(1),)), (group_name("status", "LB2"), (member_data(1),)))
    ),
    "too_many_members": m.Register(
        1,
        True,
        tuple((group_name(g), tuple(member_data(p) for p in (1, 2, 3))) for g in ("status", "charge")),
    ),
    "self_registration_before_its_balancer": register(1, lb=False),
    "self_deregistration_before_its_balancer": m.Deregister(
        1, False, 0, ((group_name(), (member_data(1),)),)
    ),
    "poll_before_registration": GET_WEIGHTS,
    "deregistration_before_registration": m.Deregister(1, True, 0, ((group_name(), ()),)),
    "lb_state_of_unknown_uid": lb_state(uid="LB9"),
    "lb_state_without_uid": lb_state(uid=""),
    "member_state_before_registration": m.SetMemberState(
        1, True, ((group_name(), (m.StateEntry(member_data(1), 0, True),)),)
    ),
    "manager_message": m.SendWeights(1, ()),
}


def test_refused_requests():
    trace = []
    for key, message in REFUSED.items():
        harness = SessionHarness().open(max_members=5)
        if key == "manager_message":
            harness.sessions[1].handle_message(
                harness.now, codec.InvalidMessage("a reply", 1, MessageType.WEIGHTS), []
            )
            harness.receive(codec.InvalidMessage("a reply", 1, MessageType.GET_WEIGHTS))
        else:
            harness.receive(message)
        trace += [f"{key}:", *(x[9:] for x in harness.trace)]
        assert not harness.published_events and not harness.sessions[1].groups
    harness = registered_balancer()
    del harness.trace[:]
    for message in (
        register(1),
        m.Deregister(1, True, 0, ((group_name(), (member_data(9),)),)),
        m.Deregister(1, True, 0, ((group_name(), (member_data(1), member_data(1))),)),
        m.Deregister(1, True, 0, ((group_name(), ()), (group_name(), ()))),
        m.Deregister(1, True, 0, ((group_name("status", "LB2"), ()),)),
        m.GetWeights(1, (group_name("scan"),)),
        register(1, uid="LB2"),
        m.SetMemberState(1, True, ((group_name(), (m.StateEntry(member_data(9), 0, True),)),)),
    ):
        harness.receive(message)
    trace += ["after registration:", *(x[9:] for x in harness.trace)]
    assert len(harness.sessions[1].groups[b"status"].members) == 3
    assert_trace_matches("sasp_refused", trace)


def test_mutating_route_is_granted_only_without_retries():
    trace = []
    for retries in ("any", "on proof", "none"):
        for tries in ("on proof", "none"):
            harness = SessionHarness(retries)
            harness.apply_batch([], [gp.SetAdmission(1, (0, 1, 2), 1.0, tries)])
            harness.open().receive(register(1, group="charge"))
            trace += [f"follower retries: {retries}; Brain allows: {tries}", *(x[9:] for x in harness.trace)]
    assert_trace_matches("sasp_mutating_route", trace)


def test_route_that_is_not_admitted_is_quiesced():
    harness = registered_balancer()
    harness.receive(register(1, 2, group="charge"))
    harness.advance(2)
    harness.apply_batch([], [gp.SetAdmission(1, (2,), 0.0, "none")])
    harness.advance(2)
    harness.apply_batch([], [gp.SetAdmission(1, (2,), 0.5, "none")])
    harness.advance(2)
    assert_trace_matches("sasp_route_not_admitted", harness.trace)


def test_members_register_and_quiesce_themselves():
    harness = SessionHarness().open().open(2, host="10.0.0.1").open(3, host="10.0.0.9")
    self_registration = register(3, lb=False)
    harness.receive(self_registration, 2)
    harness.receive(lb_state(trust=False))
    harness.receive(register(1, 2))
    harness.bind()
    harness.receive(self_registration, 2)
    harness.receive(lb_state(trust=True))
    harness.receive(self_registration, 2)
    harness.note("a request from another address")
    harness.receive(register(3, lb=False), 3)
    harness.advance(1)
    quiesce = m.SetMemberState(4, False, ((group_name(), (m.StateEntry(member_data(3), 7, True),)),))
    harness.note("it quiesces itself, ends that, and deregisters")
    harness.receive(quiesce, 2)
    harness.advance(1)
    harness.receive(
        m.SetMemberState(4, False, ((group_name(), (m.StateEntry(member_data(3), 7, False),)),)), 2
    )
    harness.advance(1)
    harness.receive(m.Deregister(4, False, 1, ((group_name(), (member_data(3),)),)), 2)
    harness.advance(1)
    harness.receive(self_registration, 2)
    harness.advance(1)
    assert_trace_matches("sasp_self_registration", harness.trace)


def test_two_balancers_of_which_one_disconnects():
    harness = registered_balancer()
    harness.open(2)
    harness.receive(lb_state(uid="LB2"), 2)
    harness.receive(register(1, 2, uid="LB2"), 2)
    harness.bind(FIRST_FOLLOWER_PROXY_NUMBER, FIRST_FOLLOWER_PROXY_NUMBER + 1)
    harness.advance(2)
    harness.apply_batch([list_changes(task_line("a", "draining"))])
    harness.receive(lb_state(), 1)
    harness.receive(lb_state(uid="LB2"), 2)
    harness.note("the first disconnects; another connection registers under its UID")
    harness.dispatch(1, ConnectionLost("reset"))
    harness.sessions.pop(1)
    harness.open(3)
    harness.receive(register(2, 3), 3)
    assert_trace_matches("sasp_two_balancers", harness.trace)


def test_lease_takeover_after_the_first_connection_is_silent():
    harness = registered_balancer()
    harness.open(2)
    harness.receive(register(1, 2, 3), 2)
    harness.now += 35_000
    harness.receive(register(1, 2, 3), 2)
    assert_trace_matches("sasp_takeover", harness.trace)


def test_unregistered_flooding_and_invalid_clients_are_closed():
    harness = SessionHarness().open().open(2).open(3).open(4)
    harness.dispatch(2, InputProcessed(True))
    harness.receive(codec.InvalidMessage("no header: 0x4745, length 21536", None, fatal=True), 3)
    for _ in range(201):
        harness.dispatch(4, MessageReceived(GET_WEIGHTS))
    harness.trace = [x for x in harness.trace if "unknown" not in x and "weights" not in x and "why" not in x]
    harness.advance(3)
    assert_trace_matches("sasp_invalid_clients", harness.trace)


def test_time_in_the_input_queue_does_not_count_as_client_silence():
    harness = SessionHarness().open().open(2)
    for n in (1, 2):
        harness.dispatch(n, InputProcessed(True))
    harness.now += 25_000
    harness.dispatch(1, InputDelayed(25_000))
    harness.dispatch(1, InputProcessed(True))
    assert 1 in harness.sessions
    harness.dispatch(2, InputProcessed(True))
    assert 2 not in harness.sessions
    harness.advance(2.1)
    assert 1 not in harness.sessions


def test_repeated_poll_reuses_its_encoded_reply(monkeypatch):
    harness = registered_balancer()
    harness.receive(GET_WEIGHTS)

    def fail(*_):
        raise AssertionError("the weights were encoded again")

    monkeypatch.setattr(Session, "wanted_weights", fail)
    monkeypatch.setattr(codec, "encode_group_component", fail)
    before = len(harness.trace)
    for _ in range(20):
        harness.receive(GET_WEIGHTS)
    assert len({x.split(">")[1] for x in harness.trace[before:] if ">" in x}) == 1


def test_reply_uses_the_length_form_of_the_peer():
    harness = SessionHarness().open()
    data = codec.encode(m.Register(1, True, register(1).groups, inclusive_lengths=True))
    (message,) = codec.MessageDecoder(4096).feed(data)
    harness.dispatch(1, MessageReceived(message))
    harness.bind()
    written = [
        a.data
        for a in harness.sessions[1].handle(harness.now, MessageReceived(GET_WEIGHTS))
        if isinstance(a, WriteBytes)
    ]
    (reply,) = codec.MessageDecoder(4096).feed(written[0])
    assert reply.inclusive_lengths and reply.groups
