"""Drains after a spell in which the relay breaks off the assigner's calls. See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins_2  # noqa: E402

SPELL_START, SPELL_LENGTH = 14.0, 6.0  # s; FLEET.md: for 6 s
FIRST_DRAIN = 0.1  # s after the spell's start
LATER_DRAINS = 0.3  # s after the spell's end
STEP = 0.4  # s between the later drains
LEAVING = ["s-03", "s-04", "s-05", "s-06", "s-07", "s-08"]  # of 15: less than half
DEATH = 6.0  # s from the drain to the end of the process


class DrainsAfterBrokenCalls(stand_ins_2.Scenario):
    """A small deployment after midlands-pay."""

    length = 42.0
    tasks_count, proxies_count, calls_per_s = 15, 6, 90.0
    latency, noise = (0.08, 0.08), (0.95, 1.05)

    def change_settings(self, settings):
        settings["azs"], settings["my_zone"] = ["derby", "nottingham", "leicester"], "derby"
        settings["categories"] = [
            {
                "name": "session-check",
                "deadline": 1.5,
                "effect": "free",
                "gain": 3.0,
                "promise": 0.6,
                "group": "all",
                "window": 5.0,
                "late_worth": 0.2,
            },
            {
                "name": "session-start",
                "deadline": 2.5,
                "effect": "guarded",
                "gain": 3.0,
                "promise": 1.0,
                "group": "zone",
                "window": 2.5,
                "late_worth": 0.2,
            },
            {
                "name": "card-charge",
                "deadline": 2.5,
                "effect": "single_shot",
                "gain": 5.0,
                "promise": 0.8,
                "group": "all",
                "window": 5.0,
                "late_worth": 0.2,
            },
        ]
        settings["specifics"] |= {
            "agents": 6,
            "strikes": 0,
            "egress_per_s": 2450.0,
            "queue_cap": 3675.0,
            "head": 4.0,
            "pushes_allowed": 20,
            "counted_over": 10.0,
            "level_kind": "fraction",
            "initial_set": 5,
            "transit": 0.2,
            "push_delay_max": 0.45,
        }
        settings["contract"] |= {"cold": 16.0, "start_capacity": 0.21, "fall_multiple": 2.5}

    async def calm(self):
        """The drains of a deploy: with and without the disruption."""
        await asyncio.sleep(SPELL_START + FIRST_DRAIN)
        self.drain(LEAVING[0])
        await asyncio.sleep(SPELL_LENGTH - FIRST_DRAIN + LATER_DRAINS)
        for name in LEAVING[1:]:
            self.drain(name)
            await asyncio.sleep(STEP)

    def drain(self, name):
        self.publish((name, "leaving"))
        self.spawn(self.end_process(name))

    async def end_process(self, name):
        await asyncio.sleep(DEATH)
        self.record.note("died", name)
        self.tasks[name].die()

    async def trouble(self):
        """Every call to the relay is reset after its last byte, and not carried out."""
        await asyncio.sleep(SPELL_START)
        self.record.note("trouble", f"the relay resets every call for {SPELL_LENGTH:g} s")
        end = self.record.now() + SPELL_LENGTH
        self.relay.break_call = lambda _: "reset" if self.record.now() < end else None


sys.exit(stand_ins_2.main(DrainsAfterBrokenCalls, pathlib.Path(__file__).resolve().parent))
