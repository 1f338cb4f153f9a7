"""KNOWN-RED.txt: tests that are red for a real fault, run as strict expected failures and printed."""

import pathlib

import pytest

PATH, MOST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt", 3


def read(text):
    """{test: reason} of lines `test, cause, issue`; raises ValueError where the file may not say so."""
    red = {}
    for line in filter(str.strip, text.splitlines()):
        test, _, rest = (part.strip() for part in line.partition(","))
        cause, _, issue = (part.strip() for part in rest.rpartition(","))
        if not (test and cause and issue) or test in red:
            raise ValueError(f"no line `test, cause, issue`, or a second one of its test: {line!r}")
        red[test] = f"{cause} ({issue})"
    if len(red) > MOST:
        raise ValueError(f"{len(red)} lines, {MOST} at most")
    return red


def pytest_configure(config):
    try:
        config.known_red = read(PATH.read_text()) if PATH.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(f"{PATH.name}: {error}") from None


def pytest_collection_modifyitems(config, items):
    for test, reason in config.known_red.items():
        named = [item for item in items if item.nodeid == test]
        for item in named:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
        # A run of some files or tests alone need not meet them all.
        if not named and config.args == config.getini("testpaths"):
            raise pytest.UsageError(f"{PATH.name}: no test {test!r}")


def pytest_terminal_summary(terminalreporter, config):
    for test, reason in config.known_red.items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")
