"""Tests of the dispatcher: refusal at arrival by the wait that guards report."""

import asyncio

import pytest

from hawthorntrack.coordination.guard_peer import MAX_SILENCE_FOR_NEW_RUNS_S
from hawthorntrack.coordination.tests.test_dispatcher import (
    GUARD_1,
    NEED,
    DispatcherHarness,
)
from hawthorntrack.protocol.run_messages import GuardHeartbeat, QueueWait
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import Resources

# Longest wait of the harness's job for its first task.
MAX_WAIT_S = 0.4 * (0.4 * 1.6 + 0.06)
LARGE_NEED = Resources(8_000, 64)
LONG_WAIT_MS = 2_000
# Longer than the smoothing of reports, and shorter than the silence of a guard.
SETTLED_S = 0.2


@pytest.fixture
def sharing_entry(request):
    """Return an entry instance with one guard, and with `share_room` as requested."""
    loop = asyncio.new_event_loop()
    entry = DispatcherHarness(loop, share_room=getattr(request, "param", True))
    entry.set_directives()
    entry.connect_guard(GUARD_1)
    yield entry
    loop.close()


def report_wait(entry, wait_ms, queue="confirm", free=Resources()):
    """Let a job begin to wait, and the guard report free capacity and a longer wait."""
    entry.send_heartbeat(GUARD_1, free=Resources())
    entry.submit("f" * 16, (StepSpec(1, LARGE_NEED, 4.0),))
    status = entry.send_heartbeat(GUARD_1, free=free)
    waits = (QueueWait(queue, round(wait_ms)),)
    status = status._replace(queue_waits=waits, sequence=status.sequence + 1)
    entry.deliver(GuardHeartbeat(round(entry.time * 1000), status), GUARD_1)
    entry.advance(SETTLED_S)


@pytest.mark.parametrize(
    ("report", "job", "refused"),
    [
        ({"wait_ms": LONG_WAIT_MS}, {}, True),
        # The wait leaves time for an answer within the objective.
        ({"wait_ms": 900 * MAX_WAIT_S}, {}, False),
        # The same, but the submission was read late.
        ({"wait_ms": 900 * MAX_WAIT_S}, {"late_s": 0.2 * MAX_WAIT_S}, True),
        # There is free capacity for one of the two tasks.
        ({"wait_ms": LONG_WAIT_MS, "free": NEED}, {}, False),
        # Another queue waits.
        ({"wait_ms": LONG_WAIT_MS, "queue": "check"}, {}, False),
        # No job of this queue waits here, so nothing would measure its wait again.
        ({"wait_ms": LONG_WAIT_MS, "queue": "check"}, {"queue": "check"}, False),
    ],
)
def test_jobs_are_refused_at_arrival_only_if_they_cannot_be_served(
    sharing_entry, report, job, refused
):
    """A burst's jobs were refused after 0.4 of their objective, or all of them were."""
    report_wait(sharing_entry, **report)
    arrived_at = sharing_entry.time - job.pop("late_s", 0.0)
    reply = sharing_entry.submit(arrived_at=arrived_at, **job)
    assert reply.done() == refused
    assert not refused or reply.result().overloaded
    assert sharing_entry.take_starts() == []


@pytest.mark.parametrize("sharing_entry", [False], indirect=True)
def test_without_share_room_jobs_wait_as_before(sharing_entry):
    report_wait(sharing_entry, LONG_WAIT_MS)
    reply = sharing_entry.submit()
    assert not reply.done()
    sharing_entry.advance(MAX_WAIT_S + 0.04)
    assert reply.result().overloaded


def test_own_oldest_wait_decides_once_the_guard_is_silent(sharing_entry):
    """Old reports would otherwise go on to decide during a cut."""
    report_wait(sharing_entry, LONG_WAIT_MS)
    sharing_entry.advance(MAX_SILENCE_FOR_NEW_RUNS_S)
    assert not sharing_entry.submit("a" * 16, (StepSpec(1, NEED, 4.0),)).done()
    assert sharing_entry.submit("b" * 16, (StepSpec(1, NEED, 0.1),)).done()


def test_refused_jobs_return_in_the_order_of_their_refusal(sharing_entry):
    """The jobs of a burst would otherwise return together."""
    report_wait(sharing_entry, LONG_WAIT_MS)
    returns = []
    for number in range(12):
        verdict = sharing_entry.submit(f"{number:016x}").result()
        returns.append(sharing_entry.time + verdict.retry_after_s)
        sharing_entry.time += 0.01
    assert returns == sorted(returns)
    assert returns[-1] > returns[0] + 1
