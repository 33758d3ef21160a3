"""Case 7: a rolling deploy, zone by zone, while one class stays within the proxy's zone."""

import asyncio
import copy
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
sys.dont_write_bytecode = True

import fleet as stand_ins  # noqa: E402
import hobart  # noqa: E402

# The deploy replaces 17 of 18 nodes (94%), 3 (16.7%) at a time, within 29 s: 6 steps of 5 s, the last of 4 s.
REPLACED, AT_A_TIME, FIRST_S, STEP_S, DRAIN_S = 17, 3, 10.0, 5.0, 4.0
LENGTH_S = 45.0


async def run(record, trouble):
    settings = copy.deepcopy(hobart.SETTINGS)
    settings["familyInfo"]["classOwnZone"] = [True, False]
    fleet = hobart.build(stand_ins, record, settings, seed=7)
    try:
        await fleet.start()
        if trouble:
            fleet.deploy(list(fleet.nodes.values())[:REPLACED], AT_A_TIME, FIRST_S, STEP_S, DRAIN_S)
        await asyncio.sleep(LENGTH_S - fleet.now())
        fleet.arriving = False
        fleet.check_sound()
    finally:
        await fleet.stop()
    return fleet.judge_cold_nodes()


stand_ins.main(HERE, run)
