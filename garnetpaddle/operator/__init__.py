"""The operator's own configuration file, in HCL: front ends, groups, followers, limits.

Each diagnostic names file, line, field and what is expected. The package is imported only if a file is given.
read(path) returns an OperatorConfiguration or raises InvalidFile; check_against_platform(configuration,
platform) checks it against the platform's configuration."""

from garnetpaddle.operator.block_decoder import Diagnostic, InvalidFile
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
    "InvalidFile",
    "Follower",
    "Group",
    "Limits",
    "OperatorConfiguration",
    "Sasp",
    "check_against_platform",
    "read",
]
