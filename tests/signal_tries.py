"""Sends `serve` signals at chosen moments of its start, once in each of many forked children.

A program of its own: it has one thread, so it may fork, and a try costs milliseconds. It prints one JSON
object: the exit codes with their counts, and the tries that had not ended within the limit.
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
OFFSET_MOST = 60_000  # ns from the open of the fifo to the signal; the read begins within it
FAULT = 99  # exit code of a child that raised
KEPT, NOT_KEPT = 3, 4  # exit codes: whether a SIGHUP is acted on
LOOP_TURNS = 10  # more than a signal's byte needs to reach its handler


@dataclasses.dataclass
class Result:
    """How a try ended: the exit code, or None if it had not ended within the limit; what the child said."""

    code: int | None
    word: bytes


def start_serve(serve):
    """Runs the program's own `__main__` as `garnetpaddle serve`, with this function for the command."""
    command = types.ModuleType("garnetpaddle.commands.serve")
    command.serve = serve
    sys.modules["garnetpaddle.commands"] = types.ModuleType("garnetpaddle.commands")
    sys.modules["garnetpaddle.commands.serve"] = command
    sys.argv = ["garnetpaddle", "serve"]
    runpy.run_module("garnetpaddle", run_name="__main__")


def read_with_signals_before(signals):
    """A blocking read that is entered right after the signals, with no check of the interpreter's between.

    The iterators call killpg and read from C, and neither looks for signals unless it is interrupted.
    """

    def serve(*_):
        silent, _write_end = os.pipe()
        sent = map(os.killpg, itertools.repeat(0), signals)
        sizes = map(len, map(list, [sent]))
        collections.deque(map(os.read, [silent], sizes), maxlen=0)

    return lambda ready: start_serve(serve)


def read_fifo(path):
    """Opens the fifo, which returns once it has a writer, and reads what never comes."""

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


def signal_after_open(path, pid, seeded):
    """SIGTERM at an offset from the open that the seed draws; waits in loops, as the read comes within 70 us.

    Returns the writer's end, to be closed once the child has ended.
    """
    writer = open_writer(path)
    due = time.perf_counter_ns() + seeded.randrange(OFFSET_MOST)
    while time.perf_counter_ns() < due:
        pass
    os.kill(pid, signal.SIGTERM)
    return writer


def hand_over_with_a_signal(number, line):
    """The signal comes at this line of the hand-over to the loop, asyncio's own lines counted.

    The child says a word if the hand-over has no such line; the signal comes behind the last one then.
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
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        return KEPT if reload.requested.is_set() else NOT_KEPT

    def child(ready):
        start_serve(lambda trace, operator, startup_signals: asyncio.run(run(startup_signals, ready)))

    return child


def run_child(child, ready):
    """Ends the forked child with the program's exit code, whatever happens."""
    code = FAULT
    try:
        os.setsid()  # killpg(0, ...) reaches nobody else
        child(ready)
    except SystemExit as end:
        code = end.code if isinstance(end.code, int) else FAULT
    except BaseException:
        traceback.print_exc()
    finally:
        sys.stderr.flush()
        os._exit(code)


def try_once(child, limit, act=lambda pid: None):
    """One try. act: what this program does meanwhile; it may return a descriptor that is to stay open."""
    ready, ready_of_child = os.pipe()
    pid = os.fork()
    if pid == 0:
        os.close(ready)
        run_child(child, ready_of_child)
    os.close(ready_of_child)
    kept = act(pid)
    descriptor = os.pidfd_open(pid)
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    ended = bool(poll.poll(limit * 1_000))
    if not ended:
        os.kill(pid, signal.SIGKILL)
    code = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
    word = os.read(ready, 1)
    for each in filter(None, (descriptor, ready, kept)):
        os.close(each)
    return Result(code if ended else None, word)


def results(options):
    """The tries of one kind, each as it ends."""
    seeded = random.Random(options.seed)
    signals = [signal.Signals[name] for name in options.signals]
    if options.kind == "hand-over":
        from garnetpaddle.net import serve  # noqa: F401  # once, before the forks

        for line in itertools.count():
            yield (result := try_once(hand_over_with_a_signal(signals[0], line), options.limit))
            if result.word:
                return
    if options.kind == "before-read":
        for _ in range(options.count):
            yield try_once(read_with_signals_before(signals), options.limit)
    if options.kind == "offset":
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, "fifo")
            os.mkfifo(path)
            for _ in range(options.count):
                act = functools.partial(signal_after_open, path, seeded=seeded)
                yield try_once(read_fifo(path), options.limit, act)


def main():
    """Runs the tries and prints what came of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["before-read", "offset", "hand-over"])
    parser.add_argument("signals", nargs="+")
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--limit", type=float, default=5.0, help="seconds that a try may take")
    parser.add_argument("--hung-most", type=int, default=3, help="after so many hung tries no more are made")
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
