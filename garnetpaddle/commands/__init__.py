"""The subcommands of the command line. `serve` (commands.serve) needs no extra library; the others use click.

Exit codes: 0 for success, 1 for a failure, 2 for invalid usage or input, with one line that says why. The
entry point is main(arguments, startup_signals)."""


def main(arguments, startup_signals=None):
    """Runs a command; returns its exit code."""
    try:
        from garnetpaddle.commands import line
    except ModuleNotFoundError as error:
        if error.name not in ("click", "rich"):
            raise
        return report_missing_library(error.name, "cli")
    return line.main(arguments, startup_signals)


def report_missing_library(library, extra):
    """Prints how to install a missing library; returns the exit code."""
    import sys

    print(f"garnetpaddle: {library} is not installed: pip install 'garnetpaddle[{extra}]'", file=sys.stderr)
    return 2
