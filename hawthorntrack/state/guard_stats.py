"""Statistics that an owner keeps on guards: load and speed of their targets."""

from collections import deque
from collections.abc import Iterable

from hawthorntrack.state.guard_view import GuardView, moving_average
from hawthorntrack.state.values import Incarnation, Location, TargetLoad

MAX_TRACKED_GUARDS = 4_096
INITIAL_MEAN_RUN_MS = 100.0
TASK_IN_FLIGHT_S = 0.005
SILENT_GUARD_RETENTION_S = 60.0
MIN_SIZE_MS = 1.0


class GuardStats:
    """Loads and speeds of guards, as reported by heartbeats and task results.

    Examples
    --------
    >>> stats = GuardStats()
    >>> guard = Incarnation("127.0.0.1:1", "a")
    >>> stats.record_run_time(guard, "confirm", size_ms=100, run_ms=200)
    >>> stats.slowness(guard, "confirm")
    2.0
    """

    def __init__(self) -> None:
        self.places: dict[Incarnation, Location] = {}
        self.loads: dict[tuple[Incarnation, str], TargetLoad] = {}
        self.last_heard_at: dict[Incarnation, float] = {}
        self.sent_times: dict[Incarnation, deque[float]] = {}
        self.outstanding: dict[Incarnation, int] = {}
        self.run_time_ratios: dict[tuple[Incarnation, str], float] = {}
        self.mean_run_ms = INITIAL_MEAN_RUN_MS

    def record_heartbeat(self, guard: Incarnation, place: Location, now: float) -> None:
        """Record a guard's location and the time of its newest heartbeat."""
        if len(self.places) < MAX_TRACKED_GUARDS or guard in self.places:
            self.places[guard] = place
            self.last_heard_at[guard] = now

    def update_load(self, guard: Incarnation, load: TargetLoad, now: float) -> None:
        """Update a guard's load, unless a newer one is recorded.

        Explanation
        -----------
        Tasks sent within the last `TASK_IN_FLIGHT_S` seconds may not have reached the
        guard when it measured its load, so they continue to be counted in addition
        to that load.
        """
        if guard not in self.places:
            return
        self.last_heard_at[guard] = now
        known = self.loads.get((guard, load.service))
        if known is not None and known.sequence > load.sequence:
            return
        self.loads[(guard, load.service)] = load
        sent_times = self.sent_times.get(guard, ())
        while sent_times and now - sent_times[0] > TASK_IN_FLIGHT_S:
            sent_times.popleft()

    def retain_services(self, guard: Incarnation, services: Iterable[str]) -> None:
        """Remove a guard's loads for all services except the given ones."""
        retained = set(services)
        for name in [n for n in self.loads if n[0] == guard and n[1] not in retained]:
            del self.loads[name]

    def remove_guard(self, guard: Incarnation) -> None:
        """Remove all statistics of a guard incarnation that has ended."""
        self.places.pop(guard, None)
        self.last_heard_at.pop(guard, None)
        self.sent_times.pop(guard, None)
        self.outstanding.pop(guard, None)
        self.retain_services(guard, ())
        for name in [name for name in self.run_time_ratios if name[0] == guard]:
            del self.run_time_ratios[name]

    def remove_silent_guards(self, now: float) -> None:
        """Remove guards that were silent for long and have no task of this owner."""
        silent = [
            guard
            for guard, heard_at in self.last_heard_at.items()
            if now - heard_at > SILENT_GUARD_RETENTION_S
            and not self.outstanding.get(guard)
        ]
        for guard in silent:
            self.remove_guard(guard)

    def record_sent(self, guard: Incarnation, count: int, now: float) -> None:
        """Record that `count` tasks were sent to a guard."""
        self.outstanding[guard] = self.outstanding.get(guard, 0) + count
        self.sent_times.setdefault(guard, deque(maxlen=1_000)).extend([now] * count)

    def record_returned(self, guard: Incarnation, count: int) -> None:
        """Record that a guard returned `count` tasks or their results."""
        left = self.outstanding.get(guard, 0) - count
        self.outstanding[guard] = max(0, left)

    def record_run_time(
        self, guard: Incarnation, kind: str, size_ms: float, run_ms: float
    ) -> None:
        """Update the averages with the run time and declared size of one task."""
        ratio = run_ms / max(size_ms, MIN_SIZE_MS)
        name = (guard, kind)
        self.run_time_ratios[name] = moving_average(
            self.run_time_ratios.get(name, ratio), ratio
        )
        self.mean_run_ms = moving_average(self.mean_run_ms, run_ms, 0.05)

    def slowness(self, guard: Incarnation, kind: str) -> float:
        """Return the ratio of run time to declared size of tasks at a guard.

        Without a measurement of that kind of task, the ratio follows from the speed
        that the guard reports with its load.
        """
        measured = self.run_time_ratios.get((guard, kind))
        if measured is not None:
            return measured
        speeds = [load.speed for name, load in self.loads.items() if name[0] == guard]
        return 1 / speeds[0] if speeds else 1.0

    def guard_views(
        self, service: str, serving: set[Incarnation], now: float, silence_s: float
    ) -> tuple[GuardView, ...]:
        """Return the guards in `serving` that have a target of a service.

        Parameters
        ----------
        serving : set of Incarnation
            Registered guards outside the zones that are out of service.
        silence_s : float
            Guards whose newest heartbeat or load is older than this many seconds are
            left out.
        """
        return tuple(
            GuardView(
                guard,
                self.places[guard],
                load,
                self.outstanding.get(guard, 0),
                self.last_heard_at[guard],
                len(self.sent_times.get(guard, ())),
            )
            for (guard, name), load in self.loads.items()
            if name == service
            and guard in serving
            and now - self.last_heard_at[guard] <= silence_s
        )
