"""Fake tasks, which only answer probes; all tasks of the list share a few ports."""

from benchmarks.scaling import http_server

LOAD_REPORT = b"TEXT inflight=2, queue=0, util=0.30"
PORTS = 100  # shared by all tasks; silencing one task silences all tasks on its port


class ProbeProtocol(http_server.RequestProtocol):
    """One keep-alive connection of a prober."""

    def __init__(self, counter, number, silent):
        super().__init__(counter)
        self.number, self.silent = number, silent

    def request(self, method, target, body):
        """Answers liveness and load probes; does not answer on a silenced port."""
        if self.number in self.silent:
            return
        if target == "/metrics/load":
            self.answer(LOAD_REPORT, "text/plain")
        elif target == "/alive":
            self.answer(b"", "text/plain")
        else:
            self.answer(b"", "text/plain", "404 Not Found")


class FakeTasks:
    """The listening ports of all tasks of the list."""

    def __init__(self, counter):
        self.counter, self.servers, self.ports, self.silent = counter, [], [], set()

    async def open(self):
        """Opens all ports."""
        for number in range(PORTS):
            server, port = await http_server.listen(
                lambda number=number: ProbeProtocol(self.counter, number, self.silent)
            )
            self.servers.append(server)
            self.ports.append(port)

    def silence(self, addresses):
        """Stops answering on the ports of these addresses; connections are still accepted and kept open."""
        ports = {int(address.rpartition(":")[2]) for address in addresses}
        self.silent |= {number for number, port in enumerate(self.ports) if port in ports}

    def address(self, number):
        """The address of a task."""
        return f"127.0.0.1:{self.ports[number % PORTS]}"
