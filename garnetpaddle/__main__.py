"""The command line."""

import signal

early = []  # a SIGHUP that comes before there is anything to reload waits here, and ends nothing
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))

import argparse  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

from garnetpaddle import __version__  # noqa: E402


def main(arguments=None):
    parser = argparse.ArgumentParser(
        prog="garnetpaddle", description="A traffic director for a fleet of sidecars.")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser(
        "serve", help="run one assigner",
        description="Runs one assigner until SIGTERM; logs to standard output.",
        epilog="It is configured by ROUTER_CONFIG (the path of a JSON file) alone; ROUTER_NAME, "
        "ROUTER_LISTEN and ROUTER_DISCOVERY must agree with it where they are set.")
    serve.add_argument("--trace", action="store_true", help="print every event and order, for short looks")
    check = commands.add_parser(
        "check", help="read a configuration and say what is wrong with it",
        description="Reads a configuration as serve would, starts nothing; exits 0, or 2 naming the field.")
    check.add_argument("file", nargs="?", help="the JSON file; ROUTER_CONFIG where left out")
    commands.add_parser("version", help="print the version")
    given = parser.parse_args(arguments)
    if given.command == "version":
        print(__version__)
        return 0
    from garnetpaddle.net import configuration

    path = getattr(given, "file", None) or os.environ.get("ROUTER_CONFIG")
    try:
        if not path:
            raise configuration.Wrong("ROUTER_CONFIG: not set")
        told = configuration.read(path, os.environ)
    except configuration.Wrong as error:
        print(f"garnetpaddle: {error}", file=sys.stderr)
        return 2
    if given.command == "check":
        print(f"{path}: fine; {told.name} listens at {told.listen}, knows {len(told.known.instances)} tasks")
        return 0
    from garnetpaddle.net import serve

    return serve.main(told, path, early, given.trace)


if __name__ == "__main__":
    sys.exit(main())
