"""The command line: `serve` without click, to save memory and start-up time; all other commands with it."""

import os
import sys

from garnetpaddle.net.startup_signals import StartupSignals

startup_signals = StartupSignals()
if __name__ == "__main__" and sys.argv[1:2] == ["serve"]:
    startup_signals.install()  # before any other import, since imports take time

from typing import NamedTuple  # noqa: E402


class ServeOptions(NamedTuple):
    """The options of `serve`."""

    trace: bool = False
    operator: str | None = None  # path of the operator's configuration file


def parse_serve_options(arguments):
    """The options of `serve`, or None if click has to parse them (help, errors).

    click takes 4 MB and a fifth of the start-up time, and the platform runs no other command than `serve`.
    """
    options, remaining = ServeOptions(operator=os.environ.get("GARNET_OPERATOR") or None), list(arguments)
    while remaining:
        argument = remaining.pop(0)
        if argument == "--trace":
            options = options._replace(trace=True)
        elif argument.startswith("--operator=") and argument != "--operator=":
            options = options._replace(operator=argument.removeprefix("--operator="))
        elif argument == "--operator" and remaining and not remaining[0].startswith("-"):
            options = options._replace(operator=remaining.pop(0))
        else:
            return None
    return options


def main(arguments=None):
    """Runs a command; returns its exit code."""
    arguments = sys.argv[1:] if arguments is None else list(arguments)
    if arguments[:1] == ["serve"]:
        startup_signals.install()
        options = parse_serve_options(arguments[1:])
        if options is not None:
            from garnetpaddle.commands.serve import serve

            return serve(options.trace, options.operator, startup_signals)
    from garnetpaddle.commands import main as run_command

    return run_command(arguments, startup_signals)


if __name__ == "__main__":
    sys.exit(main())
