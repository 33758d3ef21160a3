"""Case 7: a traffic jump during a rolling deploy."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
sys.dont_write_bytecode = True

import fleet as stand_ins  # noqa: E402
import hobart  # noqa: E402

# The deploy replaces 17 of 18 nodes (94%), 3 (16.7%) at a time, within 26 s: 6 steps of 4.4 s, the last of 4 s.
REPLACED, AT_A_TIME, FIRST_S, STEP_S, DRAIN_S = 17, 3, 10.0, 4.4, 4.0
# Traffic jumps to 1.8 times the usual for 9 s.
JUMP_AT_S, JUMP, JUMP_LENGTH_S = 20.0, 1.8, 9.0
LENGTH_S = 45.0


async def run(record, trouble):
    fleet = hobart.build(stand_ins, record, hobart.SETTINGS, seed=7, try_share=0.4)
    try:
        await fleet.start()
        if trouble:
            nodes = list(fleet.nodes.values())
            fleet.random.shuffle(nodes)
            fleet.deploy(nodes[:REPLACED], AT_A_TIME, FIRST_S, STEP_S, DRAIN_S)
            fleet.at(JUMP_AT_S, setattr, fleet, "traffic", JUMP)
            fleet.at(JUMP_AT_S + JUMP_LENGTH_S, setattr, fleet, "traffic", 1.0)
        await asyncio.sleep(LENGTH_S - fleet.now())
        fleet.arriving = False
        fleet.check_sound()
    finally:
        await fleet.stop()
    return fleet.judge_cold_nodes()


stand_ins.main(HERE, run)
