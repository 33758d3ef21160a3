"""Case 6: a rolling deploy, the smaller kind of nodes first."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
sys.dont_write_bytecode = True

import fleet as stand_ins  # noqa: E402
import hobart  # noqa: E402

# The deploy replaces 17 of 18 nodes (94%) within 23 s: 6 steps of 3.8 s. A node drains for 3.6 s, so that no more than 3
# (16.7%) drain at once.
REPLACED, AT_A_TIME, FIRST_S, STEP_S, DRAIN_S = 17, 3, 10.0, 3.8, 3.6
LENGTH_S = 45.0


async def run(record, trouble):
    fleet = hobart.build(stand_ins, record, hobart.SETTINGS, seed=6, mean_work=0.3, try_share=0.4)
    try:
        await fleet.start()
        if trouble:
            nodes = sorted(fleet.nodes.values(), key=lambda node: node.cores)
            fleet.deploy(nodes[:REPLACED], AT_A_TIME, FIRST_S, STEP_S, DRAIN_S)
        await asyncio.sleep(LENGTH_S - fleet.now())
        fleet.arriving = False
        fleet.check_sound()
    finally:
        await fleet.stop()
    return fleet.judge_cold_nodes()


stand_ins.main(HERE, run)
