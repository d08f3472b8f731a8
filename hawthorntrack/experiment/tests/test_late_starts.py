"""A start order that a target's next incarnation executes."""

import asyncio

import pytest

from hawthorntrack.experiment.model_site import (
    SMALL_SITE,
    ModelSite,
    in_simulated_time,
)
from hawthorntrack.protocol.job_requests import SubmitPlan
from hawthorntrack.protocol.target_messages import StartOrder
from hawthorntrack.state.plans import JobPlan, StepSpec
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.values import Incarnation

KEY = "a" * 16
NEED = Resources(1_600, 64)
TASK_S = 6.0
CALLER = Incarnation("caller:1", "")
DEADLINE_S = 30.0
# Targets have announced themselves, and all guards have been heard.
STARTUP_S = 4.0
RUNNING_BEFORE_CRASH_S = 0.1
# Its run has lapsed and is placed elsewhere before the target starts again.
DOWN_S = 3.0
ANSWERS_LOST_S = 0.3
SETTLE_S = 8.0
SEED = 1


class CrashingTarget:
    """Stands between a guard and its target, which crashes and starts again.

    Attributes
    ----------
    start : StartOrder or None
        The first start order; a copy of it stays in the network.
    state : str
        ``up``, ``down``, or ``silent`` while it executes orders and no answer arrives.
    """

    def __init__(self, target) -> None:
        self.target = target
        self.put_order = target.put
        self.start = None
        self.state = "up"
        target.put = self.put

    def put(self, order):
        """Pass an order on, and answer in the target's place while it can't."""
        if self.start is None and isinstance(order, StartOrder):
            self.start = order
        if self.state == "up":
            self.put_order(order)
            return
        if self.state == "silent":
            self.target.execute(order, awaited=False)
        outcome = "unreachable" if self.state == "down" else "unanswered"
        self.target.answer(order, outcome, self.target.time_limit_s(order))

    def crash(self):
        """End the target; orders that wait for its answer get none."""
        waiting = [order for order, _ in self.target.waiters]
        self.target.restart()
        self.target.fault = "mute"
        self.state = "down"
        for order in waiting:
            self.target.answer(order, "unanswered")

    def start_again(self):
        """Start the next incarnation under the same id."""
        self.target.restart()
        self.target.fault = ""
        self.state = "silent"
        asyncio.get_running_loop().call_later(ANSWERS_LOST_S, self.answer_again)

    def answer_again(self):
        """Let answers arrive again."""
        self.state = "up"


async def execute_start_late(model, executed_after_s):
    """Let a target's next incarnation execute the start of a run that has lapsed."""
    model.build()
    await asyncio.sleep(STARTUP_S)
    plan = JobPlan(KEY, f"{TASK_S}", (StepSpec(1, NEED, TASK_S),))
    for target in model.targets:
        target.needs[plan.key] = NEED
    crashing = [CrashingTarget(target) for target in model.targets]
    reply = asyncio.get_running_loop().create_future()
    path = f"/reroute/{plan.key}"
    order = SubmitPlan(
        "calls.example", path, plan, "", model.clock(), DEADLINE_S, reply
    )
    model.entries[0].receive(CALLER, order)
    await asyncio.sleep(RUNNING_BEFORE_CRASH_S)
    (first,) = [item for item in crashing if item.start is not None]
    first.crash()
    await asyncio.sleep(DOWN_S)
    (running_on,) = model.running[first.start.name.task]
    assert running_on != first.target.name
    first.start_again()
    await asyncio.sleep(executed_after_s)
    first.target.execute(first.start, awaited=False)
    await asyncio.sleep(SETTLE_S)
    await model.close()


@pytest.mark.parametrize("executed_after_s", [0.0, 0.15])
def test_run_that_lapsed_does_not_begin_again_beside_its_successor(executed_after_s):
    """The lists that would reveal the new incarnation are lost for a while."""
    model = ModelSite(SMALL_SITE, SEED)
    in_simulated_time(execute_start_late(model, executed_after_s))
    assert model.violations == []
