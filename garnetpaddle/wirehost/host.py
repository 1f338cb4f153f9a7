"""Reads batches of messages, passes each instance its events and writes the orders back."""

import sys
import traceback

import msgspec

from garnetpaddle.boot import derive_parameters
from garnetpaddle.brain import Brain
from garnetpaddle.wirehost import translate, wire


class Instance:
    """One assigner instance: its Brain, and the numbers of its routes by name."""

    def __init__(self, boot):
        self.brain = Brain(derive_parameters(boot.conf), boot.rng_seed)
        self.routes = {c.name: k for k, c in enumerate(boot.conf.categories)}


def process_batch(now, pending, instances, write):
    """Passes each instance its events and writes the orders back."""
    for instance, events in pending.items():
        try:
            for order in instances[instance].brain.handle(now, events):
                write(wire.encode(translate.order_message(instance, order)) + b"\n")
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            text = f"{type(error).__name__}: {error}"
            write(wire.encode({"msg": "BUG", "i": instance, "text": text}) + b"\n")
    write(b'{"msg":"ACK"}\n')


def serve(lines, write, flush):
    """Reads batches until the input ends; returns the exit code."""
    instances, task_lists, pending, now = {}, {}, {}, None
    for line_number, line in enumerate(lines, 1):
        try:
            if not line.strip():
                continue
            message = wire.decode(line)
            if now is None and not isinstance(message, wire.Mark):
                raise ValueError("field msg: a batch must begin with MARK")
            match message:
                case wire.Mark():
                    if now is not None:
                        raise ValueError("field msg: MARK before the FLUSH of the previous batch")
                    now = int(message.wall * 10_000 + 1e-4)
                case wire.Flush():
                    process_batch(now, pending, instances, write)
                    flush()
                    pending, now = {}, None
                case wire.SnapshotRows():
                    task_lists[message.bank] = translate.task_lines(message.elements)
                case wire.Boot():
                    instances[message.i] = Instance(message)
                    pending[message.i] = []
                case wire.PowerOff():
                    instances.pop(message.i, None)
                    pending.pop(message.i, None)
                case _ if message.i in instances:
                    event = translate.message_event(message, task_lists, instances[message.i].routes)
                    pending.setdefault(message.i, [])
                    if event is not None:
                        pending[message.i].append(event)
        except (msgspec.DecodeError, ValueError) as error:
            print(f"wirehost: line {line_number}: {error}", file=sys.stderr)
            return 2
    if now is not None:
        print("wirehost: input ended within a batch: field msg: FLUSH is missing", file=sys.stderr)
        return 2
    return 0
