"""draft-eck-dfp: the codec against hand-written bytes, and the agent's session by short traces."""

import pytest
from helper import assert_trace_matches, list_changes, task_line
from hypothesis import given, settings
from hypothesis import strategies as st
from test_sasp import bytes_of

from garnetpaddle import interface as gp
from garnetpaddle.advice.leases import FIRST_FOLLOWER_PROXY_NUMBER
from garnetpaddle.advice.session_events import (
    BytesAcknowledged,
    CloseConnection,
    ConnectionLost,
    LogLine,
    MessageReceived,
    PublishEvent,
    SetTimer,
    SnapshotPublished,
    TimerExpired,
    WriteBytes,
)
from garnetpaddle.advice.session_registry import Follower, GroupRoute, SessionRegistry
from garnetpaddle.dfp import codec
from garnetpaddle.dfp.codec import (
    BindIdReport,
    BindIdRequest,
    Host,
    InvalidMessage,
    Key,
    Load,
    Parameters,
    Preference,
)
from garnetpaddle.dfp.session import Session
from garnetpaddle.snapshots import SnapshotBuilder

GOLDEN = {
    "preference": (
        """01 00 0101 00000024              # version 1, preference, 36 bytes
        0002 001c 1388 06 00 0002 0000           # load TLV of 28 bytes, port 5000, TCP, 2 hosts
          0a010012 0000 2710                     # 10.1.0.18, BindID 0, weight 10,000
          0a010013 0000 0000                     # 10.1.0.19, weight 0
        """,
        Preference((Load(5000, (Host(b"\n\1\0\x12", 10_000), Host(b"\n\1\0\x13", 0))),)),
    ),
    "parameters": (
        """01 00 0301 00000010              # parameters, 16 bytes
        0101 0008 0000000a                       # keep-alive TLV: 10 s
        """,
        Parameters(10),
    ),
    "server state": (
        """01 00 0201 0000001c
        0002 0014 0050 06 00 0001 0000 0a010012 0007 0000    # port 80, one host with BindID 7 and weight 0
        """,
        codec.ServerState((Load(80, (Host(bytes([10, 1, 0, 18]), 0, 7),)),)),
    ),
    "bind ids asked": ("01 00 0401 00000008", BindIdRequest()),
    "bind ids": (
        """01 00 0402 0000001e
        0301 0016 0000 06 00 0001 0000           # BindID table TLV of 22 bytes, one entry
          0007 0a020000 ffff0000                 # BindID 7: 10.2.0.0/16
        """,
        BindIdReport(((7, bytes([10, 2, 0, 0]), bytes([255, 255, 0, 0])),)),
    ),
}


@pytest.mark.parametrize("name", GOLDEN)
def test_encoding_matches_hand_written_bytes(name):
    text, message = GOLDEN[name]
    data = bytes_of(text)
    assert codec.encode(message).hex() == data.hex()
    assert list(codec.MessageDecoder(4096).feed(data)) == [message]


def test_signature_covers_the_whole_message():
    import hashlib

    header = bytes_of("01 00 0301 0000002c  0001 001c 00000001 00000009")  # security TLV: MD5, key 9
    body = bytes_of("0101 0008 00000005")
    expected = hashlib.md5(header + bytes(16) + body + b"key").digest()
    data = header + expected + body
    assert codec.encode(Parameters(5), Key(9, b"key")) == data
    assert codec.decode(data, Key(9, b"key")) == Parameters(5) == codec.decode(data)
    for at in range(len(data)):  # any corrupted byte must be detected
        corrupted = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        (got,) = list(codec.MessageDecoder(4096, Key(9, b"key")).feed(corrupted)) or [None]
        # The reserved byte, at 1, is signed too.
        assert got is None or isinstance(got, InvalidMessage) or at == 1
    assert codec.decode(data, Key(9, b"other")).fatal and codec.decode(data, Key(8, b"key")).fatal
    assert codec.decode(codec.encode(Parameters(5)), Key(9, b"key")).fatal


HOSTS = st.lists(
    st.builds(Host, st.binary(min_size=4, max_size=4), st.integers(0, 65_535), st.integers(0, 65_535)),
    max_size=4,
).map(tuple)
LOADS = st.lists(st.builds(Load, st.integers(0, 65_535), HOSTS, st.integers(0, 255)), max_size=3).map(tuple)
MESSAGES = st.one_of(
    st.builds(Preference, LOADS),
    st.builds(codec.ServerState, LOADS),
    st.builds(Parameters, st.none() | st.integers(0, 2**32 - 1)),
    st.just(BindIdRequest()),
)


@settings(derandomize=True, max_examples=150)
@given(st.lists(MESSAGES, min_size=1, max_size=3), st.integers(1, 40), st.none() | st.just(Key(3, b"k")))
def test_round_trip_with_any_chunk_size(messages, size, key):
    data, decoder = b"".join(codec.encode(x, key) for x in messages), codec.MessageDecoder(1 << 16, key)
    assert [x for at in range(0, len(data), size) for x in decoder.feed(data[at : at + size])] == messages


@pytest.mark.parametrize("name", ["preference", "server state", "parameters", "bind ids"])
def test_truncated_or_corrupt_message_never_raises(name):
    data = bytes_of(GOLDEN[name][0])
    for at in range(9, len(data)):
        (got,) = codec.MessageDecoder(4096).feed(data[:4] + at.to_bytes(4, "big") + data[8:at])
        assert isinstance(got, InvalidMessage) and not got.fatal
    for at in range(8, len(data)):
        for value in (0, 0x7F, 0xFF):
            list(codec.MessageDecoder(4096).feed(data[:at] + bytes([value]) + data[at + 1 :]))
    for junk in (bytes(1 << 16), b"GET / HTTP/1.1\r\n", b"\x01\x00\x01\x01\x7f\xff\xff\xff"):
        decoder = codec.MessageDecoder(4096)
        (got,) = decoder.feed(junk)
        assert got.fatal and not decoder.buffer


def test_unknown_tlvs_are_skipped():
    data = bytes_of("01 00 0301 00000016  7fff 0006 0000  0101 0008 00000007")
    assert list(codec.MessageDecoder(4096).feed(data)) == [Parameters(7)]


def test_load_with_many_hosts_is_split_into_several_tlvs():
    hosts = tuple(Host(k.to_bytes(4, "big"), k % 65_536) for k in range(20_000))
    (got,) = codec.MessageDecoder(1 << 20).feed(codec.encode(Preference((Load(80, hosts),))))
    assert [len(load.hosts) for load in got.loads] == [8_000, 8_000, 4_000]


class SessionHarness:
    """One session of the agent; records messages and events as text.

    Written bytes are acknowledged at once, unless hold_acks is set."""

    def __init__(self, retries="none", effect="repeatable", addresses=None, **options):
        self.snapshot_builder, self.now, self.trace, self.timer_at = SnapshotBuilder(), 1_000_000, [], None
        follower = Follower("one", ("status",), retries, "acknowledged")
        self.registry = SessionRegistry(
            {"status": GroupRoute(0, effect)},
            {b"one": follower},
            [("one", 5.0, "z")],
            30_000,
            150_000,
            -100_000,
        )
        addresses = addresses or {"a": ("10.0.0.1", 80), "b": ("10.0.0.2", 80), "c": ("10.0.0.1", 81)}
        self.snapshot_builder.update(
            self.now,
            [gp.TaskListReceived("full", tuple(map(task_line, addresses)))],
            [gp.SetWeight(1, k, 1.0) for k in addresses],
            addresses,
        )
        self.key, self.closed, self.hold_acks, self.written = options.pop("key", None), False, False, 0
        self.session = self.open_session(follower)

    def open_session(self, follower=None):
        follower = follower or self.session.configured_follower
        self.session = Session(self.registry, 1, 10_000, follower, "status", 60_000, self.key, self.now)
        self.closed, self.written = False, 0
        self.dispatch(SnapshotPublished(self.snapshot_builder.snapshot))
        return self.session

    def apply_batch(self, events=(), orders=(), addresses=None):
        self.dispatch(SnapshotPublished(self.snapshot_builder.update(self.now, events, orders, addresses)))

    def advance(self, seconds):
        until = self.now + round(seconds * 10_000)
        while self.timer_at is not None and self.timer_at <= until and not self.closed:
            self.now, self.timer_at = self.timer_at, None
            self.dispatch(TimerExpired())
        self.now = until

    def note(self, text):
        self.trace.append(f"       -- {text}")

    def dispatch(self, event):
        actions = [] if self.closed else self.session.handle(self.now, event)
        for action in actions:
            match action:
                case WriteBytes(data):
                    self.written += len(data)
                    for message in codec.MessageDecoder(1 << 20, self.key).feed(data):
                        self.record("> " + describe(message))
                    if not self.hold_acks:
                        self.dispatch(BytesAcknowledged(self.written))
                case CloseConnection(why):
                    self.closed = True
                    self.record(f"closes: {why}")
                case PublishEvent(event):
                    if not isinstance(event, gp.OrdersApplied):
                        self.record(f"brain: {type(event).__name__} {event.proxy}")
                    orders = (
                        [gp.BindProxy(FIRST_FOLLOWER_PROXY_NUMBER, 1)]
                        if isinstance(event, gp.ProxyJoined)
                        else []
                    )
                    self.snapshot_builder.update(self.now, [event], orders)
                case LogLine("manager_state" | "message_unreadable" as name, fields):
                    self.record(f"log: {name} {dict(fields)}")
                case SetTimer(at):
                    self.timer_at = at

    def record(self, text):
        self.trace.append(f"{self.now / 10_000 - 100:6.2f} {text}")


def describe(message):
    if isinstance(message, Preference):
        loads = [
            f"port {load.port}: "
            + " ".join(f"{'.'.join(map(str, h.address))}={h.weight}" for h in load.hosts)
            for load in message.loads
        ]
        return "preference " + ("; ".join(loads) or "without hosts")
    return str(message)


def test_manager_is_sent_updates_and_keep_alives():
    harness = SessionHarness()
    harness.note("a snapshot with its binding is published")
    harness.apply_batch()
    harness.note("weights change twice within the update interval")
    harness.apply_batch([], [gp.SetWeight(1, "a", 1.5)])
    harness.now += 1_000
    harness.apply_batch([], [gp.SetWeight(1, "a", 1.8), gp.SetWeight(1, "b", 0.2)])
    harness.advance(2)
    harness.note("b drains: sent at once")
    harness.apply_batch([], [gp.SetWeight(1, "c", 0.7)])
    harness.apply_batch([list_changes(task_line("b", "draining"))])
    harness.note("nothing changes: keep-alives are sent, more often once it requests that")
    harness.advance(4)
    harness.dispatch(MessageReceived(Parameters(2)))
    harness.advance(3)
    harness.dispatch(MessageReceived(Parameters(0)))
    harness.advance(60)
    harness.dispatch(MessageReceived(codec.ServerState((Load(80, (Host(bytes([10, 0, 0, 1]), 0),)),))))
    harness.dispatch(MessageReceived(BindIdRequest()))
    harness.dispatch(MessageReceived(InvalidMessage("an unknown message")))
    assert_trace_matches("dfp_updates", harness.trace)


def test_manager_that_does_not_read_is_closed_within_the_grace_period():
    harness = SessionHarness()
    harness.apply_batch()
    harness.advance(2)
    harness.hold_acks = True
    harness.note("nothing is acknowledged; b drains")
    harness.apply_batch([list_changes(task_line("b", "draining"))])
    harness.advance(3)
    harness.note("it reconnects: it must acknowledge a message, and its block time must pass")
    harness.session.handle(harness.now, ConnectionLost("reset"))
    harness.open_session()
    harness.advance(2)
    harness.hold_acks = False
    harness.dispatch(BytesAcknowledged(harness.written))
    harness.apply_batch()
    harness.advance(2)
    assert_trace_matches("dfp_no_read", harness.trace)


def test_only_ipv4_tasks_are_members_and_a_gone_task_is_sent_weight_0_once():
    harness = SessionHarness(
        addresses={"a": ("10.0.0.1", 80), "six": ("2001:db8::1", 80), "name": ("node.example", 80)}
    )
    harness.apply_batch()
    harness.advance(2)
    harness.apply_batch([list_changes(task_line("a", "gone"))], [gp.SetWeight(1, "a", 0.0)])
    harness.advance(1)
    harness.note("ten minutes later the gone task is forgotten")
    harness.dispatch(MessageReceived(Parameters(0)))
    harness.now += 6_000_000
    harness.apply_batch()
    harness.apply_batch([list_changes(task_line("n"))], [gp.SetWeight(1, "n", 1.0)], {"n": ("10.0.0.1", 80)})
    harness.advance(1)
    assert_trace_matches("dfp_members", harness.trace)


@pytest.mark.parametrize("effect, retries", [("mutating", "any"), ("keyed", "any"), ("mutating", "none")])
def test_mutating_route_is_granted_only_without_retries(effect, retries):
    harness = SessionHarness(retries, effect)
    assert harness.closed == (retries == "any") and any("ProxyJoined" in x for x in harness.trace) == (
        retries == "none"
    )


def test_wrong_signature_closes_the_connection():
    harness = SessionHarness(key=Key(1, b"secret"))
    (message,) = codec.MessageDecoder(4096, harness.key).feed(codec.encode(Parameters(5), Key(1, b"wrong")))
    harness.dispatch(MessageReceived(message))
    assert harness.closed and any("ProxyLeft" in x for x in harness.trace)
