"""Amounts of processor, memory and accelerators."""

from typing import NamedTuple


class Resources(NamedTuple):
    """What a task asks for, or what a target has.

    Attributes
    ----------
    cpu_m : int
        Thousandths of a core.
    memory_mb : int
        Megabytes of memory.
    gpus : int
        Accelerators.

    Examples
    --------
    >>> room = Resources(16_000, 32_768, 0)
    >>> room.minus(Resources(1_600, 64, 0))
    Resources(cpu_m=14400, memory_mb=32704, gpus=0)
    >>> Resources(1_600, 64, 0).fits_in(room)
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
        """Return the difference; it may be negative."""
        return Resources(
            self.cpu_m - other.cpu_m,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def fits_in(self, room: "Resources") -> bool:
        """Return whether `room` holds this much."""
        return (
            self.cpu_m <= room.cpu_m
            and self.memory_mb <= room.memory_mb
            and self.gpus <= room.gpus
        )


NO_RESOURCES = Resources()
