"""Sends signals to `serve` at chosen points of its start, in one forked child per try.

A separate program: it has a single thread, so it can fork, and a try takes milliseconds. It prints a JSON
object: the number of tries, the exit codes with their counts, and the tries that exceeded the time limit.
"""

import argparse
import asyncio
import collections
import dataclasses
import errno
import functools
import itertools
import json
import os
import pathlib
import random
import runpy
import select
import signal
import sys
import tempfile
import time
import traceback
import types

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))
MAX_OFFSET_NS = 60_000  # from the open of the fifo to the signal; the read begins within it
RAISED = 99  # exit code of a child that raised
RELOAD_REQUESTED, RELOAD_NOT_REQUESTED = 3, 4  # exit codes
LOOP_ITERATIONS = 10  # more than a signal in the wakeup descriptor needs to reach its handler


@dataclasses.dataclass
class Result:
    """The exit code of a try, or None if it exceeded the time limit; and what the child wrote to its pipe."""

    code: int | None
    output: bytes


def start_serve(serve):
    """Runs garnetpaddle's `__main__` as `garnetpaddle serve`, with this function in place of the command."""
    command = types.ModuleType("garnetpaddle.commands.serve")
    command.serve = serve
    sys.modules["garnetpaddle.commands"] = types.ModuleType("garnetpaddle.commands")
    sys.modules["garnetpaddle.commands.serve"] = command
    sys.argv = ["garnetpaddle", "serve"]
    runpy.run_module("garnetpaddle", run_name="__main__")


def read_with_signals_before(signals):
    """A blocking read right after the signals, without a signal check of the interpreter in between.

    The iterators call killpg and read from C code, which checks for signals only when a call is interrupted.
    """

    def serve(*_):
        read_end, _write_end = os.pipe()
        sent = map(os.killpg, itertools.repeat(0), signals)
        sizes = map(len, map(list, [sent]))
        collections.deque(map(os.read, [read_end], sizes), maxlen=0)

    return lambda ready: start_serve(serve)


def read_fifo(path):
    """Opens the fifo, which blocks until it has a writer, and blocks in a read, since nothing is written."""

    def serve(*_):
        with open(path, "rb") as file:
            file.read()

    return lambda ready: start_serve(serve)


def open_writer(path):
    """Opens the fifo for writing as soon as it has a reader."""
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise


def signal_after_open(path, pid, rng):
    """Sends SIGTERM at a random offset from the open; busy-waits, since the read starts within 70 us.

    Returns the write end, to be closed once the child has ended.
    """
    writer = open_writer(path)
    deadline = time.perf_counter_ns() + rng.randrange(MAX_OFFSET_NS)
    while time.perf_counter_ns() < deadline:
        pass
    os.kill(pid, signal.SIGTERM)
    return writer


def hand_over_with_a_signal(number, line):
    """Sends the signal at the given line of the hand-over to the event loop, counting asyncio's own lines.

    If the hand-over has fewer lines, the child writes a byte and sends the signal after the last one.
    """

    async def run(startup_signals, ready):
        from garnetpaddle.net import serve
        from garnetpaddle.net import startup_signals as startup

        traced = [module.__file__ for module in (asyncio.unix_events, serve, startup)]
        reload = types.SimpleNamespace(requested=asyncio.Event())
        lines = itertools.count()

        def trace(frame, event, argument):
            if frame.f_code.co_filename not in traced:
                return None
            if event == "line" and next(lines) == line:
                os.killpg(0, number)
            return trace

        sys.settrace(trace)
        serve.handle_signals(asyncio.get_running_loop(), reload, startup_signals)
        sys.settrace(None)
        if next(lines) <= line:
            os.write(ready, b".")
            os.killpg(0, number)
        if number != signal.SIGHUP:
            await asyncio.Event().wait()
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        return RELOAD_REQUESTED if reload.requested.is_set() else RELOAD_NOT_REQUESTED

    def child(ready):
        start_serve(lambda trace, operator, startup_signals: asyncio.run(run(startup_signals, ready)))

    return child


def run_child(child, ready):
    """Runs the child and exits with its exit code, whatever happens."""
    code = RAISED
    try:
        os.setsid()  # killpg(0, ...) reaches no other process
        child(ready)
    except SystemExit as end:
        code = end.code if isinstance(end.code, int) else RAISED
    except BaseException:
        traceback.print_exc()
    finally:
        sys.stderr.flush()
        os._exit(code)


def try_once(child, limit, during=lambda pid: None):
    """Makes a try. during: runs in the parent; may return a descriptor to close when the child has ended."""
    ready, child_ready = os.pipe()
    pid = os.fork()
    if pid == 0:
        os.close(ready)
        run_child(child, child_ready)
    os.close(child_ready)
    kept_open = during(pid)
    pidfd = os.pidfd_open(pid)
    poll = select.poll()
    poll.register(pidfd, select.POLLIN)
    ended = bool(poll.poll(limit * 1_000))
    if not ended:
        os.kill(pid, signal.SIGKILL)
    code = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
    output = os.read(ready, 1)
    for descriptor in filter(None, (pidfd, ready, kept_open)):
        os.close(descriptor)
    return Result(code if ended else None, output)


def results(options):
    """Makes the tries of one kind; yields the Result of each."""
    rng = random.Random(options.seed)
    signals = [signal.Signals[name] for name in options.signals]
    if options.kind == "hand-over":
        from garnetpaddle.net import serve  # noqa: F401  # imported once, before the forks

        for line in itertools.count():
            yield (result := try_once(hand_over_with_a_signal(signals[0], line), options.limit))
            if result.output:
                return
    if options.kind == "before-read":
        for _ in range(options.count):
            yield try_once(read_with_signals_before(signals), options.limit)
    if options.kind == "offset":
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, "fifo")
            os.mkfifo(path)
            for _ in range(options.count):
                during = functools.partial(signal_after_open, path, rng=rng)
                yield try_once(read_fifo(path), options.limit, during)


def main():
    """Makes the tries and prints their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["before-read", "offset", "hand-over"])
    parser.add_argument("signals", nargs="+")
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--limit", type=float, default=5.0, help="time limit of a try in seconds")
    parser.add_argument("--hung-most", type=int, default=3, help="stop after this many hung tries")
    options = parser.parse_args()
    codes, hung, tries = collections.Counter(), [], 0
    for result in results(options):
        if result.code is None:
            hung.append(tries)
        else:
            codes[result.code] += 1
        tries += 1
        if len(hung) >= options.hung_most:
            break
    print(json.dumps({"tries": tries, "codes": codes, "hung": hung}))


if __name__ == "__main__":
    main()
