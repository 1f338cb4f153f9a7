"""draft-eck-dfp: the wire by bytes written by hand, and the agent's side by short traces."""

import pytest
from helper import changes, line, matches
from hypothesis import given, settings
from hypothesis import strategies as st
from test_sasp import bytes_of

from garnetpaddle import interface as gp
from garnetpaddle.advice.leases import FIRST_FOLLOWER_NUMBER
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
from garnetpaddle.book import SnapshotBuilder
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
        0002 0014 0050 06 00 0001 0000 0a010012 0007 0000    # port 80, one host with BindID 7 held out
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
def test_bytes_written_by_hand(name):
    text, message = GOLDEN[name]
    data = bytes_of(text)
    assert codec.encode(message).hex() == data.hex()
    assert list(codec.MessageDecoder(4096).feed(data)) == [message]


def test_a_signed_message_is_signed_over_all_of_it():
    import hashlib

    head = bytes_of("01 00 0301 0000002c  0001 001c 00000001 00000009")  # security TLV: MD5, key 9
    rest = bytes_of("0101 0008 00000005")
    told = hashlib.md5(head + bytes(16) + rest + b"key").digest()
    data = head + told + rest
    assert codec.encode(Parameters(5), Key(9, b"key")) == data
    assert codec.decode(data, Key(9, b"key")) == Parameters(5) == codec.decode(data)
    for at in range(len(data)):  # whatever is changed, it is not believed
        spoilt = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        (got,) = list(codec.MessageDecoder(4096, Key(9, b"key")).feed(spoilt)) or [None]
        assert got is None or isinstance(got, InvalidMessage) or at == 1  # the reserved byte is signed too
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
def test_round_trips_however_the_bytes_are_cut(messages, size, key):
    data, frames = b"".join(codec.encode(x, key) for x in messages), codec.MessageDecoder(1 << 16, key)
    assert [x for at in range(0, len(data), size) for x in frames.feed(data[at : at + size])] == messages


@pytest.mark.parametrize("name", ["preference", "server state", "parameters", "bind ids"])
def test_a_message_cut_anywhere_or_with_a_lying_length_is_a_value(name):
    data = bytes_of(GOLDEN[name][0])
    for at in range(9, len(data)):
        (got,) = codec.MessageDecoder(4096).feed(data[:4] + at.to_bytes(4, "big") + data[8:at])
        assert isinstance(got, InvalidMessage) and not got.fatal
    for at in range(8, len(data)):
        for value in (0, 0x7F, 0xFF):
            list(codec.MessageDecoder(4096).feed(data[:at] + bytes([value]) + data[at + 1 :]))
    for junk in (bytes(1 << 16), b"GET / HTTP/1.1\r\n", b"\x01\x00\x01\x01\x7f\xff\xff\xff"):
        frames = codec.MessageDecoder(4096)
        (got,) = frames.feed(junk)
        assert got.fatal and not frames.buffer


def test_unknown_tlvs_are_passed_over():
    data = bytes_of("01 00 0301 00000016  7fff 0006 0000  0101 0008 00000007")
    assert list(codec.MessageDecoder(4096).feed(data)) == [Parameters(7)]


def test_a_load_of_many_hosts_takes_several_tlvs():
    hosts = tuple(Host(k.to_bytes(4, "big"), k % 65_536) for k in range(20_000))
    (got,) = codec.MessageDecoder(1 << 20).feed(codec.encode(Preference((Load(80, hosts),))))
    assert [len(load.hosts) for load in got.loads] == [8_000, 8_000, 4_000]


class Talk:
    """The agent's session, in words."""

    def __init__(self, retries="none", effect="repeatable", places=None, **how):
        self.snapshot_builder, self.now, self.trace, self.wake_at = SnapshotBuilder(), 1_000_000, [], None
        client = Follower("one", ("status",), retries, "acknowledged")
        self.registry = SessionRegistry(
            {"status": GroupRoute(0, effect)},
            {b"one": client},
            [("one", 5.0, "z")],
            30_000,
            150_000,
            -100_000,
        )
        places = places or {"a": ("10.0.0.1", 80), "b": ("10.0.0.2", 80), "c": ("10.0.0.1", 81)}
        self.snapshot_builder.update(
            self.now,
            [gp.ListHeard("full", tuple(map(line, places)))],
            [gp.SetLine(1, k, 1.0) for k in places],
            places,
        )
        self.key, self.ended, self.held, self.sent = how.pop("key", None), False, False, 0
        self.session = self.begin(client)

    def begin(self, client=None):
        client = client or self.session.configured_follower
        self.session = Session(self.registry, 1, 10_000, client, "status", 60_000, self.key, self.now)
        self.ended, self.sent = False, 0
        self.hand(SnapshotPublished(self.snapshot_builder.snapshot))
        return self.session

    def turn(self, events=(), orders=(), places=None):
        self.hand(SnapshotPublished(self.snapshot_builder.update(self.now, events, orders, places)))

    def pass_(self, seconds):
        until = self.now + round(seconds * 10_000)
        while self.wake_at is not None and self.wake_at <= until and not self.ended:
            self.now, self.wake_at = self.wake_at, None
            self.hand(TimerExpired())
        self.now = until

    def say(self, text):
        self.trace.append(f"       -- {text}")

    def hand(self, event):
        actions = [] if self.ended else self.session.handle(self.now, event)
        for action in actions:
            match action:
                case WriteBytes(data):
                    self.sent += len(data)
                    for message in codec.MessageDecoder(1 << 20, self.key).feed(data):
                        self.show("> " + shown(message))
                    if not self.held:
                        self.hand(BytesAcknowledged(self.sent))
                case CloseConnection(why):
                    self.ended = True
                    self.show(f"closes: {why}")
                case PublishEvent(event):
                    if not isinstance(event, gp.Applied):
                        self.show(f"brain: {type(event).__name__} {event.proxy}")
                    orders = [gp.Bind(FIRST_FOLLOWER_NUMBER, 1)] if isinstance(event, gp.ProxyJoined) else []
                    self.snapshot_builder.update(self.now, [event], orders)
                case LogLine("manager_state" | "message_unreadable" as name, words):
                    self.show(f"log: {name} {dict(words)}")
                case SetTimer(at):
                    self.wake_at = at

    def show(self, text):
        self.trace.append(f"{self.now / 10_000 - 100:6.2f} {text}")


def shown(x):
    if isinstance(x, Preference):
        loads = [
            f"port {load.port}: "
            + " ".join(f"{'.'.join(map(str, h.address))}={h.weight}" for h in load.hosts)
            for load in x.loads
        ]
        return "preference " + ("; ".join(loads) or "of nobody")
    return str(x)


def test_a_manager_is_told_what_stands():
    t = Talk()
    t.say("its table reaches the book")
    t.turn()
    t.say("shares jump twice within a pace")
    t.turn([], [gp.SetLine(1, "a", 1.5)])
    t.now += 1_000
    t.turn([], [gp.SetLine(1, "a", 1.8), gp.SetLine(1, "b", 0.2)])
    t.pass_(2)
    t.say("b drains: at once")
    t.turn([], [gp.SetLine(1, "c", 0.7)])
    t.turn([changes(line("b", "draining"))])
    t.say("nothing happens: it is told that we are alive, oftener once it asks for that")
    t.pass_(4)
    t.hand(MessageReceived(Parameters(2)))
    t.pass_(3)
    t.hand(MessageReceived(Parameters(0)))
    t.pass_(60)
    t.hand(MessageReceived(codec.ServerState((Load(80, (Host(bytes([10, 0, 0, 1]), 0),)),))))
    t.hand(MessageReceived(BindIdRequest()))
    t.hand(MessageReceived(InvalidMessage("an unknown message")))
    matches("dfp_told", t.trace)


def test_a_manager_that_reads_nothing_goes_before_the_grace_ends():
    t = Talk()
    t.turn()
    t.pass_(2)
    t.held = True
    t.say("its machine takes nothing; b drains")
    t.turn([changes(line("b", "draining"))])
    t.pass_(3)
    t.say("it comes again: it must show that it reads, and its hold must pass")
    t.session.handle(t.now, ConnectionLost("reset"))
    t.begin()
    t.pass_(2)
    t.held = False
    t.hand(BytesAcknowledged(t.sent))
    t.turn()
    t.pass_(2)
    matches("dfp_stalled", t.trace)


def test_what_the_wire_cannot_name_is_left_out_and_what_left_is_told_0_once():
    t = Talk(places={"a": ("10.0.0.1", 80), "six": ("2001:db8::1", 80), "name": ("node.example", 80)})
    t.turn()
    t.pass_(2)
    t.turn([changes(line("a", "gone"))], [gp.SetLine(1, "a", 0.0)])
    t.pass_(1)
    t.say("ten minutes later it is forgotten")
    t.hand(MessageReceived(Parameters(0)))
    t.now += 6_000_000
    t.turn()
    t.turn([changes(line("n"))], [gp.SetLine(1, "n", 1.0)], {"n": ("10.0.0.1", 80)})
    t.pass_(1)
    matches("dfp_left_out", t.trace)


@pytest.mark.parametrize("effect, retries", [("mutating", "any"), ("keyed", "any"), ("mutating", "none")])
def test_a_mutating_route_is_fail_closed_here_too(effect, retries):
    t = Talk(retries, effect)
    assert t.ended == (retries == "any") and any("ProxyJoined" in x for x in t.trace) == (retries == "none")


def test_wrong_security_ends_the_connection():
    t = Talk(key=Key(1, b"secret"))
    (message,) = codec.MessageDecoder(4096, t.key).feed(codec.encode(Parameters(5), Key(1, b"wrong")))
    t.hand(MessageReceived(message))
    assert t.ended and any("ProxyLeft" in x for x in t.trace)
