"""The time limit from pyproject.toml for every test: a hanging test fails and shows where it hangs."""

import pathlib
import re
import shutil
import subprocess
import sys

PROJECT = pathlib.Path(__file__).parent.parent / "pyproject.toml"
MAX_LIMIT = 600  # s; a longer limit is no help to someone waiting for the run
HANGING_TESTS = """
import os, signal, threading

def wait_for_nothing():
    os.read(os.pipe()[0], 1)

def wait_in_a_thread():
    threading.Event().wait()

def test_that_hangs():
    threading.Thread(target=wait_in_a_thread, daemon=True).start()
    wait_for_nothing()

def test_with_blocked_signal():
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGALRM])
    wait_for_nothing()

def test_that_ends():
    pass
"""


def run_hanging(tmp_path, *options):
    """Runs HANGING_TESTS with the project's configuration and the given options."""
    shutil.copy(PROJECT, tmp_path)
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_hanging.py").write_text(HANGING_TESTS)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *options]
    result = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True)
    return result.returncode, result.stdout + result.stderr


def test_hanging_test_fails_with_all_stacks_and_the_run_continues(tmp_path):
    code, output = run_hanging(
        tmp_path, "-o", "timeout=1", "--deselect", "tests/test_hanging.py::test_with_blocked_signal"
    )
    assert code == 1 and "1 failed, 1 passed" in output
    assert re.search(r"FAILED tests/test_hanging.py::test_that_hangs .*Timeout", output)
    assert "wait_for_nothing" in output and "wait_in_a_thread" in output


def test_hang_with_blocked_signals_ends_the_run_with_all_stacks(tmp_path):
    code, output = run_hanging(tmp_path, "-o", "faulthandler_timeout=1", "-k", "blocked_signal")
    assert code == 1 and "Timeout" in output
    assert "in wait_for_nothing" in output and "in test_with_blocked_signal" in output


def test_every_test_has_a_time_limit(pytestconfig, request):
    limit, dump = float(pytestconfig.getini("timeout")), float(pytestconfig.getini("faulthandler_timeout"))
    assert 0 < limit < dump < MAX_LIMIT
    assert pytestconfig.getini("timeout_method") == "signal"
    assert pytestconfig.getini("faulthandler_exit_on_timeout")
    unlimited = [item.nodeid for item in request.session.items if item.get_closest_marker("timeout")]
    assert not unlimited
