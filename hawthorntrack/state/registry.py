"""Registries that decorators fill."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named entries of one kind of behaviour.

    Parameters
    ----------
    subject : str
        What the entries are, in the singular; used in error messages.

    Examples
    --------
    >>> greetings = Registry("greeting")
    >>> @greetings.register("plain")
    ... def plain():
    ...     return "hello"
    >>> greetings["plain"]()
    'hello'
    >>> greetings.names()
    ['plain']
    """

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that files its argument under `name`.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def file(entry: T) -> T:
            if name in self.entries:
                raise ValueError(f"{self.subject} {name!r} is registered twice")
            self.entries[name] = entry
            return entry

        return file

    def __getitem__(self, name: str) -> T:
        return self.entries[name]

    def __contains__(self, name: object) -> bool:
        return name in self.entries

    def __iter__(self) -> Iterator[str]:
        return iter(self.entries)

    def names(self) -> list[str]:
        """Return the registered names in order of the alphabet."""
        return sorted(self.entries)
