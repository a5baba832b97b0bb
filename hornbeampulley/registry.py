"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from hornbeampulley.errors import HornbeamError

_Entry = TypeVar('_Entry')


class UnknownNameError(HornbeamError):
    """A registry has no entry of the given name."""


class Registry(Generic[_Entry]):
    """Maps names to entries, in order of registration.

    Parameters
    ----------
    kind : str
        Noun for the entries, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, _Entry] = {}

    def register(self, name: str) -> Callable[[_Entry], _Entry]:
        """Return a decorator that registers the decorated object.

        Parameters
        ----------
        name : str
            Name of the entry; must not be registered yet.

        Returns
        -------
        callable
            Decorator that returns the object unchanged.

        Raises
        ------
        ValueError
            If the name is already registered.
        """
        if name in self._entries:
            raise ValueError(f'{self._kind} {name!r} is registered already')

        def decorator(entry: _Entry) -> _Entry:
            self._entries[name] = entry
            return entry

        return decorator

    def find(self, name: str) -> _Entry:
        """Return the entry with a name.

        Parameters
        ----------
        name : str
            Name of the entry.

        Returns
        -------
        object
            The registered object.

        Raises
        ------
        UnknownNameError
            If there is no such entry.
        """
        if name not in self._entries:
            known = ', '.join(self._entries)
            raise UnknownNameError(
                f'no {self._kind} {name!r}; choose one of: {known}',
            )
        return self._entries[name]

    def __iter__(self) -> Iterator[tuple[str, _Entry]]:
        """Iterate over names and entries in order of registration."""
        return iter(self._entries.items())
