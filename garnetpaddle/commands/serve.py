"""`serve` and the reading of its files. Imports no library that the platform does not have."""

import os
import sys
from typing import Any, NamedTuple

INVALID = 2  # exit code: invalid usage or input


class ServeFiles(NamedTuple):
    """The configuration files of `serve`, read and validated."""

    configuration: Any  # net.configuration.Configuration
    operator_configuration: Any  # operator.OperatorConfiguration; None without an operator's file
    path: str  # of the configuration, for reloads


def print_error(reason):
    """Prints an error to standard error; returns the exit code."""
    print(f"garnetpaddle: {reason}", file=sys.stderr)
    return INVALID


def read_files(path, operator_path, environment):
    """Reads and validates the files. Returns ServeFiles, or an exit code (an int) after printing the errors.

    environment: the environment variables, which must agree with the configuration if they are set."""
    from garnetpaddle.net import configuration

    try:
        if not path:
            raise configuration.ConfigurationError("ROUTER_CONFIG: not set")
        platform = configuration.read(path, environment)
    except configuration.ConfigurationError as error:
        return print_error(error)
    if not operator_path:
        return ServeFiles(platform, None, path)
    try:
        from garnetpaddle import operator
    except ModuleNotFoundError as error:
        if error.name not in ("hcl2", "lark"):
            raise
        from garnetpaddle.commands import report_missing_library

        return report_missing_library(error.name, "operator")
    try:
        operator_configuration = operator.read(operator_path)
        diagnostics = operator.check_against_platform(operator_configuration, platform)
        if diagnostics:
            raise operator.InvalidFileError(diagnostics)
    except operator.InvalidFileError as error:
        for diagnostic in error.diagnostics:
            print_error(diagnostic)
        return INVALID
    return ServeFiles(platform, operator_configuration, path)


def serve(trace, operator_path, startup_signals):
    """Runs one assigner until SIGTERM; returns the exit code."""
    sys.modules.setdefault("rich", None)  # structlog would import it, unused, for 4 MB
    files = read_files(os.environ.get("ROUTER_CONFIG"), operator_path, os.environ)
    if isinstance(files, int):
        return files
    from garnetpaddle.net import serve

    return serve.main(files.configuration, files.path, startup_signals, trace, files.operator_configuration)
