"""The command line: `serve` by itself, in as little memory as it can be; all the rest on click."""

import os
import signal

early = []  # a SIGHUP that comes before there is anything to reload waits here, and ends nothing
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))
    # Raised as an exception it could come out of any import, with a traceback.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))

import sys  # noqa: E402


def plain(arguments):
    """The words of a `serve` that needs no help: {"trace": ..., "operator": ...}, else None. click costs
    4 MB and a fifth of the start, and on the platform `serve` is all that is ever run."""
    if arguments[:1] != ["serve"]:
        return None
    given, rest = {"trace": False, "operator": os.environ.get("GARNET_OPERATOR") or None}, arguments[1:]
    while rest:
        word = rest.pop(0)
        if word == "--trace":
            given["trace"] = True
        elif word.startswith("--operator=") and word[11:]:
            given["operator"] = word[11:]
        elif word == "--operator" and rest and not rest[0].startswith("-"):
            given["operator"] = rest.pop(0)
        else:
            return None
    return given


def main(arguments=None):
    """Runs a command; returns its exit code."""
    arguments = sys.argv[1:] if arguments is None else list(arguments)
    given = plain(arguments)
    if given is not None:
        from garnetpaddle.commands.serve import serve

        return serve(given["trace"], given["operator"], early)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)  # of an assigner only is it the ordinary end
    from garnetpaddle.commands import main as commands

    return commands(arguments, early)


if __name__ == "__main__":
    sys.exit(main())
