"""Seeded combinations of the pages' disruptions against one assigner; how part one looked for further faults.

    .venv/bin/python review/explore_2.py FOLDER SEED...

Each seed draws a small deployment and several disruptions, plays them for 75 s and says which rule broke.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

import stand_ins_2


class Explore(stand_ins_2.Scenario):
    length = 75.0

    def change_settings(self, settings):
        draw = self.random
        self.tasks_count, self.proxies_count = draw.randint(4, 18), draw.choice((1, 3, 6, 9, 12, 60))
        self.calls_per_s = draw.choice((4.0, 20.0, 90.0))
        specifics, contract = settings["specifics"], settings["contract"]
        specifics["agents"] = self.proxies_count
        kind = draw.choice(("dakar", "dublin", "kochi", "midlands", "harbour"))
        if kind == "dublin":
            settings["discovery"] = "ask"
            specifics |= {"strikes": 3, "base_mode": 0, "egress_per_s": 2700.0, "queue_cap": 4050.0}
            contract |= {"cold": 18.0, "start_capacity": 0.16, "stop_sending_within": 2.0}
        if kind == "kochi":
            specifics |= {
                "strikes": 3,
                "egress_per_s": 4600.0,
                "queue_cap": 4600.0,
                "pushes_allowed": 30,
                "report_every": 2.0,
                "level_kind": "fraction",
            }
            contract |= {"cold": 18.0, "start_capacity": 0.16, "stop_sending_within": 2.0}
        if kind == "midlands":
            specifics |= {
                "strikes": 0,
                "egress_per_s": 2450.0,
                "queue_cap": 3675.0,
                "head": 4.0,
                "pushes_allowed": 20,
                "level_kind": "fraction",
            }
        if kind == "harbour":
            settings["azs"], settings["my_zone"] = ["quay"], "quay"
            specifics |= {
                "strikes": 4,
                "egress_per_s": 1500.0,
                "queue_cap": 1650.0,
                "head": 9.0,
                "pushes_allowed": 11,
                "report_every": 1.7,
                "level_kind": "fraction",
            }
            contract |= {"cold": 12.0, "stop_sending_within": 2.2}
        self.kind, self.starts_told = kind, {}

    def make_tasks(self):
        now = time.time()
        zones = self.settings["azs"]
        recent = self.random.random() < 0.3
        for k in range(self.tasks_count):
            born = now - self.random.uniform(0, 25) if recent else self.random.choice((0.0, now - 300))
            self.add_task(f"s-{k + 1:02d}", zones[k % len(zones)], born)

    async def trouble(self):
        self.relay_servers = [self.relay.server]
        self.record.note("site", f"{self.kind} tasks={self.tasks_count} proxies={self.proxies_count}")
        menu = [
            self.drain,
            self.drain,
            self.replace,
            self.crash,
            self.crash,
            self.restart,
            self.streams,
            self.calls_break,
            self.news_break,
            self.discovery_down,
            self.reload,
            self.stall,
            self.relay_restart,
            self.wrong_list,
        ]
        chosen = self.random.sample(menu, self.random.randint(2, 5))
        await asyncio.sleep(self.random.uniform(0.5, 12.0))
        while True:
            for disruption in chosen:
                self.record.note("trouble", disruption.__name__)
                self.spawn(disruption())
                await asyncio.sleep(self.random.choice((0.05, 0.5, 2.0, 5.0)) * self.random.uniform(0.5, 1.5))
            await asyncio.sleep(self.random.uniform(3.0, 10.0))

    def active(self):
        return [n for n, e in self.discovery.entries.items() if e["lifecycle"] == "active"]

    def on_told(self, entries, whole):
        """Also notes when the present life was told of a start."""
        super().on_told(entries, whole)
        for entry in entries:
            key = entry["instanceId"], entry["startedAtMs"]
            self.starts_told.setdefault((*key, self.assigner.lives), self.record.now())

    def check_drain(self, proxy, name, now):
        """Also notes calls to a cold task that come later than the grace after its start was told.

        That breaks no rule by itself; it is where the rule on cold tasks could break."""
        super().check_drain(proxy, name, now)
        entry, starts = self.told.get(name), self.limit_starts()
        if not entry or starts is None or not proxy.joined:
            return
        started = entry["startedAtMs"]
        told = self.starts_told.get((name, started, self.assigner.lives))
        grace = self.settings["contract"]["stop_sending_within"] + stand_ins_2.SOCKET_SLACK
        cold = started and time.time() - started / 1_000 < self.settings["contract"]["cold"]
        if cold and told is not None:
            since = max(told, proxy.joined_at, starts)
            if now - since - self.waited(since, now) > grace:
                self.counts["calls_to_cold"] += 1
                self.record.note("cold", f"proxy={proxy.number} sent to {name}")

    async def drain(self):
        names = self.active()
        if len(names) < 3:
            return
        for name in self.random.sample(names, self.random.randint(1, max(1, len(names) // 5))):
            self.publish((name, "leaving"))
            self.spawn(self.leave(name))
            await asyncio.sleep(self.random.choice((0.0, 0.1, 0.7)))

    async def leave(self, name):
        await asyncio.sleep(self.random.uniform(4.0, 7.0))
        self.tasks[name].die()
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        self.publish((name, "left"))
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0.3, 3.0))
            await self.tasks[name].start()
            await asyncio.sleep(self.random.uniform(0.3, 1.8))
            self.publish((name, "active"))

    async def replace(self):
        for name in self.random.sample(self.active(), len(self.active()) // 3):
            self.publish((name, "leaving"))
            self.spawn(self.succeed(name))
            await asyncio.sleep(0.5)

    async def succeed(self, name):
        await asyncio.sleep(self.random.uniform(4.0, 7.0))
        self.tasks[name].die()
        self.publish((name, "left"))
        new = f"{name}x"
        if new in self.tasks:
            return
        task = self.add_task(new, self.tasks[name].zone, listed=False)
        await task.start()
        await asyncio.sleep(self.random.uniform(0.3, 1.8))
        self.publish((new, "active"))

    async def crash(self):
        names = self.active()
        for name in self.random.sample(names, max(1, len(names) // 4)):
            if self.tasks[name].up:
                self.tasks[name].die()
                self.spawn(self.revive(name))

    async def revive(self, name):
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        await self.tasks[name].start()
        await asyncio.sleep(self.random.uniform(0.36, 1.8))
        if name in self.discovery.entries and self.discovery.entries[name]["lifecycle"] == "active":
            self.publish((name, "active"))

    async def restart(self):
        if self.assigner.first_answer_at is None or self.assigner.ending:
            return
        number = self.random.choice((signal.SIGTERM, signal.SIGKILL))
        await self.restart_assigner(self.random.uniform(0.1, 4.0), number)

    async def streams(self):
        for proxy in self.proxies.values():
            if self.random.random() < 0.7:
                self.spawn(self.break_stream(proxy, self.random.uniform(0.0, 2.0)))

    async def calls_break(self):
        kinds = [a + b for a in ("reset", "silent", "garbled") for b in ("", "+run")]
        share = self.random.uniform(0.2, 1.0)
        chosen = self.random.sample(kinds, 2)
        self.relay.break_call = lambda _: self.random.choice(chosen) if self.random.random() < share else None
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        self.relay.break_call = None

    async def news_break(self):
        now = self.record.now()
        self.pauses.append((now, now + 4.0))
        for writer in list(self.relay.streams):
            writer.transport.abort()

    async def discovery_down(self):
        self.discovery.up.clear()
        await asyncio.sleep(self.random.uniform(3.0, 15.0))
        self.discovery.up.set()

    async def reload(self):
        if self.assigner.first_answer_at is None or self.assigner.ending:
            return
        old = self.discovery.server, self.relay.server
        self.discovery.server = stand_ins_2.HttpServer(self.discovery.serve)
        self.relay.server = stand_ins_2.HttpServer(self.relay.serve)
        self.relay_servers.append(self.relay.server)
        await self.discovery.server.open()
        await self.relay.server.open()
        self.assigner.write_configuration(self.known())
        now = self.record.now()
        self.pauses.append((now, now + 4.0))
        self.assigner.send_signal(signal.SIGHUP)
        for server in old:
            server.stop_listening()
        await asyncio.sleep(1.5)
        for server in old:
            server.close()

    async def stall(self):
        for _ in range(3 if self.settings["contract"]["stop_sending_within"] > 2.5 else 0):
            if self.assigner.first_answer_at is None or self.assigner.ending:
                return
            process = self.assigner.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.8, 1.6))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(self.random.uniform(2.0, 3.4))

    async def relay_restart(self):
        now, down = self.record.now(), self.random.uniform(0.2, 3.0)
        self.pauses.append((now, now + down + 4.0))
        for server in self.relay_servers:
            server.close()
        self.relay.forget()
        for proxy in self.proxies.values():
            self.spawn(self.break_stream(proxy, 0.0, back=down + self.random.uniform(0.1, 1.5)))
        await asyncio.sleep(down)
        if not self.relay.server.server:
            await self.relay.server.open()

    async def wrong_list(self):
        entries = self.active()
        wrong = self.random.sample(entries, int(len(entries) * self.random.uniform(0.4, 0.88)))
        self.publish(*((name, "left") for name in wrong))
        await asyncio.sleep(self.random.uniform(9.0, 20.0))
        self.publish(*((name, "active") for name in wrong))


if __name__ == "__main__":
    for seed in map(int, sys.argv[2:]):
        folder = pathlib.Path(sys.argv[1]) / str(seed)
        os.makedirs(folder, exist_ok=True)
        print("seed", seed, flush=True)
        stand_ins_2.main(Explore, folder, True, seed)
