"""Model of configuration versions: several processes, one table, late messages.

Processes apply configurations with the production function `apply_config`. They
receive them from polls of the table, whose answers may be late, and from peers, which
may be out of date. Checked invariants: a process never returns to an older version,
and a process that polled the table after a change applies that change.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from hawthorntrack.state.control_view import Config, ControlView, apply_config

Apply = Callable[[ControlView, Config], ControlView]
Step = tuple[str, Callable[[], "SystemState"]]


class Limits(NamedTuple):
    """Bounds of the search."""

    processes: int = 3
    changes: int = 3


class ConfigMessage(NamedTuple):
    """A configuration in transit to a process.

    Attributes
    ----------
    min_stamp : int
        The receiver must apply at least this stamp: that of the table when the poll
        was sent, or the stamp that the sending peer is required to have applied.
    """

    to: int
    config: Config
    min_stamp: int


class SystemState(NamedTuple):
    """State of the table, the processes and the messages in transit.

    Attributes
    ----------
    highest_applied : tuple of int
        The highest stamp that each process has ever applied.
    required : tuple of int
        The lowest stamp that each process may have in force, because a message with
        this minimum has reached it.
    """

    table: Config
    applied: tuple[Config, ...]
    highest_applied: tuple[int, ...]
    required: tuple[int, ...]
    in_transit: frozenset[ConfigMessage] = frozenset()


EMPTY = Config(0, (), frozenset())


def initial_state(limits: Limits) -> SystemState:
    """Return the state before any change."""
    count = limits.processes
    return SystemState(EMPTY, (EMPTY,) * count, (0,) * count, (0,) * count)


def find_violation(system: SystemState) -> str | None:
    """Return a description of the first violated invariant, or None."""
    for number, config in enumerate(system.applied):
        if config.stamp < system.highest_applied[number]:
            return f"process {number} returned to stamp {config.stamp}"
        if config.stamp < system.required[number]:
            return f"process {number} keeps {config.stamp} after a newer stamp"
    return None


class Versions:
    """Transition relation of the configuration versions.

    Parameters
    ----------
    limits : Limits
        Bounds of the search.
    apply : callable
        How a process applies a configuration; the search must detect a mutated one.
    """

    def __init__(self, limits: Limits, apply: Apply = apply_config) -> None:
        self.limits = limits
        self.apply = apply

    def successors(self, system: SystemState) -> Iterator[Step]:
        """Yield every step that is possible in a state."""
        if system.table.stamp < self.limits.changes:
            yield "an operator writes", partial(self.write, system)
        for number in range(self.limits.processes):
            poll_message = ConfigMessage(number, system.table, system.table.stamp)
            yield f"{number} polls", partial(self.send, system, poll_message)
            for peer, config in enumerate(system.applied):
                if peer != number and config.stamp:
                    peer_message = ConfigMessage(number, config, system.required[peer])
                    yield (
                        f"{peer} sends to {number}",
                        partial(self.send, system, peer_message),
                    )
        for message in system.in_transit:
            yield (
                f"{message.to} receives {message.config.stamp}",
                partial(self.deliver, system, message),
            )

    def write(self, system: SystemState) -> SystemState:
        """Return the state after an operator takes another zone out of service."""
        stamp = system.table.stamp + 1
        zones = frozenset({f"zone-{stamp}"})
        return system._replace(table=Config(stamp, (), zones))

    def send(self, system: SystemState, message: ConfigMessage) -> SystemState:
        """Return the state with a message in transit; it may be delivered twice."""
        return system._replace(in_transit=system.in_transit | {message})

    def deliver(self, system: SystemState, message: ConfigMessage) -> SystemState:
        """Return the state after a process received a configuration."""
        current = system.applied[message.to]
        view = ControlView(stamp=current.stamp, zones_out=current.zones_out)
        after = self.apply(view, message.config)
        config = Config(after.stamp, (), after.zones_out)
        return system._replace(
            applied=replace_item(system.applied, message.to, config),
            highest_applied=replace_item(
                system.highest_applied,
                message.to,
                max(system.highest_applied[message.to], after.stamp),
            ),
            required=replace_item(
                system.required,
                message.to,
                max(system.required[message.to], message.min_stamp),
            ),
        )


def replace_item(values: tuple, index: int, value: object) -> tuple:
    """Return a tuple with one item replaced."""
    return (*values[:index], value, *values[index + 1 :])


def apply_any(view: ControlView, config: Config) -> ControlView:
    """Apply any configuration, newer or not: a mutation that must be detected."""
    return view._replace(stamp=config.stamp, zones_out=config.zones_out)
