"""A zone is evacuated while the store turns the entry instances away."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-3"))

from site3 import run_case

ZONE = "zone-c"
EVACUATE_S = 5.0  # evacuate_ms of the site
TURNED_AWAY_S = 8.8
EVACUATED_S = 7.8


async def case(site):
    acknowledged = None

    def on_started(executor, run):
        if acknowledged is None or executor.zone != ZONE:
            return
        late_s = time.monotonic() - acknowledged
        if EVACUATE_S < late_s < EVACUATED_S:
            site.violation(
                f"EVAC: {run['task']} started on {executor.id} in {ZONE}"
                f" {late_s:.3f} s after the acknowledgement"
            )

    site.on_started = on_started
    await site.start({"short": {}})
    steps = [{"count": 4, "cpu": 1_600, "mem_mb": 64, "estimate_ms": 200}]
    traffic = asyncio.create_task(site.press("short", 20, steps, {"ms": 200}))
    await asyncio.sleep(4.0)
    site.log("store turns the entry instances away", from_now_on=site.trouble)
    site.entries_turned_away = site.trouble
    turned_away_at = time.monotonic()
    await asyncio.sleep(0.5)
    site.evacuate(ZONE)
    acknowledged = time.monotonic()
    await asyncio.sleep(EVACUATED_S)
    site.evacuate(ZONE, False)
    await asyncio.sleep(turned_away_at + TURNED_AWAY_S - time.monotonic())
    site.entries_turned_away = False
    site.log("store serves all again")
    await asyncio.sleep(4.0)
    traffic.cancel()


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent, executors=11))
