"""The operator's own configuration file, in HCL: front ends, groups, followers, limits.

Each diagnostic names file, line, field and what is expected. The package is imported only if a file is given.
read(path) returns an OperatorConfiguration or raises InvalidFileError with all mistakes;
check_against_platform(configuration, platform) checks it against the platform's configuration."""

from garnetpaddle.operator.block_decoder import Diagnostic, InvalidFileError
from garnetpaddle.operator.configuration import (
    Dfp,
    Follower,
    Group,
    Limits,
    OperatorConfiguration,
    Sasp,
    check_against_platform,
    read,
)

__all__ = [
    "Dfp",
    "Diagnostic",
    "InvalidFileError",
    "Follower",
    "Group",
    "Limits",
    "OperatorConfiguration",
    "Sasp",
    "check_against_platform",
    "read",
]
