"""Case 8: a node is replaced while the conductor restarts, at a site with single writers."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
sys.dont_write_bytecode = True

import copy  # noqa: E402

import fleet  # noqa: E402
import hobart  # noqa: E402
import simulator  # noqa: E402

DRAIN_AT_S, KILL_AT_S, BACK_AFTER_S, LENGTH_S = 8.6, 8.0, 0.5, 20.0
# A proxy dials again within 0.54 to 1.9 s, and reads the store within a second of joining.
REDIAL_S, READ_S = (0.6, 0.8, 1.0, 1.9), (0.3, 0.3, 0.3, 1.0)
# A write is over within `inFlightMaxUs`, 3.02 s.
WRITE_S, WRITE_EVERY_S = (2.0, 2.9), 0.25


async def run(record, trouble):
    settings = copy.deepcopy(hobart.SETTINGS)
    settings["familyInfo"].update(slices=12, singleWriter=True, proxies=4)
    site = simulator.Site(record, settings, nodes=[1, 2, 3, 4, 5, 6], proxies=4, seed=8, write_s=WRITE_S,
                          write_every_s=WRITE_EVERY_S)
    try:
        site.start_instance()
        for proxy in site.proxies:
            site.join(proxy, 0.3)
            for number in range(settings["familyInfo"]["slices"]):
                site.at(2.0, site.write_all, proxy, number, LENGTH_S - 4.0)
        site.at(DRAIN_AT_S, site.drain, 1)
        if trouble:
            site.at(KILL_AT_S, site.kill_instance)
            site.at(KILL_AT_S + BACK_AFTER_S, site.start_instance)
            for proxy in site.proxies:
                site.at(KILL_AT_S + REDIAL_S[proxy.number], site.join, proxy, READ_S[proxy.number])
        site.run(LENGTH_S)
        if site.late > fleet.LAG_LIMIT_S:
            raise fleet.CannotRun(f"this process ran up to {site.late:.1f} s late")
    finally:
        site.adapter.stop()
    for line in site.breaks[:10]:
        record.say(line)
    record.say(f"writes: {site.writes}, breaks of the rule: {len(site.breaks)}; this process ran up to "
               f"{max(0.0, site.late) * 1000:.0f} ms late")
    return bool(site.breaks)


fleet.main(HERE, run)
