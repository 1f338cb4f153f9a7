import json

import pytest

from garnetpaddle.wirehost import host

CONF = {
    "categories": [{"name": "read", "promise": 1.0, "deadline": 3.0, "effect": "free", "novel": 1}],
    "ceilings": {"probes": False},
    "discovery": "push",
    "whim": [1, 2],
    "contract": {"cold": 15.0, "stop_sending_within": 3.0, "start_capacity": 0.2, "fall_multiple": 3.0},
    "specifics": {"egress_per_s": 2000.0, "queue_cap": 4000.0, "report_every": 1.0},
}
MARK = {"msg": "MARK", "wall": 8.41225}
BOOT = {"msg": "BOOT", "i": "x/0", "rng_seed": 5, "conf": CONF}
ROWS = {"msg": "SNAPSHOT_ROWS", "bank": 0, "elements": [{"task": "a", "status": "on", "started_at": None}]}
LIST = {"msg": "ENDPOINTS", "i": "x/0", "bank": 0, "form": "warm_copy", "gen": 1}
JOIN = {"msg": "CONNECTED", "i": "x/0", "forwarder": 3, "size": 2.0, "flag": True, "az": "z"}
FLUSH = {"msg": "FLUSH"}


def serve(*messages):
    written = []
    lines = [message if isinstance(message, bytes) else json.dumps(message).encode() for message in messages]
    code = host.serve(lines, written.append, lambda: None)
    return code, [json.loads(line) for line in written]


def test_a_batch_becomes_orders():
    code, replies = serve(MARK, BOOT, ROWS, LIST, JOIN, FLUSH, MARK, FLUSH)
    assert code == 0
    assert {"msg": "BIND", "i": "x/0", "forwarder": 3, "sheet": 1, "lanes": 0} in replies
    assert {"msg": "SET_LINE", "i": "x/0", "task": "a", "size": 1.0, "sheet": 1} in replies
    assert [reply["msg"] for reply in replies[-2:]] == ["ACK", "ACK"]


@pytest.mark.parametrize(
    ("invalid", "expected"),
    [
        (b'{"msg":"CONNECTED","i":"x/0","forw', "line 5: "),
        (JOIN | {"forwarder": "three"}, "forwarder"),
        ({"msg": "WHIM", "i": "x/0"}, "msg"),
        (LIST | {"form": "whim"}, "form"),
        (LIST | {"bank": 9}, "bank"),
        ({"msg": "LOST_STREAM", "i": "x/0"}, "forwarder"),
        (BOOT | {"conf": CONF | {"specifics": CONF["specifics"] | {"ranges": 9}}}, "specifics.ranges"),
    ],
)
def test_malformed_input_names_line_and_field(invalid, expected, capsys):
    code, _ = serve(MARK, BOOT, ROWS, LIST, invalid, FLUSH)
    errors = capsys.readouterr().err
    assert code == 2 and "line 5" in errors and expected in errors


def test_an_exception_in_the_brain_is_reported_as_bug(monkeypatch):
    def fail(*_):
        raise KeyError("brain failure")

    monkeypatch.setattr(host.Brain, "handle", fail)
    _, replies = serve(MARK, BOOT, FLUSH)
    assert replies[0]["msg"] == "BUG" and "brain failure" in replies[0]["text"]


def test_events_for_a_stopped_instance_are_ignored():
    code, replies = serve(MARK, BOOT, {"msg": "POWER_OFF", "i": "x/0"}, JOIN, FLUSH)
    assert (code, replies) == (0, [{"msg": "ACK"}])
