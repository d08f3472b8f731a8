"""Tests of the selection of guards that an entry instance is linked to."""

from collections import Counter
from itertools import chain

import pytest

from hawthorntrack.coordination.working_set import (
    DIAL_PATIENCE_S,
    EXTENSION_LINGER_S,
    MIN_SET_SIZE,
    SETS_PER_GUARD,
    SUBSTITUTION_DELAY_S,
    SURPLUS_LINGER_S,
    WorkingSet,
    preference_order,
    set_size,
)
from hawthorntrack.state.directives import Member

ZONES = ("recife", "olinda", "jaboatao", "paulista", "camaragibe")
MAX_LINKS = 160
REVIEW_S = 0.1


def member(role, number):
    zone = ZONES[number % len(ZONES)]
    return Member(f"10.0.{number}.{len(role)}:1", role, zone, f"{role}-{number}")


class SetHarness:
    """A working set with a manual clock, whose dialled guards are linked at once."""

    def __init__(self, entries, guards, max_links=MAX_LINKS):
        self.time = 1_000.0
        self.members = [member("entry", n) for n in range(entries)]
        self.members += [member("guard", n) for n in range(guards)]
        self.down = set()
        self.absent = set()
        self.linked = set()
        first = self.members[0]
        self.set = WorkingSet(first.address, first.zone, max_links)
        self.set.add_members(self.members)

    def review(self, times=1, short=False):
        """Review the set repeatedly; return all guards that were released."""
        released = []
        for _ in range(times):
            self.time += REVIEW_S
            if short:
                self.set.note_shortage()
            changes = self.set.review(
                self.time,
                lambda a: a in self.linked and a not in self.absent,
                self.linked,
                self.linked,
            )
            self.linked |= self.set.dialled - self.down
            for address in changes.release:
                self.set.forget_link(address)
                self.linked.discard(address)
            released += changes.release
        return released

    def review_for(self, seconds, **how):
        return self.review(round(seconds / REVIEW_S) + 2, **how)

    def fail(self, addresses):
        self.down |= set(addresses)
        self.linked -= self.down


@pytest.fixture
def large_set():
    """Return the working set of one of 35 entry instances among 160 guards."""
    harness = SetHarness(35, 160)
    harness.review(10)
    return harness


def test_set_stays_small_while_few_entry_instances_have_registered():
    """Load pattern: all processes of a large site start at once."""
    harness = SetHarness(1, 160)
    harness.review(5)
    harness.set.add_members([member("entry", n) for n in range(35)])
    harness.review(10)
    assert len(harness.set.dialled) <= 1.25 * MIN_SET_SIZE + 5


def test_small_site_is_linked_completely():
    harness = SetHarness(3, 11)
    harness.review(2)
    assert len(harness.linked) == 11


@pytest.mark.parametrize("machines", [30, 100, 300, 1_000, 13_000])
def test_links_of_a_process_do_not_grow_with_the_fleet(machines):
    """Fleets with the shares of entry instances and guards of the large site."""
    entries = round(machines * 35 / 195)
    guards = machines - entries
    size = set_size(entries, guards, MAX_LINKS)
    assert min(guards, MIN_SET_SIZE) <= size <= 1.25 * MIN_SET_SIZE
    assert size * entries / guards <= 1.25 * SETS_PER_GUARD


def test_every_guard_is_in_some_set_and_none_in_very_many():
    members = [member("guard", n) for n in range(160)]
    entries = [member("entry", n) for n in range(35)]
    size = set_size(35, 160, MAX_LINKS)
    counts = Counter(
        chain.from_iterable(
            preference_order(entry.address, entry.zone, members)[:size]
            for entry in entries
        )
    )
    assert len(counts) == 160
    assert max(counts.values()) <= 3 * size * 35 / 160


def test_working_set_has_guards_of_all_zones(large_set):
    zones = {large_set.set.guards[address].zone for address in large_set.linked}
    assert zones == set(ZONES)


@pytest.mark.parametrize("number", range(200, 220))
def test_new_guard_displaces_at_most_one_guard_of_a_set(number):
    members = [member("guard", n) for n in range(160)]
    size = set_size(35, 160, MAX_LINKS)
    before = preference_order("10.9.9.9:1", "recife", members)[:size]
    joined = [*members, member("guard", number)]
    after = preference_order("10.9.9.9:1", "recife", joined)[:size]
    assert len(set(before) - set(after)) <= 1


def test_failed_zone_is_replaced_by_guards_of_other_zones(large_set):
    size = len(large_set.linked)
    zone = [
        guard.address for guard in large_set.members if guard.zone == large_set.set.zone
    ]
    large_set.fail(zone)
    large_set.review_for(2 * SUBSTITUTION_DELAY_S)
    assert len(large_set.linked) >= size


def test_guard_that_was_silent_for_a_moment_keeps_its_place(large_set):
    before = set(large_set.linked)
    large_set.linked.clear()
    large_set.review_for(SUBSTITUTION_DELAY_S / 2)
    large_set.linked |= before
    assert large_set.review_for(SURPLUS_LINGER_S) == []
    assert large_set.linked == before


def test_substitutes_are_released_after_the_failed_guards_return(large_set):
    before = set(large_set.linked)
    large_set.fail(before)
    large_set.review_for(2 * SUBSTITUTION_DELAY_S)
    substitutes = large_set.linked - before
    assert len(substitutes) >= len(before)
    large_set.down.clear()
    large_set.linked |= before
    assert set(large_set.review_for(SURPLUS_LINGER_S)) == substitutes
    assert large_set.linked == before


def test_set_grows_while_jobs_wait_and_shrinks_afterwards(large_set):
    size = len(large_set.linked)
    large_set.review_for(2.0, short=True)
    assert len(large_set.linked) == 2 * size
    large_set.review_for(EXTENSION_LINGER_S + SURPLUS_LINGER_S)
    assert len(large_set.linked) == size


def test_few_links_are_opened_while_no_target_has_announced_itself():
    """Load pattern: a large site starts, and targets announce themselves seconds later.

    Every entry instance was linked to most of the guards for seven seconds.
    """
    harness = SetHarness(35, 0)
    most = 0
    for number in range(160):
        guard = member("guard", number)
        harness.absent.add(guard.address)
        harness.set.add_members([guard])
        harness.review()
        most = max(most, len(harness.linked))
    harness.review_for(2.0)
    assert max(most, len(harness.linked)) <= 2 * set_size(35, 160, MAX_LINKS)


def test_set_never_exceeds_the_limit_on_links():
    harness = SetHarness(3, 500, max_links=40)
    harness.review_for(3.0, short=True)
    assert len(harness.linked) == 40
    harness.fail(harness.linked)
    harness.review_for(3.0, short=True)
    assert len(harness.set.chosen) == 40


def test_guards_that_stay_away_give_up_their_place(large_set):
    """Rows of machines that were removed for good remain in the members table."""
    size = len(large_set.linked)
    gone = set(large_set.linked)
    large_set.fail(gone)
    large_set.review_for(DIAL_PATIENCE_S)
    assert not gone & large_set.set.chosen.keys()
    assert len(large_set.linked) >= size


def test_guard_that_registers_again_is_dialled_without_a_rest(large_set):
    gone = set(large_set.linked)
    large_set.fail(gone)
    large_set.review_for(DIAL_PATIENCE_S)
    large_set.down.clear()
    again = [guard for guard in large_set.members if guard.address in gone]
    assert large_set.set.add_members(again)
    large_set.review()
    assert gone <= large_set.linked
