"""Toy peers of one assigner, on 127.0.0.1: discovery (7100), a relay (7200), three tasks, a collector.

    python examples/toys.py          # first terminal
    ROUTER_CONFIG=examples/assigner.json python -m garnetpaddle serve     # second terminal

Calls are only simulated: each second the collector reports calls distributed by the current table, to tasks
with different fixed latencies. The relay prints the table whenever an order changes it. After 30 s one task
is listed as leaving. Discovery and the relay also listen one port higher, to try a reload with SIGHUP.
"""

import asyncio
import json
import re
from urllib.parse import parse_qs

ASSIGNER, DISCOVERY, RELAY = ("127.0.0.1", 7000), ("127.0.0.1", 7100), ("127.0.0.1", 7200)
# Port, and latency in ms at an even share of the calls.
TASKS = {"quick": (7301, 40.0), "middling": (7302, 80.0), "slow": (7303, 160.0)}
PROXIES, CALLS_PER_S, LEAVING_AFTER_S = (0, 1), 60, 30.0

relay_table, event_streams, slow_is_leaving = {}, [], asyncio.Event()


def log(text):
    print(f"{asyncio.get_running_loop().time() - started_at:6.1f} s  {text}", flush=True)


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    size = re.search(r"content-length: (\d+)", head.lower())
    body = await reader.readexactly(int(size[1])) if size else b""
    return head.split()[1], body.decode()


def send_response(writer, body, kind="application/json"):
    head = f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write((head + body).encode())


async def serve_discovery(reader, writer):
    while True:
        path, _ = await read_request(reader)
        query = {word: int(number) for word, number in re.findall(r"(\w+)=(\d+)", path)}
        since, wait = query.get("since", 0), query.get("timeout_ms", 0)
        if since >= (2 if slow_is_leaving.is_set() else 1):
            try:
                await asyncio.wait_for(
                    asyncio.Event().wait() if since == 2 else slow_is_leaving.wait(), wait / 1_000
                )
            except TimeoutError:
                send_response(writer, json.dumps({"generation": since, "reset": False, "instances": []}))
                continue
        send_response(
            writer,
            json.dumps(
                {
                    "generation": 2 if slow_is_leaving.is_set() else 1,
                    "reset": True,
                    "instances": [
                        {
                            "instanceId": name,
                            "hostPort": f"127.0.0.1:{port}",
                            "zone": "north",
                            "machineType": "box",
                            "cell": 0,
                            "lifecycle": "leaving"
                            if name == "slow" and slow_is_leaving.is_set()
                            else "active",
                            "weight": 1.0,
                            "startedAtMs": 0,
                        }
                        for name, (port, _) in TASKS.items()
                    ],
                }
            ),
        )


async def serve_relay(reader, writer):
    while True:
        path, body = await read_request(reader)
        if path == "/v1/events":
            return await serve_events(writer)
        orders = parse_qs(body)["changes"][0].split(";")
        before = dict(relay_table)
        for order in orders:
            kind, *words = order.split(",")
            if kind == "put":
                relay_table[words[1]] = float(words[2])
            elif kind == "fence":
                asyncio.get_running_loop().call_later(0.2, send_done_events, words[0])
            elif kind != "put":
                log(f"relay: {order}")
        for name in [name for name, weight in relay_table.items() if not weight]:
            del relay_table[name]
        if relay_table != before:
            log(
                "relay: the table is "
                + ", ".join(f"{name} {weight:g}" for name, weight in relay_table.items())
            )
        taken = f"<Response><entries><item><taken>{len(orders)}</taken></item></entries></Response>"
        send_response(writer, '<?xml version="1.0"?>' + taken, "text/xml")


def format_event(kind, data):
    text = f"event: {kind}\ndata: {data}\n\n" if kind else ":\n\n"
    return f"{len(text):x}\r\n{text}\r\n".encode()


def send_done_events(mark):
    for writer in event_streams:
        for proxy in PROXIES:
            writer.write(format_event("done", f"id={proxy}&seq={mark}&ms=200.0"))


async def serve_events(writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
    for proxy in PROXIES:
        writer.write(format_event("attach", f"id={proxy}&site=north&rps={CALLS_PER_S / len(PROXIES)}&new=1"))
    event_streams.append(writer)
    while not writer.is_closing():
        await asyncio.sleep(1)
        writer.write(format_event("", ""))
    event_streams.remove(writer)


async def serve_task(reader, writer):
    while True:
        await read_request(reader)
        send_response(writer, "TEXT inflight=1", "text/plain")


async def run_collector():
    while True:
        try:
            reader, writer = await asyncio.open_connection(*ASSIGNER)
            writer.write(b"hb\r\n")
            log(f"assigner: {(await reader.readline()).decode().strip()}")
            writer.write(b"telemetry site=north\r\n")
            while not reader.at_eof():
                await asyncio.sleep(1)
                total = sum(relay_table.values())
                for name, weight in relay_table.items():
                    share = weight / total
                    mean = TASKS[name][1] * (0.5 + share * len(TASKS) / 2)
                    count = round(CALLS_PER_S * share)
                    writer.write(
                        f"upstream_stats site=north target={name} count={count} "
                        f"fail=0 mean={mean:.1f} over=1000.0 util=inflight:1\r\n".encode()
                    )
                for proxy in PROXIES:
                    writer.write(
                        f"client_stats id={proxy} lane=read count={CALLS_PER_S // 2} fail=0 "
                        f"over=1000.0\r\n".encode()
                    )
        except OSError:
            await asyncio.sleep(0.5)


def connection_handler(serve):
    async def handle(reader, writer):
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return handle


async def main():
    global started_at
    started_at = asyncio.get_running_loop().time()
    for serve, (host, port) in ((serve_discovery, DISCOVERY), (serve_relay, RELAY)):
        for listen_port in (port, port + 1):
            await asyncio.start_server(connection_handler(serve), host, listen_port)
    for port, _ in TASKS.values():
        await asyncio.start_server(connection_handler(serve_task), "127.0.0.1", port)
    log("toys: ready")
    reporting = asyncio.create_task(run_collector())
    await asyncio.sleep(LEAVING_AFTER_S)
    log("discovery: slow is leaving")
    slow_is_leaving.set()
    await reporting


if __name__ == "__main__":
    asyncio.run(main())
