"""Runs the tests listed in KNOWN-RED.txt as strict expected failures and prints them in the summary."""

import pathlib

import pytest

LIST_PATH, MAX_ENTRIES = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt", 3


def parse_known_failures(text):
    """Parses lines `test, cause, issue` to {test: reason}; raises ValueError for an invalid file."""
    reasons = {}
    for line in filter(str.strip, text.splitlines()):
        test, _, rest = (part.strip() for part in line.partition(","))
        cause, _, issue = (part.strip() for part in rest.rpartition(","))
        if not (test and cause and issue) or test in reasons:
            raise ValueError(f"malformed line (expected `test, cause, issue`) or duplicate test: {line!r}")
        reasons[test] = f"{cause} ({issue})"
    if len(reasons) > MAX_ENTRIES:
        raise ValueError(f"{len(reasons)} lines, at most {MAX_ENTRIES} are allowed")
    return reasons


def pytest_configure(config):
    try:
        config.known_red = parse_known_failures(LIST_PATH.read_text()) if LIST_PATH.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(f"{LIST_PATH.name}: {error}") from None


def pytest_collection_modifyitems(config, items):
    for test, reason in config.known_red.items():
        matching = [item for item in items if item.nodeid == test]
        for item in matching:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
        # A run of selected files or tests need not contain all listed tests.
        if not matching and config.args == config.getini("testpaths"):
            raise pytest.UsageError(f"{LIST_PATH.name}: test not found: {test!r}")


def pytest_terminal_summary(terminalreporter, config):
    for test, reason in config.known_red.items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")
