"""Runs one real assigner as a process: start, heartbeat check, and resource usage from /proc."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass

from benchmarks.scaling import counted_assigner

SERVE_COMMAND = (sys.executable, "-m", "garnetpaddle", "serve")
COUNTED_COMMAND = (sys.executable, "-m", "benchmarks.scaling.counted_assigner")
HEARTBEAT_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 3.0  # from SIGTERM to SIGKILL
ROOT = pathlib.Path(__file__).parent.parent.parent


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of a process."""

    cpu_s: float  # CPU time since its start, all threads
    resident_kb: int
    peak_kb: int


def free_port():
    """A currently free loopback port: the assigner's configuration has to contain its own address."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


class AssignerProcess:
    """A process of `serve`, or of `counted_assigner` if its turns are to be counted."""

    def __init__(self, directory, rank, configuration, counted):
        self.directory, self.rank = pathlib.Path(directory), rank
        self.address = ("127.0.0.1", int(configuration["listen"].rpartition(":")[2]))
        self.config_path = self.directory / f"assigner-{rank}.json"
        self.config_path.write_text(json.dumps(configuration))
        self.counts_path = self.directory / f"counts-{rank}" if counted else None
        self.process = self.started_at = self.output = None

    def start(self):
        """Starts the process."""
        command = SERVE_COMMAND
        if self.counts_path:
            counted_assigner.create_counts_file(self.counts_path)
            command = (*COUNTED_COMMAND, str(self.counts_path))
        self.output = open(self.directory / f"output-{self.rank}", "wb")  # noqa: SIM115 (closed in `end`)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(
            command,
            env=environment | {"ROUTER_CONFIG": str(self.config_path)},
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self.output,
            stderr=subprocess.STDOUT,
        )

    def wait_until_up(self, limit):
        """Seconds from the start to the first `hb_ok`; None on a timeout or if the process exits."""
        deadline = self.started_at + limit
        while time.monotonic() < deadline and self.process.poll() is None:
            with (
                contextlib.suppress(OSError),
                socket.create_connection(self.address, HEARTBEAT_INTERVAL_S) as connection,
            ):
                connection.settimeout(max(HEARTBEAT_INTERVAL_S, deadline - time.monotonic()))
                connection.sendall(b"hb\r\n")
                if connection.recv(16).startswith(b"hb_ok"):
                    return time.monotonic() - self.started_at
            time.sleep(HEARTBEAT_INTERVAL_S)
        return None

    def usage(self):
        """Resource usage so far."""
        proc_directory = pathlib.Path(f"/proc/{self.process.pid}")
        cpu_ns = sum(
            int(schedstat.read_text().split()[0]) for schedstat in proc_directory.glob("task/*/schedstat")
        )
        status = dict(line.split(":", 1) for line in (proc_directory / "status").read_text().splitlines())
        sizes = (int(status[field].split()[0]) for field in ("VmRSS", "VmHWM"))
        return ProcessUsage(cpu_ns / 1e9, *sizes)

    def turn_counts(self):
        """The counts of its turns; None if they are not counted."""
        return counted_assigner.read_counts(self.counts_path) if self.counts_path else None

    def reload(self):
        """Sends SIGHUP, which makes it reload its configuration."""
        self.process.send_signal(signal.SIGHUP)

    def stop(self):
        """Stops it with SIGTERM, then SIGKILL, as the platform does; returns its last lines of output."""
        if self.process is None:
            return ""
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.output.close()
        return "\n".join((self.directory / f"output-{self.rank}").read_text().splitlines()[-3:])
