"""What an owner learned of guards: their load, and how fast their targets are."""

from collections import deque
from collections.abc import Iterable

from hawthorntrack.state.targets import GuardView, average
from hawthorntrack.state.values import Incarnation, Place, TargetLoad

LOADS_BOUND = 4_096  # guards remembered at most
MEAN_START_MS = 100.0
IN_FLIGHT_S = 0.005
FORGET_AFTER_S = 60.0
MIN_SIZE_MS = 1.0


class Fleet:
    """Loads and speeds of guards, as heartbeats and results brought them.

    Examples
    --------
    >>> fleet = Fleet()
    >>> guard = Incarnation("127.0.0.1:1", "a")
    >>> fleet.measured(guard, "confirm", size_ms=100, run_ms=200)
    >>> fleet.slowness(guard, "confirm")
    2.0
    """

    def __init__(self) -> None:
        self.places: dict[Incarnation, Place] = {}
        self.loads: dict[tuple[Incarnation, str], TargetLoad] = {}
        self.heard: dict[Incarnation, float] = {}
        self.sent: dict[Incarnation, deque[float]] = {}
        self.outstanding: dict[Incarnation, int] = {}
        self.ratios: dict[tuple[Incarnation, str], float] = {}
        self.mean_ms = MEAN_START_MS

    def heard_of(self, guard: Incarnation, place: Place, now: float) -> None:
        """Remember where a guard is, and that it lives."""
        if len(self.places) < LOADS_BOUND or guard in self.places:
            self.places[guard] = place
            self.heard[guard] = now

    def loaded(self, guard: Incarnation, load: TargetLoad, now: float) -> None:
        """Take a guard's load, unless a newer one is known.

        Explanation
        -----------
        Tasks sent within the last `IN_FLIGHT_S` may not have reached the guard when
        it measured; they go on being counted apart.
        """
        if guard not in self.places:
            return
        self.heard[guard] = now
        known = self.loads.get((guard, load.service))
        if known is not None and known.sequence > load.sequence:
            return
        self.loads[(guard, load.service)] = load
        sent = self.sent.get(guard, ())
        while sent and now - sent[0] > IN_FLIGHT_S:
            sent.popleft()

    def forget_service(self, guard: Incarnation, services: Iterable[str]) -> None:
        """Drop loads of services that a guard no longer has a target for."""
        kept = set(services)
        for name in [n for n in self.loads if n[0] == guard and n[1] not in kept]:
            del self.loads[name]

    def lost(self, guard: Incarnation) -> None:
        """Forget a guard whose life has ended."""
        self.places.pop(guard, None)
        self.heard.pop(guard, None)
        self.sent.pop(guard, None)
        self.outstanding.pop(guard, None)
        self.forget_service(guard, ())
        for name in [name for name in self.ratios if name[0] == guard]:
            del self.ratios[name]

    def forget_silent(self, now: float) -> None:
        """Forget guards not heard of for long that have no task of ours."""
        silent = [
            guard
            for guard, at in self.heard.items()
            if now - at > FORGET_AFTER_S and not self.outstanding.get(guard)
        ]
        for guard in silent:
            self.lost(guard)

    def sending(self, guard: Incarnation, count: int, now: float) -> None:
        """Count tasks as sent to a guard."""
        self.outstanding[guard] = self.outstanding.get(guard, 0) + count
        self.sent.setdefault(guard, deque(maxlen=1_000)).extend([now] * count)

    def returned(self, guard: Incarnation, count: int) -> None:
        """Count tasks as come back from a guard."""
        left = self.outstanding.get(guard, 0) - count
        self.outstanding[guard] = max(0, left)

    def measured(
        self, guard: Incarnation, kind: str, size_ms: float, run_ms: float
    ) -> None:
        """Learn from one task's run time against its declared size."""
        ratio = run_ms / max(size_ms, MIN_SIZE_MS)
        name = (guard, kind)
        self.ratios[name] = average(self.ratios.get(name, ratio), ratio)
        self.mean_ms = average(self.mean_ms, run_ms, 0.05)

    def slowness(self, guard: Incarnation, kind: str) -> float:
        """Return milliseconds taken per declared one; the load's word if unmeasured."""
        measured = self.ratios.get((guard, kind))
        if measured is not None:
            return measured
        speeds = [load.speed for name, load in self.loads.items() if name[0] == guard]
        return 1 / speeds[0] if speeds else 1.0

    def views(
        self, service: str, serving: set[Incarnation], now: float, silence_s: float
    ) -> tuple[GuardView, ...]:
        """Return the guards in service that have a target of a service.

        Parameters
        ----------
        serving : set of Incarnation
            Registered guards outside zones out of service.
        silence_s : float
            Guards not heard of for longer, in seconds, are left out.
        """
        return tuple(
            GuardView(
                guard,
                self.places[guard],
                load,
                self.outstanding.get(guard, 0),
                self.heard[guard],
                len(self.sent.get(guard, ())),
            )
            for (guard, name), load in self.loads.items()
            if name == service
            and guard in serving
            and now - self.heard[guard] <= silence_s
        )
