"""Amounts of processor, memory and accelerators."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Resources that a task needs or that a target has.

    Attributes
    ----------
    cpu_m : int
        Processor time in thousandths of a core.
    memory_mb : int
        Memory in megabytes.
    gpus : int
        Number of accelerators.

    Examples
    --------
    >>> capacity = Resources(16_000, 32_768, 0)
    >>> capacity.minus(Resources(1_600, 64, 0))
    Resources(cpu_m=14400, memory_mb=32704, gpus=0)
    >>> Resources(1_600, 64, 0).fits_in(capacity)
    True
    """

    cpu_m: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_m + other.cpu_m,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, whose amounts may be negative."""
        return Resources(
            self.cpu_m - other.cpu_m,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def largest(self, other: "Resources") -> "Resources":
        """Return the larger one of each amount."""
        return Resources(*map(max, self, other))

    def fits_in(self, capacity: "Resources") -> bool:
        """Return whether no amount exceeds that of `capacity`."""
        return (
            self.cpu_m <= capacity.cpu_m
            and self.memory_mb <= capacity.memory_mb
            and self.gpus <= capacity.gpus
        )


NO_RESOURCES = Resources()
