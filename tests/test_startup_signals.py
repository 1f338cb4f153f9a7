"""Signals during the start of `serve`: each one ends the process or causes a reload, whenever it arrives."""

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

import pytest
from signal_tries import MAX_OFFSET_NS, open_writer

SCRIPT = pathlib.Path(__file__).parent / "signal_tries.py"
PROCESS_TRIES, PROCESS_SEED = 40, 2
EXIT_TIMEOUT = 10.0  # s; a normal exit takes milliseconds
MAX_HUNG = 3  # hung tries after which the test stops


def run_tries(*arguments):
    """Makes tries; returns their exit codes with counts, and the number of tries."""
    completed = subprocess.run(
        [sys.executable, str(SCRIPT), *arguments], capture_output=True, text=True, check=True
    )
    report = json.loads(completed.stdout.splitlines()[-1])
    assert not report["hung"], f"{len(report['hung'])} of {report['tries']} tries hung: {report['hung']}"
    assert not completed.stderr
    return report["codes"], report["tries"]


@pytest.mark.parametrize(
    ("signals", "count"),
    [(["SIGTERM"], 300), (["SIGINT"], 30), (["SIGHUP", "SIGTERM", "SIGTERM"], 30)],
)
def test_a_signal_between_the_last_check_and_a_read_ends_the_process(signals, count):
    """The interpreter has set its signal flag, but the signal does not interrupt the read."""
    assert run_tries("before-read", *signals, "--count", str(count)) == ({"0": count}, count)


def test_a_signal_at_any_offset_around_a_read_ends_the_process():
    assert run_tries("offset", "SIGTERM", "--count", "300") == ({"0": 300}, 300)


@pytest.mark.parametrize(("name", "code"), [("SIGTERM", "0"), ("SIGINT", "0"), ("SIGHUP", "3")])
def test_a_signal_at_any_line_of_the_hand_over_reaches_the_loop(name, code):
    """Exit code 3: SIGHUP has requested a reload. A low count would mean that no line was traced."""
    codes, count = run_tries("hand-over", name)
    assert codes == {code: count} and count > 20


def test_a_signal_at_any_offset_around_the_read_of_the_configuration_ends_serve(tmp_path):
    """The open of the fifo returns once it has a writer; the read follows."""
    rng, path = random.Random(PROCESS_SEED), tmp_path / "config.fifo"
    os.mkfifo(path)
    exits, hung = [], []
    for number in range(PROCESS_TRIES):
        with subprocess.Popen(
            [sys.executable, "-m", "garnetpaddle", "serve"],
            env=os.environ | {"ROUTER_CONFIG": str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        ) as program:
            writer = open_writer(path)
            deadline = time.perf_counter_ns() + rng.randrange(MAX_OFFSET_NS)
            while time.perf_counter_ns() < deadline:
                pass
            program.send_signal(signal.SIGTERM)
            try:
                output, _ = program.communicate(timeout=EXIT_TIMEOUT)
                exits.append((program.returncode, output))
            except subprocess.TimeoutExpired:
                program.kill()
                hung.append(number)
            os.close(writer)
        if len(hung) == MAX_HUNG:
            break
    assert not hung, f"{len(hung)} of {number + 1} tries hung: {hung}"
    assert exits == [(0, b"")] * PROCESS_TRIES


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_command_other_than_serve_keeps_the_default_action(number, tmp_path):
    path = tmp_path / "config.fifo"
    os.mkfifo(path)
    command = [sys.executable, "-m", "garnetpaddle", "check", str(path)]
    with subprocess.Popen(command) as program, open(path, "wb"):
        program.send_signal(number)
        assert program.wait(timeout=EXIT_TIMEOUT) == -number
