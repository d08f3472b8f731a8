"""A job that two entry instances get, because its caller submits it again."""

import asyncio

import pytest

from hawthorntrack.experiment.model_site import (
    RESEND_DELAY_S,
    SMALL_SITE,
    ModelSite,
    in_simulated_time,
)
from hawthorntrack.protocol.job_requests import CallerDisconnected, SubmitPlan
from hawthorntrack.state.plans import JobPlan, StepSpec
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import Completed

KEY = "a" * 16
NEED = Resources(1_600, 64)
TASKS = 6
# Longer than any lease and any delay here, so that an obsolete run would be seen.
TASK_S = 6.0
CALLER = Incarnation("caller:1", "")
PATIENT_CALLER_S = 30.0
# Targets have announced themselves, and all guards have been heard.
STARTUP_S = 4.0
RUNNING_BEFORE_BREAK_S = 0.5
SETTLE_S = 10.0
SEED = 1

breaks = Registry("way in which a caller loses its connection")


@breaks.register("deadline")
async def pass_deadline(model, reply):
    """Leave the connection open; the caller gives up at its deadline."""
    await asyncio.sleep(RUNNING_BEFORE_BREAK_S)


@breaks.register("unnoticed")
async def reset_unnoticed(model, reply):
    """Leave the connection open at the instance, which still reaches all guards."""


@breaks.register("killed")
async def kill_instance(model, reply):
    """Kill the instance; its connections are reset."""
    model.restart_entry(0, RESEND_DELAY_S / 2)


@breaks.register("cut_off")
async def cut_instance_off(model, reply):
    """Cut the instance off; it learns nothing of the reset."""
    model.cut_off(model.entries[0], model.guards)


@breaks.register("cut_off_inbound")
async def cut_instance_off_inbound(model, reply):
    """Cut only what the instance receives; its own messages still arrive."""
    instance = model.entries[0].me.address
    model.network.cut_pairs |= {(g.me.address, instance) for g in model.guards}


@breaks.register("cut_off_outbound")
async def cut_instance_off_outbound(model, reply):
    """Cut only what the instance sends; it still receives."""
    instance = model.entries[0].me.address
    model.network.cut_pairs |= {(instance, g.me.address) for g in model.guards}


async def suspend_instance(model, reply, duration_s):
    """Suspend the instance; it reads of the reset after all that arrived before."""
    instance = model.entries[0]
    instance.freeze()
    asyncio.get_running_loop().call_later(duration_s, instance.thaw)
    asyncio.get_running_loop().call_later(
        duration_s, instance.receive, CALLER, CallerDisconnected(KEY, reply)
    )


@breaks.register("suspended_shortly")
async def suspend_instance_shortly(model, reply):
    """Suspend the instance for less than it notices by itself."""
    await suspend_instance(model, reply, 0.45)


@breaks.register("suspended")
async def suspend_instance_for_long(model, reply):
    """Suspend the instance until the caller has submitted the job elsewhere."""
    await suspend_instance(model, reply, RESEND_DELAY_S + 0.5)


def submit(model, instance, plan, deadline_s):
    """Submit a job to an entry instance; return the future of its verdict."""
    reply = asyncio.get_running_loop().create_future()
    path = f"/reroute/{plan.key}"
    order = SubmitPlan(
        "calls.example", path, plan, "", model.clock(), deadline_s, reply
    )
    instance.receive(CALLER, order)
    return reply


async def lose_connection_and_resubmit(model, lose_connection, deadline_s):
    """Submit a job to two instances, the second after a break; return its verdict."""
    model.build()
    await asyncio.sleep(STARTUP_S)
    plan = JobPlan(KEY, f"{TASK_S}", (StepSpec(TASKS, NEED, TASK_S),))
    for target in model.targets:
        target.needs[plan.key] = NEED
    reply = submit(model, model.entries[0], plan, deadline_s)
    await asyncio.sleep(RUNNING_BEFORE_BREAK_S)
    assert len(model.running) == TASKS
    await lose_connection(model, reply)
    await asyncio.sleep(RESEND_DELAY_S)
    second = submit(model, model.entries[1], plan, PATIENT_CALLER_S)
    await asyncio.sleep(SETTLE_S)
    model.network.heal()
    await asyncio.sleep(1.0)
    await model.close()
    return second.result()


@pytest.mark.parametrize("name", breaks.names())
def test_job_submitted_again_after_a_break_has_no_two_runs_of_a_task(name):
    model = ModelSite(SMALL_SITE, SEED)
    deadline_s = 2 * RUNNING_BEFORE_BREAK_S if name == "deadline" else PATIENT_CALLER_S
    verdict = in_simulated_time(
        lose_connection_and_resubmit(model, breaks[name], deadline_s)
    )
    assert model.violations == []
    assert verdict == Completed()
