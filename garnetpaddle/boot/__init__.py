"""Decoding of the start-up settings and task list entries, shared by garnetpaddle.net and the simulator host.

Settings is the decoded settings object; derive_parameters() derives the Brain's parameters from it."""

from garnetpaddle.boot.parsing import UnknownValueError, lookup, seconds_to_tenths_of_ms
from garnetpaddle.boot.settings import Settings, derive_parameters
from garnetpaddle.boot.task_list import make_task_line, normalize_load

__all__ = [
    "Settings",
    "UnknownValueError",
    "lookup",
    "make_task_line",
    "normalize_load",
    "seconds_to_tenths_of_ms",
    "derive_parameters",
]
