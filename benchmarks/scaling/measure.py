"""Measures one point of a sweep: real assigners with fake peers, from their start to a task's withdrawal."""

import contextlib
import dataclasses
import multiprocessing
import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from benchmarks.scaling import fake_peers, workload
from benchmarks.scaling.assigner_process import AssignerProcess, free_port
from benchmarks.scaling.reference import reference_ms
from benchmarks.scaling.traffic import LINKS

PEERS_OPEN_TIMEOUT_S = 10.0
REPLY_TIMEOUT_S = 20.0  # for the reply of a fake peers process
POLL_INTERVAL_S = 0.05
MIN_WATCHES = 2  # the second watch is sent once the Brain has processed the whole list
STOP_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations and time limits of one point, in seconds."""

    up: float = 90.0  # from the start to the first `hb_ok`
    bound: float = 12.0  # from the first `hb_ok` until all proxies are bound
    steady: float = 0.5  # between processing discovery's first list and the window
    listed: float = 60.0  # until discovery's first list is processed
    window: float = 3.0  # measured interval; a whole number of report periods
    withdrawal: float = 12.0  # from a drain until no proxy has the task in its table


QUICK = Timing(up=20.0, bound=5.0, steady=0.2, listed=5.0, window=1.0, withdrawal=5.0)


@dataclass(frozen=True, slots=True)
class AssignerResult:
    """Figures of one real assigner at a point; None if the point failed earlier."""

    rank: int
    counted: bool  # whether it ran as `counted_assigner`
    up_s: float | None = None
    first_order_s: float | None = None
    all_bound_s: float | None = None
    proxies_bound: int = 0
    tables: int = 0
    table_lines: int = 0
    start_cpu_s: float | None = None  # CPU time up to the window
    cpu_part: float | None = None  # fraction of one core, over the window
    resident_kb: int | None = None
    peak_kb: int | None = None
    turns_per_s: float | None = None
    beats_per_s: float | None = None
    turn_cpu_ms: float | None = None  # mean CPU time of a turn of the Brain
    events_per_s: float | None = None
    orders_per_s: float | None = None
    list_entries: int | None = None
    own_tasks: int | None = None
    control_bytes_per_s: float | None = None  # all links, both directions
    links: dict = field(default_factory=dict)  # link -> bytes and messages per second, by direction
    orders_refused: int = 0
    channel_wait_s: float | None = None
    withdrawal_holders: int | None = None
    withdrawal_s: float | None = None
    withdrawal_why_none: str = ""


@dataclass(frozen=True, slots=True)
class PointResult:
    """Results of a point; `failure` gives the reason if they are missing or incomplete."""

    dimension: str
    size: float
    run: int
    seed: int
    workload: workload.Workload
    window_s: float
    assigners: list
    failure: str = ""
    reference_ms: float | None = None  # CPU time of the reference computation, during the window


class PeerProcess:
    """Handle to the process that runs the fake peers of one assigner."""

    def __init__(self, params, rank, seed):
        context = multiprocessing.get_context("spawn")
        self.pipe, child_pipe = context.Pipe()
        self.process = context.Process(
            target=fake_peers.run, args=(child_pipe, params, rank, seed), daemon=True
        )
        self.process.start()
        child_pipe.close()
        self.listening = None

    def receive(self, limit=REPLY_TIMEOUT_S):
        """Receives the next message of the process."""
        if not self.pipe.poll(limit):
            raise TimeoutError("a fake peers process does not answer")
        return self.pipe.recv()

    def request(self, message):
        """Sends a command and receives its reply."""
        self.pipe.send(message)
        return self.receive()

    def snapshot(self):
        """The current snapshot of the fake peers."""
        return self.request(fake_peers.GetSnapshot())

    def stop(self):
        """Stops the process, and kills it after a timeout."""
        with contextlib.suppress(OSError):
            self.pipe.send(fake_peers.Stop())
        self.process.join(STOP_TIMEOUT_S)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()


@dataclass(slots=True)
class Sample:
    """All counters of one assigner at one time."""

    at: float
    peers: fake_peers.Snapshot
    usage: object
    turn_counts: object


class Point:
    """Runs one point; `close` stops all processes that it started."""

    def __init__(self, params, seed, timing):
        self.params, self.seed, self.timing = params, seed, timing
        self.peer_processes, self.assigners, self.results, self.bind_failures = [], [], {}, []
        self.reference_ms = None
        self.directory = tempfile.TemporaryDirectory(prefix="scale-")

    def open(self):
        """Starts the fake peers, then the assigners."""
        ranks = range(min(workload.ASSIGNER_PROCESSES, self.params.assigners))
        self.peer_processes = [PeerProcess(self.params, rank, self.seed) for rank in ranks]
        for peers in self.peer_processes:
            peers.listening = peers.receive(PEERS_OPEN_TIMEOUT_S)
        for rank, peers in zip(ranks, self.peer_processes, strict=True):
            configuration = workload.configuration(
                self.params,
                rank,
                self.seed,
                f"127.0.0.1:{free_port()}",
                f"127.0.0.1:{peers.listening.relay_port}",
                f"127.0.0.1:{peers.listening.discovery_port}",
                peers.listening.task_entries,
            )
            counted = rank % 2 == 1
            self.assigners.append(AssignerProcess(self.directory.name, rank, configuration, counted))
            self.results[rank] = AssignerResult(rank, counted)
        for assigner, peers in self.pairs():
            assigner.start()
            peers.pipe.send(fake_peers.WatchAssigner(assigner.process.pid))

    def close(self):
        """Stops the assigners and the fake peers; returns the last output lines of each assigner."""
        last_output = [assigner.stop() for assigner in self.assigners]
        for peers in self.peer_processes:
            peers.stop()
        self.directory.cleanup()
        return last_output

    def add(self, rank, **figures):
        """Stores figures in an assigner's result."""
        self.results[rank] = dataclasses.replace(self.results[rank], **figures)

    def pairs(self):
        """Each assigner with its fake peers."""
        return list(zip(self.assigners, self.peer_processes, strict=True))

    def wait_for_heartbeats(self):
        """Waits for the first heartbeat answers, then connects the collectors."""
        with ThreadPoolExecutor(len(self.assigners)) as pool:
            times = list(pool.map(lambda assigner: assigner.wait_until_up(self.timing.up), self.assigners))
        for (assigner, peers), up_time in zip(self.pairs(), times, strict=True):
            self.add(assigner.rank, up_s=up_time)
            peers.pipe.send(fake_peers.StartCollectors(assigner.address))
        if None in times:
            raise TimeoutError(f"no hb_ok within {self.timing.up:g} s of the start")

    def wait_until_bound(self):
        """Waits until every proxy is bound, up to the time limit."""
        deadline = time.monotonic() + self.timing.bound
        waiting = self.pairs()
        while waiting and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)
            waiting = [pair for pair in waiting if pair[1].snapshot().all_bound_at is None]
        for assigner, peers in self.pairs():
            snapshot = peers.snapshot()
            times = {"first_order_s": snapshot.first_order_at, "all_bound_s": snapshot.all_bound_at}
            self.add(assigner.rank, **{k: at and at - assigner.started_at for k, at in times.items()})
            if snapshot.all_bound_at is None:
                self.bind_failures.append(
                    f"assigner {assigner.rank}: {snapshot.proxies_bound} of {self.params.proxies} proxies "
                    f"bound {self.timing.bound:g} s after its hb_ok"
                )

    def wait_until_listed(self):
        """Waits until each assigner has processed discovery's list, up to the time limit."""
        deadline, waiting = time.monotonic() + self.timing.listed, self.pairs()
        while waiting and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)
            waiting = [pair for pair in waiting if pair[1].snapshot().watches < MIN_WATCHES]

    def take_samples(self):
        """The current counters of all assigners."""
        return [
            Sample(time.monotonic(), peers.snapshot(), assigner.usage(), assigner.turn_counts())
            for assigner, peers in self.pairs()
        ]

    def measure_window(self):
        """Measures the window while the workload's changes run."""
        for _, peers in self.pairs():
            peers.pipe.send(fake_peers.StartChanges())
        self.reload_for(self.timing.steady)
        before = self.take_samples()
        self.reference_ms = reference_ms()
        self.reload_for(self.timing.window)
        for assigner, earlier, later in zip(self.assigners, before, self.take_samples(), strict=True):
            self.add(assigner.rank, **window_figures(earlier, later))

    def reload_for(self, seconds):
        """Sleeps, and sends SIGHUP at the workload's rate meanwhile."""
        started_at, sent = time.monotonic(), 0
        while (now := time.monotonic()) < started_at + seconds:
            if self.params.reloads and now >= started_at + sent / self.params.reloads:
                for assigner in self.assigners:
                    assigner.reload()
                sent += 1
            due = started_at + sent / self.params.reloads if self.params.reloads else started_at + seconds
            time.sleep(max(0.0, min(due, started_at + seconds) - time.monotonic()))

    def measure_withdrawal(self):
        """Drains, restarts or silences tasks; waits until no proxy has them in its table."""
        for rank, (_, peers) in enumerate(self.pairs()):
            held = peers.request(fake_peers.GetHeldTasks())
            generator = workload.seeded_random(self.seed, "withdrawal", rank)
            if self.params.burst:
                names = [entry["instanceId"] for entry in peers.listening.task_entries]
                count = len(names) * self.params.burst // 100
                peers.pipe.send(fake_peers.RestartTasks(tuple(generator.sample(names, count))))
            elif held and self.params.silent:
                count = max(1, round(len(held) * self.params.silent / 100))
                peers.pipe.send(fake_peers.SilenceTasks(tuple(generator.sample(held, count))))
            elif held:
                peers.pipe.send(fake_peers.DrainTasks((generator.choice(held),)))
            else:
                self.add(rank, withdrawal_why_none="no proxy holds a line")
        self.wait_for_holders()

    def wait_for_holders(self):
        """Waits until no proxy has a withdrawn task in its table, up to the time limit."""
        deadline, waiting = time.monotonic() + self.timing.withdrawal, self.pairs()
        while waiting and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)
            waiting = [pair for pair in waiting if pair[1].snapshot().withdrawal_holders]
        for assigner, peers in self.pairs():
            snapshot, reason = peers.snapshot(), self.results[assigner.rank].withdrawal_why_none
            if snapshot.withdrawal_holders:
                reason = (
                    f"{snapshot.withdrawal_holders} proxies held it still after {self.timing.withdrawal:g} s"
                )
            self.add(
                assigner.rank,
                withdrawal_s=snapshot.withdrawal_s,
                withdrawal_holders=snapshot.withdrawal_holders,
                withdrawal_why_none=reason,
            )


def window_figures(earlier, later):
    """The figures of the window between two samples."""
    span = later.at - earlier.at
    traffic = later.peers.traffic.since(earlier.peers.traffic)
    links = {
        link: {key: value / span for key, value in dataclasses.asdict(getattr(traffic, link)).items()}
        for link in LINKS
    }
    figures = {
        "proxies_bound": later.peers.proxies_bound,
        "tables": later.peers.tables,
        "table_lines": later.peers.table_lines,
        "start_cpu_s": earlier.usage.cpu_s,
        "cpu_part": (later.usage.cpu_s - earlier.usage.cpu_s) / span,
        "resident_kb": later.usage.resident_kb,
        "peak_kb": later.usage.peak_kb,
        "links": links,
        "control_bytes_per_s": sum(
            link["bytes_from_assigner"] + link["bytes_to_assigner"] for link in links.values()
        ),
        "orders_refused": later.peers.relay.refused,
        "channel_wait_s": later.peers.channel_wait_s,
    }
    return figures | (turn_figures(earlier.turn_counts, later.turn_counts, span) if later.turn_counts else {})


def turn_figures(earlier, later, span):
    """The figures of the Brain's turns between two samples."""
    counts = later.since(earlier)
    return {
        "turns_per_s": counts.turns / span,
        "beats_per_s": counts.beats / span,
        "turn_cpu_ms": counts.cpu_s / counts.turns * 1_000 if counts.turns else None,
        "events_per_s": counts.events / span,
        "orders_per_s": counts.orders / span,
        "list_entries": counts.list_entries,
        "own_tasks": counts.own_tasks,
    }


def run_point(dimension, size, run, params, seed, timing):
    """Runs one point; returns its results, or the reason of its failure."""
    point, failure, last_output = Point(params, seed, timing), "", []
    try:
        point.open()
        point.wait_for_heartbeats()
        point.wait_until_bound()
        point.wait_until_listed()
        point.measure_window()
        point.measure_withdrawal()
    except (OSError, EOFError, TimeoutError) as error:
        failure = f"{type(error).__name__}: {error}"
    finally:
        last_output = point.close()
    if failure:
        failure += " | last output: " + " / ".join(text.replace("\n", " ; ")[-300:] for text in last_output)
    failure = "; ".join([*point.bind_failures, *([failure] if failure else [])])
    results = [dataclasses.asdict(point.results[rank]) for rank in sorted(point.results)]
    return PointResult(
        dimension, size, run, seed, params, timing.window, results, failure, point.reference_ms
    )


def median_of(results, figure):
    """The median of a figure over a point's assigners; None if no assigner has it."""
    values = [result[figure] for result in results if result.get(figure) is not None]
    return statistics.median(values) if values else None
