"""A proxy joins while the relay's answers get lost. See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins_2  # noqa: E402

SPELL_START, SPELL_LENGTH = 10.0, 6.0  # s; FLEET.md: for 6 s
STREAM_BREAK = 10.1  # s: a proxy's stream breaks
NOTICE, REDIAL = 0.3, 0.1  # s until it is noticed, and until the proxy has dialled again


class JoinWhileAnswersGetLost(stand_ins_2.Scenario):
    """A small deployment after deploy/sites/harbour-tickets."""

    length = 24.0
    tasks_count, proxies_count, calls_per_s = 11, 5, 60.0
    latency, noise = (0.08, 0.08), (0.95, 1.05)

    def change_settings(self, settings):
        settings["azs"], settings["my_zone"] = ["quay"], "quay"
        settings["categories"] = [
            {
                "name": "t",
                "deadline": 0.7,
                "effect": "guarded",
                "gain": 1.0,
                "group": "zone",
                "late_worth": 0.0,
                "promise": 0.35,
                "window": 0.4,
            }
        ]
        settings["specifics"] |= {
            "agents": 5,
            "strikes": 4,
            "egress_per_s": 1500.0,
            "queue_cap": 1650.0,
            "head": 9.0,
            "pushes_allowed": 11,
            "counted_over": 10.0,
            "level_kind": "fraction",
            "initial_set": 3,
            "report_every": 1.7,
            "transit": 0.15,
            "push_delay_max": 0.25,
        }
        settings["contract"] |= {
            "cold": 9.0,
            "start_capacity": 0.3,
            "fall_multiple": 2.0,
            "tip_after": 2.0,
            "stop_sending_within": 2.2,
        }

    async def calm(self):
        """One proxy's stream breaks and comes again: with and without the disruption."""
        await asyncio.sleep(STREAM_BREAK)
        await self.break_stream(self.proxies[2], NOTICE, back=REDIAL)

    async def trouble(self):
        """Each call is carried out, and its connection is reset before the answer."""
        await asyncio.sleep(SPELL_START)
        self.record.note("trouble", f"the relay's answers get lost for {SPELL_LENGTH:g} s")
        end = self.record.now() + SPELL_LENGTH
        self.relay.break_call = lambda _: "reset+run" if self.record.now() < end else None


sys.exit(stand_ins_2.main(JoinWhileAnswersGetLost, pathlib.Path(__file__).resolve().parent))
