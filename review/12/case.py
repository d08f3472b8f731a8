"""Heartbeats of another writer, with a garbled address, arrive at two guards."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-3"))

from site3 import call, run_case

GUARDS = 2  # "on a tenth of the machines in use (two at least)"
TIMES = 3  # "three times in the day"
RESTART_S = 0.5
CALM_S = 5.0  # longer than contact_ms and a second after a start
GARBLED = "[::ffff:127..0.9]:8080"
MISSING = ("version", "slots", "cold_remaining_ms", "labels")


async def case(site):
    ends = dict.fromkeys(site.guards[:GUARDS], 0)
    await site.start({"short": {}})
    steps = [{"count": 4, "cpu": 1_600, "mem_mb": 64, "estimate_ms": 200}]
    traffic = asyncio.create_task(site.press("short", 20, steps, {"ms": 200}))
    for number in range(TIMES):
        await asyncio.sleep(CALM_S)
        if site.trouble:
            for executor, guard in zip(site.executors, ends, strict=False):
                body = executor.report() | {"address": GARBLED, "seq": 1}
                for field in MISSING:
                    del body[field]
                path = f"/v1/executors/other-{number}"
                answer = await call(executor.guard, "PUT", path, body, timeout_s=1.0)
                site.log("heartbeat of another writer", to=guard, answer=answer)
        await asyncio.sleep(1.0)
        for name, process in list(site.processes.items()):
            if process.poll() is not None:
                site.log("process has ended", node=name, status=process.returncode)
                if name in ends:
                    ends[name] += 1
                await asyncio.sleep(RESTART_S)
                site.spawn(name)
    await asyncio.sleep(2.0)
    traffic.cancel()
    if all(count >= TIMES for count in ends.values()):
        machines = len(site.entries) + len(site.guards)
        site.violation(
            f"Fault: processes ended by themselves on {len(ends)} of {machines}"
            f" machines, {TIMES} times on each: {ends}"
        )


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent, executors=11))
