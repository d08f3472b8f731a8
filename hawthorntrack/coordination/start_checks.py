"""Checks that decide whether a guard may start a task, with the reason if not."""

from collections.abc import Callable
from typing import NamedTuple

from hawthorntrack.state.registry import Registry


class StartConditions(NamedTuple):
    """State of a guard and its target that decides whether a task may start.

    Attributes
    ----------
    view_fresh : bool
        Whether the guard's view of the table is recent enough to act on.
    zone_out, draining : bool
        Whether its zone is out of service, and whether the guard is shutting down.
    has_target, leaving : bool
        Whether a target has announced itself, and whether that target is leaving.
    kinds : frozenset of str
        Kinds of tasks that the target runs.
    ejected : bool
        Whether the target is ejected because its tasks failed.
    past_deadline : bool
        Whether the job's deadline has passed.
    """

    view_fresh: bool
    zone_out: bool
    draining: bool
    has_target: bool
    leaving: bool
    kinds: frozenset[str]
    ejected: bool
    past_deadline: bool


Check = Callable[[StartConditions, str], bool]
start_checks: Registry[Check] = Registry("start check")
check = start_checks.register


@check("zone_out")
def zone_is_out(conditions: StartConditions, kind: str) -> bool:
    """Refuse tasks while the zone is out of service."""
    return conditions.zone_out


@check("stale_view")
def view_is_stale(conditions: StartConditions, kind: str) -> bool:
    """Refuse tasks while the zone may be out of service without the guard knowing."""
    return not conditions.view_fresh


@check("draining")
def guard_is_draining(conditions: StartConditions, kind: str) -> bool:
    """Refuse tasks while this guard is shutting down."""
    return conditions.draining


@check("no_target")
def target_is_missing(conditions: StartConditions, kind: str) -> bool:
    """Refuse tasks while no target is present."""
    return not conditions.has_target


@check("target_leaving")
def target_is_leaving(conditions: StartConditions, kind: str) -> bool:
    """Refuse tasks once the target has announced that it is leaving."""
    return conditions.leaving


@check("wrong_kind")
def kind_is_unknown(conditions: StartConditions, kind: str) -> bool:
    """Refuse tasks of a kind that the target does not run."""
    return conditions.has_target and kind not in conditions.kinds


@check("target_ejected")
def target_is_ejected(conditions: StartConditions, kind: str) -> bool:
    """Refuse tasks while the target is ejected."""
    return conditions.ejected


@check("too_late")
def deadline_has_passed(conditions: StartConditions, kind: str) -> bool:
    """Refuse tasks of a job whose caller has given up."""
    return conditions.past_deadline


def refusal_reason(conditions: StartConditions, kind: str) -> str | None:
    """Return the first reason not to start a task, or None if it may start.

    Examples
    --------
    >>> conditions = StartConditions(True, False, False, True, False, frozenset({"a"}),
    ...                              False, False)
    >>> refusal_reason(conditions, "a"), refusal_reason(conditions, "b")
    (None, 'wrong_kind')
    """
    return next(
        (name for name in start_checks if start_checks[name](conditions, kind)), None
    )
