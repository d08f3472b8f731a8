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
    """Let a job begin to wait, and the guard report free capacity and an older wait."""
    entry.send_heartbeat(GUARD_1, free=Resources())
    entry.submit("f" * 16, (StepSpec(1, NEED, 4.0),))
    status = entry.send_heartbeat(GUARD_1, free=free)
    waits = (QueueWait(queue, round(wait_ms)),) if wait_ms else ()
    status = status._replace(queue_waits=waits, sequence=status.sequence + 1)
    entry.sequence += 1
    entry.deliver(GuardHeartbeat(round(entry.time * 1000), status), GUARD_1)
    entry.advance(SETTLED_S)
    return status


def test_job_that_would_wait_too_long_is_refused_at_once(sharing_entry):
    report_wait(sharing_entry, LONG_WAIT_MS)
    verdict = sharing_entry.submit().result()
    assert (verdict.reason, verdict.overloaded) == ("overloaded", True)
    assert verdict.retry_after_s in (2, 3)
    assert sharing_entry.take_starts() == []


@pytest.mark.parametrize(
    ("wait_ms", "changes"),
    [
        # A job that can still be answered in time is not refused.
        (MAX_WAIT_S * 900, {}),
        # A guard reports free capacity for one of the two tasks.
        (LONG_WAIT_MS, {"free": NEED}),
        # Another queue waits.
        (LONG_WAIT_MS, {"queue": "check"}),
    ],
)
def test_job_that_can_be_served_is_admitted(sharing_entry, wait_ms, changes):
    report_wait(sharing_entry, wait_ms, **changes)
    assert not sharing_entry.submit().done()


def test_first_waiting_job_of_a_queue_is_admitted(sharing_entry):
    """Without demand at any instance, guards would measure no rate for the queue."""
    report_wait(sharing_entry, LONG_WAIT_MS, "check")
    assert not sharing_entry.submit("a" * 16, queue="check").done()
    sharing_entry.advance(0.1)
    assert sharing_entry.submit("b" * 16, queue="check").result().overloaded


@pytest.mark.parametrize("sharing_entry", [False], indirect=True)
def test_without_share_room_the_reported_wait_changes_nothing(sharing_entry):
    report_wait(sharing_entry, LONG_WAIT_MS)
    reply = sharing_entry.submit()
    assert not reply.done()
    sharing_entry.advance(MAX_WAIT_S + 0.04)
    assert reply.result().overloaded


def test_time_before_the_submission_was_read_counts_as_waiting(sharing_entry):
    """Load pattern: an entry instance that got no processor time for a moment."""
    report_wait(sharing_entry, MAX_WAIT_S * 900)
    arrived_at = sharing_entry.time - 0.2 * MAX_WAIT_S
    assert sharing_entry.submit(arrived_at=arrived_at).result().overloaded


def test_own_oldest_wait_decides_without_reports(sharing_entry):
    """The reports of a guard that has fallen silent no longer count."""
    report_wait(sharing_entry, LONG_WAIT_MS)
    sharing_entry.advance(MAX_SILENCE_FOR_NEW_RUNS_S)
    long_step, short_step = StepSpec(1, NEED, 4.0), StepSpec(1, NEED, 0.1)
    assert not sharing_entry.submit("a" * 16, (long_step,)).done()
    assert sharing_entry.submit("b" * 16, (short_step,)).result().overloaded


def test_refused_jobs_return_in_the_order_of_their_refusal(sharing_entry):
    report_wait(sharing_entry, LONG_WAIT_MS)
    returns = []
    for number in range(12):
        verdict = sharing_entry.submit(f"{number:016x}").result()
        returns.append(sharing_entry.time + verdict.retry_after_s)
        sharing_entry.time += 0.01
    assert returns == sorted(returns)
    assert returns[-1] > returns[0] + 1
