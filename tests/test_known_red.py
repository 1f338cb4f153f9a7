"""KNOWN-RED.txt makes exactly the listed tests expected failures, up to its maximum length."""

import pathlib
import shutil
import subprocess
import sys

import pytest

TEST_FILE = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
RED, GREEN = "tests/test_it.py::test_red, a fault, issue 1", "tests/test_it.py::test_green, a fault, issue 1"


@pytest.mark.parametrize(
    ("list_text", "code", "expected_output"),
    [
        (RED, 0, "KNOWN RED tests/test_it.py::test_red: a fault (issue 1)"),
        ("", 1, "1 failed, 1 passed"),  # failures of unlisted tests fail the run
        # A listed test that passes fails the run until its line is removed.
        (f"{RED}\n{GREEN}", 1, "[XPASS(strict)] a fault (issue 1)"),
        (
            f"{RED}\ntests/test_it.py::test_gone, a fault, issue 1",
            4,
            "test not found: 'tests/test_it.py::test_gone'",
        ),
        ("tests/test_it.py::test_red, issue 1", 4, "malformed line (expected `test, cause, issue`)"),
        (f"{RED}\n{RED}", 4, "duplicate test"),
        (
            "\n".join(f"tests/test_it.py::test_{k}, a fault, issue 1" for k in range(4)),
            4,
            "4 lines, at most 3 are allowed",
        ),
    ],
)
def test_only_listed_tests_are_expected_failures(list_text, code, expected_output, tmp_path):
    (tmp_path / "tests").mkdir()
    shutil.copy(pathlib.Path(__file__).parent / "conftest.py", tmp_path / "tests")
    (tmp_path / "tests" / "test_it.py").write_text(TEST_FILE)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "KNOWN-RED.txt").write_text(list_text)
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert result.returncode == code and expected_output in result.stdout + result.stderr
