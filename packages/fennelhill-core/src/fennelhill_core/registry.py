"""Registries of interchangeable classes, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to classes; most of the names are values in the settings.

    Parameters
    ----------
    family : str
        What the classes are, for error messages.
    """

    __slots__ = ("_entries", "family")

    def __init__(self, family: str) -> None:
        self.family = family
        self._entries: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Return a class decorator that registers the class under a name.

        Parameters
        ----------
        name : str
            Name of the class, as used in the settings.

        Returns
        -------
        callable
            The decorator.

        Raises
        ------
        ValueError
            If the name is already registered.
        """

        def decorate(entry: type[T]) -> type[T]:
            if name in self._entries:
                raise ValueError(f"{self.family} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> type[T]:
        """Look up a class.

        Parameters
        ----------
        name : str
            Name of the class, as used in the settings.

        Returns
        -------
        type
            The registered class.

        Raises
        ------
        KeyError
            If no class has this name; the message lists the registered names.
        """
        try:
            return self._entries[name]
        except KeyError:
            registered_names = ", ".join(sorted(self._entries))
            raise KeyError(
                f"no {self.family} {name!r}; there are: {registered_names}"
            ) from None

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))
