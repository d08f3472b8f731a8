"""Versions of the configuration: several processes, one table, an unkind network.

Processes take configurations by the product's own `apply_config`, from polls whose
answers may be late and from peers that may be behind. What is checked: a process
never goes back, and one that asked the table after a change acts on that change.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from hawthorntrack.state.control_view import Config, ControlView, apply_config

Apply = Callable[[ControlView, Config], ControlView]
Step = tuple[str, Callable[[], "World"]]


class Limits(NamedTuple):
    """Bounds of the search."""

    processes: int = 3
    changes: int = 3


class Reply(NamedTuple):
    """A configuration on its way to a process.

    Attributes
    ----------
    floor : int
        The stamp that the answer vouches for: the table's when the poll was sent, or
        what the peer that tells must act on itself.
    """

    to: int
    config: Config
    floor: int


class World(NamedTuple):
    """A state of the whole.

    Attributes
    ----------
    highest : tuple of int
        The highest stamp that each process ever acted on.
    promised : tuple of int
        The stamp that each process must act on, since a poll of it was answered.
    """

    table: Config
    acted: tuple[Config, ...]
    highest: tuple[int, ...]
    promised: tuple[int, ...]
    replies: frozenset[Reply] = frozenset()


EMPTY = Config(0, (), frozenset())


def first_world(limits: Limits) -> World:
    """Return the world before any change."""
    count = limits.processes
    return World(EMPTY, (EMPTY,) * count, (0,) * count, (0,) * count)


def breach(world: World) -> str | None:
    """Return what must never be, if it is."""
    for number, config in enumerate(world.acted):
        if config.stamp < world.highest[number]:
            return f"process {number} went back to {config.stamp}"
        if config.stamp < world.promised[number]:
            return f"process {number} acts on {config.stamp} after it saw more"
    return None


class Versions:
    """The steps that the world may take.

    Parameters
    ----------
    limits : Limits
        Bounds of the search.
    apply : callable
        How a process takes a configuration; a mutation of it must be caught.
    """

    def __init__(self, limits: Limits, apply: Apply = apply_config) -> None:
        self.limits = limits
        self.apply = apply

    def successors(self, world: World) -> Iterator[Step]:
        """Yield every step that may come next."""
        if world.table.stamp < self.limits.changes:
            yield "an operator writes", partial(self.write, world)
        for number in range(self.limits.processes):
            poll = Reply(number, world.table, world.table.stamp)
            yield f"{number} polls", partial(self.send, world, poll)
            for peer, config in enumerate(world.acted):
                if peer != number and config.stamp:
                    told = Reply(number, config, world.promised[peer])
                    yield f"{peer} tells {number}", partial(self.send, world, told)
        for reply in world.replies:
            yield (
                f"{reply.to} gets {reply.config.stamp}",
                partial(self.take, world, reply),
            )

    def write(self, world: World) -> World:
        """Return the world after an operator's change: each takes another zone out."""
        stamp = world.table.stamp + 1
        zones = frozenset({f"zone-{stamp}"})
        return world._replace(table=Config(stamp, (), zones))

    def send(self, world: World, reply: Reply) -> World:
        """Return the world with a configuration on its way; it may come twice."""
        return world._replace(replies=world.replies | {reply})

    def take(self, world: World, reply: Reply) -> World:
        """Return the world after a process got a configuration."""
        held = world.acted[reply.to]
        view = ControlView(stamp=held.stamp, zones_out=held.zones_out)
        after = self.apply(view, reply.config)
        config = Config(after.stamp, (), after.zones_out)
        return world._replace(
            acted=replaced(world.acted, reply.to, config),
            highest=replaced(
                world.highest, reply.to, max(world.highest[reply.to], after.stamp)
            ),
            promised=replaced(
                world.promised,
                reply.to,
                max(world.promised[reply.to], reply.floor),
            ),
        )


def replaced(values: tuple, index: int, value: object) -> tuple:
    """Return a tuple with one item replaced."""
    return (*values[:index], value, *values[index + 1 :])


def take_any(view: ControlView, config: Config) -> ControlView:
    """Take whatever comes, newer or not: the mutation that must be caught."""
    return view._replace(stamp=config.stamp, zones_out=config.zones_out)
