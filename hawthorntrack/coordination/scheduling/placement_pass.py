"""One pass over the waiting tasks: the capacity that is left, and the orders so far."""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from statistics import median

from hawthorntrack.coordination.scheduling.speeds import (
    NOMINAL_SLOWNESS,
    KindSpeeds,
)
from hawthorntrack.coordination.target_selection import (
    LookAhead,
    TargetCandidate,
    assume_slowness,
    choose_target,
)
from hawthorntrack.protocol.run_messages import RunOrder
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import NO_RESOURCES


class PlacementPass:
    """Targets that accept runs, less what the orders of this pass take.

    Parameters
    ----------
    candidates : iterable of TargetCandidate
        The targets as they are reported.
    zone : str
        Zone of the entry instance.
    far_factor : float
        Factor on a task's run time on a target outside the rack of its data.
    speeds : KindSpeeds, optional
        Slowness by kind of target; without it, targets that are not measured yet count
        as fast as the fastest.

    Attributes
    ----------
    candidates : dict of str to TargetCandidate
        The targets by the address of their guard.
    median_slowness : float
        Median slowness of the measured targets.
    batches : dict of (str, str) to list of RunOrder
        The orders by the job's key and the guard's address.
    """

    def __init__(
        self,
        candidates: Iterable[TargetCandidate],
        zone: str,
        far_factor: float,
        speeds: KindSpeeds | None = None,
    ) -> None:
        reported = list(candidates)
        measured = [
            candidate.target_status.slowness
            for candidate in reported
            if candidate.target_status.slowness
        ] or [NOMINAL_SLOWNESS]
        self.zone = zone
        self.far_factor = far_factor
        self.median_slowness = median(measured)
        if speeds is not None:
            speeds.update(candidate.target_status for candidate in reported)
        self.candidates = {
            candidate.address: assume_slowness(candidate, min(measured))
            if speeds is None
            else candidate._replace(
                target_status=speeds.assume(candidate.target_status)
            )
            for candidate in reported
        }
        self.batches: dict[tuple[str, str], list[RunOrder]] = defaultdict(list)

    def choose(
        self,
        step: StepSpec,
        service: str,
        excluded: Collection[str],
        avoid: frozenset[str],
        max_slowness: float,
        look_ahead: LookAhead | None = None,
    ) -> TargetCandidate | None:
        """Return the target for a task of a step, or None if none should be used now.

        Parameters
        ----------
        service : str
            Service of the job's queue.
        excluded : collection of str
            Guards whose targets are set apart.
        avoid, max_slowness, look_ahead
            As for `choose_target`.
        """
        return choose_target(
            (
                candidate
                for candidate in self.candidates.values()
                if candidate.target_status.service == service
                and candidate.address not in excluded
            ),
            step,
            self.zone,
            self.far_factor,
            avoid,
            max_slowness,
            look_ahead,
        )

    def choose_apart(
        self, step: StepSpec, set_apart: Iterable[str]
    ) -> TargetCandidate | None:
        """Return the target for a suspect, among those that are set apart."""
        return choose_target(
            (
                self.candidates[address]
                for address in sorted(set_apart)
                if address in self.candidates
            ),
            step,
            self.zone,
            self.far_factor,
            max_slowness=math.inf,
        )

    def add_order(self, job: str, address: str, order: RunOrder) -> None:
        """Add the order of a run to its batch, and take its need off the target."""
        candidate = self.candidates[address]
        self.candidates[address] = candidate._replace(
            free=candidate.free.minus(order.need),
            same_step_tasks=candidate.same_step_tasks + 1,
        )
        self.batches[job, address].append(order)

    def use_up(self, address: str) -> None:
        """Leave no capacity on a target for the rest of this pass."""
        candidate = self.candidates[address]
        self.candidates[address] = candidate._replace(free=NO_RESOURCES)
