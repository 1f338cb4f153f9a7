"""Builds and connects the stages of the assigner and runs them until SIGTERM."""

import asyncio
import os
import signal
from dataclasses import dataclass

import structlog

from garnetpaddle import boot
from garnetpaddle import interface as gp
from garnetpaddle.brain import Brain
from garnetpaddle.net import configuration
from garnetpaddle.net import log as log_output
from garnetpaddle.net import message_codec as codec
from garnetpaddle.net.configuration import parse_address
from garnetpaddle.net.decision_log import DecisionLog
from garnetpaddle.net.decision_loop import DecisionLoop, make_clock
from garnetpaddle.net.event_subscription import EventSubscription
from garnetpaddle.net.listener import Listener
from garnetpaddle.net.order_codec import MarkTranslator
from garnetpaddle.net.order_sender import OrderSender
from garnetpaddle.net.prober import Prober
from garnetpaddle.net.reload import Reload
from garnetpaddle.net.startup_signals import TERMINATION_SIGNALS, StartupSignals
from garnetpaddle.net.task_list_codec import task_lines
from garnetpaddle.net.task_list_watch import TaskAddresses, TaskListWatch

PROBE_SHARE, PEER_SHARE = 0.25, 0.5  # of limits.sockets: for probes, for connections to the listener
RESTART_DELAY = 0.2  # s before a stage is restarted after an unexpected error
log = structlog.get_logger()


@dataclass
class OrderHandlers:
    """The handlers of the decision loop's orders."""

    submit: object
    probe: object
    watch: object


async def run_with_restarts(name, run):
    """Runs a stage forever; an error restarts the stage and does not end the assigner."""
    while True:
        try:
            await run()
        except Exception:
            log.exception("stage_failed", stage=name)
        await asyncio.sleep(RESTART_DELAY)


def exit_process():
    """Ends the process without another iteration of the event loop. A regular shutdown of asyncio would write
    orders that are ready and restore the default signal actions, so that a second SIGTERM would change the
    exit code."""
    log.info("stopped")
    os._exit(0)


def log_unhandled(_, context):
    """Logs errors that no stage has caught, such as a connection that could not be accepted."""
    log.error("loop_fault", why=context.get("message", ""), exc_info=context.get("exception"))


def build_front_ends(operator_configuration, settings, parameters, addresses, decision_loop):
    """The front ends of the operator's file, which serve external load balancers directly and not through the
    relay. Imported here: an assigner without them must not load them."""
    from garnetpaddle.front_ends import FrontEnds

    front_ends = FrontEnds(
        operator_configuration, settings, parameters, addresses, decision_loop.now, decision_loop.publish
    )
    decision_loop.observers.append(front_ends.publish_snapshot)
    return front_ends


def handle_signals(loop, reload, startup_signals):
    """Sets the event loop's signal handlers; an earlier SIGHUP causes a reload now."""
    for number in TERMINATION_SIGNALS:
        loop.add_signal_handler(number, exit_process)
    loop.add_signal_handler(signal.SIGHUP, reload.requested.set)
    if startup_signals.hand_over():
        reload.requested.set()


async def run(config, path, startup_signals, trace, operator_configuration=None):
    """Builds, connects and runs the stages; returns only if the Brain fails, with the exit code."""
    loop = asyncio.get_running_loop()
    settings, seed = config.settings, configuration.parse_seed(config)
    # settings.specifics.agents is the number of proxies.
    known_names = codec.KnownNames(
        {route.name: number for number, route in enumerate(settings.categories)},
        tuple(settings.azs),
        settings.specifics.agents,
    )
    handlers, addresses, marks = OrderHandlers(None, None, None), TaskAddresses(), MarkTranslator(seed)
    parameters = boot.derive_parameters(settings)
    if trace:
        print(f"trace 0 {parameters}", flush=True)
    decision_loop = DecisionLoop(Brain(parameters, seed), make_clock(), handlers, settings.quantum, trace)
    decision_log = DecisionLog(decision_loop.brain, parameters.warm_after)
    decision_loop.observers.append(decision_log.observe)
    relay_address, max_sockets = parse_address(config.store.address, "store.address"), config.limits.sockets
    order_sender = OrderSender(relay_address, list(known_names.routes), marks, decision_loop.publish)
    addresses.update(config.known)
    prober = Prober(
        addresses, decision_loop.publish, settings.reporting.how != "none", int(max_sockets * PROBE_SHARE)
    )
    task_list_watch = TaskListWatch(
        parse_address(config.discovery, "discovery"),
        addresses,
        decision_loop.publish,
        settings.discovery == "ask",
        config.known.generation,
        decision_loop.now,
    )
    handlers.submit, handlers.probe, handlers.watch = (
        order_sender.submit,
        prober.start,
        task_list_watch.subscribe,
    )
    front_ends = (
        build_front_ends(operator_configuration, settings, parameters, addresses, decision_loop)
        if operator_configuration
        else None
    )
    if front_ends:
        handlers.submit = lambda orders: (
            order_sender.submit(relay_orders)
            if (relay_orders := front_ends.platform_orders(orders))
            else None
        )
    known_lines = task_list_watch.start_times.convert_known(decision_loop.now(), task_lines(config.known))
    decision_loop.publish(gp.TaskListReceived("stale", known_lines))

    def move_relay(new_address):
        order_sender.move(new_address)
        event_subscription.move(new_address)

    event_subscription = EventSubscription(relay_address, marks, decision_loop.publish)
    reload = Reload(path, config, {"discovery": task_list_watch.move, "store.address": move_relay})
    loop.set_exception_handler(log_unhandled)
    handle_signals(loop, reload, startup_signals)
    listener = Listener(decision_loop.publish, known_names, int(max_sockets * PEER_SHARE))
    await listener.open(parse_address(config.listen, "listen"))
    stages = [
        ("discovery", task_list_watch),
        ("news", event_subscription),
        ("calls", order_sender),
        ("listener", listener),
        ("reload", reload),
    ]
    if front_ends:
        await front_ends.open()
        stages.append(("fronts", front_ends))
    tasks = [asyncio.create_task(run_with_restarts(name, stage.run)) for name, stage in stages]
    decision_task = asyncio.create_task(decision_loop.run())
    log.info("serving", listen=config.listen, tasks=len(config.known.instances))
    await asyncio.wait([decision_task])
    # After an error the brain's state is undefined: exit with an error, so that a new process starts afresh.
    log.error("brain_failed", exc_info=decision_task.exception(), stages=len(tasks))
    return 1


def main(config, path, startup_signals=None, trace=False, operator_configuration=None):
    """Serves until SIGTERM; returns the exit code. startup_signals: the installed ones, if any, since
    signals may have come already. operator_configuration: operator.OperatorConfiguration, if any."""
    log_output.configure_logging(config.name)
    try:
        return asyncio.run(
            run(config, path, startup_signals or StartupSignals(), trace, operator_configuration)
        )
    except OSError as error:
        log.error("cannot_listen", listen=config.listen, why=error.strerror or str(error))
        return 1
