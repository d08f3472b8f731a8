"""Crowds on the callers' address of a real process, and one ordinary job afterwards.

These tests run one at a time, apart from other load: `make crowds`.
"""

import asyncio
import gc
import os
from pathlib import Path

import aiohttp
import pytest

from hawthorntrack.experiment.crowds import Crowd, crowds
from hawthorntrack.experiment.soak import PromiseChecker
from hawthorntrack.experiment.soak_site import HOST, SoakSite
from hawthorntrack.platform.entry_http import DEADLINE_HEADER
from hawthorntrack.platform.standins import job_body
from hawthorntrack.state.plans import JobPlan, StepSpec
from hawthorntrack.state.resources import Resources

# The memory of the machine of this site, in megabytes.
MEMORY_MB = 100
# Descriptors of the machine, less those that are reserved for files.
MAX_DESCRIPTORS = 1_000
CROWD = 400
GUARDS = 3
SEED = 1
# No test of speed: the job's caller waits for as long as callers wait at most.
CALLER_TIMEOUT_S = 60.0
# Connections of callers that have left are closed.
DESCRIPTORS_LEFT_OVER = 20
NEED = Resources(1_600, 64)
TASK_S = 0.1
# A long estimate, so that no slow machine makes the wait for a target too long.
ESTIMATE_S = 10.0

pytestmark = [
    pytest.mark.crowd,
    pytest.mark.xdist_group("soak"),
    pytest.mark.timeout(240),
]


def peak_memory_mb(pid):
    """Return the most memory that a process has had."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (line,) = [line for line in lines if line.startswith("VmHWM:")]
    return int(line.split()[1]) / 1024


def count_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def answer_to_job(site, address, number):
    """Submit an ordinary job; return the status and the body of its answer."""
    key = f"{number:016x}"
    plan = JobPlan(key, f"{TASK_S}", (StepSpec(2, NEED, ESTIMATE_S),))
    for target in site.targets:
        target.needs[key] = NEED
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
    headers = {"Host": HOST, DEADLINE_HEADER: "60000"}
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.post(
            f"http://{address}/confirm/{key}", data=job_body(plan), headers=headers
        ) as response,
    ):
        return response.status, await response.json()


async def wait_for_descriptors(pid, most):
    """Wait until a process has at most so many open descriptors."""
    async with asyncio.timeout(CALLER_TIMEOUT_S):
        while count_descriptors(pid) > most:
            await asyncio.sleep(0.2)


async def play(kind, block):
    """Let a crowd press on the callers' address; return what was seen."""
    site = SoakSite(1, GUARDS, SEED, block, PromiseChecker())
    site.watcher.site = site
    site.watcher.submitted |= {f"{number:016x}" for number in (1, 2)}
    try:
        await site.start()
        node = site.nodes["entry0"]
        pid, address = node.process.pid, site.callers_address(node)
        idle = count_descriptors(pid)
        host, _, port = address.rpartition(":")
        crowd = Crowd(kind, CROWD, host, int(port))
        await crowd.attack()
        descriptors = count_descriptors(pid)
        beside = await answer_to_job(site, address, 1)
        await crowd.leave()
        after = await answer_to_job(site, address, 2)
        await wait_for_descriptors(pid, idle + DESCRIPTORS_LEFT_OVER)
        alive = node.alive
        return alive, peak_memory_mb(pid), descriptors, beside, after
    finally:
        await site.close()


@pytest.mark.parametrize("kind", crowds.names())
def test_crowd_ends_no_process_and_an_ordinary_job_is_answered(base_port, kind):
    block = (base_port // 1_000) % 40
    alive, memory_mb, descriptors, beside, after = asyncio.run(play(kind, block))
    # A writer that is collected while pytest compiles a module ends the run.
    gc.collect()
    assert alive
    assert beside == after == (200, {"state": "completed"})
    assert memory_mb <= MEMORY_MB
    assert descriptors <= MAX_DESCRIPTORS
