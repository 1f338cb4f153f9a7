"""The adapter's main loop over the simulator's batches of messages, each from MARK to FLUSH.

At a FLUSH, each instance's Brain handles the events of the batch, and its orders are written, then ACK."""

import sys
import traceback

import msgspec

from garnetpaddle.boot import derive_parameters
from garnetpaddle.brain import Brain
from garnetpaddle.wirehost import translate, wire


class Instance:
    """One assigner instance. boot: its wire.Boot; routes: route name -> number."""

    def __init__(self, boot):
        self.brain = Brain(derive_parameters(boot.conf), boot.rng_seed)
        self.routes = {route.name: number for number, route in enumerate(boot.conf.categories)}


def process_batch(now, pending, instances, write):
    """Passes each instance its events and writes its orders, then ACK.

    now: the batch's time in tenths of a ms; pending: instance name -> events; instances: name -> Instance. An
    instance that fails is reported with BUG and its traceback on standard error; the others go on."""
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
    """Reads batches until the input ends; returns the exit code: 0, or 2 after an error in the input.

    lines: an iterable of lines as bytes; write, flush: of the output."""
    # instances: name -> Instance; task_lists: bank -> gp.TaskLines; pending: instance name -> events of the
    # batch; now: the batch's time in tenths of a ms, None between batches.
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
                    # The small summand keeps a float that is just below a whole number from being cut off.
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
                # An instance with a message in the batch is run, even if the message gives no event. Messages
                # for unknown instances are ignored.
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
