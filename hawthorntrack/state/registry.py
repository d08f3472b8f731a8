"""Registries of named entries, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """A mapping of names to implementations, filled by a decorator.

    Parameters
    ----------
    subject : str
        Singular noun for the entries, used in error messages.

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
        """Return a decorator that registers its argument under `name`.

        Raises
        ------
        ValueError
            If another entry has that name.
        """

        def add_entry(entry: T) -> T:
            if name in self.entries:
                raise ValueError(f"{self.subject} {name!r} is registered twice")
            self.entries[name] = entry
            return entry

        return add_entry

    def __getitem__(self, name: str) -> T:
        return self.entries[name]

    def __contains__(self, name: object) -> bool:
        return name in self.entries

    def __iter__(self) -> Iterator[str]:
        return iter(self.entries)

    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self.entries)
