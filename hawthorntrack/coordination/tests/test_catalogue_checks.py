"""What the checks of a configuration find, and what they must leave alone."""

import pytest

from hawthorntrack.coordination.catalogue_checks import (
    ERROR,
    WARNING,
    CallerDeadlines,
    Proposal,
    catalogue_checks,
    check_catalogue,
    differences,
)
from hawthorntrack.state.catalogue import Catalogue, Limits, Queue, Service

QUICK = Queue("quick", "calls.example", "/quick/", "visits", 0.062, 0, 3, 1.6)
SMALL = QUICK._replace(name="small", path_prefix="/small/", priority=1)
CATALOGUE = Catalogue(7, (QUICK, SMALL), (Service("visits", True),))
MANY = tuple(QUICK._replace(name=f"q{n}", path_prefix=f"/{n}/") for n in range(65))


def with_small(**changes):
    """Return the usual configuration with one queue changed."""
    return CATALOGUE._replace(queues=(QUICK, SMALL._replace(**changes)))


# Each check, a configuration that it must find a problem in, and the problem's level.
CASES = (
    ("version", CATALOGUE._replace(version=0), ERROR),
    ("version", CATALOGUE._replace(version=6), ERROR),
    ("names", with_small(name="quick"), ERROR),
    ("names", with_small(name=""), ERROR),
    ("names", with_small(name="s" * 201), ERROR),
    ("number_of_queues", CATALOGUE._replace(queues=MANY), WARNING),
    ("address", with_small(host=""), ERROR),
    ("address", with_small(host="calls.example:80"), ERROR),
    ("address", with_small(path_prefix="small/"), ERROR),
    ("hidden_queue", with_small(path_prefix="/quick/"), ERROR),
    ("hidden_queue", with_small(path_prefix="/quick/", host="CALLS.example"), ERROR),
    ("hidden_queue", with_small(path_prefix="/quick"), WARNING),
    ("missing_service", with_small(service="visit"), ERROR),
    ("missing_service", CATALOGUE._replace(queues=()), WARNING),
    ("priority", with_small(priority=-1), ERROR),
    ("priority", with_small(priority=10), WARNING),
    ("attempts", with_small(max_attempts=0), WARNING),
    ("objective", with_small(stretch=0.9), WARNING),
    ("objective", with_small(stretch=0.9, latency_target_s=0.0), ERROR),
    ("objective", with_small(stretch=1.0, latency_target_s=0.0), WARNING),
    ("waiting_limit", with_small(latency_target_s=80.0), WARNING),
    ("waiting_limit", with_small(latency_target_s=9_100.0), ERROR),
    ("body_limit", CATALOGUE._replace(limits=Limits(0, 16_384)), ERROR),
    ("removed_queue", with_small(path_prefix="/other/"), WARNING),
)


@pytest.fixture
def findings():
    """Return a function that checks a configuration to replace the usual one."""

    def check(catalogue, in_force=CATALOGUE._replace(version=6)):
        return check_catalogue(
            Proposal(catalogue, CallerDeadlines(30.0, 3_600.0), in_force)
        )

    return check


@pytest.mark.parametrize(("name", "catalogue", "level"), CASES)
def test_check_finds_its_problem(findings, name, catalogue, level):
    """A check that finds nothing lets the configuration through to production."""
    assert level in [
        found.level for found in findings(catalogue) if found.check == name
    ]


def test_every_check_has_a_case():
    """A check without a case could stop finding anything unnoticed."""
    assert {name for name, _, _ in CASES} == set(catalogue_checks)


@pytest.mark.parametrize(
    "catalogue",
    [
        CATALOGUE,
        # The longer prefix takes a part of the requests of the shorter one only.
        with_small(path_prefix="/quick/urgent/"),
        with_small(path_prefix="/"),
        with_small(path_prefix="/quick/", host="other.example"),
    ],
)
def test_usual_configurations_have_no_problem(findings, catalogue):
    """Operators stop to read a check that reports what they mean."""
    assert findings(catalogue, None) == []


def test_differences_name_added_removed_and_changed_parts():
    """An operator who sends an old copy would undo a colleague's change unseen."""
    after = Catalogue(
        8, (QUICK._replace(stretch=2.0), SMALL._replace(name="new")), CATALOGUE.services
    )
    assert [tuple(difference) for difference in differences(CATALOGUE, after)] == [
        ("configuration", "version", 7, 8),
        ("queue quick", "stretch", 1.6, 2.0),
        ("queue small", "", "present", "absent"),
        ("queue new", "", "absent", "present"),
    ]
