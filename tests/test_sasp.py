"""RFC 4678: the wire by bytes written by hand, and the manager's side by short traces."""

import re

import pytest
from helper import changes, line, matches
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetpaddle import interface as gp
from garnetpaddle.advice.leases import FIRST_FOLLOWER_NUMBER
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
from garnetpaddle.book import SnapshotBuilder
from garnetpaddle.sasp import codec, constants
from garnetpaddle.sasp import messages as m
from garnetpaddle.sasp.constants import MessageType, ResponseCode
from garnetpaddle.sasp.session import Session

GOLDEN = {
    # A registration by a balancer: one group, one member.
    """2010 000d 01 0000003f 00000007   # header, length 13, version 1, message of 63 bytes, id 7
       1010 0007 01 0001                # registration, length 7, flags: the balancer's; one group
       4010 0006 0001                   # group of member data, length 6, one member
       3011 000b 03 4c4231 02 6973      # group data, length 11: LB UID "LB1", name "is"
       3010 001a 06 1388                # member data, length 26, TCP, port 5000
         00000000000000000000ffff0a010012  # 10.1.0.18, mapped
         02 6e31                        # label "n1"
    """: m.Register(7, True, ((m.GroupName(b"LB1", b"is"), (m.MemberData.of("10.1.0.18", 5000, "n1"),)),)),
    """2010 000d 01 00000012 00000007   # header of a message of 18 bytes, id 7
       1015 0005 45                     # registration reply, length 5, code 0x45
    """: m.Reply(7, MessageType.REGISTER_REPLY, ResponseCode.LB_UNKNOWN_YET),
    # A deregistration of a whole group.
    """2010 000d 01 00000026 00000008
       1020 0008 01 01 0001             # deregistration, length 8, the balancer's, learned and purposeful
       4010 0006 0000                   # no member: all of them
       3011 000b 03 4c4231 02 6973
    """: m.Deregister(8, True, 1, ((m.GroupName(b"LB1", b"is"), ()),)),
    """2010 000d 01 0000001e 00000009
       1030 0006 0001                   # get weights, length 6, one group
       3011 000b 03 4c4231 02 6973
    """: m.GetWeights(9, (m.GroupName(b"LB1", b"is"),)),
    # Its reply: success, 5 s, one group with one weight of 10,000.
    """2010 000d 01 00000047 00000009
       1035 0009 00 0005 0001           # reply, length 9, code 0, interval 5, one group
       4011 0006 0001                   # group of weight data, length 6, one entry
       3011 000b 03 4c4231 02 6973
       3012 0008                        # weight entry, length 8, without the member in it
         3010 0018 06 01bb 20010db8000000000000000000000001 00  # [2001:db8::1]:443, no label
         00 0d 2710                     # state 0, flags contact, registration, confident; weight 10,000
    """: m.Weights(
        9,
        ResponseCode.SUCCESS,
        5,
        ((m.GroupName(b"LB1", b"is"), (m.WeightEntry(m.MemberData.of("2001:db8::1", 443), 10_000, 0x0D),)),),
    ),
    # The same unasked, a quiesced member, in the form whose lengths count what is nested.
    """2010 000d 01 00000044 00000002
       1040 0037 0001                   # send weights, length 55: all that follows
       4011 0031 0001
       3011 000b 03 4c4231 02 6973
       3012 0020
         3010 0018 06 01bb 20010db8000000000000000000000001 00
         02 07 0000                     # state 2, flags contact, quiesce, registration; weight 0
    """: m.SendWeights(
        2,
        ((m.GroupName(b"LB1", b"is"), (m.WeightEntry(m.MemberData.of("2001:db8::1", 443), 0, 0x07, 2),)),),
        inclusive_lengths=True,
    ),
    """2010 000d 01 00000017 00000003
       1050 000a 03 4c4231 7f 05        # LB state, length 10, UID "LB1", health 127, flags push and no change
    """: m.SetLbState(3, b"LB1", 0x7F, True, False, True),
    """2010 000d 01 00000045 00000004
       1060 0007 01 0001                # member state, length 7, the balancer's, one group
       4012 0006 0001                   # group of member state data
       3011 000b 03 4c4231 02 6973
       3013 0006                        # member state entry, length 6
         3010 001a 06 1388 00000000000000000000ffff0a010012 02 6e31
         09 01                          # state 9, quiesced
    """: m.SetMemberState(
        4,
        True,
        ((m.GroupName(b"LB1", b"is"), (m.StateEntry(m.MemberData.of("10.1.0.18", 5000, "n1"), 9, True),)),),
    ),
}


def bytes_of(text):
    return bytes.fromhex(re.sub(r"#.*", "", text))


@pytest.mark.parametrize("text", GOLDEN, ids=lambda text: re.search(r"\n\s+(\d{4})", text)[1])
def test_bytes_written_by_hand(text):
    data, message = bytes_of(text), GOLDEN[text]
    assert codec.encode(message).hex() == data.hex()
    assert list(codec.MessageDecoder(4096).feed(data)) == [message]


ADDRESS = st.binary(min_size=16, max_size=16)
MEMBER = st.builds(m.MemberData, st.integers(0, 255), st.integers(0, 65_535), ADDRESS, st.binary(max_size=20))
NAME = st.builds(m.GroupName, st.binary(max_size=9), st.binary(max_size=9))
ID, BYTE, FLAG = st.integers(0, 2**32 - 1), st.integers(0, 255), st.booleans()


def lists(item):
    return st.lists(st.tuples(NAME, st.lists(item, max_size=4).map(tuple)), max_size=3).map(tuple)


ENTRIES = lists(st.builds(m.WeightEntry, MEMBER, st.integers(0, 65_535), BYTE, BYTE))
MESSAGES = st.one_of(
    st.builds(m.Register, ID, FLAG, lists(MEMBER), FLAG),
    st.builds(m.Deregister, ID, FLAG, BYTE, lists(MEMBER), FLAG),
    st.builds(m.GetWeights, ID, st.lists(NAME, max_size=3).map(tuple), FLAG),
    st.builds(m.Weights, ID, BYTE, st.integers(0, 65_535), ENTRIES, FLAG),
    st.builds(m.SendWeights, ID, ENTRIES, FLAG),
    st.builds(m.SetLbState, ID, st.binary(max_size=9), BYTE, FLAG, FLAG, FLAG),
    st.builds(m.SetMemberState, ID, FLAG, lists(st.builds(m.StateEntry, MEMBER, BYTE, FLAG)), FLAG),
    st.builds(m.Reply, ID, st.sampled_from(list(codec.REPLY_TYPES.values())), BYTE),
)


@settings(derandomize=True, max_examples=150)
@given(st.lists(MESSAGES, min_size=1, max_size=3), st.integers(1, 40))
def test_round_trips_however_the_bytes_are_cut(messages, size):
    data, frames = b"".join(map(codec.encode, messages)), codec.MessageDecoder(1 << 16)
    got = [x for at in range(0, len(data), size) for x in frames.feed(data[at : at + size])]
    assert got == messages and not frames.has_partial_message()
    kept = [x for x in got if getattr(x, "groups", ()) and not isinstance(x, m.GetWeights)]
    assert all(
        x.inclusive_lengths == y.inclusive_lengths
        for x, y in zip(kept, [x for x in messages if x in kept], strict=False)
    )


@pytest.mark.parametrize("text", GOLDEN, ids=lambda text: re.search(r"\n\s+(\d{4})", text)[1])
def test_a_message_cut_anywhere_or_with_a_lying_length_is_a_value(text):
    data = bytes_of(text)
    for at in range(13, len(data)):  # whole by its header, cut short behind it
        cut = data[:5] + at.to_bytes(4, "big") + data[9:at]
        (got,) = codec.MessageDecoder(4096).feed(cut)
        assert isinstance(got, codec.InvalidMessage) and (
            got.id == int.from_bytes(data[9:13], "big") or at < 17
        )
    for at in range(13, len(data)):
        for value in (0, 0x7F, 0xFF):
            list(codec.MessageDecoder(4096).feed(data[:at] + bytes([value]) + data[at + 1 :]))


def test_what_is_no_stream_of_messages_ends_it_and_holds_nothing():
    for junk in (
        bytes(1 << 20),
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x20\x10\x00\x0d\x02" + bytes(8),
        bytes.fromhex("2010000d017fffffff00000001"),
        bytes.fromhex("2010000d010000000000000001"),
    ):
        frames = codec.MessageDecoder(65_536)
        got = [x for at in range(0, len(junk), 16_384) for x in frames.feed(junk[at : at + 16_384])]
        assert len(got) == 1 and got[0].fatal and not frames.buffer


def test_what_the_wire_has_no_room_for_is_said():
    name, members = m.GroupName(b"x", b"y"), tuple(m.MemberData.of("10.0.0.1", k) for k in range(3_000))
    assert codec.encode(m.Register(1, True, ((name, members),)))
    with pytest.raises(codec.EncodeError):
        codec.encode(m.Register(1, True, ((name, members),), inclusive_lengths=True))


def test_addresses_are_those_of_the_list():
    assert m.MemberData.of("10.1.0.18", 1).endpoint == ("10.1.0.18", 1)
    assert m.MemberData(6, 1, bytes(12) + bytes([10, 1, 0, 18])).endpoint == ("10.1.0.18", 1)
    assert m.MemberData.of("::1", 1).endpoint == ("::1", 1)
    assert all(source in ("memory", "shape") for _, _, source in constants.FIELD_SOURCES)


# The session

TASKS = "abc"
PLACES = {k: ("10.0.0.1", n) for n, k in enumerate(TASKS, 1)}
GROUPS = {
    "status": GroupRoute(0, "repeatable"),
    "charge": GroupRoute(2, "mutating"),
    "scan": GroupRoute(1, "keyed"),
}


class Talk:
    """A session with its registry, in words. Our bytes are acknowledged as they are written, unless held."""

    def __init__(self, retries="none", takes="answers", lines=True, grace=30_000, started_at=-100_000):
        self.snapshot_builder, self.now, self.trace, self.wake = SnapshotBuilder(), 1_000_000, [], {}
        clients = {
            b"LB1": Follower("one", ("status", "charge", "scan"), retries, takes),
            b"LB2": Follower("two", ("status",), "any", takes),
        }
        seats = [("one", 40.0, "z"), ("two", 5.0, "z")]
        self.registry = SessionRegistry(GROUPS, clients, seats, grace, 150_000, started_at)
        self.sessions, self.sent, self.held, self.brain = {}, {}, {}, []
        self.turn(
            [gp.ListHeard("full", tuple(map(line, TASKS)))],
            [gp.SetLine(1, k, 1.0) for k in TASKS] if lines else [],
            PLACES,
        )

    def open(self, n=1, **how):
        self.sessions[n] = Session(
            self.registry, n, 10_000, 50_000, how.pop("most", 10), how.pop("host", "x"), self.now
        )
        self.sent[n], self.held[n] = 0, False
        self.hand(n, SnapshotPublished(self.snapshot_builder.snapshot))
        return self

    def turn(self, events=(), orders=(), places=None):
        """A batch of the Brain's; every session hears of it."""
        snapshot = self.snapshot_builder.update(self.now, events, orders, places)
        for n in list(self.sessions):
            self.hand(n, SnapshotPublished(snapshot))

    def bind(self, *numbers):
        self.turn([], [gp.Bind(n, 1) for n in numbers or (FIRST_FOLLOWER_NUMBER,)])

    def pass_(self, seconds):
        """Time goes by; sessions are woken when they asked for it."""
        until = self.now + round(seconds * 10_000)
        while due := [(at, n) for n, at in self.wake.items() if at is not None and at <= until]:
            self.now, n = min(due)
            self.wake[n] = None
            self.hand(n, TimerExpired())
        self.now = until

    def say(self, text):
        self.trace.append(f"       -- {text}")

    def hear(self, message, n=1):
        self.trace.append(f"{self.now / 10_000 - 100:6.2f} {n} < {shown(message)}")
        self.hand(n, MessageReceived(message))

    def ack(self, n=1):
        self.hand(n, BytesAcknowledged(self.sent[n]))

    def hand(self, n, event):
        if n not in self.sessions:
            return
        for action in self.sessions[n].handle(self.now, event):
            match action:
                case WriteBytes(data):
                    self.sent[n] += len(data)
                    for message in codec.MessageDecoder(1 << 20).feed(data):
                        self.show(n, "> " + shown(message))
                    if not self.held[n]:
                        self.ack(n)
                case CloseConnection(why):
                    self.show(n, f"closes: {why}")
                    del self.sessions[n]
                    self.wake.pop(n, None)
                case PublishEvent(event):
                    if not isinstance(event, gp.Applied):
                        self.show(n, f"brain: {type(event).__name__} {event.proxy}")
                    self.brain.append(event)
                    self.snapshot_builder.update(self.now, [event], [])
                case LogLine("follower_refused", words):
                    self.show(n, f"why: {dict(words)['why']}")
                case LogLine():
                    pass
                case NotifySession(other):
                    self.hand(other, SnapshotPublished(self.snapshot_builder.snapshot))
                case SetTimer(at):
                    self.wake[n] = at

    def show(self, n, text):
        self.trace.append(f"{self.now / 10_000 - 100:6.2f} {n} {text}")


def shown(x):
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

    match x:
        case m.Reply():
            return f"{x.message_type.name.lower()} 0x{x.code:02x}"
        case m.Weights():
            return f"weights 0x{x.code:02x}, again in {x.interval} s, {entries(x.groups)}"
        case m.SendWeights():
            return f"send {entries(x.groups)}"
        case m.Register() | m.Deregister():
            groups = "; ".join(
                f"{n.uid.decode()} {n.name.decode()} " + ",".join(str(d.port) for d in members)
                for n, members in x.groups
            )
            return f"{type(x).__name__.lower()} {'' if x.lb else 'itself '}{groups}"
        case m.GetWeights():
            return f"get {' '.join(n.name.decode() for n in x.groups)}"
        case m.SetLbState():
            flags = " ".join(word for word in ("push", "trust", "no_change") if getattr(x, word))
            return f"state of {x.uid.decode()}: {flags or 'none'}"
        case m.SetMemberState():
            return "member state " + "; ".join(
                f"{name.name.decode()} "
                + " ".join(f"{e.member.port} {'quiesced' if e.quiesced else 'open'}" for e in items)
                for name, items in x.groups
            )
    return str(x)


def name(group="status", uid="LB1"):
    return m.GroupName(uid.encode(), group.encode())


def member(port, label="", host="10.0.0.1"):
    return m.MemberData.of(host, port, label)


def register(*ports, group="status", uid="LB1", lb=True, id=1, **how):
    return m.Register(id, lb, ((name(group, uid), tuple(member(p, **how) for p in ports)),))


def state(push=True, trust=False, no_change=False, uid="LB1"):
    return m.SetLbState(2, uid.encode(), 0x7F, push, trust, no_change)


GET = m.GetWeights(3, ())


def following(**how):
    """A balancer that has registered a, b and c, and is bound."""
    t = Talk(**how).open()
    t.hear(state())
    t.hear(register(1, 2, 3))
    t.bind()
    return t


def test_a_balancer_registers_and_is_told():
    t = Talk().open()
    t.hear(GET)
    t.hear(register(1, 2, 3))
    t.say("not bound yet: nothing is told, and it is to ask again soon")
    t.hear(GET)
    t.bind()
    t.hear(GET)
    t.say("a step; it polls, nothing is pushed")
    t.turn([], [gp.SetLine(1, "a", 1.5), gp.SetLine(1, "b", 0.5)])
    t.hear(m.GetWeights(3, (name(),)))
    t.hear(m.GetWeights(3, (name("charge"),)))
    t.say("it deregisters one, then all")
    t.hear(m.Deregister(4, True, 1, ((name(), (member(3),)),)))
    t.hear(GET)
    t.hear(m.Deregister(4, True, 1, ()))
    t.hear(GET)
    matches("sasp_registers", t.trace)


def test_weights_are_pushed_newest_only_one_a_pace():
    t = following()
    t.say("all shares jump, and jump again within the pace")
    for n, weights in enumerate(((1.4, 0.6, 1.0), (1.8, 0.2, 1.0), (2.0, 0.5, 0.5))):
        t.now += 1_000 * n
        t.turn([], [gp.SetLine(1, k, w) for k, w in zip(TASKS, weights, strict=True)])
    t.pass_(2)
    t.say("only changed members are wanted from now on")
    t.hear(state(no_change=True))
    t.turn([], [gp.SetLine(1, "c", 0.7)])
    t.pass_(2)
    t.say("its machine takes nothing: one update is under way, no other follows")
    t.held[1] = True
    t.turn([], [gp.SetLine(1, "a", 1.0)])
    t.now += 12_000
    t.turn([], [gp.SetLine(1, "a", 0.9), gp.SetLine(1, "b", 0.8)])
    t.say("it takes it: the newest follows")
    t.held[1] = False
    t.ack()
    t.pass_(2)
    matches("sasp_push", t.trace)


def test_a_drain_is_pushed_at_once_and_must_be_answered():
    t = following()
    t.pass_(1.5)
    t.turn([], [gp.SetLine(1, "a", 1.5)])
    t.say("a drains within the pace; the client answers")
    t.turn([changes(line("a", "draining"))])
    t.hear(state())
    t.pass_(5)
    t.say("b is gone; the client's machine takes it, the client says nothing")
    t.turn([changes(line("b", "gone"))])
    t.pass_(5)
    t.say("it comes again at once, and is held")
    t.open(2)
    t.hear(register(3, id=5), 2)
    t.pass_(1)
    t.say("it has read our answer and speaks: let in; its table is told to hold nothing of a and b")
    t.hear(register(1, 2, 3, id=6), 2)
    t.hear(state(), 2)
    matches("sasp_drain", t.trace)


@pytest.mark.parametrize("how", ["no_read", "half_a_message"])
def test_who_cannot_be_shown_to_have_taken_a_drain_goes_before_the_grace_ends(how):
    t = following()
    t.pass_(2)
    if how == "no_read":
        t.held[1] = True
    else:
        t.hand(1, InputProcessed(True))
    t.say("a drains")
    drained = t.now
    t.turn([changes(line("a", "draining"))])
    t.pass_(5)
    assert 1 not in t.sessions and any(isinstance(e, gp.ProxyLeft) for e in t.brain)
    at = next(float(x.split()[0]) for x in t.trace if "closes" in x)
    assert at < drained / 10_000 - 100 + 3.0
    matches(f"sasp_{how}", t.trace)


def test_who_polls_is_told_an_interval_that_the_grace_allows():
    for grace, told in ((30_000, 1), (90_000, 3), (600_000, 5)):
        assert Talk(grace=grace).open().sessions[1].poll_interval == told
    t = Talk(grace=90_000).open()
    t.hear(register(1, 2, 3))
    t.bind()
    t.hear(GET)
    t.say("a drains between polls")
    t.turn([changes(line("a", "draining"))])
    t.pass_(3)
    t.hear(GET)
    t.pass_(3)
    t.say("the next poll shows that it took the answer")
    t.hear(GET)
    t.pass_(3)
    t.say("b drains, and no poll comes")
    t.turn([changes(line("b", "draining"))])
    t.pass_(20)
    matches("sasp_polls", t.trace)


def test_a_drained_node_comes_back_by_nothing_old():
    t = following()
    t.pass_(2)
    t.turn([changes(line("a", "draining"))])
    t.hear(state())
    t.say("an older word of the same start, a reconnect, a new connection")
    t.turn([changes(line("a", "gone"))], [gp.SetLine(1, "a", 1.0)])
    t.hand(1, ConnectionLost("reset"))
    t.sessions.pop(1)
    t.now += 40_000
    t.open(2)
    t.hear(state(), 2)
    t.hear(register(1, 2, 3), 2)
    t.say("not bound, it hears of a all the same; then bound")
    t.bind()
    t.pass_(2)
    matches("sasp_stays_out", t.trace)


def test_a_second_manager_after_a_restart_tells_nothing_until_it_knows():
    t = Talk(lines=False, started_at=995_000).open()
    t.hear(state())
    t.hear(register(1, 2, 3))
    assert t.brain == [gp.ProxyJoined(FIRST_FOLLOWER_NUMBER, 40.0, False, "z", True)]
    t.hear(GET)
    t.say("bound before any line is laid")
    t.bind()
    t.hear(GET)
    t.say("the first good table")
    t.turn([], [gp.SetLine(1, "a", 1.0), gp.SetLine(1, "b", 1.0)])
    t.pass_(1)
    matches("sasp_restart", t.trace)


REFUSED = {
    "no_group": m.Register(1, True, ()),
    "no_uid": register(1, uid=""),
    "no_name": register(1, group=""),
    "unknown_balancer": register(1, uid="LB9"),
    "group_of_no_one": register(1, group="lost"),
    "group_of_another": register(1, group="charge", uid="LB2"),
    "no_task": register(9),
    "elsewhere": register(1, host="10.0.0.2"),
    "label_of_another": register(1, label="b"),
    "twice_in_it": register(1, 1),
    "two_balancers": m.Register(1, True, ((name(), (member(1),)), (name("status", "LB2"), (member(1),)))),
    "too_many": m.Register(
        1, True, tuple((name(g), tuple(member(p) for p in (1, 2, 3))) for g in ("status", "charge"))
    ),
    "itself_before_its_balancer": register(1, lb=False),
    "gone_itself_before_its_balancer": m.Deregister(1, False, 0, ((name(), (member(1),)),)),
    "get_before": GET,
    "deregister_before": m.Deregister(1, True, 0, ((name(), ()),)),
    "state_of_no_one": state(uid="LB9"),
    "state_of_nothing": state(uid=""),
    "member_state_before": m.SetMemberState(1, True, ((name(), (m.StateEntry(member(1), 0, True),)),)),
    "what_managers_say": m.SendWeights(1, ()),
}


def test_what_is_refused_and_how():
    trace = []
    for key, message in REFUSED.items():
        t = Talk().open(most=5)
        if key == "what_managers_say":
            t.sessions[1].handle_message(t.now, codec.InvalidMessage("a reply", 1, MessageType.WEIGHTS), [])
            t.hear(codec.InvalidMessage("a reply", 1, MessageType.GET_WEIGHTS))
        else:
            t.hear(message)
        trace += [f"{key}:", *(x[9:] for x in t.trace)]
        assert not t.brain and not t.sessions[1].groups
    t = following()
    del t.trace[:]
    for message in (
        register(1),
        m.Deregister(1, True, 0, ((name(), (member(9),)),)),
        m.Deregister(1, True, 0, ((name(), (member(1), member(1))),)),
        m.Deregister(1, True, 0, ((name(), ()), (name(), ()))),
        m.Deregister(1, True, 0, ((name("status", "LB2"), ()),)),
        m.GetWeights(1, (name("scan"),)),
        register(1, uid="LB2"),
        m.SetMemberState(1, True, ((name(), (m.StateEntry(member(9), 0, True),)),)),
    ):
        t.hear(message)
    trace += ["while it follows:", *(x[9:] for x in t.trace)]
    assert len(t.sessions[1].groups[b"status"].members) == 3
    matches("sasp_refused", trace)


def test_a_mutating_route_goes_only_to_who_does_not_try_again():
    trace = []
    for retries in ("any", "on proof", "none"):
        for tries in ("on proof", "none"):
            t = Talk(retries)
            t.turn([], [gp.Admit(1, (0, 1, 2), 1.0, tries)])
            t.open().hear(register(1, group="charge"))
            trace += [f"it tries again: {retries}; the Brain: {tries}", *(x[9:] for x in t.trace)]
    matches("sasp_mutating", trace)


def test_a_group_of_which_nothing_is_let_in_is_told_nothing_new():
    t = following()
    t.hear(register(1, 2, group="charge"))
    t.pass_(2)
    t.turn([], [gp.Admit(1, (2,), 0.0, "none")])
    t.pass_(2)
    t.turn([], [gp.Admit(1, (2,), 0.5, "none")])
    t.pass_(2)
    matches("sasp_level", t.trace)


def test_members_that_speak_for_themselves():
    t = Talk().open().open(2, host="10.0.0.1").open(3, host="10.0.0.9")
    itself = register(3, lb=False)
    t.hear(itself, 2)
    t.hear(state(trust=False))
    t.hear(register(1, 2))
    t.bind()
    t.hear(itself, 2)
    t.hear(state(trust=True))
    t.hear(itself, 2)
    t.say("one from another machine")
    t.hear(register(3, lb=False), 3)
    t.pass_(1)
    quiesce = m.SetMemberState(4, False, ((name(), (m.StateEntry(member(3), 7, True),)),))
    t.say("it quiesces itself, opens again, and leaves")
    t.hear(quiesce, 2)
    t.pass_(1)
    t.hear(m.SetMemberState(4, False, ((name(), (m.StateEntry(member(3), 7, False),)),)), 2)
    t.pass_(1)
    t.hear(m.Deregister(4, False, 1, ((name(), (member(3),)),)), 2)
    t.pass_(1)
    t.hear(itself, 2)
    t.pass_(1)
    matches("sasp_members", t.trace)


def test_two_balancers_hold_one_group_each_and_one_dies():
    t = following()
    t.open(2)
    t.hear(state(uid="LB2"), 2)
    t.hear(register(1, 2, uid="LB2"), 2)
    t.bind(FIRST_FOLLOWER_NUMBER, FIRST_FOLLOWER_NUMBER + 1)
    t.pass_(2)
    t.turn([changes(line("a", "draining"))])
    t.hear(state(), 1)
    t.hear(state(uid="LB2"), 2)
    t.say("the first dies; a connection of its name comes")
    t.hand(1, ConnectionLost("reset"))
    t.sessions.pop(1)
    t.open(3)
    t.hear(register(2, 3), 3)
    matches("sasp_two", t.trace)


def test_another_connection_of_a_follower_waits_until_the_first_is_silent():
    t = following()
    t.open(2)
    t.hear(register(1, 2, 3), 2)
    t.now += 35_000
    t.hear(register(1, 2, 3), 2)
    matches("sasp_takeover", t.trace)


def test_strangers_floods_and_the_unreadable_end():
    t = Talk().open().open(2).open(3).open(4)
    t.hand(2, InputProcessed(True))
    t.hear(codec.InvalidMessage("no header: 0x4745, length 21536", None, fatal=True), 3)
    for _ in range(201):
        t.hand(4, MessageReceived(GET))
    t.trace = [x for x in t.trace if "unknown" not in x and "weights" not in x and "why" not in x]
    t.pass_(3)
    matches("sasp_strangers", t.trace)


def test_what_waited_to_be_read_here_is_no_silence_of_the_clients():
    t = Talk().open().open(2)
    for n in (1, 2):
        t.hand(n, InputProcessed(True))
    t.now += 25_000
    t.hand(1, InputDelayed(25_000))
    t.hand(1, InputProcessed(True))
    assert 1 in t.sessions
    t.hand(2, InputProcessed(True))
    assert 2 not in t.sessions
    t.pass_(2.1)
    assert 1 not in t.sessions


def test_a_poll_between_changes_walks_no_table(monkeypatch):
    t = following()
    t.hear(GET)

    def never(*_):
        raise AssertionError("a table was walked")

    monkeypatch.setattr(Session, "wanted_weights", never)
    monkeypatch.setattr(codec, "encode_group_component", never)
    before = len(t.trace)
    for _ in range(20):
        t.hear(GET)
    assert len({x.split(">")[1] for x in t.trace[before:] if ">" in x}) == 1


def test_lengths_are_answered_in_the_peers_own_form():
    t = Talk().open()
    data = codec.encode(m.Register(1, True, register(1).groups, inclusive_lengths=True))
    (message,) = codec.MessageDecoder(4096).feed(data)
    t.hand(1, MessageReceived(message))
    t.bind()
    written = [a.data for a in t.sessions[1].handle(t.now, MessageReceived(GET)) if isinstance(a, WriteBytes)]
    (reply,) = codec.MessageDecoder(4096).feed(written[0])
    assert reply.inclusive_lengths and reply.groups
