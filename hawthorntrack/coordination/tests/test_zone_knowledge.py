"""A guard reads the zones out of service only while no entry instance knows them.

Load pattern of the reads: the store rejects all entry instances of many guards.
"""

import pytest

from hawthorntrack.coordination.zone_knowledge import (
    MAX_AGE_FOR_STARTS_S,
    OUTDATED_AFTER_S,
    READ_RETRY_S,
    ZoneKnowledge,
    is_outdated,
)
from hawthorntrack.state.directives import ZonesAsOf

RECIFE_OUT = ZonesAsOf(9, frozenset({"recife"}))
# Longest specified time for which tasks may start in a zone that is out of service.
ZONE_OUT_LIMIT_S = 5.0
TICK_S = 0.1


@pytest.fixture
def zones():
    """Return the knowledge of a guard whose entry instance is current at 1,000 s."""
    zones = ZoneKnowledge()
    zones.record_age("entry:1", 0.1, 1_000.0)
    return zones


def test_nothing_is_read_while_entry_instances_are_current(zones):
    for second in range(1, 60):
        assert not zones.needs_read(1_000.0 + second)
        zones.record_age("entry:1", 0.7, 1_000.0 + second)


def test_nothing_is_read_on_a_day_without_orders(zones):
    """A guard without runs hears nothing from entry instances that are current."""
    assert not zones.needs_read(4_000.0)


def test_zones_are_read_once_the_only_entry_instance_is_outdated(zones):
    zones.record_age("entry:1", OUTDATED_AFTER_S, 1_002.0)
    assert zones.needs_read(1_002.0)


def test_zones_are_not_read_while_another_entry_instance_is_current(zones):
    zones.record_age("entry:1", OUTDATED_AFTER_S, 1_002.0)
    zones.record_age("entry:2", 0.3, 1_002.0)
    assert not zones.needs_read(1_002.0)
    assert zones.needs_read(1_002.0 + OUTDATED_AFTER_S)


def test_guard_reads_no_more_once_entry_instances_are_current_again(zones):
    zones.record_age("entry:1", 6.0, 1_006.0)
    assert zones.needs_read(1_006.0)
    zones.record_age("entry:1", 0.1, 1_006.1)
    assert not zones.needs_read(1_060.0)


def test_guard_reads_at_most_once_per_interval(zones):
    reads, now = 0, 1_002.0
    while now < 1_060.0:
        zones.record_age("entry:1", now - 1_000.0, now)
        if zones.needs_read(now):
            reads += 1
            zones.record_read(ZonesAsOf(reads, frozenset()), now)
        now += TICK_S
    assert reads <= 58.0 / OUTDATED_AFTER_S + 1


def test_zone_out_is_known_in_time_though_two_reads_get_no_answer(zones):
    """It is taken out of service right after the last answer to anybody."""
    call_timeout_s = 0.6
    now, failures, answered_at = 1_000.0, 0, None
    while answered_at is None:
        now += TICK_S
        zones.record_age("entry:1", now - 999.9, now)
        if not zones.needs_read(now):
            continue
        if failures < 2:
            failures += 1
            zones.record_read(None, now)
            now += call_timeout_s
        else:
            answered_at = now
    assert answered_at - 1_000.0 < ZONE_OUT_LIMIT_S


def test_failed_read_is_repeated_after_a_pause_only(zones):
    zones.record_age("entry:1", 3.0, 1_003.0)
    zones.read_pending = True
    assert not zones.needs_read(1_003.0)
    zones.record_read(None, 1_003.0)
    assert not zones.needs_read(1_003.0 + READ_RETRY_S / 2)
    assert zones.needs_read(1_003.0 + 1.5 * READ_RETRY_S)


def test_older_report_never_replaces_a_newer_one(zones):
    assert zones.record_read(RECIFE_OUT, 1_003.0)
    assert not zones.update(ZonesAsOf(8, frozenset()))
    assert not zones.record_read(ZonesAsOf(8, frozenset()), 1_004.0)
    assert zones.known == RECIFE_OUT


def test_zone_that_was_read_is_back_with_a_newer_report(zones):
    zones.record_read(RECIFE_OUT, 1_003.0)
    assert zones.update(ZonesAsOf(10, frozenset()))
    assert zones.known.zones_out == frozenset()


def test_starts_go_on_when_nothing_can_be_read(zones):
    """Dispatch must not stop because the store is down for all."""
    now = 1_000.0
    while now < 1_060.0:
        zones.record_age("entry:1", now - 1_000.0, now)
        if zones.needs_read(now):
            zones.record_read(None, now)
        assert zones.allows_starts(now)
        now += TICK_S


def test_first_order_after_a_long_silence_waits_for_a_read(zones):
    """An entry instance that was frozen may order before it has asked the store."""
    zones.record_age("entry:1", 8.0, 1_008.0)
    assert not zones.allows_starts(1_008.0)
    zones.record_read(None, 1_008.0)
    assert zones.allows_starts(1_008.1)


def test_bounds_leave_time_for_reads():
    assert OUTDATED_AFTER_S < MAX_AGE_FOR_STARTS_S < ZONE_OUT_LIMIT_S
    assert is_outdated(OUTDATED_AFTER_S)
    assert not is_outdated(OUTDATED_AFTER_S / 2)
