"""Registries of named variants, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from hornbeampulley.errors import HornbeamError

_Entry = TypeVar('_Entry')


class UnknownNameError(HornbeamError):
    """A registry holds no entry of that name."""


class Registry(Generic[_Entry]):
    """Maps names to entries in the order of their registration.

    Parameters
    ----------
    kind : str
        What the entries are, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, _Entry] = {}

    def register(self, name: str) -> Callable[[_Entry], _Entry]:
        """Return a decorator that adds what it decorates.

        Parameters
        ----------
        name : str
            Name of the entry; must be new.

        Returns
        -------
        callable
            Returns its argument unchanged.

        Raises
        ------
        ValueError
            If the name is taken.
        """
        if name in self._entries:
            raise ValueError(f'{self._kind} {name!r} is registered already')

        def decorator(entry: _Entry) -> _Entry:
            self._entries[name] = entry
            return entry

        return decorator

    def find(self, name: str) -> _Entry:
        """Return the entry of a name.

        Parameters
        ----------
        name : str
            Name given at registration.

        Returns
        -------
        object
            The entry.

        Raises
        ------
        UnknownNameError
            If there is none.
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
