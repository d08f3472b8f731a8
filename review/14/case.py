"""A route is dropped whose prefix begins with that of another route."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-3"))

from site3 import CannotRun, new_job, run_case

WAIT_S = 4.0  # longer than config_apply_ms of the site, 2 s
OUTER = {"path_prefix": "/visits/", "service": "work"}
INNER = {"path_prefix": "/visits/urgent/", "service": "express"}


async def case(site):
    inner = {}  # jobs sent on the inner route: seconds after it was dropped, or None
    outer = set()
    dropped_at = None

    def on_started(executor, run):
        job = run["task"].split(".")[0]
        if job in inner and inner[job] is not None:
            site.violation(
                f"CONFIG: {run['task']}, sent on the dropped route {inner[job]:.3f} s"
                f" after the acknowledgement, started on {executor.id} of service"
                f" {executor.service}"
            )
        elif job in inner and executor.service != INNER["service"]:
            site.violation(f"ROUTE: {run['task']} started on {executor.service}")
        elif job in outer and executor.service != OUTER["service"]:
            site.violation(f"ROUTE: {run['task']} started on {executor.service}")

    site.on_started = on_started
    for executor in site.executors[6:]:
        executor.service = INNER["service"]
    await site.start({"visits": OUTER, "urgent": INNER})
    steps = [{"count": 2, "cpu": 1_600, "mem_mb": 64, "estimate_ms": 200}]

    async def hand_in(entry):
        """Hand a job in on each route; return how many were completed."""
        jobs = new_job(), new_job()
        inner[jobs[0]] = None if dropped_at is None else time.monotonic() - dropped_at
        outer.add(jobs[1])
        completed = 0
        for job, path in zip(jobs, ("visits/urgent", "visits"), strict=True):
            answer = await site.submit(entry, path, job, steps, {"ms": 200}, 3_000)
            completed += answer is not None and answer[0] == 200
        await site.request(entry, "GET", "visits/urgent", "")
        return completed

    for entry in site.entries:
        if await hand_in(entry) != 2:
            raise CannotRun("a job was not completed while both routes stood")
    if site.trouble:
        site.configure(2, {"visits": OUTER})
        dropped_at = time.monotonic()
    await asyncio.sleep(WAIT_S)
    for entry in site.entries:
        await hand_in(entry)
    await asyncio.sleep(1.0)


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent, executors=11))
